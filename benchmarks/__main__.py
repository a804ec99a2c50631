"""All measurements: ``python -m benchmarks [NAME ...]``."""

import sys
import time

from absl import logging

from benchmarks import batch, colocation, configuration, processes, routing

MEASUREMENTS = {
    "routing": routing.main,
    "batch": batch.main,
    "colocation": colocation.main,
    "configuration": configuration.main,
    "processes": processes.main,
}


def main() -> int:
    """Run the named measurements, or all; return the exit status."""
    logging.set_verbosity(logging.FATAL)
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ", ".join(MEASUREMENTS)
        print(f"no measurement {', '.join(unknown)}; known are {known}")
        return 2
    for name in names:
        started_s = time.monotonic()
        MEASUREMENTS[name]()
        print(f"{name}.measured_in_s: {time.monotonic() - started_s:.0f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
