"""Records of the fleet scheduler in the platform's store."""

import msgspec

from dogwoodlever._fleet_job import JobProgress
from dogwoodlever._fleet_types import SubmittedJob
from dogwoodlever._slowdown import ModelState
from dogwoodlever.platform_errors import StoredRecordError

PREFIX = "dogwoodlever/"
# Written by every daemon, watched by the leader.
INBOX_PREFIX = f"{PREFIX}inbox/"
JOBS_PREFIX = f"{INBOX_PREFIX}job/"
CANCELS_PREFIX = f"{INBOX_PREFIX}cancel/"
# Written by the leader only.
PROGRESS_PREFIX = f"{PREFIX}progress/"
WORKER_MEMBERSHIP_KEY = f"{PREFIX}roster"
INTERFERENCE_KEY = f"{PREFIX}interference"
HANDOVER_KEY = f"{PREFIX}handover"
PENDING_JOBS_KEY = f"{PREFIX}pending"
TERM_KEY = f"{PREFIX}term"
# Bound to a lease, watched by every daemon.
LEADER_KEY = f"{PREFIX}leader"
# Written by the leader; watched with its own record, whose key is a prefix of this one.
UNREACHABLE_WORKERS_KEY = f"{LEADER_KEY}-unreachable"


class LeaderRecord(msgspec.Struct, frozen=True):
    """The current leader; the revision of the write is its fencing token.

    Attributes
    ----------
    member : str
        Member id: VM, peer address and start of the process.
    peer_key : str
        Shared key of connections between daemons.
    term : int
        Number of its term, 0 if it is not known.
    """

    member: str
    peer_key: str
    term: int = 0


class TermRecord(msgspec.Struct, frozen=True):
    """The current term; its number increases with each change of leader.

    Attributes
    ----------
    member : str
        Leader of the term.
    peer_key : str
        Shared key of connections between daemons, kept from the first term on.
    core_share : float
        CPU share of the strongest daemon that has led, in cores.
    lease_id : int
        Lease of the leader's record, 0 if it is not known.
    link_mbps : float
        Bandwidth of the fastest link of a daemon that has led, 0 if it is not known.
    failed_loads : int
        Leaders in a row that gave up, since they could not load the stored state.
    unreachable_since_term : int
        First of the terms in a row, up to this one, whose leaders keep
        `UnreachableWorkersRecord`; 0 if this one, of an earlier build, does not.
    """

    term: int
    member: str
    peer_key: str
    core_share: float
    lease_id: int = 0
    link_mbps: float = 0.0
    failed_loads: int = 0
    unreachable_since_term: int = 0


class KnownIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """The incarnation of a worker that has last answered a leader.

    Attributes
    ----------
    started_at_ms : int
        Unix time of its start, 0 if it is not known.
    is_settled : bool
        Whether all leases have expired that calls for an earlier incarnation of the
        worker may have granted to it.
    """

    started_at_ms: int = 0
    is_settled: bool = False


class WorkerMembershipRecord(msgspec.Struct, frozen=True):
    """Workers on which runs may have been started.

    Attributes
    ----------
    workers : dict of str to str
        Addresses by worker id.
    is_incomplete : bool
        Whether there may be others, since an earlier record could not be read.
    incarnations : dict of str to KnownIncarnation
        By worker id, also of workers that have left and for which calls may still be
        carried out.
    names_all : bool
        Whether calls for a worker that is named nowhere cannot be carried out any more.
        Leaders of earlier builds name no incarnations.
    """

    workers: dict[str, str] = {}
    is_incomplete: bool = False
    incarnations: dict[str, KnownIncarnation] = {}
    names_all: bool = False


class UnreachableWorkersRecord(msgspec.Struct, frozen=True):
    """Workers that the leader cannot reach.

    Attributes
    ----------
    term : int
        Term of the leader that wrote the record.
    waits_ms : dict of str to int
        By worker id, the longest time from the write until all leases of the worker
        have expired and its runs have ended.
    """

    term: int = 0
    waits_ms: dict[str, int] = {}


class InterferenceRecord(msgspec.Struct, frozen=True):
    """Interference models by standing image, restored by later leaders."""

    models: dict[str, ModelState] = {}


class StalledRun(msgspec.Struct, frozen=True, array_like=True):
    """A run without progress, and for how long."""

    percent: int
    for_ms: int


class HandoverRecord(msgspec.Struct, frozen=True):
    """What a leader that stopped passes on to that of the next term.

    Attributes
    ----------
    term : int
        Term of the leader that stopped.
    quarantines : dict of str to (int, int)
        What is left of the quarantine, in milliseconds, and the number of quarantines
        in a row, by worker.
    stalled_runs : dict of str to StalledRun
        By run id.
    """

    term: int
    quarantines: dict[str, tuple[int, int]] = {}
    stalled_runs: dict[str, StalledRun] = {}


class PendingJobsRecord(msgspec.Struct, frozen=True):
    """The jobs of which no task had started at a revision of the store.

    Attributes
    ----------
    revision : int
        Revision up to which the leader had read submissions and cancellations. What
        has started since is in the progress that was stored later.
    job_ids : dict of str to list of str
        Ids by queue.
    """

    revision: int
    job_ids: dict[str, list[str]] = {}


def job_key(job_id: str) -> str:
    """Return the key of a submitted job."""
    return JOBS_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key of a cancellation."""
    return CANCELS_PREFIX + job_id


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def encode(record: msgspec.Struct) -> bytes:
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def _decode(value: bytes, record_type):
    """Decode a record; raises `StoredRecordError` if it is malformed."""
    try:
        return msgspec.msgpack.decode(value, type=record_type)
    except (ValueError, RecursionError) as error:
        # RecursionError: nested too deeply.
        raise StoredRecordError(f"{record_type.__name__}: {error}") from error


def decode_submission(value: bytes) -> SubmittedJob:
    """Decode a submitted job."""
    return _decode(value, SubmittedJob)


def decode_progress(value: bytes) -> JobProgress:
    """Decode a job's progress."""
    return _decode(value, JobProgress)


def decode_leader(value: bytes) -> LeaderRecord:
    """Decode the leader's record."""
    return _decode(value, LeaderRecord)


def decode_term(value: bytes) -> TermRecord:
    """Decode the term's record."""
    return _decode(value, TermRecord)


def decode_interference(value: bytes) -> InterferenceRecord:
    """Decode the interference models."""
    return _decode(value, InterferenceRecord)


def decode_unreachable_workers(value: bytes) -> UnreachableWorkersRecord:
    """Decode the record of unreachable workers."""
    return _decode(value, UnreachableWorkersRecord)


def decode_worker_membership(value: bytes) -> WorkerMembershipRecord:
    """Decode the worker membership."""
    return _decode(value, WorkerMembershipRecord)


def decode_pending_jobs(value: bytes) -> PendingJobsRecord:
    """Decode the record of pending jobs."""
    return _decode(value, PendingJobsRecord)


def decode_handover(value: bytes) -> HandoverRecord:
    """Decode what a former leader has passed on."""
    return _decode(value, HandoverRecord)
