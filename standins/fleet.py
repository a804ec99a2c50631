"""The users' platform in one process: store, workers and connections.

Behaves as the platform's pages say, as far as the fleet scheduler uses it, on a
clock that tests advance, with faults that tests set.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from twisted.internet.defer import Deferred, fail

from dogwoodlever._fleet_interfaces import (
    AdviceService,
    CommitResult,
    FleetStore,
    FleetWorkerClient,
    Listing,
    Put,
    Record,
    RefusalReason,
)
from dogwoodlever._fleet_types import (
    EndedRun,
    PollResult,
    RunId,
    RunningRun,
    StartOrder,
    StepId,
    WorkerEntry,
)
from dogwoodlever.peers import Message, PeerTransport
from dogwoodlever.platform_errors import (
    AdviceError,
    LeaseEndedError,
    OrderRefusedError,
    StoreUnavailableError,
    WorkerUnreachableError,
    WrongIncarnationError,
)

STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 1.0
WORKER_DELAY_S = 0.002
ADVICE_DELAY_S = 0.05
WORKER_TIMEOUT_S = 0.8
LEASE_MAX_MS = 10_000


def server_record(entry: WorkerEntry, state: str = "ready") -> bytes:
    """Return the entry that a worker writes of itself."""
    return msgspec.json.encode(
        {
            "service": entry.service,
            "address": f"{entry.host}:{entry.port}",
            "zone": entry.data_centre,
            "state": state,
            "capacity": {"cpu": entry.cores_milli, "mem_mb": entry.memory_mb},
            "labels": list(entry.labels),
            "born": entry.started_at_ms,
        }
    )


class FleetRecords:
    """Contents of the store, shared by all its clients.

    Attributes
    ----------
    history : list of Record
        Every change in the order of revisions.
    is_lease_expiry_paused : bool
        Leases do not run out, as in some outages.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.revision = 1
        self.is_lease_expiry_paused = False
        self.records: dict[str, Record] = {}
        self.history: list[Record] = []
        self._leases: dict[int, float] = {}
        self._ttl_s: dict[int, float] = {}
        self._held: dict[str, int] = {}
        self._waiting: list[Callable[[], None]] = []

    def expire(self) -> None:
        """Remove the records of leases that are over."""
        if self.is_lease_expiry_paused:
            return
        now_s = self.clock.seconds()
        for lease_id in [i for i, until_s in self._leases.items() if until_s <= now_s]:
            self.end_lease(lease_id)

    def open_lease(self, ttl_ms: int) -> int:
        """Open a lease and return its id."""
        self.revision += 1
        self._ttl_s[self.revision] = ttl_ms / 1000
        self._leases[self.revision] = self.clock.seconds() + ttl_ms / 1000
        return self.revision

    def renew(self, lease_id: int) -> None:
        """Renew a lease; fails with `LeaseEndedError`."""
        self.expire()
        if lease_id not in self._leases:
            raise LeaseEndedError(f"lease {lease_id}")
        self._leases[lease_id] = self.clock.seconds() + self._ttl_s[lease_id]

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its records."""
        self._leases.pop(lease_id, None)
        for key in [k for k, lease in self._held.items() if lease == lease_id]:
            self.remove(key)

    def lease_of(self, key: str) -> int:
        """Return the lease that a record is held under, 0 for none."""
        return self._held.get(key, 0)

    def remove(self, key: str) -> None:
        """Remove a record."""
        self._held.pop(key, None)
        if self.records.pop(key, None) is not None:
            self._change(Record(key, None, self.revision + 1))

    def write(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write one record, as operators and workers do."""
        self.commit({}, (Put(key, value, lease_id),), ())

    def commit(self, expected, puts, deletes) -> CommitResult:
        """Write all or nothing."""
        self.expire()
        for put in puts:
            if put.lease_id and put.lease_id not in self._leases:
                raise LeaseEndedError(f"lease {put.lease_id}")
        found = tuple(self.read(key) or Record(key, None, 0) for key in expected)
        if any(record.revision != expected[record.key] for record in found):
            return CommitResult(0, found)
        revision = self.revision + 1
        for put in puts:
            record = Record(put.key, put.value, revision)
            self.records[put.key] = record
            self._held.pop(put.key, None)
            if put.lease_id:
                self._held[put.key] = put.lease_id
            self._change(record)
        for key in deletes:
            self.remove(key)
        return CommitResult(revision)

    def _change(self, record: Record) -> None:
        self.revision = max(self.revision, record.revision)
        self.history.append(record)
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()

    def read(self, key: str) -> Record | None:
        """Return a record or None."""
        self.expire()
        return self.records.get(key)

    def list(self, prefix: str) -> Listing:
        """Return all records under a prefix."""
        self.expire()
        found = [r for key, r in sorted(self.records.items()) if key.startswith(prefix)]
        return Listing(tuple(found), self.revision)

    def since(self, prefix: str, revision: int) -> Listing:
        """Return the changes after a revision."""
        self.expire()
        found = [
            r
            for r in self.history
            if r.revision > revision and r.key.startswith(prefix)
        ]
        return Listing(tuple(found), self.revision)

    def on_change(self, wake: Callable[[], None]) -> None:
        """Call `wake` at the next change."""
        self._waiting.append(wake)


