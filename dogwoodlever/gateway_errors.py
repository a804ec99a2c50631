"""Errors of the callers' gateway."""

from dogwoodlever.errors import DogwoodleverError


class GatewayError(DogwoodleverError):
    """Base class of the errors of the callers' gateway."""


class BadRequestError(GatewayError):
    """The request is malformed; it was not run."""


class UnknownOperationError(GatewayError):
    """There is no such service or operation; the request was not run."""
