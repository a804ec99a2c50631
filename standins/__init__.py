"""Stand-ins for the platform, used by tests, the demo and benchmarks."""
