import unittest
from collections import Counter

from dogwoodlever._fleet_frontend import CallOutcome, FleetFrontend

CALLS = 3000


class DownStore:
    def __init__(self, down_s):
        self.down_s = down_s

    def down_for_s(self):
        return self.down_s


def shares(down_s, member="m"):
    frontend = FleetFrontend(DownStore(down_s), None, None, str, member, {})
    results = [frontend.rejection() for _ in range(CALLS)]
    assert {result.outcome for result in results} == {CallOutcome.NOT_DONE}
    counts = Counter(result.retry_after_s for result in results)
    return {wait_s: count / CALLS for wait_s, count in counts.items()}


class RetryAfterTest(unittest.TestCase):
    CASES = [
        # name, time for which the store has been down, share of callers by wait in s
        ("the store answers", None, {1: 2 / 3, 2: 1 / 3}),
        ("down for a moment", 0.5, {1: 2 / 3, 2: 1 / 3}),
        ("down for some seconds", 2.0, {1: 1 / 4, 2: 1 / 2, 3: 1 / 4}),
        ("a long outage", 60.0, {2: 1 / 2, 3: 1 / 2}),
    ]

    # Guards against callers that are rejected together and return together, and
    # against waits beyond the deadline of 3 s that callers have by default.
    def test_shares_of_the_waits(self):
        for name, down_s, expected in self.CASES:
            with self.subTest(name):
                found = shares(down_s)
                self.assertEqual(set(found), set(expected))
                for wait_s, share in expected.items():
                    self.assertAlmostEqual(found[wait_s], share, delta=0.04)

    def test_daemons_choose_independently(self):
        self.assertEqual(shares(2.0, "a"), shares(2.0, "a"))
        self.assertNotEqual(shares(2.0, "a"), shares(2.0, "b"))


if __name__ == "__main__":
    unittest.main()
