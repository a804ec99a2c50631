"""A comparable summary of a model's state, with times relative to now."""

from collections import deque
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_records import (
    PREFIX,
    TERM_KEY,
    UNREACHABLE_WORKERS_KEY,
    decode_unreachable_workers,
)
from dogwoodlever._fleet_types import RunId, Step, TaskId, WorkerEntry
from dogwoodlever._fleet_workers import TOKENS_PER_TERM_MAX
from dogwoodlever._run_registry import RUNS_PER_TERM
from tests.exploration_model import Call

# Times further ahead count as equal; further back too, since decisions depend on past
# times only by their order within a poll.
AHEAD_MAX_S = 30.0
BACK_MAX_S = 4.0
# Digits of times in seconds.
TIME_DIGITS = 1
# Fields that affect no decision about the runs of the one task of the model.
IGNORED_NAMES = frozenset(
    {
        "_clock", "_crashes", "_faults", "_metrics", "_throttler", "_usage",
        "_worker_client", "_desired_state", "_revision", "_store", "job", "spec",
        "arrived_s", "percent", "progressed_s", "started_s", "version", "broken_s",
        "seen_clock_ms", "is_watched", "is_proven", "colocated_updated_s", "queue",
        "_term", "crashes", "lost_runs", "failed_on", "submitted_ms", "due_ms", "dirty",
        "_dropped", "progressed_clock_ms",
    }
)  # fmt: skip
# Numbers count by their order, and by their differences up to this one.
GAP_MAX = 50
RUN_NUMBER_NAMES = frozenset(
    {"_run_base", "failed_runs", "last_run", "latest_numbers", "number", "runs"}
)
TIMERS_IGNORED = frozenset({"_tick", "advance", "_answer_poll", "_choose_waiting"})


def _field_names(value) -> list[str]:
    kind = type(value)
    names = list(getattr(value, "__dict__", ()))
    names += getattr(kind, "__struct_fields__", ())
    for base in kind.__mro__:
        names += base.__dict__.get("__slots__", ())
    return [name for name in names if name not in IGNORED_NAMES]


def _relative(value_s: float, now_s: float) -> float:
    delta_s = max(-BACK_MAX_S, min(AHEAD_MAX_S, value_s - now_s))
    return round(delta_s, TIME_DIGITS)


class _Number(int):
    """A run number or a fencing token, of which only the order matters."""


class _RunNumber(_Number):
    """A number of a run, higher in each term."""


class _Token(_Number):
    """A fencing token, higher in each term."""


def _collect_numbers(value, found: dict[type, set[int]]) -> None:
    if isinstance(value, tuple):
        for item in value:
            _collect_numbers(item, found)
    elif isinstance(value, _Number):
        found[type(value)].add(int(value))


def _rank(value, ranks: dict[type, dict[int, int]]):
    if isinstance(value, tuple):
        return tuple(_rank(item, ranks) for item in value)
    if isinstance(value, _Number):
        return ranks[type(value)][int(value)]
    return value


def _rank_numbers(state: tuple) -> tuple:
    """Replace numbers by ranks, so that states under later leaders can be equal."""
    found: dict[type, set[int]] = {_RunNumber: set(), _Token: set()}
    _collect_numbers(state, found)
    ranks: dict[type, dict[int, int]] = {}
    for kind, numbers in found.items():
        rank, former = 0, None
        ranks[kind] = {}
        for number in sorted(numbers):
            rank += 0 if former is None else min(GAP_MAX, number - former)
            ranks[kind][number] = rank
            former = number
    return _rank(state, ranks)


class _Freezer:
    def __init__(self, model) -> None:
        self._model = model
        self.now_s = model.clock.seconds()
        self._seen: dict[int, int] = {}

    def freeze(self, value, name: str = "", clock_ms: int | None = None):
        if value is None or isinstance(value, (str, bytes, bool)):
            return value
        if isinstance(value, (int, float)):
            if name == "started_at_ms":
                # Identifies an incarnation.
                return value
            if name.endswith("_s") and value == value:
                return _relative(value, self.now_s)
            if name.endswith("_ms") and clock_ms is not None and value > 0:
                return _relative(value / 1000, clock_ms / 1000)
            if name in ("fencing_token", "token"):
                return _Token(value)
            if name in RUN_NUMBER_NAMES and value >= RUNS_PER_TERM:
                return _RunNumber(value)
            return value
        if isinstance(value, WorkerEntry):
            return value.worker_id, value.started_at_ms, value.port, value.cores_milli
        if isinstance(value, RunId):
            return value.task.index, _RunNumber(value.number)
        if isinstance(value, TaskId):
            return value.index
        if isinstance(value, Step):
            return None
        if isinstance(value, DelayedCall):
            return _relative(value.getTime(), self.now_s) if value.active() else 0
        if isinstance(value, (dict, list, tuple, set, frozenset, deque)):
            return self._freeze_collection(value, name, clock_ms)
        if not type(value).__module__.startswith(("dogwoodlever", "standins", "tests")):
            return None
        if isinstance(value, (Callable, Deferred)):
            return None
        return self._freeze_object(value, clock_ms)

    def _freeze_collection(self, value, name, clock_ms):
        if isinstance(value, dict):
            items = [
                (self.freeze(k, name), self.freeze(v, name, clock_ms))
                for k, v in value.items()
            ]
            return tuple(sorted(items, key=repr))
        items = [self.freeze(item, name, clock_ms) for item in value]
        if isinstance(value, (set, frozenset)):
            items.sort(key=repr)
        return tuple(items)

    def _freeze_object(self, value, clock_ms):
        if id(value) in self._seen:
            return self._seen[id(value)]
        self._seen[id(value)] = len(self._seen)
        entry = getattr(value, "entry", None)
        if entry is not None and hasattr(value, "evidence"):
            clock_ms = self._clock_ms(entry)
        return tuple(
            self.freeze(getattr(value, name), name, clock_ms)
            for name in _field_names(value)
        )

    def _clock_ms(self, entry) -> int:
        worker = self._model.workers.workers[entry.worker_id]
        return worker.clock_ms(self.now_s)


