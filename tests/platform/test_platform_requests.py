"""Requests with the platform's header fields through edges to healthy and faulty servers."""

from collections import deque
from typing import Any

import testtools

from deployment import HOST, PLATFORM_FORMAT, Deployment, route, service_item
from ryelock.http import Reader, field, read_response
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE, AttemptRecord
from ryelock.testing.hosting_platform.checks import rate_violations, retry_violations

ONE_ZONE = {"a": "north"}
RETRY_SECONDS = 0.2


def one_server(seed: int) -> Deployment:
    """Return a deployment with one zone and one server per service."""
    return Deployment(seed, ONE_ZONE, edges=3, cores=3, servers=1).set_up()


def set_next_manners(deployment: Deployment, service: str, *following: Manner) -> None:
    """Set how a service's servers treat its next requests, whichever server gets them."""
    shared = deque(following)
    for instance in deployment.servers_of(service):
        instance.manners = shared


def set_manner(deployment: Deployment, service: str, manner: Manner) -> None:
    """Set how all servers of a service treat requests from now on."""
    for instance in deployment.servers_of(service):
        instance.manner = manner


class RequestTestCase(testtools.TestCase):
    def echo_all_identities(self, deployment: Deployment) -> None:
        """Let servers echo the identity of all requests, not only of those in records."""
        for service in deployment.services.values():
            service.echoes_identity = lambda _identity: True

    def post(self, deployment: Deployment, number: int = 1, **more: Any) -> AttemptRecord:
        return deployment.request(UNSAFE, "POST", f"/orders/{number}", b"body", **more)

    def get(self, deployment: Deployment, target: str = "/plain/1", **more: Any) -> AttemptRecord:
        return deployment.request(SAFE, "GET", target, **more)


class UnsafeRequestTests(RequestTestCase):
    """Requests that may be executed at most once."""

    def test_a_request_rejected_by_a_full_server_is_executed_once_by_another(self) -> None:
        deployment = Deployment(1).set_up()
        for number, edge in enumerate(deployment.edges):
            set_next_manners(deployment, "desks", Manner.FULL)
            record = self.post(deployment, number, edge=edge)
            self.assertEqual(200, record.status)
            arrivals = deployment.arrivals(record)
            self.assertEqual([503, 200], [arrival.status for arrival in arrivals])
            self.assertEqual(2, len({arrival.identifier for arrival in arrivals}))
            self.assertEqual(1, deployment.execution_count(record))
        self.assertEqual([], deployment.violations())

    def test_if_all_servers_are_full_the_client_gets_503_with_retry_after(self) -> None:
        deployment = Deployment(2).set_up()
        set_manner(deployment, "desks", Manner.FULL)
        for number in range(6):
            record = self.post(deployment, number)
            self.assertEqual(503, record.status)
            self.assertEqual(0, deployment.execution_count(record))
            retry_after = (record.field(b"Retry-After") or b"").decode()
            self.assertIn(".", retry_after)
            self.assertTrue(0 < float(retry_after) < 1, retry_after)
            self.assertLess(record.seconds, 0.5)

    def test_a_request_over_the_services_rate_is_not_retried_at_other_servers(self) -> None:
        deployment = Deployment(3).set_up()
        set_manner(deployment, "desks", Manner.LIMITED)
        record = self.post(deployment)
        self.assertIn(record.status, (429, 503))
        self.assertIn(b".", record.field(b"Retry-After") or b"")
        self.assertEqual(1, len(deployment.arrivals(record)))
        self.assertEqual(0, deployment.execution_count(record))

    def test_a_lost_response_becomes_502_or_504_without_a_retry(self) -> None:
        deployment = Deployment(4).set_up()
        for number in range(8):
            set_next_manners(deployment, "desks", Manner.LOST)
            record = self.post(deployment, number, attempts=4)
            self.assertIn(record.status, (502, 504))
            deployment.world.run(2)
            self.assertEqual(1, len(deployment.arrivals(record)))
            self.assertEqual(1, deployment.execution_count(record))
        self.assertEqual([], deployment.violations())

    def test_a_server_timeout_becomes_504_without_a_retry(self) -> None:
        deployment = Deployment(5).set_up()
        set_next_manners(deployment, "desks", Manner.HANGING)
        record = self.post(deployment, deadline=0.8)
        self.assertEqual(504, record.status)
        self.assertLess(record.seconds, 0.8)
        deployment.world.run(3)
        self.assertEqual(1, len(deployment.arrivals(record)))

    def test_failed_responses_never_become_a_status_for_not_executed(self) -> None:
        deployment = Deployment(6).set_up()
        for number, manner in enumerate(
            (Manner.WRONG, Manner.CUT, Manner.VAGUE, Manner.FAILING, Manner.UNSEALED)
        ):
            set_next_manners(deployment, "desks", manner)
            record = self.post(deployment, number, attempts=4)
            self.assertFalse(record.served, manner)
            self.assertNotIn(record.status, (408, 421, 429, 503), manner)
            deployment.world.run(2)
            self.assertEqual(1, len(deployment.arrivals(record)), manner)
        self.assertEqual([], deployment.violations())

    def test_a_500_response_is_forwarded(self) -> None:
        deployment = Deployment(7).set_up()
        set_next_manners(deployment, "desks", Manner.FAILING)
        record = self.post(deployment)
        self.assertEqual((500, b"broken\n"), (record.status, record.response_body))

    def test_a_request_on_a_closed_idle_connection_is_executed_at_most_once(self) -> None:
        """Servers close idle connections just when the next request is sent."""
        for seed in range(8, 12):
            deployment = one_server(seed)
            for instance in deployment.servers_of("desks"):
                instance.listener.limits.idle_seconds = 0.5
            for number in range(10):
                record = self.post(deployment, number, attempts=4)
                self.assertLessEqual(deployment.execution_count(record), 1)
                deployment.world.run(0.495 + 0.001 * number)
            self.assertEqual([], deployment.violations())

    def test_a_server_crash_during_a_request_becomes_502(self) -> None:
        deployment = Deployment(13, servers=1).set_up()
        deployment.services["desks"].work_seconds = 0.5
        client = deployment.client("one")
        records: list[AttemptRecord] = []

        async def send() -> None:
            records.append(
                await client.request(
                    UNSAFE,
                    "POST",
                    HOST,
                    "/orders/1",
                    b"body",
                    2.0,
                    None,
                    4,
                    deployment.edges[0],
                )
            )

        deployment.client_node.scheduler.create_task(send(), name="one")
        deployment.world.run(0.2)
        arrival = deployment.history[-1]
        deployment.platform.crash(deployment.servers[arrival.identifier])
        deployment.world.run(4)
        self.assertEqual(502, records[0].status)
        self.assertEqual(1, sum(arrival.ran for arrival in deployment.history))


