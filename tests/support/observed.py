"""All that simulated runs show outside: bytes on the network, writes to disk, lines of the log.

An observer is told of each while a run goes on. Nothing of the run is changed by it.
"""

import gc
import struct
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, Protocol
from unittest import mock

import cbor2

from ryelock.events import Event, RecordingLog
from ryelock.testing.model.adapter import SilentLog
from ryelock.testing.model.cluster import Cluster, ModelRpcClients
from ryelock.testing.model.disk import ModelFolder
from ryelock.testing.simulated import SimConnection, SimFolder, World

# What this file knows of the simulators' names: a rename inside changes this section only.

FOLDER_WRITES = {
    "append": "append",
    "sync": "sync",
    "truncate": "truncate",
    "write_atomically": "write_whole",
    "rename": "rename",
    "delete": "delete",
    "sync_directory": "sync_names",
}
"""The name of each writing method of a simulated disk in the digests, by its name in the code."""
ACCEPTED_PORTS_FROM = 50_000
"""The simulated network gives the ends of accepted connections ports from here on."""

MODEL = 0
"""The number of the connection for all messages of the model, which has no connections."""


class Observer(Protocol):
    """Who is told of all that a run shows."""

    def sent(self, time: float, connection: int, listener: str, answers: bool, data: bytes) -> None:
        """Bytes were sent on a connection, no bytes at its end.

        Args:
            time: simulated seconds.
            connection: number of the connection, in the order of first bytes.
            listener: address that was connected to.
            answers: whether they go from the listener to whoever connected.
            data: the bytes.
        """

    def stored(self, time: float, node: str, what: str, arguments: tuple[object, ...]) -> None:
        """Something was written to a disk."""

    def logged(self, node: str, number: int, fields: dict[str, object]) -> None:
        """An event was logged."""


class Connections:
    """Numbers the connections of the simulated network."""

    def __init__(self) -> None:
        """Create a table without connections."""
        self.numbers: dict[SimConnection, int] = {}
        self.count = 0

    def number_of(self, connection: SimConnection) -> int:
        """Return the number that both ends of a connection share."""
        if connection not in self.numbers:
            self.count += 1
            self.numbers[connection] = self.count
            if connection.other is not None:
                self.numbers[connection.other] = self.count
        return self.numbers[connection]


def listener_of(connection: SimConnection) -> tuple[str, bool]:
    """Return the address that was connected to, and whether this is the listener's end."""
    accepted = int(connection.peer.rpartition(":")[2]) >= ACCEPTED_PORTS_FROM
    other = connection.other if accepted else connection
    return (other.peer if other is not None else ""), accepted


@contextmanager
def observed(observer: Observer) -> Iterator[None]:
    """Tell an observer of all that simulated runs show until the end of the block.

    No garbage is collected meanwhile, and worlds that are created are kept: what is left of a run
    closes its connections when it is collected, and that would be observed too, at a moment that
    follows from nothing.
    """
    connections = Connections()
    worlds: list[World] = []
    create = World.__init__
    carry, reset, write = World.carry, World.reset, RecordingLog.write
    send_request, deliver_response = Cluster.send_request, Cluster.deliver_response

    def created(world: World, seed: int) -> None:
        worlds.append(world)
        create(world, seed)

    def carried(world: World, connection: SimConnection, data: bytes) -> None:
        listener, accepted = listener_of(connection)
        observer.sent(world.time, connections.number_of(connection), listener, accepted, data)
        carry(world, connection, data)

    def was_reset(world: World, connection: SimConnection) -> None:
        listener, accepted = listener_of(connection)
        observer.sent(world.time, connections.number_of(connection), listener, accepted, b"")
        reset(world, connection)

    def written(log: RecordingLog, event: Event, **fields: object) -> None:
        observer.logged(log.node, event.number, fields)
        write(log, event, **fields)

    def model_written(log: SilentLog, event: Event, **fields: object) -> None:
        observer.logged(log.node, event.number, fields)

    def requested(
        cluster: Cluster,
        rpc_clients: ModelRpcClients,
        address: str,
        message: dict[str, object],
        number: int,
    ) -> None:
        data = frame({**message, "ask": number})
        observer.sent(cluster.world.time, MODEL, address, False, data)
        send_request(cluster, rpc_clients, address, message, number)

    def responded(
        cluster: Cluster, rpc_clients: ModelRpcClients, number: int, answer: dict[str, object]
    ) -> None:
        data = frame({**answer, "answer": number})
        observer.sent(cluster.world.time, MODEL, "", True, data)
        deliver_response(cluster, rpc_clients, number, answer)

    gc.collect()
    gc.disable()
    with ExitStack() as stack:
        stack.callback(gc.enable)
        patch = mock.patch.object
        stack.enter_context(patch(World, "__init__", created))
        stack.enter_context(patch(World, "carry", carried))
        stack.enter_context(patch(World, "reset", was_reset))
        stack.enter_context(patch(RecordingLog, "write", written))
        stack.enter_context(patch(SilentLog, "write", model_written))
        stack.enter_context(patch(Cluster, "send_request", requested))
        stack.enter_context(patch(Cluster, "deliver_response", responded))
        for name in FOLDER_WRITES:
            for kind in (SimFolder, ModelFolder):
                stack.enter_context(patch(kind, name, observed_write(kind, name, observer)))
        yield


def observed_write(kind: type, name: str, observer: Observer) -> Callable[..., Any]:
    """Return a method of a simulated disk that tells an observer before it writes."""
    original = getattr(kind, name)

    def write(folder: Any, *arguments: object) -> Any:
        node = getattr(folder, "node", None)
        time, owner = (node.world.time, node.name) if node is not None else (0.0, "")
        observer.stored(time, owner, FOLDER_WRITES[name], arguments)
        return original(folder, *arguments)

    return write


def frame(message: dict[str, object]) -> bytes:
    """Return a message as a frame, without the product's code."""
    body = cbor2.dumps(message)
    return struct.pack(">I", len(body)) + body


GREETING = frame({"protocol": "ryelock", "version": 1})
"""What each side of a connection between processes sends first."""


def frames_in(data: bytes) -> tuple[list[bytes], bytes]:
    """Return the whole frames that bytes start with, and the rest."""
    found: list[bytes] = []
    while len(data) >= 4:
        (size,) = struct.unpack(">I", data[:4])
        if len(data) < 4 + size:
            break
        found.append(data[: 4 + size])
        data = data[4 + size :]
    return found, data


def message_in(data: bytes) -> dict[str, object]:
    """Return the message of a frame."""
    found = cbor2.loads(data[4:])
    assert isinstance(found, dict)
    return found
