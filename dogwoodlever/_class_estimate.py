"""Sizes and run times of task classes, learned from measured use."""

from dataclasses import dataclass

SAMPLES_TO_TRUST = 5
WEIGHT = 0.1
USE_MARGIN = 1.2


@dataclass(slots=True)
class ClassUse:
    """Measured use of one task class."""

    samples: int = 0
    cores: float = 0.0
    cores_deviation: float = 0.0
    run_s: float = 0.0


class ClassEstimates:
    """Learn what tasks of a class use, whatever their jobs declare.

    Parameters
    ----------
    classes : dict of str to ClassUse
        Measurements so far; the ledger keeps them over changes of owner.
    """

    __slots__ = ("_classes",)

    def __init__(self, classes: dict[str, ClassUse]) -> None:
        self._classes = classes

    def note(self, task_class: str, cores: float, run_s: float) -> None:
        """Record the mean cores and the run time of one finished task."""
        use = self._classes.setdefault(task_class, ClassUse())
        use.samples += 1
        weight = max(WEIGHT, 1 / use.samples)
        error = cores - use.cores
        use.cores += weight * error
        use.cores_deviation += weight * (abs(error) - use.cores_deviation)
        use.run_s += weight * (run_s - use.run_s)

    def cores(self, task_class: str, declared: float) -> float:
        """Return the cores to plan with for one task."""
        use = self._classes.get(task_class)
        if use is None or use.samples < SAMPLES_TO_TRUST:
            return declared
        return USE_MARGIN * use.cores + 2 * use.cores_deviation

    def run_s(self, task_class: str, declared_s: float) -> float:
        """Return the run time to plan with for one task."""
        use = self._classes.get(task_class)
        if use is None or use.samples < SAMPLES_TO_TRUST:
            return declared_s
        return use.run_s
