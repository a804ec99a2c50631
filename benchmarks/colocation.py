"""Interference control: the product's controller against three baselines.

Each worker runs a service and batch tasks. The slowdown that a task class
causes is unknown to the policies, grows with the service's load and changes
once during the run; latencies are measured with noise and reported with a
delay. The latency of a worker is a formula, so that effects of caches, sockets
and bursts shorter than a second are not covered.
"""

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field

from dogwoodlever.colocation import (
    InterferenceAction,
    InterferenceController,
    ServiceSample,
    SlowdownEstimator,
)

WORKERS = 12
DURATION_S = 3600
SAMPLE_DELAY_S = 4
SAMPLE_INTERVAL_S = 2
LATENCY_TARGET_S = 0.25
OBJECTIVE = 0.99
IDLE_LATENCY_S = 0.1
TASK_CORES = 2.0
TASKS_PER_WORKER = 4
TASK_WORK_S = 240.0
EVICTION_LOSS_S = 5.0
SLOWDOWN_PER_CORE = {"copy": 0.004, "index": 0.06, "stream": 0.3}
SHIFT_AT_S = 1800
SHIFTED_SLOWDOWN_PER_CORE = {"copy": 0.004, "index": 0.3, "stream": 0.12}
BASE_MIX = ("copy", "copy", "copy", "index", "stream")
WAVE_MIX = ("copy", "index", "stream", "stream")
WAVE_PERIOD_S = 900
WAVE_DURATION_S = 300
FIXED_CORE_FRACTION = 0.25


@dataclass(slots=True)
class BatchTask:
    """A batch task and its remaining work."""

    task_class: str
    remaining_s: float = TASK_WORK_S


@dataclass(slots=True)
class SimulatedWorker:
    """A worker: its service, batch tasks and samples not yet delivered."""

    number: int
    rng: random.Random
    tasks: list[BatchTask] = field(default_factory=list)
    samples: deque = field(default_factory=deque)

    def draw_load(self, at_s: float) -> float:
        """Return the service's load, 0.05 to 0.95, with noise."""
        wave = math.sin(at_s / 300 + self.number) * 0.35
        return min(0.95, max(0.05, 0.55 + wave + self.rng.gauss(0, 0.03)))


class Policy(ABC):
    """Sets the fraction of its cores that a task class may use on a worker."""

    @abstractmethod
    def core_fraction(self, worker: SimulatedWorker, task_class: str) -> float:
        """Return the fraction, 0 to 1."""

    @abstractmethod
    def observe(
        self, worker: SimulatedWorker, sample: ServiceSample, now_s: float
    ) -> str:
        """Process a delayed sample; return the class to evict a task of, or ""."""


class UnlimitedPolicy(Policy):
    """Baseline without limits on batch work."""

    def core_fraction(self, worker, task_class):
        """Return 1."""
        return 1.0

    def observe(self, worker, sample, now_s):
        """Ignore the sample."""
        return ""


class FixedCapPolicy(UnlimitedPolicy):
    """Baseline with one constant cap on all batch work."""

    def core_fraction(self, worker, task_class):
        """Return the cap."""
        return FIXED_CORE_FRACTION


class ThresholdPolicy(Policy):
    """Baseline that halves the cap over the target and raises it slowly below.

    The third breach in a row evicts a task.
    """

    def __init__(self) -> None:
        self._fractions: dict[int, float] = {}
        self._breaches: dict[int, int] = {}

    def core_fraction(self, worker, task_class):
        """Return the worker's cap, the same for all classes."""
        return self._fractions.get(worker.number, 1.0)

    def observe(self, worker, sample, now_s):
        """Lower the cap on a breach, else raise it."""
        fraction = self._fractions.get(worker.number, 1.0)
        if sample.latency_s <= sample.target_s:
            self._breaches[worker.number] = 0
            self._fractions[worker.number] = min(
                1.0, fraction + 0.03 * SAMPLE_INTERVAL_S
            )
            return ""
        self._fractions[worker.number] = max(0.1, fraction / 2)
        breaches = self._breaches.get(worker.number, 0) + 1
        self._breaches[worker.number] = breaches
        if breaches < 3 or not sample.class_cores:
            return ""
        self._breaches[worker.number] = 0
        return max(sample.class_cores, key=lambda c: (sample.class_cores[c], c))


class ControllerPolicy(Policy):
    """The product's interference controllers, which share one estimator."""

    def __init__(self) -> None:
        estimator = SlowdownEstimator()
        self._controllers = [InterferenceController(estimator) for _ in range(WORKERS)]

    def core_fraction(self, worker, task_class):
        """Return the controller's throttle."""
        return self._controllers[worker.number].throttle(task_class)

    def observe(self, worker, sample, now_s):
        """Pass the sample to the controller."""
        decision = self._controllers[worker.number].observe(sample, now_s)
        return (
            decision.task_class if decision.action == InterferenceAction.EVICT else ""
        )


