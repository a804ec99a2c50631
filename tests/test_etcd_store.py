import io
import unittest
from types import SimpleNamespace

from twisted.internet.defer import fail, succeed

from dogwoodlever.platform_clients import Entry, EtcdStore
from dogwoodlever.platform_errors import StoreUnavailableError
from standins.http_store import StoreResource
from standins.key_values import KeyValues


class DirectClient:
    """Passes requests to the stand-in's resource without a connection."""

    def __init__(self, values):
        self._resource = StoreResource(values)
        self.response = None

    def fetch(self, method, url, body=b""):
        if self.response is not None:
            return self.response
        path = url.removeprefix("http://store").encode()
        request = SimpleNamespace(path=path, content=io.BytesIO(body))
        return succeed((200, self._resource.render(request)))


class EtcdStoreTest(unittest.TestCase):
    def setUp(self):
        self.values = KeyValues()
        self.client = DirectClient(self.values)
        self.store = EtcdStore(self.client, "http://store/")

    def result(self, deferred):
        found = []
        deferred.addCallbacks(found.append, lambda failure: found.append(failure.type))
        return found[0]

    def test_compare_and_swap(self):
        first = self.result(self.store.write("a/1", b"x", 0))
        self.assertEqual((first.committed, first.entry), (True, Entry(b"x", 1)))
        table = (
            ("absent expected", 0, False, Entry(b"x", 1)),
            ("other version", 7, False, Entry(b"x", 1)),
            ("this version", 1, True, Entry(b"y", 2)),
        )
        for name, expected, committed, entry in table:
            with self.subTest(name):
                found = self.result(self.store.write("a/1", b"y", expected))
                self.assertEqual((found.committed, found.entry), (committed, entry))

    def test_conflict_with_an_absent_key(self):
        found = self.result(self.store.write("a", b"x", 5))
        self.assertEqual((found.committed, found.entry), (False, None))

    def test_read(self):
        self.assertIsNone(self.result(self.store.read("a")))
        self.values.write("a", bytes(range(256)), 0)
        found = self.result(self.store.read("a"))
        self.assertEqual(found, Entry(bytes(range(256)), 1))

    def test_list_contains_only_keys_with_the_prefix(self):
        for key in ("live/a", "live/b", "livf", "liv", "other"):
            self.values.write(key, b"", 0)
        found = self.result(self.store.list_versions("live/"))
        self.assertEqual(found, {"live/a": 1, "live/b": 2})

    def test_delete(self):
        self.values.write("a", b"x", 0)
        self.assertFalse(self.result(self.store.delete("a", 2)))
        self.assertTrue(self.result(self.store.delete("a", 1)))
        self.assertFalse(self.result(self.store.delete("a", 1)))

    def test_store_unavailable(self):
        table = (
            ("connection", fail(ConnectionError("refused"))),
            ("status", succeed((503, b""))),
            ("no JSON", succeed((200, b"<html>"))),
        )
        for name, response in table:
            with self.subTest(name):
                self.client.response = response
                found = self.result(self.store.read("a"))
                self.assertIs(found, StoreUnavailableError)
