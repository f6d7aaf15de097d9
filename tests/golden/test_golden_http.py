"""HTTP as operators, callers, upstream servers and the platform see it: answers and heads.

Requests stand here as bytes; answers are compared with golden files by status line, header
fields in their order, and body. Everything runs on the simulated network, so that times and
random names are the same in each run.
"""

import json
import re
from collections.abc import Callable
from itertools import count
from pathlib import Path

from golden import GoldenTest
from observed import observed
from simulated_client import Client, Message, fields_in, leads, new_world, start, takes_traffic

import deployment
import settings
from deployment import Deployment, route, settings_lines
from operators import OperatorApi
from ryelock import control_api
from ryelock.edge.process import TrafficNode
from ryelock.explain import format_explanation
from ryelock.testing.hosting_platform.attempts import CACHEABLE
from ryelock.testing.simulated import SimNode, World
from ryelock.testing.stand_ins.servers import (
    Objects,
    PlatformStandIn,
    ServerBehavior,
    ServerStandIn,
)

# What this file knows of the product's names: a rename inside changes this section only.


def control_paths() -> dict[tuple[str, str], str]:
    """Return the control API's table of paths."""
    return {path: action.value for path, action in control_api.PATHS.items()}


def explained(account: Message) -> list[str]:
    """Return an account of a request in words."""
    return format_explanation(account)


def platform_paths() -> set[str]:
    """Return the paths that the platform's operators are answered on."""
    source = (Path(deployment.ROOT) / "platform" / "operators.py").read_text()
    return set(re.findall(r'b"(/[a-z/]+)"', source))


def start_control_api(site: Deployment, node: SimNode, lines: dict[str, str]) -> None:
    """Start the platform's control role on a machine without a disk."""
    told = settings.NodeSettings(lines)
    process_settings = settings.translate_settings("core", told)

    def build() -> TrafficNode:
        control_api = TrafficNode(
            "desk", process_settings, node.scheduler, node.network, node.log, node.random
        )
        address = told.text("listen_addresses.control")
        OperatorApi(node.scheduler, node.network, node.log, control_api.control_api, told, address)
        return control_api

    site.world.start_built(node, build)


# The outside: requests and how answers are shown, which must never change.

CORE, SECOND, EDGE, PROBER, CONTROL_API = (f"10.1.0.{number}" for number in range(1, 6))
METRICS_PORT = 9
CONFIGURATION: Message = {
    "services": {
        "pages": {"rate": 50, "answer_seconds": 2},
        "desks": {"rate": 20},
    },
    "routes": {
        "covers": {"path": "/covers", "service": "pages", "cached": True, "lifetime_seconds": 5},
        "plain": {"path": "/plain", "service": "pages"},
        "orders": {"path": "/orders", "service": "desks", "once": True},
        "none": {"path": "/none", "service": "desks", "deadline_seconds": 0.5},
    },
    "watches": {"covers": {"route": "covers", "object": "/covers/w", "dating": "etag"}},
}


class Deployed:
    """A leader, a spare, an edge, a prober and a desk, with a server and the platform's list."""

    def __init__(self) -> None:
        world = self.world = new_world(31)
        outside = world.add("platform", "platform", "10.9.0.3")
        lists = PlatformStandIn(outside.scheduler, outside.network, outside.log, "10.9.0.3:80")
        self.server = self.add_server(world, "pages", "10.8.0.1:80")
        lists.show("pages", "10.8.0.1:80", "north", 1)
        lists.show("desks", "10.8.0.2:80", "north", 1)
        self.control_api_server = self.add_server(world, "desks", "10.8.0.2:80")
        common: Message = {
            "seeds": f"{CORE}:1",
            "probe_seconds": 1.0,
            "probe_timeout": 0.8,
            "verdict_seconds": 0.5,
        }
        core = {**common, "platform_address": "10.9.0.3:80"}
        self.core = start(
            world, "core0", "core", CORE, {**core, "metrics_address": f"{CORE}:{METRICS_PORT}"}
        )
        self.second = start(world, "core1", "core", SECOND, core)
        edge = {**common, "metrics_address": f"{EDGE}:{METRICS_PORT}"}
        self.edge = start(world, "edge0", "edge", EDGE, edge)
        start(world, "prober0", "prober", PROBER, common)
        start(world, "desk0", "desk", CONTROL_API, common)
        self.client = Client(world)
        assert world.run_until(lambda: leads(self.core), 10)
        world.run(2.0)

    def add_server(self, world: World, service: str, address: str) -> ServerStandIn:
        """Start an upstream server."""
        node = world.add(f"server {address}", f"server {address}", address.partition(":")[0])
        return ServerStandIn(
            node.scheduler, node.network, node.log, service, address, Objects(200), []
        )

    def call(self, host: str, method: str, target: str, body: str = "", head: str = "") -> Message:
        """Send one request to the control address of a host."""
        return self.client.call(f"{host}:2", method, target, body.encode(), head)


