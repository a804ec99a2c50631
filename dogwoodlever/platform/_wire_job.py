"""Decoding of jobs that callers submit."""

from typing import Annotated

import msgspec

from dogwoodlever._fleet_types import Step, SubmittedJob
from dogwoodlever.fleet_errors import SubmissionError
from dogwoodlever.platform._wire_json import INT64_MAX, Amount, Int64, decode_json

PAYLOAD_BYTES_MAX = 4_000
STEPS_MAX = 1_000
TASKS_MAX = 100_000


_DurationMs = Annotated[float, msgspec.Meta(le=INT64_MAX)]


class _Step(msgspec.Struct, frozen=True):
    # Number of tasks.
    count: int = 1
    # Thousandths of a core.
    cpu: Int64 = 0
    mem_mb: Int64 = 0
    gpu: Int64 = 0
    est_runtime_ms: _DurationMs = 0
    after: tuple[int, ...] = ()
    # Tasks write checkpoints.
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    # Rack that holds the input data.
    affinity: str = ""
    max_per_server: Amount = 0
    speculative: bool = False
    persistent: bool = False
    image: str = ""
    # Tail latency target of a standing task.
    target_ms: _DurationMs = 0
    # Best-effort task on idle cores; its CPU request is not reserved.
    fills: bool = False
    # Standing tasks that may be unavailable at the same time.
    may_miss: Amount = 0


class _Job(msgspec.Struct, frozen=True):
    # Opaque payload of the tasks.
    spec: str
    steps: tuple[_Step, ...]
    repeat_count: Amount = 0
    first_run_ms: Int64 = 0
    interval_ms: Amount = 0


def decode_job(job_id: str, queue: str, now_ms: int, body: bytes) -> SubmittedJob:
    """Decode and validate the body of a submission.

    Raises
    ------
    SubmissionError
        If it is malformed; the message names the field.
    """
    try:
        job = decode_json(body, _Job)
    except ValueError as error:
        raise SubmissionError(f"job {job_id}: {error}") from error
    if len(job.spec.encode()) > PAYLOAD_BYTES_MAX:
        raise SubmissionError(f"job {job_id}: spec: over {PAYLOAD_BYTES_MAX} bytes")
    if not 0 < len(job.steps) <= STEPS_MAX:
        raise SubmissionError(f"job {job_id}: steps: 1 to {STEPS_MAX} are accepted")
    steps = tuple(
        _convert_step(job_id, number, step) for number, step in enumerate(job.steps)
    )
    tasks = sum(step.tasks for step in steps)
    if tasks * _due_at_once(job, now_ms) > TASKS_MAX:
        raise SubmissionError(
            f"job {job_id}: over {TASKS_MAX} tasks of all steps and times due at once"
        )
    return SubmittedJob(
        job_id,
        queue,
        job.spec,
        steps,
        job.repeat_count,
        job.first_run_ms,
        job.interval_ms,
        now_ms,
    )


def _due_at_once(job: _Job, now_ms: int) -> int:
    """Return how many occurrences are due by `now_ms`, or together later."""
    if not job.repeat_count:
        return 1
    if not job.interval_ms:
        return job.repeat_count
    due = (now_ms - job.first_run_ms) // job.interval_ms + 1
    return min(job.repeat_count, max(1, due))


def _convert_step(job_id: str, number: int, step: _Step) -> Step:
    where = f"job {job_id}: steps[{number}]"
    if not 0 < step.count <= TASKS_MAX:
        raise SubmissionError(f"{where}.count: 1 to {TASKS_MAX} are accepted")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise SubmissionError(f"{where}.after: only earlier steps are accepted")
    if min(step.cpu, step.mem_mb, step.gpu, step.est_runtime_ms) < 0:
        raise SubmissionError(f"{where}: a size is below 0")
    return Step(
        step.count,
        step.cpu,
        step.mem_mb,
        step.gpu,
        int(step.est_runtime_ms),
        step.after,
        step.saves_progress,
        step.gang,
        step.same_rack,
        step.required_label,
        step.affinity,
        step.max_per_server,
        step.speculative,
        step.persistent,
        step.image,
        int(step.target_ms),
        step.fills,
        step.may_miss,
    )
