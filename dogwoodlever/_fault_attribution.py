"""Attribution of failures to faulty workers or to faulty tasks."""

from dataclasses import dataclass, field

FAILURES_TO_QUARANTINE = 3
QUARANTINE_BASE_S = 30.0
QUARANTINE_MAX_S = 1800.0
QUARANTINED_FRACTION_MAX = 0.2
FAILED_WORKERS_MIN = 3


@dataclass(slots=True)
class WorkerFailures:
    """Failures on one worker since its last success.

    Attributes
    ----------
    failed_jobs : set of str
        Jobs with failures there; several such jobs indicate a faulty worker.
    quarantined_until_s : float
        No task is placed earlier; afterwards one at a time until a success.
    """

    failed_jobs: set[str] = field(default_factory=set)
    failures: int = 0
    quarantines: int = 0
    quarantined_until_s: float = float("-inf")
    is_probing: bool = False


class FaultAttribution:
    """Quarantines faulty workers and finds tasks that fail on healthy ones.

    Parameters
    ----------
    quarantine_base_s : float
        First quarantine of a worker; each further one lasts twice as long.
    quarantine_max_s : float
        Longest quarantine.
    """

    __slots__ = ("_finished", "_quarantine_base_s", "_quarantine_max_s", "_workers")

    def __init__(
        self,
        quarantine_base_s: float = QUARANTINE_BASE_S,
        quarantine_max_s: float = QUARANTINE_MAX_S,
    ) -> None:
        self._quarantine_base_s = quarantine_base_s
        self._quarantine_max_s = quarantine_max_s
        self._workers: dict[str, WorkerFailures] = {}
        self._finished: dict[str, int] = {}

    def worker(self, worker: str) -> WorkerFailures:
        """Return the record of `worker`, created on first use."""
        return self._workers.setdefault(worker, WorkerFailures())

    def states(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Return the workers in quarantine or probed after it, to be stored.

        Returns
        -------
        dict of str to (int, int)
            What is left of the quarantine, in milliseconds, and the number of
            quarantines in a row, by worker.
        """
        return {
            worker: (
                max(0, int((record.quarantined_until_s - now_s) * 1000)),
                record.quarantines,
            )
            for worker, record in self._workers.items()
            if record.is_probing
        }

    def restore(self, states: dict[str, tuple[int, int]], now_s: float) -> None:
        """Restore the states that a former leader stored."""
        for worker, (left_ms, quarantines) in states.items():
            record = self.worker(worker)
            record.quarantined_until_s = now_s + left_ms / 1000
            record.quarantines = quarantines
            record.is_probing = True

    def record_success(self, worker: str, job: str) -> None:
        """Record that a task of `job` finished on `worker`."""
        record = self.worker(worker)
        record.failures = 0
        record.failed_jobs.clear()
        record.is_probing = False
        record.quarantines = 0
        self._finished[job] = self._finished.get(job, 0) + 1

    def record_failure(self, worker: str, job: str, now_s: float, workers: int) -> bool:
        """Record a failure; return whether the worker is quarantined by it.

        Parameters
        ----------
        worker, job : str
            Worker on which a task of the job failed.
        now_s : float
            Current time.
        workers : int
            Number of workers, which bounds how many are quarantined.
        """
        record = self.worker(worker)
        record.failures += 1
        record.failed_jobs.add(job)
        if not self._blames_worker(record, job):
            return False
        return self._quarantine(record, now_s, workers)

    def record_stall(self, worker: str, now_s: float, workers: int) -> bool:
        """Record a stalled run; return whether the worker is quarantined by it."""
        record = self.worker(worker)
        record.failures += 1
        return self._quarantine(record, now_s, workers)

    def _quarantine(self, record: WorkerFailures, now_s: float, workers: int) -> bool:
        if now_s < record.quarantined_until_s or not self._may_quarantine(
            now_s, workers
        ):
            return False
        duration_s = min(
            self._quarantine_base_s * 2**record.quarantines, self._quarantine_max_s
        )
        record.quarantines += 1
        record.quarantined_until_s = now_s + duration_s
        record.is_probing = True
        return True

    def _blames_worker(self, record: WorkerFailures, job: str) -> bool:
        if record.is_probing:
            return True
        if record.failures < FAILURES_TO_QUARANTINE:
            return False
        return len(record.failed_jobs) > 1 or self._finished.get(job, 0) > 0

    def _may_quarantine(self, now_s: float, workers: int) -> bool:
        quarantined = sum(
            now_s < record.quarantined_until_s for record in self._workers.values()
        )
        return quarantined + 1 <= max(1, workers * QUARANTINED_FRACTION_MAX)

    def task_limit(self, worker: str, now_s: float) -> int | None:
        """Return how many tasks may run on `worker`; None means no limit."""
        record = self._workers.get(worker)
        if record is None:
            return None
        if now_s < record.quarantined_until_s:
            return 0
        return 1 if record.is_probing else None

    def has_failed_too_often(self, failed_on: list[str], now_s: float) -> bool:
        """Return whether a task failed on enough workers that are not at fault."""
        healthy = {
            worker
            for worker in failed_on
            if not self.worker(worker).is_probing
            and now_s >= self.worker(worker).quarantined_until_s
        }
        return len(healthy) >= FAILED_WORKERS_MIN
