"""Stored state of a cell: its jobs, tasks and attempts."""

import zlib

import msgspec

from dogwoodlever._chart import Chart
from dogwoodlever._class_estimates import ClassUsage
from dogwoodlever._job import Job
from dogwoodlever._records import encode_record
from dogwoodlever.batch_errors import CellStateError

TASK_CHART = Chart.load("task")
HISTORY_MAX = 10
# Cell states are repetitive text; the fastest level compresses nearly as well.
COMPRESSION_LEVEL = 1
ENDED_STATES = frozenset({"finished", "failed", "cancelled"})
PLACED_STATES = frozenset({"assigned", "running", "stopping", "cancelling"})


class TaskEvent(msgspec.Struct, array_like=True):
    """Entry in the history of a task.

    Attributes
    ----------
    at_s : float
        Unix time in seconds.
    """

    at_s: float
    event: str
    attempt: int
    worker: str
    reason: str


class Task(msgspec.Struct, array_like=True):
    """State of a task.

    Attributes
    ----------
    attempt : int
        Number of the latest attempt; 0 before the first.
    worker : str
        Worker of the latest attempt; empty while the task is not placed.
    planned_cores : float
        Cores reserved for the latest attempt.
    checkpoint_s : float
        Run time saved by the latest checkpoint.
    failed_on : list of str
        Workers on which an attempt failed.
    crashed_on : list of str
        Workers that crashed soon after an attempt had started there, one entry each
        time; cleared by an attempt that runs on.
    """

    task_id: str
    job_id: str
    state: str = TASK_CHART.initial
    attempt: int = 0
    worker: str = ""
    planned_cores: float = 0.0
    checkpoint_s: float = 0.0
    failed_on: list[str] = []
    history: list[TaskEvent] = []
    crashed_on: list[str] = []

    @property
    def started_s(self) -> float:
        """Unix time of the first report of the latest attempt; infinite before."""
        return next(
            (
                entry.at_s
                for entry in reversed(self.history)
                if entry.event == "start" and entry.attempt == self.attempt
            ),
            float("inf"),
        )

    def apply(self, event: str, at_s: float, reason: str, worker: str = "") -> None:
        """Apply an event of the task chart and record it in the history.

        Parameters
        ----------
        event : str
            Event of the task chart.
        at_s : float
            Wall-clock time.
        reason : str
            Reason for the history.
        worker : str, default=""
            Worker that the task is placed on; only for ``assign``.

        Raises
        ------
        ChartError
            If the event is not allowed in the current state.
        """
        self.state = TASK_CHART.next(self.state, event)
        if event == "assign":
            self.attempt += 1
            self.worker = worker
        entry = TaskEvent(round(at_s, 3), event, self.attempt, self.worker, reason)
        self.history = [*self.history[-HISTORY_MAX + 1 :], entry]
        if self.state not in PLACED_STATES:
            self.worker = ""


class CellStateRecord(msgspec.Struct):
    """Stored state of a cell.

    Attributes
    ----------
    owner : str
        Member that may change the state and sync workers; empty if none.
    lease_s : float
        Longest lease that any owner has granted to workers.
    classes : dict of str to ClassUsage
        Measured usage of the tasks of each class.
    epoch : int
        Incremented by each load of the state; workers reject lower epochs.
    """

    owner: str = ""
    epoch: int = 0
    jobs: dict[str, Job] = {}
    tasks: dict[str, Task] = {}
    lease_s: float = 0.0
    classes: dict[str, ClassUsage] = {}
    sequence: int = 0

    def add_job(self, job: Job, at_s: float) -> bool:
        """Add a job and queue its tasks; return False if the job exists."""
        if job.job in self.jobs:
            return False
        self.jobs[job.job] = job
        for task_id in job.task_ids():
            task = Task(task_id, job.job)
            task.history = [TaskEvent(round(at_s, 3), "submit", 0, "", "submitted")]
            self.tasks[task_id] = task
        return True

    def job_ended(self, job_id: str) -> bool:
        """Return whether all tasks of a job have ended."""
        ids = self.jobs[job_id].task_ids()
        return all(self.tasks[task_id].state in ENDED_STATES for task_id in ids)

    def job_tasks(self, job_id: str) -> list[Task]:
        """Return the tasks of a job."""
        return [self.tasks[task_id] for task_id in self.jobs[job_id].task_ids()]

    def drop_job(self, job_id: str) -> None:
        """Remove a job and its tasks."""
        for task_id in self.jobs.pop(job_id).task_ids():
            del self.tasks[task_id]


def encode_cell_state(cell_state: CellStateRecord) -> bytes:
    """Encode a cell state as compressed JSON."""
    return zlib.compress(encode_record(cell_state), COMPRESSION_LEVEL)


def decode_cell_state(value: bytes) -> CellStateRecord:
    """Decode a cell state.

    Raises
    ------
    CellStateError
        If the value is not a cell state.
    """
    try:
        return msgspec.json.decode(zlib.decompress(value), type=CellStateRecord)
    except (msgspec.DecodeError, zlib.error) as error:
        raise CellStateError(f"cell state cannot be decoded: {error}") from error
