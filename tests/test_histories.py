"""Concurrent runs under drawn faults, whose histories the checkers judge.

``HISTORIES=500 python -m tests tests.test_histories`` runs more of them.
"""

import os
import unittest

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.checkers import find_violations
from tests.faults import FAULTS
from tests.site_simulation import SiteSimulation

EXAMPLES = int(os.environ.get("HISTORIES", "25"))
PARTS = 8
DAEMONS = ("d1", "d2", "d3", "d4")
END_TIMEOUT_S = 90.0

actions = st.lists(
    st.one_of(
        st.tuples(
            st.just("fault"),
            st.sampled_from(range(len(FAULTS))),
            st.sampled_from(DAEMONS),
            st.sampled_from((0.2, 1.0, 4.0, 9.0)),
        ),
        st.tuples(st.just("submit"), st.sampled_from((1, 5, 14))),
        st.tuples(st.just("cancel"), st.integers(0, 3)),
        st.tuples(st.just("stop"), st.sampled_from(DAEMONS)),
        st.tuples(st.just("burst"), st.sampled_from(DAEMONS)),
        st.tuples(st.just("wait"), st.sampled_from((0.1, 0.7, 3.0))),
    ),
    min_size=3,
    max_size=9,
)


class Run:
    """One drawn history."""

    def __init__(self):
        self.world = SiteSimulation()
        self.world.submit("standing", 1, 1000.0, standing=True)
        self.jobs = []
        self.open = []

    def act(self, action):
        getattr(self, f"_{action[0]}")(*action[1:])

    def _fault(self, index, daemon, during_s):
        fault = FAULTS[index]
        if not self.world.fake.daemons[daemon].clock.is_alive:
            return
        fault.inject(self.world, daemon)
        self.open.append((fault, daemon))
        self.world.run(during_s)
        if len(self.open) > 1:
            self._heal_first()

    def _heal_first(self):
        fault, daemon = self.open.pop(0)
        fault.heal(self.world, daemon)

    def _submit(self, tasks):
        self.jobs.append(f"job{len(self.jobs)}")
        self.world.submit(self.jobs[-1], tasks, 3.0)

    def _cancel(self, index):
        if index < len(self.jobs):
            self.world.cancel(self.jobs[index])

    def _stop(self, daemon):
        self.world.fake.daemons[daemon].node.stop()
        self.world.run(1.0)

    def _burst(self, daemon):
        for number in range(25):
            self.world.call(daemon, number % 3 > 0)
        self.world.run(0.2)

    def _wait(self, duration_s):
        self.world.run(duration_s)

    def end(self):
        """Heal everything, restart what was stopped, and let it finish."""
        while self.open:
            self._heal_first()
        self.world.restart_stopped()
        ended = self.world.run_until(
            lambda: all(self.world.archived(job) for job in self.jobs), END_TIMEOUT_S
        )
        self.world.run(2.0)
        found = find_violations(self.world.record())
        if not ended:
            found.append("a job did not end")
        if not self.world.answers():
            found.append("requests are not answered at the end")
        return found


class HistoriesTest(unittest.TestCase):
    pass


def _add_part(number):
    @seed(number)
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        print_blob=False,
        # A failing history is printed as drawn; shrinking it takes minutes.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(actions)
    def test(self, drawn):
        run = Run()
        for action in drawn:
            run.act(action)
        self.assertEqual(run.end(), [])

    setattr(HistoriesTest, f"test_part_{number}", test)


for _number in range(PARTS):
    _add_part(_number)
