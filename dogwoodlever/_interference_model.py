"""Model of the slowdown of standing tasks by best-effort tasks on the same worker.

Interference differs tenfold between pairs of images and changes over time, so it is
learned from the delayed tail latencies, by pair, to keep harmful pairs apart. It grows
with the load of the standing task; all tasks of a job have the same load.
"""

import math
from dataclasses import dataclass

from dogwoodlever._slowdown import ModelState, SlowdownEstimator

# Shifts the logarithm of latency / target into the range for which the estimator's
# priors and noise, which are ratios of the latency, are suited.
LOG_OFFSET = 3.0
# Usual value on this scale, at about half of the target. The first samples of a task
# that is starting are many times higher.
USUAL_VALUE = 2.2
LATENCY_MIN_MS = 0.5
# Increase of the logarithm of the latency per unit of relative load. Fits of about
# 25,000 samples from both sites gave 0.5 to 0.9.
LOAD_SLOPE = 0.7
# Bounds of the relative load, which is 1 at the mean load.
LOAD_RATIO_MIN = 0.4
LOAD_RATIO_MAX = 1.7
# Standard deviation of the interference at which a load estimate has half weight.
HALF_WEIGHT_UNCERTAINTY = 0.15
# Standard deviations added to the expected interference for placement.
CAUTION_SIGMAS = 0.5
# Weights of a new load estimate in the level and in its slope over time.
LEVEL_WEIGHT = 0.5
SLOPE_WEIGHT = 0.1
# Longest extrapolation of the slope.
EXTRAPOLATION_MAX_S = 1.5


def log_latency_ratio(latency_ms: float, target_ms: float) -> float:
    """Return a latency on the logarithmic scale on which interference is additive."""
    return math.log(max(latency_ms, LATENCY_MIN_MS) / target_ms) + LOG_OFFSET


@dataclass(slots=True)
class LoadTracker:
    """Relative load of one job's tasks, which is 1 at the mean, and its trend."""

    level: float = 1.0
    slope_per_s: float = 0.0
    updated_s: float = float("-inf")

    def observe(self, load: float, weight: float, now_s: float) -> None:
        """Update the level and the slope with an estimate of weight 0 to 1."""
        elapsed_s = now_s - self.updated_s
        expected = self.at(now_s)
        error = load - expected
        if elapsed_s > EXTRAPOLATION_MAX_S:
            self.level, self.slope_per_s = expected + weight * error, 0.0
        else:
            self.level = expected + weight * LEVEL_WEIGHT * error
            correction = weight * SLOPE_WEIGHT * error / max(elapsed_s, 0.25)
            self.slope_per_s += correction
        self.updated_s = now_s

    def at(self, when_s: float) -> float:
        """Return the expected load at a time, within its bounds."""
        ahead_s = min(max(0.0, when_s - self.updated_s), EXTRAPOLATION_MAX_S)
        expected = self.level + self.slope_per_s * ahead_s
        return min(max(expected, LOAD_RATIO_MIN), LOAD_RATIO_MAX)


