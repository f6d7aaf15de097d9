"""Hollow nodes: many to a process, each with a real session over links of its own.

A hollow node is an edge's `Member`, `Register` and `Lines` without the edge: it renews, follows
words and images, says a demand, holds its shares, acknowledges by its vector, and tells rows of
probes that it only made up. It takes no orders. The process answers the runner's asks over the
wire: what its nodes have reached and when (the machine's monotonic clock, which all processes
share), and how many asks they sent.
"""

import json
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass
from pathlib import Path
from random import Random

import cbor2
from dacite import Config, from_dict
from expression import Result

from ryelock.edge.member import Member
from ryelock.events import TERM_LAPSED, Event, QuietLog
from ryelock.loop import Network, Scheduler, Step
from ryelock.loop.reactor import Reactor
from ryelock.proving.reactors import run_to_end
from ryelock.register import Register
from ryelock.roster import Listing, Session
from ryelock.watch import Row
from ryelock.watch.probe import watch_mark
from ryelock.wire import Door, Lines, Message, Reply, WireError

REACHED_KEPT = 4000
ROWS_MOST = 200
ROWS_SECONDS = 0.5
DEMAND = 10.0


@dataclass(frozen=True, slots=True)
class HollowSettings:
    """What the runner tells a process of hollow nodes, as JSON.

    Attributes:
        wire_address: where the process answers the runner.
        seeds: wire addresses of the control nodes.
        nodes: name and zone of each node.
        term_seconds: length of a lease.
        listing_term: how long a listing of servers is believed.
        probe_seconds: cadence of the made-up probes, 0 for none.
    """

    wire_address: str
    seeds: list[str]
    nodes: list[tuple[str, str]]
    term_seconds: float
    listing_term: float
    probe_seconds: float


def read_settings(file: Path) -> HollowSettings:
    """Read a settings file; raises DaciteError where it is none."""
    return from_dict(HollowSettings, json.loads(file.read_text()), Config(cast=[tuple]))


class Counts:
    """What the nodes of one process sent and took in, for the life of the process."""

    __slots__ = ("answers", "asks", "image_bytes", "image_seconds", "images", "lapsed", "rows")

    def __init__(self) -> None:
        """Create counts of nothing."""
        self.asks: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.images = 0
        self.image_bytes = 0
        self.image_seconds = 0.0
        self.lapsed = 0
        self.rows = 0


class CountedLog(QuietLog):
    """Counts lapsed terms and keeps nothing."""

    __slots__ = ("counts",)

    def __init__(self, node: str, counts: Counts) -> None:
        """Create a log that counts into `counts`."""
        super().__init__(node)
        self.counts = counts

    def write(self, event: Event, **fields: object) -> None:
        """Count the event where it is a lapsed lease."""
        self.counts.lapsed += event is TERM_LAPSED


class CountedLines(Lines):
    """Wire clients that count what they ask and what is answered, by kind."""

    __slots__ = ("counts",)

    def __init__(
        self, scheduler: Scheduler, network: Network, log: QuietLog, counts: Counts
    ) -> None:
        """Create clients that count into `counts`."""
        super().__init__(scheduler, network, log)
        self.counts = counts

    def ask(
        self, address: str, message: Message, seconds: float
    ) -> Step[Result[Message, WireError]]:
        """Ask and count; see Lines.ask."""
        kind = str(message.get("kind"))
        self.counts.asks[kind] += 1
        found = yield from super().ask(address, message, seconds)
        self.counts.answers[kind] += found.is_ok()
        return found


class CountedRegister(Register):
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
        self.counts.images += 1
        self.counts.image_bytes += len(data)
        self.counts.image_seconds += time.process_time() - started


