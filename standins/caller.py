"""A caller that sends requests at a given rate and counts their outcomes."""

import random
from collections import Counter
from io import BytesIO

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

TIMEOUT_S = 10.0


class Caller:
    """Open-loop caller: sends without waiting for earlier responses.

    Parameters
    ----------
    urls : list of str
        URLs of operations, called in turn.
    seed : int
        Seed of the intervals between calls.
    """

    def __init__(self, urls: list[str], seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._urls = urls
        self._random = random.Random(seed)
        self._agent = Agent(reactor, connectTimeout=1.0)
        self._open = 0

    @inlineCallbacks
    def run(self, rate_per_s: float, duration_s: float):
        """Send calls for `duration_s`, then wait for the open ones to end."""
        until_s = reactor.seconds() + duration_s
        number = 0
        while reactor.seconds() < until_s:
            self._send(self._urls[number % len(self._urls)], number)
            number += 1
            gap_s = self._random.expovariate(rate_per_s)
            yield deferLater(reactor, gap_s)
        while self._open:
            yield deferLater(reactor, 0.05)

    @inlineCallbacks
    def _send(self, url: str, number: int):
        self._open += 1
        headers = Headers({b"Idempotency-Key": [b"caller-%d" % number]})
        body = FileBodyProducer(BytesIO(b"call-%d" % number))
        try:
            call = self._agent.request(b"POST", url.encode(), headers, body)
            response = yield call.addTimeout(TIMEOUT_S, reactor)
            yield readBody(response).addTimeout(TIMEOUT_S, reactor)
            raw = response.headers.getRawHeaders(b"Dogwoodlever-Outcome", [b"none"])
            self.counts[raw[0].decode()] += 1
        except Exception:
            self.counts["no response"] += 1
        finally:
            self._open -= 1


def run_callers(urls: list[str], rate_per_s: float, duration_s: float, seed: int):
    """Run the reactor with one caller until it ends; return counts by outcome."""
    caller = Caller(urls, seed)
    done = caller.run(rate_per_s, duration_s)
    done.addBoth(lambda _: reactor.stop())
    reactor.run()
    return dict(caller.counts)
