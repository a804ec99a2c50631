"""The leader's view of the workers: capacities, links, incarnations and leases."""

import math
from collections.abc import Callable, Iterator, Set
from dataclasses import replace
from functools import partial

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._crash_attribution import PROBATION_MS, CrashAttribution
from dogwoodlever._drop_evidence import DropCause, DropEvidence
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._fleet_desired_state import DesiredState, WorkerEntries
from dogwoodlever._fleet_election import WORKER_LEASES_MAX_S
from dogwoodlever._fleet_interfaces import FleetWorkerClient, Record, RefusalReason
from dogwoodlever._fleet_job import Run, RunPhase, StepState
from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_records import KnownIncarnation
from dogwoodlever._fleet_runs import FleetRuns
from dogwoodlever._fleet_types import (
    PollResult,
    RunId,
    WorkerEntry,
)
from dogwoodlever._link_fencing import LinkFencing
from dogwoodlever._logs import log_event
from dogwoodlever._run_evidence import (
    ENDS_LISTED_MAX,
    NEVER_S,
    WorkerEvidence,
    lease_bound_s,
)
from dogwoodlever._run_log import format_run_id
from dogwoodlever._run_registry import RunRegistry
from dogwoodlever._run_throttler import RunThrottler
from dogwoodlever._unreachable_workers import UnreachableWorkers
from dogwoodlever._worker_capacity import WorkerCapacity
from dogwoodlever._worker_link import (
    POLL_RETRY_S,
    POLL_WAIT_MS,
    RUN_LEASE_TARGET_S,
    LinkListener,
    WorkerLink,
)
from dogwoodlever._worker_membership import UNKNOWN_WORKERS, WorkerMembership
from dogwoodlever._workspace_usage import WorkspaceUsage
from dogwoodlever.platform import WORKERS_PREFIX
from dogwoodlever.platform_errors import (
    PlatformError,
    WrongIncarnationError,
)

# Fencing tokens for one worker in one term. Each link has its own ones, so that a
# worker that has answered it refuses late calls of earlier links.
TOKENS_PER_TERM_MAX = 1_000_000
# How long after its loss, and how often, a worker is asked whether its process has
# ended.
CRASH_PROOF_WAIT_S = 30.0
CRASH_PROOF_INTERVAL_S = 1.0
# Interval at which a leader that may have a successor checks again.
CONFIRM_RETRY_S = 0.1
# Longest wait of a poll of a worker that runs standing and best-effort tasks; a
# reported latency covers 0.5 s.
THROTTLED_POLL_WAIT_MS = 300
# With more workers than this, each is polled less often, so that the leader keeps up.
WORKERS_AT_FULL_POLL_RATE = 100
# Runs named in one log line.
LOGGED_RUNS_MAX = 10
# Workers named in one log line.
LOGGED_WORKERS_MAX = 10
# Interval of the reports of workers for which inherited work waits.
AWAITED_REPORT_INTERVAL_S = 1.0


