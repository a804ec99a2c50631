"""A gang starts whole, whatever is placed beside it and whoever refuses a member."""

import unittest

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_leader import STARTS_PER_ROUND
from tests.fleet_simulation import FleetSimulation, job

GANG = "f" * 16


class GangTest(unittest.TestCase):
    def start_fleet(self, workers=30, run_s=2.0):
        fleet = FleetSimulation(workers=workers, run_s=run_s)
        fleet.run_for(1.0)
        return fleet

    def gang_starts(self, fleet):
        return [run for run, _ in fleet.workers.starts if run.task.job_id == GANG]

    # name, members, tasks placed before it in its round, members on one worker at most
    GANGS = [
        ("below a round", STARTS_PER_ROUND - 1, 0, 0),
        ("more members than a round starts", 72, 0, 0),
        ("three rounds", 3 * STARTS_PER_ROUND, 0, 0),
        ("behind other work that fills most of a round", 20, 60, 0),
        ("behind other work that fills the round exactly", 20, STARTS_PER_ROUND, 0),
        ("large, behind other work", 72, 100, 0),
        ("large, three on a worker at most", 72, 0, 3),
    ]

    # Guards against a gang that is cut by the limit of a round: its members wait for
    # the others, end alone and are started again for ever.
    def test_gang_starts_whole(self):
        for name, members, others, worker_tasks_max in self.GANGS:
            with self.subTest(name):
                fleet = self.start_fleet()
                if others:
                    fleet.submit(0, job("0" * 16, tasks=others), wait_s=0.0)
                gang = job(
                    GANG, tasks=members, gang=True, worker_tasks_max=worker_tasks_max
                )
                fleet.submit(0, gang, wait_s=0.3)
                starts = self.gang_starts(fleet)
                self.assertEqual(len(starts), members)
                self.assertEqual(len({run.number for run in starts}), 1)
                fleet.run_for(4.0)
                self.assertEqual(fleet.read_phase(0, GANG), JobPhase.COMPLETED)
                self.assertEqual(len(self.gang_starts(fleet)), members)

    # reason, whether another worker takes the refused member
    REFUSALS = [
        (RefusalReason.NO_ROOM, True),
        (RefusalReason.UNHEALTHY, True),
        # The run may have been carried out there before.
        (RefusalReason.SUPERSEDED, False),
    ]

    # Guards against a gang that waits in vain for a member whose worker refused it.
    def test_refused_member_starts_elsewhere_in_the_same_run(self):
        for reason, is_taken in self.REFUSALS:
            with self.subTest(reason):
                fleet = self.start_fleet(workers=4)
                fleet.workers.start_refusals.append(reason)
                fleet.submit(0, job(GANG, tasks=8, gang=True), wait_s=0.5)
                starts = self.gang_starts(fleet)
                self.assertEqual(len({run.number for run in starts}), 1)
                self.assertEqual(len({run.task for run in starts}), 7 + is_taken)

    # Guards against a copy of one member, which would wait for the others in vain.
    def test_no_member_is_copied(self):
        fleet = self.start_fleet(workers=4, run_s=30.0)
        gang = job(GANG, tasks=4, gang=True, speculative=True)
        fleet.submit(0, gang, wait_s=0.5)
        leader = fleet.nodes[fleet.leader()].leader
        leader.workers.runs._stop_stalled = lambda *_: None
        fleet.run_for(8.0)
        self.assertEqual(len(self.gang_starts(fleet)), 4)


if __name__ == "__main__":
    unittest.main()
