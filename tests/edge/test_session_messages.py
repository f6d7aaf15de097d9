"""Wire format of renewals: names and order of the keys, and rejection of malformed responses."""

import testtools

from ryelock.edge.session_messages import (
    NodeReport,
    RenewalResponse,
    quorum_lease_request,
    renewal_request,
)
from ryelock.rpc.codec import decode
from ryelock.rpc.errors import MalformedMessageError

REPORT = NodeReport(
    session={"name": "e"},
    sequence=7,
    versions={"register": 3},
    demand={"s": 1.5},
    held_shares={"s": 2.0},
    wanted={"s": 4},
    failed_callers=[b"caller"],
    recent_objects=[["route", "host", "/target"]],
)
REPORT_ON_THE_WIRE = {
    "session": {"name": "e"},
    "sequence": 7,
    "vector": {"register": 3},
    "demand": {"s": 1.5},
    "holding": {"s": 2.0},
    "wanted": {"s": 4},
    "failed": [b"caller"],
    "objects": [["route", "host", "/target"]],
}


class RequestTests(testtools.TestCase):
    def test_a_renewal_has_its_keys_in_order(self) -> None:
        expected = {"kind": "renew", "hold": 0.15, **REPORT_ON_THE_WIRE}
        self.assertEqual(list(expected.items()), list(renewal_request(REPORT, 0.15).items()))

    def test_a_quorum_lease_request_has_its_keys_in_order(self) -> None:
        expected = {"kind": "council.promise", "seconds": 1.5, **REPORT_ON_THE_WIRE}
        self.assertEqual(list(expected.items()), list(quorum_lease_request(REPORT, 1.5).items()))


class ResponseTests(testtools.TestCase):
    def test_an_unconfirmed_response_grants_no_lease_and_carries_no_state(self) -> None:
        answer = {"ok": True, "age": 0.5, "term": False, "words": [], "index": 3}
        response = decode(RenewalResponse, answer)
        self.assertFalse(response.confirmed)
        self.assertIsNone(response.snapshot)
        self.assertIsNone(response.shares)
        self.assertEqual((0.5, 3, []), (response.majority_age, response.index, response.entries))

    def test_a_response_with_a_field_of_another_type_is_malformed(self) -> None:
        valid: dict[str, object] = {"ok": True, "age": 0.5, "term": True, "index": 3}
        decode(RenewalResponse, valid)
        for faulty in (
            {"age": "soon"},
            {"index": -1},
            {"words": [[4]]},
            {"image": "text"},
            {"shares": {"s": "all"}},
            {"grants": {"s": [1, 2.0]}},
            {"listing": {"source": "a"}},
            {"members": {"source": "a", "version": 1}},
            {"failed": {"source": "a", "version": 1, "callers": ["text"]}},
        ):
            with self.subTest(faulty=faulty):
                self.assertRaises(
                    MalformedMessageError, decode, RenewalResponse, {**valid, **faulty}
                )
