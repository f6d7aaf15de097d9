"""Run one daemon on circuits until a signal ends it."""

import signal
import sys
import traceback
from collections.abc import Callable
from random import Random, SystemRandom
from typing import Protocol

from ryelock.cli.settings_file import WatchedSettingsFile
from ryelock.control_plane.identity import open_disk
from ryelock.control_plane.process import ControlNode
from ryelock.edge.process import TrafficNode
from ryelock.events import TASK_FAULT, Log
from ryelock.journal import FolderError, LocalFolder
from ryelock.runtime import NetworkError
from ryelock.runtime.reactor import Reactor
from ryelock.settings import NodeRole, Settings

CANNOT_START = 1
"""Exit code where the disk or an address cannot be used."""
MAX_TRACE_LENGTH = 4000
"""Characters of a traceback's end that one event carries."""


class Node(Protocol):
    """What a daemon runs: a control node or a traffic node."""

    def start(self) -> None:
        """Start the node's tasks."""
        ...

    def follow(self, settings: Settings) -> None:
        """Apply changed settings."""
        ...

    async def stop(self) -> None:
        """Stop in an orderly way, within the node's own deadline."""
        ...


NodeFactory = Callable[[Reactor, Log, Random], Node]
"""Creates a node on its reactor; raises FolderError or NetworkError where it cannot start."""


def open_control(settings: Settings, reactor: Reactor, log: Log, random: Random) -> ControlNode:
    """Return a control node on its disk.

    Raises:
        FolderError: the data folder cannot be used.
        NetworkError: an address cannot be listened on.
    """
    folder = LocalFolder(settings.data_folder)
    found = open_disk(folder, log, settings.segment_bytes, random)
    if found.is_error():
        raise FolderError(f"data folder {settings.data_folder}: {found.error.reason}")
    disk, journal = found.ok
    return ControlNode(settings, reactor.scheduler, reactor, log, random, disk, journal)


def run_daemon(role: NodeRole, settings: Settings) -> int:
    """Run the daemon of a role until a signal ends it; return its exit code."""

    def build(reactor: Reactor, log: Log, random: Random) -> Node:
        if role is NodeRole.CONTROL:
            return open_control(settings, reactor, log, random)
        return TrafficNode(role.value, settings, reactor.scheduler, reactor, log, random)

    return run_node(role, settings, build)


def run_node(
    role: str, settings: Settings, build: NodeFactory, watched: WatchedSettingsFile | None = None
) -> int:
    """Run a node as a daemon until a signal ends it.

    Args:
        role: the name in messages to the operator.
        settings: the settings to start with.
        build: creates the node.
        watched: a settings file that is read again whenever it changes.

    Returns:
        The exit code.
    """
    log = Log(settings.name)

    def on_task_error(name: str, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))[-MAX_TRACE_LENGTH:]
        log.write(TASK_FAULT, task=name, fault=repr(error), trace=trace)

    reactor = Reactor(on_task_error, settings.link_bytes)
    try:
        node = build(reactor, log, SystemRandom())
    except (FolderError, NetworkError) as error:
        sys.stderr.write(f"ryelock {role}: {error}\n")
        return CANNOT_START
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, _frame: reactor.signals.put(number))
    node.start()
    if watched is not None:
        reactor.scheduler.create_task(
            watched.watch(reactor.scheduler, log, node.follow), name="settings"
        )
    reactor.scheduler.create_task(stop_at_signal(reactor, node), name="signals")
    reactor.run()
    return 0


async def stop_at_signal(reactor: Reactor, node: Node) -> None:
    """Wait for SIGTERM or SIGINT, stop the node, and end the reactor; SIGHUP is ignored."""
    while True:
        number = await reactor.signals.get()
        if number in (signal.SIGTERM, signal.SIGINT):
            break
    await node.stop()
    reactor.stop()
