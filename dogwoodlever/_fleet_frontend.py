"""Operations for callers of a daemon: submit, read, cancel and count jobs."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._closable_waits import ClosableWaits, WaitClosedError
from dogwoodlever._fleet_interfaces import Put
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    cancel_key,
    decode_progress,
    decode_submission,
    encode,
    job_key,
    progress_key,
)
from dogwoodlever._fleet_rpc import (
    JOB_METHOD,
    PENDING_METHOD,
    FleetRpc,
    LeaderReply,
)
from dogwoodlever._fleet_types import Step, SubmittedJob
from dogwoodlever._leader_room import LeaderRoom
from dogwoodlever._logs import log_event
from dogwoodlever._pending_counts import AGE_MAX_S, PendingCounts
from dogwoodlever._workspace_keys import (
    UNCHECKED,
    KeyCheck,
    KeyChecker,
    KeyOutcome,
    RefusalCause,
)
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    PlatformError,
    StoredRecordError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnavailableError,
)

CALL_RETRY_S = 0.05
STORE_RETRY_S = 0.05
# Part of a caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.15
# Typical duration of a store outage or a change of leader.
RETRY_AFTER_S = 1
# For longer outages, since callers retry a few times only.
RETRY_AFTER_LONG_S = 2
# How long to call the leader before the store is read.
LEADER_WAIT_S = 0.8
# The same for counts, whose stored jobs take longer to read, and the part of a caller's
# deadline that is left for that.
COUNT_LEADER_WAIT_S = 1.6
COUNT_READ_S = 1.2
# Further steps of a job are not described in the log.
LOGGED_STEPS_MAX = 20
# Attempts of a write whose conditions fail since the configuration has changed; it
# changes a few times a second at most.
CONDITIONAL_WRITES_MAX = 5


def _describe_step(step: Step) -> str:
    """Return a one-word summary of a step, for the log."""
    flags = "".join(
        letter
        for letter, is_set in (
            ("s", step.standing),
            ("l", step.uses_leftover),
            ("c", step.checkpoints),
            ("x", step.speculative),
            ("g", step.gang),
        )
        if is_set
    )
    return (
        f"{step.tasks}x{step.cores_milli}m/{step.memory_mb}MB/"
        f"{step.run_estimate_ms}ms{flags}"
    )


class CallOutcome(StrEnum):
    """Outcome of a caller's call."""

    DONE = "done"
    # The call had no effect and will have none.
    NOT_DONE = "not-done"
    # The call may have taken effect or may still do so.
    UNKNOWN = "unknown"
    ABSENT = "absent"
    # The key was withdrawn before the write; the call will have no effect.
    KEY_REFUSED = "key-refused"
    # A job of another workspace has the id.
    TAKEN = "taken"


class CountSource(StrEnum):
    """Where a count of pending jobs comes from."""

    LEADER = "leader"
    # An earlier answer of the leader, or an earlier count of the stored jobs.
    RECENT = "recent"
    STORED = "stored"
    # Neither answered in time.
    NONE = "none"


@dataclass(slots=True, frozen=True)
class CallResult:
    """Result of a caller's call.

    Attributes
    ----------
    phase : JobPhase or None
        Phase of the job that was read.
    pending : int
        Number of pending jobs of the queue that was read.
    retry_after_s : int
        When to retry, if the call had no effect.
    """

    outcome: CallOutcome
    phase: JobPhase | None = None
    pending: int = 0
    retry_after_s: int = RETRY_AFTER_S


