"""Evidence for the end of a run or an order while links are cut and workers run on."""

import unittest
from dataclasses import replace

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever.platform_errors import (
    ConnectionRefusedByWorkerError,
    StoreRefusedError,
    StoreUnavailableError,
    WorkerUnreachableError,
)
from standins.fleet import server_record
from tests.fleet_simulation import JOB, FleetSimulation, job, worker_entry

CUT_DATA_CENTRE = "south"
# Errors of new connections to workers and to the store while a link is cut.
CUTS = {
    "refuses": (ConnectionRefusedByWorkerError, StoreRefusedError),
    "resets": (WorkerUnreachableError, StoreUnavailableError),
}
# From the start of a cut to the expiry of the cut-off workers' entries, and from its
# end to their return.
ENTRIES_EXPIRE_S = 2.2
ENTRIES_RETURN_S = 0.5
# Covers an election, the leases of cut-off workers and the work started afterwards.
RECOVERY_S = WORKER_LEASES_MAX_S + 8.0
RUN_S = 0.7
TASKS = 20
# Tasks on the workers that are cut off, which have no room for more; the others have.
TASKS_INSIDE = 12
IN_FLIGHT = "in flight"


class CutEvidenceTest(unittest.TestCase):
    def start_fleet(self, run_s):
        """Start a fleet whose last two of four workers are in the data centre."""
        fleet = FleetSimulation(workers=0)
        for number in range(4):
            entry = worker_entry(number, cores=16)
            if number >= 2:
                entry = worker_entry(number, cores=TASKS_INSIDE // 2)
                entry = replace(entry, data_centre=CUT_DATA_CENTRE)
            fleet.add_worker(entry, run_s)
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def inside_workers(self, fleet):
        return {
            worker_id
            for worker_id, worker in fleet.workers.workers.items()
            if worker.entry.data_centre == CUT_DATA_CENTRE
        }

    def start_work(self, fleet, before_s):
        """Start tasks on all workers, `before_s` before the cut."""
        fleet.submit(0, job(JOB, tasks=TASKS), wait_s=0.0)
        inside = self.inside_workers(fleet)
        if before_s == IN_FLIGHT:
            client = fleet.worker_clients[fleet.leader()]
            while client.count_open_calls(inside) < TASKS_INSIDE:
                fleet.clock.advance(0.001)
            return
        while len(fleet.workers.starts) < TASKS:
            fleet.clock.advance(0.001)
        started_on = [worker_id for _, worker_id in fleet.workers.starts]
        self.assertEqual(sum(name in inside for name in started_on), TASKS_INSIDE)
        fleet.run_for(before_s)

    def cut(self, fleet, how, leader_is_inside, loses_requests):
        """Cut a data centre with one daemon off from the others and from the store."""
        leader = fleet.leader()
        inside_daemon = leader if leader_is_inside else (leader + 1) % 3
        inside = self.inside_workers(fleet)
        worker_error, store_error = CUTS[how]
        for number, client in enumerate(fleet.worker_clients):
            is_inside = number == inside_daemon
            others = set(fleet.workers.workers) - inside if is_inside else inside
            client.cut_off(others, worker_error, loses_requests)
        fleet.stores[inside_daemon].cut_off(store_error)
        fleet.nodes[inside_daemon].mesh.is_down = True
        return inside_daemon

    def reconnect(self, fleet, inside_daemon):
        for client in fleet.worker_clients:
            client.reconnect()
        fleet.stores[inside_daemon].reconnect()
        fleet.nodes[inside_daemon].mesh.is_down = False

    def pass_cut(self, fleet, cut_s, inside_daemon):
        inside = self.inside_workers(fleet)
        fleet.run_for(min(cut_s, ENTRIES_EXPIRE_S))
        if cut_s > ENTRIES_EXPIRE_S:
            for worker_id in sorted(inside):
                fleet.records.remove(f"servers/{worker_id}")
            fleet.run_for(cut_s - ENTRIES_EXPIRE_S)
        self.reconnect(fleet, inside_daemon)
        fleet.run_for(ENTRIES_RETURN_S)
        for worker_id in sorted(inside):
            entry = fleet.workers.workers[worker_id].entry
            fleet.records.write(f"servers/{worker_id}", server_record(entry))
        fleet.run_for(RECOVERY_S)

    # Guards against tasks that start anew within a second of a cut of a data centre,
    # because the connections to their workers, which run on, are refused (issue 30).
    def test_data_centre_cut_off_right_after_starts_repeats_no_run(self):
        for how in CUTS:
            for leader_is_inside in (False, True):
                for cut_s in (1.0, 5.0, 9.0):
                    for before_s in (IN_FLIGHT, 0.0, 0.1, 0.3, 0.5):
                        with self.subTest(
                            how=how,
                            leader_is_inside=leader_is_inside,
                            cut_s=cut_s,
                            before_s=before_s,
                        ):
                            self.check_cut(how, leader_is_inside, cut_s, before_s)

    def check_cut(self, how, leader_is_inside, cut_s, before_s):
        # Short tasks end `done` during the cut; long ones run on.
        is_in_flight = before_s == IN_FLIGHT
        cases = [(RUN_S, False)]
        if is_in_flight:
            cases.append((RUN_S, True))
        if is_in_flight or before_s == 0.3:
            cases.append((0.0, False))
        for run_s, loses_requests in cases:
            fleet = self.start_fleet(run_s)
            self.start_work(fleet, before_s)
            inside_daemon = self.cut(fleet, how, leader_is_inside, loses_requests)
            self.pass_cut(fleet, cut_s, inside_daemon)
            # Where the lease of the worker expired before an end was acknowledged, the
            # task may run again.
            repeated = set(fleet.workers.duplicate_starts) - set(fleet.workers.reruns)
            self.assertEqual(repeated, set())
            if run_s:
                self.assertEqual(len(fleet.workers.done), TASKS)
                continue
            running = [
                run.task
                for worker in fleet.workers.workers.values()
                for run in worker.running
            ]
            self.assertEqual(len(running), TASKS)
            self.assertEqual(len(set(running)), TASKS)


if __name__ == "__main__":
    unittest.main()