@dataclass(slots=True)
class PolicyResult:
    """Latency, batch work and evictions under one policy."""

    samples: int = 0
    late_samples: int = 0
    batch_core_s: float = 0.0
    evictions: int = 0
    latencies_s: list[float] = field(default_factory=list)
    late_samples_by_worker: dict[int, int] = field(default_factory=dict)

    def workers_meeting_objective(self) -> int:
        """Return the number of workers whose service met its objective."""
        allowed = (1 - OBJECTIVE) * self.samples / WORKERS
        return WORKERS - sum(n > allowed for n in self.late_samples_by_worker.values())


def simulate(policy: Policy, seed: int = 4) -> PolicyResult:
    """Run the seeded workload under one policy."""
    rng = random.Random(seed)
    result = PolicyResult()
    workers = [
        SimulatedWorker(i, random.Random(seed * 100 + i)) for i in range(WORKERS)
    ]
    for now_s in range(DURATION_S):
        for worker in workers:
            _add_tasks(worker, rng, now_s)
            _run_tasks(worker, policy, result)
            if now_s % SAMPLE_INTERVAL_S == 0:
                _measure_service(worker, policy, result, now_s)
                _deliver_samples(worker, policy, result, now_s)
    return result


def _add_tasks(worker: SimulatedWorker, rng: random.Random, now_s: int) -> None:
    """Fill the worker with tasks; interfering classes are more frequent in waves."""
    mix = WAVE_MIX if now_s % WAVE_PERIOD_S < WAVE_DURATION_S else BASE_MIX
    while len(worker.tasks) < TASKS_PER_WORKER:
        worker.tasks.append(BatchTask(rng.choice(mix)))


def _run_tasks(worker: SimulatedWorker, policy: Policy, result: PolicyResult) -> None:
    for task in worker.tasks:
        core_fraction = policy.core_fraction(worker, task.task_class)
        task.remaining_s -= core_fraction
        result.batch_core_s += core_fraction * TASK_CORES
    worker.tasks = [task for task in worker.tasks if task.remaining_s > 0]


def _measure_service(worker, policy, result, now_s) -> None:
    load = worker.draw_load(now_s)
    class_cores: dict[str, float] = {}
    for task in worker.tasks:
        used = TASK_CORES * policy.core_fraction(worker, task.task_class)
        class_cores[task.task_class] = class_cores.get(task.task_class, 0.0) + used
    slowdown_per_core = (
        SLOWDOWN_PER_CORE if now_s < SHIFT_AT_S else SHIFTED_SLOWDOWN_PER_CORE
    )
    slowdown = sum(slowdown_per_core[c] * used for c, used in class_cores.items())
    latency_s = IDLE_LATENCY_S * (1 + 0.5 * load) * (1 + load * slowdown)
    result.samples += 1
    if latency_s > LATENCY_TARGET_S:
        result.late_samples += 1
        by_worker = result.late_samples_by_worker
        by_worker[worker.number] = by_worker.get(worker.number, 0) + 1
    result.latencies_s.append(latency_s)
    measured_s = latency_s * worker.rng.lognormvariate(0, 0.05)
    worker.samples.append(
        (now_s, ServiceSample("desk", measured_s, LATENCY_TARGET_S, load, class_cores))
    )


def _deliver_samples(worker, policy, result, now_s) -> None:
    while worker.samples and worker.samples[0][0] <= now_s - SAMPLE_DELAY_S:
        _, sample = worker.samples.popleft()
        task_class = policy.observe(worker, sample, now_s)
        victims = [t for t in worker.tasks if t.task_class == task_class]
        if victims:
            result.evictions += 1
            result.batch_core_s -= EVICTION_LOSS_S * TASK_CORES
            worker.tasks.remove(max(victims, key=lambda task: task.remaining_s))


def main() -> None:
    """Run all policies and print their results."""
    policies = {
        "dogwoodlever": ControllerPolicy(),
        "no_guard": UnlimitedPolicy(),
        "fixed_cap": FixedCapPolicy(),
        "threshold": ThresholdPolicy(),
    }
    results = {name: simulate(policy) for name, policy in policies.items()}
    capped_core_s = results["fixed_cap"].batch_core_s
    for name, result in results.items():
        latencies_s = sorted(result.latencies_s)
        prefix = f"colocation.{name}"
        print(f"{prefix}.late_part: {result.late_samples / result.samples:.4f}")
        print(f"{prefix}.workers_held: {result.workers_meeting_objective()}")
        print(f"{prefix}.p99_s: {latencies_s[int(0.99 * len(latencies_s))]:.4f}")
        print(f"{prefix}.batch_core_h: {result.batch_core_s / 3600:.1f}")
        print(
            f"{prefix}.batch_over_fixed_cap: {result.batch_core_s / capped_core_s:.3f}"
        )
        print(f"{prefix}.evictions: {result.evictions}")


if __name__ == "__main__":
    main()
