"""cbor2 frames between the system's own processes: asks with answers over one link.

A frame is four bytes of length and one CBOR map. The first frame of each side names the
protocol and its version; anything else is declined with an event and the link is closed.
Each ask has a number; its answer brings the number back. One task reads a link; what it
reads goes to the owner of the table that answers.
"""

import struct
from collections.abc import Callable

import cbor2
from expression import Error, Ok, Result

from ryelock.events import FRAME_REJECTED, Log
from ryelock.runtime import Connection, Network, Queue, Scheduler, Task

PROTOCOL = "ryelock"
PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 67_108_864
CONNECT_TIMEOUT_SECONDS = 0.6

Message = dict[str, object]


class RpcError(Exception):
    """An ask had no answer: declined, cut or late. Not sent means: beyond doubt."""

    def __init__(self, text: str, sent: bool) -> None:
        """Create the error; `sent` is False only where the message surely was not sent."""
        super().__init__(text)
        self.sent = sent


class FrameError(Exception):
    """Bytes that are no frame of this protocol."""


def encode_frame(message: Message) -> bytes:
    """Return a message as a frame."""
    body = cbor2.dumps(message)
    return struct.pack(">I", len(body)) + body


class FrameDecoder:
    """Turns pieces of bytes into messages."""

    __slots__ = ("buffer", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Create a decoder; `most` bounds a frame's bytes."""
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> list[Message]:
        """Take received bytes and return the messages that are whole; raises FrameError."""
        self.buffer += data
        found: list[Message] = []
        while len(self.buffer) >= 4:
            (size,) = struct.unpack(">I", self.buffer[:4])
            if size > self.max_bytes:
                raise FrameError(f"frame of {size} bytes")
            if len(self.buffer) < 4 + size:
                break
            body = bytes(self.buffer[4 : 4 + size])
            del self.buffer[: 4 + size]
            try:
                message = cbor2.loads(body)
            except Exception as error:
                raise FrameError("not CBOR") from error
            if not isinstance(message, dict) or not all(isinstance(key, str) for key in message):
                raise FrameError("not a map of names")
            found.append(message)
        return found


def handshake_fault(message: Message) -> str:
    """What is wrong with a first frame; empty when nothing is."""
    if message.get("protocol") != PROTOCOL:
        return "another protocol"
    if message.get("version") != PROTOCOL_VERSION:
        return f"version {message.get('version')!r}, not {PROTOCOL_VERSION}"
    return ""


class HandshakeFrameDecoder(FrameDecoder):
    """Turns pieces of bytes into messages; the first frame must name this protocol."""

    __slots__ = ("handshake_done",)

    def __init__(self) -> None:
        """Create a decoder that has not seen the first frame."""
        super().__init__()
        self.handshake_done = False

    def feed(self, data: bytes) -> list[Message]:
        """Return the whole messages behind the first frame; raises FrameError."""
        found = super().feed(data)
        if self.handshake_done or not found:
            return found
        fault = handshake_fault(found[0])
        if fault:
            raise FrameError(fault)
        self.handshake_done = True
        return found[1:]


HANDSHAKE = encode_frame({"protocol": PROTOCOL, "version": PROTOCOL_VERSION})
Reply = Callable[[Message], None]
MessageHandler = Callable[[Message, Reply], None]


class RpcServer:
    """The listening side: one task a link, each ask handed to the answerer."""

    __slots__ = ("address", "connections", "handler", "log", "network", "scheduler")

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        log: Log,
        address: str,
        handler: MessageHandler,
    ) -> None:
        """Listen at an address; `answerer` gets each message and a function to reply with."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.handler = handler
        self.connections: dict[Connection, Task] = {}
        self.address = network.listen(address, self.accept)

    def accept(self, connection: Connection) -> None:
        """Start to serve an accepted connection."""
        self.connections[connection] = self.scheduler.create_task(
            self.serve(connection), name=f"wire from {connection.peer}"
        )

    def close(self) -> None:
        """Stop listening and end all connections."""
        self.network.stop_listening(self.address)
        for connection, running in list(self.connections.items()):
            running.cancel()
            connection.close()

    async def serve(self, connection: Connection) -> None:
        """Read frames of one connection until it ends or sends a malformed one."""
        frames = HandshakeFrameDecoder()
        connection.write(HANDSHAKE)
        try:
            while True:
                data = await connection.receive(60.0)
                if not data:
                    return
                for message in frames.feed(data):
                    number = message.pop("ask", None)
                    if not isinstance(number, int):
                        raise FrameError("an ask without a number")
                    self.handler(message, self.reply_to(connection, number))
        except FrameError as error:
            self.log.write(FRAME_REJECTED, peer=connection.peer, fault=str(error))
        finally:
            self.connections.pop(connection, None)
            connection.close()

    def reply_to(self, connection: Connection, number: int) -> Reply:
        """Return the function that answers one numbered message."""

        def reply(message: Message) -> None:
            if not connection.closed:
                connection.write(encode_frame({**message, "answer": number}))

        return reply


class RpcClient:
    """The asking side: a link to one address, opened when needed, many asks at a time.

    A link on which nothing at all came while an ask ran out is given up: the other side may
    be frozen, cut off or replaced, and TCP alone would take minutes to notice.
    """

    __slots__ = (
        "address",
        "connection",
        "log",
        "network",
        "pending_calls",
        "reader",
        "received_chunks",
        "scheduler",
        "sequence",
    )

    def __init__(self, scheduler: Scheduler, network: Network, log: Log, address: str) -> None:
        """Create a client of one address; it connects when first asked."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.address = address
        self.connection: Connection | None = None
        self.reader: Task | None = None
        self.sequence = 0
        self.received_chunks = 0
        self.pending_calls: dict[int, Queue[Message | None]] = {}

    async def call(self, message: Message, timeout: float) -> Result[Message, RpcError]:
        """Send a message and wait for its answer, at most so many seconds."""
        until = self.scheduler.now() + timeout
        connection = self.connection
        if connection is None or connection.closed:
            connection = self.network.connect(self.address)
            self.connection = connection
            connection.write(HANDSHAKE)
            self.reader = self.scheduler.create_task(
                self.read(connection), name=f"wire to {self.address}", urgent=True
            )
        self.sequence += 1
        number = self.sequence
        response_queue: Queue[Message | None] = Queue(self.scheduler)
        self.pending_calls[number] = response_queue
        heard = self.received_chunks
        try:
            connection.write(encode_frame({**message, "ask": number}))
            answer = await response_queue.get(min(timeout, CONNECT_TIMEOUT_SECONDS))
            if answer is None and connection.connected and not connection.closed:
                answer = await response_queue.get(max(0.0, until - self.scheduler.now()))
        finally:
            self.pending_calls.pop(number, None)
        if answer is None:
            if self.connection is connection and self.received_chunks == heard:
                self.abort()
            return Error(RpcError(f"no answer from {self.address}", connection.connected))
        return Ok(answer)

    async def read(self, connection: Connection) -> None:
        """Hand answers to those who wait for them until the connection ends."""
        frames = HandshakeFrameDecoder()
        try:
            while True:
                data = await connection.receive(None)
                if not data:
                    return
                self.received_chunks += 1
                for message in frames.feed(data):
                    number = message.pop("answer", None)
                    response_queue = (
                        self.pending_calls.get(number) if isinstance(number, int) else None
                    )
                    if response_queue is not None:
                        response_queue.put(message)
        except FrameError as error:
            self.log.write(FRAME_REJECTED, peer=connection.peer, fault=str(error))
        finally:
            connection.close()
            if self.connection is connection:
                self.connection = None
                for response_queue in list(self.pending_calls.values()):
                    response_queue.put(None)

    def abort(self) -> None:
        """Give the link up; open asks end without an answer."""
        if self.connection is not None:
            self.connection.abort()


class RpcClients:
    """The lines of one process, by address."""

    __slots__ = ("clients", "log", "network", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network, log: Log) -> None:
        """Create an empty table of clients."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.clients: dict[str, RpcClient] = {}

    def client(self, address: str) -> RpcClient:
        """Return the client of an address, creating it when needed."""
        line = self.clients.get(address)
        if line is None:
            line = self.clients[address] = RpcClient(
                self.scheduler, self.network, self.log, address
            )
        return line

    async def call(
        self, address: str, message: Message, timeout: float
    ) -> Result[Message, RpcError]:
        """Ask the process at an address; see RpcClient.call."""
        return await self.client(address).call(message, timeout)
