"""One job that can never be done stops the leaders, and no other job runs any more.

The job is scheduled four times a second, its first time was an hour ago, and its tasks
are larger than any worker. Once it has waited for ten seconds, each leader in turn
needs longer for one planning round than its lease lasts.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import Site, judge_small_jobs, run_case, small_step  # noqa: E402

WORKERS = 6
WORKER_CPU = 16_000
HOUR_MS = 3_600_000
INTERVAL_MS = 250


async def case(site: Site, has_trouble: bool) -> int:
    """Run the case; return its exit status."""
    await site.open()
    for number in range(WORKERS):
        zone = f"zone-{number % 3}"
        await site.add_worker(f"w-{number}", zone, ("a", "r1"), WORKER_CPU)
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    if has_trouble:
        await site.submit(
            [small_step(cpu=WORKER_CPU + 4_000)],
            repeat_count=HOUR_MS // INTERVAL_MS,
            first_run_ms=int(time.time() * 1000) - HOUR_MS,
            interval_ms=INTERVAL_MS,
        )
    return await judge_small_jobs(site)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
