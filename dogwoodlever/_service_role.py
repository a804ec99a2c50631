"""One daemon's share of a service: its slots, its requests and their I/O."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from dogwoodlever import _record_keys as keys
from dogwoodlever._backoff import Backoff
from dogwoodlever._dispatcher import Dispatcher, DispatcherLimits
from dogwoodlever._interfaces import BackendClient, BackendRequest, Entry, VMStates
from dogwoodlever._logs import log_event
from dogwoodlever._members import MemberState
from dogwoodlever._membership_role import MembershipRole
from dogwoodlever._messages import LendSlots, Message, ReturnSlots, WantSlots
from dogwoodlever._peer_mesh import PeerTransport
from dogwoodlever._records import encode_record
from dogwoodlever._request import (
    AdvertiseDemand,
    Effect,
    EndRequest,
    GrantLoans,
    Outcome,
    Reason,
    Request,
    ReturnLoans,
    SendAttempt,
)
from dogwoodlever._request_trace import RequestTraceBuffer
from dogwoodlever._shares import SharePlanner, ShareRecord, split_slots
from dogwoodlever._site import Limits, Service, Site
from dogwoodlever._slot_pool import SlotPool
from dogwoodlever._store_follower import StoreFollower, SwapOutcome
from dogwoodlever.platform_errors import RequestNotSentError

# Used until the first responses have been measured.
INITIAL_SERVICE_TIME_S = 0.05


@dataclass(slots=True)
class OpenRequest:
    """A request whose caller waits.

    Attributes
    ----------
    ended : Deferred
        Fires with the `EndRequest` and the response, which is None without one.
    """

    request: Request
    backend_request: BackendRequest
    ended: Deferred
    response: object = None


class ServiceRole:
    """Carries out the dispatcher's effects for one service.

    Parameters
    ----------
    name : str
        The service.
    membership : MembershipRole
        This daemon's membership lease and peers.
    follower : StoreFollower
        Shared records.
    peers : PeerTransport
        Connections to other daemons.
    backends : BackendClient
        Client of the backend servers.
    traces : RequestTraceBuffer
        Records the attempts.
    clock : IReactorTime
        Reactor clock.
    wall_time : callable
        Returns the Unix time in seconds, for traces.
    """

    def __init__(
        self,
        name: str,
        membership: MembershipRole,
        follower: StoreFollower,
        peers: PeerTransport,
        backends: BackendClient,
        traces: RequestTraceBuffer,
        clock,
        wall_time: Callable[[], float],
    ) -> None:
        self.name = name
        self._membership = membership
        self._follower = follower
        self._peers = peers
        self._backends = backends
        self._traces = traces
        self._clock = clock
        self._wall_time = wall_time
        self._open: dict[str, OpenRequest] = {}
        self._service: Service | None = None
        self._server_data_centres: dict[str, str] = {}
        self._leaving_servers: set[str] = set()
        self._writing_shares = False
        self._closing = False
        self._record_version = 0
        self._record = ShareRecord()
        self._targets: dict[str, int] | None = None
        self._backoff = Backoff(membership.member_id, clock)
        self._share_planner = SharePlanner(membership.member_id)
        limits = membership.limits
        self.slot_pool = SlotPool(
            membership.member_id, limits.loan_term_s, limits.longest_request_s
        )
        self.dispatcher = Dispatcher(self.slot_pool, self._dispatcher_limits(limits))
        follower.on_entry(self._entry_changed)

    def _dispatcher_limits(self, limits: Limits) -> DispatcherLimits:
        return DispatcherLimits(
            limits.queue_max,
            limits.attempts_max,
            limits.retry_budget_ratio,
            limits.longest_request_s,
            INITIAL_SERVICE_TIME_S,
        )

    def set_site(self, site: Site, vms: VMStates) -> None:
        """Apply the settings and the VM list."""
        service = site.services.get(self.name)
        self._service = service
        self._targets = None
        self.slot_pool.loan_term_s = site.limits.loan_term_s
        self.slot_pool.longest_request_s = site.limits.longest_request_s
        self.dispatcher.limits = self._dispatcher_limits(site.limits)
        servers = {} if service is None else service.servers
        self._server_data_centres = {
            name: site.workers[server.worker].data_centre
            for name, server in servers.items()
        }
        self._leaving_servers = {
            name
            for name, server in servers.items()
            if server.worker in vms.leaving
            or site.data_centres[self._server_data_centres[name]].out
        }
        slots = {name: server.slots for name, server in servers.items()}
        self.dispatcher.set_servers(slots, self._leaving_servers)
        self._apply_effects(self.dispatcher.dispatch(self._clock.seconds()))

    def share_record(self) -> ShareRecord:
        """Return the newest share record read from the store."""
        entry = self._follower.entries.get(keys.shares_key(self.name))
        if entry is None:
            return ShareRecord()
        if entry.version != self._record_version:
            self._record_version = entry.version
            self._record = msgspec.json.decode(entry.value, type=ShareRecord)
        return self._record

    def _entry_changed(self, key: str, entry: Entry | None) -> None:
        if key == keys.shares_key(self.name) and not self._writing_shares:
            self._apply_record()

    def _apply_record(self) -> None:
        record = self.share_record()
        member = self._membership.member_id
        held = {s: record.held(s, member) for s in record.servers}
        self.slot_pool.set_held(held)
        self.dispatch()

    def targets(self) -> dict[str, int]:
        """Return the target slots of this daemon, by server."""
        if self._service is None or self._closing:
            return {}
        if self._targets is None:
            self._targets = self._compute_targets()
        return self._targets

    def invalidate_targets(self) -> None:
        """Recompute the targets at the next use, after a membership change."""
        self._targets = None

    def _compute_targets(self) -> dict[str, int]:
        members = {
            member: entry.data_centre
            for member, entry in self._membership.record.members.items()
            if entry.state == MemberState.LIVE
        }
        homes_per_server = self._membership.limits.homes_per_server
        member = self._membership.member_id
        targets = {}
        for name, server in self._service.servers.items():
            split = split_slots(
                name,
                server.slots,
                members,
                self._server_data_centres[name],
                homes_per_server,
            )
            if member in split:
                targets[name] = split[member]
        return targets

    @inlineCallbacks
    def maintain_shares(self):
        """Move this daemon's rows of the share record towards the targets."""
        may_write = self._membership.is_member() and self._membership.has_valid_lease()
        if self._writing_shares or not may_write or self._backoff.is_active():
            return
        record = self.share_record()
        departed = self._membership.departed(record.members())
        servers = {} if self._service is None else self._service.servers
        change = self._share_planner.plan(
            record,
            {name: server.slots for name, server in servers.items()},
            self.targets(),
            self.slot_pool.busy(),
            departed,
        )
        if change is not None:
            yield self._write_record(change)

    @inlineCallbacks
    def _write_record(self, change: ShareRecord):
        member = self._membership.member_id
        key = keys.shares_key(self.name)
        self._writing_shares = True
        # Slots being released must not be used while the write is pending.
        self.slot_pool.reduce_held({s: change.held(s, member) for s in change.servers})
        try:
            written = yield self._follower.swap(
                key, encode_record(change), self._follower.version(key)
            )
        finally:
            self._writing_shares = False
        if written == SwapOutcome.CONFLICT:
            self._backoff.record_conflict(len(self._membership.others()))
        else:
            held = sum(change.held(s, member) for s in change.servers)
            log_event("shares.written", service=self.name, slots=held)
        self._apply_record()

    @inlineCallbacks
    def release_shares(self):
        """Release all slots as they become idle."""
        self._closing = True
        yield self.maintain_shares()

    def is_released(self) -> bool:
        """Return whether this daemon holds no slots and none are still busy."""
        member = self._membership.member_id
        return member not in self.share_record().members() and not self.slot_pool.busy()

    def submit(self, request: Request, backend_request: BackendRequest) -> Deferred:
        """Submit a request.

        Returns
        -------
        Deferred
            Fires with the `EndRequest` and the response, which is None without
            one.
        """
        open_request = OpenRequest(request, backend_request, Deferred())
        self._open[request.request_id] = open_request
        self._apply_effects(self.dispatcher.submit(request, self._now()))
        return open_request.ended

    def handle_disconnect(self, request_id: str) -> None:
        """Drop a request whose caller disconnected; a sent one may run on."""
        self._apply_effects(self.dispatcher.handle_disconnect(request_id, self._now()))
        open_request = self._open.pop(request_id, None)
        if open_request is not None:
            end = EndRequest(open_request.request, Outcome.UNKNOWN, Reason.CALLER_LEFT)
            open_request.ended.callback((end, None))

    @property
    def is_draining(self) -> bool:
        """Whether new requests are rejected."""
        return self.dispatcher.draining

    def _now(self) -> float:
        """Return the time, after updating whether own slots may be used."""
        self.dispatcher.own_slots_usable = self._membership.has_valid_lease()
        return self._clock.seconds()

    def dispatch(self) -> None:
        """Start queued requests and lend free slots."""
        self._apply_effects(self.dispatcher.dispatch(self._now()))

    def tick(self) -> None:
        """Expire loans and attempts whose time is over."""
        self._apply_effects(self.dispatcher.tick(self._now()))

    def drain(self) -> None:
        """Reject new requests and lend no more slots."""
        self._apply_effects(self.dispatcher.drain(self._now()))

    def handle_message(self, sender: str, message: Message) -> None:
        """Handle a peer's slot demand, loans or returned loans."""
        now_s = self._now()
        if isinstance(message, WantSlots):
            effects = self.dispatcher.handle_demand(
                sender, message.count, message.oldest_age_s, message.asked_s, now_s
            )
        elif isinstance(message, LendSlots):
            effects = self.dispatcher.handle_loans(
                sender, message.loans, message.asked_s, message.term_s, now_s
            )
        elif isinstance(message, ReturnSlots):
            effects = self.dispatcher.handle_returned_loans(message.loan_ids, now_s)
        else:
            return
        self._apply_effects(effects)

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(effect)
            elif isinstance(effect, EndRequest):
                self._end(effect)
            elif isinstance(effect, AdvertiseDemand):
                self._advertise_demand(effect)
            elif isinstance(effect, GrantLoans):
                self._peers.send(
                    effect.borrower,
                    LendSlots(
                        self.name,
                        effect.asked_s,
                        effect.loans,
                        self.slot_pool.loan_term_s,
                    ),
                )
            elif isinstance(effect, ReturnLoans):
                self._peers.send(effect.lender, ReturnSlots(self.name, effect.loan_ids))

    def _advertise_demand(self, effect: AdvertiseDemand) -> None:
        message = WantSlots(
            self.name, effect.count, effect.oldest_age_s, self._clock.seconds()
        )
        for member in self._membership.others():
            self._peers.send(member, message)

    def _send(self, effect: SendAttempt) -> None:
        request_id = effect.request.request_id
        open_request = self._open.get(request_id)
        server = (
            None if self._service is None else self._service.servers.get(effect.server)
        )
        if open_request is None or server is None:
            self._clock.callLater(0, self._not_sent, effect)
            return
        self._traces.start_attempt(request_id, effect.server, self._wall_time())
        timer = self._clock.callLater(effect.timeout_s, self._timed_out, effect)
        sent = self._backends.send(
            server.host, server.port, open_request.backend_request, effect.reuse
        )
        sent.addCallbacks(
            self._answered, self._failed, (effect, timer), None, (effect, timer)
        )

    def _not_sent(self, effect: SendAttempt) -> None:
        self._apply_effects(
            self.dispatcher.handle_not_written(effect.attempt_id, self._now())
        )

    def _record_attempt_end(self, effect: SendAttempt, result: str) -> None:
        self._traces.end_attempt(
            effect.request.request_id, effect.server, result, self._wall_time()
        )

    def _answered(self, response, effect: SendAttempt, timer) -> None:
        late = not timer.active()
        if not late:
            timer.cancel()
        self._record_attempt_end(effect, "answered late" if late else "answered")
        open_request = self._open.get(effect.request.request_id)
        if open_request is not None and not late:
            open_request.response = response
        self._apply_effects(
            self.dispatcher.handle_response(effect.attempt_id, self._now())
        )

    def _failed(self, failure, effect: SendAttempt, timer) -> None:
        if timer.active():
            timer.cancel()
        now_s = self._now()
        if failure.check(RequestNotSentError):
            self._record_attempt_end(effect, "not written")
            self._apply_effects(
                self.dispatcher.handle_not_written(effect.attempt_id, now_s)
            )
            return
        self._record_attempt_end(effect, "broken")
        self._apply_effects(self.dispatcher.handle_broken(effect.attempt_id, now_s))

    def _timed_out(self, effect: SendAttempt) -> None:
        self._record_attempt_end(effect, "timed out")
        self._apply_effects(
            self.dispatcher.handle_timeout(effect.attempt_id, self._now())
        )

    def _end(self, effect: EndRequest) -> None:
        open_request = self._open.pop(effect.request.request_id, None)
        if open_request is not None:
            open_request.ended.callback((effect, open_request.response))
