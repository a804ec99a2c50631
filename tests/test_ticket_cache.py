"""Tickets of a service that handles the calls of a VM one at a time."""

import unittest

import msgspec
from twisted.internet.defer import Deferred, fail

from dogwoodlever._fleet_job import JobPhase
from dogwoodlever.platform_errors import AdviceError
from standins.fleet import FakeAdvice
from tests.fleet_simulation import CONFIGURATION, FleetSimulation, job

WORKERS = 40
# The service refuses further calls of a VM while this many wait.
WAITING_MAX = 32


class SerialAdvice(FakeAdvice):
    """Advice service that handles one call at a time and refuses too many.

    Attributes
    ----------
    decision_s, worker_s : float
        Duration of a call, and of each worker in it.
    open_max : int
        Largest number of calls that were open at a time.
    """

    def __init__(self, clock, decision_s, worker_s):
        super().__init__(clock)
        self.decision_s, self.worker_s = decision_s, worker_s
        self.open = self.open_max = 0
        self._free_s = 0.0

    def advise(self, step, worker_ids):
        if self.open >= WAITING_MAX:
            return fail(AdviceError("status 429"))
        self.open += 1
        self.open_max = max(self.open_max, self.open)
        self.calls.append((step, worker_ids))
        begins_s = max(self._free_s, self._clock.seconds())
        self._free_s = begins_s + self.decision_s + self.worker_s * len(worker_ids)
        response = Deferred()
        self._clock.callLater(
            self._free_s - self._clock.seconds(), self._end, response, step, worker_ids
        )
        return response

    def _end(self, response, step, worker_ids):
        self.open -= 1
        response.callback(
            {
                name: self.ticket(step, name)
                for name in worker_ids
                if name in self.allowed
            }
        )


def job_id(number):
    return f"{number:016x}"


class TicketCacheTest(unittest.TestCase):
    def start_fleet(self, decision_ms, worker_ms, valid_ms):
        fleet = FleetSimulation(workers=WORKERS, run_s=0.4)
        advice = SerialAdvice(fleet.clock, decision_ms / 1000, worker_ms / 1000)
        advice.allowed = {f"w{number}" for number in range(WORKERS) if number % 3}
        for node in fleet.nodes:
            node._advice = advice
        timing = {
            "decision_ms": decision_ms, "period_ms": worker_ms, "valid_ms": valid_ms,
        }  # fmt: skip
        route = CONFIGURATION["routes"][0] | {"advice": timing}
        fleet.configure(CONFIGURATION | {"version": 2, "routes": [route]})
        fleet.run_for(1.0)
        return fleet, advice

    # name, decision_ms, worker_ms, valid_ms, jobs that arrive at once
    BURSTS = [
        ("few", 60, 2, 3000, 4),
        ("the wait of 30 calls outlasts a ticket", 60, 2, 3000, 30),
        ("more than the service lets wait", 60, 2, 3000, 60),
        ("a call outlasts half of a ticket", 900, 20, 2500, 6),
        ("a call outlasts a ticket", 900, 20, 1000, 6),
    ]

    # Guards against tickets that are asked for faster than they can be used, arrive
    # expired and are asked for again for ever.
    def test_burst_starts_at_the_rate_of_the_service(self):
        for name, decision_ms, worker_ms, valid_ms, jobs in self.BURSTS:
            with self.subTest(name):
                fleet, advice = self.start_fleet(decision_ms, worker_ms, valid_ms)
                for number in range(jobs):
                    fleet.submit(0, job(job_id(number), tasks=4), wait_s=0.0)
                call_s = (decision_ms + 30 * worker_ms) / 1000
                fleet.run_for(jobs * call_s * 1.2 + 1.5)
                phases = {fleet.read_phase(0, job_id(number)) for number in range(jobs)}
                self.assertEqual(phases, {JobPhase.COMPLETED})
                self.assertEqual(advice.open_max, 1)
                # No step is asked for again while its tickets are valid.
                self.assertEqual(len(advice.calls), jobs)

    # Guards against a gang whose first tickets expire while it waits for the others.
    def test_gang_gets_all_its_tickets_at_one_time(self):
        fleet, advice = self.start_fleet(200, 2, 1200)
        for number in range(12):
            fleet.submit(0, job(job_id(number), tasks=4), wait_s=0.0)
        # Needs 25 of the 26 workers that the policy allows, so two calls.
        gang = msgspec.structs.replace(
            job("f" * 16, tasks=25, gang=True, worker_tasks_max=1)
        )
        fleet.submit(0, gang, wait_s=0.0)
        for number in range(12, 24):
            fleet.submit(0, job(job_id(number), tasks=4), wait_s=0.0)
        fleet.run_for(26 * 0.26 * 1.2 + 2.0)
        self.assertEqual(fleet.read_phase(0, "f" * 16), JobPhase.COMPLETED)
        self.assertEqual(advice.open_max, 1)

    # Guards against calls that go on at full rate while the service refuses them.
    def test_refused_calls_are_sent_again_after_a_pause(self):
        fleet, advice = self.start_fleet(60, 2, 3000)
        advice.open = WAITING_MAX
        attempts = []
        advise = advice.advise
        advice.advise = lambda *call: (attempts.append(call), advise(*call))[1]
        for number in range(5):
            fleet.submit(0, job(job_id(number), tasks=1), wait_s=0.0)
        fleet.run_for(3.0)
        self.assertLessEqual(len(attempts), 11)
        advice.open = 0
        fleet.run_for(3.0)
        for number in range(5):
            self.assertEqual(fleet.read_phase(0, job_id(number)), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
