"""Voter management at the leader: replaces lost voters and releases nodes that shut down.

`ryelock.consensus.membership` decides on the next change. This module collects its input: voters
without recent contact, learners that have caught up with the log, and nodes that shut down. Such a
node sends `council.leave` repeatedly and ends once the answer has `may_end`.
"""

from collections import Counter

from ryelock.consensus import Consensus, majority_of
from ryelock.consensus.entries import Voters
from ryelock.consensus.membership import Standby, VoterSet, next_voters
from ryelock.consensus.state import seconds_since
from ryelock.consensus.status import replica_statuses
from ryelock.events import VOTER_LOST
from ryelock.membership import Membership
from ryelock.rpc import Message
from ryelock.runtime import Scheduler

RELEASE_REQUEST = "council.leave"
"""Kind of the message in which a node that shuts down asks for the release of its disk."""
LEARNER_TIMEOUT_SECONDS = 3.0
"""Time after its last join request until a learner is dropped."""
LEAVING_TIMEOUT_SECONDS = 3.0
"""Time after its last release request until a node no longer counts as leaving."""
LEARNER_DISCOVERY_SECONDS = 1.0
"""Time after its election until a leader knows of all learners."""
MAX_LAG_ENTRIES = 16
"""Maximum number of committed entries that a learner that has caught up may lack."""
ELECTION_GRACE_HEARTBEATS = 4
"""Heartbeat intervals after its election in which a leader counts no voter as lost."""
MAX_CHANGES_PER_CHECK = 8
CHECK_INTERVAL_SECONDS = 0.2


