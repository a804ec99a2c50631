"""HTTP interface for callers."""

import math
import re
from collections.abc import Callable

import msgspec
from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from dogwoodlever._configuration_knowledge import ConfigurationKnowledge
from dogwoodlever._fleet_frontend import CallOutcome, CallResult, FleetFrontend
from dogwoodlever._fleet_types import FleetConfiguration, Queue
from dogwoodlever._logs import log_event
from dogwoodlever._workspace_keys import (
    KeyCheck,
    KeyChecker,
    KeyOutcome,
    RefusalCause,
)
from dogwoodlever.fleet_errors import SubmissionError
from dogwoodlever.platform._wire_job import decode_job
from dogwoodlever.platform._wire_records import digest_key

DEADLINE_DIGITS_MAX = 9
# Part of a caller's time that is left for a response without an outcome.
LATE_MARGIN_S = 0.05
JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
# The scheme of a header is case-insensitive (RFC 9110, 11.1).
AUTHORIZATION_PATTERN = re.compile(rb"(?i:token) +([!-~\x80-\xff]+)")

_STATUSES = {
    CallOutcome.DONE: 200,
    CallOutcome.NOT_DONE: 503,
    CallOutcome.UNKNOWN: 504,
    CallOutcome.ABSENT: 410,
    CallOutcome.KEY_REFUSED: 401,
    CallOutcome.TAKEN: 409,
}

_REFUSALS = {
    RefusalCause.MISSING: "the Authorization header is missing",
    RefusalCause.MALFORMED: "the Authorization header is not of the form 'Token KEY'",
    RefusalCause.UNKNOWN: "the key is unknown",
}
_ERRORS = {
    CallOutcome.KEY_REFUSED: _REFUSALS[RefusalCause.UNKNOWN],
    CallOutcome.TAKEN: "a job of another workspace has this id",
}


