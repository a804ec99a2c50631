"""Five jobs of 1,000 steps that may run side by side stop the leaders.

All of their tasks fit the workers. Each leader in turn needs longer for one planning
round than its lease lasts, and nothing runs any more.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import Site, judge_small_jobs, run_case, small_step  # noqa: E402

WORKERS = 6
JOBS = 5
STEPS = 1_000


async def case(site: Site, has_trouble: bool) -> int:
    """Run the case; return its exit status."""
    await site.open()
    for number in range(WORKERS):
        await site.add_worker(f"w-{number}", f"zone-{number % 3}", ("a", "r1"))
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    # Without the disruption the jobs are of the usual size.
    steps = [small_step() for _ in range(STEPS if has_trouble else 5)]
    await asyncio.gather(*(site.submit(steps) for _ in range(JOBS)))
    return await judge_small_jobs(site)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
