"""Upstream servers as one edge sees them: load, latency, ejection, and idle connections.

An idle connection belongs to one (service, address, incarnation). A server that fails several
times in a row is ejected for a time that doubles, then one request at a time tries it again. Where
an ejected server serves again, the others of its service are tried too.

Of two servers drawn at random ("power of two choices") the one with fewer requests in flight is
picked, unless the other is much quicker. The latency known of a server decays while it is not
used, so one that was slow is tried again.
"""

import math
from collections.abc import Sequence
from random import Random

from ryelock.edge.idle_connections import IdleConnection, is_clean, take_idle
from ryelock.events import SERVER_EJECTED, SERVER_READMITTED, Log
from ryelock.http import Reader
from ryelock.membership import Server, ServerList
from ryelock.runtime import Connection, Scheduler
from ryelock.settings import Settings

EJECTION_FAILURES = 3
"""Failures in a row after which a server is ejected."""
EJECTION_MIN_SECONDS = 1.0
EJECTION_MAX_SECONDS = 10.0
TRIAL_SECONDS_PER_EDGE = 0.8
"""Between two trials of a service whose servers are all ejected, for each edge of the site."""
IDLE_CONNECTIONS_MAX = 32
IDLE_TIME_PART = 0.5
"""Part of the time that a server keeps an idle connection for which it is reused."""
LATENCY_HALF_LIFE_SECONDS = 5.0
LATENCY_NEW_SAMPLE_WEIGHT = 0.2
LATENCY_FLOOR_SECONDS = 0.002
"""Added to a latency, so that the requests in flight count where none is known."""
MUCH_SLOWER = 3.0
"""Ratio of costs from which the cheaper server is picked whatever is in flight."""
OTHER_ZONE_COST_FACTOR = 2.0
OTHER_REGION_COST_SECONDS = 0.25
WARMING_UP_COST_FACTOR = 2.0
SLOTS_FACTOR = 3
"""Requests in flight that all edges together may have for each slot of a server."""
UNLIMITED = 1 << 30
MISDIRECTED_REQUEST = 421
MISDIRECTED_PAUSE_SECONDS = 1.0
ZONE_RANK = {"healthy": 0, "unknown": 1, "stale": 1, "down": 2}
UNKNOWN_ZONE_RANK = 1
EXCLUDED_LEAVING = "leaving"
EXCLUDED_EJECTED = "set aside"
EXCLUDED_FULL = "full"
"""Why a server is no candidate, as explain answers it."""

Identity = tuple[str, str, str]
Rank = tuple[int, int, int]
Candidates = list[dict[str, object]]
"""What was known of each server at a pick, as explain answers it."""


