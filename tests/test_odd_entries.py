"""A record that cannot be used costs nothing but what it describes."""

import copy
import gc
import json
import math
import unittest
from ipaddress import IPv4Address
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

import msgspec
import returns.result
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from dogwoodlever import _fleet_desired_state, _fleet_workers
from dogwoodlever._fleet_desired_state import DesiredState
from dogwoodlever._fleet_interfaces import Record
from dogwoodlever._fleet_job import JobPhase, JobProgress, StepProgress
from dogwoodlever._fleet_records import (
    CANCELS_PREFIX,
    INTERFERENCE_KEY,
    JOBS_PREFIX,
    LEADER_KEY,
    PROGRESS_PREFIX,
    TERM_KEY,
    WORKER_MEMBERSHIP_KEY,
    TermRecord,
    WorkerMembershipRecord,
    decode_interference,
    decode_leader,
    decode_progress,
    decode_submission,
    decode_term,
    decode_worker_membership,
    encode,
    job_key,
    progress_key,
)
from dogwoodlever._fleet_rpc import UNSTORED_METHOD
from dogwoodlever._fleet_types import RunId, StartOrder, StepId, TaskId
from dogwoodlever._fleet_watcher import PrefixWatcher
from dogwoodlever._interference_model import InterferenceModel
from dogwoodlever._messages import RpcRequest
from dogwoodlever._slowdown import ModelState
from dogwoodlever._store_listing import StoreListing
from dogwoodlever.fleet_errors import SubmissionError
from dogwoodlever.platform import (
    CONFIGURATION_KEY,
    HttpAdviceService,
    HttpFleetStore,
    HttpFleetWorkerClient,
    _http_store,
    decode_configuration,
    decode_worker,
    read_node_file,
)
from dogwoodlever.platform._wire_job import decode_job
from dogwoodlever.platform_errors import (
    AdviceError,
    OrderRefusedError,
    PlatformError,
    StoredRecordError,
    WorkerUnreachableError,
)
from standins.fleet import server_record
from tests.fleet_simulation import (
    CONFIGURATION,
    QUEUE,
    FleetSimulation,
    job,
    worker_entry,
)

JOB = "a" * 16
OTHER_JOB = "b" * 16
DRAINING = "draining"


def entry_document(entry, state="ready", **changed):
    """Return the record of a worker with some fields replaced."""
    document = msgspec.json.decode(server_record(entry, state))
    return msgspec.json.encode(document | changed)


def number(digits):
    """Return a number that the encoder of msgspec refuses."""
    return msgspec.Raw(str(digits).encode())


# No record holds them, or no float.
LARGE_NUMBERS = (2**64, 10**30, 10**400)


def capacity(**amounts):
    return {"capacity": {"cpu": 8000, "mem_mb": 64_000, "gpu": 0} | amounts}


# Fields of a worker's entry, by where their values are used later.
ODD_NUMBERS = [
    ("cores beyond the range of floats", capacity(cpu=number(10**400))),
    ("cores beyond 64 bits", capacity(cpu=number(2**64))),
    ("cores below 0", capacity(cpu=-1)),
    ("memory beyond the range of floats", capacity(mem_mb=number(10**400))),
    ("memory below 0", capacity(mem_mb=-1)),
    ("accelerators beyond the range of floats", capacity(gpu=number(10**400))),
    ("accelerators below 0", capacity(gpu=-1)),
    ("start beyond 64 bits", {"born": number(2**64)}),
    ("start beyond the range of floats", {"born": number(10**400)}),
    ("start below 0", {"born": -1}),
    ("warm-up beyond the range of floats", {"cold_remaining_ms": number(10**400)}),
    ("drain time beyond the range of floats", {"remaining_ms": number(10**400)}),
]

# Addresses that no connection can be made to, or only after a look-up of a name.
ODD_ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:1" + "0" * 400,
    "127.0.0.1:1" + "0" * 5000,
    "127.0.0.1:+9009",
    "127.0.0.1: 9009",
    "127.0.0.1:9009\n",
    "127.0.0.1:9_009",
    "127.0.0.1:\u0669\u0660\u0660\u0669",
    "127.0.0.1:9009.0",
    "127.0.0.1:",
    "127.0.0.1",
    ":9009",
    "",
    "desk.example:9009",
    "localhost:9009",
    "[::1]:9009",
    "::1:9009",
    "127.1:9009",
    "127.0.0.1:1:9009",
    "127.0.0.1/x:9009",
    "127.0.0.1\r\nHost: x:9009",
    " 127.0.0.1:9009",
    "127.0.0.1\x00:9009",
    "\u0661\u0662\u0667.0.0.1:9009",
    "0177.0.0.1:9009",
    "a" * 300 + ":9009",
]

# Ids that no header names, or that name another worker once they are in one.
ODD_WORKER_IDS = [
    "",
    " ",
    " w0",
    "w0 ",
    "w0\t",
    "w0\x00",
    "w0\n",
    "w0\r\nContent-Length: 0",
    "w0\x7f",
    "w\u0660",
    "\u00a0w0",
    "\ud800",
]

# Arrays and objects in a field that is ignored; the parser is recursive.
NESTED = [
    ("arrays", b"[" * 5_000 + b"]" * 5_000),
    ("objects", b'{"a":' * 5_000 + b"1" + b"}" * 5_000),
    ("arrays that are not closed", b"[" * 500_000),
]


def nest(document, nested):
    """Add a nested field to an encoded object."""
    return (
        document[:-1] + (b"," if len(document) > 2 else b"") + b'"x":' + nested + b"}"
    )


