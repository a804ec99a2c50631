"""Moving estimate of a service time."""

MEAN_WEIGHT = 0.05
DEVIATION_WEIGHT = 0.1


class ServiceTimeEstimate:
    """Exponentially weighted mean and mean deviation of a service time.

    Parameters
    ----------
    initial_s : float
        Mean assumed before the first response.
    """

    __slots__ = ("_has_samples", "deviation_s", "mean_s")

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.deviation_s = 0.0
        self._has_samples = False

    def observe(self, duration_s: float) -> None:
        """Record the duration of a completed attempt."""
        if not self._has_samples:
            self._has_samples = True
            self.mean_s = duration_s
            self.deviation_s = duration_s / 2
            return
        error_s = duration_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)

    def likely_max_s(self) -> float:
        """Return a duration that most responses stay below."""
        return self.mean_s + self.deviation_s

    def attempt_timeout_s(self) -> float:
        """Return the timeout after which a retry elsewhere is likely faster."""
        return 4 * self.mean_s + 8 * self.deviation_s
