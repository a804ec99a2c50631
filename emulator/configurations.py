"""Versions of the configuration that an emulated operator writes, drawn from a seed."""

import random

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from standins.changing_queues import ChangingQueues

GROWTH_QUEUES = (300, 600)
STORM_VERSIONS = (8, 40)
STORM_PAUSE_S = (0.02, 0.2)
# A version whose queues have names of another type, between two valid ones.
INVALID_VERSION = '{"version": 1000000, "routes": [{"name": 7, "host": "invalid"}]}'
# Weights of the kinds of changes.
KINDS = {"alone": 6, "storm": 2, "grow": 1, "silent": 2, "invalid": 1}


class ConfigurationChanges:
    """Adds and drops queues, in single versions and in storms.

    Parameters
    ----------
    site : EmulatedSite
        Site whose operator writes the versions.
    seed : int
        Seed of the versions and their times.
    interval_s : float
        Mean time from one change to the next; 0 for no changes.
    """

    def __init__(self, site, seed: int, interval_s: float) -> None:
        self._site = site
        self._random = random.Random(f"configurations/{seed}")
        self._interval_s = interval_s
        self._queues = ChangingQueues(self._random)
        self._many: list[str] = []

    @inlineCallbacks
    def run(self, duration_s: float):
        """Write versions for `duration_s`, then one with all queues that ever were."""
        if not self._interval_s:
            return
        until_s = reactor.seconds() + duration_s
        names, weights = list(KINDS), list(KINDS.values())
        while reactor.seconds() < until_s:
            kind = self._random.choices(names, weights)[0]
            self._site.log.write("change", kind=kind)
            yield getattr(self, f"_{kind}")()
            pause_s = self._interval_s * self._random.uniform(0.2, 1.8)
            yield deferLater(reactor, pause_s)
        # The jobs of dropped queues can be read again.
        queues = self._queues
        self._site.configure([*queues.current, *queues.dropped, *self._many])

    def _alone(self) -> None:
        self._queues.change()
        self._site.configure([*self._queues.current, *self._many])

    @inlineCallbacks
    def _storm(self):
        for _ in range(self._random.randint(*STORM_VERSIONS)):
            self._alone()
            yield deferLater(reactor, self._random.uniform(*STORM_PAUSE_S))

    def _grow(self) -> None:
        """Add many queues, which stay."""
        if not self._many:
            count = self._random.randint(*GROWTH_QUEUES)
            self._many = [f"many{number}" for number in range(count)]
        self._alone()

    def _silent(self) -> None:
        """Change the configuration as all open connections to the store fall silent."""
        self._site.store.send("silence_connections")
        self._alone()

    @inlineCallbacks
    def _invalid(self):
        self._site.store.send("write", key="op/config", value=INVALID_VERSION)
        yield deferLater(reactor, self._random.uniform(0.0, 1.0))
        self._alone()
