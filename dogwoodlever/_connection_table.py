"""Open connections of a port and what they hold."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, StrEnum, auto

from dogwoodlever._port_capacity import PortCapacity

# Largest part of the memory that one complete request may take while others are
# handled: a crowd of large requests must leave room for small ones.
LARGE_REQUEST_FRACTION = 1 / 32
LARGE_REQUESTS_FRACTION = 1 / 2


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


class RefusalCause(StrEnum):
    """Why a request was refused, or a connection closed."""

    MALFORMED = "malformed"
    HEADER_TOO_LARGE = "header-too-large"
    HEADER_TIMEOUT = "header-timeout"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TIMEOUT = "body-timeout"
    # The port has its maximum of connections: the incomplete request that began first
    # was refused, or the connection closed that was idle for longest, or a new one.
    CONNECTIONS_INCOMPLETE = "connections-incomplete"
    CONNECTIONS_IDLE = "connections-idle"
    CONNECTIONS_NEW = "connections-new"
    # The port holds its maximum of bytes: the connection was closed that holds most in
    # an incomplete request or in responses that it does not read, or a complete request
    # could not be handled.
    MEMORY_INCOMPLETE = "memory-incomplete"
    MEMORY_COMPLETE = "memory-complete"


class TrackedConnection(ABC):
    """Connection in a `ConnectionTable`.

    Attributes
    ----------
    held_bytes : int
        Memory that its requests take, as the table was told last.
    """

    held_bytes: int

    @abstractmethod
    def refuse(self, cause: RefusalCause) -> None:
        """Refuse the incomplete request, if there is one, and close the connection."""


class ConnectionTable:
    """Keeps the connections of a port within its capacity.

    If there are too many, the incomplete request that began first is refused, as a
    caller that sends its request without a pause is soon past that. If they hold too
    much, the one is closed that holds most and whose request is not being handled.

    Parameters
    ----------
    capacity : PortCapacity
        What all connections may hold.
    on_refused : callable
        Called with the cause of each refusal.
    """

    def __init__(
        self, capacity: PortCapacity, on_refused: Callable[[RefusalCause], None]
    ) -> None:
        self.capacity = capacity
        self._on_refused = on_refused
        self._phases: dict[TrackedConnection, Phase] = {}
        # Connections by the time since which they are idle, and by the start of their
        # incomplete request.
        self._idle: dict[TrackedConnection, None] = {}
        self._incomplete: dict[TrackedConnection, None] = {}
        self.held_bytes = 0
        # Memory of each large request that is being handled.
        self._large: dict[TrackedConnection, int] = {}

    def __len__(self) -> int:
        return len(self._phases)

    @property
    def incomplete(self) -> int:
        """Number of connections with an incomplete request."""
        return len(self._incomplete)

    def note_refusal(self, cause: RefusalCause) -> None:
        """Count a refusal."""
        self._on_refused(cause)

    def add(self, connection: TrackedConnection) -> None:
        """Add a new connection, and close another one if there are too many."""
        self._phases[connection] = Phase.IDLE
        self._idle[connection] = None
        if len(self) > self.capacity.connections_max:
            self._close_one(connection)

    def _close_one(self, newcomer: TrackedConnection) -> None:
        if self._incomplete:
            oldest = next(iter(self._incomplete))
            oldest.refuse(RefusalCause.CONNECTIONS_INCOMPLETE)
            return
        longest_idle = next(iter(self._idle))
        is_new = longest_idle is newcomer
        longest_idle.refuse(
            RefusalCause.CONNECTIONS_NEW if is_new else RefusalCause.CONNECTIONS_IDLE
        )

    def set_phase(self, connection: TrackedConnection, phase: Phase) -> None:
        """Note what a connection waits for now."""
        if connection not in self._phases:
            return
        self._phases[connection] = phase
        self._idle.pop(connection, None)
        if phase in (Phase.IDLE, Phase.RESPONSE):
            self._incomplete.pop(connection, None)
            self._large.pop(connection, None)
        if phase is Phase.IDLE:
            self._idle[connection] = None
        elif phase in (Phase.HEADER, Phase.BODY):
            self._incomplete.setdefault(connection)

    def set_closing(self, connection: TrackedConnection) -> None:
        """Note that a connection is being closed and cannot be closed for another."""
        self._idle.pop(connection, None)
        self._incomplete.pop(connection, None)
        self._large.pop(connection, None)
        self.set_held(connection, 0)

    def remove(self, connection: TrackedConnection) -> None:
        """Remove a connection that was closed."""
        self.set_closing(connection)
        self._phases.pop(connection, None)

    def set_held(self, connection: TrackedConnection, held_bytes: int) -> None:
        """Note the memory of a connection's requests; refuse the largest if needed."""
        self.held_bytes += held_bytes - connection.held_bytes
        is_growth = held_bytes > connection.held_bytes
        connection.held_bytes = held_bytes
        while is_growth and self.held_bytes > self.capacity.held_bytes_max:
            candidates = (*self._incomplete, *self._idle)
            largest = max(candidates, key=lambda each: each.held_bytes, default=None)
            if largest is None or not largest.held_bytes:
                return
            largest.refuse(RefusalCause.MEMORY_INCOMPLETE)

    def reserve(self, held_bytes: int) -> None:
        """Count memory of a request without a connection, or end that if negative."""
        self.held_bytes += held_bytes

    def start_handling(self, connection: TrackedConnection, handled_bytes: int) -> bool:
        """Note that a request is complete; return whether there is memory to handle it.

        Incomplete requests are refused for it, the largest first.
        """
        self.set_phase(connection, Phase.RESPONSE)
        limit_bytes = self.capacity.held_bytes_max
        is_large = handled_bytes > limit_bytes * LARGE_REQUEST_FRACTION
        large_bytes = sum(self._large.values()) + handled_bytes
        if (
            is_large
            and self._large
            and large_bytes > limit_bytes * LARGE_REQUESTS_FRACTION
        ):
            return False
        # Only what is not being handled can give way.
        others_bytes = self.held_bytes - connection.held_bytes
        waiting_bytes = sum(
            each.held_bytes for each in (*self._incomplete, *self._idle)
        )
        kept_bytes = others_bytes - waiting_bytes
        # A request alone is handled whatever the memory.
        if kept_bytes and kept_bytes + handled_bytes > limit_bytes:
            return False
        if is_large:
            self._large[connection] = handled_bytes
        self.set_held(connection, handled_bytes)
        return True
