"""Counts of a queue's waiting jobs while no leader answers (CONFIG)."""

import unittest
from collections import Counter
from dataclasses import dataclass
from unittest import mock

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from dogwoodlever._fleet_interfaces import CommitResult
from dogwoodlever._fleet_records import LEADER_KEY, PENDING_JOBS_KEY
from dogwoodlever._fleet_types import Step, SubmittedJob
from dogwoodlever._run_registry import RunRegistry
from tests.fleet_simulation import QUEUE, FleetSimulation
from tests.test_configuration_in_force import make_version
from tests.test_fleet_callers_resource import Request

DEADLINE_S = 3.0
# How old a count may be, and a little for the answer.
SETTLED_S = 2.5
OTHER_QUEUE = "extra"
# No worker has it, so that a task that requires it waits.
ABSENT_LABEL = "absent"


def make_job(number, *steps, queue=QUEUE):
    return SubmittedJob(f"{number:016x}", queue, "payload", steps)


def waiting_step(**fields):
    return Step(1, 500, 50, 0, 500, label=ABSENT_LABEL, **fields)


def waiting_job(number, queue=QUEUE):
    return make_job(number, waiting_step(), queue=queue)


@dataclass(slots=True)
class Question:
    """A count that was asked for."""

    request: Request
    sent_s: float
    answered_s: float | None = None

    @property
    def answer(self):
        status = self.request.responseCode if self.request.finished else None
        if status != 200:
            return status
        return msgspec.json.decode(b"".join(self.request.written))["pending"]


class CountsTest(unittest.TestCase):
    """Base of tests that ask daemons for counts."""

    def start_fleet(self, **sizes):
        fleet = FleetSimulation(configuration=make_version(1, OTHER_QUEUE), **sizes)
        fleet.run_for(1.0)
        return fleet

    def ask(self, fleet, number, queue=QUEUE, deadline_ms=None):
        request = Request(b"GET", f"/{queue}/", host="desk.example")
        if deadline_ms:
            request.requestHeaders = Headers(
                {b"host": [b"desk.example"], b"deadline-ms": [b"%d" % deadline_ms]}
            )
        question = Question(request, fleet.clock.seconds())

        def note_end(_result):
            question.answered_s = fleet.clock.seconds()

        request.notifyFinish().addBoth(note_end)
        fleet.nodes[number].callers.render(request)
        return question

    def assert_answers(self, fleet, cases):
        """Ask several daemons at once; check each answer and its time."""
        asked = [
            (self.ask(fleet, number, queue), number, queue, expected)
            for number, queue, expected in cases
        ]
        fleet.run_for(DEADLINE_S)
        for question, number, queue, expected in asked:
            with self.subTest(daemon=number, queue=queue):
                self.assertEqual(question.answer, expected)
                self.assertLessEqual(
                    question.answered_s - question.sent_s, DEADLINE_S - 0.05
                )

    def block_elections(self, fleet):
        """Let each write of the leader's record fail."""
        commit = fleet.records.commit

        def commit_unless_leader(expected, puts, deletes):
            if any(put.key == LEADER_KEY for put in puts):
                return CommitResult(0, ())
            return commit(expected, puts, deletes)

        fleet.records.commit = commit_unless_leader

    def assert_done(self, fleet, number, submitted):
        result = fleet.submit(number, submitted, wait_s=1.0)
        self.assertEqual(result and result.outcome, "done")

    def cancel(self, fleet, number, job_id):
        frontend = fleet.nodes[number].frontend
        deadline_s = fleet.clock.seconds() + DEADLINE_S
        result = fleet.await_result(frontend.cancel(job_id, deadline_s), 1.0)
        self.assertEqual(result and result.outcome, "done")


def kill_leader(test, fleet, leader):
    fleet.kill(leader)


def kill_leader_for_good(test, fleet, leader):
    test.block_elections(fleet)
    fleet.kill(leader)


def remove_leader(test, fleet, leader):
    fleet.kill(leader)
    fleet.records.remove(LEADER_KEY)


def remove_leader_for_good(test, fleet, leader):
    test.block_elections(fleet)
    remove_leader(test, fleet, leader)


