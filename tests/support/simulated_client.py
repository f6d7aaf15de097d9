"""A client outside the product on the simulated network: raw frames and raw HTTP, to the byte."""

import hashlib
import json
from collections.abc import Mapping
from contextlib import suppress

from observed import GREETING, frame, frames_in, message_in

from ryelock.runtime import Connection, TaskCoroutine
from ryelock.testing.simulated import SimFolder, SimNode, World

# What this file knows of the simulator's names: a rename inside changes this section only.

Message = dict[str, object]
SECONDS = 8.0
FRAME_SHOWN = 300
MALFORMED = "malformed: "


def new_world(seed: int) -> World:
    return World(seed)


def start(
    world: World,
    name: str,
    role: str,
    host: str,
    settings: Message,
    files: Mapping[str, bytes] | None = None,
) -> SimNode:
    """Start a daemon on a new machine, perhaps with files on its disk."""
    node = world.add(name, name, host)
    plain: Message = {
        "name": name,
        "zone": "north",
        "wire_address": f"{host}:1",
        "control_address": f"{host}:2",
        **settings,
    }
    if role == "core":
        plain["data_folder"] = "/data"
        node.folder = SimFolder()
        for file, data in (files or {}).items():
            node.folder.files[file] = bytearray(data)
            node.folder.synced[file] = len(data)
    if role == "edge":
        plain["order_address"] = f"{host}:3"
    world.start_daemon(node, role, plain)
    return node


def leads(node: SimNode) -> bool:
    """Return whether a control node leads and has settled."""
    return node.core.consensus.leader_ready


def takes_traffic(node: SimNode) -> bool:
    """Return whether an edge takes traffic."""
    return node.traffic.ready


def fill_disk(node: SimNode) -> None:
    """Let a node's disk take no more writes."""
    assert node.folder is not None
    node.folder.full = True


def logged(node: SimNode) -> list[tuple[int, list[str]]]:
    """Return the numbers of a node's events with the names of their fields."""
    return [(number, sorted(fields)) for number, fields in node.log.records]


def outside(world: World, host: str = "10.9.0.9") -> SimNode:
    """Return a machine that runs nothing of the product."""
    return world.add(f"outside {host}", f"outside {host}", host)


class Client:
    """A machine outside the product with one connection at a time."""

    def __init__(self, world: World, host: str = "10.9.0.9") -> None:
        self.world = world
        self.node = outside(world, host)
        self.connection: Connection | None = None
        self.buffer = b""
        self.count = 0

    def connect(self, address: str) -> Connection:
        """Open a connection to an address, in place of one to another."""
        if self.connection is None or self.connection.closed or self.connection.peer != address:
            self.connection = self.node.network.connect(address)
            self.buffer = b""
        return self.connection

    def run(self, work: TaskCoroutine[bytes]) -> bytes:
        return self.world.task(self.node, work, 60.0)

    async def receive(self) -> bool:
        """Add what comes next to the buffer; False at the end or after too long."""
        assert self.connection is not None
        data = await self.connection.receive(SECONDS)
        self.buffer += data or b""
        return bool(data)

    # Frames.

    def ask(self, address: str, message: Message) -> Message:
        """Send one message and return its answer, with the bytes of the frame."""
        self.count += 1
        data = self.run(self.asking(address, {**message, "ask": self.count}))
        if not data:
            return {"closed": True}
        answer = message_in(data)
        assert answer.pop("answer") == self.count
        return {"answer": shown_answer(answer), "frame": shown_frame(answer, data)}

    async def asking(self, address: str, message: Message) -> bytes:
        fresh = self.connection is None or self.connection.closed or self.connection.peer != address
        connection = self.connect(address)
        if fresh:
            connection.write(GREETING)
        connection.write(frame(message))
        while True:
            found, self.buffer = frames_in(self.buffer)
            for piece in found:
                if message_in(piece).get("answer") == message["ask"]:
                    return piece
            if not await self.receive():
                return b""

    def send_raw(self, address: str, data: bytes) -> bytes:
        """Send bytes on a connection of their own and return all that comes until it ends."""

        async def sending() -> bytes:
            self.connection = None
            self.connect(address).write(data)
            while await self.receive():
                pass
            return self.buffer

        return self.run(sending())

    # HTTP.

    def call(
        self, address: str, method: str, target: str, body: bytes = b"", head: str = ""
    ) -> Message:
        """Send one HTTP request and return status line, header fields and body."""
        return answer_in(self.run(self.calling(address, method, target, body, head)))

    async def calling(
        self, address: str, method: str, target: str, body: bytes, head: str
    ) -> bytes:
        self.connection = None
        connection = self.connect(address)
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        text = f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n{head}{length}\r\n"
        connection.write(text.encode() + body)
        while not whole_answer(self.buffer, method) and await self.receive():
            pass
        connection.abort()
        return self.buffer


def shown_answer(answer: Message) -> Message:
    """Return an answer without the free text behind "malformed: "."""
    fault = answer.get("fault")
    malformed = isinstance(fault, str) and fault.startswith(MALFORMED)
    return {**answer, "fault": f"{MALFORMED}..."} if malformed else answer


def shown_frame(answer: Message, data: bytes) -> str:
    """Return the bytes of a frame as hex, of a long one their digest."""
    if shown_answer(answer) != answer:
        return "of free text"
    return f"hex:{data.hex()}" if len(data) <= FRAME_SHOWN else hashlib.sha256(data).hexdigest()


def fields_in(data: bytes) -> tuple[str, list[list[str]], bytes]:
    """Return the first line, the header fields in order and the rest of a request or answer."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    return first, [list(line.partition(": ")[::2]) for line in lines], body


def whole_answer(data: bytes, method: str) -> bool:
    """Return whether bytes are a whole answer, by its Content-Length."""
    if b"\r\n\r\n" not in data:
        return False
    first, fields, body = fields_in(data)
    lengths = [int(value) for name, value in fields if name.lower() == "content-length"]
    return method == "HEAD" or " 304 " in first or (bool(lengths) and len(body) >= lengths[0])


def answer_in(data: bytes) -> Message:
    """Return an answer in its parts; a body of JSON as its value and its length."""
    first, fields, body = fields_in(data)
    shown: object = body.decode("latin-1")
    with suppress(ValueError):
        shown = json.loads(body)
    return {"status": first, "fields": fields, "body": shown}
