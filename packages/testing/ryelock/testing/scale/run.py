"""One bring-up of one size: its processes, and what the runner asks of them."""

from pathlib import Path

from ryelock.control_client import ControlResponse, call_control_api
from ryelock.events import RecordingLog
from ryelock.rpc import Message, RpcClients
from ryelock.runtime import Scheduler
from ryelock.runtime.reactor import Reactor
from ryelock.testing.processes.accounts import Account, read_traffic
from ryelock.testing.processes.fleet import Fleet, Process
from ryelock.testing.scale.hollow_process import hollow_processes
from ryelock.testing.scale.readings import Reading, sum_of_states
from ryelock.testing.scale.sizes import (
    LISTING_SECONDS,
    TERM_SECONDS,
    Figures,
    Plain,
    Size,
    service_name,
    zone_name,
)
from ryelock.testing.stand_ins.servers import PlatformStandIn

REACH_SECONDS = 15.0
TELL_SECONDS = 20.0
RETRY_SECONDS = 0.1
LOOK_SECONDS = 0.05
RETRIED = (0, 503, 504)


class ScaleRun:
    """The processes of one bring-up, its figures so far, and its faults.

    Attributes:
        leader: name of the control node that led when last asked.
        retries: operator's requests that were sent again.
        leader_changes: how often another control node was found to lead.
        version: version of the configuration.
        figures: measured values by name, in the order in which they are shown.
        faults: what went wrong; empty where the run is sound.
        notes: further outcomes that are no figures.
    """

    __slots__ = (
        "faults",
        "figures",
        "fleet",
        "hollow",
        "leader",
        "leader_changes",
        "lines",
        "notes",
        "platform",
        "reactor",
        "retries",
        "scheduler",
        "size",
        "version",
    )

    def __init__(self, size: Size, folder: Path, reactor: Reactor) -> None:
        """Create the stand-in and write all settings; no process is started."""
        self.size = size
        self.reactor = reactor
        self.scheduler: Scheduler = reactor.scheduler
        log = RecordingLog("runner")
        self.lines = RpcClients(self.scheduler, reactor, log)
        self.platform = PlatformStandIn(self.scheduler, reactor, log, "127.0.9.1:0")
        list_servers(self.platform, size)
        settings: Plain = {"term_seconds": TERM_SECONDS, "listing_term": LISTING_SECONDS}
        self.fleet = Fleet(size.shape(), folder, self.platform.address, settings)
        self.hollow = hollow_processes(size, folder, self.fleet.seeds)
        self.leader = ""
        self.retries = 0
        self.leader_changes = 0
        self.version = 1
        self.figures: Figures = {}
        self.faults: list[str] = []
        self.notes: Plain = {}

    def cores(self) -> list[Process]:
        """Return the control nodes."""
        return self.fleet.of_role("core")

    def followers(self) -> list[str]:
        """Return the names of the control nodes that do not lead."""
        return [core.name for core in self.cores() if core.name != self.leader]

    async def tell(self, kind: str, **fields: object) -> list[Message]:
        """Send one message to every hollow process; return the answers in their order."""
        found: list[Message] = []
        message: Message = {"kind": kind, **fields}
        for process in self.hollow:
            answer = await self.lines.call(process.address, message, TELL_SECONDS)
            found.append(answer.ok if answer.is_ok() else {})
        return found

    async def times(self, kind: str, seconds: float, **fields: object) -> list[float]:
        """Return the moments at which nodes came somewhere, sorted.

        Waits until all nodes have come or the seconds are over.
        """
        until = self.scheduler.now() + seconds
        while True:
            found: list[float] = []
            for answer in await self.tell(kind, **fields):
                times = answer.get("times")
                found += [float(at) for at in times] if isinstance(times, list) else []
            if len(found) >= self.size.nodes or self.scheduler.now() >= until:
                return sorted(found)
            await self.scheduler.sleep(LOOK_SECONDS)

    async def find_leader(self, seconds: float = 20.0) -> Process | None:
        """Ask control nodes until one says it leads; None once the seconds are over."""
        until = self.scheduler.now() + seconds
        while self.scheduler.now() < until:
            for core in self.cores():
                if await self.leads(core):
                    self.leader_changes += self.leader not in ("", core.name)
                    self.leader = core.name
                    return core
            await self.scheduler.sleep(RETRY_SECONDS)
        return None

    async def leads(self, core: Process) -> bool:
        """Ask a control node whether it leads."""
        if core.over:
            return False
        found = await call_control_api(
            self.scheduler, self.reactor, core.control, "GET", "/fitness/ready"
        )
        return found.is_ok() and found.ok.body.get("leads") is True

    async def post(self, target: str, given: object) -> ControlResponse:
        """Send an operator's request to the leader; return what it answered.

        Where it was not taken or its outcome is unknown it is sent again under its id.
        """
        until = self.scheduler.now() + REACH_SECONDS
        while True:
            address = self.fleet.processes[self.leader].control
            found = await call_control_api(
                self.scheduler, self.reactor, address, "POST", target, given
            )
            answer = found.ok if found.is_ok() else fault_of(found.error)
            if answer.status not in RETRIED or self.scheduler.now() >= until:
                return answer
            self.retries += 1
            await self.scheduler.sleep(RETRY_SECONDS)
            await self.find_leader()

    async def read(self) -> Reading:
        """Read all accounts and counts now."""
        state = sum_of_states(await self.tell("hollow.state"))
        traffic = read_traffic()
        accounts = {name: Account(pid, traffic) for name, pid in self.running().items()}
        return Reading(self.scheduler.now(), accounts, state)

    def running(self) -> dict[str, int]:
        """Return the process ids of all processes that run, by name."""
        found = {
            process.name: process.popen.pid
            for process in self.fleet.processes.values()
            if process.popen is not None and not process.over
        }
        for place, hollow in enumerate(self.hollow):
            if hollow.popen is not None:
                found[f"hollow-{place}"] = hollow.popen.pid
        return found

    def stop(self) -> None:
        """End all processes."""
        for process in self.hollow:
            process.stop()
        self.fleet.stop()


def list_servers(platform: PlatformStandIn, size: Size) -> None:
    """Let the platform's stand-in list a size's servers; nothing listens at their addresses."""
    for number in range(size.servers):
        address = f"127.0.9.{2 + number // 200}:{10_000 + number}"
        platform.show(service_name(number), address, zone_name(number, size.zones), 1)


def fault_of(error: Exception) -> ControlResponse:
    """Return a failed request as an answer of status 0."""
    return ControlResponse(0, {"fault": str(error)})
