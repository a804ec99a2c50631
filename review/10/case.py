"""The members of one run of a gang are started from different checkpoints.

A gang of three saves its progress. The worker of one member crashes; the others end
``broken`` and save what they have done. The next run of the gang has to be started
with one value by all its members.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import BROKEN, HELD, CaseError, Site, run_case  # noqa: E402

# One of eight workers is the largest share that crashes by the sheets, 0.14, cut down.
WORKERS = 8
DOWN_S = 4.5
MEMBERS = 3
WORK_MS = 6_800
# Before the crash, some time after a checkpoint.
CRASH_AFTER_S = 3.3


async def case(site: Site, has_trouble: bool) -> int:
    """Run the case; return its exit status."""
    await site.open()
    for number in range(WORKERS):
        await site.add_worker(f"w-{number}", f"zone-{number % 3}", ("a", "r1"))
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    step = {
        "count": MEMBERS,
        "cpu": 1_800,
        "mem_mb": 3_200,
        "est_runtime_ms": WORK_MS,
        "work_ms": WORK_MS,
        "gang": True,
        "max_per_server": 1,
        "saves_progress": True,
    }
    job_id = await site.submit([step])
    await asyncio.sleep(CRASH_AFTER_S)
    if has_trouble:
        worker = site.workers[site.starts[0][1]]
        worker.crash()
        asyncio.get_running_loop().call_later(
            DOWN_S, lambda: asyncio.ensure_future(worker.start())
        )
    state = await site.follow(job_id, 60.0)
    runs: dict[int, dict[str, str]] = {}
    for _, _, task, number, saved in site.starts:
        runs.setdefault(number, {})[task] = saved
    mixed = {}
    for number, saved in runs.items():
        site.record.write(f"gang run {number}: last_checkpoint {saved}")
        if len(set(saved.values())) > 1:
            mixed[number] = saved
    print(f"job {job_id}: {state}; runs {runs}")
    if mixed:
        return BROKEN
    if state == "completed":
        return HELD
    raise CaseError(f"the job is {state}")


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
