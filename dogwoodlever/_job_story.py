"""Account of a job on the platform, read from the logs of its daemons."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from dogwoodlever.cli_errors import CliError

# The prefix of `absl.logging`: month and day, then the time.
_STAMP = re.compile(r"[IWEF](\d{4}) (\d\d:\d\d:\d\d\.\d+)")
_PAIR = re.compile(r'(\S+?)=("(?:[^"\\]|\\.)*"|\S+)')
_RUN = re.compile(r"(?P<task>(?P<job>.+)\.\d+\.\d+\.\d+)#(?P<number>\d+)")
# A wait that is worth a remark; a plan begins within some milliseconds.
WAIT_MIN_S = 0.05


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One line of a log.

    Attributes
    ----------
    stamp : str
        Month, day and time of day, which sorts lines of a few days.
    name : str
        The event.
    fields : dict of str to str
        Its fields by key.
    """

    stamp: str
    name: str
    fields: dict[str, str]


@dataclass(slots=True, frozen=True)
class RunStory:
    """One run of a task, in the order of what happened to it."""

    number: int
    events: list[LogEvent] = field(default_factory=list)


@dataclass(slots=True)
class JobStory:
    """What the logs tell of one job.

    Attributes
    ----------
    events : list of LogEvent
        Events of the job itself.
    tasks : dict of str to dict of int to RunStory
        Runs by task and number.
    """

    job_id: str
    events: list[LogEvent] = field(default_factory=list)
    tasks: dict[str, dict[int, RunStory]] = field(default_factory=dict)

    def text(self) -> str:
        """Return the account, one line an event."""
        lines = [f"job {self.job_id}"]
        lines += [f"  {_clock(event)} {_job_line(event)}" for event in self.events]
        for task in sorted(self.tasks, key=_task_key):
            lines.append(f"  task {task}")
            for number in sorted(self.tasks[task]):
                for event in self.tasks[task][number].events:
                    lines.append(f"    {_clock(event)} run {number} {_run_line(event)}")
        return "\n".join(lines)

    def document(self) -> dict:
        """Return the account for programs to read."""
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
    """Return the event that a line tells, None if it tells none."""
    _, found, text = line.partition("event=")
    if not found:
        return None
    stamp = _STAMP.search(line)
    name, _, rest = text.strip().partition(" ")
    fields = {key: _plain(value) for key, value in _PAIR.findall(rest)}
    return LogEvent(f"{stamp[1]} {stamp[2]}" if stamp else "", name, fields)


def _plain(value: str) -> str:
    return json.loads(value) if value.startswith('"') else value


def read_job(job_id: str, lines: Iterable[str]) -> JobStory:
    """Collect the account of a job from the lines of all daemons' logs.

    Parameters
    ----------
    job_id : str
        The job.
    lines : iterable of str
        Lines in any order; those of other jobs are left out.

    Raises
    ------
    CliError
        If no line is about the job.
    """
    story = JobStory(job_id)
    events = [parse_line(line) for line in lines if job_id in line]
    known = [event for event in events if event is not None]
    for event in sorted(known, key=lambda event: event.stamp):
        _take(story, event)
    if not story.events and not story.tasks:
        raise CliError(f"no line of the logs is about job {job_id}")
    return story


def _take(story: JobStory, event: LogEvent) -> None:
    run = _RUN.fullmatch(event.fields.get("run", ""))
    if run is None:
        story.events.append(event)
    elif run["job"] == story.job_id:
        number = int(run["number"])
        runs = story.tasks.setdefault(run["task"], {})
        runs.setdefault(number, RunStory(number)).events.append(event)


def _task_key(task: str) -> tuple[int, ...]:
    return tuple(int(part) for part in task.split(".")[1:])


def _clock(event: LogEvent) -> str:
    return event.stamp[5:17] or "--:--:--.---"


def _event_document(event: LogEvent) -> dict:
    return {"at": event.stamp, "event": event.name} | event.fields


def _job_line(event: LogEvent) -> str:
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
            return _other_line(event)


def _run_line(event: LogEvent) -> str:
    fields = event.fields
    worker = fields.get("worker")
    match event.name:
        case "run.placed":
            waited_s = float(fields.get("waited_s", 0))
            waited = f", {waited_s:.3f} s after the job arrived"
            return f"placed on {worker}{waited if waited_s >= WAIT_MIN_S else ''}"
        case "run.ended":
            return f"{fields.get('how')} on {worker} after {fields.get('took_s')} s"
        case "run.moved":
            return f"stopped on {worker} to go on elsewhere: slowed by its pace"
        case "run.evicted" | "run.lost":
            return f"{event.name[4:]} on {worker}: {fields.get('why')}"
        case "run.stalled":
            return f"stopped on {worker}: no progress at {fields.get('percent')} %"
        case "run.refused":
            return f"refused by {worker}: {fields.get('reason')}"
        case "run.adopted":
            return f"taken over on {worker} by a new leader"
        case "run.unwanted":
            return f"stopped on {worker}: another run counts"
        case _:
            return _other_line(event)


def _other_line(event: LogEvent) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in event.fields.items())
    return f"{event.name} {pairs}".rstrip()
