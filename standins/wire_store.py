"""The store's calls in the platform's form on the wire, without sockets.

`WireStore` answers calls as HTTP statuses and documents; the stand-ins that listen on
sockets use it too. `WireStoreClient` takes the place of an `HttpClient` below an
`HttpFleetStore`, on a clock that tests advance, and injects the faults that they set.
"""

from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from enum import StrEnum
from urllib.parse import parse_qsl

import msgspec
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionLost, ConnectionRefusedError

from dogwoodlever._fleet_interfaces import Put, Record
from dogwoodlever.platform_errors import (
    LeaseEndedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from standins.fleet import STORE_DELAY_S, FleetRecords

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ENTRIES_MAX = 32
KEY_BYTES_MAX = 200
VALUE_BYTES_MAX = 1_048_576
# Keys that daemons may not write.
PROTECTED_PREFIXES = ("op/", "servers/")

Answer = tuple[int, dict]


class ConflictForm(StrEnum):
    """How a conflict (412) lists the keys of `expect` that do not exist."""

    LEFT_OUT = "left out"
    # As an item without a value.
    REVISION_0 = "revision 0"
    # With the revision of the removal; keys that never existed are left out.
    TOMBSTONES = "tombstones"


@dataclass(slots=True, frozen=True)
class WireCall:
    """One call of the store.

    Attributes
    ----------
    name : str
        Name in the path, such as ``kv-txn``.
    argument : str
        Rest of the path; the id of a lease.
    """

    name: str
    argument: str = ""
    query: dict[str, str] = field(default_factory=dict)
    document: dict = field(default_factory=dict)

    @classmethod
    def parse(cls, target: str, body: bytes = b"") -> "WireCall":
        """Return the call with this path and query."""
        path, _, query = target.partition("?")
        name, _, argument = path.removeprefix("/-/").partition("/")
        document = msgspec.json.decode(body) if body else {}
        pairs = parse_qsl(query, keep_blank_values=True)
        return cls(name, argument, dict(pairs), document)

    def writes_under(self, prefix: str) -> bool:
        """Return whether it is a transaction that writes a key under a prefix."""
        return any(key.startswith(prefix) for key in self.written_keys())

    def written_keys(self) -> list[str]:
        """Return the keys that a transaction puts or deletes."""
        puts = [row["key"] for row in self.document.get("puts", ())]
        return puts + list(self.document.get("deletes", ()))


def encode_item(record: Record) -> dict:
    """Return a record as it is listed."""
    if record.value is None:
        return {"key": record.key, "revision": record.revision, "tombstone": True}
    value = b64encode(record.value).decode()
    return {"key": record.key, "revision": record.revision, "value": value}


class WireStore:
    """The store's calls in the platform's form on the wire.

    Parameters
    ----------
    records : FleetRecords
        Contents of the store.
    page_items : int
        Most items on one page of a list.
    protected_prefixes : tuple of str
        Prefixes of keys that may not be written; none for the platform's operators.

    Attributes
    ----------
    conflict_form : ConflictForm
        How conflicts list keys that do not exist; may be changed at any time.
    lists_every_change : bool
        Watches list each change of a key, else only the last one.
    revisions_max : int
        Most revisions whose changes a watch lists in one answer; 0 for no limit.
    ended_lease_status : int
        Status of the answer if a lease is ended that has ended before.
    """

    def __init__(
        self,
        records: FleetRecords,
        page_items: int = PAGE_ITEMS,
        protected_prefixes: tuple[str, ...] = PROTECTED_PREFIXES,
    ) -> None:
        self.records = records
        self.page_items = page_items
        self.conflict_form = ConflictForm.LEFT_OUT
        self.lists_every_change = True
        self.revisions_max = 0
        self.ended_lease_status = 200
        self._protected_prefixes = protected_prefixes
        self._compacted = 0

    def compact(self) -> None:
        """Drop the history; watches from an older revision get status 410."""
        self._compacted = self.records.revision
        self.records.history.clear()

    def answer(self, call: WireCall) -> Answer | None:
        """Carry out a call; None if it is a watch of which nothing has changed."""
        serve = {
            "kv-key": self._read,
            "kv-range": self._list,
            "kv-watch": self._watch,
            "kv-txn": self._commit,
            "kv-lease": self._open_lease,
            "kv-keep": self._renew,
            "kv-lease-end": self._end_lease,
        }[call.name]
        try:
            return serve(call)
        except LeaseEndedError:
            return 404, {}

    def _read(self, call: WireCall) -> Answer:
        record = self.records.read(call.query["key"])
        return (404, {}) if record is None else (200, encode_item(record))

    def _list(self, call: WireCall) -> Answer:
        listing = self.records.list(call.query["prefix"])
        after = call.query.get("after", "")
        remaining = [record for record in listing.records if record.key > after]
        page = self._cut_page(remaining)
        return 200, {
            "current_rev": listing.revision,
            "items": page,
            "has_more": len(remaining) > len(page),
        }

    def _cut_page(self, records: list[Record]) -> list[dict]:
        """Return the items of the first records that fit a page."""
        page, size_bytes = [], 0
        for record in records[: self.page_items]:
            item = encode_item(record)
            size_bytes += len(item["value"])
            if page and size_bytes > PAGE_BYTES:
                break
            page.append(item)
        return page

    def _watch(self, call: WireCall) -> Answer | None:
        after = int(call.query.get("after", "0"))
        if after < self._compacted:
            return 410, {}
        answer = self.end_watch(call)
        return answer if answer[1]["events"] else None

    def end_watch(self, call: WireCall) -> Answer:
        """Answer a watch with what has changed, if anything has."""
        after = int(call.query.get("after", "0"))
        listing = self.records.list_changes(call.query["prefix"], after)
        records, current_revision = listing.records, listing.revision
        revisions = sorted({record.revision for record in records})
        if 0 < self.revisions_max < len(revisions):
            current_revision = revisions[self.revisions_max - 1]
            records = [r for r in records if r.revision <= current_revision]
        if not self.lists_every_change:
            last = {record.key: record for record in records}
            records = sorted(last.values(), key=lambda record: record.revision)
        events = [encode_item(record) for record in records]
        return 200, {"current_rev": current_revision, "events": events}

    def _commit(self, call: WireCall) -> Answer:
        document = call.document
        puts = tuple(
            Put(row["key"], b64decode(row["value"]), row.get("lease", 0))
            for row in document["puts"]
        )
        expected = {row["key"]: row["revision"] for row in document["expect"]}
        refusal = self._check(call, puts)
        if refusal is not None:
            return refusal
        result = self.records.commit(expected, puts, document["deletes"])
        if result.revision:
            return 200, {"revision": result.revision}
        return 412, {"items": self._list_conflict(result.current)}

    def _check(self, call: WireCall, puts: tuple[Put, ...]) -> Answer | None:
        """Return the refusal of a transaction that is beyond the limits."""
        written = call.written_keys()
        keys = [row["key"] for row in call.document["expect"]] + written
        if len(keys) > ENTRIES_MAX:
            return 400, {"error": f"over {ENTRIES_MAX} entries"}
        if any(len(key.encode()) > KEY_BYTES_MAX for key in keys):
            return 400, {"error": f"key over {KEY_BYTES_MAX} bytes"}
        if any(len(put.value) > VALUE_BYTES_MAX for put in puts):
            return 400, {"error": f"value over {VALUE_BYTES_MAX} bytes"}
        if any(key.startswith(self._protected_prefixes) for key in written):
            return 403, {"error": "protected key"}
        return None

    def _list_conflict(self, current: tuple[Record, ...]) -> list[dict]:
        items = []
        for record in current:
            if record.value is not None:
                items.append(encode_item(record))
            elif self.conflict_form is ConflictForm.REVISION_0:
                items.append({"key": record.key, "revision": 0})
            elif self.conflict_form is ConflictForm.TOMBSTONES:
                items.extend(self._find_tombstone(record.key))
        return items

    def _find_tombstone(self, key: str) -> list[dict]:
        for record in reversed(self.records.history):
            if record.key == key:
                return [encode_item(record)]
        return []

    def _open_lease(self, call: WireCall) -> Answer:
        ttl_ms = call.document["ttl_ms"]
        return 200, {"lease": self.records.open_lease(ttl_ms), "ttl_ms": ttl_ms}

    def _renew(self, call: WireCall) -> Answer:
        self.records.renew(int(call.argument))
        return 200, {}

    def _end_lease(self, call: WireCall) -> Answer:
        has_ended = not self.records.has_lease(int(call.argument))
        self.records.end_lease(int(call.argument))
        return (self.ended_lease_status if has_ended else 200), {}


class WireStoreClient:
    """HTTP client of one daemon whose calls reach a `WireStore`.

    ``HttpFleetStore(WireStoreClient(store, clock), "")`` is a store as daemons use it.
    Each call is carried out and answered after `STORE_DELAY_S` and `delay_s`; without
    an answer it fails after its timeout. The faults are named as on `FakeFleetStore`.

    Parameters
    ----------
    store : WireStore
        The store, shared by all daemons.
    clock : IReactorTime
        The daemon's clock, on which calls are made and answered.

    Attributes
    ----------
    is_down : bool
        Calls have no effect and get no answer.
    loses_answers : bool
        Calls take effect and get no answer.
    loses_renewals : bool
        Lease renewals have no effect and get no answer.
    answers_to_lose : int
        How many of the next transactions take effect without an answer.
    commit_delay_s : float or None
        If set, the next transaction gets no answer and takes effect after this delay,
        if its condition still holds.
    lost_prefix : str
        The last two concern transactions that write a key under this prefix only.
    statuses : dict of str to int
        Status of the answer by key, without effect, for transactions that write it.
    silent_prefixes : set of str
        Watches and lists of these prefixes get no answer.
    delay_s : float
        Further delay of each call.
    commits, watches : int
        Calls so far.
    """

    def __init__(self, store: WireStore, clock) -> None:
        self._store = store
        self._clock = clock
        self._cut_error: Exception | None = None
        self._open_calls: set[Deferred] = set()
        self.is_down = False
        self.loses_answers = False
        self.loses_renewals = False
        self.answers_to_lose = 0
        self.commit_delay_s: float | None = None
        self.lost_prefix = ""
        self.statuses: dict[str, int] = {}
        self.silent_prefixes: set[str] = set()
        self.delay_s = 0.0
        self.commits = 0
        self.watches = 0

    def cut_off(self, error: type[StoreUnavailableError]) -> None:
        """Cut this daemon off: open calls are reset, new ones fail with `error`.

        Connections are refused if it is `StoreRefusedError`, else reset.
        """
        is_refused = issubclass(error, StoreRefusedError)
        self._cut_error = ConnectionRefusedError() if is_refused else ConnectionLost()
        for response in list(self._open_calls):
            if not response.called:
                response.errback(ConnectionLost())

    def reconnect(self) -> None:
        """End a cut."""
        self._cut_error = None

    def fetch(
        self,
        method: bytes,
        url: str,
        body: bytes = b"",
        timeout_s: float = 0.0,
        headers: tuple = (),
        stall_timeout_s: float = 0.0,
    ) -> Deferred:
        """Make a call; return a Deferred of the status and the body of the answer."""
        if self._cut_error is not None:
            return fail(self._cut_error)
        call = WireCall.parse("/" + url.removeprefix("http://").partition("/")[2], body)
        self.commits += call.name == "kv-txn"
        self.watches += call.name == "kv-watch"
        response = self._open_call(timeout_s)
        delay_s = STORE_DELAY_S + self.delay_s
        if self.is_down or self._is_silent(call):
            return response
        if call.name == "kv-watch":
            self._clock.callLater(delay_s, self._watch, call, response)
            return response
        is_lost = self.loses_answers
        if call.name == "kv-txn" and call.writes_under(self.lost_prefix):
            if self.commit_delay_s is not None:
                is_lost, delay_s = True, self.commit_delay_s
                self.commit_delay_s = None
            elif self.answers_to_lose:
                is_lost = True
                self.answers_to_lose -= 1
        answered = Deferred() if is_lost else response
        self._clock.callLater(delay_s, self._carry_out, call, answered)
        return response

    def _open_call(self, timeout_s: float) -> Deferred:
        response: Deferred = Deferred()
        self._open_calls.add(response)
        timer = self._clock.callLater(timeout_s, self._time_out, response)

        def close(result):
            self._open_calls.discard(response)
            if timer.active():
                timer.cancel()
            return result

        return response.addBoth(close)

    @staticmethod
    def _time_out(response: Deferred) -> None:
        if not response.called:
            response.errback(TimeoutError("no response"))

    def _is_silent(self, call: WireCall) -> bool:
        if call.name == "kv-keep":
            return self.loses_renewals
        return call.query.get("prefix") in self.silent_prefixes

    def _carry_out(self, call: WireCall, response: Deferred) -> None:
        statuses = [self.statuses.get(key) for key in call.written_keys()]
        refused = next((status for status in statuses if status), None)
        if refused is None:
            self._respond(response, self._store.answer(call))
        else:
            self._respond(response, (refused, {"error": "refused by the test"}))

    def _watch(self, call: WireCall, response: Deferred) -> None:
        self._await_change(call, response)
        wait_s = int(call.query["wait_ms"]) / 1000
        self._clock.callLater(wait_s, self._answer_watch, call, response, True)

    def _await_change(self, call: WireCall, response: Deferred) -> None:
        if self._answer_watch(call, response):
            return
        self._store.records.notify_on_change(
            lambda: self._clock.callLater(
                STORE_DELAY_S, self._await_change, call, response
            )
        )

    def _answer_watch(
        self, call: WireCall, response: Deferred, is_due: bool = False
    ) -> bool:
        """Answer a watch if anything has changed or it is due; return if it ended."""
        if response.called:
            return True
        if self.is_down or self.loses_answers or self._is_silent(call):
            return True
        answer = self._store.answer(call)
        if answer is None and is_due:
            answer = self._store.end_watch(call)
        if answer is not None:
            self._respond(response, answer)
        return answer is not None

    @staticmethod
    def _respond(response: Deferred, answer: Answer) -> None:
        if not response.called:
            status, document = answer
            response.callback((status, msgspec.json.encode(document)))
