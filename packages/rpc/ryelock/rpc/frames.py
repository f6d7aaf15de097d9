"""Frames: how a message is encoded on a connection.

A frame is its body's length as four bytes, most significant first, and the body, one CBOR map
(RFC 8949). The first frame of each side is the handshake, which names the protocol and its
version.
"""

import struct

import cbor2

from ryelock.rpc.errors import (
    FrameNotCborError,
    FrameNotMapError,
    FrameTooLongError,
    ProtocolVersionError,
    UnknownProtocolError,
)

PROTOCOL = "ryelock"
PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 67_108_864
LENGTH = struct.Struct(">I")

CALL_NUMBER = "ask"
"""Key of a call's number, unique on its connection."""
RESPONSE_NUMBER = "answer"
"""Key of the number of the call that a response belongs to."""

Message = dict[str, object]


def encode_frame(message: Message) -> bytes:
    """Return a message as a frame."""
    body = cbor2.dumps(message)
    return LENGTH.pack(len(body)) + body


def decode_body(body: bytes) -> Message:
    """Return the message that a frame's body holds.

    Raises:
        FrameNotCborError: the body is not CBOR.
        FrameNotMapError: it is not a map whose keys are text.
    """
    try:
        message = cbor2.loads(body)
    except Exception as error:
        # cbor2 lets errors of its own and of the types that it builds through, also OverflowError
        # and RecursionError: the sender may be anyone, so none of them may end the process.
        raise FrameNotCborError from error
    if not isinstance(message, dict) or not all(isinstance(key, str) for key in message):
        raise FrameNotMapError
    return message


class FrameDecoder:
    """Decodes a stream of received chunks into messages."""

    __slots__ = ("buffer", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Create a decoder that refuses frames whose body is longer than `max_bytes`."""
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> list[Message]:
        """Take received bytes and return the messages that are complete.

        Raises:
            FrameError: the bytes are no frame; the decoder cannot be used any more.
        """
        self.buffer += data
        messages: list[Message] = []
        while len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if size > self.max_bytes:
                raise FrameTooLongError(size)
            end = LENGTH.size + size
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[LENGTH.size : end])
            del self.buffer[:end]
            messages.append(decode_body(body))
        return messages


def check_handshake(message: Message) -> None:
    """Check the first message of a connection.

    Raises:
        UnknownProtocolError: it names another protocol, or none.
        ProtocolVersionError: it names another version of this protocol.
    """
    if message.get("protocol") != PROTOCOL:
        raise UnknownProtocolError
    if message.get("version") != PROTOCOL_VERSION:
        raise ProtocolVersionError(message.get("version"), PROTOCOL_VERSION)


class HandshakeFrameDecoder(FrameDecoder):
    """Decodes a connection from its start: the first frame must be this protocol's handshake."""

    __slots__ = ("handshake_done",)

    def __init__(self) -> None:
        """Create a decoder that has not received the handshake."""
        super().__init__()
        self.handshake_done = False

    def feed(self, data: bytes) -> list[Message]:
        """Return the complete messages behind the handshake; raises FrameError."""
        messages = super().feed(data)
        if self.handshake_done or not messages:
            return messages
        check_handshake(messages[0])
        self.handshake_done = True
        return messages[1:]


HANDSHAKE = encode_frame({"protocol": PROTOCOL, "version": PROTOCOL_VERSION})
"""The first frame that each side sends."""
