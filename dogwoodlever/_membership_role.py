"""Membership of a daemon: joining, heartbeats and its membership lease."""

from collections.abc import Callable
from math import isfinite

import msgspec
from twisted.internet.defer import inlineCallbacks

from dogwoodlever import _record_keys as keys
from dogwoodlever._backoff import BACKOFF_MAX_S, Backoff
from dogwoodlever._interfaces import Entry
from dogwoodlever._logs import log_event
from dogwoodlever._members import (
    Member,
    MembershipPolicy,
    MembersRecord,
    MemberState,
)
from dogwoodlever._membership_lease import MembershipLease, PeerEvidence, RecordVersions
from dogwoodlever._messages import Heartbeat, Message, RecordRequest, RecordValue
from dogwoodlever._peer_mesh import PeerTransport
from dogwoodlever._records import encode_record
from dogwoodlever._site import Limits
from dogwoodlever._store_follower import StoreFollower, SwapOutcome
from dogwoodlever.platform_errors import StoreUnavailableError

NO_ECHO_S = -1e9
MEMBERS_AT_BASE_INTERVAL = 10
HEARTBEAT_TERM_RATIO_MAX = 0.4
MAINTAIN_INTERVAL_S = 0.25
SERVING_STATES = frozenset({MemberState.LIVE, MemberState.LEAVING})
PEER_READABLE_KEYS = frozenset({keys.MEMBERS, keys.CONFIGURATION})


def exclusion_wait_s(limits: Limits) -> float:
    """Return the time from suspecting a member to excluding it.

    By then the member's lease has expired, and the loans that it made or took
    and the requests that it started have ended.
    """
    return (
        limits.tenure_term_s
        + limits.loan_term_s
        + limits.longest_request_s
        + limits.clock_margin_s
    )


def slot_recovery_max_s(limits: Limits) -> float:
    """Return the time within which other members hold a dead member's slots.

    The member is silent for a term, then suspected, then excluded after the
    wait, and then others take over its shares. Each of these three writes needs
    a poll and a maintenance round first; a conflict costs one backoff.
    """
    write_delay_s = limits.poll_interval_s + MAINTAIN_INTERVAL_S
    return (
        limits.heartbeat_interval_s
        + limits.tenure_term_s
        + exclusion_wait_s(limits)
        + 3 * write_delay_s
        + BACKOFF_MAX_S
    )


