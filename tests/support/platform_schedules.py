"""Random schedules of faults on a simulated deployment of the platform.

Servers crash, drain, get addresses of other servers and misbehave; the server list stops
responding; processes are killed and restarted, machines lose power and are isolated; operators
replace and amend the configuration and purge objects.
"""

import json
from collections.abc import Callable
from copy import deepcopy
from random import Random
from typing import Any

from deployment import HOST, Deployment, route, service_item
from ryelock.testing.hosting_platform import Manner, ServerInstance
from ryelock.testing.hosting_platform.attempts import CACHEABLE, SAFE, UNSAFE, AttemptRecord

RATE_PER_SECOND = 60.0
FAULT_COUNT = 12


def draw_request(number: int) -> tuple[str, str, str]:
    """Return kind, method and target of a client's request for a random number."""
    part = number % 4
    if part == 0:
        return UNSAFE, "POST", f"/orders/{number}"
    if part == 1:
        return SAFE, "GET", f"/plain/{number}"
    if part == 2:
        return SAFE, "GET", f"/lookups/{number}"
    return CACHEABLE, "GET", f"/covers/{number % 30}"


class Schedule:
    """Seeded run of random faults and operators' changes on a deployment.

    Attributes:
        acknowledged: last configuration that was acknowledged.
        sent_configurations: all configurations that were sent.
        outcomes: version and status code of each change.
        fault_log: time and name of each fault, for messages of failed assertions.
    """

    __slots__ = (
        "acknowledged",
        "base_version",
        "deployment",
        "fault_log",
        "outcomes",
        "random",
        "sent_configurations",
        "version_number",
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
        configuration: Any = deployment.configuration
        configuration["routes"].append(route("lookups", "/lookups/", SAFE, "desks"))
        configuration["services"][1] = service_item("desks", rate_per_s=RATE_PER_SECOND)
        deployment.services["desks"].rate = RATE_PER_SECOND
        deployment.set_up()
        self.fault_log: list[str] = []
        self.base_version = "r5"
        self.version_number = 5
        self.acknowledged: Any = configuration
        self.sent_configurations: list[Any] = [configuration]
        self.outcomes: list[tuple[str, int]] = []

    def allowed_services(self, record: AttemptRecord) -> set[str]:
        """Return the services to which any configuration so far routes a request."""
        services: set[str] = set()
        for configuration in self.sent_configurations:
            self.deployment.configuration = configuration
            services |= self.deployment.allowed_services(record)
        return services

    # Operators.

    async def operate(self) -> None:
        """Send changes one after another, each based on the last acknowledged version."""
        deployment = self.deployment
        scheduler = deployment.operator_node.scheduler
        while True:
            await scheduler.sleep(0.5 + 1.5 * self.random.random())
            self.version_number += self.random.randrange(1, 4)
            configuration = deepcopy(self.acknowledged)
            configuration["version"] = f"r{self.version_number}"
            service = self.random.choice(("pages", "desks"))
            configuration["routes"][0] = route("plain", "/plain/", SAFE, service)
            if self.random.random() < 0.3:
                configuration["routes"][0] = route(
                    "plain",
                    "/plain/",
                    SAFE,
                    weighted_split=[
                        {"service": "pages", "weight": 3},
                        {"service": "desks", "weight": 1},
                    ],
                )
            self.sent_configurations.append(configuration)
            path, body = b"/configuration/replace", configuration
            if self.random.random() < 0.5:
                path = b"/configuration/amend"
                body = {
                    "version": configuration["version"],
                    "upsert": {"routes": [configuration["routes"][0]]},
                }
            status, _ = await deployment.operator.send(
                b"POST",
                path,
                [(b"Based-On-Version", self.base_version.encode())],
                json.dumps(body).encode(),
                60.0,
            )
            self.outcomes.append((configuration["version"], status))
            if status == 200:
                self.acknowledged, self.base_version = configuration, configuration["version"]
            target = f"/covers/{self.random.randrange(30)}"
            deployment.services["pages"].objects.change(target, deployment.world.time)
            await deployment.operator.send(
                b"POST", b"/purges", [], json.dumps({"host": HOST, "path": target}).encode(), 10.0
            )

    # Faults.

    def serving_instances(self) -> list[ServerInstance]:
        return [
            instance
            for instance in self.deployment.servers.values()
            if not instance.ended and not instance.draining
        ]

    def crash_server(self) -> None:
        instance = self.random.choice(self.serving_instances())
        self.deployment.platform.crash(instance)
        self.deployment.add_server(instance.service.name, instance.zone)

    def swap_addresses(self) -> None:
        """Crash a server of each service and reuse its address for the other service."""
        instances = [
            self.random.choice(
                [instance for instance in self.serving_instances() if instance.service.name == name]
            )
            for name in self.deployment.services
        ]
        for instance in instances:
            self.deployment.platform.crash(instance)
        self.deployment.world.run(2)
        for instance, other in zip(instances, reversed(instances), strict=True):
            self.deployment.add_server(instance.service.name, instance.zone, other.address)

    def drain_server(self) -> None:
        instance = self.random.choice(self.serving_instances())
        self.deployment.platform.drain(instance)
        self.deployment.add_server(instance.service.name, instance.zone)
        self.deployment.world.at(
            self.deployment.world.time + 4.0, lambda: self.deployment.platform.end(instance)
        )

    def set_server_manner(self) -> None:
        instance = self.random.choice(self.serving_instances())
        instance.manner = self.random.choice(list(Manner))

    def set_service_manner(self) -> None:
        name = self.random.choice(list(self.deployment.services))
        manner = self.random.choice(list(Manner))
        self.fault_log.append(f"  {name}: {manner}")
        for instance in self.deployment.servers_of(name):
            instance.manner = manner
        self.deployment.world.run(3)
        self.reset_manners()

    def reset_manners(self) -> None:
        for instance in self.deployment.servers.values():
            instance.manner = Manner.WHOLE

    def toggle_list_silence(self) -> None:
        self.deployment.platform.silent = not self.deployment.platform.silent

    def toggle_list_rate(self) -> None:
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

    def isolate_machine(self) -> None:
        machine = self.random.choice(self.deployment.edges).rpartition(".")[0]
        self.deployment.world.isolate(machine)
        self.deployment.world.run(1 + 3 * self.random.random())
        self.deployment.world.heal()

    def partition_zones(self) -> None:
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
        deployment.start_clients(15, 4.0, draw_request)
        deployment.operator_node.scheduler.create_task(self.operate(), name="operates")
        faults: list[Callable[[], None]] = [
            self.crash_server,
            self.swap_addresses,
            self.drain_server,
            self.set_server_manner,
            self.set_service_manner,
            self.reset_manners,
            self.toggle_list_silence,
            self.toggle_list_rate,
            self.kill_process,
            self.lose_power,
            self.kill_all_cores,
            self.isolate_machine,
            self.partition_zones,
            self.freeze,
        ]
        for _ in range(FAULT_COUNT):
            fault = self.random.choice(faults)
            self.fault_log.append(f"{deployment.world.time:.2f} {fault.__name__}")
            fault()
            deployment.world.run(0.3 + 2 * self.random.random())
        deployment.platform.silent, deployment.platform.rate = False, 52.0
        self.reset_manners()
        deployment.world.run(15)
