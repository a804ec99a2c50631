"""Orders to a worker, from the cell state and the worker's last report."""

from collections.abc import Callable

from dogwoodlever._cell_state import PLACED_STATES, CellStateRecord, Task
from dogwoodlever._worker_protocol import AttemptId, RunOrder, StopOrder
from dogwoodlever._worker_view import WorkerView

ORDERS_PER_SYNC_MAX = 64


class OrderBuilder:
    """Builds the run, stop and forget orders of a sync from committed state.

    Parameters
    ----------
    cell_state : CellStateRecord
        Jobs and tasks of the cell.
    is_committed : callable
        Returns whether a task's current state is in the store.
    """

    __slots__ = ("_cell_state", "_is_committed")

    def __init__(
        self, cell_state: CellStateRecord, is_committed: Callable[[str], bool]
    ) -> None:
        self._cell_state = cell_state
        self._is_committed = is_committed

    def current_task(self, view: WorkerView, task_id: str, attempt: int) -> Task | None:
        """Return the task if `attempt` is its latest and placed on `view`."""
        task = self._cell_state.tasks.get(task_id)
        if task is None or task.attempt != attempt or task.worker != view.name:
            return None
        return task

    def run_orders(self, view: WorkerView) -> tuple[RunOrder, ...]:
        """Return the assigned attempts that the worker has not reported yet."""
        orders = []
        for task_id in sorted(view.tasks):
            task = self._cell_state.tasks[task_id]
            if task.state != "assigned" or not self._is_committed(task_id):
                continue
            if AttemptId(task_id, task.attempt) not in view.reported_attempts:
                orders.append(self._run_order(task))
        return tuple(orders[:ORDERS_PER_SYNC_MAX])

    def _run_order(self, task: Task) -> RunOrder:
        job = self._cell_state.jobs[task.job_id]
        return RunOrder(
            task.task_id,
            task.attempt,
            job.task_class,
            job.cores,
            task.planned_cores,
            job.memory_bytes,
            job.accelerators,
            job.run_s,
            task.checkpoint_s,
        )

    def stop_orders(self, view: WorkerView) -> tuple[StopOrder, ...]:
        """Return the attempts to stop, also those not placed on the worker."""
        orders = []
        for task_id in sorted(view.tasks):
            task = self._cell_state.tasks[task_id]
            if task.state in ("stopping", "cancelling") and self._is_committed(task_id):
                checkpoint = task.state == "stopping"
                orders.append(StopOrder(task_id, task.attempt, checkpoint))
        for attempt in view.reported_attempts:
            if self.current_task(view, attempt.task_id, attempt.attempt) is None:
                orders.append(StopOrder(attempt.task_id, attempt.attempt, False))
        return tuple(orders)

    def forget_orders(self, view: WorkerView) -> tuple[AttemptId, ...]:
        """Return the ended attempts that the worker may forget, their end stored."""
        return tuple(a for a in view.ended if self._end_is_recorded(view, a))

    def _end_is_recorded(self, view: WorkerView, attempt: AttemptId) -> bool:
        task = self.current_task(view, attempt.task_id, attempt.attempt)
        recorded = task is None or task.state not in PLACED_STATES
        return recorded and self._is_committed(attempt.task_id)
