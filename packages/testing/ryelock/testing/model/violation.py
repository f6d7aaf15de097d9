"""The error that ends a schedule in which an invariant did not hold."""


class ViolationError(Exception):
    """An invariant was broken; `invariant` is its usual name, `detail` says by what."""

    def __init__(self, invariant: str, detail: str) -> None:
        """Name the invariant and what broke it."""
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant
        self.detail = detail
