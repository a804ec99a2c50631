"""Longest leases, which calls for a worker's former incarnation grant at the next one.

The clock of an incarnation starts anew, so a call for the former one carries a time
that is far ahead there: the worker grants the longest lease in place of the one that
leaders grant. Whoever leads has to wait for it before it starts the runs of that worker
elsewhere.
"""

import itertools
import unittest
from dataclasses import replace

from dogwoodlever._run_evidence import lease_bound_s
from dogwoodlever.platform_errors import StoreUnavailableError
from standins.fleet import LEASE_MAX_MS, server_record
from tests.fleet_simulation import STOP_S, StandingWorkTest, worker_entry

# Far ahead on the clock of an incarnation that has just started.
FORMER_CLOCK_MS = 10**9
TASKS = 4
# Longest time from a call for the former incarnation to the end of the runs.
LONGEST_S = lease_bound_s(LEASE_MAX_MS / 1000, STOP_S)
# From the loss of a leader to the removal of its record. The store may remove it early;
# longer elections hide runs that start too early.
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

    def count_elsewhere(self, fleet, worker):
        return self.count_running(fleet) - len(worker.running)

    def check_work(self, fleet, worker, limit_s):
        """Check that all work runs elsewhere within a time, and never twice."""
        fleet.run_for(limit_s)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_elsewhere(fleet, worker), TASKS)


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


if __name__ == "__main__":
    unittest.main()
