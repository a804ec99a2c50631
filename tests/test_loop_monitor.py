"""Late timers of a daemon's event loop."""

import unittest
from unittest.mock import patch

from prometheus_client import CollectorRegistry, Histogram
from twisted.internet.task import Clock

from dogwoodlever._loop_monitor import CHECK_INTERVAL_S, LoopMonitor
from standins.in_process import ProcessClock
from tests.fleet_simulation import FleetSimulation

STEP_S = 0.01


class LoopMonitorTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        log_event = patch("dogwoodlever._loop_monitor.log_event", self.record_event)
        log_event.start()
        self.addCleanup(log_event.stop)

    def record_event(self, event, **fields):
        self.assertEqual(event, "loop.late")
        self.lines.append((round(fields["late_s"], 2), fields["count"]))

    def run_for(self, clock, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            clock.advance(STEP_S)

    def test_stalls(self):
        table = (
            # stalls and their distances; lines of the longest lateness and the count
            ((), []),
            ((0.3,), []),
            ((0.5,), [(0.3, 1)]),
            ((10.0,), [(9.8, 1)]),
            # Within a second of a line, the next one waits.
            ((0.5, 0.7, 0.6), [(0.3, 1), (0.5, 2)]),
        )
        for stalls, lines in table:
            with self.subTest(stalls=stalls):
                self.lines.clear()
                clock = Clock()
                process_clock = ProcessClock(clock)
                lateness_s = Histogram("late", "late", registry=CollectorRegistry())
                monitor = LoopMonitor(process_clock, lateness_s)
                monitor.open()
                for stall_s in stalls:
                    process_clock.freeze()
                    self.run_for(clock, stall_s)
                    process_clock.thaw()
                self.run_for(clock, 3.0)
                monitor.close()
                self.assertEqual(self.lines, lines)
                self.assertEqual(clock.getDelayedCalls(), [])

    # Guards against a line for each timer of a host that delays all of them.
    def test_lines_of_a_busy_host_are_bounded(self):
        clock = Clock()
        lateness_s = Histogram("late", "late", registry=CollectorRegistry())
        LoopMonitor(clock, lateness_s).open()
        for _ in range(60):
            clock.advance(CHECK_INTERVAL_S + 0.25)
        self.assertLessEqual(len(self.lines), 27)
        self.assertAlmostEqual(sum(count for _, count in self.lines), 60, delta=3)

    def test_daemons_measure_their_loops(self):
        fleet = FleetSimulation(daemons=2)
        fleet.run_for(1.0)
        fleet.clocks[1].freeze()
        fleet.run_for(1.0)
        fleet.clocks[1].thaw()
        fleet.run_for(0.5)
        for node, is_late in zip(fleet.nodes, (False, True), strict=True):
            registry = node.metrics.registry
            name = "dogwoodlever_loop_lateness_seconds"
            checks = registry.get_sample_value(f"{name}_count")
            in_time = registry.get_sample_value(f"{name}_bucket", {"le": "0.2"})
            self.assertEqual(checks - in_time, is_late)
        self.assertEqual(len(self.lines), 1)


if __name__ == "__main__":
    unittest.main()
