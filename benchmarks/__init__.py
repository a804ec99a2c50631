"""Benchmarks; all but `processes` run on a simulated clock."""
