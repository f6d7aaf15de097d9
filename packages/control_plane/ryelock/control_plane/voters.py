"""The leader's management of the voters: lost ones are replaced, leaving ones released.

The decision is made in `ryelock.consensus.membership`; here is what it rests on: which voters had
contact lately, which learners have caught up with the log, and who asked to leave. A node that
shuts down sends `council.leave` repeatedly and ends once the answer says `may_end`.
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
"""Kind of the message by which a node that shuts down asks whether its disk is still needed."""
LEARNER_TIMEOUT_SECONDS = 3.0
"""A learner that has not asked to join for so long is forgotten."""
LEAVING_TIMEOUT_SECONDS = 3.0
"""A node that has not asked to leave for so long is staying."""
LEARNER_DISCOVERY_SECONDS = 1.0
"""A new leader knows of all learners after so long."""
MAX_LAG_ENTRIES = 16
"""A learner has caught up with at most so many committed entries still on their way to it."""
HEARTBEATS_AFTER_ELECTION = 4
"""A new leader takes no voter for lost before so many heartbeats."""
MAX_STEPS = 8
"""So many changes of the voters are made in a row, at most."""
CHECK_SECONDS = 0.2


class VoterManager:
    """Adds and removes voters, one step after the other."""

    __slots__ = ("consensus", "leaving", "membership", "scheduler")

    def __init__(self, scheduler: Scheduler, consensus: Consensus, membership: Membership) -> None:
        """Create the management of one node's group; `membership` tells the voters' zones."""
        self.scheduler = scheduler
        self.consensus = consensus
        self.membership = membership
        self.leaving: dict[str, float] = {}

    async def run(self) -> None:
        """Check the voters for the life of the process, while this node leads."""
        while True:
            await self.scheduler.sleep(CHECK_SECONDS)
            if self.consensus.leader_ready:
                await self.change_voters()

    async def change_voters(self) -> None:
        """Make all changes that can be made now, one voter after the other."""
        for _ in range(MAX_STEPS):
            if not self.consensus.leader_ready:
                return
            voter_set = self.voter_set()
            voters = next_voters(voter_set)
            if voters is None:
                return
            self.log_lost(voter_set, voters)
            outcome = await self.consensus.change_voters(voters)
            if outcome.is_error():
                return

    def log_lost(self, voter_set: VoterSet, voters: Voters) -> None:
        """Write an event for each lost voter that a change removes."""
        for disk in voter_set.lost_voters:
            if disk not in voters:
                address = voter_set.voters[disk]
                self.consensus.log.write(VOTER_LOST, disk=disk, address=address)

    def replicas(self) -> list[Message]:
        """Return every disk as this leader sees it, for operators."""
        voter_set = self.voter_set()
        statuses = replica_statuses(self.consensus, voter_set.lost, voter_set.leaving)
        return [status.to_wire() for status in statuses]

    def voter_set(self) -> VoterSet:
        """Return voters and learners as this leader sees them."""
        consensus = self.consensus
        self.forget_silent()
        recent = (
            self.scheduler.now() - consensus.elected_at
            <= consensus.settings.heartbeat_seconds * HEARTBEATS_AFTER_ELECTION
        )
        lost = [] if recent else [disk for disk in consensus.voters if self.is_lost(disk)]
        return VoterSet(
            dict(consensus.voters),
            consensus.disk,
            frozenset(lost),
            frozenset(self.leaving),
            tuple(self.ready_standbys()),
            self.voters_by_zone(consensus.voters),
        )

    def forget_silent(self) -> None:
        """Drop learners and leaving nodes without contact for a while."""
        now = self.scheduler.now()
        for disk, asked in list(self.leaving.items()):
            if now - asked > LEAVING_TIMEOUT_SECONDS:
                del self.leaving[disk]
        for disk, (_, seen) in list(self.consensus.learners.items()):
            if disk not in self.consensus.voters and now - seen > LEARNER_TIMEOUT_SECONDS:
                self.consensus.drop_learner(disk)

    def standbys(self) -> list[Standby]:
        """Return the disks that joined lately, are no voters and are not leaving."""
        return [
            Standby(disk, address)
            for disk, (address, _) in self.consensus.learners.items()
            if disk not in self.consensus.voters and disk not in self.leaving
        ]

    def ready_standbys(self) -> list[Standby]:
        """Return the standbys that have caught up, those in zones with the fewest voters first."""
        ready = [standby for standby in self.standbys() if self.has_caught_up(standby.disk)]
        counts = self.voters_by_zone({standby.disk: standby.address for standby in ready})
        return sorted(ready, key=lambda standby: (counts[standby.disk], standby.disk))

    def has_caught_up(self, disk: str) -> bool:
        """Tell whether a learner has nearly all of the log and had contact lately."""
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
        """Return how many voters are in the zone of each disk."""
        if not disks:
            return {}
        zones = {
            session.rpc_address: session.zone for session in self.membership.members().values()
        }
        voting = Counter(zones.get(address) for address in self.consensus.voters.values())
        return {disk: voting[zones.get(address, "")] for disk, address in disks.items()}

    def is_lost(self, disk: str) -> bool:
        """Tell whether a voter has another disk now, or stored nothing for too long."""
        consensus = self.consensus
        peer = consensus.peers.get(disk)
        if disk == consensus.disk or peer is None:
            return False
        now = self.scheduler.now()
        silence = min(seconds_since(now, peer.last_stored_at), now - consensus.elected_at)
        return peer.disk_replaced or silence > consensus.settings.replace_seconds

    # Release of nodes that shut down.

    def on_release_request(self, message: Message) -> Message:
        """Record that a node shuts down, and answer whether it may end now."""
        disk = str(message.get("disk"))
        if not self.consensus.leader_ready:
            return {"ok": False, "may_end": False}
        self.leaving[disk] = self.scheduler.now()
        is_releasable = self.is_releasable(disk)
        if is_releasable:
            self.consensus.release(disk)
        return {"ok": True, "may_end": is_releasable, "epoch": self.consensus.term}

    def is_releasable(self, disk: str) -> bool:
        """Tell whether no committed entry needs a disk and no standby could take its place."""
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
        """Tell whether a majority of the voters store all committed entries, one not counted."""
        consensus = self.consensus
        storing = [
            other
            for other in consensus.voters
            if other != disk and consensus.match_index_of(other) >= consensus.commit_index
        ]
        return len(storing) >= majority_of(len(consensus.voters))
