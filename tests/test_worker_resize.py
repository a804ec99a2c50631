"""Workers whose capacity shrinks and grows while they run."""

import unittest
from dataclasses import replace
from unittest.mock import Mock

from twisted.internet.task import Clock

from dogwoodlever._drop_evidence import DropCause, DropEvidence
from dogwoodlever._fleet_headroom import Headroom
from dogwoodlever._fleet_job import JobPhase, RunPhase
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_runs import FleetRuns
from dogwoodlever._fleet_types import (
    EndedRun,
    PollResult,
    RunId,
    RunningRun,
    Step,
    SubmittedJob,
)
from dogwoodlever._run_evidence import WorkerEvidence
from dogwoodlever._run_throttler import RunThrottler
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
LEASES_EXPIRED = DropCause(DropEvidence.LEASES_EXPIRED, NOW_S)


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

    def test_worker_is_overcommitted_in_any_resource(self):
        # name, cores, memory and accelerators of the worker, expected
        table = (
            ("as large as its runs", 2, 100, 1, False),
            ("fewer cores", 1, 100, 1, True),
            ("less memory", 2, 99, 1, True),
            ("fewer accelerators", 2, 100, 0, True),
            ("nothing", 0, 0, 0, True),
        )
        for name, cores, memory_mb, accelerators, expected in table:
            with self.subTest(name):
                fixture = Fixture(workers=1)
                fixture.run_on(fixture.capacities[0], Step(1, 2000, 100, 1))
                self.resize(fixture, cores, memory_mb, accelerators)
                self.assertIs(fixture.capacities[0].is_overcommitted, expected)

    def test_runs_that_do_not_fit_are_the_excess(self):
        # name, cores, memory and accelerators of the worker, indices of the excess
        table = (
            ("as large as its runs", 4, 150, 1, set()),
            ("one run without room", 3, 150, 1, {2}),
            ("a run that is too large beside one that fits", 1, 150, 1, {0, 2}),
            ("less memory", 4, 100, 1, {1, 2}),
            ("fewer accelerators", 4, 150, 0, {0}),
            ("nothing", 0, 0, 0, {0, 1, 2}),
        )
        steps = (Step(1, 2000, 100, 1), Step(1, 1000, 20), Step(1, 1000, 30))
        for name, cores, memory_mb, accelerators, expected in table:
            with self.subTest(name):
                fixture = Fixture(workers=1)
                runs = [
                    fixture.run_on(fixture.capacities[0], step_on_it)
                    for step_on_it in steps
                ]
                for run in runs:
                    run.phase, run.percent = RunPhase.RUNNING, 0
                self.resize(fixture, cores, memory_mb, accelerators)
                excess = fixture.capacities[0].excess_runs()
                indices = {i for i, run in enumerate(runs) if run in excess}
                self.assertEqual(indices, expected)

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


