"""Fencing tokens of the calls to one worker."""

from collections.abc import Callable


class LinkFencing:
    """Fencing token of a link, which rises after each call without an answer.

    A call without an answer may be carried out seconds later, also by the next
    incarnation of the worker. An incarnation that has answered under a higher token
    refuses it. No start, lease or acknowledgement goes out under a token that is not
    proven, so none that is on its way then has that token or a higher one.

    Parameters
    ----------
    next_number : callable
        Returns a number above all former ones of the worker in this term.
    token_of : callable
        Returns the token for a number, in the term in which it is called.
    """

    __slots__ = ("_next_number", "_number", "_proven_token", "_token_of")

    def __init__(
        self, next_number: Callable[[], int], token_of: Callable[[int], int]
    ) -> None:
        self._next_number = next_number
        self._token_of = token_of
        self._number = next_number()
        self._proven_token = -1

    @property
    def token(self) -> int:
        """Token of the calls that are sent now."""
        return self._token_of(self._number)

    @property
    def is_proven(self) -> bool:
        """Whether the worker has answered a call with this token."""
        return self._proven_token == self.token

    def advance(self) -> None:
        """Raise the token, so that no call sent before has any effect after the next.

        The worker may carry them out first.
        """
        is_proven = self.is_proven
        self._number = self._next_number()
        if is_proven:
            self._proven_token = self.token

    def record_answer(self, token: int) -> None:
        """Record that the worker has answered a call with a token."""
        self._proven_token = max(self._proven_token, token)

    def record_silence(self, token: int) -> bool:
        """Record that a call with a token got no answer.

        Returns
        -------
        is_raised : bool
            Whether the token has been raised. It is not if the current one is higher
            already, or if only bare polls were sent with it.
        """
        if token != self.token or not self.is_proven:
            return False
        self._number = self._next_number()
        return True
