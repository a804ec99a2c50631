"""The leader: tracks all jobs, sends orders to workers and stores progress."""

import math
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress

from twisted.internet.defer import FirstError, gatherResults, inlineCallbacks

from dogwoodlever._acknowledgement_backlog import AcknowledgementBacklog
from dogwoodlever._configuration_knowledge import ConfigurationKnowledge
from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_desired_state import DesiredState
from dogwoodlever._fleet_interfaces import (
    AdviceService,
    FleetWorkerClient,
    Put,
    Record,
)
from dogwoodlever._fleet_job import JobPhase, JobProgress, JobState, merge_progress
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_planner import FleetPlanner
from dogwoodlever._fleet_progress_writer import ProgressWriter
from dogwoodlever._fleet_records import (
    CANCELS_PREFIX,
    HANDOVER_KEY,
    INBOX_PREFIX,
    INTERFERENCE_KEY,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    TERM_KEY,
    UNREACHABLE_WORKERS_KEY,
    WORKER_MEMBERSHIP_KEY,
    InterferenceRecord,
    decode_interference,
    decode_progress,
    decode_submission,
    encode,
)
from dogwoodlever._fleet_retention import Retention
from dogwoodlever._fleet_types import PlatformLimits, Queue
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._fleet_workers import FleetWorkers
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._leader_handover import LeaderHandover
from dogwoodlever._logs import log_event
from dogwoodlever._pending_jobs_writer import PendingJobsWriter
from dogwoodlever._run_evidence import late_calls_kept_s
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._run_throttler import RunThrottler
from dogwoodlever._store_listing import StoreListing
from dogwoodlever._submission_restorer import SubmissionRestorer
from dogwoodlever._ticket_cache import TicketCache
from dogwoodlever._unreachable_workers import UnreachableWorkers
from dogwoodlever._worker_membership import WorkerMembership
from dogwoodlever._workspace_report import WorkspaceReport
from dogwoodlever._workspace_shares import WorkspaceRates, WorkspaceShares
from dogwoodlever._workspace_usage import WorkspaceUsage
from dogwoodlever.platform import WORKERS_PREFIX
from dogwoodlever.platform_errors import PlatformError, StoredRecordError

LOAD_RETRY_S = 0.2
# Records that a leader loads besides jobs and their progress.
LOADED_KEYS = (
    WORKER_MEMBERSHIP_KEY,
    UNREACHABLE_WORKERS_KEY,
    INTERFERENCE_KEY,
    HANDOVER_KEY,
)
# Interval at which the time for which the stored state loads is counted.
LOAD_CHECK_INTERVAL_S = 0.1
# A job that waits for a contact with the store for longer than this is logged.
LONG_HOLD_S = 0.1
# Every heartbeat changes a worker's entry, so changes are batched for this long. Far
# below the 2 s within which a draining worker must be noticed.
WORKERS_WATCH_INTERVAL_S = 0.4
# Batches events that arrive together into one planning round.
PLAN_DELAY_S = 0.004
# Planning uses at most 1 / PLAN_TIME_DIVISOR of the process's time.
PLAN_TIME_DIVISOR = 4
# Starts ordered in one round before the reactor handles other events; a gang is ordered
# whole.
STARTS_PER_ROUND = 64
# Interval of the checks for due occurrences and slow runs.
TICK_INTERVAL_S = 0.1
# A process that checks this late was paused. Far below the time after which a successor
# may be elected, above the usual delays of a busy leader.
PAUSE_MIN_S = 0.5
# Interval of the searches for throttled runs to move, each of which reads all runs; a
# run moves after 0.35 s at a low speed.
MOVE_INTERVAL_S = 0.25
# Interval of the reports of the step that has waited longest, and the wait from which
# it is logged; the platform expects free room to be used within 3 s.
WAIT_REPORT_INTERVAL_S = 1.0
LONG_WAIT_S = 3.0
# Quarantine of a worker whose runs fail or stall. The platform expects all capacity
# to be in use 7 s after a disturbance, and probing a worker takes 1 s.
QUARANTINE_S = 4.0
# Phases in which a job ends by the ends of its tasks.
TASKS_ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED})
# A successor resumes from interference estimates that are at most this old. A leader
# stores them earlier for the first time, and when it stops, as it may not last as long.
INTERFERENCE_STORE_INTERVAL_S = 4.0
INTERFERENCE_FIRST_STORE_S = 1.0
# Causes of failed checks that are logged.
CAUSES_MAX = 100


