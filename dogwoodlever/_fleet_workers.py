"""The workers as the leader knows them: rooms, links, and what runs where."""

from collections.abc import Callable

from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_board import FleetBoard
from dogwoodlever._fleet_election import UNCONFIRMED_MAX_S
from dogwoodlever._fleet_interfaces import Record, RefusalReason, WorkerOrders
from dogwoodlever._fleet_job import Run, RunPhase, StepState
from dogwoodlever._fleet_link import (
    CLOCK_SLOWNESS,
    LAPSE_MARGIN_S,
    LOOK_WAIT_MS,
    RUN_LEASE_WANTED_S,
    LinkListener,
    WorkerLink,
)
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_pacer import FleetPacer, stalled_runs
from dogwoodlever._fleet_planner import Placement
from dogwoodlever._fleet_room import WorkerRoom
from dogwoodlever._fleet_roster import FleetRoster
from dogwoodlever._fleet_site import FleetSite, read_worker
from dogwoodlever._fleet_types import (
    EndedRun,
    RunId,
    RunningRun,
    StartOrder,
    WorkerEntry,
    WorkerLook,
)
from dogwoodlever._logs import log_event
from dogwoodlever.platform import WORKERS_PREFIX

# After a refusal for want of room, the account of the worker is off for a while.
REFUSED_PAUSE_S = 0.3
# An unhealthy worker refuses what it is told.
UNHEALTHY_PAUSE_S = 1.0
# A former leader that gives no answer may renew leases for so long.
FORMER_LEADER_S = UNCONFIRMED_MAX_S + 1.0
# Looks at a worker where standing and leftover tasks meet; latencies are figures
# of half a second.
PACED_WAIT_MS = 300
# With more workers than this, looks at each are rarer, so that the leader keeps up.
WORKERS_AT_FULL_RATE = 100


