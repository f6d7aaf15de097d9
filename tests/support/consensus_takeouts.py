"""Mechanisms of consensus, journal and register taken out one at a time, by mock patches."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any
from unittest import mock

from ryelock.consensus import Consensus
from ryelock.consensus.entries import Snapshot
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.types import ConsensusError, Peer
from ryelock.control_plane.process import ControlNode
from ryelock.control_plane.voters import VoterManager
from ryelock.journal import Journal, open_journal
from ryelock.replicated_state import ReplicatedState
from ryelock.replicated_state.outcomes import Outcomes
from ryelock.testing.model.disk import ModelFolder

Plain = dict[str, Any]
TakeOut = Callable[[], AbstractContextManager[object]]


@contextmanager
def unsynced(method: str) -> Iterator[None]:
    """What a method of the consensus group writes stays unsynced."""
    depth = [0]
    sync, original = ModelFolder.sync, getattr(Consensus, method)

    def without_sync(folder: ModelFolder, name: str) -> None:
        if not depth[0]:
            sync(folder, name)

    def called(consensus: Consensus, *given: object) -> object:
        depth[0] += 1
        try:
            return original(consensus, *given)
        finally:
            depth[0] -= 1

    with (
        mock.patch.object(ModelFolder, "sync", without_sync),
        mock.patch.object(Consensus, method, called),
    ):
        yield


@contextmanager
def older_epochs_counted() -> Iterator[None]:
    """An entry of an older epoch counts as agreed once it stands on a majority."""
    counting = [False]
    count, advance, epoch_at = Consensus.count_commit, Consensus.advance, Consensus.term_at

    def count_commit(consensus: Consensus) -> None:
        counting[0] = True
        try:
            count(consensus)
        finally:
            counting[0] = False

    def advancing(consensus: Consensus, commit: int) -> None:
        counting[0] = False
        advance(consensus, commit)

    def pretended(consensus: Consensus, index: int) -> int:
        return consensus.term if counting[0] else epoch_at(consensus, index)

    with (
        mock.patch.object(Consensus, "count_commit", count_commit),
        mock.patch.object(Consensus, "advance", advancing),
        mock.patch.object(Consensus, "term_at", pretended),
    ):
        yield


def altered(
    method: str, alter: Callable[[Consensus, Plain], Plain]
) -> AbstractContextManager[object]:
    """A handler of the consensus group that is given another message."""
    original = getattr(Consensus, method)

    def handler(consensus: Consensus, message: Plain) -> object:
        return original(consensus, alter(consensus, message))

    patched: AbstractContextManager[object] = mock.patch.object(Consensus, method, handler)
    return patched


def any_log_elected() -> AbstractContextManager[object]:
    return altered(
        "on_vote", lambda _, message: {**message, "last_epoch": 1 << 40, "last_index": 1 << 40}
    )


def votes_twice() -> AbstractContextManager[object]:
    def forget(consensus: Consensus, message: Plain) -> Plain:
        consensus.replicated_log.voted = ""
        return message

    return altered("on_vote", forget)


@contextmanager
def disk_names_ignored() -> Iterator[None]:
    with ExitStack() as stack:
        for method in ("on_vote", "on_heartbeat", "on_snapshot"):
            stack.enter_context(
                altered(method, lambda consensus, message: {**message, "to": consensus.disk})
            )
        yield


def unconfirmed_reads() -> AbstractContextManager[object]:
    async def confirm(consensus: Consensus, _seconds: float) -> bool:
        await consensus.scheduler.sleep(0)
        return consensus.role == "leader"

    return mock.patch.object(Consensus, "confirm_leadership", confirm)


def promises_ignored() -> AbstractContextManager[object]:
    original = Consensus.on_promise

    def on_promise(consensus: Consensus, message: Plain) -> Plain:
        answer = original(consensus, message)
        consensus.promised = -1e9
        return answer

    return mock.patch.object(Consensus, "on_promise", on_promise)


def promises_forgotten() -> AbstractContextManager[object]:
    """A restarted voter keeps no promise of its life before."""
    original = Consensus.__init__

    def init(consensus: Consensus, *given: Any) -> None:
        original(consensus, *given)
        consensus.promised = -1e9

    return mock.patch.object(Consensus, "__init__", init)


@contextmanager
def snapshot_drops_tail() -> Iterator[None]:
    """Entries behind an installed image go, and a follower whose disk failed is offered one.

    A leader as it is now offers no image to a follower whose log reaches farther than that.
    """
    next_for = Consensus.next_for

    def offer_image(consensus: Consensus, peer: Peer, answer: Plain, last: int) -> int:
        if answer.get("failed") is True:
            return max(1, consensus.snapshot.index)
        return next_for(consensus, peer, answer, last)

    def install(log: ReplicatedLog, snapshot: Snapshot) -> bool:
        return log.replace_start(snapshot, [])

    with (
        mock.patch.object(ReplicatedLog, "install", install),
        mock.patch.object(Consensus, "next_for", offer_image),
    ):
        yield


def unchecked_voters() -> AbstractContextManager[object]:
    """A change of voters is not checked where it is appended."""
    return mock.patch.object(Consensus, "fault_of_voters", lambda _council, _voters, _entries: "")


def base_unchecked() -> AbstractContextManager[object]:
    original = ReplicatedState.apply_change

    def change(replicated_state: ReplicatedState, word: Plain) -> Plain:
        given = dict(word["change"])
        given["base"] = min(replicated_state.version, given["version"] - 1)
        replicated_state.version = given["base"]
        return original(replicated_state, {**word, "change": given})

    return mock.patch.object(ReplicatedState, "apply_change", change)


@contextmanager
def outcomes_forgotten() -> Iterator[None]:
    """Two outcomes of a kind are remembered, that of the standing change not for longer."""
    with (
        mock.patch("ryelock.replicated_state.outcomes.MAX_OUTCOMES_PER_KIND", 1),
        mock.patch.object(Outcomes, "pin", lambda _outcomes, _kind, _identity: None),
    ):
        yield


def torn_tail_kept() -> AbstractContextManager[object]:
    """A torn tail is passed by on opening but stays in the file."""
    return mock.patch.object(ModelFolder, "truncate", lambda _folder, _name, _size: None)


def failed_write_left() -> AbstractContextManager[object]:
    """What a failed write left is not cut before the next one."""

    def repair(journal: Journal) -> None:
        journal.needs_repair = False

    return mock.patch.object(Journal, "repair", repair)


@contextmanager
def half_is_enough() -> Iterator[None]:
    """Half of the voters count as a majority."""

    def half(voters: int) -> int:
        return max(1, voters // 2)

    with (
        mock.patch("ryelock.consensus.state.majority_of", half),
        mock.patch("ryelock.consensus.elections.majority_of", half),
    ):
        yield


@contextmanager
def unsynced_opening() -> Iterator[None]:
    """What a reopened journal gives back may not be on disk yet."""
    opening = [False]
    sync = ModelFolder.sync

    def without_sync(folder: ModelFolder, name: str) -> None:
        if not opening[0]:
            sync(folder, name)

    def opened(folder: Any, log: Any, segment_bytes: int) -> object:
        opening[0] = True
        try:
            return open_journal(folder, log, segment_bytes)
        finally:
            opening[0] = False

    with (
        mock.patch.object(ModelFolder, "sync", without_sync),
        mock.patch("ryelock.control_plane.identity.open_journal", opened),
    ):
        yield


def failed_write_refuses() -> AbstractContextManager[object]:
    """A failed write of the leader's is answered with "certainly not taken"."""
    original = ConsensusError.__init__

    def init(error: ConsensusError, reason: str, certain: bool) -> None:
        original(error, reason, certain or "disk" in reason)

    return mock.patch.object(ConsensusError, "__init__", init)


