"""Longest leases, which calls for a worker's former incarnation grant at the next one.

The clock of an incarnation starts anew, so a call for the former one carries a time
that is far ahead there: the worker grants the longest lease in place of the one that
leaders grant. Whoever leads has to wait for it before it starts the runs of that worker
elsewhere.
"""

import itertools
import unittest
from dataclasses import replace

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_records import (
    UNREACHABLE_WORKERS_KEY,
    WORKER_MEMBERSHIP_KEY,
    decode_unreachable_workers,
    decode_worker_membership,
)
from dogwoodlever._run_evidence import lease_bound_s
from dogwoodlever._worker_link import RUN_LEASE_TARGET_S
from dogwoodlever.platform_errors import StoreUnavailableError
from standins.fleet import LEASE_MAX_MS, FakePoll, server_record
from tests.fleet_simulation import JOB, STOP_S, StandingWorkTest, job, worker_entry

# Far ahead on the clock of an incarnation that has just started.
FORMER_CLOCK_MS = 10**9
TASKS = 4
# Longest time from a call for the former incarnation to the end of the runs.
LONGEST_S = lease_bound_s(LEASE_MAX_MS / 1000, STOP_S)
# The same for a lease that a leader grants.
GRANTED_S = lease_bound_s(RUN_LEASE_TARGET_S, STOP_S)
# From the loss of a leader to the removal of its record, which the store may remove
# before it expires. A short election leaves most of a longest lease to the successor.
RECORD_REMOVED_S = 0.5
ELECTION_MAX_S = 2.0
FROZEN_S = 1.5
# Covers a call that gets no answer and a planning round.
START_MAX_S = 1.1


def end_leader_lease(fleet, number):
    lease_id = fleet.nodes[number].election._lease_id
    fleet.clock.callLater(RECORD_REMOVED_S, fleet.records.end_lease, lease_id)


def kill(fleet, number):
    """Kill a daemon; its next process says that it does not lead."""
    end_leader_lease(fleet, number)
    fleet.kill(number)
    fleet.add_daemon(f"vm{len(fleet.nodes)}")
    fleet.members[fleet.nodes[number].member] = fleet.nodes[-1].mesh


def stop(fleet, number):
    fleet.nodes[number].on_stopped = lambda: fleet.kill(number)
    fleet.nodes[number].stop()


def cut_off(fleet, number):
    """Cut a daemon off from the store; its successor tells it to step down."""
    end_leader_lease(fleet, number)
    fleet.stores[number].cut_off(StoreUnavailableError)


def freeze(fleet, number):
    end_leader_lease(fleet, number)
    fleet.clocks[number].freeze()
    fleet.clock.callLater(FROZEN_S, fleet.clocks[number].thaw)


def silence(worker):
    worker.is_reachable = False


def refuse(worker):
    worker.refuses_connections = True


LEADER_LOSSES = {"killed": kill, "stopped": stop, "cut off": cut_off, "frozen": freeze}
WORKER_CUTS = {"silent": silence, "refuses": refuse}


