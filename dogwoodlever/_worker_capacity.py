"""Capacity of one worker and the runs that use it."""

import math

from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import RunId, Step, WorkerEntry
from dogwoodlever._workspace_usage import WorkspaceUsage

# Interference is measured in cores of a worker of this size; a core of a larger
# worker interferes less.
REFERENCE_CORES_MILLI = 16_000
# Time constant of the average usage of co-located cores: a reported latency covers the
# last 0.5 s and falls slowly.
USAGE_TIME_CONSTANT_S = 0.4
# Lower usage counts as none.
USAGE_MIN_CORES = 0.02
# Share of their cores that standing tasks leave idle at their usual load.
SERVING_IDLE_RATIO = 0.45


def is_serving(step: Step) -> bool:
    """Return whether a step's tasks are standing and have a latency target."""
    return step.standing and step.latency_target_ms > 0


class WorkerCapacity:
    """Capacity of a worker and the runs that use it.

    A run counts from the order to start it until its end is listed or it has
    ended for certain, so the sum never falls below the actual usage.

    Parameters
    ----------
    entry : WorkerEntry
        The worker's own description.
    usage : WorkspaceUsage or None
        Counts the runs of each workspace, if there may be any.

    Attributes
    ----------
    is_synced : bool
        Whether this leader has polled the worker with its own fencing token.
    is_listed : bool
        Whether the store has an entry of the worker.
    version : int
        Changes with the runs, with each report of them and with the size.
    size_milli : int
        Largest capacity of this incarnation, in thousandths of a core.
    colocated_cores : dict of str to float
        Reference cores recently used by all but serving runs, by image; averaged
        over about the time that a reported latency covers.
    """

    __slots__ = (
        "_usage",
        "accelerators_used",
        "best_effort_milli",
        "colocated_cores",
        "colocated_updated_s",
        "cores_used",
        "entry",
        "is_listed",
        "is_synced",
        "memory_used",
        "refused_until_s",
        "runs",
        "serving_count",
        "serving_milli",
        "size_milli",
        "version",
    )

    def __init__(self, entry: WorkerEntry, usage: WorkspaceUsage | None = None) -> None:
        self.entry = entry
        self._usage = usage
        self.size_milli = entry.cores_milli
        self.is_synced = False
        self.is_listed = True
        self.refused_until_s = float("-inf")
        self.colocated_cores: dict[str, float] = {}
        self.colocated_updated_s = float("-inf")
        self.runs: dict[RunId, tuple[Run, Step]] = {}
        self.version = 0
        self.cores_used = 0
        self.memory_used = 0
        self.accelerators_used = 0
        # Cores requested by best-effort runs.
        self.best_effort_milli = 0
        # Number of standing runs with a latency target, and their reserved cores.
        self.serving_count = 0
        self.serving_milli = 0

    def update_entry(self, entry: WorkerEntry) -> None:
        """Apply a changed entry of the same incarnation."""
        self.entry = entry
        if entry.cores_milli > self.size_milli:
            self.size_milli = entry.cores_milli
            self.version += 1

    @property
    def cores_free(self) -> int:
        """Unreserved cores, in thousandths."""
        return self.entry.cores_milli - self.cores_used

    @property
    def is_overcommitted(self) -> bool:
        """Whether the worker has shrunk below its runs."""
        return (
            self.cores_free < 0
            or self.memory_used > self.entry.memory_mb
            or self.accelerators_used > self.entry.accelerators
        )

    @property
    def spare_milli(self) -> float:
        """Cores expected to be idle less those of best-effort runs, in thousandths."""
        idle = self.serving_milli * SERVING_IDLE_RATIO
        return self.cores_free + idle - self.best_effort_milli

    def serving_runs(self) -> list[tuple[Run, Step]]:
        """Return the standing runs with a latency target."""
        return [pair for pair in self.runs.values() if is_serving(pair[1])]

    def best_effort_runs(self) -> list[tuple[Run, Step]]:
        """Return the best-effort runs."""
        return [pair for pair in self.runs.values() if pair[1].uses_leftover]

    def unconfirmed_milli(self) -> int:
        """Return the cores of runs without an answer or being stopped."""
        return sum(
            step.cores_milli
            for run, step in self.runs.values()
            if run.phase is not RunPhase.RUNNING and not step.uses_leftover
        )

    def fits(self, step: Step) -> bool:
        """Return whether one more task of a step fits.

        Nothing fits a worker that has shrunk below its runs.
        """
        cores_milli = 0 if step.uses_leftover else step.cores_milli
        return (
            cores_milli <= self.cores_free
            and step.memory_mb <= self.entry.memory_mb - self.memory_used
            and step.accelerators <= self.entry.accelerators - self.accelerators_used
        )

    def excess_runs(self) -> list[Run]:
        """Return the listed runs that do not fit beside those counted before them."""
        room = WorkerCapacity(self.entry)
        excess = []
        for run, step in self.runs.values():
            if not run.is_listed:
                continue
            if room.fits(step):
                room.add(run, step)
            else:
                excess.append(run)
        return excess

    def add(self, run: Run, step: Step) -> None:
        """Count a run, unless it is counted already."""
        if run.run_id not in self.runs:
            self.runs[run.run_id] = (run, step)
            self._count(step, 1)
            if self._usage is not None:
                self._usage.add(self.entry, run.run_id, step)

    def remove(self, run_id: RunId) -> None:
        """Stop counting a run."""
        pair = self.runs.pop(run_id, None)
        if pair is not None:
            self._count(pair[1], -1)
            if self._usage is not None:
                self._usage.remove(self.entry.worker_id, run_id)

    def to_reference_cores(self, cores_milli: float) -> float:
        """Convert cores of this worker to cores of a worker of reference size."""
        # A worker may have shrunk to nothing, or be added without cores.
        size_milli = self.size_milli if self.size_milli > 0 else REFERENCE_CORES_MILLI
        return cores_milli / 1000 * REFERENCE_CORES_MILLI / size_milli

    def interfering_cores(self) -> dict[str, float]:
        """Return the reference cores of all but serving runs, by image.

        Best-effort runs count in proportion to their speed limit.
        """
        cores: dict[str, float] = {}
        for run, step in self.runs.values():
            if is_serving(step):
                continue
            reference_cores = self.to_reference_cores(step.cores_milli)
            if step.uses_leftover:
                reference_cores *= max(run.speed_limit_percent, 0) / 100
            cores[step.image] = cores.get(step.image, 0.0) + reference_cores
        return cores

    def record_usage(self, now_s: float) -> None:
        """Add the latest usage of all but serving runs to `colocated_cores`."""
        self.version += 1
        used: dict[str, float] = {}
        for run, step in self.runs.values():
            if run.percent >= 0 and not is_serving(step):
                used[step.image] = used.get(step.image, 0.0) + self.to_reference_cores(
                    run.load
                )
        decay = math.exp((self.colocated_updated_s - now_s) / USAGE_TIME_CONSTANT_S)
        self.colocated_updated_s = now_s
        averaged = {}
        for image in {*used, *self.colocated_cores}:
            previous = self.colocated_cores.get(image, 0.0)
            value = used.get(image, 0.0) * (1 - decay) + previous * decay
            if value > USAGE_MIN_CORES:
                averaged[image] = value
        self.colocated_cores = averaged

    def _count(self, step: Step, sign: int) -> None:
        self.version += 1
        self.memory_used += sign * step.memory_mb
        self.accelerators_used += sign * step.accelerators
        if step.uses_leftover:
            self.best_effort_milli += sign * step.cores_milli
        else:
            self.cores_used += sign * step.cores_milli
        if is_serving(step):
            self.serving_count += sign
            self.serving_milli += sign * step.cores_milli