class FleetLeader:
    """Leads for one term, or for several terms that follow without a gap.

    Parameters
    ----------
    store, worker_client : ObservedStore, FleetWorkerClient
        Store and worker API of the platform.
    advice : AdviceService or None
        Advice service, if there is one.
    clock : IReactorTime
        Reactor clock.
    unix_s : callable
        Returns the Unix time in seconds.
    desired_state : DesiredState
        Configuration and evacuated data centres.
    term, fencing_token : int
        Number of the term and its fencing token.
    on_fenced : callable
        Called with the id of a worker that has seen a later fencing token.
    unstored_progress : dict of str to bytes
        Progress by job id that a former leader could not store.
    on_unstored : callable
        Called with progress that this leader cannot store.
    metrics : FleetMetrics
        Counters and histograms.
    platform_limits : PlatformLimits
        Limits that the platform sets.
    confirm_soon : callable
        Requests a contact with the store, to learn whether there is a successor.
    get_contact_s : callable
        Returns the time of the last contact with the store that showed no successor.
    get_leases_end_s : callable
        Returns the time beyond which no worker's lease may be extended.
    load_limit_s : float
        Time in which this daemon must load the stored state, not counting an outage of
        the store.
    on_load_overdue : callable
        Called if the state has not been loaded within that time.
    unreachable_since_term : int
        First of the terms in a row, up to this one, whose leaders store which workers
        they cannot reach.
    get_unreachable_seen_s : callable
        Called with a revision of that record; returns when this daemon saw it.
    knowledge : ConfigurationKnowledge
        Version in force at this daemon.
    """

    def __init__(
        self,
        store: ObservedStore,
        worker_client: FleetWorkerClient,
        advice: AdviceService | None,
        clock,
        unix_s: Callable[[], float],
        desired_state: DesiredState,
        term: int,
        fencing_token: int,
        on_fenced: Callable[[str], None],
        unstored_progress: dict[str, bytes],
        on_unstored: Callable[[dict[str, bytes]], None],
        metrics: FleetMetrics,
        platform_limits: PlatformLimits,
        confirm_soon: Callable[[], None],
        get_contact_s: Callable[[], float],
        get_leases_end_s: Callable[[], float],
        load_limit_s: float,
        on_load_overdue: Callable[[], None],
        unreachable_since_term: int,
        get_unreachable_seen_s: Callable[[int], float],
        knowledge: ConfigurationKnowledge,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._clock = clock
        self._unix_s = unix_s
        self._desired_state = desired_state
        self._knowledge = knowledge
        self.term = term
        self.fencing_token = fencing_token
        self._term_revision = fencing_token
        self.registry = RunRegistry(term)
        faults = FaultAttribution(QUARANTINE_S, QUARANTINE_S)
        self._handover = LeaderHandover(store, clock, faults)
        crashes = CrashAttribution(self._is_stored)
        self._interference = InterferenceModel()
        self._interference_due_s = clock.seconds() + INTERFERENCE_FIRST_STORE_S
        self._tickets = TicketCache(advice, clock, self.plan_soon)
        self._usage = WorkspaceUsage(
            self.registry, lambda: self._desired_state.configuration
        )
        self._rates = WorkspaceRates(platform_limits.workspace_rate_window_s)
        self._workspace_report = WorkspaceReport(metrics, self._usage)
        self._planner = FleetPlanner(
            faults,
            crashes,
            self._interference,
            self._tickets,
            WorkspaceShares(self._usage),
        )
        self._membership = WorkerMembership(
            store,
            clock,
            self._get_term_revision,
            late_calls_kept_s(
                platform_limits.run_lease_max_s, platform_limits.stop_timeout_s
            ),
            lambda: self.workers.on_record_stored(),
        )
        self._unreachable = UnreachableWorkers(
            store,
            clock,
            term,
            self._get_term_revision,
            get_unreachable_seen_s,
            lambda: self.workers.on_record_stored(),
        )
        self._unreachable_since_term = unreachable_since_term
        self.workers = FleetWorkers(
            worker_client,
            clock,
            self._get_fencing_token,
            desired_state,
            self.registry,
            self._membership,
            self._unreachable,
            RunThrottler(self._interference, platform_limits.target_violation_max_s),
            faults,
            crashes,
            self._usage,
            metrics,
            self.plan_soon,
            self._on_runs_ended,
            on_fenced,
            self._tickets.reject,
            platform_limits.run_lease_max_s,
            platform_limits.stop_timeout_s,
            get_contact_s,
            get_leases_end_s,
            self._may_start,
            confirm_soon,
        )
        self.workers.runs.set_stalled_source(self._handover.stalled_ms)
        self._backlog = AcknowledgementBacklog(
            metrics,
            clock,
            self.registry,
            store.down_for_s,
            self.workers.evidence_of_waits,
            platform_limits.acknowledgement_s,
        )
        self._progress_writer = ProgressWriter(
            store,
            clock,
            self.registry,
            self._get_term_revision,
            self.workers.last_end_numbers,
            self.workers.acknowledge_ends,
            on_unstored,
            platform_limits.record_bytes_max,
            self._backlog,
        )
        self._retention = Retention(
            store,
            clock,
            self.registry,
            platform_limits.job_state_kept_s,
            self._get_term_revision,
            self._drop_removed_jobs,
            self._is_stored,
        )
        self._pending_writer = PendingJobsWriter(
            store,
            clock,
            self.registry,
            self._get_term_revision,
            self._get_inbox_revision,
        )
        self._submissions = SubmissionRestorer(
            store, clock, self.registry, self._get_term_revision
        )
        self._watchers: list[PrefixWatcher] = []
        self._inbox_watcher: PrefixWatcher | None = None
        self._progress_listing = StoreListing(store, PROGRESS_PREFIX)
        self._load_left_s = load_limit_s
        # Whether all stored jobs have been read, and only have to be taken in.
        self._is_inbox_read = False
        self._on_load_overdue = on_load_overdue
        self._load_check_call = None
        self._cancelled: set[str] = set()
        self._progress: dict[str, bytes] = {}
        self._unstored_progress = unstored_progress
        self._confirm_soon = confirm_soon
        self._get_contact_s = get_contact_s
        # Arrival time and record of jobs that a successor may have accepted.
        self._unconfirmed_jobs: deque[tuple[float, Record]] = deque()
        self._moved_s = float("-inf")
        self._wait_reported_s = float("-inf")
        self._plan_delay_s = PLAN_DELAY_S
        self._plan_call = None
        self._failed_checks: set[str] = set()
        self._tick_call = None
        self._started_s = clock.seconds()
        self._checked_s = clock.seconds()
        # When this process last resumed after a pause.
        self._resumed_s = float("-inf")
        self.is_former_leader_stopped = False
        self.is_loaded = False
        self.is_closed = False

    # Terms

    def open(self) -> None:
        """Load the stored state, then start to lead."""
        self._load()
        self._check_load()

    def close(self) -> None:
        """Stop leading."""
        if self.is_loaded and not self.is_closed:
            self._store_interference()
            self._handover.store(
                self.term, self._term_revision, self.workers.runs.stallable_runs()
            )
        self.is_closed = True
        self._progress_listing.close()
        self._progress_writer.close()
        for watcher in self._watchers:
            watcher.close()
        self._membership.close()
        self._unreachable.close()
        self._submissions.close()
        self._tickets.close()
        self.workers.close()
        self._workspace_report.close()
        self._backlog.close()
        for call in (self._plan_call, self._tick_call, self._load_check_call):
            if call is not None and call.active():
                call.cancel()

    def continue_term(self, term: int, fencing_token: int) -> None:
        """Continue under a new fencing token, as no other daemon led in between."""
        self.term = term
        self.fencing_token = fencing_token
        self._term_revision = fencing_token
        self.accept_confirmed_jobs()
        if self._unconfirmed_jobs:
            self._confirm_soon()

    def on_former_leader_stopped(
        self, elected_s: float, last_term: int, former_leases_left_s: float
    ) -> None:
        """Record that the former leader, elected by `elected_s`, has stopped.

        Parameters
        ----------
        elected_s : float
            Time by which the former leader was elected.
        last_term : int
            Last term that its daemon led, as far as that one knows.
        former_leases_left_s : float
            Time until the leases from leaders before `last_term` have expired.
        """
        self.is_former_leader_stopped = True
        # An earlier term says nothing of the leaders after it.
        is_known = 0 < last_term == self.term - 1
        self.workers.on_former_leader_stopped(
            elected_s, former_leases_left_s if is_known else math.inf
        )

    def _get_term_revision(self) -> int:
        return self._term_revision

    def _get_fencing_token(self) -> int:
        return self.fencing_token

    @inlineCallbacks
    def _load(self):
        try:
            progress = yield self._progress_listing.read()
            records = yield gatherResults(
                [self._store.read(key) for key in LOADED_KEYS], consumeErrors=True
            )
        except (PlatformError, FirstError) as error:
            if isinstance(error, FirstError):
                error.subFailure.trap(PlatformError)
                error = error.subFailure.value
            log_event("leader.load-failed", why=str(error)[:160])
            if not self.is_closed:
                self._clock.callLater(LOAD_RETRY_S, self._load)
            return
        if self.is_closed:
            return
        membership, unreachable, interference, handover = records
        for record in progress.records:
            job_id = record.key[len(PROGRESS_PREFIX) :]
            self._progress[job_id] = record.value
            self._progress_writer.set_revision(job_id, record.revision)
        self.workers.unpolled_workers = self._membership.load(
            membership, self.term == 1
        )
        self._unreachable.load(unreachable, self._unreachable_since_term)
        if interference is not None and interference.value is not None:
            self._restore_interference(interference.value)
        self._handover.restore(handover, self.term)
        self._inbox_watcher = self._follow(
            INBOX_PREFIX, self._apply_inbox_record, self._on_inbox_listed
        )

    def _check_load(self) -> None:
        """Report a load that takes too long, so that another daemon can lead.

        Jobs that have been read would take any daemon as long to take in.
        """
        if self.is_loaded or self.is_closed:
            return
        if self._load_left_s <= 0:
            self._on_load_overdue()
            return
        if self._store.down_for_s() is None and not self._is_inbox_read:
            self._load_left_s -= LOAD_CHECK_INTERVAL_S
        self._load_check_call = self._clock.callLater(
            LOAD_CHECK_INTERVAL_S, self._check_load
        )

    def _restore_interference(self, value: bytes) -> None:
        """Restore the stored models; those that cannot be used are learned anew."""
        try:
            unusable = self._interference.restore(decode_interference(value).models)
        except StoredRecordError as error:
            log_event("interference.unreadable", why=str(error)[:160])
            return
        if unusable:
            log_event("interference.unusable", images=",".join(unusable)[:160])

    def _follow(self, prefix, on_change, on_listed, pause_s=0.0) -> PrefixWatcher:
        watcher = PrefixWatcher(
            self._store, self._clock, prefix, on_change, on_listed, pause_s
        )
        self._watchers.append(watcher)
        watcher.open()
        return watcher

    def _on_inbox_listed(self) -> None:
        if self.is_loaded:
            return
        self.is_loaded = True
        self._checked_s = self._clock.seconds()
        self._progress.clear()
        self._rates.decide_inherited(
            self.registry.jobs.values(),
            self._desired_state.configuration,
            self._unix_s() * 1000,
        )
        self._follow(
            WORKERS_PREFIX,
            self.workers.apply_entry,
            self._on_workers_listed,
            WORKERS_WATCH_INTERVAL_S,
        )
        self._tick()
        log_event(
            "leader.loaded",
            term=self.term,
            jobs=len(self.registry.jobs),
            active=len(self.registry.active),
            took_s=self._clock.seconds() - self._started_s,
        )

    def _on_workers_listed(self) -> None:
        self.workers.probe_unlisted_workers()
        self.plan_soon()

    # Jobs

    def _apply_inbox_record(self, record: Record) -> None:
        self._is_inbox_read = True
        if record.value is None:
            if record.key.startswith(JOBS_PREFIX):
                self._submissions.restore(record.key[len(JOBS_PREFIX) :])
            return
        if record.key.startswith(JOBS_PREFIX):
            if record.key[len(JOBS_PREFIX) :] in self.registry.jobs:
                # The record of a job changes when it ends.
                return
            if record.revision < self.fencing_token:
                # A job from before the election must be known before its ends are read.
                self._accept_job(record)
                return
            self._unconfirmed_jobs.append((self._clock.seconds(), record))
            self._confirm_soon()
        elif record.key.startswith(CANCELS_PREFIX):
            self._accept_cancel(record.key[len(CANCELS_PREFIX) :])

    @property
    def inbox_age_s(self) -> float:
        """How long ago the store last told of submissions and cancellations."""
        if self._inbox_watcher is None:
            return math.inf
        return self._clock.seconds() - self._inbox_watcher.responded_s

    def _get_inbox_revision(self) -> int:
        """Return the store's revision up to which the registry has the inbox, or 0."""
        revision = self._inbox_watcher.revision if self._inbox_watcher else 0
        # A listing has them in the order of their ids.
        unconfirmed = [record.revision - 1 for _, record in self._unconfirmed_jobs]
        return min([revision, *unconfirmed])

    def count_pending(self) -> Counter[str]:
        """Return the number of jobs by queue that have started no task yet.

        A job that waits until this leader knows that there is no successor is accepted
        as any other.
        """
        counts = self.registry.count_pending()
        for _, record in self._unconfirmed_jobs:
            with suppress(StoredRecordError):
                job = decode_submission(record.value)
                is_new = job.job_id not in self.registry.jobs
                if is_new and job.job_id not in self._cancelled:
                    counts[job.queue] += 1
        return counts

    def accept_confirmed_jobs(self) -> None:
        """Accept the jobs that arrived before the last contact with the store.

        The contact showed no successor. A partitioned leader may see its successor's
        jobs before it learns of the successor, and may reach workers on which the
        successor's fencing token is not yet known.
        """
        contact_s = self._get_contact_s()
        while self._unconfirmed_jobs and self._unconfirmed_jobs[0][0] <= contact_s:
            arrival_s, record = self._unconfirmed_jobs.popleft()
            held_s = self._clock.seconds() - arrival_s
            if held_s > LONG_HOLD_S:
                log_event("job.held", key=record.key, held_s=held_s)
            try:
                self._accept_job(record)
            except Exception as error:
                # One unreadable record must not hold the others.
                log_event("record.failed", key=record.key, why=repr(error)[:200])

    def _accept_job(self, record: Record) -> None:
        job = decode_submission(record.value)
        if job.job_id in self.registry.jobs:
            return
        now_s = self._clock.seconds()
        now_ms = self._unix_s() * 1000
        configuration = self._desired_state.configuration
        queue = job.accepted_queue
        self._knowledge.on_version_seen(job.configuration_version, "job", True)
        if queue is None and configuration is not None:
            queue = configuration.queues.get(job.queue)
        if queue is None:
            queue = Queue(job.queue, "", "", "")
            log_event(
                "job.queue-unknown",
                job=job.job_id,
                queue=job.queue,
                accepted_by=job.configuration_version,
                version=configuration.version if configuration else None,
            )
        is_inherited = record.revision < self.fencing_token
        age_s = max(0.0, (now_ms - job.submitted_ms) / 1000) if is_inherited else 0.0
        progress = self._merged_progress(job.job_id)
        state = self.registry.add_job(
            job, queue, record.revision, now_s - age_s, progress
        )
        state.is_inherited = is_inherited
        if not self._knowledge.may_act_by(job.configuration_version, now_s):
            self._hold(state, now_s)
        if configuration is not None:
            state.service = configuration.find_service(job, queue)
        if self.is_loaded:
            # The others are decided on once all are known, in their order.
            self._rates.decide(state, configuration, now_ms)
        if job.job_id in self._unstored_progress:
            self.registry.dirty.add(job.job_id)
            self._progress_writer.schedule_flush()
        state.open_due(now_ms)
        if is_inherited:
            self.workers.runs.add_inherited_job(state)
        if job.job_id in self._cancelled:
            self._cancel(state)
        self.plan_soon()

    def _hold(self, state: JobState, now_s: float) -> None:
        """Start nothing of a job before the version by which it was accepted."""
        if state.has_ended:
            return
        self.registry.hold_job(state.job.job_id, now_s)
        log_event(
            "job.awaits-version",
            job=state.job.job_id,
            accepted_by=state.job.configuration_version,
            version=self._knowledge.version,
        )

    def _merged_progress(self, job_id: str) -> JobProgress | None:
        """Return stored progress merged with what a former leader could not store."""
        stored = self._progress.get(job_id)
        progress = None if stored is None else decode_progress(stored)
        unstored = self._unstored_progress.get(job_id)
        if unstored is None:
            return progress
        try:
            other = decode_progress(unstored)
            return other if progress is None else merge_progress(progress, other)
        except (StoredRecordError, ValueError) as error:
            # ValueError: the two do not belong to the same steps.
            log_event("progress.unusable", job=job_id, why=str(error)[:160])
            return progress

    def _accept_cancel(self, job_id: str) -> None:
        self._cancelled.add(job_id)
        state = self.registry.jobs.get(job_id)
        if state is not None:
            self._cancel(state)

    def _cancel(self, state: JobState) -> None:
        if state.has_ended:
            return
        runs = self.registry.end_job(state, JobPhase.CANCELLED)
        log_event("job.cancelled", job=state.job.job_id, runs=len(runs))
        self.workers.runs.stop_all(runs)
        self._progress_writer.schedule_flush()

    def _drop_removed_jobs(self, job_ids: list[str]) -> None:
        """Drop the state of removed jobs that is kept outside the registry."""
        self._cancelled.difference_update(job_ids)
        for job_id in job_ids:
            self._progress_writer.drop_job(job_id)
            self._backlog.drop_job(job_id)
            self._interference.drop_job(job_id)
            self._tickets.drop_job(job_id)
            self._usage.drop_job(job_id)
            self._unstored_progress.pop(job_id, None)

    def job_phase(self, job_id: str) -> JobPhase | None:
        """Return a job's phase, or None if the job is unknown.

        A job whose end is not stored yet is running: a successor may not learn of the
        end, and then starts the tasks anew. A cancellation is stored before it is
        accepted.
        """
        state = self.registry.jobs.get(job_id)
        if state is None:
            return None
        if state.phase in TASKS_ENDED_PHASES and not self._is_stored(job_id):
            return JobPhase.RUNNING
        return state.phase

    def _is_stored(self, job_id: str) -> bool:
        return self._progress_writer.is_stored(job_id)

    def _on_runs_ended(self) -> None:
        self._progress_writer.schedule_flush()

    def _may_start(self) -> bool:
        """Return whether no successor was elected during a pause of this process.

        After a pause, timers may run before the answers that tell of a successor are
        read, and a worker that has returned does not know its fencing token.
        """
        self._check_for_pause()
        return self._get_contact_s() >= self._resumed_s

    def _check_for_pause(self) -> None:
        """Request a contact with the store if this process has just resumed."""
        now_s = self._clock.seconds()
        pause_s, self._checked_s = now_s - self._checked_s, now_s
        if pause_s > PAUSE_MIN_S:
            self._resumed_s = now_s
            log_event("leader.resumed", pause_s=pause_s)
            self._confirm_soon()

    # Planning

    def on_desired_state_changed(self) -> None:
        """Follow the configuration in force and the data centres out of service."""
        configuration = self._desired_state.configuration
        if configuration is not None:
            self.workers.runs.stop_all(self.registry.route_jobs(configuration))
        self.registry.release_jobs(self._knowledge.may_act_by)
        self.plan_soon()

    def plan_soon(self) -> None:
        """Schedule a planning round after the events that arrive together."""
        if self.is_closed or not self.is_loaded:
            return
        if self._plan_call is None or not self._plan_call.active():
            self._plan_call = self._clock.callLater(self._plan_delay_s, self._plan)

    def _tick(self) -> None:
        if self.is_closed:
            return
        self._tick_call = self._clock.callLater(TICK_INTERVAL_S, self._tick)
        self._check_for_pause()
        for check in (
            self.accept_confirmed_jobs,
            self._open_due_jobs,
            self.workers.expire_unpolled_workers,
            self._name_unreachable_workers,
            self.workers.release_empty_workers,
            self.workers.expire_late_starts,
            self.workers.settle_incarnations,
            self._give_up_crashing,
            self._store_progress,
            self._move_throttled,
            self._store_interference_if_due,
            self._retention.sweep,
            self._pending_writer.update,
            self._report_longest_wait,
            self._start_speculative_copies,
            self._update_reports,
        ):
            try:
                check()
            except Exception as error:
                # What one of them finds must not hold back the others.
                self._log_failed_check(check.__name__, error)
        self.plan_soon()

    def _log_failed_check(self, name: str, error: Exception) -> None:
        """Log each cause of a failed check once."""
        cause = f"{name}: {error!r}"[:200]
        if cause not in self._failed_checks and len(self._failed_checks) < CAUSES_MAX:
            self._failed_checks.add(cause)
            log_event("leader.check-failed", why=cause)

    def _open_due_jobs(self) -> None:
        self.registry.open_due(self._unix_s() * 1000)
        self.registry.release_jobs(self._knowledge.may_act_by)

    def _name_unreachable_workers(self) -> None:
        # A write without an answer withholds leases until the store answers again.
        if self._store.down_for_s() is None:
            self.workers.name_unreachable_workers()

    def _give_up_crashing(self) -> None:
        self.workers.runs.give_up_crashing(self._clock.seconds())

    def _store_progress(self) -> None:
        if self.registry.dirty:
            self._progress_writer.schedule_flush()

    def _store_interference_if_due(self) -> None:
        if self._clock.seconds() >= self._interference_due_s:
            self._store_interference()

    def _update_reports(self) -> None:
        self._workspace_report.update(
            self._desired_state.configuration,
            self.workers.capacities.values(),
            self._clock.seconds(),
        )
        self._backlog.update()

    def _plan(self) -> None:
        if self._desired_state.configuration is None:
            return
        now_s = self._clock.seconds()
        self.workers.refresh_usage()
        placed = 0
        placements = self._planner.plan(
            self.registry,
            self.workers.schedulable_capacities(),
            self._desired_state.configuration,
            now_s,
            self._unix_s() * 1000,
            bool(self.workers.unpolled_workers),
        )
        for placement in placements:
            self.workers.runs.start(placement, now_s)
            placed += 1
            # A gang that was cut here would wait for its other members in vain.
            if placed >= STARTS_PER_ROUND and not placement.gang_rest:
                break
        self._workspace_report.log_waits(now_s)
        took_s = self._clock.seconds() - now_s
        self._plan_delay_s = max(PLAN_DELAY_S, took_s * (PLAN_TIME_DIVISOR - 1))
        if placed >= STARTS_PER_ROUND:
            self.plan_soon()

    def _report_longest_wait(self) -> None:
        """Report the step that has waited longest for a start, and the reason."""
        now_s = self._clock.seconds()
        if now_s - self._wait_reported_s < WAIT_REPORT_INTERVAL_S:
            return
        self._wait_reported_s = now_s
        found = self._planner.explain_longest_wait(
            self.registry,
            self.workers.schedulable_capacities(),
            now_s,
            bool(self.workers.unpolled_workers),
        )
        self._metrics.longest_wait_s.set(found.wait_s if found else 0.0)
        if found is None or found.wait_s < LONG_WAIT_S:
            return
        step = found.step
        log_event(
            "step.waits",
            job=step.job.job.job_id,
            step=step.number,
            tasks=len(step.ready),
            wait_s=found.wait_s,
            cores_milli=step.spec.cores_milli,
            memory_mb=step.spec.memory_mb,
            largest_free_milli=found.largest_free_milli,
            unconfirmed_milli=found.unconfirmed_milli,
            workers=",".join(
                f"{obstacle}:{count}" for obstacle, count in found.obstacles.items()
            ),
        )

    def _start_speculative_copies(self) -> None:
        now_s = self._clock.seconds()
        if self.workers.unpolled_workers:
            return
        self.workers.refresh_usage()
        capacities = self.workers.schedulable_capacities()
        for placement in self._planner.speculative_copies(
            self.registry, capacities, now_s
        ):
            self.workers.runs.start(placement, now_s)

    def _move_throttled(self) -> None:
        """Stop throttled runs that another worker can continue at once."""
        now_s = self._clock.seconds()
        if now_s - self._moved_s < MOVE_INTERVAL_S:
            return
        self._moved_s = now_s
        throttled_tasks = self.workers.runs.throttled_tasks(now_s)
        if not throttled_tasks:
            return
        self.workers.refresh_usage()
        capacities = self.workers.schedulable_capacities()
        for task in self._planner.tasks_to_move(throttled_tasks, capacities, now_s):
            for run in list(task.runs.values()):
                self.workers.runs.move(run)

    @inlineCallbacks
    def _store_interference(self):
        """Store the interference model, unless another term has begun.

        A lost or late write costs a successor a few seconds of learning, so it is
        not retried.
        """
        models = self._interference.states()
        if not models:
            return
        self._interference_due_s = self._clock.seconds() + INTERFERENCE_STORE_INTERVAL_S
        put = Put(INTERFERENCE_KEY, encode(InterferenceRecord(models)))
        try:
            yield self._store.commit({TERM_KEY: self._term_revision}, (put,))
        except PlatformError as error:
            log_event("interference.write-failed", why=str(error)[:160])
