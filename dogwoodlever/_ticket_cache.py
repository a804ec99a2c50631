"""Cache of tickets from the advice service, which some queues need to start tasks.

Only the service knows the placement policy. It is called for a few workers at a time,
the best candidates first, and its advice for a step does not change.

The service handles the calls of a VM in turn, and a ticket is valid for a limited time.
Calls are therefore sent one after the other: a call that waited behind others would be
answered with tickets that have expired, and asked again for ever. Up to the rate of the
service each step gets its tickets in time; beyond it steps wait here in their order,
while the tickets that were issued are used.
"""

import math
from dataclasses import dataclass, field

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import AdviceService
from dogwoodlever._fleet_job import StepState
from dogwoodlever._fleet_types import ADVICE_WORKERS_MAX, StepId
from dogwoodlever._logs import log_event
from dogwoodlever._ticket_source import TicketSource
from dogwoodlever._worker_capacity import WorkerCapacity

# Delay after a call that failed, or whose tickets had expired when they arrived.
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
    waiting_since_s : float
        When its tickets were first requested, or last answered.
    """

    waiting_since_s: float
    tickets: dict[Incarnation, tuple[str, float]] = field(default_factory=dict)
    ineligible: set[Incarnation] = field(default_factory=set)


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
        # Steps that wait for a call, with the workers that they could use.
        self._waiting: dict[StepId, tuple[StepState, list[WorkerCapacity]]] = {}
        self._is_calling = False
        self._send_call = None

    def close(self) -> None:
        """Send no further call."""
        self._service = None
        self._waiting.clear()

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
        """Request tickets for workers without advice, one call at a time.

        The call is sent after the planning round, for the step that goes first.
        """
        if self._service is None:
            return
        if step.step_id not in self._steps:
            self._steps[step.step_id] = StepAdvice(self._clock.seconds())
        if not self._unadvised(step, capacities):
            return
        self._waiting[step.step_id] = step, capacities
        if not self._is_calling and self._send_call is None:
            self._send_call = self._clock.callLater(0.0, self._send_next)

    def _unadvised(self, step: StepState, capacities: list[WorkerCapacity]):
        """Return the entries of workers with room for a step and without advice."""
        step_advice = self._steps[step.step_id]
        return [
            capacity.entry
            for capacity in capacities
            if _incarnation(capacity) not in step_advice.ineligible
            and not self.ticket(step, capacity)
            and capacity.fits(step.spec)
        ]

    def _send_next(self) -> None:
        """Send the call of the waiting step that goes first, unless one is open."""
        self._send_call = None
        while self._waiting and not self._is_calling:
            step_id = min(self._waiting, key=self._turn)
            step, capacities = self._waiting.pop(step_id)
            if step_id not in self._steps or not step.ready:
                continue
            unadvised = self._unadvised(step, capacities)
            if unadvised:
                self._is_calling = True
                self._request(step, self._steps[step_id], unadvised)

    def _turn(self, step_id: StepId) -> tuple:
        """Return the key by which waiting steps are ordered.

        A gang that has some of its tickets goes first, since it needs them all at one
        time; the others take turns.
        """
        step, _ = self._waiting[step_id]
        step_advice = self._steps.get(step_id)
        if step_advice is None:
            return (-math.inf,)
        now_s = self._clock.seconds()
        has_tickets = any(
            until_s > now_s for _, until_s in step_advice.tickets.values()
        )
        is_begun = step.spec.gang and has_tickets
        return step.job.queue.priority, not is_begun, step_advice.waiting_since_s

    def drop_job(self, job_id: str) -> None:
        """Drop the advice for a job that has ended."""
        for step_id in [key for key in self._steps if key.job_id == job_id]:
            del self._steps[step_id]

    @inlineCallbacks
    def _request(self, step: StepState, step_advice: StepAdvice, unadvised):
        entries = unadvised[:ADVICE_WORKERS_MAX]
        timing = step.job.queue.advice
        sent_s = self._clock.seconds()
        try:
            granted = yield self._service.advise(
                step.step_id, [entry.worker_id for entry in entries]
            )
        except Exception as error:
            # No call is sent while one is open, so it has to end whatever has failed.
            log_event("advice.failed", job=step.job.job.job_id, why=repr(error)[:160])
            self._clock.callLater(RETRY_S, self._request_ended, step.step_id)
            return
        # The service cannot have issued a ticket before it has decided.
        decided_ms = timing.decision_ms + timing.worker_ms * len(entries)
        until_s = sent_s + (decided_ms + timing.valid_ms) / 1000
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
            waited_s=sent_s - step_advice.waiting_since_s,
            waiting=len(self._waiting),
        )
        is_late = granted and self._clock.seconds() + TICKET_MARGIN_S >= until_s
        if is_late:
            log_event("advice.late", job=step.job.job.job_id, step=step.number)
            self._clock.callLater(RETRY_S, self._request_ended, step.step_id)
        else:
            self._request_ended(step.step_id)

    def _request_ended(self, step_id: StepId) -> None:
        # The next planning round shows whether the step needs more tickets.
        self._waiting.pop(step_id, None)
        if step_id in self._steps:
            self._steps[step_id].waiting_since_s = self._clock.seconds()
        self._is_calling = False
        self._on_change()
        self._send_next()


def _incarnation(capacity: WorkerCapacity) -> Incarnation:
    return capacity.entry.worker_id, capacity.entry.started_at_ms
