"""A clock and a queue of events for measurements."""

from collections.abc import Callable
from heapq import heappop, heappush


class Events:
    """Run actions in the order of their times."""

    __slots__ = ("_count", "_heap", "now_s")

    def __init__(self) -> None:
        self.now_s = 0.0
        self._count = 0
        self._heap: list = []

    def at(self, time_s: float, action: Callable, *arguments) -> None:
        """Run `action` at `time_s`."""
        self._count += 1
        heappush(self._heap, (time_s, self._count, action, arguments))

    def after(self, delay_s: float, action: Callable, *arguments) -> None:
        """Run `action` after `delay_s`."""
        self.at(self.now_s + delay_s, action, *arguments)

    def run(self, until_s: float) -> None:
        """Run everything due before `until_s`."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action, arguments = heappop(self._heap)
            action(*arguments)
        self.now_s = until_s


def quantile(values: list[float], part: float) -> float:
    """Return a quantile of `values`, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
