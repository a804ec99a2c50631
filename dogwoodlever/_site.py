"""Types of the site settings and the daemon settings."""

from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=0)]
PositiveCount = Annotated[int, Meta(gt=0)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Fraction = Annotated[float, Meta(gt=0, lt=1)]


class SettingsStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of the settings types: frozen, with unknown keys rejected."""


class DataCentre(SettingsStruct):
    """Data centre; no task starts in it while it is out of service."""

    region: str
    out: bool = False


class Limits(SettingsStruct):
    """Intervals, timeouts and limits of all daemons."""

    poll_interval_s: Positive = 0.5
    heartbeat_interval_s: Positive = 0.5
    tenure_term_s: Positive = 3.0
    clock_margin_s: Positive = 0.5
    longest_request_s: Positive = 4.0
    loan_term_s: Positive = 1.0
    worker_sync_interval_s: Positive = 0.5
    worker_rest_interval_s: Positive = 1.5
    worker_lease_s: Positive = 6.0
    unreachable_wait_s: Positive = 60.0
    start_freshness_s: Positive = 2.0
    homes_per_server: PositiveCount = 3
    queue_max: PositiveCount = 2000
    retry_budget_ratio: Positive = 0.1
    attempts_max: PositiveCount = 4
    cells: PositiveCount = 1


class Operation(SettingsStruct):
    """Operation of a service."""

    idempotent: bool


class BackendServer(SettingsStruct):
    """Backend server, with its limits of concurrent requests and connections."""

    worker: str
    host: str
    port: Port
    slots: PositiveCount = 8
    connections: PositiveCount = 64


class Service(SettingsStruct):
    """Latency-critical service and its backend servers."""

    latency_target_s: Positive
    operations: dict[str, Operation]
    servers: dict[str, BackendServer]
    objective: Fraction = 0.99
    timeout_s: Positive = 2.0
    reserved_cores: Positive = 8.0
    reserved_memory_bytes: Count = 16_000_000_000


class Worker(SettingsStruct):
    """Worker, on which tasks and backend servers run."""

    data_centre: str
    rack: str
    host: str
    port: Port
    cores: Positive = 16.0
    memory_bytes: PositiveCount = 62_000_000_000
    accelerators: Count = 0


class Team(SettingsStruct):
    """Quota of a team over the whole site."""

    cores: Positive
    accelerators: Count = 0


class Site(SettingsStruct):
    """Merged settings of a site."""

    site: str
    data_centres: dict[str, DataCentre]
    workers: dict[str, Worker]
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    limits: Limits = Limits()


class DaemonSettings(SettingsStruct):
    """Settings of one daemon, from its own file.

    Attributes
    ----------
    daemon : str
        Name of the daemon, the same after each restart on its VM.
    peer_key, operator_key : str
        Shared keys of the ports for peers and for operators.
    statsd_host : str, default=""
        Destination of metrics; none are sent if empty.
    memory_mb, descriptors_max : float, int
        Memory and open descriptors of the process, from which follows what callers
        may hold.
    """

    daemon: str
    data_centre: str
    host: str
    callers_port: Port
    peers_port: Port
    operators_port: Port
    store_url: str
    vm_list_url: str
    peer_key: Annotated[str, Meta(min_length=8)]
    operator_key: Annotated[str, Meta(min_length=8)]
    statsd_host: str = ""
    statsd_port: Port = 8125
    drain_s: Positive = 1.0
    memory_mb: Positive = 512.0
    descriptors_max: PositiveCount = 4_096
