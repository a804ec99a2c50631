"""Calls of a worker on connections on which its incarnation has answered."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import PollResult, WorkerEntry
from dogwoodlever._http_client import NoLabelledConnectionError
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import (
    CallNotSentError,
    OrderRefusedError,
    OtherIncarnationError,
    PlatformError,
    WrongIncarnationError,
)

# Refusals of a bare poll that hold for the call too. Any other one says something of
# the poll only.
_SHARED_REFUSALS = frozenset({RefusalReason.FENCED, RefusalReason.UNHEALTHY})


def connection_label(worker_id: str, started_at_ms: int) -> tuple[str, int] | None:
    """Return the label of connections on which an incarnation has answered.

    Parameters
    ----------
    worker_id : str
        Worker that has answered a poll.
    started_at_ms : int
        Start of the incarnation, in Unix milliseconds; 0 if it is not known.
    """
    return (worker_id, started_at_ms) if started_at_ms else None


def has_poll_effect(acknowledged_number: int, until_ms: int) -> bool:
    """Return whether a poll changes anything at the worker that carries it out."""
    return acknowledged_number > 0 or until_ms > 0


@inlineCallbacks
def send_proven(
    worker: WorkerEntry,
    send: Callable[[float, object], Deferred],
    poll: Callable[[float], Deferred],
    timeout_s: float,
):
    """Send a call that changes something to the incarnation that an entry names.

    A new connection leads to whichever process listens at the address, which may be
    the next incarnation under the same id. A connection breaks with its process, so the
    call is sent only on one on which the incarnation has answered a poll. Without such
    a connection, a bare poll precedes it. The call is sent at once if the start of the
    incarnation is not known.

    Parameters
    ----------
    worker : WorkerEntry
        Entry that names the incarnation.
    send : callable
        Sends the call with a timeout in seconds on a connection with a label, and
        returns a Deferred.
    poll : callable
        Sends a bare poll with a timeout in seconds, and returns a Deferred that fires
        with the `PollResult`.
    timeout_s : float
        Timeout of the poll, and of the call: a worker that answers slowly, but in time,
        would otherwise get no call through.

    Returns
    -------
    Deferred
        Fires as the one of `send`. Fails with `OtherIncarnationError` or
        `CallNotSentError` if the call was not sent.
    """
    label = connection_label(worker.worker_id, worker.started_at_ms)
    try:
        return (yield send(timeout_s, label))
    except NoLabelledConnectionError:
        # Nothing was sent.
        pass
    result: PollResult = yield _poll_first(worker, poll, timeout_s)
    if result.started_at_ms not in (0, worker.started_at_ms):
        log_event(
            "call.not-sent",
            worker=worker.worker_id,
            incarnation=worker.started_at_ms,
            answers=result.started_at_ms,
        )
        raise OtherIncarnationError(
            f"worker {worker.worker_id}: incarnation {result.started_at_ms} answers, "
            f"not {worker.started_at_ms}",
            result,
        )
    try:
        return (yield send(timeout_s, label if result.started_at_ms else None))
    except NoLabelledConnectionError as error:
        log_event("call.not-sent", worker=worker.worker_id, why="connection closed")
        raise CallNotSentError(
            f"worker {worker.worker_id}: closed the connection after a poll"
        ) from error


@inlineCallbacks
def _poll_first(
    worker: WorkerEntry, poll: Callable[[float], Deferred], timeout_s: float
):
    try:
        return (yield poll(timeout_s))
    except (CallNotSentError, WrongIncarnationError):
        raise
    except PlatformError as error:
        if isinstance(error, OrderRefusedError) and error.reason in _SHARED_REFUSALS:
            raise
        raise CallNotSentError(
            f"worker {worker.worker_id}: no answer to the poll before the call: {error}"
        ) from error
