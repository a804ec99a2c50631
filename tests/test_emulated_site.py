"""Tests of what the emulator does as the platform's pages tell."""

import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from twisted.internet import reactor
from twisted.internet.task import Clock

from emulator import cpu_quota
from emulator.__main__ import CLOCK_FOLDER
from emulator.cpu_quota import CpuQuota, read_cpu_s
from emulator.faults import (
    LEADER_LOSSES,
    RETURN_CUT_PAUSE_S,
    WORKER_HITS,
    SiteFaults,
    draw_series,
)
from emulator.process import HttpPort, next_retransmission_s
from emulator.store import EmulatedRecords
from standins.rate_limit import RateLimit

# Bounds a wait for the kernel; a test that needs it fails.
WAIT_S = 30.0


class RateLimitTest(unittest.TestCase):
    # Guards against an emulated store that accepts any number of calls a second.
    def test_calls_within_the_limit(self):
        table = (
            # limit a second; time and calls of each attempt; those that are accepted
            (3, ((0.0, 1),) * 4, 3),
            (3, ((0.0, 1),) * 3 + ((0.3, 1), (0.4, 1)), 4),
            (3, ((0.0, 1),) * 3 + ((60.0, 1),) * 4, 6),
            (1, ((0.0, 0.1),) * 12, 10),
            (0, ((0.0, 1),) * 9, 9),
        )
        for per_s, attempts, accepted in table:
            with self.subTest(per_s=per_s, attempts=attempts):
                clock = Clock()
                limit = RateLimit(per_s, clock.seconds)
                results = []
                for at_s, calls in attempts:
                    clock.advance(at_s - clock.seconds())
                    results.append(limit.take(calls))
                self.assertEqual(sum(results), accepted)


class StaleReadTest(unittest.TestCase):
    # Guards against stale reads that are never stale.
    def test_stale_reads(self):
        with mock.patch("emulator.store.time.monotonic") as monotonic:
            records = EmulatedRecords(Clock())
            for at_s, value in ((10.0, b"1"), (12.0, b"2"), (14.0, b"3")):
                monotonic.return_value = at_s
                records.write("op/config", value)
            monotonic.return_value = 15.0
            for age_s, expected in (
                (0.0, b"3"), (1.0, b"3"), (1.5, b"2"), (3.5, b"1"), (9.0, b"3"),
            ):  # fmt: skip
                with self.subTest(age_s=age_s):
                    found = records.read_stale("op/config", age_s)
                    self.assertEqual(found.value, expected)
            records.forget_history()
            self.assertEqual(records.read_stale("op/config", 3.5).value, b"3")
            self.assertIsNone(records.read_stale("op/other", 1.0))


class ClockTest(unittest.TestCase):
    # Guards against clock steps that the daemons of an emulation do not see.
    def test_time_of_day_is_shifted(self):
        program = "import time; print(time.time(), time.time_ns(), time.monotonic())"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "clock")
            path.write_bytes(struct.pack("<d", 1e6))
            variables = {
                "PYTHONPATH": str(CLOCK_FOLDER), "EMULATOR_CLOCK_FILE": str(path),
            }  # fmt: skip
            shown = subprocess.run(
                [sys.executable, "-c", program], env=os.environ | variables,
                capture_output=True, text=True, check=True,
            )  # fmt: skip
        time_s, time_ns, steady_s = map(float, shown.stdout.split())
        self.assertAlmostEqual(time_s, time.time() + 1e6, delta=60.0)
        self.assertAlmostEqual(time_ns / 1e9, time_s, delta=60.0)
        self.assertAlmostEqual(steady_s, time.monotonic(), delta=60.0)


