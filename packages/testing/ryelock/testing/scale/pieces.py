"""Pieces of a control node's work at any size, one by one, in this process.

A whole scale run stops where one machine or one leader is at its end. The pieces of which the
leader's and the aggregator's work is made can be run at the target's size itself: a real
`ControlNode` that never starts gets so many sessions in its roster, and each piece is called
and its processor time taken. Nothing crosses a socket here.
"""

import tempfile
import time
from collections.abc import Callable
from random import Random

import cbor2

from ryelock.cache.store import CacheStore, Variants
from ryelock.control_plane.edge_leases import Lease
from ryelock.control_plane.identity import open_disk
from ryelock.control_plane.process import ControlNode
from ryelock.events import RecordingLog
from ryelock.journal import LocalFolder
from ryelock.membership import Membership, Server, Session
from ryelock.rate_limit import OutstandingShares
from ryelock.replicated_state import Purge, PurgeKind, ReplicatedState, encode_command
from ryelock.runtime.reactor import Reactor
from ryelock.settings import read_settings
from ryelock.testing.scale import Figures, Size, measure_judging, zone_name

REPEATS = 5
SERVICES = 2
SERVICE_NAMES = [f"service-{number}" for number in range(SERVICES)]
LOOKS = 50
SHARE_SECONDS = 600.0
TERM_SECONDS = 60.0


def session_of_node(number: int, zones: int) -> Session:
    """Return a made-up edge's session."""
    name, address = f"edge-{number:04d}", "127.0.8.1:40000"
    return Session(
        name=name,
        role="edge",
        zone=zone_name(number, zones),
        machine=name,
        rpc_address=address,
        control_address=address,
        request_address=address,
        incarnation=f"{number:012x}",
        probe_secret=f"{number:016x}",
        probes=True,
        ready=True,
    )


def seconds_of(act: Callable[[], object], repeats: int = REPEATS) -> float:
    """Least processor seconds of one call."""
    found: list[float] = []
    for _ in range(repeats):
        started = time.process_time()
        act()
        found.append(time.process_time() - started)
    return min(found)


def control_node(folder: str) -> ControlNode:
    """Return a control node on a data folder, not started."""
    log = RecordingLog("pieces")

    def fault(task: str, error: BaseException) -> None:
        raise error

    reactor = Reactor(fault)
    settings = read_settings(
        "core",
        "",
        {
            "name": "core-0",
            "zone": "zone-00",
            "wire_address": "127.0.0.1:0",
            "control_address": "127.0.0.1:0",
            "data_folder": folder,
            "seeds": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"],
        },
    )
    random = Random(1)
    disk, journal = open_disk(LocalFolder(folder), log, settings.segment_bytes, random).ok
    return ControlNode(settings, reactor.scheduler, reactor, log, random, disk, journal)


def configured(routes: int) -> ReplicatedState:
    """A register whose configuration has so many routes, by its own first word."""
    shape = Size(1, 1, 0, routes).shape()
    replicated_state = ReplicatedState()
    replicated_state.apply(
        1,
        encode_command(
            "change", id="first", change={"id": "first", "base": 0, "put": shape.configuration}
        ),
    )
    return replicated_state


def measure_sessions(nodes: int, zones: int) -> Figures:
    """Measure what the leader does over all sessions, and what it tells others of them."""
    with tempfile.TemporaryDirectory(prefix="ryelock-") as folder:
        node = control_node(folder)
        node.replicated_state.restore(configured(4).edge_snapshot())
        for number in range(nodes):
            node.membership.renew(session_of_node(number, zones))
        found = {**measure_renewals(node), **measure_membership(node)}
        node.listener.close()
        return found


