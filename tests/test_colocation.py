import unittest

from benchmarks.colocation import (
    ControllerPolicy,
    FixedCapPolicy,
    ThresholdPolicy,
    UnlimitedPolicy,
    simulate,
)
from dogwoodlever.colocation import (
    InterferenceAction,
    InterferenceController,
    ServiceSample,
    SlowdownEstimator,
)

TARGET_S = 0.25


def train(estimator, samples=200, quiet_s=0.0, loud_s=0.02):
    """Train an estimator with the latency that two classes add to a service."""
    for number in range(samples):
        load = 0.2 + 0.6 * ((number * 7) % 11) / 10
        cores = {"quiet": float(number % 3), "loud": float((number // 3) % 4)}
        extra_s = load * (quiet_s * cores["quiet"] + loud_s * cores["loud"])
        estimator.observe("desk", 0.1 + 0.05 * load + extra_s, load, cores)


class SlowdownEstimatorTest(unittest.TestCase):
    def test_learns_interference_by_class(self):
        estimator = SlowdownEstimator()
        train(estimator)
        table = (("quiet", 0.0), ("loud", 0.02))
        for name, expected_s in table:
            with self.subTest(name):
                found = estimator.coefficient("desk", name)
                self.assertAlmostEqual(found.mean_s, expected_s, delta=0.002)
        headroom_s = estimator.headroom_s("desk", 0.5, 0.2)
        self.assertAlmostEqual(headroom_s * 0.5, 0.2 - 0.125, delta=0.005)

    def test_learns_a_shift_within_two_hundred_samples(self):
        estimator = SlowdownEstimator()
        train(estimator, 400)
        train(estimator, 200, quiet_s=0.03, loud_s=0.0)
        quiet = estimator.coefficient("desk", "quiet").mean_s
        loud = estimator.coefficient("desk", "loud").mean_s
        self.assertGreater(quiet, loud)

    def test_no_headroom_for_an_unmeasured_service(self):
        self.assertEqual(SlowdownEstimator().headroom_s("desk", 0.5, 1.0), 0.0)


class InterferenceControllerTest(unittest.TestCase):
    def make(self):
        estimator = SlowdownEstimator()
        train(estimator)
        return InterferenceController(estimator)

    def sample(self, latency_s, load, controller):
        cores = {c: 8.0 * controller.throttle(c) for c in ("quiet", "loud")}
        return ServiceSample("desk", latency_s, TARGET_S, load, cores)

    def test_throttles_the_class_that_interferes(self):
        controller = self.make()
        decision = controller.observe(self.sample(0.29, 0.9, controller), 10.0)
        self.assertEqual(decision.action, InterferenceAction.THROTTLE)
        self.assertEqual(controller.throttle("quiet"), 1.0)
        self.assertLess(controller.throttle("loud"), 0.6)

    def test_releases_throttle_slowly(self):
        controller = self.make()
        controller.observe(self.sample(0.29, 0.9, controller), 10.0)
        throttled = controller.throttle("loud")
        controller.observe(self.sample(0.11, 0.2, controller), 12.0)
        self.assertLessEqual(controller.throttle("loud") - throttled, 0.07)
        for second in range(14, 80, 2):
            controller.observe(self.sample(0.11, 0.2, controller), float(second))
        self.assertEqual(controller.throttle("loud"), 1.0)

    def test_evicts_only_if_the_lowest_throttle_does_not_help(self):
        controller = self.make()
        actions = [
            controller.observe(self.sample(0.5, 0.9, controller), 10.0 + 2 * n).action
            for n in range(20)
        ]
        self.assertIn(InterferenceAction.EVICT, actions)
        # The sixth sample in a row is the first that may evict.
        self.assertGreaterEqual(actions.index(InterferenceAction.EVICT), 5)


class PolicyComparisonTest(unittest.TestCase):
    def test_meets_latency_targets_with_more_batch_work_and_fewer_evictions(self):
        ours, fixed = simulate(ControllerPolicy()), simulate(FixedCapPolicy())
        threshold, nothing = simulate(ThresholdPolicy()), simulate(UnlimitedPolicy())
        self.assertGreaterEqual(
            ours.workers_meeting_objective(), fixed.workers_meeting_objective()
        )
        self.assertGreaterEqual(ours.batch_core_s, 1.5 * fixed.batch_core_s)
        self.assertLess(ours.evictions, threshold.evictions)
        self.assertLess(
            nothing.workers_meeting_objective(), ours.workers_meeting_objective()
        )
