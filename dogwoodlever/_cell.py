"""Scheduling of a cell's tasks: placement, eviction, recovery and commits."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dogwoodlever._cell_state import (
    ENDED_STATES,
    PLACED_STATES,
    CellStateRecord,
    Task,
    encode_cell_state,
)
from dogwoodlever._class_estimates import ClassEstimates
from dogwoodlever._eviction_planner import EvictionPlanner
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._interfaces import VMStates
from dogwoodlever._interference_controller import (
    InterferenceAction,
    InterferenceController,
    ServiceSample,
)
from dogwoodlever._job import Job, reservations
from dogwoodlever._order_builder import OrderBuilder
from dogwoodlever._placement import BestFit, PlacementRound, Placer
from dogwoodlever._quota import QuotaUsage
from dogwoodlever._site import Site, Team
from dogwoodlever._slowdown import SlowdownEstimator
from dogwoodlever._task_queue import QueueKey, TaskQueue
from dogwoodlever._worker_protocol import (
    AttemptId,
    EndedAttempt,
    SyncRequest,
    WorkerReport,
)
from dogwoodlever._worker_view import WorkerView

EVICTION_COST_S = 5.0
# Time after its start in which an attempt may crash its worker.
PROBATION_S = 10.0
# Crashes after which a task starts apart from other tasks, and after which it is given
# up even if fewer workers crashed than a failing task is tried on.
CRASHES_TO_ISOLATE = 2
CRASHES_MAX = 6


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Durations of the leases that a cell's owner grants to workers."""

    worker_lease_s: float
    clock_margin_s: float
    start_freshness_s: float
    unreachable_wait_s: float


@dataclass(slots=True, frozen=True)
class Allocation:
    """Cores allocated to a placed task, and the worker that provides them."""

    worker: str
    cores: float


@dataclass(slots=True, frozen=True)
class Commit:
    """An encoded cell state to write by compare-and-swap."""

    value: bytes


def _is_on_probation(task: Task, at_wall_s: float) -> bool:
    """Return whether the latest attempt of a task may crash its worker."""
    return at_wall_s - task.started_s < PROBATION_S


