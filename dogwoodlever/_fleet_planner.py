"""Placement of waiting tasks on workers."""

import heapq
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodlever._crash_attribution import PROBATION_MS, CrashAttribution
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_headroom import CachedHeadroom, Headroom
from dogwoodlever._fleet_job import RunPhase, StepState, Task
from dogwoodlever._fleet_types import FleetConfiguration, Step, TaskId
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._room_reservations import RoomReservation, RoomReservations
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._scheduling_order import scheduling_key
from dogwoodlever._ticket_source import TicketSource
from dogwoodlever._waiting_steps import WaitingSteps
from dogwoodlever._worker_capacity import WorkerCapacity, is_serving
from dogwoodlever._workspace_shares import WorkspaceShares

# Share of a best-effort task's cores that must be spare where it starts.
SPARE_RATIO_MIN = 0.6
# Cost of a rack without the data, and of a worker on which the task has failed, in
# thousandths of a core.
AVOID_COST = 1_000_000
# Cost of each other image among a worker's standing tasks, in thousandths of a core.
# With fewer images per worker, more workers suit work that interferes with one.
OTHER_IMAGE_COST = 50_000
# Cores that standing tasks should leave on a worker for short work, which cannot
# wait until they end, and the cost of leaving less; in thousandths of a core.
SHORT_WORK_RESERVE_MILLI = 2_000
SHORT_WORK_RESERVE_COST = 20_000
# Cost of a unit of interference, which more than doubles the tail latency of a
# standing task, in thousandths of a core.
INTERFERENCE_COST = 20_000
# Costs of each run beside a task that may crash its worker, in thousandths of a core. A
# run on probation may be the cause of the next crash.
COLOCATED_RUN_COST = 50_000
YOUNG_COLOCATED_RUN_COST = 400_000
# A speculative copy starts once a run exceeds its estimate by this factor plus the
# margin. Estimates may be too short by a factor of two.
COPY_FACTOR = 2.0
COPY_MARGIN_S = 0.3
# A standing task that was interrupted for this long goes before all other work, so that
# it runs again within the 6 s that the platform allows.
INTERRUPTION_MAX_S = 3.0
# Starts of other tasks for each start of an overdue one before them.
STARTS_PER_OVERDUE = 32
# Cost reduction for tolerated work on workers that are sensitive to other work, in
# thousandths of a core per unit of interference from one core.
SENSITIVITY_GAIN = 3_000


