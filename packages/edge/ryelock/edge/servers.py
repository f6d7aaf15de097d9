"""Servers as one edge sees them: who is live, how they fare, and links kept for reuse.

A kept link belongs to one (service, address, incarnation). A server that fails several times
on end is set aside for a while that doubles, then one order at a time tries it again. Where one
that was set aside serves again, its siblings are tried too.

Of two servers drawn by chance the one with fewer orders in flight is picked, unless the other is
much quicker; what is known of a server's speed fades while it is not used, so one that was slow
is tried again.
"""

import math
from random import Random

from ryelock.events import SERVER_EJECTED, SERVER_READMITTED, Log
from ryelock.http import Reader
from ryelock.membership import Server, ServerList
from ryelock.runtime import Connection, Scheduler
from ryelock.settings import Settings

FAILURES_MOST = 3
ASIDE_FIRST = 1.0
ASIDE_MOST = 10.0
KEPT_CONNECTIONS = 32
FADE_SECONDS = 5.0
MUCH_SLOWER = 3.0
OTHER_ZONE = 2.0
FAR_SECONDS = 0.25
SAFE_IDLE = 0.5
SLOT_PART = 3
ZONE_RANK = {"healthy": 0, "unknown": 1, "stale": 1, "down": 2}


class ServerState:
    __slots__ = (
        "aside_for",
        "aside_until",
        "failures",
        "full_until",
        "gone",
        "kept",
        "latency",
        "sent_at",
        "server",
        "trying",
        "used_at",
    )

    def __init__(self, server: Server) -> None:
        self.server = server
        self.sent_at: list[float] = []
        self.failures = 0
        self.aside_for = 0.0
        self.aside_until = 0.0
        self.trying = False
        self.latency = 0.0
        self.used_at = 0.0
        self.gone = False
        self.full_until = 0.0
        self.kept: list[tuple[Connection, Reader, float]] = []

    @property
    def in_flight(self) -> int:
        return len(self.sent_at)

    def cost(self, now: float) -> float:
        """Orders in flight by how long one takes: as known, or as the oldest has waited already."""
        latency = self.latency * math.pow(0.5, max(0.0, now - self.used_at) / FADE_SECONDS)
        if self.sent_at:
            latency = max(latency, now - self.sent_at[0])
        return (self.in_flight + 1) * (latency + 0.002) * (2.0 if self.server.cold else 1.0)

    def worse_than(self, other: "ServerState", now: float) -> bool:
        """Whether the other is to be picked of the two."""
        mine, theirs = self.cost(now), other.cost(now)
        if max(mine, theirs) > MUCH_SLOWER * min(mine, theirs):
            return mine > theirs
        return self.in_flight > other.in_flight


