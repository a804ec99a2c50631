"""A gang that has more members than the leader starts in one round."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Site, now_s, run_case

RUNNERS = 12
USUAL, LARGE = 20, 72
WATCHED_S = 45.0
# A disruption counts as near for `contact_ms`.
CONTACT_S = 4.0


def _gang(count: int) -> dict:
    return {
        "count": count, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 2000, "gang": True,
    }  # fmt: skip


async def play(site: Site) -> list[str]:
    """Submit gangs of the usual size, and with trouble a large one."""
    site.plan_run = lambda _task, _number, _spec: (2.0, "done")
    await site.open(daemons=3, runners=RUNNERS)
    await asyncio.sleep(2)
    jobs = []
    for number in range(3):
        jobs.append(await site.submit([_gang(USUAL)], f"front-{number}"))
        await asyncio.sleep(0.5)
    came_s = now_s()
    if site.trouble:
        jobs.append(await site.submit([_gang(LARGE)]))
    if any(status != 200 for _, status in jobs):
        raise RuntimeError("a job wasn't accepted")
    await asyncio.sleep(WATCHED_S)
    states = [await site.state(job) for job, _ in jobs]
    alone = [
        end for end in site.ends
        if end[3] == "alone" and end[0] - came_s > 2 * CONTACT_S
    ]  # fmt: skip
    site.record.add("gangs", states=states, alone=len(alone))
    if alone:
        return [
            f"GANG: {len(alone)} runs ended alone in {WATCHED_S} s, the states are "
            + ", ".join(states)
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
