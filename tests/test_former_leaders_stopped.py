"""A leader passes on how long the leaders before it may have renewed leases."""

import unittest
from unittest import mock

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_node import FleetNode
from dogwoodlever._fleet_records import LEADER_KEY
from dogwoodlever._run_evidence import lease_bound_s
from dogwoodlever._worker_link import RUN_LEASE_TARGET_S
from tests.fleet_simulation import STOP_S, StandingWorkTest
from tests.test_worker_recovery import crash, crash_and_unlist, silence

TASKS = 4
# Longest time from the stop of the last leader that has reached a worker until the
# work of that worker may start elsewhere.
LEASES_S = lease_bound_s(RUN_LEASE_TARGET_S, STOP_S)
# How long after the election of a successor a leader that is cut off renews leases.
GRANTS_S = WORKER_LEASES_MAX_S - RUN_LEASE_TARGET_S
# Covers a call that gets no answer and a planning round.
START_MAX_S = 1.1


class ShortTermTest(StandingWorkTest):
    """A worker and the leader are lost together, and the next leader leads briefly."""

    def kill_leader(self, fleet, is_restarted, answers_after_s=0.0):
        """Kill the leader; a later process may answer at its address."""
        killed = fleet.leader()
        fleet.kill(killed)
        fleet.add_daemon(f"vm{len(fleet.nodes)}")
        if is_restarted:
            mesh = fleet.nodes[-1].mesh
            fleet.members[fleet.nodes[killed].member] = mesh
            send = mesh.send
            mesh.send = lambda *message: fleet.clock.callLater(
                answers_after_s, send, *message
            )

    def await_leader(self, fleet):
        while fleet.leader() is None:
            fleet.run_for(0.01)
        return fleet.leader()

    def lose_worker_and_leaders(self, lose, short_s, is_restarted, shorts=1, **restart):
        """Return the fleet, the lost worker's runs, and when each leader took over."""
        fleet = self.start_fleet(workers=4, daemons=7)
        lost = self.start_standing_job(fleet, TASKS)
        moved = len(fleet.workers.workers[lost].running)
        self.assertGreater(moved, 0)
        lose(fleet, lost)
        fleet.run_for(0.5)
        self.kill_leader(fleet, is_restarted, **restart)
        took_over_s = []
        for _ in range(shorts):
            short = self.await_leader(fleet)
            took_over_s.append(fleet.clock.seconds())
            fleet.run_for(short_s)
            fleet.nodes[short].stop()
        self.await_leader(fleet)
        took_over_s.append(fleet.clock.seconds())
        while len(fleet.workers.starts) < TASKS + moved:
            fleet.run_for(0.05)
            self.assertLess(fleet.clock.seconds() - took_over_s[-1], 20.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        return fleet, took_over_s

    # Guards against work that waits, from each election on, for leases of leaders that
    # have stopped, since only the leader of a short term was told so (issue 44, LOST).
    def test_work_starts_once_the_leases_of_stopped_leaders_have_expired(self):
        for lose in (crash, crash_and_unlist, silence):
            for short_s, shorts in ((0.1, 1), (0.35, 1), (0.35, 3)):
                with self.subTest(lose.__name__, short_s=short_s, shorts=shorts):
                    fleet, took_over_s = self.lose_worker_and_leaders(
                        lose, short_s, True, shorts
                    )
                    waited_s = fleet.clock.seconds() - took_over_s[-1]
                    self.assertLess(waited_s, LEASES_S + START_MAX_S)

    # Guards against an answer that is forgotten, as the leader that asked had just
    # resigned; its daemon tells the next one.
    def test_answer_that_arrives_after_the_term_is_passed_on(self):
        for answers_after_s in (0.0, 0.17, 0.2, 0.22):
            with self.subTest(answers_after_s=answers_after_s):
                fleet, took_over_s = self.lose_worker_and_leaders(
                    silence, 0.1, True, answers_after_s=answers_after_s
                )
                waited_s = fleet.clock.seconds() - took_over_s[-1]
                self.assertLess(waited_s, LEASES_S + START_MAX_S)

    # Guards against a leader that asks itself whether an earlier process at its own
    # address leads, answers that it does, and waits as if that one were cut off.
    def test_work_starts_under_the_next_process_of_the_former_leader(self):
        fleet = self.start_fleet(workers=4, daemons=1)
        lost = self.start_standing_job(fleet, TASKS)
        moved = len(fleet.workers.workers[lost].running)
        silence(fleet, lost)
        fleet.kill(0)
        fleet.add_daemon("vm0")
        fleet.members[fleet.nodes[0].member] = fleet.nodes[1].mesh
        self.await_leader(fleet)
        fleet.run_for(LEASES_S + START_MAX_S)
        self.assertEqual(len(fleet.workers.starts), TASKS + moved)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a wait that begins anew, as the leader of a short term has just
    # started and does not know when its predecessor was elected (issue 44, LOST).
    def test_short_term_of_a_daemon_that_has_just_started(self):
        fleet = self.start_fleet(workers=4, daemons=7)
        lost = self.start_standing_job(fleet, TASKS)
        moved = len(fleet.workers.workers[lost].running)
        silence(fleet, lost)
        fleet.run_for(0.5)
        self.kill_leader(fleet, True)
        started_s = fleet.clock.seconds()
        for node in fleet.nodes:
            node.election._given_up_until_s = started_s + 2.5
        while fleet.records.read(LEADER_KEY) is not None:
            fleet.run_for(0.01)
        fleet.add_daemon("vm-new")
        self.assertEqual(self.await_leader(fleet), len(fleet.nodes) - 1)
        fleet.run_for(0.35)
        fleet.nodes[-1].stop()
        self.await_leader(fleet)
        fleet.run_for(LEASES_S + START_MAX_S)
        self.assertEqual(len(fleet.workers.starts), TASKS + moved)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a successor that takes a leader for stopped of which no process has
    # said so, and which may be cut off and renew leases.
    def test_work_waits_for_leaders_that_may_be_cut_off(self):
        for lose in (crash, silence):
            with self.subTest(lose.__name__):
                fleet, took_over_s = self.lose_worker_and_leaders(lose, 0.1, False)
                waited_s = fleet.clock.seconds() - took_over_s[0]
                # The candidate learns that it is elected some milliseconds later.
                self.assertGreater(waited_s, GRANTS_S + LEASES_S - 0.1)

    # Guards against what a daemon knows of an earlier term than the one before, after
    # which others may have led; it does if the answer to its candidacy was lost.
    def test_knowledge_of_an_earlier_term_is_not_used(self):
        def close(node):
            close_leader(node)
            node._last_term -= 1

        close_leader = FleetNode._close_leader
        with mock.patch.object(FleetNode, "_close_leader", close):
            fleet, took_over_s = self.lose_worker_and_leaders(silence, 0.1, True)
        waited_s = fleet.clock.seconds() - took_over_s[0]
        self.assertGreater(waited_s, GRANTS_S + LEASES_S - 0.1)


if __name__ == "__main__":
    unittest.main()
