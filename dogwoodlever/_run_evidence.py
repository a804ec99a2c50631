"""What the leader knows of one incarnation of a worker, and what that proves."""

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass
from enum import Enum, auto

from dogwoodlever._drop_evidence import DropCause, DropEvidence
from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import EndedRun, PollResult, RunId
from dogwoodlever._unstored_ends import UnstoredEnds
from dogwoodlever.platform_errors import (
    CallNotSentError,
    ConnectionRefusedByWorkerError,
    OrderRefusedError,
    PlatformError,
    WorkerUnreachableError,
    WrongIncarnationError,
)

# Fraction by which a worker's clock may be slow.
CLOCK_SLOWNESS = 0.02
# Covers the rounding of the worker's and the scheduler's clocks.
CLOCK_MARGIN_MS = 50
# Covers a late timer of the worker.
LEASE_EXPIRY_MARGIN_S = 0.25
# How long after its sending an order without an answer may still be carried out. A copy
# that reaches the next incarnation of a worker is not recognised as a repetition there.
LATE_ORDER_MAX_S = 12.5
# The same for a task that lasts, which has to run again within 9 s of its last run.
LASTING_LATE_ORDER_MAX_S = 4.5
# Longest wait for a run of such an order at an incarnation that has been seen once, so
# that its task runs again within 21 s.
LATE_START_WAIT_MAX_S = 20.0
# With more ends than this in one response of a worker, none is held back: later ends
# are acknowledged with it only.
ENDS_HELD_MAX = 10
# A single failure may be a lost response or a pause of this process.
POLL_FAILURES_UNREACHABLE = 2
# Silence of a worker from which its successor is told. Far below a lease, which then
# outlasts an outage of the store that begins as the worker answers again.
SILENCE_MIN_S = 2.0
# Starts refused for an expired lease are retried, since the next poll updates the
# worker's clock.
EXPIRED_STARTS_MAX = 3
# Refusals of a stop after which a start in flight may still be carried out.
STOP_RETRY_REASONS = frozenset({RefusalReason.FENCED, RefusalReason.UNHEALTHY})
# Most ends in one response of a worker; the others follow once these are acknowledged.
ENDS_LISTED_MAX = 500
# With this many, ends that cannot be stored are acknowledged, so that none is left out.
ENDS_LISTED_FILLED = ENDS_LISTED_MAX // 2

NEVER_S = float("-inf")
FOREVER_S = float("inf")


def lease_bound_s(lease_s: float, stop_timeout_s: float) -> float:
    """Return the longest time from the grant of a lease to the end of its runs.

    The worker's clock may be slow and its timer late, and the end of a run may take as
    long as a stop.
    """
    return lease_s / (1 - CLOCK_SLOWNESS) + LEASE_EXPIRY_MARGIN_S + stop_timeout_s


def late_calls_kept_s(lease_max_s: float, stop_timeout_s: float) -> float:
    """Return for how long a call without an answer, and what it does, may matter.

    It is carried out late, and grants the longest lease.
    """
    return LATE_ORDER_MAX_S + lease_bound_s(lease_max_s, stop_timeout_s)


class PollVerdict(Enum):
    """What the answer to a poll, or its failure, proves of the incarnation."""

    ALIVE = auto()
    # It is alive; its entry names another incarnation.
    MISNAMED = auto()
    # Another incarnation of the worker answered.
    REPLACED = auto()
    # A worker with another id answered.
    ADDRESS_TAKEN = auto()
    # No answer that proves anything.
    UNKNOWN = auto()


class OrderVerdict(Enum):
    """What the answer to an order, or its failure, proves of the order."""

    CARRIED_OUT = auto()
    # No copy of it was or will be carried out.
    REFUSED = auto()
    # This copy was refused; an earlier one may be carried out.
    IN_DOUBT = auto()
    # Nothing is proven, or a further copy may be accepted.
    RETRY = auto()
    # Another process answered.
    INCARNATION_ENDED = auto()


class EndWait(Enum):
    """Why a listed end is not acknowledged."""

    # The progress of its job is not stored.
    UNSTORED = "unstored"
    # A copy of its start, or of that of an earlier end, may still be carried out.
    HELD = "held"
    # No answered poll has said that the worker may drop it.
    UNSENT = "unsent"


@dataclass(slots=True, frozen=True)
class WaitingEnd:
    """A listed end that no answered poll has acknowledged.

    Attributes
    ----------
    number : int
        Its number at this incarnation of the worker.
    run_id : RunId
        The run that ended.
    listed_s : float
        When it was first listed.
    """

    number: int
    run_id: RunId
    listed_s: float


