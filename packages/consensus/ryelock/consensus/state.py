"""What one member of the consensus holds, and what follows from that alone.

`MemberState` is the first of the layers that make up `Consensus`; each layer is a class that adds
one job to the layer below: applying, replication, following, elections, proposals, joining. All
state is changed by the owner's task only (see node.py); the tasks beside it hand their findings
to it.
"""

from collections.abc import Callable
from random import Random

from ryelock.consensus.compaction import Compaction
from ryelock.consensus.entries import (
    VOTERS,
    Entry,
    Image,
    Voters,
    majority_of,
)
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.transfer import (
    IncomingImage,
)
from ryelock.consensus.types import Command, Hears, Machine, Outcome, Pace, Peer, Proposal, Said
from ryelock.events import (
    Log,
)
from ryelock.journal import Journal
from ryelock.rpc import Lines
from ryelock.runtime import Queue, Scheduler, Task

RELEASED_SECONDS = 3.0
"""What a disk stored counts again so long after it was told that it may end."""


class MemberState:
    """The state of one member: log, epoch, leader, peers, and the moments it acts on."""

    __slots__ = (
        "address",
        "applied",
        "applied_news",
        "applied_word",
        "commands",
        "commit",
        "compaction",
        "disk",
        "disk_failed_at",
        "elected_at",
        "election_at",
        "hear",
        "incoming",
        "isolated",
        "last_round_failed",
        "leader",
        "leader_address",
        "leader_heard",
        "learners",
        "leaving",
        "led_at",
        "lines",
        "log",
        "machine",
        "name",
        "pace",
        "peers",
        "promised",
        "random",
        "reach_at",
        "released",
        "replicated_log",
        "role",
        "say",
        "scheduler",
        "seeds",
        "settled_at",
        "tasks",
        "tries",
        "voters",
        "waiting",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        lines: Lines,
        log: Log,
        journal: Journal,
        machine: Machine,
        name: str,
        disk: str,
        address: str,
        seeds: tuple[str, ...],
        pace: Pace,
        random: Random,
    ) -> None:
        self.scheduler = scheduler
        self.lines = lines
        self.log = log
        self.replicated_log = ReplicatedLog(journal, pace.retained_bytes)
        self.incoming: IncomingImage | None = None
        self.compaction = Compaction(pace.image_records, pace.disk_bytes)
        self.machine = machine
        self.name = name
        self.disk = disk
        self.address = address
        self.seeds = seeds
        self.pace = pace
        self.random = random
        self.commands: Queue[Command | Proposal] = Queue(scheduler)
        self.applied_news: list[Callable[[], None]] = []
        self.role = "follower"
        self.leader = ""
        self.leader_address = ""
        self.leader_heard = -1e9
        self.elected_at = -1e9
        self.settled_at = -1e9
        self.election_at = 0.0
        self.last_round_failed = -1e9
        self.reach_at = -1e9
        self.disk_failed_at = -1e9
        self.leaving = False
        self.isolated = False
        self.led_at = scheduler.now()
        self.released: dict[str, float] = {}
        self.tries = 0
        self.peers: dict[str, Peer] = {}
        self.learners: dict[str, tuple[str, float]] = {}
        self.waiting: dict[int, tuple[int, Queue[Outcome]]] = {}
        self.tasks: list[Task] = []
        self.say: Said = dict
        self.hear: Hears = lambda _disk, _message, _since: None
        self.commit = self.base.index
        self.applied = self.base.index
        self.applied_word = self.base.word
        self.voters: Voters = {}
        self.find_voters()
        if self.base.index:
            machine.restore(self.base.machine)
        self.promised = scheduler.now() + pace.promise * 1.1 if self.promise_noted else -1e9
        self.put_off_election()

    @property
    def journal(self) -> Journal:
        return self.replicated_log.journal

    @property
    def base(self) -> Image:
        """The image that the entries follow."""
        return self.replicated_log.image

    @property
    def entries(self) -> list[Entry]:
        return self.replicated_log.entries

    @property
    def epoch(self) -> int:
        return self.replicated_log.epoch

    @property
    def voted(self) -> str:
        return self.replicated_log.voted

    @property
    def promise_noted(self) -> bool:
        return self.replicated_log.promise_noted

    @property
    def last_index(self) -> int:
        return self.replicated_log.last_index

    def epoch_at(self, index: int) -> int:
        return self.replicated_log.epoch_at(index)

    def entry_at(self, index: int) -> Entry:
        return self.replicated_log.entry_at(index)

    def find_voters(self) -> None:
        self.voters = self.replicated_log.voters_at(self.last_index)

    @property
    def majority(self) -> int:
        return majority_of(len(self.voters))

    @property
    def empty(self) -> bool:
        return self.replicated_log.empty

    def words_since(self, index: int) -> list[tuple[int, bytes]] | None:
        """Applied words behind an index, or None where only an image can tell."""
        if index + 1 < self.replicated_log.retained_from or index > self.applied:
            return None
        return self.replicated_log.words_between(index, self.applied)

    def last_word(self) -> int:
        """The index of the log's last word, applied or not; notes are passed by."""
        return self.replicated_log.last_word()

    def save_vote(self, epoch: int, voted: str) -> bool:
        saved = self.replicated_log.save_vote(epoch, voted)
        if not saved:
            self.disk_failed_at = self.scheduler.now()
        return saved

    def knows_leader(self) -> bool:
        return (
            self.role == "leader" or self.scheduler.now() - self.leader_heard < self.pace.election
        )

    @property
    def may_stand(self) -> bool:
        """Whether this disk may be elected: a voter, or one whose removal is not agreed yet.

        The latter may be the only one with a log that is long enough. It does not count itself,
        and steps down once its removal is agreed.
        """
        if self.disk in self.voters:
            return True
        return self.disk in self.replicated_log.voters_at(self.commit)

    def put_off_election(self) -> None:
        """Wait for a while of chance; less in a life in which no leader was heard of yet.

        After a restart of all nobody leads, and a trial round disturbs nobody who does.
        """
        if self.leader_heard < -1e8:
            spread = self.pace.election * (0.1 + 0.5 * self.random.random())
        else:
            spread = self.pace.election * (1 + 0.7 * self.random.random())
        self.election_at = self.scheduler.now() + spread

    def held_since(self) -> float:
        """When the newest beat was sent that a majority has answered."""
        now = self.scheduler.now()
        heard = sorted(
            (now if disk == self.disk else self.peers[disk].heard if disk in self.peers else -1e9)
            for disk in self.voters
        )
        return heard[len(heard) - self.majority] if heard else -1e9

    @property
    def settled(self) -> bool:
        """Leads, and has applied an entry of its own epoch, so all that was agreed before it."""
        return self.role == "leader" and self.epoch_at(self.applied) == self.epoch

    @property
    def changing_voters(self) -> bool:
        """Whether a change of voters is in the log and not agreed yet."""
        behind = self.entries[self.commit - self.base.index :]
        return any(entry.kind == VOTERS for entry in behind)

    def match_of(self, disk: str) -> int:
        """The last index that a disk is known to hold, as its leader knows it."""
        if disk == self.disk:
            return self.last_index
        peer = self.peers.get(disk)
        return peer.match if peer is not None else 0

    def released_disks(self) -> set[str]:
        """Disks that were told lately that they may end."""
        now = self.scheduler.now()
        return {disk for disk, at in self.released.items() if now - at < RELEASED_SECONDS}
