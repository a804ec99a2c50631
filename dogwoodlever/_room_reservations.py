"""Workers on which nothing else starts until a task that fits nowhere has room.

Smaller work would otherwise take each hole before it has grown to the size of a larger
task, for as long as it arrives. A reservation ends with the start of its task, so room
is kept for at most the longest remaining run of work that ends by itself.
"""

from collections import Counter
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from dogwoodlever._fleet_job import Run, RunPhase, Task
from dogwoodlever._fleet_types import Step, StepId, TaskId
from dogwoodlever._logs import log_event
from dogwoodlever._run_log import format_task_id
from dogwoodlever._worker_capacity import WorkerCapacity

# Share of a service's workers that are reserved at a time, but at least one.
RESERVED_WORKERS_RATIO = 0.2
# Searches for a worker in one round, each of which reads all runs of a service.
SEARCHES_PER_ROUND = 2
# No worker is searched for a step before this time after a search that found none. The
# search for those without one comes last then, so that they do not keep others from it.
SEARCH_RETRY_S = 1.0
SEARCH_FORGET_S = 10.0
# A reservation is reconsidered when it takes longer than expected by this factor, and
# longer than the margin. After some changes it stays, so that the wait is bounded.
OVERRUN_FACTOR = 1.5
OVERRUN_MARGIN_S = 0.5
CHANGES_MAX = 3

NEVER_S = float("inf")


@dataclass(slots=True, frozen=True)
class RoomReservation:
    """A worker that is kept for a task.

    Attributes
    ----------
    made_s : float
        When the first worker was reserved for the task.
    reconsidered_s : float
        When another worker is considered.
    changes : int
        How often the worker has changed.
    """

    task: Task
    worker_id: str
    made_s: float
    reconsidered_s: float
    changes: int = 0


class RoomReservations:
    """Reservations of one leader, at most one a task and one a worker.

    Attributes
    ----------
    by_worker : dict of str to RoomReservation
        Reservations by worker id; read only for others.
    """

    __slots__ = ("_by_task", "_failed_s", "_searches_left", "by_worker")

    def __init__(self) -> None:
        self._by_task: dict[TaskId, RoomReservation] = {}
        self.by_worker: dict[str, RoomReservation] = {}
        # When no worker was found for a step.
        self._failed_s: dict[StepId, float] = {}
        self._searches_left = SEARCHES_PER_ROUND

    def __iter__(self):
        return iter(list(self._by_task.values()))

    def begin_round(
        self,
        waiting: Container[TaskId],
        is_usable: Callable[[RoomReservation], bool],
        now_s: float,
    ) -> None:
        """Release the workers that are not needed or not suited any more.

        Parameters
        ----------
        waiting : container of TaskId
            Tasks for which workers may be reserved.
        is_usable : callable
            Returns whether the task may start on the worker once it has room.
        now_s : float
            Current time.
        """
        self._searches_left = SEARCHES_PER_ROUND
        if self._failed_s:
            self._failed_s = {
                step_id: failed_s
                for step_id, failed_s in self._failed_s.items()
                if now_s - failed_s < SEARCH_FORGET_S
            }
        for reservation in self:
            if reservation.task.task_id not in waiting:
                self.release(reservation.task, now_s, "not needed")
            elif not is_usable(reservation):
                self.release(reservation.task, now_s, "worker not suited")

    def release(self, task: Task, now_s: float, why: str) -> None:
        """Release the worker of a task, if there is one."""
        reservation = self._by_task.pop(task.task_id, None)
        if reservation is None:
            return
        del self.by_worker[reservation.worker_id]
        log_event(
            "room.released",
            task=format_task_id(task.task_id),
            worker=reservation.worker_id,
            why=why,
            held_s=now_s - reservation.made_s,
        )

    def reserve(
        self,
        tasks: Iterable[Task],
        candidates: Callable[[Task], Iterable[WorkerCapacity]],
        worker_counts: Counter[str],
        now_s: float,
    ) -> None:
        """Reserve workers for tasks that fit nowhere, as far as the limits allow.

        Parameters
        ----------
        tasks : iterable of Task
            The tasks, the most urgent first.
        candidates : callable
            Returns the workers on which a task may start once they have room.
        worker_counts : Counter of str
            Number of workers by service.
        now_s : float
            Current time.
        """
        failed_s = self._failed_s
        in_order = sorted(
            tasks, key=lambda task: failed_s.get(task.step.step_id, -NEVER_S)
        )
        for task in in_order:
            if not self._searches_left:
                return
            reservation = self._by_task.get(task.task_id)
            if reservation is not None and not self._is_overrun(reservation, now_s):
                continue
            service = task.step.job.service
            if reservation is None and not self._has_free(
                service, worker_counts[service]
            ):
                continue
            step_id = task.step.step_id
            if now_s - failed_s.get(step_id, -NEVER_S) < SEARCH_RETRY_S:
                continue
            self._searches_left -= 1
            if self._choose(task, candidates(task), now_s):
                failed_s.pop(step_id, None)
            else:
                failed_s[step_id] = now_s

    def _has_free(self, service: str, workers: int) -> bool:
        reserved = sum(
            reservation.task.step.job.service == service
            for reservation in self._by_task.values()
        )
        return reserved + 1 <= max(1, workers * RESERVED_WORKERS_RATIO)

    @staticmethod
    def _is_overrun(reservation: RoomReservation, now_s: float) -> bool:
        return now_s >= reservation.reconsidered_s and reservation.changes < CHANGES_MAX

    def _choose(
        self, task: Task, candidates: Iterable[WorkerCapacity], now_s: float
    ) -> bool:
        """Reserve the worker that has room soonest; return whether there is one."""
        best = None
        best_rank = (True, NEVER_S, "")
        for capacity in candidates:
            room_s = expected_room_s(capacity, task.step.spec, now_s)
            if room_s == NEVER_S:
                continue
            worker_id = capacity.entry.worker_id
            rank = (worker_id in task.failed_on, room_s, worker_id)
            if best is None or rank < best_rank:
                best, best_rank = capacity, rank
        if best is None:
            return False
        former = self._by_task.pop(task.task_id, None)
        made_s, changes = now_s, 0
        if former is not None:
            del self.by_worker[former.worker_id]
            made_s = former.made_s
            changes = former.changes + (former.worker_id != best.entry.worker_id)
        _, room_s, worker_id = best_rank
        wait_s = max(OVERRUN_MARGIN_S, OVERRUN_FACTOR * room_s)
        reservation = RoomReservation(task, worker_id, made_s, now_s + wait_s, changes)
        self._by_task[task.task_id] = self.by_worker[worker_id] = reservation
        if former is None or former.worker_id != worker_id:
            log_event(
                "room.reserved",
                task=format_task_id(task.task_id),
                worker=worker_id,
                expected_s=room_s,
                cores_milli=task.step.spec.cores_milli,
                free_milli=best.cores_free,
                changes=changes,
            )
        return True


