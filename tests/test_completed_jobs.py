"""Jobs that callers were told are completed, although that is not stored yet."""

import unittest

from twisted.internet.defer import fail

from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_records import PROGRESS_PREFIX
from dogwoodlever.platform_errors import PlatformError, StoreRefusedError
from tests.fleet_simulation import CONFIGURATION, JOB, QUEUE, StandingWorkTest, job

# A start this long after the answer repeats a job that its caller takes for done.
ANSWER_MAX_AGE_S = 1.0
# Covers an election, the leases of unreachable workers and a run.
RECOVERY_S = 18.0
READ_WAIT_S = 0.05
# Time in which a version has to be in force.
VERSION_S = 2.0


class CompletedJobsTest(StandingWorkTest):
    def start_job(self, fleet):
        fleet.submit(0, job(JOB, tasks=1))
        self.assertEqual(len(fleet.workers.starts), 1)
        return fleet.workers.starts[0][1]

    def await_completed(self, fleet, reader):
        """Let a caller read the job until it is completed; return when it was told."""
        for _ in range(40):
            phase = fleet.read_phase(reader, JOB, wait_s=READ_WAIT_S)
            if phase == JobPhase.COMPLETED:
                return fleet.clock.seconds()
        return None

    def check_not_repeated(self, fleet, told_s):
        fleet.run_for(ANSWER_MAX_AGE_S)
        before = len(fleet.workers.starts)
        fleet.run_for(RECOVERY_S)
        self.assertEqual(len(fleet.workers.starts), before, f"told at {told_s}")

    # Guards against a job that runs again after its caller was told that it is
    # completed, because its leader and its worker were lost before that was stored.
    def test_leader_and_worker_lost_right_after_the_answer(self):
        for is_cut_off in (False, True):
            for lost_after_s in (0.0, 0.02, 0.05, 0.5, 1.5):
                with self.subTest(is_cut_off=is_cut_off, lost_after_s=lost_after_s):
                    self.check_loss(is_cut_off, lost_after_s)

    def check_loss(self, is_cut_off, lost_after_s):
        fleet = self.start_fleet(workers=2, run_s=1.0)
        leader = fleet.leader()
        worker_id = self.start_job(fleet)
        fleet.run_for(0.8)
        fleet.stores[leader].is_down = is_cut_off
        told_s = self.await_completed(fleet, (leader + 1) % 3)
        fleet.run_for(lost_after_s)
        fleet.kill(leader)
        fleet.workers.crash(worker_id)
        fleet.records.remove(f"servers/{worker_id}")
        if told_s is not None:
            self.check_not_repeated(fleet, told_s)

    # Guards against the same where a data centre is cut off with the leader, the worker
    # and the caller, and a successor on the other side starts its work anew.
    def test_data_centre_cut_off_with_leader_worker_and_caller(self):
        for cut_before_end_s in (0.1, 0.5, 0.8):
            with self.subTest(cut_before_end_s=cut_before_end_s):
                fleet = self.start_fleet(workers=2, run_s=1.0)
                leader = fleet.leader()
                worker_id = self.start_job(fleet)
                fleet.run_for(0.9 - cut_before_end_s)
                for number, client in enumerate(fleet.worker_clients):
                    others = set(fleet.workers.workers) - {worker_id}
                    client.unreachable = others if number == leader else {worker_id}
                fleet.stores[leader].is_down = True
                fleet.nodes[leader].mesh.is_down = True
                told_s = self.await_completed(fleet, leader)
                if told_s is not None:
                    self.check_not_repeated(fleet, told_s)

    # Guards against a job that is shown as running for ever, runs again or counts as
    # pending, and a late version, as the leader cannot store progress for minutes.
    def test_leader_that_cannot_store_progress_for_minutes(self):
        for is_lost in (False, True):
            with self.subTest(is_lost=is_lost):
                fleet = self.start_fleet(run_s=1.0)
                leader = fleet.leader()
                commit = self.reject_progress(fleet.stores[leader])
                fleet.submit(0, job(JOB, tasks=2))
                fleet.run_for(150.0)
                self.assertEqual(fleet.leader(), leader)
                self.assert_shown(fleet, range(3), JobPhase.RUNNING)
                fleet.configure(CONFIGURATION | {"version": 2})
                fleet.run_for(VERSION_S)
                for node in fleet.nodes:
                    self.assertEqual(node.desired_state.configuration.version, 2)
                if is_lost:
                    fleet.kill(leader)
                    fleet.run_for(RECOVERY_S)
                fleet.stores[leader].commit = commit
                fleet.run_for(2.0)
                alive = [number for number in range(3) if number != leader]
                self.assert_shown(fleet, alive, JobPhase.COMPLETED)
                self.assertEqual(len(fleet.workers.starts), 2)

    def reject_progress(self, store):
        """Let each write of progress fail; return the method that is replaced."""
        commit = store.commit

        def commit_others(expected, puts, deletes=()):
            if any(key.startswith(PROGRESS_PREFIX) for key in expected):
                return fail(PlatformError("status 400"))
            return commit(expected, puts, deletes)

        store.commit = commit_others
        return commit

    def assert_shown(self, fleet, daemons, phase):
        for number in daemons:
            frontend = fleet.nodes[number].frontend
            deadline_s = fleet.clock.seconds() + 3.0
            counted = fleet.await_result(frontend.count_pending(QUEUE, deadline_s))
            self.assertEqual(counted.pending, 0)
            self.assertEqual(fleet.read_phase(number, JOB), phase)

    # Guards against ends that callers learn of a tenth of a second late.
    def test_end_of_a_job_is_stored_soon(self):
        fleet = self.start_fleet(workers=2, run_s=1.0)
        leader = fleet.nodes[fleet.leader()].leader
        self.start_job(fleet)
        self.await_phase(fleet, leader.registry.jobs[JOB], JobPhase.COMPLETED)
        ended_s = fleet.clock.seconds()
        while leader.job_phase(JOB) != JobPhase.COMPLETED:
            fleet.clock.advance(0.001)
        self.assertLess(fleet.clock.seconds() - ended_s, 0.05)

    def await_phase(self, fleet, state, phase):
        until_s = fleet.clock.seconds() + 3.0
        while state.phase != phase:
            self.assertLess(fleet.clock.seconds(), until_s)
            fleet.clock.advance(0.001)
            fleet.workers.advance()

    # Guards against writes in quick succession to a store that refuses them.
    def test_ends_of_jobs_cause_few_writes_to_a_store_that_refuses(self):
        fleet = self.start_fleet(workers=4, run_s=1.0)
        number = fleet.leader()
        leader = fleet.nodes[number].leader
        for index in range(20):
            fleet.submit(0, job(f"{index:016x}", tasks=1), wait_s=0.05)
        fleet.stores[number].cut_off(StoreRefusedError)
        before = leader._progress_writer.write_count
        fleet.run_for(2.0)
        self.assertTrue(leader.registry.dirty)
        self.assertLessEqual(leader._progress_writer.write_count - before, 9)


if __name__ == "__main__":
    unittest.main()
