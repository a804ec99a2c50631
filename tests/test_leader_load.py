"""A leader loads what is stored, on any link, or lets another daemon lead."""

import unittest

import msgspec
from twisted.internet.testing import MemoryReactorClock

from dogwoodlever._fleet_election import WEAK_VM_DELAY_MAX_S
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_records import (
    INBOX_PREFIX,
    PROGRESS_PREFIX,
    TERM_KEY,
    decode_submission,
    decode_term,
    job_key,
)
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._http_client import HttpClient
from dogwoodlever.platform import HttpFleetStore
from tests.fleet_simulation import FleetSimulation, job
from tests.test_http_client import FakeTransport

# Recovery time of the daemons' settings.
RECOVERY_S = 12.0
# Entries of a transaction that the store accepts.
TRANSACTION_ENTRIES_MAX = 32


class SlowLinkTest(unittest.TestCase):
    """A watcher of a prefix behind a link that the test plays."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.dialled = 0
        self.keys = []
        self.listings = []
        store = HttpFleetStore(HttpClient(self.reactor, 2.0), "127.0.0.1:1")
        self.watcher = PrefixWatcher(
            store,
            self.reactor,
            "x/",
            lambda record: self.keys.append(record.key),
            lambda: self.listings.append(self.reactor.seconds()),
        )
        self.watcher.open()
        self.addCleanup(self.watcher.close)

    def accept(self):
        """Open the connection that was dialled last; return it and its request."""
        self.assertGreater(len(self.reactor.tcpClients), self.dialled)
        self.dialled = len(self.reactor.tcpClients)
        protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        return protocol._wrappedProtocol, transport

    def answer(self, connection, keys, parts=1, part_s=0.0, has_more=False):
        """Send a page of a listing in equal parts, one each `part_s`."""
        items = [{"key": key, "revision": 3, "value": "dg=="} for key in keys]
        page = {"current_rev": 5, "items": items, "has_more": has_more}
        body = msgspec.json.encode(page)
        size = -(-len(body) // parts)
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        for start in range(0, len(body), size):
            self.reactor.advance(part_s)
            connection.dataReceived(body[start : start + size])

    # name, number of parts of a page, time between them, whether the page is read
    LINKS = [
        ("fast", 1, 0.1, True),
        ("page takes 6 s", 10, 0.6, True),
        ("link is cut within the page", 10, 0.9, False),
    ]

    # Guards against a deadline on a whole transfer, which a slow link never meets.
    def test_page_may_take_as_long_as_it_makes_progress(self):
        for name, parts, part_s, is_read in self.LINKS:
            with self.subTest(name):
                self.setUp()
                connection, transport = self.accept()
                self.answer(connection, ["x/a"], parts, part_s)
                self.assertEqual(bool(self.listings), is_read)
                self.assertEqual(transport.is_aborted, not is_read)

    # Guards against a listing that begins anew, and so never ends on a poor link.
    def test_listing_goes_on_after_the_pages_that_were_read(self):
        connection, transport = self.accept()
        self.answer(connection, ["x/a", "x/b"], has_more=True)
        self.assertIn(b"after=x/b", transport.value())
        connection.connectionLost()
        self.reactor.advance(1.0)
        connection, transport = self.accept()
        self.assertIn(b"after=x/b", transport.value())
        self.answer(connection, ["x/c"])
        self.assertEqual(self.keys, ["x/a", "x/b", "x/c"])
        self.assertEqual(len(self.listings), 1)


class LeaderLoadTest(unittest.TestCase):
    def start_fleet(self, daemons=3):
        fleet = FleetSimulation(daemons=daemons)
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    # name, prefixes that the successor cannot read, seconds of an outage of the store
    LOADS = [
        ("submissions", {INBOX_PREFIX}, 0.0),
        ("progress", {PROGRESS_PREFIX}, 0.0),
        ("submissions, after an outage", {INBOX_PREFIX}, 3.0),
    ]

    # Guards against a leader that renews its lease but cannot load and starts nothing.
    def test_leader_that_cannot_load_lets_another_lead(self):
        for name, prefixes, outage_s in self.LOADS:
            with self.subTest(name):
                fleet = self.start_fleet()
                fleet.kill(fleet.leader())
                alive = [n for n in range(3) if fleet.clocks[n].is_alive]
                first, second = alive
                fleet.stores[first].silent_prefixes = prefixes
                # The one that cannot load is the stronger candidate.
                fleet.nodes[second].election._core_share = 0.1
                submitted = fleet.submit(second, job("b" * 16), wait_s=0.5)
                self.assertEqual(submitted.outcome, "done")
                fleet.run_for(1.8)
                self.assertTrue(fleet.nodes[first].election.leads)
                for store in fleet.stores:
                    store.is_down = outage_s > 0
                fleet.run_for(outage_s)
                for store in fleet.stores:
                    store.is_down = False
                fleet.run_for(RECOVERY_S - 2.3)
                self.assertEqual(fleet.leader(), second)
                phase = fleet.read_phase(second, "b" * 16)
                self.assertEqual(phase, JobPhase.COMPLETED)

    # Guards against a load that each leader in turn breaks off at the same point.
    def test_only_daemon_gets_more_time_each_time(self):
        fleet = self.start_fleet(daemons=2)
        fleet.kill(fleet.leader())
        last = next(n for n in range(2) if fleet.clocks[n].is_alive)
        fleet.stores[last].silent_prefixes = {INBOX_PREFIX}
        election = fleet.nodes[last].election
        limit_s = fleet.clock.seconds() + 3 * RECOVERY_S
        while election.failed_loads < 2:
            self.assertLess(fleet.clock.seconds(), limit_s)
            fleet.run_for(0.1)
        self.assertTrue(election.leads)
        fleet.stores[last].silent_prefixes = set()
        fleet.run_for(2.0)
        self.assertEqual(fleet.leader(), last)
        term = decode_term(fleet.records.read(TERM_KEY).value)
        self.assertEqual(term.failed_loads, 0)

    # name, fields of the job, whether it is cancelled, whether its steps are kept
    ENDS = [
        ("completed", {}, False, False),
        ("cancelled", {"steps": 2}, True, True),
        ("standing, cancelled", {"standing": True}, True, True),
    ]

    # Guards against a load that grows with all jobs whose state must be readable.
    def test_ended_job_is_stored_without_its_payload(self):
        for name, fields, is_cancelled, keeps_steps in self.ENDS:
            with self.subTest(name):
                fleet = self.start_fleet()
                submitted = msgspec.structs.replace(
                    job("b" * 16, **fields), payload="x" * 4000
                )
                fleet.submit(0, submitted, wait_s=0.5)
                if is_cancelled:
                    deadline_s = fleet.clock.seconds() + 3.0
                    fleet.await_result(
                        fleet.nodes[0].frontend.cancel("b" * 16, deadline_s)
                    )
                fleet.run_for(3.0)
                record = fleet.records.read(job_key("b" * 16))
                self.assertLess(len(record.value), 400)
                kept = decode_submission(record.value)
                self.assertEqual(bool(kept.steps), keeps_steps)
                # No later leader starts it again, and its state stays readable.
                starts = len(fleet.workers.starts)
                fleet.kill(fleet.leader())
                fleet.run_for(4.0)
                daemon = fleet.leader()
                again = fleet.submit(daemon, submitted)
                self.assertEqual(again.outcome, "done")
                fleet.run_for(2.0)
                self.assertEqual(len(fleet.workers.starts), starts)
                phase = JobPhase.CANCELLED if is_cancelled else JobPhase.COMPLETED
                self.assertEqual(fleet.read_phase(daemon, "b" * 16), phase)

    # Guards against writes that the store refuses, since ended jobs need more entries.
    def test_writes_of_many_ends_fit_the_transactions_of_the_store(self):
        fleet = self.start_fleet()
        commits = []
        for store in fleet.stores:
            commit = store.commit

            def record(expected, puts, deletes=(), commit=commit):
                commits.append(len(expected) + len(puts) + len(deletes))
                return commit(expected, puts, deletes)

            store.commit = record
        calls = [
            fleet.nodes[0].frontend.submit(
                job(f"{number:016x}", tasks=1), fleet.clock.seconds() + 3.0
            )
            for number in range(24)
        ]
        fleet.run_for(4.0)
        self.assertEqual(len(calls), 24)
        self.assertLessEqual(max(commits), TRANSACTION_ENTRIES_MAX)
        for number in range(24):
            record = fleet.records.read(job_key(f"{number:016x}"))
            self.assertEqual(decode_submission(record.value).ended_phase, "completed")


class CandidateTest(unittest.TestCase):
    # name, CPU share and link of the candidate, of the strongest leader so far, delay
    CANDIDATES = [
        ("strongest", 2.0, 100.0, 2.0, 100.0, 0.0),
        ("weak CPU", 0.5, 100.0, 2.0, 100.0, 0.75),
        ("weak link", 2.0, 5.0, 2.0, 100.0, 0.95),
        ("both weak", 0.5, 5.0, 2.0, 100.0, 0.95),
        ("links not known", 1.0, 0.0, 2.0, 0.0, 0.5),
        ("term of an earlier version", 2.0, 5.0, 2.0, 0.0, 0.0),
        ("stronger than all before", 4.0, 200.0, 2.0, 100.0, 0.0),
    ]

    # Guards against a leader that is chosen by its CPU and reads at 5 Mbit/s.
    def test_weak_links_delay_a_candidate(self):
        fleet = FleetSimulation(daemons=1)
        fleet.run_for(0.5)
        term = decode_term(fleet.records.read(TERM_KEY).value)
        election = fleet.nodes[0].election
        for name, cores, link, strongest, fastest, expected in self.CANDIDATES:
            with self.subTest(name):
                election._core_share, election._link_mbps = cores, link
                previous = msgspec.structs.replace(
                    term, core_share=strongest, link_mbps=fastest
                )
                delay_s = election._candidate_delay_s(previous)
                self.assertAlmostEqual(delay_s, expected * WEAK_VM_DELAY_MAX_S)


if __name__ == "__main__":
    unittest.main()
