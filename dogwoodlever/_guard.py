"""Guard of the services on one worker against the batch work beside them."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodlever._slowdown import SlowdownEstimator

THROTTLE_MIN = 0.1
RELEASE_PER_S = 0.02
LIMIT_PART = 0.9
SAMPLES_TO_EVICT = 6


class GuardStep(StrEnum):
    """What the guard asks for."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"


@dataclass(slots=True, frozen=True)
class GuardDecision:
    """The guard's step and the class to evict, if it is to evict."""

    step: GuardStep
    throttle: float
    task_class: str = ""


class WorkerGuard:
    """Throttle, and at last evict, batch work that burns a service's objective.

    Backs off at once to the part that the estimate allows, returns by a small
    rate, and evicts only if the lowest throttle does not help for several
    samples in a row.

    Parameters
    ----------
    estimator : SlowdownEstimator
        Shared over the workers of a cell.
    """

    __slots__ = ("_breaches", "_changed_s", "_estimator", "throttle")

    def __init__(self, estimator: SlowdownEstimator) -> None:
        self._estimator = estimator
        self._breaches = 0
        self._changed_s = 0.0
        self.throttle = 1.0

    def note(
        self,
        service: str,
        latency_s: float,
        load: float,
        class_cores: dict[str, float],
        target_s: float,
        now_s: float,
    ) -> GuardDecision:
        """Record one sample and decide.

        Parameters
        ----------
        service : str
            Service measured.
        latency_s, target_s : float
            Its tail latency, and its objective for it.
        load : float
            Its load when measured, 0 to 1.
        class_cores : dict of str to float
            Cores by class that ran beside it then.
        now_s : float
            Present time.
        """
        self._estimator.note(service, latency_s, load, class_cores)
        full = {c: cores / self.throttle for c, cores in class_cores.items()}
        allowed = self._estimator.cores_allowed(
            service, load, full, target_s * LIMIT_PART
        )
        if latency_s > target_s:
            allowed = min(allowed, self.throttle * 0.7)
        elapsed_s = now_s - self._changed_s
        self._changed_s = now_s
        if allowed < self.throttle:
            self.throttle = max(THROTTLE_MIN, allowed)
        else:
            released = self.throttle + RELEASE_PER_S * elapsed_s
            self.throttle = min(1.0, allowed, released)
        return self._decide(service, latency_s > target_s, class_cores)

    def _decide(self, service, breached, class_cores) -> GuardDecision:
        at_least = self.throttle <= THROTTLE_MIN
        self._breaches = self._breaches + 1 if breached and at_least else 0
        if self._breaches >= SAMPLES_TO_EVICT and class_cores:
            self._breaches = 0
            worst = max(
                class_cores,
                key=lambda c: (
                    self._estimator.coefficient(service, c).mean * class_cores[c]
                ),
            )
            return GuardDecision(GuardStep.EVICT, self.throttle, worst)
        step = GuardStep.THROTTLE if self.throttle < 1 else GuardStep.NONE
        return GuardDecision(step, self.throttle)
