"""Each promise under failure, and with its mechanism switched off.

A row runs a scenario twice. With the mechanism in place the checker finds
nothing; with it patched out the checker must find what the mechanism is for.
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

FAULT = {fault.name: fault for fault in FAULTS}
STEP = {(step.path, step.name): step for step in INJECTION_POINTS}


def make_world(tasks=16, run_s=4.0):
    world = SiteSimulation()
    world.submit("job", tasks, run_s)
    world.submit("standing", 1, 1000.0, standing=True)
    return world


def strike(path, name, fault_name, after_s=3.0):
    """Return a scenario of one fault at one step."""

    def scenario():
        world = make_world()
        step, fault = STEP[path, name], FAULT[fault_name]
        step.reach(world)
        actor = step.actor(world)
        fault.inject(world, actor)
        world.run(fault.lasts_s)
        fault.heal(world, actor)
        world.run(after_s)
        return world

    return scenario


def new_daemon_under_load():
    world = make_world()
    for number in range(60):
        world.call("d1", True)
        if number == 20:
            world.fake.start("d9", "foreshore")
        if number == 40:
            world.fake.start("d8", "fremantle")
        world.run(0.05)
    for _ in range(40):
        for daemon in ("d1", "d2", "d3", "d4"):
            world.call(daemon, True)
    world.run(4.0)
    return world


def owner_loses_a_worker():
    world = make_world(run_s=30.0)
    STEP["task", "running"].reach(world)
    world.run(1.0)
    machines = world.fake.machines
    busiest = max(sorted(machines), key=lambda name: machines[name].used_cores())
    for daemon in world.fake.daemons.values():
        daemon.workers.unreachable.add(busiest)
    world.run(4.0)
    return world


def owner_misses_that_a_data_centre_leaves():
    """The owner can write, but neither lists nor peers reach it."""
    world = make_world(200, 1.0)
    STEP["task", "running"].reach(world)
    owner = world.owner()
    world.fake.daemons[owner].store.loses_lists = True
    for name in world.fake.daemons:
        if name != owner:
            world.fake.network.partitioned_pairs.add(frozenset({owner, name}))
    world.take_out("foreshore")
    world.run(6.0)
    return world


def worker_leaves():
    world = make_world()
    world.run(1.0)
    for worker in ("w01", "w02", "w03"):
        world.list_leaving(worker)
    world.run(8.0)
    return world


def revisions_arrive_out_of_order():
    world = make_world()
    world.run(1.0)
    node = world.fake.daemons["d1"].node
    for _ in range(3):
        old = node.follower.entries["live/configuration"]
        world.fake.put_configuration()
        world.run(1.5)
        node.follower.offer("live/configuration", old)
        world.run(0.2)
    return world


def daemon_stops_under_load():
    world = make_world()
    for _ in range(6):
        world.call("d1", True)
        world.call("d1", False)
    world.fake.daemons["d1"].node.stop()
    world.run(5.0)
    return world


def daemon_stops_in_an_outage():
    world = make_world()
    world.fake.values.faults.down = True
    world.run(5.0)
    world.fake.daemons["d1"].node.stop()
    world.run(20.0)
    world.fake.values.faults.down = False
    world.run(20.0)
    return world


def owner_killed_before_its_commit():
    """The ledger's write is lost and the owner dies; another takes over."""
    world = make_world(200, 1.0)
    STEP["task", "running"].reach(world)
    owner = world.owner()
    world.fake.daemons[owner].store.is_unreachable = True
    world.run(6.0)
    world.fake.kill(owner)
    world.run(30.0)
    return world


def servers_break_off():
    world = make_world()
    for server in world.fake.servers.values():
        server.faults.breaks = True
    world.run(2.0)
    for server in world.fake.servers.values():
        server.faults.breaks = False
    world.run(4.0)
    return world


def borrower_of_everything_dies():
    world = make_world()
    for _ in range(2):
        for _ in range(25):
            world.call("d1", True)
        world.run(0.2)
    world.fake.kill("d1")
    world.run(2.0)
    return world


def check_served_lately(history):
    """Requests of the last two seconds are answered."""
    recent = [c for c in history.calls if c.sent_s > history.now_s - 2.0]
    answered = [c for c in recent if c.outcome == Outcome.ANSWERED]
    return [] if answered else [f"none of {len(recent)} answered"]


def check_not_cut_off(history):
    """A planned stop cuts off no request in flight."""
    return [
        f"{call.body}: {call.outcome or 'no end'}"
        for call in history.calls
        if call.outcome not in (Outcome.ANSWERED, Outcome.NOT_RUN)
        and call.sent_s < history.now_s - 1.0
    ]


def _row_without_room_check(self, rows, server, slots, targets, busy):
    return targets.get(server, 0)


def _borrow_again(self, lender, loan, asked_s, term_s, now_s):
    if loan.loan_id in self._accepted_loans:
        return False
    return _BORROW(self, lender, loan, asked_s, term_s, now_s)


_BORROW = SlotPool.accept_loan


def _end_as_not_run(self, request, reason, wait_s):
    return EndRequest(request, Outcome.NOT_RUN, reason, "", 1.0)


def _broken_as_idempotent(self, attempt_id, now_s):
    attempt = self._attempts.get(attempt_id)
    if attempt is not None:
        attempt.request.idempotent = True
    return _BROKEN(self, attempt_id, now_s)


_BROKEN = Dispatcher.handle_broken


def _claim_nothing(self, caller, key, request_id, replaces=""):
    return succeed(request_id)


def _give_up_at_once(self, worker, sent_s):
    self.workers[worker].unreachable = self.workers[worker].gone = True


