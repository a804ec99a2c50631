"""Settings file that the platform provides for each process."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from dogwoodlever.settings_errors import Fault, SettingsError

NODE_FILE_VARIABLE = "DOGWOODLEVER_NODE_FILE"


class _Listen(msgspec.Struct, frozen=True):
    front: str
    readiness: str


class _Bounds(msgspec.Struct, frozen=True):
    # Maximum lease of a run on a worker.
    hold_max_ms: int = 10_000
    # Longest time in which a worker ends a run. The default is above that of any site.
    stop_timeout_ms: Annotated[int, msgspec.Meta(ge=0)] = 1_000
    # Time a process has between SIGTERM and SIGKILL.
    grace_s: float = 6
    # Time for which the state of an ended job must remain readable.
    status_s: float = 120
    # Time for which co-located work may keep a standing task above its target.
    harm_ms: int = 4_000
    # Whether a withdrawn key must be refused in time on every VM, and the time.
    strict_revoke: bool = False
    revoke_ms: int = 5_000
    # Time over which the jobs of a workspace count against its rate.
    quota_window_s: float = 5
    # Time in which a version of the configuration has to be in force.
    config_apply_ms: Annotated[int, msgspec.Meta(gt=0)] = 2_000
    # Time in which a listed end has to be acknowledged.
    ack_ms: Annotated[int, msgspec.Meta(gt=0)] = 4_000
    # Time after a failure in which work goes on.
    recovery_s: Annotated[float, msgspec.Meta(gt=0)] = 12


class _Store(msgspec.Struct, frozen=True):
    address: str
    ttl_min_ms: int = 1_000
    # Largest value of a record.
    value_bytes: int = 1_048_576


class _Limits(msgspec.Struct, frozen=True):
    # Fraction of a core that the process may use.
    cpu_share: float = 1.0
    # Speed of that core, relative to a standard core.
    cores: float = 1.0
    # Bandwidth of the VM's own link; 0 if it is not known.
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 512
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = 4_096


class _NodeDocument(msgspec.Struct, frozen=True):
    # Name of the VM; the platform calls VMs nodes.
    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    # Address of the advice service, which issues tickets for workers.
    advice: str = ""


class NodeFile(msgspec.Struct, frozen=True):
    """Validated settings of one process.

    Attributes
    ----------
    vm, data_centre : str
        Name of the VM and its data centre.
    callers, readiness : tuple of str and int
        Addresses to listen on.
    peer_host, peer_port : str, int
        Address on which this process accepts connections of its peers.
    store : str
        Host and port of the platform's store.
    advice : str
        Host and port of the advice service; empty if there is none.
    core_share : float
        CPU share of the process, in standard cores.
    lease_ttl_min_ms : int
        Minimum lease of the store.
    run_lease_max_s : float
        Maximum lease of a run on a worker.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    job_state_kept_s : float
        Time for which the state of an ended job must remain readable.
    harm_s : float
        Time for which co-located work may keep a standing task above its target.
    stop_timeout_s : float
        Longest time in which a worker ends a run.
    key_withdrawal_s : float or None
        Time within which every VM must refuse a withdrawn key; None for no such limit.
    workspace_rate_window_s : float
        Time over which the jobs of a workspace count against its rate.
    record_bytes_max : int
        Largest value of a record in the store.
    recovery_s : float
        Time after a failure in which work goes on.
    link_mbps : float
        Bandwidth of the VM's link, 0 if it is not known.
    configuration_apply_s : float
        Time in which a version of the configuration has to be in force.
    acknowledgement_s : float
        Time in which an end that a worker lists has to be acknowledged.
    memory_mb : float
        Memory of the process, in megabytes.
    descriptors_max : int
        Maximum number of open descriptors of the process.
    """

    vm: str
    data_centre: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    peer_host: str
    peer_port: int
    store: str
    advice: str
    core_share: float
    lease_ttl_min_ms: int
    run_lease_max_s: float
    grace_s: float
    job_state_kept_s: float
    harm_s: float
    stop_timeout_s: float
    key_withdrawal_s: float | None = None
    workspace_rate_window_s: float = 5.0
    record_bytes_max: int = 1_048_576
    recovery_s: float = 12.0
    link_mbps: float = 0.0
    configuration_apply_s: float = 2.0
    acknowledgement_s: float = 4.0
    memory_mb: float = 512.0
    descriptors_max: int = 4_096


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def read_node_file(path: Path) -> Result[NodeFile, SettingsError]:
    """Read and validate the settings file at `path`; unknown fields are ignored."""
    try:
        document = msgspec.convert(
            tomllib.loads(path.read_text()), _NodeDocument, strict=False
        )
        return Success(_to_node_file(document))
    except (OSError, ValueError, RecursionError) as error:
        # msgspec's and tomllib's errors are ValueErrors that name the key, except for
        # values that are nested too deeply.
        return Failure(SettingsError([Fault(str(path), str(error))]))


def _to_node_file(document: _NodeDocument) -> NodeFile:
    bounds = document.bounds
    return NodeFile(
        vm=document.node,
        data_centre=document.zone,
        callers=_parse_address(document.listen.front),
        readiness=_parse_address(document.listen.readiness),
        peer_host=document.ip,
        peer_port=document.port_range[0],
        store=document.platform.address,
        advice=document.advice,
        core_share=document.limits.cpu_share * document.limits.cores,
        lease_ttl_min_ms=document.platform.ttl_min_ms,
        run_lease_max_s=bounds.hold_max_ms / 1000,
        grace_s=bounds.grace_s,
        job_state_kept_s=bounds.status_s,
        harm_s=bounds.harm_ms / 1000,
        stop_timeout_s=bounds.stop_timeout_ms / 1000,
        key_withdrawal_s=bounds.revoke_ms / 1000 if bounds.strict_revoke else None,
        workspace_rate_window_s=bounds.quota_window_s,
        record_bytes_max=document.platform.value_bytes,
        recovery_s=bounds.recovery_s,
        link_mbps=document.limits.link_mbps,
        configuration_apply_s=bounds.config_apply_ms / 1000,
        acknowledgement_s=bounds.ack_ms / 1000,
        memory_mb=document.limits.memory_mb,
        descriptors_max=document.limits.max_fds,
    )
