"""What callers ask of a daemon: submit, read, cancel and count jobs."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import Put
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_observed_store import ObservedStore
from dogwoodlever._fleet_peers import (
    JOB_TOPIC,
    PENDING_TOPIC,
    FleetPeers,
    LeaderAnswer,
)
from dogwoodlever._fleet_records import (
    cancel_key,
    decode_progress,
    encode,
    job_key,
    progress_key,
)
from dogwoodlever._fleet_types import Step, SubmittedJob
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import PlatformError, StoreRefusedError

ASK_PAUSE_S = 0.05
STORE_RETRY_S = 0.05
# Left of a caller's deadline for the answer to reach it.
ANSWER_MARGIN_S = 0.15
# An outage of the store or a change of leader lasts about as long.
RETRY_AFTER_S = 1
# Once an outage has lasted; a caller comes back a few times only.
RETRY_AFTER_LONG_S = 2
# How long the leader is asked before the store is.
LEADER_WAIT_S = 0.8


def _describe(step: Step) -> str:
    """Return a step's size in one word, for the log."""
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


class Outcome(StrEnum):
    """Result of a caller's call."""

    DONE = "done"
    # The call had no effect and will have none.
    NOT_DONE = "not-done"
    # The call may have had its effect or may still have it.
    UNKNOWN = "unknown"
    ABSENT = "absent"


@dataclass(slots=True, frozen=True)
class DeskAnswer:
    """Answer to a caller.

    Attributes
    ----------
    phase : JobPhase or None
        Of the job that was read.
    pending : int
        Of the queue that was read.
    retry_after_s : int
        When to come back, if nothing was done.
    """

    outcome: Outcome
    phase: JobPhase | None = None
    pending: int = 0
    retry_after_s: int = RETRY_AFTER_S


