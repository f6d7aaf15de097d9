"""The words in which callers and servers are spoken to, where they have words of their own.

An edge is given one dialect for its life. An empty word is not spoken: with none, orders are as
this project's own interface has them. What each word means, and what an edge does with it, is
said here once; which bytes stand for it is the deployment's business.
"""


class ProtocolProfile:
    """Names of fields, as they stand in a head.

    `identity`: an order's own name, given by the caller, handed to the server, repeated by it in
    the answer; an answer under another name belongs to another order. `deadline`: milliseconds
    that the sender still waits. `seal`: the server's mark on an answer; a success without it is
    none. `expected`: the life of the server that an order is for; another declines it with 421.
    `not_run`: in an answer, that the order did not run. `labels`: what an object can be purged by,
    divided by spaces. `fractions`: whether Retry-After may be a part of a second.
    """

    __slots__ = ("deadline", "expected", "fractions", "identity", "labels", "not_run", "seal")

    def __init__(
        self,
        identity: bytes = b"",
        deadline: bytes = b"",
        seal: bytes = b"",
        expected: bytes = b"",
        not_run: bytes = b"",
        labels: bytes = b"",
        fractions: bool = False,
    ) -> None:
        self.identity = identity
        self.deadline = deadline
        self.seal = seal
        self.expected = expected
        self.not_run = not_run
        self.labels = labels
        self.fractions = fractions

    @property
    def own(self) -> bool:
        """Whether this is the project's own interface."""
        return not self.identity
