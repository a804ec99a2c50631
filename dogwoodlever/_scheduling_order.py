"""Scheduling order of waiting steps.

Under overload, work that can still be on time goes before late work, and late work that
still has value before the rest. Standing work waits for both: it occupies its cores for
so long that a short job which it passes would lose all its value. A standing task that
has run goes first once it has been interrupted for some seconds, since its users wait.
"""

from enum import IntEnum

from dogwoodlever._fleet_job import StepState

# A late job loses value until three times its time objective, and has none after that.
LATE_FACTOR = 3.0


class DeadlineOutlook(IntEnum):
    """Value that a step's job can still reach; lower goes first.

    Standing work occupies its cores for long and has the least value per core, so
    short work that still has value goes before it and uses the cores that it leaves.
    """

    ON_TIME = 0
    LATE = 1
    STANDING = 2
    TOO_LATE = 3


def time_left_s(step: StepState, now_s: float, now_ms: float) -> float:
    """Return the time until the objective of a step's occurrence."""
    job = step.job
    age_s = now_s - job.arrived_s
    if job.job.occurrences:
        age_s = (now_ms - job.occurrences[step.occurrence].due_ms) / 1000
    return job.objective_s - age_s


def scheduling_key(step: StepState, now_s: float, now_ms: float) -> tuple:
    """Return the sort key of a step with tasks to start.

    Among steps of one outlook and queue priority, the one whose occurrence has the
    least remaining work goes first, which completes the most jobs under overload.
    Standing steps go in the order of arrival of their jobs.

    Parameters
    ----------
    step : StepState
        Step with tasks to start.
    now_s, now_ms : float
        Time on the scheduler's clock, and Unix time.
    """
    job = step.job
    if step.spec.standing:
        return (
            DeadlineOutlook.STANDING,
            job.queue.priority,
            job.arrived_s,
            step.number,
        )
    occurrence = job.occurrences[step.occurrence]
    left_s = time_left_s(step, now_s, now_ms)
    remaining_path_s = job.remaining_critical_path_s(occurrence)
    remaining_core_s = job.remaining_core_s(occurrence)
    if remaining_path_s <= left_s:
        return (
            DeadlineOutlook.ON_TIME,
            job.queue.priority,
            remaining_core_s,
            step.number,
        )
    if remaining_path_s <= left_s + (LATE_FACTOR - 1) * job.objective_s:
        return (DeadlineOutlook.LATE, job.queue.priority, remaining_core_s, step.number)
    return (DeadlineOutlook.TOO_LATE, job.queue.priority, remaining_core_s, step.number)
