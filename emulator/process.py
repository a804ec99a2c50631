"""What the processes of an emulation share: event logs, commands and HTTP servers.

Times in logs are seconds of the host's monotonic clock, the same for all processes.
"""

import json
import os
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs

import msgspec
from twisted.internet import reactor, stdio
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver

from standins.faulty_proxy import LINK_PART_BYTES, LinkFault

LAG_INTERVAL_S = 0.05
# Shorter lags are not logged.
LAG_MIN_S = 0.03
FLUSH_INTERVAL_S = 0.5
LINE_BYTES_MAX = 1 << 22
# Time after which TCP first sends bytes again, which doubles each time.
RETRANSMISSION_S = 0.2


class EventLog:
    """Log of one process, one JSON row [time, event, fields] a line."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "wb", buffering=1 << 16)  # noqa: SIM115
        self._encode = msgspec.json.Encoder().encode
        self._expected_s = 0.0
        LoopingCall(self._file.flush).start(FLUSH_INTERVAL_S)
        self._measure_lag()

    def write(self, event: str, **fields) -> None:
        """Write one event."""
        self._file.write(self._encode([time.monotonic(), event, fields]) + b"\n")

    def flush(self) -> None:
        """Write out all events."""
        self._file.flush()

    def _measure_lag(self) -> None:
        now_s = time.monotonic()
        late_s = now_s - self._expected_s if self._expected_s else 0.0
        if late_s > LAG_MIN_S:
            self.write("lag", late_s=late_s)
        self._expected_s = now_s + LAG_INTERVAL_S
        reactor.callLater(LAG_INTERVAL_S, self._measure_lag)


class Controller(LineReceiver):
    """Passes the commands of the process that started this one to a stand-in.

    Each line of the standard input is a row of the name of a method of the stand-in and
    its arguments; reports are written to the standard output in the same way.

    Parameters
    ----------
    log : EventLog
        Log of this process.
    """

    delimiter = b"\n"
    MAX_LENGTH = LINE_BYTES_MAX

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.target: object = None

    def report(self, name: str, **fields) -> None:
        """Send a report."""
        self.sendLine(json.dumps([name, fields]).encode())

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Carry out a command."""
        name, arguments = json.loads(line)
        getattr(self.target, name)(**arguments)

    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        """End this process with the one that started it."""
        self._log.flush()
        os._exit(0)


def run_process(
    make_target: Callable[[EventLog, Callable[..., None], dict], object],
) -> None:
    """Run a stand-in process until its standard input is closed.

    The first argument is the path of its log, the second one a JSON document of its
    options. `make_target` is called with the log, a function that sends reports, and
    the options.
    """
    log = EventLog(Path(sys.argv[1]))
    controller = Controller(log)
    # Does not block, unlike a write to the standard output itself.
    stdio.StandardIO(controller)
    controller.target = make_target(log, controller.report, json.loads(sys.argv[2]))
    reactor.run(installSignalHandlers=False)


def next_retransmission_s(sent_s: float, now_s: float) -> float:
    """Return when bytes that were sent at `sent_s` are next sent again."""
    interval_s = RETRANSMISSION_S
    next_s = sent_s + interval_s
    while next_s < now_s:
        interval_s *= 2
        next_s += interval_s
    return next_s


