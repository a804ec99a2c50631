"""Persistent HTTP connection that carries one request at a time."""

from collections.abc import Callable

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import Protocol, connectionDone

# A longer request is sent in parts, so that its progress on a slow link shows.
SEND_PART_BYTES = 16_384


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

    Attributes
    ----------
    on_progress : callable
        Called when a part of the open request was sent, or of its response received.
    label : object or None
        What the answers on the connection say of the process at its other end, None if
        not known.
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
        # What is left to send of the open request.
        self._unsent = memoryview(b"")
        self.on_progress: Callable[[], None] = lambda: None
        self.label: object | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests without delay."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: bytes) -> Deferred:
        """Send a request; return a Deferred that fires with the status and the body."""
        self._response = Deferred()
        self._parser = HttpResponseParser(self)
        self._body = []
        if len(request) <= SEND_PART_BYTES:
            self._write(request)
        else:
            self._unsent = memoryview(request)
            self.transport.registerProducer(self, False)
        return self._response

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next part of the request; called when the last one has been sent."""
        part, self._unsent = (
            self._unsent[:SEND_PART_BYTES],
            self._unsent[SEND_PART_BYTES:],
        )
        self.on_progress()
        self.transport.write(bytes(part))
        if not self._unsent:
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the rest of the request; called when the connection is closed."""
        self._unsent = memoryview(b"")

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
        self.on_progress()
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
        # A response to a part of a request leaves the rest unsent.
        if self._parser.should_keep_alive() and not self._unsent:
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