def freeze_state(model, point: str) -> int:
    """Return a hash of all that decides how the model goes on.

    Leaders are numbered from the last one on, since a row of them changes nothing by
    its length alone.
    """
    freezer = _Freezer(model)
    now_s = model.clock.seconds()
    last_number = len(model.leaders)
    leaders = []
    for leader in model.leaders:
        if not leader.is_closed:
            leaders.append(
                (
                    leader.number - last_number,
                    # Its jobs are not inherited.
                    leader.number == 1,
                    _Token(leader.token * TOKENS_PER_TERM_MAX),
                    _relative(leader.elected_s, now_s),
                    leader.contact_s is not None
                    and _relative(leader.contact_s + WORKER_LEASES_MAX_S, now_s),
                    freezer.freeze(leader.workers),
                    freezer.freeze(leader.membership._stored),
                    freezer.freeze(leader.membership._members),
                    freezer.freeze(leader.membership._former),
                )
            )
    workers = []
    for worker in model.workers.workers.values():
        clock_ms = worker.clock_ms(now_s)
        is_up = model.listening.get(worker.entry.port) is worker
        workers.append((is_up, freezer.freeze(worker, "", clock_ms)))

    def freeze_call(call):
        return (
            call.number - last_number,
            call.kind,
            freezer.freeze(call.entry),
            _Token(call.token),
            call.target is not None,
            call.is_answered,
            call.restarts_left,
            call.sent_to and call.sent_to.entry.started_at_ms,
            _relative(call.sent_s, now_s),
            freezer.freeze(call.details[:1]),
        )

    timers = [
        (
            _relative(call.getTime(), now_s),
            call.func.__qualname__,
            tuple(
                freeze_call(arg) if isinstance(arg, Call) else freezer.freeze(arg)
                for arg in call.args
            ),
        )
        for call in model.clock.calls
        if call.func.__name__ not in TIMERS_IGNORED
    ]
    words = tuple(
        int(word[1:]) - last_number if word[0] == "L" else word
        for word in point.split(" ")
        if not word.isdigit()
    )
    outcomes = [
        (number - last_number, kind, freezer.freeze(run), repr(sorted(counts.items())))
        for (number, kind, run), counts in model.outcomes.items()
        if not model.leaders[number - 1].is_closed
    ]
    cuts = [
        (port, kind, max(0, first_leader - last_number + 2))
        for port, (kind, first_leader) in sorted(model.cuts.items())
    ]
    state = (
        words,
        tuple(leaders),
        tuple(workers),
        tuple(map(freeze_call, (*model.calls, *model.held))),
        tuple(timers),
        tuple(record.value for record in model.entries.values()),
        freezer.freeze(model.crashed_s, "crashed_s"),
        tuple(cuts),
        tuple(sorted(outcomes, key=repr)),
        freezer.freeze(list(model.workers.tasks.values())),
        _freeze_inheritance(model, freezer),
    )
    return hash(_rank_numbers(state))


def _freeze_inheritance(model, freezer: _Freezer) -> tuple:
    """Return what decides how the next leaders begin."""
    now_s = freezer.now_s
    stopped_elected_s = model.stopped_elected_s
    stored = [
        _freeze_record(
            record.key,
            record.value,
            now_s - model.unreachable_seen_s.get(record.revision, now_s),
        )
        for _, record in sorted(model.records.records.items())
    ]
    writes = [
        _freeze_record(put.key, put.value, 0.0)
        for leader in model.leaders
        for _, puts, _ in leader.store.under_way
        for put in puts
    ]
    store_faults = [
        (leader.store.answers_to_lose, leader.store.commit_delay_s)
        for leader in model.leaders
        if not leader.is_closed
    ]
    return (
        model.row,
        model.is_electing,
        stopped_elected_s is not None and _relative(stopped_elected_s, now_s),
        freezer.freeze(model.progress),
        tuple(stored),
        tuple(writes),
        tuple(store_faults),
    )


def _freeze_record(key: str, value: bytes, age_s: float):
    """Return what a record of the leader tells its successor."""
    if not key.startswith(PREFIX) or key == TERM_KEY:
        return None
    if key != UNREACHABLE_WORKERS_KEY:
        return key, value
    waits_ms = decode_unreachable_workers(value).waits_ms
    return tuple(
        (worker_id, _relative(wait_ms / 1000, age_s))
        for worker_id, wait_ms in sorted(waits_ms.items())
    )
