"""Preemption: which runs are stopped for urgent tasks that fit no worker.

A stopped run writes a checkpoint and resumes where its task is placed next. The cores
that it frees are held for the urgent step, so that no other work takes them.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from dogwoodlever._fleet_job import Run, RunPhase, StepState, Task
from dogwoodlever._fleet_types import (
    FleetConfiguration,
    ResourceAmounts,
    RunId,
    Step,
    StepId,
    TaskId,
)
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._scheduling_order import LATE_FACTOR, time_left_s
from dogwoodlever._worker_capacity import WorkerCapacity

# Minimum interval between decisions.
DECISION_INTERVAL_S = 0.05
# A step is blocked once it has fit no worker for longer than a planning round.
BLOCKED_MIN_S = 0.05
# Time that a run takes to resume from its checkpoint.
RESTORE_S = 0.1
# A run that ends by itself within this many stop timeouts is not stopped: estimates
# are rough, and the stop could take as long as the rest of the run.
REMAINING_STOPS_MIN = 2.0
# A task that was preempted must run for this long before it may be preempted again.
RERUN_MIN_S = 1.0
# Preemptions of one job, so that a stream of urgent work does not starve it.
JOB_PREEMPTIONS_MAX = 4
# Share of the workers that bounds the number of runs being stopped at a time. Work that
# is stopped needs other capacity, so more stops would only shift the shortage.
STOPPING_SHARE = 0.125
# How long room is held after the latest end of the stop: until the end has been polled
# and the next planning round has passed.
HOLD_MARGIN_S = 0.3
# Blocked steps considered in one decision, which bounds its duration.
STEPS_PER_DECISION = 8
# Workers whose runs are examined at a time, those with the most free cores first; more
# are examined if these do not suffice. A decision over all runs of 176 workers took
# 34 ms.
WORKERS_PER_BATCH = 32
# Jobs whose slack differs by less than this count as equally suited to wait.
SLACK_GRANULARITY_S = 1.0
# Jobs and tasks remembered beyond those that are active, before they are cleaned up.
STALE_ENTRIES_MAX = 256


@dataclass(slots=True, frozen=True)
class Preemption:
    """A run to stop, and the blocked step that needs its room."""

    run: Run
    step: StepState


def estimate_remaining_s(run: Run, step: Step, now_s: float) -> float:
    """Return the estimated run time left now, at least 0.

    Reports are up to a poll's wait old, so the time since the last one is subtracted.
    """
    since_s = max(run.progressed_s, run.started_s)
    return max(0.0, run.remaining_s(step) - max(0.0, now_s - since_s))


# Room held for urgent steps


@dataclass(slots=True, frozen=True)
class RoomHold:
    """Room on a worker that is held for one task of a step until `expires_s`."""

    step: StepState
    capacity: WorkerCapacity
    expires_s: float


class RoomHolds:
    """Room that is held for urgent steps, by worker."""

    __slots__ = ("_by_worker", "_counts")

    def __init__(self) -> None:
        self._by_worker: dict[str, list[RoomHold]] = {}
        self._counts: Counter[StepId] = Counter()

    def add(self, hold: RoomHold) -> None:
        """Hold room."""
        self._by_worker.setdefault(hold.capacity.entry.worker_id, []).append(hold)
        self._counts[hold.step.step_id] += 1

    def on(self, worker_id: str) -> Iterable[RoomHold]:
        """Return the holds on a worker."""
        return self._by_worker.get(worker_id, ())

    def count(self, step: StepState) -> int:
        """Return for how many tasks of a step room is held."""
        return self._counts[step.step_id] if self._counts else 0

    def allows(self, capacity: WorkerCapacity, step: StepState) -> bool:
        """Return whether a task of a step fits beside what is held for others.

        Room is held against work of equal or lower priority.
        """
        if capacity.entry.worker_id not in self._by_worker:
            return True
        held = self._held_against(capacity, step)
        spec, entry = step.spec, capacity.entry
        cores_milli = 0 if spec.uses_leftover else spec.cores_milli
        cores_free = capacity.cores_free - held.cores_milli
        memory_free = entry.memory_mb - capacity.memory_used - held.memory_mb
        accelerators_free = (
            entry.accelerators - capacity.accelerators_used - held.accelerators
        )
        return (
            (not cores_milli or cores_milli <= cores_free)
            and (not spec.memory_mb or spec.memory_mb <= memory_free)
            and (not spec.accelerators or spec.accelerators <= accelerators_free)
        )

    def limits(self, capacity: WorkerCapacity, step: StepState) -> bool:
        """Return whether room on a worker is held against a step."""
        return any(
            _is_against(hold, step) for hold in self.on(capacity.entry.worker_id)
        )

    def _held_against(
        self, capacity: WorkerCapacity, step: StepState
    ) -> ResourceAmounts:
        specs = [
            hold.step.spec
            for hold in self.on(capacity.entry.worker_id)
            if _is_against(hold, step)
        ]
        return ResourceAmounts(
            sum(spec.cores_milli for spec in specs),
            sum(spec.memory_mb for spec in specs),
            sum(spec.accelerators for spec in specs),
        )

    def release(self, capacity: WorkerCapacity, step: StepState) -> None:
        """Release the room of one task of a step that is placed on a worker."""
        for hold in self.on(capacity.entry.worker_id):
            if hold.step is step:
                self._remove(hold)
                return

    def prune(self, capacities: Iterable[WorkerCapacity], now_s: float) -> None:
        """Release room that expired, is not needed any more, or lost its worker."""
        if not self._by_worker:
            return
        usable = {id(capacity) for capacity in capacities}
        unplaced: dict[StepId, int] = {}
        for hold in [hold for holds in self._by_worker.values() for hold in holds]:
            step_id = hold.step.step_id
            ready = unplaced.get(step_id, len(hold.step.ready))
            if ready and now_s < hold.expires_s and id(hold.capacity) in usable:
                unplaced[step_id] = ready - 1
            else:
                self._remove(hold)

    def _remove(self, hold: RoomHold) -> None:
        worker_id = hold.capacity.entry.worker_id
        holds = self._by_worker[worker_id]
        holds.remove(hold)
        if not holds:
            del self._by_worker[worker_id]
        step_id = hold.step.step_id
        self._counts[step_id] -= 1
        if not self._counts[step_id]:
            del self._counts[step_id]


def _is_against(hold: RoomHold, step: StepState) -> bool:
    return hold.step is not step and (
        hold.step.job.queue.priority <= step.job.queue.priority
    )


# Choice of runs to stop


class VictimRank(IntEnum):
    """What a job loses if one of its runs is stopped; lower goes first."""

    WORTHLESS = 0
    HAS_SLACK = 1
    # Late jobs lose value with each delay.
    LATE = 2


@dataclass(slots=True, frozen=True, eq=False)
class Victim:
    """A run that may be stopped.

    Attributes
    ----------
    priority : int
        Priority number of its queue.
    slack_s : float
        Time for which the rest of its job may be delayed by this run without missing
        the objective; negative if the job is late.
    rank : VictimRank
        What its job loses, given enough slack.
    """

    run: Run
    task: Task
    priority: int
    slack_s: float
    rank: VictimRank

    @property
    def spec(self) -> Step:
        """Step of the run."""
        return self.task.step.spec


@dataclass(slots=True, frozen=True)
class WaitingStep:
    """A step of which a planning round could not place every task.

    Attributes
    ----------
    candidates : sequence of WorkerCapacity
        Workers of its service that accept tasks.
    tasks : int
        Number of tasks that need room.
    """

    step: StepState
    candidates: Iterable[WorkerCapacity]
    tasks: int


@dataclass(slots=True)
class WorkerRoom:
    """Room that is expected on one worker during one decision.

    Attributes
    ----------
    ends : list of (float, Run, Step)
        Runs that reserve capacity, and when they are expected to end.
    victims : list of Victim or None
        Runs that may be stopped; None before first use.
    chosen : set of RunId
        Runs to stop that this decision has chosen.
    claims : list of StepState
        Steps of the tasks to which this decision has assigned room.
    """

    capacity: WorkerCapacity
    ends: list[tuple[float, Run, Step]]
    victims: list[Victim] | None = None
    chosen: set[RunId] = field(default_factory=set)
    claims: list[StepState] = field(default_factory=list)

    def unclaimed_milli(self) -> int:
        """Return the free cores that are not assigned yet, in thousandths."""
        claimed_milli = sum(step.spec.cores_milli for step in self.claims)
        return self.capacity.cores_free - claimed_milli


@dataclass(slots=True, frozen=True)
class Assignment:
    """A worker for one task, and the runs to stop there first."""

    room: WorkerRoom
    victims: tuple[Victim, ...]


class PreemptionPlanner:
    """Decides which runs are stopped for blocked urgent tasks.

    The state is soft: a successor of the leader starts with no holds and no counts.

    Parameters
    ----------
    stop_timeout_s : float
        Maximum time from an order to stop a run to its end.
    remaining_s : callable
        Returns the estimated run time left of a run of a step at a time.

    Attributes
    ----------
    holds : RoomHolds
        Room that is being freed, or was freed, for urgent steps.
    """

    __slots__ = (
        "_blocked_since_s",
        "_capacities",
        "_decided_s",
        "_job_preemptions",
        "_lowest_priority",
        "_ordered",
        "_remaining_s",
        "_stop_timeout_s",
        "_stopped_tasks",
        "_stopping_since_s",
        "_waiting",
        "holds",
    )

    def __init__(
        self,
        stop_timeout_s: float = 0.4,
        remaining_s: Callable[[Run, Step, float], float] = estimate_remaining_s,
    ) -> None:
        self._stop_timeout_s = stop_timeout_s
        self._remaining_s = remaining_s
        self.holds = RoomHolds()
        self._capacities: list[WorkerCapacity] = []
        self._lowest_priority = 0
        self._waiting: list[WaitingStep] = []
        self._blocked_since_s: dict[StepId, float] = {}
        self._decided_s = float("-inf")
        # Preempted runs whose end is not known yet.
        self._ordered: set[RunId] = set()
        # Since when runs are seen to stop, for whatever reason.
        self._stopping_since_s: dict[RunId, float] = {}
        self._stopped_tasks: set[TaskId] = set()
        self._job_preemptions: Counter[str] = Counter()

    # Hooks of a planning round

    def begin_round(
        self,
        capacities: list[WorkerCapacity],
        configuration: FleetConfiguration,
        now_s: float,
    ) -> None:
        """Start a planning round over the workers that accept tasks."""
        self._capacities = capacities
        self._waiting = []
        self._lowest_priority = max(
            (queue.priority for queue in configuration.queues.values()), default=0
        )
        self.holds.prune(capacities, now_s)

    def record_waiting(
        self,
        step: StepState,
        candidates: Iterable[WorkerCapacity],
        interrupted: list[Task] | None,
    ) -> None:
        """Record a step with tasks that the round could not place.

        Parameters
        ----------
        step : StepState
            The step.
        candidates : iterable of WorkerCapacity
            Workers of its service.
        interrupted : list of Task or None
            Its standing tasks that were interrupted for too long; other standing
            tasks do not preempt.
        """
        spec = step.spec
        if step.job.queue.priority >= self._lowest_priority or spec.uses_leftover:
            return
        if spec.standing:
            tasks = [task for task in interrupted or () if task.is_ready]
        else:
            tasks = list(step.ready.values())
        # Tasks that may crash workers are isolated, and room for them is not enough.
        count = sum(not task.accountable.crashes for task in tasks)
        if count and (not spec.gang or count == len(step.tasks)):
            self._waiting.append(WaitingStep(step, candidates, count))

    def decide(
        self,
        registry: RunRegistry,
        now_s: float,
        now_ms: float,
        is_allowed: Callable[[WorkerCapacity, StepState, float], bool],
    ) -> list[Preemption]:
        """Return the runs to stop now; hold their room.

        Parameters
        ----------
        registry : RunRegistry
            Jobs and runs.
        now_s, now_ms : float
            Time on the scheduler's clock, and Unix time.
        is_allowed : callable
            Returns whether a worker may run a task of a step, apart from its room.
        """
        self._blocked_since_s = {
            waiting.step.step_id: self._blocked_since_s.get(waiting.step.step_id, now_s)
            for waiting in self._waiting
        }
        if not self._waiting or now_s - self._decided_s < DECISION_INTERVAL_S:
            return []
        blocked = []
        for waiting in self._waiting:
            if len(blocked) == STEPS_PER_DECISION:
                break
            step = waiting.step
            if now_s - self._blocked_since_s[step.step_id] < BLOCKED_MIN_S:
                continue
            slack_s = self._slack_s(step, now_s, now_ms)
            held = self.holds.count(step)
            tasks = waiting.tasks - held
            is_needed = not held if step.spec.gang else tasks > 0
            if is_needed and slack_s >= self._stop_timeout_s:
                blocked.append((WaitingStep(step, waiting.candidates, tasks), slack_s))
        if not blocked:
            return []
        self._decided_s = now_s
        self._forget_ended(registry)
        priority = min(waiting.step.job.queue.priority for waiting, _ in blocked)
        decision = _Decision(self, registry, now_s, now_ms, is_allowed, priority)
        return decision.choose(blocked)

    def _slack_s(self, step: StepState, now_s: float, now_ms: float) -> float:
        """Return how long a step may still wait, infinite for standing work."""
        if step.spec.standing:
            return float("inf")
        occurrence = step.job.occurrences[step.occurrence]
        path_s = step.job.remaining_critical_path_s(occurrence)
        return time_left_s(step, now_s, now_ms) - path_s

    def _forget_ended(self, registry: RunRegistry) -> None:
        """Drop what is known of jobs that have ended, from time to time."""
        active = registry.active
        if len(self._job_preemptions) > len(active) + STALE_ENTRIES_MAX:
            self._job_preemptions = Counter(
                {j: n for j, n in self._job_preemptions.items() if j in active}
            )
            self._stopped_tasks = {
                task_id for task_id in self._stopped_tasks if task_id.job_id in active
            }


class _Decision:
    """One decision over all workers."""

    __slots__ = (
        "_budget",
        "_highest_priority",
        "_is_allowed",
        "_now_ms",
        "_now_s",
        "_path_s",
        "_planner",
        "_registry",
        "_rooms",
        "_unclaimable",
    )

    def __init__(
        self,
        planner: PreemptionPlanner,
        registry: RunRegistry,
        now_s: float,
        now_ms: float,
        is_allowed: Callable[[WorkerCapacity, StepState, float], bool],
        highest_priority: int,
    ) -> None:
        self._planner = planner
        self._highest_priority = highest_priority
        self._registry = registry
        self._now_s = now_s
        self._now_ms = now_ms
        self._is_allowed = is_allowed
        # Remaining critical path by job and occurrence.
        self._path_s: dict[tuple[str, int], float] = {}
        self._note_stopping()
        stops_max = max(1, int(len(planner._capacities) * STOPPING_SHARE))
        self._budget = stops_max - len(planner._ordered)
        self._rooms: dict[int, WorkerRoom] = {}
        # Steps for which no room becomes free by itself, with the time considered.
        self._unclaimable: list[tuple[StepState, float]] = []

    def _note_stopping(self) -> None:
        """Note which runs are being stopped, and since when."""
        planner = self._planner
        stopping = [
            run_id
            for capacity in planner._capacities
            for run_id, (run, _) in capacity.runs.items()
            if run.phase is RunPhase.STOPPING
        ]
        since_s = planner._stopping_since_s
        planner._stopping_since_s = {
            run_id: since_s.get(run_id, self._now_s) for run_id in stopping
        }
        planner._ordered.intersection_update(stopping)

    def _survey(self, capacity: WorkerCapacity) -> WorkerRoom:
        """Return when the runs of a worker are expected to end."""
        planner = self._planner
        ends = []
        for run, spec in capacity.runs.values():
            if spec.standing and run.phase is not RunPhase.STOPPING:
                continue
            if run.phase is RunPhase.STOPPING:
                since_s = planner._stopping_since_s[run.run_id]
                # A stop that takes longer than allowed may take any time.
                is_overdue = self._now_s - since_s >= (
                    planner._stop_timeout_s + HOLD_MARGIN_S
                )
                remaining_s = float("inf") if is_overdue else 0.0
            else:
                remaining_s = planner._remaining_s(run, spec, self._now_s)
            ends.append((remaining_s, run, spec))
        return WorkerRoom(capacity, ends)

    def _victims(self, room: WorkerRoom) -> list[Victim]:
        if room.victims is None:
            victims = (
                self._to_victim(run, spec, remaining_s)
                for remaining_s, run, spec in room.ends
            )
            room.victims = [victim for victim in victims if victim is not None]
        return room.victims

    def _to_victim(self, run: Run, spec: Step, remaining_s: float) -> Victim | None:
        """Return a run as a victim, None if it must not be stopped."""
        planner = self._planner
        if (
            run.phase is not RunPhase.RUNNING
            or not spec.checkpoints
            or spec.standing
            or spec.gang
            or spec.uses_leftover
            or remaining_s <= REMAINING_STOPS_MIN * planner._stop_timeout_s
        ):
            return None
        task = self._registry.find(run.run_id.task)
        if task is None or len(task.runs) != 1 or task.accountable.crashes:
            return None
        job = task.step.job
        if job.has_ended or job.queue.priority <= self._highest_priority:
            return None
        if (
            task.task_id in planner._stopped_tasks
            and self._now_s - run.started_s < RERUN_MIN_S
        ):
            return None
        # The path after the run's step, or longer if another branch is.
        step_s = job.queue.advice_call_s + spec.run_estimate_ms / 1000
        after_s = max(0.0, self._remaining_path_s(task.step) - step_s)
        left_s = time_left_s(task.step, self._now_s, self._now_ms)
        slack_s = left_s - remaining_s - after_s
        if slack_s >= 0:
            rank = VictimRank.HAS_SLACK
        elif slack_s >= -(LATE_FACTOR - 1) * job.objective_s:
            rank = VictimRank.LATE
        else:
            rank = VictimRank.WORTHLESS
        return Victim(run, task, job.queue.priority, slack_s, rank)

    def _remaining_path_s(self, step: StepState) -> float:
        key = (step.job.job.job_id, step.occurrence)
        path_s = self._path_s.get(key)
        if path_s is None:
            occurrence = step.job.occurrences[step.occurrence]
            path_s = step.job.remaining_critical_path_s(occurrence)
            self._path_s[key] = path_s
        return path_s

    def choose(self, blocked: list[tuple[WaitingStep, float]]) -> list[Preemption]:
        """Return the runs to stop for blocked steps with their slack."""
        preemptions: list[Preemption] = []
        for waiting, slack_s in blocked:
            if self._budget <= 0:
                break
            step = waiting.step
            rooms = [
                self._room(capacity)
                for capacity in waiting.candidates
                if self._is_allowed(capacity, step, self._now_s)
            ]
            if step.spec.gang:
                if not self._claim(step, rooms, waiting.tasks, slack_s):
                    assignments = self._assign_gang(step, rooms, waiting.tasks)
                    preemptions.extend(self._record(step, assignments))
                continue
            tasks = waiting.tasks
            while tasks and self._claim(step, rooms, 1, slack_s):
                tasks -= 1
            options = _Options(rooms)
            for _ in range(tasks):
                assignments = self._assign(step, options, 1)
                if not assignments:
                    break
                preemptions.extend(self._record(step, assignments))
        return preemptions

    def _room(self, capacity: WorkerCapacity) -> WorkerRoom:
        room = self._rooms.get(id(capacity))
        if room is None:
            room = self._rooms[id(capacity)] = self._survey(capacity)
        return room

    def _claim(
        self, step: StepState, rooms: list[WorkerRoom], group: int, slack_s: float
    ) -> bool:
        """Claim room that becomes free by itself in time, for a number of tasks.

        Returns whether there is room for all of them; else none is claimed.

        In time means before a stop would come too late, so that a preemption is still
        possible if the estimates prove wrong.
        """
        stop_s = self._planner._stop_timeout_s
        window_s = max(stop_s, slack_s - stop_s) if slack_s < float("inf") else stop_s
        if any(
            window_s <= failed_window_s and _needs_as_much(step, failed)
            for failed, failed_window_s in self._unclaimable
        ):
            return False
        claimed: list[WorkerRoom] = []
        for room in rooms:
            while len(claimed) < group and self._fits(room, step, window_s):
                room.claims.append(step)
                claimed.append(room)
            if len(claimed) == group:
                return True
        for room in claimed:
            room.claims.remove(step)
        if group == 1 and not step.spec.worker_tasks_max:
            self._unclaimable.append((step, window_s))
        return False

    def _assign_gang(
        self, step: StepState, rooms: list[WorkerRoom], group: int
    ) -> list[Assignment]:
        """Assign rooms to all tasks of a gang, in one rack if it prefers that."""
        if step.spec.same_rack:
            for rack in sorted({room.capacity.entry.rack for room in rooms}):
                in_rack = [room for room in rooms if room.capacity.entry.rack == rack]
                assignments = self._assign(step, _Options(in_rack), group)
                if assignments:
                    return assignments
        return self._assign(step, _Options(rooms), group)

    def _assign(
        self, step: StepState, options: "_Options", group: int
    ) -> list[Assignment]:
        """Assign rooms to some tasks of a step; none if not all of them get one."""
        assignments: list[Assignment] = []
        stops = 0
        ranked = options.ranked
        while len(assignments) < group:
            if not ranked:
                batch = options.next_batch()
                if not batch:
                    break
                for room in batch:
                    self._push(ranked, room, step)
                continue
            _, _, room, victims = heapq.heappop(ranked)
            if self._choose_victims(room, step) != victims:
                # A job among them has reached its limit since.
                self._push(ranked, room, step)
                continue
            stops += len(victims)
            if stops > self._budget:
                break
            room.claims.append(step)
            room.chosen.update(victim.run.run_id for victim in victims)
            self._count_preemptions(victims, 1)
            assignments.append(Assignment(room, victims))
            self._push(ranked, room, step)
        if len(assignments) == group:
            return assignments
        for assignment in assignments:
            assignment.room.claims.remove(step)
            assignment.room.chosen.difference_update(
                victim.run.run_id for victim in assignment.victims
            )
            self._count_preemptions(assignment.victims, -1)
        return []

    def _count_preemptions(self, victims: Iterable[Victim], sign: int) -> None:
        for victim in victims:
            self._planner._job_preemptions[victim.task.task_id.job_id] += sign

    def _push(self, ranked: list[tuple], room: WorkerRoom, step: StepState) -> None:
        victims = self._choose_victims(room, step)
        if victims is None:
            return
        spec = step.spec
        cost = (
            any(victim.rank is VictimRank.LATE for victim in victims),
            sum(victim.spec.cores_milli for victim in victims),
            spec.rack not in ("", room.capacity.entry.rack),
            sum(victim.rank for victim in victims),
            len(victims),
        )
        worker_id = room.capacity.entry.worker_id
        heapq.heappush(ranked, (cost, worker_id, room, victims))

    def _record(
        self, step: StepState, assignments: list[Assignment]
    ) -> Iterable[Preemption]:
        """Hold the assigned rooms and yield the runs to stop."""
        planner = self._planner
        expires_s = (
            self._now_s
            + planner._stop_timeout_s
            + HOLD_MARGIN_S
            + step.job.queue.advice_call_s
        )
        for assignment in assignments:
            room = assignment.room
            # From now on the hold counts instead of the claim.
            room.claims.remove(step)
            planner.holds.add(RoomHold(step, room.capacity, expires_s))
            for victim in assignment.victims:
                task_id = victim.task.task_id
                planner._ordered.add(victim.run.run_id)
                planner._stopping_since_s[victim.run.run_id] = self._now_s
                planner._stopped_tasks.add(task_id)
                self._budget -= 1
                yield Preemption(victim.run, step)

    # Room on one worker

    def _missing(
        self, room: WorkerRoom, step: StepState, window_s: float
    ) -> tuple[int, int, int] | None:
        """Return the cores, memory and accelerators that a task lacks on a worker.

        Runs that end within a time do not count. None if the step may not have one
        more task there.
        """
        spec, capacity = step.spec, room.capacity
        worker_id = capacity.entry.worker_id
        priority = step.job.queue.priority
        claims = [claim.spec for claim in room.claims]
        own_claims = sum(claim is step for claim in room.claims)
        for hold in self._planner.holds.on(worker_id):
            own_claims += hold.step is step
            if hold.step.job.queue.priority <= priority:
                claims.append(hold.step.spec)
        if spec.worker_tasks_max and (
            step.worker_tasks.get(worker_id, 0) + own_claims >= spec.worker_tasks_max
        ):
            return None
        cores = spec.cores_milli - capacity.cores_free
        memory = spec.memory_mb - capacity.entry.memory_mb + capacity.memory_used
        accelerators = (
            spec.accelerators - capacity.entry.accelerators + capacity.accelerators_used
        )
        for claim in claims:
            cores += claim.cores_milli
            memory += claim.memory_mb
            accelerators += claim.accelerators
        for ends_in_s, run, ending in room.ends:
            if ends_in_s <= window_s or run.run_id in room.chosen:
                cores -= 0 if ending.uses_leftover else ending.cores_milli
                memory -= ending.memory_mb
                accelerators -= ending.accelerators
        return cores, memory, accelerators

    def _fits(self, room: WorkerRoom, step: StepState, window_s: float) -> bool:
        missing = self._missing(room, step, window_s)
        return missing is not None and max(missing) <= 0

    def _choose_victims(
        self, room: WorkerRoom, step: StepState
    ) -> tuple[Victim, ...] | None:
        """Return the runs to stop for one more task on a worker; None if too few.

        Only room that is free by the end of the stop counts, since it is held for
        little longer.
        """
        missing = self._missing(room, step, self._planner._stop_timeout_s)
        if missing is None:
            return None
        if max(missing) <= 0:
            return ()
        priority = step.job.queue.priority
        # The stopped run may wait until the urgent task has ended.
        delay_s = (
            self._planner._stop_timeout_s
            + RESTORE_S
            + (0.0 if step.spec.standing else step.spec.run_estimate_ms / 1000)
        )
        victims = [
            victim
            for victim in self._victims(room)
            if victim.priority > priority
            and victim.run.run_id not in room.chosen
            and (victim.rank is not VictimRank.HAS_SLACK or victim.slack_s >= delay_s)
        ]
        victims.sort(key=lambda victim: _victim_key(victim, missing[0]))
        victims = self._limit_by_job(victims)
        several = _cover(victims, missing)
        if several is None:
            return None
        single = next((v for v in victims if _is_covered(missing, (v,))), None)
        if single is None:
            return several
        return min(several, (single,), key=_stop_cost)

    def _limit_by_job(self, victims: list[Victim]) -> list[Victim]:
        """Return the first victims of each job that its limit allows."""
        counts = Counter()
        allowed = []
        for victim in victims:
            job_id = victim.task.task_id.job_id
            counts[job_id] += 1
            preempted = self._planner._job_preemptions[job_id]
            if preempted + counts[job_id] <= JOB_PREEMPTIONS_MAX:
                allowed.append(victim)
        return allowed


class _Options:
    """Rooms for the tasks of a step, examined in batches.

    Attributes
    ----------
    ranked : list of tuple
        Heap of the rooms examined so far, by the cost of the stops.
    """

    __slots__ = ("_pending", "ranked")

    def __init__(self, rooms: list[WorkerRoom]) -> None:
        self._pending = sorted(rooms, key=WorkerRoom.unclaimed_milli)
        self.ranked: list[tuple] = []

    def next_batch(self) -> list[WorkerRoom]:
        """Return the rooms to examine next, those with the most free cores."""
        batch = self._pending[-WORKERS_PER_BATCH:]
        del self._pending[-WORKERS_PER_BATCH:]
        return batch


def _needs_as_much(step: StepState, other: StepState) -> bool:
    """Return whether a step fits nowhere where another one does not."""
    spec, least = step.spec, other.spec
    return (
        step.job.queue.service == other.job.queue.service
        and spec.label == least.label
        and spec.cores_milli >= least.cores_milli
        and spec.memory_mb >= least.memory_mb
        and spec.accelerators >= least.accelerators
    )


def _stop_cost(victims: tuple[Victim, ...]) -> tuple:
    """Return the cost of stopping some runs of one worker."""
    return (
        any(victim.rank is VictimRank.LATE for victim in victims),
        sum(victim.spec.cores_milli for victim in victims),
        len(victims),
    )


def _victim_key(victim: Victim, missing_milli: int) -> tuple:
    """Return the sort key of a victim, the best first.

    A stop costs each core of the run the same time, so the work lost per useful core
    grows with the cores beyond those that are missing.
    """
    slack = 0.0
    if victim.rank is VictimRank.HAS_SLACK:
        slack = victim.slack_s // SLACK_GRANULARITY_S
    cores_milli = victim.spec.cores_milli
    useful_milli = max(1, min(cores_milli, missing_milli))
    return (victim.rank, -slack, cores_milli / useful_milli, -victim.run.started_s)


def _is_covered(missing: tuple[int, int, int], victims: Iterable[Victim]) -> bool:
    cores, memory, accelerators = missing
    for victim in victims:
        cores -= victim.spec.cores_milli
        memory -= victim.spec.memory_mb
        accelerators -= victim.spec.accelerators
    return max(cores, memory, accelerators) <= 0


def _cover(
    victims: list[Victim], missing: tuple[int, int, int]
) -> tuple[Victim, ...] | None:
    """Return the first victims that free enough, without needless ones."""
    chosen: list[Victim] = []
    for victim in victims:
        chosen.append(victim)
        if _is_covered(missing, chosen):
            break
    else:
        return None
    for victim in reversed(chosen[:-1]):
        rest = [other for other in chosen if other is not victim]
        if _is_covered(missing, rest):
            chosen = rest
    return tuple(chosen)
