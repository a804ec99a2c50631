"""Errors of the fleet layer."""

from dogwoodlever.errors import DogwoodleverError


class FleetError(DogwoodleverError):
    """Base class of the errors of the fleet scheduler."""


class SubmissionError(FleetError):
    """A submitted job is malformed; the message names the field."""
