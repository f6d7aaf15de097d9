"""Run one daemon or one operator's order on circuits."""

import os
import signal
import sys
import traceback
from collections.abc import Callable
from random import Random, SystemRandom
from typing import Protocol

from ryelock.control_plane.identity import open_disk
from ryelock.control_plane.process import ControlNode
from ryelock.edge.process import TrafficNode
from ryelock.events import SETTINGS_REJECTED, SETTINGS_RELOADED, TASK_FAULT, Log
from ryelock.journal import FolderError, MachineFolder
from ryelock.runtime import NetworkError, TaskCoroutine
from ryelock.runtime.reactor import Reactor
from ryelock.settings import Settings, SettingsError


class Node(Protocol):
    """What a daemon runs: a control node or a traffic node."""

    def start(self) -> None:
        """Start the node's tasks."""
        ...

    def follow(self, settings: Settings) -> None:
        """Take over changed settings."""
        ...

    async def stop(self) -> None:
        """Stop in an orderly way, within the node's own deadline."""
        ...


NodeFactory = Callable[[Reactor, Log, Random], Node]
POLL_INTERVAL_SECONDS = 0.5


class WatchedSettingsFile:
    """A settings file that may change, and how its settings are read."""

    __slots__ = ("path", "read")

    def __init__(self, path: str, read: Callable[[], Settings]) -> None:
        """Watch a settings file; `read` reads it and raises EnvError for faults."""
        self.path = path
        self.read = read

    def stamp(self) -> tuple[int, int, int]:
        """Tells one state of the file from another; zeros where there is none."""
        try:
            found = os.stat(self.path)
        except OSError:
            return 0, 0, 0
        return found.st_mtime_ns, found.st_size, found.st_ino


def build(role: str, settings: Settings, reactor: Reactor, log: Log, random: Random) -> Node:
    """The node of a role; raises FolderError or NetworkError with a plain message."""
    if role != "core":
        return TrafficNode(role, settings, reactor.scheduler, reactor, log, random)
    return open_control(settings, reactor, log, random)


def open_control(settings: Settings, reactor: Reactor, log: Log, random: Random) -> ControlNode:
    """A control node on its disk; raises FolderError or NetworkError with a plain message."""
    folder = MachineFolder(settings.data_folder)
    found = open_disk(folder, log, settings.segment_bytes, random)
    if found.is_error():
        raise FolderError(f"data folder {settings.data_folder}: {found.error.reason}")
    disk, journal = found.ok
    return ControlNode(settings, reactor.scheduler, reactor, log, random, disk, journal)


def run_daemon(role: str, settings: Settings) -> int:
    """Run the daemon of a role until it is told to stop; return its exit code."""
    return run_node(
        role, settings, lambda reactor, log, random: build(role, settings, reactor, log, random)
    )


def run_node(
    role: str, settings: Settings, build: NodeFactory, watched: WatchedSettingsFile | None = None
) -> int:
    """Run a node as a daemon until it is told to stop; the exit code.

    Where its settings file is watched, it is read again when it changed or a SIGHUP says so.
    """
    log = Log(settings.name)

    def fault(name: str, error: BaseException) -> None:
        log.write(
            TASK_FAULT,
            task=name,
            fault=repr(error),
            trace="".join(traceback.format_exception(error))[-4000:],
        )

    reactor = Reactor(fault, settings.link_bytes)
    try:
        node = build(reactor, log, SystemRandom())
    except (FolderError, NetworkError) as error:
        sys.stderr.write(f"ryelock {role}: {error}\n")
        return 1
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, _frame: reactor.signals.put(number))
    node.start()
    if watched is not None:
        reactor.scheduler.create_task(follow_file(reactor, node, log, watched), name="settings")
    reactor.scheduler.create_task(until_told(reactor, node), name="signals")
    reactor.run()
    return 0


async def follow_file(reactor: Reactor, node: Node, log: Log, watched: WatchedSettingsFile) -> None:
    """Look at the settings file now and then; what is faulty in it changes nothing."""
    before = watched.stamp()
    while True:
        await reactor.scheduler.sleep(POLL_INTERVAL_SECONDS)
        found = watched.stamp()
        if found == before:
            continue
        before = found
        try:
            node.follow(watched.read())
            log.write(SETTINGS_RELOADED)
        except SettingsError as error:
            log.write(SETTINGS_REJECTED, faults=error.faults)


async def until_told(reactor: Reactor, node: Node) -> None:
    """Wait for a signal to end, stop the node, and end the reactor."""
    while True:
        number = await reactor.signals.get()
        if number in (signal.SIGTERM, signal.SIGINT):
            break
    await node.stop()
    reactor.stop()


Work = Callable[[Reactor], TaskCoroutine[int]]


def run_once(work: Work) -> int:
    """Run one task to its end; its result is the exit code."""
    codes: list[int] = []

    def fault(name: str, error: BaseException) -> None:
        sys.stderr.write(f"{name}: {error!r}\n")
        reactor.stop()

    reactor = Reactor(fault)

    async def whole() -> None:
        codes.append(await work(reactor))
        reactor.stop()

    reactor.scheduler.create_task(whole(), name="order")
    reactor.run()
    return codes[0] if codes else 1