@dataclass(slots=True)
class StartAttempts:
    """The copies of a start that were sent to one incarnation.

    Attributes
    ----------
    is_lasting : bool
        Whether the task lasts until its job is cancelled.
    may_be_carried_out : bool
        Whether a copy got no answer.
    expired_count : int
        How often a copy was refused for an expired lease.
    clock_min_ms : int
        Least value of the incarnation's clock when the last copy was sent.
    """

    run_id: RunId
    is_lasting: bool = False
    may_be_carried_out: bool = False
    expired_count: int = 0
    clock_min_ms: int = 0


def may_be_in_flight(error: PlatformError) -> bool:
    """Return whether a call that failed may have been, or be, carried out."""
    is_unanswered = isinstance(error, WorkerUnreachableError)
    return is_unanswered and not isinstance(error, CallNotSentError)


class WorkerEvidence:
    """Concludes from the events of a worker's incarnation what may run on it.

    Each incarnation has its own object, so late answers to calls for a former one
    change nothing. What these calls may still do is carried over to the next.

    Parameters
    ----------
    lease_s : float
        Length of granted leases.
    lease_max_s : float
        Longest lease that the worker grants. The clock of the next incarnation starts
        anew, so a call for the former one grants this lease there.
    stop_timeout_s : float
        Longest time in which the worker ends a run, also one whose lease has expired.

    Attributes
    ----------
    lease_expiry_s : float
        When all leases of the worker have expired and their runs have ended.
    has_lease_expired : bool
        Whether they have, without an answer since.
    is_reachable : bool
        Whether the worker may get starts. It gets none before it may get a lease.
    is_refused : bool
        Whether the connection of the last poll was refused.
    broken_s : float
        When the connection of the first poll without an answer ended, or when that
        poll was sent if it timed out; infinitely early if the last one was answered.
    responded_s : float
        When the last poll was answered.
    lease_blockers : set of RunId
        Runs that may still start. No lease is granted before that is prevented: a
        worker carries out a late order with an expired lease if it holds a newer one.
    last_end_number : int
        Highest number of an end that was listed.
    unstored_ends : UnstoredEnds
        Ends that were read and are not known to be stored.
    started_at_ms : int
        Unix time of the start of the incarnation, as its last answer tells it; 0 if it
        is not known.
    """

    __slots__ = (
        "_acknowledged_number",
        "_acknowledging_number",
        "_carried_starts",
        "_clock_ms",
        "_copies_count_until_s",
        "_copies_expire_s",
        "_failed_polls",
        "_fenced_s",
        "_former_late_grants_end_s",
        "_granted_ms",
        "_held_ends",
        "_is_grant_under_way",
        "_kept_until_s",
        "_late_grants_end_s",
        "_late_lease_s",
        "_lease_max_s",
        "_lease_s",
        "_listed_ends",
        "_listed_from_s",
        "_misdirected_expiry_s",
        "_next_started_after_s",
        "_noted_number",
        "_poll_sent_s",
        "_stop_timeout_s",
        "_unacknowledged_ends",
        "_unanswered_starts",
        "_unread_ends",
        "_waiting_ends",
        "broken_s",
        "has_lease_expired",
        "is_reachable",
        "is_refused",
        "last_end_number",
        "lease_blockers",
        "lease_expiry_s",
        "responded_s",
        "started_at_ms",
        "unstored_ends",
    )

    def __init__(
        self, lease_s: float, lease_max_s: float, stop_timeout_s: float
    ) -> None:
        self._lease_s = lease_s
        self._lease_max_s = lease_max_s
        self._stop_timeout_s = stop_timeout_s
        self._late_lease_s = lease_bound_s(lease_max_s, stop_timeout_s)
        # When the leases have expired that calls for a former incarnation may have
        # granted, and until when such calls may grant leases.
        self._misdirected_expiry_s = NEVER_S
        self._former_late_grants_end_s = NEVER_S
        # Until when calls for this incarnation without an answer may grant leases.
        self._late_grants_end_s = NEVER_S
        self._is_grant_under_way = False
        # When the incarnation first answered under this link's fencing token.
        self._fenced_s = FOREVER_S
        self.started_at_ms = 0
        # The worker's clock at the last answer, 0 before the first one.
        self._clock_ms = 0
        # The next incarnation starts after the last answered poll was sent.
        self._poll_sent_s = NEVER_S
        self._next_started_after_s = NEVER_S
        self.responded_s = 0.0
        self._granted_ms = 0
        self._failed_polls = 0
        # Runs whose start was neither answered nor prevented by a confirmed stop.
        self._unanswered_starts: dict[RunId, None] = {}
        # Until when a copy of a start that got no answer may be carried out, by this or
        # a later incarnation, whether or not another copy was answered.
        self._copies_expire_s: dict[RunId, float] = {}
        # Until when the run of such a start counts although it has ended or is not
        # known to run, as the next incarnation may carry out the copy.
        self._copies_count_until_s: dict[RunId, float] = {}
        # Starts that were sent to a former incarnation; what this one lists of them is
        # the copy that had no answer.
        self._carried_starts: frozenset[RunId] = frozenset()
        # Until when runs count although the worker's leases have expired.
        self._kept_until_s: dict[RunId, float] = {}
        # From when on a run that still counts has to be listed.
        self._listed_from_s: dict[RunId, float] = {}
        self.lease_blockers: set[RunId] = set()
        self.lease_expiry_s = NEVER_S
        self.has_lease_expired = False
        self.is_reachable = True
        self.is_refused = False
        self.broken_s = NEVER_S
        # The worker may drop ends up to this number, as they are stored.
        self._acknowledged_number = 0
        # What the open poll acknowledges, and what an answered one has.
        self._acknowledging_number = 0
        self._noted_number = 0
        self.last_end_number = 0
        self.unstored_ends = UnstoredEnds()
        # How many ends the last answer lists.
        self._listed_ends = 0
        # Listed ends that do not count yet, by number, and the numbers of those that
        # did not when they were last listed.
        self._held_ends: dict[int, EndedRun] = {}
        self._unread_ends: set[int] = set()
        # Numbers of the listed ends that may not be acknowledged yet.
        self._unacknowledged_ends: set[int] = set()
        # Listed ends that no answered poll has acknowledged, by number, in the order
        # in which they were first listed.
        self._waiting_ends: dict[int, WaitingEnd] = {}

    # Incarnations

    def begin_incarnation(self, former_leases_expire_s: float) -> None:
        """Start to collect evidence on an incarnation of the worker.

        Parameters
        ----------
        former_leases_expire_s : float
            When all leases from a former leader have expired.
        """
        self._unanswered_starts = dict.fromkeys(self._copies_expire_s)
        self.lease_blockers = set(self._unanswered_starts)
        self.is_reachable = not self.lease_blockers
        self.lease_expiry_s = max(former_leases_expire_s, self._misdirected_expiry_s)

    def confirm_incarnation(self, is_settled: bool, now_s: float) -> None:
        """Record the first answer of the incarnation, under this link's fencing token.

        Calls for earlier incarnations have lower tokens, and grant no lease from now
        on.

        Parameters
        ----------
        is_settled : bool
            Whether no call for an earlier incarnation, by this or a former leader, may
            have granted a lease to this one that has not expired.
        now_s : float
            Current time.
        """
        if self._fenced_s < FOREVER_S:
            return
        self._fenced_s = now_s
        if not is_settled:
            expiry_s = now_s + self._late_lease_s
            self._misdirected_expiry_s = max(self._misdirected_expiry_s, expiry_s)
            # Holds before this leader has granted any lease, too.
            self.lease_expiry_s = max(self.lease_expiry_s, self._misdirected_expiry_s)
            self._update_lease_expiry()

    def have_longest_leases_expired(self, now_s: float) -> bool:
        """Return whether all leases by calls for earlier incarnations have expired."""
        is_fenced = self._fenced_s < FOREVER_S
        return is_fenced and now_s >= self._longest_leases_expire_s

    def carry_over(
        self, now_s: float, may_return: bool = True, is_replaced: bool = False
    ) -> "WorkerEvidence":
        """Return what is known of the worker's next incarnation as this one ends.

        Calls for this one may be carried out late by the next, whose clock starts anew,
        so they grant the longest lease there.

        Parameters
        ----------
        now_s : float
            Current time.
        may_return : bool
            Whether the worker may return to its address.
        is_replaced : bool
            Whether the next incarnation has been seen, and may run their copies.
        """
        carried = WorkerEvidence(self._lease_s, self._lease_max_s, self._stop_timeout_s)
        if may_return:
            carried._copies_expire_s = self.starts_in_flight(now_s)
            carried._copies_count_until_s = {
                run_id: self._copies_count_until_s.get(run_id, expires_s)
                for run_id, expires_s in carried._copies_expire_s.items()
                if run_id in self._copies_count_until_s or self.is_unanswered(run_id)
            }
            carried._carried_starts = frozenset(carried._copies_expire_s)
            if not is_replaced:
                carried._kept_until_s = dict(self._kept_until_s)
        carried._misdirected_expiry_s = now_s + self._late_lease_s
        carried._former_late_grants_end_s = self._find_late_grants_end_s(now_s)
        return carried

    def is_spent(self, now_s: float) -> bool:
        """Return whether no call for former incarnations has any effect any more."""
        kept_until_s = max(
            self._misdirected_expiry_s,
            self._former_late_grants_end_s,
            *(
                expires_s + self._late_lease_s
                for expires_s in self._copies_expire_s.values()
            ),
        )
        return now_s >= kept_until_s

    # Leases

    def lease_until_ms(self, now_s: float, leases_end_s: float) -> int:
        """Return the expiry of a lease that is granted now, on the worker's clock.

        A call without a response may still renew the lease, so none is extended until
        the worker responds again; otherwise the lease would never expire.

        Parameters
        ----------
        now_s : float
            Current time.
        leases_end_s : float
            Time beyond which no lease may be granted.
        """
        if not self._clock_ms:
            return 0
        if self._failed_polls or self.lease_blockers or now_s >= leases_end_s:
            return self._granted_ms
        until_s = min(now_s + self._lease_s, leases_end_s)
        until_ms = self._clock_ms + int((until_s - self.responded_s) * 1000)
        self._granted_ms = max(self._granted_ms, until_ms)
        return self._granted_ms

    @property
    def awaited_lease(self) -> str:
        """Which lease decides when the worker's leases have expired, for the log.

        ``former`` of a former leader, ``granted`` by this one, or ``longest``, which
        calls for a former incarnation may have granted.
        """
        if self._misdirected_expiry_s > NEVER_S and (
            self.lease_expiry_s >= self._misdirected_expiry_s
        ):
            return "longest"
        return "granted" if self._granted_ms else "former"

    def limit_former_leases(self, expire_s: float) -> None:
        """Lower the expiry of leases from a former leader."""
        if not self._granted_ms:
            self.lease_expiry_s = max(
                min(self.lease_expiry_s, expire_s), self._misdirected_expiry_s
            )

    def find_lease_expiry_s(self) -> float:
        """Return when the leases of a worker that does not answer have expired."""
        self._update_lease_expiry()
        return max(self.lease_expiry_s, self._misdirected_expiry_s)

    @property
    def _longest_leases_expire_s(self) -> float:
        """When all leases by calls for former incarnations have expired."""
        granted_until_s = min(self._former_late_grants_end_s, self._fenced_s)
        return max(self._misdirected_expiry_s, granted_until_s + self._late_lease_s)

    @property
    def lease_overrun_ms(self) -> int:
        """By how much the worker's clock has passed the leases granted to it.

        0 if calls for former incarnations may have granted longer ones.
        """
        if not self._granted_ms or self.responded_s < self._longest_leases_expire_s:
            return 0
        return max(0, self._clock_ms - self._granted_ms)

    @property
    def awaits_expiry(self) -> bool:
        """Whether the worker does not answer and its leases have not expired."""
        return self._failed_polls > 0 and not self.has_lease_expired

    def expire_leases(self, now_s: float) -> bool:
        """Return whether the leases of a worker that does not answer expire now."""
        if not self.awaits_expiry:
            return False
        self._update_lease_expiry()
        self.has_lease_expired = now_s >= self.lease_expiry_s
        if self.has_lease_expired:
            self.lease_blockers = set(self._unanswered_starts)
        return self.has_lease_expired

    def confirm_expiry(self, contact_s: float) -> DropCause | None:
        """Return why the runs of an expired worker may start elsewhere, if they may.

        If another daemon may have led before the leases expired, it may have renewed
        them. A later renewal keeps no run whose lease has expired.

        Parameters
        ----------
        contact_s : float
            Time of the last contact with the store that showed no successor.
        """
        if contact_s < self.lease_expiry_s - self._stop_timeout_s:
            return None
        self._listed_from_s.clear()
        return DropCause(DropEvidence.LEASES_EXPIRED, self.lease_expiry_s)

    def _find_late_grants_end_s(self, now_s: float) -> float:
        """Return until when calls without an answer may grant the next one leases."""
        end_s = max(self._former_late_grants_end_s, self._late_grants_end_s)
        if self._is_grant_under_way or self._unanswered_starts:
            end_s = max(end_s, now_s + LATE_ORDER_MAX_S)
        return end_s

    def _update_lease_expiry(self) -> None:
        if self._granted_ms:
            lease_left_s = (self._granted_ms - self._clock_ms) / 1000
            expiry_s = max(
                self.responded_s + lease_bound_s(lease_left_s, self._stop_timeout_s),
                self._misdirected_expiry_s,
            )
            # A late call extends only a lease that has not expired.
            granted_late_s = min(
                self._former_late_grants_end_s, self._fenced_s, expiry_s
            )
            self.lease_expiry_s = max(expiry_s, granted_late_s + self._late_lease_s)

    # Polls

    @property
    def is_answering(self) -> bool:
        """Whether the last poll was answered."""
        return self._clock_ms > 0 and not self._failed_polls

    def is_silent(self, now_s: float) -> bool:
        """Return whether the worker has not answered, or has not for a while."""
        if not self._clock_ms:
            return self._failed_polls > 0
        return (
            self._failed_polls >= POLL_FAILURES_UNREACHABLE
            and now_s - self.broken_s >= SILENCE_MIN_S
        )

    @property
    def is_untried(self) -> bool:
        """Whether no poll has been answered or has failed yet."""
        return not self._clock_ms and not self._failed_polls

    def begin_poll(
        self,
        now_s: float,
        leases_end_s: float,
        is_bare: bool = False,
        may_acknowledge: bool = True,
    ) -> tuple[int, int]:
        """Return what a poll that is sent now may say.

        After a failure, another incarnation may answer, for which neither value is
        valid. A number that the worker has noted is not repeated: the poll may be
        carried out late, and the next incarnation would drop ends that nobody has read.

        Parameters
        ----------
        now_s : float
            Current time.
        leases_end_s : float
            Time beyond which no lease may be granted.
        is_bare : bool
            Whether the poll may change nothing.
        may_acknowledge : bool
            Whether it may let the worker drop ends.

        Returns
        -------
        acknowledged_number : int
            Up to which number the worker may drop ends, 0 for nothing new.
        until_ms : int
            Expiry of the lease that the poll grants, 0 for none.
        """
        self._poll_sent_s = now_s
        self._acknowledging_number = 0
        if self._failed_polls or is_bare:
            return 0, 0
        until_ms = self.lease_until_ms(now_s, leases_end_s)
        self._is_grant_under_way = until_ms > 0
        if may_acknowledge and self.awaits_acknowledgement:
            self._acknowledging_number = self._acknowledgeable_number
        return self._acknowledging_number, until_ms

    def judge_poll(
        self, result: PollResult, entry_started_at_ms: int, now_s: float
    ) -> PollVerdict:
        """Judge the answer to a poll.

        Parameters
        ----------
        result : PollResult
            The answer.
        entry_started_at_ms : int
            Start of the incarnation that the worker's entry names, 0 if not known.
        now_s : float
            Current time.
        """
        self._is_grant_under_way = False
        is_other = (
            entry_started_at_ms
            and result.started_at_ms
            and result.started_at_ms != entry_started_at_ms
        )
        if is_other and self._clock_ms:
            return PollVerdict.REPLACED
        self._failed_polls = 0
        if self._acknowledging_number > self._noted_number:
            self._noted_number = self._acknowledging_number
            for number in [n for n in self._waiting_ends if n <= self._noted_number]:
                del self._waiting_ends[number]
        self.is_refused = False
        self.broken_s = NEVER_S
        self._clock_ms = result.clock_ms
        self._listed_ends = len(result.ended)
        self.started_at_ms = result.started_at_ms or entry_started_at_ms
        self._next_started_after_s = self._poll_sent_s
        self.responded_s = now_s
        self.has_lease_expired = False
        self._kept_until_s.clear()
        self._update_lease_expiry()
        self.is_reachable = self.is_reachable or not self.lease_blockers
        return PollVerdict.MISNAMED if is_other else PollVerdict.ALIVE

    def judge_failed_poll(
        self, error: PlatformError, sent_s: float, wait_s: float, now_s: float
    ) -> PollVerdict:
        """Judge the failure of a poll that the worker might delay by `wait_s`."""
        if self._is_grant_under_way and may_be_in_flight(error):
            self._late_grants_end_s = now_s + LATE_ORDER_MAX_S
        self._is_grant_under_way = False
        if not self._failed_polls:
            self.broken_s = now_s if now_s - sent_s <= wait_s else sent_s
        if isinstance(error, WrongIncarnationError):
            return PollVerdict.ADDRESS_TAKEN
        self.is_refused = isinstance(error, ConnectionRefusedByWorkerError)
        self._failed_polls += 1
        if self._failed_polls >= POLL_FAILURES_UNREACHABLE:
            self.is_reachable = False
        return PollVerdict.UNKNOWN

    # Ends

    def hold_ends(self, ends: Sequence[EndedRun], now_s: float) -> list[EndedRun]:
        """Return the listed ends that do not count yet.

        While a copy of a start may still be carried out, the next incarnation may run
        the task again. An end of such a run is not acknowledged, so that nobody has
        taken note of it if the incarnation is lost before. Unless the task is done, it
        does not count either, as the task would start elsewhere.
        """
        self._held_ends = {}
        self._unacknowledged_ends = set()
        for end in ends:
            if end.run in self._carried_starts:
                continue
            if now_s >= self._copies_count_until_s.get(end.run, NEVER_S):
                continue
            self._unacknowledged_ends.add(end.number)
            is_unread = (
                end.number > self.last_end_number or end.number in self._unread_ends
            )
            if end.outcome != "done" and is_unread:
                self._held_ends[end.number] = end
        return list(self._held_ends.values())

    def is_newly_held(self, end: EndedRun) -> bool:
        """Return whether a held end is listed for the first time."""
        return end.number not in self._unread_ends

    def release_ends(self) -> None:
        """Let all listed ends count, as the worker leaves."""
        self.hold_ends((), NEVER_S)

    def read_end(self, number: int) -> bool:
        """Record a listed end; return whether it counts for the first time."""
        if number in self._held_ends:
            self._unread_ends.add(number)
        elif number in self._unread_ends:
            self._unread_ends.discard(number)
            return True
        elif number > self.last_end_number:
            self.last_end_number = number
            return True
        self.last_end_number = max(self.last_end_number, number)
        return False

    def record_listed(self, ends: Sequence[EndedRun], now_s: float) -> None:
        """Record when ends were first listed, until they are acknowledged."""
        for end in ends:
            if end.number > self._noted_number and end.number not in self._waiting_ends:
                self._waiting_ends[end.number] = WaitingEnd(end.number, end.run, now_s)

    @property
    def has_waiting_ends(self) -> bool:
        """Whether a listed end is not acknowledged by an answered poll."""
        return bool(self._waiting_ends)

    def find_waits(self) -> dict[EndWait, tuple[int, WaitingEnd]]:
        """Return how many ends wait for what, and the one that was listed first."""
        if not self._waiting_ends:
            return {}
        if not self._unacknowledged_ends and not self._unread_ends:
            # The usual cases, told without a look at the ends, which may be many.
            oldest = next(iter(self._waiting_ends.values()))
            if self._acknowledged_number <= self._noted_number:
                return {EndWait.UNSTORED: (len(self._waiting_ends), oldest)}
            if self._acknowledged_number >= self.last_end_number:
                return {EndWait.UNSENT: (len(self._waiting_ends), oldest)}
        acknowledgeable = self._acknowledgeable_number
        storable = self.storable_end_number
        found: dict[EndWait, tuple[int, WaitingEnd]] = {}
        for number, end in self._waiting_ends.items():
            wait = EndWait.HELD
            if number <= acknowledgeable:
                wait = EndWait.UNSENT
            elif self._acknowledged_number < number <= storable:
                wait = EndWait.UNSTORED
            count, oldest = found.get(wait, (0, end))
            found[wait] = count + 1, oldest
        return found

    @property
    def is_list_filled(self) -> bool:
        """Whether the worker may soon have more ends than it lists."""
        return self._listed_ends >= ENDS_LISTED_FILLED

    @property
    def storable_end_number(self) -> int:
        """Up to which number all ends are read."""
        return min(self._unread_ends, default=self.last_end_number + 1) - 1

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether the worker may drop ends that no answered poll has acknowledged."""
        return self._acknowledgeable_number > self._noted_number

    @property
    def _acknowledgeable_number(self) -> int:
        """Up to which number the worker may drop ends."""
        held_from = min(
            self._unacknowledged_ends, default=self._acknowledged_number + 1
        )
        return min(self._acknowledged_number, held_from - 1)

    def acknowledge(self, number: int) -> bool:
        """Record that the ends up to `number` are stored; return whether any is new."""
        if number <= self._acknowledged_number:
            return False
        self._acknowledged_number = number
        return True

    @property
    def has_unstored_ends(self) -> bool:
        """Whether a listed end may not be acknowledged yet."""
        return self.last_end_number > self._acknowledgeable_number

    @property
    def is_quiescent(self) -> bool:
        """Whether no start is unanswered and every listed end is acknowledged."""
        return not self._unanswered_starts and not self.has_unstored_ends

    # Starts

    def begin_start(self, run_id: RunId, is_lasting: bool = False) -> StartAttempts:
        """Record that a start is about to be sent."""
        self._unanswered_starts[run_id] = None
        return StartAttempts(run_id, is_lasting)

    def begin_attempt(
        self, attempts: StartAttempts, now_s: float, leases_end_s: float
    ) -> int:
        """Return the expiry of the lease that a copy sent now grants."""
        attempts.clock_min_ms = 0
        if self._clock_ms:
            elapsed_s = now_s - self.responded_s
            elapsed_ms = int(elapsed_s * 1000 * (1 - CLOCK_SLOWNESS))
            attempts.clock_min_ms = self._clock_ms + elapsed_ms - CLOCK_MARGIN_MS
        return self.lease_until_ms(now_s, leases_end_s)

    def judge_start(
        self, attempts: StartAttempts, clock_ms: int, now_s: float
    ) -> OrderVerdict:
        """Judge the answer to a start, with the worker's clock."""
        if clock_ms < attempts.clock_min_ms:
            # The next incarnation carries out the order, with the longest lease.
            self._misdirected_expiry_s = now_s + self._late_lease_s
            return OrderVerdict.INCARNATION_ENDED
        if clock_ms <= (now_s - self._next_started_after_s) * 1000 + CLOCK_MARGIN_MS:
            # The next incarnation may have answered, as the worker has just started.
            self._copies_expire_s[attempts.run_id] = now_s + LATE_ORDER_MAX_S
            self._late_grants_end_s = now_s + LATE_ORDER_MAX_S
        self._confirm_start(attempts.run_id, now_s)
        return OrderVerdict.CARRIED_OUT

    def judge_failed_start(
        self, attempts: StartAttempts, error: PlatformError, now_s: float
    ) -> OrderVerdict:
        """Judge the failure or refusal of a copy of a start."""
        if isinstance(error, WorkerUnreachableError):
            if may_be_in_flight(error):
                attempts.may_be_carried_out = True
                self._record_unanswered_copy(attempts, now_s)
            return OrderVerdict.RETRY
        if isinstance(error, WrongIncarnationError):
            if not attempts.may_be_carried_out:
                self.settle_start(attempts.run_id)
            return OrderVerdict.INCARNATION_ENDED
        reason = error.reason if isinstance(error, OrderRefusedError) else None
        if attempts.may_be_carried_out and reason is RefusalReason.SUPERSEDED:
            self._confirm_start(attempts.run_id, now_s)
            return OrderVerdict.CARRIED_OUT
        attempts.expired_count += reason is RefusalReason.EXPIRED
        if reason is RefusalReason.FENCED or (
            reason is RefusalReason.EXPIRED
            and attempts.expired_count < EXPIRED_STARTS_MAX
        ):
            return OrderVerdict.RETRY
        if attempts.may_be_carried_out:
            return OrderVerdict.IN_DOUBT
        self.settle_start(attempts.run_id)
        return OrderVerdict.REFUSED

    def abandon_start(self, attempts: StartAttempts, now_s: float) -> None:
        """Record that no further copy of a start is sent."""
        if not attempts.may_be_carried_out:
            self.settle_start(attempts.run_id)
            self.expect_listed(attempts.run_id, now_s)

    @staticmethod
    def judge_failed_stop(error: PlatformError) -> OrderVerdict:
        """Judge the failure or refusal of a stop.

        After another refusal than those that are retried, no earlier order can start
        the run.
        """
        if isinstance(error, WorkerUnreachableError):
            return OrderVerdict.RETRY
        if isinstance(error, WrongIncarnationError):
            return OrderVerdict.INCARNATION_ENDED
        if isinstance(error, OrderRefusedError) and error.reason in STOP_RETRY_REASONS:
            return OrderVerdict.RETRY
        return OrderVerdict.CARRIED_OUT

    def _confirm_start(self, run_id: RunId, now_s: float) -> None:
        self.settle_start(run_id)
        if not self.has_lease_expired:
            self.expect_listed(run_id, now_s)

    def _record_unanswered_copy(self, attempts: StartAttempts, now_s: float) -> None:
        for other, expires_s in list(self._copies_expire_s.items()):
            if now_s >= expires_s:
                del self._copies_expire_s[other]
                self._copies_count_until_s.pop(other, None)
        run_id = attempts.run_id
        self._copies_expire_s[run_id] = now_s + LATE_ORDER_MAX_S
        counts_s = LASTING_LATE_ORDER_MAX_S if attempts.is_lasting else LATE_ORDER_MAX_S
        self._copies_count_until_s[run_id] = now_s + counts_s
        self._late_grants_end_s = now_s + LATE_ORDER_MAX_S

    def is_unanswered(self, run_id: RunId) -> bool:
        """Return whether a start was neither answered nor prevented."""
        return run_id in self._unanswered_starts

    def settle_start(self, run_id: RunId) -> None:
        """Record that a start was answered, or prevented by a confirmed stop."""
        self._unanswered_starts.pop(run_id, None)

    def starts_in_flight(self, now_s: float) -> dict[RunId, float]:
        """Return until when starts may be carried out, also by a later incarnation."""
        starts = {
            run_id: expires_s
            for run_id, expires_s in self._copies_expire_s.items()
            if now_s < expires_s
        }
        for run_id in self._unanswered_starts:
            starts.setdefault(run_id, now_s + LATE_ORDER_MAX_S)
        return starts

    def keep_starts(self, run_ids: Set[RunId], now_s: float) -> set[RunId]:
        """Return the runs that count on although the worker's leases have expired.

        The worker may return, and carry out a copy of their starts. An incarnation that
        is known and has not answered this link may do so, and run it for the longest
        lease.

        Parameters
        ----------
        run_ids : set of RunId
            Runs that count.
        now_s : float
            Current time.
        """
        seen_s = self._misdirected_expiry_s - self._late_lease_s
        may_be_running = self._fenced_s == FOREVER_S and seen_s > NEVER_S
        kept = set()
        for run_id in self._copies_count_until_s.keys() & run_ids:
            until_s = self._copies_count_until_s[run_id]
            if may_be_running:
                until_s = self._copies_expire_s[run_id] + self._late_lease_s
                until_s = min(until_s, seen_s + LATE_START_WAIT_MAX_S)
            if now_s < until_s:
                self._kept_until_s[run_id] = until_s
                self.expect_listed(run_id, until_s)
                kept.add(run_id)
        return kept

    def expired_starts(
        self, run_ids: Iterable[RunId], contact_s: float
    ) -> dict[RunId, DropCause]:
        """Return which runs of starts without an answer cannot exist any more.

        A later incarnation that is not known yet may have carried out a copy, and run
        it for the longest lease.

        Parameters
        ----------
        run_ids : iterable of RunId
            Runs that count although their incarnation has ended.
        contact_s : float
            Time of the last contact with the store that showed no successor, which
            could have renewed the lease.
        """
        return {
            run_id: DropCause(DropEvidence.ORDER_EXPIRED, expiry_s)
            for run_id in run_ids
            if contact_s >= (expiry_s := self._find_start_expiry_s(run_id))
        }

    def extend_kept(self, now_s: float) -> None:
        """Let kept runs count longer, as the next incarnation has been announced."""
        for run_id, until_s in self._kept_until_s.items():
            copy_expires_s = self._copies_expire_s.get(run_id, NEVER_S)
            expires_s = copy_expires_s + self._late_lease_s
            longest_s = min(expires_s, now_s + LATE_START_WAIT_MAX_S)
            self._kept_until_s[run_id] = max(until_s, longest_s)

    def kept_runs(self, run_ids: Set[RunId]) -> Set[RunId]:
        """Return the runs that count although the worker's leases have expired."""
        return run_ids & self._kept_until_s.keys()

    def _find_start_expiry_s(self, run_id: RunId) -> float:
        """Return until when a run counts that a lost worker may start."""
        if run_id in self._kept_until_s:
            return self._kept_until_s[run_id]
        return self._copies_expire_s.get(run_id, FOREVER_S) + self._late_lease_s

    def late_runs(self, now_s: float) -> dict[RunId, float]:
        """Return until when runs may exist that starts in flight may still start."""
        return {
            run_id: expires_s + self._late_lease_s
            for run_id, expires_s in self.starts_in_flight(now_s).items()
        }

    def unblock_leases(self, run_id: RunId, now_s: float) -> None:
        """Record a confirmed stop of a run that may start."""
        self.lease_blockers.discard(run_id)
        self.expect_stopped(run_id, now_s)

    # Listings

    def confirm_listed(self, run_id: RunId, now_s: float) -> None:
        """Record that a run is listed whose start had no answer.

        No copy can start it again at this incarnation.
        """
        self.lease_blockers.discard(run_id)
        self.settle_start(run_id)
        self.expect_listed(run_id, now_s)

    def expect_listed(self, run_id: RunId, from_s: float) -> None:
        """Record that each poll sent after `from_s` lists a run until it has ended."""
        previous_s = self._listed_from_s.get(run_id, NEVER_S)
        self._listed_from_s[run_id] = max(previous_s, from_s)

    def expect_stopped(self, run_id: RunId, now_s: float) -> None:
        """Record a confirmed stop of a run.

        The stop holds for this incarnation only, so the run counts while a copy of its
        start may reach the next one.
        """
        counts_until_s = self._copies_count_until_s.get(run_id, NEVER_S)
        self.expect_listed(run_id, max(now_s, counts_until_s))

    def limit_poll_wait_ms(self, wait_ms: int, now_s: float) -> int:
        """Return how long a poll may wait, so that the next one can drop a run."""
        due_s = min(
            (due_s for due_s in self._listed_from_s.values() if due_s >= now_s),
            default=0.0,
        )
        return min(wait_ms, int((due_s - now_s) * 1000) + 1) if due_s else wait_ms

    def forget_run(self, run_id: RunId) -> None:
        """Forget a run that no longer counts."""
        self._listed_from_s.pop(run_id, None)
        self._kept_until_s.pop(run_id, None)

    def unlisted_runs(
        self, run_ids: Iterable[RunId], result: PollResult, sent_s: float
    ) -> dict[RunId, DropCause]:
        """Return which of the runs have ended, or cannot start, by the last answer.

        Parameters
        ----------
        run_ids : iterable of RunId
            Runs that count.
        result : PollResult
            The answer.
        sent_s : float
            When the poll was sent. It may have overtaken an order that was answered
            later.
        """
        if len(result.ended) >= ENDS_LISTED_MAX:
            return {}
        listed = {listed_run.run for listed_run in result.running}
        listed.update(end.run for end in self._held_ends.values())
        cause = DropCause(DropEvidence.NOT_LISTED, self.responded_s)
        return {
            run_id: cause
            for run_id in run_ids
            if self._listed_from_s.get(run_id, sent_s) < sent_s and run_id not in listed
        }
