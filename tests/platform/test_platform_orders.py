"""Orders through simulated edges in the platform's words, against servers of every manner."""

from collections import deque
from typing import Any

import testtools

from deployment import HOST, PLATFORM_FORMAT, Deployment, route, service_item
from ryelock.http import Reader, field, read_response
from ryelock.testing.hosting_platform import Manner
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE, AttemptRecord
from ryelock.testing.hosting_platform.checks import rate_violations, retry_violations

ONE_ZONE = {"a": "north"}


def one_server(seed: int) -> Deployment:
    """One zone with one edge that callers use, and one server of each service."""
    return Deployment(seed, ONE_ZONE, edges=3, cores=3, servers=1).set_up()


def manners(deployment: Deployment, service: str, *following: Manner) -> None:
    """The manners in which the next orders of a service are taken, whatever server they reach."""
    shared = deque(following)
    for instance in deployment.of_service(service):
        instance.manners = shared


def always(deployment: Deployment, service: str, manner: Manner) -> None:
    for instance in deployment.of_service(service):
        instance.manner = manner


class Orders(testtools.TestCase):
    def repeat_all(self, deployment: Deployment) -> None:
        """For orders that are written by hand and stand in no caller's notes."""
        for service in deployment.services.values():
            service.echoes_identity = lambda _identity: True

    def post(self, deployment: Deployment, number: int = 1, **more: Any) -> AttemptRecord:
        return deployment.ask(UNSAFE, "POST", f"/orders/{number}", b"body", **more)

    def get(self, deployment: Deployment, target: str = "/plain/1", **more: Any) -> AttemptRecord:
        return deployment.ask(SAFE, "GET", target, **more)


