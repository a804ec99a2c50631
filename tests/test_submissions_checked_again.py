"""Submissions whose write met a newer version of the configuration (CONFIG)."""

import copy
import unittest

import msgspec

from dogwoodlever._fleet_records import decode_submission, job_key
from tests.test_workspace_keys import (
    JOB,
    FleetWithKeysTest,
    make_configuration,
    submit,
)


def make_version(version, **fields):
    """Return a version in which fields of the first queue are changed."""
    configuration = make_configuration(version)
    configuration["routes"][0] |= fields
    return configuration


def make_dropped(version):
    configuration = make_configuration(version)
    del configuration["routes"][0]
    return configuration


def make_replaced(version):
    """Return a version in which another queue has the path of the first one."""
    configuration = make_version(version, prefix="/former/")
    route = copy.deepcopy(configuration["routes"][0])
    route |= {"name": "heir", "prefix": "/quotes/", "max_attempts": 5}
    configuration["routes"].append(route)
    return configuration


class CheckedAgainTest(FleetWithKeysTest):
    # name, versions that are written between the check and the first and second write,
    # queue and its attempts by which the job is stored; None if it is not
    CASES = (
        ("other fields", [make_version(2, max_attempts=7, stretch=4.0)], "quotes", 7),
        ("same fields", [make_version(2)], "quotes", 3),
        ("other name", [make_version(2, name="renamed")], "renamed", 3),
        ("other queue at the path", [make_replaced(2)], "heir", 5),
        (
            "changed twice",
            [make_version(2, max_attempts=7), make_version(5, max_attempts=9)],
            "quotes",
            9,
        ),
        ("dropped", [make_dropped(2)], None, 0),
        ("other prefix", [make_version(2, prefix="/former/")], None, 0),
        ("other host", [make_version(2, host="other.example")], None, 0),
        ("changed, then dropped", [make_version(2), make_dropped(3)], None, 0),
        ("dropped, then back", [make_dropped(2), make_version(3)], None, 0),
    )

    def change_before_writes(self, fleet, configurations):
        """Write the next version just before each of the job's writes."""
        commit = fleet.records.commit
        remaining = list(configurations)

        def change_then_commit(expected, puts, deletes):
            if remaining and any(put.key == job_key(JOB) for put in puts):
                value = msgspec.json.encode(remaining.pop(0))
                fleet.records.write("op/config", value)
            return commit(expected, puts, deletes)

        fleet.records.commit = change_then_commit

    def check_cases(self, is_relayed):
        for name, configurations, queue, attempts_max in self.CASES:
            with self.subTest(name, is_relayed=is_relayed):
                fleet = self.start_fleet(run_s=30.0)
                number = (fleet.leader() + 1) % 3
                node = fleet.nodes[number]
                if is_relayed:
                    self.isolate(fleet, number)
                self.change_before_writes(fleet, configurations)
                request = submit(node)
                self.assert_status(fleet, request, 200 if queue else 503, 1.0)
                record = fleet.records.read(job_key(JOB))
                if queue is None:
                    self.assertIsNone(record)
                    self.assertTrue(request.responseHeaders.hasHeader("retry-after"))
                    continue
                stored = decode_submission(record.value)
                self.assertEqual(stored.queue, queue)
                version = configurations[-1]["version"]
                self.assertEqual(stored.configuration_version, version)
                self.assertEqual(stored.accepted_queue.name, queue)
                self.assertEqual(stored.accepted_queue.attempts_max, attempts_max)
                self.assertEqual(stored.workspace, "north")
                fleet.run_for(1.0)
                leader = fleet.nodes[fleet.leader()].leader
                self.assertEqual(leader.registry.jobs[JOB].queue.name, queue)

    # Guards against a job that is accepted by an older version than the one with which
    # its write was checked, so that it has a dropped queue or former attempts.
    def test_job_has_the_queue_of_its_second_check(self):
        self.check_cases(is_relayed=False)

    # The same for a write that the leader makes for a daemon without the store.
    def test_relayed_job_has_the_queue_of_its_second_check(self):
        self.check_cases(is_relayed=True)


if __name__ == "__main__":
    unittest.main()
