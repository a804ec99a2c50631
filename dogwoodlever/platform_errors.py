"""Errors of the platform layer."""

from dogwoodlever.errors import DogwoodleverError


class PlatformError(DogwoodleverError):
    """Base class of the errors met at the platform's interfaces."""


class StoreUnavailableError(PlatformError):
    """The store did not answer; a write may or may not have taken effect."""


class WorkerUnreachableError(PlatformError):
    """The worker did not answer a synchronisation."""


class NotWrittenError(PlatformError):
    """The request was not sent: no byte reached the backend server."""


class AnswerBrokenError(PlatformError):
    """The request was written, but no whole answer came."""
