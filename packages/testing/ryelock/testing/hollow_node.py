"""One hollow node: a real session without the edge behind it.

A hollow node is an edge's `Member`, `Register` and `Lines` without the edge: it renews its lease,
follows log entries and snapshots, says a demand, holds its shares, acknowledges by its vector, and
tells results of probes that it only made up. It takes no requests.
"""

import time
from collections import Counter, deque
from dataclasses import dataclass
from random import Random

from expression import Result

from ryelock.edge.lease_renewal import LeaseRenewal
from ryelock.edge.member import EdgeSession, SessionSettings
from ryelock.edge.session_delegate import SessionDelegate
from ryelock.events import LEASE_EXPIRED, Event, RecordingLog
from ryelock.health import ProbeResult, watch_fingerprint
from ryelock.membership import ServerList, Session
from ryelock.replicated_state import ReplicatedState
from ryelock.rpc import Message, NoResponseError, RpcClients
from ryelock.runtime import Network, Scheduler

REACHED_KEPT = 4000
ROWS_MOST = 200
ROWS_SECONDS = 0.5
DEMAND = 10.0


class Counts:
    """What the nodes of one process sent and took in, for the life of the process."""

    __slots__ = (
        "answers",
        "asks",
        "lapsed",
        "rows",
        "snapshot_bytes",
        "snapshot_seconds",
        "snapshots",
    )

    def __init__(self) -> None:
        """Create counts of nothing."""
        self.asks: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.snapshots = 0
        self.snapshot_bytes = 0
        self.snapshot_seconds = 0.0
        self.lapsed = 0
        self.rows = 0


class CountedLog(RecordingLog):
    """Counts lapsed terms and keeps nothing."""

    __slots__ = ("counts",)

    def __init__(self, node: str, counts: Counts) -> None:
        """Create a log that counts into `counts`."""
        super().__init__(node)
        self.counts = counts

    def write(self, event: Event, **fields: object) -> None:
        """Count the event where it is a lapsed lease."""
        self.counts.lapsed += event is LEASE_EXPIRED


class CountedRpcClients(RpcClients):
    """Wire clients that count what they ask and what is answered, by kind."""

    __slots__ = ("counts",)

    def __init__(
        self, scheduler: Scheduler, network: Network, log: RecordingLog, counts: Counts
    ) -> None:
        """Create clients that count into `counts`."""
        super().__init__(scheduler, network, log)
        self.counts = counts

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Result[Message, NoResponseError]:
        """Ask and count; see RpcClients.call."""
        kind = str(message.get("kind"))
        self.counts.asks[kind] += 1
        found = await super().call(address, message, timeout)
        self.counts.answers[kind] += found.is_ok()
        return found


class CountedRegister(ReplicatedState):
    """A register that counts the images it was restored from."""

    __slots__ = ("counts",)

    def __init__(self, counts: Counts) -> None:
        """Create an empty register that counts into `counts`."""
        super().__init__()
        self.counts = counts

    def restore(self, data: bytes) -> None:
        """Restore a snapshot, counting its bytes and processor seconds."""
        started = time.process_time()
        super().restore(data)
        self.counts.snapshots += 1
        self.counts.snapshot_bytes += len(data)
        self.counts.snapshot_seconds += time.process_time() - started


@dataclass(frozen=True, slots=True)
class HollowHost:
    """What a process gives to each of its hollow nodes.

    Attributes:
        scheduler: clock and timers.
        network: where connections are opened.
        log: counts lapsed leases.
        counts: what all nodes of the process sent and took in.
        address: where the process answers, told as each node's address.
        random: source of identities.
        seeds: wire addresses of the control nodes.
        term_seconds: length of a lease.
        listing_term: how long a listing of servers is believed.
    """

    scheduler: Scheduler
    network: Network
    log: CountedLog
    counts: Counts
    address: str
    random: Random
    seeds: tuple[str, ...]
    term_seconds: float
    listing_term: float


def session_in(host: HollowHost, name: str, zone: str) -> Session:
    """Return the session of a new run of a hollow node."""
    return Session(
        name=name,
        role="edge",
        zone=zone,
        machine=name,
        rpc_address=host.address,
        control_address=host.address,
        request_address=host.address,
        incarnation=f"{host.random.getrandbits(48):012x}",
        probe_secret=f"{host.random.getrandbits(64):016x}",
        probes=True,
    )


