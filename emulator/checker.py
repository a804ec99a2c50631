"""Checks of the logs of an emulation: ``python -m emulator.checker FOLDER``."""

import bisect
import itertools
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from emulator.acks_reader import LAG_MIN_S, AcksReader
from emulator.fields_check import FieldsCheck, FieldsVersion, TaskRun
from emulator.service_check import LoggedStart, ServiceCheck
from standins.changing_queues import SERVICE
from standins.configuration_check import (
    ConfigurationCheck,
    QueueAnswer,
    ShownStart,
)
from standins.faulty_proxy import LinkFault
from standins.limits_check import LimitAnswer, LimitsCheck
from standins.pending_check import PendingCheck

# Lags and faults within this time before a second start are part of its finding.
NEAR_S = 15.0
LAG_NEAR_S = 7.0
# An order that a worker carries out within this time of a lag of its own may be late.
LATE_NEAR_S = 1.0
TOKENS_PER_TERM_MAX = 1_000_000
# Longest time from SIGTERM to the end of a daemon.
GRACE_S = 6.0
# A request that is cut within this time of being sent may have crossed the end of its
# connection.
CUT_SLACK_S = 0.2
# Kind of the jobs whose tasks last.
LASTING_KIND = "watch"
# Failed runs that each queue allows a task, at least.
ATTEMPTS_MIN = 3
# Faults of a daemon, or of its link to the store, and what ends them.
DISTURBANCES = {
    "kill": "daemon-start",
    "terminate": "daemon-start",
    "freeze": "thaw",
    "cut-store": "cut-store-over",
}
STORE_DISTURBANCES = {
    "store-slow": "store-slow-over",
    "store-lost": "store-lost-over",
    "store-deaf": "store-deaf-over",
}
# Differences of this size are below the resolution of the logs.
OVERLAP_MIN_S = 0.001


@dataclass(slots=True)
class LoggedRun:
    """A run in the logs of the workers; it has not ended while `end_s` is infinite."""

    worker: str
    born: int
    number: int
    start_s: float
    token: int
    is_late: bool
    process: str
    end_s: float = float("inf")
    outcome: str = ""
    end_number: int = 0
    is_acknowledged: bool = False

    @property
    def has_failed(self) -> bool:
        """Whether it has failed, as the leader knows."""
        return self.outcome == "failed" and self.is_acknowledged

    def __str__(self) -> str:
        late = " by a late order" if self.is_late else ""
        noted = " (acknowledged)" if self.is_acknowledged else ""
        return (
            f"run {self.number} at {self.worker}/{self.born} of {self.process} with "
            f"token {self.token}: {self.start_s:.3f}{late} to {self.end_s:.3f} "
            f"{self.outcome}{noted}"
        )


@dataclass(slots=True)
class CheckResult:
    """Findings and counts of the logs of one run."""

    findings: list[str] = field(default_factory=list)
    summary: str = ""


def read_rows(folder: Path, pattern: str) -> list[tuple[float, str, dict, str]]:
    """Return the rows of all logs of a pattern by time, with the log's name."""
    decode = msgspec.json.Decoder().decode
    rows = []
    for path in sorted(folder.glob(pattern)):
        for line in path.read_bytes().splitlines():
            try:
                rows.append((*decode(line), path.stem))
            except msgspec.DecodeError:
                # The last line of a process that was ended.
                continue
    return sorted(rows, key=lambda row: row[0])


