"""Metrics and log events of what waits to be stored or acknowledged."""

from collections.abc import Callable, Iterable, Sequence

from dogwoodlever._fleet_metrics import END_WAIT_CAUSES, FleetMetrics
from dogwoodlever._logs import log_event
from dogwoodlever._run_evidence import EndWait, WaitingEnd, WorkerEvidence
from dogwoodlever._run_log import format_run_id
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform_errors import (
    PlatformError,
    RecordConflictError,
    StoreRefusedError,
    StoreUnavailableError,
    TermEndedError,
)

# Interval of the gauges, and of the log events of one wait.
REPORT_INTERVAL_S = 1.0
# Cause of the wait of an end whose progress cannot be stored, as the store is down.
STORE_AWAY = "store-away"
# Subclasses stand before their bases.
FAILURE_CAUSES = (
    (RecordConflictError, "conflict"),
    (TermEndedError, "term"),
    (StoreRefusedError, "refused"),
    (StoreUnavailableError, "unanswered"),
    (PlatformError, "rejected"),
)


class _LongWait:
    """Logs a wait that lasts too long, and its end.

    Parameters
    ----------
    subject : str
        First part of the names of the log events.
    limit_s : float
        Longest wait that is not logged.
    """

    __slots__ = ("_limit_s", "_since_s", "_subject")

    def __init__(self, subject: str, limit_s: float) -> None:
        self._subject = subject
        self._limit_s = limit_s
        self._since_s: float | None = None

    def report(self, since_s: float, now_s: float, **fields: object) -> None:
        """Log the wait of the oldest item, which waits since `since_s`."""
        age_s = now_s - since_s
        if age_s > self._limit_s:
            if self._since_s is None:
                self._since_s = since_s
            log_event(f"{self._subject}.waiting", age_s=age_s, **fields)
        elif self._since_s is not None:
            log_event(f"{self._subject}.wait-over", waited_s=now_s - self._since_s)
            self._since_s = None


