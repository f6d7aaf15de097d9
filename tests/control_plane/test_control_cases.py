"""Simulated cases of isolation and races; they fail once the guarding mechanism is removed."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any
from unittest import mock

import testtools

from ryelock.consensus import Consensus
from ryelock.consensus.leadership import Leadership
from ryelock.control_plane.operator_requests import OperatorRequests
from ryelock.control_plane.renewal_messages import UnconfirmedRenewalResponse
from ryelock.journal import FolderError
from ryelock.replicated_state import ReplicatedState, outcomes
from ryelock.replicated_state.outcomes import Outcomes
from ryelock.testing.cases.control import CONTROL_CASES, ISOLATIONS, route_change
from ryelock.testing.scenario import Scenario
from ryelock.testing.simulated import SimFolder

Patch = AbstractContextManager[Any]
SEEDS = range(len(ISOLATIONS))
DISK_WRITES = ("append", "sync", "truncate", "write_atomically")


async def confirmed_at_once(_consensus: Consensus, _seconds: float) -> bool:
    """Confirm leadership without asking a majority."""
    return True


def never_deposed() -> list[Patch]:
    """Let a leader never step down: its majority contact always counts as current."""

    def majority_contact_at(leadership: Leadership) -> float:
        return leadership.state.now()

    return [mock.patch.object(Leadership, "majority_contact_at", majority_contact_at)]


def rejections_without_confirmation() -> list[Patch]:
    original = OperatorRequests.drain

    async def drain(requests: OperatorRequests, drains: bool, payload: Any) -> Any:
        with mock.patch.object(Consensus, "confirm_leadership", confirmed_at_once):
            return await original(requests, drains, payload)

    return [mock.patch.object(OperatorRequests, "drain", drain)]


class CaseTests(testtools.TestCase):
    """Runs a case with some mechanisms removed."""

    def violations(self, name: str, seed: int, patches: list[Patch]) -> list[str]:
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            return CONTROL_CASES[name](seed).violations


class ControlCaseTests(CaseTests):
    def assert_violates(self, name: str, patches: Callable[[], list[Patch]], rule: str) -> None:
        found: list[str] = []
        for seed in SEEDS:
            found += self.violations(name, seed, patches())
        self.assertTrue([text for text in found if text.startswith(rule)], found[:5])

    def test_an_isolated_leader_answers_nothing_from_old_state(self) -> None:
        for seed in SEEDS:
            self.assertEqual([], self.violations("isolated-leader", seed, []))

    def test_an_isolated_follower_answers_nothing_from_old_state(self) -> None:
        for seed in SEEDS:
            self.assertEqual([], self.violations("isolated-follower", seed, []))

    def test_reads_without_confirmation_are_served_in_isolation(self) -> None:
        patches = [mock.patch.object(Consensus, "confirm_leadership", confirmed_at_once)]
        self.assert_violates(
            "isolated-leader", lambda: [*never_deposed(), *patches], "isolated answers"
        )

    def test_a_leader_that_never_steps_down_sends_old_state(self) -> None:
        self.assert_violates("isolated-leader", never_deposed, "isolated renewals")

    def test_rejections_without_confirmation_rest_on_old_state(self) -> None:
        self.assert_violates("isolated-leader", rejections_without_confirmation, "stale recoveries")


def no_version_check() -> list[Patch]:
    """Accept a change whatever its base version is."""
    original = ReplicatedState.apply_change

    def apply_change(replicated_state: ReplicatedState, command: Any) -> Any:
        change = dict(command["change"])
        change["base"] = replicated_state.version
        change["version"] = replicated_state.version + 1
        return original(replicated_state, {**command, "change": change})

    return [mock.patch.object(ReplicatedState, "apply_change", apply_change)]


def no_outcomes() -> list[Patch]:
    """Find no outcome of an earlier change."""
    return [mock.patch.object(Outcomes, "find", lambda *_: None)]


def few_outcomes() -> list[Patch]:
    return [mock.patch.object(outcomes, "MAX_OUTCOMES_PER_KIND", 20)]


def no_pinned_outcome() -> list[Patch]:
    """Drop the outcome of the change in force like any other."""
    return [*few_outcomes(), mock.patch.object(Outcomes, "pin", lambda *_: None)]


class RaceTests(CaseTests):
    def test_one_of_racing_changes_is_acknowledged(self) -> None:
        for seed in range(20):
            self.assertEqual([], self.violations("racing-changes", seed, []))

    def test_without_the_version_check_several_changes_are_acknowledged(self) -> None:
        found = self.violations("racing-changes", 1, no_version_check())
        self.assertTrue([text for text in found if text.startswith("one winner")], found[:5])

    def test_without_kept_outcomes_a_resent_change_is_rejected(self) -> None:
        found = self.violations("racing-changes", 1, no_outcomes())
        self.assertTrue([text for text in found if text.startswith("sent again")], found[:5])

    def test_a_resent_change_is_acknowledged_while_it_is_in_force(self) -> None:
        for seed in range(4):
            self.assertEqual([], self.violations("lost-acknowledgement", seed, few_outcomes()))

    def test_without_pinning_a_resent_change_in_force_is_rejected(self) -> None:
        found = self.violations("lost-acknowledgement", 1, no_pinned_outcome())
        self.assertTrue([text for text in found if text.startswith("sent again")], found[:5])


class UnconfirmedRenewalTests(testtools.TestCase):
    def test_it_carries_no_state(self) -> None:
        answer = UnconfirmedRenewalResponse(0.9, 7).to_wire()
        self.assertEqual({"ok": True, "age": 0.9, "term": False, "words": [], "index": 7}, answer)


class FailedSyncTests(testtools.TestCase):
    def test_the_outcome_of_a_change_whose_sync_failed_is_unknown(self) -> None:
        """The record of the failed sync is found after a restart; the next leader commits it."""
        scenario = Scenario(1, edges=1, probers=0)
        scenario.set_up()
        leader = scenario.leader()
        other, third = [core for core in scenario.cores if core != leader]
        folder = scenario.node(leader).folder
        assert folder is not None
        with failing_after_sync(folder):
            change = route_change("unsynced", 1)
            status, _ = scenario.ask_now("POST", "/changes", change, leader)
            for core in scenario.cores:
                scenario.world.kill(core)
        self.assertEqual(504, status)
        scenario.start(leader)
        scenario.start(other)
        self.assertTrue(scenario.world.run_until(lambda: bool(scenario.leader()), 15))
        _, answer = scenario.ask_now("GET", "/configuration", None, other)
        self.assertEqual(2, answer["version"])
        self.assertFalse(scenario.node(third).alive)


@contextmanager
def failing_after_sync(failing: SimFolder) -> Iterator[None]:
    """Let the syncs of a disk fail, and every write after the first failed sync."""
    failed = False
    originals = {name: getattr(SimFolder, name) for name in DISK_WRITES}

    def write(name: str) -> Callable[..., None]:
        def fail_or_write(folder: SimFolder, *arguments: Any) -> None:
            nonlocal failed
            failed = failed or (folder is failing and name == "sync")
            if folder is failing and failed:
                raise FolderError("input/output error")
            originals[name](folder, *arguments)

        return fail_or_write

    with ExitStack() as stack:
        for name in DISK_WRITES:
            stack.enter_context(mock.patch.object(SimFolder, name, write(name)))
        yield
