"""Daemon processes, faulty links, store and workers of a fault soak."""

import os
from pathlib import Path

from twisted.internet import reactor
from twisted.web.server import Site

from dogwoodlever._fleet_records import LEADER_KEY, decode_leader
from dogwoodlever._fleet_types import WorkerEntry
from standins.acks_check import Scope
from standins.configuration_check import APPLY_S, ConfigurationCheck
from standins.daemon_process import DaemonProcess
from standins.faulty_proxy import FaultyProxy
from standins.fleet import FleetRecords, server_record
from standins.fleet_http import FleetStoreResource, FleetWorkerResource
from standins.invalid_versions import (
    INVALID_BYTES,
    INVALID_VERSIONS,
    UNUSUAL_VALID_VERSIONS,
    encode_version,
)
from standins.queue_places import USUAL_HOST, format_place, queue_at
from standins.wire_store import WireStore
from tests.soak_checker import ATTEMPTS_MAX, SoakChecker, SoakWorker

PAGE_ITEMS = 200
QUEUE_HOST = USUAL_HOST
QUEUE = "quotes"
WORKER_CORES_MILLI = 4_000
# Delay until the platform removes the entry of a silent worker.
ENTRY_EXPIRY_S = 1.5
# Higher than any token of a leader, so that a worker with it refuses all orders.
HIGHEST_FENCING_TOKEN = 1 << 60
# What acknowledgements are judged by: disturbances of the store and of daemons. Those
# of links, and answers that are lost, are passed on where they begin and end.
SCOPES = {
    "stopped": Scope.PROCESS,
    "frozen": Scope.PROCESS,
    "busy": Scope.STORE,
    "slow": Scope.STORE,
}


