"""Persistent HTTP connection that carries one request at a time."""

from collections.abc import Callable

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import Protocol, connectionDone


class InvalidResponseError(Exception):
    """The server sent something other than an HTTP response."""


class HttpConnection(Protocol):
    """Sends one request at a time and collects its response.

    A response needs a length or chunks; one that ends with the connection counts as
    incomplete.

    Parameters
    ----------
    on_idle : callable
        Called with the connection when it can carry another request.
    on_lost : callable
        Called with the connection when it has been closed.
    """

    def __init__(
        self,
        on_idle: Callable[["HttpConnection"], None],
        on_lost: Callable[["HttpConnection"], None],
    ) -> None:
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._response: Deferred | None = None
        self._parser: HttpResponseParser | None = None
        self._body: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests without delay."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: bytes) -> Deferred:
        """Send a request; return a Deferred that fires with the status and the body."""
        self._response = Deferred()
        self._parser = HttpResponseParser(self)
        self._body = []
        self._write(request)
        return self._response

    def _write(self, data: bytes) -> None:
        """Write at once what the socket takes.

        The transport alone would wait for the reactor to report that the socket is
        writable, which takes three more system calls for each request.
        """
        try:
            sent = self.transport.getHandle().send(data)
        except OSError:
            # Full, or closed, which the transport reports.
            sent = 0
        if sent < len(data):
            self.transport.write(data[sent:])

    def abort(self, error: Exception) -> None:
        """Close the connection at once, and fail the open request with `error`."""
        response, self._response = self._response, None
        self.transport.abortConnection()
        if response is not None:
            response.errback(error)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a response."""
        if self._response is None:
            self.abort(InvalidResponseError("data without a request"))
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self.abort(InvalidResponseError(str(error)))

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the response; called by the parser."""
        response, self._response = self._response, None
        status = self._parser.get_status_code()
        if self._parser.should_keep_alive():
            self._on_idle(self)
        else:
            self.transport.loseConnection()
        response.callback((status, b"".join(self._body)))

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Fail the request whose response is incomplete."""
        self._on_lost(self)
        response, self._response = self._response, None
        if response is not None:
            response.errback(ConnectionLost(reason.getErrorMessage()))
