"""Scheduler for latency-critical and batch work that share machines."""
