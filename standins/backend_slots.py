"""A backend server's slots and the records of what ran in them."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServedRequest:
    """One request that the server ran."""

    server: str
    request: str
    started_s: float
    ended_s: float | None = None


class BackendSlots:
    """Count requests at once and note any beyond the slots."""

    def __init__(self, name: str, slots: int = 8, connections: int = 64) -> None:
        self.name = name
        self.slots = slots
        self.connections = connections
        self.open_connections = 0
        self.running = 0
        self.running_max = 0
        self.overloads = 0
        self.records: list[ServedRequest] = []

    def connected(self) -> bool:
        """Count a connection; return False, and an overload, beyond the limit."""
        self.open_connections += 1
        if self.open_connections > self.connections:
            self.overloads += 1
            return False
        return True

    def disconnected(self) -> None:
        """Count a closed connection."""
        self.open_connections -= 1

    def start(self, request: str, now_s: float) -> ServedRequest | None:
        """Start a request, or refuse it and note the overload."""
        if self.running >= self.slots:
            self.overloads += 1
            return None
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        served = ServedRequest(self.name, request, now_s)
        self.records.append(served)
        return served

    def end(self, served: ServedRequest, now_s: float) -> None:
        """End a request."""
        self.running -= 1
        served.ended_s = now_s
