"""Jobs of a queue with advice after a burst: the tickets arrive too late for ever."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import ROUTE, Advice, Site, now_s, run_case

# One call on 30 runners takes 0.12 s; the answer's `valid_ms` is that of the pages.
DECISION_MS, PERIOD_MS, VALID_MS = 60, 2, 3000
RUNNERS = 33
JOBS_PER_S = 6.0
# The burst of the site file: 2.6 times the traffic for 4 s.
BURST_X, BURST_FROM_S, BURST_S = 2.6, 3.0, 4.0
TRAFFIC_S = 12.0
FINISH_S = 14.0
NOTHING_RUNNING_S = 3.0
STEPS = [{"count": 4, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 400}]


async def play(site: Site) -> list[str]:
    """Submit jobs at a rate, with a burst, and wait for them after the traffic."""
    site.plan_run = lambda _task, _number, _spec: (0.4, "done")
    site.advice = Advice(DECISION_MS, PERIOD_MS, VALID_MS)
    site.configure({ROUTE: site.advice.route()})
    await site.open(daemons=3, runners=RUNNERS)
    await asyncio.sleep(2)
    began_s = now_s()
    accepted: list[str] = []

    async def submit(number: int) -> None:
        daemon = f"front-{number % 3}"
        job, status = await site.submit(STEPS, daemon)
        if 200 <= status < 300:
            accepted.append(job)

    calls = []
    while now_s() - began_s < TRAFFIC_S:
        at_s = now_s() - began_s
        is_burst = site.trouble and 0 <= at_s - BURST_FROM_S < BURST_S
        calls.append(asyncio.create_task(submit(len(calls))))
        await asyncio.sleep(1 / (JOBS_PER_S * (BURST_X if is_burst else 1)))
    await asyncio.gather(*calls)
    await asyncio.sleep(FINISH_S - NOTHING_RUNNING_S)
    starts = len(site.starts)
    busiest = 0
    until_s = now_s() + NOTHING_RUNNING_S
    while now_s() < until_s:
        busiest = max(busiest, sum(len(r.life.runs) for r in site.runners.values()))
        await asyncio.sleep(0.1)
    site.record.add(
        "last seconds", starts=len(site.starts) - starts, running_most=busiest,
        advice_answered=site.advice.answered, advice_refused=site.advice.refused,
    )  # fmt: skip
    stuck = []
    for job in accepted:
        if await site.state(job) not in ("completed",):
            running = any(
                name.startswith(job)
                for runner in site.runners.values()
                for name in runner.life.runs
            )
            if not running:
                stuck.append(job)
    site.record.add("jobs", accepted=len(accepted), stuck=len(stuck))
    if stuck and not busiest:
        return [
            f"LOST: {len(stuck)} of {len(accepted)} accepted jobs had nothing running"
            f" for {NOTHING_RUNNING_S} s up to {FINISH_S} s after the traffic, on idle"
            " runners"
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
