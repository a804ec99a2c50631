"""Election of the leader by a leased record in the platform's store."""

import random
from collections.abc import Callable
from contextlib import suppress

import msgspec
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import FleetStore, Put, Record
from dogwoodlever._fleet_records import (
    LEADER_KEY,
    TERM_KEY,
    WORKER_MEMBERSHIP_KEY,
    LeaderRecord,
    TermRecord,
    WorkerMembershipRecord,
    decode_leader,
    decode_term,
    encode,
)
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._logs import log_event
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    PlatformError,
    StoredRecordError,
    StoreRejectedError,
)

# Allows two failed renewals, and bounds the time to detect a failed leader.
LEASE_TTL_MS = 1_800
RENEW_INTERVAL_S = 0.5
RETRY_S = 0.2
# Delay after a failed renewal while jobs wait for one.
CONFIRM_RETRY_S = 0.1
# Spreads the candidates, so that most find the record already written.
CANDIDATE_DELAY_MAX_S = 0.08
# Longest delay of a candidate on a weak VM, which lets stronger ones lead.
WEAK_VM_DELAY_MAX_S = 0.5
# Delay of a candidate that has given up, which lets any other lead.
GIVEN_UP_DELAY_S = 1.5
# Bounds the time that leaders get to load after others have given up.
FAILED_LOADS_MAX = 6
# CPU share assumed for the strongest VM before the first term.
STRONGEST_CORES_DEFAULT = 2.2
# A leader without contact with the store for this long steps down, since it may have
# missed a successor.
UNCONFIRMED_MAX_S = 7.0
# A leader without contact for this long asks others whether the store answers them
# each time a renewal fails; a few answers in a row are lost when the store is slow.
ASK_PEERS_AFTER_S = 2.5
# Workers' leases end at most this long after the leader's last contact with the store.
# Work outlasts an outage of the store by this time, and a successor waits as long for
# a worker that it cannot reach.
WORKER_LEASES_MAX_S = 8.0
# Stands for a leader of another build, whose record cannot be read.
UNKNOWN_LEADER = LeaderRecord("", "")


