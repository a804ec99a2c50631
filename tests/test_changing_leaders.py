"""Waits and learned state outlast leaders that change every few seconds."""

import unittest
from dataclasses import replace
from unittest.mock import patch

import msgspec

import standins.fleet
from dogwoodlever._fault_attribution import FAILURES_TO_QUARANTINE
from dogwoodlever._fleet_leader import INTERFERENCE_STORE_INTERVAL_S, QUARANTINE_S
from dogwoodlever._fleet_planner import STARTS_PER_OVERDUE
from dogwoodlever._fleet_records import (
    HANDOVER_KEY,
    INTERFERENCE_KEY,
    WORKER_MEMBERSHIP_KEY,
    HandoverRecord,
    decode_interference,
    encode,
)
from dogwoodlever._fleet_types import Queue, RunningRun, TaskId
from dogwoodlever._run_throttler import STALL_S
from dogwoodlever._waiting_steps import OVERDUE_WAIT_S
from dogwoodlever._worker_link import POLL_WAIT_MS
from standins.fleet import server_record
from tests import test_crash_attribution, test_ticket_cache
from tests.fleet_simulation import JOB, STEP_S, FleetSimulation, job

# Time within which a draining worker has to be noticed.
DRAIN_S = 2.0
# Time after a disturbance by which all capacity has to be in use.
IN_USE_S = 7.0
# How long each leader leads.
TERMS_S = (1.0, 2.0, 4.0)
OTHER_JOB = "b" * 16


def change_leader(fleet):
    """Stop the leader as planned, and start another daemon."""
    number = fleet.leader()
    if number is not None:
        fleet.nodes[number].stop()
        fleet.add_daemon(f"vm{len(fleet.nodes)}")


def run_with_changes(fleet, duration_s, term_s, run_for=None):
    """Run while each leader leads for `term_s`.

    `run_for` is called with the fleet and a duration in place of the fleet's own.
    """
    run_for = run_for or FleetSimulation.run_for
    end_s = fleet.clock.seconds() + duration_s
    while fleet.clock.seconds() < end_s:
        run_for(fleet, min(term_s, end_s - fleet.clock.seconds()))
        change_leader(fleet)


class ProgressTest(unittest.TestCase):
    # name, fields of the job, whether the write of other progress is under way
    ENDS = [
        ("job has ended", {"tasks": 1}, False),
        ("further step", {"tasks": 1, "steps": 2}, False),
        ("during a write", {"tasks": 1, "steps": 2}, True),
    ]

    # Guards against an end that a leader read just before it stopped, and that is lost
    # with its worker, so that the task runs again.
    def test_end_is_stored_by_a_leader_that_stops(self):
        for name, fields, is_writing in self.ENDS:
            with self.subTest(name):
                fleet = FleetSimulation(workers=2)
                fleet.run_for(1.0)
                fleet.submit(0, job(JOB, **fields), wait_s=0.5)
                worker_id = fleet.workers.starts[0][1]
                leader = fleet.nodes[fleet.leader()].leader
                while not leader.registry.dirty:
                    fleet.run_for(0.01)
                if is_writing:
                    dirty = set(leader.registry.dirty)
                    leader.registry.dirty.clear()
                    leader.registry.dirty.add(OTHER_JOB)
                    leader.registry.add_job(
                        job(OTHER_JOB), Queue("", "", "", ""), 1, 0.0
                    )
                    leader._progress_writer.flush()
                    leader.registry.dirty |= dirty
                change_leader(fleet)
                fleet.workers.crash(worker_id)
                fleet.run_for(12.0)
                first = TaskId(JOB, 0, 0, 0)
                starts = [run.task for run, _ in fleet.workers.starts]
                self.assertEqual(starts.count(first), 1)
                self.assertEqual(fleet.read_phase(fleet.leader(), JOB), "completed")


