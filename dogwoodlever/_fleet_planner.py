"""Choice of the workers on which waiting tasks start."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_board import FleetBoard
from dogwoodlever._fleet_headroom import Headroom
from dogwoodlever._fleet_interference import Interference
from dogwoodlever._fleet_job import RunPhase, StepState, Task
from dogwoodlever._fleet_order import order_key
from dogwoodlever._fleet_room import WorkerRoom, is_serving
from dogwoodlever._fleet_tickets import TicketSource
from dogwoodlever._fleet_types import FleetConfiguration, Step

# Part of a filling task's cores that must be left over where it starts.
FILLING_PART_MIN = 0.6
# Cost of a rack without the data, in thousandths of a core.
FAR_COST = 1_000_000
# Cost of another image among a worker's standing tasks, in thousandths of a
# core: fewer images leave more workers for the work that disturbs one of them.
OTHER_IMAGE_COST = 50_000
# Room that standing tasks should leave at a worker for short work, which cannot
# wait until they end, and the cost of leaving less; in thousandths of a core.
SHORT_ROOM_MILLI = 2_000
SHORT_ROOM_COST = 20_000
# Cost of doubling the tail latency of a standing task, in thousandths of a core.
PRESSURE_COST = 20_000
# A copy starts once a run takes this many times its declared time and more; run
# times are declared up to twice too short.
COPY_FACTOR = 2.0
COPY_MARGIN_S = 0.3
# What a worker gains for work that is borne everywhere by bearing other work
# badly, in thousandths of a core by core and unit of pressure.
HOSTILITY_GAIN = 3_000


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
    room: WorkerRoom
    number: int = 0
    ticket: str = ""


class Lacks:
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

    __slots__ = ("_faults", "_filling_images", "_interference", "_tickets")

    def __init__(
        self,
        faults: FaultAttribution,
        interference: Interference,
        tickets: TicketSource,
    ) -> None:
        self._tickets = tickets
        self._faults = faults
        self._interference = interference
        # Images of work on leftover cores that were met.
        self._filling_images: set[str] = set()

    def plan(
        self,
        board: FleetBoard,
        rooms: Iterable[WorkerRoom],
        configuration: FleetConfiguration,
        now_s: float,
        now_ms: float,
        skips_inherited: bool,
    ):
        """Yield placements; the caller counts each before asking for the next.

        Parameters
        ----------
        board : FleetBoard
            Jobs and runs.
        rooms : iterable of WorkerRoom
            Workers that take new tasks now.
        configuration : FleetConfiguration
            Names the service of each queue.
        now_s, now_ms : float
            The scheduler's clock, and Unix time.
        skips_inherited : bool
            Whether jobs of an earlier term have to wait, because a worker that
            was not read yet may run their tasks.
        """
        by_service: dict[str, list[WorkerRoom]] = {}
        for room in rooms:
            if now_s >= room.refused_until_s:
                by_service.setdefault(room.entry.service, []).append(room)
        steps = [
            step
            for step in board.active_steps()
            if not (skips_inherited and step.job.is_inherited)
        ]
        steps.sort(key=lambda step: order_key(step, now_s, now_ms))
        lacks = Lacks()
        headroom = Headroom(self._interference, now_s)
        for step in steps:
            if step.spec.uses_leftover:
                self._filling_images.add(step.spec.image)
            queue = configuration.queues.get(step.job.queue.name, step.job.queue)
            candidates = by_service.get(queue.service, ())
            yield from self._place_step(step, candidates, now_s, lacks, headroom)
            if step.ready and _is_advised(step):
                self._tickets.want(step, self._unadvised(step, candidates, now_s))

    def _unadvised(self, step: StepState, candidates, now_s: float):
        """Return the workers that would take a step's tasks with a ticket."""
        rooms = [
            room
            for room in candidates
            if room.fits(step.spec) and self._is_allowed(room, step, now_s)
        ]
        spec = step.spec
        rooms.sort(
            key=lambda room: (spec.rack not in ("", room.entry.rack), -room.cores_free)
        )
        return rooms

    def copies(
        self, board: FleetBoard, rooms: list[WorkerRoom], now_s: float
    ) -> Iterable[Placement]:
        """Yield second runs of tasks that are late, where copies are allowed.

        Answers slow, hung and unreachable workers for short work that cannot wait
        until they are known as such.

        Parameters
        ----------
        board : FleetBoard
            Jobs and runs.
        rooms : list of WorkerRoom
            Workers that take new tasks now.
        now_s : float
            The scheduler's clock.
        """
        headroom = Headroom(self._interference, now_s)
        for task in _late_tasks(board, now_s):
            own = {run.worker_id for run in task.runs.values()}
            service = task.step.job.queue.service
            others = [
                room
                for room in rooms
                if room.entry.service == service and room.entry.worker_id not in own
            ]
            room = self._choose(task, others, now_s, headroom)
            if room is not None:
                yield self._placement(task, room)

    def moves(self, slowed: Iterable[tuple[Task, WorkerRoom]], rooms, now_s: float):
        """Yield the tasks among slowed ones that another worker would take now."""
        headroom = Headroom(self._interference, now_s)
        for task, own in slowed:
            service = task.step.job.queue.service
            others = [r for r in rooms if r is not own and r.entry.service == service]
            room = self._choose(task, others, now_s, headroom)
            if room is not None:
                headroom.take(room, task.step.spec)
                yield task

    def _place_step(
        self,
        step: StepState,
        candidates,
        now_s: float,
        lacks: "Lacks",
        headroom: Headroom,
    ):
        spec = step.spec
        if not _is_advised(step) and lacks.covers(step):
            return
        if spec.gang:
            yield from self._place_gang(step, candidates, now_s, headroom)
            return
        ranked = self._rank(step, candidates, now_s, headroom)
        for task in list(step.ready.values()):
            if task.failed_on:
                room = self._choose(task, candidates, now_s, headroom)
            else:
                room = self._pop_best(ranked, step, now_s, headroom)
            if room is None:
                if not task.failed_on:
                    if not _is_advised(step):
                        lacks.add(step)
                    return
                continue
            yield self._placement(task, room)
            if spec.uses_leftover:
                headroom.take(room, spec)
            self._push(ranked, room, step, now_s, headroom)

    def _rank(self, step: StepState, candidates, now_s: float, headroom: Headroom):
        """Return a heap of the workers that would take a task of a step."""
        ranked: list[tuple[float, str, WorkerRoom]] = []
        for room in candidates:
            self._push(ranked, room, step, now_s, headroom)
        return ranked

    def _push(self, ranked, room: WorkerRoom, step, now_s, headroom) -> None:
        if not room.fits(step.spec) or not self._may_take(room, step, now_s):
            return
        cost = self._cost(room, step.spec, headroom)
        if cost is not None:
            heapq.heappush(ranked, (cost, room.entry.worker_id, room))

    def _pop_best(self, ranked, step, now_s, headroom) -> WorkerRoom | None:
        """Return the worker of least cost; its entry may be from before a placement."""
        while ranked:
            _, _, room = heapq.heappop(ranked)
            if not room.fits(step.spec) or not self._may_take(room, step, now_s):
                continue
            if self._cost(room, step.spec, headroom) is not None:
                return room
        return None

    def _place_gang(
        self, step: StepState, candidates, now_s: float, headroom: Headroom
    ):
        if len(step.ready) < len(step.tasks):
            return
        racks = {room.entry.rack for room in candidates} if step.spec.same_rack else ()
        for rack in sorted(racks):
            near = [room for room in candidates if room.entry.rack == rack]
            if self._fits_together(step, near, now_s):
                candidates = near
                break
        if not self._fits_together(step, candidates, now_s):
            return
        number = 1 + max(task.last_run for task in step.tasks)
        for task in list(step.ready.values()):
            room = self._choose(task, candidates, now_s, headroom)
            if room is None:
                return
            yield self._placement(task, room, number)

    def _fits_together(self, step: StepState, candidates, now_s: float) -> bool:
        spec = step.spec
        places = 0
        for room in candidates:
            if self._may_take(room, step, now_s):
                places += _places(room, spec)
            if places >= len(step.tasks):
                return True
        return False

    def _choose(
        self, task: Task, candidates, now_s: float, headroom: Headroom
    ) -> WorkerRoom | None:
        step = task.step
        best = None
        best_cost = 0.0
        for room in candidates:
            if not room.fits(step.spec) or not self._may_take(room, step, now_s):
                continue
            cost = self._cost(room, step.spec, headroom)
            if cost is None:
                continue
            if room.entry.worker_id in task.failed_on:
                cost += FAR_COST
            if best is None or cost < best_cost:
                best, best_cost = room, cost
        return best

    def _placement(self, task: Task, room: WorkerRoom, number: int = 0) -> Placement:
        return Placement(task, room, number, self._tickets.ticket(task.step, room))

    def _may_take(self, room: WorkerRoom, step: StepState, now_s: float) -> bool:
        """Tell whether a worker may run a task of a step now."""
        if _is_advised(step) and not self._tickets.ticket(step, room):
            return False
        return self._is_allowed(room, step, now_s)

    def _is_allowed(self, room: WorkerRoom, step: StepState, now_s: float) -> bool:
        spec = step.spec
        if spec.label and spec.label not in room.entry.labels:
            return False
        worker_id = room.entry.worker_id
        most = spec.worker_tasks_max
        if most and step.worker_tasks.get(worker_id, 0) >= most:
            return False
        limit = self._faults.limit(worker_id, now_s)
        return limit is None or len(room.runs) < limit

    def _cost(self, room: WorkerRoom, spec: Step, headroom: Headroom) -> float | None:
        """Return a worker's cost for a task, None if it should not run there."""
        cost = float(room.entry.warmup_remaining_ms)
        if spec.rack and room.entry.rack != spec.rack:
            cost += FAR_COST
        if spec.uses_leftover:
            if room.leftover_milli < spec.cores_milli * FILLING_PART_MIN:
                return None
            pressure = headroom.added(room, spec)
            if pressure is None:
                return None
            hostility = headroom.hostility(room, self._filling_images)
            cost += pressure * PRESSURE_COST - hostility * HOSTILITY_GAIN
            return cost - room.leftover_milli
        if is_serving(spec):
            images = {serving.image for _, serving in room.serving_runs()}
            others = len(images - {spec.image}) * OTHER_IMAGE_COST
            pressure = self._pressure_on(spec, room) * PRESSURE_COST
            left = room.cores_free - spec.cores_milli
            full = SHORT_ROOM_COST if left < SHORT_ROOM_MILLI else 0
            return cost + pressure + others + full + room.cores_free
        return cost + room.cores_free

    def _pressure_on(self, spec: Step, room: WorkerRoom) -> float:
        return self._interference.pressure_of(spec.image, room.disturbing_cores())


def _is_advised(step: StepState) -> bool:
    return step.job.queue.advice is not None


def _late_tasks(board: FleetBoard, now_s: float) -> list[Task]:
    found = []
    for state in board.active.values():
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


def _places(room: WorkerRoom, spec: Step) -> int:
    places = spec.tasks
    if spec.cores_milli and not spec.uses_leftover:
        places = min(places, room.cores_free // spec.cores_milli)
    if spec.memory_mb:
        free_mb = room.entry.memory_mb - room.memory_used
        places = min(places, free_mb // spec.memory_mb)
    if spec.accelerators:
        free = room.entry.accelerators - room.accelerators_used
        places = min(places, free // spec.accelerators)
    if spec.worker_tasks_max:
        places = min(places, spec.worker_tasks_max)
    return max(0, places)
