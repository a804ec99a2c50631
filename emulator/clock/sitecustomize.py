"""Shifts the time of day of a process by the seconds in a file, which may change.

Python imports this module at its start if its folder is on the path. The steady clocks
are left alone.
"""

import mmap
import os
import struct
import time

CLOCK_FILE_VARIABLE = "EMULATOR_CLOCK_FILE"


def _shift_time(path: str) -> None:
    with open(path, "rb") as file:
        shift = mmap.mmap(file.fileno(), 8, prot=mmap.PROT_READ)
    true_time, true_time_ns = time.time, time.time_ns

    def read_shift_s() -> float:
        return struct.unpack("<d", shift[:8])[0]

    time.time = lambda: true_time() + read_shift_s()
    time.time_ns = lambda: true_time_ns() + int(read_shift_s() * 1e9)


if os.environ.get(CLOCK_FILE_VARIABLE):
    _shift_time(os.environ[CLOCK_FILE_VARIABLE])
