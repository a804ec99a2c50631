"""What waits to be stored or acknowledged, as metrics and log events."""

from collections.abc import Sequence

from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever.platform_errors import (
    PlatformError,
    RecordConflictError,
    StoreRefusedError,
    StoreUnavailableError,
    TermEndedError,
)

# Subclasses stand before their bases.
FAILURE_CAUSES = (
    (RecordConflictError, "conflict"),
    (TermEndedError, "term"),
    (StoreRefusedError, "refused"),
    (StoreUnavailableError, "unanswered"),
    (PlatformError, "rejected"),
)


class AcknowledgementBacklog:
    """Reports on what waits to be stored or acknowledged while a daemon leads.

    Parameters
    ----------
    metrics : FleetMetrics
        Gauges and counters to set.
    """

    __slots__ = ("_failed_job", "_metrics", "_repeats")

    def __init__(self, metrics: FleetMetrics) -> None:
        self._metrics = metrics
        # First job of the batch whose write failed last, and how often in a row.
        self._failed_job = ""
        self._repeats = 0

    def record_stored(self, job_ids: Sequence[str], begun_s: float) -> None:
        """Record that the progress of jobs is stored as it was at `begun_s`."""
        if self._failed_job in job_ids:
            self._set_repeats("", 0)

    def record_failure(self, job_ids: Sequence[str], error: PlatformError) -> None:
        """Record that a write of the progress of jobs has failed."""
        cause = next(name for kind, name in FAILURE_CAUSES if isinstance(error, kind))
        self._metrics.progress_write_failures.labels(cause).inc()
        is_repeated = job_ids[0] == self._failed_job
        self._set_repeats(job_ids[0], self._repeats + 1 if is_repeated else 1)

    def close(self) -> None:
        """Reset the gauges, as another daemon leads."""
        self._set_repeats("", 0)

    def _set_repeats(self, job_id: str, repeats: int) -> None:
        self._failed_job = job_id
        self._repeats = repeats
        self._metrics.progress_batch_repeats.set(repeats)
