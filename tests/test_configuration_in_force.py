"""Which version of the configuration is in force at a daemon, and how it is shown."""

import unittest
from unittest.mock import patch

import msgspec
from msgspec.json import encode

from dogwoodlever._fleet_frontend import CallOutcome
from dogwoodlever._fleet_records import job_key
from tests.fleet_simulation import CONFIGURATION, FleetSimulation, job
from tests.test_fleet_callers_resource import Request

INVALID = b'{"version": 3, "routes": [{"name": 7}]}'


def make_version(version, *names, **fields):
    """Return a version of the configuration with some queues besides the usual one."""
    usual = CONFIGURATION["routes"][0]
    routes = [
        usual | {"name": name, "prefix": f"/{name}/"} | fields
        for name in (usual["name"], *names)
    ]
    return CONFIGURATION | {"version": version, "routes": routes}


class ConfigurationReportTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        for module in ("_configuration_knowledge", "_fleet_desired_state"):
            target = f"dogwoodlever.{module}.log_event"
            patched = patch(target, lambda event, **f: self.lines.append((event, f)))
            patched.start()
            self.addCleanup(patched.stop)

    def read(self, fleet, name, **labels):
        registry = fleet.nodes[0].metrics.registry
        return registry.get_sample_value(f"dogwoodlever_{name}", labels)

    # Guards against a late version that neither logs nor metrics show.
    def test_version_in_force_its_start_and_the_age_of_that_knowledge(self):
        table = (
            # how long the daemon's watch is silent, least and greatest lag
            (0.0, 0.0, 1.6),
            (3.0, 2.0, 5.5),
        )
        for silent_s, least_s, greatest_s in table:
            with self.subTest(silent_s=silent_s):
                fleet = FleetSimulation(daemons=1)
                fleet.run_for(5.0)
                self.assertLess(self.read(fleet, "configuration_age_seconds"), 2.0)
                self.lines.clear()
                if silent_s:
                    fleet.stores[0].silent_prefixes.add("op/")
                written_s = fleet.clock.seconds()
                fleet.configure(make_version(7, "new"))
                fleet.run_for(silent_s)
                age_s = self.read(fleet, "configuration_age_seconds")
                self.assertGreaterEqual(age_s, silent_s)
                fleet.stores[0].silent_prefixes.clear()
                fleet.run_for(2.5)
                self.assertEqual(self.read(fleet, "configuration_version"), 7)
                since_s = self.read(fleet, "configuration_since_timestamp_seconds")
                fields = dict(self.lines)["configuration.in-force"]
                self.assertEqual(fields["version"], 7)
                self.assertEqual(fields["former_version"], 1)
                self.assertGreaterEqual(fields["lag_max_s"], since_s - written_s - 0.05)
                self.assertGreaterEqual(fields["lag_max_s"], least_s)
                self.assertLessEqual(fields["lag_max_s"], greatest_s)
                self.assertEqual(self.read(fleet, "configuration_lag_seconds_count"), 1)

    # Guards against an older version that stays in force without a cause.
    def test_version_that_is_not_put_into_force_is_named(self):
        table = (
            ("unreadable", INVALID, "name"),
            ("unreadable", encode(make_version(3, "a", "a")), "two are named 'a'"),
            ("unreadable", encode(make_version(3, max_attempts=-1)), "max_attempts"),
            ("unreadable", encode(make_version(3, slo_ms=-1)), "slo_ms"),
            ("unreadable", encode(make_version(3, stretch="x")), "stretch"),
            ("older", encode(make_version(1)), "'version': 1"),
            ("removed", None, "removed_at"),
        )
        for cause, value, named in table:
            with self.subTest(cause, named=named):
                fleet = FleetSimulation(daemons=1)
                fleet.configure(make_version(2, "new"))
                fleet.run_for(1.0)
                self.lines.clear()
                if value is None:
                    fleet.records.remove("op/config")
                else:
                    fleet.records.write("op/config", value)
                fleet.run_for(1.0)
                fields = dict(self.lines)[f"configuration.{cause}"]
                self.assertEqual(fields["in_force"], 2)
                self.assertIn(named, str(fields))
                refused = self.read(fleet, "configurations_refused_total", cause=cause)
                self.assertEqual(refused, 1)
                self.assertEqual(self.read(fleet, "configuration_version"), 2)


