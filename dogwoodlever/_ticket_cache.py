"""Cache of tickets from the advice service, which some queues need to start tasks.

Only the service knows the placement policy. It is called for a few workers at a time,
the best candidates first, and its advice for a step does not change.
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

# Delay after a failed call; the service handles the calls of a VM one at a time.
RETRY_S = 0.3
# Validity that a ticket must have left, so that the start arrives in time.
TICKET_MARGIN_S = 0.2

# Worker id and start time of its incarnation, for which a ticket is valid.
Incarnation = tuple[str, int]


@dataclass(slots=True)
class StepAdvice:
    """Advice for one step.

    Attributes
    ----------
    tickets : dict of Incarnation to (str, float)
        Tickets and their expiry times.
    ineligible : set of Incarnation
        Workers that may not run the step.
    is_requesting : bool
        Whether a call is in progress.
    """

    tickets: dict[Incarnation, tuple[str, float]] = field(default_factory=dict)
    ineligible: set[Incarnation] = field(default_factory=set)
    is_requesting: bool = False


class TicketCache(TicketSource):
    """Requests tickets and keeps them while they are valid.

    Parameters
    ----------
    service : AdviceService or None
        Advice service, or None, in which case steps that need a ticket wait.
    clock : IReactorTime
        Reactor clock.
    on_change : callable
        Called when a call has ended.
    """

    def __init__(self, service: AdviceService | None, clock, on_change) -> None:
        self._service = service
        self._clock = clock
        self._on_change = on_change
        self._steps: dict[StepId, StepAdvice] = {}

    def ticket(self, step: StepState, capacity: WorkerCapacity) -> str:
        """Return a valid ticket, empty if there is none."""
        step_advice = self._steps.get(step.step_id)
        if step_advice is None:
            return ""
        ticket, until_s = step_advice.tickets.get(_incarnation(capacity), ("", 0.0))
        return ticket if self._clock.seconds() + TICKET_MARGIN_S < until_s else ""

    def reject(self, step: StepState, capacity: WorkerCapacity) -> None:
        """Drop a ticket that a worker rejected."""
        step_advice = self._steps.get(step.step_id)
        if step_advice is not None:
            step_advice.tickets.pop(_incarnation(capacity), None)

    def request(self, step: StepState, capacities: list[WorkerCapacity]) -> None:
        """Request tickets for workers without advice, one call at a time."""
        if self._service is None:
            return
        step_advice = self._steps.setdefault(step.step_id, StepAdvice())
        unadvised = [
            capacity.entry
            for capacity in capacities
            if _incarnation(capacity) not in step_advice.ineligible
            and not self.ticket(step, capacity)
        ]
        if unadvised and not step_advice.is_requesting:
            step_advice.is_requesting = True
            self._request(step, step_advice, unadvised[:ADVICE_WORKERS_MAX])

    def drop_job(self, job_id: str) -> None:
        """Drop the advice for a job that has ended."""
        for step_id in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[step_id]

    @inlineCallbacks
    def _request(self, step: StepState, step_advice: StepAdvice, entries):
        sent_s = self._clock.seconds()
        try:
            granted = yield self._service.advise(
                step.step_id, [entry.worker_id for entry in entries]
            )
        except PlatformError as error:
            log_event("advice.failed", job=step.job.job.job_id, why=str(error)[:160])
            self._clock.callLater(RETRY_S, self._request_ended, step_advice)
            return
        # The validity of a ticket may start when the call was sent.
        until_s = sent_s + step.job.queue.advice.valid_ms / 1000
        for entry in entries:
            incarnation = (entry.worker_id, entry.started_at_ms)
            if entry.worker_id in granted:
                step_advice.tickets[incarnation] = (granted[entry.worker_id], until_s)
            else:
                step_advice.ineligible.add(incarnation)
        log_event(
            "advice.answered",
            job=step.job.job.job_id,
            step=step.number,
            asked=len(entries),
            good=len(granted),
            took_s=self._clock.seconds() - sent_s,
        )
        self._request_ended(step_advice)

    def _request_ended(self, step_advice: StepAdvice) -> None:
        step_advice.is_requesting = False
        self._on_change()


def _incarnation(capacity: WorkerCapacity) -> Incarnation:
    return capacity.entry.worker_id, capacity.entry.started_at_ms
