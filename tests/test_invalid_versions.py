"""Invalid versions of the configuration change nothing; valid ones come into force."""

import copy
import unittest
from unittest.mock import patch

from dogwoodlever._request_limits import RequestLimits
from standins.invalid_versions import (
    INVALID_BYTES,
    INVALID_QUEUE,
    INVALID_VERSIONS,
    UNUSUAL_VALID_VERSIONS,
    encode_version,
)
from tests.fleet_simulation import CONFIGURATION, QUEUE, FleetSimulation
from tests.test_fleet_callers_resource import Request

HOST = "desk.example"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 10_000,
    "idle_timeout_ms": 60_000,
}
FIELDS = {
    "name", "host", "prefix", "service", "priority", "max_attempts", "stretch",
    "slo_ms", "timeout_ms", "kind", "advice", "version", "routes", "services",
    "limits", *LIMITS,
}  # fmt: skip


def make_document(version, *names):
    """Return a valid document with some queues besides the usual one."""
    document = copy.deepcopy(CONFIGURATION) | {"version": version, "limits": LIMITS}
    usual = document["routes"][0] | {"timeout_ms": 2500}
    document["routes"] = [
        usual | {"name": name, "prefix": f"/{name}/"} for name in (QUEUE, *names)
    ]
    return document


def list_invalid(version):
    """Yield each form, the field that its refusal has to name, and its bytes."""
    for form, change in INVALID_VERSIONS.items():
        field = next(word for word in form.split() if word in FIELDS)
        yield form, field, encode_version(change(make_document(version)))
    for form, value in INVALID_BYTES.items():
        yield form, "", value


