"""Checks of the scheduler's guarantees, from what workers and callers observe."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import RunId, StartOrder, TaskId
from standins.acks_check import AcksCheck
from standins.fleet import FakeRun, FakeWorker, FakeWorkers

ATTEMPTS_MAX = 3
# A request that is cut within this time of being sent may have crossed the end of its
# connection.
CUT_SLACK_S = 0.2
ADVANCE_INTERVAL_S = 0.01


@dataclass(slots=True, frozen=True)
class SoakStep:
    """A step of a job in the soak.

    Attributes
    ----------
    run_s : float
        Duration of each run; 0 for a standing task.
    failure_ratio : float
        Share of runs that fail.
    """

    tasks: int
    cores_milli: int
    run_s: float
    failure_ratio: float

    def document(self, number: int) -> dict:
        """Return the step as a caller submits it."""
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
    """A job and what its caller learned from the responses."""

    job_id: str
    steps: tuple[SoakStep, ...]
    outcomes: Counter = field(default_factory=Counter)
    is_submitting: bool = True
    accepted_s: float | None = None
    is_cancel_requested: bool = False
    cancelled_s: float | None = None
    phase: str = ""

    @property
    def is_standing(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return not self.steps[0].run_s

    @property
    def may_fail(self) -> bool:
        """Whether a task can exhaust its attempts."""
        return any(step.failure_ratio for step in self.steps)

    @property
    def was_refused(self) -> bool:
        """Whether every submission ended with the outcome ``refused``."""
        return not self.is_submitting and set(self.outcomes) <= {"refused"}

    def payload(self) -> str:
        """Return the payload, which tells workers how its runs behave."""
        return json.dumps([[step.run_s, step.failure_ratio] for step in self.steps])

    def body(self) -> bytes:
        """Return the request body of its submission."""
        steps = [step.document(number) for number, step in enumerate(self.steps)]
        return json.dumps({"spec": self.payload(), "steps": steps}).encode()

    def task_ids(self) -> list[TaskId]:
        """Return the ids of all its tasks."""
        return [
            TaskId(self.job_id, 0, number, index)
            for number, step in enumerate(self.steps)
            for index in range(step.tasks)
        ]


@dataclass(slots=True)
class SoakWorker(FakeWorker):
    """A worker whose runs follow the payload of their job."""

    def run_duration_s(self, run: RunId, payload: str) -> float:
        """Return the duration of a run; 0 if it does not end by itself."""
        return json.loads(payload)[run.task.step][0]

    def outcome(self, run: FakeRun) -> str:
        """Return the outcome of a run that reached its end."""
        failure_ratio = json.loads(run.payload)[run.run.task.step][1]
        drawn = random.Random(f"{run.run}").random()
        return "failed" if drawn < failure_ratio else "done"


@dataclass(slots=True)
class TaskRecord:
    """What the workers observed of one task.

    Attributes
    ----------
    done_s : float or None
        When a run first succeeded.
    is_completion_acknowledged : bool
        Whether the scheduler acknowledged a successful end.
    acknowledged_failures : set of RunId
        Failed runs whose ends the scheduler acknowledged.
    last_start_s : float
        When its last run started.
    """

    done_s: float | None = None
    is_completion_acknowledged: bool = False
    failures: int = 0
    acknowledged_failures: set = field(default_factory=set)
    last_start_s: float = 0.0


class SoakChecker(FakeWorkers):
    """Fake workers that check the scheduler's guarantees.

    Attributes
    ----------
    jobs : dict of str to SoakJob
        Submitted jobs by id.
    violations : list of str
        Violations found, each with the label of its rule.
    capacity_refusals : int
        Start orders that were refused for lack of capacity.
    acks : AcksCheck
        Judge of the acknowledgements, which gets the ends of all runs.
    advances : int
        Calls of `advance`, one each `ADVANCE_INTERVAL_S` unless the process is late.
    """

    def __init__(self, clock) -> None:
        super().__init__(clock)
        self.jobs: dict[str, SoakJob] = {}
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.violations: list[str] = []
        self.capacity_refusals = 0
        self.advances = 0
        self.acks = AcksCheck()
        # Workers whose lease has expired, with the start of their incarnation.
        self._lapsed: set[tuple[str, int]] = set()
        # When each worker's lease was last seen to be expired.
        self._lease_expired_s: dict[str, float] = {}
        self._ended_s: dict[tuple[str, int, int], float] = {}

    def _add_violation(self, rule: str, detail: str) -> None:
        self.violations.append(f"{rule}: {detail}")

    def _task_record(self, task: TaskId) -> TaskRecord:
        return self.tasks.setdefault(task, TaskRecord())

    def advance(self) -> None:
        """End the runs that are due and record expired leases."""
        # Before runs end since their lease has expired: these ends are new.
        self._note_lapses()
        super().advance()
        self.advances += 1
        now_s = self.clock.seconds()
        for worker_id, worker in self.workers.items():
            if worker.clock_ms(now_s) > worker.until_ms > 0:
                self._lease_expired_s[worker_id] = now_s

    def _note_lapses(self) -> None:
        """Pass on each lapse of a lease once."""
        now_s = self.clock.seconds()
        for worker_id, worker in self.workers.items():
            incarnation = worker_id, worker.entry.started_at_ms
            if not worker.clock_ms(now_s) > worker.until_ms > 0:
                self._lapsed.discard(incarnation)
            elif incarnation not in self._lapsed:
                self._lapsed.add(incarnation)
                self.acks.lose(*incarnation, now_s)

    def find_refusal(
        self, worker: FakeWorker, order: StartOrder
    ) -> RefusalReason | None:
        """Return why a worker refuses a start order beyond its cores, else None."""
        used = sum(self._task_cores(run.run.task) for run in worker.running.values())
        if used + self._task_cores(order.run.task) > worker.entry.cores_milli:
            self.capacity_refusals += 1
            return RefusalReason.NO_ROOM
        return None

    def _task_cores(self, task: TaskId) -> int:
        job = self.jobs.get(task.job_id)
        return job.steps[task.step].cores_milli if job else 0

    def start(self, worker: FakeWorker, order: StartOrder) -> None:
        """Check a start order, then carry it out."""
        run = order.run
        where = f"{run} at {worker.entry.worker_id}"
        job = self.jobs.get(run.task.job_id)
        if job is None or order.payload != job.payload():
            self._add_violation("UNASKED", where)
            return
        record = self._task_record(run.task)
        if record.is_completion_acknowledged:
            self._add_violation("TWICE", f"{where}: its end was acknowledged before")
        for other in self.workers.values():
            if any(held.task == run.task for held in other.running):
                self._add_violation(
                    "TWICE", f"{where}: runs at {other.entry.worker_id}"
                )
        if len(record.acknowledged_failures) >= ATTEMPTS_MAX and not job.is_standing:
            self._add_violation("BUDGET", where)
        if job.was_refused:
            self._add_violation("REFUSED", where)
        for number in range(run.task.step):
            if not self._is_step_done(job, number):
                self._add_violation("ORDER", f"{where}: step {number} is not done")
        super().start(worker, order)
        record.last_start_s = self.clock.seconds()

    def _is_step_done(self, job: SoakJob, number: int) -> bool:
        tasks = (task for task in job.task_ids() if task.step == number)
        return all(self._task_record(task).done_s is not None for task in tasks)

    def end(self, worker: FakeWorker, run: FakeRun, outcome: str) -> None:
        """Record the end of a run and its time."""
        super().end(worker, run, outcome)
        now_s = self.clock.seconds()
        record = self._task_record(run.run.task)
        if outcome == "done" and record.done_s is None:
            record.done_s = now_s
        record.failures += outcome == "failed"
        key = self._end_key(worker, worker.last_number)
        self._ended_s[key] = now_s
        self.acks.list_end(*key, now_s, worker.entry.service)

    @staticmethod
    def _end_key(worker: FakeWorker, number: int) -> tuple[str, int, int]:
        return worker.entry.worker_id, worker.entry.started_at_ms, number

    def acknowledge(self, worker: FakeWorker, number: int) -> None:
        """Check the acknowledged ends, then remove them."""
        worker_id = worker.entry.worker_id
        self.acks.acknowledge(*self._end_key(worker, number), self.clock.seconds())
        for end in worker.ended:
            if end.number > number:
                continue
            record = self._task_record(end.run.task)
            if end.outcome == "failed":
                record.acknowledged_failures.add(end.run)
            if end.outcome != "done":
                continue
            ended_s = self._ended_s[self._end_key(worker, end.number)]
            # Once the lease had expired, the task could be started elsewhere although
            # this end is reported later.
            if self._lease_expired_s.get(worker_id, 0.0) >= ended_s:
                continue
            record.is_completion_acknowledged = True
            if record.last_start_s > ended_s:
                self._add_violation(
                    "TWICE", f"{end.run}: started after its end at {worker_id}"
                )
        super().acknowledge(worker, number)

    def check_phase(self, job: SoakJob, phase: str) -> None:
        """Check a job state that a caller read."""
        job.phase = phase
        tasks = job.task_ids()
        if phase == "completed":
            missing = [t for t in tasks if self._task_record(t).done_s is None]
            if missing:
                self._add_violation(
                    "MIXED", f"{job.job_id} is completed without {missing[0]}"
                )
        if phase == "failed":
            failures_max = max(self._task_record(task).failures for task in tasks)
            if failures_max < ATTEMPTS_MAX:
                self._add_violation(
                    "LOST", f"{job.job_id} failed after {failures_max} attempts"
                )
        if phase == "cancelled" and not job.is_cancel_requested:
            self._add_violation("LOST", f"{job.job_id} is cancelled without a request")

    def check_absent(self, job: SoakJob) -> None:
        """Check a job that a caller was told is absent."""
        if job.accepted_s is not None and not job.is_cancel_requested:
            self._add_violation("LOST", f"{job.job_id} is absent")

    def check_cut(self, daemon: str, is_stopping: bool, sent_advances: int) -> None:
        """Check a request whose connection was closed without a response.

        Parameters
        ----------
        daemon : str
            Daemon that it was sent to.
        is_stopping : bool
            Whether the daemon stops as planned.
        sent_advances : int
            Value of `advances` when it was sent, which does not count the time for
            which this process is late itself.
        """
        open_s = (self.advances - sent_advances) * ADVANCE_INTERVAL_S
        if is_stopping and open_s > CUT_SLACK_S:
            self._add_violation(
                "LOST", f"a request was cut after {open_s:.2f} s by a stop of {daemon}"
            )

    def outstanding_work(self) -> list[str]:
        """Return the work that is still outstanding."""
        outstanding = []
        running = Counter(
            run.task.job_id
            for worker in self.workers.values()
            for run in worker.running
        )
        for job in self.jobs.values():
            if job.cancelled_s is not None or job.was_refused:
                if running[job.job_id]:
                    outstanding.append(f"{job.job_id} still runs")
            elif job.accepted_s is None or job.is_cancel_requested:
                continue
            elif job.is_standing:
                if running[job.job_id] != job.steps[0].tasks:
                    outstanding.append(
                        f"{job.job_id}: {running[job.job_id]} tasks are running"
                    )
            elif job.phase != "completed" and not (
                job.phase == "failed" and job.may_fail
            ):
                outstanding.append(f"{job.job_id} is {job.phase or 'unread'}")
        return outstanding
