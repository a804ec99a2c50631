"""A job whose tasks fill waits ten seconds before each of its steps, with room free.

Other tasks that fill run on all workers. A job of four short steps that fill comes
last. Nothing of it runs for up to ten seconds before each step, though its tasks need
little memory and their cpu is not counted.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import (  # noqa: E402
    BROKEN,
    FINISH_S,
    HELD,
    IDLE_S,
    CaseError,
    Site,
    run_case,
)

WORKERS = 3
LOAD_JOBS = 6
LOAD_TASKS = 8
LOAD_MS = 60_000
# From the last of them to the job that waits.
LOAD_S = 2.0
STEPS = 4
STEP_MS = 1_000
STEP_S = 0.05


def filling_step(count: int, work_ms: int, **fields) -> dict:
    """Return a step whose tasks fill."""
    return {
        "count": count,
        "cpu": 3_000,
        "mem_mb": 1_000,
        "est_runtime_ms": work_ms,
        "work_ms": work_ms,
        "fills": True,
        "image": "image-1",
    } | fields


def has_room_twice(site: Site, step: dict) -> bool:
    """Return whether a task fits twice over, and under half of the room is in use."""
    workers = list(site.workers.values())
    used = [worker.used() for worker in workers]
    cpu, mem_mb = sum(row[0] for row in used), sum(row[1] for row in used)
    is_half_free = (
        cpu < sum(worker.cpu for worker in workers) / 2
        and mem_mb < sum(worker.mem_mb for worker in workers) / 2
    )
    return is_half_free and any(worker.has_room(step, times=2) for worker in workers)


async def case(site: Site, has_trouble: bool) -> int:
    """Run the case; return its exit status."""
    await site.open()
    for number in range(WORKERS):
        await site.add_worker(f"w-{number}", f"zone-{number % 3}", ("a", "r1"))
    await site.wait_until_ready()
    await asyncio.sleep(3.0)
    if has_trouble:
        for _ in range(LOAD_JOBS):
            await site.submit([filling_step(LOAD_TASKS, LOAD_MS)])
        await asyncio.sleep(LOAD_S)
    chain = [filling_step(1, STEP_MS)]
    chain += [filling_step(1, STEP_MS, after=[number]) for number in range(STEPS - 1)]
    job_id = await site.submit(chain)
    await asyncio.sleep(FINISH_S)
    idle_since_s = watched_s = site.record.now_s()
    longest_s = 0.0
    while site.record.now_s() - watched_s < 2 * FINISH_S:
        done = [row for row in site.ends if row[2].startswith(job_id)]
        is_idle = len(done) < STEPS and not site.has_runs(job_id)
        if not (is_idle and has_room_twice(site, chain[0])):
            idle_since_s = site.record.now_s()
        longest_s = max(longest_s, site.record.now_s() - idle_since_s)
        await asyncio.sleep(STEP_S)
    state = await site.state(job_id)
    starts = [f"{row[0]:.1f}" for row in site.starts if row[2].startswith(job_id)]
    cpu = sum(worker.used()[0] for worker in site.workers.values())
    text = (
        f"job {job_id} {state}: nothing running for {longest_s:.1f} s at a time; its "
        f"tasks started at {', '.join(starts)} s; cpu in use but for what fills {cpu}"
    )
    site.record.write(text)
    print(text)
    if not starts and not has_trouble:
        raise CaseError("the job has not started")
    return BROKEN if longest_s >= IDLE_S else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
