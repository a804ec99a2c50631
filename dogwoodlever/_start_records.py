"""Stored starts, by which a successor finds crashes that no leader has stored.

A leader that is lost just after a crash of a worker leaves no trace of it, so its
successor starts the task again without knowing the crash. The starts of a task are
therefore stored if it has lost runs in crashes, or if its job is inherited and a worker
of the former leader has ended, as that may have been a first, unknown crash. The start
of a run whose worker is gone or answers as another incarnation counts as a crash.

The records are written together with the job's other progress, and no start waits for
its record.
"""

from dogwoodlever._crash_attribution import PROBATION_MS
from dogwoodlever._fleet_job import JobState, Run, RunPhase, StartRecord, Task
from dogwoodlever._fleet_types import RunId, WorkerEntry

# Bounds the time from a crash that was not stored to a successor's first poll of the
# next incarnation: detection of the crash, election and loading.
RECENT_START_MS = 30_000
# Assumed age of a run at a crash that nobody has observed: late, unless its task is a
# suspect.
UNOBSERVED_AGE_S = 2.0
SUSPECT_AGE_S = PROBATION_MS / 2000


class StartRecords:
    """Starts by former leaders whose outcome is unknown, and which starts to store.

    Attributes
    ----------
    has_ended_workers : bool
        Whether a worker on which a former leader may have started runs has ended.
    """

    __slots__ = ("_tasks", "has_ended_workers")

    def __init__(self) -> None:
        self.has_ended_workers = False
        # Tasks whose start by a former leader is stored, by worker id.
        self._tasks: dict[str, list[Task]] = {}

    def add_job(self, state: JobState) -> None:
        """Add the stored starts of an inherited job."""
        for task in state.tasks():
            task.is_inherited = not task.is_done
            if task.start_record is not None:
                self._tasks.setdefault(task.start_record.worker_id, []).append(task)

    def record(self, run: Run, task: Task, entry: WorkerEntry) -> bool:
        """Record a start if its task may crash workers; return whether it may."""
        owner = task.accountable
        has_evidence = owner.crashes or owner.late_crashes or owner.lost_runs
        if not has_evidence and not (task.is_inherited and self.has_ended_workers):
            return False
        task.start_record = StartRecord(
            run.run_id.number, entry.worker_id, entry.started_at_ms
        )
        return True

    def pop_lost(
        self, worker_id: str, started_at_ms: int | None, now_s: float
    ) -> list[tuple[Run, Task]]:
        """Return the runs that ended with their worker, and forget its stored starts.

        Parameters
        ----------
        worker_id : str
            The worker.
        started_at_ms : int or None
            Start of the incarnation that answers, 0 if unknown; None if the worker is
            gone.
        now_s : float
            Current time.
        """
        lost = []
        for task in self._tasks.pop(worker_id, ()):
            record = task.start_record
            if record is None or _is_registered(task, record):
                continue
            task.start_record = None
            may_be_same = started_at_ms is not None and (
                started_at_ms in (0, record.worker_started_at_ms)
                or not record.worker_started_at_ms
            )
            if may_be_same or task.is_done or task.step.job.has_ended:
                continue
            age_s = SUSPECT_AGE_S if task.accountable.crashes else UNOBSERVED_AGE_S
            run_id = RunId(task.task_id, record.number)
            run = Run(run_id, worker_id, RunPhase.RUNNING, now_s - age_s)
            lost.append((run, task))
        return lost

    def discard(self, worker_id: str) -> None:
        """Forget the stored starts on a worker, whose end is not known."""
        for task in self._tasks.pop(worker_id, ()):
            record = task.start_record
            if record is not None and not _is_registered(task, record):
                task.start_record = None


def _is_registered(task: Task, record: StartRecord) -> bool:
    """Return whether the run of a stored start is one of its task's."""
    run = task.runs.get(record.number)
    return run is not None and run.worker_id == record.worker_id
