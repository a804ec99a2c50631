"""Messages between daemons."""

from dataclasses import dataclass

from dogwoodlever._slot_pool import Loan


@dataclass(slots=True, frozen=True)
class Hello:
    """First message of a connection; identifies and authenticates the sender."""

    key: str
    member: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Liveness, store contact and record versions of the sender.

    Attributes
    ----------
    sent_s : float
        Time of sending by the sender's clock.
    echo_s : float
        `sent_s` of the receiver's newest heartbeat that the sender has received.
    store_age_s : float
        Age of the sender's last answered store read.
    contact_duration_s : float
        How long the sender has been in contact with the store without a gap.
    silent : tuple of str
        Members from which the sender receives no heartbeats.
    """

    sent_s: float
    echo_s: float
    store_age_s: float
    contact_duration_s: float
    members_version: int
    configuration_version: int
    silent: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class WantSlots:
    """Demand for slots of a service; a count of 0 withdraws it."""

    service: str
    count: int
    oldest_age_s: float
    asked_s: float


@dataclass(slots=True, frozen=True)
class LendSlots:
    """Loans in answer to the demand sent at `asked_s`, valid for `term_s`."""

    service: str
    asked_s: float
    loans: tuple[Loan, ...]
    term_s: float


@dataclass(slots=True, frozen=True)
class ReturnSlots:
    """Loans that the borrower returns."""

    service: str
    loan_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RecordRequest:
    """Request for the receiver's copy of a store record."""

    key: str


@dataclass(slots=True, frozen=True)
class RecordValue:
    """Copy of a store record, with its version."""

    key: str
    version: int
    value: bytes


@dataclass(slots=True, frozen=True)
class RpcRequest:
    """Call of a method of a peer."""

    number: int
    method: str
    body: bytes


@dataclass(slots=True, frozen=True)
class RpcReply:
    """Reply to the request of the same number."""

    number: int
    found: bool
    body: bytes


Message = (
    Hello
    | Heartbeat
    | WantSlots
    | LendSlots
    | ReturnSlots
    | RecordRequest
    | RecordValue
    | RpcRequest
    | RpcReply
)
