"""Leaders that act on knowledge from before a successor was elected."""

import unittest
from dataclasses import replace

from twisted.internet.defer import Deferred, fail

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_records import LEADER_KEY
from dogwoodlever._run_evidence import LATE_ORDER_MAX_S
from dogwoodlever.platform_errors import HistoryGoneError, StoreRefusedError
from standins.fleet import server_record
from tests.fleet_simulation import JOB, StandingWorkTest, job

# Covers an election, the leases of unreachable workers and the work started afterwards.
RECOVERY_S = WORKER_LEASES_MAX_S + 5.0


class RemovedRecordTest(StandingWorkTest):
    """The leader's record is removed, while the lease bound to it can be renewed."""

    def delay_watch(self, fleet, number, delay_s):
        """Delay the answers to a daemon's watch of the leader's record."""
        store = fleet.stores[number]
        watch = store.watch

        def watch_late(prefix, revision, wait_ms):
            call = watch(prefix, revision, wait_ms)
            if prefix != LEADER_KEY:
                return call
            late = Deferred()

            def deliver_late(result):
                fleet.clocks[number].callLater(delay_s, late.callback, result)

            call.addBoth(deliver_late)
            return late

        store.watch = watch_late

    def split_workers(self, fleet, former, reached):
        """Let the former leader reach one of two workers, the others the other one."""
        others = set(fleet.workers.workers) - {reached}
        for number, client in enumerate(fleet.worker_clients):
            client.unreachable = others if number == former else {reached}

    def remove_record(self, fleet, former):
        fleet.nodes[former].mesh.is_down = True
        lease_id = fleet.nodes[former].election._lease_id
        fleet.records.remove(LEADER_KEY)
        fleet.records.renew(lease_id)

    # Guards against runs that a leader drops although its successor has adopted them,
    # because it takes the renewal of its lease for proof that it has no successor.
    def test_former_leader_drops_no_runs_that_its_successor_has_adopted(self):
        for removed_after_s in (3.4, 4.0, 4.4, 4.6, 5.0):
            for delay_s in (0.0, 0.5, 1.5, 2.0):
                with self.subTest(removed_after_s=removed_after_s, delay_s=delay_s):
                    fleet = self.start_fleet(workers=2)
                    fleet.submit(0, job(JOB, tasks=1, standing=True))
                    fleet.run_for(1.0)
                    assigned = fleet.workers.starts[0][1]
                    former = fleet.leader()
                    self.delay_watch(fleet, former, delay_s)
                    fleet.run_for(3.0)
                    (other,) = set(fleet.workers.workers) - {assigned}
                    self.split_workers(fleet, former, other)
                    fleet.run_for(removed_after_s)
                    self.remove_record(fleet, former)
                    fleet.run_for(RECOVERY_S)
                    self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a job that a leader starts although its successor, elected after
    # its record was removed, has accepted and started it.
    def test_former_leader_starts_no_job_of_its_successor(self):
        for delay_s in (0.0, 0.1, 0.3, 0.5, 1.0, 2.0):
            for accepted_after_s in (0.1, 0.2, 0.5, 1.0):
                with self.subTest(delay_s=delay_s, accepted_after_s=accepted_after_s):
                    fleet = self.start_fleet(workers=2)
                    former = fleet.leader()
                    self.delay_watch(fleet, former, delay_s)
                    self.split_workers(fleet, former, "w1")
                    fleet.run_for(4.0)
                    self.remove_record(fleet, former)
                    fleet.run_for(accepted_after_s)
                    other = next(n for n in range(3) if n != former)
                    fleet.submit(other, job(JOB, tasks=1, standing=True))
                    fleet.run_for(RECOVERY_S)
                    self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against leases that a leader extends for longer than its successor waits
    # for a worker that it does not reach.
    def test_former_leader_extends_no_leases(self):
        for delay_s in (2.0, 6.0, 12.0):
            with self.subTest(delay_s=delay_s):
                fleet = self.start_fleet(workers=2)
                fleet.submit(0, job(JOB, tasks=1, standing=True))
                fleet.run_for(1.0)
                assigned = fleet.workers.starts[0][1]
                former = fleet.leader()
                self.delay_watch(fleet, former, delay_s)
                fleet.run_for(max(3.0, delay_s))
                self.split_workers(fleet, former, assigned)
                self.remove_record(fleet, former)
                fleet.run_for(RECOVERY_S + delay_s)
                self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against a candidate that ends the lease of a leader whose election it has
    # not seen yet, instead of the lease of the former one.
    def test_late_candidate_ends_no_lease_of_the_leader(self):
        for delay_s in (0.1, 0.2, 0.5, 1.0):
            for seen_before in (False, True):
                with self.subTest(delay_s=delay_s, seen_before=seen_before):
                    fleet = self.start_fleet(workers=1)
                    former = fleet.leader()
                    late = (former + 1) % 3
                    if not seen_before:
                        late = len(fleet.nodes)
                        fleet.add_daemon("late")
                    self.delay_watch(fleet, late, delay_s)
                    fleet.run_for(3.0)
                    fleet.kill(former)
                    fleet.records.remove(LEADER_KEY)
                    fleet.run_for(5.0)
                    leader = fleet.nodes[fleet.leader()].leader
                    self.assertEqual(leader.term, 2)
                    self.assertNotEqual(fleet.leader(), late)

    # Guards against a leader that steps down as it reads the removal of a former record
    # of its own after it has written a new one.
    def test_late_removal_of_a_former_record_changes_nothing(self):
        for delay_s in (0.0, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5):
            with self.subTest(delay_s=delay_s):
                fleet = self.start_fleet(workers=1)
                number = fleet.leader()
                leader = fleet.nodes[number].leader
                self.delay_watch(fleet, number, delay_s)
                fleet.run_for(3.0)
                for other in {0, 1, 2} - {number}:
                    fleet.stores[other].silent_prefixes.add(LEADER_KEY)
                fleet.records.end_lease(fleet.records.lease_of(LEADER_KEY))
                fleet.run_for(1.0)
                fencing_token = leader.fencing_token
                fleet.run_for(4.0)
                self.assertIs(fleet.nodes[number].leader, leader)
                self.assertEqual(leader.fencing_token, fencing_token)


