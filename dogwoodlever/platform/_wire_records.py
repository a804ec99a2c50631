"""Decoding of records that operators and workers write to the store."""

import hashlib
import re
from collections.abc import Hashable, Iterable
from typing import Annotated

import msgspec

from dogwoodlever._fleet_types import (
    AdviceTiming,
    FleetConfiguration,
    Queue,
    ResourceAmounts,
    WorkerEntry,
    Workspace,
    normalize_host,
)
from dogwoodlever._request_limits import RequestLimits
from dogwoodlever.platform._wire_address import parse_address
from dogwoodlever.platform._wire_json import (
    Amount,
    Int64,
    PositiveAmount,
    decode_json,
    decode_whole_numbers,
)
from dogwoodlever.platform_errors import PlatformError

# Calls name the worker in a header. Servers strip spaces around its value, so that an
# id with such spaces would name another worker.
_WORKER_ID_PATTERN = re.compile(r"[!-~](?:[ -~]*[!-~])?")

_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Text = Annotated[str, msgspec.Meta(min_length=1)]

# A longer objective acts like this one; stored jobs hold 64 bits.
_OBJECTIVE_MAX_MS = 1e15
ATTEMPTS_DEFAULT = 1
TIMEOUT_DEFAULT_MS = 3_000
# Longer timeouts act like this one; the event loop's timers have a largest delay.
_TIMEOUT_MAX_MS = 86_400_000

READY = "ready"
DRAINING = "draining"


class _Advice(msgspec.Struct, frozen=True):
    # Base duration of a call, and additional duration per worker.
    decision_ms: _NotNegative = 0
    period_ms: _NotNegative = 0
    # Validity of a ticket.
    valid_ms: _NotNegative = 0


class _Route(msgspec.Struct, frozen=True):
    # A route is a queue of jobs.
    name: _Text
    host: _Text
    prefix: Annotated[str, msgspec.Meta(pattern="^/")]
    service: str
    # Not used: every call of a queue may be repeated.
    kind: str = ""
    # 0 here and below is the same as an omitted field.
    timeout_ms: _NotNegative = 0
    priority: int = 0
    max_attempts: Amount = 0
    stretch: _NotNegative = 1.0
    # Added to the stretched critical path to give the time objective.
    slo_ms: _NotNegative = 0
    # Present if runs need tickets of the advice service.
    advice: _Advice | None = None
    # Calls need no key.
    public: bool = False


class _Capacity(msgspec.Struct, frozen=True):
    # Thousandths of a core.
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _Cap(msgspec.Struct, frozen=True):
    # Thousandths of a core; 0 for no limit, as below.
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _Tenant(msgspec.Struct, frozen=True):
    # A tenant is a workspace.
    name: str
    api_keys: tuple[str, ...] = ()
    weight: _NotNegative = 1
    cap: _Cap = _Cap()


class _Service(msgspec.Struct, frozen=True):
    # Whether its workers enforce their capacity is not read, since none is ever
    # assigned more than its capacity.
    name: _Text


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: Amount = 0
    max_body_bytes: Amount = 0
    header_timeout_ms: _NotNegative = 0
    idle_timeout_ms: _NotNegative = 0


class _Configuration(msgspec.Struct, frozen=True):
    version: PositiveAmount
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] = ()


