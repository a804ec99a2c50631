"""Tests of each guarantee under failure, with and without its mechanism.

Each case runs its scenario twice. With the mechanism in place the checker must find no
violation; with the mechanism patched out it must find one, which shows that the
scenario needs the mechanism and that the checker notices its absence.
"""

import unittest
from unittest.mock import patch

from twisted.internet.defer import succeed

from dogwoodlever import _dispatcher
from dogwoodlever._cell import Cell
from dogwoodlever._configuration import ActiveConfiguration
from dogwoodlever._dispatcher import Dispatcher
from dogwoodlever._idempotency_store import IdempotencyStore
from dogwoodlever._membership_role import MembershipRole
from dogwoodlever._node import Node
from dogwoodlever._request import EndRequest, Outcome, Reason
from dogwoodlever._service_role import ServiceRole
from dogwoodlever._shares import SharePlanner
from dogwoodlever._slot_pool import SlotPool
from dogwoodlever._store_follower import StoreFollower
from dogwoodlever.configuration import decode_configuration
from dogwoodlever.platform_clients import VMStates
from tests import checkers
from tests.faults import FAULTS
from tests.injection_points import INJECTION_POINTS
from tests.site_simulation import SiteSimulation

FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}
POINTS_BY_NAME = {(point.subject, point.name): point for point in INJECTION_POINTS}


def make_simulation(tasks=16, run_s=4.0):
    simulation = SiteSimulation()
    simulation.submit("job", tasks, run_s)
    simulation.submit("standing", 1, 1000.0, standing=True)
    return simulation


def inject_at(subject, name, fault_name, after_s=3.0):
    """Return a scenario that injects one fault at one point."""

    def scenario():
        simulation = make_simulation()
        point, fault = POINTS_BY_NAME[subject, name], FAULTS_BY_NAME[fault_name]
        point.reach(simulation)
        target = point.find_target(simulation)
        fault.inject(simulation, target)
        simulation.run(fault.duration_s)
        fault.heal(simulation, target)
        simulation.run(after_s)
        return simulation

    return scenario


def new_daemon_under_load():
    simulation = make_simulation()
    for number in range(60):
        simulation.call("d1", True)
        if number == 20:
            simulation.fake.start("d9", "foreshore")
        if number == 40:
            simulation.fake.start("d8", "fremantle")
        simulation.run(0.05)
    for _ in range(40):
        for daemon in ("d1", "d2", "d3", "d4"):
            simulation.call(daemon, True)
    simulation.run(4.0)
    return simulation


def owner_cut_off_from_worker():
    simulation = make_simulation(run_s=30.0)
    POINTS_BY_NAME["task", "running"].reach(simulation)
    simulation.run(1.0)
    machines = simulation.fake.machines
    busiest = max(sorted(machines), key=lambda name: machines[name].used_cores())
    for daemon in simulation.fake.daemons.values():
        daemon.workers.unreachable.add(busiest)
    simulation.run(4.0)
    return simulation


def owner_misses_that_a_data_centre_is_out():
    """Let the owner write to the store, but neither list it nor hear from peers."""
    simulation = make_simulation(200, 1.0)
    POINTS_BY_NAME["task", "running"].reach(simulation)
    owner = simulation.owner()
    simulation.fake.daemons[owner].store.loses_lists = True
    for name in simulation.fake.daemons:
        if name != owner:
            simulation.fake.network.partitioned_pairs.add(frozenset({owner, name}))
    simulation.take_centre_out("foreshore")
    simulation.run(6.0)
    return simulation


def worker_leaves():
    simulation = make_simulation()
    simulation.run(1.0)
    for worker in ("w01", "w02", "w03"):
        simulation.list_as_leaving(worker)
    simulation.run(8.0)
    return simulation


def revisions_arrive_out_of_order():
    simulation = make_simulation()
    simulation.run(1.0)
    node = simulation.fake.daemons["d1"].node
    for _ in range(3):
        old = node.follower.entries["live/configuration"]
        simulation.fake.put_configuration()
        simulation.run(1.5)
        node.follower.offer("live/configuration", old)
        simulation.run(0.2)
    return simulation


def daemon_stops_under_load():
    simulation = make_simulation()
    for _ in range(6):
        simulation.call("d1", True)
        simulation.call("d1", False)
    simulation.fake.daemons["d1"].node.stop()
    simulation.run(5.0)
    return simulation


