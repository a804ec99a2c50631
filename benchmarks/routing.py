"""Request routing under load: the product's dispatchers against three baselines.

Seven dispatchers share 24 backend servers of 8 slots. Two servers are three
times slower, and one fails halfway. All policies get the same arrivals.
"""

import random
import time
from dataclasses import dataclass, field

from benchmarks._event_queue import EventQueue, quantile
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
SLOTS_PER_SERVER = 8
HOMES_PER_SERVER = 3
SERVICE_TIME_S = 0.1
SERVICE_TIME_SIGMA = 0.4
SLOW_FACTOR = 3.0
SLOW_SERVERS = ("s05", "s14")
FAILING_SERVER = "s09"
DEADLINE_S = 1.0
NETWORK_DELAY_S = 0.0014
CALLERS = 40
IDEMPOTENT_FRACTION = 0.8
DURATION_S = 14.0
FAILURE_AT_S = 7.0
TICK_INTERVAL_S = 0.02
LOADS = (0.5, 0.8, 0.95, 1.2, 2.0)
MEAN_SERVICE_TIME_S = SERVICE_TIME_S * 2.718281828 ** (SERVICE_TIME_SIGMA**2 / 2)
CAPACITY_PER_S = (
    (SERVERS - 2 + 2 / SLOW_FACTOR) * SLOTS_PER_SERVER / MEAN_SERVICE_TIME_S
)


@dataclass(slots=True)
class Arrival:
    """A request that arrives at a daemon."""

    number: int
    at_s: float
    daemon: int
    caller: str
    idempotent: bool


@dataclass(slots=True)
class Result:
    """Outcomes of the requests under one policy."""

    latencies_s: list[float] = field(default_factory=list)
    answered_in_time: int = 0
    total: int = 0
    not_run: int = 0
    unknown: int = 0
    overloads: int = 0
    messages: int = 0

    def record_answer(self, latency_s: float) -> None:
        """Record an answer and whether it met the deadline."""
        self.latencies_s.append(latency_s)
        self.answered_in_time += latency_s <= DEADLINE_S


class SimulatedServers:
    """Backend servers with random service times, one of which fails."""

    def __init__(self, events: EventQueue, seed: int) -> None:
        self.events = events
        self.names = [f"s{i + 1:02d}" for i in range(SERVERS)]
        self.slots = {name: BackendSlots(name, SLOTS_PER_SERVER) for name in self.names}
        self.failed_servers: set[str] = set()
        self._random = random.Random(seed)
        self._break_callbacks: dict[str, list] = {FAILING_SERVER: []}
        events.schedule_at(FAILURE_AT_S, self._fail)

    def _fail(self) -> None:
        self.failed_servers.add(FAILING_SERVER)
        for action in self._break_callbacks.pop(FAILING_SERVER):
            action()

    def duration_s(self, name: str) -> float:
        """Return a random service time of one request."""
        factor = SLOW_FACTOR if name in SLOW_SERVERS else 1.0
        return (
            factor * SERVICE_TIME_S * self._random.lognormvariate(0, SERVICE_TIME_SIGMA)
        )

    def start_request(self, name: str, on_answered, on_refused, on_broken) -> None:
        """Run a request; exactly one callback is called when the outcome is known."""
        if name in self.failed_servers:
            self.events.schedule_after(2 * NETWORK_DELAY_S, on_refused)
            return
        slot_request = self.slots[name].start("", self.events.now_s)
        if slot_request is None:
            self.events.schedule_after(2 * NETWORK_DELAY_S, on_refused)
            return
        state = {"open": True}

        def break_connection() -> None:
            if state["open"]:
                state["open"] = False
                on_broken()

        def end() -> None:
            self.slots[name].end(slot_request, self.events.now_s)
            if state["open"]:
                state["open"] = False
                on_answered()

        if name in self._break_callbacks:
            self._break_callbacks[name].append(break_connection)
        self.events.schedule_after(NETWORK_DELAY_S * 2 + self.duration_s(name), end)

    def overloads(self) -> int:
        """Return the number of requests refused because all slots were occupied."""
        return sum(slots.overloads for slots in self.slots.values())


def make_arrivals(load: float, seed: int) -> list[Arrival]:
    """Return seeded random arrivals at a load, as a fraction of the capacity."""
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
                rng.random() < IDEMPOTENT_FRACTION,
            )
        )


