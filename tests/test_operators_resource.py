import json
import unittest

from twisted.internet.testing import StringTransport

from dogwoodlever._request_limits import RequestLimits
from dogwoodlever.gateway import BoundedSite, OperatorsResource
from tests.site_simulation import SiteSimulation

KEY = "Authorization: Bearer operator-key\r\n"
JOB = {
    "job": "j1",
    "team": "alpha",
    "class": "c",
    "tasks": 2,
    "cores": 1,
    "memory_bytes": 1000,
    "run_s": 1,
}
INVALID_REQUESTS = (
    ("no key", "GET", "/status", None, "", 401, "key"),
    ("wrong key", "GET", "/status", None, "Authorization: Bearer x\r\n", 401, "key"),
    ("no command", "GET", "/fly", None, KEY, 404, "no command"),
    ("no JSON", "POST", "/jobs", "{", KEY, 400, "body"),
    ("negative size", "POST", "/jobs", JOB | {"cores": -1}, KEY, 422, "job.cores"),
    ("unknown key", "POST", "/jobs", JOB | {"x": 1}, KEY, 422, "job.x"),
    ("no such team", "POST", "/jobs", JOB | {"team": "z"}, KEY, 422, "alpha, beta"),
    ("no worker fits", "POST", "/jobs", JOB | {"cores": 9}, KEY, 422, "8 cores"),
    (
        "over the quota",
        "POST",
        "/jobs",
        JOB | {"accelerators": 1},
        KEY,
        422,
        "accelerators",
    ),
    ("no data centre", "POST", "/data-centres/x", {"out": True}, KEY, 422, "foreshore"),
    ("unknown id", "GET", "/why/nothing", None, KEY, 404, "nothing"),
    ("unknown job", "GET", "/jobs/nothing", None, KEY, 404, "nothing"),
    (
        "stale revision",
        "POST",
        "/configuration",
        {"documents": [["a", "site: x"]], "expected_revision": 99},
        KEY,
        409,
        "99",
    ),
    (
        "bad documents",
        "POST",
        "/configuration",
        {"documents": [["a", "site: x"]], "expected_revision": 1},
        KEY,
        422,
        "data_centres",
    ),
    ("cancel nothing", "POST", "/cancel", {"jobs": []}, KEY, 400, "jobs"),
)


class OperatorsResourceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.simulation = SiteSimulation()

    def send(self, method, path, document=None, headers=KEY, wait_s=0.1):
        entry = self.simulation.fake.daemons["d1"]
        site = BoundedSite(
            OperatorsResource(entry.node, entry.reports),
            lambda: RequestLimits(body_bytes_max=100_000),
        )
        protocol = site.buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        body = document if isinstance(document, str) else json.dumps(document)
        data = f"{method} {path} HTTP/1.1\r\nHost: d\r\n{headers}"
        data += f"Content-Length: {len(body)}\r\n\r\n{body}"
        protocol.dataReceived(data.encode())
        self.simulation.run(wait_s, load=False)
        head, _, content = transport.value().decode().partition("\r\n\r\n")
        return int(head.split()[1]), content

    def test_invalid_requests(self):
        for name, method, path, document, headers, status, part in INVALID_REQUESTS:
            with self.subTest(name):
                found, content = self.send(method, path, document, headers)
                self.assertEqual(found, status)
                self.assertIn(part, content)

    def test_job_is_accepted_once(self):
        self.assertIn('"accepted":true', self.send("POST", "/jobs", JOB)[1])
        self.assertIn('"accepted":false', self.send("POST", "/jobs", JOB)[1])
        self.simulation.run(6.0, load=False)
        self.assertIn('"finished":2', self.send("GET", "/jobs/j1")[1])
        self.assertIn('"accepted":false', self.send("POST", "/jobs", JOB)[1])
        status, content = self.send("GET", "/why/j1/0")
        events = [line["event"] for line in json.loads(content)["history"]]
        self.assertEqual(events, ["submit", "assign", "start", "finish"])

    def test_submission_in_an_outage_has_an_unknown_outcome(self):
        simulation = SiteSimulation()
        self.simulation, kept = simulation, self.simulation
        simulation.fake.values.faults.down = True
        status, content = self.send("POST", "/jobs", JOB | {"job": "j2"}, wait_s=7.0)
        self.assertEqual(status, 503)
        self.assertIn("unknown", content)
        self.simulation = kept

    def test_lost_store_response_makes_the_outcome_unknown(self):
        simulation = SiteSimulation()
        self.simulation, kept = simulation, self.simulation
        simulation.fake.values.faults.answers_to_lose = 1
        simulation.fake.clock.callLater(
            0.5, setattr, simulation.fake.values.faults, "down", True
        )
        status, content = self.send("POST", "/jobs", JOB | {"job": "j3"}, wait_s=8.0)
        self.assertEqual(status, 503)
        self.assertIn("unknown", content)
        self.simulation = kept

    def test_reports(self):
        for path in ("/status", "/configuration", "/data-centres", "/jobs", "/burn"):
            with self.subTest(path):
                self.assertEqual(self.send("GET", path)[0], 200)
