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

from ryelock.events import FRAME_DECLINED, Log
from ryelock.runtime import Link, Network, Queue, Scheduler, Task

PROTOCOL = "ryelock"
VERSION = 1
FRAME_BYTES = 67_108_864
OPEN_SECONDS = 0.6

Message = dict[str, object]


class WireError(Exception):
    """An ask had no answer: declined, cut or late. Not sent means: beyond doubt."""

    def __init__(self, text: str, sent: bool) -> None:
        """Create the error; `sent` is False only where the message surely was not sent."""
        super().__init__(text)
        self.sent = sent


class FrameError(Exception):
    """Bytes that are no frame of this protocol."""


def encode(message: Message) -> bytes:
    """Return a message as a frame."""
    body = cbor2.dumps(message)
    return struct.pack(">I", len(body)) + body


class Frames:
    """Turns pieces of bytes into messages."""

    __slots__ = ("buffer", "most")

    def __init__(self, most: int = FRAME_BYTES) -> None:
        """Create a decoder; `most` bounds a frame's bytes."""
        self.buffer = bytearray()
        self.most = most

    def feed(self, data: bytes) -> list[Message]:
        """Take received bytes and return the messages that are whole; raises FrameError."""
        self.buffer += data
        found: list[Message] = []
        while len(self.buffer) >= 4:
            (size,) = struct.unpack(">I", self.buffer[:4])
            if size > self.most:
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


def hello(message: Message) -> str:
    """What is wrong with a first frame; empty when nothing is."""
    if message.get("protocol") != PROTOCOL:
        return "another protocol"
    if message.get("version") != VERSION:
        return f"version {message.get('version')!r}, not {VERSION}"
    return ""


class GreetedFrames(Frames):
    """Turns pieces of bytes into messages; the first frame must name this protocol."""

    __slots__ = ("greeted",)

    def __init__(self) -> None:
        """Create a decoder that has not seen the first frame."""
        super().__init__()
        self.greeted = False

    def feed(self, data: bytes) -> list[Message]:
        """Return the whole messages behind the first frame; raises FrameError."""
        found = super().feed(data)
        if self.greeted or not found:
            return found
        fault = hello(found[0])
        if fault:
            raise FrameError(fault)
        self.greeted = True
        return found[1:]


HELLO = encode({"protocol": PROTOCOL, "version": VERSION})
Reply = Callable[[Message], None]
Answerer = Callable[[Message, Reply], None]


class MessageServer:
    """The listening side: one task a link, each ask handed to the answerer."""

    __slots__ = ("address", "answerer", "links", "log", "network", "scheduler")

    def __init__(
        self, scheduler: Scheduler, network: Network, log: Log, address: str, answerer: Answerer
    ) -> None:
        """Listen at an address; `answerer` gets each message and a function to reply with."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.answerer = answerer
        self.links: dict[Link, Task] = {}
        self.address = network.listen(address, self.greet)

    def greet(self, link: Link) -> None:
        """Start to serve an accepted connection."""
        self.links[link] = self.scheduler.create_task(
            self.serve(link), name=f"wire from {link.peer}"
        )

    def close(self) -> None:
        """Stop listening and end all connections."""
        self.network.stop_listening(self.address)
        for link, running in list(self.links.items()):
            running.cancel()
            link.close()

    async def serve(self, link: Link) -> None:
        """Read frames of one connection until it ends or sends a malformed one."""
        frames = GreetedFrames()
        link.write(HELLO)
        try:
            while True:
                data = await link.receive(60.0)
                if not data:
                    return
                for message in frames.feed(data):
                    number = message.pop("ask", None)
                    if not isinstance(number, int):
                        raise FrameError("an ask without a number")
                    self.answerer(message, self.reply_to(link, number))
        except FrameError as error:
            self.log.write(FRAME_DECLINED, peer=link.peer, fault=str(error))
        finally:
            self.links.pop(link, None)
            link.close()

    def reply_to(self, link: Link, number: int) -> Reply:
        """Return the function that answers one numbered message."""

        def reply(message: Message) -> None:
            if not link.ended:
                link.write(encode({**message, "answer": number}))

        return reply


class Line:
    """The asking side: a link to one address, opened when needed, many asks at a time.

    A link on which nothing at all came while an ask ran out is given up: the other side may
    be frozen, cut off or replaced, and TCP alone would take minutes to notice.
    """

    __slots__ = (
        "address",
        "heard",
        "link",
        "log",
        "network",
        "open_asks",
        "reader",
        "scheduler",
        "sequence",
    )

    def __init__(self, scheduler: Scheduler, network: Network, log: Log, address: str) -> None:
        """Create a client of one address; it connects when first asked."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.address = address
        self.link: Link | None = None
        self.reader: Task | None = None
        self.sequence = 0
        self.heard = 0
        self.open_asks: dict[int, Queue[Message | None]] = {}

    async def ask(self, message: Message, seconds: float) -> Result[Message, WireError]:
        """Send a message and wait for its answer, at most so many seconds."""
        until = self.scheduler.now() + seconds
        link = self.link
        if link is None or link.ended:
            link = self.network.connect(self.address)
            self.link = link
            link.write(HELLO)
            self.reader = self.scheduler.create_task(
                self.read(link), name=f"wire to {self.address}", urgent=True
            )
        self.sequence += 1
        number = self.sequence
        box: Queue[Message | None] = Queue(self.scheduler)
        self.open_asks[number] = box
        heard = self.heard
        try:
            link.write(encode({**message, "ask": number}))
            answer = await box.get(min(seconds, OPEN_SECONDS))
            if answer is None and link.opened and not link.ended:
                answer = await box.get(max(0.0, until - self.scheduler.now()))
        finally:
            self.open_asks.pop(number, None)
        if answer is None:
            if self.link is link and self.heard == heard:
                self.drop()
            return Error(WireError(f"no answer from {self.address}", link.opened))
        return Ok(answer)

    async def read(self, link: Link) -> None:
        """Hand answers to those who wait for them until the connection ends."""
        frames = GreetedFrames()
        try:
            while True:
                data = await link.receive(None)
                if not data:
                    return
                self.heard += 1
                for message in frames.feed(data):
                    number = message.pop("answer", None)
                    box = self.open_asks.get(number) if isinstance(number, int) else None
                    if box is not None:
                        box.put(message)
        except FrameError as error:
            self.log.write(FRAME_DECLINED, peer=link.peer, fault=str(error))
        finally:
            link.close()
            if self.link is link:
                self.link = None
                for box in list(self.open_asks.values()):
                    box.put(None)

    def drop(self) -> None:
        """Give the link up; open asks end without an answer."""
        if self.link is not None:
            self.link.abort()


class Lines:
    """The lines of one process, by address."""

    __slots__ = ("lines", "log", "network", "scheduler")

    def __init__(self, scheduler: Scheduler, network: Network, log: Log) -> None:
        """Create an empty table of clients."""
        self.scheduler = scheduler
        self.network = network
        self.log = log
        self.lines: dict[str, Line] = {}

    def line(self, address: str) -> Line:
        """Return the client of an address, creating it when needed."""
        line = self.lines.get(address)
        if line is None:
            line = self.lines[address] = Line(self.scheduler, self.network, self.log, address)
        return line

    async def ask(
        self, address: str, message: Message, seconds: float
    ) -> Result[Message, WireError]:
        """Ask the process at an address; see Line.ask."""
        return await self.line(address).ask(message, seconds)
