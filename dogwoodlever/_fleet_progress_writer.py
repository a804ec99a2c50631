"""Batched writes of job progress to the store."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence, Set

from twisted.internet.defer import FirstError, gatherResults, inlineCallbacks

from dogwoodlever._acknowledgement_backlog import AcknowledgementBacklog
from dogwoodlever._fleet_interfaces import Record
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import TERM_KEY, encode, progress_key
from dogwoodlever._logs import log_event
from dogwoodlever._progress_retries import ProgressRetries
from dogwoodlever._progress_transaction import ProgressTransaction
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform_errors import (
    PlatformError,
    RecordConflictError,
    StoreRefusedError,
    StoreUnavailableError,
    TermEndedError,
)

# Batches changes, to limit the number of writes under load.
FLUSH_DELAY_S = 0.1
# The same if callers wait for a job's end, which they learn once it is stored.
JOB_END_FLUSH_DELAY_S = 0.03
RETRY_S = 0.25
# A pass over the changed jobs ends after this time, so that the ends that it stored are
# acknowledged; the next one goes on with the others.
ROUND_MAX_S = 0.5
# Attempts at one batch; conflicts come from own writes that got no response.
CONFLICT_ATTEMPTS_MAX = 3


class _Round:
    """One pass over the jobs whose progress has changed.

    Attributes
    ----------
    end_numbers : dict
        Last end number that was processed before the pass, by worker incarnation.
    unstored : set of str
        Jobs that had changed by then and have not been stored since.
    queue : deque of str
        Jobs that are still to be written.
    failed : set of str
        Jobs whose writes failed and that wait.
    given_up : set of str
        Those of them that the store refuses for good.
    """

    __slots__ = (
        "begun_s",
        "end_numbers",
        "failed",
        "given_up",
        "is_last",
        "queue",
        "unstored",
    )

    def __init__(
        self, end_numbers: dict, job_ids: Set[str], begun_s: float, is_last: bool
    ) -> None:
        self.end_numbers = end_numbers
        self.unstored = set(job_ids)
        self.begun_s = begun_s
        self.is_last = is_last
        self.queue: deque[str] = deque()
        self.failed: set[str] = set()
        self.given_up: set[str] = set()


class ProgressWriter:
    """Stores the progress of changed jobs; workers may drop ends only afterwards.

    The end of a job is stored in its submission, in place of the payload, and its
    progress is removed, so that a successor has little to load of jobs that have ended.

    Every write is conditional on the term's record, so a replaced leader cannot
    overwrite the records of its successor. It is also conditional on the revision
    of each record that it replaces, so a write without a response that is applied
    late cannot restore older progress.

    A write that cannot succeed holds back its own jobs only: a batch that fails is
    divided until the jobs that fail are alone, which then wait (`ProgressRetries`).
    One write is under way at a time, as the next one expects the revisions it leaves.

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
        Called after a pass over the changed jobs with these numbers, the jobs whose
        changes up to them are not stored, and those of them that the store refuses
        for good.
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
        on_stored: Callable[[dict, Set[str], Set[str]], None],
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
        self._retries = ProgressRetries()
        # Jobs that the last pass did not reach, in the order of the next one, and
        # whether jobs that are to be tried again were among them.
        self._untried: dict[str, None] = {}
        self._is_retry_overdue = False
        # Number of successful writes.
        self._stored_writes = 0
        # Jobs that were logged since not all of their checkpoints are stored.
        self._reduced_jobs: set[str] = set()
        self._reported: dict[str, bytes] = {}
        self._timer = None
        self._due_s = 0.0
        self._is_store_away = False
        self._is_writing = False
        self._is_closed = False
        # Jobs whose progress is being written.
        self._in_flight: frozenset[str] = frozenset()
        self._revisions: dict[str, int] = {}
        self.write_count = 0

    def set_revision(self, job_id: str, revision: int) -> None:
        """Set the revision of a job's stored progress."""
        self._revisions[job_id] = revision

    def drop_job(self, job_id: str) -> None:
        """Drop the revision of a job whose records are removed."""
        self._revisions.pop(job_id, None)
        self._reported.pop(job_id, None)
        self._retries.drop(job_id)
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
        delay_s = self._flush_delay_s()
        due_s = self._clock.seconds() + delay_s
        if self._timer is not None and self._timer.active():
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = self._clock.callLater(delay_s, self.flush)

    def _flush_delay_s(self) -> float:
        if self._is_store_away:
            return RETRY_S
        if self._untried or self._is_retry_overdue:
            return 0.0
        has_ended = any(
            job_id not in self._registry.active
            and not self._retries.has_failed_alone(job_id)
            for job_id in self._registry.dirty
        )
        return JOB_END_FLUSH_DELAY_S if has_ended else FLUSH_DELAY_S

    @inlineCallbacks
    def flush(self):
        """Write the changed progress; retry later on failure."""
        if self._is_closed or self._is_writing:
            return
        self._is_writing = True
        self._is_store_away = False
        if self._store.down_for_s() is not None:
            self._report_unstored(self._registry.dirty)
        try:
            yield self._write_round()
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
            yield self._write_round(is_last=True)
        finally:
            self._is_writing = False

    def _report_unstored(self, job_ids: Iterable[str]) -> None:
        """Report the progress of jobs that changed since the last report."""
        changed = {}
        for job_id in job_ids:
            if job_id not in self._registry.jobs:
                continue
            try:
                progress = self._encode(job_id)
            except Exception as error:
                # The others have to be reported all the same.
                log_event("progress.unusable", job=job_id, why=repr(error)[:160])
                continue
            if self._reported.get(job_id) != progress:
                changed[job_id] = progress
        if changed and not self._is_closed:
            self._reported.update(changed)
            self._on_unstored(changed)

    # Passes

    @inlineCallbacks
    def _write_round(self, is_last: bool = False):
        """Write the changed jobs, and acknowledge what is stored.

        Jobs that failed and wait are tried in the last pass, or once their pause is
        over. Other passes end early, so that no job waits for all others.
        """
        work = self._begin_round(is_last)
        may_acknowledge = True
        try:
            yield self._write_batches(work)
        except PlatformError as error:
            self._is_store_away = True
            may_acknowledge = not isinstance(error, TermEndedError)
            work.failed.update(self._registry.dirty)
            log_event("journal.write-failed", why=str(error)[:160])
        self._untried = {
            job_id: None for job_id in work.queue if not self._retries.is_paused(job_id)
        }
        self._is_retry_overdue = len(self._untried) < len(work.queue)
        self._backlog.set_unstorable(self._retries.unstorable_count)
        self._report_unstored(work.failed & self._registry.dirty)
        if may_acknowledge and not self._is_closed:
            self._on_stored(work.end_numbers, work.unstored, work.given_up)

    def _begin_round(self, is_last: bool) -> _Round:
        """Return a pass over the jobs that have changed and need not wait.

        Those that the former pass did not reach come first. Jobs that failed come last,
        but first if the former pass did not reach them.
        """
        dirty = self._registry.dirty
        now_s = self._clock.seconds()
        work = _Round(self._get_last_end_numbers(), dirty, now_s, is_last)
        paused = set(filter(self._retries.is_paused, dirty))
        work.queue.extend(job_id for job_id in self._untried if job_id in dirty)
        work.queue.extend(sorted(dirty - paused - self._untried.keys()))
        if is_last:
            work.queue.extend(sorted(paused, key=self._retries.batch_jobs_max))
        elif self._is_retry_overdue:
            work.queue.extendleft(reversed(self._due_batch(now_s)))
        else:
            work.queue.extend(self._due_batch(now_s))
        return work

    def _due_batch(self, now_s: float) -> list[str]:
        dirty = self._registry.dirty
        return [job_id for job_id in self._retries.due_batch(now_s) if job_id in dirty]

    @inlineCallbacks
    def _write_batches(self, work: _Round):
        while work.queue:
            transaction = self._take_batch(work)
            if transaction.job_ids:
                yield self._write(work, transaction)
            if work.is_last:
                continue
            now_s = self._clock.seconds()
            if now_s - work.begun_s >= ROUND_MAX_S:
                return
            if not work.queue:
                # Others that failed earlier may be stored by now.
                work.queue.extend(self._due_batch(now_s))

    def _take_batch(self, work: _Round) -> ProgressTransaction:
        """Take jobs that fit one transaction from the queue, as they are now."""
        transaction = ProgressTransaction(self._get_term_revision())
        jobs_max = 0
        while work.queue:
            job_id = work.queue[0]
            state = self._registry.jobs.get(job_id)
            if state is None:
                self._drop_removed(work, work.queue.popleft())
                continue
            size = self._retries.batch_jobs_max(job_id)
            jobs_max = jobs_max or size
            is_full = len(transaction.job_ids) >= jobs_max
            if is_full or size != jobs_max or not transaction.has_room(state.has_ended):
                break
            try:
                has_room = self._add(transaction, job_id)
            except Exception as error:
                # One job that cannot be encoded must not hold back the others.
                work.queue.popleft()
                failure = PlatformError(f"not encoded: {error!r}")
                self._backlog.record_failure([job_id], failure)
                self._on_refused(work, [job_id], failure)
                continue
            if not has_room:
                break
            work.queue.popleft()
        self._registry.dirty.difference_update(transaction.job_ids)
        self._in_flight = frozenset(transaction.job_ids)
        return transaction

    def _drop_removed(self, work: _Round, job_id: str) -> None:
        """Drop a changed job that is not registered any more."""
        self._registry.dirty.discard(job_id)
        work.unstored.discard(job_id)
        self._backlog.drop_job(job_id)
        self.drop_job(job_id)

    def _add(self, transaction: ProgressTransaction, job_id: str) -> bool:
        """Add a job; return whether there was room for its value."""
        state = self._registry.jobs[job_id]
        revision = self._revisions.get(job_id, 0)
        if state.has_ended:
            value = encode(state.submission_to_keep())
        else:
            value = self._encode(job_id)
        if not transaction.has_room_for_value(value):
            return False
        add = transaction.add_end if state.has_ended else transaction.add_progress
        add(job_id, revision, value)
        return True

    @inlineCallbacks
    def _write(self, work: _Round, transaction: ProgressTransaction):
        """Write a batch; raises `PlatformError` if the others cannot be written either.

        After a conflict it is taken anew, since its jobs may have ended meanwhile.
        """
        conflicts = 0
        while transaction.job_ids:
            sent_s = self._clock.seconds()
            try:
                result = yield self._commit(transaction)
                if result.revision:
                    self._on_written(work, transaction, result.revision)
                    return
                conflicts += 1
                yield self._correct_revisions(
                    transaction, result.current, is_repeated=conflicts > 1
                )
                if conflicts >= CONFLICT_ATTEMPTS_MAX:
                    raise RecordConflictError("progress records conflict repeatedly")
            except TermEndedError as error:
                self._put_back(transaction, error)
                raise
            except StoreUnavailableError as error:
                self._put_back(transaction, error)
                self._on_unavailable(work, transaction.job_ids, error, sent_s)
                return
            except Exception as error:
                if not isinstance(error, PlatformError):
                    error = PlatformError(f"not written: {error!r}")
                self._put_back(transaction, error)
                self._on_refused(work, transaction.job_ids, error)
                return
            self._put_back(transaction)
            work.queue.extendleft(reversed(transaction.job_ids))
            transaction = self._take_batch(work)

    def _commit(self, transaction: ProgressTransaction):
        self.write_count += 1
        self._backlog.record_begun(transaction.job_ids)
        return self._store.commit(
            transaction.expected, tuple(transaction.puts), tuple(transaction.deletes)
        )

    def _put_back(
        self, transaction: ProgressTransaction, error: PlatformError | None = None
    ) -> None:
        """Count jobs as changed again, as they were not written."""
        self._in_flight = frozenset()
        if error is not None:
            self._backlog.record_failure(transaction.job_ids, error)
        self._registry.dirty.update(
            job_id for job_id in transaction.job_ids if job_id in self._registry.jobs
        )

    # Outcomes

    def _on_written(
        self, work: _Round, transaction: ProgressTransaction, revision: int
    ) -> None:
        self._in_flight = frozenset()
        self._stored_writes += 1
        work.unstored.difference_update(transaction.job_ids)
        self._backlog.record_stored(transaction.job_ids)
        for job_id in transaction.job_ids:
            if job_id not in self._registry.jobs:
                continue
            self._revisions[job_id] = 0 if job_id in transaction.ended else revision
            self._reported.pop(job_id, None)
            self._retries.forget(job_id)

    def _on_unavailable(
        self,
        work: _Round,
        job_ids: Sequence[str],
        error: StoreUnavailableError,
        sent_s: float,
    ) -> None:
        """Let a batch without an answer wait; raise the error if the others must too.

        They must if the store accepts no calls now, or has answered none since this one
        was sent. Jobs that are refused so again and again while others are stored wait
        as well.
        """
        is_away = self._store.down_for_s() is not None
        is_refusal = isinstance(error, StoreRefusedError)
        if is_away if is_refusal else self._store.responded_s < sent_s:
            raise error
        why = str(error)[:160]
        work.failed.update(job_ids)
        self._retries.record_unanswered(
            job_ids,
            why,
            self._clock.seconds(),
            self._stored_writes,
            is_only_one=not is_refusal,
        )
        self._give_up(work, job_ids)
        if is_away or is_refusal:
            raise error
        log_event("journal.write-failed", why=why, jobs=len(job_ids))

    def _on_refused(
        self, work: _Round, job_ids: Sequence[str], error: PlatformError
    ) -> None:
        """Divide a batch that the store refuses; let a job that fails alone wait."""
        why = str(error)[:160]
        if len(job_ids) > 1:
            log_event("journal.write-failed", why=why, jobs=len(job_ids))
            self._retries.narrow(job_ids)
            work.queue.extendleft(reversed(job_ids))
            return
        work.failed.update(job_ids)
        self._retries.record_refused(
            job_ids[0], why, self._clock.seconds(), self._stored_writes
        )
        self._give_up(work, job_ids)

    def _give_up(self, work: _Round, job_ids: Sequence[str]) -> None:
        work.given_up.update(filter(self._retries.is_refused_for_good, job_ids))

    @inlineCallbacks
    def _correct_revisions(
        self,
        transaction: ProgressTransaction,
        current: tuple[Record, ...],
        is_repeated: bool,
    ):
        """Take over the revisions that a conflict tells, and read the others.

        Own writes without an answer may have been carried out, and records removed. A
        conflict need not tell of removed ones, so those that it leaves out are read
        unless it explains itself without them.
        """
        found = {record.key: record for record in current}
        is_explained = any(
            _revision_of(record) != transaction.expected.get(key)
            for key, record in found.items()
        )
        missing = [key for key in transaction.expected if key not in found]
        if missing and (is_repeated or not is_explained):
            try:
                records = yield gatherResults(
                    [self._store.read(key) for key in missing], consumeErrors=True
                )
            except FirstError as error:
                raise error.subFailure.value from error
            found.update(zip(missing, records, strict=True))
        if TERM_KEY in found:
            revision = _revision_of(found[TERM_KEY])
            if revision != self._get_term_revision():
                raise TermEndedError("another term has begun")
        for job_id in transaction.job_ids:
            key = progress_key(job_id)
            if key in found:
                self._revisions[job_id] = _revision_of(found[key])

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


def _revision_of(record: Record | None) -> int:
    """Return the revision that a condition expects of a record, 0 if it is absent."""
    return 0 if record is None or record.value is None else record.revision
