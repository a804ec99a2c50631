import math
import random
import unittest
from unittest.mock import Mock, patch

import msgspec

from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_planner import FleetPlanner
from dogwoodlever._fleet_records import (
    RUN_TIMES_KEY,
    RunTimesRecord,
    decode_run_times,
    encode,
)
from dogwoodlever._fleet_types import EndedRun, Queue, Step, SubmittedJob
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._run_registry import ENDED_DONE, RunRegistry
from dogwoodlever._run_time_model import (
    CLASSES_PER_QUEUE,
    LOG_INTERVAL_S,
    REFRESH_INTERVAL_S,
    ROWS_PER_CLASS,
    STORED_CLASSES_MAX,
    STORED_ROWS_PER_CLASS,
    RunTimeModel,
    censored_quantile,
)
from dogwoodlever._scheduling_order import DeadlineOutlook, scheduling_key
from dogwoodlever._worker_capacity import WorkerCapacity
from tests.fleet_simulation import FleetSimulation, job, worker_entry

QUEUE = Queue("batch", "", "/", "desk", 2, 3, 2.0, 1000)


def step(tasks=1, declared_s=1.0, **fields):
    return Step(tasks, 4000, 100, 0, round(declared_s * 1000), **fields)


class Fixture:
    def __init__(self):
        self.registry = RunRegistry(1)
        self.ratios = []
        self.model = RunTimeModel(lambda queue, ratio: self.ratios.append(ratio))
        self.now_s = 100.0

    def add(self, spec, now_s=None):
        now_s = self.now_s if now_s is None else now_s
        job = SubmittedJob(f"j{len(self.registry.jobs)}", "batch", "", (spec,))
        state = self.registry.add_job(job, QUEUE, 1, now_s)
        state.open_due(now_s * 1000)
        return state.occurrences[0].steps[0]

    def start(self, state, index=0, worker="w0"):
        return self.registry.begin_run(state.tasks[index], worker, self.now_s)

    def end(self, state, run, took_s):
        task = state.tasks[run.run_id.task.index]
        self.registry.end_run(EndedRun(1, run.run_id, ENDED_DONE, ""))
        self.model.record_end(task, run, run.started_s + took_s)

    def run_step(self, spec, times_s, workers=("w0",)):
        """Run the tasks of a new step that take the given times."""
        state = self.add(spec)
        for index, took_s in enumerate(times_s):
            worker = workers[index % len(workers)]
            self.end(state, self.start(state, index, worker), took_s)
        return state

    def refresh(self):
        self.now_s += REFRESH_INTERVAL_S
        return self.model.refresh(self.registry.active.values(), self.now_s)

    def expected_s(self, state):
        return self.model.expected_s(state, self.now_s)


def mean_error(fixture, rng, errors, true_s=1.0):
    """Return the mean factor by which the estimates of new steps are off."""
    total = 0.0
    for _ in range(200):
        declared_s = true_s * rng.uniform(*errors)
        state = fixture.add(step(10, declared_s))
        total += abs(math.log(fixture.expected_s(state) / true_s))
    return math.exp(total / 200)


