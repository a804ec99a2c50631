"""Choice of work to evict so that urgent tasks find room."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dogwoodlever._job import Job
from dogwoodlever._ledger import LedgerRecord, Task
from dogwoodlever._worker_view import WorkerView

FREEING_STATES = frozenset({"stopping", "cancelling"})
EVICTABLE_STATES = frozenset({"assigned", "running"})


@dataclass(slots=True)
class FreeRoom:
    """Room of one worker once what stops now has stopped."""

    cores: float
    memory_bytes: int
    accelerators: int
    evictable: list[Task] = field(default_factory=list)

    def add(self, cores: float, job: Job) -> None:
        """Count the room of a task that ends."""
        self.cores += cores
        self.memory_bytes += job.memory_bytes
        self.accelerators += job.accelerators

    def fits(self, job: Job) -> int:
        """Return how many tasks of a job fit."""
        counts = [
            (self.cores + 1e-9) // job.cores,
            self.memory_bytes // job.memory_bytes,
        ]
        if job.accelerators:
            counts.append(self.accelerators // job.accelerators)
        return max(0, int(min(counts)))


class RoomMaker:
    """Find the least costly evictions.

    Parameters
    ----------
    ledger : LedgerRecord
        Jobs and tasks of the cell.
    cost_s : callable
        Cost of evicting a task.
    """

    __slots__ = ("_cost_s", "_ledger")

    def __init__(self, ledger: LedgerRecord, cost_s: Callable[[Task], float]) -> None:
        self._ledger = ledger
        self._cost_s = cost_s

    def choose(self, job: Job, count: int, views: Iterable[WorkerView]) -> list[Task]:
        """Return tasks whose end makes room for `count` tasks of an urgent job.

        Room that stops under way will free counts already, so that the same
        need evicts no more in the next round.
        """
        rooms = [self._room(view) for view in views]
        coming = sum(room.fits(job) for room in rooms)
        victims: list[Task] = []
        while coming < count:
            chosen = self._cheapest(job, rooms)
            if chosen is None:
                break
            room, tasks = chosen
            for task in tasks:
                room.evictable.remove(task)
                room.add(task.planned_cores, self._job(task))
            victims.extend(tasks)
            coming += 1
        return victims

    def choose_in_team(
        self, job: Job, count: int, cores: float, accelerators: int
    ) -> list[Task]:
        """Return tasks of the job's own team whose end frees quota for it.

        Parameters
        ----------
        job : Job
            An urgent job that the team's quota has no room for.
        count : int
            Its tasks that wait.
        cores, accelerators : float, int
            What is free of the quota now.
        """
        quota = FreeRoom(cores, job.memory_bytes * count, accelerators)
        for task in self._ledger.tasks.values():
            other = self._job(task)
            if other.team != job.team:
                continue
            if task.state in FREEING_STATES:
                quota.add(task.planned_cores, other)
            elif task.state in EVICTABLE_STATES and not other.urgent:
                quota.evictable.append(task)
        quota.evictable.sort(key=lambda task: (self._cost_s(task), task.task_id))
        victims: list[Task] = []
        while quota.fits(job) < count and quota.evictable:
            task = quota.evictable.pop(0)
            quota.add(task.planned_cores, self._job(task))
            victims.append(task)
        return victims

    def _job(self, task: Task) -> Job:
        return self._ledger.jobs[task.job_id]

    def _room(self, view: WorkerView) -> FreeRoom:
        room = FreeRoom(
            view.cores_room - view.cores_placed,
            view.memory_room_bytes - view.memory_placed_bytes,
            view.spec.accelerators - view.accelerators_placed,
        )
        for task_id in sorted(view.tasks):
            task = self._ledger.tasks[task_id]
            if task.state in FREEING_STATES:
                room.add(task.planned_cores, self._job(task))
            elif task.state in EVICTABLE_STATES and not self._job(task).urgent:
                room.evictable.append(task)
        room.evictable.sort(key=lambda task: -task.planned_cores)
        return room

    def _cheapest(
        self, job: Job, rooms: list[FreeRoom]
    ) -> tuple[FreeRoom, list[Task]] | None:
        best, best_cost_s = None, float("inf")
        for room in rooms:
            tasks = self._fewest(job, room)
            if tasks is None:
                continue
            cost_s = sum(self._cost_s(task) for task in tasks)
            if cost_s < best_cost_s:
                best, best_cost_s = (room, tasks), cost_s
        return best

    def _fewest(self, job: Job, room: FreeRoom) -> list[Task] | None:
        """Return the fewest tasks whose end lets one more task fit, or None."""
        trial = FreeRoom(room.cores, room.memory_bytes, room.accelerators)
        wanted = room.fits(job) + 1
        tasks: list[Task] = []
        for task in room.evictable:
            trial.add(task.planned_cores, self._job(task))
            tasks.append(task)
            if trial.fits(job) >= wanted:
                return tasks
        return None
