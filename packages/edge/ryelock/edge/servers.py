"""Load balancing over upstream servers: outlier ejection, latency, and idle connections.

Load, latency and ejections are local to this edge. An idle connection belongs to one
(service, address, incarnation). A server that fails several times in a row is ejected for an
exponentially growing time; afterwards a single trial request decides whether it is readmitted.
Once an ejected server answers, the other ejected servers of its service may be tried as well.

Of two servers drawn at random ("power of two choices") the one with fewer requests in flight is
picked, unless the other is much faster. The latency estimate of a server decays while the server
is unused, so a slow server is eventually tried again.
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
"""Consecutive failures after which a server is ejected."""
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 10.0
TRIAL_INTERVAL_SECONDS_PER_EDGE = 0.8
"""Interval between trials of a service whose servers are all ejected, times the number of edges."""
MAX_IDLE_CONNECTIONS = 32
IDLE_REUSE_FRACTION = 0.5
"""Fraction of the server's own idle timeout during which a connection is reused."""
LATENCY_HALF_LIFE_SECONDS = 5.0
LATENCY_SAMPLE_WEIGHT = 0.2
LATENCY_FLOOR_SECONDS = 0.002
"""Added to every latency, so that requests in flight count where no latency is known."""
MAX_COST_RATIO = 3.0
"""Ratio of costs above which the cheaper server is picked regardless of requests in flight."""
OTHER_ZONE_COST_FACTOR = 2.0
OTHER_REGION_COST_SECONDS = 0.25
WARMING_UP_COST_FACTOR = 2.0
IN_FLIGHT_PER_SLOT = 3
"""Limit on the requests in flight from all edges together, per slot of a server."""
UNLIMITED = 1 << 30
MISDIRECTED_REQUEST = 421
MISDIRECTED_PAUSE_SECONDS = 1.0
ZONE_STATUS_RANKS = {"healthy": 0, "unknown": 1, "stale": 1, "down": 2}
UNKNOWN_STATUS_RANK = 1
EXCLUDED_LEAVING = "leaving"
EXCLUDED_EJECTED = "set aside"
EXCLUDED_FULL = "full"
"""Why a server is not a candidate, in the `left_out` field of explain's answer."""

Identity = tuple[str, str, str]
Rank = tuple[int, int, int]
Candidates = list[dict[str, object]]
"""Entries of explain's answer, one for each server considered."""


