"""In-process fakes of the platform's store, workers, advice and peer transport.

They follow the platform's documentation as far as the fleet scheduler uses it, run
on a clock that tests advance, and inject the faults that tests set.
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
    TaskId,
    WorkerEntry,
)
from dogwoodlever.peers import Message, PeerTransport
from dogwoodlever.platform_errors import (
    AdviceError,
    ConnectionRefusedByWorkerError,
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
# Most ends that a worker lists in one response.
ENDS_LISTED_MAX = 500
# From the start of a task that crashes its worker to the crash.
CRASH_DELAY_S = 0.01


def server_record(entry: WorkerEntry, state: str = "ready") -> bytes:
    """Return the record that a worker writes about itself."""
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
    """Contents of the store, shared by all clients.

    Attributes
    ----------
    history : list of Record
        All changes, ordered by revision.
    is_lease_expiry_paused : bool
        Leases do not expire, as in some outages of the store.
    shares_revision : bool
        All changes of a transaction have one revision; else each has its own, and the
        transaction has the last one.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.revision = 1
        self.is_lease_expiry_paused = False
        self.shares_revision = True
        self.records: dict[str, Record] = {}
        self.history: list[Record] = []
        self._lease_until_s: dict[int, float] = {}
        self._ttl_s: dict[int, float] = {}
        self._lease_by_key: dict[str, int] = {}
        self._change_callbacks: list[Callable[[], None]] = []

    def expire(self) -> None:
        """End the expired leases and remove their records."""
        if self.is_lease_expiry_paused:
            return
        now_s = self.clock.seconds()
        for lease_id in [
            i for i, until_s in self._lease_until_s.items() if until_s <= now_s
        ]:
            self.end_lease(lease_id)

    def open_lease(self, ttl_ms: int) -> int:
        """Open a lease and return its id."""
        self.revision += 1
        self._ttl_s[self.revision] = ttl_ms / 1000
        self._lease_until_s[self.revision] = self.clock.seconds() + ttl_ms / 1000
        return self.revision

    def renew(self, lease_id: int) -> None:
        """Renew a lease; raises `LeaseEndedError` if it has ended."""
        self.expire()
        if lease_id not in self._lease_until_s:
            raise LeaseEndedError(f"lease {lease_id} has ended")
        self._lease_until_s[lease_id] = self.clock.seconds() + self._ttl_s[lease_id]

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its records."""
        self._lease_until_s.pop(lease_id, None)
        for key in [k for k, lease in self._lease_by_key.items() if lease == lease_id]:
            self.remove(key)

    def has_lease(self, lease_id: int) -> bool:
        """Return whether a lease has not ended."""
        self.expire()
        return lease_id in self._lease_until_s

    def lease_of(self, key: str) -> int:
        """Return the lease id of a record, 0 for none."""
        return self._lease_by_key.get(key, 0)

    def remove(self, key: str) -> None:
        """Remove a record."""
        self._remove(key, self.revision + 1)

    def _remove(self, key: str, revision: int) -> None:
        self._lease_by_key.pop(key, None)
        if self.records.pop(key, None) is not None:
            self._append_change(Record(key, None, revision))

    def write(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write one record unconditionally, as operators and workers do."""
        self.commit({}, (Put(key, value, lease_id),), ())

    def commit(self, expected, puts, deletes) -> CommitResult:
        """Apply all changes if the expected revisions match, else none."""
        self.expire()
        for put in puts:
            if put.lease_id and put.lease_id not in self._lease_until_s:
                raise LeaseEndedError(f"lease {put.lease_id} has ended")
        found = tuple(self.read(key) or Record(key, None, 0) for key in expected)
        if any(record.revision != expected[record.key] for record in found):
            return CommitResult(0, found)
        revision = first_revision = self.revision + 1
        for put in puts:
            revision = self._next_revision(first_revision)
            record = Record(put.key, put.value, revision)
            self.records[put.key] = record
            self._lease_by_key.pop(put.key, None)
            if put.lease_id:
                self._lease_by_key[put.key] = put.lease_id
            self._append_change(record)
        for key in deletes:
            revision = self._next_revision(first_revision)
            self._remove(key, revision)
        return CommitResult(revision)

    def _next_revision(self, first_revision: int) -> int:
        """Return the revision of the next change of a transaction."""
        return first_revision if self.shares_revision else self.revision + 1

    def _append_change(self, record: Record) -> None:
        self.revision = max(self.revision, record.revision)
        self.history.append(record)
        callbacks, self._change_callbacks = self._change_callbacks, []
        for callback in callbacks:
            callback()

    def read(self, key: str) -> Record | None:
        """Return a record, or None if it is absent."""
        self.expire()
        return self.records.get(key)

    def list(self, prefix: str) -> Listing:
        """Return all records under a prefix."""
        self.expire()
        found = [r for key, r in sorted(self.records.items()) if key.startswith(prefix)]
        return Listing(tuple(found), self.revision)

    def list_changes(self, prefix: str, revision: int) -> Listing:
        """Return the changes under a prefix after a revision."""
        self.expire()
        found = [
            r
            for r in self.history
            if r.revision > revision and r.key.startswith(prefix)
        ]
        return Listing(tuple(found), self.revision)

    def notify_on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, at the next change."""
        self._change_callbacks.append(callback)


class FakeFleetStore(FleetStore):
    """Store client of one daemon.

    Attributes
    ----------
    is_down : bool
        Calls time out without effect.
    answers_to_lose : int
        How many of the next commits take effect but time out.
    loses_renewals : bool
        Lease renewals time out without effect.
    commit_delay_s : float or None
        If set, the next commit times out and takes effect after this delay.
    loses_answers : bool
        Calls take effect and time out.
    silent_prefixes : set of str
        Watches and lists of these prefixes time out, as on a half-open connection.
    page_records : int
        Most records on one page of a list.
    """

    def __init__(self, records: FleetRecords, clock) -> None:
        self.silent_prefixes: set[str] = set()
        self._cut_error: type[StoreUnavailableError] | None = None
        self._open_calls: set[Deferred] = set()
        self._records = records
        self._clock = clock
        self.is_down = False
        self.answers_to_lose = 0
        self.loses_renewals = False
        self.loses_answers = False
        self.commit_delay_s: float | None = None
        self.commits = 0
        self.watches = 0
        self.page_records = 500

    def cut_off(self, error: type[StoreUnavailableError]) -> None:
        """Cut this daemon off: open calls are reset, new ones fail with `error`."""
        self._cut_error = error
        for response in list(self._open_calls):
            if not response.called:
                response.errback(StoreUnavailableError("connection reset"))

    def reconnect(self) -> None:
        """End a cut."""
        self._cut_error = None

    def _open_call(self) -> Deferred:
        response: Deferred = Deferred()
        self._open_calls.add(response)

        def close(result):
            self._open_calls.discard(response)
            return result

        return response.addBoth(close)

    def _call(self, action: Callable[[], object]) -> Deferred:
        if self._cut_error is not None:
            return fail(self._cut_error("store is cut off"))
        response = self._open_call()
        if self.is_down:
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return response
        if self.loses_answers:
            self._clock.callLater(STORE_DELAY_S, self._run, action, Deferred())
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return response
        self._clock.callLater(STORE_DELAY_S, self._run, action, response)
        return response

    @staticmethod
    def _time_out(response: Deferred) -> None:
        if not response.called:
            response.errback(StoreUnavailableError("store did not respond"))

    @staticmethod
    def _run(action, response: Deferred) -> None:
        try:
            result = action()
        except LeaseEndedError as error:
            if not response.called:
                response.errback(error)
            return
        if not response.called:
            response.callback(result)

    def read(self, key: str) -> Deferred:
        """Read a record."""
        return self._call(lambda: self._records.read(key))

    def list_page(self, prefix: str, after: str = "") -> Deferred:
        """List a page of records."""
        if prefix in self.silent_prefixes:
            return self._no_response()
        return self._call(lambda: self._list_page(prefix, after))

    def list_stale(self, prefix: str) -> Deferred:
        """List the first page of records; this store is never behind."""
        return self.list_page(prefix)

    def _list_page(self, prefix: str, after: str) -> Listing:
        listing = self._records.list(prefix)
        remaining = [record for record in listing.records if record.key > after]
        if len(remaining) <= self.page_records:
            return Listing(tuple(remaining), listing.revision)
        page = tuple(remaining[: self.page_records])
        return Listing(page, listing.revision, page[-1].key)

    def watch(self, prefix: str, revision: int, wait_ms: int) -> Deferred:
        """Wait up to `wait_ms` for changes after a revision."""
        self.watches += 1
        if self._cut_error is not None:
            return fail(self._cut_error("store is cut off"))
        response = self._open_call()
        until_s = self._clock.seconds() + wait_ms / 1000

        def respond_when_changed() -> None:
            if response.called:
                return
            is_silent = prefix in self.silent_prefixes
            if self.is_down or self.loses_answers or is_silent:
                self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
                return
            listing = self._records.list_changes(prefix, revision)
            if listing.records or self._clock.seconds() >= until_s:
                response.callback(listing)
                return
            self._records.notify_on_change(
                lambda: self._clock.callLater(STORE_DELAY_S, respond_when_changed)
            )

        self._clock.callLater(STORE_DELAY_S, respond_when_changed)
        self._clock.callLater(wait_ms / 1000 + STORE_DELAY_S, respond_when_changed)
        return response

    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Deferred:
        """Apply all changes if the expected revisions match, else none."""
        self.commits += 1

        def write() -> CommitResult:
            return self._records.commit(expected, puts, deletes)

        if self.commit_delay_s is not None:
            self._clock.callLater(self.commit_delay_s, write)
            self.commit_delay_s = None
        elif self.answers_to_lose:
            self.answers_to_lose -= 1
            write()
        else:
            return self._call(write)
        return self._no_response()

    def _no_response(self) -> Deferred:
        response: Deferred = Deferred()
        self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
        return response

    def open_lease(self, ttl_ms: int) -> Deferred:
        """Open a lease."""
        return self._call(lambda: self._records.open_lease(ttl_ms))

    def renew_lease(self, lease_id: int) -> Deferred:
        """Renew a lease."""
        if self.loses_renewals:
            return self._no_response()
        return self._call(lambda: self._records.renew(lease_id))

    def end_lease(self, lease_id: int) -> Deferred:
        """End a lease."""
        return self._call(lambda: self._records.end_lease(lease_id))


@dataclass(slots=True)
class FakeRun:
    """A run on a worker.

    Attributes
    ----------
    is_lapsing : bool
        Whether it is being killed since the lease has expired.
    """

    run: RunId
    payload: str
    checkpoint: str
    started_s: float
    duration_s: float = 0.0
    percent: int = 0
    is_lapsing: bool = False


@dataclass(slots=True)
class FakeWorker:
    """One incarnation of a worker.

    Attributes
    ----------
    run_s : float
        Duration of each run; 0 for runs that last until they are stopped.
    refuses_connections : bool
        Connections are refused, since its process has ended or by a partition.
    """

    entry: WorkerEntry
    started_s: float
    run_s: float = 1.0
    fencing_token: int = 0
    until_ms: int = 0
    running: dict[RunId, FakeRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    last_number: int = 0
    acknowledged_number: int = 0
    latest_numbers: dict = field(default_factory=dict)
    is_reachable: bool = True
    refuses_connections: bool = False
    fails: bool = False
    clock_rate: float = 1.0

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which the worker answers."""
        return self.entry.host, self.entry.port

    def clock_ms(self, now_s: float) -> int:
        """Return the worker's monotonic clock in milliseconds."""
        return int((now_s - self.started_s) * 1000 * self.clock_rate) + 1

    def run_duration_s(self, _run: RunId, _payload: str) -> float:
        """Return the duration of a run, 0 if it lasts until it is stopped."""
        return self.run_s

    def outcome(self, _run: FakeRun) -> str:
        """Return the outcome of a run that reached its duration."""
        return "failed" if self.fails else "done"


