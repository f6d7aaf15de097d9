"""Random schedules of faults on a deployment in the platform's words; every rule is held after.

Servers crash, leave, come up at others' addresses and misbehave; the list falls silent; processes
are killed and started, machines lose power and are cut off; operators change, amend and purge.
"""

import json
from collections.abc import Callable
from copy import deepcopy
from random import Random
from typing import Any

from deployment import HOST, Deployment, route, service_item
from ryelock.testing.hosting_platform import Manner, ServerInstance
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE, AttemptRecord

RATE = 60.0
FAULTS = 12


def mix(number: int) -> tuple[str, str, str]:
    part = number % 4
    if part == 0:
        return UNSAFE, "POST", f"/orders/{number}"
    if part == 1:
        return SAFE, "GET", f"/plain/{number}"
    if part == 2:
        return SAFE, "GET", f"/lookups/{number}"
    return CACHEABLE, "GET", f"/covers/{number % 30}"


class Schedule:
    """One run: its deployment, what happens to it, and what operators were told."""

    __slots__ = (
        "acknowledged",
        "base",
        "deployment",
        "ever",
        "happened",
        "number",
        "random",
        "told",
    )

    def __init__(self, seed: int) -> None:
        self.random = Random(f"schedule {seed}")
        zones = self.random.choice(
            (
                {"a": "north", "b": "north", "c": "north"},
                {"a": "north", "b": "south", "c": "west"},
                {"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"},
            )
        )
        deployment = self.deployment = Deployment(
            seed, zones, page_size=self.random.choice((5, 50))
        )
        plain: Any = deployment.configuration
        plain["routes"].append(route("lookups", "/lookups/", SAFE, "desks"))
        plain["services"][1] = service_item("desks", rate_per_s=RATE)
        deployment.services["desks"].rate = RATE
        deployment.set_up()
        self.happened: list[str] = []
        self.base = "r5"
        self.number = 5
        self.acknowledged: Any = plain
        self.ever: list[Any] = [plain]
        self.told: list[tuple[str, int]] = []

    # What callers may be served by, whatever version was in force.

    def allowed(self, note: AttemptRecord) -> set[str]:
        found: set[str] = set()
        for plain in self.ever:
            self.deployment.configuration = plain
            found |= self.deployment.allowed(note)
        return found

    # Operators.

    async def operate(self) -> None:
        """Changes one after another, each on what was last acknowledged."""
        deployment = self.deployment
        scheduler = deployment.operator_node.scheduler
        while True:
            await scheduler.sleep(0.5 + 1.5 * self.random.random())
            self.number += self.random.randrange(1, 4)
            plain = deepcopy(self.acknowledged)
            plain["version"] = f"r{self.number}"
            service = self.random.choice(("pages", "desks"))
            plain["routes"][0] = route("plain", "/plain/", SAFE, service)
            if self.random.random() < 0.3:
                plain["routes"][0] = route(
                    "plain",
                    "/plain/",
                    SAFE,
                    weighted_split=[
                        {"service": "pages", "weight": 3},
                        {"service": "desks", "weight": 1},
                    ],
                )
            self.ever.append(plain)
            place, body = b"/configuration/replace", plain
            if self.random.random() < 0.5:
                place = b"/configuration/amend"
                body = {"version": plain["version"], "upsert": {"routes": [plain["routes"][0]]}}
            status, _ = await deployment.operator.send(
                b"POST",
                place,
                [(b"Based-On-Version", self.base.encode())],
                json.dumps(body).encode(),
                60.0,
            )
            self.told.append((plain["version"], status))
            if status == 200:
                self.acknowledged, self.base = plain, plain["version"]
            target = f"/covers/{self.random.randrange(30)}"
            deployment.services["pages"].objects.change(target, deployment.world.time)
            await deployment.operator.send(
                b"POST", b"/purges", [], json.dumps({"host": HOST, "path": target}).encode(), 10.0
            )

    # Faults.

    def live(self) -> list[ServerInstance]:
        return [
            instance
            for instance in self.deployment.servers.values()
            if not instance.ended and not instance.draining
        ]

    def crash_server(self) -> None:
        instance = self.random.choice(self.live())
        self.deployment.platform.crash(instance)
        self.deployment.add_server(instance.service.name, instance.zone)

    def hand_address(self) -> None:
        """Two servers are gone, and each one's address is the other service's."""
        instances = [
            self.random.choice(
                [instance for instance in self.live() if instance.service.name == name]
            )
            for name in self.deployment.services
        ]
        for instance in instances:
            self.deployment.platform.crash(instance)
        self.deployment.world.run(2)
        for instance, other in zip(instances, reversed(instances), strict=True):
            self.deployment.add_server(instance.service.name, instance.zone, other.address)

    def drain_server(self) -> None:
        instance = self.random.choice(self.live())
        self.deployment.platform.drain(instance)
        self.deployment.add_server(instance.service.name, instance.zone)
        self.deployment.world.at(
            self.deployment.world.time + 4.0, lambda: self.deployment.platform.end(instance)
        )

    def misbehave(self) -> None:
        instance = self.random.choice(self.live())
        instance.manner = self.random.choice(list(Manner))

    def misbehave_all(self) -> None:
        name = self.random.choice(list(self.deployment.services))
        manner = self.random.choice(list(Manner))
        self.happened.append(f"  {name}: {manner}")
        for instance in self.deployment.of_service(name):
            instance.manner = manner
        self.deployment.world.run(3)
        self.behave()

    def behave(self) -> None:
        for instance in self.deployment.servers.values():
            instance.manner = Manner.WHOLE

    def silent_list(self) -> None:
        self.deployment.platform.silent = not self.deployment.platform.silent

    def list_over_rate(self) -> None:
        self.deployment.platform.rate = 0.0 if self.deployment.platform.rate else 52.0

    def kill_process(self, power: bool = False) -> None:
        name = self.random.choice(self.deployment.cores + self.deployment.edges)
        self.deployment.kill(name, power)
        self.deployment.world.run(0.5 + self.random.random())
        self.deployment.start(name)

    def lose_power(self) -> None:
        self.kill_process(True)

    def kill_all_cores(self) -> None:
        for name in self.deployment.cores:
            self.deployment.kill(name)
        self.deployment.world.run(0.8)
        for name in self.deployment.cores:
            self.deployment.start(name)

    def cut_machine(self) -> None:
        machine = self.random.choice(self.deployment.edges).rpartition(".")[0]
        self.deployment.world.isolate(machine)
        self.deployment.world.run(1 + 3 * self.random.random())
        self.deployment.world.heal()

    def cut_zones(self) -> None:
        one, other = self.random.sample(sorted(self.deployment.zones), 2)
        machines = sorted(self.deployment.lines)
        for first in machines:
            for second in machines:
                if first.startswith(f"edge-{one}-") and second.startswith(f"edge-{other}-"):
                    self.deployment.world.cut(first, second)
        self.deployment.world.run(1 + 3 * self.random.random())
        self.deployment.world.heal()

    def freeze(self) -> None:
        name = self.random.choice(self.deployment.edges)
        self.deployment.world.freeze(name, True)
        self.deployment.world.run(1 + 2 * self.random.random())
        self.deployment.world.freeze(name, False)

    def run(self) -> None:
        deployment = self.deployment
        deployment.crowd(15, 4.0, mix)
        deployment.operator_node.scheduler.create_task(self.operate(), name="operates")
        faults: list[Callable[[], None]] = [
            self.crash_server,
            self.hand_address,
            self.drain_server,
            self.misbehave,
            self.misbehave_all,
            self.behave,
            self.silent_list,
            self.list_over_rate,
            self.kill_process,
            self.lose_power,
            self.kill_all_cores,
            self.cut_machine,
            self.cut_zones,
            self.freeze,
        ]
        for _ in range(FAULTS):
            fault = self.random.choice(faults)
            self.happened.append(f"{deployment.world.time:.2f} {fault.__name__}")
            fault()
            deployment.world.run(0.3 + 2 * self.random.random())
        deployment.platform.silent, deployment.platform.rate = False, 52.0
        self.behave()
        deployment.world.run(15)
