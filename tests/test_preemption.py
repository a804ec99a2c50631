import unittest
from dataclasses import replace
from unittest.mock import patch

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodlever._fleet_job import JobPhase, RunPhase
from dogwoodlever._fleet_planner import INTERRUPTION_MAX_S
from dogwoodlever._fleet_types import EndedRun, Step, SubmittedJob
from dogwoodlever._preemption import (
    BLOCKED_MIN_S,
    DECISION_INTERVAL_S,
    HOLD_MARGIN_S,
    JOB_PREEMPTIONS_MAX,
    RERUN_MIN_S,
    STOPPING_SHARE,
)
from dogwoodlever._run_registry import RunRegistry
from standins.fleet import FakeWorker
from tests.fleet_simulation import CONFIGURATION, FleetSimulation, worker_entry
from tests.test_fleet_planner import NOW_S, Fixture, step

STOP_S = 0.4
# Between rounds: longer than both intervals of the planner.
ROUND_S = BLOCKED_MIN_S + DECISION_INTERVAL_S


def batch_step(tasks=1, cores=7.0, run_s=10.0, checkpoints=True, **fields):
    return step(tasks, cores, run_s, checkpoints=checkpoints, **fields)


class PreemptionFixture(Fixture):
    """A planner whose rounds also stop runs."""

    def __init__(self, workers=1, cores=8, entries=None):
        super().__init__(workers, cores, entries)
        self.now_s = NOW_S

    def run_batch(self, worker, spec, queue="batch", percent=-1, age_s=0.0, job=None):
        """Run the first ready task of a job, a new one by default, on a worker."""
        state = job or self.add(f"batch-{len(self.registry.jobs)}", [spec], queue)
        state.arrived_s = self.now_s - age_s
        capacity = self.capacities[worker]
        task = next(iter(state.occurrences[0].steps[0].ready.values()))
        run = self.registry.begin_run(task, capacity.entry.worker_id, self.now_s)
        run.phase = RunPhase.RUNNING
        run.percent = percent
        capacity.add(run, spec)
        return run

    def round(self, after_s=ROUND_S):
        """Plan after a time; return the jobs placed and the runs stopped."""
        self.now_s += after_s
        placed = self.plan(now_s=self.now_s)
        stopped = [
            preemption.run
            for preemption in self.planner.preemptions(
                self.registry, self.now_s, self.now_s * 1000
            )
        ]
        for run in stopped:
            assert run.phase is RunPhase.RUNNING
            run.phase = RunPhase.STOPPING
        return [job for job, _ in placed], stopped

    def rounds(self, count=3):
        """Return the runs stopped in some rounds."""
        return [run for _ in range(count) for run in self.round()[1]]

    def end(self, run, outcome="stopped"):
        for capacity in self.capacities:
            capacity.remove(run.run_id)
        self.registry.end_run(EndedRun(1, run.run_id, outcome, "saved"))


