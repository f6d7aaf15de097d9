"""What the leader tends: lost duties, voters that are gone for good, watches that nobody wrote."""

from ryelock.council import Council, majority_of
from ryelock.council.seat import VOTERS_MOST
from ryelock.duty import Duty, next_duty
from ryelock.events import DUTY_GIVEN, WATCH_DERIVED, WATCH_ENDED, Log
from ryelock.loop import Scheduler, Step
from ryelock.register import (
    Register,
    Watch,
    derivable_routes,
    derived_name,
    derived_watches,
    encode_word,
    places_of,
)
from ryelock.roster import Roster
from ryelock.watch import watch_mark

JOINED_SECONDS = 3.0
BEHIND_MOST = 200


class Keeper:
    __slots__ = (
        "council",
        "derives",
        "duties",
        "log",
        "lost",
        "objects",
        "register",
        "roster",
        "scheduler",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        council: Council,
        register: Register,
        roster: Roster,
        duties: tuple[str, ...],
        objects: dict[str, tuple[str, str]] | None = None,
        derives: bool = False,
    ) -> None:
        self.duties = duties
        self.objects = {} if objects is None else objects
        self.derives = derives
        self.lost: dict[str, tuple[str, str]] = {}
        self.scheduler = scheduler
        self.log = log
        self.council = council
        self.register = register
        self.roster = roster

    def work(self) -> Step[None]:
        while True:
            yield from self.scheduler.pause(0.4)
            if self.council.settled:
                yield from self.tend_duties()
            if self.council.settled:
                yield from self.tend_voters()
            if self.council.settled:
                yield from self.tend_watches()

    def tend_duties(self) -> Step[None]:
        cores = {
            name: session
            for name, session in self.roster.members().items()
            if session.role == "core"
        }
        leaving = [name for name, session in cores.items() if not session.ready]
        for name in self.duties:
            wanted = next_duty(self.register.duties.get(name), name, cores, leaving)
            if wanted is not None:
                yield from self.give(wanted)

    def give(self, duty: Duty) -> Step[None]:
        outcome = yield from self.council.propose(encode_word("duty", **duty.plain()))
        if outcome.is_ok():
            self.log.write(
                DUTY_GIVEN,
                duty=duty.name,
                holder=duty.holder,
                epoch=duty.epoch,
                successor=duty.successor,
            )

    def tend_watches(self) -> Step[None]:
        """End made-up watches whose object is gone, and make one up where a service has none.

        Of what the edges told since the last round: the first route by name that may have one,
        and no object that was just found gone.
        """
        register, gone = self.register, self.register.verdict.get("gone")
        before = register.derived
        places = places_of(before)
        for name, watch in before.items():
            lost = isinstance(gone, dict) and gone.get(derived_name(name)) == watch_mark(watch)
            if lost or not self.derives:
                self.lost[name] = (watch.host, watch.object)
                del places[name]
        told = sorted(self.objects.items())
        self.objects.clear()
        kept = derived_watches(register.configuration, places)
        for name, place in told if self.derives else []:
            if self.lost.get(name) != place and name in derivable_routes(
                register.configuration, kept
            ):
                places[name] = list(place)
                kept = derived_watches(register.configuration, places)
                places = places_of(kept)
        if kept != before:
            outcome = yield from self.council.propose(encode_word("derived", places=places))
            if outcome.is_ok():
                self.tell_watches(before, register.derived)

    def tell_watches(self, before: dict[str, Watch], after: dict[str, Watch]) -> None:
        for name in sorted({*before, *after}):
            old, new = before.get(name), after.get(name)
            if old is not None and old != new:
                self.log.write(WATCH_ENDED, route=name, object=old.object)
            if new is not None and old != new:
                self.log.write(WATCH_DERIVED, route=name, host=new.host, object=new.object)

    def spares(self) -> list[tuple[str, str]]:
        """Disks that joined lately, are no voters, and have nearly the whole log."""
        council = self.council
        now = self.scheduler.now()
        found: list[tuple[str, str]] = []
        for disk, (address, seen) in list(council.learners.items()):
            if disk in council.voters:
                continue
            if now - seen > JOINED_SECONDS:
                del council.learners[disk]
                peer = council.peers.pop(disk, None)
                if peer is not None and peer.running is not None:
                    peer.running.cancel()
                continue
            peer = council.peers.get(disk)
            if (
                peer is not None
                and peer.match + BEHIND_MOST >= council.last_index
                and peer.match >= council.base.index
                and now - peer.heard < council.pace.election
            ):
                found.append((disk, address))
        return sorted(found, key=lambda spare: (self.crowded(spare[1]), spare[0]))

    def crowded(self, address: str) -> int:
        """How many voters stand in the zone of an address already."""
        zones = {session.wire: session.zone for session in self.roster.members().values()}
        zone = zones.get(address, "")
        return sum(zones.get(other) == zone for other in self.council.voters.values())

    def tend_voters(self) -> Step[None]:
        """One voter out or in at a time; never fewer live voters than a majority needs."""
        council = self.council
        now = self.scheduler.now()
        spares = self.spares()
        gone = [disk for disk in council.voters if disk != council.disk and self.is_gone(disk)]
        live = len(council.voters) - len(gone)
        wanted = VOTERS_MOST if live + len(spares) >= VOTERS_MOST else 3
        voters = dict(council.voters)
        if gone and spares and now - council.elected_at > council.pace.beat * 4:
            left = len(voters) - 1
            if live >= majority_of(left):
                del voters[gone[0]]
                yield from council.change_voters(voters)
                return
        if spares and len(voters) < wanted:
            disk, address = spares[0]
            voters[disk] = address
            yield from council.change_voters(voters)

    def is_gone(self, disk: str) -> bool:
        council = self.council
        peer = council.peers.get(disk)
        if peer is None:
            return False
        if peer.gone:
            return True
        since = max(peer.heard, council.elected_at)
        return self.scheduler.now() - since > council.pace.replace
