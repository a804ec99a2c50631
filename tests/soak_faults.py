"""Random faults of a soak, drawn from a seed; several may be active at once."""

import random
import signal
from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from standins.acks_check import Scope
from standins.changing_queues import ChangingQueues
from standins.faulty_proxy import FaultyProxy, LinkFault
from standins.invalid_versions import (
    INVALID_BYTES,
    INVALID_VERSIONS,
    UNUSUAL_VALID_VERSIONS,
)
from tests.soak_site import SoakSite

# Pauses between faults, as shares of their mean.
PAUSE_SHARES = (2 / 17, 32 / 17)
FAULT_INTERVAL_S = 0.85
START_DELAY_MAX_S = 9.0
WRITE_DELAY_MAX_S = 5.0
EXIT_POLL_S = 0.05
# For how long, how often and with which probability the store loses one more answer to
# a write, while it loses many.
LOSING_S = (2.0, 5.0)
LOSS_INTERVAL_S = 0.05
LOSS_SHARE = 0.5
# Short, so that the signal arrives while a daemon that has just started loads its
# libraries.
SIGNAL_POLL_S = 0.002
# Share of the planned stops that stop all daemons.
STOP_ALL_SHARE = 0.5
# Share of the changes of the configuration at which all open connections to the store
# fall silent, and the numbers of versions in one change.
SILENT_SHARE = 0.2
VERSIONS_PER_CHANGE = (1, 1, 1, 10)
# Shares of the changes that move a queue, that follow an invalid version, and of the
# versions of an unusual form. Without routes a job's submission gets 404, which the
# soak takes for a refusal of the job.
MOVE_SHARE = 0.25
INVALID_SHARE = 0.3
UNUSUAL_SHARE = 0.2
LEFT_OUT_FORM = "no routes"
FORM_WITHOUT_ROUTES = "no routes and no services"
LINK_FAULTS = (
    LinkFault.SILENT,
    LinkFault.ANSWERS_LOST,
    LinkFault.OPEN_SILENT,
    LinkFault.RESET,
)


