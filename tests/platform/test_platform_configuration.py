"""What the platform's operators send is read back as it was sent, once it was taken, or not at all.

Everything goes over simulated links to the addresses that operators call, on one deployment of
three zones.
"""

import json
from collections.abc import Callable
from copy import deepcopy
from typing import Any

import testtools

from deployment import HOST, LIMITS, Deployment, first_configuration, route, service_item
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE


def whole(version: Any, **more: Any) -> dict[str, Any]:
    """A proper configuration under a version."""
    plain: dict[str, Any] = first_configuration(["pages", "desks"])
    return {**deepcopy(plain), "version": version, **more}


def with_route(version: str, **changed: Any) -> dict[str, Any]:
    plain = whole(version)
    plain["routes"][0] = {**plain["routes"][0], **changed}
    return plain


def without(version: str, part: str, key: str) -> dict[str, Any]:
    plain = whole(version)
    del plain[part][0][key]
    return plain


INVALID: dict[str, object] = {
    "cut_short": json.dumps(whole("r9")).encode()[:-20],
    "empty": b"",
    "a_list": [whole("r9")],
    "a_text": b'"r9"',
    "no_text_at_all": b"\xff\xfe\x00{",
    "unknown_service": with_route("r9", service="nobody"),
    "unknown_service_in_a_split": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 1}, {"service": "nobody", "weight": 1}]
    ),
    "unknown_service_of_no_weight": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 1}, {"service": "nobody", "weight": 0}]
    ),
    "weight_below_0": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 3}, {"service": "desks", "weight": -1}]
    ),
    "weight_below_0_of_one_service_twice": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 3}, {"service": "pages", "weight": -1}]
    ),
    "weights_of_0": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 0}, {"service": "desks", "weight": 0}]
    ),
    "no_weights": with_route("r9", weighted_split=[]),
    "weight_that_is_text": with_route("r9", weighted_split=[{"service": "pages", "weight": "1"}]),
    "prefix_without_slash": with_route("r9", path_prefix="plain/"),
    "empty_prefix": with_route("r9", path_prefix=""),
    "kind_that_is_none": with_route("r9", kind="perhaps"),
    "time_out_that_is_text": with_route("r9", timeout_ms="800"),
    "no_kind": without("r9", "routes", "kind"),
    "no_service": without("r9", "routes", "service"),
    "no_name": without("r9", "services", "name"),
    "old_version": whole("r4"),
    "same_version": whole("r5"),
    "version_without_r": whole("9"),
    "version_without_number": whole("r"),
    "version_of_letters": whole("rnine"),
    "version_below_0": whole("r-9"),
    "version_that_is_a_number": whole(9),
    "version_that_is_null": whole(None),
    "no_version": {key: value for key, value in whole("r9").items() if key != "version"},
    "twin_routes": whole("r9", routes=[route("one", "/one/"), route("one", "/two/")]),
    "twin_services": whole(
        "r9", services=[service_item("pages"), service_item("desks"), service_item("pages")]
    ),
    "twin_keys": json.dumps(whole("r9"))
    .encode()
    .replace(b'"version": "r9"', b'"version": "r9", "version": "r9"'),
    "twin_keys_of_an_item": json.dumps(whole("r9"))
    .encode()
    .replace(b'"kind": "safe"', b'"kind": "safe", "kind": "unsafe"'),
    "routes_that_are_no_list": whole("r9", routes={}),
    "an_item_that_is_no_object": whole("r9", routes=["plain"]),
    "limits_that_are_no_object": whole("r9", limits=[1]),
    "deep": b'{"version":"r9","routes":' + b"[" * 100_000,
    "number_that_is_none": json.dumps(whole("r9")).encode().replace(b"1500", b"NaN"),
    "number_without_end": json.dumps(whole("r9")).encode().replace(b"1500", b"1e999"),
    "number_that_is_none_in_an_unknown_field": json.dumps(whole("r9", later=1))
    .encode()
    .replace(b'"later": 1', b'"later": NaN'),
    "version_of_raised_digits": whole("r\u00b2"),
    "version_of_too_many_digits": whole("r" + "9" * 5000),
}


class ConfigurationTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.deployment = Deployment(11, edges=1).set_up()

    def assert_read(self, expected: object) -> None:
        """What is read is what was sent: the same numbers, in the same order, written alike."""
        self.assertEqual(
            json.dumps(expected, indent=1), json.dumps(self.deployment.read(), indent=1)
        )

    def served(self, target: str, kind: str = SAFE) -> int:
        return self.deployment.ask(kind, "GET", target).status

    def test_the_first_configuration_is_read_back_as_sent_from_every_node(self) -> None:
        sent = self.deployment.configuration
        nodes = list(self.deployment.operator.nodes)
        self.assertEqual(3, len(nodes))
        for node in nodes:
            self.deployment.operator.nodes = [node]
            found = self.deployment.read()
            self.assertEqual(sent, found)

    def test_numbers_orders_and_unknown_fields_come_back_as_sent(self) -> None:
        sent = {
            "limits": {**LIMITS, "body_bytes": 1048576, "later": [1, {"b": 1, "a": 2.50}]},
            "services": [
                service_item("zeta", rate_per_s=1400.0, later={"z": None, "a": True}),
                service_item("pages", rate_per_s=2, tls=True),
                service_item("alpha"),
            ],
            "later": {"two": 2, "one": 1.0},
            "routes": [
                route("z", "/z/", CACHEABLE, cache_lifetime_s=20, later='\u00e4\u20ac"\\/'),
                route(
                    "m",
                    "/m/",
                    weighted_split=[
                        {"service": "zeta", "weight": 1, "later": 0},
                        {"service": "alpha", "weight": 2.5},
                    ],
                ),
                route("a", "/", UNSAFE, "zeta", timeout_ms=800.5, target_ms=100.0, tags=[3, 2, 1]),
            ],
            "version": "r1000007",
        }
        self.assertEqual(200, self.deployment.replace(sent, "r5")[0])
        found = self.deployment.read()
        self.assertEqual(sent, found)
        for part in ("routes", "services", "limits", "later"):
            self.assertEqual(json.dumps(sent[part]), json.dumps(found[part]), part)

    def test_whole_and_broken_numbers_are_told_apart_when_read(self) -> None:
        sent = with_route("r6", timeout_ms=800, target_ms=100.0)
        self.assertEqual(200, self.deployment.replace(sent, "r5")[0])
        found: Any = self.deployment.read()
        self.assertEqual(
            "[800, 100.0]",
            json.dumps([found["routes"][0]["timeout_ms"], found["routes"][0]["target_ms"]]),
        )

    def test_an_amendment_changes_the_named_items_and_no_others(self) -> None:
        added = route("new", "/new/", service="desks", later=[1.0])
        changed = route("plain", "/plain/", CACHEABLE, "desks", cache_lifetime_s=3)
        self.assertEqual(
            200,
            self.deployment.amend(
                {
                    "version": "r40",
                    "upsert": {
                        "routes": [changed, added],
                        "services": [service_item("extra", rate_per_s=5.0)],
                    },
                    "remove": {"routes": ["covers"]},
                },
                "r5",
            )[0],
        )
        found: Any = self.deployment.read()
        self.assertEqual("r40", found["version"])
        self.assertEqual(LIMITS, found["limits"])
        before: Any = self.deployment.configuration
        kept = {item["name"]: item for item in before["routes"]}
        expected = {"plain": changed, "orders": kept["orders"], "new": added}
        self.assertEqual(expected, {item["name"]: item for item in found["routes"]})
        self.assertEqual({"pages", "desks", "extra"}, {item["name"] for item in found["services"]})
        self.assertEqual(len(found["routes"]), 3)
        self.assertEqual(len(found["services"]), 3)

    def test_a_removed_route_and_its_service_go_in_one_amendment(self) -> None:
        self.assertEqual(
            200,
            self.deployment.amend(
                {"version": "r6", "remove": {"routes": ["orders"], "services": ["desks"]}}, "r5"
            )[0],
        )
        self.deployment.world.run(1)
        self.assertEqual(404, self.deployment.ask(UNSAFE, "POST", "/orders/1").status)
        self.assertEqual(200, self.served("/plain/1"))

    def test_an_amendment_that_leaves_a_route_without_service_is_invalid(self) -> None:
        status, _ = self.deployment.amend(
            {"version": "r6", "remove": {"services": ["pages"]}}, "r5"
        )
        self.assertEqual(400, status)
        self.assert_read(self.deployment.configuration)

    def test_an_amendment_of_limits_is_read_back(self) -> None:
        limits = {**LIMITS, "idle_timeout_ms": 9000, "later": 1}
        self.assertEqual(
            200, self.deployment.amend({"version": "r6", "upsert": {"limits": limits}}, "r5")[0]
        )
        self.assertEqual(limits, self.deployment.read()["limits"])

    def test_versions_rise_with_gaps(self) -> None:
        base = "r5"
        for version in ("r6", "r9", "r1000", "r1000000000001"):
            self.assertEqual(200, self.deployment.replace(whole(version), base)[0], version)
            self.assertEqual(version, self.deployment.read()["version"])
            base = version

    def test_another_base_is_told_412_and_moves_nothing(self) -> None:
        for base in ("0", "r0", "r4", "r6", "r100"):
            status, _ = self.deployment.replace(whole("r200", later=base), base)
            self.assertEqual(412, status, base)
            status, _ = self.deployment.amend(
                {"version": "r201", "remove": {"routes": ["plain"]}}, base
            )
            self.assertEqual(412, status, base)
        self.assert_read(self.deployment.configuration)

    def test_the_same_bytes_again_are_told_200_from_any_node_also_later(self) -> None:
        first, second = whole("r7"), {"version": "r9", "remove": {"routes": ["covers"]}}
        self.assertEqual(200, self.deployment.replace(first, "r5")[0])
        for node in self.deployment.operator.nodes:
            body = json.dumps(first).encode()
            fields = [(b"Based-On-Version", b"r5")]
            found = self.deployment.world.task(
                self.deployment.operator_node,
                self.deployment.operator.send_once(
                    node, b"POST", b"/configuration/replace", fields, body
                ),
                30,
            )
            self.assertEqual(200, found[0], node)
        self.assertEqual(200, self.deployment.amend(second, "r7")[0])
        self.assertEqual(200, self.deployment.replace(first, "r5")[0])
        self.assertEqual(200, self.deployment.amend(second, "r7")[0])
        self.assertEqual("r9", self.deployment.read()["version"])

    def test_the_same_number_with_other_bytes_is_not_taken_for_the_same(self) -> None:
        self.assertEqual(200, self.deployment.replace(whole("r7"), "r5")[0])
        status, _ = self.deployment.replace(whole("r7", later=1), "r5")
        self.assertIn(status, (400, 412))
        self.assertEqual(whole("r7"), self.deployment.read())

    def test_a_taken_change_outlives_all_processes(self) -> None:
        sent = with_route("r8", timeout_ms=777)
        self.assertEqual(200, self.deployment.replace(sent, "r5")[0])
        for name in self.deployment.cores + self.deployment.edges:
            self.deployment.kill(name, True)
        self.deployment.world.run(1)
        for name in self.deployment.cores + self.deployment.edges:
            self.deployment.start(name)
        self.deployment.world.run(6)
        self.assertEqual(sent, self.deployment.read())
        self.assertEqual(200, self.deployment.replace(sent, "r5")[0])
        self.assertEqual(412, self.deployment.replace(whole("r9"), "r5")[0])
        self.assertEqual(200, self.served("/plain/1"))

    def test_a_missing_base_is_declined(self) -> None:
        for base in ("", "r", "x5", "5.0", "-5", "r5 r5"):
            status, _ = self.deployment.replace(whole("r9"), base)
            self.assertEqual(400, status, base)
        self.assert_read(self.deployment.configuration)

    def test_a_base_of_raised_digits_is_declined(self) -> None:
        fields = [(b"Based-On-Version", b"\xb2")]
        found = self.deployment.world.task(
            self.deployment.operator_node,
            self.deployment.operator.send_once(
                self.deployment.operator.nodes[0],
                b"POST",
                b"/configuration/replace",
                fields,
                json.dumps(whole("r9")).encode(),
            ),
            30,
        )
        self.assertEqual(400, found[0])
        self.assertEqual([], self.deployment.world.faults)

    def test_purges_that_name_nothing_are_declined(self) -> None:
        for body in (
            b"",
            b"{}",
            b"[]",
            b'{"host":"a"}',
            b'{"path":"/a"}',
            b'{"label":""}',
            b'{"label":3}',
            b'{"host":"a","path":"b"}',
            b'{"host":3,"path":"/b"}',
        ):
            status, _ = self.deployment.operate(b"POST", b"/purges", [], body)
            self.assertEqual(400, status, str(body))

    def test_what_is_no_place_is_404(self) -> None:
        for method, place in (
            (b"GET", b"/configuration"),
            (b"POST", b"/configuration/read"),
            (b"GET", b"/purges"),
            (b"POST", b"/"),
        ):
            found = self.deployment.world.task(
                self.deployment.operator_node,
                self.deployment.operator.send_once(
                    self.deployment.operator.nodes[0], method, place, [], b""
                ),
                30,
            )
            self.assertEqual(404, found[0], str(place))

    def test_a_change_is_in_force_at_every_edge_once_it_is_acknowledged(self) -> None:
        self.assertEqual(
            200,
            self.deployment.amend(
                {
                    "version": "r6",
                    "upsert": {"routes": [route("new", "/new/")]},
                    "remove": {"routes": ["plain"]},
                },
                "r5",
            )[0],
        )
        self.deployment.configuration = self.deployment.read()
        for edge in self.deployment.edges:
            self.assertEqual(200, self.deployment.ask(SAFE, "GET", "/new/1", edge=edge).status)
            self.assertEqual(404, self.deployment.ask(SAFE, "GET", "/plain/1", edge=edge).status)
        self.assertEqual([], self.deployment.broken())


