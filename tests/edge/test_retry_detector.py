"""Detection of clients' retries, and the record of idempotency keys."""

import unittest

from ryelock.edge.idempotency import IdempotencyKeys
from ryelock.edge.retry_detector import MAX_NEW_REPORTS, RetryDetector

CALLER = b"caller"


class RetryDetectorTests(unittest.TestCase):
    def test_a_request_soon_after_a_failure_is_a_retry(self) -> None:
        detector = RetryDetector(30.0)
        detector.report(CALLER, 100.0)
        self.assertTrue(detector.is_retry(CALLER, 130.0))
        self.assertFalse(detector.is_retry(CALLER, 130.1))
        self.assertFalse(detector.is_retry(b"another", 100.0))

    def test_each_failure_accounts_for_one_retry(self) -> None:
        detector = RetryDetector(30.0)
        for now in (100.0, 101.0):
            detector.report(CALLER, now)
        detector.count_retry(CALLER)
        self.assertTrue(detector.is_retry(CALLER, 102.0))
        detector.count_retry(CALLER)
        self.assertFalse(detector.is_retry(CALLER, 102.0))

    def test_failures_of_other_edges_are_not_reported_again(self) -> None:
        detector = RetryDetector(30.0)
        detector.record(b"elsewhere", 100.0)
        detector.report(CALLER, 100.0)
        self.assertEqual([CALLER], detector.take_new_reports())
        self.assertEqual([], detector.take_new_reports())

    def test_reports_and_callers_are_bounded(self) -> None:
        detector = RetryDetector(30.0, max_callers=3)
        for number in range(MAX_NEW_REPORTS + 5):
            detector.report(b"%d" % number, 100.0)
        self.assertEqual(MAX_NEW_REPORTS, len(detector.take_new_reports()))
        self.assertEqual(3, len(detector.failures))


class IdempotencyKeyTests(unittest.TestCase):
    def test_a_key_is_in_progress_until_its_request_ends_and_seen_after_it(self) -> None:
        keys = IdempotencyKeys()
        self.assertFalse(keys.was_seen("pages", b"k"))
        keys.begin("pages", b"k")
        self.assertTrue(keys.in_progress("pages", b"k"))
        self.assertFalse(keys.in_progress("desks", b"k"))
        keys.end("pages", b"k")
        self.assertFalse(keys.in_progress("pages", b"k"))
        self.assertTrue(keys.was_seen("pages", b"k"))

    def test_keys_are_bounded(self) -> None:
        keys = IdempotencyKeys(max_keys=2)
        for key in (b"1", b"2", b"3"):
            keys.begin("pages", key)
        self.assertFalse(keys.was_seen("pages", b"1"))
        keys.end("pages", b"1")
        self.assertFalse(keys.was_seen("pages", b"1"))


if __name__ == "__main__":
    unittest.main()
