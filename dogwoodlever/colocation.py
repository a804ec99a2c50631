"""Colocation of services and batch work: interference estimates and control."""

from dogwoodlever._interference_controller import (
    InterferenceAction,
    InterferenceController,
    InterferenceDecision,
    ServiceSample,
)
from dogwoodlever._slowdown import SlowdownEstimator

__all__ = [
    "InterferenceDecision",
    "InterferenceAction",
    "ServiceSample",
    "SlowdownEstimator",
    "InterferenceController",
]