class ServerState:
    """One incarnation of an upstream server, as its requests went here.

    Attributes:
        server: its entry in the server list.
        sent_at: monotonic times at which the requests in flight were sent, oldest first.
        failures: failures in a row.
        ejection_seconds: seconds of the last ejection, 0.0 once it serves again.
        ejected_until: monotonic time at which the ejection ends.
        trial_in_flight: whether a request tries it after an ejection.
        latency: moving average of seconds to an answer's head, 0.0 where none is known.
        used_at: monotonic time of the last result.
        gone: whether it left the server list.
        full_until: monotonic time up to which it gets nothing since it rejected a request.
        idle_connections: each with its reader and the time up to which it may be reused.
    """

    __slots__ = (
        "ejected_until",
        "ejection_seconds",
        "failures",
        "full_until",
        "gone",
        "idle_connections",
        "latency",
        "sent_at",
        "server",
        "trial_in_flight",
        "used_at",
    )

    def __init__(self, server: Server) -> None:
        """Create the state of a server that got no request yet."""
        self.server = server
        self.sent_at: list[float] = []
        self.failures = 0
        self.ejection_seconds = 0.0
        self.ejected_until = 0.0
        self.trial_in_flight = False
        self.latency = 0.0
        self.used_at = 0.0
        self.gone = False
        self.full_until = 0.0
        self.idle_connections: list[IdleConnection] = []

    @property
    def in_flight(self) -> int:
        """Number of requests that were sent and not answered yet."""
        return len(self.sent_at)

    @property
    def ejected(self) -> bool:
        """Whether it failed too often; it stays so until a trial succeeds."""
        return self.failures >= EJECTION_FAILURES

    def cost(self, now: float) -> float:
        """Return the expected seconds of one request more.

        By the latency known, or by how long the oldest request has waited already.
        """
        latency = self.latency * math.pow(
            0.5, max(0.0, now - self.used_at) / LATENCY_HALF_LIFE_SECONDS
        )
        if self.sent_at:
            latency = max(latency, now - self.sent_at[0])
        factor = WARMING_UP_COST_FACTOR if self.server.cold else 1.0
        return (self.in_flight + 1) * (latency + LATENCY_FLOOR_SECONDS) * factor

    def worse_than(self, other: "ServerState", now: float) -> bool:
        """Return whether the other is to be picked of the two."""
        own_cost, other_cost = self.cost(now), other.cost(now)
        if max(own_cost, other_cost) > MUCH_SLOWER * min(own_cost, other_cost):
            return own_cost > other_cost
        return self.in_flight > other.in_flight

    def record_success(self, seconds: float) -> None:
        """End an ejection, and take a sample into the latency."""
        self.failures = 0
        self.ejection_seconds = 0.0
        if not self.latency:
            self.latency = seconds
            return
        weight = LATENCY_NEW_SAMPLE_WEIGHT
        self.latency = self.latency * (1 - weight) + seconds * weight

    def record_failure(self, seconds: float, now: float) -> None:
        """Count a failure; eject from EJECTION_FAILURES on, each time for twice as long."""
        self.failures += 1
        self.latency = max(self.latency, seconds)
        if self.ejected:
            doubled = max(EJECTION_MIN_SECONDS, self.ejection_seconds * 2)
            self.ejection_seconds = min(EJECTION_MAX_SECONDS, doubled)
            self.ejected_until = now + self.ejection_seconds

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection, _, _ in self.idle_connections:
            connection.close()
        self.idle_connections = []


