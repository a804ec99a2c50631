"""How much tasks on leftover cores slow the standing tasks beside them.

Answers pairs that meet and shift: which image disturbs which differs tenfold,
so the pairs are learned from the late tail latencies and those that disturb
each other are kept apart. A disturbance counts the more, the higher the load of
the standing task is; the tasks of one job share its load.
"""

import math
from dataclasses import dataclass

from dogwoodlever._slowdown import ModelState, SlowdownEstimator

# Shifts the logarithm of a latency, as a part of its target, to where the
# estimator's priors and noise, which are parts of the latency, suit it.
LOG_OFFSET = 3.0
LATENCY_MIN_MS = 0.5
# What the load itself adds to the logarithm of the latency, per mean load; from
# fits of some 25,000 samples of both sites, which gave 0.5 to 0.9.
LOAD_SLOPE = 0.7
# Bounds of a load, as a part of its mean.
LOAD_RATIO_MIN = 0.4
LOAD_RATIO_MAX = 1.7
# Uncertainty of the pressure at which an estimate of the load counts half.
HALF_WEIGHT_UNCERTAINTY = 0.15
# Standard deviations that are added to a pressure where work is placed.
CAUTION_SIGMAS = 0.5
# Weight of a new estimate of the level and of its slope in time.
LEVEL_WEIGHT = 0.5
SLOPE_WEIGHT = 0.1
# A slope is not carried on for longer.
EXTRAPOLATION_MAX_S = 1.5


def log_latency_ratio(latency_ms: float, target_ms: float) -> float:
    """Return a latency on the scale on which disturbances add up."""
    return math.log(max(latency_ms, LATENCY_MIN_MS) / target_ms) + LOG_OFFSET


@dataclass(slots=True)
class LoadTracker:
    """Load of one job's tasks, as a part of its mean, and its trend."""

    level: float = 1.0
    slope_per_s: float = 0.0
    seen_s: float = float("-inf")

    def observe(self, load: float, weight: float, now_s: float) -> None:
        """Correct the level and the slope by one estimate of weight 0 to 1."""
        elapsed_s = now_s - self.seen_s
        expected = self.at(now_s)
        error = load - expected
        if elapsed_s > EXTRAPOLATION_MAX_S:
            self.level, self.slope_per_s = expected + weight * error, 0.0
        else:
            self.level = expected + weight * LEVEL_WEIGHT * error
            correction = weight * SLOPE_WEIGHT * error / max(elapsed_s, 0.25)
            self.slope_per_s += correction
        self.seen_s = now_s

    def at(self, when_s: float) -> float:
        """Return the load expected at a time, within its bounds."""
        ahead_s = min(max(0.0, when_s - self.seen_s), EXTRAPOLATION_MAX_S)
        expected = self.level + self.slope_per_s * ahead_s
        return min(max(expected, LOAD_RATIO_MIN), LOAD_RATIO_MAX)


class InterferenceModel:
    """Estimates by pair of images and by job, on the scale of `log_latency_ratio`.

    The expected value is ``alone + LOAD_SLOPE * (load - 1) + load * pressure``,
    where `pressure` adds up what each core beside it adds at the mean load.
    """

    __slots__ = ("_estimator", "_loads")

    def __init__(self) -> None:
        self._estimator = SlowdownEstimator()
        self._loads: dict[str, LoadTracker] = {}

    def states(self) -> dict[str, ModelState]:
        """Return the pressures that were learned, to be stored."""
        return self._estimator.states()

    def restore(self, states: dict[str, ModelState]) -> None:
        """Go on from pressures that a former leader learned."""
        self._estimator.restore(states)

    def load(self, job_id: str, when_s: float) -> float:
        """Return a job's load at a time, 1 before any sample."""
        track = self._loads.get(job_id)
        return 1.0 if track is None else track.at(when_s)

    def forget_job(self, job_id: str) -> None:
        """Forget the load of a job that has ended."""
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
            Its job and image.
        latency_ms, target_ms : int
            Its tail latency and the target of it.
        colocated_cores : dict of str to float
            Cores used beside it, by image.
        now_s : float
            Present time.

        Returns
        -------
        float
            What was seen less what was expected.
        """
        seen = log_latency_ratio(latency_ms, target_ms)
        load = self.load(job_id, now_s)
        baseline = self.baseline(image, seen)
        interference = self.total(image, colocated_cores)
        expected = baseline + LOAD_SLOPE * (load - 1) + load * interference
        track = self._loads.setdefault(job_id, LoadTracker())
        estimate = (seen - baseline + LOAD_SLOPE) / (LOAD_SLOPE + interference)
        weight = 1 / (
            1
            + (self._uncertainty(image, colocated_cores) / HALF_WEIGHT_UNCERTAINTY) ** 2
        )
        track.observe(min(max(estimate, LOAD_RATIO_MIN), LOAD_RATIO_MAX), weight, now_s)
        weighted = {other: cores * load for other, cores in colocated_cores.items()}
        self._estimator.observe(image, seen - LOAD_SLOPE * (load - 1), 1.0, weighted)
        return seen - expected

    def per_core(self, image: str, aggressor: str) -> float:
        """Return what a core of `aggressor` adds at the mean load."""
        return max(0.0, self._estimator.coefficient(image, aggressor).mean_s)

    def upper_bound_per_core(self, image: str, aggressor: str) -> float:
        """Return what a core of `aggressor` may add, uncertainty included."""
        found = self._estimator.coefficient(image, aggressor)
        return max(0.0, found.mean_s + CAUTION_SIGMAS * found.deviation_s)

    def _uncertainty(self, image: str, colocated_cores: dict[str, float]) -> float:
        return sum(
            cores * self._estimator.coefficient(image, other).deviation_s
            for other, cores in colocated_cores.items()
        )

    def total(self, image: str, colocated_cores: dict[str, float]) -> float:
        """Return what cores of several images add at the mean load."""
        return sum(
            cores * self.per_core(image, o) for o, cores in colocated_cores.items()
        )

    def baseline(self, image: str, unknown: float) -> float:
        """Return the value without disturbance, `unknown` before any sample."""
        return self._estimator.baseline_s(image, 1.0, unknown)

    def limit(
        self, job_id: str, image: str, part: float, excess: float, when_s: float
    ) -> float:
        """Return the pressure under which a task is expected to meet a target.

        Parameters
        ----------
        job_id, image : str
            The standing task's.
        part : float
            Part of its target to stay below.
        excess : float
            By how much it is over what is expected of it.
        when_s : float
            Time that the load is wanted for.
        """
        limit = math.log(part) + LOG_OFFSET
        load = self.load(job_id, when_s)
        baseline = self.baseline(image, limit) + LOAD_SLOPE * (load - 1)
        return (limit - baseline - max(0.0, excess)) / load
