"""Bounds of what callers may hold: bytes, connections, time of the loop, jobs."""

import unittest

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from dogwoodlever._bounded_site import BoundedSite
from dogwoodlever._connection_table import RefusalCause
from dogwoodlever._fleet_job import estimate_state_bytes
from dogwoodlever._fleet_types import Step, SubmittedJob
from dogwoodlever._leader_room import LeaderRoom
from dogwoodlever._parsing_turns import TURN_UNITS
from dogwoodlever._port_capacity import (
    PortCapacity,
    size_callers_port,
    size_peers_port,
)
from dogwoodlever._request_limits import RequestLimits

POST = b"POST /q/1 HTTP/1.1\r\nHost: d\r\n"
GET = b"GET /q/ HTTP/1.1\r\nHost: d\r\n\r\n"


def post(body):
    return POST + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def start_body(announced_bytes, sent_bytes):
    head = POST + b"Content-Length: %d\r\n\r\n" % announced_bytes
    return head + b"x" * sent_bytes


def one_byte_chunks(count):
    return POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * count


class HoldingResource(Resource):
    """Answers each request when it is told to."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.requests = []

    def render(self, request):
        self.requests.append(request)
        return NOT_DONE_YET

    def answer(self):
        self.requests.pop(0).finish()


class ClosingTransport(StringTransport):
    """Transport that shows whether it was closed."""

    is_closed = False

    def loseConnection(self):
        super().loseConnection()
        self.is_closed = True

    def abortConnection(self):
        super().abortConnection()
        self.is_closed = True


class PortTest(unittest.TestCase):
    """A port with a paused clock and connections in memory."""

    def start(self, **capacity):
        self.clock = Clock()
        self.resource = HoldingResource()
        self.refusals = []
        self.site = BoundedSite(
            self.resource,
            lambda: RequestLimits(body_bytes_max=100_000),
            PortCapacity(**capacity),
            on_refused=self.refusals.append,
            reactor=self.clock,
        )

    def connect(self, data=b""):
        connection = self.site.buildProtocol(None)
        transport = ClosingTransport()
        connection.makeConnection(transport)
        if data:
            connection.dataReceived(data)
        return connection, transport

    def read_status(self, transport):
        line = transport.value().partition(b"\r\n")[0]
        return int(line.split()[1]) if line else None


class HeldBytesTest(PortTest):
    # Guards against bodies whose sum is not bounded, in memory or in files.
    def test_largest_incomplete_body_gives_way(self):
        self.start(held_bytes_max=50_000)
        small, large, newest = (
            self.connect(start_body(90_000, size))[1]
            for size in (5_000, 30_000, 20_000)
        )
        self.assertEqual(self.refusals, [RefusalCause.MEMORY_INCOMPLETE])
        self.assertEqual(
            [t.is_closed for t in (small, large, newest)], [False, True, False]
        )
        # Whether an earlier copy of a submission has run is not known here.
        self.assertEqual(self.read_status(large), 504)
        self.assertLessEqual(self.site.connections.held_bytes, 50_000)
        self.assertEqual(self.resource.requests, [])

    def test_memory_is_free_again_after_each_end_of_a_request(self):
        self.start(held_bytes_max=50_000, handled_factor=2)
        for end in ("answered", "lost", "refused"):
            with self.subTest(end):
                connection, transport = self.connect(post(b"x" * 4_000))
                self.assertGreater(self.site.connections.held_bytes, 8_000)
                if end == "answered":
                    self.resource.answer()
                elif end == "refused":
                    connection.dataReceived(POST + b"Content-Length: 1000000\r\n\r\n")
                    self.resource.answer()
                    self.assertEqual(transport.value().count(b" 413 "), 1)
                if end != "answered":
                    connection.connectionLost(None)
                if end == "lost":
                    # The request is still handled.
                    self.assertGreater(self.site.connections.held_bytes, 8_000)
                    self.resource.requests.clear()
                self.assertLess(self.site.connections.held_bytes, 100)

    # Guards against complete requests that are decoded all at once.
    def test_requests_are_handled_within_the_memory(self):
        self.start(held_bytes_max=160_000, handled_factor=16)
        bodies = [self.connect(post(b"x" * 2_300))[1] for _ in range(5)]
        self.assertEqual([t.is_closed for t in bodies], [False] * 2 + [True] * 3)
        self.assertEqual(len(self.resource.requests), 2)
        self.assertEqual(
            self.refusals, [RefusalCause.MEMORY_COMPLETE] * len(self.refusals)
        )
        # A crowd of large ones leaves room for small ones.
        _, transport = self.connect(GET)
        self.assertFalse(transport.is_closed)
        self.assertEqual(len(self.resource.requests), 3)

    # Guards against a limit that a caller alone meets.
    def test_request_alone_is_handled_whatever_the_memory(self):
        self.start(held_bytes_max=200_000, handled_factor=16)
        _, transport = self.connect(post(b"x" * 100_000))
        self.assertFalse(transport.is_closed)
        self.assertEqual(len(self.resource.requests), 1)


class ConnectionsTest(PortTest):
    # Guards against callers that use up all descriptors.
    def test_connection_that_gives_way(self):
        table = (
            # what each connection has sent, in order, and the one that is closed
            ("idle for longest", (b"", b"", b""), 0, RefusalCause.CONNECTIONS_IDLE),
            (
                "oldest incomplete request before idle ones",
                (b"", POST, POST),
                1,
                RefusalCause.CONNECTIONS_INCOMPLETE,
            ),
            (
                "none that waits for its answer",
                (GET, post(b"x"), b""),
                2,
                RefusalCause.CONNECTIONS_IDLE,
            ),
            ("the new one", (GET, GET, GET), 3, RefusalCause.CONNECTIONS_NEW),
        )
        for name, sent, closed, cause in table:
            with self.subTest(name):
                self.start(connections_max=3)
                transports = [self.connect(data)[1] for data in sent]
                transports.append(self.connect()[1])
                expected = [number == closed for number in range(4)]
                self.assertEqual([t.is_closed for t in transports], expected)
                self.assertEqual(self.refusals, [cause])

    def test_closed_connections_are_not_counted(self):
        self.start(connections_max=2)
        for _ in range(5):
            connection, transport = self.connect(GET)
            connection.connectionLost(None)
        self.assertEqual(self.refusals, [])
        self.assertEqual(len(self.site.connections), 0)


class TurnsTest(PortTest):
    # Guards against small chunks that are parsed for seconds in one turn of the loop.
    def test_ordinary_request_passes_long_ones(self):
        self.start()
        crowd = [self.connect(one_byte_chunks(TURN_UNITS // 2))[0] for _ in range(20)]
        self.assertGreater(self.site.turns.waiting, 10)
        _, transport = self.connect(GET)
        self.assertEqual(self.resource.requests, [])
        self.assertEqual(transport.producerState, "paused")
        self.clock.pump([0.0] + [0.02] * 3)
        self.assertEqual(len(self.resource.requests), 1)
        self.assertGreater(self.site.turns.waiting, 5)
        self.clock.pump([0.1] * 50)
        self.assertEqual(self.site.turns.waiting, 0)
        for connection in crowd:
            self.assertEqual(connection.requests[0].body_bytes, TURN_UNITS // 2)
            self.assertEqual(connection.transport.producerState, "producing")

    # Guards against requests behind one another that take a turn of any length.
    def test_pipelined_requests_share_turns(self):
        self.start()
        self.resource.render = lambda request: b"ok"
        _, transport = self.connect(GET * 200)
        answered = transport.value().count(b"HTTP/1.1 200")
        self.assertLess(answered, 100)
        self.clock.pump([0.05] * 50)
        self.assertEqual(transport.value().count(b"HTTP/1.1 200"), 200)

    def test_time_out_does_not_end_what_waits_for_its_turn(self):
        self.start()
        self.connect(one_byte_chunks(TURN_UNITS * 2))
        _, transport = self.connect(GET)
        self.site.turns.spend(10**9)
        self.clock.advance(0)
        self.clock.advance(10.0)
        self.assertFalse(transport.is_closed)


class CapacityTest(unittest.TestCase):
    def test_capacity_by_settings(self):
        table = (
            # memory in MB, descriptors, least and most connections, held MB
            (300, 4_100, 1_000, 1_950, 37.5),
            (200, 4_100, 600, 1_950, 25.0),
            (300, 400, 100, 100, 37.5),
            (300, 100, 16, 16, 37.5),
        )
        for memory_mb, descriptors, least, most, held_mb in table:
            with self.subTest(memory_mb=memory_mb, descriptors=descriptors):
                capacity = size_callers_port(memory_mb, descriptors)
                self.assertGreaterEqual(capacity.connections_max, least)
                self.assertLessEqual(capacity.connections_max, most)
                self.assertEqual(capacity.held_bytes_max, held_mb * 1e6)
                # What waits unread in the sockets counts as memory too.
                unread = capacity.connections_max * capacity.receive_buffer_bytes
                self.assertLessEqual(unread, max(memory_mb / 8 * 1e6, 300_000))
                self.assertGreaterEqual(size_peers_port(descriptors), 16)


class LeaderRoomTest(unittest.TestCase):
    def make_job(self, tasks):
        return SubmittedJob("a" * 16, "q", "payload", (Step(tasks, 500),))

    # Guards against accepted jobs that take the memory of the leader.
    def test_jobs_are_refused_beyond_the_memory(self):
        job = self.make_job(1_000)
        size = estimate_state_bytes(job)
        memory_mb = size * 10 / 0.4 / 1e6
        table = (
            # own bytes (None: another leads), what the leader told, when, accepted
            ("nothing known", None, None, 0.0, 30),
            ("leads, empty", 0, None, 0.0, 10),
            ("leads, nearly full", size * 9, None, 0.0, 1),
            ("leads, full", size * 10, None, 0.0, 0),
            ("another is nearly full", None, (size * 8, size * 10), 0.0, 2),
            ("another was full", None, (size * 10, size * 10), 11.0, 30),
        )
        for name, own_bytes, told, age_s, accepted in table:
            with self.subTest(name):
                clock = Clock()
                room = LeaderRoom(clock, lambda own=own_bytes: own, memory_mb * 1.0001)
                if told:
                    room.update(*told)
                clock.advance(age_s)
                taken = sum(room.take(job) for _ in range(30))
                self.assertEqual(taken, accepted)

    def test_large_job_is_accepted_while_there_is_little_else(self):
        job = self.make_job(1_000)
        clock = Clock()
        own = [0]
        room = LeaderRoom(clock, lambda: own[0], 1.0)
        self.assertTrue(room.take(job))
        self.assertFalse(room.take(job))
        clock.advance(1.5)
        own[0] = estimate_state_bytes(job)
        self.assertFalse(room.take(self.make_job(1)))


if __name__ == "__main__":
    unittest.main()
