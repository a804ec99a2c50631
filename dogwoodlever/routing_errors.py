"""Errors of the routing layer."""

from dogwoodlever.errors import DogwoodleverError


class RoutingError(DogwoodleverError):
    """Base class of the errors of the routing layer."""


class SlotsExceededError(RoutingError):
    """A change would allocate more slots of a server than it has."""
