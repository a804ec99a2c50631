"""What the tasks of each workspace use, and what its cap still allows."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dogwoodlever._fleet_job import Run, StepState
from dogwoodlever._fleet_types import (
    FleetConfiguration,
    ResourceAmounts,
    RunId,
    Step,
    StepId,
    WorkerEntry,
)
from dogwoodlever._run_registry import RunRegistry

# Stands for no limit.
UNLIMITED = 1 << 60
# Most cores that reserved and best-effort tasks together may request from a worker, as
# a multiple of its cores. Best-effort tasks may fill an empty worker and 45 % of the
# cores of its standing tasks, and other tasks may fill it once more; the rest covers
# the last best-effort task, which starts where 60 % of its request are spare.
BEST_EFFORT_CORES_FACTOR = 3


@dataclass(slots=True)
class CountedRun:
    """A run that counts for its workspace.

    Attributes
    ----------
    is_running : bool
        Whether the capacity of its worker counts it.
    held_until_s : float
        Until when it counts although its worker's capacity does not.
    """

    workspace: str
    service: str
    step: Step
    is_running: bool = False
    held_until_s: float = float("-inf")


class WorkspaceUsage:
    """Counts the runs of each workspace on all workers.

    A run counts while the capacity of its worker counts it, and afterwards while an
    order to start it may be carried out late or run on under a late lease. Runs of
    jobs without a workspace count under the empty name, runs of unknown jobs not at
    all.

    Parameters
    ----------
    registry : RunRegistry
        Jobs, which name their workspaces.
    get_configuration : callable
        Returns the newest configuration, or None.

    Attributes
    ----------
    is_counting : bool
        Whether runs are counted, which costs time with each start and end. Without
        workspaces in the configuration they are not.
    unpolled : ResourceAmounts
        Capacity of the workers that this leader has not polled. Any workspace's tasks
        may run there, so it counts against each cap.
    """

    __slots__ = (
        "_by_service",
        "_by_workspace",
        "_get_configuration",
        "_held",
        "_new_oversized",
        "_oversized",
        "_registry",
        "_runs",
        "_waits",
        "is_counting",
        "unpolled",
    )

    def __init__(
        self,
        registry: RunRegistry,
        get_configuration: Callable[[], FleetConfiguration | None],
    ) -> None:
        self._registry = registry
        self._get_configuration = get_configuration
        # By worker id and run.
        self._runs: dict[tuple[str, RunId], CountedRun] = {}
        self._held: set[tuple[str, RunId]] = set()
        # Cores, memory and accelerators by workspace, and by workspace and service.
        self._by_workspace: dict[str, list[int]] = {}
        self._by_service: dict[tuple[str, str], list[int]] = {}
        self.is_counting = False
        self.unpolled = ResourceAmounts()
        self._waits: dict[str, StepState] = {}
        # Steps with a task or gang larger than the cap, and those not returned yet.
        self._oversized: set[StepId] = set()
        self._new_oversized: list[StepState] = []

    # Runs

    def start(
        self, runs: Iterable[tuple[WorkerEntry, Iterable[tuple[Run, Step]]]]
    ) -> None:
        """Start to count, with the runs that the capacities of workers count now."""
        self.is_counting = True
        for entry, pairs in runs:
            for run, step in pairs:
                self.add(entry, run.run_id, step)

    def add(self, entry: WorkerEntry, run_id: RunId, step: Step) -> None:
        """Count a run that the capacity of a worker counts."""
        if not self.is_counting:
            return
        counted = self._find_or_count(entry, run_id, step)
        if counted is not None:
            counted.is_running = True

    def remove(self, worker_id: str, run_id: RunId) -> None:
        """Stop counting a run that the capacity of its worker no longer counts.

        A run that is held counts on until its hold has expired.
        """
        if not self.is_counting:
            return
        key = (worker_id, run_id)
        counted = self._runs.get(key)
        if counted is None:
            return
        counted.is_running = False
        if key not in self._held:
            self._forget(key)

    def hold(self, entry: WorkerEntry, run_id: RunId, until_s: float) -> None:
        """Count a run until `until_s`, as an order to start it may be carried out."""
        step = self._registry.find_step(run_id.task)
        if step is None:
            return
        counted = self._find_or_count(entry, run_id, step)
        if counted is not None:
            counted.held_until_s = max(counted.held_until_s, until_s)
            self._held.add((entry.worker_id, run_id))

    def release(self, worker_id: str, run_id: RunId) -> None:
        """End the hold of a run that its worker has ruled out."""
        key = (worker_id, run_id)
        if key in self._held:
            self._held.discard(key)
            if not self._runs[key].is_running:
                self._forget(key)

    def expire_holds(self, now_s: float) -> bool:
        """End the holds that have expired; return whether there were any."""
        expired = [key for key in self._held if self._runs[key].held_until_s <= now_s]
        for worker_id, run_id in expired:
            self.release(worker_id, run_id)
        return bool(expired)

    def _find_or_count(
        self, entry: WorkerEntry, run_id: RunId, step: Step
    ) -> CountedRun | None:
        key = (entry.worker_id, run_id)
        counted = self._runs.get(key)
        if counted is None:
            state = self._registry.jobs.get(run_id.task.job_id)
            if state is None:
                return None
            counted = CountedRun(state.job.workspace, entry.service, step)
            self._runs[key] = counted
            self._count(counted, 1)
        return counted

    def _forget(self, key: tuple[str, RunId]) -> None:
        self._count(self._runs.pop(key), -1)

    def _count(self, counted: CountedRun, sign: int) -> None:
        name = counted.workspace
        _add(self._by_workspace, name, counted.step, sign)
        _add(self._by_service, (name, counted.service), counted.step, sign)

    # Amounts

    def used(self, workspace: str) -> ResourceAmounts:
        """Return what the runs of a workspace use."""
        return ResourceAmounts(*self._by_workspace.get(workspace, ()))

    def used_of_service(self, workspace: str, service: str) -> ResourceAmounts:
        """Return what the runs of a workspace use on the workers of a service."""
        return ResourceAmounts(*self._by_service.get((workspace, service), ()))

    def cap(self, workspace: str) -> ResourceAmounts | None:
        """Return the newest cap of a workspace, None if nothing limits it."""
        configuration = self._get_configuration()
        if configuration is None or not configuration.workspaces:
            return None
        found = configuration.workspaces.get(workspace)
        return None if found is None or found.cap == ResourceAmounts() else found.cap

    def remaining(self, workspace: str) -> ResourceAmounts:
        """Return what a workspace may still use; below 0 if its cap was lowered."""
        cap = self.cap(workspace)
        if cap is None:
            return ResourceAmounts(UNLIMITED, UNLIMITED, UNLIMITED)
        used, unpolled = self.used(workspace), self.unpolled
        return ResourceAmounts(
            _left(cap.cores_milli, used.cores_milli + unpolled.cores_milli),
            _left(cap.memory_mb, used.memory_mb + unpolled.memory_mb),
            _left(cap.accelerators, used.accelerators + unpolled.accelerators),
        )

    def tasks_that_fit(self, step: StepState) -> int:
        """Return how many more tasks of a step its workspace's cap allows now.

        Nothing starts in a workspace that is over its cap in any resource.
        """
        workspace = step.job.job.workspace
        if self.cap(workspace) is None:
            return UNLIMITED
        remaining = self.remaining(workspace)
        if min(remaining.cores_milli, remaining.memory_mb, remaining.accelerators) < 0:
            return 0
        spec = step.spec
        return min(
            remaining.cores_milli // spec.cores_milli
            if spec.cores_milli
            else UNLIMITED,
            remaining.memory_mb // spec.memory_mb if spec.memory_mb else UNLIMITED,
            remaining.accelerators // spec.accelerators
            if spec.accelerators
            else UNLIMITED,
        )

    def fits(self, step: StepState, tasks: int = 1) -> bool:
        """Return whether tasks of a step fit under their workspace's cap now."""
        return tasks <= self.tasks_that_fit(step)

    def is_over_cap(self, workspace: str) -> bool:
        """Return whether a workspace uses more than its cap."""
        left = self.remaining(workspace)
        return min(left.cores_milli, left.memory_mb, left.accelerators) < 0

    def set_unpolled(
        self, worker_ids: set[str], entries: dict[str, WorkerEntry]
    ) -> None:
        """Set the workers on which a former leader's runs may be unknown.

        Parameters
        ----------
        worker_ids : set of str
            Workers that this leader has not polled.
        entries : dict of str to WorkerEntry
            Entries of the known workers; one without counts as the largest of them.
        """
        if not worker_ids:
            self.unpolled = ResourceAmounts()
            return
        largest = ResourceAmounts(
            max((entry.cores_milli for entry in entries.values()), default=0),
            max((entry.memory_mb for entry in entries.values()), default=0),
            max((entry.accelerators for entry in entries.values()), default=0),
        )
        found = [entries.get(worker_id, largest) for worker_id in worker_ids]
        factor = BEST_EFFORT_CORES_FACTOR if self._has_best_effort_jobs() else 1
        self.unpolled = ResourceAmounts(
            factor * sum(worker.cores_milli for worker in found),
            sum(worker.memory_mb for worker in found),
            sum(worker.accelerators for worker in found),
        )

    def _has_best_effort_jobs(self) -> bool:
        return any(
            step.uses_leftover
            for state in self._registry.jobs.values()
            for step in state.job.steps
        )

    # Waits

    def record_wait(self, step: StepState) -> None:
        """Record that tasks of a step wait because of their workspace's cap."""
        workspace = step.job.job.workspace
        cap = self.cap(workspace)
        if cap is None:
            return
        if not _exceeds(step.spec, gang_size(step), cap):
            self._waits.setdefault(workspace, step)
        elif step.step_id not in self._oversized:
            self._oversized.add(step.step_id)
            self._new_oversized.append(step)

    def pop_waits(self) -> tuple[list[StepState], list[StepState]]:
        """Return the recorded waits since the last call.

        Returns
        -------
        waiting : list of StepState
            The first step of each workspace that waits for room under its cap.
        oversized : list of StepState
            Steps with a task or gang larger than the cap; each is returned once.
        """
        waiting, self._waits = list(self._waits.values()), {}
        oversized, self._new_oversized = self._new_oversized, []
        return waiting, oversized

    def drop_job(self, job_id: str) -> None:
        """Drop what was recorded of a job that is removed."""
        if self._oversized:
            self._oversized = {s for s in self._oversized if s.job_id != job_id}


def gang_size(step: StepState) -> int:
    """Return how many tasks of a step start together."""
    return len(step.tasks) if step.spec.gang else 1


def _left(cap: int, used: int) -> int:
    return cap - used if cap else UNLIMITED


def _add(table: dict, key, step: Step, sign: int) -> None:
    amounts = table.get(key)
    if amounts is None:
        amounts = table[key] = [0, 0, 0]
    amounts[0] += sign * step.cores_milli
    amounts[1] += sign * step.memory_mb
    amounts[2] += sign * step.accelerators


def _exceeds(spec: Step, tasks: int, cap: ResourceAmounts) -> bool:
    return any(
        limit and tasks * amount > limit
        for amount, limit in (
            (spec.cores_milli, cap.cores_milli),
            (spec.memory_mb, cap.memory_mb),
            (spec.accelerators, cap.accelerators),
        )
    )
