"""The names of the fields by which clients, edges and servers speak, where they differ.

An edge has one profile for as long as it runs. A field without a name is not used: with none, HTTP
is as this project's own interface has it. What a field means, and what an edge does with it, is the
same under every name; which bytes stand for it is the deployment's business.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ProtocolProfile:
    """Names of fields, as they are written in a head; empty where a field is not used.

    Attributes:
        identity: a request's id, given by the client, passed to the server and repeated in its
            response; a response with another id belongs to another request.
        deadline: milliseconds that the sender still waits.
        seal: proves that a response is the server's; a success without it does not count.
        expected: the incarnation of the server that a request is for; another one rejects it
            with 421.
        not_run: in a response: the request was not executed.
        labels: what an object can be purged by, divided by spaces.
        fractions: whether Retry-After may be a fraction of a second.
    """

    identity: bytes = b""
    deadline: bytes = b""
    seal: bytes = b""
    expected: bytes = b""
    not_run: bytes = b""
    labels: bytes = b""
    fractions: bool = False

    @property
    def own(self) -> bool:
        """Whether this is the project's own interface."""
        return not self.identity
