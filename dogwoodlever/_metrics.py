"""Metrics by statsd over UDP; off unless a host is set."""

import statsd

PREFIX = "dogwoodlever"


class Metrics:
    """Counters and timers.

    Parameters
    ----------
    host : str
        IP number of the statsd server; empty sends nothing.
    port : int
        Its port.
    """

    __slots__ = ("_client",)

    def __init__(self, host: str, port: int) -> None:
        self._client = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=PREFIX)
            # The client's socket must never make the loop wait.
            self._client._sock.setblocking(False)

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000)
