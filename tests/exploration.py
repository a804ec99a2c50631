"""Exploration of all orders of events up to a number of faults.

A run is determined by its faults: pairs of a choice point and a fault. Runs are
enumerated by number of faults, each from the start, and end early in a state from which
a run with at least as many faults left has been explored, and in which its task had
waited for at least as long.
"""

import argparse
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.exploration_model import EVENTS, FATES, ROWS, Model
from tests.exploration_state import freeze_state

Trace = tuple[str, ...]
NEVER_S = float("-inf")


@dataclass(slots=True)
class Exploration:
    """Result of an exploration.

    Attributes
    ----------
    runs, states : int
        Number of runs and of distinct states at choice points.
    depth : int
        Most choice points of a run.
    traces : dict of tuple to tuple of str
        Shortest trace by violation and kinds of faults.
    is_complete : bool
        Whether all runs within the bound were explored.
    """

    runs: int = 0
    states: int = 0
    depth: int = 0
    traces: dict[tuple, Trace] = field(default_factory=dict)
    is_complete: bool = True


class _Pruned(Exception):
    """The rest of the run has been explored."""


class _Run:
    """One run of the model with given faults."""

    def __init__(self, trace: Trace, faults_left: int, seen: dict | None) -> None:
        self._faults = dict(item.split(": ") for item in trace)
        self._seen = seen
        self._faults_left = faults_left
        self.is_pruned = False
        self.depth = 0
        # Choice points after the last fault.
        self.points: list[str] = []

    def choose(self, model: Model, name: str) -> str:
        self.depth += 1
        fault = self._faults.pop(name, "")
        if self._faults or fault or self._seen is None or self.is_pruned:
            return fault
        state = freeze_state(model, name)
        waited_s = model.waited_s()
        faults_left, longest_s = self._seen.get(state, (-1, NEVER_S))
        # A further fault begins the time for recovery anew.
        if faults_left < self._faults_left:
            self.points.append(name)
        elif waited_s <= longest_s:
            self.is_pruned = True
            return ""
        self._seen[state] = (
            max(faults_left, self._faults_left),
            max(longest_s, waited_s),
        )
        return ""

    def run(self, has_known_faults: bool, is_gang: bool) -> list[str]:
        model = Model(self.choose, has_known_faults, is_gang)
        model.run(lambda: self.is_pruned)
        if self._faults and not model.violations:
            raise ValueError(f"no such choice point: {sorted(self._faults)}")
        return model.violations


def replay(
    trace: Trace, has_known_faults: bool = False, is_gang: bool = False
) -> list[str]:
    """Return the violations of one run."""
    return _Run(trace, 0, None).run(has_known_faults, is_gang)


def _is_possible(point: str, fault: str) -> bool:
    return fault not in FATES or not point.endswith("waits")


def explore(
    faults_max: int,
    sequence: tuple[tuple[str, tuple[str, ...]], ...] = (),
    limit_s: float = float("inf"),
    stops_at_first: bool = False,
    has_known_faults: bool = False,
    clock: Callable[[], float] = time.monotonic,
    is_gang: bool = False,
) -> Exploration:
    """Explore all runs with up to `faults_max` faults.

    Parameters
    ----------
    sequence : tuple of (str, tuple of str)
        For each fault of a run, in order, the kind of call at which it is injected,
        empty for any, and the faults; empty for all faults at all calls.
    limit_s : float
        Longest time of the exploration.
    stops_at_first : bool
        Stop at the first violation.
    has_known_faults, is_gang : bool
        See `Model`.
    """
    if not sequence:
        sequence = (("", (*FATES, *EVENTS)),) * faults_max
    result = Exploration()
    seen: dict = {}
    queue: deque[Trace] = deque([()])
    end_s = clock() + limit_s
    while queue:
        if clock() > end_s:
            result.is_complete = False
            break
        trace = queue.popleft()
        run = _Run(trace, faults_max - len(trace), seen)
        violations = run.run(has_known_faults, is_gang)
        result.runs += 1
        result.depth = max(result.depth, run.depth)
        for violation in violations:
            kinds = tuple(item.split(": ")[1] for item in trace)
            result.traces.setdefault((violation, kinds), trace)
        if violations:
            if stops_at_first:
                break
            continue
        if len(trace) < faults_max:
            kind, faults = sequence[len(trace)]
            queue.extend(
                (*trace, f"{point}: {fault}")
                for point in run.points
                for fault in faults
                if kind in point and _is_possible(point, fault)
            )
    result.states = len(seen)
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--known", action="store_true", help="include KNOWN-RED.txt")
    parser.add_argument("--row", choices=ROWS, help="changes of leaders before faults")
    parser.add_argument("--row-at", default="", help="call at which they begin")
    parser.add_argument("--gang", action="store_true", help="two tasks of a gang")
    options = parser.parse_args()
    sequence: tuple = (("", (*FATES, *EVENTS)),) * options.faults
    if options.row:
        sequence = ((options.row_at, (options.row,)), *sequence)
    start_s = time.monotonic()
    result = explore(
        len(sequence),
        sequence,
        limit_s=options.minutes * 60,
        has_known_faults=options.known,
        is_gang=options.gang,
    )
    took_s = time.monotonic() - start_s
    print(
        f"runs={result.runs} states={result.states} depth={result.depth} "
        f"complete={result.is_complete} seconds={took_s:.1f}"
    )
    for (violation, _), trace in result.traces.items():
        print(violation)
        print(f"    {trace!r},")


if __name__ == "__main__":
    main()
