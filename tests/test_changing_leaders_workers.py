"""Workers that no leader reaches while the leader changes every few seconds."""

import itertools
import os
import unittest
from unittest import mock

from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever.platform_errors import StoreRefusedError, StoreUnavailableError
from standins.fleet import server_record
from tests.fleet_simulation import JOB, FleetSimulation, StandingWorkTest, job
from tests.test_worker_recovery import SILENT_RECOVERY_MAX_S

STEP_S = 0.05
ELECTION_MAX_S = 3.5
CHANGES = 10
TASKS = 4
# Covers the leases of an unreachable worker and the work started after them, under
# leaders that each last for a short time and then under one that lasts.
SETTLE_S = WORKER_LEASES_MAX_S + 5.0
# Set to run all combinations, which takes some minutes.
RUNS_ALL = bool(os.environ.get("ALL_CASES"))


def combine(every, **values):
    """Return every so many-th combination of values, as dictionaries."""
    combinations = itertools.product(*values.values())
    chosen = itertools.islice(combinations, 0, None, 1 if RUNS_ALL else every)
    return [dict(zip(values, combination, strict=True)) for combination in chosen]


def silence(fleet, worker_id):
    fleet.workers.workers[worker_id].is_reachable = False


def refuse(fleet, worker_id):
    fleet.workers.workers[worker_id].refuses_connections = True


def crash(fleet, worker_id):
    fleet.workers.crash(worker_id)


def leave(fleet, worker_id):
    """Announce that a worker leaves, end its process and remove its entry."""
    entry = fleet.workers.workers[worker_id].entry
    key = f"servers/{worker_id}"
    fleet.records.write(key, server_record(entry, state="draining"))
    fleet.clock.callLater(0.3, fleet.workers.crash, worker_id)
    fleet.clock.callLater(1.0, fleet.records.remove, key)


def without_entry(end_worker):
    def end_and_unlist(fleet, worker_id):
        end_worker(fleet, worker_id)
        fleet.clock.callLater(2.0, fleet.records.remove, f"servers/{worker_id}")

    return end_and_unlist


LOSSES = {
    "crashes": crash,
    "crashes, entry expires": without_entry(crash),
    "leaves": leave,
    "silent": silence,
    "silent, entry expires": without_entry(silence),
    "refuses connections": refuse,
    "refuses connections, entry expires": without_entry(refuse),
}


def restore(fleet, worker_id):
    """Let a worker that was cut off answer again."""
    worker = fleet.workers.workers[worker_id]
    worker.is_reachable = True
    worker.refuses_connections = False
    fleet.records.write(f"servers/{worker_id}", server_record(worker.entry))


