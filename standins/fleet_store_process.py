"""Store of a fleet as a process: ``python -m standins.fleet_store_process PORT``.

It holds one configuration, with the limits as the platform sets them.
"""

import json
import sys

from twisted.internet import reactor
from twisted.web.server import Site

from standins.fleet import FleetRecords
from standins.fleet_http import FleetStoreResource
from standins.wire_store import WireStore

HOST = "127.0.0.1"
QUEUE_HOST = "desk.example"
QUEUE_PREFIX = "/quotes/"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
_CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "quotes",
            "host": QUEUE_HOST,
            "prefix": QUEUE_PREFIX,
            "service": "desk",
            "max_attempts": 3,
            "stretch": 2.0,
            "slo_ms": 500,
            "timeout_ms": 3_000,
        }
    ],
    "services": [{"name": "desk", "enforces_capacity": True}],
    "limits": LIMITS,
}
LIFE_S = 300.0


def main() -> None:
    """Serve until the process is ended, or its time is up."""
    records = FleetRecords(reactor)
    records.write("op/config", json.dumps(_CONFIGURATION).encode())
    site = Site(FleetStoreResource(WireStore(records), reactor))
    site.noisy = False
    site.log = lambda _request: None
    reactor.listenTCP(int(sys.argv[1]), site, interface=HOST)
    reactor.callLater(LIFE_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()
