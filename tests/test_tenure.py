import unittest

from dogwoodlever.peers import Basis, PeerEvidence, StoreContact, Tenure

TERM_S = 3.0
BASIS = Basis(5, 7)
OTHERS = {"b", "c", "d", "e"}


def said(echo_s, age_s, run_s=0.0, basis=BASIS, received_s=None):
    received_s = echo_s if received_s is None else received_s
    return PeerEvidence(echo_s, received_s, age_s, run_s, basis)


def confirmed(at_s=100.0):
    tenure = Tenure(TERM_S)
    tenure.confirm_from_store(at_s, BASIS, live=True)
    return tenure


class TenureTest(unittest.TestCase):
    def test_own_read_holds_for_the_term(self):
        tenure = confirmed()
        self.assertTrue(tenure.holds(102.9))
        self.assertFalse(tenure.holds(103.0))

    def test_read_that_shows_it_excluded_gives_nothing(self):
        tenure = Tenure(TERM_S)
        tenure.confirm_from_store(100.0, BASIS, live=False)
        self.assertFalse(tenure.holds(100.1))

    def test_relay(self):
        table = (
            ("fresh", said(104.0, 0.5), True, 106.4, True),
            ("as old as the peer's read", said(104.0, 0.5), True, 106.6, False),
            ("not live there", said(104.0, 0.5), False, 104.1, False),
            ("other members", said(104.0, 0.5, basis=Basis(6, 7)), True, 104.1, False),
            ("other config", said(104.0, 0.5, basis=Basis(5, 8)), True, 104.1, False),
            ("delayed by 10 s", said(94.0, 0.1, received_s=104.0), True, 104.1, False),
        )
        for name, evidence, live, at_s, holds in table:
            with self.subTest(name):
                tenure = confirmed(100.0)
                tenure.hear("b", evidence, live)
                self.assertEqual(tenure.holds(at_s), holds)

    def test_outage_needs_a_majority_without_contact(self):
        table = (("two of five", "b", False), ("three of five", "bc", True))
        for name, stale, holds in table:
            with self.subTest(name):
                tenure = confirmed(100.0)
                now_s = 100.0
                while now_s < 110.0:
                    now_s += 0.5
                    for peer in stale:
                        age_s = now_s - 99.0
                        tenure.hear(peer, said(now_s - 0.1, age_s), True)
                    tenure.extend_in_outage(now_s, OTHERS)
                # The peers' contact must be older than the term before their
                # word counts, and the own evidence must last until then.
                self.assertEqual(tenure.holds(110.0), holds)

    def test_outage_does_not_revive_a_lapsed_tenure(self):
        tenure = confirmed(100.0)
        for peer in OTHERS:
            tenure.hear(peer, said(110.0, 20.0), True)
        self.assertFalse(tenure.extend_in_outage(110.0, OTHERS))
        self.assertFalse(tenure.holds(110.0))

    def test_majority_fresh_since(self):
        table = (
            ("all through", 20.0, True),
            ("one gap in between", 3.0, False),
            ("out of contact now", 0.0, False),
        )
        for name, run_s, fresh in table:
            with self.subTest(name):
                tenure = Tenure(TERM_S)
                for at_s in range(90, 111):
                    tenure.confirm_from_store(float(at_s), BASIS, True)
                for peer in "bc":
                    tenure.hear(peer, said(109.9, 0.1, run_s, received_s=110.0), True)
                found = tenure.majority_fresh_since(100.0, 110.0, OTHERS)
                self.assertEqual(found, fresh)


class StoreContactTest(unittest.TestCase):
    def test_run_ends_with_a_gap(self):
        contact = StoreContact(1.5)
        for at_s in (100.0, 101.0, 102.0):
            contact.note(at_s)
        self.assertEqual(contact.fresh_run_s(103.0), 3.0)
        contact.note(104.0)
        self.assertEqual(contact.fresh_run_s(105.0), 1.0)
        self.assertEqual(contact.fresh_run_s(106.0), 0.0)
