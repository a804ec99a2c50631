import unittest
from types import SimpleNamespace

import msgspec
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers
from twisted.web.test.requesthelper import DummyRequest

from dogwoodlever._fleet_frontend import CallOutcome, CallResult
from dogwoodlever._fleet_job import JobPhase
from dogwoodlever._fleet_types import FleetConfiguration, Queue
from dogwoodlever._workspace_keys import KeyChecker
from dogwoodlever.platform import CONFIGURATION_KEY, FleetCallersResource

JOB = "5c0e7a21d94b36f8"
BODY = b'{"spec":"s","steps":[{"count":1}]}'


class FakeFrontend:
    def __init__(self, result):
        self.result = result
        self.deadlines_s = []

    def _reply(self, _subject, deadline_s, _check=None):
        self.deadlines_s.append(deadline_s)
        if isinstance(self.result, Exception):
            return fail(self.result)
        return succeed(self.result)

    submit = cancel = read = count_pending = _reply


def make_checker(configuration):
    return KeyChecker(
        lambda: configuration,
        lambda record: None,
        CONFIGURATION_KEY,
        None,
        lambda: 0.0,
        Clock(),
        lambda cause: None,
    )


class Request(DummyRequest):
    is_open = True

    def __init__(self, method, path, body=b"", host="a.example"):
        super().__init__([])
        self.method = method
        self.path = path.encode()
        self.content = type("Content", (), {"read": lambda _self: body})()
        self.requestHeaders = Headers({b"host": [host.encode()]})


class FleetCallersResourceTest(unittest.TestCase):
    CASES = [
        # name, method, path, body, frontend's result, status
        ("job", b"POST", f"/q/{JOB}", BODY, CallResult(CallOutcome.DONE), 200),
        ("repeat", b"POST", f"/q/{JOB}", BODY, CallResult(CallOutcome.DONE), 200),
        ("not run", b"POST", f"/q/{JOB}", BODY, CallResult(CallOutcome.NOT_DONE), 503),
        ("unknown", b"POST", f"/q/{JOB}", BODY, CallResult(CallOutcome.UNKNOWN), 504),
        ("malformed", b"POST", f"/q/{JOB}", b"{", None, 400),
        ("bad id", b"POST", "/q/XYZ", BODY, None, 400),
        ("no queue", b"POST", f"/nowhere/{JOB}", BODY, None, 404),
        ("cancel", b"DELETE", f"/q/{JOB}", b"", CallResult(CallOutcome.DONE), 200),
        ("gone", b"DELETE", f"/q/{JOB}", b"", CallResult(CallOutcome.ABSENT), 410),
        ("absent", b"GET", f"/q/{JOB}", b"", CallResult(CallOutcome.ABSENT), 410),
        ("method", b"PUT", f"/q/{JOB}", b"", None, 405),
    ]

    def serve(self, request, result, configured=True):
        queue = Queue("q", "a.example", "/q/", "desk")
        configuration = FleetConfiguration(1, {"q": queue}) if configured else None
        self.frontend = FakeFrontend(result)
        self.calls = []
        resource = FleetCallersResource(
            self.frontend,
            lambda: configuration,
            Clock(),
            lambda: 5.0,
            lambda call, outcome: self.calls.append((call, outcome)),
            make_checker(configuration),
            SimpleNamespace(age_s=lambda: 0.4, is_outdated=lambda: False),
        )
        resource.render(request)
        self.assertEqual(resource.open_requests, 0)
        return b"".join(request.written)

    def test_statuses(self):
        for name, method, path, body, result, status in self.CASES:
            with self.subTest(name):
                request = Request(method, path, body)
                self.serve(request, result)
                self.assertEqual(request.responseCode, status)

    def test_rejection_has_a_retry_after_header(self):
        request = Request(b"POST", f"/q/{JOB}", BODY)
        self.serve(request, CallResult(CallOutcome.NOT_DONE, retry_after_s=2))
        retry_after = request.responseHeaders.getRawHeaders("retry-after")
        self.assertEqual(retry_after, ["2"])

    def test_no_job_is_absent_before_the_first_configuration(self):
        request = Request(b"GET", f"/q/{JOB}")
        self.serve(request, None, configured=False)
        self.assertEqual(request.responseCode, 503)

    def test_bodies(self):
        for path, result, expected in (
            (
                f"/q/{JOB}",
                CallResult(CallOutcome.DONE, JobPhase.RUNNING),
                {"state": "running"},
            ),
            ("/q/", CallResult(CallOutcome.DONE, pending=12), {"pending": 12}),
        ):
            with self.subTest(path):
                written = self.serve(Request(b"GET", path), result)
                self.assertEqual(msgspec.json.decode(written), expected)

    def test_deadline_of_the_caller(self):
        for text, expected_s in ((b"1500", 1.5), (b"soon", 3.0)):
            with self.subTest(text):
                request = Request(b"GET", f"/q/{JOB}")
                request.requestHeaders.setRawHeaders(b"deadline-ms", [text])
                self.serve(request, CallResult(CallOutcome.DONE, JobPhase.QUEUED))
                self.assertEqual(self.frontend.deadlines_s, [expected_s])

    def test_internal_error_is_reported(self):
        request = Request(b"GET", f"/q/{JOB}")
        self.serve(request, RuntimeError("broken"))
        self.assertEqual(request.responseCode, 500)

    def test_calls_are_counted(self):
        self.serve(Request(b"GET", f"/q/{JOB}"), CallResult(CallOutcome.ABSENT))
        self.assertEqual(self.calls, [("GET", CallOutcome.ABSENT)])

    def test_malformed_deadline_counts_as_none(self):
        for text in (b"", b"soon", b"-5", b"1e3", b"\xb2", b"9" * 400):
            with self.subTest(text):
                request = Request(b"POST", f"/q/{JOB}", BODY)
                request.requestHeaders.setRawHeaders(b"deadline-ms", [text])
                self.serve(request, CallResult(CallOutcome.DONE))
                self.assertEqual(request.responseCode, 200)
                self.assertGreater(self.frontend.deadlines_s[0], 0.0)

    def test_host_that_is_no_text_has_no_queue(self):
        request = Request(b"GET", f"/q/{JOB}")
        request.requestHeaders.setRawHeaders(b"host", [b"\xff\xfe"])
        self.serve(request, None)
        self.assertEqual(request.responseCode, 404)


if __name__ == "__main__":
    unittest.main()
