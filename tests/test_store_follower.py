import unittest

from twisted.internet.task import Clock

from dogwoodlever._store_follower import StoreFollower, SwapOutcome
from dogwoodlever.platform_clients import Entry
from standins.in_process import FakeStore, ProcessClock
from standins.key_values import KeyValues

KEY = "live/record"


class StoreFollowerTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.values = KeyValues()
        clock = ProcessClock(self.clock)
        self.follower = StoreFollower(FakeStore(self.values, clock), clock)
        self.listed = []
        self.follower.on_consistent_poll(self.listed.append)

    def run_for(self, duration_s):
        self.clock.pump([0.005] * int(duration_s / 0.005))

    def swap(self, value, version, duration_s=0.1):
        found = []
        self.follower.swap(KEY, value, version).addCallback(found.append)
        self.run_for(duration_s)
        return found[0] if found else None

    def test_poll_loads_changed_and_drops_deleted_records(self):
        self.values.write(KEY, b"1", 0)
        self.follower.poll()
        self.run_for(0.1)
        self.assertEqual(self.follower.entries[KEY].value, b"1")
        self.values.calls.clear()
        self.follower.poll()
        self.run_for(0.1)
        self.assertEqual(self.values.calls["read"], 1)
        self.values.delete(KEY, self.follower.version(KEY))
        self.follower.poll()
        self.run_for(0.1)
        self.assertEqual(self.follower.entries, {})
        self.assertEqual(len(self.listed), 3)

    def test_poll_across_several_revisions_is_not_consistent(self):
        self.values.write(KEY, b"1", 0)
        self.follower.poll()
        self.clock.advance(0.001)
        self.values.write(KEY, b"2", self.values.revision)
        self.run_for(0.1)
        self.assertEqual(self.listed, [])

    def test_inbox_is_listed_and_not_read(self):
        self.values.write("live/inbox/cell-00/job/j", b"1", 0)
        self.values.calls.clear()
        self.follower.poll()
        self.run_for(0.1)
        self.assertEqual(self.values.calls["read"], 1)
        self.assertEqual(list(self.follower.inbox), ["live/inbox/cell-00/job/j"])

    def test_older_entry_never_replaces_a_newer(self):
        self.assertTrue(self.follower.offer(KEY, Entry(b"2", 2)))
        self.assertFalse(self.follower.offer(KEY, Entry(b"1", 1)))
        self.assertEqual(self.follower.entries[KEY].value, b"2")

    def test_swap(self):
        self.assertEqual(self.swap(b"1", 0), SwapOutcome.COMMITTED)
        self.assertEqual(self.swap(b"2", 0), SwapOutcome.CONFLICT)
        self.assertEqual(self.follower.entries[KEY].value, b"1")

    def test_lost_response_is_resolved_by_reading_back(self):
        self.values.faults.answers_to_lose = 1
        self.assertEqual(self.swap(b"1", 0, 3.0), SwapOutcome.COMMITTED)
        self.assertEqual(self.values.calls["write"], 1)

    def test_lost_response_then_another_write_is_a_conflict(self):
        self.values.faults.answers_to_lose = 1
        found = []
        self.follower.swap(KEY, b"1", 0).addCallback(found.append)
        self.run_for(0.5)
        self.values.write(KEY, b"other", self.values.revision)
        self.run_for(3.0)
        self.assertEqual(found, [SwapOutcome.CONFLICT])

    def test_swap_waits_for_the_end_of_an_outage(self):
        self.values.faults.down = True
        found = []
        self.follower.swap(KEY, b"1", 0).addCallback(found.append)
        self.run_for(5.0)
        self.assertEqual(found, [])
        self.values.faults.down = False
        self.run_for(3.0)
        self.assertEqual(found, [SwapOutcome.COMMITTED])
