"""RPCs between daemons, mainly to the leader."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever._logs import log_event
from dogwoodlever._peer_mesh import TcpMesh
from dogwoodlever._peer_rpc import PeerRpc
from dogwoodlever._workspace_keys import KeyCheck

# A reply takes some milliseconds; the first call after a dial is lost.
CALL_TIMEOUT_S = 0.25

JOB_METHOD = "job"
PENDING_METHOD = "pending"
# Stops a former leader; the argument is the fencing token of the later one.
STEP_DOWN_METHOD = "step-down"
# Sends peers the progress that the leader cannot store.
UNSTORED_METHOD = "unstored"
# Most jobs whose progress is kept in case the leader fails.
UNSTORED_JOBS_MAX = 5_000
# Lets the leader create a record for a daemon that cannot reach the store.
CREATE_METHOD = "create"
# Longer than the timeout of the leader's write to the store.
CREATE_TIMEOUT_S = 1.0


class CreateRequest(msgspec.Struct, frozen=True):
    """Record to create unless it exists.

    Attributes
    ----------
    check : KeyCheck or None
        Check of the caller's key, which names the conditions of the write; None if
        the configuration has no workspaces.
    """

    key: str
    value: bytes
    check: KeyCheck | None = None


class CreateReply(msgspec.Struct, frozen=True):
    """Outcome of a request to create a record."""

    outcome: str


class LeaderReply(msgspec.Struct, frozen=True):
    """Reply of a daemon to a call about jobs.

    Attributes
    ----------
    leads : bool
        Whether the daemon leads and has loaded all jobs.
    phase : str
        Phase of the job; empty if the job is unknown.
    pending : int
        Number of jobs of the queue that have not started any task.
    pending_by_queue : dict of str to int or None
        The same for all queues that have such jobs; None if the daemon does not tell.
    state_bytes, state_bytes_max : int
        Memory of the leader's jobs, and its limit; 0 if it does not tell.
    can_write : bool
        Whether the daemon can reach the store.
    workspace : str or None
        Workspace of the job, empty for none; None if the daemon does not tell.
    can_lead : bool
        Whether the daemon can succeed a leader that stops.
    configuration_version : int
        Version of the configuration in force at the daemon; 0 if it does not tell.
    last_term : int
        Last term that the daemon led and whose leader it has closed; 0 if there is
        none or it does not tell.
    former_leases_left_s : float
        Time until the workers' leases from leaders before that term have expired.
    inbox_age_s : float
        How long ago the store last told the leader of submissions and cancellations;
        0 if it does not tell.
    """

    leads: bool
    phase: str = ""
    pending: int = 0
    can_write: bool = False
    workspace: str | None = None
    can_lead: bool = True
    configuration_version: int = 0
    pending_by_queue: dict[str, int] | None = None
    state_bytes: int = 0
    state_bytes_max: int = 0
    last_term: int = 0
    former_leases_left_s: float = 0.0
    inbox_age_s: float = 0.0


def format_member_id(vm: str, host: str, port: int, incarnation: str) -> str:
    """Return a member id, which contains the member's address."""
    return f"{vm}@{host}:{port}#{incarnation}"


def parse_member_address(member: str) -> tuple[str, int]:
    """Return the address in a member id."""
    address = member.partition("@")[2].partition("#")[0]
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_same_daemon(member: str, other: str) -> bool:
    """Return whether two members are processes of one VM at one address."""
    return member.partition("#")[0] == other.partition("#")[0]


class FleetRpc:
    """Calls other daemons and handles their calls.

    Parameters
    ----------
    mesh : TcpMesh
        Connections between daemons.
    clock : IReactorTime
        Reactor clock.
    handlers : dict of str to callable
        By method, a callable from the call's argument to a `LeaderReply`.
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
        for method, handler in handlers.items():
            self._rpc.register(method, _encode_replies(handler))
        self._rpc.register(UNSTORED_METHOD, self._keep_unstored)
        # Encoded progress by job, as leaders sent it.
        self.unstored_progress: dict[str, bytes] = {}
        # Called with the version in force at a daemon that replied, and its id.
        self.on_version_seen: Callable[[int, str], None] = lambda version, member: None
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
        """Send progress that cannot be stored to all known daemons.

        A successor restores it, so that finished tasks are not run again although
        their worker may have left by then.
        """
        body = msgspec.msgpack.encode(progress)
        for member in self._addresses:
            self._rpc.call(member, UNSTORED_METHOD, body, CALL_TIMEOUT_S)

    def peers(self) -> tuple[str, ...]:
        """Return the daemons that have called this one or that it has called."""
        return tuple(self._addresses)

    def register_create(
        self, create: Callable[[str, bytes, KeyCheck | None], Deferred]
    ) -> None:
        """Register the handler that creates records; it returns a Deferred outcome."""

        def handle_create(body: bytes) -> Deferred:
            request = msgspec.msgpack.decode(body, type=CreateRequest)
            created = create(request.key, request.value, request.check)
            return created.addCallback(
                lambda outcome: msgspec.msgpack.encode(CreateReply(str(outcome)))
            )

        self._rpc.register_deferred(CREATE_METHOD, handle_create)

    @inlineCallbacks
    def create(
        self, member: str, key: str, value: bytes, check: KeyCheck | None = None
    ):
        """Let a member create a record, under the conditions of a key's check.

        Returns a Deferred that fires with a `CreateReply`, or None without one.
        """
        self._add_peer(member)
        body = msgspec.msgpack.encode(CreateRequest(key, value, check))
        reply = yield self._rpc.call(member, CREATE_METHOD, body, CREATE_TIMEOUT_S)
        return _decode_reply(member, reply, CreateReply)

    def set_leader(self, member: str, key: str) -> None:
        """Set the leader, and dial it before the first call."""
        self._mesh.set_key(key)
        self._addresses.clear()
        self._add_peer(member)
        self.call(member, PENDING_METHOD, "")

    @inlineCallbacks
    def call(self, member: str, method: str, argument: str):
        """Call a member; return a Deferred that fires with a `LeaderReply`, or None.

        The reply may come from a later process at the member's address.
        """
        self._add_peer(member)
        reply = yield self._rpc.call(member, method, argument.encode(), CALL_TIMEOUT_S)
        decoded = _decode_reply(member, reply, LeaderReply)
        if decoded is not None:
            self.on_version_seen(decoded.configuration_version, member)
        return decoded


def _decode_reply(member: str, reply: bytes | None, reply_type):
    """Decode a reply; one that cannot be decoded counts as none."""
    if reply is None:
        return None
    try:
        return msgspec.msgpack.decode(reply, type=reply_type)
    except (ValueError, RecursionError) as error:
        # RecursionError: nested too deeply.
        log_event("rpc.unreadable", member=member, why=str(error)[:200])
        return None


def _encode_replies(handler: Callable[[str], LeaderReply]):
    return lambda body: msgspec.msgpack.encode(handler(body.decode()))
