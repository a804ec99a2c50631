"""Tests of the store's stand-in in the platform's form on the wire."""

import unittest
from base64 import b64encode

import msgspec
from twisted.internet.task import Clock

from standins.fleet import FleetRecords
from standins.wire_store import ConflictForm, WireCall, WireStore, WireStoreClient
from tests.fleet_simulation import FleetSimulation, job


def transaction(expect=(), puts=(), deletes=()):
    """Return the body of a transaction; `puts` are rows of key, value and lease."""
    rows = [
        {"key": key, "value": b64encode(value).decode(), "lease": lease}
        for key, value, lease in puts
    ]
    expected = [{"key": key, "revision": revision} for key, revision in expect]
    return {"expect": expected, "puts": rows, "deletes": list(deletes)}


class WireStoreTest(unittest.TestCase):
    def setUp(self):
        self.records = FleetRecords(Clock())
        self.store = WireStore(self.records)

    def commit(self, *parts):
        document = transaction(*parts)
        return self.store.answer(WireCall("kv-txn", document=document))

    # Guards against a stand-in that lists more in a conflict than the platform does.
    def test_conflict_lists_absent_keys_by_its_form(self):
        for name in ("kept", "removed"):
            self.records.write(name, b"v")
        kept = self.records.read("kept")
        self.records.remove("removed")
        removed_revision = self.records.revision
        expect = [("removed", 1), ("kept", 1), ("never", 1)]
        absent = (
            (ConflictForm.LEFT_OUT, {}),
            (ConflictForm.REVISION_0, {"removed": 0, "never": 0}),
            (ConflictForm.TOMBSTONES, {"removed": removed_revision}),
        )
        for form, listed in absent:
            with self.subTest(form):
                self.store.conflict_form = form
                status, document = self.commit(expect)
                self.assertEqual(status, 412)
                items = {i["key"]: i["revision"] for i in document["items"]}
                self.assertEqual(items, {"kept": kept.revision} | listed)

    def test_transactions_beyond_the_limits_are_refused(self):
        put = ("k", b"v", 0)
        cases = (
            ("32 entries", ([(f"a{n}", 0) for n in range(30)], [put], ["d"]), 200),
            ("33 entries", ([(f"a{n}", 0) for n in range(31)], [put], ["d"]), 400),
            ("value of 1 MiB", ([], [("k", bytes(1 << 20), 0)]), 200),
            ("larger value", ([], [("k", bytes((1 << 20) + 1), 0)]), 400),
            ("key of 200 bytes", ([], [("k" * 200, b"", 0)]), 200),
            ("longer key", ([], [("é" * 101, b"", 0)]), 400),
            ("operator's key", ([], [("op/config", b"", 0)]), 403),
            ("entry of a worker", ([], [put], ["servers/w0"]), 403),
            ("condition on one", ([("op/config", 0)], [put]), 200),
            ("unknown lease", ([], [("k", b"v", 99)]), 404),
        )
        for name, parts, expected in cases:
            with self.subTest(name):
                revision = self.records.revision
                self.assertEqual(self.commit(*parts)[0], expected)
                self.assertEqual(self.records.revision > revision, expected == 200)


class WireStoreClientTest(unittest.TestCase):
    # Faults of the client, status or error of the answer, revision of the record after.
    FAULTS = [
        ("none", {}, 200, 2),
        ("down", {"is_down": True}, TimeoutError, 0),
        ("answers lost", {"loses_answers": True}, TimeoutError, 2),
        ("answer lost", {"answers_to_lose": 1}, TimeoutError, 2),
        ("late", {"commit_delay_s": 1.5}, TimeoutError, 2),
        ("of another key", {"answers_to_lose": 1, "lost_prefix": "l"}, 200, 2),
        ("slow", {"delay_s": 1.5}, TimeoutError, 2),
        ("refused", {"statuses": {"k": 413}}, 413, 0),
        ("another key refused", {"statuses": {"l": 413}}, 200, 2),
    ]

    def test_faults_of_transactions(self):
        for name, faults, expected, revision in self.FAULTS:
            with self.subTest(name):
                clock = Clock()
                records = FleetRecords(clock)
                client = WireStoreClient(WireStore(records), clock)
                for field, value in faults.items():
                    setattr(client, field, value)
                body = msgspec.json.encode(transaction(puts=[("k", b"v", 0)]))
                results = []
                call = client.fetch(b"POST", "http://s/-/kv-txn", body, 0.8)
                call.addBoth(results.append)
                clock.advance(1.0)
                clock.advance(1.0)
                if isinstance(expected, int):
                    self.assertEqual(results[0][0], expected)
                else:
                    self.assertTrue(results[0].check(expected))
                record = records.read("k")
                self.assertEqual(record.revision if record else 0, revision)

    def test_daemons_run_jobs(self):
        fleet = FleetSimulation(has_wire_store=True)
        fleet.run_for(2.0)
        fleet.submit(0, job("a" * 16))
        fleet.run_for(4.0)
        self.assertEqual(str(fleet.read_phase(1, "a" * 16)), "completed")


if __name__ == "__main__":
    unittest.main()
