"""What the leader tends: lost duties, voters that are gone for good, watches that nobody wrote."""

from ryelock.consensus import Consensus
from ryelock.control_plane.voters import VoterManager
from ryelock.events import ROLE_ASSIGNED, WATCH_DERIVED, WATCH_ENDED, Log
from ryelock.health import watch_fingerprint
from ryelock.membership import Membership
from ryelock.replicated_state import (
    ReplicatedState,
    Watch,
    derivable_routes,
    derived_name,
    derived_targets,
    derived_watches,
    encode_command,
)
from ryelock.runtime import Scheduler
from ryelock.singleton import SingletonRole, next_assignment


class RoleAssigner:
    __slots__ = (
        "consensus",
        "derives",
        "duties",
        "log",
        "lost",
        "membership",
        "objects",
        "replicated_state",
        "scheduler",
        "voters",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        log: Log,
        consensus: Consensus,
        replicated_state: ReplicatedState,
        membership: Membership,
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
        self.replicated_state = replicated_state
        self.membership = membership
        self.voters = VoterManager(scheduler, consensus, membership)

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
            for name, session in self.membership.members().items()
            if session.role == "core"
        }
        leaving = [name for name, session in cores.items() if not session.ready]
        for name in self.duties:
            wanted = next_assignment(
                self.replicated_state.singletons.get(name), name, cores, leaving
            )
            if wanted is not None:
                await self.give(wanted)

    async def give(self, duty: SingletonRole) -> None:
        outcome = await self.consensus.propose(encode_command("duty", **duty.to_wire()))
        if outcome.is_ok():
            self.log.write(
                ROLE_ASSIGNED,
                duty=duty.name,
                holder=duty.owner,
                epoch=duty.fencing_token,
                successor=duty.successor,
            )

    async def tend_watches(self) -> None:
        """End made-up watches whose object is gone, and make one up where a service has none.

        Of what the edges told since the last round: the first route by name that may have one,
        and no object that was just found gone.
        """
        replicated_state, gone = self.replicated_state, self.replicated_state.verdict.get("gone")
        before = replicated_state.derived
        places = derived_targets(before)
        for name, watch in before.items():
            lost = isinstance(gone, dict) and gone.get(derived_name(name)) == watch_fingerprint(
                watch
            )
            if lost or not self.derives:
                self.lost[name] = (watch.host, watch.object)
                del places[name]
        told = sorted(self.objects.items())
        self.objects.clear()
        kept = derived_watches(replicated_state.configuration, places)
        for name, place in told if self.derives else []:
            if self.lost.get(name) != place and name in derivable_routes(
                replicated_state.configuration, kept
            ):
                places[name] = list(place)
                kept = derived_watches(replicated_state.configuration, places)
                places = derived_targets(kept)
        if kept != before:
            outcome = await self.consensus.propose(encode_command("derived", places=places))
            if outcome.is_ok():
                self.tell_watches(before, replicated_state.derived)

    def tell_watches(self, before: dict[str, Watch], after: dict[str, Watch]) -> None:
        for name in sorted({*before, *after}):
            old, new = before.get(name), after.get(name)
            if old is not None and old != new:
                self.log.write(WATCH_ENDED, route=name, object=old.object)
            if new is not None and old != new:
                self.log.write(WATCH_DERIVED, route=name, host=new.host, object=new.object)
