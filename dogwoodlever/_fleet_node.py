"""Components of one fleet daemon: frontend, election and, if elected, leader."""

from collections.abc import Callable

from twisted.internet.defer import gatherResults, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from dogwoodlever._configuration_knowledge import ConfigurationKnowledge
from dogwoodlever._fleet_desired_state import DesiredState
from dogwoodlever._fleet_election import Election
from dogwoodlever._fleet_frontend import CallOutcome, FleetFrontend
from dogwoodlever._fleet_interfaces import (
    AdviceService,
    FleetStore,
    FleetWorkerClient,
    Record,
)
from dogwoodlever._fleet_leader import FleetLeader
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    JOBS_PREFIX,
    LEADER_KEY,
    UNREACHABLE_WORKERS_KEY,
    LeaderRecord,
    decode_submission,
)
from dogwoodlever._fleet_rpc import (
    JOB_METHOD,
    PENDING_METHOD,
    STEP_DOWN_METHOD,
    FleetRpc,
    LeaderReply,
    format_member_id,
    is_same_daemon,
)
from dogwoodlever._fleet_types import PlatformLimits
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._leader_room import LeaderRoom
from dogwoodlever._logs import log_event
from dogwoodlever._loop_monitor import LoopMonitor
from dogwoodlever._request_limits import RequestLimits
from dogwoodlever._workspace_keys import KeyCheck, KeyChecker
from dogwoodlever.platform import (
    CONFIGURATION_KEY,
    OPERATORS_PREFIX,
    FleetCallersResource,
    NodeFile,
)

# The load balancer polls readiness every second and drops a VM after two failures.
BALANCER_DETECTION_S = 2.6
# Fraction of the grace period after which a stopping process ends.
GRACE_FRACTION = 0.8
STOP_POLL_S = 0.05
# Checks before the end in which no request waits any more: the last responses are sent,
# and what arrives meanwhile is refused.
CLOSING_CHECKS = 2
# Time without requests after which a stopping process ends. A request that was sent
# over an open connection shortly before would be read and not answered.
QUIET_S = 0.25
# Part of the recovery time in which a leader must load the stored state. It leaves room
# for one more leader, and for the leases of workers that do not answer.
LOAD_FRACTION = 1 / 3
STEP_DOWN_RETRY_S = 0.1


