"""Fakes of the interfaces in one process, on a clock that tests advance."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.error import AlreadyCalled
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer

from dogwoodlever.peers import Message, PeerTransport, decode, encode
from dogwoodlever.platform_clients import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    Store,
    SyncRequest,
    VMList,
    VMStates,
    WorkerClient,
    WriteResult,
)
from dogwoodlever.platform_errors import (
    IncompleteResponseError,
    RequestNotSentError,
    StoreUnavailableError,
    WorkerUnreachableError,
)
from standins.backend_slots import BackendSlots
from standins.key_values import KeyValues
from standins.worker_machine import WorkerMachine

STORE_DELAY_S = 0.002
STORE_TIMEOUT_S = 1.0
PEER_DELAY_S = 0.0014
WORKER_DELAY_S = 0.001
WORKER_TIMEOUT_S = 2.0
VM_LIST_LAG_S = 3.0


class ProcessCall:
    """A delayed call of one process; it may be due while the process is frozen."""

    __slots__ = ("_action", "_delayed", "_done")

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._delayed = None
        self._done = False

    def schedule(self, clock, delay_s: float, due: Callable) -> None:
        """Let `clock` call `due` with this call."""
        self._delayed = clock.callLater(delay_s, due, self)

    def run(self) -> None:
        """Run the action unless it was cancelled."""
        if not self._done:
            self._done = True
            self._action()

    def active(self) -> bool:
        """Tell whether the action is still to run."""
        return not self._done

    def cancel(self) -> None:
        """Cancel the action."""
        if self._done:
            raise AlreadyCalled
        self._done = True
        if self._delayed.active():
            self._delayed.cancel()

    def getTime(self) -> float:  # noqa: N802
        """Return when the action is due."""
        return self._delayed.getTime()


@implementer(IReactorTime)
class ProcessClock:
    """Clock of one process, which can be frozen or ended.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
        Clock that the test advances.
    """

    def __init__(self, clock) -> None:
        self._clock = clock
        self._frozen = False
        self._dead = False
        self._held: list[ProcessCall] = []

    def seconds(self) -> float:
        """Return the time."""
        return self._clock.seconds()

    def callLater(self, delay, callable, *args, **kw):  # noqa: A002, N802
        """Call later, but not while the process is frozen."""
        call = ProcessCall(lambda: callable(*args, **kw))
        call.schedule(self._clock, delay, self._due)
        return call

    def getDelayedCalls(self):  # noqa: N802
        """Return the delayed calls of all processes."""
        return self._clock.getDelayedCalls()

    def _due(self, call: ProcessCall) -> None:
        if self._dead:
            return
        if self._frozen:
            self._held.append(call)
            return
        call.run()

    def freeze(self) -> None:
        """Hold everything that would run."""
        self._frozen = True

    def thaw(self) -> None:
        """Run what was held, in order."""
        self._frozen = False
        held, self._held = self._held, []
        for call in held:
            call.run()

    def kill(self) -> None:
        """Run nothing any more."""
        self._dead = True

    @property
    def is_alive(self) -> bool:
        """Tell whether the process is alive."""
        return not self._dead


class FakeStore(Store):
    """Store interface of one process over shared values.

    Parameters
    ----------
    values : KeyValues
        Values and their faults.
    clock : ProcessClock
        The process's clock.
    """

    def __init__(self, values: KeyValues, clock: ProcessClock) -> None:
        self._values = values
        self._clock = clock
        self.is_unreachable = False
        self.loses_lists = False

    def _call(self, action: Callable, is_write: bool) -> Deferred:
        answered: Deferred = Deferred()
        if self.is_unreachable or self._values.faults.down:
            self._clock.callLater(STORE_TIMEOUT_S, self._fail, answered)
            return answered
        self._clock.callLater(STORE_DELAY_S / 2, self._act, action, is_write, answered)
        return answered

    def _act(self, action, is_write, answered) -> None:
        if self.is_unreachable or self._values.faults.down:
            self._clock.callLater(STORE_TIMEOUT_S, self._fail, answered)
            return
        result = action()
        if is_write and self._values.loses_answer():
            self._clock.callLater(STORE_TIMEOUT_S, self._fail, answered)
            return
        delay_s = STORE_DELAY_S / 2 + self._values.faults.delay_s
        if delay_s > STORE_TIMEOUT_S:
            self._clock.callLater(STORE_TIMEOUT_S, self._fail, answered)
            return
        self._clock.callLater(delay_s, answered.callback, result)

    def _fail(self, answered: Deferred) -> None:
        answered.errback(StoreUnavailableError("no answer"))

    def list_versions(self, prefix: str) -> Deferred:
        """Return the versions by key."""
        if self.loses_lists:
            answered: Deferred = Deferred()
            self._clock.callLater(STORE_TIMEOUT_S, self._fail, answered)
            return answered
        return self._call(lambda: self._values.list_versions(prefix), False)

    def read(self, key: str) -> Deferred:
        """Return an entry or None."""
        return self._call(lambda: self._values.read(key), False)

    def write(self, key: str, value: bytes, expected_version: int) -> Deferred:
        """Write by compare-and-swap."""

        def act() -> WriteResult:
            done = self._values.write(key, value, expected_version)
            return WriteResult(done, self._values.entries.get(key))

        return self._call(act, True)

    def delete(self, key: str, expected_version: int) -> Deferred:
        """Delete by compare-and-swap."""
        return self._call(lambda: self._values.delete(key, expected_version), True)


class FakeNetwork:
    """Connections between the daemons of one process.

    Attributes
    ----------
    partitioned_pairs : set of frozenset of str
        Pairs of daemons that do not reach each other.
    duplicates_messages : bool
        Whether each message arrives twice.
    extra_delay_s : float
        Added to each message.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.duplicates_messages = False
        self.extra_delay_s = 0.0
        self.bytes_sent = 0
        self.messages_sent = 0
        self._transports: dict[str, FakeTransport] = {}

    def join(self, transport: "FakeTransport") -> None:
        """Add a daemon's transport."""
        self._transports[transport.member] = transport

    def deliver(self, sender: str, member: str, data: bytes) -> None:
        """Carry a message, unless the two are cut off."""
        pair = frozenset({sender.partition("#")[0], member.partition("#")[0]})
        receiver = self._transports.get(member)
        if receiver is None or pair in self.partitioned_pairs:
            return
        self.bytes_sent += len(data) + 4
        self.messages_sent += 1
        delay_s = PEER_DELAY_S + self.extra_delay_s
        for copy in range(2 if self.duplicates_messages else 1):
            receiver.clock.callLater(
                delay_s * (1 + copy), receiver.received, sender, data
            )


