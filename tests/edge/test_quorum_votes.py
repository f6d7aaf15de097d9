"""Quorum leases: votes form a quorum with a majority of the newest voter configuration."""

import testtools

from ryelock.edge.quorum_votes import QuorumLeaseVote, decode_vote, is_quorum


def vote(disk: str, voters: str, index: int) -> QuorumLeaseVote:
    return QuorumLeaseVote(disk, 0, frozenset(voters), (1, index))


class QuorumTests(testtools.TestCase):
    def test_a_majority_is_enough(self) -> None:
        self.assertTrue(is_quorum([vote("a", "abc", 1), vote("b", "abc", 1)]))
        self.assertFalse(is_quorum([vote("a", "abc", 1)]))
        self.assertFalse(is_quorum([]))

    def test_a_voter_that_was_removed_does_not_count(self) -> None:
        """c was cut off and replaced by d: votes of b and c cannot stop a and d from committing."""
        votes = [vote("c", "abc", 1), vote("b", "abd", 9)]
        self.assertFalse(is_quorum(votes))
        self.assertTrue(is_quorum([*votes, vote("a", "abd", 9)]))

    def test_half_of_an_even_number_is_not_enough(self) -> None:
        """With only b's vote of a and b, a and d could elect a leader once d is added."""
        self.assertFalse(is_quorum([vote("b", "ab", 5)]))
        self.assertFalse(is_quorum([vote("a", "abcd", 5), vote("b", "abcd", 5)]))

    def test_a_later_term_is_newer_than_a_later_index(self) -> None:
        older = QuorumLeaseVote("a", 0, frozenset("abc"), (1, 20))
        newer = QuorumLeaseVote("d", 0, frozenset("def"), (2, 10))
        self.assertFalse(is_quorum([older, newer]))

    def test_only_granted_responses_are_votes(self) -> None:
        response: dict[str, object] = {
            "granted": True,
            "disk": "a",
            "last": 4,
            "voters": ["a", "b"],
            "configuration": [1, 2],
        }
        self.assertEqual(QuorumLeaseVote("a", 4, frozenset("ab"), (1, 2)), decode_vote(response))
        self.assertIsNone(decode_vote({**response, "granted": False}))
        self.assertIsNone(decode_vote({**response, "configuration": None}))