CHANGE = '{"id": "c1", "base": 0, "put": %s}'
CONTROL_CALLS: list[tuple[str, str, str, str]] = [
    ("before any change", "GET", "/configuration", ""),
    ("faulty JSON", "POST", "/changes", "{"),
    ("no object", "POST", "/changes", "[]"),
    ("no id", "POST", "/changes", '{"base": 0}'),
    (
        "faults",
        "POST",
        "/changes",
        '{"id": "c0", "base": 0, "put": {"routes": {"r": {"path": "x"}}}}',
    ),
    ("a whole configuration", "POST", "/changes", "CONFIGURATION"),
    ("the same again", "POST", "/changes", "CONFIGURATION"),
    ("an old base", "POST", "/changes", '{"id": "c2", "base": 0, "put": {}}'),
    ("a named version", "POST", "/changes", '{"id": "c3", "base": 1, "version": 7, "put": {}}'),
    (
        "a patch",
        "POST",
        "/changes",
        '{"id": "c4", "base": 7, "patch": '
        '[{"op": "add", "path": "/routes/plain/share", "value": 0.5}]}',
    ),
    (
        "a faulty patch",
        "POST",
        "/changes",
        '{"id": "c5", "base": 8, "patch": [{"op": "remove", "path": "/routes/x"}]}',
    ),
    (
        "a plan",
        "POST",
        "/plans",
        '{"remove": {"routes": ["plain"]}, "put": {"services": {"pages": {"rate": 60}}}}',
    ),
    ("a plan with faults", "POST", "/plans", '{"remove": {"services": ["pages"]}}'),
    ("a plan on an old base", "POST", "/plans", '{"base": 1}'),
    ("read", "GET", "/configuration", ""),
    ("a purge of a path", "POST", "/purges", '{"id": "p1", "scopes": [{"path": "/covers/1"}]}'),
    ("a purge of a label", "POST", "/purges", '{"id": "p2", "scopes": [{"label": "red"}]}'),
    ("a faulty purge", "POST", "/purges", '{"id": "p3", "scopes": [{"color": "red"}]}'),
    ("a drain that is needed", "POST", "/drains", '{"id": "d1", "target": "edge0"}'),
    (
        "a forced drain",
        "POST",
        "/drains",
        '{"id": "d2", "target": "edge0", "force": true, "reason": "r"}',
    ),
    ("a drain of nobody", "POST", "/drains", '{"id": "d3", "target": "zone:none"}'),
    ("a drain without a target", "POST", "/drains", '{"id": "d4"}'),
    ("readiness of a drained edge", "GET", "/fitness/ready", ""),
    ("a recovery", "POST", "/recoveries", '{"id": "r1", "target": "edge0"}'),
    ("a recovery of nobody", "POST", "/recoveries", '{"id": "r2", "target": "edge0"}'),
    ("verdicts", "GET", "/verdicts", ""),
    ("members", "GET", "/members", ""),
    ("liveness", "GET", "/fitness/live", ""),
    ("readiness", "GET", "/fitness/ready", ""),
    ("head of readiness", "HEAD", "/fitness/ready", ""),
    ("post of readiness", "POST", "/fitness/ready", "{}"),
    ("explain of an unknown order", "GET", "/explain?order=edge0-aa-1", ""),
    ("no such place", "GET", "/nothing", ""),
    ("no such method", "GET", "/changes", ""),
    ("another method", "DELETE", "/configuration", ""),
]
"""Sent to the leader and, up to the answers that rest on order, to every other process."""


