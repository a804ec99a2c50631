"""Writes of the leader whose answer is lost, on the store in the platform's form."""

import unittest
from unittest.mock import patch

from dogwoodlever._fleet_records import PROGRESS_PREFIX, job_key
from standins.wire_store import ConflictForm
from tests.fleet_simulation import JOB, FleetSimulation, job

# Within this time of calm an end that a worker lists is acknowledged.
ACKNOWLEDGED_S = 4.0
LATER_JOB = "b" * 16
# From the loss of the answer until the write is repeated.
REPEATED_S = 1.5
# Time at which a lost write is carried out: at once, or before it is repeated.
CARRIED_OUT_S = (0.0, 0.95)


class LostAnswersTest(unittest.TestCase):
    def setUp(self):
        self.failed_writes = []
        log_event = patch(
            "dogwoodlever._fleet_progress_writer.log_event", self.record_event
        )
        log_event.start()
        self.addCleanup(log_event.stop)

    def record_event(self, event, **fields):
        if event == "journal.write-failed":
            self.failed_writes.append(fields["why"])

    def lose_end_of_job(self, form, carried_out_s):
        """Lose the answer to the write that ends a job; return the fleet."""
        fleet = FleetSimulation(has_wire_store=True)
        fleet.wire_store.conflict_form = form
        fleet.run_for(2.0)
        leader = fleet.leader()
        fleet.submit(leader, job(JOB, steps=2))
        # Its first step has ended, and its progress is stored.
        fleet.run_for(1.5)
        self.assertTrue(fleet.records.list(PROGRESS_PREFIX).records)
        store = fleet.stores[leader]
        store.lost_prefix = job_key(JOB)
        store.commit_delay_s = carried_out_s
        while store.commit_delay_s is not None:
            fleet.run_for(0.01)
        fleet.run_for(REPEATED_S)
        return fleet

    # Guards against a write that fails to the end of the term and holds all others
    # back, since a key that it expects is gone (issue 62).
    def test_answer_to_the_end_of_a_job(self):
        for form in ConflictForm:
            for carried_out_s in CARRIED_OUT_S:
                with self.subTest(form, carried_out_s=carried_out_s):
                    fleet = self.lose_end_of_job(form, carried_out_s)
                    self.failed_writes.clear()
                    leader = fleet.leader()
                    fleet.submit(leader, job(LATER_JOB))
                    fleet.run_for(1.2 + ACKNOWLEDGED_S)
                    listed = [w.ended for w in fleet.workers.workers.values()]
                    self.assertEqual(listed, [[], [], []])
                    self.assertEqual(self.failed_writes, [])
                    for job_id in (JOB, LATER_JOB):
                        phase = fleet.read_phase(leader, job_id)
                        self.assertEqual(str(phase), "completed")
                    self.assertEqual(fleet.records.list(PROGRESS_PREFIX).records, ())
                    self.assertEqual(fleet.leader(), leader)


if __name__ == "__main__":
    unittest.main()
