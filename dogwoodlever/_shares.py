"""The split of backend servers' slots among members, and its changes."""

from collections.abc import Mapping

import msgspec

from dogwoodlever._rendezvous import rank
from dogwoodlever.routing_errors import SlotsExceededError


class ShareRecord(msgspec.Struct, frozen=True):
    """Slots by server and member; each member writes only its own rows."""

    servers: dict[str, dict[str, int]] = {}
    writer: str = ""

    def held(self, server: str, member: str) -> int:
        """Return the slots of `server` that `member` holds."""
        return self.servers.get(server, {}).get(member, 0)

    def allocated(self, server: str) -> int:
        """Return the slots of `server` that all members hold together."""
        return sum(self.servers.get(server, {}).values())

    def members(self) -> set[str]:
        """Return all members that hold slots."""
        return {member for rows in self.servers.values() for member in rows}


def split_slots(
    server: str,
    slots: int,
    members: Mapping[str, str],
    data_centre: str,
    homes_per_server: int,
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
    homes_per_server : int
        Members among which the slots are split.
    """
    ranked = rank(server, members)
    ranked.sort(key=lambda member: members[member] != data_centre)
    chosen = ranked[: min(homes_per_server, slots)]
    if not chosen:
        return {}
    base, extra = divmod(slots, len(chosen))
    return {m: base + (1 if i < extra else 0) for i, m in enumerate(chosen)}


class SharePlanner:
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

    def plan(
        self,
        record: ShareRecord,
        slots: Mapping[str, int],
        targets: Mapping[str, int],
        busy: Mapping[str, int],
        departed: set[str],
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
        departed : set of str
            Excluded members, whose rows are dropped.
        """
        servers = {}
        for server in sorted(set(record.servers) | set(slots)):
            rows = {
                m: n
                for m, n in record.servers.get(server, {}).items()
                if m not in departed
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


def check_shares(record: ShareRecord, slots: Mapping[str, int]) -> None:
    """Check that no server's rows add up to more than its slots.

    Raises
    ------
    RoomExceededError
        If a server is given out beyond its slots.
    """
    for server, total in slots.items():
        allocated = record.allocated(server)
        if allocated > total:
            raise SlotsExceededError(
                f"server {server}: {allocated} of {total} slots given"
            )
