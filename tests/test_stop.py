"""Daemons that stop answer what callers send over open connections, and hand over."""

import itertools
import unittest

from twisted.internet.testing import StringTransport

from dogwoodlever._bounded_site import BoundedSite
from dogwoodlever._fleet_node import BALANCER_DETECTION_S, GRACE_FRACTION
from dogwoodlever._fleet_records import (
    cancel_key,
    encode,
    job_key,
)
from dogwoodlever._fleet_rpc import PENDING_METHOD
from dogwoodlever._request_limits import RequestLimits
from standins.fake_site import FakeSite
from tests.fleet_simulation import JOB, STEP_S, FleetSimulation, job
from tests.site_simulation import LIMITS
from tests.sites import make_site
from tests.test_workspace_keys import BODY, HOST, call

GRACE_S = 6.0
END_S = GRACE_S * GRACE_FRACTION
LATE_S = 3.5
REQUEST_INTERVAL_S = 0.05
METHODS = {"submit": b"POST", "read": b"GET", "cancel": b"DELETE", "count": b"GET"}
GET = f"GET /quotes/{JOB} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
POST = GET.replace(b"GET", b"POST").replace(
    b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


def keep(_fleet, _stopping, _other):
    """Change nothing."""


def silence_leader(fleet, _stopping, other):
    fleet.clocks[other].freeze()


def stop_leader(fleet, _stopping, other):
    fleet.nodes[other].stop()


def silence_store(fleet, stopping, _other):
    fleet.stores[stopping].is_down = True


def lose_answers(fleet, stopping, _other):
    fleet.stores[stopping].answers_to_lose = 1_000


def delay_write(fleet, stopping, _other):
    fleet.stores[stopping].commit_delay_s = 0.6


def silence_all(fleet, stopping, other):
    silence_store(fleet, stopping, other)
    silence_leader(fleet, stopping, other)


class StopTest(unittest.TestCase):
    # name, times of requests after SIGTERM
    REQUESTS = [
        ("none", ()),
        ("long before the end", (0.5,)),
        ("just before the end", (BALANCER_DETECTION_S - 0.02,)),
        (
            "while the daemon waits for others",
            (BALANCER_DETECTION_S - 0.02, BALANCER_DETECTION_S + 0.04),
        ),
        (
            "one after the other until the grace period is over",
            tuple(0.2 * number for number in range(1, 24)),
        ),
    ]

    # Guards against a request that is read just before the process ends and gets no
    # answer.
    def test_requests_are_answered_before_the_end(self):
        for name, times_s in self.REQUESTS:
            with self.subTest(name):
                fleet = FleetSimulation(daemons=2)
                fleet.run_for(1.0)
                node = fleet.nodes[1 - fleet.leader()]
                stopped = []
                node.on_stopped = lambda f=fleet, s=stopped: s.append(f.clock.seconds())
                began_s = fleet.clock.seconds()
                node.stop()
                requests = []
                for time_s in times_s:
                    fleet.run_for(began_s + time_s - fleet.clock.seconds())
                    self.assertEqual(stopped, [])
                    requests.append(call(node, b"GET", "/quotes/" + JOB))
                fleet.run_for(GRACE_S - (fleet.clock.seconds() - began_s))
                self.assertEqual(len(stopped), 1)
                self.assertLess(stopped[0] - began_s, END_S + 0.1)
                for request in requests:
                    self.assertTrue(request.responseCode)

    # name, what fails late in the grace period, whether the leader is the one to stop
    FAULTS = [
        ("none", keep, False),
        ("a leader without followers", silence_leader, True),
        ("the leader does not reply", silence_leader, False),
        ("the leader stops too", stop_leader, False),
        ("the store does not respond", silence_store, False),
        ("responses of the store are lost", lose_answers, False),
        ("writes take effect later, without a response", delay_write, False),
        ("neither responds", silence_all, False),
    ]

    # Guards against a request that waits for the leader or the store when the process
    # ends, and gets no answer.
    def test_late_requests_are_answered_before_the_end(self):
        for name, fail, is_leader in self.FAULTS:
            for kind in METHODS:
                with self.subTest(name, kind=kind):
                    self.play(kind, fail, is_leader)

    def play(self, kind, fail, is_leader):
        """Send requests of a kind from SIGTERM to the end; check their answers."""
        fleet = FleetSimulation(daemons=2, workers=0)
        fleet.run_for(1.0)
        stopping = fleet.leader() if is_leader else 1 - fleet.leader()
        node = fleet.nodes[stopping]
        stopped = []
        node.on_stopped = lambda: stopped.append(fleet.clock.seconds())
        began_s = fleet.clock.seconds()
        node.stop()
        requests = {}
        while not stopped:
            if fleet.clock.seconds() - began_s > LATE_S:
                fail(fleet, stopping, 1 - stopping)
            job_id = f"{len(requests):016x}"
            if kind != "submit":
                fleet.records.write(job_key(job_id), encode(job(job_id)))
            path = "/quotes/" if kind == "count" else "/quotes/" + job_id
            requests[job_id] = call(node, METHODS[kind], path, body=BODY)
            fleet.run_for(REQUEST_INTERVAL_S)
        self.assertAlmostEqual(stopped[0] - began_s, END_S, delta=0.02)
        statuses = {job_id: r.responseCode for job_id, r in requests.items()}
        self.assertNotIn(None, statuses.values())
        fleet.run_for(2.0)
        make_key = {"submit": job_key, "cancel": cancel_key}.get(kind)
        if make_key is None:
            self.assertLessEqual(set(statuses.values()), {200, 503})
            return
        self.assertLessEqual(set(statuses.values()), {200, 503, 504})
        for job_id, status in statuses.items():
            is_written = make_key(job_id) in fleet.records.records
            self.assertIn(status, {504, 200 if is_written else 503}, job_id)

    # name, what arrives before SIGTERM, and late in the grace period
    CONNECTIONS = [
        ("new", b"", GET),
        ("kept open", GET, GET),
        ("request in parts", POST[:-5], POST[-5:]),
        ("two requests at once", b"", GET + GET),
        ("second request behind the first", b"", POST + GET),
    ]

    # Guards against a connection whose last request gets no answer when the process
    # ends, whenever it was opened.
    def test_connections_are_answered_before_the_end(self):
        for name, before, late in self.CONNECTIONS:
            with self.subTest(name):
                fleet = FleetSimulation(daemons=2, workers=0)
                fleet.run_for(1.0)
                leader = fleet.leader()
                node = fleet.nodes[1 - leader]
                site = BoundedSite(
                    node.callers, lambda: RequestLimits(body_bytes_max=1_000)
                )
                connection, transport = site.buildProtocol(None), StringTransport()
                connection.makeConnection(transport)
                connection.dataReceived(before)
                fleet.run_for(0.1)
                stopped = []
                node.on_stopped = lambda s=stopped: s.append(True)
                end_s = fleet.clock.seconds() + END_S
                node.stop()
                while fleet.clock.seconds() < end_s - 0.3:
                    call(node, b"GET", "/quotes/")
                    fleet.run_for(0.1)
                silence_all(fleet, 1 - leader, leader)
                connection.dataReceived(late)
                self.assertEqual(stopped, [])
                fleet.run_for(0.5)
                self.assertEqual(len(stopped), 1)
                sent = (before + late).count(b" HTTP/1.1\r\n")
                answers = transport.value()
                self.assertEqual(answers.count(b"HTTP/1.1 "), sent)
                self.assertTrue(answers.endswith(b"0\r\n\r\n"))
                last = answers.rpartition(b"HTTP/1.1 ")[2]
                self.assertIn(b"connection: close", last.lower())


class HandOverTest(unittest.TestCase):
    """Leadership while daemons stop."""

    # name, daemons that stop with the leader, when another one starts, when the leader
    # has handed over
    HAND_OVERS = [
        ("another one can lead", 0, None, (0.0, 0.2)),
        ("one of two others can lead", 1, None, (0.0, 0.2)),
        ("all stop", 2, None, (END_S - 0.2, END_S)),
        ("all stop, another one starts", 2, 2.0, (2.0, 2.3)),
    ]

    # Guards against a time without a leader while no other daemon can lead.
    def test_a_leader_leads_on_until_another_daemon_can(self):
        for name, others, starts_s, (from_s, until_s) in self.HAND_OVERS:
            with self.subTest(name):
                fleet = FleetSimulation(daemons=3, run_s=0.2)
                fleet.run_for(1.0)
                leader = fleet.leader()
                followers = [number for number in range(3) if number != leader]
                # The address of a former process of the VM, now the leader's own.
                former = fleet.nodes[leader].member.replace("#", "#former-")
                fleet.members[former] = fleet.nodes[leader].mesh
                fleet.nodes[leader].rpc.call(former, PENDING_METHOD, "")
                for number in (leader, *followers[:others]):
                    fleet.nodes[number].stop()
                began_s = fleet.clock.seconds()
                requests = []
                while fleet.nodes[leader].leader is not None:
                    elapsed_s = fleet.clock.seconds() - began_s
                    if starts_s is not None and elapsed_s >= starts_s:
                        fleet.add_daemon("vm3")
                        starts_s = None
                    requests.append(call(fleet.nodes[leader], b"GET", "/quotes/"))
                    fleet.run_for(0.02)
                handed_over_s = fleet.clock.seconds() - began_s
                self.assertGreaterEqual(handed_over_s, from_s)
                self.assertLessEqual(handed_over_s, until_s)
                self.assertEqual({r.responseCode for r in requests}, {200})
                fleet.run_for(1.0)
                can_follow = others < 2 or handed_over_s < END_S - 0.2
                self.assertEqual(fleet.leader() is not None, can_follow)

    # Guards against a daemon that is elected by a campaign from before its stop, and
    # whose lease keeps others from leading.
    def test_a_campaign_that_ends_after_the_stop_leaves_no_leader(self):
        for steps, stopping in itertools.product(range(1, 30), range(2)):
            with self.subTest(delay_s=steps * STEP_S, stopping=stopping):
                fleet = FleetSimulation(daemons=2)
                fleet.run_for(steps * STEP_S)
                fleet.nodes[stopping].stop()
                fleet.run_for(1.0)
                self.assertEqual(fleet.leader(), 1 - stopping)


class SiteDaemonStopTest(unittest.TestCase):
    """A daemon of the product's own site that stops."""

    # Guards against a request that waits for its idempotency key when the daemon ends,
    # and gets no answer.
    def test_requests_with_keys_are_answered_before_the_end(self):
        for delay_s, has_key in itertools.product((0.0, 0.3, 0.9), (False, True)):
            with self.subTest(delay_s=delay_s, has_key=has_key):
                site = FakeSite(make_site(limits=LIMITS), daemons=2)
                site.settle()
                site.values.faults.delay_s = delay_s
                stopped = []
                node = site.daemons["d1"].node
                node.on_stopped = lambda s=stopped: s.append(True)
                node.stop()
                requests = []
                while not stopped:
                    body = f"r{len(requests)}"
                    key = body if has_key else ""
                    requests.append(site.request("d1", "dispatch", "book", body, key))
                    site.advance(REQUEST_INTERVAL_S)
                self.assertNotIn([], requests)


if __name__ == "__main__":
    unittest.main()
