"""Conversation of the leader with one worker."""

from abc import ABC, abstractmethod

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import FleetWorkerClient, RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase
from dogwoodlever._fleet_types import RunId, StartOrder, WorkerEntry, WorkerLook
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import (
    OrderRefusedError,
    OtherLifeError,
    PlatformError,
    WorkerUnreachableError,
)

# Longer than a change of leader or a short pause of it, so that running work
# survives both; a worker that is lost is waited for this long.
RUN_LEASE_WANTED_S = 5.0
# How long an answer to a look may wait for an end; far below the lease.
LOOK_WAIT_MS = 1_500
LOOK_RETRY_S = 0.25
# One look may just have lost its answer, or this process was busy.
FAILED_LOOKS_LOST = 2
# A worker answers at once while it lists ends that were not acknowledged, so
# the next look waits until they are stored, or for this long.
ACKNOWLEDGE_WAIT_S = 0.25
ORDER_RETRY_S = 0.1
# A worker's clock may be this much slow.
CLOCK_SLOWNESS = 0.02
# Covers the rounding of a worker's clock and a scheduler's own.
CLOCK_MARGIN_MS = 50
# Covers a worker's timer that fires late.
LAPSE_MARGIN_S = 0.25
# After a refused lease, time for the clock of the worker to be read again.
START_ATTEMPTS_EXPIRED = 3
# Refusals after which a start that is under way could still begin.
STOP_NOT_DONE = frozenset({RefusalReason.FENCED, RefusalReason.UNHEALTHY})


class LinkListener(ABC):
    """Takes what a link learns of its worker."""

    @abstractmethod
    def looked(self, link: "WorkerLink", look: WorkerLook, sent_s: float) -> None:
        """Take a look that was sent at `sent_s`."""

    @abstractmethod
    def started(self, link: "WorkerLink", run: Run) -> None:
        """Take the worker's word that a run was started."""

    @abstractmethod
    def refused(self, link: "WorkerLink", run: Run, reason: RefusalReason) -> None:
        """Take the worker's word that a run was not and will not be started."""

    @abstractmethod
    def lapsed(self, link: "WorkerLink") -> None:
        """Learn that all that ran at the worker is over by its own clock."""

    @abstractmethod
    def fenced(self, link: "WorkerLink") -> None:
        """Learn that the worker obeys a later leader."""

    @abstractmethod
    def replaced(self, link: "WorkerLink") -> None:
        """Learn that another life of the worker answers."""


