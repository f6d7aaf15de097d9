"""Adapter between the model and the real consensus, journal, replicated state and voter manager.

The other modules of the model use these packages only through this one.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Protocol, cast
from unittest import mock

import cbor2

from ryelock.consensus import Consensus, ConsensusSettings
from ryelock.consensus.entries import Entry, EntryKind, RecoveredState, decode_voters
from ryelock.consensus.log import MAX_RETAINED_BYTES
from ryelock.control_plane.departure import MAX_DEPARTURE_SECONDS, ConsensusDeparture
from ryelock.control_plane.identity import open_disk, read_identity
from ryelock.control_plane.process import FINISH_SECONDS
from ryelock.control_plane.voters import RELEASE_REQUEST, VoterManager
from ryelock.edge.quorum_votes import QuorumLeaseVote, decode_vote, is_quorum
from ryelock.events import Event, Log
from ryelock.journal import Folder, JournalError, open_journal
from ryelock.membership import Membership
from ryelock.replicated_state import ReplicatedState, encode_command
from ryelock.rpc import Message, Reply, RpcClients
from ryelock.runtime import Scheduler

__all__ = [
    "RELEASE_REQUEST",
    "Message",
    "ProductNode",
    "QuorumLeaseVote",
    "Reply",
    "decode_vote",
    "is_quorum",
    "read_disk",
]

RETAINING_SNAPSHOT_RECORDS = 8
"""Clusters with this snapshot interval retain log entries behind a snapshot; others retain none."""
HEARTBEAT_SECONDS = 0.15
ELECTION_SECONDS = 0.7
QUORUM_LEASE_SECONDS = 1.5
REPLACE_SECONDS = 1.5


@contextmanager
def batch_limit(size: int) -> Iterator[None]:
    """Limit the entries of one AppendEntries request to `size` bytes, but at least one entry."""
    with mock.patch("ryelock.consensus.followers.MAX_BATCH_BYTES", size):
        yield


class SilentLog(Log):
    """A log that discards all events."""

    __slots__ = ()

    def __init__(self) -> None:
        """Create a log without an output stream."""
        self.node = ""

    def write(self, event: Event, **fields: object) -> None:
        """Discard an event."""


class EmptyMembership:
    """A membership without sessions, so that the voter manager ignores zones."""

    def members(self) -> dict[str, object]:
        """Return no sessions."""
        return {}


class Observer(Protocol):
    """Receives the events of a node and its state machine."""

    def applied(self, disk: str, index: int, data: bytes, state: object) -> None:
        """Handle a command applied to the state machine, and the state after it."""

    def snapshot_taken(self, disk: str, index: int, data: bytes) -> None:
        """Handle a snapshot taken of the state machine."""

    def restored(self, disk: str, index: int, data: bytes) -> None:
        """Handle a snapshot restored into the state machine."""

    def started(self, disk: str) -> None:
        """Handle the start of a process on a disk."""

    def release(self, disk: str) -> None:
        """Handle the permission for the process on a disk to end."""


class ObservedReplicatedState(ReplicatedState):
    """A replicated state that reports its commands and snapshots to an observer."""

    __slots__ = ("disk", "observer")

    def __init__(self, disk: str, observer: Observer) -> None:
        """Create an empty state for the node on a disk."""
        super().__init__()
        self.disk = disk
        self.observer = observer

    def apply(self, index: int, data: bytes) -> dict[str, object]:
        """Apply a command and report it."""
        result = super().apply(index, data)
        state = (self.version, self.newest_change(), self.purge_number)
        self.observer.applied(self.disk, index, data, state)
        return result

    def snapshot(self) -> bytes:
        """Take a snapshot and report it."""
        data = super().snapshot()
        self.observer.snapshot_taken(self.disk, self.index, data)
        return data

    def restore(self, data: bytes) -> None:
        """Restore a snapshot and report it."""
        super().restore(data)
        self.observer.restored(self.disk, self.index, data)

    def newest_change(self) -> str:
        """Return the id of the newest change, which each change writes into the configuration."""
        limits = self.configuration.limits
        found = limits.get("callers")
        return found.annotation if found is not None else ""


class DiskUnusableError(Exception):
    """The disk could not be opened, perhaps only because of an injected fault."""


class Change:
    """An attempt to change the configuration; `token` distinguishes attempts of one change."""

    __slots__ = ("base", "identity", "token", "version")

    def __init__(self, identity: str, base: int, version: int, token: int) -> None:
        """Create an attempt of a change."""
        self.identity = identity
        self.base = base
        self.version = version
        self.token = token

    def encode(self) -> bytes:
        """Return the command to be proposed to the consensus group."""
        change = {
            "id": self.identity,
            "base": self.base,
            "version": self.version,
            "put": {"limits": {"callers": {"annotation": self.identity}}},
        }
        return encode_command("change", id=self.identity, wall=float(self.token), change=change)


def purge_command(number: int) -> bytes:
    """Return the command of a purge with a unique id."""
    scopes = [{"path": f"/{number}"}]
    return encode_command("purge", id=f"purge-{number}", wall=0.0, scopes=scopes)


def change_of(data: bytes) -> tuple[str, int, int] | None:
    """Return id, base and version of a change command, or None for any other command."""
    command = cbor2.loads(data)
    if not isinstance(command, dict) or command.get("word") != "change":
        return None
    change = command["change"]
    return str(change["id"]), int(change["base"]), int(change["version"])


class ChangeOutcome:
    """The outcome of an attempt.

    `status` is one of those of the linearizability module. `version` and `index` (of the log entry)
    are 0 unless the change was executed. `certain` is True if it certainly never will be.
    """

    __slots__ = ("certain", "index", "status", "version")

    def __init__(
        self,
        status: str,
        version: int = 0,
        index: int = 0,
        certain: bool = False,
    ) -> None:
        """Create an outcome."""
        self.status = status
        self.version = version
        self.index = index
        self.certain = certain


class ProductNode:
    """A control node without its daemon: consensus, state and voter manager on a disk."""

    __slots__ = (
        "consensus",
        "observer",
        "replicated_state",
        "rpc_clients",
        "scheduler",
        "voter_manager",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: object,
        folder: Folder,
        name: str,
        address: str,
        seeds: tuple[str, ...],
        random: Random,
        observer: Observer,
        snapshot_records: int,
        segment_bytes: int,
    ) -> None:
        """Open the disk and create the node; raise DiskUnusableError if that fails."""
        self.rpc_clients = rpc_clients
        log = SilentLog()
        found = open_disk(folder, log, segment_bytes, random)
        if found.is_error():
            raise DiskUnusableError(found.error.reason)
        disk, journal = found.ok
        self.scheduler = scheduler
        self.observer = observer
        self.replicated_state = ObservedReplicatedState(disk, observer)
        settings = ConsensusSettings(
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_timeout=ELECTION_SECONDS,
            lease_seconds=QUORUM_LEASE_SECONDS,
            replace_seconds=REPLACE_SECONDS,
            snapshot_records=snapshot_records,
            max_retained_bytes=MAX_RETAINED_BYTES
            if snapshot_records == RETAINING_SNAPSHOT_RECORDS
            else 0,
        )
        self.consensus = Consensus(
            scheduler,
            cast(RpcClients, rpc_clients),
            log,
            journal,
            self.replicated_state,
            name,
            disk,
            address,
            seeds,
            settings,
            random,
        )
        self.voter_manager = VoterManager(
            scheduler, self.consensus, cast(Membership, EmptyMembership())
        )

    def start(self) -> None:
        """Start consensus and the voter manager."""
        self.observer.started(self.disk)
        self.consensus.start()
        self.scheduler.create_task(self.voter_manager.run(), name="voters")

    @property
    def disk(self) -> str:
        """Return the id of the disk."""
        return self.consensus.disk

    @property
    def leads(self) -> bool:
        """Return True if this node has the leader role, even if it has been superseded."""
        return self.consensus.role == "leader"

    @property
    def ready(self) -> bool:
        """Return True if it is a leader with a committed entry of its own term."""
        return self.consensus.leader_ready

    @property
    def applied(self) -> int:
        """Return the index of the last applied entry."""
        return self.consensus.applied_index

    @property
    def voters(self) -> dict[str, str]:
        """Return the addresses of the voters by disk."""
        return dict(self.consensus.voters)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.consensus.term

    @property
    def learners(self) -> dict[str, str]:
        """Return the addresses of the learners by disk."""
        return {disk: address for disk, (address, _) in self.consensus.learners.items()}

    def answer(self, message: Message, reply: Reply) -> bool:
        """Handle a request of another process; return False if no component accepts it."""
        if message.get("kind") == RELEASE_REQUEST:
            reply(self.voter_manager.on_release_request(message))
            return True
        return self.consensus.answer(message, reply)

    async def change(self, change: Change) -> ChangeOutcome:
        """Propose a change, as the control API does at the leader."""
        outcome = await self.consensus.propose(change.encode())
        if outcome.is_error():
            certain = outcome.error.certain
            status = "not-taken" if certain else "unknown"
            return ChangeOutcome(status, certain=certain)
        result = outcome.ok
        assert isinstance(result, dict)
        return ChangeOutcome(
            str(result["status"]), int(result.get("version", 0)), int(result.get("index", 0))
        )

    async def purge(self, number: int) -> int:
        """Propose a purge; return the index of its entry, or 0 if it was not acknowledged."""
        outcome = await self.consensus.propose(purge_command(number))
        result = outcome.ok if outcome.is_ok() else None
        return int(result["index"]) if isinstance(result, dict) and "index" in result else 0

    async def read(self) -> tuple[int, str] | None:
        """Return version and newest change after confirming leadership; None if not confirmed."""
        if not await self.consensus.confirm_leadership(2.0):
            return None
        return self.replicated_state.version, self.replicated_state.newest_change()

    async def change_voters(self, voters: dict[str, str]) -> None:
        """Propose a set of voters."""
        await self.consensus.change_voters(voters)

    async def leave(self) -> None:
        """Leave as the daemon does on a graceful stop, with time for open requests to finish."""
        until = self.scheduler.now() + MAX_DEPARTURE_SECONDS
        await ObservedDeparture(self).leave(until)
        await self.scheduler.sleep(FINISH_SECONDS)

    async def hand_over(self) -> None:
        """Transfer leadership to the best successor."""
        successor = self.consensus.best_successor()
        if self.leads and successor:
            await self.consensus.transfer_leadership(successor)


class ObservedDeparture(ConsensusDeparture):
    """The departure of the daemon, which also reports to the observer when the node may end."""

    __slots__ = ("node",)

    def __init__(self, node: ProductNode) -> None:
        """Create the departure of a node."""
        clients = cast(RpcClients, node.rpc_clients)
        super().__init__(node.scheduler, SilentLog(), clients, node.consensus, node.voter_manager)
        self.node = node

    async def wait_for_release(self, until: float) -> bool:
        """Wait as the daemon does, then report the release."""
        released = await super().wait_for_release(until)
        if released:
            self.node.observer.release(self.consensus.disk)
        return released


class DiskLog:
    """The recovered state of one disk: identity, term, vote, snapshot and entries."""

    __slots__ = ("base_index", "base_term", "base_voters", "disk", "entries", "term", "voted")

    def __init__(self, disk: str, stored: RecoveredState) -> None:
        """Create the log of a disk from the state that consensus recovers from it."""
        self.disk = disk
        self.term = stored.term
        self.voted = stored.voted_for
        self.base_index = stored.snapshot.index
        self.base_term = stored.snapshot.term
        self.base_voters = stored.snapshot.voters
        self.entries: list[Entry] = stored.entries

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def entry(self, index: int) -> Entry | None:
        """Return the entry at an index, or None if it is compacted into the snapshot or missing."""
        position = index - self.base_index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def holds(self, index: int, data: bytes) -> bool:
        """Return True if the log has an entry, or a snapshot that covers its index."""
        if index <= self.base_index:
            return True
        found = self.entry(index)
        return found is not None and found.data == data

    def configurations(self) -> list[tuple[int, dict[str, str]]]:
        """Return index and voters of the snapshot and of each later configuration entry."""
        found = [(self.base_index, dict(self.base_voters))] if self.base_voters else []
        found += [
            (entry.index, decode_voters(entry.data))
            for entry in self.entries
            if entry.kind == EntryKind.VOTERS
        ]
        return found


def read_disk(folder: Folder, segment_bytes: int) -> DiskLog | None:
    """Recover the state of a disk; return None if it has no identity yet.

    Raises:
        JournalError: the journal cannot be opened.
        ValueError: a record is malformed.
    """
    if not folder.names():
        return None
    disk = read_identity(folder)
    if not disk:
        return None
    found = open_journal(folder, SilentLog(), segment_bytes)
    if found.is_error():
        raise found.error
    return DiskLog(disk, RecoveredState(found.ok.snapshot, found.ok.records))


UNREADABLE = (JournalError, ValueError)
