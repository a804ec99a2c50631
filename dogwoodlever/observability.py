"""Accounts: why work ran where and when, and service-level burn."""

from dogwoodlever._burn import BurnBook, BurnLine, merge_lines
from dogwoodlever._request_trace import (
    AttemptTrace,
    RequestTrace,
    RequestTraceBuffer,
)

__all__ = [
    "AttemptTrace",
    "BurnBook",
    "BurnLine",
    "RequestTrace",
    "RequestTraceBuffer",
    "merge_lines",
]