@dataclass(slots=True, frozen=True)
class WaitExplanation:
    """Why a step with ready tasks waits.

    Attributes
    ----------
    obstacles : dict of str to int
        Number of workers by what keeps the step's next task from them.
    largest_free_milli : int
        Unreserved cores of the service's worker with the most, in thousandths.
    unconfirmed_milli : int
        Cores of the service's runs that have no answer yet or are being stopped.
    """

    step: StepState
    wait_s: float
    obstacles: dict[str, int]
    largest_free_milli: int = 0
    unconfirmed_milli: int = 0


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the worker on which it starts.

    Attributes
    ----------
    number : int
        Run number shared by the members of a gang; 0 for a single task.
    ticket : str
        Ticket from the advice service; empty if the queue needs none.
    gang_rest : int
        Members of the gang that follow, and have to start in the same round.
    """

    task: Task
    capacity: WorkerCapacity
    number: int = 0
    ticket: str = ""
    gang_rest: int = 0


class UnplaceableSizes:
    """Task sizes that fit no worker in one round, so that larger ones are skipped."""

    __slots__ = ("_sizes",)

    def __init__(self) -> None:
        self._sizes: dict[tuple, list[tuple[int, int, int]]] = {}

    def covers(self, step: StepState) -> bool:
        """Return whether a step needs at least as much as one that did not fit."""
        spec = step.spec
        return any(
            spec.cores_milli >= cores
            and spec.memory_mb >= memory
            and spec.accelerators >= accelerators
            for cores, memory, accelerators in self._sizes.get(_constraints(step), ())
        )

    def add(self, step: StepState) -> None:
        """Record a step whose next task fits no worker."""
        spec = step.spec
        if spec.worker_tasks_max:
            # The step's own tasks may be the reason.
            return
        size = (spec.cores_milli, spec.memory_mb, spec.accelerators)
        self._sizes.setdefault(_constraints(step), []).append(size)


class SpareOrder:
    """Workers by their spare cores at the start of a round, so that few are tried."""

    __slots__ = ("_capacities", "_negative_spares")

    def __init__(self, capacities: Iterable[WorkerCapacity]) -> None:
        rows = sorted(
            ((-capacity.spare_milli, capacity) for capacity in capacities),
            key=lambda row: row[0],
        )
        self._negative_spares = [spare for spare, _ in rows]
        self._capacities = [capacity for _, capacity in rows]

    def with_spare(self, spare_milli: float) -> list[WorkerCapacity]:
        """Return the workers that had at least `spare_milli`."""
        return self._capacities[: bisect_right(self._negative_spares, -spare_milli)]


def _spare_min(spec: Step) -> float:
    """Return the spare cores that a best-effort task needs where it starts."""
    return spec.cores_milli * SPARE_RATIO_MIN


def _constraints(step: StepState) -> tuple:
    spec = step.spec
    image = spec.image if spec.uses_leftover else ""
    return (step.job.service, spec.label, spec.uses_leftover, image)


class FleetPlanner:
    """Places waiting tasks: urgent first, on the fullest worker that fits.

    Best-effort tasks go where they interfere least with standing tasks.

    Parameters
    ----------
    faults : FaultAttribution
        Limits the tasks on workers whose runs fail.
    crashes : CrashAttribution
        Isolates tasks that may crash their workers.
    interference : InterferenceModel
        Estimates the interference between images.
    tickets : TicketSource
        Provides tickets for steps of queues that need them.
    shares : WorkspaceShares or None
        Orders steps and applies caps if the configuration has workspaces.
    """

    __slots__ = (
        "_best_effort_images",
        "_crashes",
        "_faults",
        "_headrooms",
        "_interference",
        "_interrupted_since_s",
        "_reservations",
        "_shares",
        "_starts_since_overdue",
        "_tickets",
        "_waiting",
    )

    def __init__(
        self,
        faults: FaultAttribution,
        crashes: CrashAttribution,
        interference: InterferenceModel,
        tickets: TicketSource,
        shares: WorkspaceShares | None = None,
    ) -> None:
        self._tickets = tickets
        self._shares = shares
        self._faults = faults
        self._crashes = crashes
        self._interference = interference
        # Images of the best-effort work seen so far.
        self._best_effort_images: set[str] = set()
        self._headrooms: dict[str, CachedHeadroom] = {}
        # Since when standing tasks that have run wait to run again.
        self._interrupted_since_s: dict[TaskId, float] = {}
        self._waiting = WaitingSteps()
        # A leader knows no starts of its predecessors, and may not last for as many.
        self._starts_since_overdue = STARTS_PER_OVERDUE
        self._reservations = RoomReservations()

    def plan(
        self,
        registry: RunRegistry,
        capacities: list[WorkerCapacity],
        configuration: FleetConfiguration,
        now_s: float,
        now_ms: float,
        skips_inherited: bool,
    ):
        """Yield placements; the caller counts each before it requests the next.

        Parameters
        ----------
        registry : RunRegistry
            Jobs and runs.
        capacities : list of WorkerCapacity
            Capacities of the workers that accept new tasks.
        configuration : FleetConfiguration
            Names the workspaces.
        now_s, now_ms : float
            Time on the scheduler's clock, and Unix time.
        skips_inherited : bool
            Whether jobs of an earlier term wait because a worker that has not been
            polled yet may be running their tasks.
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
        self._waiting.update(steps, now_s)
        shares = self._shares if configuration.workspaces else None
        if shares is None:
            steps.sort(key=lambda step: scheduling_key(step, now_s, now_ms))
        else:
            keys = {step: scheduling_key(step, now_s, now_ms) for step in steps}
            keys = dict(sorted(keys.items(), key=lambda item: item[1]))
            steps = list(keys)
        interrupted_steps = self._find_interrupted(steps, now_s)
        if len(self._headrooms) > 2 * len(capacities):
            # Drops the workers that have left.
            self._headrooms.clear()
        unplaceable = UnplaceableSizes()
        headroom = Headroom(self._interference, now_s, capacities, self._headrooms)
        spare_by_service: dict[str, SpareOrder] = {}
        overdue = self._find_overdue(steps, now_s)
        yield from self._place_on_reserved(
            interrupted_steps, overdue, capacities, now_s, headroom
        )
        interrupted_steps = [
            (step, [task for task in tasks if task.is_ready])
            for step, tasks in interrupted_steps
        ]
        turns = [(step, None) for step in steps]
        interrupted_turns = interrupted_steps
        if shares is not None:
            entries = [capacity.entry for capacity in capacities]
            if interrupted_steps:
                interrupted_turns = shares.turns(
                    interrupted_steps, {}, entries, configuration
                )
            turns = shares.turns((), keys, entries, configuration)
        for step, tasks in interrupted_turns:
            candidates = self._candidates(step, by_service, spare_by_service)
            yield from self._place_turn(
                step, candidates, now_s, unplaceable, headroom, tasks
            )
        self._reserve_for_interrupted(interrupted_steps, by_service, now_s)
        yield from self._place_overdue_first(overdue, by_service, now_s, headroom)
        for step, tasks in turns:
            candidates = self._candidates(step, by_service, spare_by_service)
            yield from self._place_turn(
                step, candidates, now_s, unplaceable, headroom, tasks
            )
        yield from self._place_overdue_beside(overdue, by_service, now_s, headroom)

    def _candidates(
        self,
        step: StepState,
        by_service: dict[str, list[WorkerCapacity]],
        spare_by_service: dict[str, SpareOrder],
    ) -> list[WorkerCapacity]:
        """Return the workers of a step's service that may have room for its tasks."""
        service = step.job.service
        candidates = by_service.get(service, [])
        if not step.spec.uses_leftover:
            return candidates
        self._best_effort_images.add(step.spec.image)
        if service not in spare_by_service:
            spare_by_service[service] = SpareOrder(candidates)
        return spare_by_service[service].with_spare(_spare_min(step.spec))

    def _place_turn(
        self,
        step: StepState,
        candidates: list[WorkerCapacity],
        now_s: float,
        unplaceable: UnplaceableSizes,
        headroom: Headroom,
        tasks: list[Task] | None,
    ):
        """Yield placements of a step in its turn, and request the tickets it needs."""
        for placement in self._place_step(
            step, candidates, now_s, unplaceable, headroom, tasks
        ):
            self._waiting.record_start(step, now_s)
            self._starts_since_overdue += 1
            yield placement
        if step.ready and _needs_ticket(step):
            self._tickets.request(
                step, self._ticket_candidates(step, candidates, now_s)
            )

    def _place_on_reserved(
        self,
        interrupted_steps: list[tuple[StepState, list[Task]]],
        overdue: list[StepState],
        capacities: list[WorkerCapacity],
        now_s: float,
        headroom: Headroom,
    ):
        """Yield placements of tasks on the workers that are reserved for them."""
        waiting = {task.task_id for _, tasks in interrupted_steps for task in tasks}
        for reservation in self._reservations:
            if reservation.task.step in overdue:
                waiting.add(reservation.task.task_id)
        by_id = {}
        if waiting:
            by_id = {capacity.entry.worker_id: capacity for capacity in capacities}

        def is_usable(reservation: RoomReservation) -> bool:
            task = reservation.task
            capacity = by_id.get(reservation.worker_id)
            return (
                capacity is not None
                and self._may_wait_for_room(task)
                and self._may_run(capacity, task.step, now_s)
                and _could_fit(capacity, task.step.spec)
            )

        self._reservations.begin_round(waiting, is_usable, now_s)
        for reservation in self._reservations:
            task = reservation.task
            step = task.step
            capacity = by_id[reservation.worker_id]
            if (
                now_s < capacity.refused_until_s
                or not self._may_wait_for_room(task)
                or self._cheapest(task, (capacity,), now_s, headroom) is None
            ):
                continue
            self._reservations.release(task, now_s, "started")
            is_overdue = step in overdue
            if is_overdue:
                self._starts_since_overdue = 0
            self._waiting.record_start(step, now_s, is_overdue)
            yield self._placement(task, capacity)

    def _may_wait_for_room(self, task: Task) -> bool:
        """Return whether room is all that keeps a task from a start."""
        if task.task_id.index not in task.step.ready or self._crashes.is_held(task):
            return False
        return self._shares is None or self._shares.allows_copy(task.step)

    def _reserve_for_interrupted(
        self,
        interrupted_steps: list[tuple[StepState, list[Task]]],
        by_service: dict[str, list[WorkerCapacity]],
        now_s: float,
    ) -> None:
        """Reserve room for interrupted tasks that fit nowhere, by their wait."""
        waiting = [
            task
            for _, tasks in interrupted_steps
            for task in tasks
            if self._may_wait_for_room(task)
        ]
        waiting.sort(key=lambda task: self._interrupted_since_s[task.task_id])
        self._reserve(waiting, by_service, now_s)

    def _reserve(
        self,
        tasks: list[Task],
        by_service: dict[str, list[WorkerCapacity]],
        now_s: float,
    ) -> None:
        if not tasks:
            return

        def candidates(task: Task) -> list[WorkerCapacity]:
            return [
                capacity
                for capacity in by_service.get(task.step.job.service, ())
                if self._is_free_for(task, capacity.entry.worker_id)
                and self._may_run(capacity, task.step, now_s)
            ]

        counts = Counter({service: len(found) for service, found in by_service.items()})
        self._reservations.reserve(tasks, candidates, counts, now_s)

    def _is_free_for(self, task: Task, worker_id: str) -> bool:
        """Return whether a worker is not reserved for another task."""
        reservation = self._reservations.by_worker.get(worker_id)
        return reservation is None or reservation.task is task

    def _find_overdue(self, steps: list[StepState], now_s: float) -> list[StepState]:
        """Return a step of each overdue job, the longest wait first.

        Gangs are placed whole.
        """
        found: dict[str, StepState] = {}
        for step in self._waiting.overdue(steps, now_s):
            if not (step.spec.gang or step.job.has_runs):
                found.setdefault(step.job.job.job_id, step)
        return list(found.values())

    def _may_start_overdue(self, step: StepState) -> bool:
        """Return whether an overdue step may start a task after those of this round."""
        if step.job.has_runs or not step.ready:
            return False
        if self._shares is not None and not self._shares.allows_copy(step):
            return False
        return not self._crashes.is_held(next(iter(step.ready.values())))

    def _place_overdue_first(
        self, overdue: list[StepState], by_service, now_s: float, headroom: Headroom
    ):
        """Yield the placement of the most overdue task, at most one in some starts.

        Late work goes last, so that work which can be on time is, and would otherwise
        never start while more arrives.
        """
        blocked = [
            reservation.task
            for reservation in self._reservations
            if reservation.task.step in overdue
        ]
        self._reserve(blocked, by_service, now_s)
        if self._starts_since_overdue < STARTS_PER_OVERDUE:
            return
        for step in overdue:
            if not self._may_start_overdue(step):
                continue
            task = next(iter(step.ready.values()))
            candidates = by_service.get(step.job.service, ())
            capacity = self._cheapest(task, candidates, now_s, headroom)
            if capacity is None and not blocked and not step.spec.uses_leftover:
                blocked.append(task)
                self._reserve(blocked, by_service, now_s)
            if capacity is not None:
                self._starts_since_overdue = 0
                self._waiting.record_start(step, now_s, is_overdue=True)
                yield self._placement(task, capacity)
                if step.spec.uses_leftover:
                    headroom.reserve(capacity, step.spec)
                return

    def _place_overdue_beside(
        self, overdue: list[StepState], by_service, now_s: float, headroom: Headroom
    ):
        """Yield placements of best-effort tasks of overdue jobs, one a job.

        They share the cores that others leave unused with the best-effort work that
        runs, also if that work or the interference takes all of what is spare. The
        throttling of best-effort work protects the standing tasks.
        """
        for step in overdue:
            if not step.spec.uses_leftover or not self._may_start_overdue(step):
                continue
            task = next(iter(step.ready.values()))
            candidates = [
                capacity
                for capacity in by_service.get(step.job.service, ())
                if capacity.fits(step.spec)
                and capacity.entry.worker_id not in task.failed_on
                and self._may_run(capacity, step, now_s)
            ]
            if not candidates:
                continue
            capacity = min(
                candidates,
                key=lambda capacity, spec=step.spec: (
                    headroom.expected_interference(capacity, spec) * INTERFERENCE_COST
                    - capacity.spare_milli
                ),
            )
            self._waiting.record_start(step, now_s, is_overdue=True)
            yield self._placement(task, capacity)
            headroom.reserve(capacity, step.spec)

    def _find_interrupted(
        self, steps: list[StepState], now_s: float
    ) -> list[tuple[StepState, list[Task]]]:
        """Return the steps with standing tasks that go first, and these tasks."""
        since_s: dict[TaskId, float] = {}
        found = []
        for step in steps:
            if not step.spec.standing or step.spec.gang:
                continue
            overdue = []
            for task in step.ready.values():
                if not task.last_run and not step.job.is_inherited:
                    continue
                task_id = task.task_id
                # A former leader knew when an inherited task was interrupted.
                first_s = step.job.arrived_s if task.is_inherited else now_s
                since_s[task_id] = self._interrupted_since_s.get(task_id, first_s)
                if now_s - since_s[task_id] >= INTERRUPTION_MAX_S:
                    overdue.append(task)
            if overdue:
                found.append((step, overdue))
        self._interrupted_since_s = since_s
        return found

    def _ticket_candidates(self, step: StepState, candidates, now_s: float):
        """Return the workers that need only a ticket to run a step's tasks."""
        capacities = [
            capacity
            for capacity in candidates
            if capacity.fits(step.spec) and not self._limit(capacity, step, now_s)
        ]
        spec = step.spec
        capacities.sort(
            key=lambda capacity: (
                spec.rack not in ("", capacity.entry.rack),
                -capacity.cores_free,
            )
        )
        return capacities

    def explain_longest_wait(
        self,
        registry: RunRegistry,
        capacities: list[WorkerCapacity],
        now_s: float,
        skips_inherited: bool,
    ) -> WaitExplanation | None:
        """Return what keeps the step that has waited longest from a start.

        Returns None if no step with ready tasks waits.

        Parameters
        ----------
        registry : RunRegistry
            Jobs and runs.
        capacities : list of WorkerCapacity
            Capacities of the workers that accept new tasks.
        now_s : float
            Time on the scheduler's clock.
        skips_inherited : bool
            Whether jobs of an earlier term wait for workers that were not polled.
        """
        longest = self._waiting.longest(registry.active_steps(), now_s)
        if longest is None:
            return None
        step, wait_s = longest
        if skips_inherited and step.job.is_inherited:
            return WaitExplanation(
                step, wait_s, {"workers-not-polled": len(capacities)}
            )
        headroom = Headroom(self._interference, now_s, capacities, self._headrooms)
        task = next(iter(step.ready.values()))
        candidates = [
            capacity
            for capacity in capacities
            if capacity.entry.service == step.job.service
        ]
        reasons = Counter(
            self._obstacle(task, capacity, now_s, headroom) for capacity in candidates
        )
        return WaitExplanation(
            step,
            wait_s,
            dict(reasons),
            max((capacity.cores_free for capacity in candidates), default=0),
            sum(capacity.unconfirmed_milli() for capacity in candidates),
        )

    def _obstacle(
        self, task: Task, capacity: WorkerCapacity, now_s: float, headroom: Headroom
    ) -> str:
        """Return what keeps a task from a worker; `none` if it could start there."""
        step = task.step
        spec = step.spec
        if self._crashes.is_held(task):
            return "held-as-suspect"
        if now_s < capacity.refused_until_s:
            return "refused-before"
        if not capacity.fits(spec):
            return "no-room"
        limit = self._limit(capacity, step, now_s)
        if limit:
            return limit
        if not self._may_run(capacity, step, now_s):
            return "ticket"
        if spec.uses_leftover and capacity.spare_milli < _spare_min(spec):
            return "no-spare-cores"
        if self._cost(capacity, spec, headroom) is None:
            return "interference"
        return "none"

    def speculative_copies(
        self, registry: RunRegistry, capacities: list[WorkerCapacity], now_s: float
    ) -> Iterable[Placement]:
        """Yield second runs of late tasks that allow speculative copies.

        Covers slow, hung and unreachable workers for short work, which cannot wait
        until they are detected.

        Parameters
        ----------
        registry : RunRegistry
            Jobs and runs.
        capacities : list of WorkerCapacity
            Capacities of the workers that accept new tasks.
        now_s : float
            Time on the scheduler's clock.
        """
        headroom = Headroom(self._interference, now_s, capacities, self._headrooms)
        for task in _late_tasks(registry, now_s):
            if self._shares is not None and not self._shares.allows_copy(task.step):
                continue
            used_workers = {run.worker_id for run in task.runs.values()}
            service = task.step.job.service
            others = [
                capacity
                for capacity in capacities
                if capacity.entry.service == service
                and capacity.entry.worker_id not in used_workers
            ]
            capacity = self._cheapest(task, others, now_s, headroom)
            if capacity is not None:
                yield self._placement(task, capacity)

    def tasks_to_move(
        self,
        throttled_tasks: Iterable[tuple[Task, WorkerCapacity]],
        capacities,
        now_s: float,
    ):
        """Yield the throttled tasks that another worker can run now."""
        headroom = Headroom(self._interference, now_s, capacities, self._headrooms)
        order = SpareOrder(capacities)
        for task, current in throttled_tasks:
            if self._shares is not None and not self._shares.allows_move(task.step):
                continue
            service = task.step.job.service
            others = [
                capacity
                for capacity in order.with_spare(_spare_min(task.step.spec))
                if capacity is not current and capacity.entry.service == service
            ]
            capacity = self._cheapest(task, others, now_s, headroom)
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
        tasks: list[Task] | None = None,
    ):
        """Yield placements of a step's tasks, or of the given ones only."""
        spec = step.spec
        if not _needs_ticket(step) and unplaceable.covers(step):
            return
        if spec.gang:
            yield from self._place_gang(step, candidates, now_s, headroom)
            return
        ranked = self._rank(step, candidates, now_s, headroom)
        for task in list(step.ready.values()) if tasks is None else tasks:
            # It may have started in this round, on a worker that was reserved for it.
            if task.task_id.index not in step.ready or self._crashes.is_held(task):
                continue
            is_single = bool(task.failed_on or task.crashes)
            if is_single:
                capacity = self._cheapest(task, candidates, now_s, headroom)
            else:
                capacity = self._pop_cheapest(ranked, step, now_s, headroom)
            if capacity is None:
                if not is_single:
                    if not _needs_ticket(step):
                        unplaceable.add(step)
                    return
                continue
            yield self._placement(task, capacity)
            if spec.uses_leftover:
                headroom.reserve(capacity, spec)
            self._push(ranked, capacity, step, now_s, headroom)

    def _rank(self, step: StepState, candidates, now_s: float, headroom: Headroom):
        """Return a heap of the workers that can run a task of a step, by cost."""
        ranked: list[tuple[float, str, WorkerCapacity]] = []
        for capacity in candidates:
            self._push(ranked, capacity, step, now_s, headroom)
        return ranked

    def _push(self, ranked, capacity: WorkerCapacity, step, now_s, headroom) -> None:
        if not capacity.fits(step.spec) or not self._may_run(capacity, step, now_s):
            return
        cost = self._cost(capacity, step.spec, headroom)
        if cost is not None:
            heapq.heappush(ranked, (cost, capacity.entry.worker_id, capacity))

    def _pop_cheapest(self, ranked, step, now_s, headroom) -> WorkerCapacity | None:
        """Return the cheapest worker that still fits; entries may be outdated."""
        while ranked:
            _, _, capacity = heapq.heappop(ranked)
            if not capacity.fits(step.spec) or not self._may_run(capacity, step, now_s):
                continue
            if self._cost(capacity, step.spec, headroom) is not None:
                return capacity
        return None

    def _place_gang(
        self, step: StepState, candidates, now_s: float, headroom: Headroom
    ):
        if self._crashes.is_held(step.tasks[0]):
            return
        tasks = list(step.ready.values())
        number = 1 + max(task.last_run for task in step.tasks)
        if len(tasks) < len(step.tasks):
            number = _number_to_complete(step)
            if not number:
                return
        racks = (
            {capacity.entry.rack for capacity in candidates}
            if step.spec.same_rack
            else ()
        )
        chosen = None
        for rack in sorted(racks):
            in_rack = [
                capacity for capacity in candidates if capacity.entry.rack == rack
            ]
            chosen = self._choose_for_gang(step, len(tasks), in_rack, now_s, headroom)
            if chosen:
                break
        chosen = chosen or self._choose_for_gang(
            step, len(tasks), candidates, now_s, headroom
        )
        for placed, (task, capacity) in enumerate(
            zip(tasks, chosen, strict=bool(chosen)), start=1
        ):
            yield self._placement(task, capacity, number, len(tasks) - placed)

    def _choose_for_gang(
        self, step: StepState, count: int, candidates, now_s: float, headroom: Headroom
    ) -> list[WorkerCapacity]:
        """Return workers for `count` members; empty unless all of them fit."""
        failed_on = set().union(*(task.failed_on for task in step.tasks))
        ranked = []
        for capacity in candidates:
            if not capacity.fits(step.spec) or not self._may_run(capacity, step, now_s):
                continue
            cost = self._cost(capacity, step.spec, headroom)
            if cost is None:
                continue
            worker_id = capacity.entry.worker_id
            cost += AVOID_COST if worker_id in failed_on else 0.0
            cost += _colocated_runs_cost(step.tasks[0], capacity, now_s)
            ranked.append((cost, worker_id, capacity))
        chosen: list[WorkerCapacity] = []
        for _, _, capacity in sorted(ranked, key=lambda row: row[:2]):
            chosen.extend([capacity] * self._gang_tasks_that_fit(capacity, step, now_s))
            if len(chosen) >= count:
                return chosen[:count]
        return []

    def _gang_tasks_that_fit(
        self, capacity: WorkerCapacity, step: StepState, now_s: float
    ) -> int:
        if step.spec.uses_leftover:
            # Whether a second one fits depends on the interference of the first.
            return 1
        count = _tasks_that_fit(capacity, step.spec)
        if step.spec.worker_tasks_max:
            placed = step.worker_tasks.get(capacity.entry.worker_id, 0)
            count = min(count, step.spec.worker_tasks_max - placed)
        starts_left = self._starts_left(capacity, now_s)
        if starts_left is not None:
            count = min(count, starts_left)
        return max(0, count)

    def _cheapest(
        self, task: Task, candidates, now_s: float, headroom: Headroom
    ) -> WorkerCapacity | None:
        step = task.step
        cheapest = None
        cheapest_cost = 0.0
        for capacity in candidates:
            if not capacity.fits(step.spec) or not self._may_run(capacity, step, now_s):
                continue
            cost = self._cost(capacity, step.spec, headroom)
            if cost is None:
                continue
            if capacity.entry.worker_id in task.failed_on:
                cost += AVOID_COST
            cost += _colocated_runs_cost(task, capacity, now_s)
            if cheapest is None or cost < cheapest_cost:
                cheapest, cheapest_cost = capacity, cost
        return cheapest

    def _placement(
        self,
        task: Task,
        capacity: WorkerCapacity,
        number: int = 0,
        gang_rest: int = 0,
    ) -> Placement:
        ticket = self._tickets.ticket(task.step, capacity)
        return Placement(task, capacity, number, ticket, gang_rest)

    def _may_run(self, capacity: WorkerCapacity, step: StepState, now_s: float) -> bool:
        """Return whether a worker may run a task of a step now."""
        if _needs_ticket(step) and not self._tickets.ticket(step, capacity):
            return False
        return not self._limit(capacity, step, now_s)

    def _limit(self, capacity: WorkerCapacity, step: StepState, now_s: float) -> str:
        """Return which rule keeps a step's tasks from a worker; empty if none does."""
        spec = step.spec
        if spec.label and spec.label not in capacity.entry.labels:
            return "label"
        worker_id = capacity.entry.worker_id
        reservations = self._reservations.by_worker
        if worker_id in reservations and reservations[worker_id].task.step is not step:
            return "reserved"
        if self._crashes.is_reserved(worker_id):
            return "suspect-runs-there"
        tasks_max = spec.worker_tasks_max
        if tasks_max and step.worker_tasks.get(worker_id, 0) >= tasks_max:
            return "tasks-per-worker"
        task_limit = self._faults.task_limit(worker_id, now_s)
        if task_limit is None:
            return ""
        if not task_limit:
            return "quarantined"
        return "" if self._starts_left(capacity, now_s) else "probation"

    def _starts_left(self, capacity: WorkerCapacity, now_s: float) -> int | None:
        """Return how many tasks may start on a worker that is on probation, if so."""
        started_s = (run.started_s for run, _ in capacity.runs.values())
        return self._faults.starts_left(capacity.entry.worker_id, started_s, now_s)

    def _cost(
        self, capacity: WorkerCapacity, spec: Step, headroom: Headroom
    ) -> float | None:
        """Return a worker's cost for a task, or None if it is not suited."""
        cost = float(capacity.entry.warmup_remaining_ms)
        if spec.rack and capacity.entry.rack != spec.rack:
            cost += AVOID_COST
        if spec.uses_leftover:
            if capacity.spare_milli < _spare_min(spec):
                return None
            interference = headroom.added_interference(capacity, spec)
            if interference is None:
                return None
            sensitivity = headroom.sensitivity(capacity, self._best_effort_images)
            cost += interference * INTERFERENCE_COST - sensitivity * SENSITIVITY_GAIN
            return cost - capacity.spare_milli
        if is_serving(spec):
            images = {serving.image for _, serving in capacity.serving_runs()}
            image_cost = len(images - {spec.image}) * OTHER_IMAGE_COST
            interference = self._interference_on(spec, capacity) * INTERFERENCE_COST
            remaining = capacity.cores_free - spec.cores_milli
            reserve_cost = (
                SHORT_WORK_RESERVE_COST if remaining < SHORT_WORK_RESERVE_MILLI else 0
            )
            return cost + interference + image_cost + reserve_cost + capacity.cores_free
        return cost + capacity.cores_free

    def _interference_on(self, spec: Step, capacity: WorkerCapacity) -> float:
        return self._interference.total(spec.image, capacity.interfering_cores())


