"""Real daemons over loopback: processor time and memory, at rest and loaded.

Three daemons over 24 workers and 25 backend servers, all on one machine that
also runs the stand-ins and the caller, so latencies say nothing here.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from examples.local_cluster import LocalCluster

DAEMONS = 3
REST_S = 8.0
RATE_PER_S = 150.0
LOAD_S = 8.0


def _core_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


class ProcessCost:
    """Processor time of the daemons between two looks."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._pids = {name: cluster.processes[name].pid for name in cluster.ports}
        self.reset()

    def reset(self) -> None:
        """Start counting anew."""
        self._since_s = time.monotonic()
        self._spent = {name: _core_s(pid) for name, pid in self._pids.items()}

    def core_parts(self) -> dict[str, float]:
        """Return the part of a core that each daemon used since the reset."""
        elapsed_s = time.monotonic() - self._since_s
        return {
            name: (_core_s(pid) - self._spent[name]) / elapsed_s
            for name, pid in self._pids.items()
        }

    def memory_bytes_max(self) -> int:
        """Return the largest resident memory of a daemon."""
        return max(_memory_bytes(pid) for pid in self._pids.values())


def _load(cluster: LocalCluster) -> dict:
    urls = [cluster.operation_url(name, "dispatch", "quote") for name in cluster.ports]
    urls += [cluster.operation_url(name, "dispatch", "book") for name in cluster.ports]
    ran = subprocess.run(
        [
            sys.executable,
            "-m",
            "standins",
            "caller",
            *urls,
            "--rate-per-s",
            str(RATE_PER_S),
            "--duration-s",
            str(LOAD_S),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(ran.stdout)


def main() -> None:
    """Print the figures."""
    with (
        tempfile.TemporaryDirectory() as name,
        LocalCluster(Path(name), DAEMONS) as cluster,
    ):
        cluster.wait_until(lambda: _serves(cluster), "d1 joined")
        cluster.run_cli("apply", str(cluster.settings_folder))
        cluster.wait_until_healthy(sorted(cluster.ports))
        time.sleep(2.0)
        _measure(cluster)


def _serves(cluster: LocalCluster) -> bool:
    return json.loads(cluster.run_cli("status", "--json"))["state"] == "serving"


def _measure(cluster: LocalCluster) -> None:
    cost = ProcessCost(cluster)
    time.sleep(REST_S)
    parts = cost.core_parts()
    print(f"processes.rest.core_part_owner: {max(parts.values()):.4f}")
    print(f"processes.rest.core_part_other: {min(parts.values()):.4f}")
    print(f"processes.rest.memory_bytes: {cost.memory_bytes_max()}")
    cost.reset()
    counts = _load(cluster)
    spent = sum(cost.core_parts().values()) - sum(parts.values())
    total = sum(counts[name] for name in counts if name != "elapsed_s")
    answered_part = counts.get("answered", 0) / total
    per_s = total / counts["elapsed_s"]
    print(f"processes.load.requests_per_s: {per_s:.0f}")
    print(f"processes.load.answered_part: {answered_part:.4f}")
    print(f"processes.load.core_us_per_request: {spent / per_s * 1e6:.0f}")
    print(f"processes.load.memory_bytes: {cost.memory_bytes_max()}")


if __name__ == "__main__":
    main()
