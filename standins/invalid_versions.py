"""Versions of the configuration that must not be put into force; unusual valid ones.

Each is a function of a valid document; what it returns names the queue `INVALID_QUEUE`
wherever it has routes, so that a daemon which serves that queue has taken the version.
"""

import copy
import json
from collections.abc import Callable

INVALID_QUEUE = "invalid"


def _with_route(document: dict, **fields) -> dict:
    """Return a document with one more queue, whose fields are replaced or removed."""
    changed = copy.deepcopy(document)
    route = dict(document["routes"][0])
    route |= {"name": INVALID_QUEUE, "prefix": f"/{INVALID_QUEUE}/"} | fields
    changed["routes"].append({k: v for k, v in route.items() if v is not ...})
    return changed


def _with_fields(document: dict, **fields) -> dict:
    """Return a document with one more queue, and with other top-level fields."""
    changed = _with_route(document) | fields
    return {name: value for name, value in changed.items() if value is not ...}


def _with_limit(document: dict, name: str, value) -> dict:
    return _with_fields(document, limits=document.get("limits", {}) | {name: value})


def _with_second_route(document: dict, **fields) -> dict:
    """Return a document with two more queues that differ in the given fields only."""
    changed = _with_route(document)
    changed["routes"].append(changed["routes"][-1] | fields)
    return changed


LIMIT_NAMES = (
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
)

# By form: the version that must not be put into force.
INVALID_VERSIONS: dict[str, Callable[[dict], dict]] = {
    "name is a number": lambda d: _with_route(d, name=7),
    "name is empty": lambda d: _with_route(d, name=""),
    "name is missing": lambda d: _with_route(d, name=...),
    "two routes of one name": lambda d: _with_second_route(d, prefix="/other/"),
    "two routes of one host and prefix": lambda d: _with_second_route(d, name="other"),
    "two routes of one host but for its case": lambda d: _with_second_route(
        d, name="other", host=d["routes"][0]["host"].upper()
    ),
    "host is empty": lambda d: _with_route(d, host=""),
    "host is missing": lambda d: _with_route(d, host=...),
    "prefix is empty": lambda d: _with_route(d, prefix=""),
    "prefix without a slash": lambda d: _with_route(d, prefix=f"{INVALID_QUEUE}/"),
    "prefix is null": lambda d: _with_route(d, prefix=None),
    "service is missing": lambda d: _with_route(d, service=...),
    "service is not listed": lambda d: _with_route(d, service="elsewhere"),
    "priority is text": lambda d: _with_route(d, priority="0"),
    "max_attempts is negative": lambda d: _with_route(d, max_attempts=-1),
    "stretch is negative": lambda d: _with_route(d, stretch=-1.5),
    "slo_ms is negative": lambda d: _with_route(d, slo_ms=-250),
    "timeout_ms is negative": lambda d: _with_route(d, timeout_ms=-3000),
    "timeout_ms is text": lambda d: _with_route(d, timeout_ms="3 s"),
    "kind is a number": lambda d: _with_route(d, kind=7),
    "advice of another type": lambda d: _with_route(d, advice=[1]),
    "advice is negative": lambda d: _with_route(d, advice={"valid_ms": -1}),
    "version is 0": lambda d: _with_fields(d, version=0),
    "version is negative": lambda d: _with_fields(d, version=-3),
    "version is beyond 64 bits": lambda d: _with_fields(d, version=10**30),
    "version has a fraction": lambda d: _with_fields(d, version=d["version"] + 0.5),
    "version is true": lambda d: _with_fields(d, version=True),
    "version is text": lambda d: _with_fields(d, version=str(d["version"])),
    "version is missing": lambda d: _with_fields(d, version=...),
    "routes are missing": lambda d: _with_fields(d, routes=...),
    "routes of another type": lambda d: _with_fields(d, routes={}),
    "services are missing": lambda d: _with_fields(d, services=...),
    "services of another type": lambda d: _with_fields(d, services={"a": 1}),
    "service without a name": lambda d: _with_fields(d, services=[{}]),
    "service with an empty name": lambda d: _with_fields(
        d, services=[*d["services"], {"name": ""}]
    ),
    "two services of one name": lambda d: _with_fields(
        d, services=[*d["services"], d["services"][0]]
    ),
    "limits are text": lambda d: _with_fields(d, limits="none"),
} | {
    f"{name} is {what}": lambda d, name=name, value=value: _with_limit(d, name, value)
    for name in LIMIT_NAMES
    for what, value in (("negative", -1), ("text", "16k"))
}

# Bytes that are not a document.
INVALID_BYTES: dict[str, bytes] = {
    "empty": b"",
    "not JSON": b"\xff\xfe",
    "cut off": b'{"version": 1000000, "routes": [',
    "a list": b"[]",
    "null": b"null",
    "nested too deeply": b"[" * 100_000,
}


def _as_float(document: dict) -> dict:
    """Return a document with its whole numbers written as ``7.0``."""

    def convert(value):
        if isinstance(value, dict):
            return {name: convert(field) for name, field in value.items()}
        if isinstance(value, list):
            return [convert(field) for field in value]
        is_number = isinstance(value, int) and not isinstance(value, bool)
        return float(value) if is_number else value

    return convert(document)


# By form: a version that has to be put into force.
UNUSUAL_VALID_VERSIONS: dict[str, Callable[[dict], dict]] = {
    "whole numbers with a point": _as_float,
    "unknown fields": lambda d: d | {"owner": {"team": 7}, "notes": [None]},
    "no limits": lambda d: {k: v for k, v in d.items() if k != "limits"},
    "host in capitals": lambda d: (
        d | {"routes": [r | {"host": r["host"].upper()} for r in d["routes"]]}
    ),
    "time-outs and limits of 0, as if omitted": lambda d: (
        d
        | {"limits": dict.fromkeys(LIMIT_NAMES, 0)}
        | {"routes": [route | {"timeout_ms": 0} for route in d["routes"]]}
    ),
    "limits are null": lambda d: d | {"limits": None},
    "no routes and no services": lambda d: {
        k: v for k, v in (d | {"routes": []}).items() if k != "services"
    },
    "a service without routes": lambda d: (
        d | {"services": [*d["services"], {"name": "idle"}]}
    ),
    "no routes": lambda d: d | {"routes": []},
    "a prefix within another": lambda d: (
        d
        | {
            "routes": [
                *d["routes"],
                d["routes"][0] | {"name": "inner", "prefix": "/inner/most/"},
                d["routes"][0] | {"name": "outer", "prefix": "/inner/"},
            ]
        }
    ),
}


def encode_version(document: dict) -> bytes:
    """Encode a document as the operators do."""
    return json.dumps(document).encode()
