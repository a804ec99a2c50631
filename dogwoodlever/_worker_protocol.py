"""Messages between a cell's owner and a worker.

Deadlines are on the worker's clock, computed from its last report, so that a
delayed message grants no more time than it did when it was sent.
"""

import msgspec


class RunOrder(msgspec.Struct, frozen=True):
    """Order to start an attempt once, as soon as the worker has capacity.

    Attributes
    ----------
    cores : float
        Cores that the job declares.
    planned_cores : float
        Cores to reserve, from the measured usage of the class.
    """

    task_id: str
    attempt: int
    task_class: str
    cores: float
    planned_cores: float
    memory_bytes: int
    accelerators: int
    run_s: float
    checkpoint_s: float


class StopOrder(msgspec.Struct, frozen=True):
    """Order to stop an attempt, after a checkpoint if requested."""

    task_id: str
    attempt: int
    checkpoint: bool


class AttemptId(msgspec.Struct, frozen=True):
    """Identity of an attempt."""

    task_id: str
    attempt: int


class SyncRequest(msgspec.Struct, frozen=True):
    """Orders and lease of a worker.

    Attributes
    ----------
    epoch, sequence : int
        Order of requests; a worker ignores pairs that do not increase.
    boot_id : str
        Boot that the orders are for; after a reboot the worker ignores them.
    lease_until_s : float
        Worker's time at which it stops all attempts unless renewed.
    start_until_s : float
        Worker's time after which it starts no attempt.
    forget : tuple of AttemptId
        Ended attempts that are recorded, so that the worker may drop them.
    throttles : dict of str to float
        Fraction of its cores that each class may use; 1 if not listed.
    """

    cell: str
    epoch: int
    sequence: int
    boot_id: str
    lease_until_s: float
    start_until_s: float
    run: tuple[RunOrder, ...] = ()
    stop: tuple[StopOrder, ...] = ()
    forget: tuple[AttemptId, ...] = ()
    throttles: dict[str, float] = {}


class RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt that the worker holds and that has not ended."""

    task_id: str
    attempt: int
    started: bool
    progress_s: float
    cores_used: float


class EndedAttempt(msgspec.Struct, frozen=True):
    """An attempt that has ended.

    Attributes
    ----------
    outcome : str
        ``finished``, ``failed`` or ``stopped``.
    checkpoint_s : float
        Run time saved by the last checkpoint.
    """

    task_id: str
    attempt: int
    outcome: str
    checkpoint_s: float
    run_s: float
    cores_used: float
    reason: str = ""


class UsageSample(msgspec.Struct, frozen=True):
    """A past measurement of a service that shares the worker with batch work.

    Attributes
    ----------
    age_s : float
        Age of the sample at the time of the report.
    latency_s : float
        Tail latency of the service on this worker.
    load : float
        Fraction of the service's slots in use, 0 to 1.
    class_cores : dict of str to float
        Cores used by each batch class.
    """

    age_s: float
    service: str
    latency_s: float
    load: float
    class_cores: dict[str, float]


class WorkerReport(msgspec.Struct, frozen=True):
    """Response of a worker to a synchronisation."""

    worker: str
    boot_id: str
    clock_s: float
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()
    usage: tuple[UsageSample, ...] = ()
