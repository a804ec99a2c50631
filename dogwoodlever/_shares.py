"""Shares of the members in the slots of backend servers."""

from collections.abc import Mapping

import msgspec

from dogwoodlever._rendezvous import rank
from dogwoodlever.routing_errors import SlotsExceededError


class ShareRecord(msgspec.Struct, frozen=True):
    """Slots by server and member.

    A member changes only its own rows and drops those of excluded members.
    """

    servers: dict[str, dict[str, int]] = {}
    writer: str = ""

    def held(self, server: str, member: str) -> int:
        """Return the slots of `server` that `member` holds."""
        return self.servers.get(server, {}).get(member, 0)

    def allocated(self, server: str) -> int:
        """Return the slots of `server` that all members hold in total."""
        return sum(self.servers.get(server, {}).values())

    def members(self) -> set[str]:
        """Return the members that hold slots."""
        return {member for rows in self.servers.values() for member in rows}


def split_slots(
    server: str,
    slots: int,
    members: Mapping[str, str],
    data_centre: str,
    homes_per_server: int,
) -> dict[str, int]:
    """Return the target split of a server's slots, by member.

    Parameters
    ----------
    server : str
        Name of the server, by which rendezvous hashing ranks the members.
    slots : int
        Slots to split.
    members : mapping of str to str
        Data centre by live member.
    data_centre : str
        Data centre of the server; its members are preferred.
    homes_per_server : int
        Number of members among which the slots are split.
    """
    ranked = rank(server, members)
    ranked.sort(key=lambda member: members[member] != data_centre)
    chosen = ranked[: min(homes_per_server, slots)]
    if not chosen:
        return {}
    base, extra = divmod(slots, len(chosen))
    return {m: base + (1 if i < extra else 0) for i, m in enumerate(chosen)}


class SharePlanner:
    """Plans this member's rows of a share record.

    A member lowers a row only once the slots are idle, and raises it only by
    slots that no row holds. The rows of a server thus never exceed its slots,
    even if members disagree about the membership.

    Parameters
    ----------
    member_id : str
        The member whose rows are planned.
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
            Slots by server, for the servers that exist.
        targets : mapping of str to int
            Target slots of this member, by server.
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
            own_row = self._row(rows, server, slots, targets, busy)
            rows.pop(self.member_id, None)
            if own_row:
                rows[self.member_id] = own_row
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
    SlotsExceededError
        If more slots of a server are allocated than it has.
    """
    for server, total in slots.items():
        allocated = record.allocated(server)
        if allocated > total:
            raise SlotsExceededError(
                f"server {server}: {allocated} slots allocated, {total} exist"
            )
