"""What a process holds of its machine, sampled from outside."""

import os
import socket
import stat
import threading
from dataclasses import dataclass
from pathlib import Path

INTERVAL_S = 0.1
_LISTENING = "0A"


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Sample of one process.

    Attributes
    ----------
    resident_bytes : int
        Resident memory.
    file_bytes : int
        Size of its temporary files.
    unread_bytes : int
        Bytes that have been received for it and not yet read.
    descriptors : int
        Open descriptors.
    """

    resident_bytes: int = 0
    file_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    @property
    def held_bytes(self) -> int:
        """What counts against the memory of its machine."""
        return self.resident_bytes + self.file_bytes + self.unread_bytes

    def __str__(self) -> str:
        parts = self.held_bytes, self.resident_bytes, self.file_bytes, self.unread_bytes
        held, resident, files, unread = (part / 1e6 for part in parts)
        return (
            f"{held:.0f} MB (resident {resident:.0f}, files {files:.0f}, unread"
            f" {unread:.0f}), {self.descriptors} descriptors"
        )


def read_usage(pid: int, host: str, temporary_folder: Path) -> ProcessUsage:
    """Sample a process that listens on the address `host`, which is its own.

    Raises
    ------
    OSError
        If there is no such process.
    """
    status = Path(f"/proc/{pid}/status").read_text()
    resident_kb = next(
        (int(r.split()[1]) for r in status.splitlines() if r.startswith("VmRSS")), 0
    )
    numbers = os.listdir(f"/proc/{pid}/fd")
    sizes: dict[tuple[int, int], int] = {}
    for number in numbers:
        path = f"/proc/{pid}/fd/{number}"
        try:
            target, state = os.readlink(path), os.stat(path)
        except OSError:
            continue
        if stat.S_ISREG(state.st_mode) and target.endswith(" (deleted)"):
            sizes[state.st_dev, state.st_ino] = state.st_size
    for name in os.listdir(temporary_folder):
        try:
            state = os.stat(temporary_folder / name)
        except OSError:
            continue
        if stat.S_ISREG(state.st_mode):
            sizes[state.st_dev, state.st_ino] = state.st_size
    return ProcessUsage(
        resident_kb * 1024, sum(sizes.values()), _count_unread(host), len(numbers)
    )


def _count_unread(host: str) -> int:
    address = socket.inet_aton(host)[::-1].hex().upper()
    unread_bytes = 0
    with open("/proc/net/tcp") as rows:
        for row in rows:
            _, local, _, state, queues, *_ = row.split()
            # The queue of a listening socket counts connections, not bytes.
            if local.startswith(f"{address}:") and state != _LISTENING:
                unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes


class UsageMeter:
    """Samples a process from a thread and keeps the peaks.

    Parameters
    ----------
    pid : int
        Process.
    host : str
        Address that only this process listens on.
    temporary_folder : Path
        Its folder for temporary files.

    Attributes
    ----------
    peak : ProcessUsage
        Sample that held the most bytes.
    descriptors_max : int
        Most open descriptors of any sample.
    samples : int
        Number of samples.
    error : OSError or None
        What ended the sampling early.
    """

    def __init__(self, pid: int, host: str, temporary_folder: Path) -> None:
        self.peak = ProcessUsage()
        self.descriptors_max = 0
        self.samples = 0
        self.error: OSError | None = None
        self._source = pid, host, temporary_folder
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._is_ended.wait(INTERVAL_S):
            try:
                usage = read_usage(*self._source)
            except OSError as error:
                self.error = error
                return
            self.samples += 1
            self.descriptors_max = max(self.descriptors_max, usage.descriptors)
            if usage.held_bytes > self.peak.held_bytes:
                self.peak = usage

    def close(self) -> None:
        """End the thread."""
        self._is_ended.set()
        self._thread.join()