class DrainingWorkerTest(unittest.TestCase):
    # name, term of the leaders, whether the entry changes just before a new leader
    CHANGES = [
        ("before the first leader", 100.0, False),
        ("while a leader is elected, 1 s", 1.0, True),
        ("while a leader is elected, 2 s", 2.0, True),
        ("while a leader is elected, 4 s", 4.0, True),
    ]

    # Guards against standing tasks that stay on a leaving worker until it is gone,
    # since its runs were not known yet when its leader read that it drains.
    def test_standing_tasks_are_evicted(self):
        for name, term_s, is_changed in self.CHANGES:
            with self.subTest(name):
                fleet = FleetSimulation(workers=4, run_s=0.0)
                fleet.run_for(1.0)
                fields = {"standing": True, "worker_tasks_max": 2}
                fleet.submit(0, job(JOB, tasks=4, **fields), wait_s=1.0)
                worker = fleet.workers.workers[fleet.workers.starts[0][1]]
                if is_changed:
                    change_leader(fleet)
                entry = replace(worker.entry, is_draining=True)
                record = server_record(entry, "draining")
                fleet.records.write(f"servers/{entry.worker_id}", record)
                run_with_changes(fleet, DRAIN_S, term_s)
                self.assertFalse(worker.running)
                self.assertEqual(len(fleet.workers.starts), 6)
                self.assertEqual(fleet.workers.duplicate_starts, [])


class InterferenceTest(unittest.TestCase):
    # Guards against a model that no leader stores, so that each one learns anew which
    # work harms standing tasks.
    def test_model_outlasts_leaders(self):
        for term_s in TERMS_S:
            with self.subTest(term_s=term_s):
                fleet = FleetSimulation(workers=1, run_s=0.0)
                fleet.run_for(1.0)
                fields = {"standing": True, "latency_target_ms": 100, "image": "a"}
                with patch.object(
                    standins.fleet,
                    "RunningRun",
                    lambda run, checkpoint, percent, _load: RunningRun(
                        run, checkpoint, percent, 50
                    ),
                ):
                    fleet.submit(0, job(JOB, tasks=1, **fields), wait_s=0.0)
                    stored_s = INTERFERENCE_STORE_INTERVAL_S + term_s
                    run_with_changes(fleet, stored_s, term_s)
                record = fleet.records.read(INTERFERENCE_KEY)
                self.assertIsNotNone(record)
                self.assertIn("a", decode_interference(record.value).models)


class StalledRunsTest(unittest.TestCase):
    # name, fields of the job
    JOBS = [("usual", {}), ("best effort", {"uses_leftover": True})]

    def count_restarts(self, fleet, wait_s, term_s, **fields):
        """Return how many hanging tasks of a job were started again after a time."""
        fleet.submit(0, job(JOB, tasks=2, **fields), wait_s=0.5)
        starts = len(fleet.workers.starts)
        change_leader(fleet)
        run_with_changes(fleet, wait_s, term_s)
        return len(fleet.workers.starts) - starts

    # Guards against a task that hangs for good, since its run was adopted.
    def test_adopted_run_that_hangs_is_started_again(self):
        for name, fields in self.JOBS:
            with self.subTest(name):
                fleet = FleetSimulation(run_s=60.0)
                fleet.run_for(1.0)
                wait_s = STALL_S + POLL_WAIT_MS / 1000 + 1.0
                restarts = self.count_restarts(fleet, wait_s, 100.0, **fields)
                self.assertGreaterEqual(restarts, 2)

    # Guards against a task that hangs as long as leaders change, since each of them
    # counts its stall anew.
    def test_stall_is_counted_across_leaders(self):
        for term_s in TERMS_S:
            with self.subTest(term_s=term_s):
                fleet = FleetSimulation(run_s=60.0)
                fleet.run_for(1.0)
                restarts = self.count_restarts(fleet, IN_USE_S, term_s)
                self.assertGreaterEqual(restarts, 2)


