"""One malformed message or unexpected error affects nothing but itself."""

import unittest
from contextlib import ExitStack
from types import SimpleNamespace
from unittest.mock import Mock, patch

from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.logger import Logger

from dogwoodlever import _logs
from dogwoodlever._configuration_knowledge import ConfigurationKnowledge
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_records import JOBS_PREFIX, LEADER_KEY
from dogwoodlever._fleet_rpc import CREATE_METHOD, JOB_METHOD, UNSTORED_METHOD
from dogwoodlever._messages import RpcReply, RpcRequest
from dogwoodlever._peer_rpc import PeerRpc
from dogwoodlever.peers import PeerTransport
from tests.fleet_simulation import CONFIGURATION, FleetSimulation, job

JOB = "a" * 16


class RecordingTransport(PeerTransport):
    def __init__(self):
        self.sent = []

    def set_peers(self, addresses):
        pass

    def set_receiver(self, receiver):
        pass

    def send(self, member, message):
        self.sent.append((member, message))


def raise_error(_body):
    raise ValueError("unexpected")


class PeerRpcTest(unittest.TestCase):
    def test_caller_gets_a_reply_from_a_failing_handler(self):
        transport = RecordingTransport()
        rpc = PeerRpc(transport, Clock())
        rpc.register("sync", raise_error)
        rpc.register_deferred("deferred", lambda body: fail(ValueError("unexpected")))
        rpc.register_deferred("raises", raise_error)
        for number, method in enumerate(("sync", "deferred", "raises", "unknown")):
            with self.subTest(method):
                rpc.handle_message("peer", RpcRequest(number, method, b""))
                reply = ("peer", RpcReply(number, False, b""))
                self.assertEqual(transport.sent[-1], reply)


class FleetTest(unittest.TestCase):
    MALFORMED = (
        b"",
        b"\xff\xfe",
        b"\x93\x01",
        b"x" * 100,
        b"\x81\xa1x" + b"\x91" * 5_000 + b"\x90",
    )

    def start_fleet(self, **sizes):
        fleet = FleetSimulation(**sizes)
        fleet.run_for(1.0)
        return fleet

    def assert_serves(self, fleet, job_id=JOB):
        fleet.submit(0, job(job_id))
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(0, job_id), JobPhase.COMPLETED)

    def test_malformed_peer_message(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        for method in (CREATE_METHOD, JOB_METHOD, UNSTORED_METHOD):
            for body in self.MALFORMED:
                with self.subTest(method, body=body):
                    node = fleet.nodes[leader]
                    sender = fleet.nodes[(leader + 1) % 3].member
                    node.rpc._on_message(sender, RpcRequest(1, method, body))
        self.assert_serves(fleet)

    def test_malformed_reply_counts_as_none(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        caller = fleet.nodes[(leader + 1) % 3]
        for body in self.MALFORMED:
            with self.subTest(body=body):
                results = []
                call = caller.rpc.call(fleet.nodes[leader].member, JOB_METHOD, JOB)
                call.addCallback(results.append)
                number = caller.rpc._rpc._count
                reply = RpcReply(number, True, body)
                caller.rpc._on_message(fleet.nodes[leader].member, reply)
                self.assertEqual(results, [None])

    def test_unreadable_record_does_not_end_the_watch(self):
        fleet = self.start_fleet()
        for number, value in enumerate(self.MALFORMED):
            fleet.records.write(f"{JOBS_PREFIX}{number:016x}", value)
            fleet.records.write(f"servers/w{number}{number}", value)
        fleet.run_for(0.5)
        self.assert_serves(fleet)

    def test_unreadable_record_does_not_stop_a_successor(self):
        fleet = self.start_fleet()
        fleet.records.write(f"{JOBS_PREFIX}{1:016x}", b"\xff")
        first = fleet.leader()
        fleet.kill(first)
        fleet.run_for(4.0)
        reader = (first + 1) % 3
        fleet.submit(reader, job(JOB))
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(reader, JOB), JobPhase.COMPLETED)

    def test_unexpected_error_in_a_poll_does_not_end_the_polls(self):
        fleet = self.start_fleet(workers=1)
        runs = fleet.nodes[fleet.leader()].leader.workers.runs
        with patch.object(runs, "apply_poll", side_effect=KeyError("unexpected")):
            fleet.run_for(2.0)
        self.assert_serves(fleet)

    # Guards against a loop that any error but those of the platform ends for good:
    # no more polls, watches, tickets or candidates.
    def test_unexpected_error_of_a_client_ends_no_loop(self):
        for client, method in (
            ("worker_clients", "poll"),
            ("worker_clients", "start"),
            ("stores", "watch"),
            ("stores", "commit"),
            ("stores", "open_lease"),
            ("stores", "renew_lease"),
        ):
            with self.subTest(client, method=method):
                fleet = self.start_fleet()
                error = KeyError("unexpected")
                with ExitStack() as patches:
                    for target in getattr(fleet, client):
                        patches.enter_context(
                            patch.object(target, method, side_effect=error)
                        )
                    fleet.run_for(0.2)
                    fleet.records.remove(LEADER_KEY)
                    fleet.submit(0, job("b" * 16))
                    fleet.run_for(2.0)
                fleet.run_for(4.0)
                self.assert_serves(fleet)

    def test_unexpected_error_of_the_advice_service_ends_no_calls(self):
        advised = {"decision_ms": 50, "period_ms": 1, "valid_ms": 5_000}
        route = CONFIGURATION["routes"][0] | {"advice": advised}
        fleet = self.start_fleet(configuration=CONFIGURATION | {"routes": [route]})
        fleet.advice.allowed = set(fleet.workers.workers)
        with patch.object(fleet.advice, "advise", side_effect=KeyError("unexpected")):
            fleet.submit(0, job("b" * 16))
            fleet.run_for(1.0)
        self.assert_serves(fleet)

    # Guards against a version that another daemon has named and that is never read.
    def test_unexpected_error_of_a_read_ends_no_reads(self):
        clock, version, results = Clock(), [1], [KeyError("unexpected")]

        def read_newest():
            if results:
                raise results.pop()
            version[0] = 2
            return succeed(None)

        knowledge = ConfigurationKnowledge(
            lambda: SimpleNamespace(version=version[0]), None, clock, clock.seconds,
            Mock(), 2.0, read_newest,
        )  # fmt: skip
        knowledge.on_version_seen(2, "peer")
        clock.pump([0.1] * 30)
        self.assertEqual(version, [2])


class UnhandledErrorTest(unittest.TestCase):
    def test_errors_that_twisted_reports_are_logged(self):
        _logs.log_unhandled_errors()
        self.addCleanup(
            _logs.globalLogPublisher.removeObserver, _logs._log_unhandled_error
        )
        with patch.object(_logs, "log_event") as info:
            try:
                raise_error(None)
            except ValueError:
                Logger().failure("in a callback")
            Logger().info("not an error")
        lines = [str(call) for call in info.call_args_list]
        self.assertEqual(len(lines), 1)
        self.assertIn("error.unhandled", lines[0])
        self.assertIn("unexpected", lines[0])


if __name__ == "__main__":
    unittest.main()
