"""State after all daemons have been replaced: nothing withdrawn is used again."""

import unittest

import msgspec

from dogwoodlever._fleet_job import JobPhase
from standins.fleet import server_record
from tests.fleet_simulation import CONFIGURATION, FleetSimulation, job, worker_entry

JOB = "a" * 16


def take_data_centre_out(fleet):
    fleet.records.write("op/evacuate/south", b"{}")


def drain(fleet):
    for number in (1, 3):
        entry = fleet.workers.workers[f"w{number}"].entry
        record = server_record(entry, "draining")
        fleet.records.write(f"servers/w{number}", record)


def remove_entries(fleet):
    # The workers still answer, as one does that has left the service only.
    for number in (1, 3):
        fleet.records.remove(f"servers/w{number}")


def restart_under_their_ids(fleet):
    for number in (1, 3):
        entry = worker_entry(number, started_at_ms=2)
        fleet.workers.add(entry)
        fleet.records.write(f"servers/w{number}", server_record(entry, "draining"))


class RestartTest(unittest.TestCase):
    WITHDRAWALS = [
        ("data centre out", take_data_centre_out),
        ("workers draining", drain),
        ("workers gone from the registry", remove_entries),
        ("workers restarted to drain", restart_under_their_ids),
    ]

    def start_fleet(self):
        fleet = FleetSimulation(daemons=2, workers=0)
        for number in range(4):
            entry = worker_entry(number)
            if number in (1, 3):
                values = {name: getattr(entry, name) for name in entry.__slots__}
                entry = type(entry)(**values | {"data_centre": "south"})
            fleet.add_worker(entry)
        fleet.run_for(1.0)
        return fleet

    def replace_daemons(self, fleet):
        for number in range(2):
            fleet.kill(number)
        for number in range(2):
            fleet.add_daemon(f"vm{number}")
        fleet.run_for(3.0)

    def test_withdrawn_workers_get_no_work_from_new_daemons(self):
        for name, withdraw in self.WITHDRAWALS:
            with self.subTest(name):
                fleet = self.start_fleet()
                fleet.submit(0, job("b" * 16, tasks=16))
                fleet.run_for(2.0)
                withdraw(fleet)
                fleet.run_for(0.5)
                self.replace_daemons(fleet)
                before = len(fleet.workers.starts)
                fleet.submit(2, job(JOB, tasks=24))
                fleet.run_for(9.0)
                self.assertEqual(fleet.read_phase(3, JOB), JobPhase.COMPLETED)
                used = {worker for _, worker in fleet.workers.starts[before:]}
                self.assertEqual(used, {"w0", "w2"})

    def test_new_daemons_use_no_withdrawn_queue(self):
        fleet = self.start_fleet()
        changed = CONFIGURATION | {"version": 2, "routes": []}
        fleet.records.write("op/config", msgspec.json.encode(changed))
        fleet.run_for(0.5)
        self.replace_daemons(fleet)
        for node in fleet.nodes[2:]:
            configuration = node.desired_state.configuration
            self.assertEqual(configuration.version, 2)
            self.assertIsNone(configuration.find_queue("desk.example", "/quotes/1"))

    def test_cancelled_job_stays_cancelled(self):
        fleet = self.start_fleet()
        for worker in fleet.workers.workers.values():
            worker.run_s = 0.0
        fleet.submit(0, job(JOB, tasks=4, standing=True))
        fleet.run_for(0.5)
        frontend = fleet.nodes[1].frontend
        fleet.await_result(frontend.cancel(JOB, fleet.clock.seconds() + 3.0))
        before = len(fleet.workers.starts)
        self.replace_daemons(fleet)
        fleet.run_for(8.0)
        self.assertEqual(len(fleet.workers.starts), before)
        self.assertEqual(fleet.read_phase(2, JOB), JobPhase.CANCELLED)


if __name__ == "__main__":
    unittest.main()
