"""The platform's store as a process: ``python -m standins.store_process``.

It prints its port and the one of the operators, who may write all keys, and ends when
its standard input is closed.
"""

import os
import subprocess
import sys
from base64 import b64encode
from http.client import HTTPConnection
from json import dumps
from pathlib import Path

from twisted.internet import protocol, reactor, stdio

from standins.fleet import FleetRecords
from standins.fleet_http import FleetStoreResource
from standins.http_servers import QuietSite
from standins.wire_store import WireStore

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
WRITE_TIMEOUT_S = 30.0


class StoreProcess:
    """Store in a process of its own, to which tests write as operators do."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins.store_process"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        ports = self._process.stdout.readline().split()
        self.port, self._operators_port = map(int, ports)

    def write(self, key: str, value: bytes) -> None:
        """Write a record unconditionally."""
        connection = HTTPConnection(HOST, self._operators_port, timeout=WRITE_TIMEOUT_S)
        put = {"key": key, "value": b64encode(value).decode()}
        body = dumps({"expect": [], "puts": [put], "deletes": []})
        connection.request("POST", "/-/kv-txn", body)
        response = connection.getresponse()
        response.read()
        connection.close()
        if response.status != 200:
            raise RuntimeError(f"write of {key}: status {response.status}")

    def close(self) -> None:
        """End the process."""
        self._process.stdin.close()
        self._process.wait()
        self._process.stdout.close()


class _ExitWithParent(protocol.Protocol):
    def connectionLost(self, _reason=None) -> None:  # noqa: N802
        """End this process with the one that started it."""
        os._exit(0)


def main() -> None:
    """Serve the store until the standard input is closed."""
    records = FleetRecords(reactor)
    ports = []
    for store in (WireStore(records), WireStore(records, protected_prefixes=())):
        site = QuietSite(FleetStoreResource(store, reactor))
        ports.append(reactor.listenTCP(0, site, interface=HOST).getHost().port)
    print(*ports, flush=True)
    stdio.StandardIO(_ExitWithParent())
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
