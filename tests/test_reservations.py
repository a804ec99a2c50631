import random
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client.exposition import generate_latest

from dogwoodlever._fleet_types import EndedRun, SubmittedJob
from dogwoodlever._reservations import (
    DURATION_MAX_S,
    WORKERS_MAX,
    Reservations,
    size_class,
)
from dogwoodlever._run_registry import ENDED_DONE
from dogwoodlever._run_time_model import RunTimeModel
from tests.fleet_simulation import QUEUE, FleetSimulation, job, worker_entry
from tests.test_fleet_planner import NOW_S, Fixture, serving_step, step

ROUND_S = 0.05
# Reservations need at least 20 workers, of which they take up to 5 %.
WORKERS = 20
CORES = 32


def data_centre_labels(rack):
    return ("a", f"r{rack + 1}")


def fleet(workers=WORKERS, racks=1):
    made = []
    for number in range(workers):
        entry = worker_entry(number, CORES)
        fields = {name: getattr(entry, name) for name in entry.__slots__}
        fields["labels"] = data_centre_labels(number % racks)
        made.append(type(entry)(**fields))
    return Fixture(entries=made)


class PlainOrder(Reservations):
    def wants(self, step, candidates, now_s):
        return False


class Simulation:
    """Runs that end by themselves on the planner's workers, round by round."""

    def __init__(self, workers=WORKERS, racks=1, reserves=True, factor=1.0):
        self.fixture = fleet(workers, racks)
        self.reservations = self.fixture.planner.reservations
        if not reserves:
            self.fixture.planner.reservations = PlainOrder(RunTimeModel())
        self.rng = random.Random(3)
        self.factor = factor
        self.now_s = NOW_S
        self.ends = []
        self.started = {}
        self.events = []
        self.dead = set()
        self.jobs = 0

    def add(self, spec, queue="batch"):
        self.jobs += 1
        job_id = f"j{self.jobs}"
        state = self.fixture.add(job_id, [spec], queue)
        state.arrived_s = self.now_s
        return job_id

    def add_small(self, waiting, queue="batch"):
        """Add small tasks until this many wait."""
        ready = sum(
            len(state.ready)
            for state in self.fixture.registry.active_steps()
            if state.spec.cores_milli == 4000
        )
        while ready < waiting:
            self.add(step(10, 4.0, 1.0), queue)
            ready += 10

    def round(self):
        registry = self.fixture.registry
        due = [row for row in self.ends if row[0] <= self.now_s]
        self.ends = [row for row in self.ends if row[0] > self.now_s]
        for _, capacity, run in due:
            capacity.remove(run.run_id)
            registry.end_run(EndedRun(1, run.run_id, ENDED_DONE, ""))
        capacities = [
            capacity
            for capacity in self.fixture.capacities
            if capacity.entry.worker_id not in self.dead
        ]
        placed = 0
        for placement in self.fixture.planner.plan(
            registry,
            capacities,
            self.fixture.configuration,
            self.now_s,
            self.now_s * 1000,
            False,
        ):
            task, capacity = placement.task, placement.capacity
            worker_id = capacity.entry.worker_id
            run = registry.begin_run(task, worker_id, self.now_s, placement.number)
            spec = task.step.spec
            capacity.add(run, spec)
            declared_s = spec.run_estimate_ms / 1000
            run_s = declared_s * self.factor * self.rng.uniform(0.5, 1.5)
            self.ends.append((self.now_s + run_s, capacity, run))
            self.started.setdefault(task.task_id.job_id, []).append(
                (self.now_s, worker_id)
            )
            placed += 1
        self.events += self.reservations.pop_events()
        self.now_s += ROUND_S
        return placed

    def run_for(self, duration_s, small=60, queue="batch"):
        placed = 0
        for _ in range(round(duration_s / ROUND_S)):
            self.add_small(small, queue)
            placed += self.round()
        return placed

    def kinds(self):
        return [event.kind for event in self.events]

    def reasons(self):
        return [event.why for event in self.events if event.kind == "dropped"]


