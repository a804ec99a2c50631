"""Paces tasks on leftover cores before they hold a standing task over its target.

Answers latencies that are reported late and pairs that shift within seconds:
what the model blames is slowed first and at once, and all of it if that does
not help in time.
"""

from dataclasses import dataclass

from dogwoodlever._fleet_interference import Interference
from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_room import WorkerRoom, is_serving
from dogwoodlever._fleet_types import Step

# Latencies are figures of the last half second; sooner ones repeat the last.
SAMPLE_PAUSE_S = 0.28
# Part of its target that a standing task is kept below.
TARGET_PART = 1.0
# Time from a sample to the effect of the pace that it asks for, and half of the
# time that the sample covers.
AHEAD_S = 0.7
# Weight of the newest excess over the expectation.
EXCESS_WEIGHT = 0.6
# Over its target for so long, a standing task gets all slowed at once; a longer
# wait only delays the effect, which lags by reports and paces.
SLOW_ALL_MAX_S = 1.5
# Part of the platform's limit after which that happens at the latest.
SLOW_ALL_PART = 0.375
# A pace below this part is not worth its memory; the task waits instead.
PACE_MIN_PERCENT = 10
# Paces are ordered in steps of this size.
PACE_STEP_PERCENT = 10
# Most that a pace rises between two samples.
RISE_MAX_PERCENT = 40
# Work that saves its progress is moved once its pace has been below this for so
# long; a move costs a restore, and a short wait is cheaper.
MOVE_BELOW_PERCENT = 60
MOVE_AFTER_S = 0.35


# Work at this share of its speed or more shows progress within the time below,
# also on a worker that is several times slower; progress is listed in percent.
STALL_PACE_PERCENT = 40
STALL_S = 2.2


@dataclass(slots=True, frozen=True)
class PaceOrder:
    """A run and the share of its speed that it may have from now on."""

    run: Run
    percent: int


class FleetPacer:
    """Decides paces from the lists of one worker.

    Parameters
    ----------
    interference : Interference
        Learns from each sample.
    target_violation_max_s : float
        How long a standing task may be over its target beside other work.
    """

    __slots__ = ("_interference", "_slow_all_s")

    def __init__(
        self, interference: Interference, target_violation_max_s: float
    ) -> None:
        self._interference = interference
        self._slow_all_s = min(SLOW_ALL_MAX_S, SLOW_ALL_PART * target_violation_max_s)

    def decide(self, room: WorkerRoom, now_s: float) -> list[PaceOrder]:
        """Take the worker's newest figures and return the changes of pace."""
        serving = [
            (run, step)
            for run, step in room.serving_runs()
            if run.percent == 100 and run.load > 0
        ]
        fills = [held for held in room.filling_runs() if held[0].percent >= 0]
        room.note_use(now_s)
        if not serving:
            return _free_all(fills)
        if not self._sample(room, serving, now_s):
            return []
        paces = {run.run_id: 100.0 for run, _ in fills}
        for run, step in serving:
            self._limit(room, run, step, fills, paces, now_s)
        return _changes(fills, paces)

    def to_move(self, room: WorkerRoom, now_s: float) -> list[tuple[Run, Step]]:
        """Return the slowed runs that would go on faster elsewhere, if there is room.

        Work that does not save its progress stays, because it would start anew.
        """
        found = []
        for run, step in room.filling_runs():
            if not 0 <= run.pace_percent < MOVE_BELOW_PERCENT:
                run.slowed_since_s = float("inf")
                continue
            if run.slowed_since_s == float("inf"):
                run.slowed_since_s = now_s
            is_slow = now_s - run.slowed_since_s >= MOVE_AFTER_S
            if is_slow and step.checkpoints and run.phase is RunPhase.RUNNING:
                found.append((run, step))
        return found

    def _sample(self, room: WorkerRoom, serving, now_s: float) -> bool:
        fresh = False
        for run, step in serving:
            if now_s - run.sampled_s < SAMPLE_PAUSE_S:
                continue
            fresh = True
            run.sampled_s = now_s
            excess = self._interference.note(
                run.run_id.task.job_id,
                step.image,
                run.load,
                step.latency_target_ms,
                room.beside,
                now_s,
            )
            run.excess += EXCESS_WEIGHT * (excess - run.excess)
            if run.load <= step.latency_target_ms:
                run.over_since_s = float("inf")
            elif run.over_since_s == float("inf"):
                run.over_since_s = now_s
        return fresh

    def _pressure_of_others(self, room: WorkerRoom, serving: Step) -> float:
        """Return the pressure of work that is neither serving nor paced."""
        return sum(
            self._interference.pressure(serving.image, step.image)
            * room.weigh(step.cores_milli)
            for _, step in room.runs.values()
            if not step.uses_leftover and not is_serving(step)
        )

    def _limit(
        self, room: WorkerRoom, run: Run, step: Step, fills, paces, now_s: float
    ) -> None:
        """Lower `paces` until the standing run is expected under its target."""
        if now_s - run.over_since_s >= self._slow_all_s:
            for fill, _ in fills:
                paces[fill.run_id] = 0.0
            return
        left = self._interference.pressure_limit(
            run.run_id.task.job_id,
            step.image,
            TARGET_PART,
            run.excess,
            now_s + AHEAD_S,
        )
        left -= self._pressure_of_others(room, step)
        shares = [
            (
                self._interference.pressure(step.image, spec.image)
                * room.weigh(spec.cores_milli),
                fill,
            )
            for fill, spec in fills
        ]
        # The least disturbing work keeps its speed.
        shares.sort(key=lambda row: (row[0], row[1].run_id.task))
        for share, fill in shares:
            wanted = share * paces[fill.run_id] / 100
            if wanted <= left:
                left -= wanted
                continue
            part = max(0.0, left) / share if share > 0 else 1.0
            paces[fill.run_id] = min(paces[fill.run_id], 100.0 * part)
            left = 0.0


def stalled_runs(room: WorkerRoom, now_s: float) -> list[Run]:
    """Return the runs that make no progress although they may.

    Answers workers on which tasks stand still while their health is good.
    """
    return [
        run
        for run, step in room.runs.values()
        if run.phase is RunPhase.RUNNING
        and not step.standing
        and not step.gang
        and 0 <= run.percent < 100
        and run.pace_percent >= STALL_PACE_PERCENT
        and now_s - max(run.progressed_s, run.paced_s) >= STALL_S
    ]


def _free_all(fills) -> list[PaceOrder]:
    return [PaceOrder(run, 100) for run, _ in fills if run.pace_percent != 100]


def _changes(fills, paces) -> list[PaceOrder]:
    orders = []
    for run, _ in fills:
        wanted = min(paces[run.run_id], max(0, run.pace_percent) + RISE_MAX_PERCENT)
        percent = int(wanted // PACE_STEP_PERCENT) * PACE_STEP_PERCENT
        if percent < PACE_MIN_PERCENT:
            percent = 0
        if percent != run.pace_percent:
            orders.append(PaceOrder(run, percent))
    return orders
