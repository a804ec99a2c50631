import unittest
from random import Random
from unittest.mock import patch

from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fleet_types import Workspace
from dogwoodlever._scheduling_order import DeadlineOutlook, scheduling_key
from tests.test_workspace_usage import NOW_S, WorkspaceFixture, step, workspace


def water_filling(capacity, weights, demands):
    """Return the exact weighted max-min shares of one resource."""
    shares = dict.fromkeys(weights, 0.0)
    open_names = set(weights)
    left = capacity
    while open_names and left > 1e-9:
        total = sum(weights[name] for name in open_names)
        level = min((demands[n] - shares[n]) / weights[n] for n in open_names)
        level = min(level, left / total)
        for name in open_names:
            shares[name] += level * weights[name]
        left -= level * total
        open_names = {n for n in open_names if demands[n] - shares[n] > 1e-9}
    return shares


class SharesTest(unittest.TestCase):
    def running(self, fixture):
        names = fixture.configuration.workspaces
        return {name: fixture.usage.used(name).cores_milli / 1000 for name in names}

    def test_shares_equal_water_filling(self):
        table = (
            # name, weights, demands in tasks of one core
            ("equal", (1, 1), (99, 99)),
            ("weighted", (3, 1), (99, 99)),
            ("one wants less", (1, 1, 1), (5, 99, 99)),
            ("two want less", (1, 2, 5), (5, 99, 10)),
            ("less than the capacity", (1, 9), (10, 20)),
            ("one alone", (1,), (99,)),
            ("many", (1, 2, 3, 4, 5), (3, 40, 40, 6, 40)),
        )
        for name, weights, demands in table:
            with self.subTest(name):
                names = "abcdef"[: len(weights)]
                spaces = [workspace(n, w) for n, w in zip(names, weights, strict=True)]
                fixture = WorkspaceFixture(spaces, workers=4, cores=16)
                for n, demand in zip(names, demands, strict=True):
                    fixture.add(n, step(demand))
                fixture.plan()
                expected = water_filling(
                    64.0,
                    dict(zip(names, weights, strict=True)),
                    dict(zip(names, demands, strict=True)),
                )
                for n, cores in self.running(fixture).items():
                    # Tasks are whole.
                    self.assertAlmostEqual(cores, expected[n], delta=1.0, msg=n)

    # Guards against shares of the cores alone: the dominant resources are made equal.
    def test_dominant_resources_are_made_equal(self):
        fixture = WorkspaceFixture([workspace("a"), workspace("b")], accelerators=16)
        fixture.add("a", step(200, 1.0, 1))
        fixture.add("b", step(200, 0.1, 1, 1))
        fixture.plan()
        used = fixture.usage.used
        shares = used("a").cores_milli / 64_000, used("b").accelerators / 64
        self.assertAlmostEqual(*shares, delta=0.1)
        # One of the two fills what the other leaves.
        self.assertEqual(fixture.plan(), [])

    # Guards against a whole job of one workspace in each turn.
    def test_workspaces_alternate_within_a_round(self):
        fixture = WorkspaceFixture([workspace("a"), workspace("b")])
        for name in ("a", "b"):
            fixture.add(name, step(80))
        placed = fixture.plan()
        for end in range(2, len(placed), 2):
            self.assertAlmostEqual(placed[:end].count("a"), end / 2, delta=1)

    # Guards against a workspace that starves others or idles room while it waits.
    def test_workspace_that_places_nothing_blocks_no_other(self):
        table = (
            ("at its cap", {"cores": 2}, step(80, 2.0), 2),
            ("no room for its size", {}, step(80, 17.0), 0),
            ("no room for its gang", {}, step(5, 16.0, gang=True), 0),
        )
        for name, cap, spec, blocked_cores in table:
            with self.subTest(name):
                fixture = WorkspaceFixture([workspace("a", **cap), workspace("b")])
                fixture.add("a", spec)
                fixture.add("b", step(200))
                placed = fixture.plan()
                self.assertEqual(placed.count("b"), 64 - blocked_cores)

    # Guards against steps that a failing task of the same turn takes out of the round.
    def test_failed_task_leaves_the_rest_of_its_step_in_the_round(self):
        fixture = WorkspaceFixture([workspace("a"), workspace("b")], workers=1)
        state = fixture.add("a", step(4, worker_tasks_max=3))
        state.occurrences[0].steps[0].tasks[0].failed_on.add("w0")
        self.assertEqual(fixture.plan().count("a"), 3)

    # Guards against room under a cap that a task which may not start keeps idle.
    def test_held_task_leaves_the_room_under_the_cap_to_others(self):
        for name, fields in (("short", {}), ("standing", {"standing": True})):
            with self.subTest(name):
                fixture = WorkspaceFixture([workspace("a", cores=1)])
                state = fixture.add("a", step(3, image="i", **fields))
                held = state.occurrences[0].steps[0].tasks[0]
                held.crashes = {1: "w9", 2: "w9"}
                with patch.object(
                    CrashAttribution, "is_held", lambda _, t: bool(t.crashes)
                ):
                    self.assertEqual(fixture.plan(), ["a"])
                self.assertTrue(held.is_ready)

    def test_urgent_queue_goes_before_shares(self):
        fixture = WorkspaceFixture([workspace("a"), workspace("b")])
        fixture.add("a", step(99), queue="urgent")
        fixture.add("b", step(99))
        self.assertEqual(set(fixture.plan()), {"a"})

    # Steps of public queues compete as one more participant; standing steps keep the
    # order of arrival of their jobs.
    def test_steps_without_a_workspace(self):
        fixture = WorkspaceFixture([workspace("a", 2.0), workspace("b", 2.0)])
        for name in ("a", "b", ""):
            fixture.add(name, step(99))
        placed = fixture.plan()
        for name in ("a", "b", ""):
            self.assertAlmostEqual(placed.count(name), 64 / 3, delta=1)

    def test_standing_steps_keep_their_order(self):
        fixture = WorkspaceFixture([workspace("a"), workspace("b", 100.0)])
        for number, name in enumerate(("a", "", "b", "a")):
            spec = step(20, standing=True, image="i")
            state = fixture.add(name, spec, age_s=10.0 - number)
            state.is_over_rate = number == 0
        placed = fixture.plan()
        self.assertEqual(placed, ["a"] * 20 + [""] * 20 + ["b"] * 20 + ["a"] * 4)

    # Guards against a planner that changes the order where no workspace is configured.
    def test_order_without_workspaces_is_unchanged(self):
        fixture = WorkspaceFixture([])
        for number, tasks in enumerate((9, 3, 20)):
            fixture.add("a" if number else "b", step(tasks))
        states = fixture.registry.active.values()
        steps = [s for state in states for s in state.active_steps()]
        steps.sort(key=lambda s: scheduling_key(s, NOW_S, NOW_S * 1000))
        expected = [s.job.job.workspace for s in steps for _ in s.tasks]
        self.assertEqual(fixture.plan(), expected)


