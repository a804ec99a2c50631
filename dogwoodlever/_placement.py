"""Choice of the worker for a task."""

from abc import ABC, abstractmethod
from bisect import bisect_left, insort
from collections.abc import Iterable

from dogwoodlever._worker_view import WorkerView

THROTTLE_COST = 4.0


class Placer(ABC):
    """Ranking of workers by cost; the cheapest that fits is chosen."""

    @abstractmethod
    def cost(self, view: WorkerView, needs_accelerators: bool) -> float:
        """Return the cost of placing a task on the worker now."""


class BestFit(Placer):
    """Fullest worker first, avoiding workers with throttled batch work.

    Workers with accelerators are kept for the tasks that need them.
    """

    def cost(self, view: WorkerView, needs_accelerators: bool) -> float:
        """Return the free cores plus penalties for throttling and accelerators."""
        free = view.cores_capacity - view.cores_placed
        throttled = (
            view.controller.throttling_max() * THROTTLE_COST * view.cores_capacity
        )
        reserved = 0 if needs_accelerators else view.spec.accelerators
        return free + throttled + reserved * view.cores_capacity


class PlacementRound:
    """Workers ordered by cost, updated while tasks are placed.

    Parameters
    ----------
    placer : Placer
        Ranking of workers.
    views : iterable of WorkerView
        Workers that accept tasks.
    """

    __slots__ = ("_orders", "_placer", "_views")

    def __init__(self, placer: Placer, views: Iterable[WorkerView]) -> None:
        self._placer = placer
        self._views = {view.name: view for view in views}
        self._orders: dict[bool, list[tuple[float, str]]] = {}

    def __bool__(self) -> bool:
        return bool(self._views)

    def views(self) -> Iterable[WorkerView]:
        """Return the workers that still accept tasks."""
        return self._views.values()

    def _order(self, needs_accelerators: bool) -> list[tuple[float, str]]:
        order = self._orders.get(needs_accelerators)
        if order is None:
            order = sorted(
                (self._placer.cost(view, needs_accelerators), name)
                for name, view in self._views.items()
            )
            self._orders[needs_accelerators] = order
        return order

    def choose(
        self, cores: float, memory_bytes: int, accelerators: int, avoid: set[str]
    ) -> WorkerView | None:
        """Return the cheapest worker that fits, or None.

        Parameters
        ----------
        cores, memory_bytes, accelerators : float, int, int
            Size of the task.
        avoid : set of str
            Workers on which the task failed; chosen only if no other fits.
        """
        order = self._order(accelerators > 0)
        fallback = None
        # A worker's cost is never below its free cores.
        start = bisect_left(order, (cores - 1e-9, ""))
        for _, name in order[start:] if start else order:
            view = self._views[name]
            if not view.fits(cores, memory_bytes, accelerators):
                continue
            if name not in avoid:
                return view
            fallback = fallback or view
        return fallback

    def before_change(self, view: WorkerView) -> None:
        """Remove a worker from the orders before its allocations change."""
        for needs_accelerators, order in self._orders.items():
            key = (self._placer.cost(view, needs_accelerators), view.name)
            del order[bisect_left(order, key)]

    def after_change(self, view: WorkerView) -> None:
        """Reinsert a worker into the orders after its allocations changed."""
        for needs_accelerators, order in self._orders.items():
            insort(order, (self._placer.cost(view, needs_accelerators), view.name))

    def drop(self, view: WorkerView) -> None:
        """Exclude a worker from the rest of the round."""
        self.before_change(view)
        del self._views[view.name]
