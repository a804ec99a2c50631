import unittest

from dogwoodlever.peers import (
    MembershipLease,
    PeerEvidence,
    RecordVersions,
    StoreContact,
)

TERM_S = 3.0
VERSIONS = RecordVersions(5, 7)
OTHERS = {"b", "c", "d", "e"}


def peer_evidence(
    echo_s, age_s, contact_duration_s=0.0, record_versions=VERSIONS, received_s=None
):
    received_s = echo_s if received_s is None else received_s
    return PeerEvidence(echo_s, received_s, age_s, contact_duration_s, record_versions)


def lease_read_at(at_s=100.0):
    lease = MembershipLease(TERM_S)
    lease.record_store_read(at_s, VERSIONS, live=True)
    return lease


class MembershipLeaseTest(unittest.TestCase):
    def test_own_read_is_valid_for_the_term(self):
        lease = lease_read_at()
        self.assertTrue(lease.is_valid(102.9))
        self.assertFalse(lease.is_valid(103.0))

    def test_read_that_shows_it_excluded_is_no_evidence(self):
        lease = MembershipLease(TERM_S)
        lease.record_store_read(100.0, VERSIONS, live=False)
        self.assertFalse(lease.is_valid(100.1))

    def test_read_reported_by_a_peer(self):
        table = (
            ("fresh", peer_evidence(104.0, 0.5), True, 106.4, True),
            (
                "as old as the peer's read",
                peer_evidence(104.0, 0.5),
                True,
                106.6,
                False,
            ),
            ("not live there", peer_evidence(104.0, 0.5), False, 104.1, False),
            (
                "other members",
                peer_evidence(104.0, 0.5, record_versions=RecordVersions(6, 7)),
                True,
                104.1,
                False,
            ),
            (
                "other config",
                peer_evidence(104.0, 0.5, record_versions=RecordVersions(5, 8)),
                True,
                104.1,
                False,
            ),
            (
                "delayed by 10 s",
                peer_evidence(94.0, 0.1, received_s=104.0),
                True,
                104.1,
                False,
            ),
        )
        for name, evidence, live, at_s, is_valid in table:
            with self.subTest(name):
                lease = lease_read_at(100.0)
                lease.record_heartbeat("b", evidence, live)
                self.assertEqual(lease.is_valid(at_s), is_valid)

    def test_outage_needs_a_majority_without_contact(self):
        table = (("two of five", "b", False), ("three of five", "bc", True))
        for name, out_of_contact, is_valid in table:
            with self.subTest(name):
                lease = lease_read_at(100.0)
                now_s = 100.0
                while now_s < 110.0:
                    now_s += 0.5
                    for peer in out_of_contact:
                        age_s = now_s - 99.0
                        lease.record_heartbeat(
                            peer, peer_evidence(now_s - 0.1, age_s), True
                        )
                    lease.extend_in_outage(now_s, OTHERS)
                # Peers' reports count once their store contact is older than the
                # gap; this daemon's own evidence has to last until then.
                self.assertEqual(lease.is_valid(110.0), is_valid)

    def test_outage_does_not_revive_an_expired_lease(self):
        lease = lease_read_at(100.0)
        for peer in OTHERS:
            lease.record_heartbeat(peer, peer_evidence(110.0, 20.0), True)
        self.assertFalse(lease.extend_in_outage(110.0, OTHERS))
        self.assertFalse(lease.is_valid(110.0))

    def test_majority_in_contact_since(self):
        table = (
            ("throughout", 20.0, True),
            ("one gap in between", 3.0, False),
            ("out of contact now", 0.0, False),
        )
        for name, contact_duration_s, in_contact in table:
            with self.subTest(name):
                lease = MembershipLease(TERM_S)
                for at_s in range(90, 111):
                    lease.record_store_read(float(at_s), VERSIONS, True)
                for peer in "bc":
                    lease.record_heartbeat(
                        peer,
                        peer_evidence(109.9, 0.1, contact_duration_s, received_s=110.0),
                        True,
                    )
                found = lease.majority_in_contact_since(100.0, 110.0, OTHERS)
                self.assertEqual(found, in_contact)


class StoreContactTest(unittest.TestCase):
    def test_gap_resets_the_contact_duration(self):
        contact = StoreContact(1.5)
        for at_s in (100.0, 101.0, 102.0):
            contact.record_read(at_s)
        self.assertEqual(contact.contact_duration_s(103.0), 3.0)
        contact.record_read(104.0)
        self.assertEqual(contact.contact_duration_s(105.0), 1.0)
        self.assertEqual(contact.contact_duration_s(106.0), 0.0)
