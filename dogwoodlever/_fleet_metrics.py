"""Prometheus metrics of one daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest
from twisted.web.resource import Resource

PREFIX = "dogwoodlever"
# From a response on an open connection to that of a store sixty times slower.
CALL_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
# From a task that starts immediately to one beyond its job's objective.
WAIT_BUCKETS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
# From the resolution of a timer to a pause in which all leases expire.
LATENESS_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# From a store that has just responded to a watch that was given up and repeated; the
# platform expects a version to be in force after 2 s.
LAG_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0)
# From a late timer of a worker to a lease of another length.
OVERRUN_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)

# Why an end is not acknowledged; `AcknowledgementBacklog` tells them apart.
END_WAIT_CAUSES = ("unstored", "store-away", "held", "unsent")


class FleetMetrics:
    """Metrics of one daemon process; those of the leader stay 0 on other daemons."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        # Decisions come first, since collectors may keep only the start of a response.
        self.leads = Gauge(
            "leads",
            "Whether this daemon leads",
            namespace=PREFIX,
            registry=self.registry,
        )
        self.dropped_runs = self._counter(
            "dropped_runs", "Runs dropped without a listed end", "evidence"
        )
        self.counted_starts = self._counter(
            "counted_starts",
            "Runs that count on since their start may be carried out late",
            "after",
        )
        self.run_ends = self._counter("run_ends", "Runs that ended", "how")
        self.worker_events = self._counter(
            "worker_events", "Events of workers", "event"
        )
        self.oldest_unacknowledged_end_s = self._gauge(
            "oldest_unacknowledged_end_seconds",
            "How long ago the oldest end that is not acknowledged was listed",
            "cause",
        )
        self.unacknowledged_ends = self._gauge(
            "unacknowledged_ends", "Listed ends that are not acknowledged", "cause"
        )
        for cause in END_WAIT_CAUSES:
            self.oldest_unacknowledged_end_s.labels(cause)
            self.unacknowledged_ends.labels(cause)
        self.oldest_unstored_progress_s = self._gauge(
            "oldest_unstored_progress_seconds",
            "Age of the oldest change of a job that is not stored",
        )
        self.progress_write_failures = self._counter(
            "progress_write_failures", "Failed writes of progress", "cause"
        )
        self.progress_batch_repeats = self._gauge(
            "progress_batch_repeats",
            "Failed writes of progress in a row that began with the same job",
        )
        self.unstorable_jobs = self._gauge(
            "unstorable_jobs", "Jobs whose progress cannot be stored by itself"
        )
        self.starts = self._counter("starts", "Orders to start, by answer", "answer")
        self.run_moves = self._counter("run_moves", "Runs stopped to go on", "why")
        self.throttle_orders = self._counter("paces", "Orders of a pace")
        self.suspect_events = self._counter(
            "suspect_events", "Events of tasks that may crash workers", "event"
        )
        self.caller_calls = self._counter(
            "caller_calls", "Callers' calls", "call", "outcome"
        )
        self.pending_counts = self._counter(
            "pending_counts", "Answers to counts of pending jobs", "source"
        )
        self.jobs_awaiting_version = Gauge(
            "jobs_awaiting_version",
            "Accepted jobs whose version is not in force at the leader yet",
            namespace=PREFIX,
            registry=self.registry,
        )
        self.port_connections = self._gauge(
            "port_connections", "Open connections of a port", "port"
        )
        self.port_incomplete = self._gauge(
            "port_incomplete_requests", "Requests that have not arrived whole", "port"
        )
        self.port_held_bytes = self._gauge(
            "port_held_bytes", "Memory of a port's requests", "port"
        )
        self.port_refusals = self._counter(
            "port_refusals", "Requests and connections refused", "port", "cause"
        )
        self.jobs_without_room = self._counter(
            "jobs_without_room", "Submissions refused for lack of the leader's memory"
        )
        self.state_bytes = self._gauge(
            "job_state_bytes", "Memory of the leader's jobs, 0 on other daemons"
        )
        self.key_refusals = self._counter(
            "key_refusals", "Calls refused because of their key", "cause"
        )
        self.configuration_version = self._gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self.configuration_since_unix_s = self._gauge(
            "configuration_since_timestamp_seconds",
            "Unix time at which that version came into force",
        )
        self.configuration_age_s = self._gauge(
            "configuration_age_seconds",
            "How long ago that version was certainly the newest one",
        )
        self.configuration_lag_s = self._histogram(
            "configuration_lag_seconds",
            "Longest time from the write of a version until it was in force",
            LAG_BUCKETS_S,
        )
        self.configurations_refused = self._counter(
            "configurations_refused", "Versions not put into force", "cause"
        )
        self.store_calls = self._counter("store_calls", "Calls to the store", "outcome")
        self.store_write_s = self._histogram(
            "store_write_seconds", "Time of a write to the store", CALL_BUCKETS_S
        )
        self.start_s = self._histogram(
            "start_seconds", "From a decision to the worker's answer", CALL_BUCKETS_S
        )
        self.task_wait_s = self._histogram(
            "task_wait_seconds",
            "From a job's arrival to a task's start",
            WAIT_BUCKETS_S,
        )
        self.longest_wait_s = self._gauge(
            "longest_ready_wait_seconds",
            "Longest time without a start of a step whose tasks could start",
        )
        self.loop_lateness_s = self._histogram(
            "loop_lateness_seconds",
            "How late the event loop runs a timer",
            LATENESS_BUCKETS_S,
        )
        self.lease_overrun_s = self._histogram(
            "lease_overrun_seconds",
            "By how much workers ran tasks beyond their leases",
            OVERRUN_BUCKETS_S,
        )
        self.unsettled_workers = self._gauge(
            "unsettled_workers",
            "Workers that may hold a lease by a call for an earlier incarnation",
        )
        self.withheld_workers = self._gauge(
            "withheld_workers",
            "Workers that answer and get no lease before a record of them is stored",
        )
        self.workspace_cores = self._gauge(
            "workspace_cores", "Cores requested by a workspace's runs", "workspace"
        )
        self.workspace_cap_cores = self._gauge(
            "workspace_cap_cores", "Cap of a workspace; 0 for none", "workspace"
        )
        self.workspace_share = self._gauge(
            "workspace_share", "Dominant share of a workspace's runs", "workspace"
        )
        self.workspace_weight_ratio = self._gauge(
            "workspace_weight_ratio",
            "Weight of a workspace, relative to the sum of all",
            "workspace",
        )

    def _counter(self, name: str, documentation: str, *labels: str) -> Counter:
        return Counter(
            name, documentation, labels, namespace=PREFIX, registry=self.registry
        )

    def _gauge(self, name: str, documentation: str, *labels: str) -> Gauge:
        return Gauge(
            name, documentation, labels, namespace=PREFIX, registry=self.registry
        )

    def _histogram(self, name: str, documentation: str, buckets) -> Histogram:
        return Histogram(
            name,
            documentation,
            namespace=PREFIX,
            registry=self.registry,
            buckets=buckets,
        )


class MetricsResource(Resource):
    """Serves the metrics as text at every path.

    Parameters
    ----------
    metrics : FleetMetrics
        Metrics to serve.
    """

    isLeaf = True

    def __init__(self, metrics: FleetMetrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request):  # noqa: N802
        """Return all metrics."""
        request.setHeader("content-type", "text/plain; version=0.0.4")
        return generate_latest(self._metrics.registry)
