"""Tasks that crash the workers on which they start."""

import random
import unittest

from dogwoodlever._crash_attribution import (
    CRASHES_MAX,
    DECISION_DELAY_S,
    LATE_PROBATION_MS,
    LOST_RUN_MAX_MS,
    LOST_RUNS_TO_GIVE_UP,
    PROBATION_MS,
    CrashAttribution,
)
from dogwoodlever._fleet_job import (
    JobPhase,
    JobProgress,
    LostRun,
    RunPhase,
    StartRecord,
    StepProgress,
    merge_progress,
)
from dogwoodlever._fleet_records import (
    PROGRESS_PREFIX,
    decode_progress,
    encode,
    progress_key,
)
from dogwoodlever._fleet_types import Queue, Step, SubmittedJob, TaskId
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._start_records import RECENT_START_MS
from tests.fleet_simulation import QUEUE, FleetSimulation, job, worker_entry

CRASHING_JOB = "d" * 16
# Starts of a task that crashes its workers: two of its runners may crash, and the
# platform counts the fourth start after the third crash.
STARTS_MAX = 5
RETURN_S = 3.0
# Covers a few crashes, each known when the worker returns or its leases expire, and the
# decision.
DECISION_MAX_S = 60.0


def ordinary_id(number):
    return f"{number:016x}"


