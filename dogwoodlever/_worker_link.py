"""Polls of one worker, the leases it gets and the orders sent to it."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import FleetWorkerClient, RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import PollResult, RunId, StartOrder, WorkerEntry
from dogwoodlever._logs import log_event
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
# Fraction by which a worker's clock may be slow.
CLOCK_SLOWNESS = 0.02
# Covers the rounding of the worker's and the scheduler's clocks.
CLOCK_MARGIN_MS = 50
# Covers a late timer of the worker.
LEASE_EXPIRY_MARGIN_S = 0.25
# Starts refused for an expired lease are retried, since the next poll updates the
# worker's clock.
EXPIRED_STARTS_MAX = 3
# How long after its sending an order without an answer may still be carried out. A copy
# that reaches the next incarnation of a worker is not recognised as a repetition there.
LATE_ORDER_MAX_S = 12.5
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


@dataclass(slots=True, frozen=True)
class StartInFlight:
    """A start of which a copy may still be carried out, by any later incarnation.

    Attributes
    ----------
    sent_s : float
        When the last copy without an answer was sent.
    """

    run: Run
    sent_s: float

    @property
    def expires_s(self) -> float:
        """Time from which the copy is not carried out any more."""
        return self.sent_s + LATE_ORDER_MAX_S

    def may_be_carried_out(self, now_s: float) -> bool:
        """Return whether the copy may still reach the worker."""
        return now_s < self.expires_s


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
        Returns the fencing token of this link.
    listener : LinkListener
        Receives the events.
    inherited_expiry_s : float
        When all leases from a former leader have expired.
    misdirected_expiry_s : float
        When the leases have expired that calls for a former incarnation may have
        granted.
    late_grants_end_s : float
        Until when calls for earlier incarnations may still grant leases.
    starts_in_flight : dict of RunId to StartInFlight
        Starts sent to earlier incarnations that may still be carried out.
    lease_s : float
        Length of granted leases.
    late_lease_bound_s : float
        Longest time from a late call for a former incarnation to the expiry of the
        lease that it grants.
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
        inherited_expiry_s: float,
        misdirected_expiry_s: float,
        late_grants_end_s: float,
        starts_in_flight: dict[RunId, StartInFlight],
        lease_s: float,
        late_lease_bound_s: float,
        get_leases_end_s: Callable[[], float],
    ) -> None:
        self.entry = entry
        self._worker_client = worker_client
        self._clock = clock
        self.get_fencing_token = get_fencing_token
        self._listener = listener
        self._lease_s = lease_s
        self._late_lease_bound_s = late_lease_bound_s
        self._inherited_late_grants_end_s = late_grants_end_s
        # Until when calls of this link without an answer may grant leases.
        self._own_late_grants_end_s = float("-inf")
        self._is_grant_under_way = False
        self._get_leases_end_s = get_leases_end_s
        self._clock_ms = 0
        self._clock_read_s = 0.0
        self._granted_ms = 0
        self._misdirected_expiry_s = misdirected_expiry_s
        self.lease_expiry_s = max(inherited_expiry_s, misdirected_expiry_s)
        self.has_lease_expired = False
        self._poll_wait_ms = POLL_WAIT_MS
        self._failed_polls = 0
        # Whether the connection of the last poll was refused.
        self.is_refused = False
        # When the connection of the first poll without an answer ended, or when that
        # poll was sent if it timed out; infinitely early if the last one was answered.
        self.broken_s = float("-inf")
        # Runs whose start was neither answered nor prevented by a confirmed stop.
        self.unanswered_starts = {
            run_id: start.run for run_id, start in starts_in_flight.items()
        }
        # Starts of which a copy got no answer, whether or not another copy did.
        self._unanswered_copies = dict(starts_in_flight)
        # No lease is granted until these runs can no longer start: a worker carries
        # out a late order with an expired lease if it holds a newer lease by then.
        self._lease_blockers = set(self.unanswered_starts)
        self._is_stopping_unanswered = False
        self.is_closed = False
        # A worker gets no start before it may get a lease.
        self.is_reachable = not starts_in_flight
        # The worker may drop ends up to this number, as they are stored.
        self._acknowledged = 0
        # Highest number of an end that was applied.
        self.last_end_number = 0
        # Time of the last response to an order, by run that still counts.
        self.last_response_s: dict[RunId, float] = {}
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
        return not self.unanswered_starts and self.last_end_number <= self._acknowledged

    def starts_in_flight(self) -> dict[RunId, StartInFlight]:
        """Return the starts that the next incarnation may still carry out."""
        now_s = self._clock.seconds()
        starts = {
            run_id: start
            for run_id, start in self._unanswered_copies.items()
            if start.may_be_carried_out(now_s)
        }
        for run_id, run in self.unanswered_starts.items():
            starts.setdefault(run_id, StartInFlight(run, now_s))
        return starts

    @property
    def late_grants_end_s(self) -> float:
        """Time until which calls without an answer may grant the next one leases."""
        end_s = max(self._inherited_late_grants_end_s, self._own_late_grants_end_s)
        if self._is_grant_under_way or self.unanswered_starts:
            end_s = max(end_s, self._clock.seconds() + LATE_ORDER_MAX_S)
        return end_s

    def limit_inherited_expiry(self, lease_expiry_s: float) -> None:
        """Lower the expiry of leases from a former leader."""
        if not self._granted_ms:
            self.lease_expiry_s = max(
                min(self.lease_expiry_s, lease_expiry_s), self._misdirected_expiry_s
            )

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

    def _lease_until_ms(self) -> int:
        """Return the expiry of a lease that is granted now, on the worker's clock.

        A call without a response may still renew the lease, so none is extended until
        the worker responds again; otherwise the lease would never expire.
        """
        if not self._clock_ms:
            return 0
        if self._failed_polls or self._lease_blockers:
            return self._granted_ms
        until_s = min(self._clock.seconds() + self._lease_s, self._get_leases_end_s())
        until_ms = self._clock_ms + int((until_s - self._clock_read_s) * 1000)
        self._granted_ms = max(self._granted_ms, until_ms)
        return self._granted_ms

    def _clock_lower_bound_ms(self) -> int:
        """Return the least value of the clock of the polled incarnation now."""
        if not self._clock_ms:
            return 0
        elapsed_s = self._clock.seconds() - self._clock_read_s
        elapsed_ms = int(elapsed_s * 1000 * (1 - CLOCK_SLOWNESS))
        return self._clock_ms + elapsed_ms - CLOCK_MARGIN_MS

    def _update_clock(self, clock_ms: int) -> None:
        self._clock_ms = clock_ms
        self._clock_read_s = self._clock.seconds()
        self.has_lease_expired = False
        self._update_lease_expiry()

    def _update_lease_expiry(self) -> None:
        if self._granted_ms:
            lease_left_s = (self._granted_ms - self._clock_ms) / 1000
            lease_left_s = lease_left_s / (1 - CLOCK_SLOWNESS) + LEASE_EXPIRY_MARGIN_S
            expiry_s = max(
                self._clock_read_s + lease_left_s, self._misdirected_expiry_s
            )
            # A late call extends only a lease that has not expired.
            granted_late_s = min(self._inherited_late_grants_end_s, expiry_s)
            self.lease_expiry_s = max(
                expiry_s, granted_late_s + self._late_lease_bound_s
            )

    def _watch_lease_expiry(self) -> None:
        """Notify the listener when the leases of an unreachable worker expire."""
        if self.has_lease_expired or self.is_closed or not self._failed_polls:
            return
        self._update_lease_expiry()
        lease_left_s = self.lease_expiry_s - self._clock.seconds()
        if lease_left_s <= 0:
            self.has_lease_expired = True
            self._lease_blockers = set(self.unanswered_starts)
            self._listener.on_lease_expired(self)
            return
        if self._expiry_call is None or not self._expiry_call.active():
            self._expiry_call = self._clock.callLater(
                lease_left_s, self._watch_lease_expiry
            )

    @inlineCallbacks
    def _poll(self):
        if self.is_closed:
            return
        sent_s = self._clock.seconds()
        fencing_token = self.get_fencing_token()
        acknowledged, until_ms, wait_ms = 0, 0, 0
        if not self._failed_polls:
            acknowledged = self._acknowledged
            until_ms = self._lease_until_ms()
            wait_ms = self._poll_wait_ms if self._clock_ms else 0
        self._is_grant_under_way = until_ms > 0
        # After a failure, another incarnation may answer, for which neither the number
        # of the acknowledged end nor the time of the lease is valid.
        try:
            result = yield self._worker_client.poll(
                self.entry, fencing_token, acknowledged, until_ms, wait_ms
            )
        except PlatformError as error:
            if not self.is_closed:
                if self._is_grant_under_way:
                    self._record_late_grant(error)
                self._is_grant_under_way = False
                if not self._failed_polls:
                    now_s = self._clock.seconds()
                    is_early = now_s - sent_s <= wait_ms / 1000
                    self.broken_s = now_s if is_early else sent_s
                self._poll_failed(error, fencing_token)
            return
        if self.is_closed:
            return
        self._is_grant_under_way = False
        if (
            self.entry.started_at_ms
            and result.started_at_ms
            and result.started_at_ms != self.entry.started_at_ms
        ):
            if self._clock_ms:
                self._listener.on_replaced(self)
                return
            self._listener.on_identified(self, result.started_at_ms)
        self._failed_polls = 0
        self.is_refused = False
        self.broken_s = float("-inf")
        self._update_clock(result.clock_ms)
        if self._lease_blockers:
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

    def _record_late_grant(self, error: PlatformError) -> None:
        """Record that a call that grants a lease may be carried out late."""
        is_unanswered = isinstance(error, WorkerUnreachableError)
        if is_unanswered and not isinstance(error, ConnectionRefusedByWorkerError):
            self._own_late_grants_end_s = self._clock.seconds() + LATE_ORDER_MAX_S

    def _poll_failed(self, error: PlatformError, fencing_token: int) -> None:
        if isinstance(error, OrderRefusedError):
            if error.reason is RefusalReason.FENCED:
                self._report_fenced(fencing_token)
        elif isinstance(error, WrongIncarnationError):
            self._listener.on_address_taken(self)
            return
        self.is_refused = isinstance(error, ConnectionRefusedByWorkerError)
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
        self.unanswered_starts[run.run_id] = run
        while self._may_retry() and run.phase is not RunPhase.STOPPING:
            if is_retry and not self._listener.may_retry_start(run):
                yield self.stop(run)
                return
            is_retry = True
            refusal = None
            fencing_token = self.get_fencing_token()
            clock_min_ms = self._clock_lower_bound_ms()
            try:
                clock_ms = yield self._worker_client.start(
                    self.entry, order, self._lease_until_ms(), fencing_token
                )
            except WorkerUnreachableError as error:
                if not isinstance(error, ConnectionRefusedByWorkerError):
                    may_be_accepted = True
                    self._record_late_grant(error)
                    self._record_unanswered_copy(run)
                run.may_have_started = may_be_accepted
                yield self._pause(ORDER_RETRY_S)
                continue
            except WrongIncarnationError:
                # The poll reports it; the addressed incarnation runs nothing now.
                if not may_be_accepted:
                    self.unanswered_starts.pop(run.run_id, None)
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
            self.unanswered_starts.pop(run.run_id, None)

    def _record_unanswered_copy(self, run: Run) -> None:
        now_s = self._clock.seconds()
        for run_id, start in list(self._unanswered_copies.items()):
            if not start.may_be_carried_out(now_s):
                del self._unanswered_copies[run_id]
        self._unanswered_copies[run.run_id] = StartInFlight(run, now_s)

    def _refuse(self, run: Run, refusal: RefusalReason) -> None:
        """Handle a refusal of a start that has no other copy in flight."""
        self.unanswered_starts.pop(run.run_id, None)
        if not self.is_closed:
            self._listener.on_refused(self, run, refusal)

    def _may_retry(self) -> bool:
        """Return whether an order without a response may be retried."""
        return not self.is_closed and not self.has_lease_expired

    def _report_fenced(self, fencing_token: int) -> None:
        """Report a later leader, unless it is this one with a new fencing token."""
        if fencing_token == self.get_fencing_token() and not self.is_closed:
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
        for run_id in list(self._lease_blockers):
            if run_id in self.unanswered_starts:
                if not (yield self._stop_until_answered(run_id)):
                    # The next successful poll starts over.
                    break
                log_event("run.ruled-out", worker=self.entry.worker_id, run=run_id)
                self._release_later(run_id)
            self._lease_blockers.discard(run_id)
        self._is_stopping_unanswered = False

    def _release_later(self, run_id: RunId) -> None:
        """Let a stopped run be dropped once no copy of its start is in flight.

        The stop holds for this incarnation only.
        """
        start = self._unanswered_copies.get(run_id)
        delay_s = 0.0
        if start is not None:
            delay_s = max(0.0, start.expires_s - self._clock.seconds())
        self._clock.callLater(delay_s, self._release, run_id)

    def _release(self, run_id: RunId) -> None:
        if not self.is_closed:
            self.last_response_s[run_id] = self._clock.seconds()

    def _confirm_start(self, run: Run) -> None:
        self.unanswered_starts.pop(run.run_id, None)
        if self._may_retry():
            self.last_response_s[run.run_id] = self._clock.seconds()
            self._listener.on_started(self, run)

    @inlineCallbacks
    def stop(self, run: Run):
        """Order a stop and retry it until it is answered."""
        run.phase = RunPhase.STOPPING
        if (yield self._stop_until_answered(run.run_id)):
            self.last_response_s[run.run_id] = self._clock.seconds()

    @inlineCallbacks
    def _stop_until_answered(self, run_id: RunId):
        """Retry a stop; the result is True once no earlier order can start the run."""
        while self._may_retry():
            fencing_token = self.get_fencing_token()
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
        """Send a speed limit once; the caller sends it again if it still applies."""
        run.speed_limit_percent = percent
        run.throttled_s = self._clock.seconds()
        try:
            yield self._worker_client.throttle(
                self.entry, run.run_id, percent, self.get_fencing_token()
            )
        except PlatformError as error:
            # The limit in force is unknown; -1 makes the next decision send one.
            run.speed_limit_percent = -1
            log_event("pace.failed", worker=self.entry.worker_id, why=str(error)[:160])
