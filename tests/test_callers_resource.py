import unittest

from twisted.internet.testing import StringTransport

from dogwoodlever._request_limits import RequestLimits
from dogwoodlever.gateway import BoundedSite, CallersResource
from tests.site_simulation import SiteSimulation

LIMIT_BYTES = 1000


def post(path, body=b"x", headers=""):
    head = f"POST {path} HTTP/1.1\r\nHost: d\r\nContent-Length: {len(body)}\r\n"
    return (head + headers + "\r\n").encode() + body


REJECTED = (
    ("no operation", post("/dispatch"), 400, "path"),
    ("no service", post("/nothing/book"), 404, "no service 'nothing'"),
    ("unknown operation", post("/dispatch/fly"), 404, "known are book, quote"),
    (
        "bad timeout",
        post("/dispatch/quote", headers="Request-Timeout: soon\r\n"),
        400,
        "Request-Timeout",
    ),
    (
        "negative timeout",
        post("/dispatch/quote", headers="Request-Timeout: -1\r\n"),
        400,
        "Request-Timeout",
    ),
    (
        "endless timeout",
        post("/dispatch/quote", headers="Request-Timeout: inf\r\n"),
        400,
        "Request-Timeout",
    ),
    (
        "long key",
        post("/dispatch/book", headers=f"Idempotency-Key: {'k' * 201}\r\n"),
        400,
        "Idempotency-Key",
    ),
    ("method", b"BREW /dispatch/quote HTTP/1.1\r\nHost: d\r\n\r\n", 405, "method"),
    ("operator command", b"GET /status HTTP/1.1\r\nHost: d\r\n\r\n", 400, "path"),
)
CLOSED = (
    ("oversized", post("/dispatch/quote", b"x" * (LIMIT_BYTES + 1)), 413),
    (
        "oversized in chunks",
        b"POST /dispatch/quote HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked"
        b"\r\n\r\n" + b"%x\r\n%s\r\n" % (2000, b"x" * 2000),
        413,
    ),
    ("not HTTP", b"\x00\x01\x02\r\n\r\n", 400),
    ("bad length", b"POST / HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400),
)


class CallersResourceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.simulation = SiteSimulation()

    def send(self, data, daemon="d1", wait_s=0.6):
        entry = self.simulation.fake.daemons[daemon]
        resource = CallersResource(entry.node, entry.gateway)
        site = BoundedSite(resource, lambda: RequestLimits(body_bytes_max=LIMIT_BYTES))
        protocol = site.buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(data)
        self.simulation.run(wait_s, load=False)
        return transport

    def test_answered(self):
        value = self.send(post("/dispatch/quote", b"q17")).value()
        self.assertIn(b"200 OK", value)
        self.assertIn(b"Dogwoodlever-Outcome: answered", value)
        self.assertTrue(value.endswith(b" ran q17"))

    def test_rejected_on_an_open_connection(self):
        for name, data, status, part in REJECTED:
            with self.subTest(name):
                transport = self.send(data, wait_s=0.1)
                value = transport.value().decode()
                self.assertIn(f"HTTP/1.1 {status} ", value)
                self.assertIn(part, value)
                self.assertIn("Dogwoodlever-Outcome: not-run", value)
                self.assertFalse(transport.disconnecting)

    def test_protocol_errors_close_the_connection(self):
        for name, data, status in CLOSED:
            with self.subTest(name):
                transport = self.send(data, wait_s=0.1)
                self.assertIn(f"HTTP/1.1 {status} ".encode(), transport.value())
                self.assertTrue(transport.disconnecting or transport.disconnected)

    def test_request_that_would_be_late_is_rejected_with_retry_after(self):
        data = post("/dispatch/quote", headers="Request-Timeout: 0.001\r\n")
        value = self.send(data).value()
        self.assertIn(b"503", value)
        self.assertIn(b"Retry-After: 1", value)
        self.assertIn(b"Dogwoodlever-Outcome: not-run", value)

    def test_repeat_at_another_daemon_is_not_run(self):
        data = post("/dispatch/book", b"b17", "Idempotency-Key: k17\r\n")
        self.assertIn(b"200 OK", self.send(data).value())
        value = self.send(data, daemon="d2").value()
        self.assertIn(b"409", value)
        self.assertIn(b"first_request", value)

    def test_slow_key_reservation_ends_at_the_deadline(self):
        faults = self.simulation.fake.values.faults
        faults.delay_s = 0.8
        self.addCleanup(setattr, faults, "delay_s", 0.0)
        headers = "Idempotency-Key: slow\r\nRequest-Timeout: 0.3\r\n"
        value = self.send(post("/dispatch/book", b"slow", headers), wait_s=0.4).value()
        self.assertIn(b"503", value)
        self.assertIn(b"Retry-After: 2", value)
        faults.delay_s = 0.0
        self.simulation.run(2.0, load=False)
        again = post("/dispatch/book", b"slow", "Idempotency-Key: slow\r\n")
        self.assertIn(b"200 OK", self.send(again, daemon="d2").value())

    def test_health(self):
        data = b"GET /health HTTP/1.1\r\nHost: d\r\n\r\n"
        self.assertIn(b"200 OK", self.send(data, wait_s=0.01).value())
