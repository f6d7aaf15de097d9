"""The leader's care for its voters: lost ones are replaced, leaving ones released.

The decision is `ryelock.consensus.membership`; here is what it rests on: who was heard lately,
which spares hold the log, and who asked to leave. A node that stops asks with `council.leave` over
and over and ends once the answer says `may_end`.
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

LEAVE = "council.leave"
JOINED_SECONDS = 3.0
"""A spare that has not asked to join for so long is forgotten."""
LEAVING_SECONDS = 3.0
"""A node that has not asked to leave for so long is staying."""
JOIN_WAIT_SECONDS = 1.0
"""A new leader knows of all spares after so long."""
LEVEL_ENTRIES = 16
"""A spare counts as level with so many agreed entries still on their way to it."""
STEPS_MOST = 8
TEND_SECONDS = 0.2


class VoterManager:
    """Adds and removes voters, one step after the other."""

    __slots__ = ("consensus", "leaving", "membership", "scheduler")

    def __init__(self, scheduler: Scheduler, consensus: Consensus, membership: Membership) -> None:
        self.scheduler = scheduler
        self.consensus = consensus
        self.membership = membership
        self.leaving: dict[str, float] = {}

    async def work(self) -> None:
        """Look after the voters for the life of the process, while this node leads."""
        while True:
            await self.scheduler.sleep(TEND_SECONDS)
            if self.consensus.settled:
                await self.tend()

    async def tend(self) -> None:
        """All steps that can be made now."""
        for _ in range(STEPS_MOST):
            if not self.consensus.settled:
                return
            voter_set = self.voter_set()
            voters = next_voters(voter_set)
            if voters is None:
                return
            self.tell_lost(voter_set, voters)
            outcome = await self.consensus.change_voters(voters)
            if outcome.is_error():
                return

    def tell_lost(self, voter_set: VoterSet, voters: Voters) -> None:
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
        """Voters and spares as this leader sees them."""
        consensus = self.consensus
        self.forget_old()
        recent = (
            self.scheduler.now() - consensus.elected_at <= consensus.settings.heartbeat_seconds * 4
        )
        lost = [] if recent else [disk for disk in consensus.voters if self.is_lost(disk)]
        return VoterSet(
            dict(consensus.voters),
            consensus.disk,
            frozenset(lost),
            frozenset(self.leaving),
            tuple(self.spares()),
            self.crowded(consensus.voters),
        )

    def forget_old(self) -> None:
        """Drop spares and leaving nodes that were not heard for a while."""
        now = self.scheduler.now()
        for disk, asked in list(self.leaving.items()):
            if now - asked > LEAVING_SECONDS:
                del self.leaving[disk]
        for disk, (_, seen) in list(self.consensus.learners.items()):
            if disk not in self.consensus.voters and now - seen > JOINED_SECONDS:
                self.consensus.drop_learner(disk)

    def waiting(self) -> list[Standby]:
        """Disks that joined lately, are no voters and are not leaving."""
        return [
            Standby(disk, address)
            for disk, (address, _) in self.consensus.learners.items()
            if disk not in self.consensus.voters and disk not in self.leaving
        ]

    def spares(self) -> list[Standby]:
        """Those of them that are level with the log, the ones in the emptiest zones first."""
        level = [spare for spare in self.waiting() if self.is_level(spare.disk)]
        crowded = self.crowded({spare.disk: spare.address for spare in level})
        return sorted(level, key=lambda spare: (crowded[spare.disk], spare.disk))

    def is_level(self, disk: str) -> bool:
        consensus = self.consensus
        peer = consensus.peers.get(disk)
        return (
            peer is not None
            and peer.match_index + LEVEL_ENTRIES >= consensus.commit_index
            and peer.match_index >= consensus.snapshot.index
            and seconds_since(self.scheduler.now(), peer.last_contact_at)
            < consensus.settings.election_timeout
        )

    def crowded(self, disks: Voters) -> dict[str, int]:
        """How many voters stand in the zone of each disk already; one look at the members."""
        if not disks:
            return {}
        zones = {session.wire: session.zone for session in self.membership.members().values()}
        voting = Counter(zones.get(address) for address in self.consensus.voters.values())
        return {disk: voting[zones.get(address, "")] for disk, address in disks.items()}

    def is_lost(self, disk: str) -> bool:
        """Whether a voter has another disk now, or stored nothing for too long."""
        consensus = self.consensus
        peer = consensus.peers.get(disk)
        if disk == consensus.disk or peer is None:
            return False
        now = self.scheduler.now()
        silence = min(seconds_since(now, peer.last_stored_at), now - consensus.elected_at)
        return peer.disk_replaced or silence > consensus.settings.replace_seconds

    # Leaving.

    def on_leave(self, message: Message) -> Message:
        """A node is stopping: note it, and tell whether it may end now."""
        disk = str(message.get("disk"))
        if not self.consensus.settled:
            return {"ok": False, "may_end": False}
        self.leaving[disk] = self.scheduler.now()
        may_end = self.may_end(disk)
        if may_end:
            self.consensus.release(disk)
        return {"ok": True, "may_end": may_end, "epoch": self.consensus.term}

    def may_end(self, disk: str) -> bool:
        """Whether nothing rests on a disk, or no spare could take its place anyway."""
        consensus = self.consensus
        if consensus.changing_voters:
            return False
        if disk not in consensus.voters:
            return True
        if self.scheduler.now() - consensus.elected_at < JOIN_WAIT_SECONDS or self.waiting():
            return False
        return self.held_without(disk)

    def held_without(self, disk: str) -> bool:
        """Whether all that is agreed stands on a majority of the voters besides a disk."""
        consensus = self.consensus
        holding = [
            other
            for other in consensus.voters
            if other != disk and consensus.match_index_of(other) >= consensus.commit_index
        ]
        return len(holding) >= majority_of(len(consensus.voters))
