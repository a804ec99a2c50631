"""Store process of an emulation: ``python -m emulator.store LOG OPTIONS``."""

import bisect
import json
import random
import time
from base64 import b64encode

from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from dogwoodlever._fleet_interfaces import Listing, Record
from dogwoodlever._fleet_records import LEADER_KEY, decode_leader
from dogwoodlever.platform_errors import LeaseEndedError
from emulator.process import EventLog, Exchange, HttpPort, run_process
from standins.changing_queues import OTHER_SERVICE, SERVICE
from standins.faulty_proxy import LinkFault
from standins.fleet import FleetRecords
from standins.invalid_versions import (
    INVALID_BYTES,
    INVALID_VERSIONS,
    UNUSUAL_VALID_VERSIONS,
    encode_version,
)
from standins.queue_places import USUAL_HOST, format_place
from standins.rate_limit import RateLimit
from standins.wire_store import PAGE_ITEMS, WireCall, WireStore, encode_item

ANSWER_S = 0.004
EXPIRY_INTERVAL_S = 0.05
BEAT_LAPSE_S = 4.5
WRITE_CALLS = frozenset({"kv-txn", "kv-lease", "kv-lease-end"})
# A renewal counts as this part of a read.
RENEWAL_PRICE = 0.1
# Share of the calls that get 429 from a store that turns a daemon away so.
MANY_SHARE = 0.8


class EmulatedRecords(FleetRecords):
    """Records whose changes are found without reading the whole history."""

    def __init__(self, clock) -> None:
        super().__init__(clock)
        # Times of the changes in `history`.
        self.times_s: list[float] = []

    def _append_change(self, record: Record) -> None:
        self.times_s.append(time.monotonic())
        super()._append_change(record)

    def forget_history(self) -> None:
        """Drop all changes before this moment."""
        self.history.clear()
        self.times_s.clear()

    def read_stale(self, key: str, age_s: float) -> Record | None:
        """Return a record as it was `age_s` ago, as far as the history goes back."""
        count = bisect.bisect_right(self.times_s, time.monotonic() - age_s)
        former = [r for r in self.history[:count] if r.key == key]
        if former:
            return former[-1] if former[-1].value is not None else None
        return self.read(key)

    def list_changes(self, prefix: str, revision: int) -> Listing:
        """Return the changes under a prefix after a revision."""
        first = bisect.bisect_right(self.history, revision, key=lambda r: r.revision)
        found = [r for r in self.history[first:] if r.key.startswith(prefix)]
        return Listing(tuple(found), self.revision)

    def list(self, prefix: str) -> Listing:
        """Return all records under a prefix."""
        keys = sorted(key for key in self.records if key.startswith(prefix))
        return Listing(tuple(self.records[key] for key in keys), self.revision)


