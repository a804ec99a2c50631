"""Operations for callers of a daemon: submit, read, cancel and count jobs."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import Put
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_records import (
    cancel_key,
    decode_progress,
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
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import PlatformError, StoreRefusedError

CALL_RETRY_S = 0.05
STORE_RETRY_S = 0.05
# Part of a caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.15
# Time after which rejected callers retry, unless another one is chosen: the typical
# duration of a store outage or a change of leader.
RETRY_AFTER_S = 1
# Weights of 1 s, 2 s and 3 s after which rejected callers retry, by how long the store
# has been down at most. The times are spread, since callers that are rejected together
# would return together, and are longer in longer outages, since callers with a deadline
# of 3 s retry only about four times.
RETRY_AFTER_WEIGHTS = (
    (1.0, (2, 1, 0)),
    (3.0, (1, 2, 1)),
    (float("inf"), (0, 1, 1)),
)
# How long to call the leader before the store is read.
LEADER_WAIT_S = 0.8


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
    """

    def __init__(
        self,
        store: ObservedStore,
        clock,
        rpc: FleetRpc,
        get_leader: Callable[[], str],
        own_member: str,
        handlers: dict[str, Callable[[str], LeaderReply]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._rpc = rpc
        self._get_leader = get_leader
        self._own_member = own_member
        self._handlers = handlers
        self._random = random.Random(own_member)

    @inlineCallbacks
    def submit(self, job: SubmittedJob, deadline_s: float):
        """Store a job; return a Deferred that fires with a `CallResult`.

        Parameters
        ----------
        job : SubmittedJob
            Validated job.
        deadline_s : float
            Time on the reactor clock at which the caller gives up.
        """
        put = Put(job_key(job.job_id), encode(job))
        result = yield self._write(put, deadline_s)
        log_event(
            "job.submitted",
            job=job.job_id,
            queue=job.queue,
            outcome=result.outcome,
            steps=" ".join(_describe_step(step) for step in job.steps),
        )
        return result

    @inlineCallbacks
    def cancel(self, job_id: str, deadline_s: float):
        """Store a cancellation; return a Deferred that fires with a `CallResult`."""
        existence = yield self._check_exists(job_id, deadline_s)
        if existence is CallOutcome.ABSENT:
            return CallResult(existence)
        if existence is CallOutcome.NOT_DONE:
            reply = yield self._call_leader(JOB_METHOD, job_id, deadline_s)
            if reply is None or not reply.phase:
                return self._build_result(existence)
        result = yield self._write(Put(cancel_key(job_id), b""), deadline_s)
        log_event("job.cancel-asked", job=job_id, outcome=result.outcome)
        return result

    @inlineCallbacks
    def _check_exists(self, job_id: str, deadline_s: float):
        if self._store.down_for_s() is not None:
            return CallOutcome.NOT_DONE
        while True:
            try:
                record = yield self._store.read(job_key(job_id))
            except PlatformError as error:
                if self._must_stop_retrying(deadline_s):
                    log_event("job.read-failed", job=job_id, why=str(error)[:160])
                    return CallOutcome.NOT_DONE
                yield deferLater(self._clock, STORE_RETRY_S)
                continue
            return CallOutcome.ABSENT if record is None else CallOutcome.DONE

    @inlineCallbacks
    def _write(self, put: Put, deadline_s: float):
        """Create a record unless it exists; a retry has no further effect.

        If the store refuses the call or is unreachable, the leader is called to
        write the record. If it cannot either, the call returns immediately.
        """
        is_certain = True
        if self._store.down_for_s() is not None:
            outcome = yield self._relay_to_leader(put)
            return self._build_result(outcome)
        while True:
            try:
                yield self._store.commit({put.key: 0}, (put,))
            except StoreRefusedError as error:
                log_event("write.refused", key=put.key, why=str(error)[:160])
            except PlatformError as error:
                is_certain = False
                log_event("write.unanswered", key=put.key, why=str(error)[:160])
            else:
                return self._build_result(CallOutcome.DONE)
            if is_certain or self._must_stop_retrying(deadline_s):
                outcome = yield self._relay_to_leader(put)
                if outcome is CallOutcome.NOT_DONE and not is_certain:
                    outcome = CallOutcome.UNKNOWN
                return self._build_result(outcome)
            yield deferLater(self._clock, STORE_RETRY_S)

    @inlineCallbacks
    def _relay_to_leader(self, put: Put):
        """Let the leader create a record.

        Returns a Deferred that fires with a `CallOutcome`.
        """
        leader = self._get_leader()
        if not leader or leader == self._own_member:
            return CallOutcome.NOT_DONE
        # A read-only call first, since the outcome of a write is unknown if the
        # leader does not reply.
        status = yield self._rpc.call(leader, PENDING_METHOD, "")
        if status is None or not status.can_write:
            return CallOutcome.NOT_DONE
        reply = yield self._rpc.create(leader, put.key, put.value)
        if reply is None:
            return CallOutcome.UNKNOWN
        log_event("write.relayed", key=put.key, leader=leader, outcome=reply.outcome)
        return CallOutcome(reply.outcome)

    @inlineCallbacks
    def create_for_peer(self, key: str, value: bytes):
        """Create a record for a peer that cannot reach the store.

        Returns a Deferred that fires with a `CallOutcome`.
        """
        if self._store.down_for_s() is not None:
            return CallOutcome.NOT_DONE
        try:
            yield self._store.commit({key: 0}, (Put(key, value),))
        except StoreRefusedError as error:
            log_event("write.refused", key=key, why=str(error)[:160])
            return CallOutcome.NOT_DONE
        except PlatformError as error:
            log_event("write.unanswered", key=key, why=str(error)[:160])
            return CallOutcome.UNKNOWN
        return CallOutcome.DONE

    def rejection(self) -> CallResult:
        """Return the result of a call that is rejected without effect."""
        return self._build_result(CallOutcome.NOT_DONE)

    def _build_result(self, outcome: CallOutcome) -> CallResult:
        return CallResult(outcome, retry_after_s=self._choose_retry_after_s())

    def _choose_retry_after_s(self) -> int:
        down_s = self._store.down_for_s() or 0.0
        weights = next(
            weights for until_s, weights in RETRY_AFTER_WEIGHTS if down_s <= until_s
        )
        return self._random.choices((1, 2, 3), weights)[0]

    def _must_stop_retrying(self, deadline_s: float) -> bool:
        """Return whether another attempt to reach the store is useless."""
        return (
            self._is_deadline_near(deadline_s) or self._store.down_for_s() is not None
        )

    def _is_deadline_near(self, deadline_s: float) -> bool:
        return self._clock.seconds() + RESPONSE_MARGIN_S >= deadline_s

    @inlineCallbacks
    def read(self, job_id: str, deadline_s: float):
        """Read a job's phase; return a Deferred that fires with a `CallResult`."""
        reply = yield self._call_leader(JOB_METHOD, job_id, deadline_s)
        if reply is not None and reply.phase:
            return CallResult(CallOutcome.DONE, JobPhase(reply.phase))
        # The leader may not have seen the job yet, or there is no leader.
        if self._store.down_for_s() is not None:
            return self._build_result(CallOutcome.NOT_DONE)
        while True:
            try:
                result = yield self._read_stored(job_id)
                return result
            except PlatformError as error:
                if self._must_stop_retrying(deadline_s):
                    log_event("job.read-failed", job=job_id, why=str(error)[:160])
                    return self._build_result(CallOutcome.NOT_DONE)
            yield deferLater(self._clock, STORE_RETRY_S)

    @inlineCallbacks
    def _read_stored(self, job_id: str):
        progress = yield self._store.read(progress_key(job_id))
        if progress is not None and progress.value is not None:
            phase = JobPhase(decode_progress(progress.value).phase)
            return CallResult(CallOutcome.DONE, phase)
        submitted = yield self._store.read(job_key(job_id))
        if submitted is None:
            return CallResult(CallOutcome.ABSENT)
        return CallResult(CallOutcome.DONE, JobPhase.QUEUED)

    @inlineCallbacks
    def count_pending(self, queue: str, deadline_s: float):
        """Count the jobs of a queue that have not started any task.

        Returns a Deferred that fires with a `CallResult`.
        """
        until_s = deadline_s - LEADER_WAIT_S
        reply = yield self._call_leader(PENDING_METHOD, queue, max(until_s, 0.0))
        if reply is None:
            return self.rejection()
        return CallResult(CallOutcome.DONE, pending=reply.pending)

    @inlineCallbacks
    def _call_leader(self, method: str, argument: str, deadline_s: float):
        """Call the leader until it replies; return None if it does not in time."""
        limit_s = min(deadline_s, self._clock.seconds() + LEADER_WAIT_S)
        while True:
            leader = self._get_leader()
            reply = None
            if leader == self._own_member:
                reply = self._handlers[method](argument)
            elif leader:
                reply = yield self._rpc.call(leader, method, argument)
            if reply is not None and reply.leads:
                return reply
            if self._clock.seconds() >= limit_s:
                return None
            yield deferLater(self._clock, CALL_RETRY_S)
