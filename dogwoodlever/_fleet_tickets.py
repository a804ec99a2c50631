"""What placement needs of tickets for workers."""

from abc import ABC, abstractmethod

from dogwoodlever._fleet_job import StepState
from dogwoodlever._fleet_room import WorkerRoom


class TicketSource(ABC):
    """Gives tickets for the steps of queues whose starts need one."""

    @abstractmethod
    def ticket(self, step: StepState, room: WorkerRoom) -> str:
        """Return a ticket that still holds, empty if there is none."""

    @abstractmethod
    def want(self, step: StepState, rooms: list[WorkerRoom]) -> None:
        """Ask for tickets of workers of a step, the first ones of `rooms` first.

        Parameters
        ----------
        step : StepState
            Step with tasks that found no worker with a ticket.
        rooms : list of WorkerRoom
            Workers that would take its tasks, the best first.
        """