class Servers:
    """The upstream servers of all services, and the choice among those of one."""

    __slots__ = (
        "by_service",
        "log",
        "random",
        "scheduler",
        "server_list",
        "settings",
        "trial_at",
        "zone",
    )

    def __init__(self, scheduler: Scheduler, log: Log, settings: Settings, random: Random) -> None:
        """Create an empty set.

        Args:
            scheduler: the clock.
            log: where ejections are written.
            settings: zone and regions, and how long connections stay idle.
            random: draws the two servers of a choice.
        """
        self.scheduler = scheduler
        self.random = random
        self.log = log
        self.settings = settings
        self.zone = settings.zone
        self.server_list: ServerList | None = None
        self.by_service: dict[str, list[ServerState]] = {}
        self.trial_at: dict[str, float] = {}

    def update(self, server_list: ServerList) -> None:
        """Follow a server list; idle connections to servers that are gone or leaving close."""
        previous = {
            state.server.identity: state for states in self.by_service.values() for state in states
        }
        self.server_list = server_list
        self.by_service = {}
        for server in server_list.servers:
            state = previous.pop(server.identity, None) or ServerState(server)
            state.server = server
            self.by_service.setdefault(server.service, []).append(state)
            if server.leaving:
                state.close_idle()
        for state in previous.values():
            state.gone = True
            state.close_idle()

    def list_is_valid(self, now: float) -> bool:
        """Return whether the list is believed; without end where edges serve without a lease."""
        return self.server_list is not None and (
            self.settings.serve_lapsed or now < self.server_list.valid_until
        )

    def is_live(self, state: ServerState, service: str, now: float) -> bool:
        """Return whether a request of a service may go to a server at this very moment."""
        return (
            self.list_is_valid(now)
            and not state.gone
            and not state.server.leaving
            and state.server.service == service
        )

    def pick(  # noqa: C901 - once a request over all servers: calls would cost
        self,
        service: str,
        tried: set[Identity],
        verdicts: dict[str, str],
        candidates: Candidates | None,
        edges: int = 1,
        connections: int = 0,
    ) -> ServerState | None:
        """Return the server for the next attempt; None where none may be tried now.

        Args:
            service: the service's name.
            tried: servers that the request was sent to already, taken only where no other is left.
            verdicts: health verdict by zone.
            candidates: gets what was known of each server; None where nobody asks.
            edges: edges of the site, which share a server's slots and connections.
            connections: connections that a server takes, 0 where that is not limited.
        """
        now = self.scheduler.now()
        if not self.list_is_valid(now):
            return None
        states = self.by_service.get(service, ())
        if all(state.failures >= EJECTION_FAILURES or state.server.leaving for state in states):
            return self.pick_trial(states, service, edges, now, candidates)
        spread = self.settings.spread_region
        best: list[ServerState] = []
        best_rank: Rank | None = None
        for state in states:
            # On the way of every request: most servers need no closer look.
            suspect = spread or state.failures >= EJECTION_FAILURES or state.server.leaving
            excluded = suspect and self.why_excluded(state, edges, connections, now)
            if excluded:
                if candidates is not None:
                    candidates.append({"server": state.server.address, "left_out": excluded})
                continue
            if candidates is not None:
                candidates.append(as_candidate(state))
            rank = self.rank(state.server, tried, verdicts)
            if best_rank is None or rank < best_rank:
                best, best_rank = [], rank
            if rank == best_rank:
                best.append(state)
        if not best:
            return None
        picked = self.cheapest(best, now) if spread else self.better_of_two(best, now)
        if picked.ejected:
            self.start_trial(picked)
        return picked

    def why_excluded(self, state: ServerState, edges: int, connections: int, now: float) -> str:
        """Return why a server is no candidate; empty where it is one."""
        if state.server.leaving:
            return EXCLUDED_LEAVING
        if state.failures >= EJECTION_FAILURES and (
            now < state.ejected_until or state.trial_in_flight
        ):
            return EXCLUDED_EJECTED
        if self.settings.spread_region and not self.has_capacity(state, edges, connections, now):
            return EXCLUDED_FULL
        return ""

    def rank(self, server: Server, tried: set[Identity], verdicts: dict[str, str]) -> Rank:
        """Return a server's rank, lowest first: not tried yet, in the own zone, zone healthy.

        Where requests are spread over the region, only zones that are down are ranked behind.
        """
        other_zone = 0 if server.zone == self.zone else 1
        health = 0
        if other_zone:
            health = ZONE_RANK.get(verdicts.get(server.zone, "unknown"), UNKNOWN_ZONE_RANK)
        already_tried = 1 if server.identity in tried else 0
        if self.settings.spread_region:
            return already_tried, 0, 1 if health == ZONE_RANK["down"] else 0
        return already_tried, other_zone, health

    def better_of_two(self, states: list[ServerState], now: float) -> ServerState:
        """Return the better of two servers drawn at random."""
        drawn = self.random.sample(states, min(2, len(states)))
        return drawn[-1] if drawn[0].worse_than(drawn[-1], now) else drawn[0]

    def cheapest(self, states: list[ServerState], now: float) -> ServerState:
        """Return the cheapest of the better ones in the own zone, in the own region, and beyond.

        Another zone costs a factor; another region the way there too, also where its latency is
        not known yet, so that far servers take what near ones can't.
        """
        own_region = self.settings.regions.get(self.zone, self.zone)
        own_zone: list[ServerState] = []
        near: list[ServerState] = []
        far: list[ServerState] = []
        for state in states:
            zone = state.server.zone
            if zone == self.zone:
                own_zone.append(state)
            elif self.settings.regions.get(zone, zone) == own_region:
                near.append(state)
            else:
                far.append(state)
        found: list[tuple[float, ServerState]] = []
        for group, factor, way_seconds in (
            (own_zone, 1.0, 0.0),
            (near, OTHER_ZONE_COST_FACTOR, 0.0),
            (far, OTHER_ZONE_COST_FACTOR, OTHER_REGION_COST_SECONDS),
        ):
            if group:
                better = self.better_of_two(group, now)
                found.append((better.cost(now) * factor + way_seconds, better))
        return min(found, key=lambda pair: pair[0])[1]

    def has_capacity(self, state: ServerState, edges: int, connections: int, now: float) -> bool:
        """Return whether this edge may have one request more in flight at a server.

        Each edge has a part of the server's slots and of its connections; one that just rejected
        a request as full gets none for a moment.
        """
        if now < state.full_until:
            return False
        limit = UNLIMITED
        if state.server.slots:
            limit = max(1, math.ceil(SLOTS_FACTOR * state.server.slots / max(1, edges)))
        if connections:
            limit = min(limit, max(1, connections // max(1, edges)))
        return len(state.sent_at) < limit

    def pick_trial(
        self,
        states: Sequence[ServerState],
        service: str,
        edges: int,
        now: float,
        candidates: Candidates | None,
    ) -> ServerState | None:
        """Return a server to try where all of a service are ejected, which is now and then.

        So seldom that all edges together send a failing service about one request a second.
        """
        ejected = [
            state for state in states if not state.server.leaving and not state.trial_in_flight
        ]
        if not ejected or now < self.trial_at.get(service, 0.0):
            if candidates is not None:
                candidates += [
                    {"server": state.server.address, "left_out": EXCLUDED_EJECTED}
                    for state in ejected
                ]
            return None
        pause = max(EJECTION_MIN_SECONDS, TRIAL_SECONDS_PER_EDGE * edges)
        self.trial_at[service] = now + min(EJECTION_MAX_SECONDS, pause)
        picked = min(ejected, key=lambda state: state.ejected_until)
        self.start_trial(picked)
        return picked

    def start_trial(self, state: ServerState) -> None:
        """Let one request try an ejected server."""
        state.trial_in_flight = True
        self.log.write(SERVER_READMITTED, server=state.server.address)

    def record_rejection(self, state: ServerState, status: int, seconds: float) -> None:
        """Record that a server did not run a request: it is full, or another has its address."""
        state.trial_in_flight = False
        pause = MISDIRECTED_PAUSE_SECONDS if status == MISDIRECTED_REQUEST else seconds
        state.full_until = self.scheduler.now() + pause

    def record_result(self, state: ServerState, succeeded: bool, seconds: float) -> None:
        """Record the result of one attempt, which took some seconds."""
        now = self.scheduler.now()
        state.trial_in_flight = False
        state.used_at = now
        if succeeded:
            if state.ejected:
                self.readmit_others(state.server.service, now)
            state.record_success(seconds)
            return
        state.record_failure(seconds, now)
        if state.ejected:
            self.log.write(
                SERVER_EJECTED,
                server=state.server.address,
                seconds=state.ejection_seconds,
                service=state.server.service,
            )

    def readmit_others(self, service: str, now: float) -> None:
        """End the ejections of a service: what failed all its servers may be over."""
        for state in self.by_service.get(service, ()):
            state.ejected_until = min(state.ejected_until, now)

    def take_idle_connection(self, state: ServerState) -> IdleConnection | None:
        """Return an idle connection that may be reused, or None."""
        return take_idle(state.idle_connections, self.scheduler.now())

    def keep_idle_connection(
        self, state: ServerState, connection: Connection, reader: Reader, idle: float | None = None
    ) -> None:
        """Keep a connection for reuse, or close it.

        Args:
            state: the server.
            connection: a connection whose last answer was read to its end.
            reader: the connection's reader.
            idle: seconds for which the server keeps it, None where it does not say. It is reused
                for half of them, since a request may cross the server's close on its way.
        """
        if (
            state.gone
            or state.server.leaving
            or not is_clean(connection, reader)
            or len(state.idle_connections) >= IDLE_CONNECTIONS_MAX
        ):
            connection.close()
            return
        idle_seconds = self.settings.link_idle_seconds
        if idle is not None:
            idle_seconds = min(idle_seconds, IDLE_TIME_PART * idle)
        until = self.scheduler.now() + idle_seconds
        state.idle_connections.append(IdleConnection(connection, reader, until))


def as_candidate(state: ServerState) -> dict[str, object]:
    """Return what explain answers of a server that may be picked."""
    return {
        "server": state.server.address,
        "zone": state.server.zone,
        "flight": len(state.sent_at),
        "latency_ms": round(state.latency * 1000, 1),
    }
