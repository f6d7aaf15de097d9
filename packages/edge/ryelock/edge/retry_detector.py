"""Detects clients' retries: requests that follow a recent failure of the same request.

They are charged to the retry budget even if the client does not mark them as retries.
"""

from collections import OrderedDict

CallerDigest = bytes
"""Digest of a client and its request: address, user agent, credentials, method, host, target."""
MAX_NEW_REPORTS = 200


class RetryDetector:
    """Recent failures of requests that had been sent to servers, by the caller's digest.

    Each failure accounts for one retry. Clients behind one address with equal requests share a
    digest, so no more of their requests count as retries than failures occurred. The leader
    forwards new failures to the other edges, since a client may retry at any edge.
    """

    __slots__ = ("failures", "max_callers", "new_reports", "window_seconds")

    def __init__(self, window_seconds: float, max_callers: int = 20_000) -> None:
        """Create a detector.

        Args:
            window_seconds: time after a failure in which a request counts as its retry.
            max_callers: maximum number of callers with recorded failures.
        """
        self.window_seconds = window_seconds
        self.max_callers = max_callers
        self.failures: OrderedDict[CallerDigest, list[float]] = OrderedDict()
        self.new_reports: list[CallerDigest] = []

    def report(self, caller: CallerDigest, now: float) -> None:
        """Record a failure on this edge, and queue it for the other edges."""
        if len(self.new_reports) < MAX_NEW_REPORTS:
            self.new_reports.append(caller)
        self.record(caller, now)

    def take_new_reports(self) -> list[CallerDigest]:
        """Return the failures on this edge since the last call, for the other edges."""
        new_reports, self.new_reports = self.new_reports, []
        return new_reports

    def record(self, caller: CallerDigest, now: float) -> None:
        """Record a failure on this edge or another one."""
        self.failures.setdefault(caller, []).append(now)
        self.failures.move_to_end(caller)
        while len(self.failures) > self.max_callers:
            self.failures.popitem(last=False)

    def is_retry(self, caller: CallerDigest, now: float) -> bool:
        """Return True if a request of this caller follows a recent failure."""
        failed_at = self.failures.get(caller)
        return failed_at is not None and now - failed_at[-1] <= self.window_seconds

    def count_retry(self, caller: CallerDigest) -> None:
        """Count a retry that was sent, which removes the caller's oldest failure."""
        failed_at = self.failures.get(caller)
        if failed_at is not None:
            failed_at.pop(0)
            if not failed_at:
                del self.failures[caller]
