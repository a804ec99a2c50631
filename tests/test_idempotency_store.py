import unittest

from twisted.internet.task import Clock

from dogwoodlever._idempotency_store import (
    BUCKET_COUNT,
    KEY_TTL_S,
    IdempotencyStore,
)
from dogwoodlever._record_keys import idempotency_bucket_key
from dogwoodlever.platform_errors import StoreUnavailableError
from standins.in_process import FakeStore, ProcessClock
from standins.key_values import KeyValues


class IdempotencyStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.wall_s = 1_800_000_000.0
        self.values = KeyValues()
        self.stores = [self.make_store(), self.make_store()]

    def make_store(self):
        clock = ProcessClock(self.clock)
        return IdempotencyStore(
            FakeStore(self.values, clock), clock, lambda: self.wall_s
        )

    def reserve(self, store, key, request, replaces="", wait_s=3.0):
        found = []
        reserved = self.stores[store].reserve("caller", key, request, replaces)
        reserved.addCallbacks(found.append, lambda f: found.append(f.type))
        self.clock.pump([0.005] * int(wait_s / 0.005))
        return found[0] if found else None

    def test_first_request_holds_the_key_at_every_daemon(self):
        self.assertEqual(self.reserve(0, "k", "r1"), "r1")
        self.assertEqual(self.reserve(1, "k", "r2"), "r1")
        self.assertEqual(self.reserve(0, "k", "r3"), "r1")
        self.assertEqual(self.reserve(1, "other", "r4"), "r4")

    def test_concurrent_reservations_agree_on_one_holder(self):
        found = {}
        for store, request in ((0, "r1"), (1, "r2")):
            reserved = self.stores[store].reserve("caller", "k", request)
            reserved.addCallback(lambda holder, r=request: found.update({r: holder}))
        self.clock.pump([0.005] * 100)
        self.assertEqual(len(set(found.values())), 1)

    def test_key_of_a_request_that_did_not_run_is_taken_over_once(self):
        self.reserve(0, "k", "r1")
        self.assertEqual(self.reserve(1, "k", "r2", replaces="r1"), "r2")
        self.assertEqual(self.reserve(0, "k", "r3", replaces="r1"), "r2")

    # Guards against callers that wait for good, as a bucket cannot be read.
    def test_unreadable_bucket_fails_its_calls(self):
        keys = [idempotency_bucket_key(number) for number in range(BUCKET_COUNT)]
        for key in keys:
            self.values.write(key, b"\xff", 0)
        for _ in range(2):
            self.assertIs(self.reserve(0, "k", "r1"), StoreUnavailableError)
        for key in keys:
            self.values.delete(key, self.values.entries[key].version)
        self.assertEqual(self.reserve(0, "k", "r1"), "r1")

    def test_record_expires(self):
        self.reserve(0, "k", "r1")
        self.wall_s += KEY_TTL_S + 1
        self.assertEqual(self.reserve(1, "k", "r2"), "r2")

    def test_reservations_are_written_in_batches(self):
        self.reserve(0, "warm", "r0")
        self.values.calls.clear()
        for number in range(320):
            self.stores[0].reserve("caller", f"k{number}", f"r{number}")
        self.clock.pump([0.005] * 100)
        self.assertLessEqual(self.values.calls["write"], 64)

    def test_store_faults(self):
        table = (
            ("down", {"down": True}, StoreUnavailableError),
            ("answer lost", {"answers_to_lose": 1}, StoreUnavailableError),
        )
        for name, faults, expected in table:
            with self.subTest(name):
                for fault, value in faults.items():
                    setattr(self.values.faults, fault, value)
                self.assertEqual(self.reserve(0, name, "r1"), expected)
                self.values.faults.down = False
        # The write whose answer was lost took effect, so the key is held.
        self.assertEqual(self.reserve(1, "answer lost", "r2"), "r1")
        self.assertEqual(self.reserve(1, "down", "r2"), "r2")
