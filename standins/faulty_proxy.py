"""A TCP proxy on loopback that delays, drops or resets traffic."""

import socket
from enum import StrEnum

from twisted.internet.defer import inlineCallbacks, succeed
from twisted.internet.protocol import ClientFactory, Factory, Protocol

# Parts in which bytes share a link of limited bandwidth.
LINK_PART_BYTES = 4_096


class LinkFault(StrEnum):
    """Fault of a link."""

    NONE = "none"
    # All bytes are dropped and connections stay open.
    SILENT = "silent"
    # Requests are forwarded, responses are dropped.
    ANSWERS_LOST = "answers-lost"
    # Open connections drop all further bytes; new connections work.
    OPEN_SILENT = "open-silent"
    # Open and new connections are reset.
    RESET = "reset"
    # Open connections are reset and new ones refused, as if nothing listened.
    REFUSED = "refused"


class FaultyProxy(Factory):
    """Forwards connections from a free port to a target on loopback.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    host : str
        Loopback address to listen on and to connect to.
    target_port : int
        Port of the target.

    Attributes
    ----------
    delay_s : float
        Delay before bytes are forwarded.
    bytes_per_s : float
        Bandwidth towards the clients, which all connections share; 0 for no limit.
    """

    noisy = False

    def __init__(self, reactor, host: str, target_port: int) -> None:
        self.reactor = reactor
        self.host = host
        self.target_port = target_port
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        # When the link has sent all bytes that it has accepted.
        self._link_free_s = 0.0
        self.connections: set[_ClientConnection] = set()
        self._listening = reactor.listenTCP(0, self, interface=host)
        self.port = self._listening.getHost().port
        # Keeps the port while connections are refused.
        self._reservation: socket.socket | None = None

    def buildProtocol(self, _address):  # noqa: N802
        """Return the protocol of a new client connection."""
        return _ClientConnection(self)

    def inject(self, fault: LinkFault) -> None:
        """Inject a fault into the link; `NONE` ends the current one."""
        was_refusing = self.fault is LinkFault.REFUSED
        self.fault = fault
        if fault in (LinkFault.RESET, LinkFault.REFUSED):
            self._reset_connections()
        if fault is LinkFault.REFUSED and not was_refusing:
            self._refuse()
        elif fault is not LinkFault.REFUSED and self._reservation is not None:
            self._listen_again()
        if fault is LinkFault.OPEN_SILENT:
            self.silence_connections()
            self.fault = LinkFault.NONE

    def silence_connections(self) -> None:
        """Let the open connections carry nothing any more; new ones work."""
        for client in self.connections:
            client.is_silent = True

    def send_over_link(self, send, data: bytes) -> None:
        """Send bytes to a client, in parts as the bandwidth allows."""
        if not self.bytes_per_s:
            send(data)
            return
        now_s = self.reactor.seconds()
        for start in range(0, len(data), LINK_PART_BYTES):
            part = data[start : start + LINK_PART_BYTES]
            sent_s = max(now_s, self._link_free_s) + len(part) / self.bytes_per_s
            self._link_free_s = sent_s
            self.reactor.callLater(sent_s - now_s, send, part)

    def close(self):
        """Reset all connections; return a Deferred that fires once listening stops."""
        self._reset_connections()
        if self._reservation is not None:
            self._reservation.close()
            return succeed(None)
        return self._listening.stopListening()

    def _reset_connections(self) -> None:
        for client in list(self.connections):
            client.abort()

    @inlineCallbacks
    def _refuse(self):
        """Replace the listening socket by one that only keeps the port."""
        yield self._listening.stopListening()
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((self.host, self.port))
        if self.fault is not LinkFault.REFUSED:
            self._listen_again()

    def _listen_again(self) -> None:
        self._reservation.close()
        self._reservation = None
        self._listening = self.reactor.listenTCP(self.port, self, interface=self.host)


class _ClientConnection(Protocol):
    """Connection from a client, paired with one to the target."""

    def __init__(self, proxy: FaultyProxy) -> None:
        self._proxy = proxy
        self._target = None
        self._buffered: list[bytes] = []
        self.is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        proxy = self._proxy
        if proxy.fault is LinkFault.RESET:
            self.transport.abortConnection()
            return
        proxy.connections.add(self)
        factory = ClientFactory()
        factory.noisy = False
        factory.protocol = lambda: _TargetConnection(self)
        factory.clientConnectionFailed = lambda *_: self.abort()
        proxy.reactor.connectTCP(proxy.host, proxy.target_port, factory)

    def on_target_connected(self, target: "_TargetConnection") -> None:
        """Send the buffered bytes over the new connection to the target."""
        self._target = target
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            target.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes from the client."""
        if self._is_dropping(LinkFault.SILENT):
            return
        self._forward(self._send_to_target, data)

    def on_target_data(self, data: bytes) -> None:
        """Forward bytes from the target."""
        if self._is_dropping(LinkFault.SILENT, LinkFault.ANSWERS_LOST):
            return
        self._forward(self._send_to_client, data)

    def _is_dropping(self, *faults: LinkFault) -> bool:
        # Bytes after a gap would corrupt the stream, so the connection stays silent.
        if self._proxy.fault in faults:
            self.is_silent = True
        return self.is_silent

    def _forward(self, send, data: bytes) -> None:
        if self._proxy.delay_s:
            self._proxy.reactor.callLater(self._proxy.delay_s, send, data)
        else:
            send(data)

    def _send_to_client(self, data: bytes) -> None:
        self._proxy.send_over_link(self.transport.write, data)

    def _send_to_target(self, data: bytes) -> None:
        if self._target is None:
            self._buffered.append(data)
        else:
            self._target.transport.write(data)

    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        """Close the connection to the target."""
        self._proxy.connections.discard(self)
        if self._target is not None:
            self._target.transport.loseConnection()

    def on_target_lost(self) -> None:
        """Close the client's connection, unless the link is silent."""
        if not self._is_dropping(LinkFault.SILENT):
            self.transport.loseConnection()

    def abort(self) -> None:
        """Reset both connections."""
        self._proxy.connections.discard(self)
        self.transport.abortConnection()
        if self._target is not None:
            self._target.transport.abortConnection()


class _TargetConnection(Protocol):
    """Connection to the target."""

    def __init__(self, client: _ClientConnection) -> None:
        self._client = client

    def connectionMade(self) -> None:  # noqa: N802
        """Report the connection to the client side."""
        self._client.on_target_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes to the client side."""
        self._client.on_target_data(data)

    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        """Report the closed connection to the client side."""
        self._client.on_target_lost()
