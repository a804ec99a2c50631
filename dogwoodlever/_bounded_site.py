"""HTTP server with a limit on request bodies."""

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

IDLE_TIMEOUT_S = 60


class BoundedRequest(Request):
    """Request whose body may not exceed the site's limit."""

    _is_rejected = False

    @property
    def is_open(self) -> bool:
        """Whether a response can still be written."""
        return not (self.finished or self._disconnected)

    def gotLength(self, length) -> None:  # noqa: N802
        """Reject a body whose announced length exceeds the limit."""
        super().gotLength(length)
        if length is not None and length > self.channel.site.body_bytes_max:
            self._reject()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Reject a body of unknown length once it exceeds the limit."""
        if self._is_rejected:
            return
        if self.content.tell() + len(data) > self.channel.site.body_bytes_max:
            self._reject()
            return
        super().handleContentChunk(data)

    def _reject(self) -> None:
        self._is_rejected = True
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        self.channel.loseConnection()


class BoundedSite(Site):
    """Site with a limit on request bodies.

    Parameters
    ----------
    resource : Resource
        Root resource.
    body_bytes_max : int
        Maximum size of a request body.
    """

    def __init__(self, resource: Resource, body_bytes_max: int) -> None:
        super().__init__(resource, BoundedRequest, timeout=IDLE_TIMEOUT_S)
        self.body_bytes_max = body_bytes_max
        self.displayTracebacks = False

    def log(self, request) -> None:
        """Write no access log; handlers log the events."""
