"""TCP connections between daemons; each daemon sends on those it opened itself."""

import hmac
from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from dogwoodlever._codec import decode, encode
from dogwoodlever._logs import log_event
from dogwoodlever._messages import Hello, Message
from dogwoodlever.peer_errors import FrameError

FRAME_BYTES_MAX = 1_200_000
HELLO_BYTES_MAX = 4096
UNSENT_BYTES_MAX = 4_000_000
HELLO_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
INCOMING_CONNECTIONS_MAX = 1000

MessageReceiver = Callable[[str, Message], None]


class PeerTransport(ABC):
    """Transport of messages to members; delivery may fail without notice."""

    @abstractmethod
    def set_peers(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Set the addresses of the other members, by member id."""

    @abstractmethod
    def send(self, member: str, message: Message) -> None:
        """Send a message, or drop it if the member is unreachable."""

    def reset(self, member: str) -> None:
        """Drop the connection to a member that is silent; optional."""
        return

    @abstractmethod
    def set_receiver(self, receiver: MessageReceiver) -> None:
        """Set the callable that receives (sender's member id, message)."""


class _IncomingProtocol(Int32StringReceiver):
    """Connection that a peer opened; carries frames to this daemon."""

    MAX_LENGTH = HELLO_BYTES_MAX

    def __init__(self, mesh: "TcpMesh") -> None:
        self._mesh = mesh
        self._member = ""
        self._timeout = None

    def connectionMade(self) -> None:  # noqa: N802
        """Reject connections over the limit, and wait for a hello."""
        if not self._mesh.accept(self):
            self.transport.abortConnection()
            return
        self._timeout = self._mesh.clock.callLater(
            HELLO_TIMEOUT_S, self._hello_timed_out
        )

    @property
    def is_known(self) -> bool:
        """Whether the peer has sent the shared key."""
        return bool(self._member)

    def _hello_timed_out(self) -> None:
        self._timeout = None
        self.drop("no hello before the timeout")

    def drop(self, why: str) -> None:
        """Close the connection at once."""
        address = self.transport.getPeer()
        log_event("peer.dropped", address=f"{address.host}:{address.port}", why=why)
        self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle one frame; the first must be a hello with the shared key."""
        try:
            message = decode(string)
        except FrameError as error:
            self.drop(str(error))
            return
        if self._member:
            self._mesh.handle_message(self._member, message)
            return
        self._authenticate(message)

    def _authenticate(self, message: Message) -> None:
        if not isinstance(message, Hello) or not self._mesh.accepts_key(message.key):
            self.drop("first frame is not a hello with the shared key")
            return
        self._member = message.member
        self.MAX_LENGTH = FRAME_BYTES_MAX
        self._cancel_timeout()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Drop a connection that announces an oversized frame."""
        self.drop(f"frame of {length} bytes exceeds the limit")

    def _cancel_timeout(self) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Remove the connection from the mesh."""
        self._cancel_timeout()
        self._mesh.remove_incoming(self)


class _IncomingFactory(Factory):
    noisy = False

    def __init__(self, mesh: "TcpMesh") -> None:
        self._mesh = mesh

    def buildProtocol(self, addr):  # noqa: N802
        """Build the protocol of an accepted connection."""
        return _IncomingProtocol(self._mesh)


class _OutgoingProtocol(Int32StringReceiver):
    """Connection that this daemon opened; carries frames to the peer."""

    def __init__(self, link: "_OutgoingLink") -> None:
        self._link = link

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Clear the connection, so that the next message opens a new one."""
        self._link.connection = None


class _OutgoingLink:
    """Outgoing connection to one member, opened when a message is sent."""

    __slots__ = ("_mesh", "address", "connecting", "connection")

    def __init__(self, mesh: "TcpMesh", address: tuple[str, int]) -> None:
        self._mesh = mesh
        self.address = address
        self.connection: _OutgoingProtocol | None = None
        self.connecting = False

    def send(self, data: bytes) -> None:
        if self.connection is None:
            self._connect()
            return
        if len(self.connection.transport.dataBuffer) > UNSENT_BYTES_MAX:
            # Bounds the memory that a peer which does not read can take up here.
            self.connection.transport.abortConnection()
            return
        self.connection.sendString(data)

    def _connect(self) -> None:
        if self.connecting:
            return
        self.connecting = True
        host, port = self.address
        endpoint = TCP4ClientEndpoint(self._mesh.reactor, host, port, CONNECT_TIMEOUT_S)
        deferred = connectProtocol(endpoint, _OutgoingProtocol(self))
        deferred.addCallbacks(self._connected, self._failed)

    def _connected(self, connection: _OutgoingProtocol) -> None:
        self.connecting = False
        self.connection = connection
        connection.transport.setTcpNoDelay(True)
        connection.sendString(encode(self._mesh.hello()))

    def _failed(self, _failure) -> None:
        self.connecting = False

    def close(self) -> None:
        if self.connection is not None:
            self.connection.transport.loseConnection()


class TcpMesh(PeerTransport):
    """Peer transport over TCP with length-prefixed frames.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    clock : IReactorTime
        Clock of timeouts.
    member : str
        Member id of this daemon.
    key : str
        Shared key of all daemons.
    connections_max : int
        Maximum number of connections that peers have opened; a lower one that is set
        later closes none of them.
    """

    def __init__(
        self,
        reactor,
        clock,
        member: str,
        key: str,
        connections_max: int = INCOMING_CONNECTIONS_MAX,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.bytes_sent = 0
        self._member = member
        self._key = key
        self.connections_max = connections_max
        self._links: dict[str, _OutgoingLink] = {}
        # In the order in which they were opened.
        self._incoming: dict[_IncomingProtocol, None] = {}
        self._receiver: MessageReceiver | None = None

    def set_key(self, key: str) -> None:
        """Set the shared key for new connections."""
        self._key = key

    def factory(self) -> Factory:
        """Return the factory of the listening port."""
        return _IncomingFactory(self)

    def hello(self) -> Hello:
        """Return the first message of a connection."""
        return Hello(self._key, self._member)

    def accepts_key(self, key: str) -> bool:
        """Return whether a key is the shared key, compared in constant time."""
        return hmac.compare_digest(key.encode(), self._key.encode())

    def accept(self, connection: _IncomingProtocol) -> bool:
        """Register an incoming connection; return False if there are too many.

        The oldest one whose peer is not known yet gives way.
        """
        if len(self._incoming) >= self.connections_max:
            unknown = next((c for c in self._incoming if not c.is_known), None)
            if unknown is None:
                return False
            unknown.drop("too many connections")
            self._incoming.pop(unknown, None)
        self._incoming[connection] = None
        return True

    def remove_incoming(self, connection: _IncomingProtocol) -> None:
        """Remove an incoming connection."""
        self._incoming.pop(connection, None)

    def set_receiver(self, receiver: MessageReceiver) -> None:
        """Set the callable that receives incoming messages."""
        self._receiver = receiver

    def handle_message(self, member: str, message: Message) -> None:
        """Pass an incoming message to the receiver."""
        if self._receiver is not None:
            self._receiver(member, message)

    def set_peers(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Set the addresses, and close connections to members not among them."""
        for member in set(self._links) - set(addresses):
            self._links.pop(member).close()
        for member, address in addresses.items():
            link = self._links.get(member)
            if link is None or link.address != address:
                if link is not None:
                    link.close()
                self._links[member] = _OutgoingLink(self, address)

    def send(self, member: str, message: Message) -> None:
        """Send a message; without a connection, drop it and connect."""
        link = self._links.get(member)
        if link is None:
            return
        data = encode(message)
        self.bytes_sent += len(data) + 4
        link.send(data)

    def reset(self, member: str) -> None:
        """Drop the connection to a member, so that the next message reconnects.

        After a network partition, TCP retransmits at ever longer intervals.
        """
        link = self._links.get(member)
        if link is not None and link.connection is not None:
            link.connection.transport.abortConnection()

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()
        for connection in list(self._incoming):
            connection.transport.loseConnection()
