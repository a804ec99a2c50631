import unittest
import zlib

import msgspec

from dogwoodlever.batch import (
    Cell,
    CellStateRecord,
    Job,
    LeaseSettings,
    decode_cell_state,
    encode_cell_state,
)
from dogwoodlever.platform_clients import (
    AttemptId,
    EndedAttempt,
    RunningAttempt,
    VMStates,
    WorkerReport,
)
from dogwoodlever.settings import DataCentre, Site, Team, Worker

LEASE_SETTINGS = LeaseSettings(6.0, 0.5, 2.0, 60.0)


def make_site(workers=4, out=()):
    centres = {name: DataCentre("r", name in out) for name in "ab"}
    return Site(
        "test",
        centres,
        {
            f"w{i}": Worker("ab"[i % 2], "r", "127.0.0.1", 1, cores=8.0, accelerators=i)
            for i in range(workers)
        },
        {},
        {"alpha": Team(32.0, 3), "beta": Team(32.0, 3)},
    )


def job(name="j", tasks=4, cores=2.0, **more):
    return Job(name, more.pop("team", "alpha"), "c", tasks, cores, 1000, 60.0, **more)


class CellTestCase(unittest.TestCase):
    def setUp(self):
        self.start_cell()

    def start_cell(self, workers=4):
        self.now_s = 0.0
        self.events = []
        self.cell = Cell(
            "c",
            CellStateRecord("me", 1),
            make_site(workers),
            LEASE_SETTINGS,
            0.0,
            log_event=lambda name, **fields: self.events.append(name),
        )
        self.report_all()

    def report_all(self, boot="b", **ended):
        for name in self.cell.workers:
            self.report(name, boot, ended.get(name, ()))

    def report(self, name, boot="b", ended=(), running=True):
        view = self.cell.workers[name]
        gone = {(e.task_id, e.attempt) for e in ended}
        held = [
            RunningAttempt(i, self.task(i).attempt, True, 1.0, 2.0)
            for i in sorted(view.tasks)
            if (i, self.task(i).attempt) not in gone and running
        ]
        report = WorkerReport(name, boot, self.now_s, tuple(held), tuple(ended))
        self.cell.handle_report(report, self.now_s, self.now_s)

    def task(self, task_id):
        return self.cell.cell_state.tasks[task_id]

    def step(self, commit=True):
        self.cell.decide(self.now_s, self.now_s)
        if commit and self.cell.begin_commit() is not None:
            self.cell.confirm_commit()

    def end(self, task_id, outcome, checkpoint_s=0.0):
        task = self.task(task_id)
        ended = EndedAttempt(task_id, task.attempt, outcome, checkpoint_s, 5.0, 2.0)
        self.report(task.worker, ended=(ended,))

    def sync(self, name, age_s=0.1, may_renew=True):
        return self.cell.sync(name, self.now_s, age_s, may_renew)

    def states(self):
        return sorted({t.state for t in self.cell.cell_state.tasks.values()})


