"""Order of waiting steps by the fair shares of their workspaces."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from dogwoodlever._fleet_job import JobState, StepState, Task
from dogwoodlever._fleet_types import (
    FleetConfiguration,
    ResourceAmounts,
    Step,
    WorkerEntry,
    Workspace,
)
from dogwoodlever._scheduling_order import DeadlineOutlook
from dogwoodlever._workspace_usage import WorkspaceUsage

# Most tasks that a workspace places before the shares are compared again, and the most
# of a service's workers that they may use, but at least one task. Smaller turns divide
# the workers more exactly, but each turn ranks the workers anew.
TURN_TASKS_MAX = 16
TURN_SHARE_MAX = 1 / 400
# Stands for a weight of 0, which gets what the others leave.
WEIGHT_MIN = 1e-6


@dataclass(slots=True)
class Participant:
    """A workspace in one group of steps that compete.

    Attributes
    ----------
    steps : deque of (StepState, list of Task)
        Its steps in their order, with the tasks that were not tried in this round;
        the list is empty until the step's first turn.
    """

    name: str
    weight: float
    steps: deque = field(default_factory=deque)


class WorkspaceShares:
    """Orders waiting steps by weighted dominant-resource fairness, within the caps.

    Among the steps of one outlook and queue priority, the next comes from the
    workspace with the least dominant share for its weight. Steps without a workspace
    compete as one more participant of average weight. Standing steps keep their order.
    Steps of jobs beyond their workspace's rate come last.

    Parameters
    ----------
    usage : WorkspaceUsage
        What each workspace uses, and the caps.
    """

    __slots__ = ("_usage",)

    def __init__(self, usage: WorkspaceUsage) -> None:
        self._usage = usage

    def allows_copy(self, step: StepState) -> bool:
        """Return whether the cap allows one more run of a step."""
        return self._usage.fits(step)

    def allows_move(self, step: StepState) -> bool:
        """Return whether a stopped run of a step could start again under the cap."""
        return not self._usage.is_over_cap(step.job.job.workspace)

    def turns(
        self,
        interrupted_steps: Iterable[tuple[StepState, list[Task]]],
        keys: dict[StepState, tuple],
        entries: Iterable[WorkerEntry],
        configuration: FleetConfiguration,
    ) -> Iterator[tuple[StepState, list[Task] | None]]:
        """Yield steps and the tasks of them to place next; None for a whole gang.

        The caller places what it can and counts it before it requests the next turn.

        Parameters
        ----------
        interrupted_steps : iterable of (StepState, list of Task)
            Steps with standing tasks that go first.
        keys : dict of StepState to tuple
            Waiting steps in their order without workspaces, with their keys.
        entries : iterable of WorkerEntry
            The schedulable workers.
        configuration : FleetConfiguration
            Names the workspaces.
        """
        for step, tasks in interrupted_steps:
            yield from self._all_turns(step, tasks)
        groups: dict[tuple, dict[str, list[StepState]]] = {}
        for step in keys:
            outlook, priority, *_ = keys[step]
            is_last = step.job.is_over_rate and outlook is not DeadlineOutlook.STANDING
            group = groups.setdefault((is_last, outlook, priority), {})
            group.setdefault(step.job.service, []).append(step)
        totals = totals_by_service(entries)
        for key in sorted(groups):
            for service, members in groups[key].items():
                total = totals.get(service)
                if total is None:
                    continue
                if key[1] is DeadlineOutlook.STANDING:
                    yield from self._in_order(members)
                else:
                    yield from self._by_share(members, service, total, configuration)

    def _in_order(self, steps: list[StepState]):
        for step in steps:
            if step.spec.gang:
                yield from self._gang_turn(step)
            else:
                yield from self._all_turns(step, list(step.ready.values()))

    def _all_turns(self, step: StepState, tasks: list[Task]):
        """Yield turns of a step while the cap allows them and they place tasks."""
        while tasks:
            allowed = self._usage.tasks_that_fit(step)
            if allowed <= 0:
                self._usage.record_wait(step)
                return
            tasks = yield from self._turn(step, tasks, allowed)

    def _gang_turn(self, step: StepState):
        """Yield a turn of a gang if the cap allows all of it."""
        if self._usage.fits(step, len(step.tasks)):
            yield step, None
        else:
            self._usage.record_wait(step)

    @staticmethod
    def _turn(step: StepState, tasks: list[Task], count: int):
        """Yield a turn of at most `count` tasks; return those to try after it."""
        turn, rest = tasks[:count], tasks[count:]
        before = len(step.ready)
        yield step, turn
        placed = before - len(step.ready)
        # A task that failed or crashed may wait while others of its step start.
        if placed == len(turn) or any(task.failed_on or task.crashes for task in turn):
            return rest
        return []

    def _by_share(
        self,
        steps: list[StepState],
        service: str,
        total: ResourceAmounts,
        configuration: FleetConfiguration,
    ):
        participants: dict[str, Participant] = {}
        default_weight = _mean_weight(configuration)
        for step in steps:
            name = step.job.job.workspace
            if name not in participants:
                workspace = configuration.workspaces.get(name)
                weight = default_weight if workspace is None else workspace.weight
                participants[name] = Participant(name, max(weight, WEIGHT_MIN))
            participants[name].steps.append((step, []))
        # The names decide between equal shares.
        heap = [
            (self._share(participant, service, total), name)
            for name, participant in participants.items()
        ]
        heapq.heapify(heap)
        while heap:
            _, name = heap[0]
            participant = participants[name]
            yield from self._take_turn(participant, total)
            if participant.steps:
                share = self._share(participant, service, total)
                heapq.heapreplace(heap, (share, name))
            else:
                heapq.heappop(heap)

    def _share(
        self, participant: Participant, service: str, total: ResourceAmounts
    ) -> float:
        used = self._usage.used_of_service(participant.name, service)
        return dominant_share(used, total) / participant.weight

    def _take_turn(self, participant: Participant, total: ResourceAmounts):
        """Yield a participant's steps until one of them has placed tasks."""
        while participant.steps:
            step, tasks = participant.steps.popleft()
            before = len(step.ready)
            if step.spec.gang:
                yield from self._gang_turn(step)
            else:
                allowed = self._usage.tasks_that_fit(step)
                if allowed <= 0:
                    self._usage.record_wait(step)
                    continue
                count = min(_turn_tasks(step.spec, total), allowed)
                tasks = tasks or list(step.ready.values())
                rest = yield from self._turn(step, tasks, count)
                if rest:
                    participant.steps.appendleft((step, rest))
            if len(step.ready) < before:
                return


