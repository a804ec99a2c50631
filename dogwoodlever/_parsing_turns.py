"""Turns of the event loop in which received bytes are parsed."""

import heapq
from abc import ABC, abstractmethod

# Work of one turn, in units of a parsed chunk: some milliseconds of a standard core.
TURN_UNITS = 1_000
# A request that is answered at once, with its response.
REQUEST_UNITS = 40
# Bytes of a body whose decoding takes a unit.
DECODED_BYTES_PER_UNIT = 16
# A connection goes before a later one whose request is shorter by this for each that
# came between them.
AGE_BYTES = 16
# Pause after a turn whose work was used up, in which the loop serves everything else.
PAUSE_S = 0.01
PAUSE_MAX_S = 0.25


class ParsingConnection(ABC):
    """Connection whose received bytes are parsed in turns.

    Attributes
    ----------
    request_bytes : int
        Size of what has arrived of the current request.
    """

    request_bytes: int

    @abstractmethod
    def has_unparsed(self) -> bool:
        """Return whether bytes were received that are not parsed yet."""

    @abstractmethod
    def parse(self) -> None:
        """Parse what was received; the work is counted by `ParsingTurns.spend`."""

    @abstractmethod
    def pause_reading(self) -> None:
        """Read nothing more from the socket."""

    @abstractmethod
    def resume_reading(self) -> None:
        """Read from the socket again."""


class ParsingTurns:
    """Bounds the work that parsing takes in one turn of the event loop.

    Connections that have to wait are read no further, and go on with the one of which
    least of its request has arrived, so that short requests pass long ones for a time.

    Parameters
    ----------
    clock : IReactorTime
        Reactor clock.
    """

    def __init__(self, clock) -> None:
        self._clock = clock
        self._spent = 0
        self._timer = None
        # Heap of (rank, order of arrival, connection).
        self._waiting: list[tuple[int, int, ParsingConnection]] = []
        self._queued: set[ParsingConnection] = set()
        self._order = 0

    @property
    def waiting(self) -> int:
        """Number of connections that wait for a turn."""
        return len(self._queued)

    @property
    def is_used_up(self) -> bool:
        """Whether the work of this turn is used up."""
        return self._spent >= TURN_UNITS

    def is_waiting(self, connection: ParsingConnection) -> bool:
        """Return whether a connection waits for a turn."""
        return connection in self._queued

    def spend(self, units: int) -> None:
        """Count work."""
        self._spent += units

    def receive(self, connection: ParsingConnection) -> None:
        """Parse what a connection has received, now or in a later turn."""
        if self._queued or self.is_used_up:
            self._enqueue(connection)
        else:
            self._parse(connection)
        # A turn with little work needs no end: work of several such turns is counted
        # together until half of a turn's is reached.
        is_due = self._queued or self._spent > TURN_UNITS / 2
        if is_due and self._timer is None:
            self._timer = self._clock.callLater(0, self._begin_turn)

    def discard(self, connection: ParsingConnection) -> None:
        """Forget a connection that was closed."""
        if connection in self._queued:
            self._queued.remove(connection)
            self._waiting = [row for row in self._waiting if row[2] is not connection]
            heapq.heapify(self._waiting)

    def _enqueue(self, connection: ParsingConnection) -> None:
        # It may have been read again after a response.
        connection.pause_reading()
        if connection in self._queued:
            return
        self._queued.add(connection)
        self._order += 1
        rank = connection.request_bytes + AGE_BYTES * self._order
        row = (rank, self._order, connection)
        heapq.heappush(self._waiting, row)

    def _parse(self, connection: ParsingConnection) -> None:
        connection.parse()
        if connection.has_unparsed():
            self._enqueue(connection)

    def _begin_turn(self) -> None:
        excess = self._spent / TURN_UNITS
        self._spent = 0
        self._timer = None
        if excess > 1.0 and self._waiting:
            # More work than a turn's was done at once.
            self._pause(excess)
            return
        while self._waiting and not self.is_used_up:
            connection = heapq.heappop(self._waiting)[2]
            if connection not in self._queued:
                continue
            self._queued.remove(connection)
            connection.resume_reading()
            self._parse(connection)
        if self._waiting:
            self._pause(self._spent / TURN_UNITS)
            self._spent = 0
        elif self._spent:
            self._timer = self._clock.callLater(0, self._begin_turn)

    def _pause(self, turns: float) -> None:
        pause_s = min(PAUSE_MAX_S, PAUSE_S * max(1.0, turns))
        self._timer = self._clock.callLater(pause_s, self._begin_turn)
