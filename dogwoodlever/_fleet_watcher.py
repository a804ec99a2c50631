"""Watches the records under a prefix of the store."""

from collections.abc import Callable, Iterable

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from dogwoodlever._fleet_interfaces import WATCH_MARGIN_S, FleetStore, Record
from dogwoodlever._logs import log_event
from dogwoodlever._store_listing import StoreListing
from dogwoodlever.platform_errors import (
    HistoryGoneError,
    PlatformError,
    StoreRefusedError,
)

# Longest wait of a watch. An open connection that carries nothing any more is noticed
# `WATCH_MARGIN_S` later.
WATCH_WAIT_MS = 1_500
# Least time from one call to the next one if the store does not answer, or refuses.
RETRY_S = 0.15
RETRY_REFUSED_S = 0.3
# Share of the time in which a change has to be applied that is left for what follows a
# call that got no answer: another such call, refused ones, a late process.
ROOM_SHARE = 0.5
WATCH_WAIT_MIN_MS = 100
# An answer of this size takes so long on a slow link that several versions of a record
# may be written meanwhile.
LARGE_ANSWER_BYTES = 32_768
# Longest time for which the records of a listing are reported before other events are
# handled. A new leader reads thousands of jobs, which take a second of a core.
REPORT_SLICE_S = 0.05


