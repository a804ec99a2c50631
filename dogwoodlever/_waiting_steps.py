"""Since when steps with ready tasks wait for a start."""

from collections.abc import Iterable

from dogwoodlever._fleet_job import StepState
from dogwoodlever._fleet_types import StepId

# A step without a start for this long is overdue, if nothing of its job runs.
OVERDUE_WAIT_S = 10.0


class WaitingSteps:
    """Since when each step with ready tasks has had no start.

    A leader cannot know when the tasks of an inherited job began to wait, so these
    count as waiting since the job arrived. Otherwise no wait would outlast a leader.
    """

    __slots__ = ("_overdue", "_since_s")

    def __init__(self) -> None:
        self._since_s: dict[StepId, float] = {}
        # Steps that have only started tasks since they were overdue.
        self._overdue: set[StepId] = set()

    def update(self, steps: Iterable[StepState], now_s: float) -> None:
        """Set the steps that have ready tasks now."""
        known = self._since_s
        self._since_s = {
            step.step_id: known.get(step.step_id, _first_since_s(step, now_s))
            for step in steps
        }
        self._overdue.intersection_update(self._since_s)

    def record_start(
        self, step: StepState, now_s: float, is_overdue: bool = False
    ) -> None:
        """Record the start of a task, as that of an overdue step or in its turn."""
        self._since_s[step.step_id] = now_s
        if is_overdue:
            self._overdue.add(step.step_id)
        else:
            self._overdue.discard(step.step_id)

    def overdue(self, steps: Iterable[StepState], now_s: float) -> list[StepState]:
        """Return the overdue steps, the longest wait first.

        A step stays overdue until one of its tasks starts in its turn.
        """
        before_s = now_s - OVERDUE_WAIT_S
        found = [
            step
            for step in steps
            if self._since_s[step.step_id] <= before_s or step.step_id in self._overdue
        ]
        found.sort(key=lambda step: self._since_s[step.step_id])
        return found

    def longest(
        self, steps: Iterable[StepState], now_s: float
    ) -> tuple[StepState, float] | None:
        """Return the step that has waited longest and its wait, None without steps."""
        waits_s = {
            step: now_s - self._since_s.get(step.step_id, now_s) for step in steps
        }
        if not waits_s:
            return None
        step = max(waits_s, key=waits_s.__getitem__)
        return step, waits_s[step]


def _first_since_s(step: StepState, now_s: float) -> float:
    return step.job.arrived_s if step.job.is_inherited else now_s
