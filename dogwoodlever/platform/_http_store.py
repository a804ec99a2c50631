"""HTTP client of the platform's store."""

import json
from base64 import b64decode, b64encode
from urllib.parse import quote

import msgspec
from twisted.internet.defer import inlineCallbacks

from dogwoodlever._fleet_interfaces import (
    WATCH_MARGIN_S,
    CommitResult,
    FleetStore,
    Listing,
    Put,
    Record,
)
from dogwoodlever._http_client import NOT_SENT_ERRORS, HttpClient
from dogwoodlever._logs import log_event
from dogwoodlever.platform._wire_json import decode_json
from dogwoodlever.platform_errors import (
    HistoryGoneError,
    LeaseEndedError,
    PlatformError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnavailableError,
)

# A response begins after some milliseconds, and some hundreds when the store is slow;
# its next part arrives as soon on any link, while a page takes seconds on a slow one.
CALL_TIMEOUT_S = 0.8
# Malformed items that are named in the log.
NAMED_ITEMS_MAX = 100


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Standard base64.
    value: str = ""
    # Set for a key that was removed.
    tombstone: bool = False


class _Page(msgspec.Struct):
    # Revision of the store, not of an item.
    current_rev: int
    items: list[_Item] = []
    has_more: bool = False


class _Events(msgspec.Struct):
    current_rev: int
    events: list[_Item] = []


class _Committed(msgspec.Struct):
    revision: int


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: int


def _to_record(item: _Item) -> Record:
    if item.tombstone or not item.revision:
        return Record(item.key, None, item.revision)
    try:
        value = b64decode(item.value)
    except ValueError as error:
        raise PlatformError(f"store: value of {item.key}: {error}") from error
    return Record(item.key, value, item.revision)


def _to_records(items: list[_Item]) -> tuple[Record, ...]:
    """Return the records of a listing; one that cannot be read is empty."""
    records = []
    for item in items:
        try:
            records.append(_to_record(item))
        except PlatformError:
            records.append(Record(item.key, b"", item.revision))
    return tuple(records)


