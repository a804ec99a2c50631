"""How much disturbance the standing tasks of each worker still bear.

Answers work that disturbs some images and not others: each piece goes where it
is borne best, and work that is borne everywhere leaves the workers alone that
bear the other kind.
"""

from dogwoodlever._fleet_types import Step
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._worker_capacity import WorkerCapacity

# Part of its target that a standing task is expected to stay below.
TARGET_RATIO = 1.0
# How far an excess over the expectation is taken to last.
EXCESS_PERSISTENCE = 0.5
# How far ahead a load is looked at.
LOOKAHEAD_S = 1.0


class Headroom:
    """Headroom of workers at one moment, worked out when first asked for.

    Parameters
    ----------
    interference : Interference
        Estimates.
    now_s : float
        Present time.
    """

    __slots__ = ("_by_worker", "_interference", "_now_s", "_pairs")

    def __init__(self, interference: InterferenceModel, now_s: float) -> None:
        self._interference = interference
        self._now_s = now_s
        self._by_worker: dict[str, dict[str, float]] = {}
        self._pairs: dict[tuple[str, str], tuple[float, float]] = {}

    def _pair(self, image: str, aggressor: str) -> tuple[float, float]:
        """Return the expected and the cautious pressure of a core."""
        pair = self._pairs.get((image, aggressor))
        if pair is None:
            pair = (
                self._interference.per_core(image, aggressor),
                self._interference.upper_bound_per_core(image, aggressor),
            )
            self._pairs[image, aggressor] = pair
        return pair

    def by_image(self, capacity: WorkerCapacity) -> dict[str, float]:
        """Return the pressure that a worker's standing images still bear."""
        found = self._by_worker.get(capacity.entry.worker_id)
        if found is None:
            found = self._compute(capacity)
            self._by_worker[capacity.entry.worker_id] = found
        return found

    def _compute(self, capacity: WorkerCapacity) -> dict[str, float]:
        colocated_cores = capacity.interfering_cores()
        found: dict[str, float] = {}
        for run, step in capacity.serving_runs():
            limit = self._interference.limit(
                run.run_id.task.job_id,
                step.image,
                TARGET_RATIO,
                run.latency_excess * EXCESS_PERSISTENCE,
                self._now_s + LOOKAHEAD_S,
            )
            found[step.image] = min(limit, found.get(step.image, limit))
        for image in found:
            for other, cores in colocated_cores.items():
                found[image] -= cores * self._pair(image, other)[0]
        return found

    def added_interference(self, capacity: WorkerCapacity, step: Step) -> float | None:
        """Return the pressure that a filling task adds, None if it is too much."""
        cores = capacity.to_reference_cores(step.cores_milli)
        total = 0.0
        for image, left in self.by_image(capacity).items():
            cautious = cores * self._pair(image, step.image)[1]
            if cautious > left:
                return None
            total += cautious
        return total

    def reserve(self, capacity: WorkerCapacity, step: Step) -> None:
        """Count a filling task that was placed."""
        cores = capacity.to_reference_cores(step.cores_milli)
        left = self.by_image(capacity)
        for image in left:
            left[image] -= cores * self._pair(image, step.image)[0]

    def sensitivity(self, capacity: WorkerCapacity, images: set[str]) -> float:
        """Return how badly a worker's standing tasks bear some images."""
        return sum(
            self._pair(image, other)[0]
            for image in self.by_image(capacity)
            for other in images
        )
