"""Run times learned from the runs that ended and those that still run.

Declared estimates are off by up to 90 %, and a few tasks take seven times as long as
their peers. The estimate of a step therefore starts from the declared one, moves to
what its queue and class of steps have shown, and then to the times of its own tasks,
which are alike. All of it is on a logarithmic scale and uses medians, so that one
outlier has bounded influence.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dogwoodlever._fleet_job import JobState, Occurrence, Run, StepState, Task
from dogwoodlever._fleet_types import Step

# A queue's learned times are used once this many of its steps and runs have ended and
# its estimates are off by the factor, in the median or in the median deviation.
STEPS_MIN = 8
RUNS_MIN = 20
ERROR_FACTOR_MIN = 1.25
# Lower factor for queues that use learned times, so that they do not alternate.
ERROR_FACTOR_KEPT = 1.15
# Steps at which what was observed and the next broader estimate have equal weight.
QUEUE_SHRINKAGE_STEPS = 4.0
CLASS_SHRINKAGE_STEPS = 8.0
# The same for a step's own tasks, which are alike.
STEP_SHRINKAGE_RUNS = 0.5
# Bounds of a learned time relative to the declared one. An estimate that is short by
# 90 %, of a task that takes seven times as long, is off by a factor of 70.
RATIO_MAX = 80.0
# Powers of the declared estimate that are tried; a power below 1 must reduce the
# median deviation by this factor.
POWERS = (1.0, 0.5, 0.0)
POWER_GAIN_MIN = 0.9
ROWS_PER_CLASS = 64
CLASSES_PER_QUEUE = 16
QUEUES_MAX = 32
ERRORS_PER_QUEUE = 128
STEP_TIMES_MAX = 64
# Share of the runs that end within `likely_max_s`, the number of errors at which the
# measured quantile has half weight, and the factor assumed before.
LIKELY_QUANTILE = 0.9
LIKELY_SHRINKAGE_RUNS = 10.0
LIKELY_FACTOR = 2.0
# Last errors of a worker from which its speed is learned, those needed, and the number
# at which they have half weight. A single outlier is cut to `SPEED_ERROR_MAX_LOG`, and
# smaller slowdowns than `SPEED_FACTOR_MIN` count as none.
SPEED_ERRORS = 16
SPEED_ERRORS_MIN = 4
SPEED_SHRINKAGE_RUNS = 4.0
SPEED_ERROR_MAX_LOG = math.log(3.0)
SPEED_FACTOR_MIN = 1.15
SPEEDS_MAX = 1024
# Progress in percent at which the rate of a run and its expected time have equal
# weight. Reports are whole percents and lag by up to one poll.
PROGRESS_HALF_WEIGHT = 10.0
# A run that is past its expected time needs this part of its time again.
OVERRUN_RATIO = 0.5
# A resumed run shows its full time only if it had at least this much left to do.
PARTIAL_LEFT_MIN = 50
REFRESH_INTERVAL_S = 0.5
# Smaller changes of a queue's estimates do not update those of each waiting step, which
# takes about 20 ms with 2,000 of them.
CHANGE_MIN_LOG = 0.05
LOG_INTERVAL_S = 4.0
# Bounds of the stored record, about 10 kB.
STORED_CLASSES_MAX = 64
STORED_ROWS_PER_CLASS = 16
STORED_TIME_MAX_MS = 10**8

# Times in ms, declared and actual, by queue and class of steps.
StoredTimes = dict[str, dict[str, list[tuple[int, int]]]]


def censored_quantile(rows: Iterable[tuple[float, bool]], quantile: float) -> float:
    """Return a quantile by the product-limit estimator.

    Parameters
    ----------
    rows : iterable of (float, bool)
        Values, and whether each is only a lower bound; not empty.
    quantile : float
        Share of the values that are at most the result.

    Returns
    -------
    float
        The largest value if the lower bounds leave the quantile open.
    """
    ordered = sorted(rows)
    surviving = 1.0
    at_risk = len(ordered)
    for value, is_censored in ordered:
        if not is_censored:
            surviving *= 1 - 1 / at_risk
            if surviving <= 1 - quantile + 1e-9:
                return value
        at_risk -= 1
    return ordered[-1][0]


def _median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _deviation(values: list[float]) -> float:
    """Return the median absolute deviation from the median."""
    center = _median(values)
    return _median(abs(value - center) for value in values)


def _declared_log(step: Step) -> float:
    return math.log(max(step.run_estimate_ms, 1) / 1000)


def step_class(step: Step) -> str:
    """Return the class of steps whose run times are learned together."""
    if step.image:
        return f"image:{step.image}"
    return f"size:{step.cores_milli.bit_length()}"


@dataclass(slots=True, frozen=True)
class ClassFit:
    """Run time of a class: ``intercept_log + power * log(declared)``.

    Attributes
    ----------
    weight : float
        Weight against the estimate by queue.
    """

    intercept_log: float
    power: float
    weight: float


@dataclass(slots=True, frozen=True)
class QueueRatio:
    """Median of actual to declared times of a queue, as a logarithm.

    Attributes
    ----------
    weight : float
        Weight against the declared estimate.
    """

    ratio_log: float = 0.0
    weight: float = 0.0


@dataclass(slots=True, frozen=True)
class LearnedRatio:
    """Ratio of actual to declared run times of a queue, for the log.

    Attributes
    ----------
    ratio, spread : float
        Median, and median deviation as a factor.
    likely : float
        Factor on expected times that most runs do not exceed.
    steps : int
        Number of steps observed.
    """

    queue: str
    ratio: float
    spread: float
    likely: float
    steps: int


@dataclass(slots=True)
class QueueTimes:
    """What was observed of one queue.

    Attributes
    ----------
    classes : dict of str to dict
        Logarithms of the declared and the median actual time of the last steps, by
        class and step.
    runs : int
        Number of runs that ended.
    ratio : QueueRatio
        Ratio of actual to declared times.
    deviation_log : float
        Its median deviation, as a logarithm.
    likely_log : float
        Logarithm of a factor on expected times that most runs do not exceed.
    fits : dict of str to ClassFit
        Run times by class.
    errors : deque of float
        Logarithms of actual to expected times of the last runs.
    version : int
        Increases when the ratio or the fits change.
    """

    classes: dict[str, dict[object, tuple[float, float]]] = field(default_factory=dict)
    runs: int = 0
    ratio: QueueRatio = QueueRatio()
    deviation_log: float = 0.0
    likely_log: float = math.log(LIKELY_FACTOR)
    fits: dict[str, ClassFit] = field(default_factory=dict)
    errors: deque[float] = field(default_factory=lambda: deque(maxlen=ERRORS_PER_QUEUE))
    is_active: bool = False
    version: int = 0
    logged_s: float = float("-inf")


class RunTimeModel:
    """Estimates run times of steps, the rest of runs, and the speed of workers.

    A queue's declared estimates are used until enough of its runs have shown them to
    be wrong.

    Parameters
    ----------
    observe_ratio : callable or None
        Called with a queue and the ratio of actual to declared time of each run.
    """

    __slots__ = (
        "_base_error_log",
        "_errors",
        "_observe_ratio",
        "_queues",
        "_refreshed_s",
        "_speeds",
        "_worker_errors",
    )

    def __init__(
        self, observe_ratio: Callable[[str, float], None] | None = None
    ) -> None:
        self._observe_ratio = observe_ratio
        self._queues: dict[str, QueueTimes] = {}
        self._refreshed_s = float("-inf")
        # Logarithms of actual to expected times, of all workers and by worker id.
        self._errors: deque[float] = deque(maxlen=4 * ERRORS_PER_QUEUE)
        self._worker_errors: dict[str, deque[float]] = {}
        self._base_error_log = 0.0
        self._speeds: dict[str, float] = {}

    # Estimates

    def is_learned(self, queue: str) -> bool:
        """Return whether learned times of a queue replace its declared estimates."""
        times = self._queues.get(queue)
        return times is not None and times.is_active

    def update(self, job: JobState, occurrence: Occurrence, now_s: float) -> float:
        """Update the expected times of an occurrence; return its time objective.

        The platform measures the objective by the true run times. Both are kept with
        the occurrence until the model or one of its steps changes.
        """
        times = self._queues.get(job.queue.name)
        version = times.version if times is not None and times.is_active else 0
        if occurrence.times_version == version:
            return occurrence.objective_s
        occurrence.times_version = version
        for step in occurrence.steps:
            step.expected_s = self._expected_s(times if version else None, step, now_s)
        occurrence.objective_s = job.objective_of(occurrence)
        return occurrence.objective_s

    def expected_s(self, step: StepState, now_s: float) -> float:
        """Return the median run time of a step's tasks."""
        occurrence = step.job.occurrences.get(step.occurrence)
        if occurrence is not None:
            self.update(step.job, occurrence, now_s)
        return step.expected_s

    def peers_s(self, step: StepState) -> float:
        """Return the median run time by the runs that ended only.

        A task whose run hangs must not count as long because of this run.
        """
        times = self._queues.get(step.job.queue.name)
        is_active = times is not None and times.is_active
        return self._expected_s(times if is_active else None, step, None)

    def likely_max_s(self, step: StepState) -> float:
        """Return a run time that nine of ten of a step's tasks do not exceed."""
        return self.peers_s(step) * self.likely_factor(step.job.queue.name)

    def likely_factor(self, queue: str) -> float:
        """Return a factor on expected times that nine of ten runs do not exceed."""
        times = self._queues.get(queue)
        if times is None or not times.is_active:
            return LIKELY_FACTOR
        return math.exp(max(times.likely_log, 0.0))

    def slowdown(self, worker_id: str) -> float:
        """Return a worker's run times relative to those of the others."""
        return self._speeds.get(worker_id, 1.0)

    def remaining_s(self, run: Run, step: StepState, now_s: float) -> float:
        """Return the time after which a run is expected to end."""
        if not self.is_learned(step.job.queue.name):
            return run.remaining_s(step.spec)
        expected_s = self.peers_s(step) * self.slowdown(run.worker_id)
        elapsed_s = now_s - run.started_s
        if run.is_partial:
            # Its start or the work it started with is not known.
            left = (100 - max(run.percent, 0)) / 100
            since_s = run.progressed_s if run.percent >= 0 else run.started_s
            by_time_s = expected_s * left - (now_s - since_s)
        else:
            by_time_s = expected_s - elapsed_s
        if by_time_s <= 0:
            by_time_s = elapsed_s * OVERRUN_RATIO
        start_s, start_percent = run.started_s, 0
        if run.is_partial:
            start_s, start_percent = run.first_percent_s, run.first_percent
        gained = run.percent - start_percent
        if run.percent < 0 or gained <= 0:
            return by_time_s
        percent_s = (run.progressed_s - start_s) / gained
        by_progress_s = percent_s * (100 - run.percent) - (now_s - run.progressed_s)
        weight = gained / (gained + PROGRESS_HALF_WEIGHT)
        return weight * max(by_progress_s, 0.0) + (1 - weight) * by_time_s

    def _expected_s(
        self, times: QueueTimes | None, step: StepState, now_s: float | None
    ) -> float:
        """Return the median run time, with the runs so far unless `now_s` is None."""
        declared_s = step.spec.run_estimate_ms / 1000
        if times is None or step.spec.standing:
            return declared_s
        expected_log = self._class_log(times, step.spec)
        own = [(value, False) for value in step.times_log]
        if now_s is not None:
            own += _running_rows(step, now_s)
        if own:
            count = len(step.times_log)
            own_log = censored_quantile(own, 0.5)
            if count:
                weight = count / (count + STEP_SHRINKAGE_RUNS)
                expected_log = weight * own_log + (1 - weight) * expected_log
            elif own_log > expected_log:
                # Half of its runs have taken longer than expected already.
                expected_log = own_log
        limit_log = math.log(RATIO_MAX)
        declared_log = _declared_log(step.spec)
        error_log = expected_log - declared_log
        error_log = min(max(error_log, -limit_log), limit_log)
        return math.exp(declared_log + error_log)

    @staticmethod
    def _class_log(times: QueueTimes, step: Step) -> float:
        declared_log = _declared_log(step)
        by_queue = declared_log + times.ratio.weight * times.ratio.ratio_log
        fit = times.fits.get(step_class(step))
        if fit is None:
            return by_queue
        by_class = fit.intercept_log + fit.power * declared_log
        return fit.weight * by_class + (1 - fit.weight) * by_queue

    # Observations

    def record_end(self, task: Task, run: Run, now_s: float) -> None:
        """Record a run that ended with its task done.

        Best-effort runs are throttled and standing ones have no end, so neither
        shows a run time.
        """
        step = task.step
        if step.spec.standing or step.spec.uses_leftover:
            return
        took_s = _full_time_s(run, now_s)
        if took_s is None or took_s <= 0:
            return
        queue = step.job.queue.name
        times = self._queues.get(queue)
        if times is None:
            if len(self._queues) >= QUEUES_MAX:
                return
            times = self._queues[queue] = QueueTimes()
        took_log = math.log(max(took_s, 0.001))
        declared_log = _declared_log(step.spec)
        if self._observe_ratio is not None and step.spec.run_estimate_ms:
            self._observe_ratio(queue, math.exp(took_log - declared_log))
        error_log = took_log - math.log(
            max(self._expected_s(times, step, now_s), 0.001)
        )
        if step.times_log or step_class(step.spec) in times.fits:
            times.errors.append(error_log)
            self._record_speed(run.worker_id, error_log)
        times.runs += 1
        if len(step.times_log) < STEP_TIMES_MAX:
            step.times_log.append(took_log)
        self._record_step(times, step, declared_log)
        occurrence = step.job.occurrences.get(step.occurrence)
        if occurrence is not None:
            occurrence.times_version = -1

    @staticmethod
    def _record_step(times: QueueTimes, step: StepState, declared_log: float) -> None:
        name = step_class(step.spec)
        rows = times.classes.get(name)
        if rows is None:
            if len(times.classes) >= CLASSES_PER_QUEUE:
                del times.classes[next(iter(times.classes))]
            rows = {}
        else:
            # The classes are kept in the order of their last use.
            del times.classes[name]
        times.classes[name] = rows
        rows[step.step_id] = (declared_log, _median(step.times_log))
        if len(rows) > ROWS_PER_CLASS:
            del rows[next(iter(rows))]

    def _record_speed(self, worker_id: str, error_log: float) -> None:
        error_log = min(max(error_log, -SPEED_ERROR_MAX_LOG), SPEED_ERROR_MAX_LOG)
        self._errors.append(error_log)
        errors = self._worker_errors.get(worker_id)
        if errors is None:
            if len(self._worker_errors) >= SPEEDS_MAX:
                del self._worker_errors[next(iter(self._worker_errors))]
            errors = self._worker_errors[worker_id] = deque(maxlen=SPEED_ERRORS)
        errors.append(error_log)

    def refresh(self, jobs: Iterable[JobState], now_s: float) -> list[LearnedRatio]:
        """Update the estimates by queue and class at intervals.

        Parameters
        ----------
        jobs : iterable of JobState
            Active jobs, whose running tasks are lower bounds of run times.
        now_s : float
            Time on the scheduler's clock.

        Returns
        -------
        list of LearnedRatio
            Queues with learned times that are due to be logged.
        """
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S or not self._queues:
            return []
        self._refreshed_s = now_s
        running = self._running_steps(jobs, now_s)
        learned = []
        for queue, times in self._queues.items():
            self._refresh_queue(queue, times, running)
            if times.is_active and now_s - times.logged_s >= LOG_INTERVAL_S:
                times.logged_s = now_s
                learned.append(
                    LearnedRatio(
                        queue,
                        math.exp(times.ratio.ratio_log),
                        math.exp(times.deviation_log),
                        math.exp(times.likely_log),
                        sum(len(rows) for rows in times.classes.values()),
                    )
                )
        self._refresh_speeds()
        return learned

    def _running_steps(
        self, jobs: Iterable[JobState], now_s: float
    ) -> dict[tuple[str, str], list[tuple[float, float]]]:
        """Return declared and elapsed times of steps of which no run has ended.

        Occurrences with runs are marked as outdated, since the runs have gone on.
        """
        running: dict[tuple[str, str], list[tuple[float, float]]] = {}
        for job in jobs:
            if job.queue.name not in self._queues:
                continue
            for occurrence in job.occurrences.values():
                for step in occurrence.steps:
                    if not step.worker_tasks:
                        continue
                    if step.spec.standing or step.spec.uses_leftover:
                        continue
                    occurrence.times_version = -1
                    if step.times_log:
                        continue
                    rows = _running_rows(step, now_s)
                    if rows:
                        elapsed_log = _median(value for value, _ in rows)
                        key = (job.queue.name, step_class(step.spec))
                        row = (_declared_log(step.spec), elapsed_log)
                        running.setdefault(key, []).append(row)
        return running

    def _refresh_queue(self, queue: str, times: QueueTimes, running) -> None:
        ratios: list[tuple[float, bool]] = []
        fits = {}
        for name, rows in times.classes.items():
            ended = [(*row, False) for row in rows.values()]
            bounds = running.get((queue, name), [])
            if len(ended) >= ROWS_PER_CLASS:
                # Steps that started long before the oldest of the ended ones would
                # outweigh those that have ended since.
                bounds = bounds[-len(ended) :]
            samples = ended + [(*row, True) for row in bounds]
            ratios += [
                (actual - declared, is_bound) for declared, actual, is_bound in samples
            ]
            fits[name] = _fit(samples, len(ended))
        ended_ratios = [ratio for ratio, is_bound in ratios if not is_bound]
        if not ended_ratios:
            return
        count = len(ended_ratios)
        ratio = QueueRatio(
            censored_quantile(ratios, 0.5), count / (count + QUEUE_SHRINKAGE_STEPS)
        )
        times.deviation_log = _deviation(ended_ratios)
        if times.errors:
            likely_log = censored_quantile(
                ((error, False) for error in times.errors), LIKELY_QUANTILE
            )
            weight = len(times.errors) / (len(times.errors) + LIKELY_SHRINKAGE_RUNS)
            prior_log = math.log(LIKELY_FACTOR)
            times.likely_log = weight * likely_log + (1 - weight) * prior_log
        factor = ERROR_FACTOR_KEPT if times.is_active else ERROR_FACTOR_MIN
        is_wrong = max(abs(ratio.ratio_log), times.deviation_log) > math.log(factor)
        is_enough = count >= STEPS_MIN and times.runs >= RUNS_MIN
        times.is_active = is_wrong and is_enough
        if _has_changed(times, ratio, fits):
            times.ratio = ratio
            times.fits = fits
            times.version += 1

    def _refresh_speeds(self) -> None:
        self._speeds.clear()
        if not self._errors:
            return
        self._base_error_log = _median(self._errors)
        for worker_id, errors in self._worker_errors.items():
            if len(errors) < SPEED_ERRORS_MIN:
                continue
            weight = len(errors) / (len(errors) + SPEED_SHRINKAGE_RUNS)
            slowdown_log = weight * (_median(errors) - self._base_error_log)
            if abs(slowdown_log) > math.log(SPEED_FACTOR_MIN):
                self._speeds[worker_id] = math.exp(slowdown_log)

    # Record in the store

    def states(self) -> StoredTimes:
        """Return the newest observations, to be stored."""
        stored: StoredTimes = {}
        left = STORED_CLASSES_MAX
        for queue, times in self._queues.items():
            for name, rows in reversed(times.classes.items()):
                if not left:
                    return stored
                left -= 1
                stored.setdefault(queue, {})[name] = [
                    (_to_ms(declared), _to_ms(actual))
                    for declared, actual in list(rows.values())[-STORED_ROWS_PER_CLASS:]
                ]
        return stored

    def restore(self, stored: StoredTimes) -> None:
        """Start from the observations that a former leader stored.

        Raises
        ------
        ValueError
            If a time is out of range; nothing is restored then.
        """
        for classes in stored.values():
            for rows in classes.values():
                for row in rows:
                    if not all(0 < time_ms <= STORED_TIME_MAX_MS for time_ms in row):
                        raise ValueError(f"run time out of range: {row}")
        for queue, classes in list(stored.items())[:QUEUES_MAX]:
            times = self._queues.setdefault(queue, QueueTimes())
            for name, rows in list(classes.items())[:CLASSES_PER_QUEUE]:
                newest = rows[-STORED_ROWS_PER_CLASS:]
                if not newest:
                    continue
                times.classes[name] = {
                    number: (math.log(declared / 1000), math.log(actual / 1000))
                    for number, (declared, actual) in enumerate(newest)
                }
                # The number of runs is not stored; the steps suffice.
                times.runs = RUNS_MIN


