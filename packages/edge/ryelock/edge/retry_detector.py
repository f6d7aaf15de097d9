"""Detects retries: requests of callers that were lately given a failure for the same one.

The budget of retries counts them, also where a caller does not mark them as such.
"""

from collections import OrderedDict

CallerDigest = bytes
"""Digest of who asks for what: address, client, credentials, method, host and target."""
MAX_NEW_REPORTS = 200


class RetryDetector:
    """Failures of requests that had been sent, as callers were given them lately.

    Each failure accounts for one retry: the next such request of such a caller. Many callers
    behind one address that ask for the same are told apart only by count: no more of their
    requests are taken for retries than failures were given. The leader passes new failures to the
    other edges, a moment later, since a caller may retry at any of them.
    """

    __slots__ = ("failures", "max_callers", "new_reports", "window_seconds")

    def __init__(self, window_seconds: float, max_callers: int = 20_000) -> None:
        """Create a detector.

        Args:
            window_seconds: how long after a failure a request counts as its retry.
            max_callers: how many callers are remembered.
        """
        self.window_seconds = window_seconds
        self.max_callers = max_callers
        self.failures: OrderedDict[CallerDigest, list[float]] = OrderedDict()
        self.new_reports: list[CallerDigest] = []

    def report(self, caller: CallerDigest, now: float) -> None:
        """Record a failure of this edge's, also for the other edges."""
        if len(self.new_reports) < MAX_NEW_REPORTS:
            self.new_reports.append(caller)
        self.record(caller, now)

    def take_new_reports(self) -> list[CallerDigest]:
        """Return this edge's failures since the last call, for the other edges."""
        new_reports, self.new_reports = self.new_reports, []
        return new_reports

    def record(self, caller: CallerDigest, now: float) -> None:
        """Record a failure of this edge's or another's."""
        self.failures.setdefault(caller, []).append(now)
        self.failures.move_to_end(caller)
        while len(self.failures) > self.max_callers:
            self.failures.popitem(last=False)

    def is_retry(self, caller: CallerDigest, now: float) -> bool:
        """Whether a request of this caller follows a recent failure."""
        failed_at = self.failures.get(caller)
        return failed_at is not None and now - failed_at[-1] <= self.window_seconds

    def count_retry(self, caller: CallerDigest) -> None:
        """A retry was sent: it uses up one failure, the oldest."""
        failed_at = self.failures.get(caller)
        if failed_at is not None:
            failed_at.pop(0)
            if not failed_at:
                del self.failures[caller]
