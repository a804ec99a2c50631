"""Random histories of elections with calls that are slow, lost or late."""

import random
import unittest

from twisted.internet.defer import Deferred

from dogwoodlever._fleet_records import LEADER_KEY, TERM_KEY, decode_term
from dogwoodlever.platform_errors import LeaseEndedError, StoreUnavailableError
from tests.fleet_simulation import STEP_S, FleetSimulation

DAEMONS = 4
HISTORY_S = 60.0
SEEDS = range(8)
CALL_TIMEOUT_S = 0.8
MEAN_DELAY_S = 0.004
# Mean interval of the disturbances.
INTERVAL_S = 1.0


class SlowCalls:
    """Delays, drops and reorders the calls of one daemon to the store.

    Parameters
    ----------
    fleet : FleetSimulation
        The daemons and the store.
    number : int
        The daemon.
    rng : random.Random
        Source of the delays.
    slow, lost : float
        Shares of the calls that take seconds, and that get no answer.
    """

    def __init__(self, fleet, number, rng, slow, lost):
        self._world = fleet.clock
        self._clock = fleet.clocks[number]
        self._store = fleet.stores[number]
        self._rng = rng
        self._slow = slow
        self._lost = lost
        self._store._call = self._call
        self._watch = self._store.watch
        self._store.watch = self._watch_late

    def _watch_late(self, prefix, revision, wait_ms):
        response = Deferred()

        def answer(result):
            delay_s = self._delay_s(2.0)
            self._clock.callLater(delay_s, self._answer, response, result)

        call = self._watch(prefix, revision, wait_ms)
        call.addCallbacks(answer, lambda _: self._time_out(response))
        return response

    def _delay_s(self, max_s):
        if self._rng.random() < self._slow:
            return self._rng.random() * max_s
        return self._rng.expovariate(1 / MEAN_DELAY_S)

    def _call(self, action):
        response = Deferred()
        self._clock.callLater(CALL_TIMEOUT_S, self._time_out, response)
        if not self._store.is_down and self._rng.random() >= self._lost:
            # Calls are carried out whether or not their sender waits for them.
            self._world.callLater(self._delay_s(2.5), self._run, action, response)
        return response

    def _run(self, action, response):
        try:
            result = action()
        except LeaseEndedError as error:
            result = error
        if self._rng.random() >= self._lost:
            self._clock.callLater(self._delay_s(1.0), self._answer, response, result)

    @staticmethod
    def _answer(response, result):
        if response.called:
            return
        is_error = isinstance(result, LeaseEndedError)
        (response.errback if is_error else response.callback)(result)

    @staticmethod
    def _time_out(response):
        if not response.called:
            response.errback(StoreUnavailableError("store did not respond"))


class ElectionHistoriesTest(unittest.TestCase):
    # Guards against a leader that takes an answer of the store for proof that it has no
    # successor, although there is one.
    def test_contact_is_no_later_than_the_election_of_a_successor(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_history(seed)

    def check_history(self, seed):
        self.rng = random.Random(seed)
        self.fleet = FleetSimulation(daemons=DAEMONS, workers=0)
        slow, lost = self.rng.choice((0.05, 0.1, 0.3)), self.rng.choice((0.0, 0.05))
        for number in range(DAEMONS):
            SlowCalls(self.fleet, number, self.rng, slow, lost)
        self.terms = []
        self.frozen_until_s = {}
        self.record_terms()
        for _ in range(round(HISTORY_S / STEP_S)):
            self.fleet.run_for(STEP_S)
            self.disturb()
            self.check_contacts()
        self.assertGreater(len(self.terms), 5)

    def record_terms(self):
        """Record the time of each election."""
        records = self.fleet.records
        commit = records.commit

        def commit_and_record(expected, puts, deletes):
            result = commit(expected, puts, deletes)
            for put in puts:
                if put.key == TERM_KEY and result.revision:
                    member = decode_term(put.value).member
                    now_s = self.fleet.clock.seconds()
                    self.terms.append((now_s, member, result.revision))
            return result

        records.commit = commit_and_record

    def disturb(self):
        now_s = self.fleet.clock.seconds()
        for number, until_s in list(self.frozen_until_s.items()):
            if until_s <= now_s:
                del self.frozen_until_s[number]
                self.fleet.clocks[number].thaw()
        if self.rng.random() >= STEP_S / INTERVAL_S:
            return
        number = self.rng.randrange(DAEMONS)
        records = self.fleet.records
        match self.rng.choice((*["remove"] * 4, "freeze", "pause", "cut", "mesh")):
            case "remove":
                records.remove(LEADER_KEY)
            case "freeze" if number not in self.frozen_until_s:
                pause_s = self.rng.choice((0.5, 1.5, 2.0, 3.0, 6.0, 9.0))
                self.frozen_until_s[number] = now_s + pause_s
                self.fleet.clocks[number].freeze()
            case "pause":
                records.is_lease_expiry_paused = not records.is_lease_expiry_paused
            case "cut":
                store = self.fleet.stores[number]
                store.is_down = not store.is_down
            case "mesh":
                mesh = self.fleet.nodes[number].mesh
                mesh.is_down = not mesh.is_down

    def check_contacts(self):
        for node in self.fleet.nodes:
            election = node.election
            if not election.leads:
                continue
            for elected_s, member, revision in self.terms:
                if revision > election.fencing_token and member != node.member:
                    self.assertLessEqual(election.contact_s, elected_s)


if __name__ == "__main__":
    unittest.main()
