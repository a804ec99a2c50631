import unittest

import msgspec
from returns.result import Failure

from dogwoodlever._record_keys import CONFIGURATION
from dogwoodlever.configuration import (
    ActiveConfiguration,
    ConfigurationRecord,
    encode_configuration,
)
from dogwoodlever.configuration_errors import (
    ConfigurationConflictError,
    ConfigurationError,
)
from standins.fake_site import FakeSite
from tests.sites import make_site

DOCUMENT = msgspec.json.encode(msgspec.to_builtins(make_site())).decode()


def record(revision, **more):
    return ConfigurationRecord(revision, (("site.json", DOCUMENT),), **more)


class ActiveConfigurationTest(unittest.TestCase):
    def test_only_a_newer_configuration_is_activated(self):
        active = ActiveConfiguration()
        table = (
            ("first", 5, 2, True),
            ("older version", 4, 3, False),
            ("same", 5, 2, False),
            ("newer version, older revision", 6, 1, False),
            ("newer", 7, 3, True),
        )
        for name, version, revision, accepted in table:
            with self.subTest(name):
                value = encode_configuration(record(revision))
                self.assertEqual(active.offer(version, value), accepted)
        self.assertEqual(active.record.revision, 3)

    def test_invalid_value_leaves_the_active_configuration(self):
        active = ActiveConfiguration()
        active.offer(1, encode_configuration(record(1)))
        bad = ConfigurationRecord(2, (("site.yaml", "site: x"),))
        for value in (b"garbage", encode_configuration(bad)):
            with self.assertRaises(ConfigurationError):
                active.offer(2, value)
        self.assertEqual(active.record.revision, 1)

    def test_data_centre_out_is_part_of_the_site(self):
        site = record(1, out=("foreshore",)).site().unwrap()
        self.assertTrue(site.data_centres["foreshore"].out)
        self.assertFalse(site.data_centres["fremantle"].out)

    def test_removing_a_data_centre_that_is_out_is_rejected(self):
        found = record(1, out=("nowhere",)).site()
        self.assertIsInstance(found, Failure)
        self.assertIn("nowhere", str(found.failure()))


class ConcurrentOperatorsTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeSite(make_site(), 3)
        self.fake.settle()
        self.results = []

    def collect(self, deferred):
        deferred.addCallbacks(
            self.results.append, lambda f: self.results.append(f.type)
        )

    def role(self, name):
        return self.fake.daemons[name].node.configuration

    def revisions(self):
        nodes = [daemon.node for daemon in self.fake.daemons.values()]
        return {node.configuration.active.record.revision for node in nodes}

    def test_one_of_two_concurrent_documents_is_accepted(self):
        documents = (("site.json", DOCUMENT),)
        for name in ("d1", "d2"):
            self.collect(self.role(name).apply(documents, name, 1))
        self.fake.advance(1.0)
        self.assertEqual(len([end for end in self.results if end == 2]), 1)
        self.assertEqual(len(self.results), 2)
        self.assertEqual(self.revisions(), {2})

    def test_two_concurrent_data_centre_changes_are_both_accepted(self):
        for name, centre in (("d1", "foreshore"), ("d2", "fremantle")):
            self.collect(self.role(name).set_data_centre(centre, True, name))
        self.fake.advance(2.0)
        self.assertEqual(sorted(self.results), [2, 3])
        out = {self.role(name).active.record.out for name in self.fake.daemons}
        self.assertEqual(out, {("foreshore", "fremantle")})

    def test_change_with_a_lost_response_is_accepted_once(self):
        self.fake.values.faults.answers_to_lose = 1
        self.collect(self.role("d1").set_data_centre("foreshore", True, "me"))
        self.fake.advance(3.0)
        self.assertEqual((self.results, self.revisions()), ([2], {2}))

    # Guards against an operator's change that is repeated without end, as the record
    # that it expects is gone or cannot be used.
    def test_change_of_a_record_that_another_hand_has_changed(self):
        for value, expected in ((None, 2), (b"\xff", ConfigurationConflictError)):
            with self.subTest(value):
                self.setUp()
                values = self.fake.values
                version = values.entries[CONFIGURATION].version
                if value is None:
                    values.delete(CONFIGURATION, version)
                else:
                    values.write(CONFIGURATION, value, version)
                self.collect(self.role("d1").set_data_centre("foreshore", True, "me"))
                values.calls.clear()
                self.fake.advance(2.0)
                self.assertEqual(self.results, [expected])
                self.assertLess(values.calls["write"], 20)

    def test_active_on_all_daemons_within_two_seconds(self):
        self.fake.daemons["d3"].store.is_unreachable = True
        self.collect(self.role("d1").set_data_centre("foreshore", True, "me"))
        self.fake.advance(2.0)
        self.assertEqual(self.revisions(), {2})

    def test_daemon_started_in_an_outage_becomes_healthy_afterwards(self):
        self.fake.values.faults.down = True
        started = self.fake.start("d4", "foreshore")
        self.fake.advance(10.0)
        self.assertFalse(started.node.is_healthy())
        self.fake.values.faults.down = False
        self.fake.advance(5.0)
        self.assertTrue(started.node.is_healthy())
