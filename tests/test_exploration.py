"""Orders of events: traces that broke a guarantee, all single faults, mends undone."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from dogwoodlever import _run_evidence
from dogwoodlever._drop_evidence import DropEvidence
from dogwoodlever._fleet_workers import FleetWorkers
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S, WorkerEvidence
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._unreachable_workers import UnreachableWorkers
from dogwoodlever.platform_errors import (
    ConnectionRefusedByWorkerError,
    WrongIncarnationError,
)
from tests.exploration import explore, replay

NEVER_S = float("-inf")
# Printed by `python -m tests.exploration`.
TRACES = (
    # A start is repeated while its worker restarts, and the next incarnation accepts it
    # with the longest lease; then the worker is cut off. The run is taken for lost when
    # the leases of the former incarnation have expired.
    ("start w0 1: crash, back 0.0 s", "poll w0 3: cut silent 8.0 s"),
)
# The next incarnation carries out a repeated start, and its stop releases the task; the
# first copy of that start reaches the incarnation after it.
TWO_RESTARTS_TRACE = (
    "start w0 1: late 3.0 s",
    "start w0 2: crash, back 0.3 s",
    "poll w0 9: crash, back 0.3 s",
)
# As above, of a test of `KNOWN-RED.txt`: a late start is carried out by an incarnation
# that returns after the leases have expired.
KNOWN_TRACE = (
    "start w0 1: reaches the next incarnation",
    "poll w0 3: crash, back 6.0 s",
    "poll w0 4: leader stopped",
)


def _report_unanswered_starts_only(evidence, now_s):
    return dict.fromkeys(evidence._unanswered_starts, now_s + LATE_ORDER_MAX_S)


def _believe_entry(workers, worker_id):
    entry = workers._announced.pop(worker_id)
    workers._drop_incarnation(
        worker_id, DropEvidence.INCARNATION_REPLACED, "restarted", is_member=True
    )
    workers._add_worker(entry)


def _release_at_once(evidence, run_id, now_s):
    evidence.lease_blockers.discard(run_id)
    evidence.expect_listed(run_id, now_s)


def _forget_other_incarnations_lease(evidence, attempts, clock_ms, now_s):
    expiry_s = evidence._misdirected_expiry_s
    verdict = judge_start(evidence, attempts, clock_ms, now_s)
    evidence._misdirected_expiry_s = expiry_s
    return verdict


def _keep_listed(workers, link, started_at_ms):
    link.entry = replace(link.entry, started_at_ms=started_at_ms)
    workers.capacities[link.entry.worker_id].update_entry(link.entry)


def _count_without_base(registry, task, worker_id, now_s, number=0):
    base = registry._run_base
    registry._run_base = 0 if number else base
    run = begin_run(registry, task, worker_id, now_s, number)
    registry._run_base = base
    return run


def _match_number_only(registry, end, worker_id):
    task = registry.find(end.run.task)
    run = task.runs.get(end.run.number) if task is not None else None
    return end_run(registry, end, worker_id if run is None else run.worker_id)


def _grant_to_named(workers, worker_id):
    return workers._get_leases_end_s()


def _count_from_first_revision(unreachable, record, kept_since_term):
    seen_s = unreachable._get_seen_s.__self__
    unreachable._get_seen_s = lambda revision: min(seen_s.values())
    load(unreachable, record, kept_since_term)


def _mark_named_when_confirmed(unreachable, record):
    confirmed = getattr(unreachable, "confirmed", frozenset())
    unreachable._possibly_named = confirmed

    def confirm(result):
        if result.revision:
            unreachable.confirmed = frozenset(record.waits_ms)
        return result

    return commit(unreachable, record).addCallback(confirm)


load = UnreachableWorkers.load
commit = UnreachableWorkers._commit
begin_run = RunRegistry.begin_run
end_run = RunRegistry.end_run
on_former_leader_stopped = FleetWorkers.on_former_leader_stopped
keep_evidence = FleetWorkers._keep_evidence
judge_start = WorkerEvidence.judge_start


def _assume_all_leaders_stopped(workers, _elected_s, _earlier_left_s):
    on_former_leader_stopped(workers, NEVER_S)


def _forget_granted_leases(workers, capacity, carried):
    carried._misdirected_expiry_s = carried._former_late_grants_end_s = NEVER_S
    # Otherwise the first answer alone makes the longest lease count.
    carried._fenced_s = 0.0
    keep_evidence(workers, capacity, carried)


def _trust_incarnation(workers, link):
    link.evidence.confirm_incarnation(True, workers._clock.seconds())
    workers._set_member(link)


def _expire_granted_leases(workers, worker_id):
    stored_s = workers._unreachable.former_expiry_s(worker_id)
    return min(workers._former_leases_expire_s, stored_s)


def _believe_address(workers, link):
    worker_id = link.entry.worker_id
    if workers._links.get(worker_id) is link:
        workers._drop_incarnation(
            worker_id,
            DropEvidence.ADDRESS_TAKEN,
            "another worker answers",
            may_return=False,
        )


# Commit, owner and name of what is patched, replacement without the mend, and for each
# fault where it is injected and the faults to choose from.
MENDS = (
    (
        "2aac051",
        (
            _run_evidence,
            "WrongIncarnationError",
            (WrongIncarnationError, ConnectionRefusedByWorkerError),
        ),
        (("w0", ("cut refused 4.0 s",)),),
    ),
    (
        "0e12b79",
        (WorkerEvidence, "starts_in_flight", _report_unanswered_starts_only),
        (("start", ("late 3.0 s",)), ("w0", ("crash, back 0.0 s",))),
    ),
    (
        "a3c8c35",
        (FleetWorkers, "_confirm_incarnation", _believe_entry),
        (("w0", ("outdated entry",)),),
    ),
    (
        "9e91c65",
        (WorkerEvidence, "unblock_leases", _release_at_once),
        (
            ("start", ("reaches the incarnation after the next",)),
            ("waits", ("crash, back 0.3 s",)),
            ("poll w0", ("crash, back 0.3 s",)),
        ),
    ),
    (
        "b7d7505",
        (FleetWorkers, "on_identified", _keep_listed),
        (
            ("w0", ("crash, back 0.3 s smaller, entry late",)),
            ("poll w0", ("leader killed", "leader stopped")),
        ),
    ),
    (
        "de45d52",
        (FleetWorkers, "on_former_leader_stopped", _assume_all_leaders_stopped),
        (("w0", ("leader split",)), ("w0", ("leader stopped",))),
    ),
    (
        "16f86d3",
        (FleetWorkers, "_keep_evidence", _forget_granted_leases),
        (("poll w0 2", ("crash, back 0.0 s",)), ("w0", ("cut silent 8.0 s",))),
    ),
    # A successor counts granted leases for a worker that has returned (issue 56): one
    # that it reaches, and one that it does not.
    (
        "longest lease, reached",
        (FleetWorkers, "_record_first_answer", _trust_incarnation),
        (
            ("poll w0 2", ("crash, back 0.0 s",)),
            ("w0", ("leader stopped",)),
            ("w0", ("cut silent 8.0 s",)),
        ),
    ),
    (
        "longest lease, silent",
        (FleetWorkers, "_former_expiry_s", _expire_granted_leases),
        (
            ("poll w0 2", ("crash, back 0.0 s",)),
            ("w0", ("cut silent 8.0 s",)),
            ("w0", ("leader stopped",)),
        ),
    ),
    (
        "f764678",
        (FleetWorkers, "on_address_taken", _believe_address),
        (
            ("poll w0 1", ("crash, moves",)),
            ("poll w0", ("outdated entry",)),
            ("poll w0", ("leader killed",)),
        ),
    ),
    # A lease is granted before the record without the worker is stored.
    (
        "02b762d",
        (FleetWorkers, "_leases_end_s", _grant_to_named),
        (("poll w0 3", ("cut silent 4.0 s",)), ("w0", ("leader split",))),
    ),
    # The wait is counted from an earlier revision of the record.
    (
        "02b762d",
        (UnreachableWorkers, "load", _count_from_first_revision),
        (
            ("poll w0 3", ("cut refused 4.0 s",)),
            ("poll w0", ("cut silent 8.0 s",)),
            ("w0", ("leader stopped", "leader killed")),
        ),
    ),
    # A write without an answer counts as not carried out.
    (
        "02b762d",
        (UnreachableWorkers, "_commit", _mark_named_when_confirmed),
        (
            ("poll w0 3", ("cut refused 2.5 s",)),
            ("w0", ("answer of a write lost", "write late 1.7 s")),
            ("w0", ("leader split",)),
        ),
    ),
)

# Faults at a worker while leaders change in a row: the worker is lost, or returns.
ROW = "leaders stopped each 2.0 s"
LOSSES = ("crash", "cut silent 25.0 s", "cut refused 25.0 s")
RETURNS = (
    "cut silent 1.0 s",
    "cut silent 4.0 s",
    "cut refused 8.0 s",
    "crash, back 0.3 s",
    "answer reset",
)


def explore_row(faults):
    """Explore single faults at the task's worker while leaders change in a row."""
    return explore(2, (("poll w0 3", (ROW,)), ("w0", faults)))


