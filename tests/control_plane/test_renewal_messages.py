"""Renewal requests and responses, and their wire format."""

import testtools

from ryelock.control_plane.configuration_updates import CommandsUpdate, SnapshotUpdate
from ryelock.control_plane.errors import MalformedRenewalError
from ryelock.control_plane.quota_shares import EdgeQuota
from ryelock.control_plane.renewal_messages import RenewalRequest, RenewalResponse
from ryelock.rpc import Message

CALLER = bytes(16)


def renewal(**fields: object) -> Message:
    """Return a valid renewal of an edge, with some fields replaced."""
    return {
        "kind": "renew",
        "session": {"name": "edge-0", "role": "edge", "incarnation": "a1"},
        "vector": {"register": 7},
        "sequence": 3,
        "demand": {"pages": 2},
        "holding": {"pages": 1.5},
        "wanted": {"pages": 4},
        "hold": 0.5,
        "failed": [CALLER],
        "objects": [["home", "site", "/"]],
        **fields,
    }


class RenewalRequestTests(testtools.TestCase):
    def test_a_request_is_parsed_into_typed_fields(self) -> None:
        request = RenewalRequest.from_wire(renewal())
        self.assertEqual(("edge-0", "a1"), request.node_run)
        self.assertEqual(7, request.applied_index)
        self.assertEqual({"pages": 2.0}, request.demand)
        self.assertEqual({"pages": 4}, request.waiting)
        self.assertEqual([CALLER], request.failed_callers)
        self.assertEqual({"home": ("site", "/")}, request.served_objects)

    def test_a_node_without_configuration_has_applied_nothing(self) -> None:
        self.assertEqual(0, RenewalRequest.from_wire(renewal(vector={})).applied_index)

    def test_objects_are_optional_in_a_request(self) -> None:
        message = renewal()
        del message["objects"]
        self.assertEqual({}, RenewalRequest.from_wire(message).served_objects)

    def test_a_malformed_field_is_named(self) -> None:
        cases: tuple[tuple[Message, str], ...] = (
            (renewal(sequence=True), "sequence"),
            (renewal(sequence="3"), "sequence"),
            (renewal(demand=[]), "not amounts"),
            (renewal(demand={"pages": -1}), "not amounts"),
            (renewal(holding={"pages": float("nan")}), "not amounts"),
            (renewal(wanted={"pages": True}), "not amounts"),
            (renewal(failed=[b"short"]), "not callers"),
            (renewal(failed=[CALLER] * 1001), "not callers"),
            (renewal(objects=[["home", "site"]]), "not objects"),
            (renewal(objects=[["home", "site", "/" * 1000]]), "not objects"),
            (renewal(hold="soon"), "soon"),
            ({"kind": "renew"}, "session"),
        )
        for message, text in cases:
            error = self.assertRaises(MalformedRenewalError, RenewalRequest.from_wire, message)
            self.assertIn(text, str(error))
            self.assertTrue(str(error).startswith("malformed: "), str(error))


class RenewalResponseTests(testtools.TestCase):
    def response(
        self,
        update: CommandsUpdate | SnapshotUpdate,
        quota: EdgeQuota | None = None,
        members: Message | None = None,
    ) -> Message:
        return RenewalResponse(0.1, update, quota, None, {"callers": []}, members).to_wire()

    def test_the_fields_of_an_edges_response_keep_their_order(self) -> None:
        quota = EdgeQuota({"pages": 1.0}, {}, 0)
        message = self.response(CommandsUpdate([(8, b"x")], 8), quota, {"version": 2})
        quota_fields = ["shares", "grants", "edges"]
        self.assertEqual(
            ["ok", "age", "term", "words", "index", *quota_fields, "failed", "members"],
            list(message),
        )
        self.assertEqual([[8, b"x"]], message["words"])
        self.assertEqual(1, message["edges"])

    def test_another_node_gets_no_quota(self) -> None:
        message = self.response(SnapshotUpdate(b"state", 8))
        self.assertEqual(["ok", "age", "term", "image", "index", "failed"], list(message))
