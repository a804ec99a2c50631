"""The runs on the workers: starts, ends, moves and poll results."""

from collections.abc import Callable, Container

from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._drop_evidence import DropCause, DropEvidence, DroppedRun
from dogwoodlever._dropped_runs import DroppedRuns
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_job import JobPhase, JobState, Run, RunPhase, StepState, Task
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_planner import Placement
from dogwoodlever._fleet_types import (
    EndedRun,
    PollResult,
    RunId,
    RunningRun,
    StartOrder,
    Step,
    WorkerEntry,
)
from dogwoodlever._logs import log_event
from dogwoodlever._run_evidence import ENDS_HELD_MAX
from dogwoodlever._run_log import RunLog, format_run_id, format_task_id
from dogwoodlever._run_registry import ENDED_DONE, ENDED_FAILED, RunRegistry
from dogwoodlever._run_throttler import RunThrottler, may_stall, stalled_runs
from dogwoodlever._start_records import RECENT_START_MS, StartRecords
from dogwoodlever._worker_capacity import WorkerCapacity
from dogwoodlever._worker_link import WorkerLink
from dogwoodlever._workspace_usage import WorkspaceUsage

# After a refusal for lack of capacity, the leader's view of the worker is stale for a
# while.
REFUSED_BACKOFF_S = 0.3
# An unhealthy worker refuses all orders.
UNHEALTHY_BACKOFF_S = 1.0
# Ends that a task reaches by itself, on a worker that still reports them.
PROVEN_OUTCOMES = frozenset({ENDED_DONE, ENDED_FAILED})


