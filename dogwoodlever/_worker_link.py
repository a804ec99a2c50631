"""Conversation of the leader with one worker."""

from abc import ABC, abstractmethod

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import FleetWorkerClient, RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import PollResult, RunId, StartOrder, WorkerEntry
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import (
    OrderRefusedError,
    PlatformError,
    WorkerUnreachableError,
    WrongIncarnationError,
)

# Longer than a change of leader or a short pause of it, so that running work
# survives both; a worker that is lost is waited for this long.
RUN_LEASE_TARGET_S = 5.0
# How long an answer to a look may wait for an end; far below the lease.
POLL_WAIT_MS = 1_500
POLL_RETRY_S = 0.25
# One look may just have lost its answer, or this process was busy.
POLL_FAILURES_UNREACHABLE = 2
# A worker answers at once while it lists ends that were not acknowledged, so
# the next look waits until they are stored, or for this long.
ACKNOWLEDGE_WAIT_S = 0.25
ORDER_RETRY_S = 0.1
# A worker's clock may be this much slow.
CLOCK_SLOWNESS = 0.02
# Covers the rounding of a worker's clock and a scheduler's own.
CLOCK_MARGIN_MS = 50
# Covers a worker's timer that fires late.
LEASE_EXPIRY_MARGIN_S = 0.25
# After a refused lease, time for the clock of the worker to be read again.
EXPIRED_STARTS_MAX = 3
# Refusals after which a start that is under way could still begin.
STOP_RETRY_REASONS = frozenset({RefusalReason.FENCED, RefusalReason.UNHEALTHY})


class LinkListener(ABC):
    """Takes what a link learns of its worker."""

    @abstractmethod
    def polled(self, link: "WorkerLink", result: PollResult, sent_s: float) -> None:
        """Take a look that was sent at `sent_s`."""

    @abstractmethod
    def started(self, link: "WorkerLink", run: Run) -> None:
        """Take the worker's word that a run was started."""

    @abstractmethod
    def refused(self, link: "WorkerLink", run: Run, reason: RefusalReason) -> None:
        """Take the worker's word that a run was not and will not be started."""

    @abstractmethod
    def lease_expired(self, link: "WorkerLink") -> None:
        """Learn that all that ran at the worker is over by its own clock."""

    @abstractmethod
    def fenced(self, link: "WorkerLink") -> None:
        """Learn that the worker obeys a later leader."""

    @abstractmethod
    def replaced(self, link: "WorkerLink") -> None:
        """Learn that another life of the worker answers."""


