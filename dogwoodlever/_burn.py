"""Error budget burn by service and data centre over time windows."""

from collections import deque
from dataclasses import dataclass

import msgspec

BUCKET_S = 10
WINDOWS_S = (300, 3600)
BUCKETS_MAX = 3600 // BUCKET_S + 1


class BurnRow(msgspec.Struct, frozen=True):
    """Request counts of one service in one data centre over one window.

    Attributes
    ----------
    good : int
        Requests answered within the latency target.
    burn : float
        Fraction of requests not good over the fraction that the objective allows.
    """

    service: str
    data_centre: str
    window_s: int
    total: int
    good: int
    not_run: int
    unknown: int
    objective: float

    @property
    def burn(self) -> float:
        """Return the burn rate of the error budget; 1 spends exactly the budget."""
        if not self.total:
            return 0.0
        return (1 - self.good / self.total) / (1 - self.objective)


@dataclass(slots=True)
class Bucket:
    """Request counts of one interval."""

    number: int
    total: int = 0
    good: int = 0
    not_run: int = 0
    unknown: int = 0


class BurnCounter:
    """Counter of the requests that one daemon handled.

    Parameters
    ----------
    data_centre : str
        Data centre of the daemon.
    """

    __slots__ = ("_buckets", "data_centre")

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self._buckets: dict[str, deque[Bucket]] = {}

    def record(self, service: str, now_s: float, good: bool, outcome: str) -> None:
        """Count a completed request.

        Parameters
        ----------
        service : str
            Service of the request.
        now_s : float
            Current time.
        good : bool
            Whether it was answered within the latency target.
        outcome : str
            ``answered``, ``not-run`` or ``unknown``.
        """
        bucket = self._bucket(service, int(now_s // BUCKET_S))
        bucket.total += 1
        bucket.good += good
        bucket.not_run += outcome == "not-run"
        bucket.unknown += outcome == "unknown"

    def _bucket(self, service: str, number: int) -> Bucket:
        buckets = self._buckets.setdefault(service, deque(maxlen=BUCKETS_MAX))
        if not buckets or buckets[-1].number != number:
            buckets.append(Bucket(number))
        return buckets[-1]

    def rows(self, now_s: float, objectives: dict[str, float]) -> list[BurnRow]:
        """Return a row for each service and window."""
        rows = []
        for service, objective in sorted(objectives.items()):
            for window_s in WINDOWS_S:
                rows.append(self._row(service, objective, window_s, now_s))
        return rows

    def _row(self, service, objective, window_s, now_s) -> BurnRow:
        since = int((now_s - window_s) // BUCKET_S)
        within = [b for b in self._buckets.get(service, ()) if b.number > since]
        return BurnRow(
            service,
            self.data_centre,
            window_s,
            sum(b.total for b in within),
            sum(b.good for b in within),
            sum(b.not_run for b in within),
            sum(b.unknown for b in within),
            objective,
        )


def merge_burn_rows(rows: list[BurnRow]) -> list[BurnRow]:
    """Sum the rows of several daemons by service, data centre and window."""
    merged: dict[tuple, BurnRow] = {}
    for row in rows:
        key = (row.service, row.data_centre, row.window_s)
        merged_row = merged.get(key)
        if merged_row is None:
            merged[key] = row
            continue
        merged[key] = BurnRow(
            *key,
            merged_row.total + row.total,
            merged_row.good + row.good,
            merged_row.not_run + row.not_run,
            merged_row.unknown + row.unknown,
            row.objective,
        )
    return [merged[key] for key in sorted(merged)]
