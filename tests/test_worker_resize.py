"""Workers whose capacity shrinks and grows while they run."""

import unittest
from dataclasses import replace

from standins.fleet import server_record
from tests.fleet_simulation import FleetSimulation, job, worker_entry
from tests.test_fleet_planner import (
    Fixture,
    step,
)

JOB = "a" * 16
OTHER_JOB = "b" * 16
# Latency of a standing task beside work that does not interfere with it.
HARMLESS_MS = 10
# The platform tolerates starts on a worker that has shrunk for 3 s and a heartbeat.
SHRINK_NOTICE_S = 3.0


class PlannerOnResizedWorkersTest(unittest.TestCase):
    def resize(self, fixture, cores, memory_mb=64_000, accelerators=0):
        for capacity in fixture.capacities:
            capacity.update_entry(
                replace(
                    capacity.entry,
                    cores_milli=cores * 1000,
                    memory_mb=memory_mb,
                    accelerators=accelerators,
                )
            )

    def test_gang_does_not_count_the_room_of_a_shrunk_worker(self):
        fixture = Fixture(workers=2, cores=4)
        fixture.run_on(fixture.capacities[0], step(cores=3.0))
        fixture.capacities[0].update_entry(worker_entry(0, 1))
        fixture.add("gang", [step(4, gang=True)])
        self.assertEqual(fixture.plan(), [("gang", "w1")] * 4)

    def test_size_that_fits_no_shrunk_worker_hides_no_smaller_one(self):
        fixture = Fixture(workers=2, cores=4)
        fixture.run_on(fixture.capacities[0], step(cores=3.0))
        fixture.capacities[0].update_entry(worker_entry(0, 1))
        fixture.capacities[1].update_entry(worker_entry(1, 2))
        fixture.add("large", [step(cores=3.0)])
        fixture.add("small", [step(cores=2.0)], "batch")
        self.assertEqual(fixture.plan(), [("small", "w1")])


class FleetOnResizedWorkersTest(unittest.TestCase):
    def start_fleet(self, workers=1, run_s=0.0):
        fleet = FleetSimulation(workers=workers, run_s=run_s)
        fleet.workers.run_cores_milli = 1000
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def count_running(self, fleet, worker_id="w0"):
        return len(fleet.workers.workers[worker_id].running)

    def test_grown_capacity_is_used_at_once(self):
        fleet = self.start_fleet()
        fleet.resize_worker("w0", 2)
        fleet.run_for(1.0)
        fleet.submit(0, job(JOB, tasks=6, standing=True))
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 2)
        fleet.resize_worker("w0", 8)
        fleet.run_for(0.7)
        self.assertEqual(self.count_running(fleet), 6)

    def test_shrunk_worker_keeps_its_runs_and_starts_nothing_until_they_fit(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=6, standing=True))
        fleet.run_for(1.0)
        for cores in (4, 0, 4):
            fleet.resize_worker("w0", cores)
            fleet.run_for(1.0)
            fleet.submit(0, job(f"{cores:016d}", tasks=1, standing=True))
            fleet.run_for(1.0)
            self.assertEqual(self.count_running(fleet), 6)
            self.assertEqual(len(fleet.workers.starts), 6)
        worker = fleet.workers.workers["w0"]
        for run in list(worker.running.values())[:3]:
            fleet.workers.end(worker, run, "stopped")
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 4)
        self.assertEqual(fleet.workers.overcommitted_starts, [])

    def test_unreadable_entry_stops_starts_and_ends_no_run(self):
        # The worker's next entry names its capacity again.
        for capacity in (b'"capacity": null', b'"capacity": {"cpu": "8"}', b"\xff"):
            with self.subTest(capacity):
                fleet = self.start_fleet()
                fleet.submit(0, job(JOB, tasks=2, standing=True))
                fleet.run_for(1.0)
                fleet.records.write("servers/w0", b"{" + capacity + b"}")
                fleet.run_for(1.0)
                fleet.submit(0, job(OTHER_JOB, tasks=2, standing=True))
                fleet.run_for(7.0)
                self.assertEqual(self.count_running(fleet), 2)
                entry = fleet.workers.workers["w0"].entry
                fleet.records.write("servers/w0", server_record(entry))
                fleet.run_for(1.0)
                self.assertEqual(self.count_running(fleet), 4)
                self.assertEqual(len(fleet.workers.starts), 4)


if __name__ == "__main__":
    unittest.main()