def control_answers(host: str) -> Message:
    """Send all calls to one process of a deployment of its own."""
    deployed = Deployed()
    found: Message = {}
    for name, method, target, body in CONTROL_CALLS:
        sent = CHANGE % json.dumps(CONFIGURATION) if body == "CONFIGURATION" else body
        found[name] = deployed.call(host, method, target, sent)
        deployed.world.run(0.5)
    deployed.world.freeze("core0", True)
    if host != CORE:
        found["a leader that says nothing"] = deployed.call(
            host, "POST", "/changes", '{"id": "c9", "base": 8, "put": {}}'
        )
        found["a read of a leader that says nothing"] = deployed.call(
            host, "GET", "/configuration", ""
        )
        deployed.world.freeze("core0", False)
        deployed.world.kill("core0")
        deployed.world.kill("core1" if host != SECOND else "prober0")
        deployed.world.run(3.0)
        found["no leader"] = deployed.call(
            host, "POST", "/purges", '{"id": "p9", "scopes": [{"label": "x"}]}'
        )
        found["liveness without a leader"] = deployed.call(host, "GET", "/fitness/live", "")
        found["readiness without a leader"] = deployed.call(host, "GET", "/fitness/ready", "")
    return found


CALLS: list[tuple[str, str, str, str]] = [
    ("a miss", "GET", "/covers/1", ""),
    ("a hit", "GET", "/covers/1", ""),
    ("a conditional hit", "GET", "/covers/1", 'If-None-Match: "0"\r\n'),
    ("a range", "GET", "/covers/1", "Range: bytes=0-9\r\n"),
    ("head of a hit", "HEAD", "/covers/1", ""),
    ("not cached", "GET", "/plain/1?a=b", "Accept: text/plain\r\nConnection: keep-alive\r\n"),
    ("a first post", "POST", "/orders/1", "Idempotency-Key: k1\r\n"),
    ("the same key again", "POST", "/orders/1", "Idempotency-Key: k1\r\n"),
    ("a post without a key", "POST", "/orders/2", ""),
    ("a caller's retry", "GET", "/plain/2", "X-Retry-Count: 1\r\n"),
    ("no route", "GET", "/nothing", ""),
    ("a long head", "GET", "/plain/3", f"X-Long: {'x' * 40_000}\r\n"),
    ("a faulty head", "GET", "/plain/4", "Content-Length: 1\r\nContent-Length: 2\r\n"),
]


def caller_answers() -> Message:
    """Send requests of callers to an edge, and ask it to explain them."""
    deployed = Deployed()
    client, world = deployed.client, deployed.world
    front = f"{EDGE}:3"
    found: Message = {"before any change": client.call(front, "GET", "/covers/1")}
    deployed.call(CORE, "POST", "/changes", CHANGE % json.dumps(CONFIGURATION))
    assert world.run_until(lambda: takes_traffic(deployed.edge), 10)
    world.run(1.0)
    for name, method, target, head in CALLS:
        body = b"body" if method == "POST" else b""
        found[name] = client.call(front, method, target, body, head)
        world.run(0.3)
    deployed.control_api_server.behavior = ServerBehavior.FAILING
    found["a failing server"] = client.call(front, "GET", "/none/1")
    deployed.control_api_server.behavior = ServerBehavior.LOST
    found["a lost answer to a post"] = client.call(front, "POST", "/orders/3", b"body")
    deployed.control_api_server.behavior = ServerBehavior.DEAF
    found["a deaf server"] = client.call(front, "GET", "/none/2")
    accounts: Message = {}
    for name, answer in found.items():
        assert isinstance(answer, dict)
        request = dict(answer["fields"]).get("X-Ryelock-Order")
        if request is not None:
            account = deployed.call(EDGE, "GET", f"/explain?order={request}")
            accounts[name] = account["body"]
    for method, target, host in (
        ("GET", "/covers/1", "shop.example"),
        ("POST", "/orders/1", ""),
        ("GET", "/nothing", ""),
    ):
        query = f"/explain?method={method}&target={target}&host={host}"
        accounts[f"would be: {method} {target}"] = deployed.call(EDGE, "GET", query)["body"]
    words = {
        name: explained(account) for name, account in accounts.items() if isinstance(account, dict)
    }
    world.kill("core0")
    world.kill("core1")
    world.run(3.0)
    found["no lease"] = client.call(front, "GET", "/covers/1")
    return {"answers": found, "accounts": accounts, "words": words}


