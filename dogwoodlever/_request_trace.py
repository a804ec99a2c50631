"""Traces of requests: attempts, servers, times and outcomes."""

from collections import OrderedDict

import msgspec

TRACES_MAX = 5_000
COPIES_PER_BATCH = 200


class AttemptTrace(msgspec.Struct):
    """One attempt of a request; times are of the wall clock."""

    server: str
    started_at_s: float
    result: str = "running"
    ended_at_s: float = 0.0


class RequestTrace(msgspec.Struct):
    """Trace of one request; times are of the wall clock."""

    request_id: str
    service: str
    operation: str
    caller: str
    daemon: str
    arrived_at_s: float
    attempts: list[AttemptTrace] = []
    outcome: str = "open"
    reason: str = ""
    ended_at_s: float = 0.0


class RequestTraceBuffer:
    """Bounded buffer of the newest traces of a daemon."""

    __slots__ = ("_ended", "_traces")

    def __init__(self) -> None:
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()
        self._ended: list[RequestTrace] = []

    def add(self, trace: RequestTrace) -> None:
        """Add the trace of a new request, or a copy from a peer."""
        self._traces[trace.request_id] = trace
        while len(self._traces) > TRACES_MAX:
            self._traces.popitem(last=False)

    def get(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request, or None."""
        return self._traces.get(request_id)

    def start_attempt(self, request_id: str, server: str, at_s: float) -> None:
        """Record the start of an attempt."""
        trace = self._traces.get(request_id)
        if trace is not None:
            trace.attempts = [*trace.attempts, AttemptTrace(server, at_s)]

    def end_attempt(self, request_id: str, server: str, result: str, at_s: float):
        """Record the end of the newest attempt on `server`."""
        trace = self._traces.get(request_id)
        if trace is None:
            return
        for attempt in reversed(trace.attempts):
            if attempt.server == server:
                attempt.result, attempt.ended_at_s = result, at_s
                return

    def end_request(
        self, request_id: str, outcome: str, reason: str, at_s: float
    ) -> None:
        """Record the outcome of a request."""
        trace = self._traces.get(request_id)
        if trace is not None:
            trace.outcome, trace.reason = outcome, reason
            trace.ended_at_s = at_s
            self._ended.append(trace)

    def take_ended(self) -> list[RequestTrace]:
        """Return the traces ended since the last call, to copy to a peer.

        At most `COPIES_PER_BATCH` are returned, those of requests that were
        not answered at the first attempt before all others. The rest are not
        copied.
        """
        ended, self._ended = self._ended, []
        ended.sort(key=lambda t: t.outcome == "answered" and len(t.attempts) == 1)
        return ended[:COPIES_PER_BATCH]
