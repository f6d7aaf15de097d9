"""Idempotency keys of recent requests to this edge."""

from collections import OrderedDict


class IdempotencyKeys:
    """Recent keys by service, with whether their request is in progress; bounded."""

    __slots__ = ("keys", "max_keys")

    def __init__(self, max_keys: int = 20_000) -> None:
        """Create an empty record of at most `max_keys` keys."""
        self.max_keys = max_keys
        self.keys: OrderedDict[tuple[str, bytes], bool] = OrderedDict()

    def in_progress(self, service: str, key: bytes) -> bool:
        """Return True if a request with this key is in progress on this edge."""
        return self.keys.get((service, key), False)

    def was_seen(self, service: str, key: bytes) -> bool:
        """Return True if this edge has received the key before."""
        return (service, key) in self.keys

    def begin(self, service: str, key: bytes) -> None:
        """Record that a request with this key is in progress."""
        self.keys[service, key] = True
        self.keys.move_to_end((service, key))
        while len(self.keys) > self.max_keys:
            self.keys.popitem(last=False)

    def end(self, service: str, key: bytes) -> None:
        """Record that the request with this key ended."""
        if (service, key) in self.keys:
            self.keys[service, key] = False
