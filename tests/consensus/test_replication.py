"""Replication between a leader and a follower, without a network and with a manual clock."""

from random import Random
from typing import Any
from unittest import mock

import testtools
from consensus_lab import CountingMachine, Lab, entries

from ryelock.consensus.entries import Entry, EntryKind, Snapshot
from ryelock.consensus.followers import MAX_BATCH_BYTES, MIN_BATCH_BYTES, Follower
from ryelock.consensus.log import MAX_RETAINED_BYTES, ReplicatedLog
from ryelock.consensus.messages import AppendReply, VoteRequest
from ryelock.consensus.node import Consensus
from ryelock.consensus.replicator import Replicator
from ryelock.consensus.transfer import SNAPSHOT_CHUNK_BYTES, chunk_from_wire
from ryelock.replicated_state import ReplicatedState, encode_command
from ryelock.rpc import MalformedMessageError
from ryelock.rpc.codec import Natural
from ryelock.testing.simulated import SimFolder


class ReplicationTests(testtools.TestCase):
    def test_a_follower_with_many_divergent_entries_catches_up_in_a_few_rounds(self) -> None:
        for theirs, ours in ((2, 3), (3, 2), (2, 2)):
            lab = Lab()
            for consensus in (lab.leader, lab.follower):
                self.assertTrue(consensus.replicated_log.append(entries(1, 50, 1)))
            self.assertTrue(lab.follower.replicated_log.append(entries(51, 350, theirs)))
            self.assertTrue(lab.leader.replicated_log.append(entries(51, 250, ours)))
            self.assertTrue(lab.leader.replicated_log.append(entries(251, 400, 4)))
            lab.lead(5)
            self.assertLess(lab.rounds_until_level(1000), 5, f"{theirs} against {ours}")
            self.assertEqual(
                [(one.term, one.data) for one in lab.leader.replicated_log.entries],
                [(one.term, one.data) for one in lab.follower.replicated_log.entries],
            )

    def test_without_the_conflict_each_divergent_entry_costs_a_round(self) -> None:
        def one_back(
            _leader: Replicator, follower: Follower, _reply: AppendReply, _last_index: int
        ) -> int:
            return max(1, follower.next_index - 1)

        with mock.patch.object(Replicator, "next_index_after", one_back):
            lab = Lab()
            self.assertTrue(lab.follower.replicated_log.append(entries(1, 300, 2)))
            self.assertTrue(lab.leader.replicated_log.append(entries(1, 400, 3)))
            lab.lead(4)
            self.assertGreater(lab.rounds_until_level(1000), 300)

    def test_alternating_conflicting_terms_cost_at_most_a_round_each(self) -> None:
        lab = Lab()
        for term in range(1, 41):
            first = 10 * term - 9
            log = lab.leader if term % 2 else lab.follower
            self.assertTrue(log.replicated_log.append(entries(log.last_index + 1, first, term)))
        self.assertTrue(
            lab.leader.replicated_log.append(entries(lab.leader.last_index + 1, 500, 41))
        )
        lab.lead(42)
        self.assertLess(lab.rounds_until_level(1000), 45)

    def test_a_follower_that_compacted_needs_no_snapshot(self) -> None:
        """The follower's replies were lost while it stored entries and wrote a snapshot."""
        lab = Lab()
        for consensus in (lab.leader, lab.follower):
            self.assertTrue(consensus.replicated_log.append(entries(1, 300, 1)))
        lab.lead(2)
        lab.follower.applier.advance(200)
        while lab.follower.applied_index < 200:
            lab.follower.applier.apply_committed()
        self.assertTrue(lab.follower.replicated_log.compact(Snapshot(200, 1, {}, b"", 200)))
        lab.peer.next_index = 100
        self.assertLess(lab.rounds_until_level(1000), 4)

    def test_entries_too_many_for_a_slow_link_come_in_smaller_batches(self) -> None:
        """A batch too large to arrive within the timeout must not be resent at the same size."""
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 200, 1, 5000)))
        lab.lead(2)
        lab.peer.next_index = 1
        self.assertLess(lab.rounds_until_level(200, limit=100_000), 30)

    def test_batches_of_one_size_never_cross_a_slow_link(self) -> None:
        batch = Replicator.batch
        with mock.patch.object(
            Replicator, "batch", lambda leader, start, _most: batch(leader, start, MAX_BATCH_BYTES)
        ):
            lab = Lab()
            self.assertTrue(lab.leader.replicated_log.append(entries(1, 200, 1, 5000)))
            lab.lead(2)
            lab.peer.next_index = 1
            self.assertEqual(200, lab.rounds_until_level(200, limit=100_000))

    def with_snapshot(self, size: int) -> Lab:
        """Return a leader with a snapshot up to entry 100, and an empty follower."""
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 120, 1)))
        snapshot = Snapshot(
            100, 1, {"leader": "leader:1", "follower": "follower:1"}, b"w" * size, 100
        )
        self.assertTrue(lab.leader.replicated_log.compact(snapshot))
        lab.leader.state.commit_index = lab.leader.state.applied_index = 100
        lab.lead(2)
        lab.peer.next_index = 1
        return lab

    def test_a_replica_a_little_behind_a_new_snapshot_gets_entries(self) -> None:
        """A replica that lags a little must not need a complete snapshot after each compaction."""
        lab = Lab()
        for consensus in (lab.leader, lab.follower):
            self.assertTrue(consensus.replicated_log.append(entries(1, 200, 1)))
        lab.lead(2)
        lab.leader.state.commit_index = 200
        while lab.leader.applied_index < 200:
            lab.leader.applier.apply_committed()
        lab.peer.next_index = 199
        lab.leader.applier.write_snapshot()
        self.assertEqual((200, []), (lab.leader.snapshot.index, lab.leader.replicated_log.entries))
        since = lab.leader.commands_since(197)
        self.assertEqual([198, 199, 200], [index for index, _ in since or []])
        self.assertEqual("council.beat", lab.round()["kind"])
        self.assertEqual(200, lab.peer.match_index)

    def test_retained_entries_are_bounded_and_end_with_a_restart(self) -> None:
        lab = Lab()
        log = lab.leader.replicated_log
        for last in range(100, 1100, 100):
            self.assertTrue(log.append(entries(last - 99, last, 1, 10_000)))
            self.assertTrue(log.compact(Snapshot(last, 1, {}, b"", last)))
        size = sum(len(entry.data) for entry in log.retained)
        self.assertTrue(MAX_RETAINED_BYTES // 2 < size < MAX_RETAINED_BYTES, size)
        self.assertEqual(1000, log.retained[-1].index)
        self.assertEqual(log.first_retained_index, log.retained[0].index)
        self.assertFalse(log.has_term_at(log.first_retained_index - 1))
        self.assertTrue(log.has_term_at(log.first_retained_index))
        self.assertIsNone(lab.leader.commands_since(log.first_retained_index - 2))
        again = lab.consensus("leader", lab.leader.replicated_log.journal.folder)  # type: ignore[arg-type]
        self.assertEqual((1000, []), (again.snapshot.index, again.replicated_log.retained))
        self.assertTrue(again.replicated_log.has_term_at(1000))
        self.assertFalse(again.replicated_log.has_term_at(999))

    def test_a_snapshot_crosses_in_chunks_also_over_a_slow_link(self) -> None:
        lab = self.with_snapshot(3_000_000)
        chunk_sizes: list[int] = []
        while lab.peer.match_index < lab.leader.last_index:
            message: Any = lab.round(limit=100_000)
            if message["kind"] == "council.image":
                chunk_sizes.append(len(message["piece"][-1]))
        self.assertLess(max(chunk_sizes), SNAPSHOT_CHUNK_BYTES + 1)
        self.assertLess(len(chunk_sizes), 80)
        self.assertEqual([b"w" * 3_000_000], lab.applied(lab.follower))
        self.assertEqual((100, 120), (lab.follower.snapshot.index, lab.follower.last_index))

    def test_a_snapshot_goes_on_where_it_was_when_an_answer_is_lost(self) -> None:
        lab = self.with_snapshot(1_000_000)
        lab.round()
        before = lab.peer.outgoing
        assert before is not None
        lab.round(limit=0)
        lab.round()
        self.assertEqual(SNAPSHOT_CHUNK_BYTES * 2, before.received)
        self.assertLess(lab.rounds_until_level(20), 12)

    def test_a_snapshot_is_finished_though_a_newer_one_was_written(self) -> None:
        """Otherwise a slow follower would restart on each new snapshot and never finish."""
        lab = self.with_snapshot(1_000_000)
        lab.round()
        self.assertTrue(
            lab.leader.replicated_log.compact(Snapshot(110, 1, {}, b"x" * 900_000, 110))
        )
        lab.leader.replicated_log.retained = []
        while lab.follower.applied_index == 0:
            lab.round()
        self.assertEqual(100, lab.follower.snapshot.index)
        self.assertLess(lab.rounds_until_level(20), 12)
        self.assertEqual([b"x" * 900_000], lab.applied(lab.follower))

    def test_a_follower_that_restarts_gets_the_snapshot_from_the_start(self) -> None:
        lab = self.with_snapshot(1_000_000)
        lab.round()
        lab.round()
        lab.follower = lab.consensus("follower", lab.folder)
        self.assertLess(lab.rounds_until_level(30), 12)
        self.assertEqual([b"w" * 1_000_000], lab.applied(lab.follower))

    def test_chunks_that_do_not_fit_their_snapshot_are_declined(self) -> None:
        for chunk in (
            [1, 1, {}, 1, 10, 8, b"abc"],
            [1, 1, {}, 1, -1, 0, b""],
            [1, 1, {}, 1, 1 << 40, 0, b""],
            [1, 1, {}, 1, 10, -1, b"a"],
            [1, 1, {}, 1, 10, 0],
        ):
            self.assertRaises(MalformedMessageError, chunk_from_wire, chunk)

    def test_a_command_sent_again_counts_once_on_an_edge_that_has_a_snapshot(self) -> None:
        """An edge's snapshot has no outcomes, so the leader omits duplicate commands."""
        lab = Lab()
        consensus, replicated_state, edge = lab.leader, ReplicatedState(), ReplicatedState()
        consensus.applier.state_machine = replicated_state

        def put(kind: str, **fields: object) -> None:
            index = consensus.last_index + 1
            self.assertTrue(
                consensus.applier.store(
                    [Entry(index, 1, EntryKind.COMMAND, encode_command(kind, **fields))]
                )
            )
            consensus.applier.advance(index)

        purge = {"id": "same", "scopes": [{"route": "a"}]}
        drain = {"id": "drained", "target": "edge", "on": True}
        put("purge", **purge)
        put("drain", **drain)
        put("drain", id="back", target="edge", on=False)
        edge.restore(replicated_state.edge_snapshot())
        put("purge", **purge)
        put("drain", **drain)
        put("purge", id="other", scopes=[{"route": "b"}])
        for index, data in consensus.commands_since(edge.index) or []:
            edge.apply(index, data)
        self.assertEqual((2, {}), (replicated_state.purge_number, replicated_state.drains))
        self.assertEqual((2, {}), (edge.purge_number, edge.drains))

    def test_a_long_catch_up_is_applied_in_bounded_batches(self) -> None:
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 300, 1)))
        lab.lead(2)
        lab.peer.next_index = 1
        lab.leader.state.commit_index = 300
        lab.round()
        self.assertEqual((300, 64), (lab.follower.commit_index, lab.follower.applied_index))
        for _ in range(4):
            lab.follower.applier.apply_committed()
        self.assertEqual(300, lab.follower.applied_index)
        self.assertEqual(300, len(lab.applied(lab.follower)))

    def test_an_entry_that_takes_long_ends_its_batch(self) -> None:
        lab = Lab()
        self.assertTrue(lab.follower.replicated_log.append(entries(1, 30, 1)))

        def slow(_machine: CountingMachine, _index: int, _data: bytes) -> object:
            lab.clock.time += 0.015
            return None

        with mock.patch.object(CountingMachine, "apply", slow):
            lab.follower.applier.advance(30)
        self.assertEqual(2, lab.follower.applied_index)

    def test_a_leader_is_not_ready_before_it_applied_all_committed_entries(self) -> None:
        """Reads, leases and voter changes depend on `leader_ready`."""
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 200, 1)))
        lab.lead(2)
        self.assertTrue(lab.leader.replicated_log.append(entries(201, 201, 2)))
        lab.leader.applier.advance(201)
        self.assertEqual((201, False), (lab.leader.commit_index, lab.leader.leader_ready))
        while lab.leader.applied_index < 201:
            self.assertFalse(lab.leader.leader_ready)
            lab.leader.applier.apply_committed()
        self.assertTrue(lab.leader.leader_ready)

    def test_an_entry_larger_than_a_batch_still_crosses(self) -> None:
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 3, 1, 4 * MIN_BATCH_BYTES)))
        lab.lead(2)
        lab.peer.next_index = 1
        lab.peer.batch_bytes = MIN_BATCH_BYTES
        self.assertLess(lab.rounds_until_level(20), 10)


