import unittest
from dataclasses import replace
from unittest.mock import patch

from dogwoodlever import _workspace_report
from dogwoodlever._crash_attribution import CrashAttribution
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_planner import INTERRUPTION_MAX_S, FleetPlanner
from dogwoodlever._fleet_types import (
    FleetConfiguration,
    Queue,
    ResourceAmounts,
    RunId,
    Step,
    SubmittedJob,
    TaskId,
    Workspace,
)
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._worker_capacity import WorkerCapacity
from dogwoodlever._workspace_report import WorkspaceReport
from dogwoodlever._workspace_shares import WorkspaceRates, WorkspaceShares
from dogwoodlever._workspace_usage import UNLIMITED, WorkspaceUsage
from tests.fleet_simulation import worker_entry
from tests.test_fleet_planner import NoTickets

NOW_S = 100.0


def step(tasks=1, cores=1.0, memory_mb=100, accelerators=0, run_s=1.0, **fields):
    return Step(
        tasks, int(cores * 1000), memory_mb, accelerators, int(run_s * 1000), **fields
    )


class WorkspaceFixture:
    """Planner with workspaces, on workers with accelerators."""

    def __init__(self, workspaces, workers=4, cores=16, accelerators=8):
        self.queues = {
            "urgent": Queue("urgent", "", "/", "desk", 0, 3, 1.5, 60_000),
            "batch": Queue("batch", "", "/", "desk", 2, 3, 2.0, 60_000),
        }
        self.configure(workspaces)
        self.registry = RunRegistry(1)
        self.usage = WorkspaceUsage(self.registry, lambda: self.configuration)
        self.usage.start(())
        self.planner = FleetPlanner(
            FaultAttribution(),
            CrashAttribution(lambda job_id: True),
            InterferenceModel(),
            NoTickets(),
            WorkspaceShares(self.usage),
        )
        self.rates = WorkspaceRates(5.0)
        entries = [
            replace(worker_entry(n, cores), accelerators=accelerators)
            for n in range(workers)
        ]
        self.capacities = [WorkerCapacity(entry, self.usage) for entry in entries]

    def configure(self, workspaces):
        by_name = {workspace.name: workspace for workspace in workspaces}
        self.configuration = FleetConfiguration(1, self.queues, by_name)

    def add(self, workspace, *steps, queue="batch", age_s=0.0, job_id=""):
        job_id = job_id or f"{workspace}-{len(self.registry.jobs)}"
        job = SubmittedJob(job_id, queue, "", steps, workspace=workspace)
        revision = len(self.registry.jobs) + 1
        state = self.registry.add_job(job, self.queues[queue], revision, NOW_S - age_s)
        state.open_due(NOW_S * 1000)
        return state

    def plan(self, now_s=NOW_S):
        """Plan one round; return the workspaces of the placed tasks in order."""
        placed = []
        for placement in self.planner.plan(
            self.registry,
            self.capacities,
            self.configuration,
            now_s,
            now_s * 1000,
            False,
        ):
            self.start(placement, now_s)
            placed.append(placement.task.step.job.job.workspace)
        return placed

    def start(self, placement, now_s=NOW_S):
        task, capacity = placement.task, placement.capacity
        worker_id = capacity.entry.worker_id
        run = self.registry.begin_run(task, worker_id, now_s, placement.number)
        capacity.add(run, task.step.spec)

    def end(self, task):
        """End all runs of a task."""
        for run in list(task.runs.values()):
            self.registry.drop_run(task, run.run_id.number)
            for capacity in self.capacities:
                capacity.remove(run.run_id)


def workspace(name="a", weight=1.0, cores=0, memory_mb=0, accelerators=0):
    cap = ResourceAmounts(int(cores * 1000), memory_mb, accelerators)
    return Workspace(name, weight, cap)


