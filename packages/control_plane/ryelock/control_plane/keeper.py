"""What the leader tends: lost duties, voters that are gone for good, watches that nobody wrote."""

from ryelock.consensus import Consensus
from ryelock.control_plane.voters import VoterKeeper
from ryelock.events import DUTY_GIVEN, WATCH_DERIVED, WATCH_ENDED, Log
from ryelock.health import watch_mark
from ryelock.membership import Roster
from ryelock.replicated_state import (
    Register,
    Watch,
    derivable_routes,
    derived_name,
    derived_watches,
    encode_word,
    places_of,
)
from ryelock.runtime import Scheduler
from ryelock.singleton import Duty, next_duty


class Keeper:
    __slots__ = (
        "consensus",
        "derives",
        "duties",
        "log",
        "lost",
        "objects",
        "register",
        "roster",
        "scheduler",
        "voters",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
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
        self.consensus = consensus
        self.register = register
        self.roster = roster
        self.voters = VoterKeeper(scheduler, consensus, roster)

    async def work(self) -> None:
        while True:
            await self.scheduler.sleep(0.4)
            if self.consensus.settled:
                await self.tend_duties()
            if self.consensus.settled:
                await self.tend_watches()

    async def tend_duties(self) -> None:
        cores = {
            name: session
            for name, session in self.roster.members().items()
            if session.role == "core"
        }
        leaving = [name for name, session in cores.items() if not session.ready]
        for name in self.duties:
            wanted = next_duty(self.register.duties.get(name), name, cores, leaving)
            if wanted is not None:
                await self.give(wanted)

    async def give(self, duty: Duty) -> None:
        outcome = await self.consensus.propose(encode_word("duty", **duty.plain()))
        if outcome.is_ok():
            self.log.write(
                DUTY_GIVEN,
                duty=duty.name,
                holder=duty.holder,
                epoch=duty.epoch,
                successor=duty.successor,
            )

    async def tend_watches(self) -> None:
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
            outcome = await self.consensus.propose(encode_word("derived", places=places))
            if outcome.is_ok():
                self.tell_watches(before, register.derived)

    def tell_watches(self, before: dict[str, Watch], after: dict[str, Watch]) -> None:
        for name in sorted({*before, *after}):
            old, new = before.get(name), after.get(name)
            if old is not None and old != new:
                self.log.write(WATCH_ENDED, route=name, object=old.object)
            if new is not None and old != new:
                self.log.write(WATCH_DERIVED, route=name, host=new.host, object=new.object)
