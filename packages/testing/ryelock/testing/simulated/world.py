"""Simulation of all nodes in one process, running the code of the daemons.

Time advances only while no node has a ready task. Bytes on a connection arrive in order after a
random delay; a network partition, in one or both directions, holds them back until it heals. A
killed process resets its connections, a machine without power sends nothing. After a loss of
power a disk has all synced data and a random prefix of the unsynced data. Every write to disk
and every message between processes is a numbered fault point. Runs with the same seed produce
the same trace.
"""

import hashlib
from collections.abc import Callable
from random import Random
from typing import TypeVar

from ryelock.control_plane.identity import open_disk
from ryelock.control_plane.process import ControlNode
from ryelock.edge.process import TrafficNode
from ryelock.events import RecordingLog
from ryelock.journal import FolderError
from ryelock.runtime import (
    Connection,
    ConnectionHandler,
    NetworkError,
    Scheduler,
    Task,
    TaskCoroutine,
)
from ryelock.settings import Settings, read_settings
from ryelock.testing.simulated.memory_files import read_file
from ryelock.testing.simulated.simulated_time import SimulatedTime

Found = TypeVar("Found")
WALL_CLOCK_START_SECONDS = 1_800_000_000.0


class Crash(BaseException):
    """Raised at a fault point to end the simulated process."""


class NodeClock:
    """The clock of a machine: monotonic time with its own origin, and wall time with an error."""

    __slots__ = ("error", "world", "zero")

    def __init__(self, world: "World", zero: float) -> None:
        """Create the clock of a node; its monotonic time starts at `zero` seconds."""
        self.world = world
        self.zero = zero
        self.error = 0.0

    def now(self) -> float:
        """Return the node's monotonic time in seconds."""
        return self.world.time + self.zero

    def wall(self) -> float:
        """Return the node's time of day in seconds since 1970, with its error."""
        return WALL_CLOCK_START_SECONDS + self.world.time + self.error


class SimConnection(Connection):
    """One end of a connection.

    Attributes:
        other: The other end, once the connection is established.
        due: Earliest arrival of further bytes at the other end, which keeps them in order.
        closing: True once this end was closed and its end of stream is in flight.
        gone: True once the process of this end was killed.
        reading: False while reading is paused.
        was_reset: True once this end reset the connection.
        waiting: Bytes written before the connection was established.
    """

    __slots__ = ("closing", "due", "gone", "node", "other", "reading", "waiting", "was_reset")

    def __init__(self, node: "SimNode", peer: str) -> None:
        """Create one end on a node, not connected yet."""
        super().__init__(node.scheduler, peer)
        self.node = node
        self.other: SimConnection | None = None
        self.due = 0.0
        self.closing = False
        self.gone = False
        self.reading = True
        self.was_reset = False
        self.waiting: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them until the connection is established."""
        if self.closed or self.closing or not data:
            return
        self.unsent_bytes += len(data)
        if self.node.inner is not None:
            self.node.world.point(self.node, "send")
        if not self.connected:
            self.waiting.append(data)
            return
        self.node.world.carry(self, data)

    def close(self) -> None:
        """Close gracefully: the other end receives all written bytes, then an end of stream."""
        if self.closed or self.closing:
            return
        if not self.connected:
            self.abort()
            return
        self.closing = True
        self.node.world.carry(self, b"")

    def abort(self) -> None:
        """Reset the connection at once."""
        if self.closed:
            return
        self.was_reset = True
        self.node.world.reset(self)
        self.connection_lost()

    def pause_reading(self) -> None:
        """Pause reading; further bytes are held back at the other end."""
        self.reading = False

    def resume_reading(self) -> None:
        """Resume reading."""
        self.reading = True


class SimNetwork:
    """The network interface of one node."""

    __slots__ = ("node",)

    def __init__(self, node: "SimNode") -> None:
        """Create the network interface of a node."""
        self.node = node

    def listen(self, address: str, handler: ConnectionHandler) -> str:
        """Listen on host:port, port 0 for any free one; raise NetworkError if it is in use."""
        world = self.node.world
        host, _, port = address.rpartition(":")
        if port == "0":
            world.ports += 1
            address = f"{host}:{20_000 + world.ports}"
        if address in world.listeners:
            raise NetworkError(f"cannot listen on {address}: taken")
        world.listeners[address] = (self.node, handler)
        return address

    def stop_listening(self, address: str) -> None:
        """Close the listener of this node at an address."""
        found = self.node.world.listeners.get(address)
        if found is not None and found[0] is self.node:
            del self.node.world.listeners[address]

    def connect(self, address: str) -> Connection:
        """Return a connection that is being established; see Connection.wait_connected."""
        connection = SimConnection(self.node, address)
        self.node.connections.append(connection)
        self.node.world.try_open(connection, address)
        return connection


class SimFolder:
    """A disk that may lose unsynced data at a loss of power."""

    __slots__ = ("files", "full", "node", "synced")

    def __init__(self) -> None:
        """Create an empty folder that is not yet attached to a node."""
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.full = False
        self.node: SimNode | None = None

    def point(self, what: str) -> None:
        """Pass a fault point; raise FolderError if the disk is full."""
        if self.node is not None:
            self.node.world.point(self.node, what)
        if self.full and what in ("append", "whole"):
            raise FolderError("no space left on device")

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return the contents of a file; raise FolderError if it does not exist."""
        return read_file(self.files, name)

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a new or existing file, without fsync."""
        self.point("append")
        self.files.setdefault(name, bytearray()).extend(data)
        self.synced.setdefault(name, 0)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable (fsync)."""
        self.point("sync")
        self.synced[name] = len(self.files.get(name, b""))
        self.point("synced")

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        del self.files[name][size:]
        self.synced[name] = min(self.synced.get(name, 0), size)

    def write_atomically(self, name: str, data: bytes) -> None:
        """Replace a file by durable contents."""
        self.point("whole")
        self.files[name] = bytearray(data)
        self.synced[name] = len(data)
        self.point("wholed")

    def sync_directory(self) -> None:
        """Do nothing: names are durable at once; `ModelFolder` simulates the loss of renames."""

    def rename(self, name: str, other: str) -> None:
        """Rename a file, replacing one of that name."""
        self.files[other] = self.files.pop(name)
        self.synced[other] = self.synced.pop(name, 0)

    def delete(self, name: str) -> None:
        """Remove a file if it exists."""
        self.point("delete")
        self.files.pop(name, None)
        self.synced.pop(name, None)

    def lose_power(self, random: Random) -> None:
        """Keep synced data and a random prefix of unsynced data."""
        for name, data in self.files.items():
            synced = self.synced.get(name, 0)
            if len(data) > synced:
                del data[synced + random.randrange(len(data) - synced + 1) :]
                self.synced[name] = len(data)


