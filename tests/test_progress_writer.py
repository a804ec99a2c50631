"""Writes of progress that cannot succeed hold back nothing else."""

import unittest
from unittest.mock import patch

from dogwoodlever._fleet_records import TERM_KEY, cancel_key, job_key, progress_key
from dogwoodlever._fleet_retention import RETENTION_MARGIN_S, Retention
from dogwoodlever._progress_retries import REFUSALS_FOR_GOOD
from dogwoodlever._progress_transaction import VALUES_BYTES_MAX
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    PlatformError,
    StoreRefusedError,
    StoreUnavailableError,
)
from tests.progress_fleet import (
    ENTRIES_MAX,
    ProgressFleet,
    list_existing,
    list_tombstones,
)

# Time in which an end has to be acknowledged in calm.
ACKNOWLEDGE_S = 4.0
JOBS = 40


def refuse(error):
    """Return a fault: each write with the first job fails with an error."""
    return lambda fleet, job_id: fleet.store.errors.update({job_id: error})


def lose_end(fleet, job_id):
    """Carry out the write that ends the job, without an answer."""
    fleet.end_task(job_id, 0)
    fleet.run_for(0.5)
    fleet.store.fault = lambda keys: lose_once(fleet, job_key(job_id), keys)
    fleet.end_task(job_id, 1)
    fleet.run_for(0.1)


def lose_once(fleet, key, keys):
    if key in keys:
        fleet.store.fault = lambda keys: None
        return "lost"
    return None


def remove_progress(fleet, job_id):
    """Remove the job's progress by another hand."""
    fleet.end_task(job_id, 0)
    fleet.run_for(0.5)
    fleet.records.remove(progress_key(job_id))


def restore_store(fleet, job_id):
    """Restore a former state of the store, in which the progress is another one."""
    remove_progress(fleet, job_id)
    fleet.records.write(progress_key(job_id), b"former")


def break_encoding(fleet, job_id):
    """Let the job's progress be one that cannot be encoded."""
    state = fleet.registry.jobs[job_id]
    progress = type(state).progress

    def fail_for_job(other):
        if other is state:
            raise TypeError("no progress")
        return progress(other)

    broken = patch.object(type(state), "progress", fail_for_job)
    broken.start()
    fleet.cleanups.append(broken.stop)


def remove_job(fleet, job_id):
    """Remove the job while its progress has changed."""
    fleet.registry.dirty.add(job_id)
    fleet.registry.remove_job(job_id)


