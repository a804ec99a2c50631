"""A site under load, whose history the checkers read."""

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
RECENT_S = 2.0
LIMITS = Limits(
    tenure_term_s=3.0, longest_request_s=3.0, worker_lease_s=5.0, loan_term_s=1.0
)


class SiteSimulation:
    """A small site with requests, a job and a standing task running on it.

    Parameters
    ----------
    daemons : int
        How many daemons.
    seed : int
        Seed of the service times.
    """

    def __init__(self, daemons: int = 4, seed: int = 1) -> None:
        self.site = make_site(workers=6, slots=3, limits=LIMITS)
        self.fake = FakeSite(self.site, daemons, seed, service_s=0.15)
        self.history = History(
            servers=[server.slots for server in self.fake.servers.values()],
            core_rooms={n: m.cores for n, m in self.fake.machines.items()},
        )
        self._names = sorted(self.fake.daemons)
        self._count = 0
        self._next_s = 0.0
        self._open: list[tuple[Call, list]] = []
        self._repeats: list[tuple[float, Call, str]] = []
        self._ended_daemons: list = []
        self.fake.settle()

    @property
    def now_s(self) -> float:
        """The time."""
        return self.fake.clock.seconds()

    def submit(self, job: str, tasks: int, run_s: float, standing=False) -> None:
        """Put a job into the inbox, as any daemon does."""
        document = Job(
            job, "alpha", "catalogue", tasks, 2.0, 10**9, run_s, standing=standing
        )
        key = f"live/inbox/{CELL}/job/{job}"
        self.fake.values.write(key, msgspec.json.encode(document), 0)

    def cancel(self, job: str) -> None:
        """Put a cancellation into the inbox, as any daemon does."""
        key = f"live/inbox/{CELL}/cancel/{job}"
        self.fake.values.write(key, msgspec.json.encode([job]), 0)

    def cell_state(self):
        """Return the ledger as the store has it."""
        entry = self.fake.values.entries.get(f"cells/{CELL}")
        return None if entry is None else decode_cell_state(entry.value)

    def owner(self) -> str:
        """Return the daemon that owns the cell, or an empty name."""
        entry = self.fake.values.entries.get(f"live/owners/{CELL}")
        if entry is None:
            return ""
        return msgspec.json.decode(entry.value)["owner"].partition("#")[0]

    def archived(self, job: str) -> dict[str, int] | None:
        """Return an archived job's tasks counted by state, or None."""
        entry = self.fake.values.entries.get(f"archive/{job}")
        if entry is None:
            return None
        states: dict[str, int] = {}
        for row in msgspec.json.decode(entry.value):
            states[row[2]] = states.get(row[2], 0) + 1
        return states

    def take_out(self, centre: str) -> None:
        """Take a data centre out of service, through a daemon.

        It is out from when the daemon has said that the change is accepted.
        """
        self._set_centre(centre, True).addCallbacks(
            lambda _: self.history.outages.append(Outage(centre, self.now_s, 1e18)),
            lambda _: None,
        )

    def _set_centre(self, centre: str, out: bool):
        names = self._healthy() or [
            name for name in self._names if self.fake.daemons[name].clock.is_alive
        ]
        role = self.fake.daemons[names[0]].node.configuration
        return role.set_data_centre(centre, out, "test")

    def bring_in(self) -> None:
        """Bring all data centres back."""
        for outage in self.history.outages:
            outage.until_s = min(outage.until_s, self.now_s)
        for centre in self.site.data_centres:
            self._set_centre(centre, False).addErrback(lambda _: None)

    def list_leaving(self, worker: str) -> None:
        """Let the platform list a worker's VM as leaving."""
        self.fake.leaving.add(worker)
        for name, server in self.site.services["dispatch"].servers.items():
            if server.worker == worker:
                self.history.leaving[name] = self.now_s

    def call(self, daemon: str, idempotent: bool, body: str = "") -> Call:
        """Send one request through a daemon."""
        self._count += 1
        body = body or f"r{self._count}"
        call = Call(body, idempotent, self.now_s, repeat=False)
        self.history.calls.append(call)
        if not self.fake.daemons[daemon].clock.is_alive:
            return call
        operation = "quote" if idempotent else "book"
        key = "" if idempotent else body
        endings = self.fake.request(daemon, "dispatch", operation, body, key)
        self._open.append((call, endings))
        return call

    def _send_load(self) -> None:
        """Send a quote and a booking, and repeat the booking elsewhere."""
        if self.now_s < self._next_s:
            return
        self._next_s = self.now_s + REQUEST_INTERVAL_S
        names = self._healthy()
        if not names:
            return
        daemon = names[self._count % len(names)]
        self.call(daemon, True)
        booking = self.call(daemon, False)
        other = names[(self._count + 1) % len(names)]
        self._repeats.append((self.now_s + REPEAT_AFTER_S, booking, other))

    def answers(self) -> bool:
        """Tell whether requests of the last seconds were answered."""
        since_s = self.now_s - RECENT_S
        return any(
            call.outcome == "answered"
            for call in self.history.calls
            if call.sent_s >= since_s
        )

    def _healthy(self) -> list[str]:
        """Return the daemons that the balancer sends callers to."""
        return [
            name
            for name in self._names
            if self.fake.daemons[name].clock.is_alive
            and self.fake.daemons[name].node.is_healthy()
        ]

    def _supervise(self) -> None:
        """Start daemons again that ended because they were excluded."""
        for name, daemon in list(self.fake.daemons.items()):
            node = daemon.node
            if node.state == "gone" and node.membership.is_excluded():
                self.fake.start(name, node.settings.data_centre)

    def restart_stopped(self) -> None:
        """Start every daemon again that has ended for whatever reason."""
        for name, daemon in list(self.fake.daemons.items()):
            if daemon.node.state in ("draining", "leaving", "gone"):
                daemon.clock.kill()
            if not daemon.clock.is_alive:
                self.fake.start(name, daemon.node.settings.data_centre)

    def _send_repeats(self) -> None:
        while self._repeats and self._repeats[0][0] <= self.now_s:
            _, call, daemon = self._repeats.pop(0)
            self.call(daemon, False, call.body).repeat = True

    def _collect(self) -> None:
        still = []
        for call, endings in self._open:
            if not endings:
                still.append((call, endings))
                continue
            ending = endings[0]
            if isinstance(ending, Failure):
                call.outcome = "fault"
                continue
            call.outcome = str(ending.outcome)
            if ending.answer is not None:
                call.answer = ending.answer.body.decode()
        self._open = still

    def _note_revisions(self) -> None:
        for daemon in self.fake.daemons.values():
            if not daemon.clock.is_alive:
                continue
            revision = daemon.node.configuration.active.record.revision
            found = self.history.revisions.setdefault(daemon.node.member_id, [])
            if not found or found[-1] != revision:
                found.append(revision)

    def run(self, duration_s: float, load: bool = True) -> None:
        """Let time pass under load."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.fake.advance(STEP_S * 5, STEP_S)
            if load:
                self._send_load()
                self._send_repeats()
            self._collect_all()
            self._supervise()

    def _collect_all(self) -> None:
        self._collect()
        self._note_revisions()

    def run_until(self, condition, timeout_s: float, load: bool = True) -> bool:
        """Let time pass under load until a condition holds."""
        until_s = self.now_s + timeout_s
        while not condition():
            if self.now_s >= until_s:
                return False
            self.run(STEP_S * 5, load)
        return True

    def record(self) -> History:
        """Return the history so far."""
        history = self.history
        history.now_s = self.now_s
        history.served = [r for s in history.servers for r in s.records]
        history.placed = [
            Placement(name, self.site.workers[name].data_centre, run)
            for name, machine in self.fake.machines.items()
            for run in machine.records
        ]
        return history