class FleetRuns:
    """Starts, moves and stops runs, and applies what polls report of them.

    Parameters
    ----------
    clock : IReactorTime
        Reactor clock.
    registry : RunRegistry
        Jobs and runs.
    throttler : RunThrottler
        Throttles best-effort runs.
    faults : FaultAttribution
        Finds workers whose runs fail.
    crashes : CrashAttribution
        Finds tasks that crash workers.
    metrics : FleetMetrics
        Counters and histograms.
    capacities : dict of str to WorkerCapacity
        Capacities by worker id, kept by the owner.
    links : dict of str to WorkerLink
        Links by worker id, kept by the owner.
    on_ticket_rejected : callable
        Called with a step and the capacity of a worker that rejected its ticket.
    usage : WorkspaceUsage or None
        Counts the runs of each workspace, if there may be any.
    """

    def __init__(
        self,
        clock,
        registry: RunRegistry,
        throttler: RunThrottler,
        faults: FaultAttribution,
        crashes: CrashAttribution,
        metrics: FleetMetrics,
        capacities: dict[str, WorkerCapacity],
        links: dict[str, WorkerLink],
        on_ticket_rejected: Callable[[StepState, WorkerCapacity], None],
        usage: WorkspaceUsage | None = None,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._throttler = throttler
        self._faults = faults
        self._crashes = crashes
        self.start_records = StartRecords()
        self._usage = usage
        self._metrics = metrics
        self._capacities = capacities
        self._links = links
        self._on_ticket_rejected = on_ticket_rejected
        self._log = RunLog(clock)
        self._dropped = DroppedRuns()
        # Returns for how long an adopted run made no progress under the former leader.
        self._get_stalled_ms: Callable[[RunId, int], int] = lambda *_: 0

    def close(self) -> None:
        """Log the events of runs that are not logged yet."""
        self._log.flush()

    # Orders

    def start(self, placement: Placement, now_s: float) -> None:
        """Count a placed task as running on its worker, and order its start."""
        task = placement.task
        capacity = placement.capacity
        worker_id = capacity.entry.worker_id
        former = task.dropped_run
        run = self._registry.begin_run(task, worker_id, now_s, placement.number)
        capacity.add(run, task.step.spec)
        self._crashes.add_run(run, task)
        job = task.step.job
        if self.start_records.record(run, task, capacity.entry):
            self._registry.dirty.add(job.job.job_id)
        self._metrics.task_wait_s.observe(now_s - job.arrived_s)
        self._log.add_placed(
            run.run_id, worker_id, now_s - job.arrived_s, capacity.cores_free
        )
        if former is not None:
            self._log_restarted(run, former)
        order = StartOrder(
            run.run_id, job.job.payload, task.checkpoint, placement.ticket
        )
        self._links[worker_id].start(run, order, task.step.spec.standing)

    def _log_restarted(self, run: Run, former: DroppedRun) -> None:
        log_event(
            "run.restarted",
            run=_format_run(run),
            worker=run.worker_id,
            former=former.number,
            former_worker=former.worker_id,
            evidence=former.cause.evidence,
            evidence_age_s=former.cause.age_s(self._clock.seconds()),
        )

    def set_stalled_source(self, get_stalled_ms: Callable[[RunId, int], int]) -> None:
        """Set how long an adopted run made no progress under the former leader."""
        self._get_stalled_ms = get_stalled_ms

    def stallable_runs(self) -> list[Run]:
        """Return the runs that have to make progress."""
        return [
            run
            for capacity in self._capacities.values()
            for run, step in capacity.runs.values()
            if may_stall(run, step)
        ]

    def throttled_tasks(self, now_s: float) -> list[tuple]:
        """Return (task, capacity) of throttled runs that should move."""
        tasks = []
        for capacity in self._capacities.values():
            for run, _ in self._throttler.runs_to_move(capacity, now_s):
                task_id = run.run_id.task
                task = self._registry.find(task_id)
                if task is not None and not self._registry.is_held(task_id.job_id):
                    tasks.append((task, capacity))
        return tasks

    def move(self, run: Run) -> None:
        """Stop a throttled run, so that it resumes elsewhere from its checkpoint."""
        self._metrics.run_moves.labels("slowed").inc()
        self._log.add_moved(run.run_id, run.worker_id)
        self._links[run.worker_id].stop(run)

    def evict_draining(self, capacity: WorkerCapacity) -> None:
        """Evict the runs that would be lost when a draining worker leaves.

        Standing tasks are evicted at once, and tasks with checkpoints if they would
        not end in time; other tasks gain nothing from being stopped.
        """
        remaining_s = capacity.entry.drain_remaining_ms / 1000
        for run, step in list(capacity.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if step.standing or (
                step.checkpoints and run.remaining_s(step) > remaining_s
            ):
                self._evict(run, "draining", "draining")

    def stop_misplaced(self, capacity: WorkerCapacity) -> None:
        """Stop the runs that no leader would have started on a worker.

        Its incarnation carried orders for a former one out, which may have been of
        another kind or size.
        """
        for run, step in list(capacity.runs.values()):
            obstacle = self._find_obstacle(run, step, capacity.entry)
            if obstacle and run.is_listed:
                self._evict(run, obstacle, "misplaced")
        for run in capacity.excess_runs():
            self._evict(run, "room", "misplaced")

    def _evict(self, run: Run, why: str, moved_as: str) -> None:
        log_event("run.evicted", run=_format_run(run), worker=run.worker_id, why=why)
        self._metrics.run_moves.labels(moved_as).inc()
        self._links[run.worker_id].stop(run)

    def _find_obstacle(self, run: Run, step: Step, entry: WorkerEntry) -> str:
        """Return what keeps a run from a worker of any size; empty if nothing does."""
        if step.label and step.label not in entry.labels:
            return "label"
        task = self._registry.find(run.run_id.task)
        service = "" if task is None else task.step.job.service
        # It is empty while the queue of the job is not known.
        return "service" if service and service != entry.service else ""

    def stop_all(self, runs) -> None:
        """Order runs to stop, except those that are stopping already."""
        for run in runs:
            link = self._links.get(run.worker_id)
            if link is not None and run.phase is not RunPhase.STOPPING:
                link.stop(run)

    def add_inherited_job(self, state: JobState) -> None:
        """Add what is stored of the crashes and starts of an inherited job."""
        self.start_records.add_job(state)
        for task in state.tasks():
            self._crashes.add_inherited(task, self._clock.seconds())

    # Reports of workers

    def apply_poll(
        self,
        capacity: WorkerCapacity,
        link: WorkerLink,
        result: PollResult,
        sent_s: float,
    ) -> None:
        """Apply the result of a poll that was sent at `sent_s`."""
        link.evidence.record_listed(result.ended, self._clock.seconds())
        if capacity.entry.is_draining:
            link.evidence.release_ends()
        else:
            self._hold_ends(capacity, link, result)
        for end in result.ended:
            if link.evidence.read_end(end.number):
                link.evidence.unstored_ends.add(end.number, end.run.task.job_id)
                self._log_end_after_drop(capacity, result.started_at_ms, end)
                self._apply_end(capacity, link, end)
        for listed_run in result.running:
            self._apply_running(capacity, link, listed_run, result)
        self._drop_unlisted(capacity, link, result, sent_s)
        if capacity.entry.is_draining:
            self.evict_draining(capacity)
        for order in self._throttler.decide(capacity, self._clock.seconds()):
            self._metrics.throttle_orders.inc()
            link.throttle(order.run, order.percent)
        self._stop_stalled(capacity, result.clock_ms)

    def _hold_ends(
        self, capacity: WorkerCapacity, link: WorkerLink, result: PollResult
    ) -> None:
        """Let runs count whose starts may be carried out again, though they ended."""
        ends = ()
        if len(result.ended) < ENDS_HELD_MAX:
            ends = [
                end
                for end in result.ended
                if end.outcome == "done" or self._may_start_again(end.run)
            ]
        for end in link.evidence.hold_ends(ends, self._clock.seconds()):
            if link.evidence.is_newly_held(end):
                self._metrics.counted_starts.labels("end").inc()
                log_event(
                    "run.end-held",
                    run=format_run_id(end.run),
                    worker=capacity.entry.worker_id,
                    how=end.outcome,
                )
            pair = capacity.runs.get(end.run)
            if pair is not None:
                self._record_held(pair[0], result.clock_ms)

    def _may_start_again(self, run_id: RunId) -> bool:
        """Return whether the job of a run has not ended."""
        task = self._registry.find(run_id.task)
        return task is not None and not task.step.job.has_ended

    def _record_held(self, run: Run, clock_ms: int) -> None:
        """Record that a run has ended whose end does not count yet."""
        if run.phase is not RunPhase.STOPPING:
            self._registry.confirm_start(run)
        # Otherwise it would be taken for stalled.
        run.progressed_s = self._clock.seconds()
        run.progressed_clock_ms = clock_ms

    def _drop_unlisted(
        self,
        capacity: WorkerCapacity,
        link: WorkerLink,
        result: PollResult,
        sent_s: float,
    ) -> None:
        """Drop unlisted runs with an order that was answered before the poll."""
        unlisted = link.evidence.unlisted_runs(capacity.runs, result, sent_s)
        for run_id, cause in unlisted.items():
            self.drop_lost(capacity, capacity.runs[run_id][0], cause)
            if self._usage is not None:
                self._usage.release(capacity.entry.worker_id, run_id)

    def _log_end_after_drop(
        self, capacity: WorkerCapacity, started_at_ms: int, end: EndedRun
    ) -> None:
        """Log the end of a run that was dropped before an incarnation listed it."""
        dropped_as = self._dropped.log_fields(end.run, self._clock.seconds())
        if dropped_as:
            log_event(
                "run.ended-after-drop",
                run=format_run_id(end.run),
                worker=capacity.entry.worker_id,
                incarnation=started_at_ms,
                how=end.outcome,
                **dropped_as,
            )

    def _apply_end(
        self, capacity: WorkerCapacity, link: WorkerLink, end: EndedRun
    ) -> None:
        pair = capacity.runs.get(end.run)
        capacity.remove(end.run)
        link.evidence.forget_run(end.run)
        if pair is not None:
            self._crashes.remove_run(pair[0])
        worker_id = capacity.entry.worker_id
        outcome = self._registry.end_run(end, worker_id)
        self._metrics.run_ends.labels(end.outcome).inc()
        now_s = self._clock.seconds()
        took_s = now_s - pair[0].started_s if pair else 0.0
        self._log.add_ended(end.run, worker_id, end.outcome, took_s)
        if outcome.is_failure:
            is_quarantined = self._faults.record_failure(
                worker_id, end.run.task.job_id, now_s, len(self._capacities)
            )
            if is_quarantined:
                self._metrics.worker_events.labels("quarantined").inc()
                log_event("worker.quarantined", worker=worker_id, why="failures")
            if outcome.task is not None:
                outcome.task.failed_on.add(worker_id)
        elif pair and outcome.task is not None and outcome.task.is_done:
            self._faults.record_success(worker_id, end.run.task.job_id)
        if outcome.task is not None and end.outcome in PROVEN_OUTCOMES:
            self._clear(outcome.task)
        if outcome.job_ended:
            self._log_job_ended(outcome.task.step.job, now_s)
        self.stop_all(outcome.obsolete)

    @staticmethod
    def _log_job_ended(state: JobState, now_s: float) -> None:
        log_event(
            "job.ended",
            job=state.job.job_id,
            phase=state.phase,
            took_s=now_s - state.arrived_s,
            objective_s=state.objective_s,
        )

    def _apply_running(
        self,
        capacity: WorkerCapacity,
        link: WorkerLink,
        listed_run: RunningRun,
        result: PollResult,
    ) -> None:
        pair = capacity.runs.get(listed_run.run)
        now_s = self._clock.seconds()
        if pair is None or self._is_unwanted(pair[0]):
            self._adopt(capacity, link, listed_run, result)
            return
        run, step = pair
        if run.is_watched:
            self._record_listed(run, self._registry.find(listed_run.run.task), result)
        self._registry.confirm_start(run)
        if listed_run.percent != run.percent:
            if step.standing and listed_run.percent == 100:
                # A standing task never ends, so running is its only success.
                self._faults.record_success(run.worker_id, listed_run.run.task.job_id)
            run.percent = listed_run.percent
            run.progressed_s = now_s
            run.progressed_clock_ms = result.clock_ms
        run.load = listed_run.load
        if listed_run.checkpoint:
            task = self._registry.find(listed_run.run.task)
            if task is not None:
                task.checkpoint = listed_run.checkpoint

    def _adopt(
        self,
        capacity: WorkerCapacity,
        link: WorkerLink,
        listed_run: RunningRun,
        result: PollResult,
    ) -> None:
        """Adopt a run that is listed by an incarnation of a worker, or stop it."""
        worker_id = capacity.entry.worker_id
        now_s = self._clock.seconds()
        dropped_as = self._dropped.log_fields(listed_run.run, now_s)
        run = self._registry.adopt_run(
            listed_run.run, worker_id, listed_run.checkpoint, now_s
        )
        if run is not None and run.worker_id == worker_id:
            task = self._registry.find(listed_run.run.task)
            # It may have counted as unwanted.
            capacity.remove(run.run_id)
            capacity.add(run, task.step.spec)
            self._crashes.add_run(run, task)
            link.evidence.expect_listed(run.run_id, now_s)
            run.percent = listed_run.percent
            stalled_ms = self._get_stalled_ms(listed_run.run, listed_run.percent)
            run.progressed_s = now_s - stalled_ms / 1000
            run.progressed_clock_ms = result.clock_ms - stalled_ms
            self._restore_age(run, task, result)
            self._record_listed(run, task, result)
            log_event(
                "run.adopted",
                run=format_run_id(listed_run.run),
                worker=worker_id,
                incarnation=result.started_at_ms,
                **dropped_as,
            )
            return
        if listed_run.run not in capacity.runs:
            log_event(
                "run.unwanted",
                run=format_run_id(listed_run.run),
                worker=worker_id,
                incarnation=result.started_at_ms,
                **dropped_as,
            )
        unwanted = Run(listed_run.run, worker_id, RunPhase.STOPPING, now_s)
        step = self._registry.find_step(listed_run.run.task)
        if step is not None:
            # It uses capacity until its end is listed.
            capacity.add(unwanted, step)
        link.stop(unwanted)

    def _record_listed(self, run: Run, task: Task | None, result: PollResult) -> None:
        """Record that a run is listed, which may clear its task of crashes."""
        if self._crashes.record_listed(run, task, result.clock_ms):
            self._report_cleared(task)

    @staticmethod
    def _restore_age(run: Run, task: Task, result: PollResult) -> None:
        """Set when an adopted run started, if the record of its start tells it."""
        record = task.start_record
        if (
            record is not None
            and record.number == run.run_id.number
            and record.worker_id == run.worker_id
            and record.worker_started_at_ms == result.started_at_ms
            and 0 <= record.seen_clock_ms <= result.clock_ms
        ):
            run.seen_clock_ms = record.seen_clock_ms
            run.started_s -= (result.clock_ms - record.seen_clock_ms) / 1000

    def is_wanted(self, run: Run) -> bool:
        """Return whether a run is its task's and need not stop."""
        return run.phase is not RunPhase.STOPPING and self._is_registered(run)

    def _is_unwanted(self, run: Run) -> bool:
        """Return whether a run counts until it has stopped, but is no task's."""
        return run.phase is RunPhase.STOPPING and not self._is_registered(run)

    def _is_registered(self, run: Run) -> bool:
        """Return whether a run is its task's, not a copy that must stop."""
        task = self._registry.find(run.run_id.task)
        return task is not None and task.runs.get(run.run_id.number) is run

    def _stop_stalled(self, capacity: WorkerCapacity, clock_ms: int) -> None:
        """Stop runs that make no progress, so that they restart elsewhere."""
        now_s = self._clock.seconds()
        worker_id = capacity.entry.worker_id
        for run in stalled_runs(capacity, now_s, clock_ms):
            if self._faults.record_stall(worker_id, now_s, len(self._capacities)):
                self._metrics.worker_events.labels("quarantined").inc()
                log_event("worker.quarantined", worker=worker_id, why="stalled")
            task = self._registry.find(run.run_id.task)
            if task is not None:
                task.failed_on.add(worker_id)
            self._metrics.run_moves.labels("stalled").inc()
            log_event(
                "run.stalled",
                run=_format_run(run),
                worker=worker_id,
                percent=run.percent,
            )
            self._links[worker_id].stop(run)

    def drop_lost_runs(
        self,
        capacity: WorkerCapacity,
        cause: DropCause,
        kept: Container[RunId] = (),
    ) -> None:
        """Drop the runs of a lost worker, except those in `kept`."""
        for run, _ in list(capacity.runs.values()):
            if run.run_id not in kept:
                self.drop_lost(capacity, run, cause)

    def drop_crashed_runs(
        self,
        capacity: WorkerCapacity,
        ended_s: float,
        cause: DropCause,
        kept: Container[RunId] = (),
    ) -> None:
        """Drop the runs of a worker whose process ended, except those in `kept`.

        Those in `kept` got no answer, and count as lost too, unless each order was
        refused. A draining worker ends as announced, whatever runs there. Of one that
        was never polled, it is not known what ran there.
        """
        if capacity.is_synced and not capacity.entry.is_draining:
            self.record_crash(
                capacity.entry.worker_id, self.stop_watching_runs(capacity), ended_s
            )
        self.drop_lost_runs(capacity, cause, kept)

    def stop_watching_runs(self, capacity: WorkerCapacity) -> list[tuple[Run, Task]]:
        """Stop watching a worker's runs; return those that may have crashed it."""
        runs = []
        for run, _ in capacity.runs.values():
            self._crashes.remove_run(run)
            task = self._registry.find(run.run_id.task)
            if task is not None and run.may_have_started:
                runs.append((run, task))
        return runs

    def record_crash(
        self,
        worker_id: str,
        runs: list[tuple[Run, Task]],
        ended_s: float,
        is_observed: bool = True,
    ) -> None:
        """Record that the process of a worker with these runs has ended."""
        lost = [(run, task) for run, task in runs if not task.step.job.has_ended]
        suspects = self._crashes.record_crash(
            worker_id,
            lost,
            ended_s,
            self._clock.seconds(),
            len(self._capacities),
            is_observed,
        )
        for task in suspects:
            self._registry.dirty.add(task.task_id.job_id)
            self._metrics.suspect_events.labels("suspected").inc()
            log_event(
                "task.suspected",
                task=format_task_id(task.task_id),
                crashes=len(task.crashes),
                worker=worker_id,
            )

    def apply_first_poll(self, worker_id: str, result: PollResult) -> None:
        """Find out how the stored starts by a former leader ended on a worker."""
        if result.clock_ms < RECENT_START_MS:
            self.start_records.has_ended_workers = True
        self._record_unobserved_crash(worker_id, result.started_at_ms)

    def apply_former_ends(self, worker_id: str, result: PollResult) -> None:
        """Apply the ends of a former leader's runs on a worker that gets no link.

        The worker keeps them, and may list them again once it has an entry.
        """
        now_s = self._clock.seconds()
        for end in result.ended:
            outcome = self._registry.end_run(end, worker_id)
            self._metrics.run_ends.labels(end.outcome).inc()
            self._log.add_ended(end.run, worker_id, end.outcome, 0.0)
            if outcome.task is not None and end.outcome in PROVEN_OUTCOMES:
                self._clear(outcome.task)
            if outcome.job_ended:
                self._log_job_ended(outcome.task.step.job, now_s)
            self.stop_all(outcome.obsolete)

    def record_former_end(self, worker_id: str, has_crashed: bool) -> None:
        """Record that a worker is gone on which a former leader may have run tasks."""
        self.start_records.has_ended_workers = True
        if has_crashed:
            self._record_unobserved_crash(worker_id, None)
        else:
            self.start_records.discard(worker_id)

    def _record_unobserved_crash(
        self, worker_id: str, started_at_ms: int | None
    ) -> None:
        now_s = self._clock.seconds()
        lost = self.start_records.pop_lost(worker_id, started_at_ms, now_s)
        for run, _ in lost:
            log_event(
                "run.lost",
                run=_format_run(run),
                worker=worker_id,
                evidence="unobserved",
            )
        if lost:
            self.record_crash(worker_id, lost, now_s, is_observed=False)

    def _clear(self, task: Task) -> None:
        """Clear a task whose run has ended without a crash of its worker."""
        if self._crashes.clear(task):
            self._report_cleared(task)

    def _report_cleared(self, task: Task) -> None:
        if not task.step.job.has_ended:
            self._registry.dirty.add(task.task_id.job_id)
        self._metrics.suspect_events.labels("cleared").inc()
        log_event("task.cleared", task=format_task_id(task.task_id))

    def give_up_crashing(self, now_s: float) -> None:
        """End the jobs of tasks that crash their workers, and store the evidence."""
        self._registry.dirty |= self._crashes.pop_changed_jobs() & set(
            self._registry.active
        )
        for task in self._crashes.pop_given_up(now_s):
            state = task.step.job
            if state.has_ended:
                continue
            self._metrics.suspect_events.labels("given_up").inc()
            log_event(
                "task.given-up",
                task=format_task_id(task.task_id),
                crashes=len(task.crashes),
                workers=",".join(filter(None, task.crashes.values())),
            )
            self.stop_all(self._registry.end_job(state, JobPhase.FAILED))
            self._log_job_ended(state, now_s)

    def drop_lost(self, capacity: WorkerCapacity, run: Run, cause: DropCause) -> None:
        """Drop a run that has ended for certain although its end was not listed."""
        capacity.remove(run.run_id)
        self._crashes.remove_run(run)
        link = self._links.get(capacity.entry.worker_id)
        if link is not None:
            link.evidence.forget_run(run.run_id)
        if self._is_registered(run):
            task = self._registry.find(run.run_id.task)
            self._registry.drop_run(task, run.run_id.number)
            task.dropped_run = DroppedRun(run.run_id.number, run.worker_id, cause)
        self._dropped.add(run.run_id, capacity.entry, cause, self._clock.seconds())
        self._metrics.run_ends.labels("lost").inc()
        self._metrics.dropped_runs.labels(cause.evidence).inc()
        log_event(
            "run.lost",
            run=_format_run(run),
            worker=capacity.entry.worker_id,
            evidence=cause.evidence,
            evidence_age_s=cause.age_s(self._clock.seconds()),
        )

    def on_started(self, run: Run) -> None:
        """Handle a worker's confirmation that a run was started."""
        self._registry.confirm_start(run)
        self._metrics.starts.labels("started").inc()
        self._metrics.start_s.observe(self._clock.seconds() - run.started_s)

    def on_refused(self, run: Run, reason: RefusalReason) -> None:
        """Handle a worker's refusal to start a run."""
        worker_id = run.worker_id
        capacity = self._capacities.get(worker_id)
        now_s = self._clock.seconds()
        cause = DropCause(DropEvidence.of_refusal(reason), now_s)
        self._metrics.starts.labels(reason).inc()
        self._metrics.dropped_runs.labels(cause.evidence).inc()
        log_event(
            "run.refused",
            run=_format_run(run),
            worker=worker_id,
            reason=reason,
            evidence=cause.evidence,
            evidence_age_s=cause.age_s(now_s),
        )
        if capacity is not None:
            self._dropped.add(run.run_id, capacity.entry, cause, now_s)
            capacity.remove(run.run_id)
            self._crashes.remove_run(run)
            pause_s = REFUSED_BACKOFF_S
            if reason is RefusalReason.UNHEALTHY:
                pause_s = UNHEALTHY_BACKOFF_S
            capacity.refused_until_s = now_s + pause_s
        task = self._registry.find(run.run_id.task)
        if task is not None:
            if self._is_registered(run):
                self._registry.drop_run(task, run.run_id.number)
                task.dropped_run = DroppedRun(run.run_id.number, worker_id, cause)
            if reason is RefusalReason.NO_TICKET and capacity is not None:
                self._on_ticket_rejected(task.step, capacity)


def _format_run(run: Run) -> str:
    return format_run_id(run.run_id)