def metric_lines() -> Message:
    """Return names, types and labels of all metrics, without help and values."""
    deployed = Deployed()
    deployed.call(CORE, "POST", "/changes", CHANGE % json.dumps(CONFIGURATION))
    assert deployed.world.run_until(lambda: takes_traffic(deployed.edge), 10)
    for _, method, target, head in CALLS:
        deployed.client.call(f"{EDGE}:3", method, target, b"x" if method == "POST" else b"", head)
    found: Message = {}
    for host in (CORE, EDGE):
        answer = deployed.client.call(f"{host}:{METRICS_PORT}", "GET", "/metrics")
        text = str(answer.pop("body"))
        lines = [line for line in text.splitlines() if not line.startswith("# HELP")]
        fields = answer.pop("fields")
        assert isinstance(fields, list)
        answer["fields"] = [pair for pair in fields if pair[0] != "Content-Length"]
        shown = [line if line.startswith("#") else line.rpartition(" ")[0] for line in lines]
        found[host] = {**answer, "lines": shown}
    return found


LINE_SHOWN = 200


class Heads:
    """Collects the heads that go over the simulated network: one of each shape."""

    def __init__(self, names: dict[str, str]) -> None:
        """Create a collection; `names` says by port who listens there."""
        self.names = names
        self.found: dict[str, str] = {}

    def sent(self, _time: float, _number: int, listener: str, answers: bool, data: bytes) -> None:
        if b"\r\n\r\n" not in data or not data.startswith((b"GET ", b"POST ", b"HEAD ", b"HTTP/")):
            return
        first, fields, _ = fields_in(data)
        who = self.names.get(listener.rpartition(":")[2], "others")
        method, target = first.split(" ")[:2]
        kind = f"answer {first[9:12]}" if answers else f"request {method}"
        if who == "list" and not answers:
            kind += f" {target.rpartition('=')[0] or target}"
        shape = f"{who}: {kind}: {', '.join(name for name, _ in fields)}"
        if shape not in self.found:
            self.found[shape] = data.partition(b"\r\n\r\n")[0].decode("latin-1")

    def stored(self, *_: object) -> None:
        """Disks are not looked at."""

    def logged(self, *_: object) -> None:
        """Nor are logs."""

    def plain(self) -> dict[str, list[str]]:
        return {
            shape: [line[:LINE_SHOWN] for line in head.split("\r\n")]
            for shape, head in sorted(self.found.items())
        }


def own_heads() -> Message:
    """Heads where the deployment has no words of its own: to servers, edges and the list."""
    heads = Heads({"80": "server or list", "3": "edge"})
    with observed(heads):
        caller_answers()
    return {**heads.plain()}


# The platform's words.

