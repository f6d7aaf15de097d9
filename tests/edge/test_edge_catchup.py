"""Catch-up of a returning edge: the leader sends the smaller of log commands and snapshot."""

from types import SimpleNamespace
from typing import Any
from unittest import mock

import cbor2
import testtools
from consensus_lab import Lab

from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.node import Consensus
from ryelock.control_plane.configuration_updates import MAX_COMMANDS_BYTES, ConfigurationUpdates
from ryelock.replicated_state import ReplicatedState, encode_command


def route_change(number: int, routes: int) -> dict[str, object]:
    """Return a change that replaces all routes, as large as the configuration itself."""
    return {
        "id": f"c{number}",
        "base": number,
        "version": number + 1,
        "put": {
            "services": {"pages": {"rate": 100}},
            "routes": {
                f"r{route}": {"path": f"/{number}/{route}", "service": "pages"}
                for route in range(routes)
            },
        },
    }


def leader_with(changes: int, routes: int) -> Consensus:
    lab = Lab()
    consensus = lab.leader
    consensus.applier.state_machine = ReplicatedState()
    for number in range(changes):
        command = encode_command("change", id=f"c{number}", change=route_change(number, routes))
        assert consensus.applier.store([Entry(number + 1, 1, EntryKind.COMMAND, command)])
        consensus.applier.advance(number + 1)
    assert isinstance(consensus.state_machine, ReplicatedState)
    assert consensus.state_machine.version == changes
    return consensus


def updates_of(consensus: Consensus) -> ConfigurationUpdates:
    """Return the leader's updates for edges, over its consensus and replicated state only."""
    assert isinstance(consensus.state_machine, ReplicatedState)
    return ConfigurationUpdates(consensus, consensus.state_machine)


class EdgeCatchUpTests(testtools.TestCase):
    def test_a_snapshot_replaces_many_large_commands(self) -> None:
        updates = updates_of(leader_with(60, 50))
        since_one: Any = updates.update_since(1).to_wire()
        self.assertIn("image", since_one)
        edge = ReplicatedState()
        edge.restore(since_one["image"])
        self.assertEqual(60, edge.version)
        commands = updates.consensus.commands_since(1) or []
        self.assertLess(len(cbor2.dumps(since_one)) * 10, sum(len(data) for _, data in commands))

    def test_a_few_commands_are_sent_as_commands(self) -> None:
        updates = updates_of(leader_with(60, 50))
        self.assertIn("words", updates.update_since(59).to_wire())
        self.assertIn("image", updates.update_since(0).to_wire())

    def test_many_small_commands_are_sent_where_the_snapshot_is_larger(self) -> None:
        consensus = leader_with(1, 1500)
        for index in range(2, 900):
            command = encode_command("drain", id=f"d{index}", target=f"edge{index % 2}", on=True)
            self.assertTrue(consensus.applier.store([Entry(index, 1, EntryKind.COMMAND, command)]))
            consensus.applier.advance(index)
        updates = updates_of(consensus)
        commands = consensus.commands_since(1) or []
        size = sum(len(data) for _, data in commands)
        self.assertTrue(MAX_COMMANDS_BYTES // 2 < size < len(updates.edge_snapshot()), size)
        self.assertIn("words", updates.update_since(1).to_wire())

    def test_one_snapshot_is_encoded_for_all_edges_that_return_together(self) -> None:
        updates = updates_of(leader_with(60, 50))
        encoded = SimpleNamespace(count=0)
        original = ReplicatedState.edge_snapshot

        def counted(replicated_state: ReplicatedState) -> bytes:
            encoded.count += 1
            return original(replicated_state)

        with mock.patch.object(ReplicatedState, "edge_snapshot", counted):
            for _ in range(20):
                self.assertIn("image", updates.update_since(1).to_wire())
            consensus = updates.consensus
            internal_command = encode_command("claim", key=b"key", order="order")
            self.assertTrue(
                consensus.applier.store(
                    [Entry(consensus.last_index + 1, 1, EntryKind.INTERNAL, internal_command)]
                )
            )
            consensus.applier.advance(consensus.last_index)
            answer = updates.update_since(1).to_wire()
            self.assertEqual((1, consensus.applied_index), (encoded.count, answer["index"]))
            command = encode_command("drain", id="d", target="edge", on=True)
            self.assertTrue(
                consensus.applier.store(
                    [Entry(consensus.last_index + 1, 1, EntryKind.COMMAND, command)]
                )
            )
            consensus.applier.advance(consensus.last_index)
            edge = ReplicatedState()
            answer = updates.update_since(1).to_wire()
            assert isinstance(answer["image"], bytes)
            edge.restore(answer["image"])
        self.assertEqual((2, {"edge"}), (encoded.count, set(edge.drains)))
