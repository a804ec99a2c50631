"""Root of the errors that this package raises."""


class DogwoodleverError(Exception):
    """Base class of the errors of every layer."""
