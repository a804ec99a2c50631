"""Log lines of the frequent events of runs, several runs a line."""

import re
from collections.abc import Iterator

from dogwoodlever._fleet_types import RunId, TaskId
from dogwoodlever._logs import log_event

# Lines are lost if the process is killed within this time of the first event.
INTERVAL_S = 0.1

_GROUP_SEPARATOR = "+"
_GROUPS = {
    "placed": re.compile(r"(?P<step>[^/]+)/(?P<waited_ms>\d+)/(?P<runs>.+)"),
    "ended": re.compile(r"(?P<step>[^/]+)/(?P<how>[^/]+)/(?P<runs>.+)"),
    "moved": re.compile(r"(?P<step>[^/]+)/(?P<runs>.+)"),
}
_RUN = r"(?P<index>\d+)#(?P<number>\d+)@(?P<worker>.+)"
_RUNS = {
    "placed": re.compile(_RUN + r":(?P<free_milli>-?\d+):(?P<age_ms>\d+)"),
    "ended": re.compile(_RUN + r":(?P<took_ms>\d+):(?P<age_ms>\d+)"),
    "moved": re.compile(_RUN + r":(?P<age_ms>\d+)"),
}


class RunLog:
    """Collects placed, ended and moved runs, and logs each kind as one line.

    A line lists groups of runs of one step, separated by ``+``:
    ``STEP/GROUP FIELDS/INDEX#RUN@RUN FIELDS,...``, fields separated by ``:``. The last
    field of each run is the time from the event to the line, in milliseconds.

    Parameters
    ----------
    clock : IReactorTime
        Reactor clock.
    """

    def __init__(self, clock) -> None:
        self._clock = clock
        self._pending: dict[str, list[tuple]] = {}
        self._flush_call = None

    def add_placed(
        self, run_id: RunId, worker_id: str, waited_s: float, free_milli: int
    ) -> None:
        """Log that a run was placed on a worker."""
        self._add("placed", run_id, (_to_ms(waited_s),), (worker_id, free_milli))

    def add_ended(
        self, run_id: RunId, worker_id: str, outcome: str, took_s: float
    ) -> None:
        """Log that a worker listed the end of a run."""
        self._add("ended", run_id, (outcome,), (worker_id, _to_ms(took_s)))

    def add_moved(self, run_id: RunId, worker_id: str) -> None:
        """Log that a run is stopped to go on elsewhere."""
        self._add("moved", run_id, (), (worker_id,))

    def _add(self, kind: str, run_id: RunId, group: tuple, fields: tuple) -> None:
        pending = self._pending.setdefault(kind, [])
        pending.append((run_id, group, fields, self._clock.seconds()))
        if self._flush_call is None:
            self._flush_call = self._clock.callLater(INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Log the collected events."""
        if self._flush_call is not None and self._flush_call.active():
            self._flush_call.cancel()
        self._flush_call = None
        now_s = self._clock.seconds()
        pending, self._pending = self._pending, {}
        for kind, events in pending.items():
            groups: dict[tuple, list[str]] = {}
            for run_id, group, fields, at_s in events:
                values = ":".join(map(str, (*fields, _to_ms(now_s - at_s))))
                runs = groups.setdefault((_format_step(run_id.task), *group), [])
                runs.append(f"{run_id.task.index}#{run_id.number}@{values}")
            texts = (
                "/".join([*map(str, group), ",".join(runs)])
                for group, runs in groups.items()
            )
            log_event(f"runs.{kind}", runs=_GROUP_SEPARATOR.join(texts))


def format_task_id(task: TaskId) -> str:
    """Return a task's name in log lines."""
    return f"{_format_step(task)}.{task.index}"


def format_run_id(run_id: RunId) -> str:
    """Return a run's name in log lines."""
    return f"{format_task_id(run_id.task)}#{run_id.number}"


def _to_ms(duration_s: float) -> int:
    return max(0, round(duration_s * 1000))


def _format_step(task: TaskId) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}"


def read_runs(kind: str, text: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield the age in ms and the fields of each run in a line of `RunLog`.

    Parameters
    ----------
    kind : {"placed", "ended", "moved"}
        Which event the line is about.
    text : str
        Value of the line's field `runs`.
    """
    for group_text in text.split(_GROUP_SEPARATOR):
        group = _GROUPS[kind].fullmatch(group_text)
        # The last line of a killed process may be cut anywhere.
        for run_text in group["runs"].split(",") if group else ():
            run = _RUNS[kind].fullmatch(run_text)
            if run is not None:
                yield _read_run(group.groupdict() | run.groupdict())


def _read_run(values: dict[str, str]) -> tuple[int, dict[str, str]]:
    run_id = f"{values['step']}.{values['index']}#{values['number']}"
    fields = {"run": run_id, "worker": values["worker"]}
    for name in ("how", "free_milli"):
        if name in values:
            fields[name] = values[name]
    for name in ("waited", "took"):
        if f"{name}_ms" in values:
            fields[f"{name}_s"] = f"{int(values[f'{name}_ms']) / 1000:g}"
    return int(values["age_ms"]), fields
