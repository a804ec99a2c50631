"""How long workers that do not answer may still run tasks, stored for successors.

Work of a worker that a leader cannot reach may start elsewhere once every lease of that
worker has expired. A successor does not know when its predecessors granted the last
one. If each leader counted the longest lease from its own election, leaders that change
more often than that would never reach the end of the wait. The leader therefore stores
the time that is left, and a successor counts on from when its daemon saw the record.

A worker that may be named in the record gets no lease and no start before a record
without it is stored. What a record says of a worker thus holds until it is replaced,
whoever leads. Only durations are stored, so the clocks of the daemons may differ.
"""

import math
from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import CommitResult, FleetStore, Put, Record
from dogwoodlever._fleet_records import (
    TERM_KEY,
    UNREACHABLE_WORKERS_KEY,
    UnreachableWorkersRecord,
    decode_unreachable_workers,
    encode,
)
from dogwoodlever._logs import log_event
from dogwoodlever._repeated_write import ConflictError, RepeatedWrite
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    StoredRecordError,
    StoreRefusedError,
    StoreRejectedError,
)

# Least interval of two writes, which batches the workers that fail together.
WRITE_INTERVAL_S = 0.1
# Interval of the writes while a wait is left. A daemon that has started since the last
# one counts the wait from its start.
REFRESH_INTERVAL_S = 1.0
# Covers the rounding of a stored wait.
ROUNDING_S = 0.01
# Of a write that was certainly not carried out, and will not be.
NOT_DONE_ERRORS = (
    ConflictError,
    LeaseEndedError,
    StoreRefusedError,
    StoreRejectedError,
)


