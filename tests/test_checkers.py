import unittest

from dogwoodlever.platform_clients import RunOrder
from standins.backend_slots import BackendSlots, ServedRequest
from standins.worker_machine import Run
from tests import checkers
from tests.checkers import Call, History, Outage, Placement


def run(task, attempt, started_s, ended_s, outcome="stopped", from_s=0.0, to_s=0.0):
    order = RunOrder(task, attempt, "c", 2.0, 2.0, 1, 0, 9.0, from_s)
    return Run(order, to_s, from_s, started_s, ended_s, outcome)


def placed(worker, *arguments, **kw):
    return Placement(worker, f"dc-{worker}", run(*arguments, **kw))


def full_server():
    server = BackendSlots("s1", 1)
    server.start("a", 1.0)
    server.start("b", 1.5)
    return server


BAD = (
    (checkers.check_slots, History(servers=[full_server()])),
    (
        checkers.check_slots,
        History(
            servers=[BackendSlots("s1", 1)],
            served=[
                ServedRequest("s1", "a", 1.0, 3.0),
                ServedRequest("s1", "b", 2.0, 3.0),
            ],
        ),
    ),
    (
        checkers.check_cores,
        History(
            placed=[placed("w", "a", 1, 1.0, 3.0), placed("w", "b", 1, 2.0, 3.0)],
            core_rooms={"w": 3.0},
        ),
    ),
    (
        checkers.check_one_place,
        History(placed=[placed("w", "a", 1, 1.0, 3.0), placed("x", "a", 2, 2.0, 3.0)]),
    ),
    (
        checkers.check_resumed_once,
        History(placed=[placed("w", "a", 1, 1.0, 2.0), placed("x", "a", 1, 3.0, 4.0)]),
    ),
    (
        checkers.check_resumed_once,
        History(
            placed=[
                placed("w", "a", 1, 1.0, 2.0, "finished"),
                placed("x", "a", 2, 3.0, 4.0),
            ]
        ),
    ),
    (
        checkers.check_resumed_once,
        History(
            placed=[
                placed("w", "a", 1, 1.0, 2.0, to_s=1.0),
                placed("x", "a", 2, 3.0, 4.0, from_s=2.0),
            ]
        ),
    ),
    (
        checkers.check_checkpoints,
        History(
            placed=[
                placed("w", "a", 1, 1.0, 2.0, to_s=1.0),
                placed("x", "a", 2, 3.0, 4.0, from_s=0.0),
            ]
        ),
    ),
    (
        checkers.check_out,
        History(
            placed=[placed("w", "a", 1, 14.0, 15.0)],
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
        checkers.check_once,
        History(
            calls=[Call("a", False, 1.0)],
            served=[ServedRequest("s1", "a", 1.0), ServedRequest("s2", "a", 9.0)],
        ),
    ),
    (
        checkers.check_leaving,
        History(served=[ServedRequest("s1", "a", 9.0)], leaving={"s1": 5.0}),
    ),
    (checkers.check_revisions, History(revisions={"d1#1": [1, 3, 2]})),
)


class CheckersTest(unittest.TestCase):
    def test_each_refuses_a_bad_history(self):
        for checker, history in BAD:
            with self.subTest(checker.__name__):
                self.assertTrue(checker(history))

    def test_every_checker_has_a_bad_history(self):
        self.assertEqual({c for c, _ in BAD}, set(checkers.CHECKERS))

    def test_an_empty_history_is_accepted(self):
        self.assertEqual(checkers.find_violations(History()), [])
