"""One record of a cell that cannot be read or written holds back no others."""

import unittest

import msgspec
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from dogwoodlever._store_follower import StoreFollower
from dogwoodlever.batch import Job
from dogwoodlever.platform_errors import StoreUnavailableError
from standins.fake_site import FakeSite
from standins.in_process import FakeStore, ProcessClock
from standins.key_values import KeyValues
from tests.sites import make_site

CELL = "cell-00"


def reject_writes(store, is_rejected):
    """Reject writes whose key fulfils `is_rejected`; return their keys."""
    write, rejected = store.write, []

    def write_or_reject(key, value, version):
        if not is_rejected(key):
            return write(key, value, version)
        rejected.append(key)
        return fail(StoreUnavailableError("status 400"))

    store.write = write_or_reject
    return rejected


class InboxTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeSite(make_site(), 4)
        self.fake.settle()

    def put(self, name, value):
        self.fake.values.write(f"live/inbox/{CELL}/{name}", value, 0)

    def submit(self, name):
        job = Job(name, "alpha", "k", 2, 2.0, 10**9, 1.0)
        self.put(f"job/{name}", msgspec.json.encode(job))

    def assert_archived(self, name):
        self.fake.advance(8.0)
        self.assertIn(f"archive/{name}", self.fake.values.entries)

    # Guards against an entry of another writer, behind which no job of the cell starts
    # and nothing is committed.
    def test_unreadable_entry_holds_no_others(self):
        for name, value in (
            ("job/bad", b"\xff"),
            ("job/odd", b"[]"),
            ("cancel/x", b"{"),
        ):
            with self.subTest(name):
                self.setUp()
                self.put(name, value)
                self.submit("good")
                self.assert_archived("good")
                self.assertIn(f"live/inbox/{CELL}/{name}", self.fake.values.entries)

    # Guards against one job that cannot be archived, behind which all others stay in
    # the state of the cell.
    def test_job_that_cannot_be_archived_holds_no_others(self):
        for daemon in self.fake.daemons.values():
            store = daemon.node.follower._store
            reject_writes(store, lambda key: key == "archive/a-bad")
        self.submit("a-bad")
        self.submit("good")
        self.assert_archived("good")


class SwapTest(unittest.TestCase):
    # Guards against a write that the store rejects and that is repeated as fast as the
    # store answers.
    def test_rejected_write_is_repeated_after_a_pause(self):
        clock = Clock()
        store = FakeStore(KeyValues(), ProcessClock(clock))
        rejected = reject_writes(store, lambda key: True)
        StoreFollower(store, clock).swap("live/record", b"1", 0)
        clock.pump([0.005] * 2_000)
        self.assertGreater(len(rejected), 5)
        self.assertLess(len(rejected), 25)


if __name__ == "__main__":
    unittest.main()