class EmulatedChecker:
    """Finds the tasks that ran twice in the logs of a run.

    Parameters
    ----------
    folder : Path
        Folder of the logs.
    """

    def __init__(self, folder: Path) -> None:
        self.rows = read_rows(folder, "*.jsonl")
        self.runs: dict[str, list[LoggedRun]] = defaultdict(list)
        self.counts: Counter = Counter()
        self._copied: set[tuple[str, int]] = set()
        self._kinds: dict[str, str] = {}
        self.leaders = LeaderLog()
        self.completed_s: dict[str, float] = {}
        self._failed: set[str] = set()
        self._job_counts: dict[str, list[int]] = {}

    def check(self) -> CheckResult:
        """Return the findings."""
        self._read()
        findings = []
        for task, runs in self.runs.items():
            if not self._has_copies(task):
                findings.extend(self._check_task(task, runs))
        findings.extend(self._check_completed())
        findings.extend(self._check_cuts())
        findings.extend(self._check_failed())
        configurations, limits, pending, fields = read_configurations(self.rows)
        findings.extend(configurations.check())
        findings.extend(limits.check())
        self.counts["limits_judged"] = limits.judged
        findings.extend(pending.check())
        self.counts["pending_judged"] = pending.judged
        findings.extend(fields.check())
        findings.extend(self._check_attempts(fields))
        self.counts["timeouts_judged"] = fields.judged_timeouts
        self.counts["budgets_judged"] = fields.judged_tasks
        findings.extend(self._check_services(configurations))
        self.counts["configurations_judged"] = configurations.judged
        self.counts["starts_showing_versions"] = configurations.shown_starts
        acks = AcksReader()
        acks.read(self.rows)
        findings.extend(acks.check.check(acks.until_s))
        counts = " ".join(f"{name}={self.counts[name]}" for name in sorted(self.counts))
        summary = (
            f"{counts} {acks.check.summary(acks.until_s)} {configurations.summary()} "
            f"configuration_lag={configurations.lag_max_s:.3f} "
            f"lapsed_gap={self._least_gap_s():.3f} {self._lags()}"
        )
        return CheckResult(findings, summary)

    def _least_gap_s(self) -> float:
        """Return the least time from a run that lapsed to its task's next start."""
        gaps = [
            run.start_s - former.end_s
            for task, runs in self.runs.items()
            for former, run in itertools.pairwise(runs)
            if former.outcome == "lapsed" and not self._has_copies(task)
        ]
        return min(gaps, default=float("inf"))

    def _has_copies(self, task: str) -> bool:
        """Return whether several runs of a task are allowed."""
        job, _, step, _ = task.rsplit(".", 3)
        return (job, int(step)) in self._copied

    def _read(self) -> None:
        open_runs: dict[tuple, LoggedRun] = {}
        by_life: dict[tuple, dict[int, LoggedRun]] = defaultdict(dict)
        for time_s, event, fields, process in self.rows:
            life = fields.get("worker"), fields.get("born")
            if event == "start":
                run = LoggedRun(
                    *life, fields["run"], time_s, fields["token"], fields["late"],
                    process,
                )  # fmt: skip
                self.runs[fields["task"]].append(run)
                open_runs[(*life, fields["task"], run.number)] = run
                self.counts["starts"] += 1
                self.counts["late_starts"] += run.is_late
            elif event == "end":
                run = open_runs.pop((*life, fields["task"], fields["run"]))
                run.end_s, run.outcome = time_s, fields["outcome"]
                run.end_number = fields["number"]
                by_life[life][run.end_number] = run
                self.counts[f"ended_{run.outcome}"] += 1
            elif event == "ack":
                ended = by_life[life]
                for number in [n for n in ended if n <= fields["number"]]:
                    ended.pop(number).is_acknowledged = True
            elif event == "lapse":
                # Ends that are acknowledged after a lapse do not count.
                by_life[life].clear()
            elif event == "down":
                by_life.pop(life, None)
                for key in [key for key in open_runs if key[:2] == life]:
                    run = open_runs.pop(key)
                    run.end_s, run.outcome = time_s, "crashed"
            elif event == "leader":
                self.leaders.add(time_s, fields["revision"], fields["member"])
            elif event == "submit":
                self._copied.update((fields["job"], step) for step in fields["copies"])
                self._job_counts[fields["job"]] = fields["counts"]
                self._kinds[fields["job"]] = fields.get("kind", "")
                self.counts["jobs"] += 1
            elif event == "submitted":
                self.counts["accepted"] += fields["status"] == 200
            elif event == "state":
                self.counts[fields["state"]] += 1
                if fields["state"] == "failed":
                    self._failed.add(fields["job"])
                if fields["state"] == "completed":
                    self.completed_s[fields["job"]] = time_s
            elif event == "over-rate":
                self.counts["over_rate"] += 1
            elif event == "ended-by-itself":
                self.counts["ended_by_itself"] += 1

    def _check_task(self, task: str, runs: list[LoggedRun]) -> list[str]:
        findings = []
        for index, run in enumerate(runs):
            for former in runs[:index]:
                overlap_s = min(run.end_s, former.end_s) - run.start_s
                is_done = former.outcome == "done" and former.is_acknowledged
                if overlap_s > OVERLAP_MIN_S:
                    what = f"two runs for {overlap_s:.3f} s"
                elif former.end_s <= run.start_s and is_done:
                    what = f"start {run.start_s - former.end_s:.3f} s after its end"
                else:
                    continue
                findings.append(self._describe(task, what, former, run))
        return findings

    def _check_completed(self) -> list[str]:
        findings = []
        for job, time_s in self.completed_s.items():
            for step, count in enumerate(self._job_counts[job]):
                done = sum(
                    any(
                        run.outcome == "done" and run.end_s <= time_s
                        for run in self.runs.get(f"{job}.0.{step}.{index}", ())
                    )
                    for index in range(count)
                )
                if done < count:
                    findings.append(f"MIXED: {job} completed, step {step}: {done} done")
        return findings

    def _check_failed(self) -> list[str]:
        """Find jobs that are shown as failed although no task has used its attempts."""
        failures: Counter = Counter()
        for task, runs in self.runs.items():
            job = task.partition(".")[0]
            if job in self._failed:
                # A task that crashes its workers is given up as well.
                count = sum(run.outcome in ("failed", "crashed") for run in runs)
                failures[job] = max(failures[job], count)
        return [
            f"LOST: {job} is shown as failed after {failures[job]} failures of a task"
            for job in sorted(self._failed)
            if failures[job] < ATTEMPTS_MIN
        ]

    def _check_attempts(self, check: FieldsCheck) -> list[str]:
        """Find starts beyond the attempts of a queue; lasting tasks have no limit."""
        findings = []
        for task, runs in self.runs.items():
            place = self._kinds.get(task.partition(".")[0], "")
            if not place or place == LASTING_KIND or self._has_copies(task):
                continue
            rows = [
                TaskRun(run.start_s, run.end_s if run.has_failed else None)
                for run in runs
                if not run.is_late
            ]
            findings.extend(check.check_task(task, place, rows))
        return findings

    def _check_cuts(self) -> list[str]:
        """Find requests without a response that were cut by a daemon's stop."""
        findings = []
        # Time of the last SIGTERM of each daemon that nothing has disturbed since.
        stops_s: dict[int, float] = {}
        late_s: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for time_s, event, fields, process in self.rows:
            if event == "lag":
                late_s[process].append((time_s, fields["late_s"]))
            elif event == "fault" and "daemons" in fields:
                is_stop = fields["fault"] == "terminate"
                is_disturbance = fields["fault"] in ("kill", "freeze")
                for daemon in fields["daemons"]:
                    if is_stop:
                        stops_s[daemon] = time_s
                    elif is_disturbance:
                        stops_s.pop(daemon, None)
            elif event == "cut":
                sent_s = fields["sent_s"]
                own_late_s = sum(late for at, late in late_s[process] if at > sent_s)
                open_s = time_s - sent_s - own_late_s
                stop_s = stops_s.get(fields["daemon"], float("-inf"))
                if open_s > CUT_SLACK_S and time_s - stop_s < GRACE_S:
                    findings.append(
                        f"LOST: {fields['path']} cut {open_s:.3f} s after it was sent, "
                        f"{time_s - stop_s:.3f} s after SIGTERM of vm{fields['daemon']}"
                    )
        return findings

    def _check_services(self, configurations: ConfigurationCheck) -> list[str]:
        """Find starts on workers of a service that a queue has left."""
        check, lags, starts = ServiceCheck(), Lags(self.rows), []
        for time_s, event, fields, process in self.rows:
            if event == "configuration":
                check.add_version(time_s, fields["queues"], fields.get("services", {}))
            elif event == "up":
                check.add_worker(fields["worker"], fields.get("service", SERVICE))
            elif event == "submit":
                check.add_job(fields["job"], fields.get("kind", ""))
            elif event == "start":
                # A worker that is late itself carries out orders late.
                late_s = lags.sum_s(process, time_s - LATE_NEAR_S, time_s)
                if fields["late"] or late_s > LAG_MIN_S:
                    continue
                _, leader = self.leaders.find(fields["token"])
                starts.append(
                    LoggedStart(fields["task"], fields["worker"], time_s, leader)
                )
        findings = check.check(starts, configurations)
        self.counts["services_judged"] = check.judged
        return findings

    def _describe(self, task, what, former: LoggedRun, run: LoggedRun) -> str:
        lines = [f"TWICE: {task}: {what}"]
        for each in (former, run):
            lines.append(f"    {each}; leader {self.leaders.find(each.token)[1]}")
        lines.extend(self._find_context(task, former, run))
        return "\n".join(lines)

    def _find_context(self, task: str, former: LoggedRun, run: LoggedRun) -> list[str]:
        lines = []
        ids = (former.worker, run.worker)
        slots = {int(worker[1:4]) for worker in ids}
        first_s = min(former.start_s, run.start_s - NEAR_S)
        for time_s, event, fields, process in self.rows:
            if not first_s <= time_s <= run.start_s + 1.0:
                continue
            is_own_task = fields.get("task") == task
            is_own_worker = fields.get("worker") in ids and event in (
                "up", "down", "lapse", "token",
            )  # fmt: skip
            is_late = event == "lag" and fields["late_s"] > LAG_MIN_S
            targets = fields.get("workers")
            is_fault = event == "fault" and (
                not isinstance(targets, list) or slots & set(targets)
            )
            if is_late and time_s < run.start_s - LAG_NEAR_S:
                continue
            if is_own_task or is_own_worker or is_late or is_fault or event == "leader":
                if isinstance(targets, list):
                    fields = fields | {"workers": sorted(slots & set(targets))}
                lines.append(f"    {time_s:.3f} {process} {event} {fields}"[:240])
        return lines

    def _lags(self) -> str:
        lags: dict[str, list[float]] = defaultdict(list)
        for _, event, fields, process in self.rows:
            if event == "lag":
                lags[process].append(fields["late_s"])
        return " ".join(
            f"lag[{process}]=max {max(values):.2f},"
            f"over0.1:{sum(value > LAG_MIN_S for value in values)}"
            for process, values in sorted(lags.items())
        )


