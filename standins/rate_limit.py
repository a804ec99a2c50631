"""The platform store's limit of the calls per second of all clients together."""

from collections.abc import Callable


class RateLimit:
    """A token bucket that holds the calls of one second.

    Parameters
    ----------
    per_s : float
        Calls per second; 0 for no limit.
    get_now_s : callable
        Returns the time in seconds.
    """

    def __init__(self, per_s: float, get_now_s: Callable[[], float]) -> None:
        self._per_s = per_s
        self._get_now_s = get_now_s
        self._left = per_s
        self._filled_s = get_now_s()

    def take(self, calls: float = 1.0) -> bool:
        """Take calls, or parts of one; return False if they are over the limit."""
        if not self._per_s:
            return True
        now_s = self._get_now_s()
        gained = (now_s - self._filled_s) * self._per_s
        self._left = min(self._per_s, self._left + gained)
        self._filled_s = now_s
        if self._left < calls:
            return False
        self._left -= calls
        return True
