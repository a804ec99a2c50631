"""Registry of all jobs and their runs."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dogwoodlever._fleet_job import (
    JobPhase,
    JobProgress,
    JobState,
    Run,
    RunPhase,
    StepState,
    Task,
    estimate_state_bytes,
)
from dogwoodlever._fleet_types import (
    EndedRun,
    FleetConfiguration,
    Queue,
    RunId,
    Step,
    SubmittedJob,
    TaskId,
)

# Run numbers of a task in one term; those of later terms are higher.
RUNS_PER_TERM = 1000

ENDED_DONE = "done"
ENDED_FAILED = "failed"


@dataclass(slots=True, frozen=True)
class EndOutcome:
    """Consequences of the end of a run.

    Attributes
    ----------
    task : Task or None
        None if the run belongs to no registered task.
    is_failure : bool
        Whether the run counts as a failure of its task.
    job_ended : bool
        Whether the job ended with the run.
    obsolete : tuple of Run
        Other runs that must be stopped now.
    """

    task: Task | None
    is_failure: bool = False
    job_ended: bool = False
    obsolete: tuple[Run, ...] = ()


class RunRegistry:
    """Jobs, their tasks and runs; placement is decided elsewhere.

    Parameters
    ----------
    term : int
        Number of the term of leadership, from 1.
    """

    __slots__ = ("_held_since_s", "_run_base", "active", "dirty", "jobs", "state_bytes")

    def __init__(self, term: int) -> None:
        self._run_base = (term - 1) * RUNS_PER_TERM
        self.jobs: dict[str, JobState] = {}
        # Jobs that have not ended.
        self.active: dict[str, JobState] = {}
        # Jobs whose progress has changed since it was stored.
        self.dirty: set[str] = set()
        # Memory of the jobs that have not ended.
        self.state_bytes = 0
        # By id of a held job: since when it is known.
        self._held_since_s: dict[str, float] = {}

    def add_job(
        self,
        job: SubmittedJob,
        queue: Queue,
        revision: int,
        now_s: float,
        progress: JobProgress | None = None,
    ) -> JobState:
        """Add a job, with its stored progress if there is any."""
        state = JobState(job, queue, revision, now_s)
        self.remove_job(job.job_id)
        self.jobs[job.job_id] = state
        if progress is not None:
            state.restore(progress)
        if state.has_ended:
            return state
        self.active[job.job_id] = state
        self.state_bytes += estimate_state_bytes(job)
        if progress is not None:
            self._end_restored(state)
        return state

    def remove_job(self, job_id: str) -> None:
        """Forget a job, if it is known."""
        self.jobs.pop(job_id, None)
        self._deactivate(job_id)

    def hold_job(self, job_id: str, now_s: float) -> None:
        """Let no task of a job start, be copied or moved until it is released."""
        self._held_since_s[job_id] = now_s

    def is_held(self, job_id: str) -> bool:
        """Return whether nothing of a job may start yet."""
        return job_id in self._held_since_s

    @property
    def held_count(self) -> int:
        """Number of held jobs."""
        return len(self._held_since_s)

    def release_jobs(self, may_act_by: Callable[[int, float], bool]) -> None:
        """Release the held jobs by whose version this daemon may act.

        `may_act_by` is called with the version that accepted a job, and the time since
        which the job is known.
        """
        for job_id, since_s in list(self._held_since_s.items()):
            if may_act_by(self.jobs[job_id].job.configuration_version, since_s):
                del self._held_since_s[job_id]

    def _deactivate(self, job_id: str) -> None:
        self._held_since_s.pop(job_id, None)
        state = self.active.pop(job_id, None)
        if state is not None:
            self.state_bytes -= estimate_state_bytes(state.job)

    def _end_restored(self, state: JobState) -> None:
        """End a job of which the records of two leaders together leave nothing to run.

        No end of a run would be left to end it.
        """
        state.close_finished()
        self._end_without_attempts(state)
        if state.has_ended and state.job.job_id in self.active:
            self._close(state)

    def _end_without_attempts(self, state: JobState) -> tuple[Run, ...]:
        """End a job of which a task has no attempts left; return the runs to stop."""
        if any(map(_has_used_attempts, state.tasks())):
            return self.end_job(state, JobPhase.FAILED)
        return ()

    def route_jobs(self, configuration: FleetConfiguration) -> list[Run]:
        """Set the services of all jobs by a new version; return the runs to stop.

        Jobs that an earlier build accepted take the queue of the first version that has
        it.
        """
        obsolete: list[Run] = []
        for state in list(self.active.values()):
            queue = configuration.queues.get(state.job.queue)
            if not state.queue.service and queue is not None:
                state.set_queue(queue)
                obsolete.extend(self._end_without_attempts(state))
            state.service = configuration.find_service(state.job, state.queue)
        return obsolete

    def open_due(self, now_ms: float) -> None:
        """Open the occurrences that are due."""
        for state in self.active.values():
            state.open_due(now_ms)

    def find(self, task_id: TaskId) -> Task | None:
        """Return a task, or None if its occurrence is not open."""
        state = self.jobs.get(task_id.job_id)
        if state is None:
            return None
        occurrence = state.occurrences.get(task_id.occurrence)
        if occurrence is None or task_id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[task_id.step].tasks
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def find_step(self, task_id: TaskId) -> Step | None:
        """Return a task's step, also if its job has ended; None if it is unknown."""
        state = self.jobs.get(task_id.job_id)
        if state is None or task_id.step >= len(state.job.steps):
            return None
        return state.job.steps[task_id.step]

    def _open_reported(self, task_id: TaskId) -> None:
        state = self.jobs.get(task_id.job_id)
        if state is not None:
            state.open_reported(task_id.occurrence)

    def begin_run(self, task: Task, worker_id: str, now_s: float, number=0) -> Run:
        """Record the start of a task and return the new run.

        The members of a gang share `number`, or the term's first one if it is higher.
        """
        if number:
            number = max(number, self._run_base + 1)
        else:
            number = self.next_run_number(task)
        run = Run(RunId(task.task_id, number), worker_id, RunPhase.STARTING, now_s)
        self._attach(task, run)
        return run

    def next_run_number(self, task: Task) -> int:
        """Return the number of the task's next run."""
        return max(task.last_run, self._run_base) + 1

    def adopt_run(
        self, run_id: RunId, worker_id: str, checkpoint: str, now_s: float
    ) -> Run | None:
        """Adopt a run that a worker lists; None if it must be stopped."""
        self._open_reported(run_id.task)
        task = self.find(run_id.task)
        if task is None or task.is_done or task.step.job.has_ended:
            return None
        if run_id.number in task.runs:
            return task.runs[run_id.number]
        task.last_run = max(task.last_run, run_id.number)
        if task.runs and not task.step.spec.speculative:
            return None
        # Workers do not report the speed limit that a former leader ordered. It orders
        # limits for best-effort runs only.
        speed_limit_percent = -1 if task.step.spec.uses_leftover else 100
        run = Run(
            run_id,
            worker_id,
            RunPhase.RUNNING,
            now_s,
            speed_limit_percent=speed_limit_percent,
        )
        self._attach(task, run)
        task.checkpoint = checkpoint or task.checkpoint
        return run

    def _attach(self, task: Task, run: Run) -> None:
        task.last_run = max(task.last_run, run.run_id.number)
        task.runs[run.run_id.number] = run
        task.dropped_run = None
        step = task.step
        step.worker_tasks[run.worker_id] = step.worker_tasks.get(run.worker_id, 0) + 1
        if run.phase is RunPhase.RUNNING:
            step.job.has_started = True
        if step.job.phase is JobPhase.QUEUED:
            step.job.phase = JobPhase.RUNNING
        step.refresh(task)

    def confirm_start(self, run: Run) -> None:
        """Record that a worker runs a run that was ordered."""
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        state = self.jobs.get(run.run_id.task.job_id)
        if state is not None:
            state.has_started = True

    def drop_run(self, task: Task, number: int) -> Run | None:
        """Remove a run that has ended for certain or never started."""
        task.drop_start_record(number)
        run = task.runs.pop(number, None)
        if run is None:
            return None
        worker_tasks = task.step.worker_tasks
        worker_tasks[run.worker_id] -= 1
        if not worker_tasks[run.worker_id]:
            del worker_tasks[run.worker_id]
        if not task.step.job.has_ended:
            task.step.refresh(task)
        return run

    def end_run(self, end: EndedRun, worker_id: str) -> EndOutcome:
        """Record the end of a run that a worker listed.

        A run of the same number on another worker goes on: a former leader may have
        given the number, if it started the task more than `RUNS_PER_TERM` times.
        """
        self._open_reported(end.run.task)
        task = self.find(end.run.task)
        if task is None:
            return EndOutcome(None)
        run = task.runs.get(end.run.number)
        if run is None or run.worker_id == worker_id:
            self.drop_run(task, end.run.number)
            task.dropped_run = None
        is_newest = end.run.number >= task.last_run
        task.last_run = max(task.last_run, end.run.number)
        job = task.step.job
        job.has_started = True
        if job.has_ended or task.is_done:
            return EndOutcome(task)
        self.dirty.add(job.job.job_id)
        if end.outcome == ENDED_DONE and not task.step.spec.standing:
            return self._finish(task, end.run.number)
        if end.checkpoint and (is_newest or not task.checkpoint):
            task.checkpoint = end.checkpoint
        if end.outcome == ENDED_FAILED:
            return self._fail(task, end.run.number)
        return EndOutcome(task)

    def _finish(self, task: Task, number: int) -> EndOutcome:
        step = task.step
        done = step.tasks if step.spec.gang else [task]
        obsolete: list[Run] = []
        for finished in done:
            if not finished.is_done:
                finished.is_done = True
                step.done += 1
                obsolete.extend(finished.runs.values())
            step.refresh(finished)
        job = step.job
        if step.is_done:
            job.occurrences[step.occurrence].open_steps()
            job.close_finished()
        if job.has_ended:
            self._close(job)
        if step.spec.gang:
            # The other members of this run of the gang end on their own.
            obsolete = [
                run
                for run in obsolete
                if run.run_id.number != number or run.run_id.task == task.task_id
            ]
        return EndOutcome(task, job_ended=job.has_ended, obsolete=tuple(obsolete))

    def _fail(self, task: Task, number: int) -> EndOutcome:
        step = task.step
        if step.spec.standing:
            return EndOutcome(task, is_failure=True)
        task.accountable.failed_runs.add(number)
        if not _has_used_attempts(task.accountable):
            return EndOutcome(task, is_failure=True)
        runs = self.end_job(step.job, JobPhase.FAILED)
        return EndOutcome(task, is_failure=True, job_ended=True, obsolete=runs)

    def end_job(self, state: JobState, phase: JobPhase) -> tuple[Run, ...]:
        """End a job before its tasks are done and return the runs to stop."""
        if state.has_ended:
            return ()
        state.phase = phase
        runs = tuple(run for task in state.tasks() for run in task.runs.values())
        self._close(state)
        return runs

    def _close(self, state: JobState) -> None:
        self._deactivate(state.job.job_id)
        self.dirty.add(state.job.job_id)
        may_have_runs = state.is_inherited or any(
            task.last_run for task in state.tasks()
        )
        if not may_have_runs:
            # No report of a run can name its tasks, whose state is large.
            state.occurrences.clear()
        for occurrence in state.occurrences.values():
            for step in occurrence.steps:
                step.ready.clear()

    def count_pending(self) -> Counter[str]:
        """Return the number of jobs by queue that have started no task yet."""
        return Counter(
            state.queue.name for state in self.active.values() if not state.has_started
        )

    def find_pending(self) -> dict[str, list[str]]:
        """Return the ids of the jobs by queue that have started no task yet."""
        pending: dict[str, list[str]] = {}
        for job_id, state in self.active.items():
            if not state.has_started:
                pending.setdefault(state.queue.name, []).append(job_id)
        return pending

    def active_steps(self) -> Iterable[StepState]:
        """Yield the steps that have tasks to start."""
        for state in self.active.values():
            if not self.is_held(state.job.job_id):
                yield from state.active_steps()


def _has_used_attempts(task: Task) -> bool:
    """Return whether a task has failed as often as its queue allows.

    It has not while the queue, and so the number, is not known.
    """
    step = task.step
    return (
        not task.is_done
        and not step.spec.standing
        and bool(step.job.queue.service)
        and len(task.failed_runs) >= step.job.queue.attempts_max
    )
