"""Slots of a backend server and the requests that ran in them."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServedRequest:
    """A request that a server ran."""

    server: str
    request: str
    started_s: float
    ended_s: float | None = None


class BackendSlots:
    """Counts concurrent requests and connections, and those beyond the limits."""

    def __init__(self, name: str, slots: int = 8, connections: int = 64) -> None:
        self.name = name
        self.slots = slots
        self.connections = connections
        self.open_connections = 0
        self.running = 0
        self.running_max = 0
        self.overloads = 0
        self.records: list[ServedRequest] = []

    def add_connection(self) -> bool:
        """Count a connection; return False and count an overload beyond the limit."""
        self.open_connections += 1
        if self.open_connections > self.connections:
            self.overloads += 1
            return False
        return True

    def remove_connection(self) -> None:
        """Count a closed connection."""
        self.open_connections -= 1

    def start(self, request: str, now_s: float) -> ServedRequest | None:
        """Start a request, or return None and count an overload if no slot is free."""
        if self.running >= self.slots:
            self.overloads += 1
            return None
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        served = ServedRequest(self.name, request, now_s)
        self.records.append(served)
        return served

    def end(self, served: ServedRequest, now_s: float) -> None:
        """End a request and free its slot."""
        self.running -= 1
        served.ended_s = now_s
