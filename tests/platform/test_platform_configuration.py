"""The platform's operator API: configurations, amendments and purges on a simulated deployment."""

import json
from collections.abc import Callable
from copy import deepcopy
from typing import Any

import testtools

from deployment import HOST, LIMITS, Deployment, first_configuration, route, service_item
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE


def valid_configuration(version: Any, **more: Any) -> dict[str, Any]:
    """Return a valid configuration with a version."""
    configuration: dict[str, Any] = first_configuration(["pages", "desks"])
    return {**deepcopy(configuration), "version": version, **more}


def with_route(version: str, **changed: Any) -> dict[str, Any]:
    configuration = valid_configuration(version)
    configuration["routes"][0] = {**configuration["routes"][0], **changed}
    return configuration


def without_key(version: str, section: str, key: str) -> dict[str, Any]:
    configuration = valid_configuration(version)
    del configuration[section][0][key]
    return configuration


INVALID: dict[str, object] = {
    "truncated": json.dumps(valid_configuration("r9")).encode()[:-20],
    "empty": b"",
    "a_list": [valid_configuration("r9")],
    "a_string": b'"r9"',
    "invalid_utf8": b"\xff\xfe\x00{",
    "unknown_service": with_route("r9", service="nobody"),
    "unknown_service_in_a_split": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 1}, {"service": "nobody", "weight": 1}]
    ),
    "unknown_service_with_weight_0": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 1}, {"service": "nobody", "weight": 0}]
    ),
    "negative_weight": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 3}, {"service": "desks", "weight": -1}]
    ),
    "negative_weight_of_a_repeated_service": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 3}, {"service": "pages", "weight": -1}]
    ),
    "all_weights_0": with_route(
        "r9", weighted_split=[{"service": "pages", "weight": 0}, {"service": "desks", "weight": 0}]
    ),
    "empty_split": with_route("r9", weighted_split=[]),
    "weight_of_type_string": with_route("r9", weighted_split=[{"service": "pages", "weight": "1"}]),
    "prefix_without_slash": with_route("r9", path_prefix="plain/"),
    "empty_prefix": with_route("r9", path_prefix=""),
    "unknown_kind": with_route("r9", kind="perhaps"),
    "timeout_of_type_string": with_route("r9", timeout_ms="800"),
    "no_kind": without_key("r9", "routes", "kind"),
    "no_service": without_key("r9", "routes", "service"),
    "no_name": without_key("r9", "services", "name"),
    "older_version": valid_configuration("r4"),
    "same_version": valid_configuration("r5"),
    "version_without_r": valid_configuration("9"),
    "version_without_number": valid_configuration("r"),
    "version_of_letters": valid_configuration("rnine"),
    "negative_version": valid_configuration("r-9"),
    "version_of_type_number": valid_configuration(9),
    "version_null": valid_configuration(None),
    "no_version": {
        key: value for key, value in valid_configuration("r9").items() if key != "version"
    },
    "duplicate_routes": valid_configuration(
        "r9", routes=[route("one", "/one/"), route("one", "/two/")]
    ),
    "duplicate_services": valid_configuration(
        "r9", services=[service_item("pages"), service_item("desks"), service_item("pages")]
    ),
    "duplicate_key": json.dumps(valid_configuration("r9"))
    .encode()
    .replace(b'"version": "r9"', b'"version": "r9", "version": "r9"'),
    "duplicate_key_in_an_item": json.dumps(valid_configuration("r9"))
    .encode()
    .replace(b'"kind": "safe"', b'"kind": "safe", "kind": "unsafe"'),
    "routes_not_a_list": valid_configuration("r9", routes={}),
    "item_not_an_object": valid_configuration("r9", routes=["plain"]),
    "limits_not_an_object": valid_configuration("r9", limits=[1]),
    "deeply_nested_array": b'{"version":"r9","routes":' + b"[" * 100_000,
    "nan": json.dumps(valid_configuration("r9")).encode().replace(b"1500", b"NaN"),
    "number_too_large": json.dumps(valid_configuration("r9")).encode().replace(b"1500", b"1e999"),
    "nan_in_an_unknown_field": json.dumps(valid_configuration("r9", later=1))
    .encode()
    .replace(b'"later": 1', b'"later": NaN'),
    "version_of_superscript_digits": valid_configuration("r\u00b2"),
    "version_of_too_many_digits": valid_configuration("r" + "9" * 5000),
}


class ConfigurationTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.deployment = Deployment(11, edges=1).set_up()

    def assert_read(self, expected: object) -> None:
        """Assert that a read returns the same JSON, in the same order and notation."""
        self.assertEqual(
            json.dumps(expected, indent=1), json.dumps(self.deployment.read(), indent=1)
        )

    def request_status(self, target: str, kind: str = SAFE) -> int:
        return self.deployment.request(kind, "GET", target).status

    def test_the_first_configuration_is_read_back_as_sent_from_every_node(self) -> None:
        sent = self.deployment.configuration
        nodes = list(self.deployment.operator.nodes)
        self.assertEqual(3, len(nodes))
        for node in nodes:
            self.deployment.operator.nodes = [node]
            configuration = self.deployment.read()
            self.assertEqual(sent, configuration)

    def test_numbers_item_order_and_unknown_fields_are_read_back_as_sent(self) -> None:
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
        configuration = self.deployment.read()
        self.assertEqual(sent, configuration)
        for part in ("routes", "services", "limits", "later"):
            self.assertEqual(json.dumps(sent[part]), json.dumps(configuration[part]), part)

    def test_integers_and_floats_keep_their_notation_when_read(self) -> None:
        sent = with_route("r6", timeout_ms=800, target_ms=100.0)
        self.assertEqual(200, self.deployment.replace(sent, "r5")[0])
        configuration: Any = self.deployment.read()
        self.assertEqual(
            "[800, 100.0]",
            json.dumps(
                [configuration["routes"][0]["timeout_ms"], configuration["routes"][0]["target_ms"]]
            ),
        )

    def test_an_amendment_changes_only_the_named_items(self) -> None:
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
        configuration: Any = self.deployment.read()
        self.assertEqual("r40", configuration["version"])
        self.assertEqual(LIMITS, configuration["limits"])
        before: Any = self.deployment.configuration
        kept = {item["name"]: item for item in before["routes"]}
        expected = {"plain": changed, "orders": kept["orders"], "new": added}
        self.assertEqual(expected, {item["name"]: item for item in configuration["routes"]})
        self.assertEqual(
            {"pages", "desks", "extra"}, {item["name"] for item in configuration["services"]}
        )
        self.assertEqual(len(configuration["routes"]), 3)
        self.assertEqual(len(configuration["services"]), 3)

    def test_one_amendment_removes_a_route_and_its_service(self) -> None:
        self.assertEqual(
            200,
            self.deployment.amend(
                {"version": "r6", "remove": {"routes": ["orders"], "services": ["desks"]}}, "r5"
            )[0],
        )
        self.deployment.world.run(1)
        self.assertEqual(404, self.deployment.request(UNSAFE, "POST", "/orders/1").status)
        self.assertEqual(200, self.request_status("/plain/1"))

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

    def test_versions_may_skip_numbers(self) -> None:
        base = "r5"
        for version in ("r6", "r9", "r1000", "r1000000000001"):
            self.assertEqual(
                200, self.deployment.replace(valid_configuration(version), base)[0], version
            )
            self.assertEqual(version, self.deployment.read()["version"])
            base = version

    def test_a_stale_base_version_gets_412_and_changes_nothing(self) -> None:
        for base in ("0", "r0", "r4", "r6", "r100"):
            status, _ = self.deployment.replace(valid_configuration("r200", later=base), base)
            self.assertEqual(412, status, base)
            status, _ = self.deployment.amend(
                {"version": "r201", "remove": {"routes": ["plain"]}}, base
            )
            self.assertEqual(412, status, base)
        self.assert_read(self.deployment.configuration)

    def test_a_retried_change_gets_200_from_any_node_also_later(self) -> None:
        first, second = (
            valid_configuration("r7"),
            {"version": "r9", "remove": {"routes": ["covers"]}},
        )
        self.assertEqual(200, self.deployment.replace(first, "r5")[0])
        for node in self.deployment.operator.nodes:
            body = json.dumps(first).encode()
            fields = [(b"Based-On-Version", b"r5")]
            response = self.deployment.world.task(
                self.deployment.operator_node,
                self.deployment.operator.send_once(
                    node, b"POST", b"/configuration/replace", fields, body
                ),
                30,
            )
            self.assertEqual(200, response[0], node)
        self.assertEqual(200, self.deployment.amend(second, "r7")[0])
        self.assertEqual(200, self.deployment.replace(first, "r5")[0])
        self.assertEqual(200, self.deployment.amend(second, "r7")[0])
        self.assertEqual("r9", self.deployment.read()["version"])

    def test_the_same_version_with_another_body_is_not_a_retry(self) -> None:
        self.assertEqual(200, self.deployment.replace(valid_configuration("r7"), "r5")[0])
        status, _ = self.deployment.replace(valid_configuration("r7", later=1), "r5")
        self.assertIn(status, (400, 412))
        self.assertEqual(valid_configuration("r7"), self.deployment.read())

    def test_an_accepted_change_survives_a_power_loss_of_all_processes(self) -> None:
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
        self.assertEqual(412, self.deployment.replace(valid_configuration("r9"), "r5")[0])
        self.assertEqual(200, self.request_status("/plain/1"))

    def test_a_missing_or_malformed_base_version_gets_400(self) -> None:
        for base in ("", "r", "x5", "5.0", "-5", "r5 r5"):
            status, _ = self.deployment.replace(valid_configuration("r9"), base)
            self.assertEqual(400, status, base)
        self.assert_read(self.deployment.configuration)

    def test_a_base_version_of_superscript_digits_gets_400(self) -> None:
        fields = [(b"Based-On-Version", b"\xb2")]
        response = self.deployment.world.task(
            self.deployment.operator_node,
            self.deployment.operator.send_once(
                self.deployment.operator.nodes[0],
                b"POST",
                b"/configuration/replace",
                fields,
                json.dumps(valid_configuration("r9")).encode(),
            ),
            30,
        )
        self.assertEqual(400, response[0])
        self.assertEqual([], self.deployment.world.faults)

    def test_purges_without_a_scope_get_400(self) -> None:
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
            status, _ = self.deployment.send_operator_request(b"POST", b"/purges", [], body)
            self.assertEqual(400, status, str(body))

    def test_an_unknown_path_gets_404(self) -> None:
        for method, path in (
            (b"GET", b"/configuration"),
            (b"POST", b"/configuration/read"),
            (b"GET", b"/purges"),
            (b"POST", b"/"),
        ):
            response = self.deployment.world.task(
                self.deployment.operator_node,
                self.deployment.operator.send_once(
                    self.deployment.operator.nodes[0], method, path, [], b""
                ),
                30,
            )
            self.assertEqual(404, response[0], str(path))

    def test_an_acknowledged_change_is_in_effect_at_every_edge(self) -> None:
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
            self.assertEqual(200, self.deployment.request(SAFE, "GET", "/new/1", edge=edge).status)
            self.assertEqual(
                404, self.deployment.request(SAFE, "GET", "/plain/1", edge=edge).status
            )
        self.assertEqual([], self.deployment.violations())


