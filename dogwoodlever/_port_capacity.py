"""What all connections of a port may hold, derived from the VM's settings."""

from dataclasses import dataclass

# Part of the memory for what callers have sent. The rest is for the process and a
# leader's state.
HELD_MEMORY_FRACTION = 0.125
# A body that is passed on as it is, and one that is decoded to a job and stored.
FORWARDED_FACTOR = 3
DECODED_FACTOR = 16
MEGABYTE_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class PortCapacity:
    """What all connections of a port may hold.

    Attributes
    ----------
    held_bytes_max : int
        Maximum memory of incomplete requests, and of complete ones until they are
        answered.
    handled_factor : int
        Memory of a request while it is handled, in multiples of its body.
    """

    held_bytes_max: int = 32_000_000
    handled_factor: int = FORWARDED_FACTOR


# Of a port that is asked by a few known clients only.
SMALL_PORT = PortCapacity(held_bytes_max=500_000)


def size_callers_port(
    memory_mb: float, handled_factor: int = FORWARDED_FACTOR
) -> PortCapacity:
    """Return the capacity of the callers' port of a process.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.
    handled_factor : int
        Memory of a request while it is handled, in multiples of its body.
    """
    memory_bytes = memory_mb * MEGABYTE_BYTES
    return PortCapacity(int(memory_bytes * HELD_MEMORY_FRACTION), handled_factor)
