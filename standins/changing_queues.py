"""Queues that an operator adds and drops, one a version."""

import random

QUEUES_MAX = 6
DROP_SHARE = 0.5
ADD_AGAIN_SHARE = 0.3


class ChangingQueues:
    """Draws which queue the next version adds or drops.

    Parameters
    ----------
    rng : random.Random
        Source of the changes.

    Attributes
    ----------
    current, dropped : list of str
        Queues of the newest version, and those of earlier ones only.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._added = 0
        self.current: list[str] = []
        self.dropped: list[str] = []

    def change(self) -> str:
        """Add a new queue, drop one, or add a dropped one again; return its name."""
        rng = self._random
        is_full = len(self.current) >= QUEUES_MAX
        if self.current and (is_full or rng.random() < DROP_SHARE):
            return self._move(self.current, self.dropped)
        if self.dropped and rng.random() < ADD_AGAIN_SHARE:
            return self._move(self.dropped, self.current)
        name = f"extra{self._added}"
        self._added += 1
        self.current.append(name)
        return name

    def _move(self, source: list[str], target: list[str]) -> str:
        name = self._random.choice(source)
        source.remove(name)
        target.append(name)
        return name