class ReturnedWorkersTest(StandingWorkTest):
    """Base of tests in which a worker returns under its id and is cut off."""

    def start_work(self):
        """Return a fleet and one of its workers, whose clocks are far ahead."""
        fleet = self.start_fleet(workers=2)
        fleet.run_for(15.0)
        return fleet, self.start_standing_job(fleet, TASKS)

    def return_worker(self, fleet, worker_id):
        """Start the next incarnation, which gets a call for the former one first."""
        entry = replace(fleet.workers.workers[worker_id].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.0)
        worker.clock_rate = 0.98
        fleet.workers.renew(worker, FORMER_CLOCK_MS)
        fleet.records.write(f"servers/{worker_id}", server_record(entry))
        return worker

    def lose_leader(self, fleet, how):
        """Lose the leader and return its number."""
        former = fleet.leader()
        LEADER_LOSSES[how](fleet, former)
        return former

    def await_successor(self, fleet, former):
        until_s = fleet.clock.seconds() + ELECTION_MAX_S
        while self.find_leader(fleet, former) is None:
            self.assertLess(fleet.clock.seconds(), until_s)
            fleet.run_for(0.01)
        return self.find_leader(fleet, former)

    def find_leader(self, fleet, former):
        for number, node in enumerate(fleet.nodes):
            is_leader = node.leader is not None and node.leader.is_loaded
            if number not in former and fleet.clocks[number].is_alive and is_leader:
                return number
        return None

    def record_polls(self, fleet, number):
        """Return a list to which each poll that a daemon sends is added."""
        client = fleet.worker_clients[number]
        poll = client.poll
        polls = []

        def record_poll(entry, fencing_token, acknowledged, until_ms, wait_ms):
            polls.append(FakePoll(fencing_token, acknowledged, until_ms))
            return poll(entry, fencing_token, acknowledged, until_ms, wait_ms)

        client.poll = record_poll
        return polls

    def count_elsewhere(self, fleet, worker):
        return self.count_running(fleet) - len(worker.running)

    def check_work(self, fleet, worker, limit_s, tasks=TASKS):
        """Check that all work runs elsewhere within a time, and never twice."""
        fleet.run_for(limit_s)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_elsewhere(fleet, worker), tasks)


