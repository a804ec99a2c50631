"""The workers as the leader knows them: rooms, links, lives and leases."""

from collections.abc import Callable
from dataclasses import dataclass

from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_board import FleetBoard
from dogwoodlever._fleet_desired_state import DesiredState, try_decode_worker
from dogwoodlever._fleet_election import UNCONFIRMED_MAX_S
from dogwoodlever._fleet_interfaces import FleetWorkerClient, Record, RefusalReason
from dogwoodlever._fleet_job import Run, StepState
from dogwoodlever._fleet_link import (
    CLOCK_SLOWNESS,
    LAPSE_MARGIN_S,
    LOOK_WAIT_MS,
    RUN_LEASE_WANTED_S,
    LinkListener,
    WorkerLink,
)
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_pacer import FleetPacer
from dogwoodlever._fleet_room import WorkerRoom
from dogwoodlever._fleet_roster import FleetRoster
from dogwoodlever._fleet_runs import FleetRuns
from dogwoodlever._fleet_types import (
    RunId,
    WorkerEntry,
    WorkerLook,
)
from dogwoodlever._logs import log_event
from dogwoodlever.platform import WORKERS_PREFIX

# A former leader that gives no answer may renew leases for so long.
FORMER_LEADER_S = UNCONFIRMED_MAX_S + 1.0
# How often a leader that may have a successor looks whether it has one.
CONFIRM_RETRY_S = 0.1
# Looks at a worker where standing and leftover tasks meet; latencies are figures
# of half a second.
PACED_WAIT_MS = 300
# With more workers than this, looks at each are rarer, so that the leader keeps up.
WORKERS_AT_FULL_RATE = 100


@dataclass(slots=True, frozen=True)
class UnsettledLife:
    """A worker's life that is over, with starts that got no answer.

    Attributes
    ----------
    room : WorkerRoom
        Holds the runs of these starts.
    doubtful : dict of RunId to Run
        The runs, and others that were lost before.
    until_s : float
        When they are given up, if no next life comes.
    """

    room: WorkerRoom
    doubtful: dict[RunId, Run]
    until_s: float


