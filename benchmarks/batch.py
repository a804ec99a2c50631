"""Batch benchmarks: throughput, wasted work, decision cost and store traffic.

All policies run the same seeded workload: jobs with inaccurate declared sizes,
one class whose tasks fail on every worker, and two workers that fail every
task. Racks and the network are not modelled, and run times are scaled down.
"""

import random
import time
from dataclasses import dataclass

import msgspec

from dogwoodlever.batch import (
    Cell,
    CellStateRecord,
    ClassEstimates,
    FaultAttribution,
    Job,
    LeaseSettings,
)
from dogwoodlever.platform_clients import (
    AttemptId,
    EndedAttempt,
    RunningAttempt,
    WorkerReport,
)
from dogwoodlever.settings import DataCentre, Limits, Site, Team, Worker
from standins.fake_site import FakeSite
from tests.sites import make_site

WORKERS = 24
DURATION_S = 1800.0
STEP_INTERVAL_S = 1.0
TEAMS = 6
JOBS = 230
FAILING_CLASS_FRACTION = 0.05
FAULTY_WORKERS = ("w03", "w11")
TASKS_PER_WORKER = 17
SYNC_ROUNDS = 2000
HTTP_HEADER_BYTES = 400
LEASE_SETTINGS = LeaseSettings(6.0, 0.5, 2.0, 60.0)


@dataclass(slots=True)
class ClassBehaviour:
    """Actual resource use of a task class, independent of the declared sizes."""

    cores: float
    run_s: float
    fails: bool


def make_workload(
    seed: int,
) -> tuple[list[tuple[float, Job]], dict[str, ClassBehaviour]]:
    """Return jobs with their arrival times, and the behaviour of each class."""
    rng = random.Random(seed)
    behaviours, arrivals = {}, []
    for number in range(20):
        fails = number < 20 * FAILING_CLASS_FRACTION
        behaviours[f"class{number}"] = ClassBehaviour(
            rng.choice((0.5, 1.0, 2.0)), rng.uniform(10.0, 120.0), fails
        )
    for number in range(JOBS):
        task_class = f"class{rng.randrange(20)}"
        behaviour = behaviours[task_class]
        declared = behaviour.cores * rng.choice((1.0, 2.0, 3.0))
        job = Job(
            f"job{number}",
            f"team{number % TEAMS}",
            task_class,
            rng.randrange(10, 60),
            declared,
            10**9,
            behaviour.run_s * rng.choice((0.5, 1.0, 3.0)),
            urgent=rng.random() < 0.05,
        )
        arrivals.append((rng.uniform(0, DURATION_S * 0.7), job))
    return sorted(arrivals, key=lambda pair: pair[0]), behaviours


def make_cell(workers: int = WORKERS, teams: int = TEAMS) -> Cell:
    """Return a cell in which every worker has reported once."""
    site = Site(
        "bench",
        {"a": DataCentre("r")},
        {
            f"w{i:02d}": Worker("a", "r", "127.0.0.1", 1, cores=16.0, accelerators=2)
            for i in range(workers)
        },
        {},
        {f"team{i}": Team(workers * 16 / teams) for i in range(teams)},
    )
    cell = Cell("cell", CellStateRecord("me", 1), site, LEASE_SETTINGS, 0.0)
    for name in cell.workers:
        cell.handle_report(WorkerReport(name, "boot", 0.0), 0.0, 0.0)
    return cell


class DeclaredEstimates(ClassEstimates):
    """Baseline that uses the declared sizes."""

    def observe(self, task_class: str, cores: float, run_s: float) -> None:
        """Ignore measured use."""


class UnattributedRetry(FaultAttribution):
    """Baseline that retries on any worker, without attributing failures."""

    def record_failure(self, worker: str, job: str, now_s: float, workers: int) -> bool:
        """Quarantine no worker."""
        return False

    def has_failed_too_often(self, failed_on: list[str], now_s: float) -> bool:
        """Retry without limit."""
        return False


