"""Budget that keeps retries a bounded part of the load."""

BALANCE_MAX = 20.0
BALANCE_INITIAL = 5.0


class RetryBudget:
    """Token balance fed by first attempts and spent by retries.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt, over the long run.
    """

    __slots__ = ("_balance", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._balance = BALANCE_INITIAL

    def deposit(self) -> None:
        """Record a first attempt."""
        self._balance = min(BALANCE_MAX, self._balance + self.ratio)

    def try_withdraw(self) -> bool:
        """Take one retry from the balance; return whether there was one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
