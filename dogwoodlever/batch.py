"""Batch and standing tasks: jobs, quotas, placement, cell state and recovery."""

from dogwoodlever._cell import Cell, Commit, LeaseSettings
from dogwoodlever._cell_state import (
    ENDED_STATES,
    PLACED_STATES,
    TASK_CHART,
    CellStateRecord,
    Task,
    TaskEvent,
    decode_cell_state,
    encode_cell_state,
)
from dogwoodlever._class_estimates import ClassEstimates
from dogwoodlever._fault_attribution import FaultAttribution
from dogwoodlever._job import Job, check_fits, parse_job, reservations
from dogwoodlever._placement import BestFit, PlacementRound, Placer
from dogwoodlever._quota import QuotaUsage
from dogwoodlever._worker_view import WORKER_CHART, WorkerView

__all__ = [
    "ENDED_STATES",
    "PLACED_STATES",
    "TASK_CHART",
    "WORKER_CHART",
    "BestFit",
    "Cell",
    "LeaseSettings",
    "ClassEstimates",
    "Commit",
    "FaultAttribution",
    "Job",
    "CellStateRecord",
    "PlacementRound",
    "Placer",
    "QuotaUsage",
    "Task",
    "TaskEvent",
    "WorkerView",
    "check_fits",
    "decode_cell_state",
    "encode_cell_state",
    "parse_job",
    "reservations",
]
