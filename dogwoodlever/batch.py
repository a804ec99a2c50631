"""Batch and standing tasks: jobs, quotas, placement, ledger and recovery."""

from dogwoodlever._cell import Cell, CellTerms, Commit
from dogwoodlever._class_estimate import ClassEstimates
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._job import Job, check_fits, parse_job, reservations
from dogwoodlever._ledger import (
    ENDED_STATES,
    PLACED_STATES,
    TASK_CHART,
    LedgerRecord,
    Task,
    TaskEvent,
    decode_ledger,
    encode_ledger,
)
from dogwoodlever._placement import BestFit, PlacementRound, Placer
from dogwoodlever._quota import QuotaBook
from dogwoodlever._worker_view import WORKER_CHART, WorkerView

__all__ = [
    "ENDED_STATES",
    "PLACED_STATES",
    "TASK_CHART",
    "WORKER_CHART",
    "BestFit",
    "Cell",
    "CellTerms",
    "ClassEstimates",
    "Commit",
    "FaultAttribution",
    "Job",
    "LedgerRecord",
    "PlacementRound",
    "Placer",
    "QuotaBook",
    "Task",
    "TaskEvent",
    "WorkerView",
    "check_fits",
    "decode_ledger",
    "encode_ledger",
    "parse_job",
    "reservations",
]