class Election:
    """Campaigns for leadership, and renews the lease while this daemon leads.

    The fencing token is the store revision of the write that made this daemon
    the leader. Workers accept the highest token only, so a successor need not
    prove that the former leader has stopped.

    A candidate ends the lease of the last term before it writes its record, so the
    answer to a renewal proves that there was no successor when it was sent, even if
    the store has removed the record alone.

    The term's record is a condition of all writes of a leader. If it is lost while that
    of the leader stands, the leader writes both anew. A candidate that finds it lost
    counts on from the last leader that it has seen.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    record : LeaderRecord
        Leader record of this daemon.
    core_share : float
        CPU share of this daemon, in cores.
    link_mbps : float
        Bandwidth of this daemon's link, 0 if it is not known.
    ttl_min_ms : int
        Minimum lease of the store.
    on_elected : callable
        Called with (term, fencing token, is_continued); `is_continued` means that
        no other daemon has led since this one did.
    on_step_down : callable
        Called with the reason when this daemon steps down.
    on_renewed : callable
        Called after each successful renewal.
    watcher : PrefixWatcher
        Watches the leader's record; its last successful call shows until when there
        was no successor.
    on_unconfirmed : callable
        Called after a failed renewal of a leader that has had no contact with the store
        for `ASK_PEERS_AFTER_S`.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        record: LeaderRecord,
        core_share: float,
        link_mbps: float,
        ttl_min_ms: int,
        on_elected: Callable[[int, int, bool], None],
        on_step_down: Callable[[str], None],
        on_renewed: Callable[[], None],
        watcher: PrefixWatcher,
        on_unconfirmed: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_unconfirmed = on_unconfirmed
        self._store = store
        self._clock = clock
        self._record = record
        self._core_share = core_share
        self._link_mbps = link_mbps
        self._ttl_ms = max(LEASE_TTL_MS, ttl_min_ms)
        self._on_elected = on_elected
        self._on_step_down = on_step_down
        self._on_renewed = on_renewed
        self._watcher = watcher
        self._random = random.Random(record.member)
        self._lease_id = 0
        self._leader_revision = 0
        # Last leader that was seen, which tells the term if its record is lost.
        self._seen_leader: LeaderRecord | None = None
        self._term_revision = 0
        self._own_term_revision = 0
        self._own_term: TermRecord | None = None
        # Until when this daemon lets others lead, since it has given up.
        self._given_up_until_s = float("-inf")
        # Revision of the store at which the leader's record was last seen removed.
        self._removed_revision = 0
        self._timer = None
        self._is_closed = False
        self._is_campaigning = False
        # Lease of the renewal that is under way, 0 for none.
        self._renewing_lease_id = 0
        self._renewal_failed_s = float("-inf")
        self._is_confirmation_due = False
        self.is_record_loaded = False
        # Leaders in a row before this one that gave up.
        self.failed_loads = 0
        # First term in a row whose leaders store which workers they cannot reach.
        self.unreachable_since_term = 0
        # Leader of the term before this daemon's, and a time by which it was elected.
        self.former_leader = ""
        self.former_elected_s = float("-inf")
        self._record_seen_s = float("-inf")
        self._seen_revision = 0
        self.leader: LeaderRecord | None = None
        self.fencing_token = 0
        self.leads = False
        self.renewed_s = float("-inf")

    @property
    def contact_s(self) -> float:
        """Time of the last contact with the store that showed no successor."""
        return max(self.renewed_s, self._watcher.sent_s)

    @property
    def worker_leases_end_s(self) -> float:
        """Time beyond which this daemon must not extend any worker's lease.

        A successor is elected after the last contact at the earliest.
        """
        return self.contact_s + WORKER_LEASES_MAX_S

    def confirm_soon(self) -> None:
        """Renew the lease at once, which shows whether this daemon still leads.

        Calls during a renewal cause one more renewal after it. A campaign needs none,
        since its write shows the same.
        """
        if self._is_closed or not self.leads or self.leader is None:
            return
        self._is_confirmation_due = True
        if self._renewing_lease_id != self._lease_id:
            self._schedule_renewal()

    def close(self) -> None:
        """Stop renewing the lease and campaigning."""
        self._is_closed = True
        self._cancel_timer()

    @inlineCallbacks
    def resign(self):
        """End the lease, so that a successor need not wait for its expiry."""
        self.close()
        if self.leads and self._lease_id:
            try:
                yield self._store.end_lease(self._lease_id)
            except PlatformError as error:
                log_event("leader.resign-failed", why=str(error)[:160])

    @inlineCallbacks
    def give_up(self, why: str):
        """Step down and let another daemon lead, since this one cannot.

        The term's record counts such leaders, so that a load which takes long for every
        daemon is not cut off at the same point each time.
        """
        if not self.leads:
            return
        lease_id, term = self._lease_id, self._own_term
        self._given_up_until_s = self._clock.seconds() + GIVEN_UP_DELAY_S
        self.step_down(why)
        failed_loads = min(FAILED_LOADS_MAX, self.failed_loads + 1)
        given_up = msgspec.structs.replace(term, failed_loads=failed_loads)
        put = Put(TERM_KEY, encode(given_up))
        try:
            yield self._store.commit({TERM_KEY: self._own_term_revision}, (put,))
        except PlatformError as error:
            log_event("leader.give-up-failed", why=str(error)[:160])
        self._release_unused_lease(lease_id)

    def apply_record(self, record: Record) -> None:
        """Apply a change of the leader's record, unless a newer one is known."""
        if record.revision < self._leader_revision:
            return
        self._leader_revision = record.revision
        if record.value is None:
            self._removed_revision = record.revision
        self.leader = None if record.value is None else _read_leader(record)
        if self.leader is not None:
            if self.leader is not UNKNOWN_LEADER:
                self._seen_leader = self.leader
            self._record_seen_s = self._clock.seconds()
            self._seen_revision = record.revision
        if self.leader is None or self.leader.member == self._record.member:
            self._schedule_campaign()
        elif self.leads and record.revision > self.fencing_token:
            self.step_down("a successor leads")

    def mark_record_loaded(self) -> None:
        """Record that the leader's record has been read."""
        self.is_record_loaded = True
        self._schedule_campaign()

    def step_down(self, why: str) -> None:
        """Stop leading, because a successor exists or may exist."""
        if not self.leads:
            return
        self.leads = False
        self._lease_id = 0
        self._cancel_timer()
        self._on_step_down(why)
        self._schedule_campaign()

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _schedule_campaign(self) -> None:
        if self.leader is not None or self._is_closed or not self.is_record_loaded:
            return
        if self._is_campaigning:
            return
        delay_s = 0.0 if self.leads else self._random.random() * CANDIDATE_DELAY_MAX_S
        self._cancel_timer()
        self._timer = self._clock.callLater(delay_s, self._campaign)

    @inlineCallbacks
    def _campaign(self):
        if self.leader is not None or self._is_closed or self._is_campaigning:
            return
        self._is_campaigning = True
        try:
            yield self._try_to_acquire()
        except PlatformError as error:
            log_event("leader.candidacy-failed", why=str(error)[:160])
            self._step_down_if_unconfirmed()
            self._cancel_timer()
            if not self._is_closed:
                self._timer = self._clock.callLater(RETRY_S, self._campaign)
        except Exception as error:
            # Whatever has failed, some daemon has to lead.
            log_event("leader.candidacy-failed", why=repr(error)[:160])
            self._retry_later()
        finally:
            self._is_campaigning = False

    @inlineCallbacks
    def _try_to_acquire(self):
        current = yield self._store.read(TERM_KEY)
        previous = self._find_previous(current)
        self._term_revision = 0 if current is None else current.revision
        if not self.leads:
            yield deferLater(self._clock, self._candidate_delay_s(previous))
            if self.leader is not None:
                return
        if previous.lease_id and not (yield self._end_former_lease(previous.lease_id)):
            return
        is_continued = self.leads and self._term_revision == self._own_term_revision
        lease_id = yield self._store.open_lease(self._ttl_ms)
        term = previous.term if is_continued else previous.term + 1
        self._record = LeaderRecord(self._record.member, previous.peer_key, term)
        strongest_cores = self._core_share
        if previous.term:
            strongest_cores = max(strongest_cores, previous.core_share)
        record = TermRecord(
            term,
            self._record.member,
            previous.peer_key,
            strongest_cores,
            lease_id,
            max(self._link_mbps, previous.link_mbps),
            unreachable_since_term=previous.unreachable_since_term or term,
        )
        puts = (
            Put(LEADER_KEY, encode(self._record), lease_id),
            Put(TERM_KEY, encode(record)),
        )
        sent_s = self._clock.seconds()
        result = yield self._commit_term(puts, is_first=not previous.term)
        if not result.revision:
            self._on_lost(result.current)
            return
        if self._leader_revision > result.revision:
            # A later record, or the removal of this one, was read before the answer.
            self._retry_later()
            return
        self._own_term = record
        self.unreachable_since_term = record.unreachable_since_term
        if not is_continued:
            self.failed_loads = previous.failed_loads
            self.former_leader = previous.member
            # The record is written together with that of the term.
            is_seen = self._seen_revision >= self._term_revision
            self.former_elected_s = self._record_seen_s if is_seen else sent_s
        self._on_won(term, result.revision, lease_id, sent_s, is_continued)

    @inlineCallbacks
    def _commit_term(self, puts: tuple[Put, ...], is_first: bool):
        """Write a term, the first one with an empty membership if there is none.

        If that leader is lost before it writes another, no successor waits for workers.
        """
        expected = {LEADER_KEY: 0, TERM_KEY: self._term_revision}
        if is_first and (yield self._store.read(WORKER_MEMBERSHIP_KEY)) is None:
            membership = WorkerMembershipRecord(names_all=True)
            put = Put(WORKER_MEMBERSHIP_KEY, encode(membership))
            try:
                result = yield self._store.commit(
                    {**expected, put.key: 0}, (*puts, put)
                )
                return result
            except StoreRejectedError as error:
                # It holds back work, but not this leader.
                log_event("leader.membership-rejected", why=str(error)[:160])
        result = yield self._store.commit(expected, puts)
        return result

    def _find_previous(self, current: Record | None) -> TermRecord:
        """Return the record of the last term, or what is known of it if it is lost.

        Numbers of terms never recur: each term has its own revision of the store, which
        is at least as high as its number.
        """
        seen, term = self._seen_leader, 0
        if current is not None:
            try:
                return decode_term(current.value)
            except StoredRecordError:
                if seen is None:
                    raise
                term = current.revision
        if seen is None:
            return TermRecord(0, "", self._record.peer_key, STRONGEST_CORES_DEFAULT)
        term = max(term, seen.term or self._watcher.revision)
        log_event("leader.term-lost", term=term, member=seen.member)
        return TermRecord(term, seen.member, seen.peer_key, STRONGEST_CORES_DEFAULT)

    def check_term(self, current: tuple[Record, ...]) -> None:
        """Check the term after a conflict that has shown another record of it.

        Parameters
        ----------
        current : tuple of Record
            Records that the conflict has shown.
        """
        is_own = self.leads and self.leader is not None
        if not is_own or self._is_campaigning or self._is_closed:
            return
        if any(
            record.key == TERM_KEY and record.revision != self._own_term_revision
            for record in current
        ):
            self._check_term()

    @inlineCallbacks
    def _check_term(self):
        self._is_campaigning = True
        try:
            yield self._restore_term()
        except PlatformError as error:
            # The next write of this leader conflicts again.
            log_event("leader.term-unchecked", why=str(error)[:160])
        finally:
            self._is_campaigning = False
            self._schedule_campaign()

    @inlineCallbacks
    def _restore_term(self):
        """Write the term's record anew if it is lost and the leader's is not."""
        fencing_token, lease_id = self.fencing_token, self._lease_id
        leader = yield self._store.read(LEADER_KEY)
        term = yield self._store.read(TERM_KEY)
        if not self.leads or self.fencing_token != fencing_token or leader is None:
            # The watch reports a record that was removed.
            return
        if _read_leader(leader).member != self._record.member:
            self.apply_record(leader)
            return
        revision = 0 if term is None else term.revision
        is_unchanged = leader.revision == fencing_token
        if is_unchanged and revision == self._own_term_revision:
            return
        log_event("leader.term-restored", term=self._own_term.term, found=revision)
        sent_s = self._clock.seconds()
        result = yield self._store.commit(
            {LEADER_KEY: leader.revision, TERM_KEY: revision},
            (
                Put(LEADER_KEY, encode(self._record), lease_id),
                Put(TERM_KEY, encode(self._own_term)),
            ),
        )
        is_current = self.leads and self._lease_id == lease_id
        if is_current and self._leader_revision <= result.revision:
            self._on_won(self._own_term.term, result.revision, lease_id, sent_s, True)

    @inlineCallbacks
    def _end_former_lease(self, lease_id: int):
        """End the lease of the last term; the result is False if its record exists."""
        if self._removed_revision < self._term_revision:
            record = yield self._store.read(LEADER_KEY)
            if record is not None:
                self._on_lost((record,))
                return False
        with suppress(LeaseEndedError):
            yield self._store.end_lease(lease_id)
        return True

    def _candidate_delay_s(self, previous: TermRecord) -> float:
        """Return the delay that lets stronger daemons lead.

        A daemon is as strong as its CPU share or its link, whichever is weaker.
        """
        strength = min(
            _share_of(self._core_share, previous.core_share),
            _share_of(self._link_mbps, previous.link_mbps) if self._link_mbps else 1.0,
        )
        weak_delay_s = WEAK_VM_DELAY_MAX_S * (1 - strength)
        return max(weak_delay_s, self._given_up_until_s - self._clock.seconds())

    def _on_lost(self, current: tuple[Record, ...]) -> None:
        for record in current:
            if record.key == LEADER_KEY and record.value is not None:
                self.apply_record(record)
        if self.leads:
            self.step_down("another daemon wrote the leader's record")
        self._retry_later()

    def _retry_later(self) -> None:
        """Campaign again, if no leader is known by then."""
        if self.leader is None and not self._is_closed:
            self._cancel_timer()
            self._timer = self._clock.callLater(RETRY_S, self._campaign)

    def _on_won(self, term, revision, lease_id, sent_s, is_continued) -> None:
        self.leader = self._seen_leader = self._record
        self._record_seen_s = self._clock.seconds()
        self._seen_revision = revision
        self._leader_revision = revision
        self._own_term_revision = revision
        self._lease_id = lease_id
        self.fencing_token = revision
        self.leads = True
        self.renewed_s = sent_s
        self._is_confirmation_due = False
        self._cancel_timer()
        self._timer = self._clock.callLater(RENEW_INTERVAL_S, self._renew)
        log_event("leader.elected", term=term, fence=revision, continued=is_continued)
        self._on_elected(term, revision, is_continued)

    def _schedule_renewal(self) -> None:
        delay_s = RENEW_INTERVAL_S
        if self._is_confirmation_due:
            wait_until_s = self._renewal_failed_s + CONFIRM_RETRY_S
            delay_s = max(0.0, wait_until_s - self._clock.seconds())
        self._cancel_timer()
        self._timer = self._clock.callLater(delay_s, self._renew)

    @inlineCallbacks
    def _renew(self):
        if not self.leads or self._is_closed:
            return
        sent_s = self._clock.seconds()
        lease_id = self._renewing_lease_id = self._lease_id
        is_confirmation = self._is_confirmation_due
        self._is_confirmation_due = False
        is_renewed = False
        try:
            yield self._store.renew_lease(lease_id)
            is_renewed = True
        except LeaseEndedError:
            if lease_id == self._lease_id and self.leads:
                log_event("leader.lease-ended", term_age_s=sent_s - self.renewed_s)
                self.leader = None
                self._schedule_campaign()
        except PlatformError as error:
            log_event("leader.renewal-failed", why=str(error)[:160])
            if lease_id == self._lease_id:
                self._renewal_failed_s = self._clock.seconds()
                self._is_confirmation_due |= is_confirmation
                self._step_down_if_unconfirmed()
        if lease_id != self._lease_id:
            # This daemon stepped down, or leads under a new lease that is renewed.
            return
        self._renewing_lease_id = 0
        if self._is_closed or not self.leads:
            return
        if self.leader is not None:
            self._schedule_renewal()
        if is_renewed:
            self.renewed_s = sent_s
            self._on_renewed()

    def _step_down_if_unconfirmed(self) -> None:
        if not self.leads:
            return
        confirmed_s = max(self.renewed_s, self._watcher.responded_s)
        age_s = self._clock.seconds() - confirmed_s
        if age_s > UNCONFIRMED_MAX_S:
            self.hand_over(f"no contact with the store for {age_s:.1f} s")
        elif age_s > ASK_PEERS_AFTER_S:
            self._on_unconfirmed()

    def hand_over(self, why: str) -> None:
        """Step down, and end the lease so that another daemon can lead."""
        lease_id = self._lease_id
        self.step_down(why)
        self._release_unused_lease(lease_id)

    @inlineCallbacks
    def _release_unused_lease(self, lease_id: int):
        """End an unused lease once the store is reachable again.

        Leases may not expire during a store outage, and would then block successors.
        """
        while not self._is_closed:
            try:
                yield self._store.end_lease(lease_id)
            except LeaseEndedError:
                return
            except PlatformError:
                # The watcher of the leader's record logs the outage.
                yield deferLater(self._clock, RETRY_S)
                continue
            log_event("leader.lease-freed", lease=lease_id)
            return


def _read_leader(record: Record) -> LeaderRecord:
    """Return the leader by its record, `UNKNOWN_LEADER` if it cannot be read."""
    try:
        return decode_leader(record.value)
    except StoredRecordError as error:
        log_event("leader.unreadable", revision=record.revision, why=str(error)[:160])
        return UNKNOWN_LEADER


def _share_of(own: float, strongest: float) -> float:
    """Return a daemon's part of what the strongest one has, at most 1."""
    own = max(0.0, own)
    return own / strongest if strongest > own else 1.0