class LeaderChanges:
    """Replaces the leader whenever it has led for a time.

    Parameters
    ----------
    fleet : FleetSimulation
        The fleet.
    how : str
        ``stopped``, ``killed``, or ``isolated``: cut off from the store and from the
        other daemons, while it still reaches the workers that it can reach.
    leads_s : float
        For how long each leader leads after it has loaded the stored state.
    on_changed : callable
        Called with the number of each daemon that has begun to lead.
    on_added : callable
        Called with the number of each daemon that is added.
    """

    def __init__(
        self,
        fleet,
        how,
        leads_s,
        on_changed=lambda number: None,
        on_added=lambda number: None,
    ):
        self._fleet = fleet
        self._how = how
        self._leads_s = leads_s
        self._on_changed = on_changed
        self._on_added = on_added
        self._former = set()
        self.leader = None
        self._led_from_s = 0.0
        self.is_active = True
        self.count = 0

    def run_for(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self._fleet.run_for(STEP_S)
            self._report_progress()
            self._update()

    def _report_progress(self):
        """Let finite runs progress, since those that don't are stopped as stalled."""
        for worker in self._fleet.workers.workers.values():
            for run in worker.running.values():
                if run.duration_s:
                    age_s = self._fleet.clock.seconds() - run.started_s
                    run.percent = int(100 * age_s / run.duration_s)

    def run_until(self, is_reached, limit_s):
        """Return whether a state was reached within a time."""
        until_s = self._fleet.clock.seconds() + limit_s
        while not is_reached():
            if self._fleet.clock.seconds() >= until_s:
                return False
            self.run_for(STEP_S)
        return True

    def _update(self):
        now_s = self._fleet.clock.seconds()
        if self.leader is None:
            self.leader = self._find_leader()
            if self.leader is None:
                return
            self._led_from_s = now_s
            self._on_changed(self.leader)
        if self.is_active and now_s - self._led_from_s >= self._leads_s - 1e-6:
            self.change()

    def _find_leader(self):
        for number, node in enumerate(self._fleet.nodes):
            if number not in self._former and node.leader and node.leader.is_loaded:
                return number
        return None

    def change(self):
        """Replace the leader."""
        fleet, number = self._fleet, self.leader
        self._former.add(number)
        self.leader = None
        self.count += 1
        if self._how == "stopped":
            fleet.nodes[number].on_stopped = lambda: fleet.kill(number)
            fleet.nodes[number].stop()
        elif self._how == "killed":
            fleet.kill(number)
        else:
            fleet.stores[number].is_down = True
            fleet.nodes[number].mesh.is_down = True
        fleet.add_daemon(f"vm{len(fleet.nodes)}")
        self._on_added(len(fleet.nodes) - 1)

    def settle(self, duration_s=SETTLE_S):
        """End the changes and let one leader lead for a time."""
        self.is_active = False
        self.run_for(duration_s)


class ChangingLeadersTest(StandingWorkTest):
    def start_work(self, is_standing=True, tasks=TASKS, **sizes):
        """Start a fleet and two tasks on each of two workers; return one of them."""
        fleet = self.start_fleet(workers=3, run_s=0.0 if is_standing else 90.0, **sizes)
        fleet.submit(0, job(JOB, tasks=tasks, standing=is_standing, worker_tasks_max=2))
        fleet.run_for(1.0)
        self.assertEqual(self.count_running(fleet), tasks)
        return fleet, fleet.workers.starts[0][1]

    def count_elsewhere(self, fleet, worker_id):
        return sum(
            len(worker.running)
            for worker in fleet.workers.workers.values()
            if worker.entry.worker_id != worker_id
        )


class LostWorkersTest(ChangingLeadersTest):
    """Workers that are lost for good."""

    # Guards against work of a lost worker that waits for a leader that lasts, as each
    # new one begins its own wait for the worker (issue 44, LOST).
    def test_work_of_a_lost_worker_starts_under_stopped_leaders(self):
        self.check_losses("stopped")

    # The same with leaders that are killed.
    def test_work_of_a_lost_worker_starts_under_killed_leaders(self):
        self.check_losses("killed")

    def check_losses(self, how):
        # Leaders that are killed are lost together with the worker.
        offsets_s = (0.0, 1.0) if how == "stopped" else (0.0,)
        for case in combine(
            9 if how == "stopped" else 5,
            leads_s=(2.0, 4.0),
            name=LOSSES,
            is_standing=(True, False),
            lost_after_s=offsets_s,
        ):
            with self.subTest(**case):
                self.check_loss(how, **case)

    def check_loss(self, how, leads_s, name, is_standing, lost_after_s):
        """Lose a worker some time after a change of leader, or at the change."""
        fleet, lost = self.start_work(is_standing)
        changes = LeaderChanges(fleet, how, leads_s)
        changes.run_until(lambda: changes.count == 2, 30.0)
        changes.run_for(lost_after_s)
        LOSSES[name](fleet, lost)
        is_recovered = changes.run_until(
            lambda: self.count_elsewhere(fleet, lost) == TASKS, SILENT_RECOVERY_MAX_S
        )
        self.assertTrue(is_recovered)
        changes.run_until(lambda: changes.count == CHANGES, 60.0)
        self.assertEqual(self.count_elsewhere(fleet, lost), TASKS)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # Guards against inherited work of other workers that waits for a lost one under
    # each new leader (issue 44, LOST).
    def test_work_that_fails_elsewhere_starts_again(self):
        for case in combine(
            5, how=("stopped", "killed"), leads_s=(2.0, 4.0), name=LOSSES
        ):
            with self.subTest(**case):
                self.check_failure(**case)

    def check_failure(self, how, leads_s, name):
        fleet, lost = self.start_work()
        changes = LeaderChanges(fleet, how, leads_s)
        changes.run_until(lambda: changes.count == 1, 10.0)
        LOSSES[name](fleet, lost)
        changes.run_for(SILENT_RECOVERY_MAX_S)
        for _ in range(3):
            worker = next(
                worker
                for worker in fleet.workers.workers.values()
                if worker.running and worker.entry.worker_id != lost
            )
            for run in list(worker.running.values()):
                fleet.workers.end(worker, run, "failed")
            changes.run_for(ELECTION_MAX_S)
            self.assertEqual(self.count_elsewhere(fleet, lost), TASKS)

    # Guards against the next step of a job that waits for a lost worker under each new
    # leader (issue 44, LOST).
    def test_next_step_starts(self):
        for case in combine(
            9, how=("stopped", "killed"), leads_s=(2.0, 4.0), name=LOSSES
        ):
            with self.subTest(**case):
                self.check_next_step(**case)

    def check_next_step(self, how, leads_s, name):
        fleet = self.start_fleet(workers=3, run_s=3.0)
        fleet.submit(0, job(JOB, tasks=2, steps=6))
        changes = LeaderChanges(fleet, how, leads_s)
        changes.run_for(1.0)
        busy = {worker_id for _, worker_id in fleet.workers.starts}
        lost = max(set(fleet.workers.workers) - busy)
        LOSSES[name](fleet, lost)
        changes.run_for(SILENT_RECOVERY_MAX_S)
        started = len(fleet.workers.starts)
        steps_left = 6 - started // 2
        changes.run_for(steps_left * (3.0 + ELECTION_MAX_S))
        self.assertEqual(len(fleet.workers.done), 12)
        self.assertEqual(fleet.workers.duplicate_starts, [])


# Times after which a worker that is cut off returns.
RETURNS_AFTER_S = (0.5, 1.0, 1.6, 2.4, 3.3, 4.2, 5.0, 5.7, 6.3, 7.0, 8.1, 9.3, 10.6, 14)


class CutOffWorkersTest(ChangingLeadersTest):
    """Workers that run on while no leader reaches them."""

    def check_return(self, how, leads_s, cut_off, unlists, returns_after_s):
        fleet, cut = self.start_work()
        changes = LeaderChanges(fleet, how, leads_s)
        changes.run_until(lambda: changes.count == 1, 10.0)
        changes.run_for(leads_s / 2)
        cut_off(fleet, cut)
        if unlists:
            fleet.records.remove(f"servers/{cut}")
        changes.run_for(returns_after_s)
        restore(fleet, cut)
        changes.run_for(4.0)
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)

    def check_returns(self, how):
        for case in combine(
            23,
            leads_s=(1.0, 2.0, 4.0),
            cut_off=(silence, refuse),
            unlists=(False, True),
            returns_after_s=RETURNS_AFTER_S,
        ):
            with self.subTest(**case):
                self.check_return(how, **case)

    # Guards against two runs of a task whose worker returns while leaders change.
    def test_worker_returns_while_leaders_are_stopped(self):
        self.check_returns("stopped")

    # The same with leaders that are killed.
    def test_worker_returns_while_leaders_are_killed(self):
        self.check_returns("killed")

    # The same with leaders that still reach the worker after their terms.
    def test_worker_returns_while_leaders_are_isolated(self):
        self.check_returns("isolated")

    # Guards against two runs of a task whose worker is cut off again and again.
    def test_worker_flaps_while_leaders_change(self):
        for case in combine(
            5,
            how=("stopped", "killed", "isolated"),
            times_s=((0.6, 0.6), (1.3, 0.3), (3.0, 0.4), (5.0, 1.0)),
            cut_off=(silence, refuse),
        ):
            with self.subTest(**case):
                self.check_flaps(**case)

    def check_flaps(self, how, times_s, cut_off):
        fleet, cut = self.start_work()
        changes = LeaderChanges(fleet, how, 2.0)
        for _ in range(round(16.0 / sum(times_s))):
            cut_off(fleet, cut)
            changes.run_for(times_s[0])
            restore(fleet, cut)
            changes.run_for(times_s[1])
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)


