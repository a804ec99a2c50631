"""Waits are bounded: work that always loses to other work still starts."""

import unittest

from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_planner import STARTS_PER_OVERDUE
from dogwoodlever._fleet_types import Queue
from dogwoodlever._waiting_steps import OVERDUE_WAIT_S
from tests.fleet_simulation import FleetSimulation, job

LARGE = "f" * 16


class OverdueWorkTest(unittest.TestCase):
    def start_fleet(self, **sizes):
        fleet = FleetSimulation(**sizes)
        fleet.run_for(1.0)
        self.number = 0
        return fleet

    def submit_small(self, fleet, **fields):
        """Submit a job that is on time if it starts soon."""
        self.number += 1
        fleet.submit(0, job(f"{self.number:016x}", **fields), wait_s=0.0)

    def first_start_s(self, fleet, job_id, limit_s, load):
        """Return when a task of a job first starts, while `load` is called at 4 Hz."""
        began_s = fleet.clock.seconds()
        while fleet.clock.seconds() - began_s < limit_s:
            if any(run.task.job_id == job_id for run, _ in fleet.workers.starts):
                return fleet.clock.seconds() - began_s
            load()
            fleet.run_for(0.25)
        return None

    # Pattern: more small jobs arrive than there is room for, all of which go before a
    # job that is late. Guards against a job that waits as long as others arrive.
    def test_late_job_starts_while_small_ones_arrive(self):
        fleet = self.start_fleet(workers=1)
        for _ in range(2):
            self.submit_small(fleet, tasks=4)
        fleet.submit(0, job(LARGE, tasks=40), wait_s=0.0)

        def load():
            self.submit_small(fleet, tasks=3)

        # Eight tasks start a second, and twelve arrive.
        limit_s = OVERDUE_WAIT_S + STARTS_PER_OVERDUE / 8 + 2.0
        self.assertIsNotNone(self.first_start_s(fleet, LARGE, limit_s, load))
        starts = [run.task.job_id for run, _ in fleet.workers.starts]
        self.assertEqual(starts.count(LARGE), 1)

    # Pattern: best-effort work takes all spare cores for long. Guards against a
    # best-effort job of which nothing runs beside it.
    def test_best_effort_job_shares_the_cores_of_others(self):
        fleet = self.start_fleet(workers=2, run_s=60.0)
        leader = fleet.nodes[fleet.leader()].leader
        leader.workers.runs._stop_stalled = lambda *_: None
        fleet.submit(0, job("0" * 16, tasks=40, uses_leftover=True), wait_s=1.0)
        running = len(fleet.workers.starts)
        self.assertLess(running, 40)
        fleet.submit(0, job(LARGE, tasks=80, uses_leftover=True), wait_s=0.0)
        waited_s = self.first_start_s(fleet, LARGE, OVERDUE_WAIT_S + 2.0, lambda: None)
        self.assertGreaterEqual(waited_s, OVERDUE_WAIT_S)
        fleet.run_for(10.0)
        # One task at a time, and none beside the tasks of a job that runs.
        self.assertEqual(len(fleet.workers.starts), running + 1)

    # name, age of the job, whether the task was started by a former leader, whether it
    # goes first
    STANDING_TASKS = [
        ("interrupted under a former leader", 20.0, True, True),
        ("of a job that has just arrived", 1.0, True, False),
        ("interrupted under this leader", 20.0, False, False),
    ]

    # Pattern: a backlog of short work while leaders change. Guards against standing
    # tasks that each successor counts as interrupted from its own election on.
    def test_successor_counts_the_wait_of_interrupted_standing_tasks(self):
        for name, age_s, is_inherited, goes_first in self.STANDING_TASKS:
            with self.subTest(name):
                fleet = self.start_fleet(workers=1)
                leader = fleet.nodes[fleet.leader()].leader
                now_s = fleet.clock.seconds()
                state = leader.registry.add_job(
                    job(LARGE, tasks=1, standing=True), Queue("", "", "", ""), 1,
                    now_s - age_s,
                )  # fmt: skip
                state.is_inherited = True
                state.open_due(0.0)
                step = state.occurrences[0].steps[0]
                step.tasks[0].is_inherited = is_inherited
                found = leader._planner._find_interrupted([step], now_s)
                self.assertEqual(bool(found), goes_first)

    # Guards against a task that waits for a reason which no log or metric shows.
    def test_longest_wait_is_reported_with_its_reasons(self):
        fleet = self.start_fleet(workers=3, run_s=60.0)
        leader = fleet.nodes[fleet.leader()].leader
        leader.workers.runs._stop_stalled = lambda *_: None
        fleet.submit(0, job("0" * 16, tasks=24), wait_s=0.5)
        fleet.submit(0, job(LARGE, tasks=2, label="rare"), wait_s=4.0)
        found = leader._planner.explain_longest_wait(
            leader.registry,
            leader.workers.schedulable_capacities(),
            fleet.clock.seconds(),
            False,
        )
        self.assertEqual(found.step.job.job.job_id, LARGE)
        self.assertGreater(found.wait_s, 3.0)
        self.assertEqual(found.obstacles, {"no-room": 3})
        shown = fleet.nodes[fleet.leader()].metrics.longest_wait_s._value.get()
        self.assertGreater(shown, 2.0)
        self.assertEqual(fleet.read_phase(0, LARGE), JobPhase.QUEUED)


if __name__ == "__main__":
    unittest.main()