class BurstTest(unittest.TestCase):
    ROUND_S = 0.1
    # Rounds that a run takes; ends are spread over the rounds.
    RUN_ROUNDS = range(5, 16)

    def run_load(self, burst, has_workspaces=True):
        """Return the mean wait of each workspace's tasks, in rounds, and the idle room.

        The usual load of five workspaces fills three quarters of the workers; `a` sends
        `burst` times its own. Each sends a job of six tasks in each fifth round.
        """
        names = "abcde"
        spaces = [workspace(n, 2.0) for n in names] if has_workspaces else []
        fixture = WorkspaceFixture(spaces, workers=5)
        random = Random(1)
        ends_due, waits, idle = {}, {n: [] for n in names}, 0
        submitted = {}
        for number in range(80):
            now_s = NOW_S + number * self.ROUND_S
            for task in ends_due.pop(number, ()):
                fixture.end(task)
                task.is_done = True
                task.step.done += 1
                task.step.refresh(task)
            for index, name in enumerate(names):
                if number % 5 != index:
                    continue
                for _ in range(burst if name == "a" else 1):
                    state = fixture.add(name, step(6))
                    state.arrived_s = now_s
                    submitted[state.job.job_id] = number
                    fixture.rates.decide(state, fixture.configuration, now_s * 1000)
            for placement in fixture.planner.plan(
                fixture.registry,
                fixture.capacities,
                fixture.configuration,
                now_s,
                now_s * 1000,
                False,
            ):
                fixture.start(placement, now_s)
                task = placement.task
                ends = number + random.choice(self.RUN_ROUNDS)
                ends_due.setdefault(ends, []).append(task)
                job = task.step.job.job
                waits[job.workspace].append(number - submitted[job.job_id])
            waiting = any(True for _ in fixture.registry.active_steps())
            free = sum(capacity.cores_free for capacity in fixture.capacities)
            idle += free if waiting else 0
        means = {name: sum(found) / len(found) for name, found in waits.items()}
        return means, idle

    # Guards against a workspace that delays the others by sending many times its load.
    def test_burst_of_one_workspace_costs_the_others_nothing(self):
        usual, _ = self.run_load(1)
        burst, idle = self.run_load(8)
        unshared, _ = self.run_load(8, has_workspaces=False)
        for name in "bcde":
            # All cores are in use, so a task may wait for the next run to end.
            self.assertLess(burst[name] - usual[name], 0.2, name)
            self.assertGreater(unshared[name], 10.0, name)
        self.assertGreater(burst["a"], 10.0)
        self.assertEqual(idle, 0)


