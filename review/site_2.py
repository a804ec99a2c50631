"""A small site of stand-ins for the cases of the second review.

One process serves the platform's store, the workers and the callers on loopback
addresses, and starts the daemons as processes of their own, with the commands of the
deploy file. It needs nothing but Python's standard library. The stand-ins behave as
the users' pages say; what a case does to them is in its own file.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"
LOCAL = "127.0.0.1"
METRICS_PORT = 9464
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Figures of the settings and site files of the small deployments.
HEARTBEAT_MS = 1_500
HOLD_MAX_MS = 10_000
STOP_TIMEOUT_MS = 400
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_S = 0.5
RESTORE_MS = 100
STORE_ANSWER_S = 0.004
HISTORY_S = 20.0
ENDS_LISTED_MAX = 500
ITEMS_PER_PAGE = 500
RUN_LIMIT_S = 110.0

SETTINGS = """\
node = "{name}"
role = "scheduler"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "region-1"
port_range = [{peer_port}, {peer_port}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform",\
"advice","upkeep","sharing"]
orders = "call"
[zones]
zone-0 = "region-1"
zone-1 = "region-1"
zone-2 = "region-1"
[listen]
front = "{host}:{front_port}"
readiness = "{host}:{readiness_port}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
hold_max_ms = 10000
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_s = 0.5
restore_ms = 100
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fence = false
lease_ttl_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run.

    Parameters
    ----------
    path : Path
        The file, which is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the case began."""
        return time.monotonic() - self._begun_s

    def write(self, text: str) -> None:
        """Write a line with the time since the case began."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# HTTP


class Request:
    """A request as a stand-in received it."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
        self.headers = headers
        self.document = json.loads(body) if body else {}


Answer = tuple[int, dict]
Handler = Callable[[Request], Awaitable[Answer | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return the first line, the headers and the body of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class HttpServer:
    """HTTP server of a stand-in; it can be ended like a process that is killed.

    Parameters
    ----------
    handle : callable
        Called with each `Request`; returns a status and a document, or None for no
        answer.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.port = 0

    async def open(self) -> None:
        """Listen, on the former port if there was one."""
        self._server = await asyncio.start_server(self._serve, LOCAL, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            if connection is not None:
                linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, "little")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self._handle(Request(method, target, headers, body))
                if answer is None:
                    await reader.read()
                    return
                status, document = answer
                content = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    document: dict | None,
    limit_s: float,
) -> tuple[int, dict, dict]:
    """Send one request on a connection of its own.

    Returns the status, the headers and the document; the status is 0 if no complete
    answer arrived.
    """
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append("Content-Type: application/json")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, answered, content = await read_message(reader)
            return int(line.split(" ")[1]), answered, json.loads(content or b"{}")
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, {}
    finally:
        if writer is not None:
            writer.transport.abort()


# The platform's store


