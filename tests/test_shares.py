import random
import unittest

from dogwoodlever.routing import SharePlanner, ShareRecord, check_shares, split_slots
from dogwoodlever.routing_errors import SlotsExceededError

SLOTS = {"s1": 8}


class SplitSlotsTest(unittest.TestCase):
    def test_split_adds_up_and_prefers_the_data_centre(self):
        members = {f"d{i}": "ab"[i % 2] for i in range(7)}
        for homes in (1, 2, 3, 9):
            with self.subTest(homes):
                split = split_slots("s1", 8, members, "a", homes)
                self.assertEqual(sum(split.values()), 8)
                self.assertEqual(len(split), min(homes, 7))
        split = split_slots("s1", 8, members, "a", 3)
        self.assertEqual({members[m] for m in split}, {"a"})

    def test_no_members(self):
        self.assertEqual(split_slots("s1", 8, {}, "a", 3), {})


class SharePlannerTest(unittest.TestCase):
    def test_own_row_moves_towards_its_target(self):
        table = (
            ("grows into free slots", {"b": 3}, 8, 0, 5),
            ("grows by the free slots only", {"b": 6}, 4, 0, 2),
            ("shrinks when idle", {"a": 8}, 2, 0, 2),
            ("keeps busy slots", {"a": 8}, 2, 5, 5),
            ("never uses another member's slots", {"b": 8}, 8, 0, 0),
        )
        for name, rows, target, busy, expected in table:
            with self.subTest(name):
                record = ShareRecord({"s1": rows})
                planned = SharePlanner("a").plan(
                    record, SLOTS, {"s1": target}, {"s1": busy}, set()
                )
                self.assertEqual((planned or record).held("s1", "a"), expected)

    def test_excluded_members_rows_are_dropped(self):
        record = ShareRecord({"s1": {"b": 8}})
        planned = SharePlanner("a").plan(record, SLOTS, {"s1": 8}, {}, {"b"})
        self.assertEqual(planned.servers, {"s1": {"a": 8}})

    def test_record_at_its_targets_is_kept(self):
        record = ShareRecord({"s1": {"a": 8}})
        self.assertIsNone(SharePlanner("a").plan(record, SLOTS, {"s1": 8}, {}, set()))

    def test_slots_of_a_removed_server_are_released_when_idle(self):
        record = ShareRecord({"s1": {"a": 8}})
        for busy, left in ((3, 3), (0, 0)):
            planned = SharePlanner("a").plan(record, {}, {}, {"s1": busy}, set())
            self.assertEqual(planned.held("s1", "a"), left)

    def test_no_order_of_writers_exceeds_the_slots(self):
        rng = random.Random(9)
        record = ShareRecord()
        for _ in range(2000):
            member = rng.choice("abcdef")
            targets = {"s1": rng.randrange(9)}
            busy = {"s1": rng.randrange(record.held("s1", member) + 1)}
            planned = SharePlanner(member).plan(record, SLOTS, targets, busy, set())
            record = planned or record
            check_shares(record, SLOTS)

    def test_check_rejects_a_record_that_exceeds_the_slots(self):
        with self.assertRaises(SlotsExceededError):
            check_shares(ShareRecord({"s1": {"a": 5, "b": 4}}), SLOTS)