class FleetNode:
    """Components of one daemon process.

    Parameters
    ----------
    settings : NodeFile
        Validated settings.
    incarnation : str
        Distinguishes this process from earlier ones on the same VM.
    peer_key : str
        Shared key of connections between daemons, if this one leads the first term.
    store, worker_client : FleetStore, FleetWorkerClient
        Clients of the platform's store and workers.
    advice : AdviceService or None
        Client of the advice service, if there is one.
    make_mesh : callable
        Called with a member id and a key; returns the transport between daemons.
    clock : IReactorTime
        Reactor clock, which must include the time for which the VM was suspended.
    unix_s : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        settings: NodeFile,
        incarnation: str,
        peer_key: str,
        store: FleetStore,
        worker_client: FleetWorkerClient,
        advice: AdviceService | None,
        make_mesh,
        clock,
        unix_s: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.metrics = FleetMetrics()
        self._loop_monitor = LoopMonitor(clock, self.metrics.loop_lateness_s)
        store = ObservedStore(store, clock, self.metrics)
        self._store = store
        self._worker_client = worker_client
        self._advice = advice
        self._clock = clock
        self._unix_s = unix_s
        self.member = format_member_id(
            settings.vm, settings.peer_host, settings.peer_port, incarnation
        )
        self.mesh = make_mesh(self.member, peer_key)
        handlers = {
            JOB_METHOD: self._handle_job,
            PENDING_METHOD: self._handle_pending,
            STEP_DOWN_METHOD: self._handle_step_down,
        }
        self.rpc = FleetRpc(self.mesh, clock, handlers)
        self.desired_state = DesiredState(
            self._on_desired_state_changed,
            lambda cause: self.metrics.configurations_refused.labels(cause).inc(),
        )
        self.leader: FleetLeader | None = None
        self._leader_watcher = PrefixWatcher(
            store, clock, LEADER_KEY, self._apply_leader_record, self._on_leader_listed
        )
        self.election = Election(
            store,
            clock,
            LeaderRecord(self.member, peer_key),
            settings.core_share,
            settings.link_mbps,
            settings.lease_ttl_min_ms,
            self._on_elected,
            self._on_step_down,
            self._on_renewed,
            self._leader_watcher,
            self._on_unconfirmed,
        )
        store.on_conflict = self.election.check_term
        self._operators_watcher = PrefixWatcher(
            store,
            clock,
            OPERATORS_PREFIX,
            self.desired_state.apply_record,
            apply_limit_s=settings.configuration_apply_s,
        )
        self.knowledge = ConfigurationKnowledge(
            lambda: self.desired_state.configuration,
            self._operators_watcher,
            clock,
            unix_s,
            self.metrics,
            settings.configuration_apply_s,
            self._read_configuration,
        )
        self.keys = KeyChecker(
            lambda: self.desired_state.configuration,
            self.desired_state.apply_record,
            CONFIGURATION_KEY,
            settings.key_withdrawal_s,
            lambda: self._operators_watcher.sent_s,
            clock,
            lambda cause: self.metrics.key_refusals.labels(cause).inc(),
        )
        self._room = LeaderRoom(
            clock,
            self._get_state_bytes,
            settings.memory_mb,
            self.metrics.jobs_without_room.inc,
        )
        self.metrics.jobs_awaiting_version.set_function(
            lambda: 0 if self.leader is None else self.leader.registry.held_count
        )
        self.metrics.state_bytes.set_function(lambda: self._get_state_bytes() or 0)
        self.frontend = FleetFrontend(
            store,
            clock,
            self.rpc,
            self._get_leader_member,
            self.member,
            handlers,
            self.keys,
            self._room,
            lambda source: self.metrics.pending_counts.labels(source).inc(),
        )
        self.rpc.register_create(self._create_for_peer)
        self.rpc.on_version_seen = self.knowledge.on_version_seen
        self.callers = FleetCallersResource(
            self.frontend,
            lambda: self.desired_state.configuration,
            clock,
            unix_s,
            lambda call, outcome: self.metrics.caller_calls.labels(call, outcome).inc(),
            self.keys,
            self.knowledge,
        )
        self._watchers = [self._operators_watcher, self._leader_watcher]
        # Revision of the record of unreachable workers, and when it was seen.
        self._unreachable_seen = (0, float("-inf"))
        # Last term of a leader of this daemon that was closed, and when the leases from
        # the leaders before it have expired.
        self._last_term = 0
        self._former_leases_expire_s = float("-inf")
        self._is_stopping = False
        self._has_resigned = False
        # The leader's last contact with the store, if another daemon has had one since.
        self._contact_before_cut_s: float | None = None
        # Whether another daemon has replied that it can lead, since the last check.
        self._is_successor_known = False
        self.on_stopped: Callable[[], None] = lambda: None

    def open(self) -> None:
        """Start watching the store."""
        log_event("daemon.start", vm=self.settings.vm, member=self.member)
        self._loop_monitor.open()
        for watcher in self._watchers:
            watcher.open()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return (
            self.desired_state.configuration is not None
            and not self._is_stopping
            and not self.keys.is_undecided_for_long()
        )

    def apply_settings(self, settings: NodeFile) -> None:
        """Act by changed limits and bounds of the process.

        What a leader was given at its election goes on until the next one.
        """
        self.settings = settings
        self._room.set_memory(settings.memory_mb)
        self.knowledge.set_apply_limit(settings.configuration_apply_s)
        self._operators_watcher.set_apply_limit(settings.configuration_apply_s)
        self._operators_watcher.limit_wait(self.keys.watch_wait_s())

    def get_request_limits(self) -> RequestLimits:
        """Return the limits of callers' requests in force."""
        configuration = self.desired_state.configuration
        if configuration is None:
            return RequestLimits()
        return configuration.request_limits

    @inlineCallbacks
    def stop(self):
        """Resign, answer the requests that arrive in the grace period, and stop."""
        if self._is_stopping:
            return
        self._is_stopping = True
        started_s = self._clock.seconds()
        log_event("daemon.stop", vm=self.settings.vm, leads=self.leader is not None)
        self.callers.closes_connections = True
        serving_s = self.settings.grace_s * GRACE_FRACTION
        serving_s = max(0.0, serving_s - CLOSING_CHECKS * STOP_POLL_S)
        limit_s = started_s + serving_s
        closing = self._clock.callLater(serving_s, self._end_open_requests)
        handing_over = self._hand_over(limit_s)
        yield deferLater(self._clock, min(BALANCER_DETECTION_S, serving_s))
        yield handing_over
        # What has arrived meanwhile is read between two checks.
        quiet_checks = 0
        while quiet_checks < 2 and self._clock.seconds() < limit_s:
            yield deferLater(self._clock, STOP_POLL_S)
            quiet_checks = quiet_checks + 1 if self._is_quiet() else 0
        if closing.active():
            closing.cancel()
        if quiet_checks < 2:
            self._end_open_requests()
            for _ in range(CLOSING_CHECKS):
                yield deferLater(self._clock, STOP_POLL_S)
        for watcher in self._watchers:
            watcher.close()
        self._loop_monitor.close()
        self.on_stopped()

    def _end_open_requests(self) -> None:
        """Answer the open requests with what is known of them."""
        if not self.frontend.is_closed:
            log_event("daemon.closing", open_requests=self.callers.open_requests)
            self.frontend.close()

    def _is_quiet(self) -> bool:
        """Return whether no request is open, and none was a short while ago."""
        idle_s = self._clock.seconds() - self.callers.last_request_s
        return not self.callers.open_requests and idle_s >= QUIET_S

    @inlineCallbacks
    def _hand_over(self, limit_s: float):
        """Resign once another daemon can lead, at `limit_s` at the latest."""
        while self.leader is not None and self._clock.seconds() < limit_s:
            is_store_up = self._store.down_for_s() is None
            if is_store_up and self._is_successor_known:
                break
            self._is_successor_known = False
            if is_store_up:
                self._look_for_successor()
            yield deferLater(self._clock, STOP_POLL_S)
        if self.leader is not None:
            log_event("leader.resigned", successor_known=self._is_successor_known)
            self._close_leader()
        self._has_resigned = True
        yield self.election.resign()

    def _look_for_successor(self) -> None:
        """Ask the known daemons whether they can lead."""

        def check(reply: LeaderReply | None) -> None:
            if reply is not None and reply.can_lead:
                self._is_successor_known = True

        for member in self.rpc.peers():
            self.rpc.call(member, PENDING_METHOD, "").addCallback(check)

    def _can_lead(self) -> bool:
        """Return whether this daemon can succeed a leader that stops."""
        return (
            not self._is_stopping
            and self.election.is_record_loaded
            and self._store.down_for_s() is None
        )

    # Leadership

    def _apply_leader_record(self, record: Record) -> None:
        if record.key == UNREACHABLE_WORKERS_KEY:
            self._unreachable_seen = record.revision, self._clock.seconds()
        if record.key != LEADER_KEY:
            return
        self.election.apply_record(record)
        leader = self.election.leader
        if leader is not None and leader.member not in ("", self.member):
            log_event("leader.known", member=leader.member, revision=record.revision)
            self.rpc.set_leader(leader.member, leader.peer_key)

    def _on_leader_listed(self) -> None:
        self.election.mark_record_loaded()

    def _get_leader_member(self) -> str:
        leader = self.election.leader
        return "" if leader is None else leader.member

    def _get_unreachable_seen_s(self, revision: int) -> float:
        """Return when a revision of the record of unreachable workers was seen."""
        seen_revision, seen_s = self._unreachable_seen
        return seen_s if revision == seen_revision else self._clock.seconds()

    def _on_elected(self, term: int, fencing_token: int, is_continued: bool) -> None:
        if self._has_resigned:
            # The campaign had begun before.
            self.election.resign()
            return
        if is_continued and self.leader is not None:
            self.leader.continue_term(term, fencing_token)
            return
        if self.leader is not None:
            self._close_leader()
        load_limit_s = self.settings.recovery_s * LOAD_FRACTION
        load_limit_s *= 2**self.election.failed_loads
        leader_record = self.election.leader
        self.mesh.set_key(leader_record.peer_key)
        self.leader = FleetLeader(
            self._store,
            self._worker_client,
            self._advice,
            self._clock,
            self._unix_s,
            self.desired_state,
            term,
            fencing_token,
            self._on_fenced,
            self.rpc.unstored_progress,
            self.rpc.broadcast_unstored,
            self.metrics,
            PlatformLimits(
                self.settings.run_lease_max_s,
                self.settings.job_state_kept_s,
                self.settings.harm_s,
                self.settings.stop_timeout_s,
                self.settings.workspace_rate_window_s,
                self.settings.record_bytes_max,
                self.settings.acknowledgement_s,
            ),
            self.election.confirm_soon,
            lambda: self.election.contact_s,
            lambda: self.election.worker_leases_end_s,
            load_limit_s,
            lambda: self.election.give_up(
                f"stored state not loaded within {load_limit_s:.1f} s"
            ),
            self.election.unreachable_since_term,
            self._get_unreachable_seen_s,
            self.knowledge,
        )
        self.metrics.leads.set(1)
        self.leader.open()
        self._stop_former_leader(self.leader, self.election.former_leader)

    @inlineCallbacks
    def _stop_former_leader(self, leader: FleetLeader, former_leader: str):
        """Call the former leader until its address reports that it does not lead."""
        elected_s = self.election.former_elected_s
        # An earlier process on this VM, at the address at which this one listens, has
        # ended; a call to it would reach this leader.
        if not former_leader or is_same_daemon(former_leader, self.member):
            leader.on_former_leader_stopped(
                elected_s, self._last_term, self._former_leases_left_s()
            )
            return
        while not leader.is_closed and not leader.is_former_leader_stopped:
            reply = yield self.rpc.call(
                former_leader, STEP_DOWN_METHOD, str(leader.fencing_token)
            )
            if reply is not None and not reply.leads:
                log_event("leader.former-stopped", member=former_leader)
                leader.on_former_leader_stopped(
                    elected_s, reply.last_term, reply.former_leases_left_s
                )
                if leader.is_closed and leader.term == self._last_term:
                    # It resigned during the call, and its successor may ask yet.
                    self._keep_former_leases(leader)
                return
            yield deferLater(self._clock, STEP_DOWN_RETRY_S)

    def _close_leader(self) -> None:
        """Stop leading, and keep what a successor is told of earlier leaders."""
        self.leader.close()
        self._keep_former_leases(self.leader)
        self.leader = None

    def _keep_former_leases(self, leader: FleetLeader) -> None:
        self._last_term = leader.term
        self._former_leases_expire_s = leader.workers.former_leases_expire_s

    def _former_leases_left_s(self) -> float:
        """Return when leases from leaders before the last own term have expired."""
        return max(0.0, self._former_leases_expire_s - self._clock.seconds())

    def _on_step_down(self, why: str) -> None:
        log_event("leader.deposed", why=why)
        self.metrics.leads.set(0)
        if self.leader is not None:
            self._close_leader()

    @inlineCallbacks
    def _on_unconfirmed(self):
        """Hand over if the store answers others, on two occasions, and not this leader.

        Its requests may arrive and keep its lease, while no answer shows it new jobs.
        """
        fencing_token = self.election.fencing_token
        contact_s = self.election.contact_s
        replies = yield gatherResults(
            [self.rpc.call(m, PENDING_METHOD, "") for m in self.rpc.peers()]
        )
        is_same_term = self.election.fencing_token == fencing_token
        if not self.election.leads or not is_same_term:
            return
        has_contact = any(reply is not None and reply.can_lead for reply in replies)
        if not has_contact or self.election.contact_s != contact_s:
            self._contact_before_cut_s = None
        elif self._contact_before_cut_s != contact_s:
            self._contact_before_cut_s = contact_s
        else:
            self.election.hand_over("the store answers other daemons only")

    def _on_renewed(self) -> None:
        if self.leader is not None:
            self.leader.accept_confirmed_jobs()

    def _on_fenced(self, worker_id: str) -> None:
        self.election.step_down(f"worker {worker_id} has a higher fencing token")

    @inlineCallbacks
    def _read_configuration(self):
        """Read and apply the newest version, beside the watch."""
        record = yield self._store.read(CONFIGURATION_KEY)
        if record is not None and record.value is not None:
            self.desired_state.apply_record(record)

    def _create_for_peer(self, key: str, value: bytes, check: KeyCheck | None):
        """Create a record for a peer, unless it decided by an outdated version."""
        # With the place of the call the write is checked by the newer version itself.
        has_place = check is not None and check.path
        if (
            key.startswith(JOBS_PREFIX)
            and self._is_queue_dropped(value)
            and not has_place
        ):
            return succeed(CallOutcome.NOT_DONE)
        return self.frontend.create_for_peer(key, value, check)

    def _is_queue_dropped(self, value: bytes) -> bool:
        """Return whether a newer version than a job's acceptance dropped its queue."""
        job = decode_submission(value)
        accepted_by = job.configuration_version
        self.knowledge.on_version_seen(accepted_by, "peer")
        configuration = self.desired_state.configuration
        if not 0 < accepted_by < self.knowledge.version:
            return False
        if job.queue in configuration.queues:
            return False
        log_event(
            "write.outdated",
            job=job.job_id,
            queue=job.queue,
            accepted_by=accepted_by,
            version=configuration.version,
        )
        return True

    def _on_desired_state_changed(self) -> None:
        self.knowledge.on_change()
        if self.desired_state.configuration is not None:
            self.keys.apply_configuration(self.desired_state.configuration)
        self._operators_watcher.limit_wait(self.keys.watch_wait_s())
        if self.leader is not None:
            self.leader.on_desired_state_changed()

    # RPC handlers, for peers and for this daemon's frontend

    def _get_loaded_leader(self) -> FleetLeader | None:
        if self.leader is None or not self.leader.is_loaded:
            return None
        return self.leader

    def _get_state_bytes(self) -> int | None:
        """Return the memory of the jobs of this daemon, None if it does not lead."""
        return None if self.leader is None else self.leader.registry.state_bytes

    def _handle_job(self, job_id: str) -> LeaderReply:
        leader = self._get_loaded_leader()
        if leader is None:
            return LeaderReply(False, configuration_version=self.knowledge.version)
        state = leader.registry.jobs.get(job_id)
        workspace = None if state is None else state.job.workspace
        return LeaderReply(
            True,
            leader.job_phase(job_id) or "",
            workspace=workspace,
            configuration_version=self.knowledge.version,
            state_bytes=leader.registry.state_bytes,
            state_bytes_max=self._room.own_bytes_max,
        )

    def _handle_step_down(self, fencing_token: str) -> LeaderReply:
        if self.election.leads and int(fencing_token) > self.election.fencing_token:
            self.election.step_down("requested by a successor")
        return LeaderReply(
            self.election.leads,
            last_term=self._last_term,
            former_leases_left_s=self._former_leases_left_s(),
        )

    def _handle_pending(self, queue: str) -> LeaderReply:
        leader = self._get_loaded_leader()
        can_lead = self._can_lead()
        if leader is None:
            return LeaderReply(
                False, can_lead=can_lead, configuration_version=self.knowledge.version
            )
        can_write = self._store.down_for_s() is None
        pending = leader.count_pending()
        return LeaderReply(
            True,
            pending=pending[queue],
            pending_by_queue=pending,
            can_write=can_write,
            can_lead=can_lead,
            configuration_version=self.knowledge.version,
            inbox_age_s=leader.inbox_age_s,
            state_bytes=leader.registry.state_bytes,
            state_bytes_max=self._room.own_bytes_max,
        )
