"""Ownership of a cell by a daemon, with its commits and worker leases."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import inlineCallbacks

from dogwoodlever import _record_keys as keys
from dogwoodlever._cell import Cell, LeaseSettings
from dogwoodlever._cell_state import (
    CellStateRecord,
    decode_cell_state,
    encode_cell_state,
)
from dogwoodlever._interfaces import Entry, VMStates, WorkerClient
from dogwoodlever._job import Job
from dogwoodlever._logs import log_event
from dogwoodlever._membership_role import MembershipRole
from dogwoodlever._records import encode_record
from dogwoodlever._rendezvous import highest_ranked
from dogwoodlever._site import Site, Team
from dogwoodlever._store_follower import StoreFollower, SwapOutcome
from dogwoodlever.batch_errors import CellStateError
from dogwoodlever.platform_errors import StoreUnavailableError, WorkerUnreachableError

INBOX_BATCH_MAX = 50


class OwnerRecord(msgspec.Struct, frozen=True):
    """Owner of a cell; empty after a handover.

    Attributes
    ----------
    term : int
        Counts the changes of owner.
    """

    owner: str = ""
    term: int = 0


class CellRole:
    """Own a cell while this daemon ranks first for it and run its scheduler.

    Parameters
    ----------
    name : str
        Name of the cell.
    membership : MembershipRole
        This daemon's membership and its lease.
    follower : StoreFollower
        Shared records.
    workers : WorkerClient
        Client of the workers.
    clock : IReactorTime
        Reactor clock.
    wall_time : callable
        Returns the Unix time in seconds, for task histories.
    """

    def __init__(
        self,
        name: str,
        membership: MembershipRole,
        follower: StoreFollower,
        workers: WorkerClient,
        clock,
        wall_time: Callable[[], float],
    ) -> None:
        self.name = name
        self.cell: Cell | None = None
        self._membership = membership
        self._follower = follower
        self._workers = workers
        self._clock = clock
        self._wall_time = wall_time
        self._site: Site | None = None
        self._worker_names: set[str] = set()
        self._teams: dict[str, Team] = {}
        self._vms = VMStates()
        self._version = 0
        self._busy = False
        self._closing = False
        self._syncing: set[str] = set()
        self._deleting: set[str] = set()
        # Versions by key of the entries of the inbox that cannot be read.
        self._unreadable: dict[str, int] = {}
        # Jobs whose last attempt to archive them failed.
        self._unarchived: set[str] = set()

    def set_site(
        self,
        site: Site,
        workers: set[str],
        teams: dict[str, Team],
        vms: VMStates,
    ) -> None:
        """Apply new settings.

        Parameters
        ----------
        site : Site
            New settings.
        workers : set of str
            Workers of this cell.
        teams : dict of str to Team
            Quotas of the teams in this cell.
        vms : VMStates
            VMs that the platform lists.
        """
        self._site, self._worker_names, self._teams = site, workers, teams
        self._vms = vms
        if self.cell is not None:
            self.cell.set_site(site, self._clock.seconds(), workers, teams)
            self.cell.set_vms(vms)

    def _owner(self) -> OwnerRecord | None:
        entry = self._follower.entries.get(keys.owner_key(self.name))
        if entry is None:
            return None
        return msgspec.json.decode(entry.value, type=OwnerRecord)

    def _preferred_owner(self) -> str | None:
        return highest_ranked(self.name, self._membership.record.live())

    @inlineCallbacks
    def maintain_ownership(self):
        """Acquire the cell or hand it over, following the members record."""
        if self._busy or self._site is None or not self._membership.has_valid_lease():
            return
        self._busy = True
        try:
            yield self._maintain()
        except (StoreUnavailableError, CellStateError) as error:
            log_event("cell.failed", cell=self.name, error=error)
        finally:
            self._busy = False

    @inlineCallbacks
    def _maintain(self):
        member_id = self._membership.member_id
        owner = self._owner()
        is_preferred = self._preferred_owner() == member_id and not self._closing
        if owner is not None and owner.owner == member_id:
            if not is_preferred and self._preferred_owner() is not None:
                yield self._hand_over(owner)
            elif self.cell is None:
                yield self._load(owner)
            return
        self.cell = None
        if is_preferred and self._is_vacant(owner):
            yield self._acquire(owner)

    def _is_vacant(self, owner: OwnerRecord | None) -> bool:
        if owner is None or not owner.owner:
            return True
        return bool(self._membership.departed({owner.owner}))

    @inlineCallbacks
    def _acquire(self, owner: OwnerRecord | None):
        term = 1 if owner is None else owner.term + 1
        acquired = OwnerRecord(self._membership.member_id, term)
        key = keys.owner_key(self.name)
        outcome = yield self._follower.swap(
            key, encode_record(acquired), self._follower.version(key)
        )
        if outcome == SwapOutcome.COMMITTED:
            log_event("cell.taken", cell=self.name, term=term)
            yield self._load(acquired)

    @inlineCallbacks
    def _load(self, owner: OwnerRecord):
        """Load the cell state and fence off writes of earlier owners."""
        key = keys.cell_state_key(self.name)
        entry = yield self._follower.read(key)
        cell_state = (
            CellStateRecord() if entry is None else decode_cell_state(entry.value)
        )
        # Sequence numbers restart with each load, so a reload needs a new epoch too.
        cell_state.owner, cell_state.epoch = owner.owner, cell_state.epoch + 1
        cell_state.sequence += 1
        lease_s = self._membership.limits.worker_lease_s
        cell_state.lease_s = max(cell_state.lease_s, lease_s)
        version = 0 if entry is None else entry.version
        result = yield self._follower.try_swap(
            key, encode_cell_state(cell_state), version
        )
        if not result.committed:
            return
        self._version = result.entry.version
        limits = self._membership.limits
        lease_settings = LeaseSettings(
            limits.worker_lease_s,
            limits.clock_margin_s,
            limits.start_freshness_s,
            limits.unreachable_wait_s,
        )
        cell = Cell(
            self.name,
            cell_state,
            self._site,
            lease_settings,
            self._clock.seconds(),
            self._worker_names,
            self._teams,
            log_event=log_event,
        )
        cell.set_vms(self._vms)
        self.cell = cell
        log_event("cell.loaded", cell=self.name, tasks=len(cell_state.tasks))

    @inlineCallbacks
    def _hand_over(self, owner: OwnerRecord):
        """Commit pending changes, stop renewing leases, then clear the owner."""
        if self.cell is not None:
            yield self._commit()
        self.cell = None
        if self._syncing:
            return
        key = keys.owner_key(self.name)
        cleared = OwnerRecord("", owner.term)
        yield self._follower.swap(
            key, encode_record(cleared), self._follower.version(key)
        )
        log_event("cell.handed_over", cell=self.name)

    @inlineCallbacks
    def release(self):
        """Release the cell permanently because this daemon is stopping."""
        self._closing = True
        yield self.maintain_ownership()

    def is_released(self) -> bool:
        """Return whether this daemon does not own the cell."""
        owner = self._owner()
        return owner is None or owner.owner != self._membership.member_id

    @inlineCallbacks
    def step(self):
        """Process the inbox, schedule, commit and archive ended jobs."""
        if self.cell is None or self._busy:
            return
        self._busy = True
        try:
            if self._membership.has_valid_lease():
                yield self._process_inbox()
            if self.cell is not None:
                self.cell.decide(self._clock.seconds(), self._wall_time())
                yield self._commit()
            if self.cell is not None:
                yield self._archive_ended()
        except StoreUnavailableError as error:
            log_event("cell.store_unavailable", cell=self.name, error=error)
        finally:
            self._busy = False

    def sync_workers(self) -> None:
        """Start a synchronisation with each worker that is due."""
        if self.cell is None or not self._membership.has_valid_lease():
            return
        now_s = self._clock.seconds()
        idle_interval_s = self._membership.limits.worker_rest_interval_s
        for name in sorted(self.cell.workers):
            if name in self._syncing:
                continue
            if self.cell.is_sync_due(name, now_s, idle_interval_s):
                self._sync(name)

    @inlineCallbacks
    def _sync(self, name: str):
        cell = self.cell
        sent_s = self._clock.seconds()
        request = cell.sync(
            name,
            sent_s,
            self._membership.lease.evidence_age_s(sent_s),
            self._membership.has_valid_lease(),
        )
        if request is None:
            return
        spec = cell.workers[name].spec
        self._syncing.add(name)
        try:
            report = yield self._workers.sync(name, spec.host, spec.port, request)
        except WorkerUnreachableError:
            cell.sync_failed(name, sent_s)
            return
        finally:
            self._syncing.discard(name)
        if self.cell is cell:
            cell.handle_report(report, self._clock.seconds(), self._wall_time())

    @inlineCallbacks
    def _commit(self):
        cell = self.cell
        commit = cell.begin_commit()
        if commit is None:
            return
        key = keys.cell_state_key(self.name)
        entry = yield self._swap_cell_state(key, commit.value)
        if entry is None:
            log_event("cell.lost", cell=self.name)
            self.cell = None
            return
        self._version = entry.version
        cell.confirm_commit()

    @inlineCallbacks
    def _swap_cell_state(self, key: str, value: bytes):
        """Retry a write until committed; return None if another owner wrote.

        Retries through an outage of the store. The membership lease suffices to
        renew worker leases meanwhile, and no attempt is started.
        """
        failures = 0
        while True:
            try:
                result = yield self._follower.try_swap(key, value, self._version)
            except StoreUnavailableError as error:
                log_event("cell.answer_lost", cell=self.name, error=error)
                entry = yield self._follower.read_back(key)
                if entry is not None and entry.value == value:
                    return entry
                if entry is not None and entry.version != self._version:
                    return None
                failures += 1
                yield self._follower.pause_after(failures)
                continue
            return result.entry if result.committed else None

    @inlineCallbacks
    def _process_inbox(self):
        """Move submitted jobs and cancellations into the cell state."""
        prefix = f"{keys.INBOX_PREFIX}{self.name}/"
        # In write order, so that a cancellation comes after its job.
        inbox = self._follower.inbox
        pending = [
            key
            for key in sorted(inbox, key=inbox.get)
            if key.startswith(prefix)
            and key not in self._deleting
            and self._unreadable.get(key) != inbox[key]
        ]
        processed = {}
        for key in pending[:INBOX_BATCH_MAX]:
            entry = yield self._follower.read(key)
            if entry is None:
                continue
            try:
                yield self._process_inbox_entry(key[len(prefix) :], entry)
            except (ValueError, RecursionError) as error:
                # It stays stored for whoever can read it, and is not read again.
                self._unreadable[key] = entry.version
                log_event("inbox.unreadable", key=key, why=str(error)[:160])
                continue
            processed[key] = entry.version
        if not processed:
            return
        yield self._commit()
        if self.cell is None:
            # Another owner has written; the entries are still in the inbox.
            return
        for key, version in processed.items():
            self._delete_processed(key, version)

    def _delete_processed(self, key: str, version: int) -> None:
        self._deleting.add(key)
        deleted = self._follower.delete_from_inbox(key, version)
        deleted.addBoth(lambda _: self._deleting.discard(key))

    @inlineCallbacks
    def _process_inbox_entry(self, name: str, entry: Entry):
        kind = name.partition("/")[0]
        if kind == "cancel":
            ids = msgspec.json.decode(entry.value, type=list[str])
            count = self.cell.cancel(ids, self._wall_time())
            log_event("jobs.cancelled", jobs=len(ids), tasks=count)
            return
        job = msgspec.json.decode(entry.value, type=Job)
        archived = yield self._follower.read(keys.archive_key(job.job))
        if archived is not None or not self.cell.submit(job, self._wall_time()):
            log_event("job.repeated", job=job.job)
            return
        log_event("job.taken", job=job.job, tasks=job.tasks, cell=self.name)

    @inlineCallbacks
    def _archive_ended(self):
        """Move ended jobs from the cell state to the archive."""
        cell = self.cell
        # The others go before a job that may not be archived at all.
        ended = sorted(cell.ended_jobs(), key=self._unarchived.__contains__)
        for job_id in ended:
            tasks = cell.cell_state.job_tasks(job_id)
            key = keys.archive_key(job_id)
            self._unarchived.add(job_id)
            yield self._follower.try_swap(key, encode_record(tasks), 0)
            self._unarchived.discard(job_id)
            cell.drop_job(job_id)
            log_event("job.archived", job=job_id, tasks=len(tasks))
