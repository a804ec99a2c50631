"""Pool of backend server slots that one daemon holds, lends and borrows."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dogwoodlever.routing_errors import SlotsExceededError


@dataclass(slots=True, frozen=True)
class Loan:
    """One slot lent to a peer.

    Attributes
    ----------
    loan_id : str
        Unique among all lenders and their incarnations.
    server : str
        Backend server of the slot.
    """

    loan_id: str
    server: str


@dataclass(slots=True)
class LentSlot:
    """The lender's view of a loan; the slot is free again at `reclaimed_s`."""

    loan: Loan
    borrower: str
    reclaimed_s: float


@dataclass(slots=True)
class BorrowedSlot:
    """The borrower's view of a loan; no request starts from `usable_until_s` on."""

    loan: Loan
    lender: str
    usable_until_s: float
    busy: bool = False


@dataclass(slots=True, frozen=True)
class Slot:
    """A slot acquired for one request; `loan_id` is empty for an own slot."""

    server: str
    loan_id: str = ""


@dataclass(slots=True)
class ServerSlots:
    """Own, lent and borrowed slots of one backend server."""

    held: int = 0
    running: int = 0
    lent: int = 0
    borrowed: dict[str, BorrowedSlot] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """Number of own slots that neither run a request nor are lent."""
        return self.held - self.running - self.lent

    @property
    def busy(self) -> int:
        """Number of own slots that run a request or are lent."""
        return self.running + self.lent


