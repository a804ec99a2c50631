"""What events of a worker prove of its runs: rows of events and expected answers."""

import unittest

from dogwoodlever._drop_evidence import DropCause, DropEvidence
from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_types import EndedRun, PollResult, RunId, RunningRun, TaskId
from dogwoodlever._run_evidence import (
    ENDS_LISTED_MAX,
    LATE_ORDER_MAX_S,
    OrderVerdict,
    PollVerdict,
    WorkerEvidence,
    lease_bound_s,
)
from dogwoodlever.platform_errors import (
    ConnectionRefusedByWorkerError,
    OrderRefusedError,
    WorkerUnreachableError,
    WrongIncarnationError,
)

LEASE_S, LEASE_MAX_S, STOP_S = 5.0, 10.0, 0.4
FOREVER_S = 1e9
RUN = RunId(TaskId("a" * 16, 0, 0, 0), 1)
SILENT = WorkerUnreachableError()
REJECTED = ConnectionRefusedByWorkerError()
OTHER_WORKER = WrongIncarnationError()
FENCED, SUPERSEDED, EXPIRED, NO_ROOM, UNHEALTHY = (
    OrderRefusedError(reason)
    for reason in (
        RefusalReason.FENCED,
        RefusalReason.SUPERSEDED,
        RefusalReason.EXPIRED,
        RefusalReason.NO_ROOM,
        RefusalReason.UNHEALTHY,
    )
)
# Start of an incarnation, in ms.
KNOWN, NEXT = 1, 2
# Response of another incarnation to an order, by its clock.
NEXT_CLOCK = "next clock"


def result(now_s, started_at_ms=KNOWN, running=(), ends=0):
    """Return a response; the worker's clock is 100 s ahead of the leader's."""
    listed = tuple(RunningRun(run_id, "", 0, 0) for run_id in running)
    ended = tuple(EndedRun(n + 1, RUN, "done", "") for n in range(ends))
    return PollResult(int((now_s + 100) * 1000), started_at_ms, listed, ended)


def poll(evidence, now_s, outcome=KNOWN):
    """Poll a worker; the outcome is an error or the incarnation that answers."""
    evidence.begin_poll(now_s, FOREVER_S)
    if isinstance(outcome, Exception):
        return evidence.judge_failed_poll(outcome, now_s, 0.0, now_s)
    return evidence.judge_poll(result(now_s, outcome), KNOWN, now_s)


def polled_worker():
    """Return the evidence on a worker that has got a lease at 1 s."""
    evidence = WorkerEvidence(LEASE_S, LEASE_MAX_S, STOP_S)
    evidence.begin_incarnation(former_leases_expire_s=0.0)
    poll(evidence, 0.0)
    poll(evidence, 1.0)
    return evidence


