"""Evidence on which a run is dropped although no worker listed its end."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodlever._fleet_interfaces import RefusalReason


class DropEvidence(StrEnum):
    """What showed that a run has ended or was not started."""

    # A poll that was sent after the last response about the run does not list it.
    NOT_LISTED = "not-listed"
    LEASES_EXPIRED = "leases-expired"
    # Another incarnation of the worker answered.
    INCARNATION_REPLACED = "incarnation-replaced"
    # A worker with another id answered at the address.
    ADDRESS_TAKEN = "address-taken"
    # No copy of the order to start can be carried out any more.
    ORDER_EXPIRED = "order-expired"
    START_REFUSED_FENCED = "start-refused-fenced"
    START_REFUSED_SUPERSEDED = "start-refused-superseded"
    START_REFUSED_EXPIRED = "start-refused-expired"
    START_REFUSED_NO_ROOM = "start-refused-no-room"
    START_REFUSED_NO_TICKET = "start-refused-no-ticket"
    START_REFUSED_UNHEALTHY = "start-refused-unhealthy"
    START_REFUSED_INVALID = "start-refused-invalid"

    @classmethod
    def of_refusal(cls, reason: RefusalReason) -> "DropEvidence":
        """Return the evidence that a refused start gives."""
        return cls(f"start-refused-{reason}")


_REFUSED_BEFORE_START = frozenset(
    {
        DropEvidence.START_REFUSED_NO_ROOM,
        DropEvidence.START_REFUSED_NO_TICKET,
        DropEvidence.START_REFUSED_UNHEALTHY,
    }
)


@dataclass(slots=True, frozen=True)
class DropCause:
    """Evidence with its time.

    Attributes
    ----------
    since_s : float
        When the evidence was received, or when the leases or the order expired.
    """

    evidence: DropEvidence
    since_s: float

    def age_s(self, now_s: float) -> float:
        """Return the age of the evidence, in seconds."""
        return now_s - self.since_s


@dataclass(slots=True, frozen=True)
class DroppedRun:
    """A dropped run, after which its task may be started again.

    Attributes
    ----------
    number : int
        Number of the run within its task.
    """

    number: int
    worker_id: str
    cause: DropCause

    @property
    def was_refused(self) -> bool:
        """Whether a worker refused the start and has not carried out the run before."""
        return self.cause.evidence in _REFUSED_BEFORE_START