class SeenReturnTest(ReturnedWorkersTest):
    """The leader that is lost has reached the next incarnation."""

    # Guards against runs that a successor starts elsewhere during the longest lease of
    # a worker that returned under the former leader (issue 56, TWICE).
    def test_leader_is_lost_after_the_return(self):
        for how, cut, (leader_lost_s, worker_lost_s) in itertools.product(
            LEADER_LOSSES, WORKER_CUTS, ((0.3, 0.2), (1.0, 1.2), (2.0, 1.5))
        ):
            with self.subTest(
                how=how,
                cut=cut,
                leader_lost_s=leader_lost_s,
                worker_lost_s=worker_lost_s,
            ):
                self.check_return(how, cut, leader_lost_s, worker_lost_s)

    def check_return(self, how, cut, leader_lost_s, worker_lost_s):
        """Lose leader and worker at times after the return."""
        fleet, lost = self.start_work()
        fleet.workers.crash(lost)
        fleet.run_for(0.3)
        worker = self.return_worker(fleet, lost)
        fleet.clock.callLater(worker_lost_s, WORKER_CUTS[cut], worker)
        fleet.run_for(min(0.2, worker_lost_s) - 0.01)
        self.assertEqual(len(worker.running), 2)
        fleet.add_worker(worker_entry(8), 0.0)
        fleet.run_for(leader_lost_s - min(0.2, worker_lost_s) + 0.01)
        former = self.lose_leader(fleet, how)
        self.await_successor(fleet, {former})
        wait_s = LONGEST_S + START_MAX_S + FROZEN_S * (how == "frozen")
        self.check_work(fleet, worker, wait_s)

    # The same if the next leader is lost as well, which may have reached the worker.
    def test_two_leaders_are_lost_after_the_return(self):
        for first, second, cut, (lost_s, leads_s), is_reached in (
            ("killed", "stopped", "silent", (0.3, 0.1), False),
            ("killed", "stopped", "refuses", (1.0, 0.5), False),
            ("killed", "cut off", "refuses", (1.0, 0.5), False),
            ("killed", "killed", "silent", (0.3, 0.5), False),
            ("stopped", "stopped", "silent", (1.0, 0.5), False),
            ("stopped", "stopped", "refuses", (1.0, 1.0), False),
            ("stopped", "frozen", "refuses", (0.3, 0.1), False),
            ("stopped", "killed", "refuses", (0.3, 0.1), False),
            ("cut off", "stopped", "silent", (0.3, 0.5), False),
            ("killed", "stopped", "silent", (0.3, 0.5), True),
            ("stopped", "killed", "silent", (0.3, 0.5), True),
            ("stopped", "cut off", "refuses", (1.0, 1.0), True),
            ("cut off", "frozen", "refuses", (0.3, 0.5), True),
        ):
            with self.subTest(
                first=first,
                second=second,
                cut=cut,
                lost_s=lost_s,
                leads_s=leads_s,
                is_reached=is_reached,
            ):
                self.check_two_losses(first, second, cut, lost_s, leads_s, is_reached)

    def check_two_losses(self, first, second, cut, lost_s, leads_s, is_reached):
        """Lose two leaders, the second one after it has led for a time."""
        fleet, worker = self.start_work_of_returned_worker()
        fleet.add_worker(worker_entry(8), 0.0)
        fleet.run_for(lost_s - 0.2)
        former = {self.lose_leader(fleet, first)}
        if not is_reached:
            WORKER_CUTS[cut](worker)
        self.await_successor(fleet, former)
        fleet.run_for(leads_s)
        WORKER_CUTS[cut](worker)
        former.add(self.lose_leader(fleet, second))
        self.await_successor(fleet, former)
        wait_s = LONGEST_S + START_MAX_S
        if second == "frozen":
            wait_s += FROZEN_S
        elif second == "killed":
            # Its next process does not know whether the first leader has stopped.
            wait_s += WORKER_LEASES_MAX_S - RUN_LEASE_TARGET_S
        self.check_work(fleet, worker, wait_s)

    # The same if the leader has stored for how long the worker may hold its lease.
    def test_leader_has_stored_the_longer_lease(self):
        for how, cut in (
            ("killed", "refuses"),
            ("stopped", "refuses"),
            ("stopped", "silent"),
            ("cut off", "refuses"),
            ("frozen", "refuses"),
        ):
            with self.subTest(how=how, cut=cut):
                fleet, worker = self.start_work_of_returned_worker()
                fleet.add_worker(worker_entry(8), 0.0)
                WORKER_CUTS[cut](worker)
                while fleet.records.read(UNREACHABLE_WORKERS_KEY) is None:
                    self.assertLess(fleet.clock.seconds() - worker.started_s, 5.0)
                    fleet.run_for(0.01)
                record = fleet.records.read(UNREACHABLE_WORKERS_KEY)
                waits_ms = decode_unreachable_workers(record.value).waits_ms
                # The leader knows of the longest lease.
                left_s = LONGEST_S - (fleet.clock.seconds() - worker.started_s)
                self.assertGreater(waits_ms[worker.entry.worker_id], 1000 * left_s)
                former = self.lose_leader(fleet, how)
                self.await_successor(fleet, {former})
                self.check_work(fleet, worker, LONGEST_S + START_MAX_S)

    # Guards against work that waits for late calls which the worker refuses, as it has
    # seen a higher fencing token.
    def test_work_waits_for_no_more_than_the_longest_lease(self):
        for cut in WORKER_CUTS:
            with self.subTest(cut=cut):
                fleet, lost = self.start_work()
                fleet.workers.workers[lost].is_reachable = False
                # Polls and orders get no answer.
                fleet.run_for(1.0)
                worker = self.return_worker(fleet, lost)
                fleet.run_for(1.0)
                self.assertEqual(len(worker.running), 2)
                fleet.add_worker(worker_entry(8), 0.0)
                WORKER_CUTS[cut](worker)
                fleet.run_for(2.0)
                fleet.workers.carry_out_late_polls(worker)
                self.check_work(fleet, worker, LONGEST_S + START_MAX_S - 2.0)

    def start_work_of_returned_worker(self):
        """Return a fleet and a worker that runs tasks 0.2 s after its return."""
        fleet, lost = self.start_work()
        fleet.workers.crash(lost)
        fleet.run_for(0.3)
        worker = self.return_worker(fleet, lost)
        fleet.run_for(0.2)
        self.assertEqual(len(worker.running), 2)
        return fleet, worker


