"""Notices changes of the settings file, which come with or without a signal."""

import os
from collections.abc import Callable
from pathlib import Path

CHECK_INTERVAL_S = 1.0


class SettingsWatcher:
    """Checks once a second whether a file was written or replaced.

    Parameters
    ----------
    path : Path
        The file; while it is missing, it counts as unchanged.
    clock : IReactorTime
        Reactor clock.
    on_change : callable
        Called after each change.
    """

    def __init__(self, path: Path, clock, on_change: Callable[[], None]) -> None:
        self._path = path
        self._clock = clock
        self._on_change = on_change
        self._seen = self._read_identity()

    def open(self) -> None:
        """Start checking."""
        self._clock.callLater(CHECK_INTERVAL_S, self._check)

    def mark_read(self) -> None:
        """Note that the file has just been read for another reason."""
        self._seen = self._read_identity()

    def _check(self) -> None:
        self._clock.callLater(CHECK_INTERVAL_S, self._check)
        found = self._read_identity()
        if found is not None and found != self._seen:
            self._seen = found
            self._on_change()

    def _read_identity(self) -> tuple[int, int, int] | None:
        """Return what a write changes; None if the file cannot be found."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