class FakeHttpClient:
    """Responds to each call with the next body, and to later ones with the last."""

    def __init__(self, status, *contents):
        self.responses = [(status, content) for content in contents]
        self.urls = []

    def fetch(
        self, method, url, body=b"", timeout_s=0.0, headers=(), stall_timeout_s=0.0,
        label=None, read_label=None,
    ):  # fmt: skip
        self.urls.append(url)
        return succeed(self.responses[min(len(self.urls), len(self.responses)) - 1])


def result(deferred):
    """Return the result of a Deferred that has fired; raise its error."""
    results = []
    deferred.addBoth(results.append)
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


class NestedDocumentTest(unittest.TestCase):
    """The layer that decodes a document reports the error of that layer."""

    WORKER = worker_entry(0)
    RUN = RunId(TaskId(JOB, 0, 0, 0), 1)
    # Status of the response, call and expected error.
    CALLS = [
        ("read", 200, lambda c: HttpFleetStore(c, "").read("k"), PlatformError),
        (
            "list",
            200,
            lambda c: StoreListing(HttpFleetStore(c, ""), "k").read(),
            PlatformError,
        ),
        ("watch", 200, lambda c: HttpFleetStore(c, "").watch("k", 1, 0), PlatformError),
        ("commit", 200, lambda c: HttpFleetStore(c, "").commit({}, ()), PlatformError),
        ("refusal", 412, lambda c: HttpFleetStore(c, "").commit({}, ()), PlatformError),
        ("lease", 200, lambda c: HttpFleetStore(c, "").open_lease(1), PlatformError),
        (
            "start",
            200,
            lambda c: HttpFleetWorkerClient(c).start(
                NestedDocumentTest.WORKER, StartOrder(NestedDocumentTest.RUN, ""), 1, 1
            ),
            WorkerUnreachableError,
        ),
        (
            "stop",
            409,
            lambda c: HttpFleetWorkerClient(c).stop(
                NestedDocumentTest.WORKER, NestedDocumentTest.RUN, 1
            ),
            OrderRefusedError,
        ),
        (
            "poll",
            200,
            lambda c: HttpFleetWorkerClient(c).poll(
                NestedDocumentTest.WORKER, 1, 0, 0, 0
            ),
            PlatformError,
        ),
        (
            "advice",
            200,
            lambda c: HttpAdviceService(c, "").advise(StepId(JOB, 0, 0), ["w0"]),
            AdviceError,
        ),
    ]

    # RecursionError passed all layers: polls, watches and requests for advice ended.
    def test_response(self):
        for name, status, call, expected in self.CALLS:
            for kind, nested in NESTED:
                with self.subTest(name, kind=kind), self.assertRaises(expected):
                    result(call(FakeHttpClient(status, nest(b"{}", nested))))

    def test_record_and_submission(self):
        entry = entry_document(self.WORKER)
        configuration = msgspec.json.encode(CONFIGURATION)
        for kind, nested in NESTED:
            with self.subTest("entry", kind=kind), self.assertRaises(PlatformError):
                decode_worker("w0", nest(entry, nested))
            with self.subTest("version", kind=kind), self.assertRaises(PlatformError):
                decode_configuration(nest(configuration, nested))
            with self.subTest("job", kind=kind), self.assertRaises(SubmissionError):
                decode_job(JOB, QUEUE, 1, nest(b'{"spec":"","steps":[{}]}', nested))

    def test_settings_file(self):
        for kind, opening, closing in (("arrays", "[", "]"), ("tables", "{a=", "}")):
            with self.subTest(kind), TemporaryDirectory() as folder:
                path = Path(folder, "node.toml")
                path.write_text(f"x = {opening * 5_000}1{closing * 5_000}")
                self.assertIsInstance(read_node_file(path), returns.result.Failure)

    # Writes that depend on the newest record failed until a usable version came.
    def test_configuration_that_is_in_force_stays(self):
        state = DesiredState(lambda: None)
        configuration = msgspec.json.encode(CONFIGURATION)
        state.apply_record(Record(CONFIGURATION_KEY, configuration, 5))
        for revision, (kind, nested) in enumerate(NESTED, 6):
            with self.subTest(kind):
                value = nest(configuration, nested)
                state.apply_record(Record(CONFIGURATION_KEY, value, revision))
                self.assertEqual(state.configuration.version, 1)
                self.assertEqual(state.configuration.revision, revision)


class WorkerEntryTest(unittest.TestCase):
    ENTRY = FleetSimulation(daemons=0, workers=1).workers.workers["w0"].entry

    # An odd number was read, and failed where the leader calculated with it.
    def test_odd_number_is_malformed(self):
        for name, changed in ODD_NUMBERS:
            field = next(iter(changed))
            with self.subTest(name), self.assertRaisesRegex(PlatformError, field):
                decode_worker("w0", entry_document(self.ENTRY, **changed))

    # A port that is out of range, or a host that is no address, was polled for ever.
    def test_odd_address_is_malformed(self):
        for address in ODD_ADDRESSES:
            with (
                self.subTest(address[:40]),
                self.assertRaisesRegex(PlatformError, "address"),
            ):
                decode_worker("w0", entry_document(self.ENTRY, address=address))

    def test_any_port_of_the_protocol_is_read(self):
        for port in (1, 80, 65535):
            value = entry_document(self.ENTRY, address=f"10.128.0.9:{port}")
            entry = decode_worker("w0", value)
            self.assertEqual((entry.host, entry.port), ("10.128.0.9", port))

    # An id ended the header that names it, or named another worker there.
    def test_odd_id_is_malformed(self):
        for worker_id in ODD_WORKER_IDS:
            with (
                self.subTest(repr(worker_id)),
                self.assertRaisesRegex(PlatformError, "id"),
            ):
                decode_worker(worker_id, entry_document(self.ENTRY))
        for worker_id in ("w0", "a/b", "i-1:2", "w 0", "w" * 192):
            with self.subTest(worker_id):
                entry = decode_worker(worker_id, entry_document(self.ENTRY))
                self.assertEqual(entry.worker_id, worker_id)

    def test_largest_numbers_are_read(self):
        large = capacity(cpu=2**63 - 1, mem_mb=2**63 - 1, gpu=2**63 - 1)
        value = entry_document(self.ENTRY, born=2**63 - 1, **large)
        self.assertEqual(decode_worker("w0", value).cores_milli, 2**63 - 1)