class UnseenReturnTest(ReturnedWorkersTest):
    """A successor is the first leader that starts runs on the next incarnation."""

    # Guards against runs that a leader starts elsewhere during the longest lease of a
    # worker that returned before, or as, its predecessor was lost (issue 56, TWICE).
    def test_leader_is_lost_before_the_return(self):
        for how, cut, (absent_s, worker_lost_s) in itertools.product(
            LEADER_LOSSES, WORKER_CUTS, ((0.3, 1.0), (0.5, 2.0))
        ):
            with self.subTest(
                how=how, cut=cut, absent_s=absent_s, worker_lost_s=worker_lost_s
            ):
                fleet, lost = self.start_work()
                fleet.workers.crash(lost)
                fleet.run_for(0.05)
                former = self.lose_leader(fleet, how)
                fleet.run_for(absent_s)
                worker = self.return_worker(fleet, lost)
                self.check_successor(fleet, former, worker, cut, worker_lost_s)

    # The same as the leader reads the first answer of the next incarnation.
    def test_leader_is_lost_at_the_first_answer(self):
        for how, cut, worker_lost_s in itertools.product(
            LEADER_LOSSES, WORKER_CUTS, (1.0, 2.0)
        ):
            with self.subTest(how=how, cut=cut, worker_lost_s=worker_lost_s):
                fleet, lost = self.start_work()
                fleet.workers.crash(lost)
                fleet.run_for(0.3)
                worker = self.return_worker(fleet, lost)
                self.await_first_answer(fleet, lost)
                former = self.lose_leader(fleet, how)
                self.check_successor(fleet, former, worker, cut, worker_lost_s)

    def await_first_answer(self, fleet, worker_id):
        """Run until the leader has read the next incarnation, before it writes."""
        workers = fleet.nodes[fleet.leader()].leader.workers
        until_s = fleet.clock.seconds() + 1.0
        capacity = None
        while not (capacity and capacity.entry.started_at_ms == 2):
            self.assertLess(fleet.clock.seconds(), until_s)
            fleet.clock.advance(0.001)
            capacity = workers.capacities.get(worker_id)
            if capacity is not None and not capacity.is_synced:
                capacity = None

    def check_successor(self, fleet, former, worker, cut, worker_lost_s):
        """Cut the worker off some time after its return."""
        lost_s = worker.started_s + worker_lost_s
        self.await_successor(fleet, {former})
        fleet.run_for(lost_s - fleet.clock.seconds() - 0.01)
        self.assertEqual(len(worker.running), 2)
        fleet.add_worker(worker_entry(8), 0.0)
        fleet.run_for(0.01)
        WORKER_CUTS[cut](worker)
        self.check_work(fleet, worker, LONGEST_S + START_MAX_S)

    # The same for a worker that is no member any more as the successor is elected.
    def test_worker_that_was_given_up_returns_under_the_successor(self):
        for leave, (absent_s, worker_lost_s) in itertools.product(
            ("lapses", "replaced"), ((0.5, 1.0), (3.0, 3.0))
        ):
            with self.subTest(
                leave=leave, absent_s=absent_s, worker_lost_s=worker_lost_s
            ):
                fleet, lost = self.start_work()
                fleet.workers.crash(lost)
                fleet.records.remove(f"servers/{lost}")
                if leave == "replaced":
                    fleet.workers.replaced.add(lost)
                fleet.run_for(1.0 if leave == "replaced" else GRANTED_S + 0.5)
                self.assertNotIn(lost, self.read_members(fleet))
                former = self.lose_leader(fleet, "stopped")
                self.await_successor(fleet, {former})
                fleet.run_for(absent_s)
                fleet.workers.replaced.clear()
                # A call that was sent before the crash is carried out late.
                worker = self.return_worker(fleet, lost)
                self.check_successor(fleet, former, worker, "silent", worker_lost_s)

    def read_members(self, fleet):
        record = fleet.records.read(WORKER_MEMBERSHIP_KEY)
        return decode_worker_membership(record.value).workers

    # The same if a start of the former leader has granted the lease, whose run goes on
    # at the next incarnation.
    def test_start_of_the_former_leader_reaches_the_next_incarnation(self):
        for how, cut, is_seen in itertools.product(
            ("killed", "stopped"), WORKER_CUTS, (False, True)
        ):
            with self.subTest(how=how, cut=cut, is_seen=is_seen):
                self.check_late_start(how, cut, is_seen)

    def check_late_start(self, how, cut, is_seen):
        """Lose the leader before or after its first poll of the next incarnation."""
        fleet = self.start_fleet(workers=2)
        fleet.run_for(15.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.05)
        (affected,) = fleet.workers._for_next_incarnation
        fleet.workers.crash(affected)
        fleet.run_for(0.05)
        if not is_seen:
            former = self.lose_leader(fleet, how)
        fleet.run_for(0.3)
        entry = replace(fleet.workers.workers[affected].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.0)
        fleet.records.write(f"servers/{affected}", server_record(entry))
        fleet.run_for(1.0)
        self.assertEqual(len(worker.running), 1)
        if is_seen:
            former = self.lose_leader(fleet, how)
        WORKER_CUTS[cut](worker)
        self.await_successor(fleet, {former})
        self.check_work(fleet, worker, LONGEST_S + START_MAX_S, tasks=1)

    # The same if that incarnation has no entry, so that the successor only asks it
    # whether it has ended.
    def test_start_reaches_an_incarnation_without_an_entry(self):
        for how, cut in itertools.product(("killed", "stopped"), WORKER_CUTS):
            with self.subTest(how=how, cut=cut):
                fleet = self.start_fleet(workers=2)
                fleet.run_for(15.0)
                fleet.workers.delays_start_to_next_incarnation = True
                fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.05)
                (affected,) = fleet.workers._for_next_incarnation
                fleet.workers.crash(affected)
                fleet.records.remove(f"servers/{affected}")
                former = self.lose_leader(fleet, how)
                self.await_successor(fleet, {former})
                entry = replace(fleet.workers.workers[affected].entry, started_at_ms=2)
                worker = fleet.workers.add(entry, 0.0)
                fleet.run_for(1.0)
                self.assertEqual(len(worker.running), 1)
                WORKER_CUTS[cut](worker)
                self.check_work(fleet, worker, LONGEST_S + START_MAX_S, tasks=1)


