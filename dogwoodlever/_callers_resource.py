"""HTTP resource of the callers' port."""

import math

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from dogwoodlever._gateway import CallerRequest, Gateway, RequestResult, result_document
from dogwoodlever._interfaces import BackendRequest, BackendResponse
from dogwoodlever._logs import log_event
from dogwoodlever._node import Node
from dogwoodlever._request import Outcome, Reason
from dogwoodlever.gateway_errors import BadRequestError, UnknownOperationError

OUTCOME_HEADER = b"Dogwoodlever-Outcome"
REQUEST_HEADER = b"Dogwoodlever-Request"
CALLER_HEADER = "Dogwoodlever-Caller"
TIMEOUT_HEADER = "Request-Timeout"
KEY_HEADER = "Idempotency-Key"
KEY_CHARACTERS_MAX = 200
DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
METHODS = frozenset({b"GET", b"POST", b"PUT", b"DELETE"})
HEALTH_PATH = b"/health"


class CallersResource(Resource):
    """Serves ``/<service>/<operation>`` and ``/health`` for load balancers."""

    isLeaf = True

    def __init__(self, node: Node, gateway: Gateway) -> None:
        super().__init__()
        self._node = node
        self._gateway = gateway

    def render(self, request):
        """Start a request; its result is written once it is known."""
        if request.path == HEALTH_PATH:
            return self._render_health(request)
        if request.method not in METHODS:
            return self._reject(
                request, 405, f"method {request.method!r} is not supported"
            )
        request_id = self._gateway.new_request_id()
        try:
            received = self._parse(request)
        except BadRequestError as error:
            return self._reject(request, 400, str(error))
        disconnected = request.notifyFinish()
        disconnected.addErrback(self._handle_disconnect, request_id, received.service)
        ended = self._gateway.handle(request_id, received)
        ended.addCallbacks(
            self._write_result,
            self._write_error,
            (request,),
            None,
            (request, request_id),
        )
        return NOT_DONE_YET

    def _render_health(self, request) -> bytes:
        is_healthy = self._node.is_healthy()
        request.setResponseCode(200 if is_healthy else 503)
        return b"ok\n" if is_healthy else b"not serving\n"

    def _reject(self, request, status: int, why: str) -> bytes:
        request.setResponseCode(status)
        request.setHeader(OUTCOME_HEADER, Outcome.NOT_RUN.encode())
        request.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
        return why.encode() + b"\n"

    def _parse(self, request) -> CallerRequest:
        parts = request.path.decode("ascii", "replace").split("/")
        if len(parts) < 3 or not parts[1] or not parts[2]:
            raise BadRequestError("path: must be /<service>/<operation>")
        key = request.getHeader(KEY_HEADER) or ""
        if len(key) > KEY_CHARACTERS_MAX:
            raise BadRequestError(
                f"{KEY_HEADER}: longer than {KEY_CHARACTERS_MAX} characters"
            )
        caller = request.getHeader(CALLER_HEADER) or request.getClientAddress().host
        headers = tuple(
            (name, value)
            for name, values in request.requestHeaders.getAllRawHeaders()
            if name.lower() not in DROPPED_HEADERS
            for value in values
        )
        body = request.content.read()
        return CallerRequest(
            parts[1],
            parts[2],
            caller,
            self._timeout_s(request),
            key,
            BackendRequest(request.method, request.uri, headers, body),
        )

    def _timeout_s(self, request) -> float | None:
        text = request.getHeader(TIMEOUT_HEADER)
        if text is None:
            return None
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = math.nan
        if not math.isfinite(timeout_s) or timeout_s <= 0:
            raise BadRequestError(
                f"{TIMEOUT_HEADER}: must be a positive number of seconds"
            )
        return timeout_s

    def _handle_disconnect(self, _failure, request_id: str, service: str) -> None:
        self._gateway.handle_disconnect(request_id, service)

    def _write_result(self, result: RequestResult, request) -> None:
        if not request.is_open:
            return
        request.setHeader(OUTCOME_HEADER, result.outcome.encode())
        request.setHeader(REQUEST_HEADER, result.request_id.encode())
        if result.retry_after_s is not None:
            request.setHeader(b"Retry-After", b"%d" % result.retry_after_s)
        response = result.response
        if response is not None:
            request.setResponseCode(response.status)
            _copy_headers(response, request)
            body = response.body
        else:
            request.setResponseCode(_status(result))
            request.setHeader(b"Content-Type", b"application/json")
            body = result_document(result)
        request.setHeader(b"Content-Length", b"%d" % len(body))
        request.write(body)
        request.finish()

    def _write_error(self, failure, request, request_id: str) -> None:
        if not request.is_open:
            return
        if failure.check(UnknownOperationError):
            body = self._reject(request, 404, str(failure.value))
        elif failure.check(BadRequestError):
            body = self._reject(request, 400, str(failure.value))
        else:
            log_event("request.fault", request=request_id, error=failure.getTraceback())
            request.setResponseCode(500)
            request.setHeader(OUTCOME_HEADER, Outcome.UNKNOWN.encode())
            body = b"internal error\n"
        request.write(body)
        request.finish()


def _copy_headers(response: BackendResponse, request) -> None:
    """Replace the default headers by those of the backend server."""
    values: dict[bytes, list[bytes]] = {}
    for name, value in response.headers:
        values.setdefault(name.lower(), []).append(value)
    for name, found in values.items():
        request.responseHeaders.setRawHeaders(name, found)


def _status(result: RequestResult) -> int:
    """Return the HTTP status of a result without a backend's response."""
    if result.reason == Reason.REPEATED_KEY:
        return 409
    if result.outcome == Outcome.NOT_RUN:
        return 503
    return 504 if result.reason == Reason.DEADLINE else 502