class ServerState:
    """Load and health of one incarnation of an upstream server, as observed by this edge.

    Attributes:
        server: its entry in the server list.
        sent_at: monotonic times at which the requests in flight were sent, oldest first.
        failures: consecutive failures.
        ejection_seconds: duration of the last ejection, 0.0 after a success.
        ejected_until: monotonic time at which the ejection ends.
        trial_in_flight: True while a trial request to the ejected server is in flight.
        latency: moving average of seconds to a response head, 0.0 before the first sample.
        used_at: monotonic time of the last result.
        gone: True once the server list no longer has it.
        full_until: monotonic time until which it gets no requests, after it rejected one.
        idle_connections: connections that may be reused, the last used one at the end.
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
        """Create the state of a server that has not been used yet."""
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
        """Number of requests sent and not yet answered."""
        return len(self.sent_at)

    @property
    def ejected(self) -> bool:
        """True after too many consecutive failures, until a trial request succeeds."""
        return self.failures >= EJECTION_FAILURES

    def cost(self, now: float) -> float:
        """Return the expected seconds that one more request would take.

        Based on the decayed latency or, where that is longer, the wait of the oldest request in
        flight.
        """
        latency = self.latency * math.pow(
            0.5, max(0.0, now - self.used_at) / LATENCY_HALF_LIFE_SECONDS
        )
        if self.sent_at:
            latency = max(latency, now - self.sent_at[0])
        factor = WARMING_UP_COST_FACTOR if self.server.cold else 1.0
        return (self.in_flight + 1) * (latency + LATENCY_FLOOR_SECONDS) * factor

    def is_worse_than(self, other: "ServerState", now: float) -> bool:
        """Return True if the other server should be picked instead."""
        own_cost, other_cost = self.cost(now), other.cost(now)
        if max(own_cost, other_cost) > MAX_COST_RATIO * min(own_cost, other_cost):
            return own_cost > other_cost
        return self.in_flight > other.in_flight

    def record_success(self, seconds: float) -> None:
        """Reset the failures and the ejection, and add a sample to the latency average."""
        self.failures = 0
        self.ejection_seconds = 0.0
        if not self.latency:
            self.latency = seconds
            return
        weight = LATENCY_SAMPLE_WEIGHT
        self.latency = self.latency * (1 - weight) + seconds * weight

    def record_failure(self, seconds: float, now: float) -> None:
        """Count a failure; from EJECTION_FAILURES on, eject for twice the previous duration."""
        self.failures += 1
        self.latency = max(self.latency, seconds)
        if self.ejected:
            doubled = max(MIN_EJECTION_SECONDS, self.ejection_seconds * 2)
            self.ejection_seconds = min(MAX_EJECTION_SECONDS, doubled)
            self.ejected_until = now + self.ejection_seconds

    def close_idle(self) -> None:
        """Close and drop all idle connections."""
        for connection, _, _ in self.idle_connections:
            connection.close()
        self.idle_connections = []


class Servers:
    """State of the upstream servers of all services, and the load balancer over them."""

    __slots__ = (
        "by_service",
        "log",
        "next_trial_at",
        "random",
        "scheduler",
        "server_list",
        "settings",
        "zone",
    )

    def __init__(self, scheduler: Scheduler, log: Log, settings: Settings, random: Random) -> None:
        """Create a balancer without servers.

        Args:
            scheduler: the clock.
            log: event log for ejections and readmissions.
            settings: zone, regions, and the idle timeout of connections.
            random: draws the two servers to choose from.
        """
        self.scheduler = scheduler
        self.random = random
        self.log = log
        self.settings = settings
        self.zone = settings.zone
        self.server_list: ServerList | None = None
        self.by_service: dict[str, list[ServerState]] = {}
        self.next_trial_at: dict[str, float] = {}

    def update(self, server_list: ServerList) -> None:
        """Apply a server list; close idle connections to servers that are removed or leaving."""
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
        """Return True if the list has not expired; with `serve_lapsed`, a list never expires."""
        return self.server_list is not None and (
            self.settings.serve_lapsed or now < self.server_list.valid_until
        )

    def is_live(self, state: ServerState, service: str, now: float) -> bool:
        """Return True if a request of a service may be sent to a server now."""
        return (
            self.list_is_valid(now)
            and not state.gone
            and not state.server.leaving
            and state.server.service == service
        )

    def pick(  # noqa: C901 - hot path: runs over all servers on each request
        self,
        service: str,
        tried: set[Identity],
        zone_statuses: dict[str, str],
        candidates: Candidates | None,
        edges: int = 1,
        connections: int = 0,
    ) -> ServerState | None:
        """Return the server for the next attempt; None where none is available.

        Args:
            service: name of the service.
            tried: servers that the request was sent to already, picked only as a last resort.
            zone_statuses: health status by zone.
            candidates: list to which explain's entries are appended; None if not wanted.
            edges: number of edges, which share a server's slots and connections.
            connections: connections that a server accepts, 0 if unlimited.
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
            # Hot path: skips the call for servers that cannot be excluded.
            may_be_excluded = spread or state.failures >= EJECTION_FAILURES or state.server.leaving
            reason = may_be_excluded and self.exclusion_reason(state, edges, connections, now)
            if reason:
                if candidates is not None:
                    candidates.append({"server": state.server.address, "left_out": reason})
                continue
            if candidates is not None:
                candidates.append(candidate_entry(state))
            rank = self.rank(state.server, tried, zone_statuses)
            if best_rank is None or rank < best_rank:
                best, best_rank = [], rank
            if rank == best_rank:
                best.append(state)
        if not best:
            return None
        picked = self.pick_across_region(best, now) if spread else self.pick_of_two(best, now)
        if picked.ejected:
            self.start_trial(picked)
        return picked

    def exclusion_reason(self, state: ServerState, edges: int, connections: int, now: float) -> str:
        """Return why a server may not be picked; empty if it may."""
        if state.server.leaving:
            return EXCLUDED_LEAVING
        if state.failures >= EJECTION_FAILURES and (
            now < state.ejected_until or state.trial_in_flight
        ):
            return EXCLUDED_EJECTED
        if self.settings.spread_region and not self.has_capacity(state, edges, connections, now):
            return EXCLUDED_FULL
        return ""

    def rank(self, server: Server, tried: set[Identity], zone_statuses: dict[str, str]) -> Rank:
        """Return a server's rank, best first: not tried yet, in this edge's zone, zone healthy.

        With `spread_region`, only servers in zones that are down rank behind the others.
        """
        other_zone = 0 if server.zone == self.zone else 1
        health = 0
        if other_zone:
            health = ZONE_STATUS_RANKS.get(
                zone_statuses.get(server.zone, "unknown"), UNKNOWN_STATUS_RANK
            )
        already_tried = 1 if server.identity in tried else 0
        if self.settings.spread_region:
            return already_tried, 0, 1 if health == ZONE_STATUS_RANKS["down"] else 0
        return already_tried, other_zone, health

    def pick_of_two(self, states: list[ServerState], now: float) -> ServerState:
        """Return the better of two servers drawn at random."""
        drawn = self.random.sample(states, min(2, len(states)))
        return drawn[-1] if drawn[0].is_worse_than(drawn[-1], now) else drawn[0]

    def pick_across_region(self, states: list[ServerState], now: float) -> ServerState:
        """Return the cheapest of three picks: in this zone, in this region, in other regions.

        Other zones cost a factor more. Other regions also cost a fixed number of seconds, even
        before their latency is known, so they only get the load that near servers cannot take.
        """
        own_region = self.settings.regions.get(self.zone, self.zone)
        own_zone: list[ServerState] = []
        other_zones: list[ServerState] = []
        other_regions: list[ServerState] = []
        for state in states:
            zone = state.server.zone
            if zone == self.zone:
                own_zone.append(state)
            elif self.settings.regions.get(zone, zone) == own_region:
                other_zones.append(state)
            else:
                other_regions.append(state)
        picks: list[tuple[float, ServerState]] = []
        for group, factor, distance_seconds in (
            (own_zone, 1.0, 0.0),
            (other_zones, OTHER_ZONE_COST_FACTOR, 0.0),
            (other_regions, OTHER_ZONE_COST_FACTOR, OTHER_REGION_COST_SECONDS),
        ):
            if group:
                picked = self.pick_of_two(group, now)
                picks.append((picked.cost(now) * factor + distance_seconds, picked))
        return min(picks, key=lambda pair: pair[0])[1]

    def has_capacity(self, state: ServerState, edges: int, connections: int, now: float) -> bool:
        """Return True if this edge may have one more request in flight at a server.

        The server's slots and connections are divided evenly among the edges. A server that just
        rejected a request gets none for a short while.
        """
        if now < state.full_until:
            return False
        limit = UNLIMITED
        if state.server.slots:
            limit = max(1, math.ceil(IN_FLIGHT_PER_SLOT * state.server.slots / max(1, edges)))
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
        """Return a server for a trial where all servers of a service are ejected, if one is due.

        The interval grows with the number of edges, so that all edges together send a failing
        service about one request per second.
        """
        ejected = [
            state for state in states if not state.server.leaving and not state.trial_in_flight
        ]
        if not ejected or now < self.next_trial_at.get(service, 0.0):
            if candidates is not None:
                candidates += [
                    {"server": state.server.address, "left_out": EXCLUDED_EJECTED}
                    for state in ejected
                ]
            return None
        interval = max(MIN_EJECTION_SECONDS, TRIAL_INTERVAL_SECONDS_PER_EDGE * edges)
        self.next_trial_at[service] = now + min(MAX_EJECTION_SECONDS, interval)
        picked = min(ejected, key=lambda state: state.ejected_until)
        self.start_trial(picked)
        return picked

    def start_trial(self, state: ServerState) -> None:
        """Mark a trial request to an ejected server as in flight."""
        state.trial_in_flight = True
        self.log.write(SERVER_READMITTED, server=state.server.address)

    def record_rejection(self, state: ServerState, status: int, seconds: float) -> None:
        """Record that a server rejected a request unprocessed, and pause sending to it.

        A server that is full pauses for `seconds`. Status 421 (Misdirected Request) means that
        another server has taken over the address.
        """
        state.trial_in_flight = False
        pause = MISDIRECTED_PAUSE_SECONDS if status == MISDIRECTED_REQUEST else seconds
        state.full_until = self.scheduler.now() + pause

    def record_result(self, state: ServerState, succeeded: bool, seconds: float) -> None:
        """Record the result of one attempt, which took `seconds`."""
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
        """End the ejections of a service's servers: a common cause of failure may be over."""
        for state in self.by_service.get(service, ()):
            state.ejected_until = min(state.ejected_until, now)

    def take_idle_connection(self, state: ServerState) -> IdleConnection | None:
        """Return an idle connection for reuse, or None."""
        return take_idle(state.idle_connections, self.scheduler.now())

    def keep_idle_connection(
        self, state: ServerState, connection: Connection, reader: Reader, idle: float | None = None
    ) -> None:
        """Keep a connection for reuse, or close it.

        Args:
            state: the server.
            connection: a connection whose last response was read to its end.
            reader: reader of the connection.
            idle: the server's idle timeout in seconds, None if not announced. Only a fraction of
                it is used, since a request could race with the server closing the connection.
        """
        if (
            state.gone
            or state.server.leaving
            or not is_clean(connection, reader)
            or len(state.idle_connections) >= MAX_IDLE_CONNECTIONS
        ):
            connection.close()
            return
        idle_seconds = self.settings.link_idle_seconds
        if idle is not None:
            idle_seconds = min(idle_seconds, IDLE_REUSE_FRACTION * idle)
        until = self.scheduler.now() + idle_seconds
        state.idle_connections.append(IdleConnection(connection, reader, until))


def candidate_entry(state: ServerState) -> dict[str, object]:
    """Return explain's entry for a server that may be picked."""
    return {
        "server": state.server.address,
        "zone": state.server.zone,
        "flight": len(state.sent_at),
        "latency_ms": round(state.latency * 1000, 1),
    }