class ExplorationTest(unittest.TestCase):
    # Guards against a task that starts elsewhere while the next incarnation of its
    # worker runs it with a longer lease, which the repeated start has granted.
    def test_lease_of_the_next_incarnation_counts(self):
        (trace,) = TRACES
        forgets = (WorkerEvidence, "judge_start", _forget_other_incarnations_lease)
        with patch.object(*forgets):
            self.assertNotEqual(replay(trace), [])
        self.assertEqual(replay(trace), [])

    # Guards against two runs after two restarts of a worker during a start.
    def test_copy_of_a_start_that_outlasts_two_restarts(self):
        self.assertEqual(replay(TWO_RESTARTS_TRACE), [])

    # Guards against two runs of one task in the orders of events found so far.
    def test_traces(self):
        for trace in TRACES:
            with self.subTest(trace=trace):
                self.assertEqual(replay(trace), [])

    # Guards against any single fault that breaks a guarantee.
    def test_no_single_fault_breaks_a_guarantee(self):
        result = explore(1)
        self.assertTrue(result.is_complete)
        self.assertEqual(result.traces, {})

    # Guards against a task that does not run again while leaders change in a row, as
    # its worker is lost for good (issue 44, LOST).
    def test_task_of_a_lost_worker_runs_again_during_a_row_of_leaders(self):
        self.check_row(LOSSES)

    # Guards against two runs of a task whose worker returns during a row of leaders.
    def test_worker_returns_during_a_row_of_leaders(self):
        self.check_row(RETURNS)

    def check_row(self, faults):
        result = explore_row(faults)
        self.assertTrue(result.is_complete)
        self.assertEqual(result.traces, {})

    # Guards against an exploration that would not notice the faults of issue 22.
    def test_undone_mends_are_found(self):
        for commit, target, sequence in MENDS:
            with self.subTest(commit=commit):
                with patch.object(*target):
                    result = explore(len(sequence), sequence, stops_at_first=True)
                self.assertEqual(len(result.traces), 1)
                (trace,) = result.traces.values()
                self.assertEqual(replay(trace), [])

    # Guards against an exploration that would not notice run numbers of a gang that are
    # counted without the base of the term, and ends matched by number only.
    def test_run_numbers_of_two_leaders_are_found(self):
        sequence = (
            ("poll w0 3", ("cut silent 25.0 s",)),
            ("w0", ("leader killed", "leader stopped")),
        )
        with (
            patch.object(RunRegistry, "begin_run", _count_without_base),
            patch.object(RunRegistry, "end_run", _match_number_only),
        ):
            result = explore(2, sequence, stops_at_first=True, is_gang=True)
        (trace,) = set(result.traces.values())
        self.assertEqual(replay(trace, is_gang=True), [])

    # Guards against a model that cannot carry out late calls.
    def test_known_fault_is_reached(self):
        self.assertEqual(replay(KNOWN_TRACE), [])
        self.assertNotEqual(replay(KNOWN_TRACE, has_known_faults=True), [])


if __name__ == "__main__":
    unittest.main()