class EmulatedStore:
    """The platform's store, with a port for each daemon and one for workers."""

    def __init__(self, log: EventLog, report, options: dict) -> None:
        self._log = log
        self._report = report
        self._random = random.Random(f"store/{options['seed']}")
        self.records = EmulatedRecords(reactor)
        self._transactions = WireStore(self.records)
        self._ports = [
            HttpPort(lambda exchange, n=number: self._serve(n, exchange))
            for number in range(options["daemons"])
        ]
        self._beats_port = HttpPort(self._accept_beat)
        self._busy: set[int] = set()
        # Daemons most of whose calls get 429.
        self._limited: set[int] = set()
        rates = options.get("reads_per_s", 0.0), options.get("writes_per_s", 0.0)
        self._reads, self._writes = (RateLimit(rate, time.monotonic) for rate in rates)
        # Watches hear of no changes, and stale reads are this old.
        self._is_deaf = False
        self._stale_s = 0.0
        self._delay_s = 0.0
        self._loss_share = 0.0
        self._loss_delay_s = 0.0
        self._compacted = 0
        self._beats: dict[str, float] = {}
        self._waiting: list[tuple[str, int, Exchange]] = []
        self._leader_revision = -1
        # The newest valid version that has routes.
        self._document: dict = {}
        self.configure(1, [], {}, {})
        LoopingCall(self._expire).start(EXPIRY_INTERVAL_S)
        self._watch_changes()
        report(
            "listening",
            ports=[port.port for port in self._ports],
            beats=self._beats_port.port,
        )

    # Commands

    def configure(
        self,
        version: int,
        queues: list[str],
        fields: dict[str, dict],
        limits: dict[str, int],
        form: str = "",
    ) -> None:
        """Write a version of the configuration.

        It has these queues besides the usual ones, and these fields in place of those
        of some queues. It may be of an unusual form.
        """
        document = _make_document(version, queues, fields, limits)
        if form:
            document = UNUSUAL_VALID_VERSIONS[form](document)
        if document["routes"]:
            self._document = document
        self.records.write("op/config", encode_version(document))
        routes = document["routes"]
        places = [format_place(route["host"], route["prefix"]) for route in routes]
        services = {
            route["name"]: route["service"]
            for route in routes
            if route["service"] != SERVICE
        }
        limits = document.get("limits") or {}
        limits = {name: value for name, value in limits.items() if value}
        attempts, timeouts_ms = (
            {route["name"]: route[name] for route in routes if route.get(name)}
            for name in ("max_attempts", "timeout_ms")
        )
        self._log.write(
            "configuration", version=version, queues=places, services=services,
            limits=limits, form=form, attempts=attempts, timeouts_ms=timeouts_ms,
        )  # fmt: skip
        self._report("configured", queues=places, limits=limits)

    def write_invalid(self, version: int, form: str) -> None:
        """Write a version that must not be put into force."""
        self._log.write("invalid-configuration", version=version, form=form)
        if form in INVALID_BYTES:
            content = INVALID_BYTES[form]
        else:
            document = self._document | {"version": version}
            content = encode_version(INVALID_VERSIONS[form](document))
        self.records.write("op/config", content)
        self._report("invalid-configured")

    def write(self, key: str, value: str) -> None:
        """Write a record as an operator does; an empty value removes it."""
        if value:
            self.records.write(key, value.encode())
        else:
            self.records.remove(key)

    def cut(self, daemons: list[int], fault: str) -> None:
        """Set the fault of the daemons' links to the store.

        `busy` means status 503, `many` status 429 for most calls.
        """
        for number in daemons:
            self._busy.discard(number)
            self._limited.discard(number)
            if fault == "busy":
                self._busy.add(number)
            elif fault == "many":
                self._limited.add(number)
            else:
                self._ports[number].inject(LinkFault(fault))

    def silence_connections(self) -> None:
        """Let all open connections of daemons carry nothing any more."""
        self._log.write("silenced")
        for port in self._ports:
            port.silence_connections()

    def silence_some(self, daemons: list[int], share: float) -> None:
        """Let a share of the open connections of some daemons carry nothing."""
        for number in daemons:
            for connection in sorted(self._ports[number].connections, key=id):
                if self._random.random() < share:
                    connection.is_silent = True

    def limit_links(self, bytes_per_s: float) -> None:
        """Limit the bandwidth of each daemon's link from the store."""
        for port in self._ports:
            port.bytes_per_s = bytes_per_s

    def set_delay(self, delay_s: float) -> None:
        """Set the additional delay of all calls."""
        self._delay_s = delay_s

    def lose(self, share: float, delay_s: float) -> None:
        """Lose a share of the answers; lost writes take effect up to `delay_s` late."""
        self._loss_share, self._loss_delay_s = share, delay_s

    def pause_leases(self, paused: bool) -> None:
        """Pause the expiry of leases, or let it go on."""
        self.records.is_lease_expiry_paused = paused

    def compact(self) -> None:
        """Drop the history."""
        self._compacted = self.records.revision
        self.records.forget_history()

    def deafen(self, stale_s: float) -> None:
        """Let watches hear of no changes, and stale reads be `stale_s` old."""
        self._is_deaf = True
        self._stale_s = stale_s

    def compact_deaf(self) -> None:
        """Drop the history and cut the watches that have heard nothing."""
        self._is_deaf = False
        self._stale_s = 0.0
        self.compact()
        waiting, self._waiting = self._waiting, []
        for _, _, exchange in waiting:
            exchange.reset()

    def remove_leader(self) -> None:
        """Remove the leader's record; its lease goes on."""
        self.records.remove(LEADER_KEY)

    def dump(self, jobs: list[str]) -> None:
        """Log the records of some jobs."""
        for key, record in self.records.records.items():
            if any(job in key for job in jobs):
                value = b64encode(record.value).decode()
                self._log.write("record", key=key, value=value)

    # Entries of workers

    def _accept_beat(self, exchange: Exchange) -> None:
        for worker_id, entry in exchange.body.items():
            key = f"servers/{worker_id}"
            if entry is None:
                self._beats.pop(worker_id, None)
                self.records.remove(key)
                continue
            self._beats[worker_id] = time.monotonic()
            value = json.dumps(entry).encode()
            known = self.records.read(key)
            if known is None or known.value != value:
                self.records.write(key, value)
        exchange.respond(200)

    def _expire(self) -> None:
        self.records.expire()
        now_s = time.monotonic()
        for worker_id, beat_s in list(self._beats.items()):
            if now_s - beat_s > BEAT_LAPSE_S:
                del self._beats[worker_id]
                self.records.remove(f"servers/{worker_id}")

    # Calls of daemons

    def _watch_changes(self) -> None:
        self.records.notify_on_change(self._on_change)

    def _on_change(self) -> None:
        self._watch_changes()
        changed = self.records.history[-1]
        if changed.key == LEADER_KEY:
            value = changed.value
            member = "" if value is None else decode_leader(value).member
            self._log.write("leader", revision=changed.revision, member=member)
            self._report("leader", member=member, revision=changed.revision)
        if self._is_deaf:
            return
        waiting = self._waiting
        self._waiting = [row for row in waiting if not changed.key.startswith(row[0])]
        for prefix, after, exchange in waiting:
            if changed.key.startswith(prefix):
                reactor.callLater(ANSWER_S, self._send_events, prefix, after, exchange)

    def _serve(self, number: int, exchange: Exchange) -> None:
        if number in self._busy:
            exchange.respond(503)
            return
        is_node_limited = number in self._limited
        if is_node_limited and self._random.random() < MANY_SHARE:
            exchange.respond(429)
            return
        if not self._is_within_rates(exchange):
            self._log.write("over-rate", daemon=number, path=exchange.path)
            exchange.respond(429)
            return
        is_write = exchange.path == "/-/kv-txn"
        if self._loss_share and self._random.random() < self._loss_share:
            exchange.drop()
            if is_write and self._random.random() < 0.5:
                delay_s = self._random.uniform(0.0, self._loss_delay_s)
                reactor.callLater(delay_s, self._route, exchange)
                return
        reactor.callLater(ANSWER_S + self._delay_s, self._route, exchange)

    def _is_within_rates(self, exchange: Exchange) -> bool:
        """Count a call; return whether all daemons together may make it."""
        name = exchange.path.split("/")[2]
        if name in WRITE_CALLS:
            return self._writes.take()
        if exchange.query.get("stale_ok") == "1":
            return True
        return self._reads.take(RENEWAL_PRICE if name == "kv-keep" else 1.0)

    def _route(self, exchange: Exchange) -> None:
        name, _, argument = exchange.path.removeprefix("/-/").partition("/")
        serve = {
            "kv-key": self._read,
            "kv-range": self._list,
            "kv-watch": self._watch,
            "kv-txn": self._commit,
            "kv-lease": self._open_lease,
            "kv-keep": self._renew,
            "kv-lease-end": self._end_lease,
        }[name]
        try:
            serve(exchange, argument)
        except LeaseEndedError:
            exchange.respond(404)

    def _read(self, exchange: Exchange, _argument: str) -> None:
        key = exchange.query["key"]
        if exchange.query.get("stale_ok") == "1":
            record = self.records.read_stale(key, self._stale_s)
        else:
            record = self.records.read(key)
        exchange.respond(*((404, {}) if record is None else (200, encode_item(record))))

    def _list(self, exchange: Exchange, _argument: str) -> None:
        listing = self.records.list(exchange.query["prefix"])
        if exchange.query.get("stale_ok") == "1":
            keys = [record.key for record in listing.records]
            former = [self.records.read_stale(key, self._stale_s) for key in keys]
            records = tuple(record for record in former if record is not None)
            listing = Listing(records, listing.revision)
        after = exchange.query.get("after", "")
        remaining = [record for record in listing.records if record.key > after]
        page = {
            "current_rev": listing.revision,
            "items": [encode_item(record) for record in remaining[:PAGE_ITEMS]],
            "has_more": len(remaining) > PAGE_ITEMS,
        }
        exchange.respond(200, page)

    def _watch(self, exchange: Exchange, _argument: str) -> None:
        prefix, after = exchange.query["prefix"], int(exchange.query["after"])
        if after < self._compacted:
            exchange.respond(410)
        elif not self._is_deaf and self.records.list_changes(prefix, after).records:
            self._send_events(prefix, after, exchange)
        else:
            row = (prefix, after, exchange)
            self._waiting.append(row)
            wait_s = int(exchange.query.get("wait_ms", "0")) / 1000
            reactor.callLater(wait_s, self._end_watch, row)

    def _end_watch(self, row) -> None:
        if row in self._waiting:
            self._waiting.remove(row)
            self._send_events(*row)

    def _send_events(self, prefix: str, after: int, exchange: Exchange) -> None:
        if after < self._compacted:
            exchange.respond(410)
            return
        if self._is_deaf:
            exchange.respond(200, {"current_rev": after, "events": []})
            return
        listing = self.records.list_changes(prefix, after)
        events = [encode_item(record) for record in listing.records]
        document = {"current_rev": listing.revision, "events": events}
        exchange.respond(200, document)

    def _commit(self, exchange: Exchange, _argument: str) -> None:
        call = WireCall("kv-txn", document=exchange.body)
        exchange.respond(*self._transactions.answer(call))

    def _open_lease(self, exchange: Exchange, _argument: str) -> None:
        ttl_ms = exchange.body["ttl_ms"]
        lease = self.records.open_lease(ttl_ms)
        exchange.respond(200, {"lease": lease, "ttl_ms": ttl_ms})

    def _renew(self, exchange: Exchange, lease: str) -> None:
        self.records.renew(int(lease))
        exchange.respond(200)

    def _end_lease(self, exchange: Exchange, lease: str) -> None:
        self.records.end_lease(int(lease))
        exchange.respond(200)


def _make_document(version, queues, fields, limits) -> dict:
    """Return a version with the usual queues and others."""
    rows = [("price", 0, 1.5, 250, 3), ("month", 2, 2.0, 1000, 3)]
    rows.append(("watch", 0, 2.2, 2500, 4))
    rows.extend((name, 1, 2.0, 500, 3) for name in queues)
    routes = [
        {
            "name": name, "host": USUAL_HOST, "prefix": f"/{name}/",
            "service": SERVICE, "priority": priority, "stretch": stretch,
            "slo_ms": slo_ms, "max_attempts": attempts, **fields.get(name, {}),
        }
        for name, priority, stretch, slo_ms, attempts in rows
    ]  # fmt: skip
    services = [
        {"name": name, "enforces_capacity": True} for name in (SERVICE, OTHER_SERVICE)
    ]
    document = {"version": version, "routes": routes, "services": services}
    return document | ({"limits": limits} if limits else {})


if __name__ == "__main__":
    run_process(EmulatedStore)
