"""Lateness of the event loop, which delays every timer and answer."""

from prometheus_client import Histogram

from dogwoodlever._logs import log_event

CHECK_INTERVAL_S = 0.2
# Lateness from which on it is logged.
LATE_MIN_S = 0.2
# A busy host may delay every check.
LOG_INTERVAL_S = 1.0


class LoopMonitor:
    """Measures at intervals how late a timer fires.

    A stall is reported shorter than it was by up to `CHECK_INTERVAL_S`.

    Parameters
    ----------
    clock : IReactorTime
        Reactor clock, which must include the time for which the VM was suspended.
    lateness_s : Histogram
        Receives the lateness of each check, in seconds.
    """

    def __init__(self, clock, lateness_s: Histogram) -> None:
        self._clock = clock
        self._lateness_s = lateness_s
        self._due_s = 0.0
        self._call = None
        # Late checks since the last line.
        self._late_count = 0
        self._late_max_s = 0.0
        self._logged_s = float("-inf")

    def open(self) -> None:
        """Start measuring."""
        self._schedule()

    def close(self) -> None:
        """Stop measuring."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None

    def _schedule(self) -> None:
        self._due_s = self._clock.seconds() + CHECK_INTERVAL_S
        self._call = self._clock.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now_s = self._clock.seconds()
        late_s = max(0.0, now_s - self._due_s)
        self._lateness_s.observe(late_s)
        if late_s > LATE_MIN_S:
            self._late_count += 1
            self._late_max_s = max(self._late_max_s, late_s)
        if self._late_count and now_s - self._logged_s >= LOG_INTERVAL_S:
            log_event("loop.late", late_s=self._late_max_s, count=self._late_count)
            self._logged_s = now_s
            self._late_count, self._late_max_s = 0, 0.0
        self._schedule()
