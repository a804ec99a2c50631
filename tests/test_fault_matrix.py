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
RUNNING_POINT = next(point for point in INJECTION_POINTS if point.name == "running")


def run_case(point, fault):
    """Inject a fault at a point and heal it; return the violations found."""
    simulation = SiteSimulation()
    simulation.submit("job", TASKS, RUN_S)
    simulation.submit("standing", 1, 1000.0, standing=True)
    if not point.reach(simulation):
        return ["the injection point was not reached"]
    target = point.find_target(simulation) or "d2"
    fault.inject(simulation, target)
    simulation.run(fault.duration_s)
    fault.heal(simulation, target)
    return finish_and_check(simulation, point.job_finishes)


def finish_and_check(simulation, job_finishes):
    """Let the job finish after healing; return the violations found."""
    is_archived = simulation.run_until(
        lambda: simulation.archived("job") is not None, FINISH_TIMEOUT_S
    )
    simulation.run(SETTLE_S)
    violations = find_violations(simulation.record())
    if not is_archived:
        violations.append(f"the job was not archived: {simulation.cell_state()}")
    elif job_finishes and simulation.archived("job") != {"finished": TASKS}:
        violations.append(f"the job ended as {simulation.archived('job')}")
    if not simulation.is_answering():
        violations.append("no request was answered after the fault")
    return violations


def run_pair(first, second):
    """Inject a second fault during the first, while a task is running.

    If both are the same fault, it is injected twice at one daemon, healed, and then
    injected and healed once more.
    """
    simulation = SiteSimulation()
    simulation.submit("job", TASKS, RUN_S)
    simulation.submit("standing", 1, 1000.0, standing=True)
    if not RUNNING_POINT.reach(simulation):
        return ["the injection point was not reached"]
    target = RUNNING_POINT.find_target(simulation)
    second_target = (
        target if first is second else next(n for n in ["d1", "d2"] if n != target)
    )
    first.inject(simulation, target)
    simulation.run(PAIR_GAP_S)
    second.inject(simulation, second_target)
    simulation.run(max(first.duration_s, second.duration_s))
    first.heal(simulation, target)
    simulation.run(PAIR_GAP_S)
    if first is second:
        first.inject(simulation, target)
        simulation.run(first.duration_s)
        first.heal(simulation, target)
    else:
        second.heal(simulation, second_target)
    return finish_and_check(simulation, True)


class FaultMatrixTest(unittest.TestCase):
    def test_every_chart_state_is_an_injection_point(self):
        self.assertEqual({p.name for p in TASK_POINTS}, set(TASK_CHART.states))
        self.assertEqual({p.name for p in DAEMON_POINTS}, set(DAEMON_CHART.states))


def _add_test(fault):
    def test(self):
        for point in INJECTION_POINTS:
            with self.subTest(f"{point.subject} {point.name}: {fault.name}"):
                self.assertEqual(run_case(point, fault), [])

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
