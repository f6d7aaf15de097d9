"""Leader and follower exchanging messages by hand: no network, no clock that moves by itself."""

from random import Random
from typing import Any
from unittest import mock

import testtools
from expression import Error, Ok

from ryelock.council.entries import WORD, Entry, Image
from ryelock.council.seat import BATCH_BYTES, BATCH_BYTES_LEAST, Council, Pace, Peer
from ryelock.events import QuietLog
from ryelock.journal import open_journal
from ryelock.loop import Scheduler
from ryelock.proving.simulated import SimFolder
from ryelock.wire import WireError

Message = dict[str, Any]


class HandClock:
    """Stands still until it is moved."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time


class CountingMachine:
    """Keeps the words it was given, in order."""

    def __init__(self) -> None:
        self.words: list[bytes] = []

    def apply(self, _index: int, data: bytes) -> object:
        self.words.append(data)
        return len(self.words)

    def image(self) -> bytes:
        return b"\n".join(self.words)

    def restore(self, data: bytes) -> None:
        self.words = data.split(b"\n") if data else []


class Lab:
    """A leader and one follower on disks of their own."""

    def __init__(self, **pace: Any) -> None:
        self.clock = HandClock()
        self.pace = pace
        self.leader = self.council("leader", SimFolder())
        self.folder = SimFolder()
        self.follower = self.council("follower", self.folder)
        self.peer = Peer("follower", "follower:1", 1, self.leader.scheduler)

    def council(self, disk: str, folder: SimFolder) -> Council:
        def fault(task: str, error: BaseException) -> None:
            raise AssertionError(f"{task}: {error!r}")

        journal = open_journal(folder, QuietLog(disk), 1 << 20)
        assert journal.is_ok()
        return Council(
            Scheduler(self.clock, fault),
            None,  # type: ignore[arg-type]
            QuietLog(disk),
            journal.ok,
            CountingMachine(),
            disk,
            disk,
            f"{disk}:1",
            (),
            Pace(**self.pace),
            Random(disk),
        )

    def lead(self, epoch: int) -> None:
        """The leader's role as it is after an election, without its tasks."""
        assert self.leader.replicated_log.save_vote(epoch, "leader")
        self.leader.role = "leader"
        self.leader.voters = {"leader": "leader:1", "follower": "follower:1"}
        self.leader.peers = {"follower": self.peer}
        self.peer.next = self.leader.last_index + 1

    def round(self, limit: int = 1 << 30) -> Message:
        """One message and its answer; a message over `limit` bytes of entries comes too late."""
        leader, peer = self.leader, self.peer
        if peer.next <= leader.base.index:
            message = leader.image_message(peer)
            handler = self.follower.on_image
        else:
            message = leader.beat_message(peer)
            handler = self.follower.on_beat
        carried: Any = message.get("entries", [])
        size = sum(len(entry[3]) for entry in carried)
        now = self.clock.time
        answer = handler(message)
        if size > limit:
            leader.heard_peer(peer, leader.epoch, now, Error(WireError("late", True)))
        else:
            leader.heard_peer(peer, leader.epoch, now, Ok(answer))
        return message

    def rounds_until_level(self, most: int, limit: int = 1 << 30) -> int:
        for number in range(most):
            if self.peer.match == self.leader.last_index:
                return number
            self.round(limit)
        return most


def entries(first: int, last: int, epoch: int, size: int = 10) -> list[Entry]:
    return [Entry(index, epoch, WORD, b"%d" % epoch * size) for index in range(first, last + 1)]


class ReplicationTests(testtools.TestCase):
    def test_a_follower_with_many_divergent_entries_is_level_in_a_few_rounds(self) -> None:
        for theirs, ours in ((2, 3), (3, 2), (2, 2)):
            lab = Lab()
            for council in (lab.leader, lab.follower):
                self.assertTrue(council.replicated_log.append(entries(1, 50, 1)))
            self.assertTrue(lab.follower.replicated_log.append(entries(51, 350, theirs)))
            self.assertTrue(lab.leader.replicated_log.append(entries(51, 250, ours)))
            self.assertTrue(lab.leader.replicated_log.append(entries(251, 400, 4)))
            lab.lead(5)
            self.assertLess(lab.rounds_until_level(1000), 5, f"{theirs} against {ours}")
            self.assertEqual(
                [(one.epoch, one.data) for one in lab.leader.entries],
                [(one.epoch, one.data) for one in lab.follower.entries],
            )

    def test_without_the_conflict_each_divergent_entry_costs_a_round(self) -> None:
        def one_back(_leader: Council, peer: Peer, _answer: Message, _last: int) -> int:
            return max(1, peer.next - 1)

        with mock.patch.object(Council, "next_for", one_back):
            lab = Lab()
            self.assertTrue(lab.follower.replicated_log.append(entries(1, 300, 2)))
            self.assertTrue(lab.leader.replicated_log.append(entries(1, 400, 3)))
            lab.lead(4)
            self.assertGreater(lab.rounds_until_level(1000), 300)

    def test_epochs_that_take_turns_cost_a_round_each_at_most(self) -> None:
        lab = Lab()
        for epoch in range(1, 41):
            first = 10 * epoch - 9
            log = lab.leader if epoch % 2 else lab.follower
            self.assertTrue(log.replicated_log.append(entries(log.last_index + 1, first, epoch)))
        self.assertTrue(
            lab.leader.replicated_log.append(entries(lab.leader.last_index + 1, 500, 41))
        )
        lab.lead(42)
        self.assertLess(lab.rounds_until_level(1000), 45)

    def test_a_follower_that_compacted_is_not_walked_back_to_an_image(self) -> None:
        """Its answers were lost while it took entries and wrote an image of them."""
        lab = Lab()
        for council in (lab.leader, lab.follower):
            self.assertTrue(council.replicated_log.append(entries(1, 300, 1)))
        lab.lead(2)
        lab.follower.advance(200)
        self.assertTrue(lab.follower.replicated_log.compact(Image(200, 1, {}, b"", 200)))
        lab.peer.next = 100
        self.assertLess(lab.rounds_until_level(1000), 4)

    def test_entries_too_many_for_a_slow_link_come_in_smaller_batches(self) -> None:
        """A batch that takes longer than an answer may take was sent again, whole, for ever."""
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 200, 1, 5000)))
        lab.lead(2)
        lab.peer.next = 1
        self.assertLess(lab.rounds_until_level(200, limit=100_000), 30)

    def test_batches_of_one_size_never_cross_a_slow_link(self) -> None:
        plain = Council.batch
        with mock.patch.object(
            Council, "batch", lambda council, start, _most: plain(council, start, BATCH_BYTES)
        ):
            lab = Lab()
            self.assertTrue(lab.leader.replicated_log.append(entries(1, 200, 1, 5000)))
            lab.lead(2)
            lab.peer.next = 1
            self.assertEqual(200, lab.rounds_until_level(200, limit=100_000))

    def test_an_entry_larger_than_a_batch_still_crosses(self) -> None:
        lab = Lab()
        self.assertTrue(lab.leader.replicated_log.append(entries(1, 3, 1, 4 * BATCH_BYTES_LEAST)))
        lab.lead(2)
        lab.peer.next = 1
        lab.peer.batch_bytes = BATCH_BYTES_LEAST
        self.assertLess(lab.rounds_until_level(20), 10)