class HollowNode:
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
        "register",
        "rows",
        "scheduler",
        "sequence",
        "session",
        "targets",
        "without",
    )

    def __init__(self, process: "HollowProcess", name: str, zone: str) -> None:
        """Create a node of a process; its member task is not started yet."""
        self.scheduler = process.scheduler
        self.register = CountedRegister(process.counts)
        self.lines = CountedLines(process.scheduler, process.network, process.log, process.counts)
        self.session = Session()
        self.session.name = self.session.machine = name
        self.session.role = "edge"
        self.session.zone = zone
        self.session.probes = True
        self.session.wire = self.session.control = self.session.order = process.door.address
        self.session.incarnation = f"{process.random.getrandbits(48):012x}"
        self.session.mark = f"{process.random.getrandbits(64):016x}"
        self.member = Member(
            process.scheduler,
            self.lines,
            process.log,
            self.register,
            self.session,
            process.seeds,
            process.term_seconds,
            process.listing_term,
        )
        self.member.changed = self.on_change
        self.member.shares = self.on_shares
        self.member.listing_news = self.on_listing
        self.member.demand = self.demand
        self.member.holding = self.holding
        self.held: dict[str, float] = {}
        self.reached: deque[tuple[int, float]] = deque(maxlen=REACHED_KEPT)
        self.listed = 0.0
        self.without = ""
        self.back = 0.0
        self.known: tuple[object, ...] = ()
        self.targets: list[tuple[str, str, str]] = []
        self.owed = process.random.random()
        self.rows: list[Row] = []
        self.sequence = process.random.randrange(1000)

    def on_change(self) -> None:
        """Note when the register reached its present index."""
        self.reached.append((self.register.index, self.scheduler.now()))

    def on_listing(self, _: Listing) -> None:
        """Note when a listing of servers came."""
        self.listed = self.scheduler.now()

    def on_shares(self, shares: dict[str, float], until: float, edges: int) -> None:
        """A term was given: the session stands with whoever leads."""
        self.held = shares
        leader = self.member.leader
        if not self.back and leader and leader != self.without:
            self.back = self.scheduler.now()

    def demand(self) -> dict[str, float]:
        """Return the made-up demand, in requests per second by service."""
        return dict.fromkeys(self.register.configuration.services, DEMAND)

    def holding(self) -> dict[str, float]:
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
        known = (*self.member.members_version, self.register.version)
        if known != self.known:
            self.known = known
            self.targets = [
                (name, watch_name, watch_mark(watch))
                for name, other in sorted(self.member.members.items())
                for watch_name, watch in self.register.configuration.watches.items()
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
            row = Row(
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
            row.taken, row.age, row.ttfb = self.scheduler.now(), 1.0, 12.0
            row.reachable = row.manifest_valid = row.object_fetchable = True
            self.rows.append(row)

    def tell_rows(self) -> Step[None]:
        """Send some rows to the holder of the aggregator's duty."""
        duty = self.register.duties.get("aggregator")
        holder = self.member.members.get(duty.holder) if duty is not None else None
        if duty is None or holder is None or not self.rows:
            return
        now = self.scheduler.now()
        rows, self.rows = self.rows[:ROWS_MOST], self.rows[ROWS_MOST:]
        yield from self.lines.ask(
            holder.wire,
            {
                "kind": "rows",
                "epoch": duty.epoch,
                "holder": duty.holder,
                "rows": [row.plain(now) for row in rows],
            },
            2.0,
        )

    def end(self) -> None:
        """End the node at once and drop its connections."""
        self.member.stop()
        for line in self.lines.lines.values():
            line.drop()


class HollowProcess:
    """Some hollow nodes on one scheduler, and the door where the runner asks about them."""

    __slots__ = (
        "cadence",
        "counts",
        "door",
        "dropped",
        "listing_term",
        "log",
        "network",
        "nodes",
        "places",
        "random",
        "scheduler",
        "seeds",
        "term_seconds",
    )

    def __init__(self, settings: HollowSettings, scheduler: Scheduler, network: Network) -> None:
        """Create the process and listen for the runner; no node is started."""
        self.scheduler = scheduler
        self.network = network
        self.random = Random()
        self.counts = Counts()
        self.log = CountedLog("hollow", self.counts)
        self.seeds = tuple(settings.seeds)
        self.term_seconds = settings.term_seconds
        self.listing_term = settings.listing_term
        self.cadence = settings.probe_seconds
        self.door = Door(scheduler, network, self.log, settings.wire_address, self.on_ask)
        self.places = settings.nodes
        self.nodes: list[HollowNode] = []
        self.dropped: list[tuple[str, str]] = []

    def on_ask(self, message: Message, reply: Reply) -> None:
        """Answer one message of the runner; its `kind` says what is asked."""
        match message:
            case {"kind": "hollow.restart", "count": int(count)}:
                self.scheduler.spawn("restart", self.restart(count, reply))
            case {"kind": "hollow.start", "pause": int() | float() as pause}:
                self.start(pause)
                reply({"nodes": len(self.nodes)})
            case {"kind": "hollow.lose", "without": str(without)}:
                self.lose(without)
                reply({})
            case {"kind": "hollow.drop", "zone": str(zone)}:
                reply({"nodes": self.drop(zone)})
            case {"kind": "hollow.return"}:
                self.take_back()
                reply({})
            case _:
                reply(self.answer_of(message))

    def answer_of(self, message: Message) -> Message:
        """Return the answer to a message that changes nothing."""
        match message:
            case {"kind": "hollow.state"}:
                return self.state()
            case {"kind": "hollow.reached", "index": int(index)}:
                found = [node.reached_at(index) for node in self.nodes]
                return {"times": [at for at in found if at is not None]}
            case {"kind": "hollow.listed", "since": float(since)}:
                return {"times": [node.listed for node in self.nodes if node.listed > since]}
            case {"kind": "hollow.back"}:
                return {"times": [node.back for node in self.nodes if node.back]}
            case {"kind": "hollow.knowing", "edges": int(edges)}:
                return {"nodes": sum(node.known_edges == edges for node in self.nodes)}
        return {"fault": "unknown ask"}

    def lose(self, without: str) -> None:
        """Let each node note anew when its session stands; not with the leader at an address."""
        for node in self.nodes:
            node.back, node.without = 0.0, without

    def take_back(self) -> None:
        """Start the nodes anew that were dropped last."""
        for name, zone in self.dropped:
            self.nodes.append(HollowNode(self, name, zone))
            self.nodes[-1].member.start()
        self.dropped = []

    def start(self, pause: float) -> None:
        """All nodes, one after another with a pause of seconds between them."""
        if not self.nodes:
            self.nodes = [HollowNode(self, name, zone) for name, zone in self.places]
            self.scheduler.spawn("starts", self.start_each(list(self.nodes), pause))
            self.scheduler.spawn("tends", self.tend())
            if self.cadence:
                self.scheduler.spawn("rows", self.probe())

    def start_each(self, nodes: list[HollowNode], pause: float) -> Step[None]:
        """Start the nodes one after another, a pause of seconds apart."""
        due = self.scheduler.now()
        for node in nodes:
            node.member.start()
            due += pause
            yield from self.scheduler.pause(max(0.0, due - self.scheduler.now()))

    def drop(self, zone: str) -> int:
        """A zone's nodes end at once, with no goodbye."""
        lost = [node for node in self.nodes if node.session.zone == zone]
        self.nodes = [node for node in self.nodes if node.session.zone != zone]
        self.dropped = [(node.session.name, zone) for node in lost]
        for node in lost:
            node.end()
        return len(lost)

    def restart(self, count: int, reply: Reply) -> Step[None]:
        """Planned restarts: so many nodes say goodbye and come back as new incarnations."""
        for place in range(min(count, len(self.nodes))):
            before = self.nodes[place]
            yield from before.member.say_goodbye()
            before.end()
            fresh = HollowNode(self, before.session.name, before.session.zone)
            self.nodes[place] = fresh
            fresh.member.start()
        reply({})

    def tend(self) -> Step[None]:
        """Keep the sessions' counts as those of a node under load."""
        while True:
            for node in self.nodes:
                node.session.served += int(DEMAND / 10)
                node.session.applied = node.register.index
                node.session.ready = node.member.serving
            yield from self.scheduler.pause(0.1)

    def probe(self) -> Step[None]:
        """What the nodes' probers would tell, had they fetched."""
        while True:
            yield from self.scheduler.pause(ROWS_SECONDS)
            for node in self.nodes:
                before = len(node.rows)
                node.make_rows(self.cadence, ROWS_SECONDS)
                self.counts.rows += len(node.rows) - before
                if node.rows:
                    self.scheduler.spawn("tells rows", node.tell_rows())

    def state(self) -> Message:
        """Return all counts as a message."""
        counts, first = self.counts, self.nodes[0] if self.nodes else None
        return {
            "nodes": len(self.nodes),
            "serving": sum(node.member.serving for node in self.nodes),
            "led": sum(bool(node.member.leader) for node in self.nodes),
            "asks": dict(counts.asks),
            "answers": dict(counts.answers),
            "images": counts.images,
            "image_bytes": counts.image_bytes,
            "image_seconds": counts.image_seconds,
            "lapsed": counts.lapsed,
            "rows": counts.rows,
            "members": len(first.member.members) if first else 0,
            "members_bytes": len(
                cbor2.dumps([session.plain() for session in first.member.members.values()])
            )
            if first
            else 0,
            "verdict_bytes": len(cbor2.dumps(first.register.verdict)) if first else 0,
        }


def main() -> None:
    """Run the hollow nodes that a settings file describes, until a signal comes."""
    settings = read_settings(Path(sys.argv[1]))

    def work(reactor: Reactor) -> Step[None]:
        process = HollowProcess(settings, reactor.scheduler, reactor)
        sys.stderr.write(f"hollow nodes wait at {process.door.address}\n")
        yield from reactor.signals.take()

    faults = run_to_end(work).faults
    sys.stderr.writelines(f"{fault}\n" for fault in faults)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
