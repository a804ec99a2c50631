"""A write that the store rejects for good holds back only what it is about."""

import unittest
from itertools import product
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from dogwoodlever._fleet_frontend import CallOutcome
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_records import (
    HANDOVER_KEY,
    INTERFERENCE_KEY,
    PENDING_JOBS_KEY,
    TERM_KEY,
    UNREACHABLE_WORKERS_KEY,
    WORKER_MEMBERSHIP_KEY,
    cancel_key,
)
from dogwoodlever._fleet_retention import RETENTION_MARGIN_S, Retention
from dogwoodlever._unreachable_workers import UnreachableWorkers
from dogwoodlever._worker_membership import NO_INCARNATION, WorkerMembership
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnavailableError,
)
from standins.fleet import FakeFleetStore, FleetRecords
from tests.fleet_simulation import JOB, FleetSimulation, job
from tests.rejected_writes import reject_writes

RETENTION_S = 120.0


class RetentionTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        records = FleetRecords(self.clock)
        records.write(TERM_KEY, b"")
        self.store = FakeFleetStore(records, self.clock)
        self.jobs = {f"{n:016x}": mock.Mock(has_ended=True) for n in range(40)}
        registry = mock.Mock(jobs=self.jobs, dirty=set(), remove_job=self.jobs.pop)
        self.unstored = set()
        self.removed = []
        revision = records.revision
        self.retention = Retention(
            self.store, self.clock, registry, RETENTION_S, lambda: revision,
            lambda job_id: job_id not in self.unstored, self.removed.extend,
        )  # fmt: skip

    def run_for(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            self.clock.advance(0.1)
            self.retention.sweep()

    # Guards against a job whose records cannot be removed, behind which the records of
    # all others stay stored.
    def test_removal_that_is_rejected_holds_no_other_job(self):
        rejected = {"0" * 16, f"{17:016x}"}
        calls = reject_writes(self.store, lambda key: key[-16:] in rejected)
        with mock.patch("dogwoodlever._fleet_retention.log_event") as logged:
            self.run_for(RETENTION_S + RETENTION_MARGIN_S + 40.0)
        self.assertEqual(set(self.jobs), rejected)
        events = [call.args[0] for call in logged.call_args_list]
        self.assertLessEqual(events.count("jobs.remove-failed"), 4)
        before = len(calls)
        self.run_for(300.0)
        self.assertLessEqual(len(calls) - before, 12)

    # Guards against a job that is forgotten while a change of it is being stored.
    def test_job_that_changes_during_its_removal_is_removed_later(self):
        job_id = f"{3:016x}"
        answer = Deferred()
        with mock.patch.object(self.store, "commit", lambda *_: answer):
            self.run_for(RETENTION_S + RETENTION_MARGIN_S + 2.0)
            self.unstored.add(job_id)
            answer.callback(mock.Mock(revision=9))
        self.run_for(20.0)
        self.assertEqual(set(self.jobs), {job_id})
        self.unstored.clear()
        self.run_for(5.0)
        self.assertEqual(self.jobs, {})
        self.assertIn(job_id, self.removed)


class SharedRecordsTest(unittest.TestCase):
    """Records that are written before any worker gets a lease."""

    def setUp(self):
        self.clock = Clock()
        self.records = FleetRecords(self.clock)
        self.records.write(TERM_KEY, b"")
        self.term_revision = self.records.revision
        self.store = FakeFleetStore(self.records, self.clock)
        self.errors = []

    def on_stored(self):
        if self.errors:
            raise self.errors.pop()

    def make_membership(self):
        made = WorkerMembership(
            self.store, self.clock, lambda: self.term_revision, 10.0, self.on_stored
        )
        return WORKER_MEMBERSHIP_KEY, lambda number: made.set_member(
            "w0", f"host:{number}", NO_INCARNATION
        )

    def make_unreachable(self):
        made = UnreachableWorkers(
            self.store, self.clock, 3, lambda: self.term_revision, lambda revision: 0.0,
            self.on_stored,
        )  # fmt: skip
        return UNREACHABLE_WORKERS_KEY, lambda number: made.set_unreachable(
            {f"w{number}": 0.0}
        )

    def run_for(self, duration_s):
        for _ in range(round(duration_s / 0.01)):
            self.clock.advance(0.01)

    def check_each(self, check):
        for make in (self.make_membership, self.make_unreachable):
            with self.subTest(make.__name__):
                self.setUp()
                check(*make())

    def assert_stored_by(self, key, change, number, duration_s=1.0):
        before = self.records.revision
        change(number)
        self.run_for(duration_s)
        self.assertGreater(self.records.read(key).revision, before)

    # Guards against a write that is repeated several times a second without end.
    def test_rejected_write_is_repeated_with_growing_pauses(self):
        self.check_each(self._check_pauses)

    def _check_pauses(self, key, change):
        rejects = [True]
        calls = reject_writes(self.store, lambda _: bool(rejects))
        with mock.patch("dogwoodlever._repeated_write.log_event") as logged:
            change(0)
            self.run_for(30.0)
            self.assertLess(len(calls), 20)
            rejects.clear()
            self.run_for(2.1)
        self.assertIsNotNone(self.records.read(key))
        events = [call.args[0].partition(".")[2] for call in logged.call_args_list]
        self.assertEqual(events, ["write-failed", "write-regained"])

    # Guards against an error after which no worker is stored any more.
    def test_unexpected_error_ends_no_writes(self):
        self.check_each(self._check_unexpected_errors)

    def _check_unexpected_errors(self, key, change):
        with mock.patch.object(self.store, "commit", side_effect=ValueError):
            change(0)
            self.run_for(0.1)
        self.run_for(0.3)
        self.assertIsNotNone(self.records.read(key))
        self.errors.append(ValueError("of a listener"))
        change(1)
        self.run_for(1.0)
        self.assertEqual(self.errors, [])
        self.assert_stored_by(key, change, 2)

    # Guards against a revision of a record that is gone, which no write can meet.
    def test_removed_record_is_written_anew(self):
        self.check_each(self._check_removed)

    def _check_removed(self, key, change):
        self.assert_stored_by(key, change, 0)
        self.records.remove(key)
        self.assert_stored_by(key, change, 1, 0.5)

    # Guards against a worker that answers and gets no lease, since a record that should
    # have named it was never written.
    def test_worker_of_a_rejected_record_is_not_withheld(self):
        for error in (
            StoreRejectedError, LeaseEndedError, StoreRefusedError,
            StoreUnavailableError,
        ):  # fmt: skip
            with self.subTest(error.__name__):
                self.setUp()
                reject_writes(self.store, lambda key: True, error)
                made = UnreachableWorkers(
                    self.store, self.clock, 3, lambda: self.term_revision,
                    lambda revision: 0.0, lambda: None,
                )  # fmt: skip
                made.set_unreachable({"w0": 5.0})
                self.run_for(5.0)
                made.withdraw("w0")
                may_be_written = error is StoreUnavailableError
                self.assertEqual(made.may_be_named("w0"), may_be_written)


class FrontendTest(unittest.TestCase):
    # Guards against a submission or cancellation that is repeated until its caller
    # gives up, and then answered as if it might take effect.
    def test_call_whose_write_is_rejected_is_answered_at_once(self):
        outcomes = ((0, CallOutcome.NOT_DONE), (1, CallOutcome.UNKNOWN))
        errors = (StoreRejectedError, LeaseEndedError)
        for is_leader, (lost, outcome), error in product(
            (True, False), outcomes, errors
        ):
            with self.subTest(is_leader=is_leader, lost=lost, error=error.__name__):
                self._check(is_leader, lost, outcome, error)

    def _check(self, is_leader, lost, outcome, error):
        fleet = FleetSimulation()
        fleet.run_for(1.0)
        number = (fleet.leader() + (not is_leader)) % 3
        fleet.submit(number, job(JOB, standing=True))
        rejects = []
        calls = [
            reject_writes(store, lambda key: key == cancel_key(JOB) and rejects, error)
            for store in fleet.stores
        ]
        fleet.stores[number].answers_to_lose = lost
        if lost:
            # The first attempt gets no answer, and is not carried out either.
            fleet.stores[number].commit_delay_s = 1e6
            fleet.clock.callLater(0.5, rejects.append, True)
        else:
            rejects.append(True)
        deadline_s = fleet.clock.seconds() + 3.0
        call = fleet.nodes[number].frontend.cancel(JOB, deadline_s)
        result = fleet.await_result(call, 1.5 if lost else 0.2)
        self.assertEqual(result.outcome, outcome)
        rejected = [call for client in calls for call in client if call[1]]
        self.assertLessEqual(len(rejected), 2)


class FleetTest(unittest.TestCase):
    # Guards against a shared record that the store rejects, behind which jobs wait,
    # ends are not acknowledged, or no successor leads.
    def test_shared_record_that_is_rejected_holds_no_job(self):
        keys = (
            WORKER_MEMBERSHIP_KEY, UNREACHABLE_WORKERS_KEY, INTERFERENCE_KEY,
            PENDING_JOBS_KEY, HANDOVER_KEY,
        )  # fmt: skip
        for key, status in product(keys, (400, 403, 404, 413, 500)):
            with self.subTest(key, status=status):
                self._check(key, status)

    def _check(self, key, status):
        fleet = FleetSimulation(has_wire_store=True)
        fleet.run_for(2.0)
        for store in fleet.stores:
            store.statuses[key] = status
        for is_changed in (False, True):
            if is_changed:
                fleet.nodes[fleet.leader()].stop()
                fleet.run_for(4.0)
            job_id = str(int(is_changed)) * 16
            fleet.submit(fleet.leader(), job(job_id))
            # The run, and the time in which its end has to be acknowledged.
            fleet.run_for(1.0 + 4.0)
            phase = fleet.read_phase(fleet.leader(), job_id)
            self.assertEqual(phase, JobPhase.COMPLETED)
            ended = [w.ended for w in fleet.workers.workers.values() if w.ended]
            self.assertEqual(ended, [])


if __name__ == "__main__":
    unittest.main()
