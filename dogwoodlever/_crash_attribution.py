"""Attribution of crashed workers to the tasks that started on them.

A task may crash its worker each time it starts, and every run on that worker is lost
with it. A crash alone does not tell which task caused it, or whether any did: workers
also crash for reasons of their own, several at once when their data centre fails.

A task that crashes its worker does so soon after its start. A run is therefore evidence
only during its probation. A crash is recorded for each task with a run on probation
there, and makes it a suspect. A suspect starts only on a worker without another suspect
on probation, nothing else starts there meanwhile, and workers with few runs are
preferred. So the next crash is evidence against one task. A task is cleared when its
run is listed after its probation, on the worker's own clock, or ends by itself.

A task is given up after its second crash if that met no other run on probation, and no
suspect of late crashes. If it met one, which may be the cause, the third crash as the
only suspect decides. Neither
holds if the crash is also explained by workers that ended at the same moment: one that
ended with no run on probation ended for another reason, and one reason may end many. In
that case the task starts again, up to `CRASHES_MAX` times.

A task that crashes its workers later than that is found by its runs of up to
`LATE_PROBATION_MS` that were lost in crashes. The second in a row makes it a suspect,
with a probation of that length; then its third crash as the only suspect decides.

A task that crashes its workers later still, up to `LOST_RUN_MAX_MS` after the start, is
found by its runs of any age that were lost in a row on different workers. An innocent
task loses its runs at the rate at which all workers end. A task is given up if so many
losses in so little running time are too improbable at the rate of the other workers'
ends, and no other task was lost in each of these crashes. Such runs reserve no worker;
the task only avoids the workers on which it was lost.

A start without an answer counts too, as the crash often comes before the answer. One
of them is not counted towards giving up, as it may not have been carried out.

A crash is hidden if the leader is lost before it has stored it, unless the start of
the run was stored (`StartRecords`). With one hidden crash, a task starts at most five
times, even if many workers ended at the moment of each other crash, or if no leader
lasts until its decision.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from dogwoodlever._fleet_job import LostRun, Run, RunPhase, Task
from dogwoodlever._fleet_types import RunId, TaskId

# Time after its start in which a run may crash its worker; a program that does so does
# it while it loads and makes its first calls.
PROBATION_MS = 500
# The same for suspects of late crashes, and the late crashes in a row that make one.
LATE_PROBATION_MS = 4_000
LATE_CRASHES_TO_SUSPECT = 2
# Crashes after which the only suspect of the last one is given up: without other runs
# that may have caused it, and with them. The platform allows no fewer than two.
CRASHES_ALONE = 2
CRASHES_AS_ONLY_SUSPECT = 3
# Crashes after which a task is given up whatever else ended; the platform allows five
# starts, one of which a change of leader may hide.
CRASHES_MAX = 4
# Connections to workers that end together break within this time.
SAME_MOMENT_S = 0.25
# A decision waits for the ends of the same moment, which are certain at the latest when
# the workers' leases have expired.
DECISION_DELAY_S = 5.4
# A run of this age shows that its task does not crash its workers; the losses before it
# are no evidence any more.
LOST_RUN_MAX_MS = 30_000
# Lost runs in a row, on as many workers, after which a task may be given up, and after
# which it waits until they are stored.
LOST_RUNS_TO_GIVE_UP = 4
LOST_RUNS_TO_HOLD = 2
# Probability below which losses in a row are not explained by the other workers' ends.
# An innocent task with L losses a day is given up on about L x 1e-8 of the days.
LOST_RUNS_PROBABILITY_MAX = 1e-8
# Assumed before any end is known: one end in this running time of all workers. A new
# leader thus gives up no task for lack of observations.
PRIOR_WORKER_S = 1_000.0
# The ends that a decision is compared with, and that the workers' rate is made of.
ENDS_KEPT_S = 300.0
# Number and share of the workers whose end in one moment has a common cause.
COMMON_CAUSE_WORKERS_MIN = 4
COMMON_CAUSE_RATIO = 0.1


def _probation_ms(task: Task) -> int:
    return LATE_PROBATION_MS if _is_late_suspect(task) else PROBATION_MS


def _is_late_suspect(task: Task) -> bool:
    return len(task.accountable.late_crashes) >= LATE_CRASHES_TO_SUSPECT


@dataclass(slots=True, frozen=True)
class WorkerEnd:
    """End of a worker's process.

    Attributes
    ----------
    has_young_runs : bool
        Whether a run on probation may have caused it.
    lost_runs : dict of TaskId to int
        Numbers of the runs that it lost before `LOST_RUN_MAX_MS`, by accountable task.
    """

    ended_s: float
    has_young_runs: bool
    lost_runs: dict[TaskId, int]


@dataclass(slots=True, frozen=True)
class PendingDecision:
    """Task that is given up unless its last crash has a common cause with others.

    Attributes
    ----------
    crashed_s, detected_s : float
        When the worker crashed, and when that became known.
    workers : int
        Number of workers at the time of the crash.
    is_by_lost_runs : bool
        Whether the lost runs in a row are the evidence, not the only suspect's crashes.
    is_final : bool
        Whether the task is given up whatever else ended.
    """

    task: Task
    crashed_s: float
    detected_s: float
    workers: int
    is_by_lost_runs: bool = False
    is_final: bool = False


class CrashAttribution:
    """Finds tasks that crash the workers on which they start.

    Parameters
    ----------
    is_stored : callable
        Returns whether the progress of a job, by id, is stored. A task with several
        crashes waits for that, so that no successor starts it without knowing them.
    """

    __slots__ = (
        "_changed_jobs",
        "_is_stored",
        "_observed_since_s",
        "_on_probation",
        "_pending",
        "_worker_ends",
    )

    def __init__(self, is_stored: Callable[[str], bool]) -> None:
        self._is_stored = is_stored
        self._changed_jobs: set[str] = set()
        # Runs of suspects on probation, by worker id.
        self._on_probation: dict[str, set[RunId]] = {}
        self._pending: dict[TaskId, PendingDecision] = {}
        self._worker_ends: deque[WorkerEnd] = deque()
        self._observed_since_s = math.inf

    def is_held(self, task: Task) -> bool:
        """Return whether a task must not start now."""
        owner = task.accountable
        if (
            len(owner.crashes) < CRASHES_ALONE
            and len(owner.lost_runs) < LOST_RUNS_TO_HOLD
        ):
            return False
        return owner.task_id in self._pending or not self._is_stored(
            owner.task_id.job_id
        )

    def add_inherited(self, task: Task, now_s: float) -> None:
        """Decide on a task of a former leader, whose decision may not have been due.

        A task with as many crashes in a row as are allowed is given up whatever else
        ended. Those that no leader has observed may count as late ones.
        """
        if len(task.crashes.keys() | task.late_crashes) >= CRASHES_MAX:
            self._pending[task.task_id] = PendingDecision(
                task, now_s, now_s - DECISION_DELAY_S, workers=0, is_final=True
            )

    def is_reserved(self, worker_id: str) -> bool:
        """Return whether a suspect is on probation on a worker."""
        return worker_id in self._on_probation

    def add_run(self, run: Run, task: Task) -> None:
        """Reserve the worker of a run if its task is a suspect."""
        if task.accountable.crashes:
            self._on_probation.setdefault(run.worker_id, set()).add(run.run_id)

    def remove_run(self, run: Run) -> None:
        """Release the worker of a run that ended or outlived its probation."""
        run_ids = self._on_probation.get(run.worker_id)
        if run_ids is not None:
            run_ids.discard(run.run_id)
            if not run_ids:
                del self._on_probation[run.worker_id]

    def record_listed(self, run: Run, task: Task | None, clock_ms: int) -> bool:
        """Record that a run was running; return whether that clears its task.

        Parameters
        ----------
        run : Run
            The run.
        task : Task or None
            Its task; None if its job is not open.
        clock_ms : int
            The worker's clock at the report.
        """
        late_crashes = set() if task is None else task.accountable.late_crashes
        lost_runs = {} if task is None else task.accountable.lost_runs
        is_recorded = task is not None and (
            task.is_inherited or task.start_record is not None
        )
        if run.is_proven and not late_crashes and not lost_runs and not is_recorded:
            run.is_watched = False
            return False
        if run.seen_clock_ms < 0:
            run.seen_clock_ms = clock_ms
        self._record_seen(run, task)
        age_ms = clock_ms - run.seen_clock_ms
        if is_recorded and age_ms >= LATE_PROBATION_MS:
            task.is_inherited = False
            if task.drop_start_record(run.run_id.number):
                self._changed_jobs.add(task.task_id.job_id)
        # Another member of the gang that crashed proves nothing.
        last_number = max(late_crashes, default=0)
        if age_ms >= LATE_PROBATION_MS and run.run_id.number > last_number > 0:
            self._clear_late_crashes(task)
        if age_ms >= LOST_RUN_MAX_MS and run.run_id.number > max(lost_runs, default=0):
            self._clear_lost_runs(task)
        # Cleared late crashes shorten the probation.
        is_young = age_ms < (PROBATION_MS if task is None else _probation_ms(task))
        if run.is_proven or is_young:
            return False
        run.is_proven = True
        self.remove_run(run)
        return task is not None and self._clear_crashes(task)

    def _record_seen(self, run: Run, task: Task | None) -> None:
        """Store when a run of a recorded start was seen, so that its age is known."""
        record = None if task is None else task.start_record
        if (
            record is not None
            and record.number == run.run_id.number
            and record.seen_clock_ms < 0
        ):
            task.start_record = msgspec.structs.replace(
                record, seen_clock_ms=run.seen_clock_ms
            )
            self._changed_jobs.add(task.task_id.job_id)

    def clear(self, task: Task) -> bool:
        """Drop the evidence against a task; return whether it was a suspect."""
        task.is_inherited = False
        self._clear_late_crashes(task)
        self._clear_lost_runs(task)
        return self._clear_crashes(task)

    def _clear_lost_runs(self, task: Task | None) -> None:
        if task is not None and task.accountable.lost_runs:
            owner = task.accountable
            owner.failed_on.difference_update(
                lost_run.worker_id for lost_run in owner.lost_runs.values()
            )
            owner.lost_runs.clear()
            decision = self._pending.get(owner.task_id)
            if decision is not None and decision.is_by_lost_runs:
                del self._pending[owner.task_id]
            self._changed_jobs.add(owner.task_id.job_id)

    def _clear_late_crashes(self, task: Task) -> None:
        owner = task.accountable
        if owner.late_crashes:
            owner.late_crashes.clear()
            self._changed_jobs.add(owner.task_id.job_id)

    def pop_changed_jobs(self) -> set[str]:
        """Return the jobs whose evidence has changed since the last call."""
        changed, self._changed_jobs = self._changed_jobs, set()
        return changed

    def _clear_crashes(self, task: Task) -> bool:
        owner = task.accountable
        self._pending.pop(owner.task_id, None)
        if not owner.crashes:
            return False
        owner.crashes.clear()
        owner.unanswered_crashes.clear()
        return True

    def record_crash(
        self,
        worker_id: str,
        runs: Iterable[tuple[Run, Task]],
        ended_s: float,
        now_s: float,
        workers: int,
        is_observed: bool = True,
    ) -> list[Task]:
        """Record that a worker's process ended; return the tasks that may have done it.

        Parameters
        ----------
        worker_id : str
            The worker.
        runs : iterable of (Run, Task)
            The runs that it lost, and the starts that it may have carried out.
        ended_s : float
            When the process ended; infinitely early if unknown.
        now_s : float
            Current time.
        workers : int
            Number of workers.
        is_observed : bool
            Whether the ages of the runs are known, and which other runs were there.
        """
        crashed_s = now_s if math.isinf(ended_s) else ended_s
        young = []
        late = []
        lost = {}
        for run, task in runs:
            owner = task.accountable
            age_ms = max(0, int((crashed_s - run.started_s) * 1000))
            if (
                is_observed
                and age_ms < LOST_RUN_MAX_MS
                and run.phase is not RunPhase.STARTING
            ):
                owner.lost_runs[run.run_id.number] = LostRun(age_ms, worker_id)
                owner.failed_on.add(worker_id)
                lost[owner.task_id] = (run, owner)
                self._changed_jobs.add(owner.task_id.job_id)
            if (
                not run.is_proven
                and ended_s - run.started_s < _probation_ms(task) / 1000
            ):
                young.append((run, owner))
            elif crashed_s - run.started_s < LATE_PROBATION_MS / 1000:
                owner.late_crashes.add(run.run_id.number)
                self._changed_jobs.add(owner.task_id.job_id)
                if _is_late_suspect(owner):
                    late.append((run, owner))
        suspects = {owner.task_id for _, owner in young if owner.crashes}
        while self._worker_ends and now_s - self._worker_ends[0].ended_s > ENDS_KEPT_S:
            self._worker_ends.popleft()
        self._worker_ends.append(
            WorkerEnd(
                crashed_s,
                bool(young),
                {task_id: run.run_id.number for task_id, (run, _) in lost.items()},
            )
        )
        owners = {owner.task_id: owner for _, owner in young}
        for run, owner in [*young, *late]:
            owner.crashes[run.run_id.number] = worker_id
            if run.phase is RunPhase.STARTING:
                owner.unanswered_crashes.add(run.run_id.number)
        for task_id, owner in owners.items():
            is_certain = (
                is_observed
                and len(owners) == 1
                and not late
                and not _is_late_suspect(owner)
            )
            threshold = CRASHES_ALONE if is_certain else CRASHES_AS_ONLY_SUSPECT
            crashes = len(owner.crashes)
            counted = crashes - bool(owner.unanswered_crashes)
            is_decisive = suspects == {task_id} and counted >= threshold
            if is_decisive or crashes >= CRASHES_MAX:
                self._pending[task_id] = PendingDecision(
                    owner, crashed_s, now_s, workers
                )
        for task_id, (_, owner) in lost.items():
            if task_id not in self._pending and self._is_crashing(
                owner, workers, now_s
            ):
                self._pending[task_id] = PendingDecision(
                    owner, crashed_s, now_s, workers, is_by_lost_runs=True
                )
        owners.update((owner.task_id, owner) for _, owner in late)
        return list(owners.values())

    def pop_given_up(self, now_s: float) -> list[Task]:
        """Return the tasks that are given up now, and release the others."""
        self._observed_since_s = min(self._observed_since_s, now_s)
        given_up = []
        for task_id, decision in list(self._pending.items()):
            if now_s - decision.detected_s < DECISION_DELAY_S:
                continue
            del self._pending[task_id]
            if decision.is_by_lost_runs:
                if self._is_crashing(decision.task, decision.workers, now_s):
                    given_up.append(decision.task)
                continue
            has_most = len(decision.task.crashes) >= CRASHES_MAX
            if decision.is_final or has_most or not self._has_common_cause(decision):
                given_up.append(decision.task)
        return given_up

    def _has_common_cause(self, decision: PendingDecision) -> bool:
        """Return whether other workers ended together with that of a crash."""
        ends = [
            end
            for end in self._worker_ends
            if abs(end.ended_s - decision.crashed_s) <= SAME_MOMENT_S
        ]
        if not all(end.has_young_runs for end in ends):
            return True
        return len(ends) >= max(
            COMMON_CAUSE_WORKERS_MIN, decision.workers * COMMON_CAUSE_RATIO
        )

    def _is_crashing(self, owner: Task, workers: int, now_s: float) -> bool:
        """Return whether a task's lost runs in a row show that it caused them."""
        lost_runs = owner.lost_runs
        count = len({lost_run.worker_id for lost_run in lost_runs.values()})
        if count < LOST_RUNS_TO_GIVE_UP:
            return False
        other_ends = 0
        companions = None
        for end in self._worker_ends:
            if end.lost_runs.get(owner.task_id) not in lost_runs:
                other_ends += 1
                continue
            others = end.lost_runs.keys() - {owner.task_id}
            companions = others if companions is None else companions & others
        if companions:
            return False
        observed_s = min(max(0.0, now_s - self._observed_since_s), ENDS_KEPT_S)
        ends_per_worker_s = (other_ends + 1) / (observed_s * workers + PRIOR_WORKER_S)
        running_s = sum(lost_run.age_ms for lost_run in lost_runs.values()) / 1000
        expected = ends_per_worker_s * running_s
        # Bounds the probability of so many ends of a Poisson process from above.
        probability = expected**count / math.factorial(count)
        return probability < LOST_RUNS_PROBABILITY_MAX
