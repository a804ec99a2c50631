"""Runs that end some time after the expiry of their lease."""

import unittest

from tests.fleet_simulation import StandingWorkTest

# Longest wait for a worker that only a former leader may reach.
WAIT_MAX_S = 20.0
JOB_INTERVAL_S = 0.05


def silence(fleet, worker_id):
    fleet.workers.workers[worker_id].is_reachable = False


def silence_and_kill_leader(fleet, worker_id):
    silence(fleet, worker_id)
    fleet.kill(fleet.leader())


def cut_off_with_leader(fleet, worker_id):
    """Let only the leader, cut off from the store and its peers, reach a worker."""
    leader = fleet.leader()
    fleet.stores[leader].is_down = True
    fleet.nodes[leader].mesh.is_down = True
    others = set(fleet.workers.workers) - {worker_id}
    for number, client in enumerate(fleet.worker_clients):
        client.unreachable = others if number == leader else {worker_id}


class LeaseExpiryTest(StandingWorkTest):
    # Guards against runs that are started elsewhere while their worker, which does not
    # answer, takes up to the time of a stop to end those whose lease has expired.
    def test_runs_that_take_the_time_of_a_stop_to_end(self):
        for lose in (silence, silence_and_kill_leader, cut_off_with_leader):
            for lapse_s in (0.0, 0.1, 0.2, 0.3, 0.4):
                for clock_rate in (1.0, 0.98):
                    with self.subTest(
                        lose.__name__, lapse_s=lapse_s, clock_rate=clock_rate
                    ):
                        self.check_lapse(lose, lapse_s, clock_rate)

    def check_lapse(self, lose, lapse_s, clock_rate):
        fleet = self.start_fleet(workers=3)
        fleet.workers.lapse_s = lapse_s
        for worker in fleet.workers.workers.values():
            worker.clock_rate = clock_rate
        lose(fleet, self.start_standing_job(fleet, 4))
        self.run_under_load(fleet, WAIT_MAX_S)
        self.assertEqual(fleet.workers.duplicate_starts, [])
        self.assertEqual(self.count_running(fleet), 4)

    def run_under_load(self, fleet, duration_s):
        """Run while jobs arrive, for each of which the leader contacts the store."""
        for _ in range(round(duration_s / JOB_INTERVAL_S)):
            fleet.run_for(JOB_INTERVAL_S)
            for node in fleet.nodes:
                node.election.confirm_soon()


if __name__ == "__main__":
    unittest.main()
