"""How much more interference the standing tasks of each worker tolerate.

Work may interfere with some images and not with others. Each task goes where it is
tolerated best, and work that is tolerated everywhere avoids the workers that tolerate
more harmful work.
"""

from dogwoodlever._fleet_types import Step
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._worker_capacity import WorkerCapacity

# Ratio of the latency target below which a standing task is kept.
TARGET_RATIO = 1.0
# Share of the current excess latency that is expected to persist.
EXCESS_PERSISTENCE = 0.5
# How far ahead the load is predicted.
LOOKAHEAD_S = 1.0


class Headroom:
    """Headroom of workers at one moment, computed on first use.

    Parameters
    ----------
    interference : InterferenceModel
        Estimates of interference.
    now_s : float
        Current time.
    """

    __slots__ = ("_by_worker", "_interference", "_now_s", "_pairs")

    def __init__(self, interference: InterferenceModel, now_s: float) -> None:
        self._interference = interference
        self._now_s = now_s
        self._by_worker: dict[str, dict[str, float]] = {}
        self._pairs: dict[tuple[str, str], tuple[float, float]] = {}

    def _pair(self, image: str, aggressor: str) -> tuple[float, float]:
        """Return the interference of a core, expected and with a safety margin."""
        pair = self._pairs.get((image, aggressor))
        if pair is None:
            pair = (
                self._interference.per_core(image, aggressor),
                self._interference.upper_bound_per_core(image, aggressor),
            )
            self._pairs[image, aggressor] = pair
        return pair

    def by_image(self, capacity: WorkerCapacity) -> dict[str, float]:
        """Return the interference that each standing image still tolerates."""
        headroom = self._by_worker.get(capacity.entry.worker_id)
        if headroom is None:
            headroom = self._compute(capacity)
            self._by_worker[capacity.entry.worker_id] = headroom
        return headroom

    def _compute(self, capacity: WorkerCapacity) -> dict[str, float]:
        colocated_cores = capacity.interfering_cores()
        headroom: dict[str, float] = {}
        for run, step in capacity.serving_runs():
            limit = self._interference.limit(
                run.run_id.task.job_id,
                step.image,
                TARGET_RATIO,
                run.latency_excess * EXCESS_PERSISTENCE,
                self._now_s + LOOKAHEAD_S,
            )
            headroom[step.image] = min(limit, headroom.get(step.image, limit))
        for image in headroom:
            for other, cores in colocated_cores.items():
                headroom[image] -= cores * self._pair(image, other)[0]
        return headroom

    def added_interference(self, capacity: WorkerCapacity, step: Step) -> float | None:
        """Return the interference that a best-effort task adds, None if too much."""
        cores = capacity.to_reference_cores(step.cores_milli)
        total = 0.0
        for image, remaining in self.by_image(capacity).items():
            upper_bound = cores * self._pair(image, step.image)[1]
            if upper_bound > remaining:
                return None
            total += upper_bound
        return total

    def reserve(self, capacity: WorkerCapacity, step: Step) -> None:
        """Subtract a placed best-effort task from the headroom."""
        cores = capacity.to_reference_cores(step.cores_milli)
        remaining = self.by_image(capacity)
        for image in remaining:
            remaining[image] -= cores * self._pair(image, step.image)[0]

    def sensitivity(self, capacity: WorkerCapacity, images: set[str]) -> float:
        """Return how strongly some images interfere with a worker's standing tasks."""
        return sum(
            self._pair(image, other)[0]
            for image in self.by_image(capacity)
            for other in images
        )