class AcknowledgementBacklog:
    """Reports on what waits to be stored or acknowledged while a daemon leads.

    Parameters
    ----------
    metrics : FleetMetrics
        Gauges and counters to set.
    clock : IReactorTime
        Reactor clock.
    registry : RunRegistry
        Jobs and runs.
    store_down_for_s : callable
        Returns how long the store has been unreachable, None if it is reachable.
    get_evidence : callable
        Returns the ids of the workers with ends that wait for their acknowledgement,
        and what is known of these workers.
    acknowledgement_s : float
        Time in which an end has to be acknowledged; longer waits are logged.
    """

    __slots__ = (
        "_begun_s",
        "_clock",
        "_end_wait",
        "_failed_job",
        "_failure",
        "_get_evidence",
        "_is_closed",
        "_metrics",
        "_progress_wait",
        "_registry",
        "_repeats",
        "_reported_s",
        "_store_down_for_s",
        "_unstored_since_s",
    )

    def __init__(
        self,
        metrics: FleetMetrics,
        clock,
        registry: RunRegistry,
        store_down_for_s: Callable[[], float | None],
        get_evidence: Callable[[], Iterable[tuple[str, WorkerEvidence]]],
        acknowledgement_s: float,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._registry = registry
        self._store_down_for_s = store_down_for_s
        self._get_evidence = get_evidence
        self._end_wait = _LongWait("ends", acknowledgement_s)
        self._progress_wait = _LongWait("progress", acknowledgement_s)
        self._reported_s = float("-inf")
        # Since when a job has progress that is not stored.
        self._unstored_since_s: dict[str, float] = {}
        self._begun_s = 0.0
        # First job of the batch whose write failed last, and how often in a row.
        self._failed_job = ""
        self._repeats = 0
        self._failure = ""
        self._is_closed = False

    # Writes

    def record_begun(self, job_ids: Sequence[str]) -> None:
        """Record that a write of the progress of jobs begins."""
        self._begun_s = self._clock.seconds()
        for job_id in job_ids:
            self._unstored_since_s.setdefault(job_id, self._begun_s)

    def record_stored(self, job_ids: Sequence[str]) -> None:
        """Record that the write is done that began last."""
        for job_id in job_ids:
            self._unstored_since_s.pop(job_id, None)
            if job_id in self._registry.dirty:
                # It has changed since the write began.
                self._unstored_since_s[job_id] = self._begun_s
        if self._failed_job in job_ids:
            self._set_repeats("", 0)

    def record_failure(self, job_ids: Sequence[str], error: PlatformError) -> None:
        """Record that the write has failed."""
        cause = next(name for kind, name in FAILURE_CAUSES if isinstance(error, kind))
        self._metrics.progress_write_failures.labels(cause).inc()
        self._failure = str(error)[:160]
        is_repeated = job_ids[0] == self._failed_job
        self._set_repeats(job_ids[0], self._repeats + 1 if is_repeated else 1)

    def drop_job(self, job_id: str) -> None:
        """Forget a job whose records are removed."""
        self._unstored_since_s.pop(job_id, None)

    def set_unstorable(self, jobs: int) -> None:
        """Set the number of jobs whose writes fail alone, and which therefore wait."""
        if not self._is_closed:
            self._metrics.unstorable_jobs.set(jobs)

    def _set_repeats(self, job_id: str, repeats: int) -> None:
        self._failed_job = job_id
        self._repeats = repeats
        if not self._is_closed:
            self._metrics.progress_batch_repeats.set(repeats)

    # Reports

    def update(self) -> None:
        """Note new changes; set the gauges, at most once in `REPORT_INTERVAL_S`."""
        now_s = self._clock.seconds()
        for job_id in self._registry.dirty - self._unstored_since_s.keys():
            self._unstored_since_s[job_id] = now_s
        if now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        self._reported_s = now_s
        self._report_progress(now_s)
        self._report_ends(now_s)

    def close(self) -> None:
        """Reset the gauges, as another daemon leads."""
        self._is_closed = True
        self._metrics.progress_batch_repeats.set(0)
        self._metrics.unstorable_jobs.set(0)
        self._metrics.oldest_unstored_progress_s.set(0)
        for cause in END_WAIT_CAUSES:
            self._metrics.oldest_unacknowledged_end_s.labels(cause).set(0)
            self._metrics.unacknowledged_ends.labels(cause).set(0)

    def _report_progress(self, now_s: float) -> None:
        waits = self._unstored_since_s
        job_id = min(waits, key=waits.__getitem__, default="")
        since_s = waits.get(job_id, now_s)
        self._metrics.oldest_unstored_progress_s.set(now_s - since_s)
        why = self._failure if self._repeats else ""
        self._progress_wait.report(since_s, now_s, job=job_id, why=why)

    def _report_ends(self, now_s: float) -> None:
        unstored = EndWait.UNSTORED.value
        if self._store_down_for_s() is not None:
            unstored = STORE_AWAY
        counts = dict.fromkeys(END_WAIT_CAUSES, 0)
        oldest: dict[str, tuple[str, WaitingEnd]] = {}
        for worker_id, evidence in self._get_evidence():
            for wait, (count, end) in evidence.find_waits().items():
                cause = unstored if wait is EndWait.UNSTORED else wait.value
                counts[cause] += count
                if cause not in oldest or end.listed_s < oldest[cause][1].listed_s:
                    oldest[cause] = worker_id, end
        for cause, count in counts.items():
            age_s = now_s - oldest[cause][1].listed_s if count else 0.0
            self._metrics.oldest_unacknowledged_end_s.labels(cause).set(age_s)
            self._metrics.unacknowledged_ends.labels(cause).set(count)
        if not oldest:
            self._end_wait.report(now_s, now_s)
            return
        cause = min(oldest, key=lambda name: oldest[name][1].listed_s)
        worker_id, end = oldest[cause]
        self._end_wait.report(
            end.listed_s,
            now_s,
            cause=cause,
            worker=worker_id,
            end=end.number,
            run=format_run_id(end.run_id),
            count=counts[cause],
        )