class UnpolledWorkersTest(StandingWorkTest):
    """Workers that a new leader does not reach before it is cut off itself."""

    def elect_another(self, fleet, former):
        fleet.records.end_lease(fleet.records.lease_of(LEADER_KEY))
        for _ in range(100):
            fleet.run_for(0.01)
            for number, node in enumerate(fleet.nodes):
                if number not in former and node.leader and node.leader.is_loaded:
                    return number
        return self.fail("no daemon was elected")

    # Guards against tasks that a leader without contact with the store starts anew,
    # although its successor has extended the leases of the worker that runs them.
    def test_cut_off_leader_gives_up_no_worker_of_its_successor(self):
        for is_refused in (False, True):
            for cut_after_s in (0.1, 0.5, 1.0, 1.2, 1.5, 2.0, 2.5):
                with self.subTest(is_refused=is_refused, cut_after_s=cut_after_s):
                    self.check_cut(is_refused, cut_after_s)

    def check_cut(self, is_refused, cut_after_s):
        fleet = self.start_fleet(workers=2)
        fleet.submit(0, job(JOB, tasks=1, standing=True))
        fleet.run_for(1.0)
        assigned = fleet.workers.starts[0][1]
        (other,) = set(fleet.workers.workers) - {assigned}
        first = fleet.leader()
        for client in fleet.worker_clients:
            client.unreachable = {assigned}
        fleet.kill(first)
        second = self.elect_another(fleet, {first})
        (third,) = {0, 1, 2} - {first, second}
        fleet.worker_clients[third].unreachable = {other}
        fleet.run_for(cut_after_s)
        fleet.nodes[second].mesh.is_down = True
        if is_refused:
            fleet.stores[second].cut_off(StoreRefusedError)
        else:
            fleet.stores[second].is_down = True
        self.elect_another(fleet, {first, second})
        fleet.run_for(RECOVERY_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 1)

    # Guards against a task that a leader without contact with the store starts anew as
    # its order has expired, although the next incarnation of the worker has carried the
    # order out and a successor has adopted the run.
    def test_cut_off_leader_drops_no_start_that_its_successor_has_adopted(self):
        for cut_after_s in (1.0, 4.0, 6.0, 8.0, 9.0):
            with self.subTest(cut_after_s=cut_after_s):
                fleet = self.start_fleet(workers=2)
                fleet.workers.delays_start_to_next_incarnation = True
                fleet.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.3)
                assigned = next(iter(fleet.workers._for_next_incarnation))
                (other,) = set(fleet.workers.workers) - {assigned}
                former = fleet.leader()
                fleet.workers.crash(assigned)
                fleet.run_for(0.5)
                entry = replace(fleet.workers.workers[assigned].entry, started_at_ms=2)
                fleet.workers.add(entry, 0.0)
                fleet.run_for(cut_after_s)
                fleet.nodes[former].mesh.is_down = True
                fleet.stores[former].is_down = True
                for number, client in enumerate(fleet.worker_clients):
                    client.unreachable = {assigned if number == former else other}
                self.elect_another(fleet, {former})
                fleet.records.write(f"servers/{assigned}", server_record(entry))
                fleet.run_for(LATE_ORDER_MAX_S + 5.0)
                self.assertEqual(fleet.workers.duplicate_starts, [])
                self.assertEqual(self.count_running(fleet), 1)


