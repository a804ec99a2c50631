"""Waits for workers that do not answer go on from one leader to the next."""

import unittest

from twisted.internet.task import Clock

from dogwoodlever._fleet_records import (
    TERM_KEY,
    UNREACHABLE_WORKERS_KEY,
    WORKER_MEMBERSHIP_KEY,
    UnreachableWorkersRecord,
    decode_unreachable_workers,
    decode_worker_membership,
    encode,
)
from dogwoodlever._unreachable_workers import REFRESH_INTERVAL_S, UnreachableWorkers
from standins.fleet import FakeFleetStore, FleetRecords, server_record
from tests.fleet_simulation import JOB, StandingWorkTest, job
from tests.test_worker_recovery import (
    SILENT_RECOVERY_MAX_S,
    crash,
    crash_and_unlist,
    silence,
)

TERM = 3
WRITE_S = 0.05


class ChangingLeadersTest(StandingWorkTest):
    # loss of the worker, time between two changes of leader
    CASES = [
        (lose, interval_s)
        for lose in (crash, crash_and_unlist, silence)
        for interval_s in (1.5, 2.0, 4.0)
    ]

    # Guards against work that each leader keeps waiting from its own election on, for
    # workers that none of them reaches.
    def test_work_of_a_lost_worker_starts_while_leaders_change(self):
        for lose, interval_s in self.CASES:
            with self.subTest(lose.__name__, interval_s=interval_s):
                fleet = self.start_fleet(workers=4, daemons=7)
                lost = self.start_standing_job(fleet, 4)
                moved = len(fleet.workers.workers[lost].running)
                self.assertGreater(moved, 0)
                lose(fleet, lost)
                began_s = fleet.clock.seconds()
                while len(fleet.workers.starts) < 4 + moved:
                    fleet.nodes[fleet.leader()].stop()
                    fleet.run_for(interval_s)
                    fleet.add_daemon(f"vm{len(fleet.nodes)}")
                    waited_s = fleet.clock.seconds() - began_s
                    self.assertLess(waited_s, SILENT_RECOVERY_MAX_S + interval_s)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a wait that begins anew since a leader which ended before its first
    # poll failed has stored that it awaits no worker.
    def test_short_term_between_longer_ones_leaves_the_wait(self):
        for lose in (crash, crash_and_unlist, silence):
            for short_s in (0.1, 0.2, 0.5):
                with self.subTest(lose.__name__, short_s=short_s):
                    self._check_short_terms(lose, short_s)

    def _check_short_terms(self, lose, short_s):
        fleet = self.start_fleet(workers=4, daemons=7)
        lost = self.start_standing_job(fleet, 4)
        moved = len(fleet.workers.workers[lost].running)
        lose(fleet, lost)
        began_s = fleet.clock.seconds()
        while len(fleet.workers.starts) < 4 + moved:
            for term_s in (4.0, short_s):
                fleet.run_for(term_s)
                while fleet.leader() is None:
                    fleet.run_for(0.01)
                fleet.nodes[fleet.leader()].stop()
                fleet.add_daemon(f"vm{len(fleet.nodes)}")
            waited_s = fleet.clock.seconds() - began_s
            self.assertLess(waited_s, SILENT_RECOVERY_MAX_S + 4.0 + 2 * short_s)
        self.assertEqual(fleet.workers.duplicate_starts, [])


class LeavingWorkerTest(StandingWorkTest):
    def is_member(self, fleet, worker_id):
        record = fleet.records.read(WORKER_MEMBERSHIP_KEY)
        return worker_id in decode_worker_membership(record.value).workers

    # Guards against work that waits for the leases of a worker that has left as it
    # announced, if its last run ended later than its entry or its leader.
    def test_worker_that_leaves_is_awaited_only_while_something_runs_there(self):
        for is_unlisted in (False, True):
            with self.subTest(is_unlisted=is_unlisted):
                fleet = self.start_fleet(workers=3, run_s=4.0)
                fleet.submit(0, job(JOB, tasks=6, worker_tasks_max=2))
                fleet.run_for(1.0)
                entry = fleet.workers.workers["w0"].entry
                self.assertTrue(fleet.workers.workers["w0"].running)
                fleet.records.write("servers/w0", server_record(entry, "draining"))
                fleet.run_for(0.5)
                if is_unlisted:
                    fleet.records.remove("servers/w0")
                fleet.run_for(0.5)
                self.assertTrue(self.is_member(fleet, "w0"))
                fleet.run_for(4.0)
                self.assertFalse(self.is_member(fleet, "w0"))
                fleet.records.write("servers/w0", server_record(entry))
                fleet.run_for(1.0)
                self.assertTrue(self.is_member(fleet, "w0"))


class UnreachableWorkersTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.records = FleetRecords(self.clock)
        self.records.write(TERM_KEY, b"")
        self.term_revision = self.records.revision

    def make(self, term=TERM, seen_s=0.0, kept_since_term=1):
        self.store = FakeFleetStore(self.records, self.clock)
        made = UnreachableWorkers(
            self.store, self.clock, term, lambda: self.term_revision,
            lambda revision: seen_s, lambda: None,
        )  # fmt: skip
        made.load(self.records.read(UNREACHABLE_WORKERS_KEY), kept_since_term)
        return made

    def stored_waits_ms(self):
        record = self.records.read(UNREACHABLE_WORKERS_KEY)
        return decode_unreachable_workers(record.value).waits_ms

    def test_successor_counts_on_from_when_its_daemon_saw_the_record(self):
        self.make().set_unreachable({"w0": 5.0})
        self.clock.advance(WRITE_S)
        self.assertEqual(self.stored_waits_ms(), {"w0": 5000})
        self.clock.advance(3.0)
        successor = self.make(seen_s=WRITE_S)
        self.assertEqual(successor.former_expiry_s("w0"), 5.0 + WRITE_S)
        self.assertTrue(successor.may_be_named("w0"))
        self.assertEqual(successor.former_expiry_s("w1"), float("inf"))

    def test_wait_is_stored_again_while_any_is_left(self):
        named = self.make()
        for _ in range(80):
            named.set_unreachable({"w0": 5.0, "w1": 1.0})
            self.clock.advance(0.1)
        self.assertEqual(self.stored_waits_ms(), {"w0": 0, "w1": 0})
        self.assertLess(self.store.commits, 5.0 / REFRESH_INTERVAL_S + 2)

    # Guards against a lease, from a leader that has reached a worker again, which a
    # successor takes for expired.
    def test_worker_counts_as_named_until_a_record_without_it_is_stored(self):
        # the first write: answered, in doubt but done, or done late
        cases = {
            "answered": {},
            "answer lost": {"answers_to_lose": 1},
            "done late": {"commit_delay_s": 1.0},
        }
        for name, fields in cases.items():
            with self.subTest(name):
                self.setUp()
                named = self.make()
                for field, value in fields.items():
                    setattr(self.store, field, value)
                named.set_unreachable({"w0": 5.0})
                self.clock.advance(WRITE_S)
                named.withdraw("w0")
                while named.may_be_named("w0"):
                    self.clock.advance(0.01)
                    self.assertLess(self.clock.seconds(), 4.0)
                self.assertEqual(self.stored_waits_ms(), {})
                self.clock.advance(2.0)
                self.assertEqual(self.stored_waits_ms(), {})

    # Guards against the record of an earlier term that a leader of an earlier build,
    # which has reached the worker since, did not replace.
    def test_record_before_a_leader_that_does_not_keep_it_is_not_used(self):
        record = encode(UnreachableWorkersRecord(TERM - 2, {"w0": 0}))
        self.records.write(UNREACHABLE_WORKERS_KEY, record)
        for kept_since_term, is_used in ((1, True), (TERM - 2, True), (TERM, False)):
            with self.subTest(kept_since_term=kept_since_term):
                made = self.make(kept_since_term=kept_since_term)
                self.assertEqual(made.former_expiry_s("w0") == 0.0, is_used)

    # Guards against a lease that a leader of another build, which can read the record,
    # takes for expired.
    def test_record_that_cannot_be_read_is_replaced_before_any_lease(self):
        self.records.write(UNREACHABLE_WORKERS_KEY, b"\xc1")
        made = self.make()
        self.assertEqual(made.former_expiry_s("w0"), float("inf"))
        self.assertTrue(made.may_be_named("w0"))
        made.set_unreachable({})
        self.clock.advance(WRITE_S)
        self.assertFalse(made.may_be_named("w0"))
        self.assertEqual(self.stored_waits_ms(), {})

    # Guards against a stored wait that has become too short, as another incarnation of
    # the worker may have got a lease.
    def test_longer_wait_is_stored_at_once(self):
        made = self.make()
        made.set_unreachable({"w0": 0.0})
        for _ in range(50):
            self.clock.advance(0.01)
        made.set_unreachable({"w0": 11.0})
        self.clock.advance(WRITE_S)
        self.assertEqual(self.stored_waits_ms(), {"w0": 10_500})

    # Guards against a wait that is not stored, as its write failed.
    def test_failed_write_is_repeated(self):
        made = self.make()
        self.store.is_down = True
        made.set_unreachable({"w0": 0.0})
        for _ in range(200):
            self.clock.advance(0.01)
        self.store.is_down = False
        for _ in range(200):
            self.clock.advance(0.01)
        self.assertEqual(self.stored_waits_ms(), {"w0": 0})


if __name__ == "__main__":
    unittest.main()
