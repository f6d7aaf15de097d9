"""One member of the consensus group: its parts, its owner task, and its public face."""

import math
from collections.abc import Callable, Collection
from random import Random

from ryelock.consensus.applier import CommittedApplier
from ryelock.consensus.compaction import Compaction
from ryelock.consensus.dispatcher import RequestDispatcher
from ryelock.consensus.election import Election
from ryelock.consensus.election_timer import ElectionTimer
from ryelock.consensus.entries import EntryKind, Snapshot, Voters
from ryelock.consensus.followers import Follower, Followers
from ryelock.consensus.isolation import IsolationMonitor
from ryelock.consensus.joining import Joining
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.leadership_transfer import LeadershipTransfer
from ryelock.consensus.log import ReplicatedLog
from ryelock.consensus.log_receiver import LogReceiver
from ryelock.consensus.member_events import (
    BootstrapCluster,
    ElectionWon,
    EventQueue,
    FollowerReplied,
    HigherTermSeen,
    MemberEvent,
    PeerRequest,
)
from ryelock.consensus.payloads import Payloads
from ryelock.consensus.pending import Outcome, PendingProposals, Proposal
from ryelock.consensus.proposals import Proposals
from ryelock.consensus.quorum_lease import QuorumLease
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.settings import ConsensusSettings
from ryelock.consensus.state import MemberState, Role
from ryelock.consensus.state_machine import StateMachine
from ryelock.events import LEADER_STEPPED_DOWN, Log
from ryelock.journal import Journal
from ryelock.rpc import Message, Reply, RpcClients
from ryelock.runtime import Queue, Scheduler, Task

APPLY_PAUSE_SECONDS = 0.0005
"""Seconds that the other tasks of the process get between two batches of applied entries."""


