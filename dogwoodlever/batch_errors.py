"""Errors of the batch layer."""

from dogwoodlever.errors import DogwoodleverError


class BatchError(DogwoodleverError):
    """Base class of the errors of the batch layer."""


class JobRefusedError(BatchError):
    """The job can never run as declared."""


class CellStateError(BatchError):
    """A cell state cannot be decoded."""
