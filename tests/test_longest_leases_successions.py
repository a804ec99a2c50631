"""Longest leases over several changes of leader, with the worker cut off throughout."""

import itertools
import unittest

from dogwoodlever._run_registry import RUNS_PER_TERM
from tests.fleet_simulation import worker_entry
from tests.test_longest_leases import (
    LONGEST_S,
    START_MAX_S,
    WORKER_CUTS,
    ReturnedWorkersTest,
)

DAEMONS = 5


class LeadersInSeriesTest(ReturnedWorkersTest):
    """The leader under which the worker has returned is the first of several lost."""

    def start_fleet(self, **sizes):
        return super().start_fleet(daemons=DAEMONS, **sizes)

    # Guards against runs that the third to fifth leader starts elsewhere during the
    # longest lease of a worker that returned under the first one (TWICE).
    def test_work_is_started_some_leaders_after_the_return(self):
        for (hows, leads_s), cut in itertools.product(
            (
                (("killed", "killed"), 1.0),
                (("killed", "stopped"), 0.0),
                (("killed", "cut off"), 0.0),
                (("stopped", "killed"), 1.0),
                (("cut off", "stopped"), 1.0),
                (("killed", "killed", "killed"), 1.0),
                (("killed", "stopped", "killed"), 0.5),
                (("stopped", "stopped", "stopped"), 0.0),
                (("cut off", "cut off", "cut off"), 0.5),
                (("stopped", "killed", "cut off"), 1.0),
                (("killed", "killed", "killed", "killed"), 1.0),
                (("stopped", "cut off", "stopped", "stopped"), 0.0),
            ),
            WORKER_CUTS,
        ):
            with self.subTest(hows=hows, leads_s=leads_s, cut=cut):
                self.check_losses(hows, leads_s, cut)

    def check_losses(self, hows, leads_s, cut):
        """Lose leaders; each but the first leads for a time without the worker."""
        fleet, lost = self.start_work()
        fleet.workers.crash(lost)
        fleet.run_for(0.3)
        worker = self.return_worker(fleet, lost)
        fleet.run_for(0.2)
        self.assertEqual(len(worker.running), 2)
        fleet.add_worker(worker_entry(8), 0.0)
        former = {self.lose_leader(fleet, hows[0])}
        WORKER_CUTS[cut](worker)
        self.await_successor(fleet, former)
        for how in hows[1:]:
            fleet.run_for(leads_s)
            former.add(self.lose_leader(fleet, how))
            self.await_successor(fleet, former)
        self.check_work(fleet, worker, LONGEST_S + START_MAX_S)
        run_id, _ = fleet.workers.starts[-1]
        self.assertEqual(run_id.number // RUNS_PER_TERM, len(hows))


if __name__ == "__main__":
    unittest.main()
