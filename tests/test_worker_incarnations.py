"""Leases, ends and addresses of workers that come back as another incarnation."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from twisted.internet.defer import Deferred

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_interfaces import Record, RefusalReason
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_records import INBOX_PREFIX
from dogwoodlever._fleet_types import StartOrder, Step, SubmittedJob
from dogwoodlever._fleet_workers import TOKENS_PER_TERM_MAX
from dogwoodlever.platform_errors import OrderRefusedError
from standins.fleet import LEASE_MAX_MS, server_record
from tests.fleet_simulation import (
    JOB,
    QUEUE,
    FleetSimulation,
    StandingWorkTest,
    job,
    worker_entry,
)

# Far ahead on the clock of an incarnation that has just started.
FORMER_CLOCK_MS = 10**9


class WorkerIncarnationsTest(StandingWorkTest):
    def restart(self, fleet, worker_id, started_at_ms=2, run_s=0.0, **fields):
        entry = worker_entry(int(worker_id[1:]), started_at_ms=started_at_ms)
        entry = replace(entry, **fields)
        worker = fleet.workers.add(entry, run_s)
        fleet.records.write(f"servers/{worker_id}", server_record(entry))
        return worker

    def cut_off_next_incarnation(self, fleet, assigned):
        """Crash a worker; cut it off once its next incarnation has got work."""
        fleet.workers.crash(assigned)
        fleet.run_for(0.5)
        # The next poll reaches the new incarnation before its entry is written.
        entry = replace(fleet.workers.workers[assigned].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.0)
        fleet.run_for(0.3)
        fleet.records.write(f"servers/{assigned}", server_record(entry))
        fleet.run_for(1.0)
        self.assertEqual(len(worker.running), 2)
        worker.is_reachable = False
        self.restart(fleet, "w2")

    # Guards against runs that are started elsewhere while their worker holds a longer
    # lease, which a call meant for its former incarnation has granted.
    def test_call_for_the_former_incarnation_grants_a_longer_lease(self):
        fleet = self.start_fleet(workers=2)
        fleet.run_for(20.0)
        assigned = self.start_standing_job(fleet, 4)
        self.cut_off_next_incarnation(fleet, assigned)
        fleet.run_for(WORKER_LEASES_MAX_S + LEASE_MAX_MS / 1000)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 4)

    # Guards against leases and acknowledgements that a poll repeated after a failure
    # brings to an incarnation for which they are not meant.
    def test_poll_after_a_failure_changes_nothing_at_the_next_incarnation(self):
        for is_silent in (False, True):
            for returns_after_s in (0.5, 1.5, 3.0):
                with self.subTest(is_silent=is_silent, returns_after_s=returns_after_s):
                    self.check_repeated_poll(is_silent, returns_after_s)

    def check_repeated_poll(self, is_silent, returns_after_s):
        fleet = self.start_fleet(workers=1, run_s=1.0)
        fleet.submit(0, job(JOB, tasks=8))
        fleet.run_for(20.0)
        former = fleet.workers.workers["w0"]
        self.assertEqual(former.acknowledged_number, 8)
        fleet.workers.crash("w0")
        if is_silent:
            former.refuses_connections = False
            former.is_reachable = False
            # The poll that was under way fails.
            fleet.run_for(1.0)
        fleet.run_for(returns_after_s)
        worker = fleet.workers.add(replace(former.entry, started_at_ms=2), 0.0)
        fleet.run_for(1.0)
        # The token rises with the first poll without an answer, and reaches the worker.
        self.assertEqual(worker.fencing_token, former.fencing_token + is_silent)
        self.assertEqual(worker.acknowledged_number, 0)
        self.assertEqual(worker.until_ms, 0)

    # The same for a successor whose former leader has answered that it has stopped.
    def test_successor_knows_of_longer_leases_of_the_next_incarnation(self):
        fleet = self.start_fleet(workers=2)
        fleet.run_for(20.0)
        assigned = self.start_standing_job(fleet, 4)
        self.cut_off_next_incarnation(fleet, assigned)
        former = fleet.leader()
        self.cut_off_from_store(fleet, former, revokes_lease=True)
        fleet.run_for(WORKER_LEASES_MAX_S + LEASE_MAX_MS / 1000)
        self.assertNotEqual(fleet.leader(), former)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # The same by a poll of the former incarnation that is carried out late.
    def test_late_poll_of_the_former_incarnation_grants_a_longer_lease(self):
        fleet = self.start_fleet(workers=2)
        assigned = self.start_standing_job(fleet, 4)
        fleet.workers.workers[assigned].is_reachable = False
        fleet.run_for(1.0)
        worker = self.restart(fleet, assigned)
        fleet.run_for(1.0)
        self.assertEqual(len(worker.running), 2)
        self.restart(fleet, "w2")
        worker.is_reachable = False
        # Polls that were sent 2 s to 5 s ago are carried out.
        fleet.run_for(3.0)
        fleet.workers.carry_out_late_polls(worker)
        fleet.run_for(WORKER_LEASES_MAX_S + LEASE_MAX_MS / 1000)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 4)

    # Guards against work that waits for leases that no late call can have granted.
    def test_leases_count_as_longer_only_while_late_calls_may_grant_them(self):
        cases = (
            # id after the return, time from the return to the loss, wait is longer
            ("w0", 1.0, True),
            ("w0", 30.0, False),
            ("w7", 1.0, False),
        )
        for worker_id, runs_for_s, is_longer in cases:
            with self.subTest(worker_id=worker_id, runs_for_s=runs_for_s):
                self.check_wait_for_leases(worker_id, runs_for_s, is_longer)

    def check_wait_for_leases(self, worker_id, runs_for_s, is_longer):
        fleet = self.start_fleet(workers=1)
        self.start_standing_job(fleet, 2)
        fleet.workers.workers["w0"].is_reachable = False
        fleet.run_for(1.0)
        if worker_id != "w0":
            fleet.workers.replaced.add("w0")
            fleet.workers.workers["w0"].running.clear()
            fleet.records.remove("servers/w0")
        worker = self.restart(fleet, worker_id)
        fleet.run_for(runs_for_s)
        self.assertEqual(len(worker.running), 2)
        self.restart(fleet, "w2")
        worker.is_reachable = False
        fleet.run_for(7.0)
        self.assertEqual(len(fleet.workers.workers["w2"].running), 2 * (not is_longer))
        # A late call may extend a lease that another one has granted at the return.
        fleet.run_for(2 * LEASE_MAX_MS / 1000 - 6.0)
        self.assertEqual(len(fleet.workers.workers["w2"].running), 2)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a run that is repeated after its end was acknowledged by a poll of
    # the former incarnation that is carried out late.
    def test_late_poll_of_the_former_incarnation_acknowledges_no_unread_end(self):
        fleet = self.start_fleet(workers=1, run_s=1.0)
        fleet.submit(0, job("b" * 16, tasks=8))
        links = fleet.nodes[fleet.leader()].leader.workers._links
        while links["w0"].evidence.last_end_number < 8:
            fleet.run_for(0.01)
        former = fleet.workers.workers["w0"]
        self.assertEqual(former.acknowledged_number, 0)
        # The poll that acknowledges the ends, once they are stored, gets no answer.
        former.is_reachable = False
        fleet.run_for(0.5)
        worker = self.restart(fleet, "w0", run_s=1.0)
        fleet.submit(0, job(JOB, tasks=2))
        while not worker.running:
            fleet.run_for(0.01)
        fleet.run_for(0.3)
        # The second run ends just after the first, while the leader stores that end.
        first, second = worker.running.values()
        fleet.workers.end(worker, first, "done")
        fleet.run_for(0.05)
        fleet.workers.end(worker, second, "done")
        late_polls = fleet.workers.unanswered_polls["w0"]
        self.assertIn(8, [poll.acknowledged for poll in late_polls])
        fleet.workers.carry_out_late_polls(worker)
        fleet.run_for(5.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(fleet.workers.starts), 10)

    # Guards against a leader that steps down as a worker refuses a call of an earlier
    # link, and against links of one term that outrank the next term.
    def test_links_of_one_worker_have_rising_fencing_tokens(self):
        fleet = self.start_fleet(workers=2)
        leader = fleet.leader()
        first = fleet.workers.workers["w0"]
        fleet.workers.crash("w0")
        fleet.run_for(0.5)
        second = self.restart(fleet, "w0")
        fleet.run_for(3.0)
        self.assertGreater(second.fencing_token, first.fencing_token)
        self.assertEqual(fleet.leader(), leader)
        fleet.kill(leader)
        fleet.run_for(6.0)
        term_tokens = second.fencing_token // TOKENS_PER_TERM_MAX
        self.assertEqual(term_tokens, fleet.nodes[fleet.leader()].leader.fencing_token)

    # Guards against a leader that steps down as its own probe of a worker without an
    # entry outranks the link that the worker gets with its entry.
    def test_probe_does_not_outrank_the_link_of_its_worker(self):
        fleet = self.start_fleet(workers=2)
        worker = fleet.workers.workers["w0"]
        worker.is_reachable = False
        fleet.records.remove("servers/w0")
        fleet.kill(fleet.leader())
        while fleet.leader() is None:
            fleet.run_for(0.01)
        leader = fleet.leader()
        fleet.run_for(0.5)
        fleet.records.write("servers/w0", server_record(worker.entry))
        fleet.run_for(0.5)
        for number in range(2, 6):
            fleet.add_worker(worker_entry(number))
        fleet.run_for(2.0)
        worker.is_reachable = True
        fleet.run_for(3.0)
        self.assertEqual(fleet.leader(), leader)

    # Guards against runs that are started elsewhere because another worker answers at
    # the address that their worker had as a former incarnation.
    def test_successor_knows_the_address_of_the_newest_incarnation(self):
        fleet = self.start_fleet(workers=3)
        assigned = self.start_standing_job(fleet, 4)
        fleet.workers.crash(assigned)
        fleet.run_for(0.5)
        former_port = fleet.workers.workers[assigned].entry.port
        worker = self.restart(fleet, assigned, port=9100)
        fleet.run_for(2.0)
        for other in list(fleet.workers.workers.values()):
            if other is not worker:
                for run in list(other.running.values()):
                    fleet.workers.end(other, run, "failed")
        fleet.run_for(1.0)
        self.restart(fleet, "w5", port=former_port)
        fleet.run_for(1.0)
        fleet.records.remove(f"servers/{assigned}")
        fleet.kill(fleet.leader())
        fleet.run_for(WORKER_LEASES_MAX_S + 4.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a live incarnation that is dropped, or gets no work, since its
    # predecessor's entry was being confirmed when that one ended.
    def test_incarnation_that_ends_while_its_entry_is_being_confirmed(self):
        for answer_delay_s in (None, 0.5, 0.8):
            for lives_s in (0.05, 0.3):
                with self.subTest(answer_delay_s=answer_delay_s, lives_s=lives_s):
                    self.check_unconfirmed(answer_delay_s, lives_s)

    def check_unconfirmed(self, answer_delay_s, lives_s):
        fleet = self.start_fleet(workers=1)
        self.start_standing_job(fleet, 2)
        workers = fleet.nodes[fleet.leader()].leader.workers
        self.delay_first_answer(fleet, 2, answer_delay_s)
        fleet.workers.crash("w0")
        fleet.run_for(0.05)
        self.return_with_entry(fleet, workers, 2)
        fleet.run_for(lives_s)
        fleet.workers.crash("w0")
        fleet.run_for(0.02)
        third = self.return_with_entry(fleet, workers, 3)
        known = set()
        for _ in range(60):
            fleet.run_for(0.05)
            capacity = workers.capacities.get("w0")
            if capacity is not None and capacity.entry.started_at_ms == 3:
                known.add(id(capacity))
        self.assertEqual(known, {id(capacity)})
        self.assertEqual(len(third.running), 2)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against runs that are started elsewhere because the next incarnation, which
    # has started them, could not be told from the known one by its clock.
    def test_start_by_the_next_incarnation_of_a_young_worker(self):
        for answer_delay_s in (0.2, 0.5, 0.8):
            for absent_s in (0.02, 0.1, 0.3):
                with self.subTest(answer_delay_s=answer_delay_s, absent_s=absent_s):
                    self.check_young_worker(answer_delay_s, absent_s)

    def check_young_worker(self, answer_delay_s, absent_s):
        fleet = self.start_fleet(workers=2)
        workers = fleet.nodes[fleet.leader()].leader.workers
        self.delay_first_answer(fleet, 2, answer_delay_s)
        self.return_with_entry(fleet, workers, 2, number=7)
        fleet.run_for(0.05)
        fleet.workers.crash("w7")
        fleet.run_for(absent_s)
        third = fleet.workers.add(worker_entry(7, started_at_ms=3), 0.0)
        fleet.run_for(max(0.0, answer_delay_s - absent_s - 0.05))
        fleet.submit(0, job(JOB, tasks=6, standing=True, worker_tasks_max=2), 0.5)
        fleet.add_worker(worker_entry(8), 0.0)
        fleet.run_for(1.5)
        fleet.records.write("servers/w7", server_record(third.entry))
        fleet.run_for(16.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 6)

    def delay_first_answer(self, fleet, started_at_ms, delay_s):
        """Delay the first answer to a poll for an incarnation; None for no answer."""
        client = fleet.worker_clients[fleet.leader()]
        poll = client.poll

        def delay_poll(entry, *arguments):
            answer = poll(entry, *arguments)
            if entry.started_at_ms != started_at_ms:
                return answer
            client.poll = poll
            late = Deferred()
            if delay_s is None:
                fleet.clock.callLater(0.8, client._time_out, late)
            else:
                answer.addCallback(
                    lambda result: fleet.clock.callLater(delay_s, late.callback, result)
                )
            return late

        client.poll = delay_poll

    def return_with_entry(self, fleet, workers, started_at_ms, number=0):
        """Start the next incarnation; the leader reads its entry at once."""
        entry = worker_entry(number, started_at_ms=started_at_ms)
        worker = fleet.workers.add(entry, 0.0)
        key = f"servers/w{number}"
        workers.apply_entry(Record(key, server_record(entry), started_at_ms))
        return worker

    # Guards against a run that is started elsewhere although a copy of its first order
    # may still reach the next incarnation of its worker.
    def test_late_copy_of_a_start_after_a_long_crash(self):
        for returns_after_s in (4.0, 5.5, 6.5, 8.0, 9.5):
            with self.subTest(returns_after_s=returns_after_s):
                fleet = self.start_fleet(workers=2)
                fleet.workers.delays_start_to_next_incarnation = True
                fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=2.0)
                self.assertEqual(len(fleet.workers.starts), 1)
                affected = next(iter(fleet.workers._for_next_incarnation))
                fleet.workers.crash(affected)
                fleet.run_for(returns_after_s)
                self.restart(fleet, affected)
                fleet.run_for(14.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), 1)

    # Guards against a run that is started elsewhere, since its worker has confirmed its
    # stop, although a copy of its order may still reach the next incarnation.
    def test_late_copy_of_a_start_that_was_stopped(self):
        for crashes_after_s in (0.5, 3.0, 6.0):
            with self.subTest(crashes_after_s=crashes_after_s):
                fleet = self.start_fleet(workers=2)
                fleet.workers.delays_start_to_next_incarnation = True
                self.refuse_runs_at_first_worker(fleet)
                fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=2.0)
                (affected,) = fleet.workers._for_next_incarnation
                fleet.run_for(crashes_after_s)
                fleet.workers.crash(affected)
                fleet.run_for(0.1)
                self.restart(fleet, affected)
                fleet.run_for(14.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), 1)

    def refuse_runs_at_first_worker(self, fleet):
        """Let the first worker that gets a start refuse all, until it restarts."""
        start = fleet.workers.start
        refusing = []

        def start_unless_refused(worker, order):
            refusing.append(worker)
            if worker is refusing[0] and worker.entry.started_at_ms == 1:
                raise OrderRefusedError(RefusalReason.NO_ROOM)
            start(worker, order)

        fleet.workers.start = start_unless_refused

    # Guards against a run that is stopped although it is its task's only one, and one
    # that goes on after its job was cancelled.
    def test_run_that_a_late_copy_has_started_at_the_next_incarnation(self):
        for is_cancelled in (False, True):
            for returns_after_s in (0.3, 2.0):
                with self.subTest(
                    is_cancelled=is_cancelled, returns_after_s=returns_after_s
                ):
                    self.check_late_start(is_cancelled, returns_after_s)

    def check_late_start(self, is_cancelled, returns_after_s):
        fleet = self.start_fleet(workers=2)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
        (affected,) = fleet.workers._for_next_incarnation
        fleet.workers.crash(affected)
        fleet.run_for(returns_after_s)
        if is_cancelled:
            deadline_s = fleet.clock.seconds() + 1.0
            fleet.nodes[0].frontend.cancel(JOB, deadline_s)
        worker = self.restart(fleet, affected)
        fleet.run_for(10.0)
        self.assertEqual(len(fleet.workers.starts), 1)
        self.assertEqual(len(worker.running), not is_cancelled)

    # Guards against a task that runs again after its end, by a late copy of an order to
    # a worker whose entry was removed meanwhile.
    def test_late_copy_of_a_start_reaches_a_worker_that_was_unlisted(self):
        for absent_s in (0.5, 1.5, 6.0):
            for unlists_first in (False, True):
                with self.subTest(absent_s=absent_s, unlists_first=unlists_first):
                    self.check_unlisted_worker(absent_s, unlists_first)

    def check_unlisted_worker(self, absent_s, unlists_first):
        fleet = self.start_fleet(workers=2, run_s=1.0)
        fleet.workers.start_delay_s = 11.0
        fleet.submit(0, job(JOB, tasks=1), wait_s=3.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        affected = fleet.workers.starts[0][1]
        if unlists_first:
            fleet.records.remove(f"servers/{affected}")
            fleet.run_for(0.5)
        fleet.workers.crash(affected)
        if not unlists_first:
            fleet.run_for(0.5)
            fleet.records.remove(f"servers/{affected}")
        fleet.run_for(absent_s)
        self.restart(fleet, affected, run_s=1.0)
        fleet.run_for(8.0)
        self.assertEqual(len(fleet.workers.starts), 1)

    # Guards against a run that is started elsewhere once no late copy of its order can
    # arrive, while a copy that has arrived runs at a next incarnation whose entry is
    # late.
    def test_late_copy_runs_at_a_next_incarnation_without_an_entry(self):
        for arrives_after_s in (1.0, 5.0, 9.0, 11.0):
            for announced_after_s in (0.5, 3.0, 6.0, 12.0):
                with self.subTest(
                    arrives_after_s=arrives_after_s, announced_after_s=announced_after_s
                ):
                    self.check_late_entry(arrives_after_s, announced_after_s)

    def check_late_entry(self, arrives_after_s, announced_after_s):
        fleet = self.start_fleet(workers=2)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.05)
        affected = next(iter(fleet.workers._for_next_incarnation))
        order = fleet.workers._for_next_incarnation.pop(affected)
        fleet.workers.crash(affected)
        fleet.run_for(0.5)
        entry = replace(fleet.workers.workers[affected].entry, started_at_ms=2)
        worker = fleet.workers.add(entry, 0.0)
        fleet.run_for(arrives_after_s)
        # The order's time is on the clock of the former incarnation, far ahead.
        fleet.workers.renew(worker, FORMER_CLOCK_MS)
        fleet.workers.start(worker, order)
        fleet.run_for(announced_after_s)
        fleet.records.write(f"servers/{affected}", server_record(entry))
        fleet.run_for(2 * LEASE_MAX_MS / 1000)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 1)

    # Guards against a run that a successor starts elsewhere between the end of a worker
    # that it has not polled and its first poll of the next incarnation, which lists it.
    def test_successor_waits_for_its_first_poll_of_the_next_incarnation(self):
        for worker_delay_s in (0.002, 0.004, 0.008):
            for returns_after_s in (0.1, 0.3, 0.5, 1.0, 2.0):
                with (
                    self.subTest(
                        worker_delay_s=worker_delay_s, returns_after_s=returns_after_s
                    ),
                    patch("standins.fleet.WORKER_DELAY_S", worker_delay_s),
                ):
                    self.check_first_poll(returns_after_s)

    def check_first_poll(self, returns_after_s):
        fleet = self.start_fleet(workers=2)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.05)
        affected = next(iter(fleet.workers._for_next_incarnation))
        former = fleet.leader()
        fleet.kill(former)
        fleet.workers.crash(affected)
        while fleet.leader() is None:
            fleet.run_for(0.01)
        fleet.run_for(returns_after_s)
        self.restart(fleet, affected)
        fleet.run_for(14.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 1)

    # Guards against a run that is started by a late copy of its order at the second of
    # two next incarnations, after the first has confirmed that it is stopped.
    def test_late_copy_of_a_start_reaches_the_second_next_incarnation(self):
        fleet = self.start_fleet(workers=2)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=2.0)
        affected = next(iter(fleet.workers._for_next_incarnation))
        order = fleet.workers._for_next_incarnation.pop(affected)
        self.assertIsInstance(order, StartOrder)
        fleet.workers.crash(affected)
        fleet.run_for(0.3)
        second = self.restart(fleet, affected, 2)
        draining = server_record(second.entry, "draining")
        fleet.records.write(f"servers/{affected}", draining)
        fleet.run_for(4.0)
        fleet.workers.crash(affected)
        fleet.run_for(0.3)
        fleet.workers.hold_for_next_incarnation(affected, order)
        self.restart(fleet, affected, 3)
        fleet.run_for(14.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 1)

    # Guards against starts that a worker rejects since they grant no lease.
    def test_next_incarnation_gets_no_start_before_it_may_get_a_lease(self):
        fleet = self.start_fleet(workers=1)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
        fleet.submit(0, job("b" * 16, tasks=1, standing=True), wait_s=0.1)
        fleet.workers.crash("w0")
        self.restart(fleet, "w0")
        fleet.run_for(14.0)
        self.assertEqual(fleet.workers.invalid_starts, [])
        self.assertEqual(self.count_running(fleet), 2)

    # Guards against runs that are taken for lost because their ends do not fit into one
    # response of the worker.
    def test_run_whose_end_is_not_listed_yet_is_not_lost(self):
        fleet = self.start_fleet(workers=0)
        fleet.add_worker(worker_entry(0, cores=1000), 1.0)
        fleet.run_for(0.5)
        step = Step(600, 10, 10, 0, 1000)
        fleet.submit(0, SubmittedJob(JOB, QUEUE, "", (step,)))
        fleet.run_for(6.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(len(fleet.workers.starts), 600)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)

    # Guards against a leader that takes the second but last leader for stopped because
    # the last one is.
    def test_leaders_change_in_series_while_the_first_one_extends_leases(self):
        for lasts_s in (0.1, 0.5, 1.0):
            for revokes_first in (False, True):
                with self.subTest(lasts_s=lasts_s, revokes_first=revokes_first):
                    self.check_leaders_in_series(lasts_s, revokes_first)

    def check_leaders_in_series(self, lasts_s, revokes_first):
        fleet = self.start_fleet(workers=3)
        assigned = self.start_standing_job(fleet, 4)
        fleet.run_for(3.0)
        first = fleet.leader()
        fleet.nodes[first].mesh.is_down = True
        others = set(fleet.workers.workers) - {assigned}
        for number, client in enumerate(fleet.worker_clients):
            client.unreachable = others if number == first else {assigned}
        self.cut_off_from_store(fleet, first, revokes_first)
        second = self.await_other_leader(fleet, {first})
        fleet.run_for(lasts_s)
        self.cut_off_from_store(fleet, second, revokes_lease=True)
        self.await_other_leader(fleet, {first, second})
        fleet.run_for(15.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    def cut_off_from_store(self, fleet, number, revokes_lease):
        fleet.stores[number].is_down = True
        if revokes_lease:
            other = next(store for store in fleet.stores if not store.is_down)
            other.end_lease(fleet.nodes[number].election._lease_id)

    def await_other_leader(self, fleet, former):
        for _ in range(100):
            fleet.run_for(0.05)
            for number, node in enumerate(fleet.nodes):
                if number not in former and node.leader and node.leader.is_loaded:
                    return number
        return self.fail("no daemon was elected")

    # Guards against runs that are started elsewhere by a new leader because another
    # worker has the address in an entry of a former incarnation, written late.
    def test_outdated_entry_at_the_address_of_another_worker(self):
        fleet = self.start_fleet(workers=0)
        for number in range(3):
            entry = worker_entry(number, started_at_ms=5)
            fleet.add_worker(entry, 0.0)
        fleet.run_for(1.0)
        assigned = self.start_standing_job(fleet, 4)
        number = int(assigned[1:])
        other = worker_entry((number + 1) % 3)
        stale = replace(worker_entry(number, started_at_ms=1), port=other.port)
        fleet.records.write(f"servers/{assigned}", server_record(stale))
        fleet.kill(fleet.leader())
        fleet.run_for(3.5)
        current = fleet.workers.workers[assigned].entry
        fleet.records.write(f"servers/{assigned}", server_record(current))
        fleet.run_for(WORKER_LEASES_MAX_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against work for a worker that returned with less capacity than the entry
    # of its former incarnation has, as long as a new leader knows that entry only.
    def test_outdated_entry_gives_a_worker_no_work(self):
        fleet = FleetSimulation(run_s=0.0, workers=0)
        fleet.add_worker(worker_entry(0), 0.0)
        small = worker_entry(0, cores=2, started_at_ms=2)
        fleet.workers.add(small, 0.0)
        fleet.run_for(1.0)
        fleet.submit(0, job(JOB, tasks=4, standing=True))
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 0)
        fleet.records.write("servers/w0", server_record(small))
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), 2)

    # Guards against a leader that counts on its record until the end of its lease,
    # although the store has taken the record away and a successor leads.
    def test_revoked_leader_drops_no_runs_that_its_successor_has_adopted(self):
        for revoked_after_s in (3.4, 3.8, 4.2, 4.6, 5.0):
            with self.subTest(revoked_after_s=revoked_after_s):
                fleet = self.start_fleet(workers=2)
                fleet.submit(0, job(JOB, tasks=1, standing=True))
                fleet.run_for(1.0)
                assigned = fleet.workers.starts[0][1]
                first = fleet.leader()
                others = set(fleet.workers.workers) - {assigned}
                for number, client in enumerate(fleet.worker_clients):
                    client.unreachable = {assigned} if number == first else others
                fleet.run_for(revoked_after_s)
                fleet.nodes[first].mesh.is_down = True
                self.cut_off_from_store(fleet, first, revokes_lease=True)
                fleet.run_for(15.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a job that a leader starts although its successor, elected after
    # the store took the leader's record away, starts it as well.
    def test_revoked_leader_starts_no_job_of_its_successor(self):
        for delay_s in (0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5):
            with self.subTest(delay_s=delay_s):
                fleet = self.start_fleet(workers=2)
                first = fleet.leader()
                for number, client in enumerate(fleet.worker_clients):
                    client.unreachable = {"w0"} if number == first else {"w1"}
                fleet.run_for(2.0)
                fleet.nodes[first].mesh.is_down = True
                lease_id = fleet.nodes[first].election._lease_id
                fleet.stores[first].silent_prefixes.add("dogwoodlever/leader")
                other = next(n for n in range(3) if n != first)
                fleet.stores[other].end_lease(lease_id)
                fleet.run_for(delay_s)
                fleet.submit(other, job(JOB, tasks=1, standing=True))
                fleet.run_for(12.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a task that runs again after its end, which a new leader read
    # before it had accepted the job.
    def test_end_of_a_job_that_is_held_is_not_acknowledged(self):
        fleet = self.start_fleet(workers=1, run_s=3.0)
        fleet.submit(0, job(JOB, tasks=1))
        fleet.run_for(0.5)
        first = fleet.leader()
        for store in fleet.stores:
            store.silent_prefixes.add(INBOX_PREFIX)
            self.lose_answers_to_renewals(store)
        fleet.kill(first)
        fleet.run_for(5.0)
        for store in fleet.stores:
            store.silent_prefixes.clear()
        fleet.run_for(6.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        reader = next(n for n in range(3) if n != first)
        self.assertEqual(fleet.read_phase(reader, JOB), JobPhase.COMPLETED)

    def lose_answers_to_renewals(self, store):
        renew_lease = store.renew_lease

        def renew_without_answer(lease_id):
            renew_lease(lease_id).addErrback(lambda _: None)
            return store._no_response()

        store.renew_lease = renew_without_answer

    # Guards against a task of an occurrence that runs again after its end, which a new
    # leader, whose clock is behind the former one's, read before the due time.
    def test_end_of_an_occurrence_that_is_not_due_yet_counts(self):
        fleet = self.start_fleet(workers=1, run_s=0.2)
        first = fleet.leader()
        now_s = fleet.clock.seconds()
        fleet.nodes[first].leader._unix_s = lambda: fleet.clock.seconds() + 2.0
        timed = SubmittedJob(
            JOB, QUEUE, "", (Step(1, 1000, 100, 0, 200),), 1, int(now_s * 1000) + 2_500
        )
        fleet.submit(0, timed)
        while not fleet.workers.starts:
            fleet.run_for(0.01)
        fleet.run_for(0.1)
        fleet.nodes[first].stop()
        fleet.run_for(6.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        reader = next(n for n in range(3) if n != first)
        self.assertEqual(fleet.read_phase(reader, JOB), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
