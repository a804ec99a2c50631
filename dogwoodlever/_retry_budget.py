"""Budget that limits retries to a fraction of the load."""

BALANCE_MAX = 20.0
BALANCE_INITIAL = 5.0


class RetryBudget:
    """Token bucket filled by new requests and drained by retries.

    Parameters
    ----------
    ratio : float
        Long-run limit of retries per new request.
    """

    __slots__ = ("_balance", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._balance = BALANCE_INITIAL

    def deposit(self) -> None:
        """Add the tokens of a new request."""
        self._balance = min(BALANCE_MAX, self._balance + self.ratio)

    def try_withdraw(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
