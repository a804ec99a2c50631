"""Adapter to the users' platform: names, formats and calls, without policy."""

from dogwoodlever.platform._callers_resource import FleetCallersResource
from dogwoodlever.platform._http_advice import HttpAdviceService
from dogwoodlever.platform._http_store import HttpFleetStore
from dogwoodlever.platform._http_workers import HttpFleetWorkerClient
from dogwoodlever.platform._keys import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATORS_PREFIX,
    WORKERS_PREFIX,
)
from dogwoodlever.platform._node_file import (
    NODE_FILE_VARIABLE,
    NodeFile,
    read_node_file,
)
from dogwoodlever.platform._readiness_resource import ReadinessResource
from dogwoodlever.platform._wire_records import (
    decode_configuration,
    decode_worker,
    is_callable_worker,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "NODE_FILE_VARIABLE",
    "OPERATORS_PREFIX",
    "WORKERS_PREFIX",
    "FleetCallersResource",
    "HttpAdviceService",
    "HttpFleetStore",
    "HttpFleetWorkerClient",
    "NodeFile",
    "ReadinessResource",
    "decode_configuration",
    "decode_worker",
    "is_callable_worker",
    "read_node_file",
]
