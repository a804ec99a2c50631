"""What the leader knows of one incarnation of a worker, and what that proves."""

from collections.abc import Iterable

from dogwoodlever._fleet_types import PollResult, RunId

# Fraction by which a worker's clock may be slow.
CLOCK_SLOWNESS = 0.02
# Covers the rounding of the worker's and the scheduler's clocks.
CLOCK_MARGIN_MS = 50
# Covers a late timer of the worker.
LEASE_EXPIRY_MARGIN_S = 0.25
# How long after its sending an order without an answer may still be carried out. A copy
# that reaches the next incarnation of a worker is not recognised as a repetition there.
LATE_ORDER_MAX_S = 12.5
# Most ends in one response of a worker; the others follow once these are acknowledged.
ENDS_LISTED_MAX = 500

NEVER_S = float("-inf")


def lease_bound_s(lease_s: float) -> float:
    """Return the longest time from the grant of a lease to its expiry.

    The worker's clock may be slow and its timer late.
    """
    return lease_s * (1 + CLOCK_SLOWNESS) + LEASE_EXPIRY_MARGIN_S


class WorkerEvidence:
    """Concludes from the events of a worker's incarnation what may run on it.

    Parameters
    ----------
    lease_s : float
        Length of granted leases.
    lease_max_s : float
        Longest lease that the worker grants. The clock of the next incarnation starts
        anew, so a call for the former one grants this lease there.
    former_leases_expire_s : float
        When all leases from a former leader have expired.
    misdirected_expiry_s : float
        When the leases have expired that calls for a former incarnation may have
        granted.
    late_grants_end_s : float
        Until when calls for earlier incarnations may still grant leases.
    starts_in_flight : dict of RunId to float
        Starts sent to earlier incarnations, and until when they may be carried out.

    Attributes
    ----------
    lease_expiry_s : float
        When all leases of the worker have expired.
    has_lease_expired : bool
        Whether they have, without an answer since.
    failed_polls : int
        Polls in a row without an answer.
    responded_s : float
        When the last poll was answered.
    lease_blockers : set of RunId
        Runs that may still start. No lease is granted before that is prevented: a
        worker carries out a late order with an expired lease if it holds a newer one.
    """

    __slots__ = (
        "_clock_ms",
        "_copies_expire_s",
        "_former_late_grants_end_s",
        "_granted_ms",
        "_is_grant_under_way",
        "_late_grants_end_s",
        "_late_lease_s",
        "_lease_s",
        "_listed_from_s",
        "_misdirected_expiry_s",
        "_unanswered_starts",
        "failed_polls",
        "has_lease_expired",
        "lease_blockers",
        "lease_expiry_s",
        "responded_s",
    )

    def __init__(
        self,
        lease_s: float,
        lease_max_s: float,
        former_leases_expire_s: float = NEVER_S,
        misdirected_expiry_s: float = NEVER_S,
        late_grants_end_s: float = NEVER_S,
        starts_in_flight: dict[RunId, float] | None = None,
    ) -> None:
        self._lease_s = lease_s
        self._late_lease_s = lease_bound_s(lease_max_s)
        self._misdirected_expiry_s = misdirected_expiry_s
        self._former_late_grants_end_s = late_grants_end_s
        # Until when calls for this incarnation without an answer may grant leases.
        self._late_grants_end_s = NEVER_S
        self._is_grant_under_way = False
        # The worker's clock at the last answer, 0 before the first one.
        self._clock_ms = 0
        self.responded_s = 0.0
        self._granted_ms = 0
        self.failed_polls = 0
        # Runs whose start was neither answered nor prevented by a confirmed stop.
        self._unanswered_starts = dict.fromkeys(starts_in_flight or ())
        # Until when a copy of a start that got no answer may be carried out, by this or
        # a later incarnation, whether or not another copy was answered.
        self._copies_expire_s = dict(starts_in_flight or ())
        # From when on a run that still counts has to be listed.
        self._listed_from_s: dict[RunId, float] = {}
        self.lease_blockers = set(self._unanswered_starts)
        self.lease_expiry_s = max(former_leases_expire_s, misdirected_expiry_s)
        self.has_lease_expired = False

    # Leases

    @property
    def is_polled(self) -> bool:
        """Whether this incarnation has answered a poll."""
        return self._clock_ms > 0

    @property
    def is_answering(self) -> bool:
        """Whether the last poll was answered."""
        return self.is_polled and not self.failed_polls

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
        if self.failed_polls or self.lease_blockers:
            return self._granted_ms
        until_s = min(now_s + self._lease_s, leases_end_s)
        until_ms = self._clock_ms + int((until_s - self.responded_s) * 1000)
        self._granted_ms = max(self._granted_ms, until_ms)
        return self._granted_ms

    def clock_lower_bound_ms(self, now_s: float) -> int:
        """Return the least value of the clock of the polled incarnation now."""
        if not self._clock_ms:
            return 0
        elapsed_ms = int((now_s - self.responded_s) * 1000 * (1 - CLOCK_SLOWNESS))
        return self._clock_ms + elapsed_ms - CLOCK_MARGIN_MS

    def limit_former_leases(self, expire_s: float) -> None:
        """Lower the expiry of leases from a former leader."""
        if not self._granted_ms:
            self.lease_expiry_s = max(
                min(self.lease_expiry_s, expire_s), self._misdirected_expiry_s
            )

    def expire_leases(self, now_s: float) -> bool:
        """Return whether the leases of a worker that does not answer expire now."""
        if self.has_lease_expired or not self.failed_polls:
            return False
        self._update_lease_expiry()
        self.has_lease_expired = now_s >= self.lease_expiry_s
        if self.has_lease_expired:
            self.lease_blockers = set(self._unanswered_starts)
        return self.has_lease_expired

    def confirm_expiry(self, contact_s: float) -> bool:
        """Return whether the runs of an expired worker may start elsewhere.

        If another daemon may have led by then, it may have renewed the leases.

        Parameters
        ----------
        contact_s : float
            Time of the last contact with the store that showed no successor.
        """
        if contact_s < self.lease_expiry_s:
            return False
        self._listed_from_s.clear()
        return True

    def late_grants_end_s(self, now_s: float) -> float:
        """Return until when calls without an answer may grant the next one leases."""
        end_s = max(self._former_late_grants_end_s, self._late_grants_end_s)
        if self._is_grant_under_way or self._unanswered_starts:
            end_s = max(end_s, now_s + LATE_ORDER_MAX_S)
        return end_s

    def _update_lease_expiry(self) -> None:
        if self._granted_ms:
            lease_left_s = (self._granted_ms - self._clock_ms) / 1000
            lease_left_s = lease_left_s / (1 - CLOCK_SLOWNESS) + LEASE_EXPIRY_MARGIN_S
            expiry_s = max(self.responded_s + lease_left_s, self._misdirected_expiry_s)
            # A late call extends only a lease that has not expired.
            granted_late_s = min(self._former_late_grants_end_s, expiry_s)
            self.lease_expiry_s = max(expiry_s, granted_late_s + self._late_lease_s)

    # Polls

    def begin_poll(self, now_s: float, leases_end_s: float) -> int:
        """Return the expiry of the lease that a poll grants, 0 for none.

        After a failure, another incarnation may answer, for which the time of the
        lease is not valid.
        """
        until_ms = 0
        if not self.failed_polls:
            until_ms = self.lease_until_ms(now_s, leases_end_s)
        self._is_grant_under_way = until_ms > 0
        return until_ms

    def end_poll(self, now_s: float, is_unanswered: bool = False) -> None:
        """Record that the poll under way was answered, or that it got no answer."""
        if self._is_grant_under_way and is_unanswered:
            self._late_grants_end_s = now_s + LATE_ORDER_MAX_S
        self._is_grant_under_way = False

    def record_clock(self, now_s: float, clock_ms: int) -> None:
        """Record the answer of this incarnation to a poll."""
        self.failed_polls = 0
        self._clock_ms = clock_ms
        self.responded_s = now_s
        self.has_lease_expired = False
        self._update_lease_expiry()

    # Starts

    def begin_start(self, run_id: RunId) -> None:
        """Record that a start is about to be sent."""
        self._unanswered_starts[run_id] = None

    def record_unanswered_copy(self, run_id: RunId, now_s: float) -> None:
        """Record that a copy of a start, which grants a lease, got no answer."""
        for other, expires_s in list(self._copies_expire_s.items()):
            if now_s >= expires_s:
                del self._copies_expire_s[other]
        self._copies_expire_s[run_id] = now_s + LATE_ORDER_MAX_S
        self._late_grants_end_s = now_s + LATE_ORDER_MAX_S

    def is_unanswered(self, run_id: RunId) -> bool:
        """Return whether a start was neither answered nor prevented."""
        return run_id in self._unanswered_starts

    def settle_start(self, run_id: RunId) -> None:
        """Record that a start was answered, or prevented by a confirmed stop."""
        self._unanswered_starts.pop(run_id, None)

    @property
    def has_unanswered_starts(self) -> bool:
        """Whether a start was neither answered nor prevented."""
        return bool(self._unanswered_starts)

    def starts_in_flight(self, now_s: float) -> dict[RunId, float]:
        """Return until when starts may be carried out by the next incarnation."""
        starts = {
            run_id: expires_s
            for run_id, expires_s in self._copies_expire_s.items()
            if now_s < expires_s
        }
        for run_id in self._unanswered_starts:
            starts.setdefault(run_id, now_s + LATE_ORDER_MAX_S)
        return starts

    def late_runs(self, now_s: float) -> dict[RunId, float]:
        """Return until when runs may exist that starts in flight may still start."""
        return {
            run_id: expires_s + self._late_lease_s
            for run_id, expires_s in self.starts_in_flight(now_s).items()
        }

    def unblock_leases(self, run_id: RunId, now_s: float) -> None:
        """Record a confirmed stop of a run that may start.

        The stop holds for this incarnation only, so the run counts until no copy of its
        start is in flight.
        """
        copy_expires_s = self._copies_expire_s.get(run_id, NEVER_S)
        self.expect_listed(run_id, max(now_s, copy_expires_s))

    # Listings

    def expect_listed(self, run_id: RunId, from_s: float) -> None:
        """Record that each poll sent after `from_s` lists a run until it has ended."""
        previous_s = self._listed_from_s.get(run_id, NEVER_S)
        self._listed_from_s[run_id] = max(previous_s, from_s)

    def forget_run(self, run_id: RunId) -> None:
        """Forget a run that no longer counts."""
        self._listed_from_s.pop(run_id, None)

    def unlisted_runs(
        self, run_ids: Iterable[RunId], result: PollResult, sent_s: float
    ) -> list[RunId]:
        """Return which of the runs have ended, or cannot start, by a poll's answer.

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
            return []
        listed = {listed_run.run for listed_run in result.running}
        return [
            run_id
            for run_id in run_ids
            if self._listed_from_s.get(run_id, sent_s) < sent_s and run_id not in listed
        ]
