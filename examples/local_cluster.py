"""A local cluster: stand-ins and daemons as processes on free loopback ports."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import yaml

from dogwoodlever.settings import merge, read_documents

HOST = "127.0.0.1"
PEER_KEY = "local-peer-key"
OPERATOR_KEY = "local-operator-key"
STANDIN_LIFETIME_S = 240.0
READY_TIMEOUT_S = 20.0
LIMITS = {
    "tenure_term_s": 2.0,
    "longest_request_s": 2.0,
    "worker_lease_s": 4.0,
    "worker_rest_interval_s": 1.0,
}
EXAMPLE_SETTINGS = Path(__file__).parent / "swan-coast" / "settings"


class ClusterError(Exception):
    """A process of the cluster failed or did not reach an expected state."""


def find_free_ports(count: int, host: str = HOST) -> list[int]:
    """Return distinct ports that no socket is bound to."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind((host, 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


class LocalCluster:
    """Stand-ins of a site and its daemons, each in its own process.

    Parameters
    ----------
    folder : Path
        Empty folder for the settings and logs.
    daemons : int
        Number of daemons.
    speed : float
        Speed of simulated work on the workers, a multiple of real time.
    """

    def __init__(self, folder: Path, daemons: int, speed: float = 60.0) -> None:
        self.folder = folder
        self.settings_folder = folder / "settings"
        self.daemon_count = daemons
        self.speed = speed
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self._logs = []

    def __enter__(self) -> "LocalCluster":
        self._write_settings()
        try:
            self._start_standins()
            for name in self.ports:
                self.start_daemon(name)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exc) -> None:
        self.close()

    def _write_settings(self) -> None:
        """Write the swan-coast settings with free ports and an added kiosk service."""
        site: dict = {}
        for _, document in read_documents(EXAMPLE_SETTINGS):
            site = merge(site, document)
        site["teams"] |= {"catalogue": {"cores": 20}, "watchers": {"cores": 4}}
        site["limits"] = LIMITS
        kiosk = json.loads(json.dumps(site["services"]["dispatch"]))
        kiosk["reserved_cores"] = 1
        kiosk["servers"] = {"k01": dict(kiosk["servers"]["s01"])}
        site["services"]["kiosk"] = kiosk
        servers = [s for v in site["services"].values() for s in v["servers"].values()]
        endpoints = [*site["workers"].values(), *servers]
        self.store_port, self.vm_port, *ports = find_free_ports(
            2 + len(endpoints) + 3 * self.daemon_count
        )
        for endpoint in endpoints:
            endpoint["port"] = ports.pop()
        self.site = site
        self.settings_folder.mkdir()
        (self.settings_folder / "00-site.yaml").write_text(yaml.safe_dump(site))
        data_centres = list(site["data_centres"])
        for index in range(self.daemon_count):
            name = f"d{index + 1}"
            self._write_daemon_settings(
                name, data_centres[index % len(data_centres)], ports
            )

    def _write_daemon_settings(
        self, name: str, data_centre: str, ports: list[int]
    ) -> None:
        self.ports[name] = {
            "callers": ports.pop(),
            "operators": ports.pop(),
            "peers": ports.pop(),
        }
        document = {
            "daemon": name,
            "data_centre": data_centre,
            "host": HOST,
            "callers_port": self.ports[name]["callers"],
            "operators_port": self.ports[name]["operators"],
            "peers_port": self.ports[name]["peers"],
            "store_url": f"http://{HOST}:{self.store_port}",
            "vm_list_url": f"http://{HOST}:{self.vm_port}",
            "peer_key": PEER_KEY,
            "operator_key": OPERATOR_KEY,
            "drain_s": 0.5,
        }
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(document))

    def _start_standins(self) -> None:
        lifetime = ["--life-s", str(STANDIN_LIFETIME_S)]
        self._start_process(
            "store", "standins", ["store", str(self.store_port), *lifetime]
        )
        self._start_process(
            "machines",
            "standins",
            [
                "machines",
                str(self.settings_folder),
                str(self.vm_port),
                "--speed",
                str(self.speed),
                *lifetime,
            ],
        )
        self._poll(lambda: self.post_json(self.store_port, "admin", {}), "store")
        self._poll(lambda: self.get_json(self.vm_port, ""), "machines")

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or restart one that has ended."""
        settings = str(self.folder / f"{name}.yaml")
        self._start_process(name, "dogwoodlever.daemon", ["--settings", settings])

    def _start_process(self, name: str, module: str, arguments: list[str]) -> None:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            start_new_session=True,
        )

    def _poll(self, probe, description: str, timeout_s: float = READY_TIMEOUT_S):
        until_s = time.monotonic() + timeout_s
        while True:
            try:
                result = probe()
            except (OSError, ClusterError):
                result = None
            if result is not None and result is not False:
                return result
            if time.monotonic() > until_s:
                raise ClusterError(f"timed out after {timeout_s:g} s: {description}")
            time.sleep(0.1)

    def wait_until(self, probe, description: str, timeout_s: float = READY_TIMEOUT_S):
        """Wait until `probe` returns a true value, and return it.

        Raises
        ------
        ClusterError
            If it does not within the timeout.
        """
        return self._poll(lambda: probe() or None, description, timeout_s)

    def wait_until_healthy(self, names: list[str]) -> None:
        """Wait until the named daemons accept requests from callers."""
        for name in names:
            port = self.ports[name]["callers"]
            self._poll(lambda port=port: self._is_healthy(port), f"health of {name}")

    def _is_healthy(self, port: int) -> bool | None:
        with urllib.request.urlopen(f"http://{HOST}:{port}/health", timeout=2):
            return True

    def get_json(self, port: int, path: str):
        """Return the JSON document at a path of a stand-in."""
        with urllib.request.urlopen(
            f"http://{HOST}:{port}/{path}", timeout=5
        ) as response:
            return json.load(response)

    def post_json(self, port: int, path: str, document):
        """Post a JSON document to a stand-in; return the decoded response."""
        request = urllib.request.Request(
            f"http://{HOST}:{port}/{path}", json.dumps(document).encode()
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.load(response)

    def operation_url(self, daemon: str, service: str, operation: str) -> str:
        """Return the URL of a service's operation at a daemon."""
        return f"http://{HOST}:{self.ports[daemon]['callers']}/{service}/{operation}"

    def run_cli(self, *arguments: str, daemon: str = "d1", status: int = 0) -> str:
        """Run ``dogwoodlever`` and return its standard output.

        If a non-zero `status` is expected, standard error is appended.

        Raises
        ------
        ClusterError
            If its exit status is not `status`.
        """
        environment = os.environ | {
            "DOGWOODLEVER_DAEMON": f"{HOST}:{self.ports[daemon]['operators']}",
            "DOGWOODLEVER_KEY": OPERATOR_KEY,
        }
        completed = subprocess.run(
            [sys.executable, "-m", "dogwoodlever.cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if completed.returncode != status:
            raise ClusterError(
                f"{' '.join(arguments)}: exit status {completed.returncode}\n"
                f"{completed.stdout}{completed.stderr}"
            )
        return completed.stdout + (completed.stderr if status else "")

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process of the cluster."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self) -> None:
        """Kill all processes and close their logs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self._logs:
            log.close()
