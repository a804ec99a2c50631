"""Recovery of work whose worker, or worker and leader, are gone."""

import unittest

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_job import JobPhase, RunPhase
from dogwoodlever._fleet_records import WORKER_MEMBERSHIP_KEY, decode_worker_membership
from dogwoodlever._fleet_types import PollResult, RunningRun
from standins.fleet import ENDS_LISTED_MAX, server_record
from tests.fleet_simulation import (
    JOB,
    FleetSimulation,
    StandingWorkTest,
    job,
    worker_entry,
)

# Design target from a leader's death to the start of work of a worker that has ended.
RECOVERY_TARGET_S = 4.0
# From the death of a leader and a worker of which nothing is heard to the start of the
# worker's tasks elsewhere, as docs/PLATFORM.md states.
SILENT_RECOVERY_MAX_S = 12.0
# Covers the election, a slow clock of a worker and the load of the records.
SUCCESSION_S = 3.5
# A lease of 5 s granted at the last contact, a slow clock and the time of a retry.
LEASE_EXPIRY_MAX_S = 6.0
# A worker whose lease was last renewed at the start of a waiting poll.
SHORTEST_LEASE_S = 3.5


def silence(fleet, worker_id):
    fleet.workers.workers[worker_id].is_reachable = False


def crash(fleet, worker_id):
    fleet.workers.crash(worker_id)


def crash_and_unlist(fleet, worker_id):
    fleet.workers.crash(worker_id)
    fleet.records.remove(f"servers/{worker_id}")


def replace(fleet, worker_id):
    fleet.workers.workers[worker_id].running.clear()
    fleet.workers.replaced.add(worker_id)
    fleet.records.remove(f"servers/{worker_id}")


def restart(fleet, worker_id):
    entry = worker_entry(int(worker_id[1:]), started_at_ms=2)
    fleet.workers.add(entry, 0.0)
    fleet.records.write(f"servers/{worker_id}", server_record(entry))


def restart_unlisted(fleet, worker_id):
    restart(fleet, worker_id)
    fleet.records.remove(f"servers/{worker_id}")