class FakeTransport(PeerTransport):
    """Peer transport of one daemon over the fake network."""

    def __init__(
        self, network: FakeNetwork, member: str, clock: ProcessClock, wire: bool = True
    ) -> None:
        self._network = network
        self._receiver = None
        self._peers: set[str] = set()
        self.member = member
        self.clock = clock
        network.join(self)

    def set_peers(self, addresses: dict) -> None:
        """Set the members that messages may go to."""
        self._peers = set(addresses)

    def set_receiver(self, receiver) -> None:
        """Set what takes messages."""
        self._receiver = receiver

    def send(self, member: str, message: Message) -> None:
        """Send through the network, encoded as on the wire."""
        if member in self._peers:
            self._network.deliver(self.member, member, encode(message))

    def received(self, sender: str, data: bytes) -> None:
        """Hand a message to the daemon."""
        self._receiver(sender, decode(data))


class FakeWorkers(WorkerClient):
    """Access of one process to the worker machines."""

    def __init__(self, machines: dict[str, WorkerMachine], clock: ProcessClock) -> None:
        self._machines = machines
        self._clock = clock
        self.unreachable: set[str] = set()

    def sync(self, worker: str, host: str, port: int, request: SyncRequest):
        """Carry a synchronisation there and its report back."""
        answered: Deferred = Deferred()
        self._clock.callLater(WORKER_DELAY_S, self._act, worker, request, answered)
        return answered

    def _act(self, worker: str, request: SyncRequest, answered: Deferred) -> None:
        machine = self._machines[worker]
        if machine.off or worker in self.unreachable:
            self._clock.callLater(WORKER_TIMEOUT_S, self._fail, worker, answered)
            return
        report = machine.sync(request, self._clock.seconds())
        self._clock.callLater(WORKER_DELAY_S, answered.callback, report)

    def _fail(self, worker: str, answered: Deferred) -> None:
        answered.errback(WorkerUnreachableError(worker))


