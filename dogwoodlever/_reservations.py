"""Reservations of workers for large tasks and gangs that stay blocked.

In the plain order, smaller work takes each gap, so a large task waits until enough
capacity happens to be free at once. The first blocked ones reserve the workers where
they fit soonest by the expected ends of the runs there. Other work of the same or a
lower priority starts there only if it leaves the reserved room free, or if it will
likely have ended by then.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodlever._fleet_job import StepState
from dogwoodlever._fleet_types import Step, StepId
from dogwoodlever._run_time_model import RunTimeModel
from dogwoodlever._worker_capacity import WorkerCapacity

# A task is large if it needs this part of a resource of the largest worker. Smaller
# tasks find room soon in the plain order.
LARGE_PART_MIN = 0.25
# Bounds of the reserved workers: a number, and a part of the service's workers.
WORKERS_MAX = 4
WORKERS_PART_MAX = 0.05
# A step is blocked once it has waited for longer than a planning round.
BLOCKED_MIN_S = 0.05
# A search reads the runs of some workers, those with the most free cores: of all of 176
# it takes about 5 ms.
SEARCH_INTERVAL_S = 0.2
SEARCH_WORKERS_MAX = 24
# Latest start for which a worker is reserved, and the duration of a reservation after
# the start that was expected and in all.
START_MAX_S = 3.0
OVERRUN_MAX_S = 2.0
DURATION_MAX_S = 5.0
# Other work gets the chance to use the room before a step reserves again.
RETRY_PAUSE_S = 1.0
# Times at which the room for a gang is compared.
GANG_INTERVAL_S = 0.25
# Blocked steps that are remembered, and for how long without being seen.
BLOCKED_STEPS_MAX = 64
BLOCKED_KEPT_S = 1.0

Amounts = tuple[int, int, int]


@dataclass(slots=True, frozen=True)
class ReservationEvent:
    """Change of a reservation, for the log.

    Attributes
    ----------
    kind : str
        "made", "met" or "dropped".
    why : str
        Reason if it was dropped.
    """

    kind: str
    step_id: StepId
    workers: tuple[str, ...]
    due_in_s: float
    why: str = ""


@dataclass(slots=True, frozen=True)
class Reservation:
    """Room on workers for one task, or for all tasks of a gang.

    Attributes
    ----------
    room : dict of str to tuple of int
        Reserved cores in thousandths, memory in MB and accelerators, by worker id.
    due_s : float
        When the task or the gang is expected to fit.
    expires_s : float
        When the reservation ends.
    """

    step: StepState
    room: dict[str, Amounts]
    due_s: float
    expires_s: float


def _amounts(spec: Step) -> Amounts:
    cores_milli = 0 if spec.uses_leftover else spec.cores_milli
    return (cores_milli, spec.memory_mb, spec.accelerators)


def _free(capacity: WorkerCapacity) -> Amounts:
    entry = capacity.entry
    return (
        capacity.cores_free,
        entry.memory_mb - capacity.memory_used,
        entry.accelerators - capacity.accelerators_used,
    )


def _count_that_fit(free: Iterable[int], amounts: Amounts) -> int:
    return min(
        (
            max(left, 0) // needed
            for left, needed in zip(free, amounts, strict=True)
            if needed
        ),
        default=0,
    )


def size_class(spec: Step, largest: Amounts) -> str:
    """Return the size class of a step: gang, rack, large or small.

    Parameters
    ----------
    spec : Step
        The step.
    largest : tuple of int
        Cores in thousandths, memory in MB and accelerators of the largest worker.
    """
    if spec.gang:
        return "gang"
    is_large = any(
        needed and needed >= LARGE_PART_MIN * size
        for needed, size in zip(_amounts(spec), largest, strict=True)
    )
    if is_large:
        return "large"
    return "rack" if spec.rack else "small"


class Reservations:
    """Reserves workers for the first blocked large tasks and gangs.

    Parameters
    ----------
    run_times : RunTimeModel
        Expected ends of runs.

    Attributes
    ----------
    exempt : StepState or None
        Step that is not held back now, since its standing tasks were interrupted for
        so long that they go before all other work.
    """

    __slots__ = (
        "_blocked",
        "_by_worker",
        "_events",
        "_free_totals",
        "_held_sizes",
        "_held_steps",
        "_largest",
        "_placed",
        "_reservations",
        "_retry_s",
        "_run_times",
        "_searched_s",
        "exempt",
    )

    def __init__(self, run_times: RunTimeModel) -> None:
        self._run_times = run_times
        self.exempt: StepState | None = None
        self._reservations: list[Reservation] = []
        self._by_worker: dict[str, Reservation] = {}
        # Sums of what was placed, by service.
        self._placed: dict[str, Amounts] = {}
        # When blocked steps were first and last seen, and what was placed before.
        self._blocked: dict[StepId, tuple[float, float, Amounts]] = {}
        self._retry_s: dict[StepId, float] = {}
        self._searched_s = float("-inf")
        self._events: list[ReservationEvent] = []
        # Of one round: steps that a reservation held back, with what they need; by
        # service, the size of the largest worker and the free room of all of them.
        self._held_steps: set[StepId] = set()
        self._held_sizes: dict[tuple, list[tuple]] = {}
        self._largest: dict[str, Amounts] = {}
        self._free_totals: dict[str, Amounts] = {}

    @property
    def active(self) -> list[Reservation]:
        """The reservations."""
        return self._reservations

    def pop_events(self) -> list[ReservationEvent]:
        """Return the changes since the last call."""
        events, self._events = self._events, []
        return events

    def begin_round(self, capacities: list[WorkerCapacity], now_s: float) -> None:
        """Drop the reservations that have ended, and start a planning round.

        Parameters
        ----------
        capacities : list of WorkerCapacity
            Capacities of the workers that accept new tasks.
        now_s : float
            Time on the scheduler's clock.
        """
        self._held_steps.clear()
        self._held_sizes.clear()
        self._largest.clear()
        self._free_totals.clear()
        if len(self._blocked) > BLOCKED_STEPS_MAX:
            self._blocked = {
                step_id: times
                for step_id, times in self._blocked.items()
                if now_s - times[1] < BLOCKED_KEPT_S
            }
            self._retry_s = {
                step_id: retry_s
                for step_id, retry_s in self._retry_s.items()
                if retry_s > now_s
            }
        if not self._reservations:
            return
        worker_ids = {capacity.entry.worker_id for capacity in capacities}
        for reservation in list(self._reservations):
            why = _end_reason(reservation, worker_ids, now_s)
            if why:
                self._drop(reservation, "dropped", now_s, why)

    def _drop(self, reservation: Reservation, kind: str, now_s, why="") -> None:
        self._reservations.remove(reservation)
        for worker_id in reservation.room:
            del self._by_worker[worker_id]
        step_id = reservation.step.step_id
        if kind == "dropped":
            self._retry_s[step_id] = now_s + RETRY_PAUSE_S
        workers = tuple(reservation.room)
        due_in_s = reservation.due_s - now_s
        self._events.append(ReservationEvent(kind, step_id, workers, due_in_s, why))

    # Work that others may not start

    def holds_back(
        self, capacity: WorkerCapacity, step: StepState, now_s: float
    ) -> bool:
        """Return whether a step must leave the room on a worker to another one."""
        if not self._by_worker:
            return False
        reservation = self._by_worker.get(capacity.entry.worker_id)
        if reservation is None or step in (reservation.step, self.exempt):
            return False
        if step.job.queue.priority < reservation.step.job.queue.priority:
            return False
        spec = step.spec
        count = spec.tasks if spec.gang else 1
        reserved = reservation.room[capacity.entry.worker_id]
        leaves_room = all(
            not needed or left - min(count * needed, left) >= kept
            for left, needed, kept in zip(
                _free(capacity), _amounts(spec), reserved, strict=True
            )
        )
        if leaves_room or now_s + self._likely_s(step) <= reservation.due_s:
            return False
        self._held_steps.add(step.step_id)
        return True

    def _likely_s(self, step: StepState) -> float:
        if step.spec.standing:
            return float("inf")
        return step.expected_s * self._run_times.likely_factor(step.job.queue.name)

    def record_unplaced(self, step: StepState, constraints: tuple) -> bool:
        """Record a step that was held back; return False if it was not.

        A step of a higher priority or a shorter run time may start where it may not.
        """
        if step.step_id not in self._held_steps:
            return False
        if not step.spec.worker_tasks_max:
            need = (
                *_amounts(step.spec),
                step.job.queue.priority,
                self._likely_s(step),
            )
            self._held_sizes.setdefault(constraints, []).append(need)
        return True

    @property
    def has_held(self) -> bool:
        """Whether a step was held back in this round."""
        return bool(self._held_sizes)

    def covers(self, step: StepState, constraints: tuple) -> bool:
        """Return whether a step needs at least as much as one that was held back."""
        sizes = self._held_sizes.get(constraints)
        if not sizes or any(held.step is step for held in self._reservations):
            return False
        cores, memory, accelerators = _amounts(step.spec)
        priority = step.job.queue.priority
        likely_s = self._likely_s(step)
        return any(
            cores >= size[0]
            and memory >= size[1]
            and accelerators >= size[2]
            and priority >= size[3]
            and likely_s >= size[4]
            for size in sizes
        )

    # Blocked work

    def wants(
        self, step: StepState, candidates: list[WorkerCapacity], now_s: float
    ) -> bool:
        """Return whether a step that was not placed may get a reservation now.

        Standing and best-effort steps, and those that limit their tasks on a worker
        or need tickets, are placed in the plain order only.
        """
        spec = step.spec
        if spec.standing or spec.uses_leftover or spec.worker_tasks_max:
            return False
        if step.job.queue.advice is not None or not candidates:
            return False
        service = candidates[0].entry.service
        largest = self._largest.get(service)
        if largest is None:
            largest = self._largest[service] = largest_worker(candidates)
        # Called for each waiting step: most are small by their cores alone.
        if not (spec.gang or spec.rack or spec.accelerators) and (
            spec.cores_milli < LARGE_PART_MIN * largest[0]
            and spec.memory_mb < LARGE_PART_MIN * largest[1]
        ):
            return False
        if size_class(spec, largest) == "small":
            return False
        step_id = step.step_id
        placed = self._placed.get(service, (0, 0, 0))
        first_s, last_s, before = self._blocked.get(step_id, (now_s, now_s, placed))
        if now_s - last_s >= BLOCKED_KEPT_S:
            first_s, before = now_s, placed
        self._blocked[step_id] = (first_s, now_s, before)
        return (
            now_s - first_s > BLOCKED_MIN_S
            and now_s - self._searched_s >= SEARCH_INTERVAL_S
            and now_s >= self._retry_s.get(step_id, now_s)
            and self._missing(step) > 0
            and self._workers_left(len(candidates)) > 0
            and self._total_fits(step, candidates, placed, before)
            and not any(task.accountable.crashes for task in step.ready.values())
        )

    def _total_fits(self, step: StepState, candidates, placed, before) -> bool:
        """Return whether the free room of all workers together would hold a step.

        Smaller work takes the room that gets free within a round, so what was placed
        since the step was blocked counts too.
        """
        service = candidates[0].entry.service
        totals = self._free_totals.get(service)
        if totals is None:
            columns = zip(*(_free(capacity) for capacity in candidates), strict=True)
            totals = tuple(sum(max(left, 0) for left in column) for column in columns)
            self._free_totals[service] = totals
        count = len(step.tasks) if step.spec.gang else 1
        return all(
            free + now - then >= count * needed
            for free, now, then, needed in zip(
                totals, placed, before, _amounts(step.spec), strict=True
            )
        )

    def _missing(self, step: StepState) -> int:
        """Return how many more reservations a step may have."""
        held = sum(reservation.step is step for reservation in self._reservations)
        if step.spec.gang:
            return int(len(step.ready) == len(step.tasks) and not held)
        return len(step.ready) - held

    def _workers_left(self, workers: int) -> int:
        most = min(WORKERS_MAX, int(WORKERS_PART_MAX * workers))
        return most - len(self._by_worker)

    def make(
        self,
        step: StepState,
        allowed: list[WorkerCapacity],
        workers: int,
        find_step,
        now_s: float,
    ) -> None:
        """Reserve the worker or workers where a blocked step fits soonest.

        Parameters
        ----------
        step : StepState
            Step for which `wants` was true.
        allowed : list of WorkerCapacity
            Workers that may run its tasks.
        workers : int
            Number of workers of the service.
        find_step : callable
            Returns the step state of a run id, or None.
        now_s : float
            Time on the scheduler's clock.
        """
        self._searched_s = now_s
        spec = step.spec
        free = [
            capacity
            for capacity in allowed
            if capacity.entry.worker_id not in self._by_worker
        ]
        rooms = []
        for capacity in _most_free(spec, free):
            room = self._room_over_time(capacity, spec, find_step, now_s)
            if room:
                rooms.append((capacity, room))
        limit = self._workers_left(workers)
        best = None
        for group in _rack_groups(spec, rooms):
            found = _find_soonest(step, group, limit)
            if found and (best is None or found[0] < best[0]):
                best = found
        if best is None and (spec.rack or spec.same_rack):
            # Another rack only makes the tasks slower.
            best = _find_soonest(step, rooms, limit)
        if best is None:
            self._retry_s[step.step_id] = now_s + RETRY_PAUSE_S
            return
        wait_s, counts = best
        room = {
            worker_id: tuple(count * needed for needed in _amounts(spec))
            for worker_id, count in counts.items()
        }
        due_s = now_s + wait_s
        expires_s = min(due_s + OVERRUN_MAX_S, now_s + DURATION_MAX_S)
        reservation = Reservation(step, room, due_s, expires_s)
        self._reservations.append(reservation)
        for worker_id in room:
            self._by_worker[worker_id] = reservation
        event = ReservationEvent("made", step.step_id, tuple(room), wait_s)
        self._events.append(event)

    def _room_over_time(
        self, capacity: WorkerCapacity, spec: Step, find_step, now_s: float
    ) -> list[tuple[float, int]]:
        """Return after which times how many tasks fit on a worker."""
        amounts = _amounts(spec)
        if not _count_that_fit(capacity.size, amounts):
            return []
        free = list(_free(capacity))
        count = _count_that_fit(free, amounts)
        room = [(0.0, count)] if count else []
        ends = []
        for run, other in capacity.runs.values():
            step = None if other.standing else find_step(run.run_id)
            if step is not None:
                ends.append((self._run_times.remaining_s(run, step, now_s), other))
        ends.sort(key=lambda row: row[0])
        for remaining_s, other in ends:
            if remaining_s > START_MAX_S:
                break
            free = [a + b for a, b in zip(free, _amounts(other), strict=True)]
            fitting = _count_that_fit(free, amounts)
            if fitting > count:
                count = fitting
                room.append((max(remaining_s, 0.0), count))
        return room

    def record_placed(
        self, step: StepState, capacity: WorkerCapacity, now_s: float
    ) -> None:
        """Record that a task of a step, or all tasks of a gang, are placed."""
        service = capacity.entry.service
        count = len(step.tasks) if step.spec.gang else 1
        cores, memory, accelerators = self._placed.get(service, (0, 0, 0))
        self._placed[service] = (
            cores + count * (0 if step.spec.uses_leftover else step.spec.cores_milli),
            memory + count * step.spec.memory_mb,
            accelerators + count * step.spec.accelerators,
        )
        if not self._reservations:
            return
        own = [row for row in self._reservations if row.step is step]
        if not own:
            return
        worker_id = capacity.entry.worker_id
        for reservation in own:
            if worker_id in reservation.room:
                self._drop(reservation, "met", now_s)
                return
        if self._missing(step) <= 0 or step.spec.gang:
            self._drop(own[0], "dropped", now_s, "placed elsewhere")


def largest_worker(candidates: Iterable[WorkerCapacity]) -> Amounts:
    """Return the largest amount of each resource that a worker has."""
    cores = memory = accelerators = 0
    for capacity in candidates:
        entry = capacity.entry
        cores = max(cores, entry.cores_milli)
        memory = max(memory, entry.memory_mb)
        accelerators = max(accelerators, entry.accelerators)
    return (cores, memory, accelerators)


def _end_reason(reservation: Reservation, worker_ids: set[str], now_s: float) -> str:
    """Return why a reservation ends; empty if it does not."""
    step = reservation.step
    if step.job.has_ended:
        return "job ended"
    if not step.ready:
        return "no task waits"
    if not worker_ids.issuperset(reservation.room):
        return "worker unavailable"
    return "expired" if now_s >= reservation.expires_s else ""


def _rack_groups(spec: Step, rooms: list) -> list[list]:
    """Return the workers among which a step prefers to start."""
    if spec.rack:
        return [[row for row in rooms if row[0].entry.rack == spec.rack]]
    if spec.gang and spec.same_rack:
        groups: dict[str, list] = {}
        for row in rooms:
            groups.setdefault(row[0].entry.rack, []).append(row)
        return list(groups.values())
    return [rooms]


def _most_free(spec: Step, free: list[WorkerCapacity]) -> list[WorkerCapacity]:
    """Return the workers to search: those with the most free cores.

    Those in the rack of the data come first, and each rack counts for a gang in one.
    """
    if spec.gang and spec.same_rack:
        racks: dict[str, list[WorkerCapacity]] = {}
        for capacity in free:
            racks.setdefault(capacity.entry.rack, []).append(capacity)
        return [
            capacity
            for group in racks.values()
            for capacity in heapq.nlargest(
                WORKERS_MAX, group, key=lambda capacity: capacity.cores_free
            )
        ]
    return heapq.nlargest(
        SEARCH_WORKERS_MAX,
        free,
        key=lambda capacity: (
            bool(spec.rack) and capacity.entry.rack == spec.rack,
            capacity.cores_free,
        ),
    )


def _find_soonest(
    step: StepState, rooms: list, workers_max: int
) -> tuple[float, dict[str, int]] | None:
    """Return when a step fits on at most `workers_max` workers, and its tasks there."""
    if not rooms:
        return None
    if not step.spec.gang:
        capacity, room = min(
            rooms, key=lambda row: (row[1][0][0], row[0].entry.worker_id)
        )
        return room[0][0], {capacity.entry.worker_id: 1}
    needed = len(step.tasks)
    for number in range(round(START_MAX_S / GANG_INTERVAL_S) + 1):
        wait_s = number * GANG_INTERVAL_S
        counts = []
        for capacity, room in rooms:
            fitting = max((n for after_s, n in room if after_s <= wait_s), default=0)
            if fitting:
                counts.append((fitting, capacity.entry.worker_id))
        counts.sort(key=lambda row: (-row[0], row[1]))
        if sum(count for count, _ in counts[:workers_max]) < needed:
            continue
        chosen: dict[str, int] = {}
        left = needed
        for count, worker_id in counts:
            chosen[worker_id] = min(count, left)
            left -= chosen[worker_id]
            if not left:
                return wait_s, chosen
    return None
