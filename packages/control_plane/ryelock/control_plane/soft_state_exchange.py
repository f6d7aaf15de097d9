"""Exchange of soft state between control nodes in heartbeats and their replies.

Sessions and the platform's server list are not in the replicated log. Control nodes exchange them,
so that a new leader already has them.
"""

from ryelock.control_plane.platform import PlatformReader
from ryelock.membership import Membership
from ryelock.rpc import Message
from ryelock.runtime import Scheduler


class SoftStateExchange:
    """Builds this node's heartbeat payload and merges those of its peers."""

    __slots__ = ("last_peer_clock", "membership", "platform", "scheduler")

    def __init__(
        self, scheduler: Scheduler, membership: Membership, platform: PlatformReader
    ) -> None:
        """Create an exchange without payloads of peers."""
        self.scheduler = scheduler
        self.membership = membership
        self.platform = platform
        self.last_peer_clock: list[object] = []

    def payload(self) -> Message:
        """Return this node's sessions, its server list, and its monotonic clock in seconds."""
        return {
            **self.membership.to_wire(),
            "listing": self.platform.update_for_peer(),
            "clock": self.scheduler.now(),
        }

    def receive(self, disk: str, payload: Message, sent_at: float | None) -> None:
        """Merge a peer's payload; a malformed one is dropped.

        Args:
            disk: the peer's disk.
            payload: the peer's payload.
            sent_at: when this node sent the request that the payload is a reply to; None for a
                payload in the leader's heartbeat.
        """
        try:
            self.last_peer_clock = [disk, payload.get("clock")]
            self.platform.receive_from_peer(payload.get("listing"), sent_at)
            self.membership.merge(payload)
        except ValueError:
            return

    def peer_clock(self) -> list[object]:
        """Return the disk and clock in the last payload of a peer; empty if there was none.

        A follower gets payloads only from the leader. The leader recognizes from this clock a
        message that was delayed in transit.
        """
        return self.last_peer_clock
