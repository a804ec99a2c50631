"""What all connections of a port may hold, derived from the VM's settings."""

from dataclasses import dataclass

# Descriptors that the platform reserves for files.
FILES = 200
# Part of the other descriptors for callers; the rest is for the store, workers, other
# daemons, probes and metrics.
CALLERS_DESCRIPTORS_FRACTION = 0.5
# Part of them for calls that are handled, each with a connection to the store.
CALLS_DESCRIPTORS_FRACTION = 0.125
# Part of them for connections that other daemons have opened.
PEERS_DESCRIPTORS_FRACTION = 0.1
# Parts of the memory for callers' connections, and for what they have sent. The rest is
# for the process itself and a leader's state.
CONNECTIONS_MEMORY_FRACTION = 0.125
HELD_MEMORY_FRACTION = 0.125
# Receive buffer of a connection. Bytes that were received and not read count as memory.
RECEIVE_BUFFER_BYTES = 16_384
# Memory of an open connection with an incomplete request.
CONNECTION_BYTES = 12_288
CONNECTIONS_MIN = 16
# A body that is passed on as it is, and one that is decoded to a job and stored.
FORWARDED_FACTOR = 3
DECODED_FACTOR = 16
MEGABYTE_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class PortCapacity:
    """What all connections of a port may hold.

    Attributes
    ----------
    connections_max : int
        Maximum number of open connections.
    held_bytes_max : int
        Maximum memory of incomplete requests, and of complete ones until they are
        answered.
    receive_buffer_bytes : int
        Size of each socket's receive buffer.
    handled_factor : int
        Memory of a request while it is handled, in multiples of its body.
    """

    connections_max: int = 1_000
    held_bytes_max: int = 32_000_000
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES
    handled_factor: int = FORWARDED_FACTOR


# Of a port that is asked by a few known clients only.
SMALL_PORT = PortCapacity(connections_max=32, held_bytes_max=500_000)


def size_callers_port(
    memory_mb: float, descriptors_max: int, handled_factor: int = FORWARDED_FACTOR
) -> PortCapacity:
    """Return the capacity of the callers' port of a process.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.
    descriptors_max : int
        Maximum number of descriptors of the process, those of files included.
    handled_factor : int
        Memory of a request while it is handled, in multiples of its body.
    """
    sockets = max(0, descriptors_max - FILES)
    memory_bytes = memory_mb * MEGABYTE_BYTES
    by_descriptors = sockets * CALLERS_DESCRIPTORS_FRACTION
    by_memory = (
        memory_bytes
        * CONNECTIONS_MEMORY_FRACTION
        / (RECEIVE_BUFFER_BYTES + CONNECTION_BYTES)
    )
    return PortCapacity(
        max(CONNECTIONS_MIN, int(min(by_descriptors, by_memory))),
        int(memory_bytes * HELD_MEMORY_FRACTION),
        handled_factor=handled_factor,
    )


def size_open_calls(descriptors_max: int) -> int:
    """Return the maximum number of callers' calls that a process handles at once."""
    sockets = max(0, descriptors_max - FILES)
    return max(CONNECTIONS_MIN, int(sockets * CALLS_DESCRIPTORS_FRACTION))


def size_peers_port(descriptors_max: int) -> int:
    """Return the maximum number of connections that peers of a process may open."""
    sockets = max(0, descriptors_max - FILES)
    return max(CONNECTIONS_MIN, int(sockets * PEERS_DESCRIPTORS_FRACTION))