class UsageTest(unittest.TestCase):
    def setUp(self):
        self.fixture = WorkspaceFixture([workspace(cores=10)])
        self.usage = self.fixture.usage
        self.state = self.fixture.add("a", step(4, 2.0))
        self.entry = self.fixture.capacities[0].entry
        self.run_ids = [
            RunId(task.task_id, 1) for task in self.state.occurrences[0].steps[0].tasks
        ]

    def cores(self):
        return self.usage.used("a").cores_milli / 1000

    # Guards against amounts that are freed while an order may still be carried out, and
    # against those that stay counted for ever.
    def test_run_counts_while_it_runs_or_is_held(self):
        spec, run_id = self.state.job.steps[0], self.run_ids[0]
        add = (lambda: self.usage.add(self.entry, run_id, spec), 2.0)
        remove = lambda: self.usage.remove("w0", run_id)  # noqa: E731
        hold = lambda: self.usage.hold(self.entry, run_id, 50.0)  # noqa: E731
        release = lambda: self.usage.release("w0", run_id)  # noqa: E731
        before = lambda: self.usage.expire_holds(49.9)  # noqa: E731
        after = lambda: self.usage.expire_holds(50.0)  # noqa: E731
        table = (
            ("run", add, (remove, 0.0)),
            ("counted twice", add, add, (remove, 0.0), (remove, 0.0)),
            ("held", add, (hold, 2.0), (remove, 2.0), (before, 2.0), (after, 0.0)),
            ("held while it runs", add, (hold, 2.0), (after, 2.0), (remove, 0.0)),
            ("dropped, then held", add, (remove, 0.0), (hold, 2.0), (after, 0.0)),
            ("listed again", add, (hold, 2.0), (remove, 2.0), add, (after, 2.0)),
            ("ruled out", add, (hold, 2.0), (remove, 2.0), (release, 0.0)),
            ("ruled out while it runs", add, (hold, 2.0), (release, 2.0), (remove, 0)),
        )
        for name, *actions in table:
            with self.subTest(name):
                self.setUp()
                for number, (action, expected) in enumerate(actions):
                    action()
                    self.assertEqual(self.cores(), expected, number)

    def test_run_of_an_ended_job_counts_and_of_an_unknown_one_does_not(self):
        spec = self.state.job.steps[0]
        self.fixture.registry.end_job(self.state, "cancelled")
        self.usage.add(self.entry, self.run_ids[0], spec)
        self.assertEqual(self.cores(), 2.0)
        self.usage.add(self.entry, RunId(TaskId("unknown", 0, 0, 0), 1), spec)
        self.assertEqual(self.cores(), 2.0)

    # Guards against runs that count for nobody since they were started before the
    # configuration had workspaces.
    def test_counting_starts_with_the_runs_that_exist(self):
        usage = WorkspaceUsage(self.fixture.registry, lambda: None)
        capacity = WorkerCapacity(self.entry, usage)
        self.fixture.capacities = [capacity]
        self.fixture.usage = usage
        self.fixture.plan()
        self.assertEqual(usage.used("a"), ResourceAmounts())
        usage.start([(capacity.entry, capacity.runs.values())])
        self.assertEqual(usage.used("a"), ResourceAmounts(8000, 400, 0))
        for run_id in list(capacity.runs):
            capacity.remove(run_id)
        self.assertEqual(usage.used("a"), ResourceAmounts())

    # Guards against a new leader that starts work where a former one's may be running.
    def test_unpolled_workers_count_with_their_whole_capacity(self):
        entries = {
            "w0": worker_entry(0, 4),
            "w1": replace(worker_entry(1, 6), accelerators=2),
        }
        table = (
            ("none", set(), False, (0, 0, 0)),
            ("with an entry", {"w0"}, False, (4_000, 64_000, 0)),
            ("without an entry", {"w9"}, False, (6_000, 64_000, 2)),
            ("both", {"w0", "w9"}, False, (10_000, 128_000, 2)),
            ("best-effort tasks are known", {"w0"}, True, (12_000, 64_000, 0)),
        )
        for name, unpolled, has_best_effort, expected in table:
            with self.subTest(name):
                self.setUp()
                if has_best_effort:
                    self.fixture.add("b", step(uses_leftover=True))
                self.usage.set_unpolled(unpolled, entries)
                self.assertEqual(self.usage.unpolled, ResourceAmounts(*expected))
                remaining = self.usage.remaining("a")
                self.assertEqual(remaining.cores_milli, 10_000 - expected[0])
                self.assertEqual(remaining.memory_mb, UNLIMITED)