class FleetFrontend:
    """Serves the callers of one daemon.

    Jobs and cancellations are accepted by a write to the store, which needs no
    leader. Reads call the leader, and fall back to the store.

    Parameters
    ----------
    store : ObservedStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    rpc : FleetRpc
        Calls to the leader.
    get_leader : callable
        Returns the leader's member id, empty if it is unknown.
    own_member : str
        This daemon's member id.
    handlers : dict of str to callable
        This daemon's own RPC handlers by method, called while it leads.
    keys : KeyChecker
        Checks keys again when the configuration changes during a call.
    room : LeaderRoom
        Decides whether the leader has memory for a job.
    on_count : callable
        Called with the `CountSource` of each count of pending jobs.
    """

    def __init__(
        self,
        store: ObservedStore,
        clock,
        rpc: FleetRpc,
        get_leader: Callable[[], str],
        own_member: str,
        handlers: dict[str, Callable[[str], LeaderReply]],
        keys: KeyChecker,
        room: LeaderRoom,
        on_count: Callable[[str], None] = lambda source: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rpc = rpc
        self._get_leader = get_leader
        self._own_member = own_member
        self._handlers = handlers
        self._keys = keys
        self._room = room
        self._on_count = on_count
        self._counts = PendingCounts(store, clock)
        self._waits = ClosableWaits()

    @property
    def is_closed(self) -> bool:
        """Whether calls that have to wait fail."""
        return self._waits.is_closed

    def close(self) -> None:
        """End the open calls with what is known of them, since the process stops.

        A call that has not begun to write never will. Later calls that need the store
        or another daemon fail at once.
        """
        self._waits.close()

    @inlineCallbacks
    def _call_store(self, function: Callable[..., Deferred], *arguments):
        """Call the store; fail when this frontend is closed."""
        if self.is_closed:
            raise StoreRefusedError("not called, the process stops")
        try:
            result = yield self._waits.wait_for(function(*arguments))
        except WaitClosedError as error:
            raise StoreUnavailableError("no response before the stop") from error
        return result

    @inlineCallbacks
    def _call_peer(self, function: Callable[..., Deferred], *arguments):
        """Call another daemon; the result is None when this frontend is closed."""
        if self.is_closed:
            return None
        try:
            reply = yield self._waits.wait_for(function(*arguments))
        except WaitClosedError:
            return None
        return reply

    @inlineCallbacks
    def _sleep(self, delay_s: float):
        """Wait, at most until this frontend is closed."""
        with suppress(WaitClosedError):
            yield self._waits.wait_for(deferLater(self._clock, delay_s))

    @inlineCallbacks
    def submit(self, job: SubmittedJob, deadline_s: float, check: KeyCheck = UNCHECKED):
        """Store a job; return a Deferred that fires with a `CallResult`.

        Parameters
        ----------
        job : SubmittedJob
            Validated job.
        deadline_s : float
            Time on the reactor clock at which the caller gives up.
        check : KeyCheck
            Check of the caller's key, which must have been accepted.
        """
        if check.workspace:
            job = msgspec.structs.replace(job, workspace=check.workspace)
        if self._room.is_to_ask():
            # Its reply counts for the next submissions.
            self._call_leader(PENDING_METHOD, job.queue, deadline_s, 0.0)
        if not self._room.take(job):
            # A repeated submission of an accepted job is not refused.
            existence = yield self._check_exists(job.job_id, deadline_s, UNCHECKED)
            if existence is not CallOutcome.DONE:
                # An earlier copy of it may be on its way to the store.
                log_event("job.no-room", job=job.job_id, queue=job.queue)
                self._room.count_refusal()
                return CallResult(CallOutcome.UNKNOWN, retry_after_s=RETRY_AFTER_LONG_S)
        put = Put(job_key(job.job_id), encode(job))
        result = yield self._write(put, deadline_s, check)
        if result.outcome is CallOutcome.TAKEN:
            self._refuse_other_workspace(check, job.queue)
        elif result.outcome is CallOutcome.DONE:
            self._counts.add_accepted(job.job_id, job.queue)
        log_event(
            "job.submitted",
            job=job.job_id,
            queue=job.queue,
            version=job.configuration_version,
            outcome=result.outcome,
            steps=" ".join(map(_describe_step, job.steps[:LOGGED_STEPS_MAX])),
            step_count=len(job.steps),
            **({"workspace": job.workspace} if job.workspace else {}),
        )
        return result

    def _refuse_other_workspace(self, check: KeyCheck, queue: str) -> None:
        self._keys.refuse(RefusalCause.OTHER_WORKSPACE, queue, check.workspace or "")

    @inlineCallbacks
    def cancel(self, job_id: str, deadline_s: float, check: KeyCheck = UNCHECKED):
        """Store a cancellation; return a Deferred that fires with a `CallResult`."""
        existence = yield self._check_exists(job_id, deadline_s, check)
        if existence is CallOutcome.ABSENT:
            return CallResult(existence)
        if existence is CallOutcome.NOT_DONE:
            reply = yield self._call_leader(JOB_METHOD, job_id, deadline_s)
            if reply is None or not reply.phase:
                return self._build_result(existence)
            if check.workspace is not None:
                if reply.workspace is None:
                    return self._build_result(existence)
                if not self._can_access(check, reply.workspace):
                    return CallResult(CallOutcome.ABSENT)
        put = Put(cancel_key(job_id), b"")
        result = yield self._write(put, deadline_s, check)
        log_event("job.cancel-asked", job=job_id, outcome=result.outcome)
        return result

    def _can_access(self, check: KeyCheck, workspace: str) -> bool:
        """Return whether a caller may access a job; if not, count the refusal."""
        if check.can_access(workspace):
            return True
        self._refuse_other_workspace(check, check.queue)
        return False

    @inlineCallbacks
    def _check_exists(self, job_id: str, deadline_s: float, check: KeyCheck):
        if self._store.down_for_s() is not None:
            return CallOutcome.NOT_DONE
        while True:
            try:
                record = yield self._call_store(self._store.read, job_key(job_id))
            except PlatformError as error:
                if self._must_stop_retrying(deadline_s):
                    log_event("job.read-failed", job=job_id, why=str(error)[:160])
                    return CallOutcome.NOT_DONE
                yield self._sleep(STORE_RETRY_S)
                continue
            if record is None:
                return CallOutcome.ABSENT
            if check.workspace is not None:
                workspace = decode_submission(record.value).workspace
                if not self._can_access(check, workspace):
                    return CallOutcome.ABSENT
            return CallOutcome.DONE

    @inlineCallbacks
    def _write(self, put: Put, deadline_s: float, check: KeyCheck):
        """Create a record unless it exists; a retry has no further effect.

        If the store refuses the call or is unreachable, the leader is called to
        write the record. If it cannot either, the call returns immediately.
        """
        is_certain = True
        is_final = False
        if self._store.down_for_s() is not None:
            outcome = yield self._relay_to_leader(put, check)
            return self._build_result(outcome)
        while True:
            try:
                outcome = yield self._commit(put, check)
            except StoreRefusedError as error:
                log_event("write.refused", key=put.key, why=str(error)[:160])
            except (StoreRejectedError, LeaseEndedError) as error:
                # Another attempt would be rejected as well.
                is_final = True
                log_event("write.rejected", key=put.key, why=str(error)[:160])
            except PlatformError as error:
                is_certain = False
                log_event("write.unanswered", key=put.key, why=str(error)[:160])
            else:
                return self._build_result(outcome)
            if is_certain or is_final or self._must_stop_retrying(deadline_s):
                outcome = yield self._relay_to_leader(put, check)
                if outcome is CallOutcome.NOT_DONE and not is_certain:
                    outcome = CallOutcome.UNKNOWN
                return self._build_result(outcome)
            yield self._sleep(STORE_RETRY_S)

    @inlineCallbacks
    def _commit(self, put: Put, check: KeyCheck):
        """Create a record unless it exists, if the key is still valid.

        The write fails if the configuration has changed since the key was checked.
        The key is then checked against the newer version, and the write is repeated;
        a job is accepted by the queue that this version has at the same place.
        Every outcome but `DONE` is certain, also after earlier attempts without an
        answer: their condition can no longer be met, since revisions do not recur.

        Returns
        -------
        Deferred
            Fires with a `CallOutcome`; fails with `PlatformError`.
        """
        for _ in range(CONDITIONAL_WRITES_MAX):
            expected = {put.key: 0, **check.expected}
            result = yield self._call_store(self._store.commit, expected, (put,))
            if result.revision or check.workspace is None:
                return CallOutcome.DONE
            current = {record.key: record for record in result.current}
            existing = current.pop(put.key, None)
            if existing is not None and existing.value is not None:
                return self._judge_existing(put, existing.value, check)
            again = None
            for key in check.expected:
                again = self._keys.check_again(current.get(key), check)
            if again is None:
                # The watch shows the newer configuration soon.
                yield self._sleep(STORE_RETRY_S)
                continue
            if again.outcome is KeyOutcome.UNKNOWN:
                return CallOutcome.KEY_REFUSED
            if again.workspace != check.workspace:
                # The caller's next attempt is checked as a whole.
                return CallOutcome.NOT_DONE
            if put.value:
                if again.outcome is KeyOutcome.NO_QUEUE:
                    log_event("write.queue-dropped", key=put.key, queue=check.queue)
                    return CallOutcome.NOT_DONE
                job = self._keys.accept_again(decode_submission(put.value), again)
                put = Put(put.key, encode(job))
                self._counts.add_accepted(job.job_id, job.queue)
                log_event(
                    "write.accepted-again",
                    key=put.key,
                    queue=job.queue,
                    version=job.configuration_version,
                )
            check = again
        log_event("write.superseded", key=put.key, attempts=CONDITIONAL_WRITES_MAX)
        return CallOutcome.NOT_DONE

    @staticmethod
    def _judge_existing(put: Put, value: bytes, check: KeyCheck) -> CallOutcome:
        """Return the outcome of a write whose record exists already."""
        # A cancellation is empty; it is the same whoever made it.
        if put.value and not check.owns(decode_submission(value).workspace):
            return CallOutcome.TAKEN
        return CallOutcome.DONE

    @inlineCallbacks
    def _relay_to_leader(self, put: Put, check: KeyCheck):
        """Let the leader create a record.

        Returns a Deferred that fires with a `CallOutcome`.
        """
        leader = self._get_leader()
        if not leader or leader == self._own_member:
            return CallOutcome.NOT_DONE
        # A read-only call first, since the outcome of a write is unknown if the
        # leader does not reply.
        status = yield self._call_peer(self._rpc.call, leader, PENDING_METHOD, "")
        if status is None or not status.can_write:
            return CallOutcome.NOT_DONE
        sent_check = None if check.workspace is None else check
        reply = yield self._call_peer(
            self._rpc.create, leader, put.key, put.value, sent_check
        )
        if reply is None:
            return CallOutcome.UNKNOWN
        log_event("write.relayed", key=put.key, leader=leader, outcome=reply.outcome)
        return CallOutcome(reply.outcome)

    @inlineCallbacks
    def create_for_peer(self, key: str, value: bytes, check: KeyCheck | None = None):
        """Create a record for a peer that cannot reach the store.

        The peer's check of the key is repeated here if the configuration has changed
        since, as the peer cannot read the newer version.

        Returns a Deferred that fires with a `CallOutcome`.
        """
        if self._store.down_for_s() is not None:
            return CallOutcome.NOT_DONE
        try:
            outcome = yield self._commit(Put(key, value), check or UNCHECKED)
        except (StoreRefusedError, StoreRejectedError, LeaseEndedError) as error:
            log_event("write.refused", key=key, why=str(error)[:160])
            return CallOutcome.NOT_DONE
        except PlatformError as error:
            log_event("write.unanswered", key=key, why=str(error)[:160])
            return CallOutcome.UNKNOWN
        return outcome

    def _build_result(self, outcome: CallOutcome) -> CallResult:
        down_s = self._store.down_for_s() or 0.0
        is_long_outage = down_s > RETRY_AFTER_S
        return CallResult(
            outcome,
            retry_after_s=RETRY_AFTER_LONG_S if is_long_outage else RETRY_AFTER_S,
        )

    def _must_stop_retrying(self, deadline_s: float) -> bool:
        """Return whether another attempt to reach the store is useless."""
        return (
            self.is_closed
            or self._is_deadline_near(deadline_s)
            or self._store.down_for_s() is not None
        )

    def _is_deadline_near(self, deadline_s: float) -> bool:
        return self._clock.seconds() + RESPONSE_MARGIN_S >= deadline_s

    @inlineCallbacks
    def read(self, job_id: str, deadline_s: float, check: KeyCheck = UNCHECKED):
        """Read a job's phase; return a Deferred that fires with a `CallResult`."""
        reply = yield self._call_leader(JOB_METHOD, job_id, deadline_s)
        # Daemons of versions without workspaces do not tell the job's workspace.
        is_known = check.workspace is None or (reply and reply.workspace is not None)
        if reply is not None and reply.phase and is_known:
            if not self._can_access(check, reply.workspace or ""):
                return CallResult(CallOutcome.ABSENT)
            return CallResult(CallOutcome.DONE, JobPhase(reply.phase))
        # The leader may not have seen the job yet, or there is no leader.
        if self._store.down_for_s() is not None:
            return self._build_result(CallOutcome.NOT_DONE)
        while True:
            try:
                result = yield self._read_stored(job_id, check)
                return result
            except PlatformError as error:
                if self._must_stop_retrying(deadline_s):
                    log_event("job.read-failed", job=job_id, why=str(error)[:160])
                    return self._build_result(CallOutcome.NOT_DONE)
            yield self._sleep(STORE_RETRY_S)

    @inlineCallbacks
    def _read_stored(self, job_id: str, check: KeyCheck):
        record = yield self._call_store(self._store.read, job_key(job_id))
        if record is None:
            return CallResult(CallOutcome.ABSENT)
        try:
            submitted = decode_submission(record.value)
        except StoredRecordError:
            if check.workspace is not None:
                raise
            submitted = None
        if submitted is not None:
            if not self._can_access(check, submitted.workspace):
                return CallResult(CallOutcome.ABSENT)
            if submitted.ended_phase:
                return CallResult(CallOutcome.DONE, JobPhase(submitted.ended_phase))
        progress = yield self._call_store(self._store.read, progress_key(job_id))
        if progress is not None and progress.value is not None:
            phase = JobPhase(decode_progress(progress.value).phase)
            return CallResult(CallOutcome.DONE, phase)
        return CallResult(CallOutcome.DONE, JobPhase.QUEUED)

    @inlineCallbacks
    def count_pending(self, queue: str, deadline_s: float):
        """Count the jobs of a queue that have not started any task.

        While no leader answers that hears from the store, the numbers that it told last
        are the answer, or the stored jobs are counted.

        Returns a Deferred that fires with a `CallResult`.
        """
        sent_s = self._clock.seconds()
        until_s = deadline_s - RESPONSE_MARGIN_S
        wait_s = min(COUNT_LEADER_WAIT_S, until_s - COUNT_READ_S - sent_s)
        if self._counts.is_recent:
            wait_s = 0.0
        reply = yield self._call_leader(PENDING_METHOD, queue, until_s, wait_s)
        # A leader that is cut off from the store does not hear of new jobs.
        if reply is not None and reply.inbox_age_s <= AGE_MAX_S:
            if reply.pending_by_queue is not None:
                self._counts.update(reply.pending_by_queue, sent_s)
            self._on_count(CountSource.LEADER)
            return CallResult(CallOutcome.DONE, pending=reply.pending)
        source = CountSource.RECENT if self._counts.is_recent else CountSource.STORED
        pending = None
        if source is CountSource.RECENT or self._can_read_store():
            with suppress(WaitClosedError):
                counting = self._counts.find(queue, until_s)
                pending = yield self._waits.wait_for(counting)
        if pending is None and reply is not None:
            # Without the store no job is accepted or cancelled either.
            source, pending = CountSource.LEADER, reply.pending
        if pending is None:
            source = CountSource.NONE
        self._on_count(source)
        log_event(
            "count.without-leader",
            queue=queue,
            source=source,
            pending=pending,
            took_s=self._clock.seconds() - sent_s,
        )
        if pending is None:
            return self._build_result(CallOutcome.NOT_DONE)
        return CallResult(CallOutcome.DONE, pending=pending)

    def _can_read_store(self) -> bool:
        """Return whether a read may succeed.

        One that has just failed may have used a connection that carries nothing any
        more, while new ones work.
        """
        return not self.is_closed and (self._store.down_for_s() or 0.0) < RETRY_AFTER_S

    @inlineCallbacks
    def _call_leader(
        self,
        method: str,
        argument: str,
        deadline_s: float,
        wait_s: float = LEADER_WAIT_S,
    ):
        """Call the leader until it replies; return None if it does not in time."""
        limit_s = min(deadline_s, self._clock.seconds() + wait_s)
        while True:
            leader = self._get_leader()
            reply = None
            if leader == self._own_member:
                reply = self._handlers[method](argument)
            elif leader:
                reply = yield self._call_peer(self._rpc.call, leader, method, argument)
            if reply is not None and reply.leads:
                if leader != self._own_member and reply.state_bytes_max:
                    self._room.update(reply.state_bytes, reply.state_bytes_max)
                return reply
            if self.is_closed or self._clock.seconds() >= limit_s:
                return None
            yield self._sleep(CALL_RETRY_S)
