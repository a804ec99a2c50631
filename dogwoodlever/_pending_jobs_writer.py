"""Stores which jobs are pending, for daemons that no leader answers."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import FleetStore, Put
from dogwoodlever._fleet_records import (
    PENDING_JOBS_KEY,
    TERM_KEY,
    PendingJobsRecord,
    encode,
)
from dogwoodlever._logs import log_event
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform_errors import PlatformError

# Least time between two writes. What has changed since the last one is read from the
# store's history.
WRITE_INTERVAL_S = 1.0
# Time after which a record is written again although nothing has changed; the store may
# keep no more than some seconds of its history.
REWRITE_INTERVAL_S = 5.0
# With more jobs, some 70 kB, the stored jobs themselves are counted.
JOBS_MAX = 4_096


class PendingJobsWriter:
    """Writes the leader's pending jobs as they change, once a second at most.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    registry : RunRegistry
        Jobs.
    get_term_revision : callable
        Returns the revision of this leader's term record.
    get_read_revision : callable
        Returns the revision of the store up to which the registry has all submissions
        and cancellations; 0 if that is not known.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        registry: RunRegistry,
        get_term_revision: Callable[[], int],
        get_read_revision: Callable[[], int],
    ) -> None:
        self._store = store
        self._clock = clock
        self._registry = registry
        self._get_term_revision = get_term_revision
        self._get_read_revision = get_read_revision
        self._tried_s = float("-inf")
        self._written_s = float("-inf")
        self._written: dict[str, list[str]] | None = None
        self._is_writing = False

    def update(self) -> None:
        """Write the record if it is due."""
        now_s = self._clock.seconds()
        if self._is_writing or now_s - self._tried_s < WRITE_INTERVAL_S:
            return
        self._tried_s = now_s
        revision = self._get_read_revision()
        job_ids = self._registry.find_pending()
        is_due = now_s - self._written_s >= REWRITE_INTERVAL_S
        is_small = sum(map(len, job_ids.values())) <= JOBS_MAX
        if revision and is_small and (is_due or job_ids != self._written):
            self._write(PendingJobsRecord(revision, job_ids))

    @inlineCallbacks
    def _write(self, record: PendingJobsRecord):
        self._is_writing = True
        begun_s = self._clock.seconds()
        put = Put(PENDING_JOBS_KEY, encode(record))
        try:
            expected = {TERM_KEY: self._get_term_revision()}
            result = yield self._store.commit(expected, (put,))
        except PlatformError as error:
            log_event("pending.write-failed", why=str(error)[:160])
            return
        finally:
            self._is_writing = False
        # A conflict shows a term that has begun meanwhile, perhaps this leader's own.
        if result.revision:
            self._written, self._written_s = record.job_ids, begun_s
