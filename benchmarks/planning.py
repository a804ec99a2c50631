"""Planning benchmarks: cost of the fleet leader's rounds with much waiting work.

All workers are full of runs of about two seconds, some end before each round, and
2,000 tasks wait, of which a few are large. The rounds are 50 ms apart.
"""

import random
import time

from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_planner import FleetPlanner
from dogwoodlever._fleet_types import (
    EndedRun,
    FleetConfiguration,
    Queue,
    Step,
    SubmittedJob,
)
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._reservations import Reservations
from dogwoodlever._run_registry import ENDED_DONE, RunRegistry
from dogwoodlever._run_time_model import RunTimeModel
from dogwoodlever._ticket_source import TicketSource
from dogwoodlever._worker_capacity import WorkerCapacity
from tests.fleet_simulation import worker_entry

WORKERS = (176, 270)
CORES = 64
WAITING_TASKS = 2000
TASKS_PER_STEP = 10
LARGE_JOBS = 20
ROUNDS = 200
ROUND_S = 0.05
PASSES = 3


class NoTickets(TicketSource):
    """Source for queues that need no tickets."""

    def ticket(self, step, capacity):
        """Return no ticket."""
        return ""

    def request(self, step, capacities):
        """Ignore the request."""


class PlainOrder(Reservations):
    """Makes no reservation."""

    def wants(self, step, candidates, now_s):
        """Return False."""
        return False


class Rounds:
    """Planning rounds of a full fleet on a simulated clock.

    Parameters
    ----------
    workers : int
        Number of workers.
    policy : str
        "plain", "reservations", or "learned" for reservations with learned times.
    """

    def __init__(self, workers: int, policy: str) -> None:
        self.rng = random.Random(5)
        self.queue = Queue("batch", "", "/", "desk", 2, 3, 2.0, 60_000)
        self.configuration = FleetConfiguration(1, {"batch": self.queue})
        self.registry = RunRegistry(1)
        self.run_times = RunTimeModel()
        self.planner = FleetPlanner(
            FaultAttribution(),
            CrashAttribution(lambda job_id: True),
            InterferenceModel(),
            NoTickets(),
            self.run_times,
        )
        if policy == "plain":
            self.planner.reservations = PlainOrder(self.run_times)
        self.learns = policy == "learned"
        self.capacities = [
            WorkerCapacity(worker_entry(n, CORES)) for n in range(workers)
        ]
        self.now_s = 100.0
        self.ends: list[tuple] = []
        self.placed = 0
        self.made = 0
        self.waits_s: list[float] = []
        self.jobs = 0

    def add_jobs(self) -> None:
        """Add small jobs until `WAITING_TASKS` wait."""
        waiting = sum(len(step.ready) for step in self.registry.active_steps())
        while waiting < WAITING_TASKS:
            self.add_job(TASKS_PER_STEP, self.rng.choice((3000, 7000, 7300)))
            waiting += TASKS_PER_STEP

    def add_job(self, tasks: int, cores_milli: int) -> None:
        """Add a job with an estimate that is off by up to 90 %."""
        self.jobs += 1
        estimate_ms = round(1000 * self.rng.uniform(0.2, 3.8))
        step = Step(tasks, cores_milli, 1000, 0, estimate_ms)
        job = SubmittedJob(f"j{self.jobs}", "batch", "", (step,))
        state = self.registry.add_job(job, self.queue, self.jobs, self.now_s)
        state.open_due(self.now_s * 1000)

    def round(self) -> float:
        """Run a round; return its processor time."""
        due = [row for row in self.ends if row[0] <= self.now_s]
        self.ends = [row for row in self.ends if row[0] > self.now_s]
        for _, capacity, run, task in due:
            capacity.remove(run.run_id)
            self.registry.end_run(EndedRun(1, run.run_id, ENDED_DONE, ""))
            if self.learns:
                self.run_times.record_end(task, run, self.now_s)
        self.add_jobs()
        started_s = time.process_time()
        if self.learns:
            self.run_times.refresh(self.registry.active.values(), self.now_s)
        for placement in self.planner.plan(
            self.registry,
            self.capacities,
            self.configuration,
            self.now_s,
            self.now_s * 1000,
            False,
        ):
            task, capacity = placement.task, placement.capacity
            run = self.registry.begin_run(
                task, capacity.entry.worker_id, self.now_s, placement.number
            )
            spec = task.step.spec
            capacity.add(run, spec)
            end_s = self.now_s + self.rng.uniform(1.0, 3.0)
            self.ends.append((end_s, capacity, run, task))
            self.placed += 1
            if spec.cores_milli >= CORES * 500:
                self.waits_s.append(self.now_s - task.step.job.arrived_s)
        spent_s = time.process_time() - started_s
        events = self.planner.reservations.pop_events()
        self.made += sum(event.kind == "made" for event in events)
        self.now_s += ROUND_S
        return spent_s


def measure(workers: int, policy: str) -> tuple[float, Rounds]:
    """Return the mean processor time of a round, the least of some passes."""
    least_s = float("inf")
    for _ in range(PASSES):
        rounds = Rounds(workers, policy)
        for _ in range(round(4.0 / ROUND_S)):
            rounds.round()
        for _ in range(LARGE_JOBS):
            rounds.add_job(1, CORES * 500)
        rounds.placed = 0
        spent_s = sum(rounds.round() for _ in range(ROUNDS))
        least_s = min(least_s, spent_s / ROUNDS)
    return least_s, rounds


def main() -> None:
    """Run the planning benchmarks and print their results."""
    for workers in WORKERS:
        plain_s = 0.0
        for policy in ("plain", "reservations", "learned"):
            round_s, rounds = measure(workers, policy)
            plain_s = plain_s or round_s
            prefix = f"planning.{workers}_workers.{policy}"
            print(f"{prefix}.round_ms: {round_s * 1000:.2f}")
            print(f"{prefix}.part_of_plain: {round_s / plain_s:.3f}")
            print(f"{prefix}.starts: {rounds.placed}")
            print(f"{prefix}.reservations: {rounds.made}")
            print(f"{prefix}.large_started: {len(rounds.waits_s)}")


if __name__ == "__main__":
    main()
