"""The soft state that control nodes exchange with each heartbeat and its reply.

Sessions and the platform's server list are not in the replicated log: each control node tells the
others what it knows, and a new leader goes on from that.
"""

from ryelock.control_plane.platform import PlatformReader
from ryelock.membership import Membership
from ryelock.rpc import Message
from ryelock.runtime import Scheduler


class SoftStateExchange:
    """Makes this node's payload of a heartbeat and takes those of the peers."""

    __slots__ = ("last_peer_clock", "membership", "platform", "scheduler")

    def __init__(
        self, scheduler: Scheduler, membership: Membership, platform: PlatformReader
    ) -> None:
        """Create an exchange that has received nothing."""
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
        """Take a peer's payload; a malformed one is dropped.

        Args:
            disk: the peer's disk.
            payload: what the peer sent.
            sent_at: when the request was sent that the payload came in reply to; None for a
                heartbeat of the leader.
        """
        try:
            self.last_peer_clock = [disk, payload.get("clock")]
            self.platform.receive_from_peer(payload.get("listing"), sent_at)
            self.membership.merge(payload)
        except ValueError:
            return

    def peer_clock(self) -> list[object]:
        """Return disk and clock of the peer that was heard last; empty where none was.

        A follower hears only the leader. What it sends with this clock can be told from a message
        that was delayed on the way.
        """
        return self.last_peer_clock