REPLACE, AMEND, READ = "/configuration/replace", "/configuration/amend", "/configuration/read"
ITEM = route("more", "/more/", CACHEABLE, "pages")
OPERATOR_CALLS: list[tuple[str, str, str, str, str]] = [
    ("before any", "GET", READ, "", ""),
    ("health", "GET", "/health", "", ""),
    ("no such place", "GET", "/nothing", "", ""),
    ("no such method", "GET", REPLACE, "", ""),
    ("faulty JSON", "POST", REPLACE, "{", "Based-On-Version: 0\r\n"),
    ("a name twice", "POST", REPLACE, '{"a": 1, "a": 2}', "Based-On-Version: 0\r\n"),
    ("no number", "POST", REPLACE, '{"a": NaN}', "Based-On-Version: 0\r\n"),
    ("no lists", "POST", REPLACE, '{"version": "r1"}', "Based-On-Version: 0\r\n"),
    ("no base", "POST", REPLACE, "CONFIGURATION", ""),
    ("the first", "POST", REPLACE, "CONFIGURATION", "Based-On-Version: 0\r\n"),
    ("the same bytes again", "POST", REPLACE, "CONFIGURATION", "Based-On-Version: 0\r\n"),
    ("another base", "POST", AMEND, '{"version": "r9"}', "Based-On-Version: r4\r\n"),
    (
        "a version that does not grow",
        "POST",
        AMEND,
        '{"version": "r5"}',
        "Based-On-Version: r5\r\n",
    ),
    ("an amendment", "POST", AMEND, "AMENDMENT", "Based-On-Version: r5\r\n"),
    (
        "a removal",
        "POST",
        AMEND,
        '{"version": "r7", "remove": {"routes": ["more"]}}',
        "Based-On-Version: r6\r\n",
    ),
    (
        "a removal of nothing",
        "POST",
        AMEND,
        '{"version": "r8", "remove": {"routes": ["x"]}}',
        "Based-On-Version: r7\r\n",
    ),
    (
        "an item without a path",
        "POST",
        AMEND,
        '{"version": "r8", "upsert": {"routes": [{"name": "x"}]}}',
        "Based-On-Version: r7\r\n",
    ),
    (
        "an item of a faulty kind",
        "POST",
        AMEND,
        '{"version": "r8", "upsert": {"services": [{"name": 1}]}}',
        "Based-On-Version: r7\r\n",
    ),
    ("a route of no service", "POST", AMEND, "NO SERVICE", "Based-On-Version: r7\r\n"),
    (
        "limits",
        "POST",
        AMEND,
        '{"version": "r8", "upsert": {"limits": {"header_bytes": 20000}}}',
        "Based-On-Version: r7\r\n",
    ),
    ("read", "GET", READ, "", ""),
    ("a purge of a path", "POST", "/purges", '{"host": "shop.example", "path": "/covers/1"}', ""),
    ("a purge of a label", "POST", "/purges", '{"label": "red"}', ""),
    ("a faulty purge", "POST", "/purges", '{"path": "/covers/1"}', ""),
]


def operator_body(name: str, site: Deployment) -> str:
    """Return the body that a word in OPERATOR_CALLS stands for."""
    bodies: Message = {
        "CONFIGURATION": site.configuration,
        "AMENDMENT": {"version": "r6", "upsert": {"routes": [ITEM]}},
        "NO SERVICE": {"version": "r8", "upsert": {"routes": [{**ITEM, "service": "nobody"}]}},
    }
    return json.dumps(bodies[name]) if name in bodies else name


def platform_deployment(seed: int) -> Deployment:
    """Return a deployment in the platform's words that was started, not yet configured."""
    site = Deployment(seed, {"a": "north", "b": "north"}, 2)
    for name in site.cores + site.edges:
        site.start(name)
    site.world.run(4.0)
    return site


def platform_answers() -> Message:
    """Send operators' calls in the platform's words to a control node and to a desk."""
    site = platform_deployment(32)
    world = site.world
    client = Client(world)
    machine = settings_lines(
        "desk", "10.1.0.99", "a", site.zones, ["10.1.0.1:8146"], "control_plane", False
    )
    control_api = world.add("desk.core", "desk", "10.1.0.99")
    start_control_api(site, control_api, {**machine, "limits.disk_mb": "0"})
    world.run(2.0)
    found: Message = {}
    readiness = "10.1.0.1:8140"
    found["readiness before any"] = client.call(readiness, "GET", "/readiness")
    for name, method, target, body, head in OPERATOR_CALLS:
        sent = operator_body(body, site).encode()
        found[name] = client.call("10.1.0.1:8146", method, target, sent, head)
        world.run(0.3)
    world.run(2.0)
    found["readiness"] = client.call(readiness, "GET", "/readiness")
    found["read at a desk"] = client.call("10.1.0.99:8146", "GET", READ)
    for name in site.cores:
        site.kill(name)
    world.run(3.0)
    found["read without a leader"] = client.call("10.1.0.99:8146", "GET", READ)
    head = "Based-On-Version: r8\r\n"
    body_of_amendment = b'{"version": "r20"}'
    found["an amendment without a leader"] = client.call(
        "10.1.0.99:8146", "POST", AMEND, body_of_amendment, head
    )
    return found


