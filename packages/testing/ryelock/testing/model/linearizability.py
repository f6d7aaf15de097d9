"""A Wing-Gong check of operators' reads and changes against the register's specification.

The specification is a chain of taken changes. A change whose id is in the chain is
acknowledged again with the version it got (it may be answered "conflict" once another change
stands behind it); a change whose base is the newest version is taken; any other one is
answered "conflict". A read returns the newest version and the id of its change. An operation
whose outcome is unknown may be taken at any moment after it began, or never.
"""

ACCEPTED = "accepted"
CONFLICT = "conflict"
UNKNOWN = "unknown"
NOT_TAKEN = "not-taken"
READ = "read"
CHANGE = "change"

Chain = tuple[tuple[str, int], ...]


class Operation:
    """One attempt of an operator: what was asked, when it began and ended, what came back.

    `began` and `ended` are event numbers of the harness; `ended` is 0 while it is under way.
    `seen` is what a read returned: the version and the id of the newest change.
    """

    __slots__ = ("base", "began", "ended", "identity", "kind", "node", "seen", "status", "version")

    def __init__(self, kind: str, identity: str, base: int, version: int, began: int) -> None:
        """An operation that is under way."""
        self.kind = kind
        self.identity = identity
        self.base = base
        self.version = version
        self.began = began
        self.ended = 0
        self.status = UNKNOWN
        self.seen: tuple[int, str] = (0, "")
        self.node = ""

    def __repr__(self) -> str:
        """All of it on one line."""
        return (
            f"{self.kind} {self.identity} base {self.base} [{self.began}..{self.ended}] "
            f"{self.status} {self.seen if self.kind == READ else ''} at {self.node}"
        )


def after(chain: Chain, operation: Operation) -> Chain | None:
    """The chain after an operation with the outcome it had, or None where that cannot be."""
    newest_id, newest = chain[-1]
    if operation.kind == READ:
        return chain if operation.seen == (newest, newest_id) else None
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
    """Whether some order of the operations, in keeping with real time, explains all outcomes."""
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
    seen: set[tuple[int, Chain]] = set()
    stack: list[tuple[int, Chain]] = [(0, start)]
    while stack:
        done, chain = stack.pop()
        if done & certain == certain:
            return True
        if (done, chain) in seen:
            continue
        seen.add((done, chain))
        left = [
            (position, operation)
            for position, operation in enumerate(relevant)
            if not done & (1 << position)
        ]
        horizon = min(operation.ended for _, operation in left if operation.status != UNKNOWN)
        for position, operation in left:
            if operation.began > horizon:
                continue
            following = after(chain, operation)
            if following is not None and not (operation.status == UNKNOWN and following == chain):
                stack.append((done | 1 << position, following))
    return False
