"""What an edge that was away is given: the smaller of the words it lacks and an image."""

from types import SimpleNamespace
from typing import Any
from unittest import mock

import cbor2
import testtools
from consensus_lab import Lab

from ryelock.consensus.entries import Entry, EntryKind
from ryelock.consensus.node import Consensus
from ryelock.control_plane.renewals import WORDS_BYTES_SMALL, LeaseRenewals
from ryelock.replicated_state import ReplicatedState, encode_command


def route_change(number: int, routes: int) -> dict[str, object]:
    """A change that puts all routes anew, as large as the configuration itself."""
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
        word = encode_command("change", id=f"c{number}", change=route_change(number, routes))
        assert consensus.applier.store([Entry(number + 1, 1, EntryKind.COMMAND, word)])
        consensus.applier.advance(number + 1)
    assert isinstance(consensus.state_machine, ReplicatedState)
    assert consensus.state_machine.version == changes
    return consensus


def renewals_of(consensus: Consensus) -> LeaseRenewals:
    """The leader's answers, with nothing of it but consensus and register."""
    renewals = object.__new__(LeaseRenewals)
    renewals.consensus = consensus
    assert isinstance(consensus.state_machine, ReplicatedState)
    renewals.replicated_state = consensus.state_machine
    renewals.last_edge_snapshot = b""
    renewals.last_edge_snapshot_index = 0
    return renewals


class EdgeCatchUpTests(testtools.TestCase):
    def test_many_large_words_give_way_to_an_image(self) -> None:
        renewals = renewals_of(leader_with(60, 50))
        since_one: Any = renewals.words({"register": 1})
        self.assertIn("image", since_one)
        edge = ReplicatedState()
        edge.restore(since_one["image"])
        self.assertEqual(60, edge.version)
        words = renewals.consensus.commands_since(1) or []
        self.assertLess(len(cbor2.dumps(since_one)) * 10, sum(len(data) for _, data in words))

    def test_a_few_words_come_as_words(self) -> None:
        renewals = renewals_of(leader_with(60, 50))
        self.assertIn("words", renewals.words({"register": 59}))
        self.assertIn("image", renewals.words({}))

    def test_many_small_words_come_as_words_where_the_image_is_larger(self) -> None:
        consensus = leader_with(1, 1500)
        for index in range(2, 900):
            word = encode_command("drain", id=f"d{index}", target=f"edge{index % 2}", on=True)
            self.assertTrue(consensus.applier.store([Entry(index, 1, EntryKind.COMMAND, word)]))
            consensus.applier.advance(index)
        renewals = renewals_of(consensus)
        words = consensus.commands_since(1) or []
        size = sum(len(data) for _, data in words)
        self.assertTrue(WORDS_BYTES_SMALL // 2 < size < len(renewals.edge_snapshot()), size)
        self.assertIn("words", renewals.words({"register": 1}))

    def test_an_image_is_made_once_for_all_edges_that_return_together(self) -> None:
        renewals = renewals_of(leader_with(60, 50))
        made = SimpleNamespace(count=0)
        plain = ReplicatedState.edge_snapshot

        def counted(replicated_state: ReplicatedState) -> bytes:
            made.count += 1
            return plain(replicated_state)

        with mock.patch.object(ReplicatedState, "edge_snapshot", counted):
            for _ in range(20):
                self.assertIn("image", renewals.words({"register": 1}))
            consensus = renewals.consensus
            note = encode_command("claim", key=b"key", order="order")
            self.assertTrue(
                consensus.applier.store(
                    [Entry(consensus.last_index + 1, 1, EntryKind.INTERNAL, note)]
                )
            )
            consensus.applier.advance(consensus.last_index)
            answer = renewals.words({"register": 1})
            self.assertEqual((1, consensus.applied_index), (made.count, answer["index"]))
            word = encode_command("drain", id="d", target="edge", on=True)
            self.assertTrue(
                consensus.applier.store(
                    [Entry(consensus.last_index + 1, 1, EntryKind.COMMAND, word)]
                )
            )
            consensus.applier.advance(consensus.last_index)
            edge = ReplicatedState()
            answer = renewals.words({"register": 1})
            assert isinstance(answer["image"], bytes)
            edge.restore(answer["image"])
        self.assertEqual((2, {"edge"}), (made.count, set(edge.drains)))
