"""Submitted jobs and their validation."""

from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from dogwoodlever._check import find_faults
from dogwoodlever._site import Site
from dogwoodlever.batch_errors import JobRefusedError
from dogwoodlever.settings_errors import SettingsError

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]
Size = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=0)]
TaskCount = Annotated[int, Meta(gt=0, le=10_000)]


class Job(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job of identical tasks.

    Attributes
    ----------
    job : str
        Job id; a resubmission with the same id is not run again.
    task_class : str
        Tasks of one class are expected to have similar usage and interference.
    run_s : float
        Declared estimate of a task's run time.
    standing : bool
        Whether tasks are restarted whenever they end.
    """

    job: Name
    team: str
    task_class: Name = msgspec.field(name="class")
    tasks: TaskCount
    cores: Size
    memory_bytes: Annotated[int, Meta(gt=0)]
    run_s: Size
    accelerators: Count = 0
    urgent: bool = False
    standing: bool = False

    def task_ids(self) -> list[str]:
        """Return the ids of the job's tasks."""
        return [f"{self.job}/{index}" for index in range(self.tasks)]


def parse_job(document: object, where: str) -> Result[Job, SettingsError]:
    """Validate a job document and return the job, or an error with all faults."""
    faults = find_faults(document, Job, where)
    if faults:
        return Failure(SettingsError(faults))
    return Success(msgspec.convert(document, Job))


def check_fits(job: Job, site: Site) -> None:
    """Check that one task fits some worker and the team's quota.

    Raises
    ------
    JobRefusedError
        If it does not fit; the message names the limit.
    """
    if job.team not in site.teams:
        known = ", ".join(sorted(site.teams)) or "none"
        raise JobRefusedError(f"team: no team {job.team!r}; known are {known}")
    team = site.teams[job.team]
    if job.cores > team.cores:
        raise JobRefusedError(
            f"cores: a task needs {job.cores:g}; "
            f"team {job.team!r} has a quota of {team.cores:g}"
        )
    if job.accelerators > team.accelerators:
        raise JobRefusedError(
            f"accelerators: a task needs {job.accelerators}; "
            f"team {job.team!r} has a quota of {team.accelerators}"
        )
    _check_some_worker_fits(job, site)


def _check_some_worker_fits(job: Job, site: Site) -> None:
    reserved = reservations(site)
    cores_max = memory_max = accelerators_max = 0.0
    for name, worker in site.workers.items():
        reserved_cores, reserved_memory = reserved.get(name, (0.0, 0))
        cores = worker.cores - reserved_cores
        memory = worker.memory_bytes - reserved_memory
        cores_max = max(cores_max, cores)
        memory_max = max(memory_max, memory)
        accelerators_max = max(accelerators_max, worker.accelerators)
        if (
            job.cores <= cores
            and job.memory_bytes <= memory
            and job.accelerators <= worker.accelerators
        ):
            return
    raise JobRefusedError(
        f"no worker fits a task of {job.cores:g} cores, {job.memory_bytes} bytes of "
        f"memory and {job.accelerators} accelerators; the largest available are "
        f"{cores_max:g} cores, {memory_max:.0f} bytes and {accelerators_max:.0f}"
    )


def reservations(site: Site) -> dict[str, tuple[float, int]]:
    """Return the cores and memory in bytes that services reserve on each worker."""
    reserved: dict[str, tuple[float, int]] = {}
    for service in site.services.values():
        for server in service.servers.values():
            cores, memory = reserved.get(server.worker, (0.0, 0))
            reserved[server.worker] = (
                cores + service.reserved_cores,
                memory + service.reserved_memory_bytes,
            )
    return reserved
