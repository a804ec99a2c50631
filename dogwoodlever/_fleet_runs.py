"""What runs on the workers: starts, ends, moves, and what workers list."""

from collections.abc import Callable, Container

from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_board import FleetBoard
from dogwoodlever._fleet_interfaces import RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase, StepState
from dogwoodlever._fleet_link import WorkerLink
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_pacer import FleetPacer, stalled_runs
from dogwoodlever._fleet_planner import Placement
from dogwoodlever._fleet_room import WorkerRoom
from dogwoodlever._fleet_types import (
    EndedRun,
    RunId,
    RunningRun,
    StartOrder,
    WorkerLook,
)
from dogwoodlever._logs import log_event

# After a refusal for want of room, the account of the worker is off for a while.
REFUSED_PAUSE_S = 0.3
# An unhealthy worker refuses what it is told.
UNHEALTHY_PAUSE_S = 1.0


class FleetRuns:
    """Orders runs, and takes what workers list of them.

    Parameters
    ----------
    clock : IReactorTime
        Runtime's clock.
    board : FleetBoard
        Jobs and runs.
    pacer : FleetPacer
        Paces work on leftover cores.
    faults : FaultAttribution
        Tells which workers fail what they start.
    metrics : FleetMetrics
        Counters and histograms.
    rooms : dict of str to WorkerRoom
        Rooms by worker id, kept by the owner.
    links : dict of str to WorkerLink
        Links by worker id, kept by the owner.
    ticket_rejected : callable
        Takes a step and a worker that did not accept its ticket.
    """

    def __init__(
        self,
        clock,
        board: FleetBoard,
        pacer: FleetPacer,
        faults: FaultAttribution,
        metrics: FleetMetrics,
        rooms: dict[str, WorkerRoom],
        links: dict[str, WorkerLink],
        ticket_rejected: Callable[[StepState, WorkerRoom], None],
    ) -> None:
        self._clock = clock
        self._board = board
        self._pacer = pacer
        self._faults = faults
        self._metrics = metrics
        self._rooms = rooms
        self._links = links
        self._ticket_rejected = ticket_rejected

    # Orders

    def start(self, placement: Placement, now_s: float) -> None:
        """Count a task as running where it was placed, and order its start."""
        task = placement.task
        room = placement.room
        worker_id = room.entry.worker_id
        run = self._board.begin_run(task, worker_id, now_s, placement.number)
        room.add(run, task.step.spec)
        job = task.step.job
        self._metrics.task_wait_s.observe(now_s - job.arrived_s)
        log_event(
            "run.placed",
            run=_name(run),
            worker=worker_id,
            waited_s=now_s - job.arrived_s,
            free_milli=room.cores_free,
        )
        order = StartOrder(
            run.run_id, job.job.payload, task.checkpoint, placement.ticket
        )
        self._links[worker_id].start(run, order)

    def slowed(self, now_s: float) -> list[tuple]:
        """Return (task, room) of work that would go on faster elsewhere."""
        found = []
        for room in self._rooms.values():
            for run, _ in self._pacer.to_move(room, now_s):
                task = self._board.find(run.run_id.task)
                if task is not None:
                    found.append((task, room))
        return found

    def move(self, run: Run) -> None:
        """Stop a slowed run, so that it goes on from its checkpoint elsewhere."""
        self._metrics.run_moves.labels("slowed").inc()
        log_event("run.moved", run=_name(run), worker=run.worker_id)
        self._links[run.worker_id].stop(run)

    def empty(self, room: WorkerRoom) -> None:
        """Move what would be lost when a draining worker leaves.

        Standing tasks go at once, and work that saves its progress if it would
        not end in time; other work gains nothing from being stopped.
        """
        left_s = room.entry.drain_remaining_ms / 1000
        for run, step in list(room.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if step.standing or (step.checkpoints and run.left_s(step) > left_s):
                log_event(
                    "run.evicted", run=_name(run), worker=run.worker_id, why="draining"
                )
                self._metrics.run_moves.labels("draining").inc()
                self._links[run.worker_id].stop(run)

    def stop_all(self, runs) -> None:
        """Order runs to stop, unless they are stopping."""
        for run in runs:
            link = self._links.get(run.worker_id)
            if link is not None and run.phase is not RunPhase.STOPPING:
                link.stop(run)

    # What workers tell

    def take_look(
        self, room: WorkerRoom, link: WorkerLink, look: WorkerLook, sent_s: float
    ) -> None:
        """Take both lists of a worker that were asked for at `sent_s`."""
        for end in look.ended:
            if end.number > link.seen:
                link.seen = end.number
                self._take_end(room, link, end)
        for row in look.running:
            self._take_running(room, link, row)
        self._lose_unlisted(room, link, look, sent_s)
        for order in self._pacer.decide(room, self._clock.seconds()):
            self._metrics.throttle_orders.inc()
            link.pace(order.run, order.percent)
        self._stop_stalled(room)

    def _lose_unlisted(
        self, room: WorkerRoom, link: WorkerLink, look: WorkerLook, sent_s: float
    ) -> None:
        """Forget runs that were settled before the look and are not listed."""
        listed = {row.run for row in look.running}
        for run, _ in list(room.runs.values()):
            settled_s = link.settled_s.get(run.run_id)
            if settled_s is None or settled_s >= sent_s or run.run_id in listed:
                continue
            self._lose(room, run, "not listed")

    def _take_end(self, room: WorkerRoom, link: WorkerLink, end: EndedRun) -> None:
        held = room.runs.get(end.run)
        room.remove(end.run)
        link.settled_s.pop(end.run, None)
        outcome = self._board.end_run(end)
        self._metrics.run_ends.labels(end.outcome).inc()
        worker_id = room.entry.worker_id
        now_s = self._clock.seconds()
        took_s = now_s - held[0].started_s if held else 0.0
        log_event(
            "run.ended",
            run=_run_text(end.run),
            worker=worker_id,
            how=end.outcome,
            took_s=took_s,
        )
        if outcome.is_failure:
            was = self._faults.failed(
                worker_id, end.run.task.job_id, now_s, len(self._rooms)
            )
            if was:
                self._metrics.worker_events.labels("quarantined").inc()
                log_event("worker.quarantined", worker=worker_id, why="failures")
            if outcome.task is not None:
                outcome.task.failed_on.add(worker_id)
        elif held and outcome.task is not None and outcome.task.is_done:
            self._faults.succeeded(worker_id, end.run.task.job_id)
        if outcome.job_ended:
            state = outcome.task.step.job
            log_event(
                "job.ended",
                job=state.job.job_id,
                phase=state.phase,
                took_s=now_s - state.arrived_s,
                objective_s=state.objective_s,
            )
        self.stop_all(outcome.obsolete)

    def _take_running(
        self, room: WorkerRoom, link: WorkerLink, row: RunningRun
    ) -> None:
        held = room.runs.get(row.run)
        now_s = self._clock.seconds()
        if held is None:
            self._adopt(room, link, row, now_s)
            return
        run, step = held
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if row.percent != run.percent:
            if step.standing and row.percent == 100:
                # It never ends, so being at work is all the success it can have.
                self._faults.succeeded(run.worker_id, row.run.task.job_id)
            run.percent = row.percent
            run.progressed_s = now_s
        run.load = row.load
        if row.checkpoint:
            task = self._board.find(row.run.task)
            if task is not None:
                task.checkpoint = row.checkpoint

    def _adopt(
        self, room: WorkerRoom, link: WorkerLink, row: RunningRun, now_s: float
    ) -> None:
        worker_id = room.entry.worker_id
        run = self._board.adopt_run(row.run, worker_id, row.checkpoint, now_s)
        if run is not None and run.worker_id == worker_id:
            task = self._board.find(row.run.task)
            room.add(run, task.step.spec)
            link.settled_s[run.run_id] = now_s
            run.percent = row.percent
            run.progressed_s = now_s
            log_event("run.adopted", run=_run_text(row.run), worker=worker_id)
            return
        log_event("run.unwanted", run=_run_text(row.run), worker=worker_id)
        link.stop(Run(row.run, worker_id, RunPhase.STOPPING, now_s))

    def _stop_stalled(self, room: WorkerRoom) -> None:
        """Start work that stands still on a worker anew elsewhere."""
        now_s = self._clock.seconds()
        worker_id = room.entry.worker_id
        for run in stalled_runs(room, now_s):
            if self._faults.stalled(worker_id, now_s, len(self._rooms)):
                self._metrics.worker_events.labels("quarantined").inc()
                log_event("worker.quarantined", worker=worker_id, why="stalled")
            task = self._board.find(run.run_id.task)
            if task is not None:
                task.failed_on.add(worker_id)
            self._metrics.run_moves.labels("stalled").inc()
            log_event(
                "run.stalled", run=_name(run), worker=worker_id, percent=run.percent
            )
            self._links[worker_id].stop(run)

    def lose_all(self, room: WorkerRoom, kept: Container[RunId] = ()) -> None:
        """Forget the runs of a worker that is lost, but for those that are kept."""
        for run, _ in list(room.runs.values()):
            if run.run_id not in kept:
                self._lose(room, run, "worker lost")

    def _lose(self, room: WorkerRoom, run: Run, why: str) -> None:
        room.remove(run.run_id)
        link = self._links.get(room.entry.worker_id)
        if link is not None:
            link.settled_s.pop(run.run_id, None)
        task = self._board.find(run.run_id.task)
        if task is not None:
            self._board.drop_run(task, run.run_id.number)
        self._metrics.run_ends.labels("lost").inc()
        log_event("run.lost", run=_name(run), worker=room.entry.worker_id, why=why)

    def started(self, run: Run) -> None:
        """Take a worker's word that a run was started."""
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        self._metrics.starts.labels("started").inc()
        self._metrics.start_s.observe(self._clock.seconds() - run.started_s)

    def refused(self, run: Run, reason: RefusalReason) -> None:
        """Take a worker's word that a run was not started."""
        worker_id = run.worker_id
        room = self._rooms.get(worker_id)
        self._metrics.starts.labels(reason).inc()
        log_event("run.refused", run=_name(run), worker=worker_id, reason=reason)
        if room is not None:
            room.remove(run.run_id)
            pause_s = REFUSED_PAUSE_S
            if reason is RefusalReason.UNHEALTHY:
                pause_s = UNHEALTHY_PAUSE_S
            room.refused_until_s = self._clock.seconds() + pause_s
        task = self._board.find(run.run_id.task)
        if task is not None:
            self._board.drop_run(task, run.run_id.number)
            if reason is RefusalReason.NO_TICKET and room is not None:
                self._ticket_rejected(task.step, room)


def _run_text(run_id: RunId) -> str:
    task = run_id.task
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}#{run_id.number}"


def _name(run: Run) -> str:
    return _run_text(run.run_id)
