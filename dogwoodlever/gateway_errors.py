"""Errors of the callers' gateway."""

from dogwoodlever.errors import DogwoodleverError


class GatewayError(DogwoodleverError):
    """Base class of the errors of the callers' gateway."""


class BadRequestError(GatewayError):
    """The request is malformed and was not run."""


class UnknownOperationError(GatewayError):
    """The service or operation does not exist; the request was not run."""
