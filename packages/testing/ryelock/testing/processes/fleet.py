"""Brings up a fleet of real processes on this machine, and takes it down again.

The runner is a tool: it starts daemons, the daemons start nothing. Every machine of a shape
has a loopback address of its own, with ports the kernel picked, so that a port that was free
is not taken by somebody's outgoing link meanwhile. Readiness is waited for by asking.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from ryelock.control_client import call_control_api
from ryelock.runtime import Network, Scheduler
from ryelock.testing.processes.shapes import Machine, Shape

FAST = {"probe_seconds": 1.0, "probe_timeout": 1.0, "replace_seconds": 4.0}


def picked_port(host: str) -> int:
    """Return a port of a host that the kernel picked and that is free now."""
    with socket.socket() as plain:
        plain.bind((host, 0))
        return int(plain.getsockname()[1])


class Process:
    """One daemon: its settings file, its log, and its number while it runs."""

    __slots__ = (
        "control",
        "file",
        "log",
        "name",
        "popen",
        "request_address",
        "role",
        "wire",
        "zone",
    )

    def __init__(self, name: str, role: str, zone: str, host: str, folder: Path) -> None:
        """Pick addresses on a host for a daemon; its files are put into the folder."""
        self.name = name
        self.role = role
        self.zone = zone
        self.wire = f"{host}:{picked_port(host)}"
        self.control = f"{host}:{picked_port(host)}"
        self.request_address = f"{host}:{picked_port(host)}" if role == "edge" else ""
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the daemon; its output is appended to its log file."""
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "ryelock.cli", self.role, "--settings", str(self.file)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the daemon, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def wait(self, seconds: float) -> int | None:
        """Wait for the daemon's end; return its exit code, None where it still runs."""
        if self.popen is None:
            return None
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    @property
    def over(self) -> bool:
        """Whether the daemon does not run."""
        return self.popen is None or self.popen.poll() is not None


class Fleet:
    """All daemons of one shape."""

    __slots__ = ("folder", "platform", "processes", "settings", "shape")

    def __init__(
        self, shape: Shape, folder: Path, platform: str, settings: dict[str, object]
    ) -> None:
        """Write the settings files of a shape's daemons.

        Args:
            shape: machines and configuration.
            folder: where settings, data and logs are put.
            platform: address of the platform's list of servers.
            settings: settings that every daemon gets.
        """
        self.shape = shape
        self.folder = folder
        self.platform = platform
        self.settings = settings
        self.processes: dict[str, Process] = {}
        for number, machine in enumerate(shape.machines):
            self.add_machine(machine, f"127.0.{10 + number // 200}.{1 + number % 200}")
        for process in self.processes.values():
            self.write_settings(process)

    def add_machine(self, machine: Machine, host: str) -> None:
        """Add the daemons that run on a machine."""
        if machine.disk:
            self.add(machine.name, "core", machine, host)
        if machine.prober:
            name = f"prober-{machine.name}" if machine.disk else machine.name
            self.add(name, "prober", machine, host)
        if not machine.disk and not machine.prober:
            self.add(machine.name, "edge", machine, host)

    def add(self, name: str, role: str, machine: Machine, host: str) -> None:
        """Add one daemon."""
        self.processes[name] = Process(name, role, machine.zone, host, self.folder)

    @property
    def seeds(self) -> list[str]:
        """Wire addresses of the first three control nodes."""
        return [process.wire for process in self.processes.values() if process.role == "core"][:3]

    def write_settings(self, process: Process) -> None:
        """Write the settings file of one daemon."""
        machines = {machine.name: machine for machine in self.shape.machines}
        machine = machines.get(process.name) or machines[process.name.removeprefix("prober-")]
        plain: dict[str, object] = {
            "name": process.name,
            "zone": process.zone,
            "machine": machine.name,
            "seeds": self.seeds,
            "wire_address": process.wire,
            "control_address": process.control,
            **self.settings,
        }
        if process.role == "core":
            plain["data_folder"] = str(self.folder / f"data-{process.name}")
            plain["platform_address"] = self.platform
        if process.role == "edge":
            plain["order_address"] = process.request_address
            plain["probe"] = machine.probe
        process.file.write_text(json.dumps(plain, indent=2))

    def of_role(self, role: str) -> list[Process]:
        """Return the daemons of a role."""
        return [process for process in self.processes.values() if process.role == role]

    def start(self) -> None:
        """Start all daemons."""
        for process in self.processes.values():
            process.start()

    def stop(self) -> None:
        """End every process that this fleet started, gently and then at once."""
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        until = time.monotonic() + 15
        for process in self.processes.values():
            if process.wait(max(0.1, until - time.monotonic())) is None:
                process.signal(signal.SIGKILL)
                process.wait(5)


async def wait_ready(
    scheduler: Scheduler, network: Network, process: Process, seconds: float
) -> bool:
    """Until a process says it is ready, or the seconds are over."""
    until = scheduler.now() + seconds
    while scheduler.now() < until:
        if process.over:
            return False
        found = await call_control_api(scheduler, network, process.control, "GET", "/fitness/ready")
        if found.is_ok() and found.ok.status == 200:
            return True
        await scheduler.sleep(0.1)
    return False