class VoterManager:
    """Adds and removes voters, one at a time."""

    __slots__ = ("consensus", "leaving", "membership", "scheduler")

    def __init__(self, scheduler: Scheduler, consensus: Consensus, membership: Membership) -> None:
        """Create a manager; `membership` has the zones of the voters."""
        self.scheduler = scheduler
        self.consensus = consensus
        self.membership = membership
        self.leaving: dict[str, float] = {}

    async def run(self) -> None:
        """Check the voters periodically; only the leader changes them."""
        while True:
            await self.scheduler.sleep(CHECK_INTERVAL_SECONDS)
            if self.consensus.leader_ready:
                await self.change_voters()

    async def change_voters(self) -> None:
        """Commit the changes that can be made now, one voter at a time."""
        for _ in range(MAX_CHANGES_PER_CHECK):
            if not self.consensus.leader_ready:
                return
            voter_set = self.voter_set()
            voters = next_voters(voter_set)
            if voters is None:
                return
            self.log_lost_voters(voter_set, voters)
            outcome = await self.consensus.change_voters(voters)
            if outcome.is_error():
                return

    def log_lost_voters(self, voter_set: VoterSet, voters: Voters) -> None:
        """Write an event for each lost voter that a change removes."""
        for disk in voter_set.lost_voters:
            if disk not in voters:
                address = voter_set.voters[disk]
                self.consensus.log.write(VOTER_LOST, disk=disk, address=address)

    def replicas(self) -> list[Message]:
        """Return the status of every disk as the leader knows it, for operators."""
        voter_set = self.voter_set()
        statuses = replica_statuses(self.consensus, voter_set.lost, voter_set.leaving)
        return [status.to_wire() for status in statuses]

    def voter_set(self) -> VoterSet:
        """Return the voters and standbys as the leader knows them."""
        consensus = self.consensus
        self.drop_silent_nodes()
        recently_elected = (
            self.scheduler.now() - consensus.elected_at
            <= consensus.settings.heartbeat_seconds * ELECTION_GRACE_HEARTBEATS
        )
        lost = [] if recently_elected else [disk for disk in consensus.voters if self.is_lost(disk)]
        return VoterSet(
            dict(consensus.voters),
            consensus.disk,
            frozenset(lost),
            frozenset(self.leaving),
            tuple(self.ready_standbys()),
            self.voters_by_zone(consensus.voters),
        )

    def drop_silent_nodes(self) -> None:
        """Drop learners and leaving nodes whose timeout has passed since their last request."""
        now = self.scheduler.now()
        for disk, requested_at in list(self.leaving.items()):
            if now - requested_at > LEAVING_TIMEOUT_SECONDS:
                del self.leaving[disk]
        for disk, (_, requested_at) in list(self.consensus.learners.items()):
            if disk not in self.consensus.voters and now - requested_at > LEARNER_TIMEOUT_SECONDS:
                self.consensus.drop_learner(disk)

    def standbys(self) -> list[Standby]:
        """Return the learners that are neither voters nor leaving."""
        return [
            Standby(disk, address)
            for disk, (address, _) in self.consensus.learners.items()
            if disk not in self.consensus.voters and disk not in self.leaving
        ]

    def ready_standbys(self) -> list[Standby]:
        """Return the standbys that have caught up, sorted by the number of voters in their zone."""
        ready = [standby for standby in self.standbys() if self.has_caught_up(standby.disk)]
        counts = self.voters_by_zone({standby.disk: standby.address for standby in ready})
        return sorted(ready, key=lambda standby: (counts[standby.disk], standby.disk))

    def has_caught_up(self, disk: str) -> bool:
        """Return True if a learner has nearly all of the log and had recent contact."""
        consensus = self.consensus
        peer = consensus.peers.get(disk)
        return (
            peer is not None
            and peer.match_index + MAX_LAG_ENTRIES >= consensus.commit_index
            and peer.match_index >= consensus.snapshot.index
            and seconds_since(self.scheduler.now(), peer.last_contact_at)
            < consensus.settings.election_timeout
        )

    def voters_by_zone(self, disks: Voters) -> dict[str, int]:
        """Return the number of voters in the zone of each disk."""
        if not disks:
            return {}
        zones = {
            session.rpc_address: session.zone for session in self.membership.members().values()
        }
        voter_counts = Counter(zones.get(address) for address in self.consensus.voters.values())
        return {disk: voter_counts[zones.get(address, "")] for disk, address in disks.items()}

    def is_lost(self, disk: str) -> bool:
        """Return True if a voter's disk was replaced, or stored nothing for `replace_seconds`."""
        consensus = self.consensus
        peer = consensus.peers.get(disk)
        if disk == consensus.disk or peer is None:
            return False
        now = self.scheduler.now()
        silence = min(seconds_since(now, peer.last_stored_at), now - consensus.elected_at)
        return peer.disk_replaced or silence > consensus.settings.replace_seconds

    # Release of nodes that shut down.

    def on_release_request(self, message: Message) -> Message:
        """Record that a node shuts down; answer with `may_end` once its disk is not needed."""
        disk = str(message.get("disk"))
        if not self.consensus.leader_ready:
            return {"ok": False, "may_end": False}
        self.leaving[disk] = self.scheduler.now()
        is_releasable = self.is_releasable(disk)
        if is_releasable:
            self.consensus.release(disk)
        return {"ok": True, "may_end": is_releasable, "epoch": self.consensus.term}

    def is_releasable(self, disk: str) -> bool:
        """Return True if a disk is no voter, or is a voter that can end without risk to the log.

        A voter may end only if no standby could replace it and the other voters store all committed
        entries on a majority. A new leader waits first, as it may not know of all standbys yet.
        """
        consensus = self.consensus
        if consensus.voter_change_pending:
            return False
        if disk not in consensus.voters:
            return True
        if (
            self.scheduler.now() - consensus.elected_at < LEARNER_DISCOVERY_SECONDS
            or self.standbys()
        ):
            return False
        return self.is_stored_without(disk)

    def is_stored_without(self, disk: str) -> bool:
        """Return True if a majority without this disk stores all committed entries."""
        consensus = self.consensus
        storing = [
            other
            for other in consensus.voters
            if other != disk and consensus.match_index_of(other) >= consensus.commit_index
        ]
        return len(storing) >= majority_of(len(consensus.voters))
