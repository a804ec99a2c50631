"""What the fleet scheduler needs of the platform; `platform` implements it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from twisted.internet.defer import Deferred

from dogwoodlever._fleet_types import RunId, StartOrder, StepId, WorkerEntry


class RefusalReason(StrEnum):
    """Why a worker refused an order."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclass(slots=True, frozen=True)
class Record:
    """A record of the store.

    Attributes
    ----------
    value : bytes or None
        None for a record that was removed.
    revision : int
        The store's revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class Listing:
    """Records under a prefix; `revision` is where a watch continues."""

    records: tuple[Record, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """One write of a transaction; `lease_id` 0 keeps the record for good."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(slots=True, frozen=True)
class CommitResult:
    """Outcome of a transaction.

    Attributes
    ----------
    revision : int
        Revision of the write; 0 if a condition did not hold.
    current : tuple of Record
        The records named in the conditions, if one did not hold.
    """

    revision: int
    current: tuple[Record, ...] = ()


class FleetStore(ABC):
    """The platform's store.

    Each Deferred fails with `StoreUnavailableError` without an answer, and
    with its subclass `StoreRefusedError` if the store did nothing.
    """

    @abstractmethod
    def read(self, key: str) -> Deferred:
        """Return the `Record`, or None if there is none."""

    @abstractmethod
    def list(self, prefix: str) -> Deferred:
        """Return the `Listing` of all records under `prefix`."""

    @abstractmethod
    def watch(self, prefix: str, revision: int, wait_ms: int) -> Deferred:
        """Return changes after `revision` as a `Listing`, empty after the wait.

        Fails with `HistoryGoneError` if the history is gone.
        """

    @abstractmethod
    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Deferred:
        """Write all or nothing; gives a `CommitResult`.

        `expected` maps keys to revisions, 0 for a key that must not exist.
        Fails with `LeaseEndedError` if a put names an ended lease.
        """

    @abstractmethod
    def open_lease(self, ttl_ms: int) -> Deferred:
        """Open a lease; gives its id."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> Deferred:
        """Renew a lease; fails with `LeaseEndedError` if it has ended."""

    @abstractmethod
    def end_lease(self, lease_id: int) -> Deferred:
        """End a lease and remove its records."""


class AdviceService(ABC):
    """The service that knows which workers may run a step."""

    @abstractmethod
    def advise(self, step: StepId, worker_ids: list[str]) -> Deferred:
        """Return the tickets of the workers that may run `step`, by worker id.

        Fails with `AdviceError` without an answer that can be used.
        """


class FleetWorkerClient(ABC):
    """Orders to workers.

    Each Deferred fails with `WorkerUnreachableError` without an answer (the
    order may still be carried out), with `OrderRefusedError` if the worker did
    nothing and with `WrongIncarnationError` if another life of the worker answered.
    """

    @abstractmethod
    def start(
        self, worker: WorkerEntry, order: StartOrder, until_ms: int, fencing_token: int
    ) -> Deferred:
        """Start a run with a lease until the worker's clock shows `until_ms`.

        Gives the worker's clock in ms; it tells whether the life that was meant
        has answered, since a later life may have the same id.
        """

    @abstractmethod
    def stop(self, worker: WorkerEntry, run: RunId, fencing_token: int) -> Deferred:
        """Stop a run."""

    @abstractmethod
    def throttle(
        self, worker: WorkerEntry, run: RunId, percent: int, fencing_token: int
    ) -> Deferred:
        """Let a run work at a share of its speed."""

    @abstractmethod
    def poll(
        self,
        worker: WorkerEntry,
        fencing_token: int,
        acknowledged: int,
        until_ms: int,
        wait_ms: int,
    ) -> Deferred:
        """Read both lists and renew the lease; gives a `PollResult`.

        Ends up to `acknowledged` are forgotten by the worker. `until_ms` 0
        renews nothing; `wait_ms` is how long the answer may wait for an end.
        """