class StorePageTest(unittest.TestCase):
    """An item of a page that cannot be decoded is left out, and named once."""

    GOOD = b'{"key":"servers/w1","revision":7,"value":"YQ=="}'
    RECORD = Record("servers/w1", b"a", 7)
    # Items, and the records that they give.
    ITEMS = [
        (b'{"key":"servers/w0","revision":6,"value":"YQ="}', True),
        (b'{"key":"servers/w0","revision":6,"value":"a"}', True),
        (b'{"key":"servers/w0","revision":6,"value":"\xc3\xa9"}', True),
        (b'{"key":"\xff","revision":6,"value":"YQ=="}', False),
        (b'{"key":"\\ud800","revision":6,"value":"YQ=="}', False),
        (b'{"key":"\\udc80","revision":6,"value":"YQ=="}', False),
        (b'{"key":5,"revision":6,"value":"YQ=="}', False),
        (b'{"key":"servers/w0","revision":"6","value":"YQ=="}', False),
        (b'{"key":"servers/w0","revision":6,"value":5}', False),
        (b'{"key":"servers/w0","value":"YQ=="}', False),
        (b'{"revision":6}', False),
        (b'{"key":null,"revision":6}', False),
        (b"[]", False),
        (b"5", False),
        (b"null", False),
    ]
    # An empty listing would stand for the removal of all records.
    MALFORMED = [
        b"",
        b"[]",
        b"5",
        b"{",
        b'{"items":5}',
        b'{"current_rev":"a"}',
        b'{"current_rev":9,"items":"a"}',
        b'{"current_rev":9,"items":{"a":1}}',
        b'{"current_rev":9,"items":null}',
        b'{"current_rev":9,"items":[{"key":5}],"has_more":true}',
    ]

    def pages(self):
        """Yield pages with an odd item, and the expected records."""
        for item, is_record in self.ITEMS:
            odd = (Record("servers/w0", b"", 6),) if is_record else ()
            for items in ([item, self.GOOD], [self.GOOD, item]):
                expected = (self.RECORD, *odd)
                if items[0] is item:
                    expected = (*odd, self.RECORD)
                yield item, b",".join(items), expected

    # One item ended the watch of a prefix, or its page was requested for ever.
    def test_odd_item_costs_nothing_but_itself(self):
        for item, items, expected in self.pages():
            for field, call in (
                (b"items", lambda store: StoreListing(store, "servers/").read()),
                (b"events", lambda store: store.watch("servers/", 1, 0)),
            ):
                with self.subTest(item, field=field):
                    content = b'{"current_rev":9,"%s":[%s]}' % (field, items)
                    listing = result(
                        call(HttpFleetStore(FakeHttpClient(200, content), ""))
                    )
                    self.assertEqual(listing.records, expected)
                    self.assertEqual(listing.revision, 9)

    def test_next_page_begins_after_a_usable_key(self):
        page = b'{"current_rev":9,"has_more":true,"items":[%s,{"key":"\\ud800"}]}'
        client = FakeHttpClient(200, page % self.GOOD, b'{"current_rev":9,"items":[]}')
        result(StoreListing(HttpFleetStore(client, ""), "servers/").read())
        self.assertTrue(client.urls[1].endswith("&after=servers/w1"))

    def test_malformed_page_is_an_error_of_the_store(self):
        for content in self.MALFORMED:
            store = HttpFleetStore(FakeHttpClient(200, content), "")
            with self.subTest(content), self.assertRaises(PlatformError):
                result(StoreListing(store, "servers/").read())

    def test_unreadable_value_of_one_record_is_an_error_of_the_store(self):
        content = b'{"key":"k","revision":6,"value":"YQ="}'
        with self.assertRaises(PlatformError):
            result(HttpFleetStore(FakeHttpClient(200, content), "").read("k"))

    def test_odd_item_is_named_once(self):
        content = b'{"current_rev":9,"items":[%s,{"key":5}]}' % self.GOOD
        store = HttpFleetStore(FakeHttpClient(200, content), "")
        with patch.object(_http_store, "log_event") as logged:
            for _ in range(3):
                result(StoreListing(store, "servers/").read())
        self.assertEqual(logged.call_count, 1)
        self.assertIn("key", logged.call_args.kwargs["item"])

    def test_watch_goes_on_after_any_page(self):
        contents = [
            b'{"current_rev":9,"%s":[%s]}' % (field, items)
            for _, items, _ in self.pages()
            for field in (b"items", b"events")
        ]
        last = b'{"current_rev":11,"%s":[{"key":"servers/w2","revision":10}]}'
        for content in (*contents, *self.MALFORMED):
            with self.subTest(content):
                clock = Clock()
                clock.advance(100.0)
                client = FakeHttpClient(200, content, last % b"items", last % b"events")
                watcher = PrefixWatcher(
                    HttpFleetStore(client, ""),
                    clock,
                    "servers/",
                    lambda record: None,
                    pause_s=0.1,
                )
                watcher.open()
                clock.pump([0.2] * 5)
                self.assertGreater(len(client.urls), 3)
                self.assertEqual(watcher._revision, 11)
                watcher.close()