class SimNode:
    """One simulated process: its scheduler, network, optional disk, and the daemon in it."""

    __slots__ = (
        "alive",
        "clock",
        "connections",
        "folder",
        "frozen",
        "host",
        "inner",
        "log",
        "machine",
        "name",
        "network",
        "power",
        "random",
        "scheduler",
        "world",
    )

    def __init__(self, world: "World", name: str, machine: str, host: str) -> None:
        """Create a node on a machine at a host address, without a daemon."""
        self.world = world
        self.name = name
        self.machine = machine
        self.host = host
        self.random = Random(f"{world.seed} {name}")
        self.clock = NodeClock(world, 0.0)
        self.folder: SimFolder | None = None
        self.frozen = False
        self.alive = False
        self.power = True
        self.connections: list[SimConnection] = []
        self.log = RecordingLog(name)
        self.inner: ControlNode | TrafficNode | None = None
        self.network = SimNetwork(self)
        self.scheduler = Scheduler(self.clock, self.fault)

    def fault(self, task: str, error: BaseException) -> None:
        """Record the exception of a failed task among the faults of the world."""
        self.world.faults.append(f"{self.world.time:.3f} {self.name} {task}: {error!r}")

    def begin(self) -> None:
        """Begin a new process; only the disk and the log of the previous one remain."""
        self.scheduler = Scheduler(self.clock, self.fault)
        self.connections = []
        self.alive = True
        self.frozen = False
        self.power = True

    @property
    def core(self) -> ControlNode:
        """Return the control node that runs here."""
        assert isinstance(self.inner, ControlNode)
        return self.inner

    @property
    def traffic(self) -> TrafficNode:
        """Return the edge, prober or control API that runs here."""
        assert isinstance(self.inner, TrafficNode)
        return self.inner


Build = Callable[[], ControlNode | TrafficNode]


