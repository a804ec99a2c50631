"""Guards a daemon against callers that don't behave.

Each test starts a daemon and its store as processes on loopback addresses and lets a
crowd of a fixed number of connections loose on the daemon. It checks what doesn't
depend on the machine's speed: that the process lives, that what it holds of memory and
descriptors stays under the bounds of its settings, and that ordinary callers, who try
again as callers do, get their answers while the crowd is there and after it has gone.
The figures of each test are appended to the file named by `CROWD_FIGURES`, if it is
set.
"""

import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from examples.local_cluster import find_free_ports
from standins.caller_crowd import Crowd, CrowdProcess, Form
from standins.daemon_process import CALLERS, READINESS, DaemonProcess
from standins.fleet_store_process import HOST, LIMITS, QUEUE_HOST, QUEUE_PREFIX
from standins.process_usage import UsageMeter, read_usage

RUNS_ALONE = True

MEMORY_MB = 128
DESCRIPTORS = 2_000
# Of a daemon that is to run out of them.
DESCRIPTORS_FEW = 400
# Time that a caller gives each of its tries, and all of them.
TRY_S = 3.0
WAIT_S = 45.0
START_S = 20.0
# Time in which a crowd has sent what it can.
CROWD_S = 40.0
# Time for which it holds its connections then, so that the daemon reads what was sent.
HOLD_S = 6.0
METRICS_PORT = 9464
BODY_BYTES = 250_000
KB = 1_000


def job_document(padded_bytes: int) -> bytes:
    """Return an ordinary job, padded with spaces to a size."""
    step = {"count": 1, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900}
    document = {"spec": "x" * 3_900, "steps": [step] * 12}
    return json.dumps(document).encode().ljust(padded_bytes)


def chunk_request(body: bytes, chunk_bytes: int) -> bytes:
    """Return a submission in chunks of one size."""
    starts = range(0, len(body), chunk_bytes)
    parts = (body[start : start + chunk_bytes] for start in starts)
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    head = f"POST {QUEUE_PREFIX}{1:016x} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
    return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n" % chunks


def length_request(body_bytes: int) -> bytes:
    """Return a submission of a known length."""
    head = f"POST {QUEUE_PREFIX}{2:016x} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
    length = b"Content-Length: %d\r\n\r\n" % body_bytes
    return head.encode() + length + job_document(body_bytes)


