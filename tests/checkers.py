"""Checkers of histories, one a promise; they know only the fakes' records."""

from collections import defaultdict
from dataclasses import dataclass, field

from dogwoodlever.routing import Outcome
from standins.backend_slots import BackendSlots, ServedRequest
from standins.worker_machine import Run


@dataclass(slots=True)
class Call:
    """What one caller sent and was told.

    Attributes
    ----------
    body : str
        Names the piece of work; a repeat under the same key has the same body.
    outcome : str
        Empty while the caller was told nothing.
    """

    body: str
    idempotent: bool
    sent_s: float
    outcome: str = ""
    answer: str | None = None
    repeat: bool = False


@dataclass(slots=True)
class Placement:
    """One attempt of a task and the worker that ran it."""

    worker: str
    data_centre: str
    run: Run


@dataclass(slots=True)
class Outage:
    """A data centre that operators took out, and until when."""

    data_centre: str
    from_s: float
    until_s: float


@dataclass(slots=True)
class History:
    """Records of one run.

    Attributes
    ----------
    revisions : dict of str to list of int
        Configuration revisions in force, in order, by daemon's incarnation.
    leaving : dict of str to float
        When a backend server's VM was listed as leaving.
    """

    now_s: float = 0.0
    calls: list[Call] = field(default_factory=list)
    served: list[ServedRequest] = field(default_factory=list)
    servers: list[BackendSlots] = field(default_factory=list)
    placed: list[Placement] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    revisions: dict[str, list[int]] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    core_rooms: dict[str, float] = field(default_factory=dict)


def check_slots(history: History) -> list[str]:
    """No backend server runs more requests than it has slots."""
    faults = []
    slots = {server.name: server.slots for server in history.servers}
    for server in history.servers:
        if server.overloads:
            faults.append(f"{server.name}: {server.overloads} requests over its slots")
    edges = []
    for served in history.served:
        ended_s = history.now_s if served.ended_s is None else served.ended_s
        edges.append((served.started_s, 1, served.server))
        edges.append((ended_s, 0, served.server))
    running: dict[str, int] = defaultdict(int)
    for at_s, is_start, server in sorted(edges):
        running[server] += 1 if is_start else -1
        if running[server] > slots[server]:
            faults.append(f"{server}: {running[server]} requests at {at_s:.3f}")
    return faults


def check_cores(history: History) -> list[str]:
    """No worker runs tasks beyond its cores."""
    faults = []
    edges = []
    for placed in history.placed:
        cores = placed.run.order.planned_cores
        ended_s = _end(placed, history)
        edges.append((placed.run.started_s, 1, placed.worker, cores))
        edges.append((ended_s, 0, placed.worker, cores))
    used: dict[str, float] = defaultdict(float)
    for at_s, is_start, worker, cores in sorted(edges):
        used[worker] += cores if is_start else -cores
        if used[worker] > history.core_rooms[worker] + 1e-6:
            faults.append(f"{worker}: {used[worker]:g} cores at {at_s:.3f}")
    return faults


def _end(placed: Placement, history: History) -> float:
    return history.now_s if placed.run.ended_s is None else placed.run.ended_s


def _by_task(history: History) -> dict[str, list[Placement]]:
    tasks: dict[str, list[Placement]] = defaultdict(list)
    for placed in history.placed:
        tasks[placed.run.order.task_id].append(placed)
    for runs in tasks.values():
        runs.sort(key=lambda placed: placed.run.started_s)
    return tasks


def check_one_place(history: History) -> list[str]:
    """No task runs in two places at once."""
    faults = []
    for task, runs in _by_task(history).items():
        for before, after in zip(runs, runs[1:], strict=False):
            if _end(before, history) > after.run.started_s + 1e-9:
                faults.append(
                    f"{task}: on {before.worker} and {after.worker} at "
                    f"{after.run.started_s:.3f}"
                )
    return faults


def check_resumed_once(history: History) -> list[str]:
    """A stopped attempt is followed by one attempt from its checkpoint.

    No attempt runs twice, and none follows one that finished, but for
    standing tasks, whose ids start with ``standing``.
    """
    faults = []
    for task, runs in _by_task(history).items():
        attempts = [placed.run.order.attempt for placed in runs]
        if len(set(attempts)) != len(attempts):
            faults.append(f"{task}: attempts {attempts}")
        if task.startswith("standing"):
            continue
        for before, after in zip(runs, runs[1:], strict=False):
            if before.run.outcome == "finished":
                faults.append(f"{task}: ran again after it finished")
            if after.run.initial_progress_s > before.run.progress_s + 1e-6:
                faults.append(f"{task}: resumed beyond the work that was done")
    return faults


def check_checkpoints(history: History) -> list[str]:
    """An attempt that was told to stop is resumed at exactly its checkpoint."""
    faults = []
    for task, runs in _by_task(history).items():
        for before, after in zip(runs, runs[1:], strict=False):
            stopped = before.run.outcome == "stopped"
            if stopped and after.run.initial_progress_s < before.run.progress_s - 1e-6:
                faults.append(f"{task}: lost work done on {before.worker}")
    return faults


def check_out(history: History, grace_s: float = 3.0) -> list[str]:
    """No task starts in a data centre some seconds after it was taken out."""
    faults = []
    for outage in history.outages:
        for placed in history.placed:
            started_s = placed.run.started_s
            if placed.data_centre != outage.data_centre:
                continue
            if outage.from_s + grace_s < started_s < outage.until_s:
                faults.append(
                    f"{placed.run.order.task_id}: started in {placed.data_centre} "
                    f"{started_s - outage.from_s:.2f} s after it was taken out"
                )
    return faults


def check_answers(history: History) -> list[str]:
    """Every answer is the whole answer to the caller's own request."""
    return [
        f"{call.body}: got {call.answer!r}"
        for call in history.calls
        if call.answer is not None and not call.answer.endswith(f" ran {call.body}")
    ]


def check_not_run(history: History) -> list[str]:
    """A request whose every call was told that it was not run, did not run."""
    outcomes: dict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        outcomes[call.body].add(call.outcome)
    ran = {served.request for served in history.served}
    return [
        f"{body}: told not run, but it ran"
        for body, told in outcomes.items()
        if told == {Outcome.NOT_RUN} and body in ran
    ]


def check_once(history: History) -> list[str]:
    """A non-idempotent request runs at most once, repeats included."""
    runs: dict[str, int] = defaultdict(int)
    for served in history.served:
        runs[served.request] += 1
    bodies = {call.body for call in history.calls if not call.idempotent}
    return [f"{b}: ran {runs[b]} times" for b in sorted(bodies) if runs[b] > 1]


def check_leaving(history: History, grace_s: float = 3.0) -> list[str]:
    """A backend server that leaves gets no new work after some seconds."""
    return [
        f"{served.server}: got {served.request} while leaving"
        for served in history.served
        if served.started_s > history.leaving.get(served.server, 1e18) + grace_s
    ]


def check_revisions(history: History) -> list[str]:
    """The configuration in force never reverts."""
    return [
        f"{member}: revisions {found}"
        for member, found in history.revisions.items()
        if found != sorted(found)
    ]


CHECKERS = (
    check_slots,
    check_cores,
    check_one_place,
    check_resumed_once,
    check_checkpoints,
    check_out,
    check_answers,
    check_not_run,
    check_once,
    check_leaving,
    check_revisions,
)


def find_violations(history: History) -> list[str]:
    """Return what all checkers find."""
    faults = []
    for checker in CHECKERS:
        faults.extend(f"{checker.__name__}: {f}" for f in checker(history))
    return faults
