"""State of a worker as known to the cell's owner."""

from dataclasses import dataclass, field

from dogwoodlever._chart import Chart
from dogwoodlever._interference_controller import InterferenceController
from dogwoodlever._site import Worker
from dogwoodlever._worker_protocol import AttemptId

WORKER_CHART = Chart.load("worker")


@dataclass(slots=True)
class WorkerView:
    """State, capacity, lease and clock of one worker.

    Attributes
    ----------
    spec : Worker
        Settings of the worker.
    state : str
        State of the worker chart.
    boot_id : str
        Boot id in the last report; empty before the first.
    report_s, report_clock_s : float
        Time at which the last report arrived, and the worker's clock in it.
    sync_s : float
        Time at which the last synchronisation was sent.
    lease_end_s : float
        Owner's time after which the worker has stopped all attempts, unless a
        later synchronisation renewed its lease.
    leaving, gone : bool
        State of the VM as listed by the platform.
    removed : bool
        Whether the worker is no longer part of the cell.
    unreachable : bool
        Whether a synchronisation sent after the end of the lease failed.
    tasks : set of str
        Ids of the tasks placed on the worker.
    reported_attempts : set of AttemptId
        Attempts listed as running in the last report.
    ended : set of AttemptId
        Attempts listed as ended in the last report.
    """

    name: str
    spec: Worker
    controller: InterferenceController
    cores_capacity: float
    memory_capacity_bytes: int
    lease_end_s: float
    state: str = WORKER_CHART.initial
    boot_id: str = ""
    report_s: float = float("-inf")
    sync_s: float = float("-inf")
    report_clock_s: float = 0.0
    cores_placed: float = 0.0
    memory_placed_bytes: int = 0
    accelerators_placed: int = 0
    leaving: bool = False
    gone: bool = False
    removed: bool = False
    unreachable: bool = False
    tasks: set[str] = field(default_factory=set)
    reported_attempts: set[AttemptId] = field(default_factory=set)
    ended: set[AttemptId] = field(default_factory=set)

    def apply_event(self, event: str) -> None:
        """Apply an event of the worker chart if the current state allows it."""
        if WORKER_CHART.allows(self.state, event):
            self.state = WORKER_CHART.next(self.state, event)

    def worker_time(self, at_s: float) -> float:
        """Return a lower bound of the worker's clock at the owner's `at_s`."""
        return self.report_clock_s + (at_s - self.report_s)

    def fits(self, cores: float, memory_bytes: int, accelerators: int) -> bool:
        """Return whether a task of this size fits beside those placed."""
        return (
            self.cores_placed + cores <= self.cores_capacity + 1e-9
            and self.memory_placed_bytes + memory_bytes <= self.memory_capacity_bytes
            and self.accelerators_placed + accelerators <= self.spec.accelerators
        )

    def allocate(self, task_id: str, cores: float, memory: int, accelerators: int):
        """Allocate resources to a placed task."""
        self.tasks.add(task_id)
        self.cores_placed += cores
        self.memory_placed_bytes += memory
        self.accelerators_placed += accelerators

    def release(self, task_id: str, cores: float, memory: int, accelerators: int):
        """Release the resources of a task that is no longer placed here."""
        self.tasks.discard(task_id)
        self.cores_placed -= cores
        self.memory_placed_bytes -= memory
        self.accelerators_placed -= accelerators
