"""Estimation of how much batch work slows a service on the same worker."""

import math
from dataclasses import dataclass

import msgspec

IDLE = "idle"
LOAD = "load"
NOISE_RATIO = 0.08
PRIOR_RATIO = 0.02
PRIOR_DEVIATION_RATIO = 0.1
DRIFT_RATIO = 0.002
OUTLIER_SIGMAS = 3.0
OUTLIER_INFLATION = 1.5
CAUTION_SIGMAS = 1.0
# Covariance with a sample, as a ratio of the squared scale, below which it is ignored.
CORRELATION_RATIO_MIN = 1e-5


@dataclass(slots=True, frozen=True)
class Coefficient:
    """Latency that a core of a task class adds to a service at load 1.

    Attributes
    ----------
    mean_s, deviation_s : float
        Estimate and its standard deviation, in seconds per core.
    """

    mean_s: float
    deviation_s: float

    def upper_bound_s(self) -> float:
        """Return the value used for planning, with a margin for the uncertainty."""
        return max(0.0, self.mean_s + CAUTION_SIGMAS * self.deviation_s)


class ModelState(msgspec.Struct, frozen=True):
    """Learned state of a latency model, as it is stored.

    Attributes
    ----------
    inputs : list of str
        Names of the inputs, in the order of `mean` and `covariance`.
    """

    scale_s: float
    inputs: list[str]
    mean: list[float]
    covariance: list[list[float]]

    @property
    def is_consistent(self) -> bool:
        """Whether its lists belong together and all values are finite."""
        size = len(self.inputs)
        values = [self.scale_s, *self.mean]
        for row in self.covariance:
            values.extend(row)
        return (
            len({IDLE, LOAD, *self.inputs}) == size == len(self.mean)
            and [len(row) for row in self.covariance] == [size] * size
            and self.scale_s > 0
            and all(map(math.isfinite, values))
        )


class LatencyModel:
    """Linear model of one service's tail latency, fitted by a Kalman filter.

    The latency is ``idle + load * (slope + sum(coefficient * cores))``. The
    state is the idle latency, the slope, and a coefficient for each class seen.
    An outlier raises the uncertainty of what it contains, so that a shift is
    learned within tens of samples.

    Parameters
    ----------
    scale_s : float
        First measured latency; the priors are ratios of it.
    """

    __slots__ = ("_covariance", "_index", "_mean", "_scale_s")

    def __init__(self, scale_s: float) -> None:
        self._scale_s = scale_s
        self._index: dict[str, int] = {}
        self._mean: list[float] = []
        self._covariance: list[list[float]] = []
        self._add(IDLE, scale_s / 2, scale_s)
        self._add(LOAD, scale_s / 4, scale_s)

    def state(self) -> ModelState:
        """Return the learned state."""
        return ModelState(
            self._scale_s,
            list(self._index),
            list(self._mean),
            [list(row) for row in self._covariance],
        )

    @classmethod
    def restored(cls, state: ModelState) -> "LatencyModel":
        """Return a model with a stored state."""
        model = cls(state.scale_s)
        model._index = {name: position for position, name in enumerate(state.inputs)}
        model._mean = list(state.mean)
        model._covariance = [list(row) for row in state.covariance]
        return model

    def _add(self, name: str, mean_s: float, deviation_s: float) -> None:
        self._index[name] = len(self._mean)
        self._mean.append(mean_s)
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([0.0] * len(self._mean))
        self._covariance[-1][-1] = deviation_s**2

    def _add_class(self, task_class: str) -> None:
        if task_class not in self._index:
            deviation_s = PRIOR_DEVIATION_RATIO * self._scale_s
            self._add(task_class, PRIOR_RATIO * self._scale_s, deviation_s)

    def _inputs(
        self, load: float, class_cores: dict[str, float]
    ) -> list[tuple[int, float]]:
        """Return the inputs of a sample that are not zero, by index."""
        inputs = [(self._index[IDLE], 1.0), (self._index[LOAD], load)]
        for task_class, cores in class_cores.items():
            inputs.append((self._index[task_class], cores * load))
        return [row for row in inputs if row[1]]

    def observe(self, latency_s: float, load: float, class_cores: dict[str, float]):
        """Update the state with one sample."""
        for task_class in class_cores:
            self._add_class(task_class)
        inputs = self._inputs(load, class_cores)
        spread = [_dot(row, inputs) for row in self._covariance]
        noise = (NOISE_RATIO * max(latency_s, self._scale_s / 2)) ** 2
        variance = _dot(spread, inputs) + noise
        error_s = latency_s - _dot(self._mean, inputs)
        if error_s**2 > OUTLIER_SIGMAS**2 * variance:
            self._inflate(inputs)
            spread = [_dot(row, inputs) for row in self._covariance]
            variance = _dot(spread, inputs) + noise
        self._update(spread, variance, error_s)

    def _update(self, spread: list[float], variance: float, error_s: float) -> None:
        # A sample says little of most classes: those that are hardly correlated with
        # what it contains are left as they are.
        limit = CORRELATION_RATIO_MIN * self._scale_s**2
        related = [(i, value) for i, value in enumerate(spread) if abs(value) > limit]
        for i, value in related:
            gain = value / variance
            self._mean[i] += gain * error_s
            row = self._covariance[i]
            for j, other in related:
                row[j] -= gain * other
        drift = (DRIFT_RATIO * self._scale_s) ** 2
        for i, row in enumerate(self._covariance):
            row[i] = min(row[i] + drift, self._scale_s**2)

    def _inflate(self, inputs: list[tuple[int, float]]) -> None:
        """Inflate the uncertainty of what a sample contains, at most to `_scale_s`."""
        for i, _ in inputs:
            row = self._covariance[i]
            row[i] = min(row[i] * OUTLIER_INFLATION + 1e-12, self._scale_s**2)

    def baseline_s(self, load: float) -> float:
        """Return the latency without batch work."""
        return self._mean[self._index[IDLE]] + self._mean[self._index[LOAD]] * load

    def coefficient(self, task_class: str) -> Coefficient:
        """Return the estimate for a class, or the prior if it was never seen."""
        self._add_class(task_class)
        index = self._index[task_class]
        variance = max(0.0, self._covariance[index][index])
        return Coefficient(self._mean[index], variance**0.5)


