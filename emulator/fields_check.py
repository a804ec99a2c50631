"""Judges the fields of a queue that show outside: `max_attempts` and `timeout_ms`.

A task must not start again after as many failed runs as any version up to then allows
(rule BUDGET), and a call must be answered within the longest time-out that may be in
force at its daemon (rule TIMEOUT). `slo_ms`, `stretch` and `priority` change the order
of starts only, and are not judged.
"""

from dataclasses import dataclass, field

from standins.configuration_check import ConfigurationCheck, QueueAnswer
from standins.queue_places import queue_at

# Without the field.
TIMEOUT_MS = 3_000
ATTEMPTS = 1
# An answer may be on its way, and a late process answers late.
TIMEOUT_SLACK_S = 0.3


@dataclass(slots=True, frozen=True)
class FieldsVersion:
    """Fields of the queues of one version, by name."""

    written_s: float
    attempts: dict[str, int] = field(default_factory=dict)
    timeouts_ms: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TaskRun:
    """A run of a task; `failed_s` is None unless it has failed for all to see."""

    start_s: float
    failed_s: float | None = None


class FieldsCheck:
    """Finds starts and answers that no version allows.

    Parameters
    ----------
    configurations : ConfigurationCheck
        Versions that may be in force, and the contacts of the daemons.

    Attributes
    ----------
    judged_timeouts, judged_tasks : int
        Answers and tasks that were judged.
    """

    def __init__(self, configurations: ConfigurationCheck) -> None:
        self._configurations = configurations
        self._versions: list[FieldsVersion] = []
        self._answers: list[QueueAnswer] = []
        self.judged_timeouts = 0
        self.judged_tasks = 0

    def add_version(self, version: FieldsVersion) -> None:
        """Add a version in the order of writes."""
        self._versions.append(version)

    def add_answer(self, answer: QueueAnswer) -> None:
        """Add an answer, or none, to a call without a deadline of its own."""
        if not answer.deadline_ms:
            self._answers.append(answer)

    def check(self) -> list[str]:
        """Return the findings of the time-outs."""
        return [found for row in self._answers if (found := self._check_answer(row))]

    def _check_answer(self, answer: QueueAnswer) -> str:
        in_force = self._configurations.find_in_force(answer.sent_s, answer.answered_s)
        if not self._configurations.is_judged(answer) or not in_force:
            return ""
        if not all(answer.queue in version.queues for version in in_force):
            return ""
        name = queue_at(answer.queue)
        first_s, last_s = in_force[0].written_s, in_force[-1].written_s
        longest_s = max(
            version.timeouts_ms.get(name, TIMEOUT_MS) / 1000
            for version in self._versions
            if first_s <= version.written_s <= last_s
        )
        self.judged_timeouts += 1
        took_s = answer.answered_s - answer.sent_s - answer.late_s
        if took_s <= longest_s + TIMEOUT_SLACK_S:
            return ""
        return (
            f"TIMEOUT: {answer.daemon} at {answer.sent_s:.3f}: queue {answer.queue} "
            f"answered after {took_s:.3f} s, {longest_s:.3f} s are allowed"
        )

    def check_task(self, task: str, place: str, runs: list[TaskRun]) -> list[str]:
        """Return the findings of the starts of a task, whose runs are in order."""
        self.judged_tasks += 1
        findings = []
        name = queue_at(place)
        for run in runs:
            most = max(
                (
                    version.attempts.get(name, ATTEMPTS)
                    for version in self._versions
                    if version.written_s <= run.start_s
                ),
                default=ATTEMPTS,
            )
            failed = sum(
                former.failed_s is not None and former.failed_s < run.start_s
                for former in runs
            )
            if failed >= most:
                findings.append(
                    f"BUDGET: {task} of {name} started at {run.start_s:.3f} after "
                    f"{failed} failed runs, {most} are allowed"
                )
        return findings