def few_promises() -> AbstractContextManager[object]:
    """An edge serves on as few promises as hold up the voters it knows of."""
    return mock.patch("ryelock.edge.promises.majority_of", lambda voters: (voters + 1) // 2)


def leaves_at_once() -> AbstractContextManager[object]:
    """A member that leaves is let go at once."""
    return mock.patch.object(VoterManager, "may_end", lambda _keeper, _disk: True)


def released_members_go_on() -> AbstractContextManager[object]:
    """A member that was let go takes part until its process ends."""

    async def leave_consensus(node: ControlNode, until: float) -> None:
        await node.wait_for_release(until)

    return mock.patch.object(ControlNode, "leave_consensus", leave_consensus)


TAKE_OUTS: dict[str, TakeOut] = {
    "vote not synced": lambda: unsynced("save_vote"),
    "entries not synced": lambda: unsynced("store"),
    "older epochs counted": older_epochs_counted,
    "any log elected": any_log_elected,
    "votes twice": votes_twice,
    "disk names ignored": disk_names_ignored,
    "unconfirmed reads": unconfirmed_reads,
    "promises ignored": promises_ignored,
    "promises forgotten": promises_forgotten,
    "image drops tail": snapshot_drops_tail,
    "unchecked voters": unchecked_voters,
    "base unchecked": base_unchecked,
    "outcomes forgotten": outcomes_forgotten,
    "torn tail kept": torn_tail_kept,
    "failed write left": failed_write_left,
    "half is enough": half_is_enough,
    "unsynced opening": unsynced_opening,
    "failed write refuses": failed_write_refuses,
    "few promises": few_promises,
    "leaves at once": leaves_at_once,
    "released members go on": released_members_go_on,
}
