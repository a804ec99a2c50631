"""Judges whether daemons apply the limits of the version in force (rule LIMITS).

A request above a limit must be refused with its status, one below it must be served,
if that holds in every version that may be in force. Requests on connections that were
opened before the version are judged as well.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from standins.configuration_check import ConfigurationCheck, QueueAnswer

# By limit: the status of a request that exceeds it.
REFUSALS = {"max_body_bytes": 413, "max_header_bytes": 431}
# Limits of a version that names none, or 0.
DEFAULTS = {"max_body_bytes": 1_000_000, "max_header_bytes": 16_384}


@dataclass(slots=True, frozen=True)
class LimitAnswer:
    """What a caller got for a request whose size is near a limit."""

    limit: str
    size_bytes: int
    answer: QueueAnswer


class LimitsCheck:
    """Finds answers that no version that may be in force allows.

    Parameters
    ----------
    configurations : ConfigurationCheck
        Versions and disturbances.

    Attributes
    ----------
    judged : int
        Answers that were judged.
    """

    def __init__(self, configurations: ConfigurationCheck) -> None:
        self._configurations = configurations
        self._limits: dict[int, Mapping[str, int]] = {}
        self._answers: list[LimitAnswer] = []
        self.judged = 0

    def add_version(self, version: int, limits: Mapping[str, int]) -> None:
        """Add the limits of a version."""
        self._limits[version] = limits

    def add_answer(self, answer: LimitAnswer) -> None:
        """Add an answer of a daemon."""
        self._answers.append(answer)

    def check(self) -> list[str]:
        """Return the findings."""
        return [found for each in self._answers if (found := self._check_answer(each))]

    def _check_answer(self, limited: LimitAnswer) -> str:
        answer = limited.answer
        if not self._configurations.is_judged(answer):
            return ""
        versions = self._configurations.find_in_force(answer.sent_s, answer.answered_s)
        values = [
            self._limits.get(version.version, {}).get(limited.limit)
            or DEFAULTS[limited.limit]
            for version in versions
        ]
        if not values:
            return ""
        refusal = REFUSALS[limited.limit]
        is_kept = all(answer.queue in version.queues for version in versions)
        if limited.size_bytes > max(values):
            is_right, what = answer.status == refusal, f"above {max(values)}"
        elif limited.size_bytes < min(values):
            is_right = answer.status == 200 or not is_kept
            is_right = is_right and answer.status != refusal
            what = f"below {min(values)}"
        else:
            return ""
        self.judged += 1
        if is_right:
            return ""
        return (
            f"LIMITS: {answer.daemon} (start {answer.incarnation}) at "
            f"{answer.sent_s:.3f}: {limited.size_bytes} bytes, {what} of "
            f"{limited.limit}, answered {answer.status}"
        )