class FleetDesk:
    """Serves callers at one daemon.

    Jobs and cancellations are accepted by a write to the store alone, so they
    need no leader. Reading asks the leader, and the store while there is none.

    Parameters
    ----------
    store : ObservedStore
        The platform's store.
    clock : IReactorTime
        Runtime's clock.
    peers : FleetPeers
        Way to the leader.
    leader : callable
        Returns the leader's member id, empty if it is not known.
    own : str
        This daemon's member id.
    answers : dict of str to callable
        This daemon's own answers by topic, used while it leads.
    """

    def __init__(
        self,
        store: ObservedStore,
        clock,
        peers: FleetPeers,
        leader: Callable[[], str],
        own: str,
        answers: dict[str, Callable[[str], LeaderAnswer]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._peers = peers
        self._leader = leader
        self._own = own
        self._answers = answers

    @inlineCallbacks
    def submit(self, job: SubmittedJob, deadline_s: float):
        """Store a job; gives a `DeskAnswer`.

        Parameters
        ----------
        job : SubmittedJob
            Checked job.
        deadline_s : float
            Time on the runtime's clock at which the caller gives up.
        """
        put = Put(job_key(job.job_id), encode(job))
        answer = yield self._write(put, deadline_s)
        log_event(
            "job.submitted",
            job=job.job_id,
            queue=job.queue,
            outcome=answer.outcome,
            steps=" ".join(_describe(step) for step in job.steps),
        )
        return answer

    @inlineCallbacks
    def cancel(self, job_id: str, deadline_s: float):
        """Store a cancellation; gives a `DeskAnswer`."""
        known = yield self._exists(job_id, deadline_s)
        if known is Outcome.ABSENT:
            return DeskAnswer(known)
        if known is Outcome.NOT_DONE:
            phase = yield self._ask_leader(JOB_TOPIC, job_id, deadline_s)
            if phase is None or not phase.phase:
                return self._outcome(known)
        answer = yield self._write(Put(cancel_key(job_id), b""), deadline_s)
        log_event("job.cancel-asked", job=job_id, outcome=answer.outcome)
        return answer

    @inlineCallbacks
    def _exists(self, job_id: str, deadline_s: float):
        if self._store.down_for_s() is not None:
            return Outcome.NOT_DONE
        while True:
            try:
                record = yield self._store.read(job_key(job_id))
            except PlatformError as error:
                if self._gives_up(deadline_s):
                    log_event("job.read-failed", job=job_id, why=str(error)[:160])
                    return Outcome.NOT_DONE
                yield deferLater(self._clock, STORE_RETRY_S)
                continue
            return Outcome.ABSENT if record is None else Outcome.DONE

    @inlineCallbacks
    def _write(self, put: Put, deadline_s: float):
        """Create a record unless it exists; a repeat has no further effect.

        A daemon that the store turns away asks the leader to write. While
        neither can, the answer is given at once.
        """
        is_certain = True
        if self._store.down_for_s() is not None:
            outcome = yield self._relay(put)
            return self._outcome(outcome)
        while True:
            try:
                yield self._store.commit({put.key: 0}, (put,))
            except StoreRefusedError as error:
                log_event("write.refused", key=put.key, why=str(error)[:160])
            except PlatformError as error:
                is_certain = False
                log_event("write.unanswered", key=put.key, why=str(error)[:160])
            else:
                return self._outcome(Outcome.DONE)
            if is_certain or self._gives_up(deadline_s):
                outcome = yield self._relay(put)
                if outcome is Outcome.NOT_DONE and not is_certain:
                    outcome = Outcome.UNKNOWN
                return self._outcome(outcome)
            yield deferLater(self._clock, STORE_RETRY_S)

    @inlineCallbacks
    def _relay(self, put: Put):
        """Let the leader create a record; gives an `Outcome`."""
        leader = self._leader()
        if not leader or leader == self._own:
            return Outcome.NOT_DONE
        # A question without an effect first: a leader that does not answer would
        # leave the outcome unknown.
        known = yield self._peers.call(leader, PENDING_TOPIC, "")
        if known is None or not known.can_write:
            return Outcome.NOT_DONE
        answer = yield self._peers.create(leader, put.key, put.value)
        if answer is None:
            return Outcome.UNKNOWN
        log_event("write.relayed", key=put.key, leader=leader, outcome=answer.outcome)
        return Outcome(answer.outcome)

    @inlineCallbacks
    def create_for_peer(self, key: str, value: bytes):
        """Create a record that a peer cannot; gives an `Outcome`."""
        if self._store.down_for_s() is not None:
            return Outcome.NOT_DONE
        try:
            yield self._store.commit({key: 0}, (Put(key, value),))
        except StoreRefusedError as error:
            log_event("write.refused", key=key, why=str(error)[:160])
            return Outcome.NOT_DONE
        except PlatformError as error:
            log_event("write.unanswered", key=key, why=str(error)[:160])
            return Outcome.UNKNOWN
        return Outcome.DONE

    def _outcome(self, outcome: Outcome) -> DeskAnswer:
        down_s = self._store.down_for_s() or 0.0
        late = down_s > RETRY_AFTER_S
        return DeskAnswer(
            outcome, retry_after_s=RETRY_AFTER_LONG_S if late else RETRY_AFTER_S
        )

    def _gives_up(self, deadline_s: float) -> bool:
        """Tell whether another attempt at the store is of no use."""
        return self._is_over(deadline_s) or self._store.down_for_s() is not None

    def _is_over(self, deadline_s: float) -> bool:
        return self._clock.seconds() + ANSWER_MARGIN_S >= deadline_s

    @inlineCallbacks
    def read(self, job_id: str, deadline_s: float):
        """Read a job's phase; gives a `DeskAnswer`."""
        answer = yield self._ask_leader(JOB_TOPIC, job_id, deadline_s)
        if answer is not None and answer.phase:
            return DeskAnswer(Outcome.DONE, JobPhase(answer.phase))
        # The leader may not have seen the job yet, or there is no leader.
        if self._store.down_for_s() is not None:
            return self._outcome(Outcome.NOT_DONE)
        while True:
            try:
                answer = yield self._read_stored(job_id)
                return answer
            except PlatformError as error:
                if self._gives_up(deadline_s):
                    log_event("job.read-failed", job=job_id, why=str(error)[:160])
                    return self._outcome(Outcome.NOT_DONE)
            yield deferLater(self._clock, STORE_RETRY_S)

    @inlineCallbacks
    def _read_stored(self, job_id: str):
        progress = yield self._store.read(progress_key(job_id))
        if progress is not None and progress.value is not None:
            phase = JobPhase(decode_progress(progress.value).phase)
            return DeskAnswer(Outcome.DONE, phase)
        submitted = yield self._store.read(job_key(job_id))
        if submitted is None:
            return DeskAnswer(Outcome.ABSENT)
        return DeskAnswer(Outcome.DONE, JobPhase.QUEUED)

    @inlineCallbacks
    def pending(self, queue: str, deadline_s: float):
        """Count the jobs of a queue that have started nothing."""
        until_s = deadline_s - LEADER_WAIT_S
        answer = yield self._ask_leader(PENDING_TOPIC, queue, max(until_s, 0.0))
        if answer is None:
            return DeskAnswer(Outcome.NOT_DONE)
        return DeskAnswer(Outcome.DONE, pending=answer.pending)

    @inlineCallbacks
    def _ask_leader(self, topic: str, name: str, deadline_s: float):
        """Ask the leader until it answers; None without an answer in time."""
        limit_s = min(deadline_s, self._clock.seconds() + LEADER_WAIT_S)
        while True:
            leader = self._leader()
            answer = None
            if leader == self._own:
                answer = self._answers[topic](name)
            elif leader:
                answer = yield self._peers.call(leader, topic, name)
            if answer is not None and answer.leads:
                return answer
            if self._clock.seconds() >= limit_s:
                return None
            yield deferLater(self._clock, ASK_PAUSE_S)