class GrantedLeaseTest(ReturnedWorkersTest):
    """Workers that can hold no longer lease than a leader has granted."""

    # Guards against work of a lost worker that waits for a longest lease, although the
    # worker has not returned, or did so long before (LOST).
    def test_work_of_other_workers_does_not_wait_longer(self):
        for (how, cut), kind in itertools.product(
            (
                ("killed", "silent"),
                ("killed", "refuses"),
                ("stopped", "refuses"),
                ("cut off", "silent"),
                ("frozen", "silent"),
            ),
            ("settled", "new", "returned long before"),
        ):
            with self.subTest(how=how, cut=cut, kind=kind):
                fleet, worker = self.start_work_of(kind)
                former = self.lose_leader(fleet, how)
                WORKER_CUTS[cut](worker)
                self.await_successor(fleet, {former})
                wait_s = GRANTED_S + START_MAX_S + FROZEN_S * (how == "frozen")
                self.check_work(fleet, worker, wait_s)

    # The same for a worker that the successor has reached.
    def test_work_of_other_workers_that_have_answered_does_not_wait_longer(self):
        for how, kind in itertools.product(
            ("killed", "stopped"), ("settled", "new", "returned long before")
        ):
            with self.subTest(how=how, kind=kind):
                fleet, worker = self.start_work_of(kind)
                former = self.lose_leader(fleet, how)
                self.await_successor(fleet, {former})
                fleet.run_for(1.0)
                silence(worker)
                self.check_work(fleet, worker, GRANTED_S + START_MAX_S)

    def start_work_of(self, kind):
        """Return a fleet and the worker that is to be lost."""
        if kind == "new":
            fleet = self.start_fleet(workers=1)
            fleet.run_for(15.0)
            fleet.submit(0, job(JOB, tasks=TASKS, standing=True, worker_tasks_max=2))
            fleet.run_for(1.0)
            worker = fleet.add_worker(worker_entry(7), 0.0)
        else:
            fleet, worker_id = self.start_work()
            worker = fleet.workers.workers[worker_id]
            if kind == "returned long before":
                fleet.workers.crash(worker_id)
                fleet.run_for(0.3)
                worker = self.return_worker(fleet, worker_id)
            fleet.run_for(30.0)
        fleet.run_for(2.0)
        self.assertEqual(len(worker.running), 2)
        fleet.add_worker(worker_entry(8), 0.0)
        return fleet, worker


