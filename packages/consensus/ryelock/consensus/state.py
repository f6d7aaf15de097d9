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
    Snapshot,
    Voters,
    majority_of,
)
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.transfer import (
    IncomingImage,
)
from ryelock.consensus.types import (
    Command,
    ConsensusSettings,
    Hears,
    Outcome,
    Peer,
    Proposal,
    Said,
    StateMachine,
)
from ryelock.events import (
    Log,
)
from ryelock.journal import Journal
from ryelock.rpc import RpcClients
from ryelock.runtime import Queue, Scheduler, Task

RELEASED_SECONDS = 3.0
"""What a disk stored counts again so long after it was told that it may end."""


class MemberState:
    """The state of one member: log, epoch, leader, peers, and the moments it acts on."""

    __slots__ = (
        "address",
        "applied_command_index",
        "applied_index",
        "applied_news",
        "commands",
        "commit_index",
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
        "log",
        "name",
        "peers",
        "promised",
        "random",
        "reach_at",
        "released",
        "replicated_log",
        "role",
        "rpc_clients",
        "say",
        "scheduler",
        "seeds",
        "settings",
        "settled_at",
        "state_machine",
        "tasks",
        "tries",
        "voters",
        "waiting",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        rpc_clients: RpcClients,
        log: Log,
        journal: Journal,
        state_machine: StateMachine,
        name: str,
        disk: str,
        address: str,
        seeds: tuple[str, ...],
        settings: ConsensusSettings,
        random: Random,
    ) -> None:
        self.scheduler = scheduler
        self.rpc_clients = rpc_clients
        self.log = log
        self.replicated_log = ReplicatedLog(journal, settings.retained_bytes)
        self.incoming: IncomingImage | None = None
        self.compaction = Compaction(settings.snapshot_records, settings.disk_bytes)
        self.state_machine = state_machine
        self.name = name
        self.disk = disk
        self.address = address
        self.seeds = seeds
        self.settings = settings
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
        self.commit_index = self.snapshot.index
        self.applied_index = self.snapshot.index
        self.applied_command_index = self.snapshot.command_index
        self.voters: Voters = {}
        self.find_voters()
        if self.snapshot.index:
            state_machine.restore(self.snapshot.state)
        self.promised = (
            scheduler.now() + settings.promise_seconds * 1.1 if self.promise_noted else -1e9
        )
        self.put_off_election()

    @property
    def journal(self) -> Journal:
        return self.replicated_log.journal

    @property
    def snapshot(self) -> Snapshot:
        """The image that the entries follow."""
        return self.replicated_log.snapshot

    @property
    def entries(self) -> list[Entry]:
        return self.replicated_log.entries

    @property
    def term(self) -> int:
        return self.replicated_log.term

    @property
    def voted(self) -> str:
        return self.replicated_log.voted

    @property
    def promise_noted(self) -> bool:
        return self.replicated_log.promise_noted

    @property
    def last_index(self) -> int:
        return self.replicated_log.last_index

    def term_at(self, index: int) -> int:
        return self.replicated_log.term_at(index)

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

    def commands_since(self, index: int) -> list[tuple[int, bytes]] | None:
        """Applied words behind an index, or None where only an image can tell."""
        if index + 1 < self.replicated_log.retained_from or index > self.applied_index:
            return None
        return self.replicated_log.commands_between(index, self.applied_index)

    def last_command_index(self) -> int:
        """The index of the log's last word, applied or not; notes are passed by."""
        return self.replicated_log.last_command_index()

    def save_vote(self, epoch: int, voted: str) -> bool:
        saved = self.replicated_log.save_vote(epoch, voted)
        if not saved:
            self.disk_failed_at = self.scheduler.now()
        return saved

    def knows_leader(self) -> bool:
        return (
            self.role == "leader"
            or self.scheduler.now() - self.leader_heard < self.settings.election_timeout
        )

    @property
    def may_stand(self) -> bool:
        """Whether this disk may be elected: a voter, or one whose removal is not agreed yet.

        The latter may be the only one with a log that is long enough. It does not count itself,
        and steps down once its removal is agreed.
        """
        if self.disk in self.voters:
            return True
        return self.disk in self.replicated_log.voters_at(self.commit_index)

    def put_off_election(self) -> None:
        """Wait for a while of chance; less in a life in which no leader was heard of yet.

        After a restart of all nobody leads, and a trial round disturbs nobody who does.
        """
        if self.leader_heard < -1e8:
            spread = self.settings.election_timeout * (0.1 + 0.5 * self.random.random())
        else:
            spread = self.settings.election_timeout * (1 + 0.7 * self.random.random())
        self.election_at = self.scheduler.now() + spread

    def majority_contact_at(self) -> float:
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
        return self.role == "leader" and self.term_at(self.applied_index) == self.term

    @property
    def changing_voters(self) -> bool:
        """Whether a change of voters is in the log and not agreed yet."""
        behind = self.entries[self.commit_index - self.snapshot.index :]
        return any(entry.kind == VOTERS for entry in behind)

    def match_index_of(self, disk: str) -> int:
        """The last index that a disk is known to hold, as its leader knows it."""
        if disk == self.disk:
            return self.last_index
        peer = self.peers.get(disk)
        return peer.match_index if peer is not None else 0

    def released_disks(self) -> set[str]:
        """Disks that were told lately that they may end."""
        now = self.scheduler.now()
        return {disk for disk, at in self.released.items() if now - at < RELEASED_SECONDS}
