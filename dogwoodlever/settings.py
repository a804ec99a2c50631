"""Settings layer: types, merging and validation."""

from dogwoodlever._check import find_faults
from dogwoodlever._merge import merge, parse_document, read_document, read_documents
from dogwoodlever._reader import (
    check_documents,
    find_contradictions,
    read_daemon_settings,
    read_site,
)
from dogwoodlever._site import (
    BackendServer,
    DaemonSettings,
    DataCentre,
    Limits,
    Operation,
    Service,
    Site,
    Team,
    Worker,
)

__all__ = [
    "BackendServer",
    "DaemonSettings",
    "DataCentre",
    "Limits",
    "Operation",
    "Service",
    "Site",
    "Team",
    "Worker",
    "check_documents",
    "find_contradictions",
    "find_faults",
    "merge",
    "parse_document",
    "read_daemon_settings",
    "read_document",
    "read_documents",
    "read_site",
]
