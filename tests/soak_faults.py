"""Faults of a soak: drawn from a seed, in series and overlapping."""

import random
import signal
from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from standins.faulty_proxy import LinkFault
from tests.soak_site import SoakSite

PAUSE_S = (0.1, 1.6)
LATE_START_MAX_S = 9.0
LATE_WRITE_MAX_S = 5.0
EXIT_POLL_S = 0.05
LINK_FAULTS = (
    LinkFault.SILENT,
    LinkFault.ANSWERS_LOST,
    LinkFault.OPEN_SILENT,
    LinkFault.RESET,
)


class SoakFaults:
    """Injects faults until it is told to stop; each heals by itself.

    Parameters
    ----------
    site : SoakSite
        What is struck.
    seed : int
        Seed of the faults, their targets and times.
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._until_s = 0.0
        self._under_way = 0
        self._busy: set[str] = set()
        self.struck: list[str] = []
        self._kinds: tuple[Callable, ...] = (
            self._kill,
            self._kill,
            self._kill_leader,
            self._kill_leader,
            self._kill_all,
            self._freeze,
            self._freeze,
            self._terminate,
            self._reload,
            self._cut_from_store,
            self._cut_from_store,
            self._store_cut,
            self._store_busy,
            self._store_slow,
            self._answers_lost,
            self._compact,
            self._cut_worker,
            self._cut_worker,
            self._slow_worker,
            self._crash_worker,
            self._late_starts,
            self._drain_worker,
            self._configure,
            self._take_out,
        )

    @inlineCallbacks
    def run(self, duration_s: float):
        """Strike for so long, then wait until all has healed."""
        self._until_s = reactor.seconds() + duration_s
        while reactor.seconds() < self._until_s:
            self._strike(self._random.choice(self._kinds))
            yield self._pause(*PAUSE_S)
        while self._under_way:
            yield deferLater(reactor, EXIT_POLL_S)

    @inlineCallbacks
    def _strike(self, kind):
        self._under_way += 1
        try:
            yield kind()
        finally:
            self._under_way -= 1

    def _note(self, what: str) -> None:
        self.struck.append(what)
        print(f"{reactor.seconds():.2f} {what}", flush=True)

    def _pause(self, least_s: float, most_s: float):
        return deferLater(reactor, self._random.uniform(least_s, most_s))

    def _draw(self, names) -> str:
        """Return a thing that no other fault of the kind holds, empty if none."""
        free = sorted(set(names) - self._busy)
        return self._random.choice(free) if free else ""

    # Processes

    def _kill(self):
        return self._kill_daemon(self._draw(self._site.daemons))

    def _kill_leader(self):
        return self._kill_daemon(self._site.leader())

    @inlineCallbacks
    def _kill_daemon(self, name: str):
        if not name:
            return
        self._note(f"kill {name}")
        self._site.daemons[name].signal(signal.SIGKILL)
        yield self._pause(0.1, 2.0)
        self._restart(name)

    def _restart(self, name: str) -> None:
        daemon = self._site.daemons[name]
        if daemon.is_running:
            return
        daemon.start()

    @inlineCallbacks
    def _kill_all(self):
        if self._random.random() < 0.5:
            return
        self._note("kill all")
        for daemon in self._site.daemons.values():
            daemon.signal(signal.SIGKILL)
        yield self._pause(0.1, 1.0)
        for name in self._site.daemons:
            self._restart(name)

    @inlineCallbacks
    def _freeze(self):
        name = self._draw(self._site.daemons)
        if self._random.random() < 0.6:
            name = self._site.leader()
        if not name or name in self._busy:
            return
        self._busy.add(name)
        self._note(f"freeze {name}")
        self._site.daemons[name].signal(signal.SIGSTOP)
        yield self._pause(0.2, 7.0)
        self._site.daemons[name].signal(signal.SIGCONT)
        self._busy.discard(name)

    @inlineCallbacks
    def _terminate(self):
        name = self._draw(self._site.daemons)
        if not name:
            return
        self._note(f"terminate {name}")
        daemon = self._site.daemons[name]
        daemon.signal(signal.SIGTERM)
        while daemon.is_running and daemon.is_ending:
            yield deferLater(reactor, EXIT_POLL_S)
        self._restart(name)

    def _reload(self):
        name = self._draw(self._site.daemons)
        if name:
            self._note(f"reload {name}")
            self._site.daemons[name].signal(signal.SIGHUP)

    # Links and the store

    @inlineCallbacks
    def _strike_links(self, links, what: str, least_s: float, most_s: float):
        fault = self._random.choice(LINK_FAULTS)
        self._note(f"{fault} {what}")
        for link in links:
            link.inject(fault)
        yield self._pause(least_s, most_s)
        for link in links:
            link.inject(LinkFault.NONE)

    def _cut_from_store(self):
        name = self._site.leader()
        if not name or self._random.random() < 0.4:
            name = self._draw(self._site.daemons)
        if not name:
            return None
        links = [self._site.store_links[name]]
        return self._strike_links(links, f"{name} to store", 0.5, 7.0)

    def _store_cut(self):
        links = list(self._site.store_links.values())
        return self._strike_links(links, "all to store", 0.5, 4.0)

    @inlineCallbacks
    def _store_busy(self):
        self._note("store busy")
        self._site.store.is_busy = True
        yield self._pause(0.5, 4.0)
        self._site.store.is_busy = False

    @inlineCallbacks
    def _store_slow(self):
        self._note("store slow")
        self._site.store.delay_s = self._random.uniform(0.05, 0.3)
        yield self._pause(1.0, 4.0)
        self._site.store.delay_s = 0.0

    def _answers_lost(self):
        self._note("answers of writes lost")
        self._site.store.commit_delay_s = self._random.choice(
            (0.0, self._random.uniform(0.0, LATE_WRITE_MAX_S))
        )
        self._site.store.answers_to_lose = self._random.randint(1, 6)

    def _compact(self):
        self._note("history compacted")
        self._site.store.compact()

    # Workers

    def _cut_worker(self):
        name = self._draw(self._site.worker_links)
        if not name:
            return None
        links = [self._site.worker_links[name]]
        return self._strike_links(links, name, 0.5, 9.0)

    @inlineCallbacks
    def _slow_worker(self):
        name = self._draw(self._site.worker_links)
        if not name:
            return
        self._note(f"slow link {name}")
        self._site.worker_links[name].delay_s = self._random.uniform(0.05, 0.5)
        yield self._pause(0.5, 4.0)
        self._site.worker_links[name].delay_s = 0.0

    @inlineCallbacks
    def _crash_worker(self):
        name = self._draw(self._site.worker_links)
        if not name:
            return
        self._busy.add(name)
        self._note(f"crash {name}")
        link = self._site.worker_links[name]
        link.inject(LinkFault.RESET)
        self._site.end_life(name)
        yield self._pause(0.3, 5.0)
        self._site.begin_life(name)
        link.inject(LinkFault.NONE)
        self._busy.discard(name)

    def _late_starts(self):
        name = self._draw(self._site.worker_sites)
        if name:
            self._note(f"late starts {name}")
            delays = self._site.worker_sites[name].start_delays_s
            for _ in range(self._random.randint(1, 4)):
                delays.append(self._random.uniform(1.0, LATE_START_MAX_S))

    @inlineCallbacks
    def _drain_worker(self):
        name = self._draw(self._site.worker_links)
        if not name:
            return
        self._busy.add(name)
        self._note(f"drain {name}")
        self._site.tell_state(name, "draining")
        yield self._pause(2.0, 4.0)
        self._site.end_life(name)
        yield self._pause(0.2, 3.0)
        self._site.begin_life(name)
        self._busy.discard(name)

    # Operators

    def _configure(self):
        self._note("configuration")
        self._site.configure(self._random.randint(0, 3))

    @inlineCallbacks
    def _take_out(self):
        self._note("data centre out")
        self._site.records.write("op/evacuate/north", b"{}")
        yield self._pause(0.5, 3.0)
        self._site.records.remove("op/evacuate/north")