class CellTest(CellTestCase):
    def test_sync_holds_only_committed_orders(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step(commit=False)
        worker = self.task("j/0").worker
        self.assertEqual(self.sync(worker).run, ())
        self.cell.begin_commit()
        self.assertEqual(self.sync(worker).run, ())
        self.cell.confirm_commit()
        self.assertEqual(len(self.sync(worker).run), 1)

    def test_aborted_commit_is_returned_again(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step(commit=False)
        self.cell.begin_commit()
        self.cell.abort_commit()
        commit = self.cell.begin_commit()
        self.assertEqual(decode_cell_state(commit.value).tasks["j/0"].state, "assigned")

    def test_nothing_starts_without_fresh_configuration(self):
        table = (("fresh", 0.5, True), ("as old as allowed", 2.0, False))
        for name, age_s, starts in table:
            with self.subTest(name):
                self.assertEqual(self.sync("w0", age_s).start_until_s > 0, starts)

    def test_no_renewal_without_membership_lease(self):
        self.assertIsNone(self.sync("w0", may_renew=False))

    def test_deadlines_are_on_the_workers_clock(self):
        self.now_s = 3.0
        report = WorkerReport("w0", "b", 500.0)
        self.cell.handle_report(report, self.now_s, 0.0)
        self.now_s = 4.0
        self.assertEqual(self.sync("w0").lease_until_s, 501.0 + 6.0)

    def test_fits_in_cores_memory_and_quota(self):
        self.cell.submit(job(tasks=40), 0.0)
        self.step()
        for view in self.cell.workers.values():
            self.assertLessEqual(view.cores_placed, view.cores_capacity)
        self.assertEqual(self.cell.quota.usage("alpha").cores, 32.0)

    def test_accelerators_are_kept_for_tasks_that_need_them(self):
        self.cell.submit(job("plain", 4), 0.0)
        self.step()
        self.assertEqual({self.task(f"plain/{i}").worker for i in range(4)}, {"w0"})
        self.cell.submit(job("fast", 1, accelerators=3), 0.0)
        self.step()
        self.assertEqual(self.task("fast/0").worker, "w3")

    def test_teams_share_capacity_equally(self):
        self.cell.submit(job("a", 16), 0.0)
        self.cell.submit(job("b", 16, team="beta"), 0.0)
        self.step()
        placed = {team: self.cell.quota.usage(team).cores for team in ("alpha", "beta")}
        self.assertEqual(placed, {"alpha": 16.0, "beta": 16.0})

    def test_one_round_of_evictions_fits_all_urgent_tasks(self):
        self.cell.submit(job("a", 16, team="beta"), 0.0)
        self.step()
        self.report_all()
        self.cell.submit(job("u", 6, urgent=True), 0.0)
        self.step()
        stopping = [
            t for t in self.cell.cell_state.tasks.values() if t.state == "stopping"
        ]
        self.assertEqual(len(stopping), 6)
        self.step()
        stopping = [
            t for t in self.cell.cell_state.tasks.values() if t.state == "stopping"
        ]
        self.assertEqual(len(stopping), 6)
        for task in stopping:
            self.end(task.task_id, "stopped", 1.0)
        self.step()
        placed = [self.task(f"u/{i}").state for i in range(6)]
        self.assertEqual(placed, ["assigned"] * 6)

    def test_evicted_task_resumes_from_its_checkpoint_once(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        first = self.task("j/0").worker
        self.report(first)
        listed = frozenset(self.cell.workers)
        self.cell.set_vms(VMStates(listed, frozenset({first})))
        self.step()
        stop = self.sync(first).stop
        self.assertEqual([(s.task_id, s.checkpoint) for s in stop], [("j/0", True)])
        self.end("j/0", "stopped", 17.0)
        self.step()
        task = self.task("j/0")
        self.assertEqual((task.state, task.attempt), ("assigned", 2))
        self.assertNotEqual(task.worker, first)
        self.assertEqual(self.sync(task.worker).run[0].checkpoint_s, 17.0)

    def test_data_centre_out_evicts_tasks_and_gets_none(self):
        self.cell.submit(job(tasks=16), 0.0)
        self.step()
        self.report_all()
        self.cell.set_site(make_site(out="a"), 0.0)
        self.step()
        for name in ("w0", "w2"):
            self.assertEqual(len(self.sync(name).stop), 4)
            self.assertEqual(self.sync(name).start_until_s, 0.0)

    def test_lost_only_after_lease_end_and_failed_sync(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        worker = self.task("j/0").worker
        self.sync(worker)
        others = frozenset(self.cell.workers) - {worker}
        table = (
            (5.0, False, True, 1),
            (6.6, False, True, 1),
            (6.6, True, False, 1),
            (66.4, True, False, 1),
            (66.6, True, False, 2),
        )
        for at_s, sync_failed, gone, attempt in table:
            with self.subTest(f"at {at_s} s, sync failed {sync_failed}, gone {gone}"):
                self.now_s = at_s
                self.cell.set_vms(VMStates(others if gone else others | {worker}))
                for name in others:
                    self.report(name)
                if sync_failed:
                    self.cell.sync_failed(worker, at_s)
                self.step()
                self.assertEqual(self.task("j/0").attempt, attempt)

    def test_waits_for_longer_lease_of_an_earlier_owner(self):
        cell_state = CellStateRecord("me", 2, lease_s=40.0)
        cell = Cell("c", cell_state, make_site(), LEASE_SETTINGS, 0.0)
        ends = {view.lease_end_s for view in cell.workers.values()}
        self.assertEqual(ends, {40.5})

    def test_lost_at_lease_end_if_platform_no_longer_lists_it(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        worker = self.task("j/0").worker
        self.sync(worker)
        self.now_s = 6.6
        others = frozenset(self.cell.workers) - {worker}
        for name in others:
            self.report(name)
        self.cell.set_vms(VMStates(others))
        self.cell.sync_failed(worker, 6.6)
        self.step()
        self.assertEqual(self.task("j/0").attempt, 2)

    def test_removed_worker_is_drained_even_if_listed(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        worker = self.task("j/0").worker
        self.cell.set_site(make_site(), 0.0, set(self.cell.workers) - {worker})
        self.cell.set_vms(VMStates(frozenset(self.cell.workers)))
        self.step()
        self.assertEqual(self.task("j/0").state, "stopping")

    def test_silent_worker_gets_sync_without_renewal(self):
        self.now_s = 4.0
        self.cell.decide(self.now_s, 0.0)
        request = self.sync("w0")
        self.assertEqual((request.lease_until_s, request.run), (0.0, ()))

    def test_reboot_requeues_tasks_of_the_worker(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        worker = self.task("j/0").worker
        self.report(worker)
        self.report(worker, boot="b2", running=False)
        self.assertEqual(self.task("j/0").state, "queued")

    def test_late_end_of_a_lost_attempt_is_accepted(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        worker = self.task("j/0").worker
        self.report(worker)
        self.report(worker, boot="b2", running=False)
        ended = EndedAttempt("j/0", 1, "finished", 60.0, 60.0, 2.0)
        self.report(worker, boot="b2", ended=(ended,))
        self.assertEqual(self.task("j/0").state, "finished")

    def test_ended_attempts_are_forgotten_only_after_commit(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        worker = self.task("j/0").worker
        self.end("j/0", "finished")
        self.assertEqual(self.sync(worker).forget, ())
        self.step()
        self.assertEqual(self.sync(worker).forget, (AttemptId("j/0", 1),))

    def test_standing_task_is_restarted(self):
        self.cell.submit(job(tasks=1, standing=True), 0.0)
        self.step()
        self.end("j/0", "finished")
        self.step()
        self.assertEqual(
            (self.task("j/0").state, self.task("j/0").attempt), ("assigned", 2)
        )

    def test_mass_cancellation_is_one_commit(self):
        for number in range(5):
            self.cell.submit(job(f"j{number}", 4), 0.0)
        self.step()
        self.assertEqual(self.cell.cancel([f"j{n}" for n in range(5)], 0.0), 20)
        commit = self.cell.begin_commit()
        tasks = decode_cell_state(commit.value).tasks.values()
        self.assertLessEqual({t.state for t in tasks}, {"cancelling", "cancelled"})

    def test_task_that_fails_on_several_workers_fails(self):
        self.cell.submit(job(tasks=1), 0.0)
        for _ in range(3):
            self.step()
            self.end("j/0", "failed")
        self.assertEqual(self.task("j/0").state, "failed")
        self.assertEqual(len(self.task("j/0").failed_on), 3)

    def test_worker_that_fails_everything_is_quarantined(self):
        jobs = ("a", "b", "c")
        for name in jobs:
            self.cell.submit(job(name, 1), 0.0)
        self.step()
        for name in jobs:
            self.assertEqual(self.task(f"{name}/0").worker, "w0")
            self.end(f"{name}/0", "failed")
        self.step()
        self.assertNotIn("w0", {self.task(f"{name}/0").worker for name in jobs})
        self.assertEqual(self.cell.faults.task_limit("w0", 1.0), 0)
        self.assertEqual(self.cell.faults.task_limit("w0", 31.0), 1)

    # Guards against a probation that never ends, as a task that lasts keeps all others
    # from the worker.
    def test_worker_with_a_long_task_is_probed_after_its_quarantine(self):
        self.start_cell(workers=1)
        self.cell.submit(job("long", 1), 0.0)
        self.step()
        self.report_all()
        self.now_s = 1.0
        for name in ("a", "b", "c"):
            self.cell.faults.record_failure("w0", name, self.now_s, 1)
        self.cell.submit(job("next", 2), self.now_s)
        self.step()
        self.assertEqual(self.task("next/0").state, "queued")
        self.now_s = self.cell.faults.worker("w0").quarantined_until_s
        self.report_all()
        self.step()
        states = [self.task(f"next/{n}").state for n in range(2)]
        self.assertEqual(states, ["assigned", "queued"])

    def test_repeated_job_is_not_added(self):
        self.assertTrue(self.cell.submit(job(), 0.0))
        self.assertFalse(self.cell.submit(job(), 0.0))

    def test_learned_size_replaces_the_declared_but_can_still_be_placed(self):
        table = (("used less", 0.5, 0.6), ("used more", 30.0, 8.0))
        for name, used, planned in table:
            with self.subTest(name):
                self.setUp()
                for _ in range(60):
                    self.cell.estimates.observe("c", used, 5.0)
                self.cell.submit(job(tasks=1), 0.0)
                self.step()
                self.assertAlmostEqual(self.task("j/0").planned_cores, planned, 1)


class CrashingTasksTest(CellTestCase):
    """Tasks whose workers' processes restart while they run."""

    # Well above the crashes after which a task is given up.
    ROUNDS = 12

    def restart(self, worker):
        """Report another boot of a worker, which holds nothing of the former one."""
        self.boots = getattr(self, "boots", 0) + 1
        self.report(worker, boot=f"boot-{self.boots}", running=False)

    def run_for(self, duration_s):
        """Let all workers report each second."""
        for _ in range(round(duration_s)):
            self.now_s += 1.0
            for name, view in self.cell.workers.items():
                self.report(name, boot=view.boot_id)
            self.step()

    def start_all(self):
        self.step()
        for name, view in self.cell.workers.items():
            self.report(name, boot=view.boot_id)

    def crash_rounds(self, task_id, rounds, age_s=2.0):
        """Crash the task's worker at an age of each of its attempts."""
        for _ in range(rounds):
            self.start_all()
            self.run_for(age_s)
            if self.task(task_id).state == "failed":
                return
            self.restart(self.task(task_id).worker)

    def replace_owner(self):
        state = decode_cell_state(encode_cell_state(self.cell.cell_state))
        boots = {name: view.boot_id for name, view in self.cell.workers.items()}
        self.cell = Cell("c", state, make_site(), LEASE_SETTINGS, self.now_s)
        for name, boot in boots.items():
            self.report(name, boot=boot)

    # Guards against a task that crashes worker after worker without end.
    def test_task_whose_workers_restart_is_given_up(self):
        table = (
            ("four workers", 4, {}, 2.0, 3),
            ("before the first report", 4, {}, 0.0, 3),
            ("a standing task", 4, {"standing": True}, 2.0, 3),
            ("two workers", 2, {}, 2.0, 6),
        )
        for name, workers, fields, age_s, attempts_max in table:
            with self.subTest(name):
                self.start_cell(workers)
                self.cell.submit(job(tasks=1, **fields), 0.0)
                self.crash_rounds("j/0", self.ROUNDS, age_s)
                task = self.task("j/0")
                self.assertEqual(task.state, "failed")
                self.assertLessEqual(task.attempt, attempts_max)
                self.assertIn("crashed", task.history[-1].reason)
                self.assertIn("w0", task.history[-1].reason)
                crashes = len(task.crashed_on)
                expected = ["task.suspected"] * crashes + ["task.given-up"]
                self.assertEqual(self.events, expected)

    # Guards against giving up tasks that shared workers with one that crashes them.
    def test_tasks_that_shared_crashed_workers_are_not_given_up(self):
        table = (("one job", ("j/0",)), ("two crash workers", ("j/0", "j/1")))
        for name, crashing in table:
            with self.subTest(name):
                self.setUp()
                self.cell.submit(job(tasks=8), 0.0)
                for _ in range(4 * self.ROUNDS):
                    self.start_all()
                    self.run_for(2.0)
                    for task_id in crashing:
                        if self.task(task_id).state == "running":
                            self.restart(self.task(task_id).worker)
                self.run_for(12.0)
                for number in range(8):
                    task = self.task(f"j/{number}")
                    expected = "failed" if task.task_id in crashing else "running"
                    self.assertEqual(task.state, expected, task.task_id)
                    if task.task_id in crashing:
                        self.assertLessEqual(task.attempt, 6)

    # Guards against evidence that adds up over the life of a standing task.
    def test_standing_task_outlives_restarts_of_its_workers(self):
        self.cell.submit(job(tasks=1, standing=True), 0.0)
        for number in range(self.ROUNDS):
            # Now and then a worker restarts soon after the start as well.
            self.crash_rounds("j/0", 1, age_s=30.0 if number % 3 else 2.0)
        self.start_all()
        self.assertEqual(self.task("j/0").state, "running")
        self.run_for(12.0)
        self.assertEqual(self.task("j/0").crashed_on, [])

    # Guards against taking an unreachable or leaving worker for a crashed one.
    def test_lost_worker_without_a_crash_is_no_evidence(self):
        for name in ("unreachable", "leaving", "restarted after its lease"):
            with self.subTest(name):
                self.setUp()
                self.cell.submit(job(tasks=1), 0.0)
                for _ in range(self.ROUNDS):
                    self.start_all()
                    worker = self.task("j/0").worker
                    if name == "leaving":
                        listed = frozenset(self.cell.workers)
                        self.cell.set_vms(VMStates(listed, frozenset({worker})))
                        self.restart(worker)
                        self.cell.set_vms(VMStates(listed))
                        continue
                    self.sync(worker)
                    self.now_s += 70.0
                    self.cell.sync_failed(worker, self.now_s)
                    self.cell.decide(self.now_s, self.now_s)
                    for other, view in self.cell.workers.items():
                        self.report(other, boot=view.boot_id)
                    if name != "unreachable":
                        self.restart(worker)
                task = self.task("j/0")
                self.assertNotEqual(task.state, "failed")
                self.assertEqual(task.crashed_on, [])

    # Guards against blaming a task for the end of a worker that never had its order.
    def test_attempt_without_an_order_is_no_evidence(self):
        self.cell.submit(job(tasks=1), 0.0)
        for _ in range(self.ROUNDS):
            self.step(commit=False)
            self.restart(self.task("j/0").worker)
        self.assertEqual(self.task("j/0").state, "queued")
        self.assertEqual(self.task("j/0").crashed_on, [])

    # Guards against an owner that counts anew.
    def test_change_of_owner_keeps_the_count(self):
        self.cell.submit(job(tasks=1), 0.0)
        for _ in range(self.ROUNDS):
            self.crash_rounds("j/0", 1)
            self.replace_owner()
        self.assertEqual(self.task("j/0").state, "failed")
        self.assertLessEqual(self.task("j/0").attempt, 3)

    def test_first_report_to_an_owner_is_no_evidence(self):
        self.cell.submit(job(tasks=1), 0.0)
        for _ in range(self.ROUNDS):
            self.start_all()
            worker = self.task("j/0").worker
            state = decode_cell_state(encode_cell_state(self.cell.cell_state))
            self.cell = Cell("c", state, make_site(), LEASE_SETTINGS, self.now_s)
            self.restart(worker)
            self.report_all()
        self.assertNotEqual(self.task("j/0").state, "failed")

    def test_nothing_starts_beside_a_suspect_on_probation(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.crash_rounds("j/0", 2)
        self.start_all()
        worker = self.task("j/0").worker
        self.cell.submit(job("late", 16), self.now_s)
        self.step()
        self.assertEqual(self.cell.workers[worker].tasks, {"j/0"})
        self.run_for(12.0)
        self.assertGreater(len(self.cell.workers[worker].tasks), 1)

    def test_states_of_earlier_builds_decode(self):
        self.cell.submit(job(tasks=1), 0.0)
        self.step()
        state = msgspec.json.decode(
            zlib.decompress(encode_cell_state(self.cell.cell_state))
        )
        state["tasks"]["j/0"] = state["tasks"]["j/0"][:9]
        old = zlib.compress(msgspec.json.encode(state))
        task = decode_cell_state(old).tasks["j/0"]
        self.assertEqual((task.state, task.crashed_on), ("assigned", []))