class SubmissionTest(unittest.TestCase):
    """A submission that cannot be stored or held in memory is malformed."""

    NOW_MS = 1_767_000_000_000
    # Fields of a job, and what the message names.
    ODD = [
        *(
            ({"steps": [{field: number(value)}]}, field)
            for field in (
                "cpu",
                "mem_mb",
                "gpu",
                "est_runtime_ms",
                "max_per_server",
                "target_ms",
                "may_miss",
            )
            for value in LARGE_NUMBERS
        ),
        *(
            ({field: number(value)}, field)
            for field in ("repeat_count", "first_run_ms", "interval_ms")
            for value in LARGE_NUMBERS
        ),
        ({"repeat_count": -1}, "repeat_count"),
        ({"repeat_count": 5, "interval_ms": -1}, "interval_ms"),
        ({"steps": [{"max_per_server": -1}]}, "max_per_server"),
        ({"steps": [{"may_miss": -1}]}, "may_miss"),
        ({"steps": [{"est_runtime_ms": number("1e300")}]}, "est_runtime_ms"),
        ({"steps": [{"count": 100_000}] * 2}, "tasks"),
        ({"steps": [{"count": 100_000}] * 1_000}, "tasks"),
        ({"repeat_count": 10**12}, "tasks"),
        ({"repeat_count": 10**12, "first_run_ms": NOW_MS + 10**6}, "tasks"),
        ({"repeat_count": 10**12, "interval_ms": 1}, "tasks"),
        (
            {
                "repeat_count": 10**6,
                "interval_ms": 1_000,
                "first_run_ms": NOW_MS - 10**8,
                "steps": [{}, {}],
            },
            "tasks",
        ),
    ]
    ACCEPTED = [
        {"steps": [{"count": 100_000}]},
        {"steps": [{"count": 50_000}] * 2},
        {"steps": [{"cpu": 2**63 - 1, "est_runtime_ms": number("1e18")}]},
        {"repeat_count": 10**6, "interval_ms": 1_000, "first_run_ms": NOW_MS},
        {"repeat_count": 10**6, "interval_ms": 1_000, "first_run_ms": NOW_MS + 10**9},
        {"repeat_count": 2, "first_run_ms": NOW_MS},
    ]

    def decode(self, fields):
        document = {"spec": "", "steps": [{}]} | fields
        return decode_job(JOB, QUEUE, self.NOW_MS, msgspec.json.encode(document))

    # A number that no record holds failed as an error of the daemon, and the tasks of
    # one job exceeded the memory of each leader in turn.
    def test_odd_submission_is_malformed(self):
        for fields, named in self.ODD:
            with (
                self.subTest(f"{fields!r:.70}"),
                self.assertRaisesRegex(SubmissionError, named),
            ):
                self.decode(fields)

    def test_largest_submissions_are_stored(self):
        for fields in self.ACCEPTED:
            with self.subTest(f"{fields!r:.70}"):
                submitted = self.decode(fields)
                self.assertEqual(decode_submission(encode(submitted)), submitted)


class WorkerAnswerTest(unittest.TestCase):
    """An answer of a worker that cannot be used counts as none."""

    WORKER = worker_entry(0)
    RUNNING = [f"{JOB}.0.1.2", 3, "00ab", 41, 350]
    ENDED = [7, f"{JOB}.0.1.2", 3, "done", ""]
    NUMBERS = [
        ("beyond the range of floats", number(10**400)),
        ("beyond 64 bits", number(2**64)),
        ("below 0", -1),
        ("text", "5"),
        ("true", True),
        ("missing", None),
    ]
    TASKS = [
        "",
        JOB,
        f"{JOB}.0.1",
        f"{JOB}.0.1.-1",
        f"{JOB}.0.1.+2",
        f"{JOB}.0.1. 2",
        f"{JOB}.0.1.2\n",
        f"{JOB}.0.1.0_2",
        f"{JOB}.0.1.\u0662",
        f"{JOB}.0.1.2.0x",
        f"{JOB}.0.1." + "1" * 5_000,
        5,
    ]

    def poll(self, running=(), ended=(), **fields):
        document = {"clock_ms": 5, "running": running, "ended": ended} | fields
        client = FakeHttpClient(200, msgspec.json.encode(document))
        worker_client = HttpFleetWorkerClient(client)
        return result(worker_client.poll(self.WORKER, 1, 0, 0, 0))

    def rows(self):
        """Yield a name and the parts of an answer, one of which is odd."""
        for name, value in self.NUMBERS:
            for field in ("clock_ms", "born"):
                yield f"{field} {name}", {field: value}
            for column in (1, 3, 4):
                if name != "below 0" or column < 3:
                    row = [*self.RUNNING[:column], value, *self.RUNNING[column + 1 :]]
                    yield f"running[{column}] {name}", {"running": [row]}
            for column in (0, 2):
                row = [*self.ENDED[:column], value, *self.ENDED[column + 1 :]]
                yield f"ended[{column}] {name}", {"ended": [row]}
        for task in self.TASKS:
            yield f"running {task!r:.40}", {"running": [[task, *self.RUNNING[1:]]]}
            yield f"ended {task!r:.40}", {"ended": [[7, task, *self.ENDED[2:]]]}
        for value in (5, None, ["a"]):
            yield f"checkpoint {value!r}", {"running": [[*self.RUNNING[:2], value, 1]]}
            yield f"outcome {value!r}", {"ended": [[*self.ENDED[:3], value, ""]]}
            yield (
                f"checkpoint {value!r} of an end",
                {"ended": [[*self.ENDED[:4], value]]},
            )
        yield "short row of a run", {"running": [self.RUNNING[:3]]}
        yield "short row of an end", {"ended": [self.ENDED[:4]]}
        yield "no row of a run", {"running": [5]}

    # An odd clock ended the polls, an odd start time stood for another incarnation,
    # whose runs started elsewhere, and an odd load failed in later calculations.
    def test_odd_poll_is_malformed(self):
        for name, parts in self.rows():
            with self.subTest(name), self.assertRaises(PlatformError):
                self.poll(**parts)

    def test_poll(self):
        polled = self.poll([self.RUNNING, self.RUNNING[:4]], [self.ENDED], born=9)
        run = RunId(TaskId(JOB, 0, 1, 2), 3)
        self.assertEqual(polled.started_at_ms, 9)
        self.assertEqual([row.load for row in polled.running], [350, 0])
        self.assertEqual({row.run for row in (*polled.running, *polled.ended)}, {run})
        for figures, expected in (
            ([41.5, 0.4], (41, 0)),
            ([101, -1], (100, 0)),
            ([-1, 2**62], (0, 2**62)),
        ):
            listed = self.poll([[*self.RUNNING[:3], *figures]]).running[0]
            self.assertEqual((listed.percent, listed.load), expected)

    # Each outcome has a counter of its own, which is never removed.
    def test_outcomes_beside_those_of_the_protocol_are_one(self):
        for outcome, expected in (
            ("done", "done"),
            ("alone", "alone"),
            ("", "unknown"),
            ("DONE", "unknown"),
            ("x" * 10_000, "unknown"),
        ):
            polled = self.poll(ended=[[*self.ENDED[:3], outcome, ""]])
            self.assertEqual(polled.ended[0].outcome, expected)

    def test_odd_clock_of_a_start_is_no_answer(self):
        for name, value in self.NUMBERS:
            content = msgspec.json.encode({"clock_ms": value})
            worker_client = HttpFleetWorkerClient(FakeHttpClient(200, content))
            order = StartOrder(RunId(TaskId(JOB, 0, 0, 0), 1), "")
            with self.subTest(name), self.assertRaises(WorkerUnreachableError):
                result(worker_client.start(self.WORKER, order, 1, 1))


