"""A ready task gets room within a bound, although smaller work takes each hole."""

import unittest

from tests.test_fleet_planner import (
    NOW_S,
    Fixture,
    best_effort_step,
    serving_step,
    step,
)


class ProbationTest(unittest.TestCase):
    # name, older run on the worker
    OLDER_RUNS = [
        ("standing task", serving_step("s")),
        ("long task", step(run_s=600.0)),
        ("best-effort task", best_effort_step("b")),
    ]

    # Pattern: a worker is quarantined while tasks run there that do not end. Guards
    # against a probation that never ends as no task may start to end it.
    def test_worker_with_older_runs_is_probed(self):
        for name, spec in self.OLDER_RUNS:
            with self.subTest(name):
                fixture = Fixture(workers=1)
                fixture.run_on(fixture.capacities[0], spec)
                now_s = NOW_S + 1.0
                for number in range(3):
                    fixture.faults.record_failure("w0", f"f{number}", now_s, 1)
                fixture.add("watch", [serving_step("s", tasks=2)])
                self.assertEqual(fixture.plan(now_s=now_s), [])
                now_s = fixture.faults.worker("w0").quarantined_until_s
                self.assertEqual(fixture.plan(now_s=now_s), [("watch", "w0")])
                # One task at a time.
                self.assertEqual(fixture.plan(now_s=now_s), [])


if __name__ == "__main__":
    unittest.main()
