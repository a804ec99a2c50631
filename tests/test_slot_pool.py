import unittest

from dogwoodlever.routing import Loan, Slot, SlotPool
from dogwoodlever.routing_errors import SlotsExceededError

LOAN = Loan("d2#1/1", "s1")


def make_pool(held=2):
    pool = SlotPool("d1#1", 1.0, 4.0)
    pool.set_held({"s1": held})
    return pool


class OwnSlotsTest(unittest.TestCase):
    def test_no_more_slots_are_acquired_than_held(self):
        pool = make_pool()
        acquired = [pool.acquire("s1", 0.0) for _ in range(3)]
        self.assertEqual(acquired, [Slot("s1"), Slot("s1"), None])
        pool.release(acquired[0])
        self.assertEqual(pool.acquire("s1", 0.0), Slot("s1"))

    def test_reduced_slots_are_not_acquired_again(self):
        pool = make_pool()
        slot = pool.acquire("s1", 0.0)
        pool.reduce_held({"s1": 1})
        self.assertIsNone(pool.acquire("s1", 0.0))
        pool.release(slot)
        self.assertIsNotNone(pool.acquire("s1", 0.0))
        self.assertIsNone(pool.acquire("s1", 0.0))

    def test_own_slots_are_unusable_without_a_membership_lease(self):
        self.assertIsNone(make_pool().acquire("s1", 0.0, own=False))


class LoansTest(unittest.TestCase):
    def test_lent_slot_is_free_once_returned_or_after_term_and_longest_request(self):
        table = (("returned", True, 0.1), ("not returned", False, 5.0))
        for name, returned, free_at_s in table:
            with self.subTest(name):
                pool = make_pool(1)
                loan = pool.lend("d2#1", "s1", 0.0)
                self.assertIsNone(pool.acquire("s1", 0.0))
                if returned:
                    pool.reclaim(loan.loan_id)
                else:
                    pool.expire_loans(4.9)
                    self.assertIsNone(pool.acquire("s1", 4.9))
                pool.expire_loans(free_at_s)
                self.assertIsNotNone(pool.acquire("s1", free_at_s))

    def test_duplicate_return_frees_one_slot(self):
        pool = make_pool(2)
        loan = pool.lend("d2#1", "s1", 0.0)
        pool.lend("d2#1", "s1", 0.0)
        self.assertEqual([pool.reclaim(loan.loan_id) for _ in "ab"], [True, False])
        self.assertEqual(pool.free_total(), 1)

    def test_only_free_slots_are_lent(self):
        pool = make_pool(1)
        pool.acquire("s1", 0.0)
        with self.assertRaises(SlotsExceededError):
            pool.lend("d2#1", "s1", 0.0)

    def test_borrowed_slot_is_unusable_after_its_term(self):
        table = (("in time", 0.9, True), ("expired", 1.0, False))
        for name, at_s, usable in table:
            with self.subTest(name):
                pool = make_pool(0)
                self.assertTrue(pool.accept_loan("d2#1", LOAN, 0.0, 1.0, 0.1))
                self.assertEqual(pool.acquire("s1", at_s) is not None, usable)

    def test_loan_ends_with_the_shorter_term(self):
        pool = make_pool(0)
        pool.accept_loan("d2#1", LOAN, 0.0, 0.5, 0.1)
        self.assertIsNone(pool.acquire("s1", 0.5))
        self.assertIsNotNone(pool.acquire("s1", 0.4))

    def test_expired_loan_is_rejected_and_duplicate_ignored(self):
        pool = make_pool(0)
        self.assertFalse(pool.accept_loan("d2#1", LOAN, 0.0, 1.0, 1.0))
        self.assertTrue(pool.accept_loan("d2#1", LOAN, 1.0, 1.0, 1.1))
        self.assertTrue(pool.accept_loan("d2#1", LOAN, 1.0, 1.0, 1.2))
        self.assertIsNotNone(pool.acquire("s1", 1.3))
        self.assertIsNone(pool.acquire("s1", 1.3))

    def test_busy_borrowed_slot_is_returned_after_its_request(self):
        pool = make_pool(0)
        pool.accept_loan("d2#1", LOAN, 0.0, 1.0, 0.1)
        slot = pool.acquire("s1", 0.2)
        self.assertEqual(pool.drop_borrowed(5.0, idle=True), {})
        pool.release(slot)
        self.assertEqual(pool.drop_borrowed(5.0, idle=True), {"d2#1": [LOAN.loan_id]})
