import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from dogwoodlever.settings import merge, parse_document, read_site
from dogwoodlever.settings_errors import SettingsError

ROOT = Path(__file__).parent.parent
VALID_SETTINGS = """
site: small
data_centres: {a: {region: r}}
workers: {w1: {data_centre: a, rack: r1, host: 10.0.0.1, port: 9000}}
services:
  desk:
    latency_target_s: 0.2
    operations: {book: {idempotent: false}}
    servers: {s1: {worker: w1, host: 10.0.0.1, port: 9001}}
teams: {t: {cores: 4}}
"""

INVALID_SETTINGS = (
    ("unknown key", "sites: 1", ["10.yaml: sites: unknown key"]),
    ("wrong type", "teams: {t: {cores: many}}", ["10.yaml: teams.t.cores"]),
    ("negative", "teams: {t: {cores: -1}}", ["10.yaml: teams.t.cores"]),
    (
        "two faults at once",
        "teams: {t: {cores: -1}}\nlimits: {cells: 0}",
        ["teams.t.cores", "limits.cells"],
    ),
    (
        "undefined data centre",
        "workers: {w1: {data_centre: b}}",
        ["10.yaml: workers.w1.data_centre: no data centre 'b'"],
    ),
    ("quota over the whole", "teams: {t: {cores: 17}}", ["17 cores"]),
    ("undefined worker", "services: {desk: {servers: {s1: {worker: x}}}}", ["'x'"]),
    (
        "request longer than the longest",
        "services: {desk: {timeout_s: 9}}",
        ["longest_request_s"],
    ),
    ("loan longer than lease", "limits: {loan_term_s: 9}", ["loan_term_s"]),
    ("key twice", "teams: {}\nteams: {}", ["given twice"]),
    ("no map", "- 1", ["must hold a map"]),
    ("no YAML", "a: [", ["not YAML"]),
    ("missing", "data_centres: null", ["data_centres: missing"]),
)


class SiteTest(unittest.TestCase):
    def read(self, overlay: str):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "00.yaml").write_text(VALID_SETTINGS)
            (folder / "10.yaml").write_text(overlay)
            return read_site(folder)

    def test_examples_fit(self):
        for name, workers in (("swan-coast", 24), ("atlas", 33)):
            with self.subTest(name):
                result = read_site(ROOT / "examples" / name / "settings")
                self.assertIsInstance(result, Success)
                self.assertEqual(len(result.unwrap().workers), workers)

    def test_faults_are_listed(self):
        for name, overlay, expected in INVALID_SETTINGS:
            with self.subTest(name):
                result = self.read(overlay)
                self.assertIsInstance(result, Failure)
                for part in expected:
                    self.assertIn(part, str(result.failure()))

    def test_folder_without_files_is_rejected(self):
        with tempfile.TemporaryDirectory() as name:
            self.assertIsInstance(read_site(Path(name)), Failure)
        self.assertIsInstance(read_site(Path(name)), Failure)


class MergeTest(unittest.TestCase):
    def test_merge(self):
        table = (
            ("maps merge", {"a": {"b": 1}}, {"a": {"c": 2}}, {"a": {"b": 1, "c": 2}}),
            ("lists replace", {"a": [1]}, {"a": [2]}, {"a": [2]}),
            ("scalars replace", {"a": 1}, {"a": 2}, {"a": 2}),
            ("null removes", {"a": 1, "b": 2}, {"a": None}, {"b": 2}),
            ("null of nothing", {}, {"a": {"b": None}}, {"a": {}}),
            ("map over scalar", {"a": 1}, {"a": {"b": 1}}, {"a": {"b": 1}}),
        )
        for name, base, overlay, expected in table:
            with self.subTest(name):
                self.assertEqual(merge(base, overlay), expected)


class FuzzTest(unittest.TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(st.text(max_size=200) | st.binary(max_size=200))
    def test_any_text_parses_or_is_refused(self, text):
        try:
            self.assertIsInstance(parse_document(text, "file"), dict)
        except SettingsError as error:
            self.assertTrue(error.faults)
