"""Steps of every path at which a fault may strike.

The steps of tasks and daemons are those of the code's own state charts.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tests.world import World

REACH_TIMEOUT_S = 30.0
BURST = 40


@dataclass(slots=True, frozen=True)
class Step:
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
    prepare: Callable[[World], None]
    reached: Callable[[World], bool]
    actor: Callable[[World], str]
    finishes: bool = True

    def reach(self, world: World) -> bool:
        """Bring a world to the step; return whether it got there."""
        self.prepare(world)
        return world.run_until(lambda: self.reached(world), REACH_TIMEOUT_S)


def _owner(world: World) -> str:
    return world.owner()


def _first(world: World) -> str:
    return "d1"


def _task_in(state: str) -> Callable[[World], bool]:
    def reached(world: World) -> bool:
        cell_state = world.cell_state()
        if cell_state is None:
            return False
        return any(task.state == state for task in cell_state.tasks.values())

    return reached


def _nothing(world: World) -> None:
    pass


def _run_tasks(world: World) -> None:
    world.run_until(lambda: _task_in("running")(world), REACH_TIMEOUT_S)


def _leave_worker(world: World) -> None:
    _run_tasks(world)
    machines = world.fake.machines
    busiest = max(sorted(machines), key=lambda name: machines[name].used_cores())
    world.list_leaving(busiest)


def _cancel(world: World) -> None:
    _run_tasks(world)
    world.cancel("job")


def _fail_everywhere(world: World) -> None:
    for machine in world.fake.machines.values():
        machine.fails_all = True


def _fail_until_given_up(world: World) -> bool:
    if not _task_in("failed")(world):
        return False
    for machine in world.fake.machines.values():
        machine.fails_all = False
    return True


def _burst(world: World) -> None:
    for _ in range(BURST):
        world.call("d1", True)


def _queued(world: World) -> bool:
    return len(_dispatcher(world, "d1").queue) > 0


def _dispatcher(world: World, daemon: str):
    return world.fake.daemons[daemon].node.services["dispatch"].dispatcher


def _in_flight(world: World) -> bool:
    return _dispatcher(world, "d1").in_flight() > 0


def _lender(world: World) -> str:
    for name, daemon in sorted(world.fake.daemons.items()):
        if daemon.node.services["dispatch"].slot_pool.lent_total():
            return name
    return ""


def _borrowed(world: World) -> bool:
    return _dispatcher(world, "d1").slot_pool.has_borrowed()


def _add_daemon(world: World) -> None:
    world.fake.start("d9", "foreshore")


def _splitting(world: World) -> bool:
    record = world.fake.daemons["d1"].node.services["dispatch"].share_record()
    return any(member.startswith("d9#") for member in record.members())


def _change(world: World) -> None:
    world.fake.put_configuration()


def _revisions(world: World) -> list[int]:
    return [
        daemon.node.configuration.active.record.revision
        for daemon in world.fake.daemons.values()
    ]


def _stop_daemon(world: World) -> None:
    world.fake.daemons["d1"].node.stop()


def _daemon_in(state: str) -> Callable[[World], bool]:
    return lambda world: world.fake.daemons["d1"].node.state == state


def _start_again(world: World) -> None:
    world.fake.kill("d1")
    world.fake.start("d1", "foreshore")


TASK_STEPS = (
    Step("task", "queued", _nothing, _task_in("queued"), _owner),
    Step("task", "assigned", _nothing, _task_in("assigned"), _owner),
    Step("task", "running", _nothing, _task_in("running"), _owner),
    Step("task", "stopping", _leave_worker, _task_in("stopping"), _owner),
    Step("task", "cancelling", _cancel, _task_in("cancelling"), _owner, False),
    Step("task", "cancelled", _cancel, _task_in("cancelled"), _owner, False),
    Step("task", "finished", _nothing, _task_in("finished"), _owner),
    Step("task", "failed", _fail_everywhere, _fail_until_given_up, _owner, False),
)
DAEMON_STEPS = (
    Step("daemon", "starting", _start_again, _daemon_in("starting"), _first),
    Step("daemon", "serving", _nothing, _daemon_in("serving"), _first),
    Step("daemon", "draining", _stop_daemon, _daemon_in("draining"), _first),
    Step("daemon", "leaving", _stop_daemon, _daemon_in("leaving"), _first),
    Step("daemon", "gone", _stop_daemon, _daemon_in("gone"), _first),
)
OTHER_STEPS = (
    Step("request", "queued", _burst, _queued, _first),
    Step("request", "written", _burst, _in_flight, _first),
    Step("share", "lent", _burst, lambda w: bool(_lender(w)), _lender),
    Step("share", "borrowed", _burst, _borrowed, _first),
    Step("share", "taken", _add_daemon, _splitting, _first),
    Step("configuration", "written", _change, lambda w: True, _first),
    Step("configuration", "seen", _change, lambda w: 2 in _revisions(w), _first),
    Step(
        "configuration",
        "in force",
        _change,
        lambda w: min(_revisions(w)) >= 2,
        _first,
    ),
)
STEPS = TASK_STEPS + DAEMON_STEPS + OTHER_STEPS