def daemon_stops_in_an_outage():
    simulation = make_simulation()
    simulation.fake.values.faults.down = True
    simulation.run(5.0)
    simulation.fake.daemons["d1"].node.stop()
    simulation.run(20.0)
    simulation.fake.values.faults.down = False
    simulation.run(20.0)
    return simulation


def owner_killed_before_commit():
    """Kill the owner while its writes of the cell state fail; another takes over."""
    simulation = make_simulation(200, 1.0)
    POINTS_BY_NAME["task", "running"].reach(simulation)
    owner = simulation.owner()
    simulation.fake.daemons[owner].store.is_unreachable = True
    simulation.run(6.0)
    simulation.fake.kill(owner)
    simulation.run(30.0)
    return simulation


def servers_break_connections():
    simulation = make_simulation()
    for server in simulation.fake.servers.values():
        server.faults.breaks = True
    simulation.run(2.0)
    for server in simulation.fake.servers.values():
        server.faults.breaks = False
    simulation.run(4.0)
    return simulation


def borrower_of_all_lent_slots_killed():
    simulation = make_simulation()
    for _ in range(2):
        for _ in range(25):
            simulation.call("d1", True)
        simulation.run(0.2)
    simulation.fake.kill("d1")
    simulation.run(2.0)
    return simulation


def check_recent_requests_answered(history):
    """Check that a request of the last two seconds was answered."""
    recent = [c for c in history.calls if c.sent_s > history.now_s - 2.0]
    answered = [c for c in recent if c.outcome == Outcome.ANSWERED]
    return [] if answered else [f"none of {len(recent)} answered"]


def check_no_request_cut_off(history):
    """Check that a planned stop cuts off no request in flight."""
    return [
        f"{call.body}: {call.outcome or 'no end'}"
        for call in history.calls
        if call.outcome not in (Outcome.ANSWERED, Outcome.NOT_RUN)
        and call.sent_s < history.now_s - 1.0
    ]


def _row_without_free_slot_check(self, rows, server, slots, targets, busy):
    return targets.get(server, 0)


def _return_repeated_loan(self, lender, loan, asked_s, term_s, now_s):
    if loan.loan_id in self._accepted_loans:
        return False
    return _ACCEPT_LOAN(self, lender, loan, asked_s, term_s, now_s)


_ACCEPT_LOAN = SlotPool.accept_loan


def _end_as_not_run(self, request, reason, wait_s):
    return EndRequest(request, Outcome.NOT_RUN, reason, "", 1.0)


def _retry_broken_as_idempotent(self, attempt_id, now_s):
    attempt = self._attempts.get(attempt_id)
    if attempt is not None:
        attempt.request.idempotent = True
    return _HANDLE_BROKEN(self, attempt_id, now_s)


_HANDLE_BROKEN = Dispatcher.handle_broken


def _reserve_without_store(self, caller, key, request_id, replaces=""):
    return succeed(request_id)


def _give_up_worker_at_once(self, worker, sent_s):
    self.workers[worker].unreachable = self.workers[worker].gone = True


def _start_until_far_future(self, view, now_s, evidence_age_s):
    return view.worker_time(now_s + 3600.0)


def _accept_any_revision(self, version, value):
    record = decode_configuration(value)
    self.version, self.record = version, record
    self.site = record.site().unwrap()
    return True


def _accept_any_entry(self, key, entry):
    self.entries[key] = entry
    for listener in self._entry_listeners:
        listener(key, entry)
    return True


def _set_site_without_leaving(self, site, vms):
    _SET_SITE(self, site, VMStates(vms.listed))


_SET_SITE = ServiceRole.set_site


def _stop_without_draining(self):
    self._transition("stop")
    for loop in self._loops:
        loop.stop()
    for service in self.services.values():
        service._open.clear()


def _deliver_previous_response(self, response, effect, timer):
    """Deliver the previous response, as a mix-up of connections would."""
    previous, _LAST_RESPONSES[self] = _LAST_RESPONSES.get(self, response), response
    _ANSWERED(self, previous, effect, timer)


_LAST_RESPONSES = {}
_ANSWERED = ServiceRole._answered


def _always_committed(self, task_id):
    return True


def _report_broken_as_not_run(self, attempt_id, now_s):
    attempt = self._attempts.get(attempt_id)
    if attempt is None or attempt.abandoned:
        return []
    attempt.abandoned = True
    end = EndRequest(attempt.request, Outcome.NOT_RUN, Reason.BROKEN, "", 1.0)
    return [end, *self.dispatch(now_s)]


