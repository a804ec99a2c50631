"""Guard of the services on one worker against the batch work beside them."""

from dataclasses import dataclass, field
from enum import StrEnum

from dogwoodlever._slowdown import SlowdownEstimator

THROTTLE_MIN = 0.1
BREACH_FACTOR = 0.7
RELEASE_PER_S = 0.03
LIMIT_PART = 0.8
SAMPLES_TO_EVICT = 6


class GuardStep(StrEnum):
    """What the guard asks for."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"


@dataclass(slots=True, frozen=True)
class Sample:
    """One measurement of a service beside batch work.

    Attributes
    ----------
    latency_s, target_s : float
        Tail latency measured, and the objective for it.
    load : float
        The service's load when measured, 0 to 1.
    class_cores : dict of str to float
        Cores that each class used then, throttled as it was.
    """

    service: str
    latency_s: float
    target_s: float
    load: float
    class_cores: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GuardDecision:
    """The guard's step and the class to evict, if it is to evict."""

    step: GuardStep
    task_class: str = ""


class WorkerGuard:
    """Throttle, and at last evict, the batch work that disturbs a service.

    Classes that disturb little keep their cores and those that disturb most
    give theirs up first, at once. What was taken returns by a small rate, and
    a task is evicted only if the lowest throttle did not help for several
    samples in a row.

    Parameters
    ----------
    estimator : SlowdownEstimator
        Shared over the workers of a cell.
    """

    __slots__ = ("_breaches", "_changed_s", "_estimator", "throttles")

    def __init__(self, estimator: SlowdownEstimator) -> None:
        self._estimator = estimator
        self._breaches = 0
        self._changed_s = float("inf")
        self.throttles: dict[str, float] = {}

    def throttle(self, task_class: str) -> float:
        """Return the part of its cores that a class may use, 0 to 1."""
        return self.throttles.get(task_class, 1.0)

    def strain(self) -> float:
        """Return how far the hardest throttled class is held back, 0 to 1."""
        return 1.0 - min(self.throttles.values(), default=1.0)

    def note(self, sample: Sample, now_s: float) -> GuardDecision:
        """Record a sample and decide."""
        self._estimator.note(
            sample.service, sample.latency_s, sample.load, sample.class_cores
        )
        elapsed_s = max(0.0, now_s - self._changed_s)
        self._changed_s = now_s
        allowed = self._allowed(sample)
        for task_class, part in allowed.items():
            present = self.throttle(task_class)
            released = present + RELEASE_PER_S * elapsed_s
            self._set(task_class, min(part, released) if part > present else part)
        return self._decide(sample)

    def _set(self, task_class: str, part: float) -> None:
        part = max(THROTTLE_MIN, part)
        if part >= 1.0:
            self.throttles.pop(task_class, None)
        else:
            self.throttles[task_class] = part

    def _allowed(self, sample: Sample) -> dict[str, float]:
        """Return the part of its cores that each class may use."""
        breached = sample.latency_s > sample.target_s
        headroom_s = self._estimator.headroom_s(
            sample.service, sample.load, sample.target_s * LIMIT_PART
        )
        allowed = {}
        for task_class in self._least_disturbing_first(sample):
            coefficient = self._estimator.coefficient(sample.service, task_class)
            present = self.throttle(task_class)
            full = sample.class_cores[task_class] / present
            wanted_s = coefficient.upper_bound_s() * full
            part = 1.0 if wanted_s <= headroom_s else max(0.0, headroom_s / wanted_s)
            if breached and part < 1.0:
                part = min(part, present * BREACH_FACTOR)
            allowed[task_class] = part
            headroom_s = max(0.0, headroom_s - wanted_s * max(part, THROTTLE_MIN))
        return allowed

    def _least_disturbing_first(self, sample: Sample) -> list[str]:
        return sorted(
            (c for c, cores in sample.class_cores.items() if cores > 0),
            key=lambda c: (self._estimator.coefficient(sample.service, c).mean_s, c),
        )

    def _decide(self, sample: Sample) -> GuardDecision:
        classes = self._least_disturbing_first(sample)
        step = GuardStep.THROTTLE if self.throttles else GuardStep.NONE
        if not classes:
            return GuardDecision(step)
        worst = classes[-1]
        helpless = self.throttle(worst) <= THROTTLE_MIN
        breached = sample.latency_s > sample.target_s
        self._breaches = self._breaches + 1 if breached and helpless else 0
        if self._breaches < SAMPLES_TO_EVICT:
            return GuardDecision(step)
        self._breaches = 0
        return GuardDecision(GuardStep.EVICT, worst)
