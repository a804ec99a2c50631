"""Time to start a gang, and of the work behind it, by the number of its members.

A leader that is a real process starts a gang on idle workers, and a job of single tasks
that was submitted right after it. The workers are stand-ins in one process, whose time
is included.
"""

import tempfile
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from benchmarks.takeover import QUEUE, Takeover
from dogwoodlever._fleet_records import encode, job_key
from dogwoodlever._fleet_types import Step, SubmittedJob

LINK_MBPS = 100.0
WORKERS = 64
MEMBERS = [20, 72, 160, 640]
SETTLE_S = 1.5
GANG, BEHIND = "a" * 16, "b" * 16


def _write_job(takeover: Takeover, job_id: str, step: Step) -> None:
    job = SubmittedJob(job_id, QUEUE.name, "payload", (step,))
    takeover.records.write(job_key(job_id), encode(job))


@inlineCallbacks
def _run():
    try:
        for members in MEMBERS:
            with tempfile.TemporaryDirectory() as folder:
                takeover = Takeover(Path(folder), LINK_MBPS, WORKERS)
                yield takeover.start_daemon()
                yield deferLater(reactor, SETTLE_S)
                gang = Step(members, 500, 64, 0, 2_000, gang=True)
                _write_job(takeover, GANG, gang)
                _write_job(takeover, BEHIND, Step(8, 500, 64, 0, 300))

                def count(job_id, takeover=takeover):
                    starts = takeover.workers.starts
                    return sum(run.task.job_id == job_id for run, _ in starts)

                first_s = yield takeover.measure(lambda: count(GANG))
                rest_s = yield takeover.measure(lambda n=members: count(GANG) >= n)
                behind_s = yield takeover.measure(lambda: count(BEHIND) >= 8)
                yield takeover.close()
            print(
                f"gangs.{members}_members: first_start_s={first_s:.2f}"
                f" rest_s={rest_s:.2f} behind_s={behind_s:.2f}",
                flush=True,
            )
    finally:
        reactor.stop()


def main() -> None:
    """Measure all sizes."""
    reactor.callWhenRunning(_run)
    reactor.run(installSignalHandlers=False)
