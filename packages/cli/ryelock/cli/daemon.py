"""Run of one daemon on circuits until a signal stops it."""

import signal
import sys
import traceback
from collections.abc import Callable
from random import Random, SystemRandom
from typing import Protocol

from ryelock.cli.settings_file import WatchedSettingsFile
from ryelock.cli.signals import ignore_further_signals
from ryelock.control_plane.identity import open_disk
from ryelock.control_plane.process import ControlNode
from ryelock.edge.process import TrafficNode
from ryelock.events import TASK_FAULT, Log
from ryelock.journal import FolderError, LocalFolder
from ryelock.runtime import NetworkError
from ryelock.runtime.reactor import Reactor
from ryelock.settings import NodeRole, Settings

START_FAILED_EXIT_CODE = 1
"""The data folder or an address cannot be used."""
MAX_TRACE_CHARACTERS = 4000
"""An event carries the end of a traceback, up to this length."""


class Node(Protocol):
    """The node that a daemon runs: a control node or a traffic node."""

    def start(self) -> None:
        """Start the node's tasks."""
        ...

    def follow(self, settings: Settings) -> None:
        """Apply changed settings."""
        ...

    async def stop(self) -> None:
        """Shut down gracefully, within the node's own deadline."""
        ...


NodeFactory = Callable[[Reactor, Log, Random], Node]
"""Creates a node on its reactor; raises FolderError or NetworkError if it cannot start."""


def open_control(settings: Settings, reactor: Reactor, log: Log, random: Random) -> ControlNode:
    """Return a control node with the disk and journal in its data folder.

    Raises:
        FolderError: the data folder cannot be used.
        NetworkError: listening on an address failed.
    """
    folder = LocalFolder(settings.data_folder)
    opened = open_disk(folder, log, settings.segment_bytes, random)
    if opened.is_error():
        raise FolderError(f"data folder {settings.data_folder}: {opened.error.reason}")
    disk, journal = opened.ok
    return ControlNode(settings, reactor.scheduler, reactor, log, random, disk, journal)


def run_daemon(role: NodeRole, settings: Settings) -> int:
    """Run the daemon of a role until a signal stops it; return its exit code."""

    def create_node(reactor: Reactor, log: Log, random: Random) -> Node:
        if role is NodeRole.CONTROL:
            return open_control(settings, reactor, log, random)
        return TrafficNode(role.value, settings, reactor.scheduler, reactor, log, random)

    return run_node(role, settings, create_node)


def run_node(
    role: str,
    settings: Settings,
    create_node: NodeFactory,
    watched: WatchedSettingsFile | None = None,
) -> int:
    """Run a node as a daemon until a signal stops it.

    Args:
        role: name used in error messages.
        settings: initial settings.
        create_node: creates the node.
        watched: settings file that is reloaded when it changes.

    Returns:
        The exit code.
    """
    log = Log(settings.name)

    def on_task_error(name: str, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))[-MAX_TRACE_CHARACTERS:]
        log.write(TASK_FAULT, task=name, fault=repr(error), trace=trace)

    reactor = Reactor(on_task_error, settings.link_bytes)
    try:
        node = create_node(reactor, log, SystemRandom())
    except (FolderError, NetworkError) as error:
        sys.stderr.write(f"ryelock {role}: {error}\n")
        return START_FAILED_EXIT_CODE
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, _frame: reactor.signals.put(number))
    node.start()
    if watched is not None:
        reactor.scheduler.create_task(
            watched.watch(reactor.scheduler, log, node.follow), name="settings"
        )
    reactor.scheduler.create_task(stop_at_signal(reactor, node), name="signals")
    reactor.run()
    ignore_further_signals()
    return 0


async def stop_at_signal(reactor: Reactor, node: Node) -> None:
    """Stop the node and the reactor at SIGTERM or SIGINT; ignore SIGHUP."""
    while True:
        number = await reactor.signals.get()
        if number in (signal.SIGTERM, signal.SIGINT):
            break
    await node.stop()
    reactor.stop()
