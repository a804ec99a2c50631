"""Choice of the workers on which waiting tasks start."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_headroom import Headroom
from dogwoodlever._fleet_job import RunPhase, StepState, Task
from dogwoodlever._fleet_types import FleetConfiguration, Step
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._scheduling_order import scheduling_key
from dogwoodlever._ticket_source import TicketSource
from dogwoodlever._worker_capacity import WorkerCapacity, is_serving

# Part of a filling task's cores that must be left over where it starts.
SPARE_RATIO_MIN = 0.6
# Cost of a rack without the data, in thousandths of a core.
REMOTE_RACK_COST = 1_000_000
# Cost of another image among a worker's standing tasks, in thousandths of a
# core: fewer images leave more workers for the work that disturbs one of them.
OTHER_IMAGE_COST = 50_000
# Room that standing tasks should leave at a worker for short work, which cannot
# wait until they end, and the cost of leaving less; in thousandths of a core.
SHORT_WORK_RESERVE_MILLI = 2_000
SHORT_WORK_RESERVE_COST = 20_000
# Cost of doubling the tail latency of a standing task, in thousandths of a core.
INTERFERENCE_COST = 20_000
# A copy starts once a run takes this many times its declared time and more; run
# times are declared up to twice too short.
COPY_FACTOR = 2.0
COPY_MARGIN_S = 0.3
# What a worker gains for work that is borne everywhere by bearing other work
# badly, in thousandths of a core by core and unit of pressure.
SENSITIVITY_GAIN = 3_000


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the worker on which it is to start.

    Attributes
    ----------
    number : int
        Run number that the members of a gang share; 0 for a task by itself.
    ticket : str
        Ticket of the advice service; empty if the queue needs none.
    """

    task: Task
    capacity: WorkerCapacity
    number: int = 0
    ticket: str = ""


class UnplaceableSizes:
    """Sizes that found no room in one round; larger ones need not look again."""

    __slots__ = ("_sizes",)

    def __init__(self) -> None:
        self._sizes: dict[tuple, list[tuple[int, int, int]]] = {}

    def covers(self, step: StepState) -> bool:
        """Tell whether a step wants no less than one that found no room."""
        spec = step.spec
        return any(
            spec.cores_milli >= cores
            and spec.memory_mb >= memory
            and spec.accelerators >= accelerators
            for cores, memory, accelerators in self._sizes.get(_kind(step), ())
        )

    def add(self, step: StepState) -> None:
        """Record a step that found no room for one more task."""
        spec = step.spec
        if spec.worker_tasks_max:
            # Its own tasks may be what stands in the way.
            return
        size = (spec.cores_milli, spec.memory_mb, spec.accelerators)
        self._sizes.setdefault(_kind(step), []).append(size)


def _kind(step: StepState) -> tuple:
    spec = step.spec
    image = spec.image if spec.uses_leftover else ""
    return (step.job.queue.service, spec.label, spec.uses_leftover, image)