class FailingWritesTest(unittest.TestCase):
    # name, fault, whether the job is stored in the end
    FAULTS = [
        ("answer to the end lost", lose_end, True),
        ("progress removed", remove_progress, True),
        ("store restored", restore_store, True),
        ("too large", refuse(PlatformError("store: status 400: value")), False),
        ("forbidden", refuse(PlatformError("store: status 403")), False),
        ("unknown code", refuse(PlatformError("store: status 418")), False),
        ("lease of a write", refuse(LeaseEndedError("ended")), False),
        ("fault of the client", refuse(ValueError("no address")), False),
        ("refused as too frequent", refuse(StoreRefusedError("429")), False),
        ("no answer", refuse(StoreUnavailableError("no response")), False),
        ("not encodable", break_encoding, False),
        ("removed", remove_job, None),
    ]

    # Guards against one job's write that fails for good and holds back the progress of
    # other jobs, the ends of other workers and the ends that callers ask for.
    def test_other_jobs_are_stored_and_acknowledged(self):
        for name, fault, is_stored in self.FAULTS:
            for list_current in (list_existing, list_tombstones, tuple, lambda _: ()):
                with self.subTest(name, list_current=list_current):
                    self.check_others(fault, is_stored, list_current)

    def check_others(self, fault, is_stored, list_current):
        fleet = ProgressFleet()
        fleet.cleanups = []
        fleet.store.list_current = list_current
        jobs = [fleet.add_job(number) for number in range(JOBS)]
        first, *others = jobs
        try:
            fault(fleet, first)
            if first in fleet.registry.active:
                fleet.end_task(first, 1)
            for number, job_id in enumerate(others):
                for index in range(1 + number % 2):
                    fleet.end_task(job_id, index, worker=1 + number % 2)
            fleet.run_for(ACKNOWLEDGE_S)
        finally:
            for cleanup in fleet.cleanups:
                cleanup()
        for number, job_id in enumerate(others):
            self.assertEqual(fleet.stored_tasks(job_id), set(range(1 + number % 2)))
            self.assertTrue(fleet.writer.is_stored(job_id))
        self.assertEqual(fleet.links[1].ended, [])
        self.assertEqual(fleet.links[2].ended, [])
        if is_stored is not None:
            self.assertEqual(1 in fleet.stored_tasks(first), is_stored)
            self.assertEqual(fleet.writer.is_stored(first), is_stored)
            self.assertEqual(not fleet.links[0].ended, is_stored)

    # Guards against a transaction beyond the store's limit, as jobs of it have ended
    # since it was cut.
    def test_jobs_end_while_their_batch_is_repeated(self):
        fleet = ProgressFleet()
        sizes = []
        jobs = [fleet.add_job(number) for number in range(15)]
        for job_id in jobs:
            fleet.records.write(progress_key(job_id), b"unknown")
            fleet.end_task(job_id, 0)

        def end_jobs(keys):
            fleet.store.fault = lambda keys: sizes.append(len(keys))
            for job_id in jobs:
                fleet.end_task(job_id, 1, worker=1)
            fleet._poll(1)

        fleet.store.fault = end_jobs
        fleet.run_for(0.5)
        for job_id in jobs:
            self.assertEqual(fleet.stored_tasks(job_id), {0, 1})
        self.assertEqual(fleet.links[1].ended, [])
        self.assertLessEqual(max(sizes), ENTRIES_MAX)

    # Guards against a write that no link carries within the time-out of a call, though
    # it does so for each of its records.
    def test_large_records_are_written_in_parts(self):
        fleet = ProgressFleet()
        sizes = []
        commit = fleet.store.commit

        def record(expected, puts, deletes=()):
            sizes.append(sum(len(put.value) for put in puts))
            return commit(expected, puts, deletes)

        fleet.store.commit = record
        jobs = [fleet.add_job(number) for number in range(20)]
        for job_id in jobs:
            task = next(iter(fleet.registry.jobs[job_id].tasks()))
            task.checkpoint = "x" * 60_000
            fleet.end_task(job_id, 1)
        fleet.run_for(0.5)
        for job_id in jobs:
            self.assertEqual(fleet.stored_tasks(job_id), {1})
        self.assertLessEqual(max(sizes), VALUES_BYTES_MAX)

    # Guards against a leader that stops and stores nothing after a batch that fails.
    def test_last_write_leaves_out_only_what_fails(self):
        fleet = ProgressFleet()
        jobs = [fleet.add_job(number) for number in range(JOBS)]
        fleet.store.errors[jobs[0]] = PlatformError("store: status 400")
        for job_id in jobs:
            fleet.end_task(job_id, 0)
        fleet.run_for(0.06)
        fleet.writer.close()
        fleet.clock.pump([0.005] * 200)
        for job_id in jobs[1:]:
            self.assertEqual(fleet.stored_tasks(job_id), {0})

    # Guards against writes by a leader that another term has replaced, and against
    # acknowledgements after that.
    def test_another_term_ends_the_writes(self):
        fleet = ProgressFleet()
        job_id = fleet.add_job(0)
        fleet.records.write(TERM_KEY, b"next")
        fleet.end_task(job_id, 0)
        fleet.run_for(2.0)
        self.assertEqual(fleet.stored_tasks(job_id), set())
        self.assertEqual(len(fleet.links[0].ended), 1)
        self.assertLessEqual(fleet.store.commits, 9)

    # Guards against a job that is refused and written ever more often, or logged each
    # time, and against one that is not written once the store accepts it.
    def test_refused_job_is_tried_with_pauses(self):
        fleet = ProgressFleet()
        job_id = fleet.add_job(0)
        fleet.store.errors[job_id] = PlatformError("store: status 400")
        fleet.end_task(job_id, 0)
        with patch("dogwoodlever._progress_retries.log_event") as log:
            fleet.run_for(20.0)
            self.assertEqual(fleet.metrics.unstorable_jobs._value.get(), 1)
            self.assertEqual(log.call_count, 1)
            self.assertIn(fleet.store.commits, range(8, 14))
            del fleet.store.errors[job_id]
            fleet.run_for(2.5)
        self.assertEqual(fleet.links[0].ended, [])
        self.assertEqual(fleet.metrics.unstorable_jobs._value.get(), 0)


