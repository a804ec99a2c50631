"""Stand-ins and daemons as processes on free loopback ports."""

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
PEER_KEY = "stage-peer-key"
OPERATOR_KEY = "stage-operator-key"
LIFE_S = 240.0
READY_TIMEOUT_S = 20.0
LIMITS = {
    "tenure_term_s": 2.0,
    "longest_request_s": 2.0,
    "worker_lease_s": 4.0,
    "worker_rest_interval_s": 1.0,
}
SETTINGS = Path(__file__).parent / "swan-coast" / "settings"


class ClusterError(Exception):
    """A process of the stage did not do what was expected."""


def find_free_ports(count: int, host: str = HOST) -> list[int]:
    """Return ports of a loopback address that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class LocalCluster:
    """A site of stand-ins and some daemons.

    Parameters
    ----------
    folder : Path
        Empty folder for settings and logs.
    daemons : int
        How many daemons to start.
    speed : float
        Speed of the workers' work.
    """

    def __init__(self, folder: Path, daemons: int, speed: float = 60.0) -> None:
        self.folder = folder
        self.settings_folder = folder / "settings"
        self.count = daemons
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
        """Write the example's settings with free ports, and a kiosk service."""
        merged: dict = {}
        for _, document in read_documents(SETTINGS):
            merged = merge(merged, document)
        merged["teams"] |= {"catalogue": {"cores": 20}, "watchers": {"cores": 4}}
        merged["limits"] = LIMITS
        kiosk = json.loads(json.dumps(merged["services"]["dispatch"]))
        kiosk["reserved_cores"] = 1
        kiosk["servers"] = {"k01": dict(kiosk["servers"]["s01"])}
        merged["services"]["kiosk"] = kiosk
        servers = [
            s for v in merged["services"].values() for s in v["servers"].values()
        ]
        hosts = [*merged["workers"].values(), *servers]
        self.store_port, self.vm_port, *ports = find_free_ports(
            2 + len(hosts) + 3 * self.count
        )
        for host in hosts:
            host["port"] = ports.pop()
        self.site = merged
        self.settings_folder.mkdir()
        (self.settings_folder / "00-site.yaml").write_text(yaml.safe_dump(merged))
        centres = list(merged["data_centres"])
        for index in range(self.count):
            name = f"d{index + 1}"
            self._write_daemon(name, centres[index % len(centres)], ports)

    def _write_daemon(self, name: str, centre: str, ports: list[int]) -> None:
        self.ports[name] = {
            "callers": ports.pop(),
            "operators": ports.pop(),
            "peers": ports.pop(),
        }
        document = {
            "daemon": name,
            "data_centre": centre,
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
        life = ["--life-s", str(LIFE_S)]
        self._start("store", "standins", ["store", str(self.store_port), *life])
        self._start(
            "machines",
            "standins",
            [
                "machines",
                str(self.settings_folder),
                str(self.vm_port),
                "--speed",
                str(self.speed),
                *life,
            ],
        )
        self._poll(lambda: self.post_json(self.store_port, "admin", {}), "store")
        self._poll(lambda: self.get_json(self.vm_port, ""), "machines")

    def start_daemon(self, name: str) -> None:
        """Start one daemon, also again after it ended."""
        settings = str(self.folder / f"{name}.yaml")
        self._start(name, "dogwoodlever.daemon", ["--settings", settings])

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            start_new_session=True,
        )

    def _poll(self, probe, what: str, timeout_s: float = READY_TIMEOUT_S):
        until_s = time.monotonic() + timeout_s
        while True:
            try:
                found = probe()
            except (OSError, ClusterError):
                found = None
            if found is not None and found is not False:
                return found
            if time.monotonic() > until_s:
                raise ClusterError(f"{what}: not seen within {timeout_s:g} s")
            time.sleep(0.1)

    def wait_until(self, probe, what: str, timeout_s: float = READY_TIMEOUT_S):
        """Wait until `probe` returns something true."""
        return self._poll(lambda: probe() or None, what, timeout_s)

    def wait_until_healthy(self, names: list[str]) -> None:
        """Wait until daemons accept callers."""
        for name in names:
            port = self.ports[name]["callers"]
            self._poll(lambda port=port: self._healthy(port), f"health of {name}")

    def _healthy(self, port: int) -> bool | None:
        with urllib.request.urlopen(f"http://{HOST}:{port}/health", timeout=2):
            return True

    def get_json(self, port: int, path: str):
        """Return the JSON document at a stand-in's path."""
        with urllib.request.urlopen(f"http://{HOST}:{port}/{path}", timeout=5) as got:
            return json.load(got)

    def post_json(self, port: int, path: str, document):
        """Post a JSON document to a stand-in; return its answer."""
        request = urllib.request.Request(
            f"http://{HOST}:{port}/{path}", json.dumps(document).encode()
        )
        with urllib.request.urlopen(request, timeout=5) as got:
            return json.load(got)

    def operation_url(self, daemon: str, service: str, operation: str) -> str:
        """Return the URL of an operation at a daemon's callers' port."""
        return f"http://{HOST}:{self.ports[daemon]['callers']}/{service}/{operation}"

    def run_cli(self, *arguments: str, daemon: str = "d1", status: int = 0) -> str:
        """Run the command line; return what it prints on standard output.

        Raises
        ------
        ClusterError
            If it ends with another status than `status`.
        """
        environment = os.environ | {
            "DOGWOODLEVER_DAEMON": f"{HOST}:{self.ports[daemon]['operators']}",
            "DOGWOODLEVER_KEY": OPERATOR_KEY,
        }
        ran = subprocess.run(
            [sys.executable, "-m", "dogwoodlever.cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if ran.returncode != status:
            raise ClusterError(
                f"{' '.join(arguments)}: status {ran.returncode}\n"
                f"{ran.stdout}{ran.stderr}"
            )
        return ran.stdout + (ran.stderr if status else "")

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this stage started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self._logs:
            log.close()
