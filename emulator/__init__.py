"""Emulator of a site: its processes, load and faults on the host's clock."""
