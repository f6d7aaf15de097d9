"""What the harness saw, and the invariants it is held against.

Everything rests on messages on the wire, on disks read back by a fresh open, on what the
state machines were given, and on the answers to operators.
"""

import zlib
from itertools import pairwise

from ryelock.testing.model.adapter import Change, DiskLog, Message, change_of
from ryelock.testing.model.linearizability import (
    ACCEPTED,
    CHANGE,
    READ,
    Operation,
    linearizable,
)
from ryelock.testing.model.violation import ViolationError

ELECTION_SAFETY = "election safety"
ONE_VOTE = "one vote an epoch"
VOTE_DURABLE = "a vote stands on its disk"
LOG_MATCHING = "log matching"
LEADER_COMPLETENESS = "leader completeness"
STATE_MACHINE_SAFETY = "state machine safety"
DURABILITY = "acknowledged entries stand on a majority of disks"
KEPT = "a disk keeps acknowledged entries"
FOLLOWER_KEEPS = "a follower keeps what it told its leader it has"
LEAVING = "a node that leaves leaves a majority of disks behind"
SINGLE_SERVER = "single-server membership changes"
ONE_PER_BASE = "at most one acknowledged change to a base version"
CERTAIN = "what was certainly not taken is never applied"
RETRY_ACKNOWLEDGED = "an acknowledged change sent again is acknowledged again"
LINEARIZABILITY = "linearizability"
QUORUM_LEASE = "nothing new is acknowledged against promises"
READABLE = "a disk can be read back"
LIVENESS = "liveness after healing"
TASK_FAULT = "no task ends by a fault"


class QuorumLeaseWindow:
    """A time in which an edge serves on a quorum lease; entries up to `last` were known to it."""

    __slots__ = ("began", "last", "until")

    def __init__(self, began: float, until: float, last: int) -> None:
        """Times are the world's, in seconds."""
        self.began = began
        self.until = until
        self.last = last


