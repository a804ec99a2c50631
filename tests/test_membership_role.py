import unittest

import msgspec

from dogwoodlever._membership_role import exclusion_wait_s, slot_recovery_max_s
from standins.fake_site import FakeSite
from tests.sites import make_site

SLOTS = 6 * 8


class SlotRecoveryTest(unittest.TestCase):
    def test_slots_of_dead_daemons_are_recovered_in_time(self):
        for dead in (("d1",), ("d2", "d5"), ("d1", "d2", "d3")):
            with self.subTest(dead):
                fake = FakeSite(make_site(), 7)
                fake.settle()
                self.assertEqual(fake.slots_held(), SLOTS)
                for name in dead:
                    fake.kill(name)
                self.assertLess(fake.slots_held(), SLOTS)
                fake.advance(slot_recovery_max_s(fake.site.limits))
                self.assertEqual(fake.slots_held(), SLOTS)

    def test_no_member_is_excluded_without_a_majority(self):
        fake = FakeSite(make_site(), 7)
        fake.settle()
        for name in ("d1", "d2", "d3", "d4"):
            fake.kill(name)
        before = fake.slots_held()
        fake.advance(60.0, 0.02)
        self.assertEqual(fake.slots_held(), before)

    def test_restarted_daemons_restore_the_majority(self):
        fake = FakeSite(make_site(), 7)
        fake.settle()
        for name in ("d1", "d2", "d3", "d4"):
            fake.kill(name)
            fake.start(name, "foreshore")
        fake.advance(slot_recovery_max_s(fake.site.limits), 0.02)
        self.assertEqual(fake.slots_held(), SLOTS)


class StoreOutageTest(unittest.TestCase):
    def test_lease_survives_store_outage(self):
        table = (
            ("down for all", ("d1", "d2", "d3", "d4", "d5", "d6", "d7"), 7),
            ("down for a majority", ("d1", "d2", "d3", "d4"), 7),
            ("down for one", ("d1",), 7),
        )
        for name, cut, holder_count in table:
            with self.subTest(name):
                fake = FakeSite(make_site(), 7)
                fake.settle()
                for daemon in cut:
                    fake.daemons[daemon].store.is_unreachable = True
                fake.advance(30.0)
                found = [
                    d.node.membership.has_valid_lease() for d in fake.daemons.values()
                ]
                self.assertEqual(sum(found), holder_count)

    def test_isolated_daemon_stops_within_the_term(self):
        fake = FakeSite(make_site(), 7)
        fake.settle()
        fake.daemons["d1"].store.is_unreachable = True
        for other in ("d2", "d3", "d4", "d5", "d6", "d7"):
            fake.network.partitioned_pairs.add(frozenset({"d1", other}))
        fake.advance(fake.site.limits.tenure_term_s)
        self.assertFalse(fake.daemons["d1"].node.membership.has_valid_lease())
        self.assertFalse(fake.daemons["d1"].node.is_healthy())


class ChangedLimitsTest(unittest.TestCase):
    def change(self, fake, **limits):
        changed = msgspec.structs.replace(fake.site.limits, **limits)
        fake.site = msgspec.structs.replace(fake.site, limits=changed)
        fake.put_configuration()

    def test_longer_terms_are_recorded_before_they_are_used(self):
        fake = FakeSite(make_site(), 3)
        fake.settle()
        role = fake.daemons["d1"].node.membership
        before_s = exclusion_wait_s(fake.site.limits)
        role._writing = True
        self.change(fake, tenure_term_s=8.0)
        fake.advance(3.0)
        self.assertEqual(role.lease.term_s, 3.0)
        self.assertEqual(role.record.members["d1#1"].wait_s, before_s)
        role._writing = False
        fake.advance(2.0)
        self.assertEqual(role.lease.term_s, 8.0)
        self.assertEqual(role.record.members["d1#1"].wait_s, before_s + 5.0)

    def test_shorter_terms_are_used_before_they_are_recorded(self):
        fake = FakeSite(make_site(), 3)
        fake.settle()
        role = fake.daemons["d1"].node.membership
        before_s = exclusion_wait_s(fake.site.limits)
        self.change(fake, tenure_term_s=2.0)
        fake.advance(2.0)
        self.assertEqual(role.lease.term_s, 2.0)
        self.assertEqual(role.record.members["d1#1"].wait_s, before_s)
        fake.advance(before_s)
        self.assertEqual(role.record.members["d1#1"].wait_s, before_s - 1.0)
