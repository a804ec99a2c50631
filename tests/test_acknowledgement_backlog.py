"""What waits to be stored or acknowledged: causes, ages and log lines."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from twisted.internet.defer import fail
from twisted.internet.task import Clock

from dogwoodlever._acknowledgement_backlog import AcknowledgementBacklog
from dogwoodlever._fleet_metrics import END_WAIT_CAUSES, FleetMetrics
from dogwoodlever._fleet_records import PROGRESS_PREFIX
from dogwoodlever._fleet_types import EndedRun, PollResult, RunId, TaskId
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S, WorkerEvidence
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    PlatformError,
    RecordConflictError,
    StoreRefusedError,
    StoreUnavailableError,
    TermEndedError,
    WorkerUnreachableError,
)
from tests.fleet_simulation import FleetSimulation, job

MODULE = "dogwoodlever._acknowledgement_backlog"
BOUND_S = 4.0
# Longer than an order waits for its answer.
RUN_S = 1.0
# Covers a poll of a worker that has nothing to list.
RECOVERY_S = 5.0
SILENT = WorkerUnreachableError()


def run_id(number):
    return RunId(TaskId("a" * 16, 0, number, 0), 1)


def list_ends(evidence, now_s, outcomes, late=()):
    """Read ends with numbers from 1 on; copies of the starts `late` had no answer."""
    for number in late:
        attempts = evidence.begin_start(run_id(number))
        evidence.judge_failed_start(attempts, SILENT, now_s)
    ends = [EndedRun(n, run_id(n), how, "") for n, how in enumerate(outcomes, 1)]
    evidence.record_listed(ends, now_s)
    evidence.hold_ends(ends, now_s)
    for end in ends:
        evidence.read_end(end.number)


def poll(evidence, now_s, may_acknowledge=True, is_answered=True):
    evidence.begin_poll(now_s, 1e9, may_acknowledge=may_acknowledge)
    if not is_answered:
        evidence.judge_failed_poll(SILENT, now_s, 0.0, now_s)
        return
    evidence.judge_poll(PollResult(int(now_s * 1000) + 1, 1, (), ()), 1, now_s)


class EndWaitTest(unittest.TestCase):
    # Guards against an end that waits for one thing and is counted under another.
    def test_causes(self):
        table = (
            # name; outcomes of the listed ends, starts with a copy without an answer,
            # the number up to which ends are stored, arguments of polls; ends by cause
            ("listed", ["done"] * 2, [], 0, [], {"unstored": 2}),
            ("one stored", ["done"] * 2, [], 1, [], {"unsent": 1, "unstored": 1}),
            ("stored", ["done"] * 2, [], 2, [], {"unsent": 2}),
            (
                "start open",
                ["done"],
                [],
                1,
                [{"may_acknowledge": False}],
                {"unsent": 1},
            ),
            ("silent", ["done"], [], 1, [{"is_answered": False}], {"unsent": 1}),
            ("acknowledged", ["done"] * 2, [], 2, [{}], {}),
            ("one acknowledged", ["done"] * 2, [], 1, [{}], {"unstored": 1}),
            ("late, not stored", ["done"], [1], 0, [], {"unstored": 1}),
            ("late and stored", ["done"], [1], 1, [{}], {"held": 1}),
            ("behind a late one", ["done"] * 3, [2], 3, [{}], {"held": 2}),
            ("late and not done", ["lapsed"], [1], 0, [{}], {"held": 1}),
            ("behind that one", ["lapsed", "done"], [1], 0, [{}], {"held": 2}),
        )
        for name, outcomes, late, stored, polls, causes in table:
            with self.subTest(name):
                evidence = WorkerEvidence(5.0, 10.0, 0.4)
                poll(evidence, 0.0)
                list_ends(evidence, 1.0, outcomes, late)
                evidence.acknowledge(min(stored, evidence.storable_end_number))
                for number, arguments in enumerate(polls):
                    poll(evidence, 2.0 + number, **arguments)
                found = evidence.find_waits().items()
                counts = {wait.value: count for wait, (count, _) in found}
                self.assertEqual(counts, causes)

    # Guards against ages that begin anew each time an end is listed.
    def test_repeated_listings(self):
        evidence = WorkerEvidence(5.0, 10.0, 0.4)
        for now_s in (1.0, 2.0, 3.0):
            list_ends(evidence, now_s, ["done"])
        ((_, oldest),) = evidence.find_waits().values()
        self.assertEqual(oldest.listed_s, 1.0)


class BacklogOfWritesTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.metrics = FleetMetrics()
        self.registry = SimpleNamespace(dirty=set())
        self.backlog = AcknowledgementBacklog(
            self.metrics, self.clock, self.registry, lambda: None, list, BOUND_S
        )

    def sample(self, name, **labels):
        return self.metrics.registry.get_sample_value(f"dogwoodlever_{name}", labels)

    def test_causes_of_failures(self):
        table = (
            (RecordConflictError, "conflict"),
            (TermEndedError, "term"),
            (StoreRefusedError, "refused"),
            (StoreUnavailableError, "unanswered"),
            (LeaseEndedError, "rejected"),
            (PlatformError, "rejected"),
        )
        for number, (error, cause) in enumerate(table):
            with self.subTest(error=error.__name__):
                name = "progress_write_failures_total"
                before = self.sample(name, cause=cause) or 0
                self.backlog.record_failure([f"job{number}"], error("why"))
                self.assertEqual(self.sample(name, cause=cause), before + 1)

    # Guards against a batch that fails to the end of the term without a sign.
    def test_repeated_failures(self):
        table = (
            # jobs of the write, whether it fails, repeats afterwards
            (["a", "b"], True, 1),
            (["a", "b", "c"], True, 2),
            (["d"], False, 2),
            (["a"], True, 3),
            (["b"], True, 1),
            (["b"], False, 0),
        )
        for jobs, fails, repeats in table:
            self.backlog.record_begun(jobs)
            if fails:
                self.backlog.record_failure(jobs, PlatformError("why"))
            else:
                self.backlog.record_stored(jobs)
            self.assertEqual(self.sample("progress_batch_repeats"), repeats)

    # Guards against ages that begin anew with each write that fails, or that ignore
    # a change during a write.
    def test_ages_of_progress(self):
        begun, failed, stored = "begun", "failed", "stored"
        table = (
            # changes and writes of job `a`, one a second; age after the last second
            (["changed"], 1.0),
            (["changed", begun], 2.0),
            (["changed", begun, failed, begun], 4.0),
            (["changed", begun, stored], 0.0),
            (["changed", begun, "changed", stored], 3.0),
            ([begun], 1.0),
            (["changed", "dropped"], 0.0),
        )
        for steps, age_s in table:
            with self.subTest(steps=steps):
                self.setUp()
                for step in steps:
                    self.apply(step)
                    self.backlog.update()
                    self.clock.advance(1.0)
                self.backlog.update()
                self.assertEqual(self.sample("oldest_unstored_progress_seconds"), age_s)

    def apply(self, step):
        dirty = self.registry.dirty
        match step:
            case "changed":
                dirty.add("a")
            case "begun":
                dirty.discard("a")
                self.backlog.record_begun(["a"])
            case "failed":
                dirty.add("a")
                self.backlog.record_failure(["a"], PlatformError("why"))
            case "stored":
                self.backlog.record_stored(["a"])
            case "dropped":
                dirty.discard("a")
                self.backlog.drop_job("a")


class BacklogOfLeaderTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        log_event = patch(f"{MODULE}.log_event", self.record_event)
        log_event.start()
        self.addCleanup(log_event.stop)

    def record_event(self, event, **fields):
        self.events.append((event, fields))

    def start_fleet(self):
        self.events.clear()
        self.fleet = FleetSimulation(workers=2, run_s=RUN_S)
        self.fleet.records.is_lease_expiry_paused = True
        self.fleet.run_for(1.0)
        self.leader = self.fleet.leader()
        self.store = self.fleet.stores[self.leader]
        self.commit = self.store.commit

    def samples(self, name):
        registry = self.fleet.nodes[self.leader].metrics.registry
        return {
            cause: registry.get_sample_value(f"dogwoodlever_{name}", {"cause": cause})
            for cause in END_WAIT_CAUSES
        }

    def find_events(self, event):
        return [fields for name, fields in self.events if name == event]

    def submit(self):
        self.fleet.submit((self.leader + 1) % 3, job(tasks=4), wait_s=0.3)

    def reject_progress(self):
        def commit(expected, puts, deletes=()):
            if any(key.startswith(PROGRESS_PREFIX) for key in expected):
                return fail(PlatformError("store: status 400"))
            return self.commit(expected, puts, deletes)

        self.submit()
        self.store.commit = commit

    def accept_progress(self):
        self.store.commit = self.commit

    def lose_store(self):
        self.submit()
        for store in self.fleet.stores:
            store.is_down = True

    def regain_store(self):
        for store in self.fleet.stores:
            store.is_down = False

    def lose_order(self):
        self.fleet.workers.orders_to_lose = 1
        self.submit()

    def await_copy(self):
        self.fleet.run_for(LATE_ORDER_MAX_S - RECOVERY_S)

    def lose_workers(self):
        """Let the workers fall silent once they have listed an end."""
        self.submit()
        evidence = self.fleet.nodes[self.leader].leader.workers.evidence_of_waits
        while not list(evidence()):
            self.fleet.run_for(0.01)
        self.set_reachable(False)

    def regain_workers(self):
        self.set_reachable(True)

    def set_reachable(self, is_reachable):
        for worker in self.fleet.workers.workers.values():
            worker.is_reachable = is_reachable

    # Guards against ends that wait beyond the bound without a sign of why.
    def test_waits_of_ends(self):
        table = (
            # cause, how it begins and ends, whether progress waits too
            ("unstored", self.reject_progress, self.accept_progress, True),
            ("store-away", self.lose_store, self.regain_store, True),
            ("held", self.lose_order, self.await_copy, False),
            ("unsent", self.lose_workers, self.regain_workers, False),
        )
        for cause, begin, end, is_unstored in table:
            with self.subTest(cause):
                self.start_fleet()
                begin()
                self.fleet.run_for(BOUND_S + 2.0)
                self.check_wait(cause, is_unstored)
                end()
                self.fleet.run_for(RECOVERY_S)
                self.check_end_of_wait(is_unstored)

    def check_wait(self, cause, is_unstored):
        counts = self.samples("unacknowledged_ends")
        ages_s = self.samples("oldest_unacknowledged_end_seconds")
        self.assertEqual([name for name, count in counts.items() if count], [cause])
        self.assertEqual([name for name, age_s in ages_s.items() if age_s], [cause])
        self.assertGreater(ages_s[cause], BOUND_S)
        lines = self.find_events("ends.waiting")
        self.assertEqual({line["cause"] for line in lines}, {cause})
        self.assertIn(len(lines), (1, 2))
        self.assertEqual(lines[-1]["age_s"], ages_s[cause])
        self.assertEqual(lines[-1]["count"], counts[cause])
        self.assertEqual(bool(self.find_events("progress.waiting")), is_unstored)

    def check_end_of_wait(self, is_unstored):
        for name in ("unacknowledged_ends", "oldest_unacknowledged_end_seconds"):
            self.assertEqual(sum(self.samples(name).values()), 0)
        for subject, is_expected in (("ends", True), ("progress", is_unstored)):
            over = self.find_events(f"{subject}.wait-over")
            self.assertEqual(len(over), is_expected)
            for line in over:
                self.assertGreater(line["waited_s"], BOUND_S)

    # Guards against gauges of a former leader that go on showing a wait.
    def test_former_leader(self):
        self.start_fleet()
        self.reject_progress()
        self.fleet.run_for(BOUND_S + 2.0)
        registry = self.fleet.nodes[self.leader].metrics.registry
        for is_leading in (True, False):
            if not is_leading:
                self.fleet.nodes[self.leader].leader.close()
                self.fleet.run_for(RECOVERY_S)
            for name in ("unacknowledged_ends", "oldest_unacknowledged_end_seconds"):
                self.assertEqual(sum(self.samples(name).values()) > 0, is_leading)
            for name in ("oldest_unstored_progress_seconds", "progress_batch_repeats"):
                value = registry.get_sample_value(f"dogwoodlever_{name}")
                self.assertEqual(value > 0, is_leading)
