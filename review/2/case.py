"""A gang runs twice after a planned restart of the leader beside a silent runner."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import SILENT, Site, now_s, run_case

RUNNERS = 12
# One runner of twelve; the site file has `hang` for a tenth of them and 6.5 s.
HANGS_S = 6.5
# The longest work of a task on the sheet.
WORK_S = 6.8
SIGTERM_AFTER_S = 0.2
WATCHED_S = 15.0
GANG = {
    "count": 4, "cpu": 2000, "mem_mb": 256, "est_runtime_ms": 6800, "gang": True,
}  # fmt: skip


async def play(site: Site) -> list[str]:
    """Restart the leader while the gang's runner leaves all calls unanswered."""
    site.plan_run = lambda _task, _number, _spec: (WORK_S, "done")
    await site.open(daemons=3, runners=RUNNERS)
    await asyncio.sleep(2)
    gang, status = await site.submit([GANG])
    if status != 200:
        raise RuntimeError(f"the job wasn't accepted: {status}")
    await asyncio.sleep(0.5)
    places = {start[3] for start in site.starts}
    if len(places) != 1:
        raise RuntimeError(f"the gang runs on {places}")
    runner = site.runners[places.pop()]
    leader = site.leader()
    began_s = now_s()
    if site.trouble:

        def hang(_path, _document):
            return SILENT if now_s() - began_s < HANGS_S else None

        runner.intercept = hang
        site.record.add("runner.hangs", runner=runner.name, for_s=HANGS_S)
    await asyncio.sleep(SIGTERM_AFTER_S)
    daemon = site.daemons[leader]
    daemon.signal(signal.SIGTERM)
    restarting = asyncio.create_task(_restart(daemon))
    most: dict[str, list[str]] = {}
    while now_s() - began_s < WATCHED_S:
        running: dict[str, list[str]] = {}
        for other in site.runners.values():
            for run in other.life.runs.values():
                running.setdefault(run.task, []).append(f"{other.name} run {run.run}")
        for task, runs in running.items():
            if len(runs) > 1 and task not in most:
                most[task] = runs
                site.record.add("runs at one time", task=task, runs=runs)
        await asyncio.sleep(0.02)
    await restarting
    if most:
        task, runs = sorted(most.items())[0]
        return [f"TWICE: {len(most)} tasks ran twice at one time: {task} on {runs}"]
    return []


async def _restart(daemon) -> None:
    """Start a process again after it has ended, as the platform does."""
    await daemon.process.wait()
    await asyncio.sleep(0.5)
    await daemon.start()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
