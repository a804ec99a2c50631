"""Fleet daemons on the simulated, in-process platform."""

import unittest
from dataclasses import replace

import msgspec
from twisted.internet.task import Clock

from dogwoodlever._fleet_node import FleetNode
from dogwoodlever._fleet_types import Step, SubmittedJob, WorkerEntry
from dogwoodlever.platform import HttpFleetStore, NodeFile
from standins.fleet import (
    FakeAdvice,
    FakeFleetStore,
    FakeFleetWorkerClient,
    FakePeerTransport,
    FakeWorkers,
    FleetRecords,
    server_record,
)
from standins.in_process import ProcessClock, SocketBuffers
from standins.wire_store import WireStore, WireStoreClient

STEP_S = 0.01
# Longest time in which a worker ends a run.
STOP_S = 0.4
QUEUE = "quotes"
JOB = "a" * 16
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": QUEUE,
            "host": "desk.example",
            "prefix": "/quotes/",
            "service": "desk",
            "max_attempts": 3,
            "stretch": 2.0,
            "slo_ms": 500,
        }
    ],
    "services": [{"name": "desk"}],
}


def node_file(vm, **settings):
    return NodeFile(
        vm, "north", ("127.0.0.1", 1), ("127.0.0.1", 2), "127.0.0.1", 3, "", "",
        1.0, 1000, 10.0, 6.0, 120.0, 4.0, STOP_S, **settings,
    )  # fmt: skip


def worker_entry(number, cores=8, started_at_ms=1, **fields):
    return WorkerEntry(
        f"w{number}", "desk", "127.0.0.1", 9000 + number, "north", started_at_ms, False,
        cores * 1000, 64_000, 0, ("a", "r1"), **fields,
    )  # fmt: skip


def job(job_id="a" * 16, tasks=4, steps=1, **fields):
    made = tuple(
        Step(tasks, 1000, 100, 0, 1000, after=(n - 1,) if n else (), **fields)
        for n in range(steps)
    )
    return SubmittedJob(job_id, QUEUE, "payload", made)


class FleetSimulation:
    """Daemons, workers and a store on one simulated clock.

    Parameters
    ----------
    configuration : dict
        Operators' configuration.
    settings : dict
        Fields of the daemons' `NodeFile` that differ from the usual ones.
    has_socket_buffers : bool
        Whether the calls of a frozen daemon are carried out and answered meanwhile.
    has_wire_store : bool
        Whether daemons reach the store in the platform's form on the wire, by
        `HttpFleetStore`; their `stores` are the `WireStoreClient` below it, with the
        faults of `FakeFleetStore`.

    Attributes
    ----------
    wire_store : WireStore
        The store in the platform's form, with the form of its conflicts.
    """

    def __init__(
        self,
        daemons=3,
        workers=3,
        run_s=1.0,
        configuration=CONFIGURATION,
        settings=None,
        has_socket_buffers=False,
        has_wire_store=False,
    ):
        self.settings = settings or {}
        self.has_socket_buffers = has_socket_buffers
        self.has_wire_store = has_wire_store
        self.clock = Clock()
        self.clock.advance(100.0)
        self.records = FleetRecords(self.clock)
        self.wire_store = WireStore(self.records)
        self.configure(configuration)
        self.workers = FakeWorkers(self.clock)
        self.advice = FakeAdvice(self.clock)
        self.members = {}
        self.nodes, self.stores, self.worker_clients, self.clocks = [], [], [], []
        for number in range(workers):
            self.add_worker(worker_entry(number), run_s)
        for number in range(daemons):
            self.add_daemon(f"vm{number}")

    def configure(self, configuration):
        self.records.write("op/config", msgspec.json.encode(configuration))

    def add_worker(self, entry, run_s=1.0):
        self.records.write(f"servers/{entry.worker_id}", server_record(entry))
        return self.workers.add(entry, run_s)

    def resize_worker(self, worker_id, cores):
        worker = self.workers.workers[worker_id]
        worker.entry = replace(worker.entry, cores_milli=cores * 1000)
        self.records.write(f"servers/{worker_id}", server_record(worker.entry))

    def add_daemon(self, vm):
        clock = ProcessClock(self.clock)
        clients_clock = self.clock if self.has_socket_buffers else clock
        if self.has_wire_store:
            store = WireStoreClient(self.wire_store, clients_clock)
            store_client = HttpFleetStore(store, "store")
        else:
            store = store_client = FakeFleetStore(self.records, clients_clock)
        worker_client = FakeFleetWorkerClient(self.workers, clients_clock)
        clients = store_client, worker_client
        if self.has_socket_buffers:
            clients = [SocketBuffers(client, clock) for client in clients]
        node = FleetNode(
            node_file(vm, **self.settings),
            str(len(self.nodes)),
            "key",
            *clients,
            self.advice,
            lambda member, key: FakePeerTransport(self.members, clock, member),
            clock,
            self.clock.seconds,
        )
        self.nodes.append(node)
        self.stores.append(store)
        self.worker_clients.append(worker_client)
        self.clocks.append(clock)
        node.open()

    def run_for(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.workers.advance()

    def leader(self):
        for number, node in enumerate(self.nodes):
            if self.clocks[number].is_alive and node.leader and node.leader.is_loaded:
                return number
        return None

    def kill(self, number):
        self.clocks[number].kill()
        self.nodes[number].mesh.is_down = True

    def await_result(self, call, wait_s=1.0):
        results = []
        call.addCallback(results.append)
        self.run_for(wait_s)
        return results[0] if results else None

    def submit(self, number, submitted, wait_s=0.1):
        frontend = self.nodes[number].frontend
        deadline_s = self.clock.seconds() + 3.0
        return self.await_result(frontend.submit(submitted, deadline_s), wait_s)

    def read_phase(self, number, job_id, wait_s=1.0):
        frontend = self.nodes[number].frontend
        result = self.await_result(
            frontend.read(job_id, self.clock.seconds() + 3.0), wait_s
        )
        return result and result.phase


class StandingWorkTest(unittest.TestCase):
    """Base of tests that follow a standing job over changes of workers and leaders."""

    def start_fleet(self, run_s=0.0, **sizes):
        fleet = FleetSimulation(run_s=run_s, **sizes)
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def start_standing_job(self, fleet, tasks):
        """Start a job with two tasks a worker; return one of the workers."""
        fleet.submit(0, job(JOB, tasks=tasks, standing=True, worker_tasks_max=2))
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), tasks)
        return fleet.workers.starts[0][1]

    def count_running(self, fleet):
        return sum(len(worker.running) for worker in fleet.workers.workers.values())