class SlotPool:
    """Slots that this daemon holds, lends and borrows.

    A borrower counts a loan's term from its demand; the lender counts it from
    the grant and adds the longest request. The lender therefore never reuses a
    slot in which the borrower's request may still run.

    Parameters
    ----------
    member_id : str
        Prefix of this daemon's loan ids.
    loan_term_s : float
        Time in which a borrower may start requests under a loan.
    longest_request_s : float
        Longest run time of a request.
    """

    __slots__ = (
        "_accepted_loans",
        "_lent",
        "_loan_count",
        "_servers",
        "loan_term_s",
        "longest_request_s",
        "member_id",
    )

    def __init__(
        self, member_id: str, loan_term_s: float, longest_request_s: float
    ) -> None:
        self.member_id = member_id
        self.loan_term_s = loan_term_s
        self.longest_request_s = longest_request_s
        self._servers: dict[str, ServerSlots] = {}
        self._lent: dict[str, LentSlot] = {}
        self._loan_count = 0
        self._accepted_loans: dict[str, float] = {}

    def _server(self, server: str) -> ServerSlots:
        return self._servers.setdefault(server, ServerSlots())

    def set_held(self, held: Mapping[str, int]) -> None:
        """Set the own slots by server; all other servers get none."""
        for server in set(self._servers) - set(held):
            self._servers[server].held = 0
        for server, slots in held.items():
            self._server(server).held = slots

    def reduce_held(self, held: Mapping[str, int]) -> None:
        """Reduce own slots to `held` where that is less, before it is stored."""
        for server, server_slots in self._servers.items():
            server_slots.held = min(server_slots.held, held.get(server, 0))

    def busy(self) -> dict[str, int]:
        """Return the own slots that run a request or are lent, by server."""
        return {
            s: server_slots.busy
            for s, server_slots in self._servers.items()
            if server_slots.busy
        }

    def held_total(self) -> int:
        """Return the number of own slots on all servers."""
        return sum(server_slots.held for server_slots in self._servers.values())

    def usable_slots(self) -> int:
        """Return the number of own slots that are not lent, plus the borrowed."""
        return sum(
            server_slots.held - server_slots.lent + len(server_slots.borrowed)
            for server_slots in self._servers.values()
        )

    def free_total(self) -> int:
        """Return the number of free own slots on all servers."""
        return sum(max(0, server_slots.free) for server_slots in self._servers.values())

    def servers_with_free_slots(self) -> Iterable[str]:
        """Yield the servers with a free own slot."""
        return (s for s, server_slots in self._servers.items() if server_slots.free > 0)

    def available_servers(self, now_s: float, own: bool) -> Iterable[str]:
        """Yield the servers with a slot in which a request can start.

        Parameters
        ----------
        now_s : float
            Current time.
        own : bool
            Whether own slots may be used; borrowed ones always may.
        """
        for server, server_slots in self._servers.items():
            own_free = own and server_slots.free > 0
            if own_free or any(
                self._is_usable(b, now_s) for b in server_slots.borrowed.values()
            ):
                yield server

    def _is_usable(self, slot: BorrowedSlot, now_s: float) -> bool:
        return not slot.busy and now_s < slot.usable_until_s

    def running(self, server: str) -> int:
        """Return the number of requests in own and borrowed slots of `server`."""
        server_slots = self._server(server)
        return server_slots.running + sum(
            slot.busy for slot in server_slots.borrowed.values()
        )

    def acquire(self, server: str, now_s: float, own: bool = True) -> Slot | None:
        """Acquire a slot of `server`, borrowed before own, or return None."""
        server_slots = self._server(server)
        for slot in server_slots.borrowed.values():
            if self._is_usable(slot, now_s):
                slot.busy = True
                return Slot(server, slot.loan.loan_id)
        if not own or server_slots.free <= 0:
            return None
        server_slots.running += 1
        return Slot(server)

    def release(self, slot: Slot) -> None:
        """Release an acquired slot."""
        server_slots = self._server(slot.server)
        if not slot.loan_id:
            server_slots.running -= 1
            return
        borrowed = server_slots.borrowed.get(slot.loan_id)
        if borrowed is not None:
            borrowed.busy = False

    def lend(self, borrower: str, server: str, now_s: float) -> Loan:
        """Lend one free own slot of `server`.

        Raises
        ------
        SlotsExceededError
            If no own slot of the server is free.
        """
        server_slots = self._server(server)
        if server_slots.free <= 0:
            raise SlotsExceededError(f"server {server}: no free slot to lend")
        self._loan_count += 1
        loan = Loan(f"{self.member_id}/{self._loan_count}", server)
        reclaimed_s = now_s + self.loan_term_s + self.longest_request_s
        self._lent[loan.loan_id] = LentSlot(loan, borrower, reclaimed_s)
        server_slots.lent += 1
        return loan

    def reclaim(self, loan_id: str) -> bool:
        """Free a lent slot; return False if the loan has already ended."""
        lent = self._lent.pop(loan_id, None)
        if lent is None:
            return False
        self._server(lent.loan.server).lent -= 1
        return True

    def expire_loans(self, now_s: float) -> int:
        """Free the slots of expired loans and return their number."""
        expired = [
            loan_id for loan_id, lent in self._lent.items() if now_s >= lent.reclaimed_s
        ]
        for loan_id in expired:
            self.reclaim(loan_id)
        return len(expired)

    def accept_loan(
        self, lender: str, loan: Loan, asked_s: float, term_s: float, now_s: float
    ) -> bool:
        """Accept a loan in answer to the demand sent at `asked_s`.

        Parameters
        ----------
        lender : str
            Member that lends.
        loan : Loan
            The slot.
        asked_s, term_s, now_s : float
            Time of the demand by this daemon's clock, the lender's term, and
            the current time.

        Returns
        -------
        bool
            False if the loan has expired and must be returned. A duplicate is
            ignored rather than returned, since the first copy may be in use.
        """
        usable_until_s = asked_s + min(term_s, self.loan_term_s)
        if loan.loan_id in self._accepted_loans:
            return True
        if now_s >= usable_until_s:
            return False
        self._forget_expired_loans(now_s)
        self._accepted_loans[loan.loan_id] = usable_until_s
        self._server(loan.server).borrowed[loan.loan_id] = BorrowedSlot(
            loan, lender, usable_until_s
        )
        return True

    def _forget_expired_loans(self, now_s: float) -> None:
        """Forget loans that have expired, the oldest first."""
        while self._accepted_loans:
            loan_id, usable_until_s = next(iter(self._accepted_loans.items()))
            if now_s < usable_until_s:
                return
            del self._accepted_loans[loan_id]

    def drop_borrowed(self, now_s: float, idle: bool) -> dict[str, list[str]]:
        """Drop free borrowed slots that have expired, or all of them if `idle`.

        Returns
        -------
        dict of str to list of str
            Loan ids to return, by lender.
        """
        returned: dict[str, list[str]] = {}
        for server_slots in self._servers.values():
            returnable = [
                slot
                for slot in server_slots.borrowed.values()
                if not slot.busy and (idle or now_s >= slot.usable_until_s)
            ]
            for slot in returnable:
                del server_slots.borrowed[slot.loan.loan_id]
                returned.setdefault(slot.lender, []).append(slot.loan.loan_id)
        return returned

    def has_borrowed(self) -> bool:
        """Return whether any slot is borrowed."""
        return any(server_slots.borrowed for server_slots in self._servers.values())

    def lent_total(self) -> int:
        """Return the number of lent slots."""
        return len(self._lent)
