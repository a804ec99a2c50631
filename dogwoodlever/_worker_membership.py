"""Workers on which runs may have been started, stored for a successor.

The record also names the incarnation of each worker that has last answered, and
whether it is settled. A call for an earlier incarnation may have granted the longest
lease to one that is not: its clock starts anew, so the time in the call may lie far
ahead. One rule holds for a leader and its successors: the leases of a worker count
with the longest one, from the first answer of an incarnation under the leader's own
fencing token, unless the record names that incarnation as settled.

A worker gets no lease and no start before its incarnation is stored, so an incarnation
that the record does not name runs at most what calls for an earlier one have started.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass

from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import CommitResult, FleetStore, Put, Record
from dogwoodlever._fleet_records import (
    TERM_KEY,
    WORKER_MEMBERSHIP_KEY,
    KnownIncarnation,
    WorkerMembershipRecord,
    decode_worker_membership,
    encode,
)
from dogwoodlever._fleet_types import WorkerEntry
from dogwoodlever._logs import log_event
from dogwoodlever._repeated_write import ConflictError, RepeatedWrite
from dogwoodlever._run_evidence import NEVER_S
from dogwoodlever.platform import is_callable_worker
from dogwoodlever.platform_errors import StoredRecordError

# Id that no worker has; stands for workers that are not known.
UNKNOWN_WORKERS = ""
NO_INCARNATION = KnownIncarnation()


@dataclass(slots=True, frozen=True)
class Member:
    """A worker of the membership."""

    address: str
    incarnation: KnownIncarnation = NO_INCARNATION


@dataclass(slots=True, frozen=True)
class FormerMember:
    """A worker that has left, and until when calls for it may be carried out."""

    incarnation: KnownIncarnation
    kept_until_s: float


class WorkerMembership:
    """Addresses of workers by id, stored before any run starts on them.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    get_term_revision : callable
        Returns the revision of this leader's term record.
    former_kept_s : float
        How long a call for a worker that has left, and a lease that it grants, may have
        an effect.
    on_stored : callable
        Called after each write.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        get_term_revision: Callable[[], int],
        former_kept_s: float,
        on_stored: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._get_term_revision = get_term_revision
        self._former_kept_s = former_kept_s
        self._on_stored = on_stored
        self._members: dict[str, Member] = {}
        self._former: dict[str, FormerMember] = {}
        self._is_incomplete = False
        # Until when calls for workers that are named nowhere may be carried out.
        self._unnamed_until_s = NEVER_S
        # Members as a successor would find them, whichever open write is carried out.
        self._stored: dict[str, Member] = {}
        self._revision = 0
        self._writing = RepeatedWrite("roster", clock, self._write_once)

    def close(self) -> None:
        """Stop writing."""
        self._writing.close()

    def load(self, record: Record | None, is_first_term: bool) -> set[str]:
        """Load the stored membership and return its worker ids.

        `UNKNOWN_WORKERS` is among them if the membership, or a worker in it, cannot be
        used: a leader of another version may have started runs there. It stays stored
        that there are such workers until `discard` is called for them. The same holds
        if the record is absent, since the first election writes an empty one.
        """
        if record is None or record.value is None:
            if is_first_term:
                self._write()
                return set()
            log_event("roster.missing")
            return self._load_unknown()
        self._revision = record.revision
        try:
            stored = decode_worker_membership(record.value)
        except StoredRecordError as error:
            log_event("roster.unreadable", why=str(error)[:160])
            return self._load_unknown()
        workers = stored.workers
        incarnations = stored.incarnations
        self._members = {
            worker_id: Member(address, incarnations.get(worker_id, NO_INCARNATION))
            for worker_id, address in workers.items()
            if is_callable_worker(worker_id, address)
        }
        self._stored = dict(self._members)
        kept_until_s = self._clock.seconds() + self._former_kept_s
        self._former = {
            worker_id: FormerMember(incarnation, kept_until_s)
            for worker_id, incarnation in incarnations.items()
            if worker_id not in workers
        }
        unusable = sorted(set(workers) - set(self._members))
        if unusable:
            log_event("roster.unusable", workers=",".join(unusable)[:160])
        self._is_incomplete = bool(unusable) or stored.is_incomplete
        if self._is_incomplete or not stored.names_all:
            self._unnamed_until_s = kept_until_s
        if self._is_incomplete:
            return {UNKNOWN_WORKERS, *self._members}
        return set(self._members)

    def _load_unknown(self) -> set[str]:
        """Load that nothing is known of the workers on which runs may be."""
        self._is_incomplete = True
        self._unnamed_until_s = self._clock.seconds() + self._former_kept_s
        return {UNKNOWN_WORKERS}

    # Workers

    def is_stored(self, worker_id: str) -> bool:
        """Return whether a worker is stored as it is known.

        A successor then finds it, and knows which leases it may hold.
        """
        member, stored = self._members.get(worker_id), self._stored.get(worker_id)
        return (
            member is not None
            and stored is not None
            and member.address == stored.address
            and _covers(stored.incarnation, member.incarnation)
        )

    def address_of(self, worker_id: str) -> str:
        """Return the address of a worker of the membership."""
        return self._members[worker_id].address

    def entry_of(self, worker_id: str) -> WorkerEntry:
        """Return an entry of a stored worker that has its address only."""
        host, _, port = self._members[worker_id].address.rpartition(":")
        return WorkerEntry(worker_id, "", host, int(port), "", 0, False, 0, 0, 0, ())

    def set_member(
        self, worker_id: str, address: str, incarnation: KnownIncarnation
    ) -> None:
        """Set the address at which an incarnation of a worker has answered.

        A worker counts as not stored until a change of either is written.
        """
        self._former.pop(worker_id, None)
        member = Member(address, incarnation)
        if self._members.get(worker_id) != member:
            self._members[worker_id] = member
            self._stored.pop(worker_id, None)
            self._write()

    def discard(self, worker_id: str) -> None:
        """Remove a worker, which counts as not stored from now on."""
        member = self._members.pop(worker_id, None)
        self._stored.pop(worker_id, None)
        is_changed = member is not None
        if is_changed:
            kept_until_s = self._clock.seconds() + self._former_kept_s
            self._former[worker_id] = FormerMember(member.incarnation, kept_until_s)
        if worker_id == UNKNOWN_WORKERS and self._is_incomplete:
            self._is_incomplete = False
            is_changed = True
        if is_changed:
            self._write()

    # Incarnations

    def is_settled(self, worker_id: str, started_at_ms: int) -> bool:
        """Return whether an incarnation holds no lease by a call for an earlier one.

        Parameters
        ----------
        worker_id : str
            Worker.
        started_at_ms : int
            Unix time of the start of the incarnation, 0 if it is not known.
        """
        known = self._known_incarnation(worker_id)
        if known is None:
            return not self._may_be_unnamed()
        return (
            known.is_settled
            and known.started_at_ms == started_at_ms
            and started_at_ms > 0
        )

    def is_unsettled(self, worker_id: str) -> bool:
        """Return whether a worker may hold a lease by a call for an earlier one."""
        known = self._known_incarnation(worker_id)
        return self._may_be_unnamed() if known is None else not known.is_settled

    def unsettled_workers(self) -> list[str]:
        """Return the members that may hold such leases."""
        return [
            worker_id
            for worker_id, member in self._members.items()
            if not member.incarnation.is_settled
        ]

    def is_incarnation_unstored(self, worker_id: str) -> bool:
        """Return whether a successor would not know the incarnation of a member."""
        member = self._members.get(worker_id)
        if member is None:
            return False
        stored = self._stored.get(worker_id)
        return stored is None or not _covers(stored.incarnation, member.incarnation)

    def settle(self, worker_ids: list[str]) -> None:
        """Record that all leases by calls for earlier incarnations have expired."""
        for worker_id in worker_ids:
            member = self._members[worker_id]
            started_at_ms = member.incarnation.started_at_ms
            self._members[worker_id] = Member(
                member.address, KnownIncarnation(started_at_ms, True)
            )
        if worker_ids:
            self._write()

    def forget_former(self, called: Container[str]) -> None:
        """Forget workers that have left and for which no call has any effect.

        Parameters
        ----------
        called : container of str
            Workers that are called yet.
        """
        now_s = self._clock.seconds()
        for worker_id, former in self._former.items():
            if worker_id in called:
                kept_until_s = now_s + self._former_kept_s
                self._former[worker_id] = FormerMember(former.incarnation, kept_until_s)
        forgotten = [
            worker_id
            for worker_id, former in self._former.items()
            if now_s >= former.kept_until_s
        ]
        for worker_id in forgotten:
            del self._former[worker_id]
        is_all_named = self._unnamed_until_s > NEVER_S and not self._may_be_unnamed()
        if is_all_named:
            self._unnamed_until_s = NEVER_S
        if forgotten or is_all_named:
            self._write()

    def _may_be_unnamed(self) -> bool:
        return self._clock.seconds() < self._unnamed_until_s

    def _known_incarnation(self, worker_id: str) -> KnownIncarnation | None:
        member = self._members.get(worker_id) or self._former.get(worker_id)
        return None if member is None else member.incarnation

    # Writes

    def _make_record(self) -> WorkerMembershipRecord:
        incarnations = {
            worker_id: known.incarnation
            for worker_id, known in (*self._former.items(), *self._members.items())
        }
        addresses = {
            worker_id: member.address for worker_id, member in self._members.items()
        }
        return WorkerMembershipRecord(
            addresses,
            self._is_incomplete,
            incarnations,
            names_all=self._unnamed_until_s == NEVER_S,
        )

    def _write(self) -> None:
        """Write until the stored membership equals the one in memory."""
        self._writing.start()

    @inlineCallbacks
    def _write_once(self):
        """Write the membership; the result is None if it is the one in memory."""
        written = dict(self._members)
        record = self._make_record()
        result = yield self._commit(record)
        if not result.revision:
            self._apply_conflict(result)
        self._revision = result.revision
        self._stored = {
            worker_id: member
            for worker_id, member in written.items()
            if worker_id in self._members
        }
        self._on_stored()
        return None if record == self._make_record() else 0.0

    def _commit(self, record: WorkerMembershipRecord):
        expected = {
            TERM_KEY: self._get_term_revision(),
            WORKER_MEMBERSHIP_KEY: self._revision,
        }
        return self._store.commit(
            expected, (Put(WORKER_MEMBERSHIP_KEY, encode(record)),)
        )

    def _apply_conflict(self, result: CommitResult) -> None:
        # An earlier write of this leader got no response, it has just renewed its
        # term, another has started one, which the election reports, or the record was
        # removed by another hand.
        conflict = ConflictError(f"on revision {self._revision}")
        for record in result.current:
            if record.key == WORKER_MEMBERSHIP_KEY:
                self._revision = record.revision
        raise conflict


def _covers(stored: KnownIncarnation, known: KnownIncarnation) -> bool:
    """Return whether a successor that reads `stored` counts no lease too short."""
    return stored.started_at_ms == known.started_at_ms and (
        known.is_settled or not stored.is_settled
    )
