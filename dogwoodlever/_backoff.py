"""Random backoff after a write conflict."""

import random

BACKOFF_MAX_S = 1.0
PAUSE_PER_WRITER_S = 0.05


class Backoff:
    """Random pause after each conflict, to spread competing writers.

    Parameters
    ----------
    member_id : str
        Seed of the pauses, so that members draw different ones.
    clock : IReactorTime
        Reactor clock.
    """

    __slots__ = ("_clock", "_random", "_until_s")

    def __init__(self, member_id: str, clock) -> None:
        self._clock = clock
        self._random = random.Random(member_id)
        self._until_s = float("-inf")

    def record_conflict(self, writers: int) -> None:
        """Start a pause whose bound grows with the number of possible writers."""
        longest_s = min(BACKOFF_MAX_S, writers * PAUSE_PER_WRITER_S)
        self._until_s = self._clock.seconds() + self._random.uniform(0, longest_s)

    def is_active(self) -> bool:
        """Return whether the pause is not over yet."""
        return self._clock.seconds() < self._until_s
