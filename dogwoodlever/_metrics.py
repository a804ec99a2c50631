"""Metrics sent to statsd over UDP; disabled without a host."""

import statsd

PREFIX = "dogwoodlever"


class Metrics:
    """Counters, gauges and timers.

    Parameters
    ----------
    host : str
        IP address of the statsd server; if empty, nothing is sent.
    port : int
        UDP port of the statsd server.
    """

    __slots__ = ("_client",)

    def __init__(self, host: str, port: int) -> None:
        self._client = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=PREFIX)
            # A send must not block the reactor.
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