class ForgottenEndTest(ReturnedWorkersTest):
    """Late polls acknowledge ends of the next incarnation, whose numbers begin at 1."""

    # Guards against a task that runs again after its end at the next incarnation, where
    # a poll of the former one has made the worker forget that end (issue 56, TWICE).
    # The poll acknowledges ends for the first time.
    def test_late_poll_acknowledges_the_end_of_a_late_start(self):
        for how in ("stays", "killed", "stopped"):
            with self.subTest(how=how):
                self.check_end(how, is_poll_late=True, is_number_new=True)

    # The same by a poll that repeats a number, which an answered one has acknowledged.
    def test_late_poll_repeats_no_number(self):
        for how in ("stays", "killed", "stopped"):
            with self.subTest(how=how):
                self.check_end(how, is_poll_late=True, is_number_new=False)

    # Guards against a task that runs again although its worker lists that end, which it
    # does unless a late poll comes.
    def test_end_of_a_late_start_is_read(self):
        for how in ("stays", "killed", "stopped"):
            with self.subTest(how=how):
                self.check_end(how, is_poll_late=False, is_number_new=False)

    def check_end(self, how, is_poll_late, is_number_new):
        fleet = self.start_fleet(workers=1, run_s=1.0)
        polls = self.record_polls(fleet, fleet.leader())
        fleet.submit(0, job("b" * 16, tasks=8))
        if is_number_new:
            links = fleet.nodes[fleet.leader()].leader.workers._links
            while links["w0"].evidence.last_end_number < 8:
                fleet.run_for(0.01)
            fleet.workers.workers["w0"].is_reachable = False
            fleet.run_for(0.3)
            self.assertEqual(polls[-1].acknowledged, 8)
        else:
            fleet.run_for(5.0)
            self.assertIn(8, [poll.acknowledged for poll in polls])
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1), wait_s=0.05)
        fleet.workers.crash("w0")
        late_poll = polls[-1]
        former = {self.lose_leader(fleet, how)} if how != "stays" else set()
        fleet.run_for(0.03)
        entry = replace(fleet.workers.workers["w0"].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.02)
        (run,) = worker.running.values()
        # The run has ended before a daemon polls the worker.
        fleet.workers.end(worker, run, "done")
        if is_poll_late:
            fleet.workers.unanswered_polls["w0"] = [late_poll]
            fleet.workers.carry_out_late_polls(worker)
            self.assertEqual(worker.acknowledged_number, 0)
        fleet.records.write("servers/w0", server_record(entry))
        self.await_successor(fleet, former)
        fleet.run_for(LONGEST_S + 12.5 + START_MAX_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])


if __name__ == "__main__":
    unittest.main()
