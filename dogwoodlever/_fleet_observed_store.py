"""Store client that tracks whether the store is reachable."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from dogwoodlever._fleet_interfaces import CommitResult, FleetStore, Put, Record
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import StoreUnavailableError

# Consecutive calls without a response after which the store counts as unreachable;
# a single response may just have been lost.
OUTAGE_FAILURES = 2
# After this long without any response, one failure is enough.
OUTAGE_SILENCE_S = 0.6


class ObservedStore(FleetStore):
    """Forwards calls and tracks which of them get a response.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    metrics : FleetMetrics
        Counts the calls and records the durations of writes.

    Attributes
    ----------
    on_conflict : callable
        Called with the records that a write whose conditions did not hold has shown.
    """

    def __init__(self, store: FleetStore, clock, metrics: FleetMetrics) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._responded_s = clock.seconds()
        self._failures = 0
        self._down_since_s: float | None = None
        self.on_conflict: Callable[[tuple[Record, ...]], None] = lambda current: None

    def down_for_s(self) -> float | None:
        """Return how long the store has been unreachable, None if it is reachable."""
        if self._down_since_s is None:
            return None
        return self._clock.seconds() - self._down_since_s

    @property
    def responded_s(self) -> float:
        """When a call was last answered."""
        return self._responded_s

    def _track(self, call: Deferred) -> Deferred:
        return call.addCallbacks(self._on_response, self._on_failure)

    def _on_response(self, result):
        self._responded_s = self._clock.seconds()
        self._failures = 0
        self._metrics.store_calls.labels("answered").inc()
        if self._down_since_s is not None:
            log_event("store.up", down_s=self._responded_s - self._down_since_s)
            self._down_since_s = None
        return result

    def _on_failure(self, failure):
        if not failure.check(StoreUnavailableError):
            self._on_response(None)
            return failure
        self._failures += 1
        self._metrics.store_calls.labels("failed").inc()
        silence_s = self._clock.seconds() - self._responded_s
        is_down = self._failures >= OUTAGE_FAILURES or silence_s >= OUTAGE_SILENCE_S
        if is_down and self._down_since_s is None:
            self._down_since_s = self._clock.seconds()
            log_event("store.down", why=failure.getErrorMessage()[:160])
        return failure

    def read(self, key: str) -> Deferred:
        """Read a record."""
        return self._track(self._store.read(key))

    def list_page(self, prefix: str, after: str = "") -> Deferred:
        """List a page of records."""
        return self._track(self._store.list_page(prefix, after))

    def list_stale(self, prefix: str) -> Deferred:
        """List a page of records as they may have been seconds ago."""
        return self._track(self._store.list_stale(prefix))

    def watch(self, prefix: str, revision: int, wait_ms: int) -> Deferred:
        """Wait for changes."""
        return self._track(self._store.watch(prefix, revision, wait_ms))

    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Deferred:
        """Write atomically."""
        sent_s = self._clock.seconds()

        def observe(result: CommitResult) -> CommitResult:
            self._metrics.store_write_s.observe(self._clock.seconds() - sent_s)
            if not result.revision:
                self.on_conflict(result.current)
            return result

        call = self._track(self._store.commit(expected, puts, deletes))
        return call.addCallback(observe)

    def open_lease(self, ttl_ms: int) -> Deferred:
        """Open a lease."""
        return self._track(self._store.open_lease(ttl_ms))

    def renew_lease(self, lease_id: int) -> Deferred:
        """Renew a lease."""
        return self._track(self._store.renew_lease(lease_id))

    def end_lease(self, lease_id: int) -> Deferred:
        """End a lease."""
        return self._track(self._store.end_lease(lease_id))
