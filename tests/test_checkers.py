import unittest

from dogwoodlever.platform_clients import RunOrder
from standins.backend_slots import BackendSlots, ServedRequest
from standins.worker_machine import Run
from tests import checkers
from tests.checkers import Call, History, Outage, Placement


def run(task, attempt, started_s, ended_s, outcome="stopped", from_s=0.0, to_s=0.0):
    order = RunOrder(task, attempt, "c", 2.0, 2.0, 1, 0, 9.0, from_s)
    return Run(order, to_s, from_s, started_s, ended_s, outcome)


def placement(worker, *arguments, **kw):
    return Placement(worker, f"dc-{worker}", run(*arguments, **kw))


def full_server():
    server = BackendSlots("s1", 1)
    server.start("a", 1.0)
    server.start("b", 1.5)
    return server


VIOLATING_HISTORIES = (
    (checkers.check_slot_limits, History(servers=[full_server()])),
    (
        checkers.check_slot_limits,
        History(
            servers=[BackendSlots("s1", 1)],
            served=[
                ServedRequest("s1", "a", 1.0, 3.0),
                ServedRequest("s1", "b", 2.0, 3.0),
            ],
        ),
    ),
    (
        checkers.check_core_limits,
        History(
            placements=[
                placement("w", "a", 1, 1.0, 3.0),
                placement("w", "b", 1, 2.0, 3.0),
            ],
            worker_cores={"w": 3.0},
        ),
    ),
    (
        checkers.check_no_concurrent_attempts,
        History(
            placements=[
                placement("w", "a", 1, 1.0, 3.0),
                placement("x", "a", 2, 2.0, 3.0),
            ]
        ),
    ),
    (
        checkers.check_resumed_once,
        History(
            placements=[
                placement("w", "a", 1, 1.0, 2.0),
                placement("x", "a", 1, 3.0, 4.0),
            ]
        ),
    ),
    (
        checkers.check_resumed_once,
        History(
            placements=[
                placement("w", "a", 1, 1.0, 2.0, "finished"),
                placement("x", "a", 2, 3.0, 4.0),
            ]
        ),
    ),
    (
        checkers.check_resumed_once,
        History(
            placements=[
                placement("w", "a", 1, 1.0, 2.0, to_s=1.0),
                placement("x", "a", 2, 3.0, 4.0, from_s=2.0),
            ]
        ),
    ),
    (
        checkers.check_checkpoints,
        History(
            placements=[
                placement("w", "a", 1, 1.0, 2.0, to_s=1.0),
                placement("x", "a", 2, 3.0, 4.0, from_s=0.0),
            ]
        ),
    ),
    (
        checkers.check_no_starts_while_out,
        History(
            placements=[placement("w", "a", 1, 14.0, 15.0)],
            outages=[Outage("dc-w", 10.0, 20.0)],
        ),
    ),
    (
        checkers.check_answers,
        History(calls=[Call("a", True, 1.0, "answered", "s1 ran b")]),
    ),
    (
        checkers.check_not_run,
        History(
            calls=[Call("a", True, 1.0, "not-run")],
            served=[ServedRequest("s1", "a", 1.0)],
        ),
    ),
    (
        checkers.check_at_most_once,
        History(
            calls=[Call("a", False, 1.0)],
            served=[ServedRequest("s1", "a", 1.0), ServedRequest("s2", "a", 9.0)],
        ),
    ),
    (
        checkers.check_leaving_servers,
        History(served=[ServedRequest("s1", "a", 9.0)], leaving_since_s={"s1": 5.0}),
    ),
    (checkers.check_revision_order, History(revisions={"d1#1": [1, 3, 2]})),
)


class CheckersTest(unittest.TestCase):
    def test_each_checker_finds_its_violations(self):
        for checker, history in VIOLATING_HISTORIES:
            with self.subTest(checker.__name__):
                self.assertTrue(checker(history))

    def test_every_checker_has_a_violating_history(self):
        self.assertEqual({c for c, _ in VIOLATING_HISTORIES}, set(checkers.CHECKERS))

    def test_empty_history_has_no_violations(self):
        self.assertEqual(checkers.find_violations(History()), [])
