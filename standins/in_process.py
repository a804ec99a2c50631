"""In-process fakes of the daemons' clients, on a clock that tests advance."""

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
    """A delayed call of one process, held back while the process is frozen."""

    __slots__ = ("_action", "_delayed", "_done")

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._delayed = None
        self._done = False

    def schedule(self, clock, delay_s: float, callback: Callable) -> None:
        """Schedule `callback` on `clock`, called with this object."""
        self._delayed = clock.callLater(delay_s, callback, self)

    def run(self) -> None:
        """Run the action, unless it has run or was cancelled."""
        if not self._done:
            self._done = True
            self._action()

    def active(self) -> bool:
        """Return whether the action is pending."""
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
    """Clock of one process that tests can freeze or kill.

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
        """Return the time in seconds."""
        return self._clock.seconds()

    def callLater(self, delay, callable, *args, **kw):  # noqa: A002, N802
        """Schedule a call; it is held back while the process is frozen."""
        call = ProcessCall(lambda: callable(*args, **kw))
        call.schedule(self._clock, delay, self._run_or_hold)
        return call

    def getDelayedCalls(self):  # noqa: N802
        """Return the delayed calls of all processes."""
        return self._clock.getDelayedCalls()

    def run(self, function, *arguments) -> None:
        """Make a call now, or when the process resumes if it is frozen."""
        self._run_or_hold(ProcessCall(lambda: function(*arguments)))

    def _run_or_hold(self, call: ProcessCall) -> None:
        if self._dead:
            return
        if self._frozen:
            self._held.append(call)
            return
        call.run()

    def freeze(self) -> None:
        """Hold back all calls that become due."""
        self._frozen = True

    def thaw(self) -> None:
        """Run the calls held back, in the order in which they became due."""
        self._frozen = False
        held, self._held = self._held, []
        for call in held:
            call.run()

    def kill(self) -> None:
        """Drop all calls from now on."""
        self._dead = True

    @property
    def is_alive(self) -> bool:
        """Return whether the process is alive."""
        return not self._dead


class SocketBuffers:
    """Client of a process whose answers wait in its sockets while it is frozen.

    Other processes carry out its calls meanwhile.

    Parameters
    ----------
    client : object
        Client whose methods return Deferreds, on the clock that the test advances.
    clock : ProcessClock
        Clock of the process.
    """

    def __init__(self, client, clock: ProcessClock) -> None:
        self._client = client
        self._clock = clock

    def __getattr__(self, name: str):
        """Return a method of the client."""
        method = getattr(self._client, name)

        def call(*arguments) -> Deferred:
            answer: Deferred = Deferred()
            method(*arguments).addBoth(
                lambda result: self._clock.run(answer.callback, result)
            )
            return answer

        return call


class FakeStore(Store):
    """Store client of one process over shared values.

    Parameters
    ----------
    values : KeyValues
        Shared values and the faults of the store.
    clock : ProcessClock
        The process's clock.

    Attributes
    ----------
    is_unreachable : bool
        Calls of this process time out.
    loses_lists : bool
        Lists of this process time out; other calls work.
    """

    def __init__(self, values: KeyValues, clock: ProcessClock) -> None:
        self._values = values
        self._clock = clock
        self.is_unreachable = False
        self.loses_lists = False

    def _call(self, action: Callable, is_write: bool) -> Deferred:
        response: Deferred = Deferred()
        if self.is_unreachable or self._values.faults.down:
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return response
        self._clock.callLater(
            STORE_DELAY_S / 2, self._perform, action, is_write, response
        )
        return response

    def _perform(self, action, is_write, response) -> None:
        if self.is_unreachable or self._values.faults.down:
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return
        result = action()
        if is_write and self._values.consume_lost_answer():
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return
        delay_s = STORE_DELAY_S / 2 + self._values.faults.delay_s
        if delay_s > STORE_TIMEOUT_S:
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return
        self._clock.callLater(delay_s, response.callback, result)

    def _time_out(self, response: Deferred) -> None:
        response.errback(StoreUnavailableError("store did not respond"))

    def list_versions(self, prefix: str) -> Deferred:
        """Return the version of each key under a prefix."""
        if self.loses_lists:
            response: Deferred = Deferred()
            self._clock.callLater(STORE_TIMEOUT_S, self._time_out, response)
            return response
        return self._call(lambda: self._values.list_versions(prefix), False)

    def read(self, key: str) -> Deferred:
        """Return an entry, or None if the key is absent."""
        return self._call(lambda: self._values.read(key), False)

    def write(self, key: str, value: bytes, expected_version: int) -> Deferred:
        """Write by compare-and-swap."""

        def write() -> WriteResult:
            is_written = self._values.write(key, value, expected_version)
            return WriteResult(is_written, self._values.entries.get(key))

        return self._call(write, True)

    def delete(self, key: str, expected_version: int) -> Deferred:
        """Delete by compare-and-swap."""
        return self._call(lambda: self._values.delete(key, expected_version), True)


class FakeNetwork:
    """Network between the daemons of one process.

    Attributes
    ----------
    partitioned_pairs : set of frozenset of str
        Pairs of daemon names that cannot reach each other.
    duplicates_messages : bool
        Each message arrives twice.
    extra_delay_s : float
        Added to the delay of each message.
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
        """Deliver a message, unless the pair is partitioned."""
        pair = frozenset({sender.partition("#")[0], member.partition("#")[0]})
        receiver = self._transports.get(member)
        if receiver is None or pair in self.partitioned_pairs:
            return
        self.bytes_sent += len(data) + 4
        self.messages_sent += 1
        delay_s = PEER_DELAY_S + self.extra_delay_s
        for copy in range(2 if self.duplicates_messages else 1):
            receiver.clock.callLater(
                delay_s * (1 + copy), receiver.receive, sender, data
            )


