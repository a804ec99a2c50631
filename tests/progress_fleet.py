"""A progress writer with workers that list ends and a store that fails as set."""

from types import SimpleNamespace

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from dogwoodlever._acknowledgement_backlog import AcknowledgementBacklog
from dogwoodlever._fleet_interfaces import CommitResult, Record
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_progress_writer import ProgressWriter
from dogwoodlever._fleet_records import (
    TERM_KEY,
    decode_progress,
    decode_submission,
    job_key,
    progress_key,
)
from dogwoodlever._fleet_types import EndedRun, PollResult, Queue, RunId, TaskId
from dogwoodlever._fleet_workers import FleetWorkers
from dogwoodlever._run_evidence import ENDS_LISTED_MAX, FOREVER_S, WorkerEvidence
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever.platform._http_store import CALL_TIMEOUT_S
from dogwoodlever.platform_errors import PlatformError, StoreUnavailableError
from standins.fleet import STORE_DELAY_S, FakeFleetStore, FleetRecords
from tests.fleet_simulation import QUEUE, job

STEP_S = 0.01
POLL_INTERVAL_S = 0.05
# Calls of others, whose answers show that the store is not away.
OTHER_CALLS_INTERVAL_S = 0.2
ENTRIES_MAX = 32


def list_existing(current):
    """Return the records that exist, as the platform tells of a conflict."""
    return tuple(record for record in current if record.value is not None)


def list_tombstones(current):
    """Return all records, the absent ones with a revision of their own."""
    return tuple(
        record if record.value is not None else Record(record.key, None, 7)
        for record in current
    )


class FailingStore(FakeFleetStore):
    """Store whose writes fail as a test sets.

    Attributes
    ----------
    errors : dict of str to Exception
        Error of each write that names a job.
    fault : callable
        Called with each write's keys; returns ``lost`` to carry it out without an
        answer, ``late`` to do so 2 s later, an error to fail with, or None.
    list_current : callable
        Returns what a conflict tells of the current records.
    """

    def __init__(self, records, clock) -> None:
        super().__init__(records, clock)
        self.errors = {}
        self.fault = lambda keys: None
        self.list_current = list_existing

    def commit(self, expected, puts, deletes=()):
        """Carry out a write, or fail."""
        self.commits += 1
        keys = (*expected, *(put.key for put in puts), *deletes)
        fault = self.fault(keys)
        if len(expected) + len(puts) + len(deletes) > ENTRIES_MAX:
            fault = PlatformError("store: status 400: over 32 entries")
        for key in keys:
            fault = self.errors.get(key.rpartition("/")[2], fault)

        def write():
            result = self._records.commit(expected, puts, deletes)
            return CommitResult(result.revision, self.list_current(result.current))

        response = Deferred()
        if fault in ("lost", "late"):
            self._clock.callLater(STORE_DELAY_S if fault == "lost" else 2.0, write)
            fault = StoreUnavailableError("no response")
        if fault is None:
            self._clock.callLater(STORE_DELAY_S, lambda: response.callback(write()))
        else:
            is_silent = type(fault) is StoreUnavailableError
            delay_s = CALL_TIMEOUT_S if is_silent else STORE_DELAY_S
            self._clock.callLater(delay_s, response.errback, fault)
        return response


class ListingWorker:
    """A worker that lists its ends until they are acknowledged, as a link sees it."""

    def __init__(self, worker_id) -> None:
        self.entry = SimpleNamespace(worker_id=worker_id)
        self.evidence = WorkerEvidence(5.0, 10.0, 1.0)
        self.ended = []
        self.count = 0

    def acknowledge(self, number) -> None:
        """Let the worker drop the ends up to `number`."""
        self.evidence.acknowledge(number)


class ProgressFleet:
    """Jobs whose tasks end on workers, and the writer that stores their progress.

    Parameters
    ----------
    tasks : int
        Tasks of each job.
    """

    def __init__(self, tasks=2, workers=3) -> None:
        self.tasks = tasks
        self.clock = Clock()
        self.clock.advance(100.0)
        self.records = FleetRecords(self.clock)
        self.records.write(TERM_KEY, b"term")
        self.term_revision = self.records.read(TERM_KEY).revision
        self.store = FailingStore(self.records, self.clock)
        self.metrics = FleetMetrics()
        self.observed = ObservedStore(self.store, self.clock, self.metrics)
        self.registry = RunRegistry(1)
        self.links = [ListingWorker(f"w{number}") for number in range(workers)]
        self.workers = object.__new__(FleetWorkers)
        self.workers._links = {link.entry.worker_id: link for link in self.links}
        # Ends by worker number: (number, job id, task index).
        self.acknowledged = [[] for _ in self.links]
        self.reported = {}
        self.on_acknowledged = lambda end: None
        self.writer = ProgressWriter(
            self.observed,
            self.clock,
            self.registry,
            lambda: self.term_revision,
            self.workers.last_end_numbers,
            self.workers.acknowledge_ends,
            self.reported.update,
            100_000,
            AcknowledgementBacklog(
                self.metrics,
                self.clock,
                self.registry,
                self.observed.down_for_s,
                self.workers.evidence_of_waits,
                4.0,
            ),
        )

    def add_job(self, number):
        """Add a job; return its id."""
        job_id = f"{number:016x}"
        queue = Queue(QUEUE, "service", "/", "desk", attempts_max=3)
        submitted = job(job_id, tasks=self.tasks)
        state = self.registry.add_job(submitted, queue, 1, self.clock.seconds())
        state.open_due(0.0)
        return job_id

    def end_task(self, job_id, index, worker=0, outcome="done"):
        """Let a worker list the end of a task."""
        link = self.links[worker]
        link.count += 1
        run_id = RunId(TaskId(job_id, 0, 0, index), 1)
        link.ended.append(EndedRun(link.count, run_id, outcome, ""))

    def run_for(self, duration_s):
        """Let time pass while the workers are polled."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            step = round(self.clock.seconds() / STEP_S)
            if step % round(OTHER_CALLS_INTERVAL_S / STEP_S) == 0:
                self.observed.read("other").addErrback(lambda _: None)
            if step % round(POLL_INTERVAL_S / STEP_S) == 0:
                for worker in range(len(self.links)):
                    self._poll(worker)
                if self.registry.dirty:
                    self.writer.schedule_flush()

    def _poll(self, worker):
        link = self.links[worker]
        now_s = self.clock.seconds()
        number, _ = link.evidence.begin_poll(now_s, FOREVER_S)
        for end in [end for end in link.ended if end.number <= number]:
            link.ended.remove(end)
            self.acknowledged[worker].append(end.number)
            self.on_acknowledged(end)
        listed = tuple(link.ended[:ENDS_LISTED_MAX])
        link.evidence.judge_poll(PollResult(int(now_s * 1000), 0, (), listed), 0, now_s)
        for end in listed:
            if link.evidence.read_end(end.number):
                link.evidence.unstored_ends.add(end.number, end.run.task.job_id)
                self.registry.end_run(end, link.entry.worker_id)
        if listed:
            self.writer.schedule_flush()

    def stored_tasks(self, job_id):
        """Return which tasks of a job a successor would take for done."""
        submission = self.records.read(job_key(job_id))
        if submission and decode_submission(submission.value).ended_phase:
            return set(range(self.tasks))
        progress = self.records.read(progress_key(job_id))
        if progress is None:
            return set()
        done = int(decode_progress(progress.value).occurrences[0][0].done, 16)
        return {index for index in range(self.tasks) if done >> index & 1}