class FleetCallersResource(Resource):
    """Root resource of the callers' port.

    Parameters
    ----------
    frontend : FleetFrontend
        Handles the calls.
    get_configuration : callable
        Returns the newest `FleetConfiguration`, None before the first.
    clock : IReactorTime
        Reactor clock.
    unix_s : callable
        Returns Unix time in seconds.
    on_call : callable
        Called with the HTTP method and the outcome of each call.
    keys : KeyChecker
        Checks the callers' keys.
    knowledge : ConfigurationKnowledge
        Age of the configuration.
    """

    isLeaf = True

    def __init__(
        self,
        frontend: FleetFrontend,
        get_configuration: Callable[[], FleetConfiguration | None],
        clock,
        unix_s: Callable[[], float],
        on_call: Callable[[str, str], None],
        keys: KeyChecker,
        knowledge: ConfigurationKnowledge,
    ) -> None:
        super().__init__()
        self._frontend = frontend
        self._get_configuration = get_configuration
        self._clock = clock
        self._unix_s = unix_s
        self._on_call = on_call
        self._keys = keys
        self._knowledge = knowledge
        self.open_requests = 0
        # Each request may need a connection to the store.
        self.open_requests_max = math.inf
        # When a request last arrived or was answered.
        self.last_request_s = float("-inf")
        # Set while the process stops, so that callers connect to another one.
        self.closes_connections = False

    def render(self, request):
        """Handle one request; the response is written later."""
        self.open_requests += 1
        self.last_request_s = self._clock.seconds()
        served = self._serve(request)
        served.addErrback(self._on_error, request)
        served.addBoth(self._on_finished)
        return NOT_DONE_YET

    def _on_finished(self, _result) -> None:
        self.open_requests -= 1
        self.last_request_s = self._clock.seconds()

    def _on_error(self, failure, request) -> None:
        log_event(
            "request.error",
            method=request.method.decode("latin-1"),
            path=request.path.decode("latin-1"),
            why=failure.getErrorMessage(),
        )
        self._write_response(request, 500, {"error": "internal error"})

    @inlineCallbacks
    def _serve(self, request):
        configuration = self._get_configuration()
        if configuration is None:
            self._respond(request, CallResult(CallOutcome.NOT_DONE))
            return
        if self.open_requests > self.open_requests_max:
            self._refuse_crowded(request)
            return
        host = (request.getHeader(b"host") or b"").decode("latin-1").partition(":")[0]
        path = request.path.decode("latin-1")
        queue = configuration.find_queue(host, path)
        if queue is None:
            self._refuse_queue(request, host, path, configuration.version)
            return
        read_s = self._clock.seconds()
        check = self._check_key(request, configuration, queue, read_s)
        if check is None:
            return
        if check.expected:
            check = msgspec.structs.replace(check, host=host, path=path)
        timeout_s = min(_deadline_s(request), queue.timeout_s)
        timer = self._clock.callLater(
            max(0.0, timeout_s - LATE_MARGIN_S), self._end_late, request
        )
        job_id = path[len(queue.prefix) :]
        try:
            yield self._call(
                request,
                job_id,
                queue,
                configuration.version,
                read_s + timeout_s,
                check,
            )
        finally:
            if timer.active():
                timer.cancel()

    def _refuse_crowded(self, request) -> None:
        """Refuse a call since too many are handled, also of callers that have left."""
        self._on_call(request.method.decode("latin-1"), "crowded")
        request.setHeader("retry-after", b"1")
        # An earlier copy of a submission may have been accepted.
        status = 504 if request.method == b"POST" else 503
        self._write_response(request, status, {"error": "too many calls at once"})

    def _end_late(self, request) -> None:
        """Answer a call whose time is up, although its outcome is not known."""
        log_event("request.late", method=request.method.decode("latin-1"))
        is_read = request.method == b"GET"
        outcome = CallOutcome.NOT_DONE if is_read else CallOutcome.UNKNOWN
        self._respond(request, CallResult(outcome))

    @inlineCallbacks
    def _call(
        self,
        request,
        job_id: str,
        queue: Queue,
        version: int,
        deadline_s: float,
        check: KeyCheck,
    ):
        """Carry out a call of a queue, and respond."""
        if not job_id and request.method == b"GET":
            result = yield self._frontend.count_pending(queue.name, deadline_s)
            self._respond(request, result, {"pending": result.pending})
            return
        if not JOB_ID_PATTERN.fullmatch(job_id):
            self._write_response(
                request, 400, {"error": f"job id {job_id!r}: 16 hex digits"}
            )
            return
        if request.method == b"POST":
            yield self._submit(request, job_id, queue, version, deadline_s, check)
        elif request.method == b"DELETE":
            result = yield self._frontend.cancel(job_id, deadline_s, check)
            self._respond(request, result)
        elif request.method == b"GET":
            result = yield self._frontend.read(job_id, deadline_s, check)
            self._respond(request, result, {"state": result.phase or ""})
        else:
            self._write_response(
                request, 405, {"error": "POST, GET and DELETE are accepted"}
            )

    def _check_key(
        self,
        request,
        configuration: FleetConfiguration,
        queue: Queue,
        read_s: float,
    ) -> KeyCheck | None:
        """Check the key of a request; None if it was refused with a response."""
        digest = b""
        if self._keys.needs_key(configuration, queue):
            headers = request.requestHeaders.getRawHeaders(b"authorization") or ()
            if not headers:
                self._refuse_key(request, RefusalCause.MISSING)
                self._keys.refuse(RefusalCause.MISSING, queue.name)
                return None
            match = AUTHORIZATION_PATTERN.fullmatch(headers[0])
            if match is None or len(headers) > 1:
                self._refuse_key(request, RefusalCause.MALFORMED)
                self._keys.refuse(RefusalCause.MALFORMED, queue.name)
                return None
            digest = digest_key(match[1])
        check = self._keys.check(configuration, queue, digest, read_s)
        if check.outcome is KeyOutcome.UNKNOWN:
            self._refuse_key(request, RefusalCause.UNKNOWN)
            return None
        if check.outcome is KeyOutcome.UNDECIDED:
            self._respond(request, CallResult(CallOutcome.NOT_DONE))
            return None
        return check

    def _refuse_key(self, request, cause: RefusalCause) -> None:
        self._write_response(request, 401, {"error": _REFUSALS[cause]})

    def _refuse_queue(self, request, host: str, path: str, version: int) -> None:
        """Refuse a request for a queue that the version in force does not have.

        If a newer version may have to be in force already, the queue may exist: the
        caller is told when to come back, as a 404 would be the last answer.
        """
        method = request.method.decode("latin-1")
        is_outdated = self._knowledge.is_outdated()
        log_event(
            "request.queue-unknown" if is_outdated else "request.no-queue",
            method=method,
            host=host,
            path=path,
            version=version,
            age_s=self._knowledge.age_s(),
        )
        if is_outdated:
            self._respond(request, CallResult(CallOutcome.NOT_DONE))
            return
        self._on_call(method, "no-queue")
        error = f"no queue at {host}{path} in version {version} of the configuration"
        self._write_response(request, 404, {"error": error})

    @inlineCallbacks
    def _submit(
        self,
        request,
        job_id: str,
        queue: Queue,
        version: int,
        deadline_s: float,
        check: KeyCheck,
    ):
        now_ms = int(self._unix_s() * 1000)
        try:
            job = decode_job(job_id, queue.name, now_ms, request.content.read())
        except SubmissionError as error:
            log_event("job.malformed", job=job_id, why=str(error))
            self._write_response(request, 400, {"error": str(error)})
            return
        job = msgspec.structs.replace(
            job, configuration_version=version, accepted_queue=queue
        )
        result = yield self._frontend.submit(job, deadline_s, check)
        self._respond(request, result)

    def _respond(self, request, result: CallResult, body: dict | None = None) -> None:
        if request.finished:
            # Its time was up before.
            return
        status = _STATUSES[result.outcome]
        self._on_call(request.method.decode("latin-1"), result.outcome)
        if status in (503, 504):
            request.setHeader("retry-after", str(result.retry_after_s))
        if status != 200 or not body:
            error = _ERRORS.get(result.outcome)
            body = {"error": error} if error else {}
        self._write_response(request, status, body)

    def _write_response(self, request, status: int, body: dict) -> None:
        if not request.is_open:
            return
        request.setResponseCode(status)
        request.setHeader("content-type", "application/json")
        if status == 401:
            request.setHeader("www-authenticate", "Token")
        if self.closes_connections:
            request.setHeader("connection", "close")
        request.write(msgspec.json.encode(body))
        request.finish()


def _deadline_s(request) -> float:
    """Return how long the caller waits, infinite if it does not tell."""
    # As bytes, since a header that is not UTF-8 fails as text.
    text = request.getHeader(b"deadline-ms") or b""
    is_valid = text.isdigit() and len(text) <= DEADLINE_DIGITS_MAX
    return int(text) / 1000 if is_valid else math.inf
