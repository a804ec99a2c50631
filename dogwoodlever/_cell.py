"""Decisions of a cell's owner: placement, eviction, recovery and commits."""

from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodlever._class_estimate import ClassEstimates
from dogwoodlever._eviction_planner import EvictionPlanner
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._guard import GuardStep, Sample, WorkerGuard
from dogwoodlever._interfaces import VMStates
from dogwoodlever._job import Job, reservations
from dogwoodlever._ledger import (
    ENDED_STATES,
    PLACED_STATES,
    LedgerRecord,
    Task,
    encode_ledger,
)
from dogwoodlever._order_builder import OrderBuilder
from dogwoodlever._placement import BestFit, PlacementRound, Placer
from dogwoodlever._quota import QuotaBook
from dogwoodlever._site import Site, Team
from dogwoodlever._slowdown import SlowdownEstimator
from dogwoodlever._task_queue import Line, TaskQueue
from dogwoodlever._worker_protocol import (
    AttemptId,
    EndedAttempt,
    SyncRequest,
    WorkerReport,
)
from dogwoodlever._worker_view import WorkerView

EVICTION_COST_S = 5.0


@dataclass(slots=True, frozen=True)
class CellTerms:
    """Terms of the leases that a cell's owner grants; all in seconds."""

    worker_lease_s: float
    clock_margin_s: float
    start_freshness_s: float
    unreachable_wait_s: float


@dataclass(slots=True, frozen=True)
class Charge:
    """What a placed task is charged for, and to which worker."""

    worker: str
    cores: float


@dataclass(slots=True, frozen=True)
class Commit:
    """A ledger value to write by compare-and-swap."""

    value: bytes


