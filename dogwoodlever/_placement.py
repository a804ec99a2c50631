"""Choice of the worker for a task."""

from collections.abc import Iterable

from dogwoodlever._worker_view import WorkerView

THROTTLE_COST = 4.0


class Placer:
    """Best fit, away from workers whose guard already throttles.

    Subclasses may weigh otherwise by overriding `cost`.
    """

    __slots__ = ()

    def choose(
        self,
        views: Iterable[WorkerView],
        cores: float,
        memory_bytes: int,
        accelerators: int,
        avoid: set[str],
    ) -> WorkerView | None:
        """Return the fitting worker of least cost, or None.

        Parameters
        ----------
        views : iterable of WorkerView
            Workers that take tasks now.
        cores, memory_bytes, accelerators : float, int, int
            Size of the task.
        avoid : set of str
            Workers where the task failed; taken only if no other fits.
        """
        best, best_cost = None, (True, float("inf"))
        for view in views:
            if not view.fits(cores, memory_bytes, accelerators):
                continue
            cost = (view.name in avoid, self.cost(view, cores, accelerators))
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def cost(self, view: WorkerView, cores: float, accelerators: int) -> float:
        """Return the cost of placing a task of this size on `view`."""
        left = view.cores_room - view.cores_placed - cores
        throttled = (1 - view.guard.throttle) * THROTTLE_COST * view.cores_room
        wasted = view.spec.accelerators if not accelerators else 0
        return left + throttled + wasted * view.cores_room