class InvalidTests(testtools.TestCase):
    """One test for each body that is no configuration."""


def declined(sent: object) -> Callable[[InvalidTests], None]:
    def test(case: InvalidTests) -> None:
        deployment = Deployment(12, edges=1, servers=1).set_up()
        status, _ = deployment.replace(sent, "r5", 6.0)
        case.assertEqual(400, status)
        case.assertEqual(deployment.configuration, deployment.read())
        case.assertEqual(200, deployment.ask(SAFE, "GET", "/plain/1").status)
        case.assertEqual([], deployment.world.faults)
        case.assertEqual(200, deployment.replace(whole("r9"), "r5")[0])

    return test


for name, sent in INVALID.items():
    setattr(InvalidTests, f"test_{name}_is_declined", declined(sent))


class RaceTests(testtools.TestCase):
    def race(self, seed: int, place: bytes, bodies: tuple[bytes, bytes]) -> tuple[int, Deployment]:
        """Two operators at once on one base; the one that was told 200."""
        deployment = Deployment(seed, edges=1, servers=1).set_up()
        told: list[int] = [0, 0]

        async def send(number: int) -> None:
            told[number], _ = await deployment.operator.send(
                b"POST", place, [(b"Based-On-Version", b"r5")], bodies[number]
            )

        for number in (0, 1):
            deployment.operator_node.scheduler.create_task(send(number), name="operator")
        deployment.world.run(12)
        self.assertEqual([200, 412], sorted(told), f"seed {seed}")
        return told.index(200), deployment

    def test_of_two_replacements_on_one_base_exactly_one_is_taken(self) -> None:
        plains = (whole("r8", later=0), with_route("r7", path_prefix="/other/"))
        bodies = (json.dumps(plains[0]).encode(), json.dumps(plains[1]).encode())
        for seed in range(21, 25):
            winner, deployment = self.race(seed, b"/configuration/replace", bodies)
            self.assertEqual(plains[winner], deployment.read())
            status = deployment.ask(SAFE, "GET", "/other/1").status
            self.assertEqual(200 if winner else 404, status)

    def test_of_two_amendments_on_one_base_exactly_one_is_taken(self) -> None:
        plains = tuple(
            {
                "version": f"r{8 + number}",
                "upsert": {"routes": [route(f"new{number}", f"/new{number}/")]},
            }
            for number in (0, 1)
        )
        bodies = (json.dumps(plains[0]).encode(), json.dumps(plains[1]).encode())
        for seed in range(31, 35):
            winner, deployment = self.race(seed, b"/configuration/amend", bodies)
            found: Any = deployment.read()
            self.assertEqual(f"r{8 + winner}", found["version"])
            names = {item["name"] for item in found["routes"]}
            self.assertEqual({f"new{winner}"}, names & {"new0", "new1"})

    def test_of_two_with_one_number_exactly_one_is_taken(self) -> None:
        plains = (whole("r8", later=0), whole("r8", later=1))
        bodies = (json.dumps(plains[0]).encode(), json.dumps(plains[1]).encode())
        winner, deployment = self.race(41, b"/configuration/replace", bodies)
        self.assertEqual(plains[winner], deployment.read())

    def test_while_the_first_processes_are_killed_what_was_told_200_stays(self) -> None:
        for seed in (51, 52, 53):
            deployment = Deployment(seed, edges=1, servers=1).set_up()
            sent = whole("r8", later=seed)
            told: list[int] = []

            async def send(
                deployment: Deployment = deployment,
                body: bytes = json.dumps(sent).encode(),
                told: list[int] = told,
            ) -> None:
                status, _ = await deployment.operator.send(
                    b"POST", b"/configuration/replace", [(b"Based-On-Version", b"r5")], body, 30
                )
                told.append(status)

            deployment.operator_node.scheduler.create_task(send(), name="operator")
            deployment.world.run(0.01 * (seed - 50))
            leader = next(
                name
                for name in deployment.cores
                if deployment.node(name).core.consensus.leader_ready
            )
            deployment.kill(leader)
            deployment.world.run(1)
            deployment.start(leader)
            deployment.world.run(20)
            self.assertEqual([200], told, f"seed {seed}")
            self.assertEqual(sent, deployment.read())