def expected_room_s(capacity: WorkerCapacity, spec: Step, now_s: float) -> float:
    """Return when a task fits on a worker if nothing starts there, in seconds.

    Infinite if it does not fit beside the standing tasks.
    """
    entry = capacity.entry
    cores_milli = (0 if spec.uses_leftover else spec.cores_milli) - capacity.cores_free
    memory_mb = spec.memory_mb - (entry.memory_mb - capacity.memory_used)
    accelerators = spec.accelerators - (entry.accelerators - capacity.accelerators_used)
    if cores_milli <= 0 and memory_mb <= 0 and accelerators <= 0:
        return 0.0
    ends = [
        (expected_remaining_s(run, step, now_s), step)
        for run, step in capacity.runs.values()
        if not step.standing or run.phase is RunPhase.STOPPING
    ]
    ends.sort(key=lambda row: row[0])
    for remaining_s, step in ends:
        cores_milli -= 0 if step.uses_leftover else step.cores_milli
        memory_mb -= step.memory_mb
        accelerators -= step.accelerators
        if cores_milli <= 0 and memory_mb <= 0 and accelerators <= 0:
            return remaining_s
    return NEVER_S


def expected_remaining_s(run: Run, step: Step, now_s: float) -> float:
    """Return the remaining time of a run by its estimate and by its progress.

    The longer one counts, as an estimate may be too short, and the start of an adopted
    run is not known. A run that has exceeded its estimate without any report is
    expected to take as long again.
    """
    if run.phase is RunPhase.STOPPING:
        return 0.0
    elapsed_s = now_s - run.started_s
    if run.percent <= 0:
        remaining_s = step.run_estimate_ms / 1000 - elapsed_s
        return remaining_s if remaining_s > 0 else elapsed_s
    since_s = now_s - run.progressed_s
    by_progress_s = (run.progressed_s - run.started_s) * (100 / run.percent - 1)
    return max(0.0, by_progress_s - since_s, run.remaining_s(step) - since_s)
