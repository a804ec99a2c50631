"""Metrics and log events of workspaces: usage, caps, shares and waits."""

from collections.abc import Iterable

from dogwoodlever._fleet_metrics import FleetMetrics
from dogwoodlever._fleet_types import FleetConfiguration, ResourceAmounts, Step
from dogwoodlever._logs import log_event
from dogwoodlever._worker_capacity import WorkerCapacity
from dogwoodlever._workspace_shares import dominant_share, totals_by_service
from dogwoodlever._workspace_usage import WorkspaceUsage, gang_size

# Interval of the gauges, and of the log events of one workspace that waits.
UPDATE_INTERVAL_S = 1.0


class WorkspaceReport:
    """Reports on workspaces while a daemon leads.

    Parameters
    ----------
    metrics : FleetMetrics
        Gauges to set.
    usage : WorkspaceUsage
        What each workspace uses.
    """

    __slots__ = (
        "_gauges",
        "_metrics",
        "_names",
        "_updated_s",
        "_usage",
        "_wait_logged_s",
    )

    def __init__(self, metrics: FleetMetrics, usage: WorkspaceUsage) -> None:
        self._metrics = metrics
        self._usage = usage
        self._updated_s = float("-inf")
        self._names: set[str] = set()
        self._wait_logged_s: dict[str, float] = {}
        self._gauges = (
            metrics.workspace_cores,
            metrics.workspace_cap_cores,
            metrics.workspace_share,
            metrics.workspace_weight_ratio,
        )

    def update(
        self,
        configuration: FleetConfiguration | None,
        capacities: Iterable[WorkerCapacity],
        now_s: float,
    ) -> None:
        """Set the gauges of all workspaces, at most once in `UPDATE_INTERVAL_S`."""
        if configuration is None or now_s - self._updated_s < UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        self._drop(self._names - set(configuration.workspaces))
        if not configuration.workspaces:
            return
        totals = totals_by_service(capacity.entry for capacity in capacities)
        weights = sum(found.weight for found in configuration.workspaces.values())
        for name, workspace in configuration.workspaces.items():
            self._names.add(name)
            cores = self._usage.used(name).cores_milli / 1000
            shares = [
                dominant_share(self._usage.used_of_service(name, service), total)
                for service, total in totals.items()
            ]
            ratio = workspace.weight / weights if weights else 0.0
            self._metrics.workspace_cores.labels(name).set(cores)
            self._metrics.workspace_cap_cores.labels(name).set(
                workspace.cap.cores_milli / 1000
            )
            self._metrics.workspace_share.labels(name).set(max(shares, default=0.0))
            self._metrics.workspace_weight_ratio.labels(name).set(ratio)

    def log_waits(self, now_s: float) -> None:
        """Log the waits that the last planning round has recorded."""
        waiting, oversized = self._usage.pop_waits()
        for step in oversized:
            workspace = step.job.job.workspace
            log_event(
                "workspace.task-over-cap",
                workspace=workspace,
                job=step.job.job.job_id,
                step=step.number,
                tasks=gang_size(step),
                task=_format(step.spec),
                cap=_format(self._usage.cap(workspace)),
            )
        for step in waiting:
            workspace = step.job.job.workspace
            logged_s = self._wait_logged_s.get(workspace, float("-inf"))
            if now_s - logged_s < UPDATE_INTERVAL_S:
                continue
            self._wait_logged_s[workspace] = now_s
            log_event(
                "workspace.waits-at-cap",
                workspace=workspace,
                job=step.job.job.job_id,
                step=step.number,
                used=_format(self._usage.used(workspace)),
                cap=_format(self._usage.cap(workspace)),
                unpolled=_format(self._usage.unpolled),
            )

    def close(self) -> None:
        """Remove the gauges, as another daemon leads."""
        self._drop(set(self._names))

    def _drop(self, names: set[str]) -> None:
        for name in names:
            for gauge in self._gauges:
                gauge.remove(name)
        self._names -= names


def _format(amounts: ResourceAmounts | Step | None) -> str:
    if amounts is None:
        return "none"
    return f"{amounts.cores_milli}m/{amounts.memory_mb}MB/{amounts.accelerators}"
