"""Promises of the scheduler, checked from what workers and callers see."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import RunId, StartOrder, TaskId
from standins.fleet import FakeRun, FakeWorker, FakeWorkers

ATTEMPTS_MAX = 3


@dataclass(slots=True, frozen=True)
class SoakStep:
    """A step of a soak's job.

    Attributes
    ----------
    run_s : float
        How long each run takes; 0 for a standing task.
    failing_part : float
        Part of the runs that fail.
    """

    tasks: int
    cores_milli: int
    run_s: float
    failing_part: float

    def document(self, number: int) -> dict:
        """Return the step as callers submit it."""
        document = {
            "count": self.tasks,
            "cpu": self.cores_milli,
            "mem_mb": 64,
            "est_runtime_ms": int(self.run_s * 1000) or 500,
        }
        if number:
            document["after"] = [number - 1]
        if not self.run_s:
            document["persistent"] = True
        return document


@dataclass(slots=True)
class SoakJob:
    """A job, and what callers were told of it."""

    job_id: str
    steps: tuple[SoakStep, ...]
    outcomes: Counter = field(default_factory=Counter)
    is_open: bool = True
    accepted_s: float | None = None
    cancel_asked: bool = False
    cancelled_s: float | None = None
    phase: str = ""

    @property
    def is_standing(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return not self.steps[0].run_s

    @property
    def may_fail(self) -> bool:
        """Whether a task of it can use up its attempts."""
        return any(step.failing_part for step in self.steps)

    @property
    def was_refused(self) -> bool:
        """Whether every attempt to submit it was answered as not run."""
        return not self.is_open and set(self.outcomes) <= {"refused"}

    def payload(self) -> str:
        """Return the opaque text of its tasks."""
        return json.dumps([[step.run_s, step.failing_part] for step in self.steps])

    def body(self) -> bytes:
        """Return the body of its submission."""
        steps = [step.document(number) for number, step in enumerate(self.steps)]
        return json.dumps({"spec": self.payload(), "steps": steps}).encode()

    def task_ids(self) -> list[TaskId]:
        """Return all its tasks."""
        return [
            TaskId(self.job_id, 0, number, index)
            for number, step in enumerate(self.steps)
            for index in range(step.tasks)
        ]


@dataclass(slots=True)
class SoakWorker(FakeWorker):
    """A worker whose runs do what the payload of their job says."""

    def run_duration_s(self, run: RunId, payload: str) -> float:
        """Return how long a run takes, 0 if it lasts."""
        return json.loads(payload)[run.task.step][0]

    def outcome(self, run: FakeRun) -> str:
        """Return how a run that took its time ends."""
        failing_part = json.loads(run.payload)[run.run.task.step][1]
        drawn = random.Random(f"{run.run}").random()
        return "failed" if drawn < failing_part else "done"


@dataclass(slots=True)
class TaskRecord:
    """What workers saw of one task.

    Attributes
    ----------
    done_s : float or None
        When its first run ended well.
    is_done_noted : bool
        Whether the scheduler acknowledged such an end.
    noted_failures : set of RunId
        Failed runs whose ends were acknowledged.
    last_start_s : float
        When its last run began.
    """

    done_s: float | None = None
    is_done_noted: bool = False
    failures: int = 0
    noted_failures: set = field(default_factory=set)
    last_start_s: float = 0.0


class SoakChecker(FakeWorkers):
    """All workers, and the faults that were found.

    Attributes
    ----------
    jobs : dict of str to SoakJob
        By id.
    faults : list of str
        Broken promises.
    room_refusals : int
        Orders to start that found no room.
    """

    def __init__(self, clock) -> None:
        super().__init__(clock)
        self.jobs: dict[str, SoakJob] = {}
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.faults: list[str] = []
        self.room_refusals = 0
        # When each worker's lease was last seen over.
        self._lapsed_s: dict[str, float] = {}
        self._ended_s: dict[tuple[str, int, int], float] = {}

    def _fault(self, rule: str, what: str) -> None:
        self.faults.append(f"{rule}: {what}")

    def _record(self, task: TaskId) -> TaskRecord:
        return self.tasks.setdefault(task, TaskRecord())

    def advance(self) -> None:
        """Let runs end that are due, and note leases that are over."""
        super().advance()
        now_s = self.clock.seconds()
        for worker_id, worker in self.workers.items():
            if worker.clock_ms(now_s) > worker.until_ms > 0:
                self._lapsed_s[worker_id] = now_s

    def refuses(self, worker: FakeWorker, order: StartOrder) -> RefusalReason | None:
        """Return why a worker refuses an order, as it guards its capacity."""
        used = sum(self._cores(run.run.task) for run in worker.running.values())
        if used + self._cores(order.run.task) > worker.entry.cores_milli:
            self.room_refusals += 1
            return RefusalReason.NO_ROOM
        return None

    def _cores(self, task: TaskId) -> int:
        job = self.jobs.get(task.job_id)
        return job.steps[task.step].cores_milli if job else 0

    def start(self, worker: FakeWorker, order: StartOrder) -> None:
        """Check a start, then carry it out."""
        run = order.run
        where = f"{run} at {worker.entry.worker_id}"
        job = self.jobs.get(run.task.job_id)
        if job is None or order.payload != job.payload():
            self._fault("UNASKED", where)
            return
        record = self._record(run.task)
        if record.is_done_noted:
            self._fault("TWICE", f"{where}: its end was acknowledged before")
        for other in self.workers.values():
            if any(held.task == run.task for held in other.running):
                self._fault("TWICE", f"{where}: runs at {other.entry.worker_id}")
        if len(record.noted_failures) >= ATTEMPTS_MAX and not job.is_standing:
            self._fault("BUDGET", where)
        if job.was_refused:
            self._fault("REFUSED", where)
        for number in range(run.task.step):
            if not self._is_step_done(job, number):
                self._fault("ORDER", f"{where}: step {number} is not done")
        super().start(worker, order)
        record.last_start_s = self.clock.seconds()

    def _is_step_done(self, job: SoakJob, number: int) -> bool:
        tasks = (task for task in job.task_ids() if task.step == number)
        return all(self._record(task).done_s is not None for task in tasks)

    def end(self, worker: FakeWorker, run: FakeRun, outcome: str) -> None:
        """List an end and note when it came."""
        super().end(worker, run, outcome)
        now_s = self.clock.seconds()
        record = self._record(run.run.task)
        if outcome == "done" and record.done_s is None:
            record.done_s = now_s
        record.failures += outcome == "failed"
        self._ended_s[self._end_key(worker, worker.last_number)] = now_s

    @staticmethod
    def _end_key(worker: FakeWorker, number: int) -> tuple[str, int, int]:
        return worker.entry.worker_id, worker.entry.started_at_ms, number

    def acknowledge(self, worker: FakeWorker, number: int) -> None:
        """Check the ends that are acknowledged."""
        worker_id = worker.entry.worker_id
        for end in worker.ended:
            if end.number > number:
                continue
            record = self._record(end.run.task)
            if end.outcome == "failed":
                record.noted_failures.add(end.run)
            if end.outcome != "done":
                continue
            ended_s = self._ended_s[self._end_key(worker, end.number)]
            # A start after a lapse was allowed, whatever is learned later.
            if self._lapsed_s.get(worker_id, 0.0) >= ended_s:
                continue
            record.is_done_noted = True
            if record.last_start_s > ended_s:
                self._fault("TWICE", f"{end.run}: started after its end at {worker_id}")
        super().acknowledge(worker, number)

    def check_phase(self, job: SoakJob, phase: str) -> None:
        """Check a state that a caller was shown."""
        job.phase = phase
        tasks = job.task_ids()
        if phase == "completed":
            missing = [t for t in tasks if self._record(t).done_s is None]
            if missing:
                self._fault("MIXED", f"{job.job_id} is completed without {missing[0]}")
        if phase == "failed":
            most = max(self._record(task).failures for task in tasks)
            if most < ATTEMPTS_MAX:
                self._fault("LOST", f"{job.job_id} failed after {most} attempts")
        if phase == "cancelled" and not job.cancel_asked:
            self._fault("LOST", f"{job.job_id} is cancelled, but nobody asked")

    def check_absent(self, job: SoakJob) -> None:
        """Check a job that a caller was told does not exist."""
        if job.accepted_s is not None and not job.cancel_asked:
            self._fault("LOST", f"{job.job_id} is absent")

    def unfinished(self) -> list[str]:
        """Return what is still owed to callers."""
        owed = []
        running = Counter(
            run.task.job_id
            for worker in self.workers.values()
            for run in worker.running
        )
        for job in self.jobs.values():
            if job.cancelled_s is not None or job.was_refused:
                if running[job.job_id]:
                    owed.append(f"{job.job_id} still runs")
            elif job.accepted_s is None or job.cancel_asked:
                continue
            elif job.is_standing:
                if running[job.job_id] != job.steps[0].tasks:
                    owed.append(f"{job.job_id}: {running[job.job_id]} tasks at work")
            elif job.phase != "completed" and not (
                job.phase == "failed" and job.may_fail
            ):
                owed.append(f"{job.job_id} is {job.phase or 'unread'}")
        return owed
