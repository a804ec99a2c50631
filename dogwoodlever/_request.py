"""Requests and the effects of decisions about them."""

from dataclasses import dataclass, field
from enum import StrEnum

from dogwoodlever._slot_pool import Loan


class Outcome(StrEnum):
    """The three endings that a caller tells apart."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was decided the way it was."""

    ANSWERED = "answered"
    WOULD_BE_LATE = "would be late"
    QUEUE_FULL = "queue full"
    NO_SERVER = "no server accepts work"
    ATTEMPTS_EXHAUSTED = "attempts exhausted"
    DEADLINE = "deadline passed"
    BROKEN = "connection broke before the whole answer"
    DRAINING = "daemon is stopping"
    CALLER_LEFT = "caller closed its connection"
    STARTING = "daemon has no configuration yet"
    STORE_UNAVAILABLE = "store unavailable for the idempotency key"
    REPEATED_KEY = "idempotency key was used before"


@dataclass(slots=True)
class Request:
    """One caller's request to a service.

    Attributes
    ----------
    deadline_s, arrived_s : float
        Times of the runtime's clock.
    written : bool
        Whether any byte of it may have reached a backend server.
    """

    request_id: str
    service: str
    operation: str
    caller: str
    idempotent: bool
    arrived_s: float
    deadline_s: float
    attempts: int = 0
    written: bool = False
    tried: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send `request` to `server` as attempt number `attempt_id`.

    Attributes
    ----------
    reuse : bool
        Whether a kept connection may be used. Connections are kept only to
        servers with own slots, so that the homes of a server, and not all
        daemons, hold idle ones; and never used for a request that may not be
        sent twice, since an idle one may be closing.
    """

    attempt_id: int
    request: Request
    server: str
    timeout_s: float
    reuse: bool


@dataclass(slots=True, frozen=True)
class EndRequest:
    """Tell the caller how its request ended.

    Attributes
    ----------
    retry_after_s : float
        When to come back, for a request that was not run.
    """

    request: Request
    outcome: Outcome
    reason: Reason
    server: str = ""
    retry_after_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AdvertiseDemand:
    """Tell the peers how many slots are wanted and since when."""

    count: int
    oldest_age_s: float


@dataclass(slots=True, frozen=True)
class GrantLoans:
    """Lend slots to `borrower`, in answer to its want of `asked_s`."""

    borrower: str
    asked_s: float
    loans: tuple[Loan, ...]


@dataclass(slots=True, frozen=True)
class ReturnLoans:
    """Return loans to `lender`."""

    lender: str
    loan_ids: tuple[str, ...]


Effect = SendAttempt | EndRequest | AdvertiseDemand | GrantLoans | ReturnLoans