def _has_changed(
    times: QueueTimes, ratio: QueueRatio, fits: dict[str, ClassFit]
) -> bool:
    """Return whether estimates change by so much that all steps need new ones."""
    old_ratio = times.ratio
    if abs(ratio.ratio_log - old_ratio.ratio_log) > CHANGE_MIN_LOG:
        return True
    if abs(ratio.weight - old_ratio.weight) > CHANGE_MIN_LOG:
        return True
    if fits.keys() != times.fits.keys():
        return True
    for name, fit in fits.items():
        old = times.fits[name]
        if fit.power != old.power or abs(fit.weight - old.weight) > CHANGE_MIN_LOG:
            return True
        if abs(fit.intercept_log - old.intercept_log) > CHANGE_MIN_LOG:
            return True
    return False


def _to_ms(time_log: float) -> int:
    return min(max(1, round(1000 * math.exp(time_log))), STORED_TIME_MAX_MS)


def _fit(samples: list[tuple[float, float, bool]], ended: int) -> ClassFit:
    """Return the fit to (declared, actual, is a lower bound), of which some ended."""
    power = POWERS[0]
    least = float("inf")
    for candidate in POWERS:
        deviation = _deviation(
            [
                actual - candidate * declared
                for declared, actual, is_bound in samples
                if not is_bound
            ]
        )
        if deviation < least * POWER_GAIN_MIN:
            power, least = candidate, deviation
    intercept_log = censored_quantile(
        (
            (actual - power * declared, is_bound)
            for declared, actual, is_bound in samples
        ),
        0.5,
    )
    return ClassFit(intercept_log, power, ended / (ended + CLASS_SHRINKAGE_STEPS))


def _running_rows(step: StepState, now_s: float) -> list[tuple[float, bool]]:
    """Return the logarithms of the times of a step's runs so far, as lower bounds."""
    if not step.worker_tasks:
        return []
    return [
        (math.log(now_s - run.started_s), True)
        for task in step.tasks
        for run in task.runs.values()
        if not run.is_partial and now_s - run.started_s > 0.001
    ]


def _full_time_s(run: Run, now_s: float) -> float | None:
    """Return the time of a whole task, or None if the run does not show it."""
    if not run.is_partial:
        return now_s - run.started_s
    left = 100 - run.first_percent
    if run.first_percent < 0 or left < PARTIAL_LEFT_MIN:
        return None
    return (now_s - run.first_percent_s) * 100 / left
