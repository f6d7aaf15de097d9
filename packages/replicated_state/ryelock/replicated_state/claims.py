"""Claims of idempotency keys: which request may run under a key of its caller.

A claim is a command of the log, so that two edges never run one key's request both.
"""

from collections import OrderedDict

from ryelock.replicated_state.errors import MalformedCommandError, MalformedSnapshotError

MAX_CLAIMS = 50_000
MAX_KEY_BYTES = 64


class Claims:
    """The newest claims: key and the request that owns it, oldest first."""

    __slots__ = ("owners",)

    def __init__(self) -> None:
        """Create a table without claims."""
        self.owners: OrderedDict[bytes, str] = OrderedDict()

    def claim(self, key: bytes, request: str) -> str:
        """Claim a key for a request; return the request that owns the key, perhaps an earlier one.

        The oldest claims are dropped above MAX_CLAIMS.
        """
        owner = self.owners.setdefault(key, request)
        while len(self.owners) > MAX_CLAIMS:
            self.owners.popitem(last=False)
        return owner

    def release(self, key: bytes, request: object) -> None:
        """Give a key back, where the request owns it: it certainly did not run."""
        if self.owners.get(key) == request:
            del self.owners[key]

    def to_wire(self) -> list[tuple[bytes, str]]:
        """Return the form in which a snapshot holds it; see `from_wire`."""
        return list(self.owners.items())

    @classmethod
    def from_wire(cls, data: object) -> "Claims":
        """Return claims from a snapshot.

        Raises:
            MalformedSnapshotError: they are no list of pairs.
        """
        if not isinstance(data, list | tuple):
            raise MalformedSnapshotError("claims", "not a list")
        claims = cls()
        for item in data:
            match item:
                case [key, owner]:
                    claims.owners[key] = owner
                case _:
                    raise MalformedSnapshotError("claims", "not a key and a request")
        return claims


def claim_key(value: object) -> bytes:
    """Return the key of a claim.

    Raises:
        MalformedCommandError: it is no key of 1 to MAX_KEY_BYTES bytes.
    """
    if not isinstance(value, bytes) or not 0 < len(value) <= MAX_KEY_BYTES:
        raise MalformedCommandError("key", f"not 1 to {MAX_KEY_BYTES} bytes")
    return value