class LearningTest(unittest.TestCase):
    CASES = [
        # name, declared/actual, share that takes seven times as long,
        # largest mean factor
        ("short by 90 %", (0.1, 0.1), 0.0, 1.4),
        ("long by 90 %", (1.9, 1.9), 0.0, 1.1),
        ("off by up to 90 %", (0.1, 1.9), 0.0, 1.25),
        ("off, with a heavy tail", (0.1, 1.9), 0.03, 1.3),
    ]

    # Guards against an order of work by declared estimates that are wrong.
    def test_wrong_estimates_are_replaced(self):
        for name, errors, tail, factor in self.CASES:
            with self.subTest(name):
                rng = random.Random(7)
                fixture = Fixture()
                for _ in range(40):
                    actual_s = rng.uniform(0.9, 1.1)
                    times_s = [
                        actual_s * (7 if rng.random() < tail else 1) for _ in range(10)
                    ]
                    fixture.run_step(step(10, rng.uniform(*errors)), times_s)
                fixture.refresh()
                self.assertTrue(fixture.model.is_learned("batch"))
                self.assertLess(mean_error(fixture, rng, errors), factor)

    # Guards against a change of order where the declared estimates are good.
    def test_good_estimates_are_kept(self):
        for name, errors in (("exact", (1.0, 1.0)), ("within 20 %", (0.85, 1.18))):
            with self.subTest(name):
                rng = random.Random(7)
                fixture = Fixture()
                for _ in range(40):
                    times_s = [1.0 if rng.random() > 0.03 else 7.0 for _ in range(10)]
                    fixture.run_step(step(10, rng.uniform(*errors)), times_s)
                fixture.refresh()
                self.assertFalse(fixture.model.is_learned("batch"))
                state = fixture.add(step(2, 3.0))
                self.assertEqual(fixture.expected_s(state), 3.0)

    # Guards against estimates that follow the first few runs.
    def test_few_observations_change_nothing(self):
        for steps, tasks, learned in ((1, 30, False), (7, 10, False), (8, 3, True)):
            with self.subTest(steps=steps, tasks=tasks):
                fixture = Fixture()
                for _ in range(steps):
                    fixture.run_step(step(tasks, 1.0), [5.0] * tasks)
                fixture.refresh()
                self.assertEqual(fixture.model.is_learned("batch"), learned)

    def test_shrinkage_fades_with_observations(self):
        expected_s = []
        for steps in (8, 16, 64):
            fixture = Fixture()
            for _ in range(steps):
                fixture.run_step(step(4, 1.0), [5.0] * 4)
            fixture.refresh()
            expected_s.append(fixture.expected_s(fixture.add(step(4, 1.0))))
        self.assertEqual(expected_s, sorted(expected_s))
        self.assertGreater(expected_s[0], 2.0)
        self.assertGreater(expected_s[-1], 4.5)
        self.assertLess(expected_s[-1], 5.0)

    # Guards against a step whose first tasks show that it is unlike its class.
    def test_own_tasks_tell_most(self):
        table = (
            ("none ended", [], 4.0, 5.1),
            ("one ended", [0.5], 0.5, 1.2),
            ("some ended", [0.5] * 5, 0.5, 0.7),
            ("one of them an outlier", [0.5] * 5 + [50.0], 0.5, 0.7),
        )
        for name, times_s, low_s, high_s in table:
            with self.subTest(name):
                fixture = Fixture()
                for _ in range(40):
                    fixture.run_step(step(4, 1.0), [5.0] * 4)
                fixture.refresh()
                state = fixture.run_step(step(10, 1.0), times_s)
                self.assertGreaterEqual(fixture.expected_s(state), low_s)
                self.assertLess(fixture.expected_s(state), high_s)

    # Guards against a job that is given up because its estimate is far too short.
    def test_objective_follows_true_run_times(self):
        for learned, outlook in (
            (False, DeadlineOutlook.TOO_LATE),
            (True, DeadlineOutlook.ON_TIME),
        ):
            with self.subTest(learned=learned):
                fixture = Fixture()
                for _ in range(40 * learned):
                    fixture.run_step(step(4, 0.2), [4.0] * 4)
                fixture.refresh()
                state = fixture.add(step(4, 0.2), fixture.now_s - 4.5)
                key = scheduling_key(state, fixture.now_s, 0.0, fixture.model)
                self.assertEqual(key[0], outlook)

    def test_best_effort_and_standing_runs_show_no_run_time(self):
        for fields in ({"uses_leftover": True}, {"standing": True}):
            with self.subTest(**fields):
                fixture = Fixture()
                fixture.run_step(step(1, 1.0, **fields), [9.0])
                self.assertEqual(fixture.model.states(), {})

    def test_ratio_is_observed(self):
        fixture = Fixture()
        fixture.run_step(step(2, 0.5), [1.0, 2.0])
        self.assertEqual([round(ratio, 6) for ratio in fixture.ratios], [2.0, 4.0])

    def test_log_has_an_interval(self):
        fixture = Fixture()
        for _ in range(40):
            fixture.run_step(step(4, 1.0), [5.0] * 4)
        learned = []
        for _ in range(round(2 * LOG_INTERVAL_S / REFRESH_INTERVAL_S)):
            learned += fixture.refresh()
        self.assertEqual([row.queue for row in learned], ["batch", "batch"])
        self.assertAlmostEqual(learned[0].ratio, 5.0)


