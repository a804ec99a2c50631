"""Checkers of recorded histories, one for each guarantee.

They read only what the fakes and the callers recorded, no state of the daemons.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from dogwoodlever.routing import Outcome
from standins.backend_slots import BackendSlots, ServedRequest
from standins.worker_machine import Run


@dataclass(slots=True)
class Call:
    """A request that a caller sent, and its outcome.

    Attributes
    ----------
    body : str
        Identifies the work; a repeat with the same idempotency key has the same body.
    outcome : str
        Empty while the caller has no outcome.
    """

    body: str
    idempotent: bool
    sent_s: float
    outcome: str = ""
    answer: str | None = None
    is_repeat: bool = False


@dataclass(slots=True)
class Placement:
    """An attempt of a task and the worker that ran it."""

    worker: str
    data_centre: str
    run: Run


@dataclass(slots=True)
class Outage:
    """The time during which operators kept a data centre out of service."""

    data_centre: str
    from_s: float
    until_s: float


@dataclass(slots=True)
class History:
    """Records of one test run.

    Attributes
    ----------
    revisions : dict of str to list of int
        Configuration revisions in force, in order, by the daemon's member id.
    leaving_since_s : dict of str to float
        When the VM of a backend server was listed as leaving, by server.
    worker_cores : dict of str to float
        Cores of each worker.
    """

    now_s: float = 0.0
    calls: list[Call] = field(default_factory=list)
    served: list[ServedRequest] = field(default_factory=list)
    servers: list[BackendSlots] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    revisions: dict[str, list[int]] = field(default_factory=dict)
    leaving_since_s: dict[str, float] = field(default_factory=dict)
    worker_cores: dict[str, float] = field(default_factory=dict)


def check_slot_limits(history: History) -> list[str]:
    """Check that no backend server runs more requests than it has slots."""
    violations = []
    slots = {server.name: server.slots for server in history.servers}
    for server in history.servers:
        if server.overloads:
            violations.append(
                f"{server.name}: {server.overloads} requests beyond its slots"
            )
    events = []
    for served in history.served:
        ended_s = history.now_s if served.ended_s is None else served.ended_s
        events.append((served.started_s, 1, served.server))
        events.append((ended_s, 0, served.server))
    running: dict[str, int] = defaultdict(int)
    for at_s, is_start, server in sorted(events):
        running[server] += 1 if is_start else -1
        if running[server] > slots[server]:
            violations.append(f"{server}: {running[server]} requests at {at_s:.3f}")
    return violations


def check_core_limits(history: History) -> list[str]:
    """Check that no worker runs tasks beyond its cores."""
    violations = []
    events = []
    for placement in history.placements:
        cores = placement.run.order.planned_cores
        ended_s = _ended_s(placement, history)
        events.append((placement.run.started_s, 1, placement.worker, cores))
        events.append((ended_s, 0, placement.worker, cores))
    used: dict[str, float] = defaultdict(float)
    for at_s, is_start, worker, cores in sorted(events):
        used[worker] += cores if is_start else -cores
        if used[worker] > history.worker_cores[worker] + 1e-6:
            violations.append(f"{worker}: {used[worker]:g} cores at {at_s:.3f}")
    return violations


def _ended_s(placement: Placement, history: History) -> float:
    return history.now_s if placement.run.ended_s is None else placement.run.ended_s


def _placements_by_task(history: History) -> dict[str, list[Placement]]:
    tasks: dict[str, list[Placement]] = defaultdict(list)
    for placement in history.placements:
        tasks[placement.run.order.task_id].append(placement)
    for runs in tasks.values():
        runs.sort(key=lambda placement: placement.run.started_s)
    return tasks


def check_no_concurrent_attempts(history: History) -> list[str]:
    """Check that attempts of a task never overlap."""
    violations = []
    for task, runs in _placements_by_task(history).items():
        for before, after in zip(runs, runs[1:], strict=False):
            if _ended_s(before, history) > after.run.started_s + 1e-9:
                violations.append(
                    f"{task}: on {before.worker} and {after.worker} at "
                    f"{after.run.started_s:.3f}"
                )
    return violations


def check_resumed_once(history: History) -> list[str]:
    """Check that a stopped attempt is followed by one attempt from its checkpoint.

    No attempt runs twice. Except for standing tasks, whose ids start with ``standing``,
    none follows an attempt that finished or resumes beyond the work that was done.
    """
    violations = []
    for task, runs in _placements_by_task(history).items():
        attempts = [placement.run.order.attempt for placement in runs]
        if len(set(attempts)) != len(attempts):
            violations.append(f"{task}: attempts {attempts}")
        if task.startswith("standing"):
            continue
        for before, after in zip(runs, runs[1:], strict=False):
            if before.run.outcome == "finished":
                violations.append(f"{task}: ran again after it finished")
            if after.run.initial_progress_s > before.run.progress_s + 1e-6:
                violations.append(f"{task}: resumed beyond the work that was done")
    return violations


def check_checkpoints(history: History) -> list[str]:
    """Check that no work before the checkpoint of a stopped attempt is repeated."""
    violations = []
    for task, runs in _placements_by_task(history).items():
        for before, after in zip(runs, runs[1:], strict=False):
            stopped = before.run.outcome == "stopped"
            if stopped and after.run.initial_progress_s < before.run.progress_s - 1e-6:
                violations.append(f"{task}: lost work done on {before.worker}")
    return violations


def check_no_starts_while_out(history: History, grace_s: float = 3.0) -> list[str]:
    """Check that no task starts in a data centre that has been out for `grace_s`."""
    violations = []
    for outage in history.outages:
        for placement in history.placements:
            started_s = placement.run.started_s
            if placement.data_centre != outage.data_centre:
                continue
            if outage.from_s + grace_s < started_s < outage.until_s:
                violations.append(
                    f"{placement.run.order.task_id}: started in "
                    f"{placement.data_centre} "
                    f"{started_s - outage.from_s:.2f} s after it was taken out"
                )
    return violations


def check_answers(history: History) -> list[str]:
    """Check that each answer is complete and belongs to the caller's request."""
    return [
        f"{call.body}: got {call.answer!r}"
        for call in history.calls
        if call.answer is not None and not call.answer.endswith(f" ran {call.body}")
    ]


