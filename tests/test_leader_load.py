"""A leader loads what is stored, on any link, or lets another daemon lead."""

import unittest

import msgspec
from twisted.internet.testing import MemoryReactorClock

from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._http_client import HttpClient
from dogwoodlever.platform import HttpFleetStore
from tests.test_http_client import FakeTransport


class SlowLinkTest(unittest.TestCase):
    """A watcher of a prefix behind a link that the test plays."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.dialled = 0
        self.keys = []
        self.listings = []
        store = HttpFleetStore(HttpClient(self.reactor, 2.0), "127.0.0.1:1")
        self.watcher = PrefixWatcher(
            store,
            self.reactor,
            "x/",
            lambda record: self.keys.append(record.key),
            lambda: self.listings.append(self.reactor.seconds()),
        )
        self.watcher.open()
        self.addCleanup(self.watcher.close)

    def accept(self):
        """Open the connection that was dialled last; return it and its request."""
        self.assertGreater(len(self.reactor.tcpClients), self.dialled)
        self.dialled = len(self.reactor.tcpClients)
        protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        return protocol._wrappedProtocol, transport

    def answer(self, connection, keys, parts=1, part_s=0.0, has_more=False):
        """Send a page of a listing in equal parts, one each `part_s`."""
        items = [{"key": key, "revision": 3, "value": "dg=="} for key in keys]
        page = {"current_rev": 5, "items": items, "has_more": has_more}
        body = msgspec.json.encode(page)
        size = -(-len(body) // parts)
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        for start in range(0, len(body), size):
            self.reactor.advance(part_s)
            connection.dataReceived(body[start : start + size])

    # name, number of parts of a page, time between them, whether the page is read
    LINKS = [
        ("fast", 1, 0.1, True),
        ("page takes 6 s", 10, 0.6, True),
        ("link is cut within the page", 10, 0.9, False),
    ]

    # Guards against a deadline on a whole transfer, which a slow link never meets.
    def test_page_may_take_as_long_as_it_makes_progress(self):
        for name, parts, part_s, is_read in self.LINKS:
            with self.subTest(name):
                self.setUp()
                connection, transport = self.accept()
                self.answer(connection, ["x/a"], parts, part_s)
                self.assertEqual(bool(self.listings), is_read)
                self.assertEqual(transport.is_aborted, not is_read)

    # Guards against a listing that begins anew, and so never ends on a poor link.
    def test_listing_goes_on_after_the_pages_that_were_read(self):
        connection, transport = self.accept()
        self.answer(connection, ["x/a", "x/b"], has_more=True)
        self.assertIn(b"after=x/b", transport.value())
        connection.connectionLost()
        self.reactor.advance(1.0)
        connection, transport = self.accept()
        self.assertIn(b"after=x/b", transport.value())
        self.answer(connection, ["x/c"])
        self.assertEqual(self.keys, ["x/a", "x/b", "x/c"])
        self.assertEqual(len(self.listings), 1)


if __name__ == "__main__":
    unittest.main()