class PausedLeaderTest(StandingWorkTest):
    """A leader that is paused, while its calls are carried out and answered."""

    def run_until(self, fleet, is_reached, limit_s=4.0):
        until_s = fleet.clock.seconds() + limit_s
        while not is_reached():
            self.assertLess(fleet.clock.seconds(), until_s)
            fleet.clock.advance(0.001)
            fleet.workers.advance()

    def freeze_before_planning(self, fleet):
        """Freeze the leader when it has accepted a job; return its number."""
        number = fleet.leader()
        node = fleet.nodes[number]
        frontend = fleet.nodes[(number + 1) % 3].frontend
        submitted = job(JOB, tasks=1, standing=True)
        frontend.submit(submitted, fleet.clock.seconds() + 3.0)
        self.run_until(fleet, lambda: JOB in node.leader.registry.jobs)
        self.assertEqual(fleet.workers.starts, [])
        fleet.clocks[number].freeze()
        return number

    # Guards against a start that a leader decided on before a pause, or decides on
    # before it learns of its successor, and that a worker carries out which has
    # returned under its id and does not know the successor's fencing token.
    def test_leader_that_resumes_starts_nothing_on_a_worker_that_returned(self):
        for pause_s in (3.0, 5.0, 8.0, 12.0):
            for resumes_after_s in (0.0, 0.05, 0.1, 0.2):
                with self.subTest(pause_s=pause_s, resumes_after_s=resumes_after_s):
                    self.check_returned_worker(pause_s, resumes_after_s)

    def check_returned_worker(self, pause_s, resumes_after_s):
        fleet = self.start_fleet(workers=2, has_socket_buffers=True)
        paused = self.freeze_before_planning(fleet)
        fleet.nodes[paused].mesh.is_down = True
        paused_s = fleet.clock.seconds()
        self.run_until(fleet, lambda: fleet.workers.starts)
        assigned = fleet.workers.starts[0][1]
        fleet.run_for(paused_s + pause_s - 0.5 - fleet.clock.seconds())
        fleet.workers.crash(assigned)
        fleet.run_for(0.3)
        entry = replace(fleet.workers.workers[assigned].entry, started_at_ms=2)
        fleet.workers.add(entry, 0.0)
        fleet.run_for(resumes_after_s)
        fleet.clocks[paused].thaw()
        fleet.run_for(0.5)
        fleet.records.write(f"servers/{assigned}", server_record(entry))

    # Guards against starts that wait after a pause that no successor has used.
    def test_leader_that_resumes_without_a_successor_goes_on(self):
        for pause_s in (0.3, 0.6, 1.0):
            with self.subTest(pause_s=pause_s):
                fleet = self.start_fleet(workers=2, has_socket_buffers=True)
                paused = fleet.leader()
                fencing_token = fleet.nodes[paused].leader.fencing_token
                self.freeze_before_planning(fleet)
                fleet.run_for(pause_s)
                fleet.clocks[paused].thaw()
                fleet.run_for(0.15)
                self.assertEqual(self.count_running(fleet), 1)
                node = fleet.nodes[paused]
                self.assertEqual(node.leader.fencing_token, fencing_token)


