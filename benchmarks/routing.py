"""Routing under load: the dispatchers against three baselines.

Seven dispatchers share 24 backend servers of 8 slots. Two servers are three
times slower, one ends in the middle. Every policy sees the same arrivals.
"""

import random
import time
from dataclasses import dataclass, field

from benchmarks._events import Events, quantile
from dogwoodlever.routing import (
    AdvertiseDemand,
    Dispatcher,
    DispatcherLimits,
    EndRequest,
    GrantLoans,
    Outcome,
    Request,
    ReturnLoans,
    SendAttempt,
    SlotPool,
    split_slots,
)
from standins.backend_slots import BackendSlots

DAEMONS = 7
SERVERS = 24
SLOTS = 8
HOMES = 3
SERVICE_S = 0.1
SPREAD = 0.4
SLOW_FACTOR = 3.0
SLOW = ("s05", "s14")
DYING = "s09"
DEADLINE_S = 1.0
HOP_S = 0.0014
CALLERS = 40
IDEMPOTENT_PART = 0.8
DURATION_S = 14.0
DEATH_S = 7.0
TICK_S = 0.02
LOADS = (0.5, 0.8, 0.95, 1.2, 2.0)
MEAN_S = SERVICE_S * 2.718281828 ** (SPREAD**2 / 2)
CAPACITY_PER_S = (SERVERS - 2 + 2 / SLOW_FACTOR) * SLOTS / MEAN_S


@dataclass(slots=True)
class Arrival:
    """One request to come."""

    number: int
    at_s: float
    daemon: int
    caller: str
    idempotent: bool


@dataclass(slots=True)
class Result:
    """What one policy did with the arrivals."""

    latencies_s: list[float] = field(default_factory=list)
    useful: int = 0
    total: int = 0
    not_run: int = 0
    unknown: int = 0
    overloads: int = 0
    messages: int = 0

    def answered(self, latency_s: float) -> None:
        """Count an answer."""
        self.latencies_s.append(latency_s)
        self.useful += latency_s <= DEADLINE_S


class Servers:
    """Backend servers with their service times and the one that ends."""

    def __init__(self, events: Events, seed: int) -> None:
        self.events = events
        self.names = [f"s{i + 1:02d}" for i in range(SERVERS)]
        self.slots = {name: BackendSlots(name, SLOTS) for name in self.names}
        self.dead: set[str] = set()
        self._random = random.Random(seed)
        self._broken: dict[str, list] = {DYING: []}
        events.at(DEATH_S, self._die)

    def _die(self) -> None:
        self.dead.add(DYING)
        for action in self._broken.pop(DYING):
            action()

    def duration_s(self, name: str) -> float:
        """Return the service time of one request."""
        factor = SLOW_FACTOR if name in SLOW else 1.0
        return factor * SERVICE_S * self._random.lognormvariate(0, SPREAD)

    def run(self, name: str, answered, refused, broken) -> None:
        """Run a request; call one of the three when its fate is known."""
        if name in self.dead:
            self.events.after(2 * HOP_S, refused)
            return
        served = self.slots[name].start("", self.events.now_s)
        if served is None:
            self.events.after(2 * HOP_S, refused)
            return
        state = {"open": True}

        def break_off() -> None:
            if state["open"]:
                state["open"] = False
                broken()

        def end() -> None:
            self.slots[name].end(served, self.events.now_s)
            if state["open"]:
                state["open"] = False
                answered()

        if name in self._broken:
            self._broken[name].append(break_off)
        self.events.after(HOP_S * 2 + self.duration_s(name), end)

    def overloads(self) -> int:
        """Return the requests that met a full server."""
        return sum(slots.overloads for slots in self.slots.values())


def arrivals(load: float, seed: int) -> list[Arrival]:
    """Return the seeded list of arrivals at a load."""
    rng = random.Random(seed)
    found, at_s = [], 0.0
    while True:
        at_s += rng.expovariate(load * CAPACITY_PER_S)
        if at_s > DURATION_S:
            return found
        found.append(
            Arrival(
                len(found),
                at_s,
                rng.randrange(DAEMONS),
                f"c{rng.randrange(CALLERS)}",
                rng.random() < IDEMPOTENT_PART,
            )
        )