class ManySmallOneLargeTest(unittest.TestCase):
    def wait_of_large(self, reserves, spec, **sizes):
        simulation = Simulation(reserves=reserves, **sizes)
        simulation.run_for(2.0)
        job_id = simulation.add(spec)
        added_s = simulation.now_s
        small = simulation.run_for(12.0)
        starts = simulation.started.get(job_id)
        wait_s = starts[0][0] - added_s if starts else float("inf")
        return wait_s, small, simulation

    # Measures the plain order: smaller work takes each gap, and the large task waits
    # for as long as small work arrives.
    def test_large_task_starts_beside_small_work(self):
        table = (
            ("large", step(1, 24.0, 1.0), {}, False),
            ("whole worker", step(1, 32.0, 1.0), {}, False),
            # It has less work left than the small jobs, so it goes before them.
            ("small gang", step(4, 8.0, 1.0, gang=True), {}, True),
            (
                "gang across workers",
                step(4, 16.0, 1.0, gang=True),
                {"workers": 2 * WORKERS},
                False,
            ),
        )
        for name, spec, sizes, plain_starts in table:
            with self.subTest(name):
                plain_s, plain_small, _ = self.wait_of_large(False, spec, **sizes)
                wait_s, small, simulation = self.wait_of_large(True, spec, **sizes)
                self.assertEqual(plain_s < float("inf"), plain_starts)
                self.assertLess(wait_s, min(plain_s, 5.0))
                self.assertEqual(simulation.kinds()[0], "made")
                self.assertEqual(simulation.reservations.active, [])
                self.assertGreater(small, 0.97 * plain_small)

    def test_no_reservation_without_need(self):
        table = (
            ("small only", step(4, 4.0, 1.0), 60),
            ("larger than the free room of all workers", step(1, 24.0, 1.0), 60),
            ("finds room", step(1, 24.0, 1.0), 0),
            ("standing", step(1, 24.0, 1.0, standing=True), 60),
            ("limits its tasks on a worker", step(1, 24.0, worker_tasks_max=1), 60),
        )
        for name, spec, small in table:
            with self.subTest(name):
                simulation = Simulation()
                if name.startswith("larger"):
                    # Long runs fill all workers to the last core.
                    simulation.fixture.add("full", [step(160, 4.0, 60.0)], "batch")
                    simulation.round()
                    small = 0
                simulation.run_for(1.0, small)
                simulation.add(spec)
                simulation.run_for(3.0, small)
                self.assertEqual(simulation.events, [])

    def test_fewer_than_twenty_workers_have_none(self):
        wait_s, _, simulation = self.wait_of_large(
            True, step(1, 24.0, 1.0), workers=WORKERS - 1
        )
        self.assertEqual((wait_s, simulation.events), (float("inf"), []))


