"""A Raft member: composes its components, runs the owner task and exposes the public API."""

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
"""Pause between two batches of applied entries, so that other tasks of the process can run."""


class Consensus:
    """A member of the consensus group.

    All components share one `MemberState`. Every state change is an event in one queue that a
    single task, the owner, processes, so changes never interleave.
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
        """Create a member on an open journal; no task runs until `start` is called.

        Args:
            scheduler: Runs the member's tasks and provides its monotonic clock.
            rpc_clients: Connections to other processes.
            log: The event log.
            journal: The open journal of this member's disk; the member is its only user.
            state_machine: The state machine that committed commands are applied to.
            name: The node's name, shown to operators.
            disk: The disk ID, which changes whenever the journal is recreated.
            address: The RPC address of this member.
            seeds: Addresses of the members that may bootstrap a cluster.
            settings: Intervals and sizes.
            random: Source of the randomised election timeouts.
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
        """Process queued events, apply committed entries and check timers: the owner task."""
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
        """Process an event and all events queued after it.

        Consecutive proposals are appended to the log in one write.
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
        """Process one event."""
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
        """Step down as leader, or run the election and isolation checks as a non-leader."""
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
            # This leader is no longer a voter and its removal is committed (dissertation, section
            # 4.2.2).
            self.transfer.step_down_to_successor("no voter any more")

    # Requests of other processes.

    def answer(self, message: Message, reply: Reply) -> bool:
        """Queue a request from another process; return False if it is not a consensus message."""
        if not self.dispatcher.handles(message):
            return False
        self.events.put(PeerRequest(message, reply))
        return True

    def handle(self, message: Message, reply: Reply) -> None:
        """Handle a request immediately; call only from the owner task or from tests without one."""
        self.dispatcher.handle(message, reply)

    # Proposals, membership and leadership.

    async def propose(self, data: bytes) -> Outcome:
        """Commit a command and return its result, or a ConsensusError."""
        return await self.proposals.submit(EntryKind.COMMAND, data)

    async def propose_internal(self, data: bytes) -> Outcome:
        """Commit a command that only control nodes apply; `commands_since` omits it."""
        return await self.proposals.submit(EntryKind.INTERNAL, data)

    async def change_voters(self, voters: Voters) -> Outcome:
        """Add or remove one voter."""
        return await self.proposals.change_voters(voters)

    async def confirm_leadership(self, seconds: float) -> bool:
        """Confirm leadership with a majority after the call, within `seconds` (ReadIndex)."""
        return await self.proposals.confirm_leadership(seconds)

    async def transfer_leadership(self, successor: str) -> bool:
        """Transfer leadership to a voter; return True once this member is no longer the leader."""
        return await self.transfer.transfer_to(successor)

    def best_successor(self, excluding: Collection[str] = ()) -> str:
        """Return the disk ID of the best voter to transfer leadership to; empty if none."""
        return self.followers.most_up_to_date(excluding)

    def drop_learner(self, disk: str) -> None:
        """Remove a learner that stopped sending join requests."""
        self.followers.drop_learner(disk)

    def release(self, disk: str) -> None:
        """Exclude a disk from commit quorums for a while, since its process may stop any time."""
        self.followers.release(disk)

    def add_applied_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call after entries are applied."""
        self.applier.applied_listeners.append(listener)

    def commands_since(self, index: int) -> list[tuple[int, bytes]] | None:
        """Return the applied commands after an index; None if only a snapshot covers them."""
        log = self.state.replicated_log
        if index + 1 < log.first_retained_index or index > self.state.applied_index:
            return None
        return log.commands_between(index, self.state.applied_index)

    # State and components, read by the process.

    def majority_contact_at(self) -> float:
        """Return the send time of the newest request that a majority has answered."""
        return self.leadership.majority_contact_at()

    def match_index_of(self, disk: str) -> int:
        """Return the last index that a disk is known to store, as seen by the leader."""
        return self.followers.match_index_of(disk)

    def knows_leader(self) -> bool:
        """Return True if this member leads or had leader contact within the election timeout."""
        return self.state.knows_leader()

    @property
    def name(self) -> str:
        """The node's name."""
        return self.state.name

    @property
    def disk(self) -> str:
        """The disk ID."""
        return self.state.disk

    @property
    def address(self) -> str:
        """The RPC address of this member."""
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
        """The scheduler of the member's tasks."""
        return self.state.scheduler

    @property
    def log(self) -> Log:
        """The event log."""
        return self.state.log

    @property
    def state_machine(self) -> StateMachine:
        """The state machine that committed commands are applied to."""
        return self.applier.state_machine

    @property
    def replicated_log(self) -> ReplicatedLog:
        """The persistent Raft state: term, vote, snapshot and entries."""
        return self.state.replicated_log

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that precedes the first log entry."""
        return self.state.snapshot

    @property
    def role(self) -> Role:
        """The member's Raft role: leader, candidate or follower."""
        return self.state.role

    @property
    def leader_ready(self) -> bool:
        """True if this member leads and has applied an entry of its own term."""
        return self.state.leader_ready

    @property
    def elected_at(self) -> float:
        """When this member last became leader; minus infinity if never."""
        return -math.inf if self.state.elected_at is None else self.state.elected_at

    @property
    def leader_ready_at(self) -> float:
        """When this member last became a ready leader (`leader_ready`); minus infinity if never."""
        return -math.inf if self.state.leader_ready_at is None else self.state.leader_ready_at

    @property
    def leader_address(self) -> str:
        """The address of the current or last known leader; empty if unknown."""
        return self.state.leader_address

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def last_index(self) -> int:
        """The index of the last log entry."""
        return self.state.last_index

    @property
    def commit_index(self) -> int:
        """The highest index known to be committed."""
        return self.state.commit_index

    @property
    def applied_index(self) -> int:
        """The highest index applied to the state machine."""
        return self.state.applied_index

    @property
    def applied_command_index(self) -> int:
        """The index of the last applied command for all replicas (`EntryKind.COMMAND`)."""
        return self.state.applied_command_index

    @property
    def voters(self) -> Voters:
        """Addresses of the voters by disk ID."""
        return self.state.voters

    @property
    def voter_change_pending(self) -> bool:
        """True while a change of voters is in the log but not committed."""
        return self.state.voter_change_pending

    @property
    def peers(self) -> dict[str, Follower]:
        """The followers by disk ID; empty unless this member leads."""
        return self.followers.by_disk

    @property
    def learners(self) -> dict[str, tuple[str, float]]:
        """Address and time of the last join request of each learner, by disk ID."""
        return self.followers.learners

    @property
    def leaving(self) -> bool:
        """True during a planned stop."""
        return self.state.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self.state.leaving = leaving