@dataclass(slots=True, frozen=True)
class FakePoll:
    """A poll that got no response."""

    fencing_token: int
    acknowledged: int
    until_ms: int


class FakeWorkers:
    """All workers; records violations of the run guarantees.

    Attributes
    ----------
    starts : list of (RunId, str)
        Every started run with its worker.
    duplicate_starts : list of RunId
        Runs started while another run of their task was running or after one was done.
    requires_tickets : bool
        Starts without the ticket for their step and worker are refused.
    start_refusals : list of RefusalReason
        Reasons for which the next starts are refused, without effect.
    orders_to_lose : int
        How many of the next start orders take effect but time out.
    delays_start_to_next_incarnation : bool
        The next start order times out and reaches the next incarnation of its worker,
        with its fencing token, as soon as that starts.
    replaced : set of str
        Workers at whose addresses a worker with another id answers.
    start_delay_s : float or None
        If set, the next start order times out and takes effect after this delay, if
        the worker holds a lease by then.
    stop_s : float
        Duration of a stop; the run is listed as running until then.
    lapse_s : float
        From the expiry of a lease to the end of its runs, which are listed as running
        until then. A later lease does not save them.
    run_cores_milli : int
        Cores of each run, for `overcommitted_starts`.
    invalid_starts : list of RunId
        Starts without a lease, which workers reject.
    overcommitted_starts : list of (RunId, str)
        Starts that brought their worker over its capacity.
    crashing_tasks : set of TaskId
        Tasks that crash each worker that starts them.
    crash_delay_s : float
        From the start of such a task to the crash; 0 if the start gets no answer.
    crashes : list of str
        Workers whose processes ended, in order.
    reruns : list of RunId
        Those of `duplicate_starts` for which the lease of the worker expired between
        the end of the earlier run and its acknowledgement, so that it does not count.
    unanswered_polls : dict of str to list of FakePoll
        Polls without a response that may be carried out late, by worker id.
    """

    def __init__(self, clock) -> None:
        self.start_delay_s: float | None = None
        self.stop_s = 0.0
        self.lapse_s = 0.0
        self.run_cores_milli = 0
        self.overcommitted_starts: list[tuple[RunId, str]] = []
        self.invalid_starts: list[RunId] = []
        self.crashing_tasks: set[TaskId] = set()
        self.crash_delay_s = CRASH_DELAY_S
        self.crashes: list[str] = []
        self.requires_tickets = False
        self.delays_start_to_next_incarnation = False
        self._for_next_incarnation: dict[str, StartOrder] = {}
        self._held_tokens: dict[str, int] = {}
        self.replaced: set[str] = set()
        self.clock = clock
        self.workers: dict[str, FakeWorker] = {}
        self.starts: list[tuple[RunId, str]] = []
        self.duplicate_starts: list[RunId] = []
        self.done: set = set()
        self.reruns: list[RunId] = []
        self._expired_ends: set[TaskId] = set()
        self.polls = 0
        self.unanswered_polls: dict[str, list[FakePoll]] = {}
        self.orders_to_lose = 0
        self.start_refusals: list[RefusalReason] = []

    def add(self, entry: WorkerEntry, run_s: float = 1.0) -> FakeWorker:
        """Start a worker, or its next incarnation."""
        worker = FakeWorker(entry, self.clock.seconds(), run_s)
        self.workers[entry.worker_id] = worker
        held_order = self._for_next_incarnation.pop(entry.worker_id, None)
        if held_order is not None:
            # The order's time is on the clock of the former incarnation, far ahead.
            self.renew(worker, LEASE_MAX_MS)
            worker.fencing_token = self._held_tokens.pop(entry.worker_id, 0)
            self.start(worker, held_order)
        return worker

    def advance(self) -> None:
        """End the runs that are due on all workers; called as time passes."""
        for worker in self.workers.values():
            self.advance_worker(worker)

    def advance_worker(self, worker: FakeWorker) -> None:
        """End the runs of one worker that are due."""
        now_s = self.clock.seconds()
        if worker.clock_ms(now_s) > worker.until_ms > 0:
            self._expired_ends.update(end.run.task for end in worker.ended)
            for run in list(worker.running.values()):
                self._lapse(worker, run)
        for run in list(worker.running.values()):
            if run.duration_s and now_s - run.started_s >= run.duration_s:
                self.end(worker, run, worker.outcome(run))

    def _lapse(self, worker: FakeWorker, run: FakeRun) -> None:
        """End a run whose lease has expired, after `lapse_s`."""
        if not self.lapse_s:
            self.end(worker, run, "lapsed")
        elif not run.is_lapsing:
            run.is_lapsing = True
            self.clock.callLater(
                self.lapse_s, self._end_if_running, worker, run.run, "lapsed"
            )

    def end(self, worker: FakeWorker, run: FakeRun, outcome: str) -> None:
        """End a run and add it to the ended list."""
        del worker.running[run.run]
        worker.last_number += 1
        end = EndedRun(worker.last_number, run.run, outcome, run.checkpoint)
        worker.ended.append(end)
        if outcome == "done":
            self.done.add(run.run.task)

    def crash(self, worker_id: str) -> None:
        """End a worker's process; what ran there is gone."""
        worker = self.workers[worker_id]
        if worker.refuses_connections:
            return
        self.crashes.append(worker_id)
        worker.refuses_connections = True
        worker.running.clear()
        worker.ended.clear()

    def hold_for_next_incarnation(
        self, worker_id: str, order: StartOrder, fencing_token: int = 0
    ) -> None:
        """Hold a start order for the next incarnation of a worker."""
        self.delays_start_to_next_incarnation = False
        self._for_next_incarnation[worker_id] = order
        self._held_tokens[worker_id] = fencing_token

    def acknowledge(self, worker: FakeWorker, number: int) -> None:
        """Drop the ended runs up to a number."""
        worker.ended = [end for end in worker.ended if end.number > number]
        worker.acknowledged_number = max(worker.acknowledged_number, number)

    def carry_out_late_polls(self, worker: FakeWorker) -> None:
        """Carry out the polls of an earlier incarnation that got no response."""
        for poll in self.unanswered_polls.pop(worker.entry.worker_id, ()):
            if poll.fencing_token >= worker.fencing_token:
                worker.fencing_token = poll.fencing_token
                self.renew(worker, poll.until_ms)
                self.acknowledge(worker, poll.acknowledged)

    def renew(self, worker: FakeWorker, until_ms: int) -> None:
        """Renew a worker's lease, up to `LEASE_MAX_MS` ahead."""
        limit_ms = worker.clock_ms(self.clock.seconds()) + LEASE_MAX_MS
        worker.until_ms = max(worker.until_ms, min(until_ms, limit_ms))

    def start(self, worker: FakeWorker, order: StartOrder) -> None:
        """Start a run; raises `OrderRefusedError` if it is superseded."""
        if order.run in worker.running:
            return
        if order.run.number <= worker.latest_numbers.get(order.run.task, 0):
            raise OrderRefusedError(RefusalReason.SUPERSEDED)
        is_running_elsewhere = any(
            run.task == order.run.task
            for other in self.workers.values()
            for run in other.running
        )
        if is_running_elsewhere or order.run.task in self.done:
            self.duplicate_starts.append(order.run)
            if not is_running_elsewhere and order.run.task in self._expired_ends:
                self.reruns.append(order.run)
        worker.latest_numbers[order.run.task] = order.run.number
        worker.running[order.run] = FakeRun(
            order.run,
            order.payload,
            order.checkpoint,
            self.clock.seconds(),
            worker.run_duration_s(order.run, order.payload),
        )
        self.starts.append((order.run, worker.entry.worker_id))
        used_milli = len(worker.running) * self.run_cores_milli
        if used_milli > worker.entry.cores_milli:
            self.overcommitted_starts.append((order.run, worker.entry.worker_id))
        if order.run.task in self.crashing_tasks:
            if not self.crash_delay_s:
                self.crash(worker.entry.worker_id)
                raise WorkerUnreachableError("connection lost")
            self.clock.callLater(
                self.crash_delay_s, self._crash_if_running, worker, order
            )

    def _crash_if_running(self, worker: FakeWorker, order: StartOrder) -> None:
        if order.run in worker.running:
            self.crash(worker.entry.worker_id)

    def stop(self, worker: FakeWorker, run_id: RunId) -> None:
        """Stop a run, after `stop_s` if it is running."""
        number = max(worker.latest_numbers.get(run_id.task, 0), run_id.number)
        worker.latest_numbers[run_id.task] = number
        if run_id in worker.running and not self.stop_s:
            self.end(worker, worker.running[run_id], "stopped")
        elif run_id in worker.running:
            self.clock.callLater(
                self.stop_s, self._end_if_running, worker, run_id, "stopped"
            )

    def _end_if_running(self, worker: FakeWorker, run_id: RunId, how: str) -> None:
        if run_id in worker.running:
            self.end(worker, worker.running[run_id], how)


