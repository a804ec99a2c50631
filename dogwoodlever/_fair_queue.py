"""Queue of requests that serves callers round-robin."""

from collections import OrderedDict, deque
from heapq import heapify, heappop, heappush

from dogwoodlever._request import Request


class FairQueue:
    """Bounded queue: round-robin between callers, FIFO within a caller.

    Parameters
    ----------
    length_max : int
        Maximum number of queued requests. When it is reached, a new request
        displaces the newest one of the caller with the most requests, if that
        caller has at least two more than its own.
    """

    __slots__ = ("_arrivals", "_callers", "_requests", "length_max")

    def __init__(self, length_max: int) -> None:
        self.length_max = length_max
        self._callers: OrderedDict[str, deque[Request]] = OrderedDict()
        self._requests: dict[str, Request] = {}
        self._arrivals: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def push(self, request: Request, front: bool = False) -> Request | None:
        """Add a request and return the one it displaces, or None.

        If the queue is full and none can be displaced, `request` is returned.
        """
        displaced = None
        if len(self._requests) >= self.length_max:
            displaced = self._displace(request)
            if displaced is request:
                return request
        queued = self._callers.setdefault(request.caller, deque())
        if front:
            queued.appendleft(request)
        else:
            queued.append(request)
        self._requests[request.request_id] = request
        heappush(self._arrivals, (request.arrived_s, request.request_id))
        return displaced

    def _displace(self, request: Request) -> Request:
        longest = max(self._callers, key=lambda c: len(self._callers[c]))
        own = len(self._callers.get(request.caller, ()))
        if len(self._callers[longest]) <= own + 1:
            return request
        victim = self._callers[longest][-1]
        self.remove(victim.request_id)
        return victim

    def pop(self) -> Request:
        """Remove and return the next request of the caller whose turn it is."""
        caller, queued = next(iter(self._callers.items()))
        request = queued.popleft()
        del self._requests[request.request_id]
        if queued:
            self._callers.move_to_end(caller)
        else:
            del self._callers[caller]
        return request

    def remove(self, request_id: str) -> Request | None:
        """Remove a request and return it, or None if it is not queued."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        queued = self._callers[request.caller]
        queued.remove(request)
        if not queued:
            del self._callers[request.caller]
        return request

    def oldest_arrival_s(self) -> float | None:
        """Return the earliest arrival time of the queued requests, or None."""
        while self._arrivals and self._arrivals[0][1] not in self._requests:
            heappop(self._arrivals)
        if len(self._arrivals) > 4 * len(self._requests) + 64:
            self._arrivals = [(r.arrived_s, i) for i, r in self._requests.items()]
            heapify(self._arrivals)
        return self._arrivals[0][0] if self._arrivals else None
