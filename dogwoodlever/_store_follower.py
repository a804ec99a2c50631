"""Local copy of the shared records, kept up to date by polling the store."""

from collections.abc import Callable
from enum import StrEnum

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._interfaces import Entry, Store, WriteResult
from dogwoodlever._logs import log_event
from dogwoodlever._record_keys import INBOX_PREFIX, LIVE_PREFIX
from dogwoodlever.platform_errors import StoreUnavailableError

READ_BACK_INTERVAL_S = 0.5
# Pause between the attempts of a write while reads are answered; a lost answer is
# followed by the second attempt at once.
WRITE_INTERVAL_S = 0.5


class SwapOutcome(StrEnum):
    """Outcome of a compare-and-swap."""

    COMMITTED = "committed"
    CONFLICT = "conflict"


class StoreFollower:
    """Poll the versions of the shared records, and load those that changed.

    Parameters
    ----------
    store : Store
        Key-value store of the platform.
    clock : IReactorTime
        Reactor clock.

    Attributes
    ----------
    entries : dict of str to Entry
        Records by key.
    inbox : dict of str to int
        Versions by key of the jobs and cancellations that wait in the inboxes
        of cells.
    """

    def __init__(self, store: Store, clock) -> None:
        self._store = store
        self._clock = clock
        self._is_polling = False
        self._entry_listeners: list[Callable[[str, Entry | None], None]] = []
        self._poll_listeners: list[Callable[[float], None]] = []
        self.entries: dict[str, Entry] = {}
        self.inbox: dict[str, int] = {}

    def on_entry(self, listener: Callable[[str, Entry | None], None]) -> None:
        """Call `listener` with key and entry of each change; None if deleted."""
        self._entry_listeners.append(listener)

    def on_consistent_poll(self, listener: Callable[[float], None]) -> None:
        """Call `listener` after each consistent poll, with the time it was sent.

        A poll is consistent if the entries then held are those of one store
        revision.
        """
        self._poll_listeners.append(listener)

    @inlineCallbacks
    def poll(self):
        """List the versions and load the changed records; one poll at a time."""
        if self._is_polling:
            return
        self._is_polling = True
        try:
            yield self._poll_once()
        except StoreUnavailableError as error:
            log_event("store.unavailable", error=error)
        finally:
            self._is_polling = False

    @inlineCallbacks
    def _poll_once(self):
        sent_s = self._clock.seconds()
        versions = yield self._store.list_versions(LIVE_PREFIX)
        # Only the owner of a cell reads the records in its inbox.
        self.inbox = {k: v for k, v in versions.items() if k.startswith(INBOX_PREFIX)}
        versions = {k: v for k, v in versions.items() if k not in self.inbox}
        for key in sorted(set(self.entries) - set(versions)):
            self._drop(key)
        consistent = True
        for key, version in sorted(versions.items()):
            held = self.entries.get(key)
            if held is not None and held.version >= version:
                consistent = consistent and held.version == version
                continue
            entry = yield self._store.read(key)
            consistent = consistent and entry is not None and entry.version == version
            if entry is not None:
                self.offer(key, entry)
        if consistent:
            for listener in self._poll_listeners:
                listener(sent_s)

    def _drop(self, key: str) -> None:
        del self.entries[key]
        for listener in self._entry_listeners:
            listener(key, None)

    def offer(self, key: str, entry: Entry) -> bool:
        """Store an entry if it is newer than the held one; return whether it is."""
        held = self.entries.get(key)
        if held is not None and held.version >= entry.version:
            return False
        self.entries[key] = entry
        for listener in self._entry_listeners:
            listener(key, entry)
        return True

    def version(self, key: str) -> int:
        """Return the version held of `key`, or 0 without an entry."""
        entry = self.entries.get(key)
        return 0 if entry is None else entry.version

    @inlineCallbacks
    def swap(self, key: str, value: bytes, expected_version: int):
        """Write by compare-and-swap; resolve a lost response by reading back.

        Returns
        -------
        Deferred
            Fires with a `SwapOutcome`; waits while the store is unavailable.
        """
        failures = 0
        while True:
            try:
                result = yield self._store.write(key, value, expected_version)
            except StoreUnavailableError as error:
                log_event("store.answer_lost", key=key, error=error)
                found = yield self.read_back(key)
                found_version = 0 if found is None else found.version
                if found_version == expected_version:
                    # Not written so far. Repeating is safe: both attempts
                    # expect the same version, so at most one takes effect.
                    failures += 1
                    yield self.pause_after(failures)
                    continue
                result = WriteResult(found is not None and found.value == value, found)
            self._apply_written(key, result)
            return SwapOutcome.COMMITTED if result.committed else SwapOutcome.CONFLICT

    def pause_after(self, failures: int) -> Deferred:
        """Wait before a write is repeated, of which so many attempts have failed."""
        return deferLater(self._clock, WRITE_INTERVAL_S if failures > 1 else 0.0)

    @inlineCallbacks
    def read_back(self, key: str):
        """Read a record, retrying until the store answers."""
        while True:
            try:
                entry = yield self._store.read(key)
                return entry
            except StoreUnavailableError:
                yield deferLater(self._clock, READ_BACK_INTERVAL_S)

    @inlineCallbacks
    def try_swap(self, key: str, value: bytes, expected_version: int):
        """Write by compare-and-swap, with a single attempt.

        Returns
        -------
        Deferred
            Fires with a `WriteResult`.

        Raises
        ------
        StoreUnavailableError
            If the outcome is unknown.
        """
        result = yield self._store.write(key, value, expected_version)
        self._apply_written(key, result)
        return result

    def _apply_written(self, key: str, result: WriteResult) -> None:
        """Hold what a write has shown of a shared record, which may be gone."""
        if not key.startswith(LIVE_PREFIX) or key.startswith(INBOX_PREFIX):
            return
        if result.entry is not None:
            self.offer(key, result.entry)
        elif key in self.entries:
            self._drop(key)

    @inlineCallbacks
    def delete_from_inbox(self, key: str, version: int):
        """Delete a key of the inbox.

        Returns
        -------
        Deferred
            Fires with whether the key was deleted.
        """
        try:
            deleted = yield self._store.delete(key, version)
        except StoreUnavailableError as error:
            log_event("store.unavailable", key=key, error=error)
            return False
        return deleted

    def read(self, key: str):
        """Read a record outside the shared ones.

        Returns
        -------
        Deferred
            Fires with its `Entry`, or None if the key is absent.
        """
        return self._store.read(key)
