"""Requests, their outcomes and the effects that a dispatcher returns."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodlever._slot_pool import Loan


class Outcome(StrEnum):
    """What a caller may assume about its request.

    A request that was not run may always be repeated; after an unknown outcome
    only an idempotent one may.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Reason of an outcome."""

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
    """A caller's request to a service.

    Attributes
    ----------
    deadline_s, arrived_s : float
        Times of the reactor clock.
    written : bool
        Whether any byte of an attempt may have reached a backend server.
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


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send `request` to `server` as attempt number `attempt_id`.

    Attributes
    ----------
    reuse : bool
        Whether a pooled connection may be used. Only connections to servers
        with own slots are pooled, so that not every daemon holds idle ones to
        every server. A request that is not idempotent gets a new connection,
        since the server may be closing an idle one.
    """

    attempt_id: int
    request: Request
    server: str
    timeout_s: float
    reuse: bool


@dataclass(slots=True, frozen=True)
class EndRequest:
    """End a request and tell its caller the outcome.

    Attributes
    ----------
    retry_after_s : float
        Delay after which a request that was not run may be repeated.
    """

    request: Request
    outcome: Outcome
    reason: Reason
    server: str = ""
    retry_after_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AdvertiseDemand:
    """Send the peers the number of slots needed and the oldest request's age."""

    count: int
    oldest_age_s: float


@dataclass(slots=True, frozen=True)
class GrantLoans:
    """Lend slots to `borrower`, in answer to its demand sent at `asked_s`."""

    borrower: str
    asked_s: float
    loans: tuple[Loan, ...]


@dataclass(slots=True, frozen=True)
class ReturnLoans:
    """Return loans to `lender`."""

    lender: str
    loan_ids: tuple[str, ...]


Effect = SendAttempt | EndRequest | AdvertiseDemand | GrantLoans | ReturnLoans
