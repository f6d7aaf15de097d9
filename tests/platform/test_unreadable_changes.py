"""Operators' changes that cannot be read are rejected, and no committed entry ends consensus.

Incident: docs/incidents/unreadable-change.md.
"""

import json
import unittest

import cbor2

from deployment import Deployment, JsonObject
from ryelock.consensus import Role
from ryelock.control_api import OperatorAction, OperatorRequest, OutcomeStatus
from ryelock.control_plane.process import ControlNode
from ryelock.replicated_state import ReplicatedState
from ryelock.replicated_state.commands import CommandKind, encode_command
from ryelock.replicated_state.outcomes import CommandStatus

DEEP = 400
"""Lists inside each other; cbor2 encodes any number of them and decodes fewer than this."""
BIG_NUMBER = "9" * 400


def nested_list(depth: int) -> list[object]:
    value: list[object] = []
    for _ in range(depth - 1):
        value = [value]
    return value


def undecodable_command() -> bytes:
    """Return a command as an older version would have proposed it."""
    change = {"id": "deep", "base": 5, "remove": {"routes": nested_list(DEEP)}}
    return encode_command(CommandKind.CHANGE, id="deep", change=change)


def leader(deployment: Deployment) -> ControlNode:
    for name in deployment.cores:
        node = deployment.node(name).inner
        if isinstance(node, ControlNode) and node.consensus.role == Role.LEADER:
            return node
    raise AssertionError("no leader")


class UnreadableChangeTests(unittest.TestCase):
    def check_that_changes_go_on(self, deployment: Deployment, base: str = "r5") -> None:
        """Check that each control node still answers reads and that changes are accepted."""
        routes = deployment.configuration["routes"]
        status, body = deployment.amend(
            {"version": "r9", "upsert": {"routes": routes}, "remove": {}}, base
        )
        self.assertEqual(200, status, body)
        for address in list(deployment.operator.nodes):
            deployment.operator.nodes[:] = [address]
            self.assertEqual("r9", deployment.read()["version"], address)
        self.assertEqual([], deployment.world.faults)

    def amend_with(self, deployment: Deployment, body: bytes) -> int:
        return deployment.change("/configuration/amend", body, "r5", 5.0)[0]

    def test_a_deeply_nested_amendment_is_rejected_at_every_node(self) -> None:
        """Guards against a committed entry that no control node can decode."""
        deployment = Deployment(111).set_up()
        nodes = list(deployment.operator.nodes)
        amendment: JsonObject = {"version": "r7", "remove": {"routes": nested_list(DEEP)}}
        for address in nodes:
            deployment.operator.nodes[:] = [address]
            self.assertEqual(400, self.amend_with(deployment, json.dumps(amendment).encode()))
        deployment.operator.nodes[:] = nodes
        self.check_that_changes_go_on(deployment)

    def test_a_deeply_nested_change_is_rejected_by_the_control_api(self) -> None:
        """Guards against the same entry by way of POST /changes of ryelock's own API."""
        deployment = Deployment(115).set_up()
        change = {"id": "deep", "base": 5, "remove": {"routes": nested_list(DEEP)}}
        request = OperatorRequest(OperatorAction.CHANGE, change)
        for name in deployment.cores:
            node = deployment.node(name)
            assert isinstance(node.inner, ControlNode)
            forwarded = node.inner.control_api.forward(request)
            answer = deployment.world.task(node, forwarded, 10)
            self.assertEqual(OutcomeStatus.MALFORMED, answer["status"], name)
        self.check_that_changes_go_on(deployment)

    def test_a_deeply_nested_unknown_field_is_rejected(self) -> None:
        """Guards against a change without an answer, whose annotation cannot be encoded."""
        deployment = Deployment(112).set_up()
        routes = deployment.configuration["routes"]
        assert isinstance(routes, list)
        route = {**routes[0], "unknown": nested_list(900)}
        amendment: JsonObject = {"version": "r7", "upsert": {"routes": [route]}}
        self.assertEqual(400, self.amend_with(deployment, json.dumps(amendment).encode()))
        self.check_that_changes_go_on(deployment)

    def test_a_number_too_big_for_a_float_is_rejected(self) -> None:
        """Guards against a change without an answer (OverflowError)."""
        deployment = Deployment(113).set_up()
        routes = deployment.configuration["routes"]
        assert isinstance(routes, list)
        route = json.dumps({**routes[0], "timeout_ms": 1}).replace(
            '"timeout_ms": 1', f'"timeout_ms": {BIG_NUMBER}'
        )
        body = f'{{"version": "r7", "upsert": {{"routes": [{route}]}}}}'
        self.assertEqual(400, self.amend_with(deployment, body.encode()))
        self.check_that_changes_go_on(deployment)

    def test_a_log_with_an_undecodable_entry_is_applied(self) -> None:
        """Guards against control nodes that stay stopped after an upgrade, also after restarts."""
        deployment = Deployment(114).set_up()
        node = leader(deployment)

        async def propose() -> object:
            return await node.consensus.propose(undecodable_command())

        deployment.world.task(deployment.operator_node, propose(), 10)
        for name in deployment.cores:
            deployment.kill(name)
            deployment.start(name)
        deployment.world.run(5)
        self.check_that_changes_go_on(deployment)


class UndecodableCommandTests(unittest.TestCase):
    def test_the_library_encodes_what_it_does_not_decode(self) -> None:
        with self.assertRaises(cbor2.CBORDecodeError):
            cbor2.loads(undecodable_command())

    def test_an_undecodable_entry_changes_nothing(self) -> None:
        state = ReplicatedState()
        for data in (undecodable_command(), b"", b"\xff", cbor2.dumps([1])):
            outcome = state.apply(state.index + 1, data)
            self.assertEqual(CommandStatus.MALFORMED, outcome["status"])
        self.assertEqual(4, state.index)
        self.assertEqual(0, state.version)


if __name__ == "__main__":
    unittest.main()