class FakeTransport(PeerTransport):
    """Peer transport of one daemon over a `FakeNetwork`."""

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
        """Set the members that messages are sent to."""
        self._peers = set(addresses)

    def set_receiver(self, receiver) -> None:
        """Set the callback for received messages."""
        self._receiver = receiver

    def send(self, member: str, message: Message) -> None:
        """Send an encoded message to a known member, else drop it."""
        if member in self._peers:
            self._network.deliver(self.member, member, encode(message))

    def receive(self, sender: str, data: bytes) -> None:
        """Decode a message and pass it to the receiver."""
        self._receiver(sender, decode(data))


class FakeWorkerClient(WorkerClient):
    """Worker client of one process.

    Attributes
    ----------
    unreachable : set of str
        Workers that this process cannot reach.
    """

    def __init__(self, machines: dict[str, WorkerMachine], clock: ProcessClock) -> None:
        self._machines = machines
        self._clock = clock
        self.unreachable: set[str] = set()

    def sync(self, worker: str, host: str, port: int, request: SyncRequest):
        """Send a sync request; return a Deferred of the worker's report."""
        response: Deferred = Deferred()
        self._clock.callLater(WORKER_DELAY_S, self._perform, worker, request, response)
        return response

    def _perform(self, worker: str, request: SyncRequest, response: Deferred) -> None:
        machine = self._machines[worker]
        if machine.off or worker in self.unreachable:
            self._clock.callLater(WORKER_TIMEOUT_S, self._time_out, worker, response)
            return
        report = machine.sync(request, self._clock.seconds())
        self._clock.callLater(WORKER_DELAY_S, response.callback, report)

    def _time_out(self, worker: str, response: Deferred) -> None:
        response.errback(WorkerUnreachableError(worker))


@dataclass(slots=True)
class BackendFaults:
    """Faults of one backend server.

    Attributes
    ----------
    refuses : bool
        Connections are refused before any bytes are sent.
    breaks : bool
        Connections close during the response; the request still runs to its end.
    hangs : bool
        Requests run for the longest time, 3 s, and get no response.
    slowness : float
        Factor on the service time.
    """

    refuses: bool = False
    breaks: bool = False
    hangs: bool = False
    slowness: float = 1.0


@dataclass(slots=True)
class FakeBackendServer:
    """A backend server with its slots, faults and service times."""

    slots: BackendSlots
    service_s: Callable[[], float]
    faults: BackendFaults = field(default_factory=BackendFaults)


class FakeBackendClient(BackendClient):
    """Backend client of one process.

    Parameters
    ----------
    servers : dict of int to FakeServer
        Servers by port.
    clock : ProcessClock
        The process's clock, on which responses arrive.
    server_clock : twisted.internet.task.Clock
        The servers' clock; a sent request runs to its end even if the process dies.
    """

    def __init__(
        self, servers: dict[int, FakeBackendServer], clock, server_clock
    ) -> None:
        self._servers = servers
        self._clock = clock
        self._server_clock = server_clock

    def send(self, host: str, port: int, request: BackendRequest, reuse: bool):
        """Run a request on the server at a port."""
        response: Deferred = Deferred()
        server = self._servers[port]
        if server.faults.refuses:
            self._respond_later(
                0.001, response.errback, RequestNotSentError("connection refused")
            )
            return response
        now_s = self._server_clock.seconds()
        served = server.slots.start(request.body.decode(), now_s)
        if served is None:
            rejection = BackendResponse(503, (), b"over its slots")
            self._respond_later(0.001, response.callback, rejection)
            return response
        duration_s = server.service_s() * server.faults.slowness
        if server.faults.hangs:
            duration_s = 3.0
        self._server_clock.callLater(duration_s, self._end, server, served, response)
        if server.faults.breaks:
            error = IncompleteResponseError("connection closed during the response")
            self._respond_later(duration_s / 2, response.errback, error)
        return response

    def _respond_later(self, delay_s: float, action: Callable, argument) -> None:
        self._clock.callLater(delay_s, action, argument)

    def _end(self, server: FakeBackendServer, served, response: Deferred) -> None:
        server.slots.end(served, self._server_clock.seconds())
        if server.faults.hangs or response.called or server.faults.breaks:
            return
        body = f"{served.server} ran {served.request}".encode()
        self._respond_later(0.0, response.callback, BackendResponse(200, (), body))


class FakeVMList(VMList):
    """VM list client of one process; a dead VM stays listed for `VM_LIST_LAG_S`."""

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
        """Return a Deferred of the `VMStates`."""
        now_s = self._clock.seconds()
        listed = frozenset(
            name
            for name, machine in self._machines.items()
            if not (machine.off and now_s - machine.off_s > VM_LIST_LAG_S)
        )
        response: Deferred = Deferred()
        states = VMStates(listed, frozenset(self._leaving))
        self._clock.callLater(0.001, response.callback, states)
        return response
