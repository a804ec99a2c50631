"""Starts without an answer, which a worker's next incarnation may carry out."""

import itertools
import unittest
from dataclasses import replace

from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S
from standins.fleet import server_record
from tests.fleet_simulation import JOB, job
from tests.test_longest_leases import (
    FORMER_CLOCK_MS,
    LONGEST_S,
    START_MAX_S,
    WORKER_CUTS,
    ReturnedWorkersTest,
)

# Longer than each test.
RUN_S = 1000.0
# Time to adopt a run, in which it does not count as hanging.
SETTLED_S = 3.0


class LateStartTest(ReturnedWorkersTest):
    """The first copy of a start has no answer, and the second one is carried out."""

    def start_task(self):
        """Return a fleet, the worker of a task, and the first copy with its token."""
        fleet = self.start_fleet(workers=2, run_s=RUN_S)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1), wait_s=2.0)
        ((worker_id, order),) = fleet.workers._for_next_incarnation.items()
        fleet.workers._for_next_incarnation.clear()
        self.assertEqual(fleet.workers.starts, [(order.run, worker_id)])
        return fleet, worker_id, order, fleet.workers._held_tokens.pop(worker_id)

    def add_incarnation(self, fleet, worker_id):
        entry = replace(fleet.workers.workers[worker_id].entry, started_at_ms=2)
        return fleet.workers.add(entry, RUN_S)

    def carry_out(self, fleet, worker, order):
        fleet.workers.renew(worker, FORMER_CLOCK_MS)
        fleet.workers.start(worker, order)

    # Guards against a task that is started elsewhere as the leases of its worker have
    # expired, although the worker may return and carry a copy of its start out (TWICE).
    def test_worker_returns_after_its_leases_have_expired(self):
        for cut, returns_after_s in itertools.product(
            WORKER_CUTS, (4.0, 5.5, 6.5, 8.0, 9.5)
        ):
            with self.subTest(cut=cut, returns_after_s=returns_after_s):
                fleet, worker_id, order, _ = self.start_task()
                former = fleet.workers.workers[worker_id]
                WORKER_CUTS[cut](former)
                fleet.run_for(returns_after_s)
                former.running.clear()
                worker = self.add_incarnation(fleet, worker_id)
                self.carry_out(fleet, worker, order)
                fleet.records.write(f"servers/{worker_id}", server_record(worker.entry))
                fleet.run_for(SETTLED_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(len(worker.running), 1)

    # Guards against a wait for such a copy that goes on after it has expired.
    def test_task_runs_elsewhere_once_its_copy_has_expired(self):
        for cut in WORKER_CUTS:
            with self.subTest(cut=cut):
                fleet, worker_id, _, _ = self.start_task()
                former = fleet.workers.workers[worker_id]
                WORKER_CUTS[cut](former)
                former.running.clear()
                fleet.run_for(LATE_ORDER_MAX_S + START_MAX_S)
                self.assertEqual(self.count_elsewhere(fleet, former), 1)

    # Guards against a task that runs again at the next incarnation after its end was
    # acknowledged, by a copy of its start (TWICE).
    def test_end_is_not_acknowledged_before_the_copies_have_expired(self):
        fleet, worker_id, _, _ = self.start_task()
        worker = fleet.workers.workers[worker_id]
        (run,) = worker.running.values()
        fleet.workers.end(worker, run, "done")
        fleet.run_for(1.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(worker.acknowledged_number, 0)
        fleet.run_for(LATE_ORDER_MAX_S)
        self.assertEqual(worker.acknowledged_number, 1)

    # Guards against a task that is started elsewhere after its run has ended, while a
    # copy of the start of that run may be carried out (TWICE).
    def test_run_that_is_not_done_counts_until_its_copies_have_expired(self):
        for outcome, crashes_after_s in itertools.product(
            ("failed", "stopped"), (0.5, 6.0)
        ):
            with self.subTest(outcome=outcome, crashes_after_s=crashes_after_s):
                fleet, worker_id, order, _ = self.start_task()
                former = fleet.workers.workers[worker_id]
                (run,) = former.running.values()
                fleet.workers.end(former, run, outcome)
                fleet.run_for(crashes_after_s)
                self.assertEqual(self.count_counted_starts(fleet, "end"), 1)
                fleet.workers.crash(worker_id)
                fleet.run_for(0.1)
                worker = self.add_incarnation(fleet, worker_id)
                self.carry_out(fleet, worker, order)
                fleet.records.write(f"servers/{worker_id}", server_record(worker.entry))
                fleet.run_for(LONGEST_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), 1)

    # Guards against copies that an incarnation accepts after it has answered a poll of
    # the former link, before its entry is written (G12).
    def test_next_incarnation_refuses_the_copy_once_it_has_answered(self):
        for cut in WORKER_CUTS:
            with self.subTest(cut=cut):
                fleet, worker_id, _, token = self.start_task()
                former = fleet.workers.workers[worker_id]
                self.assertGreater(former.fencing_token, token)
                WORKER_CUTS[cut](former)
                fleet.run_for(1.0)
                worker = self.add_incarnation(fleet, worker_id)
                fleet.run_for(1.2)
                self.assertGreater(worker.fencing_token, token)

    # Guards against a run that is dropped as soon as its worker is silent once more: it
    # was kept the first time, and a successor may have renewed its lease since (TWICE).
    def test_run_is_not_kept_once_its_worker_has_answered(self):
        fleet, worker_id, order, _ = self.start_task()
        evidence = self.find_evidence(fleet, worker_id)
        worker = fleet.workers.workers[worker_id]
        worker.is_reachable = False
        fleet.run_for(7.0)
        self.assertEqual(evidence.kept_runs({order.run}), {order.run})
        self.assertEqual(self.count_counted_starts(fleet, "leases"), 1)
        worker.is_reachable = True
        fleet.run_for(1.0)
        self.assertEqual(evidence.kept_runs({order.run}), set())

    def count_counted_starts(self, fleet, after):
        registry = fleet.nodes[fleet.leader()].metrics.registry
        name = "dogwoodlever_counted_starts_total"
        return registry.get_sample_value(name, {"after": after})

    def find_evidence(self, fleet, worker_id):
        workers = fleet.nodes[fleet.leader()].leader.workers
        return workers._links[worker_id].evidence


if __name__ == "__main__":
    unittest.main()