class FleetPlanner:
    """Places waiting tasks: urgent first, on the fullest worker that fits.

    Tasks on leftover cores go where they disturb the standing tasks least.

    Parameters
    ----------
    faults : FaultAttribution
        Tells which workers fail what they start.
    interference : Interference
        Tells which images disturb which.
    tickets : TicketSource
        Tells which workers may run the steps of some queues.
    """

    __slots__ = ("_faults", "_best_effort_images", "_interference", "_tickets")

    def __init__(
        self,
        faults: FaultAttribution,
        interference: InterferenceModel,
        tickets: TicketSource,
    ) -> None:
        self._tickets = tickets
        self._faults = faults
        self._interference = interference
        # Images of work on leftover cores that were met.
        self._best_effort_images: set[str] = set()

    def plan(
        self,
        registry: RunRegistry,
        capacities: Iterable[WorkerCapacity],
        configuration: FleetConfiguration,
        now_s: float,
        now_ms: float,
        skips_inherited: bool,
    ):
        """Yield placements; the caller counts each before asking for the next.

        Parameters
        ----------
        registry : FleetBoard
            Jobs and runs.
        capacities : iterable of WorkerRoom
            Workers that take new tasks now.
        configuration : FleetConfiguration
            Names the service of each queue.
        now_s, now_ms : float
            The scheduler's clock, and Unix time.
        skips_inherited : bool
            Whether jobs of an earlier term have to wait, because a worker that
            was not read yet may run their tasks.
        """
        by_service: dict[str, list[WorkerCapacity]] = {}
        for capacity in capacities:
            if now_s >= capacity.refused_until_s:
                by_service.setdefault(capacity.entry.service, []).append(capacity)
        steps = [
            step
            for step in registry.active_steps()
            if not (skips_inherited and step.job.is_inherited)
        ]
        steps.sort(key=lambda step: scheduling_key(step, now_s, now_ms))
        unplaceable = UnplaceableSizes()
        headroom = Headroom(self._interference, now_s)
        for step in steps:
            if step.spec.uses_leftover:
                self._best_effort_images.add(step.spec.image)
            queue = configuration.queues.get(step.job.queue.name, step.job.queue)
            candidates = by_service.get(queue.service, ())
            yield from self._place_step(step, candidates, now_s, unplaceable, headroom)
            if step.ready and _needs_ticket(step):
                self._tickets.request(
                    step, self._ticket_candidates(step, candidates, now_s)
                )

    def _ticket_candidates(self, step: StepState, candidates, now_s: float):
        """Return the workers that would take a step's tasks with a ticket."""
        capacities = [
            capacity
            for capacity in candidates
            if capacity.fits(step.spec) and self._is_allowed(capacity, step, now_s)
        ]
        spec = step.spec
        capacities.sort(
            key=lambda capacity: (
                spec.rack not in ("", capacity.entry.rack),
                -capacity.cores_free,
            )
        )
        return capacities

    def speculative_copies(
        self, registry: RunRegistry, capacities: list[WorkerCapacity], now_s: float
    ) -> Iterable[Placement]:
        """Yield second runs of tasks that are late, where copies are allowed.

        Answers slow, hung and unreachable workers for short work that cannot wait
        until they are known as such.

        Parameters
        ----------
        registry : FleetBoard
            Jobs and runs.
        capacities : list of WorkerRoom
            Workers that take new tasks now.
        now_s : float
            The scheduler's clock.
        """
        headroom = Headroom(self._interference, now_s)
        for task in _late_tasks(registry, now_s):
            own = {run.worker_id for run in task.runs.values()}
            service = task.step.job.queue.service
            others = [
                capacity
                for capacity in capacities
                if capacity.entry.service == service
                and capacity.entry.worker_id not in own
            ]
            capacity = self._choose(task, others, now_s, headroom)
            if capacity is not None:
                yield self._placement(task, capacity)

    def tasks_to_move(
        self, throttled: Iterable[tuple[Task, WorkerCapacity]], capacities, now_s: float
    ):
        """Yield the tasks among slowed ones that another worker would take now."""
        headroom = Headroom(self._interference, now_s)
        for task, own in throttled:
            service = task.step.job.queue.service
            others = [
                r for r in capacities if r is not own and r.entry.service == service
            ]
            capacity = self._choose(task, others, now_s, headroom)
            if capacity is not None:
                headroom.reserve(capacity, task.step.spec)
                yield task

    def _place_step(
        self,
        step: StepState,
        candidates,
        now_s: float,
        unplaceable: "UnplaceableSizes",
        headroom: Headroom,
    ):
        spec = step.spec
        if not _needs_ticket(step) and unplaceable.covers(step):
            return
        if spec.gang:
            yield from self._place_gang(step, candidates, now_s, headroom)
            return
        ranked = self._rank(step, candidates, now_s, headroom)
        for task in list(step.ready.values()):
            if task.failed_on:
                capacity = self._choose(task, candidates, now_s, headroom)
            else:
                capacity = self._pop_best(ranked, step, now_s, headroom)
            if capacity is None:
                if not task.failed_on:
                    if not _needs_ticket(step):
                        unplaceable.add(step)
                    return
                continue
            yield self._placement(task, capacity)
            if spec.uses_leftover:
                headroom.reserve(capacity, spec)
            self._push(ranked, capacity, step, now_s, headroom)

    def _rank(self, step: StepState, candidates, now_s: float, headroom: Headroom):
        """Return a heap of the workers that would take a task of a step."""
        ranked: list[tuple[float, str, WorkerCapacity]] = []
        for capacity in candidates:
            self._push(ranked, capacity, step, now_s, headroom)
        return ranked

    def _push(self, ranked, capacity: WorkerCapacity, step, now_s, headroom) -> None:
        if not capacity.fits(step.spec) or not self._may_take(capacity, step, now_s):
            return
        cost = self._cost(capacity, step.spec, headroom)
        if cost is not None:
            heapq.heappush(ranked, (cost, capacity.entry.worker_id, capacity))

    def _pop_best(self, ranked, step, now_s, headroom) -> WorkerCapacity | None:
        """Return the worker of least cost; its entry may be from before a placement."""
        while ranked:
            _, _, capacity = heapq.heappop(ranked)
            if not capacity.fits(step.spec) or not self._may_take(
                capacity, step, now_s
            ):
                continue
            if self._cost(capacity, step.spec, headroom) is not None:
                return capacity
        return None

    def _place_gang(
        self, step: StepState, candidates, now_s: float, headroom: Headroom
    ):
        if len(step.ready) < len(step.tasks):
            return
        racks = (
            {capacity.entry.rack for capacity in candidates}
            if step.spec.same_rack
            else ()
        )
        for rack in sorted(racks):
            near = [capacity for capacity in candidates if capacity.entry.rack == rack]
            if self._fits_gang(step, near, now_s):
                candidates = near
                break
        if not self._fits_gang(step, candidates, now_s):
            return
        number = 1 + max(task.last_run for task in step.tasks)
        for task in list(step.ready.values()):
            capacity = self._choose(task, candidates, now_s, headroom)
            if capacity is None:
                return
            yield self._placement(task, capacity, number)

    def _fits_gang(self, step: StepState, candidates, now_s: float) -> bool:
        spec = step.spec
        places = 0
        for capacity in candidates:
            if self._may_take(capacity, step, now_s):
                places += _tasks_that_fit(capacity, spec)
            if places >= len(step.tasks):
                return True
        return False

    def _choose(
        self, task: Task, candidates, now_s: float, headroom: Headroom
    ) -> WorkerCapacity | None:
        step = task.step
        best = None
        best_cost = 0.0
        for capacity in candidates:
            if not capacity.fits(step.spec) or not self._may_take(
                capacity, step, now_s
            ):
                continue
            cost = self._cost(capacity, step.spec, headroom)
            if cost is None:
                continue
            if capacity.entry.worker_id in task.failed_on:
                cost += REMOTE_RACK_COST
            if best is None or cost < best_cost:
                best, best_cost = capacity, cost
        return best

    def _placement(
        self, task: Task, capacity: WorkerCapacity, number: int = 0
    ) -> Placement:
        return Placement(
            task, capacity, number, self._tickets.ticket(task.step, capacity)
        )

    def _may_take(
        self, capacity: WorkerCapacity, step: StepState, now_s: float
    ) -> bool:
        """Tell whether a worker may run a task of a step now."""
        if _needs_ticket(step) and not self._tickets.ticket(step, capacity):
            return False
        return self._is_allowed(capacity, step, now_s)

    def _is_allowed(
        self, capacity: WorkerCapacity, step: StepState, now_s: float
    ) -> bool:
        spec = step.spec
        if spec.label and spec.label not in capacity.entry.labels:
            return False
        worker_id = capacity.entry.worker_id
        most = spec.worker_tasks_max
        if most and step.worker_tasks.get(worker_id, 0) >= most:
            return False
        task_limit = self._faults.task_limit(worker_id, now_s)
        return task_limit is None or len(capacity.runs) < task_limit

    def _cost(
        self, capacity: WorkerCapacity, spec: Step, headroom: Headroom
    ) -> float | None:
        """Return a worker's cost for a task, None if it should not run there."""
        cost = float(capacity.entry.warmup_remaining_ms)
        if spec.rack and capacity.entry.rack != spec.rack:
            cost += REMOTE_RACK_COST
        if spec.uses_leftover:
            if capacity.spare_milli < spec.cores_milli * SPARE_RATIO_MIN:
                return None
            interference = headroom.added_interference(capacity, spec)
            if interference is None:
                return None
            sensitivity = headroom.sensitivity(capacity, self._best_effort_images)
            cost += interference * INTERFERENCE_COST - sensitivity * SENSITIVITY_GAIN
            return cost - capacity.spare_milli
        if is_serving(spec):
            images = {serving.image for _, serving in capacity.serving_runs()}
            others = len(images - {spec.image}) * OTHER_IMAGE_COST
            interference = self._interference_on(spec, capacity) * INTERFERENCE_COST
            left = capacity.cores_free - spec.cores_milli
            full = SHORT_WORK_RESERVE_COST if left < SHORT_WORK_RESERVE_MILLI else 0
            return cost + interference + others + full + capacity.cores_free
        return cost + capacity.cores_free

    def _interference_on(self, spec: Step, capacity: WorkerCapacity) -> float:
        return self._interference.total(spec.image, capacity.interfering_cores())