class HttpFleetStore(FleetStore):
    """HTTP client of the platform's store.

    Parameters
    ----------
    client : HttpClient
        HTTP client.
    address : str
        Host and port.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}"
        self.calls = 0
        # Malformed items that have been logged.
        self._named: set[str] = set()

    @inlineCallbacks
    def _call(self, method, path, document=None, timeout_s=CALL_TIMEOUT_S):
        self.calls += 1
        body = b"" if document is None else msgspec.json.encode(document)
        try:
            status, content = yield self._client.fetch(
                method,
                self._url + path,
                body,
                timeout_s,
                stall_timeout_s=CALL_TIMEOUT_S,
            )
        except NOT_SENT_ERRORS as error:
            raise StoreRefusedError(f"store {path}: {error!r}") from error
        except Exception as error:
            # Twisted's network errors share no base class but Exception.
            raise StoreUnavailableError(f"store {path}: {error!r}") from error
        if status in (429, 503):
            raise StoreRefusedError(f"store {path}: status {status}")
        return status, content

    @inlineCallbacks
    def read(self, key: str):
        """Return a Deferred that fires with the `Record` of `key`, or None."""
        status, content = yield self._call(b"GET", f"/-/kv-key?key={quote(key)}")
        if status == 404:
            return None
        return _to_record(_decode(content, _Item, status))

    def list_page(self, prefix: str, after: str = ""):
        """Read one page of the records under `prefix`."""
        path = f"/-/kv-range?prefix={quote(prefix)}"
        if after:
            path += f"&after={quote(after)}"
        return self._read_page(path)

    def list_stale(self, prefix: str):
        """Read the first page of the records under `prefix`, seconds old at most."""
        return self._read_page(f"/-/kv-range?prefix={quote(prefix)}&stale_ok=1")

    @inlineCallbacks
    def _read_page(self, path: str):
        status, content = yield self._call(b"GET", path)
        page = self._decode_page(content, _Page, status)
        next_after = page.items[-1].key if page.has_more and page.items else ""
        return Listing(_to_records(page.items), page.current_rev, next_after)

    def _decode_page(self, content: bytes, page_type, status: int):
        """Decode items that others have written, without those that are malformed."""
        try:
            return _decode(content, page_type, status)
        except PlatformError:
            if status != 200:
                raise
        try:
            document = json.loads(content.decode(errors="surrogateescape"))
            for field in {"items", "events"} & set(document):
                items = msgspec.convert(document[field], list)
                document[field] = list(filter(self._is_usable, items))
                if items and not document[field] and document.get("has_more"):
                    raise PlatformError("store: no usable key on a page before others")
            return msgspec.convert(document, page_type)
        except (ValueError, TypeError, RecursionError) as error:
            raise PlatformError(f"store: {error}") from error

    def _is_usable(self, item) -> bool:
        """Return whether an item can be decoded; if not, name it once."""
        try:
            msgspec.convert(item, _Item).key.encode()
        except ValueError as error:
            name = ascii(item)[:200]
            if name not in self._named and len(self._named) < NAMED_ITEMS_MAX:
                self._named.add(name)
                log_event("store.item-unreadable", item=name, why=str(error)[:160])
            return False
        return True

    @inlineCallbacks
    def watch(self, prefix: str, revision: int, wait_ms: int):
        """Wait for changes under `prefix` after `revision`."""
        path = f"/-/kv-watch?prefix={quote(prefix)}&after={revision}&wait_ms={wait_ms}"
        limit_s = wait_ms / 1000 + WATCH_MARGIN_S
        status, content = yield self._call(b"GET", path, timeout_s=limit_s)
        if status == 410:
            raise HistoryGoneError(f"no history of {prefix} after {revision}")
        events = self._decode_page(content, _Events, status)
        return Listing(_to_records(events.events), events.current_rev)

    @inlineCallbacks
    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ):
        """Write atomically."""
        document = {
            "expect": [
                {"key": key, "revision": revision} for key, revision in expected.items()
            ],
            "puts": [_encode_put(put) for put in puts],
            "deletes": list(deletes),
        }
        status, content = yield self._call(b"POST", "/-/kv-txn", document)
        if status == 404:
            raise LeaseEndedError("a write names an ended lease")
        if status == 412:
            current_items = _decode(content, _Conflict, 200).items
            return CommitResult(0, tuple(_to_record(item) for item in current_items))
        return CommitResult(_decode(content, _Committed, status).revision)

    @inlineCallbacks
    def open_lease(self, ttl_ms: int):
        """Open a lease of `ttl_ms`."""
        status, content = yield self._call(b"POST", "/-/kv-lease", {"ttl_ms": ttl_ms})
        return _decode(content, _Lease, status).lease

    @inlineCallbacks
    def renew_lease(self, lease_id: int):
        """Renew a lease."""
        status, _ = yield self._call(b"POST", f"/-/kv-keep/{lease_id}")
        _check_lease(status, lease_id)

    @inlineCallbacks
    def end_lease(self, lease_id: int):
        """End a lease."""
        status, _ = yield self._call(b"DELETE", f"/-/kv-lease-end/{lease_id}")
        _check_lease(status, lease_id)


def _encode_put(put: Put) -> dict:
    row = {"key": put.key, "value": b64encode(put.value).decode()}
    if put.lease_id:
        row["lease"] = put.lease_id
    return row


def _check_lease(status: int, lease_id: int) -> None:
    if status == 404:
        raise LeaseEndedError(f"lease {lease_id} has ended")
    if status >= 300:
        raise _error_class(status)(f"lease {lease_id}: status {status}")


def _error_class(status: int) -> type[PlatformError]:
    """Return the error of an unexpected status.

    One of a client error means that the call is wrong, and did nothing.
    """
    return StoreRejectedError if 400 <= status < 500 else PlatformError


def _decode(content: bytes, response_type, status: int):
    if status != 200:
        raise _error_class(status)(f"store: status {status}: {content[:200]!r}")
    try:
        return decode_json(content, response_type)
    except ValueError as error:
        raise PlatformError(f"store: {error}") from error