class RateTest(unittest.TestCase):
    def decide(self, weight, arrivals_ms, window_s=5.0):
        fixture = WorkspaceFixture([workspace("a", weight)])
        states = [fixture.add("a", step()) for _ in arrivals_ms]
        for state, arrived_ms in zip(states, arrivals_ms, strict=True):
            fixture.rates.decide(state, fixture.configuration, arrived_ms)
        return [state.is_over_rate for state in states]

    def test_token_bucket(self):
        table = (
            # name, weight, arrivals in ms, number of jobs within the rate
            ("window at once", 2.0, [0] * 12, 10),
            ("refilled", 2.0, [0] * 10 + [500, 500, 1000], 12),
            ("no more than the window", 2.0, [0] + [60_000] * 12, 11),
            ("at its rate", 2.0, range(0, 50_000, 500), 100),
            ("at twice its rate", 2.0, range(0, 50_000, 250), 109),
            ("at least one job", 0.01, [0, 0, 100_000], 2),
            ("no weight", 0.0, [0, 10**9], 1),
            ("clock set back", 2.0, [5000] + [0] * 11, 10),
        )
        for name, weight, arrivals_ms, expected in table:
            with self.subTest(name):
                decided = self.decide(weight, arrivals_ms)
                self.assertEqual(decided.count(False), expected)

    # A successor decides by arrival, not by the moment at which it reads the jobs, and
    # in the order of the store.
    def test_successor_decides_by_arrival_in_order_of_revision(self):
        fixture = WorkspaceFixture([workspace("a", 1.0)])
        arrivals_ms = [1000] * 6 + [3000, 3000, 3000]
        expected = [False] * 5 + [True] + [False, False, True]
        states = []
        for arrived_ms in arrivals_ms:
            state = fixture.add("a", step())
            fields = {f: getattr(state.job, f) for f in state.job.__struct_fields__}
            state.job = type(state.job)(**{**fields, "submitted_ms": arrived_ms})
            states.append(state)
        fixture.rates.decide_inherited(
            reversed(states), fixture.configuration, NOW_S * 1000
        )
        self.assertEqual([state.is_over_rate for state in states], expected)

    def test_jobs_beyond_the_rate_go_last_but_leave_nothing_idle(self):
        table = (
            # name, late tasks within the rate, tasks placed of them, of the others
            ("behind late work", 64, 64, 0),
            ("fill what is left", 10, 10, 54),
        )
        for name, tasks, within, beyond in table:
            with self.subTest(name):
                fixture = WorkspaceFixture([workspace("a", 100.0), workspace("b")])
                late = fixture.add("b", step(tasks), age_s=62.0)
                fixture.add("a", step(99)).is_over_rate = True
                waiting = late.occurrences[0].steps[0]
                outlook, *_ = scheduling_key(waiting, NOW_S, NOW_S * 1000)
                self.assertIs(outlook, DeadlineOutlook.LATE)
                placed = fixture.plan()
                self.assertEqual(
                    (placed.count("b"), placed.count("a")), (within, beyond)
                )

    def test_jobs_without_a_known_workspace_are_within_the_rate(self):
        for name in ("", "removed"):
            with self.subTest(name):
                fixture = WorkspaceFixture([Workspace("a", 0.1)])
                states = [fixture.add(name, step()) for _ in range(5)]
                for state in states:
                    fixture.rates.decide(state, fixture.configuration, 0.0)
                self.assertFalse(any(state.is_over_rate for state in states))


if __name__ == "__main__":
    unittest.main()
