"""Tests of jobs whose progress was stored by one leader and kept by another."""

import unittest

from dogwoodlever._fleet_job import JobPhase, JobProgress, StepProgress, merge_progress
from dogwoodlever._fleet_types import Queue
from dogwoodlever._run_registry import RunRegistry
from tests.fleet_simulation import QUEUE, job


def running(*done):
    """Return the progress of a running job with the given tasks done, by step."""
    return JobProgress("running", 0, {0: [StepProgress(bits) for bits in done]})


class MergedProgressTest(unittest.TestCase):
    # Guards against jobs that run for ever: no further end of a run completes them.
    def test_job_that_is_done_by_two_leaders_records_completes(self):
        cases = (
            ("each holds a part of the tasks", running("5"), running("a")),
            ("one holds all tasks", running("f"), running("1")),
        )
        for name, stored, unstored in cases:
            with self.subTest(name):
                registry = RunRegistry(2)
                queue = Queue(QUEUE, "", "/", "desk")
                progress = merge_progress(stored, unstored)
                state = registry.add_job(
                    job("a" * 16, tasks=4), queue, 1, 0.0, progress
                )
                self.assertIs(state.phase, JobPhase.COMPLETED)
                self.assertNotIn("a" * 16, registry.active)
                self.assertIn("a" * 16, registry.dirty)

    def test_job_with_a_task_left_goes_on(self):
        registry = RunRegistry(2)
        queue = Queue(QUEUE, "", "/", "desk")
        progress = merge_progress(running("5"), running("8"))
        state = registry.add_job(job("a" * 16, tasks=4), queue, 1, 0.0, progress)
        self.assertIs(state.phase, JobPhase.RUNNING)
        self.assertIn("a" * 16, registry.active)


if __name__ == "__main__":
    unittest.main()
