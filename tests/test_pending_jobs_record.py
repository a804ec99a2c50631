"""Counts from the leader's record of pending jobs and what was written since."""

import unittest
from unittest import mock

import msgspec
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from dogwoodlever import _pending_jobs_writer
from dogwoodlever._fleet_interfaces import Listing, Record
from dogwoodlever._fleet_job import JobPhase, JobProgress
from dogwoodlever._fleet_records import (
    INBOX_PREFIX,
    JOBS_PREFIX,
    LEADER_KEY,
    PENDING_JOBS_KEY,
    PROGRESS_PREFIX,
    TERM_KEY,
    PendingJobsRecord,
    cancel_key,
    decode_pending_jobs,
    encode,
    job_key,
    progress_key,
)
from dogwoodlever._fleet_types import Step
from dogwoodlever._pending_counts import KnownPendingJobs
from dogwoodlever._pending_jobs_writer import PendingJobsWriter
from dogwoodlever.platform_errors import HistoryGoneError, StoreUnavailableError
from standins.fleet import FakeFleetStore, FleetRecords
from tests.fleet_simulation import JOB, QUEUE
from tests.test_counts_without_leader import (
    OTHER_QUEUE,
    CountsTest,
    make_job,
    waiting_job,
)


def submitted(number, queue=QUEUE, ended_phase=""):
    """Return the record of a job."""
    job = msgspec.structs.replace(waiting_job(number, queue), ended_phase=ended_phase)
    return Record(job_key(job.job_id), encode(job), 9)


def cancelled(number):
    return Record(cancel_key(f"{number:016x}"), b"", 9)


def progressed(number, phase):
    progress = JobProgress(phase)
    return Record(progress_key(f"{number:016x}"), encode(progress), 9)


class ChangesTest(unittest.TestCase):
    # Guards against counts that leave out what was written after the leader's record.
    def test_changes_since_the_record(self):
        stored = PendingJobsRecord(5, {QUEUE: [f"{n:016x}" for n in (1, 2)]})
        table = (
            ("nothing", (), {QUEUE: 2}),
            ("submitted", (submitted(3), submitted(4, "extra")),
             {QUEUE: 3, "extra": 1}),
            ("submitted again", (submitted(1),), {QUEUE: 2}),
            ("cancelled", (cancelled(1),), {QUEUE: 1}),
            ("submitted and cancelled", (submitted(3), cancelled(3)), {QUEUE: 2}),
            ("cancelled before it is known", (cancelled(3), submitted(3)), {QUEUE: 2}),
            ("started", (progressed(2, JobPhase.RUNNING),), {QUEUE: 1}),
            ("progress of a queued job", (progressed(2, JobPhase.QUEUED),), {QUEUE: 2}),
            ("ended", (submitted(2, ended_phase="completed"),), {QUEUE: 1}),
            ("removed", (Record(job_key(f"{2:016x}"), None, 9),), {QUEUE: 2}),
            ("unreadable", (Record(job_key(f"{3:016x}"), b"\xc1", 9),), {QUEUE: 2}),
        )  # fmt: skip
        for name, changes, expected in table:
            with self.subTest(name):
                known = KnownPendingJobs(stored)
                known.apply(INBOX_PREFIX, Listing(changes, 9))
                self.assertEqual(known.count(), expected)


class WriterTest(unittest.TestCase):
    def start_writer(self):
        clock = Clock()
        records = FleetRecords(clock)
        registry = mock.Mock(**{"find_pending.return_value": {}})
        store = FakeFleetStore(records, clock)
        state = {"revision": 3, "term": 0}
        writer = PendingJobsWriter(
            store, clock, registry, lambda: state["term"], lambda: state["revision"]
        )
        return writer, clock, records, registry.find_pending, state

    def run_for(self, writer, clock, duration_s):
        for _ in range(round(duration_s / 0.1)):
            writer.update()
            clock.advance(0.1)

    def test_writes(self):
        many = {QUEUE: [JOB] * (_pending_jobs_writer.JOBS_MAX + 1)}
        for name, pending, state, writes in (
            ("nothing has changed", [{}], {}, 2),
            ("changes all the time", [{QUEUE: [str(n)]} for n in range(99)], {}, 8),
            ("the inbox is not read", [{}], {"revision": 0}, 0),
            ("too many jobs", [many], {}, 0),
            ("another term", [{QUEUE: [JOB]}], {"term": 77}, 0),
        ):
            with self.subTest(name):
                writer, clock, records, find_pending, values = self.start_writer()
                values.update(state)
                find_pending.side_effect = [*pending, *[pending[-1]] * 9]
                self.run_for(writer, clock, 8.0)
                keys = [record.key for record in records.history]
                self.assertEqual(keys.count(PENDING_JOBS_KEY), writes)
                self.assertNotIn(TERM_KEY, keys)

    # Guards against a conflict that counts as a write, after which the record is left
    # as it was for some seconds.
    def test_write_that_conflicts_is_repeated_at_the_next_interval(self):
        writer, clock, records, _, state = self.start_writer()
        state["term"] = 77
        self.run_for(writer, clock, 0.5)
        state["term"] = 0
        self.run_for(writer, clock, 1.0)
        self.assertIsNotNone(records.read(PENDING_JOBS_KEY))


