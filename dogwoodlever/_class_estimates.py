"""Sizes and run times of task classes, learned from measurements."""

from dataclasses import dataclass

SAMPLES_MIN = 5
MEAN_WEIGHT_MIN = 0.1
USE_MARGIN = 1.2


@dataclass(slots=True)
class ClassUsage:
    """Measured usage of one task class."""

    samples: int = 0
    cores: float = 0.0
    cores_deviation: float = 0.0
    run_s: float = 0.0


class ClassEstimates:
    """Estimates of what tasks of a class use, independent of declared sizes.

    Parameters
    ----------
    classes : dict of str to ClassUsage
        Measurements, stored in the cell state and kept when the owner changes.
    """

    __slots__ = ("_classes",)

    def __init__(self, classes: dict[str, ClassUsage]) -> None:
        self._classes = classes

    def observe(self, task_class: str, cores: float, run_s: float) -> None:
        """Record the mean cores and the run time of a finished task."""
        usage = self._classes.setdefault(task_class, ClassUsage())
        usage.samples += 1
        weight = max(MEAN_WEIGHT_MIN, 1 / usage.samples)
        error = cores - usage.cores
        usage.cores += weight * error
        usage.cores_deviation += weight * (abs(error) - usage.cores_deviation)
        usage.run_s += weight * (run_s - usage.run_s)

    def cores(self, task_class: str, declared: float) -> float:
        """Return the cores to plan with for one task."""
        usage = self._classes.get(task_class)
        if usage is None or usage.samples < SAMPLES_MIN:
            return declared
        return USE_MARGIN * usage.cores + 2 * usage.cores_deviation

    def run_s(self, task_class: str, declared_s: float) -> float:
        """Return the run time to plan with for one task."""
        usage = self._classes.get(task_class)
        if usage is None or usage.samples < SAMPLES_MIN:
            return declared_s
        return usage.run_s