class PreemptionTest(unittest.TestCase):
    BATCH = batch_step()
    URGENT = step(cores=7.3)
    VICTIMS = [
        # name, step of the run, its queue, percent, its job's age in s, is stopped
        ("long batch run", BATCH, "batch", 10, 0.0, True),
        ("no report yet", BATCH, "batch", -1, 0.0, True),
        ("nearly done", BATCH, "batch", 93, 0.0, False),
        ("short", batch_step(run_s=0.7), "batch", 0, 0.0, False),
        ("no checkpoints", batch_step(checkpoints=False), "batch", 10, 0.0, False),
        ("equal priority", BATCH, "urgent", 10, 0.0, False),
        ("standing", batch_step(standing=True), "batch", 100, 0.0, False),
        ("one of a gang", batch_step(gang=True), "batch", 10, 0.0, False),
        # Best-effort runs reserve no cores, so a stop frees only memory.
        ("best-effort", batch_step(uses_leftover=True), "batch", 10, 0.0, False),
        # The job has an objective of 21 s; 9 s of its path are left.
        ("enough slack", BATCH, "batch", 10, 10.0, True),
        ("would become late", BATCH, "batch", 10, 11.0, False),
        ("late already", BATCH, "batch", 10, 15.0, True),
        ("without value", BATCH, "batch", 10, 90.0, True),
    ]

    # Guards against urgent work that waits behind long work, and against stops that
    # cost more than they gain.
    def test_which_runs_are_stopped(self):
        for name, spec, queue, percent, age_s, is_stopped in self.VICTIMS:
            with self.subTest(name):
                fixture = PreemptionFixture()
                if spec.uses_leftover:
                    fixture.run_batch(0, batch_step(checkpoints=False))
                run = fixture.run_batch(0, spec, queue, percent, age_s)
                fixture.add("quote", [self.URGENT])
                self.assertEqual(fixture.rounds(), [run] if is_stopped else [])

    URGENT_STEPS = [
        # name, step, queue, age in s, wait before the first round, stops
        ("urgent", URGENT, "urgent", 0.0, ROUND_S, 1),
        ("fits beside the run", step(cores=1.0), "urgent", 0.0, ROUND_S, 0),
        # Its objective is 1.75 s for 1 s of work; a stop takes up to 0.4 s.
        ("would be late after the stop", URGENT, "urgent", 0.5, ROUND_S, 0),
        ("is late", URGENT, "urgent", 3.0, ROUND_S, 0),
        ("batch", URGENT, "batch", 0.0, ROUND_S, 0),
        ("standing", step(cores=7.3, standing=True), "urgent", 0.0, ROUND_S, 0),
        (
            "best-effort",
            step(cores=7.3, uses_leftover=True, image="i"),
            "urgent",
            0.0,
            ROUND_S,
            0,
        ),
        ("fits no worker at all", step(cores=9.0), "urgent", 0.0, ROUND_S, 0),
    ]

    def test_for_which_steps_runs_are_stopped(self):
        for name, spec, queue, age_s, wait_s, stops in self.URGENT_STEPS:
            with self.subTest(name):
                fixture = PreemptionFixture()
                fixture.run_batch(0, batch_step())
                fixture.add("quote", [spec], queue, age_s)
                stopped = [*fixture.round(wait_s)[1], *fixture.rounds()]
                self.assertEqual(len(stopped), stops)

    def test_step_must_be_blocked_for_longer_than_a_round(self):
        # A run may end in the next milliseconds, and planning rounds are frequent.
        fixture = PreemptionFixture()
        fixture.run_batch(0, batch_step())
        fixture.add("quote", [self.URGENT])
        for after_s, stops in ((0.0, 0), (0.02, 0), (0.02, 0), (0.02, 1)):
            self.assertEqual(len(fixture.round(after_s)[1]), stops)

    def test_natural_ends_are_waited_for(self):
        # name, seconds that the shorter of two runs has left, stops
        table = (
            ("within the stop timeout", 0.3, 0),
            # Slack of 0.75 s, of which a stop would take 0.4 s.
            ("after the stop timeout", 0.8, 1),
        )
        for name, left_s, stops in table:
            with self.subTest(name):
                fixture = PreemptionFixture(workers=2)
                fixture.run_batch(0, batch_step(run_s=left_s + ROUND_S))
                fixture.run_batch(1, batch_step())
                fixture.add("quote", [self.URGENT])
                self.assertEqual(len(fixture.rounds(2)), stops)

    def test_each_natural_end_counts_for_one_task(self):
        # Two urgent tasks must not both wait for the room of the same run.
        fixture = PreemptionFixture(workers=8)
        fixture.run_batch(0, batch_step(run_s=0.35))
        for worker in range(1, 8):
            fixture.run_batch(worker, batch_step())
        fixture.add("quote", [step(2, cores=7.3)])
        self.assertEqual(len(fixture.rounds(2)), 1)

    def test_choice_among_runs(self):
        # name, runs as (worker, cores, job's age in s, started before s), run stopped
        table = (
            ("the fewest cores", [(0, 7, 0, 0), (1, 6, 0, 0)], 1),
            ("a job without value", [(0, 4, 0, 0), (0, 4, 90, 0)], 1),
            ("slack before a late job", [(0, 4, 14, 0), (0, 4, 0, 0)], 1),
            ("more slack", [(0, 4, 6, 0), (0, 4, 0, 0)], 1),
            ("the youngest", [(0, 4, 0, 3), (0, 4, 0, 1)], 1),
            ("no larger than needed", [(0, 5, 0, 0), (0, 3, 0, 0)], 1),
        )
        for name, runs, expected in table:
            with self.subTest(name):
                fixture = PreemptionFixture(workers=2)
                for worker in {0, 1} - {worker for worker, *_ in runs}:
                    fixture.run_batch(worker, batch_step(cores=8, checkpoints=False))
                found = []
                for worker, cores, age_s, before_s in runs:
                    run = fixture.run_batch(worker, batch_step(cores=cores))
                    task = fixture.registry.find(run.run_id.task)
                    task.step.job.arrived_s -= age_s
                    run.started_s -= before_s
                    run.progressed_s = NOW_S
                    found.append(run)
                fixture.add("quote", [step(cores=3.0)])
                self.assertEqual(fixture.rounds(), [found[expected]])

    def test_several_small_runs_make_room_for_one_task(self):
        fixture = PreemptionFixture(workers=24, cores=8)
        for worker in range(24):
            for _ in range(4):
                fixture.run_batch(worker, batch_step(cores=2.0))
        fixture.add("quote", [step(cores=6.0)])
        stopped = fixture.rounds()
        self.assertEqual(len(stopped), 3)
        self.assertEqual(len({run.worker_id for run in stopped}), 1)

    def test_several_tasks_on_one_worker(self):
        fixture = PreemptionFixture(workers=16, cores=16)
        for worker in range(16):
            for _ in range(2):
                fixture.run_batch(worker, batch_step(checkpoints=worker == 3))
        fixture.add("quote", [step(2, cores=8.0)])
        stopped = fixture.rounds(2)
        self.assertEqual([run.worker_id for run in stopped], ["w3", "w3"])

    WORKERS = [
        # name, change of the fixture, stops
        ("usable", lambda fixture: None, 1),
        ("quarantined", lambda fixture: quarantine(fixture, "w0"), 0),
        # The leader plans without draining workers.
        ("draining", lambda fixture: fixture.capacities.clear(), 0),
        ("refused a start", lambda fixture: refuse(fixture), 0),
        ("of another service", lambda fixture: move_service(fixture), 0),
    ]

    def test_workers_that_accept_no_tasks(self):
        # Room on such a worker is of no use to the urgent task.
        for name, change, stops in self.WORKERS:
            with self.subTest(name):
                fixture = PreemptionFixture()
                fixture.run_batch(0, batch_step())
                fixture.add("quote", [self.URGENT])
                change(fixture)
                self.assertEqual(len(fixture.rounds()), stops)

    def test_label_and_spread(self):
        entry = worker_entry(0, 8)
        table = (
            ("label", {"label": "gpu"}, 0),
            ("spread over workers", {"worker_tasks_max": 1}, 1),
        )
        for name, fields, stops in table:
            with self.subTest(name):
                fixture = PreemptionFixture(entries=[entry])
                for _ in range(2):
                    fixture.run_batch(0, batch_step(cores=4.0))
                fixture.add("quote", [step(2, cores=4.0, **fields)])
                self.assertEqual(len(fixture.rounds(6)), stops)

    def test_gang_gets_room_whole_or_not_at_all(self):
        # name, tasks of the gang, workers, of which run batch work, stops
        table = (
            ("one worker has room", 2, 16, 15, 1),
            ("within the bound of stops", 2, 16, 16, 2),
            ("beyond the bound of stops", 3, 16, 16, 0),
            ("more tasks than workers", 3, 2, 2, 0),
        )
        for name, tasks, workers, busy, stops in table:
            with self.subTest(name):
                fixture = PreemptionFixture(workers=workers)
                for worker in range(busy):
                    fixture.run_batch(worker, batch_step())
                fixture.add("gang", [step(tasks, cores=7.3, gang=True)])
                stopped = fixture.rounds(1)
                self.assertEqual(stopped, [])
                stopped = fixture.rounds(1)
                self.assertEqual(len(stopped), stops)
                for run in stopped:
                    fixture.end(run)
                # The batch work may not take the free worker of the gang either.
                placed, _ = fixture.round(0.01)
                self.assertEqual(placed.count("gang"), tasks if stops else 0)

    def test_gang_that_fits_no_rack_gets_room_in_several(self):
        # What was chosen in one rack and given up must not count for the next.
        entries = [
            replace(worker_entry(n, 8), labels=("a", f"r{min(n, 3)}"))
            for n in range(24)
        ]
        fixture = PreemptionFixture(entries=entries)
        state = fixture.add("batch", [batch_step(3)], "batch")
        for worker in range(24):
            if worker < 3:
                fixture.run_batch(worker, batch_step(3), job=state)
            else:
                fixture.run_batch(worker, batch_step(checkpoints=False))
        fixture.add("gang", [step(3, cores=7.3, gang=True, same_rack=True)])
        stopped = fixture.rounds(2)
        self.assertEqual({run.worker_id for run in stopped}, {"w0", "w1", "w2"})

    def test_stops_are_bounded(self):
        workers = 40
        fixture = PreemptionFixture(workers=workers)
        for worker in range(workers):
            fixture.run_batch(worker, batch_step())
        for number in range(workers):
            fixture.add(f"quote-{number}", [step(cores=7.3)])
        self.assertEqual(len(fixture.rounds(3)), int(workers * STOPPING_SHARE))

    def test_nothing_is_computed_without_a_blocked_urgent_step(self):
        fixture = PreemptionFixture(workers=2)
        for worker in range(2):
            fixture.run_batch(worker, batch_step())
        fixture.add("more", [batch_step(20)], "batch")
        with patch.object(RunRegistry, "find", side_effect=AssertionError):
            self.assertEqual(fixture.rounds(), [])

    def test_same_task_is_not_stopped_twice_in_a_row(self):
        fixture = PreemptionFixture()
        state = fixture.add("batch", [batch_step()], "batch")
        first = fixture.run_batch(0, batch_step(), job=state)
        fixture.add("quote-1", [self.URGENT])
        self.assertEqual(fixture.rounds(2), [first])
        fixture.end(first)
        self.assertEqual(fixture.round(0.01)[0], ["quote-1"])
        quote = next(iter(fixture.registry.jobs["quote-1"].tasks()))
        fixture.end(next(iter(quote.runs.values())), "done")
        second = fixture.run_batch(0, batch_step(), job=state)
        fixture.add("quote-2", [self.URGENT], age_s=-0.3)
        self.assertEqual(fixture.rounds(4), [])
        fixture.registry.end_job(fixture.registry.jobs["quote-2"], JobPhase.CANCELLED)
        fixture.now_s += RERUN_MIN_S
        fixture.add("quote-3", [self.URGENT], age_s=NOW_S - fixture.now_s)
        self.assertEqual(fixture.rounds(2), [second])

    def test_preemptions_of_one_job_are_bounded(self):
        workers = 40
        fixture = PreemptionFixture(workers=workers)
        state = fixture.add("batch", [batch_step(workers)], "batch")
        for worker in range(workers):
            fixture.run_batch(worker, batch_step(workers), job=state)
        fixture.add("quote", [step(workers, cores=7.3)])
        self.assertEqual(len(fixture.rounds(4)), JOB_PREEMPTIONS_MAX)

    def test_interrupted_standing_work_preempts(self):
        fixture = PreemptionFixture()
        watch = fixture.add("watch", [step(cores=7.3, standing=True)])
        task = watch.occurrences[0].steps[0].tasks[0]
        fixture.registry.begin_run(task, "gone", NOW_S)
        fixture.registry.drop_run(task, 1)
        run = fixture.run_batch(0, batch_step(run_s=60.0))
        self.assertEqual(fixture.rounds(2), [])
        fixture.now_s += INTERRUPTION_MAX_S
        self.assertEqual(fixture.rounds(2), [run])
        fixture.end(run)
        self.assertEqual(fixture.round(0.01)[0], ["watch"])