class RunEvidenceTest(unittest.TestCase):
    def test_polls(self):
        alive, unknown = PollVerdict.ALIVE, PollVerdict.UNKNOWN
        table = (
            # name, outcomes of polls at 2 s, 3 s, ...; the last verdict, whether the
            # worker gets starts, and whether it gets a longer lease
            ("answered", [KNOWN], alive, True, True),
            ("start not known", [0], alive, True, True),
            ("one silence", [SILENT], unknown, True, False),
            ("silence", [SILENT] * 2, unknown, False, False),
            ("refused connections", [REJECTED] * 2, unknown, False, False),
            ("fenced", [FENCED] * 2, unknown, False, False),
            ("silence, then answered", [SILENT] * 2 + [KNOWN], alive, True, True),
        )
        for name, outcomes, verdict, gets_starts, gets_lease in table:
            with self.subTest(name):
                evidence = polled_worker()
                for number, outcome in enumerate(outcomes):
                    found = poll(evidence, number + 2.0, outcome)
                self.assertIs(found, verdict)
                self.assertEqual(evidence.is_reachable, gets_starts)
                first = evidence.lease_until_ms(8.0, FOREVER_S)
                second = evidence.lease_until_ms(9.0, FOREVER_S)
                self.assertEqual(second - first, 1000 * gets_lease)

    def test_answers_of_other_processes(self):
        # At the first poll, the entry may be outdated.
        new = WorkerEvidence(LEASE_S, LEASE_MAX_S, STOP_S)
        new.begin_incarnation(former_leases_expire_s=8.0)
        table = (
            (new, NEXT, PollVerdict.MISNAMED),
            (polled_worker(), NEXT, PollVerdict.REPLACED),
            (polled_worker(), OTHER_WORKER, PollVerdict.ADDRESS_TAKEN),
        )
        for evidence, outcome, verdict in table:
            with self.subTest(verdict=verdict):
                self.assertIs(poll(evidence, 2.0, outcome), verdict)

    def test_expiry_of_leases(self):
        # The lease granted at 3 s, by the clock that was read at 1 s or 2 s.
        def slow_s(read_s):
            return read_s + (8 - read_s) / 0.98 + 0.25 + STOP_S

        table = (
            # outcomes of polls at 2 s and 3 s, expiry
            ([KNOWN, SILENT], slow_s(2.0)),
            ([KNOWN, REJECTED], slow_s(2.0)),
            # The poll at 3 s grants no lease.
            ([SILENT, SILENT], slow_s(1.0) - 1 / 0.98),
            ([SILENT, KNOWN], None),
        )
        for outcomes, expiry_s in table:
            with self.subTest(outcomes=outcomes):
                evidence = polled_worker()
                for number, outcome in enumerate(outcomes):
                    poll(evidence, number + 2.0, outcome)
                if expiry_s is None:
                    self.assertFalse(evidence.expire_leases(FOREVER_S))
                    continue
                self.assertFalse(evidence.expire_leases(expiry_s - 0.01))
                self.assertTrue(evidence.expire_leases(expiry_s + 0.01))
                # A lease that is granted later keeps no run.
                contact_s = expiry_s - STOP_S
                self.assertIsNone(evidence.confirm_expiry(contact_s - 0.01))
                cause = evidence.confirm_expiry(contact_s + 0.01)
                self.assertIs(cause.evidence, DropEvidence.LEASES_EXPIRED)
                self.assertAlmostEqual(cause.since_s, expiry_s, 2)

    def test_lease_overruns(self):
        table = (
            # worker; polls from 2 s on; what its clock reads beyond the lease at last
            (polled_worker(), [KNOWN], 0),
            (polled_worker(), [SILENT] * 5 + [KNOWN], 0),
            (polled_worker(), [SILENT] * 7 + [KNOWN], 2_000),
            (polled_worker(), [SILENT] * 7 + [KNOWN] * 2, 0),
            # Until 11.45 s, calls for its former incarnation may have granted leases.
            (polled_worker().carry_over(1.0), [KNOWN] * 2 + [SILENT] * 7 + [KNOWN], 0),
            (
                polled_worker().carry_over(1.0),
                [KNOWN] * 2 + [SILENT] * 8 + [KNOWN],
                3_000,
            ),
        )
        for row, (evidence, outcomes, overrun_ms) in enumerate(table):
            with self.subTest(row=row):
                for number, outcome in enumerate(outcomes):
                    poll(evidence, number + 2.0, outcome)
                self.assertEqual(evidence.lease_overrun_ms, overrun_ms)

    def test_starts(self):
        done, refused = OrderVerdict.CARRIED_OUT, OrderVerdict.REFUSED
        in_doubt, retry = OrderVerdict.IN_DOUBT, OrderVerdict.RETRY
        ended = OrderVerdict.INCARNATION_ENDED
        table = (
            # outcomes of copies at 2 s, 3 s, ... (None: confirmed), the last verdict,
            # until when the next incarnation may carry out a copy, seen at 5 s, and
            # whether the run has to be listed
            ([None], done, None, True),
            ([SILENT], retry, 2.0, False),
            ([SILENT, None], done, 2.0, True),
            ([SILENT, SUPERSEDED], done, 2.0, True),
            ([SILENT, NO_ROOM], in_doubt, 2.0, False),
            ([SILENT, OTHER_WORKER], ended, 2.0, False),
            ([SILENT, NEXT_CLOCK], ended, 2.0, False),
            ([REJECTED], retry, 5.0, False),
            ([REJECTED, NO_ROOM], refused, None, False),
            ([NO_ROOM], refused, None, False),
            ([SUPERSEDED], refused, None, False),
            ([UNHEALTHY], refused, None, False),
            ([FENCED] * 3, retry, 5.0, False),
            ([EXPIRED] * 2, retry, 5.0, False),
            ([EXPIRED] * 3, refused, None, False),
            ([OTHER_WORKER], ended, None, False),
            ([NEXT_CLOCK], ended, 5.0, False),
        )
        for outcomes, verdict, sent_s, is_listed in table:
            with self.subTest(outcomes=outcomes):
                evidence = polled_worker()
                attempts = evidence.begin_start(RUN)
                for number, outcome in enumerate(outcomes):
                    found = self.attempt(evidence, attempts, number + 2.0, outcome)
                self.assertIs(found, verdict)
                expected = {} if sent_s is None else {RUN: sent_s + LATE_ORDER_MAX_S}
                self.assertEqual(evidence.starts_in_flight(5.0), expected)
                unlisted = evidence.unlisted_runs([RUN], result(6.0), 6.0)
                self.assertEqual(RUN in unlisted, is_listed)

    def attempt(self, evidence, attempts, now_s, outcome):
        evidence.begin_attempt(attempts, now_s, FOREVER_S)
        if isinstance(outcome, Exception):
            return evidence.judge_failed_start(attempts, outcome, now_s)
        clock_ms = 50 if outcome is NEXT_CLOCK else result(now_s).clock_ms
        return evidence.judge_start(attempts, clock_ms, now_s)

    def test_starts_of_a_young_worker(self):
        table = (
            # clock at the answer to a poll, sent at 2 s; when that was read; clock at
            # the answer to a start, 10 ms later; verdict; whether it stays in flight
            (100, 2.002, 112, OrderVerdict.CARRIED_OUT, False),
            (30, 2.002, 42, OrderVerdict.CARRIED_OUT, True),
            (100, 2.9, 112, OrderVerdict.CARRIED_OUT, True),
            (5_000, 2.9, 5_012, OrderVerdict.CARRIED_OUT, False),
            (5_000, 2.9, 800, OrderVerdict.INCARNATION_ENDED, True),
        )
        for row, (poll_ms, read_s, start_ms, verdict, stays) in enumerate(table):
            with self.subTest(row=row):
                evidence = WorkerEvidence(LEASE_S, LEASE_MAX_S, STOP_S)
                evidence.begin_incarnation(former_leases_expire_s=0.0)
                evidence.begin_poll(2.0, FOREVER_S)
                evidence.judge_poll(PollResult(poll_ms, KNOWN, (), ()), KNOWN, read_s)
                attempts = evidence.begin_start(RUN)
                evidence.begin_attempt(attempts, read_s, FOREVER_S)
                found = evidence.judge_start(attempts, start_ms, read_s + 0.01)
                self.assertIs(found, verdict)
                carried = evidence.carry_over(3.0)
                self.assertEqual(RUN in carried.starts_in_flight(3.0), stays)

    def test_listings(self):
        table = (
            # response to a poll that was sent at a time, whether the run has ended
            (result(3.0), 2.5, True),
            (result(3.0, running=[RUN]), 2.5, False),
            (result(3.0), 2.0, False),
            (result(3.0), 1.5, False),
            (result(3.0, ends=ENDS_LISTED_MAX), 2.5, False),
        )
        for number, (response, sent_s, has_ended) in enumerate(table):
            with self.subTest(row=number):
                evidence = polled_worker()
                evidence.expect_listed(RUN, 2.0)
                evidence.judge_poll(response, KNOWN, 3.0)
                unlisted = evidence.unlisted_runs([RUN], response, sent_s)
                cause = DropCause(DropEvidence.NOT_LISTED, 3.0)
                self.assertEqual(unlisted, {RUN: cause} if has_ended else {})

    def test_next_incarnation_after_a_start_without_an_answer(self):
        former = polled_worker()
        attempts = former.begin_start(RUN)
        self.attempt(former, attempts, 2.0, SILENT)
        expires_s = 2.0 + LATE_ORDER_MAX_S
        late_lease_s = lease_bound_s(LEASE_MAX_S, STOP_S)
        ended_s = expires_s + late_lease_s
        evidence = former.carry_over(3.0)
        self.assertEqual(evidence.expired_starts([RUN], ended_s - 0.1), {})
        cause = DropCause(DropEvidence.ORDER_EXPIRED, ended_s)
        self.assertEqual(evidence.expired_starts([RUN], ended_s), {RUN: cause})
        self.assertEqual(evidence.late_runs(3.0), {RUN: ended_s})
        # A late answer to the former incarnation's order changes nothing.
        former.judge_start(attempts, result(4.0).clock_ms, 4.0)
        evidence.begin_incarnation(former_leases_expire_s=0.0)
        self.assertEqual(evidence.lease_expiry_s, 3.0 + late_lease_s)
        poll(evidence, 4.0)
        self.assertFalse(evidence.is_reachable)
        self.assertEqual(evidence.begin_poll(5.0, FOREVER_S), (0, 0))
        evidence.settle_start(RUN)
        evidence.unblock_leases(RUN, 5.0)
        poll(evidence, 6.0)
        self.assertTrue(evidence.is_reachable)
        for sent_s, has_ended in ((6.0, False), (expires_s + 0.1, True)):
            unlisted = evidence.unlisted_runs([RUN], result(sent_s), sent_s)
            self.assertEqual(RUN in unlisted, has_ended)

    def test_what_is_carried_over_ends(self):
        for sends_start, spent_s in ((False, 13.85), (True, 26.35)):
            with self.subTest(sends_start=sends_start):
                former = polled_worker()
                if sends_start:
                    former.begin_start(RUN)
                evidence = former.carry_over(3.0)
                self.assertFalse(evidence.is_spent(spent_s - 0.01))
                self.assertTrue(evidence.is_spent(spent_s + 0.01))
        carried = former.carry_over(3.0, may_return=False)
        self.assertEqual(carried.starts_in_flight(3.0), {})

    def test_late_grants_lengthen_leases_of_the_next_incarnation(self):
        late_lease_s = lease_bound_s(LEASE_MAX_S, STOP_S)
        table = (
            # what happens to a poll or a start of the former incarnation, expiry
            (lambda former: poll(former, 2.0), 3.0 + late_lease_s),
            (lambda former: poll(former, 2.0, REJECTED), 3.0 + late_lease_s),
            (lambda former: poll(former, 2.0, SILENT), 3.0 + 2 * late_lease_s),
            (lambda former: former.begin_poll(2.0, FOREVER_S), 3.0 + 2 * late_lease_s),
            (self.lose_start, 3.0 + 2 * late_lease_s),
        )
        for number, (act, expiry_s) in enumerate(table):
            with self.subTest(row=number):
                former = polled_worker()
                act(former)
                evidence = former.carry_over(3.0)
                evidence.begin_incarnation(former_leases_expire_s=0.0)
                evidence.lease_blockers.clear()
                for now_s, outcome in ((4.0, KNOWN), (5.0, KNOWN), (6.0, SILENT)):
                    poll(evidence, now_s, outcome)
                evidence.expire_leases(7.0)
                self.assertAlmostEqual(evidence.lease_expiry_s, expiry_s)

    def lose_start(self, evidence):
        attempts = evidence.begin_start(RUN)
        self.attempt(evidence, attempts, 2.0, SILENT)
        self.attempt(evidence, attempts, 2.5, None)

    def test_start_without_an_answer_blocks_leases_after_their_expiry(self):
        evidence = polled_worker()
        evidence.begin_start(RUN)
        poll(evidence, 2.0, SILENT)
        self.assertTrue(evidence.expire_leases(20.0))
        poll(evidence, 20.0)
        granted = [evidence.lease_until_ms(now_s, FOREVER_S) for now_s in (21.0, 22.0)]
        self.assertEqual(granted[0], granted[1])

    def test_listed_run_of_a_start_without_an_answer_blocks_no_lease(self):
        former = polled_worker()
        attempts = former.begin_start(RUN)
        self.attempt(former, attempts, 2.0, SILENT)
        evidence = former.carry_over(3.0)
        evidence.begin_incarnation(former_leases_expire_s=0.0)
        poll(evidence, 4.0)
        evidence.confirm_listed(RUN, 4.0)
        poll(evidence, 5.0)
        self.assertTrue(evidence.is_reachable)
        self.assertGreater(evidence.begin_poll(6.0, FOREVER_S)[1], 0)
        self.assertIn(RUN, evidence.unlisted_runs([RUN], result(6.0), 5.0))
        # A copy may still reach the incarnation after this one.
        self.assertEqual(evidence.starts_in_flight(6.0), {RUN: 2.0 + LATE_ORDER_MAX_S})

    def test_stops(self):
        table = (
            (SILENT, OrderVerdict.RETRY),
            (REJECTED, OrderVerdict.RETRY),
            (FENCED, OrderVerdict.RETRY),
            (UNHEALTHY, OrderVerdict.RETRY),
            (SUPERSEDED, OrderVerdict.CARRIED_OUT),
            (OTHER_WORKER, OrderVerdict.INCARNATION_ENDED),
        )
        for error, verdict in table:
            with self.subTest(error=error):
                self.assertIs(WorkerEvidence.judge_failed_stop(error), verdict)

    # Guards against a number that is repeated in each poll, one of which may be carried
    # out late, by the next incarnation.
    def test_ends_are_acknowledged_to_an_incarnation_that_answers(self):
        table = (
            # outcomes of the polls from 2 s on, number in the next poll
            ((), 2),
            ((KNOWN,), 0),
            ((SILENT,), 0),
            ((REJECTED,), 0),
            ((SILENT, KNOWN), 2),
            ((REJECTED, KNOWN), 2),
            ((SILENT, KNOWN, KNOWN), 0),
        )
        for outcomes, number in table:
            with self.subTest(outcomes=outcomes):
                evidence = polled_worker()
                self.assertTrue(evidence.read_end(2))
                self.assertFalse(evidence.read_end(2))
                self.assertFalse(evidence.is_quiescent)
                self.assertEqual(evidence.begin_poll(1.5, FOREVER_S)[0], 0)
                evidence.acknowledge(2)
                self.assertTrue(evidence.is_quiescent)
                for second, outcome in enumerate(outcomes):
                    poll(evidence, 2.0 + second, outcome)
                self.assertEqual(evidence.begin_poll(9.0, FOREVER_S)[0], number)
                poll(evidence, 9.0)
                evidence.acknowledge(3)
                self.assertEqual(evidence.begin_poll(10.0, FOREVER_S)[0], 3)


if __name__ == "__main__":
    unittest.main()
