"""Admission, queueing, placement and retries of one service's requests."""

from dataclasses import dataclass
from heapq import heappop, heappush

from dogwoodlever._fair_queue import FairQueue
from dogwoodlever._outliers import OutlierDetector
from dogwoodlever._request import (
    AdvertiseDemand,
    Effect,
    EndRequest,
    GrantLoans,
    Outcome,
    Reason,
    Request,
    ReturnLoans,
    SendAttempt,
)
from dogwoodlever._retry_budget import RetryBudget
from dogwoodlever._service_time_estimate import ServiceTimeEstimate
from dogwoodlever._slot_pool import Loan, Slot, SlotPool

DEMAND_REFRESH_S = 0.02
DEMAND_EXPIRY_S = 0.25
PEER_AGE_MARGIN_S = 0.003
RETRY_AFTER_MIN_S = 0.1
LENT_FRACTION_MAX = 0.75


@dataclass(slots=True, frozen=True)
class DispatcherLimits:
    """Limits of a dispatcher."""

    queue_max: int
    attempts_max: int
    retry_budget_ratio: float
    longest_request_s: float
    initial_service_time_s: float


@dataclass(slots=True)
class Attempt:
    """An attempt that occupies a slot.

    Attributes
    ----------
    abandoned : bool
        Whether its result is no longer used, although the server may still
        run it.
    """

    request: Request
    slot: Slot
    started_s: float
    abandoned: bool = False


@dataclass(slots=True)
class PeerDemand:
    """Slots that a peer requests, and the arrival of its oldest request.

    Attributes
    ----------
    asked_s : float
        Time of the request by the peer's clock; a loan repeats it.
    oldest_s, received_s : float
        Times of this daemon's clock.
    """

    count: int
    oldest_s: float
    asked_s: float
    received_s: float


