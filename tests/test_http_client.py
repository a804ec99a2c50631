import unittest

from twisted.internet.defer import TimeoutError
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from dogwoodlever._http_client import NOT_SENT_ERRORS, HttpClient
from dogwoodlever._http_connection import HttpConnection, InvalidResponseError

TIMEOUT_S = 1.0
URL = "http://127.0.0.1:1/x"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


class FakeTransport(StringTransport):
    is_aborted = False
    # Bytes that the socket takes at once; -1 for a closed or full socket.
    takes_bytes = 1 << 20

    def getHandle(self):
        return self

    def send(self, data):
        if self.takes_bytes < 0:
            raise BlockingIOError
        self.write(data[: self.takes_bytes])
        return len(data[: self.takes_bytes])

    def setTcpNoDelay(self, _enabled):
        pass

    def abortConnection(self):
        self.is_aborted = True


class Receiver(Protocol):
    """Server that keeps what it receives and answers nothing."""

    def __init__(self, received):
        self._received = received

    def dataReceived(self, data):
        self._received.append(data)


class HttpClientTest(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.client = HttpClient(self.reactor, 5.0, 2)
        self.connections = []

    def fetch(self, method=b"GET", body=b"", headers=()):
        results = []
        call = self.client.fetch(method, URL, body, TIMEOUT_S, headers)
        call.addBoth(results.append)
        return results

    def accept(self):
        """Open the connection that was dialled last."""
        protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        connection = protocol._wrappedProtocol
        self.connections.append(connection)
        return connection, transport

    def assert_failed(self, results, error):
        self.assertEqual(len(results), 1)
        self.assertIsInstance(results[0].value, error)

    # name, time of the headers, time of the body, whether the call succeeds
    TIMES = [
        ("all in time", 0.2, 0.4, True),
        ("body stalls", 0.8, 1.6, False),
        ("body just too late", 0.1, 1.05, False),
        ("headers too late", 1.2, 1.3, False),
    ]

    def test_timeout_bounds_the_whole_call(self):
        for name, headers_s, body_s, succeeds in self.TIMES:
            with self.subTest(name):
                results = self.fetch()
                connection, _ = self.accept()
                self.reactor.advance(headers_s)
                if not results:
                    connection.dataReceived(OK)
                self.reactor.advance(body_s - headers_s)
                if succeeds:
                    connection.dataReceived(b"ok")
                    self.assertEqual(results, [(200, b"ok")])
                    connection.connectionLost()
                else:
                    self.assert_failed(results, TimeoutError)

    def test_timeout_while_connecting_counts_as_not_sent(self):
        results = self.fetch()
        self.reactor.advance(TIMEOUT_S)
        self.assert_failed(results, NOT_SENT_ERRORS)

    def test_refused_connection_counts_as_not_sent(self):
        results = self.fetch()
        factory = self.reactor.tcpClients[-1][2]
        factory.clientConnectionFailed(None, ConnectError("refused"))
        self.assert_failed(results, NOT_SENT_ERRORS)

    # name, parts of the response, expected status and body, whether the connection
    # can carry the next request
    RESPONSES = [
        ("length", (OK + b"ok",), (200, b"ok"), True),
        ("bytes one by one", tuple(bytes([b]) for b in OK + b"ok"), (200, b"ok"), True),
        (
            "chunks",
            (b"HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n2\r\nno\r\n",)
            + (b"0\r\n\r\n",),
            (409, b"no"),
            True,
        ),
        ("no body", (b"HTTP/1.1 204 No Content\r\n\r\n",), (204, b""), True),
        (
            "closes",
            (b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",),
            (200, b"ok"),
            False,
        ),
    ]

    def test_response(self):
        for name, parts, expected, is_kept in self.RESPONSES:
            with self.subTest(name):
                results = self.fetch()
                connection, transport = self.accept()
                for part in parts:
                    connection.dataReceived(part)
                self.assertEqual(results, [expected])
                dialled = len(self.reactor.tcpClients)
                self.fetch()
                self.assertEqual(len(self.reactor.tcpClients) == dialled, is_kept)
                self.assertEqual(transport.disconnecting, not is_kept)
                connection.connectionLost()

    # name, data, error
    FAULTS = [
        ("closed before the response", (), ConnectionLost),
        ("closed within the body", (OK + b"o",), ConnectionLost),
        ("no HTTP", (b"SSH-2.0-server\r\n",), InvalidResponseError),
    ]

    def test_incomplete_response_fails_the_call(self):
        for name, parts, error in self.FAULTS:
            with self.subTest(name):
                results = self.fetch()
                connection, _ = self.accept()
                for part in parts:
                    connection.dataReceived(part)
                connection.connectionLost()
                self.assert_failed(results, error)
                self.assertNotIsInstance(results[0].value, NOT_SENT_ERRORS)

    def test_request_is_formatted(self):
        table = (
            (b"GET", b"", (), b"GET /x HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"),
            (
                b"POST",
                b"{}",
                ((b"host", b"desk.example"),),
                b"POST /x HTTP/1.1\r\nhost: desk.example\r\n"
                b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
            ),
        )
        for method, body, headers, expected in table:
            with self.subTest(method):
                self.fetch(method, body, headers)
                _, transport = self.accept()
                self.assertEqual(transport.value(), expected)

    def test_request_is_written_whole(self):
        expected = b"GET /x HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"
        for takes_bytes in (-1, 0, 1, 10, 1 << 20):
            with self.subTest(takes_bytes=takes_bytes):
                transport = FakeTransport()
                transport.takes_bytes = takes_bytes
                connection = HttpConnection(lambda _: None, lambda _: None)
                connection.makeConnection(transport)
                connection.send(expected)
                self.assertEqual(transport.value(), expected)

    def test_silent_connection_takes_the_idle_ones_with_it(self):
        # Open connections may be silent for good while new ones work.
        calls = [self.fetch() for _ in range(2)]
        transports = []
        for number in range(2):
            protocol = self.reactor.tcpClients[number][2].buildProtocol(None)
            transports.append(FakeTransport())
            protocol.makeConnection(transports[-1])
            protocol._wrappedProtocol.dataReceived(OK + b"ok")
        self.assertEqual([len(results) for results in calls], [1, 1])
        results = self.fetch()
        self.reactor.advance(TIMEOUT_S)
        self.assert_failed(results, TimeoutError)
        self.assertEqual([t.is_aborted for t in transports], [True, True])
        self.fetch()
        self.assertEqual(len(self.reactor.tcpClients), 3)

    def test_idle_connections_are_bounded(self):
        for _ in range(4):
            self.fetch()
        transports = []
        for _, _, factory, *_ in self.reactor.tcpClients:
            protocol = factory.buildProtocol(None)
            transports.append(FakeTransport())
            protocol.makeConnection(transports[-1])
            protocol._wrappedProtocol.dataReceived(OK + b"ok")
        self.assertEqual(sum(t.disconnecting for t in transports), 2)

    def test_data_without_a_request_closes_the_connection(self):
        self.fetch()
        connection, transport = self.accept()
        connection.dataReceived(OK + b"ok")
        connection.dataReceived(OK + b"ok")
        self.assertTrue(transport.is_aborted)


class PausedProcessTest(unittest.TestCase):
    """Calls of a process that is paused while its sockets go on, on loopback."""

    def setUp(self):
        self.now_s = 100.0
        self.reactor = SelectReactor()
        self.reactor.seconds = lambda: self.now_s
        self.received = []
        self.connections = 0
        factory = Factory()
        factory.buildProtocol = self.accept
        port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.address = f"127.0.0.1:{port.getHost().port}"
        self.client = HttpClient(self.reactor, 5.0)
        self.addCleanup(self.close)

    def accept(self, _address):
        self.connections += 1
        return Receiver(self.received)

    def close(self):
        self.reactor.disconnectAll()
        self.run_events(3)
        for reader in self.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))

    def run_events(self, rounds=10):
        """Handle the events of sockets, then the timers that are due, as a reactor."""
        for _ in range(rounds):
            self.reactor.doIteration(0.01)
            self.reactor.runUntilCurrent()

    def fetch(self):
        results = []
        call = self.client.fetch(b"POST", f"http://{self.address}/x", b"{}", TIMEOUT_S)
        call.addBoth(results.append)
        # Dials, which takes a timer of its own.
        self.reactor.runUntilCurrent()
        return results

    # Guards against an order that is sent when its connection is established after the
    # process resumes, although its caller has given it up.
    def test_request_is_not_sent_after_its_deadline(self):
        for pause_s in (0.0, 0.9, 1.1, 5.0, 20.0):
            with self.subTest(pause_s=pause_s):
                self.received.clear()
                self.client = HttpClient(self.reactor, 5.0)
                results = self.fetch()
                self.now_s += pause_s
                self.run_events()
                is_in_time = pause_s < TIMEOUT_S
                self.assertEqual(bool(self.received), is_in_time)
                self.now_s += TIMEOUT_S
                self.run_events()
                self.assertEqual(len(results), 1)
                error = TimeoutError if is_in_time else NOT_SENT_ERRORS
                self.assertIsInstance(results[0].value, error)

    # Guards against a large request that is cut, or given up while the link takes it.
    def test_large_request_is_sent_whole_while_the_link_takes_it(self):
        for takes_s, is_sent in ((0.01, True), (0.3, True), (1.2, False)):
            with self.subTest(takes_s=takes_s):
                self.received.clear()
                self.client = HttpClient(self.reactor, 5.0)
                body = b"x" * 100_000
                results = []
                call = self.client.fetch(
                    b"POST", f"http://{self.address}/x", body, TIMEOUT_S,
                    stall_timeout_s=TIMEOUT_S,
                )  # fmt: skip
                call.addBoth(results.append)
                for _ in range(20):
                    # Each iteration of the reactor sends a part.
                    self.reactor.runUntilCurrent()
                    self.reactor.doIteration(0.01)
                    if not b"".join(self.received).endswith(body):
                        self.now_s += takes_s
                sent = b"".join(self.received)
                self.assertEqual(sent.endswith(body), is_sent)
                self.assertEqual(bool(results), not is_sent)

    # Guards against new connections after each pause.
    def test_connection_established_too_late_carries_the_next_request(self):
        self.fetch()
        self.now_s += 5.0
        self.run_events()
        self.fetch()
        self.run_events()
        self.assertEqual(len(self.received), 1)
        self.assertEqual(self.connections, 1)


if __name__ == "__main__":
    unittest.main()