class CensoringTest(unittest.TestCase):
    def test_quantile_with_lower_bounds(self):
        table = (
            ("all ended", [(1, False), (2, False), (3, False)], 2),
            ("early bound has no effect", [(0, True), (1, False), (2, False)], 1),
            ("late bounds", [(1, False), (5, True), (5, True)], 5),
            ("bounds only", [(1, True), (4, True)], 4),
            ("bound between", [(1, False), (2, True), (3, False), (4, False)], 3),
        )
        for name, rows, expected in table:
            with self.subTest(name):
                self.assertEqual(censored_quantile(rows, 0.5), expected)

    # Guards against estimates from the short runs alone while the long ones still run.
    def test_running_steps_count(self):
        expected_s = []
        for running in (0, 40):
            fixture = Fixture()
            for _ in range(20):
                fixture.run_step(step(4, 1.0), [2.0] * 4)
            for _ in range(running):
                fixture.start(fixture.add(step(1, 1.0)))
            fixture.now_s += 8.0
            fixture.refresh()
            expected_s.append(fixture.expected_s(fixture.add(step(1, 1.0))))
        self.assertLess(expected_s[0], 2.0)
        self.assertGreater(expected_s[1], 4.0)

    # Guards against a run that hangs and so extends its own limit.
    def test_hung_run_does_not_count_for_its_own_lateness(self):
        fixture = Fixture()
        for _ in range(40):
            fixture.run_step(step(4, 1.0), [2.0] * 4)
        fixture.refresh()
        state = fixture.add(step(1, 1.0))
        before_s = fixture.model.peers_s(state)
        fixture.start(state)
        fixture.now_s += 60.0
        fixture.refresh()
        self.assertGreater(fixture.expected_s(state), 50.0)
        self.assertAlmostEqual(fixture.model.peers_s(state), before_s, delta=0.3)


class RemainingTest(unittest.TestCase):
    CASES = [
        # name, resumed, reports of (time, percent), time now, expected rest
        ("no report", False, [], 1.0, 3.0),
        ("as expected", False, [(1.0, 25)], 1.0, 3.0),
        ("seven times as long", False, [(7.0, 25)], 7.0, 15.9),
        ("twice as fast", False, [(1.0, 50)], 1.0, 1.3),
        ("between reports", False, [(1.0, 50)], 1.5, 0.8),
        ("past its time", False, [], 8.0, 4.0),
        ("resumed, first report", True, [(0.1, 80)], 0.1, 0.8),
        ("resumed, rate known", True, [(0.1, 60), (1.7, 80)], 1.7, 1.3),
    ]

    # Guards against a resumed run whose progress counts as made since its start.
    def test_remaining_time(self):
        for name, resumed, reports, elapsed_s, expected_s in self.CASES:
            with self.subTest(name):
                fixture = Fixture()
                for _ in range(64):
                    fixture.run_step(step(4, 1.0), [4.0] * 4)
                fixture.refresh()
                # Seven ended peers fix the expected time at 4 s.
                state = fixture.run_step(step(9, 1.0), [4.0] * 7)
                if resumed:
                    state.tasks[8].checkpoint = "c"
                run = fixture.start(state, 8)
                for report_s, percent in reports:
                    run.record_percent(percent, run.started_s + report_s)
                remaining_s = fixture.model.remaining_s(
                    run, state, run.started_s + elapsed_s
                )
                self.assertAlmostEqual(remaining_s, expected_s, delta=0.15)

    def test_declared_estimate_before_anything_is_learned(self):
        fixture = Fixture()
        state = fixture.add(step(1, 2.0))
        run = fixture.start(state)
        run.record_percent(25, fixture.now_s + 5.0)
        remaining_s = fixture.model.remaining_s(run, state, fixture.now_s + 5.0)
        self.assertEqual(remaining_s, 1.5)

    # Guards against run times that are too short because the run resumed.
    def test_run_times_of_resumed_runs(self):
        table = (
            ("from the start", 0, 4.0, [4.0]),
            ("from a third", 40, 2.4, [4.0]),
            ("from near the end", 80, 0.8, []),
            ("without a report", -1, 0.8, []),
        )
        for name, percent, took_s, expected in table:
            with self.subTest(name):
                fixture = Fixture()
                state = fixture.add(step(1, 1.0))
                state.tasks[0].checkpoint = "c"
                run = fixture.start(state)
                if percent >= 0:
                    run.record_percent(percent, run.started_s)
                fixture.end(state, run, took_s)
                times_s = [round(math.exp(value), 6) for value in state.times_log]
                self.assertEqual(times_s, expected)