class Dispatchers:
    """The product's dispatchers, exchanging loans with a delay."""

    def __init__(self, events: Events, servers: Servers, result: Result) -> None:
        self.events, self.servers, self.result = events, servers, result
        members = {f"d{i}": "dc" for i in range(DAEMONS)}
        self.nodes: dict[str, Dispatcher] = {}
        limits = DispatcherLimits(2000, 4, 0.1, 4.0, SERVICE_S)
        for name in members:
            slot_pool = SlotPool(name, 1.0, 4.0)
            held = {
                s: split_slots(s, SLOTS, members, "dc", HOMES).get(name, 0)
                for s in servers.names
            }
            slot_pool.set_held(held)
            dispatcher = Dispatcher(slot_pool, limits)
            dispatcher.set_servers(dict.fromkeys(servers.names, SLOTS), set())
            self.nodes[name] = dispatcher
            events.after(TICK_S, self._tick, name)

    def _tick(self, name: str) -> None:
        self.run(name, self.nodes[name].tick(self.events.now_s))
        self.events.after(TICK_S, self._tick, name)

    def arrive(self, arrival: Arrival) -> None:
        """Submit an arrival at its daemon."""
        name = f"d{arrival.daemon}"
        now_s = self.events.now_s
        request = Request(
            str(arrival.number),
            "dispatch",
            "quote",
            arrival.caller,
            arrival.idempotent,
            now_s,
            now_s + DEADLINE_S,
        )
        self.run(name, self.nodes[name].submit(request, now_s))

    def run(self, name: str, effects) -> None:
        """Carry out a dispatcher's effects."""
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(name, effect)
            elif isinstance(effect, EndRequest):
                self._end(effect)
            elif isinstance(effect, AdvertiseDemand):
                for peer in self.nodes:
                    if peer != name:
                        self._post(
                            peer,
                            "handle_demand",
                            name,
                            effect.count,
                            effect.oldest_age_s,
                            self.events.now_s,
                        )
            elif isinstance(effect, GrantLoans):
                loans, asked_s = effect.loans, effect.asked_s
                self._post(effect.borrower, "handle_loans", name, loans, asked_s, 1.0)
            elif isinstance(effect, ReturnLoans):
                self._post(effect.lender, "handle_returned_loans", effect.loan_ids)

    def _post(self, peer: str, method: str, *arguments) -> None:
        self.result.messages += 1
        self.events.after(HOP_S, self._call, peer, method, arguments)

    def _call(self, name: str, method: str, arguments) -> None:
        act = getattr(self.nodes[name], method)
        self.run(name, act(*arguments, self.events.now_s))

    def _send(self, name: str, effect: SendAttempt) -> None:
        def tell(method: str) -> None:
            self._call(name, method, (effect.attempt_id,))

        self.events.after(effect.timeout_s, tell, "handle_timeout")
        self.servers.run(
            effect.server,
            lambda: tell("handle_response"),
            lambda: tell("handle_not_written"),
            lambda: tell("handle_broken"),
        )

    def _end(self, effect: EndRequest) -> None:
        if effect.outcome == Outcome.ANSWERED:
            self.result.answered(self.events.now_s - effect.request.arrived_s)
        elif effect.outcome == Outcome.NOT_RUN:
            self.result.not_run += 1
        else:
            self.result.unknown += 1


class SimplePolicy:
    """Base of the baselines: FIFO queues, no deadline but the caller's."""

    def __init__(self, events: Events, servers: Servers, result: Result) -> None:
        self.events, self.servers, self.result = events, servers, result

    def start(self, arrival: Arrival, server: str, finished) -> None:
        """Run an arrival on a server."""

        def answered() -> None:
            self.result.answered(self.events.now_s - arrival.at_s)
            finished()

        def failed() -> None:
            self.result.unknown += 1
            finished()

        self.servers.run(server, answered, failed, failed)


class StaticSplit(SimplePolicy):
    """Random choice among the slots of a fixed split, one queue a daemon."""

    def __init__(self, events, servers, result) -> None:
        super().__init__(events, servers, result)
        self._random = random.Random(7)
        members = {f"d{i}": "dc" for i in range(DAEMONS)}
        self._free = [
            {
                s: split_slots(s, SLOTS, members, "dc", HOMES).get(f"d{i}", 0)
                for s in servers.names
            }
            for i in range(DAEMONS)
        ]
        self._queues: list[list[Arrival]] = [[] for _ in range(DAEMONS)]

    def arrive(self, arrival: Arrival) -> None:
        """Queue at the daemon."""
        self._queues[arrival.daemon].append(arrival)
        self._pump(arrival.daemon)

    def _pump(self, daemon: int) -> None:
        free, queue = self._free[daemon], self._queues[daemon]
        while queue:
            choices = [s for s, n in free.items() if n > 0]
            if not choices:
                return
            arrival = queue.pop(0)
            if self.events.now_s - arrival.at_s > DEADLINE_S:
                self.result.unknown += 1
                continue
            server = self._random.choice(choices)
            free[server] -= 1
            self.start(arrival, server, lambda s=server: self._back(daemon, s))

    def _back(self, daemon: int, server: str) -> None:
        self._free[daemon][server] += 1
        self._pump(daemon)


