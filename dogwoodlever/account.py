"""Accounts: why work ran where and when, and service-level burn."""

from dogwoodlever._burn import BurnBook, BurnLine, merge_lines
from dogwoodlever._request_account import (
    AttemptLine,
    RequestAccount,
    RequestAccounts,
)

__all__ = [
    "AttemptLine",
    "BurnBook",
    "BurnLine",
    "RequestAccount",
    "RequestAccounts",
    "merge_lines",
]
