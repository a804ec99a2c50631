"""Paces tasks on leftover cores before they hold a standing task over its target.

Answers latencies that are reported late and pairs that shift within seconds:
what the model blames is slowed first and at once, and all of it if that does
not help in time.
"""

from dataclasses import dataclass

from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import Step
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._worker_capacity import WorkerCapacity, is_serving

# Latencies are figures of the last half second; sooner ones repeat the last.
SAMPLE_INTERVAL_S = 0.28
# Part of its target that a standing task is kept below.
TARGET_RATIO = 1.0
# Time from a sample to the effect of the pace that it asks for, and half of the
# time that the sample covers.
LOOKAHEAD_S = 0.7
# Weight of the newest excess over the expectation.
EXCESS_WEIGHT = 0.6
# Over its target for so long, a standing task gets all slowed at once; a longer
# wait only delays the effect, which lags by reports and paces.
STOP_ALL_MAX_S = 1.5
# Part of the platform's limit after which that happens at the latest.
STOP_ALL_RATIO = 0.375
# A pace below this part is not worth its memory; the task waits instead.
SPEED_LIMIT_MIN_PERCENT = 10
# Paces are ordered in steps of this size.
SPEED_LIMIT_STEP_PERCENT = 10
# Most that a pace rises between two samples.
RISE_MAX_PERCENT = 40
# Work that saves its progress is moved once its pace has been below this for so
# long; a move costs a restore, and a short wait is cheaper.
MOVE_BELOW_PERCENT = 60
MOVE_AFTER_S = 0.35


# Work at this share of its speed or more shows progress within the time below,
# also on a worker that is several times slower; progress is listed in percent.
STALL_SPEED_LIMIT_PERCENT = 40
STALL_S = 2.2


@dataclass(slots=True, frozen=True)
class ThrottleOrder:
    """A run and the share of its speed that it may have from now on."""

    run: Run
    percent: int


class RunThrottler:
    """Decides paces from the lists of one worker.

    Parameters
    ----------
    interference : Interference
        Learns from each sample.
    target_violation_max_s : float
        How long a standing task may be over its target beside other work.
    """

    __slots__ = ("_interference", "_stop_all_s")

    def __init__(
        self, interference: InterferenceModel, target_violation_max_s: float
    ) -> None:
        self._interference = interference
        self._stop_all_s = min(STOP_ALL_MAX_S, STOP_ALL_RATIO * target_violation_max_s)

    def decide(self, capacity: WorkerCapacity, now_s: float) -> list[ThrottleOrder]:
        """Take the worker's newest figures and return the changes of pace."""
        serving = [
            (run, step)
            for run, step in capacity.serving_runs()
            if run.percent == 100 and run.load > 0
        ]
        best_effort = [
            held for held in capacity.best_effort_runs() if held[0].percent >= 0
        ]
        capacity.record_usage(now_s)
        if not serving:
            return _unthrottle_all(best_effort)
        if not self._sample(capacity, serving, now_s):
            return []
        limits = {run.run_id: 100.0 for run, _ in best_effort}
        for run, step in serving:
            self._lower_limits(capacity, run, step, best_effort, limits, now_s)
        return _limit_changes(best_effort, limits)

    def runs_to_move(
        self, capacity: WorkerCapacity, now_s: float
    ) -> list[tuple[Run, Step]]:
        """Return the slowed runs that would go on faster elsewhere, if there is room.

        Work that does not save its progress stays, because it would start anew.
        """
        found = []
        for run, step in capacity.best_effort_runs():
            if not 0 <= run.speed_limit_percent < MOVE_BELOW_PERCENT:
                run.slowed_since_s = float("inf")
                continue
            if run.slowed_since_s == float("inf"):
                run.slowed_since_s = now_s
            is_slow = now_s - run.slowed_since_s >= MOVE_AFTER_S
            if is_slow and step.checkpoints and run.phase is RunPhase.RUNNING:
                found.append((run, step))
        return found

    def _sample(self, capacity: WorkerCapacity, serving, now_s: float) -> bool:
        fresh = False
        for run, step in serving:
            if now_s - run.sampled_s < SAMPLE_INTERVAL_S:
                continue
            fresh = True
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
        return fresh

    def _interference_of_unthrottled(
        self, capacity: WorkerCapacity, serving: Step
    ) -> float:
        """Return the pressure of work that is neither serving nor paced."""
        return sum(
            self._interference.per_core(serving.image, step.image)
            * capacity.to_reference_cores(step.cores_milli)
            for _, step in capacity.runs.values()
            if not step.uses_leftover and not is_serving(step)
        )

    def _lower_limits(
        self,
        capacity: WorkerCapacity,
        run: Run,
        step: Step,
        best_effort,
        limits,
        now_s: float,
    ) -> None:
        """Lower `limits` until the standing run is expected under its target."""
        if now_s - run.over_target_since_s >= self._stop_all_s:
            for fill, _ in best_effort:
                limits[fill.run_id] = 0.0
            return
        left = self._interference.limit(
            run.run_id.task.job_id,
            step.image,
            TARGET_RATIO,
            run.latency_excess,
            now_s + LOOKAHEAD_S,
        )
        left -= self._interference_of_unthrottled(capacity, step)
        shares = [
            (
                self._interference.per_core(step.image, spec.image)
                * capacity.to_reference_cores(spec.cores_milli),
                fill,
            )
            for fill, spec in best_effort
        ]
        # The least disturbing work keeps its speed.
        shares.sort(key=lambda row: (row[0], row[1].run_id.task))
        for share, fill in shares:
            wanted = share * limits[fill.run_id] / 100
            if wanted <= left:
                left -= wanted
                continue
            part = max(0.0, left) / share if share > 0 else 1.0
            limits[fill.run_id] = min(limits[fill.run_id], 100.0 * part)
            left = 0.0


def stalled_runs(capacity: WorkerCapacity, now_s: float) -> list[Run]:
    """Return the runs that make no progress although they may.

    Answers workers on which tasks stand still while their health is good.
    """
    return [
        run
        for run, step in capacity.runs.values()
        if run.phase is RunPhase.RUNNING
        and not step.standing
        and not step.gang
        and 0 <= run.percent < 100
        and run.speed_limit_percent >= STALL_SPEED_LIMIT_PERCENT
        and now_s - max(run.progressed_s, run.throttled_s) >= STALL_S
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
        wanted = min(
            limits[run.run_id], max(0, run.speed_limit_percent) + RISE_MAX_PERCENT
        )
        percent = int(wanted // SPEED_LIMIT_STEP_PERCENT) * SPEED_LIMIT_STEP_PERCENT
        if percent < SPEED_LIMIT_MIN_PERCENT:
            percent = 0
        if percent != run.speed_limit_percent:
            orders.append(ThrottleOrder(run, percent))
    return orders
