"""The control plane under isolation: each case holds, and fails without its mechanism."""

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
    """A leader that trusts its own word instead of a majority's answer."""
    return True


def never_deposed() -> list[Patch]:
    """A leader that believes in its majority for ever."""

    def majority_contact_at(leadership: Leadership) -> float:
        return leadership.state.now()

    return [mock.patch.object(Leadership, "majority_contact_at", majority_contact_at)]


def refusals_without_confirmation() -> list[Patch]:
    plain = OperatorRequests.drain

    async def drain(leading: OperatorRequests, on: bool, given: Any) -> Any:
        with mock.patch.object(Consensus, "confirm_leadership", confirmed_at_once):
            return await plain(leading, on, given)

    return [mock.patch.object(OperatorRequests, "drain", drain)]


class CaseTests(testtools.TestCase):
    """Plays a case with some mechanisms taken out."""

    def found(self, name: str, seed: int, patches: list[Patch]) -> list[str]:
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            return CONTROL_CASES[name](seed).violations


class ControlCaseTests(CaseTests):
    def breaks(self, name: str, patches: Callable[[], list[Patch]], rule: str) -> None:
        found: list[str] = []
        for seed in SEEDS:
            found += self.found(name, seed, patches())
        self.assertTrue([text for text in found if text.startswith(rule)], found[:5])

    def test_an_isolated_leader_answers_nothing_from_old_state(self) -> None:
        for seed in SEEDS:
            self.assertEqual([], self.found("isolated-leader", seed, []))

    def test_an_isolated_follower_answers_nothing_from_old_state(self) -> None:
        for seed in SEEDS:
            self.assertEqual([], self.found("isolated-follower", seed, []))

    def test_reads_without_confirmation_are_served_in_isolation(self) -> None:
        patches = [mock.patch.object(Consensus, "confirm_leadership", confirmed_at_once)]
        self.breaks("isolated-leader", lambda: [*never_deposed(), *patches], "isolated answers")

    def test_a_leader_that_is_never_deposed_hands_out_old_state(self) -> None:
        self.breaks("isolated-leader", never_deposed, "isolated renewals")

    def test_refusals_without_confirmation_come_from_old_state(self) -> None:
        self.breaks("isolated-leader", refusals_without_confirmation, "stale recoveries")


def no_version_check() -> list[Patch]:
    """A change is taken whatever version it builds on."""
    plain = ReplicatedState.apply_change

    def change(replicated_state: ReplicatedState, word: Any) -> Any:
        asked = dict(word["change"])
        asked["base"] = replicated_state.version
        asked["version"] = replicated_state.version + 1
        return plain(replicated_state, {**word, "change": asked})

    return [mock.patch.object(ReplicatedState, "apply_change", change)]


def no_memory() -> list[Patch]:
    """Nothing is known of a change that was taken before."""
    return [mock.patch.object(Outcomes, "find", lambda *_: None)]


def small_memory() -> list[Patch]:
    return [mock.patch.object(outcomes, "MAX_OUTCOMES_PER_KIND", 20)]


def nothing_stands() -> list[Patch]:
    """The outcome of the standing change is forgotten like any other."""
    return [*small_memory(), mock.patch.object(Outcomes, "pin", lambda *_: None)]


class RaceTests(CaseTests):
    def test_one_of_racing_changes_is_acknowledged(self) -> None:
        for seed in range(20):
            self.assertEqual([], self.found("racing-changes", seed, []))

    def test_without_the_version_check_several_are(self) -> None:
        found = self.found("racing-changes", 1, no_version_check())
        self.assertTrue([text for text in found if text.startswith("one winner")], found[:5])

    def test_without_memory_a_repeated_change_is_refused(self) -> None:
        found = self.found("racing-changes", 1, no_memory())
        self.assertTrue([text for text in found if text.startswith("sent again")], found[:5])

    def test_a_change_is_acknowledged_again_as_long_as_it_stands(self) -> None:
        for seed in range(4):
            self.assertEqual([], self.found("lost-acknowledgement", seed, small_memory()))

    def test_a_standing_change_that_is_forgotten_is_refused(self) -> None:
        found = self.found("lost-acknowledgement", 1, nothing_stands())
        self.assertTrue([text for text in found if text.startswith("sent again")], found[:5])


class UnconfirmedRenewalTests(testtools.TestCase):
    def test_it_carries_no_state(self) -> None:
        answer = UnconfirmedRenewalResponse(0.9, 7).to_wire()
        self.assertEqual({"ok": True, "age": 0.9, "term": False, "words": [], "index": 7}, answer)


class FailedSyncTests(testtools.TestCase):
    def test_a_change_whose_sync_failed_may_be_in_force_and_is_told_unknown(self) -> None:
        """The record of a failed sync is found after a restart and agreed on by the next leader."""
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
    """A disk whose syncs fail, and which takes no other write or cut once one has failed."""
    failed = False
    plain = {name: getattr(SimFolder, name) for name in DISK_WRITES}

    def write(name: str) -> Callable[..., None]:
        def act(folder: SimFolder, *arguments: Any) -> None:
            nonlocal failed
            failed = failed or (folder is failing and name == "sync")
            if folder is failing and failed:
                raise FolderError("input/output error")
            plain[name](folder, *arguments)

        return act

    with ExitStack() as stack:
        for name in DISK_WRITES:
            stack.enter_context(mock.patch.object(SimFolder, name, write(name)))
        yield
