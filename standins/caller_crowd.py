"""A crowd of callers that don't behave: ``python -m standins.caller_crowd CROWD``.

CROWD is a JSON document with the fields of `Crowd`. The process opens all connections,
sends what they send and holds them until its standard input ends or its time is up. It
prints one JSON line when every connection is opened or refused, and one when nothing is
left to be sent or nothing could be sent for a while.
"""

import errno
import json
import select
import socket
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from enum import StrEnum

SEND_BYTES = 65_536
# Links have small windows.
UNREAD_WINDOW_BYTES = 4_096
# Connections that are being opened at the same time, below the backlog of a listener.
CONNECTING_MAX = 100
# Without progress for this long, an opening or a sending crowd is taken to be complete.
QUIET_S = 4.0
# A byte that is a chunk of its own, and a space, which JSON allows between values.
BYTE_CHUNK = b"1\r\n \r\n"


class Form(StrEnum):
    """What each connection sends."""

    CHUNKED = "chunked"  # A chunked body without its last chunk.
    LENGTH = "length"  # A body that stops one byte short of its length.
    HEADER = "header"  # A header without its end.
    PIPELINED = "pipelined"  # Whole requests, one after the other.
    STEPS = "steps"  # A whole job of many small steps.
    IDLE = "idle"  # Nothing.


