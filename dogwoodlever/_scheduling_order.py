"""Scheduling order of waiting steps.

Under overload, work that can still be on time goes before late work, and late work that
still has value before the rest. Standing work waits for both: it occupies its cores for
so long that a short job which it passes would lose all its value. A standing task that
has run goes first once it has been interrupted for some seconds, since its users wait.
"""

from enum import IntEnum

from dogwoodlever._fleet_job import StepState
from dogwoodlever._run_time_model import RunTimeModel

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


def scheduling_key(
    step: StepState,
    now_s: float,
    now_ms: float,
    run_times: RunTimeModel | None = None,
) -> tuple:
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
    run_times : RunTimeModel or None
        Learned run times; None for the declared estimates.
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
    age_s = now_s - job.arrived_s
    if job.job.occurrences:
        age_s = (now_ms - occurrence.due_ms) / 1000
    objective_s = job.objective_s
    if run_times is not None:
        objective_s = run_times.update(job, occurrence, now_s)
    time_left_s = objective_s - age_s
    remaining_path_s = job.remaining_critical_path_s(occurrence)
    remaining_core_s = job.remaining_core_s(occurrence)
    if remaining_path_s <= time_left_s:
        return (
            DeadlineOutlook.ON_TIME,
            job.queue.priority,
            remaining_core_s,
            step.number,
        )
    if remaining_path_s <= time_left_s + (LATE_FACTOR - 1) * objective_s:
        return (DeadlineOutlook.LATE, job.queue.priority, remaining_core_s, step.number)
    return (DeadlineOutlook.TOO_LATE, job.queue.priority, remaining_core_s, step.number)