class LeaderLog:
    """The leaders by their fencing tokens."""

    def __init__(self) -> None:
        self._rows: list[tuple[float, int, str]] = []

    def add(self, elected_s: float, revision: int, member: str) -> None:
        """Add a write of the leader's record; `member` is empty if it was removed."""
        self._rows.append((elected_s, revision, member))

    def find(self, token: int) -> tuple[float, str]:
        """Return when a token's leader was elected, and the name of its daemon."""
        for elected_s, revision, member in self._rows:
            if member and revision in (token, token // TOKENS_PER_TERM_MAX):
                return elected_s, member.partition("@")[0]
        return 0.0, "unknown"


class Lags:
    """For how long each process was late, and when."""

    def __init__(self, rows) -> None:
        self._lags: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for time_s, event, fields, process in rows:
            if event == "lag":
                self._lags[process].append((time_s, fields["late_s"]))

    def sum_s(self, process: str, begun_s: float, ended_s: float) -> float:
        """Return for how long a process was late in a time."""
        lags = self._lags[process]
        # A lag is noted a moment after calls that were late with it.
        first = bisect.bisect_left(lags, (begun_s, 0.0))
        last = bisect.bisect_right(lags, (ended_s + LAG_MIN_S, 0.0))
        return sum(late_s for _, late_s in lags[first:last])


def read_configurations(
    rows,
) -> tuple[ConfigurationCheck, LimitsCheck, PendingCheck, FieldsCheck]:
    """Return the checks of the versions that were written and of the answers."""
    check = ConfigurationCheck()
    queue_fields = FieldsCheck(check)
    limits = LimitsCheck(check)
    pending = PendingCheck(check)
    # Times at which each daemon's process was started.
    started_s: dict[int, list[float]] = defaultdict(list)
    lags = Lags(rows)
    starts = StartReader(check, started_s)
    for time_s, event, fields, process in rows:
        starts.read(time_s, event, fields)
        if event == "configuration":
            check.add_version(
                fields["version"], time_s, fields["queues"], fields.get("services")
            )
            limits.add_version(fields["version"], fields.get("limits", {}))
            queue_fields.add_version(
                FieldsVersion(
                    time_s, fields.get("attempts", {}), fields.get("timeouts_ms", {})
                )
            )
            if fields.get("form"):
                check.add_form(time_s, f"valid: {fields['form']}")
        elif event == "invalid-configuration":
            check.add_invalid(time_s, fields["form"])
        elif event == "daemon-start":
            daemon = fields["daemon"]
            started_s[daemon].append(time_s)
            for cause in ("kill", "terminate", "start"):
                check.begin_disturbance(cause, time_s, f"vm{daemon}")
                check.end_disturbance(cause, time_s, f"vm{daemon}")
        elif event == "answer":
            daemon, sent_s = fields["daemon"], fields["sent_s"]
            answer = QueueAnswer(
                f"vm{daemon}",
                bisect.bisect(started_s[daemon], sent_s),
                fields["queue"],
                sent_s,
                time_s,
                fields["status"],
                lags.sum_s(process, sent_s, time_s),
                fields.get("submits", False),
                fields.get("deadline_ms", 0),
            )
            if fields.get("limit"):
                limits.add_answer(LimitAnswer(fields["limit"], fields["size"], answer))
            else:
                check.add_answer(answer)
                queue_fields.add_answer(answer)
                if fields.get("pending", -1) >= 0:
                    pending.add_answer(answer, fields["pending"])
        elif event == "submit":
            pending.add_job(fields["job"], fields.get("kind", ""))
        elif event == "submitted" and fields["status"] == 200:
            pending.accept(fields["job"], time_s)
        elif event == "start":
            pending.leave(fields["task"].partition(".")[0], time_s)
        elif event in ("cancel", "state"):
            pending.leave(fields["job"], time_s)
        elif event == "silenced":
            check.add_silence(time_s)
        elif event == "fault":
            _read_disturbance(check, time_s, fields)
        elif (
            event == "lag"
            and process.startswith("store")
            and fields["late_s"] > LAG_MIN_S
        ):
            # The store answers late itself.
            check.begin_disturbance("lag", time_s - fields["late_s"])
            check.end_disturbance("lag", time_s)
    return check, limits, pending, queue_fields


class StartReader:
    """Reads which starts show a version at the daemon that ordered them.

    Parameters
    ----------
    check : ConfigurationCheck
        Check to which they are added.
    started_s : dict of int to list of float
        Times at which each daemon's process was started so far.
    """

    def __init__(
        self, check: ConfigurationCheck, started_s: dict[int, list[float]]
    ) -> None:
        self._check = check
        self._started_s = started_s
        self._leaders = LeaderLog()
        self._places: dict[str, str] = {}
        self._services: dict[str, str] = {}

    def read(self, time_s: float, event: str, fields: dict) -> None:
        """Read one row of the logs."""
        if event == "leader":
            self._leaders.add(time_s, fields["revision"], fields["member"])
        elif event == "up":
            self._services[fields["worker"]] = fields.get("service", SERVICE)
        elif event == "submit":
            self._places[fields["job"]] = fields.get("kind", "")
        elif event == "start" and not fields["late"]:
            self._add_start(time_s, fields)

    def _add_start(self, time_s: float, fields: dict) -> None:
        elected_s, leader = self._leaders.find(fields["token"])
        place = self._places.get(fields["task"].partition(".")[0], "")
        if not leader.startswith("vm") or not place:
            return
        started_s = self._started_s[int(leader[2:])]
        incarnation = len(started_s)
        if bisect.bisect(started_s, elected_s) < incarnation:
            # The process that ordered it has ended.
            return
        service = self._services.get(fields["worker"], SERVICE)
        self._check.add_start(ShownStart(leader, incarnation, place, service, time_s))


def _read_disturbance(check: ConfigurationCheck, time_s: float, fields: dict) -> None:
    fault = fields["fault"]
    for begin, end in DISTURBANCES.items():
        for daemon in fields.get("daemons", ()):
            if fault == begin and fields.get("how") == LinkFault.OPEN_SILENT:
                check.add_silence(time_s, f"vm{daemon}")
            elif fault == begin:
                check.begin_disturbance(begin, time_s, f"vm{daemon}")
            elif fault == end:
                check.end_disturbance(begin, time_s, f"vm{daemon}")
    for begin, end in STORE_DISTURBANCES.items():
        if fault == begin:
            check.begin_disturbance(begin, time_s)
        elif fault == end:
            check.end_disturbance(begin, time_s)


def check_logs(folder: Path) -> CheckResult:
    """Check the logs of one run."""
    return EmulatedChecker(folder).check()


if __name__ == "__main__":
    checked = check_logs(Path(sys.argv[1]))
    print("\n".join([*checked.findings, checked.summary]))
