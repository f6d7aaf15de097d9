"""Owners of objects, and responses shared between edges under purges, crashes and timeouts."""

from dataclasses import replace
from itertools import pairwise
from typing import Any, ClassVar
from unittest import mock

import testtools
from clocks import SteppedClock, raise_fault

from ryelock.control_plane.membership_changes import MembershipChanges
from ryelock.edge.peers import Peers, owner_of
from ryelock.edge.request import RequestingPeer
from ryelock.edge.routing import Router
from ryelock.edge.session_messages import MembershipUpdate
from ryelock.http import fetch, field
from ryelock.membership import Session
from ryelock.rpc import Message
from ryelock.rpc.codec import Natural
from ryelock.runtime import Scheduler
from ryelock.testing.checks import Findings
from ryelock.testing.scenario import Scenario

HOST = "site"


def owned_by(scenario: Scenario, requesting: str, owner: str) -> str:
    """Return the target of an object owned by `owner`, as `requesting` finds it."""
    handler = scenario.node(requesting).traffic.handler
    assert handler is not None and handler.context.peers is not None
    handler.context.peers.update_members(handler.context.member.members)
    return next(
        f"/covers/{number}"
        for number in range(300)
        if owner_of((HOST, f"/covers/{number}"), handler.context.peers.zone_edge_names) == owner
    )


def sharing_scenario(seed: int, edges: int = 3, **settings: object) -> Scenario:
    scenario = Scenario(
        seed,
        zones=1,
        edges=edges,
        probers=0,
        settings={"share_copies": True, "probe_seconds": 600.0, **settings},
    )
    scenario.set_up()
    scenario.world.run_until(
        lambda: all(
            len(scenario.node(name).traffic.member.members) == edges + 3
            and all(
                session.ready
                for session in scenario.node(name).traffic.member.members.values()
                if session.role == "edge"
            )
            for name in scenario.edges
        ),
        10,
    )
    scenario.world.run(2.0)
    return scenario


def fetch_object(scenario: Scenario, edge: str, target: str) -> tuple[int, bytes]:
    """Return status and cache status of one request at one edge."""
    found = scenario.world.task(
        scenario.outside,
        fetch(
            scenario.outside.scheduler,
            scenario.outside.network,
            f"{scenario.node(edge).host}:3",
            b"GET",
            target.encode(),
            [(b"Host", HOST.encode())],
            b"",
            5.0,
        ),
        20,
    )
    head = found.ok[0]
    return head.status, field(head.fields, b"x-ryelock-cache") or b""


class OwnerTests(testtools.TestCase):
    def test_only_the_objects_of_a_removed_edge_move(self) -> None:
        names = [f"edge{number}" for number in range(6)]
        keys = [("host", f"/object/{number}") for number in range(600)]
        before = {key: owner_of(key, names) for key in keys}
        after = {key: owner_of(key, names[:-1]) for key in keys}
        for key in keys:
            if before[key] != names[-1]:
                self.assertEqual(before[key], after[key])
        for name in names:
            self.assertGreater(sum(owner == name for owner in before.values()), 50)

    def test_order_of_names_does_not_matter(self) -> None:
        names = ["a", "b", "c", "d"]
        for number in range(50):
            key = ("h", str(number))
            self.assertEqual(owner_of(key, names), owner_of(key, names[::-1]))


