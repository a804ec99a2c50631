"""A daemon that stops answers what callers send over open connections."""

import unittest

from dogwoodlever._fleet_node import BALANCER_DETECTION_S, GRACE_FRACTION
from tests.fleet_simulation import JOB, FleetSimulation
from tests.test_workspace_keys import call

GRACE_S = 6.0


class StopTest(unittest.TestCase):
    # name, times of requests after SIGTERM
    REQUESTS = [
        ("none", ()),
        ("long before the end", (0.5,)),
        ("just before the end", (BALANCER_DETECTION_S - 0.02,)),
        (
            "while the daemon waits for others",
            (BALANCER_DETECTION_S - 0.02, BALANCER_DETECTION_S + 0.04),
        ),
        (
            "one after the other until the grace period is over",
            tuple(0.2 * number for number in range(1, 24)),
        ),
    ]

    # Guards against a request that is read just before the process ends and gets no
    # answer.
    def test_requests_are_answered_before_the_end(self):
        for name, times_s in self.REQUESTS:
            with self.subTest(name):
                fleet = FleetSimulation(daemons=2)
                fleet.run_for(1.0)
                node = fleet.nodes[1 - fleet.leader()]
                stopped = []
                node.on_stopped = lambda f=fleet, s=stopped: s.append(f.clock.seconds())
                began_s = fleet.clock.seconds()
                node.stop()
                requests = []
                for time_s in times_s:
                    fleet.run_for(began_s + time_s - fleet.clock.seconds())
                    self.assertEqual(stopped, [])
                    requests.append(call(node, b"GET", "/quotes/" + JOB))
                fleet.run_for(GRACE_S - (fleet.clock.seconds() - began_s))
                self.assertEqual(len(stopped), 1)
                self.assertLess(stopped[0] - began_s, GRACE_S * GRACE_FRACTION + 0.1)
                for request in requests:
                    self.assertTrue(request.responseCode)


if __name__ == "__main__":
    unittest.main()