class WorkerLink:
    """Looks at a worker without pause and repeats orders until they are answered.

    Parameters
    ----------
    entry : WorkerEntry
        The worker.
    worker_client : FleetWorkerClient
        Calls to workers.
    clock : IReactorTime
        Runtime's clock.
    fencing_token : callable
        Returns the leader's fencing token.
    listener : LinkListener
        Takes what is learned.
    inherited_expiry_s : float
        When the leases that an earlier leader gave are surely over.
    unanswered_starts : dict of RunId to Run
        Runs whose start may still be carried out late, from an earlier life.
    lease_s : float
        Length of the leases that it grants.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        worker_client: FleetWorkerClient,
        clock,
        fencing_token,
        listener: LinkListener,
        inherited_expiry_s: float,
        unanswered_starts: dict[RunId, Run],
        lease_s: float,
    ) -> None:
        self.entry = entry
        self._worker_client = worker_client
        self._clock = clock
        self._fencing_token = fencing_token
        self._listener = listener
        self._lease_s = lease_s
        self._clock_ms = 0
        self._clock_at_s = 0.0
        self._granted_ms = 0
        self.lease_expiry_s = inherited_expiry_s
        self.has_lease_expired = False
        self._poll_wait_ms = POLL_WAIT_MS
        self._failed_polls = 0
        # Runs whose order to start has no answer yet and is not settled otherwise.
        self.unanswered_starts = unanswered_starts
        # No lease is granted until these can not begin any more: a worker takes a
        # late order whose own lease is over if it holds another one by then.
        self._lease_blockers = set(unanswered_starts)
        self._is_stopping_unanswered = False
        self.is_closed = False
        self.is_reachable = True
        # Ends up to this number are stored and may be forgotten by the worker.
        self._acknowledged = 0
        # Highest number of an end that was taken.
        self.last_end_number = 0
        # Time of the last answer to an order for a run that is still counted.
        self.last_answer_s: dict[RunId, float] = {}
        self._retry = None
        self._expiry_call = None

    def open(self) -> None:
        """Start to look."""
        self._poll()

    def close(self) -> None:
        """Stop looking and repeating orders."""
        self.is_closed = True
        for call in (self._retry, self._expiry_call):
            if call is not None and call.active():
                call.cancel()

    def limit_inherited_expiry(self, lease_expiry_s: float) -> None:
        """Learn that leases of a former leader are over sooner."""
        if not self._granted_ms:
            self.lease_expiry_s = min(self.lease_expiry_s, lease_expiry_s)

    def set_poll_wait(self, wait_ms: int) -> None:
        """Set how long the answers to looks may wait for an end."""
        self._poll_wait_ms = wait_ms

    def acknowledge(self, number: int) -> None:
        """Let the worker forget the ends up to `number`."""
        if number <= self._acknowledged:
            return
        self._acknowledged = number
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
            self._schedule_poll(0.0)

    def _until_ms(self) -> int:
        """Return the end of a lease that is granted now, on the worker's clock.

        A call without an answer may still renew the lease, so nothing longer is
        granted until the worker answers again; otherwise it would never be over.
        """
        if not self._clock_ms:
            return 0
        if self._failed_polls or self._lease_blockers:
            return self._granted_ms
        elapsed_s = self._clock.seconds() - self._clock_at_s
        until_ms = self._clock_ms + int((elapsed_s + self._lease_s) * 1000)
        self._granted_ms = max(self._granted_ms, until_ms)
        return until_ms

    def _clock_lower_bound_ms(self) -> int:
        """Return what the worker's clock shows by now, if it is the same life."""
        if not self._clock_ms:
            return 0
        elapsed_s = self._clock.seconds() - self._clock_at_s
        elapsed_ms = int(elapsed_s * 1000 * (1 - CLOCK_SLOWNESS))
        return self._clock_ms + elapsed_ms - CLOCK_MARGIN_MS

    def _update_clock(self, clock_ms: int) -> None:
        self._clock_ms = clock_ms
        self._clock_at_s = self._clock.seconds()
        self.has_lease_expired = False
        self._update_lease_expiry()

    def _update_lease_expiry(self) -> None:
        if self._granted_ms:
            left_s = (self._granted_ms - self._clock_ms) / 1000
            left_s = left_s / (1 - CLOCK_SLOWNESS) + LEASE_EXPIRY_MARGIN_S
            self.lease_expiry_s = self._clock_at_s + left_s

    def _watch_lease_expiry(self) -> None:
        """Tell the listener as soon as the lease of an unreachable worker is over."""
        if self.has_lease_expired or self.is_closed or not self._failed_polls:
            return
        self._update_lease_expiry()
        left_s = self.lease_expiry_s - self._clock.seconds()
        if left_s <= 0:
            self.has_lease_expired = True
            self._lease_blockers = set(self.unanswered_starts)
            self._listener.lease_expired(self)
            return
        if self._expiry_call is None or not self._expiry_call.active():
            self._expiry_call = self._clock.callLater(left_s, self._watch_lease_expiry)

    @inlineCallbacks
    def _poll(self):
        if self.is_closed:
            return
        sent_s = self._clock.seconds()
        fencing_token = self._fencing_token()
        wait_ms = self._poll_wait_ms if self._clock_ms and not self._failed_polls else 0
        try:
            result = yield self._worker_client.poll(
                self.entry,
                fencing_token,
                self._acknowledged,
                self._until_ms(),
                wait_ms,
            )
        except PlatformError as error:
            if not self.is_closed:
                self._poll_failed(error, fencing_token)
            return
        if self.is_closed:
            return
        if (
            self.entry.started_at_ms
            and result.started_at_ms
            and result.started_at_ms != self.entry.started_at_ms
        ):
            self._listener.replaced(self)
            return
        self._failed_polls = 0
        self._update_clock(result.clock_ms)
        if self._lease_blockers:
            self._stop_unanswered()
        elif not self.is_reachable:
            self.is_reachable = True
            log_event("worker.regained", worker=self.entry.worker_id)
        self._listener.polled(self, result, sent_s)
        waits = self.last_end_number > self._acknowledged
        self._schedule_poll(ACKNOWLEDGE_WAIT_S if waits else 0.0)

    def _poll_failed(self, error: PlatformError, fencing_token: int) -> None:
        if isinstance(error, OrderRefusedError):
            if error.reason is RefusalReason.FENCED:
                self._report_fenced(fencing_token)
        elif isinstance(error, WrongIncarnationError):
            self._listener.replaced(self)
            return
        self._failed_polls += 1
        if self.is_reachable and self._failed_polls >= POLL_FAILURES_UNREACHABLE:
            self.is_reachable = False
            log_event(
                "worker.lost",
                worker=self.entry.worker_id,
                waits_s=max(0.0, self.lease_expiry_s - self._clock.seconds()),
                why=str(error)[:160],
            )
        self._watch_lease_expiry()
        self._schedule_poll(POLL_RETRY_S)

    def _schedule_poll(self, delay_s: float) -> None:
        if not self.is_closed:
            self._retry = self._clock.callLater(delay_s, self._poll)

    def _pause(self, delay_s: float):
        return deferLater(self._clock, delay_s)

    @inlineCallbacks
    def start(self, run: Run, order: StartOrder):
        """Order a start and repeat it until it is answered.

        An order without an answer may be carried out later, so the run counts
        until the worker answers, or until its lease is surely over.
        """
        uncertain = False
        expired = 0
        self.unanswered_starts[run.run_id] = run
        while self._may_retry() and run.phase is not RunPhase.STOPPING:
            refusal = None
            fencing_token = self._fencing_token()
            clock_min_ms = self._clock_lower_bound_ms()
            try:
                clock_ms = yield self._worker_client.start(
                    self.entry, order, self._until_ms(), fencing_token
                )
            except WorkerUnreachableError:
                uncertain = True
                yield self._pause(ORDER_RETRY_S)
                continue
            except WrongIncarnationError:
                # The look tells; the life that was addressed runs nothing now.
                if not uncertain:
                    self.unanswered_starts.pop(run.run_id, None)
                return
            except OrderRefusedError as error:
                refusal = error.reason
            if refusal is None and clock_ms < clock_min_ms:
                # The next life took the order; its own link rules the run out.
                return
            if refusal is None or (uncertain and refusal is RefusalReason.SUPERSEDED):
                self._confirm_start(run)
                return
            expired += refusal is RefusalReason.EXPIRED
            if refusal is RefusalReason.FENCED:
                self._report_fenced(fencing_token)
            if self._is_transient(refusal, expired):
                yield self._pause(ORDER_RETRY_S)
                continue
            if uncertain:
                # An earlier copy of the order may still arrive.
                yield self.stop(run)
            else:
                self._refuse(run, refusal)
            return

    def _refuse(self, run: Run, refusal: RefusalReason) -> None:
        """Take a refusal of a start of which no other copy is under way."""
        self.unanswered_starts.pop(run.run_id, None)
        if not self.is_closed:
            self._listener.refused(self, run, refusal)

    def _may_retry(self) -> bool:
        """Tell whether an order without an answer is worth repeating."""
        return not self.is_closed and not self.has_lease_expired

    def _report_fenced(self, fencing_token: int) -> None:
        """Tell of a later leader, unless it is this one under a new fence."""
        if fencing_token == self._fencing_token():
            self._listener.fenced(self)

    def _is_transient(self, refusal: RefusalReason, expired: int) -> bool:
        """Tell whether a refused start may be accepted a moment later."""
        if refusal is RefusalReason.FENCED:
            return True
        return refusal is RefusalReason.EXPIRED and expired < EXPIRED_STARTS_MAX

    @inlineCallbacks
    def _stop_unanswered(self):
        """Stop runs that may still begin, before the worker gets a lease again."""
        if self._is_stopping_unanswered:
            return
        self._is_stopping_unanswered = True
        for run_id in list(self._lease_blockers):
            if run_id in self.unanswered_starts:
                if not (yield self._stop_until_answered(run_id)):
                    # The next look that is answered begins anew.
                    break
                self.last_answer_s[run_id] = self._clock.seconds()
                log_event("run.ruled-out", worker=self.entry.worker_id, run=run_id)
            self._lease_blockers.discard(run_id)
        self._is_stopping_unanswered = False

    def _confirm_start(self, run: Run) -> None:
        self.unanswered_starts.pop(run.run_id, None)
        if self._may_retry():
            self.last_answer_s[run.run_id] = self._clock.seconds()
            self._listener.started(self, run)

    @inlineCallbacks
    def stop(self, run: Run):
        """Order a stop and repeat it until it is answered."""
        run.phase = RunPhase.STOPPING
        if (yield self._stop_until_answered(run.run_id)):
            self.last_answer_s[run.run_id] = self._clock.seconds()

    @inlineCallbacks
    def _stop_until_answered(self, run_id: RunId):
        """Repeat a stop; True once no earlier order can start the run any more."""
        while self._may_retry():
            fencing_token = self._fencing_token()
            try:
                yield self._worker_client.stop(self.entry, run_id, fencing_token)
            except WorkerUnreachableError:
                yield self._pause(ORDER_RETRY_S)
                continue
            except WrongIncarnationError:
                return False
            except OrderRefusedError as error:
                if error.reason is RefusalReason.FENCED:
                    self._report_fenced(fencing_token)
                if error.reason in STOP_RETRY_REASONS:
                    yield self._pause(ORDER_RETRY_S)
                    continue
                log_event(
                    "stop.refused",
                    worker=self.entry.worker_id,
                    task=run_id.task,
                    reason=error.reason,
                )
            self.unanswered_starts.pop(run_id, None)
            return True
        return False

    @inlineCallbacks
    def throttle(self, run: Run, percent: int):
        """Order a pace once; the caller repeats it if it still matters."""
        run.speed_limit_percent = percent
        run.throttled_s = self._clock.seconds()
        try:
            yield self._worker_client.throttle(
                self.entry, run.run_id, percent, self._fencing_token()
            )
        except PlatformError as error:
            # The pace that stands is unknown; the next decision orders anew.
            run.speed_limit_percent = -1
            log_event("pace.failed", worker=self.entry.worker_id, why=str(error)[:160])