class OnceTests(Orders):
    """Orders that may run at most once."""

    def test_an_order_that_a_full_server_declined_runs_once_at_another(self) -> None:
        deployment = Deployment(1).set_up()
        for number, edge in enumerate(deployment.edges):
            manners(deployment, "desks", Manner.FULL)
            note = self.post(deployment, number, edge=edge)
            self.assertEqual(200, note.status)
            arrivals = deployment.arrivals(note)
            self.assertEqual([503, 200], [arrival.status for arrival in arrivals])
            self.assertEqual(2, len({arrival.identifier for arrival in arrivals}))
            self.assertEqual(1, deployment.runs(note))
        self.assertEqual([], deployment.broken())

    def test_where_all_servers_are_full_the_caller_is_told_when_to_come_back(self) -> None:
        deployment = Deployment(2).set_up()
        always(deployment, "desks", Manner.FULL)
        for number in range(6):
            note = self.post(deployment, number)
            self.assertEqual(503, note.status)
            self.assertEqual(0, deployment.runs(note))
            back = (note.field(b"Retry-After") or b"").decode()
            self.assertIn(".", back)
            self.assertTrue(0 < float(back) < 1, back)
            self.assertLess(note.seconds, 0.5)

    def test_an_order_over_the_services_rate_is_not_sent_to_one_server_after_another(self) -> None:
        deployment = Deployment(3).set_up()
        always(deployment, "desks", Manner.LIMITED)
        note = self.post(deployment)
        self.assertIn(note.status, (429, 503))
        self.assertIn(b".", note.field(b"Retry-After") or b"")
        self.assertEqual(1, len(deployment.arrivals(note)))
        self.assertEqual(0, deployment.runs(note))

    def test_a_lost_answer_is_told_as_502_and_the_order_is_never_sent_again(self) -> None:
        deployment = Deployment(4).set_up()
        for number in range(8):
            manners(deployment, "desks", Manner.LOST)
            note = self.post(deployment, number, tries=4)
            self.assertIn(note.status, (502, 504))
            deployment.world.run(2)
            self.assertEqual(1, len(deployment.arrivals(note)))
            self.assertEqual(1, deployment.runs(note))
        self.assertEqual([], deployment.broken())

    def test_a_server_that_says_nothing_is_told_as_504_and_the_order_not_sent_again(self) -> None:
        deployment = Deployment(5).set_up()
        manners(deployment, "desks", Manner.HANGING)
        note = self.post(deployment, deadline=0.8)
        self.assertEqual(504, note.status)
        self.assertLess(note.seconds, 0.8)
        deployment.world.run(3)
        self.assertEqual(1, len(deployment.arrivals(note)))

    def test_garbage_cuts_and_failures_are_never_told_as_a_promise(self) -> None:
        deployment = Deployment(6).set_up()
        for number, manner in enumerate(
            (Manner.WRONG, Manner.CUT, Manner.VAGUE, Manner.FAILING, Manner.UNSEALED)
        ):
            manners(deployment, "desks", manner)
            note = self.post(deployment, number, tries=4)
            self.assertFalse(note.served, manner)
            self.assertNotIn(note.status, (408, 421, 429, 503), manner)
            deployment.world.run(2)
            self.assertEqual(1, len(deployment.arrivals(note)), manner)
        self.assertEqual([], deployment.broken())

    def test_a_servers_own_failure_is_passed_on(self) -> None:
        deployment = Deployment(7).set_up()
        manners(deployment, "desks", Manner.FAILING)
        note = self.post(deployment)
        self.assertEqual((500, b"broken\n"), (note.status, note.response_body))

    def test_an_order_whose_reused_link_was_closed_is_served_or_told_as_unknown(self) -> None:
        """Servers close idle links just when the next order is sent."""
        for seed in range(8, 12):
            deployment = one_server(seed)
            for instance in deployment.of_service("desks"):
                instance.listener.limits.idle_seconds = 0.5
            for number in range(10):
                note = self.post(deployment, number, tries=4)
                self.assertLessEqual(deployment.runs(note), 1)
                deployment.world.run(0.495 + 0.001 * number)
            self.assertEqual([], deployment.broken())

    def test_a_killed_server_in_the_middle_costs_at_most_a_502(self) -> None:
        deployment = Deployment(13, servers=1).set_up()
        deployment.services["desks"].work_seconds = 0.5
        client = deployment.client("one")
        notes: list[AttemptRecord] = []

        async def send() -> None:
            notes.append(
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

        deployment.outside.scheduler.create_task(send(), name="one")
        deployment.world.run(0.2)
        arrival = deployment.history[-1]
        deployment.platform.crash(deployment.servers[arrival.identifier])
        deployment.world.run(4)
        self.assertEqual(502, notes[0].status)
        self.assertEqual(1, sum(arrival.ran for arrival in deployment.history))


class AnswerTests(Orders):
    """What reaches a caller, byte by byte."""

    def test_a_late_second_answer_is_never_given_to_the_next_order(self) -> None:
        for seed in range(21, 25):
            deployment = one_server(seed)
            for number in range(6):
                manners(deployment, "pages", Manner.TWIN)
                self.assertTrue(self.get(deployment, f"/plain/{number}").served)
                note = self.get(deployment, f"/plain/after-{number}")
                self.assertTrue(note.served)
                self.assertEqual([], deployment.broken())
            arrivals = deployment.history[-12:]
            self.assertLess(len({arrival.connection for arrival in arrivals}), 12)

    def test_a_late_second_answer_of_one_order_does_not_harm_the_next_unsafe_one(self) -> None:
        deployment = one_server(26)
        for number in range(6):
            manners(deployment, "desks", Manner.TWIN)
            self.assertTrue(self.post(deployment, number).served)
            note = self.post(deployment, 100 + number)
            self.assertTrue(note.served)
            self.assertEqual(1, deployment.runs(note))
        self.assertEqual([], deployment.broken())

    def test_a_success_without_its_seal_is_not_passed_on(self) -> None:
        deployment = one_server(27)
        always(deployment, "pages", Manner.UNSEALED)
        for target in ("/plain/1", "/covers/1", "/covers/1"):
            note = self.get(deployment, target)
            self.assertFalse(note.served, target)
            self.assertIn(note.status, (502, 503), target)
            self.assertNotIn(b"OBJECT", note.response_body)
        self.assertEqual([], deployment.broken())

    def test_a_success_without_its_seal_is_asked_for_at_another_server(self) -> None:
        deployment = Deployment(28).set_up()
        for number, edge in enumerate(deployment.edges):
            manners(deployment, "pages", Manner.UNSEALED)
            note = self.get(deployment, f"/plain/{number}", edge=edge)
            self.assertTrue(note.served)
            self.assertEqual(2, len(deployment.arrivals(note)))
        self.assertEqual([], deployment.broken())

    def test_bytes_behind_a_whole_answer_do_not_spoil_it(self) -> None:
        deployment = one_server(29)
        for number in range(5):
            manners(deployment, "pages", Manner.BEHIND)
            self.assertTrue(self.get(deployment, f"/plain/{number}").served)
            self.assertTrue(self.get(deployment, f"/plain/after-{number}").served)
            manners(deployment, "pages", Manner.BEHIND)
            self.assertTrue(self.get(deployment, f"/covers/{number}").served)
            manners(deployment, "desks", Manner.BEHIND)
            self.assertTrue(self.post(deployment, number).served)
            self.assertTrue(self.post(deployment, 100 + number).served)
        self.assertEqual([], deployment.broken())

    def test_bytes_behind_a_long_answer_do_not_spoil_it(self) -> None:
        deployment = one_server(30)
        deployment.services["pages"].objects.size = 200_000
        manners(deployment, "pages", Manner.BEHIND)
        self.assertTrue(self.get(deployment, "/plain/long").served)
        self.assertTrue(self.get(deployment, "/plain/next").served)
        self.assertEqual([], deployment.broken())

    def test_a_cut_answer_never_looks_whole(self) -> None:
        deployment = one_server(31)
        for size in (600, 200_000):
            deployment.services["pages"].objects.size = size
            always(deployment, "pages", Manner.CUT)
            for target in ("/plain/1", "/covers/1"):
                note = self.get(deployment, target)
                self.assertFalse(note.served, f"{target} of {size} bytes")
        self.assertEqual([], deployment.broken())

    def test_a_short_answer_that_was_cut_is_fetched_from_another_server(self) -> None:
        deployment = Deployment(32).set_up()
        for number, manner in enumerate(
            (Manner.CUT, Manner.LOST, Manner.WRONG, Manner.FAILING, Manner.VAGUE, Manner.FULL)
        ):
            manners(deployment, "pages", manner)
            note = self.get(deployment, f"/plain/{number}", edge=deployment.edges[number])
            self.assertTrue(note.served, manner)
            self.assertEqual(2, len(deployment.arrivals(note)), manner)
        self.assertEqual([], deployment.broken())

    def test_servers_that_close_their_links_cost_no_order(self) -> None:
        deployment = one_server(33)
        always(deployment, "pages", Manner.CLOSING)
        always(deployment, "desks", Manner.CLOSING)
        for number in range(10):
            self.assertTrue(self.get(deployment, f"/plain/{number}").served)
            self.assertTrue(self.post(deployment, number).served)
        self.assertEqual([], deployment.broken())

    def test_links_are_used_again_and_not_longer_than_their_server_keeps_them(self) -> None:
        deployment = one_server(34)
        for number in range(10):
            self.get(deployment, f"/plain/{number}")
        self.assertLess(len({arrival.connection for arrival in deployment.history}), 4)
        before = len(deployment.history)
        for number in range(4):
            deployment.world.run(deployment.services["pages"].idle_seconds - 0.01)
            self.assertTrue(self.post(deployment, number).served)
        fresh = deployment.history[before:]
        self.assertEqual(len(fresh), len({arrival.connection for arrival in fresh}))

    def test_a_server_that_never_answers_when_full_holds_no_order_past_its_time(self) -> None:
        deployment = Deployment(35).set_up()
        service = deployment.services["pages"]
        service.hangs, service.slots, service.queue, service.work_seconds = True, 1, 0, 0.3
        deployment.crowd(12, 6.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
        deployment.world.run(6)
        deployment.callers_on = False
        deployment.world.run(3)
        self.assertTrue(all(note.seconds <= note.deadline + 0.1 for note in deployment.notes))
        self.assertEqual([], deployment.broken())


class HandedOnTests(Orders):
    """What a server is handed of an order."""

    def test_the_order_reaches_its_server_unchanged_under_its_own_name(self) -> None:
        deployment = Deployment(41).set_up()
        target = "/orders/%7Ea//b;c=1/?q=/plain/1&x=%20y"
        note = deployment.ask(
            UNSAFE,
            "POST",
            target,
            b"\x00body\xff",
            fields=[(b"X-Custom", b"kept"), (b"Connection", b"X-Hop"), (b"X-Hop", b"gone")],
        )
        self.assertEqual(200, note.status)
        (arrival,) = deployment.arrivals(note)
        self.assertEqual(
            ("POST", target, b"\x00body\xff", HOST),
            (arrival.method, arrival.target, arrival.body, arrival.host),
        )
        self.assertEqual(arrival.identifier, arrival.expected)
        self.assertEqual([], deployment.broken())

    def test_every_dispatch_names_the_life_it_is_for(self) -> None:
        deployment = Deployment(42).set_up()
        for number in range(12):
            self.get(deployment, f"/plain/{number}")
            self.post(deployment, number)
        self.assertGreater(len({arrival.identifier for arrival in deployment.history}), 3)
        for arrival in deployment.history:
            self.assertEqual(arrival.identifier, arrival.expected)

    def test_the_deadline_is_handed_on_as_what_is_left(self) -> None:
        deployment = Deployment(43).set_up()
        deployment.world.spikes = 0.0
        note = self.get(deployment, deadline=0.8)
        (arrival,) = deployment.arrivals(note)
        self.assertTrue(0.6 < arrival.deadline < 0.8, str(arrival.deadline))
        self.assertLessEqual(arrival.at + arrival.deadline, note.sent_at + 0.8)

    def test_a_second_server_is_handed_less(self) -> None:
        deployment = Deployment(44).set_up()
        deployment.services["pages"].work_seconds = 0.15
        manners(deployment, "pages", Manner.LOST)
        note = self.get(deployment, deadline=0.9)
        first, second = deployment.arrivals(note)
        self.assertTrue(note.served)
        self.assertLess(second.deadline, first.deadline - 0.09)

    def test_no_more_is_handed_on_than_the_routes_time(self) -> None:
        deployment = Deployment(45).set_up()
        note = self.get(deployment, deadline=30.0)
        (arrival,) = deployment.arrivals(note)
        self.assertTrue(1.0 < arrival.deadline <= 1.5, str(arrival.deadline))

    def test_an_order_is_sent_to_no_more_servers_than_its_route_allows(self) -> None:
        for limit in (1, 2):
            deployment = Deployment(46)
            routes: Any = deployment.configuration["routes"]
            routes[2] = route("orders", "/orders/", UNSAFE, "desks", attempt_limit=limit)
            deployment.set_up()
            always(deployment, "desks", Manner.FULL)
            note = self.post(deployment)
            self.assertEqual(limit, len(deployment.arrivals(note)))

    def test_an_edge_saves_up_further_dispatches_from_what_it_sent(self) -> None:
        """Each order sent earns a part of one; together the edges may save up the rules' slack."""
        deployment = Deployment(48).set_up()
        for number in range(40):
            self.assertTrue(self.post(deployment, number).served)
        for number in range(4):
            manners(deployment, "desks", Manner.FULL)
            note = self.post(deployment, 100 + number)
            self.assertTrue(note.served, f"the {number + 1}th order on end that was declined once")
            self.assertEqual(2, len(deployment.arrivals(note)))

    def test_what_all_edges_save_up_is_no_more_than_the_rules_slack(self) -> None:
        deployment = Deployment(49).set_up()
        self.assertEqual(
            200, deployment.replace({**deployment.configuration, "version": "r6"}, "r5")[0]
        )
        for number in range(600):
            self.post(deployment, number, edge=deployment.edges[number % 6])
        for number in range(20):
            for edge in deployment.edges:
                manners(deployment, "desks", Manner.FULL)
                self.post(deployment, 1000 + number, edge=edge)
        self.assertEqual(
            [], retry_violations(deployment.notes, deployment.history, "desks", deployment.allowed)
        )
        self.assertEqual([], deployment.broken())

    def test_a_body_in_chunks_reaches_its_server_whole(self) -> None:
        deployment = Deployment(47).set_up()
        self.repeat_all(deployment)
        whole = bytes(range(256)) * 1000
        outside, front = deployment.outside, deployment.entrance.fronts[deployment.edges[0]]
        told: list[int] = []

        async def send() -> None:
            connection = outside.network.connect(front)
            await connection.wait_connected(1.0)
            connection.write(
                b"POST /orders/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nAttempt-Id: x1"
                b"\r\nDeadline-Remaining: 5000\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for start in range(0, len(whole), 10_000):
                piece = whole[start : start + 10_000]
                connection.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
            connection.write(b"0\r\n\r\n")
            reader = Reader(outside.scheduler, connection)
            found = await read_response(reader, b"POST", 65_536, outside.scheduler.now() + 5)
            told.append(found.ok.head.status)
            connection.close()

        outside.scheduler.create_task(send(), name="chunks")
        deployment.world.run(4)
        self.assertEqual([200], told)
        (arrival,) = [arrival for arrival in deployment.history if arrival.identity == "x1"]
        self.assertEqual(whole, arrival.body)


class RouteTests(Orders):
    """Which service an order goes to."""

    def test_without_a_route_the_answer_is_404_and_nothing_is_sent(self) -> None:
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
                note = deployment.ask(kind, method, target, host=host, tries=4)
                self.assertEqual(404, note.status, f"{host} {target}")
        self.assertEqual(before, len(deployment.history))

    def test_a_path_that_the_prefix_does_not_begin_has_no_route(self) -> None:
        deployment = Deployment(52).set_up()
        for target in ("/plain", "/plain?x=1"):
            note = self.get(deployment, target)
            self.assertEqual(404, note.status, target)
            self.assertEqual([], deployment.arrivals(note))

    def test_a_shorter_prefix_counts_where_the_longer_one_does_not_begin_the_path(self) -> None:
        deployment = Deployment(57, services=("one", "two"))
        deployment.configuration["routes"] = [
            route("all", "/", service="one"),
            route("long", "/a/", service="two"),
        ]
        deployment.set_up()
        note = self.get(deployment, "/a")
        self.assertEqual(["one"], [arrival.service for arrival in deployment.arrivals(note)])

    def test_the_longest_prefix_that_begins_the_path_counts(self) -> None:
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
            note = self.get(deployment, target)
            self.assertEqual(
                [service], [arrival.service for arrival in deployment.arrivals(note)], target
            )
        note = deployment.ask(SAFE, "GET", "/a/b/c", host="other.example")
        self.assertEqual(["one"], [arrival.service for arrival in deployment.arrivals(note)])
        self.assertEqual([], deployment.broken())

    def test_hosts_are_told_apart_without_case_and_port(self) -> None:
        deployment = Deployment(54).set_up()
        for host in (HOST.upper(), f"{HOST}:80"):
            self.assertEqual(200, deployment.ask(SAFE, "GET", "/plain/1", host=host).status, host)

    def test_a_split_is_kept_to_its_weights(self) -> None:
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
                    deployment, f"/plain/{number}", tries=4, edge=deployment.edges[number % 6]
                ).served
            )
        counts = {
            name: sum(arrival.ran and arrival.service == name for arrival in deployment.history)
            for name in deployment.services
        }
        self.assertEqual(0, counts["idle"])
        self.assertTrue(0.13 < counts["desks"] / 400 < 0.28, str(counts))
        self.assertEqual([], deployment.broken())

    def test_a_route_that_moves_takes_its_orders_along(self) -> None:
        deployment = Deployment(56).set_up()
        deployment.crowd(12, 8.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
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
        fresh = [note for note in deployment.notes if note.sent_at > acknowledged + 0.5]
        self.assertGreater(sum(note.served for note in fresh), 0.98 * len(fresh))


class CopyTests(Orders):
    """Copies at edges: objects, parts of them, purges, lifetimes."""

    def revision(self, note: AttemptRecord) -> int:
        self.assertTrue(note.served, f"{note.status} {note.ending}")
        return int((note.field(PLATFORM_FORMAT.profile.seal) or b"").partition(b".")[0])

    def warm(self, deployment: Deployment, *targets: str) -> None:
        for target in targets:
            for edge in deployment.edges:
                deployment.ask(CACHEABLE, "GET", target, edge=edge)

    def seen(self, deployment: Deployment, target: str) -> set[int]:
        return {
            self.revision(deployment.ask(CACHEABLE, "GET", target, edge=edge))
            for edge in deployment.edges
        }

    def change(self, deployment: Deployment, *targets: str) -> None:
        for target in targets:
            deployment.services["pages"].objects.change(target, deployment.world.time)

    def test_a_second_caller_gets_the_copy_under_his_own_name(self) -> None:
        deployment = Deployment(61).set_up()
        first = deployment.ask(CACHEABLE, "GET", "/covers/1")
        again = deployment.ask(CACHEABLE, "GET", "/covers/1")
        self.assertEqual(
            1, len([arrival for arrival in deployment.history if arrival.target == "/covers/1"])
        )
        self.assertEqual(first.response_body, again.response_body)
        self.assertNotEqual(first.identity, again.identity)
        self.assertEqual([], deployment.broken())

    def test_a_purge_by_path_reaches_every_edges_copy(self) -> None:
        deployment = Deployment(62).set_up()
        targets = ("/covers/1", "/covers/2")
        self.warm(deployment, *targets)
        self.change(deployment, *targets)
        self.assertEqual({0}, self.seen(deployment, "/covers/1"))
        self.assertEqual(200, deployment.purge(host=HOST, path="/covers/1"))
        self.assertEqual({1}, self.seen(deployment, "/covers/1"))
        self.assertEqual({0}, self.seen(deployment, "/covers/2"))
        self.assertEqual([], deployment.broken())

    def test_a_purge_by_label_reaches_every_edges_copies(self) -> None:
        deployment = Deployment(63).set_up()
        routes: Any = deployment.configuration["routes"]
        routes.append(route("rest", "/rest/", CACHEABLE))
        self.assertEqual(
            200, deployment.replace({**deployment.configuration, "version": "r6"}, "r5")[0]
        )
        targets = ("/covers/1", "/covers/2", "/rest/1")
        self.warm(deployment, *targets)
        self.change(deployment, *targets)
        self.assertEqual(200, deployment.purge(label="shelf-covers"))
        self.assertEqual({1}, self.seen(deployment, "/covers/1"))
        self.assertEqual({1}, self.seen(deployment, "/covers/2"))
        self.assertEqual({0}, self.seen(deployment, "/rest/1"))
        self.assertEqual(200, deployment.purge(label="own-rest-1"))
        self.assertEqual({1}, self.seen(deployment, "/rest/1"))

    def test_a_purge_of_another_host_touches_nothing(self) -> None:
        deployment = Deployment(64).set_up()
        self.warm(deployment, "/covers/1")
        self.change(deployment, "/covers/1")
        self.assertEqual(200, deployment.purge(host="other.example", path="/covers/1"))
        self.assertEqual(200, deployment.purge(label="shelf"))
        self.assertEqual({0}, self.seen(deployment, "/covers/1"))

    def test_a_purge_names_a_path_with_all_its_queries_or_the_very_one(self) -> None:
        deployment = Deployment(65).set_up()
        self.warm(deployment, "/covers/1?x=1")
        self.change(deployment, "/covers/1?x=1")
        self.assertEqual(200, deployment.purge(host=HOST, path="/covers/1?x=1"))
        self.assertEqual({1}, self.seen(deployment, "/covers/1?x=1"))

    def test_no_copy_is_served_long_after_its_purge_while_callers_fill_again(self) -> None:
        for seed in (66, 67, 661):
            deployment = Deployment(seed, edges=3).set_up()
            deployment.crowd(12, 12.0, lambda number: (CACHEABLE, "GET", f"/covers/{number % 6}"))
            purged: list[tuple[float, str, int]] = []
            for turn in range(12):
                deployment.world.run(0.4)
                target = f"/covers/{turn % 6}"
                self.change(deployment, target)
                revision = deployment.services["pages"].objects.revision(target)
                scope = (
                    {"label": f"own-covers-{turn % 6}"}
                    if turn % 2
                    else {"host": HOST, "path": target}
                )
                self.assertEqual(200, deployment.purge(**scope))
                purged.append((deployment.world.time, target, revision))
            deployment.world.run(3)
            deployment.callers_on = False
            deployment.world.run(2)
            for when, target, revision in purged:
                for note in deployment.notes:
                    if note.target == target and note.sent_at > when and note.served:
                        self.assertGreaterEqual(self.revision(note), revision, f"seed {seed}")
            self.assertEqual([], deployment.broken())

    def test_a_copy_does_not_outlive_its_routes_lifetime(self) -> None:
        deployment = Deployment(68)
        routes: Any = deployment.configuration["routes"]
        routes[1] = route("covers", "/covers/", CACHEABLE, cache_lifetime_s=2.0)
        deployment.set_up()
        self.warm(deployment, "/covers/1")
        self.change(deployment, "/covers/1")
        self.assertEqual({0}, self.seen(deployment, "/covers/1"))
        deployment.world.run(2.1)
        self.assertEqual({1}, self.seen(deployment, "/covers/1"))

    def test_no_copy_outlives_its_lifetime_whatever_edge_it_came_from(self) -> None:
        for seed in (75, 76):
            deployment = Deployment(seed, edges=3)
            routes: Any = deployment.configuration["routes"]
            routes[1] = route("covers", "/covers/", CACHEABLE, cache_lifetime_s=2.0)
            deployment.set_up()
            deployment.crowd(18, 8.0, lambda number: (CACHEABLE, "GET", f"/covers/{number % 6}"))
            replaced: dict[tuple[str, int], float] = {}
            for turn in range(30):
                deployment.world.run(0.3)
                target = f"/covers/{turn % 6}"
                revision = deployment.services["pages"].objects.revision(target)
                replaced[target, revision] = deployment.world.time
                self.change(deployment, target)
            deployment.callers_on = False
            deployment.world.run(2)
            served = [note for note in deployment.notes if note.served]
            self.assertGreater(len(served), 500)
            for note in served:
                when = replaced.get((note.target, self.revision(note)), 1e9)
                self.assertLess(note.sent_at, when + 2.0 + 0.7, f"seed {seed} {note.identity}")
            self.assertEqual([], deployment.broken())

    def test_a_copy_that_is_old_and_has_not_changed_is_kept_on_under_the_callers_name(self) -> None:
        deployment = Deployment(69)
        routes: Any = deployment.configuration["routes"]
        routes[1] = route("covers", "/covers/", CACHEABLE, cache_lifetime_s=2.0)
        deployment.set_up()
        self.warm(deployment, "/covers/1")
        deployment.world.run(2.1)
        before = len(deployment.history)
        self.assertEqual({0}, self.seen(deployment, "/covers/1"))
        self.assertIn(304, [arrival.status for arrival in deployment.history[before:]])
        self.assertEqual([], deployment.broken())

    def test_parts_of_an_object_come_from_the_copy(self) -> None:
        deployment = one_server(70)
        whole = deployment.ask(CACHEABLE, "GET", "/covers/1")
        size = len(whole.response_body)
        before = len(deployment.history)
        for asked, start, end in (
            (b"bytes=0-9", 0, 10),
            (b"bytes=100-", 100, size),
            (b"bytes=5-5", 5, 6),
            (b"bytes=10-100000", 10, size),
        ):
            note = deployment.ask(CACHEABLE, "GET", "/covers/1", fields=[(b"Range", asked)])
            self.assertEqual(206, note.status, str(asked))
            self.assertEqual(whole.response_body[start:end], note.response_body)
            self.assertEqual(
                b"bytes %d-%d/%d" % (start, end - 1, size), note.field(b"Content-Range")
            )
        beyond = deployment.ask(
            CACHEABLE, "GET", "/covers/1", fields=[(b"Range", b"bytes=%d-" % size)]
        )
        self.assertEqual(416, beyond.status)
        self.assertEqual(before, len(deployment.history))
        self.assertEqual([], deployment.broken())

    def test_a_part_that_is_asked_for_first_has_the_objects_mark(self) -> None:
        deployment = one_server(71)
        note = deployment.ask(CACHEABLE, "GET", "/covers/1", fields=[(b"Range", b"bytes=20-39")])
        self.assertEqual((206, 20), (note.status, len(note.response_body)))
        self.assertTrue(deployment.ask(CACHEABLE, "GET", "/covers/1").served)
        self.assertEqual([], deployment.broken())

    def test_who_has_the_object_already_is_told_304(self) -> None:
        deployment = one_server(72)
        first = deployment.ask(CACHEABLE, "GET", "/covers/1")
        tag = first.field(b"ETag") or b""
        note = deployment.ask(CACHEABLE, "GET", "/covers/1", fields=[(b"If-None-Match", tag)])
        self.assertEqual((304, b""), (note.status, note.response_body))
        other = deployment.ask(CACHEABLE, "GET", "/covers/1", fields=[(b"If-None-Match", b'"x"')])
        self.assertTrue(other.served)

    def test_a_route_that_moved_serves_none_of_the_old_services_copies(self) -> None:
        deployment = Deployment(73).set_up()
        self.warm(deployment, "/covers/1")
        moved = route("covers", "/covers/", CACHEABLE, "desks")
        self.assertEqual(
            200, deployment.amend({"version": "r6", "upsert": {"routes": [moved]}}, "r5")[0]
        )
        for edge in deployment.edges:
            note = deployment.ask(CACHEABLE, "GET", "/covers/1", edge=edge)
            self.assertTrue(note.response_body.startswith(b"OBJECT desks "))

    def cut_off(self, deployment: Deployment, seconds: float) -> str:
        """An edge that reaches its neighbours and servers, but for a while no control node."""
        machines = {name.rpartition(".")[0] for name in deployment.cores}
        edge = next(name for name in deployment.edges if name.rpartition(".")[0] not in machines)
        for machine in machines:
            deployment.world.cut(edge.rpartition(".")[0], machine)
        deployment.world.run(seconds)
        return edge

    def test_a_neighbour_without_news_gives_nobody_the_old_services_copies(self) -> None:
        for seed, seconds in ((77, 0.0), (770, 0.5), (771, 1.5), (772, 3.0)):
            deployment = Deployment(seed, edges=4).set_up()
            targets = [f"/covers/{number}" for number in range(12)]
            self.warm(deployment, *targets)
            lapsed = self.cut_off(deployment, seconds)
            moved = route("covers", "/covers/", CACHEABLE, "desks")
            self.assertEqual(
                200, deployment.amend({"version": "r6", "upsert": {"routes": [moved]}}, "r5")[0]
            )
            for target in targets:
                for edge in deployment.edges:
                    if edge != lapsed:
                        note = deployment.ask(CACHEABLE, "GET", target, edge=edge)
                        self.assertTrue(
                            note.response_body.startswith(b"OBJECT desks "),
                            f"{seconds} s: {edge} {note.response_body[:40]!r}",
                        )

    def test_a_neighbour_without_news_gives_nobody_purged_copies(self) -> None:
        for seed, seconds in ((78, 0.0), (780, 0.5), (781, 1.5), (782, 3.0)):
            deployment = Deployment(seed, edges=4).set_up()
            targets = [f"/covers/{number}" for number in range(12)]
            self.warm(deployment, *targets)
            lapsed = self.cut_off(deployment, seconds)
            self.change(deployment, *targets)
            self.assertEqual(200, deployment.purge(label="shelf-covers"))
            for target in targets:
                for edge in deployment.edges:
                    if edge != lapsed:
                        note = deployment.ask(CACHEABLE, "GET", target, edge=edge)
                        self.assertEqual(1, self.revision(note), f"{seconds} s: {edge}")

    def test_a_neighbour_that_hangs_costs_nobody_his_answer(self) -> None:
        deployment = Deployment(79, edges=3).set_up()
        deployment.world.freeze(deployment.edges[1], True)
        for number in range(12):
            for edge in (deployment.edges[0], deployment.edges[2]):
                self.assertTrue(
                    deployment.ask(
                        CACHEABLE, "GET", f"/covers/{number}", edge=edge, deadline=0.8
                    ).served
                )
        self.assertEqual([], deployment.broken())

    def test_many_who_ask_at_once_are_one_order_to_the_servers(self) -> None:
        deployment = one_server(74)
        deployment.services["pages"].work_seconds = 0.2
        client = [deployment.client(f"many{number}") for number in range(20)]
        for one in client:
            deployment.outside.scheduler.create_task(
                self.ask_once(one, deployment.edges[0]), name="many"
            )
        deployment.world.run(3)
        self.assertEqual(20, sum(note.served for note in deployment.notes))
        self.assertEqual(1, sum(len(deployment.arrivals(note)) for note in deployment.notes))
        self.assertEqual([], deployment.broken())

    async def ask_once(self, client: Any, edge: str) -> None:
        await client.request(CACHEABLE, "GET", HOST, "/covers/1", b"", 1.0, None, 1, edge)


class ChangedMidwayTests(Orders):
    """A configuration that changes while an order is on its way."""

    def test_an_order_whose_version_went_is_answered(self) -> None:
        """Its route's place in the table is another's now, or none's."""
        deployment = Deployment(98).set_up()
        deployment.services["pages"].work_seconds = 0.4
        for number, kind in enumerate((CACHEABLE, SAFE)):
            client = deployment.client(f"midway{number}")
            target = "/covers/9" if kind == CACHEABLE else "/plain/9"
            deployment.outside.scheduler.create_task(
                self.ask_midway(client, kind, target, deployment.edges[0]), name="midway"
            )
        deployment.world.run(0.1)
        routes = [route("a-only", "/only/", SAFE, "desks")]
        plain = {**deployment.configuration, "routes": routes, "version": "r90"}
        self.assertEqual(200, deployment.replace(plain, "r5")[0])
        always(deployment, "pages", Manner.FULL)
        deployment.world.run(3)
        self.assertEqual(2, len(deployment.notes))
        for note in deployment.notes:
            self.assertIn(note.status, (200, 502, 503, 504))
        self.assertEqual([], deployment.world.faults)

    async def ask_midway(self, client: Any, kind: str, target: str, edge: str) -> None:
        await client.request(kind, "GET", HOST, target, b"", 2.0, None, 1, edge)


class LoadTests(Orders):
    """What all edges together send to a service."""

    def test_a_service_with_a_rate_gets_no_more_than_that(self) -> None:
        for seed in (81, 82):
            deployment = Deployment(seed)
            deployment.services["desks"].rate = 40
            services: Any = deployment.configuration["services"]
            services[1] = service_item("desks", rate_per_s=40.0)
            deployment.set_up()
            deployment.crowd(24, 10.0, lambda number: (UNSAFE, "POST", f"/orders/{number}"))
            deployment.world.run(15)
            deployment.callers_on = False
            deployment.world.run(3)
            self.assertEqual([], rate_violations(deployment.history, "desks", 40.0))
            ran = sum(arrival.ran for arrival in deployment.history)
            self.assertGreater(ran, 0.7 * 40 * 15, f"seed {seed}")
            for note in deployment.notes:
                if note.status in (429, 503):
                    self.assertLess(float(note.field(b"Retry-After") or b"9"), 1)
            self.assertEqual([], deployment.broken())

    def test_repeats_to_a_service_that_fails_keep_to_their_budget(self) -> None:
        for seed, manner in (
            (83, Manner.FAILING),
            (84, Manner.LOST),
            (85, Manner.FULL),
            (86, Manner.WRONG),
        ):
            deployment = Deployment(seed).set_up()
            deployment.crowd(24, 8.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
            deployment.world.run(5)
            always(deployment, "pages", manner)
            deployment.world.run(15)
            deployment.callers_on = False
            deployment.world.run(3)
            self.assertEqual(
                [],
                retry_violations(deployment.notes, deployment.history, "pages", deployment.allowed),
                manner,
            )
            self.assertEqual([], deployment.broken())

    def test_a_service_that_was_gone_is_served_again(self) -> None:
        deployment = Deployment(87).set_up()
        deployment.crowd(12, 6.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
        deployment.world.run(3)
        always(deployment, "pages", Manner.LOST)
        deployment.world.run(10)
        always(deployment, "pages", Manner.WHOLE)
        deployment.world.run(5)
        since = deployment.world.time
        deployment.world.run(4)
        fresh = [note for note in deployment.notes if note.sent_at > since]
        self.assertGreater(len(fresh), 100)
        self.assertGreater(sum(note.served for note in fresh), 0.95 * len(fresh))

    def test_an_only_server_that_failed_is_tried_again(self) -> None:
        """Also where the last order that was to try it found no room for a repeat."""
        for manner in (Manner.UNSEALED, Manner.LOST, Manner.FAILING, Manner.WRONG):
            deployment = one_server(91)
            always(deployment, "pages", manner)
            for number in range(4):
                self.get(deployment, f"/plain/{number}")
            always(deployment, "pages", Manner.WHOLE)
            deployment.world.run(12)
            served = 0
            for number in range(6):
                served += self.get(deployment, f"/plain/again-{number}").served
                deployment.world.run(1)
            self.assertGreater(served, 3, manner)

    def test_a_crowd_at_a_service_of_one_server_is_served_again(self) -> None:
        for seed in (92, 93):
            deployment = one_server(seed)
            deployment.crowd(9, 4.0, lambda number: (SAFE, "GET", f"/plain/{number}"))
            deployment.world.run(3)
            always(deployment, "pages", Manner.LOST)
            deployment.world.run(10)
            always(deployment, "pages", Manner.WHOLE)
            deployment.world.run(12)
            since = deployment.world.time
            deployment.world.run(4)
            fresh = [note for note in deployment.notes if note.sent_at > since]
            self.assertGreater(sum(note.served for note in fresh), 0.95 * len(fresh), f"{seed}")

    def test_under_twice_its_load_a_service_still_does_most_of_what_it_can(self) -> None:
        for seed, kind, method, path, name in (
            (96, SAFE, "GET", "/plain/", "pages"),
            (97, UNSAFE, "POST", "/orders/", "desks"),
        ):
            deployment = Deployment(seed).set_up()
            service = deployment.services[name]
            service.work_seconds, service.slots, service.queue = 0.2, 2, 1
            most = len(deployment.of_service(name)) * service.slots / service.work_seconds

            def order(
                number: int, kind: str = kind, method: str = method, path: str = path
            ) -> tuple[str, str, str]:
                return kind, method, f"{path}{number}"

            deployment.crowd(60, 2 * most / 60, order)
            deployment.world.run(3)
            since = deployment.world.time
            deployment.world.run(8)
            last = {note.request_name: note for note in deployment.notes if note.sent_at > since}
            self.assertGreater(sum(note.served for note in last.values()) / 8, 0.75 * most)
            self.assertEqual(
                [], retry_violations(deployment.notes, deployment.history, name, deployment.allowed)
            )
            self.assertEqual([], deployment.broken())

    def test_orders_with_little_time_left_do_not_set_sound_servers_aside(self) -> None:
        deployment = Deployment(94).set_up()
        for service in deployment.services.values():
            service.work_seconds = 0.1
        for number in range(40):
            self.get(deployment, f"/plain/short-{number}", deadline=0.06)
            self.post(deployment, number, deadline=0.06)
        for number in range(5):
            self.assertTrue(self.get(deployment, f"/plain/{number}").served)
            self.assertTrue(self.post(deployment, 100 + number).served)
        self.assertEqual([], deployment.broken())

    def test_callers_who_leave_at_once_do_not_set_sound_servers_aside(self) -> None:
        deployment = Deployment(95).set_up()
        self.repeat_all(deployment)
        outside, front = deployment.outside, deployment.entrance.fronts[deployment.edges[0]]

        async def leave(number: int) -> None:
            connection = outside.network.connect(front)
            await connection.wait_connected(1.0)
            connection.write(
                b"GET /plain/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: left-%d\r\n"
                b"Deadline-Remaining: 800\r\n\r\n" % (number, HOST.encode(), number)
            )
            await outside.scheduler.sleep(0.0001 * (number % 40))
            connection.abort()

        for number in range(200):
            outside.scheduler.create_task(leave(number), name="leaves")
            if number % 20 == 19:
                deployment.world.run(0.01)
        deployment.world.run(0.05)
        for number in range(5):
            self.assertTrue(self.get(deployment, f"/plain/stays-{number}").served)

    def test_an_edge_that_is_told_to_stop_loses_no_answer(self) -> None:
        deployment = Deployment(88).set_up()
        deployment.services["desks"].work_seconds = 0.2
        deployment.crowd(
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
        deployment.callers_on = False
        deployment.world.run(3)
        lost = [note for note in deployment.notes if not note.complete and note.ending != "no link"]
        self.assertEqual([], [(note.sent_at, note.ending) for note in lost])
        self.assertEqual([], deployment.broken())

    def test_a_node_that_stops_says_so_before_it_takes_no_more(self) -> None:
        deployment = Deployment(89).set_up()
        name = deployment.edges[0]
        node = deployment.node(name)
        self.assertEqual(200, self.readiness(deployment, name))
        node.scheduler.create_task(node.traffic.stop(), name="stop")
        deployment.world.run(0.1)
        self.assertEqual(503, self.readiness(deployment, name))
        self.assertTrue(self.get(deployment, edge=name).served)

    def readiness(self, deployment: Deployment, name: str) -> int:
        caller = deployment.client("asks")
        caller.entrance.fronts["readiness"] = deployment.entrance.readiness[name]
        return deployment.ask(SAFE, "GET", "/readiness", edge="readiness", client=caller).status

    def test_answers_bear_their_orders_name_also_when_they_are_the_edges_own(self) -> None:
        deployment = Deployment(90).set_up()
        always(deployment, "desks", Manner.FULL)
        for note in (self.post(deployment), self.get(deployment, "/none/")):
            self.assertEqual(note.identity.encode(), field(note.fields, b"attempt-id"))
