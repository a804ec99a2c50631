"""Base class of the errors that this package raises."""


class DogwoodleverError(Exception):
    """Base class of the errors of all layers."""
