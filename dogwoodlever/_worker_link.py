"""Polls of one worker, the leases it gets and the orders sent to it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import FleetWorkerClient, RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import PollResult, RunId, StartOrder, WorkerEntry
from dogwoodlever._logs import log_event
from dogwoodlever._run_evidence import WorkerEvidence
from dogwoodlever.platform_errors import (
    ConnectionRefusedByWorkerError,
    OrderRefusedError,
    PlatformError,
    WorkerUnreachableError,
    WrongIncarnationError,
)

# Outlasts a change of leader and a short pause of the leader, so that runs survive
# both. The runs of a lost worker are dropped only after this time.
RUN_LEASE_TARGET_S = 5.0
# How long a poll may wait for an end; far below the lease.
POLL_WAIT_MS = 1_500
POLL_RETRY_S = 0.25
# A single failure may be a lost response or a pause of this process.
POLL_FAILURES_UNREACHABLE = 2
# A worker responds at once while it lists unacknowledged ends, so the next poll waits
# until they are stored, or for this long.
ACKNOWLEDGE_WAIT_S = 0.25
ORDER_RETRY_S = 0.1
# Starts refused for an expired lease are retried, since the next poll updates the
# worker's clock.
EXPIRED_STARTS_MAX = 3
# Refusals of a stop after which a start in flight may still be carried out.
STOP_RETRY_REASONS = frozenset({RefusalReason.FENCED, RefusalReason.UNHEALTHY})


class LinkListener(ABC):
    """Receives the events of a link."""

    @abstractmethod
    def on_polled(self, link: "WorkerLink", result: PollResult, sent_s: float) -> None:
        """Handle the result of a poll that was sent at `sent_s`."""

    @abstractmethod
    def on_started(self, link: "WorkerLink", run: Run) -> None:
        """Handle the worker's confirmation that a run was started."""

    @abstractmethod
    def may_retry_start(self, run: Run) -> bool:
        """Return whether a start without an answer may be ordered again."""

    @abstractmethod
    def on_refused(self, link: "WorkerLink", run: Run, reason: RefusalReason) -> None:
        """Handle a final refusal of the worker to start a run."""

    @abstractmethod
    def on_lease_expired(self, link: "WorkerLink") -> None:
        """Handle the expiry of all leases on the worker, which ends its runs."""

    @abstractmethod
    def on_fenced(self, link: "WorkerLink") -> None:
        """Handle a rejection because the worker has seen a later fencing token."""

    @abstractmethod
    def on_identified(self, link: "WorkerLink", started_at_ms: int) -> None:
        """Handle a first response from another incarnation than the entry names."""

    @abstractmethod
    def on_address_taken(self, link: "WorkerLink") -> None:
        """Handle a response from another worker, which has the worker's address."""

    @abstractmethod
    def on_replaced(self, link: "WorkerLink") -> None:
        """Handle a response from another incarnation of the worker."""


