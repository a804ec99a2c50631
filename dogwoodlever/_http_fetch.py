"""Small HTTP client over Twisted's agent, with a timeout on each call."""

from io import BytesIO

from twisted.internet.defer import inlineCallbacks
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers

CONNECT_TIMEOUT_S = 2.0
CONNECTIONS_PER_HOST = 4


class HttpFetcher:
    """Send requests and read whole answers over kept connections.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    timeout_s : float
        From the call to the whole answer.
    """

    def __init__(self, reactor, timeout_s: float) -> None:
        self._reactor = reactor
        self.timeout_s = timeout_s
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_HOST
        # A repeat is the caller's decision, by what the call means.
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    @inlineCallbacks
    def fetch(self, method: bytes, url: str, body: bytes = b""):
        """Return the status and the body of the answer.

        Fails with Twisted's errors, `twisted.internet.defer.CancelledError`
        or `TimeoutError` among them.
        """
        headers = Headers({b"content-type": [b"application/json"]})
        producer = FileBodyProducer(BytesIO(body)) if body else None
        call = self._agent.request(method, url.encode(), headers, producer)
        response = yield call.addTimeout(self.timeout_s, self._reactor)
        content = yield readBody(response).addTimeout(self.timeout_s, self._reactor)
        return response.code, content

    def close(self):
        """Close idle connections; gives a Deferred."""
        return self._pool.closeCachedConnections()
