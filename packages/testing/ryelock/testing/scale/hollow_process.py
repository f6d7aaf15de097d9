"""One process of hollow nodes, as the runner starts and stops it."""

import json
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path

from ryelock.testing.hollow import HollowSettings
from ryelock.testing.processes.fleet import picked_port
from ryelock.testing.scale.sizes import LISTING_SECONDS, TERM_SECONDS, Size, zone_name

HOST = "127.0.8.1"
STOP_SECONDS = 5


class HollowProcess:
    """Settings, log and operating system process of some hollow nodes."""

    __slots__ = ("address", "file", "log", "popen")

    def __init__(
        self,
        name: str,
        folder: Path,
        seeds: list[str],
        places: list[tuple[str, str]],
        probe_seconds: float,
    ) -> None:
        """Write the settings of a process with these nodes, given by name and zone."""
        self.address = f"{HOST}:{picked_port(HOST)}"
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None
        settings = HollowSettings(
            self.address, seeds, places, TERM_SECONDS, LISTING_SECONDS, probe_seconds
        )
        self.file.write_text(json.dumps(asdict(settings)))

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "ryelock.testing.hollow", str(self.file)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def stop(self) -> None:
        """End the process, by force where it does not end in time."""
        if self.popen is None:
            return
        self.popen.terminate()
        try:
            self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait(STOP_SECONDS)


def hollow_processes(size: Size, folder: Path, seeds: list[str]) -> list[HollowProcess]:
    """Spread a size's hollow nodes over its processes; none is started."""
    places = [(f"edge-{number:04d}", zone_name(number, size.zones)) for number in range(size.nodes)]
    return [
        HollowProcess(
            f"hollow-{number}", folder, seeds, places[number :: size.processes], size.probe_seconds
        )
        for number in range(size.processes)
    ]
