"""Standard error that never blocks and groups lines into few writes."""

import atexit
import os

# Groups the lines of some events into one system call.
FLUSH_INTERVAL_S = 0.02
# Log data kept while the reader of standard error does not read.
PENDING_BYTES_MAX = 1_000_000


class LogStream:
    """Text stream that writes to a file descriptor at intervals.

    Lines are dropped, and counted, while more than `PENDING_BYTES_MAX` wait for the
    reader.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is set to non-blocking.
    clock : IReactorTime
        Reactor clock.
    """

    def __init__(self, descriptor: int, clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._pending = bytearray()
        self._flush_call = None
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)
        atexit.register(self.write_pending)

    def write(self, text: str) -> int:
        """Add text to the next write."""
        data = text.encode(errors="replace")
        if len(self._pending) + len(data) > PENDING_BYTES_MAX:
            self.dropped_lines += 1
            return len(text)
        self._pending += data
        if self._flush_call is None:
            self._flush_call = self._clock.callLater(
                FLUSH_INTERVAL_S, self._write_and_reschedule
            )
        return len(text)

    def flush(self) -> None:
        """Do nothing: the pending text is written soon, and when the process ends."""

    def _write_and_reschedule(self) -> None:
        self._flush_call = None
        self.write_pending()
        if self._pending:
            self._flush_call = self._clock.callLater(
                FLUSH_INTERVAL_S, self._write_and_reschedule
            )

    def write_pending(self) -> None:
        """Write as much as the descriptor accepts."""
        try:
            while self._pending:
                del self._pending[: os.write(self._descriptor, self._pending)]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is nowhere left to report it.
            self._pending.clear()
        if self.dropped_lines:
            dropped, self.dropped_lines = self.dropped_lines, 0
            self.write(f"event=log.dropped lines={dropped}\n")