def _turn_tasks(spec: Step, total: ResourceAmounts) -> int:
    share = dominant_share(spec, total)
    if not share:
        return TURN_TASKS_MAX
    return max(1, min(TURN_TASKS_MAX, int(TURN_SHARE_MAX / share)))


def dominant_share(used: ResourceAmounts | Step, total: ResourceAmounts) -> float:
    """Return the largest share of any resource."""
    share = 0.0
    if total.cores_milli:
        share = used.cores_milli / total.cores_milli
    if total.memory_mb:
        share = max(share, used.memory_mb / total.memory_mb)
    if total.accelerators:
        share = max(share, used.accelerators / total.accelerators)
    return share


def totals_by_service(entries: Iterable[WorkerEntry]) -> dict[str, ResourceAmounts]:
    """Return the capacity of the workers of each service."""
    totals: dict[str, ResourceAmounts] = {}
    for entry in entries:
        total = totals.get(entry.service, ResourceAmounts())
        totals[entry.service] = ResourceAmounts(
            total.cores_milli + entry.cores_milli,
            total.memory_mb + entry.memory_mb,
            total.accelerators + entry.accelerators,
        )
    return totals


def _mean_weight(configuration: FleetConfiguration) -> float:
    weights = [workspace.weight for workspace in configuration.workspaces.values()]
    return sum(weights) / len(weights)


@dataclass(slots=True)
class TokenBucket:
    """Jobs that a workspace may still submit within its rate."""

    tokens: float
    updated_ms: float

    def take(self, workspace: Workspace, window_s: float, now_ms: float) -> bool:
        """Take a token for a job; return whether there was one."""
        size = _bucket_size(workspace, window_s)
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1000
        self.tokens = min(size, self.tokens + elapsed_s * workspace.weight)
        self.updated_ms = max(self.updated_ms, now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def _bucket_size(workspace: Workspace, window_s: float) -> float:
    return max(1.0, workspace.weight * window_s)


class WorkspaceRates:
    """Decides which jobs are beyond the usual rate of their workspace.

    Parameters
    ----------
    window_s : float
        Time over which jobs count against the rate.
    """

    __slots__ = ("_buckets", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: dict[str, TokenBucket] = {}

    def decide(
        self,
        state: JobState,
        configuration: FleetConfiguration | None,
        arrived_ms: float,
    ) -> None:
        """Set whether a job that arrived at a Unix time is beyond the rate."""
        name = state.job.workspace
        workspace = configuration.workspaces.get(name) if configuration else None
        if workspace is None:
            return
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = TokenBucket(_bucket_size(workspace, self._window_s), arrived_ms)
            self._buckets[name] = bucket
        state.is_over_rate = not bucket.take(workspace, self._window_s, arrived_ms)

    def decide_inherited(
        self,
        states: Iterable[JobState],
        configuration: FleetConfiguration | None,
        now_ms: float,
    ) -> None:
        """Decide anew on the jobs that a former leader accepted."""
        for state in sorted(states, key=lambda state: state.revision):
            self.decide(state, configuration, min(state.job.submitted_ms, now_ms))
