"""Decisions about the requests of one service at one daemon."""

from dataclasses import dataclass
from heapq import heappop, heappush

from dogwoodlever._estimate import ServiceTime
from dogwoodlever._fair_queue import FairQueue
from dogwoodlever._outliers import OutlierDetector
from dogwoodlever._request import (
    Effect,
    End,
    GiveBack,
    Lend,
    Outcome,
    Reason,
    Request,
    Send,
    Want,
)
from dogwoodlever._retry_budget import RetryBudget
from dogwoodlever._room import Loan, Room, Slot

WANT_REFRESH_S = 0.02
WANT_EXPIRY_S = 0.25
AGE_MARGIN_S = 0.003
RETRY_AFTER_MIN_S = 0.1
LENT_PART_MAX = 0.75


@dataclass(slots=True, frozen=True)
class DispatcherLimits:
    """Bounds of a dispatcher; units are in the names."""

    queue_max: int
    attempts_max: int
    retry_budget_ratio: float
    longest_request_s: float
    expected_service_s: float


@dataclass(slots=True)
class Attempt:
    """An attempt that occupies a slot.

    Attributes
    ----------
    abandoned : bool
        The caller no longer waits for it, but the server may still run it.
    """

    request: Request
    slot: Slot
    started_s: float
    abandoned: bool = False


@dataclass(slots=True)
class PeerWant:
    """What a peer wants to borrow, and how long its oldest request waits."""

    count: int
    oldest_s: float
    asked_s: float
    received_s: float