class WorkerSpeedTest(unittest.TestCase):
    CASES = [
        # name, time factors of the runs of w0 by turn, lowest and highest slowdown
        ("as the others", [1.0], 1.0, 1.0),
        ("slow", [3.0], 2.0, 3.1),
        ("fast", [0.5], 0.4, 0.7),
        ("one outlier", [30.0] + [1.0] * 15, 1.0, 1.0),
        ("3 % take seven times as long", [7.0] + [1.0] * 32, 1.0, 1.0),
    ]

    # Guards against a worker that counts as slow for one long task.
    def test_slowdown(self):
        for name, factors, low, high in self.CASES:
            with self.subTest(name):
                fixture = Fixture()
                workers = [f"w{number}" for number in range(10)]
                for number in range(40):
                    times_s = [2.0] * 10
                    times_s[0] *= factors[number % len(factors)]
                    # The tasks of the others end first.
                    order = [*range(1, 10), 0]
                    fixture.run_step(
                        step(10, 1.0),
                        [times_s[index] for index in order],
                        [workers[index] for index in order],
                    )
                    fixture.refresh()
                self.assertGreaterEqual(fixture.model.slowdown("w0"), low)
                self.assertLessEqual(fixture.model.slowdown("w0"), high)
                self.assertEqual(fixture.model.slowdown("w5"), 1.0)


class SpeculativeCopyTest(unittest.TestCase):
    CASES = [
        # name, learned, time since the start, percent, whether a copy starts
        ("declared estimate exceeded", False, 2.5, -1, True),
        ("usual for its queue", True, 5.5, -1, False),
        ("hangs", True, 12.0, -1, True),
        ("late, but nearly done", True, 12.0, 95, False),
        ("late and slow", True, 12.0, 20, True),
    ]

    # Guards against copies of runs that only exceed a wrong estimate.
    def test_copies_follow_learned_times(self):
        for name, learned, elapsed_s, percent, expected in self.CASES:
            with self.subTest(name):
                fixture = Fixture()
                for _ in range(64 * learned):
                    fixture.run_step(step(4, 1.0), [4.0] * 4)
                fixture.refresh()
                state = fixture.add(step(1, 1.0, speculative=True))
                run = fixture.start(state)
                fixture.now_s += elapsed_s
                fixture.refresh()
                if percent >= 0:
                    run.record_percent(percent, fixture.now_s)
                planner = FleetPlanner(
                    FaultAttribution(),
                    CrashAttribution(lambda job_id: True),
                    InterferenceModel(),
                    Mock(ticket=lambda step, capacity: ""),
                    fixture.model,
                )
                capacities = [WorkerCapacity(worker_entry(1))]
                copies = planner.speculative_copies(
                    fixture.registry, capacities, fixture.now_s
                )
                self.assertEqual(len(list(copies)), expected)