class BatchSimulation:
    """Run the workload against one cell and its policy."""

    def __init__(self, cell: Cell, seed: int) -> None:
        self.cell = cell
        self.arrivals, self.behaviours = make_workload(seed)
        self.finished = 0
        self.wasted_s = 0.0
        self.failed_attempts = 0
        self.overcommitted_steps = 0
        self._running: dict[AttemptId, tuple[str, float]] = {}

    def run(self) -> None:
        """Run from time 0 to the end of the workload."""
        now_s = 0.0
        while now_s < DURATION_S:
            while self.arrivals and self.arrivals[0][0] <= now_s:
                self.cell.submit(self.arrivals.pop(0)[1], now_s)
            self._report_ends(now_s)
            self.cell.decide(now_s, now_s)
            self.cell.begin_commit()
            self.cell.confirm_commit()
            for job_id in self.cell.ended_jobs():
                self.cell.drop_job(job_id)
            self._start_assigned(now_s)
            now_s += STEP_INTERVAL_S

    def _start_assigned(self, now_s: float) -> None:
        for name, view in self.cell.workers.items():
            for task_id in sorted(view.tasks):
                task = self.cell.cell_state.tasks[task_id]
                key = AttemptId(task_id, task.attempt)
                if task.state == "assigned" and key not in self._running:
                    self._running[key] = (name, now_s)
            used_cores = sum(self._behaviour(task_id).cores for task_id in view.tasks)
            self.overcommitted_steps += used_cores > view.cores_capacity + 1e-6

    def _behaviour(self, task_id: str) -> ClassBehaviour:
        job = self.cell.cell_state.jobs[self.cell.cell_state.tasks[task_id].job_id]
        return self.behaviours[job.task_class]

    def _report_ends(self, now_s: float) -> None:
        ended: dict[str, list[EndedAttempt]] = {}
        running: dict[str, list[RunningAttempt]] = {}
        for key, (worker, started_s) in list(self._running.items()):
            behaviour = self._behaviour(key.task_id)
            fails = behaviour.fails or worker in FAULTY_WORKERS
            run_s = now_s - started_s
            if run_s < (2.0 if fails else behaviour.run_s):
                running.setdefault(worker, []).append(
                    RunningAttempt(
                        key.task_id, key.attempt, True, run_s, behaviour.cores
                    )
                )
                continue
            del self._running[key]
            outcome = "failed" if fails else "finished"
            self.finished += not fails
            self.failed_attempts += fails
            self.wasted_s += run_s if fails else 0.0
            ended.setdefault(worker, []).append(
                EndedAttempt(
                    key.task_id, key.attempt, outcome, 0.0, run_s, behaviour.cores
                )
            )
        for name in self.cell.workers:
            report = WorkerReport(
                name,
                "boot",
                now_s,
                tuple(running.get(name, ())),
                tuple(ended.get(name, ())),
            )
            self.cell.handle_report(report, now_s, now_s)


def simulate(policy: str, seed: int = 5) -> BatchSimulation:
    """Run the seeded workload under a policy."""
    cell = make_cell()
    if policy in ("first_fit_declared", "neither"):
        cell.estimates = DeclaredEstimates({})
    if policy in ("blind_retry", "neither"):
        cell.faults = UnattributedRetry()
    simulation = BatchSimulation(cell, seed)
    simulation.run()
    return simulation


def print_policies() -> None:
    """Print the throughput and wasted work of each policy."""
    base = None
    for policy in ("dogwoodlever", "first_fit_declared", "blind_retry", "neither"):
        simulation = simulate(policy)
        prefix = f"batch.day.{policy}"
        print(f"{prefix}.finished_per_h: {simulation.finished * 3600 / DURATION_S:.0f}")
        print(f"{prefix}.failed_attempts: {simulation.failed_attempts}")
        print(f"{prefix}.wasted_worker_s: {simulation.wasted_s:.0f}")
        print(f"{prefix}.worker_steps_over_cores: {simulation.overcommitted_steps}")
        base = base or simulation
        print(
            f"{prefix}.finished_part_of_ours: {simulation.finished / base.finished:.3f}"
        )


