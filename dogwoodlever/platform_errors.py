"""Errors of the platform layer."""

from dogwoodlever.errors import DogwoodleverError


class PlatformError(DogwoodleverError):
    """Base class of errors at the platform's interfaces."""


class StoreUnavailableError(PlatformError):
    """The store did not respond; a write may or may not have taken effect."""


class WorkerUnreachableError(PlatformError):
    """The worker did not respond; an order may still be carried out."""


class CallNotSentError(WorkerUnreachableError):
    """No byte of the call was sent, so no incarnation can carry it out."""


class OtherIncarnationError(CallNotSentError):
    """Another incarnation answered the poll that precedes a call, which was not sent.

    Attributes
    ----------
    result : PollResult
        Its answer.
    """

    def __init__(self, message: str, result) -> None:
        self.result = result
        super().__init__(message)


class ConnectionRefusedByWorkerError(CallNotSentError):
    """The connection was refused, so no order was sent; the worker may run on."""


class RequestNotSentError(PlatformError):
    """The request was not sent: no byte reached the backend server."""


class IncompleteResponseError(PlatformError):
    """The request was sent, but no complete response arrived."""


class StoreRefusedError(StoreUnavailableError):
    """The store refused the call or was not reached, and did nothing."""


class RecordConflictError(PlatformError):
    """A write's conditions do not hold, although they were read from the store."""


class TermEndedError(PlatformError):
    """Another term has begun, so the leader of this one may write no more."""


class StoreRejectedError(PlatformError):
    """The store does not accept the call as it is, and did nothing.

    The same call would be rejected again.
    """


class StoredRecordError(PlatformError):
    """A record that a daemon has stored cannot be read."""


class HistoryGoneError(PlatformError):
    """The store no longer has the history that a watch requested."""


class LeaseEndedError(PlatformError):
    """The lease has ended or does not exist."""


class OrderRefusedError(PlatformError):
    """A worker rejected an order and did nothing.

    Attributes
    ----------
    reason : RefusalReason
        Why the order was rejected.
    """

    def __init__(self, reason) -> None:
        self.reason = reason
        super().__init__(str(reason))


class AdviceError(PlatformError):
    """The advice service returned no usable response."""


class WrongIncarnationError(PlatformError):
    """Another incarnation of the worker responded than the one addressed."""