class UnreachableWorkers:
    """Record of the workers that the leader cannot reach.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    term : int
        Number of the leader's term.
    get_term_revision : callable
        Returns the revision of this leader's term record.
    get_seen_s : callable
        Called with a revision of the record; returns when this daemon saw it, on the
        reactor clock.
    on_stored : callable
        Called after each write.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        term: int,
        get_term_revision: Callable[[], int],
        get_seen_s: Callable[[int], float],
        on_stored: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._term = term
        self._get_term_revision = get_term_revision
        self._get_seen_s = get_seen_s
        self._on_stored = on_stored
        # When the leases have expired by what the former leader stored, by worker id.
        self._former_expiries_s: dict[str, float] = {}
        # The same by what this leader knows, of the workers that it names.
        self._expiries_s: dict[str, float] = {}
        # Workers in the stored record, or in one whose write had no answer.
        self._possibly_named: frozenset[str] = frozenset()
        # When the leases have expired by the stored record.
        self._stored_expiries_s: dict[str, float] = {}
        self._has_waits = False
        self._is_unreadable = False
        self._written_s = clock.seconds()
        self._revision = 0
        self._writing = RepeatedWrite("unreachable", clock, self._write_once)

    def close(self) -> None:
        """Stop writing."""
        self._writing.close()

    def load(self, record: Record | None, kept_since_term: int) -> None:
        """Load the record of the former leader.

        Parameters
        ----------
        record : Record or None
            The stored record.
        kept_since_term : int
            First of the terms in a row whose leaders keep the record.
        """
        if record is None or record.value is None:
            return
        self._revision = record.revision
        try:
            stored = decode_unreachable_workers(record.value)
        except StoredRecordError as error:
            log_event("unreachable.unreadable", why=str(error)[:160])
            # A leader of another build may read it.
            self._is_unreadable = True
            return
        if stored.term < kept_since_term:
            return
        seen_s = self._get_seen_s(record.revision)
        self._former_expiries_s = {
            worker_id: seen_s + max(0, wait_ms) / 1000
            for worker_id, wait_ms in stored.waits_ms.items()
        }
        self._possibly_named = frozenset(stored.waits_ms)
        self._expiries_s = dict(self._former_expiries_s)
        self._stored_expiries_s = self._expiries_s
        self._has_waits = any(wait_ms > 0 for wait_ms in stored.waits_ms.values())
        if stored.waits_ms:
            log_event(
                "unreachable.loaded",
                count=len(stored.waits_ms),
                term=stored.term,
                seen_s=self._clock.seconds() - seen_s,
                left_s=self._longest_wait_s(),
            )

    def former_expiry_s(self, worker_id: str) -> float:
        """Return when a worker's leases have expired by the former leader's record."""
        return self._former_expiries_s.get(worker_id, math.inf)

    def was_named(self, worker_id: str) -> bool:
        """Return whether the former leader's record names a worker."""
        return worker_id in self._former_expiries_s

    def may_be_named(self, worker_id: str) -> bool:
        """Return whether a successor may find a worker in the record."""
        return self._is_unreadable or worker_id in self._possibly_named

    def set_unreachable(self, expiries_s: dict[str, float]) -> None:
        """Name these workers only, with the times at which their leases expire."""
        self._expiries_s = expiries_s
        self._write()

    def withdraw(self, worker_id: str) -> None:
        """Name a worker no longer, since it has answered."""
        self._former_expiries_s.pop(worker_id, None)
        self._expiries_s.pop(worker_id, None)
        if worker_id in self._possibly_named:
            self._write()

    def _longest_wait_s(self) -> float:
        now_s = self._clock.seconds()
        return max((s - now_s for s in self._expiries_s.values()), default=0.0)

    def _is_due(self) -> bool:
        """Return whether the record has to be written."""
        if self._is_unreadable or self._possibly_named != self._expiries_s.keys():
            return True
        if any(
            expiry_s > self._stored_expiries_s.get(worker_id, -math.inf) + ROUNDING_S
            for worker_id, expiry_s in self._expiries_s.items()
        ):
            return True
        age_s = self._clock.seconds() - self._written_s
        return self._has_waits and age_s >= REFRESH_INTERVAL_S

    def _write(self) -> None:
        """Write until the stored record names the workers in memory."""
        self._writing.start()

    @inlineCallbacks
    def _write_once(self):
        """Write the record if it is due; the result is None if it is not."""
        if not self._is_due():
            return None
        now_s = self._clock.seconds()
        waits_ms = {
            worker_id: max(0, math.ceil((expiry_s - now_s) * 1000))
            for worker_id, expiry_s in self._expiries_s.items()
        }
        named_before = self._possibly_named
        self._possibly_named |= waits_ms.keys()
        try:
            result = yield self._commit(UnreachableWorkersRecord(self._term, waits_ms))
            if not result.revision:
                self._apply_conflict(result)
        except NOT_DONE_ERRORS:
            # Workers that answer are not withheld for a record that was not written.
            self._possibly_named = named_before
            raise
        # Earlier writes without an answer expect an older revision.
        self._revision = result.revision
        self._possibly_named = frozenset(waits_ms)
        self._stored_expiries_s = {
            worker_id: now_s + wait_ms / 1000 for worker_id, wait_ms in waits_ms.items()
        }
        self._is_unreadable = False
        self._written_s = now_s
        self._has_waits = any(waits_ms.values())
        log_event(
            "unreachable.stored",
            count=len(waits_ms),
            left_s=max(waits_ms.values(), default=0) / 1000,
        )
        self._on_stored()
        return WRITE_INTERVAL_S

    def _commit(self, record: UnreachableWorkersRecord):
        expected = {
            TERM_KEY: self._get_term_revision(),
            UNREACHABLE_WORKERS_KEY: self._revision,
        }
        return self._store.commit(
            expected, (Put(UNREACHABLE_WORKERS_KEY, encode(record)),)
        )

    def _apply_conflict(self, result: CommitResult) -> None:
        # An earlier write of this leader got no response, it has just renewed its
        # term, another has started one, which the election reports, or the record was
        # removed by another hand.
        conflict = ConflictError(f"on revision {self._revision}")
        for record in result.current:
            if record.key == UNREACHABLE_WORKERS_KEY:
                self._revision = record.revision
        raise conflict