def _could_fit(capacity: WorkerCapacity, spec: Step) -> bool:
    """Return whether a task fits a worker on which nothing runs."""
    entry = capacity.entry
    return (
        spec.cores_milli <= entry.cores_milli
        and spec.memory_mb <= entry.memory_mb
        and spec.accelerators <= entry.accelerators
    )


def _number_to_complete(step: StepState) -> int:
    """Return the number of a gang's run of which only refused members are missing.

    Returns 0 if there is none. The others wait for them, and end after a while if they
    do not come. A worker that refuses a start has done nothing, so another may carry
    out a run of that number.
    """
    runs = [run for task in step.tasks for run in task.runs.values()]
    numbers = {run.run_id.number for run in runs}
    if len(numbers) != 1 or any(run.phase is RunPhase.STOPPING for run in runs):
        return 0
    number = numbers.pop()
    for task in step.ready.values():
        dropped = task.dropped_run
        if dropped is None or dropped.number != number or not dropped.was_refused:
            return 0
    return number


def _colocated_runs_cost(task: Task, capacity: WorkerCapacity, now_s: float) -> int:
    """Return the cost of the runs that a task would lose by crashing a worker."""
    if not task.accountable.crashes:
        return 0
    cost = 0
    for run, _ in capacity.runs.values():
        is_young = now_s - run.started_s < PROBATION_MS / 1000
        cost += YOUNG_COLOCATED_RUN_COST if is_young else COLOCATED_RUN_COST
    return cost


