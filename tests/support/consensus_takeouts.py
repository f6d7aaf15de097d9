"""Mutations of consensus, journal and replicated state that each disable one safety mechanism.

The model tests check that each of them breaks an invariant.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from ryelock.consensus import Consensus, ConsensusError, Snapshot
from ryelock.consensus.applier import CommittedApplier
from ryelock.consensus.election import Election
from ryelock.consensus.followers import Follower
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.log_receiver import LogReceiver
from ryelock.consensus.messages import (
    AppendEntriesRequest,
    AppendReply,
    InstallSnapshotRequest,
    LeaseReply,
    LeaseRequest,
    VoteReply,
    VoteRequest,
)
from ryelock.consensus.proposals import Proposals
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.state import MemberState
from ryelock.control_plane.departure import ConsensusDeparture
from ryelock.control_plane.voters import VoterManager
from ryelock.journal import Journal, open_journal
from ryelock.replicated_state import ReplicatedState
from ryelock.replicated_state.outcomes import Outcomes
from ryelock.rpc.codec import Natural
from ryelock.testing.model.disk import ModelFolder

Plain = dict[str, Any]
TakeOut = Callable[[], AbstractContextManager[object]]


@contextmanager
def unsynced(part: type, method: str) -> Iterator[None]:
    """Skip the fsync of all writes made by a method."""
    depth = [0]
    sync, original = ModelFolder.sync, getattr(part, method)

    def without_sync(folder: ModelFolder, name: str) -> None:
        if not depth[0]:
            sync(folder, name)

    def called(instance: object, *arguments: object) -> object:
        depth[0] += 1
        try:
            return original(instance, *arguments)
        finally:
            depth[0] -= 1

    with (
        mock.patch.object(ModelFolder, "sync", without_sync),
        mock.patch.object(part, method, called),
    ):
        yield


@contextmanager
def older_terms_counted() -> Iterator[None]:
    """Commit entries of older terms by counting replicas, see section 5.4.2 of the Raft paper."""
    counting = [False]
    count, advance = Replicator.advance_commit_index, CommittedApplier.advance
    term_at = MemberState.term_at

    def advance_commit_index(replicator: Replicator) -> None:
        counting[0] = True
        try:
            count(replicator)
        finally:
            counting[0] = False

    def advancing(applier: CommittedApplier, commit_index: int) -> None:
        counting[0] = False
        advance(applier, commit_index)

    def current_term_at(state: MemberState, index: int) -> int:
        return state.term if counting[0] else term_at(state, index)

    with (
        mock.patch.object(Replicator, "advance_commit_index", advance_commit_index),
        mock.patch.object(CommittedApplier, "advance", advancing),
        mock.patch.object(MemberState, "term_at", current_term_at),
    ):
        yield


def altered_vote(
    alter: Callable[[Election, VoteRequest], VoteRequest],
) -> AbstractContextManager[object]:
    """Alter each vote request before its voter handles it."""
    original = Election.on_vote

    def on_vote(election: Election, request: VoteRequest) -> VoteReply:
        return original(election, alter(election, request))

    return mock.patch.object(Election, "on_vote", on_vote)


def any_log_elected() -> AbstractContextManager[object]:
    highest = Natural(1 << 40)
    return altered_vote(lambda _, request: replace(request, last_term=highest, last_index=highest))


def votes_twice() -> AbstractContextManager[object]:
    def forget(election: Election, request: VoteRequest) -> VoteRequest:
        election.state.replicated_log.voted_for = ""
        return request

    return altered_vote(forget)


@contextmanager
def disk_names_ignored() -> Iterator[None]:
    """Members accept requests addressed to another disk at their address."""
    on_heartbeat, on_snapshot = LogReceiver.on_heartbeat, LogReceiver.on_snapshot

    def heartbeat(receiver: LogReceiver, request: AppendEntriesRequest) -> AppendReply:
        return on_heartbeat(receiver, replace(request, recipient=receiver.state.disk))

    def snapshot(receiver: LogReceiver, request: InstallSnapshotRequest) -> AppendReply:
        return on_snapshot(receiver, replace(request, recipient=receiver.state.disk))

    with (
        mock.patch.object(LogReceiver, "on_heartbeat", heartbeat),
        mock.patch.object(LogReceiver, "on_snapshot", snapshot),
        altered_vote(lambda election, request: replace(request, recipient=election.state.disk)),
    ):
        yield


def unconfirmed_reads() -> AbstractContextManager[object]:
    async def confirm(consensus: Consensus, _seconds: float) -> bool:
        await consensus.scheduler.sleep(0)
        return consensus.role == "leader"

    return mock.patch.object(Consensus, "confirm_leadership", confirm)


def promises_ignored() -> AbstractContextManager[object]:
    original = QuorumLease.on_request

    def on_request(lease: QuorumLease, request: LeaseRequest) -> LeaseReply:
        reply = original(lease, request)
        lease.granted_until = None
        return reply

    return mock.patch.object(QuorumLease, "on_request", on_request)


def promises_forgotten() -> AbstractContextManager[object]:
    """A restarted voter ignores the leases that it granted before the restart."""
    original = QuorumLease.__init__

    def init(lease: QuorumLease, state: MemberState) -> None:
        original(lease, state)
        lease.granted_until = None

    return mock.patch.object(QuorumLease, "__init__", init)


@contextmanager
def snapshot_drops_tail() -> Iterator[None]:
    """Installing a snapshot discards later entries, and followers with a failed disk are sent one.

    Without the second mutation a leader sends no snapshot to a follower whose log is longer.
    """
    next_index_after = Replicator.next_index_after

    def offer_snapshot(
        replicator: Replicator, follower: Follower, reply: AppendReply, last_index: int
    ) -> int:
        if reply.disk_failed:
            return max(1, replicator.state.snapshot.index)
        return next_index_after(replicator, follower, reply, last_index)

    def install(log: ReplicatedLog, snapshot: Snapshot) -> bool:
        return log.replace_prefix(snapshot, [])

    with (
        mock.patch.object(ReplicatedLog, "install", install),
        mock.patch.object(Replicator, "next_index_after", offer_snapshot),
    ):
        yield


def unchecked_voters() -> AbstractContextManager[object]:
    """A voter change is not validated when it is appended."""
    return mock.patch.object(
        Proposals, "voter_change_rejection", lambda _proposals, _voters, _entries: ""
    )


def base_unchecked() -> AbstractContextManager[object]:
    original = ReplicatedState.apply_change

    def change(replicated_state: ReplicatedState, command: Plain) -> Plain:
        altered = dict(command["change"])
        altered["base"] = min(replicated_state.version, altered["version"] - 1)
        replicated_state.version = altered["base"]
        return original(replicated_state, {**command, "change": altered})

    return mock.patch.object(ReplicatedState, "apply_change", change)


@contextmanager
def outcomes_forgotten() -> Iterator[None]:
    """Few outcomes of a kind are kept, and that of the newest change is not pinned."""
    with (
        mock.patch("ryelock.replicated_state.outcomes.MAX_OUTCOMES_PER_KIND", 1),
        mock.patch.object(Outcomes, "pin", lambda _outcomes, _kind, _identity: None),
    ):
        yield


def torn_tail_kept() -> AbstractContextManager[object]:
    """A torn tail of the journal is skipped on opening but not truncated."""
    return mock.patch.object(ModelFolder, "truncate", lambda _folder, _name, _size: None)


def failed_write_left() -> AbstractContextManager[object]:
    """The remains of a failed write are not truncated before the next write."""

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
        mock.patch("ryelock.consensus.election.majority_of", half),
    ):
        yield


@contextmanager
def unsynced_opening() -> Iterator[None]:
    """A recovered journal is not synced, so that recovered records may not be durable."""
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
    """A failed write of the leader is reported as certainly not executed."""
    original = ConsensusError.__init__

    def init(error: ConsensusError, reason: str, certain: bool) -> None:
        original(error, reason, certain or "disk" in reason)

    return mock.patch.object(ConsensusError, "__init__", init)


def few_promises() -> AbstractContextManager[object]:
    """An edge accepts a quorum lease from half of the voters."""
    return mock.patch("ryelock.edge.quorum_votes.majority_of", lambda voters: (voters + 1) // 2)


def leaves_at_once() -> AbstractContextManager[object]:
    """A leaving member is released at once."""
    return mock.patch.object(VoterManager, "is_releasable", lambda _voters, _disk: True)


def released_members_go_on() -> AbstractContextManager[object]:
    """A released member takes part in consensus until its process ends."""

    async def leave(departure: ConsensusDeparture, until: float) -> None:
        await departure.wait_for_release(until)

    return mock.patch.object(ConsensusDeparture, "leave", leave)


TAKE_OUTS: dict[str, TakeOut] = {
    "vote not synced": lambda: unsynced(MemberState, "save_vote"),
    "entries not synced": lambda: unsynced(CommittedApplier, "store"),
    "older epochs counted": older_terms_counted,
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
