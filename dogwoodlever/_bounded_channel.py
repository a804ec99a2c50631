"""HTTP connection whose requests must arrive within limits."""

from io import BytesIO
from weakref import finalize

from twisted.web.http import HTTPChannel, _ChunkedTransferDecoder
from twisted.web.server import Request

from dogwoodlever._connection_table import Phase, RefusalCause, TrackedConnection
from dogwoodlever._parsing_turns import (
    DECODED_BYTES_PER_UNIT,
    REQUEST_UNITS,
    ParsingConnection,
)

# Bytes read from a socket at once, and written before a response waits for its reader.
READ_BYTES = 8_192
# Memory of a request that is handled, besides its body.
HANDLED_BYTES = 2_048
# Memory of a header, in multiples of its size, as it arrives and while its request is
# handled: lines, arguments, path segments and cookies are objects of their own.
HEADER_FACTOR = 10
DECODED_HEADER_FACTOR = 24
# Memory of a response that is not sent, in multiples of its size: it has many parts.
UNSENT_FACTOR = 4
RETRY_AFTER_S = 1
# Work of a line of a header, in parsed chunks.
LINE_UNITS = 2
# Trailers behind a chunked body are not used, and kept as an object a line.
TRAILER_BYTES_MAX = 256
# Least mean size of the lines of a header; shorter ones take more memory than
# `DECODED_HEADER_FACTOR` counts.
HEADER_LINE_BYTES_MIN = 16

_STATUSES = {
    RefusalCause.MALFORMED: b"400 Bad Request",
    RefusalCause.HEADER_TOO_LARGE: b"431 Request Header Fields Too Large",
    RefusalCause.HEADER_TIMEOUT: b"408 Request Timeout",
    RefusalCause.BODY_TOO_LARGE: b"413 Content Too Large",
    RefusalCause.BODY_TIMEOUT: b"408 Request Timeout",
}
# For lack of room. To a submission 503 would promise that its job never runs, but an
# earlier copy of it may have been accepted; callers repeat it after a 504.
_UNAVAILABLE = b"503 Service Unavailable\r\nRetry-After: %d" % RETRY_AFTER_S
_UNKNOWN = b"504 Gateway Timeout\r\nRetry-After: %d" % RETRY_AFTER_S
_METHODS_WITHOUT_JOB = (b"GET", b"HEAD", b"DELETE")


