"""Process of the fleet daemon: settings, ports and signals."""

import os
import secrets
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from absl import logging
from returns.result import Failure
from twisted.internet import reactor
from twisted.web.resource import Resource

from dogwoodlever._bounded_site import BoundedSite
from dogwoodlever._clock import BootClock, use_boot_time
from dogwoodlever._connection_table import RefusalCause
from dogwoodlever._fleet_metrics import MetricsResource
from dogwoodlever._fleet_node import FleetNode
from dogwoodlever._http_client import HttpClient
from dogwoodlever._log_stream import LogStream
from dogwoodlever._logs import log_event, log_unhandled_errors
from dogwoodlever._parsing_turns import ParsingTurns
from dogwoodlever._peer_mesh import TcpMesh
from dogwoodlever._port_capacity import (
    DECODED_FACTOR,
    MEGABYTE_BYTES,
    SMALL_PORT,
    PortCapacity,
    size_callers_port,
    size_open_calls,
    size_peers_port,
)
from dogwoodlever._refusal_log import RefusalLog
from dogwoodlever._request_limits import RequestLimits
from dogwoodlever._settings_watcher import SettingsWatcher
from dogwoodlever.platform import (
    NODE_FILE_VARIABLE,
    HttpAdviceService,
    HttpFleetStore,
    HttpFleetWorkerClient,
    NodeFile,
    ReadinessResource,
    read_node_file,
)

EXIT_SETTINGS = 2
# Settings by which a running daemon acts as soon as their file changes.
RELOADED = ("memory_mb", "descriptors_max", "grace_s", "configuration_apply_s")
# The port that `deploy/system.toml` names.
METRICS_PORT = 9464
# A port of which no request has a body.
BODILESS_LIMITS = RequestLimits(body_bytes_max=0)
FETCH_TIMEOUT_S = 2.0
# Concurrent watches and writes of one daemon.
STORE_CONNECTIONS = 8
# The service handles the calls of a VM one at a time.
ADVICE_CONNECTIONS = 2
# A long poll and the orders of a burst.
WORKER_CONNECTIONS = 6


