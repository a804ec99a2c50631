"""Starts without an answer: what the review of the change for them has found."""

import itertools
import random
from dataclasses import replace

from twisted.internet.task import deferLater

from dogwoodlever._fleet_workers import TOKENS_PER_TERM_MAX
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S
from standins.fleet import server_record
from tests import test_late_starts, test_longest_leases
from tests.fleet_simulation import JOB, job
from tests.test_lease_expiry import cut_off_with_leader
from tests.test_longest_leases import (
    LONGEST_S,
    START_MAX_S,
    WORKER_CUTS,
    end_leader_lease,
)

OTHER_JOB = "b" * 16
# Longest time to acknowledge an end while nothing is disrupted.
ACKNOWLEDGE_MAX_S = 4.0
# Longest time from the arrival of a job to its start if there is room.
START_SOON_S = 0.2


class ReviewTest(test_longest_leases.ReturnedWorkersTest):
    """The first copy of a start has no answer, and the second one is carried out."""

    carry_out = test_late_starts.LateStartTest.carry_out

    def start_task(self, **fields):
        """Return a fleet, the worker of a task, and the first copy with its token."""
        # Runs of no set length do not count as hanging.
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, **fields), wait_s=2.0)
        ((worker_id, order),) = fleet.workers._for_next_incarnation.items()
        fleet.workers._for_next_incarnation.clear()
        self.assertEqual(fleet.workers.starts, [(order.run, worker_id)])
        return fleet, worker_id, order, fleet.workers._held_tokens.pop(worker_id)

    def add_incarnation(self, fleet, worker_id):
        former = fleet.workers.workers[worker_id].entry
        return fleet.workers.add(
            replace(former, started_at_ms=former.started_at_ms + 1), 0.0
        )

    def find_workers(self, fleet):
        return fleet.nodes[fleet.leader()].leader.workers


class AcknowledgementTest(ReviewTest):
    # Guards against ends that are not acknowledged for as long as a start to their
    # worker is open, of which a busy worker has one at almost all times (Acks).
    def test_ends_are_acknowledged_while_starts_are_open(self):
        for start_s, interval_s in itertools.product(
            (0.02, 0.1, 0.2, 0.4), (0.2, 0.1, 0.05)
        ):
            with self.subTest(start_s=start_s, interval_s=interval_s):
                waits_s = self.measure_waits_s(start_s, interval_s)
                self.assertGreater(len(waits_s), 30)
                self.assertLess(max(waits_s), ACKNOWLEDGE_MAX_S)

    def measure_waits_s(self, start_s, interval_s):
        """Return how long ends wait while starts take a time and jobs arrive."""
        fleet = self.start_fleet(workers=1, run_s=0.3)
        client = fleet.worker_clients[fleet.leader()]
        start = client.start
        client.start = lambda *order: deferLater(fleet.clock, start_s, start, *order)
        worker = fleet.workers.workers["w0"]
        random_ = random.Random(1)
        began_s = due_s = fleet.clock.seconds()
        jobs, listed_s, waits_s = 0, {}, []
        while (now_s := fleet.clock.seconds()) < began_s + 8.0:
            if now_s >= due_s:
                due_s += random_.uniform(0, 2 * interval_s)
                jobs += 1
                fleet.submit(0, job(f"{jobs:016x}", tasks=1), wait_s=0.0)
            fleet.run_for(0.01)
            for end in worker.ended:
                listed_s.setdefault(end.number, now_s)
            for number in list(listed_s):
                if number <= worker.acknowledged_number:
                    waits_s.append(now_s - listed_s.pop(number))
        return waits_s + [now_s - time_s for time_s in listed_s.values()]

    # Guards against ends of other runs that are not acknowledged for as long as an end
    # before them is held back (Acks).
    def test_ends_after_a_held_end_are_acknowledged(self):
        for outcome in ("done", "failed"):
            with self.subTest(outcome=outcome):
                fleet, worker_id, order, _ = self.start_task()
                worker = fleet.workers.workers[worker_id]
                fleet.workers.end(worker, worker.running[order.run], outcome)
                for other in fleet.workers.workers.values():
                    other.run_s = 0.5
                fleet.submit(0, job(OTHER_JOB, tasks=40), wait_s=3.0)
                last_number = worker.last_number
                self.assertGreater(last_number, 5)
                fleet.run_for(ACKNOWLEDGE_MAX_S)
                self.assertGreaterEqual(worker.acknowledged_number, last_number)

    # Guards against a late poll of the former incarnation that acknowledges the end of
    # a late start, which got no answer before that poll was sent (TWICE).
    def test_late_poll_acknowledges_the_end_of_an_earlier_start(self):
        for sent_s in (0.2, 2.0, 6.0):
            with self.subTest(sent_s=sent_s):
                fleet, worker_id, order, token = self.start_task()
                former = fleet.workers.workers[worker_id]
                fleet.submit(0, job(OTHER_JOB, tasks=12), wait_s=sent_s)
                polls = self.record_polls(fleet, fleet.leader())
                other = next(r for r in former.running.values() if r.run != order.run)
                fleet.workers.end(former, other, "done")
                fleet.run_for(0.2)
                late_poll = next((p for p in polls if p.acknowledged), None)
                fleet.workers.crash(worker_id)
                fleet.run_for(0.05)
                worker = self.add_incarnation(fleet, worker_id)
                worker.fencing_token = token
                self.carry_out(fleet, worker, order)
                fleet.workers.end(worker, worker.running[order.run], "done")
                if late_poll is not None:
                    fleet.workers.unanswered_polls[worker_id] = [late_poll]
                    fleet.workers.carry_out_late_polls(worker)
                fleet.records.write(f"servers/{worker_id}", server_record(worker.entry))
                fleet.run_for(LONGEST_S + LATE_ORDER_MAX_S + START_MAX_S)
                tasks = [run.task for run in fleet.workers.duplicate_starts]
                self.assertNotIn(order.run.task, tasks)


