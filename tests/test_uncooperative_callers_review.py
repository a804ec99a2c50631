"""Guards the memory, descriptors and turns of a daemon against further crowds.

These end their headers or trailers in many lines, or meet a store that does not answer.
"""

import select
import signal
import socket
import time
import unittest
from contextlib import suppress

from standins.daemon_process import CALLERS
from standins.fleet_store_process import QUEUE_HOST, QUEUE_PREFIX
from standins.process_usage import UsageMeter
from tests import test_uncooperative_callers as crowds

RUNS_ALONE = True

CONNECTIONS = 550
SENDING_S = 15.0
HEAD = f"POST {QUEUE_PREFIX}{1:016x} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n".encode()
READ = f"GET {QUEUE_PREFIX}{1:016x} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n\r\n".encode()


class FurtherCrowdsTest(unittest.TestCase):
    """One daemon and a crowd."""

    start = crowds.UncooperativeCallersTest.start
    ask = crowds.UncooperativeCallersTest.ask
    ask_count = crowds.UncooperativeCallersTest.ask_count

    def measure(self) -> UsageMeter:
        """Return what the daemon uses from now on."""
        daemon = self.daemon
        meter = UsageMeter(daemon.process.pid, daemon.host, daemon.temporary_folder)
        self.addCleanup(meter.close)
        return meter

    def connect(self) -> socket.socket:
        """Return a new connection to the daemon."""
        caller = socket.create_connection(
            (self.daemon.host, self.daemon.ports[CALLERS])
        )
        self.addCleanup(caller.close)
        caller.setblocking(False)
        return caller

    def send(self, data: bytes) -> None:
        """Send `data` on many connections at once."""
        poll, callers = select.epoll(), {}
        for _ in range(CONNECTIONS):
            caller = self.connect()
            callers[caller.fileno()] = caller, memoryview(data)
            poll.register(caller, select.EPOLLOUT)
        end_s = time.monotonic() + SENDING_S
        while callers and time.monotonic() < end_s:
            for number, _ in poll.poll(0.1):
                caller, rest = callers[number]
                try:
                    rest = rest[caller.send(rest) :]
                except OSError:
                    rest = b""
                callers[number] = caller, rest
                if not rest:
                    poll.unregister(number)
                    del callers[number]

    def stop_store(self) -> None:
        """Let the store receive calls and answer none."""
        store = next(
            function.__self__
            for function, _, _ in self._cleanups
            if getattr(function, "__name__", "") == "kill"
        )
        store.send_signal(signal.SIGSTOP)

    # Trailers were neither counted nor bounded in number: 1 GB.
    def test_trailers_of_many_lines(self) -> None:
        self.start()
        meter = self.measure()
        trailers = b"0\r\n" + b"a\r\n" * 20_000
        self.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + trailers)
        time.sleep(2.0)
        meter.close()
        self.assertLess(meter.peak.held_bytes, crowds.MEMORY_MB * 1_000_000)

    # Refused new connections were taken for idle ones: twice the maximum stayed.
    def test_burst_while_the_store_does_not_answer(self) -> None:
        self.start(crowds.DESCRIPTORS_FEW, is_limited=True)
        meter = self.measure()
        self.stop_store()
        for _ in range(8):
            callers = [self.connect() for _ in range(100)]
            time.sleep(0.05)
            for caller in callers:
                with suppress(OSError):
                    caller.send(READ)
            time.sleep(0.1)
        meter.close()
        self.assertLess(meter.descriptors_max, crowds.DESCRIPTORS_FEW)

    # Each request took a connection to the store, also when its caller had left.
    def test_callers_that_leave_while_the_store_does_not_answer(self) -> None:
        self.start(crowds.DESCRIPTORS_FEW, is_limited=True)
        meter = self.measure()
        self.stop_store()
        for _ in range(60):
            callers = [self.connect() for _ in range(10)]
            for caller in callers:
                caller.send(READ)
            time.sleep(0.02)
            for caller in callers:
                caller.close()
        time.sleep(0.3)
        meter.close()
        # Half of the descriptors are not for callers and what they ask for.
        self.assertLess(meter.descriptors_max, crowds.DESCRIPTORS_FEW * 3 // 4)


if __name__ == "__main__":
    unittest.main()
