"""Observability: request traces and error budget burn."""

from dogwoodlever._burn import BurnCounter, BurnRow, merge_burn_rows
from dogwoodlever._request_trace import (
    AttemptTrace,
    RequestTrace,
    RequestTraceBuffer,
)

__all__ = [
    "AttemptTrace",
    "BurnCounter",
    "BurnRow",
    "RequestTrace",
    "RequestTraceBuffer",
    "merge_burn_rows",
]
