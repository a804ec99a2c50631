"""Estimates of how much batch work slows a service on the same worker."""

from dataclasses import dataclass

BASE_WEIGHT = 0.05
PRIOR_SLOWDOWN = 0.02
PRIOR_VARIANCE = 0.01
DRIFT_VARIANCE = 1e-6
NOISE_VARIANCE = 0.02
CAUTION = 1.0


@dataclass(slots=True)
class Coefficient:
    """Slowdown a core of batch work at full load, and its uncertainty.

    Attributes
    ----------
    mean : float
        Relative slowdown of the service, a core of the class, at load 1.
    variance : float
        Variance of `mean`.
    """

    mean: float = PRIOR_SLOWDOWN
    variance: float = PRIOR_VARIANCE

    def cautious(self) -> float:
        """Return the mean plus one standard deviation."""
        return self.mean + CAUTION * self.variance**0.5


@dataclass(slots=True)
class Baseline:
    """Tail latency of a service alone, as a line over its load."""

    idle_s: float = 0.0
    load_s: float = 0.0
    samples: int = 0

    def at(self, load: float) -> float:
        """Return the latency at `load`."""
        return self.idle_s + self.load_s * load

    def note(self, load: float, latency_s: float) -> None:
        """Fit the line to one measurement by a normalised step."""
        self.samples += 1
        if self.samples == 1:
            self.idle_s = latency_s
            return
        weight = max(BASE_WEIGHT, 1 / self.samples)
        error_s = latency_s - self.at(load)
        norm = 1 + load * load
        self.idle_s += weight * error_s / norm
        self.load_s += weight * error_s * load / norm


class SlowdownEstimator:
    """Estimate slowdown by pair of service and task class.

    The model is ``latency = alone(load) * (1 + load * sum(coefficient *
    cores))``. Each late sample carries the cores that ran when it was taken,
    so it updates the coefficients by what was there and not by what is there
    now. The update is a Kalman step with one state a pair.
    """

    __slots__ = ("_alone", "_coefficients")

    def __init__(self) -> None:
        self._alone: dict[str, Baseline] = {}
        self._coefficients: dict[tuple[str, str], Coefficient] = {}

    def coefficient(self, service: str, task_class: str) -> Coefficient:
        """Return the estimate of a pair, the prior if it never met."""
        return self._coefficients.setdefault((service, task_class), Coefficient())

    def alone_s(self, service: str, load: float) -> float:
        """Return the estimated tail latency of a service without batch work."""
        return self._alone.setdefault(service, Baseline()).at(load)

    def note(
        self, service: str, latency_s: float, load: float, class_cores: dict[str, float]
    ) -> None:
        """Record one sample.

        Parameters
        ----------
        service : str
            Service measured.
        latency_s : float
            Its tail latency.
        load : float
            Its load then, 0 to 1.
        class_cores : dict of str to float
            Cores by task class that ran beside it then.
        """
        beside = {c: cores for c, cores in class_cores.items() if cores > 0.01}
        alone = self._alone.setdefault(service, Baseline())
        if not beside or not alone.samples:
            alone.note(load, latency_s)
            return
        self._update(service, latency_s / max(alone.at(load), 1e-9) - 1, load, beside)

    def _update(self, service, slowdown, load, beside) -> None:
        inputs = {c: cores * load for c, cores in beside.items()}
        pairs = {c: self.coefficient(service, c) for c in inputs}
        predicted = sum(pairs[c].mean * x for c, x in inputs.items())
        spread = NOISE_VARIANCE + sum(
            pairs[c].variance * x * x for c, x in inputs.items()
        )
        error = slowdown - predicted
        for task_class, x in inputs.items():
            pair = pairs[task_class]
            gain = pair.variance * x / spread
            pair.mean = max(0.0, pair.mean + gain * error)
            pair.variance = pair.variance * (1 - gain * x) + DRIFT_VARIANCE

    def predicted_s(
        self, service: str, load: float, class_cores: dict[str, float]
    ) -> float:
        """Return the latency to plan with, uncertainty included."""
        slowdown = sum(
            self.coefficient(service, c).cautious() * cores
            for c, cores in class_cores.items()
        )
        return self.alone_s(service, load) * (1 + load * slowdown)

    def cores_allowed(
        self, service: str, load: float, class_cores: dict[str, float], limit_s: float
    ) -> float:
        """Return the part of `class_cores` that keeps the latency under a limit.

        Returns
        -------
        float
            From 0 to 1.
        """
        alone_s = self.alone_s(service, load)
        with_batch_s = self.predicted_s(service, load, class_cores)
        if with_batch_s <= limit_s or with_batch_s <= alone_s:
            return 1.0
        return min(1.0, max(0.0, (limit_s - alone_s) / (with_batch_s - alone_s)))
