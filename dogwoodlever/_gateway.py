"""Admission of callers' requests, idempotency keys and the three outcomes."""

from dataclasses import dataclass
from math import ceil
from secrets import token_hex

import msgspec
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.defer import inlineCallbacks

from dogwoodlever._interfaces import BackendRequest, BackendResponse
from dogwoodlever._logs import log_event
from dogwoodlever._node import Node
from dogwoodlever._request import Outcome, Reason, Request
from dogwoodlever._request_trace import RequestTrace
from dogwoodlever.gateway_errors import BadRequestError, UnknownOperationError
from dogwoodlever.platform_errors import StoreUnavailableError

STORE_RETRY_AFTER_S = 2.0
OPEN_RETRY_AFTER_S = 1.0
START_RETRY_AFTER_S = 1.0
OUTCOME_METHOD = "outcome"


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """A request as received on the callers' port.

    Attributes
    ----------
    timeout_s : float or None
        Timeout set by the caller, capped by that of the service.
    key : str
        Idempotency key, or empty.
    """

    service: str
    operation: str
    caller: str
    timeout_s: float | None
    key: str
    backend_request: BackendRequest


@dataclass(slots=True, frozen=True)
class RequestResult:
    """Result of a caller's request.

    Attributes
    ----------
    response : BackendResponse or None
        The backend server's complete response, if there is one.
    retry_after_s : int or None
        Value of the Retry-After header in seconds.
    first_request : str
        Id of the earlier request with the same idempotency key, or empty.
    """

    request_id: str
    outcome: Outcome
    reason: Reason
    response: BackendResponse | None = None
    retry_after_s: int | None = None
    first_request: str = ""