class RepeatedLeaderTest(StandingWorkTest):
    """A daemon leads, another one follows it, and it leads again for a short time."""

    def await_leader(self, fleet, number):
        for _ in range(400):
            fleet.run_for(0.01)
            leader = fleet.nodes[number].leader
            if leader and leader.is_loaded:
                return
        self.fail(f"daemon {number} was not elected")

    def end_term(self, fleet):
        fleet.records.end_lease(fleet.records.lease_of(LEADER_KEY))

    def return_without_history(self, fleet, number):
        """Let a daemon reach the store again, which has dropped its history."""
        store = fleet.stores[number]
        watch = store.watch

        def watch_once(prefix, revision, wait_ms):
            if prefix != LEADER_KEY:
                return watch(prefix, revision, wait_ms)
            store.watch = watch
            return fail(HistoryGoneError("no history"))

        store.watch = watch_once
        store.is_down = False

    # Guards against tasks that a successor starts while a leader before the last one
    # extends their lease, since it takes the last leader's former term for its last.
    def test_former_leader_that_was_seen_in_an_earlier_term_only(self):
        for led_s in (0.0, 0.5, 1.0, 2.0):
            with self.subTest(led_s=led_s):
                self.check_repeated_leader(led_s)

    def check_repeated_leader(self, led_s):
        fleet = self.start_fleet(workers=2)
        fleet.submit(0, job(JOB, tasks=1, standing=True))
        fleet.run_for(1.0)
        assigned = fleet.workers.starts[0][1]
        (other,) = set(fleet.workers.workers) - {assigned}
        first = fleet.leader()
        second, absent = {0, 1, 2} - {first}
        fleet.stores[absent].is_down = True
        fleet.run_for(2.0)
        fleet.stores[first].is_down = True
        self.end_term(fleet)
        self.await_leader(fleet, second)
        fleet.stores[first].is_down = False
        fleet.run_for(2.0)
        # The second leader is cut off with the worker.
        fleet.stores[second].is_down = True
        fleet.nodes[second].mesh.is_down = True
        for number, client in enumerate(fleet.worker_clients):
            client.unreachable = {other} if number == second else {assigned}
        self.end_term(fleet)
        self.await_leader(fleet, first)
        fleet.run_for(led_s)
        fleet.nodes[first].stop()
        fleet.run_for(0.05)
        self.return_without_history(fleet, absent)
        self.await_leader(fleet, absent)
        fleet.run_for(RECOVERY_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 1)


class RunNumbersTest(StandingWorkTest):
    """Numbers of the runs that a successor starts without knowing earlier ones."""

    RUN_S = 60.0
    # name, fields of the step
    STEPS = (
        ("single tasks", {}),
        ("speculative copies", {"speculative": True}),
        ("gang", {"gang": True}),
    )

    def run_with_progress(self, fleet, duration_s):
        for _ in range(round(duration_s / 0.1)):
            fleet.run_for(0.1)
            for worker in fleet.workers.workers.values():
                for run in worker.running.values():
                    age_s = fleet.clock.seconds() - run.started_s
                    run.percent = int(100 * age_s / self.RUN_S)

    # Guards against a run that is taken for ended since another worker lists the end of
    # a former leader's run with the same number.
    def test_end_of_a_former_leaders_run_ends_no_other_run(self):
        for name, fields in self.STEPS:
            with self.subTest(name):
                fleet = self.start_fleet(run_s=self.RUN_S, workers=4)
                fleet.submit(0, job(JOB, tasks=2, **fields))
                self.run_with_progress(fleet, 0.5)
                former = {name for _, name in fleet.workers.starts}
                for worker_id in former:
                    fleet.workers.workers[worker_id].is_reachable = False
                fleet.kill(fleet.leader())
                self.run_with_progress(fleet, 2.0 + RECOVERY_S)
                numbers = [run.number for run, _ in fleet.workers.starts]
                for worker_id in former:
                    fleet.workers.workers[worker_id].is_reachable = True
                self.run_with_progress(fleet, 5.0)
                self.assertEqual(len(fleet.workers.starts), len(numbers))
                self.assertGreater(min(numbers[2:]), max(numbers[:2]))


if __name__ == "__main__":
    unittest.main()