class WorkerLink:
    """Polls a worker continuously and retries orders until they are answered.

    Parameters
    ----------
    entry : WorkerEntry
        The worker.
    worker_client : FleetWorkerClient
        Client of the workers' API.
    clock : IReactorTime
        Reactor clock.
    get_fencing_token : callable
        Returns the leader's fencing token.
    listener : LinkListener
        Receives the events.
    evidence : WorkerEvidence
        What is known of the incarnation.
    get_leases_end_s : callable
        Returns the time beyond which no lease may be granted.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        worker_client: FleetWorkerClient,
        clock,
        get_fencing_token,
        listener: LinkListener,
        evidence: WorkerEvidence,
        get_leases_end_s: Callable[[], float],
    ) -> None:
        self.entry = entry
        self._worker_client = worker_client
        self._clock = clock
        self._get_fencing_token = get_fencing_token
        self._listener = listener
        self.evidence = evidence
        self._get_leases_end_s = get_leases_end_s
        self._poll_wait_ms = POLL_WAIT_MS
        # Whether the connection of the last poll was refused.
        self.is_refused = False
        # When the connection of the first poll without an answer ended, or when that
        # poll was sent if it timed out; infinitely early if the last one was answered.
        self.broken_s = float("-inf")
        self._is_stopping_unanswered = False
        self.is_closed = False
        # A worker gets no start before it may get a lease.
        self.is_reachable = not evidence.lease_blockers
        # The worker may drop ends up to this number, as they are stored.
        self._acknowledged = 0
        # Highest number of an end that was applied.
        self.last_end_number = 0
        self._poll_call = None
        self._expiry_call = None

    def open(self) -> None:
        """Start polling."""
        self._poll()

    def close(self) -> None:
        """Stop polling and retrying orders."""
        self.is_closed = True
        for call in (self._poll_call, self._expiry_call):
            if call is not None and call.active():
                call.cancel()

    @property
    def is_settled(self) -> bool:
        """Whether no start is unanswered and every listed end is acknowledged."""
        has_ends = self.last_end_number > self._acknowledged
        return not has_ends and not self.evidence.has_unanswered_starts

    def set_poll_wait(self, wait_ms: int) -> None:
        """Set how long polls may wait for an end."""
        self._poll_wait_ms = wait_ms

    def acknowledge(self, number: int) -> None:
        """Let the worker drop the ends up to `number`."""
        if number <= self._acknowledged:
            return
        self._acknowledged = number
        if self._poll_call is not None and self._poll_call.active():
            self._poll_call.cancel()
            self._schedule_poll(0.0)

    def _watch_lease_expiry(self) -> None:
        """Notify the listener when the leases of an unreachable worker expire."""
        evidence = self.evidence
        if evidence.has_lease_expired or self.is_closed or not evidence.failed_polls:
            return
        now_s = self._clock.seconds()
        if evidence.expire_leases(now_s):
            self._listener.on_lease_expired(self)
            return
        if self._expiry_call is None or not self._expiry_call.active():
            self._expiry_call = self._clock.callLater(
                evidence.lease_expiry_s - now_s, self._watch_lease_expiry
            )

    @inlineCallbacks
    def _poll(self):
        if self.is_closed:
            return
        sent_s = self._clock.seconds()
        fencing_token = self._get_fencing_token()
        # After a failure, another incarnation may answer, for which the number of the
        # acknowledged end is not valid.
        acknowledged = 0 if self.evidence.failed_polls else self._acknowledged
        wait_ms = self._poll_wait_ms if self.evidence.is_answering else 0
        until_ms = self.evidence.begin_poll(sent_s, self._get_leases_end_s())
        try:
            result = yield self._worker_client.poll(
                self.entry, fencing_token, acknowledged, until_ms, wait_ms
            )
        except PlatformError as error:
            if not self.is_closed:
                now_s = self._clock.seconds()
                self.evidence.end_poll(now_s, _may_be_carried_out(error))
                if not self.evidence.failed_polls:
                    is_early = now_s - sent_s <= wait_ms / 1000
                    self.broken_s = now_s if is_early else sent_s
                self._poll_failed(error, fencing_token)
            return
        if self.is_closed:
            return
        self.evidence.end_poll(self._clock.seconds())
        if (
            self.entry.started_at_ms
            and result.started_at_ms
            and result.started_at_ms != self.entry.started_at_ms
        ):
            if self.evidence.is_polled:
                self._listener.on_replaced(self)
                return
            self._listener.on_identified(self, result.started_at_ms)
        self.is_refused = False
        self.broken_s = float("-inf")
        self.evidence.record_clock(self._clock.seconds(), result.clock_ms)
        if self.evidence.lease_blockers:
            self._stop_unanswered()
        elif not self.is_reachable:
            self.is_reachable = True
            log_event("worker.regained", worker=self.entry.worker_id)
        try:
            self._listener.on_polled(self, result, sent_s)
        except Exception as error:
            # One unexpected report must not end the polls that renew the lease.
            log_event("poll.failed", worker=self.entry.worker_id, why=repr(error)[:200])
            self._schedule_poll(POLL_RETRY_S)
            return
        has_unacknowledged = self.last_end_number > self._acknowledged
        self._schedule_poll(ACKNOWLEDGE_WAIT_S if has_unacknowledged else 0.0)

    def _poll_failed(self, error: PlatformError, fencing_token: int) -> None:
        if isinstance(error, OrderRefusedError):
            if error.reason is RefusalReason.FENCED:
                self._report_fenced(fencing_token)
        elif isinstance(error, WrongIncarnationError):
            self._listener.on_address_taken(self)
            return
        self.is_refused = isinstance(error, ConnectionRefusedByWorkerError)
        self.evidence.failed_polls += 1
        if (
            self.is_reachable
            and self.evidence.failed_polls >= POLL_FAILURES_UNREACHABLE
        ):
            self.is_reachable = False
            log_event(
                "worker.lost",
                worker=self.entry.worker_id,
                waits_s=max(0.0, self.evidence.lease_expiry_s - self._clock.seconds()),
                why=str(error)[:160],
            )
        self._watch_lease_expiry()
        self._schedule_poll(POLL_RETRY_S)

    def _schedule_poll(self, delay_s: float) -> None:
        if not self.is_closed:
            self._poll_call = self._clock.callLater(delay_s, self._poll)

    def _pause(self, delay_s: float):
        return deferLater(self._clock, delay_s)

    @inlineCallbacks
    def start(self, run: Run, order: StartOrder):
        """Order a start and retry it until it is answered.

        An order without a response may be carried out later, so the run counts
        until the worker responds or its lease has expired.
        """
        may_be_accepted = False
        is_retry = False
        expired_count = 0
        self.evidence.begin_start(run.run_id)
        while self._may_retry() and run.phase is not RunPhase.STOPPING:
            if is_retry and not self._listener.may_retry_start(run):
                yield self.stop(run)
                return
            is_retry = True
            refusal = None
            fencing_token = self._get_fencing_token()
            now_s = self._clock.seconds()
            clock_min_ms = self.evidence.clock_lower_bound_ms(now_s)
            until_ms = self.evidence.lease_until_ms(now_s, self._get_leases_end_s())
            try:
                clock_ms = yield self._worker_client.start(
                    self.entry, order, until_ms, fencing_token
                )
            except WorkerUnreachableError as error:
                if _may_be_carried_out(error):
                    may_be_accepted = True
                    self.evidence.record_unanswered_copy(
                        run.run_id, self._clock.seconds()
                    )
                run.may_have_started = may_be_accepted
                yield self._pause(ORDER_RETRY_S)
                continue
            except WrongIncarnationError:
                # The poll reports it; the addressed incarnation runs nothing now.
                if not may_be_accepted:
                    self.evidence.settle_start(run.run_id)
                return
            except OrderRefusedError as error:
                refusal = error.reason
            if refusal is None and clock_ms < clock_min_ms:
                # The next incarnation accepted the order; its link stops the run.
                return
            if refusal is None or (
                may_be_accepted and refusal is RefusalReason.SUPERSEDED
            ):
                if refusal is None:
                    run.seen_clock_ms = clock_ms
                self._confirm_start(run)
                return
            expired_count += refusal is RefusalReason.EXPIRED
            if refusal is RefusalReason.FENCED:
                self._report_fenced(fencing_token)
            if self._is_transient(refusal, expired_count):
                yield self._pause(ORDER_RETRY_S)
                continue
            if may_be_accepted:
                # An earlier copy of the order may still arrive.
                yield self.stop(run)
            else:
                self._refuse(run, refusal)
            return
        if not may_be_accepted:
            self.evidence.settle_start(run.run_id)

    def _refuse(self, run: Run, refusal: RefusalReason) -> None:
        """Handle a refusal of a start that has no other copy in flight."""
        self.evidence.settle_start(run.run_id)
        if not self.is_closed:
            self._listener.on_refused(self, run, refusal)

    def _may_retry(self) -> bool:
        """Return whether an order without a response may be retried."""
        return not self.is_closed and not self.evidence.has_lease_expired

    def _report_fenced(self, fencing_token: int) -> None:
        """Report a later leader, unless it is this one with a new fencing token."""
        if fencing_token == self._get_fencing_token():
            self._listener.on_fenced(self)

    def _is_transient(self, refusal: RefusalReason, expired_count: int) -> bool:
        """Return whether a refused start may be accepted on a retry."""
        if refusal is RefusalReason.FENCED:
            return True
        return refusal is RefusalReason.EXPIRED and expired_count < EXPIRED_STARTS_MAX

    @inlineCallbacks
    def _stop_unanswered(self):
        """Stop runs that may still start, before the worker gets a lease again."""
        if self._is_stopping_unanswered:
            return
        self._is_stopping_unanswered = True
        for run_id in list(self.evidence.lease_blockers):
            if self.evidence.is_unanswered(run_id):
                if not (yield self._stop_until_answered(run_id)):
                    # The next successful poll starts over.
                    break
                log_event("run.ruled-out", worker=self.entry.worker_id, run=run_id)
                self.evidence.unblock_leases(run_id, self._clock.seconds())
            self.evidence.lease_blockers.discard(run_id)
        self._is_stopping_unanswered = False

    def _confirm_start(self, run: Run) -> None:
        self.evidence.settle_start(run.run_id)
        if self._may_retry():
            self.evidence.expect_listed(run.run_id, self._clock.seconds())
            self._listener.on_started(self, run)

    @inlineCallbacks
    def stop(self, run: Run):
        """Order a stop and retry it until it is answered."""
        run.phase = RunPhase.STOPPING
        if (yield self._stop_until_answered(run.run_id)):
            self.evidence.expect_listed(run.run_id, self._clock.seconds())

    @inlineCallbacks
    def _stop_until_answered(self, run_id: RunId):
        """Retry a stop; the result is True once no earlier order can start the run."""
        while self._may_retry():
            fencing_token = self._get_fencing_token()
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
            self.evidence.settle_start(run_id)
            return True
        return False

    @inlineCallbacks
    def throttle(self, run: Run, percent: int):
        """Send a speed limit once; the caller sends it again if it still applies."""
        run.speed_limit_percent = percent
        run.throttled_s = self._clock.seconds()
        try:
            yield self._worker_client.throttle(
                self.entry, run.run_id, percent, self._get_fencing_token()
            )
        except PlatformError as error:
            # The limit in force is unknown; -1 makes the next decision send one.
            run.speed_limit_percent = -1
            log_event("pace.failed", worker=self.entry.worker_id, why=str(error)[:160])


def _may_be_carried_out(error: PlatformError) -> bool:
    """Return whether a call that failed may be carried out, now or later."""
    is_unanswered = isinstance(error, WorkerUnreachableError)
    return is_unanswered and not isinstance(error, ConnectionRefusedByWorkerError)
