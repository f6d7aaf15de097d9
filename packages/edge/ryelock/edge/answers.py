"""Which of a server's answers is believed, and what a failed dispatch tells of the server."""

from ryelock.edge.admission import Admission
from ryelock.edge.failures import Withdrawn
from ryelock.edge.orders import Request
from ryelock.edge.servers import ServerState
from ryelock.http import (
    ClientError,
    Response,
    ResponseHead,
    field,
)

HELD_ANSWER = 65_536
HASTY_SECONDS = 0.25
HASTY_TIMES = 3.0
NAMELESS = "an answer that does not say whose it is"


class Answers(Admission):
    """Judging the answers of servers."""

    __slots__ = ()

    def may_use_kept_connection(self, request: Request) -> bool:
        """Whether an answer to an earlier order could be told from this order's by its name.

        Servers repeat only names that callers gave. A probe bears none; and a name that was in
        use lately may stand in a late answer as well, so an order that may run once and bears
        such a one gets a link of its own, on which nothing was asked before.
        """
        if self.dialect.own:
            return request.klass != "once"
        if request.probe or not request.named:
            return False
        return request.klass != "once" or request.identity not in self.recent_requests.kept

    def answers(self, request: Request, head: ResponseHead) -> bool:
        """Whether an answer says that it is this order's, where answers say whose they are."""
        if not self.dialect.identity:
            return True
        said = field(head.fields, self.dialect.identity.lower())
        return said is not None and said.decode("latin-1") == request.identity

    def is_left_over(self, request: Request, head: ResponseHead, used: bool) -> bool:
        """Whether an answer is to be passed over, since this order's may still follow it.

        A server may send one too many; it comes where the next order's is due. One under another
        name is passed over on any link; one under no name only on a link that was used before:
        on a new link nothing else can be due.
        """
        if request.probe or self.answers(request, head):
            return False
        return used or field(head.fields, self.dialect.identity.lower()) is not None

    def unfit(self, request: Request, head: ResponseHead) -> ClientError | None:
        """Why an answer cannot go to the caller; `declined` where the order did not run.

        Nothing that an answer says is believed, neither success nor "not run", unless it says
        that it is this order's. A probe's is known by the link, which no other order uses.
        """
        dialect = self.dialect
        if dialect.own:
            return None
        if not request.probe and not self.answers(request, head):
            nameless = field(head.fields, dialect.identity.lower()) is None
            return ClientError(NAMELESS if nameless else "an answer to another order", True)
        if head.status == 421 or (
            dialect.not_run
            and head.status >= 400
            and field(head.fields, dialect.not_run.lower()) is not None
        ):
            return ClientError(f"the server declined: {head.status}", False, head.status)
        if not self.sealed(head):
            return ClientError("a success without its server's mark", True)
        if head.status in (408, 425, 429, 503):
            return ClientError(f"the server failed: {head.status}", True)
        return None

    def sealed(self, head: ResponseHead) -> bool:
        """Whether a success bears its server's mark, where servers make one."""
        return (
            not self.dialect.seal
            or not 200 <= head.status < 300
            or field(head.fields, self.dialect.seal.lower()) is not None
        )

    async def read_first(self, answer: Response, until: float, fill: bool) -> tuple[bytes, bool]:
        """The whole of a short or fillable answer; nothing of a longer one."""
        most = self.settings.answer_bytes if fill else HELD_ANSWER
        body = answer.body
        if body.complete:
            return b"", True
        if body.chunked and not fill:
            return b"", False
        if not body.chunked and body.bytes_left > most:
            return b"", False
        pieces: list[bytes] = []
        total = 0
        while total <= most:
            piece = await body.read_chunk(until)
            if not piece and body.complete:
                return b"".join(pieces), True
            pieces.append(piece)
            total += len(piece)
            if body.complete and not body.chunked:
                return b"".join(pieces), True
        return b"".join(pieces), False

    def blames(self, error: ClientError, state: ServerState, taken: float) -> bool:
        """Whether a failure tells of the server: not where the order had no time left for it.

        Nor where nothing was sent for reasons of the caller, the route or the listing.
        """
        if isinstance(error, Withdrawn):
            return False
        hasty = taken < max(HASTY_SECONDS, HASTY_TIMES * state.latency)
        return not (
            hasty
            and error.reason in ("no answer in time", "no link to the server")
            and not state.server.leaving
            and taken < self.settings.connect_seconds
        )
