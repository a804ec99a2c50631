"""Faults that a review of the trace of unacknowledged ends has found (issue 62)."""

import unittest

from dogwoodlever._fleet_records import LEADER_KEY, job_key
from dogwoodlever.platform_errors import PlatformError, StoreRejectedError
from tests.fleet_simulation import JOB, STEP_S, FleetSimulation, job
from tests.rejected_writes import reject_writes

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


class SubmissionRestorerTest(unittest.TestCase):
    # Guards against a submission that cannot be written anew, behind which all others
    # stay removed, so that the next leader does not know their jobs.
    def test_one_that_fails_holds_no_other(self):
        for error in (StoreRejectedError, PlatformError):
            with self.subTest(error.__name__):
                fleet = FleetSimulation(run_s=0.0)
                fleet.run_for(1.0)
                keys = [job_key(letter * 16) for letter in "abc"]
                for key in keys:
                    fleet.submit(0, job(key[-16:], tasks=1, standing=True))
                store = fleet.stores[fleet.leader()]
                reject_writes(store, keys[0].__eq__, error)
                for key in keys:
                    fleet.records.remove(key)
                fleet.run_for(3.0)
                self.assertTrue(all(map(fleet.records.read, keys[1:])))


if __name__ == "__main__":
    unittest.main()
