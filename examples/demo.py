"""End-to-end demo with separate processes: ``python -m examples.demo``.

Starts the stand-ins and seven daemons and runs latency-critical, batch and
standing work. Meanwhile a data centre is taken out and brought back, a worker
loses power and a daemon is killed. Prints the output of each step; the exit
status is not 0 if a step fails.
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
CATALOGUE_JOB = {
    "job": "catalogue",
    "team": "catalogue",
    "class": "catalogue",
    "tasks": 30,
    "cores": 2,
    "memory_bytes": 1_000_000_000,
    "run_s": 240,
}
WATCHER_JOB = {
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


def finished_once(records: list[dict]) -> bool:
    """Return whether a task finished once as far as the scheduler can know.

    A task whose end was lost with its worker may have run again.
    """
    finished = [record for record in records if record["outcome"] == "finished"]
    known = [record for record in finished if not record["end_lost"]]
    return len(known) == 1 or (not known and len(finished) == 1)


class Demo:
    """The steps of the demo.

    Parameters
    ----------
    cluster : LocalCluster
        Cluster whose processes are running.
    """

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._started_s = time.monotonic()

    def _print_step(self, title: str, output: str = "") -> None:
        print(f"\n[{time.monotonic() - self._started_s:5.1f} s] {title}")
        for line in output.rstrip().splitlines():
            print(f"    {line}")
        sys.stdout.flush()

    def run(self) -> None:
        """Run all steps in order."""
        self._configure()
        self._submit_jobs()
        booking_id = self._send_requests()
        self._drain_and_restore_data_centre()
        self._power_off_worker()
        self._kill_daemon()
        self._wait_for_catalogue()
        self._print_reports(booking_id)
        self._stop_daemon()

    def _configure(self) -> None:
        cluster = self._cluster
        folder = str(cluster.settings_folder)
        self._print_step("Check the settings", cluster.run_cli("check", folder))
        cluster.wait_until(
            lambda: self._status("d1")["state"] == "serving", "d1 joined"
        )
        self._print_step("Apply the settings", cluster.run_cli("apply", folder))
        cluster.wait_until_healthy(sorted(cluster.ports))
        cluster.wait_until(self._all_slots_held, "all slots held")
        self._print_step(
            f"All {DAEMONS} daemons serve requests", cluster.run_cli("status")
        )

    def _status(self, daemon: str) -> dict:
        return json.loads(self._cluster.run_cli("status", "--json", daemon=daemon))

    def _all_slots_held(self) -> bool:
        held = sum(
            self._status(name)["services"]["dispatch"]["slots_held"]
            for name in self._cluster.ports
        )
        return held == 24 * 8

    def _submit_jobs(self) -> None:
        for job in (WATCHER_JOB, CATALOGUE_JOB):
            file = self._cluster.folder / f"{job['job']}.job.yaml"
            file.write_text(yaml.safe_dump(job))
            self._print_step(
                f"Submit the job {job['job']}",
                self._cluster.run_cli("submit", str(file)),
            )
        file = self._cluster.folder / "catalogue.job.yaml"
        output = self._cluster.run_cli("submit", str(file), daemon="d2")
        self._print_step(
            "Submit the job catalogue again through another daemon", output
        )

    def _send_requests(self) -> str:
        cluster = self._cluster
        daemon = next(
            name
            for name in cluster.ports
            if not self._status(name)["services"]["kiosk"]["slots_held"]
        )
        url = cluster.operation_url(daemon, "kiosk", "book")
        output = cluster.run_cli(
            "request", url, "fare-17", "--idempotency-key", "fare-17"
        )
        self._print_step(
            f"Send a booking through {daemon}, which holds no slots of the service",
            output,
        )
        booking_id = next(
            line.split(": ")[1]
            for line in output.splitlines()
            if line.startswith("Dogwoodlever-Request")
        )
        other_daemon = next(name for name in cluster.ports if name != daemon)
        repeated = cluster.run_cli(
            "request",
            cluster.operation_url(other_daemon, "kiosk", "book"),
            "fare-17",
            "--idempotency-key",
            "fare-17",
            status=1,
        )
        self._print_step(
            f"Repeat the booking through {other_daemon}: it is not run again", repeated
        )
        quote = cluster.run_cli(
            "request", cluster.operation_url(daemon, "dispatch", "quote"), "quote-1"
        )
        self._print_step(f"Request a quote through {daemon}", quote)
        return booking_id

    def _running_on(self, centre: str) -> list[str]:
        workers = self._cluster.site["workers"]
        running = []
        for worker in workers.values():
            if worker["data_centre"] == centre:
                records = self._cluster.get_json(worker["port"], "records")
                running += [r["task"] for r in records if r["ended_s"] is None]
        return running

    def _drain_and_restore_data_centre(self) -> None:
        cluster = self._cluster
        cluster.wait_until(self._any_task_runs, "tasks run")
        centre = self._busiest_data_centre()
        output = cluster.run_cli("data-centre", "out", centre)
        self._print_step(f"Take the data centre {centre} out of service", output)
        cluster.wait_until(
            lambda: not self._running_on(centre), f"no task runs in {centre}", 10.0
        )
        self._print_step(
            f"No task runs in {centre}", cluster.run_cli("data-centre", "list")
        )
        output = cluster.run_cli("data-centre", "in", centre, daemon="d3")
        self._print_step(f"Bring the data centre {centre} back", output)

    def _any_task_runs(self) -> bool:
        return any(self._running_on(c) for c in self._cluster.site["data_centres"])

    def _busiest_data_centre(self) -> str:
        centres = self._cluster.site["data_centres"]
        return max(centres, key=lambda c: len(self._running_on(c)))

    def _power_off_worker(self) -> None:
        cluster = self._cluster
        task = cluster.wait_until(self._running_watcher, "watcher runs")
        worker = cluster.site["workers"][task["worker"]]
        cluster.post_json(worker["port"], "admin", {"off": True})
        cluster.post_json(cluster.vm_port, "admin", {task["worker"]: "gone"})
        self._print_step(f"Power off {task['worker']}, which runs the watcher")

        def has_restarted() -> bool:
            current = self._running_watcher()
            return bool(current) and current["attempt"] > task["attempt"]

        cluster.wait_until(has_restarted, "watcher restarted", 20.0)
        self._print_step(
            "The watcher has been restarted", cluster.run_cli("why", "watcher/0")
        )

    def _running_watcher(self) -> dict | None:
        report = json.loads(self._cluster.run_cli("why", "watcher/0", "--json"))
        return report if report["state"] == "running" else None

    def _kill_daemon(self) -> None:
        cluster = self._cluster
        cluster.kill("d2")
        outputs = [
            cluster.run_cli(
                "request", cluster.operation_url(name, "dispatch", "quote"), "quote-2"
            )
            for name in ("d1", "d3", "d7")
        ]
        self._print_step("Kill d2: the other daemons answer requests", "".join(outputs))
        cluster.start_daemon("d2")

    def _wait_for_catalogue(self) -> None:
        def has_finished() -> bool:
            rows = json.loads(self._cluster.run_cli("jobs", "catalogue", "--json"))
            return rows[0]["states"].get("finished") == CATALOGUE_JOB["tasks"]

        self._cluster.wait_until(has_finished, "catalogue finished", 30.0)
        output = self._cluster.run_cli("jobs", "catalogue")
        self._print_step("The job catalogue has finished", output)
        restarted = self._check_catalogue_runs()
        self._print_step(
            f"{restarted} tasks needed more than one attempt; evicted tasks resumed "
            "from their checkpoints, and each task finished exactly once"
        )

    def _check_catalogue_runs(self) -> int:
        """Check the workers' records of the job catalogue.

        Each task must have finished exactly once, apart from ends that were lost
        with their worker, never have run on two workers at the same time, and have
        resumed from its checkpoint after an eviction.
        Returns the number of tasks with more than one attempt, at least one.
        """
        runs: dict[str, list[dict]] = {}
        for worker in self._cluster.site["workers"].values():
            for record in self._cluster.get_json(worker["port"], "records"):
                if record["task"].startswith("catalogue/"):
                    runs.setdefault(record["task"], []).append(record)
        if len(runs) != CATALOGUE_JOB["tasks"]:
            raise ClusterError(f"{len(runs)} tasks of the job catalogue ran")
        restarted = 0
        for task, records in runs.items():
            records.sort(key=lambda r: r["started_s"])
            if not finished_once(records):
                raise ClusterError(f"{task}: did not finish exactly once")
            restarted += len(records) > 1
            for previous, following in zip(records, records[1:], strict=False):
                if previous["ended_s"] > following["started_s"]:
                    raise ClusterError(f"{task}: ran on two workers at the same time")
                if previous["outcome"] == "stopped" and (
                    previous["to_s"] != following["from_s"]
                ):
                    raise ClusterError(f"{task}: did not resume from its checkpoint")
        if not restarted:
            raise ClusterError("no task of the job catalogue was started again")
        return restarted

    def _print_reports(self, booking_id: str) -> None:
        cluster = self._cluster
        self._print_step(
            "Explain the outcome of the booking", cluster.run_cli("why", booking_id)
        )
        page = cluster.folder / "burn.html"
        burn = cluster.run_cli("report", "burn", "--page", str(page))
        self._print_step(
            f"Report the error budget burn (page: {page.stat().st_size} bytes)", burn
        )
        overloads = sum(
            cluster.get_json(server["port"], "records")["overloads"]
            for service in cluster.site["services"].values()
            for server in service["servers"].values()
        )
        if overloads:
            raise ClusterError(
                f"{overloads} requests exceeded a backend server's slots"
            )

    def _stop_daemon(self) -> None:
        cluster = self._cluster
        cluster.send_signal("d4", signal.SIGTERM)
        status = cluster.processes["d4"].wait(timeout=20)
        if status:
            raise ClusterError(f"d4 exited with status {status}")
        self._print_step(
            "Stop d4: it has left the membership", cluster.run_cli("status")
        )


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