class OutdatedDaemonTest(unittest.TestCase):
    """A daemon that is behind another one, or may be."""

    def start_fleet(self, configuration=CONFIGURATION):
        fleet = FleetSimulation(configuration=configuration)
        fleet.run_for(3.0)
        self.leader = fleet.leader()
        self.other = (self.leader + 1) % 3
        return fleet

    def get_status(self, fleet, number, path):
        request = Request(b"GET", path, host="desk.example")
        fleet.nodes[number].callers.render(request)
        fleet.run_for(0.3)
        return request.responseCode, request.responseHeaders.hasHeader("retry-after")

    # Guards against a 404 for a queue that a newer version may have had for long: it is
    # the last answer to the caller, who would find the queue at another daemon.
    def test_unknown_queue_is_refused_only_by_current_knowledge(self):
        table = (
            # time without an answer of the store, status, Retry-After
            (0.0, 404, False),
            (0.8, 404, False),
            (3.0, 503, True),
            (20.0, 503, True),
        )
        for silent_s, status, has_retry_after in table:
            with self.subTest(silent_s=silent_s):
                fleet = self.start_fleet()
                fleet.stores[self.other].is_down = silent_s > 0
                fleet.run_for(silent_s)
                found = self.get_status(fleet, self.other, "/new/")
                self.assertEqual(found, (status, has_retry_after))
                fleet.stores[self.other].is_down = False
                fleet.run_for(2.0)
                found = self.get_status(fleet, self.other, "/new/")
                self.assertEqual(found, (404, False))

    # Guards against a daemon that goes on with an older version after another one has
    # decided by a newer one.
    def test_newer_version_of_another_daemon_is_read_at_once(self):
        table = (("count of a peer", False), ("job of a peer", True))
        for name, leader_is_behind in table:
            with self.subTest(name):
                fleet = self.start_fleet()
                behind = self.leader if leader_is_behind else self.other
                fleet.stores[behind].silent_prefixes.add("op/")
                fleet.configure(make_version(2, "extra"))
                fleet.run_for(0.1)
                self.assertEqual(fleet.nodes[behind].knowledge.version, 1)
                if leader_is_behind:
                    submitted = msgspec.structs.replace(job(), configuration_version=2)
                    fleet.submit(self.other, submitted, wait_s=0.3)
                else:
                    self.get_status(fleet, behind, "/quotes/")
                self.assertEqual(fleet.nodes[behind].knowledge.version, 2)

    # Guards against a leader that stores a job for a daemon that is cut off from the
    # store and does not know that the queue was dropped.
    def test_job_of_a_dropped_queue_is_not_stored_for_a_peer(self):
        for version, outcome in ((1, CallOutcome.NOT_DONE), (2, CallOutcome.DONE)):
            with self.subTest(version=version):
                fleet = self.start_fleet(make_version(1, "extra"))
                fleet.stores[self.other].is_down = True
                fleet.run_for(1.0)
                fleet.configure(make_version(2, *(["extra"] if version == 2 else [])))
                fleet.run_for(0.5)
                submitted = msgspec.structs.replace(
                    job(), queue="extra", configuration_version=version
                )
                result = fleet.submit(self.other, submitted, wait_s=1.5)
                self.assertEqual(result.outcome, outcome)
                is_stored = job_key(submitted.job_id) in fleet.records.records
                self.assertEqual(is_stored, outcome is CallOutcome.DONE)


if __name__ == "__main__":
    unittest.main()
