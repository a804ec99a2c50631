"""Waits that can be ended early, all at once."""

from twisted.internet.defer import Deferred, fail


class WaitClosedError(Exception):
    """The wait was ended before its result arrived."""


class ClosableWaits:
    """Waits for results, which end with an error as soon as they are closed.

    The call that is waited for goes on, and its result is dropped.

    Attributes
    ----------
    is_closed : bool
        Whether the waits have been closed.
    """

    def __init__(self) -> None:
        self.is_closed = False
        # In the order in which they began.
        self._open: dict[Deferred, None] = {}

    def wait_for(self, call: Deferred) -> Deferred:
        """Return a Deferred that fires as `call` does, or with `WaitClosedError`."""
        if self.is_closed:
            return fail(WaitClosedError())
        wait: Deferred = Deferred()
        self._open[wait] = None
        call.addBoth(self._end, wait)
        return wait

    def _end(self, result, wait: Deferred) -> None:
        if wait in self._open:
            del self._open[wait]
            wait.callback(result)

    def close(self) -> None:
        """End all waits."""
        self.is_closed = True
        while self._open:
            wait = next(iter(self._open))
            del self._open[wait]
            wait.errback(WaitClosedError())
