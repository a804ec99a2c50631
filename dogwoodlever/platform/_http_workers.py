"""HTTP client of the workers."""

from functools import partial
from typing import Annotated

import msgspec
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionRefusedError

from dogwoodlever._fleet_interfaces import FleetWorkerClient, RefusalReason
from dogwoodlever._fleet_types import (
    EndedRun,
    PollResult,
    RunId,
    RunningRun,
    StartOrder,
    TaskId,
    WorkerEntry,
)
from dogwoodlever._http_client import HttpClient, NoLabelledConnectionError
from dogwoodlever._proven_connections import (
    connection_label,
    has_poll_effect,
    send_proven,
)
from dogwoodlever.platform._wire_json import INT64_MAX, Amount, decode_json
from dogwoodlever.platform_errors import (
    ConnectionRefusedByWorkerError,
    OrderRefusedError,
    OtherIncarnationError,
    PlatformError,
    WorkerUnreachableError,
    WrongIncarnationError,
)

# A response takes some milliseconds; a repeated order has no further effect.
ORDER_TIMEOUT_S = 0.6
# Added to the time that the worker may wait for an end.
POLL_MARGIN_S = 0.9
# Statuses of a call that has changed nothing.
REFUSAL_STATUSES = frozenset({400, 409, 429, 503})

_REASONS = {
    "fence": RefusalReason.FENCED,
    # The run's number is not higher than that of one stopped or ended there.
    "old": RefusalReason.SUPERSEDED,
    # The lease in the order has expired on the worker's clock.
    "late": RefusalReason.EXPIRED,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.NO_TICKET,
}


_OUTCOMES = frozenset({"done", "failed", "stopped", "lapsed", "broken", "alone"})
# Stands for any other outcome, of which there may be any number.
OUTCOME_UNKNOWN = "unknown"

# Rough figures, which are kept within the protocol's bounds rather than rejected.
_Figure = Annotated[float, msgspec.Meta(ge=-INT64_MAX, le=INT64_MAX)]


class _OrderResponse(msgspec.Struct):
    clock_ms: Amount = 0
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: Amount
    checkpoint: str
    percent: _Figure
    # Over the last half second.
    load: _Figure = 0


class _EndedRow(msgspec.Struct, array_like=True):
    number: Amount
    task: str
    run: Amount
    outcome: str
    checkpoint: str


class _StartOfIncarnation(msgspec.Struct):
    born: Amount = 0


class _PollResponse(msgspec.Struct):
    clock_ms: Amount
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []
    # Unix milliseconds of the start of this incarnation.
    born: Amount = 0


