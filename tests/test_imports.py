import ast
import re
import unittest
from graphlib import TopologicalSorter
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "dogwoodlever"
# Decision logic without I/O: events and the time in, effects out.
DECISION_MODULES = (
    "_cell",
    "_dispatcher",
    "_fault_attribution",
    "_run_registry",
    "_fleet_headroom",
    "_interference_model",
    "_fleet_job",
    "_scheduling_order",
    "_run_throttler",
    "_fleet_planner",
    "_preemption",
    "_worker_capacity",
    "_fleet_types",
    "_interference_controller",
    "_cell_state",
    "_members",
    "_order_builder",
    "_placement",
    "_quota",
    "_slot_pool",
    "_eviction_planner",
    "_shares",
    "_slowdown",
    "_task_queue",
    "_membership_lease",
)


def imports(file):
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


def graph():
    files = {f"dogwoodlever.{file.stem}": file for file in PACKAGE.glob("*.py")}
    for file in (PACKAGE / "platform").glob("_[a-z]*.py"):
        files[f"dogwoodlever.platform.{file.stem}"] = file
    return {name: imports(file) & set(files) for name, file in files.items()}


class ImportsTest(unittest.TestCase):
    def test_imports_have_no_cycle(self):
        self.assertTrue(list(TopologicalSorter(graph()).static_order()))

    def test_platform_names_occur_only_in_its_adapter(self):
        names = re.compile(
            r"/-/[a-z]|\"(fencing_token|last_seen|until_ms|saves_progress"
            r"|max_per_server|est_runtime_ms)\"|op/(config|evacuate|wave)"
        )
        for file in PACKAGE.glob("*.py"):
            with self.subTest(file.name):
                self.assertIsNone(names.search(file.read_text()))

    def test_package_imports_neither_stand_ins_nor_tests(self):
        for file in PACKAGE.glob("*.py"):
            roots = {name.partition(".")[0] for name in imports(file)}
            self.assertFalse(roots & {"standins", "tests", "benchmarks", "examples"})

    def test_decision_modules_import_no_transport(self):
        edges = graph()
        interfaces = "dogwoodlever._interfaces"
        for name in DECISION_MODULES:
            with self.subTest(name):
                self.assertFalse(
                    {i for i in imports(PACKAGE / f"{name}.py") if "twisted" in i}
                )
                imported = edges[f"dogwoodlever.{name}"] - {interfaces}
                for module in imported:
                    file = PACKAGE / f"{module.partition('.')[2]}.py"
                    self.assertFalse(
                        {i for i in imports(file) if i.startswith("twisted")}, module
                    )