class SharedCacheTests(testtools.TestCase):
    def arrivals(self, scenario: Scenario, target: str) -> int:
        return sum(ran.target == target for ran in scenario.history)

    def test_one_fetch_serves_all_edges_of_a_zone(self) -> None:
        scenario = sharing_scenario(1)
        for edge in scenario.edges:
            self.assertEqual(200, fetch_object(scenario, edge, "/covers/1")[0])
        self.assertEqual(1, self.arrivals(scenario, "/covers/1"))

    def test_without_sharing_each_edge_fetches(self) -> None:
        scenario = sharing_scenario(1, share_copies=False)
        for edge in scenario.edges:
            fetch_object(scenario, edge, "/covers/1")
        self.assertEqual(len(scenario.edges), self.arrivals(scenario, "/covers/1"))

    def test_an_owner_that_is_down_is_skipped(self) -> None:
        scenario = sharing_scenario(2)
        target = owned_by(scenario, scenario.edges[0], scenario.edges[1])
        scenario.world.kill(scenario.edges[1], True)
        status, cache = fetch_object(scenario, scenario.edges[0], target)
        self.assertEqual((200, b"miss"), (status, cache))

    def test_a_purge_removes_responses_that_came_from_the_owner(self) -> None:
        self.assertEqual([], self.run_with_purges(3).violations)

    def test_responses_of_an_owner_behind_a_purge_are_not_used(self) -> None:
        """Without the number of purges an edge would store again what it has just purged."""
        original = Router.requesting_peer

        def without_purges(router: Router, fields: Any) -> RequestingPeer | None:
            origin = original(router, fields)
            return None if origin is None else replace(origin, purges=0, version=0)

        with mock.patch.object(Router, "requesting_peer", without_purges):
            found = [self.serves_purged_object(seed) for seed in range(3)]
        self.assertTrue(all(found), "an owner that is behind gave a purged response")
        self.assertFalse(any(self.serves_purged_object(seed) for seed in range(3)))

    def serves_purged_object(self, seed: int) -> bool:
        """Return True if an edge with a newer purge got the purged object from the owner."""
        scenario = sharing_scenario(10 + seed, edges=2)
        scenario.world.spikes = 0.0
        handler = scenario.node(scenario.edges[0]).traffic.handler
        assert handler is not None
        target = owned_by(scenario, scenario.edges[0], scenario.edges[1])
        self.assertEqual(200, fetch_object(scenario, scenario.edges[0], target)[0])
        handler.context.store.variants.clear()
        handler.context.store.last_purge += 1
        before = self.arrivals(scenario, target)
        self.assertEqual(200, fetch_object(scenario, scenario.edges[0], target)[0])
        return self.arrivals(scenario, target) == before

    def run_with_purges(self, seed: int) -> Findings:
        scenario = sharing_scenario(seed)
        scenario.start_callers(count=8)
        scenario.operators.scheduler.create_task(scenario.operate(1, 8.0), name="operator")
        scenario.world.run(6.0)
        scenario.world.kill(scenario.edges[1], False)
        scenario.world.run(2.0)
        scenario.start(scenario.edges[1])
        scenario.world.run(5.0)
        scenario.callers_on = False
        return scenario.findings()


class PeersTests(testtools.TestCase):
    def test_a_single_edge_has_no_owner_to_ask(self) -> None:
        scenario = sharing_scenario(4, edges=1)
        handler = scenario.node(scenario.edges[0]).traffic.handler
        assert handler is not None and isinstance(handler.context.peers, Peers)
        handler.context.peers.update_members(handler.context.member.members)
        self.assertIsNone(handler.context.peers.owner_to_ask(("", "/covers/1")))


class MembersTests(testtools.TestCase):
    def test_membership_changes_lead_to_the_members_of_the_leader(self) -> None:
        """Incremental updates must not lose or keep a session."""
        scenario = sharing_scenario(5, edges=4)
        incremental: list[bool] = []
        original = MembershipChanges.update_since

        def recorded(changes: MembershipChanges, version: int | None) -> Message:
            found = original(changes, version)
            incremental.append("since" in found)
            return found

        with mock.patch.object(MembershipChanges, "update_since", recorded):
            scenario.world.kill(scenario.edges[0], True)
            scenario.world.run(5.0)
            scenario.start(scenario.edges[0])
            scenario.world.run(3.0)
        self.assertIn(True, incremental)
        leader = scenario.node(scenario.leader()).core
        expected = {
            name: session.incarnation for name, session in leader.membership.members().items()
        }
        for name in scenario.edges:
            members = scenario.node(name).traffic.member.members
            self.assertEqual(
                expected, {other: session.incarnation for other, session in members.items()}
            )

    def test_membership_changes_after_a_gap_are_ignored(self) -> None:
        scenario = sharing_scenario(6, edges=2)
        view = scenario.node(scenario.edges[0]).traffic.member.membership
        before, source, version = view.members, view.source, view.version
        view.apply_sessions(
            MembershipUpdate(
                source=source,
                version=Natural(version + 5),
                since=Natural(version + 4),
                sessions=[],
                lost=[],
                removed=list(before),
            )
        )
        self.assertEqual((before, source, version), (view.members, view.source, view.version))


