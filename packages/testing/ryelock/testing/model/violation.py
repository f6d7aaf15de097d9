"""The error that reports a broken invariant."""


class ViolationError(Exception):
    """A schedule broke the invariant named `invariant`; `detail` has the evidence."""

    def __init__(self, invariant: str, detail: str) -> None:
        """Create an error for an invariant."""
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant
        self.detail = detail
