"""Account of what one worker carries."""

import math

from dogwoodlever._fleet_job import Run
from dogwoodlever._fleet_types import RunId, Step, WorkerEntry

# Workers of this size are the unit of disturbance: a core of a larger worker
# disturbs what runs beside it less.
REFERENCE_CORES_MILLI = 16_000
# Time constant of the use of cores beside a standing task; a latency is a figure
# of the last half second and falls off slowly.
USAGE_TIME_CONSTANT_S = 0.4
# Less use than this is taken as none.
USAGE_MIN_CORES = 0.02
# Part of their cores that standing tasks leave idle at their usual load.
SERVING_IDLE_RATIO = 0.45


def is_serving(step: Step) -> bool:
    """Tell whether a step's tasks have a latency to keep."""
    return step.standing and step.latency_target_ms > 0


class WorkerCapacity:
    """Room of a worker and the runs that use it.

    A run counts from the order to start it until its end is listed or it is
    surely over, so the sum never falls below what the worker carries.

    Parameters
    ----------
    entry : WorkerEntry
        The worker as it describes itself.

    Attributes
    ----------
    is_synced : bool
        Whether this leader has read the worker's lists under its own fence.
    is_listed : bool
        Whether the worker's entry stands in the store.
    is_reachable : bool
        Whether the last look was answered.
    colocated_cores : dict of str to float
        Weighed cores that all but serving runs used of late, by image; averaged
        over about the time that a latency covers.
    """

    __slots__ = (
        "accelerators_used",
        "colocated_cores",
        "colocated_updated_s",
        "cores_used",
        "entry",
        "best_effort_milli",
        "is_listed",
        "is_reachable",
        "is_synced",
        "memory_used",
        "refused_until_s",
        "runs",
        "serving_count",
        "serving_milli",
    )

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.is_synced = False
        self.is_listed = True
        self.is_reachable = True
        self.refused_until_s = float("-inf")
        self.colocated_cores: dict[str, float] = {}
        self.colocated_updated_s = float("-inf")
        self.runs: dict[RunId, tuple[Run, Step]] = {}
        self.cores_used = 0
        self.memory_used = 0
        self.accelerators_used = 0
        # Cores wanted by runs that take what others leave.
        self.best_effort_milli = 0
        # Standing runs with a latency target, and the cores they reserve.
        self.serving_count = 0
        self.serving_milli = 0

    @property
    def cores_free(self) -> int:
        """Thousandths of a core that no run has reserved."""
        return self.entry.cores_milli - self.cores_used

    @property
    def spare_milli(self) -> float:
        """Thousandths of a core expected to be idle and not wanted as leftover."""
        idle = self.serving_milli * SERVING_IDLE_RATIO
        return self.cores_free + idle - self.best_effort_milli

    def serving_runs(self) -> list[tuple[Run, Step]]:
        """Return the standing runs with a latency target."""
        return [held for held in self.runs.values() if is_serving(held[1])]

    def best_effort_runs(self) -> list[tuple[Run, Step]]:
        """Return the runs that take leftover cores."""
        return [held for held in self.runs.values() if held[1].uses_leftover]

    def fits(self, step: Step) -> bool:
        """Tell whether one more task of a step has room."""
        if not step.uses_leftover and step.cores_milli > self.cores_free:
            return False
        return (
            step.memory_mb <= self.entry.memory_mb - self.memory_used
            and step.accelerators <= self.entry.accelerators - self.accelerators_used
        )

    def add(self, run: Run, step: Step) -> None:
        """Count a run; a run that is counted already is not counted again."""
        if run.run_id not in self.runs:
            self.runs[run.run_id] = (run, step)
            self._count(step, 1)

    def remove(self, run_id: RunId) -> None:
        """Stop counting a run."""
        held = self.runs.pop(run_id, None)
        if held is not None:
            self._count(held[1], -1)

    def to_reference_cores(self, cores_milli: float) -> float:
        """Return cores of this worker as cores of one of the reference size."""
        return cores_milli / 1000 * REFERENCE_CORES_MILLI / self.entry.cores_milli

    def interfering_cores(self) -> dict[str, float]:
        """Return the weighed cores of all but serving runs, by image.

        Runs on leftover cores count at their pace.
        """
        cores: dict[str, float] = {}
        for run, step in self.runs.values():
            if is_serving(step):
                continue
            wanted = self.to_reference_cores(step.cores_milli)
            if step.uses_leftover:
                wanted *= max(run.speed_limit_percent, 0) / 100
            cores[step.image] = cores.get(step.image, 0.0) + wanted
        return cores

    def record_usage(self, now_s: float) -> None:
        """Take the newest use of all but serving runs into `colocated_cores`."""
        used: dict[str, float] = {}
        for run, step in self.runs.values():
            if run.percent >= 0 and not is_serving(step):
                used[step.image] = used.get(step.image, 0.0) + self.to_reference_cores(
                    run.load
                )
        kept = math.exp((self.colocated_updated_s - now_s) / USAGE_TIME_CONSTANT_S)
        self.colocated_updated_s = now_s
        averaged = {}
        for image in {*used, *self.colocated_cores}:
            was = self.colocated_cores.get(image, 0.0)
            value = used.get(image, 0.0) * (1 - kept) + was * kept
            if value > USAGE_MIN_CORES:
                averaged[image] = value
        self.colocated_cores = averaged

    def _count(self, step: Step, sign: int) -> None:
        self.memory_used += sign * step.memory_mb
        self.accelerators_used += sign * step.accelerators
        if step.uses_leftover:
            self.best_effort_milli += sign * step.cores_milli
        else:
            self.cores_used += sign * step.cores_milli
        if is_serving(step):
            self.serving_count += sign
            self.serving_milli += sign * step.cores_milli
