"""Interfaces to the platform; adapters and tests implement them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from dogwoodlever._worker_protocol import SyncRequest


@dataclass(slots=True, frozen=True)
class Entry:
    """A value of the store with its version; versions rise with each write."""

    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class WriteResult:
    """Result of a compare-and-swap.

    Attributes
    ----------
    committed : bool
        Whether the value was written.
    entry : Entry or None
        The entry that stands now; None if the key is absent.
    """

    committed: bool
    entry: Entry | None


class Store(ABC):
    """The platform's key-value service.

    Each method returns a Deferred, which fails with
    `StoreUnavailableError` if no answer comes.
    """

    @abstractmethod
    def list_versions(self, prefix: str) -> Deferred:
        """Return the versions of all keys under `prefix`, as a dict by key."""

    @abstractmethod
    def read(self, key: str) -> Deferred:
        """Return the `Entry` of `key`, or None if it is absent."""

    @abstractmethod
    def write(self, key: str, value: bytes, expected_version: int) -> Deferred:
        """Write `value` if the version is the one expected, 0 for absent.

        The Deferred gives a `WriteResult`. If it fails, the write may have
        taken effect or may still do so.
        """

    @abstractmethod
    def delete(self, key: str, expected_version: int) -> Deferred:
        """Delete `key` if its version is the one expected; gives a bool."""


class WorkerClient(ABC):
    """Access to the workers."""

    @abstractmethod
    def sync(self, worker: str, host: str, port: int, request: SyncRequest) -> Deferred:
        """Send a synchronisation; gives the `WorkerReport`.

        Fails with `WorkerUnreachableError`.
        """


@dataclass(slots=True, frozen=True)
class BackendRequest:
    """What is sent to a backend server."""

    method: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class BackendResponse:
    """A backend server's whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class BackendClient(ABC):
    """Access to the backend servers."""

    @abstractmethod
    def send(
        self, host: str, port: int, request: BackendRequest, reuse: bool
    ) -> Deferred:
        """Send a request; gives the `BackendResponse`.

        Parameters
        ----------
        host, port : str, int
            Address of the server.
        request : BackendRequest
            What to send.
        reuse : bool
            Whether an idle connection may be used.

        Fails with `RequestNotSentError` if no byte was written, otherwise with
        `IncompleteResponseError`.
        """


@dataclass(slots=True, frozen=True)
class VMStates:
    """What the platform lists; it lags behind what is.

    Attributes
    ----------
    listed : frozenset of str
        VMs that are live or leaving.
    leaving : frozenset of str
        Those that are leaving.
    """

    listed: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    def is_gone(self, name: str) -> bool:
        """Tell whether the platform has dropped a VM from its list."""
        return bool(self.listed) and name not in self.listed


class VMList(ABC):
    """The platform's lagging list of VMs."""

    @abstractmethod
    def read(self) -> Deferred:
        """Return the `VMStates`; fails with `PlatformError`."""
