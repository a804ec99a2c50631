"""Judges the numbers of pending jobs that daemons answer (rule MIXED).

Only a number that is too low is judged: a daemon in contact must not give under half of
the jobs without times that were accepted long enough before and have not begun. Which
those are comes from the callers' and the workers' records.
"""

from collections import defaultdict
from dataclasses import dataclass

from standins.configuration_check import ConfigurationCheck, QueueAnswer
from standins.queue_places import queue_at

# A job has to be counted this long after its acceptance: `visible_ms` + 2 s.
COUNTED_AFTER_S = 5.0


@dataclass(slots=True)
class WaitingJob:
    """A job from its acceptance until it is begun, cancelled or ended."""

    accepted_s: float
    left_s: float = float("inf")


class PendingCheck:
    """Finds counts of pending jobs that leave out most of them.

    Parameters
    ----------
    configurations : ConfigurationCheck
        Disturbances of the daemons.

    Attributes
    ----------
    judged : int
        Counts that were judged, with at least one job that had to be counted.
    """

    def __init__(self, configurations: ConfigurationCheck) -> None:
        self._configurations = configurations
        self._queues: dict[str, str] = {}
        # By queue and job.
        self._waiting: dict[str, dict[str, WaitingJob]] = defaultdict(dict)
        # When jobs were begun, cancelled or ended, whether accepted or not.
        self._left_s: dict[str, float] = {}
        self._answers: list[tuple[QueueAnswer, int]] = []
        self.judged = 0

    def add_job(self, job: str, place: str) -> None:
        """Add a job that a caller submits at a place."""
        self._queues[job] = queue_at(place)

    def accept(self, job: str, at_s: float) -> None:
        """Note that a job's submission was answered with success."""
        if job in self._queues:
            self._waiting[self._queues[job]].setdefault(job, WaitingJob(at_s))

    def leave(self, job: str, at_s: float) -> None:
        """Note a start of a task of a job, its end, or that its cancelling was sent."""
        self._left_s[job] = min(at_s, self._left_s.get(job, at_s))

    def add_answer(self, answer: QueueAnswer, pending: int) -> None:
        """Add an answered count."""
        self._answers.append((answer, pending))

    def check(self) -> list[str]:
        """Return the findings."""
        for jobs in self._waiting.values():
            for job, waiting in jobs.items():
                waiting.left_s = self._left_s.get(job, float("inf"))
        return [found for row in self._answers if (found := self._check_answer(*row))]

    def _check_answer(self, answer: QueueAnswer, pending: int) -> str:
        if not self._configurations.is_judged(answer):
            return ""
        jobs = [
            job
            for job, waiting in self._waiting[queue_at(answer.queue)].items()
            if waiting.accepted_s + COUNTED_AFTER_S < answer.sent_s
            and waiting.left_s > answer.answered_s
        ]
        if not jobs:
            return ""
        self.judged += 1
        if 2 * pending >= len(jobs):
            return ""
        return (
            f"MIXED: {answer.daemon} (start {answer.incarnation}) at "
            f"{answer.sent_s:.3f}: queue {answer.queue} has {pending} pending, "
            f"{len(jobs)} accepted over {COUNTED_AFTER_S:.0f} s before have not begun: "
            f"{', '.join(jobs[:3])}"
        )
