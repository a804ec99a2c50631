"""HTTP clients of workers, backend servers and the VM list."""

from io import BytesIO

import msgspec
from twisted.internet.defer import inlineCallbacks
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers

from dogwoodlever._http_client import (
    NOT_SENT_ERRORS,
    HttpClient,
    IpEndpointFactory,
)
from dogwoodlever._interfaces import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    VMList,
    VMStates,
    WorkerClient,
)
from dogwoodlever._worker_protocol import SyncRequest, WorkerReport
from dogwoodlever.platform_errors import (
    IncompleteResponseError,
    PlatformError,
    RequestNotSentError,
    WorkerUnreachableError,
)

CONNECT_TIMEOUT_S = 0.5
IDLE_CONNECTIONS_PER_SERVER = 4
IDLE_TIMEOUT_S = 15
HOP_BY_HOP_HEADERS = frozenset(
    {b"connection", b"transfer-encoding", b"keep-alive", b"content-length"}
)


class HttpWorkerClient(WorkerClient):
    """Client of the workers' agents: HTTP with JSON bodies."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @inlineCallbacks
    def sync(self, worker: str, host: str, port: int, request: SyncRequest):
        """Post a sync request and decode the worker's report."""
        url = f"http://{host}:{port}/sync"
        try:
            status, content = yield self._client.fetch(
                b"POST", url, msgspec.json.encode(request)
            )
            if status != 200:
                raise PlatformError(f"status {status}")
            return msgspec.json.decode(content, type=WorkerReport)
        except Exception as error:
            raise WorkerUnreachableError(f"worker {worker}: {error!r}") from error


class HttpBackendClient(BackendClient):
    """Client of the backend servers: HTTP/1.1 with pooled connections."""

    def __init__(self, reactor) -> None:
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_SERVER
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # Only the dispatcher may retry a request.
        pool.retryAutomatically = False
        endpoints = IpEndpointFactory(reactor, CONNECT_TIMEOUT_S)
        self._pooled_agent = Agent.usingEndpointFactory(reactor, endpoints, pool)
        self._unpooled_agent = Agent.usingEndpointFactory(reactor, endpoints)

    @inlineCallbacks
    def send(self, host: str, port: int, request: BackendRequest, reuse: bool):
        """Send a request and read the complete response."""
        agent = self._pooled_agent if reuse else self._unpooled_agent
        url = b"http://%s:%d%s" % (host.encode(), port, request.path)
        headers = Headers()
        for name, value in request.headers:
            headers.addRawHeader(name, value)
        producer = FileBodyProducer(BytesIO(request.body)) if request.body else None
        try:
            response = yield agent.request(request.method, url, headers, producer)
            body = yield readBody(response)
        except NOT_SENT_ERRORS as error:
            raise RequestNotSentError(f"{host}:{port}: {error!r}") from error
        except Exception as error:
            raise IncompleteResponseError(f"{host}:{port}: {error!r}") from error
        forwarded = tuple(
            (name, value)
            for name, values in response.headers.getAllRawHeaders()
            if name.lower() not in HOP_BY_HOP_HEADERS
            for value in values
        )
        return BackendResponse(response.code, forwarded, body)


class HttpVMList(VMList):
    """Client of the VM list: a JSON list of names and states."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    @inlineCallbacks
    def read(self):
        """Fetch the VMs that are listed and those that are leaving."""
        try:
            status, content = yield self._client.fetch(b"GET", self._url)
            if status != 200:
                raise PlatformError(f"status {status}")
            rows = msgspec.json.decode(content, type=list[dict[str, str]])
        except Exception as error:
            raise PlatformError(f"VM list: {error!r}") from error
        leaving = {row["name"] for row in rows if row.get("state") != "live"}
        return VMStates(frozenset(row["name"] for row in rows), frozenset(leaving))
