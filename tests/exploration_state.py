"""A comparable summary of a model's state, with times relative to now."""

from collections import deque
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_types import RunId, Step, TaskId, WorkerEntry
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
        "crashes", "lost_runs", "failed_on", "submitted_ms", "due_ms", "dirty",
        "_dropped", "progressed_clock_ms",
    }
)  # fmt: skip
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


class _Freezer:
    def __init__(self, model) -> None:
        self._model = model
        self._now_s = model.clock.seconds()
        self._seen: dict[int, int] = {}

    def freeze(self, value, name: str = "", clock_ms: int | None = None):
        if value is None or isinstance(value, (str, bytes, bool)):
            return value
        if isinstance(value, (int, float)):
            if name.endswith("_s") and value == value:
                return _relative(value, self._now_s)
            if name.endswith("_ms") and clock_ms is not None and value > 0:
                return _relative(value / 1000, clock_ms / 1000)
            return value
        if isinstance(value, WorkerEntry):
            return value.worker_id, value.started_at_ms, value.port, value.cores_milli
        if isinstance(value, RunId):
            return value.number
        if isinstance(value, (Step, TaskId)):
            return None
        if isinstance(value, DelayedCall):
            return _relative(value.getTime(), self._now_s) if value.active() else 0
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
                (self.freeze(k), self.freeze(v, name, clock_ms))
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
        return worker.clock_ms(self._now_s)


def freeze_state(model, point: str) -> int:
    """Return a hash of all that decides how the model goes on."""
    freezer = _Freezer(model)
    now_s = model.clock.seconds()
    leaders = []
    for leader in model.leaders:
        if not leader.is_closed:
            leaders.append(
                (
                    leader.number,
                    leader.contact_s is not None
                    and _relative(leader.contact_s + WORKER_LEASES_MAX_S, now_s),
                    freezer.freeze(leader.workers),
                    freezer.freeze(leader.membership._stored_ids),
                )
            )
    workers = []
    for worker in model.workers.workers.values():
        clock_ms = worker.clock_ms(now_s)
        is_up = model.listening.get(worker.entry.port) is worker
        workers.append((is_up, freezer.freeze(worker, "", clock_ms)))

    def freeze_call(call):
        return (
            call.number,
            call.kind,
            freezer.freeze(call.entry),
            call.token,
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
    words = point.split(" ")
    return hash(
        (
            tuple(word for word in words if not word.isdigit()),
            tuple(leaders),
            tuple(workers),
            tuple(map(freeze_call, (*model.calls, *model.held))),
            tuple(timers),
            tuple(record.value for record in model.entries.values()),
            freezer.freeze(model.crashed_s, "crashed_s"),
            repr(sorted(model.cuts.items())),
            repr(sorted(model.outcomes.items(), key=repr)),
            freezer.freeze(list(model.workers.tasks.values())),
        )
    )