class UncooperativeCallersTest(unittest.TestCase):
    """One daemon, a crowd, and ordinary callers beside it."""

    def start(self, descriptors: int = DESCRIPTORS, is_limited: bool = False) -> None:
        """Start a store and a daemon and wait until callers get answers."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        (store_port,) = find_free_ports(1, HOST)
        store = subprocess.Popen(
            [sys.executable, "-m", "standins.fleet_store_process", str(store_port)]
        )
        self.addCleanup(store.wait)
        self.addCleanup(store.kill)
        # The metrics port is the same for all daemons.
        host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.2"
        self.descriptors = descriptors
        self.daemon = DaemonProcess(
            "vm0",
            host,
            store_port,
            Path(folder.name),
            extra_settings=f"[limits]\nmemory_mb = {MEMORY_MB}\n"
            f"max_fds = {descriptors}\n",
            descriptors_max=descriptors if is_limited else None,
        )
        self.addCleanup(self.daemon.close)
        self.daemon.start()
        self.job_number = 1 << 40
        self.assertEqual(self.ask_count(START_S), 200, "count before the crowd")

    def ask(self, method: str, path: str, body: bytes, wait_s: float) -> int | str:
        """Return the last status of a request that is tried for `wait_s`."""
        end_s = time.monotonic() + wait_s
        port = self.daemon.ports[CALLERS]
        while True:
            connection = http.client.HTTPConnection(self.daemon.host, port, TRY_S)
            try:
                connection.request(method, path, body, {"Host": QUEUE_HOST})
                response = connection.getresponse()
                response.read()
                status = response.status
                is_to_retry = status in (502, 503, 504)
            except (OSError, http.client.HTTPException) as error:
                status, is_to_retry = repr(error), True
            finally:
                connection.close()
            if not is_to_retry or time.monotonic() > end_s:
                return status
            time.sleep(0.2)

    def send_raw(self, request: bytes) -> int:
        """Return the status of a request that is sent once, as it stands."""
        address = self.daemon.host, self.daemon.ports[CALLERS]
        with socket.create_connection(address, WAIT_S) as connection:
            connection.sendall(request)
            response = http.client.HTTPResponse(connection)
            response.begin()
            return response.status

    def ask_count(self, wait_s: float = WAIT_S) -> int | str:
        """Return the status of a count of pending jobs."""
        return self.ask("GET", QUEUE_PREFIX, b"", wait_s)

    def ask_submission(self) -> int | str:
        """Return the status of an ordinary job."""
        self.job_number += 1
        path = f"{QUEUE_PREFIX}{self.job_number:016x}"
        return self.ask("POST", path, job_document(5 * KB), WAIT_S)

    def ask_readiness(self) -> int | str:
        """Return the status of the platform's request, which it makes each second."""
        end_s = time.monotonic() + WAIT_S
        port = self.daemon.ports[READINESS]
        while True:
            connection = http.client.HTTPConnection(self.daemon.host, port, TRY_S)
            try:
                connection.request("GET", "/-/readiness")
                status = connection.getresponse().status
            except (OSError, http.client.HTTPException) as error:
                status = repr(error)
            finally:
                connection.close()
            if status == 200 or time.monotonic() > end_s:
                return status
            time.sleep(1.0)

    def check(self, crowd: Crowd, port: int | None = None) -> None:
        """Let a crowd loose; check the process, its bounds and ordinary callers."""
        port = port or self.daemon.ports[CALLERS]
        pid, host = self.daemon.process.pid, self.daemon.host
        idle = read_usage(pid, host, self.daemon.temporary_folder)
        meter = UsageMeter(pid, host, self.daemon.temporary_folder)
        self.addCleanup(meter.close)
        process = CrowdProcess(crowd, host, port)
        self.addCleanup(process.close)
        opened = process.wait_for_report(CROWD_S)
        # A caller that got no answer in all its tries isn't followed by others.
        beside = {"count": self.ask_count()}
        if beside["count"] == 200:
            beside["submission"] = self.ask_submission()
            beside["readiness"] = self.ask_readiness()
        sent = process.wait_for_report(CROWD_S)
        time.sleep(HOLD_S)
        if beside["count"] == 200:
            beside["count of the complete crowd"] = self.ask_count()
        process.close()
        after = {"count": self.ask_count()}
        if after["count"] == 200:
            after["submission"] = self.ask_submission()
            after["readiness"] = self.ask_readiness()
        meter.close()
        seen = (
            f"idle {idle}; peak {meter.peak}, most descriptors"
            f" {meter.descriptors_max}; crowd {opened}, {sent};"
            f" beside {beside}; after {after}; running {self.daemon.is_running}"
        )
        if os.environ.get("CROWD_FIGURES"):
            with open(os.environ["CROWD_FIGURES"], "a") as figures:
                figures.write(f"{self.id()}: {seen}\n")
        faults = []
        if not self.daemon.is_running:
            faults.append("the process ended")
        if meter.peak.held_bytes > MEMORY_MB * 1_000_000:
            faults.append(f"holds more than {MEMORY_MB} MB")
        if meter.descriptors_max >= self.descriptors:
            faults.append(f"uses {self.descriptors} descriptors")
        if meter.error or not meter.samples:
            faults.append(f"not sampled: {meter.error}")
        if set(beside.values()) != {200}:
            faults.append("an ordinary caller beside the crowd got no answer")
        if set(after.values()) != {200}:
            faults.append("an ordinary caller after the crowd got no answer")
        self.assertEqual(faults, [], seen)

    # Bodies of unknown length were kept in temporary files, without a bound of the sum.
    def test_bodies_in_large_chunks_that_stop_short(self) -> None:
        self.start()
        self.check(Crowd(Form.CHUNKED, 500, BODY_BYTES, 65_536))

    # Each chunk of a byte was decoded in turn, seconds without a turn of the loop.
    def test_bodies_in_chunks_of_a_byte(self) -> None:
        self.start()
        self.check(Crowd(Form.CHUNKED, 300, 100 * KB, 1))

    # Small chunks were received faster than decoded, and kept in files then.
    def test_bodies_in_chunks_of_16_bytes(self) -> None:
        self.start()
        self.check(Crowd(Form.CHUNKED, 600, 200 * KB, 16))

    # A body took two descriptors, and no descriptor was kept free for others.
    def test_more_bodies_than_descriptors(self) -> None:
        self.start(DESCRIPTORS_FEW, is_limited=True)
        self.check(Crowd(Form.CHUNKED, 500, 2 * KB, 500, trickles=True))

    # A header could take for ever, at a byte each second.
    def test_headers_that_never_end(self) -> None:
        self.start(DESCRIPTORS_FEW, is_limited=True)
        self.check(Crowd(Form.HEADER, 500, 12 * KB, trickles=True))

    # Bodies of a known length were kept in temporary files from 100 kB on.
    def test_bodies_of_a_known_length_that_stop_short(self) -> None:
        self.start()
        self.check(Crowd(Form.LENGTH, 500, BODY_BYTES))

    def test_pipelined_requests_whose_answers_are_not_read(self) -> None:
        self.start()
        crowd = Crowd(Form.PIPELINED, 300, 300 * KB, reads=False, path="/quotes/ID")
        self.check(crowd)

    # Some 11,000 steps, which are decoded before the job is refused.
    def test_jobs_of_many_small_steps(self) -> None:
        self.start()
        self.check(Crowd(Form.STEPS, 60, BODY_BYTES))

    # Some 1,000 steps, as many as are accepted.
    def test_jobs_of_as_many_steps_as_are_accepted(self) -> None:
        self.start()
        self.check(Crowd(Form.STEPS, 300, 22 * KB))

    # Connections that send nothing took all descriptors for a minute.
    def test_idle_connections_up_to_the_descriptors(self) -> None:
        self.start(DESCRIPTORS_FEW, is_limited=True)
        self.check(Crowd(Form.IDLE, 500))

    # Each byte began the idle time-out anew.
    def test_bodies_that_go_on_with_a_byte_each_second(self) -> None:
        self.start()
        self.check(Crowd(Form.CHUNKED, 500, BODY_BYTES, 65_536, trickles=True))

    # The port of the platform's readiness requests had no bound of connections.
    def test_headers_that_never_end_at_the_readiness_port(self) -> None:
        self.start(DESCRIPTORS_FEW, is_limited=True)
        crowd = Crowd(Form.HEADER, 500, 1 * KB, trickles=True, path="/-/readiness")
        self.check(crowd, self.daemon.ports[READINESS])

    # The port of the metrics had no bound of connections.
    def test_headers_that_never_end_at_the_metrics_port(self) -> None:
        self.start(DESCRIPTORS_FEW, is_limited=True)
        crowd = Crowd(Form.HEADER, 500, 1 * KB, trickles=True, path="/metrics")
        self.check(crowd, METRICS_PORT)

    # A bound that refuses these isn't one against callers that don't behave.
    def test_callers_alone_inside_the_limits(self) -> None:
        self.start()
        job = job_document(5 * KB)
        for name, request in (
            ("a job in chunks of a byte", chunk_request(job, 1)),
            ("a body of the greatest size", length_request(LIMITS["max_body_bytes"])),
        ):
            with self.subTest(name):
                self.assertEqual(self.send_raw(request), 200)
        self.assertTrue(self.daemon.is_running)


if __name__ == "__main__":
    unittest.main()
