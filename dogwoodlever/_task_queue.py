"""Queued tasks of a cell, by team and job."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple

from dogwoodlever._job import Job
from dogwoodlever._ledger import Task


class Line(NamedTuple):
    """What decides the order between jobs: urgency, then the team."""

    urgent: bool
    team: str


@dataclass(slots=True)
class JobQueue:
    """Queued tasks of one job; those begun before go first."""

    begun: dict[str, Task] = field(default_factory=dict)
    fresh: dict[str, Task] = field(default_factory=dict)

    def first(self) -> Task:
        """Return the task that goes first."""
        return next(iter((self.begun or self.fresh).values()))


class TaskQueue:
    """Tasks that wait for a worker, first come first served within a line."""

    __slots__ = ("_lines", "_passed")

    def __init__(self) -> None:
        self._lines: dict[Line, dict[str, JobQueue]] = {}
        self._passed: dict[Line, dict[str, JobQueue]] = {}

    def __bool__(self) -> bool:
        return bool(self._lines or self._passed)

    def add(self, task: Task, job: Job) -> None:
        """Add a queued task."""
        line = Line(job.urgent, job.team)
        lines = self._passed if job.job in self._passed.get(line, ()) else self._lines
        queue = lines.setdefault(line, {}).setdefault(job.job, JobQueue())
        (queue.begun if task.attempt else queue.fresh)[task.task_id] = task

    def remove(self, task: Task, job: Job) -> None:
        """Remove a task if it is queued here."""
        line = Line(job.urgent, job.team)
        for lines in self._both():
            queue = lines.get(line, {}).get(job.job)
            if queue is None:
                continue
            queue.begun.pop(task.task_id, None)
            queue.fresh.pop(task.task_id, None)
            if not (queue.begun or queue.fresh):
                self._drop(lines, line, job.job)

    def _drop(self, lines: dict, line: Line, job_id: str) -> JobQueue:
        queue = lines[line].pop(job_id)
        if not lines[line]:
            del lines[line]
        return queue

    def waiting(self, job: Job) -> int:
        """Return how many tasks of a job wait."""
        line = Line(job.urgent, job.team)
        queues = [lines.get(line, {}).get(job.job) for lines in self._both()]
        return sum(len(q.begun) + len(q.fresh) for q in queues if q is not None)

    def _both(self) -> tuple[dict, dict]:
        return self._lines, self._passed

    def pass_over(self, job: Job) -> None:
        """Leave a job out for the rest of the round: its tasks are equal."""
        line = Line(job.urgent, job.team)
        queue = self._drop(self._lines, line, job.job)
        self._passed.setdefault(line, {})[job.job] = queue

    def in_order(self, order: Callable[[Line], tuple]) -> Iterator[Task]:
        """Yield tasks, each time of the line that comes first by `order`.

        The caller removes each task, or passes its job over.
        """
        heap = [(order(line), line) for line in self._lines]
        heapify(heap)
        try:
            while heap:
                line = heap[0][1]
                if line not in self._lines:
                    heappop(heap)
                    continue
                yield next(iter(self._lines[line].values())).first()
                # Only the share of the team just served has changed.
                heapreplace(heap, (order(line), line))
        finally:
            self._restore()

    def _restore(self) -> None:
        """Bring the jobs that were passed over back to the front."""
        passed, self._passed = self._passed, {}
        for line, jobs in passed.items():
            self._lines[line] = jobs | self._lines.get(line, {})