class DispatcherPolicy:
    """The product's dispatchers, which exchange loans over a network with delay."""

    def __init__(
        self, events: EventQueue, servers: SimulatedServers, result: Result
    ) -> None:
        self.events, self.servers, self.result = events, servers, result
        members = {f"d{i}": "dc" for i in range(DAEMONS)}
        self.dispatchers: dict[str, Dispatcher] = {}
        limits = DispatcherLimits(2000, 4, 0.1, 4.0, SERVICE_TIME_S)
        for name in members:
            slot_pool = SlotPool(name, 1.0, 4.0)
            shares = {
                s: split_slots(
                    s, SLOTS_PER_SERVER, members, "dc", HOMES_PER_SERVER
                ).get(name, 0)
                for s in servers.names
            }
            slot_pool.set_held(shares)
            dispatcher = Dispatcher(slot_pool, limits)
            dispatcher.set_servers(
                dict.fromkeys(servers.names, SLOTS_PER_SERVER), set()
            )
            self.dispatchers[name] = dispatcher
            events.schedule_after(TICK_INTERVAL_S, self._tick, name)

    def _tick(self, name: str) -> None:
        self.apply_effects(name, self.dispatchers[name].tick(self.events.now_s))
        self.events.schedule_after(TICK_INTERVAL_S, self._tick, name)

    def arrive(self, arrival: Arrival) -> None:
        """Submit a request to its daemon's dispatcher."""
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
        self.apply_effects(name, self.dispatchers[name].submit(request, now_s))

    def apply_effects(self, name: str, effects) -> None:
        """Apply the effects that a dispatcher returned."""
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(name, effect)
            elif isinstance(effect, EndRequest):
                self._record_end(effect)
            elif isinstance(effect, AdvertiseDemand):
                for peer in self.dispatchers:
                    if peer != name:
                        self._send_to_peer(
                            peer,
                            "handle_demand",
                            name,
                            effect.count,
                            effect.oldest_age_s,
                            self.events.now_s,
                        )
            elif isinstance(effect, GrantLoans):
                loans, asked_s = effect.loans, effect.asked_s
                self._send_to_peer(
                    effect.borrower, "handle_loans", name, loans, asked_s, 1.0
                )
            elif isinstance(effect, ReturnLoans):
                self._send_to_peer(
                    effect.lender, "handle_returned_loans", effect.loan_ids
                )

    def _send_to_peer(self, peer: str, method: str, *arguments) -> None:
        self.result.messages += 1
        self.events.schedule_after(NETWORK_DELAY_S, self._call, peer, method, arguments)

    def _call(self, name: str, method: str, arguments) -> None:
        handler = getattr(self.dispatchers[name], method)
        self.apply_effects(name, handler(*arguments, self.events.now_s))

    def _send(self, name: str, effect: SendAttempt) -> None:
        def notify(method: str) -> None:
            self._call(name, method, (effect.attempt_id,))

        self.events.schedule_after(effect.timeout_s, notify, "handle_timeout")
        self.servers.start_request(
            effect.server,
            lambda: notify("handle_response"),
            lambda: notify("handle_not_written"),
            lambda: notify("handle_broken"),
        )

    def _record_end(self, effect: EndRequest) -> None:
        if effect.outcome == Outcome.ANSWERED:
            self.result.record_answer(self.events.now_s - effect.request.arrived_s)
        elif effect.outcome == Outcome.NOT_RUN:
            self.result.not_run += 1
        else:
            self.result.unknown += 1


class BaselinePolicy:
    """Base class of the baselines: FIFO order, no deadline except the caller's."""

    def __init__(
        self, events: EventQueue, servers: SimulatedServers, result: Result
    ) -> None:
        self.events, self.servers, self.result = events, servers, result

    def start(self, arrival: Arrival, server: str, on_end) -> None:
        """Run a request on a server; call `on_end` when it ends."""

        def on_answered() -> None:
            self.result.record_answer(self.events.now_s - arrival.at_s)
            on_end()

        def on_failed() -> None:
            self.result.unknown += 1
            on_end()

        self.servers.start_request(server, on_answered, on_failed, on_failed)


class StaticSplitPolicy(BaselinePolicy):
    """A FIFO queue per daemon; random choice among a fixed share of the slots."""

    def __init__(self, events, servers, result) -> None:
        super().__init__(events, servers, result)
        self._random = random.Random(7)
        members = {f"d{i}": "dc" for i in range(DAEMONS)}
        self._free = [
            {
                s: split_slots(
                    s, SLOTS_PER_SERVER, members, "dc", HOMES_PER_SERVER
                ).get(f"d{i}", 0)
                for s in servers.names
            }
            for i in range(DAEMONS)
        ]
        self._queues: list[list[Arrival]] = [[] for _ in range(DAEMONS)]

    def arrive(self, arrival: Arrival) -> None:
        """Append a request to its daemon's queue."""
        self._queues[arrival.daemon].append(arrival)
        self._dispatch(arrival.daemon)

    def _dispatch(self, daemon: int) -> None:
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
            self.start(arrival, server, lambda s=server: self._release_slot(daemon, s))

    def _release_slot(self, daemon: int, server: str) -> None:
        self._free[daemon][server] += 1
        self._dispatch(daemon)


