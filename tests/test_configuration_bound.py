"""Time from the write of a version of the configuration until it is in force."""

import unittest
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.task import Clock

from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever.platform._http_store import HttpFleetStore
from standins.fleet import FleetRecords
from standins.fleet_http import _item

APPLY_S = 2.0
STEP_S = 0.01
ANSWER_S = 0.004


class SilencedClient:
    """HTTP client of a store with one kept connection, which can fall silent.

    A call on a silent connection gets no answer. Once it is given up, the next one
    opens a connection that works.
    """

    def __init__(self, clock, records):
        self._clock = clock
        self._records = records
        self.is_silent = False
        self.calls = 0

    def fetch(self, _method, url, _body, timeout_s, stall_timeout_s=0.0):
        self.calls += 1
        call = Deferred()
        timer = self._clock.callLater(timeout_s, self._time_out, call)
        call.addBoth(lambda result: (timer.active() and timer.cancel(), result)[1])
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        until_s = self._clock.seconds() + int(query.get("wait_ms", 0)) / 1000
        if not self.is_silent:
            self._clock.callLater(ANSWER_S, self._answer, call, parts, query, until_s)
        return call

    def _time_out(self, call):
        self.is_silent = False
        call.errback(TimeoutError())

    def _answer(self, call, parts, query, until_s):
        if call.called or self.is_silent:
            return
        if parts.path.endswith("range"):
            listing, field = self._records.list(query["prefix"]), "items"
        else:
            after = int(query["after"])
            listing, field = (
                self._records.list_changes(query["prefix"], after),
                "events",
            )
            if not listing.records and self._clock.seconds() < until_s:
                delay_s = min(STEP_S, until_s - self._clock.seconds())
                arguments = call, parts, query, until_s
                self._clock.callLater(delay_s, self._answer, *arguments)
                return
        items = [_item(record) for record in listing.records]
        body = {"current_rev": listing.revision, field: items}
        call.callback((200, msgspec.json.encode(body)))


class ConfigurationBoundTest(unittest.TestCase):
    def measure_lag_s(self, silent_after_s, written_after_s):
        """Return the time from a version's write until its record is applied."""
        clock = Clock()
        records = FleetRecords(clock)
        records.write("op/config", b"1")
        client = SilencedClient(clock, records)
        applied_s = {}
        watcher = PrefixWatcher(
            HttpFleetStore(client, "store"),
            clock,
            "op/",
            lambda record: applied_s.setdefault(record.value, clock.seconds()),
            apply_limit_s=APPLY_S,
        )
        watcher.open()
        clock.pump([STEP_S] * round(5.0 / STEP_S))
        clock.pump([STEP_S] * round(silent_after_s / STEP_S))
        client.is_silent = True
        clock.pump([STEP_S] * round(written_after_s / STEP_S))
        written_s = clock.seconds()
        records.write("op/config", b"2")
        clock.pump([STEP_S] * round(4.0 / STEP_S))
        return applied_s[b"2"] - written_s

    # Guards against a watch on a connection that carries nothing any more, which was
    # noticed 2.1 s after it was sent and repeated 0.15 s later.
    def test_connection_that_falls_silent(self):
        lags_s = [
            self.measure_lag_s(silent / 10, written / 10)
            for silent in range(12)
            for written in range(0, 24, 3)
        ]
        # Leaves time for the answer on a busy link and for a busy process.
        self.assertLessEqual(max(lags_s), APPLY_S - 0.3)


if __name__ == "__main__":
    unittest.main()
