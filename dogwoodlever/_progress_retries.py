"""Jobs whose progress could not be written, and when to try them again."""

from collections.abc import Sequence
from dataclasses import dataclass

from dogwoodlever._logs import log_event
from dogwoodlever._progress_transaction import ENTRIES_MAX

# Parts into which a batch that failed is divided. With four, a job is alone after two
# divisions, and the others of its batch wait for no more than four time-outs.
BATCH_PARTS = 4
# Pause before a job that failed alone is tried again, which doubles up to the longest
# one. Far below the 4 s in which an end has to be acknowledged once the store is sound.
PAUSE_MIN_S = 0.25
PAUSE_MAX_S = 2.0
# Attempts of a job alone, between which others were stored, after which it counts as
# one that the store refuses for good.
REFUSALS_FOR_GOOD = 3

# Due time of a job that need not wait.
NOT_PAUSED = float("-inf")


@dataclass(slots=True)
class FailedJob:
    """A job whose last write failed.

    Attributes
    ----------
    batch_jobs_max : int
        Most jobs of the next batch with it.
    due_s : float
        When it may be tried again.
    pause_s : float
        Length of the next pause after a failure alone.
    unanswered : int
        Writes with it in a row that got no answer while others did.
    attempts : int
        Failed writes of it alone.
    refusals : int
        Those of them before which other jobs were stored since the last one.
    stored_writes : int
        Number of the writer's successful writes at the last attempt.
    why : str
        Cause of the last failure that was logged.
    """

    batch_jobs_max: int = ENTRIES_MAX
    due_s: float = NOT_PAUSED
    pause_s: float = PAUSE_MIN_S
    unanswered: int = 0
    attempts: int = 0
    refusals: int = 0
    stored_writes: int = -1
    why: str = ""


class ProgressRetries:
    """Finds the jobs that make batches fail, and lets only these wait.

    A batch that failed is divided until the jobs that fail are alone. These are tried
    again after growing pauses. A batch without an answer is first tried again as it is,
    as a single answer may just have been lost.
    """

    __slots__ = ("_failed",)

    def __init__(self) -> None:
        self._failed: dict[str, FailedJob] = {}

    def batch_jobs_max(self, job_id: str) -> int:
        """Return the most jobs of the next batch with a job."""
        failed = self._failed.get(job_id)
        return ENTRIES_MAX if failed is None else failed.batch_jobs_max

    def is_paused(self, job_id: str) -> bool:
        """Return whether a job waits for its next attempt, also if that is due."""
        failed = self._failed.get(job_id)
        return failed is not None and failed.due_s > NOT_PAUSED

    def has_failed_alone(self, job_id: str) -> bool:
        """Return whether the last write of a job alone has failed."""
        failed = self._failed.get(job_id)
        return failed is not None and failed.attempts > 0

    def due_batch(self, now_s: float) -> list[str]:
        """Return the jobs to try again together now; may be empty.

        Those that may just have been in a batch with others that fail come first.
        """
        due = sorted(
            (failed.attempts > 0, failed.due_s, failed.batch_jobs_max, job_id)
            for job_id, failed in self._failed.items()
            if NOT_PAUSED < failed.due_s <= now_s
        )
        if not due:
            return []
        has_failed_alone, _, jobs_max, _ = due[0]
        return [
            job_id
            for is_alone, _, size, job_id in due
            if is_alone == has_failed_alone and size == jobs_max
        ][:jobs_max]

    @property
    def unstorable_count(self) -> int:
        """Number of jobs whose writes fail alone."""
        return sum(failed.attempts > 0 for failed in self._failed.values())

    def narrow(self, job_ids: Sequence[str]) -> None:
        """Divide the batch of some jobs, which was refused."""
        for job_id in job_ids:
            failed = self._failed.setdefault(job_id, FailedJob())
            failed.batch_jobs_max = _part_size(job_ids)
            failed.due_s = NOT_PAUSED

    def record_unanswered(
        self,
        job_ids: Sequence[str],
        why: str,
        now_s: float,
        stored_writes: int,
        is_only_one: bool,
    ) -> None:
        """Record that a batch got no answer although the store is not away.

        Parameters
        ----------
        job_ids : sequence of str
            Its jobs.
        why : str
            Cause of the failure.
        now_s : float
            Current time.
        stored_writes : int
            Number of the writer's successful writes so far.
        is_only_one : bool
            Whether the store answers other calls; if that is not known, it has to have
            stored another batch since the last failure.
        """
        for job_id in job_ids:
            failed = self._failed.setdefault(job_id, FailedJob())
            failed.due_s = now_s
            is_evidence = is_only_one or stored_writes > failed.stored_writes
            failed.unanswered += is_evidence
            if is_evidence and failed.unanswered > 1:
                failed.batch_jobs_max = _part_size(job_ids)
                if len(job_ids) == 1:
                    self._record_alone(job_id, failed, why, now_s, stored_writes)
            failed.stored_writes = stored_writes

    def record_refused(
        self, job_id: str, why: str, now_s: float, stored_writes: int
    ) -> None:
        """Record that the write of a job alone was refused.

        Parameters
        ----------
        job_id : str
            The job.
        why : str
            Cause of the refusal.
        now_s : float
            Current time.
        stored_writes : int
            Number of the writer's successful writes so far.
        """
        failed = self._failed.setdefault(job_id, FailedJob())
        failed.batch_jobs_max = 1
        failed.unanswered = 0
        self._record_alone(job_id, failed, why, now_s, stored_writes)

    def is_refused_for_good(self, job_id: str) -> bool:
        """Return whether a job was refused again and again while others were stored."""
        failed = self._failed.get(job_id)
        return failed is not None and failed.refusals >= REFUSALS_FOR_GOOD

    def forget(self, job_id: str) -> None:
        """Forget the failures of a job that is stored."""
        failed = self._failed.pop(job_id, None)
        if failed is not None and failed.why:
            log_event("journal.job-stored", job=job_id, attempts=failed.attempts)

    def drop(self, job_id: str) -> None:
        """Forget a job that is removed."""
        self._failed.pop(job_id, None)

    @staticmethod
    def _record_alone(
        job_id: str, failed: FailedJob, why: str, now_s: float, stored_writes: int
    ) -> None:
        failed.due_s = now_s + failed.pause_s
        failed.pause_s = min(2 * failed.pause_s, PAUSE_MAX_S)
        failed.attempts += 1
        if failed.attempts > 1 and stored_writes > failed.stored_writes:
            failed.refusals += 1
        failed.stored_writes = stored_writes
        if why != failed.why:
            failed.why = why
            log_event(
                "journal.job-unstored", job=job_id, why=why, attempts=failed.attempts
            )


def _part_size(job_ids: Sequence[str]) -> int:
    """Return the size of the batches into which a batch is divided."""
    return -(-len(job_ids) // BATCH_PARTS)
