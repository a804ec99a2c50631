"""Errors of the configuration layer."""

from dogwoodlever.errors import DogwoodleverError


class ConfigurationError(DogwoodleverError):
    """A configuration is unreadable, or its parts contradict each other."""


class ConfigurationConflictError(ConfigurationError):
    """Another change was accepted after the revision that this one is based on."""
