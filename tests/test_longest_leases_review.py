"""Further ways in which a longest lease may be taken for a granted one."""

import itertools
import unittest
from dataclasses import replace
from functools import partial
from unittest.mock import patch

from twisted.internet.defer import fail
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from dogwoodlever._fleet_records import (
    PROGRESS_PREFIX,
    WORKER_MEMBERSHIP_KEY,
    KnownIncarnation,
    WorkerMembershipRecord,
    decode_worker_membership,
    encode,
)
from dogwoodlever._fleet_runs import FleetRuns
from dogwoodlever._fleet_types import PollResult
from dogwoodlever._run_evidence import WorkerEvidence, late_calls_kept_s
from dogwoodlever._worker_link import ORDER_RETRY_S
from dogwoodlever._worker_membership import WorkerMembership
from dogwoodlever.platform._http_workers import ORDER_TIMEOUT_S
from dogwoodlever.platform_errors import StoreUnavailableError, WorkerUnreachableError
from standins.fleet import (
    ENDS_LISTED_MAX,
    LEASE_MAX_MS,
    FakeFleetStore,
    FakePoll,
    FleetRecords,
    server_record,
)
from tests import test_proven_connections
from tests.fleet_simulation import JOB, STOP_S, FleetSimulation, job, worker_entry
from tests.test_longest_leases import (
    GRANTED_S,
    LONGEST_S,
    START_MAX_S,
    TASKS,
    WORKER_CUTS,
    ReturnedWorkersTest,
)

OTHER_JOB = "b" * 16
UNREADABLE = b"\xff\xff"
LEASE_S = 5.0


def reject_writes(fleet, prefix):
    """Let the store reject the writes of records with a prefix, without effect."""
    for store in fleet.stores:
        store.commit = partial(commit_others, store.commit, prefix)


def commit_others(commit, prefix, expected, puts, deletes=()):
    if any(put.key.startswith(prefix) for put in puts):
        return fail(StoreUnavailableError("too many calls"))
    return commit(expected, puts, deletes)


def accept_writes(fleet):
    for store in fleet.stores:
        vars(store).pop("commit", None)


class LeaseExpiryTest(unittest.TestCase):
    # Guards against a lease that is taken for expired too early, as the incarnation
    # falls silent after its first answer, before it has got a lease (issue 56, TWICE).
    def test_longest_lease_counts_before_any_is_granted(self):
        for former_left_s in (0.0, GRANTED_S, LONGEST_S - 1.0):
            with self.subTest(former_left_s=former_left_s):
                evidence = WorkerEvidence(LEASE_S, LEASE_MAX_MS / 1000, STOP_S)
                evidence.begin_incarnation(100.0 + former_left_s)
                evidence.begin_poll(100.0, 0.0)
                evidence.judge_poll(PollResult(400, 2, (), ()), 2, 100.0)
                evidence.confirm_incarnation(False, 100.0)
                error = WorkerUnreachableError("timeout")
                evidence.judge_failed_poll(error, 100.5, 0.0, 101.0)
                self.assertFalse(evidence.expire_leases(100.0 + LONGEST_S - 0.1))
                self.assertTrue(evidence.expire_leases(100.0 + LONGEST_S + 0.1))


class StoredMembershipTest(unittest.TestCase):
    # Guards against starts on a worker that the stored record has lost, as it leaves
    # and returns while the write that removes it has no answer (TWICE).
    def test_worker_that_returns_before_its_removal_is_answered(self):
        for is_settled, answers_to_lose in itertools.product((False, True), (0, 1)):
            with self.subTest(is_settled=is_settled, answers_to_lose=answers_to_lose):
                clock = Clock()
                records = FleetRecords(clock)
                store = FakeFleetStore(records, clock)
                kept_s = late_calls_kept_s(LEASE_MAX_MS / 1000, STOP_S)
                membership = WorkerMembership(
                    store, clock, lambda: 0, kept_s, lambda: None
                )
                incarnation = KnownIncarnation(2, is_settled)
                membership.set_member("w0", "127.0.0.1:9000", incarnation)
                clock.advance(0.1)
                self.assertTrue(membership.is_stored("w0"))
                store.answers_to_lose = answers_to_lose
                membership.discard("w0")
                clock.advance(0.003)
                membership.set_member("w0", "127.0.0.1:9000", incarnation)
                for _ in range(4):
                    clock.advance(0.002)
                    record = records.read(WORKER_MEMBERSHIP_KEY)
                    stored = decode_worker_membership(record.value).workers
                    if membership.is_stored("w0"):
                        self.assertIn("w0", stored)