class KeptRunTest(ReviewTest):
    # Guards against a run that is dropped before the expiry of its lease is confirmed,
    # as a copy of its start once got no answer: a successor may have renewed the lease
    # (TWICE).
    def test_run_of_an_expired_copy_outlasts_an_unconfirmed_expiry(self):
        for has_copy in (False, True):
            with self.subTest(has_copy=has_copy):
                fleet = self.start_fleet(workers=2, run_s=0.0)
                fleet.workers.delays_start_to_next_incarnation = has_copy
                fleet.submit(0, job(JOB, tasks=1), wait_s=2.0)
                fleet.workers._for_next_incarnation.clear()
                ((_, worker_id),) = fleet.workers.starts
                fleet.run_for(LATE_ORDER_MAX_S + LONGEST_S)
                former = fleet.leader()
                end_leader_lease(fleet, former)
                cut_off_with_leader(fleet, worker_id)
                # The leader reaches the other worker only, its successor this one.
                others = set(fleet.workers.workers) - {worker_id}
                for number, client in enumerate(fleet.worker_clients):
                    client.unreachable = {worker_id} if number == former else others
                fleet.run_for(10.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a task that starts elsewhere while the next incarnation of its
    # worker runs a copy of its start for the longest lease: that one has answered, or
    # its entry is written, and is cut off then (TWICE).
    def test_next_incarnation_is_cut_off(self):
        for cut, has_answered, returns_after_s in itertools.product(
            WORKER_CUTS, (True, False), (6.5, 9.5)
        ):
            with self.subTest(
                cut=cut, has_answered=has_answered, returns_after_s=returns_after_s
            ):
                fleet, worker_id, order, _ = self.start_task()
                former = fleet.workers.workers[worker_id]
                WORKER_CUTS[cut](former)
                fleet.run_for(returns_after_s)
                former.running.clear()
                worker = self.add_incarnation(fleet, worker_id)
                self.carry_out(fleet, worker, order)
                if has_answered:
                    fleet.run_for(1.3)
                    # The former one is dropped, its run is not.
                    self.assertNotIn(worker_id, self.find_workers(fleet).capacities)
                    self.assertEqual(len(fleet.workers.starts), 2)
                WORKER_CUTS[cut](worker)
                if not has_answered:
                    entry = server_record(worker.entry)
                    fleet.records.write(f"servers/{worker_id}", entry)
                fleet.run_for(LONGEST_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a lasting task that starts elsewhere although its worker, which has
    # restarted, restarts once more and carries out a copy of its start (TWICE).
    def test_worker_of_a_lasting_task_restarts_twice(self):
        for second_s in (5.0, 7.0):
            with self.subTest(second_s=second_s):
                fleet, worker_id, order, _ = self.start_task(standing=True)
                fleet.workers.crash(worker_id)
                fleet.run_for(0.1)
                entry = self.add_incarnation(fleet, worker_id).entry
                fleet.records.write(f"servers/{worker_id}", server_record(entry))
                fleet.run_for(second_s)
                fleet.workers.crash(worker_id)
                fleet.run_for(0.1)
                worker = self.add_incarnation(fleet, worker_id)
                self.carry_out(fleet, worker, order)
                fleet.records.write(f"servers/{worker_id}", server_record(worker.entry))
                fleet.run_for(3.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])


class HeldEndTest(ReviewTest):
    # Guards against an end that counts twice, as the start of its run turned out to
    # have no answer after that end was read.
    def test_end_counts_once(self):
        for outcome in ("failed", "stopped"):
            with self.subTest(outcome=outcome):
                fleet = self.start_fleet(workers=2, run_s=0.0)
                leader = fleet.leader()
                count = self.find_workers(fleet)._metrics.run_ends.labels(outcome)
                before = count._value.get()
                fleet.workers.orders_to_lose = 1
                fleet.submit(0, job(JOB, tasks=1), wait_s=0.3)
                ((run_id, worker_id),) = fleet.workers.starts
                worker = fleet.workers.workers[worker_id]
                fleet.workers.end(worker, worker.running[run_id], outcome)
                fleet.stores[leader].is_down = True
                fleet.run_for(1.5)
                fleet.stores[leader].is_down = False
                fleet.run_for(LATE_ORDER_MAX_S + START_MAX_S)
                self.assertEqual(count._value.get() - before, 1)

    # Guards against room that ends of a cancelled job take, although none of its tasks
    # starts again.
    def test_cancelled_job_leaves_its_room(self):
        fleet = self.start_fleet(workers=1, run_s=0.0)
        fleet.workers.orders_to_lose = 8
        fleet.submit(0, job(JOB, tasks=8), wait_s=2.0)
        self.assertEqual(self.count_running(fleet), 8)
        deadline_s = fleet.clock.seconds() + 3.0
        fleet.nodes[0].frontend.cancel(JOB, deadline_s)
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 0)
        fleet.submit(0, job(OTHER_JOB, tasks=8), wait_s=1.0)
        self.assertEqual(self.count_running(fleet), 8)


