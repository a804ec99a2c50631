"""A loopback proxy that delays, resets, silences or cuts connections one way."""

from enum import StrEnum

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class LinkFault(StrEnum):
    """What happens to the bytes of a link."""

    NONE = "none"
    # Nothing gets through, and nobody is told.
    SILENT = "silent"
    # Requests get through, answers do not.
    ANSWERS_LOST = "answers-lost"
    # Connections that are open go silent for good; new ones work.
    OPEN_SILENT = "open-silent"
    # Connections are reset, and new ones too.
    RESET = "reset"


class FaultyProxy(Factory):
    """Forwards connections on a free port to a target on loopback.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    host : str
        Loopback address to listen on and to connect to.
    target_port : int
        Port of the server behind.

    Attributes
    ----------
    delay_s : float
        Bytes are handed on so much later.
    """

    noisy = False

    def __init__(self, reactor, host: str, target_port: int) -> None:
        self.reactor = reactor
        self.host = host
        self.target_port = target_port
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.pairs: set[_NearSide] = set()
        self._listening = reactor.listenTCP(0, self, interface=host)
        self.port = self._listening.getHost().port

    def buildProtocol(self, _address):  # noqa: N802
        """Return the near side of a new connection."""
        return _NearSide(self)

    def inject(self, fault: LinkFault) -> None:
        """Set the fault of the link from now on; `NONE` ends it."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for near in list(self.pairs):
                near.abort()
        elif fault is LinkFault.OPEN_SILENT:
            for near in self.pairs:
                near.is_silent = True
            self.fault = LinkFault.NONE

    def close(self):
        """Stop listening and end all connections; gives a Deferred."""
        for near in list(self.pairs):
            near.abort()
        return self._listening.stopListening()


class _NearSide(Protocol):
    """The connection of a client, and its counterpart to the target."""

    def __init__(self, proxy: FaultyProxy) -> None:
        self._proxy = proxy
        self._far = None
        self._waiting: list[bytes] = []
        self.is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        proxy = self._proxy
        if proxy.fault is LinkFault.RESET:
            self.transport.abortConnection()
            return
        proxy.pairs.add(self)
        factory = ClientFactory()
        factory.noisy = False
        factory.protocol = lambda: _FarSide(self)
        factory.clientConnectionFailed = lambda *_: self.abort()
        proxy.reactor.connectTCP(proxy.host, proxy.target_port, factory)

    def far_made(self, far: "_FarSide") -> None:
        """Take the connection to the target."""
        self._far = far
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            far.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand a request on."""
        if self._is_cut(LinkFault.SILENT):
            return
        self._later(self._send_far, data)

    def from_far(self, data: bytes) -> None:
        """Hand an answer on."""
        if self._is_cut(LinkFault.SILENT, LinkFault.ANSWERS_LOST):
            return
        self._later(self.transport.write, data)

    def _is_cut(self, *faults: LinkFault) -> bool:
        # Bytes that were dropped are missed for good, so nothing follows them.
        if self._proxy.fault in faults:
            self.is_silent = True
        return self.is_silent

    def _later(self, send, data: bytes) -> None:
        if self._proxy.delay_s:
            self._proxy.reactor.callLater(self._proxy.delay_s, send, data)
        else:
            send(data)

    def _send_far(self, data: bytes) -> None:
        if self._far is None:
            self._waiting.append(data)
        else:
            self._far.transport.write(data)

    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        """End the counterpart."""
        self._proxy.pairs.discard(self)
        if self._far is not None:
            self._far.transport.loseConnection()

    def far_lost(self) -> None:
        """End the client's connection, unless the link is silent."""
        if not self._is_cut(LinkFault.SILENT):
            self.transport.loseConnection()

    def abort(self) -> None:
        """Reset both connections."""
        self._proxy.pairs.discard(self)
        self.transport.abortConnection()
        if self._far is not None:
            self._far.transport.abortConnection()


class _FarSide(Protocol):
    """The connection to the target."""

    def __init__(self, near: _NearSide) -> None:
        self._near = near

    def connectionMade(self) -> None:  # noqa: N802
        """Hand over what has waited."""
        self._near.far_made(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand an answer to the near side."""
        self._near.from_far(data)

    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        """Tell the near side."""
        self._near.far_lost()
