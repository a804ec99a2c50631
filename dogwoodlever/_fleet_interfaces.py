"""Platform interfaces of the fleet scheduler, implemented in `platform`."""

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
    """Record in the store.

    Attributes
    ----------
    value : bytes or None
        None for a removed record.
    revision : int
        Store revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class Listing:
    """Records under a prefix, or a page of them.

    Attributes
    ----------
    revision : int
        Revision of the store, from which a watch continues.
    next_after : str
        Key after which the next page begins; empty on the last page.
    """

    records: tuple[Record, ...]
    revision: int
    next_after: str = ""


@dataclass(slots=True, frozen=True)
class Put:
    """One write of a transaction; `lease_id` 0 means that it never expires."""

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
        If a condition did not hold, one record for each key of the conditions, in their
        order; those that do not exist have no value and revision 0.
    """

    revision: int
    current: tuple[Record, ...] = ()


# Time after the end of a watch's wait at which it fails without a response; a slow
# store takes some hundreds of milliseconds.
WATCH_MARGIN_S = 0.6


class FleetStore(ABC):
    """Client of the platform's store.

    Each Deferred fails with `StoreUnavailableError` without a response, and with
    its subclass `StoreRefusedError` if the store did not apply the call.
    """

    @abstractmethod
    def read(self, key: str) -> Deferred:
        """Return a Deferred that fires with the `Record`, or None."""

    @abstractmethod
    def list_page(self, prefix: str, after: str = "") -> Deferred:
        """Return a Deferred that fires with a `Listing`, one page of `prefix`.

        The page begins after the key `after`. Pages are not a snapshot; a watch from
        the revision of the first one misses no change. `StoreListing` reads them all.
        """

    @abstractmethod
    def list_stale(self, prefix: str) -> Deferred:
        """Return a Deferred that fires with a `Listing` that may be seconds old.

        It is the first page of `prefix`. The call does not count towards the store's
        limit of calls per second.
        """

    @abstractmethod
    def watch(self, prefix: str, revision: int, wait_ms: int) -> Deferred:
        """Return a Deferred that fires with the changes after `revision`.

        The `Listing` is empty if nothing changes within `wait_ms`. Without a response
        it fails `WATCH_MARGIN_S` after that. Fails with
        `HistoryGoneError` if the store no longer has the history.
        """

    @abstractmethod
    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Deferred:
        """Write atomically; return a Deferred that fires with a `CommitResult`.

        `expected` maps keys to revisions, 0 for a key that must not exist. If one of
        them does not hold, nothing is written and `CommitResult.current` has a record
        for each of these keys, which is what a repetition may expect.
        Fails with `LeaseEndedError` if a put names an ended lease.
        """

    @abstractmethod
    def open_lease(self, ttl_ms: int) -> Deferred:
        """Open a lease; return a Deferred that fires with its id."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> Deferred:
        """Renew a lease; fails with `LeaseEndedError` if it has ended."""

    @abstractmethod
    def end_lease(self, lease_id: int) -> Deferred:
        """End a lease and remove its records."""


class AdviceService(ABC):
    """Client of the service that decides which workers may run a step."""

    @abstractmethod
    def advise(self, step: StepId, worker_ids: list[str]) -> Deferred:
        """Return a Deferred that fires with the tickets of `step` by worker id.

        Workers that may not run the step are left out. Fails with `AdviceError`
        without a usable response.
        """


class FleetWorkerClient(ABC):
    """Client of the workers.

    Each Deferred fails with `WorkerUnreachableError` without a response (the
    order may still be carried out), with its subclass `CallNotSentError` if nothing was
    sent, with `OrderRefusedError` if the worker did nothing and with
    `WrongIncarnationError` if another worker responded.

    A call that changes something is sent only where the incarnation that the entry
    names has answered a poll, unless its start is not known. If another one under the
    same id answers instead, orders fail with `OtherIncarnationError`, and a poll
    returns the answer, without having changed anything.
    """

    @abstractmethod
    def start(
        self, worker: WorkerEntry, order: StartOrder, until_ms: int, fencing_token: int
    ) -> Deferred:
        """Start a run with a lease that expires at `until_ms` on the worker's clock.

        Returns a Deferred that fires with the worker's clock in ms. The clock
        shows whether the intended incarnation responded, since a later one may
        have the same id.
        """

    @abstractmethod
    def stop(self, worker: WorkerEntry, run: RunId, fencing_token: int) -> Deferred:
        """Stop a run."""

    @abstractmethod
    def throttle(
        self, worker: WorkerEntry, run: RunId, percent: int, fencing_token: int
    ) -> Deferred:
        """Limit a run to a percentage of its full speed."""

    @abstractmethod
    def poll(
        self,
        worker: WorkerEntry,
        fencing_token: int,
        acknowledged: int,
        until_ms: int,
        wait_ms: int,
    ) -> Deferred:
        """Read the running and ended runs, and renew the lease.

        Returns a Deferred that fires with a `PollResult`. The worker drops the ends
        up to number `acknowledged`. `until_ms` 0 does not renew the lease;
        `wait_ms` is how long the worker may wait for an end before it responds.
        """
