import unittest

from dogwoodlever.routing import Loan, Slot, SlotPool
from dogwoodlever.routing_errors import SlotsExceededError

LOAN = Loan("d2#1/1", "s1")


def make(held=2):
    pool = SlotPool("d1#1", 1.0, 4.0)
    pool.set_held({"s1": held})
    return pool


class OwnSlotsTest(unittest.TestCase):
    def test_no_more_are_taken_than_held(self):
        pool = make()
        taken = [pool.acquire("s1", 0.0) for _ in range(3)]
        self.assertEqual(taken, [Slot("s1"), Slot("s1"), None])
        pool.release(taken[0])
        self.assertEqual(pool.acquire("s1", 0.0), Slot("s1"))

    def test_lowered_slots_are_not_taken_again(self):
        pool = make()
        slot = pool.acquire("s1", 0.0)
        pool.reduce_held({"s1": 1})
        self.assertIsNone(pool.acquire("s1", 0.0))
        pool.release(slot)
        self.assertIsNotNone(pool.acquire("s1", 0.0))
        self.assertIsNone(pool.acquire("s1", 0.0))

    def test_own_slots_are_closed_without_tenure(self):
        self.assertIsNone(make().acquire("s1", 0.0, own=False))


class LoansTest(unittest.TestCase):
    def test_a_lent_slot_is_used_until_returned_or_its_term_and_request_are_over(self):
        table = (("returned", True, 0.1), ("not returned", False, 5.0))
        for name, returned, free_at_s in table:
            with self.subTest(name):
                pool = make(1)
                loan = pool.lend("d2#1", "s1", 0.0)
                self.assertIsNone(pool.acquire("s1", 0.0))
                if returned:
                    pool.reclaim(loan.loan_id)
                else:
                    pool.expire_loans(4.9)
                    self.assertIsNone(pool.acquire("s1", 4.9))
                pool.expire_loans(free_at_s)
                self.assertIsNotNone(pool.acquire("s1", free_at_s))

    def test_returned_twice_frees_once(self):
        pool = make(2)
        loan = pool.lend("d2#1", "s1", 0.0)
        pool.lend("d2#1", "s1", 0.0)
        self.assertEqual([pool.reclaim(loan.loan_id) for _ in "ab"], [True, False])
        self.assertEqual(pool.free_total(), 1)

    def test_only_free_slots_are_lent(self):
        pool = make(1)
        pool.acquire("s1", 0.0)
        with self.assertRaises(SlotsExceededError):
            pool.lend("d2#1", "s1", 0.0)

    def test_borrowed_slot_starts_nothing_after_its_term(self):
        table = (("in time", 0.9, True), ("over", 1.0, False))
        for name, at_s, usable in table:
            with self.subTest(name):
                pool = make(0)
                self.assertTrue(pool.accept_loan("d2#1", LOAN, 0.0, 1.0, 0.1))
                self.assertEqual(pool.acquire("s1", at_s) is not None, usable)

    def test_loan_ends_with_the_shorter_term(self):
        pool = make(0)
        pool.accept_loan("d2#1", LOAN, 0.0, 0.5, 0.1)
        self.assertIsNone(pool.acquire("s1", 0.5))
        self.assertIsNotNone(pool.acquire("s1", 0.4))

    def test_late_loan_is_refused_and_doubled_loan_ignored(self):
        pool = make(0)
        self.assertFalse(pool.accept_loan("d2#1", LOAN, 0.0, 1.0, 1.0))
        self.assertTrue(pool.accept_loan("d2#1", LOAN, 1.0, 1.0, 1.1))
        self.assertTrue(pool.accept_loan("d2#1", LOAN, 1.0, 1.0, 1.2))
        self.assertIsNotNone(pool.acquire("s1", 1.3))
        self.assertIsNone(pool.acquire("s1", 1.3))

    def test_busy_loan_is_returned_only_when_its_request_has_ended(self):
        pool = make(0)
        pool.accept_loan("d2#1", LOAN, 0.0, 1.0, 0.1)
        slot = pool.acquire("s1", 0.2)
        self.assertEqual(pool.drop_borrowed(5.0, idle=True), {})
        pool.release(slot)
        self.assertEqual(pool.drop_borrowed(5.0, idle=True), {"d2#1": [LOAN.loan_id]})