class Consensus:
    """The composition root of a member, and the owner of its state.

    All parts share one `MemberState`. Everything that changes it comes through one queue of
    commands that one task, the owner, works through; so no two changes interleave.
    """

    __slots__ = (
        "applier",
        "dispatcher",
        "election",
        "events",
        "followers",
        "isolation",
        "joining",
        "leadership",
        "lease",
        "payloads",
        "proposals",
        "receiver",
        "replicator",
        "state",
        "tasks",
        "timer",
        "transfer",
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
        """Create a member on an open journal; nothing runs before `start`.

        Args:
            scheduler: Runs the member's tasks, and has its steady clock.
            rpc_clients: Connections to other processes.
            log: Where events are written.
            journal: The opened journal of this member's disk; used by nobody else.
            state_machine: What committed commands are applied to.
            name: The node's name, for operators.
            disk: The identity of the disk, new whenever the journal is.
            address: Where other members reach this one.
            seeds: Addresses of the members that may bootstrap a cluster.
            settings: Intervals and sizes.
            random: Source of the random election timeouts.
        """
        replicated_log = ReplicatedLog(journal, settings.max_retained_bytes)
        state = MemberState(scheduler, log, replicated_log, settings, name, disk, address)
        events: EventQueue = Queue(scheduler)
        pending = PendingProposals()
        self.state = state
        self.events = events
        self.tasks: list[Task] = []
        self.payloads = Payloads()
        self.isolation = IsolationMonitor(state)
        self.followers = Followers(state)
        self.lease = QuorumLease(state)
        self.timer = ElectionTimer(state, random)
        self.applier = CommittedApplier(
            state,
            state_machine,
            pending,
            Compaction(settings.snapshot_records, settings.disk_bytes),
        )
        self.leadership = Leadership(state, self.timer, self.followers, pending)
        self.transfer = LeadershipTransfer(state, rpc_clients, self.followers, self.leadership)
        self.replicator = Replicator(
            state,
            rpc_clients,
            events,
            self.followers,
            self.leadership,
            self.applier,
            self.payloads,
        )
        self.receiver = LogReceiver(
            state, self.timer, self.lease, self.leadership, self.applier, self.payloads
        )
        self.election = Election(
            state, rpc_clients, events, self.timer, self.lease, self.leadership
        )
        self.proposals = Proposals(
            state,
            events,
            pending,
            self.followers,
            self.leadership,
            self.transfer,
            self.applier,
            self.replicator,
        )
        self.joining = Joining(
            state, rpc_clients, events, self.timer, self.followers, self.replicator, seeds
        )
        self.dispatcher = RequestDispatcher(self.receiver, self.election, self.lease, self.joining)

    # Life cycle.

    def start(self) -> None:
        """Start the owner task and the joining task."""
        scheduler = self.state.scheduler
        self.tasks.append(scheduler.create_task(self.run(), name="consensus"))
        self.tasks.append(scheduler.create_task(self.joining.run(), name="consensus joins"))

    def stop(self) -> None:
        """Step down and cancel the tasks."""
        self.leadership.step_down("stopping")
        for task in self.tasks:
            task.cancel()

    async def run(self) -> None:
        """Work through the queue, apply what is committed, and look at the timers; the owner."""
        state = self.state
        while True:
            behind = state.applied_index < state.commit_index
            timeout = 0.0 if behind else state.settings.heartbeat_seconds / 2
            event = await self.events.get(timeout)
            if event is not None:
                self.process_queued(event)
            self.applier.apply_committed()
            self.check_timers()
            if state.applied_index < state.commit_index:
                await state.scheduler.sleep(APPLY_PAUSE_SECONDS)

    def process_queued(self, first: MemberEvent | Proposal) -> None:
        """Execute a event and all that are queued behind it.

        Proposals that come one after the other are appended in one write.
        """
        proposals: list[Proposal] = []
        event: MemberEvent | Proposal | None = first
        while event is not None:
            if isinstance(event, Proposal):
                proposals.append(event)
            else:
                if proposals:
                    self.proposals.append_batch(proposals)
                    proposals = []
                self.process_event(event)
            event = self.events.items.popleft() if self.events.items else None
        if proposals:
            self.proposals.append_batch(proposals)

    def process_event(self, event: MemberEvent) -> None:
        """Execute one event."""
        match event:
            case FollowerReplied(follower, term, sent_at, result):
                self.replicator.on_reply(follower, term, sent_at, result)
            case PeerRequest(message, reply):
                self.dispatcher.handle(message, reply)
            case HigherTermSeen(term):
                self.leadership.observe_term(term)
            case ElectionWon(term):
                self.replicator.become_leader(term)
            case BootstrapCluster(voters):
                self.joining.bootstrap(voters)

    def check_timers(self) -> None:
        """Step down or campaign where it is time."""
        state = self.state
        if not state.is_leader:
            self.isolation.check()
            self.election.check_timers()
            return
        self.isolation.record_leading()
        if self.leadership.lost_majority():
            state.log.write(LEADER_STEPPED_DOWN, epoch=state.term)
            self.leadership.step_down("lost its majority")
        elif (
            state.leader_ready and not state.voter_change_pending and state.disk not in state.voters
        ):
            # Its removal is committed (dissertation, section 4.2.2).
            self.transfer.step_down_to_successor("no voter any more")

    # Requests of other processes.

    def answer(self, message: Message, reply: Reply) -> bool:
        """Queue a request of another process; False where its kind is not of consensus."""
        if not self.dispatcher.handles(message):
            return False
        self.events.put(PeerRequest(message, reply))
        return True

    def handle(self, message: Message, reply: Reply) -> None:
        """Answer a request at once; for the owner's task and for tests without one."""
        self.dispatcher.handle(message, reply)

    # What the process asks of the group.

    async def propose(self, data: bytes) -> Outcome:
        """Commit a command, and return what applying it returned or a ConsensusError."""
        return await self.proposals.submit(EntryKind.COMMAND, data)

    async def propose_internal(self, data: bytes) -> Outcome:
        """Commit a command that only the control nodes apply; `commands_since` leaves it out."""
        return await self.proposals.submit(EntryKind.INTERNAL, data)

    async def change_voters(self, voters: Voters) -> Outcome:
        """Add or remove one voter."""
        return await self.proposals.change_voters(voters)

    async def confirm_leadership(self, seconds: float) -> bool:
        """Return whether this member led at a moment after the call (ReadIndex)."""
        return await self.proposals.confirm_leadership(seconds)

    async def transfer_leadership(self, successor: str) -> bool:
        """Have another voter elected; True once this member leads no more."""
        return await self.transfer.transfer_to(successor)

    def best_successor(self, excluding: Collection[str] = ()) -> str:
        """Return the disk of the voter to transfer leadership to; empty where there is none."""
        return self.followers.most_up_to_date(excluding)

    def drop_learner(self, disk: str) -> None:
        """Forget a learner that does not ask to join any more."""
        self.followers.drop_learner(disk)

    def release(self, disk: str) -> None:
        """Count nothing that a disk stored for a while: its process may end."""
        self.followers.release(disk)

    def add_applied_listener(self, listener: Callable[[], None]) -> None:
        """Call a function whenever entries were applied."""
        self.applier.applied_listeners.append(listener)

    def commands_since(self, index: int) -> list[tuple[int, bytes]] | None:
        """Return the applied commands behind an index; None where only a snapshot has them."""
        log = self.state.replicated_log
        if index + 1 < log.first_retained_index or index > self.state.applied_index:
            return None
        return log.commands_between(index, self.state.applied_index)

    # What the process reads.

    def majority_contact_at(self) -> float:
        """Return when the newest request was sent that a majority has answered."""
        return self.leadership.majority_contact_at()

    def match_index_of(self, disk: str) -> int:
        """Return the last index that a disk is known to hold, as its leader knows it."""
        return self.followers.match_index_of(disk)

    def knows_leader(self) -> bool:
        """Whether it leads, or heard its leader within the shortest election timeout."""
        return self.state.knows_leader()

    @property
    def name(self) -> str:
        """The node's name."""
        return self.state.name

    @property
    def disk(self) -> str:
        """The identity of the disk."""
        return self.state.disk

    @property
    def address(self) -> str:
        """Where other members reach this one."""
        return self.state.address

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of the members that may bootstrap a cluster."""
        return self.joining.seeds

    @seeds.setter
    def seeds(self, seeds: tuple[str, ...]) -> None:
        self.joining.seeds = seeds

    @property
    def settings(self) -> ConsensusSettings:
        """Intervals and sizes."""
        return self.state.settings

    @property
    def scheduler(self) -> Scheduler:
        """Runs the member's tasks."""
        return self.state.scheduler

    @property
    def log(self) -> Log:
        """Where events are written."""
        return self.state.log

    @property
    def state_machine(self) -> StateMachine:
        """What committed commands are applied to."""
        return self.applier.state_machine

    @property
    def replicated_log(self) -> ReplicatedLog:
        """The persistent state."""
        return self.state.replicated_log

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that the log's entries follow."""
        return self.state.snapshot

    @property
    def role(self) -> Role:
        """Leader, candidate or follower."""
        return self.state.role

    @property
    def leader_ready(self) -> bool:
        """Whether it leads and has applied an entry of its own term."""
        return self.state.leader_ready

    @property
    def elected_at(self) -> float:
        """When this member last became leader; minus infinity where it never did."""
        return -math.inf if self.state.elected_at is None else self.state.elected_at

    @property
    def leader_ready_at(self) -> float:
        """When it had applied an entry of the term it last led; minus infinity if it never did."""
        return -math.inf if self.state.leader_ready_at is None else self.state.leader_ready_at

    @property
    def leader_address(self) -> str:
        """The address of the leader that it last followed; empty where it knows none."""
        return self.state.leader_address

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def last_index(self) -> int:
        """The index of the log's last entry."""
        return self.state.last_index

    @property
    def commit_index(self) -> int:
        """The last index known to be committed."""
        return self.state.commit_index

    @property
    def applied_index(self) -> int:
        """The last index applied."""
        return self.state.applied_index

    @property
    def applied_command_index(self) -> int:
        """The last applied index whose entry was a command for all replicas."""
        return self.state.applied_command_index

    @property
    def voters(self) -> Voters:
        """Addresses of the voters by disk."""
        return self.state.voters

    @property
    def voter_change_pending(self) -> bool:
        """Whether a change of voters is not committed yet."""
        return self.state.voter_change_pending

    @property
    def peers(self) -> dict[str, Follower]:
        """The followers by disk, while it leads."""
        return self.followers.by_disk

    @property
    def learners(self) -> dict[str, tuple[str, float]]:
        """Address and moment of the last request of each disk that asked to join, by disk."""
        return self.followers.learners

    @property
    def leaving(self) -> bool:
        """Whether a planned stop is under way."""
        return self.state.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self.state.leaving = leaving
