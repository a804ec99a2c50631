"""Control of the interference of batch work with services on a worker."""

from dataclasses import dataclass, field
from enum import StrEnum

from dogwoodlever._slowdown import SlowdownEstimator

THROTTLE_MIN = 0.1
THROTTLE_BACKOFF_FACTOR = 0.7
THROTTLE_RELEASE_PER_S = 0.03
LATENCY_LIMIT_FRACTION = 0.8
SAMPLES_TO_EVICT = 6


class InterferenceAction(StrEnum):
    """Action of the interference controller."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"


@dataclass(slots=True, frozen=True)
class ServiceSample:
    """One measurement of a service that shares a worker with batch work.

    Attributes
    ----------
    latency_s, target_s : float
        Measured tail latency and its target.
    load : float
        Load of the service when measured, 0 to 1.
    class_cores : dict of str to float
        Cores that each class used at that time, with its throttle applied.
    """

    service: str
    latency_s: float
    target_s: float
    load: float
    class_cores: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class InterferenceDecision:
    """Action to take, and the class to evict a task of, if any."""

    action: InterferenceAction
    task_class: str = ""


class InterferenceController:
    """Throttle, and as a last resort evict, batch work that slows a service.

    The classes that interfere most are throttled first and immediately; classes
    that interfere little keep their cores. Throttles are released at a slow rate.
    A task is evicted only if the target is missed for several samples in a row
    although the class that interferes most is at the lowest throttle.

    Parameters
    ----------
    estimator : SlowdownEstimator
        Estimator shared by the workers of a cell.
    """

    __slots__ = ("_breaches", "_last_sample_s", "_estimator", "throttles")

    def __init__(self, estimator: SlowdownEstimator) -> None:
        self._estimator = estimator
        self._breaches = 0
        self._last_sample_s = float("inf")
        self.throttles: dict[str, float] = {}

    def throttle(self, task_class: str) -> float:
        """Return the fraction of its cores that a class may use, 0 to 1."""
        return self.throttles.get(task_class, 1.0)

    def throttling_max(self) -> float:
        """Return the reduction of the most throttled class, 0 to 1."""
        return 1.0 - min(self.throttles.values(), default=1.0)

    def observe(self, sample: ServiceSample, now_s: float) -> InterferenceDecision:
        """Process a sample: update the throttles and choose an action."""
        self._estimator.observe(
            sample.service, sample.latency_s, sample.load, sample.class_cores
        )
        elapsed_s = max(0.0, now_s - self._last_sample_s)
        self._last_sample_s = now_s
        allowed = self._allowed_fractions(sample)
        for task_class, fraction in allowed.items():
            current = self.throttle(task_class)
            released = current + THROTTLE_RELEASE_PER_S * elapsed_s
            self._set_throttle(
                task_class, min(fraction, released) if fraction > current else fraction
            )
        return self._decide(sample)

    def _set_throttle(self, task_class: str, fraction: float) -> None:
        fraction = max(THROTTLE_MIN, fraction)
        if fraction >= 1.0:
            self.throttles.pop(task_class, None)
        else:
            self.throttles[task_class] = fraction

    def _allowed_fractions(self, sample: ServiceSample) -> dict[str, float]:
        """Return the fraction of its cores that each class may use."""
        breached = sample.latency_s > sample.target_s
        headroom_s = self._estimator.headroom_s(
            sample.service, sample.load, sample.target_s * LATENCY_LIMIT_FRACTION
        )
        allowed = {}
        for task_class in self._by_interference(sample):
            coefficient = self._estimator.coefficient(sample.service, task_class)
            current = self.throttle(task_class)
            unthrottled_cores = sample.class_cores[task_class] / current
            added_latency_s = coefficient.upper_bound_s() * unthrottled_cores
            fraction = (
                1.0
                if added_latency_s <= headroom_s
                else max(0.0, headroom_s / added_latency_s)
            )
            if breached and fraction < 1.0:
                fraction = min(fraction, current * THROTTLE_BACKOFF_FACTOR)
            allowed[task_class] = fraction
            headroom_s = max(
                0.0, headroom_s - added_latency_s * max(fraction, THROTTLE_MIN)
            )
        return allowed

    def _by_interference(self, sample: ServiceSample) -> list[str]:
        """Return the classes in use, those that interfere least first."""
        return sorted(
            (c for c, cores in sample.class_cores.items() if cores > 0),
            key=lambda c: (self._estimator.coefficient(sample.service, c).mean_s, c),
        )

    def _decide(self, sample: ServiceSample) -> InterferenceDecision:
        classes = self._by_interference(sample)
        action = (
            InterferenceAction.THROTTLE if self.throttles else InterferenceAction.NONE
        )
        if not classes:
            return InterferenceDecision(action)
        worst = classes[-1]
        at_minimum = self.throttle(worst) <= THROTTLE_MIN
        breached = sample.latency_s > sample.target_s
        self._breaches = self._breaches + 1 if breached and at_minimum else 0
        if self._breaches < SAMPLES_TO_EVICT:
            return InterferenceDecision(action)
        self._breaches = 0
        return InterferenceDecision(InterferenceAction.EVICT, worst)
