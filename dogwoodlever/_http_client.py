"""Small HTTP client over Twisted's agent, with a timeout on each call."""

from io import BytesIO

from twisted.internet import error as internet_errors
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestNotSent,
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_S = 2.0
CONNECTIONS_PER_HOST = 4
# Errors after which no byte of the request has left.
NOT_SENT_ERRORS = (
    internet_errors.ConnectError,
    internet_errors.ConnectingCancelledError,
    internet_errors.DNSLookupError,
    RequestNotSent,
)


@implementer(IAgentEndpointFactory)
class IpEndpointFactory:
    """Endpoints of servers that are named by IP number.

    Twisted's own factory resolves and encodes the host of every request as a
    name, which an IP number does not need.

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
    """Send requests and read whole answers over kept connections.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    timeout_s : float
        From the call to the whole answer, unless a call sets its own.
    connections : int
        Idle connections kept to one host.
    """

    def __init__(
        self, reactor, timeout_s: float, connections: int = CONNECTIONS_PER_HOST
    ) -> None:
        self._reactor = reactor
        self.timeout_s = timeout_s
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = connections
        # A repeat is the caller's decision, by what the call means.
        pool.retryAutomatically = False
        self._pool = pool
        endpoints = IpEndpointFactory(reactor, CONNECT_TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool)

    @inlineCallbacks
    def fetch(
        self,
        method: bytes,
        url: str,
        body: bytes = b"",
        timeout_s: float = 0.0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ):
        """Return the status and the body of the answer.

        Fails with Twisted's errors, `twisted.internet.defer.CancelledError`
        or `TimeoutError` among them.
        """
        request_headers = Headers({b"content-type": [b"application/json"]})
        for name, value in headers:
            request_headers.addRawHeader(name, value)
        producer = FileBodyProducer(BytesIO(body)) if body else None
        call_timeout_s = timeout_s or self.timeout_s
        call = self._agent.request(method, url.encode(), request_headers, producer)
        response = yield call.addTimeout(call_timeout_s, self._reactor)
        content = yield readBody(response).addTimeout(call_timeout_s, self._reactor)
        return response.code, content

    def close(self):
        """Close idle connections; gives a Deferred."""
        return self._pool.closeCachedConnections()
