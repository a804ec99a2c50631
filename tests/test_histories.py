"""Random sequences of jobs, load and faults, whose histories are checked.

``HISTORIES=500 python -m tests tests.test_histories`` runs 500 examples for each part.
"""

import os
import unittest

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.checkers import find_violations
from tests.faults import FAULTS
from tests.site_simulation import SiteSimulation

EXAMPLES_PER_PART = int(os.environ.get("HISTORIES", "25"))
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


class RandomHistory:
    """Applies drawn actions to a simulated site."""

    def __init__(self):
        self.simulation = SiteSimulation()
        self.simulation.submit("standing", 1, 1000.0, standing=True)
        self.jobs = []
        self.active_faults = []

    def apply(self, action):
        getattr(self, f"_{action[0]}")(*action[1:])

    def _fault(self, index, daemon, duration_s):
        fault = FAULTS[index]
        if not self.simulation.fake.daemons[daemon].clock.is_alive:
            return
        fault.inject(self.simulation, daemon)
        self.active_faults.append((fault, daemon))
        self.simulation.run(duration_s)
        if len(self.active_faults) > 1:
            self._heal_first()

    def _heal_first(self):
        fault, daemon = self.active_faults.pop(0)
        fault.heal(self.simulation, daemon)

    def _submit(self, tasks):
        self.jobs.append(f"job{len(self.jobs)}")
        self.simulation.submit(self.jobs[-1], tasks, 3.0)

    def _cancel(self, index):
        if index < len(self.jobs):
            self.simulation.cancel(self.jobs[index])

    def _stop(self, daemon):
        self.simulation.fake.daemons[daemon].node.stop()
        self.simulation.run(1.0)

    def _burst(self, daemon):
        for number in range(25):
            self.simulation.call(daemon, number % 3 > 0)
        self.simulation.run(0.2)

    def _wait(self, duration_s):
        self.simulation.run(duration_s)

    def finish_and_check(self):
        """Heal all faults, restart stopped daemons and let the jobs end.

        Returns the violations found.
        """
        while self.active_faults:
            self._heal_first()
        self.simulation.restart_stopped()
        are_archived = self.simulation.run_until(
            lambda: all(self.simulation.archived(job) for job in self.jobs),
            END_TIMEOUT_S,
        )
        self.simulation.run(2.0)
        violations = find_violations(self.simulation.record())
        if not are_archived:
            violations.append("a job was not archived")
        if not self.simulation.is_answering():
            violations.append("no request was answered at the end")
        return violations


class HistoriesTest(unittest.TestCase):
    pass


def _add_part(number):
    @seed(number)
    @settings(
        max_examples=EXAMPLES_PER_PART,
        deadline=None,
        database=None,
        print_blob=False,
        # Shrinking takes minutes, so a failing history is printed as drawn.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(actions)
    def test(self, drawn):
        history = RandomHistory()
        for action in drawn:
            history.apply(action)
        self.assertEqual(history.finish_and_check(), [])

    setattr(HistoriesTest, f"test_part_{number}", test)


for _number in range(PARTS):
    _add_part(_number)
