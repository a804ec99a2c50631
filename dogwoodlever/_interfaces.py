"""Interfaces to the platform, implemented by its clients and by test doubles."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from dogwoodlever._worker_protocol import SyncRequest


@dataclass(slots=True, frozen=True)
class Entry:
    """Value of a store key with its version, which each write increases."""

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
        Entry after the operation; None if the key is absent.
    """

    committed: bool
    entry: Entry | None


class Store(ABC):
    """Key-value store of the platform.

    Each method returns a Deferred that fails with `StoreUnavailableError` if
    the store does not respond.
    """

    @abstractmethod
    def list_versions(self, prefix: str) -> Deferred:
        """Return a Deferred that fires with a dict of versions by key."""

    @abstractmethod
    def read(self, key: str) -> Deferred:
        """Return a Deferred that fires with the `Entry` of `key`, or None."""

    @abstractmethod
    def write(self, key: str, value: bytes, expected_version: int) -> Deferred:
        """Write `value` if the version is `expected_version`; 0 means absent.

        The Deferred fires with a `WriteResult`. If it fails, the write may have
        taken effect, or may still take effect later.
        """

    @abstractmethod
    def delete(self, key: str, expected_version: int) -> Deferred:
        """Delete `key` if its version is `expected_version`.

        The Deferred fires with whether the key was deleted.
        """


class WorkerClient(ABC):
    """Client of the workers."""

    @abstractmethod
    def sync(self, worker: str, host: str, port: int, request: SyncRequest) -> Deferred:
        """Send a synchronisation request.

        The Deferred fires with the `WorkerReport`, or fails with
        `WorkerUnreachableError`.
        """


@dataclass(slots=True, frozen=True)
class BackendRequest:
    """HTTP request to a backend server."""

    method: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class BackendResponse:
    """Complete HTTP response of a backend server."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class BackendClient(ABC):
    """Client of the backend servers."""

    @abstractmethod
    def send(
        self, host: str, port: int, request: BackendRequest, reuse: bool
    ) -> Deferred:
        """Send a request.

        Parameters
        ----------
        host, port : str, int
            Address of the server.
        request : BackendRequest
            Request to send.
        reuse : bool
            Whether an idle connection may be reused.

        Returns
        -------
        Deferred
            Fires with the `BackendResponse`. Fails with `RequestNotSentError` if
            no byte was written, otherwise with `IncompleteResponseError`.
        """


@dataclass(slots=True, frozen=True)
class VMStates:
    """States of the VMs as the platform lists them, with some delay.

    Attributes
    ----------
    listed : frozenset of str
        VMs that are live or leaving.
    leaving : frozenset of str
        VMs that are leaving.
    """

    listed: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    def is_gone(self, name: str) -> bool:
        """Return whether the platform no longer lists a VM."""
        return bool(self.listed) and name not in self.listed


class VMList(ABC):
    """Client of the platform's list of VMs, which lags behind their states."""

    @abstractmethod
    def read(self) -> Deferred:
        """Return a Deferred that fires with `VMStates`.

        It fails with `PlatformError`.
        """
