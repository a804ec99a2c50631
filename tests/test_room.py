import unittest

from dogwoodlever.routing import Loan, Room, Slot
from dogwoodlever.routing_errors import RoomExceededError

LOAN = Loan("d2#1/1", "s1")


def make(held=2):
    room = Room("d1#1", 1.0, 4.0)
    room.set_held({"s1": held})
    return room


class OwnSlotsTest(unittest.TestCase):
    def test_no_more_are_taken_than_held(self):
        room = make()
        taken = [room.take("s1", 0.0) for _ in range(3)]
        self.assertEqual(taken, [Slot("s1"), Slot("s1"), None])
        room.release(taken[0])
        self.assertEqual(room.take("s1", 0.0), Slot("s1"))

    def test_lowered_slots_are_not_taken_again(self):
        room = make()
        slot = room.take("s1", 0.0)
        room.lower_held({"s1": 1})
        self.assertIsNone(room.take("s1", 0.0))
        room.release(slot)
        self.assertIsNotNone(room.take("s1", 0.0))
        self.assertIsNone(room.take("s1", 0.0))

    def test_own_slots_are_closed_without_tenure(self):
        self.assertIsNone(make().take("s1", 0.0, own=False))


class LoansTest(unittest.TestCase):
    def test_a_lent_slot_is_used_until_returned_or_its_term_and_request_are_over(self):
        table = (("returned", True, 0.1), ("not returned", False, 5.0))
        for name, returned, free_at_s in table:
            with self.subTest(name):
                room = make(1)
                loan = room.lend("d2#1", "s1", 0.0)
                self.assertIsNone(room.take("s1", 0.0))
                if returned:
                    room.take_back(loan.loan_id)
                else:
                    room.expire_lent(4.9)
                    self.assertIsNone(room.take("s1", 4.9))
                room.expire_lent(free_at_s)
                self.assertIsNotNone(room.take("s1", free_at_s))

    def test_returned_twice_frees_once(self):
        room = make(2)
        loan = room.lend("d2#1", "s1", 0.0)
        room.lend("d2#1", "s1", 0.0)
        self.assertEqual([room.take_back(loan.loan_id) for _ in "ab"], [True, False])
        self.assertEqual(room.free_total(), 1)

    def test_only_free_slots_are_lent(self):
        room = make(1)
        room.take("s1", 0.0)
        with self.assertRaises(RoomExceededError):
            room.lend("d2#1", "s1", 0.0)

    def test_borrowed_slot_starts_nothing_after_its_term(self):
        table = (("in time", 0.9, True), ("over", 1.0, False))
        for name, at_s, usable in table:
            with self.subTest(name):
                room = make(0)
                self.assertTrue(room.borrow("d2#1", LOAN, 0.0, 1.0, 0.1))
                self.assertEqual(room.take("s1", at_s) is not None, usable)

    def test_loan_ends_with_the_shorter_term(self):
        room = make(0)
        room.borrow("d2#1", LOAN, 0.0, 0.5, 0.1)
        self.assertIsNone(room.take("s1", 0.5))
        self.assertIsNotNone(room.take("s1", 0.4))

    def test_late_loan_is_refused_and_doubled_loan_ignored(self):
        room = make(0)
        self.assertFalse(room.borrow("d2#1", LOAN, 0.0, 1.0, 1.0))
        self.assertTrue(room.borrow("d2#1", LOAN, 1.0, 1.0, 1.1))
        self.assertTrue(room.borrow("d2#1", LOAN, 1.0, 1.0, 1.2))
        self.assertIsNotNone(room.take("s1", 1.3))
        self.assertIsNone(room.take("s1", 1.3))

    def test_busy_loan_is_returned_only_when_its_request_has_ended(self):
        room = make(0)
        room.borrow("d2#1", LOAN, 0.0, 1.0, 0.1)
        slot = room.take("s1", 0.2)
        self.assertEqual(room.give_back(5.0, idle=True), {})
        room.release(slot)
        self.assertEqual(room.give_back(5.0, idle=True), {"d2#1": [LOAN.loan_id]})