class PrefixWatcher:
    """Lists a prefix, then watches it; lists again when the history is gone.

    Parameters
    ----------
    store : FleetStore
        The platform's store.
    clock : IReactorTime
        Reactor clock.
    prefix : str
        Prefix of the keys.
    on_change : callable
        Called with each changed `Record`, without a value if it was removed. If it
        returns False, the record is refused, and the versions before it that a listing
        has left out are reported after it.
    on_listed : callable
        Called after each complete listing has been applied.
    pause_s : float
        Delay from a response to the next watch, which batches the changes.
    apply_limit_s : float
        Time in which a change has to be applied, also if the connection on which the
        store would report it carries nothing any more; infinite for no limit. With a
        limit, the records are listed rather than watched while they change fast: the
        answer to a watch holds each version in full, that of a listing the newest.
        After a refused call they are also read as they may have been seconds ago.

    Attributes
    ----------
    responded_s, sent_s : float
        Time of the last response of the store, and of the call that it belongs to.
        What was applied was the newest state at some time after `sent_s`.
    wait_ms : int
        Time for which a call waits for a change.
    """

    def __init__(
        self,
        store: FleetStore,
        clock,
        prefix: str,
        on_change: Callable[[Record], None],
        on_listed: Callable[[], None] = lambda: None,
        pause_s: float = 0.0,
        apply_limit_s: float = float("inf"),
    ) -> None:
        self._store = store
        self._clock = clock
        self.prefix = prefix
        self._on_change = on_change
        self._on_listed = on_listed
        self._pause_s = pause_s
        self._revisions: dict[str, int] = {}
        self._revision = 0
        # Listing of which not all pages have been read.
        self._listing: StoreListing | None = None
        self._is_closed = False
        self._timer = None
        self._has_limit = apply_limit_s < float("inf")
        # Whether the next call lists, although the history is known.
        self._lists_next = False
        self._wait_max_ms = _find_wait_max_ms(apply_limit_s)
        self.wait_ms = self._wait_max_ms
        self.responded_s = float("-inf")
        self.sent_s = float("-inf")
        self.is_connected = False

    @property
    def revision(self) -> int:
        """Revision of the store up to which all changes have been reported; or 0."""
        return self._revision

    def set_apply_limit(self, apply_limit_s: float) -> None:
        """Set the time in which a change has to be applied."""
        self._has_limit = apply_limit_s < float("inf")
        self._wait_max_ms = _find_wait_max_ms(apply_limit_s)
        self.wait_ms = min(self.wait_ms, self._wait_max_ms)

    def limit_wait(self, wait_s: float | None) -> None:
        """Limit the wait of the next calls; None for no limit but the usual one."""
        self.wait_ms = self._wait_max_ms
        if wait_s is not None:
            self.wait_ms = min(self._wait_max_ms, int(wait_s * 1000))

    def open(self) -> None:
        """Start watching."""
        self._poll_store()

    def close(self) -> None:
        """Stop watching."""
        self._is_closed = True
        if self._listing is not None:
            self._listing.close()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @inlineCallbacks
    def _poll_store(self):
        sent_s = self._clock.seconds()
        try:
            if self._revision and not self._lists_next:
                yield self._watch()
            else:
                yield self._list()
        except HistoryGoneError:
            self._revision = 0
            self._schedule(0.0)
            return
        except PlatformError as error:
            self._on_disconnected(error)
            # Many versions may have been written since the last answer.
            self._lists_next = self._has_limit
            is_refused = isinstance(error, StoreRefusedError)
            if is_refused and self._has_limit:
                self._read_stale()
            # A call that was given up has waited for long already.
            interval_s = RETRY_REFUSED_S if is_refused else RETRY_S
            spent_s = self._clock.seconds() - sent_s
            self._schedule(max(0.0, interval_s - spent_s))
            return
        except Exception as error:
            # Whatever has failed, later changes have to be seen.
            log_event("watch.failed", prefix=self.prefix, why=repr(error)[:200])
            self._schedule(RETRY_S)
            return
        self.sent_s = sent_s
        self._on_connected()
        self._schedule(self._pause_s)

    def _schedule(self, delay_s: float) -> None:
        if not self._is_closed:
            self._timer = self._clock.callLater(delay_s, self._poll_store)

    def _on_disconnected(self, error: PlatformError) -> None:
        if self.is_connected:
            self.is_connected = False
            log_event("store.lost", prefix=self.prefix, why=str(error)[:160])

    def _on_connected(self) -> None:
        self.responded_s = self._clock.seconds()
        if not self.is_connected:
            self.is_connected = True
            log_event("store.regained", prefix=self.prefix, revision=self._revision)

    @inlineCallbacks
    def _list(self):
        if self._listing is None:
            self._listing = StoreListing(self._store, self.prefix)
        listing = yield self._listing.read()
        self._listing = None
        if self._is_closed:
            return
        self._lists_next = self._should_list(listing.records)
        listed_keys = {record.key for record in listing.records}
        for key in set(self._revisions) - listed_keys:
            self._apply(Record(key, None, listing.revision))
        refused = yield self._apply_all(listing.records)
        if self._is_closed:
            return
        former_revision, self._revision = self._revision, listing.revision
        if refused and former_revision:
            yield self._read_history(former_revision, {r.key for r in refused})
        self._on_listed()

    @inlineCallbacks
    def _read_stale(self):
        """Apply what is new in a stale listing.

        The store may refuse calls for their number a second, but not this one.
        """
        try:
            listing = yield self._store.list_stale(self.prefix)
        except PlatformError:
            # The next call, soon, reports the cause.
            return
        for record in listing.records:
            # An earlier record may have been removed since.
            if record.revision > self._revision and not self._is_closed:
                self._apply(record)

    @inlineCallbacks
    def _read_history(self, revision: int, keys: set[str]):
        """Report the versions that a listing has left out of records that are refused.

        An earlier one may be the newest that can be used.
        """
        try:
            listing = yield self._store.watch(self.prefix, revision, 0)
        except PlatformError as error:
            log_event("history.unread", prefix=self.prefix, why=str(error)[:160])
            return
        for record in listing.records:
            if record.key in keys and not self._is_closed:
                self._report(record)

    @inlineCallbacks
    def _watch(self):
        # After an outage the first watch must not wait for a change.
        wait_ms = self.wait_ms if self.is_connected else 0
        listing = yield self._store.watch(self.prefix, self._revision, wait_ms)
        if self._is_closed:
            return
        self._lists_next = self._should_list(listing.records)
        for record in listing.records:
            self._apply(record)
        self._revision = max(self._revision, listing.revision)

    def _should_list(self, records: Iterable[Record]) -> bool:
        """Return whether a watch after this answer might return many versions."""
        if not self._has_limit:
            return False
        changed = [
            record
            for record in records
            if record.revision > self._revisions.get(record.key, 0)
        ]
        if len({record.key for record in changed}) < len(changed):
            return True
        size_bytes = sum(len(record.value or b"") for record in changed)
        return size_bytes >= LARGE_ANSWER_BYTES

    @inlineCallbacks
    def _apply_all(self, records: Iterable[Record]):
        """Report the records of a listing in slices, with other events in between.

        Returns a Deferred that fires with the records that were refused.
        """
        refused = []
        slice_end_s = self._clock.seconds() + REPORT_SLICE_S
        for record in records:
            if self._clock.seconds() >= slice_end_s:
                yield deferLater(self._clock, 0.0)
                slice_end_s = self._clock.seconds() + REPORT_SLICE_S
            if self._is_closed:
                break
            if not self._apply(record):
                refused.append(record)
        return refused

    def _apply(self, record: Record) -> bool:
        """Report a record if it is new; return whether it was not refused."""
        known_revision = self._revisions.get(record.key, 0)
        if record.revision <= known_revision:
            return True
        if record.value is None:
            if self._revisions.pop(record.key, None) is None:
                return True
        else:
            self._revisions[record.key] = record.revision
        return self._report(record)

    def _report(self, record: Record) -> bool:
        try:
            return self._on_change(record) is not False
        except Exception as error:
            # One unreadable record must not end the watch of the others.
            log_event("record.failed", key=record.key, why=repr(error)[:200])
            return True


def _find_wait_max_ms(apply_limit_s: float) -> int:
    """Return the longest wait of a watch whose changes have to be applied in time."""
    limit_ms = (apply_limit_s * (1 - ROOM_SHARE) - WATCH_MARGIN_S) * 1000
    return round(max(WATCH_WAIT_MIN_MS, min(WATCH_WAIT_MS, limit_ms)))