class Cell:
    """Scheduler of one cell, run by the cell's owner.

    A worker is ordered to start an attempt only after the cell state that
    records it is committed. A task gets another attempt only after the previous
    one has ended, was reported stopped, or is beyond its lease.

    Parameters
    ----------
    name : str
        Name of the cell.
    cell_state : CellStateRecord
        Committed state of the cell, owned by this daemon.
    site : Site
        Current settings.
    lease_settings : LeaseSettings
        Durations of leases.
    now_s : float
        Current time.
    workers : set of str, optional
        Workers of this cell; all workers of the site by default.
    teams : dict of str to Team, optional
        Quotas of the teams in this cell; those of the site by default.
    placer : Placer, optional
        Ranking of workers; best fit by default.
    log_event : callable, optional
        Writes a log event, by name and fields; none is written by default.
    """

    def __init__(
        self,
        name: str,
        cell_state: CellStateRecord,
        site: Site,
        lease_settings: LeaseSettings,
        now_s: float,
        workers: set[str] | None = None,
        teams: dict[str, Team] | None = None,
        placer: Placer | None = None,
        log_event: Callable[..., None] | None = None,
    ) -> None:
        self.name = name
        self._log_event = log_event
        self.cell_state = cell_state
        self.lease_settings = lease_settings
        self.workers: dict[str, WorkerView] = {}
        self.estimates = ClassEstimates(cell_state.classes)
        self.faults = FaultAttribution()
        self.slowdown = SlowdownEstimator()
        self._placer = placer or BestFit()
        self._sync_count = 0
        self._dirty: set[str] = set()
        self._in_flight: set[str] = set()
        self._jobs_dirty = False
        self._committing = False
        self._allocations: dict[str, Allocation] = {}
        # Tasks that may crash their workers and start apart from others.
        self._suspects: set[str] = set()
        self._queue = TaskQueue()
        self._order_builder = OrderBuilder(cell_state, self._is_committed)
        self._eviction_planner = EvictionPlanner(cell_state, self._eviction_cost_s)
        self._data_centres_out: frozenset[str] = frozenset()
        self.set_site(site, now_s, workers, teams)
        self._load_tasks()

    def set_site(
        self,
        site: Site,
        now_s: float,
        workers: set[str] | None = None,
        teams: dict[str, Team] | None = None,
    ) -> None:
        """Apply new settings, adding and removing workers.

        Parameters
        ----------
        site : Site
            New settings.
        now_s : float
            Current time.
        workers : set of str, optional
            Workers of this cell; all workers of the site by default.
        teams : dict of str to Team, optional
            Quotas of the teams in this cell; those of the site by default.
        """
        self.site = site
        names = set(site.workers) if workers is None else workers
        self._data_centres_out = frozenset(
            n for n, dc in site.data_centres.items() if dc.out
        )
        reserved = reservations(site)
        for name in names:
            cores, memory = reserved.get(name, (0.0, 0))
            spec = site.workers[name]
            view = self.workers.get(name)
            if view is None:
                lease_end_s = now_s + self._lost_after_s()
                controller = InterferenceController(self.slowdown)
                view = WorkerView(name, spec, controller, 0, 0, lease_end_s)
                self.workers[name] = view
            view.spec = spec
            view.removed = False
            view.cores_capacity = spec.cores - cores
            view.memory_capacity_bytes = spec.memory_bytes - memory
        capacities = (view.cores_capacity for view in self.workers.values())
        self._cores_capacity_max = max(capacities, default=float("inf"))
        for name in set(self.workers) - names:
            self.workers[name].removed = True
        self.quota = QuotaUsage(site.teams if teams is None else teams)
        for task in self.cell_state.tasks.values():
            if task.state in PLACED_STATES and task.task_id in self._allocations:
                self._add_quota_usage(task, 1)

    def _lost_after_s(self) -> float:
        # An earlier owner may have granted longer leases than this one does.
        lease_s = max(self.lease_settings.worker_lease_s, self.cell_state.lease_s)
        return lease_s + self.lease_settings.clock_margin_s

    def _load_tasks(self) -> None:
        for task in self.cell_state.tasks.values():
            if task.state == "queued":
                self._queue.add(task, self._job(task))
            elif task.state in PLACED_STATES:
                self._allocate(task)
            self._update_suspect(task)

    def _update_suspect(self, task: Task) -> None:
        is_suspect = len(task.crashed_on) >= CRASHES_TO_ISOLATE
        if is_suspect and task.state not in ENDED_STATES:
            self._suspects.add(task.task_id)
        else:
            self._suspects.discard(task.task_id)

    def _job(self, task: Task) -> Job:
        return self.cell_state.jobs[task.job_id]

    def _planned_cores(self, job: Job) -> float:
        """Return the cores to plan for a task, capped at what can be placed.

        Jobs are admitted by their declared size. Without the cap, a larger
        learned size could make an admitted task wait for ever.
        """
        learned = self.estimates.cores(job.task_class, job.cores)
        return min(learned, self._cores_capacity_max, self.quota.cores(job.team))

    def _allocate(self, task: Task) -> None:
        job = self._job(task)
        cores = task.planned_cores
        self._allocations[task.task_id] = Allocation(task.worker, cores)
        view = self.workers.get(task.worker)
        if view is not None:
            view.allocate(task.task_id, cores, job.memory_bytes, job.accelerators)
        self._add_quota_usage(task, 1)

    def _add_quota_usage(self, task: Task, sign: int) -> None:
        job = self._job(task)
        cores = self._allocations[task.task_id].cores
        self.quota.add_usage(job.team, sign * cores, sign * job.accelerators)

    def _release(self, task: Task) -> None:
        if task.task_id not in self._allocations:
            return
        job = self._job(task)
        self._add_quota_usage(task, -1)
        allocation = self._allocations.pop(task.task_id)
        view = self.workers.get(allocation.worker)
        if view is not None:
            view.release(
                task.task_id, allocation.cores, job.memory_bytes, job.accelerators
            )

    def _apply(
        self, task: Task, event: str, wall_s: float, reason: str, worker: str = ""
    ) -> None:
        """Apply an event to a task and update allocations, queue and dirty set."""
        task.apply(event, wall_s, reason, worker)
        self._dirty.add(task.task_id)
        self._update_suspect(task)
        if event == "assign":
            task.planned_cores = self._planned_cores(self._job(task))
            self._queue.remove(task, self._job(task))
            self._allocate(task)
            return
        if task.state not in PLACED_STATES:
            self._release(task)
        if task.state == "queued":
            self._queue.add(task, self._job(task))
        else:
            self._queue.remove(task, self._job(task))

    def submit(self, job: Job, wall_s: float) -> bool:
        """Add a job; return False if a job with this id exists."""
        if not self.cell_state.add_job(job, wall_s):
            return False
        for task in self.cell_state.job_tasks(job.job):
            self._queue.add(task, self._job(task))
            self._dirty.add(task.task_id)
        return True

    def cancel(self, job_ids: Iterable[str], wall_s: float) -> int:
        """Cancel the unfinished tasks of jobs; return how many there were."""
        count = 0
        for job_id in job_ids:
            if job_id not in self.cell_state.jobs:
                continue
            for task in self.cell_state.job_tasks(job_id):
                if task.state in ENDED_STATES or task.state == "cancelling":
                    continue
                self._apply(task, "cancel", wall_s, "cancelled by operator")
                count += 1
        return count

    def ended_jobs(self) -> list[str]:
        """Return the jobs whose tasks have all ended in the committed state."""
        if self._committing or self._dirty:
            return []
        return [job for job in self.cell_state.jobs if self.cell_state.job_ended(job)]

    def drop_job(self, job_id: str) -> None:
        """Remove an archived job."""
        self.cell_state.drop_job(job_id)
        self._jobs_dirty = True

    def set_vms(self, vms: VMStates) -> None:
        """Apply the platform's list of VMs."""
        for name, view in self.workers.items():
            view.leaving = name in vms.leaving
            view.gone = vms.is_gone(name)

    def handle_report(self, report: WorkerReport, now_s: float, wall_s: float) -> None:
        """Process a worker's report."""
        view = self.workers.get(report.worker)
        if view is None:
            return
        # A new owner knows no boot id and takes the first report for a reboot:
        # attempts missing from it were lost in an earlier boot or never received.
        rebooted = view.boot_id != report.boot_id
        view.apply_event("reboot" if rebooted else "report")
        crashed = rebooted and view.boot_id and not self._is_unschedulable(view)
        last_report_wall_s = wall_s - (now_s - view.report_s)
        view.boot_id = report.boot_id
        view.report_s = now_s
        view.report_clock_s = report.clock_s
        view.unreachable = False
        view.reported_attempts = {
            AttemptId(a.task_id, a.attempt) for a in report.running
        }
        view.ended = {AttemptId(a.task_id, a.attempt) for a in report.ended}
        for attempt in report.running:
            self._record_running(view, attempt, wall_s)
        for ended in report.ended:
            self._record_end(view, ended, now_s, wall_s)
        if rebooted:
            lost = self._requeue_lost_tasks(
                view, wall_s, "not held by the worker since it booted"
            )
            if crashed:
                self._record_crash(view, lost, last_report_wall_s, now_s, wall_s)
        for sample in report.usage:
            self._record_usage(view, sample, now_s, wall_s)

    def _record_running(self, view, attempt, wall_s) -> None:
        task = self._order_builder.current_task(view, attempt.task_id, attempt.attempt)
        if task is not None and attempt.started and task.state == "assigned":
            self._apply(task, "start", wall_s, "worker reports it running")
        if task is not None and task.crashed_on and not _is_on_probation(task, wall_s):
            self._clear_crashes(task)

    def _clear_crashes(self, task: Task) -> None:
        task.crashed_on = []
        self._dirty.add(task.task_id)
        self._update_suspect(task)
        self._log("task.cleared", task)

    def _log(self, name: str, task: Task, **fields) -> None:
        if self._log_event is not None:
            self._log_event(name, cell=self.name, task=task.task_id, **fields)

    def _accept_late_end(self, view, ended: EndedAttempt, wall_s) -> None:
        """Accept the end of an earlier attempt that was presumed lost."""
        task = self.cell_state.tasks.get(ended.task_id)
        if task is None or ended.outcome != "finished" or self._job(task).standing:
            return
        if task.state in ENDED_STATES:
            return
        reason = f"attempt {ended.attempt} had finished on {view.name}"
        self._apply(task, "finish", wall_s, reason)

    def _record_end(self, view, ended: EndedAttempt, now_s, wall_s) -> None:
        task = self._order_builder.current_task(view, ended.task_id, ended.attempt)
        if task is None or task.state not in PLACED_STATES:
            self._accept_late_end(view, ended, wall_s)
            return
        job = self._job(task)
        task.checkpoint_s = max(task.checkpoint_s, ended.checkpoint_s)
        if ended.outcome == "finished":
            self._finish(view, task, job, ended, wall_s)
        elif ended.outcome == "failed":
            self._fail(view, task, job, ended.reason, now_s, wall_s)
        else:
            self._apply(task, "stopped", wall_s, ended.reason or "stopped")

    def _finish(self, view, task, job, ended, wall_s) -> None:
        self.faults.record_success(view.name, job.job)
        if not job.standing:
            self.estimates.observe(job.task_class, ended.cores_used, ended.run_s)
        if task.crashed_on:
            self._clear_crashes(task)
        self._apply(task, "finish", wall_s, "worker reports it finished")
        if job.standing and task.state == "finished":
            self._apply(task, "restart", wall_s, "standing task ended")
            task.checkpoint_s = 0.0

    def _fail(self, view, task, job, reason, now_s, wall_s) -> None:
        self._apply(task, "fail", wall_s, reason or "worker reports a failure")
        if task.state != "queued":
            return
        task.failed_on = sorted({*task.failed_on, view.name})
        if self._has_failed_too_often(view, task, task.failed_on, now_s):
            where = ", ".join(task.failed_on)
            self._apply(task, "give_up", wall_s, f"failed on {where}")

    def _has_failed_too_often(self, view, task, workers: list[str], now_s) -> bool:
        """Record a failure on a worker; return whether the task is at fault.

        Parameters
        ----------
        view : WorkerView
            The worker.
        task : Task
            The task that failed there.
        workers : list of str
            All workers on which it failed in this way.
        now_s : float
            Current time.
        """
        quarantined = self.faults.record_failure(
            view.name, task.job_id, now_s, len(self.workers)
        )
        return not quarantined and self.faults.has_failed_too_often(workers, now_s)

    def _record_crash(
        self, view, lost: list[Task], ended_wall_s: float, now_s, wall_s
    ) -> None:
        """Count the crash of a worker for the attempts on probation that it lost.

        The crash decides about a task only if nothing else is as likely the cause: the
        task is the only one on probation there, or the only suspect among them.

        Parameters
        ----------
        view : WorkerView
            The worker.
        lost : list of Task
            Tasks whose attempts the worker lost.
        ended_wall_s : float
            Unix time of its last report before the crash.
        now_s, wall_s : float
            Current time, and Unix time.
        """
        young = [task for task in lost if _is_on_probation(task, ended_wall_s)]
        suspects = [task for task in young if task.task_id in self._suspects]
        for task in young:
            task.crashed_on = [*task.crashed_on, view.name]
            self._update_suspect(task)
            crashes = len(task.crashed_on)
            self._log("task.suspected", task, crashes=crashes, worker=view.name)
        candidates = suspects or young
        if len(candidates) != 1 or candidates[0].state != "queued":
            return
        task = candidates[0]
        too_often = self._has_failed_too_often(view, task, task.crashed_on, now_s)
        if too_often or len(task.crashed_on) >= CRASHES_MAX:
            where = ", ".join(task.crashed_on)
            reason = f"workers crashed soon after it started there: {where}"
            self._apply(task, "give_up", wall_s, reason)
            self._log("task.given-up", task, workers=where)

    def _requeue_lost_tasks(
        self, view: WorkerView, wall_s: float, reason: str
    ) -> list[Task]:
        """Requeue the tasks whose attempts the worker no longer holds.

        Returns
        -------
        lost : list of Task
            The tasks whose attempts the worker may have started.
        """
        lost = []
        for task_id in sorted(view.tasks):
            task = self.cell_state.tasks[task_id]
            attempt = AttemptId(task_id, task.attempt)
            if attempt in view.reported_attempts or task.state not in PLACED_STATES:
                continue
            # An uncommitted assignment was not ordered yet.
            if task.state != "assigned" or self._is_committed(task_id):
                lost.append(task)
            self._apply(task, "lost", wall_s, reason)
        return lost

    def _record_usage(self, view, sample, now_s, wall_s) -> None:
        service = self.site.services.get(sample.service)
        if service is None:
            return
        measured = ServiceSample(
            sample.service,
            sample.latency_s,
            service.latency_target_s,
            sample.load,
            sample.class_cores,
        )
        decision = view.controller.observe(measured, now_s)
        if decision.action == InterferenceAction.EVICT:
            self._evict_class(view, decision.task_class, wall_s)

    def _evict_class(self, view, task_class, wall_s) -> None:
        """Evict the class's running task with the most remaining run time."""
        candidates = [
            task
            for task_id in view.tasks
            if (task := self.cell_state.tasks[task_id]).state == "running"
            and self._job(task).task_class == task_class
            and self._remaining_s(task) > EVICTION_COST_S
        ]
        if candidates:
            task = max(candidates, key=lambda t: (self._remaining_s(t), t.task_id))
            self._apply(task, "evict", wall_s, "guard: service latency over target")

    def _eviction_cost_s(self, task: Task) -> float:
        """Return the cost of evicting a task, at most its remaining run time."""
        return min(EVICTION_COST_S, self._remaining_s(task))

    def _remaining_s(self, task: Task) -> float:
        job = self._job(task)
        run_s = self.estimates.run_s(job.task_class, job.run_s)
        return max(0.0, run_s - task.checkpoint_s)

    def decide(self, now_s: float, wall_s: float) -> None:
        """Expire leases, evict from unschedulable workers and place queued tasks."""
        self._expire_leases(now_s, wall_s)
        self._evict_from_unschedulable(wall_s)
        self._place(now_s, wall_s)

    def _expire_leases(self, now_s: float, wall_s: float) -> None:
        for view in self.workers.values():
            if now_s - view.report_s > self.lease_settings.worker_lease_s / 2:
                view.apply_event("missed")
            if view.state == "lost" or not self._is_lost(view, now_s):
                continue
            view.apply_event("lapsed")
            view.reported_attempts.clear()
            self._requeue_lost_tasks(view, wall_s, "worker's lease lapsed")

    def _is_lost(self, view: WorkerView, now_s: float) -> bool:
        """Return whether new attempts may replace those of a worker.

        A worker that the platform still lists may only be partitioned and hold
        ended attempts that it cannot report yet, so it gets a longer wait.
        """
        if not view.unreachable:
            return False
        return (
            view.gone
            or now_s >= view.lease_end_s + self.lease_settings.unreachable_wait_s
        )

    def sync_failed(self, worker: str, sent_s: float) -> None:
        """Record that a synchronisation sent at `sent_s` brought no report.

        A worker counts as unreachable only if a synchronisation sent after the
        end of its lease failed. After a pause of this daemon all leases look
        expired, although the workers still hold their ended attempts.
        """
        view = self.workers[worker]
        if sent_s >= view.lease_end_s:
            view.unreachable = True

    def _is_unschedulable(self, view: WorkerView) -> bool:
        unusable = view.leaving or view.gone or view.removed
        return unusable or view.spec.data_centre in self._data_centres_out

    def _evict_from_unschedulable(self, wall_s: float) -> None:
        for view in self.workers.values():
            if not view.tasks or not self._is_unschedulable(view):
                continue
            for task_id in sorted(view.tasks):
                task = self.cell_state.tasks[task_id]
                if task.state in ("assigned", "running"):
                    self._apply(task, "evict", wall_s, "its worker leaves service")

    def _schedulable_workers(self, now_s: float, wall_s: float) -> list[WorkerView]:
        reserved = {
            task.worker
            for task_id in self._suspects
            if _is_on_probation(task := self.cell_state.tasks[task_id], wall_s)
        }
        views = []
        for view in self.workers.values():
            if view.state != "ready" or self._is_unschedulable(view):
                continue
            if view.name in reserved:
                continue
            if not self._takes_no_task(view, now_s, wall_s):
                views.append(view)
        return views

    def _takes_no_task(self, view: WorkerView, now_s: float, wall_s: float) -> bool:
        """Return whether a worker is quarantined or has a task that probes it."""
        started_s = (
            now_s - (wall_s - self.cell_state.tasks[task_id].started_s)
            for task_id in view.tasks
        )
        return self.faults.starts_left(view.name, started_s, now_s) == 0

    def _place(self, now_s: float, wall_s: float) -> None:
        if not self._queue:
            return
        views = self._schedulable_workers(now_s, wall_s)
        placement = PlacementRound(self._placer, views)
        young = self._workers_on_probation(wall_s) if self._suspects else set()
        for task in self._queue.in_order(self._queue_order):
            if not placement:
                break
            if not self._place_one(task, placement, young, now_s, wall_s):
                self._queue.defer(self._job(task))

    def _place_one(self, task, placement, young: set[str], now_s, wall_s) -> bool:
        """Assign one task; return False to defer its job to the next round.

        Suspects avoid the workers in `young`, which have attempts on probation.
        """
        job = self._job(task)
        cores = self._planned_cores(job)
        if not self.quota.allows(job.team, cores, job.accelerators):
            if job.urgent:
                self._preempt_for_quota(job, wall_s)
            return False
        avoid = {*task.failed_on, *task.crashed_on}
        is_suspect = task.task_id in self._suspects
        if is_suspect:
            avoid |= young
        view = placement.choose(cores, job.memory_bytes, job.accelerators, avoid)
        if view is None:
            if job.urgent:
                self._preempt_for_capacity(job, placement, wall_s)
            return False
        reason = f"best fit, team share {self.quota.dominant_share(job.team):.2f}"
        placement.before_change(view)
        self._apply(task, "assign", wall_s, reason, view.name)
        placement.after_change(view)
        young.add(view.name)
        if is_suspect or self._takes_no_task(view, now_s, wall_s):
            placement.drop(view)
        return True

    def _workers_on_probation(self, wall_s: float) -> set[str]:
        """Return the workers with an attempt that may yet crash them."""
        tasks = self.cell_state.tasks
        return {
            view.name
            for view in self.workers.values()
            if any(_is_on_probation(tasks[task_id], wall_s) for task_id in view.tasks)
        }

    def _preempt_for_capacity(
        self, job: Job, placement: PlacementRound, wall_s: float
    ) -> None:
        """Evict other tasks so that the queued tasks of an urgent job fit."""
        waiting_count = self._queue.waiting_count(job)
        victims = self._eviction_planner.choose_victims(
            job, waiting_count, placement.views()
        )
        self._evict(victims, wall_s, f"makes room for urgent job {job.job}")

    def _preempt_for_quota(self, job: Job, wall_s: float) -> None:
        """Evict other tasks of the team so that an urgent job fits its quota."""
        remaining = self.quota.remaining(job.team)
        waiting_count = self._queue.waiting_count(job)
        victims = self._eviction_planner.choose_team_victims(
            job, waiting_count, remaining.cores, remaining.accelerators
        )
        reason = f"makes room in the quota for urgent job {job.job}"
        self._evict(victims, wall_s, reason)

    def _evict(self, victims: Iterable[Task], wall_s: float, reason: str) -> None:
        for victim in victims:
            self._apply(victim, "evict", wall_s, reason)

    def _queue_order(self, key: QueueKey) -> tuple:
        """Order urgent jobs first, then teams by dominant share."""
        return (not key.urgent, self.quota.dominant_share(key.team))

    def begin_commit(self) -> Commit | None:
        """Return the state to write; None if unchanged or a write is pending."""
        if self._committing or not (self._dirty or self._jobs_dirty):
            return None
        self._committing = True
        self._in_flight, self._dirty = self._dirty, set()
        self._jobs_dirty = False
        self.cell_state.sequence += 1
        return Commit(encode_cell_state(self.cell_state))

    def confirm_commit(self) -> None:
        """Record that the pending commit was written."""
        self._committing = False
        self._in_flight.clear()

    def abort_commit(self) -> None:
        """Record that the pending commit was definitely not written."""
        self._committing = False
        self._dirty |= self._in_flight
        self._in_flight.clear()

    def _is_committed(self, task_id: str) -> bool:
        return task_id not in self._dirty and task_id not in self._in_flight

    def is_sync_due(self, worker: str, now_s: float, idle_interval_s: float) -> bool:
        """Return whether a worker has pending orders or its interval has passed.

        Parameters
        ----------
        worker : str
            Name of the worker.
        now_s : float
            Current time.
        idle_interval_s : float
            Synchronisation interval of a worker without pending orders.
        """
        view = self.workers[worker]
        if now_s - view.sync_s >= idle_interval_s or view.state != "ready":
            return True
        if view.ended:
            return True
        states = (self.cell_state.tasks[task_id].state for task_id in view.tasks)
        return any(state != "running" for state in states)

    def sync(
        self, worker: str, now_s: float, confirmation_age_s: float, may_renew: bool
    ) -> SyncRequest | None:
        """Return the next synchronisation of a worker, or None without a lease.

        Parameters
        ----------
        worker : str
            Name of the worker.
        now_s : float
            Current time.
        confirmation_age_s : float
            Age of the newest confirmation of the configuration.
        may_renew : bool
            Whether this daemon holds its membership lease.
        """
        if not may_renew:
            return None
        view = self.workers[worker]
        view.sync_s = now_s
        self._sync_count += 1
        if view.state != "ready":
            # Only asks a silent worker for a report: renewing its lease on
            # each try would postpone the restart of its tasks for ever.
            return SyncRequest(
                self.name, self.cell_state.epoch, self._sync_count, "", 0.0, 0.0
            )
        lease_s = self.lease_settings.worker_lease_s
        view.lease_end_s = max(view.lease_end_s, now_s + self._lost_after_s())
        start_s = self._start_until_s(view, now_s, confirmation_age_s)
        return SyncRequest(
            self.name,
            self.cell_state.epoch,
            self._sync_count,
            view.boot_id,
            view.worker_time(now_s) + lease_s,
            start_s,
            self._order_builder.run_orders(view),
            self._order_builder.stop_orders(view),
            self._order_builder.forget_orders(view),
            view.controller.throttles,
        )

    def _start_until_s(self, view, now_s, confirmation_age_s) -> float:
        permit_s = self.lease_settings.start_freshness_s - confirmation_age_s
        if permit_s <= 0 or self._is_unschedulable(view):
            return 0.0
        return view.worker_time(now_s + permit_s)