def freeze_leader(test, fleet, leader):
    fleet.clocks[leader].freeze()


def freeze_leader_with_lease(test, fleet, leader):
    """Freeze the leader; the store is slow to expire leases."""
    fleet.records.is_lease_expiry_paused = True
    fleet.clocks[leader].freeze()


def silence_leader(test, fleet, leader):
    """Cut the leader off from its peers, but not from the store."""
    fleet.nodes[leader].mesh.is_down = True


LOSSES = (
    kill_leader,
    kill_leader_for_good,
    remove_leader,
    remove_leader_for_good,
    freeze_leader,
    freeze_leader_with_lease,
    silence_leader,
)


class LostLeaderTest(CountsTest):
    def submit_before(self, fleet):
        """Submit jobs of all kinds; return the counts that are right."""
        # Started: runs, or waits between two steps.
        self.assert_done(fleet, 0, make_job(1, Step(1, 500, 50, 0, 500, standing=True)))
        self.assert_done(
            fleet, 1, make_job(2, Step(1, 500, 50, 0, 500), waiting_step(after=(0,)))
        )
        # Ended.
        self.assert_done(fleet, 2, make_job(3, Step(2, 500, 50, 0, 500)))
        # Waiting, two of them cancelled later.
        for number in range(4, 10):
            self.assert_done(fleet, number % 3, waiting_job(number))
        self.assert_done(fleet, 0, waiting_job(10, OTHER_QUEUE))
        self.cancel(fleet, 0, f"{4:016x}")
        fleet.run_for(3.0)
        self.assertEqual(fleet.read_phase(0, f"{1:016x}"), "running")
        self.assertEqual(fleet.read_phase(0, f"{2:016x}"), "running")
        self.assertEqual(fleet.read_phase(0, f"{3:016x}"), "completed")
        self.assertEqual(fleet.read_phase(0, f"{4:016x}"), "cancelled")
        counts = {QUEUE: 5, OTHER_QUEUE: 1, "nowhere": 404}
        # The leader's count is the same.
        cases = [(n, q, count) for n in range(3) for q, count in counts.items()]
        self.assert_answers(fleet, cases)
        return counts

    # Guards against a 503 for the count of a queue in force, and against counts that
    # hold jobs that have started, ended or been cancelled, by a daemon in contact.
    def test_daemons_in_contact_count_what_is_stored(self):
        for lose in LOSSES:
            for lost_s in (0.0, 1.0, 4.0, 12.0):
                with self.subTest(loss=lose.__name__, lost_s=lost_s):
                    fleet = self.start_fleet()
                    counts = self.submit_before(fleet)
                    leader = fleet.leader()
                    lose(self, fleet, leader)
                    others = [n for n in range(3) if n != leader]
                    fleet.run_for(lost_s)
                    self.assert_answers(
                        fleet,
                        [(n, q, count) for n in others for q, count in counts.items()],
                    )

    # Guards against counts of before the loss: jobs, cancellations and queues that
    # came while no leader answers count, through whichever daemon.
    def test_changes_without_a_leader(self):
        for lose in (
            kill_leader_for_good,
            remove_leader_for_good,
            freeze_leader_with_lease,
        ):
            with self.subTest(loss=lose.__name__):
                fleet = self.start_fleet()
                self.submit_before(fleet)
                leader = fleet.leader()
                lose(self, fleet, leader)
                first, second = (n for n in range(3) if n != leader)
                fleet.run_for(1.0)
                # Two more, one of them cancelled like one of before.
                self.assert_done(fleet, first, waiting_job(20))
                self.assert_done(fleet, second, waiting_job(21))
                self.assert_done(fleet, second, waiting_job(22, OTHER_QUEUE))
                self.cancel(fleet, first, f"{21:016x}")
                self.cancel(fleet, second, f"{5:016x}")
                fleet.configure(make_version(2, OTHER_QUEUE, "added"))
                fleet.run_for(SETTLED_S)
                counts = {QUEUE: 5, OTHER_QUEUE: 2, "added": 0, "nowhere": 404}
                self.assert_answers(
                    fleet,
                    [
                        (n, q, count)
                        for n in (first, second)
                        for q, count in counts.items()
                    ],
                )
                # A queue that is dropped is refused, although it has waiting jobs.
                fleet.configure(make_version(3, "added"))
                fleet.run_for(SETTLED_S)
                self.assert_answers(
                    fleet,
                    [
                        (n, q, answer)
                        for n in (first, second)
                        for q, answer in ((OTHER_QUEUE, 404), ("added", 0))
                    ],
                )

    # Guards against daemons that wait for the first leader.
    def test_no_leader_was_ever_elected(self):
        fleet = FleetSimulation(daemons=0)
        fleet.configure(make_version(1, OTHER_QUEUE))
        self.block_elections(fleet)
        for number in range(3):
            fleet.add_daemon(f"vm{number}")
        fleet.run_for(1.0)
        counts = {QUEUE: 0, OTHER_QUEUE: 0, "nowhere": 404}
        cases = [(n, q, count) for n in range(3) for q, count in counts.items()]
        self.assert_answers(fleet, cases)
        for number in range(3):
            self.assert_done(fleet, number, waiting_job(number))
        self.assert_done(fleet, 0, make_job(3, Step(1, 500, 50, 0, 500)))
        self.cancel(fleet, 1, f"{0:016x}")
        fleet.run_for(SETTLED_S)
        counts = {QUEUE: 3, OTHER_QUEUE: 0, "nowhere": 404}
        cases = [(n, q, count) for n in range(3) for q, count in counts.items()]
        self.assert_answers(fleet, cases)
        self.assertIsNone(fleet.leader())

    # Guards against a gap in a change of leader in which one moment is not covered.
    def test_counts_at_each_moment_of_a_change(self):
        for lose in LOSSES:
            with self.subTest(loss=lose.__name__):
                fleet = self.start_fleet()
                self.submit_before(fleet)
                leader = fleet.leader()
                others = [n for n in range(3) if n != leader]
                lose(self, fleet, leader)
                asked = []
                for _ in range(40):
                    asked.extend(self.ask(fleet, number) for number in others)
                    fleet.run_for(0.25)
                fleet.run_for(DEADLINE_S)
                self.assertEqual({question.answer for question in asked}, {5})
                latest_s = max(q.answered_s - q.sent_s for q in asked)
                self.assertLessEqual(latest_s, DEADLINE_S - 0.05)

    # Guards against a caller's deadline that the wait for the leader uses up.
    def test_deadline_shorter_than_the_usual(self):
        fleet = self.start_fleet()
        self.submit_before(fleet)
        leader = fleet.leader()
        freeze_leader_with_lease(self, fleet, leader)
        fleet.run_for(4.0)
        for number in (n for n in range(3) if n != leader):
            question = self.ask(fleet, number, deadline_ms=1500)
            fleet.run_for(1.5)
            self.assertEqual(question.answer, 5)

    # Guards against a 503 by a daemon that reads the store, although a leader that has
    # loaded since has told it the numbers.
    def test_leader_that_loads_while_the_store_is_read(self):
        fleet = self.start_fleet()
        self.submit_before(fleet)
        former = fleet.leader()
        commit = fleet.records.commit
        kill_leader_for_good(self, fleet, former)
        fleet.run_for(4.0)
        others = [number for number in range(3) if number != former]
        for number in others:
            self.delay_read(fleet, number)
        waiting = [self.ask(fleet, number) for number in others]
        fleet.run_for(1.8)
        fleet.records.commit = commit
        while fleet.leader() is None:
            fleet.run_for(0.01)
        self.assertEqual([question.answered_s for question in waiting], [None] * 2)
        for number in others:
            self.ask(fleet, number)
        fleet.run_for(0.1)
        self.assertEqual([question.answer for question in waiting], [5] * 2)

    def delay_read(self, fleet, number):
        """Let a daemon wait for the record of pending jobs for good."""
        store = fleet.stores[number]
        read = store.read
        store.read = lambda key: Deferred() if key == PENDING_JOBS_KEY else read(key)

    # Guards against a 503 just after a call to the store failed, while the next works.
    def test_store_that_did_not_answer_for_a_moment(self):
        # From the question to the outage, and its length.
        for after_s, silent_s in ((-0.3, 0.6), (0.0, 0.7), (1.2, 0.6), (1.6, 0.4)):
            with self.subTest(after_s=after_s, silent_s=silent_s):
                fleet = self.start_fleet()
                self.submit_before(fleet)
                leader = fleet.leader()
                kill_leader_for_good(self, fleet, leader)
                fleet.run_for(4.0 + min(0.0, after_s))
                number = (leader + 1) % 3
                question = None
                if after_s >= 0.0:
                    question = self.ask(fleet, number)
                    fleet.run_for(after_s)
                fleet.stores[number].is_down = True
                if question is None:
                    fleet.run_for(-after_s)
                    question = self.ask(fleet, number)
                fleet.run_for(silent_s + min(0.0, after_s))
                fleet.stores[number].is_down = False
                fleet.run_for(DEADLINE_S)
                self.assertEqual(question.answer, 5)
                elapsed_s = question.answered_s - question.sent_s
                self.assertLessEqual(elapsed_s, DEADLINE_S - 0.05)