class FormerLeadersTest(ChangingLeadersTest):
    """Leaders that reach a worker while their successors don't, or in turn."""

    def allow(self, fleet, number, worker_id, reaches):
        fleet.worker_clients[number].unreachable = set() if reaches else {worker_id}

    def check_pattern(self, how, leads_s, pattern):
        fleet, worker_id = self.start_work()
        led = []

        def on_changed(number):
            reaches = pattern[len(led)] if len(led) < len(pattern) else False
            led.append(number)
            self.allow(fleet, number, worker_id, reaches)

        def on_added(number):
            self.allow(fleet, number, worker_id, False)

        changes = LeaderChanges(fleet, how, leads_s, on_changed, on_added)
        changes.leader = fleet.leader()
        for number in range(3):
            self.allow(fleet, number, worker_id, number == changes.leader)
        changes.change()
        changes.run_until(lambda: len(led) > len(pattern), 30.0)
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)

    def check_patterns(self, how):
        reaches = (False, True)
        patterns = itertools.product(reaches, reaches, reaches, reaches)
        for case in combine(7, leads_s=(0.7, 1.5, 3.0), pattern=list(patterns)):
            with self.subTest(**case):
                self.check_pattern(how, **case)

    # Guards against two runs of a task whose worker some leaders of a series reach.
    def test_some_of_the_stopped_leaders_reach_the_worker(self):
        self.check_patterns("stopped")

    # The same with leaders that are killed.
    def test_some_of_the_killed_leaders_reach_the_worker(self):
        self.check_patterns("killed")

    # The same with leaders that act on after their terms.
    def test_some_of_the_isolated_leaders_reach_the_worker(self):
        self.check_patterns("isolated")

    # Guards against two runs of a task whose worker a leader reaches alone when it
    # resumes after a pause, during which its calls were carried out and answered.
    def test_paused_leader_reaches_the_worker_alone(self):
        for case in combine(
            9,
            how=("stopped", "killed"),
            has_socket_buffers=(False, True),
            pause_s=(1.0, 2.2, 3.0, 4.5, 6.0, 8.0, 11.0),
            reaches_store=(False, True),
        ):
            with self.subTest(**case):
                self.check_pause(**case)

    def check_pause(self, how, has_socket_buffers, pause_s, reaches_store):
        fleet, worker_id = self.start_work(has_socket_buffers=has_socket_buffers)
        paused = fleet.leader()
        fleet.clocks[paused].freeze()
        fleet.nodes[paused].mesh.is_down = True
        for number in range(3):
            self.allow(fleet, number, worker_id, number == paused)
        changes = LeaderChanges(
            fleet,
            how,
            2.0,
            on_added=lambda number: self.allow(fleet, number, worker_id, False),
        )
        changes._former.add(paused)
        changes.run_for(pause_s)
        fleet.stores[paused].is_down = not reaches_store
        fleet.clocks[paused].thaw()
        changes.run_for(SILENT_RECOVERY_MAX_S)
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)

    # Guards against two runs of a task as a daemon that was paused, or whose watch of
    # the leader's record is late, follows with outdated knowledge of a worker.
    def test_daemon_with_outdated_knowledge_follows(self):
        for case in combine(
            7,
            pause_s=(0.5, 1.0, 2.0, 4.0, 7.0),
            cut_s=(1.0, 3.0, 6.0),
            back_s=(0.3, 1.0, 2.0),
        ):
            with self.subTest(**case):
                self.check_outdated(**case)

    def check_outdated(self, pause_s, cut_s, back_s):
        fleet, worker_id = self.start_work(has_socket_buffers=True)
        first = fleet.leader()
        second, other = {0, 1, 2} - {first}
        fleet.stores[other].is_down = True
        for number in (second, other):
            self.allow(fleet, number, worker_id, False)
        silence(fleet, worker_id)
        fleet.run_for(cut_s)
        fleet.clocks[second].freeze()
        restore(fleet, worker_id)
        fleet.run_for(back_s)
        # The leader is cut off from the store and renews the worker's lease.
        fleet.stores[first].is_down = True
        fleet.nodes[first].mesh.is_down = True
        fleet.run_for(pause_s)
        fleet.clocks[second].thaw()
        fleet.run_for(WORKER_LEASES_MAX_S + SETTLE_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)

    # Guards against waits that depend on Unix time.
    def test_unix_time_steps(self):
        for case in combine(
            3,
            step_s=(-3600.0, -5.0, 5.0, 3600.0),
            returns_after_s=(2.0, 5.0, 7.0, 10.0),
        ):
            with self.subTest(**case):
                self.check_unix_time(**case)

    def check_unix_time(self, step_s, returns_after_s):
        fleet, cut = self.start_work()

        def on_added(number):
            offset_s = step_s * (number % 3)
            fleet.nodes[number]._unix_s = lambda: fleet.clock.seconds() + offset_s

        changes = LeaderChanges(fleet, "stopped", 2.0, on_added=on_added)
        changes.run_for(6.0)
        silence(fleet, cut)
        changes.run_for(returns_after_s)
        restore(fleet, cut)
        changes.run_for(4.0)
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)


