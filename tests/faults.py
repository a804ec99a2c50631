"""Faults that tests inject into a simulated site, and how each is healed."""

from collections.abc import Callable
from dataclasses import dataclass

from tests.site_simulation import SiteSimulation


@dataclass(slots=True, frozen=True)
class Fault:
    """A kind of fault.

    Attributes
    ----------
    inject, heal : callable
        Called with the simulation and the name of the target daemon.
    duration_s : float
        Time from injection to healing.
    """

    name: str
    inject: Callable[[SiteSimulation, str], None]
    heal: Callable[[SiteSimulation, str], None]
    duration_s: float = 6.0


def _do_nothing(simulation: SiteSimulation, daemon: str) -> None:
    pass


def _kill(simulation: SiteSimulation, daemon: str) -> None:
    simulation.fake.kill(daemon)


def _restart(simulation: SiteSimulation, daemon: str) -> None:
    centre = simulation.fake.daemons[daemon].node.settings.data_centre
    simulation.fake.start(daemon, centre)


def _freeze(simulation: SiteSimulation, daemon: str) -> None:
    simulation.fake.daemons[daemon].clock.freeze()


def _thaw(simulation: SiteSimulation, daemon: str) -> None:
    simulation.fake.daemons[daemon].clock.thaw()


def _cut_peers(simulation: SiteSimulation, daemon: str) -> None:
    for other in simulation.fake.daemons:
        if other != daemon:
            simulation.fake.network.partitioned_pairs.add(frozenset({daemon, other}))


def _reconnect_peers(simulation: SiteSimulation, daemon: str) -> None:
    simulation.fake.network.partitioned_pairs.clear()


def _cut_one_peer(simulation: SiteSimulation, daemon: str) -> None:
    other = next(name for name in sorted(simulation.fake.daemons) if name != daemon)
    simulation.fake.network.partitioned_pairs.add(frozenset({daemon, other}))


def _set_store_unreachable(is_unreachable: bool) -> Callable:
    def apply(simulation: SiteSimulation, daemon: str) -> None:
        simulation.fake.daemons[daemon].store.is_unreachable = is_unreachable

    return apply


def _isolate(simulation: SiteSimulation, daemon: str) -> None:
    _cut_peers(simulation, daemon)
    _set_store_unreachable(True)(simulation, daemon)


def _reconnect(simulation: SiteSimulation, daemon: str) -> None:
    _reconnect_peers(simulation, daemon)
    _set_store_unreachable(False)(simulation, daemon)


def _set_store_faults(**faults) -> Callable:
    def apply(simulation: SiteSimulation, daemon: str) -> None:
        for name, value in faults.items():
            setattr(simulation.fake.values.faults, name, value)

    return apply


def _set_network_faults(**faults) -> Callable:
    def apply(simulation: SiteSimulation, daemon: str) -> None:
        for name, value in faults.items():
            setattr(simulation.fake.network, name, value)

    return apply


def _busiest_worker(simulation: SiteSimulation) -> str:
    machines = simulation.fake.machines
    return max(sorted(machines), key=lambda name: machines[name].used_cores())


def _power_off(simulation: SiteSimulation, daemon: str) -> None:
    simulation.fake.machines[_busiest_worker(simulation)].power_off(simulation.now_s)


def _power_on(simulation: SiteSimulation, daemon: str) -> None:
    for machine in simulation.fake.machines.values():
        if machine.off:
            machine.power_on(simulation.now_s)


def _fail_tasks(simulation: SiteSimulation, daemon: str) -> None:
    simulation.fake.machines[_busiest_worker(simulation)].fails_all = True


def _stop_failing_tasks(simulation: SiteSimulation, daemon: str) -> None:
    for machine in simulation.fake.machines.values():
        machine.fails_all = False


def _cut_worker(simulation: SiteSimulation, daemon: str) -> None:
    worker = _busiest_worker(simulation)
    for each in simulation.fake.daemons.values():
        each.workers.unreachable.add(worker)


def _reconnect_workers(simulation: SiteSimulation, daemon: str) -> None:
    for each in simulation.fake.daemons.values():
        each.workers.unreachable.clear()


def _set_server_faults(**faults) -> Callable:
    def apply(simulation: SiteSimulation, daemon: str) -> None:
        server = simulation.fake.servers_by_name["s01"]
        for name, value in faults.items():
            setattr(server.faults, name, value)

    return apply


def _take_centre_out(simulation: SiteSimulation, daemon: str) -> None:
    simulation.take_centre_out("foreshore")


def _bring_centres_back(simulation: SiteSimulation, daemon: str) -> None:
    simulation.bring_centres_back()


def _race_operators(simulation: SiteSimulation, daemon: str) -> None:
    """Take two data centres out at the same time, through different daemons."""
    names = [n for n, d in sorted(simulation.fake.daemons.items()) if d.clock.is_alive]
    for name, centre in zip(names[:2], ("foreshore", "fremantle"), strict=True):
        role = simulation.fake.daemons[name].node.configuration
        if role.active.site is not None:
            role.set_data_centre(centre, True, name).addErrback(lambda _: None)


FAULTS = (
    Fault("kill", _kill, _restart),
    Fault("freeze 1 s", _freeze, _thaw, 1.0),
    Fault("freeze 10 s", _freeze, _thaw, 10.0),
    Fault("cut from one peer", _cut_one_peer, _reconnect_peers),
    Fault("cut from all peers", _cut_peers, _reconnect_peers),
    Fault(
        "cut from the store",
        _set_store_unreachable(True),
        _set_store_unreachable(False),
        12.0,
    ),
    Fault("cut from peers and store", _isolate, _reconnect, 14.0),
    Fault(
        "store down", _set_store_faults(down=True), _set_store_faults(down=False), 12.0
    ),
    Fault("store slow", _set_store_faults(delay_s=0.6), _set_store_faults(delay_s=0.0)),
    Fault(
        "store answers too late",
        _set_store_faults(delay_s=1.5),
        _set_store_faults(delay_s=0.0),
        8.0,
    ),
    Fault("answers lost", _set_store_faults(answers_to_lose=3), _do_nothing),
    Fault(
        "messages late",
        _set_network_faults(extra_delay_s=0.7),
        _set_network_faults(extra_delay_s=0.0),
    ),
    Fault(
        "messages later than the lease term",
        _set_network_faults(extra_delay_s=4.0),
        _set_network_faults(extra_delay_s=0.0),
        8.0,
    ),
    Fault(
        "messages duplicated",
        _set_network_faults(duplicates_messages=True),
        _set_network_faults(duplicates_messages=False),
    ),
    Fault("conflicting operators", _race_operators, _bring_centres_back),
    Fault("VM gone", _power_off, _power_on, 8.0),
    Fault("worker cut off", _cut_worker, _reconnect_workers, 3.0),
    Fault("worker fails all tasks", _fail_tasks, _stop_failing_tasks),
    Fault(
        "server refuses",
        _set_server_faults(refuses=True),
        _set_server_faults(refuses=False),
    ),
    Fault(
        "server breaks connections",
        _set_server_faults(breaks=True),
        _set_server_faults(breaks=False),
    ),
    Fault(
        "server hangs", _set_server_faults(hangs=True), _set_server_faults(hangs=False)
    ),
    Fault("data centre out", _take_centre_out, _bring_centres_back),
)
