"""Choice of the worker for a task."""

from abc import ABC, abstractmethod
from bisect import bisect_left, insort
from collections.abc import Iterable

from dogwoodlever._worker_view import WorkerView

THROTTLE_COST = 4.0


class Placer(ABC):
    """Ranks workers; the lowest cost that fits is taken."""

    @abstractmethod
    def cost(self, view: WorkerView, wants_accelerators: bool) -> float:
        """Return the cost of the worker as it is filled now."""


class BestFit(Placer):
    """Fullest worker first, away from those whose guard throttles.

    Workers with accelerators are left to the tasks that want them.
    """

    def cost(self, view: WorkerView, wants_accelerators: bool) -> float:
        """Return the free cores, raised for throttled and reserved workers."""
        free = view.cores_capacity - view.cores_placed
        throttled = (
            view.controller.throttling_max() * THROTTLE_COST * view.cores_capacity
        )
        reserved = 0 if wants_accelerators else view.spec.accelerators
        return free + throttled + reserved * view.cores_capacity


class PlacementRound:
    """Workers in the order of their cost, kept up while tasks are placed.

    Parameters
    ----------
    placer : Placer
        Ranking.
    views : iterable of WorkerView
        Workers that take tasks now.
    """

    __slots__ = ("_orders", "_placer", "_views")

    def __init__(self, placer: Placer, views: Iterable[WorkerView]) -> None:
        self._placer = placer
        self._views = {view.name: view for view in views}
        self._orders: dict[bool, list[tuple[float, str]]] = {}

    def __bool__(self) -> bool:
        return bool(self._views)

    def views(self) -> Iterable[WorkerView]:
        """Return the workers that still take tasks."""
        return self._views.values()

    def _order(self, wants_accelerators: bool) -> list[tuple[float, str]]:
        order = self._orders.get(wants_accelerators)
        if order is None:
            order = sorted(
                (self._placer.cost(view, wants_accelerators), name)
                for name, view in self._views.items()
            )
            self._orders[wants_accelerators] = order
        return order

    def choose(
        self, cores: float, memory_bytes: int, accelerators: int, avoid: set[str]
    ) -> WorkerView | None:
        """Return the fitting worker of least cost, or None.

        Parameters
        ----------
        cores, memory_bytes, accelerators : float, int, int
            Size of the task.
        avoid : set of str
            Workers where the task failed; taken only if no other fits.
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
        """Take a worker out of the orders before its account changes."""
        for wants, order in self._orders.items():
            key = (self._placer.cost(view, wants), view.name)
            del order[bisect_left(order, key)]

    def after_change(self, view: WorkerView) -> None:
        """Put a worker back into the orders after its account changed."""
        for wants, order in self._orders.items():
            insort(order, (self._placer.cost(view, wants), view.name))

    def drop(self, view: WorkerView) -> None:
        """Take no more tasks for a worker."""
        self.before_change(view)
        del self._views[view.name]
