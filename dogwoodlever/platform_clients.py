"""Interfaces to the platform, and the clients that speak its protocols."""

from dogwoodlever._clock import BootClock
from dogwoodlever._etcd_store import EtcdStore
from dogwoodlever._http_client import HttpClient
from dogwoodlever._http_platform import (
    HttpBackendClient,
    HttpVMList,
    HttpWorkerClient,
)
from dogwoodlever._interfaces import (
    BackendClient,
    BackendRequest,
    BackendResponse,
    Entry,
    Store,
    VMList,
    VMStates,
    WorkerClient,
    WriteResult,
)
from dogwoodlever._worker_protocol import (
    AttemptId,
    EndedAttempt,
    RunningAttempt,
    RunOrder,
    StopOrder,
    SyncRequest,
    UsageSample,
    WorkerReport,
)

__all__ = [
    "AttemptId",
    "BackendResponse",
    "BackendClient",
    "BackendRequest",
    "BootClock",
    "EndedAttempt",
    "Entry",
    "EtcdStore",
    "HttpBackendClient",
    "HttpClient",
    "HttpVMList",
    "HttpWorkerClient",
    "RunOrder",
    "RunningAttempt",
    "StopOrder",
    "Store",
    "SyncRequest",
    "UsageSample",
    "VMList",
    "VMStates",
    "WorkerClient",
    "WorkerReport",
    "WriteResult",
]
