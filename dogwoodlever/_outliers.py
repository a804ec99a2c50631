"""Passive health checks of backend servers: outlier ejection and slow start."""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
EJECTED_FRACTION_MAX = 1 / 3
SLOW_START_S = 5.0
LATENCY_WEIGHT = 0.1


@dataclass(slots=True)
class ServerHealth:
    """Latency and failures of one backend server.

    Attributes
    ----------
    latency_s : float
        Exponentially weighted mean of answered requests, 0 before the first.
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last successful probe; each doubles the duration.
    ejected_until_s : float
        End of the ejection. No request starts before it; afterwards one runs
        at a time until one succeeds.
    is_probing : bool
        Whether the server has been ejected and no request succeeded since.
    slow_start_s : float
        Start of the ramp after a successful probe.
    """

    latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    is_probing: bool = False
    slow_start_s: float = float("-inf")


class OutlierDetector:
    """Ejects servers that fail repeatedly, up to a fraction of all servers."""

    __slots__ = ("_health",)

    def __init__(self) -> None:
        self._health: dict[str, ServerHealth] = {}

    def health(self, server: str) -> ServerHealth:
        """Return the health of `server`, with initial values for a new one."""
        return self._health.setdefault(server, ServerHealth())

    def sync_servers(self, servers: set[str]) -> None:
        """Drop servers that no longer exist and add new ones."""
        for server in set(self._health) - servers:
            del self._health[server]
        for server in servers:
            self.health(server)

    def record_success(self, server: str, latency_s: float, now_s: float) -> None:
        """Record a complete response."""
        health = self.health(server)
        if not health.latency_s:
            health.latency_s = latency_s
        health.latency_s += LATENCY_WEIGHT * (latency_s - health.latency_s)
        health.failures = 0
        if health.is_probing:
            health.is_probing = False
            health.ejections = 0
            health.slow_start_s = now_s

    def record_failure(self, server: str, now_s: float) -> bool:
        """Record a failure and return whether it ejects the server."""
        health = self.health(server)
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT and not health.is_probing:
            return False
        if now_s < health.ejected_until_s or not self._may_eject(now_s):
            return False
        duration_s = min(EJECTION_BASE_S * 2**health.ejections, EJECTION_MAX_S)
        health.ejections += 1
        health.ejected_until_s = now_s + duration_s
        health.is_probing = True
        return True

    def _may_eject(self, now_s: float) -> bool:
        ejected = sum(now_s < h.ejected_until_s for h in self._health.values())
        return ejected + 1 <= len(self._health) * EJECTED_FRACTION_MAX

    def concurrency_limit(self, server: str, slots: int, now_s: float) -> int:
        """Return how many requests of this daemon may run on `server` at once."""
        health = self.health(server)
        if now_s < health.ejected_until_s:
            return 0
        if health.is_probing:
            return 1
        ramp = (now_s - health.slow_start_s) / SLOW_START_S
        if ramp >= 1:
            return slots
        return max(1, int(slots * ramp))
