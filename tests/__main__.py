"""Test command: ``python -m tests [NAME ...]``.

Runs every test, prints the faults that ``KNOWN-RED.txt`` lists, and ends
with a line ``N passed, N failed``. A listed test that fails does not make the
command fail; one that passes does, so that the list stays true.
"""

import sys
import unittest
from pathlib import Path

from absl import logging

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the listed tests by id, with what the list says of each."""
    entries = {}
    if KNOWN_RED.exists():
        for line in KNOWN_RED.read_text().splitlines():
            if line.strip() and not line.startswith("#"):
                name, _, note = line.partition(" | ")
                entries[name.strip()] = note.strip()
    return entries


def load(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all of them."""
    loader = unittest.defaultTestLoader
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))


def main() -> int:
    """Run tests; return the exit status."""
    logging.set_verbosity(logging.ERROR)
    result = unittest.TextTestRunner(verbosity=1).run(load(sys.argv[1:]))
    # A failed row of a table is reported apart; it counts for its test.
    failed = {
        getattr(test, "test_case", test).id()
        for test, _ in [*result.failures, *result.errors]
    }
    listed = known_red()
    for name in sorted(set(listed) & failed):
        print(f"known red: {name}: {listed[name]}")
    unexpected = failed - set(listed)
    mended = set(listed) - failed if len(sys.argv) == 1 else set()
    for name in sorted(mended):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = result.testsRun - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed, {len(result.skipped)} skipped")
    return 1 if unexpected or mended or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
