"""Faults of an emulated site, drawn from a seed."""

import random
import signal
from collections.abc import Callable
from dataclasses import asdict, dataclass

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from standins.faulty_proxy import LinkFault

# Pauses between faults, as shares of their mean.
PAUSE_SHARES = (2 / 7, 12 / 7)
FAULT_INTERVAL_S = 0.7
EXIT_POLL_S = 0.1
SHUN_FAULTS = (LinkFault.SILENT, LinkFault.ANSWERS_LOST, LinkFault.RESET)
LINK_FAULTS = (*SHUN_FAULTS, LinkFault.OPEN_SILENT, LinkFault.REFUSED)
STORE_FAULTS = (*LINK_FAULTS, "busy", "many")
# Time from the kill of a daemon, or of all daemons, to its next process.
DOWN_S = (0.1, 3.5)
ALL_DOWN_S = (0.1, 1.4)
# Time from a change of the configuration to the loss of all daemons.
LOSS_AFTER_CHANGE_S = (0.005, 0.4)
# For how long watches hear of no changes before the history is dropped, and how old
# stale reads are meanwhile.
DEAF_S = 1.0
STALE_S = 3.0
DATA_CENTRES = 3

# Weights of the ways in which a series loses the leader, and of what happens to the
# workers.
LEADER_LOSSES = {"kill": 2, "freeze": 1, "terminate": 3, "cut": 1}
WORKER_HITS = {"cut": 6, "stop": 1, "drain": 1, "pause": 1}
# Time for which a series cuts off, and for which orders are late before it.
SERIES_CUT_S = (8.0, 10.0)
# Time from the kill of a series to the start of the daemon's next process.
SERIES_RESTART_S = (0.1, 0.2)
SERIES_LATE_S = 1.0
# Pause before the series of `return_cut`, so that jobs run at its first one.
RETURN_CUT_PAUSE_S = 3.0


@dataclass(slots=True, frozen=True)
class Series:
    """Workers return under their ids, and the leader is lost and they are cut off soon.

    Attributes
    ----------
    is_dark : bool
        Whether connections get no answer while they are down; else they are refused.
    down_s : float
        For how long they are down.
    beats_at_once : bool
        Whether their entries tell of their return at once, or up to a beat later.
    loss : str
        How the leader is lost.
    loss_after_s, hit_after_s : float
        Time from the return to the loss of the leader, and to what happens to them.
    hit : str
        What happens to the workers.
    late_share : float
        Share of their calls that are carried out late.
    cut_s : tuple of float
        Least and longest time for which they are cut off.
    cut_fault : LinkFault or None
        Fault of their links while they are cut off; None to draw one.
    restart_s : tuple of float
        Least and longest time after which a killed leader's daemon is started again.
    """

    is_dark: bool
    down_s: float
    beats_at_once: bool
    loss: str
    loss_after_s: float
    hit: str
    hit_after_s: float
    late_share: float
    cut_s: tuple[float, float] = SERIES_CUT_S
    cut_fault: LinkFault | None = None
    restart_s: tuple[float, float] = SERIES_RESTART_S


# All workers of a data centre return, and are cut off just after the leader is killed.
RETURN_CUT = Series(
    is_dark=True,
    down_s=0.6,
    beats_at_once=False,
    loss="kill",
    loss_after_s=1.4,
    hit="cut",
    hit_after_s=2.0,
    late_share=0.0,
    cut_s=(9.0, 9.0),
    cut_fault=LinkFault.SILENT,
    # Its next process answers about when a successor is elected, as one that is started
    # at once and has 0.43 of a core.
    restart_s=(0.5, 0.7),
)


def draw_series(rng: random.Random) -> list[Series]:
    """Return a series, or two to be played in a row, with the same workers."""
    return [
        Series(
            is_dark=rng.random() < 0.6,
            down_s=rng.uniform(0.2, 1.0),
            beats_at_once=rng.random() < 0.3,
            loss=_choose(rng, LEADER_LOSSES),
            loss_after_s=rng.uniform(0.2, 3.0),
            hit=_choose(rng, WORKER_HITS),
            hit_after_s=rng.uniform(0.2, 3.0),
            late_share=rng.choice((0.0, 0.0, 0.3)),
        )
        for _ in range(rng.choice((1, 1, 2)))
    ]