class InterferenceModel:
    """Estimates by pair of images and by job, on the scale of `log_latency_ratio`.

    The expected value is ``baseline + LOAD_SLOPE * (load - 1) + load * interference``,
    where `interference` sums what each co-located core adds at the mean load.
    """

    __slots__ = ("_estimator", "_loads")

    def __init__(self) -> None:
        self._estimator = SlowdownEstimator(USUAL_VALUE)
        self._loads: dict[str, LoadTracker] = {}

    def states(self) -> dict[str, ModelState]:
        """Return the learned state, to be stored."""
        return self._estimator.states()

    def restore(self, states: dict[str, ModelState]) -> list[str]:
        """Restore the state that a former leader stored; return unusable images."""
        return self._estimator.restore(states)

    def load(self, job_id: str, when_s: float) -> float:
        """Return a job's expected load at a time, 1 before the first sample."""
        tracker = self._loads.get(job_id)
        return 1.0 if tracker is None else tracker.at(when_s)

    def drop_job(self, job_id: str) -> None:
        """Drop the load of a job that has ended."""
        self._loads.pop(job_id, None)

    def observe(
        self,
        job_id: str,
        image: str,
        latency_ms: int,
        target_ms: int,
        colocated_cores: dict[str, float],
        now_s: float,
    ) -> float:
        """Record a sample of a standing task.

        Parameters
        ----------
        job_id, image : str
            Job and image of the task.
        latency_ms, target_ms : int
            Tail latency and its target.
        colocated_cores : dict of str to float
            Co-located cores in use, by image.
        now_s : float
            Current time.

        Returns
        -------
        float
            Measured value minus the expected one.
        """
        measured = log_latency_ratio(latency_ms, target_ms)
        load = self.load(job_id, now_s)
        baseline = self.baseline(image, measured)
        interference = self.total(image, colocated_cores)
        expected = baseline + LOAD_SLOPE * (load - 1) + load * interference
        tracker = self._loads.setdefault(job_id, LoadTracker())
        estimate = (measured - baseline + LOAD_SLOPE) / (LOAD_SLOPE + interference)
        weight = 1 / (
            1
            + (self._uncertainty(image, colocated_cores) / HALF_WEIGHT_UNCERTAINTY) ** 2
        )
        tracker.observe(
            min(max(estimate, LOAD_RATIO_MIN), LOAD_RATIO_MAX), weight, now_s
        )
        weighted = {other: cores * load for other, cores in colocated_cores.items()}
        self._estimator.observe(
            image, measured - LOAD_SLOPE * (load - 1), 1.0, weighted
        )
        return measured - expected

    def per_core(self, image: str, aggressor: str) -> float:
        """Return what a core of `aggressor` adds at the mean load."""
        return max(0.0, self._estimator.coefficient(image, aggressor).mean_s)

    def upper_bound_per_core(self, image: str, aggressor: str) -> float:
        """Return what a core of `aggressor` adds, with a margin for the uncertainty."""
        coefficient = self._estimator.coefficient(image, aggressor)
        return max(0.0, coefficient.mean_s + CAUTION_SIGMAS * coefficient.deviation_s)

    def deviation_per_core(self, image: str, aggressor: str) -> float:
        """Return the standard deviation of what a core of `aggressor` adds."""
        return self._estimator.coefficient(image, aggressor).deviation_s

    def _uncertainty(self, image: str, colocated_cores: dict[str, float]) -> float:
        return sum(
            cores * self._estimator.coefficient(image, other).deviation_s
            for other, cores in colocated_cores.items()
        )

    def total(self, image: str, colocated_cores: dict[str, float]) -> float:
        """Return the sum of what cores of several images add at the mean load."""
        return sum(
            cores * self.per_core(image, o) for o, cores in colocated_cores.items()
        )

    def baseline(self, image: str, default: float) -> float:
        """Return the value without interference, `default` before the first sample."""
        return self._estimator.baseline_s(image, 1.0, default)

    def limit(
        self,
        job_id: str,
        image: str,
        target_ratio: float,
        excess: float,
        when_s: float,
        load_min: float = 0.0,
    ) -> float:
        """Return the interference up to which a task is expected to meet its target.

        Parameters
        ----------
        job_id, image : str
            Job and image of the standing task.
        target_ratio : float
            Ratio of the target to stay below.
        excess : float
            Measured value of the task minus the expected one.
        when_s : float
            Time for which the load is predicted.
        load_min : float
            Least load to assume.
        """
        limit = math.log(target_ratio) + LOG_OFFSET
        load = max(load_min, self.load(job_id, when_s))
        baseline = self.baseline(image, limit) + LOAD_SLOPE * (load - 1)
        return (limit - baseline - max(0.0, excess)) / load
