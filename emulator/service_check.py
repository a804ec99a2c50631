"""Judges on which service's workers tasks are started (rule ROUTE).

Only orders of leaders in contact that a worker carried out at once are judged, and only
queues that are in every version that may be in force.
"""

import bisect
from dataclasses import dataclass

from standins.changing_queues import SERVICE
from standins.configuration_check import (
    APPLY_S,
    ROLLBACK_SLACK_S,
    ConfigurationCheck,
)
from standins.queue_places import queue_at


@dataclass(slots=True, frozen=True)
class LoggedStart:
    """A start in the logs of the workers."""

    task: str
    worker: str
    at_s: float
    leader: str


class ServiceCheck:
    """Finds starts on a service to which no version in force sends the queue.

    Attributes
    ----------
    judged : int
        Starts that were judged.
    """

    def __init__(self) -> None:
        # Time of the write, queues, and the services of those that were moved.
        self._versions: list[tuple[float, frozenset[str], dict[str, str]]] = []
        self._services: dict[str, str] = {}
        self._queues: dict[str, str] = {}
        self.judged = 0

    def add_version(self, written_s: float, places, services: dict[str, str]) -> None:
        """Add a version in the order of writes."""
        queues = frozenset(queue_at(place) for place in places)
        self._versions.append((written_s, queues, services))

    def add_worker(self, worker: str, service: str) -> None:
        """Add a worker's service."""
        self._services[worker] = service

    def add_job(self, job: str, place: str) -> None:
        """Add a job that was submitted at a place."""
        self._queues[job] = queue_at(place)

    def check(
        self, starts: list[LoggedStart], configurations: ConfigurationCheck
    ) -> list[str]:
        """Return the findings."""
        findings = []
        for start in starts:
            queue = self._queues.get(start.task.partition(".")[0])
            before_s = start.at_s - APPLY_S - ROLLBACK_SLACK_S
            first = bisect.bisect_left(self._versions, before_s, key=lambda v: v[0])
            last = bisect.bisect_right(self._versions, start.at_s, key=lambda v: v[0])
            versions = self._versions[first - 1 : last] if first else []
            if (
                not versions
                or not all(queue in queues for _, queues, _ in versions)
                or not configurations.is_in_contact(
                    start.leader, start.at_s, start.at_s
                )
            ):
                continue
            self.judged += 1
            allowed = {services.get(queue, SERVICE) for _, _, services in versions}
            service = self._services.get(start.worker, SERVICE)
            if service not in allowed:
                findings.append(
                    f"ROUTE: {start.task} of {queue} started at {start.at_s:.3f} on "
                    f"{start.worker} of {service} by {start.leader}; in force: "
                    f"{', '.join(sorted(allowed))}"
                )
        return findings
