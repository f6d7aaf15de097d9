"""When promises of voters let an edge serve on: a majority of the newest voters known."""

import testtools

from ryelock.edge.quorum_votes import QuorumLeaseVote, decode_vote, is_quorum


def promise(disk: str, voters: str, index: int) -> QuorumLeaseVote:
    return QuorumLeaseVote(disk, 0, frozenset(voters), (1, index))


class PromiseTests(testtools.TestCase):
    def test_a_majority_is_enough(self) -> None:
        self.assertTrue(is_quorum([promise("a", "abc", 1), promise("b", "abc", 1)]))
        self.assertFalse(is_quorum([promise("a", "abc", 1)]))
        self.assertFalse(is_quorum([]))

    def test_a_voter_that_was_removed_does_not_count(self) -> None:
        """c was cut off and replaced by d; a and d go on while b and c promise."""
        promises = [promise("c", "abc", 1), promise("b", "abd", 9)]
        self.assertFalse(is_quorum(promises))
        self.assertTrue(is_quorum([*promises, promise("a", "abd", 9)]))

    def test_half_of_an_even_number_is_not_enough(self) -> None:
        """b alone of a and b: a and d could go on once d was added."""
        self.assertFalse(is_quorum([promise("b", "ab", 5)]))
        self.assertFalse(is_quorum([promise("a", "abcd", 5), promise("b", "abcd", 5)]))

    def test_a_later_epoch_is_newer_than_a_later_index(self) -> None:
        older = QuorumLeaseVote("a", 0, frozenset("abc"), (1, 20))
        newer = QuorumLeaseVote("d", 0, frozenset("def"), (2, 10))
        self.assertFalse(is_quorum([older, newer]))

    def test_only_granted_answers_are_promises(self) -> None:
        answer: dict[str, object] = {
            "granted": True,
            "disk": "a",
            "last": 4,
            "voters": ["a", "b"],
            "configuration": [1, 2],
        }
        self.assertEqual(QuorumLeaseVote("a", 4, frozenset("ab"), (1, 2)), decode_vote(answer))
        self.assertIsNone(decode_vote({**answer, "granted": False}))
        self.assertIsNone(decode_vote({**answer, "configuration": None}))
