"""What the process around a member tells its peers in heartbeats and their replies."""

from collections.abc import Callable

from ryelock.rpc import Message


class Payloads:
    """The two hooks for payloads; without them payloads are empty and those of others dropped.

    Attributes:
        heartbeat_payload: Returns what to send with each heartbeat or reply.
        on_payload: Takes a peer's payload: its disk, the payload, and when the request was sent
            that it answers (None in a heartbeat of the leader).
    """

    __slots__ = ("heartbeat_payload", "on_payload")

    def __init__(self) -> None:
        """Create hooks that send and take nothing."""
        self.heartbeat_payload: Callable[[], Message] = dict
        self.on_payload: Callable[[str, Message, float | None], None] = ignore_payload


def ignore_payload(_disk: str, _payload: Message, _sent_at: float | None) -> None:
    """Take no notice of a payload."""