def is_majority_of_any(disks: set[str], configurations: list[set[str]]) -> bool:
    """Whether some disks are a majority of one of several sets of voters."""
    return any(len(disks & voters) > len(voters) // 2 for voters in configurations)


class History:
    """All observations of one schedule; raises ViolationError once one breaks an invariant."""

    def __init__(self) -> None:
        """Nothing was seen yet."""
        self.events = 0
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.entries_seen: dict[tuple[int, int], tuple[int | None, str, bytes]] = {}
        self.commands: dict[int, bytes] = {}
        self.states: dict[int, object] = {}
        self.snapshots: dict[int, int] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.acknowledged_terms: dict[int, int] = {}
        self.bases: dict[int, str] = {}
        self.held: dict[str, set[int]] = {}
        self.matched: dict[str, tuple[int, int]] = {}
        self.operations: list[Operation] = []
        self.refused: set[bytes] = set()
        self.windows: list[QuorumLeaseWindow] = []
        self.disks: dict[str, DiskLog] = {}
        self.released: set[str] = set()
        self.new_leaders: list[tuple[int, str]] = []
        self.found: ViolationError | None = None

    def fail(self, invariant: str, detail: str) -> None:
        """Keep the first violation: it is seen inside of product code and raised outside."""
        if self.found is None:
            self.found = ViolationError(invariant, detail)

    def tick(self) -> int:
        """The number of the next event of an operator."""
        self.events += 1
        return self.events

    # Messages.

    def sent(self, message: Message) -> None:
        """A node sent a request."""
        kind = message.get("kind")
        if kind in ("council.beat", "council.image"):
            self.led(int(str(message["epoch"])), str(message["disk"]))
        if kind == "council.beat":
            self.heartbeat_sent(message)
        elif kind == "council.vote" and message["trial"] is False:
            disk = str(message["disk"])
            self.voted(disk, int(str(message["epoch"])), disk)

    def answered(self, ask: Message, answer: Message) -> None:
        """A node answered a request."""
        if ask.get("kind") == "council.beat" and answer.get("ok") is True:
            self.matched_up_to(
                str(answer["disk"]), int(str(ask["epoch"])), int(str(answer["last"]))
            )
        if ask.get("kind") != "council.vote" or ask["trial"] is True:
            return
        if answer.get("granted") is True:
            self.voted(str(answer["disk"]), int(str(ask["epoch"])), str(ask["disk"]))

    def matched_up_to(self, disk: str, term: int, last: int) -> None:
        """A follower acknowledged to the leader of a term that its log matches up to an index."""
        known_term, known = self.matched.get(disk, (0, 0))
        if term > known_term or (term == known_term and last > known):
            self.matched[disk] = (term, last)

    def led(self, term: int, disk: str) -> None:
        """A disk acted as the leader of a term."""
        known = self.leaders.get(term)
        if known is None:
            self.leaders[term] = disk
            self.new_leaders.append((term, disk))
        elif known != disk:
            self.fail(ELECTION_SAFETY, f"{known} and {disk} lead epoch {term}")

    def voted(self, disk: str, term: int, candidate: str) -> None:
        """A disk voted in a term."""
        known = self.votes.setdefault((disk, term), candidate)
        if known != candidate:
            self.fail(ONE_VOTE, f"{disk} voted in epoch {term} for {known} and {candidate}")

    def heartbeat_sent(self, message: Message) -> None:
        """A heartbeat carried entries and the term of the one before them."""
        previous_term = int(str(message["previous_epoch"]))
        entries = message["entries"]
        assert isinstance(entries, list)
        for index, term, kind, data in entries:
            self.entry_seen(index, term, previous_term, kind, data)
            previous_term = term

    def entry_seen(self, index: int, term: int, before: int | None, kind: str, data: bytes) -> None:
        """Same index and term: the same entry with the same one before it."""
        found = (before, kind, data)
        known = self.entries_seen.setdefault((index, term), found)
        if known == found:
            return
        if known[1:] == found[1:] and None in (known[0], before):
            self.entries_seen[(index, term)] = found if known[0] is None else known
            return
        self.fail(LOG_MATCHING, f"entry {index} of epoch {term}: {known} and {found}")

    # State machines.

    def applied(self, disk: str, index: int, data: bytes, state: object) -> None:
        """A state machine applied a command and came to a state."""
        known = self.commands.setdefault(index, data)
        if known != data:
            self.fail(STATE_MACHINE_SAFETY, f"{disk} applied another word at {index}")
        if self.states.setdefault(index, state) != state:
            self.fail(STATE_MACHINE_SAFETY, f"{disk} at {index}: {state}, not {self.states[index]}")
        if data in self.refused:
            self.fail(CERTAIN, f"{disk} applied {change_of(data)} at {index}")

    def snapshot_taken(self, disk: str, index: int, data: bytes) -> None:
        """A state machine wrote a snapshot."""
        checksum = zlib.crc32(data)
        if self.snapshots.setdefault(index, checksum) != checksum:
            self.fail(STATE_MACHINE_SAFETY, f"{disk} has another image at {index}")

    def restored(self, disk: str, index: int, data: bytes) -> None:
        """A state machine was restored from a snapshot."""
        self.snapshot_taken(disk, index, data)

    # Operators.

    def refuse(self, change: Change) -> None:
        """An operator was answered that this attempt is certainly not taken."""
        data = change.encode()
        self.refused.add(data)
        if data in self.commands.values():
            self.fail(CERTAIN, f"{change.identity} was applied and refused")

    def acknowledge(
        self, operation: Operation, version: int, index: int, disk: str, now: float
    ) -> None:
        """A change was acknowledged by the node on a disk; `now` is the world's time."""
        if version != operation.version:
            self.fail(LINEARIZABILITY, f"{operation} was acknowledged with version {version}")
        known = self.bases.setdefault(operation.base, operation.identity)
        if known != operation.identity:
            self.fail(ONE_PER_BASE, f"{known} and {operation.identity} on {operation.base}")
        self.acknowledge_command(index, disk, now)

    def acknowledge_command(self, index: int, disk: str, now: float) -> None:
        """Any command was acknowledged that stands at an index of the log."""
        data = self.commands.get(index)
        if data is None:
            self.fail(DURABILITY, f"no word was applied at {index}")
            return
        fresh = index not in self.acknowledged
        self.acknowledged[index] = data
        for window in self.windows:
            if fresh and window.began <= now <= window.until and index > window.last:
                self.fail(QUORUM_LEASE, f"entry {index} at {now:.3f} of {window.until:.3f}")
        if fresh:
            self.check_majority(index, data, disk)

    def check_majority(self, index: int, data: bytes, disk: str) -> None:
        """The entry is on a majority of the voters of the newest or the one before it."""
        leader = self.disks.get(disk)
        if leader is None:
            return
        self.acknowledged_terms[index] = leader.term
        found = []
        configurations = [set(voters) for _, voters in leader.configurations()[-2:]]
        holding = {name for name, log in self.disks.items() if log.holds(index, data)}
        found = [f"{sorted(holding & voters)} of {sorted(voters)}" for voters in configurations]
        if not is_majority_of_any(holding, configurations):
            self.fail(DURABILITY, f"entry {index} acknowledged by {disk} on {found}")
        elif not is_majority_of_any(holding - self.released, configurations):
            left = sorted(holding & self.released)
            self.fail(LEAVING, f"entry {index} acknowledged by {disk} rests on {left}: {found}")
        for term, later in self.leaders.items():
            if term > leader.term:
                self.check_complete(term, later)

    def release(self, disk: str) -> None:
        """A node may end: nothing may come to rest on its disk from now on."""
        self.released.add(disk)

    def started(self, disk: str) -> None:
        """A process runs on a disk, perhaps again after it had left."""
        self.released.discard(disk)

    def check_left(self, disk: str) -> None:
        """A node was let go: what was acknowledged stands on a majority without its disk."""
        logs = [log for log in self.disks.values() if log.configurations()]
        if not logs:
            return
        newest = max(logs, key=lambda log: (log.last_term, log.last_index))
        configurations = [set(voters) for _, voters in newest.configurations()[-2:]]
        for index, data in self.acknowledged.items():
            holding = {log.disk for log in logs if log.disk != disk and log.holds(index, data)}
            if not is_majority_of_any(holding, configurations):
                self.fail(LEAVING, f"{disk} left, entry {index} stands on {sorted(holding)}")

    # Disks.

    def disks_read(self, found: list[DiskLog]) -> None:
        """Disks were opened afresh after a step."""
        for log in found:
            if self.disks.get(log.disk) is not log:
                self.disks[log.disk] = log
                self.check_entries(log)
                self.check_configurations(log)
        for log in found:
            self.check_kept(log)
            for (disk, term), candidate in self.votes.items():
                if disk == log.disk:
                    self.check_vote(log, term, candidate)
        for term, disk in self.new_leaders:
            self.check_complete(term, disk)
        self.new_leaders.clear()

    def check_entries(self, log: DiskLog) -> None:
        """Hold a log's entries against all that were seen at the same index and term."""
        before: int | None = log.base_term if log.base_index else None
        for entry in log.entries:
            if entry.index == 1:
                before = 0
            self.entry_seen(entry.index, entry.term, before, entry.kind, entry.data)
            before = entry.term

    def check_configurations(self, log: DiskLog) -> None:
        """Successive configurations differ by one voter."""
        found = log.configurations()
        for (_, one), (index, other) in pairwise(found):
            if one != other and len(set(one) ^ set(other)) != 1:
                self.fail(SINGLE_SERVER, f"{log.disk} at {index}: {sorted(one)} to {sorted(other)}")

    def check_vote(self, log: DiskLog, term: int, candidate: str) -> None:
        """A vote that was granted stands on the disk that gave it."""
        if log.term < term or (log.term == term and log.voted != candidate):
            self.fail(
                VOTE_DURABLE,
                f"{log.disk} voted for {candidate} in {term}, its disk has "
                f"{log.voted!r} in {log.term}",
            )

    def check_kept(self, log: DiskLog) -> None:
        """A disk keeps acknowledged entries and what it acknowledged to its leader."""
        now = {index for index, data in self.acknowledged.items() if log.holds(index, data)}
        lost = self.held.get(log.disk, set()) - now
        if lost:
            self.fail(KEPT, f"{log.disk} lost {sorted(lost)}")
        term, last = self.matched.get(log.disk, (0, 0))
        shorter = log.term < term or (log.term == term and log.last_index < last)
        if shorter:
            self.fail(
                FOLLOWER_KEEPS,
                f"{log.disk} told {last} in epoch {term}, has {log.last_index} in {log.term}",
            )
        self.held[log.disk] = now

    def check_complete(self, term: int, disk: str) -> None:
        """The log of a leader has what was agreed on before its term."""
        log = self.disks.get(disk)
        if log is None:
            return
        for index, data in self.acknowledged.items():
            if self.acknowledged_terms.get(index, term) < term and not log.holds(index, data):
                self.fail(LEADER_COMPLETENESS, f"{disk} leads {term} without entry {index}")

    # The whole.

    def newest_version(self) -> int:
        """The newest version that an operator has seen."""
        versions = [0]
        for operation in self.operations:
            if operation.kind == READ:
                versions.append(operation.seen[0])
            elif operation.status == ACCEPTED:
                versions.append(operation.version)
        return max(versions)

    def newest_acknowledged(self) -> Operation | None:
        """The acknowledged change with the newest version."""
        found = [
            operation
            for operation in self.operations
            if operation.kind == CHANGE and operation.status == ACCEPTED
        ]
        return max(found, key=lambda operation: operation.version, default=None)

    def check_operations(self) -> None:
        """Reads and changes are linearizable."""
        if not linearizable(self.operations):
            lines = "\n  ".join(repr(operation) for operation in self.operations)
            self.fail(LINEARIZABILITY, f"no order explains\n  {lines}")
