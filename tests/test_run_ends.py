"""Ends of runs are matched by the worker that lists them, not by the number alone."""

import unittest

from dogwoodlever._fleet_job import StartRecord
from dogwoodlever._fleet_types import EndedRun, Queue, RunId
from dogwoodlever._run_registry import RUNS_PER_TERM, RunRegistry
from dogwoodlever._start_records import StartRecords
from tests.fleet_simulation import JOB, QUEUE, job

QUEUE_OF_JOB = Queue(QUEUE, "desk.example", "/quotes/", "desk", attempts_max=3)


def add_job(registry, **fields):
    """Add a job and return the first task."""
    state = registry.add_job(job(JOB, **fields), QUEUE_OF_JOB, 1, 0.0)
    state.open_due(0.0)
    return state.occurrences[0].steps[0].tasks[0]


class RunEndsTest(unittest.TestCase):
    # A former leader's numbers reach those of a later term, so equal numbers need no
    # equal base of two terms.
    def test_many_restarts_reach_the_numbers_of_the_next_term(self):
        first, second = RunRegistry(1), RunRegistry(2)
        former, task = add_job(first, standing=True), add_job(second, standing=True)
        for _ in range(RUNS_PER_TERM + 1):
            run = first.begin_run(former, "w0", 0.0)
            first.end_run(EndedRun(1, run.run_id, "failed", ""), "w0")
        self.assertEqual(
            run.run_id.number, second.begin_run(task, "w1", 0.0).run_id.number
        )

    # worker that lists the end, how it ended, whether the run on w1 goes on, whether
    # the task is done
    ENDS = [
        ("w1", "lapsed", False, False),
        ("w1", "failed", False, False),
        ("w1", "done", False, True),
        ("w0", "lapsed", True, False),
        ("w0", "stopped", True, False),
        ("w0", "broken", True, False),
        ("w0", "alone", True, False),
        ("w0", "failed", True, False),
        ("w0", "done", True, True),
    ]

    # Guards against a run that is started again while it works on, since another
    # worker lists the end of a run of the same number.
    def test_end_of_another_worker_leaves_the_run(self):
        for worker_id, outcome, goes_on, is_done in self.ENDS:
            for gang in (False, True):
                with self.subTest(worker_id, outcome=outcome, gang=gang):
                    registry = RunRegistry(2)
                    task = add_job(registry, tasks=1, gang=gang)
                    run = registry.begin_run(task, "w1", 0.0)
                    result = registry.end_run(
                        EndedRun(1, run.run_id, outcome, ""), worker_id
                    )
                    self.assertEqual(task.runs.get(run.run_id.number) is run, goes_on)
                    self.assertEqual(task.is_done, is_done)
                    # The run of a task that is done elsewhere is stopped.
                    is_stopped = goes_on and is_done
                    self.assertEqual(run in result.obsolete, is_stopped)

    # Number of the run that ended, stored checkpoint, expected checkpoint.
    CHECKPOINTS = [(1, "", "old"), (1, "new", "new"), (2, "new", "old")]

    # Guards against work that is done again, as a late end brings an old checkpoint.
    def test_end_of_an_earlier_run_replaces_no_checkpoint(self):
        for number, stored, expected in self.CHECKPOINTS:
            with self.subTest(number=number, stored=stored):
                registry = RunRegistry(1)
                task = add_job(registry, checkpoints=True)
                registry.begin_run(task, "w0", 0.0)
                registry.begin_run(task, "w1", 0.0)
                task.checkpoint = stored
                end = EndedRun(1, RunId(task.task_id, number), "lapsed", "old")
                registry.end_run(end, "w0" if number == 1 else "w1")
                self.assertEqual(task.checkpoint, expected)

    # Guards against a crash that is not counted, since a run on another worker has the
    # number of the stored start.
    def test_stored_start_is_matched_by_its_worker(self):
        for worker_id, lost in (("w0", 0), ("w1", 1)):
            with self.subTest(worker_id):
                registry = RunRegistry(2)
                task = add_job(registry)
                number = registry.begin_run(task, worker_id, 0.0).run_id.number
                task.start_record = StartRecord(number, "w0", 5)
                records = StartRecords()
                records.add_job(task.step.job)
                self.assertEqual(len(records.pop_lost("w0", 9, 10.0)), lost)


if __name__ == "__main__":
    unittest.main()
