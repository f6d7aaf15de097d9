"""Payloads that the process exchanges with its peers in heartbeats and their replies."""

from collections.abc import Callable

from ryelock.rpc import Message


class Payloads:
    """Hooks for payloads; by default, payloads are empty and received ones are ignored.

    Attributes:
        heartbeat_payload: Returns the payload to send with a heartbeat or reply.
        on_payload: Receives a peer's disk ID, its payload, and the send time of the request that it
            replies to (None for a heartbeat from the leader).
    """

    __slots__ = ("heartbeat_payload", "on_payload")

    def __init__(self) -> None:
        """Create the default hooks."""
        self.heartbeat_payload: Callable[[], Message] = dict
        self.on_payload: Callable[[str, Message, float | None], None] = ignore_payload


def ignore_payload(_disk: str, _payload: Message, _sent_at: float | None) -> None:
    """Ignore a received payload."""
