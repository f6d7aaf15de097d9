"""Deployment-specific names of the header fields between clients, edges and servers.

An edge uses one profile for its lifetime. A field with an empty name is not used; a profile without
names is the project's native interface. The names do not change the meaning of a field.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ProtocolProfile:
    """Header field names, in the case in which they are sent; empty if a field is not used.

    Attributes:
        identity: the id of a request, set by the client, forwarded to the server and echoed in its
            response; a response with a different id belongs to another request.
        deadline: the remaining time in milliseconds for which the sender waits.
        seal: proof that a response comes from the server; a successful response without it is
            invalid.
        expected: the server incarnation that a request is addressed to; a different incarnation
            rejects it with 421.
        not_run: in a response, declares that the request was not executed.
        labels: space-separated labels by which an object can be purged.
        fractions: True if Retry-After may be a fraction of a second.
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
        """Return True if this is the project's native interface."""
        return not self.identity
