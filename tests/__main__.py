"""Test command: ``python -m tests [NAME ...]``.

Runs every test, spread over the processors, prints the faults that
``KNOWN-RED.txt`` lists, and ends with a line ``N passed, N failed``. A listed
test that fails does not make the command fail; one that passes does, so that
the list stays true.
"""

import io
import os
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import logging

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PROCESSES_MAX = 8


def known_red() -> dict[str, str]:
    """Return the listed tests by id, with what the list says of each."""
    entries = {}
    if KNOWN_RED.exists():
        for line in KNOWN_RED.read_text().splitlines():
            if line.strip() and not line.startswith("#"):
                name, _, note = line.partition(" | ")
                entries[name.strip()] = note.strip()
    return entries


def find_ids(names: list[str]) -> list[str]:
    """Return the ids of the named tests, or of all of them."""
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    return sorted({test.id() for test in _flatten(suite)})


def _flatten(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


def run_one(test_id: str) -> tuple[str, bool, int, str]:
    """Run one test; return its id, success, skips and report."""
    logging.set_verbosity(logging.FATAL)
    report = io.StringIO()
    suite = unittest.defaultTestLoader.loadTestsFromName(test_id)
    result = unittest.TextTestRunner(report, verbosity=0).run(suite)
    return test_id, result.wasSuccessful(), len(result.skipped), report.getvalue()


def main() -> int:
    """Run tests; return the exit status."""
    ids = find_ids(sys.argv[1:])
    failed, skipped = set(), 0
    with ProcessPoolExecutor(min(PROCESSES_MAX, os.cpu_count() or 1)) as pool:
        for test_id, succeeded, skips, report in pool.map(run_one, ids):
            skipped += skips
            print(f"{'ok' if succeeded else 'FAIL':<5}{test_id}", flush=True)
            if not succeeded:
                failed.add(test_id)
                print(report)
    listed = known_red()
    for name in sorted(set(listed) & failed):
        print(f"known red: {name}: {listed[name]}")
    unexpected = failed - set(listed)
    mended = set(listed) - failed if len(sys.argv) == 1 else set()
    for name in sorted(mended):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = len(ids) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or mended or not ids else 0


if __name__ == "__main__":
    sys.exit(main())