class InvalidTests(testtools.TestCase):
    """One test for each invalid configuration."""


def rejection_test(sent: object) -> Callable[[InvalidTests], None]:
    def test(case: InvalidTests) -> None:
        deployment = Deployment(12, edges=1, servers=1).set_up()
        status, _ = deployment.replace(sent, "r5", 6.0)
        case.assertEqual(400, status)
        case.assertEqual(deployment.configuration, deployment.read())
        case.assertEqual(200, deployment.request(SAFE, "GET", "/plain/1").status)
        case.assertEqual([], deployment.world.faults)
        case.assertEqual(200, deployment.replace(valid_configuration("r9"), "r5")[0])

    return test


for name, sent in INVALID.items():
    setattr(InvalidTests, f"test_{name}_gets_400", rejection_test(sent))


class RaceTests(testtools.TestCase):
    def race(self, seed: int, path: bytes, bodies: tuple[bytes, bytes]) -> tuple[int, Deployment]:
        """Send two changes with the same base at once; return the index of the accepted one."""
        deployment = Deployment(seed, edges=1, servers=1).set_up()
        statuses: list[int] = [0, 0]

        async def send(number: int) -> None:
            statuses[number], _ = await deployment.operator.send(
                b"POST", path, [(b"Based-On-Version", b"r5")], bodies[number]
            )

        for number in (0, 1):
            deployment.operator_node.scheduler.create_task(send(number), name="operator")
        deployment.world.run(12)
        self.assertEqual([200, 412], sorted(statuses), f"seed {seed}")
        return statuses.index(200), deployment

    def test_one_of_two_concurrent_replacements_is_accepted(self) -> None:
        changes = (valid_configuration("r8", later=0), with_route("r7", path_prefix="/other/"))
        bodies = (json.dumps(changes[0]).encode(), json.dumps(changes[1]).encode())
        for seed in range(21, 25):
            winner, deployment = self.race(seed, b"/configuration/replace", bodies)
            self.assertEqual(changes[winner], deployment.read())
            status = deployment.request(SAFE, "GET", "/other/1").status
            self.assertEqual(200 if winner else 404, status)

    def test_one_of_two_concurrent_amendments_is_accepted(self) -> None:
        changes = tuple(
            {
                "version": f"r{8 + number}",
                "upsert": {"routes": [route(f"new{number}", f"/new{number}/")]},
            }
            for number in (0, 1)
        )
        bodies = (json.dumps(changes[0]).encode(), json.dumps(changes[1]).encode())
        for seed in range(31, 35):
            winner, deployment = self.race(seed, b"/configuration/amend", bodies)
            configuration: Any = deployment.read()
            self.assertEqual(f"r{8 + winner}", configuration["version"])
            names = {item["name"] for item in configuration["routes"]}
            self.assertEqual({f"new{winner}"}, names & {"new0", "new1"})

    def test_one_of_two_concurrent_changes_to_the_same_version_is_accepted(self) -> None:
        changes = (valid_configuration("r8", later=0), valid_configuration("r8", later=1))
        bodies = (json.dumps(changes[0]).encode(), json.dumps(changes[1]).encode())
        winner, deployment = self.race(41, b"/configuration/replace", bodies)
        self.assertEqual(changes[winner], deployment.read())

    def test_a_change_sent_while_the_leader_is_killed_is_accepted_and_kept(self) -> None:
        for seed in (51, 52, 53):
            deployment = Deployment(seed, edges=1, servers=1).set_up()
            sent = valid_configuration("r8", later=seed)
            statuses: list[int] = []

            async def send(
                deployment: Deployment = deployment,
                body: bytes = json.dumps(sent).encode(),
                statuses: list[int] = statuses,
            ) -> None:
                status, _ = await deployment.operator.send(
                    b"POST", b"/configuration/replace", [(b"Based-On-Version", b"r5")], body, 30
                )
                statuses.append(status)

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
            self.assertEqual([200], statuses, f"seed {seed}")
            self.assertEqual(sent, deployment.read())


