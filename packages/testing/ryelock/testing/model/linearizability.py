"""Linearizability check (Wing and Gong) of operators' reads and changes.

The sequential specification is a chain of applied changes. A change whose id is in the chain is
acknowledged again with its version, or answered "conflict" if another change follows it. A
change whose base is the newest version is applied; any other one is answered "conflict". A read
returns the newest version and the id of its change. An operation whose outcome is unknown may
take effect at any time after it began, or never.
"""

ACCEPTED = "accepted"
CONFLICT = "conflict"
UNKNOWN = "unknown"
NOT_EXECUTED = "not-taken"
READ = "read"
CHANGE = "change"

Chain = tuple[tuple[str, int], ...]


class Operation:
    """A read or an attempt of a change by an operator, with its interval and outcome.

    `began` and `ended` are event numbers of the harness; `ended` is 0 while it is in progress.
    `result` is that of a read: the version and the id of the newest change.
    """

    __slots__ = (
        "base",
        "began",
        "ended",
        "identity",
        "kind",
        "node",
        "result",
        "status",
        "version",
    )

    def __init__(self, kind: str, identity: str, base: int, version: int, began: int) -> None:
        """Create an operation in progress."""
        self.kind = kind
        self.identity = identity
        self.base = base
        self.version = version
        self.began = began
        self.ended = 0
        self.status = UNKNOWN
        self.result: tuple[int, str] = (0, "")
        self.node = ""

    def __repr__(self) -> str:
        """Return all fields on one line."""
        return (
            f"{self.kind} {self.identity} base {self.base} [{self.began}..{self.ended}] "
            f"{self.status} {self.result if self.kind == READ else ''} at {self.node}"
        )


def apply_operation(chain: Chain, operation: Operation) -> Chain | None:
    """Return the chain after an operation, or None if its outcome contradicts the specification."""
    newest_id, newest = chain[-1]
    if operation.kind == READ:
        return chain if operation.result == (newest, newest_id) else None
    known = any(identity == operation.identity for identity, _ in chain)
    if operation.status == CONFLICT:
        if known:
            return chain if newest_id != operation.identity else None
        return chain if operation.base != newest else None
    if known:
        return chain
    if operation.base == newest:
        return (*chain, (operation.identity, operation.version))
    return None


def linearizable(operations: list[Operation]) -> bool:
    """Return True if an order of the operations that respects real time explains all outcomes."""
    relevant = [
        operation
        for operation in operations
        if operation.status in (ACCEPTED, CONFLICT)
        or (operation.kind == CHANGE and operation.status == UNKNOWN)
    ]
    certain = 0
    for position, operation in enumerate(relevant):
        if operation.status != UNKNOWN:
            certain |= 1 << position
    start: Chain = (("", 0),)
    visited: set[tuple[int, Chain]] = set()
    stack: list[tuple[int, Chain]] = [(0, start)]
    while stack:
        done, chain = stack.pop()
        if done & certain == certain:
            return True
        if (done, chain) in visited:
            continue
        visited.add((done, chain))
        remaining = [
            (position, operation)
            for position, operation in enumerate(relevant)
            if not done & (1 << position)
        ]
        earliest_end = min(
            operation.ended for _, operation in remaining if operation.status != UNKNOWN
        )
        for position, operation in remaining:
            if operation.began > earliest_end:
                continue
            following = apply_operation(chain, operation)
            if following is not None and not (operation.status == UNKNOWN and following == chain):
                stack.append((done | 1 << position, following))
    return False
