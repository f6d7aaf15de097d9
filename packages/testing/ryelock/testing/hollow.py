"""Hollow nodes: many to a process, each with a real session over connections of its own.

The process answers the runner's messages: what its nodes (hollow_node.py) have reached and when
(the machine's monotonic clock, which all processes share), and how many messages they sent.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random

import cbor2
from dacite import Config, from_dict

from ryelock.rpc import Message, Reply, RpcServer
from ryelock.runtime import Network, Scheduler
from ryelock.runtime.reactor import Reactor
from ryelock.testing.hollow_node import DEMAND, CountedLog, Counts, HollowHost, HollowNode
from ryelock.testing.processes.reactors import run_to_end

ROWS_SECONDS = 0.5


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


class HollowProcess:
    """Some hollow nodes on one scheduler, and the address where the runner asks about them."""

    __slots__ = ("cadence", "counts", "dropped", "host", "listener", "nodes", "places", "scheduler")

    def __init__(self, settings: HollowSettings, scheduler: Scheduler, network: Network) -> None:
        """Create the process and listen for the runner; no node is started."""
        self.scheduler = scheduler
        self.counts = Counts()
        log = CountedLog("hollow", self.counts)
        self.listener = RpcServer(scheduler, network, log, settings.wire_address, self.on_ask)
        self.host = HollowHost(
            scheduler,
            network,
            log,
            self.counts,
            self.listener.address,
            Random(),
            tuple(settings.seeds),
            settings.term_seconds,
            settings.listing_term,
        )
        self.cadence = settings.probe_seconds
        self.places = settings.nodes
        self.nodes: list[HollowNode] = []
        self.dropped: list[tuple[str, str]] = []

    def on_ask(self, message: Message, reply: Reply) -> None:
        """Answer one message of the runner; its `kind` says what is asked."""
        match message:
            case {"kind": "hollow.restart", "count": int(count)}:
                self.scheduler.create_task(self.restart(count, reply), name="restart")
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
            self.nodes.append(HollowNode(self.host, name, zone))
            self.nodes[-1].renewal.start()
        self.dropped = []

    def start(self, pause: float) -> None:
        """All nodes, one after another with a pause of seconds between them."""
        if not self.nodes:
            self.nodes = [HollowNode(self.host, name, zone) for name, zone in self.places]
            self.scheduler.create_task(self.start_each(list(self.nodes), pause), name="starts")
            self.scheduler.create_task(self.tend(), name="tends")
            if self.cadence:
                self.scheduler.create_task(self.probe(), name="rows")

    async def start_each(self, nodes: list[HollowNode], pause: float) -> None:
        """Start the nodes one after another, a pause of seconds apart."""
        due = self.scheduler.now()
        for node in nodes:
            node.renewal.start()
            due += pause
            await self.scheduler.sleep(max(0.0, due - self.scheduler.now()))

    def drop(self, zone: str) -> int:
        """A zone's nodes end at once, with no goodbye."""
        lost = [node for node in self.nodes if node.session.zone == zone]
        self.nodes = [node for node in self.nodes if node.session.zone != zone]
        self.dropped = [(node.session.name, zone) for node in lost]
        for node in lost:
            node.end()
        return len(lost)

    async def restart(self, count: int, reply: Reply) -> None:
        """Planned restarts: so many nodes say goodbye and come back as new incarnations."""
        for place in range(min(count, len(self.nodes))):
            before = self.nodes[place]
            await before.renewal.leave()
            before.end()
            fresh = HollowNode(self.host, before.session.name, before.session.zone)
            self.nodes[place] = fresh
            fresh.renewal.start()
        reply({})

    async def tend(self) -> None:
        """Keep the sessions' counts as those of a node under load."""
        while True:
            for node in self.nodes:
                node.session.served += int(DEMAND / 10)
                node.session.applied = node.replicated_state.index
                node.session.ready = node.member.serving
            await self.scheduler.sleep(0.1)

    async def probe(self) -> None:
        """What the nodes' probers would tell, had they fetched."""
        while True:
            await self.scheduler.sleep(ROWS_SECONDS)
            for node in self.nodes:
                before = len(node.rows)
                node.make_rows(self.cadence, ROWS_SECONDS)
                self.counts.rows += len(node.rows) - before
                if node.rows:
                    self.scheduler.create_task(node.tell_rows(), name="tells rows")

    def state(self) -> Message:
        """Return all counts as a message."""
        counts, first = self.counts, self.nodes[0] if self.nodes else None
        return {
            "nodes": len(self.nodes),
            "serving": sum(node.member.serving for node in self.nodes),
            "led": sum(bool(node.member.leader) for node in self.nodes),
            "asks": dict(counts.asks),
            "answers": dict(counts.answers),
            "images": counts.snapshots,
            "image_bytes": counts.snapshot_bytes,
            "image_seconds": counts.snapshot_seconds,
            "lapsed": counts.lapsed,
            "rows": counts.rows,
            "members": len(first.member.members) if first else 0,
            "members_bytes": len(
                cbor2.dumps([session.to_wire() for session in first.member.members.values()])
            )
            if first
            else 0,
            "verdict_bytes": len(cbor2.dumps(first.replicated_state.verdict)) if first else 0,
        }


def main() -> None:
    """Run the hollow nodes that a settings file describes, until a signal comes."""
    settings = read_settings(Path(sys.argv[1]))

    async def work(reactor: Reactor) -> None:
        process = HollowProcess(settings, reactor.scheduler, reactor)
        sys.stderr.write(f"hollow nodes wait at {process.listener.address}\n")
        await reactor.signals.get()

    faults = run_to_end(work).faults
    sys.stderr.writelines(f"{fault}\n" for fault in faults)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
