import math
import random
import unittest

from dogwoodlever._fleet_job import RunPhase
from dogwoodlever._interference_model import InterferenceModel, LoadTracker
from dogwoodlever._run_throttler import (
    MOVE_AFTER_S,
    STOP_ALL_MAX_S,
    RunThrottler,
    stalled_runs,
)
from tests.test_fleet_planner import NOW_S, TARGET_MS, Fixture, filling, serving


class Scene:
    """One standing task beside some filling tasks on one worker."""

    def __init__(self, fills=2, cores=2.0):
        self.fixture = Fixture(workers=1)
        self.capacity = self.fixture.capacities[0]
        self.throttler = RunThrottler(self.fixture.interference, 4.0)
        self.standing = self.fixture.place(self.capacity, serving("s"))
        self.standing.percent = 100
        self.fills = []
        for _ in range(fills):
            run = self.fixture.place(self.capacity, filling("f", cores=cores))
            run.phase = RunPhase.RUNNING
            run.percent = 10
            run.load = int(cores * 1000)
            self.fills.append(run)

    def look(self, latency_ms, now_s):
        self.standing.load = latency_ms
        orders = self.throttler.decide(self.capacity, now_s)
        for order in orders:
            order.run.speed_limit_percent = order.percent
        return [run.speed_limit_percent for run in self.fills]


class PacerTest(unittest.TestCase):
    def test_known_disturbance_is_slowed_at_once(self):
        scene = Scene()
        scene.fixture.learn("s", "f", 300)
        limits = scene.look(200, NOW_S + 60)
        self.assertLessEqual(sum(limits), 100)

    def test_all_is_slowed_if_the_task_stays_over_its_target(self):
        # Pattern: the model does not know why; the bound of the platform is 4 s.
        scene = Scene()
        for number in range(20):
            limits = scene.look(200, NOW_S + 0.5 * number)
            if number * 0.5 >= STOP_ALL_MAX_S:
                break
        self.assertEqual(limits, [0, 0])

    def test_harmless_work_keeps_its_speed(self):
        scene = Scene()
        scene.fixture.learn("s", "f", 11)
        self.assertEqual(scene.look(15, NOW_S + 60), [100, 100])

    def test_freed_once_the_standing_task_is_gone(self):
        scene = Scene()
        for run in scene.fills:
            run.speed_limit_percent = 0
        scene.capacity.remove(scene.standing.run_id)
        self.assertEqual(scene.look(0, NOW_S), [100, 100])

    def test_pace_of_a_former_leader_is_ordered_anew(self):
        # Pattern: work that a dead leader had slowed stayed slow for good.
        scene = Scene()
        scene.fixture.learn("s", "f", 11)
        scene.fixture.registry.drop_run(
            scene.fixture.registry.find(scene.fills[0].run_id.task), 1
        )
        scene.capacity.remove(scene.fills[0].run_id)
        adopted = scene.fixture.registry.adopt_run(
            scene.fills[0].run_id, "w0", "", NOW_S
        )
        adopted.percent = 10
        scene.capacity.add(adopted, filling("f"))
        scene.fills[0] = adopted
        for number in range(4):
            limits = scene.look(15, NOW_S + 60 + number)
        self.assertEqual(limits, [100, 100])

    def test_work_that_stands_still_is_found(self):
        cases = [
            # percent, pace, seconds since progress, stalled
            (10, 100, 3.0, True),
            (10, 100, 1.0, False),
            (10, 0, 3.0, False),
            (100, 100, 3.0, False),
        ]
        for percent, pace, still_s, expected in cases:
            with self.subTest(percent=percent, pace=pace, still_s=still_s):
                scene = Scene(fills=1)
                run = scene.fills[0]
                run.percent, run.speed_limit_percent = percent, pace
                run.progressed_s = NOW_S - still_s
                found = stalled_runs(scene.capacity, NOW_S)
                self.assertEqual(found == [run], expected)

    def test_slowed_work_asks_to_move_after_a_while(self):
        scene = Scene()
        for run in scene.fills:
            run.speed_limit_percent = 20
        self.assertEqual(scene.throttler.runs_to_move(scene.capacity, NOW_S), [])
        found = scene.throttler.runs_to_move(scene.capacity, NOW_S + MOVE_AFTER_S + 0.1)
        self.assertEqual([run for run, _ in found], scene.fills)

    def test_same_figure_is_no_new_sample(self):
        scene = Scene()
        scene.look(100, NOW_S)
        self.assertEqual(scene.throttler.decide(scene.capacity, NOW_S + 0.1), [])


class InterferenceTest(unittest.TestCase):
    def test_pairs_are_learned_under_a_wave_of_load(self):
        drawn = random.Random(5)
        interference = InterferenceModel()
        truth = {"loud": 0.35, "quiet": 0.03}
        for number in range(600):
            # Six tasks of the job, each beside other work, sampled in turn.
            now_s = number / 12
            load = 1 + 0.5 * math.sin(now_s * 2 * math.pi / 12)
            colocated_cores = {image: drawn.uniform(0, 3) for image in truth}
            per_core = sum(
                truth[image] * cores for image, cores in colocated_cores.items()
            )
            level = -1.0 + 0.7 * (load - 1) + load * per_core
            latency_ms = TARGET_MS * math.exp(level + drawn.gauss(0, 0.1))
            interference.observe(
                "j", "s", latency_ms, TARGET_MS, colocated_cores, now_s
            )
        self.assertAlmostEqual(interference.per_core("s", "loud"), 0.35, delta=0.1)
        self.assertAlmostEqual(interference.per_core("s", "quiet"), 0.03, delta=0.05)

    def test_successor_goes_on_from_what_was_learned(self):
        fixture = Fixture()
        fixture.learn("s", "loud", 300)
        successor = InterferenceModel()
        successor.restore(fixture.interference.states())
        self.assertEqual(
            successor.per_core("s", "loud"), fixture.interference.per_core("s", "loud")
        )
        self.assertGreater(successor.per_core("s", "loud"), 0.3)

    def test_load_is_carried_on_for_a_bounded_time(self):
        track = LoadTracker()
        for number in range(6):
            track.observe(1.0 + 0.1 * number, 1.0, number * 0.5)
        soon, later = track.at(3.0), track.at(60.0)
        self.assertGreater(soon, 1.3)
        self.assertLessEqual(later, 1.7)


if __name__ == "__main__":
    unittest.main()