class Dispatcher:
    """Admit, queue, place, retry and end the requests of one service.

    Knows no transport: each call takes the time and returns the effects to
    carry out, in order.

    Parameters
    ----------
    room : Room
        Slots of the service's backend servers.
    limits : DispatcherLimits
        Bounds.
    """

    __slots__ = (
        "_attempt_count",
        "_attempts",
        "_expiries",
        "_hopeless",
        "_leaving",
        "_slots",
        "_want_sent_count",
        "_want_sent_s",
        "_wants",
        "budget",
        "draining",
        "limits",
        "outliers",
        "own_room_usable",
        "queue",
        "room",
        "service_time",
    )

    def __init__(self, room: Room, limits: DispatcherLimits) -> None:
        self.room = room
        self.limits = limits
        self.queue = FairQueue(limits.queue_max)
        self.outliers = OutlierDetector()
        self.budget = RetryBudget(limits.retry_budget_ratio)
        self.service_time = ServiceTime(limits.expected_service_s)
        self.own_room_usable = True
        self.draining = False
        self._attempts: dict[int, Attempt] = {}
        self._attempt_count = 0
        self._slots: dict[str, int] = {}
        self._leaving: frozenset[str] = frozenset()
        self._wants: dict[str, PeerWant] = {}
        self._want_sent_count = 0
        self._want_sent_s = float("-inf")
        self._hopeless: list[tuple[float, str]] = []
        self._expiries: list[tuple[float, int]] = []

    def set_servers(self, slots: dict[str, int], leaving: set[str]) -> None:
        """Set the servers' slots and the servers that get no new work."""
        self.outliers.keep_only(set(slots))
        self._slots = dict(slots)
        self._leaving = frozenset(leaving)

    def in_flight(self) -> int:
        """Return the attempts whose callers still wait."""
        return sum(not a.abandoned for a in self._attempts.values())

    def occupied(self) -> int:
        """Return the slots that attempts occupy, abandoned ones too."""
        return len(self._attempts)

    def submit(self, request: Request, now_s: float) -> list[Effect]:
        """Admit a new request or refuse it at once."""
        if self.draining:
            return [self._refuse(request, Reason.DRAINING, RETRY_AFTER_MIN_S)]
        wait_s = self._expected_wait_s()
        likely_end_s = now_s + wait_s + self.service_time.likely_s()
        if likely_end_s > request.deadline_s:
            return [self._refuse(request, Reason.WOULD_BE_LATE, wait_s)]
        self.budget.earn()
        return self._enqueue(request, False) + self.pump(now_s)

    def _expected_wait_s(self) -> float:
        if not len(self.queue):
            return 0.0
        slots = max(1, self.room.open_slots())
        return len(self.queue) * self.service_time.mean_s / slots

    def _enqueue(self, request: Request, front: bool) -> list[Effect]:
        displaced = self.queue.push(request, front)
        effects: list[Effect] = []
        if displaced is not None:
            effects.append(
                self._refuse(displaced, Reason.QUEUE_FULL, self._expected_wait_s())
            )
        if displaced is not request:
            hopeless_s = request.deadline_s - self.service_time.mean_s
            heappush(self._hopeless, (hopeless_s, request.request_id))
        return effects

    def _refuse(self, request: Request, reason: Reason, wait_s: float) -> End:
        """End a request that is not, or no longer, worth queueing."""
        if request.written:
            return End(request, Outcome.UNKNOWN, reason)
        retry_after_s = max(wait_s, RETRY_AFTER_MIN_S)
        return End(request, Outcome.NOT_RUN, reason, "", retry_after_s)

    def pump(self, now_s: float) -> list[Effect]:
        """Start and lend whatever the room allows now."""
        effects = self._drop_hopeless(now_s)
        while True:
            borrower = self._neediest_peer(now_s)
            if borrower is not None and self._peer_goes_first(borrower, now_s):
                loan = self._lend_one(borrower, now_s)
                if loan is not None:
                    effects.append(loan)
                    continue
            send = self._start_one(now_s)
            if send is None:
                break
            effects.append(send)
        effects.extend(self._return_loans(now_s))
        effects.extend(self._advertise(now_s))
        return effects

    def _drop_hopeless(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._hopeless and self._hopeless[0][0] <= now_s:
            _, request_id = heappop(self._hopeless)
            request = self.queue.remove(request_id)
            if request is not None:
                wait_s = self._expected_wait_s()
                effects.append(self._refuse(request, Reason.WOULD_BE_LATE, wait_s))
        return effects

    def _start_one(self, now_s: float) -> Send | None:
        if not len(self.queue):
            return None
        server = self._choose(now_s)
        if server is None:
            return None
        slot = self.room.take(server, now_s, self.own_room_usable)
        if slot is None:
            return None
        request = self.queue.pop()
        request.attempts += 1
        request.tried.add(server)
        self._attempt_count += 1
        self._attempts[self._attempt_count] = Attempt(request, slot, now_s)
        heappush(
            self._expiries,
            (now_s + self.limits.longest_request_s, self._attempt_count),
        )
        return Send(
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

    def _choose(self, now_s: float) -> str | None:
        """Return the accepting server of least latency, or None."""
        best, best_s = None, float("inf")
        for server in self.room.servers_available(now_s, self.own_room_usable):
            if server in self._leaving:
                continue
            running = self.room.running(server)
            if running >= self._limit(server, now_s):
                continue
            latency_s = self.outliers.health(server).latency_s
            score_s = (latency_s or self.service_time.mean_s) * (1 + 0.02 * running)
            if score_s < best_s:
                best, best_s = server, score_s
        return best

    def _limit(self, server: str, now_s: float) -> int:
        return self.outliers.limit(server, self._slots.get(server, 0), now_s)

    def answered(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Record the whole answer of an attempt, also one that comes late."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        self.room.release(attempt.slot)
        server = attempt.slot.server
        duration_s = now_s - attempt.started_s
        self.outliers.succeeded(server, duration_s, now_s)
        self.service_time.note(duration_s)
        effects: list[Effect] = []
        if not attempt.abandoned:
            effects.append(
                End(attempt.request, Outcome.ANSWERED, Reason.ANSWERED, server)
            )
        return effects + self.pump(now_s)

    def not_written(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Record that an attempt failed before its first byte was written."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        self.room.release(attempt.slot)
        self.outliers.failed(attempt.slot.server, now_s)
        effects: list[Effect] = []
        if not attempt.abandoned:
            effects = self._retry(attempt.request, Reason.NO_SERVER, now_s)
        return effects + self.pump(now_s)

    def broken(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Record that a written attempt will bring no whole answer.

        The server may still run it, so its slot stays occupied until the
        longest request is over.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.abandoned:
            return []
        attempt.abandoned = True
        request = attempt.request
        request.written = True
        self.outliers.failed(attempt.slot.server, now_s)
        if not request.idempotent:
            effects: list[Effect] = [End(request, Outcome.UNKNOWN, Reason.BROKEN)]
        else:
            effects = self._retry(request, Reason.BROKEN, now_s)
        return effects + self.pump(now_s)

    def timed_out(self, attempt_id: int, now_s: float) -> list[Effect]:
        """Record that an attempt brought no answer within its timeout."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.abandoned:
            return []
        if now_s < attempt.request.deadline_s:
            return self.broken(attempt_id, now_s)
        attempt.abandoned = True
        attempt.request.written = True
        self.outliers.failed(attempt.slot.server, now_s)
        end = End(attempt.request, Outcome.UNKNOWN, Reason.DEADLINE)
        return [end, *self.pump(now_s)]

    def _retry(self, request: Request, reason: Reason, now_s: float) -> list[Effect]:
        """Queue a request again if attempts, budget and deadline allow."""
        if request.attempts >= self.limits.attempts_max:
            return [self._refuse(request, Reason.ATTEMPTS_EXHAUSTED, 0.0)]
        if now_s + self.service_time.mean_s > request.deadline_s:
            return [self._refuse(request, Reason.DEADLINE, 0.0)]
        if not self.budget.spend():
            return [self._refuse(request, reason, 0.0)]
        return self._enqueue(request, True)

    def caller_left(self, request_id: str, now_s: float) -> list[Effect]:
        """Drop a request whose caller closed its connection.

        An End without a caller is returned for one that was still queued.
        """
        queued = self.queue.remove(request_id)
        if queued is not None:
            end = self._refuse(queued, Reason.CALLER_LEFT, RETRY_AFTER_MIN_S)
            return [end, *self.pump(now_s)]
        for attempt in self._attempts.values():
            if attempt.request.request_id == request_id:
                attempt.abandoned = True
        return self.pump(now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Expire what is over by the clock."""
        self.room.expire_lent(now_s)
        while self._expiries and self._expiries[0][0] <= now_s:
            _, attempt_id = heappop(self._expiries)
            self._expire_attempt(attempt_id)
        return self.pump(now_s)

    def _expire_attempt(self, attempt_id: int) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            self.room.release(attempt.slot)

    def drain(self, now_s: float) -> list[Effect]:
        """Refuse new requests and loans from now on."""
        self.draining = True
        self._wants.clear()
        return self.pump(now_s)

    def want(
        self, peer: str, count: int, oldest_age_s: float, asked_s: float, now_s: float
    ) -> list[Effect]:
        """Record that `peer` wants slots; a count of 0 ends its want."""
        if count <= 0:
            self._wants.pop(peer, None)
            return []
        self._wants[peer] = PeerWant(count, now_s - oldest_age_s, asked_s, now_s)
        return self.pump(now_s)

    def lent(
        self,
        lender: str,
        loans: tuple[Loan, ...],
        asked_s: float,
        term_s: float,
        now_s: float,
    ) -> list[Effect]:
        """Record loans that a peer made for its term."""
        refused = [
            loan.loan_id
            for loan in loans
            if not self.room.borrow(lender, loan, asked_s, term_s, now_s)
        ]
        effects: list[Effect] = []
        if refused:
            effects.append(GiveBack(lender, tuple(refused)))
        return effects + self.pump(now_s)

    def given_back(self, loan_ids: tuple[str, ...], now_s: float) -> list[Effect]:
        """Record loans that a borrower returned."""
        for loan_id in loan_ids:
            self.room.take_back(loan_id)
        return self.pump(now_s)

    def _neediest_peer(self, now_s: float) -> str | None:
        if self.draining or not self.own_room_usable or not self._wants:
            return None
        for peer in [
            p
            for p, want in self._wants.items()
            if want.count <= 0 or now_s - want.received_s > WANT_EXPIRY_S
        ]:
            del self._wants[peer]
        return min(self._wants, key=lambda p: self._wants[p].oldest_s, default=None)

    def _peer_goes_first(self, peer: str, now_s: float) -> bool:
        own_oldest_s = self.queue.oldest_arrival_s()
        if own_oldest_s is None:
            return True
        return self._wants[peer].oldest_s + AGE_MARGIN_S < own_oldest_s

    def _lend_one(self, borrower: str, now_s: float) -> Lend | None:
        # If a borrower dies, what it borrowed is lost until the loans' terms
        # and the longest request are over; the rest keeps this entry serving.
        if self.room.lent_total() >= LENT_PART_MAX * self.room.held_total():
            return None
        servers = [
            server
            for server in self.room.servers_with_own_free()
            if server not in self._leaving
            and self.room.running(server) < self._limit(server, now_s)
        ]
        if not servers:
            return None
        server = min(servers, key=lambda s: self.outliers.health(s).latency_s)
        want = self._wants[borrower]
        want.count -= 1
        loan = self.room.lend(borrower, server, now_s)
        return Lend(borrower, want.asked_s, (loan,))

    def _return_loans(self, now_s: float) -> list[Effect]:
        if not self.room.has_borrowed():
            return []
        returned = self.room.give_back(now_s, idle=not len(self.queue))
        return [GiveBack(lender, tuple(ids)) for lender, ids in returned.items()]

    def _advertise(self, now_s: float) -> list[Effect]:
        """Tell the peers what is wanted, at most once a refresh interval."""
        count = len(self.queue)
        if not count and not self._want_sent_count:
            return []
        due = now_s - self._want_sent_s >= WANT_REFRESH_S
        if count and self._want_sent_count and not due:
            return []
        oldest_s = self.queue.oldest_arrival_s()
        self._want_sent_count = count
        self._want_sent_s = now_s
        return [Want(count, 0.0 if oldest_s is None else now_s - oldest_s)]