class ReservationTest(unittest.TestCase):
    # Guards against two gangs of which each holds a part of what the other needs.
    def test_two_gangs_across_workers_both_start(self):
        simulation = Simulation(workers=2 * WORKERS)
        simulation.run_for(2.0)
        gangs = [simulation.add(step(4, 16.0, 1.0, gang=True)) for _ in range(2)]
        simulation.run_for(15.0)
        for job_id in gangs:
            self.assertEqual(len(simulation.started.get(job_id, ())), 4)

    def test_rack_with_the_data_is_preferred(self):
        for rack in ("r1", "r2"):
            with self.subTest(rack=rack):
                simulation = Simulation(racks=2)
                simulation.run_for(2.0)
                simulation.add(step(1, 24.0, 1.0, rack=rack))
                simulation.run_for(2.0)
                event = simulation.events[0]
                racks = {
                    capacity.entry.rack
                    for capacity in simulation.fixture.capacities
                    if capacity.entry.worker_id in event.workers
                }
                self.assertEqual(racks, {rack})

    # Guards against room that is kept although the runs there do not end.
    def test_reservation_expires_when_runs_overrun(self):
        simulation = Simulation(factor=20.0)
        simulation.run_for(1.0)
        # Room in small parts, so that the free room of all workers would hold it.
        for number, capacity in enumerate(simulation.fixture.capacities):
            if number % 2:
                run_id = next(iter(capacity.runs))
                simulation.ends = [
                    row for row in simulation.ends if row[2].run_id != run_id
                ]
                run, _ = capacity.runs[run_id]
                capacity.remove(run_id)
                simulation.fixture.registry.end_run(
                    EndedRun(1, run.run_id, ENDED_DONE, "")
                )
        for state in list(simulation.fixture.registry.active.values()):
            for small in state.active_steps():
                small.ready.clear()
        simulation.add(step(1, 24.0, 1.0))
        simulation.run_for(DURATION_MAX_S + 1.0, small=0)
        self.assertEqual(simulation.kinds()[:2], ["made", "dropped"])
        self.assertEqual(simulation.reasons()[0], "expired")

    def test_reservation_ends_with_its_worker_or_job(self):
        table = (
            # A worker that died, drains or is in a data centre out of service is not
            # among the workers that accept tasks.
            ("worker unavailable", "worker"),
            ("job ended", "job"),
        )
        for why, ends in table:
            with self.subTest(why):
                simulation = Simulation(workers=2 * WORKERS)
                simulation.run_for(2.0)
                job_id = simulation.add(step(1, 32.0, 1.0))
                while not simulation.events:
                    simulation.run_for(ROUND_S)
                (worker_id,) = simulation.events[0].workers
                if ends == "worker":
                    simulation.dead.add(worker_id)
                else:
                    state = simulation.fixture.registry.jobs[job_id]
                    simulation.fixture.registry.end_job(state, "cancelled")
                simulation.run_for(ROUND_S)
                self.assertEqual(simulation.reasons(), [why])
                self.assertEqual(simulation.reservations.active, [])
                if ends == "worker":
                    simulation.run_for(8.0)
                    self.assertIn("met", simulation.kinds())

    def test_who_is_held_back(self):
        # name, queue of the other step, its run time, whether it starts
        table = (
            ("same priority, long", "batch", 3.0, False),
            ("same priority, ends before", "batch", 0.2, True),
            ("higher priority, long", "urgent", 3.0, True),
        )
        for name, queue, run_s, starts in table:
            with self.subTest(name):
                simulation = Simulation()
                fixture = simulation.fixture
                # Seven cores of each worker are free; one worker gets free in 1 s.
                for number, capacity in enumerate(fixture.capacities):
                    spec = step(1, 25.0, 1.0 if number == 4 else 60.0)
                    fixture.run_on(capacity, spec)
                simulation.add(step(1, 28.0, 1.0))
                simulation.run_for(0.3, small=0)
                self.assertEqual(simulation.events[0].workers, ("w4",))
                for capacity in fixture.capacities:
                    if capacity.entry.worker_id != "w4":
                        fixture.run_on(capacity, step(1, 7.0, 60.0))
                job_id = simulation.add(step(1, 4.0, run_s), queue)
                simulation.run_for(ROUND_S, small=0)
                self.assertEqual(job_id in simulation.started, starts)

    # Guards against a standing task that stays down longer than the platform allows.
    def test_long_interrupted_standing_task_is_not_held_back(self):
        for interrupted in (False, True):
            with self.subTest(interrupted=interrupted):
                simulation = Simulation()
                fixture = simulation.fixture
                for number, capacity in enumerate(fixture.capacities):
                    spec = step(1, 25.0, 1.0 if number == 4 else 60.0)
                    fixture.run_on(capacity, spec)
                simulation.add(step(1, 28.0, 1.0))
                simulation.run_for(0.3, small=0)
                for capacity in fixture.capacities:
                    if capacity.entry.worker_id != "w4":
                        fixture.run_on(capacity, step(1, 7.0, 60.0))
                watch = simulation.add(serving_step("s"), "batch")
                state = fixture.registry.jobs[watch]
                if interrupted:
                    task = state.occurrences[0].steps[0].tasks[0]
                    task.last_run = 1
                    fixture.planner._interrupted_since_s[task.task_id] = NOW_S - 9.0
                simulation.run_for(ROUND_S, small=0)
                self.assertEqual(watch in simulation.started, interrupted)

    # Guards against a held step that hides a higher priority of the same size.
    def test_held_step_hides_no_other(self):
        simulation = Simulation()
        fixture = simulation.fixture
        for number, capacity in enumerate(fixture.capacities):
            fixture.run_on(capacity, step(1, 25.0, 1.0 if number == 4 else 60.0))
        simulation.add(step(1, 28.0, 1.0))
        simulation.run_for(0.3, small=0)
        for capacity in fixture.capacities:
            if capacity.entry.worker_id != "w4":
                fixture.run_on(capacity, step(1, 7.0, 60.0))
        held = simulation.add(step(1, 4.0, 3.0))
        urgent = simulation.add(step(1, 4.0, 3.0), "urgent")
        # The urgent job is late, so the held one goes before it in the order.
        fixture.registry.jobs[urgent].arrived_s -= 6.0
        simulation.run_for(ROUND_S, small=0)
        self.assertIn(urgent, simulation.started)
        self.assertNotIn(held, simulation.started)

    def test_size_classes(self):
        largest = (32_000, 64_000, 0)
        table = (
            (step(1, 4.0), "small"),
            (step(1, 8.0), "large"),
            (step(2, 1.0, gang=True), "gang"),
            (step(1, 1.0, rack="r1"), "rack"),
            (step(1, 8.0, rack="r1"), "large"),
        )
        for spec, expected in table:
            with self.subTest(expected, cores=spec.cores_milli):
                self.assertEqual(size_class(spec, largest), expected)


