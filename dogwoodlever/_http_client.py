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
# Errors after which no byte of the request has been sent.
NOT_SENT_ERRORS = (
    internet_errors.ConnectError,
    internet_errors.ConnectingCancelledError,
    internet_errors.DNSLookupError,
    RequestNotSent,
)


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
        Timeout of the response, and of its body, unless a call sets its own.
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
        # Whether a request may be retried depends on the call, so the caller decides.
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
        """Return a Deferred that fires with the status and the body.

        Fails with Twisted's errors, `twisted.internet.defer.CancelledError` and
        `TimeoutError` among them.
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
        """Close idle connections; return a Deferred that fires when they are closed."""
        return self._pool.closeCachedConnections()
