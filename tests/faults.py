"""Faults that a test injects into a world, and how each is healed."""

from collections.abc import Callable
from dataclasses import dataclass

from tests.site_simulation import SiteSimulation


@dataclass(slots=True, frozen=True)
class Fault:
    """One kind of fault.

    Attributes
    ----------
    inject, heal : callable
        Take the world and the daemon that the step is about.
    lasts_s : float
        Time from injection to healing.
    """

    name: str
    inject: Callable[[SiteSimulation, str], None]
    heal: Callable[[SiteSimulation, str], None]
    lasts_s: float = 6.0


def _nothing(world: SiteSimulation, daemon: str) -> None:
    pass


def _kill(world: SiteSimulation, daemon: str) -> None:
    world.fake.kill(daemon)


def _restart(world: SiteSimulation, daemon: str) -> None:
    centre = world.fake.daemons[daemon].node.settings.data_centre
    world.fake.start(daemon, centre)


def _freeze(world: SiteSimulation, daemon: str) -> None:
    world.fake.daemons[daemon].clock.freeze()


def _thaw(world: SiteSimulation, daemon: str) -> None:
    world.fake.daemons[daemon].clock.thaw()


def _cut_peers(world: SiteSimulation, daemon: str) -> None:
    for other in world.fake.daemons:
        if other != daemon:
            world.fake.network.partitioned_pairs.add(frozenset({daemon, other}))


def _join_peers(world: SiteSimulation, daemon: str) -> None:
    world.fake.network.partitioned_pairs.clear()


def _cut_one_peer(world: SiteSimulation, daemon: str) -> None:
    other = next(name for name in sorted(world.fake.daemons) if name != daemon)
    world.fake.network.partitioned_pairs.add(frozenset({daemon, other}))


def _set_store_cut(is_unreachable: bool) -> Callable:
    def act(world: SiteSimulation, daemon: str) -> None:
        world.fake.daemons[daemon].store.is_unreachable = is_unreachable

    return act


def _isolate(world: SiteSimulation, daemon: str) -> None:
    _cut_peers(world, daemon)
    _set_store_cut(True)(world, daemon)


def _rejoin(world: SiteSimulation, daemon: str) -> None:
    _join_peers(world, daemon)
    _set_store_cut(False)(world, daemon)


def _set_store(**faults) -> Callable:
    def act(world: SiteSimulation, daemon: str) -> None:
        for name, value in faults.items():
            setattr(world.fake.values.faults, name, value)

    return act


def _set_network(**faults) -> Callable:
    def act(world: SiteSimulation, daemon: str) -> None:
        for name, value in faults.items():
            setattr(world.fake.network, name, value)

    return act


def _busiest_worker(world: SiteSimulation) -> str:
    machines = world.fake.machines
    return max(sorted(machines), key=lambda name: machines[name].used_cores())


def _power_off(world: SiteSimulation, daemon: str) -> None:
    world.fake.machines[_busiest_worker(world)].power_off(world.now_s)


def _power_on(world: SiteSimulation, daemon: str) -> None:
    for machine in world.fake.machines.values():
        if machine.off:
            machine.power_on(world.now_s)


def _fail_all(world: SiteSimulation, daemon: str) -> None:
    world.fake.machines[_busiest_worker(world)].fails_all = True


def _fail_none(world: SiteSimulation, daemon: str) -> None:
    for machine in world.fake.machines.values():
        machine.fails_all = False


def _cut_worker(world: SiteSimulation, daemon: str) -> None:
    worker = _busiest_worker(world)
    for each in world.fake.daemons.values():
        each.workers.unreachable.add(worker)


def _join_workers(world: SiteSimulation, daemon: str) -> None:
    for each in world.fake.daemons.values():
        each.workers.unreachable.clear()


def _set_server(**faults) -> Callable:
    def act(world: SiteSimulation, daemon: str) -> None:
        server = world.fake.servers_by_name["s01"]
        for name, value in faults.items():
            setattr(server.faults, name, value)

    return act


def _take_out(world: SiteSimulation, daemon: str) -> None:
    world.take_out("foreshore")


def _bring_in(world: SiteSimulation, daemon: str) -> None:
    world.bring_in()


def _race(world: SiteSimulation, daemon: str) -> None:
    """Let two daemons take different data centres out at the same time."""
    names = [n for n, d in sorted(world.fake.daemons.items()) if d.clock.is_alive]
    for name, centre in zip(names[:2], ("foreshore", "fremantle"), strict=True):
        role = world.fake.daemons[name].node.configuration
        if role.active.site is not None:
            role.set_data_centre(centre, True, name).addErrback(lambda _: None)


FAULTS = (
    Fault("kill", _kill, _restart),
    Fault("freeze 1 s", _freeze, _thaw, 1.0),
    Fault("freeze 10 s", _freeze, _thaw, 10.0),
    Fault("cut from one peer", _cut_one_peer, _join_peers),
    Fault("cut from all peers", _cut_peers, _join_peers),
    Fault("cut from the store", _set_store_cut(True), _set_store_cut(False), 12.0),
    Fault("cut from all", _isolate, _rejoin, 14.0),
    Fault("store down", _set_store(down=True), _set_store(down=False), 12.0),
    Fault("store slow", _set_store(delay_s=0.6), _set_store(delay_s=0.0)),
    Fault(
        "store answers too late",
        _set_store(delay_s=1.5),
        _set_store(delay_s=0.0),
        8.0,
    ),
    Fault("answers lost", _set_store(answers_to_lose=3), _nothing),
    Fault(
        "messages late",
        _set_network(extra_delay_s=0.7),
        _set_network(extra_delay_s=0.0),
    ),
    Fault(
        "messages later than the term",
        _set_network(extra_delay_s=4.0),
        _set_network(extra_delay_s=0.0),
        8.0,
    ),
    Fault(
        "messages doubled",
        _set_network(duplicates_messages=True),
        _set_network(duplicates_messages=False),
    ),
    Fault("operators racing", _race, _bring_in),
    Fault("VM gone", _power_off, _power_on, 8.0),
    Fault("worker cut off", _cut_worker, _join_workers, 3.0),
    Fault("worker fails all", _fail_all, _fail_none),
    Fault("server refuses", _set_server(refuses=True), _set_server(refuses=False)),
    Fault("server breaks off", _set_server(breaks=True), _set_server(breaks=False)),
    Fault("server hangs", _set_server(hangs=True), _set_server(hangs=False)),
    Fault("data centre out", _take_out, _bring_in),
)