def _choose(rng: random.Random, weights: dict[str, int]) -> str:
    return rng.choices(list(weights), list(weights.values()))[0]


class SiteFaults:
    """Injects random faults; each heals by itself and several may be active at once.

    Parameters
    ----------
    site : EmulatedSite
        Site to inject the faults into.
    seed : int
        Seed of the faults, their targets and times.
    names : tuple of str
        Faults to inject, all if empty; ``-NAME`` leaves one out.
    same_id_share : float
        Share of the workers that return under their former id.
    worker_cuts : tuple of LinkFault
        Faults of the links of workers that are cut off and run on.
    interval_s : float
        Mean pause from one fault to the next.
    """

    def __init__(
        self,
        site,
        seed: int,
        names: tuple[str, ...],
        same_id_share: float,
        worker_cuts: tuple[LinkFault, ...] = LINK_FAULTS,
        interval_s: float = FAULT_INTERVAL_S,
    ) -> None:
        self._site = site
        self._pause_s = tuple(share * interval_s for share in PAUSE_SHARES)
        self._worker_cuts = worker_cuts
        self._random = random.Random(f"faults/{seed}")
        self._same_id_share = same_id_share
        self._active_count = 0
        self._reserved: set = set()
        self.counts: dict[str, int] = {}
        every = {
            name: (getattr(self, f"_{name}"), weight) for name, weight in FAULTS.items()
        }
        left_out = {name[1:] for name in names if name.startswith("-")}
        chosen = {name for name in names if not name.startswith("-")} or set(every)
        self._faults: dict[str, tuple[Callable, int]] = {
            name: every[name] for name in every if name in chosen - left_out
        }

    @inlineCallbacks
    def run(self, duration_s: float):
        """Inject faults for `duration_s`, then wait until all have healed."""
        until_s = reactor.seconds() + duration_s
        names = list(self._faults)
        weights = [weight for _, weight in self._faults.values()]
        while names and reactor.seconds() < until_s:
            name = self._random.choices(names, weights)[0]
            self._inject(name)
            yield self._pause(*self._pause_s)
        if not names:
            yield deferLater(reactor, duration_s)
        while self._active_count:
            yield deferLater(reactor, EXIT_POLL_S)

    @inlineCallbacks
    def _inject(self, name: str):
        self._active_count += 1
        self.counts[name] = self.counts.get(name, 0) + 1
        try:
            yield self._faults[name][0]()
        finally:
            self._active_count -= 1

    def _note(self, fault: str, **fields) -> None:
        self._site.log.write("fault", fault=fault, **fields)

    def _pause(self, least_s: float, most_s: float):
        return deferLater(reactor, self._random.uniform(least_s, most_s))

    def _draw(self, kind: str, names, share: float) -> list:
        """Return a random share of the names that no fault has reserved, one at least.

        They are reserved as targets of that kind of fault until they are released.
        """
        free = [name for name in names if (kind, name) not in self._reserved]
        count = min(len(free), max(1, round(share * len(names))))
        drawn = self._random.sample(free, count)
        self._reserved.update((kind, name) for name in drawn)
        return drawn

    def _release(self, kind: str, names) -> None:
        self._reserved.difference_update((kind, name) for name in names)

    def _draw_daemons(self, share: float) -> list[int]:
        return self._draw("process", range(len(self._site.daemons)), share)

    def _leader(self) -> list[int]:
        leader = self._site.leader_number()
        if leader is None or ("process", leader) in self._reserved:
            return []
        self._reserved.add(("process", leader))
        return [leader]

    # Processes

    def _kill_leader(self):
        return self._kill(self._leader(), DOWN_S)

    def _kill_some(self):
        return self._kill(self._draw_daemons(self._random.uniform(0.0, 0.16)), DOWN_S)

    def _kill_all(self):
        return self._kill(self._draw_daemons(1.0), ALL_DOWN_S, 0.1)

    @inlineCallbacks
    def _kill_all_after_change(self):
        yield self._site.await_configured()
        yield self._pause(*LOSS_AFTER_CHANGE_S)
        yield self._kill(self._draw_daemons(1.0), ALL_DOWN_S, 0.1)

    @inlineCallbacks
    def _kill(self, numbers, down_s: tuple[float, float], interval_s: float = 0.0):
        self._note("kill", daemons=numbers)
        for number in numbers:
            self._site.daemons[number].signal(signal.SIGKILL)
        yield self._pause(*down_s)
        for number in numbers:
            # On a busy host a process may outlast the signal.
            while self._site.daemons[number].is_running:
                yield deferLater(reactor, EXIT_POLL_S)
            self._site.daemons[number].start()
            if interval_s:
                yield deferLater(reactor, interval_s)
        self._release("process", numbers)

    def _freeze_leader(self):
        return self._freeze(self._leader())

    def _freeze_some(self):
        return self._freeze(self._draw_daemons(self._random.uniform(0.0, 0.16)))

    @inlineCallbacks
    def _freeze(self, numbers, least_s: float = 0.1, longest=(0.8, 3.0, 9.0)):
        self._note("freeze", daemons=numbers)
        for number in numbers:
            self._site.daemons[number].signal(signal.SIGSTOP)
        yield self._pause(least_s, self._random.choice(longest))
        self._note("thaw", daemons=numbers)
        for number in numbers:
            self._site.daemons[number].signal(signal.SIGCONT)
        self._release("process", numbers)

    def _roll(self):
        return self._terminate(self._draw_daemons(self._random.uniform(0.0, 0.3)))

    @inlineCallbacks
    def _terminate(self, numbers):
        for number in numbers:
            self._note("terminate", daemons=[number])
            daemon = self._site.daemons[number]
            daemon.signal(signal.SIGTERM)
            for _ in range(int(6.0 / EXIT_POLL_S)):
                if not daemon.is_running:
                    break
                yield deferLater(reactor, EXIT_POLL_S)
            daemon.signal(signal.SIGKILL)
            yield self._pause(0.1, 0.5)
            daemon.start()
            self._release("process", [number])

    @inlineCallbacks
    def _replace(self):
        """Remove a daemon for good, and add another one at another address."""
        numbers = self._draw_daemons(0.0)
        self._note("kill", daemons=numbers, how="replaced")
        for number in numbers:
            self._site.daemons[number].signal(signal.SIGKILL)
        yield self._pause(0.5, 2.0)
        for number in numbers:
            self._site.replace_daemon(number)
        self._release("process", numbers)

    @inlineCallbacks
    def _clock_step(self):
        numbers = self._draw("clock", range(len(self._site.daemons)), 0.3)
        shift_s = self._random.choice((-1, 1)) * self._random.uniform(0.5, 5.0)
        self._note("clock-step", daemons=numbers, shift_s=shift_s)
        for number in numbers:
            self._site.daemons[number].shift_clock(shift_s)
        yield self._pause(1.0, 5.0)
        for number in numbers:
            self._site.daemons[number].shift_clock(0.0)
        self._note("clock-step-over", daemons=numbers)
        self._release("clock", numbers)

    def _hup(self) -> None:
        numbers = self._draw_daemons(0.6)
        self._note("hup", daemons=numbers)
        for number in numbers:
            self._site.daemons[number].signal(signal.SIGHUP)
        self._release("process", numbers)

    @inlineCallbacks
    def _pause_workers(self):
        processes = self._draw("pause", range(len(self._site.workers)), 0.0)
        self._note("pause-workers", processes=processes)
        for number in processes:
            self._site.workers[number].signal(signal.SIGSTOP)
        yield self._pause(0.3, 3.0)
        for number in processes:
            self._site.workers[number].signal(signal.SIGCONT)
        self._note("resume-workers", processes=processes)
        self._release("pause", processes)

    # The store

    @inlineCallbacks
    def _cut_from_store(
        self, numbers, longest_s: float, faults=STORE_FAULTS, least_s: float = 0.3
    ):
        kind = "store"
        numbers = [n for n in numbers if (kind, n) not in self._reserved]
        self._reserved.update((kind, n) for n in numbers)
        fault = self._random.choice(faults)
        self._note("cut-store", daemons=numbers, how=fault)
        self._site.store.send("cut", daemons=numbers, fault=fault)
        yield self._pause(least_s, longest_s)
        self._site.store.send("cut", daemons=numbers, fault=LinkFault.NONE)
        self._note("cut-store-over", daemons=numbers)
        self._release(kind, numbers)

    def _cut_leader_from_store(self):
        leader = self._site.leader_number()
        return self._cut_from_store([] if leader is None else [leader], 9.0)

    def _cut_some_from_store(self):
        daemons = range(len(self._site.daemons))
        numbers = self._random.sample(daemons, max(1, round(0.33 * len(daemons))))
        return self._cut_from_store(numbers, 9.0)

    @inlineCallbacks
    def _store_down(self):
        is_paused = self._random.random() < 0.5
        self._site.store.send("pause_leases", paused=is_paused)
        self._note("store-down", paused=is_paused)
        yield self._cut_from_store(range(len(self._site.daemons)), 5.1)
        self._site.store.send("pause_leases", paused=False)
        self._note("store-down-over")

    @inlineCallbacks
    def _store_slow(self):
        delay_s = self._random.uniform(0.05, 0.5)
        self._note("store-slow", delay_s=delay_s)
        self._site.store.send("set_delay", delay_s=delay_s)
        yield self._pause(1.0, 4.5)
        self._site.store.send("set_delay", delay_s=0.0)
        self._note("store-slow-over")

    @inlineCallbacks
    def _store_lost(self):
        share = self._random.uniform(0.1, 0.6)
        self._note("store-lost", share=share)
        self._site.store.send("lose", share=share, delay_s=5.0)
        yield self._pause(1.0, 4.5)
        self._site.store.send("lose", share=0.0, delay_s=0.0)
        self._note("store-lost-over")

    @inlineCallbacks
    def _compact_deaf(self):
        self._note("store-deaf")
        self._site.store.send("deafen", stale_s=STALE_S)
        yield deferLater(reactor, DEAF_S)
        self._site.store.send("compact_deaf")
        self._note("store-deaf-over")

    def _silence_some(self) -> None:
        """Let half of the open connections of some daemons carry nothing any more."""
        share = self._random.uniform(0.0, 0.6)
        numbers = self._draw_daemons(share)
        self._note("cut-store", daemons=numbers, how=LinkFault.OPEN_SILENT)
        self._site.store.send("silence_some", daemons=numbers, share=0.5)
        self._release("process", numbers)

    def _compact(self) -> None:
        self._note("compact")
        self._site.store.send("compact")

    def _remove_leader(self) -> None:
        self._note("remove-leader-record")
        self._site.store.send("remove_leader")

    # Workers

    def _targets(self, kind: str, share: float) -> list[int]:
        return self._draw(kind, range(self._site.worker_count), share)

    @inlineCallbacks
    def _cut_leader_from_workers(self):
        yield self._shun(self._site.leader_revision, 9.0)

    @inlineCallbacks
    def _cut_leader_off(self):
        leader = self._site.leader_number()
        if leader is not None:
            self._cut_from_store([leader], 9.0, LINK_FAULTS)
            yield self._shun(self._site.leader_revision, 9.0)

    @inlineCallbacks
    def _shun(self, revision: int, longest_s: float):
        fault = self._random.choice(SHUN_FAULTS)
        processes = self._random.sample(
            self._site.workers, self._random.randint(1, len(self._site.workers))
        )
        numbers = sorted(self._site.workers.index(process) for process in processes)
        self._note("shun", revision=revision, how=fault, processes=numbers)
        for process in processes:
            process.send("shun", token=revision, fault=fault)
        yield self._pause(0.3, longest_s)
        for process in processes:
            process.send("shun", token=revision, fault=LinkFault.NONE)
        self._note("shun-over", revision=revision, processes=numbers)

    @inlineCallbacks
    def _return_series(self):
        """Play series with the workers of a data centre, or with a share of all."""
        if self._random.random() < 0.5:
            numbers = self._draw_data_centre()
        else:
            numbers = self._targets("life", self._random.uniform(0.1, 0.4))
        for series in draw_series(self._random):
            yield self._play_series(numbers, series)
        self._release("life", numbers)

    @inlineCallbacks
    def _return_cut(self):
        """Play one series with all workers of a data centre, unless one is played."""
        turn = self._draw("return-cut", (0,), 1.0)
        numbers = self._draw_data_centre() if turn else []
        if numbers:
            yield deferLater(reactor, RETURN_CUT_PAUSE_S)
            yield self._play_series(numbers, RETURN_CUT)
        self._release("life", numbers)
        self._release("return-cut", turn)

    def _draw_data_centre(self) -> list[int]:
        """Return the workers of a data centre that no fault has reserved."""
        zone = self._random.randrange(DATA_CENTRES)
        names = range(zone, self._site.worker_count, DATA_CENTRES)
        return self._draw("life", names, 1.0)

    @inlineCallbacks
    def _play_series(self, numbers: list[int], series: Series):
        self._note("series", workers=numbers, **asdict(series))
        if series.late_share:
            share = series.late_share
            self._note("disturb", workers=numbers, how="late_share", share=share)
            self._site.send_workers("disturb", numbers, late_share=share)
            yield deferLater(reactor, SERIES_LATE_S)
        self._site.send_workers("stop", numbers, is_dark=series.is_dark)
        yield deferLater(reactor, series.down_s)
        self._note("series-return", workers=numbers)
        self._site.send_workers(
            "start", numbers, keeps_id=True, beats_at_once=series.beats_at_once
        )
        losing = deferLater(reactor, series.loss_after_s, self._lose_leader, series)
        yield deferLater(
            reactor, series.hit_after_s, self._hit_workers, numbers, series
        )
        yield losing
        self._site.send_workers("disturb", numbers, late_share=0.0)
        self._note("disturb-over", workers=numbers, how="late_share")

    def _lose_leader(self, series: Series):
        leader = self._site.leader_number()
        if series.loss == "cut":
            numbers = [] if leader is None else [leader]
            least_s, longest_s = SERIES_CUT_S
            return self._cut_from_store(numbers, longest_s, LINK_FAULTS, least_s)
        numbers = self._leader()
        if series.loss == "kill":
            return self._kill(numbers, series.restart_s)
        if series.loss == "freeze":
            return self._freeze(numbers, 2.0, (9.0,))
        return self._terminate(numbers)

    @inlineCallbacks
    def _hit_workers(self, numbers: list[int], series: Series):
        if series.hit == "cut":
            yield self._cut_off(numbers, *series.cut_s, series.cut_fault)
        elif series.hit == "stop":
            self._note("stop-workers", workers=numbers)
            self._site.send_workers("stop", numbers)
            yield self._pause(0.2, 8.0)
            self._site.send_workers("start", numbers, keeps_id=True)
        elif series.hit == "drain":
            yield self._drain_workers(numbers)
        else:
            yield self._pause_workers()

    @inlineCallbacks
    def _cut_workers(self):
        numbers = self._targets("cut", self._random.uniform(0.0, 0.17))
        yield self._cut_off(numbers, 0.5, 10.0)
        self._release("cut", numbers)

    @inlineCallbacks
    def _cut_off(
        self,
        numbers: list[int],
        least_s: float,
        longest_s: float,
        fault: LinkFault | None = None,
    ):
        fault = fault or self._random.choice(self._worker_cuts)
        self._note("cut-workers", workers=numbers, how=fault)
        self._site.send_workers("cut", numbers, fault=fault)
        yield self._pause(least_s, longest_s)
        self._site.send_workers("cut", numbers, fault=LinkFault.NONE)
        self._note("cut-workers-over", workers=numbers)

    @inlineCallbacks
    def _flap(self):
        numbers = self._targets("life", self._random.uniform(0.0, 0.1))
        for _ in range(self._random.randint(1, 3)):
            self._note("flap", workers=numbers)
            self._site.send_workers("stop", numbers)
            yield self._pause(0.2, self._random.choice((1.5, 8.0)))
            kept = [n for n in numbers if self._random.random() < self._same_id_share]
            self._site.send_workers("start", kept, keeps_id=True)
            others = sorted(set(numbers) - set(kept))
            self._site.send_workers("start", others, keeps_id=False)
            yield self._pause(0.3, 3.0)
        self._release("life", numbers)

    @inlineCallbacks
    def _drain(self):
        numbers = self._targets("life", self._random.uniform(0.0, 0.065))
        yield self._drain_workers(numbers)
        self._release("life", numbers)

    @inlineCallbacks
    def _drain_workers(self, numbers: list[int]):
        self._note("drain", workers=numbers)
        self._site.send_workers("drain", numbers)
        yield self._pause(3.0, 5.0)
        self._site.send_workers("remove", numbers)
        yield self._pause(0.5, 4.0)
        self._site.send_workers("start", numbers, keeps_id=False)

    @inlineCallbacks
    def _disturb(self, name: str, most: float, share: float):
        numbers = self._targets(name, share)
        value = self._random.uniform(0.02, most)
        self._note("disturb", workers=numbers, how=name, share=value)
        self._site.send_workers("disturb", numbers, **{name: value})
        yield self._pause(2.0, 6.5)
        self._site.send_workers("disturb", numbers, **{name: 0.0})
        self._note("disturb-over", workers=numbers, how=name)
        self._release(name, numbers)

    def _late(self):
        return self._disturb("late_share", 0.5, self._random.uniform(0.0, 1.0))

    def _hang(self):
        return self._disturb("hang_share", 0.6, self._random.uniform(0.0, 0.14))

    def _reset(self):
        return self._disturb("reset_share", 0.6, self._random.uniform(0.0, 0.14))

    def _fail(self):
        return self._disturb("fails", 1.0, self._random.uniform(0.0, 0.08))

    # Operators and callers

    @inlineCallbacks
    def _evacuate(self):
        key = f"op/evacuate/z{self._random.randrange(3)}"
        self._note("evacuate", key=key)
        self._site.store.send("write", key=key, value="{}")
        yield self._pause(2.0, 8.0)
        self._site.store.send("write", key=key, value="")

    @inlineCallbacks
    def _burst(self):
        self._note("burst")
        for callers in self._site.callers:
            callers.send("burst", kind="month", factor=1.5)
        yield self._pause(2.0, 4.0)
        for callers in self._site.callers:
            callers.send("burst", kind="month", factor=1.0)

    @inlineCallbacks
    def _give_up(self):
        self._note("give-up")
        for callers in self._site.callers:
            callers.send("give_up", share=0.25)
        yield self._pause(2.0, 5.5)
        for callers in self._site.callers:
            callers.send("give_up", share=0.0)


# Weights of the faults.
FAULTS = {
    "kill_leader": 3,
    "kill_some": 2,
    "kill_all": 1,
    "kill_all_after_change": 1,
    "freeze_leader": 4,
    "freeze_some": 1,
    "roll": 1,
    "hup": 1,
    "replace": 1,
    "clock_step": 1,
    "pause_workers": 3,
    "cut_leader_from_store": 3,
    "cut_some_from_store": 2,
    "store_down": 2,
    "store_slow": 2,
    "store_lost": 2,
    "compact": 1,
    "compact_deaf": 1,
    "silence_some": 2,
    "remove_leader": 2,
    "cut_leader_from_workers": 2,
    "cut_leader_off": 2,
    "return_series": 2,
    "return_cut": 1,
    "cut_workers": 4,
    "flap": 4,
    "drain": 1,
    "late": 4,
    "hang": 1,
    "reset": 1,
    "fail": 1,
    "evacuate": 1,
    "burst": 1,
    "give_up": 1,
}
