"""Functions of the upstream side: targets, lengths, keep-alive timeouts and failure kinds."""

import unittest
from typing import cast

from ryelock.edge.attempts import failure_kind, unknown_outcome
from ryelock.edge.failures import AttemptCancelledError, ConnectFailedError, FailureKind
from ryelock.edge.owner_client import is_final
from ryelock.edge.peer_protocol import parse_count, parse_seconds
from ryelock.edge.relay import describe_relay_error, keep_alive_seconds, length_to_send
from ryelock.edge.servers import ServerState
from ryelock.edge.upstream_request import origin_form
from ryelock.edge.upstream_response import UpstreamResponse
from ryelock.http import Reader, Response, ResponseHead, ResponseTimeoutError
from ryelock.http.body import Body
from ryelock.http.errors import (
    IncompleteMessageError,
    MalformedMessageError,
    ReadTimeoutError,
)
from ryelock.runtime import Connection


def upstream(status: int, prefix: bytes, complete: bool, length: int | None) -> UpstreamResponse:
    """Return a server's response with only its framing set."""
    head = ResponseHead(status, b"", 1, [])
    return UpstreamResponse(
        head,
        prefix,
        complete,
        Response(head, cast("Body", None), length, True),
        cast("Connection", None),
        cast("Reader", None),
        cast("ServerState", None),
        0.0,
    )


class TargetTests(unittest.TestCase):
    def test_servers_get_targets_in_origin_form(self) -> None:
        for target, expected in (
            (b"/a?b", b"/a?b"),
            (b"*", b"*"),
            (b"http://site/a?b", b"/a?b"),
            (b"http://site", b"/"),
        ):
            self.assertEqual(expected, origin_form(target))


class LengthTests(unittest.TestCase):
    def test_a_complete_body_has_its_own_length(self) -> None:
        self.assertEqual(3, length_to_send(b"GET", upstream(200, b"abc", True, None)))

    def test_a_body_still_to_come_has_the_servers_length_or_none(self) -> None:
        self.assertEqual(9, length_to_send(b"GET", upstream(200, b"abc", False, 9)))
        self.assertIsNone(length_to_send(b"GET", upstream(200, b"", False, None)))

    def test_head_gets_the_length_of_a_get_response(self) -> None:
        self.assertEqual(9, length_to_send(b"HEAD", upstream(200, b"", True, 9)))
        self.assertEqual(3, length_to_send(b"HEAD", upstream(200, b"abc", True, None)))
        self.assertIsNone(length_to_send(b"HEAD", upstream(200, b"", True, None)))
        self.assertIsNone(length_to_send(b"HEAD", upstream(204, b"", True, None)))

    def test_304_gets_only_the_length_that_the_server_gave(self) -> None:
        self.assertEqual(9, length_to_send(b"GET", upstream(304, b"", True, 9)))
        self.assertIsNone(length_to_send(b"GET", upstream(304, b"", True, None)))


class FieldTests(unittest.TestCase):
    def test_a_keep_alive_time_is_read_only_where_it_is_a_number(self) -> None:
        for value, expected in (
            (b"timeout=5, max=100", 5.0),
            (b"max=100", None),
            (b"timeout=soon", None),
        ):
            head = ResponseHead(200, b"", 1, [(b"Keep-Alive", value)])
            self.assertEqual(expected, keep_alive_seconds(head))

    def test_counts_and_seconds_of_peers_are_bounded(self) -> None:
        self.assertEqual([12, None, None, None], [*map(parse_count, (b"12", b"1234", b"-1", None))])
        self.assertEqual(
            [0.5, None, None, None], [*map(parse_seconds, (b"0.5", b"-1", b"1e9", None))]
        )

    def test_only_final_statuses_are_accepted_from_an_owner(self) -> None:
        self.assertEqual(
            [200, 404], [status for status in (200, 304, 404, 429, 503) if is_final(status)]
        )


class FailureTests(unittest.TestCase):
    def test_a_timeout_of_a_request_that_may_have_run_is_504_and_unknown(self) -> None:
        failure = unknown_outcome(ResponseTimeoutError("no answer in time"))
        self.assertEqual((504, True), (failure.status, failure.outcome_unknown))
        self.assertIs(FailureKind.SERVER_SILENT, failure.kind)

    def test_a_cancelled_attempt_keeps_its_kind(self) -> None:
        error = AttemptCancelledError(FailureKind.SERVER_LEAVING, "leaving")
        self.assertIs(FailureKind.SERVER_LEAVING, failure_kind(error, deadline_passed=True))

    def test_another_error_is_a_failed_or_silent_server(self) -> None:
        error = ConnectFailedError()
        self.assertIs(FailureKind.SERVER_FAILED, failure_kind(error, deadline_passed=False))
        self.assertIs(FailureKind.SERVER_SILENT, failure_kind(error, deadline_passed=True))

    def test_names_of_relay_errors_in_explain_are_stable(self) -> None:
        """Operators search for these texts, which must not follow the names of classes."""
        for error, text in (
            (MalformedMessageError("malformed chunk size"), "FramingError('malformed chunk size')"),
            (IncompleteMessageError(), "IncompleteMessageError()"),
            (ReadTimeoutError(), "ReadTimeoutError()"),
        ):
            self.assertEqual(text, describe_relay_error(error))


if __name__ == "__main__":
    unittest.main()
