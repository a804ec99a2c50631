"""Repeats a write until it succeeds, as workers wait for the record meanwhile."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import StoreUnavailableError

# Pause after a call that the store did not answer; it may do so at any time.
RETRY_S = 0.2
# Pause after the first conflict, which has shown the revisions for the next attempt.
CONFLICT_RETRY_S = 0.05
# Longest pause while the store answers, but does not carry out the write.
RETRY_MAX_S = 2.0


class ConflictError(Exception):
    """A condition of the write did not hold; its current state has been read."""


class RepeatedWrite:
    """Writes a record until it is as it should be, one attempt at a time.

    While the store answers and does not carry out the write, the pauses grow, and each
    cause is logged once.

    Parameters
    ----------
    name : str
        Name of the record, for the log.
    clock : IReactorTime
        Reactor clock.
    write_once : callable
        Writes the record. Returns a Deferred that fires with None if nothing is left to
        write, else with the time until the next write in seconds. It fails with
        `ConflictError` after a conflict.

    Attributes
    ----------
    failures : int
        Attempts since the last one that succeeded.
    """

    def __init__(self, name: str, clock, write_once: Callable[[], Deferred]) -> None:
        self._name = name
        self._clock = clock
        self._write_once = write_once
        self._is_writing = False
        self._is_closed = False
        self._pause_s = 0.0
        # Causes of failures that have been logged since the last success.
        self._causes: set[str] = set()
        self.failures = 0

    def close(self) -> None:
        """Stop writing."""
        self._is_closed = True

    @inlineCallbacks
    def start(self):
        """Write now, or again after the write that is under way."""
        if self._is_writing:
            return
        self._is_writing = True
        while not self._is_closed:
            try:
                pause_s = yield self._write_once()
                self._on_success()
            except Exception as error:
                # Whatever has failed, others wait for the record.
                pause_s = self._on_failure(error)
            if pause_s is None:
                break
            if pause_s:
                yield deferLater(self._clock, pause_s)
        self._is_writing = False

    def _on_success(self) -> None:
        if self.failures > 1:
            log_event(f"{self._name}.write-regained", failures=self.failures)
        self.failures = 0
        self._pause_s = 0.0
        self._causes.clear()

    def _on_failure(self, error: Exception) -> float:
        """Log a cause that is new; return the pause until the next attempt."""
        self.failures += 1
        is_conflict = isinstance(error, ConflictError)
        event = "conflict" if is_conflict else "write-failed"
        why = repr(error)[:200]
        if why not in self._causes:
            self._causes.add(why)
            log_event(f"{self._name}.{event}", why=why)
        if isinstance(error, StoreUnavailableError):
            return RETRY_S
        first_s = CONFLICT_RETRY_S if is_conflict else RETRY_S
        self._pause_s = min(RETRY_MAX_S, max(first_s, 2 * self._pause_s))
        return self._pause_s
