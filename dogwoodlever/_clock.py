"""Reactor clock based on the time since boot, which includes suspension."""

import time

from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class BootClock:
    """Reactor clock that is independent of the wall clock.

    Lease terms are measured as differences of `seconds`. They have to include
    the time for which a VM was suspended, and must not change when the wall
    clock is adjusted.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor that runs the delayed calls.
    """

    def __init__(self, reactor) -> None:
        self._reactor = reactor

    def seconds(self) -> float:
        """Return the seconds since boot, including suspension."""
        return _boot_seconds()

    def callLater(self, delay, callable, *args, **kw):  # noqa: A002, N802
        """Call `callable` after `delay` seconds."""
        return self._reactor.callLater(delay, callable, *args, **kw)

    def getDelayedCalls(self):  # noqa: N802
        """Return the pending delayed calls."""
        return self._reactor.getDelayedCalls()


def use_boot_time(reactor) -> None:
    """Make a reactor schedule its delayed calls by the time since boot.

    Twisted schedules them by the wall clock, so a step of that clock would
    delay or hasten every renewal, timeout and retry.
    """
    reactor.seconds = _boot_seconds


def _boot_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