class FleetDaemon:
    """Process of a fleet daemon: a node and its four ports.

    Parameters
    ----------
    settings : NodeFile
        Validated settings.
    path : Path
        Settings file, which is read again on a reload.
    """

    def __init__(self, settings: NodeFile, path: Path) -> None:
        self.settings = settings
        self._path = path
        use_boot_time(reactor)
        clock = BootClock(reactor)
        self._settings_watcher = SettingsWatcher(path, clock, self._reload)
        self._turns = ParsingTurns(clock)
        store = HttpFleetStore(
            HttpClient(reactor, FETCH_TIMEOUT_S, STORE_CONNECTIONS), settings.store
        )
        worker_client = HttpFleetWorkerClient(
            HttpClient(reactor, FETCH_TIMEOUT_S, WORKER_CONNECTIONS)
        )
        advice = None
        if settings.advice:
            advice = HttpAdviceService(
                HttpClient(reactor, FETCH_TIMEOUT_S, ADVICE_CONNECTIONS),
                settings.advice,
            )
        incarnation = f"{time.time_ns() // 1000:x}"
        self.node = FleetNode(
            settings,
            incarnation,
            secrets.token_hex(16),
            store,
            worker_client,
            advice,
            lambda member, key: TcpMesh(
                reactor, clock, member, key, size_peers_port(settings.descriptors_max)
            ),
            clock,
            time.time,
        )
        self.node.on_stopped = self._stopped
        self.node.callers.open_requests_max = size_open_calls(settings.descriptors_max)

    def listen(self) -> None:
        """Open the ports of callers, readiness, metrics and peers."""
        settings = self.settings
        host, port = settings.callers
        self._callers = self._make_site(
            "callers",
            self.node.callers,
            self.node.get_request_limits,
            _size_callers_port(settings),
        )
        self._callers.listen(reactor, port, host, backlog=512)
        host, port = settings.readiness
        metrics = self._make_site("metrics", MetricsResource(self.node.metrics))
        metrics.listen(reactor, METRICS_PORT, settings.peer_host)
        readiness = self._make_site("readiness", ReadinessResource(self.node.is_ready))
        readiness.listen(reactor, port, host)
        reactor.listenTCP(
            settings.peer_port, self.node.mesh.factory(), interface=settings.peer_host
        )

    def _make_site(
        self,
        name: str,
        resource: Resource,
        get_limits: Callable[[], RequestLimits] = lambda: BODILESS_LIMITS,
        capacity: PortCapacity = SMALL_PORT,
    ) -> BoundedSite:
        """Make the site of a port, whose bounds and refusals the metrics show."""
        metrics = self.node.metrics
        log = RefusalLog(reactor, name)

        def note_refusal(cause: RefusalCause) -> None:
            metrics.port_refusals.labels(name, cause).inc()
            log.note(cause)

        site = BoundedSite(resource, get_limits, capacity, self._turns, note_refusal)
        connections = site.connections
        metrics.port_connections.labels(name).set_function(lambda: len(connections))
        metrics.port_incomplete.labels(name).set_function(
            lambda: connections.incomplete
        )
        metrics.port_held_bytes.labels(name).set_function(
            lambda: connections.held_bytes
        )
        return site

    def run(self) -> None:
        """Run until stopped."""
        self.listen()
        self.node.open()
        self._settings_watcher.open()
        reactor.run(installSignalHandlers=False)

    def stop(self, *_args) -> None:
        """Start a graceful stop, from a signal handler too."""
        reactor.callFromThread(self.node.stop)

    def reload(self, *_args) -> None:
        """Read the settings file again, from a signal handler too."""
        reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        """Apply a change of limits and bounds; addresses wait for a restart."""
        self._settings_watcher.mark_read()
        loaded = read_node_file(self._path)
        if isinstance(loaded, Failure):
            log_event("daemon.reload-failed", why=str(loaded.failure())[:300])
            return
        settings = loaded.unwrap()
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        log_event("daemon.reload", vm=self.settings.vm, changed=",".join(changed))
        self.settings = msgspec.structs.replace(
            self.settings, **{name: getattr(settings, name) for name in RELOADED}
        )
        self._callers.connections.capacity = _size_callers_port(self.settings)
        self.node.callers.open_requests_max = size_open_calls(
            self.settings.descriptors_max
        )
        self.node.mesh.connections_max = size_peers_port(self.settings.descriptors_max)
        self.node.apply_settings(self.settings)

    def _stopped(self) -> None:
        log_event("daemon.exit", vm=self.settings.vm)
        reactor.stop()


def _size_callers_port(settings: NodeFile) -> PortCapacity:
    """Return the capacity of the callers' port by the limits of the process."""
    capacity = size_callers_port(
        settings.memory_mb, settings.descriptors_max, DECODED_FACTOR
    )
    log_event(
        "callers.capacity",
        connections=capacity.connections_max,
        held_mb=capacity.held_bytes_max / MEGABYTE_BYTES,
    )
    return capacity


def run() -> int:
    """Run the daemon until it is stopped; return the exit status."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    sys.stderr = LogStream(sys.stderr.fileno(), reactor)
    log_unhandled_errors()
    path = os.environ.get(NODE_FILE_VARIABLE)
    if not path:
        print(f"{NODE_FILE_VARIABLE} must name the settings file", file=sys.stderr)
        return EXIT_SETTINGS
    loaded = read_node_file(Path(path))
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_SETTINGS
    daemon = FleetDaemon(loaded.unwrap(), Path(path))
    signal.signal(signal.SIGTERM, daemon.stop)
    signal.signal(signal.SIGINT, daemon.stop)
    signal.signal(signal.SIGHUP, daemon.reload)
    daemon.run()
    return 0
