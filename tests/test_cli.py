import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from dogwoodlever._cli_app import run
from dogwoodlever._operator_client import OperatorClient
from dogwoodlever.cli_errors import (
    CommandRefusedError,
    OutcomeUnknownError,
    UnreachableError,
)

ROOT = Path(__file__).parent.parent
ATLAS = str(ROOT / "examples" / "atlas" / "settings")
JOB = str(ROOT / "examples" / "atlas" / "jobs" / "catalogue.job.yaml")
DAEMONS = [
    {"member": "d1#1", "state": "live", "configuration_current": True},
    {"member": "d2#1", "state": "live", "configuration_current": True},
]
SHOWN = {
    "revision": 4,
    "changed_by": "me",
    "daemons": DAEMONS,
    "merged": {"site": "atlas"},
}
TASK = {
    "task": "j/0",
    "state": "running",
    "worker": "w1",
    "history": [
        {"at_s": 0.5, "event": "assign", "attempt": 1, "worker": "w1", "reason": "fit"}
    ],
}
BURN = [
    {
        "service": "desk",
        "data_centre": "a",
        "window_s": 300,
        "total": 10,
        "good": 9,
        "not_run": 1,
        "unknown": 0,
        "objective": 0.99,
        "burn": 10.0,
    }
]


def call(*arguments, answers=(), error=None):
    """Run the command line; return its status, output and errors."""
    given = dict(answers)

    def answer(_self, method, path, body):
        if error is not None:
            raise error
        return given[f"{method} {path}"]

    out, errors = io.StringIO(), io.StringIO()
    with (
        patch.object(OperatorClient, "_call", answer),
        patch("sys.argv", ["dogwoodlever", *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(errors),
    ):
        status = run()
    return status, out.getvalue(), errors.getvalue()


class CommandsTest(unittest.TestCase):
    def test_answers(self):
        apply_answers = (
            ("GET configuration", SHOWN),
            ("POST configuration", {"revision": 4}),
        )
        accepted = {"job": "catalogue-2026-12", "accepted": True}
        table = (
            (("check", ATLAS), (), "33 workers"),
            (("apply", ATLAS), apply_answers, "confirmed by 2 daemons"),
            (("show",), (("GET configuration", SHOWN),), "site: atlas"),
            (("submit", JOB), (("POST jobs", accepted),), "accepted"),
            (("cancel", "j"), (("POST cancel", {"cancelling": ["j"]}),), "j"),
            (("why", "j/0"), (("GET why/j/0", TASK),), "attempt 1 on w1: fit"),
            (("report", "burn"), (("GET burn", BURN),), "90.00%"),
            (
                ("data-centre", "out", "a"),
                (
                    ("POST data-centres/a", {"revision": 4}),
                    ("GET configuration", SHOWN),
                ),
                "in force",
            ),
        )
        for arguments, answers, part in table:
            with self.subTest(" ".join(arguments)):
                status, out, errors = call(*arguments, answers=answers)
                self.assertEqual((status, errors), (0, ""))
                self.assertIn(part, out)

    def test_json(self):
        status, out, _ = call("why", "j/0", "--json", answers=[("GET why/j/0", TASK)])
        self.assertEqual((status, json.loads(out)), (0, TASK))

    def test_page(self):
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "burn.html"
            call("report", "burn", "--page", str(page), answers=[("GET burn", BURN)])
            self.assertIn("<svg", page.read_text())
            self.assertIn("desk in a, 5 min", page.read_text())

    def test_exit_statuses(self):
        table = (
            ("refused", CommandRefusedError("no"), 1),
            ("not reached", UnreachableError("no"), 3),
            ("unknown", OutcomeUnknownError("no"), 4),
        )
        for name, error, expected in table:
            with self.subTest(name):
                status, out, errors = call("jobs", error=error)
                self.assertEqual((status, out), (expected, ""))
                self.assertEqual(errors, "dogwoodlever: no\n")

    def test_usage_errors(self):
        for arguments in (("fly",), ("submit",), ("why", "--colour", "red")):
            with self.subTest(" ".join(arguments)):
                self.assertEqual(call(*arguments)[0], 2)

    def test_not_confirmed_everywhere(self):
        unconfirmed = [DAEMONS[0], DAEMONS[1] | {"configuration_current": False}]
        shown = SHOWN | {"daemons": unconfirmed}
        answers = (
            ("POST data-centres/a", {"revision": 4}),
            ("GET configuration", shown),
        )
        with patch("dogwoodlever._cli_app.CONFIRMATION_TIMEOUT_S", 0.0):
            status, _, errors = call("data-centre", "out", "a", answers=answers)
        self.assertEqual(status, 4)
        self.assertIn("d2#1", errors)

    def test_bad_job_file_names_file_and_key(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "bad.job.yaml"
            file.write_text(Path(JOB).read_text().replace("cores: 2", "cores: -2"))
            status, _, errors = call("submit", str(file))
        self.assertEqual(status, 1)
        self.assertIn("bad.job.yaml.cores", errors)

    def test_import_checks_every_job_before_sending_any(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "old.yaml"
            file.write_text("jobs: [{job: a}, {job: b, tasks: 0}]")
            status, _, errors = call("import", str(file))
        self.assertEqual(status, 1)
        self.assertIn("jobs[0]", errors)
        self.assertIn("jobs[1]", errors)