class OddEntryTest(unittest.TestCase):
    """The fleet with one entry that cannot be used among those of good workers."""

    def start_fleet(self, **sizes):
        fleet = FleetSimulation(**sizes)
        fleet.run_for(1.0)
        self.assertIsNotNone(fleet.leader())
        return fleet

    def assert_work_goes_to(self, fleet, worker_ids, job_id=JOB):
        """Assert that a job with tasks for all these workers runs on each of them."""
        before = len(fleet.workers.starts)
        reader = next(n for n, clock in enumerate(fleet.clocks) if clock.is_alive)
        tasks = 2 * len(worker_ids)
        fleet.submit(reader, job(job_id, tasks=tasks, worker_tasks_max=2))
        fleet.run_for(2.0)
        starts = fleet.workers.starts[before:]
        self.assertEqual({worker for _, worker in starts}, set(worker_ids))
        self.assertEqual(fleet.read_phase(reader, job_id), JobPhase.COMPLETED)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    # One worker's capacity ended each planning round, so that nothing was started.
    def test_odd_number_leaves_the_other_workers_their_work(self):
        for name, changed in ODD_NUMBERS:
            with self.subTest(name):
                fleet = self.start_fleet(workers=4)
                entry = fleet.workers.workers["w0"].entry
                fleet.records.write("servers/w0", entry_document(entry, **changed))
                fleet.run_for(0.5)
                self.assert_work_goes_to(fleet, ["w1", "w2", "w3"])

    # A successor waited for the leases of an entry at which nothing can answer.
    def test_odd_address_is_not_kept_for_a_successor(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address[:40]):
                fleet = self.start_fleet(daemons=1)
                entry = worker_entry(9)
                value = entry_document(entry, address=address)
                fleet.records.write("servers/w9", value)
                fleet.run_for(0.5)
                leader = fleet.nodes[0].leader
                self.assertNotIn("w9", leader.workers.capacities)
                stored = fleet.records.read(WORKER_MEMBERSHIP_KEY).value
                kept = decode_worker_membership(stored).workers
                self.assertEqual(sorted(kept), ["w0", "w1", "w2"])

    # The two links to one worker fenced each other, so that no leader led for long.
    def test_id_that_names_another_worker_gets_no_link(self):
        for worker_id in (" w0", "w0 ", "w0\t"):
            with self.subTest(repr(worker_id)):
                fleet = self.start_fleet()
                elected = fleet.nodes[fleet.leader()].leader
                entry = fleet.workers.workers["w0"].entry
                fleet.records.write(f"servers/{worker_id}", server_record(entry))
                fleet.run_for(1.0)
                self.assert_work_goes_to(fleet, ["w0", "w1", "w2"])
                self.assertIs(fleet.nodes[fleet.leader()].leader, elected)

    # A successor waited for the leases of any entry, also of one at which no worker had
    # ever answered.
    def test_worker_that_never_answered_is_not_kept_for_a_successor(self):
        fleet = self.start_fleet(daemons=1)
        fleet.records.write("servers/w9", server_record(worker_entry(9)))
        fleet.run_for(1.0)
        for number in (1, 2):
            fleet.submit(number - 1, job(f"{number:016x}", tasks=6))
            fleet.kill(number - 1)
            fleet.add_daemon(f"vm{number}")
            fleet.run_for(6.0)
            phase = fleet.read_phase(number, f"{number:016x}")
            self.assertEqual(phase, JobPhase.COMPLETED)
            stored = fleet.records.read(WORKER_MEMBERSHIP_KEY).value
            kept = decode_worker_membership(stored).workers
            self.assertEqual(sorted(kept), ["w0", "w1", "w2"])
        fleet.workers.add(worker_entry(9))
        fleet.run_for(3.0)
        stored = fleet.records.read(WORKER_MEMBERSHIP_KEY).value
        self.assertIn("w9", decode_worker_membership(stored).workers)

    # The former entry stayed in force, so that starts went on by it.
    def test_nested_entry_names_no_worker(self):
        for kind, nested in NESTED:
            with self.subTest(kind):
                fleet = self.start_fleet()
                entry = entry_document(fleet.workers.workers["w0"].entry)
                fleet.records.write("servers/w0", nest(entry, nested))
                fleet.records.write("servers/w9", nested)
                fleet.run_for(0.5)
                self.assert_work_goes_to(fleet, ["w1", "w2"])

    # Each writing of an entry that stayed unreadable added a line to the log.
    def test_unreadable_entry_is_named_once(self):
        fleet = self.start_fleet(daemons=1)
        fleet.submit(0, job(JOB, tasks=1, standing=True))
        fleet.run_for(0.5)
        busy = fleet.workers.starts[0][1]
        good = server_record(fleet.workers.workers[busy].entry)
        with (
            patch.object(_fleet_desired_state, "log_event") as named,
            patch.object(_fleet_workers, "log_event") as logged,
        ):
            for beat in range(5):
                fleet.records.write("servers/odd", f"[{beat}".encode())
                fleet.records.write(f"servers/{busy}", f"[{beat}".encode())
                fleet.run_for(1.0)
            # Beside an odd writer, the worker writes on.
            for value in (good, b"[", good, b"["):
                fleet.records.write(f"servers/{busy}", value)
                fleet.run_for(1.0)
            fleet.records.remove("servers/odd")
            fleet.run_for(1.0)
            fleet.records.write("servers/odd", b"[")
            fleet.run_for(1.0)
        names = [call.kwargs["worker"] for call in named.call_args_list]
        self.assertEqual(sorted(names), sorted(["odd", "odd", busy]))
        events = [call.args[0] for call in logged.call_args_list]
        self.assertEqual(events.count("worker.unlisted"), 3)


