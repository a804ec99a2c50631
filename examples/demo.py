"""The whole path as separate processes: ``python -m examples.demo``.

Starts the stand-ins and seven daemons, runs the three kinds of work while a
data centre leaves and returns, a worker dies and a daemon is killed, and
prints each step with its answer. Ends with a status other than 0 if a step
fails.
"""

import json
import signal
import sys
import tempfile
import time
from pathlib import Path

import yaml

from examples.local_cluster import ClusterError, LocalCluster

DAEMONS = 7
CATALOGUE = {
    "job": "catalogue",
    "team": "catalogue",
    "class": "catalogue",
    "tasks": 30,
    "cores": 2,
    "memory_bytes": 1_000_000_000,
    "run_s": 240,
}
WATCHER = {
    "job": "watcher",
    "team": "watchers",
    "class": "watcher",
    "tasks": 1,
    "cores": 0.5,
    "memory_bytes": 100_000_000,
    "run_s": 100_000,
    "standing": True,
    "urgent": True,
}


class Demo:
    """The steps, in order.

    Parameters
    ----------
    cluster : LocalCluster
        Running processes.
    """

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._started_s = time.monotonic()

    def _say(self, what: str, answer: str = "") -> None:
        print(f"\n[{time.monotonic() - self._started_s:5.1f} s] {what}")
        for line in answer.rstrip().splitlines():
            print(f"    {line}")
        sys.stdout.flush()

    def run(self) -> None:
        """Run all steps."""
        self._configure()
        self._submit()
        booked = self._requests()
        self._data_centre_leaves_and_returns()
        self._worker_dies()
        self._daemon_is_killed()
        self._catalogue_finishes()
        self._reports(booked)
        self._daemon_stops()

    def _configure(self) -> None:
        cluster = self._cluster
        folder = str(cluster.settings_folder)
        self._say("check the settings", cluster.run_cli("check", folder))
        cluster.wait_until(
            lambda: self._status("d1")["state"] == "serving", "d1 joined"
        )
        self._say("apply them", cluster.run_cli("apply", folder))
        cluster.wait_until_healthy(sorted(cluster.ports))
        cluster.wait_until(self._all_slots_held, "all slots held")
        self._say(f"{DAEMONS} daemons serve", cluster.run_cli("status"))

    def _status(self, daemon: str) -> dict:
        return json.loads(self._cluster.run_cli("status", "--json", daemon=daemon))

    def _all_slots_held(self) -> bool:
        held = sum(
            self._status(name)["services"]["dispatch"]["slots_held"]
            for name in self._cluster.ports
        )
        return held == 24 * 8

    def _submit(self) -> None:
        for job in (WATCHER, CATALOGUE):
            file = self._cluster.folder / f"{job['job']}.job.yaml"
            file.write_text(yaml.safe_dump(job))
            self._say(
                f"submit {job['job']}", self._cluster.run_cli("submit", str(file))
            )
        again = self._cluster.folder / "catalogue.job.yaml"
        answer = self._cluster.run_cli("submit", str(again), daemon="d2")
        self._say("submit it again through another daemon", answer)

    def _requests(self) -> str:
        cluster = self._cluster
        entry = next(
            name
            for name in cluster.ports
            if not self._status(name)["services"]["kiosk"]["slots_held"]
        )
        url = cluster.operation_url(entry, "kiosk", "book")
        answer = cluster.run_cli(
            "request", url, "fare-17", "--idempotency-key", "fare-17"
        )
        self._say(f"book through {entry}, which holds none of its slots", answer)
        booked = next(
            line.split(": ")[1]
            for line in answer.splitlines()
            if line.startswith("Dogwoodlever-Request")
        )
        other = next(name for name in cluster.ports if name != entry)
        repeated = cluster.run_cli(
            "request",
            cluster.operation_url(other, "kiosk", "book"),
            "fare-17",
            "--idempotency-key",
            "fare-17",
            status=1,
        )
        self._say(f"the same booking again through {other} is not run", repeated)
        quote = cluster.run_cli(
            "request", cluster.operation_url(entry, "dispatch", "quote"), "quote-1"
        )
        self._say(f"a quote through {entry}", quote)
        return booked

    def _running_on(self, centre: str) -> list[str]:
        workers = self._cluster.site["workers"]
        running = []
        for worker in workers.values():
            if worker["data_centre"] == centre:
                records = self._cluster.get_json(worker["port"], "records")
                running += [r["task"] for r in records if r["ended_s"] is None]
        return running

    def _data_centre_leaves_and_returns(self) -> None:
        cluster = self._cluster
        cluster.wait_until(self._tasks_run, "tasks run")
        centre = self._centre_with_work()
        answer = cluster.run_cli("data-centre", "out", centre)
        self._say(f"take {centre} out", answer)
        cluster.wait_until(
            lambda: not self._running_on(centre), f"{centre} is empty", 10.0
        )
        self._say(f"nothing runs in {centre}", cluster.run_cli("data-centre", "list"))
        answer = cluster.run_cli("data-centre", "in", centre, daemon="d3")
        self._say(f"bring {centre} back", answer)

    def _tasks_run(self) -> bool:
        return any(self._running_on(c) for c in self._cluster.site["data_centres"])

    def _centre_with_work(self) -> str:
        centres = self._cluster.site["data_centres"]
        return max(centres, key=lambda c: len(self._running_on(c)))

    def _worker_dies(self) -> None:
        cluster = self._cluster
        task = cluster.wait_until(self._watcher_place, "watcher runs")
        worker = cluster.site["workers"][task["worker"]]
        cluster.post_json(worker["port"], "admin", {"off": True})
        cluster.post_json(cluster.vm_port, "admin", {task["worker"]: "gone"})
        self._say(f"power off {task['worker']}, which runs the watcher")

        def moved() -> bool:
            now = self._watcher_place()
            return bool(now) and now["attempt"] > task["attempt"]

        cluster.wait_until(moved, "watcher started again", 20.0)
        self._say("the watcher was started again", cluster.run_cli("why", "watcher/0"))

    def _watcher_place(self) -> dict | None:
        found = json.loads(self._cluster.run_cli("why", "watcher/0", "--json"))
        return found if found["state"] == "running" else None

    def _daemon_is_killed(self) -> None:
        cluster = self._cluster
        cluster.kill("d2")
        answers = [
            cluster.run_cli(
                "request", cluster.operation_url(name, "dispatch", "quote"), "quote-2"
            )
            for name in ("d1", "d3", "d7")
        ]
        self._say("kill d2; the others answer", "".join(answers))
        cluster.start_daemon("d2")

    def _catalogue_finishes(self) -> None:
        def finished() -> bool:
            rows = json.loads(self._cluster.run_cli("jobs", "catalogue", "--json"))
            return rows[0]["states"].get("finished") == CATALOGUE["tasks"]

        self._cluster.wait_until(finished, "catalogue finished", 30.0)
        answer = self._cluster.run_cli("jobs", "catalogue")
        self._say("the catalogue has finished", answer)
        evicted = self._check_catalogue()
        self._say(
            f"{evicted} of its tasks were evicted once; each resumed once from its "
            "checkpoint and finished once"
        )

    def _check_catalogue(self) -> int:
        """Check from the workers' records that nothing was lost or doubled."""
        runs: dict[str, list[dict]] = {}
        for worker in self._cluster.site["workers"].values():
            for record in self._cluster.get_json(worker["port"], "records"):
                if record["task"].startswith("catalogue/"):
                    runs.setdefault(record["task"], []).append(record)
        evicted = 0
        for task, records in runs.items():
            records.sort(key=lambda r: r["started_s"])
            finished = [r for r in records if r["outcome"] == "finished"]
            if len(finished) != 1 or len(runs) != CATALOGUE["tasks"]:
                raise ClusterError(f"{task}: finished {len(finished)} times")
            evicted += len(records) > 1
            for before, after in zip(records, records[1:], strict=False):
                if before["ended_s"] > after["started_s"]:
                    raise ClusterError(f"{task}: ran in two places at once")
                if before["outcome"] == "stopped" and (
                    before["to_s"] != after["from_s"]
                ):
                    raise ClusterError(f"{task}: did not resume from its checkpoint")
        if not evicted:
            raise ClusterError("no task of the catalogue was evicted")
        return evicted

    def _reports(self, booked: str) -> None:
        cluster = self._cluster
        self._say("why the booking ran as it did", cluster.run_cli("why", booked))
        page = cluster.folder / "burn.html"
        burn = cluster.run_cli("report", "burn", "--page", str(page))
        self._say(f"service-level burn (page: {page.stat().st_size} bytes)", burn)
        overloads = sum(
            cluster.get_json(server["port"], "records")["overloads"]
            for service in cluster.site["services"].values()
            for server in service["servers"].values()
        )
        if overloads:
            raise ClusterError(f"{overloads} requests over a backend server's slots")

    def _daemon_stops(self) -> None:
        cluster = self._cluster
        cluster.send_signal("d4", signal.SIGTERM)
        status = cluster.processes["d4"].wait(timeout=20)
        if status:
            raise ClusterError(f"d4 ended with status {status}")
        self._say("d4 was asked to stop and has left", cluster.run_cli("status"))


def main() -> int:
    """Run the demo; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            with LocalCluster(Path(folder), DAEMONS) as cluster:
                Demo(cluster).run()
        except ClusterError as error:
            print(f"demo failed: {error}", file=sys.stderr)
            return 1
    print("\ndemo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
