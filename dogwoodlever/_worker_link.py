"""Polls of one worker, the leases it gets and the orders sent to it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import FleetWorkerClient, RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import PollResult, RunId, StartOrder, WorkerEntry
from dogwoodlever._link_fencing import LinkFencing
from dogwoodlever._logs import log_event
from dogwoodlever._run_evidence import (
    FOREVER_S,
    OrderVerdict,
    PollVerdict,
    StartAttempts,
    WorkerEvidence,
    may_be_in_flight,
)
from dogwoodlever._run_log import format_run_id
from dogwoodlever.platform_errors import (
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
# A worker responds at once while it lists unacknowledged ends, so the next poll waits
# until they are stored, or for this long.
ACKNOWLEDGE_WAIT_S = 0.25
ORDER_RETRY_S = 0.1
# How long an acknowledgement waits for open starts before further ones wait for it.
ACKNOWLEDGE_DELAY_MAX_S = 0.5
# Longer waits of a start for its answer are logged. An order is given up after less.
LATE_ANSWER_S = 1.0
ORDER_ERRORS = (WorkerUnreachableError, WrongIncarnationError, OrderRefusedError)


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
    def is_wanted(self, link: "WorkerLink", run_id: RunId) -> bool:
        """Return whether a run that the worker lists counts for its task."""

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
    fencing : LinkFencing
        Fencing token of this link.
    listener : LinkListener
        Receives the events.
    evidence : WorkerEvidence
        What is known of the incarnation.
    get_leases_end_s : callable
        Returns the time beyond which no lease may be granted.
    may_start : callable
        Returns whether starts may be sent now.

    Attributes
    ----------
    is_overrun_reported : bool
        Whether the last poll listed runs beyond the lease, which is then known.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        worker_client: FleetWorkerClient,
        clock,
        fencing: LinkFencing,
        listener: LinkListener,
        evidence: WorkerEvidence,
        get_leases_end_s: Callable[[], float],
        may_start: Callable[[], bool],
    ) -> None:
        self.entry = entry
        self._worker_client = worker_client
        self._clock = clock
        self.fencing = fencing
        self._listener = listener
        self.evidence = evidence
        self._get_leases_end_s = get_leases_end_s
        self._may_start = may_start
        self._poll_wait_ms = POLL_WAIT_MS
        self._is_stopping_unanswered = False
        # Whether the open poll acknowledges ends, and how many starts are open.
        self._is_acknowledging = False
        self._open_starts = 0
        # From when on starts wait for an acknowledgement, which waits for open ones.
        self._acknowledge_due_s = FOREVER_S
        self._is_proving = False
        self.is_closed = False
        self.is_overrun_reported = False
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

    def set_poll_wait(self, wait_ms: int) -> None:
        """Set how long polls may wait for an end."""
        self._poll_wait_ms = wait_ms

    def acknowledge(self, number: int) -> None:
        """Let the worker drop the ends up to `number`."""
        if self.evidence.acknowledge(number):
            self.poll_soon()

    def poll_soon(self) -> None:
        """Send the next poll now, unless one is open."""
        if self._poll_call is not None and self._poll_call.active():
            self._poll_call.cancel()
            self._schedule_poll(0.0)

    def _watch_lease_expiry(self) -> None:
        """Notify the listener when the leases of an unreachable worker expire."""
        if self.is_closed or not self.evidence.awaits_expiry:
            return
        now_s = self._clock.seconds()
        if self.evidence.expire_leases(now_s):
            self._listener.on_lease_expired(self)
        elif self._expiry_call is None or not self._expiry_call.active():
            self._expiry_call = self._clock.callLater(
                self.evidence.lease_expiry_s - now_s, self._watch_lease_expiry
            )

    @inlineCallbacks
    def _poll(self):
        if self.is_closed:
            return
        try:
            yield self._poll_once()
        except Exception as error:
            # One unexpected report must not end the polls that renew the lease.
            log_event("poll.failed", worker=self.entry.worker_id, why=repr(error)[:200])
            self._is_acknowledging = False
            if self._poll_call is None or not self._poll_call.active():
                self._schedule_poll(POLL_RETRY_S)

    @inlineCallbacks
    def _poll_once(self):
        sent_s = self._clock.seconds()
        fencing_token = self.fencing.token
        is_bare = not self.fencing.is_proven
        may_wait = self.evidence.is_answering and not self._is_lease_withheld()
        wait_ms = 0
        if may_wait and not is_bare:
            wait_ms = self.evidence.limit_poll_wait_ms(self._poll_wait_ms, sent_s)
        # Both may be carried out late. An end of that start would be acknowledged.
        may_acknowledge = not self._open_starts
        acknowledged_number, until_ms = self.evidence.begin_poll(
            sent_s, self._get_leases_end_s(), is_bare, may_acknowledge
        )
        self._is_acknowledging = acknowledged_number > 0
        if may_acknowledge or not self.evidence.awaits_acknowledgement:
            self._acknowledge_due_s = FOREVER_S
        else:
            due_s = sent_s + ACKNOWLEDGE_DELAY_MAX_S
            self._acknowledge_due_s = min(self._acknowledge_due_s, due_s)
        try:
            result = yield self._worker_client.poll(
                self.entry, fencing_token, acknowledged_number, until_ms, wait_ms
            )
        except PlatformError as error:
            if not self.is_closed:
                self._report_if_fenced(error, fencing_token)
                self._record_silence(error, fencing_token)
                self._is_acknowledging = False
                self._poll_failed(error, sent_s, wait_ms)
            return
        self._is_acknowledging = False
        if self.is_closed:
            return
        was_reachable = self.evidence.is_reachable
        verdict = self.evidence.judge_poll(
            result, self.entry.started_at_ms, self._clock.seconds()
        )
        if verdict is PollVerdict.REPLACED:
            self._listener.on_replaced(self)
            return
        if verdict is PollVerdict.MISNAMED:
            self._listener.on_identified(self, result.started_at_ms)
        self.fencing.record_answer(fencing_token)
        self._confirm_listed(result)
        if self.evidence.lease_blockers:
            self._stop_unanswered()
        elif not was_reachable:
            log_event("worker.regained", worker=self.entry.worker_id)
        self._listener.on_polled(self, result, sent_s)
        if self._is_lease_withheld():
            self._schedule_poll(POLL_RETRY_S)
            return
        if self.evidence.has_unstored_ends:
            self._schedule_poll(ACKNOWLEDGE_WAIT_S)
        else:
            self._schedule_poll(0.0 if may_acknowledge else ORDER_RETRY_S)

    def _poll_failed(self, error: PlatformError, sent_s: float, wait_ms: int) -> None:
        now_s = self._clock.seconds()
        was_reachable = self.evidence.is_reachable
        verdict = self.evidence.judge_failed_poll(error, sent_s, wait_ms / 1000, now_s)
        if verdict is PollVerdict.ADDRESS_TAKEN:
            self._listener.on_address_taken(self)
            return
        if was_reachable and not self.evidence.is_reachable:
            log_event(
                "worker.lost",
                worker=self.entry.worker_id,
                waits_s=max(0.0, self.evidence.lease_expiry_s - now_s),
                why=str(error)[:160],
            )
        self._watch_lease_expiry()
        self._schedule_poll(POLL_RETRY_S)

    def _schedule_poll(self, delay_s: float) -> None:
        if not self.is_closed:
            self._poll_call = self._clock.callLater(delay_s, self._poll)

    def _is_lease_withheld(self) -> bool:
        """Return whether the worker may get no lease now."""
        return self._clock.seconds() >= self._get_leases_end_s()

    def _pause(self, delay_s: float):
        return deferLater(self._clock, delay_s)

    @inlineCallbacks
    def start(self, run: Run, order: StartOrder, is_lasting: bool):
        """Order a start and retry it until it is answered.

        An order without a response may be carried out later, so the run counts
        until the worker responds, or its lease and the order have expired.
        """
        attempts = self.evidence.begin_start(run.run_id, is_lasting)
        is_retry = False
        while self._may_retry() and run.phase is not RunPhase.STOPPING:
            if not self._may_send_start():
                if not self.fencing.is_proven and not self._is_proving:
                    self._prove_token()
                yield self._pause(ORDER_RETRY_S)
                continue
            if is_retry and not self._listener.may_retry_start(run):
                yield self.stop(run)
                return
            is_retry = True
            if (yield self._attempt_start(run, order, attempts)):
                return
            yield self._pause(ORDER_RETRY_S)
        self.evidence.abandon_start(attempts, self._clock.seconds())

    def _may_send_start(self) -> bool:
        """Return whether a copy of a start may be sent now."""
        return (
            self._may_start()
            and not self._is_lease_withheld()
            and self.fencing.is_proven
            and self._clock.seconds() < self._acknowledge_due_s
        )

    @inlineCallbacks
    def _attempt_start(self, run: Run, order: StartOrder, attempts: StartAttempts):
        """Send one copy of a start; the result is False if it has to be sent again."""
        if self._is_acknowledging:
            # A late poll would acknowledge the end of a late copy.
            self.fencing.advance()
            self._is_acknowledging = False
        fencing_token = self.fencing.token
        sent_s = self._clock.seconds()
        until_ms = self.evidence.begin_attempt(
            attempts, sent_s, self._get_leases_end_s()
        )
        reason = None
        self._open_starts += 1
        try:
            clock_ms = yield self._worker_client.start(
                self.entry, order, until_ms, fencing_token
            )
        except ORDER_ERRORS as error:
            verdict = self.evidence.judge_failed_start(
                attempts, error, self._clock.seconds()
            )
            self._report_if_fenced(error, fencing_token)
            if self._record_silence(error, fencing_token):
                self._prove_token()
            if isinstance(error, WorkerUnreachableError):
                run.may_have_started = attempts.may_be_carried_out
            elif isinstance(error, OrderRefusedError):
                reason = error.reason
        else:
            verdict = self.evidence.judge_start(
                attempts, clock_ms, self._clock.seconds()
            )
            if verdict is OrderVerdict.CARRIED_OUT:
                run.seen_clock_ms = clock_ms
            else:
                self._log_misdirected(run, clock_ms)
        finally:
            self._open_starts -= 1
        if verdict is not OrderVerdict.RETRY:
            self._log_late_answer(run, verdict, sent_s)
        match verdict:
            case OrderVerdict.CARRIED_OUT if self._may_retry():
                self._listener.on_started(self, run)
            case OrderVerdict.REFUSED if not self.is_closed:
                self._listener.on_refused(self, run, reason)
            case OrderVerdict.IN_DOUBT:
                yield self.stop(run)
        return verdict is not OrderVerdict.RETRY

    def _record_silence(self, error: PlatformError, fencing_token: int) -> bool:
        """Return whether the token is raised, as a call may still be carried out."""
        if self.is_closed or not may_be_in_flight(error):
            return False
        return self.fencing.record_silence(fencing_token)

    @inlineCallbacks
    def _prove_token(self):
        """Poll under the raised token now, as the open poll may wait for an end."""
        fencing_token = self.fencing.token
        self._is_proving = True
        try:
            result = yield self._worker_client.poll(self.entry, fencing_token, 0, 0, 0)
        except PlatformError:
            # The next poll of the link follows.
            return
        finally:
            self._is_proving = False
        if result.started_at_ms in (0, self.entry.started_at_ms):
            self.fencing.record_answer(fencing_token)

    def _log_misdirected(self, run: Run, clock_ms: int) -> None:
        """Log a start that the worker's next incarnation has carried out."""
        log_event(
            "start.misdirected",
            run=format_run_id(run.run_id),
            worker=run.worker_id,
            incarnation=self.entry.started_at_ms,
            clock_ms=clock_ms,
        )

    def _log_late_answer(self, run: Run, verdict: OrderVerdict, sent_s: float) -> None:
        """Log a start whose last copy, sent at `sent_s`, was answered late."""
        now_s = self._clock.seconds()
        if now_s - run.started_s > LATE_ANSWER_S:
            log_event(
                "run.answered-late",
                run=format_run_id(run.run_id),
                worker=run.worker_id,
                took_s=now_s - run.started_s,
                call_s=now_s - sent_s,
                answer=verdict.name.lower(),
            )

    def _may_retry(self) -> bool:
        """Return whether an order without a response may be retried."""
        return not self.is_closed and not self.evidence.has_lease_expired

    def _report_if_fenced(self, error: PlatformError, fencing_token: int) -> None:
        """Report a later leader, unless it is this one with a new fencing token."""
        is_fenced = (
            isinstance(error, OrderRefusedError)
            and error.reason is RefusalReason.FENCED
        )
        is_current = fencing_token == self.fencing.token and not self.is_closed
        if is_fenced and is_current:
            self._listener.on_fenced(self)

    def _confirm_listed(self, result: PollResult) -> None:
        """Confirm the starts without an answer of runs that the worker lists.

        If such a run were stopped, another copy of its order might start it at the
        incarnation after this one, while its task runs elsewhere.
        """
        if not self.evidence.lease_blockers:
            return
        for listed in result.running:
            run_id = listed.run
            if run_id in self.evidence.lease_blockers and (
                self._listener.is_wanted(self, run_id)
            ):
                self.evidence.confirm_listed(run_id, self._clock.seconds())

    @inlineCallbacks
    def _stop_unanswered(self):
        """Stop runs that may still start, before the worker gets a lease again."""
        if self._is_stopping_unanswered:
            return
        self._is_stopping_unanswered = True
        for run_id in list(self.evidence.lease_blockers):
            if not self.evidence.is_unanswered(run_id):
                self.evidence.lease_blockers.discard(run_id)
                continue
            if not (yield self._stop_until_answered(run_id)):
                # The next successful poll starts over.
                break
            log_event("run.ruled-out", worker=self.entry.worker_id, run=run_id)
            self.evidence.unblock_leases(run_id, self._clock.seconds())
        self._is_stopping_unanswered = False

    @inlineCallbacks
    def stop(self, run: Run):
        """Order a stop and retry it until it is answered."""
        run.phase = RunPhase.STOPPING
        if (yield self._stop_until_answered(run.run_id)):
            self.evidence.expect_stopped(run.run_id, self._clock.seconds())

    @inlineCallbacks
    def _stop_until_answered(self, run_id: RunId):
        """Retry a stop; the result is True once no earlier order can start the run."""
        while self._may_retry():
            fencing_token = self.fencing.token
            try:
                yield self._worker_client.stop(self.entry, run_id, fencing_token)
            except ORDER_ERRORS as error:
                verdict = self.evidence.judge_failed_stop(error)
                self._report_if_fenced(error, fencing_token)
                if verdict is OrderVerdict.RETRY:
                    yield self._pause(ORDER_RETRY_S)
                    continue
                if verdict is OrderVerdict.INCARNATION_ENDED:
                    return False
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
                self.entry, run.run_id, percent, self.fencing.token
            )
        except PlatformError as error:
            # The limit in force is unknown; -1 makes the next decision send one.
            run.speed_limit_percent = -1
            log_event("pace.failed", worker=self.entry.worker_id, why=str(error)[:160])
