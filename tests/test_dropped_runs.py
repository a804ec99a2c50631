"""Memory of dropped runs."""

import unittest

from dogwoodlever._drop_evidence import DropCause, DropEvidence
from dogwoodlever._dropped_runs import KEPT_MAX, KEPT_S, DroppedRuns
from dogwoodlever._fleet_types import RunId, TaskId
from tests.fleet_simulation import worker_entry

CAUSE = DropCause(DropEvidence.NOT_LISTED, 10.0)


def run_id(number):
    return RunId(TaskId("a" * 16, 0, 0, 0), number)


class DroppedRunsTest(unittest.TestCase):
    def test_fields(self):
        dropped = DroppedRuns()
        dropped.add(run_id(1), worker_entry(3, started_at_ms=7), CAUSE, 12.0)
        fields = {
            "dropped_worker": "w3",
            "dropped_incarnation": 7,
            "evidence": "not-listed",
            "evidence_age_s": 4.0,
        }
        self.assertEqual(dropped.log_fields(run_id(1), 14.0), fields)
        self.assertEqual(dropped.log_fields(run_id(2), 14.0), {})

    # Guards against a memory that grows with each lost worker.
    def test_what_is_kept_is_bounded(self):
        table = (
            # runs that are dropped at 0 s, time, runs that are still known
            (3, KEPT_S, 3),
            (3, KEPT_S + 0.1, 0),
            (KEPT_MAX + 2, 0.0, KEPT_MAX),
        )
        for count, now_s, known in table:
            with self.subTest(count=count, now_s=now_s):
                dropped = DroppedRuns()
                for number in range(count):
                    dropped.add(run_id(number), worker_entry(0), CAUSE, 0.0)
                found = [
                    n for n in range(count) if dropped.log_fields(run_id(n), now_s)
                ]
                self.assertEqual(found, list(range(count - known, count)))
                self.assertLessEqual(len(dropped._drops), KEPT_MAX)

    def test_run_that_is_dropped_again_is_kept_longer(self):
        dropped = DroppedRuns()
        for now_s in (0.0, 10.0):
            dropped.add(run_id(1), worker_entry(0), CAUSE, now_s)
        self.assertTrue(dropped.log_fields(run_id(1), KEPT_S + 5.0))


if __name__ == "__main__":
    unittest.main()
