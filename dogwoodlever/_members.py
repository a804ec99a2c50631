"""Members record, and the rules for changing it."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from dogwoodlever._rendezvous import rank


class MemberState(StrEnum):
    """State of a member in the record."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


class Member(msgspec.Struct, frozen=True):
    """Record entry of one incarnation of a daemon.

    Attributes
    ----------
    wait_s : float
        Time from suspecting this member to excluding it, computed from the
        limits that the member itself uses.
    superseded : bool
        Whether a later incarnation of the same daemon has joined, which
        implies that this process has ended.
    """

    daemon: str
    data_centre: str
    host: str
    peers_port: int
    operators_port: int
    callers_port: int
    wait_s: float = 0.0
    state: MemberState = MemberState.LIVE
    superseded: bool = False


class MembersRecord(msgspec.Struct, frozen=True):
    """All members by member id, ``<daemon>#<incarnation>``."""

    members: dict[str, Member] = {}
    writer: str = ""

    def possible_holders(self) -> set[str]:
        """Return the members that may hold shares or cells: all but those gone."""
        return {m for m, e in self.members.items() if e.state != MemberState.GONE}

    def live(self) -> set[str]:
        """Return the members that may acquire shares and cells."""
        return {m for m, e in self.members.items() if e.state == MemberState.LIVE}

    def voters(self) -> set[str]:
        """Return the members that count towards a majority."""
        return {
            m
            for m, e in self.members.items()
            if e.state != MemberState.GONE and not e.superseded
        }

    def replace(self, writer: str, **changes: Member | None) -> "MembersRecord":
        """Return a copy with the entries of `changes`; None removes a member."""
        members = dict(self.members)
        for member, entry in changes.items():
            if entry is None:
                members.pop(member, None)
            else:
                members[member] = entry
        return MembersRecord(members, writer)


@dataclass(slots=True)
class HeartbeatLog:
    """Last heartbeats received, and the members that each peer reports silent."""

    last_received_s: dict[str, float] = field(default_factory=dict)
    silent_by_peer: dict[str, frozenset[str]] = field(default_factory=dict)


class MembershipPolicy:
    """Decide joins, suspicions and exclusions from received heartbeats.

    Parameters
    ----------
    member_id : str
        Member id of this daemon.
    entry : Member
        Entry of this daemon.
    silence_s : float
        A member is silent once no heartbeat has come for this long.
    """

    __slots__ = (
        "_heartbeats",
        "_suspected_since_s",
        "entry",
        "member_id",
        "silence_s",
    )

    def __init__(self, member_id: str, entry: Member, silence_s: float) -> None:
        self.member_id = member_id
        self.entry = entry
        self.silence_s = silence_s
        self._heartbeats = HeartbeatLog()
        self._suspected_since_s: dict[str, float] = {}

    def record_heartbeat(
        self, member: str, received_s: float, silent_members: frozenset[str]
    ) -> None:
        """Record a heartbeat and the members that its sender reports silent."""
        self._heartbeats.last_received_s[member] = received_s
        self._heartbeats.silent_by_peer[member] = silent_members

    def silent_members(self, record: MembersRecord, now_s: float) -> frozenset[str]:
        """Return the members whose last heartbeat is older than `silence_s`."""
        silent = set()
        for member in record.possible_holders():
            if member == self.member_id:
                continue
            last_received_s = self._heartbeats.last_received_s.setdefault(member, now_s)
            if now_s - last_received_s > self.silence_s:
                silent.add(member)
        return frozenset(silent)

    def join(self, record: MembersRecord) -> MembersRecord:
        """Return the record with this daemon live and older incarnations suspect."""
        changes = {self.member_id: self.entry}
        for member, entry in record.members.items():
            if entry.daemon != self.entry.daemon or member == self.member_id:
                continue
            if entry.state != MemberState.GONE:
                changes[member] = msgspec.structs.replace(
                    entry, state=MemberState.SUSPECT, superseded=True
                )
        return record.replace(self.member_id, **changes)

    def with_state(self, record: MembersRecord, state: MemberState) -> MembersRecord:
        """Return the record with this daemon in `state`."""
        entry = msgspec.structs.replace(self.entry, state=state)
        return record.replace(self.member_id, **{self.member_id: entry})

    def decide(
        self, record: MembersRecord, now_s: float, lease, referenced: set[str]
    ) -> MembersRecord | None:
        """Return the record that should replace `record`, or None.

        Parameters
        ----------
        record : MembersRecord
            Newest record read.
        now_s : float
            Current time.
        lease : MembershipLease
            Evidence of the members' store contact.
        referenced : set of str
            Members that share or owner records still name.
        """
        own = record.members.get(self.member_id)
        if own is not None and own.state == MemberState.SUSPECT:
            return record.replace(self.member_id, **{self.member_id: self.entry})
        if own is not None and own.wait_s != self.entry.wait_s:
            changed = msgspec.structs.replace(own, wait_s=self.entry.wait_s)
            return record.replace(self.member_id, **{self.member_id: changed})
        changes = self._exclusions(record, now_s, lease)
        changes |= self._suspicions(record, now_s)
        changes |= self._removals(record, referenced)
        if not changes:
            return None
        return record.replace(self.member_id, **changes)

    def _exclusions(self, record: MembersRecord, now_s: float, lease) -> dict:
        suspects = {
            m for m, e in record.members.items() if e.state == MemberState.SUSPECT
        }
        for member in set(self._suspected_since_s) - suspects:
            del self._suspected_since_s[member]
        changes = {}
        for member in suspects - {self.member_id}:
            since_s = self._suspected_since_s.setdefault(member, now_s)
            if now_s - since_s < record.members[member].wait_s:
                continue
            others = record.voters() - {self.member_id}
            if lease.majority_in_contact_since(since_s, now_s, others):
                changes[member] = msgspec.structs.replace(
                    record.members[member], state=MemberState.GONE
                )
        return changes

    def _suspicions(self, record: MembersRecord, now_s: float) -> dict:
        silent_members = self.silent_members(record, now_s)
        voters = record.voters()
        changes = {}
        for member in silent_members:
            entry = record.members[member]
            if entry.state not in (MemberState.LIVE, MemberState.LEAVING):
                continue
            if not self._is_silent_to_majority(member, voters, silent_members):
                continue
            if (
                self._suspicion_writer(member, voters - silent_members)
                != self.member_id
            ):
                continue
            changes[member] = msgspec.structs.replace(entry, state=MemberState.SUSPECT)
        return changes

    def _is_silent_to_majority(
        self, member: str, voters: set, silent_members: frozenset
    ) -> bool:
        silent_count = 1
        for peer in voters - silent_members - {self.member_id}:
            if member in self._heartbeats.silent_by_peer.get(peer, ()):
                silent_count += 1
        return silent_count > len(voters - {member}) // 2

    def _suspicion_writer(self, member: str, responsive: set[str]) -> str | None:
        ranked = rank(member, responsive | {self.member_id})
        return ranked[0] if ranked else None

    def _removals(self, record: MembersRecord, referenced: set[str]) -> dict:
        return {
            member: None
            for member, entry in record.members.items()
            if entry.state == MemberState.GONE and member not in referenced
        }