def measure_renewals(node: ControlNode) -> Figures:
    """Measure the pieces of a renewal, with a share and a lease given to every session."""
    renewals, now = node.renewals, node.scheduler.now()
    sessions = list(node.membership.sessions.values())
    renewals.membership_changes.refresh()
    look = seconds_of(lambda: [renewals.membership_changes.refresh() for _ in range(LOOKS)]) / LOOKS
    give_shares(node, sessions)
    rates = dict.fromkeys(SERVICE_NAMES, 1.0)
    shares = seconds_of(
        lambda: renewals.quota.allocate(sessions[0].name, renewals.edges(), rates, {}, now)
    )
    for session in sessions:
        renewals.leases.table.grant((session.name, "run"), Lease(1, now + TERM_SECONDS), now)
    behind = seconds_of(lambda: renewals.leases.table.lagging_edges(2, now))
    return {
        "leader: µs of one look for news of members": 1e6 * look,
        "leader: µs of one edge's shares, 2 services": 1e6 * shares,
        "leader: ms to see whose terms a word waits for": 1e3 * behind,
    }


def give_shares(node: ControlNode, sessions: list[Session]) -> None:
    """Let every session demand and hold a share of each service."""
    divider, ends = node.renewals.quota.allocator, node.scheduler.now() + SHARE_SECONDS
    for session in sessions:
        divider.report_demand(session.name, dict.fromkeys(SERVICE_NAMES, 10.0))
        for service in SERVICE_NAMES:
            held = OutstandingShares()
            held.add(1.0, ends)
            divider.outstanding.setdefault(service, {})[session.name] = held


def measure_membership(node: ControlNode) -> Figures:
    """Measure what is written and read of sessions between control nodes and to one node."""
    membership = node.membership
    said = cbor2.dumps(membership.to_wire())
    say = seconds_of(lambda: cbor2.dumps(membership.to_wire()))
    other = Membership(node.scheduler, "core-1/1", 3.0, 600.0)
    hear = seconds_of(lambda: other.merge(cbor2.loads(said)))
    told = cbor2.dumps(members_told(membership))
    tell = seconds_of(lambda: cbor2.dumps(members_told(membership)))
    take = seconds_of(lambda: [Session.from_wire(plain) for plain in cbor2.loads(told)])
    return {
        "leader: KB of sessions to a follower, each beat": len(said) / 1e3,
        "leader: ms to write them": 1e3 * say,
        "follower: ms to read them": 1e3 * hear,
        "leader: KB of members to one node": len(told) / 1e3,
        "leader: ms to write them for one node": 1e3 * tell,
        "node: ms to read them": 1e3 * take,
    }


def members_told(membership: Membership) -> list[dict[str, object]]:
    """Return all members as a renewal tells them."""
    return [session.to_wire() for session in membership.members().values()]


def measure_configuration(servers: int, routes: int) -> Figures:
    """What a node is told at its start: the image, and the listing of servers."""
    replicated_state = configured(routes)
    snapshot = replicated_state.edge_snapshot()
    fresh = ReplicatedState()
    listed = [
        Server(
            f"service-{number % SERVICES}",
            f"127.0.9.2:{10_000 + number}",
            zone_name(number, 4),
            "1",
            False,
        ).to_wire()
        for number in range(servers)
    ]
    return {
        "KB of image": len(snapshot) / 1e3,
        "ms to write the image": 1e3 * seconds_of(replicated_state.edge_snapshot),
        "ms to restore the image": 1e3 * seconds_of(lambda: fresh.restore(snapshot)),
        "KB of listing to one node": len(cbor2.dumps(listed)) / 1e3,
        "ms to write the listing": 1e3 * seconds_of(lambda: cbor2.dumps(listed)),
    }


def measure_purge(copies: int) -> Figures:
    """One purge of one path at an edge that holds so many copies, none of which it meets."""
    store = CacheStore(1)
    for number in range(copies):
        store.variants["route-0", "", f"/route-0/{number}"] = Variants()

    def purge() -> None:
        number = store.last_purge + 1
        store.apply_purges([Purge(number, PurgeKind.PATH, "", "/elsewhere")], number)

    return {f"edge: ms of a purge at {copies} copies": 1e3 * seconds_of(purge)}


def measure_pieces(
    nodes: int, zones: int, servers: int, routes: int, copies: int, judged: bool
) -> Figures:
    """All pieces at one size; judging fills a whole history and takes its time."""
    found = {
        **measure_sessions(nodes, zones),
        **measure_configuration(servers, routes),
        **measure_purge(copies),
    }
    if judged:
        found.update(measure_judging(nodes, zones))
    return found
