"""Node of a daemon: its roles, wired together on one clock."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from dogwoodlever import _record_keys as keys
from dogwoodlever._burn import BurnCounter
from dogwoodlever._cell_assignment import cell_names, cell_quotas, cell_workers
from dogwoodlever._cell_role import CellRole, OwnerRecord
from dogwoodlever._chart import Chart
from dogwoodlever._configuration_role import ConfigurationRole
from dogwoodlever._idempotency_store import IdempotencyStore
from dogwoodlever._interfaces import (
    BackendClient,
    Store,
    VMList,
    VMStates,
    WorkerClient,
)
from dogwoodlever._logs import log_event
from dogwoodlever._members import Member
from dogwoodlever._membership_role import MAINTAIN_INTERVAL_S, MembershipRole
from dogwoodlever._messages import (
    LendSlots,
    Message,
    ReturnSlots,
    RpcReply,
    RpcRequest,
    WantSlots,
)
from dogwoodlever._metrics import Metrics
from dogwoodlever._peer_mesh import PeerTransport
from dogwoodlever._peer_rpc import PeerRpc
from dogwoodlever._request_trace import RequestTraceBuffer
from dogwoodlever._service_role import ServiceRole
from dogwoodlever._site import DaemonSettings
from dogwoodlever._store_follower import StoreFollower
from dogwoodlever.platform_errors import PlatformError

DAEMON_CHART = Chart.load("daemon")
CELL_STEP_INTERVAL_S = 0.25
TICK_INTERVAL_S = 0.02
VM_LIST_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.1


@dataclass(slots=True, frozen=True)
class Dependencies:
    """Clients of the platform and the peers that a node depends on."""

    store: Store
    workers: WorkerClient
    backends: BackendClient
    vm_list: VMList
    peers: PeerTransport


class Node:
    """All roles of one daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    incarnation : str
        Distinguishes this process from earlier ones of the same daemon.
    dependencies : Dependencies
        Clients of the platform and the peers.
    clock : IReactorTime
        Reactor clock.
    wall_time : callable
        Returns the Unix time in seconds; only for request traces, task histories,
        times of configuration changes and the expiry of idempotency records.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: str,
        dependencies: Dependencies,
        clock,
        wall_time: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.member_id = f"{settings.daemon}#{incarnation}"
        self.dependencies = dependencies
        self.clock = clock
        self.wall_time = wall_time
        self.state = DAEMON_CHART.initial
        self.metrics = Metrics(settings.statsd_host, settings.statsd_port)
        self.follower = StoreFollower(dependencies.store, clock)
        self.configuration = ConfigurationRole(self.follower, wall_time)
        self.membership = MembershipRole(
            self.member_id,
            self._create_entry(),
            self.follower,
            dependencies.peers,
            clock,
        )
        self.idempotency_keys = IdempotencyStore(dependencies.store, clock, wall_time)
        self.traces = RequestTraceBuffer()
        self.burn = BurnCounter(settings.data_centre)
        self.rpc = PeerRpc(dependencies.peers, clock)
        self.services: dict[str, ServiceRole] = {}
        self.cells: dict[str, CellRole] = {}
        # Requests of callers that wait for a response.
        self.open_requests = 0
        self._vms = VMStates()
        self._loops: list[LoopingCall] = []
        self.on_stopped: Callable[[], None] | None = None
        self.configuration.on_change(self._configuration_changed)
        self.membership.on_change(self._members_changed)
        dependencies.peers.set_receiver(self.handle_message)

    def _create_entry(self) -> Member:
        s = self.settings
        return Member(
            s.daemon,
            s.data_centre,
            s.host,
            s.peers_port,
            s.operators_port,
            s.callers_port,
        )

    def start(self) -> None:
        """Start the periodic actions."""
        limits = self.membership.limits
        self.call_every(limits.poll_interval_s, self.follower.poll)
        self.call_every(limits.heartbeat_interval_s, self.membership.send_heartbeats)
        self.call_every(MAINTAIN_INTERVAL_S, self._maintain)
        self.call_every(CELL_STEP_INTERVAL_S, self._step_cells)
        self.call_every(limits.worker_sync_interval_s, self._sync_workers)
        self.call_every(TICK_INTERVAL_S, self._tick)
        self.call_every(VM_LIST_INTERVAL_S, self._read_vm_list)
        log_event("daemon.started", member=self.member_id)

    def call_every(self, interval_s: float, action: Callable) -> None:
        """Call `action` at an interval until the node has stopped."""
        loop = LoopingCall(self._run_periodic, action)
        loop.clock = self.clock
        self._loops.append(loop)
        loop.start(interval_s)

    def _run_periodic(self, action: Callable) -> None:
        """Run a periodic action; log an error, which must not end the loop."""
        try:
            result = action()
        except Exception as error:
            self._log_fault(action, repr(error))
            return
        if result is not None:
            result.addErrback(lambda f: self._log_fault(action, f.getTraceback()))

    def _log_fault(self, action: Callable, error: str) -> None:
        log_event("daemon.fault", action=action.__qualname__, error=error)

    def _transition(self, event: str) -> None:
        self.state = DAEMON_CHART.next(self.state, event)
        log_event("daemon.state", member=self.member_id, state=self.state)

    def _members_changed(self) -> None:
        for service in self.services.values():
            service.invalidate_targets()
        member = self.membership.is_member()
        if self.state == "starting" and member:
            self._transition("joined")
        elif self.membership.is_excluded() and self.state in ("starting", "serving"):
            self._stop_excluded()

    @inlineCallbacks
    def _stop_excluded(self):
        """Stop this incarnation: other members may hold its shares and cells."""
        self._transition("excluded")
        yield self._drain()
        self._finish()

    @inlineCallbacks
    def _drain(self):
        """Reject new requests, and wait until no caller waits for a response."""
        for service in self.services.values():
            service.drain()
        while self.open_requests:
            yield deferLater(self.clock, DRAIN_POLL_INTERVAL_S)

    def _finish(self) -> None:
        for loop in self._loops:
            loop.stop()
        self._transition("left")
        if self.on_stopped is not None:
            self.on_stopped()

    def _configuration_changed(self) -> None:
        site = self.configuration.active.site
        self.membership.set_limits(site.limits)
        for name in site.services:
            if name not in self.services:
                self.services[name] = self._create_service_role(name)
        for name in cell_names(site):
            if name not in self.cells:
                self.cells[name] = self._create_cell_role(name)
        self._apply_site()
        self.membership.send_heartbeats(at_once=True)

    def _create_service_role(self, name: str) -> ServiceRole:
        return ServiceRole(
            name,
            self.membership,
            self.follower,
            self.dependencies.peers,
            self.dependencies.backends,
            self.traces,
            self.clock,
            self.wall_time,
        )

    def _create_cell_role(self, name: str) -> CellRole:
        return CellRole(
            name,
            self.membership,
            self.follower,
            self.dependencies.workers,
            self.clock,
            self.wall_time,
        )

    def _apply_site(self) -> None:
        """Pass the site settings and the VM states to all roles."""
        site = self.configuration.active.site
        if site is None:
            return
        for service in self.services.values():
            service.set_site(site, self._vms)
        for cell in self.cells.values():
            workers = cell_workers(site, cell.name)
            quotas = cell_quotas(site, cell.name)
            cell.set_site(site, workers, quotas, self._vms)

    @inlineCallbacks
    def _read_vm_list(self):
        try:
            vms = yield self.dependencies.vm_list.read()
        except PlatformError as error:
            log_event("vm_list.unavailable", error=error)
            return
        if vms != self._vms:
            gone = sorted(self._vms.listed - vms.listed)
            log_event(
                "vm_list.changed",
                leaving=",".join(sorted(vms.leaving)),
                gone=",".join(gone),
            )
            self._vms = vms
            self._apply_site()

    @inlineCallbacks
    def _maintain(self):
        """Write the due changes of the members, share and owner records."""
        if self.state in ("leaving", "gone"):
            return
        yield self.membership.maintain(self._referenced_members())
        for service in list(self.services.values()):
            if self.state == "serving":
                yield service.maintain_shares()
        for cell in list(self.cells.values()):
            if self.state == "serving":
                yield cell.maintain_ownership()

    def _referenced_members(self) -> set[str]:
        """Return the members that the share or owner records name."""
        members = set()
        for service in self.services.values():
            members |= service.share_record().members()
        for key, entry in self.follower.entries.items():
            if key.startswith(keys.OWNERS_PREFIX):
                members.add(msgspec.json.decode(entry.value, type=OwnerRecord).owner)
        return members

    @inlineCallbacks
    def _step_cells(self):
        for cell in list(self.cells.values()):
            yield cell.step()

    def _sync_workers(self) -> None:
        for cell in self.cells.values():
            cell.sync_workers()

    def _tick(self) -> None:
        for service in self.services.values():
            service.tick()

    def handle_message(self, sender: str, message: Message) -> None:
        """Pass a peer's message to the role that handles it."""
        if isinstance(message, WantSlots | LendSlots | ReturnSlots):
            service = self.services.get(message.service)
            if service is not None:
                service.handle_message(sender, message)
        elif isinstance(message, RpcRequest | RpcReply):
            self.rpc.handle_message(sender, message)
        else:
            self.membership.handle_message(sender, message)

    def is_healthy(self) -> bool:
        """Return whether the load balancer should send callers here."""
        if self.state != "serving" or self.configuration.active.site is None:
            return False
        return self.membership.has_valid_lease()

    @inlineCallbacks
    def stop(self):
        """Stop gracefully: fail the health check, drain, then leave the members."""
        if not DAEMON_CHART.allows(self.state, "stop"):
            return
        self._transition("stop")
        yield self.membership.announce_leaving()
        # Requests still arrive, and are served, until the load balancer sees
        # the changed health check.
        yield deferLater(self.clock, self.settings.drain_s)
        yield self._drain()
        yield self._release_all()
        self._transition("drained")
        yield self._leave()
        self._finish()

    @inlineCallbacks
    def _leave(self):
        """Leave the members record, unless the store does not answer in time.

        In that case the other members exclude this one as if it had crashed.
        """
        timeout_s = self.membership.limits.longest_request_s
        try:
            yield self.membership.leave().addTimeout(timeout_s, self.clock)
        except DeferredTimeoutError:
            log_event("daemon.leave_timeout", member=self.member_id)

    @inlineCallbacks
    def _release_all(self):
        """Release shares and cells, as far as the store answers in time."""
        limits = self.membership.limits
        deadline_s = self.clock.seconds() + 2 * limits.longest_request_s
        while self.clock.seconds() < deadline_s:
            for service in self.services.values():
                service.release_shares()
            for cell in self.cells.values():
                cell.release()
            yield deferLater(self.clock, DRAIN_POLL_INTERVAL_S)
            roles = [*self.services.values(), *self.cells.values()]
            if all(role.is_released() for role in roles):
                return
        log_event("daemon.hand_back_timeout", member=self.member_id)
