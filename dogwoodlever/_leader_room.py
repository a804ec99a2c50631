"""Memory that the leader has left for the state of further jobs."""

from collections import deque
from collections.abc import Callable

from dogwoodlever._fleet_job import estimate_state_bytes
from dogwoodlever._fleet_types import SubmittedJob
from dogwoodlever._port_capacity import MEGABYTE_BYTES

# Part of a daemon's memory for the state of jobs while it leads.
MEMORY_FRACTION = 0.4
# Part of it in use up to which a job is accepted whatever its size.
LARGE_JOB_FRACTION = 0.1
# Time within which a leader has read a submission that the store has acknowledged.
SEEN_S = 1.0
# A leader's reply tells nothing about its memory any more after this time.
KNOWN_S = 10.0
# Time after which it is asked, if the daemon accepts jobs.
ASK_S = 2.0


class LeaderRoom:
    """Decides whether a job may be accepted, by the memory of the leader.

    The number of jobs and tasks that callers may submit is not bounded, and each leader
    holds all of them.

    Parameters
    ----------
    clock : IReactorTime
        Reactor clock.
    get_own_bytes : callable
        Returns the memory of the jobs of this daemon while it leads, None otherwise.
    memory_mb : float
        Memory of this process in megabytes.
    count_refusal : callable
        Called for each refused job.

    Attributes
    ----------
    own_bytes_max : int
        Memory for the state of jobs in this daemon while it leads.
    """

    def __init__(
        self,
        clock,
        get_own_bytes: Callable[[], int | None],
        memory_mb: float,
        count_refusal: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self.count_refusal = count_refusal
        self._get_own_bytes = get_own_bytes
        self.set_memory(memory_mb)
        # Memory in use and its limit at another leader, and when it told them.
        self._used_bytes = 0
        self._limit_bytes = float("inf")
        self._told_s = float("-inf")
        # Jobs that this daemon has accepted and the leader may not have read: time and
        # memory.
        self._accepted: deque[tuple[float, int]] = deque()

    def set_memory(self, memory_mb: float) -> None:
        """Set the memory of this process."""
        self.own_bytes_max = int(memory_mb * MEGABYTE_BYTES * MEMORY_FRACTION)

    def update(self, used_bytes: int, limit_bytes: float) -> None:
        """Note what a leader has told of its memory."""
        self._used_bytes, self._limit_bytes = used_bytes, limit_bytes
        self._told_s = self._clock.seconds()

    def is_to_ask(self) -> bool:
        """Return whether another leader should be asked for its memory."""
        is_old = self._clock.seconds() - self._told_s > ASK_S
        return is_old and self._get_own_bytes() is None

    def take(self, job: SubmittedJob) -> bool:
        """Return whether there is room for a job; if so, it counts as accepted."""
        now_s = self._clock.seconds()
        used_bytes, limit_bytes = self._get_own_bytes(), self.own_bytes_max
        known_s = now_s
        if used_bytes is None:
            is_known = now_s - self._told_s <= KNOWN_S
            used_bytes = self._used_bytes if is_known else 0
            limit_bytes = self._limit_bytes if is_known else float("inf")
            known_s = self._told_s if is_known else now_s
        while self._accepted and self._accepted[0][0] < known_s - SEEN_S:
            self._accepted.popleft()
        used_bytes += sum(state_bytes for _, state_bytes in self._accepted)
        state_bytes = estimate_state_bytes(job)
        has_room = used_bytes + state_bytes <= limit_bytes
        if not has_room and used_bytes > limit_bytes * LARGE_JOB_FRACTION:
            return False
        self._accepted.append((now_s, state_bytes))
        return True
