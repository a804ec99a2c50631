"""What placement needs of tickets for workers."""

from abc import ABC, abstractmethod

from dogwoodlever._fleet_job import StepState
from dogwoodlever._worker_capacity import WorkerCapacity


class TicketSource(ABC):
    """Gives tickets for the steps of queues whose starts need one."""

    @abstractmethod
    def ticket(self, step: StepState, capacity: WorkerCapacity) -> str:
        """Return a ticket that still holds, empty if there is none."""

    @abstractmethod
    def request(self, step: StepState, capacities: list[WorkerCapacity]) -> None:
        """Ask for tickets of workers of a step, the first ones of `capacities` first.

        Parameters
        ----------
        step : StepState
            Step with tasks that found no worker with a ticket.
        capacities : list of WorkerRoom
            Workers that would take its tasks, the best first.
        """
