import math
import random
import unittest

from dogwoodlever._fleet_job import RunPhase
from dogwoodlever._interference_model import InterferenceModel, LoadTracker
from dogwoodlever._run_throttler import (
    MOVE_AFTER_S,
    PAUSE_ALL_MAX_S,
    RunThrottler,
    stalled_runs,
)
from tests.test_fleet_planner import (
    NOW_S,
    TARGET_MS,
    Fixture,
    best_effort_step,
    serving_step,
)


class Scene:
    """One standing task and some best-effort tasks on one worker."""

    def __init__(self, best_effort_runs=2, cores=2.0):
        self.fixture = Fixture(workers=1)
        self.capacity = self.fixture.capacities[0]
        self.throttler = RunThrottler(self.fixture.interference, 4.0)
        self.standing = self.fixture.run_on(self.capacity, serving_step("s"))
        self.standing.percent = 100
        self.best_effort_runs = []
        for _ in range(best_effort_runs):
            run = self.fixture.run_on(self.capacity, best_effort_step("f", cores=cores))
            run.phase = RunPhase.RUNNING
            run.percent = 10
            run.load = int(cores * 1000)
            self.best_effort_runs.append(run)

    def poll(self, latency_ms, now_s):
        self.standing.load = latency_ms
        orders = self.throttler.decide(self.capacity, now_s)
        for order in orders:
            order.run.speed_limit_percent = order.percent
        return [run.speed_limit_percent for run in self.best_effort_runs]


class RunThrottlerTest(unittest.TestCase):
    def test_known_interference_is_throttled_at_once(self):
        scene = Scene()
        scene.fixture.train("s", "f", 300)
        limits = scene.poll(200, NOW_S + 60)
        self.assertLessEqual(sum(limits), 100)

    def test_all_runs_are_paused_if_the_task_stays_over_its_target(self):
        # The model cannot attribute the latency; the platform's limit is 4 s.
        scene = Scene()
        for number in range(20):
            limits = scene.poll(200, NOW_S + 0.5 * number)
            if number * 0.5 >= PAUSE_ALL_MAX_S:
                break
        self.assertEqual(limits, [0, 0])

    def test_harmless_work_is_not_throttled(self):
        scene = Scene()
        scene.fixture.train("s", "f", 11)
        self.assertEqual(scene.poll(15, NOW_S + 60), [100, 100])

    def test_limits_end_with_the_standing_task(self):
        scene = Scene()
        for run in scene.best_effort_runs:
            run.speed_limit_percent = 0
        scene.capacity.remove(scene.standing.run_id)
        self.assertEqual(scene.poll(0, NOW_S), [100, 100])

    def test_speed_limit_of_a_former_leader_is_sent_again(self):
        # Runs that a dead leader had throttled stayed throttled for good.
        scene = Scene()
        scene.fixture.train("s", "f", 11)
        scene.fixture.registry.drop_run(
            scene.fixture.registry.find(scene.best_effort_runs[0].run_id.task), 1
        )
        scene.capacity.remove(scene.best_effort_runs[0].run_id)
        adopted = scene.fixture.registry.adopt_run(
            scene.best_effort_runs[0].run_id, "w0", "", NOW_S
        )
        adopted.percent = 10
        scene.capacity.add(adopted, best_effort_step("f"))
        scene.best_effort_runs[0] = adopted
        for number in range(4):
            limits = scene.poll(15, NOW_S + 60 + number)
        self.assertEqual(limits, [100, 100])

    def test_stalled_runs_are_found(self):
        cases = [
            # percent, speed limit, seconds since progress, the same on the worker's
            # clock, is stalled
            (10, 100, 3.0, 3.0, True),
            (10, 100, 3.0, 2.94, True),
            (10, 100, 3.0, 1.0, False),
            (10, 100, 1.0, 1.0, False),
            (10, 0, 3.0, 3.0, False),
            (100, 100, 3.0, 3.0, False),
        ]
        for percent, limit, stalled_s, reported_s, expected in cases:
            with self.subTest(
                percent=percent,
                limit=limit,
                stalled_s=stalled_s,
                reported_s=reported_s,
            ):
                scene = Scene(best_effort_runs=1)
                run = scene.best_effort_runs[0]
                run.percent, run.speed_limit_percent = percent, limit
                run.progressed_s = NOW_S - stalled_s
                run.progressed_clock_ms = 5_000
                clock_ms = 5_000 + int(reported_s * 1000)
                stalled = stalled_runs(scene.capacity, NOW_S, clock_ms)
                self.assertEqual(stalled == [run], expected)

    def test_throttled_runs_move_after_a_delay(self):
        scene = Scene()
        for run in scene.best_effort_runs:
            run.speed_limit_percent = 20
        self.assertEqual(scene.throttler.runs_to_move(scene.capacity, NOW_S), [])
        runs_to_move = scene.throttler.runs_to_move(
            scene.capacity, NOW_S + MOVE_AFTER_S + 0.1
        )
        self.assertEqual([run for run, _ in runs_to_move], scene.best_effort_runs)

    def test_repeated_report_is_no_new_sample(self):
        scene = Scene()
        scene.poll(100, NOW_S)
        self.assertEqual(scene.throttler.decide(scene.capacity, NOW_S + 0.1), [])


class InterferenceModelTest(unittest.TestCase):
    def test_pairs_are_learned_under_oscillating_load(self):
        rng = random.Random(5)
        interference = InterferenceModel()
        truth = {"loud": 0.35, "quiet": 0.03}
        for number in range(600):
            # Six tasks of the job, each beside different work, sampled in turn.
            now_s = number / 12
            load = 1 + 0.5 * math.sin(now_s * 2 * math.pi / 12)
            colocated_cores = {image: rng.uniform(0, 3) for image in truth}
            interference_sum = sum(
                truth[image] * cores for image, cores in colocated_cores.items()
            )
            level = -1.0 + 0.7 * (load - 1) + load * interference_sum
            latency_ms = TARGET_MS * math.exp(level + rng.gauss(0, 0.1))
            interference.observe(
                "j", "s", latency_ms, TARGET_MS, colocated_cores, now_s
            )
        self.assertAlmostEqual(interference.per_core("s", "loud"), 0.35, delta=0.1)
        self.assertAlmostEqual(interference.per_core("s", "quiet"), 0.03, delta=0.05)

    def test_successor_restores_the_learned_state(self):
        fixture = Fixture()
        fixture.train("s", "loud", 300)
        successor = InterferenceModel()
        successor.restore(fixture.interference.states())
        self.assertEqual(
            successor.per_core("s", "loud"), fixture.interference.per_core("s", "loud")
        )
        self.assertGreater(successor.per_core("s", "loud"), 0.3)

    def test_load_is_extrapolated_for_a_bounded_time(self):
        tracker = LoadTracker()
        for number in range(6):
            tracker.observe(1.0 + 0.1 * number, 1.0, number * 0.5)
        soon, later = tracker.at(3.0), tracker.at(60.0)
        self.assertGreater(soon, 1.3)
        self.assertLessEqual(later, 1.7)


if __name__ == "__main__":
    unittest.main()
