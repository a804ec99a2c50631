"""Log lines of refused requests, at most one a second for each port."""

from collections import Counter

from dogwoodlever._connection_table import RefusalCause
from dogwoodlever._logs import log_event

INTERVAL_S = 1.0


class RefusalLog:
    """Counts refusals and logs the counts.

    Parameters
    ----------
    clock : IReactorTime
        Reactor clock.
    port : str
        Name of the port.
    """

    def __init__(self, clock, port: str) -> None:
        self._clock = clock
        self._port = port
        self._counts: Counter[RefusalCause] = Counter()

    def note(self, cause: RefusalCause) -> None:
        """Count a refusal; a crowd's refusals are logged together."""
        if not self._counts:
            self._clock.callLater(INTERVAL_S, self._write)
        self._counts[cause] += 1

    def _write(self) -> None:
        counts = " ".join(
            f"{cause}:{count}" for cause, count in sorted(self._counts.items())
        )
        self._counts.clear()
        log_event("port.refused", port=self._port, counts=counts)
