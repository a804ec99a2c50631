"""Writes submissions of jobs anew that another hand has removed."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import FleetStore, Put
from dogwoodlever._fleet_records import TERM_KEY, encode, job_key
from dogwoodlever._logs import log_event
from dogwoodlever._repeated_write import ConflictError, RepeatedWrite
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform_errors import StoreRejectedError


class SubmissionRestorer:
    """Writes the submissions of active jobs anew, as a successor reads them.

    Without it, the next leader would not know the job, whose caller was told that it is
    stored. A job is withdrawn by its cancellation only.

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
    """

    __slots__ = ("_get_term_revision", "_missing", "_registry", "_store", "_writing")

    def __init__(
        self,
        store: FleetStore,
        clock,
        registry: RunRegistry,
        get_term_revision: Callable[[], int],
    ) -> None:
        self._store = store
        self._registry = registry
        self._get_term_revision = get_term_revision
        # Jobs whose submission is to be written, in the order of their removal.
        self._missing: dict[str, None] = {}
        self._writing = RepeatedWrite("submission", clock, self._write_next)

    def close(self) -> None:
        """Stop writing."""
        self._writing.close()

    def restore(self, job_id: str) -> None:
        """Write the submission of a job that has been removed, if the job is active."""
        if job_id in self._registry.active:
            self._missing[job_id] = None
            self._writing.start()

    @inlineCallbacks
    def _write_next(self):
        """Write the next submission; the result is None if none is left."""
        job_id = next(iter(self._missing), None)
        if job_id is None:
            return None
        # It may be removed again while it is written.
        del self._missing[job_id]
        state = self._registry.active.get(job_id)
        if state is not None:
            try:
                yield self._write(job_id, encode(state.job))
            except Exception:
                # The others go before it.
                self._missing[job_id] = None
                raise
        return 0.0

    @inlineCallbacks
    def _write(self, job_id: str, value: bytes):
        key = job_key(job_id)
        expected = {TERM_KEY: self._get_term_revision(), key: 0}
        try:
            result = yield self._store.commit(expected, (Put(key, value),))
        except StoreRejectedError as error:
            # The others go on.
            log_event("job.unrestored", job=job_id, why=str(error)[:160])
            return
        if result.revision:
            log_event("job.restored", job=job_id)
        elif all(r.value is None for r in result.current if r.key == key):
            raise ConflictError(f"on job {job_id}")
