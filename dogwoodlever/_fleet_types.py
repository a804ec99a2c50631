"""Job, queue and worker types of the fleet scheduler."""

from dataclasses import dataclass, field
from typing import Literal

import msgspec

from dogwoodlever._request_limits import RequestLimits


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Group of identical tasks that start once the steps in `after` are done.

    Attributes
    ----------
    tasks : int
        Number of tasks.
    cores_milli, memory_mb, accelerators : int
        Resource request of one task; CPU in thousandths of a core.
    run_estimate_ms : int
        Rough estimate of the run time of one task, declared by the caller.
    after : tuple of int
        Indices of the steps that this step depends on.
    checkpoints : bool
        Tasks write checkpoints.
    gang : bool
        All tasks start together and share one run number.
    same_rack : bool
        Tasks run slower when they are spread over several racks.
    label, rack : str
        Required worker label; rack that holds the input data.
    worker_tasks_max : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Several copies of one task may run at the same time.
    standing : bool
        Tasks are restarted whenever they end.
    image : str
        Image of the tasks; tasks of one image have similar load and interference.
    latency_target_ms : int
        Tail latency target of a standing task; 0 for none.
    uses_leftover : bool
        Best-effort tasks that use idle cores; their CPU request is not reserved.
    unavailable_max : int
        Maximum number of tasks that the scheduler may make unavailable at once.
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


# Workers per advice call; the platform grants each step the time of one such call.
ADVICE_WORKERS_MAX = 30


@dataclass(slots=True, frozen=True)
class AdviceTiming:
    """Timing of the advice service for a queue.

    Attributes
    ----------
    decision_ms, worker_ms : float
        Base duration of a call, and additional duration per worker.
    valid_ms : float
        Validity of a ticket.
    """

    decision_ms: float
    worker_ms: float
    valid_ms: float


def normalize_host(host: str) -> str:
    """Return a host name as names are compared.

    Their case does not matter, nor the point that ends a fully qualified one.
    """
    return host.lower().removesuffix(".")


@dataclass(slots=True, frozen=True)
class Queue:
    """Queue of the operators' configuration.

    Attributes
    ----------
    host : str
        Host name as `normalize_host` returns it.
    priority : int
        0 is the highest.
    attempts_max : int
        Number of failed runs after which a task and its job fail.
    stretch, slack_ms : float, int
        The time objective of a job is `stretch` times its critical path plus
        `slack_ms`; within it, the job is on time.
    advice : AdviceTiming or None
        Timing of the advice service, if runs need its tickets.
    is_public : bool
        Whether calls need no key, even if the configuration has workspaces.
    timeout_s : float
        Time within which a call is answered, if its caller does not give up before.
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
    is_public: bool = False
    timeout_s: float = 3.0

    @property
    def advice_call_s(self) -> float:
        """Duration of the one advice call that the platform grants each step."""
        if self.advice is None:
            return 0.0
        workers_ms = ADVICE_WORKERS_MAX * self.advice.worker_ms
        return (self.advice.decision_ms + workers_ms) / 1000


class SubmittedJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """Job as submitted by a caller; stored before the response.

    Attributes
    ----------
    job_id : str
        Chosen by the caller; submitting the same id again has no further effect.
    queue : str
        Name of the queue.
    payload : str
        Opaque text that is passed to every run.
    occurrences : int
        Number of times the steps run; 0 for a job without a schedule.
    first_due_ms, interval_ms : int
        Unix time of the first occurrence, and the interval between occurrences.
    submitted_ms : int
        Unix time at which a daemon accepted it.
    workspace : str
        Workspace of the key with which it was submitted; empty without a key.
    ended_phase : JobPhase or str
        Phase in which the job ended, if its payload is no longer stored; else empty.
        The steps are kept as long as runs of them may be left.
    configuration_version : int
        Version of the configuration by which it was accepted; 0 if an earlier build
        accepted it.
    accepted_queue : Queue or None
        Its queue in that version, by which it is scheduled although a later version
        may not have the queue; None if an earlier build accepted it.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    submitted_ms: int = 0
    workspace: str = ""
    ended_phase: Literal["", "completed", "failed", "cancelled"] = ""
    configuration_version: int = 0
    accepted_queue: Queue | None = None


