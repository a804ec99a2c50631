"""Guards the test command: which tests run beside others and which run alone."""

import sys
import types
import unittest

from tests.__main__ import runs_alone


class RunsAloneTest(unittest.TestCase):
    """`RUNS_ALONE` of a module."""

    def test_declaration_of_the_module_decides(self) -> None:
        for name, fields, expected in (
            ("tests.declared", {"RUNS_ALONE": True}, True),
            ("tests.denied", {"RUNS_ALONE": False}, False),
            ("tests.silent", {}, False),
        ):
            with self.subTest(name):
                module = types.ModuleType(name)
                vars(module).update(fields)
                sys.modules[name] = module
                self.addCleanup(sys.modules.pop, name)
                self.assertEqual(runs_alone(f"{name}.SomeTest.test_it"), expected)

    def test_module_that_cannot_be_imported(self) -> None:
        self.assertFalse(runs_alone("unittest.loader._FailedTest.absent"))


if __name__ == "__main__":
    unittest.main()