def encode_task(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(name: str) -> TaskId:
    """Return the task of a name on the wire; raise `ValueError` if malformed."""
    job_id, occurrence, step, index = name.rsplit(".", 3)
    # `int` alone accepts signs, spaces, underscores and other digits.
    if not (
        name.isascii() and occurrence.isdigit() and step.isdigit() and index.isdigit()
    ):
        raise ValueError(f"task {name[:80]!r}: not of the form ID.K.STEP.INDEX")
    return TaskId(job_id, int(occurrence), int(step), int(index))


class HttpFleetWorkerClient(FleetWorkerClient):
    """HTTP client of the workers, each at the address in its entry."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @inlineCallbacks
    def _call(
        self,
        worker: WorkerEntry,
        path: str,
        document,
        timeout_s: float,
        label: object | None = None,
        read_label=None,
    ):
        url = f"http://{worker.host}:{worker.port}{path}"
        headers = ((b"Target-Instance", worker.worker_id.encode()),)
        body = msgspec.json.encode(document)
        try:
            status, content = yield self._client.fetch(
                b"POST",
                url,
                body,
                timeout_s,
                headers,
                label=label,
                read_label=read_label,
            )
        except NoLabelledConnectionError:
            raise
        except ConnectionRefusedError as error:
            raise ConnectionRefusedByWorkerError(
                f"worker {worker.worker_id}: {error!r}"
            ) from error
        except Exception as error:
            # Twisted's network errors share no base class but Exception.
            raise WorkerUnreachableError(
                f"worker {worker.worker_id}: {error!r}"
            ) from error
        if status == 200:
            return content
        if status == 421:
            raise WrongIncarnationError(
                f"worker {worker.worker_id}: another incarnation responded"
            )
        if status not in REFUSAL_STATUSES:
            # Whether the call was carried out is unknown, as without a response.
            raise WorkerUnreachableError(
                f"worker {worker.worker_id}: unexpected status {status}"
            )
        raise OrderRefusedError(_decode_reason(status, content))

    def _send_order(self, worker: WorkerEntry, path: str, document):
        return send_proven(
            worker,
            partial(self._call, worker, path, document),
            partial(self._send_poll, worker, _poll_document(document["fencing_token"])),
            ORDER_TIMEOUT_S,
        )

    @inlineCallbacks
    def start(
        self, worker: WorkerEntry, order: StartOrder, until_ms: int, fencing_token: int
    ):
        """Start a run; return a Deferred that fires with the worker's clock in ms."""
        document = {
            "task": encode_task(order.run.task),
            "run": order.run.number,
            "spec": order.payload,
            "until_ms": until_ms,
            "fencing_token": fencing_token,
        }
        if order.checkpoint:
            document["last_checkpoint"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        content = yield self._send_order(worker, "/-/run-start", document)
        try:
            return decode_json(content, _OrderResponse).clock_ms
        except ValueError as error:
            # Whether the run was started is unknown, as without a response.
            raise WorkerUnreachableError(
                f"worker {worker.worker_id}: {error}"
            ) from error

    def stop(self, worker: WorkerEntry, run: RunId, fencing_token: int):
        """Stop a run."""
        return self._send_order(
            worker, "/-/run-stop", _run_document(run, fencing_token)
        )

    def throttle(
        self, worker: WorkerEntry, run: RunId, percent: int, fencing_token: int
    ):
        """Limit a run to a percentage of its full speed."""
        document = _run_document(run, fencing_token)
        document["percent"] = percent
        return self._send_order(worker, "/-/pace", document)

    @inlineCallbacks
    def poll(
        self,
        worker: WorkerEntry,
        fencing_token: int,
        acknowledged: int,
        until_ms: int,
        wait_ms: int,
    ):
        """Read the running and ended runs, and renew the lease."""
        document = _poll_document(fencing_token, acknowledged)
        if until_ms:
            document["until_ms"] = until_ms
        if wait_ms:
            document["wait_ms"] = wait_ms
        send = partial(self._send_poll, worker, document)
        limit_s = wait_ms / 1000 + POLL_MARGIN_S
        if not has_poll_effect(acknowledged, until_ms):
            return (yield send(limit_s))
        bare_poll = partial(self._send_poll, worker, _poll_document(fencing_token))
        try:
            return (yield send_proven(worker, send, bare_poll, limit_s))
        except OtherIncarnationError as error:
            return error.result

    @inlineCallbacks
    def _send_poll(
        self,
        worker: WorkerEntry,
        document: dict,
        timeout_s: float,
        label: object | None = None,
    ):
        content = yield self._call(
            worker,
            "/-/hold",
            document,
            timeout_s,
            label,
            partial(_read_label, worker.worker_id),
        )
        try:
            return _decode_poll(content)
        except ValueError as error:
            raise PlatformError(f"worker {worker.worker_id}: {error}") from error


def _read_label(worker_id: str, status: int, content: bytes) -> object | None:
    """Return the label of a connection on which a poll was answered."""
    if status != 200:
        return None
    try:
        started_at_ms = decode_json(content, _StartOfIncarnation).born
    except ValueError:
        return None
    return connection_label(worker_id, started_at_ms)


def _poll_document(fencing_token: int, acknowledged: int = 0) -> dict:
    return {"fencing_token": fencing_token, "last_seen": acknowledged}


def _run_document(run: RunId, fencing_token: int) -> dict:
    return {
        "task": encode_task(run.task),
        "run": run.number,
        "fencing_token": fencing_token,
    }


def _decode_reason(status: int, content: bytes) -> RefusalReason:
    if status == 400:
        return RefusalReason.INVALID
    if status != 409:
        return RefusalReason.UNHEALTHY
    try:
        response = decode_json(content, _OrderResponse)
    except ValueError:
        return RefusalReason.UNHEALTHY
    return _REASONS.get(response.reason, RefusalReason.UNHEALTHY)


def _decode_poll(content: bytes) -> PollResult:
    response = decode_json(content, _PollResponse)
    running = tuple(
        RunningRun(
            RunId(decode_task(row.task), row.run),
            row.checkpoint,
            int(min(max(row.percent, 0), 100)),
            int(max(row.load, 0)),
        )
        for row in response.running
    )
    ended = tuple(
        EndedRun(
            row.number,
            RunId(decode_task(row.task), row.run),
            row.outcome if row.outcome in _OUTCOMES else OUTCOME_UNKNOWN,
            row.checkpoint,
        )
        for row in sorted(response.ended, key=lambda row: row.number)
    )
    return PollResult(response.clock_ms, response.born, running, ended)