CASES = (
    (
        "slots: a share record assigns only free slots",
        new_daemon_under_load,
        checkers.check_slot_limits,
        [(SharePlanner, "_row", _row_without_free_slot_check)],
    ),
    (
        "slots: a duplicated loan is ignored, not returned",
        inject_at("request", "queued", "messages duplicated"),
        checkers.check_slot_limits,
        [(SlotPool, "accept_loan", _return_repeated_loan)],
    ),
    (
        "no concurrent attempts: the next attempt starts after the lease has expired",
        owner_cut_off_from_worker,
        checkers.check_no_concurrent_attempts,
        [
            (Cell, "sync_failed", _give_up_worker_at_once),
            (Cell, "_lost_after_s", lambda s: 0),
        ],
    ),
    (
        "resumed once: workers receive only committed orders",
        owner_killed_before_commit,
        checkers.check_resumed_once,
        [(Cell, "_is_committed", _always_committed)],
    ),
    (
        "data centre out: a start requires a recently confirmed configuration",
        owner_misses_that_a_data_centre_is_out,
        checkers.check_no_starts_while_out,
        [
            (Cell, "_start_until_s", _start_until_far_future),
            (MembershipRole, "has_valid_lease", lambda self: True),
        ],
    ),
    (
        "answers: each answer goes to the request of its attempt",
        inject_at("request", "written", "messages late"),
        checkers.check_answers,
        [(ServiceRole, "_answered", _deliver_previous_response)],
    ),
    (
        "not run: reported only if no byte was written",
        inject_at("request", "queued", "server breaks connections"),
        checkers.check_not_run,
        [
            (Dispatcher, "_reject", _end_as_not_run),
            (
                Dispatcher,
                "handle_broken",
                _report_broken_as_not_run,
            ),
        ],
    ),
    (
        "at most once: a non-idempotent request is not retried after its first byte",
        servers_break_connections,
        checkers.check_at_most_once,
        [(Dispatcher, "handle_broken", _retry_broken_as_idempotent)],
    ),
    (
        "at most once: an idempotency key is reserved before its request runs",
        inject_at("request", "written", "messages late"),
        checkers.check_at_most_once,
        [(IdempotencyStore, "reserve", _reserve_without_store)],
    ),
    (
        "leaving servers: servers on leaving VMs are not chosen",
        worker_leaves,
        checkers.check_leaving_servers,
        [(ServiceRole, "set_site", _set_site_without_leaving)],
    ),
    (
        "stop: a daemon drains before it exits",
        daemon_stops_under_load,
        check_no_request_cut_off,
        [(Node, "stop", _stop_without_draining)],
    ),
    (
        "configuration: an older revision never replaces a newer one",
        revisions_arrive_out_of_order,
        checkers.check_revision_order,
        [
            (ActiveConfiguration, "offer", _accept_any_revision),
            (StoreFollower, "offer", _accept_any_entry),
        ],
    ),
)


CASES += (
    (
        "lending: a daemon does not lend all slots that it holds",
        borrower_of_all_lent_slots_killed,
        check_recent_requests_answered,
        [(_dispatcher, "LENT_FRACTION_MAX", 1.0)],
    ),
)


class GuaranteesTest(unittest.TestCase):
    pass


class StopTest(unittest.TestCase):
    def test_stop_in_a_store_outage_ends_and_its_slots_are_reassigned(self):
        simulation = daemon_stops_in_an_outage()
        self.assertEqual(simulation.fake.daemons["d1"].node.state, "gone")
        slots = sum(server.slots for server in simulation.history.servers)
        held = sum(
            daemon.node.services["dispatch"].slot_pool.held_total()
            for name, daemon in simulation.fake.daemons.items()
            if name != "d1"
        )
        self.assertEqual(held, slots)
        self.assertEqual(checkers.find_violations(simulation.record()), [])


def _add_test(number, name, scenario, checker, patches):
    def test_holds(self):
        self.assertEqual(checker(scenario().record()), [])

    def test_without(self):
        for owner, method, replacement in patches:
            patcher = patch.object(owner, method, replacement)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.assertTrue(checker(scenario().record()), f"{name}: no violation found")

    label = name.partition(":")[0].replace(" ", "_")
    setattr(GuaranteesTest, f"test_{number:02d}_{label}_holds", test_holds)
    setattr(GuaranteesTest, f"test_{number:02d}_{label}_fails_without", test_without)


for _number, _case in enumerate(CASES, 1):
    _add_test(_number, *_case)
