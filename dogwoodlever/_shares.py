"""The split of backend servers' slots among members, and its changes."""

from collections.abc import Mapping

import msgspec

from dogwoodlever._rendezvous import rank
from dogwoodlever.routing_errors import RoomExceededError


class ShareRecord(msgspec.Struct, frozen=True):
    """Slots by server and member; each member writes only its own rows."""

    servers: dict[str, dict[str, int]] = {}
    writer: str = ""

    def held(self, server: str, member: str) -> int:
        """Return the slots of `server` that `member` holds."""
        return self.servers.get(server, {}).get(member, 0)

    def given(self, server: str) -> int:
        """Return the slots of `server` that all members hold together."""
        return sum(self.servers.get(server, {}).values())

    def members(self) -> set[str]:
        """Return all members that hold slots."""
        return {member for rows in self.servers.values() for member in rows}


def target_split(
    server: str, slots: int, members: Mapping[str, str], data_centre: str, homes: int
) -> dict[str, int]:
    """Return the split of a server's slots that the members aim at.

    Parameters
    ----------
    server : str
        Name that ranks the members.
    slots : int
        Slots to split.
    members : mapping of str to str
        Data centre by live member.
    data_centre : str
        The server's; members there come first.
    homes : int
        Members among which the slots are split.
    """
    ranked = rank(server, members)
    ranked.sort(key=lambda member: members[member] != data_centre)
    chosen = ranked[: min(homes, slots)]
    if not chosen:
        return {}
    base, extra = divmod(slots, len(chosen))
    return {m: base + (1 if i < extra else 0) for i, m in enumerate(chosen)}


class ShareKeeper:
    """Decide this member's rows of a share record.

    A member lowers its row once the slots are idle and raises it only into
    slots that no row holds, so the rows never add up to more than the server
    has, whatever the members believe of each other.

    Parameters
    ----------
    member_id : str
        The member whose rows are kept.
    """

    __slots__ = ("member_id",)

    def __init__(self, member_id: str) -> None:
        self.member_id = member_id

    def decide(
        self,
        record: ShareRecord,
        slots: Mapping[str, int],
        targets: Mapping[str, int],
        busy: Mapping[str, int],
        gone: set[str],
    ) -> ShareRecord | None:
        """Return the record that should replace `record`, or None.

        Parameters
        ----------
        record : ShareRecord
            The newest record read.
        slots : mapping of str to int
            Slots by server, of the servers that exist.
        targets : mapping of str to int
            Slots that this member aims at, by server.
        busy : mapping of str to int
            Slots that run requests or are lent, by server.
        gone : set of str
            Excluded members, whose rows are dropped.
        """
        servers = {}
        for server in sorted(set(record.servers) | set(slots)):
            rows = {
                m: n for m, n in record.servers.get(server, {}).items() if m not in gone
            }
            wanted = self._row(rows, server, slots, targets, busy)
            rows.pop(self.member_id, None)
            if wanted:
                rows[self.member_id] = wanted
            if rows:
                servers[server] = rows
        if servers == record.servers:
            return None
        return ShareRecord(servers, self.member_id)

    def _row(self, rows, server, slots, targets, busy) -> int:
        total = slots.get(server, 0)
        target = min(targets.get(server, 0), total)
        held = rows.get(self.member_id, 0)
        if target <= held:
            return max(target, min(held, busy.get(server, 0)))
        free = total - sum(rows.values())
        return held + max(0, min(target - held, free))


def check_record(record: ShareRecord, slots: Mapping[str, int]) -> None:
    """Check that no server's rows add up to more than its slots.

    Raises
    ------
    RoomExceededError
        If a server is given out beyond its slots.
    """
    for server, total in slots.items():
        given = record.given(server)
        if given > total:
            raise RoomExceededError(f"server {server}: {given} of {total} slots given")