class FencingTest(ReviewTest):
    # Guards against starts that wait for an open poll, as the fencing token of their
    # leader has changed.
    def test_start_after_a_continued_term(self):
        fleet = self.start_fleet(workers=1, run_s=0.0)
        fleet.run_for(2.0)
        leader = fleet.nodes[fleet.leader()].leader
        # A poll has just been sent.
        while leader.workers._links["w0"]._poll_call.active():
            fleet.run_for(0.01)
        leader.continue_term(leader.term, leader.fencing_token + 1)
        fleet.submit(0, job(JOB, tasks=1), wait_s=START_SOON_S)
        self.assertEqual(len(fleet.workers.starts), 1)

    # Guards against a worker's next incarnations that accept late calls for the former
    # ones, as the numbers of the tokens of a long term are used up.
    def test_tokens_rise_throughout_a_term(self):
        fleet = self.start_fleet(workers=1, run_s=0.0)
        self.find_workers(fleet)._token_numbers["w0"] = TOKENS_PER_TERM_MAX - 2
        tokens = []
        for started_at_ms in (2, 3, 4):
            fleet.workers.crash("w0")
            fleet.run_for(1.0)
            former = fleet.workers.workers["w0"]
            entry = replace(former.entry, started_at_ms=started_at_ms)
            tokens.append(fleet.add_worker(entry, 0.0))
            fleet.run_for(2.0)
        numbers = [worker.fencing_token for worker in tokens]
        self.assertEqual(numbers, sorted(set(numbers)))