def quarantine(fixture, worker_id):
    for number in range(8):
        fixture.faults.record_failure(worker_id, f"f{number}", NOW_S, 6)


def refuse(fixture):
    fixture.capacities[0].refused_until_s = NOW_S + 10.0


def move_service(fixture):
    capacity = fixture.capacities[0]
    capacity.entry = replace(capacity.entry, service="other")


class HeldRoomTest(unittest.TestCase):
    URGENT = step(cores=7.3)

    def start(self, tasks=1):
        """Return a fixture in which the run of its only worker is being stopped."""
        fixture = PreemptionFixture()
        run = fixture.run_batch(0, batch_step())
        fixture.add("quote", [step(tasks, cores=7.3)])
        self.assertEqual(fixture.rounds(2), [run])
        return fixture, run

    COMPETITORS = [
        # name, step, queue, job placed first
        ("the stopped task alone", None, "", "quote"),
        ("lower priority that fits the gap", batch_step(cores=1.0), "batch", "quote"),
        ("lower priority", batch_step(), "batch", "quote"),
        ("equal priority, less work", step(cores=7.0, run_s=0.1), "urgent", "quote"),
        ("higher priority", step(cores=7.0, run_s=0.1), "first", "rival"),
    ]

    # Guards against room that is freed for an urgent task and taken by other work.
    def test_freed_room_is_kept(self):
        for name, spec, queue, expected in self.COMPETITORS:
            with self.subTest(name):
                fixture, run = self.start()
                fixture.queues["first"] = replace(
                    fixture.queues["urgent"], name="first", priority=-1
                )
                if spec is not None:
                    fixture.add("rival", [spec], queue, age_s=-0.2)
                self.assertEqual(fixture.round(0.05)[0], [])
                fixture.end(run)
                placed, _ = fixture.round(0.05)
                self.assertEqual(placed[0], expected)
                self.assertEqual(len(placed), 1)

    def test_late_urgent_step_is_placed_although_other_work_goes_first(self):
        # A step that became late while it waited comes after batch work that is on
        # time and does not fit because of the held room.
        fixture, run = self.start()
        fixture.add("batch", [batch_step()], "batch")
        fixture.registry.jobs["quote"].arrived_s -= 1.0
        fixture.end(run)
        self.assertEqual(fixture.round(0.01)[0], ["quote"])

    RELEASES = [
        # name, event, jobs placed afterwards
        ("cancelled", lambda fixture: cancel(fixture, "quote"), ["batch-0"]),
        ("placed elsewhere", lambda fixture: place_elsewhere(fixture), ["batch-0"]),
        (
            "not placed in time",
            lambda fixture: expire(fixture),
            ["batch-0"],
        ),
    ]

    def test_room_is_released(self):
        for name, event, placed in self.RELEASES:
            with self.subTest(name):
                fixture, run = self.start()
                fixture.end(run)
                event(fixture)
                self.assertEqual(fixture.round(0.01)[0], placed)

    def test_urgent_step_is_placed_although_lower_priority_does_not_fit(self):
        # The held room is closed to batch work only; late work of the highest priority
        # comes after it.
        fixture, run = self.start()
        fixture.queues["first"] = replace(
            fixture.queues["urgent"], name="first", priority=-1
        )
        fixture.add("batch", [batch_step()], "batch")
        fixture.add("rival", [batch_step()], "first", age_s=16.0)
        fixture.registry.jobs["quote"].arrived_s -= 90.0
        fixture.end(run)
        self.assertEqual(fixture.round(0.01)[0], ["rival"])

    def test_placement_uses_up_the_held_room(self):
        # Room must not stay held for a task that has got it.
        fixture = PreemptionFixture(cores=16)
        runs = [fixture.run_batch(0, batch_step(cores=8.0)) for _ in range(2)]
        fixture.add("quote", [step(2, cores=7.0)])
        (stopped,) = fixture.rounds(2)
        self.assertIn(stopped, runs)
        fixture.end(stopped)
        self.assertEqual(fixture.round(0.01)[0], ["quote"])
        fixture.add("small", [batch_step(cores=1.0)], "batch")
        self.assertEqual(fixture.round(0.01)[0], ["small"])

    def test_gang_counts_what_fits_beside_the_held_room(self):
        # Four tasks fit the worker, but only one beside the room that is held.
        fixture = PreemptionFixture(workers=2, cores=8)
        run = fixture.run_batch(0, batch_step(cores=8.0))
        fixture.run_batch(1, batch_step(cores=8.0, checkpoints=False))
        fixture.add("quote", [step(cores=6.0)])
        self.assertEqual(fixture.rounds(2), [run])
        fixture.end(run)
        gang = fixture.add("gang", [step(4, cores=2.0, gang=True)], "batch")
        steps = gang.occurrences[0].steps
        with patch.object(RunRegistry, "active_steps", return_value=steps):
            self.assertEqual(fixture.round(0.01)[0], [])

    def test_room_on_a_worker_that_takes_no_tasks_is_released(self):
        # The step gets room elsewhere before the hold would expire.
        fixture = PreemptionFixture(workers=16)
        for worker in range(16):
            fixture.run_batch(worker, batch_step())
        fixture.add("quote", [self.URGENT])
        (first,) = fixture.rounds(2)
        fixture.capacities = [
            capacity
            for capacity in fixture.capacities
            if capacity.entry.worker_id != first.worker_id
        ]
        (second,) = fixture.rounds(2)
        self.assertNotEqual(first.worker_id, second.worker_id)

    def test_overdue_stop_is_not_waited_for(self):
        # A stop is not answered, and the task would wait for its end until it is late.
        fixture = PreemptionFixture(workers=16)
        for worker in range(16):
            fixture.run_batch(worker, batch_step())
        state = fixture.add("quote", [self.URGENT])
        (first,) = fixture.rounds(2)
        later = []
        for _ in range(8):
            state.arrived_s = fixture.now_s
            later += fixture.round()[1]
        self.assertEqual(len(later), 1)
        self.assertNotEqual(first.worker_id, later[0].worker_id)

    def test_other_workers_are_not_held(self):
        fixture, _ = self.start()
        fixture.capacities.append(type(fixture.capacities[0])(worker_entry(1, 4)))
        fixture.add("other", [batch_step(cores=4.0)], "batch")
        self.assertEqual(fixture.round()[0], ["other"])

    def test_stop_that_never_ends_does_not_block_other_preemptions(self):
        # An unanswered stop: its room is not counted on once the stop is overdue.
        fixture, run = self.start()
        fixture.capacities.append(type(fixture.capacities[0])(worker_entry(1, 8)))
        other = fixture.run_batch(1, batch_step())
        state = fixture.registry.jobs["quote"]
        stopped = []
        for _ in range(10):
            state.arrived_s = fixture.now_s
            stopped += fixture.round()[1]
        # One of two workers: the bound of stops is one, so the overdue one counts.
        self.assertEqual(stopped, [])
        fixture.end(run, "lost")
        fixture.capacities.pop(0)
        state.arrived_s = fixture.now_s
        self.assertEqual(fixture.rounds(2), [other])


