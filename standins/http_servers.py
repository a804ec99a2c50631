"""HTTP resources of workers, backend servers and the VM list."""

import json
import random
import time

import msgspec
from twisted.internet import reactor
from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from dogwoodlever.platform_clients import SyncRequest
from standins.backend_slots import BackendSlots
from standins.worker_machine import WorkerMachine


class QuietSite(Site):
    """Site without an access log."""

    def log(self, request) -> None:
        """Skip the access log."""


class WorkerResource(Resource):
    """Serves ``/sync``, ``/admin`` and ``/records`` of one worker."""

    isLeaf = True

    def __init__(self, machine: WorkerMachine) -> None:
        super().__init__()
        self._machine = machine

    def render(self, request):
        """Handle one call; a powered-off worker never responds."""
        now_s = time.monotonic()
        body = request.content.read()
        if request.path == b"/admin":
            return self._admin(json.loads(body), now_s)
        if request.path == b"/records":
            return _records(self._machine)
        if self._machine.off:
            request.notifyFinish().addErrback(lambda _: None)
            return NOT_DONE_YET
        order = msgspec.json.decode(body, type=SyncRequest)
        return msgspec.json.encode(self._machine.sync(order, now_s))

    def _admin(self, body: dict, now_s: float) -> bytes:
        if "off" in body:
            if body["off"]:
                self._machine.power_off(now_s)
            else:
                self._machine.power_on(now_s)
        self._machine.fails_all = body.get("fails_all", self._machine.fails_all)
        return b"{}"


def _records(machine: WorkerMachine) -> bytes:
    rows = [
        {
            "worker": machine.name,
            "task": run.order.task_id,
            "attempt": run.order.attempt,
            "from_s": run.initial_progress_s,
            "to_s": run.progress_s,
            "started_s": run.started_s,
            "ended_s": run.ended_s,
            "outcome": run.outcome,
            "end_lost": run.end_lost,
        }
        for run in machine.records
    ]
    return json.dumps(rows).encode()


class CountedChannel(HTTPChannel):
    """HTTP channel that counts the connections of a backend server."""

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection and abort it beyond the limit."""
        super().connectionMade()
        if not self.factory.slots.add_connection():
            self.abortConnection()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Count the closed connection."""
        self.factory.slots.remove_connection()
        super().connectionLost(reason)


class BackendSite(QuietSite):
    """Site of one backend server."""

    def __init__(self, slots: BackendSlots, service_s: float, seed: int) -> None:
        super().__init__(BackendResource(slots, service_s, seed))
        self.slots = slots

    def buildProtocol(self, addr):  # noqa: N802
        """Return a `CountedChannel`."""
        channel = CountedChannel()
        channel.factory = self
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.timeOut = 60
        return channel


class BackendResource(Resource):
    """Serves requests within the server's slots, and ``/records``."""

    isLeaf = True

    def __init__(self, slots: BackendSlots, service_s: float, seed: int) -> None:
        super().__init__()
        self._slots = slots
        self._service_s = service_s
        self._random = random.Random(seed)

    def render(self, request):
        """Run one request for its service time."""
        if request.path == b"/records":
            return self._records()
        body = request.content.read()
        served = self._slots.start(body.decode(), time.monotonic())
        if served is None:
            request.setResponseCode(503)
            return b"over its slots\n"
        request.notifyFinish().addErrback(lambda _: None)
        duration_s = self._service_s * self._random.lognormvariate(0, 0.3)
        reactor.callLater(duration_s, self._end, request, served, body)
        return NOT_DONE_YET

    def _end(self, request, served, body: bytes) -> None:
        self._slots.end(served, time.monotonic())
        if request.finished or request._disconnected:
            return
        request.write(b"%s ran %s\n" % (self._slots.name.encode(), body))
        request.finish()

    def _records(self) -> bytes:
        document = {
            "overloads": self._slots.overloads,
            "running_max": self._slots.running_max,
            "requests": [served.request for served in self._slots.records],
        }
        return json.dumps(document).encode()


class VMListResource(Resource):
    """Serves the VM list; states set by ``/admin`` show after a lag."""

    isLeaf = True

    def __init__(self, names: list[str], lag_s: float) -> None:
        super().__init__()
        self._states = dict.fromkeys(names, "live")
        self._lag_s = lag_s

    def render(self, request):
        """Return the list, or schedule a change of states."""
        if request.path == b"/admin":
            changes = json.loads(request.content.read())
            reactor.callLater(self._lag_s, self._states.update, changes)
            return b"{}"
        listed = [(n, s) for n, s in sorted(self._states.items()) if s != "gone"]
        rows = [{"name": name, "state": state} for name, state in listed]
        return json.dumps(rows).encode()
