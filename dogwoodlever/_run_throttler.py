"""Throttling of best-effort runs to keep standing tasks within their latency target.

Latencies are reported late, and interference between images changes within seconds.
The runs to which the model attributes the interference are throttled first; if that
does not help in time, all best-effort runs are.
"""

from dataclasses import dataclass

from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import Step
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._run_evidence import CLOCK_SLOWNESS
from dogwoodlever._worker_capacity import WorkerCapacity, is_serving

# A reported latency covers the last 0.5 s; an earlier sample repeats the previous one.
SAMPLE_INTERVAL_S = 0.28
# Ratio of the latency target at which best-effort runs are throttled; reports are late.
TARGET_RATIO = 0.85
# Delay from a sample to the effect of the resulting limit, plus half of the time that
# the sample covers.
LOOKAHEAD_S = 0.7
# Weight of the newest sample in the average excess over the expected latency.
EXCESS_WEIGHT = 0.6
# Longest time over its target before all best-effort runs beside a standing task are
# paused. Reports and orders delay the effect, so waiting longer does not help.
PAUSE_ALL_MAX_S = 1.5
# Upper bound of that time, as a ratio of the platform's limit.
PAUSE_ALL_RATIO = 0.375
# A slower run is not worth the memory that it holds, so it is paused instead.
SPEED_LIMIT_MIN_PERCENT = 10
# Granularity of speed limits.
SPEED_LIMIT_STEP_PERCENT = 10
# Largest increase of a speed limit between two samples.
RISE_MAX_PERCENT = 40
# A run with checkpoints moves after its limit was below MOVE_BELOW_PERCENT for
# MOVE_AFTER_S. A move costs a restore, so a short wait is cheaper.
MOVE_BELOW_PERCENT = 60
MOVE_AFTER_S = 0.35
# A run with at least this speed limit gains 1 % of progress, the reported unit, within
# STALL_S, even on a worker that is several times slower.
STALL_SPEED_LIMIT_PERCENT = 40
STALL_S = 2.2


@dataclass(slots=True, frozen=True)
class ThrottleOrder:
    """A run and its new speed limit, in percent of full speed."""

    run: Run
    percent: int