def set_down(fleet, is_down):
    for store in fleet.stores:
        store.is_down = is_down


class StoreFaultsTest(ChangingLeadersTest):
    """A worker that flaps while the store doesn't carry out or answer writes."""

    def lose_answers(self, fleet, number):
        fleet.stores[number].answers_to_lose = 2

    def delay_commit(self, fleet, number):
        fleet.stores[number].commit_delay_s = 1.7

    def delay_commit_for_long(self, fleet, number):
        fleet.stores[number].commit_delay_s = 4.0

    def take_down(self, fleet, number):
        set_down(fleet, True)
        fleet.clock.callLater(2.5, set_down, fleet, False)

    def reject(self, fleet, number):
        """Turn the leader away, until it has a successor and longer."""
        store = fleet.stores[number]
        store.cut_off(StoreRefusedError)
        fleet.clock.callLater(5.0, store.reconnect)

    def reset(self, fleet, number):
        store = fleet.stores[number]
        store.cut_off(StoreUnavailableError)
        fleet.clock.callLater(1.2, store.reconnect)

    FAULTS = (
        lose_answers, delay_commit, delay_commit_for_long, take_down, reject, reset,
    )  # fmt: skip

    # Guards against two runs of a task as a leader takes a write for carried out, or
    # for not carried out, without knowing.
    def test_worker_flaps_during_a_fault_of_the_store(self):
        for case in combine(
            11,
            inject=self.FAULTS,
            offset_s=(0.0, 0.3, 0.9, 1.3, 1.9, 2.3, 2.7),
            how=("stopped", "killed", "isolated"),
        ):
            with self.subTest(**case):
                self.check_fault(**case)

    def check_fault(self, inject, offset_s, how):
        """Inject a fault `offset_s` after the worker was cut off, for 2 s, twice.

        The leader then changes, and its successors do not reach the worker.
        """
        fleet, worker_id = self.start_work()
        first = fleet.leader()
        fleet.clock.callLater(offset_s, inject, self, fleet, first)
        for _ in range(2):
            silence(fleet, worker_id)
            fleet.run_for(2.0)
            restore(fleet, worker_id)
            fleet.run_for(0.4)
        changes = LeaderChanges(fleet, how, 2.0)
        changes.leader = first if fleet.nodes[first].leader else fleet.leader()
        if changes.leader is not None:
            former = changes.leader
            changes.change()
            for number, client in enumerate(fleet.worker_clients):
                if number != former:
                    client.unreachable = {worker_id}
        changes.run_for(6.0)
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)

    # Guards against two runs of a task while the store answers late.
    def test_worker_returns_while_the_store_is_slow(self):
        for case in combine(
            8,
            delay_s=(0.1, 0.3, 0.7),
            how=("stopped", "killed"),
            returns_after_s=(0.5, 1.3, 2.1, 3.0, 4.5, 6.0, 7.5),
        ):
            with (
                self.subTest(**case),
                mock.patch("standins.fleet.STORE_DELAY_S", case["delay_s"]),
            ):
                self.check_slow_store(case["how"], case["returns_after_s"])

    def check_slow_store(self, how, returns_after_s):
        fleet, cut = self.start_slow_work()
        changes = LeaderChanges(fleet, how, 3.0)
        changes.run_for(2.0)
        silence(fleet, cut)
        changes.run_for(returns_after_s)
        restore(fleet, cut)
        changes.run_for(6.0)
        changes.settle()
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), TASKS)

    def start_slow_work(self):
        fleet = FleetSimulation(run_s=0.0)
        fleet.run_for(6.0)
        submitted = job(JOB, tasks=TASKS, standing=True, worker_tasks_max=2)
        fleet.submit(0, submitted, wait_s=2.5)
        fleet.run_for(3.0)
        self.assertEqual(self.count_running(fleet), TASKS)
        return fleet, fleet.workers.starts[0][1]

    # Guards against leases that are withheld from a worker that has answered again, as
    # the store is down.
    def test_worker_that_blips_keeps_its_runs_during_an_outage(self):
        self.check_blips(3.0)

    # The same up to the shortest lease that a worker has left with the blip in it.
    def test_worker_that_blips_keeps_its_runs_during_a_long_outage(self):
        self.check_blips(4.5)

    def check_blips(self, outage_s):
        for case in combine(
            5,
            cut_off=(silence, refuse),
            is_paused=(False, True),
            blips_at_s=(-1.0, -0.5, -0.2, 0.0, 0.4, 1.0, 2.0, outage_s - 0.3),
        ):
            with self.subTest(**case):
                self.check_blip(outage_s=outage_s, **case)

    def check_blip(self, cut_off, is_paused, blips_at_s, outage_s):
        """Cut a worker off for 0.6 s, some time after the start of an outage."""
        fleet, worker_id = self.start_work()
        fleet.run_for(2.0)
        fleet.records.is_lease_expiry_paused = is_paused
        schedule = fleet.clock.callLater
        schedule(1.0, set_down, fleet, True)
        schedule(1.0 + outage_s, set_down, fleet, False)
        schedule(1.0 + blips_at_s, cut_off, fleet, worker_id)
        schedule(1.6 + blips_at_s, restore, fleet, worker_id)
        fleet.run_for(1.0 + outage_s + SETTLE_S)
        self.assertEqual(len(fleet.workers.starts), TASKS)
        self.assertEqual(self.count_running(fleet), TASKS)


if __name__ == "__main__":
    unittest.main()
