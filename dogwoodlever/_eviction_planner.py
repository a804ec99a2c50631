"""Choice of tasks to evict so that urgent tasks can start."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dogwoodlever._cell_state import CellStateRecord, Task
from dogwoodlever._job import Job
from dogwoodlever._worker_view import WorkerView

FREEING_STATES = frozenset({"stopping", "cancelling"})
EVICTABLE_STATES = frozenset({"assigned", "running"})


@dataclass(slots=True)
class FreeCapacity:
    """Free capacity of a worker or a quota after the stops under way."""

    cores: float
    memory_bytes: int
    accelerators: int
    evictable: list[Task] = field(default_factory=list)

    def add(self, cores: float, job: Job) -> None:
        """Add the capacity of a task that ends."""
        self.cores += cores
        self.memory_bytes += job.memory_bytes
        self.accelerators += job.accelerators

    def fit_count(self, job: Job) -> int:
        """Return the number of tasks of a job that fit."""
        counts = [
            (self.cores + 1e-9) // job.cores,
            self.memory_bytes // job.memory_bytes,
        ]
        if job.accelerators:
            counts.append(self.accelerators // job.accelerators)
        return max(0, int(min(counts)))


class EvictionPlanner:
    """Finds the cheapest evictions.

    Parameters
    ----------
    cell_state : CellStateRecord
        Jobs and tasks of the cell.
    cost_s : callable
        Returns the cost of evicting a task.
    """

    __slots__ = ("_cell_state", "_cost_s")

    def __init__(
        self, cell_state: CellStateRecord, cost_s: Callable[[Task], float]
    ) -> None:
        self._cell_state = cell_state
        self._cost_s = cost_s

    def choose_victims(
        self, job: Job, count: int, views: Iterable[WorkerView]
    ) -> list[Task]:
        """Return tasks to evict so that `count` tasks of an urgent job fit.

        Capacity of tasks that are already stopping counts as free, so that the
        next round evicts nothing more for the same tasks.
        """
        capacities = [self._free_capacity(view) for view in views]
        fitting = sum(capacity.fit_count(job) for capacity in capacities)
        victims: list[Task] = []
        while fitting < count:
            chosen = self._cheapest_victims(job, capacities)
            if chosen is None:
                break
            capacity, tasks = chosen
            for task in tasks:
                capacity.evictable.remove(task)
                capacity.add(task.planned_cores, self._job(task))
            victims.extend(tasks)
            fitting += 1
        return victims

    def choose_team_victims(
        self, job: Job, count: int, cores: float, accelerators: int
    ) -> list[Task]:
        """Return tasks of the job's own team to evict to free quota for it.

        Parameters
        ----------
        job : Job
            An urgent job that exceeds the team's quota.
        count : int
            Number of its queued tasks.
        cores, accelerators : float, int
            Free part of the quota.
        """
        quota = FreeCapacity(cores, job.memory_bytes * count, accelerators)
        for task in self._cell_state.tasks.values():
            other = self._job(task)
            if other.team != job.team:
                continue
            if task.state in FREEING_STATES:
                quota.add(task.planned_cores, other)
            elif task.state in EVICTABLE_STATES and not other.urgent:
                quota.evictable.append(task)
        quota.evictable.sort(key=lambda task: (self._cost_s(task), task.task_id))
        victims: list[Task] = []
        while quota.fit_count(job) < count and quota.evictable:
            task = quota.evictable.pop(0)
            quota.add(task.planned_cores, self._job(task))
            victims.append(task)
        return victims

    def _job(self, task: Task) -> Job:
        return self._cell_state.jobs[task.job_id]

    def _free_capacity(self, view: WorkerView) -> FreeCapacity:
        capacity = FreeCapacity(
            view.cores_capacity - view.cores_placed,
            view.memory_capacity_bytes - view.memory_placed_bytes,
            view.spec.accelerators - view.accelerators_placed,
        )
        for task_id in sorted(view.tasks):
            task = self._cell_state.tasks[task_id]
            if task.state in FREEING_STATES:
                capacity.add(task.planned_cores, self._job(task))
            elif task.state in EVICTABLE_STATES and not self._job(task).urgent:
                capacity.evictable.append(task)
        capacity.evictable.sort(key=lambda task: -task.planned_cores)
        return capacity

    def _cheapest_victims(
        self, job: Job, capacities: list[FreeCapacity]
    ) -> tuple[FreeCapacity, list[Task]] | None:
        best, best_cost_s = None, float("inf")
        for capacity in capacities:
            tasks = self._fewest_victims(job, capacity)
            if tasks is None:
                continue
            cost_s = sum(self._cost_s(task) for task in tasks)
            if cost_s < best_cost_s:
                best, best_cost_s = (capacity, tasks), cost_s
        return best

    def _fewest_victims(self, job: Job, capacity: FreeCapacity) -> list[Task] | None:
        """Return the largest tasks to evict for one more task to fit, or None."""
        trial = FreeCapacity(
            capacity.cores, capacity.memory_bytes, capacity.accelerators
        )
        needed = capacity.fit_count(job) + 1
        tasks: list[Task] = []
        for task in capacity.evictable:
            trial.add(task.planned_cores, self._job(task))
            tasks.append(task)
            if trial.fit_count(job) >= needed:
                return tasks
        return None