class MembershipRole:
    """Keep this daemon in the members record, and follow the other members.

    Parameters
    ----------
    member_id : str
        Member id of this daemon.
    entry : Member
        Entry of this daemon.
    follower : StoreFollower
        Shared records.
    peers : PeerTransport
        Connections to the other daemons.
    clock : IReactorTime
        Reactor clock.
    """

    def __init__(
        self,
        member_id: str,
        entry: Member,
        follower: StoreFollower,
        peers: PeerTransport,
        clock,
    ) -> None:
        self.member_id = member_id
        self.record = MembersRecord()
        self.configuration_versions: dict[str, int] = {}
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._writing = False
        self._has_left = False
        self._has_joined = False
        self._heartbeat_sent_s = float("-inf")
        self._backoff = Backoff(member_id, clock)
        self._absent_since_s: dict[str, float] = {}
        self._echoes: dict[str, float] = {}
        self._change_listeners: list[Callable[[], None]] = []
        self.limits = Limits()
        self._target_limits = self.limits
        self._limits_adopted_s = float("-inf")
        entry = msgspec.structs.replace(entry, wait_s=exclusion_wait_s(self.limits))
        self.lease = MembershipLease(self.limits.tenure_term_s)
        self.policy = MembershipPolicy(member_id, entry, self.limits.tenure_term_s)
        follower.on_entry(self._entry_changed)
        follower.on_consistent_poll(self._poll_completed)

    def set_limits(self, limits: Limits) -> None:
        """Adopt the limits of new settings.

        Other members wait as long as this member's entry says. Longer terms are
        therefore recorded before they are used. Shorter terms are used first
        and recorded after the longer wait, when all that was granted under the
        longer terms has ended.
        """
        self._target_limits = limits
        self._adopt_limits()

    def _adopt_limits(self) -> None:
        target_wait_s = exclusion_wait_s(self._target_limits)
        own = self.record.members.get(self.member_id)
        recorded_s = target_wait_s if own is None else own.wait_s
        if target_wait_s > recorded_s:
            self._set_wait(target_wait_s)
            return
        now_s = self._clock.seconds()
        if self.limits is not self._target_limits:
            self.limits = self._target_limits
            self._limits_adopted_s = now_s
            self.lease.set_term(self.limits.tenure_term_s)
            self.policy.silence_s = self.limits.tenure_term_s
        if own is None or now_s - self._limits_adopted_s >= recorded_s:
            self._set_wait(target_wait_s)

    def _set_wait(self, wait_s: float) -> None:
        """Set the exclusion wait of the entry that is written next."""
        self.policy.entry = msgspec.structs.replace(self.policy.entry, wait_s=wait_s)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever the members record changes."""
        self._change_listeners.append(listener)

    def has_valid_lease(self) -> bool:
        """Return whether this daemon may use its shares and cells now."""
        return self.lease.is_valid(self._clock.seconds())

    def is_member(self) -> bool:
        """Return whether this daemon is live or leaving in the record."""
        own = self.record.members.get(self.member_id)
        return own is not None and own.state in SERVING_STATES

    def others(self) -> set[str]:
        """Return the other members that are neither gone nor superseded."""
        return self.record.voters() - {self.member_id}

    def is_excluded(self) -> bool:
        """Return whether this incarnation was excluded, which is final."""
        own = self.record.members.get(self.member_id)
        if own is None:
            return self._has_joined and not self._has_left
        return own.state == MemberState.GONE

    def has_read_store(self) -> bool:
        """Return whether the shared records were read at least once."""
        return isfinite(self.lease.contact.age_s(self._clock.seconds()))

    def departed(self, named: set[str]) -> set[str]:
        """Return the members among `named` whose shares and cells are free.

        These are members that are gone, or that the record has not listed for
        a whole exclusion wait. A shorter absence proves nothing: the local copy
        of the members record may be older than the record that names them.
        """
        now_s = self._clock.seconds()
        members = self.record.members
        for member in set(self._absent_since_s) - (named - set(members)):
            del self._absent_since_s[member]
        departed = set()
        for member in named:
            if member in members:
                if members[member].state == MemberState.GONE:
                    departed.add(member)
                continue
            since_s = self._absent_since_s.setdefault(member, now_s)
            if now_s - since_s >= exclusion_wait_s(self.limits):
                departed.add(member)
        return departed

    def record_versions(self) -> RecordVersions:
        """Return the versions of the records held."""
        return RecordVersions(
            self._follower.version(keys.MEMBERS),
            self._follower.version(keys.CONFIGURATION),
        )

    def _entry_changed(self, key: str, entry: Entry | None) -> None:
        if key != keys.MEMBERS or entry is None:
            return
        self.record = msgspec.json.decode(entry.value, type=MembersRecord)
        addresses = {}
        for member in self.others():
            peer = self.record.members[member]
            addresses[member] = (peer.host, peer.peers_port)
        self._peers.set_peers(addresses)
        self._has_joined = self._has_joined or self.member_id in self.record.members
        for listener in self._change_listeners:
            listener()

    def _poll_completed(self, sent_s: float) -> None:
        self.lease.record_store_read(sent_s, self.record_versions(), self.is_member())

    @inlineCallbacks
    def maintain(self, referenced: set[str]):
        """Write the change of the members record that is due, if any.

        Parameters
        ----------
        referenced : set of str
            Members that share or owner records still name.
        """
        if self._writing or self._has_left or not self.has_read_store():
            return
        if self._backoff.is_active():
            return
        self._adopt_limits()
        if self.is_excluded():
            return
        if self.member_id not in self.record.members:
            change = self.policy.join(self.record)
        else:
            now_s = self._clock.seconds()
            change = self.policy.decide(self.record, now_s, self.lease, referenced)
        if change is not None:
            yield self._write(change)

    @inlineCallbacks
    def _write(self, change: MembersRecord):
        self._writing = True
        try:
            before = self.record
            result = yield self._follower.try_swap(
                keys.MEMBERS,
                encode_record(change),
                self._follower.version(keys.MEMBERS),
            )
            if result.committed:
                self._log_changes(before, change)
                self.send_heartbeats(at_once=True)
            else:
                self._backoff.record_conflict(len(self.record.members))
            return result.committed
        except StoreUnavailableError as error:
            log_event("members.write_failed", error=error)
            return False
        finally:
            self._writing = False

    def _log_changes(self, before: MembersRecord, after: MembersRecord) -> None:
        for member in sorted(set(before.members) | set(after.members)):
            was, now = before.members.get(member), after.members.get(member)
            if was != now:
                log_event(
                    "members.changed",
                    member=member,
                    was=was.state if was else "absent",
                    now=now.state if now else "absent",
                )

    @inlineCallbacks
    def announce_leaving(self):
        """Record that this daemon acquires no more shares or cells."""
        if not self.is_member():
            return
        change = self.policy.with_state(self.record, MemberState.LEAVING)
        yield self._write(change)

    @inlineCallbacks
    def leave(self):
        """Remove this daemon from the record; it must hold no share or cell."""
        self._has_left = True
        if self.member_id not in self.record.members:
            return
        change = self.record.replace(self.member_id, **{self.member_id: None})
        version = self._follower.version(keys.MEMBERS)
        written = yield self._follower.swap(
            keys.MEMBERS, encode_record(change), version
        )
        if written == SwapOutcome.CONFLICT:
            yield self.leave()

    def send_heartbeats(self, at_once: bool = False) -> None:
        """Send a heartbeat to every other member, if one is due.

        Above `MEMBERS_AT_BASE_INTERVAL` members the interval grows with their
        number, up to a fraction of the lease term, because the total traffic
        would otherwise grow with the square of that number.
        """
        now_s = self._clock.seconds()
        self.lease.extend_in_outage(now_s, self.others())
        if (
            not at_once
            and now_s - self._heartbeat_sent_s < self._heartbeat_interval_s() - 1e-3
        ):
            return
        self._heartbeat_sent_s = now_s
        contact = self.lease.contact
        silent_members = tuple(sorted(self.policy.silent_members(self.record, now_s)))
        for member in silent_members:
            self._peers.reset(member)
        record_versions = self.record_versions()
        for member in self.others():
            heartbeat = Heartbeat(
                now_s,
                self._echoes.get(member, NO_ECHO_S),
                contact.age_s(now_s),
                contact.contact_duration_s(now_s),
                record_versions.members_version,
                record_versions.configuration_version,
                silent_members,
            )
            self._peers.send(member, heartbeat)

    def _heartbeat_interval_s(self) -> float:
        base_s = self.limits.heartbeat_interval_s
        scaled_s = base_s * len(self.others()) / MEMBERS_AT_BASE_INTERVAL
        interval_max_s = self.limits.tenure_term_s * HEARTBEAT_TERM_RATIO_MAX
        return max(base_s, min(scaled_s, interval_max_s))

    def handle_message(self, sender: str, message: Message) -> None:
        """Handle a heartbeat, a request for a record, or a record."""
        if sender == self.member_id:
            return
        if isinstance(message, Heartbeat):
            self._handle_heartbeat(sender, message)
        elif isinstance(message, RecordRequest):
            self._send_record(sender, message.key)
        elif isinstance(message, RecordValue) and message.key in PEER_READABLE_KEYS:
            self._follower.offer(message.key, Entry(message.value, message.version))

    def _handle_heartbeat(self, sender: str, message: Heartbeat) -> None:
        now_s = self._clock.seconds()
        self._echoes[sender] = max(
            message.sent_s, self._echoes.get(sender, message.sent_s)
        )
        self.policy.record_heartbeat(sender, now_s, frozenset(message.silent))
        self.configuration_versions[sender] = message.configuration_version
        peer_versions = RecordVersions(
            message.members_version, message.configuration_version
        )
        evidence = PeerEvidence(
            message.echo_s,
            now_s,
            message.store_age_s,
            message.contact_duration_s,
            peer_versions,
        )
        self.lease.record_versions = self.record_versions()
        self.lease.record_heartbeat(sender, evidence, self.is_member())
        if peer_versions.members_version > self.record_versions().members_version:
            self._peers.send(sender, RecordRequest(keys.MEMBERS))
        if (
            peer_versions.configuration_version
            > self.record_versions().configuration_version
        ):
            self._peers.send(sender, RecordRequest(keys.CONFIGURATION))

    def _send_record(self, sender: str, key: str) -> None:
        entry = self._follower.entries.get(key)
        if entry is not None and key in PEER_READABLE_KEYS:
            self._peers.send(sender, RecordValue(key, entry.version, entry.value))