class _Server(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # Unix milliseconds of the start of this incarnation.
    born: PositiveAmount
    # The worker's kind, then its rack.
    labels: tuple[str, ...] = ()
    cold_remaining_ms: Int64 = 0
    # Minimum time until the worker leaves, while it drains.
    remaining_ms: Int64 = 0


def decode_configuration(value: bytes, revision: int = 0) -> FleetConfiguration:
    """Decode the operators' configuration, read at a store revision.

    Raises
    ------
    PlatformError
        If it is malformed or contradicts itself, as docs/design/configuration.md lists;
        the message names the field, or the routes or services.
    """
    try:
        document = decode_whole_numbers(value, _Configuration)
        _check_routes(document.routes, document.services)
    except ValueError as error:
        raise PlatformError(f"configuration: {error}") from error
    queues = {
        route.name: Queue(
            route.name,
            normalize_host(route.host),
            route.prefix,
            route.service,
            route.priority,
            route.max_attempts or ATTEMPTS_DEFAULT,
            route.stretch,
            int(min(route.slo_ms, _OBJECTIVE_MAX_MS)),
            _convert_advice(route.advice),
            route.public,
            _convert_timeout(route.timeout_ms or TIMEOUT_DEFAULT_MS),
        )
        for route in document.routes
    }
    workspaces = {
        tenant.name: Workspace(
            tenant.name,
            tenant.weight,
            ResourceAmounts(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu),
            frozenset(digest_key(key.encode()) for key in tenant.api_keys),
        )
        for tenant in document.tenants
    }
    limits = _convert_limits(document.limits)
    return FleetConfiguration(document.version, queues, workspaces, revision, limits)


def _check_routes(routes: list[_Route], services: list[_Service]) -> None:
    """Check that routes can be told apart and have a service; raises `ValueError`."""
    repeated = _find_repeated(service.name for service in services)
    if repeated is not None:
        raise ValueError(f"services: two are named {repeated[:80]!r}")
    repeated = _find_repeated(route.name for route in routes)
    if repeated is not None:
        raise ValueError(f"routes: two are named {repeated[:80]!r}")
    # Host names are case-insensitive (RFC 9110, 4.2.3).
    repeated = _find_repeated(
        (normalize_host(route.host), route.prefix) for route in routes
    )
    if repeated is not None:
        host, prefix = repeated
        raise ValueError(f"routes: two are at {host[:80]}{prefix[:80]}")
    names = {service.name for service in services}
    for route in routes:
        if not normalize_host(route.host):
            raise ValueError(f"routes: host of {route.name[:80]!r} is '.'")
        if route.service not in names:
            raise ValueError(
                f"routes: {route.name[:80]!r} has service {route.service[:80]!r}, "
                "which is not among the services"
            )


def _find_repeated(items: Iterable[Hashable]):
    """Return the first item that is there twice, None if there is none."""
    seen = set()
    for item in items:
        if item in seen:
            return item
        seen.add(item)
    return None


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is kept and compared."""
    return hashlib.sha256(key).digest()


def _convert_advice(advice: _Advice | None) -> AdviceTiming | None:
    if advice is None:
        return None
    return AdviceTiming(advice.decision_ms, advice.period_ms, advice.valid_ms)


def _convert_limits(limits: _Limits | None) -> RequestLimits:
    """Return the limits of requests, the default ones where a version has none."""
    default = RequestLimits()
    if limits is None:
        return default
    return RequestLimits(
        limits.max_header_bytes or default.header_bytes_max,
        limits.max_body_bytes or default.body_bytes_max,
        _convert_timeout(limits.header_timeout_ms) or default.header_timeout_s,
        _convert_timeout(limits.idle_timeout_ms) or default.idle_timeout_s,
    )


def _convert_timeout(timeout_ms: float) -> float:
    """Return a timeout in seconds."""
    return min(timeout_ms, _TIMEOUT_MAX_MS) / 1000


def is_callable_worker(worker_id: str, address: str) -> bool:
    """Return whether a call can be sent to a worker."""
    try:
        _parse_worker(worker_id, address)
    except ValueError:
        return False
    return True


def _parse_worker(worker_id: str, address: str) -> tuple[str, int]:
    """Check a worker's id and return its host and port; raises `ValueError`."""
    if not _WORKER_ID_PATTERN.fullmatch(worker_id):
        raise ValueError("its id cannot be the value of a header")
    return parse_address(address)


def decode_worker(worker_id: str, value: bytes) -> WorkerEntry:
    """Decode a worker's entry.

    Raises
    ------
    PlatformError
        If it was not written by a worker or is malformed.
    """
    try:
        entry = decode_json(value, _Server)
        host, port = _parse_worker(worker_id, entry.address)
        if entry.state not in (READY, DRAINING):
            raise ValueError(f"state {entry.state[:80]!r}")
        return WorkerEntry(
            worker_id,
            entry.service,
            host,
            port,
            entry.zone,
            entry.born,
            entry.state == DRAINING,
            entry.capacity.cpu,
            entry.capacity.mem_mb,
            entry.capacity.gpu,
            entry.labels,
            entry.cold_remaining_ms,
            entry.remaining_ms,
        )
    except ValueError as error:
        raise PlatformError(f"worker {worker_id}: {error}") from error
