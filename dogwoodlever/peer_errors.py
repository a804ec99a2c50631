"""Errors of the peer layer."""

from dogwoodlever.errors import DogwoodleverError


class PeerError(DogwoodleverError):
    """Base class of errors on connections between daemons."""


class FrameError(PeerError):
    """A frame is not a message of the peer protocol."""