class CrashingTasksTest(unittest.TestCase):
    def start_fleet(self, workers=8, **sizes):
        fleet = FleetSimulation(workers=workers, **sizes)
        self.stopped_s = {}
        self.run_fleet(fleet, 1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def run_fleet(self, fleet, duration_s):
        """Run the fleet; workers that crashed return as another incarnation."""
        end_s = fleet.clock.seconds() + duration_s
        while fleet.clock.seconds() < end_s:
            fleet.run_for(0.05)
            now_s = fleet.clock.seconds()
            self.report_progress(fleet)
            for worker_id, worker in list(fleet.workers.workers.items()):
                if not worker.refuses_connections:
                    continue
                stopped_s = self.stopped_s.setdefault(worker_id, now_s)
                if now_s - stopped_s >= RETURN_S:
                    del self.stopped_s[worker_id]
                    entry = worker_entry(int(worker_id[1:]), started_at_ms=int(now_s))
                    fleet.add_worker(entry, worker.run_s)

    @staticmethod
    def report_progress(fleet):
        """Let the runs report their progress, without which they count as stalled."""
        now_s = fleet.clock.seconds()
        for worker in fleet.workers.workers.values():
            for run in worker.running.values():
                if run.duration_s:
                    run.percent = int(100 * (now_s - run.started_s) / run.duration_s)

    def submit_ordinary(self, fleet, count, first=0, **fields):
        for number in range(first, first + count):
            fleet.submit(self.alive(fleet), job(ordinary_id(number), tasks=4, **fields))

    @staticmethod
    def alive(fleet):
        return next(n for n, clock in enumerate(fleet.clocks) if clock.is_alive)

    def submit_crashing(self, fleet, job_id=CRASHING_JOB, tasks=1, **fields):
        fleet.workers.crashing_tasks.add(TaskId(job_id, 0, 0, 0))
        fleet.submit(self.alive(fleet), job(job_id, tasks=tasks, **fields))

    def starts(self, fleet, job_id=CRASHING_JOB):
        task_id = TaskId(job_id, 0, 0, 0)
        return sum(run.task == task_id for run, _ in fleet.workers.starts)

    def phase(self, fleet, job_id=CRASHING_JOB):
        return fleet.nodes[fleet.leader()].leader.job_phase(job_id)

    def assert_completed(self, fleet, count):
        for number in range(count):
            phase = self.phase(fleet, ordinary_id(number))
            self.assertEqual(phase, JobPhase.COMPLETED, number)

    CASES = [
        ("one task", 1, {}),
        ("one of three tasks", 3, {}),
        ("a gang", 3, {"gang": True}),
        ("a standing task", 1, {"standing": True}),
        ("a speculative task", 1, {"speculative": True}),
        ("a best-effort task", 1, {"uses_leftover": True}),
    ]

    # Guards against a task that crashes worker after worker without end.
    def test_task_that_crashes_its_workers_is_given_up(self):
        for name, tasks, fields in self.CASES:
            with self.subTest(name):
                fleet = self.start_fleet()
                self.submit_ordinary(fleet, 6)
                self.submit_crashing(fleet, tasks=tasks, **fields)
                self.submit_ordinary(fleet, 6, first=6)
                self.run_fleet(fleet, DECISION_MAX_S)
                self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                self.assertLessEqual(self.starts(fleet), 3)
                self.assertLessEqual(len(fleet.workers.crashes), 3)
                self.assert_completed(fleet, 12)

    # Guards against crashes that are not counted as the start got no answer.
    def test_task_that_crashes_its_workers_before_they_answer(self):
        for name, tasks, fields in self.CASES:
            with self.subTest(name):
                fleet = self.start_fleet()
                fleet.workers.crash_delay_s = 0.0
                self.submit_ordinary(fleet, 6)
                self.submit_crashing(fleet, tasks=tasks, **fields)
                self.run_fleet(fleet, DECISION_MAX_S)
                self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                self.assertLessEqual(self.starts(fleet), CRASHES_MAX)
                self.assert_completed(fleet, 6)

    # Guards against a task that crashes its workers after its probation, without end.
    def test_task_that_crashes_its_workers_late(self):
        for crash_delay_s in (0.6, 1.0, 2.0, 3.0):
            for name, tasks, fields in self.CASES:
                if fields.get("gang"):
                    # The simulated members that run on complete the gang.
                    continue
                with self.subTest(name, crash_delay_s=crash_delay_s):
                    fleet = self.start_fleet(run_s=4.0)
                    fleet.workers.crash_delay_s = crash_delay_s
                    self.submit_ordinary(fleet, 6)
                    self.submit_crashing(fleet, tasks=tasks, **fields)
                    self.submit_ordinary(fleet, 6, first=6)
                    self.run_fleet(fleet, DECISION_MAX_S)
                    self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                    self.assertLessEqual(len(fleet.workers.crashes), STARTS_MAX)
                    self.assert_completed(fleet, 12)

    def test_change_of_leader_during_late_crashes(self):
        for kill_s in (0.5, 1.0, 1.9, 2.5, 4.0, 6.0, 9.0):
            with self.subTest(kill_s=kill_s):
                fleet = self.start_fleet(run_s=4.0)
                fleet.workers.crash_delay_s = 1.5
                self.submit_ordinary(fleet, 4)
                self.submit_crashing(fleet)
                self.run_fleet(fleet, kill_s)
                fleet.kill(fleet.leader())
                self.run_fleet(fleet, DECISION_MAX_S)
                self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                self.assertLessEqual(len(fleet.workers.crashes), STARTS_MAX)
                self.assert_completed(fleet, 4)

    # Guards against leaders that are lost in series before they store a late crash.
    def test_leader_killed_after_each_late_crash(self):
        fleet = self.start_fleet(daemons=5, run_s=0.0)
        fleet.workers.crash_delay_s = 1.5
        self.submit_crashing(fleet, standing=True)
        for _ in range(2):
            crashes = len(fleet.workers.crashes)
            while len(fleet.workers.crashes) == crashes:
                self.run_fleet(fleet, 0.05)
            self.run_fleet(fleet, 0.05)
            fleet.kill(fleet.leader())
        self.run_fleet(fleet, DECISION_MAX_S)
        self.assertEqual(self.phase(fleet), JobPhase.FAILED)
        self.assertLessEqual(len(fleet.workers.crashes), STARTS_MAX)

    STANDING, ONCE, BEST_EFFORT = {"standing": True}, {}, {"uses_leftover": True}
    # Crash after the start, kills after the crash, leaders killed, outage of the store
    # from the crash on, fields of the job.
    HIDDEN_CRASHES = [
        (0.5, 0.0, 2, 0.0, STANDING),
        (0.6, 0.3, 3, 4.0, ONCE),
        (1.0, 0.15, 2, 0.0, BEST_EFFORT),
        (1.5, 0.0, 1, 0.0, ONCE),
        (1.5, 0.05, 3, 1.0, STANDING),
        (2.0, 0.3, 2, 0.0, STANDING),
        (3.0, 0.05, 2, 0.0, ONCE),
        (3.5, 0.15, 3, 0.0, STANDING),
        (3.5, 0.3, 2, 4.0, STANDING),
    ]

    def test_hidden_crashes_of_several_leaders(self):
        for crash_delay_s, kill_s, leaders, outage_s, fields in self.HIDDEN_CRASHES:
            with self.subTest(
                crash_delay_s=crash_delay_s, kill_s=kill_s, leaders=leaders
            ):
                fleet = self.start_fleet(daemons=5, run_s=0.0)
                fleet.workers.crash_delay_s = crash_delay_s
                self.submit_crashing(fleet, **fields)
                for _ in range(leaders):
                    self.kill_leader_after_crash(fleet, kill_s, outage_s)
                self.run_fleet(fleet, DECISION_MAX_S)
                self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                self.assertLessEqual(len(fleet.workers.crashes), STARTS_MAX)

    def kill_leader_after_crash(self, fleet, kill_s, outage_s):
        crashes = len(fleet.workers.crashes)
        while len(fleet.workers.crashes) == crashes:
            self.run_fleet(fleet, 0.05)
        leader = fleet.leader()
        for store in fleet.stores:
            store.is_down = outage_s > 0
        self.run_fleet(fleet, kill_s)
        fleet.kill(leader)
        self.run_fleet(fleet, outage_s)
        for store in fleet.stores:
            store.is_down = False

    # Guards against starts that are stored although no crash can be unknown.
    def test_starts_are_stored_only_after_a_loss_of_leader_and_worker(self):
        for crashes, expected in ((0, 0), (1, 1)):
            with self.subTest(crashes=crashes):
                fleet = self.start_fleet(workers=2, run_s=1.0)
                self.run_fleet(fleet, RECENT_START_MS / 1000)
                step = Step(1, 8_000, 100, 0, 1000)
                for number in range(8):
                    made = SubmittedJob(ordinary_id(number), QUEUE, "", (step,))
                    fleet.submit(0, made, wait_s=0.05)
                for worker_id in sorted(fleet.workers.workers)[:crashes]:
                    fleet.workers.crash(worker_id)
                fleet.kill(fleet.leader())
                while fleet.leader() is None:
                    self.run_fleet(fleet, 0.1)
                has_record = False
                for _ in range(150):
                    self.run_fleet(fleet, 0.1)
                    has_record |= any(self.stored_starts(fleet))
                self.assertEqual(has_record, expected)
                self.assert_completed(fleet, 8)
                self.assertFalse(any(self.stored_starts(fleet)))

    @staticmethod
    def stored_starts(fleet):
        for key, record in fleet.records.records.items():
            if key.startswith(PROGRESS_PREFIX):
                for steps in decode_progress(record.value).occurrences.values():
                    yield from (step.starts for step in steps)

    # Guards against counting a stored start as a crash whose run has not crashed.
    def test_stored_start_of_a_run_that_lasts_is_no_crash(self):
        fleet = self.start_fleet(daemons=5, workers=4, run_s=0.0)
        fields = {"standing": True, "worker_tasks_max": 1}
        fleet.submit(0, job(ordinary_id(0), tasks=2, **fields))
        self.run_fleet(fleet, 1.5)
        fleet.workers.crash(fleet.workers.starts[0][1])
        fleet.kill(fleet.leader())
        while len(fleet.workers.starts) < 3:
            self.run_fleet(fleet, 0.05)
        self.run_fleet(fleet, 0.5)
        self.assertEqual(len(self.stored(fleet).starts), 1)
        fleet.kill(fleet.leader())
        self.run_fleet(fleet, 12.0)
        self.assertEqual(len(fleet.workers.starts), 3)
        self.assertEqual(self.stored(fleet), StepProgress())

    # Guards against a task that crashes its workers later still, without end.
    def test_task_that_crashes_its_workers_after_the_late_probation(self):
        fleet = self.start_fleet(run_s=0.0)
        fleet.workers.crash_delay_s = 4.5
        self.submit_crashing(fleet, standing=True)
        self.run_fleet(fleet, DECISION_MAX_S)
        self.assertEqual(self.phase(fleet), JobPhase.FAILED)
        self.assertLessEqual(len(fleet.workers.crashes), STARTS_MAX)

    # Guards against a successor that starts counting anew.
    def test_changes_of_leader_keep_the_count(self):
        for kill_s in (0.02, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.9, 1.2):
            with self.subTest(kill_s=kill_s):
                fleet = self.start_fleet()
                self.submit_ordinary(fleet, 4)
                self.submit_crashing(fleet)
                self.run_fleet(fleet, kill_s)
                fleet.kill(fleet.leader())
                self.run_fleet(fleet, DECISION_MAX_S)
                self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                self.assertLessEqual(self.starts(fleet), STARTS_MAX)
                self.assert_completed(fleet, 4)

    def test_leader_killed_after_each_crash(self):
        for delay_s in (0.05, 0.25, 0.35):
            with self.subTest(delay_s=delay_s):
                fleet = self.start_fleet(daemons=5)
                self.submit_crashing(fleet)
                for _ in range(2):
                    crashes = len(fleet.workers.crashes)
                    while len(fleet.workers.crashes) == crashes:
                        self.run_fleet(fleet, 0.05)
                    self.run_fleet(fleet, delay_s)
                    fleet.kill(fleet.leader())
                self.run_fleet(fleet, DECISION_MAX_S)
                self.assertEqual(self.phase(fleet), JobPhase.FAILED)
                self.assertLessEqual(self.starts(fleet), STARTS_MAX)

    def test_task_with_two_crashes_waits_for_the_store(self):
        fleet = self.start_fleet()
        self.submit_crashing(fleet)
        while not fleet.workers.crashes:
            self.run_fleet(fleet, 0.05)
        for store in fleet.stores:
            store.is_down = True
        self.run_fleet(fleet, 5.0)
        self.assertLessEqual(self.starts(fleet), 2)
        for store in fleet.stores:
            store.is_down = False
        self.run_fleet(fleet, 20.0)
        self.assertEqual(self.phase(fleet), JobPhase.FAILED)
        self.assertLessEqual(self.starts(fleet), STARTS_MAX)

    def test_several_crashing_tasks_at_once(self):
        fleet = self.start_fleet(workers=16)
        crashing = [f"{number:x}" * 16 for number in range(10, 15)]
        self.submit_ordinary(fleet, 8)
        for job_id in crashing:
            self.submit_crashing(fleet, job_id)
        self.run_fleet(fleet, DECISION_MAX_S)
        for job_id in crashing:
            self.assertEqual(self.phase(fleet, job_id), JobPhase.FAILED)
            self.assertLessEqual(self.starts(fleet, job_id), CRASHES_MAX)
        self.assert_completed(fleet, 8)

    # Guards against giving up tasks that only shared their workers' crashes.
    def test_tasks_of_workers_that_crash_together_are_not_given_up(self):
        for pause_s in (0.5, 1.0, 2.0, 4.0):
            with self.subTest(pause_s=pause_s):
                fleet = self.start_fleet(run_s=3.0)
                self.submit_ordinary(fleet, 8)
                for _ in range(2):
                    busy = sorted(
                        fleet.workers.workers.values(),
                        key=lambda worker: -len(worker.running),
                    )
                    for worker in busy[:4]:
                        fleet.workers.crash(worker.entry.worker_id)
                    self.run_fleet(fleet, pause_s)
                self.run_fleet(fleet, 30.0)
                self.assert_completed(fleet, 8)

    # Guards against evidence that adds up over a day.
    def test_standing_task_outlives_unrelated_crashes(self):
        fleet = self.start_fleet(workers=4, run_s=0.0)
        fleet.submit(0, job(ordinary_id(0), tasks=2, standing=True))
        self.run_fleet(fleet, 4.0)
        for _ in range(6):
            worker_id = next(
                worker.entry.worker_id
                for worker in fleet.workers.workers.values()
                if worker.running
            )
            fleet.workers.crash(worker_id)
            self.run_fleet(fleet, 8.0)
        self.assertEqual(self.phase(fleet, ordinary_id(0)), JobPhase.RUNNING)
        running = sum(len(w.running) for w in fleet.workers.workers.values())
        self.assertEqual(running, 2)

    # Guards against evidence that a task keeps although its next run lasts.
    def test_crashes_are_stored_until_the_task_is_cleared(self):
        for age_s, field in ((0.2, "crashes"), (1.5, "late_crashes")):
            with self.subTest(age_s=age_s):
                fleet = self.start_fleet(workers=4, run_s=0.0)
                fleet.submit(0, job(ordinary_id(0), tasks=1, standing=True))
                self.run_fleet(fleet, age_s)
                fleet.workers.crash(fleet.workers.starts[0][1])
                self.run_fleet(fleet, RETURN_S + 0.5)
                self.assertEqual(getattr(self.stored(fleet), field), {0: (1,)})
                self.run_fleet(fleet, 6.0)
                self.assertEqual(getattr(self.stored(fleet), field), {})

    @staticmethod
    def stored(fleet):
        record = fleet.records.records[progress_key(ordinary_id(0))]
        return decode_progress(record.value).occurrences[0][0]


class CrashAttributionTest(unittest.TestCase):
    def setUp(self):
        self.registry = RunRegistry(1)
        self.unstored = set()
        self.crashes = CrashAttribution(lambda job_id: job_id not in self.unstored)
        self.now_s = 100.0

    def add_tasks(self, job_id, tasks=1, **fields):
        queue = Queue(QUEUE, "", "/", "desk")
        state = self.registry.add_job(job(job_id, tasks, **fields), queue, 1, 0.0)
        state.open_due(0.0)
        return state.occurrences[0].steps[0].tasks

    def start(self, task, worker_id, phase=RunPhase.RUNNING):
        run = self.registry.begin_run(task, worker_id, self.now_s)
        run.phase = phase
        self.crashes.add_run(run, task)
        return run, task

    def prove(self, pair):
        self.crashes.record_listed(*pair, 1)
        return self.crashes.record_listed(*pair, 1 + PROBATION_MS)

    def crash(self, worker_id, *pairs, workers=100):
        for run, task in pairs:
            self.crashes.remove_run(run)
            self.registry.drop_run(task, run.run_id.number)
        return self.crashes.record_crash(
            worker_id, pairs, self.now_s, self.now_s, workers
        )

    def given_up(self):
        self.now_s += DECISION_DELAY_S + 0.01
        return self.crashes.pop_given_up(self.now_s)

    def suspects(self, *names):
        """Return tasks that were on one worker at its crash."""
        tasks = [self.add_tasks(name)[0] for name in names]
        self.crash("w0", *[self.start(task, "w0") for task in tasks])
        self.now_s += 10.0
        return tasks

    def test_only_runs_on_probation_are_suspects(self):
        young, old = self.add_tasks("a")[0], self.add_tasks("b")[0]
        proven = self.start(old, "w0")
        self.prove(proven)
        suspects = self.crash("w0", self.start(young, "w0"), proven)
        self.assertEqual(suspects, [young])
        self.assertEqual(old.crashes, {})

    def test_second_crash_gives_up_the_only_suspect(self):
        first, other = self.suspects("a", "b")
        self.crash("w1", self.start(first, "w1"))
        self.assertTrue(self.crashes.is_held(first))
        self.assertFalse(self.crashes.is_held(other))
        self.assertEqual(self.given_up(), [first])

    # Guards against a task that is given up for a crash which a task that crashes its
    # workers late, and was cleared in between, has caused.
    def test_second_crash_beside_a_late_suspect_is_not_decisive(self):
        (late,) = self.add_tasks("b")
        pair = self.start(late, "w1")
        self.now_s += 1.0
        self.crash("w1", pair)
        young, _ = self.suspects("a", "c")
        pair = self.start(late, "w3")
        self.prove(pair)
        self.now_s += 1.0
        self.crash("w3", self.start(young, "w3"), pair)
        self.assertNotIn(young, self.given_up())
        self.crash("w4", self.start(young, "w4"))
        self.assertEqual(self.given_up(), [young])

    STARTING, RUNNING = RunPhase.STARTING, RunPhase.RUNNING
    PHASES = [
        ("both answered", [RUNNING, RUNNING], 2),
        ("none answered", [STARTING, STARTING, STARTING], 3),
        ("the first unanswered", [STARTING, RUNNING, RUNNING], 3),
        ("the second unanswered", [RUNNING, STARTING, STARTING], 3),
    ]

    def test_one_unanswered_start_does_not_count(self):
        for name, phases, expected in self.PHASES:
            with self.subTest(name):
                self.setUp()
                (task,) = self.add_tasks("a")
                for number, phase in enumerate(phases, start=1):
                    self.crash("w1", self.start(task, "w1", phase))
                    given_up = self.given_up()
                    self.assertEqual(given_up, [task] if number == expected else [])

    def test_third_crash_decides_beside_another_run_on_probation(self):
        # Guards against giving up a suspect for the first crash of another task.
        for is_proven, expected in ((True, 2), (False, 3)):
            with self.subTest(is_proven=is_proven):
                self.setUp()
                (task,) = self.suspects("a")
                for number in range(2, expected + 1):
                    other = self.start(self.add_tasks(f"other-{number}")[0], "w1")
                    if is_proven:
                        self.prove(other)
                    self.crash("w1", other, self.start(task, "w1"))
                    given_up = self.given_up()
                    self.assertEqual(given_up, [task] if number == expected else [])

    # Guards against giving up a task that shared workers with one that crashes late.
    def test_run_that_outlives_the_late_probation_clears_its_task(self):
        (task,) = self.add_tasks("a")
        for number in range(2):
            pair = self.start(task, f"w{number}")
            self.prove(pair)
            self.now_s += 1.0
            self.crash(f"w{number}", pair)
        self.assertEqual(self.given_up(), [])
        self.assertEqual(list(task.crashes), [2])
        pair = self.start(task, "w2")
        self.assertFalse(self.prove(pair))
        self.assertTrue(self.crashes.is_reserved("w2"))
        self.assertTrue(self.crashes.record_listed(*pair, 1 + LATE_PROBATION_MS))
        self.assertFalse(self.crashes.is_reserved("w2"))
        self.assertEqual((task.crashes, task.late_crashes), ({}, set()))

    # Task, workers of its lost runs, age at the loss, companions of each loss, ends of
    # other workers between two losses, and whether it is given up.
    LOST_ROWS = [
        ("alone on four workers", "abcd", 5.0, ["", "", "", ""], 0, True),
        ("alone on three workers", "abc", 5.0, ["", "", ""], 0, False),
        ("on one worker again and again", "aaaaaaaa", 5.0, [""] * 8, 0, False),
        ("with changing companions", "abcd", 5.0, ["x", "y", "", "z"], 0, True),
        ("with the same companion", "abcd", 5.0, ["x", "xy", "x", "xz"], 0, False),
        ("while other workers end", "abcd", 5.0, [""] * 4, 10, False),
        ("after a long run", "abcd", LOST_RUN_MAX_MS / 1000, [""] * 4, 0, False),
    ]

    # Guards against a task that crashes its workers later than the late probation, and
    # against giving up one whose workers end for other reasons.
    def test_lost_runs_in_a_row_on_different_workers(self):
        for name, workers, age_s, companions, ends, expected in self.LOST_ROWS:
            with self.subTest(name):
                self.setUp()
                self.crashes.pop_given_up(self.now_s)
                (task,) = self.add_tasks("a", standing=True)
                tasks = {other: self.add_tasks(other)[0] for other in "xyz"}
                given_up = []
                for worker_id, others in zip(workers, companions, strict=True):
                    pairs = [self.start(task, worker_id)]
                    pairs += [self.start(tasks[other], worker_id) for other in others]
                    self.age(pairs, age_s)
                    self.crash(worker_id, *pairs)
                    for number in range(ends):
                        self.now_s += 1.0
                        self.crash(f"other-{number}")
                    given_up += self.given_up()
                self.assertEqual(given_up, [task] if expected else [])

    def age(self, pairs, age_s):
        """Let runs reach an age at which they are listed."""
        for pair in pairs:
            self.crashes.record_listed(*pair, 1)
        self.now_s += age_s
        for pair in pairs:
            self.crashes.record_listed(*pair, 1 + int(age_s * 1000))

    def test_long_run_ends_a_row_of_lost_runs(self):
        (task,) = self.add_tasks("a", standing=True)
        for number in range(LOST_RUNS_TO_GIVE_UP - 1):
            pair = self.start(task, f"w{number}")
            self.age([pair], 5.0)
            self.crash(f"w{number}", pair)
        self.assertEqual(task.failed_on, {"w0", "w1", "w2"})
        self.unstored.add("a")
        self.assertTrue(self.crashes.is_held(task))
        self.age([self.start(task, "w3")], LOST_RUN_MAX_MS / 1000)
        self.assertEqual((task.lost_runs, task.failed_on), ({}, set()))
        self.assertFalse(self.crashes.is_held(task))
        self.assertEqual(self.crashes.pop_changed_jobs(), {"a"})

    # Mean life of a worker, and whether all lives are equally long.
    FLAPPING = [(20.0, False), (60.0, False), (300.0, False), (8.0, True), (25.0, True)]
    DAY_S = 86_400.0

    # Guards against giving up innocent tasks on a day on which all workers flap. Ends
    # of workers with younger runs than `LATE_PROBATION_MS` are left out, as these are
    # evidence by the other rules.
    def test_no_task_is_given_up_while_workers_flap_all_day(self):
        for life_s, is_regular in self.FLAPPING:
            with self.subTest(life_s=life_s, is_regular=is_regular):
                self.setUp()
                generator = random.Random(7)
                workers = [f"w{number}" for number in range(10)]
                tasks = self.add_tasks("a", tasks=15, standing=True)
                runs = {worker_id: [] for worker_id in workers}
                for task in tasks:
                    worker_id = generator.choice(workers)
                    runs[worker_id].append(self.start(task, worker_id))
                ends_s = {w: self.now_s + generator.random() * life_s for w in workers}
                day_end_s = self.now_s + self.DAY_S
                given_up = self.crashes.pop_given_up(self.now_s)
                while self.now_s < day_end_s:
                    worker_id = min(ends_s, key=ends_s.get)
                    self.now_s = ends_s[worker_id]
                    ends_s[worker_id] += (
                        life_s if is_regular else generator.expovariate(1 / life_s)
                    )
                    given_up += self.crashes.pop_given_up(self.now_s)
                    self.end_flapping(worker_id, runs, generator)
                self.assertEqual(given_up, [])

    def end_flapping(self, worker_id, runs, generator):
        """End a worker unless it has young runs; start its tasks on others."""
        lost = runs[worker_id]
        ages_s = [self.now_s - run.started_s for run, _ in lost]
        if any(age_s < LATE_PROBATION_MS / 1000 for age_s in ages_s):
            return
        for (run, task), age_s in zip(lost, ages_s, strict=True):
            self.crashes.record_listed(run, task, 1)
            self.crashes.record_listed(run, task, 1 + int(age_s * 1000))
        self.crash(worker_id, *lost, workers=len(runs))
        others = (
            [
                name
                for name in runs
                if name != worker_id and name not in lost[0][1].failed_on
            ]
            if lost
            else []
        )
        runs[worker_id] = []
        for _, task in lost:
            chosen = generator.choice(others or list(runs))
            runs[chosen].append(self.start(task, chosen))

    def test_runs_before_the_last_contact_are_no_evidence(self):
        early, late = self.add_tasks("a")[0], self.add_tasks("b")[0]
        pairs = [self.start(early, "w0")]
        self.now_s += PROBATION_MS / 1000
        pairs.append(self.start(late, "w0"))
        self.assertEqual(self.crash("w0", *pairs), [late])

    def test_second_crash_with_another_suspect_gives_up_none(self):
        first, other = self.suspects("a", "b")
        self.crash("w1", self.start(first, "w1"), self.start(other, "w1"))
        self.assertEqual(self.given_up(), [])

    COMMON_CAUSES = [
        ("alone", [], False),
        ("a worker without runs", [((), 0.0)], True),
        ("a worker with proven runs", [(("old",), 0.1)], True),
        ("a worker much later", [((), 3.0)], False),
        ("two with young runs", [(("y1",), 0.0), (("y2",), 0.1)], False),
        ("three with young runs", [((f"y{n}",), 0.1) for n in range(3)], True),
    ]

    def test_ends_of_the_same_moment_are_a_common_cause(self):
        for name, others, has_common_cause in self.COMMON_CAUSES:
            with self.subTest(name):
                self.setUp()
                (task,) = self.suspects("a")
                self.crash("w1", self.start(task, "w1"), workers=20)
                for number, (jobs, delay_s) in enumerate(others):
                    pairs = [self.start(self.add_tasks(j)[0], "x") for j in jobs]
                    if jobs == ("old",):
                        self.prove(pairs[0])
                    crashed_s = self.now_s
                    self.now_s += delay_s
                    self.crash(f"x{number}", *pairs, workers=20)
                    self.now_s = crashed_s
                self.assertEqual(self.given_up(), [] if has_common_cause else [task])
                self.assertFalse(self.crashes.is_held(task))

    def test_last_crash_gives_up_whatever_else_ended(self):
        (task,) = self.suspects("a")
        for number in range(2, CRASHES_MAX + 1):
            self.crash("w1", self.start(task, "w1"))
            self.crash("x")
            expected = [task] if number == CRASHES_MAX else []
            self.assertEqual(self.given_up(), expected)

    def test_members_of_a_gang_count_once(self):
        members = self.add_tasks("a", tasks=3, gang=True)
        pairs = [self.start(member, f"w{n}") for n, member in enumerate(members)]
        for number, pair in enumerate(pairs):
            self.crash(f"w{number}", pair)
        self.assertEqual(list(members[0].crashes), [1])
        self.assertTrue(all(member.accountable.crashes for member in members))

    def test_proof_clears_a_suspect_and_releases_its_worker(self):
        (task,) = self.suspects("a")
        pair = self.start(task, "w1")
        self.assertTrue(self.crashes.is_reserved("w1"))
        self.assertFalse(self.crashes.record_listed(*pair, 1))
        self.assertFalse(self.crashes.record_listed(*pair, PROBATION_MS))
        self.assertTrue(self.crashes.is_reserved("w1"))
        self.assertTrue(self.crashes.record_listed(*pair, 1 + PROBATION_MS))
        self.assertFalse(self.crashes.is_reserved("w1"))
        self.assertEqual(task.crashes, {})

    def test_task_with_two_crashes_waits_until_they_are_stored(self):
        (task,) = self.suspects("a")
        self.unstored.add("a")
        self.assertFalse(self.crashes.is_held(task))
        self.crash("w1", self.start(task, "w1"))
        self.crash("x")
        self.given_up()
        self.assertTrue(self.crashes.is_held(task))
        self.unstored.clear()
        self.assertFalse(self.crashes.is_held(task))


class CrashRecordsTest(unittest.TestCase):
    def test_records_of_earlier_builds_decode(self):
        old = (
            b"\x83\xa5phase\xa7running\xa8finished\x00\xaboccurrences"
            b"\x81\x00\x91\x81\xa4done\xa11"
        )
        progress = decode_progress(old)
        self.assertEqual(progress.occurrences[0][0], StepProgress("1"))

    def test_crashes_outlast_a_record(self):
        registry = RunRegistry(1)
        queue = Queue(QUEUE, "", "/", "desk")
        step = StepProgress(
            crashes={1: (3, 1004)},
            late_crashes={1: (2, 3)},
            lost_runs={1: {3: LostRun(4_500, "w1")}},
            starts={1: StartRecord(1005, "w2", 7)},
        )
        stored = JobProgress("running", 0, {0: [step]})
        stored = decode_progress(encode(stored))
        state = registry.add_job(job(CRASHING_JOB, tasks=2), queue, 1, 0.0, stored)
        task = state.occurrences[0].steps[0].tasks[1]
        self.assertEqual(set(task.crashes), {3, 1004})
        self.assertEqual(task.late_crashes, {2, 3})
        self.assertEqual(task.lost_runs, {3: LostRun(4_500, "w1")})
        self.assertEqual(task.failed_on, {"w1"})
        self.assertEqual(task.start_record, StartRecord(1005, "w2", 7))
        self.assertEqual(task.last_run, 1005)
        self.assertEqual(state.progress(), stored)

    def test_merged_records_have_all_crashes(self):
        first, other = (
            JobProgress("running", 0, {0: [StepProgress(crashes=crashes)]})
            for crashes in ({0: (1,)}, {0: (2,), 1: (1,)})
        )
        merged = merge_progress(first, other)
        self.assertEqual(merged.occurrences[0][0].crashes, {0: (1, 2), 1: (1,)})


if __name__ == "__main__":
    unittest.main()