class AcknowledgementsTest(unittest.TestCase):
    # Guards against an end that is acknowledged before its job is stored, and against
    # later ends of other jobs that are acknowledged with it.
    def test_unstored_end_holds_back_later_ones_of_its_worker_only(self):
        fleet = ProgressFleet(tasks=4)
        jobs = [fleet.add_job(number) for number in range(4)]
        fleet.store.errors[jobs[1]] = PlatformError("store: status 400")
        for job_id in jobs:
            fleet.end_task(job_id, 0)
            fleet.end_task(job_id, 1, worker=1 + (job_id == jobs[1]))
        fleet.run_for(2.0)
        self.assertEqual(fleet.acknowledged, [[1], [1, 2, 3], []])
        # The job changes again, and others with it.
        for job_id in jobs:
            fleet.end_task(job_id, 2, worker=1)
        fleet.run_for(2.0)
        self.assertEqual(fleet.acknowledged, [[1], [1, 2, 3, 4], []])
        fleet.store.errors.clear()
        fleet.run_for(2.5)
        self.assertEqual([link.ended for link in fleet.links], [[], [], []])

    # Guards against ends that wait for a job that changes in each write.
    def test_job_that_changes_all_the_time_is_acknowledged(self):
        fleet = ProgressFleet(tasks=200)
        job_id = fleet.add_job(0)
        for index in range(150):
            fleet.end_task(job_id, index)
            fleet.run_for(0.03)
            self.assertLess(len(fleet.links[0].ended), 20)

    # Guards against ends that wait for a long pass over many jobs on a slow store.
    def test_ends_are_acknowledged_during_a_long_pass(self):
        fleet = ProgressFleet()
        jobs = [fleet.add_job(number) for number in range(JOBS * 10)]
        for number, job_id in enumerate(jobs):
            fleet.end_task(job_id, 0, worker=number * 3 // len(jobs))
        with patch("tests.progress_fleet.STORE_DELAY_S", 0.25):
            fleet.run_for(2.0)
            self.assertGreater(len(fleet.acknowledged[0]), 30)

    # Guards against a worker whose list is full of ends that cannot be stored, so that
    # its other ends are never read; and against these being acknowledged earlier.
    def test_full_list_gives_up_ends_of_refused_jobs(self):
        fleet = ProgressFleet(tasks=400)
        refused, other, *rest = [fleet.add_job(number) for number in range(60)]
        fleet.store.errors[refused] = PlatformError("store: status 400")
        fleet.end_task(refused, 0)
        for index in range(200):
            fleet.end_task(other, index)
        for job_id in rest:
            fleet.end_task(job_id, 0, worker=1)
            fleet.run_for(0.25)
        self.assertEqual(len(fleet.links[0].ended), 201)
        for index in range(200, 300):
            fleet.end_task(other, index)
        fleet.end_task(rest[0], 1, worker=1)
        fleet.run_for(4.0)
        self.assertEqual(fleet.links[0].ended, [])
        self.assertIn(refused, fleet.reported)

    # Guards against ends that are given up while nothing at all can be stored.
    def test_full_list_waits_while_no_job_is_stored(self):
        fleet = ProgressFleet(tasks=400)
        jobs = [fleet.add_job(number) for number in range(3)]
        for job_id in jobs:
            fleet.store.errors[job_id] = PlatformError("store: status 403")
            for index in range(100):
                fleet.end_task(job_id, index)
        fleet.run_for(2.0 * (REFUSALS_FOR_GOOD + 3))
        self.assertEqual(fleet.acknowledged[0], [])


class RetentionTest(unittest.TestCase):
    # Guards against a record that nobody removes, as the end of a job is written while
    # its records are removed.
    def test_job_is_kept_while_its_end_is_written(self):
        for is_answered in (False, True):
            with self.subTest(is_answered=is_answered):
                self.assertEqual(self.find_removed(is_answered), is_answered)

    def find_removed(self, is_answered):
        """Return whether a job is removed of whose end no write is answered."""
        fleet = ProgressFleet()
        job_id = fleet.add_job(0)
        removed = []
        retention = Retention(
            fleet.observed,
            fleet.clock,
            fleet.registry,
            1.0,
            lambda: fleet.term_revision,
            removed.extend,
            fleet.writer.is_stored,
        )
        if not is_answered:
            error = StoreUnavailableError("no response")
            removal = cancel_key(job_id)
            fleet.store.fault = lambda keys: None if removal in keys else error
        for index in range(fleet.tasks):
            fleet.end_task(job_id, index)
        for _ in range(round((RETENTION_MARGIN_S + 10.0) / 0.1)):
            fleet.run_for(0.1)
            retention.sweep()
        return bool(removed)


if __name__ == "__main__":
    unittest.main()