class ResponseTests(RequestTestCase):
    """Faulty responses of servers and what clients get instead."""

    def test_a_duplicate_response_is_never_matched_to_the_next_request(self) -> None:
        for seed in range(21, 25):
            deployment = one_server(seed)
            for number in range(6):
                set_next_manners(deployment, "pages", Manner.TWIN)
                self.assertTrue(self.get(deployment, f"/plain/{number}").served)
                record = self.get(deployment, f"/plain/after-{number}")
                self.assertTrue(record.served)
                self.assertEqual([], deployment.violations())
            arrivals = deployment.history[-12:]
            self.assertLess(len({arrival.connection for arrival in arrivals}), 12)

    def test_a_duplicate_response_does_not_affect_the_next_unsafe_request(self) -> None:
        deployment = one_server(26)
        for number in range(6):
            set_next_manners(deployment, "desks", Manner.TWIN)
            self.assertTrue(self.post(deployment, number).served)
            record = self.post(deployment, 100 + number)
            self.assertTrue(record.served)
            self.assertEqual(1, deployment.execution_count(record))
        self.assertEqual([], deployment.violations())

    def test_a_success_without_a_seal_is_not_forwarded(self) -> None:
        deployment = one_server(27)
        set_manner(deployment, "pages", Manner.UNSEALED)
        for target in ("/plain/1", "/covers/1", "/covers/1"):
            record = self.get(deployment, target)
            self.assertFalse(record.served, target)
            self.assertIn(record.status, (502, 503), target)
            self.assertNotIn(b"OBJECT", record.response_body)
        self.assertEqual([], deployment.violations())

    def test_a_success_without_a_seal_is_retried_at_another_server(self) -> None:
        deployment = Deployment(28).set_up()
        for number, edge in enumerate(deployment.edges):
            set_next_manners(deployment, "pages", Manner.UNSEALED)
            record = self.get(deployment, f"/plain/{number}", edge=edge)
            self.assertTrue(record.served)
            self.assertEqual(2, len(deployment.arrivals(record)))
        self.assertEqual([], deployment.violations())

    def test_bytes_after_a_complete_response_do_not_affect_it(self) -> None:
        deployment = one_server(29)
        for number in range(5):
            set_next_manners(deployment, "pages", Manner.BEHIND)
            self.assertTrue(self.get(deployment, f"/plain/{number}").served)
            self.assertTrue(self.get(deployment, f"/plain/after-{number}").served)
            set_next_manners(deployment, "pages", Manner.BEHIND)
            self.assertTrue(self.get(deployment, f"/covers/{number}").served)
            set_next_manners(deployment, "desks", Manner.BEHIND)
            self.assertTrue(self.post(deployment, number).served)
            self.assertTrue(self.post(deployment, 100 + number).served)
        self.assertEqual([], deployment.violations())

    def test_bytes_after_a_long_response_do_not_affect_it(self) -> None:
        deployment = one_server(30)
        deployment.services["pages"].objects.size = 200_000
        set_next_manners(deployment, "pages", Manner.BEHIND)
        self.assertTrue(self.get(deployment, "/plain/long").served)
        self.assertTrue(self.get(deployment, "/plain/next").served)
        self.assertEqual([], deployment.violations())

    def test_a_truncated_response_never_looks_complete(self) -> None:
        deployment = one_server(31)
        for size in (600, 200_000):
            deployment.services["pages"].objects.size = size
            set_manner(deployment, "pages", Manner.CUT)
            for target in ("/plain/1", "/covers/1"):
                record = self.get(deployment, target)
                self.assertFalse(record.served, f"{target} of {size} bytes")
        self.assertEqual([], deployment.violations())

    def test_a_failed_response_to_a_safe_request_is_retried_at_another_server(self) -> None:
        deployment = Deployment(32).set_up()
        for number, manner in enumerate(
            (Manner.CUT, Manner.LOST, Manner.WRONG, Manner.FAILING, Manner.VAGUE, Manner.FULL)
        ):
            set_next_manners(deployment, "pages", manner)
            record = self.get(deployment, f"/plain/{number}", edge=deployment.edges[number])
            self.assertTrue(record.served, manner)
            self.assertEqual(2, len(deployment.arrivals(record)), manner)
        self.assertEqual([], deployment.violations())

    def test_servers_that_close_connections_cause_no_failed_request(self) -> None:
        deployment = one_server(33)
        set_manner(deployment, "pages", Manner.CLOSING)
        set_manner(deployment, "desks", Manner.CLOSING)
        for number in range(10):
            self.assertTrue(self.get(deployment, f"/plain/{number}").served)
            self.assertTrue(self.post(deployment, number).served)
        self.assertEqual([], deployment.violations())

    def test_connections_are_reused_only_within_the_servers_idle_timeout(self) -> None:
        deployment = one_server(34)
        for number in range(10):
            self.get(deployment, f"/plain/{number}")
        self.assertLess(len({arrival.connection for arrival in deployment.history}), 4)
        before = len(deployment.history)
        for number in range(4):
            deployment.world.run(deployment.services["pages"].idle_seconds - 0.01)
            self.assertTrue(self.post(deployment, number).served)
        arrivals = deployment.history[before:]
        self.assertEqual(len(arrivals), len({arrival.connection for arrival in arrivals}))

    def test_a_full_server_without_a_response_delays_no_request_past_its_deadline(self) -> None:
        deployment = Deployment(35).set_up()
        service = deployment.services["pages"]
        service.hangs, service.slots, service.queue, service.work_seconds = True, 1, 0, 0.3
        deployment.start_clients(12, 6.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
        deployment.world.run(6)
        deployment.clients_running = False
        deployment.world.run(3)
        self.assertTrue(
            all(record.seconds <= record.deadline + 0.1 for record in deployment.records)
        )
        self.assertEqual([], deployment.violations())


class ForwardingTests(RequestTestCase):
    """Forwarding of requests to servers: fields, deadlines, number of attempts."""

    def test_a_request_is_forwarded_unchanged_with_its_identity(self) -> None:
        deployment = Deployment(41).set_up()
        target = "/orders/%7Ea//b;c=1/?q=/plain/1&x=%20y"
        record = deployment.request(
            UNSAFE,
            "POST",
            target,
            b"\x00body\xff",
            fields=[(b"X-Custom", b"kept"), (b"Connection", b"X-Hop"), (b"X-Hop", b"gone")],
        )
        self.assertEqual(200, record.status)
        (arrival,) = deployment.arrivals(record)
        self.assertEqual(
            ("POST", target, b"\x00body\xff", HOST),
            (arrival.method, arrival.target, arrival.body, arrival.host),
        )
        self.assertEqual(arrival.identifier, arrival.expected)
        self.assertEqual([], deployment.violations())

    def test_every_attempt_names_the_expected_instance(self) -> None:
        deployment = Deployment(42).set_up()
        for number in range(12):
            self.get(deployment, f"/plain/{number}")
            self.post(deployment, number)
        self.assertGreater(len({arrival.identifier for arrival in deployment.history}), 3)
        for arrival in deployment.history:
            self.assertEqual(arrival.identifier, arrival.expected)

    def test_the_remaining_deadline_is_forwarded(self) -> None:
        deployment = Deployment(43).set_up()
        deployment.world.spikes = 0.0
        record = self.get(deployment, deadline=0.8)
        (arrival,) = deployment.arrivals(record)
        self.assertTrue(0.6 < arrival.deadline < 0.8, str(arrival.deadline))
        self.assertLessEqual(arrival.at + arrival.deadline, record.sent_at + 0.8)

    def test_a_retry_forwards_a_shorter_deadline(self) -> None:
        deployment = Deployment(44).set_up()
        deployment.services["pages"].work_seconds = 0.15
        set_next_manners(deployment, "pages", Manner.LOST)
        record = self.get(deployment, deadline=0.9)
        first, second = deployment.arrivals(record)
        self.assertTrue(record.served)
        self.assertLess(second.deadline, first.deadline - 0.09)

    def test_the_forwarded_deadline_is_capped_by_the_routes_timeout(self) -> None:
        deployment = Deployment(45).set_up()
        record = self.get(deployment, deadline=30.0)
        (arrival,) = deployment.arrivals(record)
        self.assertTrue(1.0 < arrival.deadline <= 1.5, str(arrival.deadline))

    def test_attempts_are_limited_by_the_route(self) -> None:
        for limit in (1, 2):
            deployment = Deployment(46)
            routes: Any = deployment.configuration["routes"]
            routes[2] = route("orders", "/orders/", UNSAFE, "desks", attempt_limit=limit)
            deployment.set_up()
            set_manner(deployment, "desks", Manner.FULL)
            record = self.post(deployment)
            self.assertEqual(limit, len(deployment.arrivals(record)))

    def test_an_edge_earns_retry_tokens_with_first_attempts(self) -> None:
        """Each first attempt earns a fraction of a token, up to the edge's part of the slack."""
        deployment = Deployment(48).set_up()
        for number in range(40):
            self.assertTrue(self.post(deployment, number).served)
        for number in range(4):
            set_next_manners(deployment, "desks", Manner.FULL)
            record = self.post(deployment, 100 + number)
            self.assertTrue(record.served, f"consecutive rejected request {number + 1}")
            self.assertEqual(2, len(deployment.arrivals(record)))

    def test_retry_tokens_of_all_edges_stay_within_the_slack(self) -> None:
        deployment = Deployment(49).set_up()
        self.assertEqual(
            200, deployment.replace({**deployment.configuration, "version": "r6"}, "r5")[0]
        )
        for number in range(600):
            self.post(deployment, number, edge=deployment.edges[number % 6])
        for number in range(20):
            for edge in deployment.edges:
                set_next_manners(deployment, "desks", Manner.FULL)
                self.post(deployment, 1000 + number, edge=edge)
        self.assertEqual(
            [],
            retry_violations(
                deployment.records, deployment.history, "desks", deployment.allowed_services
            ),
        )
        self.assertEqual([], deployment.violations())

    def test_a_chunked_request_body_is_forwarded_completely(self) -> None:
        deployment = Deployment(47).set_up()
        self.echo_all_identities(deployment)
        body = bytes(range(256)) * 1000
        node, front = deployment.client_node, deployment.entrance.fronts[deployment.edges[0]]
        statuses: list[int] = []

        async def send() -> None:
            connection = node.network.connect(front)
            await connection.wait_connected(1.0)
            connection.write(
                b"POST /orders/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nAttempt-Id: x1"
                b"\r\nDeadline-Remaining: 5000\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for start in range(0, len(body), 10_000):
                chunk = body[start : start + 10_000]
                connection.write(b"%x\r\n" % len(chunk) + chunk + b"\r\n")
            connection.write(b"0\r\n\r\n")
            reader = Reader(node.scheduler, connection)
            response = await read_response(reader, b"POST", 65_536, node.scheduler.now() + 5)
            statuses.append(response.ok.head.status)
            connection.close()

        node.scheduler.create_task(send(), name="chunks")
        deployment.world.run(4)
        self.assertEqual([200], statuses)
        (arrival,) = [arrival for arrival in deployment.history if arrival.identity == "x1"]
        self.assertEqual(body, arrival.body)


class RouteTests(RequestTestCase):
    """Routing of requests to services."""

    def test_a_request_without_a_route_gets_404_and_is_not_forwarded(self) -> None:
        deployment = Deployment(51).set_up()
        before = len(deployment.history)
        for host, target in (
            (HOST, "/"),
            (HOST, "/none/1"),
            (HOST, "/plainer/1"),
            ("other.example", "/plain/1"),
            (HOST, "/PLAIN/1"),
            (HOST, "/x/plain/1"),
            (HOST, "/none?/plain/1"),
        ):
            for method, kind in (("GET", SAFE), ("POST", UNSAFE)):
                record = deployment.request(kind, method, target, host=host, attempts=4)
                self.assertEqual(404, record.status, f"{host} {target}")
        self.assertEqual(before, len(deployment.history))

    def test_a_path_without_the_prefixs_trailing_slash_has_no_route(self) -> None:
        deployment = Deployment(52).set_up()
        for target in ("/plain", "/plain?x=1"):
            record = self.get(deployment, target)
            self.assertEqual(404, record.status, target)
            self.assertEqual([], deployment.arrivals(record))

    def test_a_shorter_prefix_matches_if_the_longer_one_does_not(self) -> None:
        deployment = Deployment(57, services=("one", "two"))
        deployment.configuration["routes"] = [
            route("all", "/", service="one"),
            route("long", "/a/", service="two"),
        ]
        deployment.set_up()
        record = self.get(deployment, "/a")
        self.assertEqual(["one"], [arrival.service for arrival in deployment.arrivals(record)])

    def test_the_longest_matching_prefix_wins(self) -> None:
        deployment = Deployment(53, services=("one", "two", "three"))
        deployment.configuration["routes"] = [
            route("all", "/", service="one"),
            route("long", "/a/b/", service="three"),
            route("short", "/a/", service="two"),
            {**route("other", "/a/b/", service="one"), "host": "other.example"},
        ]
        deployment.set_up()
        for target, service in (
            ("/", "one"),
            ("/x", "one"),
            ("/a/", "two"),
            ("/a/x/b/", "two"),
            ("/a/b/", "three"),
            ("/a/b/c/d", "three"),
            ("/ab/", "one"),
            ("/a/bc", "two"),
            ("//a/", "one"),
        ):
            record = self.get(deployment, target)
            self.assertEqual(
                [service], [arrival.service for arrival in deployment.arrivals(record)], target
            )
        record = deployment.request(SAFE, "GET", "/a/b/c", host="other.example")
        self.assertEqual(["one"], [arrival.service for arrival in deployment.arrivals(record)])
        self.assertEqual([], deployment.violations())

    def test_hosts_match_regardless_of_case_and_port(self) -> None:
        deployment = Deployment(54).set_up()
        for host in (HOST.upper(), f"{HOST}:80"):
            self.assertEqual(
                200, deployment.request(SAFE, "GET", "/plain/1", host=host).status, host
            )

    def test_a_split_follows_its_weights(self) -> None:
        deployment = Deployment(55, services=("pages", "desks", "idle"))
        routes: Any = deployment.configuration["routes"]
        routes[0] = route(
            "plain",
            "/plain/",
            weighted_split=[
                {"service": "pages", "weight": 80},
                {"service": "idle", "weight": 0},
                {"service": "desks", "weight": 20},
            ],
        )
        deployment.set_up()
        for number in range(400):
            self.assertTrue(
                self.get(
                    deployment, f"/plain/{number}", attempts=4, edge=deployment.edges[number % 6]
                ).served
            )
        counts = {
            name: sum(arrival.ran and arrival.service == name for arrival in deployment.history)
            for name in deployment.services
        }
        self.assertEqual(0, counts["idle"])
        self.assertTrue(0.13 < counts["desks"] / 400 < 0.28, str(counts))
        self.assertEqual([], deployment.violations())

    def test_requests_follow_a_route_to_its_new_service(self) -> None:
        deployment = Deployment(56).set_up()
        deployment.start_clients(12, 8.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
        deployment.world.run(3)
        moved = route("plain", "/plain/", service="desks")
        self.assertEqual(
            200, deployment.amend({"version": "r6", "upsert": {"routes": [moved]}}, "r5")[0]
        )
        acknowledged = deployment.world.time
        deployment.world.run(5)
        old = [
            arrival
            for arrival in deployment.history
            if arrival.service == "pages" and arrival.at > acknowledged + 2.5
        ]
        self.assertEqual([], old)
        recent = [record for record in deployment.records if record.sent_at > acknowledged + 0.5]
        self.assertGreater(sum(record.served for record in recent), 0.98 * len(recent))


class CacheTests(RequestTestCase):
    """Caches of edges: ranges, purges, lifetimes, peers."""

    def revision(self, record: AttemptRecord) -> int:
        """Return the revision of the object in a response."""
        self.assertTrue(record.served, f"{record.status} {record.ending}")
        return int((record.field(PLATFORM_FORMAT.profile.seal) or b"").partition(b".")[0])

    def warm_caches(self, deployment: Deployment, *targets: str) -> None:
        """Request objects from every edge."""
        for target in targets:
            for edge in deployment.edges:
                deployment.request(CACHEABLE, "GET", target, edge=edge)

    def served_revisions(self, deployment: Deployment, target: str) -> set[int]:
        """Return the revisions of an object that the edges serve."""
        return {
            self.revision(deployment.request(CACHEABLE, "GET", target, edge=edge))
            for edge in deployment.edges
        }

    def change_objects(self, deployment: Deployment, *targets: str) -> None:
        """Give objects a new revision at their service."""
        for target in targets:
            deployment.services["pages"].objects.change(target, deployment.world.time)

    def test_a_cached_response_has_the_identity_of_its_own_request(self) -> None:
        deployment = Deployment(61).set_up()
        first = deployment.request(CACHEABLE, "GET", "/covers/1")
        again = deployment.request(CACHEABLE, "GET", "/covers/1")
        self.assertEqual(
            1, len([arrival for arrival in deployment.history if arrival.target == "/covers/1"])
        )
        self.assertEqual(first.response_body, again.response_body)
        self.assertNotEqual(first.identity, again.identity)
        self.assertEqual([], deployment.violations())

    def test_a_purge_by_path_takes_effect_at_every_edge(self) -> None:
        deployment = Deployment(62).set_up()
        targets = ("/covers/1", "/covers/2")
        self.warm_caches(deployment, *targets)
        self.change_objects(deployment, *targets)
        self.assertEqual({0}, self.served_revisions(deployment, "/covers/1"))
        self.assertEqual(200, deployment.purge(host=HOST, path="/covers/1"))
        self.assertEqual({1}, self.served_revisions(deployment, "/covers/1"))
        self.assertEqual({0}, self.served_revisions(deployment, "/covers/2"))
        self.assertEqual([], deployment.violations())

    def test_a_purge_by_label_takes_effect_at_every_edge(self) -> None:
        deployment = Deployment(63).set_up()
        routes: Any = deployment.configuration["routes"]
        routes.append(route("rest", "/rest/", CACHEABLE))
        self.assertEqual(
            200, deployment.replace({**deployment.configuration, "version": "r6"}, "r5")[0]
        )
        targets = ("/covers/1", "/covers/2", "/rest/1")
        self.warm_caches(deployment, *targets)
        self.change_objects(deployment, *targets)
        self.assertEqual(200, deployment.purge(label="shelf-covers"))
        self.assertEqual({1}, self.served_revisions(deployment, "/covers/1"))
        self.assertEqual({1}, self.served_revisions(deployment, "/covers/2"))
        self.assertEqual({0}, self.served_revisions(deployment, "/rest/1"))
        self.assertEqual(200, deployment.purge(label="own-rest-1"))
        self.assertEqual({1}, self.served_revisions(deployment, "/rest/1"))

    def test_a_purge_of_another_host_or_label_changes_nothing(self) -> None:
        deployment = Deployment(64).set_up()
        self.warm_caches(deployment, "/covers/1")
        self.change_objects(deployment, "/covers/1")
        self.assertEqual(200, deployment.purge(host="other.example", path="/covers/1"))
        self.assertEqual(200, deployment.purge(label="shelf"))
        self.assertEqual({0}, self.served_revisions(deployment, "/covers/1"))

    def test_a_purge_by_path_with_a_query_takes_effect(self) -> None:
        deployment = Deployment(65).set_up()
        self.warm_caches(deployment, "/covers/1?x=1")
        self.change_objects(deployment, "/covers/1?x=1")
        self.assertEqual(200, deployment.purge(host=HOST, path="/covers/1?x=1"))
        self.assertEqual({1}, self.served_revisions(deployment, "/covers/1?x=1"))

    def test_no_purged_object_is_served_while_clients_refill_caches(self) -> None:
        for seed in (66, 67, 661):
            deployment = Deployment(seed, edges=3).set_up()
            deployment.start_clients(
                12, 12.0, lambda number: (CACHEABLE, "GET", f"/covers/{number % 6}")
            )
            purged: list[tuple[float, str, int]] = []
            for turn in range(12):
                deployment.world.run(0.4)
                target = f"/covers/{turn % 6}"
                self.change_objects(deployment, target)
                revision = deployment.services["pages"].objects.revision(target)
                scope = (
                    {"label": f"own-covers-{turn % 6}"}
                    if turn % 2
                    else {"host": HOST, "path": target}
                )
                self.assertEqual(200, deployment.purge(**scope))
                purged.append((deployment.world.time, target, revision))
            deployment.world.run(3)
            deployment.clients_running = False
            deployment.world.run(2)
            for purged_at, target, revision in purged:
                for record in deployment.records:
                    if record.target == target and record.sent_at > purged_at and record.served:
                        self.assertGreaterEqual(self.revision(record), revision, f"seed {seed}")
            self.assertEqual([], deployment.violations())

    def test_a_cached_object_expires_after_its_routes_lifetime(self) -> None:
        deployment = Deployment(68)
        routes: Any = deployment.configuration["routes"]
        routes[1] = route("covers", "/covers/", CACHEABLE, cache_lifetime_s=2.0)
        deployment.set_up()
        self.warm_caches(deployment, "/covers/1")
        self.change_objects(deployment, "/covers/1")
        self.assertEqual({0}, self.served_revisions(deployment, "/covers/1"))
        deployment.world.run(2.1)
        self.assertEqual({1}, self.served_revisions(deployment, "/covers/1"))

    def test_an_object_fetched_from_another_edge_keeps_its_expiry(self) -> None:
        for seed in (75, 76):
            deployment = Deployment(seed, edges=3)
            routes: Any = deployment.configuration["routes"]
            routes[1] = route("covers", "/covers/", CACHEABLE, cache_lifetime_s=2.0)
            deployment.set_up()
            deployment.start_clients(
                18, 8.0, lambda number: (CACHEABLE, "GET", f"/covers/{number % 6}")
            )
            replaced: dict[tuple[str, int], float] = {}
            for turn in range(30):
                deployment.world.run(0.3)
                target = f"/covers/{turn % 6}"
                revision = deployment.services["pages"].objects.revision(target)
                replaced[target, revision] = deployment.world.time
                self.change_objects(deployment, target)
            deployment.clients_running = False
            deployment.world.run(2)
            served = [record for record in deployment.records if record.served]
            self.assertGreater(len(served), 500)
            for record in served:
                replaced_at = replaced.get((record.target, self.revision(record)), 1e9)
                self.assertLess(
                    record.sent_at, replaced_at + 2.0 + 0.7, f"seed {seed} {record.identity}"
                )
            self.assertEqual([], deployment.violations())

    def test_an_expired_unchanged_object_is_revalidated(self) -> None:
        deployment = Deployment(69)
        routes: Any = deployment.configuration["routes"]
        routes[1] = route("covers", "/covers/", CACHEABLE, cache_lifetime_s=2.0)
        deployment.set_up()
        self.warm_caches(deployment, "/covers/1")
        deployment.world.run(2.1)
        before = len(deployment.history)
        self.assertEqual({0}, self.served_revisions(deployment, "/covers/1"))
        self.assertIn(304, [arrival.status for arrival in deployment.history[before:]])
        self.assertEqual([], deployment.violations())

    def test_ranges_are_served_from_the_cache(self) -> None:
        deployment = one_server(70)
        complete = deployment.request(CACHEABLE, "GET", "/covers/1")
        size = len(complete.response_body)
        before = len(deployment.history)
        for byte_range, start, end in (
            (b"bytes=0-9", 0, 10),
            (b"bytes=100-", 100, size),
            (b"bytes=5-5", 5, 6),
            (b"bytes=10-100000", 10, size),
        ):
            record = deployment.request(
                CACHEABLE, "GET", "/covers/1", fields=[(b"Range", byte_range)]
            )
            self.assertEqual(206, record.status, str(byte_range))
            self.assertEqual(complete.response_body[start:end], record.response_body)
            self.assertEqual(
                b"bytes %d-%d/%d" % (start, end - 1, size), record.field(b"Content-Range")
            )
        beyond = deployment.request(
            CACHEABLE, "GET", "/covers/1", fields=[(b"Range", b"bytes=%d-" % size)]
        )
        self.assertEqual(416, beyond.status)
        self.assertEqual(before, len(deployment.history))
        self.assertEqual([], deployment.violations())

    def test_a_range_of_an_uncached_object_is_sealed(self) -> None:
        deployment = one_server(71)
        record = deployment.request(
            CACHEABLE, "GET", "/covers/1", fields=[(b"Range", b"bytes=20-39")]
        )
        self.assertEqual((206, 20), (record.status, len(record.response_body)))
        self.assertTrue(deployment.request(CACHEABLE, "GET", "/covers/1").served)
        self.assertEqual([], deployment.violations())

    def test_if_none_match_with_the_current_etag_gets_304(self) -> None:
        deployment = one_server(72)
        first = deployment.request(CACHEABLE, "GET", "/covers/1")
        tag = first.field(b"ETag") or b""
        record = deployment.request(CACHEABLE, "GET", "/covers/1", fields=[(b"If-None-Match", tag)])
        self.assertEqual((304, b""), (record.status, record.response_body))
        other = deployment.request(
            CACHEABLE, "GET", "/covers/1", fields=[(b"If-None-Match", b'"x"')]
        )
        self.assertTrue(other.served)

    def test_a_moved_route_serves_no_cached_objects_of_its_former_service(self) -> None:
        deployment = Deployment(73).set_up()
        self.warm_caches(deployment, "/covers/1")
        moved = route("covers", "/covers/", CACHEABLE, "desks")
        self.assertEqual(
            200, deployment.amend({"version": "r6", "upsert": {"routes": [moved]}}, "r5")[0]
        )
        for edge in deployment.edges:
            record = deployment.request(CACHEABLE, "GET", "/covers/1", edge=edge)
            self.assertTrue(record.response_body.startswith(b"OBJECT desks "))

    def partition_edge(self, deployment: Deployment, seconds: float) -> str:
        """Cut an edge off from the control nodes, not from peers and servers; return its name."""
        machines = {name.rpartition(".")[0] for name in deployment.cores}
        edge = next(name for name in deployment.edges if name.rpartition(".")[0] not in machines)
        for machine in machines:
            deployment.world.cut(edge.rpartition(".")[0], machine)
        deployment.world.run(seconds)
        return edge

    def test_an_isolated_peer_supplies_no_objects_of_a_routes_former_service(self) -> None:
        for seed, seconds in ((77, 0.0), (770, 0.5), (771, 1.5), (772, 3.0)):
            deployment = Deployment(seed, edges=4).set_up()
            targets = [f"/covers/{number}" for number in range(12)]
            self.warm_caches(deployment, *targets)
            partitioned = self.partition_edge(deployment, seconds)
            moved = route("covers", "/covers/", CACHEABLE, "desks")
            self.assertEqual(
                200, deployment.amend({"version": "r6", "upsert": {"routes": [moved]}}, "r5")[0]
            )
            for target in targets:
                for edge in deployment.edges:
                    if edge != partitioned:
                        record = deployment.request(CACHEABLE, "GET", target, edge=edge)
                        self.assertTrue(
                            record.response_body.startswith(b"OBJECT desks "),
                            f"{seconds} s: {edge} {record.response_body[:40]!r}",
                        )

    def test_an_isolated_peer_supplies_no_purged_objects(self) -> None:
        for seed, seconds in ((78, 0.0), (780, 0.5), (781, 1.5), (782, 3.0)):
            deployment = Deployment(seed, edges=4).set_up()
            targets = [f"/covers/{number}" for number in range(12)]
            self.warm_caches(deployment, *targets)
            partitioned = self.partition_edge(deployment, seconds)
            self.change_objects(deployment, *targets)
            self.assertEqual(200, deployment.purge(label="shelf-covers"))
            for target in targets:
                for edge in deployment.edges:
                    if edge != partitioned:
                        record = self.request_until_served(deployment, target, edge)
                        self.assertEqual(1, self.revision(record), f"{seconds} s: {edge}")

    def request_until_served(self, deployment: Deployment, target: str, edge: str) -> AttemptRecord:
        """Request an object, and once more if the edge refuses for want of a retry budget."""
        record = deployment.request(CACHEABLE, "GET", target, edge=edge)
        if record.status == 503 and record.field(b"retry-after") is not None:
            self.assertEqual([], deployment.arrivals(record))
            deployment.world.run(RETRY_SECONDS)
            record = deployment.request(CACHEABLE, "GET", target, edge=edge)
        return record

    def test_a_frozen_peer_does_not_fail_requests(self) -> None:
        deployment = Deployment(79, edges=3).set_up()
        deployment.world.freeze(deployment.edges[1], True)
        for number in range(12):
            for edge in (deployment.edges[0], deployment.edges[2]):
                self.assertTrue(
                    deployment.request(
                        CACHEABLE, "GET", f"/covers/{number}", edge=edge, deadline=0.8
                    ).served
                )
        self.assertEqual([], deployment.violations())

    def test_concurrent_requests_for_an_object_are_coalesced(self) -> None:
        deployment = one_server(74)
        deployment.services["pages"].work_seconds = 0.2
        client = [deployment.client(f"many{number}") for number in range(20)]
        for one in client:
            deployment.client_node.scheduler.create_task(
                self.fetch_cover(one, deployment.edges[0]), name="many"
            )
        deployment.world.run(3)
        self.assertEqual(20, sum(record.served for record in deployment.records))
        self.assertEqual(1, sum(len(deployment.arrivals(record)) for record in deployment.records))
        self.assertEqual([], deployment.violations())

    async def fetch_cover(self, client: Any, edge: str) -> None:
        await client.request(CACHEABLE, "GET", HOST, "/covers/1", b"", 1.0, None, 1, edge)


class ConfigurationChangeTests(RequestTestCase):
    """Changes of the configuration while requests are in flight."""

    def test_requests_in_flight_during_a_configuration_change_are_answered(self) -> None:
        """The index of their route in the new table belongs to another route or to none."""
        deployment = Deployment(98).set_up()
        deployment.services["pages"].work_seconds = 0.4
        for number, kind in enumerate((CACHEABLE, SAFE)):
            client = deployment.client(f"midway{number}")
            target = "/covers/9" if kind == CACHEABLE else "/plain/9"
            deployment.client_node.scheduler.create_task(
                self.send_request(client, kind, target, deployment.edges[0]), name="midway"
            )
        deployment.world.run(0.1)
        routes = [route("a-only", "/only/", SAFE, "desks")]
        changed = {**deployment.configuration, "routes": routes, "version": "r90"}
        self.assertEqual(200, deployment.replace(changed, "r5")[0])
        set_manner(deployment, "pages", Manner.FULL)
        deployment.world.run(3)
        self.assertEqual(2, len(deployment.records))
        for record in deployment.records:
            self.assertIn(record.status, (200, 502, 503, 504))
        self.assertEqual([], deployment.world.faults)

    async def send_request(self, client: Any, kind: str, target: str, edge: str) -> None:
        await client.request(kind, "GET", HOST, target, b"", 2.0, None, 1, edge)


class LoadTests(RequestTestCase):
    """Rates, retry budgets, overload, recovery and shutdown."""

    def test_a_services_rate_limit_is_kept(self) -> None:
        for seed in (81, 82):
            deployment = Deployment(seed)
            deployment.services["desks"].rate = 40
            services: Any = deployment.configuration["services"]
            services[1] = service_item("desks", rate_per_s=40.0)
            deployment.set_up()
            deployment.start_clients(24, 10.0, lambda number: (UNSAFE, "POST", f"/orders/{number}"))
            deployment.world.run(15)
            deployment.clients_running = False
            deployment.world.run(3)
            self.assertEqual([], rate_violations(deployment.history, "desks", 40.0))
            ran = sum(arrival.ran for arrival in deployment.history)
            self.assertGreater(ran, 0.7 * 40 * 15, f"seed {seed}")
            for record in deployment.records:
                if record.status in (429, 503):
                    self.assertLess(float(record.field(b"Retry-After") or b"9"), 1)
            self.assertEqual([], deployment.violations())

    def test_retries_to_a_failing_service_stay_within_the_budget(self) -> None:
        for seed, manner in (
            (83, Manner.FAILING),
            (84, Manner.LOST),
            (85, Manner.FULL),
            (86, Manner.WRONG),
        ):
            deployment = Deployment(seed).set_up()
            deployment.start_clients(24, 8.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
            deployment.world.run(5)
            set_manner(deployment, "pages", manner)
            deployment.world.run(15)
            deployment.clients_running = False
            deployment.world.run(3)
            self.assertEqual(
                [],
                retry_violations(
                    deployment.records, deployment.history, "pages", deployment.allowed_services
                ),
                manner,
            )
            self.assertEqual([], deployment.violations())

    def test_a_recovered_service_is_served(self) -> None:
        deployment = Deployment(87).set_up()
        deployment.start_clients(12, 6.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
        deployment.world.run(3)
        set_manner(deployment, "pages", Manner.LOST)
        deployment.world.run(10)
        set_manner(deployment, "pages", Manner.WHOLE)
        deployment.world.run(5)
        since = deployment.world.time
        deployment.world.run(4)
        recent = [record for record in deployment.records if record.sent_at > since]
        self.assertGreater(len(recent), 100)
        self.assertGreater(sum(record.served for record in recent), 0.95 * len(recent))

    def test_a_recovered_single_server_is_served(self) -> None:
        """Also if the last attempt to probe it was refused by the retry budget."""
        for manner in (Manner.UNSEALED, Manner.LOST, Manner.FAILING, Manner.WRONG):
            deployment = one_server(91)
            set_manner(deployment, "pages", manner)
            for number in range(4):
                self.get(deployment, f"/plain/{number}")
            set_manner(deployment, "pages", Manner.WHOLE)
            deployment.world.run(12)
            served = 0
            for number in range(6):
                served += self.get(deployment, f"/plain/again-{number}").served
                deployment.world.run(1)
            self.assertGreater(served, 3, manner)

    def test_a_recovered_single_server_serves_concurrent_clients(self) -> None:
        for seed in (92, 93):
            deployment = one_server(seed)
            deployment.start_clients(9, 4.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
            deployment.world.run(3)
            set_manner(deployment, "pages", Manner.LOST)
            deployment.world.run(10)
            set_manner(deployment, "pages", Manner.WHOLE)
            deployment.world.run(12)
            since = deployment.world.time
            deployment.world.run(4)
            recent = [record for record in deployment.records if record.sent_at > since]
            self.assertGreater(
                sum(record.served for record in recent), 0.95 * len(recent), f"{seed}"
            )

    def test_a_service_at_twice_its_capacity_keeps_most_of_its_throughput(self) -> None:
        for seed, kind, method, path, name in (
            (96, SAFE, "GET", "/plain/", "pages"),
            (97, UNSAFE, "POST", "/orders/", "desks"),
        ):
            deployment = Deployment(seed).set_up()
            service = deployment.services[name]
            service.work_seconds, service.slots, service.queue = 0.2, 2, 1
            capacity = len(deployment.servers_of(name)) * service.slots / service.work_seconds

            def draw_request(
                number: int, kind: str = kind, method: str = method, path: str = path
            ) -> tuple[str, str, str]:
                return kind, method, f"{path}{number}"

            deployment.start_clients(60, 2 * capacity / 60, draw_request)
            deployment.world.run(3)
            since = deployment.world.time
            deployment.world.run(8)
            last = {
                record.request_name: record
                for record in deployment.records
                if record.sent_at > since
            }
            self.assertGreater(sum(record.served for record in last.values()) / 8, 0.75 * capacity)
            self.assertEqual(
                [],
                retry_violations(
                    deployment.records, deployment.history, name, deployment.allowed_services
                ),
            )
            self.assertEqual([], deployment.violations())

    def test_requests_with_short_deadlines_do_not_eject_healthy_servers(self) -> None:
        deployment = Deployment(94).set_up()
        for service in deployment.services.values():
            service.work_seconds = 0.1
        for number in range(40):
            self.get(deployment, f"/plain/short-{number}", deadline=0.06)
            self.post(deployment, number, deadline=0.06)
        for number in range(5):
            self.assertTrue(self.get(deployment, f"/plain/{number}").served)
            self.assertTrue(self.post(deployment, 100 + number).served)
        self.assertEqual([], deployment.violations())

    def test_cancelled_requests_do_not_eject_healthy_servers(self) -> None:
        deployment = Deployment(95).set_up()
        self.echo_all_identities(deployment)
        node, front = deployment.client_node, deployment.entrance.fronts[deployment.edges[0]]

        async def cancel_request(number: int) -> None:
            connection = node.network.connect(front)
            await connection.wait_connected(1.0)
            connection.write(
                b"GET /plain/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: left-%d\r\n"
                b"Deadline-Remaining: 800\r\n\r\n" % (number, HOST.encode(), number)
            )
            await node.scheduler.sleep(0.0001 * (number % 40))
            connection.abort()

        for number in range(200):
            node.scheduler.create_task(cancel_request(number), name="leaves")
            if number % 20 == 19:
                deployment.world.run(0.01)
        deployment.world.run(0.05)
        for number in range(5):
            self.assertTrue(self.get(deployment, f"/plain/stays-{number}").served)

    def test_a_stopping_edge_completes_all_responses(self) -> None:
        deployment = Deployment(88).set_up()
        deployment.services["desks"].work_seconds = 0.2
        deployment.start_clients(
            18,
            6.0,
            lambda number: (
                (SAFE, "GET", f"/plain/{number}")
                if number % 2
                else (UNSAFE, "POST", f"/orders/{number}")
            ),
        )
        deployment.world.run(3)
        name = deployment.edges[0]
        node = deployment.node(name)
        node.scheduler.create_task(node.traffic.stop(), name="stop")
        deployment.world.run(6)
        deployment.kill(name)
        deployment.clients_running = False
        deployment.world.run(3)
        lost = [
            record
            for record in deployment.records
            if not record.complete and record.ending != "no link"
        ]
        self.assertEqual([], [(record.sent_at, record.ending) for record in lost])
        self.assertEqual([], deployment.violations())

    def test_a_stopping_edge_is_not_ready_while_it_still_serves(self) -> None:
        deployment = Deployment(89).set_up()
        name = deployment.edges[0]
        node = deployment.node(name)
        self.assertEqual(200, self.readiness(deployment, name))
        node.scheduler.create_task(node.traffic.stop(), name="stop")
        deployment.world.run(0.1)
        self.assertEqual(503, self.readiness(deployment, name))
        self.assertTrue(self.get(deployment, edge=name).served)

    def readiness(self, deployment: Deployment, name: str) -> int:
        client = deployment.client("asks")
        client.entrance.fronts["readiness"] = deployment.entrance.readiness[name]
        return deployment.request(SAFE, "GET", "/readiness", edge="readiness", client=client).status

    def test_responses_created_by_an_edge_have_the_requests_identity(self) -> None:
        deployment = Deployment(90).set_up()
        set_manner(deployment, "desks", Manner.FULL)
        for record in (self.post(deployment), self.get(deployment, "/none/")):
            self.assertEqual(record.identity.encode(), field(record.fields, b"attempt-id"))
