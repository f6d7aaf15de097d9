"""The history of a run and the invariants checked against it.

The checks use only what is observable from outside: messages on the network, the recovered state
of disks, the commands applied to state machines, and the responses to operators.
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
ONE_VOTE_PER_TERM = "one vote an epoch"
VOTE_DURABLE = "a vote stands on its disk"
LOG_MATCHING = "log matching"
LEADER_COMPLETENESS = "leader completeness"
STATE_MACHINE_SAFETY = "state machine safety"
DURABILITY = "acknowledged entries stand on a majority of disks"
ENTRIES_RETAINED = "a disk keeps acknowledged entries"
ACKNOWLEDGED_LOG_RETAINED = "a follower keeps what it told its leader it has"
DEPARTURE_SAFETY = "a node that leaves leaves a majority of disks behind"
SINGLE_SERVER = "single-server membership changes"
ONE_CHANGE_PER_BASE = "at most one acknowledged change to a base version"
REJECTED_NEVER_APPLIED = "what was certainly not taken is never applied"
RETRY_ACKNOWLEDGED = "an acknowledged change sent again is acknowledged again"
LINEARIZABILITY = "linearizability"
QUORUM_LEASE = "nothing new is acknowledged against promises"
DISK_READABLE = "a disk can be read back"
LIVENESS = "liveness after healing"
NO_TASK_FAULT = "no task ends by a fault"


class QuorumLeaseWindow:
    """A period in which an edge holds a quorum lease granted at log index `last`.

    No entry after `last` may be acknowledged within it.
    """

    __slots__ = ("began", "last", "until")

    def __init__(self, began: float, until: float, last: int) -> None:
        """Create a window; `began` and `until` are seconds of the world's time."""
        self.began = began
        self.until = until
        self.last = last


