"""Interface to the tickets that some placements need."""

from abc import ABC, abstractmethod

from dogwoodlever._fleet_job import StepState
from dogwoodlever._worker_capacity import WorkerCapacity


class TicketSource(ABC):
    """Provides tickets for the steps of queues that need them."""

    @abstractmethod
    def ticket(self, step: StepState, capacity: WorkerCapacity) -> str:
        """Return a valid ticket, empty if there is none."""

    @abstractmethod
    def request(self, step: StepState, capacities: list[WorkerCapacity]) -> None:
        """Request tickets for a step on some workers.

        Parameters
        ----------
        step : StepState
            Step with tasks that found no worker with a ticket.
        capacities : list of WorkerCapacity
            Capacities of workers that can run its tasks, the best first.
        """
