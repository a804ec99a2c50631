"""Errors of the platform layer."""

from dogwoodlever.errors import DogwoodleverError


class PlatformError(DogwoodleverError):
    """Base class of the errors met at the platform's interfaces."""


class StoreUnavailableError(PlatformError):
    """The store did not answer; a write may or may not have taken effect."""


class WorkerUnreachableError(PlatformError):
    """The worker did not answer a synchronisation."""


class RequestNotSentError(PlatformError):
    """The request was not sent: no byte reached the backend server."""


class IncompleteResponseError(PlatformError):
    """The request was written, but no whole answer came."""


class StoreRefusedError(StoreUnavailableError):
    """The store answered that it did nothing."""


class HistoryGoneError(PlatformError):
    """The store no longer holds the history that a watch asked for."""


class LeaseEndedError(PlatformError):
    """The store knows no such lease."""


class OrderRefusedError(PlatformError):
    """A worker refused an order and did nothing.

    Attributes
    ----------
    reason : RefusalReason
        Why.
    """

    def __init__(self, reason) -> None:
        self.reason = reason
        super().__init__(str(reason))


class AdviceError(PlatformError):
    """The advice service gave no answer that can be used."""


class WrongIncarnationError(PlatformError):
    """Another life of the worker answered than the one addressed."""
