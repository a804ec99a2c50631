"""Evidence for the end of a run or an order while links are cut and workers run on."""

import unittest
from dataclasses import replace
from unittest import mock

from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_types import RunId, StartOrder, TaskId
from dogwoodlever._http_client import NOT_SENT_ERRORS, HttpClient
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S
from dogwoodlever.platform import HttpFleetWorkerClient
from dogwoodlever.platform_errors import (
    ConnectionRefusedByWorkerError,
    StoreRefusedError,
    StoreUnavailableError,
    WorkerUnreachableError,
)
from standins.fleet import server_record
from tests.fleet_simulation import (
    JOB,
    FleetSimulation,
    StandingWorkTest,
    job,
    worker_entry,
)
from tests.test_http_client import OK, URL, FakeTransport

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


class CutOrdersTest(StandingWorkTest):
    """Orders that a cut prevents, or whose answers it takes away."""

    def cut_off(self, fleet, worker_id, how, loses_requests=False):
        for client in fleet.worker_clients:
            client.cut_off({worker_id}, CUTS[how][0], loses_requests)

    def reconnect(self, fleet):
        for client in fleet.worker_clients:
            client.reconnect()

    # Guards against a start that is neither repeated nor dropped after its worker's
    # lease has expired, unconfirmed by the store, and the worker answers again.
    def test_start_refused_by_a_worker_that_returns_with_the_store(self):
        for how in CUTS:
            for returns_after_s in (4.5, 5.5, 6.3):
                with self.subTest(how=how, returns_after_s=returns_after_s):
                    fleet = self.start_fleet(workers=1)
                    fleet.records.is_lease_expiry_paused = True
                    self.cut_off(fleet, "w0", how)
                    fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
                    for store in fleet.stores:
                        store.is_down = True
                    fleet.run_for(returns_after_s - 0.1)
                    self.reconnect(fleet)
                    fleet.run_for(0.2)
                    for store in fleet.stores:
                        store.is_down = False
                    fleet.run_for(LATE_ORDER_MAX_S + 5.0)
                    self.assertEqual(self.count_running(fleet), 1)
                    self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against work that starts elsewhere after a stop that a cut has prevented,
    # or whose answer it has taken away, while the run goes on.
    def test_stop_of_a_draining_workers_run_during_a_cut(self):
        for how in CUTS:
            for is_under_way in (False, True):
                for loses_requests in (False, True):
                    for cut_s in (0.3, 1.0, 3.0, 9.0):
                        with self.subTest(
                            how=how,
                            is_under_way=is_under_way,
                            loses_requests=loses_requests,
                            cut_s=cut_s,
                        ):
                            self.check_stop(how, is_under_way, loses_requests, cut_s)

    def check_stop(self, how, is_under_way, loses_requests, cut_s):
        fleet = self.start_fleet(workers=3)
        assigned = self.start_standing_job(fleet, 4)
        fleet.workers.stop_s = 0.2
        entry = fleet.workers.workers[assigned].entry
        client = fleet.worker_clients[fleet.leader()]
        # At times the waiting poll counts twice, as it asks the worker again.
        while client.count_open_calls({assigned}) > 1:
            fleet.clock.advance(0.001)
        open_calls = client.count_open_calls({assigned})
        fleet.records.write(
            f"servers/{assigned}", server_record(entry, state="draining")
        )
        while is_under_way and client.count_open_calls({assigned}) < open_calls + 2:
            fleet.clock.advance(0.001)
        self.cut_off(fleet, assigned, how, loses_requests)
        fleet.run_for(cut_s)
        self.reconnect(fleet)
        fleet.run_for(WORKER_LEASES_MAX_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 4)
        self.assertEqual(len(fleet.workers.workers[assigned].running), 0)

    # Guards against runs of a cancelled job that go on after a cut.
    def test_cancellation_during_a_cut_stops_the_run(self):
        for how in CUTS:
            for cut_s in (0.3, 1.0, 3.0, 9.0):
                with self.subTest(how=how, cut_s=cut_s):
                    fleet = self.start_fleet(workers=3)
                    self.cut_off(fleet, self.start_standing_job(fleet, 4), how)
                    fleet.await_result(
                        fleet.nodes[0].frontend.cancel(JOB, fleet.clock.seconds() + 3),
                        0.2,
                    )
                    fleet.run_for(cut_s)
                    self.reconnect(fleet)
                    fleet.run_for(1.0)
                    self.assertEqual(self.count_running(fleet), 0)
                    self.assertEqual(len(fleet.workers.starts), 4)

    # Guards against a job that is given up because the workers of its task, which run
    # on, were cut off one by one with refused connections.
    def test_workers_that_are_cut_off_one_by_one_have_not_crashed(self):
        for how in CUTS:
            for cuts in (2, 3):
                with self.subTest(how=how, cuts=cuts):
                    fleet = self.start_fleet(workers=4)
                    fleet.submit(0, job(JOB, tasks=1, standing=True))
                    for started in range(1, cuts + 1):
                        self.await_starts(fleet, started)
                        fleet.run_for(0.1)
                        for client in fleet.worker_clients:
                            names = {name for _, name in fleet.workers.starts}
                            client.cut_off(names, CUTS[how][0])
                    fleet.run_for(14.0)
                    self.reconnect(fleet)
                    fleet.run_for(2.0)
                    self.assertEqual(fleet.workers.crashes, [])
                    self.assertEqual(fleet.read_phase(0, JOB), JobPhase.RUNNING)
                    self.assertEqual(self.count_running(fleet), 1)

    def await_starts(self, fleet, count):
        for _ in range(1500):
            if len(fleet.workers.starts) >= count:
                return
            fleet.run_for(0.01)
        self.fail(f"no start {count}; the job is {fleet.read_phase(0, JOB)}")