class FakeFleetWorkerClient(FleetWorkerClient):
    """Worker client of one daemon.

    Parameters
    ----------
    workers : FakeWorkers
        The workers.
    clock : IReactorTime
        The daemon's clock, on which responses arrive.

    Attributes
    ----------
    unreachable : set of str
        Workers that this daemon cannot reach.
    """

    def __init__(self, workers: FakeWorkers, clock) -> None:
        self.unreachable: set[str] = set()
        self._cut_errors: dict[str, type[WorkerUnreachableError]] = {}
        self._open_calls: dict[Deferred, str] = {}
        self._loses_requests = False
        self._workers = workers
        self._clock = clock

    def cut_off(
        self,
        worker_ids: set[str],
        error: type[WorkerUnreachableError],
        loses_requests: bool = False,
    ) -> None:
        """Cut this daemon off from workers, which run on.

        Open calls are reset and new ones fail with `error`. Unless `loses_requests`
        is set, orders under way are carried out.
        """
        self._cut_errors = dict.fromkeys(worker_ids, error)
        self._loses_requests = loses_requests
        for response, worker_id in list(self._open_calls.items()):
            if worker_id in worker_ids and not response.called:
                response.errback(WorkerUnreachableError("connection reset"))

    def reconnect(self) -> None:
        """End a cut."""
        self._cut_errors.clear()

    def count_open_calls(self, worker_ids: set[str]) -> int:
        """Return the number of calls to workers that are not answered yet."""
        return sum(worker_id in worker_ids for worker_id in self._open_calls.values())

    def _open_call(self, worker_id: str) -> Deferred:
        response: Deferred = Deferred()
        self._open_calls[response] = worker_id

        def close(result):
            del self._open_calls[response]
            return result

        return response.addBoth(close)

    def _call(
        self,
        entry: WorkerEntry,
        fencing_token: int,
        action,
        sends_response: bool = True,
    ):
        # The id is the value of a header, around which spaces do not count.
        worker = self._workers.workers.get(entry.worker_id.strip())
        if entry.worker_id in self._cut_errors:
            return fail(self._cut_errors[entry.worker_id]("worker is cut off"))
        if entry.worker_id in self._workers.replaced:
            return fail(WrongIncarnationError("another worker answers"))
        if worker is not None and worker.refuses_connections:
            return fail(ConnectionRefusedByWorkerError("connection refused"))
        address = (entry.host, entry.port)
        if worker is not None and worker.address != address:
            if any(w.address == address for w in self._workers.workers.values()):
                return fail(WrongIncarnationError("another worker answers"))
            return fail(ConnectionRefusedByWorkerError("no worker at the address"))
        response = self._open_call(entry.worker_id)
        is_cut = entry.worker_id in self.unreachable
        if worker is None or is_cut or not worker.is_reachable:
            self._clock.callLater(WORKER_TIMEOUT_S, self._time_out, response)
            return response

        def deliver() -> None:
            if response.called and self._loses_requests:
                return
            self._workers.advance_worker(worker)
            if fencing_token < worker.fencing_token:
                respond(response.errback, OrderRefusedError(RefusalReason.FENCED))
                return
            worker.fencing_token = fencing_token
            try:
                result = action(worker)
            except (OrderRefusedError, WorkerUnreachableError) as error:
                respond(response.errback, error)
                return
            if sends_response:
                respond(response.callback, result)
            else:
                self._clock.callLater(WORKER_TIMEOUT_S, self._time_out, response)

        def respond(fire, result) -> None:
            if not response.called:
                fire(result)

        self._clock.callLater(WORKER_DELAY_S, deliver)
        return response

    @staticmethod
    def _time_out(response: Deferred) -> None:
        if not response.called:
            response.errback(WorkerUnreachableError("worker did not respond"))

    def start(
        self, worker, order: StartOrder, until_ms: int, fencing_token: int
    ) -> Deferred:
        """Start a run."""
        if self._workers.start_delay_s is not None:
            return self._start_late(worker, order, fencing_token)
        if self._workers.delays_start_to_next_incarnation:
            self._workers.hold_for_next_incarnation(
                worker.worker_id, order, fencing_token
            )
            response: Deferred = Deferred()
            self._clock.callLater(WORKER_TIMEOUT_S, self._time_out, response)
            return response
        lost = self._workers.orders_to_lose > 0
        self._workers.orders_to_lose -= lost

        def start_run(target: FakeWorker) -> int:
            if not until_ms:
                self._workers.invalid_starts.append(order.run)
                raise OrderRefusedError(RefusalReason.INVALID)
            if until_ms <= target.clock_ms(self._workers.clock.seconds()):
                raise OrderRefusedError(RefusalReason.EXPIRED)
            self._workers.renew(target, until_ms)
            if self._workers.start_refusals:
                raise OrderRefusedError(self._workers.start_refusals.pop(0))
            task = order.run.task
            step = StepId(task.job_id, task.occurrence, task.step)
            valid_ticket = FakeAdvice.ticket(step, target.entry.worker_id)
            if self._workers.requires_tickets and order.ticket != valid_ticket:
                raise OrderRefusedError(RefusalReason.NO_TICKET)
            self._workers.start(target, order)
            return target.clock_ms(self._clock.seconds())

        return self._call(worker, fencing_token, start_run, not lost)

    def _start_late(self, worker, order: StartOrder, fencing_token: int) -> Deferred:
        delay_s, self._workers.start_delay_s = self._workers.start_delay_s, None

        def start_run() -> None:
            target = self._workers.workers[worker.worker_id]
            now_ms = target.clock_ms(self._workers.clock.seconds())
            if fencing_token < target.fencing_token or target.until_ms <= now_ms:
                return
            try:
                self._workers.start(target, order)
            except OrderRefusedError:
                return

        self._workers.clock.callLater(delay_s, start_run)
        response: Deferred = Deferred()
        self._clock.callLater(WORKER_TIMEOUT_S, self._time_out, response)
        return response

    def stop(self, worker, run: RunId, fencing_token: int) -> Deferred:
        """Stop a run."""

        def stop_run(target: FakeWorker) -> None:
            self._workers.stop(target, run)

        return self._call(worker, fencing_token, stop_run)

    def throttle(
        self, worker, run: RunId, percent: int, fencing_token: int
    ) -> Deferred:
        """Accept a speed limit without effect."""
        return self._call(worker, fencing_token, lambda target: None)

    def poll(self, worker, fencing_token, acknowledged, until_ms, wait_ms) -> Deferred:
        """Read the running and ended runs; wait up to `wait_ms` for an ended run."""
        self._workers.polls += 1
        response = self._open_call(worker.worker_id)
        until_s = self._clock.seconds() + wait_ms / 1000

        def poll_worker(target: FakeWorker) -> PollResult:
            self._workers.renew(target, until_ms)
            self._workers.acknowledge(target, acknowledged)
            now_s = self._clock.seconds()
            running = tuple(
                RunningRun(
                    run.run, run.checkpoint, run.percent if run.duration_s else 100, 0
                )
                for run in target.running.values()
            )
            started_at_ms = target.entry.started_at_ms
            ended = tuple(target.ended[:ENDS_LISTED_MAX])
            return PollResult(target.clock_ms(now_s), started_at_ms, running, ended)

        def send_poll() -> None:
            if not response.called:
                call = self._call(worker, fencing_token, poll_worker)
                call.addCallbacks(respond_or_repeat, fail_poll)

        def fail_poll(failure) -> None:
            if failure.type is WorkerUnreachableError:
                polls = self._workers.unanswered_polls
                poll = FakePoll(fencing_token, acknowledged, until_ms)
                polls.setdefault(worker.worker_id, []).append(poll)
            if not response.called:
                response.errback(failure)

        def respond_or_repeat(poll: PollResult) -> None:
            if response.called:
                return
            if poll.ended or self._clock.seconds() >= until_s:
                response.callback(poll)
            else:
                self._clock.callLater(0.02, send_poll)

        send_poll()
        return response


