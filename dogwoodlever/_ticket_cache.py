"""Tickets of the advice service, for queues whose starts need one.

Answers a policy that only the service knows: it is asked for some workers at a
time, the best placed first, and what it said of a step does not change.
"""

from dataclasses import dataclass, field

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import AdviceService
from dogwoodlever._fleet_job import StepState
from dogwoodlever._fleet_types import ADVICE_WORKERS_MAX, StepId
from dogwoodlever._logs import log_event
from dogwoodlever._ticket_source import TicketSource
from dogwoodlever._worker_capacity import WorkerCapacity
from dogwoodlever.platform_errors import PlatformError

# After a failed call; the service handles the calls of a VM one by one.
RETRY_S = 0.3
# Left of a ticket's time for its start to arrive.
TICKET_MARGIN_S = 0.2

# A worker's id and the start of its life; a ticket holds for that life.
Incarnation = tuple[str, int]


@dataclass(slots=True)
class StepAdvice:
    """What is known of one step.

    Attributes
    ----------
    tickets : dict of Life to (str, float)
        Tickets, and when each ends.
    rejected : set of Life
        Workers that may not run the step.
    is_requesting : bool
        Whether a call is under way.
    """

    tickets: dict[Incarnation, tuple[str, float]] = field(default_factory=dict)
    rejected: set[Incarnation] = field(default_factory=set)
    is_requesting: bool = False


class TicketCache(TicketSource):
    """Asks for tickets and keeps them while they hold.

    Parameters
    ----------
    service : AdviceService or None
        The advice service; None if there is none, so that advised steps wait.
    clock : IReactorTime
        Runtime's clock.
    changed : callable
        Called when tickets have come.
    """

    def __init__(self, service: AdviceService | None, clock, changed) -> None:
        self._service = service
        self._clock = clock
        self._changed = changed
        self._steps: dict[StepId, StepAdvice] = {}

    def ticket(self, step: StepState, capacity: WorkerCapacity) -> str:
        """Return a ticket that still holds, empty if there is none."""
        known = self._steps.get(step.step_id)
        if known is None:
            return ""
        ticket, until_s = known.tickets.get(_incarnation(capacity), ("", 0.0))
        return ticket if self._clock.seconds() + TICKET_MARGIN_S < until_s else ""

    def reject(self, step: StepState, capacity: WorkerCapacity) -> None:
        """Forget a ticket that a worker did not accept."""
        known = self._steps.get(step.step_id)
        if known is not None:
            known.tickets.pop(_incarnation(capacity), None)

    def request(self, step: StepState, capacities: list[WorkerCapacity]) -> None:
        """Ask for workers that were not asked for, one call at a time."""
        if self._service is None:
            return
        known = self._steps.setdefault(step.step_id, StepAdvice())
        asked = [
            capacity.entry
            for capacity in capacities
            if _incarnation(capacity) not in known.rejected
            and not self.ticket(step, capacity)
        ]
        if asked and not known.is_requesting:
            known.is_requesting = True
            self._request(step, known, asked[:ADVICE_WORKERS_MAX])

    def forget_job(self, job_id: str) -> None:
        """Forget the steps of a job that has ended."""
        for step_id in [found for found in self._steps if found.job_id == job_id]:
            del self._steps[step_id]

    @inlineCallbacks
    def _request(self, step: StepState, known: StepAdvice, entries):
        asked_s = self._clock.seconds()
        try:
            good = yield self._service.advise(
                step.step_id, [entry.worker_id for entry in entries]
            )
        except PlatformError as error:
            log_event("advice.failed", job=step.job.job.job_id, why=str(error)[:160])
            self._clock.callLater(RETRY_S, self._request_ended, known)
            return
        # A ticket may hold from the moment of the call on.
        until_s = asked_s + step.job.queue.advice.valid_ms / 1000
        for entry in entries:
            incarnation = (entry.worker_id, entry.started_at_ms)
            if entry.worker_id in good:
                known.tickets[incarnation] = (good[entry.worker_id], until_s)
            else:
                known.rejected.add(incarnation)
        log_event(
            "advice.answered",
            job=step.job.job.job_id,
            step=step.number,
            asked=len(entries),
            good=len(good),
            took_s=self._clock.seconds() - asked_s,
        )
        self._request_ended(known)

    def _request_ended(self, known: StepAdvice) -> None:
        known.is_requesting = False
        self._changed()


def _incarnation(capacity: WorkerCapacity) -> Incarnation:
    return capacity.entry.worker_id, capacity.entry.started_at_ms
