"""Small HTTP client over persistent connections, with a timeout on each call."""

from collections.abc import Callable
from functools import partial

from twisted.internet import error as internet_errors
from twisted.internet.defer import Deferred, TimeoutError, fail, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.web.client import RequestNotSent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from dogwoodlever._http_connection import HttpConnection

CONNECT_TIMEOUT_S = 2.0
CONNECTIONS_PER_HOST = 4
HTTP_PORT = 80
# Errors after which no byte of the request has been sent.
NOT_SENT_ERRORS = (
    internet_errors.ConnectError,
    internet_errors.ConnectingCancelledError,
    internet_errors.DNSLookupError,
    RequestNotSent,
)


class NoLabelledConnectionError(Exception):
    """No idle connection has the label, so the request was not sent."""


@implementer(IAgentEndpointFactory)
class IpEndpointFactory:
    """Endpoint factory for servers addressed by IP address.

    Twisted's own factory resolves and encodes the host of every request as a
    name, which an IP address does not need.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    timeout_s : float
        Timeout of a connection attempt.
    """

    def __init__(self, reactor, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri):  # noqa: N802
        """Return the endpoint of a URI's host and port."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, self._timeout_s)


class HttpClient:
    """Sends requests over persistent connections and reads whole responses.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    timeout_s : float
        Timeout of a call, up to the end of the body, unless the call sets its own.
    connections : int
        Idle connections kept to one host.
    """

    def __init__(
        self, reactor, timeout_s: float, connections: int = CONNECTIONS_PER_HOST
    ) -> None:
        self._reactor = reactor
        self.timeout_s = timeout_s
        self._idle_max = connections
        # Idle connections by address, the last used one at the end.
        self._idle: dict[str, list[HttpConnection]] = {}

    def fetch(
        self,
        method: bytes,
        url: str,
        body: bytes = b"",
        timeout_s: float = 0.0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        stall_timeout_s: float = 0.0,
        label: object | None = None,
        read_label: Callable[[int, bytes], object | None] | None = None,
    ) -> Deferred:
        """Return a Deferred that fires with the status and the body.

        A request is sent at most once. Fails with Twisted's network errors,
        `twisted.internet.defer.TimeoutError` and `InvalidResponseError`.

        Parameters
        ----------
        method : bytes
            Method of the request.
        url : str
            Address and path.
        body : bytes
            JSON document.
        timeout_s : float
            Bounds the whole call; 0 for the timeout of the client.
        headers : tuple of (bytes, bytes)
            Further headers.
        stall_timeout_s : float
            If set, `timeout_s` bounds the time to the response only, and a transfer may
            take as long as its next part arrives within this time, whatever the
            bandwidth of the link.
        label : object or None
            If set, the request is sent on an idle connection with this label or fails
            with `NoLabelledConnectionError`.
        read_label : callable or None
            Returns what the status and the body of the response say of the process
            that sent it, None for nothing. This labels the connection, and closes the
            idle ones to the address that have another label.
        """
        address, _, path = url.removeprefix("http://").partition("/")
        request = _format_request(method, address, path, body, headers)
        deadline_s = self._reactor.seconds() + (timeout_s or self.timeout_s)
        connection = self._take_idle(address, label)
        if connection is not None:
            call = self._send(address, connection, request, deadline_s, stall_timeout_s)
            return self._label_at_end(call, address, connection, read_label)
        if label is not None:
            return fail(NoLabelledConnectionError(f"{address}: {label}"))
        return self._connect_and_send(
            address, request, deadline_s, stall_timeout_s, read_label
        )

    def _take_idle(self, address: str, label: object | None) -> HttpConnection | None:
        """Return the idle connection that was used last, of those with the label."""
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            if label is None or idle[index].label == label:
                return idle.pop(index)
        return None

    def _label_at_end(
        self,
        call: Deferred,
        address: str,
        connection: HttpConnection,
        read_label: Callable[[int, bytes], object | None] | None,
    ) -> Deferred:
        if read_label is None:
            return call

        def label_connection(response):
            label = read_label(*response)
            if label is not None:
                connection.label = label
                self._drop_others(address, label)
            return response

        return call.addCallback(label_connection)

    def _drop_others(self, address: str, label: object) -> None:
        """Close the idle connections that have another label."""
        for idle in list(self._idle.get(address, ())):
            if idle.label not in (None, label):
                self._forget(address, idle)
                idle.transport.loseConnection()

    @inlineCallbacks
    def _connect_and_send(
        self,
        address: str,
        request: bytes,
        deadline_s: float,
        stall_timeout_s: float,
        read_label: Callable[[int, bytes], object | None] | None,
    ):
        host, _, port = address.partition(":")
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, int(port or HTTP_PORT), CONNECT_TIMEOUT_S
        )
        connection = HttpConnection(
            partial(self._keep, address), partial(self._forget, address)
        )
        connecting = connectProtocol(endpoint, connection)
        timer = self._call_at(deadline_s, connecting.cancel)
        connecting.addBoth(_cancel_timer, timer)
        yield connecting
        if self._reactor.seconds() >= deadline_s:
            # After a pause of the process, sockets are handled before timers.
            self._keep(address, connection)
            raise internet_errors.TimeoutError(f"connected to {address} too late")
        call = self._send(address, connection, request, deadline_s, stall_timeout_s)
        result = yield self._label_at_end(call, address, connection, read_label)
        return result

    def _send(
        self,
        address: str,
        connection: HttpConnection,
        request: bytes,
        deadline_s: float,
        stall_timeout_s: float,
    ) -> Deferred:
        timer = self._call_at(deadline_s, self._time_out, address, connection)

        def extend_deadline() -> None:
            left_s = timer.getTime() - self._reactor.seconds()
            if left_s < stall_timeout_s:
                timer.delay(stall_timeout_s - left_s)

        def end(result):
            connection.on_progress = _ignore_progress
            return _cancel_timer(result, timer)

        connection.on_progress = extend_deadline
        return connection.send(request).addBoth(end)

    def _call_at(self, when_s: float, function, *arguments):
        delay_s = max(0.0, when_s - self._reactor.seconds())
        return self._reactor.callLater(delay_s, function, *arguments)

    def _time_out(self, address: str, connection: HttpConnection) -> None:
        """Give up a call, and idle connections that may be silent for good too."""
        error = TimeoutError(f"no response from {address}")
        connection.abort(error)
        for idle in self._idle.pop(address, ()):
            idle.abort(error)

    def _keep(self, address: str, connection: HttpConnection) -> None:
        """Keep an idle connection for the next call.

        The one that is unused longest gives way, since the answer to a call may allow
        the next call on its connection only.
        """
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > self._idle_max:
            idle.pop(0).transport.loseConnection()

    def _forget(self, address: str, connection: HttpConnection) -> None:
        """Drop a closed connection."""
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(address, None)


def _format_request(
    method: bytes,
    address: str,
    path: str,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
) -> bytes:
    names = {name.lower() for name, _ in headers}
    lines = [b"%s /%s HTTP/1.1" % (method, path.encode("ascii"))]
    if b"host" not in names:
        lines.append(b"Host: " + address.encode("ascii"))
    lines.extend(b"%s: %s" % header for header in headers)
    if body or method != b"GET":
        lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _ignore_progress() -> None:
    """Ignore the parts of a call that has ended."""


def _cancel_timer(result, timer):
    if timer.active():
        timer.cancel()
    return result