class HollowNode(SessionDelegate):
    """One node: its session, and when it reached what."""

    __slots__ = (
        "back",
        "held",
        "known",
        "lines",
        "listed",
        "member",
        "owed",
        "reached",
        "renewal",
        "replicated_state",
        "rows",
        "scheduler",
        "sequence",
        "session",
        "targets",
        "without",
    )

    def __init__(self, host: HollowHost, name: str, zone: str) -> None:
        """Create a node in a process; its member task is not started yet."""
        self.scheduler = host.scheduler
        self.replicated_state = CountedRegister(host.counts)
        self.lines = CountedRpcClients(host.scheduler, host.network, host.log, host.counts)
        self.session = session_in(host, name, zone)
        self.member = EdgeSession(
            host.scheduler,
            self.lines,
            host.log,
            self.replicated_state,
            self.session,
            SessionSettings(host.seeds, host.term_seconds, host.listing_term),
        )
        self.renewal = LeaseRenewal(host.scheduler, self.lines, host.log, self.member, self)
        self.held: dict[str, float] = {}
        self.reached: deque[tuple[int, float]] = deque(maxlen=REACHED_KEPT)
        self.listed = 0.0
        self.without = ""
        self.back = 0.0
        self.known: tuple[object, ...] = ()
        self.targets: list[tuple[str, str, str]] = []
        self.owed = host.random.random()
        self.rows: list[ProbeResult] = []
        self.sequence = host.random.randrange(1000)

    def on_configuration(self) -> None:
        """Note when the register reached its present index."""
        self.reached.append((self.replicated_state.index, self.scheduler.now()))

    def on_server_list(self, server_list: ServerList) -> None:
        """Note when a listing of servers came."""
        self.listed = self.scheduler.now()

    def on_shares(self, shares: dict[str, float], expires_at: float, edges: int) -> None:
        """A term was given: the session stands with whoever leads."""
        self.held = shares
        leader = self.member.leader
        if not self.back and leader and leader != self.without:
            self.back = self.scheduler.now()

    def demand(self) -> dict[str, float]:
        """Return the made-up demand, in requests per second by service."""
        return dict.fromkeys(self.replicated_state.configuration.services, DEMAND)

    def held_shares(self) -> dict[str, float]:
        """Return the shares that the node spends now, by service."""
        return self.held if self.member.serving else {}

    @property
    def known_edges(self) -> int:
        """How many edges the node knows as members."""
        return sum(session.role == "edge" for session in self.member.members.values())

    def reached_at(self, index: int) -> float | None:
        """Return when the register reached an index, None where it has not."""
        return next((at for place, at in self.reached if place >= index), None)

    def find_targets(self) -> None:
        """The other edges of the zone times the watches, anew when either changed."""
        known = (
            self.member.membership.source,
            self.member.membership.version,
            self.replicated_state.version,
        )
        if known != self.known:
            self.known = known
            self.targets = [
                (name, watch_name, watch_fingerprint(watch))
                for name, other in sorted(self.member.members.items())
                for watch_name, watch in self.replicated_state.configuration.watches.items()
                if other.role == "edge"
                and other.zone == self.session.zone
                and name != self.session.name
            ]

    def make_rows(self, cadence: float, seconds: float) -> None:
        """Rows of sound probes, as many as come due in so many seconds, one target in turn."""
        self.find_targets()
        self.owed += len(self.targets) * seconds / cadence
        while self.owed >= 1.0 and self.targets:
            self.owed -= 1.0
            self.sequence += 1
            edge, watch_name, mark = self.targets[self.sequence % len(self.targets)]
            row = ProbeResult(
                self.session.name,
                self.session.machine,
                self.sequence,
                self.session.zone,
                edge,
                watch_name,
                False,
                time.time(),
                mark,
            )
            row.started_at, row.age_seconds, row.ttfb_ms = self.scheduler.now(), 1.0, 12.0
            row.reachable = row.manifest_valid = row.object_fetchable = True
            self.rows.append(row)

    async def tell_rows(self) -> None:
        """Send some rows to the holder of the aggregator's duty."""
        duty = self.replicated_state.singletons.get("aggregator")
        holder = self.member.members.get(duty.owner) if duty is not None else None
        if duty is None or holder is None or not self.rows:
            return
        now = self.scheduler.now()
        rows, self.rows = self.rows[:ROWS_MOST], self.rows[ROWS_MOST:]
        await self.lines.call(
            holder.rpc_address,
            {
                "kind": "rows",
                "epoch": duty.fencing_token,
                "holder": duty.owner,
                "rows": [row.to_wire(now) for row in rows],
            },
            2.0,
        )

    def end(self) -> None:
        """End the node at once and drop its connections."""
        self.renewal.stop()
        for line in self.lines.clients.values():
            line.abort()