class SoakFaults:
    """Injects random faults for a given time; each heals by itself.

    Parameters
    ----------
    site : SoakSite
        Site to inject the faults into.
    seed : int
        Seed of the faults, their targets and times.
    link_faults : tuple of LinkFault
        Faults of links that are cut; the last one is that of crashed workers.
    interval_s : float
        Mean pause from one fault to the next.
    names : tuple of str
        Faults to inject, such as ``lose_many_answers``; the usual ones if empty.
    """

    def __init__(
        self,
        site: SoakSite,
        seed: int,
        link_faults: tuple[LinkFault, ...],
        interval_s: float = FAULT_INTERVAL_S,
        names: tuple[str, ...] = (),
    ) -> None:
        self._site = site
        self._pause_s = tuple(share * interval_s for share in PAUSE_SHARES)
        self._link_faults = link_faults
        self._random = random.Random(seed)
        # Of its own, so that the faults of a seed stay the same.
        self._stop_random = random.Random(f"stops/{seed}")
        self._version_random = random.Random(f"versions/{seed}")
        self.queues = ChangingQueues(self._version_random)
        self._form_random = random.Random(f"forms/{seed}")
        self._last_form = ""
        self._until_s = 0.0
        self._active_count = 0
        self._reserved: set[str] = set()
        self.injected: list[str] = []
        self._injectors: tuple[Callable, ...] = (
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
            self._cut_all_from_store,
            self._make_store_busy,
            self._slow_store,
            self._lose_answers,
            self._compact_history,
            self._cut_worker,
            self._cut_worker,
            self._slow_worker,
            self._crash_worker,
            self._delay_starts,
            self._drain_worker,
            self._change_configuration,
            self._take_centre_out,
        )
        if names:
            self._injectors = tuple(getattr(self, f"_{name}") for name in names)

    @inlineCallbacks
    def run(self, duration_s: float):
        """Inject faults for `duration_s`, then wait until all have healed."""
        self._until_s = reactor.seconds() + duration_s
        while reactor.seconds() < self._until_s:
            self._inject(self._random.choice(self._injectors))
            yield self._pause(*self._pause_s)
        while self._active_count:
            yield deferLater(reactor, EXIT_POLL_S)

    @inlineCallbacks
    def _inject(self, injector):
        self._active_count += 1
        try:
            yield injector()
        finally:
            self._active_count -= 1

    def _record(self, description: str) -> None:
        self.injected.append(description)
        print(f"{reactor.seconds():.2f} {description}", flush=True)

    def _pause(self, least_s: float, most_s: float):
        return deferLater(reactor, self._random.uniform(least_s, most_s))

    def _choose_free(self, names) -> str:
        """Return a random name that no fault has reserved, or an empty string."""
        free = sorted(set(names) - self._reserved)
        return self._random.choice(free) if free else ""

    # Processes

    def _kill(self):
        return self._kill_daemon(self._choose_free(self._site.daemons))

    def _kill_leader(self):
        return self._kill_daemon(self._site.leader())

    @inlineCallbacks
    def _kill_daemon(self, name: str):
        if not name:
            return
        self._record(f"kill {name}")
        self._site.disturb("stopped", name)
        self._site.daemons[name].signal(signal.SIGKILL)
        yield self._pause(0.1, 2.0)
        self._site.start_daemon(name)

    @inlineCallbacks
    def _kill_all(self):
        if self._random.random() < 0.5:
            return
        self._record("kill all")
        self._site.disturb("stopped", *self._site.daemons)
        for daemon in self._site.daemons.values():
            daemon.signal(signal.SIGKILL)
        yield self._pause(0.1, 1.0)
        for name in self._site.daemons:
            self._site.start_daemon(name)

    @inlineCallbacks
    def _freeze(self):
        name = self._choose_free(self._site.daemons)
        if self._random.random() < 0.6:
            name = self._site.leader()
        if not name or name in self._reserved:
            return
        self._reserved.add(name)
        self._record(f"freeze {name}")
        self._site.disturb("frozen", name)
        self._site.daemons[name].signal(signal.SIGSTOP)
        yield self._pause(0.2, 7.0)
        self._site.daemons[name].signal(signal.SIGCONT)
        self._site.calm("frozen", name)
        self._reserved.discard(name)

    @inlineCallbacks
    def _terminate(self):
        name = self._choose_free(self._site.daemons)
        if not name:
            return
        names = [name]
        if self._stop_random.random() < STOP_ALL_SHARE:
            names = list(self._site.daemons)
        self._record(f"terminate {' '.join(names)}")
        self._site.disturb("stopped", *names)
        daemons = [self._site.daemons[name] for name in names]
        for daemon in daemons:
            daemon.signal(signal.SIGTERM)
        while daemons:
            yield deferLater(reactor, EXIT_POLL_S)
            for daemon in [d for d in daemons if not (d.is_running and d.is_ending)]:
                daemons.remove(daemon)
                self._site.start_daemon(daemon.name)

    @inlineCallbacks
    def _reload(self):
        name = self._choose_free(self._site.daemons)
        if not name:
            return
        self._record(f"reload {name}")
        daemon = self._site.daemons[name]
        # Before its first instruction, no program survives the signal.
        while daemon.is_running and not daemon.survives(signal.SIGHUP):
            yield deferLater(reactor, SIGNAL_POLL_S)
        daemon.signal(signal.SIGHUP)

    # Store and links

    @inlineCallbacks
    def _inject_link_fault(
        self,
        links: dict[str, FaultyProxy],
        scope: Scope,
        target: str,
        least_s: float,
        most_s: float,
    ):
        fault = self._random.choice(self._link_faults)
        self._record(f"{fault} {target}")
        acks, begun_s = self._site.checker.acks, reactor.seconds()
        for name, link in links.items():
            link.inject(fault)
            acks.begin_disturbance(scope, "cut", begun_s, name)
            if fault is LinkFault.OPEN_SILENT:
                # Later connections work.
                acks.end_disturbance(scope, "cut", begun_s, name)
        yield self._pause(least_s, most_s)
        for name, link in links.items():
            link.inject(LinkFault.NONE)
            acks.end_disturbance(scope, "cut", reactor.seconds(), name)

    def _cut_from_store(self):
        name = self._site.leader()
        if not name or self._random.random() < 0.4:
            name = self._choose_free(self._site.daemons)
        if not name:
            return None
        return self._cut_daemons([name], f"{name} to store", 7.0)

    def _cut_all_from_store(self):
        return self._cut_daemons(list(self._site.daemons), "all to store", 4.0)

    @inlineCallbacks
    def _cut_daemons(self, names: list[str], target: str, most_s: float):
        self._site.disturb("cut", *names)
        links = {name: self._site.store_links[name] for name in names}
        # A store that no daemon reaches is down.
        scope = Scope.STORE if len(links) == len(self._site.daemons) else Scope.LINK
        yield self._inject_link_fault(links, scope, target, 0.5, most_s)
        self._site.calm("cut", *names)

    @inlineCallbacks
    def _make_store_busy(self):
        self._record("store busy")
        self._site.disturb("busy")
        self._site.store.is_busy = True
        yield self._pause(0.5, 4.0)
        self._site.store.is_busy = False
        self._site.calm("busy")

    @inlineCallbacks
    def _slow_store(self):
        self._record("store slow")
        self._site.disturb("slow")
        self._site.store.delay_s = self._random.uniform(0.05, 0.3)
        yield self._pause(1.0, 4.0)
        self._site.store.delay_s = 0.0
        self._site.calm("slow")

    def _lose_answers(self):
        self._record("answers of writes lost")
        self._site.disturb("lost")
        self._site.calm("lost")
        self._site.store.commit_delay_s = self._random.choice(
            (0.0, self._random.uniform(0.0, WRITE_DELAY_MAX_S))
        )
        self._site.store.answers_to_lose = self._random.randint(1, 6)

    @inlineCallbacks
    def _lose_many_answers(self):
        """Lose a share of the answers to writes, which take effect, for seconds."""
        self._record("answers of many writes lost")
        self._site.disturb("losing")
        rng, losing_s = self._random, self._random.uniform(*LOSING_S)
        self._site.store.commit_delay_s = 0.0
        for _ in range(round(losing_s / LOSS_INTERVAL_S)):
            self._site.store.answers_to_lose = int(rng.random() < LOSS_SHARE)
            yield deferLater(reactor, LOSS_INTERVAL_S)
        self._site.store.answers_to_lose = 0
        self._site.calm("losing")

    def _compact_history(self):
        self._record("history compacted")
        self._site.store.compact()

    # Workers

    def _cut_worker(self):
        name = self._choose_free(self._site.worker_links)
        if not name:
            return None
        links = {name: self._site.worker_links[name]}
        return self._inject_link_fault(links, Scope.WORKER, name, 0.5, 9.0)

    @inlineCallbacks
    def _slow_worker(self):
        name = self._choose_free(self._site.worker_links)
        if not name:
            return
        self._record(f"slow link {name}")
        acks = self._site.checker.acks
        acks.begin_disturbance(Scope.WORKER, "slow", reactor.seconds(), name)
        self._site.worker_links[name].delay_s = self._random.uniform(0.05, 0.5)
        yield self._pause(0.5, 4.0)
        self._site.worker_links[name].delay_s = 0.0
        acks.end_disturbance(Scope.WORKER, "slow", reactor.seconds(), name)

    @inlineCallbacks
    def _crash_worker(self):
        name = self._choose_free(self._site.worker_links)
        if not name:
            return
        self._reserved.add(name)
        self._record(f"crash {name}")
        link = self._site.worker_links[name]
        link.inject(self._link_faults[-1])
        self._site.stop_worker(name)
        yield self._pause(0.3, 5.0)
        self._site.start_worker(name)
        link.inject(LinkFault.NONE)
        self._reserved.discard(name)

    def _delay_starts(self):
        name = self._choose_free(self._site.worker_resources)
        if name:
            self._record(f"late starts {name}")
            delays = self._site.worker_resources[name].start_delays_s
            for _ in range(self._random.randint(1, 4)):
                delays.append(self._random.uniform(1.0, START_DELAY_MAX_S))

    @inlineCallbacks
    def _drain_worker(self):
        name = self._choose_free(self._site.worker_links)
        if not name:
            return
        self._reserved.add(name)
        self._record(f"drain {name}")
        self._site.write_worker_state(name, "draining")
        yield self._pause(2.0, 4.0)
        self._site.stop_worker(name)
        yield self._pause(0.2, 3.0)
        self._site.start_worker(name)
        self._reserved.discard(name)

    # Operators

    @inlineCallbacks
    def change_configuration(self, duration_s: float):
        """Add and drop queues for `duration_s`, in single versions and in storms."""
        until_s = reactor.seconds() + duration_s
        rng = self._version_random
        while reactor.seconds() < until_s:
            if rng.random() < SILENT_SHARE:
                now_s = reactor.seconds()
                self._site.configurations.add_silence(now_s)
                self._site.checker.acks.add_disturbance(Scope.LINK, now_s, now_s)
                for link in self._site.store_links.values():
                    link.silence_connections()
            if self._form_random.random() < INVALID_SHARE:
                forms = (*INVALID_VERSIONS, *INVALID_BYTES)
                self._site.write_invalid(self._form_random.choice(forms))
                pause_s = self._form_random.uniform(0.0, 1.0)
                yield deferLater(reactor, pause_s)
            for _ in range(rng.choice(VERSIONS_PER_CHANGE)):
                self.change_queues()
                yield deferLater(reactor, rng.uniform(0.02, 0.2))
            yield deferLater(reactor, rng.uniform(0.3, 3.0))

    def change_queues(self) -> None:
        """Write the next version, with one queue more or less, or moved."""
        self.queues.change()
        rng = self._form_random
        if rng.random() < MOVE_SHARE:
            self.queues.change_place()
        form = ""
        if rng.random() < UNUSUAL_SHARE:
            form = rng.choice([f for f in UNUSUAL_VALID_VERSIONS if f != LEFT_OUT_FORM])
        self._last_form = form
        self._site.configure(tuple(self.queues.current), self.queues.fields, form)

    def restore_routes(self) -> None:
        """Write a version with routes, if the last one has none.

        Otherwise the states of the jobs could not be read.
        """
        if self._last_form == FORM_WITHOUT_ROUTES:
            self._last_form = ""
            self._site.configure(tuple(self.queues.current), self.queues.fields, "")

    def _change_configuration(self):
        self._record("configuration")
        # Keeps the faults of a seed as they were.
        self._random.randint(0, 3)
        self.change_queues()

    @inlineCallbacks
    def _take_centre_out(self):
        self._record("data centre out")
        self._site.records.write("op/evacuate/north", b"{}")
        yield self._pause(0.5, 3.0)
        self._site.records.remove("op/evacuate/north")
