"""Own records that another hand removes or replaces while a leader leads."""

import unittest

from dogwoodlever._fleet_frontend import CallOutcome
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_records import (
    HANDOVER_KEY,
    INTERFERENCE_KEY,
    LEADER_KEY,
    PENDING_JOBS_KEY,
    TERM_KEY,
    UNREACHABLE_WORKERS_KEY,
    WORKER_MEMBERSHIP_KEY,
    cancel_key,
    job_key,
    progress_key,
)
from tests.fleet_simulation import JOB, FleetSimulation, job
from tests.rejected_writes import reject_writes

RUN_S = 1.0
# Time in which the end of a run has to be acknowledged.
ACKNOWLEDGED_S = 4.0
SHARED_KEYS = (
    TERM_KEY, LEADER_KEY, WORKER_MEMBERSHIP_KEY, UNREACHABLE_WORKERS_KEY,
    INTERFERENCE_KEY, HANDOVER_KEY, PENDING_JOBS_KEY,
)  # fmt: skip
JOB_KEYS = tuple(key_of(JOB) for key_of in (job_key, cancel_key, progress_key))
UNREADABLE = b"\xc1"


def remove(fleet, key):
    fleet.records.remove(key)


def replace(fleet, key):
    fleet.records.write(key, UNREADABLE, fleet.records.lease_of(key))


