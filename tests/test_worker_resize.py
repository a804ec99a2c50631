"""Workers whose capacity shrinks and grows while they run."""

import unittest
from dataclasses import replace

from dogwoodlever._fleet_headroom import Headroom
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._worker_capacity import REFERENCE_CORES_MILLI, WorkerCapacity
from standins.fleet import server_record
from tests.fleet_simulation import FleetSimulation, job, worker_entry
from tests.test_fleet_planner import (
    NOW_S,
    TARGET_MS,
    Fixture,
    best_effort_step,
    serving_step,
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

    def test_nothing_starts_on_a_worker_that_shrank_below_its_runs(self):
        # name, cores and memory after the shrink, step that waits
        table = (
            ("cores", 2, 64_000, step()),
            ("cores, task without cores", 2, 64_000, step(cores=0.0)),
            ("cores, best-effort task", 2, 64_000, best_effort_step("f", cores=0.1)),
            ("memory", 16, 50, step()),
            ("all", 0, 0, step()),
            ("gang", 2, 64_000, step(2, gang=True)),
            ("standing task", 2, 64_000, serving_step("other", cores=0.5)),
        )
        for name, cores, memory_mb, waiting in table:
            with self.subTest(name):
                fixture = Fixture(workers=1, cores=16)
                fixture.train("s", "f", HARMLESS_MS)
                fixture.run_on(fixture.capacities[0], serving_step("s", cores=3.0))
                self.resize(fixture, cores, memory_mb)
                fixture.add("waiting", [waiting])
                self.assertEqual(fixture.plan(), [])
                self.resize(fixture, 16)
                self.assertEqual(len(fixture.plan()), waiting.tasks)

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

    # A worker without cores ended each of its polls with a ZeroDivisionError.
    def test_reports_of_a_worker_without_cores_are_applied(self):
        # name, sizes in the order of the entries, reference cores of one core
        table = (
            ("shrunk to nothing", (8, 0), 2.0),
            ("added without cores", (0,), 1.0),
            ("added with a negative capacity", (-1,), 1.0),
            ("grown from nothing", (0, 8), 2.0),
            ("shrunk and grown", (8, 2, 8), 2.0),
            ("grown", (8, 16), 1.0),
        )
        for name, sizes, reference_cores in table:
            with self.subTest(name):
                capacity = WorkerCapacity(worker_entry(0, sizes[0]))
                for cores in sizes[1:]:
                    capacity.update_entry(worker_entry(0, cores))
                fixture = Fixture(workers=1)
                fixture.capacities = [capacity]
                run = fixture.run_on(capacity, best_effort_step("f"))
                run.percent, run.load = 10, 2000
                capacity.record_usage(NOW_S)
                self.assertEqual(capacity.to_reference_cores(1000), reference_cores)

    # Headroom was computed from the former size until the next poll.
    def test_headroom_follows_the_size_of_its_worker(self):
        fixture = Fixture(workers=1)
        capacity = WorkerCapacity(worker_entry(0, 8))
        fixture.train("s", "f", TARGET_MS)
        fixture.run_on(capacity, serving_step("s"))
        fixture.run_on(capacity, best_effort_step("f"))
        cache = {}

        def tolerated():
            headroom = Headroom(fixture.interference, NOW_S, [capacity], cache)
            return headroom.by_image(capacity)["s"]

        before = tolerated()
        capacity.update_entry(worker_entry(0, REFERENCE_CORES_MILLI // 1000))
        self.assertGreater(tolerated(), before)


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

    # The ends that a worker without cores listed were neither stored nor acknowledged.
    def test_work_of_a_worker_that_shrank_to_nothing_completes(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(OTHER_JOB, tasks=1, standing=True))
        fleet.run_for(0.5)
        fleet.workers.workers["w0"].run_s = 2.0
        fleet.submit(0, job(JOB, tasks=4))
        fleet.run_for(0.5)
        fleet.resize_worker("w0", 0)
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(fleet.workers.workers["w0"].ended, [])

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