def is_majority_of_any(disks: set[str], configurations: list[set[str]]) -> bool:
    """Return True if `disks` include a majority of at least one of the configurations."""
    return any(len(disks & voters) > len(voters) // 2 for voters in configurations)


class History:
    """All observations of one run; records the first violation of an invariant.

    Nodes are identified by their disk, since a machine with a new disk is a new member.

    Attributes:
        leaders: Disk of the leader by term.
        votes: Candidate by voting disk and term.
        observed_entries: Term of the previous entry, kind and data by index and term.
        commands: Applied command by index.
        states: State after applying the command at an index.
        snapshots: Checksum of the snapshot at an index.
        acknowledged: Acknowledged command by index.
        acknowledged_terms: Term of the leader that acknowledged the command at an index.
        change_by_base: Id of the acknowledged change by its base version.
        retained: Indexes of acknowledged entries last found on each disk.
        match_positions: Term and last index that each disk acknowledged to its leader.
        rejected: Commands that are certainly not executed.
        disks: Latest recovered state by disk.
        released: Disks of nodes that may end.
        unchecked_leaders: Term and disk of new leaders, not yet checked for completeness.
        violation: The first violation, if any.
    """

    def __init__(self) -> None:
        """Create a history without observations."""
        self.events = 0
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.observed_entries: dict[tuple[int, int], tuple[int | None, str, bytes]] = {}
        self.commands: dict[int, bytes] = {}
        self.states: dict[int, object] = {}
        self.snapshots: dict[int, int] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.acknowledged_terms: dict[int, int] = {}
        self.change_by_base: dict[int, str] = {}
        self.retained: dict[str, set[int]] = {}
        self.match_positions: dict[str, tuple[int, int]] = {}
        self.operations: list[Operation] = []
        self.rejected: set[bytes] = set()
        self.lease_windows: list[QuorumLeaseWindow] = []
        self.disks: dict[str, DiskLog] = {}
        self.released: set[str] = set()
        self.unchecked_leaders: list[tuple[int, str]] = []
        self.violation: ViolationError | None = None

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record the first violation.

        Checks run inside product code, so the cluster raises the error only after the step.
        """
        if self.violation is None:
            self.violation = ViolationError(invariant, detail)

    def next_event(self) -> int:
        """Return the number of a new event of an operator, for the real-time order."""
        self.events += 1
        return self.events

    # Messages

    def on_request(self, message: Message) -> None:
        """Record a request between nodes."""
        kind = message.get("kind")
        if kind in ("council.beat", "council.image"):
            self.record_leader(int(str(message["epoch"])), str(message["disk"]))
        if kind == "council.beat":
            self.record_append(message)
        elif kind == "council.vote" and message["trial"] is False:
            disk = str(message["disk"])
            self.record_vote(disk, int(str(message["epoch"])), disk)

    def on_response(self, request: Message, response: Message) -> None:
        """Record the response to a request between nodes."""
        if request.get("kind") == "council.beat" and response.get("ok") is True:
            self.record_match(
                str(response["disk"]), int(str(request["epoch"])), int(str(response["last"]))
            )
        if request.get("kind") != "council.vote" or request["trial"] is True:
            return
        if response.get("granted") is True:
            self.record_vote(
                str(response["disk"]), int(str(request["epoch"])), str(request["disk"])
            )

    def record_match(self, disk: str, term: int, last: int) -> None:
        """Record that a follower acknowledged entries up to an index to the leader of a term."""
        known_term, known = self.match_positions.get(disk, (0, 0))
        if term > known_term or (term == known_term and last > known):
            self.match_positions[disk] = (term, last)

    def record_leader(self, term: int, disk: str) -> None:
        """Record the leader of a term and check that it is the only one."""
        known = self.leaders.get(term)
        if known is None:
            self.leaders[term] = disk
            self.unchecked_leaders.append((term, disk))
        elif known != disk:
            self.record_violation(
                ELECTION_SAFETY, f"{known} and {disk} are both leaders of term {term}"
            )

    def record_vote(self, disk: str, term: int, candidate: str) -> None:
        """Record a vote and check that it is the only one of a disk in a term."""
        known = self.votes.setdefault((disk, term), candidate)
        if known != candidate:
            self.record_violation(
                ONE_VOTE_PER_TERM, f"{disk} voted in term {term} for {known} and {candidate}"
            )

    def record_append(self, message: Message) -> None:
        """Check the entries of an AppendEntries request, with the term of the entry before them."""
        previous_term = int(str(message["previous_epoch"]))
        entries = message["entries"]
        assert isinstance(entries, list)
        for index, term, kind, data in entries:
            self.check_entry(index, term, previous_term, kind, data)
            previous_term = term

    def check_entry(
        self, index: int, term: int, previous_term: int | None, kind: str, data: bytes
    ) -> None:
        """Check that entries with the same index and term are equal and have equal predecessors.

        `previous_term` is None where the predecessor is compacted.
        """
        found = (previous_term, kind, data)
        known = self.observed_entries.setdefault((index, term), found)
        if known == found:
            return
        if known[1:] == found[1:] and None in (known[0], previous_term):
            self.observed_entries[(index, term)] = found if known[0] is None else known
            return
        self.record_violation(LOG_MATCHING, f"entry {index} of term {term}: {known} and {found}")

    # State machines

    def applied(self, disk: str, index: int, data: bytes, state: object) -> None:
        """Check that all state machines apply the same command and reach the same state."""
        known = self.commands.setdefault(index, data)
        if known != data:
            self.record_violation(
                STATE_MACHINE_SAFETY, f"{disk} applied a different command at {index}"
            )
        if self.states.setdefault(index, state) != state:
            self.record_violation(
                STATE_MACHINE_SAFETY,
                f"{disk} at {index}: state {state}, expected {self.states[index]}",
            )
        if data in self.rejected:
            self.record_violation(
                REJECTED_NEVER_APPLIED, f"{disk} applied {change_of(data)} at {index}"
            )

    def snapshot_taken(self, disk: str, index: int, data: bytes) -> None:
        """Check that all snapshots at an index are equal."""
        checksum = zlib.crc32(data)
        if self.snapshots.setdefault(index, checksum) != checksum:
            self.record_violation(
                STATE_MACHINE_SAFETY, f"{disk} has a different snapshot at {index}"
            )

    def restored(self, disk: str, index: int, data: bytes) -> None:
        """Check a restored snapshot like one that was taken."""
        self.snapshot_taken(disk, index, data)

    # Operators

    def record_rejection(self, change: Change) -> None:
        """Record a response that an attempt is certainly not executed."""
        data = change.encode()
        self.rejected.add(data)
        if data in self.commands.values():
            self.record_violation(
                REJECTED_NEVER_APPLIED, f"change {change.identity} was applied and rejected"
            )

    def acknowledge(
        self, operation: Operation, version: int, index: int, disk: str, now: float
    ) -> None:
        """Record that the node on a disk acknowledged a change; `now` is the world's time."""
        if version != operation.version:
            self.record_violation(
                LINEARIZABILITY, f"{operation} was acknowledged with version {version}"
            )
        known = self.change_by_base.setdefault(operation.base, operation.identity)
        if known != operation.identity:
            self.record_violation(
                ONE_CHANGE_PER_BASE, f"{known} and {operation.identity} on base {operation.base}"
            )
        self.acknowledge_command(index, disk, now)

    def acknowledge_command(self, index: int, disk: str, now: float) -> None:
        """Record that the command at an index was acknowledged, and check its durability."""
        data = self.commands.get(index)
        if data is None:
            self.record_violation(DURABILITY, f"no command was applied at {index}")
            return
        is_new = index not in self.acknowledged
        self.acknowledged[index] = data
        for window in self.lease_windows:
            if is_new and window.began <= now <= window.until and index > window.last:
                self.record_violation(
                    QUORUM_LEASE, f"entry {index} at {now:.3f}, leased until {window.until:.3f}"
                )
        if is_new:
            self.check_durability(index, data, disk)

    def check_durability(self, index: int, data: bytes, disk: str) -> None:
        """Check that an acknowledged entry is durable on a majority of voters.

        The majority may be that of the newest configuration of the leader or of the one before it,
        since the newest one may not be committed yet.
        """
        leader = self.disks.get(disk)
        if leader is None:
            return
        self.acknowledged_terms[index] = leader.term
        found = []
        configurations = [set(voters) for _, voters in leader.configurations()[-2:]]
        holders = {name for name, log in self.disks.items() if log.holds(index, data)}
        found = [f"{sorted(holders & voters)} of {sorted(voters)}" for voters in configurations]
        if not is_majority_of_any(holders, configurations):
            self.record_violation(DURABILITY, f"entry {index} acknowledged by {disk} on {found}")
        elif not is_majority_of_any(holders - self.released, configurations):
            released_holders = sorted(holders & self.released)
            self.record_violation(
                DEPARTURE_SAFETY,
                f"entry {index} acknowledged by {disk} depends on released "
                f"{released_holders}: {found}",
            )
        for term, later in self.leaders.items():
            if term > leader.term:
                self.check_leader_completeness(term, later)

    def release(self, disk: str) -> None:
        """Record that a node may end: no later majority may depend on its disk."""
        self.released.add(disk)

    def started(self, disk: str) -> None:
        """Record the start of a process on a disk, which may be a restart after a release."""
        self.released.discard(disk)

    def check_departure(self, disk: str) -> None:
        """Check that acknowledged entries are on a majority without the disk of a released node."""
        logs = [log for log in self.disks.values() if log.configurations()]
        if not logs:
            return
        newest = max(logs, key=lambda log: (log.last_term, log.last_index))
        configurations = [set(voters) for _, voters in newest.configurations()[-2:]]
        for index, data in self.acknowledged.items():
            holders = {log.disk for log in logs if log.disk != disk and log.holds(index, data)}
            if not is_majority_of_any(holders, configurations):
                self.record_violation(
                    DEPARTURE_SAFETY, f"{disk} was released, entry {index} is on {sorted(holders)}"
                )

    # Disks

    def check_disks(self, found: list[DiskLog]) -> None:
        """Check the recovered state of all disks after a step."""
        for log in found:
            if self.disks.get(log.disk) is not log:
                self.disks[log.disk] = log
                self.check_entries(log)
                self.check_configurations(log)
        for log in found:
            self.check_retained(log)
            for (disk, term), candidate in self.votes.items():
                if disk == log.disk:
                    self.check_vote(log, term, candidate)
        for term, disk in self.unchecked_leaders:
            self.check_leader_completeness(term, disk)
        self.unchecked_leaders.clear()

    def check_entries(self, log: DiskLog) -> None:
        """Check the entries of a log against all observed ones with the same index and term."""
        previous_term: int | None = log.base_term if log.base_index else None
        for entry in log.entries:
            if entry.index == 1:
                previous_term = 0
            self.check_entry(entry.index, entry.term, previous_term, entry.kind, entry.data)
            previous_term = entry.term

    def check_configurations(self, log: DiskLog) -> None:
        """Check that successive configurations differ by one voter."""
        found = log.configurations()
        for (_, one), (index, other) in pairwise(found):
            if one != other and len(set(one) ^ set(other)) != 1:
                self.record_violation(
                    SINGLE_SERVER, f"{log.disk} at {index}: {sorted(one)} to {sorted(other)}"
                )

    def check_vote(self, log: DiskLog, term: int, candidate: str) -> None:
        """Check that a granted vote is durable on the disk of the voter."""
        if log.term < term or (log.term == term and log.voted != candidate):
            self.record_violation(
                VOTE_DURABLE,
                f"{log.disk} voted for {candidate} in term {term}, its disk has "
                f"{log.voted!r} in term {log.term}",
            )

    def check_retained(self, log: DiskLog) -> None:
        """Check that a disk retains committed entries and those it acknowledged to its leader."""
        now = {index for index, data in self.acknowledged.items() if log.holds(index, data)}
        missing = self.retained.get(log.disk, set()) - now
        if missing:
            self.record_violation(ENTRIES_RETAINED, f"{log.disk} lost {sorted(missing)}")
        term, last = self.match_positions.get(log.disk, (0, 0))
        is_behind = log.term < term or (log.term == term and log.last_index < last)
        if is_behind:
            self.record_violation(
                ACKNOWLEDGED_LOG_RETAINED,
                f"{log.disk} acknowledged {last} in term {term}, "
                f"has {log.last_index} in term {log.term}",
            )
        self.retained[log.disk] = now

    def check_leader_completeness(self, term: int, disk: str) -> None:
        """Check that the log of a leader has all entries acknowledged in earlier terms."""
        log = self.disks.get(disk)
        if log is None:
            return
        for index, data in self.acknowledged.items():
            if self.acknowledged_terms.get(index, term) < term and not log.holds(index, data):
                self.record_violation(
                    LEADER_COMPLETENESS, f"{disk} leads {term} without entry {index}"
                )

    # Operations

    def newest_version(self) -> int:
        """Return the newest version that an operator has observed."""
        versions = [0]
        for operation in self.operations:
            if operation.kind == READ:
                versions.append(operation.result[0])
            elif operation.status == ACCEPTED:
                versions.append(operation.version)
        return max(versions)

    def newest_acknowledged(self) -> Operation | None:
        """Return the acknowledged change with the newest version."""
        found = [
            operation
            for operation in self.operations
            if operation.kind == CHANGE and operation.status == ACCEPTED
        ]
        return max(found, key=lambda operation: operation.version, default=None)

    def check_operations(self) -> None:
        """Check that reads and changes are linearizable."""
        if not linearizable(self.operations):
            lines = "\n  ".join(repr(operation) for operation in self.operations)
            self.record_violation(LINEARIZABILITY, f"no linearization of\n  {lines}")