class WorkerRecoveryTest(StandingWorkTest):
    def time_until_running(self, fleet, tasks, limit_s):
        began_s = fleet.clock.seconds()
        while self.count_running(fleet) < tasks:
            fleet.run_for(0.05)
            self.assertLess(fleet.clock.seconds() - began_s, limit_s)
        return fleet.clock.seconds() - began_s

    def test_work_of_an_ended_process_starts_elsewhere(self):
        # A worker crashes; its address refuses connections while its entry remains.
        fleet = self.start_fleet(workers=3)
        crash(fleet, self.start_standing_job(fleet, 4))
        self.time_until_running(fleet, 4, LEASE_EXPIRY_MAX_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_work_of_a_replaced_process_starts_elsewhere_immediately(self):
        # Another worker answers at its address, or its next incarnation does.
        for name, end_worker in self.CASES:
            with self.subTest(name):
                fleet = self.start_fleet(workers=3)
                assigned = self.start_standing_job(fleet, 4)
                crash(fleet, assigned)
                fleet.run_for(1.0)
                end_worker(fleet, assigned)
                self.time_until_running(fleet, 4, 1.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against runs that are started elsewhere while their worker, to which a
    # partition rejects connections, runs on.
    def test_refused_connections_end_no_worker(self):
        for refusing_s in (0.2, 1.0, 3.0, 8.0):
            for kills_leader in (False, True):
                for unlists in (False, True):
                    with self.subTest(
                        refusing_s=refusing_s,
                        kills_leader=kills_leader,
                        unlists=unlists,
                    ):
                        self.check_refused_connections(
                            refusing_s, kills_leader, unlists
                        )

    def check_refused_connections(self, refusing_s, kills_leader, unlists):
        fleet = self.start_fleet(workers=3)
        assigned = self.start_standing_job(fleet, 4)
        fleet.workers.workers[assigned].refuses_connections = True
        if unlists:
            fleet.records.remove(f"servers/{assigned}")
        if kills_leader:
            fleet.kill(fleet.leader())
        fleet.run_for(refusing_s)
        fleet.workers.workers[assigned].refuses_connections = False
        entry = fleet.workers.workers[assigned].entry
        fleet.records.write(f"servers/{assigned}", server_record(entry))
        fleet.run_for(WORKER_LEASES_MAX_S + SUCCESSION_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 4)
        if refusing_s < SHORTEST_LEASE_S:
            self.assertEqual(len(fleet.workers.starts), 4)

    def test_work_of_a_silent_worker_keeps_running_there(self):
        # A worker is silent for less than its lease; nothing is lost or started anew.
        fleet = self.start_fleet(workers=3)
        silent = self.start_standing_job(fleet, 4)
        silence(fleet, silent)
        fleet.run_for(3.0)
        fleet.workers.workers[silent].is_reachable = True
        fleet.run_for(3.0)
        self.assertEqual(len(fleet.workers.starts), 4)
        self.assertEqual(self.count_running(fleet), 4)

    # Guards against runs that are started elsewhere because their worker's entry,
    # written late or by another writer, names another incarnation.
    def test_entry_of_another_incarnation_ends_no_run(self):
        current = {"started_at_ms": 5}
        cases = [
            ("earlier incarnation, written late", {"started_at_ms": 1}),
            ("no start time", {"started_at_ms": 0}),
            ("later incarnation, written by another writer", {"started_at_ms": 9}),
        ]
        for name, fields in cases:
            for kills_leader in (False, True):
                with self.subTest(name, kills_leader=kills_leader):
                    fleet = FleetSimulation(run_s=0.0, workers=0)
                    for number in range(3):
                        fleet.add_worker(worker_entry(number, **current), 0.0)
                    fleet.run_for(1.0)
                    assigned = self.start_standing_job(fleet, 4)
                    number = int(assigned[1:])
                    stale = worker_entry(number, **fields)
                    fleet.records.write(f"servers/{assigned}", server_record(stale))
                    fleet.run_for(1.0)
                    if kills_leader:
                        fleet.kill(fleet.leader())
                        fleet.run_for(3.0)
                    entry = worker_entry(number, **current)
                    fleet.records.write(f"servers/{assigned}", server_record(entry))
                    fleet.run_for(WORKER_LEASES_MAX_S + SUCCESSION_S)
                    self.assertEqual(fleet.workers.duplicate_starts, [])
                    self.assertEqual(len(fleet.workers.starts), 4)
                    self.assertEqual(self.count_running(fleet), 4)

    CASES = [
        ("its next incarnation answers", restart),
        ("its next incarnation answers and has no entry", restart_unlisted),
        ("another worker has its address", replace),
    ]

    def test_leader_and_worker_end_together(self):
        for name, end_worker in self.CASES:
            with self.subTest(name):
                fleet = self.start_fleet(workers=3)
                worker_id = self.start_standing_job(fleet, 4)
                end_worker(fleet, worker_id)
                fleet.kill(fleet.leader())
                self.time_until_running(fleet, 4, RECOVERY_TARGET_S)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_worker_that_ended_earlier_delays_no_successor(self):
        # Workers crash and come back under other ids, then the leader is lost.
        for name, end_worker in self.CASES:
            with self.subTest(name):
                fleet = self.start_fleet(workers=4)
                end_worker(fleet, self.start_standing_job(fleet, 6))
                fleet.run_for(3.0)
                first = fleet.leader()
                fleet.kill(first)
                fleet.run_for(2.5)
                ended = next(w for w in fleet.workers.workers.values() if w.running)
                for run in list(ended.running.values()):
                    fleet.workers.end(ended, run, "failed")
                self.time_until_running(fleet, 6, 2.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_wait_for_a_silent_worker_after_a_change_of_leader_is_bounded(self):
        # Neither the former leader nor the worker gives any answer.
        for name, end_worker in (
            ("silent", silence),
            ("refuses connections", crash),
            ("refuses connections and has no entry", crash_and_unlist),
        ):
            with self.subTest(name):
                fleet = self.start_fleet(workers=3)
                end_worker(fleet, self.start_standing_job(fleet, 4))
                fleet.kill(fleet.leader())
                fleet.run_for(SILENT_RECOVERY_MAX_S)
                reachable = [
                    w for w in fleet.workers.workers.values() if w.is_reachable
                ]
                self.assertEqual(sum(len(worker.running) for worker in reachable), 4)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_paused_leader_extends_no_lease_after_its_time(self):
        # A leader is paused while its successor waits out the leases of a worker that
        # only the former leader reaches, and starts that worker's tasks elsewhere.
        for pause_s in (6.0, 9.0, 13.0, 20.0):
            with self.subTest(pause_s=pause_s):
                fleet = self.start_fleet(workers=3)
                assigned = self.start_standing_job(fleet, 4)
                former = fleet.leader()
                fleet.nodes[former].mesh.is_down = True
                others = set(fleet.workers.workers) - {assigned}
                for number, client in enumerate(fleet.worker_clients):
                    client.unreachable = others if number == former else {assigned}
                fleet.clocks[former].freeze()
                fleet.run_for(pause_s)
                fleet.stores[former].is_down = True
                fleet.clocks[former].thaw()
                fleet.run_for(12.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_leader_cut_off_from_the_store_extends_no_lease_after_its_time(self):
        # The same with a leader that runs all the while.
        fleet = self.start_fleet(workers=3)
        assigned = self.start_standing_job(fleet, 4)
        former = fleet.leader()
        fleet.stores[former].is_down = True
        fleet.nodes[former].mesh.is_down = True
        others = set(fleet.workers.workers) - {assigned}
        for number, client in enumerate(fleet.worker_clients):
            client.unreachable = others if number == former else {assigned}
        fleet.run_for(25.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 4)

    def test_work_outlasts_an_outage_of_the_store(self):
        # Leases expire meanwhile, or do not.
        for is_paused in (False, True):
            with self.subTest(is_paused=is_paused):
                fleet = self.start_fleet(workers=3)
                self.start_standing_job(fleet, 4)
                fleet.records.is_lease_expiry_paused = is_paused
                for store in fleet.stores:
                    store.is_down = True
                fleet.run_for(6.7)
                for store in fleet.stores:
                    store.is_down = False
                fleet.run_for(6.0)
                self.assertEqual(len(fleet.workers.starts), 4)
                self.assertEqual(self.count_running(fleet), 4)

    # Guards against tasks that run again although their worker, which has no entry in
    # the store, lists to a new leader that they are done.
    def test_successor_reads_the_ends_of_a_worker_without_an_entry(self):
        for run_s in (0.5, 1.0, 2.5, 4.0):
            with self.subTest(run_s=run_s):
                fleet = self.start_fleet(workers=2, run_s=run_s)
                fleet.submit(0, job(JOB, tasks=4, worker_tasks_max=2))
                fleet.run_for(0.1)
                fleet.records.remove(f"servers/{fleet.workers.starts[0][1]}")
                fleet.kill(fleet.leader())
                fleet.run_for(16.0)
                self.assertEqual(len(fleet.workers.starts), 4)
                phase = fleet.read_phase(fleet.leader(), JOB)
                self.assertEqual(phase, JobPhase.COMPLETED)

    # Guards against tasks that run again after their ends, as a worker lists more ends
    # than fit in its first answer to a successor.
    def test_successor_waits_for_all_ends_of_a_worker(self):
        tasks = ENDS_LISTED_MAX + 50
        fleet = FleetSimulation(daemons=2, workers=0)
        fleet.add_worker(worker_entry(0, cores=1000), run_s=2.0)
        fleet.run_for(1.0)
        fleet.submit(0, job(JOB, tasks=tasks))
        fleet.run_for(1.5)
        self.assertEqual(len(fleet.workers.starts), tasks)
        leader = fleet.leader()
        # No end is stored, so none is acknowledged.
        fleet.stores[leader].is_down = True
        fleet.run_for(1.5)
        self.assertEqual(len(fleet.workers.workers["w0"].ended), tasks)
        fleet.kill(leader)
        fleet.run_for(6.0)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(fleet.read_phase(fleet.leader(), JOB), JobPhase.COMPLETED)

    # Guards against runs that a leader stops for lack of progress when it resumes after
    # a pause, by a report that was made before the pause.
    def test_report_from_before_a_pause_shows_no_stalled_run(self):
        table = (
            # pause, time from one report to the next on the worker's clock, is stalled
            (1.0, 100, False),
            (2.5, 100, False),
            (5.0, 100, False),
            (2.5, 2_500, True),
            (5.0, 5_000, True),
        )
        for pause_s, reported_after_ms, is_stalled in table:
            with self.subTest(pause_s=pause_s, reported_after_ms=reported_after_ms):
                phase = self.resume_with_report(pause_s, reported_after_ms)
                self.assertEqual(phase is RunPhase.STOPPING, is_stalled)

    def resume_with_report(self, pause_s, reported_after_ms):
        """Return the phase of a run after a report of its unchanged progress.

        The leader is paused after the report before, and the worker makes the new one
        `reported_after_ms` after that.
        """
        fleet = self.start_fleet(workers=1, run_s=30.0)
        fleet.submit(0, job(JOB, tasks=1), wait_s=2.0)
        workers = fleet.nodes[fleet.leader()].leader.workers
        (capacity,) = workers.capacities.values()
        ((run, _),) = capacity.runs.values()
        clock_ms = fleet.workers.workers["w0"].clock_ms(run.progressed_s)
        listed = RunningRun(run.run_id, "", run.percent, 0)
        fleet.clocks[fleet.leader()].freeze()
        fleet.run_for(pause_s)
        result = PollResult(clock_ms + reported_after_ms, 1, (listed,), ())
        link = workers._links["w0"]
        workers.runs.apply_poll(capacity, link, result, run.progressed_s)
        return run.phase

    def stored_workers(self, fleet):
        record = fleet.records.records[WORKER_MEMBERSHIP_KEY]
        return set(decode_worker_membership(record.value).workers)

    def test_empty_worker_leaves_the_membership_with_its_entry(self):
        fleet = self.start_fleet(workers=3)
        self.assertEqual(self.stored_workers(fleet), {"w0", "w1", "w2"})
        fleet.records.remove("servers/w1")
        fleet.run_for(1.0)
        self.assertEqual(self.stored_workers(fleet), {"w0", "w2"})

    def test_worker_whose_entry_returns_gets_work_again(self):
        fleet = self.start_fleet(workers=1)
        fleet.records.remove("servers/w0")
        fleet.run_for(1.0)
        fleet.records.write("servers/w0", server_record(worker_entry(0)))
        fleet.run_for(1.0)
        for worker in fleet.workers.workers.values():
            worker.run_s = 1.0
        fleet.submit(0, job(JOB))
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
