"""Commands: log entries that the state machine applies."""

from enum import StrEnum

import cbor2

KIND_FIELD = "word"
"""Field that holds the kind of a stored command."""
CommandFields = dict[str, object]
"""The fields of a decoded command, including its kind."""


class CommandKind(StrEnum):
    """The kinds of commands; the values are stored in the log."""

    CHANGE = "change"
    """Change the configuration."""
    PURGE = "purge"
    """Invalidate cached responses."""
    DRAIN = "drain"
    """Drain an edge or a zone, or end its drain."""
    ASSIGN_ROLE = "duty"
    """Assign a singleton role to a node."""
    RECORD_VERDICT = "decision"
    """Record the health verdict of the aggregator."""
    DERIVE_WATCHES = "derived"
    """Replace all derived watches."""
    CLAIM = "claim"
    """Claim an idempotency key for a request."""
    RELEASE = "release"
    """Release an idempotency key."""


def encode_command(kind: str, **fields: object) -> bytes:
    """Encode a command for the log.

    Raises:
        ValueError, TypeError, OverflowError, RecursionError: cbor2 cannot encode a value.
    """
    return cbor2.dumps({KIND_FIELD: str(kind), **fields})


def decode_command(data: bytes) -> CommandFields | None:
    """Decode a stored command; return None if it cannot be decoded or is not a map.

    Never raises: a committed entry that raised would end consensus at every node that applies it.
    """
    try:
        command = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, TypeError, LookupError, ArithmeticError, RecursionError):
        return None
    return command if isinstance(command, dict) else None