class OtherSuccessionsTest(ReturnedWorkersTest):
    def hold_start(self, tasks=1):
        """Return a fleet and the worker whose start reaches the next incarnation."""
        fleet = self.start_fleet(workers=2)
        fleet.run_for(15.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=tasks, standing=True), wait_s=0.05)
        (affected,) = fleet.workers._for_next_incarnation
        fleet.workers.crash(affected)
        fleet.run_for(0.05)
        return fleet, affected

    def add_incarnation(self, fleet, worker_id, has_entry=True):
        entry = replace(fleet.workers.workers[worker_id].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.0)
        worker.clock_rate = 0.98
        if has_entry:
            fleet.records.write(f"servers/{worker_id}", server_record(entry))
        return worker

    def await_first_answer(self, fleet, former, worker_id):
        """Run until a successor has read a worker, before it writes."""
        until_s = fleet.clock.seconds() + 4.0
        capacity = None
        while capacity is None or not capacity.is_synced:
            self.assertLess(fleet.clock.seconds(), until_s)
            fleet.clock.advance(0.001)
            for number, node in enumerate(fleet.nodes):
                # A leader polls workers before it has loaded all jobs.
                if number not in former and node.leader is not None:
                    capacity = node.leader.workers.capacities.get(worker_id)

    # Guards against the same in a fleet: the store rejects a successor's writes after
    # the first answer, and the worker is cut off meanwhile (TWICE).
    def test_worker_is_lost_before_its_incarnation_is_stored(self):
        for how, cut, stored_late_s in itertools.product(
            ("killed", "stopped"), WORKER_CUTS, (0.0, 1.5)
        ):
            with self.subTest(how=how, cut=cut, stored_late_s=stored_late_s):
                fleet, affected = self.hold_start()
                former = {self.lose_leader(fleet, how)}
                fleet.run_for(0.3)
                worker = self.add_incarnation(fleet, affected)
                if stored_late_s:
                    reject_writes(fleet, WORKER_MEMBERSHIP_KEY)
                self.await_first_answer(fleet, former, affected)
                WORKER_CUTS[cut](worker)
                fleet.run_for(stored_late_s)
                accept_writes(fleet)
                self.assertEqual(len(worker.running), 1)
                self.check_work(fleet, worker, LONGEST_S + START_MAX_S, tasks=1)

    # Guards against the same for an incarnation that has an entry and never answers.
    def test_worker_is_lost_before_its_first_answer(self):
        for how, cut, entry in itertools.product(
            ("killed", "stopped"), WORKER_CUTS, (True, False)
        ):
            with self.subTest(how=how, cut=cut, entry=entry):
                fleet, affected = self.hold_start()
                former = self.lose_leader(fleet, how)
                fleet.run_for(0.3)
                worker = self.add_incarnation(fleet, affected, entry)
                WORKER_CUTS[cut](worker)
                self.await_successor(fleet, {former})
                self.check_work(fleet, worker, LONGEST_S + START_MAX_S, tasks=1)

    # Guards against granted leases that count for a worker of a membership that the
    # successor cannot read (TWICE).
    def test_membership_is_unreadable(self):
        for how, cut in itertools.product(("killed", "stopped"), WORKER_CUTS):
            with self.subTest(how=how, cut=cut):
                fleet, lost = self.start_work()
                fleet.workers.crash(lost)
                fleet.run_for(0.3)
                worker = self.return_worker(fleet, lost)
                fleet.run_for(1.0)
                self.assertEqual(len(worker.running), 2)
                fleet.add_worker(worker_entry(8), 0.0)
                former = self.lose_leader(fleet, how)
                fleet.records.write(WORKER_MEMBERSHIP_KEY, UNREADABLE)
                WORKER_CUTS[cut](worker)
                self.await_successor(fleet, {former})
                self.check_work(fleet, worker, LONGEST_S + START_MAX_S)

    # Guards against the same two leaders later, as the one that could not read it has
    # stored a membership of its own and stops (TWICE).
    def test_membership_was_unreadable_to_the_leader_before(self):
        for cut in WORKER_CUTS:
            with self.subTest(cut=cut):
                fleet, lost = self.start_work()
                fleet.workers.crash(lost)
                fleet.records.remove(f"servers/{lost}")
                former = {self.lose_leader(fleet, "stopped")}
                fleet.records.write(WORKER_MEMBERSHIP_KEY, UNREADABLE)
                self.await_successor(fleet, former)
                # Until it has given up the workers that it does not know.
                fleet.run_for(LONGEST_S + 0.5)
                former.add(self.lose_leader(fleet, "stopped"))
                self.await_successor(fleet, former)
                fleet.run_for(0.3)
                # A call that was sent before the crash is carried out late.
                self.check_return(fleet, lost, cut)

    def check_return(self, fleet, worker_id, cut):
        """Cut a worker off 1 s after its return, and check its work."""
        worker = self.return_worker(fleet, worker_id)
        fleet.run_for(0.99)
        self.assertEqual(len(worker.running), 2)
        fleet.add_worker(worker_entry(8), 0.0)
        fleet.run_for(0.01)
        WORKER_CUTS[cut](worker)
        self.check_work(fleet, worker, LONGEST_S + START_MAX_S)

    # Guards against a worker that has left and is forgotten, as a leader of an earlier
    # build, which names no incarnations, has led since (TWICE).
    def test_earlier_build_has_led_since_a_worker_left(self):
        for cut in WORKER_CUTS:
            with self.subTest(cut=cut):
                fleet, lost = self.start_work()
                fleet.workers.crash(lost)
                fleet.records.remove(f"servers/{lost}")
                fleet.run_for(GRANTED_S + 0.5)
                former = self.lose_leader(fleet, "stopped")
                record = fleet.records.read(WORKER_MEMBERSHIP_KEY)
                stored = decode_worker_membership(record.value)
                self.assertNotIn(lost, stored.workers)
                self.assertIn(lost, stored.incarnations)
                written = encode(WorkerMembershipRecord(stored.workers))
                fleet.records.write(WORKER_MEMBERSHIP_KEY, written)
                self.await_successor(fleet, {former})
                fleet.run_for(0.5)
                self.check_return(fleet, lost, cut)

    # Guards against a worker that drains for long and is forgotten while the leader
    # still grants it leases, so that its next incarnation counts as settled (TWICE).
    def test_worker_returns_after_a_long_drain(self):
        for cut, drained_s in itertools.product(WORKER_CUTS, (5.0, 40.0)):
            with self.subTest(cut=cut, drained_s=drained_s):
                fleet = self.start_fleet(workers=3)
                fleet.run_for(15.0)
                polls = self.record_polls(fleet, "w2")
                entry = fleet.workers.workers["w2"].entry
                record = server_record(entry, "draining")
                fleet.records.write("servers/w2", record)
                fleet.run_for(drained_s)
                self.start_standing_job(fleet, TASKS)
                fleet.submit(0, job(OTHER_JOB, 6, standing=True, worker_tasks_max=2))
                fleet.workers.crash("w2")
                fleet.records.remove("servers/w2")
                former = self.lose_leader(fleet, "stopped")
                self.await_successor(fleet, {former})
                fleet.run_for(0.5)
                worker = self.add_incarnation(fleet, "w2", has_entry=False)
                # The last poll before the crash is carried out late.
                self.assertGreater(polls[-1].until_ms, 0)
                fleet.workers.unanswered_polls["w2"] = [polls[-1]]
                fleet.workers.carry_out_late_polls(worker)
                fleet.records.write("servers/w2", server_record(worker.entry))
                fleet.run_for(1.0)
                self.assertEqual(len(worker.running), 2)
                fleet.add_worker(worker_entry(8), 0.0)
                WORKER_CUTS[cut](worker)
                fleet.run_for(LONGEST_S + START_MAX_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    def record_polls(self, fleet, worker_id):
        """Return a list to which each poll of a worker by the leader is added."""
        client = fleet.worker_clients[fleet.leader()]
        poll = client.poll
        polls = []

        def record_poll(entry, fencing_token, acknowledged, until_ms, wait_ms):
            if entry.worker_id == worker_id:
                polls.append(FakePoll(fencing_token, acknowledged, until_ms))
            return poll(entry, fencing_token, acknowledged, until_ms, wait_ms)

        client.poll = record_poll
        return polls

    # Guards against starts on a worker that the stored record has lost: it has an
    # outdated entry, is removed from the membership by a write that gets no answer,
    # and its own entry follows (TWICE).
    def test_entry_follows_as_the_removal_has_no_answer(self):
        for cut in WORKER_CUTS:
            with self.subTest(cut=cut):
                fleet = self.start_fleet(workers=1)
                fleet.run_for(15.0)
                fleet.workers.crash("w0")
                former = {self.lose_leader(fleet, "killed")}
                fleet.run_for(0.3)
                worker = self.add_incarnation(fleet, "w0", has_entry=False)
                self.await_first_answer(fleet, former, "w0")
                successor = self.await_successor(fleet, former)
                while "w0" not in self.read_members(fleet, 2):
                    fleet.clock.advance(0.001)
                fleet.stores[successor].answers_to_lose = 1
                while "w0" in self.read_members(fleet, 2):
                    self.assertLess(fleet.clock.seconds(), 125.0)
                    fleet.clock.advance(0.001)
                fleet.records.write("servers/w0", server_record(worker.entry))
                fleet.submit(successor, job(JOB, 2, standing=True), wait_s=0.5)
                fleet.add_worker(worker_entry(8), 0.0)
                former.add(self.lose_leader(fleet, "killed"))
                WORKER_CUTS[cut](worker)
                self.await_successor(fleet, former)
                fleet.run_for(LONGEST_S + START_MAX_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    def read_members(self, fleet, started_at_ms):
        """Return the stored members whose incarnation is named."""
        record = fleet.records.read(WORKER_MEMBERSHIP_KEY)
        stored = decode_worker_membership(record.value)
        return {
            worker_id
            for worker_id in stored.workers
            if stored.incarnations[worker_id].started_at_ms == started_at_ms
        }


class FailingReportTest(ReturnedWorkersTest):
    # Guards against leases of an incarnation that is stored nowhere, as its report
    # cannot be applied.
    def test_incarnation_is_stored_before_its_report_is_applied(self):
        fleet, lost = self.start_work()
        fleet.workers.crash(lost)
        fleet.run_for(0.3)
        entry = replace(fleet.workers.workers[lost].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.0)
        with patch.object(FleetRuns, "apply_poll", side_effect=ValueError("report")):
            fleet.records.write(f"servers/{lost}", server_record(entry))
            fleet.run_for(1.0)
        record = fleet.records.read(WORKER_MEMBERSHIP_KEY)
        known = decode_worker_membership(record.value).incarnations[lost]
        self.assertGreater(worker.until_ms, 0)
        self.assertEqual(known.started_at_ms, 2)


class ManyEndsTest(ReturnedWorkersTest):
    # Guards against tasks that run again after their ends, as the successor gives a
    # worker up that answers, before it has been able to store its first ends (TWICE).
    def test_first_ends_are_stored_late(self):
        for stored_late_s in (2.0, 12.0):
            with self.subTest(stored_late_s=stored_late_s):
                tasks = ENDS_LISTED_MAX + 50
                fleet = FleetSimulation(daemons=3, workers=0)
                worker = fleet.add_worker(worker_entry(0, cores=1000), run_s=2.0)
                fleet.run_for(1.0)
                fleet.submit(0, job(JOB, tasks=tasks))
                fleet.run_for(1.5)
                leader = fleet.leader()
                fleet.stores[leader].is_down = True
                fleet.run_for(1.5)
                self.assertEqual(len(worker.ended), tasks)
                reject_writes(fleet, PROGRESS_PREFIX)
                former = self.lose_leader(fleet, "killed")
                self.await_successor(fleet, {former})
                fleet.run_for(stored_late_s)
                accept_writes(fleet)
                fleet.run_for(15.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(len(fleet.workers.starts), tasks)


class SlowWorkerTest(unittest.TestCase):
    # Guards against orders that a worker carries out and that never count as answered,
    # as it takes over half of their time to answer and a bare poll precedes each.
    def test_order_is_answered_by_a_slow_worker(self):
        for (name, call, path), share in itertools.product(
            test_proven_connections.ORDERS, (0.4, 0.6, 0.9)
        ):
            with self.subTest(name, share=share):
                harness = test_proven_connections.ProvenConnectionsTest()
                harness.setUp()
                self.addCleanup(harness.doCleanups)
                pause_s = share * ORDER_TIMEOUT_S
                answer = partial(harness.pause_and_reply, pause_s)
                harness.process.script = [answer] * 12
                waiting = []
                for _ in range(6):
                    waiting.append(harness.send(call))
                    harness.run_events()
                    harness.now_s += ORDER_RETRY_S
                    harness.run_events()
                self.assertIn(path, harness.process.paths)
                results = list(itertools.chain(*waiting))
                errors = [result for result in results if isinstance(result, Failure)]
                self.assertLess(len(errors), len(results), errors[:1])


if __name__ == "__main__":
    unittest.main()