class Store:
    """The platform's store, by the page on the protocol.

    Attributes
    ----------
    is_silent : bool
        Whether it takes calls and neither carries them out nor answers.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self._handle)
        self.is_silent = False
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._history: list[tuple[float, dict]] = []
        self._forgotten = 100
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Expire leases and history until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            if not self.is_silent:
                for lease, (until_s, _) in list(self._leases.items()):
                    if now_s >= until_s:
                        self._end_lease(lease)
            while self._history and now_s - self._history[0][0] > HISTORY_S:
                self._forgotten = self._history.pop(0)[1]["revision"]

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, item in self._items.items() if item["lease"] == lease]
        if keys:
            self._write((), keys)

    def _write(self, puts: Iterable[dict], deletes: Iterable[str]) -> int:
        self._revision += 1
        now_s = time.monotonic()
        for row in puts:
            former = self._items.get(row["key"])
            item = {
                "key": row["key"],
                "value": row["value"],
                "revision": self._revision,
                "created": former["created"] if former else self._revision,
                "lease": row.get("lease", 0),
            }
            self._items[row["key"]] = item
            self._history.append((now_s, item))
        for key in deletes:
            if self._items.pop(key, None) is not None:
                item = {"key": key, "revision": self._revision, "tombstone": True}
                self._history.append((now_s, item))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    def put(self, key: str, document: dict) -> None:
        """Write a document for the operator or a worker."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write(({"key": key, "value": value},), ())

    def delete(self, key: str) -> None:
        """Remove a key for the operator, or the entry of a worker."""
        if key in self._items:
            self._write((), (key,))

    def read(self, key: str) -> bytes | None:
        """Return a value, None if there is none."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    async def _handle(self, request: Request) -> Answer | None:
        if self.is_silent:
            return None
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_silent:
            return None
        name, _, argument = request.path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                item = self._items.get(request.query["key"])
                return (404, {}) if item is None else (200, item)
            case "kv-range":
                return 200, self._list(request)
            case "kv-watch":
                return await self._watch(request)
            case "kv-txn":
                return self._commit(request.document)
            case "kv-lease":
                ttl_s = request.document["ttl_ms"] / 1000
                self._revision += 1
                self._leases[self._revision] = time.monotonic() + ttl_s, ttl_s
                lease = {"lease": self._revision, "ttl_ms": request.document["ttl_ms"]}
                return 200, lease
            case "kv-keep":
                if int(argument) not in self._leases:
                    return 404, {}
                _, ttl_s = self._leases[int(argument)]
                self._leases[int(argument)] = time.monotonic() + ttl_s, ttl_s
                return 200, {"lease": int(argument)}
            case "kv-lease-end":
                if int(argument) not in self._leases:
                    return 404, {}
                self._end_lease(int(argument))
                return 200, {}
        return 400, {}

    def _list(self, request: Request) -> dict:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:ITEMS_PER_PAGE]]
        has_more = len(keys) > len(page)
        return {"items": page, "has_more": has_more, "current_rev": self._revision}

    async def _watch(self, request: Request) -> Answer | None:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._forgotten:
                return 410, {}
            events = [
                item
                for _, item in self._history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            if self.is_silent:
                return None

    def _commit(self, document: dict) -> Answer:
        puts, deletes = document.get("puts", []), document.get("deletes", [])
        expect = document.get("expect", [])
        if len(puts) + len(deletes) + len(expect) > 32:
            return 400, {}
        for row in expect:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self._items.get(row["key"]) for row in expect]
                return 412, {"items": [item for item in found if item]}
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return 404, {}
        return 200, {"revision": self._write(puts, deletes)}


# Workers


class Run:
    """A run on a worker."""

    def __init__(self, task: str, number: int, step: dict, saved: str) -> None:
        self.task = task
        self.number = number
        self.step = step
        self.saved = saved
        self.done_s = _saved_s(saved)
        self.work_s = step["work_ms"] / 1000
        self.worked_from_s = 0.0
        self.begun_s = time.monotonic()
        self.stop_s: float | None = None
        self.speed = 1.0


def _saved_s(saved: str) -> float:
    """Return the work that a checkpoint stands for."""
    return int(saved[:8], 16) / 1000 if saved else 0.0


class Worker:
    """One worker of the platform; each start of it is an incarnation.

    Parameters
    ----------
    site : Site
        Its site.
    worker_id, zone : str
        Its id and zone.
    labels : tuple of str
        Its kind and its rack.
    cpu, mem_mb : int
        Its capacity.
    """

    def __init__(
        self,
        site: "Site",
        worker_id: str,
        zone: str,
        labels: tuple[str, ...],
        cpu: int = 16_000,
        mem_mb: int = 64_000,
    ) -> None:
        self._site = site
        self.worker_id = worker_id
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.server = HttpServer(self._handle)
        self.is_up = False
        self.born = 0
        self._beat: asyncio.Task | None = None
        self._expiry: asyncio.TimerHandle | None = None
        self._forget()

    def _forget(self) -> None:
        self._token = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list] = []
        self._end_number = 0
        self._until_ms = 0
        self._seq = 0
        self._highest_ended: dict[str, int] = {}
        self._end_event = asyncio.Event()

    async def start(self) -> None:
        """Start a new incarnation at the same address, under the same id."""
        self._forget()
        self._started_s = time.monotonic()
        self.born = int(time.time() * 1000)
        await self.server.open()
        self.is_up = True
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        self._site.record.write(f"{self.worker_id} up, born {self.born}")
        self._beat = asyncio.create_task(self._send_beats())

    def crash(self) -> None:
        """End the incarnation at once; its entry goes after three heartbeats."""
        self.is_up = False
        self.server.end()
        self._beat.cancel()
        runs = ", ".join(f"{run.task} run {run.number}" for run in self._alive())
        self._site.record.write(f"{self.worker_id} crashed, with {runs or 'no run'}")
        for run in self._alive():
            self._site.note_lost(self, run)
        self.running.clear()
        loop = asyncio.get_running_loop()
        self._expiry = loop.call_later(
            3 * HEARTBEAT_MS / 1000,
            self._site.store.delete,
            f"servers/{self.worker_id}",
        )

    def _alive(self) -> list[Run]:
        return list(self.running.values())

    async def _send_beats(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self._site.service,
                "address": f"{LOCAL}:{self.server.port}",
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": self._seq,
                "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": list(self.labels),
            }
            self._site.store.put(f"servers/{self.worker_id}", entry)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def clock_ms(self) -> int:
        """Return the clock of the incarnation."""
        return int((time.monotonic() - self._started_s) * 1000)

    def tick(self) -> None:
        """Advance the runs."""
        now_s = time.monotonic()
        has_lapsed = self.clock_ms() >= self._until_ms
        for run in self._alive():
            if run.stop_s is not None:
                if now_s >= run.stop_s:
                    self._save(run, self._progress_s(run))
                    self._end(run, "stopped")
            elif has_lapsed:
                self._save(run, self._progress_s(run))
                self._end(run, "lapsed")
            else:
                self._advance(run, now_s)

    def _progress_s(self, run: Run) -> float:
        if not run.worked_from_s:
            return run.done_s
        return run.done_s + max(0.0, time.monotonic() - run.worked_from_s)

    def _save(self, run: Run, progress_s: float) -> None:
        if run.step.get("saves_progress") and progress_s > 0:
            run.saved = f"{int(progress_s * 1000):08x}{run.task[:8]}"

    def _advance(self, run: Run, now_s: float) -> None:
        gang = self._site.gang(run) if run.step.get("gang") else None
        if gang is not None:
            if gang.how:
                self._end(run, "done" if gang.how == "done" else "broken")
                return
            if not gang.is_complete:
                if now_s - run.begun_s >= GANG_TIMEOUT_MS / 1000:
                    self._end(run, "alone")
                return
        if not run.worked_from_s:
            restore_s = RESTORE_MS / 1000 if run.saved else 0.0
            run.worked_from_s = now_s + restore_s
        progress_s = self._progress_s(run)
        if run.step.get("persistent"):
            fails_s = self._site.failure_s(run)
            if fails_s is not None and progress_s >= fails_s:
                self._end(run, "failed")
            return
        if int(progress_s / CHECKPOINT_S) > int(_saved_s(run.saved) / CHECKPOINT_S):
            self._save(run, int(progress_s / CHECKPOINT_S) * CHECKPOINT_S)
        fails_s = self._site.failure_s(run)
        if fails_s is not None and progress_s >= fails_s:
            self._end(run, "failed")
        elif progress_s >= run.work_s:
            self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task, run.number]
        self._end_number += 1
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        self.ended.append([self._end_number, run.task, run.number, how, run.saved])
        self._site.note_ended(self, run, how)
        self._end_event.set()
        self._end_event = asyncio.Event()

    async def _handle(self, request: Request) -> Answer | None:
        document = request.document
        if request.headers.get("target-instance") != self.worker_id:
            return 421, {}
        name = request.path.removeprefix("/-/")
        late_s = self._site.late_s(self, name, document)
        if late_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._start_late, document)
            return None
        self.tick()
        token = document.get("fencing_token", 0)
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        match name:
            case "run-start":
                return self._start_run(document)
            case "run-stop":
                self._stop_run(document)
            case "pace":
                pass
            case "hold":
                return await self._hold(document)
            case _:
                return 400, {}
        return 200, {"clock_ms": self.clock_ms()}

    def _start_late(self, document: dict) -> None:
        """Carry out a start that got no answer, whichever incarnation is up."""
        if self.is_up and document["fencing_token"] >= self._token:
            self._token = document["fencing_token"]
            self._site.record.write(f"{self.worker_id} carries out a late start")
            self._start_run(document)

    def _refuse(self, reason: str) -> Answer:
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _renew(self, until_ms: int) -> None:
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest_ms))

    def _start_run(self, document: dict) -> Answer:
        task, number = document["task"], document["run"]
        saved = document.get("last_checkpoint", "")
        step = self._site.step_of(task)
        if document["until_ms"] <= self.clock_ms():
            return self._refuse("late")
        if (task, number) in self.running:
            return 200, {"clock_ms": self.clock_ms()}
        self._renew(document["until_ms"])
        if number <= self._highest_ended.get(task, 0):
            return self._refuse("old")
        if self._site.enforces_capacity and not self.has_room(step):
            return self._refuse("room")
        run = Run(task, number, step, saved)
        self.running[task, number] = run
        self._site.note_started(self, run, document["spec"])
        return 200, {"clock_ms": self.clock_ms()}

    def used(self) -> tuple[int, int]:
        """Return the cpu and the memory in use; what fills takes no cpu of it."""
        steps = [run.step for run in self._alive()]
        cpu = sum(step["cpu"] for step in steps if not step.get("fills"))
        return cpu, sum(step["mem_mb"] for step in steps)

    def has_room(self, step: dict, times: int = 1) -> bool:
        """Return whether a task of a step fits beside what runs, so many times."""
        cpu, mem_mb = self.used()
        wanted = 0 if step.get("fills") else step["cpu"]
        has_cpu = cpu + times * wanted <= self.cpu
        return has_cpu and mem_mb + times * step["mem_mb"] <= self.mem_mb

    def _stop_run(self, document: dict) -> None:
        task, number = document["task"], document["run"]
        run = self.running.get((task, number))
        if run is None:
            self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))
        elif run.stop_s is None:
            self._site.record.write(
                f"{self.worker_id} told to stop {task} run {number}"
            )
            run.stop_s = time.monotonic() + STOP_TIMEOUT_MS / 2000

    async def _hold(self, document: dict) -> Answer | None:
        if "until_ms" in document:
            self._renew(document["until_ms"])
        seen = document.get("last_seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self._site.note_taken(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        until_s = time.monotonic() + document.get("wait_ms", 0) / 1000
        while not self.ended and (left_s := until_s - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._end_event.wait()
            except TimeoutError:
                break
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [self._row(run) for run in self._alive()],
            "ended": self.ended[:ENDS_LISTED_MAX],
        }

    def _row(self, run: Run) -> list:
        percent = 0
        if run.step.get("persistent"):
            percent = 100 if time.monotonic() - run.begun_s > 0.2 else 0
        elif run.worked_from_s:
            percent = min(99, int(100 * self._progress_s(run) / run.work_s))
        load = 1 if run.step.get("persistent") else run.step["cpu"]
        return [run.task, run.number, run.saved, percent, load]


class Gang:
    """One run of a gang: which members are present, and how it ended."""

    def __init__(self, count: int) -> None:
        self._count = count
        self.members: dict[str, str] = {}
        self.starts: dict[str, str] = {}
        self.how = ""

    @property
    def is_complete(self) -> bool:
        """Whether all members are present."""
        return len(self.members) == self._count


# Daemons


class Daemon:
    """A daemon as a process of its own, on its own loopback address."""

    def __init__(self, site: "Site", name: str, zone: str, host: str) -> None:
        self._site = site
        self.name = name
        self.host = host
        self.ports = [_find_free_port(host) for _ in range(3)]
        self._file = site.folder / f"{name}.toml"
        self._file.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                front_port=self.ports[0],
                readiness_port=self.ports[1],
                peer_port=self.ports[2],
                store=f"{LOCAL}:{site.store.server.port}",
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for callers."""
        return self.host, self.ports[0]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = tomllib.loads(DEPLOY.read_text())["roles"]["scheduler"]["run"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["DOGWOODLEVER_NODE_FILE"] = str(self._file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TMPDIR"] = str(self._site.folder)
        with (self._site.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(command), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._site.record.write(f"{self.name} started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._site.record.write(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self.process is None:
            return
        self.send(signal.SIGKILL)
        await self.process.wait()


def _find_free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def _find_hosts(count: int) -> list[str]:
    """Return loopback addresses on which the port of the metrics is free."""
    source = random.SystemRandom()
    hosts: list[str] = []
    while len(hosts) < count:
        row = [source.randrange(2, 250) for _ in range(3)]
        host = f"127.{row[0]}.{row[1]}.{row[2]}"
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
            except OSError:
                continue
        hosts.append(host)
    return hosts


# The site


class Site:
    """Store, workers, daemons and callers of a case.

    Parameters
    ----------
    folder : Path
        Folder of the case, in which the record is written.
    """

    service = "desk-core"
    host = "desk.example"
    prefix = "/jobs/"
    # Whether the workers refuse what does not fit.
    enforces_capacity = True

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.daemons: list[Daemon] = []
        self._jobs: dict[str, dict] = {}
        self._gangs: dict[tuple[str, int], Gang] = {}
        # Called with a worker, the name of a call and its document; returns after what
        # time it is carried out without an answer, None if at once.
        self.late_s: Callable[[Worker, str, dict], float | None] = lambda *_: None
        self._fails: dict[str, Callable[[Run], float | None]] = {}
        # Rows of (time, worker, task, run, outcome); "" for a run that is not ended.
        self.starts: list[tuple[float, str, str, int, str]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        self.taken: list[tuple[float, str, str, int, str]] = []
        self._background: list[asyncio.Task] = []
        self._version = 0
        self._turn = 0

    async def open(self, daemons: int = 3, routes: tuple[dict, ...] = ()) -> None:
        """Start the store, the configuration and the daemons."""
        await self.store.server.open()
        self._background.append(asyncio.create_task(self.store.run()))
        self._background.append(asyncio.create_task(self._tick()))
        self.configure(routes or (self.route(),))
        for number, host in enumerate(_find_hosts(daemons)):
            zone = f"zone-{number % 3}"
            self.daemons.append(Daemon(self, f"front-{number}", zone, host))
        for daemon in self.daemons:
            await daemon.start()

    async def add_worker(
        self, worker_id: str, zone: str = "zone-0", labels=("a", "r1"), cpu=16_000
    ) -> Worker:
        """Add a worker and start it."""
        worker = Worker(self, worker_id, zone, labels, cpu)
        self.workers[worker_id] = worker
        await worker.start()
        return worker

    async def wait_until_ready(self, limit_s: float = 25.0) -> None:
        """Wait until each daemon is ready and a leader is known."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            statuses = [
                (
                    await call(
                        (daemon.host, daemon.ports[1]), "GET", "/-/readiness",
                        {"Host": daemon.host}, None, 1.0,
                    )
                )[0]
                for daemon in self.daemons
            ]  # fmt: skip
            if set(statuses) == {200} and self.leader() is not None:
                self.record.write("all daemons are ready")
                return
            await asyncio.sleep(0.2)
        raise CaseError("the daemons are not ready")

    def leader(self) -> Daemon | None:
        """Return the daemon whose name is in the leader's record in the store."""
        value = self.store.read("dogwoodlever/leader")
        for daemon in self.daemons:
            if value is not None and f"{daemon.name}@".encode() in value:
                return daemon
        return None

    def route(self, **fields) -> dict:
        """Return the route of the jobs."""
        return {
            "name": "jobs",
            "host": self.host,
            "prefix": self.prefix,
            "service": self.service,
            "kind": "unsafe",
            "timeout_ms": 3_000,
            "priority": 0,
            "max_attempts": 4,
            "stretch": 2.0,
            "slo_ms": 1_000,
        } | fields

    def configure(self, routes: Iterable[dict]) -> None:
        """Write a version of the configuration."""
        self._version += 3
        document = {
            "version": self._version,
            "routes": list(routes),
            "services": [
                {"name": self.service, "enforces_capacity": self.enforces_capacity}
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }
        self.store.put("op/config", document)
        self.record.write(f"configuration {self._version} acknowledged")

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for worker in self.workers.values():
                if worker.is_up:
                    worker.tick()

    async def close(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            await daemon.end()
        for task in self._background:
            task.cancel()
        for worker in self.workers.values():
            if worker.is_up:
                worker.crash()
            if worker._expiry is not None:
                worker._expiry.cancel()
        self.store.server.end()
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                log = self.folder / f"{daemon.name}.log"
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()
        self.record.close()

    # What workers know and report

    def step_of(self, task: str) -> dict:
        """Return the step of a task, as the platform knows it."""
        job_id, _, step, _ = task.rsplit(".", 3)
        return self._jobs[job_id]["steps"][int(step)]

    def has_runs(self, job_id: str) -> bool:
        """Return whether a task of a job runs on a worker that is up."""
        return any(
            task.startswith(job_id)
            for worker in self.workers.values()
            for task, _ in worker.running
        )

    def find_overlaps(self, job_id: str) -> list[tuple]:
        """Return the pairs of runs of one task that were up at one time, and how long.

        Rows of task, worker and number of each run, and the time in seconds.
        """
        spans = []
        for begun_s, worker, task, number, _ in self.starts:
            if not task.startswith(job_id):
                continue
            ended_s = min(
                (
                    end[0]
                    for end in self.ends
                    if end[0] >= begun_s and end[1:4] == (worker, task, number)
                ),
                default=self.record.now_s(),
            )
            spans.append((task, worker, number, begun_s, ended_s))
        found = []
        for index, first in enumerate(spans):
            for other in spans[index + 1 :]:
                both_s = min(first[4], other[4]) - max(first[3], other[3])
                if first[0] == other[0] and both_s > 0:
                    found.append((first[0], first[1:3], other[1:3], round(both_s, 3)))
        return found

    def gang(self, run: Run) -> Gang:
        """Return the run of a gang to which a run belongs."""
        key = run.task.rpartition(".")[0], run.number
        return self._gangs.setdefault(key, Gang(run.step["count"]))

    def failure_s(self, run: Run) -> float | None:
        """Return after how much work a run fails by its own fault, None if never."""
        rule = self._fails.get(run.task.partition(".")[0])
        return None if rule is None else rule(run)

    def note_started(self, worker: Worker, run: Run, spec: str) -> None:
        """Note that a worker has begun a run."""
        row = (self.record.now_s(), worker.worker_id, run.task, run.number, run.saved)
        self.starts.append(row)
        self.record.write(
            f"{worker.worker_id} starts {run.task} run {run.number} "
            f"last_checkpoint {run.saved!r} spec {spec[:40]!r}"
        )
        if run.step.get("gang"):
            self.gang(run).members[run.task] = worker.worker_id
            self.gang(run).starts[run.task] = run.saved

    def note_ended(self, worker: Worker, run: Run, how: str) -> None:
        """Note that a worker lists an end."""
        row = (self.record.now_s(), worker.worker_id, run.task, run.number, how)
        self.ends.append(row)
        self.record.write(
            f"{worker.worker_id} ends {run.task} run {run.number} {how} "
            f"saved {run.saved!r}"
        )
        self._leave_gang(run, how)

    def note_lost(self, worker: Worker, run: Run) -> None:
        """Note that a run ended with its worker."""
        row = (self.record.now_s(), worker.worker_id, run.task, run.number, "lost")
        self.ends.append(row)
        self._leave_gang(run, "lost")

    def _leave_gang(self, run: Run, how: str) -> None:
        if run.step.get("gang"):
            gang = self.gang(run)
            gang.members.pop(run.task, None)
            if not gang.how and how != "alone":
                gang.how = how

    def note_taken(self, worker: Worker, end: list) -> None:
        """Note that an end is taken note of."""
        row = (self.record.now_s(), worker.worker_id, end[1], end[2], end[3])
        self.taken.append(row)
        self.record.write(
            f"{worker.worker_id} end {end[0]} of {end[1]} run {end[2]} taken note of"
        )

    # Callers

    def next_front(self) -> Daemon:
        """Return the daemon that the platform picks for a new connection."""
        self._turn += 1
        running = [
            d for d in self.daemons if d.process and d.process.returncode is None
        ]
        return running[self._turn % len(running)]

    async def ask(
        self, method: str, target: str, document=None, daemon=None, limit_s=3.0
    ) -> tuple[int, dict, dict]:
        """Send one request of a caller."""
        daemon = daemon or self.next_front()
        headers = {"Host": self.host, "Deadline-Ms": str(int(limit_s * 1000))}
        status, answered, body = await call(
            daemon.front, method, target, headers, document, limit_s
        )
        if method != "GET":
            self.record.write(f"{method} {target} at {daemon.name}: {status} {body}")
        return status, answered, body

    async def submit(
        self, steps: list[dict], fails=None, job_id: str = "", **fields
    ) -> str:
        """Submit a job until it is accepted; return its id.

        Parameters
        ----------
        steps : list of dict
            Its steps, with the work of a task as `work_ms`, which is not sent.
        fails : callable or None
            Returns after how much work a run fails by its own fault, None if never.
        """
        job_id = job_id or f"{random.SystemRandom().getrandbits(64):016x}"
        self._jobs[job_id] = {"steps": steps}
        if fails is not None:
            self._fails[job_id] = fails
        sent = [{k: v for k, v in step.items() if k != "work_ms"} for step in steps]
        body = {"spec": f"spec of {job_id}", "steps": sent} | fields
        for _ in range(12):
            target = self.prefix + job_id
            status, answered, _ = await self.ask("POST", target, body)
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(float(answered.get("retry-after", "0.3")))
        raise CaseError(f"job {job_id} was not accepted")

    async def state(self, job_id: str) -> str:
        """Return the state of a job as a caller reads it; empty without an answer."""
        daemon = self.next_front()
        status, _, body = await self.ask("GET", self.prefix + job_id, daemon=daemon)
        if status != 200:
            self.record.write(f"GET {job_id} at {daemon.name}: {status}")
        return body.get("state", "") if status == 200 else f"status {status}"

    async def follow(
        self, job_id: str, limit_s: float, until=("completed", "failed", "cancelled")
    ) -> str:
        """Read the state of a job until it has ended; return the last one."""
        until_s = time.monotonic() + limit_s
        known = ""
        while time.monotonic() < until_s:
            state = await self.state(job_id)
            if state != known:
                self.record.write(f"job {job_id} is shown as {state}")
                known = state
            if state in until:
                break
            await asyncio.sleep(0.25)
        return known


# What the sheets say of the end of the traffic: jobs are asked for this long after it,
# and none may have nothing running for this long, nor wait so long for an answer.
FINISH_S = 14.0
IDLE_S = 3.0
ANSWER_S = 3.0
TRAFFIC_S = 30


def small_step(cpu: int = 1_000) -> dict:
    """Return the step of a small job."""
    return {
        "count": 1,
        "cpu": cpu,
        "mem_mb": 2_000,
        "est_runtime_ms": 800,
        "work_ms": 800,
    }


async def judge_small_jobs(site: Site) -> int:
    """Submit a small job a second, and judge whether all of them are carried out.

    Returns the status of the case by the rule LOST: broken if, `FINISH_S` after the
    end of the traffic, a job has nothing running for `IDLE_S` or gets no answer.
    """
    jobs: list[str] = []

    async def submit() -> None:
        try:
            jobs.append(await site.submit([small_step()]))
        except CaseError as error:
            site.record.write(str(error))

    submissions = []
    for _ in range(TRAFFIC_S):
        submissions.append(asyncio.create_task(submit()))
        await asyncio.sleep(1.0)
    site.record.write(f"end of the traffic, {len(jobs)} small jobs accepted")
    await asyncio.sleep(FINISH_S)
    accepted, before = list(jobs), len(site.starts)
    done = {task.partition(".")[0] for _, _, task, _, how in site.ends if how == "done"}
    idle = [
        job_id
        for job_id in accepted
        if job_id not in done and not site.has_runs(job_id)
    ]
    site.record.write(f"{FINISH_S} s later, with nothing running: {len(idle)} jobs")
    await asyncio.sleep(IDLE_S)
    started = {task.partition(".")[0] for _, _, task, _, _ in site.starts[before:]}
    idle = [job_id for job_id in idle if job_id not in started]
    used = sum(
        run.step["cpu"] for worker in site.workers.values() for run in worker._alive()
    )
    size = sum(worker.cpu for worker in site.workers.values())
    site.record.write(
        f"{IDLE_S} s later still {len(idle)}; cpu in use {used} of {size}"
    )
    states = await asyncio.gather(*map(site.state, accepted))
    unanswered = [state for state in states if state.startswith("status")]
    site.record.write(f"states: {sorted(states)}")
    print(
        f"{len(accepted)} small jobs accepted, {len(idle)} idle for {IDLE_S} s, "
        f"{len(unanswered)} of their states not answered in {ANSWER_S} s; "
        f"cpu in use {used} of {size}"
    )
    for submission in submissions:
        submission.cancel()
    if len(accepted) < TRAFFIC_S / 3:
        raise CaseError("too few jobs were accepted")
    has_room = used < size / 2
    return BROKEN if idle and has_room or unanswered else HELD


def run_case(folder: Path, case: Callable[["Site", bool], Awaitable[int]]) -> int:
    """Run a case and return its exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    case : callable
        Called with the site and whether the disruption comes; returns the status.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build line of deploy/system.toml")
        return NOT_RUN
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        site = Site(folder)
        loop, running = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, running.cancel)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                status = await case(site, has_trouble)
        except (CaseError, TimeoutError, asyncio.CancelledError) as error:
            site.record.write(f"not run: {error!r}")
            print(f"not run: {error!r}")
            status = NOT_RUN
        finally:
            await site.close()
        return status

    return asyncio.run(run())
