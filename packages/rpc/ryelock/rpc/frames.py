"""Encoding of messages as frames on a connection.

A frame is a four-byte big-endian length followed by the body, one CBOR map (RFC 8949). The first
frame of each side is the handshake with the name and the version of the protocol.
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
"""Key of the number of a call, unique on its connection."""
RESPONSE_NUMBER = "answer"
"""Key of the number of the call that a response answers."""

Message = dict[str, object]


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame."""
    body = cbor2.dumps(message)
    return LENGTH.pack(len(body)) + body


def decode_body(body: bytes) -> Message:
    """Decode the body of a frame.

    Raises:
        FrameNotCborError: the body is not CBOR.
        FrameNotMapError: the body is not a map with string keys.
    """
    try:
        message = cbor2.loads(body)
    except Exception as error:
        # cbor2 also raises errors of the types it constructs, OverflowError and RecursionError.
        # The sender is not trusted, so none of them may stop the process.
        raise FrameNotCborError from error
    if not isinstance(message, dict) or not all(isinstance(key, str) for key in message):
        raise FrameNotMapError
    return message


class FrameDecoder:
    """Decodes a stream of received bytes into messages."""

    __slots__ = ("buffer", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Create a decoder that rejects frames whose body is longer than `max_bytes`."""
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are now complete.

        Raises:
            FrameError: the bytes are not a valid frame; the decoder must not be used afterwards.
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
        UnknownProtocolError: the message names another protocol, or none.
        ProtocolVersionError: the message names an unsupported version of the protocol.
    """
    if message.get("protocol") != PROTOCOL:
        raise UnknownProtocolError
    if message.get("version") != PROTOCOL_VERSION:
        raise ProtocolVersionError(message.get("version"), PROTOCOL_VERSION)


class HandshakeFrameDecoder(FrameDecoder):
    """Decodes the frames of a connection, the first of which must be the handshake."""

    __slots__ = ("handshake_done",)

    def __init__(self) -> None:
        """Create a decoder that expects the handshake."""
        super().__init__()
        self.handshake_done = False

    def feed(self, data: bytes) -> list[Message]:
        """Return the complete messages after the handshake; raises FrameError."""
        messages = super().feed(data)
        if self.handshake_done or not messages:
            return messages
        check_handshake(messages[0])
        self.handshake_done = True
        return messages[1:]


HANDSHAKE = encode_frame({"protocol": PROTOCOL, "version": PROTOCOL_VERSION})
"""The first frame that each side sends."""
