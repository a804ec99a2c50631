"""Routing of requests: shares, room, queueing, retries and health."""

from dogwoodlever._dispatcher import Dispatcher, DispatcherLimits
from dogwoodlever._estimate import ServiceTime
from dogwoodlever._fair_queue import FairQueue
from dogwoodlever._outliers import OutlierDetector
from dogwoodlever._request import (
    Effect,
    End,
    GiveBack,
    Lend,
    Outcome,
    Reason,
    Request,
    Send,
    Want,
)
from dogwoodlever._retry_budget import RetryBudget
from dogwoodlever._room import Loan, Room, Slot
from dogwoodlever._shares import ShareKeeper, ShareRecord, check_record, target_split

__all__ = [
    "Dispatcher",
    "DispatcherLimits",
    "Effect",
    "End",
    "FairQueue",
    "GiveBack",
    "Lend",
    "Loan",
    "Outcome",
    "OutlierDetector",
    "Reason",
    "Request",
    "RetryBudget",
    "Room",
    "Send",
    "ServiceTime",
    "ShareKeeper",
    "ShareRecord",
    "Slot",
    "Want",
    "check_record",
    "target_split",
]