def print_decision_cost() -> None:
    """Print the processor time of decision rounds at 67 and at 1600 workers."""
    for workers, tasks, starts_per_s in ((67, 1125, 410 / 24), (1600, 27000, 410)):
        cell = make_cell(workers, 60)
        for number in range(tasks // 50 + 20):
            job = Job(f"j{number}", f"team{number % 60}", "k", 50, 0.9, 1000, 600.0)
            cell.submit(job, 0.0)
        started_s = time.process_time()
        cell.decide(0.0, 0.0)
        decide_s = time.process_time() - started_s
        placed = sum(len(view.tasks) for view in cell.workers.values())
        cell.begin_commit()
        cell.confirm_commit()
        prefix = f"batch.cost.{workers}_workers"
        print(f"{prefix}.placed: {placed}")
        print(f"{prefix}.placement_us: {decide_s / placed * 1e6:.1f}")
        _print_rounds(cell, prefix, max(1, round(starts_per_s / 4)))


def _print_rounds(cell: Cell, prefix: str, ends_per_round: int) -> None:
    """Print the cost of rounds in which some tasks end and others start.

    Rounds are 0.25 s apart, so the core fractions are those of four rounds.
    """
    rng = random.Random(3)
    names = [name for name, view in cell.workers.items() if view.tasks]
    decide_s = commit_s = sync_s = 0.0
    rounds, size = 8, 0
    for number in range(rounds):
        now_s = 1.0 + number * 0.25
        for name in rng.sample(names, ends_per_round):
            _finish_one_task(cell, name, now_s)
        times = [time.process_time()]
        cell.decide(now_s, now_s)
        times.append(time.process_time())
        commit = cell.begin_commit()
        times.append(time.process_time())
        cell.confirm_commit()
        size = len(commit.value)
        for name in rng.sample(names, max(1, len(names) // 6)):
            cell.sync(name, now_s, 0.1, True)
        times.append(time.process_time())
        decide_s += times[1] - times[0]
        commit_s += times[2] - times[1]
        sync_s += times[3] - times[2]
    per_second = 4 / rounds
    print(f"{prefix}.starts_per_s: {ends_per_round * 4}")
    print(f"{prefix}.decide_core_part: {decide_s * per_second:.4f}")
    print(f"{prefix}.encode_core_part: {commit_s * per_second:.4f}")
    print(f"{prefix}.sync_core_part: {sync_s * per_second:.4f}")
    print(f"{prefix}.ledger_bytes: {size}")


def _finish_one_task(cell: Cell, name: str, now_s: float) -> None:
    view = cell.workers[name]
    running, ended = [], []
    for task_id in sorted(view.tasks):
        task = cell.cell_state.tasks[task_id]
        if ended:
            running.append(RunningAttempt(task_id, task.attempt, True, 1.0, 0.9))
        else:
            ended.append(
                EndedAttempt(task_id, task.attempt, "finished", 0.0, 600.0, 0.9)
            )
    report = WorkerReport(name, "boot", now_s, tuple(running), tuple(ended))
    cell.handle_report(report, now_s, now_s)


def print_sync_cost() -> None:
    """Print the message size and processor time of syncing a worker with 17 tasks."""
    cell = make_cell(1, 1)
    cell.submit(Job("job", "team0", "k", TASKS_PER_WORKER, 0.9, 1000, 600.0), 0.0)
    cell.decide(0.0, 0.0)
    cell.begin_commit()
    cell.confirm_commit()
    (name,) = cell.workers
    running = tuple(
        RunningAttempt(task_id, 1, True, 123.456, 0.875)
        for task_id in sorted(cell.workers[name].tasks)
    )
    report = msgspec.json.encode(WorkerReport(name, "boot", 12345.678, running))
    started_s = time.process_time()
    for number in range(SYNC_ROUNDS):
        received = msgspec.json.decode(report, type=WorkerReport)
        cell.handle_report(received, number * 1.5, 0.0)
        request = msgspec.json.encode(cell.sync(name, number * 1.5, 0.1, True))
    spent_s = time.process_time() - started_s
    size = len(report) + len(request) + HTTP_HEADER_BYTES
    rest_interval_s = Limits().worker_rest_interval_s
    print(f"batch.sync.bytes: {size}")
    print(f"batch.sync.bytes_per_s_a_worker_at_rest: {size / rest_interval_s:.0f}")
    print(f"batch.sync.decision_us: {spent_s / SYNC_ROUNDS * 1e6:.0f}")


def print_store_calls() -> None:
    """Print the store traffic as the fleet grows, at equal starts per worker."""
    for factor in (1, 4, 16):
        limits = Limits(cells=factor)
        site = make_site(workers=6 * factor, slots=8, limits=limits)
        fake = FakeSite(site, 3 + 2 * (factor > 1) + 2 * (factor > 4))
        fake.settle()
        fake.values.calls.clear()
        before = fake.values.bytes_written
        rng = random.Random(2)
        for number in range(5 * factor):
            _submit_job(fake, f"job{number}", f"cell-{rng.randrange(factor):02d}")
        fake.advance(20.0, 0.02)
        calls = fake.values.calls
        prefix = f"batch.store.fleet_{factor}x"
        print(f"{prefix}.daemons: {len(fake.daemons)}")
        print(f"{prefix}.workers: {6 * factor}")
        print(f"{prefix}.reads_per_s: {calls['read'] / 20:.1f}")
        print(f"{prefix}.writes_per_s: {calls['write'] / 20:.1f}")
        written = (fake.values.bytes_written - before) / 20
        print(f"{prefix}.bytes_written_per_s: {written:.0f}")


def _submit_job(fake: FakeSite, job: str, cell: str) -> None:
    document = Job(job, "alpha", "k", 12, 1.0, 10**9, 2.0)
    key = f"live/inbox/{cell}/job/{job}"
    fake.values.write(key, msgspec.json.encode(document), 0)


def main() -> None:
    """Run all batch benchmarks and print their results."""
    print_policies()
    print_decision_cost()
    print_sync_cost()
    print_store_calls()


if __name__ == "__main__":
    main()