class SoakSite:
    """Store, workers and daemons, with a faulty proxy before each server.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    daemons, workers : int
        Number of daemons and of workers.
    """

    def __init__(self, folder: Path, daemons: int, workers: int) -> None:
        self.records = FleetRecords(reactor)
        self.store = FleetStoreResource(WireStore(self.records, PAGE_ITEMS), reactor)
        self.checker = SoakChecker(reactor)
        self.version = 0
        self.configurations = ConfigurationCheck()
        # The newest valid version in its usual form.
        self._document: dict = {}
        self._boots = 0
        self._listening = []
        self.worker_resources: dict[str, FleetWorkerResource] = {}
        self.worker_links: dict[str, FaultyProxy] = {}
        self.store_links: dict[str, FaultyProxy] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.configure()
        for number in range(workers):
            self._add_worker(f"w{number}")
        store_port = self._serve(self.store)
        for number in range(daemons):
            self._add_daemon(f"vm{number}", number, store_port, folder)

    def _serve(self, resource) -> int:
        site = Site(resource)
        site.noisy = False
        site.log = lambda _request: None
        listening = reactor.listenTCP(0, site, interface="127.0.0.1")
        self._listening.append(listening)
        return listening.getHost().port

    def _add_worker(self, worker_id: str) -> None:
        resource = FleetWorkerResource(
            self.checker, worker_id, reactor, self.checker.find_refusal
        )
        self.worker_resources[worker_id] = resource
        link = FaultyProxy(reactor, "127.0.0.1", self._serve(resource))
        self.worker_links[worker_id] = link
        self.start_worker(worker_id)

    def _add_daemon(self, name, number, store_port, folder) -> None:
        link = FaultyProxy(reactor, "127.0.0.1", store_port)
        self.store_links[name] = link
        # All daemons use the same metrics port, so each gets its own address.
        host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number + 2}"
        self.daemons[name] = DaemonProcess(name, host, link.port, folder)

    def configure(
        self,
        extra_queues: tuple[str, ...] = (),
        fields: dict[str, dict] | None = None,
        form: str = "",
    ) -> None:
        """Write the next version of the configuration.

        Some queues have other fields, and the version may be of an unusual form.
        """
        self.version += 1
        routes = [
            {
                "name": name,
                "host": QUEUE_HOST,
                "prefix": f"/{name}/",
                "service": "desk",
                "max_attempts": ATTEMPTS_MAX,
                "stretch": 2.0,
                "slo_ms": 500,
                **(fields or {}).get(name, {}),
            }
            for name in (QUEUE, *extra_queues)
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "desk", "enforces_capacity": True}],
        }
        now_s, acks = reactor.seconds(), self.checker.acks
        self._document = document
        if form:
            document = UNUSUAL_VALID_VERSIONS[form](document)
            self.configurations.add_form(now_s, f"valid: {form}")
        self.records.write("op/config", encode_version(document))
        places = [format_place(r["host"], r["prefix"]) for r in document["routes"]]
        self.configurations.add_version(self.version, now_s, places)
        # Without its queue a job cannot be cancelled.
        if QUEUE in map(queue_at, places):
            acks.end_disturbance(Scope.QUEUE, "absent", now_s + APPLY_S, QUEUE)
        else:
            acks.begin_disturbance(Scope.QUEUE, "absent", now_s, QUEUE)

    def write_invalid(self, form: str) -> None:
        """Write a version that must not be put into force."""
        self.version += 1
        self.configurations.add_invalid(reactor.seconds(), form)
        document = self._document | {"version": self.version}
        content = (
            INVALID_BYTES[form]
            if form in INVALID_BYTES
            else encode_version(INVALID_VERSIONS[form](document))
        )
        self.records.write("op/config", content)

    def start_worker(self, worker_id: str) -> None:
        """Start a new incarnation of a worker, without runs of the previous one."""
        self._boots += 1
        entry = WorkerEntry(
            worker_id, "desk", "127.0.0.1", self.worker_links[worker_id].port, "north",
            int(reactor.seconds() * 1000) + self._boots, False, WORKER_CORES_MILLI,
            16_000, 0, ("a", "r1"),
        )  # fmt: skip
        worker = SoakWorker(entry, reactor.seconds())
        # Every second incarnation has a slow clock, within the platform's tolerance.
        worker.clock_rate = (1.0, 0.985)[self._boots % 2]
        self.checker.workers[worker_id] = worker
        self.write_worker_state(worker_id, "ready")

    def stop_worker(self, worker_id: str) -> None:
        """Stop a worker at once; its entry is removed after `ENTRY_EXPIRY_S`."""
        worker = self.checker.workers[worker_id]
        worker.running.clear()
        incarnation = worker_id, worker.entry.started_at_ms
        self.checker.acks.lose(*incarnation, reactor.seconds())
        # Refuses orders that were delayed until after the stop.
        worker.fencing_token = HIGHEST_FENCING_TOKEN
        reactor.callLater(ENTRY_EXPIRY_S, self._remove_entry, worker)

    def _remove_entry(self, worker: SoakWorker) -> None:
        if self.checker.workers[worker.entry.worker_id] is worker:
            self.records.remove(f"servers/{worker.entry.worker_id}")

    def write_worker_state(self, worker_id: str, state: str) -> None:
        """Write a worker's entry with the given state."""
        entry = self.checker.workers[worker_id].entry
        self.records.write(f"servers/{worker_id}", server_record(entry, state))

    def disturb(self, cause: str, *names: str) -> None:
        """Note that some daemons, or all without a name, are out of contact."""
        now_s, acks = reactor.seconds(), self.checker.acks
        for name in names or (None,):
            self.configurations.begin_disturbance(cause, now_s, name)
            if cause in SCOPES:
                acks.begin_disturbance(SCOPES[cause], cause, now_s, name or "")

    def calm(self, cause: str, *names: str) -> None:
        """Note the end of a disturbance."""
        now_s, acks = reactor.seconds(), self.checker.acks
        for name in names or (None,):
            self.configurations.end_disturbance(cause, now_s, name)
            if cause in SCOPES:
                acks.end_disturbance(SCOPES[cause], cause, now_s, name or "")

    def note_losses(self) -> None:
        """Note for which time the store loses answers, and workers those to starts."""
        self._note_loss(Scope.STORE, "", bool(self.store.answers_to_lose))
        for name, resource in self.worker_resources.items():
            self._note_loss(Scope.WORKER, name, bool(resource.start_delays_s))

    def _note_loss(self, scope: Scope, name: str, is_losing: bool) -> None:
        acks = self.checker.acks
        note = acks.begin_disturbance if is_losing else acks.end_disturbance
        note(scope, "lost", reactor.seconds(), name)

    def start_daemon(self, name: str) -> None:
        """Start a daemon unless it runs."""
        if self.daemons[name].is_running:
            return
        self.daemons[name].start()
        self.disturb("stopped", name)
        self.calm("stopped", name)

    def leader(self) -> str:
        """Return the VM of the leader, or an empty string."""
        record = self.records.read(LEADER_KEY)
        if record is None:
            return ""
        member = decode_leader(record.value).member
        return next((n for n in self.daemons if member.startswith(f"{n}@")), "")

    def close(self):
        """End all processes and stop listening."""
        for daemon in self.daemons.values():
            daemon.close()
        for link in (*self.worker_links.values(), *self.store_links.values()):
            link.close()
        for listening in self._listening:
            listening.stopListening()
