"""A daemon as a process of its own, on its own loopback address."""

import os
import resource
import signal
import subprocess
import sys
from pathlib import Path

from examples.local_cluster import find_free_ports

ROOT = Path(__file__).parent.parent
# Indexes into `DaemonProcess.ports`.
CALLERS, READINESS, PEERS = range(3)


class DaemonProcess:
    """A daemon process on its own loopback address.

    Parameters
    ----------
    name : str
        Name of its VM.
    host : str
        Loopback address.
    store_port : int
        Port of the proxy between the daemon and the store.
    folder : Path
        Folder for its settings and its log.
    checkout : Path
        Checkout of the code that it runs.
    data_centre : str
        Its data centre.
    extra_settings : str
        Further tables of its settings file.
    descriptors_max : int or None
        Limit of its open descriptors, None for that of this process.
    """

    def __init__(
        self,
        name: str,
        host: str,
        store_port: int,
        folder: Path,
        checkout: Path = ROOT,
        data_centre: str = "north",
        extra_settings: str = "",
        descriptors_max: int | None = None,
    ) -> None:
        self.name = name
        self.host = host
        self._checkout = checkout
        self._data_centre = data_centre
        self.ports = find_free_ports(3, host)
        self._descriptors_max = descriptors_max
        self._file = folder / f"{name}.toml"
        self._file.write_text(self._settings(store_port) + extra_settings)
        self.temporary_folder = folder / f"{name}-temporary"
        self.temporary_folder.mkdir(exist_ok=True)
        self._log = open(folder / f"{name}.log", "ab")  # noqa: SIM115
        self.process: subprocess.Popen | None = None
        # Processes started so far.
        self.starts = 0
        # Whether it was sent a signal that ends it.
        self.is_ending = False
        # Whether it was sent SIGSTOP, and neither SIGCONT nor a new process since.
        self.is_frozen = False
        # Whether it was sent SIGTERM, and nothing after that prevents its stop.
        self.is_stopping = False

    def _settings(self, store_port: int) -> str:
        return f"""
node = "{self.name}"
ip = "{self.host}"
zone = "{self._data_centre}"
port_range = [{self.ports[PEERS]}, {self.ports[PEERS]}]
[listen]
front = "{self.host}:{self.ports[CALLERS]}"
readiness = "{self.host}:{self.ports[READINESS]}"
[platform]
address = "127.0.0.1:{store_port}"
"""

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.host}:{self.ports[CALLERS]}"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self.is_ending = self.is_stopping = self.is_frozen = False
        self.starts += 1
        self.process = subprocess.Popen(
            [sys.executable, "-m", "dogwoodlever.fleet_daemon"],
            cwd=self._checkout,
            env=os.environ | self._environment(),
            stdout=self._log,
            stderr=self._log,
            preexec_fn=self._limit_descriptors if self._descriptors_max else None,
        )

    def _environment(self) -> dict[str, str]:
        """Return the environment variables of the process."""
        return {
            "DOGWOODLEVER_NODE_FILE": str(self._file),
            "TMPDIR": str(self.temporary_folder),
        }

    def _limit_descriptors(self) -> None:
        limit = self._descriptors_max
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.is_ending = True
        if number in (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP):
            self.is_stopping = number == signal.SIGTERM
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_frozen = number == signal.SIGSTOP
        if self.is_running:
            self.process.send_signal(number)

    def survives(self, number: int) -> bool:
        """Return whether the process ignores or handles a signal that is sent now.

        No program can before its interpreter has started.
        """
        if not self.is_running:
            return False
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        sets = dict(line.split(":", 1) for line in status.splitlines())
        bit = 1 << (number - 1)
        return any(int(sets[name], 16) & bit for name in ("SigIgn", "SigCgt"))

    def ended_by_itself(self) -> bool:
        """Return whether the process ended without a signal that ends it."""
        return not self.is_running and not self.is_ending

    def close(self) -> None:
        """Kill the process and close its log."""
        if self.is_running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()
        self._log.close()