class SpeedTests(testtools.TestCase):
    """How soon a proper word is acknowledged, and how large it may be."""

    def told_in(self, deployment: Deployment, version: str, base: str) -> float:
        before = deployment.world.time
        status, _ = deployment.amend(
            {"version": version, "upsert": {"routes": [route(version, f"/{version}/")]}}, base
        )
        self.assertEqual(200, status)
        between = deployment.world.time
        self.assertEqual(200, deployment.purge(host=HOST, path="/covers/1"))
        return max(between - before, deployment.world.time - between)

    def test_in_calm_times_it_is_acknowledged_at_once(self) -> None:
        deployment = Deployment(61, edges=4).set_up()
        base = "r5"
        for number in range(6, 12):
            self.assertLess(self.told_in(deployment, f"r{number}", base), 1.5)
            base = f"r{number}"

    def test_with_one_machine_gone_it_is_acknowledged_in_time(self) -> None:
        for seed, trouble in enumerate(("frozen", "killed", "without power", "cut", "core"), 62):
            deployment = Deployment(seed).set_up()
            edge = next(name for name in deployment.edges if name.endswith("-1.edge"))
            if trouble == "frozen":
                deployment.world.freeze(edge, True)
            elif trouble == "killed":
                deployment.kill(edge)
            elif trouble == "without power":
                deployment.kill(edge, True)
            elif trouble == "cut":
                deployment.world.isolate(edge.rpartition(".")[0])
                deployment.world.cuts = {
                    pair for pair in deployment.world.cuts if "operator" not in pair
                }
            else:
                deployment.kill(deployment.cores[0])
                deployment.operator.nodes.pop(0)
            self.assertLess(self.told_in(deployment, "r6", "r5"), 5.0, trouble)
            self.assertLess(self.told_in(deployment, "r7", "r6"), 5.0, trouble)

    def test_a_configuration_of_many_routes_and_services_is_taken_and_read_back(self) -> None:
        deployment = Deployment(71, edges=1, servers=1).set_up()
        names = [f"service{number}" for number in range(60)]
        sent = whole(
            "r6",
            services=[*(service_item(name) for name in names), service_item("pages")],
            routes=[
                route(f"route-{number}", f"/many/{number}/", service="pages")
                for number in range(3000)
            ],
        )
        self.assertGreater(len(json.dumps(sent)), 500_000)
        self.assertEqual(200, deployment.replace(sent, "r5")[0])
        deployment.configuration = sent
        for edge in deployment.edges:
            self.assertTrue(deployment.ask(SAFE, "GET", "/many/2999/x", edge=edge).served)
        self.assertEqual(sent, deployment.read())
        self.assertEqual([], deployment.broken())
        for name in deployment.cores:
            deployment.kill(name, True)
        deployment.world.run(1)
        for name in deployment.cores:
            deployment.start(name)
        deployment.world.run(8)
        self.assertEqual(sent, deployment.read())

    def test_callers_are_held_to_the_limits(self) -> None:
        deployment = Deployment(72, edges=1, servers=1).set_up()
        limits = {**LIMITS, "header_bytes": 2000, "body_bytes": 5000}
        self.assertEqual(200, deployment.replace(whole("r6", limits=limits), "r5")[0])
        fine = deployment.ask(UNSAFE, "POST", "/orders/1", bytes(5000))
        self.assertEqual(200, fine.status)
        self.assertEqual(413, deployment.ask(UNSAFE, "POST", "/orders/2", bytes(5001)).status)
        wide = deployment.ask(SAFE, "GET", "/plain/1", fields=[(b"X-Wide", b"a" * 2100)])
        self.assertEqual(431, wide.status)
        self.assertEqual(
            1, len([arrival for arrival in deployment.history if arrival.service == "desks"])
        )
