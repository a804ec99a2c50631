"""Runs that were dropped lately, which nothing should report any more."""

from dataclasses import dataclass

from dogwoodlever._drop_evidence import DropCause
from dogwoodlever._fleet_types import RunId, WorkerEntry

# Outlasts the delay of a late order and the longest lease.
KEPT_S = 60.0
KEPT_MAX = 4_096


@dataclass(slots=True, frozen=True)
class Drop:
    """Why a run was dropped.

    Attributes
    ----------
    started_at_ms : int
        Start of the worker's incarnation, as known when the run was dropped.
    dropped_s : float
        When the run was dropped.
    """

    worker_id: str
    started_at_ms: int
    cause: DropCause
    dropped_s: float


class DroppedRuns:
    """Keeps the newest dropped runs for a time; the oldest ones go first."""

    __slots__ = ("_drops",)

    def __init__(self) -> None:
        self._drops: dict[RunId, Drop] = {}

    def add(
        self, run_id: RunId, worker: WorkerEntry, cause: DropCause, now_s: float
    ) -> None:
        """Record that a run on a worker was dropped."""
        self._drops.pop(run_id, None)
        self._expire(now_s, KEPT_MAX - 1)
        self._drops[run_id] = Drop(worker.worker_id, worker.started_at_ms, cause, now_s)

    def log_fields(self, run_id: RunId, now_s: float) -> dict[str, object]:
        """Return the evidence on a run for a log line, empty if it was not dropped."""
        self._expire(now_s, KEPT_MAX)
        drop = self._drops.get(run_id)
        if drop is None:
            return {}
        return {
            "dropped_worker": drop.worker_id,
            "dropped_incarnation": drop.started_at_ms,
            "evidence": drop.cause.evidence,
            "evidence_age_s": drop.cause.age_s(now_s),
        }

    def _expire(self, now_s: float, count_max: int) -> None:
        while self._drops:
            oldest = next(iter(self._drops))
            age_s = now_s - self._drops[oldest].dropped_s
            if age_s <= KEPT_S and len(self._drops) <= count_max:
                return
            del self._drops[oldest]
