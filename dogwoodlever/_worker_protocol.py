"""Messages between a cell's owner and a worker.

All times are of the worker's own clock, computed from its last report, so
that a message that arrives late grants no more than it did when it was sent.
"""

import msgspec


class RunOrder(msgspec.Struct, frozen=True):
    """An attempt to start once, when the worker has room for it.

    Attributes
    ----------
    cores : float
        What the job declares.
    planned_cores : float
        What to set aside for it, by the measured use of its class.
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
    """An attempt to stop, after a checkpoint if asked."""

    task_id: str
    attempt: int
    checkpoint: bool


class AttemptId(msgspec.Struct, frozen=True):
    """Names an attempt whose end is recorded, so it may be forgotten."""

    task_id: str
    attempt: int


class SyncRequest(msgspec.Struct, frozen=True):
    """What the owner wants of a worker.

    Attributes
    ----------
    epoch, sequence : int
        A worker ignores all but rising pairs.
    boot_id : str
        The boot that the orders are for; a worker of another boot takes none.
    lease_until_s : float
        Worker's time at which it stops everything unless renewed.
    start_until_s : float
        Worker's time after which it starts nothing.
    throttles : dict of str to float
        Part of its cores that each class may use, 0 to 1; all if not named.
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
    """An attempt that the worker holds and has not ended."""

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
        Work that its last checkpoint holds.
    """

    task_id: str
    attempt: int
    outcome: str
    checkpoint_s: float
    run_s: float
    cores_used: float
    reason: str = ""


class UsageSample(msgspec.Struct, frozen=True):
    """A late measurement of a service beside batch work.

    Attributes
    ----------
    age_s : float
        How long before the report it was taken.
    latency_s : float
        Tail latency of the service on this worker.
    load : float
        Part of the service's slots in use, 0 to 1.
    class_cores : dict of str to float
        Cores that each batch class used.
    """

    age_s: float
    service: str
    latency_s: float
    load: float
    class_cores: dict[str, float]


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's answer to a synchronisation."""

    worker: str
    boot_id: str
    clock_s: float
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()
    usage: tuple[UsageSample, ...] = ()