class LeaderTest(unittest.TestCase):
    # Guards against reservations that operators cannot see.
    def test_leader_reserves_and_logs(self):
        simulation = FleetSimulation(daemons=1, workers=WORKERS)
        simulation.run_for(1.0)
        frontend = simulation.nodes[0].frontend
        deadline_s = simulation.clock.seconds() + 3.0
        for number in range(300):
            frontend.submit(job(f"{number:016x}", tasks=4), deadline_s)
        large = SubmittedJob("f" * 16, QUEUE, "", (step(1, 6.0, 1.0),))
        frontend.submit(large, deadline_s)
        with patch("dogwoodlever._fleet_leader.log_event") as log_event:
            simulation.run_for(3.0)
        events = [call.args[0] for call in log_event.call_args_list]
        reserved = [event for event in events if event.startswith("reservation.")]
        self.assertEqual(reserved, ["reservation.made", "reservation.met"])
        metrics = generate_latest(simulation.nodes[0].metrics.registry).decode()
        self.assertIn('reservation_events_total{event="met"} 1.0', metrics)
        self.assertIn('size_wait_seconds_count{size="large"} 1.0', metrics)


class PropertyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        workers=st.integers(WORKERS, 4 * WORKERS),
        small_cores=st.sampled_from((1.0, 3.0, 4.0, 7.0)),
        large=st.lists(
            st.tuples(st.sampled_from((9.0, 16.0, 24.0, 32.0)), st.integers(1, 4)),
            min_size=1,
            max_size=6,
        ),
        seed=st.integers(0, 1000),
    )
    def test_reservations_are_bounded(self, workers, small_cores, large, seed):
        """Guards higher priorities, and the room that others lose."""
        rng = random.Random(seed)
        simulation = Simulation(workers)
        fixture = simulation.fixture
        for capacity in fixture.capacities:
            while capacity.cores_free >= 8000:
                size = step(1, rng.choice((2.0, 4.0, 7.0)), rng.choice((0.3, 1, 2)))
                run = fixture.run_on(capacity, size)
                end_s = NOW_S + size.run_estimate_ms / 1000
                simulation.ends.append((end_s, capacity, run))
        for cores, tasks in large:
            simulation.add(step(tasks, cores, 1.0, gang=bool(rng.random() < 0.3)))
        simulation.run_for(0.5, small=0)
        reservations = simulation.reservations.active
        rooms = [room for held in reservations for room in held.room.values()]
        self.assertLessEqual(len(rooms), min(WORKERS_MAX, workers // 20))
        for held in reservations:
            self.assertLessEqual(held.expires_s, simulation.now_s + DURATION_MAX_S)
        # Starts of one round against what fits: those lost are within the room.
        free = {c.entry.worker_id: c.cores_free for c in fixture.capacities}
        plain = sum(int(left // (small_cores * 1000)) for left in free.values())
        simulation.add(step(2000, small_cores, 3.0))
        started = simulation.round()
        reserved = sum(cores for cores, _, _ in rooms)
        lost_milli = (plain - started) * small_cores * 1000
        self.assertLessEqual(lost_milli, reserved + len(rooms) * small_cores * 1000)
        # A higher priority takes all the room that is left.
        simulation.add(step(2000, small_cores, 3.0), "urgent")
        simulation.round()
        for capacity in fixture.capacities:
            self.assertLess(capacity.cores_free, small_cores * 1000)


if __name__ == "__main__":
    unittest.main()
