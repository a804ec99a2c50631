import unittest

from dogwoodlever.routing import (
    AdvertiseDemand,
    Dispatcher,
    DispatcherLimits,
    EndRequest,
    GrantLoans,
    Loan,
    Outcome,
    Reason,
    Request,
    SendAttempt,
    SlotPool,
)

LIMITS = DispatcherLimits(6, 3, 0.1, 4.0, 0.1)


def make_dispatcher(slots=1, servers=("s1",)):
    slot_pool = SlotPool("d1#1", 1.0, 4.0)
    slot_pool.set_held(dict.fromkeys(servers, slots))
    dispatcher = Dispatcher(slot_pool, LIMITS)
    dispatcher.set_servers(dict.fromkeys(servers, slots), set())
    return dispatcher


def request(number, caller="c", idempotent=True, arrived_s=0.0, timeout_s=1.0):
    return Request(
        f"r{number}", "v", "o", caller, idempotent, arrived_s, arrived_s + timeout_s
    )


def select(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


class OutcomesTest(unittest.TestCase):
    def test_outcomes(self):
        table = (
            ("answered", "handle_response", True, Outcome.ANSWERED),
            ("broken, not idempotent", "handle_broken", False, Outcome.UNKNOWN),
        )
        for name, event, idempotent, outcome in table:
            with self.subTest(name):
                dispatcher = make_dispatcher()
                sent = select(
                    SendAttempt, dispatcher.submit(request(1, "c", idempotent), 0.0)
                )[0]
                effects = getattr(dispatcher, event)(sent.attempt_id, 0.1)
                self.assertEqual(select(EndRequest, effects)[0].outcome, outcome)

    def test_broken_idempotent_request_is_sent_to_another_server(self):
        dispatcher = make_dispatcher(servers=("s1", "s2"))
        first = select(SendAttempt, dispatcher.submit(request(1), 0.0))[0]
        second = select(SendAttempt, dispatcher.handle_broken(first.attempt_id, 0.1))[0]
        self.assertNotEqual(first.server, second.server)
        ends = select(EndRequest, dispatcher.handle_response(second.attempt_id, 0.2))
        self.assertEqual(ends[0].outcome, Outcome.ANSWERED)
        self.assertEqual(
            select(EndRequest, dispatcher.handle_response(first.attempt_id, 0.3)), []
        )

    def test_unwritten_request_is_retried_even_if_not_idempotent(self):
        dispatcher = make_dispatcher()
        first = select(SendAttempt, dispatcher.submit(request(1, "c", False), 0.0))[0]
        again = select(
            SendAttempt, dispatcher.handle_not_written(first.attempt_id, 0.1)
        )
        self.assertEqual(len(again), 1)

    def test_connection_is_reused_only_for_own_slots_and_idempotent_requests(self):
        table = (("own", True, True), ("own, not idempotent", False, False))
        for name, idempotent, reuse in table:
            with self.subTest(name):
                sent = select(
                    SendAttempt,
                    make_dispatcher().submit(request(1, "c", idempotent), 0.0),
                )[0]
                self.assertEqual(sent.reuse, reuse)
        borrower = make_dispatcher(0)
        borrower.set_servers({"s1": 8}, set())
        borrower.submit(request(1), 0.0)
        loans = (Loan("d2#1/1", "s1"),)
        sent = select(SendAttempt, borrower.handle_loans("d2#1", loans, 0.0, 1.0, 0.1))[
            0
        ]
        self.assertFalse(sent.reuse)

    def test_number_of_attempts_is_limited(self):
        dispatcher = make_dispatcher()
        effects = dispatcher.submit(request(1), 0.0)
        for _ in range(3):
            sent = select(SendAttempt, effects)[0]
            effects = dispatcher.handle_not_written(sent.attempt_id, 0.0)
        end = select(EndRequest, effects)[0]
        self.assertEqual(end.outcome, Outcome.NOT_RUN)
        self.assertEqual(end.reason, Reason.ATTEMPTS_EXHAUSTED)
        self.assertGreater(end.retry_after_s, 0)

    def test_written_request_ends_as_unknown_at_its_deadline(self):
        dispatcher = make_dispatcher()
        sent = select(SendAttempt, dispatcher.submit(request(1, "c", False), 0.0))[0]
        end = select(EndRequest, dispatcher.handle_timeout(sent.attempt_id, 1.0))[0]
        self.assertEqual((end.outcome, end.reason), (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_slot_of_an_abandoned_attempt_stays_occupied(self):
        dispatcher = make_dispatcher()
        sent = select(SendAttempt, dispatcher.submit(request(1, "c", False), 0.0))[0]
        dispatcher.handle_broken(sent.attempt_id, 0.1)
        late = request(2, arrived_s=0.2, timeout_s=9.0)
        self.assertEqual(select(SendAttempt, dispatcher.submit(late, 0.2)), [])
        self.assertEqual(select(SendAttempt, dispatcher.tick(3.9)), [])
        self.assertEqual(len(select(SendAttempt, dispatcher.tick(4.0))), 1)

    def test_idempotent_request_is_retried_after_the_attempt_timeout(self):
        dispatcher = make_dispatcher(servers=("s1", "s2"))
        sent = select(SendAttempt, dispatcher.submit(request(1), 0.0))[0]
        self.assertLess(sent.timeout_s, 1.0)
        again = select(
            SendAttempt, dispatcher.handle_timeout(sent.attempt_id, sent.timeout_s)
        )
        self.assertEqual(len(again), 1)


class AdmissionTest(unittest.TestCase):
    def test_request_that_would_be_late_is_rejected_at_once(self):
        dispatcher = make_dispatcher()
        for number in range(4):
            dispatcher.submit(request(number), 0.0)
        end = select(EndRequest, dispatcher.submit(request(9, timeout_s=0.2), 0.0))[0]
        self.assertEqual(end.reason, Reason.WOULD_BE_LATE)
        self.assertEqual(end.outcome, Outcome.NOT_RUN)

    def test_queued_request_ends_once_it_can_no_longer_meet_its_deadline(self):
        dispatcher = make_dispatcher()
        dispatcher.submit(request(1), 0.0)
        dispatcher.submit(request(2, timeout_s=0.5), 0.0)
        self.assertEqual(select(EndRequest, dispatcher.tick(0.39)), [])
        end = select(EndRequest, dispatcher.tick(0.41))[0]
        self.assertEqual(end.request.request_id, "r2")
        self.assertEqual(end.outcome, Outcome.NOT_RUN)

    def test_full_queue_displaces_the_caller_with_the_most_requests(self):
        dispatcher = make_dispatcher()
        for number in range(7):
            dispatcher.submit(request(number, "heavy", timeout_s=9.0), 0.0)
        effects = dispatcher.submit(request(8, "light", timeout_s=9.0), 0.0)
        end = select(EndRequest, effects)[0]
        self.assertEqual(end.request.caller, "heavy")
        self.assertEqual(end.reason, Reason.QUEUE_FULL)

    def test_callers_are_served_round_robin(self):
        dispatcher = make_dispatcher()
        sent = select(SendAttempt, dispatcher.submit(request(0), 0.0))[0]
        for number, caller in enumerate("aaab", 1):
            dispatcher.submit(request(number, caller, timeout_s=9.0), 0.0)
        order = []
        for _ in range(4):
            sent = select(
                SendAttempt, dispatcher.handle_response(sent.attempt_id, 0.1)
            )[0]
            order.append(sent.request.caller)
        self.assertEqual(order, ["a", "b", "a", "a"])

    def test_draining_rejects_new_requests_and_finishes_running_ones(self):
        dispatcher = make_dispatcher()
        sent = select(SendAttempt, dispatcher.submit(request(1), 0.0))[0]
        dispatcher.drain(0.0)
        end = select(EndRequest, dispatcher.submit(request(2), 0.0))[0]
        self.assertEqual(end.reason, Reason.DRAINING)
        end = select(EndRequest, dispatcher.handle_response(sent.attempt_id, 0.1))[0]
        self.assertEqual(end.outcome, Outcome.ANSWERED)


class PlacementTest(unittest.TestCase):
    def test_leaving_server_is_neither_chosen_nor_lent(self):
        dispatcher = make_dispatcher(servers=("s1", "s2"), slots=4)
        dispatcher.set_servers({"s1": 4, "s2": 4}, {"s1"})
        for number in range(3):
            sent = select(SendAttempt, dispatcher.submit(request(number), 0.0))[0]
            self.assertEqual(sent.server, "s2")
        lent = select(GrantLoans, dispatcher.handle_demand("d2#1", 5, 0.1, 0.0, 0.0))
        self.assertEqual({x.loans[0].server for x in lent}, {"s2"})

    def test_failing_server_is_ejected_then_probed_with_one_request(self):
        dispatcher = make_dispatcher(servers=("s1", "s2", "s3"), slots=9)
        for _ in range(3):
            dispatcher.outliers.record_failure("s1", 0.0)
        self.assertEqual(dispatcher.outliers.concurrency_limit("s1", 9, 0.5), 0)
        self.assertEqual(dispatcher.outliers.concurrency_limit("s1", 9, 1.5), 1)
        dispatcher.outliers.record_success("s1", 0.1, 1.6)
        self.assertEqual(dispatcher.outliers.concurrency_limit("s1", 9, 1.7), 1)
        self.assertEqual(dispatcher.outliers.concurrency_limit("s1", 9, 4.2), 4)
        self.assertEqual(dispatcher.outliers.concurrency_limit("s1", 9, 6.7), 9)

    def test_no_more_than_a_third_is_ejected(self):
        dispatcher = make_dispatcher(servers=("s1", "s2", "s3"))
        ejected = [
            any(dispatcher.outliers.record_failure(server, 0.0) for _ in range(3))
            for server in ("s1", "s2", "s3")
        ]
        self.assertEqual(ejected, [True, False, False])

    def test_demand_is_advertised_and_withdrawn(self):
        dispatcher = make_dispatcher()
        sent = select(SendAttempt, dispatcher.submit(request(1), 0.0))[0]
        demands = select(AdvertiseDemand, dispatcher.submit(request(2), 0.0))
        self.assertEqual([demand.count for demand in demands], [1])
        demands = select(
            AdvertiseDemand, dispatcher.handle_response(sent.attempt_id, 0.1)
        )
        self.assertEqual([demand.count for demand in demands], [0])

    def test_older_request_of_a_peer_goes_first(self):
        table = (("peer's is older", 0.5, 1), ("own is older", 0.01, 0))
        for name, age_s, lent in table:
            with self.subTest(name):
                dispatcher = make_dispatcher(2)
                sent = [
                    select(SendAttempt, dispatcher.submit(request(n), 0.0))[0]
                    for n in range(2)
                ]
                dispatcher.submit(request(9, timeout_s=9.0, arrived_s=0.1), 0.1)
                dispatcher.handle_demand("d2#1", 1, age_s, 0.2, 0.2)
                effects = dispatcher.handle_response(sent[0].attempt_id, 0.2)
                self.assertEqual(len(select(GrantLoans, effects)), lent)