@dataclass(frozen=True, slots=True)
class Crowd:
    """A crowd that is fixed in number and time.

    Attributes
    ----------
    form : Form
        What each connection sends.
    connections : int
        Number of connections; none is opened anew.
    size_bytes : int
        Size of the body, the header or all pipelined requests of a connection.
    chunk_bytes : int
        Size of the chunks of a chunked body.
    trickles : bool
        Whether each connection goes on with a byte each second.
    reads : bool
        Whether answers are read.
    path : str
        Path of the requests; ``ID`` is replaced by a job's id.
    life_s : float
        Time after which the crowd ends by itself.
    """

    form: Form
    connections: int
    size_bytes: int = 0
    chunk_bytes: int = 0
    trickles: bool = False
    reads: bool = True
    path: str = "/quotes/ID"
    life_s: float = 150.0

    def head(self, number: int, tail_bytes: int) -> bytes:
        """Return what a connection sends before the tail that is common to all."""
        if self.form == Form.IDLE:
            return b""
        path = self.path.replace("ID", f"{number + 1:016x}")
        method = "GET" if self.form in (Form.PIPELINED, Form.HEADER) else "POST"
        head = f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n".encode()
        if self.form == Form.CHUNKED:
            return head + b"Transfer-Encoding: chunked\r\n\r\n"
        if self.form in (Form.LENGTH, Form.STEPS):
            length = tail_bytes + (self.form == Form.LENGTH)
            return head + b"Content-Length: %d\r\n\r\n" % length
        return head

    def tail(self) -> bytes:
        """Return what all connections send after their heads."""
        if self.form == Form.CHUNKED:
            chunk = b"%x\r\n%b\r\n" % (self.chunk_bytes, b" " * self.chunk_bytes)
            last_bytes = self.size_bytes % self.chunk_bytes
            last = b"%x\r\n%b\r\n" % (last_bytes, b" " * last_bytes)
            chunks = chunk * (self.size_bytes // self.chunk_bytes)
            return chunks + (last if last_bytes else b"")
        if self.form == Form.LENGTH:
            return b" " * (self.size_bytes - 1)
        if self.form == Form.HEADER:
            line = b"X-Filler: %b\r\n" % (b"x" * 88)
            return line * (self.size_bytes // len(line)) + b"X-Last: "
        if self.form == Form.PIPELINED:
            request = f"GET {self.path.replace('ID', '')} HTTP/1.1\r\n".encode()
            request += b"Host: desk.example\r\n\r\n"
            return b"\r\n" + request * (self.size_bytes // len(request))
        if self.form == Form.STEPS:
            step = b'{"count":1,"cpu":500}'
            steps = b",".join([step] * ((self.size_bytes - 40) // (len(step) + 1)))
            return b'{"spec":"many","steps":[%b]}' % steps
        return b""


class CrowdProcess:
    """A crowd in a process of its own.

    Parameters
    ----------
    crowd : Crowd
        The crowd.
    host, port : str, int
        Address that it connects to.
    """

    def __init__(self, crowd: Crowd, host: str, port: int) -> None:
        document = asdict(crowd) | {"host": host, "port": port}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins.caller_crowd", json.dumps(document)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            # A buffer would hide a line that was read together with the one before.
            bufsize=0,
        )

    def wait_for_report(self, timeout_s: float) -> dict | None:
        """Return the next line of the process, None if there is none in time."""
        if not select.select([self._process.stdout], [], [], timeout_s)[0]:
            return None
        return json.loads(self._process.stdout.readline() or b"null")

    def close(self) -> None:
        """End the process and with it all its connections."""
        self._process.kill()
        self._process.wait()
        self._process.stdin.close()
        self._process.stdout.close()


class _Caller:
    """One connection of a crowd."""

    __slots__ = ("head", "is_open", "sent_bytes", "socket")

    def __init__(self, head: bytes, reads: bool) -> None:
        self.head = head
        self.sent_bytes = 0
        self.is_open = False
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_WINDOW_BYTES
            )
        self.socket.setblocking(False)


class _CrowdLoop:
    """The connections of a crowd, in one loop without threads."""

    def __init__(self, crowd: Crowd, address: tuple[str, int]) -> None:
        self._crowd = crowd
        self._address = address
        self._tail = crowd.tail()
        self._waiting = list(range(crowd.connections))
        self._connecting = 0
        self._callers: dict[int, _Caller] = {}
        self._poll = select.epoll()
        self._read_events = select.EPOLLIN if crowd.reads else 0
        self._sent_bytes = 0
        self._lost = 0
        self._progress_s = time.monotonic()
        self._reports = ["opened", "sent"]

    def run(self) -> None:
        """Run until standard input ends or the crowd's time is up."""
        end_s = time.monotonic() + self._crowd.life_s
        trickle_s = time.monotonic() + 1.0
        self._poll.register(sys.stdin.fileno(), select.EPOLLIN)
        while time.monotonic() < end_s:
            self._open_some()
            for number, events in self._poll.poll(0.2):
                if number == sys.stdin.fileno():
                    return
                self._serve(self._callers[number], events)
            if self._crowd.trickles and time.monotonic() >= trickle_s:
                trickle_s += 1.0
                self._trickle()
            self._report()

    def _open_some(self) -> None:
        while self._waiting and self._connecting < CONNECTING_MAX:
            head = self._crowd.head(self._waiting.pop(0), len(self._tail))
            caller = _Caller(head, self._crowd.reads)
            self._callers[caller.socket.fileno()] = caller
            self._connecting += 1
            error = caller.socket.connect_ex(self._address)
            if error not in (0, errno.EINPROGRESS):
                self._lose(caller)
                continue
            self._poll.register(caller.socket, self._read_events | select.EPOLLOUT)

    def _serve(self, caller: _Caller, events: int) -> None:
        if not caller.is_open:
            self._connecting -= 1
            caller.is_open = True
            self._progress_s = time.monotonic()
        try:
            is_to_read = events & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR)
            if is_to_read and not caller.socket.recv(SEND_BYTES):
                self._lose(caller)
                return
            if events & select.EPOLLOUT:
                self._send(caller)
        except OSError:
            self._lose(caller)

    def _send(self, caller: _Caller) -> None:
        offset = caller.sent_bytes - len(caller.head)
        if offset < 0:
            part = caller.head[caller.sent_bytes :]
        else:
            part = memoryview(self._tail)[offset : offset + SEND_BYTES]
        if part:
            count = caller.socket.send(part)
            caller.sent_bytes += count
            self._sent_bytes += count
            self._progress_s = time.monotonic()
        if caller.sent_bytes == len(caller.head) + len(self._tail):
            self._poll.modify(caller.socket, self._read_events)

    def _trickle(self) -> None:
        byte = BYTE_CHUNK if self._crowd.form == Form.CHUNKED else b"x"
        for caller in list(self._callers.values()):
            if caller.sent_bytes < len(caller.head) + len(self._tail):
                continue
            try:
                caller.socket.send(byte)
            except BlockingIOError:
                continue
            except OSError:
                self._lose(caller)

    def _lose(self, caller: _Caller) -> None:
        if not caller.is_open:
            self._connecting -= 1
        del self._callers[caller.socket.fileno()]
        caller.socket.close()
        self._lost += 1
        self._progress_s = time.monotonic()

    def _report(self) -> None:
        is_quiet = time.monotonic() > self._progress_s + QUIET_S
        wanted_bytes = [len(c.head) + len(self._tail) for c in self._callers.values()]
        if not self._reports:
            return
        if self._reports[0] == "opened":
            is_due = not (self._waiting or self._connecting) or is_quiet
        else:
            sent = [c.sent_bytes for c in self._callers.values()]
            is_due = sent == wanted_bytes or is_quiet
        if is_due:
            document = {
                "report": self._reports.pop(0),
                "open": sum(c.is_open for c in self._callers.values()),
                "lost": self._lost,
                "sent_bytes": self._sent_bytes,
            }
            print(json.dumps(document), flush=True)


def main() -> None:
    """Run the crowd of the command line."""
    document = json.loads(sys.argv[1])
    address = document.pop("host"), document.pop("port")
    document["form"] = Form(document["form"])
    _CrowdLoop(Crowd(**document), address).run()


if __name__ == "__main__":
    main()