class LeaderTest(unittest.TestCase):
    def run_until_stored(self):
        fleet = FleetSimulation(daemons=3, workers=4, run_s=3.0)
        fleet.run_for(1.0)
        for number in range(8):
            fleet.submit(0, job(f"{number:016x}", tasks=3))
        fleet.run_for(8.0)
        self.assertIsNotNone(fleet.records.read(RUN_TIMES_KEY))
        return fleet

    # Guards against a successor that learns the run times anew.
    def test_successor_reads_the_record(self):
        fleet = self.run_until_stored()
        stored = decode_run_times(fleet.records.read(RUN_TIMES_KEY).value).queues
        ((queue, classes),) = stored.items()
        for rows in classes.values():
            for declared_ms, actual_ms in rows:
                self.assertEqual(declared_ms, 1000)
                self.assertAlmostEqual(actual_ms, 3000, delta=200)
        fleet.kill(fleet.leader())
        fleet.run_for(10.0)
        self.assertTrue(fleet.nodes[fleet.leader()].leader._run_times.is_learned(queue))

    # Guards against a record that keeps a leader from loading.
    def test_malformed_record_is_ignored_and_logged(self):
        valid = encode(RunTimesRecord({"quotes": {"size:10": [(1, 1)]}}))
        table = (
            ("no record", b"\xff\x00"),
            ("cut off", valid[:-1]),
            ("other types", msgspec.msgpack.encode({"queues": {"quotes": [1]}})),
            (
                "time out of range",
                encode(RunTimesRecord({"quotes": {"size:10": [(1, 0)]}})),
            ),
        )
        for name, value in table:
            with self.subTest(name):
                fleet = FleetSimulation(daemons=0)
                fleet.records.write(RUN_TIMES_KEY, value)
                with patch("dogwoodlever._fleet_leader.log_event") as log_event:
                    fleet.add_daemon("vm0")
                    fleet.run_for(1.0)
                events = [call.args[0] for call in log_event.call_args_list]
                self.assertIn("run-times.record-ignored", events)
                self.assertIsNotNone(fleet.leader())
                self.assertEqual(
                    fleet.nodes[fleet.leader()].leader._run_times.states(), {}
                )


class RecordTest(unittest.TestCase):
    def test_successor_starts_from_the_record(self):
        fixture = Fixture()
        for _ in range(40):
            fixture.run_step(step(4, 1.0), [5.0] * 4)
        successor = Fixture()
        successor.model.restore(fixture.model.states())
        successor.refresh()
        self.assertTrue(successor.model.is_learned("batch"))
        state = successor.add(step(4, 1.0))
        self.assertGreater(successor.expected_s(state), 3.5)

    def test_record_is_bounded(self):
        fixture = Fixture()
        for number in range(2 * CLASSES_PER_QUEUE):
            for _ in range(2 * ROWS_PER_CLASS):
                fixture.run_step(step(1, 1.0, image=f"i{number}"), [2.0])
        classes = fixture.model.states()["batch"]
        self.assertLessEqual(len(classes), min(CLASSES_PER_QUEUE, STORED_CLASSES_MAX))
        for rows in classes.values():
            self.assertEqual(len(rows), STORED_ROWS_PER_CLASS)
        self.assertIn(f"image:i{2 * CLASSES_PER_QUEUE - 1}", classes)

    def test_times_out_of_range_are_refused_as_a_whole(self):
        for row in ((0, 5), (5, 0), (-1, 5), (5, 10**9)):
            with self.subTest(row=row):
                model = RunTimeModel()
                with self.assertRaises(ValueError):
                    model.restore({"batch": {"size:12": [(5, 5), row]}})
                self.assertEqual(model.states(), {})


if __name__ == "__main__":
    unittest.main()
