"""Drawn histories of a store that fails while jobs change and end."""

import random
import unittest

from dogwoodlever._fleet_records import progress_key
from dogwoodlever.platform._http_store import CALL_TIMEOUT_S
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    PlatformError,
    StoreRefusedError,
    StoreUnavailableError,
)
from tests.progress_fleet import ProgressFleet, list_existing, list_tombstones

SEEDS = range(60)
JOBS = 40
TASKS = 4
STEP_S = 0.05
FAULTS_S = 10.0
FAULT_S = 1.5
# Time in calm after which everything that is not refused is stored and acknowledged:
# the last write that gets no answer is open as calm begins.
CALM_S = 4.0 + CALL_TIMEOUT_S
# The same for each further job whose writes get no answer: two time-outs.
UNANSWERED_JOB_S = 1.7
REFUSALS = (
    PlatformError("store: status 400"),
    PlatformError("store: status 403"),
    LeaseEndedError("ended"),
    ValueError("no address"),
    StoreUnavailableError("no response"),
)


class History:
    """One history; its checks fail the test case."""

    def __init__(self, case, seed) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.fleet = ProgressFleet(tasks=TASKS, workers=4)
        self.jobs = [self.fleet.add_job(number) for number in range(JOBS)]
        self.fleet.on_acknowledged = self.check_acknowledged
        self.fleet.store.list_current = self.rng.choice(
            (list_existing, list_tombstones, tuple, lambda _: ())
        )
        self.tampered = set()

    def check_acknowledged(self, end):
        """Check that the end of a task is stored once it is acknowledged."""
        job_id = end.run.task.job_id
        if job_id not in self.tampered:
            stored = self.fleet.stored_tasks(job_id)
            self.case.assertIn(end.run.task.index, stored, end)

    def draw_fault(self):
        """Let writes fail in another way from now on."""
        store = self.fleet.store
        share = self.rng.choice((0.1, 0.3, 0.6, 1.0))
        error = self.rng.choice(
            ("lost", "late", StoreUnavailableError("silent"), StoreRefusedError("429"))
        )
        store.is_down = self.rng.random() < 0.15
        if store.is_down:
            share, error = 1.0, StoreUnavailableError("down")
        store.fault = lambda keys: error if self.rng.random() < share else None
        if self.rng.random() < 0.3:
            store.fault = lambda keys: None
        if self.rng.random() < 0.4:
            store.errors[self.rng.choice(self.jobs)] = self.rng.choice(REFUSALS)
        elif store.errors:
            del store.errors[self.rng.choice(list(store.errors))]
        if self.rng.random() < 0.3:
            job_id = self.rng.choice(self.jobs)
            self.tampered.add(job_id)
            self.fleet.records.remove(progress_key(job_id))

    def run(self):
        """Let jobs change while the store fails, and then have calm."""
        steps = round(FAULTS_S / STEP_S)
        for step in range(steps):
            if step % round(FAULT_S / STEP_S) == 0:
                self.draw_fault()
            for _ in range(self.rng.choice((0, 1, 4))):
                job_id = self.rng.choice(self.jobs)
                worker = self.rng.randrange(len(self.fleet.links))
                self.fleet.end_task(job_id, self.rng.randrange(TASKS), worker)
            self.fleet.run_for(STEP_S)
        self.fleet.store.fault = lambda keys: None
        self.fleet.store.is_down = False
        silent = [
            error
            for error in self.fleet.store.errors.values()
            if isinstance(error, StoreUnavailableError)
        ]
        self.fleet.run_for(CALM_S + UNANSWERED_JOB_S * max(0, len(silent) - 1))
        self.check_calm()

    def check_calm(self):
        """Check that only what is refused waits, and later ends of its workers."""
        refused = self.fleet.store.errors.keys()
        self.case.assertLessEqual(self.fleet.registry.dirty, set(refused))
        for link in self.fleet.links:
            waiting = [end.run.task.job_id for end in link.ended]
            self.case.assertTrue(not waiting or waiting[0] in refused, waiting[:1])
        for job_id in set(self.jobs) - set(refused) - self.tampered:
            state = self.fleet.registry.jobs[job_id]
            done = {task.task_id.index for task in state.tasks() if task.is_done}
            self.case.assertEqual(self.fleet.stored_tasks(job_id), done)


class ProgressHistoriesTest(unittest.TestCase):
    # Guards against ends that are acknowledged before they are stored, and against
    # progress that waits in calm for a write that cannot succeed.
    def test_ends_are_acknowledged_once_stored_and_soon_in_calm(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                History(self, seed).run()


if __name__ == "__main__":
    unittest.main()
