"""What a daemon knows of the operators' configuration, and how old that is."""

from collections.abc import Callable

from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_types import FleetConfiguration
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._logs import log_event


class ConfigurationKnowledge:
    """The version in force at this daemon, since when, and when it was confirmed.

    Parameters
    ----------
    get_configuration : callable
        Returns the `FleetConfiguration` in force, None before the first.
    watcher : PrefixWatcher
        Watches the configuration's record.
    clock : IReactorTime
        Reactor clock, which must include suspended time.
    unix_s : callable
        Returns Unix time in seconds.
    metrics : FleetMetrics
        Metrics of the version in force.
    """

    def __init__(
        self,
        get_configuration: Callable[[], FleetConfiguration | None],
        watcher: PrefixWatcher,
        clock,
        unix_s: Callable[[], float],
        metrics: FleetMetrics,
    ) -> None:
        self._get_configuration = get_configuration
        self._watcher = watcher
        self._clock = clock
        self._unix_s = unix_s
        self._metrics = metrics
        self._version: int | None = None
        self._since_s = clock.seconds()
        metrics.configuration_age_s.set_function(self.age_s)

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        configuration = self._get_configuration()
        return 0 if configuration is None else configuration.version

    def age_s(self) -> float:
        """Return how long ago the version in force was certainly the newest one."""
        return self._clock.seconds() - self._watcher.sent_s

    def on_change(self) -> None:
        """Report the version in force if it has changed."""
        if self.version == self._version:
            return
        now_s = self._clock.seconds()
        fields = {}
        if self._version is not None:
            # The former version was the newest one when the store last responded, so
            # the new one is applied at most this long after its write.
            lag_max_s = now_s - self._watcher.responded_s
            self._metrics.configuration_lag_s.observe(lag_max_s)
            fields = {
                "lag_max_s": lag_max_s,
                "former_version": self._version,
                "former_lasted_s": now_s - self._since_s,
            }
        self._version = self.version
        self._since_s = now_s
        self._metrics.configuration_version.set(self._version)
        self._metrics.configuration_since_unix_s.set(self._unix_s())
        log_event("configuration.in-force", version=self._version, **fields)
