"""Command line that serves the stand-ins: ``python -m standins VERB``."""

import json
import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts
from twisted.internet import reactor

from dogwoodlever.batch import reservations
from dogwoodlever.settings import read_site
from standins.backend_slots import BackendSlots
from standins.caller import run_callers
from standins.http_servers import (
    BackendSite,
    QuietSite,
    VMListResource,
    WorkerResource,
)
from standins.http_store import StoreResource
from standins.key_values import KeyValues
from standins.worker_machine import WorkerMachine

HOST = "127.0.0.1"
app = cyclopts.App(name="standins", help="Stand-ins for the platform.")
Lifetime = Annotated[float, cyclopts.Parameter(help="Seconds until the process exits.")]


def _run(life_s: float) -> None:
    reactor.callLater(life_s, reactor.stop)
    print("ready", flush=True)
    reactor.run()


@app.command
def store(port: int, life_s: Lifetime = 600.0) -> None:
    """Serve the key-value store on PORT."""
    reactor.listenTCP(port, QuietSite(StoreResource(KeyValues())), interface=HOST)
    _run(life_s)


@app.command
def machines(
    folder: Path,
    vm_list_port: int,
    speed: float = 1.0,
    service_s: float = 0.02,
    life_s: Lifetime = 600.0,
) -> None:
    """Serve the workers, backend servers and VM list of the settings in FOLDER."""
    site = read_site(folder).unwrap()
    reserved = reservations(site)
    for name, worker in site.workers.items():
        cores = worker.cores - reserved.get(name, (0.0, 0))[0]
        machine = WorkerMachine(name, cores, speed)
        reactor.listenTCP(
            worker.port, QuietSite(WorkerResource(machine)), interface=HOST
        )
    seed = 0
    for service in site.services.values():
        for name, server in service.servers.items():
            seed += 1
            slots = BackendSlots(name, server.slots, server.connections)
            backend = BackendSite(slots, service_s, seed)
            reactor.listenTCP(server.port, backend, interface=HOST)
    vms = VMListResource(sorted(site.workers), 0.5)
    reactor.listenTCP(vm_list_port, QuietSite(vms), interface=HOST)
    _run(life_s)


@app.command
def caller(
    urls: list[str], rate_per_s: float = 50.0, duration_s: float = 5.0, seed: int = 1
) -> None:
    """Send requests to URLS in turn and print the counts of outcomes as JSON."""
    started_s = time.monotonic()
    counts = run_callers(urls, rate_per_s, duration_s, seed)
    counts["elapsed_s"] = round(time.monotonic() - started_s, 3)
    json.dump(counts, sys.stdout)
    print()


if __name__ == "__main__":
    app()
