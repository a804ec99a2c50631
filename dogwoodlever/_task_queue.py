"""Queued tasks of a cell, by team and job."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple

from dogwoodlever._cell_state import Task
from dogwoodlever._job import Job


class QueueKey(NamedTuple):
    """Key of a queue: urgency and team of its jobs."""

    urgent: bool
    team: str


@dataclass(slots=True)
class JobQueue:
    """Queued tasks of one job; restarted tasks go first."""

    restarted: dict[str, Task] = field(default_factory=dict)
    unstarted: dict[str, Task] = field(default_factory=dict)

    def first(self) -> Task:
        """Return the next task."""
        return next(iter((self.restarted or self.unstarted).values()))


class TaskQueue:
    """Tasks that wait for a worker, first in first out by urgency and team."""

    __slots__ = ("_queues", "_deferred")

    def __init__(self) -> None:
        self._queues: dict[QueueKey, dict[str, JobQueue]] = {}
        self._deferred: dict[QueueKey, dict[str, JobQueue]] = {}

    def __bool__(self) -> bool:
        return bool(self._queues or self._deferred)

    def add(self, task: Task, job: Job) -> None:
        """Add a queued task."""
        key = QueueKey(job.urgent, job.team)
        queues = (
            self._deferred if job.job in self._deferred.get(key, ()) else self._queues
        )
        queue = queues.setdefault(key, {}).setdefault(job.job, JobQueue())
        (queue.restarted if task.attempt else queue.unstarted)[task.task_id] = task

    def remove(self, task: Task, job: Job) -> None:
        """Remove a task if it is queued here."""
        key = QueueKey(job.urgent, job.team)
        for queues in self._all_queues():
            queue = queues.get(key, {}).get(job.job)
            if queue is None:
                continue
            queue.restarted.pop(task.task_id, None)
            queue.unstarted.pop(task.task_id, None)
            if not (queue.restarted or queue.unstarted):
                self._drop(queues, key, job.job)

    def _drop(self, queues: dict, key: QueueKey, job_id: str) -> JobQueue:
        queue = queues[key].pop(job_id)
        if not queues[key]:
            del queues[key]
        return queue

    def waiting_count(self, job: Job) -> int:
        """Return the number of queued tasks of a job."""
        key = QueueKey(job.urgent, job.team)
        job_queues = [queues.get(key, {}).get(job.job) for queues in self._all_queues()]
        return sum(
            len(q.restarted) + len(q.unstarted) for q in job_queues if q is not None
        )

    def _all_queues(self) -> tuple[dict, dict]:
        return self._queues, self._deferred

    def defer(self, job: Job) -> None:
        """Skip a job for the rest of the round; its tasks are all the same size."""
        key = QueueKey(job.urgent, job.team)
        queue = self._drop(self._queues, key, job.job)
        self._deferred.setdefault(key, {})[job.job] = queue

    def in_order(self, order: Callable[[QueueKey], tuple]) -> Iterator[Task]:
        """Yield the next task of the first queue by `order`, until all are empty.

        The caller must remove each task or defer its job.
        """
        heap = [(order(key), key) for key in self._queues]
        heapify(heap)
        try:
            while heap:
                key = heap[0][1]
                if key not in self._queues:
                    heappop(heap)
                    continue
                yield next(iter(self._queues[key].values())).first()
                # Only the dominant share of this task's team has changed.
                heapreplace(heap, (order(key), key))
        finally:
            self._restore()

    def _restore(self) -> None:
        """Put the deferred jobs back at the front of their queues."""
        deferred, self._deferred = self._deferred, {}
        for key, jobs in deferred.items():
            self._queues[key] = jobs | self._queues.get(key, {})