class FakeFleetStore(FleetStore):
    """One client's way to the records.

    Attributes
    ----------
    is_down : bool
        Calls get no answer and have no effect.
    answers_to_lose : int
        So many commits still to come take effect without an answer.
    loses_renewals : bool
        Renewals of leases get no answer and have no effect.
    commit_delay_s : float or None
        If set, the next commit gets no answer and is carried out so much later.
    silent_prefixes : set of str
        Watches and lists of these prefixes get no answer, as on a connection that
        went silent.
    """

    def __init__(self, records: FleetRecords, clock) -> None:
        self.silent_prefixes: set[str] = set()
        self._records = records
        self._clock = clock
        self.is_down = False
        self.answers_to_lose = 0
        self.loses_renewals = False
        self.commit_delay_s: float | None = None
        self.commits = 0
        self.watches = 0

    def _call(self, action: Callable[[], object]) -> Deferred:
        answer: Deferred = Deferred()
        if self.is_down:
            self._clock.callLater(STORE_TIMEOUT_S, self._fail, answer)
            return answer
        self._clock.callLater(STORE_DELAY_S, self._run, action, answer)
        return answer

    @staticmethod
    def _fail(answer: Deferred) -> None:
        if not answer.called:
            answer.errback(StoreUnavailableError("no answer"))

    @staticmethod
    def _run(action, answer: Deferred) -> None:
        try:
            answer.callback(action())
        except LeaseEndedError as error:
            answer.errback(error)

    def read(self, key: str) -> Deferred:
        """Read a record."""
        return self._call(lambda: self._records.read(key))

    def list(self, prefix: str) -> Deferred:
        """List records."""
        if prefix in self.silent_prefixes:
            return self._no_answer()
        return self._call(lambda: self._records.list(prefix))

    def watch(self, prefix: str, revision: int, wait_ms: int) -> Deferred:
        """Wait for changes."""
        self.watches += 1
        answer: Deferred = Deferred()
        until_s = self._clock.seconds() + wait_ms / 1000

        def look() -> None:
            if answer.called:
                return
            if self.is_down or prefix in self.silent_prefixes:
                self._clock.callLater(STORE_TIMEOUT_S, self._fail, answer)
                return
            listing = self._records.since(prefix, revision)
            if listing.records or self._clock.seconds() >= until_s:
                answer.callback(listing)
                return
            self._records.on_change(lambda: self._clock.callLater(STORE_DELAY_S, look))

        self._clock.callLater(STORE_DELAY_S, look)
        self._clock.callLater(wait_ms / 1000 + STORE_DELAY_S, look)
        return answer

    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Deferred:
        """Write all or nothing."""
        self.commits += 1

        def act() -> CommitResult:
            return self._records.commit(expected, puts, deletes)

        if self.commit_delay_s is not None:
            self._clock.callLater(self.commit_delay_s, act)
            self.commit_delay_s = None
        elif self.answers_to_lose:
            self.answers_to_lose -= 1
            act()
        else:
            return self._call(act)
        return self._no_answer()

    def _no_answer(self) -> Deferred:
        answer: Deferred = Deferred()
        self._clock.callLater(STORE_TIMEOUT_S, self._fail, answer)
        return answer

    def open_lease(self, ttl_ms: int) -> Deferred:
        """Open a lease."""
        return self._call(lambda: self._records.open_lease(ttl_ms))

    def renew_lease(self, lease_id: int) -> Deferred:
        """Renew a lease."""
        if self.loses_renewals:
            return self._no_answer()
        return self._call(lambda: self._records.renew(lease_id))

    def end_lease(self, lease_id: int) -> Deferred:
        """End a lease."""
        return self._call(lambda: self._records.end_lease(lease_id))