class Servers:
    __slots__ = (
        "by_service",
        "listing",
        "log",
        "random",
        "scheduler",
        "settings",
        "trial_at",
        "zone",
    )

    def __init__(self, scheduler: Scheduler, log: Log, settings: Settings, random: Random) -> None:
        self.scheduler = scheduler
        self.random = random
        self.log = log
        self.settings = settings
        self.zone = settings.zone
        self.listing: ServerList | None = None
        self.by_service: dict[str, list[ServerState]] = {}
        self.trial_at: dict[str, float] = {}

    def take(self, listing: ServerList) -> None:
        """Follow a listing; servers that are not in it any more keep no links."""
        before = {
            state.server.identity: state for states in self.by_service.values() for state in states
        }
        self.listing = listing
        self.by_service = {}
        for server in listing.servers:
            state = before.pop(server.identity, None)
            if state is None:
                state = ServerState(server)
            state.server = server
            self.by_service.setdefault(server.service, []).append(state)
            if server.leaving:
                self.end_connections(state)
        for state in before.values():
            state.gone = True
            self.end_connections(state)

    def end_connections(self, state: ServerState) -> None:
        for connection, _, _ in state.kept:
            connection.close()
        state.kept = []

    def live(self, now: float) -> bool:
        """Whether the listing is still believed; with no end where edges serve after a lapse."""
        return self.listing is not None and (
            self.settings.serve_lapsed or now < self.listing.valid_until
        )

    def is_live(self, state: ServerState, service: str, now: float) -> bool:
        """Whether an order of a service may go to a server at this very moment."""
        return (
            self.live(now)
            and not state.gone
            and not state.server.leaving
            and state.server.service == service
        )

    def pick(
        self,
        service: str,
        used: set[tuple[str, str, str]],
        verdicts: dict[str, str],
        weighed: list[dict[str, object]] | None,
        edges: int = 1,
        connections: int = 0,
    ) -> ServerState | None:
        """The server for the next dispatch: by zone, then the better of two, fit ones only."""
        now = self.scheduler.now()
        if not self.live(now):
            return None
        able: list[ServerState] = []
        if all(
            state.failures >= FAILURES_MOST or state.server.leaving
            for state in self.by_service.get(service, ())
        ):
            return self.trial(service, edges, now, weighed)
        best_key: tuple[int, int, int] | None = None
        for state in self.by_service.get(service, ()):
            server = state.server
            if server.leaving:
                if weighed is not None:
                    weighed.append({"server": server.address, "left_out": "leaving"})
                continue
            aside = state.failures >= FAILURES_MOST
            if aside and (now < state.aside_until or state.trying):
                if weighed is not None:
                    weighed.append({"server": server.address, "left_out": "set aside"})
                continue
            if self.settings.spread_region and not self.has_room(state, edges, connections, now):
                if weighed is not None:
                    weighed.append({"server": server.address, "left_out": "full"})
                continue
            near = 0 if server.zone == self.zone else 1
            rank = ZONE_RANK.get(verdicts.get(server.zone, "unknown"), 1) if near else 0
            key = (1 if server.identity in used else 0, near, rank)
            if self.settings.spread_region:
                key = (key[0], 0, 1 if rank == ZONE_RANK["down"] else 0)
            if weighed is not None:
                weighed.append(
                    {
                        "server": server.address,
                        "zone": server.zone,
                        "flight": state.in_flight,
                        "latency_ms": round(state.latency * 1000, 1),
                    }
                )
            if best_key is None or key < best_key:
                able, best_key = [], key
            if key == best_key:
                able.append(state)
        if not able:
            return None
        best = self.cheapest(able, now) if self.settings.spread_region else self.better(able, now)
        if best.failures >= FAILURES_MOST:
            best.trying = True
            self.log.write(SERVER_READMITTED, server=best.server.address)
        return best

    def better(self, able: list[ServerState], now: float) -> ServerState:
        """The better of two drawn by chance."""
        drawn = self.random.sample(able, min(2, len(able)))
        return drawn[-1] if drawn[0].worse_than(drawn[-1], now) else drawn[0]

    def cheapest(self, able: list[ServerState], now: float) -> ServerState:
        """Of the better ones of the own zone, the own region and beyond, the one that costs least.

        Another zone costs a part more; another region the way there, also where that is not
        known yet, so that far servers take what near ones can't.
        """
        region = self.settings.regions.get(self.zone, self.zone)
        groups: tuple[list[ServerState], list[ServerState], list[ServerState]] = ([], [], [])
        for state in able:
            zone = state.server.zone
            far = self.settings.regions.get(zone, zone) != region
            groups[0 if zone == self.zone else 2 if far else 1].append(state)
        found: list[tuple[float, ServerState]] = []
        for group, factor, way in zip(
            groups, (1.0, OTHER_ZONE, OTHER_ZONE), (0.0, 0.0, FAR_SECONDS), strict=True
        ):
            if group:
                best = self.better(group, now)
                found.append((best.cost(now) * factor + way, best))
        return min(found, key=lambda pair: pair[0])[1]

    def has_room(self, state: ServerState, edges: int, connections: int, now: float) -> bool:
        """Whether this edge may have one order more in flight at a server.

        Each edge has a part of the server's slots and of its links; one that just said it is
        full is left alone for a moment.
        """
        if now < state.full_until:
            return False
        most = 1 << 30
        if state.server.slots:
            most = max(1, math.ceil(SLOT_PART * state.server.slots / max(1, edges)))
        if connections:
            most = min(most, max(1, connections // max(1, edges)))
        return state.in_flight < most

    def declined(self, state: ServerState, status: int, seconds: float) -> None:
        """A server said that it did not run an order: it is full, or another has its address."""
        state.trying = False
        state.full_until = self.scheduler.now() + (seconds if status != 421 else 1.0)

    def trial(
        self, service: str, edges: int, now: float, weighed: list[dict[str, object]] | None
    ) -> ServerState | None:
        """All servers of a service are set aside: now and then one order tries one of them.

        So seldom that all edges together send a failing service about one order a second.
        """
        aside = [
            state
            for state in self.by_service.get(service, ())
            if not state.server.leaving and not state.trying
        ]
        if not aside or now < self.trial_at.get(service, 0.0):
            if weighed is not None:
                weighed += [
                    {"server": state.server.address, "left_out": "set aside"} for state in aside
                ]
            return None
        self.trial_at[service] = now + min(ASIDE_MOST, max(ASIDE_FIRST, 0.8 * edges))
        best = min(aside, key=lambda state: state.aside_until)
        best.trying = True
        self.log.write(SERVER_READMITTED, server=best.server.address)
        return best

    def fared(self, state: ServerState, fine: bool, seconds: float) -> None:
        """Learn from one dispatch."""
        state.trying = False
        state.used_at = self.scheduler.now()
        if fine:
            if state.failures >= FAILURES_MOST:
                for other in self.by_service.get(state.server.service, ()):
                    other.aside_until = min(other.aside_until, state.used_at)
            state.failures = 0
            state.aside_for = 0.0
            state.latency = (state.latency * 0.8 + seconds * 0.2) if state.latency else seconds
            return
        state.failures += 1
        state.latency = max(state.latency, seconds)
        if state.failures >= FAILURES_MOST:
            state.aside_for = min(ASIDE_MOST, max(ASIDE_FIRST, state.aside_for * 2))
            state.aside_until = self.scheduler.now() + state.aside_for
            self.log.write(
                SERVER_EJECTED,
                server=state.server.address,
                seconds=state.aside_for,
                service=state.server.service,
            )

    def kept_connection(self, state: ServerState) -> tuple[Connection, Reader] | None:
        now = self.scheduler.now()
        while state.kept:
            connection, reader, until = state.kept.pop()
            if connection.closed or connection.received.items or reader.buffer or now > until:
                connection.close()
                continue
            return connection, reader
        return None

    def keep_connection(
        self, state: ServerState, connection: Connection, reader: Reader, idle: float | None = None
    ) -> None:
        """Keep a link for reuse until half of the time that its server keeps it idle is over."""
        if (
            state.gone
            or state.server.leaving
            or connection.closed
            or reader.buffer
            or connection.received.items
            or len(state.kept) >= KEPT_CONNECTIONS
        ):
            connection.close()
        else:
            most = (
                self.settings.link_idle_seconds
                if idle is None
                else min(self.settings.link_idle_seconds, SAFE_IDLE * idle)
            )
            state.kept.append((connection, reader, self.scheduler.now() + most))
