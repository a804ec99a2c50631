"""Daemons on fake clients in one process, for tests and benchmarks."""

import random
from collections.abc import Callable

import msgspec
from twisted.internet.task import Clock

from dogwoodlever._node import Dependencies, Node
from dogwoodlever.batch import reservations
from dogwoodlever.configuration import (
    ConfigurationRecord,
    decode_configuration,
    encode_configuration,
)
from dogwoodlever.gateway import CallerRequest, Gateway, Reports
from dogwoodlever.platform_clients import BackendRequest
from dogwoodlever.settings import DaemonSettings, Site
from standins.backend_slots import BackendSlots
from standins.in_process import (
    FakeBackendClient,
    FakeBackendServer,
    FakeNetwork,
    FakeStore,
    FakeTransport,
    FakeVMList,
    FakeWorkerClient,
    ProcessClock,
)
from standins.key_values import KeyValues
from standins.worker_machine import WorkerMachine

STEP_S = 0.005
SETTLE_TIMEOUT_S = 20.0
WALL_START_S = 1_800_000_000.0


class FakeDaemon:
    """One daemon with its clock and fake clients."""

    def __init__(self, site: "FakeSite", settings: DaemonSettings, boot: int) -> None:
        self.clock = ProcessClock(site.clock)
        member = f"{settings.daemon}#{boot}"
        self.store = FakeStore(site.values, self.clock)
        self.transport = FakeTransport(site.network, member, self.clock)
        self.workers = FakeWorkerClient(site.machines, self.clock)
        backends = FakeBackendClient(site.servers, self.clock, site.clock)
        dependencies = Dependencies(
            self.store,
            self.workers,
            backends,
            FakeVMList(site.machines, site.leaving, self.clock),
            self.transport,
        )
        self.node = Node(settings, str(boot), dependencies, self.clock, site.wall_time)
        self.gateway = Gateway(self.node)
        self.reports = Reports(self.node)
        self.node.start()


class FakeSite:
    """Daemons that share a store, a network and the workers of a site.

    Parameters
    ----------
    site : Site
        Settings; each backend server and worker must have its own port.
    daemons : int
        Number of daemons to start, spread over the data centres.
    seed : int
        Seed of the service times.
    service_s : float
        Median service time of the backend servers, in seconds.
    """

    def __init__(
        self, site: Site, daemons: int, seed: int = 1, service_s: float = 0.02
    ) -> None:
        self.site = site
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.random = random.Random(seed)
        self.values = KeyValues()
        self.network = FakeNetwork(self.clock)
        self.leaving: set[str] = set()
        self.machines = self._make_machines()
        self.servers: dict[int, FakeBackendServer] = {}
        self.servers_by_name: dict[str, FakeBackendServer] = {}
        self._make_servers(service_s)
        self.daemons: dict[str, FakeDaemon] = {}
        self._boots = 0
        centres = sorted(site.data_centres)
        for index in range(daemons):
            self.start(f"d{index + 1}", centres[index % len(centres)])

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds."""
        return WALL_START_S + self.clock.seconds()

    def _make_machines(self) -> dict[str, WorkerMachine]:
        reserved = reservations(self.site)
        return {
            name: WorkerMachine(name, worker.cores - reserved.get(name, (0.0, 0))[0])
            for name, worker in self.site.workers.items()
        }

    def _make_servers(self, service_s: float) -> None:
        for service in self.site.services.values():
            for name, server in service.servers.items():
                fake = FakeBackendServer(
                    BackendSlots(name, server.slots, server.connections),
                    lambda: service_s * self.random.lognormvariate(0, 0.4),
                )
                self.servers[server.port] = fake
                self.servers_by_name[name] = fake

    def start(self, name: str, centre: str) -> FakeDaemon:
        """Start a daemon, or the next incarnation of one that ended."""
        self._boots += 1
        settings = DaemonSettings(
            daemon=name,
            data_centre=centre,
            host="127.0.0.1",
            callers_port=1,
            peers_port=2,
            operators_port=3,
            store_url="",
            vm_list_url="",
            peer_key="peer-key",
            operator_key="operator-key",
        )
        self.daemons[name] = FakeDaemon(self, settings, self._boots)
        return self.daemons[name]

    def put_configuration(self, out: tuple[str, ...] = ()) -> None:
        """Write the settings to the store as the next revision."""
        current = self.values.entries.get("live/configuration")
        revision = 1
        if current is not None:
            revision = decode_configuration(current.value).revision + 1
        text = msgspec.json.encode(msgspec.to_builtins(self.site)).decode()
        record = ConfigurationRecord(revision, (("site.yaml", text),), out)
        version = current.version if current else 0
        self.values.write("live/configuration", encode_configuration(record), version)

    def advance(self, duration_s: float, step_s: float = STEP_S) -> None:
        """Advance the clock and the workers."""
        until_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < until_s - 1e-9:
            self.clock.advance(min(step_s, until_s - self.clock.seconds()))
            for machine in self.machines.values():
                machine.advance(self.clock.seconds())

    def advance_until(
        self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.05
    ) -> bool:
        """Advance until a condition holds; return False on timeout."""
        until_s = self.clock.seconds() + timeout_s
        while not condition():
            if self.clock.seconds() >= until_s:
                return False
            self.advance(step_s)
        return True

    def settle(self) -> None:
        """Write the configuration and wait until the daemons hold all slots."""
        self.put_configuration()
        self.advance(4.0)
        self.advance_until(self.all_slots_held, SETTLE_TIMEOUT_S)

    def all_slots_held(self) -> bool:
        """Return whether the live daemons hold every slot."""
        slots = sum(server.slots.slots for server in self.servers.values())
        return self.slots_held() == slots

    def slots_held(self) -> int:
        """Return the number of slots that the live daemons hold."""
        return sum(
            role.slot_pool.held_total()
            for daemon in self.daemons.values()
            if daemon.clock.is_alive
            for role in daemon.node.services.values()
        )

    def kill(self, name: str) -> None:
        """Stop a daemon without a clean exit."""
        self.daemons[name].clock.kill()

    def request(
        self, daemon: str, service: str, operation: str, body: str, key: str = ""
    ) -> list:
        """Send a request; the returned list receives its `RequestResult` or failure."""
        receiver = self.daemons[daemon]
        received = CallerRequest(
            service,
            operation,
            "caller",
            None,
            key,
            BackendRequest(b"POST", b"/", (), body.encode()),
        )
        results: list = []
        ended = receiver.gateway.handle(receiver.gateway.new_request_id(), received)
        ended.addBoth(results.append)
        return results

    def overloads(self) -> int:
        """Return the number of requests beyond the slots of a server."""
        return sum(server.slots.overloads for server in self.servers.values())