class Dispatcher:
    """Admits, queues, places, retries and ends the requests of one service.

    Does no I/O: each call takes the current time and returns the effects to
    carry out, in order.

    Parameters
    ----------
    slot_pool : SlotPool
        Slots of the service's backend servers.
    limits : DispatcherLimits
        Bounds of the queue, the retries and the run time.
    """

    __slots__ = (
        "_attempt_count",
        "_attempt_expiries",
        "_attempts",
        "_demand_sent_count",
        "_demand_sent_s",
        "_leaving_servers",
        "_peer_demands",
        "_server_slots",
        "_start_deadlines",
        "budget",
        "draining",
        "limits",
        "outliers",
        "own_slots_usable",
        "queue",
        "service_time",
        "slot_pool",
    )

    def __init__(self, slot_pool: SlotPool, limits: DispatcherLimits) -> None:
        self.slot_pool = slot_pool
        self.limits = limits
        self.queue = FairQueue(limits.queue_max)
        self.outliers = OutlierDetector()
        self.budget = RetryBudget(limits.retry_budget_ratio)
        self.service_time = ServiceTimeEstimate(limits.initial_service_time_s)
        self.own_slots_usable = True
        self.draining = False
        self._attempts: dict[int, Attempt] = {}
        self._attempt_count = 0
        self._server_slots: dict[str, int] = {}
        self._leaving_servers: frozenset[str] = frozenset()
        self._peer_demands: dict[str, PeerDemand] = {}
        self._demand_sent_count = 0
        self._demand_sent_s = float("-inf")
        self._start_deadlines: list[tuple[float, str]] = []
        self._attempt_expiries: list[tuple[float, int]] = []

    def set_servers(self, slots: dict[str, int], leaving: set[str]) -> None:
        """Set the slots by server and the servers that get no new requests."""
        self.outliers.sync_servers(set(slots))
        self._server_slots = dict(slots)
        self._leaving_servers = frozenset(leaving)

    def in_flight(self) -> int:
        """Return the number of attempts whose callers still wait."""
        return sum(not a.abandoned for a in self._attempts.values())

    def submit(self, request: Request, now_s: float) -> list[Effect]:
        """Queue a new request, or reject it if it cannot meet its deadline."""
        if self.draining:
            return [self._reject(request, Reason.DRAINING, RETRY_AFTER_MIN_S)]
        wait_s = self._expected_wait_s()
        likely_end_s = now_s + wait_s + self.service_time.likely_max_s()
        if likely_end_s > request.deadline_s:
            return [self._reject(request, Reason.WOULD_BE_LATE, wait_s)]
        self.budget.deposit()
        return self._enqueue(request, False) + self.dispatch(now_s)

    def _expected_wait_s(self) -> float:
        if not len(self.queue):
            return 0.0
        slots = max(1, self.slot_pool.usable_slots())
        return len(self.queue) * self.service_time.mean_s / slots

    def _enqueue(self, request: Request, front: bool) -> list[Effect]:
        displaced = self.queue.push(request, front)
        effects: list[Effect] = []
        if displaced is not None:
            effects.append(
                self._reject(displaced, Reason.QUEUE_FULL, self._expected_wait_s())
            )
        if displaced is not request:
            latest_start_s = request.deadline_s - self.service_time.mean_s
            heappush(self._start_deadlines, (latest_start_s, request.request_id))
        return effects

    def _reject(self, request: Request, reason: Reason, wait_s: float) -> EndRequest:
        """Return the end of a request that is not queued, or no longer."""
        if request.written:
            return EndRequest(request, Outcome.UNKNOWN, reason)
        retry_after_s = max(wait_s, RETRY_AFTER_MIN_S)
        return EndRequest(request, Outcome.NOT_RUN, reason, "", retry_after_s)

    def dispatch(self, now_s: float) -> list[Effect]:
        """Start queued requests, lend free slots and return idle loans."""
        effects = self._drop_late(now_s)
        while True:
            borrower = self._longest_waiting_peer(now_s)
            if borrower is not None and self._peer_waits_longer(borrower, now_s):
                loan = self._lend_slot(borrower, now_s)
                if loan is not None:
                    effects.append(loan)
                    continue
            send = self._start_next(now_s)
            if send is None:
                break
            effects.append(send)
        effects.extend(self._return_loans(now_s))
        effects.extend(self._advertise_demand(now_s))
        return effects

    def _drop_late(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._start_deadlines and self._start_deadlines[0][0] <= now_s:
            _, request_id = heappop(self._start_deadlines)
            request = self.queue.remove(request_id)
            if request is not None:
                wait_s = self._expected_wait_s()
                effects.append(self._reject(request, Reason.WOULD_BE_LATE, wait_s))
        return effects

    def _start_next(self, now_s: float) -> SendAttempt | None:
        if not len(self.queue):
            return None
        server = self._choose_server(now_s)
        if server is None:
            return None
        slot = self.slot_pool.acquire(server, now_s, self.own_slots_usable)
        if slot is None:
            return None
        request = self.queue.pop()
        request.attempts += 1
        self._attempt_count += 1
        self._attempts[self._attempt_count] = Attempt(request, slot, now_s)
        heappush(
            self._attempt_expiries,
            (now_s + self.limits.longest_request_s, self._attempt_count),
        )
        return SendAttempt(
            self._attempt_count,
            request,
            server,
            self._timeout_s(request, now_s),
            request.idempotent and not slot.loan_id,
        )

    def _timeout_s(self, request: Request, now_s: float) -> float:
        remaining_s = request.deadline_s - now_s
        if not request.idempotent or request.attempts >= self.limits.attempts_max:
            return remaining_s
        return min(remaining_s, self.service_time.attempt_timeout_s())

    def _choose_server(self, now_s: float) -> str | None:
        """Return the available server with the lowest latency, or None."""
        best, best_s = None, float("inf")
        for server in self.slot_pool.available_servers(now_s, self.own_slots_usable):
            if server in self._leaving_servers:
                continue
            running = self.slot_pool.running(server)
            if running >= self._concurrency_limit(server, now_s):
                continue
            latency_s = self.outliers.health(server).latency_s
            score_s = (latency_s or self.service_time.mean_s) * (1 + 0.02 * running)
            if score_s < best_s:
                best, best_s = server, score_s
        return best

    def _concurrency_limit(self, server: str, now_s: float) -> int:
        return self.outliers.concurrency_limit(
            server, self._server_slots.get(server, 0), now_s
        )

    def handle_response(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Handle the complete response of an attempt, on time or late."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        self.slot_pool.release(attempt.slot)
        server = attempt.slot.server
        duration_s = now_s - attempt.started_s
        self.outliers.record_success(server, duration_s, now_s)
        self.service_time.observe(duration_s)
        effects: list[Effect] = []
        if not attempt.abandoned:
            effects.append(
                EndRequest(attempt.request, Outcome.ANSWERED, Reason.ANSWERED, server)
            )
        return effects + self.dispatch(now_s)

    def handle_not_written(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Handle an attempt that failed before its first byte was written."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        self.slot_pool.release(attempt.slot)
        self.outliers.record_failure(attempt.slot.server, now_s)
        effects: list[Effect] = []
        if not attempt.abandoned:
            effects = self._retry(attempt.request, Reason.NO_SERVER, now_s)
        return effects + self.dispatch(now_s)

    def handle_broken(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Handle a written attempt whose connection failed.

        The server may still run it, so its slot stays occupied until the
        longest request time has passed.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.abandoned:
            return []
        attempt.abandoned = True
        request = attempt.request
        request.written = True
        self.outliers.record_failure(attempt.slot.server, now_s)
        if not request.idempotent:
            effects: list[Effect] = [
                EndRequest(request, Outcome.UNKNOWN, Reason.BROKEN)
            ]
        else:
            effects = self._retry(request, Reason.BROKEN, now_s)
        return effects + self.dispatch(now_s)

    def handle_timeout(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Handle an attempt without a response within its timeout."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.abandoned:
            return []
        if now_s < attempt.request.deadline_s:
            return self.handle_broken(attempt_id, now_s)
        attempt.abandoned = True
        attempt.request.written = True
        self.outliers.record_failure(attempt.slot.server, now_s)
        end = EndRequest(attempt.request, Outcome.UNKNOWN, Reason.DEADLINE)
        return [end, *self.dispatch(now_s)]

    def _retry(self, request: Request, reason: Reason, now_s: float) -> list[Effect]:
        """Requeue a request if attempts, retry budget and deadline allow it."""
        if request.attempts >= self.limits.attempts_max:
            return [self._reject(request, Reason.ATTEMPTS_EXHAUSTED, 0.0)]
        if now_s + self.service_time.mean_s > request.deadline_s:
            return [self._reject(request, Reason.DEADLINE, 0.0)]
        if not self.budget.try_withdraw():
            return [self._reject(request, reason, 0.0)]
        return self._enqueue(request, True)

    def handle_disconnect(self, request_id: str, now_s: float) -> list[Effect]:
        """Drop a request whose caller closed its connection.

        A request that was still queued is ended; the result of a running
        attempt is discarded.
        """
        queued = self.queue.remove(request_id)
        if queued is not None:
            end = self._reject(queued, Reason.CALLER_LEFT, RETRY_AFTER_MIN_S)
            return [end, *self.dispatch(now_s)]
        for attempt in self._attempts.values():
            if attempt.request.request_id == request_id:
                attempt.abandoned = True
        return self.dispatch(now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Expire loans and attempts whose time is over."""
        self.slot_pool.expire_loans(now_s)
        while self._attempt_expiries and self._attempt_expiries[0][0] <= now_s:
            _, attempt_id = heappop(self._attempt_expiries)
            self._expire_attempt(attempt_id)
        return self.dispatch(now_s)

    def _expire_attempt(self, attempt_id: int) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            self.slot_pool.release(attempt.slot)

    def drain(self, now_s: float) -> list[Effect]:
        """Reject new requests and lend no more slots."""
        self.draining = True
        self._peer_demands.clear()
        return self.dispatch(now_s)

    def handle_demand(
        self, peer: str, count: int, oldest_age_s: float, asked_s: float, now_s: float
    ) -> list[Effect]:
        """Handle a peer's demand for slots; a count of 0 withdraws it."""
        if count <= 0:
            self._peer_demands.pop(peer, None)
            return []
        self._peer_demands[peer] = PeerDemand(
            count, now_s - oldest_age_s, asked_s, now_s
        )
        return self.dispatch(now_s)

    def handle_loans(
        self,
        lender: str,
        loans: tuple[Loan, ...],
        asked_s: float,
        term_s: float,
        now_s: float,
    ) -> list[Effect]:
        """Handle slots that a peer lends for its term."""
        rejected = [
            loan.loan_id
            for loan in loans
            if not self.slot_pool.accept_loan(lender, loan, asked_s, term_s, now_s)
        ]
        effects: list[Effect] = []
        if rejected:
            effects.append(ReturnLoans(lender, tuple(rejected)))
        return effects + self.dispatch(now_s)

    def handle_returned_loans(
        self, loan_ids: tuple[str, ...], now_s: float
    ) -> list[Effect]:
        """Handle loans that a borrower returned."""
        for loan_id in loan_ids:
            self.slot_pool.reclaim(loan_id)
        return self.dispatch(now_s)

    def _longest_waiting_peer(self, now_s: float) -> str | None:
        if self.draining or not self.own_slots_usable or not self._peer_demands:
            return None
        for peer in [
            p
            for p, demand in self._peer_demands.items()
            if demand.count <= 0 or now_s - demand.received_s > DEMAND_EXPIRY_S
        ]:
            del self._peer_demands[peer]
        return min(
            self._peer_demands,
            key=lambda p: self._peer_demands[p].oldest_s,
            default=None,
        )

    def _peer_waits_longer(self, peer: str, now_s: float) -> bool:
        own_oldest_s = self.queue.oldest_arrival_s()
        if own_oldest_s is None:
            return True
        return self._peer_demands[peer].oldest_s + PEER_AGE_MARGIN_S < own_oldest_s

    def _lend_slot(self, borrower: str, now_s: float) -> GrantLoans | None:
        # After a borrower's crash its loans are unusable for their term plus
        # the longest request; the remaining slots keep this daemon serving.
        if (
            self.slot_pool.lent_total()
            >= LENT_FRACTION_MAX * self.slot_pool.held_total()
        ):
            return None
        servers = [
            server
            for server in self.slot_pool.servers_with_free_slots()
            if server not in self._leaving_servers
            and self.slot_pool.running(server) < self._concurrency_limit(server, now_s)
        ]
        if not servers:
            return None
        server = min(servers, key=lambda s: self.outliers.health(s).latency_s)
        demand = self._peer_demands[borrower]
        demand.count -= 1
        loan = self.slot_pool.lend(borrower, server, now_s)
        return GrantLoans(borrower, demand.asked_s, (loan,))

    def _return_loans(self, now_s: float) -> list[Effect]:
        if not self.slot_pool.has_borrowed():
            return []
        returned = self.slot_pool.drop_borrowed(now_s, idle=not len(self.queue))
        return [ReturnLoans(lender, tuple(ids)) for lender, ids in returned.items()]

    def _advertise_demand(self, now_s: float) -> list[Effect]:
        """Send the demand to the peers, at most once per refresh interval."""
        count = len(self.queue)
        if not count and not self._demand_sent_count:
            return []
        due = now_s - self._demand_sent_s >= DEMAND_REFRESH_S
        if count and self._demand_sent_count and not due:
            return []
        oldest_s = self.queue.oldest_arrival_s()
        self._demand_sent_count = count
        self._demand_sent_s = now_s
        return [AdvertiseDemand(count, 0.0 if oldest_s is None else now_s - oldest_s)]
