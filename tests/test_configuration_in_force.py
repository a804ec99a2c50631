"""Which version of the configuration is in force at a daemon, and how it is shown."""

import unittest
from unittest.mock import patch

import msgspec

from tests.fleet_simulation import CONFIGURATION, FleetSimulation

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
            ("older", msgspec.json.encode(make_version(1)), "'version': 1"),
            ("removed", None, "removed_at"),
        )
        for cause, value, named in table:
            with self.subTest(cause):
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


if __name__ == "__main__":
    unittest.main()
