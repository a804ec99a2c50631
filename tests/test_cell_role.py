import unittest

import msgspec

from dogwoodlever.batch import Job, decode_cell_state
from dogwoodlever.settings import Team
from standins.fake_site import FakeSite
from tests.sites import make_site

CELL = "cell-00"
URGENT_START_S = 7.7


class CellRoleTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeSite(make_site(), 4)
        self.fake.settle()

    def submit(self, name, tasks, run_s, **more):
        team = more.pop("team", "alpha")
        job = Job(name, team, "k", tasks, 2.0, 10**9, run_s, **more)
        key = f"live/inbox/{CELL}/job/{name}"
        self.fake.values.write(key, msgspec.json.encode(job), 0)

    def runs(self, job):
        return [
            run
            for machine in self.fake.machines.values()
            for run in machine.records
            if run.order.task_id.startswith(f"{job}/")
        ]

    def finished(self, job):
        return sum(run.outcome == "finished" for run in self.runs(job))

    def owner(self):
        entry = self.fake.values.entries[f"live/owners/{CELL}"]
        return msgspec.json.decode(entry.value)["owner"].partition("#")[0]

    def cell_state(self):
        return decode_cell_state(self.fake.values.entries[f"cells/{CELL}"].value)

    def test_urgent_tasks_start_in_time_on_a_full_site(self):
        table = (("within its quota", 48.0), ("over its quota", 24.0))
        for name, quota in table:
            with self.subTest(name):
                site = make_site()
                teams = site.teams | {"beta": Team(quota)}
                self.fake = FakeSite(msgspec.structs.replace(site, teams=teams), 4)
                self.fake.settle()
                self.submit("long", 12, 600.0)
                self.submit("other", 12, 600.0, team="beta")
                self.fake.advance(3.0)
                self.assertEqual(len(self.runs("long") + self.runs("other")), 24)
                self.submit("urgent", 6, 60.0, team="beta", urgent=True)
                self.fake.advance(URGENT_START_S)
                self.assertEqual(len(self.runs("urgent")), 6)
                stopped = [
                    r
                    for r in self.runs("long") + self.runs("other")
                    if r.outcome == "stopped"
                ]
                self.assertEqual(len(stopped), 6)

    def test_tasks_keep_running_in_an_outage_and_their_ends_are_recorded(self):
        self.submit("long", 8, 20.0)
        self.fake.advance(2.0)
        self.fake.values.faults.down = True
        self.fake.advance(40.0, 0.02)
        self.assertEqual(self.finished("long"), 8)
        self.fake.values.faults.down = False
        self.fake.advance(5.0)
        self.assertIn("archive/long", self.fake.values.entries)
        self.assertEqual(len(self.runs("long")), 8)

    def test_nothing_new_starts_in_an_outage(self):
        self.submit("long", 20, 5.0)
        self.fake.advance(2.0)
        started = len(self.runs("long"))
        self.fake.values.faults.down = True
        self.fake.advance(20.0, 0.02)
        self.assertEqual(len(self.runs("long")), started)
        self.fake.values.faults.down = False
        self.fake.advance(20.0, 0.02)
        self.assertEqual(self.finished("long"), 20)

    def test_stopping_owner_hands_over_without_interrupting_tasks(self):
        self.submit("long", 8, 15.0)
        self.fake.advance(2.0)
        before = self.owner()
        self.fake.daemons[before].node.stop()
        self.fake.advance(5.0)
        self.assertNotIn(self.owner(), ("", before))
        self.fake.advance(15.0)
        self.assertEqual((len(self.runs("long")), self.finished("long")), (8, 8))

    def test_dead_owner_is_replaced_and_tasks_finish_once(self):
        self.submit("long", 8, 30.0)
        self.fake.advance(2.0)
        before = self.owner()
        self.fake.kill(before)
        self.fake.advance(80.0, 0.02)
        self.assertNotEqual(self.owner(), before)
        self.assertEqual(self.finished("long"), 8)

    def test_epochs_rise_with_each_owner(self):
        first = self.cell_state().epoch
        self.fake.daemons[self.owner()].node.stop()
        self.fake.advance(6.0)
        self.assertEqual(self.cell_state().epoch, first + 1)

    def test_repeated_job_is_not_run_again_even_when_it_was_archived(self):
        self.submit("short", 2, 1.0)
        self.fake.advance(6.0)
        self.assertIn("archive/short", self.fake.values.entries)
        self.submit("short", 2, 1.0)
        self.fake.advance(6.0)
        self.assertEqual(len(self.runs("short")), 2)
        inbox = [k for k in self.fake.values.entries if k.startswith("live/inbox/")]
        self.assertEqual(inbox, [])

    def test_mass_cancellation_takes_few_writes(self):
        for number in range(20):
            self.submit(f"j{number}", 10, 60.0)
        self.fake.advance(3.0)
        self.fake.values.calls.clear()
        ids = [f"j{number}" for number in range(20)]
        key = f"live/inbox/{CELL}/cancel/wave"
        self.fake.values.write(key, msgspec.json.encode(ids), 0)
        self.fake.advance(4.0)
        for name in ids:
            self.assertIn(f"archive/{name}", self.fake.values.entries)
        self.assertLessEqual(self.fake.values.calls["write"], 20 + 12)

    def test_job_is_not_lost_when_its_commit_conflicts(self):
        self.submit("kept", 2, 1.0)
        key = f"cells/{CELL}"
        for _ in range(40):
            entry = self.fake.values.entries[key]
            self.fake.values.write(key, entry.value, entry.version)
            self.fake.advance(0.05)
        self.fake.advance(10.0)
        self.assertEqual(self.finished("kept"), 2)

    def test_cancellation_right_after_the_job_is_kept(self):
        for order in (("job", "cancel"), ("cancel", "job")):
            with self.subTest(order):
                self.setUp()
                for kind in order:
                    if kind == "job":
                        self.submit("j", 2, 1.0)
                    else:
                        key = f"live/inbox/{CELL}/cancel/c"
                        self.fake.values.write(key, b'["j"]', 0)
                self.fake.advance(8.0)
                expected = 0 if order[0] == "job" else 2
                self.assertEqual(self.finished("j"), expected)

    def test_workers_accept_a_reloaded_cell_at_once(self):
        self.submit("long", 8, 40.0)
        self.fake.advance(20.0)
        key = f"cells/{CELL}"
        entry = self.fake.values.entries[key]
        self.fake.values.write(key, entry.value, entry.version)
        self.submit("next", 1, 1.0)
        self.fake.advance(15.0)
        self.assertEqual(self.finished("next"), 1)
        self.fake.advance(10.0)
        self.assertEqual((len(self.runs("long")), self.finished("long")), (8, 8))
