"""A leader and a follower that exchange messages under the control of a test."""

from random import Random
from typing import Any

from expression import Error, Ok

from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.followers import Follower
from ryelock.consensus.node import Consensus
from ryelock.consensus.settings import ConsensusSettings
from ryelock.consensus.state import Role
from ryelock.events import RecordingLog
from ryelock.journal import open_journal
from ryelock.rpc import NoResponseError
from ryelock.runtime import Scheduler
from ryelock.testing.simulated import SimFolder

Message = dict[str, Any]


class HandClock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time


class CountingMachine:
    """A state machine that records the applied commands in order."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, _index: int, data: bytes) -> object:
        self.commands.append(data)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b"\n") if data else []


class Lab:
    """A leader and one follower with separate disks."""

    def __init__(self, **pace: Any) -> None:
        self.clock = HandClock()
        self.pace = pace
        self.leader = self.consensus("leader", SimFolder())
        self.folder = SimFolder()
        self.follower = self.consensus("follower", self.folder)
        self.peer = Follower("follower", "follower:1", 1, self.leader.scheduler)

    def consensus(self, disk: str, folder: SimFolder) -> Consensus:
        def fault(task: str, error: BaseException) -> None:
            raise AssertionError(f"{task}: {error!r}")

        journal = open_journal(folder, RecordingLog(disk), 1 << 20)
        assert journal.is_ok()
        return Consensus(
            Scheduler(self.clock, fault),
            None,  # type: ignore[arg-type]
            RecordingLog(disk),
            journal.ok,
            CountingMachine(),
            disk,
            disk,
            f"{disk}:1",
            (),
            ConsensusSettings(**self.pace),
            Random(disk),
        )

    def applied(self, consensus: Consensus) -> list[bytes]:
        assert isinstance(consensus.state_machine, CountingMachine)
        return consensus.state_machine.commands

    def lead(self, term: int) -> None:
        """Put the leader into the state after an election, without starting its tasks."""
        assert self.leader.replicated_log.save_vote(term, "leader")
        self.leader.state.role = Role.LEADER
        self.leader.state.voters = {"leader": "leader:1", "follower": "follower:1"}
        self.leader.followers.by_disk = {"follower": self.peer}
        self.peer.next_index = self.leader.last_index + 1

    def round(self, limit: int = 1 << 30) -> Message:
        """Exchange a message and its reply, which is late if the entries exceed `limit` bytes."""
        leader, peer = self.leader, self.peer
        message = leader.replicator.next_message(peer)
        snapshot = message["kind"] == "council.image"
        carried: Any = message["piece"] if snapshot else message["entries"]
        size = len(carried[-1]) if snapshot else sum(len(entry[3]) for entry in carried)
        now = self.clock.time
        replies: list[Message] = []
        self.follower.handle(message, replies.append)
        if size > limit:
            leader.replicator.on_reply(peer, leader.term, now, Error(NoResponseError("late", True)))
        else:
            leader.replicator.on_reply(peer, leader.term, now, Ok(replies[0]))
        return message

    def rounds_until_level(self, most: int, limit: int = 1 << 30) -> int:
        for number in range(most):
            if self.peer.match_index == self.leader.last_index:
                return number
            self.round(limit)
        return most


def entries(first: int, last: int, term: int, size: int = 10) -> list[Entry]:
    return [
        Entry(index, term, EntryKind.COMMAND, b"%d" % term * size)
        for index in range(first, last + 1)
    ]
