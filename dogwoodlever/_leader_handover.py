"""What a leader that stops passes on to the next one, so that counts go on."""

from collections.abc import Iterable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_interfaces import FleetStore, Put, Record
from dogwoodlever._fleet_job import Run
from dogwoodlever._fleet_records import (
    HANDOVER_KEY,
    TERM_KEY,
    HandoverRecord,
    StalledRun,
    decode_handover,
    encode,
)
from dogwoodlever._fleet_types import RunId
from dogwoodlever._logs import log_event
from dogwoodlever._run_log import format_run_id
from dogwoodlever.platform_errors import PlatformError, StoredRecordError

# Runs without progress that are passed on, the longest first, which bounds the record.
STALLED_RUNS_MAX = 200


class LeaderHandover:
    """Quarantines of workers and runs without progress, for the next leader.

    The record holds durations, since clocks differ. It is written as a leader stops and
    used by the leader of the next term only: one that was killed leaves none, and its
    successor counts anew.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    faults : FaultAttribution
        Workers in quarantine.
    """

    __slots__ = ("_clock", "_faults", "_stalled", "_store")

    def __init__(self, store: FleetStore, clock, faults: FaultAttribution) -> None:
        self._store = store
        self._clock = clock
        self._faults = faults
        # Runs without progress under the former leader, until they are adopted.
        self._stalled: dict[str, StalledRun] = {}

    def restore(self, record: Record | None, term: int) -> None:
        """Restore what the leader of the term before `term` has passed on."""
        if record is None or record.value is None:
            return
        try:
            handover = decode_handover(record.value)
        except StoredRecordError as error:
            log_event("handover.unreadable", why=str(error)[:160])
            return
        if handover.term == term - 1:
            self._faults.restore(handover.quarantines, self._clock.seconds())
            self._stalled = handover.stalled_runs

    def stalled_ms(self, run_id: RunId, percent: int) -> int:
        """Return for how long an adopted run has made no progress, 0 if it has."""
        stalled = self._stalled.pop(format_run_id(run_id), None)
        return 0 if stalled is None or stalled.percent != percent else stalled.for_ms

    @inlineCallbacks
    def store(self, term: int, term_revision: int, runs: Iterable[Run]):
        """Store what the next leader needs, unless another term has begun.

        Parameters
        ----------
        term, term_revision : int
            The leader's term and the revision of its record.
        runs : iterable of Run
            The runs on the workers.
        """
        now_s = self._clock.seconds()
        quarantines = self._faults.states(now_s)
        stalled_runs = {
            format_run_id(run.run_id): StalledRun(
                run.percent, int((now_s - run.progressed_s) * 1000)
            )
            for run in sorted(runs, key=lambda run: run.progressed_s)[:STALLED_RUNS_MAX]
        }
        if not quarantines and not stalled_runs:
            return
        record = HandoverRecord(term, quarantines, stalled_runs)
        try:
            yield self._store.commit(
                {TERM_KEY: term_revision}, (Put(HANDOVER_KEY, encode(record)),)
            )
        except PlatformError as error:
            log_event("handover.write-failed", why=str(error)[:160])
