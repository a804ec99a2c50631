"""Account of why each request ran where and when it did."""

from collections import OrderedDict

import msgspec

ACCOUNTS_MAX = 5_000
COPIES_PER_BATCH = 200


class AttemptTrace(msgspec.Struct):
    """One attempt of a request; times are of the wall clock."""

    server: str
    started_at_s: float
    result: str = "running"
    ended_at_s: float = 0.0


class RequestTrace(msgspec.Struct):
    """What happened to one request, and why."""

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
    """The newest accounts of a daemon, bounded in number."""

    __slots__ = ("_traces", "_ended")

    def __init__(self) -> None:
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()
        self._ended: list[RequestTrace] = []

    def add(self, trace: RequestTrace) -> None:
        """Add the account of a new request."""
        self._traces[trace.request_id] = trace
        while len(self._traces) > ACCOUNTS_MAX:
            self._traces.popitem(last=False)

    def get(self, request_id: str) -> RequestTrace | None:
        """Return the account of a request, or None."""
        return self._traces.get(request_id)

    def start_attempt(self, request_id: str, server: str, at_s: float) -> None:
        """Note the start of an attempt."""
        trace = self._traces.get(request_id)
        if trace is not None:
            trace.attempts = [*trace.attempts, AttemptTrace(server, at_s)]

    def end_attempt(self, request_id: str, server: str, result: str, at_s: float):
        """Note the end of the newest attempt on `server`."""
        trace = self._traces.get(request_id)
        if trace is None:
            return
        for line in reversed(trace.attempts):
            if line.server == server:
                line.result, line.ended_at_s = result, at_s
                return

    def end_request(
        self, request_id: str, outcome: str, reason: str, at_s: float
    ) -> None:
        """Note the end of a request."""
        trace = self._traces.get(request_id)
        if trace is not None:
            trace.outcome, trace.reason = outcome, reason
            trace.ended_at_s = at_s
            self._ended.append(trace)

    def take_ended(self) -> list[RequestTrace]:
        """Return accounts ended since the last call, for a peer to keep.

        Under load only part of them is copied: first those of requests that
        were not simply answered at their first attempt.
        """
        ended, self._ended = self._ended, []
        ended.sort(key=lambda a: a.outcome == "answered" and len(a.attempts) == 1)
        return ended[:COPIES_PER_BATCH]
