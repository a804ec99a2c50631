"""HTTP server with limits on requests and connections."""

from collections.abc import Callable
from enum import Enum, auto

from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from dogwoodlever._request_limits import RequestLimits


class BoundedRequest(Request):
    """Request whose body may not exceed the limit in force when its header ended."""

    _body_bytes_max = 0

    @property
    def is_open(self) -> bool:
        """Whether a response can still be written."""
        return not (self.finished or self._disconnected)

    def gotLength(self, length) -> None:  # noqa: N802
        """Reject a body whose announced length exceeds the limit."""
        super().gotLength(length)
        self._body_bytes_max = self.channel.site.get_limits().body_bytes_max
        if length is not None and length > self._body_bytes_max:
            self._reject()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Reject a body of unknown length once it exceeds the limit."""
        if self.channel.is_rejected:
            return
        if self.content.tell() + len(data) > self._body_bytes_max:
            self._reject()
            return
        super().handleContentChunk(data)

    def _reject(self) -> None:
        self.channel.reject(b"413 Content Too Large")


class Phase(Enum):
    """What a connection waits for."""

    # The first byte of a request.
    IDLE = auto()
    # The end of its header.
    HEADER = auto()
    # The end of its body.
    BODY = auto()
    # Its response.
    RESPONSE = auto()


class BoundedChannel(HTTPChannel):
    """Connection whose requests must arrive within the limits in force.

    A limit applies from the next request on; a time-out from its next start on.
    """

    def __init__(self) -> None:
        super().__init__()
        self._phase = Phase.IDLE
        # Whether a request was rejected; what follows is not read.
        self.is_rejected = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of a request."""
        if self.is_rejected:
            return
        if self._phase is Phase.IDLE:
            self._phase = Phase.HEADER
            limits = self.site.get_limits()
            self.MAX_LENGTH = self.totalHeadersSize = limits.header_bytes_max
            self.setTimeout(limits.header_timeout_s)
        super().dataReceived(data)

    def resetTimeout(self) -> None:  # noqa: N802
        """Wait again for the next byte, but for that of a header."""
        if self._phase is not Phase.HEADER:
            super().resetTimeout()

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Wait for the body."""
        self._phase = Phase.BODY
        self.setTimeout(self.site.get_limits().idle_timeout_s)
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle a complete request, unless it was rejected while it was parsed."""
        if self.is_rejected:
            return
        self._phase = Phase.RESPONSE
        super().allContentReceived()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Wait for the next request."""
        self._phase = Phase.IDLE
        # Used for the time-out that begins now.
        self._savedTimeOut = self.site.get_limits().idle_timeout_s
        super().requestDone(request)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection, with a response to a request that is incomplete."""
        if self._phase in (Phase.HEADER, Phase.BODY):
            self.reject(b"408 Request Timeout")
        else:
            super().timeoutConnection()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a header of which one line is too long."""
        self._reject_header()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Reject a header that is too long."""
        if self.is_rejected:
            return
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self._reject_header()
            return
        super().lineReceived(line)

    def _reject_header(self) -> None:
        self.reject(b"431 Request Header Fields Too Large")

    def reject(self, status: bytes) -> None:
        """Respond to a request that is not read to its end, and close the connection.

        It has not run, and will not.
        """
        self.is_rejected = True
        self.setTimeout(None)
        self.transport.write(
            b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status
        )
        super().timeoutConnection()


class BoundedSite(Site):
    """Site with limits on requests.

    Parameters
    ----------
    resource : Resource
        Root resource.
    get_limits : callable
        Returns the `RequestLimits` in force.
    """

    protocol = BoundedChannel

    def __init__(
        self, resource: Resource, get_limits: Callable[[], RequestLimits]
    ) -> None:
        super().__init__(resource, BoundedRequest)
        self.get_limits = get_limits
        self.displayTracebacks = False

    def buildProtocol(self, addr) -> BoundedChannel:  # noqa: N802
        """Build the protocol of an accepted connection."""
        self.timeOut = self.get_limits().idle_timeout_s
        return super().buildProtocol(addr)

    def log(self, request) -> None:
        """Write no access log; handlers log the events."""
