"""Versions of the configuration that an emulated operator writes, drawn from a seed."""

import random

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from standins.changing_queues import ChangingQueues
from standins.invalid_versions import (
    INVALID_BYTES,
    INVALID_VERSIONS,
    UNUSUAL_VALID_VERSIONS,
)

GROWTH_QUEUES = (300, 600)
STORM_VERSIONS = (8, 40)
STORM_PAUSE_S = (0.02, 0.2)
# For how long an invalid version stands; the callers ask all daemons meanwhile.
INVALID_STANDS_S = (1.5, 2.5)
# Weights of the kinds of changes.
KINDS = {
    "alone": 6,
    "storm": 2,
    "grow": 1,
    "silent": 2,
    "invalid": 1,
    "invalid_forms": 2,
    "unusual": 2,
    "move": 3,
    "service": 2,
    "fields": 1,
    "limits": 1,
}
# The form of the kind `invalid`.
INVALID_FORM = "name is a number"


class ConfigurationChanges:
    """Writes versions, alone and in storms, valid, unusual and invalid ones.

    Parameters
    ----------
    site : EmulatedSite
        Site whose operator writes the versions.
    seed : int
        Seed of the versions and their times.
    interval_s : float
        Mean time from one change to the next; 0 for no changes.
    kinds : tuple of str
        Kinds of changes, all if empty; ``-NAME`` leaves one out.
    """

    def __init__(
        self, site, seed: int, interval_s: float, kinds: tuple[str, ...] = ()
    ) -> None:
        self._site = site
        self._random = random.Random(f"configurations/{seed}")
        self._interval_s = interval_s
        self._queues = ChangingQueues(self._random)
        self._many: list[str] = []
        self._limit_values: dict[str, int] = {}
        left_out = {name[1:] for name in kinds if name.startswith("-")}
        chosen = {name for name in kinds if not name.startswith("-")} or set(KINDS)
        self._weights = {
            name: weight for name, weight in KINDS.items() if name in chosen - left_out
        }
        self._changes = {name: getattr(self, f"_{name}") for name in KINDS}
        # Each form comes once before any comes again.
        self._forms: dict[str, list[str]] = {"invalid_forms": [], "unusual": []}

    @inlineCallbacks
    def run(self, duration_s: float):
        """Write versions for `duration_s`, then one with all queues that ever were."""
        if not self._interval_s:
            return
        until_s = reactor.seconds() + duration_s
        names, weights = list(self._weights), list(self._weights.values())
        while reactor.seconds() < until_s:
            kind = self._random.choices(names, weights)[0]
            self._site.log.write("change", kind=kind)
            yield self._changes[kind]()
            pause_s = self._interval_s * self._random.uniform(0.2, 1.8)
            yield deferLater(reactor, pause_s)
        # The jobs of dropped queues can be read again.
        self._write(self._queues.dropped)

    def _write(self, more: list[str] = (), form: str = "") -> None:
        """Write a version with the current queues and more."""
        queues = [*self._queues.current, *more, *self._many]
        self._site.configure(
            form, queues=queues, fields=self._queues.fields, limits=self._limit_values
        )

    def _alone(self) -> None:
        self._queues.change()
        self._write()

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

    def _invalid(self):
        return self._write_between(INVALID_FORM)

    def _invalid_forms(self):
        return self._write_between(
            self._draw_form("invalid_forms", (*INVALID_VERSIONS, *INVALID_BYTES))
        )

    @inlineCallbacks
    def _write_between(self, form: str):
        """Write an invalid version between two valid ones."""
        self._site.write_invalid(form)
        yield deferLater(reactor, self._random.uniform(*INVALID_STANDS_S))
        self._alone()

    def _unusual(self) -> None:
        self._queues.change()
        self._write(form=self._draw_form("unusual", UNUSUAL_VALID_VERSIONS))

    def _move(self) -> None:
        self._queues.change_place()
        self._write()

    def _service(self) -> None:
        self._queues.change_service()
        self._write()

    def _fields(self) -> None:
        self._queues.change_fields()
        self._write()

    def _limits(self) -> None:
        rng = self._random
        self._limit_values = {
            "max_header_bytes": rng.randint(4_000, 12_000),
            "max_body_bytes": rng.randint(20_000, 60_000),
            "header_timeout_ms": rng.randint(3_000, 8_000),
            "idle_timeout_ms": rng.randint(20_000, 60_000),
        }
        self._write()

    def _draw_form(self, kind: str, every) -> str:
        if not self._forms[kind]:
            self._forms[kind] = self._random.sample(list(every), len(every))
        return self._forms[kind].pop()
