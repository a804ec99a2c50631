"""One daemon on the platform: desk, site, election and, at times, leader."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_desk import FleetDesk
from dogwoodlever._fleet_election import Election
from dogwoodlever._fleet_follower import PrefixFollower
from dogwoodlever._fleet_interfaces import (
    AdviceService,
    FleetStore,
    Record,
    WorkerOrders,
)
from dogwoodlever._fleet_leader import FleetLeader
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_peers import (
    JOB_TOPIC,
    PENDING_TOPIC,
    STEP_DOWN_TOPIC,
    FleetPeers,
    LeaderAnswer,
    member_id,
)
from dogwoodlever._fleet_records import LEADER_KEY, LeaderRecord
from dogwoodlever._fleet_site import FleetSite
from dogwoodlever._fleet_types import FleetBounds
from dogwoodlever._logs import log_event
from dogwoodlever.platform import OPERATORS_PREFIX, CallersSite, NodeFile

# The balancer asks once a second and drops a VM after two misses.
BALANCER_NOTICES_S = 2.6
# Part of the grace period in which open requests may still end.
GRACE_PART = 0.8
STOP_POLL_S = 0.05
FORMER_RETRY_S = 0.1


class FleetNode:
    """The parts of one daemon process.

    Parameters
    ----------
    settings : NodeFile
        Checked settings.
    incarnation : str
        Tells this process from earlier ones on the same VM.
    peer_key : str
        Key of connections between daemons while this one leads.
    store, orders : FleetStore, WorkerOrders
        The platform.
    advice : AdviceService or None
        The advice service, if there is one.
    make_mesh : callable
        Returns the transport for a member id and a key.
    clock : IReactorTime
        Runtime's clock.
    unix_s : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        settings: NodeFile,
        incarnation: str,
        peer_key: str,
        store: FleetStore,
        orders: WorkerOrders,
        advice: AdviceService | None,
        make_mesh,
        clock,
        unix_s: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.metrics = FleetMetrics()
        store = ObservedStore(store, clock, self.metrics)
        self._store = store
        self._orders = orders
        self._advice = advice
        self._clock = clock
        self._unix_s = unix_s
        self.member = member_id(
            settings.vm, settings.peer_host, settings.peer_port, incarnation
        )
        self.mesh = make_mesh(self.member, peer_key)
        answers = {
            JOB_TOPIC: self._answer_job,
            PENDING_TOPIC: self._answer_pending,
            STEP_DOWN_TOPIC: self._answer_step_down,
        }
        self.peers = FleetPeers(self.mesh, clock, answers)
        self.site = FleetSite(self._site_changed)
        self.leader: FleetLeader | None = None
        self._leader_follower = PrefixFollower(
            store, clock, LEADER_KEY, self._take_leader, self._leader_listed
        )
        self.election = Election(
            store,
            clock,
            LeaderRecord(self.member, peer_key),
            settings.core_share,
            settings.lease_ttl_min_ms,
            self._elected,
            self._deposed,
            self._leader_follower,
        )
        self.desk = FleetDesk(
            store,
            clock,
            self.peers,
            self._leader_member,
            self.member,
            answers,
        )
        self.peers.on_create(self.desk.create_for_peer)
        self.callers = CallersSite(
            self.desk,
            lambda: self.site.configuration,
            clock,
            unix_s,
            lambda call, outcome: self.metrics.calls.labels(call, outcome).inc(),
        )
        self._followers = [
            PrefixFollower(store, clock, OPERATORS_PREFIX, self.site.take),
            self._leader_follower,
        ]
        self._is_stopping = False
        self.on_stopped: Callable[[], None] = lambda: None

    def open(self) -> None:
        """Start to follow the store."""
        log_event("daemon.start", vm=self.settings.vm, member=self.member)
        for follower in self._followers:
            follower.open()

    def is_ready(self) -> bool:
        """Tell whether the balancer should send new connections."""
        return self.site.configuration is not None and not self._is_stopping

    @inlineCallbacks
    def stop(self):
        """Hand over, let open requests end, and finish."""
        if self._is_stopping:
            return
        self._is_stopping = True
        began_s = self._clock.seconds()
        log_event("daemon.stop", vm=self.settings.vm, leads=self.leader is not None)
        self.callers.closes_connections = True
        if self.leader is not None:
            self.leader.close()
            self.leader = None
        yield self.election.resign()
        yield deferLater(self._clock, BALANCER_NOTICES_S)
        limit_s = began_s + self.settings.grace_s * GRACE_PART
        while self.callers.open_requests and self._clock.seconds() < limit_s:
            yield deferLater(self._clock, STOP_POLL_S)
        for follower in self._followers:
            follower.close()
        self.on_stopped()

    # Leading

    def _take_leader(self, record: Record) -> None:
        if record.key != LEADER_KEY:
            return
        self.election.take(record)
        leader = self.election.leader
        if leader is not None and leader.member != self.member:
            log_event("leader.known", member=leader.member, revision=record.revision)
            self.peers.set_leader(leader.member, leader.peer_key)

    def _leader_listed(self) -> None:
        self.election.listed()

    def _leader_member(self) -> str:
        leader = self.election.leader
        return "" if leader is None else leader.member

    def _elected(self, term: int, fence: int, is_continued: bool) -> None:
        if is_continued and self.leader is not None:
            self.leader.continue_term(term, fence)
            return
        if self.leader is not None:
            self.leader.close()
        own = self.election.leader
        self.mesh.set_key(own.peer_key)
        self.leader = FleetLeader(
            self._store,
            self._orders,
            self._advice,
            self._clock,
            self._unix_s,
            self.site,
            term,
            fence,
            self._fenced,
            self.peers.held,
            self.peers.tell_unstored,
            self.metrics,
            FleetBounds(
                self.settings.run_lease_max_s,
                self.settings.job_state_kept_s,
                self.settings.harm_s,
            ),
            lambda: self.election.confirmed_until_s,
        )
        self.metrics.leads.set(1)
        self.leader.open()
        self._stop_former(self.leader, self.election.former)

    @inlineCallbacks
    def _stop_former(self, leader: FleetLeader, former: str):
        """Ask the former leader to stop, until it or its successor answers."""
        if not former:
            leader.former_stopped()
            return
        while not leader.is_closed and not leader.is_former_over:
            if former == self.member:
                leader.former_stopped()
                return
            answer = yield self.peers.call(former, STEP_DOWN_TOPIC, str(leader.fence))
            if answer is not None and not answer.leads:
                log_event("leader.former-stopped", member=former)
                leader.former_stopped()
                return
            yield deferLater(self._clock, FORMER_RETRY_S)

    def _deposed(self, why: str) -> None:
        log_event("leader.deposed", why=why)
        self.metrics.leads.set(0)
        if self.leader is not None:
            self.leader.close()
            self.leader = None

    def _fenced(self, worker_id: str) -> None:
        self.election.depose(f"worker {worker_id} obeys a later leader")

    def _site_changed(self) -> None:
        if self.leader is not None:
            self.leader.plan_soon()

    # Answers to peers and to the own desk

    def _loaded_leader(self) -> FleetLeader | None:
        if self.leader is None or not self.leader.is_loaded:
            return None
        return self.leader

    def _answer_job(self, job_id: str) -> LeaderAnswer:
        leader = self._loaded_leader()
        if leader is None:
            return LeaderAnswer(False)
        return LeaderAnswer(True, leader.state_of(job_id) or "")

    def _answer_step_down(self, fence: str) -> LeaderAnswer:
        if self.election.leads and int(fence) > self.election.fence:
            self.election.depose("successor asked")
        return LeaderAnswer(self.election.leads)

    def _answer_pending(self, queue: str) -> LeaderAnswer:
        leader = self._loaded_leader()
        if leader is None:
            return LeaderAnswer(False)
        can_write = self._store.down_for_s() is None
        pending = leader.board.pending(queue)
        return LeaderAnswer(True, pending=pending, can_write=can_write)
