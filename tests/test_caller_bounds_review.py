"""Guards the bounds of callers against ways around them and against starvation."""

import gc
import tracemalloc
import weakref

from dogwoodlever._connection_table import RefusalCause
from dogwoodlever._port_capacity import size_callers_port
from tests.test_caller_bounds import GET, POST, PortTest, post, start_body

CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 8_192


def send(connection, data):
    for start in range(0, len(data), READ_BYTES):
        connection.dataReceived(data[start : start + READ_BYTES])


class UncountedMemoryTest(PortTest):
    """Memory of what has arrived, against what the table counts."""

    def measure(self, data, callers=10):
        """Return the real and the counted bytes of each caller that sends `data`."""
        self.start()
        self.connect(data)
        for _ in range(20):
            self.clock.advance(0.3)
        gc.collect()
        tracemalloc.start()
        start = tracemalloc.get_traced_memory()[0]
        before = self.site.connections.held_bytes
        kept = []
        for _ in range(callers):
            connection, transport = self.connect()
            kept.append((connection, transport))
            for begin in range(0, len(data), READ_BYTES):
                connection.dataReceived(data[begin : begin + READ_BYTES])
                self.clock.pump([0.0] + [0.3] * 2)
        gc.collect()
        real = tracemalloc.get_traced_memory()[0] - start
        tracemalloc.stop()
        self.assertFalse(any(t.is_closed for _, t in kept), self.refusals)
        counted = self.site.connections.held_bytes - before
        # An open connection is counted as 12,288 bytes by the port's capacity.
        return real / callers, counted / callers + 12_288

    # Trailers behind the last chunk are kept by the decoder as one object a line.
    def test_memory_of_trailers_is_counted(self):
        self.start()
        data = CHUNKED + b"0\r\n" + b"a\r\n" * 20_000
        for sent_bytes in (200, 400, 8_000):
            with self.subTest(sent_bytes=sent_bytes):
                connection, transport = self.connect(data[: len(CHUNKED) + sent_bytes])
                kept = connection._transferDecoder
                lines = [] if transport.is_closed else kept._trailerHeaders
                self.assertLessEqual(len(lines), 100)
                self.assertEqual(transport.is_closed, sent_bytes > 256 + 3)

    # Headers are kept as an entry each, many times as large as their text.
    def test_memory_of_many_headers_is_counted(self):
        lines = b"".join(b"a%d:b\r\n" % number for number in range(490))
        real, counted = self.measure(POST + lines)
        self.assertLess(real, 2 * counted)

    # Arguments, path segments and cookies are decoded and kept until the response.
    def test_memory_of_a_decoded_header_is_counted(self):
        numbers = range(2_500)
        arguments = b"&".join(b"%x=" % number for number in numbers)
        cookies = b"Cookie: %b\r\n\r\n" % b";".join(
            b"%x=1" % n for n in numbers[:2_000]
        )
        table = (
            ("arguments", GET.replace(b"/q/", b"/q/?" + arguments)),
            ("segments", GET.replace(b"/q/", b"/" * 15_000)),
            ("cookies", GET[:-2] + cookies),
        )
        for name, data in table:
            with self.subTest(name):
                real, counted = self.measure(data)
                self.assertLess(real, 2 * counted)


class StarvationTest(PortTest):
    # The row with the fewest bytes is always first, however long another has waited.
    def test_short_requests_do_not_hold_up_an_ordinary_submission(self):
        self.start()
        self.resource.render = lambda request: b"ok"
        for _ in range(100):
            self.connect(GET)
        _, transport = self.connect(post(b"x" * 3_000))
        # Some 1,300 requests a second, for six seconds.
        for _ in range(300):
            for _ in range(26):
                self.connect(GET)
            self.clock.advance(0.02)
            for each in list(self.site.connections._idle):
                each.connectionLost(None)
        self.assertIn(b" 200 OK", transport.value())

    # An error of the parser ended the turns, until a further request came.
    def test_error_in_a_turn_does_not_hold_up_others(self):
        self.start()
        self.site.turns.spend(10**4)
        self.connect(POST + b"Content-Length: %b\r\n\r\n" % (b"1" * 5_000))
        _, transport = self.connect(post(b"x" * 6_000))
        for _ in range(20):
            try:
                self.clock.advance(0.3)
            except ValueError:
                continue
        self.assertEqual(len(self.resource.requests), 1)
        self.assertEqual(self.site.turns.waiting, 0)

    # Incomplete requests were refused for a complete one that was refused as well.
    def test_request_that_cannot_be_handled_ends_no_others(self):
        self.start(held_bytes_max=200_000, handled_factor=16)
        slow = [self.connect(start_body(2_000, 1_000))[1] for _ in range(3)]
        while self.site.connections.held_bytes < 193_000:
            self.connect(post(b"x" * 100))
            self.clock.advance(0.3)
        self.assertFalse(any(t.is_closed for t in slow))
        _, transport = self.connect(post(b"x" * 1_500))
        self.assertTrue(transport.is_closed)
        self.assertEqual(self.refusals, [RefusalCause.MEMORY_COMPLETE])


