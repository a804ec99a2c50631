"""One job that can never be done stops the leaders, and no other job runs any more.

The job is scheduled twice a second, its first time was an hour ago, and its tasks are
larger than any worker. Once it has waited for ten seconds, each leader in turn needs
longer for one planning round than its lease lasts.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import BROKEN, HELD, CaseError, Site, run_case  # noqa: E402

WORKERS = 6
WORKER_CPU = 16_000
HOUR_MS = 3_600_000
INTERVAL_MS = 500
TRAFFIC_S = 30.0
# From the sheets: jobs are asked for this long after the traffic, and none may have
# nothing running for this long.
FINISH_S = 14.0
IDLE_S = 3.0
ANSWER_S = 3.0


def small_step(cpu: int = 1_000) -> dict:
    """Return the step of a small job."""
    return {
        "count": 1,
        "cpu": cpu,
        "mem_mb": 2_000,
        "est_runtime_ms": 800,
        "work_ms": 800,
    }


async def submit_small(site: Site, jobs: list[str]) -> None:
    """Submit a small job, which may not be accepted."""
    try:
        jobs.append(await site.submit([small_step()]))
    except CaseError as error:
        site.record.write(str(error))


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
    jobs: list[str] = []
    submissions = []
    for _ in range(int(TRAFFIC_S)):
        submissions.append(asyncio.create_task(submit_small(site, jobs)))
        await asyncio.sleep(1.0)
    site.record.write(f"end of the traffic, {len(jobs)} small jobs accepted")
    await asyncio.sleep(FINISH_S)
    accepted = list(jobs)
    before = len(site.starts)
    done = {task.partition(".")[0] for _, _, task, _, how in site.ends if how == "done"}
    idle = [
        job_id
        for job_id in accepted
        if job_id not in done and not site.has_runs(job_id)
    ]
    site.record.write(f"{FINISH_S} s later, with nothing running: {len(idle)} jobs")
    await asyncio.sleep(IDLE_S)
    started = {task.partition(".")[0] for _, _, task, _, _ in site.starts[before:]}
    idle = [job_id for job_id in idle if job_id not in started]
    used = sum(len(worker.running) for worker in site.workers.values())
    site.record.write(f"{IDLE_S} s later still: {len(idle)} jobs; {used} tasks run")
    states = await asyncio.gather(*map(site.state, accepted))
    unanswered = [state for state in states if state.startswith("status")]
    site.record.write(f"states: {sorted(states)}")
    print(
        f"{len(accepted)} small jobs accepted, {len(idle)} idle for {IDLE_S} s, "
        f"{len(unanswered)} of their states not answered in {ANSWER_S} s"
    )
    for submission in submissions:
        submission.cancel()
    if len(accepted) < TRAFFIC_S / 3:
        raise CaseError("too few jobs were accepted")
    return BROKEN if idle or unanswered else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