class QuarantineTest(unittest.TestCase):
    LOAD_S = 40.0
    CORES = 8

    # Guards against a faulty worker to which each leader sends work anew.
    def test_faulty_worker_gets_one_run_at_a_time(self):
        for term_s in TERMS_S:
            with self.subTest(term_s=term_s):
                fleet = FleetSimulation(workers=4, run_s=0.6)
                fleet.run_for(1.0)
                faulty = fleet.workers.workers["w0"]
                faulty.fails, faulty.run_s = True, 0.2
                number, changed_s = 0, fleet.clock.seconds()
                while number < self.LOAD_S / 0.25:
                    number += 1
                    fleet.nodes[-1].frontend.submit(
                        job(f"{number:016x}", tasks=3), fleet.clock.seconds() + 3.0
                    )
                    fleet.run_for(0.25)
                    if fleet.clock.seconds() >= changed_s + term_s - STEP_S:
                        change_leader(fleet)
                        changed_s = fleet.clock.seconds()
                starts = sum(worker_id == "w0" for _, worker_id in fleet.workers.starts)
                probes = self.LOAD_S / QUARANTINE_S
                self.assertLessEqual(
                    starts, FAILURES_TO_QUARANTINE + self.CORES + probes
                )
                fleet.run_for(5.0)
                leader = fleet.nodes[fleet.leader()].leader
                phases = {leader.job_phase(name) for name in leader.registry.jobs}
                self.assertEqual(phases, {"completed"})

    # name, record, whether it is used
    RECORDS = [
        ("of the former leader", encode(HandoverRecord(1, {"w0": (4000, 1)})), True),
        ("of an earlier leader", encode(HandoverRecord(0, {"w0": (4000, 1)})), False),
        ("unreadable", b"\xc1", False),
    ]

    # Guards against a record that keeps a leader from loading, and against a quarantine
    # that begins anew with each leader that was killed.
    def test_only_the_record_of_the_former_leader_is_used(self):
        for name, record, is_used in self.RECORDS:
            with self.subTest(name):
                fleet = FleetSimulation()
                fleet.run_for(1.0)
                fleet.kill(fleet.leader())
                fleet.records.write(HANDOVER_KEY, record)
                fleet.run_for(3.0)
                leader = fleet.nodes[fleet.leader()].leader
                limit = leader._planner._faults.task_limit("w0", fleet.clock.seconds())
                self.assertEqual(limit is not None, is_used)


class UnknownWorkersTest(unittest.TestCase):
    # name, whether the worker that is not reached keeps its entry
    WORKERS = [("without an entry", False), ("with its entry", True)]

    # Guards against tasks that run twice, since the membership is written without the
    # workers that the leader which could not read it still waits for.
    def test_successor_waits_for_workers_of_an_unreadable_membership(self):
        for term_s in TERMS_S:
            for name, is_listed in self.WORKERS:
                with self.subTest(name, term_s=term_s):
                    fleet = FleetSimulation(daemons=5, workers=4, run_s=0.0)
                    fleet.run_for(1.0)
                    fields = {"standing": True, "worker_tasks_max": 2}
                    fleet.submit(0, job(JOB, tasks=4, **fields), wait_s=1.0)
                    worker_id = fleet.workers.starts[0][1]
                    fleet.records.write(WORKER_MEMBERSHIP_KEY, b"\xc1")
                    fleet.workers.workers[worker_id].is_reachable = False
                    if not is_listed:
                        fleet.records.remove(f"servers/{worker_id}")
                    change_leader(fleet)
                    run_with_changes(fleet, 8.0, term_s)
                    self.assertEqual(fleet.workers.duplicate_starts, [])


class OverdueTest(unittest.TestCase):
    # Guards against a late job that waits as long as leaders change, since each of them
    # counts the starts before an overdue one anew.
    def test_late_job_starts(self):
        for term_s in TERMS_S:
            with self.subTest(term_s=term_s):
                fleet = FleetSimulation(workers=1)
                fleet.run_for(1.0)

                def submit(job_id, tasks, fleet=fleet):
                    now_s = fleet.clock.seconds()
                    submitted = msgspec.structs.replace(
                        job(job_id, tasks=tasks), submitted_ms=int(now_s * 1000)
                    )
                    fleet.nodes[-1].frontend.submit(submitted, now_s + 3.0)

                # Eight tasks start a second, and twelve arrive.
                submit(f"{0:016x}", 8)
                submit(OTHER_JOB, 40)
                number, changed_s = 0, fleet.clock.seconds()
                limit_s = changed_s + OVERDUE_WAIT_S + STARTS_PER_OVERDUE / 8 + 2.0
                while fleet.clock.seconds() < limit_s:
                    number += 1
                    submit(f"{number:016x}", 3)
                    fleet.run_for(0.25)
                    if fleet.clock.seconds() >= changed_s + term_s - STEP_S:
                        change_leader(fleet)
                        changed_s = fleet.clock.seconds()
                started = {run.task.job_id for run, _ in fleet.workers.starts}
                self.assertIn(OTHER_JOB, started)


