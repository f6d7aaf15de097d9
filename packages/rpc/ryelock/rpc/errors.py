"""Errors of this package: one base, a class for each thing that can be wrong.

The texts of the frame errors are a field of the event FRAME_REJECTED, which operators search for.
"""


class RpcError(Exception):
    """Base of all errors of this package."""


class NoResponseError(RpcError):
    """A call got no response: the connection failed, was cut, or the response came too late.

    Attributes:
        sent: False only where the message surely was not sent, so that the receiver cannot have
            acted on it; True where it may have.
    """

    def __init__(self, address: str, sent: bool) -> None:
        """Create the error of a call to host:port."""
        super().__init__(f"no answer from {address}")
        self.sent = sent


class FrameError(RpcError):
    """Base of the errors by which received bytes are no frame of this protocol.

    A connection on which one is raised is closed: where the next frame begins is not known.
    """


class FrameTooLongError(FrameError):
    """The length in front of a frame is above the limit; it is refused before it is buffered."""

    def __init__(self, size: int) -> None:
        """Create the error of a frame that announces `size` bytes."""
        super().__init__(f"frame of {size} bytes")


class FrameNotCborError(FrameError):
    """The body of a frame is not one CBOR item (RFC 8949)."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("not CBOR")


class FrameNotMapError(FrameError):
    """The body of a frame is CBOR but not a map whose keys are text."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("not a map of names")


class UnknownProtocolError(FrameError):
    """The first frame names another protocol, or none."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("another protocol")


class ProtocolVersionError(FrameError):
    """The first frame names another version of the protocol."""

    def __init__(self, received: object, supported: int) -> None:
        """Create the error of a received version beside the one that is supported."""
        super().__init__(f"version {received!r}, not {supported}")


class MissingCallNumberError(FrameError):
    """A call came without the number that its response has to carry."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("an ask without a number")


class MalformedMessageError(RpcError, ValueError):
    """A message lacks a field or has a value of another type; the text names field and reason."""