@dataclass(slots=True, frozen=True)
class PlatformLimits:
    """Limits set by the platform.

    Attributes
    ----------
    run_lease_max_s : float
        Maximum lease of a run on a worker.
    job_state_kept_s : float
        Time for which the state of an ended job must remain readable.
    target_violation_max_s : float
        Time for which co-located work may keep a standing task above its target.
    stop_timeout_s : float
        Longest time in which a worker ends a run, by an order or as its lease expires.
    workspace_rate_window_s : float
        Time over which the jobs of a workspace count against its rate.
    record_bytes_max : int
        Largest value of a record in the store.
    acknowledgement_s : float
        Time in which an end that a worker lists has to be acknowledged.
    """

    run_lease_max_s: float
    job_state_kept_s: float
    target_violation_max_s: float
    stop_timeout_s: float
    workspace_rate_window_s: float = 5.0
    record_bytes_max: int = 1_048_576
    acknowledgement_s: float = 4.0


@dataclass(slots=True, frozen=True)
class ResourceAmounts:
    """Amounts of the resources of workers; CPU in thousandths of a core."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(slots=True, frozen=True)
class Workspace:
    """Group of callers that share keys, a cap and a share of the workers.

    Attributes
    ----------
    weight : float
        Its share of the workers when all are full, relative to other workspaces, and
        the jobs per second that count as its usual rate.
    cap : ResourceAmounts
        What its tasks may use on all workers together; 0 for no limit.
    key_digests : frozenset of bytes
        SHA-256 digests of its keys.
    """

    name: str
    weight: float = 1.0
    cap: ResourceAmounts = ResourceAmounts()
    key_digests: frozenset[bytes] = frozenset()


@dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """One version of the operators' configuration.

    Attributes
    ----------
    workspaces : dict of str to Workspace
        Workspaces by name; empty if calls need no keys.
    revision : int
        Store revision of its record; 0 if unknown.
    request_limits : RequestLimits
        Limits of callers' requests.
    """

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    revision: int = 0
    request_limits: RequestLimits = RequestLimits()

    def find_service(self, job: SubmittedJob, queue: Queue) -> str:
        """Return the service on which a job of `queue` runs.

        It is that of this version, unless the job was accepted by a newer one, which
        cannot be put into force here, or this one does not have the queue.
        """
        if self.version < job.configuration_version:
            return queue.service
        return self.queues.get(job.queue, queue).service

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue at `host` with the longest prefix that matches `path`."""
        best = None
        host = normalize_host(host)
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """Entry that a worker writes about itself in the store.

    Attributes
    ----------
    started_at_ms : int
        Unix time of its start; identifies the incarnation of a worker id.
    warmup_remaining_ms : int
        Remaining time for which it is slow after its start.
    drain_remaining_ms : int
        Minimum time until it leaves, while it drains; 0 if unknown.
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
    def address(self) -> str:
        """Host and port at which it answers."""
        return f"{self.host}:{self.port}"

    @property
    def rack(self) -> str:
        """Rack of the worker, its second label."""
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
    """Identity of a run, one start of a task."""

    task: TaskId
    number: int


@dataclass(slots=True, frozen=True)
class StartOrder:
    """Order to start a run on a worker."""

    run: RunId
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(slots=True, frozen=True)
class RunningRun:
    """Run that a worker reports as running.

    Attributes
    ----------
    percent : int
        Progress of a task; 100 for a standing task that is working.
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
    """Run that a worker reports as ended; numbers increase within one incarnation."""

    number: int
    run: RunId
    outcome: str
    checkpoint: str


@dataclass(slots=True, frozen=True)
class PollResult:
    """Response of a worker to a poll.

    Attributes
    ----------
    clock_ms : int
        The worker's monotonic clock when it responded.
    started_at_ms : int
        Start of the incarnation that responded; 0 if unknown.
    """

    clock_ms: int
    started_at_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
