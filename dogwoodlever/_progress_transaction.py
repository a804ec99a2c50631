"""One transaction that stores the progress of several jobs."""

from dogwoodlever._fleet_interfaces import Put
from dogwoodlever._fleet_records import TERM_KEY, job_key, progress_key

# The store accepts 32 entries per transaction.
ENTRIES_MAX = 32
# A condition and a value, and for an ended job the removal of its progress.
ENTRIES_PER_JOB = 2
ENTRIES_PER_ENDED_JOB = 3
# Bytes of values with which a further job is left to the next transaction, so that one
# arrives within the time-out of a call on a link of 5 Mbit/s, a third longer in base64.
VALUES_BYTES_MAX = 256 * 1024


class ProgressTransaction:
    """Conditions, values and removals for the progress of some jobs.

    It is built from the state that the jobs have at one time, and stays as it is if
    they change or end while it is under way.

    Parameters
    ----------
    term_revision : int
        Revision of the term's record, which the store must still have.

    Attributes
    ----------
    job_ids : list of str
        Jobs in it.
    ended : set of str
        Those of them whose end it stores.
    """

    __slots__ = ("deletes", "ended", "expected", "job_ids", "puts")

    def __init__(self, term_revision: int) -> None:
        self.job_ids: list[str] = []
        self.ended: set[str] = set()
        self.expected: dict[str, int] = {TERM_KEY: term_revision}
        self.puts: list[Put] = []
        self.deletes: list[str] = []

    def has_room(self, has_ended: bool) -> bool:
        """Return whether another job fits, which may have ended."""
        entries = len(self.expected) + len(self.puts) + len(self.deletes)
        entries += ENTRIES_PER_ENDED_JOB if has_ended else ENTRIES_PER_JOB
        return entries <= ENTRIES_MAX

    def has_room_for_value(self, value: bytes) -> bool:
        """Return whether a value of a job fits; the first one always does."""
        values_bytes = sum(len(put.value) for put in self.puts)
        return not self.puts or values_bytes + len(value) <= VALUES_BYTES_MAX

    def add_progress(self, job_id: str, revision: int, value: bytes) -> None:
        """Add the progress of a job that has not ended.

        Parameters
        ----------
        job_id : str
            The job.
        revision : int
            Revision of its stored progress, 0 if there is none.
        value : bytes
            Its progress.
        """
        key = progress_key(job_id)
        self.job_ids.append(job_id)
        self.expected[key] = revision
        self.puts.append(Put(key, value))

    def add_end(self, job_id: str, revision: int, value: bytes) -> None:
        """Add the end of a job, `value` in place of its submission."""
        key = progress_key(job_id)
        self.job_ids.append(job_id)
        self.ended.add(job_id)
        self.expected[key] = revision
        self.puts.append(Put(job_key(job_id), value))
        self.deletes.append(key)