class LargeProgressTest(unittest.TestCase):
    """A job's progress that the store does not take."""

    VALUE_BYTES_MAX = 1_048_576

    def limit_values(self, store):
        """Let a store refuse values over the platform's limit, with status 400."""
        commit = store.commit

        def limited(expected, puts, deletes=()):
            if any(len(put.value) > self.VALUE_BYTES_MAX for put in puts):
                return fail(PlatformError("store: status 400"))
            return commit(expected, puts, deletes)

        store.commit = limited

    # The jobs written with it, and those that sort after them, were never stored, and
    # no worker's ends were acknowledged.
    def test_other_jobs_are_stored_beside_a_record_that_is_too_large(self):
        fleet = FleetSimulation(daemons=1)
        self.limit_values(fleet.stores[0])
        fleet.run_for(1.0)
        fleet.submit(0, job(JOB, tasks=1, checkpoints=True))
        fleet.run_for(0.3)
        worker = fleet.workers.workers[fleet.workers.starts[0][1]]
        worker.fails = True
        for run in worker.running.values():
            run.checkpoint = "x" * self.VALUE_BYTES_MAX
        # The run that resumes from it goes on while the other job runs.
        for other in fleet.workers.workers.values():
            other.run_s = 60.0
        fleet.run_for(1.5)
        self.assertEqual(len(fleet.workers.starts), 2)
        for other in fleet.workers.workers.values():
            other.run_s = 1.0
        fleet.submit(0, job(OTHER_JOB, tasks=2))
        fleet.run_for(3.0)
        stored = fleet.records.read(job_key(OTHER_JOB))
        self.assertIsNotNone(stored)
        phase = decode_submission(stored.value).ended_phase
        self.assertEqual(phase, JobPhase.COMPLETED)

    # The longest checkpoints make room for the others.
    def test_checkpoints_that_are_left_out(self):
        for sizes, excess_bytes, kept in (
            ([5, 900, 7], 1, [5, 7]),
            ([5, 900, 7], 900, [5, 7]),
            ([5, 900, 7], 901, [5]),
            ([5, 900, 7], 10_000, []),
            ([], 10, []),
        ):
            with self.subTest(sizes, excess_bytes=excess_bytes):
                checkpoints = {n: "x" * size for n, size in enumerate(sizes)}
                step = StepProgress("1", checkpoints=checkpoints)
                progress = JobProgress(occurrences={3: [step]})
                left_out = progress.leave_out_checkpoints(excess_bytes)
                self.assertEqual(left_out, len(sizes) - len(kept))
                self.assertEqual([len(c) for c in step.checkpoints.values()], kept)


ODD_NUMBER_VALUES = st.sampled_from(
    [0, -1, 1, 65_535, 65_536, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**30, 10**400]
    + [-(2**63), -(10**400), 0.5, -0.0, 1e18, 1e308, math.inf, -math.inf, math.nan]
)
# Includes surrogates, which JSON text may name.
ODD_TEXTS = st.one_of(
    st.sampled_from([*ODD_ADDRESSES, *ODD_WORKER_IDS, "ready", "draining", "north"]),
    st.text(st.characters(exclude_categories=[]), max_size=20),
)
ODD_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), ODD_NUMBER_VALUES, ODD_TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(ODD_TEXTS, inner, max_size=4)
    ),
    max_leaves=8,
)


