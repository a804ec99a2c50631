"""Workers on which runs may have been started, stored for a successor."""

from collections.abc import Callable

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import CommitResult, FleetStore, Put, Record
from dogwoodlever._fleet_records import (
    TERM_KEY,
    WORKER_MEMBERSHIP_KEY,
    WorkerMembershipRecord,
    decode_worker_membership,
    encode,
)
from dogwoodlever._fleet_types import WorkerEntry
from dogwoodlever._logs import log_event
from dogwoodlever.platform import is_callable_worker
from dogwoodlever.platform_errors import PlatformError, StoredRecordError

# Id that no worker has; stands for workers that are not known.
UNKNOWN_WORKERS = ""
RETRY_S = 0.2
CONFLICT_RETRY_S = 0.05


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
    on_stored : callable
        Called after each write.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        get_term_revision: Callable[[], int],
        on_stored: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._get_term_revision = get_term_revision
        self._on_stored = on_stored
        self._addresses: dict[str, str] = {}
        self._is_incomplete = False
        self._stored_ids: frozenset[str] = frozenset()
        self._revision = 0
        self._is_storing = False
        self._is_closed = False

    def close(self) -> None:
        """Stop writing."""
        self._is_closed = True

    def load(self, record: Record | None) -> set[str]:
        """Load the stored membership and return its worker ids.

        `UNKNOWN_WORKERS` is among them if the membership, or a worker in it, cannot be
        used: a leader of another version may have started runs there. It stays stored
        that there are such workers until `discard` is called for them.
        """
        if record is None or record.value is None:
            return set()
        self._revision = record.revision
        try:
            stored = decode_worker_membership(record.value)
        except StoredRecordError as error:
            log_event("roster.unreadable", why=str(error)[:160])
            self._is_incomplete = True
            return {UNKNOWN_WORKERS}
        workers = stored.workers
        self._addresses = {
            worker_id: address
            for worker_id, address in workers.items()
            if is_callable_worker(worker_id, address)
        }
        self._stored_ids = frozenset(self._addresses)
        unusable = sorted(set(workers) - set(self._addresses))
        if unusable:
            log_event("roster.unusable", workers=",".join(unusable)[:160])
        self._is_incomplete = bool(unusable) or stored.is_incomplete
        if self._is_incomplete:
            return {UNKNOWN_WORKERS, *self._addresses}
        return set(self._addresses)

    def is_stored(self, worker_id: str) -> bool:
        """Return whether a worker is stored, so that a successor would find it."""
        return worker_id in self._stored_ids

    def address_of(self, worker_id: str) -> str:
        """Return the address of a worker of the membership."""
        return self._addresses[worker_id]

    def entry_of(self, worker_id: str) -> WorkerEntry:
        """Return an entry of a stored worker that has its address only."""
        host, _, port = self._addresses[worker_id].rpartition(":")
        return WorkerEntry(worker_id, "", host, int(port), "", 0, False, 0, 0, 0, ())

    def set_address(self, worker_id: str, address: str) -> None:
        """Set the address at which a worker has answered.

        A worker whose address has changed counts as not stored until it is written.
        """
        if self._addresses.get(worker_id) != address:
            self._addresses[worker_id] = address
            self._stored_ids -= {worker_id}
            self._write()

    def discard(self, worker_id: str) -> None:
        """Remove a worker, which counts as not stored from now on."""
        self._stored_ids -= {worker_id}
        is_changed = self._addresses.pop(worker_id, None) is not None
        if worker_id == UNKNOWN_WORKERS and self._is_incomplete:
            self._is_incomplete = False
            is_changed = True
        if is_changed:
            self._write()

    @inlineCallbacks
    def _write(self):
        """Write until the stored membership equals the one in memory."""
        if self._is_storing:
            return
        self._is_storing = True
        while not self._is_closed:
            written = dict(self._addresses)
            record = WorkerMembershipRecord(written, self._is_incomplete)
            try:
                result = yield self._commit(record)
            except PlatformError as error:
                log_event("roster.write-failed", why=str(error)[:160])
                yield deferLater(self._clock, RETRY_S)
                continue
            if not result.revision:
                self._apply_conflict(result)
                yield deferLater(self._clock, CONFLICT_RETRY_S)
                continue
            self._revision = result.revision
            self._stored_ids = frozenset(
                worker_id
                for worker_id, address in written.items()
                if self._addresses.get(worker_id) == address
            )
            self._on_stored()
            if (written, record.is_incomplete) == (
                self._addresses,
                self._is_incomplete,
            ):
                break
        self._is_storing = False

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
        # term, or another has started one, which the election reports.
        log_event("roster.conflict", revision=self._revision)
        for record in result.current:
            if record.key == WORKER_MEMBERSHIP_KEY:
                self._revision = record.revision