class VanishedRecordsTest(unittest.TestCase):
    def start_fleet(self):
        """Start a fleet with a job at work, half of whose tasks have ended."""
        fleet = FleetSimulation(run_s=RUN_S)
        fleet.run_for(1.0)
        fleet.submit(0, job(JOB, tasks=4, steps=2))
        fleet.run_for(1.5 * RUN_S)
        self.assertTrue(any(w.running for w in fleet.workers.workers.values()))
        return fleet

    def assert_completed(self, fleet, job_id):
        """Check that a job is completed, and all ends were acknowledged meanwhile."""
        reader = next(n for n, c in enumerate(fleet.clocks) if c.is_alive)
        self.assertEqual(fleet.read_phase(reader, job_id), JobPhase.COMPLETED)
        for worker in fleet.workers.workers.values():
            self.assertEqual(worker.ended, [])

    def assert_cancels(self, fleet, number, job_id):
        fleet.submit(number, job(job_id, tasks=2, standing=True))
        fleet.run_for(0.5)
        deadline_s = fleet.clock.seconds() + 3.0
        call = fleet.nodes[number].frontend.cancel(job_id, deadline_s)
        result = fleet.await_result(call, ACKNOWLEDGED_S)
        self.assertEqual(result.outcome, CallOutcome.DONE)
        running = [
            run.task.job_id
            for worker in fleet.workers.workers.values()
            for run in worker.running
        ]
        self.assertNotIn(job_id, running)

    def check_works(self, change, key):
        fleet = self.start_fleet()
        change(fleet, key)
        fleet.run_for(RUN_S + ACKNOWLEDGED_S)
        self.assert_completed(fleet, JOB)
        self.assert_cancels(fleet, 1, "c" * 16)
        fleet.submit(2, job("d" * 16))
        fleet.run_for(RUN_S + ACKNOWLEDGED_S)
        self.assert_completed(fleet, "d" * 16)
        former = fleet.leader()
        fleet.kill(former)
        fleet.run_for(5.0)
        successor = fleet.leader()
        self.assertNotIn(successor, (None, former))
        fleet.submit(successor, job("e" * 16))
        fleet.run_for(RUN_S + ACKNOWLEDGED_S)
        self.assert_completed(fleet, "e" * 16)
        self.assert_cancels(fleet, successor, "f" * 16)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        return fleet

    # Guards against a record that is missing or cannot be read, and with it all writes
    # of a leader.
    def test_leader_and_its_successor_work_on(self):
        for change in (remove, replace):
            for key in (*SHARED_KEYS, *JOB_KEYS):
                if change is replace and key == cancel_key(JOB):
                    # Any cancellation cancels.
                    continue
                with self.subTest(change.__name__, key=key):
                    self.check_works(change, key)

    # Guards against a term whose number, and those of its runs, were used before,
    # and against a former leader that is not told to stop.
    def test_successor_of_a_leader_whose_term_is_lost_counts_on(self):
        for change in (remove, replace):
            with self.subTest(change.__name__):
                fleet = self.start_fleet()
                former = fleet.leader()
                term = fleet.nodes[former].leader.term
                # The leader is killed before it can write the record anew.
                fleet.kill(former)
                change(fleet, TERM_KEY)
                fleet.run_for(5.0)
                election = fleet.nodes[fleet.leader()].election
                self.assertGreater(fleet.nodes[fleet.leader()].leader.term, term)
                self.assertEqual(election.former_leader, fleet.nodes[former].member)
                fleet.run_for(RUN_S + 2 * ACKNOWLEDGED_S)
                self.assert_completed(fleet, JOB)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a restored record whose answer is lost, or which a successor meets.
    def test_term_is_restored_although_answers_are_lost(self):
        for lost in (1, 2, 5):
            with self.subTest(lost=lost):
                fleet = self.start_fleet()
                leader = fleet.leader()
                fleet.records.remove(TERM_KEY)
                fleet.stores[leader].answers_to_lose = lost
                fleet.run_for(RUN_S + lost + 3 * ACKNOWLEDGED_S)
                self.assert_completed(fleet, JOB)
                self.assertIsNotNone(fleet.records.read(TERM_KEY))
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against two runs of a task, the first on a worker that only the lost record
    # named.
    def test_successor_awaits_workers_that_are_named_no_more(self):
        for key in (WORKER_MEMBERSHIP_KEY, UNREACHABLE_WORKERS_KEY):
            for change in (remove, replace):
                with self.subTest(change.__name__, key=key):
                    fleet = FleetSimulation(run_s=0.0)
                    fleet.run_for(1.0)
                    fleet.submit(0, job(JOB, tasks=6, standing=True))
                    fleet.run_for(1.0)
                    worker = fleet.workers.workers["w0"]
                    moved = len(worker.running)
                    self.assertGreater(moved, 0)
                    worker.is_reachable = False
                    fleet.records.remove("servers/w0")
                    fleet.run_for(0.2)
                    change(fleet, key)
                    fleet.kill(fleet.leader())
                    fleet.run_for(20.0)
                    self.assertEqual(fleet.workers.duplicate_starts, [])
                    self.assertEqual(len(fleet.workers.starts), 6 + moved)

    # Guards against a second leader beside one of another build, whose record this one
    # cannot read.
    def test_unreadable_leader_deposes_the_former_one(self):
        fleet = self.start_fleet()
        lease_id = fleet.records.open_lease(60_000)
        fleet.records.write(LEADER_KEY, UNREADABLE, lease_id)
        fleet.run_for(1.0)
        self.assertFalse(any(node.election.leads for node in fleet.nodes))
        starts = len(fleet.workers.starts)
        fleet.run_for(5.0)
        self.assertEqual(len(fleet.workers.starts), starts)
        self.assertFalse(any(node.election.leads for node in fleet.nodes))
        fleet.records.end_lease(lease_id)
        fleet.run_for(2.0 + RUN_S + ACKNOWLEDGED_S)
        self.assert_completed(fleet, JOB)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against workers that are withheld without a sign.
    def test_workers_whose_record_is_not_stored_are_counted(self):
        fleet = FleetSimulation(workers=2)
        rejects = [True]
        for store in fleet.stores:
            reject_writes(store, lambda key: key == WORKER_MEMBERSHIP_KEY and rejects)
        fleet.run_for(2.0)
        withheld = fleet.nodes[fleet.leader()].metrics.withheld_workers
        self.assertEqual(withheld._value.get(), 2)
        rejects.clear()
        fleet.run_for(3.0)
        self.assertEqual(withheld._value.get(), 0)


if __name__ == "__main__":
    unittest.main()