@st.composite
def odd_documents(draw, document):
    """Draw the bytes of a document with odd parts, or of none at all."""
    kind = draw(st.sampled_from(("fields", "fields", "value", "bytes", "cut", "deep")))
    if kind == "bytes":
        return draw(st.binary(max_size=40))
    if kind == "value":
        return json.dumps(draw(ODD_VALUES)).encode()
    changed = copy.deepcopy(document)
    for _ in range(draw(st.integers(1, 3))):
        target = changed
        while True:
            field = draw(st.sampled_from(sorted(target)))
            inner = target[field]
            if isinstance(inner, list) and inner:
                inner = inner[0]
            if not isinstance(inner, dict) or not inner or draw(st.booleans()):
                break
            target = inner
        if draw(st.booleans()):
            target[field] = draw(ODD_VALUES)
        else:
            target.pop(field)
            if not target:
                break
    encoded = json.dumps(changed).encode()
    if kind == "cut":
        return encoded[: draw(st.integers(0, len(encoded)))]
    if kind == "deep":
        return nest(encoded, draw(st.sampled_from(NESTED))[1])
    return encoded


ENTRY_DOCUMENT = json.loads(entry_document(worker_entry(9), remaining_ms=5))
ODD_RECORDS = st.one_of(
    st.tuples(ODD_TEXTS.map("servers/x{}".format), odd_documents(ENTRY_DOCUMENT)),
    st.tuples(st.just(CONFIGURATION_KEY), odd_documents({"version": 1, "routes": 5})),
    st.tuples(ODD_TEXTS.map("op/evacuate/x{}".format), st.binary(max_size=9)),
    st.tuples(ODD_TEXTS.map("op/{}".format), st.binary(max_size=9)),
    st.tuples(ODD_TEXTS.map(f"{JOBS_PREFIX}{{}}".format), st.binary(max_size=40)),
    st.tuples(ODD_TEXTS.map(f"{CANCELS_PREFIX}{{}}".format), st.binary(max_size=9)),
    st.tuples(ODD_TEXTS.map(f"{PROGRESS_PREFIX}{{}}".format), st.binary(max_size=40)),
    st.tuples(st.just(INTERFERENCE_KEY), st.binary(max_size=40)),
)


class GeneratedRecordTest(unittest.TestCase):
    """No record that others write ends the following of the other records."""

    GENERATED = settings(derandomize=True, deadline=None, database=None)

    @settings(GENERATED, max_examples=400)
    @given(st.one_of(st.just("w9"), ODD_TEXTS), odd_documents(ENTRY_DOCUMENT))
    def test_entry_is_usable_or_malformed(self, worker_id, value):
        try:
            entry = decode_worker(worker_id, value)
        except PlatformError:
            return
        self.assertTrue(0 < entry.port <= 65_535)
        self.assertEqual(str(IPv4Address(entry.host)), entry.host)
        self.assertTrue(worker_id.isascii() and worker_id.isprintable())
        for amount in (
            entry.cores_milli,
            entry.memory_mb,
            entry.accelerators,
            entry.started_at_ms,
        ):
            self.assertTrue(0 <= amount < 2**63)
        msgspec.msgpack.encode(entry)

    @settings(GENERATED, max_examples=200)
    @given(odd_documents(CONFIGURATION))
    def test_configuration_is_usable_or_malformed(self, value):
        try:
            configuration = decode_configuration(value, 7)
        except PlatformError:
            return
        self.assertEqual(configuration.revision, 7)
        configuration.find_queue("desk.example", "/quotes/x")

    @settings(GENERATED, max_examples=20)
    @given(st.lists(ODD_RECORDS, min_size=1, max_size=6))
    def test_the_other_workers_get_their_work(self, records):
        errors = []
        globalLogPublisher.addObserver(errors.append)
        try:
            fleet = FleetSimulation()
            fleet.run_for(1.0)
            for key, value in records:
                fleet.records.write(key, value)
            fleet.run_for(0.5)
            self.assert_completes(fleet, fleet.leader(), JOB)
            fleet.kill(fleet.leader())
            fleet.run_for(4.0)
            self.assert_completes(fleet, fleet.leader(), OTHER_JOB)
            gc.collect()
        finally:
            globalLogPublisher.removeObserver(errors.append)
        failures = [error for error in errors if error.get("log_failure")]
        self.assertEqual(failures, [])

    def assert_completes(self, fleet, number, job_id):
        fleet.submit(number, job(job_id, tasks=6, worker_tasks_max=2))
        fleet.run_for(2.5)
        self.assertEqual(fleet.read_phase(number, job_id), JobPhase.COMPLETED)