class FrozenOwnerTests(testtools.TestCase):
    def test_a_frozen_owner_delays_only_the_first_request(self) -> None:
        """Its connection stays open without a response: later requests skip the owner."""
        scenario = sharing_scenario(21, edges=2)
        apply: dict[str, object] = {
            "routes": {
                "covers": {
                    "path": "/covers",
                    "service": "pages",
                    "cached": True,
                    "lifetime_seconds": 6.0,
                    "target_seconds": 0.4,
                }
            }
        }
        self.assertEqual(
            200,
            scenario.world.task(scenario.operators, scenario.change("aims", 1, apply), 20).status,
        )
        requesting, owner = scenario.edges
        first, second, third = [
            target
            for target in (f"/covers/{number}" for number in range(100))
            if owner_of((HOST, target), sorted(scenario.edges)) == owner
        ][:3]
        self.assertEqual(200, fetch_object(scenario, requesting, first)[0])
        scenario.world.freeze(owner, True)
        before = scenario.world.time
        self.assertEqual((200, b"miss"), fetch_object(scenario, requesting, second))
        self.assertLess(scenario.world.time - before, 0.5)
        before = scenario.world.time
        self.assertEqual((200, b"miss"), fetch_object(scenario, requesting, third))
        self.assertLess(scenario.world.time - before, 0.2)


class RegionOwnerTests(testtools.TestCase):
    """Path of a request through the edges of a region, as each edge computes it."""

    ZONES: ClassVar[dict[str, str]] = {"a": "north", "b": "north", "c": "north", "far": "south"}

    def edges(self) -> dict[str, Session]:
        found: dict[str, Session] = {}
        for zone in self.ZONES:
            for number in range(4):
                session = Session()
                session.name, session.zone, session.role = f"{zone}{number}", zone, "edge"
                session.request_address, session.ready = f"10.0.0.{len(found)}:80", True
                found[session.name] = session
        return found

    def view(self, name: str, members: dict[str, Session]) -> Peers:
        peers = Peers(Scheduler(SteppedClock(), raise_fault), name, members[name].zone, self.ZONES)
        peers.update_members(members)
        return peers

    def path(self, members: dict[str, Session], name: str, key: tuple[str, str]) -> list[str]:
        """Return the edges that a request passes, from the one that the client connected to."""
        found, requesting_zone = [name], ""
        while (
            owner := self.view(found[-1], members).owner_to_ask(key, requesting_zone)
        ) is not None:
            requesting_zone = members[found[-1]].zone
            found.append(owner.name)
        return found

    def test_every_path_ends_at_the_owner_in_the_region(self) -> None:
        members = self.edges()
        for number in range(40):
            key = (HOST, f"/covers/{number}")
            paths = [self.path(members, name, key) for name in members]
            ends = {members[path[-1]].zone: path[-1] for path in paths}
            self.assertEqual(2, len({path[-1] for path in paths}), "one in each region")
            self.assertEqual(2, len(ends))
            for path in paths:
                self.assertLessEqual(len(path), 3)
                self.assertEqual(1, len({self.ZONES[members[name].zone] for name in path}))
                crossed = [
                    (one, other)
                    for one, other in pairwise(path)
                    if members[one].zone != members[other].zone
                ]
                self.assertLessEqual(len(crossed), 1)
                self.assertTrue(len(path) < 3 or members[path[1]].zone == members[path[0]].zone)

    def test_one_edge_of_each_zone_crosses_to_the_owner_in_the_region(self) -> None:
        members = self.edges()
        for number in range(40):
            key = (HOST, f"/covers/{number}")
            crossing = {
                (members[one].zone, one)
                for name in members
                for path in [self.path(members, name, key)]
                for one, other in pairwise(path)
                if members[one].zone != members[other].zone
            }
            self.assertEqual(len({zone for zone, _ in crossing}), len(crossing))

    def test_a_suspected_owner_in_the_zone_is_skipped_for_that_in_the_region(self) -> None:
        members = self.edges()
        for number in range(40):
            key = (HOST, f"/covers/{number}")
            for name in members:
                peers = self.view(name, members)
                first = peers.owner_to_ask(key)
                if first is None:
                    continue
                peers.suspect(first)
                owners = peers.owners_of(key)
                then = peers.owner_to_ask(key)
                if owners.region_owner in (name, first.name):
                    self.assertIsNone(then)
                else:
                    self.assertEqual(owners.region_owner, then.name if then else "")
