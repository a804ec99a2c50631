"""Jobs, queues and workers as the fleet scheduler sees them."""

from dataclasses import dataclass, field

import msgspec


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Equal tasks of a job that may start once earlier steps are done.

    Attributes
    ----------
    tasks : int
        Number of tasks.
    cores_milli, memory_mb, accelerators : int
        Size of one task; cores in thousandths.
    run_estimate_ms : int
        Declared run time of one task, a rough estimate.
    after : tuple of int
        Numbers of the steps that have to be done first.
    checkpoints : bool
        Tasks save their progress.
    gang : bool
        All tasks run together under one run number.
    same_rack : bool
        Tasks are slower when spread over racks.
    label, rack : str
        Label that the worker must have; rack where the data is.
    worker_tasks_max : int
        Most tasks of the step on one worker; 0 sets no limit.
    speculative : bool
        Several copies of one task may run at the same time.
    standing : bool
        Tasks are started again however they end.
    image : str
        Tasks of one image behave alike.
    latency_target_ms : int
        Bound on the tail latency of a standing task; 0 for none.
    uses_leftover : bool
        Tasks take the cores that others leave; their cores are not counted.
    unavailable_max : int
        Most tasks that the scheduler may make unavailable at once.
    """

    tasks: int
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    run_estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    worker_tasks_max: int = 0
    speculative: bool = False
    standing: bool = False
    image: str = ""
    latency_target_ms: int = 0
    uses_leftover: bool = False
    unavailable_max: int = 0


class SubmittedJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as a caller submitted it; it is stored before the answer.

    Attributes
    ----------
    job_id : str
        Chosen by the caller; a job submitted again under it is the same job.
    queue : str
        Name of the queue.
    payload : str
        Opaque text that every start carries.
    occurrences : int
        How often the steps run; 0 for a job without times.
    first_due_ms, interval_ms : int
        Unix time of the first occurrence, and the time between two.
    submitted_ms : int
        Unix time at which the daemon took it.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    submitted_ms: int = 0


@dataclass(slots=True, frozen=True)
class PlatformLimits:
    """Times that the platform sets.

    Attributes
    ----------
    run_lease_max_s : float
        Longest lease of a run at a worker.
    job_state_kept_s : float
        How long the state of an ended job has to be readable.
    target_violation_max_s : float
        How long a standing task may be over its target beside other work.
    """

    run_lease_max_s: float
    job_state_kept_s: float
    target_violation_max_s: float


# Workers that one call for advice names; the platform grants a step such a call.
ADVICE_WORKERS_MAX = 30


@dataclass(slots=True, frozen=True)
class AdviceTiming:
    """How the advice service answers for a queue.

    Attributes
    ----------
    decision_ms, worker_ms : float
        Time of a call, and on top for each worker that it names.
    valid_ms : float
        How long a ticket holds.
    """

    decision_ms: float
    worker_ms: float
    valid_ms: float


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue of the configuration.

    Attributes
    ----------
    priority : int
        0 comes first.
    attempts_max : int
        Failed runs after which a task, and its job, has failed.
    stretch, slack_ms : float, int
        A job is on time within `stretch` times its longest chain of work and
        `slack_ms` more.
    advice : AdviceTiming or None
        Terms of the advice service, if starts need its tickets.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts_max: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    advice: AdviceTiming | None = None

    @property
    def advice_call_s(self) -> float:
        """Time of the one call for advice that a step is granted."""
        if self.advice is None:
            return 0.0
        called_ms = ADVICE_WORKERS_MAX * self.advice.worker_ms
        return (self.advice.decision_ms + called_ms) / 1000


@dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """One version of the operators' configuration."""

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix of `path` at `host`."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """What a worker says of itself in the store.

    Attributes
    ----------
    started_at_ms : int
        Unix time of its start; tells two lives under one id apart.
    warmup_remaining_ms : int
        How much longer it is slow after its start.
    drain_remaining_ms : int
        Least time left while it drains; 0 if not told.
    """

    worker_id: str
    service: str
    host: str
    port: int
    data_centre: str
    started_at_ms: int
    is_draining: bool
    cores_milli: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    warmup_remaining_ms: int = 0
    drain_remaining_ms: int = 0

    @property
    def rack(self) -> str:
        """The rack, which is the second label."""
        return self.labels[1] if len(self.labels) > 1 else ""


@dataclass(slots=True, frozen=True, order=True)
class TaskId:
    """Identity of a task: job, occurrence, step and index."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclass(slots=True, frozen=True)
class StepId:
    """Identity of a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    number: int


@dataclass(slots=True, frozen=True)
class RunId:
    """One start of a task."""

    task: TaskId
    number: int


@dataclass(slots=True, frozen=True)
class StartOrder:
    """What a worker is told to start."""

    run: RunId
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(slots=True, frozen=True)
class RunningRun:
    """A run that a worker lists as running.

    Attributes
    ----------
    percent : int
        Progress of a task that ends; 100 for a standing task at work.
    load : int
        Tail latency in ms of a standing task with a target, otherwise the
        thousandths of a core in use.
    """

    run: RunId
    checkpoint: str
    percent: int
    load: int


@dataclass(slots=True, frozen=True)
class EndedRun:
    """A run that a worker lists as ended; numbers rise within one life."""

    number: int
    run: RunId
    outcome: str
    checkpoint: str


@dataclass(slots=True, frozen=True)
class PollResult:
    """A worker's answer to a look at it.

    Attributes
    ----------
    clock_ms : int
        The worker's steady clock when it answered.
    started_at_ms : int
        Start of the life that answered; 0 if not told.
    """

    clock_ms: int
    started_at_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