def _no_lease_wait(self, view, now_s, evidence_age_s):
    return view.worker_time(now_s + 3600.0)


def _offer_any(self, version, value):
    record = decode_configuration(value)
    self.version, self.record = version, record
    self.site = record.site().unwrap()
    return True


def _offer_any_entry(self, key, entry):
    self.entries[key] = entry
    for watcher in self._watchers:
        watcher(key, entry)
    return True


def _set_site_without_leaving(self, site, vms):
    _SET_SITE(self, site, VMStates(vms.listed))


_SET_SITE = ServiceRole.set_site


def _stop_at_once(self):
    self._transition("stop")
    for loop in self._loops:
        loop.stop()
    for service in self.services.values():
        service._open.clear()


def _answer_before(self, answer, effect, timer):
    """Deliver the answer that came before, as a mixed-up connection would."""
    before, _LAST[self] = _LAST.get(self, answer), answer
    _ANSWERED(self, before, effect, timer)


_LAST = {}
_ANSWERED = ServiceRole._answered


def _always_committed(self, task_id):
    return True


def _break_not_run(self, attempt_id, now_s):
    attempt = self._attempts.get(attempt_id)
    if attempt is None or attempt.abandoned:
        return []
    attempt.abandoned = True
    end = EndRequest(attempt.request, Outcome.NOT_RUN, Reason.BROKEN, "", 1.0)
    return [end, *self.dispatch(now_s)]


ROWS = (
    (
        "slots: rows of a share record only grow into free slots",
        new_daemon_under_load,
        checkers.check_slots,
        [(SharePlanner, "_row", _row_without_room_check)],
    ),
    (
        "slots: a loan that arrives twice is not returned",
        strike("request", "queued", "messages doubled"),
        checkers.check_slots,
        [(SlotPool, "accept_loan", _borrow_again)],
    ),
    (
        "one place: an attempt follows only beyond the lease",
        owner_loses_a_worker,
        checkers.check_one_place,
        [(Cell, "sync_failed", _give_up_at_once), (Cell, "_lost_after_s", lambda s: 0)],
    ),
    (
        "resumed once: a worker is told only what is committed",
        owner_killed_before_its_commit,
        checkers.check_resumed_once,
        [(Cell, "_is_committed", _always_committed)],
    ),
    (
        "out: a start needs a configuration confirmed within seconds",
        owner_misses_that_a_data_centre_leaves,
        checkers.check_out,
        [
            (Cell, "_start_until_s", _no_lease_wait),
            (MembershipRole, "has_valid_lease", lambda self: True),
        ],
    ),
    (
        "answers: an attempt's answer goes to its own request",
        strike("request", "written", "messages late"),
        checkers.check_answers,
        [(ServiceRole, "_answered", _answer_before)],
    ),
    (
        "not run: told only before the first byte was written",
        strike("request", "queued", "server breaks off"),
        checkers.check_not_run,
        [
            (Dispatcher, "_refuse", _end_as_not_run),
            (
                Dispatcher,
                "handle_broken",
                _break_not_run,
            ),
        ],
    ),
    (
        "once: a non-idempotent request is not retried after its first byte",
        servers_break_off,
        checkers.check_once,
        [(Dispatcher, "handle_broken", _broken_as_idempotent)],
    ),
    (
        "once: a key is claimed in the store before its request runs",
        strike("request", "written", "messages late"),
        checkers.check_once,
        [(IdempotencyStore, "reserve", _claim_nothing)],
    ),
    (
        "leaving: servers on leaving VMs are not chosen",
        worker_leaves,
        checkers.check_leaving,
        [(ServiceRole, "set_site", _set_site_without_leaving)],
    ),
    (
        "stop: a daemon drains before it exits",
        daemon_stops_under_load,
        check_not_cut_off,
        [(Node, "stop", _stop_at_once)],
    ),
    (
        "configuration: an older revision never replaces a newer one",
        revisions_arrive_out_of_order,
        checkers.check_revisions,
        [
            (ActiveConfiguration, "offer", _offer_any),
            (StoreFollower, "offer", _offer_any_entry),
        ],
    ),
)


ROWS += (
    (
        "room: a daemon does not lend all that it holds",
        borrower_of_everything_dies,
        check_served_lately,
        [(_dispatcher, "LENT_FRACTION_MAX", 1.0)],
    ),
)


class GuaranteesTest(unittest.TestCase):
    pass


class StopTest(unittest.TestCase):
    def test_a_stop_in_an_outage_ends_and_its_room_is_taken_over(self):
        world = daemon_stops_in_an_outage()
        self.assertEqual(world.fake.daemons["d1"].node.state, "gone")
        slots = sum(server.slots for server in world.history.servers)
        held = sum(
            daemon.node.services["dispatch"].slot_pool.held_total()
            for name, daemon in world.fake.daemons.items()
            if name != "d1"
        )
        self.assertEqual(held, slots)
        self.assertEqual(checkers.find_violations(world.record()), [])


def _add_test(number, name, scenario, checker, patches):
    def test_holds(self):
        self.assertEqual(checker(scenario().record()), [])

    def test_without(self):
        for owner, method, replacement in patches:
            patcher = patch.object(owner, method, replacement)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.assertTrue(checker(scenario().record()), f"{name}: not caught")

    label = name.partition(":")[0].replace(" ", "_")
    setattr(GuaranteesTest, f"test_{number:02d}_{label}_holds", test_holds)
    setattr(GuaranteesTest, f"test_{number:02d}_{label}_fails_without", test_without)


for _number, _row in enumerate(ROWS, 1):
    _add_test(_number, *_row)
