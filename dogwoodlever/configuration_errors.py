"""Errors of the configuration layer."""

from dogwoodlever.errors import DogwoodleverError


class ConfigurationError(DogwoodleverError):
    """A configuration cannot be read or is contradictory."""


class ConfigurationConflictError(ConfigurationError):
    """Another change was accepted since the revision that this one is based on."""
