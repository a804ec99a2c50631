import unittest

from dogwoodlever._node import DAEMON_CHART
from dogwoodlever.batch import TASK_CHART
from tests.checkers import find_violations
from tests.faults import FAULTS
from tests.injection_points import DAEMON_POINTS, INJECTION_POINTS, TASK_POINTS
from tests.site_simulation import SiteSimulation

TASKS = 16
RUN_S = 3.0
FINISH_TIMEOUT_S = 60.0
SETTLE_S = 2.0
PAIR_GAP_S = 1.5
RUNNING = next(step for step in INJECTION_POINTS if step.name == "running")


def run_row(step, fault):
    """Bring a world to a step, inject the fault, heal it; return what failed."""
    world = SiteSimulation()
    world.submit("job", TASKS, RUN_S)
    world.submit("standing", 1, 1000.0, standing=True)
    if not step.reach(world):
        return ["the step was not reached"]
    actor = step.actor(world) or "d2"
    fault.inject(world, actor)
    world.run(fault.lasts_s)
    fault.heal(world, actor)
    return judge(world, step.finishes)


def judge(world, finishes):
    """Let a healed world finish; return what failed."""
    done = world.run_until(lambda: world.archived("job") is not None, FINISH_TIMEOUT_S)
    world.run(SETTLE_S)
    found = find_violations(world.record())
    if not done:
        found.append(f"the job did not end: {world.cell_state()}")
    elif finishes and world.archived("job") != {"finished": TASKS}:
        found.append(f"the job ended as {world.archived('job')}")
    if not world.answers():
        found.append("requests are not answered after the fault")
    return found


def run_pair(first, second):
    """Inject two faults at a running task, the second during the first."""
    world = SiteSimulation()
    world.submit("job", TASKS, RUN_S)
    world.submit("standing", 1, 1000.0, standing=True)
    if not RUNNING.reach(world):
        return ["the step was not reached"]
    actor = RUNNING.actor(world)
    other = actor if first is second else next(n for n in ["d1", "d2"] if n != actor)
    first.inject(world, actor)
    world.run(PAIR_GAP_S)
    second.inject(world, other)
    world.run(max(first.lasts_s, second.lasts_s))
    first.heal(world, actor)
    world.run(PAIR_GAP_S)
    if first is second:
        first.inject(world, actor)
        world.run(first.lasts_s)
        first.heal(world, actor)
    else:
        second.heal(world, other)
    return judge(world, True)


class FaultMatrixTest(unittest.TestCase):
    def test_every_state_of_the_charts_has_a_step(self):
        self.assertEqual({s.name for s in TASK_POINTS}, set(TASK_CHART.states))
        self.assertEqual({s.name for s in DAEMON_POINTS}, set(DAEMON_CHART.states))


def _add_test(fault):
    def test(self):
        for step in INJECTION_POINTS:
            with self.subTest(f"{step.path} {step.name}: {fault.name}"):
                self.assertEqual(run_row(step, fault), [])

    name = fault.name.replace(" ", "_").lower()
    setattr(FaultMatrixTest, f"test_{name}", test)


class FaultPairsTest(unittest.TestCase):
    pass


def _add_pairs(first):
    def test(self):
        for second in FAULTS:
            with self.subTest(f"{first.name}, then {second.name}"):
                self.assertEqual(run_pair(first, second), [])

    name = first.name.replace(" ", "_").lower()
    setattr(FaultPairsTest, f"test_{name}_and_another", test)


for _fault in FAULTS:
    _add_test(_fault)
    _add_pairs(_fault)
