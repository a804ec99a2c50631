"""Ends of a worker's incarnation that wait until their jobs are stored."""

from collections.abc import Set


class UnstoredEnds:
    """Keeps which job each end changed that was read and is not known to be stored.

    A worker drops ends up to a number, so an end whose job is not stored holds back the
    later ones of this worker, and no others. An end leaves once its job was stored as
    of a time after the end was read; later changes of the job concern later ends only.
    """

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        # Job id by the number of the end.
        self._jobs: dict[int, str] = {}

    def add(self, number: int, job_id: str) -> None:
        """Add an end that was read."""
        self._jobs[number] = job_id

    def drop_stored(self, number: int, unstored_jobs: Set[str]) -> int:
        """Drop the ends that are stored; return up to which number all ends are.

        Parameters
        ----------
        number : int
            Up to which number all ends had been read.
        unstored_jobs : set of str
            Jobs that are not stored as they were at that time.
        """
        if not self._jobs:
            return number
        for end_number, job_id in list(self._jobs.items()):
            if end_number <= number and job_id not in unstored_jobs:
                del self._jobs[end_number]
        return min(number, min(self._jobs, default=number + 1) - 1)

    def drop_jobs(self, number: int, job_ids: Set[str]) -> int:
        """Drop the ends up to `number` of some jobs; return how many there were."""
        dropped = [
            end_number
            for end_number, job_id in self._jobs.items()
            if end_number <= number and job_id in job_ids
        ]
        for end_number in dropped:
            del self._jobs[end_number]
        return len(dropped)
