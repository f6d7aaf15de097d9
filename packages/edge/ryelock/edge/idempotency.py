"""Idempotency keys that callers lately sent to this edge."""

from collections import OrderedDict


class IdempotencyKeys:
    """Keys by service: in progress, or seen before; bounded."""

    __slots__ = ("keys", "max_keys")

    def __init__(self, max_keys: int = 20_000) -> None:
        """Create an empty record of at most so many keys."""
        self.max_keys = max_keys
        self.keys: OrderedDict[tuple[str, bytes], bool] = OrderedDict()

    def in_progress(self, service: str, key: bytes) -> bool:
        """Whether a request with this key is under way here."""
        return self.keys.get((service, key), False)

    def was_seen(self, service: str, key: bytes) -> bool:
        """Whether a request with this key came here before."""
        return (service, key) in self.keys

    def begin(self, service: str, key: bytes) -> None:
        """Record that a request with this key is under way."""
        self.keys[service, key] = True
        self.keys.move_to_end((service, key))
        while len(self.keys) > self.max_keys:
            self.keys.popitem(last=False)

    def end(self, service: str, key: bytes) -> None:
        """Record that the request with this key ended."""
        if (service, key) in self.keys:
            self.keys[service, key] = False