class CapTest(unittest.TestCase):
    # Guards against starts over the cap, by each resource and kind of step.
    def test_tasks_start_within_the_cap(self):
        gang = {"gang": True}
        best_effort = {"uses_leftover": True, "image": "i"}
        standing = {"standing": True, "image": "i"}
        table = (
            # name, cap, steps, tasks placed
            ("no cap", {}, [step(40, 1.0)], 40),
            ("cores", {"cores": 5}, [step(20, 2.0)], 2),
            ("memory", {"memory_mb": 1000}, [step(20, 1.0, 300)], 3),
            ("accelerators", {"accelerators": 5}, [step(9, 1.0, 100, 2)], 2),
            ("least of all", {"cores": 9, "accelerators": 1}, [step(9, 1, 9, 1)], 1),
            ("cap is used up exactly", {"cores": 6}, [step(9, 2.0)], 3),
            ("no use of the capped resource", {"accelerators": 1}, [step(9)], 9),
            ("whole gang", {"cores": 8}, [step(4, 2.0, **gang)], 4),
            ("gang waits as a whole", {"cores": 7}, [step(4, 2.0, **gang)], 0),
            ("best effort", {"cores": 5}, [step(9, 2.0, **best_effort)], 2),
            ("standing", {"cores": 5}, [step(9, 2.0, **standing)], 2),
            ("standing gang", {"cores": 5}, [step(3, 2, **gang, **standing)], 0),
            ("two steps", {"cores": 5}, [step(2, 1.0), step(9, 1.0)], 5),
            ("smaller one behind", {"cores": 5}, [step(1, 6.0), step(9, 1.0)], 5),
        )
        for name, cap, steps, expected in table:
            with self.subTest(name):
                fixture = WorkspaceFixture([workspace(**cap)])
                for spec in steps:
                    fixture.add("a", spec)
                self.assertEqual(len(fixture.plan()), expected)
                self.assertEqual(fixture.plan(), [])

    def test_cap_limits_no_other_workspace(self):
        fixture = WorkspaceFixture([workspace(cores=2), workspace("b")])
        for name in ("a", "b", "", "removed"):
            fixture.add(name, step(8))
        placed = fixture.plan()
        counts = {name: placed.count(name) for name in ("a", "b", "", "removed")}
        self.assertEqual(counts, {"a": 2, "b": 8, "": 8, "removed": 8})

    # Guards against starts over a lowered cap, and against room that stays unused.
    def test_changed_cap_applies_to_the_next_round(self):
        fixture = WorkspaceFixture([workspace(cores=6)])
        state = fixture.add("a", step(20))
        tasks = state.occurrences[0].steps[0].tasks
        self.assertEqual(len(fixture.plan()), 6)
        fixture.configure([workspace(cores=4)])
        for running in (5, 4):
            fixture.end(tasks[running])
            tasks[running].is_done = True
            state.occurrences[0].steps[0].refresh(tasks[running])
            self.assertEqual(fixture.plan(), [])
        fixture.configure([workspace(cores=9)])
        self.assertEqual(len(fixture.plan()), 5)
        fixture.configure([])
        self.assertEqual(len(fixture.plan()), 9)

    # Nothing at all starts over a lowered cap, not even a task that adds nothing to the
    # resource in question.
    def test_nothing_starts_over_a_lowered_cap(self):
        fixture = WorkspaceFixture([workspace(cores=4)])
        fixture.add("a", step(4))
        fixture.plan()
        fixture.configure([workspace(cores=3)])
        fixture.add("a", step(1, 0.0))
        self.assertEqual(fixture.plan(), [])

    def test_speculative_copy_counts(self):
        for cores, expected in ((2, 1), (1, 0)):
            with self.subTest(cores=cores):
                fixture = WorkspaceFixture([workspace(cores=cores)])
                fixture.add("a", step(speculative=True))
                fixture.plan()
                copies = fixture.planner.speculative_copies(
                    fixture.registry, fixture.capacities, NOW_S + 10.0
                )
                self.assertEqual(len(list(copies)), expected)

    def test_copies_of_one_round_count_one_by_one(self):
        fixture = WorkspaceFixture([workspace(cores=6)])
        fixture.add("a", step(4, speculative=True))
        fixture.plan()
        copies = 0
        for placement in fixture.planner.speculative_copies(
            fixture.registry, fixture.capacities, NOW_S + 10.0
        ):
            fixture.start(placement)
            copies += 1
        self.assertEqual(copies, 2)

    # Guards against a run that is stopped to go on elsewhere but could not start there.
    def test_run_moves_only_under_the_cap(self):
        for cores, expected in ((2, 1), (1.5, 0)):
            with self.subTest(cores=cores):
                fixture = WorkspaceFixture([workspace(cores=2)])
                spec = step(1, 2.0, uses_leftover=True, image="i", checkpoints=True)
                state = fixture.add("a", spec)
                fixture.plan()
                fixture.configure([workspace(cores=cores)])
                task = state.occurrences[0].steps[0].tasks[0]
                (run,) = task.runs.values()
                by_id = {c.entry.worker_id: c for c in fixture.capacities}
                moves = fixture.planner.tasks_to_move(
                    [(task, by_id[run.worker_id])], fixture.capacities, NOW_S
                )
                self.assertEqual(len(list(moves)), expected)

    def test_interrupted_standing_task_starts_within_the_cap(self):
        for cores, expected in ((3, 1), (2, 0)):
            with self.subTest(cores=cores):
                fixture = WorkspaceFixture([workspace(cores=3)])
                state = fixture.add("a", step(1, 3.0, standing=True, image="i"))
                fixture.plan()
                fixture.end(state.occurrences[0].steps[0].tasks[0])
                fixture.configure([workspace(cores=cores)])
                workers, fixture.capacities = fixture.capacities, []
                fixture.plan()
                fixture.capacities = workers
                placed = fixture.plan(NOW_S + INTERRUPTION_MAX_S)
                self.assertEqual(len(placed), expected)