class VersionsTest(unittest.TestCase):
    def setUp(self):
        self.refusals = []
        target = "dogwoodlever._fleet_desired_state.log_event"
        patched = patch(target, self.record_event)
        patched.start()
        self.addCleanup(patched.stop)

    def record_event(self, event, **fields):
        if event not in ("configuration.loaded", "data-centre.out"):
            self.refusals.append((event, fields))

    def start_fleet(self, value):
        """Start a daemon that finds a version, or none, in the store."""
        fleet = FleetSimulation(daemons=0, workers=1)
        fleet.records.remove("op/config")
        if value is not None:
            fleet.records.write("op/config", value)
        fleet.add_daemon("vm0")
        fleet.run_for(1.0)
        self.node = fleet.nodes[0]
        return fleet

    def get_status(self, fleet, path):
        request = Request(b"GET", path, host=HOST)
        self.node.callers.render(request)
        fleet.run_for(0.1)
        return request.responseCode if request.finished else None

    def count_refused(self):
        return sum(
            sample.value
            for metric in self.node.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == "dogwoodlever_configurations_refused_total"
        )

    def assert_refused(self, field):
        self.assertEqual(self.count_refused(), 1)
        self.assertEqual(len(self.refusals), 1)
        event, fields = self.refusals[0]
        self.assertTrue(event.startswith("configuration."), event)
        if event == "configuration.older":
            self.assertEqual(field, "version")
            self.assertIn("version", fields)
        else:
            self.assertTrue(fields["why"])
            self.assertIn(field, fields["why"])

    def assert_next_version_comes_into_force(self, fleet, version):
        fleet.records.write("op/config", encode_version(make_document(version, "next")))
        fleet.run_for(0.5)
        configuration = self.node.desired_state.configuration
        self.assertEqual(configuration.version, version)
        self.assertEqual(set(configuration.queues), {QUEUE, "next"})
        self.assertEqual(self.get_status(fleet, "/next/"), 200)

    # Guards against a version that the store cannot have accepted and a daemon serves.
    def test_invalid_version_after_a_valid_one(self):
        for form, field, value in list_invalid(5):
            with self.subTest(form):
                fleet = self.start_fleet(encode_version(make_document(4)))
                self.refusals.clear()
                fleet.records.write("op/config", value)
                fleet.run_for(0.5)
                configuration = self.node.desired_state.configuration
                self.assertEqual(configuration.version, 4)
                self.assertEqual(set(configuration.queues), {QUEUE})
                self.assertEqual(self.get_status(fleet, f"/{INVALID_QUEUE}/"), 404)
                self.assertEqual(self.get_status(fleet, f"/{QUEUE}/"), 200)
                self.assert_refused(field)
                self.assert_next_version_comes_into_force(fleet, 6)

    # Guards against one that is taken because no version is in force yet, which a
    # version of 0 or less needs.
    def test_invalid_first_version(self):
        for form, field, value in list_invalid(1):
            with self.subTest(form):
                self.refusals.clear()
                fleet = self.start_fleet(value)
                self.assertIsNone(self.node.desired_state.configuration)
                self.assertEqual(self.get_status(fleet, f"/{INVALID_QUEUE}/"), 503)
                self.assert_refused(field)
                self.assert_next_version_comes_into_force(fleet, 2)

    # Guards against a valid version that is never in force for its unusual form.
    def test_unusual_valid_version(self):
        for form, change in UNUSUAL_VALID_VERSIONS.items():
            for is_first in (True, False):
                with self.subTest(form, is_first=is_first):
                    self.refusals.clear()
                    document = change(make_document(5))
                    value = encode_version(document)
                    former = encode_version(make_document(4, "former"))
                    fleet = self.start_fleet(value if is_first else former)
                    if not is_first:
                        fleet.records.write("op/config", value)
                        fleet.run_for(0.5)
                    self.assertEqual(self.refusals, [])
                    self.assertEqual(self.count_refused(), 0)
                    configuration = self.node.desired_state.configuration
                    self.assertEqual(configuration.version, 5)
                    self.assertIs(type(configuration.version), int)
                    names = {route["name"] for route in document["routes"]}
                    self.assertEqual(set(configuration.queues), names)
                    for route in document["routes"]:
                        queue = configuration.queues[route["name"]]
                        self.assertEqual(queue.attempts_max, route["max_attempts"])
                        timeout_s = (route.get("timeout_ms") or 3_000) / 1000
                        self.assertEqual(queue.timeout_s, timeout_s)
                        self.assertIs(type(queue.attempts_max), int)
                        self.assertEqual(self.get_status(fleet, queue.prefix), 200)
                        found = configuration.find_queue(HOST, queue.prefix + "x")
                        self.assertEqual(found, queue)
                    self.assertEqual(self.get_status(fleet, "/former/"), 404)
                    if not any((document.get("limits") or {}).values()):
                        limits = configuration.request_limits
                        self.assertEqual(limits, RequestLimits())

    # Guards against a queue that is never in force, or whose jobs fail at once, since
    # it has no number of attempts.
    def test_queue_without_a_number_of_attempts(self):
        for value in (0, None):
            with self.subTest(max_attempts=value):
                document = make_document(5)
                document["routes"][0].pop("max_attempts")
                if value is not None:
                    document["routes"][0]["max_attempts"] = value
                fleet = self.start_fleet(encode_version(document))
                self.assertEqual(self.get_status(fleet, f"/{QUEUE}/"), 200)
                queue = self.node.desired_state.configuration.queues[QUEUE]
                self.assertEqual(queue.attempts_max, 1)

    # Guards against a valid version that is never in force, since an invalid one
    # replaced it before the records were listed.
    def test_valid_version_before_an_invalid_one_that_is_listed(self):
        for outage_s in (0.0, 0.8, 2.0):
            with self.subTest(outage_s=outage_s):
                fleet = self.start_fleet(encode_version(make_document(4)))
                fleet.stores[0].is_down = outage_s > 0
                fleet.run_for(outage_s / 2)
                invalid = INVALID_VERSIONS["name is empty"](make_document(9))
                value = encode_version(make_document(6, "added"))
                fleet.records.write("op/config", value)
                fleet.records.write("op/config", encode_version(invalid))
                fleet.run_for(outage_s / 2)
                fleet.stores[0].is_down = False
                fleet.run_for(2.0)
                self.assertEqual(self.node.desired_state.configuration.version, 6)
                self.assertEqual(self.get_status(fleet, "/added/"), 200)
                self.assertEqual(self.get_status(fleet, f"/{INVALID_QUEUE}/"), 404)
                self.assert_next_version_comes_into_force(fleet, 10)


if __name__ == "__main__":
    unittest.main()
