"""Entry point of the daemon, ``dogwoodleverd``."""

import signal
import sys
import time
from pathlib import Path

from absl import app, flags, logging
from returns.result import Failure
from twisted.internet import reactor

from dogwoodlever._clock import use_boot_time
from dogwoodlever._logs import log_event
from dogwoodlever._node import Dependencies, Node
from dogwoodlever._parsing_turns import ParsingTurns
from dogwoodlever._port_capacity import (
    PortCapacity,
    size_callers_port,
    size_peers_port,
)
from dogwoodlever._refusal_log import RefusalLog
from dogwoodlever._request_limits import RequestLimits
from dogwoodlever.gateway import (
    BoundedSite,
    CallersResource,
    Gateway,
    OperatorsResource,
    Reports,
)
from dogwoodlever.peers import TcpMesh
from dogwoodlever.platform_clients import (
    BootClock,
    EtcdStore,
    HttpBackendClient,
    HttpClient,
    HttpVMList,
    HttpWorkerClient,
)
from dogwoodlever.settings import DaemonSettings, read_daemon_settings

CALLER_LIMITS = RequestLimits()
# Documents of a site are large, and requests few.
OPERATORS_PORT = PortCapacity(connections_max=64)
OPERATOR_LIMITS = RequestLimits(body_bytes_max=4_000_000)
STORE_TIMEOUT_S = 1.0
WORKER_TIMEOUT_S = 2.0
EXIT_SETTINGS = 2
EXIT_EXCLUDED = 75

_SETTINGS = flags.DEFINE_string("settings", None, "file with the daemon's settings")


class Daemon:
    """Daemon process: a node and its three ports.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.exit_status = 0
        use_boot_time(reactor)
        clock = BootClock(reactor)
        incarnation = f"{time.time_ns() // 1000:x}"
        member = f"{settings.daemon}#{incarnation}"
        self._mesh = TcpMesh(
            reactor,
            clock,
            member,
            settings.peer_key,
            size_peers_port(settings.descriptors_max),
        )
        dependencies = Dependencies(
            EtcdStore(HttpClient(reactor, STORE_TIMEOUT_S), settings.store_url),
            HttpWorkerClient(HttpClient(reactor, WORKER_TIMEOUT_S)),
            HttpBackendClient(reactor),
            HttpVMList(HttpClient(reactor, STORE_TIMEOUT_S), settings.vm_list_url),
            self._mesh,
        )
        self.node = Node(settings, incarnation, dependencies, clock, time.time)
        self.node.on_stopped = self._node_stopped

    def listen(self) -> None:
        """Listen on the ports for callers, operators and peers."""
        s = self.settings
        callers = CallersResource(self.node, Gateway(self.node))
        operators = OperatorsResource(self.node, Reports(self.node))
        turns = ParsingTurns(reactor)
        capacity = size_callers_port(s.memory_mb, s.descriptors_max)
        BoundedSite(
            callers,
            lambda: CALLER_LIMITS,
            capacity,
            turns,
            RefusalLog(reactor, "callers").note,
        ).listen(reactor, s.callers_port, s.host)
        BoundedSite(
            operators,
            lambda: OPERATOR_LIMITS,
            OPERATORS_PORT,
            turns,
            RefusalLog(reactor, "operators").note,
        ).listen(reactor, s.operators_port, s.host)
        reactor.listenTCP(s.peers_port, self._mesh.factory(), interface=s.host)

    def run(self) -> int:
        """Run until stopped; return the exit status."""
        self.listen()
        self.node.start()
        reactor.run(installSignalHandlers=False)
        return self.exit_status

    def stop(self, *_args) -> None:
        """Start a graceful stop; safe to call from a signal handler."""
        reactor.callFromThread(self.node.stop)

    def _node_stopped(self) -> None:
        if self.node.membership.is_excluded():
            # The supervisor restarts the process as a new incarnation.
            self.exit_status = EXIT_EXCLUDED
        log_event("daemon.exit", status=self.exit_status)
        self._mesh.close()
        reactor.callLater(0.05, reactor.stop)


def _run(_argv: list[str]) -> int:
    logging.set_verbosity(logging.INFO)
    if not _SETTINGS.value:
        print("--settings FILE is required", file=sys.stderr)
        return EXIT_SETTINGS
    result = read_daemon_settings(Path(_SETTINGS.value))
    if isinstance(result, Failure):
        print(result.failure(), file=sys.stderr)
        return EXIT_SETTINGS
    daemon = Daemon(result.unwrap())
    _install_signal_handlers(daemon)
    return daemon.run()


def _install_signal_handlers(daemon: Daemon) -> None:
    signal.signal(signal.SIGTERM, daemon.stop)
    signal.signal(signal.SIGINT, daemon.stop)


def main() -> None:
    """Run ``dogwoodleverd``."""
    app.run(_run)


if __name__ == "__main__":
    main()
