"""Tests of the store's stand-in in the platform's form on the wire."""

import unittest
from base64 import b64encode

import msgspec
from twisted.internet.task import Clock

from standins.fleet import FleetRecords
from standins.wire_store import ConflictForm, WireCall, WireStore, WireStoreClient
from tests.fleet_simulation import CONFIGURATION, FleetSimulation, job


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

    def watch(self, after):
        query = {"prefix": "", "after": str(after)}
        document = self.store.answer(WireCall("kv-watch", query=query))[1]
        events = [(e["key"], e["revision"]) for e in document["events"]]
        return events, document["current_rev"]

    def test_watches_list_changes_as_chosen(self):
        revision = self.records.revision
        for key in ("a", "b", "a"):
            self.records.write(key, b"v")
        # choices, events and revision of the answer, both counted from the first one
        for choices, expected, current in (
            ({}, [("a", 1), ("b", 2), ("a", 3)], 3),
            ({"lists_every_change": False}, [("b", 2), ("a", 3)], 3),
            ({"revisions_max": 2}, [("a", 1), ("b", 2)], 2),
        ):
            with self.subTest(choices):
                self.store = WireStore(self.records)
                for field, value in choices.items():
                    setattr(self.store, field, value)
                events, current_revision = self.watch(revision)
                self.assertEqual([(k, r - revision) for k, r in events], expected)
                self.assertEqual(current_revision, revision + current)

    def test_changes_of_a_transaction_have_one_revision_or_each_its_own(self):
        for shares_revision, revisions in ((True, [1, 1, 1]), (False, [1, 2, 3])):
            with self.subTest(shares_revision):
                self.records.shares_revision = shares_revision
                self.records.write("gone", b"v")
                before = self.records.revision
                puts = [("a", b"v", 0), ("b", b"v", 0)]
                _, document = self.commit([], puts, ["gone"])
                events, current_revision = self.watch(before)
                self.assertEqual([r - before for _, r in events], revisions)
                self.assertEqual(document["revision"], current_revision)

    def test_pages_are_cut_by_items_and_bytes(self):
        for number in range(5):
            self.records.write(f"k{number}", bytes(300_000))
        for page_items, sizes in ((500, [2, 2, 1]), (1, [1] * 5)):
            with self.subTest(page_items=page_items):
                self.store.page_items = page_items
                after, found = "", []
                while len(found) < len(sizes):
                    query = {"prefix": "k", "after": after}
                    page = self.store.answer(WireCall("kv-range", query=query))[1]
                    found.append(len(page["items"]))
                    after = page["items"][-1]["key"]
                    is_last = len(found) == len(sizes)
                    self.assertEqual(page["has_more"], not is_last)
                self.assertEqual(found, sizes)


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


class ChoicesTest(unittest.TestCase):
    """Daemons work with each choice that the platform's description leaves open."""

    CHOICES = [
        ("as usual", {}, True),
        ("conflicts with revision 0", {"conflict_form": ConflictForm.REVISION_0}, True),
        ("tombstones", {"conflict_form": ConflictForm.TOMBSTONES}, True),
        ("last change of a key", {"lists_every_change": False}, True),
        ("changes one by one", {"revisions_max": 1}, True),
        ("small pages", {"page_items": 2}, True),
        ("ended lease unknown", {"ended_lease_status": 404}, True),
        ("a revision for each change", {}, False),
    ]

    def test_jobs_go_on_with_another_leader(self):
        for name, choices, shares_revision in self.CHOICES:
            with self.subTest(name):
                fleet = FleetSimulation(has_wire_store=True)
                fleet.records.shares_revision = shares_revision
                for field, value in choices.items():
                    setattr(fleet.wire_store, field, value)
                fleet.run_for(2.0)
                former = fleet.leader()
                jobs = [letter * 16 for letter in "abcde"]
                for job_id in jobs[:4]:
                    fleet.submit((former + 1) % 3, job(job_id, steps=2))
                fleet.run_for(1.2)
                fleet.kill(former)
                fleet.configure({**CONFIGURATION, "version": 2})
                fleet.run_for(6.0)
                self.assertIsNotNone(fleet.leader())
                fleet.submit((former + 1) % 3, job(jobs[4]))
                fleet.run_for(6.0)
                phases = [str(fleet.read_phase((former + 2) % 3, i)) for i in jobs]
                self.assertEqual(phases, ["completed"] * 5)
                listed = [w.ended for w in fleet.workers.workers.values()]
                self.assertEqual(listed, [[], [], []])
                self.assertEqual(fleet.workers.duplicate_starts, [])


if __name__ == "__main__":
    unittest.main()