class AcknowledgedTests(testtools.TestCase):
    """A restarted member still has everything that it acknowledged."""

    def run_random_history(self, seed: int) -> None:
        """Run random batches, snapshots and power losses, checking the follower after each."""
        random = Random(f"acknowledged {seed}")
        lab = Lab(snapshot_records=random.choice((5, 40, 1000)))
        lab.lead(1)
        acknowledged = (0, 0)
        for _ in range(30):
            log = lab.leader.replicated_log
            first = lab.leader.last_index + 1
            self.assertTrue(log.append(entries(first, first + random.randrange(1, 6), 1)))
            if random.random() < 0.7:
                lab.leader.applier.advance(
                    random.randint(lab.leader.commit_index, lab.leader.last_index)
                )
            while lab.leader.applied_index < lab.leader.commit_index:
                lab.leader.applier.apply_committed()
            if random.random() < 0.2 and lab.leader.applied_index > lab.leader.snapshot.index:
                lab.leader.applier.write_snapshot()
            lab.peer.next_index = max(1, min(lab.peer.next_index, random.randint(0, first)))
            for _ in range(random.randrange(4)):
                lab.round()
            acknowledged = (
                max(acknowledged, (1, lab.peer.match_index)) if lab.peer.match_index else (0, 0)
            )
            if random.random() < 0.3:
                lab.folder.lose_power(random)
                lab.follower = lab.consensus("follower", lab.folder)
            self.check_acknowledged(lab.follower, acknowledged)

    def check_acknowledged(self, member: Consensus, acknowledged: tuple[int, int]) -> None:
        mine = member.state.last_position()
        self.assertTrue(mine >= acknowledged, f"{mine} after {acknowledged}")
        for last_term, last_index in ((0, 0), (1, max(0, acknowledged[1] - 1))):
            if (last_term, last_index) >= acknowledged:
                continue
            reply = member.election.on_vote(
                VoteRequest(
                    recipient="follower",
                    candidate="candidate",
                    term=Natural(member.term + 1),
                    pre_vote=True,
                    transfer=True,
                    last_index=Natural(last_index),
                    last_term=Natural(last_term),
                )
            )
            self.assertEqual(False, reply.granted)

    def test_no_restart_makes_a_member_forget_what_it_acknowledged(self) -> None:
        for seed in range(300):
            self.run_random_history(seed)

    def test_without_syncs_a_restart_forgets(self) -> None:
        with mock.patch.object(SimFolder, "sync", lambda _folder, _name: None):
            self.assertRaises(AssertionError, self.run_all_histories)

    def test_a_snapshot_that_drops_the_entries_behind_it_forgets(self) -> None:
        def install(log: ReplicatedLog, snapshot: Snapshot) -> bool:
            return log.replace_prefix(snapshot, [])

        with mock.patch.object(ReplicatedLog, "install", install):
            self.assertRaises(AssertionError, self.run_all_histories)

    def run_all_histories(self) -> None:
        for seed in range(300):
            self.run_random_history(seed)