class FleetWorkers(LinkListener):
    """Keeps a capacity and a link for each worker and handles the links' events.

    Parameters
    ----------
    worker_client : FleetWorkerClient
        Client of the workers' API.
    clock : IReactorTime
        Reactor clock.
    get_fencing_token : callable
        Returns the leader's fencing token.
    desired_state : DesiredState
        Configuration and evacuated data centres.
    registry : RunRegistry
        Jobs and runs.
    membership : WorkerMembership
        Workers on which runs may have been started, by any leader.
    unreachable : UnreachableWorkers
        Record of the workers that do not answer.
    throttler : RunThrottler
        Throttles best-effort runs.
    faults : FaultAttribution
        Finds workers whose runs fail.
    crashes : CrashAttribution
        Finds tasks that crash workers.
    usage : WorkspaceUsage
        Counts the runs of each workspace.
    metrics : FleetMetrics
        Counters and histograms.
    on_change : callable
        Called when capacity or work may have changed.
    on_ended : callable
        Called when runs have ended.
    on_fenced : callable
        Called with the id of a worker that has seen a later fencing token.
    on_ticket_rejected : callable
        Called with a step and the capacity of a worker that rejected its ticket.
    run_lease_max_s : float
        Longest lease of a run that workers grant.
    stop_timeout_s : float
        Longest time in which a worker ends a run.
    get_contact_s : callable
        Returns the time of the last contact with the store that showed no successor.
    get_leases_end_s : callable
        Returns the time beyond which no lease may be granted.
    may_start : callable
        Returns whether starts may be sent now.
    confirm_soon : callable
        Requests a contact with the store, to learn whether there is a successor.

    Attributes
    ----------
    capacities : dict of str to WorkerCapacity
        By worker id.
    runs : FleetRuns
        Runs on the workers.
    unpolled_workers : set of str
        Workers on which a former leader may have started runs and which have not
        been polled since.
    """

    def __init__(
        self,
        worker_client: FleetWorkerClient,
        clock,
        get_fencing_token: Callable[[], int],
        desired_state: DesiredState,
        registry: RunRegistry,
        membership: WorkerMembership,
        unreachable: UnreachableWorkers,
        throttler: RunThrottler,
        faults: FaultAttribution,
        crashes: CrashAttribution,
        usage: WorkspaceUsage,
        metrics: FleetMetrics,
        on_change: Callable[[], None],
        on_ended: Callable[[], None],
        on_fenced: Callable[[str], None],
        on_ticket_rejected: Callable[[StepState, WorkerCapacity], None],
        run_lease_max_s: float,
        stop_timeout_s: float,
        get_contact_s: Callable[[], float],
        get_leases_end_s: Callable[[], float],
        may_start: Callable[[], bool],
        confirm_soon: Callable[[], None],
    ) -> None:
        self._worker_client = worker_client
        self._clock = clock
        self._get_fencing_token = get_fencing_token
        self._desired_state = desired_state
        self._membership = membership
        self._unreachable = unreachable
        self._crashes = crashes
        self._usage = usage
        self._metrics = metrics
        self._on_change = on_change
        self._on_ended = on_ended
        self._on_fenced = on_fenced
        self._lease_s = min(RUN_LEASE_TARGET_S, run_lease_max_s)
        self._lease_max_s = run_lease_max_s
        self._stop_timeout_s = stop_timeout_s
        self._lease_bound_s = lease_bound_s(self._lease_s, stop_timeout_s)
        self.capacities: dict[str, WorkerCapacity] = {}
        self._links: dict[str, WorkerLink] = {}
        # Numbers of the newest fencing tokens in this term, by worker id.
        self._token_numbers: dict[str, int] = {}
        self._get_contact_s = get_contact_s
        # Runs of starts without an answer, and what else calls for ended incarnations
        # may still do at the next ones, by worker id.
        self._ended_incarnations: dict[str, tuple[WorkerCapacity, WorkerEvidence]] = {}
        self._entries = WorkerEntries()
        # Entries that name another incarnation than the known one, by worker id.
        self._announced: dict[str, WorkerEntry] = {}
        self.unpolled_workers: set[str] = set()
        # Workers that answer and get no lease yet.
        self._withheld: set[str] = set()
        self._are_entries_listed = False
        # Workers without an entry of which the first probe is open.
        self._first_probes: set[str] = set()
        self._is_closed = False
        self._awaited_reported_s = clock.seconds()
        self.runs = FleetRuns(
            clock,
            registry,
            throttler,
            faults,
            crashes,
            metrics,
            self.capacities,
            self._links,
            on_ticket_rejected,
            usage,
        )
        self._get_leases_end_s = get_leases_end_s
        self._may_start = may_start
        self._confirm_soon = confirm_soon
        # When the leases from a former leader have expired at every worker, whose
        # clocks may be slow for the length of one lease, and their runs have ended.
        # Workers that it could not reach have expired earlier.
        self._former_leases_expire_s = (
            clock.seconds() + WORKER_LEASES_MAX_S + self._lease_bound_s - self._lease_s
        )
        # The same for leases that they granted before the election, at workers that
        # hold the longest one.
        self._longest_lease_bound_s = lease_bound_s(run_lease_max_s, stop_timeout_s)
        self._longest_leases_expire_s = clock.seconds() + self._longest_lease_bound_s
        # By id of a worker without an entry: the start of the incarnation that has
        # answered, and when the longest lease that it may hold has expired.
        self._probed: dict[str, tuple[int, float]] = {}

    def close(self) -> None:
        """Stop all links."""
        self._is_closed = True
        for link in self._links.values():
            link.close()
        self.runs.close()

    def _next_token_number(self, worker_id: str) -> int:
        """Return a number of a fencing token above the former ones of a worker."""
        number = self._token_numbers.get(worker_id, 0) + 1
        self._token_numbers[worker_id] = min(number, TOKENS_PER_TERM_MAX - 1)
        return self._token_numbers[worker_id]

    def _fencing_token(self, number: int) -> int:
        """Return a fencing token of this term, lower than those of later ones."""
        return self._get_fencing_token() * TOKENS_PER_TERM_MAX + number

    def _probe_token(self, worker_id: str) -> int:
        """Return a fencing token that does not shut out the link of a worker."""
        return self._fencing_token(self._token_numbers.get(worker_id, 0))

    @property
    def former_leases_expire_s(self) -> float:
        """Time at which the leases from all former leaders have expired."""
        return self._former_leases_expire_s

    def on_former_leader_stopped(
        self, elected_s: float, earlier_left_s: float = math.inf
    ) -> None:
        """Record that the former leader, elected by `elected_s`, has stopped.

        Its own predecessors may be cut off and renew leases for a time after that;
        `earlier_left_s` is what the former leader knows of when those have expired.
        """
        now_s = self._clock.seconds()
        earlier_expire_s = min(
            elected_s + WORKER_LEASES_MAX_S + self._lease_bound_s - self._lease_s,
            now_s + earlier_left_s,
        )
        expire_s = max(now_s + self._lease_bound_s, earlier_expire_s)
        self._former_leases_expire_s = min(self._former_leases_expire_s, expire_s)
        for worker_id, link in self._links.items():
            link.evidence.limit_former_leases(self._former_expiry_s(worker_id))

    def _former_expiry_s(self, worker_id: str) -> float:
        """Return when the leases of a worker from former leaders have expired.

        Their calls for an earlier incarnation may have granted the longest one, before
        they stored that the incarnation is not settled.
        """
        stored_s = self._unreachable.former_expiry_s(worker_id)
        expire_s = self._former_leases_expire_s
        if self._membership.is_unsettled(worker_id):
            expire_s = max(expire_s, self._longest_leases_expire_s)
        if worker_id in self._probed:
            return max(min(expire_s, stored_s), self._probed[worker_id][1])
        return min(expire_s, stored_s)

    def _record_probed(self, worker_id: str, started_at_ms: int) -> None:
        """Record that a worker without an entry has answered and runs tasks.

        An incarnation that is not settled may hold the longest lease, from its first
        answer under the fencing token of this leader.
        """
        known_ms, _ = self._probed.get(worker_id, (-1, NEVER_S))
        if known_ms != started_at_ms and not self._membership.is_settled(
            worker_id, started_at_ms
        ):
            expire_s = self._clock.seconds() + self._longest_lease_bound_s
            self._probed[worker_id] = started_at_ms, expire_s

    def expire_unpolled_workers(self) -> None:
        """Stop waiting for workers whose leases from a former leader have expired.

        If another daemon may have led by then, it may have renewed them. A worker that
        may answer the first call of this leader is waited for.
        """
        self._report_awaited_workers()
        contact_s = self._get_contact_s()
        # A worker without an entry has no link that would detect the expiry.
        expired = [
            worker_id
            for worker_id in sorted(self.unpolled_workers)
            if contact_s >= self._former_expiry_s(worker_id)
            and not self._is_untried(worker_id)
            and not self._is_answering(worker_id)
        ]
        if not expired:
            return
        log_event(
            "workers.given-up",
            count=len(expired),
            workers=",".join(expired[:LOGGED_WORKERS_MAX]),
        )
        for worker_id in expired:
            self.runs.record_former_end(worker_id, has_crashed=False)
            self._remove_worker(worker_id)

    def _is_untried(self, worker_id: str) -> bool:
        """Return whether the first call of a worker is open, or not yet sent."""
        if not self._are_entries_listed:
            return True
        link = self._links.get(worker_id)
        if link is None:
            return worker_id in self._first_probes
        return link.evidence.is_untried

    def _is_answering(self, worker_id: str) -> bool:
        """Return whether a worker with an entry answers, and may list further ends."""
        link = self._links.get(worker_id)
        return link is not None and link.evidence.is_answering

    def name_unreachable_workers(self) -> None:
        """Tell successors how long workers that do not answer may run tasks yet."""
        now_s = self._clock.seconds()
        # A worker that the former leader named stays named before its first call fails.
        expiries_s = {
            worker_id: self._former_expiry_s(worker_id)
            for worker_id in self.unpolled_workers
            if self._unreachable.was_named(worker_id)
            or (worker_id not in self._links and not self._is_untried(worker_id))
        }
        expiries_s.pop(UNKNOWN_WORKERS, None)
        for worker_id, link in self._links.items():
            if link.evidence.is_silent(now_s) and self._membership.is_stored(worker_id):
                expiries_s[worker_id] = link.evidence.find_lease_expiry_s()
        self._unreachable.set_unreachable(expiries_s)

    def release_empty_workers(self) -> None:
        """Drop workers from the membership that leave and on which nothing runs.

        No successor then waits for them. None starts there before it is stored again.
        """
        for worker_id, capacity in self.capacities.items():
            if capacity.is_listed and not capacity.entry.is_draining:
                continue
            is_empty = capacity.is_synced and not capacity.runs
            if is_empty and self._links[worker_id].evidence.is_quiescent:
                self._membership.discard(worker_id)

    def on_record_stored(self) -> None:
        """Poll the workers that answer and may get leases now."""
        for worker_id in list(self._withheld):
            if self._is_withheld(worker_id):
                continue
            self._withheld.discard(worker_id)
            link = self._links.get(worker_id)
            if link is not None and link.evidence.is_answering:
                link.poll_soon()
        self._on_change()

    def _report_awaited_workers(self) -> None:
        """Log for which workers inherited work waits, and for how long yet."""
        now_s = self._clock.seconds()
        if (
            not self.unpolled_workers
            or now_s - self._awaited_reported_s < AWAITED_REPORT_INTERVAL_S
        ):
            return
        self._awaited_reported_s = now_s
        log_event(
            "workers.awaited",
            count=len(self.unpolled_workers),
            left_s=max(map(self._former_expiry_s, self.unpolled_workers)) - now_s,
            workers=",".join(sorted(self.unpolled_workers)[:LOGGED_WORKERS_MAX]),
        )

    def probe_unlisted_workers(self) -> None:
        """Find out which unpolled workers without an entry have ended.

        Work need not wait for the leases of a worker if another process answers at
        its address, or if it lists all ends and nothing runs. A refused connection
        proves nothing: a partition may reject connections to a worker that runs on.
        """
        self._are_entries_listed = True
        for worker_id in sorted(self.unpolled_workers - set(self.capacities)):
            # Workers of a membership that cannot be read have no address.
            if self._membership.is_stored(worker_id):
                self._probe(self._membership.entry_of(worker_id))

    @inlineCallbacks
    def _probe(self, entry: WorkerEntry):
        worker_id = entry.worker_id
        self._first_probes.add(worker_id)
        while not self._is_closed and worker_id in self.unpolled_workers:
            try:
                result = yield self._worker_client.poll(
                    entry, self._probe_token(worker_id), 0, 0, 0
                )
                if not result.running and len(result.ended) < ENDS_LISTED_MAX:
                    self._on_probed_ended(worker_id, result)
                    return
                self._record_probed(worker_id, result.started_at_ms)
            except WrongIncarnationError:
                self._on_probed_ended(worker_id)
                return
            except PlatformError:
                pass
            finally:
                self._first_probes.discard(worker_id)
            yield deferLater(self._clock, POLL_RETRY_S)

    def _on_probed_ended(
        self, worker_id: str, result: PollResult | None = None
    ) -> None:
        """Stop waiting for a worker, unless it has got an entry since.

        Parameters
        ----------
        worker_id : str
            The worker.
        result : PollResult or None
            Its answer, with all ends; None if another worker answers at its address.
        """
        if self._is_closed or worker_id in self.capacities:
            return
        if result is None:
            self.runs.record_former_end(worker_id, has_crashed=True)
        else:
            self.runs.apply_first_poll(worker_id, result)
            self.runs.apply_former_ends(worker_id, result)
            self._on_ended()
        log_event("worker.gone", worker=worker_id)
        self._remove_worker(worker_id)
        self._on_change()

    def schedulable_capacities(self) -> list[WorkerCapacity]:
        """Return the capacities of the workers on which new tasks may start."""
        return [
            capacity
            for capacity in self.capacities.values()
            if self._is_schedulable(capacity)
        ]

    def last_end_numbers(self) -> dict[WorkerLink, int]:
        """Return the highest end number that was applied, by link."""
        return {
            link: link.evidence.storable_end_number for link in self._links.values()
        }

    def acknowledge_ends(
        self,
        last_end_numbers: dict[WorkerLink, int],
        unstored_jobs: Set[str] = frozenset(),
        given_up_jobs: Set[str] = frozenset(),
    ) -> None:
        """Let workers drop the ends that are stored.

        An end whose job is not stored holds back the later ends of its worker. A worker
        lists a limited number, so the others would never be read: before that, ends of
        jobs that the store refuses for good are acknowledged all the same.

        Parameters
        ----------
        last_end_numbers : dict of WorkerLink to int
            What `last_end_numbers` returned.
        unstored_jobs : set of str
            Jobs that are not stored as they were then.
        given_up_jobs : set of str
            Those of them that the store refuses for good, and whose progress as of then
            was reported to the other daemons.
        """
        # End numbers belong to one incarnation of a worker, and so does a link.
        for link, number in last_end_numbers.items():
            evidence = link.evidence
            if given_up_jobs and evidence.is_list_filled:
                count = evidence.unstored_ends.drop_jobs(number, given_up_jobs)
                if count:
                    log_event("ends.given-up", worker=link.entry.worker_id, count=count)
            link.acknowledge(evidence.unstored_ends.drop_stored(number, unstored_jobs))

    def evidence_of_waits(self) -> Iterator[tuple[str, WorkerEvidence]]:
        """Yield the workers with ends that wait for their acknowledgement."""
        for worker_id, link in self._links.items():
            if link.evidence.has_waiting_ends:
                yield worker_id, link.evidence

    def apply_entry(self, record: Record) -> None:
        """Apply a change of a worker's entry."""
        worker_id = record.key[len(WORKERS_PREFIX) :]
        entry = self._entries.decode(worker_id, record)
        capacity = self.capacities.get(worker_id)
        if entry is None:
            self._announced.pop(worker_id, None)
            if capacity is not None:
                if capacity.is_listed:
                    log_event("worker.unlisted", worker=worker_id)
                capacity.is_listed = False
                self._remove_if_empty(capacity)
            return
        if capacity is None:
            self._add_worker(entry)
        elif entry.started_at_ms != capacity.entry.started_at_ms:
            is_confirming = worker_id in self._announced
            self._announced[worker_id] = entry
            # It may run a copy of a start that was sent to the known one.
            self._links[worker_id].evidence.extend_kept(self._clock.seconds())
            if not is_confirming:
                self._confirm_incarnation(worker_id)
        else:
            self._announced.pop(worker_id, None)
            self._update_entry(capacity, entry)

    def _update_entry(self, capacity: WorkerCapacity, entry: WorkerEntry) -> None:
        """Apply a changed entry of a known incarnation."""
        if capacity.entry.is_draining != entry.is_draining:
            log_event("worker.draining", worker=entry.worker_id)
        capacity.update_entry(entry)
        self._links[entry.worker_id].entry = entry
        if not capacity.is_listed:
            capacity.is_listed = True
            self._stop_misplaced(capacity)
        if entry.is_draining:
            self.runs.evict_draining(capacity)
        elif capacity.is_synced:
            self._set_member(self._links[entry.worker_id])

    def _stop_misplaced(self, capacity: WorkerCapacity) -> None:
        """Stop what a new incarnation may not run, once it and its entry are read.

        Only calls for an earlier one can have started runs of another kind or size.
        """
        entry = capacity.entry
        if not capacity.is_synced or not capacity.is_listed:
            return
        if not self._membership.is_settled(entry.worker_id, entry.started_at_ms):
            self.runs.stop_misplaced(capacity)

    @inlineCallbacks
    def _confirm_incarnation(self, worker_id: str):
        """Ask an announced incarnation whether it has replaced the known one.

        Its entry alone does not end the known one: it may be written late, or by
        another writer.
        """
        while not self._is_closed and worker_id in self._announced:
            entry = self._announced[worker_id]
            known = self.capacities.get(worker_id)
            if known is None:
                self._add_worker(entry)
                return
            try:
                result = yield self._worker_client.poll(
                    entry, self._probe_token(worker_id), 0, 0, 0
                )
            except WrongIncarnationError:
                # Another worker has the announced address.
                if self._announced.get(worker_id) is entry:
                    del self._announced[worker_id]
            except PlatformError:
                yield deferLater(self._clock, POLL_RETRY_S)
            else:
                if self._is_closed or self._announced.get(worker_id) is not entry:
                    continue
                # The answer proves nothing of an incarnation that was added since.
                if self.capacities.get(worker_id) is known:
                    self._apply_announcement(entry, known, result.started_at_ms)

    def _apply_announcement(
        self, entry: WorkerEntry, known: WorkerCapacity, started_at_ms: int
    ) -> None:
        """Apply the answer at the address of an announced incarnation.

        Parameters
        ----------
        entry : WorkerEntry
            The announced incarnation.
        known : WorkerCapacity
            The known one.
        started_at_ms : int
            Start of the incarnation that answered, 0 if it is not known.
        """
        worker_id = entry.worker_id
        del self._announced[worker_id]
        if started_at_ms == known.entry.started_at_ms:
            if entry.started_at_ms == started_at_ms:
                self._update_entry(known, entry)
            else:
                log_event("worker.entry-outdated", worker=worker_id)
            return
        self._drop_replaced(worker_id, "restarted", started_at_ms)
        if started_at_ms in (0, entry.started_at_ms):
            self._add_worker(entry)

    def _drop_replaced(self, worker_id: str, why: str, started_at_ms: int = 0) -> None:
        """Drop an incarnation that the next one, of a known start or 0, has replaced.

        Late orders of a former leader may have reached the next one, also if the former
        one was polled. Inherited work that waits for any worker waits for it.
        """
        has_inherited_work = bool(self.unpolled_workers)
        self._drop_incarnation(
            worker_id, DropEvidence.INCARNATION_REPLACED, why, is_member=True
        )
        if has_inherited_work:
            self.unpolled_workers.add(worker_id)
            self._record_probed(worker_id, started_at_ms)

    def _add_worker(self, entry: WorkerEntry) -> None:
        worker_id = entry.worker_id
        self._announced.pop(worker_id, None)
        capacity = WorkerCapacity(entry, self._usage)
        self.capacities[worker_id] = capacity
        evidence = WorkerEvidence(
            self._lease_s, self._lease_max_s, self._stop_timeout_s
        )
        if worker_id in self._ended_incarnations:
            ended, evidence = self._ended_incarnations.pop(worker_id)
            for run, step in ended.runs.values():
                run.forget_reports(step)
                capacity.add(run, step)
        evidence.begin_incarnation(self._former_expiry_s(worker_id))
        link = WorkerLink(
            entry,
            self._worker_client,
            self._clock,
            LinkFencing(
                partial(self._next_token_number, worker_id), self._fencing_token
            ),
            self,
            evidence,
            partial(self._leases_end_s, worker_id),
            self._may_start,
        )
        self._links[worker_id] = link
        link.open()

    def _drop_incarnation(
        self,
        worker_id: str,
        evidence: DropEvidence,
        why: str,
        is_member: bool = False,
        may_return: bool = True,
    ) -> None:
        """Drop an incarnation of a worker, whose runs have all ended.

        The evidence was received just now. A copy of a start without a response may
        still reach a later incarnation, if the worker may return to its address. Its
        run counts until then. `is_member` keeps the worker in the membership for its
        next incarnation.
        """
        capacity = self.capacities.pop(worker_id)
        link = self._links.pop(worker_id)
        link.close()
        log_event(
            "worker.life-over",
            worker=worker_id,
            why=why,
            runs=len(capacity.runs),
            incarnation=capacity.entry.started_at_ms,
        )
        now_s = self._clock.seconds()
        carried = link.evidence.carry_over(now_s, may_return, is_replaced=True)
        self.runs.drop_crashed_runs(
            capacity,
            link.evidence.broken_s,
            DropCause(evidence, now_s),
            carried.starts_in_flight(now_s),
        )
        if worker_id in self.unpolled_workers:
            self.runs.record_former_end(worker_id, not capacity.entry.is_draining)
        self._keep_evidence(capacity, carried)
        if not capacity.runs and not is_member:
            self._remove_worker(worker_id)
        self.unpolled_workers.discard(worker_id)
        self._on_change()

    def _keep_evidence(self, capacity: WorkerCapacity, carried: WorkerEvidence) -> None:
        """Keep what calls to a dropped worker may still do at its next incarnation."""
        self._hold_usage(capacity, carried)
        self._ended_incarnations[capacity.entry.worker_id] = capacity, carried

    def _hold_usage(self, capacity: WorkerCapacity, evidence: WorkerEvidence) -> None:
        """Count starts that may be carried out late until their leases would end."""
        late_runs = evidence.late_runs(self._clock.seconds())
        for run_id, until_s in late_runs.items():
            self._usage.hold(capacity.entry, run_id, until_s)

    def refresh_usage(self) -> None:
        """Update what counts against workspaces' caps beside the runs on workers."""
        configuration = self._desired_state.configuration
        if configuration is None or not configuration.workspaces:
            return
        if not self._usage.is_counting:
            ended = (capacity for capacity, _ in self._ended_incarnations.values())
            self._usage.start(
                (capacity.entry, capacity.runs.values())
                for capacity in (*self.capacities.values(), *ended)
            )
        entries = {}
        if self.unpolled_workers:
            entries = {name: found.entry for name, found in self.capacities.items()}
        self._usage.set_unpolled(self.unpolled_workers, entries)

    def _remove_if_empty(self, capacity: WorkerCapacity) -> None:
        """Remove a worker without an entry on which nothing runs or may start."""
        worker_id = capacity.entry.worker_id
        link = self._links[worker_id]
        if not capacity.is_synced or capacity.runs or not link.evidence.is_quiescent:
            return
        self._drop_unlisted(capacity)

    def _drop_unlisted(self, capacity: WorkerCapacity) -> None:
        """Drop a worker without an entry whose runs have all ended."""
        worker_id = capacity.entry.worker_id
        link = self._links.pop(worker_id)
        link.close()
        del self.capacities[worker_id]
        self._keep_evidence(capacity, link.evidence.carry_over(self._clock.seconds()))
        self._remove_worker(worker_id)

    def expire_late_starts(self) -> None:
        """Drop the runs that calls to lost workers can have started no more.

        These are ended incarnations, and workers whose leases have expired.
        """
        if self._usage.expire_holds(self._clock.seconds()):
            self._on_change()
        for worker_id, link in list(self._links.items()):
            capacity = self.capacities[worker_id]
            if link.evidence.has_lease_expired:
                kept = link.evidence.kept_runs(capacity.runs.keys())
                self._drop_expired_starts(capacity, link.evidence, kept)
        contact_s = self._get_contact_s()
        for worker_id, ended in list(self._ended_incarnations.items()):
            capacity, evidence = ended
            run_ids = capacity.runs.keys()
            has_expired = self._drop_expired_starts(capacity, evidence, run_ids)
            if has_expired and not capacity.runs:
                self._remove_worker(worker_id)
            if evidence.is_spent(contact_s) and not capacity.runs:
                del self._ended_incarnations[worker_id]
                if worker_id not in self.unpolled_workers:
                    self._remove_worker(worker_id)

    def _drop_expired_starts(
        self, capacity: WorkerCapacity, evidence: WorkerEvidence, run_ids: Set[RunId]
    ) -> bool:
        """Drop those of the runs whose starts have expired; return whether there were.

        If another daemon may have led by then, it may have adopted them.
        """
        if not run_ids:
            return False
        expired = evidence.expired_starts(run_ids, self._get_contact_s())
        now_s = self._clock.seconds()
        if len(expired) < len(evidence.expired_starts(run_ids, now_s)):
            self._confirm_soon()
        for run_id, cause in expired.items():
            self.runs.drop_lost(capacity, capacity.runs[run_id][0], cause)
        if expired:
            self._on_change()
        return bool(expired)

    def _is_withheld(self, worker_id: str) -> bool:
        """Return whether a worker gets no lease, as a successor would not count it."""
        return self._unreachable.may_be_named(
            worker_id
        ) or self._membership.is_incarnation_unstored(worker_id)

    def _leases_end_s(self, worker_id: str) -> float:
        """Return the time beyond which a worker may get no lease."""
        if self._is_withheld(worker_id):
            return NEVER_S
        return self._get_leases_end_s()

    def _is_schedulable(self, capacity: WorkerCapacity) -> bool:
        """Return whether new tasks may start on a worker."""
        link = self._links[capacity.entry.worker_id]
        return (
            capacity.is_synced
            and capacity.is_listed
            and capacity.entry.worker_id not in self._announced
            and self._membership.is_stored(capacity.entry.worker_id)
            and not self._unreachable.may_be_named(capacity.entry.worker_id)
            and link.evidence.is_reachable
            and not capacity.entry.is_draining
            and capacity.entry.data_centre not in self._desired_state.data_centres_out
        )

    # Events of links

    def on_polled(self, link: WorkerLink, result: PollResult, sent_s: float) -> None:
        """Apply the result of a poll."""
        worker_id = link.entry.worker_id
        self._unreachable.withdraw(worker_id)
        capacity = self.capacities[worker_id]
        if not capacity.is_synced:
            # First, as the incarnation gets leases even if its report is not applied.
            self._record_first_answer(link)
        self._report_overrun(link, result)
        self.runs.apply_poll(capacity, link, result, sent_s)
        if worker_id in self.unpolled_workers:
            self.runs.apply_first_poll(worker_id, result)
        link.set_poll_wait(self._poll_wait_ms(capacity))
        is_usable_now = not capacity.is_synced or worker_id in self.unpolled_workers
        if not capacity.is_synced:
            capacity.is_synced = True
            log_event(
                "worker.read",
                worker=worker_id,
                running=len(result.running),
                incarnation=result.started_at_ms,
                clock_ms=result.clock_ms,
            )
            self._stop_misplaced(capacity)
        if self._is_withheld(worker_id):
            self._withheld.add(worker_id)
        if len(result.ended) < ENDS_LISTED_MAX:
            # The other ends follow once these are acknowledged.
            self.unpolled_workers.discard(worker_id)
        if result.ended:
            self._on_ended()
        # What a poll reports of loads alone is planned with at the next tick.
        if result.ended or is_usable_now:
            self._on_change()

    def _record_first_answer(self, link: WorkerLink) -> None:
        """Record the first answer of an incarnation, and store which one it is."""
        worker_id = link.entry.worker_id
        evidence = link.evidence
        is_settled = self._membership.is_settled(worker_id, evidence.started_at_ms)
        evidence.confirm_incarnation(is_settled, self._clock.seconds())
        if not is_settled:
            log_event(
                "worker.unsettled",
                worker=worker_id,
                incarnation=evidence.started_at_ms,
            )
        self._set_member(link)

    def _set_member(self, link: WorkerLink) -> None:
        """Store the address and the incarnation of a worker that has answered."""
        evidence = link.evidence
        is_settled = evidence.have_longest_leases_expired(self._clock.seconds())
        incarnation = KnownIncarnation(evidence.started_at_ms, is_settled)
        self._membership.set_member(
            link.entry.worker_id, link.entry.address, incarnation
        )

    def settle_incarnations(self) -> None:
        """Store which workers hold no lease by a call for an earlier incarnation."""
        now_s = self._clock.seconds()
        unsettled = self._membership.unsettled_workers()
        self._metrics.unsettled_workers.set(len(unsettled))
        withheld = (
            link.evidence.is_answering and self._is_withheld(worker_id)
            for worker_id, link in self._links.items()
        )
        self._metrics.withheld_workers.set(sum(withheld))
        self._membership.settle(
            [
                worker_id
                for worker_id in unsettled
                if (link := self._links.get(worker_id)) is not None
                and link.evidence.have_longest_leases_expired(now_s)
            ]
        )
        self._membership.forget_former(self._links)

    def _report_overrun(self, link: WorkerLink, result: PollResult) -> None:
        """Log, once, that a worker lists runs as running beyond its lease."""
        overrun_ms = link.evidence.lease_overrun_ms if result.running else 0
        if overrun_ms and not link.is_overrun_reported:
            self._metrics.lease_overrun_s.observe(overrun_ms / 1000)
            run_ids = [listed.run for listed in result.running[:LOGGED_RUNS_MAX]]
            log_event(
                "worker.lease-overrun",
                worker=link.entry.worker_id,
                overrun_ms=overrun_ms,
                count=len(result.running),
                runs=",".join(map(format_run_id, run_ids)),
            )
        link.is_overrun_reported = overrun_ms > 0

    def _poll_wait_ms(self, capacity: WorkerCapacity) -> int:
        """Return how long the next poll may wait for an end."""
        if capacity.serving_count and capacity.best_effort_milli:
            slowdown = max(1.0, len(self.capacities) / WORKERS_AT_FULL_POLL_RATE)
            return int(THROTTLED_POLL_WAIT_MS * slowdown)
        if self._crashes.is_reserved(capacity.entry.worker_id):
            return PROBATION_MS
        return POLL_WAIT_MS

    def on_started(self, link: WorkerLink, run: Run) -> None:
        """Handle a worker's confirmation that a run was started."""
        self.runs.on_started(run)

    def may_retry_start(self, run: Run) -> bool:
        """Return whether a run is listed or its worker has not shrunk below its runs.

        A worker that does not enforce its capacity carries out any start.
        """
        capacity = self.capacities.get(run.worker_id)
        return (
            run.phase is not RunPhase.STARTING
            or capacity is None
            or not capacity.is_overcommitted
        )

    def is_wanted(self, link: WorkerLink, run_id: RunId) -> bool:
        """Return whether a run that a worker lists counts for its task."""
        pair = self.capacities[link.entry.worker_id].runs.get(run_id)
        return pair is not None and self.runs.is_wanted(pair[0])

    def on_refused(self, link: WorkerLink, run: Run, reason: RefusalReason) -> None:
        """Handle a worker's refusal to start a run."""
        self.runs.on_refused(run, reason)
        self._on_change()

    def on_lease_expired(self, link: WorkerLink) -> None:
        """Drop the runs of a worker that was unreachable for the length of a lease.

        If another daemon may have led by then, it may have reached the worker and
        renewed the lease. The runs then count until that is ruled out; the lease of the
        leader's record does not, since the store may take the record away.
        """
        cause = link.evidence.confirm_expiry(self._get_contact_s())
        if cause is not None:
            self._drop_expired(link, cause)
        elif not link.is_closed:
            self._clock.callLater(CONFIRM_RETRY_S, self._recheck_expiry, link)

    def _recheck_expiry(self, link: WorkerLink) -> None:
        """Handle an unconfirmed expiry again, unless the worker responded since."""
        if link.evidence.has_lease_expired and not link.is_closed:
            self.on_lease_expired(link)

    def _drop_expired(self, link: WorkerLink, cause: DropCause) -> None:
        worker_id = link.entry.worker_id
        capacity = self.capacities[worker_id]
        self._metrics.worker_events.labels("lapsed").inc()
        kept = link.evidence.keep_starts(capacity.runs.keys(), self._clock.seconds())
        self._metrics.counted_starts.labels("leases").inc(len(kept))
        log_event(
            "worker.lapsed",
            worker=worker_id,
            runs=len(capacity.runs),
            kept=len(kept),
            expired_s=self._clock.seconds() - link.evidence.lease_expiry_s,
            awaited=link.evidence.awaited_lease,
        )
        self._hold_usage(capacity, link.evidence)
        if link.evidence.is_refused and capacity.is_synced:
            self._await_proof_of_crash(capacity, link)
        self.runs.drop_lost_runs(capacity, cause, kept)
        if worker_id in self.unpolled_workers:
            self.runs.record_former_end(worker_id, has_crashed=False)
        self.unpolled_workers.discard(worker_id)
        capacity.is_synced = False
        if not capacity.is_listed:
            self._drop_unlisted(capacity)
        self._on_change()

    @inlineCallbacks
    def _await_proof_of_crash(self, capacity: WorkerCapacity, link: WorkerLink):
        """Record a crash of a worker once another process answers at its address.

        A refused connection proves none: a partition may reject connections to a worker
        that runs on, whose runs end with its leases.
        """
        entry = link.entry
        runs = self.runs.stop_watching_runs(capacity)
        if entry.is_draining or not runs:
            return
        broken_s = link.evidence.broken_s
        while not self._is_closed and (
            self._clock.seconds() - broken_s < CRASH_PROOF_WAIT_S
        ):
            yield deferLater(self._clock, CRASH_PROOF_INTERVAL_S)
            try:
                result = yield self._worker_client.poll(
                    entry, self._probe_token(entry.worker_id), 0, 0, 0
                )
            except WrongIncarnationError:
                has_crashed = True
            except PlatformError:
                continue
            else:
                has_crashed = result.started_at_ms not in (0, entry.started_at_ms)
            if has_crashed and not self._is_closed:
                self.runs.record_crash(entry.worker_id, runs, broken_s)
            return

    def _remove_worker(self, worker_id: str) -> None:
        """Remove a worker that is gone from the membership.

        It stays while a start that it may carry out late counts.
        """
        self.unpolled_workers.discard(worker_id)
        ended = self._ended_incarnations.get(worker_id)
        has_late_starts = ended is not None and bool(ended[0].runs)
        if worker_id not in self.capacities and not has_late_starts:
            self._membership.discard(worker_id)

    def on_fenced(self, link: WorkerLink) -> None:
        """Report that the worker has seen a later fencing token."""
        self._on_fenced(link.entry.worker_id)

    def on_identified(self, link: WorkerLink, started_at_ms: int) -> None:
        """Correct an outdated entry by what the worker says of itself.

        A worker that is known by its entry only may run tasks in another incarnation.
        It gets no work before that one's entry, as its capacity may differ.
        """
        entry = replace(link.entry, started_at_ms=started_at_ms)
        log_event("worker.entry-outdated", worker=entry.worker_id)
        link.entry = entry
        capacity = self.capacities[entry.worker_id]
        capacity.update_entry(entry)
        capacity.is_listed = False

    def on_address_taken(self, link: WorkerLink) -> None:
        """Drop the incarnation; calls for its id are rejected at its address."""
        worker_id = link.entry.worker_id
        if self._links.get(worker_id) is not link:
            return
        if worker_id in self.unpolled_workers and (
            self._membership.address_of(worker_id) != link.entry.address
        ):
            # The entry may be outdated; the worker is asked at its stored address.
            link.close()
            del self.capacities[worker_id], self._links[worker_id]
            self._probe(self._membership.entry_of(worker_id))
            return
        self._drop_incarnation(
            worker_id,
            DropEvidence.ADDRESS_TAKEN,
            "another worker answers",
            may_return=False,
        )

    def on_replaced(self, link: WorkerLink) -> None:
        """Drop the incarnation; the new one is added with its entry."""
        worker_id = link.entry.worker_id
        if self._links.get(worker_id) is not link:
            return
        self._drop_replaced(worker_id, "another incarnation answers")
        if worker_id in self.unpolled_workers:
            self._probe(link.entry)
