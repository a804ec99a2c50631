"""Colocation: estimates of interference, and guards of services."""

from dogwoodlever._guard import GuardDecision, GuardStep, WorkerGuard
from dogwoodlever._slowdown import SlowdownEstimator

__all__ = ["GuardDecision", "GuardStep", "SlowdownEstimator", "WorkerGuard"]
