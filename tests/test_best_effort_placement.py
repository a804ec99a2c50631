"""Placement of best-effort work beside standing tasks.

Patterns: a burst of an unknown image, moments of low load, tasks that are starting,
and hundreds of workers of which few have cores to spare.
"""

import unittest
from unittest.mock import patch

from dogwoodlever._fleet_headroom import UNTESTED_TASKS_MAX
from dogwoodlever._fleet_planner import FleetPlanner
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._run_throttler import RunThrottler
from tests.test_fleet_planner import (
    NOW_S,
    TARGET_MS,
    Fixture,
    best_effort_step,
    serving_step,
    step,
)

USUAL_MS = TARGET_MS * 0.45


class BestEffortPlacementTest(unittest.TestCase):
    def start_standing(self, workers=8):
        fixture = Fixture(workers=workers)
        for capacity in fixture.capacities:
            run = fixture.run_on(capacity, serving_step("s"))
            run.percent = 100
        return fixture

    def observe(self, fixture, job_id, latency_ms, colocated_cores, samples=12):
        for number in range(samples):
            fixture.interference.observe(
                job_id,
                "s",
                latency_ms,
                TARGET_MS,
                colocated_cores,
                NOW_S + number * 0.3 - samples * 0.3,
            )

    def observe_usual(self, fixture):
        for capacity in fixture.capacities:
            run, _ = capacity.serving_runs()[0]
            self.observe(fixture, run.run_id.task.job_id, USUAL_MS, {})

    def test_untested_images_are_tried_with_few_tasks(self):
        # A burst of one image arrives; it may harm every standing task.
        fixture = self.start_standing()
        self.observe_usual(fixture)
        fixture.add("burst", [best_effort_step("new", tasks=16)], "batch")
        self.assertEqual(len(fixture.plan()), UNTESTED_TASKS_MAX)
        # No more are placed while they run and nothing has been learned.
        self.assertEqual(fixture.plan(), [])

    def test_images_that_proved_harmless_are_placed_freely(self):
        fixture = self.start_standing()
        self.observe_usual(fixture)
        fixture.add("burst", [best_effort_step("known", tasks=16)], "batch")
        self.observe(fixture, "other", USUAL_MS, {"known": 2.0})
        self.assertGreaterEqual(len(fixture.plan()), 8)

    def test_harmful_image_is_not_placed_while_the_load_is_low(self):
        # The load of the standing tasks swings; the best-effort task outlasts the low.
        fixture = self.start_standing()
        self.observe_usual(fixture)
        self.observe(fixture, "other", TARGET_MS * 1.3, {"harmful": 2.0})
        for capacity in fixture.capacities:
            run, _ = capacity.serving_runs()[0]
            self.observe(fixture, run.run_id.task.job_id, TARGET_MS * 0.3, {}, 4)
        fixture.add("burst", [best_effort_step("harmful", tasks=4)], "batch")
        self.assertEqual(fixture.plan(), [])


class ManyWorkersTest(unittest.TestCase):
    def test_workers_without_spare_cores_are_not_tried(self):
        # Hundreds of workers are full, and many best-effort steps wait in each round.
        fixture = Fixture(workers=270)
        for capacity in fixture.capacities[3:]:
            fixture.run_on(capacity, step(cores=16.0))
        for number in range(40):
            fixture.add(f"j{number}", [best_effort_step(f"i{number}", 2)], "batch")
        cost = FleetPlanner._cost
        tried = []

        def count(planner, capacity, *arguments):
            tried.append(capacity.entry.worker_id)
            return cost(planner, capacity, *arguments)

        with patch.object(FleetPlanner, "_cost", count):
            placed = fixture.plan()
        self.assertGreater(len(placed), 10)
        self.assertEqual(set(tried), {"w0", "w1", "w2"})

    def test_one_report_of_a_worker_reads_each_pair_once(self):
        # A worker with many standing and best-effort tasks reports often.
        fixture = Fixture(workers=1, cores=64)
        capacity = fixture.capacities[0]
        for _ in range(8):
            run = fixture.run_on(capacity, serving_step("s"))
            run.percent, run.load = 100, 10
        for number in range(8):
            run = fixture.run_on(capacity, best_effort_step(f"i{number % 2}"))
            run.percent = 50
        throttler = RunThrottler(fixture.interference, 4.0)
        with (
            patch.object(InterferenceModel, "per_core", return_value=0.01) as per_core,
            patch.object(InterferenceModel, "observe", return_value=0.0),
        ):
            throttler.decide(capacity, NOW_S)
        self.assertLessEqual(per_core.call_count, 8)


class InterferenceModelTest(unittest.TestCase):
    def train(self, first_latency_ms):
        model = InterferenceModel()
        model.observe("j", "s", first_latency_ms, TARGET_MS, {}, NOW_S)
        for number in range(40):
            now_s = NOW_S + number * 0.3
            model.observe("j", "s", USUAL_MS, TARGET_MS, {}, now_s)
        return model

    def test_sample_of_a_starting_task_does_not_set_the_scale(self):
        usual = self.train(USUAL_MS)
        starting = self.train(USUAL_MS * 50)
        self.assertAlmostEqual(
            usual.deviation_per_core("s", "new"),
            starting.deviation_per_core("s", "new"),
            places=3,
        )

    def test_outliers_leave_unrelated_pairs_as_they_are(self):
        model = self.train(USUAL_MS)
        for _ in range(20):
            model.observe("j", "s", USUAL_MS, TARGET_MS, {"quiet": 1.0}, NOW_S)
        before = model.deviation_per_core("s", "quiet")
        for number in range(20):
            latency_ms = TARGET_MS * (3.0 if number % 2 else 0.3)
            model.observe("j", "s", latency_ms, TARGET_MS, {"wild": 1.0}, NOW_S)
        self.assertLess(model.deviation_per_core("s", "quiet"), 2 * before)


if __name__ == "__main__":
    unittest.main()
