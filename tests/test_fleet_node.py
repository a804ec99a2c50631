import unittest

import msgspec

from dogwoodlever._fleet_desk import Outcome
from dogwoodlever._fleet_follower import RETRY_S
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_leader import STARTS_A_ROUND
from dogwoodlever._fleet_records import LEADER_KEY, progress_key
from dogwoodlever._fleet_types import ADVISED_WORKERS, Step, SubmittedJob
from standins.fleet import STORE_TIMEOUT_S, server_record
from tests.fleet_world import (
    CONFIGURATION,
    FleetWorld,
    job,
    worker_entry,
)

JOB = "a" * 16
ADVICE = {"decision_ms": 20, "period_ms": 1, "valid_ms": 1_500}


class FleetNodeTest(unittest.TestCase):
    def world(self, **sizes):
        world = FleetWorld(**sizes)
        world.run_for(1.0)
        self.assertIsNotNone(world.leader())
        return world

    def assert_never_twice(self, world):
        self.assertEqual(world.workers.twice, [])

    def test_job_is_accepted_anywhere_and_completed(self):
        world = self.world()
        for number in range(3):
            with self.subTest(daemon=number):
                job_id = f"{number:016x}"
                answer = world.submit(number, job(job_id, steps=2))
                self.assertEqual(answer.outcome, Outcome.DONE)
                world.run_for(3.0)
                reader = (number + 1) % 3
                self.assertEqual(world.phase(reader, job_id), JobPhase.COMPLETED)
        self.assertEqual(len(world.workers.starts), 24)
        self.assert_never_twice(world)

    def test_repeated_submission_stays_one_job(self):
        world = self.world()
        for number in (0, 1, 2):
            world.submit(number, job(JOB))
        world.run_for(2.0)
        self.assertEqual(len(world.workers.starts), 4)

    def test_unknown_job_is_absent(self):
        world = self.world()
        answer = world.ask(world.nodes[0].desk.read("f" * 16, 200.0))
        self.assertEqual(answer.outcome, Outcome.ABSENT)

    def test_leader_that_dies_is_followed_and_nothing_runs_twice(self):
        for after_s in (0.05, 0.5, 1.05, 1.6):
            with self.subTest(after_s=after_s):
                world = self.world()
                world.submit(0, job(JOB, tasks=6, steps=3))
                world.run_for(after_s)
                first = world.leader()
                world.kill(first)
                died_s = world.clock.seconds()
                while world.leader() is None:
                    world.run_for(0.1)
                # The aim of the platform's design note is 4 s.
                self.assertLess(world.clock.seconds() - died_s, 4.0)
                world.run_for(8.0)
                reader = (first + 1) % 3
                self.assertEqual(world.phase(reader, JOB), JobPhase.COMPLETED)
                self.assert_never_twice(world)

    def test_all_daemons_die_and_new_ones_carry_on(self):
        world = self.world()
        world.submit(0, job(JOB, tasks=6, steps=3))
        world.run_for(1.5)
        for number in range(3):
            world.kill(number)
        for number in range(2):
            world.add_daemon(f"vm{number}")
        world.run_for(12.0)
        self.assertEqual(world.phase(3, JOB), JobPhase.COMPLETED)
        self.assert_never_twice(world)

    def test_write_carried_out_late_brings_no_progress_back(self):
        # Pattern: an unanswered write lands after newer ones, then all daemons die.
        world = self.world(workers=2)
        leader = world.leader()
        world.submit(0, job(JOB, tasks=2, steps=3))
        world.run_for(0.9)
        world.stores[leader].late_s = 4.5
        world.run_for(6.5)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        for number in range(3):
            world.kill(number)
        world.add_daemon("vm0")
        world.run_for(14.0)
        self.assertEqual(world.phase(3, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(world.workers.starts), 6)
        self.assert_never_twice(world)

    def test_store_down_refuses_at_once_or_says_unknown_and_work_goes_on(self):
        world = self.world()
        world.submit(0, job(JOB, tasks=4, steps=4))
        for store in world.stores:
            store.is_down = True
        # The first attempt may still take effect, so its outcome is unknown.
        answer = world.submit(1, job("b" * 16), wait_s=2.5)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        answer = world.submit(1, job("c" * 16), wait_s=0.05)
        self.assertEqual(answer.outcome, Outcome.NOT_DONE)
        self.assertGreater(answer.retry_after_s, 0)
        world.run_for(2.0)
        # All four steps ran without the store.
        self.assertEqual(len(world.workers.starts), 16)
        for store in world.stores:
            store.is_down = False
        world.run_for(3.0)
        self.assertEqual(world.phase(1, JOB), JobPhase.COMPLETED)
        self.assert_never_twice(world)

    def test_daemon_that_the_store_turns_away_is_helped_by_the_leader(self):
        world = self.world()
        other = (world.leader() + 1) % 3
        world.stores[other].is_down = True
        world.run_for(2.5)
        answer = world.submit(other, job(JOB))
        self.assertEqual(answer.outcome, Outcome.DONE)
        world.run_for(3.0)
        self.assertEqual(world.phase(other, JOB), JobPhase.COMPLETED)
        desk = world.nodes[other].desk
        world.submit(0, job("b" * 16, tasks=2, standing=True))
        world.run_for(0.5)
        answer = world.ask(desk.cancel("b" * 16, world.clock.seconds() + 3.0))
        self.assertEqual(answer.outcome, Outcome.DONE)

    def test_return_of_the_store_is_noticed_though_nothing_changes(self):
        # Pattern: an outage ends and the first watches wait for a change.
        world = self.world()
        world.records.leases_pause = True
        for store in world.stores:
            store.is_down = True
        world.run_for(3.5)
        for store in world.stores:
            store.is_down = False
        # One call may be under way without an answer, then the next is made.
        world.run_for(STORE_TIMEOUT_S + RETRY_S + 0.1)
        self.assertEqual([n._store.down_for_s() for n in world.nodes], [None] * 3)

    def test_leader_that_stepped_down_in_an_outage_frees_its_lease(self):
        # Pattern: leases pause in a long outage, so that of a leader that stepped
        # down still keeps its successors away once the store is back.
        world = self.world()
        world.records.leases_pause = True
        for store in world.stores:
            store.is_down = True
        world.run_for(8.0)
        self.assertIsNone(world.leader())
        for store in world.stores:
            store.is_down = False
        world.run_for(3.0)
        self.assertIsNotNone(world.leader())

    def test_leader_outlasts_an_outage_that_nobody_used(self):
        # Pattern: the first renewals after an outage fail, though the store is back
        # and shows that nobody else leads.
        world = self.world()
        leader = world.leader()
        world.records.leases_pause = True
        world.stores[leader].loses_renewals = True
        for store in world.stores:
            store.is_down = True
        world.run_for(4.0)
        for store in world.stores:
            store.is_down = False
        world.run_for(2.5)
        world.stores[leader].loses_renewals = False
        world.run_for(2.0)
        self.assertEqual(world.leader(), leader)
        self.assertEqual(world.nodes[leader].leader.term, 1)

    def test_renewed_term_is_not_taken_for_a_successor(self):
        # Pattern: the lease ends, the same daemon is elected again under a higher
        # fence, and orders that are under way carry the lower one.
        world = self.world(workers=1)
        leader = world.leader()
        fence = world.nodes[leader].leader.fence
        for number in range(8):
            world.records.end_lease(world.records.lease_of(LEADER_KEY))
            world.run_for(0.2)
            world.submit(0, job(f"{number:016x}", tasks=1), wait_s=0.2)
        self.assertEqual(world.leader(), leader)
        self.assertEqual(world.nodes[leader].leader.term, 1)
        self.assertGreater(world.nodes[leader].leader.fence, fence)

    def test_refused_as_not_run_while_neither_store_nor_leader_answers(self):
        # Pattern: the leader dies in an outage; an outcome must not be unknown.
        world = self.world()
        leader = world.leader()
        for store in world.stores:
            store.is_down = True
        world.run_for(3.0)
        world.kill(leader)
        answer = world.submit((leader + 1) % 3, job(JOB), wait_s=0.4)
        self.assertEqual(answer.outcome, Outcome.NOT_DONE)

    def test_ends_seen_during_an_outage_outlive_leader_and_worker(self):
        # Pattern: store down, ends read, leader dies, and the worker that could
        # list them again has left.
        world = self.world(workers=2)
        world.submit(0, job(JOB, tasks=2, steps=2))
        world.run_for(0.3)
        for store in world.stores:
            store.is_down = True
        world.run_for(2.4)
        first = world.leader()
        worker = world.workers.starts[0][1]
        world.workers.workers[worker].running.clear()
        world.workers.workers[worker].is_reachable = False
        world.records.remove(f"servers/{worker}")
        world.kill(first)
        for store in world.stores:
            store.is_down = False
        world.run_for(16.0)
        reader = (first + 1) % 3
        self.assertEqual(world.phase(reader, JOB), JobPhase.COMPLETED)
        again = [run.task for run, _ in world.workers.starts if run.task.step == 0]
        self.assertEqual(len(again), len(set(again)))

    def test_failure_listed_again_to_a_later_leader_counts_once(self):
        # Pattern: a failure is stored, its leader dies before it acknowledges.
        world = self.world(workers=1)
        world.workers.workers["w0"].fails = True
        world.submit(0, job(JOB, tasks=1))
        while not world.workers.workers["w0"].ended:
            world.run_for(0.01)
        while progress_key(JOB) not in world.records.records:
            world.run_for(0.01)
        world.kill(world.leader())
        world.workers.workers["w0"].fails = False
        world.run_for(1.0)
        ended = list(world.workers.workers["w0"].ended)
        self.assertTrue(ended)
        world.run_for(6.0)
        leader = world.nodes[world.leader()].leader
        runs = leader.board.jobs[JOB].occurrences[0].steps[0].tasks[0].failed_runs
        self.assertEqual(len(runs), 1)

    def test_cancelled_job_stops_and_never_starts_again(self):
        world = self.world(run_s=0.0)
        world.submit(0, job(JOB, tasks=4, standing=True))
        world.run_for(1.0)
        desk = world.nodes[1].desk
        answer = world.ask(desk.cancel(JOB, world.clock.seconds() + 3.0))
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertEqual(world.phase(2, JOB), JobPhase.CANCELLED)
        running = [run for w in world.workers.workers.values() for run in w.running]
        self.assertEqual(running, [])
        self.assertEqual(len(world.workers.starts), 4)

    def test_start_without_an_answer_is_not_started_elsewhere(self):
        world = self.world()
        world.workers.orders_to_lose = 3
        world.submit(0, job(JOB, tasks=4))
        world.run_for(4.0)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(world.workers.starts), 4)
        self.assert_never_twice(world)

    def test_worker_that_cannot_be_reached_is_waited_for_its_lease(self):
        world = self.world(workers=2, run_s=3.0)
        world.submit(0, job(JOB, tasks=8))
        world.run_for(0.5)
        world.workers.workers["w0"].is_reachable = False
        world.run_for(20.0)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        lost = [run for run in world.workers.twice if run.task in world.workers.done]
        # A task that finished unreported runs again; none runs beside itself.
        self.assertEqual(lost, world.workers.twice)

    def test_former_leader_starts_no_job_of_its_successor(self):
        # Pattern: a leader is cut off with a worker of its data centre; as the cut
        # ends it hears of new jobs before it hears of its successor.
        world = self.world(workers=2, run_s=3.0)
        former = world.leader()
        store = world.stores[former]
        store.is_down = True
        world.nodes[former].mesh.is_down = True
        for number, orders in enumerate(world.orders):
            orders.cut_off = {"w1"} if number == former else {"w0"}
        world.run_for(2.5)
        other = (former + 1) % 3
        world.submit(other, job(JOB, tasks=4), wait_s=0.2)
        self.assertTrue(world.workers.starts)
        store.is_down = False
        store.silent_prefixes = {LEADER_KEY}
        store.loses_renewals = True
        world.run_for(1.5)
        store.silent_prefixes = set()
        store.loses_renewals = False
        world.nodes[former].mesh.is_down = False
        world.run_for(4.0)
        self.assertEqual(len(world.workers.starts), 4)
        self.assert_never_twice(world)

    def test_cut_leader_gives_up_no_worker_that_its_successor_reaches(self):
        # Pattern: a leader is cut off from the store and from a worker, whose runs
        # its successor takes over; the lease of that worker seems over to it.
        world = self.world(workers=2, run_s=0.0)
        world.submit(0, job(JOB, tasks=3, standing=True, worker_tasks_max=3))
        world.run_for(0.5)
        former = world.leader()
        held = world.workers.starts[0][1]
        other = "w1" if held == "w0" else "w0"
        world.stores[former].is_down = True
        world.nodes[former].mesh.is_down = True
        for number, orders in enumerate(world.orders):
            orders.cut_off = {held} if number == former else {other}
        world.run_for(10.0)
        self.assertEqual(len(world.workers.starts), 3)
        self.assert_never_twice(world)

    def test_worker_gone_for_good_delays_no_later_leader(self):
        # Pattern: a worker that was lost long ago stands on the roster while
        # leaders change; a standing task has to run again within 6 s.
        world = self.world(workers=3, run_s=0.0)
        world.submit(0, job(JOB, tasks=6, standing=True, worker_tasks_max=3))
        world.run_for(1.0)
        gone = world.workers.starts[0][1]
        world.workers.workers[gone].is_reachable = False
        world.records.remove(f"servers/{gone}")
        world.run_for(7.0)
        first = world.leader()
        world.kill(first)
        world.run_for(2.5)
        kept = next(w for w in world.workers.workers.values() if w.is_reachable)
        ended = len(kept.running)
        for run in list(kept.running.values()):
            world.workers.end(kept, run, "failed")
        before = len(world.workers.starts)
        world.run_for(2.0)
        self.assertEqual(len(world.workers.starts) - before, ended)
        self.assert_never_twice(world)

    def test_one_look_without_an_answer_loses_no_worker(self):
        # Pattern: a busy leader takes its own delay for the silence of workers.
        world = self.world(workers=1, run_s=3.0)
        world.submit(0, job(JOB, tasks=2))
        world.run_for(1.0)
        worker = world.workers.workers["w0"]
        worker.is_reachable = False
        world.run_for(0.9)
        worker.is_reachable = True
        world.run_for(0.4)
        leader = world.nodes[world.leader()].leader
        self.assertTrue(leader.workers._links["w0"].is_reachable)
        world.run_for(3.0)
        self.assertEqual(len(world.workers.starts), 2)

    def test_starts_of_one_moment_are_ordered_in_parts(self):
        # Pattern: all standing jobs of a site come at once.
        world = self.world(workers=2)
        orders = world.nodes[world.leader()].leader.workers.runs
        start = orders.start
        moments = {}

        def counted(placement, now_s):
            moments[now_s] = moments.get(now_s, 0) + 1
            start(placement, now_s)

        orders.start = counted
        tasks = 4 * STARTS_A_ROUND
        small = job(JOB, tasks=tasks)
        steps = tuple(
            Step(tasks, 10, 10, 0, 1000, after=step.after) for step in small.steps
        )
        world.submit(0, SubmittedJob(JOB, small.queue, "", steps))
        world.run_for(3.0)
        sizes = list(moments.values())
        self.assertEqual(sum(sizes), tasks)
        self.assertLessEqual(max(sizes), STARTS_A_ROUND)

    def test_late_start_after_a_lapse_is_ruled_out_before_the_next_lease(self):
        # Pattern: an order is carried out seconds late, just after its worker was
        # reached again and holds a new lease; its task runs elsewhere by then.
        world = self.world(workers=2, run_s=0.0)
        world.submit(0, job(JOB, tasks=1, standing=True))
        world.run_for(0.5)
        first = world.workers.starts[0][1]
        other = "w1" if first == "w0" else "w0"
        world.records.write(
            f"servers/{other}",
            server_record(world.workers.workers[other].entry, "draining"),
        )
        world.run_for(0.2)
        world.workers.late_start_s = 8.0
        world.submit(0, job("b" * 16, tasks=1, standing=True), wait_s=0.05)
        world.records.write(
            f"servers/{other}", server_record(world.workers.workers[other].entry)
        )
        world.workers.workers[first].is_reachable = False
        world.run_for(5.9)
        world.workers.workers[first].is_reachable = True
        world.run_for(4.0)
        self.assert_never_twice(world)
        running = [
            run.task.job_id
            for worker in world.workers.workers.values()
            for run in worker.running
        ]
        self.assertEqual(sorted(running), [JOB, "b" * 16])

    def world_with_advice(self, allowed, workers=3):
        world = self.world(workers=workers)
        route = CONFIGURATION["routes"][0] | {"advice": ADVICE}
        changed = CONFIGURATION | {"version": 2, "routes": [route]}
        world.records.write("op/config", msgspec.json.encode(changed))
        world.run_for(0.3)
        world.workers.wants_tickets = True
        world.advice.allowed = set(allowed)
        return world

    def test_advised_job_runs_where_the_service_allows_it(self):
        world = self.world_with_advice({"w1"})
        world.advice.failures = 1
        world.submit(0, job(JOB, tasks=3, steps=2))
        world.run_for(4.0)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual({worker for _, worker in world.workers.starts}, {"w1"})
        # One call failed, one for each step followed; no worker is asked for twice.
        self.assertEqual(len(world.advice.asked), 3)

    def test_ticket_that_has_ended_is_asked_for_again(self):
        world = self.world_with_advice({"w0"}, workers=1)
        world.submit(0, job(JOB, tasks=20))
        # Eight tasks fit at a time, and a ticket holds for one and a half seconds.
        world.run_for(5.0)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(len(world.workers.starts), 20)
        self.assertGreaterEqual(len(world.advice.asked), 2)

    def test_advice_is_asked_for_some_workers_at_a_time(self):
        world = self.world_with_advice({"w40"}, workers=45)
        world.submit(0, job(JOB, tasks=2))
        world.run_for(3.0)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        sizes = [len(workers) for _, workers in world.advice.asked]
        self.assertEqual(sum(sizes), 45)
        self.assertLessEqual(max(sizes), ADVISED_WORKERS)

    def test_start_that_reaches_the_next_life_is_not_started_elsewhere(self):
        # Pattern: an order is under way while its worker crashes and comes back
        # under the same id, where it has seen no fence and knows no older clock.
        world = self.world(workers=2, run_s=0.0)
        world.workers.start_lost_to_next_life = True
        world.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
        waiting = world.workers.starts == []
        self.assertTrue(waiting)
        struck = next(iter(world.workers._for_next_life))
        entry = worker_entry(int(struck[1:]), born_ms=2)
        world.workers.add(entry, 0.0)
        world.run_for(0.3)
        world.records.write(f"servers/{struck}", server_record(entry))
        world.run_for(4.0)
        self.assert_never_twice(world)
        running = [r for w in world.workers.workers.values() for r in w.running]
        self.assertEqual(len(running), 1)

    def test_repeated_start_that_the_next_life_answers_is_ruled_out(self):
        # Pattern: orders are repeated while a link is reset, and the next life of
        # the worker, under the same id, takes them.
        for after_s in (0.2, 0.4, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9):
            with self.subTest(after_s=after_s):
                world = self.world(workers=1, run_s=0.0)
                world.workers.lives_share_ids = True
                world.workers.workers["w0"].is_reachable = False
                world.submit(0, job(JOB, tasks=2, standing=True), wait_s=after_s)
                world.add_worker(worker_entry(1), 0.0)
                entry = worker_entry(0, born_ms=2)
                world.workers.add(entry, 0.0)
                world.run_for(1.5)
                world.records.write("servers/w0", server_record(entry))
                world.run_for(8.0)
                self.assert_never_twice(world)
                workers = world.workers.workers.values()
                self.assertEqual(sum(len(w.running) for w in workers), 2)

    def test_start_lost_with_its_worker_is_made_elsewhere(self):
        # Pattern: the worker of an unanswered order never comes back.
        world = self.world(workers=2, run_s=0.0)
        world.workers.start_lost_to_next_life = True
        world.submit(0, job(JOB, tasks=1, standing=True), wait_s=0.1)
        struck = next(iter(world.workers._for_next_life))
        world.workers.workers[struck].is_reachable = False
        world.records.remove(f"servers/{struck}")
        world.run_for(7.0)
        running = [r for w in world.workers.workers.values() for r in w.running]
        self.assertEqual(len(running), 1)

    def test_reborn_worker_frees_its_tasks_at_once(self):
        world = self.world(workers=1, run_s=5.0)
        world.submit(0, job(JOB, tasks=2))
        world.run_for(1.0)
        entry = worker_entry(0, born_ms=2)
        world.workers.workers["w0"].running.clear()
        world.workers.add(entry, 1.0)
        world.records.write("servers/w0", server_record(entry))
        world.run_for(2.5)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)

    def test_draining_worker_gets_nothing_new(self):
        world = self.world(workers=2)
        entry = worker_entry(0)
        world.records.write("servers/w0", server_record(entry, "draining"))
        world.run_for(0.2)
        world.submit(0, job(JOB, tasks=8))
        world.run_for(3.0)
        self.assertEqual({worker for _, worker in world.workers.starts}, {"w1"})

    def test_heartbeats_of_many_workers_cost_few_watches(self):
        # Pattern: each entry changes with each heartbeat of its worker.
        world = self.world(workers=30)
        before = world.stores[world.leader()].watches
        for _ in range(2):
            for worker_id, worker in world.workers.workers.items():
                world.records.write(f"servers/{worker_id}", server_record(worker.entry))
                world.run_for(0.05)
        # Other prefixes are watched for one and a half seconds at a time.
        self.assertLess(world.stores[world.leader()].watches - before, 20)

    def test_worker_that_failed_gets_standing_work_again_soon(self):
        # Pattern: a worker fails all that it starts for some seconds; afterwards
        # only standing tasks, which never end, are left to show that it is sound.
        world = self.world(workers=2)
        world.workers.workers["w0"].fails = True
        for number in range(8):
            world.submit(0, job(f"{number:016x}", tasks=4))
        world.run_for(8.0)
        world.workers.workers["w0"].fails = False
        for worker in world.workers.workers.values():
            worker.run_s = 0.0
        world.submit(0, job(JOB, tasks=16, standing=True))
        # A disruption counts as over four seconds after its end, and a standing
        # task may wait for another three.
        world.run_for(7.0)
        running = [len(w.running) for w in world.workers.workers.values()]
        self.assertEqual(running, [8, 8])

    def test_standing_tasks_leave_a_draining_worker_at_once(self):
        world = self.world(workers=2, run_s=0.0)
        world.submit(0, job(JOB, tasks=4, standing=True))
        world.run_for(1.0)
        first = world.workers.starts[0][1]
        entry = world.workers.workers[first].entry
        world.records.write(f"servers/{first}", server_record(entry, "draining"))
        world.run_for(1.0)
        self.assertEqual(len(world.workers.workers[first].running), 0)
        self.assertEqual(len(world.workers.starts), 8)
        self.assert_never_twice(world)

    def test_new_worker_during_an_outage_stops_no_planning(self):
        # Pattern: the roster cannot be stored, so only the new worker waits.
        world = self.world(workers=2)
        world.submit(0, job(JOB, tasks=4, steps=5))
        world.run_for(0.2)
        for store in world.stores:
            store.is_down = True
        leader = world.nodes[world.leader()].leader
        leader.workers._add_worker(worker_entry(7))
        world.workers.add(worker_entry(7))
        world.run_for(4.2)
        self.assertGreaterEqual(len(world.workers.starts), 16)
        self.assertNotIn("w7", {worker for _, worker in world.workers.starts})

    def test_data_centre_out_gets_nothing_until_it_is_back(self):
        world = self.world()
        world.records.write("op/evacuate/north", b"{}")
        world.run_for(0.2)
        world.submit(0, job(JOB))
        world.run_for(2.0)
        self.assertEqual(world.workers.starts, [])
        world.records.remove("op/evacuate/north")
        world.run_for(2.0)
        self.assertEqual(len(world.workers.starts), 4)

    def test_ended_jobs_are_kept_as_long_as_promised_and_no_longer(self):
        world = self.world(daemons=1)
        world.submit(0, job(JOB, tasks=1))
        world.run_for(3.0)
        kept_s = world.nodes[0].settings.job_state_kept_s
        world.run_for(kept_s - 5.0)
        self.assertEqual(world.phase(0, JOB), JobPhase.COMPLETED)
        world.run_for(45.0)
        answer = world.ask(world.nodes[0].desk.read(JOB, world.clock.seconds() + 3))
        self.assertEqual(answer.outcome, Outcome.ABSENT)
        left = [key for key in world.records.records if key.endswith(JOB)]
        self.assertEqual(left, [])

    def test_looks_wait_while_ends_are_not_stored(self):
        # Pattern: a look is answered at once while an end is not acknowledged.
        world = self.world(workers=1)
        world.submit(0, job(JOB, tasks=4))
        before = world.workers.looks
        world.run_for(3.0)
        self.assertLess(world.workers.looks - before, 30)


if __name__ == "__main__":
    unittest.main()
