"""What a daemon knows of the operators' configuration, and how old that is."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_types import FleetConfiguration
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._logs import log_event

# Time from one read beside the watch to the next one.
READ_INTERVAL_S = 0.1


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
    apply_limit_s : float
        Time in which a version has to be in force.
    read_newest : callable
        Reads the newest version; returns a Deferred that fires once it is applied.
    """

    def __init__(
        self,
        get_configuration: Callable[[], FleetConfiguration | None],
        watcher: PrefixWatcher,
        clock,
        unix_s: Callable[[], float],
        metrics: FleetMetrics,
        apply_limit_s: float,
        read_newest: Callable[[], Deferred],
    ) -> None:
        self._get_configuration = get_configuration
        self._watcher = watcher
        self._clock = clock
        self._unix_s = unix_s
        self._metrics = metrics
        self._apply_limit_s = apply_limit_s
        self._read_newest = read_newest
        # Highest version that another daemon has named, and the time at which this
        # daemon last had to know whether it can put it into force.
        self._seen_version = 0
        self._asked_s = float("-inf")
        # When the last read beside the watch that succeeded was sent.
        self._read_s = float("-inf")
        self._is_reading = False
        self._version: int | None = None
        self._since_s = clock.seconds()
        metrics.configuration_age_s.set_function(self.age_s)

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        configuration = self._get_configuration()
        return 0 if configuration is None else configuration.version

    def set_apply_limit(self, apply_limit_s: float) -> None:
        """Set the time in which a version has to be in force."""
        self._apply_limit_s = apply_limit_s

    def age_s(self) -> float:
        """Return how long ago the version in force was certainly the newest one."""
        return self._clock.seconds() - self._watcher.sent_s

    def is_outdated(self) -> bool:
        """Return whether a newer version may have to be in force already.

        The store has not responded for as long as a version may take to be in force, so
        that neither the watch nor the call after it has reported a change.
        """
        silent_s = self._clock.seconds() - self._watcher.responded_s
        return silent_s > self._apply_limit_s

    def may_act_by(self, version: int, seen_s: float) -> bool:
        """Return whether this daemon may act by a version that another one follows.

        It may once it has put that version, or a later one, into force itself: what it
        orders before that would contradict its own answers. A version that it cannot
        put into force counts as known once the record was read after `seen_s`, when the
        version was seen. An answer to a watch does not suffice: watches may hear
        nothing of a change for a while.
        """
        return version <= self.version or self._read_s >= seen_s

    def on_version_seen(
        self, version: int, source: str, must_know: bool = False
    ) -> None:
        """Read the newest version if another daemon has a newer one in force.

        Parameters
        ----------
        version : int
            Version at the other daemon.
        source : str
            The daemon, or what has named the version.
        must_know : bool
            Whether something waits for `may_act_by`, also if a version that cannot be
            put into force was read before.
        """
        if version <= self.version:
            return
        if version > self._seen_version:
            log_event(
                "configuration.behind",
                version=self.version,
                seen=version,
                source=source,
            )
        if version > self._seen_version or must_know:
            self._seen_version = max(version, self._seen_version)
            self._asked_s = self._clock.seconds()
            self._read_until_known()

    @inlineCallbacks
    def _read_until_known(self):
        """Read the record until a read that was sent after the last question succeeds.

        Ends as soon as the version that was seen is in force, also by the watch.
        """
        if self._is_reading:
            return
        self._is_reading = True
        while self._seen_version > self.version and self._read_s < self._asked_s:
            sent_s = self._clock.seconds()
            try:
                yield self._read_newest()
                self._read_s = sent_s
            except Exception as error:
                # Whatever has failed, the version that was seen has to be read.
                log_event("configuration.unread", why=repr(error)[:160])
            yield deferLater(self._clock, READ_INTERVAL_S)
        self._is_reading = False

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