class BoundedRequest(Request):
    """Request whose body may not exceed the limit in force when its header ended."""

    _body_bytes_max = 0

    @property
    def is_open(self) -> bool:
        """Whether a response can still be written."""
        return not (self.finished or self._disconnected)

    @property
    def body_bytes(self) -> int:
        """Size of the body, as far as it has arrived."""
        content = self.content
        return 0 if content is None or content.closed else content.getbuffer().nbytes

    def gotLength(self, length) -> None:  # noqa: N802
        """Reject a body whose announced length exceeds the limit."""
        # Twisted would keep a body of unknown length in a temporary file.
        self.content = BytesIO()
        self._body_bytes_max = self.channel.site.get_limits().body_bytes_max
        if length is not None and length > self._body_bytes_max:
            self.channel.refuse(RefusalCause.BODY_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Reject a body of unknown length once it exceeds the limit."""
        if self.channel.is_refused:
            return
        self.channel.site.turns.spend(1)
        if self.content.tell() + len(data) > self._body_bytes_max:
            self.channel.refuse(RefusalCause.BODY_TOO_LARGE)
            return
        super().handleContentChunk(data)


class BoundedChannel(HTTPChannel, ParsingConnection, TrackedConnection):
    """Connection whose requests must arrive within the limits in force.

    A limit applies from the next request on; a time-out from its next start on.
    """

    # Bytes behind a request that are read before its response is written.
    _optimisticEagerReadSize = 2_048
    # Method of the request that arrives, once its first line is there.
    _command = b""

    def __init__(self) -> None:
        super().__init__()
        self._phase = Phase.IDLE
        # Received, and not parsed yet.
        self._unparsed = b""
        self.request_bytes = 0
        self.held_bytes = 0
        # Memory of the request that is handled.
        self._handled_bytes = 0
        # Whether a request was refused; what follows is not read.
        self.is_refused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Start to wait for a request."""
        self.transport.bufferSize = READ_BYTES
        super().connectionMade()
        self.site.connections.add(self)

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Forget the connection; a request that is handled takes its memory on."""
        connections = self.site.connections
        self._unparsed = b""
        self.site.turns.discard(self)
        connections.remove(self)
        if self._phase is Phase.RESPONSE and not self.is_refused and self.requests:
            # Until its handler is done with it.
            connections.reserve(self._handled_bytes)
            finalize(self.requests[0], connections.reserve, -self._handled_bytes)
        super().connectionLost(reason)
        self.requests.clear()

    # Receiving

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of a request, to be parsed in a turn."""
        if self.is_refused:
            return
        if self._phase is Phase.IDLE:
            self._start_request()
        self.resetTimeout()
        self.request_bytes += len(data)
        self._unparsed += data
        self.site.turns.receive(self)
        self._update_held()

    def has_unparsed(self) -> bool:
        """Return whether bytes were received that are not parsed yet."""
        return bool(self._unparsed or (self.paused and self._buffer))

    def parse(self) -> None:
        """Parse what was received."""
        data, self._unparsed = self._unparsed, b""
        self.paused = False
        self.site.turns.spend(1)
        try:
            super().dataReceived(data)
        except ValueError:
            # Numbers of thousands of digits are not converted.
            self.refuse(RefusalCause.MALFORMED)
        self._update_held()

    def pause_reading(self) -> None:
        """Read nothing more from the socket."""
        self._networkProducer.pauseProducing()

    def resume_reading(self) -> None:
        """Read from the socket again, unless a response has to be read first."""
        is_waiting = self._phase is Phase.RESPONSE or self._waitingForTransport
        if not (is_waiting or self.transport.disconnecting):
            self._networkProducer.resumeProducing()

    def _start_request(self) -> None:
        self._set_phase(Phase.HEADER)
        self.request_bytes = 0
        limits = self.site.get_limits()
        self.MAX_LENGTH = self.totalHeadersSize = limits.header_bytes_max
        # Twisted refuses more lines with 400.
        self.maxHeaders = limits.header_bytes_max // HEADER_LINE_BYTES_MIN
        self.setTimeout(limits.header_timeout_s)

    def _set_phase(self, phase: Phase) -> None:
        self._phase = phase
        self.site.connections.set_phase(self, phase)

    def _update_held(self) -> None:
        """Report the memory of what has arrived and of what is not sent."""
        if self.is_refused:
            return
        held_bytes = len(self._unparsed) + len(self._buffer)
        held_bytes += sum(map(len, self._dataBuffer))
        held_bytes += UNSENT_FACTOR * self._count_unsent()
        if self._phase in (Phase.HEADER, Phase.BODY):
            held_bytes += HEADER_FACTOR * self._receivedHeaderSize
        if self._phase is Phase.BODY:
            held_bytes += self.requests[-1].body_bytes
        if self._phase is Phase.RESPONSE:
            held_bytes += self._handled_bytes
        self.site.connections.set_held(self, held_bytes)

    def _count_unsent(self) -> int:
        """Return the size of the responses that the caller has not read."""
        unsent = getattr(self.transport, "dataBuffer", b"")
        return len(unsent) + getattr(self.transport, "_tempDataLen", 0)

    # Parsing

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reject a header that is too long."""
        if self.is_refused:
            return
        if self._phase is Phase.IDLE:
            # It arrived behind the request before.
            self._start_request()
        self.site.turns.spend(LINE_UNITS)
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.refuse(RefusalCause.HEADER_TOO_LARGE)
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a header of which one line is too long."""
        self.refuse(RefusalCause.HEADER_TOO_LARGE)

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Take a header line; bound the trailers behind a chunked body."""
        is_valid = super().headerReceived(line)
        if isinstance(self._transferDecoder, _ChunkedTransferDecoder):
            self._transferDecoder._maxTrailerHeadersSize = TRAILER_BYTES_MAX
        return is_valid

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Wait for the body."""
        self._set_phase(Phase.BODY)
        self.setTimeout(self.site.get_limits().idle_timeout_s)
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle a complete request, unless it was refused while it was parsed."""
        if self.is_refused:
            return
        body_bytes = self.requests[-1].body_bytes
        self._phase = Phase.RESPONSE
        factor = self.site.connections.capacity.handled_factor
        self._handled_bytes = HANDLED_BYTES + factor * body_bytes
        self._handled_bytes += DECODED_HEADER_FACTOR * self._receivedHeaderSize
        if not self.site.connections.start_handling(self, self._handled_bytes):
            self.refuse(RefusalCause.MEMORY_COMPLETE)
            return
        self.site.turns.spend(REQUEST_UNITS + body_bytes // DECODED_BYTES_PER_UNIT)
        super().allContentReceived()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Wait for the next request."""
        self._set_phase(Phase.IDLE)
        # Used for the time-out that begins now.
        self._savedTimeOut = self.site.get_limits().idle_timeout_s
        # Requests behind this one are parsed in a later turn if this one is used up.
        self.paused = self.site.turns.is_used_up
        super().requestDone(request)
        if self.paused and self._buffer:
            self.site.turns.receive(self)
        self._pause_if_waiting()
        self._update_held()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on after responses were sent, unless the connection waits for its turn."""
        super().resumeProducing()
        self._pause_if_waiting()

    def _pause_if_waiting(self) -> None:
        if self.site.turns.is_waiting(self):
            self.pause_reading()

    # Closing

    def resetTimeout(self) -> None:  # noqa: N802
        """Wait again for the next byte, but for that of a header."""
        if self._phase is not Phase.HEADER:
            super().resetTimeout()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection, with a response to a request that is incomplete."""
        if self.has_unparsed():
            # What the caller has sent waits for its turn.
            self.setTimeout(self.site.get_limits().header_timeout_s)
        elif self._phase is Phase.HEADER:
            self.refuse(RefusalCause.HEADER_TIMEOUT)
        elif self._phase is Phase.BODY:
            self.refuse(RefusalCause.BODY_TIMEOUT)
        else:
            super().timeoutConnection()

    def _send100Continue(self) -> None:  # noqa: N802
        """Ask for the body, unless the request was refused."""
        if not self.is_refused:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuse a request that is not HTTP; called by the parser."""
        self.refuse(RefusalCause.MALFORMED)

    def refuse(self, cause: RefusalCause) -> None:
        """Refuse the request that is not answered, and close the connection.

        The request has not run, and will not.
        """
        if self.is_refused:
            return
        self.is_refused = True
        self.site.connections.note_refusal(cause)
        self.setTimeout(None)
        has_unread_responses = self._count_unsent() > 0
        if self._phase is not Phase.IDLE:
            is_submission = self._command not in _METHODS_WITHOUT_JOB
            no_room = _UNKNOWN if is_submission else _UNAVAILABLE
            self.transport.write(
                b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                % _STATUSES.get(cause, no_room)
            )
        self._unparsed = self._buffer = b""
        if self.requests and self.requests[-1].content is not None:
            self.requests[-1].content.close()
        self.site.connections.set_closing(self)
        if has_unread_responses:
            self.transport.abortConnection()
        else:
            super().timeoutConnection()
