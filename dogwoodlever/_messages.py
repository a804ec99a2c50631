"""Typed messages between daemons."""

from dataclasses import dataclass

from dogwoodlever._slot_pool import Loan


@dataclass(slots=True, frozen=True)
class Hello:
    """First frame of a connection; names and authenticates the sender."""

    key: str
    member: str


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Liveness, store contact and versions held.

    Attributes
    ----------
    sent_s : float
        Sender's clock.
    echo_s : float
        `sent_s` of the receiver's newest heartbeat that the sender has seen.
    store_age_s, contact_duration_s : float
        Age and gapless run of the sender's store contact.
    silent : tuple of str
        Members that the sender does not hear.
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
    """The sender wants to borrow slots of a service; 0 ends the want."""

    service: str
    count: int
    oldest_age_s: float
    asked_s: float


@dataclass(slots=True, frozen=True)
class LendSlots:
    """Loans in answer to the want of `asked_s`, for the lender's term."""

    service: str
    asked_s: float
    loans: tuple[Loan, ...]
    term_s: float


@dataclass(slots=True, frozen=True)
class ReturnSlots:
    """Loans that are over."""

    service: str
    loan_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RecordRequest:
    """Ask for the value of a store key that the receiver holds."""

    key: str


@dataclass(slots=True, frozen=True)
class RecordValue:
    """A store value with its version."""

    key: str
    version: int
    value: bytes


@dataclass(slots=True, frozen=True)
class RpcRequest:
    """Ask a peer for a part of a report."""

    number: int
    method: str
    body: bytes


@dataclass(slots=True, frozen=True)
class RpcReply:
    """Answer to the question of the same number."""

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
