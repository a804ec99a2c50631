"""Reading and validation of site settings and daemon settings."""

from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from dogwoodlever._check import find_faults
from dogwoodlever._merge import merge, read_document, read_documents
from dogwoodlever._site import DaemonSettings, Site
from dogwoodlever.settings_errors import Fault, SettingsError


def read_site(folder: Path) -> Result[Site, SettingsError]:
    """Read, merge and validate the settings files of `folder`.

    Returns
    -------
    Result
        The site, or a `SettingsError` with every fault by file and key.
    """
    try:
        documents = read_documents(folder)
    except SettingsError as error:
        return Failure(error)
    return check_documents(documents)


def check_documents(documents: list[tuple[str, dict]]) -> Result[Site, SettingsError]:
    """Merge parsed documents in their order, and validate the result."""
    merged: Any = {}
    for _, document in documents:
        merged = merge(merged, document)
    try:
        site = msgspec.convert(merged, Site)
    except msgspec.ValidationError:
        # msgspec stops at the first fault; `find_faults` lists them all.
        return _located_failure(find_faults(merged, Site, "site"), documents)
    contradictions = list(find_contradictions(site))
    if contradictions:
        return _located_failure(contradictions, documents)
    return Success(site)


def _located_failure(faults: list[Fault], documents) -> Failure:
    located = [Fault(_locate(f.where, documents), f.what) for f in faults]
    return Failure(SettingsError(located))


def read_daemon_settings(file: Path) -> Result[DaemonSettings, SettingsError]:
    """Read and validate the settings of one daemon."""
    try:
        document = read_document(file)
    except SettingsError as error:
        return Failure(error)
    faults = find_faults(document, DaemonSettings, file.name)
    if faults:
        return Failure(SettingsError(faults))
    return Success(msgspec.convert(document, DaemonSettings))


def find_contradictions(site: Site):
    """Yield faults in the references and sums between parts of a site."""
    yield from _worker_faults(site)
    yield from _service_faults(site)
    yield from _quota_faults(site)
    yield from _limit_faults(site)


def _worker_faults(site: Site):
    known = ", ".join(sorted(site.data_centres))
    for name, worker in site.workers.items():
        if worker.data_centre not in site.data_centres:
            yield Fault(
                f"site.workers.{name}.data_centre",
                f"no data centre {worker.data_centre!r}; known: {known}",
            )


def _service_faults(site: Site):
    reserved: dict[str, float] = {}
    for service_name, service in site.services.items():
        where = f"site.services.{service_name}"
        if service.timeout_s > site.limits.longest_request_s:
            yield Fault(
                f"{where}.timeout_s",
                "longer than limits.longest_request_s; lower it or raise the limit",
            )
        for server_name, server in service.servers.items():
            if server.worker not in site.workers:
                yield Fault(
                    f"{where}.servers.{server_name}.worker",
                    f"no worker {server.worker!r} in site.workers",
                )
                continue
            cores = reserved.get(server.worker, 0.0) + service.reserved_cores
            reserved[server.worker] = cores
            if cores > site.workers[server.worker].cores:
                yield Fault(
                    f"{where}.servers.{server_name}",
                    f"reserves {cores:g} cores of worker {server.worker!r}, which "
                    f"has {site.workers[server.worker].cores:g}",
                )


def _quota_faults(site: Site):
    cores = sum(worker.cores for worker in site.workers.values())
    accelerators = sum(worker.accelerators for worker in site.workers.values())
    quota_cores = sum(team.cores for team in site.teams.values())
    quota_accelerators = sum(team.accelerators for team in site.teams.values())
    if quota_cores > cores:
        yield Fault(
            "site.teams",
            f"quotas add up to {quota_cores:g} cores; the workers have {cores:g}",
        )
    if quota_accelerators > accelerators:
        yield Fault(
            "site.teams",
            f"quotas add up to {quota_accelerators} accelerators; "
            f"the workers have {accelerators}",
        )


def _limit_faults(site: Site):
    limits = site.limits
    if limits.poll_interval_s + limits.heartbeat_interval_s > limits.tenure_term_s:
        yield Fault(
            "site.limits.tenure_term_s",
            "must be at least poll_interval_s + heartbeat_interval_s",
        )
    if limits.loan_term_s > limits.tenure_term_s:
        yield Fault("site.limits.loan_term_s", "must not be longer than tenure_term_s")
    if limits.worker_rest_interval_s * 3 > limits.worker_lease_s:
        yield Fault(
            "site.limits.worker_lease_s", "must be at least 3 x worker_rest_interval_s"
        )


def _locate(where: str, documents: list[tuple[str, dict]]) -> str:
    """Prefix a dotted key with the last file that sets its longest prefix."""
    keys = where.split(".")[1:]
    best_file, best_depth = documents[-1][0], -1
    for file, document in documents:
        depth = _depth(document, keys)
        if depth >= best_depth and depth > 0:
            best_file, best_depth = file, depth
    return f"{best_file}: {'.'.join(keys)}"


def _depth(document: Any, keys: list[str]) -> int:
    depth = 0
    for key in keys:
        if not isinstance(document, dict) or key not in document:
            break
        document = document[key]
        depth += 1
    return depth
