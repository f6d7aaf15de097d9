"""When promises of voters let an edge serve on: a majority of the newest voters known."""

import testtools

from ryelock.edge.promises import QuorumLeaseVote, are_enough, decode_vote


def promise(disk: str, voters: str, index: int) -> QuorumLeaseVote:
    return QuorumLeaseVote(disk, 0, frozenset(voters), (1, index))


class PromiseTests(testtools.TestCase):
    def test_a_majority_is_enough(self) -> None:
        self.assertTrue(are_enough([promise("a", "abc", 1), promise("b", "abc", 1)]))
        self.assertFalse(are_enough([promise("a", "abc", 1)]))
        self.assertFalse(are_enough([]))

    def test_a_voter_that_was_removed_does_not_count(self) -> None:
        """c was cut off and replaced by d; a and d go on while b and c promise."""
        promises = [promise("c", "abc", 1), promise("b", "abd", 9)]
        self.assertFalse(are_enough(promises))
        self.assertTrue(are_enough([*promises, promise("a", "abd", 9)]))

    def test_half_of_an_even_number_is_not_enough(self) -> None:
        """b alone of a and b: a and d could go on once d was added."""
        self.assertFalse(are_enough([promise("b", "ab", 5)]))
        self.assertFalse(are_enough([promise("a", "abcd", 5), promise("b", "abcd", 5)]))

    def test_a_later_epoch_is_newer_than_a_later_index(self) -> None:
        older = QuorumLeaseVote("a", 0, frozenset("abc"), (1, 20))
        newer = QuorumLeaseVote("d", 0, frozenset("def"), (2, 10))
        self.assertFalse(are_enough([older, newer]))

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
