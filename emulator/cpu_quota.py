"""Holds processes to a share of a core, as a quota does.

A process runs at full speed until its part of a tenth of a second is used up, and then
not at all for the rest of it.
"""

import signal
import time
from collections.abc import Callable, Iterable

from twisted.internet.task import LoopingCall

from standins.daemon_process import DaemonProcess

PERIOD_S = 0.1
CHECK_INTERVAL_S = 0.01


class CpuQuota:
    """Stops daemons that have used up their quota until the next period.

    Parameters
    ----------
    get_daemons : callable
        Returns the daemons.
    share : float
        Processor time that each may use, as a share of a core.
    """

    def __init__(
        self, get_daemons: Callable[[], Iterable[DaemonProcess]], share: float
    ) -> None:
        self._get_daemons = get_daemons
        self._quota_s = share * PERIOD_S
        self._period = 0
        # By process id: processor time at the begin of the period.
        self._begun_s: dict[int, float] = {}
        self._stopped: dict[int, DaemonProcess] = {}
        self.stops = 0

    def open(self) -> None:
        """Start to hold the daemons to their quota."""
        LoopingCall(self._check).start(CHECK_INTERVAL_S)

    def _check(self) -> None:
        period = int(time.monotonic() / PERIOD_S)
        if period != self._period:
            self._begin_period(period)
        for daemon in self._get_daemons():
            if not daemon.is_running or daemon.process.pid in self._stopped:
                continue
            pid = daemon.process.pid
            used_s = read_cpu_s(pid)
            if used_s - self._begun_s.setdefault(pid, used_s) >= self._quota_s:
                self._stopped[pid] = daemon
                self.stops += 1
                daemon.process.send_signal(signal.SIGSTOP)

    def _begin_period(self, period: int) -> None:
        self._period = period
        self._begun_s.clear()
        stopped, self._stopped = self._stopped, {}
        for pid, daemon in stopped.items():
            is_same = daemon.is_running and daemon.process.pid == pid
            # A daemon that a fault has frozen stays so.
            if is_same and not daemon.is_frozen:
                daemon.process.send_signal(signal.SIGCONT)


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process; 0 if it has ended."""
    # The clock of a process (Linux: `MAKE_PROCESS_CPUCLOCK`, scheduler time).
    clock = (~pid << 3) | 2
    try:
        return time.clock_gettime(clock)
    except OSError:
        return 0.0
