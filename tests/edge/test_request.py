"""The record of a request: its form in explain, and the summary of its attempts."""

import unittest

from ryelock.edge.request import (
    AdmissionOutcome,
    Attempt,
    OwnerAttempt,
    RecentRequests,
    Request,
    RequestClass,
)


def new_request(identity: str = "r1") -> Request:
    """Return a request that has just arrived."""
    return Request(identity, "GET", "/a", "site", 10.0, 1000.0)


class AttemptTests(unittest.TestCase):
    def test_an_attempt_in_progress_shows_only_its_server(self) -> None:
        attempt = Attempt("10.0.0.1:80", "north")
        self.assertEqual(
            {"server": "10.0.0.1:80", "zone": "north", "sent": False}, attempt.to_wire()
        )

    def test_a_rejected_attempt_shows_its_fields_in_order(self) -> None:
        attempt = Attempt("10.0.0.1:80", "north", sent=True)
        attempt.seconds, attempt.fault, attempt.rejected_status = 0.1, "full", 429
        self.assertEqual(
            ["server", "zone", "sent", "seconds", "fault", "declined"], list(attempt.to_wire())
        )
        self.assertFalse(attempt.may_have_run)
        self.assertEqual(1, attempt.servers_reached)

    def test_an_owner_counts_as_all_servers_that_it_reached(self) -> None:
        request = new_request()
        request.attempts_left = 3
        request.charge_owner(2)
        self.assertEqual([OwnerAttempt(2)], request.attempts)
        self.assertEqual((1, 2), (request.attempts_left, request.servers_reached))
        self.assertTrue(request.may_have_run)

    def test_an_owner_that_reached_no_server_is_no_attempt(self) -> None:
        request = new_request()
        request.charge_owner(0)
        self.assertFalse(request.was_sent)


class RequestTests(unittest.TestCase):
    def test_a_request_without_a_route_has_no_class(self) -> None:
        self.assertEqual("", new_request().to_wire()["class"])

    def test_request_classes_are_shown_by_their_values(self) -> None:
        request = new_request()
        request.request_class = RequestClass.AT_MOST_ONCE
        self.assertEqual("once", request.to_wire()["class"])

    def test_a_refused_retry_is_shown_after_the_admission(self) -> None:
        request = new_request()
        request.admission, request.retry_refused = AdmissionOutcome.ADMITTED, True
        self.assertEqual("allowed; no room to repeat", request.to_wire()["allowance"])

    def test_recent_requests_are_bounded_and_hold_no_bodies(self) -> None:
        recent = RecentRequests(2)
        for identity in ("r1", "r2", "r3"):
            request = new_request(identity)
            request.body = b"body"
            recent.add(request)
        self.assertEqual(["r2", "r3"], list(recent.by_identity))
        self.assertEqual({b""}, {request.body for request in recent.by_identity.values()})


if __name__ == "__main__":
    unittest.main()
