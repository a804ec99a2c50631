"""Timeline of a job on the platform, read from the daemons' logs."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from dogwoodlever._run_log import read_runs
from dogwoodlever.cli_errors import CliError

# Line prefix of `absl.logging`: month and day, then the time.
_TIMESTAMP = re.compile(r"[IWEF](\d{4}) (\d\d:\d\d:\d\d\.\d+)")
_FIELD = re.compile(r'(\S+?)=("(?:[^"\\]|\\.)*"|\S+)')
_RUN = re.compile(r"(?P<task>(?P<job>.+)\.\d+\.\d+\.\d+)#(?P<number>\d+)")
# Any leap year; the log lines name none.
_TIMESTAMP_YEAR = "2024"
_TIMESTAMP_FORMAT = "%Y%m%d %H:%M:%S.%f"
# Shorter waits are not shown; planning alone takes some milliseconds.
SHOWN_WAIT_MIN_S = 0.05


@dataclass(slots=True, frozen=True)
class LogEvent:
    """An event in a log.

    Attributes
    ----------
    timestamp : str
        Month, day and time of day; sorts in time order within a year.
    name : str
        Name of the event.
    fields : dict of str to str
        Fields by key.
    """

    timestamp: str
    name: str
    fields: dict[str, str]


@dataclass(slots=True, frozen=True)
class RunTimeline:
    """Events of one run of a task, in time order."""

    number: int
    events: list[LogEvent] = field(default_factory=list)


@dataclass(slots=True)
class JobTimeline:
    """Events of one job and its runs.

    Attributes
    ----------
    events : list of LogEvent
        Events of the job itself.
    tasks : dict of str to dict of int to RunTimeline
        Runs by task and number.
    """

    job_id: str
    events: list[LogEvent] = field(default_factory=list)
    tasks: dict[str, dict[int, RunTimeline]] = field(default_factory=dict)

    def text(self) -> str:
        """Return the timeline as text, one line per event."""
        lines = [f"job {self.job_id}"]
        lines += [
            f"  {_time_of_day(event)} {_describe_job(event)}" for event in self.events
        ]
        for task in sorted(self.tasks, key=_task_key):
            lines.append(f"  task {task}")
            for number in sorted(self.tasks[task]):
                for event in self.tasks[task][number].events:
                    lines.append(
                        f"    {_time_of_day(event)} run {number} {_describe_run(event)}"
                    )
        return "\n".join(lines)

    def document(self) -> dict:
        """Return the timeline as a JSON-compatible document."""
        return {
            "job": self.job_id,
            "events": [_event_document(event) for event in self.events],
            "tasks": {
                task: {
                    str(number): [_event_document(event) for event in run.events]
                    for number, run in runs.items()
                }
                for task, runs in self.tasks.items()
            },
        }


def parse_line(line: str) -> LogEvent | None:
    """Return the event in a log line, or None."""
    _, found, text = line.partition("event=")
    if not found:
        return None
    timestamp = _TIMESTAMP.search(line)
    name, _, rest = text.strip().partition(" ")
    fields = {key: _unquote(value) for key, value in _FIELD.findall(rest)}
    return LogEvent(f"{timestamp[1]} {timestamp[2]}" if timestamp else "", name, fields)


def parse_events(line: str) -> list[LogEvent]:
    """Return the events in a log line, of which some lines have several."""
    event = parse_line(line)
    if event is None:
        return []
    scope, _, kind = event.name.partition(".")
    if scope != "runs" or "runs" not in event.fields:
        return [event]
    return [
        LogEvent(_subtract_ms(event.timestamp, age_ms), f"run.{kind}", fields)
        for age_ms, fields in read_runs(kind, event.fields["runs"])
    ]


def _subtract_ms(timestamp: str, age_ms: int) -> str:
    if not timestamp:
        return timestamp
    at = datetime.strptime(_TIMESTAMP_YEAR + timestamp, _TIMESTAMP_FORMAT)
    earlier = at - timedelta(milliseconds=age_ms)
    return earlier.strftime(_TIMESTAMP_FORMAT.removeprefix("%Y"))


def _unquote(value: str) -> str:
    return json.loads(value) if value.startswith('"') else value


def read_job_timeline(job_id: str, lines: Iterable[str]) -> JobTimeline:
    """Build the timeline of a job from the lines of all daemons' logs.

    Parameters
    ----------
    job_id : str
        Id of the job.
    lines : iterable of str
        Lines in any order; those of other jobs are skipped.

    Raises
    ------
    CliError
        If no line mentions the job.
    """
    timeline = JobTimeline(job_id)
    events = [event for line in lines if job_id in line for event in parse_events(line)]
    for event in sorted(events, key=lambda event: event.timestamp):
        _add_event(timeline, event)
    if not timeline.events and not timeline.tasks:
        raise CliError(f"no log line mentions job {job_id}")
    return timeline


def _add_event(timeline: JobTimeline, event: LogEvent) -> None:
    run = _RUN.fullmatch(event.fields.get("run", ""))
    if run is None:
        timeline.events.append(event)
    elif run["job"] == timeline.job_id:
        number = int(run["number"])
        runs = timeline.tasks.setdefault(run["task"], {})
        runs.setdefault(number, RunTimeline(number)).events.append(event)


def _task_key(task: str) -> tuple[int, ...]:
    return tuple(int(part) for part in task.split(".")[1:])


def _time_of_day(event: LogEvent) -> str:
    return event.timestamp[5:17] or "--:--:--.---"


def _event_document(event: LogEvent) -> dict:
    return {"at": event.timestamp, "event": event.name} | event.fields


def _describe_job(event: LogEvent) -> str:
    fields = event.fields
    match event.name:
        case "job.submitted":
            return f"submitted to queue {fields.get('queue')}: {fields.get('outcome')}"
        case "job.ended":
            return (
                f"{fields.get('phase')} after {fields.get('took_s')} s; "
                f"on time within {fields.get('objective_s')} s"
            )
        case "job.cancel-asked":
            return f"cancellation asked for: {fields.get('outcome')}"
        case "job.cancelled":
            return f"cancelled with {fields.get('runs')} runs at work"
        case _:
            return _describe_other(event)


def _describe_run(event: LogEvent) -> str:
    fields = event.fields
    worker = fields.get("worker")
    match event.name:
        case "run.placed":
            waited_s = float(fields.get("waited_s", 0))
            waited = f", {waited_s:.3f} s after the job arrived"
            return f"placed on {worker}{waited if waited_s >= SHOWN_WAIT_MIN_S else ''}"
        case "run.ended":
            return f"{fields.get('how')} on {worker} after {fields.get('took_s')} s"
        case "run.moved":
            return f"stopped on {worker} to go on elsewhere: slowed by its pace"
        case "run.evicted" | "run.lost":
            # Earlier builds logged the evidence of a lost run as `why`.
            why = fields.get("why", fields.get("evidence"))
            return f"{event.name[4:]} on {worker}: {why}"
        case "run.restarted":
            return (
                f"replaces run {fields.get('former')} on {fields.get('former_worker')}:"
                f" {fields.get('evidence')}, {fields.get('evidence_age_s')} s before"
            )
        case "run.answered-late":
            return f"answered by {worker} {fields.get('took_s')} s after the decision"
        case "run.stalled":
            return f"stopped on {worker}: no progress at {fields.get('percent')} %"
        case "run.ended-after-drop":
            return (
                f"{fields.get('how')} on {worker} after it was dropped: "
                f"{fields.get('evidence')}, {fields.get('evidence_age_s')} s before"
            )
        case "run.refused":
            return f"refused by {worker}: {fields.get('reason')}"
        case "run.adopted":
            return f"taken over on {worker} by a new leader"
        case "run.unwanted":
            return f"stopped on {worker}: another run counts"
        case _:
            return _describe_other(event)


def _describe_other(event: LogEvent) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in event.fields.items())
    return f"{event.name} {pairs}".rstrip()