class UnwantedRunTest(unittest.TestCase):
    """A worker lists a run that its task has on another worker."""

    def setUp(self):
        self.fixture = fixture = Fixture(workers=2)
        self.task_on, self.copy_on = fixture.capacities
        self.run = fixture.run_on(self.task_on, step(cores=3.0))
        self.task = fixture.registry.find(self.run.run_id.task)
        capacities = {c.entry.worker_id: c for c in fixture.capacities}
        self.links = {
            worker_id: Mock(evidence=WorkerEvidence(5.0, 10.0, 0.4))
            for worker_id in capacities
        }
        self.runs = FleetRuns(
            Clock(),
            fixture.registry,
            RunThrottler(fixture.interference, 4.0),
            fixture.faults,
            fixture.crashes,
            FleetMetrics(),
            capacities,
            self.links,
            Mock(),
        )
        self.list_copy()

    def list_copy(self):
        listed = RunningRun(self.run.run_id, "", 5, 0)
        link = self.links[self.copy_on.entry.worker_id]
        self.runs.apply_poll(self.copy_on, link, PollResult(1, 1, (listed,), ()), 0.0)

    def test_copy_counts_until_its_end_is_listed(self):
        link = self.links[self.copy_on.entry.worker_id]
        link.stop.assert_called_once()
        self.assertEqual(self.copy_on.cores_used, 3000)
        end = EndedRun(1, self.run.run_id, "stopped", "")
        self.runs.apply_poll(self.copy_on, link, PollResult(2, 1, (), (end,)), 0.0)
        self.assertEqual(self.copy_on.cores_used, 0)

    def test_members_of_a_gang_end_on_their_own(self):
        # The end of one member ends the occurrence; the others end a moment later.
        spec = step(2, gang=True)
        due_ms = int(NOW_S * 1000)
        repeated = SubmittedJob("gang", "urgent", "", (spec,), 2, due_ms, 60_000)
        registry = self.fixture.registry
        state = registry.add_job(repeated, self.fixture.queues["urgent"], 1, NOW_S)
        state.open_due(due_ms)
        tasks = state.occurrences[0].steps[0].tasks
        for task, capacity in zip(tasks, self.fixture.capacities, strict=True):
            worker_id = capacity.entry.worker_id
            run = registry.begin_run(task, worker_id, NOW_S, 1)
            run.phase = RunPhase.RUNNING
            capacity.add(run, spec)
        end = EndedRun(1, RunId(tasks[0].task_id, 1), "done", "")
        link = self.links[self.task_on.entry.worker_id]
        self.runs.apply_poll(self.task_on, link, PollResult(1, 1, (), (end,)), 0.0)
        self.assertEqual(state.finished, 1)
        listed = RunningRun(RunId(tasks[1].task_id, 1), "", 99, 0)
        link = self.links[self.copy_on.entry.worker_id]
        link.stop.reset_mock()
        self.runs.apply_poll(self.copy_on, link, PollResult(1, 1, (listed,), ()), 0.0)
        link.stop.assert_not_called()

    def test_loss_of_the_copy_is_no_loss_of_the_run(self):
        self.runs.drop_lost_runs(self.copy_on, LEASES_EXPIRED)
        self.assertEqual(self.copy_on.cores_used, 0)
        self.assertEqual(self.task.runs, {self.run.run_id.number: self.run})

    def test_copy_that_is_adopted_is_lost_with_its_worker(self):
        self.runs.drop_lost_runs(self.task_on, LEASES_EXPIRED)
        self.list_copy()
        self.assertEqual(len(self.task.runs), 1)
        self.assertEqual(self.copy_on.cores_used, 3000)
        self.runs.drop_lost_runs(self.copy_on, LEASES_EXPIRED)
        self.assertEqual(self.task.runs, {})


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

    def test_successor_counts_what_runs_on_a_shrunk_worker(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=6, standing=True))
        fleet.run_for(1.0)
        fleet.resize_worker("w0", 4)
        fleet.kill(fleet.leader())
        other = next(n for n, clock in enumerate(fleet.clocks) if clock.is_alive)
        fleet.submit(other, job(OTHER_JOB, tasks=2, standing=True))
        fleet.run_for(7.0)
        self.assertIsNotNone(fleet.leader())
        self.assertEqual(len(fleet.workers.starts), 6)
        self.assertEqual(self.count_running(fleet), 6)
        fleet.resize_worker("w0", 8)
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 8)

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

    # A successor started work beside the runs of a cancelled job that it had stopped.
    def test_runs_of_a_cancelled_job_count_until_they_have_stopped(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=8, standing=True))
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 8)
        fleet.workers.stop_s = 1.0
        fleet.kill(fleet.leader())
        other = next(n for n, clock in enumerate(fleet.clocks) if clock.is_alive)
        fleet.await_result(fleet.nodes[other].frontend.cancel(JOB, 1e9), 0.2)
        fleet.submit(other, job(OTHER_JOB, tasks=8, standing=True))
        fleet.run_for(7.0)
        self.assertEqual(fleet.read_phase(other, JOB), JobPhase.CANCELLED)
        self.assertEqual(self.count_running(fleet), 8)
        self.assertEqual(fleet.workers.overcommitted_starts, [])

    # An unanswered start was retried after its worker had shrunk below its runs.
    def test_start_is_not_retried_on_a_worker_that_has_shrunk(self):
        fleet = self.start_fleet(workers=2)
        fleet.submit(0, job(JOB, tasks=6, standing=True, worker_tasks_max=3))
        fleet.run_for(1.0)
        client = fleet.worker_clients[fleet.leader()]
        client.unreachable.add("w0")
        fleet.resize_worker("w1", 3)
        fleet.submit(0, job(OTHER_JOB, tasks=2, standing=True))
        fleet.resize_worker("w0", 3)
        fleet.run_for(SHRINK_NOTICE_S)
        client.unreachable.clear()
        fleet.run_for(3.0)
        self.assertEqual(fleet.workers.overcommitted_starts, [])
        fleet.resize_worker("w0", 8)
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet, "w0"), 5)

    def test_start_that_is_listed_is_not_stopped_for_its_lost_response(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=6, standing=True))
        fleet.run_for(1.0)
        workers = fleet.nodes[fleet.leader()].leader.workers
        run = next(iter(workers.capacities["w0"].runs.values()))[0]
        # name, cores of the worker, phase of the run, expected
        table = (
            ("fits", 6, RunPhase.STARTING, True),
            ("shrunk", 5, RunPhase.STARTING, False),
            ("shrunk, but listed", 5, RunPhase.RUNNING, True),
        )
        for name, cores, phase, expected in table:
            with self.subTest(name):
                fleet.resize_worker("w0", cores)
                fleet.run_for(0.5)
                run.phase = phase
                self.assertIs(workers.may_retry_start(run), expected)


if __name__ == "__main__":
    unittest.main()
