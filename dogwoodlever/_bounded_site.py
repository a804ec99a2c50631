"""HTTP server with limits on requests and connections."""

from collections.abc import Callable
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET

from twisted.internet.interfaces import IReactorTime
from twisted.web.resource import Resource
from twisted.web.server import Site

from dogwoodlever._bounded_channel import BoundedChannel, BoundedRequest
from dogwoodlever._connection_table import ConnectionTable, RefusalCause
from dogwoodlever._parsing_turns import ParsingTurns
from dogwoodlever._port_capacity import PortCapacity
from dogwoodlever._request_limits import RequestLimits

SEND_BUFFER_BYTES = 32_768


class BoundedSite(Site):
    """Site with limits on requests, and on what all connections hold.

    Parameters
    ----------
    resource : Resource
        Root resource.
    get_limits : callable
        Returns the `RequestLimits` in force.
    capacity : PortCapacity or None
        What all connections may hold; the default if None.
    turns : ParsingTurns or None
        Turns of the event loop, which the ports of a process share; own ones if None.
    on_refused : callable
        Called with the `RefusalCause` of each refusal.
    reactor : IReactorTime or None
        Reactor of the connections, the global one if None.
    """

    protocol = BoundedChannel

    def __init__(
        self,
        resource: Resource,
        get_limits: Callable[[], RequestLimits],
        capacity: PortCapacity | None = None,
        turns: ParsingTurns | None = None,
        on_refused: Callable[[RefusalCause], None] = lambda cause: None,
        reactor: IReactorTime | None = None,
    ) -> None:
        super().__init__(
            resource, BoundedRequest, parsePOSTFormSubmission=False, reactor=reactor
        )
        self.get_limits = get_limits
        self.connections = ConnectionTable(capacity or PortCapacity(), on_refused)
        self.turns = ParsingTurns(self.reactor) if turns is None else turns
        self.displayTracebacks = False

    def listen(self, reactor, port: int, interface: str, backlog: int = 50) -> None:
        """Listen on a port, with socket buffers of the port's capacity."""
        listening = reactor.listenTCP(port, self, backlog=backlog, interface=interface)
        # Accepted sockets inherit them.
        buffer_bytes = self.connections.capacity.receive_buffer_bytes
        listening.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, buffer_bytes)
        listening.socket.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)

    def buildProtocol(self, addr) -> BoundedChannel:  # noqa: N802
        """Build the protocol of an accepted connection."""
        self.timeOut = self.get_limits().idle_timeout_s
        return super().buildProtocol(addr)

    def log(self, request) -> None:
        """Write no access log; handlers log the events."""
