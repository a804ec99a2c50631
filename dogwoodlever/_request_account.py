"""Account of why each request ran where and when it did."""

from collections import OrderedDict

import msgspec

ACCOUNTS_MAX = 5_000
COPIES_PER_BATCH = 200


class AttemptLine(msgspec.Struct):
    """One attempt of a request; times are of the wall clock."""

    server: str
    started_at_s: float
    result: str = "running"
    ended_at_s: float = 0.0


class RequestAccount(msgspec.Struct):
    """What happened to one request, and why."""

    request_id: str
    service: str
    operation: str
    caller: str
    daemon: str
    arrived_at_s: float
    attempts: list[AttemptLine] = []
    outcome: str = "open"
    reason: str = ""
    ended_at_s: float = 0.0


class RequestAccounts:
    """The newest accounts of a daemon, bounded in number."""

    __slots__ = ("_accounts", "_uncopied")

    def __init__(self) -> None:
        self._accounts: OrderedDict[str, RequestAccount] = OrderedDict()
        self._uncopied: list[RequestAccount] = []

    def open(self, account: RequestAccount) -> None:
        """Add the account of a new request."""
        self._accounts[account.request_id] = account
        while len(self._accounts) > ACCOUNTS_MAX:
            self._accounts.popitem(last=False)

    def get(self, request_id: str) -> RequestAccount | None:
        """Return the account of a request, or None."""
        return self._accounts.get(request_id)

    def started(self, request_id: str, server: str, at_s: float) -> None:
        """Note the start of an attempt."""
        account = self._accounts.get(request_id)
        if account is not None:
            account.attempts = [*account.attempts, AttemptLine(server, at_s)]

    def attempt_ended(self, request_id: str, server: str, result: str, at_s: float):
        """Note the end of the newest attempt on `server`."""
        account = self._accounts.get(request_id)
        if account is None:
            return
        for line in reversed(account.attempts):
            if line.server == server:
                line.result, line.ended_at_s = result, at_s
                return

    def ended(self, request_id: str, outcome: str, reason: str, at_s: float) -> None:
        """Note the end of a request."""
        account = self._accounts.get(request_id)
        if account is not None:
            account.outcome, account.reason = outcome, reason
            account.ended_at_s = at_s
            self._uncopied.append(account)

    def next_copies(self) -> list[RequestAccount]:
        """Return accounts ended since the last call, for a peer to keep.

        Under load only part of them is copied: first those of requests that
        were not simply answered at their first attempt.
        """
        ended, self._uncopied = self._uncopied, []
        ended.sort(key=lambda a: a.outcome == "answered" and len(a.attempts) == 1)
        return ended[:COPIES_PER_BATCH]