class RecordedCountsTest(CountsTest):
    def lose_leader(self, fleet, daemons=range(3)):
        """Kill the leader for good; return the other daemons."""
        leader = fleet.leader()
        self.block_elections(fleet)
        fleet.kill(leader)
        fleet.run_for(3.0)
        return [number for number in daemons if number != leader]

    # Guards against a count that reads all stored jobs, which takes longer than its
    # caller waits where they are many and the link is narrow.
    def test_count_reads_no_ended_jobs(self):
        for has_history, is_listed in ((True, False), (False, True)):
            with self.subTest(has_history=has_history):
                fleet = self.start_fleet(run_s=0.2)
                for number in range(40):
                    step = Step(1, 100, 5, 0, 500)
                    self.assert_done(fleet, number % 3, make_job(number, step))
                self.assert_done(fleet, 0, waiting_job(90))
                fleet.run_for(2.0)
                others = self.lose_leader(fleet)
                self.assert_done(fleet, others[0], waiting_job(91))
                self.assert_done(fleet, others[1], waiting_job(92, OTHER_QUEUE))
                self.cancel(fleet, others[1], f"{90:016x}")
                fleet.run_for(2.5)
                listed = []
                for number in others:
                    self.spy(fleet.stores[number], listed, has_history)
                cases = [
                    (n, queue, 1) for n in others for queue in (QUEUE, OTHER_QUEUE)
                ]
                self.assert_answers(fleet, cases)
                self.assertEqual(JOBS_PREFIX in listed, is_listed)

    def spy(self, store, listed, has_history):
        """Note the listed prefixes, and drop the history if wanted."""
        list_page, watch = store.list_page, store.watch

        def list_and_note(prefix, after=""):
            listed.append(prefix)
            return list_page(prefix, after)

        def watch_history(prefix, revision, wait_ms):
            if not has_history and not wait_ms:
                return fail(HistoryGoneError("compacted"))
            return watch(prefix, revision, wait_ms)

        store.list_page, store.watch = list_and_note, watch_history

    # Guards against counts whose readings grow with the time since a leader wrote its
    # record, or with each call that fails, until they outlast the callers' wait.
    def test_changes_are_read_once(self):
        for fails in (False, True):
            with self.subTest(fails=fails):
                fleet = self.start_fleet()
                self.assert_done(fleet, 0, waiting_job(1))
                fleet.run_for(1.5)
                others = self.lose_leader(fleet)
                other = others[0]
                failing = []
                read = self.note_changes(fleet.stores[other], failing)
                for number in (2, 3, 4):
                    self.assert_done(fleet, others[1], waiting_job(number))
                    fleet.run_for(2.5)
                    failing.extend([PROGRESS_PREFIX] * fails)
                    self.assert_answers(fleet, [(other, QUEUE, number)])
                self.assertEqual(len(read), len(set(read)))
                jobs = [key for key, _ in read if key.startswith(JOBS_PREFIX)]
                self.assertEqual(jobs, [job_key(f"{n:016x}") for n in (2, 3, 4)])

    # Guards against counts that go on from what was read before a later leader.
    def test_record_of_a_later_leader(self):
        fleet = self.start_fleet(daemons=4)
        for number in (1, 2):
            self.assert_done(fleet, 0, waiting_job(number))
        fleet.run_for(1.5)
        commit = fleet.records.commit
        others = set(self.lose_leader(fleet, range(4)))
        self.assert_answers(fleet, [(number, QUEUE, 2) for number in others])
        fleet.records.commit = commit
        while fleet.leader() is None:
            fleet.run_for(0.01)
        self.cancel(fleet, fleet.leader(), f"{1:016x}")
        for number in (3, 4, 5):
            self.assert_done(fleet, fleet.leader(), waiting_job(number))
        fleet.run_for(6.0)
        others &= set(self.lose_leader(fleet, range(4)))
        self.assert_answers(fleet, [(number, QUEUE, 4) for number in others])

    def note_changes(self, store, failing):
        """Return a list to which the changes that counts read are added.

        The next calls for changes of the prefixes in `failing` fail.
        """
        read, watch = [], store.watch

        def watch_and_note(prefix, revision, wait_ms):
            if not wait_ms and prefix in failing:
                failing.remove(prefix)
                return fail(StoreUnavailableError("no response"))
            changes = watch(prefix, revision, wait_ms)
            return changes if wait_ms else changes.addCallback(note)

        def note(listing):
            read.extend((record.key, record.revision) for record in listing.records)
            return listing

        store.watch = watch_and_note
        return read

    # Guards against counts of a leader that has not heard of the jobs of the last
    # seconds, since its calls get no answers while its lease is renewed.
    def test_leader_that_does_not_hear_of_jobs(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        self.assert_done(fleet, 0, waiting_job(1))
        fleet.run_for(1.0)
        fleet.stores[leader].silent_prefixes.add(INBOX_PREFIX)
        others = [number for number in range(3) if number != leader]
        for number in (2, 3):
            self.assert_done(fleet, others[0], waiting_job(number))
        fleet.run_for(2.0)
        self.assertEqual(fleet.leader(), leader)
        self.assert_answers(fleet, [(number, QUEUE, 3) for number in others])

    # Guards against a count without jobs that the leader has read, but not accepted
    # until its next renewal shows that there is no successor.
    def test_jobs_that_the_leader_has_not_accepted_yet(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        self.assert_done(fleet, 0, waiting_job(1))
        fleet.stores[leader].loses_renewals = True
        fleet.stores[leader].silent_prefixes.add(LEADER_KEY)
        fleet.records.is_lease_expiry_paused = True
        fleet.run_for(0.6)
        other = (leader + 1) % 3
        # Within the time after which the leader would ask others for their contact.
        for number in (2, 3, 4):
            result = fleet.submit(other, waiting_job(number), wait_s=0.1)
            self.assertEqual(result.outcome, "done")
        fleet.nodes[other].frontend.cancel(f"{4:016x}", fleet.clock.seconds() + 3.0)
        fleet.run_for(0.1)
        self.assertNotIn(f"{2:016x}", fleet.nodes[leader].leader.registry.jobs)
        question = self.ask(fleet, other)
        fleet.run_for(0.2)
        self.assertEqual(question.answer, 3)

    # Guards against a record that leaves out a job which the leader has read and not
    # accepted yet, and that is older than another such job before it in the listing.
    def test_leader_that_is_lost_just_after_it_has_loaded(self):
        fleet = self.start_fleet()
        for store in fleet.stores:
            store.silent_prefixes.add(PROGRESS_PREFIX)
        former = fleet.leader()
        fleet.kill(former)
        others = [number for number in range(3) if number != former]
        while not any(fleet.nodes[number].leader for number in others):
            fleet.run_for(0.01)
        for number in (2, 1):
            self.assert_done(fleet, others[0], waiting_job(number))
        for store in fleet.stores:
            store.silent_prefixes.clear()
        while fleet.leader() is None:
            fleet.run_for(0.01)
        fleet.run_for(0.1)
        (other,) = set(others) - {fleet.leader()}
        self.lose_leader(fleet)
        self.assert_answers(fleet, [(other, QUEUE, 2)])

    # Guards against 503 where neither a job can be accepted nor one be cancelled, so
    # that the leader's number is right whatever its age.
    def test_outage_of_the_store(self):
        fleet = self.start_fleet()
        self.assert_done(fleet, 0, waiting_job(1))
        fleet.run_for(1.0)
        for store in fleet.stores:
            store.is_down = True
        fleet.run_for(4.0)
        self.assertIsNotNone(fleet.leader())
        self.assert_answers(fleet, [(number, QUEUE, 1) for number in range(3)])

    # Guards against a record that takes in jobs which the leader holds back until it
    # knows that there is no successor.
    def test_record_of_jobs_that_are_not_accepted_yet(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.run_for(1.0)
        fleet.stores[leader].loses_renewals = True
        for number in (1, 2):
            fleet.submit((leader + 1) % 3, waiting_job(number))
        fleet.run_for(1.5)
        value = fleet.records.read(PENDING_JOBS_KEY).value
        first = fleet.records.read(job_key(f"{1:016x}"))
        stored = decode_pending_jobs(value)
        is_known = f"{1:016x}" in stored.job_ids.get(QUEUE, ())
        self.assertTrue(is_known or stored.revision < first.revision)


if __name__ == "__main__":
    unittest.main()
