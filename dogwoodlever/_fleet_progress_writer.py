"""Batched writes of job progress to the store."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._acknowledgement_backlog import AcknowledgementBacklog
from dogwoodlever._fleet_interfaces import Put, Record
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    PROGRESS_PREFIX,
    TERM_KEY,
    encode,
    job_key,
    progress_key,
)
from dogwoodlever._logs import log_event
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform_errors import (
    PlatformError,
    RecordConflictError,
    TermEndedError,
)

# Batches changes, to limit the number of writes under load.
FLUSH_DELAY_S = 0.1
# The same if callers wait for a job's end, which they learn once it is stored.
JOB_END_FLUSH_DELAY_S = 0.03
RETRY_S = 0.25
# The store accepts 32 entries per transaction, of which one is the condition on the
# term.
JOB_ENTRIES_MAX = 31
# A condition and a value, and for an ended job the removal of its progress.
ENTRIES_PER_JOB = 2
ENTRIES_PER_ENDED_JOB = 3
# Attempts at one batch; conflicts come from own writes that got no response.
CONFLICT_ATTEMPTS_MAX = 3


class ProgressWriter:
    """Stores the progress of changed jobs; workers may drop ends only afterwards.

    The end of a job is stored in its submission, in place of the payload, and its
    progress is removed, so that a successor has little to load of jobs that have ended.

    Every write is conditional on the term's record, so a replaced leader cannot
    overwrite the records of its successor. It is also conditional on the revision
    of each record that it replaces, so a write without a response that is applied
    late cannot restore older progress.

    Parameters
    ----------
    store : ObservedStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    registry : RunRegistry
        Jobs and runs.
    get_term_revision : callable
        Returns the revision of this leader's term record.
    get_last_end_numbers : callable
        Returns the last processed end number by worker incarnation; called when
        a write begins.
    on_stored : callable
        Called with these numbers once every change up to them is stored.
    on_unstored : callable
        Called with changed progress by job while it cannot be stored.
    record_bytes_max : int
        Largest value of a record in the store.
    backlog : AcknowledgementBacklog
        Told which batches are stored and which fail.
    """

    def __init__(
        self,
        store: ObservedStore,
        clock,
        registry: RunRegistry,
        get_term_revision: Callable[[], int],
        get_last_end_numbers: Callable[[], dict],
        on_stored: Callable[[dict], None],
        on_unstored: Callable[[dict[str, bytes]], None],
        record_bytes_max: int,
        backlog: AcknowledgementBacklog,
    ) -> None:
        self._store = store
        self._clock = clock
        self._registry = registry
        self._get_term_revision = get_term_revision
        self._get_last_end_numbers = get_last_end_numbers
        self._on_stored = on_stored
        self._on_unstored = on_unstored
        self._record_bytes_max = record_bytes_max
        self._backlog = backlog
        # Jobs that were logged since not all of their checkpoints are stored.
        self._reduced_jobs: set[str] = set()
        self._reported: dict[str, bytes] = {}
        self._timer = None
        self._due_s = 0.0
        self._has_failed = False
        self._is_writing = False
        self._is_closed = False
        # Jobs whose progress is being written.
        self._in_flight: tuple[str, ...] = ()
        self._revisions: dict[str, int] = {}
        self.write_count = 0

    def set_revision(self, job_id: str, revision: int) -> None:
        """Set the revision of a job's stored progress."""
        self._revisions[job_id] = revision

    def drop_job(self, job_id: str) -> None:
        """Drop the revision of a job whose records are removed."""
        self._revisions.pop(job_id, None)
        self._reduced_jobs.discard(job_id)

    def is_stored(self, job_id: str) -> bool:
        """Return whether all progress of a job is stored."""
        return job_id not in self._registry.dirty and job_id not in self._in_flight

    def close(self) -> None:
        """Write what is not stored yet, unless a successor was elected, and stop."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._registry.dirty and not self._is_writing:
            self._write_last()

    def schedule_flush(self) -> None:
        """Schedule a write of the changed progress, sooner if a job has ended."""
        if self._is_closed or self._is_writing:
            return
        delay_s = FLUSH_DELAY_S
        if self._has_failed:
            delay_s = RETRY_S
        elif any(
            job_id not in self._registry.active for job_id in self._registry.dirty
        ):
            delay_s = JOB_END_FLUSH_DELAY_S
        due_s = self._clock.seconds() + delay_s
        if self._timer is not None and self._timer.active():
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = self._clock.callLater(delay_s, self.flush)

    @inlineCallbacks
    def flush(self):
        """Write the changed progress; retry later on failure."""
        if self._is_closed or self._is_writing:
            return
        self._is_writing = True
        self._has_failed = False
        if self._store.down_for_s() is not None:
            self._report_unstored()
        try:
            yield self._write_all()
        except PlatformError as error:
            self._has_failed = True
            log_event("journal.write-failed", why=str(error)[:160])
            self._report_unstored()
        finally:
            self._is_writing = False
        if self._registry.dirty and self._is_closed:
            self._write_last()
        elif self._registry.dirty:
            self.schedule_flush()

    @inlineCallbacks
    def _write_last(self):
        """Write once; the condition on the term rejects it after the next election."""
        self._is_writing = True
        try:
            yield self._write_all()
        except PlatformError as error:
            log_event("journal.write-failed", why=str(error)[:160])
        finally:
            self._is_writing = False

    def _report_unstored(self) -> None:
        """Report the progress that changed since the last report."""
        changed = {}
        for job_id in self._registry.dirty:
            progress = self._encode(job_id)
            if self._reported.get(job_id) != progress:
                changed[job_id] = progress
        if changed and not self._is_closed:
            self._reported.update(changed)
            self._on_unstored(changed)

    @inlineCallbacks
    def _write_all(self):
        last_end_numbers = self._get_last_end_numbers()
        remaining = sorted(self._registry.dirty)
        while remaining:
            size = self._batch_size(remaining)
            batch, remaining = remaining[:size], remaining[size:]
            self._registry.dirty.difference_update(batch)
            self._in_flight = tuple(batch)
            self._backlog.record_begun(batch)
            try:
                yield self._write_batch(batch)
            except PlatformError as error:
                self._registry.dirty.update(batch)
                self._backlog.record_failure(batch, error)
                raise
            finally:
                self._in_flight = ()
            self._backlog.record_stored(batch)
        self._reported.clear()
        if not self._is_closed:
            self._on_stored(last_end_numbers)

    def _batch_size(self, job_ids: list[str]) -> int:
        """Return how many of the jobs fit one transaction."""
        entries = 0
        for size, job_id in enumerate(job_ids):
            has_ended = self._registry.jobs[job_id].has_ended
            entries += ENTRIES_PER_ENDED_JOB if has_ended else ENTRIES_PER_JOB
            if entries > JOB_ENTRIES_MAX:
                return size
        return len(job_ids)

    @inlineCallbacks
    def _write_batch(self, batch: list[str]):
        for _ in range(CONFLICT_ATTEMPTS_MAX):
            result = yield self._commit(batch)
            if result.revision:
                for job_id in batch:
                    has_ended = self._registry.jobs[job_id].has_ended
                    self._revisions[job_id] = 0 if has_ended else result.revision
                return
            self._update_revisions(result.current)
        raise RecordConflictError("progress records conflict repeatedly")

    def _update_revisions(self, current: tuple[Record, ...]) -> None:
        """Read the revisions of own writes that got no response."""
        for record in current:
            if record.key == TERM_KEY:
                if record.revision != self._get_term_revision():
                    raise TermEndedError("another term has begun")
                continue
            job_id = record.key[len(PROGRESS_PREFIX) :]
            self._revisions[job_id] = record.revision

    def _encode(self, job_id: str) -> bytes:
        """Encode a job's progress, without checkpoints for which there is no room.

        A task without one starts anew, while the store would refuse the whole record.
        """
        progress = self._registry.jobs[job_id].progress()
        encoded = encode(progress)
        excess_bytes = len(encoded) - self._record_bytes_max
        if excess_bytes <= 0:
            return encoded
        left_out = progress.leave_out_checkpoints(excess_bytes)
        if job_id not in self._reduced_jobs:
            self._reduced_jobs.add(job_id)
            log_event(
                "journal.reduced", job=job_id, bytes=len(encoded), left_out=left_out
            )
        return encode(progress)

    def _commit(self, batch: list[str]):
        self.write_count += 1
        expected = {TERM_KEY: self._get_term_revision()}
        puts = []
        deletes = []
        for job_id in batch:
            key = progress_key(job_id)
            expected[key] = self._revisions.get(job_id, 0)
            state = self._registry.jobs[job_id]
            if state.has_ended:
                kept = state.submission_to_keep()
                puts.append(Put(job_key(job_id), encode(kept)))
                deletes.append(key)
            else:
                puts.append(Put(key, self._encode(job_id)))
        return self._store.commit(expected, tuple(puts), tuple(deletes))
