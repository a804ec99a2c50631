"""In-memory key-value store with injectable faults."""

from collections import Counter
from dataclasses import dataclass

from dogwoodlever.platform_clients import Entry


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    Attributes
    ----------
    down : bool
        Calls have no effect and get no response.
    delay_s : float
        Added to the delay of each response.
    answers_to_lose : int
        How many of the next writes take effect without a response.
    """

    down: bool = False
    delay_s: float = 0.0
    answers_to_lose: int = 0


class KeyValues:
    """Values whose versions increase across all keys.

    Attributes
    ----------
    calls : Counter
        Number of calls by kind, counted as the platform does.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.calls: Counter[str] = Counter()
        self.bytes_written = 0
        self.faults = StoreFaults()

    def list_versions(self, prefix: str) -> dict[str, int]:
        """Return the version of each key under a prefix."""
        self.calls["read"] += 1
        return {k: e.version for k, e in self.entries.items() if k.startswith(prefix)}

    def read(self, key: str) -> Entry | None:
        """Return an entry, or None if the key is absent."""
        self.calls["read"] += 1
        return self.entries.get(key)

    def write(self, key: str, value: bytes, expected_version: int) -> bool:
        """Write by compare-and-swap; return whether it took effect."""
        self.calls["write"] += 1
        current = self.entries.get(key)
        if (current.version if current else 0) != expected_version:
            return False
        self.revision += 1
        self.bytes_written += len(value)
        self.entries[key] = Entry(value, self.revision)
        return True

    def delete(self, key: str, expected_version: int) -> bool:
        """Delete by compare-and-swap; return whether it took effect."""
        self.calls["write"] += 1
        current = self.entries.get(key)
        if current is None or current.version != expected_version:
            return False
        self.revision += 1
        del self.entries[key]
        return True

    def consume_lost_answer(self) -> bool:
        """Return whether the response to the last write is lost, and count it."""
        if self.faults.answers_to_lose <= 0:
            return False
        self.faults.answers_to_lose -= 1
        return True