class HttpPort(Factory):
    """A loopback port that is kept while no process listens on it.

    Parameters
    ----------
    serve : callable
        Called with each `Exchange`.
    port : int
        Port, 0 for a free one.
    clock : object
        Provides the time and delayed calls.

    Attributes
    ----------
    bytes_per_s : float
        Bandwidth of the responses, which all connections share; 0 for no limit.
    """

    noisy = False

    def __init__(
        self, serve: Callable[["Exchange"], None], port: int = 0, clock=reactor
    ) -> None:
        self.serve = serve
        self.clock = clock
        self.fault = LinkFault.NONE
        self.connections: set[_Connection] = set()
        self.bytes_per_s = 0.0
        # What each connection has to send; they take turns on a limited link.
        self._unsent: dict[_Connection, bytes] = {}
        self._is_sending = False
        # Binds the port without listening, so that connections are refused.
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind(("127.0.0.1", port))
        self.port = self._reservation.getsockname()[1]
        self._listening = None
        # While the port is dark: a listener whose queue is full, and what fills it.
        self._dark: list[socket.socket] = []
        self.listen()

    @property
    def is_dark(self) -> bool:
        """Whether nothing answers, not even the machine."""
        return bool(self._dark)

    def buildProtocol(self, _address):  # noqa: N802
        """Return the protocol of a new connection."""
        return _Connection(self)

    def listen(self) -> None:
        """Accept connections."""
        self._end_darkness()
        if self._listening is None:
            self._listening = reactor.listenTCP(
                self.port, self, backlog=512, interface="127.0.0.1"
            )

    def refuse(self) -> None:
        """Reset all connections and refuse new ones."""
        self._end_darkness()
        self._stop_listening()
        self.reset()

    def darken(self) -> None:
        """Answer nothing, as a machine without power, until the port is used again.

        Open connections carry nothing any more. The next process does not know them: it
        resets each one at its first packet, and none before. Attempts to connect
        stay open: their packets are dropped and sent again about once a second.
        """
        self._stop_listening()
        if self._dark:
            return
        for connection in self.connections:
            connection.forget()
        listener, filler = self._dark = [socket.socket(), socket.socket()]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        filler.connect(("127.0.0.1", self.port))

    def _end_darkness(self) -> None:
        if not self._dark:
            return
        while self._dark:
            self._dark.pop().close()
        for connection in list(self.connections):
            connection.end_darkness()

    def _stop_listening(self) -> None:
        if self._listening is not None:
            # Closes the socket at once, unlike stopListening.
            self._listening.connectionLost(None)
            self._listening = None

    def send(self, connection: "_Connection", data: bytes) -> None:
        """Send a response as the bandwidth allows."""
        if not self.bytes_per_s:
            connection.transport.write(data)
            return
        self._unsent[connection] = self._unsent.get(connection, b"") + data
        if not self._is_sending:
            self._send_part()

    def _send_part(self) -> None:
        self._is_sending = True
        connection = next(iter(self._unsent))
        data = self._unsent.pop(connection)
        part, rest = data[:LINK_PART_BYTES], data[LINK_PART_BYTES:]
        if rest:
            self._unsent[connection] = rest
        reactor.callLater(
            len(part) / self.bytes_per_s, self._end_part, connection, part
        )

    def _end_part(self, connection: "_Connection", part: bytes) -> None:
        if not connection.is_silent:
            connection.transport.write(part)
        self._is_sending = False
        if self._unsent:
            self._send_part()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def inject(self, fault: LinkFault) -> None:
        """Inject a fault into all connections; `NONE` ends the current one."""
        if fault is LinkFault.REFUSED:
            self.refuse()
        else:
            self.listen()
        self.fault = fault
        if fault is LinkFault.RESET:
            self.reset()
        if fault is LinkFault.OPEN_SILENT:
            self.silence_connections()
            self.fault = LinkFault.NONE

    def silence_connections(self) -> None:
        """Let the open connections carry nothing any more; new ones work."""
        for connection in self.connections:
            connection.is_silent = True


class _Connection(Protocol):
    def __init__(self, port: HttpPort) -> None:
        self.port = port
        self.is_silent = False
        # Whether the process that accepted it has ended without closing it.
        self._is_forgotten = False
        # When bytes were sent that the peer sends again until they are answered.
        self._unacknowledged_s: float | None = None
        self._buffer = b""

    @property
    def has_lost_bytes(self) -> bool:
        """Whether bytes were lost that the peer sends again."""
        return self._unacknowledged_s is not None

    def forget(self) -> None:
        """Carry nothing any more, as the machine has lost power."""
        self.is_silent = self._is_forgotten = True

    def end_darkness(self) -> None:
        """Reset the connection when the peer next sends bytes, or sends them again."""
        if self.has_lost_bytes:
            now_s = self.port.clock.seconds()
            sent_s = self._unacknowledged_s
            delay_s = next_retransmission_s(sent_s, now_s) - now_s
            self.port.clock.callLater(delay_s, self.transport.abortConnection)

    def connectionMade(self) -> None:  # noqa: N802
        if self.port.fault is LinkFault.RESET:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.port.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._is_forgotten:
            self._receive_forgotten()
            return
        if self.port.fault is LinkFault.SILENT:
            self.is_silent = True
        if self.is_silent:
            return
        self._buffer += data
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        first, *lines = head.split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines)
        size = int(headers.get(b"content-length", 0))
        if len(rest) < size:
            return
        self._buffer = rest[size:]
        method, target, _ = first.decode().split(" ", 2)
        self.port.serve(Exchange(self, method, target, headers, rest[:size]))

    def _receive_forgotten(self) -> None:
        if not self.port.is_dark:
            self.transport.abortConnection()
        elif not self.has_lost_bytes:
            self._unacknowledged_s = self.port.clock.seconds()

    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        self.port.connections.discard(self)
        self.is_silent = True


class Exchange:
    """A request and its response."""

    __slots__ = ("_connection", "body", "headers", "method", "path", "query")

    def __init__(self, connection, method, target, headers, body) -> None:
        self._connection = connection
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = {name: rows[0] for name, rows in parse_qs(query).items()}
        self.headers = headers
        self.body = json.loads(body) if body else {}

    @property
    def is_open(self) -> bool:
        """Whether a response can reach the client."""
        return not self._connection.is_silent

    def drop(self) -> None:
        """Never respond, nor to later requests on the connection."""
        self._connection.is_silent = True

    def reset(self) -> None:
        """Reset the connection."""
        self._connection.transport.abortConnection()

    def respond(self, status: int, document: dict | None = None) -> None:
        """Respond, unless the link loses answers or the client has gone."""
        if self._connection.port.fault in (LinkFault.ANSWERS_LOST, LinkFault.SILENT):
            self.drop()
        if self._connection.is_silent:
            return
        content = msgspec.json.encode(document or {})
        self._connection.port.send(
            self._connection,
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (status, len(content), content),
        )
