"""A simulated site under load, which records a history for the checkers."""

import msgspec
from twisted.python.failure import Failure

from dogwoodlever.batch import Job, decode_cell_state
from dogwoodlever.settings import Limits
from standins.fake_site import FakeSite
from tests.checkers import Call, History, Outage, Placement
from tests.sites import make_site

CELL = "cell-00"
REQUEST_INTERVAL_S = 0.25
REPEAT_AFTER_S = 0.4
STEP_S = 0.01
RECENT_WINDOW_S = 2.0
LIMITS = Limits(
    tenure_term_s=3.0, longest_request_s=3.0, worker_lease_s=5.0, loan_term_s=1.0
)


class SiteSimulation:
    """A small simulated site that serves requests and runs submitted jobs.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    seed : int
        Seed of the service times.
    """

    def __init__(self, daemons: int = 4, seed: int = 1) -> None:
        self.site = make_site(workers=6, slots=3, limits=LIMITS)
        self.fake = FakeSite(self.site, daemons, seed, service_s=0.15)
        self.history = History(
            servers=[server.slots for server in self.fake.servers.values()],
            worker_cores={n: m.cores for n, m in self.fake.machines.items()},
        )
        self._daemon_names = sorted(self.fake.daemons)
        self._call_count = 0
        self._next_load_s = 0.0
        self._open_calls: list[tuple[Call, list]] = []
        self._due_repeats: list[tuple[float, Call, str]] = []
        self.fake.settle()

    @property
    def now_s(self) -> float:
        """Simulated time."""
        return self.fake.clock.seconds()

    def submit(self, job: str, tasks: int, run_s: float, standing=False) -> None:
        """Write a job to the cell's inbox, as daemons do."""
        document = Job(
            job, "alpha", "catalogue", tasks, 2.0, 10**9, run_s, standing=standing
        )
        key = f"live/inbox/{CELL}/job/{job}"
        self.fake.values.write(key, msgspec.json.encode(document), 0)

    def cancel(self, job: str) -> None:
        """Write a cancellation to the cell's inbox, as daemons do."""
        key = f"live/inbox/{CELL}/cancel/{job}"
        self.fake.values.write(key, msgspec.json.encode([job]), 0)

    def cell_state(self):
        """Return the stored state of the cell, or None."""
        entry = self.fake.values.entries.get(f"cells/{CELL}")
        return None if entry is None else decode_cell_state(entry.value)

    def owner(self) -> str:
        """Return the name of the daemon that owns the cell, or an empty string."""
        entry = self.fake.values.entries.get(f"live/owners/{CELL}")
        if entry is None:
            return ""
        return msgspec.json.decode(entry.value)["owner"].partition("#")[0]

    def archived(self, job: str) -> dict[str, int] | None:
        """Return the number of an archived job's tasks by state, or None."""
        entry = self.fake.values.entries.get(f"archive/{job}")
        if entry is None:
            return None
        states: dict[str, int] = {}
        for row in msgspec.json.decode(entry.value):
            states[row[2]] = states.get(row[2], 0) + 1
        return states

    def take_centre_out(self, centre: str) -> None:
        """Take a data centre out of service, through a daemon.

        The outage starts when the daemon accepts the change.
        """
        self._set_centre(centre, True).addCallbacks(
            lambda _: self.history.outages.append(Outage(centre, self.now_s, 1e18)),
            lambda _: None,
        )

    def _set_centre(self, centre: str, out: bool):
        names = self._healthy() or [
            name
            for name in self._daemon_names
            if self.fake.daemons[name].clock.is_alive
        ]
        role = self.fake.daemons[names[0]].node.configuration
        return role.set_data_centre(centre, out, "test")

    def bring_centres_back(self) -> None:
        """Bring all data centres back into service."""
        for outage in self.history.outages:
            outage.until_s = min(outage.until_s, self.now_s)
        for centre in self.site.data_centres:
            self._set_centre(centre, False).addErrback(lambda _: None)

    def list_as_leaving(self, worker: str) -> None:
        """List a worker's VM as leaving."""
        self.fake.leaving.add(worker)
        for name, server in self.site.services["dispatch"].servers.items():
            if server.worker == worker:
                self.history.leaving_since_s[name] = self.now_s

    def call(self, daemon: str, idempotent: bool, body: str = "") -> Call:
        """Send a request through a daemon."""
        self._call_count += 1
        body = body or f"r{self._call_count}"
        call = Call(body, idempotent, self.now_s, is_repeat=False)
        self.history.calls.append(call)
        if not self.fake.daemons[daemon].clock.is_alive:
            return call
        operation = "quote" if idempotent else "book"
        key = "" if idempotent else body
        results = self.fake.request(daemon, "dispatch", operation, body, key)
        self._open_calls.append((call, results))
        return call

    def _send_load(self) -> None:
        """Send a quote and a booking, and schedule a repeat of the booking.

        The repeat goes to another daemon.
        """
        if self.now_s < self._next_load_s:
            return
        self._next_load_s = self.now_s + REQUEST_INTERVAL_S
        names = self._healthy()
        if not names:
            return
        daemon = names[self._call_count % len(names)]
        self.call(daemon, True)
        booking = self.call(daemon, False)
        other = names[(self._call_count + 1) % len(names)]
        self._due_repeats.append((self.now_s + REPEAT_AFTER_S, booking, other))

    def is_answering(self) -> bool:
        """Return whether any request of the last `RECENT_WINDOW_S` was answered."""
        since_s = self.now_s - RECENT_WINDOW_S
        return any(
            call.outcome == "answered"
            for call in self.history.calls
            if call.sent_s >= since_s
        )

    def _healthy(self) -> list[str]:
        """Return the healthy daemons, to which a load balancer sends callers."""
        return [
            name
            for name in self._daemon_names
            if self.fake.daemons[name].clock.is_alive
            and self.fake.daemons[name].node.is_healthy()
        ]

    def _restart_excluded(self) -> None:
        """Restart daemons that ended because they were excluded."""
        for name, daemon in list(self.fake.daemons.items()):
            node = daemon.node
            if node.state == "gone" and node.membership.is_excluded():
                self.fake.start(name, node.settings.data_centre)

    def restart_stopped(self) -> None:
        """Restart every daemon that is stopping or has ended."""
        for name, daemon in list(self.fake.daemons.items()):
            if daemon.node.state in ("draining", "leaving", "gone"):
                daemon.clock.kill()
            if not daemon.clock.is_alive:
                self.fake.start(name, daemon.node.settings.data_centre)

    def _send_repeats(self) -> None:
        while self._due_repeats and self._due_repeats[0][0] <= self.now_s:
            _, call, daemon = self._due_repeats.pop(0)
            self.call(daemon, False, call.body).is_repeat = True

    def _collect_outcomes(self) -> None:
        still_open = []
        for call, results in self._open_calls:
            if not results:
                still_open.append((call, results))
                continue
            result = results[0]
            if isinstance(result, Failure):
                call.outcome = "fault"
                continue
            call.outcome = str(result.outcome)
            if result.response is not None:
                call.answer = result.response.body.decode()
        self._open_calls = still_open

    def _record_revisions(self) -> None:
        for daemon in self.fake.daemons.values():
            if not daemon.clock.is_alive:
                continue
            revision = daemon.node.configuration.active.record.revision
            found = self.history.revisions.setdefault(daemon.node.member_id, [])
            if not found or found[-1] != revision:
                found.append(revision)

    def run(self, duration_s: float, load: bool = True) -> None:
        """Advance the time, under load unless `load` is false."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.fake.advance(STEP_S * 5, STEP_S)
            if load:
                self._send_load()
                self._send_repeats()
            self._collect_records()
            self._restart_excluded()

    def _collect_records(self) -> None:
        self._collect_outcomes()
        self._record_revisions()

    def run_until(self, condition, timeout_s: float, load: bool = True) -> bool:
        """Advance the time until a condition holds; return whether it does."""
        until_s = self.now_s + timeout_s
        while not condition():
            if self.now_s >= until_s:
                return False
            self.run(STEP_S * 5, load)
        return True

    def record(self) -> History:
        """Return the history recorded so far."""
        history = self.history
        history.now_s = self.now_s
        history.served = [r for s in history.servers for r in s.records]
        history.placements = [
            Placement(name, self.site.workers[name].data_centre, run)
            for name, machine in self.fake.machines.items()
            for run in machine.records
        ]
        return history
