"""Steps of every path at which a fault may strike.

The steps of tasks and daemons are those of the code's own state charts.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tests.site_simulation import SiteSimulation

REACH_TIMEOUT_S = 30.0
BURST = 40


@dataclass(slots=True, frozen=True)
class InjectionPoint:
    """A step of a path.

    Attributes
    ----------
    prepare : callable
        Brings the world on the way to the step.
    reached : callable
        Tells whether the step is reached.
    actor : callable
        Names the daemon that the step is about.
    finishes : bool
        Whether the job may be expected to finish.
    """

    path: str
    name: str
    prepare: Callable[[SiteSimulation], None]
    reached: Callable[[SiteSimulation], bool]
    actor: Callable[[SiteSimulation], str]
    finishes: bool = True

    def reach(self, world: SiteSimulation) -> bool:
        """Bring a world to the step; return whether it got there."""
        self.prepare(world)
        return world.run_until(lambda: self.reached(world), REACH_TIMEOUT_S)


def _owner(world: SiteSimulation) -> str:
    return world.owner()


def _first(world: SiteSimulation) -> str:
    return "d1"


def _task_in(state: str) -> Callable[[SiteSimulation], bool]:
    def reached(world: SiteSimulation) -> bool:
        cell_state = world.cell_state()
        if cell_state is None:
            return False
        return any(task.state == state for task in cell_state.tasks.values())

    return reached


def _nothing(world: SiteSimulation) -> None:
    pass


def _run_tasks(world: SiteSimulation) -> None:
    world.run_until(lambda: _task_in("running")(world), REACH_TIMEOUT_S)


def _leave_worker(world: SiteSimulation) -> None:
    _run_tasks(world)
    machines = world.fake.machines
    busiest = max(sorted(machines), key=lambda name: machines[name].used_cores())
    world.list_leaving(busiest)


def _cancel(world: SiteSimulation) -> None:
    _run_tasks(world)
    world.cancel("job")


def _fail_everywhere(world: SiteSimulation) -> None:
    for machine in world.fake.machines.values():
        machine.fails_all = True


def _fail_until_given_up(world: SiteSimulation) -> bool:
    if not _task_in("failed")(world):
        return False
    for machine in world.fake.machines.values():
        machine.fails_all = False
    return True


def _burst(world: SiteSimulation) -> None:
    for _ in range(BURST):
        world.call("d1", True)


def _queued(world: SiteSimulation) -> bool:
    return len(_dispatcher(world, "d1").queue) > 0


def _dispatcher(world: SiteSimulation, daemon: str):
    return world.fake.daemons[daemon].node.services["dispatch"].dispatcher


def _in_flight(world: SiteSimulation) -> bool:
    return _dispatcher(world, "d1").in_flight() > 0


def _lender(world: SiteSimulation) -> str:
    for name, daemon in sorted(world.fake.daemons.items()):
        if daemon.node.services["dispatch"].slot_pool.lent_total():
            return name
    return ""


def _borrowed(world: SiteSimulation) -> bool:
    return _dispatcher(world, "d1").slot_pool.has_borrowed()


def _add_daemon(world: SiteSimulation) -> None:
    world.fake.start("d9", "foreshore")


def _splitting(world: SiteSimulation) -> bool:
    record = world.fake.daemons["d1"].node.services["dispatch"].share_record()
    return any(member.startswith("d9#") for member in record.members())


def _change(world: SiteSimulation) -> None:
    world.fake.put_configuration()


def _revisions(world: SiteSimulation) -> list[int]:
    return [
        daemon.node.configuration.active.record.revision
        for daemon in world.fake.daemons.values()
    ]


def _stop_daemon(world: SiteSimulation) -> None:
    world.fake.daemons["d1"].node.stop()


def _daemon_in(state: str) -> Callable[[SiteSimulation], bool]:
    return lambda world: world.fake.daemons["d1"].node.state == state


def _start_again(world: SiteSimulation) -> None:
    world.fake.kill("d1")
    world.fake.start("d1", "foreshore")


TASK_POINTS = (
    InjectionPoint("task", "queued", _nothing, _task_in("queued"), _owner),
    InjectionPoint("task", "assigned", _nothing, _task_in("assigned"), _owner),
    InjectionPoint("task", "running", _nothing, _task_in("running"), _owner),
    InjectionPoint("task", "stopping", _leave_worker, _task_in("stopping"), _owner),
    InjectionPoint(
        "task", "cancelling", _cancel, _task_in("cancelling"), _owner, False
    ),
    InjectionPoint("task", "cancelled", _cancel, _task_in("cancelled"), _owner, False),
    InjectionPoint("task", "finished", _nothing, _task_in("finished"), _owner),
    InjectionPoint(
        "task", "failed", _fail_everywhere, _fail_until_given_up, _owner, False
    ),
)
DAEMON_POINTS = (
    InjectionPoint("daemon", "starting", _start_again, _daemon_in("starting"), _first),
    InjectionPoint("daemon", "serving", _nothing, _daemon_in("serving"), _first),
    InjectionPoint("daemon", "draining", _stop_daemon, _daemon_in("draining"), _first),
    InjectionPoint("daemon", "leaving", _stop_daemon, _daemon_in("leaving"), _first),
    InjectionPoint("daemon", "gone", _stop_daemon, _daemon_in("gone"), _first),
)
OTHER_POINTS = (
    InjectionPoint("request", "queued", _burst, _queued, _first),
    InjectionPoint("request", "written", _burst, _in_flight, _first),
    InjectionPoint("share", "lent", _burst, lambda w: bool(_lender(w)), _lender),
    InjectionPoint("share", "borrowed", _burst, _borrowed, _first),
    InjectionPoint("share", "taken", _add_daemon, _splitting, _first),
    InjectionPoint("configuration", "written", _change, lambda w: True, _first),
    InjectionPoint(
        "configuration", "seen", _change, lambda w: 2 in _revisions(w), _first
    ),
    InjectionPoint(
        "configuration",
        "in force",
        _change,
        lambda w: min(_revisions(w)) >= 2,
        _first,
    ),
)
INJECTION_POINTS = TASK_POINTS + DAEMON_POINTS + OTHER_POINTS