class ObservabilityTest(unittest.TestCase):
    def events(self, fixture, times_s):
        events = []
        report = WorkspaceReport(FleetMetrics(), fixture.usage)

        def record(event, **fields):
            events.append((event, fields["workspace"]))

        with patch.object(_workspace_report, "log_event", record):
            for now_s in times_s:
                fixture.plan(now_s)
                report.log_waits(now_s)
        return events

    def test_waits_are_logged_once_a_second_for_each_workspace(self):
        fixture = WorkspaceFixture([workspace(cores=1), workspace("b", cores=1)])
        for name in ("a", "a", "b"):
            fixture.add(name, step(3))
        events = self.events(fixture, (NOW_S, NOW_S + 0.5, NOW_S + 1.0))
        waits = ("workspace.waits-at-cap", "a"), ("workspace.waits-at-cap", "b")
        self.assertEqual(sorted(events), sorted(2 * waits))

    # A job that can never start would be logged for ever, or not at all.
    def test_task_over_its_cap_is_logged_once(self):
        table = (
            ("task", [step(3, 2.0)], 1),
            ("gang", [step(2, 0.8, gang=True)], 1),
            ("two jobs", [step(1, 2.0), step(1, 3.0)], 2),
        )
        for name, steps, expected in table:
            with self.subTest(name):
                fixture = WorkspaceFixture([workspace(cores=1)])
                for spec in steps:
                    fixture.add("a", spec)
                events = self.events(fixture, (NOW_S, NOW_S + 1.0, NOW_S + 2.0))
                self.assertEqual(events, [("workspace.task-over-cap", "a")] * expected)

    def test_gauges(self):
        fixture = WorkspaceFixture([workspace(cores=8), workspace("b", weight=3.0)])
        fixture.add("a", step(4, 2.0))
        fixture.plan()
        metrics = FleetMetrics()
        report = WorkspaceReport(metrics, fixture.usage)

        def value(name, label):
            labels = {"workspace": label}
            return metrics.registry.get_sample_value(f"dogwoodlever_{name}", labels)

        def update(now_s):
            report.update(fixture.configuration, fixture.capacities, now_s)

        update(NOW_S)
        expected = (
            ("workspace_cores", 8.0, 0.0),
            ("workspace_cap_cores", 8.0, 0.0),
            ("workspace_share", 8 / 64, 0.0),
            ("workspace_weight_ratio", 0.25, 0.75),
        )
        for name, *values in expected:
            self.assertEqual([value(name, "a"), value(name, "b")], values, name)
        fixture.configure([workspace(cores=9)])
        update(NOW_S + 0.9)
        self.assertEqual(value("workspace_cap_cores", "a"), 8.0)
        update(NOW_S + 1.0)
        self.assertEqual(value("workspace_cap_cores", "a"), 9.0)
        # A workspace that was removed, and a daemon that no longer leads.
        self.assertIsNone(value("workspace_cores", "b"))
        report.close()
        self.assertIsNone(value("workspace_cores", "a"))


if __name__ == "__main__":
    unittest.main()
