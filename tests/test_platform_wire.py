import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from returns.result import Failure, Success
from twisted.internet.defer import fail, succeed
from twisted.internet.error import ConnectionRefusedError

from dogwoodlever._fleet_interfaces import Put, RefusalReason
from dogwoodlever._fleet_types import (
    AdviceTiming,
    ResourceAmounts,
    RunId,
    StartOrder,
    StepId,
    TaskId,
    Workspace,
)
from dogwoodlever._store_listing import StoreListing
from dogwoodlever.fleet_errors import SubmissionError
from dogwoodlever.platform import (
    HttpAdviceService,
    HttpFleetStore,
    HttpFleetWorkerClient,
    decode_configuration,
    decode_worker,
    read_node_file,
)
from dogwoodlever.platform._wire_job import decode_job
from dogwoodlever.platform._wire_records import digest_key
from dogwoodlever.platform_errors import (
    AdviceError,
    HistoryGoneError,
    LeaseEndedError,
    OrderRefusedError,
    PlatformError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnavailableError,
    WorkerUnreachableError,
    WrongIncarnationError,
)
from tests.fleet_simulation import worker_entry

JOB = "5c0e7a21d94b36f8"
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "foreshore",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
    "seq": 4,
}
NODE_FILE = """
node = "front-foreshore-1"
ip = "10.1.0.13"
zone = "foreshore"
port_range = [7720,7735]
something_new = 1
[listen]
front = "10.1.0.13:8161"
readiness = "10.1.0.13:8167"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
grace_s = 6
ack_ms = 6000
harm_ms = 4500
stop_timeout_ms = 200
[platform]
address = "10.200.1.7:8169"
"""


