"""Errors of this package.

The texts of the frame errors are logged in the event FRAME_REJECTED, where operators search for
them.
"""


class RpcError(Exception):
    """Base of all errors of this package."""


class NoResponseError(RpcError):
    """A call got no response: the connection failed or ended, or the call timed out.

    Attributes:
        sent: False only if the message cannot have been sent, so that the receiver cannot have
            acted on it.
    """

    def __init__(self, address: str, sent: bool) -> None:
        """Create the error of a call to host:port."""
        super().__init__(f"no answer from {address}")
        self.sent = sent


class FrameError(RpcError):
    """Base of errors in received frames.

    The connection is closed after such an error, as the start of the next frame is unknown.
    """


class FrameTooLongError(FrameError):
    """The length prefix of a frame is above the limit; the body is not buffered."""

    def __init__(self, size: int) -> None:
        """Create the error of a frame with a length prefix of `size` bytes."""
        super().__init__(f"frame of {size} bytes")


class FrameNotCborError(FrameError):
    """The body of a frame is not one CBOR item (RFC 8949)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("not CBOR")


class FrameNotMapError(FrameError):
    """The body of a frame is CBOR but not a map with string keys."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("not a map of names")


class UnknownProtocolError(FrameError):
    """The first frame names another protocol, or none."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("another protocol")


class ProtocolVersionError(FrameError):
    """The first frame names an unsupported version of the protocol."""

    def __init__(self, received: object, supported: int) -> None:
        """Create the error of a received version that differs from the supported one."""
        super().__init__(f"version {received!r}, not {supported}")


class MissingCallNumberError(FrameError):
    """A call lacks the number that its response must carry."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("an ask without a number")


class MalformedMessageError(RpcError, ValueError):
    """A field of a message is missing or its value has another type; the text names the field."""
