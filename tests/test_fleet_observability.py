"""Log lines and metrics that show late answers, leases and duplicates."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from standins.fleet import WORKER_DELAY_S, WORKER_TIMEOUT_S, server_record
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

    @staticmethod
    def is_ordered(registry):
        return any(task.runs for task in registry.jobs[JOB].tasks())

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
                while not (JOB in registry.jobs and self.is_ordered(registry)):
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

    # Guards against runs that outlive their lease, by which the leader takes them for
    # ended, without a trace.
    def test_runs_beyond_their_lease(self):
        for silent_s in (3.0, 7.0, 9.0):
            for keeps_runs in (False, True):
                with self.subTest(silent_s=silent_s, keeps_runs=keeps_runs):
                    self.check_overrun(silent_s, keeps_runs)

    def check_overrun(self, silent_s, keeps_runs):
        fleet = self.start_fleet(workers=1)
        fleet.submit(0, job(JOB, tasks=2, standing=True), wait_s=2.0)
        worker = fleet.workers.workers["w0"]
        if keeps_runs:
            fleet.workers.advance_worker = lambda worker: None
        worker.is_reachable = False
        fleet.run_for(silent_s)
        worker.is_reachable = True
        fleet.run_for(3.0)
        lines = self.find_events("worker.lease-overrun")
        registry = fleet.nodes[fleet.leader()].metrics.registry
        observed = registry.get_sample_value("dogwoodlever_lease_overrun_seconds_sum")
        if silent_s < 5.0 or not keeps_runs:
            self.assertEqual(lines, [])
            self.assertEqual(observed, 0.0)
            return
        (line,) = lines
        self.assertEqual((line["worker"], line["count"]), ("w0", 2))
        self.assertEqual(line["runs"], f"{JOB}.0.0.0#1,{JOB}.0.0.1#1")
        self.assertEqual(observed, line["overrun_ms"] / 1000)
        # The lease was granted up to a poll's wait before the silence.
        self.assertGreater(line["overrun_ms"], (silent_s - 5.0) * 1000)
        self.assertLess(line["overrun_ms"], (silent_s - 5.0 + 3.0) * 1000)

    # Guards against a duplicate that its leader's log does not show.
    def test_reports_of_dropped_runs_name_the_evidence(self):
        table = (
            # how the run outlives its drop, evidence, line, incarnation that lists it
            (self.keep_run, "leases-expired", "run.unwanted", 1),
            (self.end_run_at_last, "leases-expired", "run.ended-after-drop", 1),
            (self.start_late, "leases-expired", "run.unwanted", 2),
        )
        for outlive, evidence, event, incarnation in table:
            with self.subTest(outlive.__name__):
                fleet = self.start_fleet()
                affected = outlive(fleet)
                fleet.run_for(2.0)
                (line,) = self.find_events(event)
                (dropped,) = self.find_events("run.lost")
                self.assertEqual(line["run"], f"{TASK}#1")
                self.assertEqual(line["worker"], affected)
                self.assertEqual(line["incarnation"], incarnation)
                self.assertEqual(line["dropped_worker"], affected)
                self.assertEqual(line["dropped_incarnation"], 1)
                self.assertEqual(line["evidence"], evidence)
                self.assertGreater(line["evidence_age_s"], dropped["evidence_age_s"])

    def start_standing_task(self, fleet):
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=2.0)
        return fleet.workers.starts[0][1]

    def silence_beyond_lease(self, fleet, worker_id):
        worker = fleet.workers.workers[worker_id]
        worker.is_reachable = False
        fleet.run_for(8.0)
        worker.is_reachable = True

    def keep_run(self, fleet):
        affected = self.start_standing_task(fleet)
        fleet.workers.advance_worker = lambda worker: None
        self.silence_beyond_lease(fleet, affected)
        return affected

    def end_run_at_last(self, fleet):
        affected = self.start_standing_task(fleet)
        self.silence_beyond_lease(fleet, affected)
        return affected

    def start_late(self, fleet):
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.5)
        (affected,) = fleet.workers._for_next_incarnation
        fleet.run_for(1.0)
        fleet.workers.crash(affected)
        fleet.run_for(7.0)
        entry = replace(fleet.workers.workers[affected].entry, started_at_ms=2)
        fleet.workers.add(entry, 0.0)
        fleet.records.write(f"servers/{affected}", server_record(entry))
        return affected


if __name__ == "__main__":
    unittest.main()