class FakeHttpClient:
    """Responds to each call with the next of the given responses."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    def fetch(
        self, method, url, body=b"", timeout_s=0.0, headers=(), stall_timeout_s=0.0,
        label=None, read_label=None,
    ):  # fmt: skip
        self.calls.append((method, url, body and msgspec.json.decode(body)))
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            return fail(response)
        status, document = response
        return succeed((status, msgspec.json.encode(document)))


def result(deferred):
    results = []
    deferred.addBoth(results.append)
    return results[0]


class WorkerEntryTest(unittest.TestCase):
    UNREADABLE = [
        ("no service", {"service": None}),
        ("capacity of another type", {"capacity": 5}),
        ("unknown state", {"state": "asleep"}),
        ("no port", {"address": "10.128.0.9"}),
        ("no address", {"address": ""}),
        ("labels of another type", {"labels": "a"}),
        ("start of another type", {"born": "17"}),
        ("start with a point", {"born": 17.5}),
        ("start of 0", {"born": 0}),
    ]

    def test_entry(self):
        entry = decode_worker("i-1", msgspec.json.encode(SERVER))
        self.assertEqual((entry.host, entry.port), ("10.128.0.9", 8080))
        self.assertEqual((entry.rack, entry.started_at_ms), ("r1-3", 17))
        self.assertFalse(entry.is_draining)

    def test_malformed_entry_is_rejected(self):
        for name, changed in self.UNREADABLE:
            with self.subTest(name), self.assertRaises(PlatformError):
                decode_worker("i-1", msgspec.json.encode({**SERVER, **changed}))
        with self.assertRaises(PlatformError):
            decode_worker("i-1", b"\xff\x00")

    # Guards against an incarnation that is taken for another one, as its entry does not
    # tell its start.
    def test_entry_without_start_is_rejected(self):
        document = {name: field for name, field in SERVER.items() if name != "born"}
        with self.assertRaisesRegex(PlatformError, "born"):
            decode_worker("i-1", msgspec.json.encode(document))


class ConfigurationTest(unittest.TestCase):
    def test_longest_prefix_at_the_host_wins(self):
        routes = [
            {"name": n, "host": "a.example", "prefix": p, "service": "s"}
            for n, p in (("short", "/x/"), ("long", "/x/y/"))
        ]
        document = {"version": 3, "routes": routes, "services": [{"name": "s"}]}
        configuration = decode_configuration(msgspec.json.encode(document))
        for host, path, expected in (
            ("a.example", "/x/1", "short"),
            ("a.example", "/x/y/1", "long"),
            ("b.example", "/x/1", None),
            ("a.example", "/z/1", None),
        ):
            with self.subTest(host=host, path=path):
                queue = configuration.find_queue(host, path)
                self.assertEqual(queue and queue.name, expected)

    def test_timing_of_the_advice_service(self):
        route = {"name": "q", "host": "a.example", "prefix": "/x/", "service": "s"}
        terms = {"decision_ms": 40, "period_ms": 2, "valid_ms": 900}
        document = {
            "version": 3,
            "routes": [route | {"advice": terms}],
            "services": [{"name": "s"}],
        }
        queue = decode_configuration(msgspec.json.encode(document)).queues["q"]
        self.assertEqual(queue.advice, AdviceTiming(40, 2, 900))
        # One call for thirty workers.
        self.assertAlmostEqual(queue.advice_call_s, 0.1)

    def test_workspaces_and_public_queues(self):
        route = {"name": "q", "host": "h", "prefix": "/", "service": "s"}
        document = {
            "version": 1,
            "routes": [
                route,
                {**route, "name": "p", "prefix": "/p/", "public": True},
            ],
            "services": [{"name": "s"}],
            "tenants": [
                {
                    "name": "a",
                    "api_keys": ["k1", "k2"],
                    "priority": 1,
                    "weight": 7,
                    "cap": {"cpu": 2_000, "mem_mb": 512, "gpu": 0},
                },
                {"name": "b"},
            ],
        }
        configuration = decode_configuration(msgspec.json.encode(document), 17)
        self.assertEqual(configuration.revision, 17)
        self.assertFalse(configuration.queues["q"].is_public)
        self.assertTrue(configuration.queues["p"].is_public)
        workspace = configuration.workspaces["a"]
        self.assertEqual(workspace.weight, 7)
        self.assertEqual(workspace.cap, ResourceAmounts(2_000, 512, 0))
        self.assertEqual(workspace.key_digests, {digest_key(b"k1"), digest_key(b"k2")})
        self.assertEqual(configuration.workspaces["b"], Workspace("b"))

    # Guards against a cap or weight that is taken over although it is malformed.
    def test_malformed_workspace_names_the_field(self):
        cases = (
            ({"name": 5}, "tenants[0].name"),
            ({"name": "a", "weight": -1}, "tenants[0].weight"),
            ({"name": "a", "cap": {"cpu": -1}}, "tenants[0].cap.cpu"),
            ({"name": "a", "api_keys": "k"}, "tenants[0].api_keys"),
        )
        for tenant, field in cases:
            with self.subTest(field=field), self.assertRaises(PlatformError) as caught:
                document = {
                    "version": 1,
                    "routes": [],
                    "services": [],
                    "tenants": [tenant],
                }
                decode_configuration(msgspec.json.encode(document))
            self.assertIn(field, str(caught.exception))

    def test_error_names_the_field(self):
        with self.assertRaisesRegex(PlatformError, "routes"):
            decode_configuration(b'{"version":1,"routes":5,"services":[]}')


class JobTest(unittest.TestCase):
    MALFORMED = [
        ("no body", b"", "malformed|truncated"),
        ("no steps", b'{"spec":"s"}', "steps"),
        ("empty steps", b'{"spec":"s","steps":[]}', "steps"),
        ("no tasks", b'{"spec":"s","steps":[{"count":0}]}', "count"),
        ("later step", b'{"spec":"s","steps":[{"after":[0]}]}', "after"),
        ("below 0", b'{"spec":"s","steps":[{"cpu":-1}]}', "below 0"),
        ("long", msgspec.json.encode({"spec": "x" * 4001, "steps": [{}]}), "spec"),
    ]

    def test_malformed_names_the_field(self):
        for name, body, named in self.MALFORMED:
            with self.subTest(name), self.assertRaisesRegex(SubmissionError, named):
                decode_job(JOB, "q", 0, body)

    def test_fields(self):
        body = {
            "spec": "text",
            "steps": [
                {"count": 4, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900},
                {"count": 2, "after": [0], "fills": True, "may_miss": 1},
            ],
            "repeat_count": 3,
        }
        job = decode_job(JOB, "q", 7, msgspec.json.encode(body))
        self.assertEqual(job.steps[0].cores_milli, 500)
        self.assertTrue(job.steps[1].uses_leftover)
        self.assertEqual((job.occurrences, job.submitted_ms), (3, 7))


class StoreTest(unittest.TestCase):
    FAILURES = [
        ("busy", "read", (503, {}), StoreRefusedError),
        ("many", "read", (429, {}), StoreRefusedError),
        ("refused", "read", ConnectionRefusedError(), StoreRefusedError),
        ("silent", "read", TimeoutError(), StoreUnavailableError),
        ("history", "watch", (410, {}), HistoryGoneError),
        ("lease", "commit", (404, {}), LeaseEndedError),
        ("error", "commit", (500, {}), PlatformError),
        # Guards against calls that are repeated although they are rejected for good.
        ("malformed", "commit", (400, {}), StoreRejectedError),
        ("forbidden", "commit", (403, {}), StoreRejectedError),
        ("too large", "commit", (413, {}), StoreRejectedError),
        ("forbidden read", "read", (403, {}), StoreRejectedError),
    ]

    def call(self, store, kind):
        if kind == "read":
            return store.read("k")
        if kind == "watch":
            return store.watch("k", 1, 100)
        return store.commit({"k": 0}, (Put("k", b"v"),))

    def test_failures(self):
        for name, kind, response, expected in self.FAILURES:
            with self.subTest(name):
                store = HttpFleetStore(FakeHttpClient(response), "127.0.0.1:1")
                failure = result(self.call(store, kind))
                self.assertIs(failure.type, expected)

    def test_timeout_is_not_a_refusal(self):
        store = HttpFleetStore(FakeHttpClient(TimeoutError()), "127.0.0.1:1")
        failure = result(self.call(store, "commit"))
        self.assertFalse(failure.check(StoreRefusedError))

    def test_list_follows_pages_and_watches_from_the_first(self):
        item = {"key": "a", "value": "dg==", "revision": 2}
        client = FakeHttpClient(
            (200, {"items": [item], "has_more": True, "current_rev": 5}),
            (200, {"items": [{**item, "key": "b"}], "current_rev": 9}),
        )
        store = HttpFleetStore(client, "127.0.0.1:1")
        listing = result(StoreListing(store, "x/").read())
        self.assertEqual([r.key for r in listing.records], ["a", "b"])
        self.assertEqual((listing.revision, listing.records[0].value), (5, b"v"))
        self.assertIn("after=a", client.calls[1][1])

    def test_conflict_returns_the_current_records(self):
        items = [{"key": "k", "revision": 0}, {"key": "l", "revision": 4}]
        client = FakeHttpClient((412, {"items": items}))
        store = HttpFleetStore(client, "127.0.0.1:1")
        outcome = result(store.commit({"k": 1, "l": 0}, ()))
        self.assertEqual(outcome.revision, 0)
        self.assertIsNone(outcome.current[0].value)
        self.assertEqual(outcome.current[1].revision, 4)


class FleetWorkerClientTest(unittest.TestCase):
    RUN = RunId(TaskId(JOB, 0, 1, 17), 2)
    REFUSALS = [
        ((409, {"reason": "fence"}), RefusalReason.FENCED),
        ((409, {"reason": "old"}), RefusalReason.SUPERSEDED),
        ((409, {"reason": "late"}), RefusalReason.EXPIRED),
        ((409, {"reason": "room"}), RefusalReason.NO_ROOM),
        ((409, {"reason": "ticket"}), RefusalReason.NO_TICKET),
        ((409, {"reason": "news"}), RefusalReason.UNHEALTHY),
        ((400, {}), RefusalReason.INVALID),
        ((429, {}), RefusalReason.UNHEALTHY),
        ((503, {}), RefusalReason.UNHEALTHY),
    ]

    def test_refusals(self):
        for response, expected in self.REFUSALS:
            with self.subTest(response=response):
                worker_client = HttpFleetWorkerClient(FakeHttpClient(response))
                order = StartOrder(self.RUN, "text")
                failure = result(worker_client.start(worker_entry(0), order, 5, 7))
                self.assertIs(failure.type, OrderRefusedError)
                self.assertIs(failure.value.reason, expected)

    def test_wrong_incarnation_and_timeout(self):
        for response, expected in (
            ((421, {}), WrongIncarnationError),
            (TimeoutError(), WorkerUnreachableError),
        ):
            with self.subTest(response=response):
                worker_client = HttpFleetWorkerClient(FakeHttpClient(response))
                failure = result(worker_client.stop(worker_entry(0), self.RUN, 7))
                self.assertIs(failure.type, expected)

    def test_start_omits_empty_fields(self):
        client = FakeHttpClient((200, {"clock_ms": 3}))
        order = StartOrder(self.RUN, "text")
        result(HttpFleetWorkerClient(client).start(worker_entry(0), order, 5, 7))
        body = client.calls[0][2]
        self.assertEqual((body["task"], body["run"]), (f"{JOB}.0.1.17", 2))
        self.assertNotIn("last_checkpoint", body)

    def test_poll(self):
        name = f"{JOB}.0.1.17"
        response = {
            "clock_ms": 9,
            "born": 4,
            "running": [[name, 2, "c", 41, 12]],
            "ended": [[58, name, 1, "done", ""]],
        }
        worker_client = HttpFleetWorkerClient(FakeHttpClient((200, response)))
        poll = result(worker_client.poll(worker_entry(0), 7, 57, 5, 100))
        self.assertEqual((poll.clock_ms, poll.started_at_ms), (9, 4))
        self.assertEqual(poll.running[0].run, self.RUN)
        self.assertEqual((poll.running[0].percent, poll.running[0].load), (41, 12))
        self.assertEqual((poll.ended[0].number, poll.ended[0].outcome), (58, "done"))


class AdviceTest(unittest.TestCase):
    STEP = StepId(JOB, 0, 2)

    def test_tickets_by_worker(self):
        client = FakeHttpClient((200, {"good": [["w1", "t1"]]}))
        service = HttpAdviceService(client, "10.0.0.1:8169")
        self.assertEqual(result(service.advise(self.STEP, ["w1", "w2"])), {"w1": "t1"})
        _, url, body = client.calls[0]
        self.assertEqual(url, "http://10.0.0.1:8169/-/advise")
        self.assertEqual(body, {"step": f"{JOB}.0.2", "workers": ["w1", "w2"]})

    def test_all_failures_raise_advice_error(self):
        for name, response in (
            ("too many calls", (429, {})),
            ("no response", ConnectionRefusedError()),
            ("unreadable", (200, {"good": 5})),
        ):
            with self.subTest(name):
                service = HttpAdviceService(FakeHttpClient(response), "10.0.0.1:8169")
                failure = result(service.advise(self.STEP, ["w1"]))
                self.assertTrue(failure.check(AdviceError))


class NodeFileTest(unittest.TestCase):
    def read(self, text):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return read_node_file(path)

    def test_fields(self):
        loaded = self.read(NODE_FILE)
        self.assertIsInstance(loaded, Success)
        settings = loaded.unwrap()
        self.assertEqual(settings.callers, ("10.1.0.13", 8161))
        self.assertEqual((settings.peer_port, settings.core_share), (7720, 1.0))
        self.assertEqual(settings.harm_s, 4.5)
        self.assertEqual(settings.acknowledgement_s, 6.0)
        self.assertEqual(settings.stop_timeout_s, 0.2)

    def test_time_of_a_stop(self):
        # setting, value in seconds or None if it is rejected
        for line, stop_s in (
            ("stop_timeout_ms = 900", 0.9),
            ("stop_timeout_ms = 0", 0.0),
            ("", 1.0),
            ("stop_timeout_ms = -1", None),
            ('stop_timeout_ms = "soon"', None),
        ):
            with self.subTest(line):
                loaded = self.read(NODE_FILE.replace("stop_timeout_ms = 200", line))
                if stop_s is None:
                    self.assertIn("stop_timeout_ms", str(loaded.failure()))
                else:
                    self.assertEqual(loaded.unwrap().stop_timeout_s, stop_s)

    def test_faults_name_the_field(self):
        for changed, named in (
            ("listen", "listen"),
            ("platform", "platform"),
            ("bounds", None),
        ):
            with self.subTest(changed):
                loaded = self.read(NODE_FILE.replace(f"[{changed}]", f"[{changed}x]"))
                if named is None:
                    self.assertIsInstance(loaded, Success)
                else:
                    self.assertIsInstance(loaded, Failure)
                    self.assertIn(named, str(loaded.failure()))
        self.assertIsInstance(self.read("node = "), Failure)


if __name__ == "__main__":
    unittest.main()
