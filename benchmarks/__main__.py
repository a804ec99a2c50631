"""Run the benchmarks: ``python -m benchmarks [NAME ...]``."""

import sys
import time

from absl import logging

from benchmarks import (
    batch,
    colocation,
    configuration,
    gangs,
    planning,
    processes,
    routing,
    takeover,
)

BENCHMARKS = {
    "routing": routing.main,
    "batch": batch.main,
    "colocation": colocation.main,
    "configuration": configuration.main,
    "gangs": gangs.main,
    "planning": planning.main,
    "processes": processes.main,
    "takeover": takeover.main,
}


def main() -> int:
    """Run the named benchmarks, or all of them; return the exit status."""
    logging.set_verbosity(logging.FATAL)
    names = sys.argv[1:] or list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        known = ", ".join(BENCHMARKS)
        print(f"unknown benchmark: {', '.join(unknown)} (available: {known})")
        return 2
    for name in names:
        started_s = time.monotonic()
        BENCHMARKS[name]()
        print(f"{name}.measured_in_s: {time.monotonic() - started_s:.0f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