class StoredRecordTest(unittest.TestCase):
    """A record of daemons that cannot be read costs nothing but what it says."""

    MALFORMED = [
        ("empty", b""),
        ("no record", b"\xff"),
        ("cut short", b"\x81\xa7"),
        ("of another type", b"\x01"),
        ("nested", b"\x81\xa1x" + b"\x91" * 5_000 + b"\x90"),
    ]
    MODEL = {
        "scale_s": 2.2,
        "inputs": ["idle", "load"],
        "mean": [1.0, 1.0],
        "covariance": [[1.0, 0.0], [0.0, 1.0]],
    }
    INCONSISTENT = [
        {"scale_s": 0.0},
        {"scale_s": float("nan")},
        {"inputs": []},
        {"inputs": ["idle", "x"]},
        {"inputs": ["idle", "load", "load"]},
        {"mean": [1.0]},
        {"mean": [1.0, float("inf")]},
        {"covariance": []},
        {"covariance": [[1.0, 0.0], [1.0]]},
        {"covariance": [[1.0, 0.0], [0.0, float("nan")]]},
    ]

    def start_fleet(self, records, daemons=2):
        """Start daemons that find these records, and submit a job."""
        fleet = FleetSimulation(daemons=0)
        for key, value in records.items():
            fleet.records.write(key, value)
        for number in range(daemons):
            fleet.add_daemon(f"vm{number}")
        fleet.submit(0, job(JOB, tasks=6, worker_tasks_max=2))
        return fleet

    def assert_completes(self, fleet, within_s):
        fleet.run_for(within_s)
        self.assertEqual(fleet.read_phase(0, JOB), JobPhase.COMPLETED)
        self.assertEqual(fleet.workers.duplicate_starts, [])

    def test_malformed_record_is_an_error_of_the_layer(self):
        for name, value in self.MALFORMED:
            for decode in (
                decode_interference,
                decode_leader,
                decode_progress,
                decode_submission,
                decode_term,
                decode_worker_membership,
            ):
                with (
                    self.subTest(name, decode=decode.__name__),
                    self.assertRaises(StoredRecordError),
                ):
                    decode(value)

    # A leader that could not read the models loaded nothing, and led on.
    def test_interference_is_learned_anew(self):
        for name, value in self.MALFORMED:
            with self.subTest(name):
                self.assert_completes(self.start_fleet({INTERFERENCE_KEY: value}), 3.0)

    # A model without its inputs ended each planning round that used it.
    def test_inconsistent_model_is_learned_anew(self):
        for changed in ({}, *self.INCONSISTENT):
            with self.subTest(changed):
                states = {
                    "good": ModelState(**self.MODEL),
                    "odd": ModelState(**self.MODEL | changed),
                }
                model = InterferenceModel()
                unusable = model.restore(states)
                self.assertEqual(unusable, ["odd"] if changed else [])
                self.assertEqual("odd" in model.states(), not changed)
                self.assertIn("good", model.states())
                self.assertTrue(math.isfinite(model.baseline("odd", 1.0)))
                model.observe(JOB, "odd", 300, 200, {"other": 1.0}, 5.0)

    # A leader that could not read the stored workers loaded nothing, and led on.
    def test_unknown_workers_are_waited_for(self):
        for name, value in self.MALFORMED:
            with self.subTest(name):
                fleet = self.start_fleet({WORKER_MEMBERSHIP_KEY: value}, daemons=1)
                fleet.run_for(1.0)
                # The leases from a former leader may not have expired.
                self.assertEqual(fleet.workers.starts, [])
                self.assert_completes(fleet, 15.0)
                stored = fleet.records.read(WORKER_MEMBERSHIP_KEY).value
                kept = decode_worker_membership(stored).workers
                self.assertEqual(sorted(kept), ["w0", "w1", "w2"])

    # Stored workers that cannot be called were waited for or fenced the real ones.
    def test_workers_that_cannot_be_called_are_left_out(self):
        odd = dict.fromkeys(ODD_WORKER_IDS[:-1], "127.0.0.1:9000")
        odd |= {f"x{n}": address for n, address in enumerate(ODD_ADDRESSES)}
        for worker_id, address in odd.items():
            with self.subTest(worker_id, address=address[:40]):
                record = WorkerMembershipRecord({worker_id: address})
                records = {WORKER_MEMBERSHIP_KEY: encode(record)}
                fleet = self.start_fleet(records, daemons=1)
                fleet.run_for(1.0)
                unpolled = fleet.nodes[0].leader.workers.unpolled_workers
                self.assertNotIn(worker_id or " ", unpolled)
                term = fleet.records.read(TERM_KEY)
                self.assert_completes(fleet, 14.0)
                self.assertEqual(fleet.records.read(TERM_KEY), term)
                # A later leader need not wait.
                fleet.kill(0)
                fleet.add_daemon("vm1")
                fleet.submit(1, job(OTHER_JOB, tasks=6, worker_tasks_max=2))
                fleet.run_for(6.0)
                self.assertEqual(fleet.read_phase(1, OTHER_JOB), JobPhase.COMPLETED)
                stored = fleet.records.read(WORKER_MEMBERSHIP_KEY).value
                self.assertNotIn(worker_id, decode_worker_membership(stored).workers)

    # A job whose progress a peer had sent in an odd message was never run.
    def test_odd_progress_of_a_peer_is_left_out(self):
        rows = [
            *self.MALFORMED,
            ("unknown phase", encode(JobProgress("asleep"))),
            ("other steps", encode(JobProgress(occurrences={0: []}))),
            ("no bit set", encode(JobProgress(occurrences={0: [StepProgress("x")]}))),
        ]
        progress = encode(JobProgress(occurrences={0: [StepProgress("3")]}))
        for name, value in rows:
            with self.subTest(name):
                fleet = self.start_fleet({progress_key(JOB): progress}, daemons=1)
                message = RpcRequest(
                    1, UNSTORED_METHOD, msgspec.msgpack.encode({JOB: value})
                )
                fleet.nodes[0].rpc._on_message("vm9@127.0.0.1:3#1", message)
                self.assert_completes(fleet, 3.0)
                started = {run.task.index for run, _ in fleet.workers.starts}
                self.assertEqual(started, {2, 3, 4, 5})

    # A core share of 0 ended the only campaign of each daemon with ZeroDivisionError.
    def test_odd_core_share_delays_no_election(self):
        for core_share in (0.0, -1.0, 1e-300, float("nan"), float("inf"), 1e300):
            with self.subTest(core_share):
                term = TermRecord(3, "vm9@127.0.0.1:3#1", "key", core_share)
                # No worker has run anything in the terms before.
                membership = encode(WorkerMembershipRecord(names_all=True))
                fleet = self.start_fleet(
                    {TERM_KEY: encode(term), WORKER_MEMBERSHIP_KEY: membership}
                )
                self.assert_completes(fleet, 3.0)

    # A record that could not be read ended the only campaign of each daemon.
    def test_election_goes_on_once_its_records_can_be_read(self):
        for key in (LEADER_KEY, TERM_KEY):
            for name, value in self.MALFORMED:
                with self.subTest(name, key=key):
                    fleet = self.start_fleet({key: value})
                    fleet.run_for(1.0)
                    self.assertIsNone(fleet.leader())
                    fleet.records.remove(key)
                    self.assert_completes(fleet, 3.0)


if __name__ == "__main__":
    unittest.main()