class FleetWorkers(LinkListener):
    """Keeps a room and a link for each worker, and takes what the links learn.

    Parameters
    ----------
    orders : WorkerOrders
        Calls to workers.
    clock : IReactorTime
        Runtime's clock.
    fence : callable
        Returns the leader's fencing token.
    site : FleetSite
        Operators' wishes.
    board : FleetBoard
        Jobs and runs.
    roster : FleetRoster
        Workers on which something may have been started.
    pacer : FleetPacer
        Paces work on leftover cores.
    faults : FaultAttribution
        Tells which workers fail what they start.
    metrics : FleetMetrics
        Counters and histograms.
    changed : callable
        Called when room or work may have changed.
    ended : callable
        Called when runs have ended.
    fenced : callable
        Takes the id of a worker that obeys a later leader.
    ticket_rejected : callable
        Takes a step and a worker that did not accept its ticket.
    run_lease_max_s : float
        Longest lease of a run that workers give.

    Attributes
    ----------
    rooms : dict of str to WorkerRoom
        By worker id.
    unread : set of str
        Workers on which a former leader may have started something, and whose
        lists were not read since.
    """

    def __init__(
        self,
        orders: WorkerOrders,
        clock,
        fence: Callable[[], int],
        site: FleetSite,
        board: FleetBoard,
        roster: FleetRoster,
        pacer: FleetPacer,
        faults: FaultAttribution,
        metrics: FleetMetrics,
        changed: Callable[[], None],
        ended: Callable[[], None],
        fenced: Callable[[str], None],
        ticket_rejected: Callable[[StepState, WorkerRoom], None],
        run_lease_max_s: float,
    ) -> None:
        self._orders = orders
        self._clock = clock
        self._fence = fence
        self._site = site
        self._board = board
        self._roster = roster
        self._pacer = pacer
        self._faults = faults
        self._metrics = metrics
        self._changed = changed
        self._ended = ended
        self._fenced = fenced
        self._ticket_rejected = ticket_rejected
        self._lease_s = min(RUN_LEASE_WANTED_S, run_lease_max_s)
        # Longest lease on a slow clock, and what a timer may be late.
        self._lease_over_s = self._lease_s * (1 + CLOCK_SLOWNESS) + LAPSE_MARGIN_S
        self.rooms: dict[str, WorkerRoom] = {}
        self._links: dict[str, WorkerLink] = {}
        self.unread: set[str] = set()
        # When leases that a former leader gave are over at any worker.
        self._former_over_s = clock.seconds() + FORMER_LEADER_S + self._lease_over_s

    def close(self) -> None:
        """Stop all links."""
        for link in self._links.values():
            link.close()

    def former_stopped(self) -> None:
        """Learn that no former leader renews leases any more."""
        over_s = self._clock.seconds() + self._lease_over_s
        self._former_over_s = min(self._former_over_s, over_s)
        for link in self._links.values():
            link.limit_first_lapse(self._former_over_s)

    def give_up_unread(self) -> None:
        """Stop to wait for workers whose leases of a former leader are over."""
        # A worker without an entry has no link that could learn of its lapse.
        if not self.unread or self._clock.seconds() < self._former_over_s:
            return
        log_event("workers.given-up", count=len(self.unread))
        for worker_id in list(self.unread):
            self._forget_worker(worker_id)

    def open_rooms(self) -> list[WorkerRoom]:
        """Return the workers on which new tasks may start."""
        return [room for room in self.rooms.values() if self._is_open(room)]

    def marks(self) -> dict[WorkerLink, int]:
        """Return the highest end that was taken of each worker's life."""
        return {link: link.seen for link in self._links.values()}

    def stored(self, marks: dict[WorkerLink, int]) -> None:
        """Let workers forget the ends that are stored."""
        # A link stands for one life of a worker, whose ends it numbers.
        for link, number in marks.items():
            link.acknowledge(number)

    def slowed(self, now_s: float) -> list[tuple]:
        """Return (task, room) of work that would go on faster elsewhere."""
        found = []
        for room in self.rooms.values():
            for run, _ in self._pacer.to_move(room, now_s):
                task = self._board.find(run.run_id.task)
                if task is not None:
                    found.append((task, room))
        return found

    def move(self, run: Run) -> None:
        """Stop a slowed run, so that it goes on from its checkpoint elsewhere."""
        self._metrics.moves.labels("slowed").inc()
        log_event("run.moved", run=_name(run), worker=run.worker_id)
        self._links[run.worker_id].stop(run)

    def start(self, placement: Placement, now_s: float) -> None:
        """Count a task as running where it was placed, and order its start."""
        task = placement.task
        room = placement.room
        worker_id = room.entry.worker_id
        run = self._board.begin_run(task, worker_id, now_s, placement.number)
        room.add(run, task.step.spec)
        job = task.step.job
        self._metrics.wait_s.observe(now_s - job.arrived_s)
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

    def stop_all(self, runs) -> None:
        """Order runs to stop, unless they are stopping."""
        for run in runs:
            link = self._links.get(run.worker_id)
            if link is not None and run.phase is not RunPhase.STOPPING:
                link.stop(run)

    def take(self, record: Record) -> None:
        """Take a change of a worker's entry."""
        worker_id = record.key[len(WORKERS_PREFIX) :]
        entry = read_worker(worker_id, record)
        room = self.rooms.get(worker_id)
        if entry is None:
            if room is not None:
                room.is_listed = False
                log_event("worker.unlisted", worker=worker_id)
            return
        if room is not None and entry.born_ms == room.entry.born_ms:
            if room.entry.draining != entry.draining:
                log_event("worker.draining", worker=worker_id)
            room.entry = entry
            self._links[worker_id].entry = entry
            room.is_listed = True
            if entry.draining:
                self._empty(room)
            return
        doubtful = {}
        if room is not None:
            doubtful = self._links[worker_id].doubtful
            self._drop_life(worker_id, "reborn")
        self._add_worker(entry, doubtful)

    def _empty(self, room: WorkerRoom) -> None:
        """Move what would be lost when a draining worker leaves.

        Standing tasks go at once, and work that saves its progress if it would
        not end in time; other work gains nothing from being stopped.
        """
        left_s = room.entry.leaves_in_ms / 1000
        for run, step in list(room.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if step.standing or (step.checkpoints and run.left_s(step) > left_s):
                log_event(
                    "run.evicted", run=_name(run), worker=run.worker_id, why="draining"
                )
                self._metrics.moves.labels("draining").inc()
                self._links[run.worker_id].stop(run)

    def _add_worker(self, entry: WorkerEntry, doubtful: dict[RunId, Run]) -> None:
        worker_id = entry.worker_id
        self.rooms[worker_id] = WorkerRoom(entry)
        link = WorkerLink(
            entry,
            self._orders,
            self._clock,
            self._fence,
            self,
            self._former_over_s,
            doubtful,
            self._lease_s,
        )
        self._links[worker_id] = link
        self._roster.add(worker_id, f"{entry.host}:{entry.port}")
        link.open()

    def _drop_life(self, worker_id: str, why: str) -> None:
        """Forget a life of a worker; all that ran there is over."""
        room = self.rooms.pop(worker_id)
        link = self._links.pop(worker_id)
        link.close()
        log_event("worker.life-over", worker=worker_id, why=why, runs=len(room.runs))
        self._lose_runs(room)
        self.unread.discard(worker_id)
        self._changed()

    def _lose_runs(self, room: WorkerRoom) -> None:
        for run, _ in list(room.runs.values()):
            self._lose_run(room, run, "worker lost")

    def _lose_run(self, room: WorkerRoom, run: Run, why: str) -> None:
        room.remove(run.run_id)
        link = self._links.get(room.entry.worker_id)
        if link is not None:
            link.settled_s.pop(run.run_id, None)
        task = self._board.find(run.run_id.task)
        if task is not None:
            self._board.drop_run(task, run.run_id.number)
        self._metrics.ends.labels("lost").inc()
        log_event("run.lost", run=_name(run), worker=room.entry.worker_id, why=why)

    def _is_open(self, room: WorkerRoom) -> bool:
        """Tell whether new tasks may start at a worker."""
        link = self._links[room.entry.worker_id]
        return (
            room.is_synced
            and room.is_listed
            and self._roster.is_stored(room.entry.worker_id)
            and link.is_reachable
            and not room.entry.draining
            and room.entry.data_centre not in self._site.data_centres_out
        )

    # What links learn

    def looked(self, link: WorkerLink, look: WorkerLook, sent_s: float) -> None:
        """Take both lists of a worker."""
        worker_id = link.entry.worker_id
        room = self.rooms[worker_id]
        for end in look.ended:
            if end.number > link.seen:
                link.seen = end.number
                self._take_end(room, link, end)
        listed = set()
        for row in look.running:
            listed.add(row.run)
            self._take_running(room, link, row)
        for run, _ in list(room.runs.values()):
            settled_s = link.settled_s.get(run.run_id)
            if settled_s is None or settled_s >= sent_s or run.run_id in listed:
                continue
            self._lose_run(room, run, "not listed")
        for order in self._pacer.decide(room, self._clock.seconds()):
            self._metrics.paces.inc()
            link.pace(order.run, order.percent)
        self._stop_stalled(room)
        link.set_wait(self._wait_ms(room))
        if not room.is_synced:
            room.is_synced = True
            log_event("worker.read", worker=worker_id, running=len(look.running))
        self.unread.discard(worker_id)
        if look.ended:
            self._ended()
        self._changed()

    def _stop_stalled(self, room: WorkerRoom) -> None:
        """Start work that stands still on a worker anew elsewhere."""
        now_s = self._clock.seconds()
        worker_id = room.entry.worker_id
        for run in stalled_runs(room, now_s):
            if self._faults.stalled(worker_id, now_s, len(self.rooms)):
                self._metrics.workers.labels("quarantined").inc()
                log_event("worker.quarantined", worker=worker_id, why="stalled")
            task = self._board.find(run.run_id.task)
            if task is not None:
                task.failed_on.add(worker_id)
            self._metrics.moves.labels("stalled").inc()
            log_event(
                "run.stalled", run=_name(run), worker=worker_id, percent=run.percent
            )
            self._links[worker_id].stop(run)

    def _wait_ms(self, room: WorkerRoom) -> int:
        """Return how long the next look may wait for an end."""
        if room.serving and room.filling_milli:
            crowd = max(1.0, len(self.rooms) / WORKERS_AT_FULL_RATE)
            return int(PACED_WAIT_MS * crowd)
        return LOOK_WAIT_MS

    def _take_end(self, room: WorkerRoom, link: WorkerLink, end: EndedRun) -> None:
        held = room.runs.get(end.run)
        room.remove(end.run)
        link.settled_s.pop(end.run, None)
        outcome = self._board.end_run(end)
        self._metrics.ends.labels(end.how).inc()
        worker_id = room.entry.worker_id
        now_s = self._clock.seconds()
        took_s = now_s - held[0].started_s if held else 0.0
        log_event(
            "run.ended",
            run=_run_text(end.run),
            worker=worker_id,
            how=end.how,
            took_s=took_s,
        )
        if outcome.is_failure:
            was = self._faults.failed(
                worker_id, end.run.task.job_id, now_s, len(self.rooms)
            )
            if was:
                self._metrics.workers.labels("quarantined").inc()
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
        run = held[0]
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if row.percent != run.percent:
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

    def started(self, link: WorkerLink, run: Run) -> None:
        """Take a worker's word that a run was started."""
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        self._metrics.starts.labels("started").inc()
        self._metrics.start_s.observe(self._clock.seconds() - run.started_s)

    def refused(self, link: WorkerLink, run: Run, reason: RefusalReason) -> None:
        """Take a worker's word that a run was not started."""
        worker_id = link.entry.worker_id
        room = self.rooms.get(worker_id)
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
        self._changed()

    def lapsed(self, link: WorkerLink) -> None:
        """Forget the runs of a worker that was not reached for a lease."""
        worker_id = link.entry.worker_id
        room = self.rooms[worker_id]
        self._metrics.workers.labels("lapsed").inc()
        log_event("worker.lapsed", worker=worker_id, runs=len(room.runs))
        link.settled_s.clear()
        self._lose_runs(room)
        self.unread.discard(worker_id)
        room.is_synced = False
        if not room.is_listed:
            link.close()
            del self.rooms[worker_id], self._links[worker_id]
            self._forget_worker(worker_id)
        self._changed()

    def _forget_worker(self, worker_id: str) -> None:
        """Take a worker that is gone for good off the roster."""
        self.unread.discard(worker_id)
        if worker_id not in self.rooms:
            self._roster.discard(worker_id)

    def fenced(self, link: WorkerLink) -> None:
        """Stop to lead, because a worker obeys a later leader."""
        self._fenced(link.entry.worker_id)

    def replaced(self, link: WorkerLink) -> None:
        """Wait for the entry of a worker's new life."""
        worker_id = link.entry.worker_id
        if self._links.get(worker_id) is link:
            self._drop_life(worker_id, "another life answers")


def _run_text(run_id: RunId) -> str:
    task = run_id.task
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}#{run_id.number}"


def _name(run: Run) -> str:
    return _run_text(run.run_id)
