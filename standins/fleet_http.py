"""HTTP resources that serve the fakes of `standins.fleet` to real daemons.

The store and each worker have a resource of their own, which follows the platform's
documentation as far as the fleet scheduler uses it and injects the faults that are
set on it.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import RunId, StartOrder
from dogwoodlever.platform._http_workers import decode_task, encode_task
from dogwoodlever.platform_errors import OrderRefusedError
from standins.fleet import FakeRun, FakeWorker, FakeWorkers
from standins.wire_store import WireCall, WireStore

# Interval at which a waiting call checks for changes.
POLL_S = 0.02

_REASONS = {
    RefusalReason.FENCED: "fence",
    RefusalReason.SUPERSEDED: "old",
    RefusalReason.EXPIRED: "late",
    RefusalReason.NO_ROOM: "room",
}


class JsonResource(Resource, ABC):
    """Resource whose requests and responses are JSON documents."""

    isLeaf = True

    def render(self, request):
        """Decode one request; `serve` calls `respond`, possibly later."""
        body = request.content.read()
        document = json.loads(body) if body else {}
        self.serve(request, request.path.decode(), document)
        return NOT_DONE_YET

    @abstractmethod
    def serve(self, request, path: str, document: dict) -> None:
        """Handle one request."""

    @staticmethod
    def respond(request, status: int, document: dict | None = None) -> None:
        """Write a response, unless the client has disconnected."""
        if request._disconnected or request.finished:
            return
        request.setResponseCode(status)
        request.setHeader("content-type", "application/json")
        request.write(json.dumps(document or {}).encode())
        request.finish()


class FleetStoreResource(JsonResource):
    """The platform's store over HTTP.

    Parameters
    ----------
    store : WireStore
        The store's calls.
    clock : IReactorTime
        Reactor clock.

    Attributes
    ----------
    is_busy : bool
        Every call gets status 503.
    delay_s : float
        Calls take effect and get their response after this delay.
    answers_to_lose : int
        How many of the next commits take effect without a response.
    commit_delay_s : float
        Delay before such a commit takes effect, if its condition still holds.
    """

    def __init__(self, store: WireStore, clock) -> None:
        super().__init__()
        self._store = store
        self._clock = clock
        self.is_busy = False
        self.delay_s = 0.0
        self.answers_to_lose = 0
        self.commit_delay_s = 0.0

    def compact(self) -> None:
        """Drop the history; watches from an older revision get status 410."""
        self._store.compact()

    def serve(self, request, path: str, document: dict) -> None:
        """Handle one call after `delay_s`."""
        name, _, argument = path.removeprefix("/-/").partition("/")
        query = {key.decode(): rows[0].decode() for key, rows in request.args.items()}
        call = WireCall(name, argument, query, document)
        if self.is_busy:
            self.respond(request, 503)
        elif self.delay_s:
            self._clock.callLater(self.delay_s, self._route, request, call)
        else:
            self._route(request, call)

    def _route(self, request, call: WireCall) -> None:
        if call.name == "kv-watch":
            self._watch(request, call)
        elif call.name == "kv-txn" and self.answers_to_lose:
            self.answers_to_lose -= 1
            self._clock.callLater(self.commit_delay_s, self._store.answer, call)
        else:
            self.respond(request, *self._store.answer(call))

    def _watch(self, request, call: WireCall) -> None:
        wait_s = int(call.query.get("wait_ms", "0")) / 1000
        until_s = self._clock.seconds() + wait_s

        def respond_when_changed() -> None:
            answer = self._store.answer(call)
            if answer is None and self._clock.seconds() >= until_s:
                answer = self._store.end_watch(call)
            if answer is not None:
                self.respond(request, *answer)
            elif not request._disconnected:
                self._clock.callLater(POLL_S, respond_when_changed)

        respond_when_changed()


class FleetWorkerResource(JsonResource):
    """One worker over HTTP, always in its latest incarnation.

    Parameters
    ----------
    workers : FakeWorkers
        All workers.
    worker_id : str
        Id of the served worker.
    refuses : callable
        Called with the worker and a start order; returns why it is refused, or None.

    Attributes
    ----------
    start_delays_s : list of float
        Delays of the next start orders, last first; such an order gets no response.
    """

    def __init__(
        self,
        workers: FakeWorkers,
        worker_id: str,
        clock,
        refuses: Callable[[FakeWorker, StartOrder], RefusalReason | None],
    ) -> None:
        super().__init__()
        self._workers = workers
        self._worker_id = worker_id
        self._clock = clock
        self._refuses = refuses
        self.start_delays_s: list[float] = []

    def serve(self, request, path: str, document: dict) -> None:
        """Handle one order or poll."""
        worker = self._workers.workers[self._worker_id]
        if request.getHeader("target-instance") != self._worker_id:
            self.respond(request, 421)
            return
        method = path.removeprefix("/-/")
        if method == "run-start" and self.start_delays_s:
            delay_s = self.start_delays_s.pop()
            self._clock.callLater(delay_s, self._start_late, document)
            return
        if document.get("fencing_token", 0) < worker.fencing_token:
            self._refuse(request, worker, RefusalReason.FENCED)
            return
        worker.fencing_token = document.get("fencing_token", 0)
        self._workers.advance()
        if method == "hold":
            self._hold(request, worker, document)
            return
        apply_order = {
            "run-start": self._start,
            "run-stop": self._stop,
            "pace": self._throttle,
        }[method]
        try:
            apply_order(worker, document)
        except OrderRefusedError as error:
            self._refuse(request, worker, error.reason)
            return
        self.respond(request, 200, self._clock_document(worker))

    def _clock_document(self, worker: FakeWorker) -> dict:
        return {"clock_ms": worker.clock_ms(self._clock.seconds())}

    def _refuse(self, request, worker: FakeWorker, reason: RefusalReason) -> None:
        document = self._clock_document(worker)
        self.respond(request, 409, document | {"reason": _REASONS[reason]})

    def _start_late(self, document: dict) -> None:
        worker = self._workers.workers[self._worker_id]
        if document["fencing_token"] < worker.fencing_token:
            return
        worker.fencing_token = document["fencing_token"]
        try:
            self._start(worker, document)
        except OrderRefusedError:
            return

    def _start(self, worker: FakeWorker, document: dict) -> None:
        run = RunId(decode_task(document["task"]), document["run"])
        order = StartOrder(run, document["spec"], document.get("last_checkpoint", ""))
        now_ms = worker.clock_ms(self._clock.seconds())
        self._workers.renew(worker, document["until_ms"])
        if worker.until_ms <= now_ms:
            raise OrderRefusedError(RefusalReason.EXPIRED)
        if run in worker.running:
            return
        if run.number <= worker.latest_numbers.get(run.task, 0):
            raise OrderRefusedError(RefusalReason.SUPERSEDED)
        refusal = self._refuses(worker, order)
        if refusal is not None:
            raise OrderRefusedError(refusal)
        self._workers.start(worker, order)

    def _stop(self, worker: FakeWorker, document: dict) -> None:
        run = RunId(decode_task(document["task"]), document["run"])
        latest_number = worker.latest_numbers.get(run.task, 0)
        worker.latest_numbers[run.task] = max(latest_number, run.number)
        if run in worker.running:
            self._workers.end(worker, worker.running[run], "stopped")

    def _throttle(self, _worker: FakeWorker, _document: dict) -> None:
        """Accept any speed limit; runs of this fake cause no interference."""

    def _hold(self, request, worker: FakeWorker, document: dict) -> None:
        if "until_ms" in document:
            self._workers.renew(worker, document["until_ms"])
        self._workers.acknowledge(worker, document.get("last_seen", 0))
        until_s = self._clock.seconds() + document.get("wait_ms", 0) / 1000

        def respond_when_ended() -> None:
            if worker.ended or self._clock.seconds() >= until_s:
                self.respond(request, 200, self._poll_document(worker))
            elif not request._disconnected:
                self._clock.callLater(POLL_S, respond_when_ended)

        respond_when_ended()

    def _poll_document(self, worker: FakeWorker) -> dict:
        now_s = self._clock.seconds()
        return self._clock_document(worker) | {
            "born": worker.entry.started_at_ms,
            "running": [_running_row(run, now_s) for run in worker.running.values()],
            "ended": [
                [
                    end.number,
                    encode_task(end.run.task),
                    end.run.number,
                    end.outcome,
                    end.checkpoint,
                ]
                for end in worker.ended[:500]
            ],
        }


def _running_row(run: FakeRun, now_s: float) -> list:
    percent = 100
    if run.duration_s:
        percent = min(99, int(100 * (now_s - run.started_s) / run.duration_s))
    name = encode_task(run.run.task)
    return [name, run.run.number, run.checkpoint, percent, 0]
