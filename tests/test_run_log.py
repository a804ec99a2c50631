"""Lines that list several runs, and their way back to one event a run."""

import unittest
from unittest.mock import patch

from twisted.internet.task import Clock

from dogwoodlever._fleet_types import RunId, TaskId
from dogwoodlever._job_timeline import parse_events, read_job_timeline
from dogwoodlever._logs import format_event
from dogwoodlever._run_log import INTERVAL_S, RunLog

JOB = "86b18d8117483053"
OTHER_JOB = "0" * 16
PREFIX = "I0301 00:00:00.050000 140737351952192 runs.placed:0] "


def run_id(index=0, number=1, job_id=JOB, step=0):
    return RunId(TaskId(job_id, 0, step, index), number)


class RunLogTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.log = RunLog(self.clock)
        self.lines = []
        patcher = patch("dogwoodlever._run_log.log_event", self.record_line)
        patcher.start()
        self.addCleanup(patcher.stop)

    def record_line(self, event, **fields):
        self.lines.append(format_event(event, **fields))

    def test_one_line_of_a_kind_in_an_interval(self):
        self.log.add_placed(run_id(0), "w1", 0.012, 2750)
        self.log.add_placed(run_id(1, 2), "w2", 0.012, -50)
        self.log.add_placed(run_id(0, job_id=OTHER_JOB), "w1", 0.3, 0)
        self.clock.advance(0.04)
        self.log.add_ended(run_id(4, step=1), "w1", "done", 1.4904)
        self.log.add_ended(run_id(5, step=1), "w1", "failed", 0.2)
        self.log.add_moved(run_id(6), "w3")
        self.assertEqual(self.lines, [])
        self.clock.advance(INTERVAL_S - 0.04)
        self.assertEqual(
            self.lines,
            [
                f"event=runs.placed runs={JOB}.0.0/12/0#1@w1:2750:100,1#2@w2:-50:100"
                f"+{OTHER_JOB}.0.0/300/0#1@w1:0:100",
                f"event=runs.ended runs={JOB}.0.1/done/4#1@w1:1490:60"
                f"+{JOB}.0.1/failed/5#1@w1:200:60",
                f"event=runs.moved runs={JOB}.0.0/6#1@w3:60",
            ],
        )

    def test_each_interval_and_each_flush_is_logged_once(self):
        for _ in range(2):
            self.log.add_moved(run_id(), "w1")
            self.log.flush()
            self.clock.advance(2 * INTERVAL_S)
            self.log.add_moved(run_id(), "w1")
            self.clock.advance(2 * INTERVAL_S)
        self.assertEqual(len(self.lines), 4)
        self.log.flush()
        self.assertEqual(len(self.lines), 4)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    # Guards against events that are lost, or whose times or fields change, between the
    # line that lists several runs and the reader of job timelines.
    def test_lines_are_read_as_events_of_single_runs(self):
        placed = {"worker": "w:1", "waited_s": "0.012", "free_milli": "5"}
        ended = {"worker": "w:1", "took_s": "1.49", "how": "done"}
        table = (
            ("placed", (run_id(3), "w:1", 0.012, 5), placed),
            ("ended", (run_id(3), "w:1", "done", 1.49), ended),
            ("moved", (run_id(3), "w:1"), {"worker": "w:1"}),
        )
        for kind, values, fields in table:
            with self.subTest(kind):
                getattr(self.log, f"add_{kind}")(*values)
                self.clock.advance(INTERVAL_S)
                (event,) = parse_events(PREFIX + self.lines.pop())
                self.assertEqual(event.name, f"run.{kind}")
                self.assertEqual(event.fields, {"run": f"{JOB}.0.0.3#1"} | fields)
                # One interval before the line, across midnight and a leap day.
                self.assertEqual(event.timestamp, "0229 23:59:59.950000")

    def test_timeline_of_one_of_several_jobs(self):
        self.log.add_placed(run_id(), "w1", 0.2, 5)
        self.log.add_placed(run_id(job_id=OTHER_JOB), "w1", 0.2, 5)
        self.log.flush()
        timeline = read_job_timeline(JOB, [PREFIX + line for line in self.lines])
        self.assertEqual(
            timeline.text().splitlines(),
            [
                f"job {JOB}",
                f"  task {JOB}.0.0.0",
                "    00:00:00.050 run 1 placed on w1, 0.200 s after the job arrived",
            ],
        )

    # Guards against a reader that fails on the last line of a killed process.
    def test_line_that_is_cut_gives_the_runs_before_the_cut(self):
        self.log.add_ended(run_id(0), "w1", "done", 1.0)
        self.log.add_ended(run_id(1), "w1", "done", 1.0)
        self.log.flush()
        (line,) = self.lines
        first, second = [f"{JOB}.0.0.0#1"], [f"{JOB}.0.0.1#1"]
        for length in range(len("event="), len(line)):
            with self.subTest(line[:length]):
                events = parse_events(line[:length])
                runs = [e.fields["run"] for e in events if "run" in e.fields]
                self.assertIn(runs, ([], first, first + second))
                self.assertTrue(runs or "," not in line[:length])


if __name__ == "__main__":
    unittest.main()