class TicketsTest(unittest.TestCase):
    # Term, time in which the service decides, and for each worker.
    CALLS = [(1.0, 60, 2), (2.0, 900, 20), (4.0, 900, 20)]
    # Calls that take longer than a leader leads.
    LONG_CALLS = [(1.0, 900, 20)]

    # Guards against steps that never start, since each leader asks for tickets anew.
    def test_steps_with_advice_start(self):
        self.check_starts(self.CALLS)

    # Guards against tickets that no leader lasts to receive.
    def test_steps_with_long_calls_start(self):
        self.check_starts(self.LONG_CALLS)

    def check_starts(self, calls):
        for term_s, decision_ms, worker_ms in calls:
            with self.subTest(term_s=term_s, decision_ms=decision_ms):
                case = test_ticket_cache.TicketCacheTest()
                fleet, advice = case.start_fleet(decision_ms, worker_ms, 2500)

                def run_for(fleet, duration_s, advice=advice):
                    fleet.nodes[-1]._advice = advice
                    fleet.run_for(duration_s)

                fleet.submit(0, job(JOB, tasks=4), wait_s=0.0)
                call_s = (decision_ms + 30 * worker_ms) / 1000
                # A call that a change of leader has cut off, the next one, and the run.
                run_with_changes(fleet, 2 * call_s + 2 * term_s, term_s, run_for)
                fleet.run_for(0.5)
                self.assertEqual(fleet.read_phase(fleet.leader(), JOB), "completed")


class CrashesTest(unittest.TestCase):
    # Time from the start of a task to the crash of its worker.
    CRASH_DELAYS_S = (0.3, 2.0)

    # Guards against a task that crashes a worker in each term, since no leader lasts
    # until its decision on the stored crashes is due.
    def test_crashing_task_is_given_up(self):
        for term_s in TERMS_S:
            for crash_delay_s in self.CRASH_DELAYS_S:
                with self.subTest(term_s=term_s, crash_delay_s=crash_delay_s):
                    case = test_crash_attribution.CrashingTasksTest()
                    fleet = case.start_fleet(run_s=4.0)
                    fleet.workers.crash_delay_s = crash_delay_s
                    case.submit_crashing(fleet)
                    run_with_changes(fleet, 40.0, term_s, case.run_fleet)
                    case.run_fleet(fleet, 1.0)
                    self.assertLessEqual(
                        case.starts(fleet), test_crash_attribution.STARTS_MAX
                    )
                    self.assertEqual(case.phase(fleet), "failed")

    # Guards against runs of long standing that each successor takes for young ones, so
    # that the ends of their workers count as crashes by their task.
    def test_age_of_a_run_outlasts_its_leaders(self):
        for term_s in TERMS_S:
            with self.subTest(term_s=term_s):
                case = test_crash_attribution.CrashingTasksTest()
                fleet = case.start_fleet(run_s=0.0)
                fleet.submit(0, job(JOB, tasks=1, standing=True))
                for _ in range(3):
                    run_with_changes(fleet, 12.0, term_s, case.run_fleet)
                    case.run_fleet(fleet, 0.5)
                    tasks = (
                        fleet.nodes[fleet.leader()].leader.registry.jobs[JOB].tasks()
                    )
                    task = next(iter(tasks))
                    self.assertEqual((task.crashes, task.late_crashes), ({}, set()))
                    (run,) = task.runs.values()
                    fleet.workers.crash(run.worker_id)


if __name__ == "__main__":
    unittest.main()
