"""Cost of a planning round with and without workspaces.

The workers run as many tasks as fit and as many wait, of 20 workspaces with three
sizes of tasks. In a full round nothing fits, so each size is tried once; in a busy one
the runs of a few workers have ended; in a blocked one interrupted standing tasks wait
for room as well; in an idle one the workers are empty, and the round ends after the
starts that the leader orders at a time. Registering and starting runs counts as in the
leader, sending orders does not.
"""

import time
from itertools import islice
from statistics import median

from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_leader import STARTS_PER_ROUND
from dogwoodlever._fleet_planner import INTERRUPTION_MAX_S, FleetPlanner
from dogwoodlever._fleet_types import (
    FleetConfiguration,
    Queue,
    ResourceAmounts,
    Step,
    SubmittedJob,
    WorkerEntry,
    Workspace,
)
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._ticket_cache import TicketCache
from dogwoodlever._worker_capacity import WorkerCapacity
from dogwoodlever._workspace_shares import WorkspaceShares
from dogwoodlever._workspace_usage import WorkspaceUsage

WORKERS = 176
WORKER_CORES_MILLI = 64_000
WORKSPACES = 20
WAITING_TASKS = 2_000
TASKS_PER_STEP = 20
SIZES_MILLI = (1_800, 3_500, 7_000)
FREED_WORKERS = 4
INTERRUPTED_TASKS = 40
INTERRUPTED_MILLI = 20_000
ROUNDS = 15
NOW_S = 100.0


class PlanningBench:
    """Registry, workers and planner of one variant."""

    def __init__(self, has_workspaces: bool, has_caps: bool) -> None:
        queue = Queue("batch", "", "/", "desk", 2, 3, 2.0, 60_000)
        workspaces = {}
        if has_workspaces:
            cap = ResourceAmounts(WORKER_CORES_MILLI * WORKERS // 10 if has_caps else 0)
            workspaces = {
                f"ws-{n}": Workspace(f"ws-{n}", 1.0 + n % 3, cap)
                for n in range(WORKSPACES)
            }
        self.configuration = FleetConfiguration(1, {"batch": queue}, workspaces)
        self.queue = queue
        self.registry = RunRegistry(1)
        self.usage = WorkspaceUsage(self.registry, lambda: self.configuration)
        if has_workspaces:
            self.usage.start(())
        self.planner = FleetPlanner(
            FaultAttribution(),
            CrashAttribution(lambda job_id: True),
            InterferenceModel(),
            TicketCache(None, None, lambda: None),
            WorkspaceShares(self.usage),
        )
        self.capacities = [
            WorkerCapacity(_entry(number), self.usage) for number in range(WORKERS)
        ]

    def add_jobs(self, tasks: int) -> None:
        """Add jobs of one step until they have this many tasks."""
        for number in range(tasks // TASKS_PER_STEP):
            size = SIZES_MILLI[number % len(SIZES_MILLI)]
            step = Step(TASKS_PER_STEP, size, 1_000, 0, 1_700)
            job = SubmittedJob(
                f"job-{len(self.registry.jobs)}",
                "batch",
                "",
                (step,),
                workspace=f"ws-{number % WORKSPACES}",
            )
            state = self.registry.add_job(job, self.queue, number, NOW_S)
            state.open_due(NOW_S * 1000)

    def interrupt(self) -> None:
        """Add standing tasks of steps of their own that fit nowhere and have run."""
        for number in range(INTERRUPTED_TASKS):
            step = Step(1, INTERRUPTED_MILLI, 1_000, 0, 0, standing=True)
            job = SubmittedJob(
                f"standing-{number}",
                "batch",
                "",
                (step,),
                workspace=f"ws-{number % WORKSPACES}",
            )
            state = self.registry.add_job(job, self.queue, number, NOW_S)
            state.open_due(NOW_S * 1000)
            task = state.occurrences[0].steps[0].tasks[0]
            self.registry.begin_run(task, "gone", NOW_S)
            self.registry.drop_run(task, 1)

    def plan(self, starts_max: int, now_s: float = NOW_S) -> float:
        """Plan one round; return its time in seconds."""
        started_s = time.perf_counter()
        placements = self.planner.plan(
            self.registry,
            self.capacities,
            self.configuration,
            now_s,
            now_s * 1000,
            False,
        )
        for placement in islice(placements, starts_max):
            worker_id = placement.capacity.entry.worker_id
            run = self.registry.begin_run(
                placement.task, worker_id, NOW_S, placement.number
            )
            placement.capacity.add(run, placement.task.step.spec)
        return time.perf_counter() - started_s

    def fill(self) -> None:
        """Place as many tasks as fit, then let as many wait as the benchmark says."""
        self.add_jobs(4 * WAITING_TASKS)
        self.plan(4 * WAITING_TASKS)
        waiting = sum(len(step.ready) for step in self.registry.active_steps())
        for state in list(self.registry.active.values()):
            if waiting <= WAITING_TASKS:
                break
            if not state.has_started:
                waiting -= sum(len(step.ready) for step in state.active_steps())
                del self.registry.active[state.job.job_id]

    def free(self, first: int) -> None:
        """End the runs of a few workers."""
        for number in range(first, first + FREED_WORKERS):
            for run_id in list(self.capacities[number % WORKERS].runs):
                self.capacities[number % WORKERS].remove(run_id)


def _entry(number: int) -> WorkerEntry:
    return WorkerEntry(
        f"w{number:03}", "desk", "127.0.0.1", 9000 + number, "north", 1, False,
        WORKER_CORES_MILLI, 250_000, 0, ("a", f"r{number // 20}"),
    )  # fmt: skip


def main() -> None:
    """Print the median and the longest time of a round of each kind."""
    variants = (
        ("none", False, False),
        ("workspaces", True, False),
        ("caps", True, True),
    )
    for name, has_workspaces, has_caps in variants:
        bench = PlanningBench(has_workspaces, has_caps)
        idle_s = []
        for _ in range(ROUNDS):
            idle = PlanningBench(has_workspaces, has_caps)
            idle.add_jobs(WAITING_TASKS)
            idle_s.append(idle.plan(STARTS_PER_ROUND))
        bench.fill()
        full_s = [bench.plan(STARTS_PER_ROUND) for _ in range(ROUNDS)]
        busy_s = []
        for number in range(ROUNDS):
            bench.free(number * FREED_WORKERS)
            busy_s.append(bench.plan(STARTS_PER_ROUND))
        bench.interrupt()
        bench.plan(STARTS_PER_ROUND)
        blocked_s = []
        for number in range(ROUNDS):
            now_s = NOW_S + INTERRUPTION_MAX_S + 0.1 * number
            bench.free(number * FREED_WORKERS)
            blocked_s.append(bench.plan(STARTS_PER_ROUND, now_s))
        kinds = (
            ("idle", idle_s),
            ("full", full_s),
            ("busy", busy_s),
            ("blocked", blocked_s),
        )
        for kind, times_s in kinds:
            prefix = f"planning.{name}.{kind}"
            print(f"{prefix}_round_ms: {median(times_s) * 1000:.2f}")
            print(f"{prefix}_longest_ms: {max(times_s) * 1000:.2f}")


if __name__ == "__main__":
    main()
