"""Colocation: estimates of interference, and guards of services."""

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
