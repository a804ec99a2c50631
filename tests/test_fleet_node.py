import unittest

import msgspec
from twisted.internet.defer import Deferred, fail

from dogwoodlever._fleet_election import CONFIRM_RETRY_S
from dogwoodlever._fleet_frontend import CallOutcome
from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_leader import STARTS_PER_ROUND
from dogwoodlever._fleet_records import JOBS_PREFIX, LEADER_KEY, progress_key
from dogwoodlever._fleet_types import ADVICE_WORKERS_MAX, Step, SubmittedJob
from dogwoodlever._fleet_watcher import RETRY_S
from dogwoodlever.platform_errors import StoreRefusedError
from standins.fleet import STORE_DELAY_S, STORE_TIMEOUT_S, server_record
from tests.fleet_simulation import (
    CONFIGURATION,
    QUEUE,
    FleetSimulation,
    job,
    worker_entry,
)

JOB = "a" * 16
ADVICE = {"decision_ms": 20, "period_ms": 1, "valid_ms": 1_500}


class FleetNodeTest(unittest.TestCase):
    def start_fleet(self, **sizes):
        fleet = FleetSimulation(**sizes)
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def assert_no_duplicate_runs(self, fleet):
        self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_job_is_accepted_anywhere_and_completed(self):
        fleet = self.start_fleet()
        for number in range(3):
            with self.subTest(daemon=number):
                job_id = f"{number:016x}"
                result = fleet.submit(number, job(job_id, steps=2))
                self.assertEqual(result.outcome, CallOutcome.DONE)
                fleet.run_for(3.0)
                reader = (number + 1) % 3
                self.assertEqual(fleet.read_phase(reader, job_id), JobPhase.COMPLETED)
        self.assertEqual(len(fleet.workers.starts), 24)
        self.assert_no_duplicate_runs(fleet)

    def test_repeated_submission_stays_one_job(self):
        fleet = self.start_fleet()
        for number in (0, 1, 2):
            fleet.submit(number, job(JOB))
        fleet.run_for(2.0)
        self.assertEqual(len(fleet.workers.starts), 4)

    # Guards against a count of pending jobs without those that no worker has begun,
    # although their starts were ordered (MIXED).
    def test_job_is_pending_until_a_worker_begins_it(self):
        fleet = self.start_fleet(run_s=20.0)
        fleet.workers.start_refusals = [RefusalReason.UNHEALTHY] * 10_000
        fleet.submit(0, job(JOB, tasks=2))
        for refused, pending in ((True, 1), (False, 0)):
            with self.subTest(refused=refused):
                if not refused:
                    fleet.workers.start_refusals.clear()
                fleet.run_for(4.0)
                self.assertEqual(bool(fleet.workers.starts), not refused)
                counted = self.count_pending(fleet)
                self.assertEqual(counted, pending)
        fleet.kill(fleet.leader())
        fleet.run_for(6.0)
        self.assertEqual(self.count_pending(fleet), 0)

    def count_pending(self, fleet):
        frontend = fleet.nodes[fleet.leader()].frontend
        call = frontend.count_pending(QUEUE, fleet.clock.seconds() + 3.0)
        return fleet.await_result(call).pending

    def test_unknown_job_is_absent(self):
        fleet = self.start_fleet()
        result = fleet.await_result(fleet.nodes[0].frontend.read("f" * 16, 200.0))
        self.assertEqual(result.outcome, CallOutcome.ABSENT)

    def test_leader_failover_runs_nothing_twice(self):
        for after_s in (0.05, 0.5, 1.05, 1.6):
            with self.subTest(after_s=after_s):
                fleet = self.start_fleet()
                fleet.submit(0, job(JOB, tasks=6, steps=3))
                fleet.run_for(after_s)
                first = fleet.leader()
                fleet.kill(first)
                died_s = fleet.clock.seconds()
                while fleet.leader() is None:
                    fleet.run_for(0.1)
                # Design target for a change of leader.
                self.assertLess(fleet.clock.seconds() - died_s, 4.0)
                fleet.run_for(8.0)
                reader = (first + 1) % 3
                self.assertEqual(fleet.read_phase(reader, JOB), JobPhase.COMPLETED)
                self.assert_no_duplicate_runs(fleet)

    def test_new_daemons_continue_after_all_daemons_fail(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=6, steps=3))
        fleet.run_for(1.5)
        for number in range(3):
            fleet.kill(number)
        for number in range(2):
            fleet.add_daemon(f"vm{number}")
        fleet.run_for(12.0)
        self.assertEqual(fleet.read_phase(3, JOB), JobPhase.COMPLETED)
        self.assert_no_duplicate_runs(fleet)

    def test_late_write_does_not_restore_old_progress(self):
        # An unanswered write is applied after newer ones, then all daemons fail.
        fleet = self.start_fleet(workers=2)
        leader = fleet.leader()
        fleet.submit(0, job(JOB, tasks=2, steps=3))
        fleet.run_for(0.9)
        fleet.stores[leader].commit_delay_s = 4.5
        fleet.run_for(6.5)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        for number in range(3):
            fleet.kill(number)
        fleet.add_daemon("vm0")
        fleet.run_for(14.0)
        self.assertEqual(fleet.read_phase(3, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(fleet.workers.starts), 6)
        self.assert_no_duplicate_runs(fleet)

    def test_store_outage_rejects_submissions_and_work_continues(self):
        fleet = self.start_fleet()
        fleet.submit(0, job(JOB, tasks=4, steps=4))
        for store in fleet.stores:
            store.is_down = True
        # The first attempt may still take effect, so its outcome is unknown.
        result = fleet.submit(1, job("b" * 16), wait_s=2.5)
        self.assertEqual(result.outcome, CallOutcome.UNKNOWN)
        result = fleet.submit(1, job("c" * 16), wait_s=0.05)
        self.assertEqual(result.outcome, CallOutcome.NOT_DONE)
        self.assertGreater(result.retry_after_s, 0)
        fleet.run_for(2.0)
        # All four steps ran without the store.
        self.assertEqual(len(fleet.workers.starts), 16)
        for store in fleet.stores:
            store.is_down = False
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(1, JOB), JobPhase.COMPLETED)
        self.assert_no_duplicate_runs(fleet)

    def test_leader_writes_for_a_daemon_without_access_to_the_store(self):
        fleet = self.start_fleet()
        other = (fleet.leader() + 1) % 3
        fleet.stores[other].is_down = True
        fleet.run_for(2.5)
        result = fleet.submit(other, job(JOB))
        self.assertEqual(result.outcome, CallOutcome.DONE)
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(other, JOB), JobPhase.COMPLETED)
        frontend = fleet.nodes[other].frontend
        fleet.submit(0, job("b" * 16, tasks=2, standing=True))
        fleet.run_for(0.5)
        result = fleet.await_result(
            frontend.cancel("b" * 16, fleet.clock.seconds() + 3.0)
        )
        self.assertEqual(result.outcome, CallOutcome.DONE)

    def test_end_of_an_outage_is_detected_without_changes(self):
        # After an outage the first watches must not wait for a change.
        fleet = self.start_fleet()
        fleet.records.is_lease_expiry_paused = True
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(3.5)
        for store in fleet.stores:
            store.is_down = False
        # One call may still wait for its timeout before the next is made.
        fleet.run_for(STORE_TIMEOUT_S + RETRY_S + 0.1)
        self.assertEqual([n._store.down_for_s() for n in fleet.nodes], [None] * 3)

    def test_leader_that_stepped_down_in_an_outage_ends_its_lease(self):
        # Leases do not expire during a long outage, so the lease of a leader that
        # stepped down still blocks its successors after the outage.
        fleet = self.start_fleet()
        fleet.records.is_lease_expiry_paused = True
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(8.0)
        self.assertIsNone(fleet.leader())
        for store in fleet.stores:
            store.is_down = False
        fleet.run_for(3.0)
        self.assertIsNotNone(fleet.leader())

    def test_leader_that_is_stopped_in_an_outage_leads_on(self):
        # Nobody can be elected while the store is down; the grace period is 6 s.
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.submit(leader, job(JOB, tasks=4, steps=8))
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(2.5)
        before = len(fleet.workers.starts)
        stopped = []
        fleet.nodes[leader].on_stopped = lambda: stopped.append(fleet.clock.seconds())
        stopped_s = fleet.clock.seconds()
        fleet.nodes[leader].stop()
        fleet.run_for(3.0)
        self.assertGreaterEqual(len(fleet.workers.starts) - before, 8)
        fleet.run_for(3.0)
        self.assertLess(stopped[0] - stopped_s, 6.0)

    def test_leader_that_is_stopped_hands_over_as_soon_as_the_store_is_back(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.records.is_lease_expiry_paused = True
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(2.5)
        fleet.nodes[leader].stop()
        fleet.run_for(1.0)
        for store in fleet.stores:
            store.is_down = False
        fleet.run_for(2.5)
        self.assertNotIn(fleet.leader(), (None, leader))

    def test_leader_keeps_its_term_over_an_outage_without_a_successor(self):
        # The first renewals after an outage fail, although the store is reachable and
        # shows that no other daemon leads.
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.records.is_lease_expiry_paused = True
        fleet.stores[leader].loses_renewals = True
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(4.0)
        for store in fleet.stores:
            store.is_down = False
        fleet.run_for(2.5)
        fleet.stores[leader].loses_renewals = False
        fleet.run_for(2.0)
        self.assertEqual(fleet.leader(), leader)
        self.assertEqual(fleet.nodes[leader].leader.term, 1)

    def test_renewed_term_is_not_mistaken_for_a_successor(self):
        # The lease ends and the same daemon is elected again with a higher fencing
        # token, while orders in flight carry the lower one.
        fleet = self.start_fleet(workers=1)
        leader = fleet.leader()
        fencing_token = fleet.nodes[leader].leader.fencing_token
        for number in range(8):
            fleet.records.end_lease(fleet.records.lease_of(LEADER_KEY))
            fleet.run_for(0.2)
            fleet.submit(0, job(f"{number:016x}", tasks=1), wait_s=0.2)
        self.assertEqual(fleet.leader(), leader)
        self.assertEqual(fleet.nodes[leader].leader.term, 1)
        self.assertGreater(fleet.nodes[leader].leader.fencing_token, fencing_token)

    def test_rejected_as_not_run_while_neither_store_nor_leader_answers(self):
        # The leader fails during an outage; the outcome must not be unknown.
        fleet = self.start_fleet()
        leader = fleet.leader()
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(3.0)
        fleet.kill(leader)
        result = fleet.submit((leader + 1) % 3, job(JOB), wait_s=0.4)
        self.assertEqual(result.outcome, CallOutcome.NOT_DONE)

    def test_ends_read_during_an_outage_survive_leader_and_worker(self):
        # The leader reads ends during an outage and fails, and the worker that could
        # report them again has left.
        fleet = self.start_fleet(workers=2)
        fleet.submit(0, job(JOB, tasks=2, steps=2))
        fleet.run_for(0.3)
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(2.4)
        first = fleet.leader()
        worker = fleet.workers.starts[0][1]
        fleet.workers.workers[worker].running.clear()
        fleet.workers.workers[worker].is_reachable = False
        fleet.records.remove(f"servers/{worker}")
        fleet.kill(first)
        for store in fleet.stores:
            store.is_down = False
        fleet.run_for(16.0)
        reader = (first + 1) % 3
        self.assertEqual(fleet.read_phase(reader, JOB), JobPhase.COMPLETED)
        again = [run.task for run, _ in fleet.workers.starts if run.task.step == 0]
        self.assertEqual(len(again), len(set(again)))

    def test_failure_reported_again_to_a_later_leader_counts_once(self):
        # A leader stores a failed run, and fails before it acknowledges the end.
        fleet = self.start_fleet(workers=1)
        fleet.workers.workers["w0"].fails = True
        fleet.submit(0, job(JOB, tasks=1))
        while not fleet.workers.workers["w0"].ended:
            fleet.run_for(0.01)
        while progress_key(JOB) not in fleet.records.records:
            fleet.run_for(0.01)
        fleet.kill(fleet.leader())
        fleet.workers.workers["w0"].fails = False
        fleet.run_for(1.0)
        ended = list(fleet.workers.workers["w0"].ended)
        self.assertTrue(ended)
        fleet.run_for(6.0)
        leader = fleet.nodes[fleet.leader()].leader
        runs = leader.registry.jobs[JOB].occurrences[0].steps[0].tasks[0].failed_runs
        self.assertEqual(len(runs), 1)

    def test_cancelled_job_stops_and_never_starts_again(self):
        fleet = self.start_fleet(run_s=0.0)
        fleet.submit(0, job(JOB, tasks=4, standing=True))
        fleet.run_for(1.0)
        frontend = fleet.nodes[1].frontend
        result = fleet.await_result(frontend.cancel(JOB, fleet.clock.seconds() + 3.0))
        self.assertEqual(result.outcome, CallOutcome.DONE)
        self.assertEqual(fleet.read_phase(2, JOB), JobPhase.CANCELLED)
        running = [run for w in fleet.workers.workers.values() for run in w.running]
        self.assertEqual(running, [])
        self.assertEqual(len(fleet.workers.starts), 4)

    def test_start_without_an_answer_is_not_started_elsewhere(self):
        fleet = self.start_fleet()
        fleet.workers.orders_to_lose = 3
        fleet.submit(0, job(JOB, tasks=4))
        fleet.run_for(4.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(fleet.workers.starts), 4)
        self.assert_no_duplicate_runs(fleet)

    def test_tasks_of_an_unreachable_worker_wait_for_its_lease_to_expire(self):
        fleet = self.start_fleet(workers=2, run_s=3.0)
        fleet.submit(0, job(JOB, tasks=8))
        fleet.run_for(0.5)
        fleet.workers.workers["w0"].is_reachable = False
        fleet.run_for(20.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        lost = [
            run
            for run in fleet.workers.duplicate_starts
            if run.task in fleet.workers.done
        ]
        # Only tasks that finished unreported run again; none runs twice at a time.
        self.assertEqual(lost, fleet.workers.duplicate_starts)

    def test_former_leader_starts_no_job_of_its_successor(self):
        # A leader is partitioned together with one worker; when the partition heals, it
        # reads new jobs before it reads that it has a successor.
        fleet = self.start_fleet(workers=2, run_s=3.0)
        former = fleet.leader()
        store = fleet.stores[former]
        store.is_down = True
        fleet.nodes[former].mesh.is_down = True
        for number, client in enumerate(fleet.worker_clients):
            client.unreachable = {"w1"} if number == former else {"w0"}
        fleet.run_for(2.5)
        other = (former + 1) % 3
        fleet.submit(other, job(JOB, tasks=4), wait_s=0.2)
        self.assertTrue(fleet.workers.starts)
        store.is_down = False
        store.silent_prefixes = {LEADER_KEY}
        store.loses_renewals = True
        fleet.run_for(1.5)
        store.silent_prefixes = set()
        store.loses_renewals = False
        fleet.nodes[former].mesh.is_down = False
        fleet.run_for(4.0)
        self.assertEqual(len(fleet.workers.starts), 4)
        self.assert_no_duplicate_runs(fleet)

    def test_partitioned_leader_expires_no_worker_that_its_successor_reaches(self):
        # A leader is partitioned from the store and from a worker whose runs its
        # successor adopts; to the former leader, the worker's lease has expired.
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.submit(0, job(JOB, tasks=3, standing=True, worker_tasks_max=3))
        fleet.run_for(0.5)
        former = fleet.leader()
        assigned = fleet.workers.starts[0][1]
        other = "w1" if assigned == "w0" else "w0"
        fleet.stores[former].is_down = True
        fleet.nodes[former].mesh.is_down = True
        for number, client in enumerate(fleet.worker_clients):
            client.unreachable = {assigned} if number == former else {other}
        fleet.run_for(10.0)
        self.assertEqual(len(fleet.workers.starts), 3)
        self.assert_no_duplicate_runs(fleet)

    def test_lost_worker_does_not_delay_a_later_leader(self):
        # A worker that was lost long ago is still in the worker membership when the
        # leader changes; a standing task has to run again within 6 s.
        fleet = self.start_fleet(workers=3, run_s=0.0)
        fleet.submit(0, job(JOB, tasks=6, standing=True, worker_tasks_max=3))
        fleet.run_for(1.0)
        gone = fleet.workers.starts[0][1]
        fleet.workers.workers[gone].is_reachable = False
        fleet.records.remove(f"servers/{gone}")
        fleet.run_for(7.0)
        first = fleet.leader()
        fleet.kill(first)
        fleet.run_for(2.5)
        reachable = next(w for w in fleet.workers.workers.values() if w.is_reachable)
        ended = len(reachable.running)
        for run in list(reachable.running.values()):
            fleet.workers.end(reachable, run, "failed")
        before = len(fleet.workers.starts)
        fleet.run_for(2.0)
        self.assertEqual(len(fleet.workers.starts) - before, ended)
        self.assert_no_duplicate_runs(fleet)

    def test_one_unanswered_poll_loses_no_worker(self):
        # A busy leader must not mistake its own delay for an unreachable worker.
        fleet = self.start_fleet(workers=1, run_s=3.0)
        fleet.submit(0, job(JOB, tasks=2))
        fleet.run_for(1.0)
        worker = fleet.workers.workers["w0"]
        worker.is_reachable = False
        fleet.run_for(0.9)
        worker.is_reachable = True
        fleet.run_for(0.4)
        leader = fleet.nodes[fleet.leader()].leader
        self.assertTrue(leader.workers._links["w0"].evidence.is_reachable)
        fleet.run_for(3.0)
        self.assertEqual(len(fleet.workers.starts), 2)

    def test_simultaneous_starts_are_sent_in_batches(self):
        # All standing jobs of a deployment arrive at once.
        fleet = self.start_fleet(workers=2)
        fleet_runs = fleet.nodes[fleet.leader()].leader.workers.runs
        start = fleet_runs.start
        starts_by_time = {}

        def count_start(placement, now_s):
            starts_by_time[now_s] = starts_by_time.get(now_s, 0) + 1
            start(placement, now_s)

        fleet_runs.start = count_start
        tasks = 4 * STARTS_PER_ROUND
        small = job(JOB, tasks=tasks)
        steps = tuple(
            Step(tasks, 10, 10, 0, 1000, after=step.after) for step in small.steps
        )
        fleet.submit(0, SubmittedJob(JOB, small.queue, "", steps))
        fleet.run_for(3.0)
        sizes = list(starts_by_time.values())
        self.assertEqual(sum(sizes), tasks)
        self.assertLessEqual(max(sizes), STARTS_PER_ROUND)

    def test_late_start_after_expiry_is_prevented_before_the_next_lease(self):
        # An order is carried out seconds late, just after its worker was reached again
        # and got a new lease, while its task already runs elsewhere.
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.submit(0, job(JOB, tasks=1, standing=True))
        fleet.run_for(0.5)
        first = fleet.workers.starts[0][1]
        other = "w1" if first == "w0" else "w0"
        fleet.records.write(
            f"servers/{other}",
            server_record(fleet.workers.workers[other].entry, "draining"),
        )
        fleet.run_for(0.2)
        fleet.workers.start_delay_s = 8.0
        fleet.submit(0, job("b" * 16, tasks=1, standing=True), wait_s=0.05)
        fleet.records.write(
            f"servers/{other}", server_record(fleet.workers.workers[other].entry)
        )
        fleet.workers.workers[first].is_reachable = False
        fleet.run_for(5.9)
        fleet.workers.workers[first].is_reachable = True
        fleet.run_for(4.0)
        self.assert_no_duplicate_runs(fleet)
        running = [
            run.task.job_id
            for worker in fleet.workers.workers.values()
            for run in worker.running
        ]
        self.assertEqual(sorted(running), [JOB, "b" * 16])

    def start_fleet_with_advice(self, allowed, workers=3):
        fleet = self.start_fleet(workers=workers)
        route = CONFIGURATION["routes"][0] | {"advice": ADVICE}
        changed = CONFIGURATION | {"version": 2, "routes": [route]}
        fleet.records.write("op/config", msgspec.json.encode(changed))
        fleet.run_for(0.3)
        fleet.workers.requires_tickets = True
        fleet.advice.allowed = set(allowed)
        return fleet

    def test_advised_job_runs_where_the_service_allows_it(self):
        fleet = self.start_fleet_with_advice({"w1"})
        fleet.advice.failures = 1
        fleet.submit(0, job(JOB, tasks=3, steps=2))
        fleet.run_for(4.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual({worker for _, worker in fleet.workers.starts}, {"w1"})
        # One failed call, then one for each step; no call names a worker again.
        self.assertEqual(len(fleet.advice.calls), 3)

    def test_expired_ticket_is_requested_again(self):
        fleet = self.start_fleet_with_advice({"w0"}, workers=1)
        fleet.submit(0, job(JOB, tasks=20))
        # Eight tasks fit at a time, and a ticket is valid for 1.5 s.
        fleet.run_for(5.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(fleet.workers.starts), 20)
        self.assertGreaterEqual(len(fleet.advice.calls), 2)

    def test_advice_is_requested_for_batches_of_workers(self):
        fleet = self.start_fleet_with_advice({"w40"}, workers=45)
        fleet.submit(0, job(JOB, tasks=2))
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        sizes = [len(workers) for _, workers in fleet.advice.calls]
        self.assertEqual(sum(sizes), 45)
        self.assertLessEqual(max(sizes), ADVICE_WORKERS_MAX)

    def test_start_that_reaches_the_next_incarnation_is_not_started_elsewhere(self):
        # An order is in flight while its worker crashes and restarts under the same id,
        # without a known fencing token and with a new clock.
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
        waiting = fleet.workers.starts == []
        self.assertTrue(waiting)
        affected = next(iter(fleet.workers._for_next_incarnation))
        entry = worker_entry(int(affected[1:]), started_at_ms=2)
        fleet.workers.add(entry, 0.0)
        fleet.run_for(0.3)
        fleet.records.write(f"servers/{affected}", server_record(entry))
        fleet.run_for(4.0)
        self.assert_no_duplicate_runs(fleet)
        running = [r for w in fleet.workers.workers.values() for r in w.running]
        self.assertEqual(len(running), 1)

    # Guards against a run that is started twice by a copy of an order that was carried
    # out late, after a repetition of the order had been confirmed.
    def test_late_copy_of_a_confirmed_start_reaches_the_next_incarnation(self):
        for returns_after_s in (0.05, 0.5, 3.0):
            for kills_leader in (False, True):
                with self.subTest(
                    returns_after_s=returns_after_s, kills_leader=kills_leader
                ):
                    self.check_late_copy(returns_after_s, kills_leader)

    def check_late_copy(self, returns_after_s, kills_leader):
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=2.0)
        self.assertEqual(len(fleet.workers.starts), 1)
        affected = next(iter(fleet.workers._for_next_incarnation))
        fleet.workers.crash(affected)
        fleet.run_for(returns_after_s)
        if kills_leader:
            fleet.kill(fleet.leader())
        entry = worker_entry(int(affected[1:]), started_at_ms=2)
        fleet.workers.add(entry, 0.0)
        fleet.run_for(0.3)
        fleet.records.write(f"servers/{affected}", server_record(entry))
        fleet.run_for(14.0)
        self.assert_no_duplicate_runs(fleet)
        running = [r for w in fleet.workers.workers.values() for r in w.running]
        self.assertEqual(len(running), 1)

    # Guards against a task that runs again after its end, by a copy of an order that
    # was carried out late.
    def test_late_copy_of_a_start_does_not_repeat_an_ended_run(self):
        fleet = self.start_fleet(workers=2)
        fleet.workers.start_delay_s = 5.0
        fleet.submit(0, job(JOB, tasks=1), wait_s=3.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        affected = fleet.workers.starts[0][1]
        fleet.workers.crash(affected)
        entry = worker_entry(int(affected[1:]), started_at_ms=2)
        fleet.workers.add(entry)
        fleet.records.write(f"servers/{affected}", server_record(entry))
        fleet.run_for(4.0)
        self.assertEqual(len(fleet.workers.starts), 1)
        self.assert_no_duplicate_runs(fleet)

    def test_retried_start_answered_by_the_next_incarnation_is_prevented(self):
        # Orders are retried while a connection is reset, and the next incarnation of
        # the worker, under the same id, accepts them.
        for after_s in (0.2, 0.4, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9):
            with self.subTest(after_s=after_s):
                fleet = self.start_fleet(workers=1, run_s=0.0)
                fleet.workers.workers["w0"].is_reachable = False
                fleet.submit(0, job(JOB, tasks=2, standing=True), wait_s=after_s)
                fleet.add_worker(worker_entry(1), 0.0)
                entry = worker_entry(0, started_at_ms=2)
                fleet.workers.add(entry, 0.0)
                fleet.run_for(1.5)
                fleet.records.write("servers/w0", server_record(entry))
                fleet.run_for(8.0)
                self.assert_no_duplicate_runs(fleet)
                workers = fleet.workers.workers.values()
                self.assertEqual(sum(len(w.running) for w in workers), 2)

    def test_start_lost_with_its_worker_is_retried_elsewhere(self):
        # The worker of an unanswered order never returns.
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
        affected = next(iter(fleet.workers._for_next_incarnation))
        fleet.workers.workers[affected].is_reachable = False
        fleet.records.remove(f"servers/{affected}")
        fleet.run_for(7.0)
        running = [r for w in fleet.workers.workers.values() for r in w.running]
        self.assertEqual(len(running), 1)

    def test_restarted_worker_frees_its_tasks_immediately(self):
        fleet = self.start_fleet(workers=1, run_s=5.0)
        fleet.submit(0, job(JOB, tasks=2))
        fleet.run_for(1.0)
        entry = worker_entry(0, started_at_ms=2)
        fleet.workers.workers["w0"].running.clear()
        fleet.workers.add(entry, 1.0)
        fleet.records.write("servers/w0", server_record(entry))
        fleet.run_for(2.5)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)

    def test_draining_worker_gets_no_new_task(self):
        fleet = self.start_fleet(workers=2)
        entry = worker_entry(0)
        fleet.records.write("servers/w0", server_record(entry, "draining"))
        fleet.run_for(0.2)
        fleet.submit(0, job(JOB, tasks=8))
        fleet.run_for(3.0)
        self.assertEqual({worker for _, worker in fleet.workers.starts}, {"w1"})

    def test_heartbeats_of_many_workers_cause_few_watches(self):
        # Each worker entry changes with each heartbeat of the worker.
        fleet = self.start_fleet(workers=30)
        before = fleet.stores[fleet.leader()].watches
        for _ in range(2):
            for worker_id, worker in fleet.workers.workers.items():
                fleet.records.write(f"servers/{worker_id}", server_record(worker.entry))
                fleet.run_for(0.05)
        # Watches of other prefixes take 1.5 s each.
        self.assertLess(fleet.stores[fleet.leader()].watches - before, 20)

    def test_recovered_worker_gets_standing_tasks_again_soon(self):
        # A worker fails all its runs for some seconds; afterwards only standing tasks,
        # which never end, can show that it is healthy.
        fleet = self.start_fleet(workers=2)
        fleet.workers.workers["w0"].fails = True
        for number in range(8):
            fleet.submit(0, job(f"{number:016x}", tasks=4))
        fleet.run_for(8.0)
        fleet.workers.workers["w0"].fails = False
        for worker in fleet.workers.workers.values():
            worker.run_s = 0.0
        fleet.submit(0, job(JOB, tasks=16, standing=True))
        # A disruption counts as over four seconds after its end, and a standing task
        # may wait for another three.
        fleet.run_for(7.0)
        running = [len(w.running) for w in fleet.workers.workers.values()]
        self.assertEqual(running, [8, 8])

    def test_standing_tasks_leave_a_draining_worker_immediately(self):
        fleet = self.start_fleet(workers=2, run_s=0.0)
        fleet.submit(0, job(JOB, tasks=4, standing=True))
        fleet.run_for(1.0)
        first = fleet.workers.starts[0][1]
        entry = fleet.workers.workers[first].entry
        fleet.records.write(f"servers/{first}", server_record(entry, "draining"))
        fleet.run_for(1.0)
        self.assertEqual(len(fleet.workers.workers[first].running), 0)
        self.assertEqual(len(fleet.workers.starts), 8)
        self.assert_no_duplicate_runs(fleet)

    def test_new_worker_during_an_outage_does_not_stop_planning(self):
        # The worker membership cannot be stored, so only the new worker must wait.
        fleet = self.start_fleet(workers=2)
        fleet.submit(0, job(JOB, tasks=4, steps=5))
        fleet.run_for(0.2)
        for store in fleet.stores:
            store.is_down = True
        leader = fleet.nodes[fleet.leader()].leader
        leader.workers._add_worker(worker_entry(7))
        fleet.workers.add(worker_entry(7))
        fleet.run_for(4.2)
        self.assertGreaterEqual(len(fleet.workers.starts), 16)
        self.assertNotIn("w7", {worker for _, worker in fleet.workers.starts})

    def test_data_centre_out_gets_no_task_until_it_is_back(self):
        fleet = self.start_fleet()
        fleet.records.write("op/evacuate/north", b"{}")
        fleet.run_for(0.2)
        fleet.submit(0, job(JOB))
        fleet.run_for(2.0)
        self.assertEqual(fleet.workers.starts, [])
        fleet.records.remove("op/evacuate/north")
        fleet.run_for(2.0)
        self.assertEqual(len(fleet.workers.starts), 4)

    def test_ended_jobs_are_kept_for_the_retention_time_only(self):
        fleet = self.start_fleet(daemons=1)
        fleet.submit(0, job(JOB, tasks=1))
        fleet.run_for(3.0)
        kept_s = fleet.nodes[0].settings.job_state_kept_s
        fleet.run_for(kept_s - 5.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        fleet.run_for(45.0)
        result = fleet.await_result(
            fleet.nodes[0].frontend.read(JOB, fleet.clock.seconds() + 3)
        )
        self.assertEqual(result.outcome, CallOutcome.ABSENT)
        remaining_keys = [key for key in fleet.records.records if key.endswith(JOB)]
        self.assertEqual(remaining_keys, [])

    def test_polls_wait_while_ends_are_not_stored(self):
        # A worker answers a poll immediately while an end is not acknowledged.
        fleet = self.start_fleet(workers=1)
        fleet.submit(0, job(JOB, tasks=4))
        before = fleet.workers.polls
        fleet.run_for(3.0)
        self.assertLess(fleet.workers.polls - before, 30)


class RenewalLog:
    """Records the renewals of one daemon, and delays, loses or refuses them.

    Parameters
    ----------
    fleet : FleetSimulation
        The fleet.
    number : int
        Number of the daemon.

    Attributes
    ----------
    sent_s, answered_s : list of float
        Times of the calls and of their answers or failures.
    delay_s : float
        Delay before the store gets a renewal.
    answers_to_lose : int
        How many of the next renewals take effect but time out.
    is_refusing : bool
        Renewals fail immediately.
    """

    def __init__(self, fleet, number):
        self.sent_s, self.answered_s = [], []
        self.delay_s = 0.0
        self.answers_to_lose = 0
        self.is_refusing = False
        self.outstanding_max = 0
        self._clock = fleet.clock
        self._store = fleet.stores[number]
        self._renew_lease = self._store.renew_lease
        self._store.renew_lease = self.renew

    def renew(self, lease_id):
        self.sent_s.append(self._clock.seconds())
        outstanding = len(self.sent_s) - len(self.answered_s)
        self.outstanding_max = max(self.outstanding_max, outstanding)
        if self.is_refusing:
            return fail(StoreRefusedError("refused")).addBoth(self._on_answer)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            self._renew_lease(lease_id)
            return self._store._no_response().addBoth(self._on_answer)
        call = Deferred()
        self._clock.callLater(self.delay_s, call.callback, lease_id)
        return call.addCallback(self._renew_lease).addBoth(self._on_answer)

    def _on_answer(self, result):
        self.answered_s.append(self._clock.seconds())
        return result


class JobConfirmationTest(unittest.TestCase):
    step_s = 0.001

    def start_fleet(self, **sizes):
        fleet = FleetSimulation(**sizes)
        fleet.run_for(1.0)
        return fleet, fleet.nodes[fleet.leader()], RenewalLog(fleet, fleet.leader())

    def run_until(self, fleet, is_reached, limit_s=3.0):
        until_s = fleet.clock.seconds() + limit_s
        while not is_reached():
            self.assertLess(fleet.clock.seconds(), until_s)
            fleet.clock.advance(self.step_s)
            fleet.workers.advance()
        return fleet.clock.seconds()

    def run_until_renewed(self, fleet, renewals):
        answers = len(renewals.answered_s)
        return self.run_until(fleet, lambda: len(renewals.answered_s) > answers)

    def submit(self, fleet, job_ids):
        for job_id in job_ids:
            deadline_s = fleet.clock.seconds() + 3.0
            fleet.nodes[0].frontend.submit(job(job_id, tasks=1), deadline_s)

    def await_arrival(self, fleet, node):
        return self.run_until(fleet, lambda: node.leader._unconfirmed_jobs)

    def await_acceptance(self, fleet, node, job_ids, limit_s=3.0):
        def are_accepted():
            return all(job_id in node.leader.registry.jobs for job_id in job_ids)

        return self.run_until(fleet, are_accepted, limit_s)

    # Guards against jobs that wait for the next regular renewal.
    def test_job_waits_for_one_call_to_the_store(self):
        for delay_s in (0.0, 0.05, 0.3):
            with self.subTest(delay_s=delay_s):
                fleet, node, renewals = self.start_fleet()
                self.run_until_renewed(fleet, renewals)
                renewals.delay_s = delay_s
                self.submit(fleet, [JOB])
                arrived_s = self.await_arrival(fleet, node)
                accepted_s = self.await_acceptance(fleet, node, [JOB])
                call_s = delay_s + STORE_DELAY_S + 2 * self.step_s
                self.assertLessEqual(accepted_s - arrived_s, call_s)

    # Guards against a renewal that was sent before a job arrived and confirms it.
    def test_job_that_arrives_during_a_renewal_waits_for_the_next_one(self):
        fleet, node, renewals = self.start_fleet()
        renewals.delay_s = 0.2
        renewed_s = self.run_until_renewed(fleet, renewals)
        sent = len(renewals.sent_s)
        self.run_until(fleet, lambda: len(renewals.sent_s) > sent)
        self.assertAlmostEqual(renewals.sent_s[-1], renewed_s + 0.5, delta=0.005)
        self.submit(fleet, [JOB])
        arrived_s = self.await_arrival(fleet, node)
        self.assertGreater(arrived_s, renewals.sent_s[-1])
        accepted_s = self.await_acceptance(fleet, node, [JOB])
        self.assertEqual(len(renewals.sent_s), sent + 2)
        self.assertGreaterEqual(renewals.sent_s[-1], arrived_s)
        self.assertEqual(accepted_s, renewals.answered_s[-1])

    # Guards against a renewal for each job.
    def test_jobs_that_arrive_together_share_renewals(self):
        for delay_s in (0.0, 0.1):
            with self.subTest(delay_s=delay_s):
                fleet, node, renewals = self.start_fleet()
                self.run_until_renewed(fleet, renewals)
                renewals.delay_s = delay_s
                sent = len(renewals.sent_s)
                job_ids = [f"{number:016x}" for number in range(50)]
                self.submit(fleet, job_ids)
                self.await_acceptance(fleet, node, job_ids)
                self.assertIn(len(renewals.sent_s) - sent, (1, 2))
                self.assertEqual(renewals.outstanding_max, 1)
                # The usual rhythm goes on.
                sent = len(renewals.sent_s)
                renewals.delay_s = 0.0
                fleet.run_for(5.0)
                self.assertIn(len(renewals.sent_s) - sent, (9, 10))

    # Guards against renewals that stop after one without an answer.
    def test_lost_answers_of_renewals_delay_a_job(self):
        fleet, node, renewals = self.start_fleet()
        self.run_until_renewed(fleet, renewals)
        fleet.stores[fleet.leader()].silent_prefixes.add(LEADER_KEY)
        renewals.answers_to_lose = 2
        sent = len(renewals.sent_s)
        self.submit(fleet, [JOB])
        arrived_s = self.await_arrival(fleet, node)
        accepted_s = self.await_acceptance(fleet, node, [JOB])
        wait_s = 2 * (STORE_TIMEOUT_S + CONFIRM_RETRY_S) + STORE_DELAY_S
        self.assertAlmostEqual(accepted_s - arrived_s, wait_s, delta=0.01)
        self.assertEqual(len(renewals.sent_s), sent + 3)
        self.assertEqual(renewals.outstanding_max, 1)

    # Guards against many renewals while the store refuses them.
    def test_refused_renewals_are_repeated_at_intervals(self):
        fleet, node, renewals = self.start_fleet()
        self.run_until_renewed(fleet, renewals)
        fleet.stores[fleet.leader()].silent_prefixes.add(LEADER_KEY)
        renewals.is_refusing = True
        sent = len(renewals.sent_s)
        for number in range(10):
            self.submit(fleet, [f"{number:016x}"])
            self.run_until(fleet, lambda: node.leader._unconfirmed_jobs)
            fleet.run_for(0.1)
        self.assertEqual(len(node.leader.registry.jobs), 0)
        times_s = renewals.sent_s[sent:]
        self.assertGreater(len(times_s), 5)
        for earlier_s, later_s in zip(times_s, times_s[1:], strict=False):
            self.assertGreaterEqual(later_s - earlier_s, CONFIRM_RETRY_S - 1e-6)
        renewals.is_refusing = False
        regained_s = fleet.clock.seconds()
        job_ids = [f"{number:016x}" for number in range(10)]
        accepted_s = self.await_acceptance(fleet, node, job_ids)
        self.assertLess(accepted_s - regained_s, CONFIRM_RETRY_S + 0.01)

    # Guards against jobs that are lost or run twice because the store went down, or
    # took the leader's record away, while they were held.
    def test_held_jobs_outlast_an_outage_and_a_new_term(self):
        for daemons, down_s, revokes_lease in (
            (3, 2.0, False),
            (3, 5.0, False),
            (1, 0.0, True),
            (1, 2.0, True),
        ):
            with self.subTest(daemons=daemons, down_s=down_s, revokes=revokes_lease):
                self.check_held_jobs(daemons, down_s, revokes_lease)

    def check_held_jobs(self, daemons, down_s, revokes_lease):
        fleet, node, renewals = self.start_fleet(daemons=daemons)
        leader, fencing_token = node.leader, node.leader.fencing_token
        fleet.stores[fleet.leader()].silent_prefixes.add(LEADER_KEY)
        renewals.is_refusing = True
        job_ids = [f"{number:016x}" for number in range(10)]
        self.submit(fleet, job_ids)
        fleet.run_for(0.2)
        self.assertEqual(len(leader._unconfirmed_jobs), 10)
        fleet.records.is_lease_expiry_paused = True
        for store in fleet.stores:
            store.is_down = True
        if revokes_lease:
            fleet.records.end_lease(node.election._lease_id)
        renewals.is_refusing = False
        fleet.run_for(down_s)
        self.assertEqual(len(leader.registry.jobs), 0)
        for store in fleet.stores:
            store.is_down = False
        # A call from before the end of the outage may delay the renewal.
        fleet.run_for(STORE_TIMEOUT_S + 0.5)
        fleet.records.is_lease_expiry_paused = False
        fleet.run_for(1.5)
        self.assertIs(node.leader, leader)
        self.assertEqual(leader.fencing_token > fencing_token, revokes_lease)
        fleet.run_for(2.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        for job_id in job_ids:
            self.assertEqual(leader.job_phase(job_id), JobPhase.COMPLETED)

    # Guards against an unreadable record that holds the jobs that arrive with it.
    def test_unreadable_job_affects_only_itself(self):
        fleet, node, _ = self.start_fleet()
        fleet.records.write(f"{JOBS_PREFIX}{'b' * 16}", b"\xff")
        self.submit(fleet, [JOB])
        arrived_s = self.await_arrival(fleet, node)
        accepted_s = self.await_acceptance(fleet, node, [JOB])
        self.assertLessEqual(accepted_s - arrived_s, 0.02)


if __name__ == "__main__":
    unittest.main()