PLATFORM_PORTS = {"8142": "list", "8144": "edge", "8080": "server"}


def platform_heads() -> Message:
    """Heads in the platform's words: to servers, edges and the list."""
    heads = Heads(PLATFORM_PORTS)
    with observed(heads):
        site = Deployment(33, {"a": "north", "b": "north"}, 2, page_size=3).set_up()
        numbers = count()
        for kind, method, target in (
            ("cacheable", "GET", "/covers/1"),
            ("cacheable", "GET", "/covers/2"),
            ("cacheable", "GET", "/covers/1"),
            ("safe", "GET", "/plain/1"),
            ("unsafe", "POST", "/orders/1"),
            ("safe", "GET", "/nothing"),
        ):
            for edge in site.edges[:3]:
                client = site.client(f"caller{next(numbers)}")
                site.request(
                    kind,
                    method,
                    target,
                    b"body" if method == "POST" else b"",
                    edge,
                    client=client,
                    host=deployment.HOST,
                )
        site.world.run(6.0)
    return {**heads.plain()}


RECORDERS: dict[str, Callable[[], object]] = {
    "http-control-leader.json": lambda: control_answers(CORE),
    "http-control-spare.json": lambda: control_answers(SECOND),
    "http-control-edge.json": lambda: control_answers(EDGE),
    "http-control-desk.json": lambda: control_answers(CONTROL_API),
    "http-callers.json": caller_answers,
    "http-metrics.json": metric_lines,
    "http-heads.json": own_heads,
    "http-platform.json": platform_answers,
    "http-platform-heads.json": platform_heads,
}


class HttpTests(GoldenTest):
    def test_every_path_is_called(self) -> None:
        called = {(method, target.partition("?")[0]) for _, method, target, _ in CONTROL_CALLS}
        self.assertEqual(set(), set(control_paths()) - called)

    def test_every_path_of_the_platform_is_called(self) -> None:
        called = {target for _, _, target, _, _ in OPERATOR_CALLS}
        self.assertEqual(set(), platform_paths() - called)
        self.assertEqual({REPLACE, AMEND, READ, "/purges", "/health"}, platform_paths())

    def test_the_leader_answers_as_ever(self) -> None:
        self.assert_golden("http-control-leader.json", control_answers(CORE))

    def test_a_spare_answers_as_ever(self) -> None:
        self.assert_golden("http-control-spare.json", control_answers(SECOND))

    def test_an_edge_answers_as_ever(self) -> None:
        self.assert_golden("http-control-edge.json", control_answers(EDGE))

    def test_a_desk_answers_as_ever(self) -> None:
        self.assert_golden("http-control-desk.json", control_answers(CONTROL_API))

    def test_callers_are_answered_and_accounts_given_as_ever(self) -> None:
        self.assert_golden("http-callers.json", caller_answers())

    def test_metrics_are_named_as_ever(self) -> None:
        self.assert_golden("http-metrics.json", metric_lines())

    def test_heads_are_as_ever(self) -> None:
        self.assert_golden("http-heads.json", own_heads())

    def test_the_platform_is_answered_as_ever(self) -> None:
        self.assert_golden("http-platform.json", platform_answers())

    def test_heads_in_the_platforms_words_are_as_ever(self) -> None:
        self.assert_golden("http-platform-heads.json", platform_heads())