class Cell:
    """The owner's working state of one cell.

    A worker is told of a start only when the ledger value that holds it is
    committed, and an attempt is followed by another only when it has ended,
    was reported stopped, or is beyond its lease.

    Parameters
    ----------
    name : str
        The cell.
    ledger : LedgerRecord
        Committed ledger that this daemon owns.
    site : Site
        Settings in force.
    terms : CellTerms
        Terms of leases.
    now_s : float
        Present time.
    workers : set of str, optional
        Workers of this cell; all of the site by default.
    teams : dict of str to Team, optional
        Parts of quotas that fall to this cell; all of them by default.
    placer : Placer, optional
        Choice of workers.
    """

    def __init__(
        self,
        name: str,
        ledger: LedgerRecord,
        site: Site,
        terms: CellTerms,
        now_s: float,
        workers: set[str] | None = None,
        teams: dict[str, Team] | None = None,
        placer: Placer | None = None,
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.terms = terms
        self.workers: dict[str, WorkerView] = {}
        self.estimates = ClassEstimates(ledger.classes)
        self.faults = FaultAttribution()
        self.slowdown = SlowdownEstimator()
        self._placer = placer or BestFit()
        self._sync_count = 0
        self._dirty: set[str] = set()
        self._in_flight: set[str] = set()
        self._jobs_dirty = False
        self._committing = False
        self._charged: dict[str, Charge] = {}
        self._queue = TaskQueue()
        self._order_builder = OrderBuilder(ledger, self._is_committed)
        self._eviction_planner = EvictionPlanner(ledger, self._eviction_cost_s)
        self._out: frozenset[str] = frozenset()
        self.set_site(site, now_s, workers, teams)
        self._adopt_ledger()

    def set_site(
        self,
        site: Site,
        now_s: float,
        workers: set[str] | None = None,
        teams: dict[str, Team] | None = None,
    ) -> None:
        """Take over settings; workers of the cell appear and disappear.

        Parameters
        ----------
        site : Site
            Settings in force.
        now_s : float
            Present time.
        workers : set of str, optional
            Workers of this cell; all of the site by default.
        teams : dict of str to Team, optional
            Parts of quotas that fall to this cell; all by default.
        """
        self.site = site
        names = set(site.workers) if workers is None else workers
        self._out = frozenset(n for n, dc in site.data_centres.items() if dc.out)
        reserved = reservations(site)
        for name in names:
            cores, memory = reserved.get(name, (0.0, 0))
            spec = site.workers[name]
            view = self.workers.get(name)
            if view is None:
                lease_end_s = now_s + self._lost_after_s()
                guard = WorkerGuard(self.slowdown)
                view = WorkerView(name, spec, guard, 0, 0, lease_end_s)
                self.workers[name] = view
            view.spec = spec
            view.removed = False
            view.cores_room = spec.cores - cores
            view.memory_room_bytes = spec.memory_bytes - memory
        rooms = (view.cores_room for view in self.workers.values())
        self._cores_room_max = max(rooms, default=float("inf"))
        for name in set(self.workers) - names:
            self.workers[name].removed = True
        self.quota = QuotaBook(site.teams if teams is None else teams)
        for task in self.ledger.tasks.values():
            if task.state in PLACED_STATES and task.task_id in self._charged:
                self._charge_quota(task, 1)

    def _lost_after_s(self) -> float:
        # An earlier owner may have granted longer leases than this one does.
        lease_s = max(self.terms.worker_lease_s, self.ledger.lease_s)
        return lease_s + self.terms.clock_margin_s

    def _adopt_ledger(self) -> None:
        for task in self.ledger.tasks.values():
            if task.state == "queued":
                self._queue.add(task, self._job(task))
            elif task.state in PLACED_STATES:
                self._charge(task)

    def _job(self, task: Task) -> Job:
        return self.ledger.jobs[task.job_id]

    def _cores(self, job: Job) -> float:
        """Return the cores to plan with, never more than could be placed.

        A job was accepted by the size that it declares, so what is learned
        of its class may make its tasks wait, but not for ever.
        """
        learned = self.estimates.cores(job.task_class, job.cores)
        return min(learned, self._cores_room_max, self.quota.cores(job.team))

    def _charge(self, task: Task) -> None:
        job = self._job(task)
        cores = task.planned_cores
        self._charged[task.task_id] = Charge(task.worker, cores)
        view = self.workers.get(task.worker)
        if view is not None:
            view.charge(task.task_id, cores, job.memory_bytes, job.accelerators)
        self._charge_quota(task, 1)

    def _charge_quota(self, task: Task, sign: int) -> None:
        job = self._job(task)
        cores = self._charged[task.task_id].cores
        self.quota.take(job.team, sign * cores, sign * job.accelerators)

    def _credit(self, task: Task) -> None:
        if task.task_id not in self._charged:
            return
        job = self._job(task)
        self._charge_quota(task, -1)
        charge = self._charged.pop(task.task_id)
        view = self.workers.get(charge.worker)
        if view is not None:
            view.credit(task.task_id, charge.cores, job.memory_bytes, job.accelerators)

    def _apply(
        self, task: Task, event: str, wall_s: float, reason: str, worker: str = ""
    ) -> None:
        """Apply an event to a task, its accounts and the set to commit."""
        task.apply(event, wall_s, reason, worker)
        self._dirty.add(task.task_id)
        if event == "assign":
            task.planned_cores = self._cores(self._job(task))
            self._queue.remove(task, self._job(task))
            self._charge(task)
            return
        if task.state not in PLACED_STATES:
            self._credit(task)
        if task.state == "queued":
            self._queue.add(task, self._job(task))
        else:
            self._queue.remove(task, self._job(task))

    def submit(self, job: Job, wall_s: float) -> bool:
        """Add a job; return False if its id is known already."""
        if not self.ledger.add_job(job, wall_s):
            return False
        for task in self.ledger.job_tasks(job.job):
            self._queue.add(task, self._job(task))
            self._dirty.add(task.task_id)
        return True

    def cancel(self, job_ids: Iterable[str], wall_s: float) -> int:
        """Cancel all tasks of jobs; return how many were not ended yet."""
        count = 0
        for job_id in job_ids:
            if job_id not in self.ledger.jobs:
                continue
            for task in self.ledger.job_tasks(job_id):
                if task.state in ENDED_STATES or task.state == "cancelling":
                    continue
                self._apply(task, "cancel", wall_s, "cancelled by operator")
                count += 1
        return count

    def ended_jobs(self) -> list[str]:
        """Return jobs whose tasks have all ended, in committed state."""
        if self._committing or self._dirty:
            return []
        return [job for job in self.ledger.jobs if self.ledger.job_ended(job)]

    def drop_job(self, job_id: str) -> None:
        """Remove an ended job after it was archived."""
        self.ledger.drop_job(job_id)
        self._jobs_dirty = True

    def set_vms(self, vms: VMStates) -> None:
        """Take over the platform's list of VMs."""
        for name, view in self.workers.items():
            view.leaving = name in vms.leaving
            view.gone = vms.is_gone(name)

    def report(self, report: WorkerReport, now_s: float, wall_s: float) -> None:
        """Record a worker's report."""
        view = self.workers.get(report.worker)
        if view is None:
            return
        # To a new owner any boot is new: what the worker does not hold by its
        # first report, an earlier boot lost, or it was never told of.
        rebooted = view.boot_id != report.boot_id
        view.note("reboot" if rebooted else "report")
        view.boot_id = report.boot_id
        view.report_s = now_s
        view.report_clock_s = report.clock_s
        view.unreachable = False
        view.known = {AttemptId(a.task_id, a.attempt) for a in report.running}
        view.ended = {AttemptId(a.task_id, a.attempt) for a in report.ended}
        for attempt in report.running:
            self._note_running(view, attempt, wall_s)
        for ended in report.ended:
            self._note_ended(view, ended, now_s, wall_s)
        if rebooted:
            self._lose_tasks(view, wall_s, "not held by the worker since it booted")
        for sample in report.usage:
            self._note_usage(view, sample, now_s, wall_s)

    def _note_running(self, view, attempt, wall_s) -> None:
        task = self._order_builder.current_task(view, attempt.task_id, attempt.attempt)
        if task is not None and attempt.started and task.state == "assigned":
            self._apply(task, "start", wall_s, "worker reports it running")

    def _adopt_end(self, view, ended: EndedAttempt, wall_s) -> None:
        """Take the end of an earlier attempt that was given up as lost."""
        task = self.ledger.tasks.get(ended.task_id)
        if task is None or ended.outcome != "finished" or self._job(task).standing:
            return
        if task.state in ENDED_STATES:
            return
        reason = f"attempt {ended.attempt} had finished on {view.name}"
        self._apply(task, "finish", wall_s, reason)

    def _note_ended(self, view, ended: EndedAttempt, now_s, wall_s) -> None:
        task = self._order_builder.current_task(view, ended.task_id, ended.attempt)
        if task is None or task.state not in PLACED_STATES:
            self._adopt_end(view, ended, wall_s)
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
            self.estimates.note(job.task_class, ended.cores_used, ended.run_s)
        self._apply(task, "finish", wall_s, "worker reports it finished")
        if job.standing and task.state == "finished":
            self._apply(task, "restart", wall_s, "standing task ended")
            task.checkpoint_s = 0.0

    def _fail(self, view, task, job, reason, now_s, wall_s) -> None:
        self._apply(task, "fail", wall_s, reason or "worker reports a failure")
        if task.state != "queued":
            return
        task.failed_on = sorted({*task.failed_on, view.name})
        quarantined = self.faults.record_failure(
            view.name, job.job, now_s, len(self.workers)
        )
        if not quarantined and self.faults.has_failed_too_often(task.failed_on, now_s):
            where = ", ".join(task.failed_on)
            self._apply(task, "give_up", wall_s, f"failed on {where}")

    def _lose_tasks(self, view: WorkerView, wall_s: float, reason: str) -> None:
        """Queue again the attempts that the worker no longer holds."""
        for task_id in sorted(view.tasks):
            task = self.ledger.tasks[task_id]
            attempt = AttemptId(task_id, task.attempt)
            if attempt in view.known or task.state not in PLACED_STATES:
                continue
            self._apply(task, "lost", wall_s, reason)

    def _note_usage(self, view, sample, now_s, wall_s) -> None:
        service = self.site.services.get(sample.service)
        if service is None:
            return
        measured = Sample(
            sample.service,
            sample.latency_s,
            service.latency_target_s,
            sample.load,
            sample.class_cores,
        )
        decision = view.guard.note(measured, now_s)
        if decision.step == GuardStep.EVICT:
            self._evict_class(view, decision.task_class, wall_s)

    def _evict_class(self, view, task_class, wall_s) -> None:
        """Evict the task of a class that has the most work left."""
        candidates = [
            task
            for task_id in view.tasks
            if (task := self.ledger.tasks[task_id]).state == "running"
            and self._job(task).task_class == task_class
            and self._left_s(task) > EVICTION_COST_S
        ]
        if candidates:
            task = max(candidates, key=lambda t: (self._left_s(t), t.task_id))
            self._apply(task, "evict", wall_s, "guard: service latency over target")

    def _eviction_cost_s(self, task: Task) -> float:
        """Return what a task loses when evicted: little if it ends soon anyway."""
        return min(EVICTION_COST_S, self._left_s(task))

    def _left_s(self, task: Task) -> float:
        job = self._job(task)
        run_s = self.estimates.run_s(job.task_class, job.run_s)
        return max(0.0, run_s - task.checkpoint_s)

    def decide(self, now_s: float, wall_s: float) -> None:
        """Move tasks on by the clock, the settings and the free room."""
        self._expire_leases(now_s, wall_s)
        self._evict_from_leaving(wall_s)
        self._place(now_s, wall_s)

    def _expire_leases(self, now_s: float, wall_s: float) -> None:
        for view in self.workers.values():
            if now_s - view.report_s > self.terms.worker_lease_s / 2:
                view.note("missed")
            if view.state == "lost" or not self._is_lost(view, now_s):
                continue
            view.note("lapsed")
            view.known.clear()
            self._lose_tasks(view, wall_s, "worker's lease lapsed")

    def _is_lost(self, view: WorkerView, now_s: float) -> bool:
        """Tell whether a worker's attempts may be followed by others.

        A worker that the platform still lists may only be cut off, and hold
        ends that it cannot report; it is waited for longer.
        """
        if not view.unreachable:
            return False
        return view.gone or now_s >= view.lease_end_s + self.terms.unreachable_wait_s

    def sync_failed(self, worker: str, sent_s: float) -> None:
        """Record that a synchronisation sent at `sent_s` brought no report.

        Only a worker that was asked in vain after its lease ended is given
        up: after a pause of this daemon all leases look lapsed, while the
        workers still hold the ends of their tasks.
        """
        view = self.workers[worker]
        if sent_s >= view.lease_end_s:
            view.unreachable = True

    def _takes_no_work(self, view: WorkerView) -> bool:
        unusable = view.leaving or view.gone or view.removed
        return unusable or view.spec.data_centre in self._out

    def _evict_from_leaving(self, wall_s: float) -> None:
        for view in self.workers.values():
            if not view.tasks or not self._takes_no_work(view):
                continue
            for task_id in sorted(view.tasks):
                task = self.ledger.tasks[task_id]
                if task.state in ("assigned", "running"):
                    self._apply(task, "evict", wall_s, "its worker leaves service")

    def _candidates(self, now_s: float) -> list[WorkerView]:
        views = []
        for view in self.workers.values():
            if view.state != "ready" or self._takes_no_work(view):
                continue
            task_limit = self.faults.task_limit(view.name, now_s)
            if task_limit is not None and len(view.tasks) >= task_limit:
                continue
            views.append(view)
        return views

    def _place(self, now_s: float, wall_s: float) -> None:
        if not self._queue:
            return
        places = PlacementRound(self._placer, self._candidates(now_s))
        for task in self._queue.in_order(self._line_order):
            if not places:
                break
            if not self._place_one(task, places, now_s, wall_s):
                self._queue.pass_over(self._job(task))

    def _place_one(self, task, places, now_s, wall_s) -> bool:
        """Assign one task; return whether its job may go on in this round."""
        job = self._job(task)
        cores = self._cores(job)
        if not self.quota.allows(job.team, cores, job.accelerators):
            if job.urgent:
                self._make_quota(job, wall_s)
            return False
        view = places.choose(
            cores, job.memory_bytes, job.accelerators, set(task.failed_on)
        )
        if view is None:
            if job.urgent:
                self._make_room(job, places, wall_s)
            return False
        reason = f"best fit, team share {self.quota.dominant_share(job.team):.2f}"
        places.before_change(view)
        self._apply(task, "assign", wall_s, reason, view.name)
        places.after_change(view)
        task_limit = self.faults.task_limit(view.name, now_s)
        if task_limit is not None and len(view.tasks) >= task_limit:
            places.drop(view)
        return True

    def _make_room(self, job: Job, places: PlacementRound, wall_s: float) -> None:
        """Evict other work for the tasks of an urgent job that still wait."""
        waiting = self._queue.waiting(job)
        victims = self._eviction_planner.choose_victims(job, waiting, places.views())
        self._evict(victims, wall_s, f"makes room for urgent job {job.job}")

    def _make_quota(self, job: Job, wall_s: float) -> None:
        """Evict the team's own other work for an urgent job over its quota."""
        free = self.quota.free(job.team)
        waiting = self._queue.waiting(job)
        victims = self._eviction_planner.choose_team_victims(
            job, waiting, free.cores, free.accelerators
        )
        reason = f"makes room in the quota for urgent job {job.job}"
        self._evict(victims, wall_s, reason)

    def _evict(self, victims: Iterable[Task], wall_s: float, reason: str) -> None:
        for victim in victims:
            self._apply(victim, "evict", wall_s, reason)

    def _line_order(self, line: Line) -> tuple:
        return (not line.urgent, self.quota.dominant_share(line.team))

    def next_commit(self) -> Commit | None:
        """Return the value to write, or None if nothing changed or one is out."""
        if self._committing or not (self._dirty or self._jobs_dirty):
            return None
        self._committing = True
        self._in_flight, self._dirty = self._dirty, set()
        self._jobs_dirty = False
        self.ledger.sequence += 1
        return Commit(encode_ledger(self.ledger))

    def committed(self) -> None:
        """Record that the value last returned was written."""
        self._committing = False
        self._in_flight.clear()

    def not_committed(self) -> None:
        """Record that the value last returned was certainly not written."""
        self._committing = False
        self._dirty |= self._in_flight
        self._in_flight.clear()

    def _is_committed(self, task_id: str) -> bool:
        return task_id not in self._dirty and task_id not in self._in_flight

    def sync_due(self, worker: str, now_s: float, rest_interval_s: float) -> bool:
        """Tell whether a worker has orders to get, or has rested long enough.

        Parameters
        ----------
        worker : str
            The worker.
        now_s : float
            Present time.
        rest_interval_s : float
            Interval for a worker without orders.
        """
        view = self.workers[worker]
        if now_s - view.sync_s >= rest_interval_s or view.state != "ready":
            return True
        if view.ended:
            return True
        states = (self.ledger.tasks[task_id].state for task_id in view.tasks)
        return any(state != "running" for state in states)

    def sync(
        self, worker: str, now_s: float, evidence_age_s: float, may_renew: bool
    ) -> SyncRequest | None:
        """Return the next synchronisation of a worker, or None.

        Parameters
        ----------
        worker : str
            The worker.
        now_s : float
            Present time.
        evidence_age_s : float
            Age of the newest confirmation of the configuration.
        may_renew : bool
            Whether this daemon's tenure holds.
        """
        if not may_renew:
            return None
        view = self.workers[worker]
        view.sync_s = now_s
        self._sync_count += 1
        if view.state != "ready":
            # A silent worker is only asked to report: renewing its lease on
            # each try would keep its tasks from ever being started again.
            return SyncRequest(
                self.name, self.ledger.epoch, self._sync_count, "", 0.0, 0.0
            )
        lease_s = self.terms.worker_lease_s
        view.lease_end_s = max(view.lease_end_s, now_s + self._lost_after_s())
        start_s = self._start_until_s(view, now_s, evidence_age_s)
        return SyncRequest(
            self.name,
            self.ledger.epoch,
            self._sync_count,
            view.boot_id,
            view.worker_time(now_s) + lease_s,
            start_s,
            self._order_builder.run_orders(view),
            self._order_builder.stop_orders(view),
            self._order_builder.forget_orders(view),
            view.guard.throttles,
        )

    def _start_until_s(self, view, now_s, evidence_age_s) -> float:
        permit_s = self.terms.start_freshness_s - evidence_age_s
        if permit_s <= 0 or self._takes_no_work(view):
            return 0.0
        return view.worker_time(now_s + permit_s)