class FleetWorkers(LinkListener):
    """Keeps a room and a link for each worker, and takes what the links learn.

    Parameters
    ----------
    worker_client : FleetWorkerClient
        Calls to workers.
    clock : IReactorTime
        Runtime's clock.
    fence : callable
        Returns the leader's fencing token.
    site : DesiredState
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
    confirmed_until_s : callable
        Returns the time until which nobody else can have led.

    Attributes
    ----------
    rooms : dict of str to WorkerRoom
        By worker id.
    runs : FleetRuns
        What runs on them.
    unread : set of str
        Workers on which a former leader may have started something, and whose
        lists were not read since.
    """

    def __init__(
        self,
        worker_client: FleetWorkerClient,
        clock,
        fence: Callable[[], int],
        site: DesiredState,
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
        confirmed_until_s: Callable[[], float],
    ) -> None:
        self._worker_client = worker_client
        self._clock = clock
        self._fence = fence
        self._site = site
        self._roster = roster
        self._metrics = metrics
        self._changed = changed
        self._ended = ended
        self._fenced = fenced
        self._lease_s = min(RUN_LEASE_WANTED_S, run_lease_max_s)
        # Longest lease on a slow clock, and what a timer may be late.
        self._lease_over_s = self._lease_s * (1 + CLOCK_SLOWNESS) + LAPSE_MARGIN_S
        self.rooms: dict[str, WorkerRoom] = {}
        self._links: dict[str, WorkerLink] = {}
        self._confirmed_until_s = confirmed_until_s
        self._unsettled: dict[str, UnsettledLife] = {}
        self.unread: set[str] = set()
        self.runs = FleetRuns(
            clock,
            board,
            pacer,
            faults,
            metrics,
            self.rooms,
            self._links,
            ticket_rejected,
        )
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

    def take(self, record: Record) -> None:
        """Take a change of a worker's entry."""
        worker_id = record.key[len(WORKERS_PREFIX) :]
        entry = try_decode_worker(worker_id, record)
        room = self.rooms.get(worker_id)
        if entry is None:
            if room is not None:
                room.is_listed = False
                log_event("worker.unlisted", worker=worker_id)
            return
        if room is not None and entry.started_at_ms == room.entry.started_at_ms:
            if room.entry.is_draining != entry.is_draining:
                log_event("worker.draining", worker=worker_id)
            room.entry = entry
            self._links[worker_id].entry = entry
            room.is_listed = True
            if entry.is_draining:
                self.runs.empty(room)
            return
        if room is not None:
            self._drop_life(worker_id, "reborn")
        self._add_worker(entry)

    def _add_worker(self, entry: WorkerEntry) -> None:
        worker_id = entry.worker_id
        room = WorkerRoom(entry)
        self.rooms[worker_id] = room
        doubtful = {}
        former = self._unsettled.pop(worker_id, None)
        if former is not None:
            doubtful = former.doubtful
            for run, step in former.room.runs.values():
                room.add(run, step)
        link = WorkerLink(
            entry,
            self._worker_client,
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
        """Forget a life of a worker; all that ran there is over.

        A start without an answer may still reach the next life, so its run counts
        until that life rules it out, or for as long as that of a lost worker.
        """
        room = self.rooms.pop(worker_id)
        link = self._links.pop(worker_id)
        link.close()
        log_event("worker.life-over", worker=worker_id, why=why, runs=len(room.runs))
        self.runs.lose_all(room, kept=link.doubtful)
        if link.doubtful:
            until_s = self._clock.seconds() + self._lease_over_s
            self._unsettled[worker_id] = UnsettledLife(
                room, dict(link.doubtful), until_s
            )
        self.unread.discard(worker_id)
        self._changed()

    def give_up_unsettled(self) -> None:
        """Stop to wait for next lives that do not come."""
        now_s = self._clock.seconds()
        for worker_id, former in list(self._unsettled.items()):
            if now_s >= former.until_s:
                del self._unsettled[worker_id]
                self.runs.lose_all(former.room)
                self._changed()

    def _is_open(self, room: WorkerRoom) -> bool:
        """Tell whether new tasks may start at a worker."""
        link = self._links[room.entry.worker_id]
        return (
            room.is_synced
            and room.is_listed
            and self._roster.is_stored(room.entry.worker_id)
            and link.is_reachable
            and not room.entry.is_draining
            and room.entry.data_centre not in self._site.data_centres_out
        )

    # What links learn

    def looked(self, link: WorkerLink, look: WorkerLook, sent_s: float) -> None:
        """Take both lists of a worker."""
        worker_id = link.entry.worker_id
        room = self.rooms[worker_id]
        self.runs.take_look(room, link, look, sent_s)
        link.set_wait(self._wait_ms(room))
        if not room.is_synced:
            room.is_synced = True
            log_event("worker.read", worker=worker_id, running=len(look.running))
        self.unread.discard(worker_id)
        if look.ended:
            self._ended()
        self._changed()

    def _wait_ms(self, room: WorkerRoom) -> int:
        """Return how long the next look may wait for an end."""
        if room.serving and room.filling_milli:
            crowd = max(1.0, len(self.rooms) / WORKERS_AT_FULL_RATE)
            return int(PACED_WAIT_MS * crowd)
        return LOOK_WAIT_MS

    def started(self, link: WorkerLink, run: Run) -> None:
        """Take a worker's word that a run was started."""
        self.runs.started(run)

    def refused(self, link: WorkerLink, run: Run, reason: RefusalReason) -> None:
        """Take a worker's word that a run was not started."""
        self.runs.refused(run, reason)
        self._changed()

    def lapsed(self, link: WorkerLink) -> None:
        """Forget the runs of a worker that was not reached for a lease.

        Unless another daemon may have led by then: it may have reached the worker,
        and renewed the lease. The runs then count until that is ruled out.
        """
        if self._confirmed_until_s() < link.lapse_s:
            if not link.is_closed:
                self._clock.callLater(CONFIRM_RETRY_S, self._lapsed_again, link)
            return
        self._forget_lapsed(link)

    def _lapsed_again(self, link: WorkerLink) -> None:
        """Look again at a lapse that was not confirmed, unless it is past."""
        if link.has_lapsed and not link.is_closed:
            self.lapsed(link)

    def _forget_lapsed(self, link: WorkerLink) -> None:
        worker_id = link.entry.worker_id
        room = self.rooms[worker_id]
        self._metrics.worker_events.labels("lapsed").inc()
        log_event("worker.lapsed", worker=worker_id, runs=len(room.runs))
        link.settled_s.clear()
        self.runs.lose_all(room)
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
