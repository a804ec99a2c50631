"""Order in which waiting steps get room.

Answers the load of more work than room: work that can still be on time goes
before work that is late, and late work that still earns before the rest.
"""

from enum import IntEnum

from dogwoodlever._fleet_job import StepState

# A job is worth less up to three times its objective, and nothing after it.
LATE_FACTOR = 3.0


class DeadlineOutlook(IntEnum):
    """How much a step's job can still earn; lower goes first.

    Standing work holds its room for long and earns the least by the core, so
    short work that can be on time goes before it and uses the room it leaves.
    """

    ON_TIME = 0
    STANDING = 1
    LATE = 2
    TOO_LATE = 3


def scheduling_key(step: StepState, now_s: float, now_ms: float) -> tuple:
    """Return the sort key of a step with tasks to start.

    Among jobs that can be on time, the one with the least work left goes first:
    with more work than room, that completes the most jobs.

    Parameters
    ----------
    step : StepState
        The step.
    now_s, now_ms : float
        The scheduler's clock, and Unix time.
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
    left_s = job.objective_s - age_s
    ends_s = job.remaining_critical_path_s(occurrence)
    work = job.remaining_core_s(occurrence)
    if ends_s <= left_s:
        return (DeadlineOutlook.ON_TIME, job.queue.priority, work, step.number)
    if ends_s <= left_s + (LATE_FACTOR - 1) * job.objective_s:
        return (DeadlineOutlook.LATE, job.queue.priority, work, step.number)
    return (DeadlineOutlook.TOO_LATE, job.queue.priority, work, step.number)