def check_not_run(history: History) -> list[str]:
    """Check that a request reported as not run by every call did not run."""
    outcomes: dict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        outcomes[call.body].add(call.outcome)
    ran = {served.request for served in history.served}
    return [
        f"{body}: reported as not run, but it ran"
        for body, reported in outcomes.items()
        if reported == {Outcome.NOT_RUN} and body in ran
    ]


def check_at_most_once(history: History) -> list[str]:
    """Check that a non-idempotent request runs at most once, repeats included."""
    runs: dict[str, int] = defaultdict(int)
    for served in history.served:
        runs[served.request] += 1
    bodies = {call.body for call in history.calls if not call.idempotent}
    return [f"{b}: ran {runs[b]} times" for b in sorted(bodies) if runs[b] > 1]


def check_leaving_servers(history: History, grace_s: float = 3.0) -> list[str]:
    """Check that a server that has been leaving for `grace_s` gets no requests."""
    return [
        f"{served.server}: received {served.request} while leaving"
        for served in history.served
        if served.started_s > history.leaving_since_s.get(served.server, 1e18) + grace_s
    ]


def check_revision_order(history: History) -> list[str]:
    """Check that no daemon reverts to an older configuration revision."""
    return [
        f"{member}: revisions {found}"
        for member, found in history.revisions.items()
        if found != sorted(found)
    ]


CHECKERS = (
    check_slot_limits,
    check_core_limits,
    check_no_concurrent_attempts,
    check_resumed_once,
    check_checkpoints,
    check_no_starts_while_out,
    check_answers,
    check_not_run,
    check_at_most_once,
    check_leaving_servers,
    check_revision_order,
)


def find_violations(history: History) -> list[str]:
    """Return the violations that all checkers find."""
    violations = []
    for checker in CHECKERS:
        violations.extend(f"{checker.__name__}: {f}" for f in checker(history))
    return violations