class LeastOutstanding(SimplePolicy):
    """Each daemon sends at once where it has the fewest requests of its own."""

    def __init__(self, events, servers, result) -> None:
        super().__init__(events, servers, result)
        self._running = [dict.fromkeys(servers.names, 0) for _ in range(DAEMONS)]

    def arrive(self, arrival: Arrival) -> None:
        """Send at once."""
        running = self._running[arrival.daemon]
        server = min(running, key=lambda s: (running[s], hash_of(s, arrival.number)))
        running[server] += 1

        def finished() -> None:
            running[server] -= 1

        self.start(arrival, server, finished)


def hash_of(server: str, number: int) -> int:
    """Return a number that breaks ties evenly and the same on every run."""
    return (int(server[1:]) * 7919 + number * 104729) % 1009


class OneQueue(SimplePolicy):
    """One omniscient queue: free slots, speeds and the death are known at once."""

    def __init__(self, events, servers, result) -> None:
        super().__init__(events, servers, result)
        self._free = dict.fromkeys(servers.names, SLOTS)
        self._queue: list[Arrival] = []
        self._head = 0

    def arrive(self, arrival: Arrival) -> None:
        """Queue in order of arrival."""
        self._queue.append(arrival)
        self._pump()

    def _pump(self) -> None:
        while self._head < len(self._queue):
            choices = [
                s for s, n in self._free.items() if n > 0 and s not in self.servers.dead
            ]
            if not choices:
                return
            arrival = self._queue[self._head]
            self._head += 1
            if self.events.now_s + MEAN_S - arrival.at_s > DEADLINE_S:
                self.result.not_run += 1
                continue
            server = min(choices, key=lambda s: (s in SLOW, -self._free[s]))
            self._free[server] -= 1
            self.start(arrival, server, lambda s=server: self._back(s))

    def _back(self, server: str) -> None:
        self._free[server] += 1
        self._pump()


POLICIES = {
    "dogwoodlever": Dispatchers,
    "static_split": StaticSplit,
    "least_outstanding": LeastOutstanding,
    "one_queue": OneQueue,
}


def measure(policy: str, load: float, seed: int = 11) -> Result:
    """Run one policy at one load."""
    events, result = Events(), Result()
    servers = Servers(events, seed + 1)
    acting = POLICIES[policy](events, servers, result)
    coming = arrivals(load, seed)
    result.total = len(coming)
    for arrival in coming:
        events.at(arrival.at_s, acting.arrive, arrival)
    events.run(DURATION_S + DEADLINE_S + 1.0)
    result.overloads = servers.overloads()
    return result


def main() -> None:
    """Print the figures of every policy at every load."""
    for load in LOADS:
        started_s = time.process_time()
        results = {"dogwoodlever": measure("dogwoodlever", load)}
        spent_s = time.process_time() - started_s
        results |= {n: measure(n, load) for n in POLICIES if n not in results}
        for name, result in results.items():
            where = f"routing.load_{round(load * 100)}.{name}"
            for label, part in (("p50", 0.5), ("p99", 0.99), ("p99_9", 0.999)):
                print(f"{where}.{label}_s: {quantile(result.latencies_s, part):.4f}")
            in_time = result.useful / result.total
            of_capacity = result.useful / DURATION_S / CAPACITY_PER_S
            print(f"{where}.in_time_part: {in_time:.4f}")
            print(f"{where}.useful_of_capacity: {of_capacity:.4f}")
            print(f"{where}.not_run: {result.not_run}")
            print(f"{where}.unknown: {result.unknown}")
            print(f"{where}.overloads: {result.overloads}")
        cost_us = spent_s / results["dogwoodlever"].total * 1e6
        print(f"routing.load_{round(load * 100)}.core_us_per_request: {cost_us:.0f}")
        ours, best = results["dogwoodlever"], results["one_queue"]
        ratio = quantile(ours.latencies_s, 0.99) / quantile(best.latencies_s, 0.99)
        print(f"routing.load_{round(load * 100)}.p99_over_one_queue: {ratio:.3f}")
        print(
            f"routing.load_{round(load * 100)}.messages_per_request: "
            f"{ours.messages / ours.total:.3f}"
        )


if __name__ == "__main__":
    main()
