import unittest

from dogwoodlever.account import (
    BurnBook,
    RequestAccount,
    RequestAccounts,
    merge_lines,
)


class BurnBookTest(unittest.TestCase):
    def make(self, good, bad, at_s=1000.0, centre="a"):
        book = BurnBook(centre)
        for number in range(good + bad):
            book.note("desk", at_s, number < good, "answered")
        return book

    def test_burn(self):
        table = (("none", 0, 0, 0.0), ("in budget", 99, 1, 1.0), ("over", 90, 10, 10.0))
        for name, good, bad, burn in table:
            with self.subTest(name):
                line = self.make(good, bad).lines(1000.0, {"desk": 0.99})[0]
                self.assertAlmostEqual(line.burn, burn)

    def test_windows(self):
        lines = self.make(5, 0).lines(1400.0, {"desk": 0.99})
        self.assertEqual([(x.window_s, x.total) for x in lines], [(300, 0), (3600, 5)])

    def test_daemons_add_up_by_data_centre(self):
        objectives = {"desk": 0.99}
        lines = [
            *self.make(1, 1).lines(1000.0, objectives),
            *self.make(2, 0).lines(1000.0, objectives),
            *self.make(4, 0, centre="b").lines(1000.0, objectives),
        ]
        found = [
            (x.data_centre, x.total) for x in merge_lines(lines) if x.window_s < 999
        ]
        self.assertEqual(found, [("a", 4), ("b", 4)])


class RequestAccountsTest(unittest.TestCase):
    def open(self, accounts, number):
        account = RequestAccount(f"r{number}", "desk", "book", "c", "d1", 0.0)
        accounts.open(account)
        return account

    def test_attempt_by_attempt(self):
        accounts = RequestAccounts()
        account = self.open(accounts, 1)
        accounts.started("r1", "s1", 1.0)
        accounts.attempt_ended("r1", "s1", "not written", 2.0)
        accounts.started("r1", "s2", 3.0)
        accounts.attempt_ended("r1", "s2", "answered", 4.0)
        accounts.ended("r1", "answered", "answered", 4.0)
        found = [(line.server, line.result) for line in account.attempts]
        self.assertEqual(found, [("s1", "not written"), ("s2", "answered")])

    def test_copies_of_what_went_wrong_go_first(self):
        accounts = RequestAccounts()
        for number in range(300):
            self.open(accounts, number)
            accounts.started(f"r{number}", "s1", 0.0)
            outcome = "unknown" if number == 299 else "answered"
            accounts.ended(f"r{number}", outcome, "", 1.0)
        copies = accounts.next_copies()
        self.assertEqual((len(copies), copies[0].request_id), (200, "r299"))
        self.assertEqual(accounts.next_copies(), [])

    def test_number_is_bounded(self):
        accounts = RequestAccounts()
        for number in range(5001):
            self.open(accounts, number)
        self.assertIsNone(accounts.get("r0"))
        self.assertIsNotNone(accounts.get("r5000"))