def cancel(fixture, job_id):
    fixture.registry.end_job(fixture.registry.jobs[job_id], JobPhase.CANCELLED)


def place_elsewhere(fixture):
    task = next(iter(fixture.registry.jobs["quote"].tasks()))
    fixture.registry.begin_run(task, "w9", fixture.now_s)


def expire(fixture):
    # Its worker takes no tasks for as long, and the task is late by then.
    fixture.capacities[0].refused_until_s = fixture.now_s + STOP_S + HOLD_MARGIN_S
    fixture.now_s += STOP_S + HOLD_MARGIN_S
    fixture.registry.jobs["quote"].arrived_s -= 90.0


RUNS = st.lists(
    st.tuples(
        st.integers(0, 3),  # worker
        st.integers(1, 8),  # cores
        st.sampled_from(["first", "urgent", "batch"]),
        st.booleans(),  # checkpoints
        st.integers(-1, 99),  # percent
        st.sampled_from([{}, {"standing": True}, {"gang": True}]),
    ),
    max_size=12,
)
WAITING = st.lists(
    st.tuples(
        st.integers(1, 3),  # tasks
        st.integers(1, 8),  # cores
        st.sampled_from(["first", "urgent", "batch"]),
        st.booleans(),  # gang
    ),
    max_size=5,
)


class PreemptionPropertyTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(RUNS, WAITING, st.integers(1, 5))
    def test_stops_serve_blocked_work_of_higher_priority(self, runs, waiting, rounds):
        fixture = PreemptionFixture(workers=4)
        fixture.queues["first"] = replace(
            fixture.queues["urgent"], name="first", priority=0
        )
        fixture.queues["urgent"] = replace(fixture.queues["urgent"], priority=1)
        for worker, cores, queue, checkpoints, percent, fields in runs:
            spec = batch_step(1, cores, 10.0, checkpoints, **fields)
            if fixture.capacities[worker].fits(spec):
                fixture.run_batch(worker, spec, queue, percent)
        for number, (tasks, cores, queue, gang) in enumerate(waiting):
            fixture.add(f"w{number}", [step(tasks, cores, gang=gang)], queue)
        stops_max = max(1, int(4 * STOPPING_SHARE))
        for _ in range(rounds):
            fixture.now_s += ROUND_S
            placed = fixture.plan(now_s=fixture.now_s)
            preemptions = fixture.planner.preemptions(
                fixture.registry, fixture.now_s, fixture.now_s * 1000
            )
            for preemption in preemptions:
                run = preemption.run
                victim = fixture.registry.find(run.run_id.task).step
                self.assertIs(run.phase, RunPhase.RUNNING)
                self.assertTrue(victim.spec.checkpoints)
                self.assertFalse(victim.spec.standing or victim.spec.gang)
                self.assertTrue(preemption.step.ready)
                self.assertLess(
                    preemption.step.job.queue.priority, victim.job.queue.priority
                )
                run.phase = RunPhase.STOPPING
            stopping = [
                run
                for capacity in fixture.capacities
                for run, _ in capacity.runs.values()
                if run.phase is RunPhase.STOPPING
            ]
            self.assertLessEqual(len(stopping), stops_max)
            for capacity in fixture.capacities:
                self.assertGreaterEqual(capacity.cores_free, 0)
            if placed:
                for run in stopping:
                    fixture.end(run)


