import unittest

from twisted.internet.task import Clock

from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import RunId, StartOrder, TaskId
from tests.fleet_simulation import worker_entry
from tests.soak_checker import (
    ADVANCE_INTERVAL_S,
    ATTEMPTS_MAX,
    CUT_SLACK_S,
    SoakChecker,
    SoakJob,
    SoakStep,
    SoakWorker,
)

JOB = "a" * 16


class SoakCheckerTest(unittest.TestCase):
    """Tests that the checks of the soak find each kind of violation."""

    def setUp(self):
        self.clock = Clock()
        self.clock.advance(10.0)
        self.checker = SoakChecker(self.clock)
        self.job = SoakJob(
            JOB, (SoakStep(2, 1000, 1.0, 0.0), SoakStep(1, 1000, 1.0, 0.0))
        )
        self.checker.jobs[JOB] = self.job
        for number in range(2):
            worker = SoakWorker(worker_entry(number, cores=2), 0.0)
            worker.until_ms = 1_000_000
            self.checker.workers[f"w{number}"] = worker

    def start(self, worker, index=0, number=1, step=0, payload=None):
        run = RunId(TaskId(JOB, 0, step, index), number)
        text = self.job.payload() if payload is None else payload
        self.checker.start(self.checker.workers[worker], StartOrder(run, text))
        return run

    def end(self, worker, run, outcome="done"):
        found = self.checker.workers[worker]
        self.checker.end(found, found.running[run], outcome)
        return found.last_number

    def assert_rules(self, *rules):
        found = [text.partition(":")[0] for text in self.checker.violations]
        self.assertEqual(found, list(rules))

    def test_correct_history_has_no_violations(self):
        first, second = self.start("w0"), self.start("w1", index=1)
        self.checker.acknowledge(self.checker.workers["w0"], self.end("w0", first))
        self.checker.acknowledge(self.checker.workers["w1"], self.end("w1", second))
        self.start("w0", step=1)
        self.clock.advance(1.1)
        self.checker.advance()
        self.checker.check_phase(self.job, "completed")
        self.assert_rules()

    def test_concurrent_runs_of_a_task(self):
        self.start("w0")
        self.start("w1", number=2)
        self.assert_rules("TWICE")

    def test_start_after_an_acknowledged_end(self):
        run = self.start("w0")
        self.checker.acknowledge(self.checker.workers["w0"], self.end("w0", run))
        self.start("w1", number=2)
        self.assert_rules("TWICE")

    def test_end_acknowledged_after_a_later_start(self):
        run = self.start("w0")
        number = self.end("w0", run)
        self.clock.advance(0.5)
        self.start("w1", number=2)
        self.checker.acknowledge(self.checker.workers["w0"], number)
        self.assert_rules("TWICE")

    def test_start_after_an_expired_lease_is_allowed(self):
        run = self.start("w0")
        number = self.end("w0", run)
        self.checker.workers["w0"].until_ms = 1
        self.checker.advance()
        self.start("w1", number=2)
        self.checker.acknowledge(self.checker.workers["w0"], number)
        self.assert_rules()

    def test_unsolicited_and_refused_work(self):
        self.start("w0", payload="another")
        self.job.is_submitting = False
        self.job.outcomes["refused"] = 2
        self.start("w0")
        self.start("w1", step=1)
        self.assert_rules("UNASKED", "REFUSED", "REFUSED", "ORDER")

    def test_attempts_beyond_the_limit(self):
        for number in range(1, ATTEMPTS_MAX + 2):
            run = self.start("w0", number=number)
            ended = self.end("w0", run, "failed")
            self.checker.acknowledge(self.checker.workers["w0"], ended)
        self.assert_rules("BUDGET")

    def test_job_states_without_cause(self):
        for phase, rule in (
            ("completed", "MIXED"),
            ("failed", "LOST"),
            ("cancelled", "LOST"),
        ):
            with self.subTest(phase):
                self.checker.violations.clear()
                self.checker.check_phase(self.job, phase)
                self.assert_rules(rule)
        self.checker.violations.clear()
        self.job.accepted_s = 1.0
        self.checker.check_absent(self.job)
        self.assert_rules("LOST")

    def test_requests_cut_by_a_stop(self):
        slack = round(CUT_SLACK_S / ADVANCE_INTERVAL_S)
        for name, is_stopping, advances, rules in (
            ("long after it was sent", True, slack + 1, ["LOST"]),
            ("it crossed the end of the connection", True, slack, []),
            ("the daemon was killed", False, slack + 1, []),
        ):
            with self.subTest(name):
                self.checker.violations.clear()
                sent_advances = self.checker.advances
                for _ in range(advances):
                    self.checker.advance()
                self.checker.check_cut("vm0", is_stopping, sent_advances)
                self.assert_rules(*rules)

    def test_worker_refuses_orders_beyond_its_capacity(self):
        self.start("w0")
        self.start("w0", index=1)
        order = StartOrder(RunId(TaskId(JOB, 0, 1, 0), 1), self.job.payload())
        refusal = self.checker.find_refusal(self.checker.workers["w0"], order)
        self.assertEqual(refusal, RefusalReason.NO_ROOM)

    # Guards against ends that the judge of acknowledgements does not hear of.
    def test_ends_without_acknowledgement(self):
        for name, acknowledged, until_ms, advances_s, findings in (
            ("in time", 1, 1_000_000, (3.9, 3.9), 0),
            ("too late", 1, 1_000_000, (4.1, 0.1), 1),
            ("another end", 0, 1_000_000, (3.9, 0.2), 1),
            ("the lease lapsed in time", 0, 12_000, (3.0, 9.0), 0),
            ("the lease lapsed later", 0, 15_000, (6.0, 9.0), 1),
        ):
            with self.subTest(name):
                self.setUp()
                worker = self.checker.workers["w0"]
                self.end("w0", self.start("w0"))
                worker.until_ms = until_ms
                self.clock.advance(advances_s[0])
                self.checker.advance()
                self.checker.acknowledge(worker, acknowledged)
                self.clock.advance(advances_s[1])
                self.checker.advance()
                found = self.checker.acks.check(self.clock.seconds())
                self.assertEqual(len(found), findings)

    # Guards against an end by the expiry of a lease that is taken for an earlier one.
    def test_end_as_a_lease_lapses(self):
        self.start("w0")
        self.checker.workers["w0"].until_ms = 1
        for _ in range(3):
            self.checker.advance()
            self.clock.advance(2.1)
        self.assertEqual(len(self.checker.acks.check(self.clock.seconds())), 1)

    def test_outstanding_work(self):
        self.job.accepted_s = 1.0
        for phase, count in (("running", 1), ("completed", 0), ("failed", 1)):
            with self.subTest(phase):
                self.job.phase = phase
                self.assertEqual(len(self.checker.outstanding_work()), count)
        self.job.cancelled_s = 2.0
        self.assertEqual(self.checker.outstanding_work(), [])
        self.start("w0")
        self.assertEqual(len(self.checker.outstanding_work()), 1)


if __name__ == "__main__":
    unittest.main()
