"""Numbers of pending jobs, as a daemon knows them while no leader answers."""

from collections import Counter
from collections.abc import Mapping

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import Record
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    decode_progress,
    decode_submission,
)
from dogwoodlever._logs import log_event
from dogwoodlever._store_listing import StoreListing
from dogwoodlever.platform_errors import (
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


class PendingCounts:
    """The newest numbers of pending jobs by queue, from a leader or the stored jobs.

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
        # Jobs that this daemon has accepted of late: queue and time by id.
        self._accepted: dict[str, tuple[str, float]] = {}
        # Those that wait for the stored jobs to be read; None while nobody does.
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
        for ended in waiting:
            ended.callback(counts)

    @inlineCallbacks
    def _read_stored(self):
        """Return a Deferred that fires with the numbers, None if the store fails."""
        listings = [
            StoreListing(self._store, prefix)
            for prefix in (JOBS_PREFIX, CANCELS_PREFIX, PROGRESS_PREFIX)
        ]
        begun_s = self._clock.seconds()
        try:
            jobs, cancels, progress = yield self._read_listings(listings)
        except PlatformError as error:
            log_event("counts.unread", why=str(error)[:160])
            return None
        counts = count_pending(jobs.records, cancels.records, progress.records)
        self.update(counts, begun_s, 0.0)
        log_event(
            "counts.read",
            jobs=len(jobs.records),
            pending=sum(counts.values()),
            took_s=self._clock.seconds() - begun_s,
        )
        return counts

    @inlineCallbacks
    def _read_listings(self, listings: list[StoreListing]):
        """Read listings one after the other, as long as a caller waits for them.

        Returns a Deferred that fires with a list of `Listing`. Fails with
        `PlatformError`.
        """
        results = []
        while len(results) < len(listings):
            try:
                result = yield listings[len(results)].read()
            except PlatformError as error:
                if not self._waiting:
                    raise
                is_refused = isinstance(error, StoreRefusedError)
                delay_s = RETRY_REFUSED_S if is_refused else RETRY_S
                yield deferLater(self._clock, delay_s)
                continue
            results.append(result)
        return results


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
        try:
            job = decode_submission(record.value)
        except StoredRecordError:
            # The leader names it.
            continue
        if not job.ended_phase and job.job_id not in started:
            counts[job.queue] += 1
    return counts


def _has_started(record: Record) -> bool:
    try:
        return decode_progress(record.value).phase != JobPhase.QUEUED
    except StoredRecordError:
        return False
