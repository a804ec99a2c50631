"""A write that the store rejects for good holds back only what it is about."""

import unittest
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from dogwoodlever._fleet_frontend import CallOutcome
from dogwoodlever._fleet_records import TERM_KEY, cancel_key
from dogwoodlever._fleet_retention import RETENTION_MARGIN_S, Retention
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


class FrontendTest(unittest.TestCase):
    # Guards against a submission or cancellation that is repeated until its caller
    # gives up, and then answered as if it might take effect.
    def test_call_whose_write_is_rejected_is_answered_at_once(self):
        for is_leader in (True, False):
            for lost, outcome in ((0, CallOutcome.NOT_DONE), (1, CallOutcome.UNKNOWN)):
                with self.subTest(is_leader=is_leader, lost=lost):
                    self._check(is_leader, lost, outcome)

    def _check(self, is_leader, lost, outcome):
        fleet = FleetSimulation()
        fleet.run_for(1.0)
        number = (fleet.leader() + (not is_leader)) % 3
        fleet.submit(number, job(JOB, standing=True))
        rejects = []
        calls = [
            reject_writes(store, lambda key: key == cancel_key(JOB) and rejects)
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


if __name__ == "__main__":
    unittest.main()
