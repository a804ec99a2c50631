"""A ready task gets room within a bound, although smaller work takes each hole."""

import random
import unittest
from dataclasses import replace
from unittest.mock import patch

from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fleet_job import JobPhase, LostRun
from dogwoodlever._fleet_planner import INTERRUPTION_MAX_S, STARTS_PER_OVERDUE
from dogwoodlever._fleet_types import Step
from dogwoodlever._room_reservations import (
    CHANGES_MAX,
    RESERVED_WORKERS_RATIO,
    SEARCHES_PER_ROUND,
    expected_room_s,
)
from dogwoodlever._waiting_steps import OVERDUE_WAIT_S
from tests.fleet_simulation import worker_entry
from tests.test_fleet_planner import (
    NOW_S,
    Fixture,
    best_effort_step,
    serving_step,
    step,
)

# Rounds follow the ends of runs closely, so that few end between two rounds.
ROUND_S = 0.02
RUN_S = 2.7
WAITING_JOBS_MIN = 20
STANDING_CORES = 5.0


class BusyService(Fixture):
    """Workers that are full of short work, which arrives faster than it ends.

    Parameters
    ----------
    factors : tuple of float
        Shortest and longest run time of the short tasks relative to their estimates.
    """

    def __init__(self, workers=6, factors=(0.5, 1.0), short=None, **sizes):
        super().__init__(workers=workers, **sizes)
        self.now_s = NOW_S
        self.random = random.Random(7)
        self.factors = factors
        self.short = short or step(5, 1.0, RUN_S)
        self.ends_s = {}
        self.count = 0
        self.reports_progress = True
        # Ids of the jobs of which tasks were placed, with the worker and the time.
        self.placed = []

    def interrupt(self, job_id, spec, queue="urgent"):
        """Add a job whose tasks have run, on a worker that is gone."""
        state = self.add(job_id, [spec], queue, age_s=NOW_S - self.now_s)
        for task in state.occurrences[0].steps[0].tasks:
            self.registry.begin_run(task, "gone", self.now_s)
            self.registry.drop_run(task, 1)
        return state

    def add_short(self):
        """Add short jobs until enough of them wait."""
        waiting = sum(not step.spec.standing for step in self.registry.active_steps())
        for _ in range(WAITING_JOBS_MIN - waiting):
            self.count += 1
            self.add(f"short-{self.count}", [self.short], age_s=NOW_S - self.now_s)

    def end_runs(self):
        """End the runs whose time is over, and report the progress of the others."""
        for capacity in self.capacities:
            for run, spec in list(capacity.runs.values()):
                if spec.standing:
                    continue
                if run.run_id not in self.ends_s:
                    factor = self.random.uniform(*self.factors)
                    run_s = spec.run_estimate_ms / 1000 * factor
                    self.ends_s[run.run_id] = (self.now_s, self.now_s + run_s)
                began_s, end_s = self.ends_s[run.run_id]
                if self.reports_progress:
                    run.percent = int(100 * (self.now_s - began_s) / (end_s - began_s))
                    run.progressed_s = self.now_s
                if self.now_s >= end_s:
                    self.end(capacity, run)

    def end(self, capacity, run):
        capacity.remove(run.run_id)
        task = self.registry.find(run.run_id.task)
        task.is_done = True
        self.registry.drop_run(task, run.run_id.number)
        if not task.step.job.has_runs and not task.step.ready:
            self.registry.active.pop(task.task_id.job_id, None)

    def run_round(self):
        self.end_runs()
        self.add_short()
        for job_id, worker_id in self.plan(now_s=self.now_s):
            self.placed.append((job_id, worker_id, self.now_s))
        for capacity in self.capacities:
            for run, _ in capacity.runs.values():
                if len(self.registry.find(run.run_id.task).runs) != 1:
                    raise AssertionError(f"{run.run_id} is not the only run")
        self.now_s += ROUND_S

    def run_for(self, duration_s):
        for _ in range(round(duration_s / ROUND_S)):
            self.run_round()

    def start_s(self, job_id, limit_s, tasks=1):
        """Return when a job has started its tasks, at most `limit_s` from now."""
        began_s = self.now_s
        while True:
            starts_s = [at_s for found, _, at_s in self.placed if found == job_id]
            if len(starts_s) >= tasks:
                return starts_s[tasks - 1] - began_s
            if self.now_s - began_s >= limit_s:
                return None
            self.run_round()

    def placed_on(self, job_id):
        return [worker_id for found, worker_id, _ in self.placed if found == job_id]

    def reserved(self):
        """Return the ids of the reserved workers."""
        return [found.worker_id for found in self.planner._reservations]

    def capacity(self, worker_id):
        return next(c for c in self.capacities if c.entry.worker_id == worker_id)

    def remove(self, capacity):
        self.capacities.remove(capacity)

    def quarantine(self, capacity):
        for number in range(3):
            worker_id = capacity.entry.worker_id
            self.faults.record_failure(worker_id, f"f{number}", self.now_s, 6)