class RunThrottler:
    """Decides the speed limits of the best-effort runs on one worker.

    Parameters
    ----------
    interference : InterferenceModel
        Model that is updated with each sample.
    target_violation_max_s : float
        Time for which co-located work may keep a standing task above its target.
    """

    __slots__ = ("_interference", "_pause_all_s")

    def __init__(
        self, interference: InterferenceModel, target_violation_max_s: float
    ) -> None:
        self._interference = interference
        self._pause_all_s = min(
            PAUSE_ALL_MAX_S, PAUSE_ALL_RATIO * target_violation_max_s
        )

    def decide(self, capacity: WorkerCapacity, now_s: float) -> list[ThrottleOrder]:
        """Sample the worker's latest reports and return the limits to change."""
        serving = [
            (run, step)
            for run, step in capacity.serving_runs()
            if run.percent == 100 and run.load > 0
        ]
        best_effort = [
            pair for pair in capacity.best_effort_runs() if pair[0].percent >= 0
        ]
        capacity.record_usage(now_s)
        if not serving:
            return _unthrottle_all(best_effort)
        if not self._sample(capacity, serving, now_s):
            return []
        if not best_effort:
            return []
        limits = {run.run_id: 100.0 for run, _ in best_effort}
        shares_by_image: dict[str, tuple[float, list[tuple[float, Run]]]] = {}
        for run, step in serving:
            if step.image not in shares_by_image:
                shares_by_image[step.image] = (
                    self._interference_of_unthrottled(capacity, step),
                    self._shares(capacity, step, best_effort),
                )
            self._lower_limits(run, step, shares_by_image[step.image], limits, now_s)
        return _limit_changes(best_effort, limits)

    def runs_to_move(
        self, capacity: WorkerCapacity, now_s: float
    ) -> list[tuple[Run, Step]]:
        """Return the throttled runs that should move to another worker.

        Runs without checkpoints stay, because they would start over.
        """
        runs = []
        for run, step in capacity.runs.values():
            if not step.uses_leftover:
                continue
            if not 0 <= run.speed_limit_percent < MOVE_BELOW_PERCENT:
                run.slow_since_s = float("inf")
                continue
            if run.slow_since_s == float("inf"):
                run.slow_since_s = now_s
            is_slow = now_s - run.slow_since_s >= MOVE_AFTER_S
            if is_slow and step.checkpoints and run.phase is RunPhase.RUNNING:
                runs.append((run, step))
        return runs

    def _sample(self, capacity: WorkerCapacity, serving, now_s: float) -> bool:
        has_new_sample = False
        for run, step in serving:
            if now_s - run.sampled_s < SAMPLE_INTERVAL_S:
                continue
            has_new_sample = True
            run.sampled_s = now_s
            latency_excess = self._interference.observe(
                run.run_id.task.job_id,
                step.image,
                run.load,
                step.latency_target_ms,
                capacity.colocated_cores,
                now_s,
            )
            run.latency_excess += EXCESS_WEIGHT * (latency_excess - run.latency_excess)
            if run.load <= step.latency_target_ms:
                run.over_target_since_s = float("inf")
            elif run.over_target_since_s == float("inf"):
                run.over_target_since_s = now_s
        return has_new_sample

    def _interference_of_unthrottled(
        self, capacity: WorkerCapacity, serving: Step
    ) -> float:
        """Return the interference of runs that are neither serving nor throttled."""
        return sum(
            self._interference.per_core(serving.image, step.image)
            * capacity.to_reference_cores(step.cores_milli)
            for _, step in capacity.runs.values()
            if not step.uses_leftover and not is_serving(step)
        )

    def _shares(
        self, capacity: WorkerCapacity, step: Step, best_effort
    ) -> list[tuple[float, Run]]:
        """Return what each best-effort run adds at full speed, the least first.

        Runs that interfere least keep their speed.
        """
        shares = [
            (
                self._interference.per_core(step.image, other_step.image)
                * capacity.to_reference_cores(other_step.cores_milli),
                other,
            )
            for other, other_step in best_effort
        ]
        shares.sort(key=lambda row: (row[0], row[1].run_id.task))
        return shares

    def _lower_limits(
        self,
        run: Run,
        step: Step,
        interference: tuple[float, list[tuple[float, Run]]],
        limits,
        now_s: float,
    ) -> None:
        """Lower `limits` until the standing run is expected to meet its target.

        `interference` is that of unthrottled runs, and the share of each other run.
        """
        of_unthrottled, shares = interference
        if now_s - run.over_target_since_s >= self._pause_all_s:
            for _, other in shares:
                limits[other.run_id] = 0.0
            return
        remaining = self._interference.limit(
            run.run_id.task.job_id,
            step.image,
            TARGET_RATIO,
            run.latency_excess,
            now_s + LOOKAHEAD_S,
        )
        remaining -= of_unthrottled
        for share, other in shares:
            requested = share * limits[other.run_id] / 100
            if requested <= remaining:
                remaining -= requested
                continue
            ratio = max(0.0, remaining) / share if share > 0 else 1.0
            limits[other.run_id] = min(limits[other.run_id], 100.0 * ratio)
            remaining = 0.0


def may_stall(run: Run, step: Step) -> bool:
    """Return whether a run has to make progress."""
    return (
        run.phase is RunPhase.RUNNING
        and not step.standing
        and not step.gang
        and 0 <= run.percent < 100
    )


def stalled_runs(capacity: WorkerCapacity, now_s: float, clock_ms: int) -> list[Run]:
    """Return the runs that make no progress although their speed limit allows it.

    Detects workers on which tasks hang while health checks pass.

    Parameters
    ----------
    capacity : WorkerCapacity
        The worker and its runs.
    now_s : float
        Current time.
    clock_ms : int
        The worker's clock in its last report, which may be older than `now_s`.
    """
    stall_ms = STALL_S * 1000 * (1 - CLOCK_SLOWNESS)
    return [
        run
        for run, step in capacity.runs.values()
        if may_stall(run, step)
        and run.speed_limit_percent >= STALL_SPEED_LIMIT_PERCENT
        and now_s - max(run.progressed_s, run.throttled_s) >= STALL_S
        and clock_ms - run.progressed_clock_ms >= stall_ms
    ]


def _unthrottle_all(best_effort) -> list[ThrottleOrder]:
    return [
        ThrottleOrder(run, 100)
        for run, _ in best_effort
        if run.speed_limit_percent != 100
    ]


def _limit_changes(best_effort, limits) -> list[ThrottleOrder]:
    orders = []
    for run, _ in best_effort:
        limit = min(
            limits[run.run_id], max(0, run.speed_limit_percent) + RISE_MAX_PERCENT
        )
        percent = int(limit // SPEED_LIMIT_STEP_PERCENT) * SPEED_LIMIT_STEP_PERCENT
        if percent < SPEED_LIMIT_MIN_PERCENT:
            percent = 0
        if percent != run.speed_limit_percent:
            orders.append(ThrottleOrder(run, percent))
    return orders
