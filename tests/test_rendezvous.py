import unittest
from collections import Counter

from dogwoodlever.peers import highest_ranked, rank

CANDIDATES = [f"d{i}#{i:x}" for i in range(7)]
KEYS = [f"s{i:04d}" for i in range(7000)]


class RendezvousTest(unittest.TestCase):
    def test_highest_ranked_is_first_of_the_rank(self):
        for key in KEYS[:50]:
            self.assertEqual(rank(key, CANDIDATES)[0], highest_ranked(key, CANDIDATES))
        self.assertIsNone(highest_ranked("key", ()))

    def test_keys_are_spread_evenly(self):
        counts = Counter(highest_ranked(key, CANDIDATES) for key in KEYS)
        for candidate in CANDIDATES:
            self.assertAlmostEqual(counts[candidate], 1000, delta=120)

    def test_pairs_of_highest_ranked_are_spread_evenly(self):
        counts = Counter(tuple(rank(key, CANDIDATES)[:2]) for key in KEYS)
        self.assertEqual(len(counts), 42)
        self.assertLess(max(counts.values()), 2 * min(counts.values()))

    def test_removed_candidate_moves_only_its_own_keys(self):
        left = CANDIDATES[:-1]
        for key in KEYS:
            before = highest_ranked(key, CANDIDATES)
            if before != CANDIDATES[-1]:
                self.assertEqual(highest_ranked(key, left), before)