class CutConnectionTest(unittest.TestCase):
    """Requests on a connection that is reset."""

    # name, bytes that the socket takes, part of the answer
    RESETS = [
        ("before the request", -1, b""),
        ("within the request", 10, b""),
        ("after the request", 1 << 20, b""),
        ("within the answer", 1 << 20, OK + b"o"),
    ]

    # Guards against a request that is repeated, or reported as not sent, although the
    # reset of a connection kept from earlier calls may have followed its delivery.
    def test_reset_of_a_kept_connection(self):
        for name, takes_bytes, answer in self.RESETS:
            with self.subTest(name):
                reactor = MemoryReactorClock()
                client = HttpClient(reactor, 5.0)
                client.fetch(b"POST", URL, b"{}")
                protocol = reactor.tcpClients[-1][2].buildProtocol(None)
                transport = FakeTransport()
                protocol.makeConnection(transport)
                protocol.dataReceived(OK + b"ok")
                transport.clear()
                transport.takes_bytes = takes_bytes
                results = []
                client.fetch(b"POST", URL, b"{}").addBoth(results.append)
                if answer:
                    protocol.dataReceived(answer)
                protocol.connectionLost(Failure(ConnectionLost()))
                reactor.advance(10.0)
                self.assertEqual(len(results), 1)
                self.assertIsInstance(results[0].value, ConnectionLost)
                self.assertNotIsInstance(results[0].value, NOT_SENT_ERRORS)
                self.assertEqual(len(reactor.tcpClients), 1)
                self.assertEqual(transport.value().count(b"POST"), 1)


class UnknownStatusTest(unittest.TestCase):
    # Guards against a start that counts as rejected on a status that does not say that
    # the worker has done nothing.
    def test_start_with_another_status_may_be_carried_out(self):
        order = StartOrder(RunId(TaskId(JOB, 0, 0, 0), 1), "text")
        for status in (202, 500, 502, 504):
            with self.subTest(status=status):
                http_client = mock.Mock()
                http_client.fetch.return_value = succeed((status, b"{}"))
                worker_client = HttpFleetWorkerClient(http_client)
                results = []
                call = worker_client.start(worker_entry(0), order, 5, 7)
                call.addBoth(results.append)
                self.assertIs(results[0].type, WorkerUnreachableError)


if __name__ == "__main__":
    unittest.main()
