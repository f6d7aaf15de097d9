"""Seeded simulated runs that bring about each kind of message between processes."""

from ryelock.testing.scenario import Scenario
from ryelock.testing.stand_ins.callers import Caller
from ryelock.testing.stand_ins.servers import ServerBehavior

PROBING: dict[str, object] = {
    "derive_watches": True,
    "image_records": 12,
    "segment_bytes": 4096,
    "term_seconds": 1.0,
}


async def claims(scenario: Scenario) -> None:
    """Send the same request twice under one idempotency key, through different edges."""
    caller = Caller(
        scenario.outside.scheduler,
        scenario.outside.network,
        scenario.random,
        scenario.request_records,
    )
    for number, name in enumerate(scenario.edges[:2]):
        edge = f"{scenario.node(name).host}:3"
        key = [(b"Idempotency-Key", b"one-key")]
        await caller.request(edge, "POST", "/orders/1", f"claim-{number}", key, b"body")
    caller.close()


def every_message() -> Scenario:
    """A deployment through a day: work, a stop, a lost disk, no leader, and the return."""
    scenario = Scenario(11, 5, 2, 2, 1, {**PROBING, "reader_duty": True})
    world = scenario.world
    scenario.set_up()
    scenario.start_callers(4, 4.0, 1)
    world.task(scenario.outside, claims(scenario), 20)
    scenario.ask_now("POST", "/purges", {"id": "p1", "scopes": [{"prefix": "/covers"}]})
    drained = scenario.edges[0]
    scenario.ask_now("POST", "/drains", {"id": "d1", "target": drained, "force": True})
    scenario.ask_now("POST", "/recoveries", {"id": "d2", "target": drained, "force": True})
    for method, target in (("GET", "/verdicts"), ("GET", "/members"), ("GET", "/configuration")):
        for through in (scenario.cores[0], scenario.edges[1]):
            scenario.ask_now(method, target, None, through)
    scenario.ask_now(
        "POST", "/plans", {"put": {"routes": {"x": {"path": "/x", "service": "none"}}}}
    )
    for number in range(20):
        world.task(scenario.operators, scenario.add_route(f"gen-{number}", 1 + number), 30)
    world.run(2.0)
    for server in scenario.servers.values():
        server.behavior = ServerBehavior.FAILING
    world.run(6.0)
    for server in scenario.servers.values():
        server.behavior = ServerBehavior.SOUND
    world.run(6.0)
    lost = next(name for name in scenario.cores if name != scenario.leader())
    scenario.lose_disk(lost)
    scenario.start(lost)
    world.run(3.0)
    stop(scenario, scenario.edges[1])
    stop(scenario, scenario.leader())
    world.run(3.0)
    lose_all_power(scenario)
    without_leader(scenario)
    lose_edge(scenario, scenario.edges[0])
    return scenario


def stop(scenario: Scenario, name: str) -> None:
    """Stop a process in order and start it again."""
    node = scenario.node(name)
    assert node.inner is not None
    scenario.world.task(node, node.inner.stop(), 30)
    scenario.world.kill(name)
    scenario.start(name)


def lose_all_power(scenario: Scenario) -> None:
    """Lose power at all control nodes, one after another coming back, with a fresh snapshot."""
    for name in scenario.cores:
        scenario.world.kill(name, True)
    for name in scenario.cores:
        scenario.start(name)
    scenario.world.run_until(lambda: bool(scenario.leader()), 20)
    lost = next(name for name in scenario.cores if name != scenario.leader())
    scenario.lose_disk(lost)
    scenario.start(lost)
    scenario.world.run(4.0)


def without_leader(scenario: Scenario) -> None:
    """Cut control nodes off from each other, so that edges ask for promises; then heal."""
    for name in scenario.cores:
        for other in scenario.cores:
            if name != other:
                scenario.world.cut(name, other)
    scenario.world.run(4.0)
    scenario.world.heal()
    scenario.world.run(4.0)
    scenario.callers_on = False
    scenario.world.run(1.0)


def lose_edge(scenario: Scenario, name: str) -> None:
    """Lose an edge until its session has ended, and start another one meanwhile."""
    scenario.world.kill(name, True)
    scenario.world.run(5.0)
    stop(scenario, scenario.edges[1])
    scenario.world.run(1.0)
    scenario.start(name)
    scenario.world.run(1.0)


def desk() -> Scenario:
    """A deployment with a control API without a disk, over which an operator works."""
    scenario = Scenario(12, 3, 1, 1, 0)
    name = scenario.plan("desk", "desk0", scenario.zones[0])
    scenario.set_up()
    scenario.ask_now("GET", "/configuration", None, name)
    scenario.world.run(1.0)
    return scenario
