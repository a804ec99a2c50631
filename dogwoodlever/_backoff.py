"""Pause after a lost race for a record."""

import random

BACKOFF_MAX_S = 1.0
PAUSE_PER_WRITER_S = 0.05


class Backoff:
    """A random pause after each conflict, so that many writers take turns.

    Parameters
    ----------
    member_id : str
        Seeds the pauses, so that members draw different ones.
    clock : IReactorTime
        Runtime's clock.
    """

    __slots__ = ("_clock", "_random", "_until_s")

    def __init__(self, member_id: str, clock) -> None:
        self._clock = clock
        self._random = random.Random(member_id)
        self._until_s = float("-inf")

    def record_conflict(self, writers: int) -> None:
        """Start a pause that suits the number of members that may write."""
        longest_s = min(BACKOFF_MAX_S, writers * PAUSE_PER_WRITER_S)
        self._until_s = self._clock.seconds() + self._random.uniform(0, longest_s)

    def is_active(self) -> bool:
        """Tell whether the pause lasts."""
        return self._clock.seconds() < self._until_s