def _needs_ticket(step: StepState) -> bool:
    return step.job.queue.advice is not None


def _late_tasks(registry: RunRegistry, now_s: float) -> list[Task]:
    tasks = []
    for state in registry.active.values():
        if registry.is_held(state.job.job_id):
            continue
        for occurrence in state.occurrences.values():
            for step in occurrence.steps:
                # A copy of one member would wait for the others in vain.
                is_copied = step.spec.speculative and not step.spec.gang
                if step.is_open and is_copied and not step.is_done:
                    tasks.extend(t for t in step.tasks if _is_late(t, now_s))
    return tasks


def _is_late(task: Task, now_s: float) -> bool:
    """Return whether a task's only run takes far longer than estimated."""
    if task.is_done or len(task.runs) != 1 or task.accountable.crashes:
        return False
    run = next(iter(task.runs.values()))
    limit_s = COPY_FACTOR * task.step.spec.run_estimate_ms / 1000 + COPY_MARGIN_S
    return run.phase is not RunPhase.STOPPING and now_s - run.started_s > limit_s


def _tasks_that_fit(capacity: WorkerCapacity, spec: Step) -> int:
    count = spec.tasks
    if spec.cores_milli and not spec.uses_leftover:
        count = min(count, capacity.cores_free // spec.cores_milli)
    if spec.memory_mb:
        free_mb = capacity.entry.memory_mb - capacity.memory_used
        count = min(count, free_mb // spec.memory_mb)
    if spec.accelerators:
        free = capacity.entry.accelerators - capacity.accelerators_used
        count = min(count, free // spec.accelerators)
    if spec.worker_tasks_max:
        count = min(count, spec.worker_tasks_max)
    return max(0, count)
