"""Faults that a review of the trace of unacknowledged ends has found (issue 62)."""

import unittest

from dogwoodlever._fleet_records import LEADER_KEY
from tests.fleet_simulation import JOB, STEP_S, FleetSimulation, job

# Time in which work starts after the loss of the first leader.
START_S = 5.0


def kill_first_leader(fleet):
    """Kill the first leader as soon as it is elected, before it writes anything."""
    while not any(node.election.leads for node in fleet.nodes):
        fleet.run_for(STEP_S)
    fleet.kill([node.election.leads for node in fleet.nodes].index(True))


def lose_first_election(fleet):
    """Lose the answer to the write that makes the first leader."""
    while fleet.records.read(LEADER_KEY) is None:
        for store in fleet.stores:
            store.answers_to_lose = 1
        fleet.run_for(STEP_S)
    for store in fleet.stores:
        store.answers_to_lose = 0


class FirstTermTest(unittest.TestCase):
    # Guards against work that waits for workers of a first leader that had none, as it
    # was lost before it stored that there were none.
    def test_loss_of_the_first_leader_delays_no_work(self):
        for lose in (kill_first_leader, lose_first_election):
            with self.subTest(lose.__name__):
                fleet = FleetSimulation(run_s=0.0)
                lose(fleet)
                alive = next(n for n, c in enumerate(fleet.clocks) if c.is_alive)
                fleet.submit(alive, job(JOB, tasks=2, standing=True))
                fleet.run_for(START_S)
                self.assertEqual(fleet.nodes[fleet.leader()].leader.term, 2)
                self.assertEqual(len(fleet.workers.starts), 2)


if __name__ == "__main__":
    unittest.main()