class ClosedConnectionsTest(PortTest):
    # A refused new connection was taken for an idle one, which others then replaced.
    def test_all_new_connections_beyond_the_maximum_are_refused(self):
        self.start(connections_max=3)
        for _ in range(3):
            self.connect(GET)
        # Accepted together; their connections end in a later turn of the loop.
        newcomers = [self.connect()[1] for _ in range(5)]
        self.assertEqual([t.is_closed for t in newcomers], [True] * 5)

    # A closed connection stayed in the queue, with its header, behind shorter requests.
    def test_closed_connection_is_not_kept_in_the_queue(self):
        self.start()
        connection, transport = self.connect(start_body(90_000, 50_000))
        self.site.turns.spend(10**4)
        connection.dataReceived(b"x" * 8_000)
        self.assertEqual(self.site.turns.waiting, 1)
        connection.connectionLost(None)
        kept = weakref.ref(connection)
        # The transport of the test refers to its producer.
        del connection, transport
        gc.collect()
        self.assertEqual(self.site.connections.held_bytes, 0)
        self.assertIsNone(kept())

    # The interim response followed the final one.
    def test_nothing_follows_the_refusal_of_an_announced_body(self):
        self.start()
        head = b"Content-Length: 1000000\r\nExpect: 100-continue\r\n\r\n"
        _, transport = self.connect(POST + head)
        self.assertEqual(self.read_status(transport), 413)
        self.assertNotIn(b"100 Continue", transport.value())


class TurnWorkTest(PortTest):
    # Only the chunks of a body counted as work, not the lines of headers and trailers.
    def test_lines_use_up_a_turn(self):
        headers = b"".join(b"a%d:b\r\n" % number for number in range(490))
        table = (
            ("headers", POST + headers),
            ("continuations", POST + b"A: b\r\n" + b" \r\n" * 2_500),
            ("trailers", CHUNKED + b"0\r\n" + b"a\r\n" * 2_500),
        )
        for name, data in table:
            with self.subTest(name):
                self.start()
                # Between 0.1 and 0.5 s of work, where a turn is to take 5 ms.
                for _ in range(300):
                    self.connect(data)
                self.assertGreater(self.site.turns.waiting, 0)

    # What waited for its turn was read on once a response was written or sent.
    def test_connection_that_waits_for_its_turn_is_not_read(self):
        for event in ("response written", "responses sent"):
            with self.subTest(event):
                self.start()
                connection, transport = self.connect(GET)
                if event == "responses sent":
                    self.resource.answer()
                self.site.turns.spend(10**4)
                connection.dataReceived(GET * 10)
                self.assertEqual(transport.producerState, "paused")
                if event == "response written":
                    self.resource.answer()
                else:
                    # The transport calls these when its buffer is full and empty.
                    connection.pauseProducing()
                    connection.resumeProducing()
                self.assertEqual(self.site.turns.waiting, 1)
                self.assertEqual(transport.producerState, "paused")


class DetachedRequestTest(PortTest):
    # The memory was free after 5 s, however long the request was handled.
    def test_request_of_a_lost_connection_counts_while_it_is_handled(self):
        self.start(handled_factor=16)
        connection, _ = self.connect(post(b"x" * 6_000))
        connection.connectionLost(None)
        self.clock.advance(6.0)
        self.assertEqual(len(self.resource.requests), 1)
        self.assertGreater(self.site.connections.held_bytes, 90_000)

    # The memory was in use for 5 s, although the request was not handled any more.
    def test_callers_that_leave_early_do_not_use_up_the_memory(self):
        capacity = size_callers_port(200, 4_100, 16)
        self.start(held_bytes_max=capacity.held_bytes_max, handled_factor=16)
        for _ in range(400):
            connection, _ = self.connect(post(b"x" * 6_000))
            connection.connectionLost(None)
            self.resource.requests.clear()
            self.clock.advance(0.012)
        self.assertEqual(self.refusals, [])