class StandingTaskTest(unittest.TestCase):
    # name, workers, factors of the run times
    SERVICES = [
        ("estimates are upper bounds", 6, (0.5, 1.0)),
        ("estimates are too short or too long", 6, (0.2, 2.0)),
        ("estimates are far too short", 6, (2.0, 4.0)),
        ("one worker", 1, (0.5, 1.0)),
    ]

    # Pattern: short work arrives all the time and takes each hole. Guards against an
    # interrupted standing task that fits nowhere and keeps no room.
    def test_interrupted_standing_task_finds_room_in_a_busy_service(self):
        for name, workers, factors in self.SERVICES:
            with self.subTest(name):
                service = BusyService(workers, factors)
                service.run_for(10.0)
                service.interrupt("watch", serving_step("s", cores=STANDING_CORES))
                limit_s = INTERRUPTION_MAX_S + RUN_S * max(factors) + 2 * ROUND_S
                self.assertIsNotNone(service.start_s("watch", limit_s))

    # name, step of the short work, step of the interrupted task
    SIZES = [
        (
            "memory",
            Step(5, 100, 4_000, 0, 2_700),
            Step(1, 100, 20_000, 0, 0, standing=True),
        ),
        (
            "memory beside best-effort work",
            Step(5, 100, 4_000, 0, 2_700, image="b", uses_leftover=True),
            Step(1, 100, 20_000, 0, 0, standing=True),
        ),
        (
            "accelerators",
            Step(5, 100, 100, 1, 2_700),
            Step(1, 100, 100, 4, 0, standing=True),
        ),
        (
            "a label",
            Step(5, 1_000, 100, 0, 2_700),
            Step(1, 5_000, 100, 0, 0, standing=True, label="rare"),
        ),
        (
            "one task on a worker",
            Step(5, 1_000, 100, 0, 2_700),
            Step(2, 5_000, 100, 0, 0, standing=True, worker_tasks_max=1),
        ),
    ]

    # Guards against a bound that holds for cores only.
    def test_interrupted_standing_task_finds_what_it_needs(self):
        for name, short, spec in self.SIZES:
            with self.subTest(name):
                entries = [
                    replace(
                        worker_entry(number, 16),
                        accelerators=16,
                        labels=("rare" if number == 2 else "a", "r1"),
                    )
                    for number in range(6)
                ]
                service = BusyService(entries=entries, short=short)
                service.run_for(10.0)
                service.interrupt("watch", spec)
                limit_s = INTERRUPTION_MAX_S + spec.tasks * RUN_S + 2 * ROUND_S
                self.assertIsNotNone(service.start_s("watch", limit_s, spec.tasks))

    # name, what happens to the reserved worker
    EVENTS = [
        ("is lost or drains", lambda service, capacity: service.remove(capacity)),
        (
            "shrinks",
            lambda service, capacity: capacity.update_entry(
                replace(capacity.entry, cores_milli=4_000)
            ),
        ),
        (
            "is quarantined",
            lambda service, capacity: service.quarantine(capacity),
        ),
    ]

    # Guards against room that is kept on a worker which cannot run the task any more.
    def test_another_worker_is_reserved_if_the_first_is_not_suited(self):
        for name, change in self.EVENTS:
            with self.subTest(name):
                service = BusyService()
                service.run_for(10.0)
                service.interrupt("watch", serving_step("s", cores=STANDING_CORES))
                service.run_for(INTERRUPTION_MAX_S + 0.1)
                (worker_id,) = service.reserved()
                change(service, service.capacity(worker_id))
                limit_s = RUN_S + 2 * ROUND_S
                self.assertIsNotNone(service.start_s("watch", limit_s))
                self.assertNotEqual(service.placed_on("watch"), [worker_id])

    # Guards against a task that moves from worker to worker as each estimate fails.
    def test_worker_is_changed_a_few_times_at_most(self):
        service = BusyService(factors=(6.0, 8.0))
        service.run_for(30.0)
        for capacity in service.capacities:
            for run, _ in capacity.runs.values():
                run.percent = -1
        service.reports_progress = False
        service.interrupt("watch", serving_step("s", cores=STANDING_CORES))
        workers = set()
        while service.start_s("watch", ROUND_S) is None:
            workers.update(service.reserved())
            self.assertLess(service.now_s - NOW_S, 30.0 + 8 * RUN_S + 10.0)
        self.assertLessEqual(len(workers), 1 + CHANGES_MAX)

    # Guards against a service that stands still for the sake of many interrupted tasks.
    def test_reserved_workers_are_few(self):
        service = BusyService(workers=20)
        service.run_for(10.0)
        tasks = 30
        spec = serving_step("s", cores=STANDING_CORES, tasks=tasks)
        service.interrupt("watch", spec)
        most = 0
        began_s = service.now_s
        while service.start_s("watch", ROUND_S, tasks) is None:
            most = max(most, len(service.reserved()))
            # Four workers give way, each to three tasks in the time of a run.
            self.assertLess(service.now_s - began_s, INTERRUPTION_MAX_S + 3 * RUN_S)
        self.assertEqual(most, 20 * RESERVED_WORKERS_RATIO)
        service.run_for(ROUND_S)
        self.assertEqual(service.reserved(), [])

    # Guards against a task that starts on its reserved worker and on another one in the
    # same round.
    def test_task_starts_once_if_several_workers_have_room(self):
        service = BusyService()
        service.run_for(10.0)
        service.interrupt("watch", serving_step("s", cores=STANDING_CORES, tasks=2))
        service.run_for(INTERRUPTION_MAX_S + 0.1)
        self.assertNotEqual(service.reserved(), [])
        for capacity in service.capacities:
            for run, _ in list(capacity.runs.values()):
                service.end(capacity, run)
        service.run_round()
        self.assertEqual(len(service.placed_on("watch")), 2)

    # Guards against tasks that no worker can run and that keep others from the search.
    def test_tasks_that_fit_no_worker_do_not_keep_others_waiting(self):
        service = BusyService()
        service.run_for(10.0)
        for number in range(40):
            service.interrupt(f"giant-{number}", serving_step("s", cores=17.0))
        service.run_for(0.1)
        service.interrupt("watch", serving_step("s", cores=STANDING_CORES))
        # Each round searches for a few of them, and for each once a second at most.
        limit_s = INTERRUPTION_MAX_S + RUN_S + 41 * ROUND_S
        self.assertIsNotNone(service.start_s("watch", limit_s))

    # name, change after which the task does not need the room
    WITHDRAWALS = [
        (
            "its job is cancelled",
            lambda service, state: service.registry.end_job(state, JobPhase.CANCELLED),
        ),
        (
            "it is held as a suspect",
            lambda service, state: (
                state.occurrences[0]
                .steps[0]
                .tasks[0]
                .lost_runs.update({1: LostRun(1, "a"), 2: LostRun(1, "b")})
            ),
        ),
    ]

    # Guards against workers that stay reserved for tasks that cannot start.
    def test_room_is_released_with_its_task(self):
        for name, withdraw in self.WITHDRAWALS:
            with self.subTest(name):
                service = BusyService(crashes=CrashAttribution(lambda job_id: False))
                service.run_for(10.0)
                spec = serving_step("s", cores=STANDING_CORES)
                state = service.interrupt("watch", spec)
                service.run_for(INTERRUPTION_MAX_S + 0.1)
                self.assertEqual(len(service.reserved()), 1)
                withdraw(service, state)
                service.run_for(ROUND_S)
                self.assertEqual(service.reserved(), [])

    # Guards against rounds that read all runs for each waiting task.
    def test_searches_of_a_round_are_bounded(self):
        service = BusyService(workers=20)
        service.run_for(10.0)
        for number in range(30):
            # The larger ones fit no worker at all.
            cores = STANDING_CORES + 20 * (number % 2)
            service.interrupt(f"watch-{number}", serving_step("s", cores=cores))
        calls = 0

        def counted(*args):
            nonlocal calls
            calls += 1
            return expected_room_s(*args)

        module = "dogwoodlever._room_reservations.expected_room_s"
        with patch(module, counted):
            for _ in range(200):
                before = calls
                service.run_round()
                self.assertLessEqual(calls - before, SEARCHES_PER_ROUND * 20)
        self.assertGreater(calls, 0)