def _needs_ticket(step: StepState) -> bool:
    return step.job.queue.advice is not None


def _late_tasks(registry: RunRegistry, now_s: float) -> list[Task]:
    found = []
    for state in registry.active.values():
        for occurrence in state.occurrences.values():
            for step in occurrence.steps:
                if step.is_open and step.spec.speculative and not step.is_done:
                    found.extend(t for t in step.tasks if _is_late(t, now_s))
    return found


def _is_late(task: Task, now_s: float) -> bool:
    """Tell whether a task's only run takes far longer than declared."""
    if task.is_done or len(task.runs) != 1:
        return False
    run = next(iter(task.runs.values()))
    limit_s = COPY_FACTOR * task.step.spec.run_estimate_ms / 1000 + COPY_MARGIN_S
    return run.phase is not RunPhase.STOPPING and now_s - run.started_s > limit_s


def _tasks_that_fit(capacity: WorkerCapacity, spec: Step) -> int:
    places = spec.tasks
    if spec.cores_milli and not spec.uses_leftover:
        places = min(places, capacity.cores_free // spec.cores_milli)
    if spec.memory_mb:
        free_mb = capacity.entry.memory_mb - capacity.memory_used
        places = min(places, free_mb // spec.memory_mb)
    if spec.accelerators:
        free = capacity.entry.accelerators - capacity.accelerators_used
        places = min(places, free // spec.accelerators)
    if spec.worker_tasks_max:
        places = min(places, spec.worker_tasks_max)
    return max(0, places)