def _dot(row: list[float], inputs: list[tuple[int, float]]) -> float:
    total = 0.0
    for index, value in inputs:
        total += row[index] * value
    return total


class SlowdownEstimator:
    """Estimates by pair of service and task class, from delayed samples.

    Each sample contains the cores that were in use when it was taken, so a late
    sample is attributed to those and not to the ones in use now.

    Parameters
    ----------
    scale_s : float
        Usual latency, of which the priors are ratios; 0 to use each service's first
        sample.
    """

    __slots__ = ("_models", "_scale_s")

    def __init__(self, scale_s: float = 0.0) -> None:
        self._models: dict[str, LatencyModel] = {}
        self._scale_s = scale_s

    def states(self) -> dict[str, ModelState]:
        """Return the learned state, by service."""
        return {service: model.state() for service, model in self._models.items()}

    def restore(self, states: dict[str, ModelState]) -> list[str]:
        """Restore the state of an earlier estimator; return the unusable ones."""
        unusable = []
        for service, state in states.items():
            if state.is_consistent:
                self._models[service] = LatencyModel.restored(state)
            else:
                unusable.append(service)
        return unusable

    def observe(
        self, service: str, latency_s: float, load: float, class_cores: dict[str, float]
    ) -> None:
        """Record one sample.

        Parameters
        ----------
        service : str
            Measured service.
        latency_s : float
            Its tail latency.
        load : float
            Its load at that time, 0 to 1.
        class_cores : dict of str to float
            Co-located cores in use at that time, by task class.
        """
        model = self._models.get(service)
        if model is None:
            scale_s = self._scale_s or max(latency_s, 1e-6)
            model = self._models[service] = LatencyModel(scale_s)
        model.observe(latency_s, load, class_cores)

    def coefficient(self, service: str, task_class: str) -> Coefficient:
        """Return the latency that a core of a class adds to a service."""
        model = self._models.get(service)
        if model is None:
            return Coefficient(0.0, 0.0)
        return model.coefficient(task_class)

    def baseline_s(self, service: str, load: float, default_s: float) -> float:
        """Return the latency without batch work, `default_s` before any sample."""
        model = self._models.get(service)
        return default_s if model is None else model.baseline_s(load)

    def headroom_s(self, service: str, load: float, limit_s: float) -> float:
        """Return the latency that batch work may add under a limit, at load 1."""
        model = self._models.get(service)
        if model is None:
            return 0.0
        return max(0.0, limit_s - model.baseline_s(load)) / max(load, 0.05)
