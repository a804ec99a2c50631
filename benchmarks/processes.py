"""Processor time and memory of real daemon processes, idle and under load.

Three daemons serve 24 workers and 25 backend servers over loopback. The
stand-ins and the caller run on the same machine, so latencies are not measured.
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
IDLE_S = 8.0
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
    """Processor time and memory of the daemons since the last reset."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._pids = {name: cluster.processes[name].pid for name in cluster.ports}
        self.reset()

    def reset(self) -> None:
        """Start a new measurement interval."""
        self._reset_at_s = time.monotonic()
        self._core_s_at_reset = {name: _core_s(pid) for name, pid in self._pids.items()}

    def core_fractions(self) -> dict[str, float]:
        """Return the fraction of a core that each daemon used since the reset."""
        elapsed_s = time.monotonic() - self._reset_at_s
        return {
            name: (_core_s(pid) - self._core_s_at_reset[name]) / elapsed_s
            for name, pid in self._pids.items()
        }

    def memory_bytes_max(self) -> int:
        """Return the largest resident memory of a daemon."""
        return max(_memory_bytes(pid) for pid in self._pids.values())


def _run_load(cluster: LocalCluster) -> dict:
    urls = [cluster.operation_url(name, "dispatch", "quote") for name in cluster.ports]
    urls += [cluster.operation_url(name, "dispatch", "book") for name in cluster.ports]
    completed = subprocess.run(
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
    return json.loads(completed.stdout)


def main() -> None:
    """Start the daemons and print their idle and loaded cost."""
    with (
        tempfile.TemporaryDirectory() as name,
        LocalCluster(Path(name), DAEMONS) as cluster,
    ):
        cluster.wait_until(lambda: _is_serving(cluster), "d1 joined")
        cluster.run_cli("apply", str(cluster.settings_folder))
        cluster.wait_until_healthy(sorted(cluster.ports))
        time.sleep(2.0)
        _measure(cluster)


def _is_serving(cluster: LocalCluster) -> bool:
    return json.loads(cluster.run_cli("status", "--json"))["state"] == "serving"


def _measure(cluster: LocalCluster) -> None:
    cost = ProcessCost(cluster)
    time.sleep(IDLE_S)
    idle_fractions = cost.core_fractions()
    print(f"processes.rest.core_part_owner: {max(idle_fractions.values()):.4f}")
    print(f"processes.rest.core_part_other: {min(idle_fractions.values()):.4f}")
    print(f"processes.rest.memory_bytes: {cost.memory_bytes_max()}")
    cost.reset()
    counts = _run_load(cluster)
    load_cores = sum(cost.core_fractions().values()) - sum(idle_fractions.values())
    total = sum(counts[name] for name in counts if name != "elapsed_s")
    answered_part = counts.get("answered", 0) / total
    per_s = total / counts["elapsed_s"]
    print(f"processes.load.requests_per_s: {per_s:.0f}")
    print(f"processes.load.answered_part: {answered_part:.4f}")
    print(f"processes.load.core_us_per_request: {load_cores / per_s * 1e6:.0f}")
    print(f"processes.load.memory_bytes: {cost.memory_bytes_max()}")


if __name__ == "__main__":
    main()
