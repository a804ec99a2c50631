"""Colocation: estimates of interference, and guards of services."""

from dogwoodlever._guard import GuardDecision, GuardStep, Sample, WorkerGuard
from dogwoodlever._slowdown import SlowdownEstimator

__all__ = ["GuardDecision", "GuardStep", "Sample", "SlowdownEstimator", "WorkerGuard"]
