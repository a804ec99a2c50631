"""Test command: ``python -m tests [NAME ...]``.

Runs all tests, or the named ones, in parallel processes and ends with a line ``N
passed, N failed, N skipped``. Tests listed in ``KNOWN-RED.txt`` may fail; they are
printed with their notes. If all tests are run, a listed test that passes makes the
command fail, so that the list stays up to date.

Tests of modules that declare ``RUNS_ALONE = True`` run after all others, one at a time
and with no other test beside them.
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


def read_known_failures() -> dict[str, str]:
    """Return the notes of ``KNOWN-RED.txt`` by test id."""
    entries = {}
    if KNOWN_RED.exists():
        for line in KNOWN_RED.read_text().splitlines():
            if line.strip() and not line.startswith("#"):
                name, _, note = line.partition(" | ")
                entries[name.strip()] = note.strip()
    return entries


def find_ids(names: list[str]) -> list[str]:
    """Return the ids of the named tests, or of all tests."""
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


def runs_alone(test_id: str) -> bool:
    """Return whether the module of a test declares that its tests run alone."""
    module = sys.modules.get(test_id.rsplit(".", 2)[0])
    return getattr(module, "RUNS_ALONE", False)


def run_tests(ids: list[str]):
    """Yield the result of each test; tests that run alone come last."""
    beside = [test_id for test_id in ids if not runs_alone(test_id)]
    with ProcessPoolExecutor(min(PROCESSES_MAX, os.cpu_count() or 1)) as pool:
        yield from pool.map(run_test, beside)
    with ProcessPoolExecutor(1) as pool:
        yield from pool.map(run_test, [i for i in ids if runs_alone(i)])


def run_test(test_id: str) -> tuple[str, bool, int, str]:
    """Run one test; return its id, success, number of skips and report."""
    logging.set_verbosity(logging.FATAL)
    report = io.StringIO()
    suite = unittest.defaultTestLoader.loadTestsFromName(test_id)
    result = unittest.TextTestRunner(report, verbosity=0).run(suite)
    return test_id, result.wasSuccessful(), len(result.skipped), report.getvalue()


def main() -> int:
    """Run the tests; return the exit status."""
    ids = find_ids(sys.argv[1:])
    failed, skipped = set(), 0
    for test_id, succeeded, skips, report in run_tests(ids):
        skipped += skips
        print(f"{'ok' if succeeded else 'FAIL':<5}{test_id}", flush=True)
        if not succeeded:
            failed.add(test_id)
            print(report)
    known_failures = read_known_failures()
    for name in sorted(set(known_failures) & failed):
        print(f"known red: {name}: {known_failures[name]}")
    unexpected = failed - set(known_failures)
    fixed = set(known_failures) - failed if len(sys.argv) == 1 else set()
    for name in sorted(fixed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = len(ids) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or fixed or not ids else 0


if __name__ == "__main__":
    sys.exit(main())
