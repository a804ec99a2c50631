"""Orders of events: traces found by `tests.exploration`, and mends undone."""

import unittest

from tests.exploration import explore, replay

# Traces that once broke a guarantee, or do so now (KNOWN-RED.txt).
TRACES = (
    # A start is repeated while its worker restarts, and the next incarnation accepts it
    # with the longest lease; then the worker is cut off. The leader knows from the clock
    # in the answer that another incarnation has the run, but still takes it for lost
    # when the leases of the former one have expired.
    ("poll w0 2: crash, back 0.3 s", "poll w0 4: cut silent 8.0 s"),
)


class ExplorationTest(unittest.TestCase):
    def test_traces(self):
        for trace in TRACES:
            with self.subTest(trace=trace):
                self.assertEqual(replay(trace), [])


if __name__ == "__main__":
    unittest.main()
