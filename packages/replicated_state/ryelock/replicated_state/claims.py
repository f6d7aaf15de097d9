"""Claims of idempotency keys: the request that may run under each key.

Claims go through the log, so that two edges never both run a request with the same key.
"""

from collections import OrderedDict

from ryelock.replicated_state.errors import MalformedCommandError, MalformedSnapshotError

MAX_CLAIMS = 50_000
MAX_KEY_BYTES = 64


class Claims:
    """The newest claims: the id of the request that owns each key, oldest first."""

    __slots__ = ("owners",)

    def __init__(self) -> None:
        """Create an empty table."""
        self.owners: OrderedDict[bytes, str] = OrderedDict()

    def claim(self, key: bytes, request: str) -> str:
        """Claim a key for a request unless an earlier request owns it; return the owner.

        The oldest claims are dropped above MAX_CLAIMS.
        """
        owner = self.owners.setdefault(key, request)
        while len(self.owners) > MAX_CLAIMS:
            self.owners.popitem(last=False)
        return owner

    def release(self, key: bytes, request: object) -> None:
        """Release a key if the request owns it; the caller makes sure that it did not run."""
        if self.owners.get(key) == request:
            del self.owners[key]

    def to_wire(self) -> list[tuple[bytes, str]]:
        """Return the form used by snapshots; see `from_wire`."""
        return list(self.owners.items())

    @classmethod
    def from_wire(cls, data: object) -> "Claims":
        """Parse the claims of a snapshot.

        Raises:
            MalformedSnapshotError: the data is not a list of pairs.
        """
        if not isinstance(data, list | tuple):
            raise MalformedSnapshotError("claims", f"expected a list, got {type(data).__name__}")
        claims = cls()
        for item in data:
            match item:
                case [key, owner]:
                    claims.owners[key] = owner
                case _:
                    raise MalformedSnapshotError("claims", f"expected [key, request], got {item!r}")
        return claims


def claim_key(value: object) -> bytes:
    """Validate the idempotency key of a claim and return it.

    Raises:
        MalformedCommandError: the value is not a byte string of 1 to MAX_KEY_BYTES bytes.
    """
    if not isinstance(value, bytes) or not 0 < len(value) <= MAX_KEY_BYTES:
        raise MalformedCommandError("key", f"expected 1 to {MAX_KEY_BYTES} bytes")
    return value
