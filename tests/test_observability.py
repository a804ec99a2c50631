import unittest

from dogwoodlever.observability import (
    BurnCounter,
    RequestTrace,
    RequestTraceBuffer,
    merge_burn_rows,
)


class BurnCounterTest(unittest.TestCase):
    def make(self, good, bad, at_s=1000.0, centre="a"):
        counter = BurnCounter(centre)
        for number in range(good + bad):
            counter.record("desk", at_s, number < good, "answered")
        return counter

    def test_burn(self):
        table = (("none", 0, 0, 0.0), ("in budget", 99, 1, 1.0), ("over", 90, 10, 10.0))
        for name, good, bad, burn in table:
            with self.subTest(name):
                row = self.make(good, bad).rows(1000.0, {"desk": 0.99})[0]
                self.assertAlmostEqual(row.burn, burn)

    def test_windows(self):
        rows = self.make(5, 0).rows(1400.0, {"desk": 0.99})
        self.assertEqual([(x.window_s, x.total) for x in rows], [(300, 0), (3600, 5)])

    def test_rows_are_summed_by_data_centre(self):
        objectives = {"desk": 0.99}
        rows = [
            *self.make(1, 1).rows(1000.0, objectives),
            *self.make(2, 0).rows(1000.0, objectives),
            *self.make(4, 0, centre="b").rows(1000.0, objectives),
        ]
        found = [
            (x.data_centre, x.total) for x in merge_burn_rows(rows) if x.window_s < 999
        ]
        self.assertEqual(found, [("a", 4), ("b", 4)])


class RequestTraceBufferTest(unittest.TestCase):
    def add(self, traces, number):
        trace = RequestTrace(f"r{number}", "desk", "book", "c", "d1", 0.0)
        traces.add(trace)
        return trace

    def test_attempts_are_recorded_in_order(self):
        traces = RequestTraceBuffer()
        trace = self.add(traces, 1)
        traces.start_attempt("r1", "s1", 1.0)
        traces.end_attempt("r1", "s1", "not written", 2.0)
        traces.start_attempt("r1", "s2", 3.0)
        traces.end_attempt("r1", "s2", "answered", 4.0)
        traces.end_request("r1", "answered", "answered", 4.0)
        found = [(attempt.server, attempt.result) for attempt in trace.attempts]
        self.assertEqual(found, [("s1", "not written"), ("s2", "answered")])

    def test_failed_requests_are_copied_first(self):
        traces = RequestTraceBuffer()
        for number in range(300):
            self.add(traces, number)
            traces.start_attempt(f"r{number}", "s1", 0.0)
            outcome = "unknown" if number == 299 else "answered"
            traces.end_request(f"r{number}", outcome, "", 1.0)
        copies = traces.take_ended()
        self.assertEqual((len(copies), copies[0].request_id), (200, "r299"))
        self.assertEqual(traces.take_ended(), [])

    def test_buffer_is_bounded(self):
        traces = RequestTraceBuffer()
        for number in range(5001):
            self.add(traces, number)
        self.assertIsNone(traces.get("r0"))
        self.assertIsNotNone(traces.get("r5000"))
