"""Guards what a refusal for lack of memory promises, and the bound of the memory."""

import unittest

from dogwoodlever._fleet_frontend import CallOutcome
from dogwoodlever._fleet_types import Step, SubmittedJob
from tests.fleet_simulation import QUEUE, FleetSimulation


def make_job(number, tasks=100):
    steps = (Step(tasks, 500, 50, 0, 500, label="absent"),)
    return SubmittedJob(f"{number:016x}", QUEUE, "payload", steps)


class RefusalTest(unittest.TestCase):
    def start(self):
        fleet = FleetSimulation()
        fleet.run_for(2.0)
        other = next(n for n in range(3) if n != fleet.leader())
        return fleet, other

    # 503 promises that the job never runs; this one was accepted, and runs.
    def test_accepted_job_is_not_refused_while_the_store_is_unreachable(self):
        fleet, other = self.start()
        job = make_job(1)
        self.assertEqual(fleet.submit(fleet.leader(), job, 1.0).outcome, "done")
        fleet.nodes[other]._room.update(10**9, 10)
        fleet.stores[other].is_down = True
        result = fleet.submit(other, job, 4.0)
        self.assertIn(result.outcome, (CallOutcome.DONE, CallOutcome.UNKNOWN))