class FakeAdvice(AdviceService):
    """The advice service, shared by all daemons.

    Parameters
    ----------
    clock : IReactorTime
        Clock that the test advances.

    Attributes
    ----------
    allowed : set of str
        Workers that may run any step.
    failures : int
        How many of the next calls fail.
    calls : list of (StepId, list of str)
        Step and workers of each call so far.
    """

    def __init__(self, clock) -> None:
        self._clock = clock
        self.allowed: set[str] = set()
        self.failures = 0
        self.calls: list[tuple[StepId, list[str]]] = []

    def advise(self, step: StepId, worker_ids: list[str]) -> Deferred:
        """Return tickets for the allowed workers after `ADVICE_DELAY_S`."""
        self.calls.append((step, worker_ids))
        response: Deferred = Deferred()
        if self.failures:
            self.failures -= 1
            self._clock.callLater(ADVICE_DELAY_S, self._fail, response)
            return response
        good = {
            name: self.ticket(step, name) for name in worker_ids if name in self.allowed
        }
        self._clock.callLater(ADVICE_DELAY_S, response.callback, good)
        return response

    @staticmethod
    def _fail(response: Deferred) -> None:
        response.errback(AdviceError("advice service is busy"))

    @staticmethod
    def ticket(step: StepId, worker_id: str) -> str:
        """Return the ticket for a step on a worker."""
        return f"{step.job_id}.{step.occurrence}.{step.number}@{worker_id}"


class FakePeerTransport(PeerTransport):
    """Peer transport of one daemon.

    Parameters
    ----------
    members : dict
        Transports by member id, shared by all daemons.
    """

    def __init__(self, members: dict, clock, member: str) -> None:
        self._members = members
        self._clock = clock
        self._member = member
        self._receiver = None
        self.is_down = False
        members[member] = self

    def set_key(self, key: str) -> None:
        """Ignore the key."""

    def set_peers(self, addresses) -> None:
        """Ignore the addresses: every member is reachable."""

    def set_receiver(self, receiver) -> None:
        """Set the callback for received messages."""
        self._receiver = receiver

    def send(self, member: str, message: Message) -> None:
        """Deliver a message, unless either member is down."""
        other = self._members.get(member)
        if other is None or self.is_down or other.is_down:
            return
        self._clock.callLater(0.001, other.receive, self._member, message)

    def receive(self, sender: str, message: Message) -> None:
        """Pass a message to the receiver."""
        if self._receiver is not None and not self.is_down:
            self._receiver(sender, message)