class LatencyTests(testtools.TestCase):
    """Latency of changes, with and without faults, and their maximum size."""

    def acknowledgement_seconds(self, deployment: Deployment, version: str, base: str) -> float:
        """Send an amendment and a purge; return the longer of the two response times."""
        before = deployment.world.time
        status, _ = deployment.amend(
            {"version": version, "upsert": {"routes": [route(version, f"/{version}/")]}}, base
        )
        self.assertEqual(200, status)
        between = deployment.world.time
        self.assertEqual(200, deployment.purge(host=HOST, path="/covers/1"))
        return max(between - before, deployment.world.time - between)

    def test_without_faults_changes_are_acknowledged_promptly(self) -> None:
        deployment = Deployment(61, edges=4).set_up()
        base = "r5"
        for number in range(6, 12):
            self.assertLess(self.acknowledgement_seconds(deployment, f"r{number}", base), 1.5)
            base = f"r{number}"

    def test_with_one_failed_machine_changes_are_acknowledged_in_time(self) -> None:
        for seed, fault in enumerate(("frozen", "killed", "without power", "cut", "core"), 62):
            deployment = Deployment(seed).set_up()
            edge = next(name for name in deployment.edges if name.endswith("-1.edge"))
            if fault == "frozen":
                deployment.world.freeze(edge, True)
            elif fault == "killed":
                deployment.kill(edge)
            elif fault == "without power":
                deployment.kill(edge, True)
            elif fault == "cut":
                deployment.world.isolate(edge.rpartition(".")[0])
                deployment.world.cuts = {
                    pair for pair in deployment.world.cuts if "operator" not in pair
                }
            else:
                deployment.kill(deployment.cores[0])
                deployment.operator.nodes.pop(0)
            self.assertLess(self.acknowledgement_seconds(deployment, "r6", "r5"), 5.0, fault)
            self.assertLess(self.acknowledgement_seconds(deployment, "r7", "r6"), 5.0, fault)

    def test_a_configuration_with_many_routes_and_services_is_read_back(self) -> None:
        deployment = Deployment(71, edges=1, servers=1).set_up()
        names = [f"service{number}" for number in range(60)]
        sent = valid_configuration(
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
            self.assertTrue(deployment.request(SAFE, "GET", "/many/2999/x", edge=edge).served)
        self.assertEqual(sent, deployment.read())
        self.assertEqual([], deployment.violations())
        for name in deployment.cores:
            deployment.kill(name, True)
        deployment.world.run(1)
        for name in deployment.cores:
            deployment.start(name)
        deployment.world.run(8)
        self.assertEqual(sent, deployment.read())

    def test_requests_over_the_limits_are_rejected(self) -> None:
        deployment = Deployment(72, edges=1, servers=1).set_up()
        limits = {**LIMITS, "header_bytes": 2000, "body_bytes": 5000}
        self.assertEqual(200, deployment.replace(valid_configuration("r6", limits=limits), "r5")[0])
        fine = deployment.request(UNSAFE, "POST", "/orders/1", bytes(5000))
        self.assertEqual(200, fine.status)
        self.assertEqual(413, deployment.request(UNSAFE, "POST", "/orders/2", bytes(5001)).status)
        wide = deployment.request(SAFE, "GET", "/plain/1", fields=[(b"X-Wide", b"a" * 2100)])
        self.assertEqual(431, wide.status)
        self.assertEqual(
            1, len([arrival for arrival in deployment.history if arrival.service == "desks"])
        )
