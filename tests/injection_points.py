"""Points in the lifecycle of tasks, daemons, requests and records to inject faults at.

Points of tasks and daemons are the states of their state charts.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tests.site_simulation import SiteSimulation

REACH_TIMEOUT_S = 30.0
BURST_REQUESTS = 40


@dataclass(slots=True, frozen=True)
class InjectionPoint:
    """A point in the lifecycle of a subject.

    Attributes
    ----------
    subject : str
        What has the lifecycle: a task, daemon, request, share or configuration.
    prepare : callable
        Brings the simulation towards the point.
    is_reached : callable
        Returns whether the point is reached.
    find_target : callable
        Returns the name of the daemon to inject the fault at.
    job_finishes : bool
        Whether all tasks of the job are expected to finish.
    """

    subject: str
    name: str
    prepare: Callable[[SiteSimulation], None]
    is_reached: Callable[[SiteSimulation], bool]
    find_target: Callable[[SiteSimulation], str]
    job_finishes: bool = True

    def reach(self, simulation: SiteSimulation) -> bool:
        """Bring a simulation to the point; return whether it was reached."""
        self.prepare(simulation)
        return simulation.run_until(
            lambda: self.is_reached(simulation), REACH_TIMEOUT_S
        )


def _cell_owner(simulation: SiteSimulation) -> str:
    return simulation.owner()


def _first_daemon(simulation: SiteSimulation) -> str:
    return "d1"


def _has_task_in(state: str) -> Callable[[SiteSimulation], bool]:
    def has_task(simulation: SiteSimulation) -> bool:
        cell_state = simulation.cell_state()
        if cell_state is None:
            return False
        return any(task.state == state for task in cell_state.tasks.values())

    return has_task


def _do_nothing(simulation: SiteSimulation) -> None:
    pass


def _await_running_task(simulation: SiteSimulation) -> None:
    simulation.run_until(lambda: _has_task_in("running")(simulation), REACH_TIMEOUT_S)


def _list_busiest_as_leaving(simulation: SiteSimulation) -> None:
    _await_running_task(simulation)
    machines = simulation.fake.machines
    busiest = max(sorted(machines), key=lambda name: machines[name].used_cores())
    simulation.list_as_leaving(busiest)


def _cancel_running_job(simulation: SiteSimulation) -> None:
    _await_running_task(simulation)
    simulation.cancel("job")


def _fail_on_all_workers(simulation: SiteSimulation) -> None:
    for machine in simulation.fake.machines.values():
        machine.fails_all = True


def _heal_workers_after_failure(simulation: SiteSimulation) -> bool:
    if not _has_task_in("failed")(simulation):
        return False
    for machine in simulation.fake.machines.values():
        machine.fails_all = False
    return True


def _send_burst(simulation: SiteSimulation) -> None:
    for _ in range(BURST_REQUESTS):
        simulation.call("d1", True)


def _has_queued_request(simulation: SiteSimulation) -> bool:
    return len(_dispatcher(simulation, "d1").queue) > 0


def _dispatcher(simulation: SiteSimulation, daemon: str):
    return simulation.fake.daemons[daemon].node.services["dispatch"].dispatcher


def _has_request_in_flight(simulation: SiteSimulation) -> bool:
    return _dispatcher(simulation, "d1").in_flight() > 0


def _find_lender(simulation: SiteSimulation) -> str:
    for name, daemon in sorted(simulation.fake.daemons.items()):
        if daemon.node.services["dispatch"].slot_pool.lent_total():
            return name
    return ""


def _has_borrowed_slot(simulation: SiteSimulation) -> bool:
    return _dispatcher(simulation, "d1").slot_pool.has_borrowed()


def _add_daemon(simulation: SiteSimulation) -> None:
    simulation.fake.start("d9", "foreshore")


def _is_new_daemon_in_shares(simulation: SiteSimulation) -> bool:
    record = simulation.fake.daemons["d1"].node.services["dispatch"].share_record()
    return any(member.startswith("d9#") for member in record.members())


def _change_configuration(simulation: SiteSimulation) -> None:
    simulation.fake.put_configuration()


def _active_revisions(simulation: SiteSimulation) -> list[int]:
    return [
        daemon.node.configuration.active.record.revision
        for daemon in simulation.fake.daemons.values()
    ]


def _stop_daemon(simulation: SiteSimulation) -> None:
    simulation.fake.daemons["d1"].node.stop()


def _is_daemon_in(state: str) -> Callable[[SiteSimulation], bool]:
    return lambda simulation: simulation.fake.daemons["d1"].node.state == state


def _restart_daemon(simulation: SiteSimulation) -> None:
    simulation.fake.kill("d1")
    simulation.fake.start("d1", "foreshore")


TASK_POINTS = (
    InjectionPoint("task", "queued", _do_nothing, _has_task_in("queued"), _cell_owner),
    InjectionPoint(
        "task", "assigned", _do_nothing, _has_task_in("assigned"), _cell_owner
    ),
    InjectionPoint(
        "task", "running", _do_nothing, _has_task_in("running"), _cell_owner
    ),
    InjectionPoint(
        "task",
        "stopping",
        _list_busiest_as_leaving,
        _has_task_in("stopping"),
        _cell_owner,
    ),
    InjectionPoint(
        "task",
        "cancelling",
        _cancel_running_job,
        _has_task_in("cancelling"),
        _cell_owner,
        False,
    ),
    InjectionPoint(
        "task",
        "cancelled",
        _cancel_running_job,
        _has_task_in("cancelled"),
        _cell_owner,
        False,
    ),
    InjectionPoint(
        "task", "finished", _do_nothing, _has_task_in("finished"), _cell_owner
    ),
    InjectionPoint(
        "task",
        "failed",
        _fail_on_all_workers,
        _heal_workers_after_failure,
        _cell_owner,
        False,
    ),
)
DAEMON_POINTS = (
    InjectionPoint(
        "daemon", "starting", _restart_daemon, _is_daemon_in("starting"), _first_daemon
    ),
    InjectionPoint(
        "daemon", "serving", _do_nothing, _is_daemon_in("serving"), _first_daemon
    ),
    InjectionPoint(
        "daemon", "draining", _stop_daemon, _is_daemon_in("draining"), _first_daemon
    ),
    InjectionPoint(
        "daemon", "leaving", _stop_daemon, _is_daemon_in("leaving"), _first_daemon
    ),
    InjectionPoint(
        "daemon", "gone", _stop_daemon, _is_daemon_in("gone"), _first_daemon
    ),
)
OTHER_POINTS = (
    InjectionPoint(
        "request", "queued", _send_burst, _has_queued_request, _first_daemon
    ),
    InjectionPoint(
        "request", "written", _send_burst, _has_request_in_flight, _first_daemon
    ),
    InjectionPoint(
        "share", "lent", _send_burst, lambda w: bool(_find_lender(w)), _find_lender
    ),
    InjectionPoint("share", "borrowed", _send_burst, _has_borrowed_slot, _first_daemon),
    InjectionPoint(
        "share", "taken", _add_daemon, _is_new_daemon_in_shares, _first_daemon
    ),
    InjectionPoint(
        "configuration", "written", _change_configuration, lambda w: True, _first_daemon
    ),
    InjectionPoint(
        "configuration",
        "seen",
        _change_configuration,
        lambda w: 2 in _active_revisions(w),
        _first_daemon,
    ),
    InjectionPoint(
        "configuration",
        "in force",
        _change_configuration,
        lambda w: min(_active_revisions(w)) >= 2,
        _first_daemon,
    ),
)
INJECTION_POINTS = TASK_POINTS + DAEMON_POINTS + OTHER_POINTS