ROUTES = [
    {**CONFIGURATION["routes"][0], "name": name, "prefix": f"/{name}/"} | fields
    for name, fields in (
        ("urgent", {"priority": 0, "stretch": 2.0, "slo_ms": 1000}),
        ("batch", {"priority": 2, "stretch": 4.0, "slo_ms": 10_000}),
    )
]
BATCH_JOB, URGENT_JOB = "b" * 16, "c" * 16
BATCH_RUN_S, URGENT_RUN_S = 6.0, 0.5


class PreemptionFleetTest(unittest.TestCase):
    """Preemption by the daemons, with failures between the stop and the start."""

    def start_fleet(self, workers=3):
        fleet = FleetSimulation(workers=0)
        for number in range(workers):
            fleet.add_worker(worker_entry(number, 4))
        fleet.records.write(
            "op/config",
            msgspec.json.encode({**CONFIGURATION, "version": 2, "routes": ROUTES}),
        )
        # The payload is the duration of a run from its start.
        patcher = patch.object(
            FakeWorker, "run_duration_s", lambda worker, run, payload: float(payload)
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        fleet.workers.stop_s = 0.2
        fleet.workers.run_cores_milli = 4000
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def run_for(self, fleet, duration_s):
        """Let time pass while the runs make progress; without it they are stalled."""
        for _ in range(round(duration_s / 0.05)):
            fleet.run_for(0.05)
            for worker in fleet.workers.workers.values():
                for run in worker.running.values():
                    ran_s = fleet.clock.seconds() - run.started_s
                    run.percent = min(99, int(100 * ran_s / run.duration_s))

    def submit_batch(self, fleet, tasks):
        spec = Step(tasks, 4000, 100, 0, int(BATCH_RUN_S * 1000), checkpoints=True)
        job = SubmittedJob(BATCH_JOB, "batch", str(BATCH_RUN_S), (spec,))
        fleet.submit(0, job)
        fleet.run_for(0.4)
        for worker in fleet.workers.workers.values():
            for run in worker.running.values():
                run.checkpoint = f"saved-{run.run.task.index}"

    def submit_urgent(self, fleet, wait_s=0.1):
        spec = Step(1, 4000, 100, 0, int(URGENT_RUN_S * 1000))
        job = SubmittedJob(URGENT_JOB, "urgent", str(URGENT_RUN_S), (spec,))
        fleet.submit(0, job, wait_s)

    def starts_of(self, fleet, job_id):
        return [run for run, _ in fleet.workers.starts if run.task.job_id == job_id]

    def assert_all_done_once(self, fleet, reader):
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(fleet.workers.overcommitted_starts, [])
        for job_id in (BATCH_JOB, URGENT_JOB):
            self.assertEqual(fleet.read_phase(reader, job_id), JobPhase.COMPLETED)

    def test_urgent_work_behind_long_batch_work(self):
        # Without preemption the urgent job starts after 5 s and is late.
        fleet = self.start_fleet()
        self.submit_batch(fleet, 6)
        self.submit_urgent(fleet)
        fleet.run_for(0.5)
        self.assertEqual(len(self.starts_of(fleet, URGENT_JOB)), 1)
        self.run_for(fleet, 20.0)
        self.assert_all_done_once(fleet, 0)
        # Six tasks, of which one was stopped and started again.
        starts = self.starts_of(fleet, BATCH_JOB)
        self.assertEqual(len(starts), 7)

    def test_no_preemption_before_all_workers_are_polled(self):
        # A new leader knows the room of the workers that it has polled only.
        fleet = self.start_fleet()
        self.submit_batch(fleet, 3)
        unpolled = fleet.nodes[fleet.leader()].leader.workers.unpolled_workers
        unpolled.add("w9")
        self.submit_urgent(fleet)
        fleet.run_for(0.6)
        self.assertEqual(self.starts_of(fleet, URGENT_JOB), [])
        unpolled.discard("w9")
        fleet.run_for(0.6)
        self.assertEqual(len(self.starts_of(fleet, URGENT_JOB)), 1)

    def test_failures_while_a_run_is_being_stopped(self):
        table = (
            # name, event 0.25 s after the urgent job arrives
            ("leader killed", kill_leader),
            ("worker silent", silence_stopping_worker),
            ("worker crashed", crash_stopping_worker),
            ("answers of stops lost", cut_stopping_worker),
            ("urgent job cancelled", cancel_urgent),
            ("store down", stop_store),
        )
        for name, event in table:
            with self.subTest(name):
                fleet = self.start_fleet()
                self.submit_batch(fleet, 4)
                saved = {}
                self.submit_urgent(fleet)
                fleet.run_for(0.15)
                for worker in fleet.workers.workers.values():
                    for run in worker.running.values():
                        saved[run.run.task] = run.checkpoint
                event(fleet)
                self.run_for(fleet, 3.0)
                for store in fleet.stores:
                    store.is_down = False
                self.run_for(fleet, 30.0)
                reader = fleet.leader()
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(fleet.workers.overcommitted_starts, [])
                self.assertEqual(
                    fleet.read_phase(reader, BATCH_JOB), JobPhase.COMPLETED
                )
                urgent = fleet.read_phase(reader, URGENT_JOB)
                is_cancelled = event is cancel_urgent
                self.assertEqual(
                    urgent,
                    JobPhase.CANCELLED if is_cancelled else JobPhase.COMPLETED,
                )

    def test_stopped_run_resumes_from_its_checkpoint(self):
        # The leader is lost while the run stops; its successor resumes the task.
        for is_leader_killed in (False, True):
            with self.subTest(is_leader_killed=is_leader_killed):
                fleet = self.start_fleet(workers=1)
                self.submit_batch(fleet, 1)
                (first,) = self.starts_of(fleet, BATCH_JOB)
                self.submit_urgent(fleet)
                fleet.run_for(0.15)
                if is_leader_killed:
                    kill_leader(fleet)
                checkpoints = []
                for _ in range(200):
                    self.run_for(fleet, 0.05)
                    for run in fleet.workers.workers["w0"].running.values():
                        if run.run.task == first.task and run.run != first:
                            checkpoints.append(run.checkpoint)
                self.assertTrue(checkpoints)
                self.assertEqual(set(checkpoints), {"saved-0"})
                self.assertEqual(fleet.workers.duplicate_starts, [])


def stopping_worker(fleet):
    leader = fleet.nodes[fleet.leader()].leader
    (worker_id,) = {
        capacity.entry.worker_id
        for capacity in leader.workers.capacities.values()
        for run, _ in capacity.runs.values()
        if run.phase is RunPhase.STOPPING
    }
    return worker_id


def kill_leader(fleet):
    stopping_worker(fleet)
    fleet.kill(fleet.leader())


def silence_stopping_worker(fleet):
    fleet.workers.workers[stopping_worker(fleet)].is_reachable = False


def crash_stopping_worker(fleet):
    fleet.workers.crash(stopping_worker(fleet))


def cut_stopping_worker(fleet):
    fleet.worker_clients[fleet.leader()].unreachable.add(stopping_worker(fleet))


def cancel_urgent(fleet):
    stopping_worker(fleet)
    deadline_s = fleet.clock.seconds() + 3.0
    fleet.nodes[0].frontend.cancel(URGENT_JOB, deadline_s)


def stop_store(fleet):
    stopping_worker(fleet)
    for store in fleet.stores:
        store.is_down = True


if __name__ == "__main__":
    unittest.main()
