"""Questions between daemons, to the leader above all."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever._peer_mesh import TcpMesh
from dogwoodlever._peer_rpc import PeerRpc

# A reply takes some milliseconds; the first question after a dial is lost.
CALL_TIMEOUT_S = 0.25

JOB_METHOD = "job"
PENDING_METHOD = "pending"
# Asks a former leader to stop; names the fence of the later one.
STEP_DOWN_METHOD = "step-down"


# Tells daemons of progress that the leader cannot store.
UNSTORED_METHOD = "unstored"
# Most jobs whose progress is held for a leader that may die.
UNSTORED_JOBS_MAX = 5_000
# Asks the leader to create a record for a daemon that the store turns away.
CREATE_METHOD = "create"
# The store answers within its own timeout.
CREATE_TIMEOUT_S = 1.0


class CreateRequest(msgspec.Struct, frozen=True):
    """A record to create unless it exists."""

    key: str
    value: bytes


class CreateReply(msgspec.Struct, frozen=True):
    """What became of a record that was to be created."""

    outcome: str


class LeaderReply(msgspec.Struct, frozen=True):
    """What a daemon answers to a question about jobs.

    Attributes
    ----------
    leads : bool
        Whether it leads and has loaded all jobs.
    phase : str
        Phase of the job; empty if it does not know the job.
    pending : int
        Jobs of the queue that have started nothing.
    can_write : bool
        Whether it reaches the store.
    """

    leads: bool
    phase: str = ""
    pending: int = 0
    can_write: bool = False


def format_member_id(vm: str, host: str, port: int, incarnation: str) -> str:
    """Return a member id, which tells where the member listens."""
    return f"{vm}@{host}:{port}#{incarnation}"


def parse_member_address(member: str) -> tuple[str, int]:
    """Return the address in a member id."""
    address = member.partition("@")[2].partition("#")[0]
    host, _, port = address.rpartition(":")
    return host, int(port)


class FleetRpc:
    """Asks the leader and answers the daemons that ask this one.

    Parameters
    ----------
    mesh : TcpMesh
        Connections.
    clock : IReactorTime
        Runtime's clock.
    handlers : dict of str to callable
        By topic, what returns the `LeaderReply` to a question's text.
    """

    def __init__(
        self,
        mesh: TcpMesh,
        clock,
        handlers: dict[str, Callable[[str], LeaderReply]],
    ) -> None:
        self._mesh = mesh
        self._clock = clock
        self._addresses: dict[str, tuple[str, int]] = {}
        self._rpc = PeerRpc(mesh, clock)
        for topic, handler in handlers.items():
            self._rpc.register(topic, _encode_replies(handler))
        self._rpc.register(UNSTORED_METHOD, self._keep_unstored)
        # Encoded progress by job, as leaders told of it.
        self.unstored_progress: dict[str, bytes] = {}
        mesh.set_receiver(self._on_message)

    def _on_message(self, sender: str, message) -> None:
        self._add_peer(sender)
        self._rpc.handle_message(sender, message)

    def _add_peer(self, member: str) -> None:
        if member not in self._addresses:
            self._addresses[member] = parse_member_address(member)
            self._mesh.set_peers(self._addresses)

    def _keep_unstored(self, body: bytes) -> bytes:
        self.unstored_progress.update(
            msgspec.msgpack.decode(body, type=dict[str, bytes])
        )
        while len(self.unstored_progress) > UNSTORED_JOBS_MAX:
            del self.unstored_progress[next(iter(self.unstored_progress))]
        return b""

    def broadcast_unstored(self, progress: dict[str, bytes]) -> None:
        """Let all known daemons hold progress that cannot be stored now.

        A successor takes it over, so work that was seen to be done is not done
        again, although its worker may be gone by then.
        """
        body = msgspec.msgpack.encode(progress)
        for member in self._addresses:
            self._rpc.call(member, UNSTORED_METHOD, body, CALL_TIMEOUT_S)

    def register_create(self, create: Callable[[str, bytes], Deferred]) -> None:
        """Set what creates records for peers; its Deferred gives the outcome."""

        def handle_create(body: bytes) -> Deferred:
            request = msgspec.msgpack.decode(body, type=CreateRequest)
            created = create(request.key, request.value)
            return created.addCallback(
                lambda outcome: msgspec.msgpack.encode(CreateReply(str(outcome)))
            )

        self._rpc.register_deferred(CREATE_METHOD, handle_create)

    @inlineCallbacks
    def create(self, member: str, key: str, value: bytes):
        """Let a member create a record; gives a `CreateReply` or None."""
        self._add_peer(member)
        body = msgspec.msgpack.encode(CreateRequest(key, value))
        reply = yield self._rpc.call(member, CREATE_METHOD, body, CREATE_TIMEOUT_S)
        if reply is None:
            return None
        return msgspec.msgpack.decode(reply, type=CreateReply)

    def set_leader(self, member: str, key: str) -> None:
        """Learn who leads, and dial it before the first question."""
        self._mesh.set_key(key)
        self._addresses.clear()
        self._add_peer(member)
        self.call(member, PENDING_METHOD, "")

    @inlineCallbacks
    def call(self, member: str, topic: str, argument: str):
        """Ask a member; gives its `LeaderReply`, or None without one.

        Whoever listens at the member's address now answers.
        """
        self._add_peer(member)
        reply = yield self._rpc.call(member, topic, argument.encode(), CALL_TIMEOUT_S)
        if reply is None:
            return None
        return msgspec.msgpack.decode(reply, type=LeaderReply)


def _encode_replies(handler: Callable[[str], LeaderReply]):
    return lambda body: msgspec.msgpack.encode(handler(body.decode()))