@dataclass(slots=True)
class FakeRun:
    """A run at a worker."""

    run: RunId
    payload: str
    checkpoint: str
    began_s: float
    lasts_s: float = 0.0
    percent: int = 0


@dataclass(slots=True)
class FakeWorker:
    """One life of a worker.

    Attributes
    ----------
    run_s : float
        How long each run takes; 0 lets runs last until they are stopped.
    """

    entry: WorkerEntry
    born_s: float
    run_s: float = 1.0
    fencing_token: int = 0
    until_ms: int = 0
    running: dict[RunId, FakeRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    last_number: int = 0
    forgotten: int = 0
    highest: dict = field(default_factory=dict)
    is_reachable: bool = True
    fails: bool = False
    clock_rate: float = 1.0

    def clock_ms(self, now_s: float) -> int:
        """Return the worker's steady clock."""
        return int((now_s - self.born_s) * 1000 * self.clock_rate) + 1

    def run_duration_s(self, _run: RunId, _payload: str) -> float:
        """Return how long a run takes, 0 if it lasts."""
        return self.run_s

    def outcome(self, _run: FakeRun) -> str:
        """Return how a run that took its time ends."""
        return "failed" if self.fails else "done"


class FakeWorkers:
    """All workers; counts what must never happen.

    Attributes
    ----------
    starts : list of (RunId, str)
        Every run that began, with its worker.
    duplicate_starts : list of RunId
        Runs that began while another run of the task was at work or done.
    requires_tickets : bool
        Starts without the ticket of their step and worker are refused.
    orders_to_lose : int
        So many orders to start are carried out without an answer.
    ignores_incarnation : bool
        A later life answers orders that were meant for an earlier one.
    delays_start_to_next_incarnation : bool
        The next order to start gets no answer and reaches the next life of its
        worker as soon as that begins.
    start_delay_s : float or None
        If set, the next order to start gets no answer and is carried out so much
        later, if the worker holds a lease by then.
    """

    def __init__(self, clock) -> None:
        self.start_delay_s: float | None = None
        self.requires_tickets = False
        self.ignores_incarnation = False
        self.delays_start_to_next_incarnation = False
        self._for_next_life: dict[str, StartOrder] = {}
        self.clock = clock
        self.workers: dict[str, FakeWorker] = {}
        self.starts: list[tuple[RunId, str]] = []
        self.duplicate_starts: list[RunId] = []
        self.done: set = set()
        self.polls = 0
        self.orders_to_lose = 0

    def add(self, entry: WorkerEntry, run_s: float = 1.0) -> FakeWorker:
        """Start a worker."""
        worker = FakeWorker(entry, self.clock.seconds(), run_s)
        self.workers[entry.worker_id] = worker
        waiting = self._for_next_life.pop(entry.worker_id, None)
        if waiting is not None:
            # Its time, on the clock of the former life, is far in the future.
            self.renew(worker, LEASE_MAX_MS)
            self.start(worker, waiting)
        return worker

    def advance(self) -> None:
        """Let runs end that are due; called by tests as time passes."""
        now_s = self.clock.seconds()
        for worker in self.workers.values():
            if worker.clock_ms(now_s) > worker.until_ms > 0:
                for run in list(worker.running.values()):
                    self.end(worker, run, "lapsed")
            for run in list(worker.running.values()):
                if run.lasts_s and now_s - run.began_s >= run.lasts_s:
                    self.end(worker, run, worker.outcome(run))

    def end(self, worker: FakeWorker, run: FakeRun, outcome: str) -> None:
        """End a run and list its end."""
        del worker.running[run.run]
        worker.last_number += 1
        end = EndedRun(worker.last_number, run.run, outcome, run.checkpoint)
        worker.ended.append(end)
        if outcome == "done":
            self.done.add(run.run.task)

    def keep_for_next_life(self, worker_id: str, order: StartOrder) -> None:
        """Let an order reach the next life of a worker."""
        self.delays_start_to_next_incarnation = False
        self._for_next_life[worker_id] = order

    def acknowledge(self, worker: FakeWorker, number: int) -> None:
        """Forget the ends up to a number."""
        worker.ended = [end for end in worker.ended if end.number > number]
        worker.forgotten = max(worker.forgotten, number)

    def renew(self, worker: FakeWorker, until_ms: int) -> None:
        """Renew a worker's lease."""
        limit_ms = worker.clock_ms(self.clock.seconds()) + LEASE_MAX_MS
        worker.until_ms = max(worker.until_ms, min(until_ms, limit_ms))

    def start(self, worker: FakeWorker, order: StartOrder) -> None:
        """Start a run, as a worker does."""
        if order.run in worker.running:
            return
        if order.run.number <= worker.highest.get(order.run.task, 0):
            raise OrderRefusedError(RefusalReason.SUPERSEDED)
        others = any(
            held.task == order.run.task
            for other in self.workers.values()
            for held in other.running
        )
        if others or order.run.task in self.done:
            self.duplicate_starts.append(order.run)
        worker.highest[order.run.task] = order.run.number
        worker.running[order.run] = FakeRun(
            order.run,
            order.payload,
            order.checkpoint,
            self.clock.seconds(),
            worker.run_duration_s(order.run, order.payload),
        )
        self.starts.append((order.run, worker.entry.worker_id))


class FakeFleetWorkerClient(FleetWorkerClient):
    """One daemon's way to the workers.

    Parameters
    ----------
    workers : FakeWorkers
        The workers.
    clock : IReactorTime
        The daemon's clock; answers come on it.

    Attributes
    ----------
    unreachable : set of str
        Workers that this daemon cannot reach.
    """

    def __init__(self, workers: FakeWorkers, clock) -> None:
        self.unreachable: set[str] = set()
        self._workers = workers
        self._clock = clock

    def _call(
        self, entry: WorkerEntry, fencing_token: int, action, answered: bool = True
    ):
        worker = self._workers.workers.get(entry.worker_id)
        answer: Deferred = Deferred()
        is_cut = entry.worker_id in self.unreachable
        if worker is None or is_cut or not worker.is_reachable:
            self._clock.callLater(WORKER_TIMEOUT_S, self._lose, answer)
            return answer
        shares = self._workers.ignores_incarnation
        if worker.entry.started_at_ms != entry.started_at_ms and not shares:
            return fail(WrongIncarnationError("another life"))

        def act() -> None:
            self._workers.advance()
            if fencing_token < worker.fencing_token:
                answer.errback(OrderRefusedError(RefusalReason.FENCED))
                return
            worker.fencing_token = fencing_token
            try:
                result = action(worker)
            except OrderRefusedError as error:
                answer.errback(error)
                return
            if answered:
                answer.callback(result)
            else:
                self._clock.callLater(WORKER_TIMEOUT_S, self._lose, answer)

        self._clock.callLater(WORKER_DELAY_S, act)
        return answer

    @staticmethod
    def _lose(answer: Deferred) -> None:
        answer.errback(WorkerUnreachableError("no answer"))

    def start(
        self, worker, order: StartOrder, until_ms: int, fencing_token: int
    ) -> Deferred:
        """Start a run."""
        if self._workers.start_delay_s is not None:
            return self._start_late(worker, order, fencing_token)
        if self._workers.delays_start_to_next_incarnation:
            self._workers.keep_for_next_life(worker.worker_id, order)
            answer: Deferred = Deferred()
            self._clock.callLater(WORKER_TIMEOUT_S, self._lose, answer)
            return answer
        lost = self._workers.orders_to_lose > 0
        self._workers.orders_to_lose -= lost

        def act(found: FakeWorker) -> int:
            self._workers.renew(found, until_ms)
            task = order.run.task
            step = StepId(task.job_id, task.occurrence, task.step)
            wanted = FakeAdvice.ticket(step, found.entry.worker_id)
            if self._workers.requires_tickets and order.ticket != wanted:
                raise OrderRefusedError(RefusalReason.NO_TICKET)
            self._workers.start(found, order)
            return found.clock_ms(self._clock.seconds())

        return self._call(worker, fencing_token, act, not lost)

    def _start_late(self, worker, order: StartOrder, fencing_token: int) -> Deferred:
        late_s, self._workers.start_delay_s = self._workers.start_delay_s, None

        def act() -> None:
            found = self._workers.workers[worker.worker_id]
            now_ms = found.clock_ms(self._workers.clock.seconds())
            if fencing_token < found.fencing_token or found.until_ms <= now_ms:
                return
            try:
                self._workers.start(found, order)
            except OrderRefusedError:
                return

        self._workers.clock.callLater(late_s, act)
        answer: Deferred = Deferred()
        self._clock.callLater(WORKER_TIMEOUT_S, self._lose, answer)
        return answer

    def stop(self, worker, run: RunId, fencing_token: int) -> Deferred:
        """Stop a run."""

        def act(found: FakeWorker) -> None:
            number = max(found.highest.get(run.task, 0), run.number)
            found.highest[run.task] = number
            if run in found.running:
                self._workers.end(found, found.running[run], "stopped")

        return self._call(worker, fencing_token, act)

    def throttle(
        self, worker, run: RunId, percent: int, fencing_token: int
    ) -> Deferred:
        """Accept a pace."""
        return self._call(worker, fencing_token, lambda found: None)

    def poll(self, worker, fencing_token, acknowledged, until_ms, wait_ms) -> Deferred:
        """Read both lists; the answer waits for an end if it is asked to."""
        self._workers.polls += 1
        answer: Deferred = Deferred()
        until_s = self._clock.seconds() + wait_ms / 1000

        def act(found: FakeWorker) -> PollResult:
            self._workers.renew(found, until_ms)
            self._workers.acknowledge(found, acknowledged)
            now_s = self._clock.seconds()
            running = tuple(
                RunningRun(
                    run.run, run.checkpoint, run.percent if run.lasts_s else 100, 0
                )
                for run in found.running.values()
            )
            started_at_ms = found.entry.started_at_ms
            return PollResult(
                found.clock_ms(now_s), started_at_ms, running, tuple(found.ended)
            )

        def again() -> None:
            call = self._call(worker, fencing_token, act)
            call.addCallbacks(got, answer.errback)

        def got(poll: PollResult) -> None:
            if poll.ended or self._clock.seconds() >= until_s:
                answer.callback(poll)
            else:
                self._clock.callLater(0.02, again)

        again()
        return answer


class FakeAdvice(AdviceService):
    """The advice service of all daemons.

    Parameters
    ----------
    clock : IReactorTime
        Clock of the test.

    Attributes
    ----------
    allowed : set of str
        Workers that may run any step.
    failures : int
        So many calls still to come fail.
    calls : list of (StepId, list of str)
        Calls so far.
    """

    def __init__(self, clock) -> None:
        self._clock = clock
        self.allowed: set[str] = set()
        self.failures = 0
        self.calls: list[tuple[StepId, list[str]]] = []

    def advise(self, step: StepId, worker_ids: list[str]) -> Deferred:
        """Return tickets, after some milliseconds for each worker."""
        self.calls.append((step, worker_ids))
        answer: Deferred = Deferred()
        if self.failures:
            self.failures -= 1
            self._clock.callLater(ADVICE_DELAY_S, self._fail, answer)
            return answer
        good = {
            name: self.ticket(step, name) for name in worker_ids if name in self.allowed
        }
        self._clock.callLater(ADVICE_DELAY_S, answer.callback, good)
        return answer

    @staticmethod
    def _fail(answer: Deferred) -> None:
        answer.errback(AdviceError("busy"))

    @staticmethod
    def ticket(step: StepId, worker_id: str) -> str:
        """Return the ticket of a worker for a step."""
        return f"{step.job_id}.{step.occurrence}.{step.number}@{worker_id}"


class FakePeerTransport(PeerTransport):
    """Connections between the daemons of one process.

    Parameters
    ----------
    members : dict
        Meshes by member id, shared by all.
    """

    def __init__(self, members: dict, clock, member: str) -> None:
        self._members = members
        self._clock = clock
        self._member = member
        self._receiver = None
        self.is_down = False
        members[member] = self

    def set_key(self, key: str) -> None:
        """Accept any key."""

    def set_peers(self, addresses) -> None:
        """Reach every member."""

    def set_receiver(self, receiver) -> None:
        """Set what takes messages."""
        self._receiver = receiver

    def send(self, member: str, message: Message) -> None:
        """Hand a message over, unless one of both is down."""
        other = self._members.get(member)
        if other is None or self.is_down or other.is_down:
            return
        self._clock.callLater(0.001, other.take, self._member, message)

    def take(self, sender: str, message: Message) -> None:
        """Take a message."""
        if self._receiver is not None and not self.is_down:
            self._receiver(sender, message)
