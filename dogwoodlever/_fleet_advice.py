"""Tickets of the advice service, for queues whose starts need one.

Answers a policy that only the service knows: it is asked for some workers at a
time, the best placed first, and what it said of a step does not change.
"""

from dataclasses import dataclass, field

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import AdviceService
from dogwoodlever._fleet_job import StepState
from dogwoodlever._fleet_room import WorkerRoom
from dogwoodlever._fleet_tickets import TicketSource
from dogwoodlever._fleet_types import ADVICE_WORKERS_MAX, StepId
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import PlatformError

# After a failed call; the service handles the calls of a VM one by one.
RETRY_S = 0.3
# Left of a ticket's time for its start to arrive.
TICKET_MARGIN_S = 0.2

# A worker's id and the start of its life; a ticket holds for that life.
Life = tuple[str, int]


@dataclass(slots=True)
class StepAdvice:
    """What is known of one step.

    Attributes
    ----------
    tickets : dict of Life to (str, float)
        Tickets, and when each ends.
    bad : set of Life
        Workers that may not run the step.
    is_asking : bool
        Whether a call is under way.
    """

    tickets: dict[Life, tuple[str, float]] = field(default_factory=dict)
    bad: set[Life] = field(default_factory=set)
    is_asking: bool = False


class FleetAdvice(TicketSource):
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

    def ticket(self, step: StepState, room: WorkerRoom) -> str:
        """Return a ticket that still holds, empty if there is none."""
        known = self._steps.get(step.step_id)
        if known is None:
            return ""
        ticket, until_s = known.tickets.get(_life(room), ("", 0.0))
        return ticket if self._clock.seconds() + TICKET_MARGIN_S < until_s else ""

    def reject(self, step: StepState, room: WorkerRoom) -> None:
        """Forget a ticket that a worker did not accept."""
        known = self._steps.get(step.step_id)
        if known is not None:
            known.tickets.pop(_life(room), None)

    def want(self, step: StepState, rooms: list[WorkerRoom]) -> None:
        """Ask for workers that were not asked for, one call at a time."""
        if self._service is None:
            return
        known = self._steps.setdefault(step.step_id, StepAdvice())
        asked = [
            room.entry
            for room in rooms
            if _life(room) not in known.bad and not self.ticket(step, room)
        ]
        if asked and not known.is_asking:
            known.is_asking = True
            self._ask(step, known, asked[:ADVICE_WORKERS_MAX])

    def forget_job(self, job_id: str) -> None:
        """Forget the steps of a job that has ended."""
        for step_id in [found for found in self._steps if found.job_id == job_id]:
            del self._steps[step_id]

    @inlineCallbacks
    def _ask(self, step: StepState, known: StepAdvice, entries):
        asked_s = self._clock.seconds()
        try:
            good = yield self._service.advise(
                step.step_id, [entry.worker_id for entry in entries]
            )
        except PlatformError as error:
            log_event("advice.failed", job=step.job.job.job_id, why=str(error)[:160])
            self._clock.callLater(RETRY_S, self._answered, known)
            return
        # A ticket may hold from the moment of the call on.
        until_s = asked_s + step.job.queue.advice.valid_ms / 1000
        for entry in entries:
            life = (entry.worker_id, entry.started_at_ms)
            if entry.worker_id in good:
                known.tickets[life] = (good[entry.worker_id], until_s)
            else:
                known.bad.add(life)
        log_event(
            "advice.answered",
            job=step.job.job.job_id,
            step=step.number,
            asked=len(entries),
            good=len(good),
            took_s=self._clock.seconds() - asked_s,
        )
        self._answered(known)

    def _answered(self, known: StepAdvice) -> None:
        known.is_asking = False
        self._changed()


def _life(room: WorkerRoom) -> Life:
    return room.entry.worker_id, room.entry.started_at_ms
