"""Keys that the platform's operators and workers write."""

OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WORKERS_PREFIX = "servers/"
