"""Log lines and metrics that show late answers, leases and duplicates."""

import unittest
from unittest.mock import patch

from standins.fleet import WORKER_DELAY_S, WORKER_TIMEOUT_S
from tests.fleet_simulation import JOB, FleetSimulation, job

TASK = f"{JOB}.0.0.0"
LOGGERS = ("_worker_link", "_fleet_runs", "_fleet_workers")


class FleetObservabilityTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        for module in LOGGERS:
            target = f"dogwoodlever.{module}.log_event"
            log_event = patch(target, self.record_event)
            log_event.start()
            self.addCleanup(log_event.stop)

    def record_event(self, event, **fields):
        self.events.append((event, fields))

    def find_events(self, event):
        return [fields for name, fields in self.events if name == event]

    def start_fleet(self, **sizes):
        self.events.clear()
        fleet = FleetSimulation(**({"workers": 2, "run_s": 0.0} | sizes))
        fleet.run_for(1.0)
        return fleet

    # Guards against a start that a paused daemon or worker delays without a trace.
    def test_starts_that_are_answered_late(self):
        table = (
            # copies without an answer; pause of the leader; line and time of the call
            (0, 0.0, None),
            (1, 0.0, None),
            (2, 0.0, WORKER_DELAY_S),
            (0, 1.2, 1.2),
        )
        for lost, pause_s, call_s in table:
            with self.subTest(lost=lost, pause_s=pause_s):
                fleet = self.start_fleet(run_s=10.0)
                fleet.workers.orders_to_lose = lost
                leader = fleet.leader()
                fleet.submit((leader + 1) % 3, job(JOB, tasks=1), wait_s=0.0)
                registry = fleet.nodes[leader].leader.registry
                while not (JOB in registry.jobs and registry.jobs[JOB].has_started):
                    fleet.clock.advance(0.001)
                if pause_s:
                    self.pause(fleet, leader, pause_s)
                fleet.run_for(2 * WORKER_TIMEOUT_S + 1.0)
                lines = self.find_events("run.answered-late")
                self.assertEqual(len(lines), call_s is not None)
                for line in lines:
                    self.assertEqual(line["run"], f"{TASK}#1")
                    self.assertEqual(line["worker"], fleet.workers.starts[0][1])
                    self.assertEqual(line["answer"], "carried_out")
                    self.assertAlmostEqual(line["call_s"], call_s, 1)
                    self.assertGreater(line["took_s"], 1.0)

    def pause(self, fleet, number, pause_s):
        """Pause a daemon; the answers to its calls wait with it."""
        fleet.clocks[number].freeze()
        fleet.run_for(pause_s)
        fleet.clocks[number].thaw()


if __name__ == "__main__":
    unittest.main()
