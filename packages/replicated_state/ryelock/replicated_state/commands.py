"""Commands: the entries of the log that the state machine applies."""

from enum import StrEnum

import cbor2

KIND_FIELD = "word"
"""Field of a stored command that has its kind."""
CommandFields = dict[str, object]
"""A command as it was decoded, its kind included."""


class CommandKind(StrEnum):
    """What a command does; the values are stored."""

    CHANGE = "change"
    """Change the configuration."""
    PURGE = "purge"
    """Stop serving cached responses."""
    DRAIN = "drain"
    """Drain an edge or a zone, or recover it."""
    ASSIGN_ROLE = "duty"
    """Give a singleton role to a node."""
    RECORD_VERDICT = "decision"
    """Record the health verdict of the aggregator."""
    DERIVE_WATCHES = "derived"
    """Replace all derived watches."""
    CLAIM = "claim"
    """Claim an idempotency key for a request."""
    RELEASE = "release"
    """Give an idempotency key back."""


def encode_command(kind: str, **fields: object) -> bytes:
    """Return a command as the log stores it.

    Raises what cbor2 raises for values that it cannot encode: ValueError, TypeError,
    OverflowError or RecursionError.
    """
    return cbor2.dumps({KIND_FIELD: str(kind), **fields})


def decode_command(data: bytes) -> CommandFields | None:
    """Return the fields of a stored command; None where it is no map."""
    command = cbor2.loads(data)
    return command if isinstance(command, dict) else None