class LeastOutstandingPolicy(BaselinePolicy):
    """Each daemon sends at once to the server with its fewest open requests."""

    def __init__(self, events, servers, result) -> None:
        super().__init__(events, servers, result)
        self._running = [dict.fromkeys(servers.names, 0) for _ in range(DAEMONS)]

    def arrive(self, arrival: Arrival) -> None:
        """Send a request at once."""
        running = self._running[arrival.daemon]
        server = min(
            running, key=lambda s: (running[s], tie_breaker(s, arrival.number))
        )
        running[server] += 1

        def on_end() -> None:
            running[server] -= 1

        self.start(arrival, server, on_end)


def tie_breaker(server: str, number: int) -> int:
    """Return a reproducible number that spreads ties over the servers."""
    return (int(server[1:]) * 7919 + number * 104729) % 1009


class GlobalQueuePolicy(BaselinePolicy):
    """One global queue that knows free slots, slow servers and the failure at once."""

    def __init__(self, events, servers, result) -> None:
        super().__init__(events, servers, result)
        self._free = dict.fromkeys(servers.names, SLOTS_PER_SERVER)
        self._queue: list[Arrival] = []
        self._head = 0

    def arrive(self, arrival: Arrival) -> None:
        """Append a request to the queue."""
        self._queue.append(arrival)
        self._dispatch()

    def _dispatch(self) -> None:
        while self._head < len(self._queue):
            choices = [
                s
                for s, n in self._free.items()
                if n > 0 and s not in self.servers.failed_servers
            ]
            if not choices:
                return
            arrival = self._queue[self._head]
            self._head += 1
            if self.events.now_s + MEAN_SERVICE_TIME_S - arrival.at_s > DEADLINE_S:
                self.result.not_run += 1
                continue
            server = min(choices, key=lambda s: (s in SLOW_SERVERS, -self._free[s]))
            self._free[server] -= 1
            self.start(arrival, server, lambda s=server: self._release_slot(s))

    def _release_slot(self, server: str) -> None:
        self._free[server] += 1
        self._dispatch()


POLICIES = {
    "dogwoodlever": DispatcherPolicy,
    "static_split": StaticSplitPolicy,
    "least_outstanding": LeastOutstandingPolicy,
    "one_queue": GlobalQueuePolicy,
}


def simulate(policy: str, load: float, seed: int = 11) -> Result:
    """Run one policy at one load, a fraction of the capacity."""
    events, result = EventQueue(), Result()
    servers = SimulatedServers(events, seed + 1)
    policy_simulation = POLICIES[policy](events, servers, result)
    arrivals = make_arrivals(load, seed)
    result.total = len(arrivals)
    for arrival in arrivals:
        events.schedule_at(arrival.at_s, policy_simulation.arrive, arrival)
    events.run_until(DURATION_S + DEADLINE_S + 1.0)
    result.overloads = servers.overloads()
    return result


def main() -> None:
    """Run every policy at every load and print the results."""
    for load in LOADS:
        started_s = time.process_time()
        results = {"dogwoodlever": simulate("dogwoodlever", load)}
        spent_s = time.process_time() - started_s
        results |= {n: simulate(n, load) for n in POLICIES if n not in results}
        for name, result in results.items():
            prefix = f"routing.load_{round(load * 100)}.{name}"
            for label, fraction in (("p50", 0.5), ("p99", 0.99), ("p99_9", 0.999)):
                print(
                    f"{prefix}.{label}_s: {quantile(result.latencies_s, fraction):.4f}"
                )
            in_time = result.answered_in_time / result.total
            of_capacity = result.answered_in_time / DURATION_S / CAPACITY_PER_S
            print(f"{prefix}.in_time_part: {in_time:.4f}")
            print(f"{prefix}.useful_of_capacity: {of_capacity:.4f}")
            print(f"{prefix}.not_run: {result.not_run}")
            print(f"{prefix}.unknown: {result.unknown}")
            print(f"{prefix}.overloads: {result.overloads}")
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