class World(SimulatedTime):
    """Simulated time, nodes and network, with fault injection.

    Attributes:
        cuts: Pairs of machines; messages from the first to the second are held back.
        spikes: Probability of a long network delay.
        reset_drops_held_bytes: True if a reset drops bytes held back by a cut or a paused reader.
        fire: Called at each fault point with its number, node and kind; True crashes the node.
        faults: Exceptions of failed tasks.
        trace: Digest of the events so far, by which runs are compared.
    """

    __slots__ = (
        "cuts",
        "faults",
        "fire",
        "listeners",
        "nodes",
        "points",
        "ports",
        "random",
        "reset_drops_held_bytes",
        "seed",
        "spikes",
        "trace",
    )

    def __init__(self, seed: int) -> None:
        """Create an empty world; the seed determines all random draws."""
        super().__init__()
        self.seed = seed
        self.random = Random(f"world {seed}")
        self.ports = 0
        self.nodes: dict[str, SimNode] = {}
        self.listeners: dict[str, tuple[SimNode, ConnectionHandler]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.spikes = 0.005
        self.reset_drops_held_bytes = False
        self.points = 0
        self.fire: Callable[[int, SimNode, str], bool] | None = None
        self.faults: list[str] = []
        self.trace = hashlib.sha256()

    # Nodes

    def add(self, name: str, machine: str, host: str) -> SimNode:
        """Add a node; `host` is its IP address."""
        node = SimNode(self, name, machine, host)
        self.nodes[name] = node
        node.begin()
        return node

    def start_daemon(self, node: SimNode, role: str, plain: dict[str, object]) -> None:
        """Start the daemon of a role on a node, as the command line does."""
        settings = read_settings(role, "", plain)
        self.start_built(node, lambda: self.build(node, role, settings))

    def start_built(self, node: SimNode, build: Build) -> None:
        """Start the daemon that `build` returns; a crash during the start kills the node."""
        node.begin()
        try:
            node.inner = build()
            node.inner.start()
        except Crash:
            self.kill(node.name)

    def build(self, node: SimNode, role: str, settings: Settings) -> ControlNode | TrafficNode:
        """Create the daemon of a role on a node without starting it."""
        if role != "core":
            return TrafficNode(role, settings, node.scheduler, node.network, node.log, node.random)
        return self.open_control(node, settings)

    def open_control(self, node: SimNode, settings: Settings) -> ControlNode:
        """Create a control node on the disk of its machine."""
        if node.folder is None:
            node.folder = SimFolder()
        node.folder.node = node
        found = open_disk(node.folder, node.log, settings.segment_bytes, node.random)
        if found.is_error():
            raise AssertionError(found.error.reason)
        disk, journal = found.ok
        return ControlNode(
            settings, node.scheduler, node.network, node.log, node.random, disk, journal
        )

    def kill(self, name: str, power: bool = False) -> None:
        """Kill a process; with `power` its machine loses power too and sends no resets.

        Unsynced data of a killed process stays readable until the machine loses power.
        """
        node = self.nodes[name]
        if not node.alive:
            return
        node.alive = False
        node.power = not power
        self.note(f"kill {name} {power}")
        for address, (owner, _) in list(self.listeners.items()):
            if owner is node:
                del self.listeners[address]
        for connection in list(node.connections):
            if not power:
                self.reset(connection)
            connection.closed = True
            connection.gone = True
        node.connections = []
        if node.folder is not None and power:
            node.folder.lose_power(self.random)

    def freeze(self, name: str, frozen: bool) -> None:
        """Suspend or resume a process."""
        self.nodes[name].frozen = frozen
        self.note(f"freeze {name} {frozen}")

    def point(self, node: SimNode, what: str) -> None:
        """Pass a numbered fault point; raise Crash if `fire` returns True."""
        self.points += 1
        if self.fire is not None and self.fire(self.points, node, what):
            raise Crash

    # Network

    def delay(self) -> float:
        """Draw the delay of one message in seconds; a few have a long one."""
        if self.random.random() < self.spikes:
            return 0.05 + self.random.random() * 0.3
        return 0.0003 + self.random.random() * 0.002

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Hold back messages from one machine to another, by default in both directions."""
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))
        self.note(f"cut {one} {other} {both}")

    def heal(self) -> None:
        """Heal all partitions."""
        self.cuts.clear()
        self.note("heal")

    def isolate(self, machine: str) -> None:
        """Partition a machine from all others."""
        for other in sorted({node.machine for node in self.nodes.values()}):
            if other != machine:
                self.cut(machine, other)

    def blocked(self, source: SimNode, target: SimNode) -> bool:
        """Return True if messages from one node to another are held back."""
        return (source.machine, target.machine) in self.cuts

    def try_open(self, connection: SimConnection, address: str) -> None:
        """Establish a connection after a delay.

        It is refused if the node does not listen, and retried while a cut or a machine without
        power is in between.
        """

        def connect() -> None:
            if connection.closed:
                return
            found = self.listeners.get(address)
            owner = found[0] if found is not None else self.owner_of(address)
            if owner is not None and (
                self.blocked(connection.node, owner)
                or self.blocked(owner, connection.node)
                or not owner.power
            ):
                self.later(0.2, connect)
                return
            if found is None:
                connection.connection_lost()
                return
            node, handler = found
            other = SimConnection(node, f"{connection.node.host}:{50_000 + self.sequence % 10_000}")
            node.connections.append(other)
            connection.other, other.other = other, connection
            connection.connected = other.connected = True
            handler(other)
            connection.writable.put(True)
            waiting, connection.waiting = connection.waiting, []
            for data in waiting:
                self.carry(connection, data)

        self.later(self.delay(), connect)

    def owner_of(self, address: str) -> SimNode | None:
        """Return the node with the host of an address, running or not."""
        host = address.rpartition(":")[0]
        return next((node for node in self.nodes.values() if node.host == host), None)

    def carry(self, connection: SimConnection, data: bytes) -> None:  # noqa: C901 - not split yet
        """Deliver bytes, or the end of the stream if empty, to the other end in order.

        If `reset_drops_held_bytes` is set, bytes held back by a cut or a paused reader are lost
        once their sender resets the connection.
        """
        other = connection.other
        if other is None:
            return
        when = connection.due = max(connection.due, self.time + self.delay())

        def deliver() -> None:  # noqa: C901 - not split yet
            if other.gone:
                if other.node.power and not connection.closed and not connection.gone:
                    connection.connection_lost()
                return
            if connection.gone and not connection.node.power and not data:
                return
            if self.blocked(connection.node, other.node) or not other.reading:
                if connection.was_reset and self.reset_drops_held_bytes:
                    return
                connection.due = max(connection.due, self.time + 0.1)
                self.at(self.time + 0.1, deliver)
                return
            if data:
                connection.unsent_bytes = max(0, connection.unsent_bytes - len(data))
                if not connection.closed and not connection.writable.items:
                    connection.writable.put(True)
                if not other.closed:
                    other.data_received(data)
            else:
                if not other.closed:
                    other.connection_lost()
                if not connection.closed:
                    connection.connection_lost()

        self.at(when, deliver)

    def reset(self, connection: SimConnection) -> None:
        """Deliver a reset of the connection to the other end."""
        other = connection.other
        if other is None:
            return

        def deliver() -> None:
            if self.blocked(connection.node, other.node):
                self.later(0.2, deliver)
            elif not other.closed:
                other.connection_lost()

        self.later(self.delay(), deliver)

    # Execution

    def note(self, text: str) -> None:
        """Add an event to the digest of the trace."""
        self.trace.update(f"{self.time:.6f} {text}\n".encode())

    def run_processes(self) -> None:
        """Run the ready tasks of all running nodes until there are none."""
        busy = True
        while busy:
            busy = False
            for node in list(self.nodes.values()):
                if not node.alive or node.frozen:
                    continue
                try:
                    node.scheduler.run_ready(200)
                except Crash:
                    self.kill(node.name, True)
                    continue
                busy = busy or node.scheduler.has_ready

    def next_process_time(self) -> float | None:
        """Return when the next timer of a running node is due; None if there is none."""
        times: list[float] = []
        for node in self.nodes.values():
            if node.alive and not node.frozen:
                timer = node.scheduler.next_timer()
                if timer is not None:
                    times.append(timer - node.clock.zero)
        return min(times, default=None)

    def task(self, node: SimNode, work: TaskCoroutine[Found], seconds: float) -> Found:
        """Run a task on a node until it ends and return its result."""
        found: list[Found] = []

        async def run_work() -> None:
            found.append(await work)

        running: Task = node.scheduler.create_task(run_work(), name="task")
        if not self.run_until(lambda: running.done, seconds):
            raise AssertionError(f"task did not end within {seconds} s at {self.time:.3f}")
        if not found:
            raise AssertionError(f"task failed: {self.faults[-1:]}")
        return found[0]

    def digest(self) -> str:
        """Return the digest of the trace and of all logged events."""
        for name, node in self.nodes.items():
            for number, fields in node.log.records:
                self.trace.update(f"{name} {number} {sorted(fields)}\n".encode())
        return self.trace.hexdigest()
