"""A key-value service in memory, with faults that can be set."""

from collections import Counter
from dataclasses import dataclass

from dogwoodlever.platform_clients import Entry


@dataclass(slots=True)
class StoreFaults:
    """Faults of the service.

    Attributes
    ----------
    down : bool
        No call is answered or takes effect.
    delay_s : float
        Added to each answer.
    answers_to_lose : int
        So many writes still to come take effect without an answer.
    """

    down: bool = False
    delay_s: float = 0.0
    answers_to_lose: int = 0


class KeyValues:
    """Values with versions that rise over all keys.

    Attributes
    ----------
    calls : Counter
        Calls by kind, as the platform counts them.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.calls: Counter[str] = Counter()
        self.bytes_written = 0
        self.faults = StoreFaults()

    def list_versions(self, prefix: str) -> dict[str, int]:
        """Return versions by key."""
        self.calls["read"] += 1
        return {k: e.version for k, e in self.entries.items() if k.startswith(prefix)}

    def read(self, key: str) -> Entry | None:
        """Return an entry or None."""
        self.calls["read"] += 1
        return self.entries.get(key)

    def write(self, key: str, value: bytes, expected_version: int) -> bool:
        """Write by compare-and-swap; return whether it took effect."""
        self.calls["write"] += 1
        held = self.entries.get(key)
        if (held.version if held else 0) != expected_version:
            return False
        self.revision += 1
        self.bytes_written += len(value)
        self.entries[key] = Entry(value, self.revision)
        return True

    def delete(self, key: str, expected_version: int) -> bool:
        """Delete by compare-and-swap; return whether it took effect."""
        self.calls["write"] += 1
        held = self.entries.get(key)
        if held is None or held.version != expected_version:
            return False
        self.revision += 1
        del self.entries[key]
        return True

    def loses_answer(self) -> bool:
        """Tell whether the answer of the write just made is lost."""
        if self.faults.answers_to_lose <= 0:
            return False
        self.faults.answers_to_lose -= 1
        return True
