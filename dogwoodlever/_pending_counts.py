"""Numbers of pending jobs, as a daemon knows them while no leader answers."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import Listing, Record
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    CANCELS_PREFIX,
    INBOX_PREFIX,
    JOBS_PREFIX,
    PENDING_JOBS_KEY,
    PROGRESS_PREFIX,
    PendingJobsRecord,
    decode_pending_jobs,
    decode_progress,
    decode_submission,
)
from dogwoodlever._fleet_types import SubmittedJob
from dogwoodlever._logs import log_event
from dogwoodlever._store_listing import StoreListing
from dogwoodlever.platform_errors import (
    HistoryGoneError,
    PlatformError,
    StoredRecordError,
    StoreRefusedError,
)

# The platform allows a count to be this old.
AGE_MAX_S = 2.0
# Times from a failed read to the next one, and from one that the store refused.
RETRY_S = 0.1
RETRY_REFUSED_S = 0.5
# Time within which a leader has read a submission that the store has acknowledged.
SEEN_S = 0.5
# Answers of the store in a row that hold changes; then they come faster than they are
# read.
CHANGES_MAX = 20
# Prefixes under which changes make a job pending, or end that.
CHANGED_PREFIXES = (INBOX_PREFIX, PROGRESS_PREFIX)


class KnownPendingJobs:
    """The jobs that a leader found pending, and the changes that were read since.

    Parameters
    ----------
    stored : PendingJobsRecord
        What the leader has written.

    Attributes
    ----------
    revisions : dict of str to int
        Revision of the store up to which the changes were read, by prefix: submissions
        and cancellations, and progress.
    """

    __slots__ = ("_not_pending", "_queues", "revisions")

    def __init__(self, stored: PendingJobsRecord) -> None:
        self._queues = {
            job_id: queue
            for queue, job_ids in stored.job_ids.items()
            for job_id in job_ids
        }
        self._not_pending: set[str] = set()
        self.revisions = dict.fromkeys(CHANGED_PREFIXES, stored.revision)

    @property
    def revision(self) -> int:
        """Revision up to which all changes were read."""
        return min(self.revisions.values())

    def apply(self, prefix: str, listing: Listing) -> None:
        """Apply the changes of a prefix that follow on those that were read."""
        for record in listing.records:
            self._apply_record(record)
        self.revisions[prefix] = listing.revision

    def _apply_record(self, record: Record) -> None:
        if record.value is None:
            return
        if record.key.startswith(CANCELS_PREFIX):
            self._not_pending.add(record.key.removeprefix(CANCELS_PREFIX))
        elif record.key.startswith(PROGRESS_PREFIX):
            if _has_started(record):
                self._not_pending.add(record.key.removeprefix(PROGRESS_PREFIX))
        elif record.key.startswith(JOBS_PREFIX):
            job = _decode_job(record)
            if job is not None and job.ended_phase:
                self._not_pending.add(job.job_id)
            elif job is not None:
                self._queues[job.job_id] = job.queue

    def count(self) -> Counter[str]:
        """Return the number of pending jobs by queue."""
        return Counter(
            queue
            for job_id, queue in self._queues.items()
            if job_id not in self._not_pending
        )


class PendingCounts:
    """The newest numbers of pending jobs by queue, from a leader or the store.

    The store has the pending jobs as a leader last wrote them, and what has changed
    since. Only if either is missing, all stored jobs are read.

    Parameters
    ----------
    store : ObservedStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    """

    def __init__(self, store: ObservedStore, clock) -> None:
        self._store = store
        self._clock = clock
        self._counts: Mapping[str, int] = {}
        # Time at which these numbers were the newest ones, or later.
        self._counted_s = float("-inf")
        # What was last read of the record and the changes after it.
        self._known: KnownPendingJobs | None = None
        # Jobs that this daemon has accepted of late: queue and time by id.
        self._accepted: dict[str, tuple[str, float]] = {}
        # Those that wait for the stored jobs to be read; None while nobody reads them.
        self._waiting: list[Deferred] | None = None

    @property
    def is_recent(self) -> bool:
        """Whether the numbers are new enough to be an answer."""
        return self._clock.seconds() - self._counted_s <= AGE_MAX_S

    def update(
        self, counts: Mapping[str, int], counted_s: float, seen_s: float = SEEN_S
    ) -> None:
        """Replace the numbers by those of all queues at `counted_s` or later.

        They include the jobs that were accepted up to `seen_s` before.
        """
        if counted_s < self._counted_s:
            return
        self._counts, self._counted_s = counts, counted_s
        self._accepted = {
            job_id: accepted
            for job_id, accepted in self._accepted.items()
            if accepted[1] > counted_s - seen_s
        }
        if self._waiting and self.is_recent:
            # A reading that goes on may end too late for those that wait for it.
            waiting, self._waiting = self._waiting, []
            _answer(waiting, counts)

    def add_accepted(self, job_id: str, queue: str) -> None:
        """Note that this daemon has accepted a job; its first queue stays."""
        now_s = self._clock.seconds()
        while self._accepted:
            oldest = next(iter(self._accepted))
            if self._accepted[oldest][1] > now_s - AGE_MAX_S - SEEN_S:
                break
            # Numbers that are recent enough include it.
            del self._accepted[oldest]
        self._accepted.setdefault(job_id, (queue, now_s))

    @inlineCallbacks
    def find(self, queue: str, until_s: float):
        """Return the number of pending jobs of a queue, read from the store if needed.

        Returns a Deferred that fires with the number, or None if no number is recent
        enough at `until_s` on the reactor clock, or the store does not answer.
        """
        counts = self._counts if self.is_recent else None
        if counts is None:
            # A reading that has just ended is an answer also if it took long.
            counts = yield self._wait_for_read(until_s)
        if counts is None:
            return None
        own = sum(accepted[0] == queue for accepted in self._accepted.values())
        return counts.get(queue, 0) + own

    def _wait_for_read(self, until_s: float) -> Deferred:
        """Let the stored jobs be read, once for all that wait.

        Returns a Deferred that fires with the numbers, None if they are not there in
        time.
        """
        ended: Deferred = Deferred()
        limit_s = max(0.0, until_s - self._clock.seconds())
        timer = self._clock.callLater(limit_s, self._stop_waiting, ended)

        def cancel_timer(result):
            if timer.active():
                timer.cancel()
            return result

        ended.addBoth(cancel_timer)
        if self._waiting is None:
            self._waiting = [ended]
            self._read_stored().addCallback(self._end_read)
        else:
            self._waiting.append(ended)
        return ended

    def _stop_waiting(self, ended: Deferred) -> None:
        self._waiting.remove(ended)
        ended.callback(None)

    def _end_read(self, counts: Mapping[str, int] | None) -> None:
        waiting, self._waiting = self._waiting, None
        _answer(waiting, counts)

    @inlineCallbacks
    def _read_stored(self):
        """Return a Deferred that fires with the numbers, None if the store fails."""
        begun_s = self._clock.seconds()
        try:
            counts = yield self._repeat(self._read_changes)
            is_listed = counts is None
            if is_listed:
                counts = yield self._list_jobs()
        except PlatformError as error:
            log_event("counts.unread", why=str(error)[:160])
            return None
        self.update(counts, begun_s, 0.0)
        log_event(
            "counts.read",
            listed=is_listed,
            pending=sum(counts.values()),
            took_s=self._clock.seconds() - begun_s,
        )
        return counts

    @inlineCallbacks
    def _repeat(self, read: Callable[[], Deferred]):
        """Read until it succeeds, as long as a caller waits for it.

        Returns a Deferred that fires with the result of `read`. Fails with
        `PlatformError`.
        """
        while True:
            try:
                result = yield read()
                return result
            except PlatformError as error:
                if not self._waiting:
                    raise
                is_refused = isinstance(error, StoreRefusedError)
                delay_s = RETRY_REFUSED_S if is_refused else RETRY_S
                yield deferLater(self._clock, delay_s)

    @inlineCallbacks
    def _read_changes(self):
        """Read the jobs that a leader found pending, and what has changed since.

        What was read before, also by a call that failed later, is not read again: while
        there is no leader to write the record, the changes after it grow.

        Returns a Deferred that fires with the numbers, None if the store does not have
        both. Fails with `PlatformError`.
        """
        record = yield self._store.read(PENDING_JOBS_KEY)
        if record is None or record.value is None:
            return None
        try:
            stored = decode_pending_jobs(record.value)
        except StoredRecordError as error:
            log_event("pending.unreadable", why=str(error)[:160])
            return None
        known = self._known
        if known is None or stored.revision > known.revision:
            known = self._known = KnownPendingJobs(stored)
        try:
            for prefix in known.revisions:
                yield self._read_history(prefix, known)
        except HistoryGoneError:
            self._known = None
            return None
        return known.count()

    @inlineCallbacks
    def _read_history(self, prefix: str, known: KnownPendingJobs):
        """Apply the changes of a prefix; the Deferred fails with `PlatformError`."""
        for _ in range(CHANGES_MAX):
            revision = known.revisions[prefix]
            listing = yield self._store.watch(prefix, revision, 0)
            known.apply(prefix, listing)
            if not listing.records:
                break

    @inlineCallbacks
    def _list_jobs(self):
        """Return a Deferred that fires with the numbers, from all stored jobs.

        Fails with `PlatformError`.
        """
        records = []
        for prefix in (JOBS_PREFIX, CANCELS_PREFIX, PROGRESS_PREFIX):
            listing = yield self._repeat(StoreListing(self._store, prefix).read)
            records.append(listing.records)
        return count_pending(*records)


def _answer(waiting: Iterable[Deferred], counts: Mapping[str, int] | None) -> None:
    for ended in waiting:
        ended.callback(counts)


def count_pending(
    jobs: tuple[Record, ...], cancels: tuple[Record, ...], progress: tuple[Record, ...]
) -> Counter[str]:
    """Return the number of stored jobs by queue that have not started any task."""
    started = {
        record.key.removeprefix(PROGRESS_PREFIX)
        for record in progress
        if _has_started(record)
    }
    started.update(record.key.removeprefix(CANCELS_PREFIX) for record in cancels)
    counts: Counter[str] = Counter()
    for record in jobs:
        job = _decode_job(record)
        if job is not None and not job.ended_phase and job.job_id not in started:
            counts[job.queue] += 1
    return counts


def _decode_job(record: Record) -> SubmittedJob | None:
    """Return a stored job, None if it cannot be read, which the leader names."""
    try:
        return decode_submission(record.value)
    except StoredRecordError:
        return None


def _has_started(record: Record) -> bool:
    try:
        return decode_progress(record.value).phase != JobPhase.QUEUED
    except StoredRecordError:
        return False
