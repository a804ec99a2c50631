"""Errors of the routing layer."""

from dogwoodlever.errors import DogwoodleverError


class RoutingError(DogwoodleverError):
    """Base class of the errors of the routing layer."""


class SlotsExceededError(RoutingError):
    """A change would give out more slots of a server than it has."""