class LeaderTest(CountsTest):
    # Guards against a job whose task lasts that a successor counts as waiting until it
    # has polled the task's worker.
    def test_running_job_is_not_pending_before_its_worker_is_polled(self):
        fleet = self.start_fleet()
        self.assert_done(fleet, 0, make_job(1, Step(1, 500, 50, 0, 500, standing=True)))
        self.assert_done(fleet, 0, waiting_job(2))
        fleet.run_for(SETTLED_S)
        leader = fleet.leader()
        for worker in fleet.workers.workers.values():
            worker.is_reachable = False
        fleet.kill(leader)
        fleet.run_for(4.0)
        self.assertNotIn(fleet.leader(), (None, leader))
        others = [number for number in range(3) if number != leader]
        self.assert_answers(fleet, [(number, QUEUE, 1) for number in others])

    # Guards against a job that a successor counts as started although each of its
    # starts went to workers that had ended (issue 56, MIXED).
    def test_job_whose_starts_had_no_effect_is_pending(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        for worker_id in fleet.workers.workers:
            fleet.workers.crash(worker_id)
        self.assert_done(fleet, leader, make_job(1, Step(2, 500, 50, 0, 500)))
        (state,) = fleet.nodes[leader].leader.registry.jobs.values()
        self.assertEqual((state.phase, state.has_started), ("running", False))
        fleet.nodes[leader].leader.registry.dirty.add(state.job.job_id)
        fleet.run_for(1.0)
        fleet.kill(leader)
        fleet.run_for(4.0)
        successor = fleet.leader()
        self.assertNotIn(successor, (None, leader))
        self.assert_answers(fleet, [(successor, QUEUE, 1)])

    # Guards against a stored count in place of the leader's, which is newer.
    def test_answer_of_the_leader(self):
        fleet = self.start_fleet()
        self.assert_done(fleet, 0, waiting_job(1))
        counts = Counter({QUEUE: 41})
        with mock.patch.object(RunRegistry, "count_pending", lambda _registry: counts):
            fleet.run_for(SETTLED_S)
            self.assert_answers(fleet, [(n, QUEUE, 41) for n in range(3)])
            leader = fleet.leader()
            fleet.kill(leader)
            fleet.run_for(12.0)
            others = [n for n in range(3) if n != leader]
            self.assertIn(fleet.leader(), others)
            self.assert_answers(fleet, [(n, QUEUE, 41) for n in others])

    # Guards against an answer without a basis, or none, by a daemon on its own.
    def test_daemon_without_store_and_leader(self):
        fleet = self.start_fleet()
        self.assert_done(fleet, 0, waiting_job(1))
        leader = fleet.leader()
        number = (leader + 1) % 3
        fleet.stores[number].is_down = True
        fleet.kill(leader)
        for _ in range(4):
            fleet.run_for(1.0)
            question = self.ask(fleet, number)
            fleet.run_for(DEADLINE_S)
            self.assertIn(question.answer, (1, 503))
            elapsed_s = question.answered_s - question.sent_s
            self.assertLessEqual(elapsed_s, DEADLINE_S - 0.05)


if __name__ == "__main__":
    unittest.main()