class Gateway:
    """Runs callers' requests that arrive at one daemon.

    Parameters
    ----------
    node : Node
        Roles and state of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._count = 0
        # Keeps request ids unique across restarts of the daemon.
        self._process_token = token_hex(3)
        node.rpc.register(OUTCOME_METHOD, self._handle_outcome)

    def _handle_outcome(self, body: bytes) -> bytes | None:
        trace = self._node.traces.get(body.decode(errors="replace"))
        return None if trace is None else trace.outcome.encode()

    def new_request_id(self) -> str:
        """Return a unique request id, prefixed with the daemon's name."""
        self._count += 1
        return f"{self._node.settings.daemon}-{self._process_token}-{self._count}"

    @inlineCallbacks
    def handle(self, request_id: str, received: CallerRequest):
        """Run a caller's request.

        Returns
        -------
        Deferred
            Fires with a `RequestResult`.

        Raises
        ------
        UnknownOperationError
            If there is no such service or operation.
        BadRequestError
            If the timeout is not positive.
        """
        if self._node.configuration.active.site is None:
            return RequestResult(
                request_id,
                Outcome.NOT_RUN,
                Reason.STARTING,
                None,
                ceil(START_RETRY_AFTER_S),
            )
        request = self._make_request(request_id, received)
        self._open_trace(request)
        self._node.open_requests += 1
        try:
            result = yield self._run(request, received)
        finally:
            self._node.open_requests -= 1
        self._record_result(request, result)
        return result

    @inlineCallbacks
    def _run(self, request: Request, received: CallerRequest):
        """Reserve the key of a request and run it."""
        role = self._node.services[request.service]
        if received.key and not request.idempotent and not role.is_draining:
            result = yield self._reserve_key(request, received)
            if result is not None:
                return result
        end, response = yield role.submit(request, received.backend_request)
        retry_after_s = None
        if end.outcome == Outcome.NOT_RUN:
            retry_after_s = max(1, ceil(end.retry_after_s))
        return RequestResult(
            request.request_id, end.outcome, end.reason, response, retry_after_s
        )

    def _make_request(self, request_id: str, received: CallerRequest) -> Request:
        site = self._node.configuration.active.site
        service = site.services.get(received.service)
        if service is None:
            raise UnknownOperationError(f"no service {received.service!r}")
        operation = service.operations.get(received.operation)
        if operation is None:
            known = ", ".join(sorted(service.operations))
            raise UnknownOperationError(
                f"service {received.service!r} has no operation "
                f"{received.operation!r}; known are {known}"
            )
        timeout_s = service.timeout_s
        if received.timeout_s is not None:
            if received.timeout_s <= 0:
                raise BadRequestError("Request-Timeout: must be greater than 0 seconds")
            timeout_s = min(timeout_s, received.timeout_s)
        now_s = self._node.clock.seconds()
        return Request(
            request_id,
            received.service,
            received.operation,
            received.caller,
            operation.idempotent,
            now_s,
            now_s + timeout_s,
        )

    def _open_trace(self, request: Request) -> None:
        self._node.traces.add(
            RequestTrace(
                request.request_id,
                request.service,
                request.operation,
                request.caller,
                self._node.member_id,
                self._node.wall_time(),
            )
        )

    def _record_result(self, request: Request, result: RequestResult) -> None:
        node = self._node
        now_s = node.clock.seconds()
        took_s = now_s - request.arrived_s
        site = node.configuration.active.site
        service = site.services.get(request.service)
        answered = result.outcome == Outcome.ANSWERED
        failed = result.response is not None and result.response.status >= 500
        target_s = service.latency_target_s if service else float("inf")
        good = answered and not failed and took_s <= target_s
        node.burn.record(request.service, now_s, good, result.outcome)
        node.traces.end_request(
            request.request_id, result.outcome, result.reason, node.wall_time()
        )
        node.metrics.count(f"requests.{request.service}.{result.outcome}")
        node.metrics.timing(f"requests.{request.service}", took_s)
        log_event(
            "request.ended",
            request=request.request_id,
            service=request.service,
            operation=request.operation,
            outcome=result.outcome,
            reason=result.reason,
            attempts=request.attempts,
            took_s=took_s,
        )

    @inlineCallbacks
    def _reserve_key(self, request: Request, received: CallerRequest):
        """Reserve the idempotency key.

        Returns
        -------
        Deferred
            Fires with None if the request may run, else its `RequestResult`.
        """
        replaces = ""
        while True:
            try:
                holder = yield self._key_holder(request, received, replaces)
            except (StoreUnavailableError, DeferredTimeoutError):
                return RequestResult(
                    request.request_id,
                    Outcome.NOT_RUN,
                    Reason.STORE_UNAVAILABLE,
                    None,
                    ceil(STORE_RETRY_AFTER_S),
                )
            if holder == request.request_id:
                return None
            outcome = yield self._fetch_outcome(holder)
            if outcome != Outcome.NOT_RUN or holder == replaces:
                return self._duplicate_result(request, holder, outcome)
            # The holder's caller was told that it did not run; take its key over.
            replaces = holder

    def _key_holder(self, request: Request, received: CallerRequest, replaces: str):
        """Return a Deferred that fires with the key's holder by the deadline."""
        clock = self._node.clock
        reserved = self._node.idempotency_keys.reserve(
            received.caller, received.key, request.request_id, replaces
        )
        remaining_s = max(0.0, request.deadline_s - clock.seconds())
        return reserved.addTimeout(remaining_s, clock)

    def _duplicate_result(
        self, request: Request, holder: str, outcome: str
    ) -> RequestResult:
        reported = Outcome.ANSWERED if outcome == Outcome.ANSWERED else Outcome.UNKNOWN
        retry_after_s = ceil(OPEN_RETRY_AFTER_S) if outcome == "open" else None
        return RequestResult(
            request.request_id,
            reported,
            Reason.REPEATED_KEY,
            None,
            retry_after_s,
            holder,
        )

    @inlineCallbacks
    def _fetch_outcome(self, request_id: str):
        """Fetch an earlier request's outcome from this daemon and the others.

        Returns
        -------
        Deferred
            Fires with the outcome; empty if no daemon knows the request.
        """
        others = sorted(self._node.membership.others())
        bodies = yield self._node.rpc.call_all(
            others, OUTCOME_METHOD, request_id.encode()
        )
        return bodies[0].decode(errors="replace") if bodies else ""

    def handle_disconnect(self, request_id: str, service: str) -> None:
        """Drop the request of a caller that closed its connection."""
        role = self._node.services.get(service)
        if role is not None:
            role.handle_disconnect(request_id)


def result_document(result: RequestResult) -> bytes:
    """Return the JSON body of a result without a backend's response."""
    document = {
        "request": result.request_id,
        "outcome": result.outcome,
        "reason": result.reason,
    }
    if result.first_request:
        document["first_request"] = result.first_request
    return msgspec.json.encode(document)
