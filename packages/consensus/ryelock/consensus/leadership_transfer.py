"""Leadership transfer to a chosen successor (dissertation, section 3.10)."""

from ryelock.consensus.followers import Followers
from ryelock.consensus.leadership import Leadership
from ryelock.consensus.messages import TimeoutNowReply, TimeoutNowRequest, request_to_wire
from ryelock.consensus.state import MemberState
from ryelock.rpc import Message, RpcClients
from ryelock.rpc.codec import Natural, decode
from ryelock.rpc.errors import MalformedMessageError

CATCH_UP_SECONDS = 1.0
"""How long a transfer waits until the successor has the complete log."""
ELECTION_SECONDS = 1.0
"""How long it then waits for the election of the successor."""
REPLY_SECONDS = 0.5
POLL_SECONDS = 0.01


class LeadershipTransfer:
    """Transfers leadership in a planned stop, or when the leader cannot continue."""

    __slots__ = ("followers", "leadership", "rpc", "state")

    def __init__(
        self,
        state: MemberState,
        rpc: RpcClients,
        followers: Followers,
        leadership: Leadership,
    ) -> None:
        """Create the transfer component of a member."""
        self.state = state
        self.rpc = rpc
        self.followers = followers
        self.leadership = leadership

    def timeout_now(self) -> Message:
        """Build the TimeoutNow request of the current term."""
        return request_to_wire(TimeoutNowRequest(term=Natural(self.state.term)))

    def step_down_to_successor(self, reason: str) -> None:
        """Step down, and ask the voter with the longest log to campaign immediately."""
        successor = self.followers.by_disk.get(self.followers.most_up_to_date())
        message = self.timeout_now()
        self.leadership.step_down(reason)
        if successor is not None:
            self.state.scheduler.create_task(
                self.notify(successor.address, message), name="consensus takeover"
            )

    async def notify(self, address: str, message: Message) -> None:
        """Send a request and ignore the reply."""
        await self.rpc.call(address, message, REPLY_SECONDS)

    async def transfer_to(self, successor: str) -> bool:
        """Transfer leadership to a voter with a complete log; return True on success."""
        follower = self.followers.by_disk.get(successor)
        if not self.state.is_leader or follower is None or successor not in self.state.voters:
            return False
        deadline = self.state.now() + CATCH_UP_SECONDS
        while follower.match_index < self.state.last_index and self.state.now() < deadline:
            await self.state.scheduler.sleep(POLL_SECONDS)
        if not await self.accepts(follower.address):
            return False
        deadline += ELECTION_SECONDS
        while self.state.is_leader and self.state.now() < deadline:
            await self.state.scheduler.sleep(POLL_SECONDS)
        return not self.state.is_leader

    async def accepts(self, address: str) -> bool:
        """Ask the successor to campaign; return True if it accepts."""
        result = await self.rpc.call(address, self.timeout_now(), REPLY_SECONDS)
        if result.is_error():
            return False
        try:
            return decode(TimeoutNowReply, result.ok).ok
        except MalformedMessageError:
            return False
