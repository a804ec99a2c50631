"""State of a job: its occurrences, steps, tasks and runs."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from dogwoodlever._drop_evidence import DroppedRun
from dogwoodlever._fleet_types import (
    Queue,
    RunId,
    Step,
    StepId,
    SubmittedJob,
    TaskId,
)


class JobPhase(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


# Memory of a job, and of each of its steps and tasks, in a leader; measured as resident
# memory of 60 jobs of 1,000 tasks.
JOB_BYTES = 2_000
STEP_BYTES = 700
TASK_BYTES = 1_400

ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class LostRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that was lost in a crash of its worker.

    Attributes
    ----------
    age_ms : int
        Time from its start to the crash.
    """

    age_ms: int
    worker_id: str


class StartRecord(msgspec.Struct, frozen=True, array_like=True):
    """A stored start of a task.

    Attributes
    ----------
    number : int
        Number of the run.
    worker_started_at_ms : int
        Start of the worker's incarnation, in Unix milliseconds; 0 if unknown.
    seen_clock_ms : int
        The worker's clock when it confirmed or first listed the run; -1 before that.
    """

    number: int
    worker_id: str
    worker_started_at_ms: int
    seen_clock_ms: int = -1


class RunPhase(StrEnum):
    """State of a run as known to the scheduler."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """One start of a task on one worker.

    Attributes
    ----------
    started_s : float
        When the start was ordered, on the scheduler's clock.
    percent : int
        Progress as last reported; -1 before the first report.
    progressed_s : float
        When the progress last changed.
    progressed_clock_ms : int
        The worker's clock in the report of that change.
    load : int
        Value reported with the progress: tail latency in ms of a serving run, else
        usage in thousandths of a core.
    speed_limit_percent : int
        Speed limit last ordered, in percent of full speed; -1 if unknown.
    throttled_s : float
        When a speed limit was last ordered.
    slow_since_s : float
        Since when the speed limit is low enough to move the run; infinite if not.
    sampled_s : float
        When its latency was last sampled.
    over_target_since_s : float
        Since when its latency exceeds its target; infinite if it does not.
    latency_excess : float
        Average excess of its latency over the expected one, as a logarithm.
    may_have_started : bool
        Whether an order to start it may have been carried out.
    seen_clock_ms : int
        The worker's clock when it confirmed or first listed the run; -1 before that.
    is_proven : bool
        Whether it has run for so long that it does not crash its worker.
    is_watched : bool
        Whether its reports may still clear its task of crashes.
    """

    run_id: RunId
    worker_id: str
    phase: RunPhase
    started_s: float
    percent: int = -1
    progressed_s: float = 0.0
    progressed_clock_ms: int = 0
    load: int = 0
    speed_limit_percent: int = 100
    throttled_s: float = float("-inf")
    slow_since_s: float = float("inf")
    sampled_s: float = float("-inf")
    over_target_since_s: float = float("inf")
    latency_excess: float = 0.0
    may_have_started: bool = True
    seen_clock_ms: int = -1
    is_proven: bool = False
    is_watched: bool = True

    @property
    def is_listed(self) -> bool:
        """Whether the incarnation of its worker lists it and it need not stop."""
        return self.phase is RunPhase.RUNNING and self.percent >= 0

    def remaining_s(self, step: Step) -> float:
        """Return the estimated run time left at the last report."""
        return step.run_estimate_ms / 1000 * (100 - max(self.percent, 0)) / 100

    def forget_reports(self, step: Step) -> None:
        """Forget what an incarnation of its worker reported, as the next one follows.

        The clock of the next one starts anew, and so does a run that it carries out.
        """
        self.percent = -1
        self.progressed_clock_ms = 0
        self.seen_clock_ms = -1
        if step.uses_leftover:
            self.speed_limit_percent = -1


@dataclass(slots=True)
class Task:
    """One task of a step.

    Attributes
    ----------
    crashes : dict of int to str
        Runs that may have crashed their worker, with its id; empty if unknown.
    unanswered_crashes : set of int
        Those of them that may not have been carried out, as far as this leader knows.
    late_crashes : set of int
        Runs in a row that were lost in a crash after their probation.
    lost_runs : dict of int to LostRun
        Runs in a row that were lost in a crash, by number.
    dropped_run : DroppedRun or None
        The last run, if it was dropped without a listed end.
    is_inherited : bool
        Whether a former leader may have started it, and no run has ended by itself or
        outlived the late probation since.
    start_record : StartRecord or None
        Its last start, to be stored, while that may still end in a crash.
    """

    task_id: TaskId
    step: "StepState"
    is_done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0
    checkpoint: str = ""
    runs: dict[int, Run] = field(default_factory=dict)
    failed_on: set[str] = field(default_factory=set)
    crashes: dict[int, str] = field(default_factory=dict)
    unanswered_crashes: set[int] = field(default_factory=set)
    late_crashes: set[int] = field(default_factory=set)
    lost_runs: dict[int, LostRun] = field(default_factory=dict)
    dropped_run: DroppedRun | None = None
    is_inherited: bool = False
    start_record: StartRecord | None = None

    @property
    def accountable(self) -> "Task":
        """Task on which failures and crashes count: the first of a gang."""
        return self.step.tasks[0] if self.step.spec.gang else self

    @property
    def is_ready(self) -> bool:
        """Whether the task is neither done nor running."""
        return not self.is_done and not self.runs

    def drop_start_record(self, number: int) -> bool:
        """Drop the record of a start whose outcome is known; return whether it was."""
        if self.start_record is None or self.start_record.number != number:
            return False
        self.start_record = None
        return True


class StepState:
    """Tasks of one step of one occurrence.

    Attributes
    ----------
    ready : dict of int to Task
        Tasks that may be started now, by index; empty until earlier steps are done.
    worker_tasks : dict of str to int
        Number of the step's runs by worker id.
    """

    __slots__ = (
        "done",
        "is_open",
        "job",
        "number",
        "occurrence",
        "ready",
        "spec",
        "step_id",
        "tasks",
        "worker_tasks",
    )

    def __init__(self, job: "JobState", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: Step = job.job.steps[number]
        self.step_id = StepId(job.job.job_id, occurrence, number)
        self.tasks = [
            Task(TaskId(job.job.job_id, occurrence, number, index), self)
            for index in range(self.spec.tasks)
        ]
        self.done = 0
        self.is_open = False
        self.ready: dict[int, Task] = {}
        self.worker_tasks: dict[str, int] = {}

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done == len(self.tasks)

    def refresh(self, task: Task) -> None:
        """Update `ready` after a change of one task."""
        if self.is_open and task.is_ready:
            self.ready[task.task_id.index] = task
        else:
            self.ready.pop(task.task_id.index, None)

    def open(self) -> None:
        """Allow the tasks to start."""
        if self.is_open:
            return
        self.is_open = True
        for task in self.tasks:
            self.refresh(task)


class Occurrence:
    """One execution of the steps of a job."""

    __slots__ = ("due_ms", "number", "steps")

    def __init__(self, job: "JobState", number: int, due_ms: int) -> None:
        self.number = number
        self.due_ms = due_ms
        self.steps = [
            StepState(job, number, index) for index in range(len(job.job.steps))
        ]

    @property
    def is_done(self) -> bool:
        """Whether every step is done."""
        return all(step.is_done for step in self.steps)

    def open_steps(self) -> None:
        """Open each step whose predecessors are done."""
        for step in self.steps:
            if not step.is_open and self._may_open(step):
                step.open()

    def _may_open(self, step: StepState) -> bool:
        return all(self.steps[predecessor].is_done for predecessor in step.spec.after)


class StepProgress(msgspec.Struct, omit_defaults=True):
    """Stored progress of a step.

    Attributes
    ----------
    done : str
        Bit set of the tasks that are done, in hexadecimal.
    failures, checkpoints : dict
        Numbers of failed runs and the newest checkpoint by index of the task. The
        numbers are kept instead of a count, because a worker may list an end again
        to a later leader.
    crashes, late_crashes : dict
        Numbers of runs that may have crashed their worker, by index of the task, and
        of those that were lost in a crash after their probation.
    lost_runs : dict
        Runs in a row that were lost in a crash, by index of the task and by number.
    starts : dict of int to StartRecord
        Last starts of tasks that may crash their workers, by index of the task.
    """

    done: str = "0"
    failures: dict[int, tuple[int, ...]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, tuple[int, ...]] = {}
    late_crashes: dict[int, tuple[int, ...]] = {}
    lost_runs: dict[int, dict[int, LostRun]] = {}
    starts: dict[int, StartRecord] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """Stored progress of a job, with its occurrences by number.

    `has_started` tells whether a run of it is known to have begun; a job whose starts
    got no answer is in the phase `running` too.
    """

    phase: str = JobPhase.QUEUED
    finished: int = 0
    occurrences: dict[int, list[StepProgress]] = {}
    has_started: bool = False

    def leave_out_checkpoints(self, excess_bytes: int) -> int:
        """Remove the longest checkpoints to save space; return how many."""
        checkpoints = [
            (len(checkpoint), step, index)
            for steps in self.occurrences.values()
            for step in steps
            for index, checkpoint in step.checkpoints.items()
        ]
        checkpoints.sort(key=lambda row: row[0], reverse=True)
        for count, (size_bytes, step, index) in enumerate(checkpoints):
            if excess_bytes <= 0:
                return count
            del step.checkpoints[index]
            excess_bytes -= size_bytes
        return len(checkpoints)


def estimate_state_bytes(job: SubmittedJob) -> int:
    """Return the memory that a job takes in a leader, with one occurrence open."""
    tasks = sum(step.tasks for step in job.steps)
    return (
        JOB_BYTES + len(job.payload) + len(job.steps) * STEP_BYTES + tasks * TASK_BYTES
    )


def merge_progress(first: JobProgress, other: JobProgress) -> JobProgress:
    """Return the union of two records, both of which only grow over time."""
    for record in (first, other):
        if JobPhase(record.phase) in ENDED_PHASES:
            return record
    occurrences = dict(first.occurrences)
    finished = max(first.finished, other.finished)
    for number, steps in other.occurrences.items():
        first_steps = occurrences.get(number)
        if first_steps is None:
            occurrences[number] = steps
            continue
        occurrences[number] = [
            _merge_step(a, b) for a, b in zip(first_steps, steps, strict=True)
        ]
    unfinished = {
        number: steps for number, steps in occurrences.items() if number >= finished
    }
    return JobProgress(
        max(first.phase, other.phase),
        finished,
        unfinished,
        first.has_started or other.has_started,
    )


def _merge_step(first: StepProgress, other: StepProgress) -> StepProgress:
    return StepProgress(
        f"{int(first.done, 16) | int(other.done, 16):x}",
        _merge_runs(first.failures, other.failures),
        {**first.checkpoints, **other.checkpoints},
        _merge_runs(first.crashes, other.crashes),
        _merge_runs(first.late_crashes, other.late_crashes),
        {
            index: {**first.lost_runs.get(index, {}), **other.lost_runs.get(index, {})}
            for index in sorted({*first.lost_runs, *other.lost_runs})
        },
        _merge_starts(first.starts, other.starts),
    )


def _merge_starts(
    first: dict[int, StartRecord], other: dict[int, StartRecord]
) -> dict[int, StartRecord]:
    merged = dict(first)
    for index, record in other.items():
        known = merged.get(index)
        if known is None or known.number < record.number:
            merged[index] = record
    return merged


def _merge_runs(
    first: dict[int, tuple[int, ...]], other: dict[int, tuple[int, ...]]
) -> dict[int, tuple[int, ...]]:
    merged = dict(first)
    for index, runs in other.items():
        merged[index] = tuple(sorted({*runs, *merged.get(index, ())}))
    return merged


class JobState:
    """State of a registered job.

    Parameters
    ----------
    job : SubmittedJob
        The job as submitted.
    queue : Queue
        Queue of the job when it was accepted, without a service if it is not known.
    revision : int
        Revision of the submission in the store, which orders jobs by arrival.
    arrived_s : float
        Arrival on the scheduler's clock.

    Attributes
    ----------
    has_started : bool
        Whether a worker has begun a run of one of its tasks, as far as this leader
        knows.
    service : str
        Service on which its tasks run, empty if it is not known.
    """

    __slots__ = (
        "arrived_s",
        "finished",
        "has_started",
        "is_inherited",
        "is_over_rate",
        "job",
        "objective_s",
        "occurrences",
        "phase",
        "queue",
        "revision",
        "service",
    )

    def __init__(
        self, job: SubmittedJob, queue: Queue, revision: int, arrived_s: float
    ) -> None:
        self.job = job
        self.revision = revision
        self.arrived_s = arrived_s
        self.phase = JobPhase(job.ended_phase or JobPhase.QUEUED)
        self.has_started = False
        self.is_inherited = False
        # Whether it arrived beyond the usual rate of its workspace.
        self.is_over_rate = False
        # Occurrences below this number are done and no longer in memory.
        self.finished = 0
        self.occurrences: dict[int, Occurrence] = {}
        self.set_queue(queue)

    def set_queue(self, queue: Queue) -> None:
        """Set the queue, when it becomes known."""
        self.queue = queue
        self.service = queue.service
        path_s = self.critical_path_s()
        self.objective_s = queue.stretch * path_s + queue.slack_ms / 1000

    @property
    def has_ended(self) -> bool:
        """Whether the job has completed, failed or been cancelled."""
        return self.phase in ENDED_PHASES

    @property
    def has_runs(self) -> bool:
        """Whether any of its tasks runs."""
        return any(
            step.worker_tasks
            for occurrence in self.occurrences.values()
            for step in occurrence.steps
        )

    @property
    def is_standing(self) -> bool:
        """Whether any of its tasks run until the job is cancelled."""
        return any(step.standing for step in self.job.steps)

    def critical_path_s(self) -> float:
        """Return the estimated run time of the critical path of all steps."""
        end_times_s: list[float] = []
        for step in self.job.steps:
            start_s = max(
                (end_times_s[predecessor] for predecessor in step.after), default=0.0
            )
            duration_s = self.queue.advice_call_s + step.run_estimate_ms / 1000
            end_times_s.append(start_s + duration_s)
        # The steps of an ended job may no longer be stored.
        return max(end_times_s, default=0.0)

    def remaining_critical_path_s(self, occurrence: Occurrence) -> float:
        """Return the estimated run time of the critical path that is not done."""
        end_times_s: list[float] = []
        for step in occurrence.steps:
            start_s = max(
                (end_times_s[predecessor] for predecessor in step.spec.after),
                default=0.0,
            )
            duration_s = self.queue.advice_call_s + step.spec.run_estimate_ms / 1000
            duration_s = 0.0 if step.is_done else duration_s
            end_times_s.append(start_s + duration_s)
        return max(end_times_s)

    def remaining_core_s(self, occurrence: Occurrence) -> float:
        """Return the estimated core-seconds of the tasks that are not done."""
        total = 0.0
        for step in occurrence.steps:
            remaining = len(step.tasks) - step.done
            total += remaining * step.spec.cores_milli * step.spec.run_estimate_ms / 1e6
        return total

    def active_steps(self):
        """Yield the steps that have tasks to start."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                if step.ready:
                    yield step

    def tasks(self):
        """Yield every task of the open occurrences."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                yield from step.tasks

    def open_due(self, now_ms: float) -> None:
        """Open the occurrences that are due."""
        if not self.job.occurrences:
            self._open(0, self.job.submitted_ms)
            return
        for number in range(self.finished, self.job.occurrences):
            due_ms = self.job.first_due_ms + number * self.job.interval_ms
            if due_ms > now_ms:
                return
            self._open(number, due_ms)

    def open_reported(self, number: int) -> None:
        """Open an occurrence of which a worker reports a run.

        The clock of the leader that started it may have been ahead.
        """
        if not self.has_ended and 0 <= number < self.job.occurrences:
            self._open(number, self.job.first_due_ms + number * self.job.interval_ms)

    def _open(self, number: int, due_ms: int) -> None:
        if number in self.occurrences or number < self.finished:
            return
        occurrence = Occurrence(self, number, due_ms)
        self.occurrences[number] = occurrence
        occurrence.open_steps()

    def next_due_ms(self) -> int | None:
        """Return when the next occurrence is due, or None if none is left."""
        if not self.job.occurrences or self.has_ended:
            return None
        number = max(self.occurrences, default=self.finished - 1) + 1
        number = max(number, self.finished)
        if number >= self.job.occurrences:
            return None
        return self.job.first_due_ms + number * self.job.interval_ms

    def close_finished(self) -> None:
        """Drop the leading done occurrences; complete the job after the last one."""
        while self.finished in self.occurrences:
            if not self.occurrences[self.finished].is_done:
                return
            if not self.job.occurrences:
                self.phase = JobPhase.COMPLETED
                return
            del self.occurrences[self.finished]
            self.finished += 1
        if self.job.occurrences and self.finished >= self.job.occurrences:
            self.phase = JobPhase.COMPLETED

    def progress(self) -> JobProgress:
        """Return the progress to store."""
        occurrences = {
            number: [_step_progress(step) for step in occurrence.steps]
            for number, occurrence in self.occurrences.items()
        }
        if self.has_ended:
            occurrences = {}
        return JobProgress(
            self.phase.value, self.finished, occurrences, self.has_started
        )

    def submission_to_keep(self) -> SubmittedJob:
        """Return the submission of this ended job without what nobody reads again.

        Each later leader loads it, until the job's state need not be readable any more.
        """
        has_runs = any(task.runs for task in self.tasks())
        is_complete = self.phase is JobPhase.COMPLETED and not has_runs
        return msgspec.structs.replace(
            self.job,
            payload="",
            steps=() if is_complete else self.job.steps,
            ended_phase=self.phase.value,
            accepted_queue=None,
        )

    def restore(self, progress: JobProgress) -> None:
        """Restore stored progress, unless the submission shows that the job ended."""
        if self.has_ended:
            return
        self.phase = JobPhase(progress.phase)
        self.finished = progress.finished
        # A run of a job that has started may not have been listed to this leader yet.
        self.has_started = progress.has_started or self.finished > 0
        for number, steps in progress.occurrences.items():
            due_ms = self.job.submitted_ms
            if self.job.occurrences:
                due_ms = self.job.first_due_ms + number * self.job.interval_ms
            self._open(number, due_ms)
            occurrence = self.occurrences.get(number)
            if occurrence is None:
                continue
            for step, stored in zip(occurrence.steps, steps, strict=True):
                _restore_step(step, stored)
                self.has_started |= int(stored.done, 16) > 0 or bool(stored.failures)
            occurrence.open_steps()


def _step_progress(step: StepState) -> StepProgress:
    done = 0
    failures = {}
    checkpoints = {}
    crashes = {}
    late_crashes = {}
    lost_runs = {}
    starts = {}
    for index, task in enumerate(step.tasks):
        if task.is_done:
            done |= 1 << index
            continue
        if task.crashes:
            crashes[index] = tuple(sorted(task.crashes))
        if task.late_crashes:
            late_crashes[index] = tuple(sorted(task.late_crashes))
        if task.lost_runs:
            lost_runs[index] = dict(task.lost_runs)
        if task.failed_runs:
            failures[index] = tuple(sorted(task.failed_runs))
        if task.checkpoint:
            checkpoints[index] = task.checkpoint
        if task.start_record is not None:
            starts[index] = task.start_record
    return StepProgress(
        f"{done:x}", failures, checkpoints, crashes, late_crashes, lost_runs, starts
    )


def _restore_step(step: StepState, stored: StepProgress) -> None:
    done = int(stored.done, 16)
    for index, task in enumerate(step.tasks):
        task.is_done = bool(done >> index & 1)
        task.failed_runs = set(stored.failures.get(index, ()))
        task.crashes = dict.fromkeys(stored.crashes.get(index, ()), "")
        task.late_crashes = set(stored.late_crashes.get(index, ()))
        task.lost_runs = dict(stored.lost_runs.get(index, {}))
        task.failed_on.update(run.worker_id for run in task.lost_runs.values())
        task.start_record = stored.starts.get(index)
        task.last_run = max(
            (*task.failed_runs, *task.crashes, *task.late_crashes, *task.lost_runs),
            default=0,
        )
        if task.start_record is not None:
            task.last_run = max(task.last_run, task.start_record.number)
        task.checkpoint = stored.checkpoints.get(index, "")
        step.refresh(task)
    step.done = done.bit_count()
