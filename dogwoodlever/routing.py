"""Request routing: slot shares, loans, queueing, retries and outlier ejection."""

from dogwoodlever._dispatcher import Dispatcher, DispatcherLimits
from dogwoodlever._fair_queue import FairQueue
from dogwoodlever._outliers import OutlierDetector
from dogwoodlever._request import (
    AdvertiseDemand,
    Effect,
    EndRequest,
    GrantLoans,
    Outcome,
    Reason,
    Request,
    ReturnLoans,
    SendAttempt,
)
from dogwoodlever._retry_budget import RetryBudget
from dogwoodlever._service_time_estimate import ServiceTimeEstimate
from dogwoodlever._shares import SharePlanner, ShareRecord, check_shares, split_slots
from dogwoodlever._slot_pool import Loan, Slot, SlotPool

__all__ = [
    "AdvertiseDemand",
    "Dispatcher",
    "DispatcherLimits",
    "Effect",
    "EndRequest",
    "FairQueue",
    "GrantLoans",
    "Loan",
    "Outcome",
    "OutlierDetector",
    "Reason",
    "Request",
    "RetryBudget",
    "ReturnLoans",
    "SendAttempt",
    "ServiceTimeEstimate",
    "SharePlanner",
    "ShareRecord",
    "Slot",
    "SlotPool",
    "check_shares",
    "split_slots",
]
