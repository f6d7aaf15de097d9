"""Joining the group: bootstrap with the other empty seeds, or join the leader as a learner."""

from collections import Counter

import cbor2

from ryelock.consensus.election_timer import ElectionTimer
from ryelock.consensus.entries import Entry, EntryKind, Voters
from ryelock.consensus.followers import Followers
from ryelock.consensus.member_events import BootstrapCluster, EventQueue
from ryelock.consensus.messages import (
    JoinRequest,
    SeedReply,
    StatusReply,
    StatusRequest,
    request_to_wire,
)
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.state import MemberState
from ryelock.events import CLUSTER_BOOTSTRAPPED
from ryelock.rpc import RpcClients
from ryelock.rpc.codec import Natural, decode
from ryelock.rpc.errors import MalformedMessageError
from ryelock.runtime import Queue

STATUS_SECONDS = 0.5
"""RPC timeout of status and join requests."""
JOIN_INTERVAL_SECONDS = 0.5
JOIN_JITTER_SECONDS = 0.2


class Joining:
    """Finds the leader and joins it, or bootstraps the cluster if all seeds are empty."""

    __slots__ = ("events", "followers", "replicator", "rpc", "seeds", "state", "timer")

    def __init__(
        self,
        state: MemberState,
        rpc: RpcClients,
        events: EventQueue,
        timer: ElectionTimer,
        followers: Followers,
        replicator: Replicator,
        seeds: tuple[str, ...],
    ) -> None:
        """Create the joining component of a member; `seeds` are addresses."""
        self.state = state
        self.rpc = rpc
        self.events = events
        self.timer = timer
        self.followers = followers
        self.replicator = replicator
        self.seeds = seeds

    # Requests from other members.

    def on_status(self, _: StatusRequest) -> StatusReply:
        """Handle a status request."""
        state = self.state
        has_leader = state.knows_leader()
        return StatusReply(
            sender=state.disk,
            empty=state.replicated_log.empty,
            term=Natural(state.term),
            leader=state.leader if has_leader else "",
            leader_address=state.leader_address if has_leader else "",
            voters=state.voters,
            name=state.name,
            applied_index=Natural(state.applied_index),
        )

    def on_join(self, request: JoinRequest) -> StatusReply:
        """Handle a join request: a leader starts to replicate to the sender as a learner."""
        state = self.state
        if state.is_leader and request.sender != state.disk:
            self.followers.learners[request.sender] = (request.address, state.now())
            if request.sender not in self.followers.by_disk:
                self.replicator.add_follower(request.sender, request.address)
        return self.on_status(StatusRequest())

    # The joining task.

    async def run(self) -> None:
        """Bootstrap or request to join, whenever this disk is not a voter or has no leader.

        The task runs for the lifetime of the process, because a voter may be removed while it is
        unreachable, and then no longer receives heartbeats.
        """
        while True:
            if self.state.disk not in self.state.voters or not self.state.knows_leader():
                replies = await self.query_members()
                if self.may_bootstrap_with(replies):
                    self.events.put(BootstrapCluster(self.initial_voters(replies)))
                else:
                    await self.join_leader(replies)
            jitter = JOIN_JITTER_SECONDS * self.timer.random.random()
            await self.state.scheduler.sleep(JOIN_INTERVAL_SECONDS + jitter)

    async def query_members(self) -> dict[str, SeedReply]:
        """Query the seeds, known voters and leader; return the timely replies by address."""
        state = self.state
        candidates = {*self.seeds, *state.voters.values(), state.leader_address}
        addresses = candidates - {"", state.address}
        received: Queue[tuple[str, SeedReply | None]] = Queue(state.scheduler)
        for address in sorted(addresses):
            state.scheduler.create_task(self.query_member(address, received), name="consensus who")
        replies: dict[str, SeedReply] = {}
        if state.address in self.seeds:
            replies[state.address] = self.own_reply()
        deadline = state.now() + STATUS_SECONDS
        for _ in addresses:
            response = await received.get(max(0.0, deadline - state.now()))
            if response is None:
                break
            address, reply = response
            if reply is not None:
                replies[address] = reply
        return replies

    def own_reply(self) -> SeedReply:
        """Return this member's own reply to a status request."""
        own = self.on_status(StatusRequest())
        return SeedReply(sender=own.sender, empty=own.empty, leader_address=own.leader_address)

    async def query_member(
        self, address: str, received: Queue[tuple[str, SeedReply | None]]
    ) -> None:
        """Send a status request to an address and queue the reply, or None if it failed."""
        result = await self.rpc.call(address, request_to_wire(StatusRequest()), STATUS_SECONDS)
        received.put((address, decode_seed_reply(result.ok) if result.is_ok() else None))

    def may_bootstrap_with(self, replies: dict[str, SeedReply]) -> bool:
        """Return True if every seed replied and all seeds with a disk are empty and distinct.

        A seed that did not reply may have the log of an existing cluster.
        """
        seed_replies = [replies.get(seed, SeedReply()) for seed in self.seeds]
        with_disk = [reply for reply in seed_replies if not reply.diskless]
        disks = {reply.sender for reply in with_disk}
        return (
            self.state.replicated_log.empty
            and self.state.settings.may_bootstrap
            and self.state.address in self.seeds
            and all(reply.empty for reply in with_disk)
            and len(disks) == len(with_disk)
        )

    def initial_voters(self, replies: dict[str, SeedReply]) -> Voters:
        """Return the seeds that have a disk."""
        return {replies[seed].sender: seed for seed in self.seeds if replies[seed].sender}

    async def join_leader(self, replies: dict[str, SeedReply]) -> None:
        """Send a join request to the leader that most replies name."""
        named = [reply.leader_address for reply in replies.values()]
        counts = Counter(address for address in named if address not in ("", self.state.address))
        if not counts:
            return
        leader = counts.most_common(1)[0][0]
        request = JoinRequest(sender=self.state.disk, address=self.state.address)
        await self.rpc.call(leader, request_to_wire(request), STATUS_SECONDS)

    def bootstrap(self, voters: Voters) -> None:
        """Write the first log entry, which is identical on all seeds."""
        log = self.state.replicated_log
        if not log.empty:
            return
        entry = Entry(1, 1, EntryKind.VOTERS, cbor2.dumps(dict(sorted(voters.items()))))
        if log.bootstrap(1, entry):
            self.state.refresh_voters()
            self.timer.reset()
            self.state.log.write(CLUSTER_BOOTSTRAPPED, voters=sorted(voters.values()))


def decode_seed_reply(message: object) -> SeedReply | None:
    """Decode a status reply; return None if it is malformed or not from a member."""
    try:
        reply = decode(SeedReply, message)
    except MalformedMessageError:
        return None
    return reply if reply.sender or reply.diskless else None