@dataclass(slots=True)
class BackendFaults:
    """Faults of one backend server.

    Attributes
    ----------
    refuses : bool
        Connections are refused before anything is written.
    breaks : bool
        Connections close in mid-answer; the request runs to its end.
    hangs : bool
        Requests run for the longest time and bring no answer.
    slowness : float
        Factor on the service time.
    """

    refuses: bool = False
    breaks: bool = False
    hangs: bool = False
    slowness: float = 1.0


@dataclass(slots=True)
class FakeServer:
    """A backend server: slots, faults and its service times."""

    slots: BackendSlots
    service_s: Callable[[], float]
    faults: BackendFaults = field(default_factory=BackendFaults)


class FakeBackends(BackendClient):
    """Access of one process to the backend servers, by port.

    Parameters
    ----------
    servers : dict of int to FakeServer
        Servers by port.
    clock : ProcessClock
        The process's clock, for answers.
    world : twisted.internet.task.Clock
        The servers' clock: a request that was written runs on whatever
        happens to the process.
    """

    def __init__(self, servers: dict[int, FakeServer], clock, world) -> None:
        self._servers = servers
        self._clock = clock
        self._world = world

    def send(self, host: str, port: int, request: BackendRequest, reuse: bool):
        """Run a request on a server."""
        answered: Deferred = Deferred()
        server = self._servers[port]
        if server.faults.refuses:
            self._later(0.001, answered.errback, RequestNotSentError("refused"))
            return answered
        now_s = self._world.seconds()
        served = server.slots.start(request.body.decode(), now_s)
        if served is None:
            answer = BackendResponse(503, (), b"over its slots")
            self._later(0.001, answered.callback, answer)
            return answered
        duration_s = server.service_s() * server.faults.slowness
        if server.faults.hangs:
            duration_s = 3.0
        self._world.callLater(duration_s, self._end, server, served, answered)
        if server.faults.breaks:
            error = IncompleteResponseError("closed in mid-answer")
            self._later(duration_s / 2, answered.errback, error)
        return answered

    def _later(self, delay_s: float, action: Callable, argument) -> None:
        self._clock.callLater(delay_s, action, argument)

    def _end(self, server: FakeServer, served, answered: Deferred) -> None:
        server.slots.end(served, self._world.seconds())
        if server.faults.hangs or answered.called or server.faults.breaks:
            return
        body = f"{served.server} ran {served.request}".encode()
        self._later(0.0, answered.callback, BackendResponse(200, (), body))


class FakeVMList(VMList):
    """VM list of one process; it shows a dead VM for a while."""

    def __init__(
        self,
        machines: dict[str, WorkerMachine],
        leaving: set[str],
        clock: ProcessClock,
    ) -> None:
        self._machines = machines
        self._leaving = leaving
        self._clock = clock

    def read(self) -> Deferred:
        """Return what is listed."""
        now_s = self._clock.seconds()
        listed = frozenset(
            name
            for name, machine in self._machines.items()
            if not (machine.off and now_s - machine.off_s > VM_LIST_LAG_S)
        )
        answered: Deferred = Deferred()
        states = VMStates(listed, frozenset(self._leaving))
        self._clock.callLater(0.001, answered.callback, states)
        return answered
