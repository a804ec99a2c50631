"""Time from the election of a leader to its first start, by link and stored jobs.

A daemon process reads the records of former leaders over a link of limited bandwidth,
and starts a job that was accepted before its election. Its processor is not limited.
"""

import json
import tempfile
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.server import Site

from dogwoodlever._fleet_job import JobPhase, JobState
from dogwoodlever._fleet_records import LEADER_KEY, encode, job_key
from dogwoodlever._fleet_types import Queue, Step, SubmittedJob, WorkerEntry
from standins.daemon_process import DaemonProcess
from standins.faulty_proxy import FaultyProxy
from standins.fleet import FakeWorkers, FleetRecords, server_record
from standins.fleet_http import FleetStoreResource, FleetWorkerResource
from standins.wire_store import WireStore

PAGE_ITEMS = 200
HOST = "127.77.0.2"
QUEUE = Queue("quotes", "desk.example", "/quotes/", "desk")
PAYLOAD_BYTES = 850
# Bandwidth of the link, jobs that have ended and jobs that have not.
SIZES = [
    (100.0, 500, 100),
    (5.0, 0, 500),
    (5.0, 500, 100),
    (5.0, 2_100, 300),
    (5.0, 7_300, 300),
]
RUN_S = 0.3
LIMIT_S = 60.0
POLL_S = 0.01


def _write_jobs(records: FleetRecords, ended: int, active: int) -> int:
    """Write jobs as former leaders leave them; return the bytes of their values."""
    steps = (Step(4, 500, 64, 0, 300), Step(8, 500, 64, 0, 300, after=(0,)))
    total_bytes = 0
    for number in range(ended + active):
        job_id = f"{number:016x}"
        job = SubmittedJob(job_id, QUEUE.name, "x" * PAYLOAD_BYTES, steps)
        if number < ended:
            state = JobState(job, QUEUE, 1, 0.0)
            state.phase = JobPhase.COMPLETED
            job = state.submission_to_keep()
        value = encode(job)
        records.write(job_key(job_id), value)
        total_bytes += len(value)
    return total_bytes


class Takeover:
    """Store, one worker and one daemon behind a slow link.

    Parameters
    ----------
    folder : Path
        Folder for the daemon's settings and log.
    link_mbps : float
        Bandwidth of the daemon's link from the store.
    workers : int
        Number of workers.
    """

    def __init__(self, folder: Path, link_mbps: float, workers: int = 1) -> None:
        self.records = FleetRecords(reactor)
        self.workers = FakeWorkers(reactor)
        route = {
            "name": QUEUE.name,
            "host": QUEUE.host,
            "prefix": QUEUE.prefix,
            "service": QUEUE.service,
        }
        document = {"version": 1, "routes": [route], "services": [{"name": "desk"}]}
        self.records.write("op/config", json.dumps(document).encode())
        self._listening = []
        for number in range(workers):
            self._add_worker(f"w{number}")
        store_port = self._serve(
            FleetStoreResource(WireStore(self.records, PAGE_ITEMS), reactor)
        )
        self._link = FaultyProxy(reactor, "127.0.0.1", store_port)
        self._link.bytes_per_s = link_mbps * 1e6 / 8
        self._daemon = DaemonProcess("vm0", HOST, self._link.port, folder)

    def _add_worker(self, worker_id: str) -> None:
        port = self._serve(
            FleetWorkerResource(self.workers, worker_id, reactor, lambda *_: None)
        )
        entry = WorkerEntry(
            worker_id, "desk", "127.0.0.1", port, "north",
            int(reactor.seconds() * 1000), False, 16_000, 64_000, 0, ("a", "r1"),
        )  # fmt: skip
        self.workers.add(entry, RUN_S)
        self.records.write(f"servers/{worker_id}", server_record(entry))

    def _serve(self, resource) -> int:
        site = Site(resource)
        site.noisy = False
        site.log = lambda _request: None
        listening = reactor.listenTCP(0, site, interface="127.0.0.1")
        self._listening.append(listening)
        return listening.getHost().port

    @inlineCallbacks
    def start_daemon(self):
        """Start the daemon; return a Deferred that fires once it is elected."""
        self._daemon.start()
        while self.records.read(LEADER_KEY) is None:
            yield deferLater(reactor, POLL_S)

    @inlineCallbacks
    def measure(self, is_reached):
        """Return a Deferred that fires with the seconds until `is_reached()`.

        It fires with None after `LIMIT_S`.
        """
        began_s = reactor.seconds()
        while not is_reached():
            if reactor.seconds() - began_s > LIMIT_S:
                return None
            yield deferLater(reactor, POLL_S)
        return reactor.seconds() - began_s

    @inlineCallbacks
    def close(self):
        """End the daemon and stop listening."""
        self._daemon.close()
        yield self._link.close()
        for listening in self._listening:
            yield listening.stopListening()


@inlineCallbacks
def _run():
    try:
        for link_mbps, ended, active in SIZES:
            with tempfile.TemporaryDirectory() as folder:
                takeover = Takeover(Path(folder), link_mbps)
                stored_bytes = _write_jobs(takeover.records, ended, active)
                yield takeover.start_daemon()
                starts = takeover.workers.starts
                took_s = yield takeover.measure(lambda starts=starts: starts)
                yield takeover.close()
            shown = "none" if took_s is None else f"{took_s:.2f}"
            print(
                f"takeover.{link_mbps:.0f}_mbps.{ended}_ended.{active}_active:"
                f" first_start_s={shown} stored_mb={stored_bytes / 1e6:.2f}",
                flush=True,
            )
    finally:
        reactor.stop()


def main() -> None:
    """Measure all sizes."""
    reactor.callWhenRunning(_run)
    reactor.run(installSignalHandlers=False)
