"""Removal of ended jobs after the time for which their state must be readable."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import FleetStore
from dogwoodlever._fleet_records import TERM_KEY, cancel_key, job_key, progress_key
from dogwoodlever._logs import log_event
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform_errors import PlatformError, StoreUnavailableError

SWEEP_INTERVAL_S = 1.0
# Covers responses in flight and retries of a submission.
RETENTION_MARGIN_S = 30.0
# A transaction has at most 32 entries: one condition, and three keys per job.
JOBS_PER_SWEEP = 10
# Pause after a removal of one job that the store has rejected.
REJECTED_RETRY_S = 60.0


class Retention:
    """Removes the records of jobs whose retention time has passed, in batches.

    A batch that the store rejects is split until the job is found that it cannot
    remove, which then waits while the others are removed.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    registry : RunRegistry
        Jobs.
    retention_s : float
        How long the state of an ended job must be readable once it is stored.
    get_term_revision : callable
        Returns the revision of this leader's term record.
    on_removed : callable
        Called with the ids of jobs whose records were removed.
    is_stored : callable
        Returns whether the progress of a job, by id, is stored. Until then a write of
        it may be under way, which would leave a record after the removal.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        registry: RunRegistry,
        retention_s: float,
        get_term_revision: Callable[[], int],
        on_removed: Callable[[list[str]], None],
        is_stored: Callable[[str], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._registry = registry
        self._retention_s = retention_s + RETENTION_MARGIN_S
        self._get_term_revision = get_term_revision
        self._on_removed = on_removed
        self._is_stored = is_stored
        self._ended_s: dict[str, float] = {}
        # By id of a job whose removal was rejected: when to try again.
        self._retry_s: dict[str, float] = {}
        self._batch_size = JOBS_PER_SWEEP
        # Why the last removal failed, which is logged once.
        self._cause = ""
        self._last_sweep_s = clock.seconds()
        self._is_removing = False

    def sweep(self) -> None:
        """Record new ended jobs, and remove a batch whose retention has passed.

        It begins once the end is stored: before, callers read the job as running.
        """
        now_s = self._clock.seconds()
        if self._is_removing or now_s - self._last_sweep_s < SWEEP_INTERVAL_S:
            return
        self._last_sweep_s = now_s
        for job_id, state in self._registry.jobs.items():
            if state.has_ended and self._is_stored(job_id):
                self._ended_s.setdefault(job_id, now_s)
        due = [
            job_id
            for job_id, ended_s in self._ended_s.items()
            if now_s - ended_s >= self._retention_s
            and now_s >= self._retry_s.get(job_id, now_s)
            and self._is_stored(job_id)
        ]
        if due:
            self._remove(due[: self._batch_size])

    @inlineCallbacks
    def _remove(self, job_ids: list[str]):
        keys = [
            key_of(job_id)
            for job_id in job_ids
            for key_of in (job_key, cancel_key, progress_key)
        ]
        self._is_removing = True
        try:
            expected = {TERM_KEY: self._get_term_revision()}
            result = yield self._store.commit(expected, (), tuple(keys))
        except PlatformError as error:
            self._on_failed(job_ids, error)
            return
        finally:
            self._is_removing = False
        if not result.revision:
            # Another term has begun, or this leader has just renewed its own.
            return
        self._cause = ""
        self._batch_size = min(JOBS_PER_SWEEP, 2 * self._batch_size)
        # What has changed during the call is stored, and then removed with the rest.
        removed = [job_id for job_id in job_ids if self._is_stored(job_id)]
        for job_id in removed:
            self._ended_s.pop(job_id, None)
            self._retry_s.pop(job_id, None)
            self._registry.remove_job(job_id)
        log_event("jobs.removed", count=len(removed))
        self._on_removed(removed)

    def _on_failed(self, job_ids: list[str], error: PlatformError) -> None:
        """Let others go first if the store rejects the removal of a job."""
        if self._cause != str(error):
            self._cause = str(error)
            why = str(error)[:160]
            log_event(
                "jobs.remove-failed", first=job_ids[0], count=len(job_ids), why=why
            )
        if isinstance(error, StoreUnavailableError):
            return
        self._batch_size = max(1, len(job_ids) // 2)
        if len(job_ids) == 1:
            self._retry_s[job_ids[0]] = self._clock.seconds() + REJECTED_RETRY_S