class WorkerLink:
    """Looks at a worker without pause and repeats orders until they are answered.

    Parameters
    ----------
    entry : WorkerEntry
        The worker.
    worker_client : FleetWorkerClient
        Calls to workers.
    clock : IReactorTime
        Runtime's clock.
    fence : callable
        Returns the leader's fencing token.
    listener : LinkListener
        Takes what is learned.
    first_lapse_s : float
        When the leases that an earlier leader gave are surely over.
    doubtful : dict of RunId to Run
        Runs whose start may still be carried out late, from an earlier life.
    lease_s : float
        Length of the leases that it grants.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        worker_client: FleetWorkerClient,
        clock,
        fence,
        listener: LinkListener,
        first_lapse_s: float,
        doubtful: dict[RunId, Run],
        lease_s: float,
    ) -> None:
        self.entry = entry
        self._worker_client = worker_client
        self._clock = clock
        self._fence = fence
        self._listener = listener
        self._lease_s = lease_s
        self._clock_ms = 0
        self._clock_at_s = 0.0
        self._granted_ms = 0
        self.lapse_s = first_lapse_s
        self.has_lapsed = False
        self._wait_ms = LOOK_WAIT_MS
        self._failed_looks = 0
        # Runs whose order to start has no answer yet and is not settled otherwise.
        self.doubtful = doubtful
        # No lease is granted until these can not begin any more: a worker takes a
        # late order whose own lease is over if it holds another one by then.
        self._withheld = set(doubtful)
        self._is_clearing = False
        self.is_closed = False
        self.is_reachable = True
        # Ends up to this number are stored and may be forgotten by the worker.
        self._acknowledged = 0
        # Highest number of an end that was taken.
        self.seen = 0
        # Time of the last answer to an order for a run that is still counted.
        self.settled_s: dict[RunId, float] = {}
        self._retry = None
        self._lapse_call = None

    def open(self) -> None:
        """Start to look."""
        self._look()

    def close(self) -> None:
        """Stop looking and repeating orders."""
        self.is_closed = True
        for call in (self._retry, self._lapse_call):
            if call is not None and call.active():
                call.cancel()

    def limit_first_lapse(self, lapse_s: float) -> None:
        """Learn that leases of a former leader are over sooner."""
        if not self._granted_ms:
            self.lapse_s = min(self.lapse_s, lapse_s)

    def set_wait(self, wait_ms: int) -> None:
        """Set how long the answers to looks may wait for an end."""
        self._wait_ms = wait_ms

    def acknowledge(self, number: int) -> None:
        """Let the worker forget the ends up to `number`."""
        if number <= self._acknowledged:
            return
        self._acknowledged = number
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
            self._look_again(0.0)

    def _until_ms(self) -> int:
        """Return the end of a lease that is granted now, on the worker's clock.

        A call without an answer may still renew the lease, so nothing longer is
        granted until the worker answers again; otherwise it would never be over.
        """
        if not self._clock_ms:
            return 0
        if self._failed_looks or self._withheld:
            return self._granted_ms
        elapsed_s = self._clock.seconds() - self._clock_at_s
        until_ms = self._clock_ms + int((elapsed_s + self._lease_s) * 1000)
        self._granted_ms = max(self._granted_ms, until_ms)
        return until_ms

    def _least_clock_ms(self) -> int:
        """Return what the worker's clock shows by now, if it is the same life."""
        if not self._clock_ms:
            return 0
        elapsed_s = self._clock.seconds() - self._clock_at_s
        elapsed_ms = int(elapsed_s * 1000 * (1 - CLOCK_SLOWNESS))
        return self._clock_ms + elapsed_ms - CLOCK_MARGIN_MS

    def _heard(self, clock_ms: int) -> None:
        self._clock_ms = clock_ms
        self._clock_at_s = self._clock.seconds()
        self.has_lapsed = False
        self._renew_lapse()

    def _renew_lapse(self) -> None:
        if self._granted_ms:
            left_s = (self._granted_ms - self._clock_ms) / 1000
            left_s = left_s / (1 - CLOCK_SLOWNESS) + LAPSE_MARGIN_S
            self.lapse_s = self._clock_at_s + left_s

    def _watch_lapse(self) -> None:
        """Tell the listener as soon as the lease of an unreachable worker is over."""
        if self.has_lapsed or self.is_closed or not self._failed_looks:
            return
        self._renew_lapse()
        left_s = self.lapse_s - self._clock.seconds()
        if left_s <= 0:
            self.has_lapsed = True
            self._withheld = set(self.doubtful)
            self._listener.lapsed(self)
            return
        if self._lapse_call is None or not self._lapse_call.active():
            self._lapse_call = self._clock.callLater(left_s, self._watch_lapse)

    @inlineCallbacks
    def _look(self):
        if self.is_closed:
            return
        sent_s = self._clock.seconds()
        fence = self._fence()
        wait_ms = self._wait_ms if self._clock_ms and not self._failed_looks else 0
        try:
            look = yield self._worker_client.look(
                self.entry,
                fence,
                self._acknowledged,
                self._until_ms(),
                wait_ms,
            )
        except PlatformError as error:
            if not self.is_closed:
                self._look_failed(error, fence)
            return
        if self.is_closed:
            return
        if (
            self.entry.started_at_ms
            and look.started_at_ms
            and look.started_at_ms != self.entry.started_at_ms
        ):
            self._listener.replaced(self)
            return
        self._failed_looks = 0
        self._heard(look.clock_ms)
        if self._withheld:
            self._clear_doubts()
        elif not self.is_reachable:
            self.is_reachable = True
            log_event("worker.regained", worker=self.entry.worker_id)
        self._listener.looked(self, look, sent_s)
        waits = self.seen > self._acknowledged
        self._look_again(ACKNOWLEDGE_WAIT_S if waits else 0.0)

    def _look_failed(self, error: PlatformError, fence: int) -> None:
        if isinstance(error, OrderRefusedError):
            if error.reason is RefusalReason.FENCED:
                self._take_fenced(fence)
        elif isinstance(error, OtherLifeError):
            self._listener.replaced(self)
            return
        self._failed_looks += 1
        if self.is_reachable and self._failed_looks >= FAILED_LOOKS_LOST:
            self.is_reachable = False
            log_event(
                "worker.lost",
                worker=self.entry.worker_id,
                waits_s=max(0.0, self.lapse_s - self._clock.seconds()),
                why=str(error)[:160],
            )
        self._watch_lapse()
        self._look_again(LOOK_RETRY_S)

    def _look_again(self, delay_s: float) -> None:
        if not self.is_closed:
            self._retry = self._clock.callLater(delay_s, self._look)

    def _pause(self, delay_s: float):
        return deferLater(self._clock, delay_s)

    @inlineCallbacks
    def start(self, run: Run, order: StartOrder):
        """Order a start and repeat it until it is answered.

        An order without an answer may be carried out later, so the run counts
        until the worker answers, or until its lease is surely over.
        """
        uncertain = False
        expired = 0
        self.doubtful[run.run_id] = run
        while self._repeats() and run.phase is not RunPhase.STOPPING:
            refusal = None
            fence = self._fence()
            least_ms = self._least_clock_ms()
            try:
                clock_ms = yield self._worker_client.start(
                    self.entry, order, self._until_ms(), fence
                )
            except WorkerUnreachableError:
                uncertain = True
                yield self._pause(ORDER_RETRY_S)
                continue
            except OtherLifeError:
                # The look tells; the life that was addressed runs nothing now.
                if not uncertain:
                    self.doubtful.pop(run.run_id, None)
                return
            except OrderRefusedError as error:
                refusal = error.reason
            if refusal is None and clock_ms < least_ms:
                # The next life took the order; its own link rules the run out.
                return
            if refusal is None or (uncertain and refusal is RefusalReason.SUPERSEDED):
                self._settle_start(run)
                return
            expired += refusal is RefusalReason.EXPIRED
            if refusal is RefusalReason.FENCED:
                self._take_fenced(fence)
            if self._is_passing(refusal, expired):
                yield self._pause(ORDER_RETRY_S)
                continue
            if uncertain:
                # An earlier copy of the order may still arrive.
                yield self.stop(run)
            else:
                self._refuse(run, refusal)
            return

    def _refuse(self, run: Run, refusal: RefusalReason) -> None:
        """Take a refusal of a start of which no other copy is under way."""
        self.doubtful.pop(run.run_id, None)
        if not self.is_closed:
            self._listener.refused(self, run, refusal)

    def _repeats(self) -> bool:
        """Tell whether an order without an answer is worth repeating."""
        return not self.is_closed and not self.has_lapsed

    def _take_fenced(self, fence: int) -> None:
        """Tell of a later leader, unless it is this one under a new fence."""
        if fence == self._fence():
            self._listener.fenced(self)

    def _is_passing(self, refusal: RefusalReason, expired: int) -> bool:
        """Tell whether a refused start may be accepted a moment later."""
        if refusal is RefusalReason.FENCED:
            return True
        return refusal is RefusalReason.EXPIRED and expired < START_ATTEMPTS_EXPIRED

    @inlineCallbacks
    def _clear_doubts(self):
        """Stop runs that may still begin, before the worker gets a lease again."""
        if self._is_clearing:
            return
        self._is_clearing = True
        for run_id in list(self._withheld):
            if run_id in self.doubtful:
                if not (yield self._stop_until_answered(run_id)):
                    # The next look that is answered begins anew.
                    break
                self.settled_s[run_id] = self._clock.seconds()
                log_event("run.ruled-out", worker=self.entry.worker_id, run=run_id)
            self._withheld.discard(run_id)
        self._is_clearing = False

    def _settle_start(self, run: Run) -> None:
        self.doubtful.pop(run.run_id, None)
        if self._repeats():
            self.settled_s[run.run_id] = self._clock.seconds()
            self._listener.started(self, run)

    @inlineCallbacks
    def stop(self, run: Run):
        """Order a stop and repeat it until it is answered."""
        run.phase = RunPhase.STOPPING
        if (yield self._stop_until_answered(run.run_id)):
            self.settled_s[run.run_id] = self._clock.seconds()

    @inlineCallbacks
    def _stop_until_answered(self, run_id: RunId):
        """Repeat a stop; True once no earlier order can start the run any more."""
        while self._repeats():
            fence = self._fence()
            try:
                yield self._worker_client.stop(self.entry, run_id, fence)
            except WorkerUnreachableError:
                yield self._pause(ORDER_RETRY_S)
                continue
            except OtherLifeError:
                return False
            except OrderRefusedError as error:
                if error.reason is RefusalReason.FENCED:
                    self._take_fenced(fence)
                if error.reason in STOP_NOT_DONE:
                    yield self._pause(ORDER_RETRY_S)
                    continue
                log_event(
                    "stop.refused",
                    worker=self.entry.worker_id,
                    task=run_id.task,
                    reason=error.reason,
                )
            self.doubtful.pop(run_id, None)
            return True
        return False

    @inlineCallbacks
    def pace(self, run: Run, percent: int):
        """Order a pace once; the caller repeats it if it still matters."""
        run.pace_percent = percent
        run.paced_s = self._clock.seconds()
        try:
            yield self._worker_client.pace(
                self.entry, run.run_id, percent, self._fence()
            )
        except PlatformError as error:
            # The pace that stands is unknown; the next decision orders anew.
            run.pace_percent = -1
            log_event("pace.failed", worker=self.entry.worker_id, why=str(error)[:160])
