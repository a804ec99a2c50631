"""Attribution of dropped runs, and of the restarts of their tasks, to evidence."""

import unittest
from unittest.mock import patch

from prometheus_client.exposition import generate_latest

from dogwoodlever._drop_evidence import DropEvidence
from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_types import TaskId
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S, lease_bound_s
from dogwoodlever.platform_errors import OrderRefusedError
from standins.fleet import LEASE_MAX_MS, WORKER_TIMEOUT_S, server_record
from tests.fleet_simulation import (
    JOB,
    STOP_S,
    FleetSimulation,
    job,
    worker_entry,
)

TASK = f"{JOB}.0.0.0"
# Of each response of the metrics address, as far as a collector may keep it.
KEPT_BYTES = 4_000
# From the expiry of an order to the contact with the store that is then requested.
EXPIRY_CHECK_MAX_S = 0.25
# From the expiry of leases to the leader's next contact with the store.
CONFIRMATION_MAX_S = 0.75
# Longest lease, a slow clock and the confirmation.
LEASES_WAIT_S = 7.0


def forget_run(fleet, worker_id):
    fleet.workers.workers[worker_id].running.clear()


def silence(fleet, worker_id):
    fleet.workers.workers[worker_id].is_reachable = False


def restart(fleet, worker_id):
    entry = worker_entry(int(worker_id[1:]), started_at_ms=2)
    fleet.workers.add(entry, 0.0)
    fleet.records.write(f"servers/{worker_id}", server_record(entry))


def restart_unlisted(fleet, worker_id):
    restart(fleet, worker_id)
    fleet.records.remove(f"servers/{worker_id}")


def replace(fleet, worker_id):
    forget_run(fleet, worker_id)
    fleet.workers.replaced.add(worker_id)
    fleet.records.remove(f"servers/{worker_id}")


class RunRestartsTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        log_event = patch("dogwoodlever._fleet_runs.log_event", self.record_event)
        log_event.start()
        self.addCleanup(log_event.stop)

    def record_event(self, event, **fields):
        self.events.append((event, fields))

    def find_events(self, event):
        return [fields for name, fields in self.events if name == event]

    def start_fleet(self):
        self.events.clear()
        fleet = FleetSimulation(workers=2, run_s=0.0)
        fleet.run_for(1.0)
        return fleet

    def read_counter(self, fleet, evidence):
        registry = fleet.nodes[fleet.leader()].metrics.registry
        labels = {"evidence": str(evidence)}
        return registry.get_sample_value("dogwoodlever_dropped_runs_total", labels)

    def check_attribution(self, fleet, dropped_as, worker_id, evidence, age_max_s):
        (dropped,) = self.find_events(dropped_as)
        self.assertEqual(dropped["run"], f"{TASK}#1")
        self.assertEqual(dropped["worker"], worker_id)
        (restarted,) = self.find_events("run.restarted")
        self.assertEqual(restarted["run"], f"{TASK}#2")
        self.assertEqual(restarted["former"], 1)
        self.assertEqual(restarted["former_worker"], worker_id)
        for fields in (dropped, restarted):
            self.assertEqual(fields["evidence"], evidence)
            self.assertGreaterEqual(fields["evidence_age_s"], 0.0)
        self.assertLessEqual(dropped["evidence_age_s"], age_max_s)
        self.assertGreaterEqual(restarted["evidence_age_s"], dropped["evidence_age_s"])
        self.assertEqual(self.read_counter(fleet, evidence), 1)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_run_that_was_confirmed(self):
        # evidence, what ends the run, oldest age when it is dropped, time to restart
        table = (
            (DropEvidence.NOT_LISTED, forget_run, 0.0, 4.0),
            (DropEvidence.LEASES_EXPIRED, silence, CONFIRMATION_MAX_S, LEASES_WAIT_S),
            (DropEvidence.INCARNATION_REPLACED, restart, 0.0, 4.0),
            (DropEvidence.INCARNATION_REPLACED, restart_unlisted, 0.0, 4.0),
            (DropEvidence.ADDRESS_TAKEN, replace, 0.0, 4.0),
        )
        for evidence, end_run, age_max_s, wait_s in table:
            with self.subTest(evidence, cause=end_run.__name__):
                fleet = self.start_fleet()
                fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=1.0)
                worker_id = fleet.workers.starts[0][1]
                end_run(fleet, worker_id)
                fleet.run_for(wait_s)
                self.check_attribution(
                    fleet, "run.lost", worker_id, evidence, age_max_s
                )

    def test_order_that_expired_without_an_answer(self):
        fleet = self.start_fleet()
        fleet.workers.start_delay_s = 2 * LATE_ORDER_MAX_S
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.2)
        registry = fleet.nodes[fleet.leader()].leader.registry
        worker_id = registry.find(TaskId(JOB, 0, 0, 0)).runs[1].worker_id
        silence(fleet, worker_id)
        fleet.run_for(WORKER_TIMEOUT_S)
        restart_unlisted(fleet, worker_id)
        late_lease_s = lease_bound_s(LEASE_MAX_MS / 1000, STOP_S)
        fleet.run_for(LATE_ORDER_MAX_S + late_lease_s + WORKER_TIMEOUT_S + 1.0)
        self.check_attribution(
            fleet,
            "run.lost",
            worker_id,
            DropEvidence.ORDER_EXPIRED,
            EXPIRY_CHECK_MAX_S,
        )

    def test_start_that_was_refused(self):
        for reason in set(RefusalReason) - {RefusalReason.FENCED}:
            with self.subTest(reason):
                fleet = self.start_fleet()
                self.refuse_starts(fleet, number=1, reason=reason)
                fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=3.0)
                (refused,) = self.find_events("run.refused")
                evidence = f"start-refused-{reason}"
                self.check_attribution(
                    fleet, "run.refused", refused["worker"], evidence, 0.0
                )

    def refuse_starts(self, fleet, number, reason):
        """Let the workers refuse each order to start the run with a number."""
        start = fleet.workers.start

        def start_unless_refused(worker, order):
            if order.run.number == number:
                raise OrderRefusedError(reason)
            start(worker, order)

        fleet.workers.start = start_unless_refused

    def test_every_refusal_is_evidence(self):
        for reason in RefusalReason:
            with self.subTest(reason):
                evidence = DropEvidence.of_refusal(reason)
                self.assertEqual(evidence, f"start-refused-{reason}")

    # Guards against counters of decisions that a collector which keeps the first 4,000
    # bytes of a response never sees, as in the first run of the incident of issue 30.
    def test_decisions_are_counted_at_the_start_of_a_response(self):
        metrics = FleetMetrics()
        expected = []
        for evidence in DropEvidence:
            metrics.dropped_runs.labels(evidence).inc()
            expected.append(f'dropped_runs_total{{evidence="{evidence}"}} 1.0')
        for how in ("done", "failed", "stopped", "lapsed", "lost"):
            metrics.run_ends.labels(how).inc()
            expected.append(f'run_ends_total{{how="{how}"}} 1.0')
        for event in ("lapsed", "quarantined"):
            metrics.worker_events.labels(event).inc()
            expected.append(f'worker_events_total{{event="{event}"}} 1.0')
        kept = generate_latest(metrics.registry)[:KEPT_BYTES].decode()
        for line in expected:
            with self.subTest(line):
                self.assertIn(line, kept)

    # Guards against a restart that is attributed to a run which ended as listed.
    def test_start_after_a_listed_end_is_no_restart(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=1.0)
        forget_run(fleet, fleet.workers.starts[0][1])
        fleet.run_for(4.0)
        run_id, worker_id = fleet.workers.starts[1]
        worker = fleet.workers.workers[worker_id]
        fleet.workers.end(worker, worker.running[run_id], "failed")
        fleet.run_for(2.0)
        self.assertEqual(len(fleet.workers.starts), 3)
        self.assertEqual(len(self.find_events("run.restarted")), 1)


if __name__ == "__main__":
    unittest.main()
