"""Discrete-event simulation: a clock and a queue of events."""

from collections.abc import Callable
from heapq import heappop, heappush


class EventQueue:
    """Run scheduled actions in time order; actions of equal time run as scheduled."""

    __slots__ = ("_count", "_heap", "now_s")

    def __init__(self) -> None:
        self.now_s = 0.0
        self._count = 0
        self._heap: list = []

    def schedule_at(self, time_s: float, action: Callable, *arguments) -> None:
        """Run `action` at `time_s`."""
        self._count += 1
        heappush(self._heap, (time_s, self._count, action, arguments))

    def schedule_after(self, delay_s: float, action: Callable, *arguments) -> None:
        """Run `action` after `delay_s`."""
        self.schedule_at(self.now_s + delay_s, action, *arguments)

    def run_until(self, until_s: float) -> None:
        """Run all actions due by `until_s` and advance the clock to it."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action, arguments = heappop(self._heap)
            action(*arguments)
        self.now_s = until_s


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of `values`, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
