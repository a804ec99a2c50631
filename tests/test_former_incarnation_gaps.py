"""Openings of docs/design/former-incarnations.md that were known by reading only."""

import itertools
import unittest
from dataclasses import replace
from unittest.mock import patch

import msgspec

from dogwoodlever._fleet_types import TaskId
from dogwoodlever._run_evidence import late_calls_kept_s
from standins.fleet import LEASE_MAX_MS, server_record
from tests.fleet_simulation import JOB, STOP_S, job, worker_entry
from tests.test_longest_leases import (
    FORMER_CLOCK_MS,
    LONGEST_S,
    START_MAX_S,
    TASKS,
    WORKER_CUTS,
    ReturnedWorkersTest,
    silence,
)

# For how long a call without an answer, and a lease that it grants, have an effect.
CALLS_KEPT_S = late_calls_kept_s(LEASE_MAX_MS / 1000, STOP_S)

OTHER_JOB = "b" * 16
TASK_ID = TaskId(JOB, 0, 0, 0)
TARGET_MS = 100


class LateCopyTest(ReturnedWorkersTest):
    """A copy of a start without an answer runs at the worker's next incarnation."""

    def order_start(self, workers, **fields):
        """Return a fleet and a worker, to which a start without an answer was sent."""
        fleet = self.start_fleet(workers=workers)
        fleet.run_for(15.0)
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(JOB, tasks=1, standing=True, **fields), wait_s=0.05)
        (affected,) = fleet.workers._for_next_incarnation
        return fleet, affected

    def return_without_entry(self, fleet, worker_id, **changes):
        former = fleet.workers.workers[worker_id].entry
        return fleet.workers.add(replace(former, started_at_ms=2, **changes), 0.0)

    # Guards against a run that is started elsewhere as its worker leaves the membership
    # once the next incarnation, which runs a late copy, has answered: the leader is
    # lost before the entry of that incarnation is written (G8, TWICE).
    def test_leader_is_lost_as_the_next_incarnation_answers(self):
        for first, second in itertools.product(("killed", "stopped"), repeat=2):
            with self.subTest(first=first, second=second):
                self.check_replaced(first, second)

    # The same if that leader starts the run elsewhere itself, as inherited work waits
    # for the incarnation no more (G8, TWICE).
    def test_leader_stays_as_the_next_incarnation_answers(self):
        for first in ("killed", "stopped"):
            with self.subTest(first=first):
                self.check_replaced(first, None)

    def check_replaced(self, first, second):
        """Let a copy run before the second leader's first poll of its incarnation."""
        fleet, affected = self.order_start(3)
        other = next(w for w in fleet.workers.workers if w != affected)
        # Inherited work waits for it.
        fleet.workers.workers[other].is_reachable = False
        former = {self.lose_leader(fleet, first)}
        self.await_successor(fleet, former)
        fleet.run_for(1.0)
        fleet.workers.crash(affected)
        fleet.run_for(0.3)
        worker = self.return_without_entry(fleet, affected)
        self.assertEqual(len(worker.running), 1)
        fleet.run_for(0.3)
        fleet.records.remove(f"servers/{affected}")
        if second is not None:
            self.lose_leader(fleet, second)
        fleet.workers.workers[other].is_reachable = True
        fleet.run_for(1.0)
        fleet.records.write(f"servers/{affected}", server_record(worker.entry))
        fleet.run_for(2 * LONGEST_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 1)

    # Guards against a run that is started elsewhere by the next leader, as the next
    # incarnation of its worker, which listed no runs, left the membership although it
    # may carry out a copy of the start later.
    def test_leader_is_lost_as_an_idle_incarnation_answers(self):
        for how in ("killed", "stopped"):
            with self.subTest(how=how):
                fleet = self.start_fleet(workers=3)
                fleet.run_for(15.0)
                # Inherited work waits for it.
                fleet.workers.workers["w2"].is_reachable = False
                former = {self.lose_leader(fleet, "killed")}
                successor = self.await_successor(fleet, former)
                fleet.run_for(1.0)
                fleet.workers.delays_start_to_next_incarnation = True
                fleet.submit(successor, job(JOB, tasks=1, standing=True), wait_s=0.05)
                ((affected, order),) = fleet.workers._for_next_incarnation.items()
                fleet.workers._for_next_incarnation.clear()
                fleet.workers.crash(affected)
                fleet.run_for(0.3)
                worker = self.return_without_entry(fleet, affected)
                fleet.run_for(0.3)
                fleet.records.remove(f"servers/{affected}")
                self.lose_leader(fleet, how)
                fleet.workers.workers["w2"].is_reachable = True
                fleet.run_for(0.1)
                fleet.workers.renew(worker, FORMER_CLOCK_MS)
                fleet.workers.start(worker, order)
                fleet.run_for(1.0)
                fleet.records.write(f"servers/{affected}", server_record(worker.entry))
                fleet.run_for(2 * LONGEST_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), 1)

    # Guards against a run that is started elsewhere as the leases of the next
    # incarnation, which has not answered its link, expire, although a copy of its start
    # may have been carried out there later (G5, TWICE).
    def test_copy_is_carried_out_by_an_incarnation_that_is_cut_off(self):
        for cut, carried_out_s in itertools.product(WORKER_CUTS, (2.0, 5.0, 10.0)):
            with self.subTest(cut=cut, carried_out_s=carried_out_s):
                fleet, affected = self.order_start(2)
                order = fleet.workers._for_next_incarnation.pop(affected)
                fleet.workers.crash(affected)
                fleet.run_for(0.3)
                worker = self.return_without_entry(fleet, affected)
                fleet.run_for(0.3)
                WORKER_CUTS[cut](worker)
                fleet.records.write(f"servers/{affected}", server_record(worker.entry))
                fleet.run_for(carried_out_s)
                fleet.workers.renew(worker, FORMER_CLOCK_MS)
                fleet.workers.start(worker, order)
                fleet.run_for(CALLS_KEPT_S + START_MAX_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), 1)

    # Guards against a run that goes on where it may not run, as its worker returned as
    # one of another kind, which carried a late copy out (G7, ROUTE, LIMIT).
    def test_worker_returns_as_another_kind(self):
        for changes, has_leader in itertools.product(
            ({"labels": ("b", "r1")}, {"service": "floor"}, {"cores_milli": 500}),
            (True, False),
        ):
            with self.subTest(changes=changes, has_leader=has_leader):
                fleet, affected = self.order_start(2, label="a")
                fleet.workers.crash(affected)
                if not has_leader:
                    self.lose_leader(fleet, "killed")
                fleet.run_for(0.3)
                worker = self.return_without_entry(fleet, affected, **changes)
                self.assertEqual(len(worker.running), 1)
                fleet.records.write(f"servers/{affected}", server_record(worker.entry))
                fleet.run_for(LONGEST_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(len(worker.running), 0)
                self.assertEqual(self.count_running(fleet), 1)

    # Guards against tasks that serve above their latency target, as a task that fills
    # beside them is taken for paused: it was so at the former incarnation, and late
    # copies of both starts run at the next one at full speed (G10, HARM).
    def test_paused_run_goes_on_at_full_speed_at_the_next_incarnation(self):
        fleet = self.start_fleet(workers=1)
        fleet.run_for(15.0)
        limits = self.record_speed_limits(fleet)
        serving = {"standing": True, "image": "s", "latency_target_ms": TARGET_MS}
        orders = [
            self.lose_first_copy(fleet, job_id, **fields)
            for job_id, fields in (
                (OTHER_JOB, {"uses_leftover": True, "image": "f"}),
                (JOB, serving),
            )
        ]
        fleet.run_for(5.0)
        self.assertEqual(limits[-1], (1, orders[0].run, 0))
        fleet.workers.crash("w0")
        fleet.run_for(0.1)
        worker = self.return_without_entry(fleet, "w0")
        fleet.workers.renew(worker, FORMER_CLOCK_MS)
        for order in orders:
            fleet.workers.start(worker, order)
        fleet.run_for(0.5)
        fleet.records.write("servers/w0", server_record(worker.entry))
        fleet.run_for(5.0)
        self.assertEqual(len(worker.running), 2)
        self.assertEqual(limits[-1], (2, orders[0].run, 0))

    def lose_first_copy(self, fleet, job_id, **fields):
        """Submit a job of one task; return its order, one copy of which is lost."""
        fleet.workers.delays_start_to_next_incarnation = True
        fleet.submit(0, job(job_id, tasks=1, **fields), wait_s=0.05)
        (order,) = fleet.workers._for_next_incarnation.values()
        fleet.workers._for_next_incarnation.clear()
        return order

    def record_speed_limits(self, fleet):
        """Return a list of speed limits, of (start of the incarnation, run, percent).

        Tasks of `JOB` report twice their latency target.
        """
        client = fleet.worker_clients[fleet.leader()]
        limits = []

        def report_load(result):
            running = tuple(
                replace(listed, load=2 * TARGET_MS * (listed.run.task.job_id == JOB))
                for listed in result.running
            )
            return replace(result, running=running)

        def throttle(entry, run, percent, fencing_token):
            started_at_ms = fleet.workers.workers[entry.worker_id].entry.started_at_ms
            limits.append((started_at_ms, run, percent))
            return type(client).throttle(client, entry, run, percent, fencing_token)

        client.throttle = throttle
        client.poll = lambda *arguments: (
            type(client).poll(client, *arguments).addCallback(report_load)
        )
        return limits

    # Guards against a run that hangs at the next incarnation and is not moved, as its
    # progress is compared with the clock of the former one (G10, LOST).
    def test_run_hangs_at_the_next_incarnation(self):
        for age_s in (1.0, 60.0):
            with self.subTest(age_s=age_s):
                fleet = self.start_fleet(workers=2, run_s=1000.0)
                fleet.run_for(age_s)
                order = self.lose_first_copy(fleet, JOB)
                # The former incarnation has listed the run, which does not count as
                # hanging yet.
                fleet.run_for(2.8)
                for other in fleet.workers.workers.values():
                    other.run_s = 0.0
                ((_, affected),) = fleet.workers.starts
                fleet.workers.crash(affected)
                fleet.run_for(0.1)
                worker = self.return_without_entry(fleet, affected)
                worker.run_s = 1000.0
                fleet.workers.renew(worker, FORMER_CLOCK_MS)
                fleet.workers.start(worker, order)
                fleet.run_for(0.5)
                fleet.records.write(f"servers/{affected}", server_record(worker.entry))
                fleet.run_for(8.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(len(worker.running), 0)
                self.assertEqual(self.count_running(fleet), 1)

    # Guards against a task that stays a suspect of crashes although its run has
    # outlived its probation at the next incarnation, as its age is counted from a time
    # on the clock of the former one (G13).
    def test_suspect_is_cleared_at_the_next_incarnation(self):
        for age_s in (0.0, 60.0):
            with self.subTest(age_s=age_s):
                fleet, affected, order = self.order_suspect(age_s)
                task = self.find_task(fleet, fleet.leader())
                fleet.run_for(0.2)
                fleet.workers.crash(affected)
                fleet.run_for(0.1)
                worker = self.return_without_entry(fleet, affected)
                fleet.workers.renew(worker, FORMER_CLOCK_MS)
                fleet.workers.start(worker, order)
                fleet.run_for(0.5)
                fleet.records.write(f"servers/{affected}", server_record(worker.entry))
                fleet.run_for(5.0)
                self.assertEqual(len(worker.running), 1)
                self.assertEqual(task.crashes, {})

    # Guards against a suspect that a successor clears at its first listing, as the
    # stored time of its start is on the clock of the former incarnation (G13).
    def test_successor_does_not_clear_a_suspect_by_the_former_clock(self):
        for waits_s in (0.2, 4.0):
            with self.subTest(waits_s=waits_s):
                fleet, affected, order = self.order_suspect(0.0)
                task = self.find_task(fleet, fleet.leader())
                while task.start_record.seen_clock_ms < 0:
                    fleet.run_for(0.01)
                # It stores all records as it stops.
                former = self.lose_leader(fleet, "stopped")
                fleet.workers.crash(affected)
                fleet.run_for(0.1)
                worker = self.return_without_entry(fleet, affected)
                silence(worker)
                fleet.run_for(waits_s)
                fleet.workers.renew(worker, FORMER_CLOCK_MS)
                fleet.workers.start(worker, order)
                worker.is_reachable = True
                successor = self.await_successor(fleet, {former})
                task = self.find_task(fleet, successor)
                while not task.runs:
                    self.assertEqual(len(worker.running), 1)
                    fleet.run_for(0.01)
                self.assertIn(1, task.crashes)

    def order_suspect(self, age_s):
        """Return a fleet, a worker that runs a suspect, and a copy of its start."""
        fleet = self.start_fleet(workers=2)
        fleet.run_for(age_s)
        fleet.workers.crashing_tasks.add(TASK_ID)
        fleet.submit(0, job(JOB, tasks=1, standing=True))
        fleet.workers.crashing_tasks.clear()
        ((_, crashed),) = fleet.workers.starts
        worker = self.return_without_entry(fleet, crashed)
        fleet.records.write(f"servers/{crashed}", server_record(worker.entry))
        fleet.workers.delays_start_to_next_incarnation = True
        while not fleet.workers._for_next_incarnation:
            fleet.run_for(0.01)
        ((affected, order),) = fleet.workers._for_next_incarnation.items()
        fleet.workers._for_next_incarnation.clear()
        while len(fleet.workers.starts) < 2:
            fleet.run_for(0.01)
        self.assertEqual(len(self.find_task(fleet, fleet.leader()).crashes), 1)
        return fleet, affected, order

    def find_task(self, fleet, number):
        return fleet.nodes[number].leader.registry.find(TASK_ID)


class EntryWithoutStartTest(ReturnedWorkersTest):
    """An entry that does not tell when its worker started names no worker to use."""

    # Guards against runs that are taken for ended and started elsewhere as the entry of
    # their worker follows one that lacks its start (G9, TWICE).
    def test_entry_follows_one_without_the_start(self):
        for how, worker_delay_s in itertools.product(
            ("killed", "stopped"), (0.002, 0.01, 0.02)
        ):
            with (
                self.subTest(how=how, worker_delay_s=worker_delay_s),
                patch("standins.fleet.WORKER_DELAY_S", worker_delay_s),
            ):
                fleet, assigned = self.start_work()
                entry = fleet.workers.workers[assigned].entry
                self.write_without_start(fleet, entry)
                former = self.lose_leader(fleet, how)
                self.await_successor(fleet, {former})
                fleet.run_for(0.5)
                fleet.add_worker(worker_entry(8), 0.0)
                fleet.run_for(0.5)
                fleet.records.write(f"servers/{assigned}", server_record(entry))
                fleet.run_for(LONGEST_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), TASKS)

    # Guards against tasks that run again after their ends, which the next incarnation
    # of such a worker lists with numbers that the former one had used (G9, TWICE).
    def test_worker_returns_whose_entry_lacks_the_start(self):
        for how in ("killed", "stopped"):
            with self.subTest(how=how):
                fleet = self.start_fleet(workers=1, run_s=1.0)
                fleet.submit(0, job("b" * 16, tasks=8), wait_s=0.3)
                entry = fleet.workers.workers["w0"].entry
                self.write_without_start(fleet, entry)
                former = self.lose_leader(fleet, how)
                successor = self.await_successor(fleet, {former})
                fleet.run_for(2.0)
                self.assertEqual(len(fleet.workers.done), 8)
                fleet.workers.crash("w0")
                fleet.run_for(0.3)
                entry = replace(entry, started_at_ms=2)
                fleet.workers.add(entry, 0.2)
                fleet.submit(successor, job(JOB, tasks=4), wait_s=1.0)
                fleet.records.write("servers/w0", server_record(entry))
                fleet.run_for(LONGEST_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(len(fleet.workers.done), 12)

    def write_without_start(self, fleet, entry):
        record = msgspec.json.decode(server_record(entry))
        del record["born"]
        record = msgspec.json.encode(record)
        fleet.records.write(f"servers/{entry.worker_id}", record)


if __name__ == "__main__":
    unittest.main()
