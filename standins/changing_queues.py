"""Queues that an operator adds, drops, moves and changes, one a version."""

import random

from standins.queue_places import USUAL_HOST, format_place

QUEUES_MAX = 6
DROP_SHARE = 0.5
ADD_AGAIN_SHARE = 0.3
# Shares of the moves to another host, of these to another prefix too, and of the moves
# back to the first place.
OTHER_HOST_SHARE = 0.4
PREFIX_TOO_SHARE = 0.5
MOVE_BACK_SHARE = 0.3
OTHER_HOST = "other.example"
SERVICE, OTHER_SERVICE = "desk", "floor"


class ChangingQueues:
    """Draws which queue the next version adds, drops, moves or changes.

    Parameters
    ----------
    rng : random.Random
        Source of the changes.

    Attributes
    ----------
    current, dropped : list of str
        Queues of the newest version, and those of earlier ones only.
    fields : dict of str to dict
        Fields of the routes of queues that were moved or changed.
    former_places : list of str
        Places that queues have left, the last one at the end.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._added = 0
        self._moves = 0
        self.current: list[str] = []
        self.dropped: list[str] = []
        self.fields: dict[str, dict] = {}
        self.former_places: list[str] = []

    def place(self, name: str) -> str:
        """Return the place of a queue."""
        fields = self.fields.get(name, {})
        prefix = fields.get("prefix", f"/{name}/")
        return format_place(fields.get("host", USUAL_HOST), prefix)

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

    def change_place(self) -> None:
        """Move a queue to another prefix or host, or back to its first place."""
        rng = self._random
        name = self._draw_queue()
        fields = self.fields.setdefault(name, {})
        self.former_places.append(self.place(name))
        was_moved = bool({"prefix", "host"} & fields.keys())
        fields.pop("prefix", None)
        fields.pop("host", None)
        self._moves += 1
        if was_moved and rng.random() < MOVE_BACK_SHARE:
            return
        if rng.random() < OTHER_HOST_SHARE:
            fields["host"] = OTHER_HOST
        if "host" not in fields or rng.random() < PREFIX_TOO_SHARE:
            fields["prefix"] = f"/{name}.{self._moves}/"

    def change_service(self) -> None:
        """Move a queue to the other service."""
        fields = self._draw_fields()
        is_moved = fields.get("service") == OTHER_SERVICE
        fields["service"] = SERVICE if is_moved else OTHER_SERVICE

    def change_fields(self) -> None:
        """Change what shows in the handling of a queue's jobs only."""
        rng = self._random
        self._draw_fields().update(
            timeout_ms=rng.randint(1_500, 6_000),
            slo_ms=rng.randint(100, 3_000),
            stretch=round(rng.uniform(1.2, 4.0), 2),
            priority=rng.randint(0, 3),
            max_attempts=rng.randint(3, 6),
        )

    def _draw_queue(self) -> str:
        """Return one of the queues, which is added if there is none."""
        return self._random.choice(self.current) if self.current else self.change()

    def _draw_fields(self) -> dict:
        """Return the fields of one of the queues."""
        return self.fields.setdefault(self._draw_queue(), {})
