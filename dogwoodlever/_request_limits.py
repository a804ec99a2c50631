"""Limits of single requests, as operators set them."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """Limits of one request and of the connection on which it arrives.

    Attributes
    ----------
    header_bytes_max, body_bytes_max : int
        Maximum sizes of the header, with its request line, and of the body.
    header_timeout_s : float
        Time from the first byte of a header to its end.
    idle_timeout_s : float
        Time without a byte after which a connection is closed, between requests and
        within a body.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 1_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