class OverdueTaskTest(unittest.TestCase):
    # name, step that fits nowhere
    STEPS = [
        ("large task", step(1, 12.0, RUN_S)),
        ("task that needs memory", Step(1, 1_000, 63_000, 0, 2_700)),
        ("standing job that has never run", serving_step("s", cores=12.0)),
    ]

    # Pattern: as above, with a job of which nothing runs. Guards against overdue work
    # that goes first but fits nowhere.
    def test_overdue_task_finds_room_in_a_busy_service(self):
        for name, spec in self.STEPS:
            with self.subTest(name):
                service = BusyService()
                service.run_for(10.0)
                service.add("large", [spec], age_s=NOW_S - service.now_s)
                # Some 40 tasks start a second.
                limit_s = OVERDUE_WAIT_S + STARTS_PER_OVERDUE / 40 + RUN_S + 1.0
                self.assertIsNotNone(service.start_s("large", limit_s))

    # Guards against a gang of which nothing runs and that never fits as a whole.
    def test_overdue_gang_finds_room_in_a_busy_service(self):
        service = BusyService()
        service.run_for(10.0)
        gang = step(12, 1.0, RUN_S, gang=True)
        service.add("gang", [gang], age_s=NOW_S - service.now_s)
        limit_s = OVERDUE_WAIT_S + STARTS_PER_OVERDUE / 40 + RUN_S + 1.0
        self.assertIsNotNone(service.start_s("gang", limit_s))

    # Guards against a service of which most serves overdue work.
    def test_one_worker_is_reserved_for_overdue_work(self):
        service = BusyService(workers=20)
        service.run_for(10.0)
        for number in range(10):
            service.add(f"large-{number}", [step(1, 12.0, RUN_S)], "batch")
        most = 0
        for _ in range(round(25.0 / ROUND_S)):
            service.run_round()
            most = max(most, len(service.reserved()))
        self.assertEqual(most, 1)
        starts = {job_id for job_id, *_ in service.placed if "large" in job_id}
        self.assertGreaterEqual(len(starts), 4)


class ProbationTest(unittest.TestCase):
    # name, older run on the worker
    OLDER_RUNS = [
        ("standing task", serving_step("s")),
        ("long task", step(run_s=600.0)),
        ("best-effort task", best_effort_step("b")),
    ]

    # Pattern: a worker is quarantined while tasks run there that do not end. Guards
    # against a probation that never ends as no task may start to end it.
    def test_worker_with_older_runs_is_probed(self):
        for name, spec in self.OLDER_RUNS:
            with self.subTest(name):
                fixture = Fixture(workers=1)
                fixture.run_on(fixture.capacities[0], spec)
                now_s = NOW_S + 1.0
                for number in range(3):
                    fixture.faults.record_failure("w0", f"f{number}", now_s, 1)
                fixture.add("watch", [serving_step("s", tasks=2)])
                self.assertEqual(fixture.plan(now_s=now_s), [])
                now_s = fixture.faults.worker("w0").quarantined_until_s
                self.assertEqual(fixture.plan(now_s=now_s), [("watch", "w0")])
                # One task at a time.
                self.assertEqual(fixture.plan(now_s=now_s), [])


if __name__ == "__main__":
    unittest.main()