class SeriesTest(unittest.TestCase):
    # Guards against series that their seed does not repeat, and against ways to lose
    # the leader or the workers that are never drawn, in either order.
    def test_series_of_seeds(self):
        drawn = [draw_series(random.Random(seed)) for seed in range(400)]
        again = [draw_series(random.Random(seed)) for seed in range(400)]
        self.assertEqual(drawn, again)
        self.assertEqual({len(rows) for rows in drawn}, {1, 2})
        rows = [series for rows in drawn for series in rows]
        self.assertEqual(
            {(series.loss, series.hit) for series in rows},
            {(loss, hit) for loss in LEADER_LOSSES for hit in WORKER_HITS},
        )
        orders = {series.loss_after_s < series.hit_after_s for series in rows}
        self.assertEqual(orders, {False, True})
        self.assertEqual({series.is_dark for series in rows}, {False, True})
        self.assertEqual({series.beats_at_once for series in rows}, {False, True})
        self.assertEqual({series.late_share for series in rows}, {0.0, 0.3})
        for series in rows:
            self.assertTrue(0.2 <= series.down_s <= 1.0, series)
            for after_s in (series.loss_after_s, series.hit_after_s):
                self.assertTrue(0.2 <= after_s <= 3.0, series)


class ReturnCutTest(unittest.TestCase):
    # Guards against a series of another kind than workers that return and are cut off
    # just after the leader's loss, two of them at once, and a leader whose daemon stays
    # away as its process outlasts SIGKILL.
    def test_events_of_a_series(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                clock, site, events = Clock(), mock.Mock(), []

                def record(name, *args, clock=clock, events=events, **fields):
                    time_s = round(clock.seconds() - RETURN_CUT_PAUSE_S, 3)
                    events.append((time_s, name, *map(str, args), *fields.values()))

                site.worker_count, site.leader_number = 24, lambda: 2
                site.send_workers = lambda name, numbers, r=record, **fields: r(
                    name, sorted(numbers), **fields
                )
                leader = mock.Mock()
                # The former process outlasts the signal.
                is_running = mock.PropertyMock(side_effect=[True, True, False])
                type(leader).is_running = is_running
                leader.signal = lambda number, r=record: r("signal", int(number))
                leader.start = lambda r=record: r("start leader")
                site.daemons = [None, None, leader]
                faults = SiteFaults(site, seed, ("return_cut",), 1.0, interval_s=2.0)
                with mock.patch("emulator.faults.reactor", clock):
                    faults.run(8.0)
                    while calls := clock.getDelayedCalls():
                        next_s = min(call.getTime() for call in calls)
                        clock.advance(next_s - clock.seconds())
                self.assertGreater(faults.counts["return_cut"], 1)
                restarts = [row for row in events if row[1] == "start leader"]
                self.assertEqual(len(restarts), 1)
                events.remove(restarts[0])
                self.assertTrue(2.7 <= restarts[0][0] <= 2.9, restarts)
                workers = events[0][2]
                self.assertIn(
                    workers, [str(list(range(zone, 24, 3))) for zone in range(3)]
                )
                kill = str(int(signal.SIGKILL))
                self.assertEqual(
                    events,
                    [
                        (0.0, "stop", workers, True),
                        (0.6, "start", workers, True, False),
                        (2.0, "signal", kill),
                        (2.6, "cut", workers, "silent"),
                        (11.6, "cut", workers, "none"),
                        (11.6, "disturb", workers, 0.0),
                    ],
                )


class WorkerPortTest(unittest.TestCase):
    # Guards against a next incarnation that gets what was sent on a connection to the
    # former one, or that does not get what waits for a connection meanwhile.
    def test_who_gets_a_request(self):
        request = b"GET /-/hold HTTP/1.1\r\n\r\n"
        for is_dark in (False, True):
            with (
                self.subTest(is_dark=is_dark),
                socket.socket() as former,
                socket.socket() as waiting,
            ):
                incarnation, served = ["former"], []
                port = HttpPort(
                    lambda _, now=incarnation, log=served: log.append(now[-1])
                )
                self.addCleanup(self._close, port)
                former.connect(("127.0.0.1", port.port))
                former.sendall(request)
                self._react_until(lambda log=served: log)
                if is_dark:
                    port.darken()
                else:
                    port.refuse()
                incarnation.append("next")
                if is_dark:
                    former.sendall(request)
                    waiting.setblocking(False)
                    waiting.connect_ex(("127.0.0.1", port.port))
                    self.assertFalse(select.select([], [waiting], [], 0)[1])
                else:
                    with self.assertRaises(ConnectionRefusedError):
                        waiting.connect(("127.0.0.1", port.port))
                reactor.iterate(0.01)
                self.assertEqual(served, ["former"])
                port.listen()
                self._react_until(lambda s=former: select.select([s], [], [], 0)[0])
                self.assertRaises(ConnectionError, former.recv, 1)
                if is_dark:
                    self._react_until(lambda port=port: port.connections)
                    waiting.sendall(request)
                    self._react_until(lambda log=served: len(log) > 1)
                    self.assertEqual(served, ["former", "next"])

    # Guards against a return that clients learn of at once: a machine that lost power
    # resets a connection of before only when it gets a packet on it.
    def test_connections_to_a_machine_that_lost_power(self):
        request = b"GET /-/hold HTTP/1.1\r\n\r\n"
        for name, sends_before, sends_after, is_reset in (
            ("idle", False, False, False),
            ("a request after the return", False, True, True),
            ("a request before it is sent again", True, False, True),
            ("requests before and after it", True, True, True),
        ):
            with self.subTest(name), socket.socket() as client:
                clock, served = Clock(), []
                port = HttpPort(served.append, clock=clock)
                self.addCleanup(self._close, port)
                client.connect(("127.0.0.1", port.port))
                self._react_until(lambda port=port: port.connections)
                (connection,) = port.connections
                port.darken()
                if sends_before:
                    client.sendall(request)
                    self._react_until(lambda c=connection: c.has_lost_bytes)
                clock.advance(0.3)
                port.listen()
                self.assertTrue(port.connections)
                clock.advance(0.2)
                self.assertTrue(port.connections)
                if sends_after:
                    client.sendall(request)
                    self._react_until(lambda port=port: not port.connections)
                clock.advance(0.2)
                for _ in range(3):
                    reactor.iterate(0.01)
                self.assertEqual(not port.connections, is_reset)
                self.assertEqual(served, [])

    def test_times_of_retransmissions(self):
        for sent_s, now_s, expected_s in (
            (1.0, 1.0, 1.2), (1.0, 1.1, 1.2), (1.0, 1.3, 1.6), (1.0, 1.7, 2.4),
            (1.0, 2.5, 4.0),
        ):  # fmt: skip
            with self.subTest(now_s=now_s):
                next_s = next_retransmission_s(sent_s, now_s)
                self.assertAlmostEqual(next_s, expected_s)

    def _close(self, port: HttpPort) -> None:
        port.refuse()
        self._react_until(lambda: not port.connections)
        port._reservation.close()

    def _react_until(self, condition) -> None:
        until_s = time.monotonic() + WAIT_S
        while True:
            reactor.iterate(0.01)
            if condition():
                return
            self.assertLess(time.monotonic(), until_s)


class CpuQuotaTest(unittest.TestCase):
    # Guards against a quota that never acts, one that lets nobody run again, and one
    # that wakes a daemon which a fault has frozen.
    def test_daemons_are_held_to_their_share(self):
        for name, is_frozen, used_s, expected in (
            ("below its share", False, 0.002, []),
            ("above its share", False, 0.006, [signal.SIGSTOP, signal.SIGCONT]),
            ("frozen meanwhile", True, 0.006, [signal.SIGSTOP]),
        ):
            with self.subTest(name):
                daemon = mock.Mock(is_running=True, is_frozen=is_frozen)
                daemon.process.pid = 7
                quota = CpuQuota(lambda daemon=daemon: [daemon], 0.05)
                used = iter((1.0, 1.0 + used_s, 1.0 + used_s, 1.0 + used_s))
                with (
                    mock.patch.object(
                        cpu_quota, "read_cpu_s", lambda _, u=used: next(u)
                    ),
                    mock.patch.object(cpu_quota.time, "monotonic") as monotonic,
                ):
                    for monotonic.return_value in (10.01, 10.05, 10.09, 10.11):
                        quota._check()
                sent = [call.args[0] for call in daemon.process.send_signal.mock_calls]
                self.assertEqual(sent, expected)

    def test_processor_time_of_a_process(self):
        before_s = read_cpu_s(os.getpid())
        sum(range(2_000_000))
        self.assertGreater(read_cpu_s(os.getpid()), before_s)
        self.assertEqual(read_cpu_s(2**22 + 1), 0.0)


if __name__ == "__main__":
    unittest.main()
