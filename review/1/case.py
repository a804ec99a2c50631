"""A leader on a small machine can't read the stored jobs, and nothing runs any more."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Site, now_s, run_case

RUNNERS = 12
# The sheet's mean sizes of two kinds of request, in turn, and its jobs a second.
SPEC_BYTES = (1200, 500)
JOBS = 480
JOBS_PER_S = 14.0
# The longest `node_kill` with `power` on the site.
DARK_S = 3.5
FINISH_S = 14.0
NOTHING_RUNNING_S = 3.0
STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 300}


def size_daemon(daemon, port) -> None:
    """Make the first machine a large one, and the others small."""
    if daemon.name == "front-0":
        daemon.cpu_share, daemon.cores, daemon.link_mbps = 0.717, 3, 100.0
    else:
        daemon.cpu_share, daemon.cores, daemon.link_mbps = 0.297, 1, 5.0
    port.bytes_per_s = daemon.link_mbps * 1e6 / 8


async def play(site: Site) -> list[str]:
    """Take the power of the large machine, which leads, for some seconds."""
    site.plan_run = lambda _task, _number, _spec: (0.3, "done")
    site.size_daemon = size_daemon
    await site.open(daemons=4, runners=RUNNERS)
    await asyncio.sleep(2)
    accepted: list[str] = []

    async def submit(daemon: str) -> None:
        spec = "x" * SPEC_BYTES[len(site.jobs) % 2]
        job, status = await site.submit([STEP], daemon, spec=spec)
        if status == 200:
            accepted.append(job)

    calls = []
    for number in range(JOBS):
        calls.append(asyncio.create_task(submit(f"front-{number % 4}")))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*calls)
    first = site.daemons["front-0"]
    site.record.add("leader", daemon=site.leader())
    if site.trouble:
        first.signal(signal.SIGKILL)
        await first.process.wait()
        restarting = asyncio.create_task(_restart(first))
    calls = []
    for number in range(30):
        calls.append(asyncio.create_task(submit(f"front-{1 + number % 3}")))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*calls)
    if site.trouble:
        await restarting
    await asyncio.sleep(FINISH_S - NOTHING_RUNNING_S)
    site.record.add("leader", daemon=site.leader())
    busiest = 0
    until_s = now_s() + NOTHING_RUNNING_S
    while now_s() < until_s:
        busiest = max(busiest, sum(len(r.life.runs) for r in site.runners.values()))
        await asyncio.sleep(0.1)
    done = {end[1].partition(".")[0] for end in site.ends if end[3] == "done"}
    stuck = [job for job in accepted if job not in done]
    site.record.add("jobs", accepted=len(accepted), stuck=len(stuck), most=busiest)
    if stuck and not busiest:
        return [
            f"LOST: {len(stuck)} accepted jobs had nothing running for"
            f" {NOTHING_RUNNING_S} s up to {FINISH_S} s after the traffic, on idle"
            " runners"
        ]
    return []


async def _restart(daemon) -> None:
    await asyncio.sleep(DARK_S)
    await daemon.start()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
