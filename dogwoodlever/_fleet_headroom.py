"""How much more interference the standing tasks of each worker tolerate.

Work may interfere with some images and not with others. Each task goes where it is
tolerated best, and work that is tolerated everywhere avoids the workers that tolerate
more harmful work.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodlever._fleet_types import Step
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._worker_capacity import WorkerCapacity

# Ratio of the latency target that best-effort work may use up where it is placed.
TARGET_RATIO = 0.9
# Share of the current excess latency that is expected to persist.
EXCESS_PERSISTENCE = 0.5
# How far ahead the load is predicted.
LOOKAHEAD_S = 1.0
# Load to assume at least, relative to the mean: a best-effort task outlasts the
# moments of low load.
PLANNED_LOAD_MIN = 1.1
# Standard deviation, per core, from which a pair of images counts as untested.
UNTESTED_DEVIATION = 0.15
# Best-effort tasks of an untested pair that run at a time. Most pairs tolerate each
# other, the others do great harm, and one task shows which.
UNTESTED_TASKS_MAX = 2
# How long the headroom of a worker is kept while nothing is reported of it.
HEADROOM_VALID_S = 0.5


@dataclass(slots=True)
class CachedHeadroom:
    """Headroom of one worker, kept between the rounds of planning.

    Attributes
    ----------
    capacity : WorkerCapacity
        The worker, in one incarnation.
    version : int
        Its version when the headroom was computed.
    computed_s : float
        When it was computed.
    by_image : dict of str to float
        Interference that each standing image still tolerates.
    sensitivity : float or None
        How strongly best-effort images interfere there, None before first use.
    """

    capacity: WorkerCapacity
    version: int
    computed_s: float
    by_image: dict[str, float]
    sensitivity: float | None = None

    def is_valid(self, capacity: WorkerCapacity, now_s: float) -> bool:
        """Return whether nothing has changed since it was computed."""
        return (
            self.capacity is capacity
            and self.version == capacity.version
            and now_s - self.computed_s < HEADROOM_VALID_S
        )


class Headroom:
    """Headroom of workers at one moment, computed on first use.

    Parameters
    ----------
    interference : InterferenceModel
        Estimates of interference.
    now_s : float
        Current time.
    capacities : iterable of WorkerCapacity
        All workers, whose runs count as tests of their pairs.
    cache : dict of str to CachedHeadroom
        Headroom by worker id, kept by the owner for the next round.
    """

    __slots__ = (
        "_by_worker",
        "_cache",
        "_capacities",
        "_interference",
        "_now_s",
        "_pairs",
        "_running",
    )

    def __init__(
        self,
        interference: InterferenceModel,
        now_s: float,
        capacities: Iterable[WorkerCapacity],
        cache: dict[str, CachedHeadroom],
    ) -> None:
        self._cache = cache
        self._interference = interference
        self._now_s = now_s
        self._capacities = capacities
        self._by_worker: dict[str, dict[str, float]] = {}
        self._pairs: dict[tuple[str, str], tuple[float, float, bool]] = {}
        # Best-effort tasks by pair of images, counted when first needed.
        self._running: Counter[tuple[str, str]] | None = None

    def _pair(self, image: str, aggressor: str) -> tuple[float, float, bool]:
        """Return what is known of a pair.

        The interference of a core, expected and with a safety margin, and whether
        the pair is untested.
        """
        pair = self._pairs.get((image, aggressor))
        if pair is None:
            deviation = self._interference.deviation_per_core(image, aggressor)
            pair = (
                self._interference.per_core(image, aggressor),
                self._interference.upper_bound_per_core(image, aggressor),
                deviation >= UNTESTED_DEVIATION,
            )
            self._pairs[image, aggressor] = pair
        return pair

    def _running_of(self, image: str, aggressor: str) -> int:
        """Return how many best-effort tasks of a pair run."""
        if self._running is None:
            self._running = Counter()
            for capacity in self._capacities:
                self._count_running(capacity)
        return self._running[image, aggressor]

    def _count_running(self, capacity: WorkerCapacity) -> None:
        if not capacity.serving_count or not capacity.best_effort_milli:
            return
        images = {step.image for _, step in capacity.serving_runs()}
        for _, step in capacity.best_effort_runs():
            for image in images:
                self._running[image, step.image] += 1

    def by_image(self, capacity: WorkerCapacity) -> dict[str, float]:
        """Return the interference that each standing image still tolerates."""
        headroom = self._by_worker.get(capacity.entry.worker_id)
        if headroom is None:
            # A copy, since placements of this round are subtracted from it.
            headroom = dict(self._cached(capacity).by_image)
            self._by_worker[capacity.entry.worker_id] = headroom
        return headroom

    def _cached(self, capacity: WorkerCapacity) -> CachedHeadroom:
        worker_id = capacity.entry.worker_id
        cached = self._cache.get(worker_id)
        if cached is None or not cached.is_valid(capacity, self._now_s):
            cached = CachedHeadroom(
                capacity, capacity.version, self._now_s, self._compute(capacity)
            )
            self._cache[worker_id] = cached
        return cached

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
                PLANNED_LOAD_MIN,
            )
            headroom[step.image] = min(limit, headroom.get(step.image, limit))
        for image in headroom:
            for other, cores in colocated_cores.items():
                headroom[image] -= cores * self._pair(image, other)[0]
        return headroom

    def expected_interference(self, capacity: WorkerCapacity, step: Step) -> float:
        """Return the interference that a best-effort task is expected to add."""
        cores = capacity.to_reference_cores(step.cores_milli)
        images = self.by_image(capacity)
        return cores * sum(self._pair(image, step.image)[0] for image in images)

    def added_interference(self, capacity: WorkerCapacity, step: Step) -> float | None:
        """Return the interference that a best-effort task adds, None if too much."""
        cores = capacity.to_reference_cores(step.cores_milli)
        total = 0.0
        for image, remaining in self.by_image(capacity).items():
            _, bound_per_core, is_untested = self._pair(image, step.image)
            upper_bound = cores * bound_per_core
            if upper_bound > remaining:
                return None
            if (
                is_untested
                and self._running_of(image, step.image) >= UNTESTED_TASKS_MAX
            ):
                return None
            total += upper_bound
        return total

    def reserve(self, capacity: WorkerCapacity, step: Step) -> None:
        """Subtract a placed best-effort task from the headroom."""
        cores = capacity.to_reference_cores(step.cores_milli)
        remaining = self.by_image(capacity)
        for image in remaining:
            remaining[image] -= cores * self._pair(image, step.image)[0]
            if self._running is not None:
                self._running[image, step.image] += 1

    def sensitivity(self, capacity: WorkerCapacity, images: set[str]) -> float:
        """Return how strongly some images interfere with a worker's standing tasks."""
        cached = self._cached(capacity)
        if cached.sensitivity is None:
            cached.sensitivity = sum(
                self._pair(image, other)[0]
                for image in cached.by_image
                for other in images
            )
        return cached.sensitivity
