"""Stand-ins of a small deployment for the cases of the review.

The platform's store, runners, links and clients run in one process on loopback
addresses, with the standard library only. The daemons are processes of their own,
started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parent.parent
SERVICE = "desk-core"
ROUTE = "desk"
HOST = "desk.example"
PREFIX = "/desk/"
HOLD_MAX_MS = 10_000
STOP_MS = 200
GANG_TIMEOUT_MS = 4_000
CHECKPOINT_S = 0.5
HEARTBEAT_MS = 1_500
HISTORY_S = 20.0
STORE_DELAY_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
LINK_CHUNK_BYTES = 4_096
ENDS_LISTED_MAX = 500
CLOCK_STEP_S = 0.02
SILENT = object()


def now_s() -> float:
    """Return the steady clock of the stand-ins."""
    return time.monotonic()


class Record:
    """Record of what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w")  # noqa: SIM115
        self._started_s = now_s()

    def add(self, event: str, **fields) -> None:
        """Write one event with its time in seconds since the start."""
        at_s = round(now_s() - self._started_s, 3)
        self._file.write(json.dumps({"at_s": at_s, "event": event, **fields}) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class HttpServer:
    """HTTP/1.1 server on a loopback port; `handle` returns a status and a body.

    A handler that returns `SILENT` leaves the connection open without an answer, and
    nothing more is sent on that connection.
    """

    def __init__(self, handle) -> None:
        self._handle = handle
        self._server = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        # Bandwidth towards the clients, which all connections share; 0 for no limit.
        self.bytes_per_s = 0.0
        self._link = asyncio.Lock()
        # Tasks that serve connections which are silent for good, without a reset.
        self.silenced: set[asyncio.Task] = set()

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _send(self, writer, data: bytes) -> None:
        if not self.bytes_per_s:
            writer.write(data)
            await writer.drain()
            return
        for start in range(0, len(data), LINK_CHUNK_BYTES):
            # The connections take turns on the link.
            async with self._link:
                chunk = data[start : start + LINK_CHUNK_BYTES]
                writer.write(chunk)
                await writer.drain()
                await asyncio.sleep(len(chunk) / self.bytes_per_s)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        is_silent = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rows = head.decode("latin-1").split("\r\n")
                method, target, _ = line.split(" ", 2)
                headers = {}
                for row in rows:
                    name, _, value = row.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                if is_silent:
                    continue
                result = await self._handle(method, target, headers, body)
                if result is SILENT or asyncio.current_task() in self.silenced:
                    is_silent = True
                    continue
                status, document = result
                content = json.dumps(document).encode()
                await self._send(
                    writer,
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content,
                )
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass(slots=True)
class Item:
    """Item of the store; a value of None stands for a removed key."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0


class Store:
    """The platform's store, with one port for each daemon."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, Item] = {}
        self.history: deque[tuple[float, Item]] = deque()
        self.compacted = 0
        self.leases: dict[int, list[float]] = {}
        self._changed = asyncio.Event()
        # Returns SILENT or a response that goes before the store's own, or None.
        self.intercept = lambda _daemon, _method, _path, _query, _body: None
        # Connection on which each daemon waits for changes of a prefix.
        self.watchers: dict[tuple[str, str], asyncio.Task] = {}

    async def open_port(self, daemon: str) -> HttpServer:
        """Open the port by which one daemon reaches the store."""

        async def handle(method, target, _headers, body):
            return await self.serve(daemon, method, target, body)

        server = HttpServer(handle)
        await server.open()
        return server

    def _append(self, item: Item) -> None:
        self.history.append((now_s(), item))
        while self.history and now_s() - self.history[0][0] > HISTORY_S:
            self.compacted = self.history.popleft()[1].revision
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0, revision: int = 0) -> int:
        """Write one key; return the revision."""
        if not revision:
            self.revision += 1
            revision = self.revision
        old = self.items.get(key)
        created = old.created if old is not None else revision
        self.items[key] = Item(key, value, revision, created, lease)
        self._append(self.items[key])
        return revision

    def remove(self, key: str) -> None:
        """Remove one key."""
        old = self.items.pop(key, None)
        if old is not None:
            self.revision += 1
            self._append(Item(key, None, self.revision, old.created))

    def expire(self) -> None:
        """End the leases that have run out."""
        for lease, (until_s, _) in list(self.leases.items()):
            if until_s <= now_s():
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)

    @staticmethod
    def _show(item: Item) -> dict:
        if item.value is None:
            return {"key": item.key, "revision": item.revision, "tombstone": True}
        return {
            "key": item.key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def serve(self, daemon, method, target, body):
        """Serve one call of a daemon."""
        path, _, text = target.partition("?")
        query = {}
        for row in filter(None, text.split("&")):
            name, _, value = row.partition("=")
            query[name] = unquote(value)
        taken = self.intercept(daemon, method, path, query, body)
        if taken is not None:
            return taken
        await asyncio.sleep(STORE_DELAY_S)
        self.expire()
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, self._show(item) | {"current_rev": self.revision}
        if path == "/-/kv-range":
            found = [
                self._show(item)
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            page = []
            size = 0
            for item in found[:PAGE_ITEMS]:
                size += len(item["value"]) + len(item["key"])
                if size > PAGE_BYTES:
                    break
                page.append(item)
            return 200, {
                "current_rev": self.revision,
                "items": page,
                "has_more": len(found) > len(page),
            }
        if path == "/-/kv-watch":
            self.watchers[daemon, query["prefix"]] = asyncio.current_task()
            return await self._watch(query)
        document = json.loads(body) if body else {}
        if path == "/-/kv-txn":
            return self._commit(document)
        if path == "/-/kv-lease":
            self.revision += 1
            ttl_ms = document["ttl_ms"]
            self.leases[self.revision] = [now_s() + ttl_ms / 1000, ttl_ms / 1000]
            return 200, {"lease": self.revision, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            self.leases[lease][0] = now_s() + self.leases[lease][1]
        else:
            self.end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until_s = now_s() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            events = [
                self._show(item)
                for _, item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_s = until_s - now_s()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                self.expire()

    def _commit(self, document):
        expected = document.get("expect", [])
        for row in document.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        current = [self.items.get(row["key"]) for row in expected]
        found = [0 if item is None else item.revision for item in current]
        if any(
            rev != row["revision"] for rev, row in zip(found, expected, strict=True)
        ):
            rows = [
                {"key": row["key"], "revision": 0} if item is None else self._show(item)
                for row, item in zip(expected, current, strict=True)
            ]
            return 412, {"items": rows}
        self.revision += 1
        revision = self.revision
        for row in document.get("puts", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0), revision)
        for key in document.get("deletes", []):
            self.remove(key)
        return 200, {"revision": revision}


@dataclass(slots=True)
class TaskRun:
    """A run on a runner.

    Attributes
    ----------
    work_s : float
        Time that it works before it ends; infinite for a task that lasts.
    how : str
        How it ends by itself.
    working_s : float
        When it began to work; infinite while a gang waits for its members.
    """

    task: str
    run: int
    worker: str
    work_s: float
    how: str
    started_s: float
    working_s: float
    gang: str = ""
    stop_s: float = float("inf")
    saves: bool = False
    resumed: str = ""

    def saved(self, is_stopping: bool = False) -> str:
        """Return the newest checkpoint: a new one each `CHECKPOINT_S` and at a stop."""
        if not self.saves or self.working_s == float("inf"):
            return self.resumed
        worked_s = now_s() - self.working_s
        if not is_stopping:
            worked_s -= worked_s % CHECKPOINT_S
        if worked_s <= 0:
            return self.resumed
        before_ms = int(self.resumed or "0", 16)
        return f"{before_ms + int(worked_s * 1000):016x}"

    def is_alone(self) -> bool:
        """Return whether it has waited too long for the others of its gang."""
        if not self.gang or self.working_s != float("inf"):
            return False
        return now_s() - self.started_s >= GANG_TIMEOUT_MS / 1000

    def percent(self) -> int:
        """Return the progress."""
        if self.working_s == float("inf"):
            return 0
        if self.work_s == float("inf"):
            return 100
        return min(99, int(100 * (now_s() - self.working_s) / self.work_s))


@dataclass(slots=True)
class Life:
    """One incarnation of a runner."""

    born_ms: int
    started_s: float
    fence: int = 0
    until_ms: int = 0
    runs: dict[str, TaskRun] = field(default_factory=dict)
    ended: list[list] = field(default_factory=list)
    last_number: int = 0
    numbers: dict[str, int] = field(default_factory=dict)

    def clock_ms(self) -> int:
        """Return the steady clock of this incarnation."""
        return int((now_s() - self.started_s) * 1000) + 1


class Runner:
    """A runner that follows the pages; cases set its disruptions.

    `plan_run` tells, for a task, its run number and its specification, how long it
    works and how it ends.
    """

    def __init__(self, site: "Site", name: str, cores: int, labels) -> None:
        self.site = site
        self.name = name
        self.cpu = cores * 1000
        self.labels = list(labels)
        self.life: Life | None = None
        self.server = HttpServer(self._handle)
        self.state = "ready"
        self.remaining_ms = 0
        # Returns SILENT or a response that goes before the runner's own, or None.
        self.intercept = lambda _path, _document: None
        self._births = 0
        self._seq = 0

    async def start(self) -> None:
        """Start a new incarnation, which serves and writes its entry."""
        self._births += 1
        self.life = Life(int(time.time() * 1000), now_s())
        self.state = "ready"
        await self.server.open(port=self.server.port)
        self.write_entry()

    async def crash(self) -> None:
        """End the process: everything is lost, and connections are reset."""
        life, self.life = self.life, None
        await self.server.close()
        if life is not None:
            for run in life.runs.values():
                self.site.record.add(
                    "run.lost", runner=self.name, task=run.task, run=run.run
                )
                if run.gang:
                    self.site.break_gang(run)
        self.site.record.add("runner.crash", runner=self.name)

    def write_entry(self) -> None:
        """Write the runner's entry to the store."""
        if self.life is None:
            return
        self._seq += 1
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "north",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "capacity": {"cpu": self.cpu, "mem_mb": 64_000, "gpu": 0},
            "labels": self.labels,
            "born": self.life.born_ms,
            "machine": f"m-{self.name}",
        }
        if self.state == "draining":
            entry["remaining_ms"] = self.remaining_ms
        self.site.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def _used(self) -> int:
        return sum(self.site.room_of(run.task) for run in self.life.runs.values())

    async def _handle(self, _method, target, headers, body):
        life = self.life
        if life is None:
            return SILENT
        document = json.loads(body) if body else {}
        if target == "/health":
            return 200, {}
        if headers.get("target-instance", self.name) != self.name:
            return 421, {}
        taken = self.intercept(target, document)
        if taken is not None:
            if target != "/-/hold":
                self.site.record.add(
                    "order.disturbed",
                    runner=self.name,
                    order=target,
                    task=document.get("task"),
                    run=document.get("run"),
                    status=0 if taken is SILENT else taken[0],
                )
            return taken
        return await self.carry_out(life, target, document)

    async def carry_out(self, life: Life, target: str, document: dict):
        """Carry out one order."""
        if document.get("fencing_token", 0) < life.fence:
            return 409, {"clock_ms": life.clock_ms(), "reason": "fence"}
        life.fence = document.get("fencing_token", 0)
        if target == "/-/hold":
            return await self._hold(life, document)
        if target == "/-/run-start":
            reason = self._start(life, document)
            if reason:
                self.site.record.add(
                    "start.refused",
                    runner=self.name,
                    task=document["task"],
                    run=document["run"],
                    reason=reason,
                )
                return 409, {"clock_ms": life.clock_ms(), "reason": reason}
        elif target == "/-/run-stop":
            task, number = document["task"], document["run"]
            life.numbers[task] = max(life.numbers.get(task, 0), number)
            run = life.runs.get(f"{task}#{number}")
            if run is not None:
                run.stop_s = min(run.stop_s, now_s() + STOP_MS / 1000)
        return 200, {"clock_ms": life.clock_ms()}

    def _renew(self, life: Life, until_ms: int) -> None:
        until_ms = min(until_ms, life.clock_ms() + HOLD_MAX_MS)
        life.until_ms = max(life.until_ms, until_ms)

    def _start(self, life: Life, document: dict) -> str:
        task, number = document["task"], document["run"]
        name = f"{task}#{number}"
        self._renew(life, document["until_ms"])
        if name in life.runs:
            return ""
        if number <= life.numbers.get(task, 0):
            return "old"
        if life.until_ms <= life.clock_ms():
            return "late"
        if self.site.needs_ticket(task) and not self.site.advice.is_valid(
            task.rpartition(".")[0], self.name, document.get("ticket", "")
        ):
            return "ticket"
        if self._used() + self.site.room_of(task) > self.cpu:
            return "room"
        work_s, how = self.site.plan_run(task, number, document["spec"])
        gang = self.site.gang_of(task)
        waits = float("inf") if gang else now_s()
        life.runs[name] = TaskRun(
            task, number, self.name, work_s, how, now_s(), waits,
            f"{gang}#{number}" if gang else "",
            saves=bool(self.site.step_of(task).get("saves_progress")),
            resumed=document.get("last_checkpoint", ""),
        )  # fmt: skip
        life.numbers[task] = max(life.numbers.get(task, 0), number - 1)
        self.site.on_start(self, life.runs[name], document)
        return ""

    async def _hold(self, life: Life, document: dict):
        seen = document.get("last_seen", 0)
        for row in life.ended:
            if row[0] <= seen:
                self.site.on_noted(self, row)
        life.ended = [row for row in life.ended if row[0] > seen]
        if document.get("until_ms"):
            self._renew(life, document["until_ms"])
        until_s = now_s() + document.get("wait_ms", 0) / 1000
        while not life.ended and now_s() < until_s and self.life is life:
            await asyncio.sleep(CLOCK_STEP_S)
        if self.life is not life:
            return SILENT
        rows = [
            [run.task, run.run, run.saved(), run.percent(), self.site.cpu_of(run.task)]
            for run in life.runs.values()
        ]
        return 200, {
            "clock_ms": life.clock_ms(),
            "born": life.born_ms,
            "running": rows,
            "ended": life.ended[:ENDS_LISTED_MAX],
        }

    def advance(self) -> None:
        """End the runs whose time has come."""
        life = self.life
        if life is None:
            return
        if life.runs and life.until_ms <= life.clock_ms():
            lapsed = list(life.runs.values())
            for run in lapsed:
                self._end(life, run, "lapsed", breaks_gang=False)
            for run in lapsed:
                if run.gang:
                    self.site.break_gang(run)
        for run in list(life.runs.values()):
            if run.stop_s <= now_s():
                self._end(life, run, "stopped")
            elif now_s() - run.working_s >= run.work_s:
                self._end(life, run, run.how)
            elif run.is_alone():
                self._end(life, run, "alone")

    def end_run(self, run: TaskRun, how: str) -> None:
        """End a run of the present incarnation."""
        self._end(self.life, run, how)

    def _end(
        self, life: Life, run: TaskRun, how: str, breaks_gang: bool = True
    ) -> None:
        if life.runs.pop(f"{run.task}#{run.run}", None) is None:
            return
        life.numbers[run.task] = max(life.numbers.get(run.task, 0), run.run)
        life.last_number += 1
        row = [life.last_number, run.task, run.run, how, run.saved(how == "stopped")]
        life.ended.append(row)
        self.site.record.add(
            "run.end", runner=self.name, task=run.task, run=run.run, how=how
        )
        self.site.on_end(self, run, how)
        if run.gang and breaks_gang and how not in ("done", "broken"):
            self.site.break_gang(run)
        elif run.gang and how == "done":
            self.site.finish_gang(run)


class Advice:
    """The service at `advice`, which names the runners that may run a step.

    It handles one call at a time for each calling machine, in turn, and answers 429
    while `WAITING_MAX` calls wait. A ticket is valid for `valid_ms` from its answer.
    """

    WAITING_MAX = 32

    def __init__(self, decision_ms: float, period_ms: float, valid_ms: float) -> None:
        self.decision_ms, self.period_ms = decision_ms, period_ms
        self.valid_ms = valid_ms
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._ports: list[HttpServer] = []
        self.answered = 0
        self.refused = 0

    def route(self) -> dict:
        """Return the field of a route whose queue needs tickets."""
        return {
            "advice": {
                "decision_ms": self.decision_ms,
                "period_ms": self.period_ms,
                "valid_ms": self.valid_ms,
            }
        }

    async def open_port(self, _daemon: str) -> int:
        """Open the port of one calling machine."""
        lock = asyncio.Lock()
        waiting = 0

        async def handle(_method, _target, _headers, body):
            nonlocal waiting
            if waiting >= self.WAITING_MAX:
                self.refused += 1
                return 429, {}
            document = json.loads(body)
            waiting += 1
            try:
                async with lock:
                    count = len(document["workers"])
                    await asyncio.sleep(
                        (self.decision_ms + self.period_ms * count) / 1000
                    )
            finally:
                waiting -= 1
            self.answered += 1
            rows = []
            for worker in document["workers"]:
                # The policy allows two thirds of the runners; it doesn't change.
                if sum(f"{document['step']}{worker}".encode()) % 3:
                    ticket = f"t-{len(self._tickets)}"
                    until_s = now_s() + self.valid_ms / 1000
                    self._tickets[ticket] = document["step"], worker, until_s
                    rows.append([worker, ticket])
            return 200, {"good": rows, "valid_ms": self.valid_ms}

        server = HttpServer(handle)
        await server.open()
        self._ports.append(server)
        return server.port

    def is_valid(self, step: str, worker: str, ticket: str) -> bool:
        """Return whether a ticket is valid for a step on a runner now."""
        found = self._tickets.get(ticket)
        return found is not None and found[:2] == (step, worker) and now_s() < found[2]

    async def close(self) -> None:
        """Stop listening."""
        for port in self._ports:
            await port.close()


def find_free_ports(host: str, count: int) -> list[int]:
    """Return free TCP ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for found in sockets:
            found.bind((host, 0))
        return [found.getsockname()[1] for found in sockets]
    finally:
        for found in sockets:
            found.close()


class Daemon:
    """A daemon process on a loopback address of its own."""

    def __init__(self, site: "Site", number: int, store_port: int) -> None:
        self.site = site
        self.name = f"front-{number}"
        base = os.getpid()
        self.host = f"127.{1 + base % 200}.{base // 200 % 250}.{number + 2}"
        self.store_port = store_port
        self.process: asyncio.subprocess.Process | None = None
        self.advice_port = 0
        self.link_mbps = 1000.0
        self.cpu_share, self.cores = 0.537, 2
        self.front, self.ready, self.peer = find_free_ports(self.host, 3)
        self.file = site.folder / f"{self.name}.toml"
        self.log = open(site.folder / f"{self.name}.log", "ab")  # noqa: SIM115

    def write_settings(self) -> None:
        """Write the settings file, with the fields of a small deployment."""
        advice = f'advice = "127.0.0.1:{self.advice_port}"' if self.advice_port else ""
        self.file.write_text(
            f"""node = "{self.name}"
role = "scheduler"
machine_class = "front"
serves = ["front"]
ip = "{self.host}"
zone = "north"
region = "home"
port_range = [{self.peer}, {self.peer}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","sched","places","platform",
  "advice"]
orders = "call"
{advice}
[zones]
north = "home"
[listen]
front = "{self.host}:{self.front}"
readiness = "{self.host}:{self.ready}"
[limits]
cpu_share = {self.cpu_share}
cores = {self.cores}
memory_mb = 300
max_fds = 4100
link_mbps = {self.link_mbps}
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 6000
catch_up_s = 6
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 6000
evacuate_ms = 5000
recovery_s = 15
hold_max_ms = {HOLD_MAX_MS}
stop_timeout_ms = 400
gang_timeout_ms = {GANG_TIMEOUT_MS}
cancel_ms = 4000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_s = {CHECKPOINT_S}
restore_ms = 100
notice_ms = 5500
move_s = 1.5
maintenance_s = 2
require_fence = false
lease_ttl_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4500
[platform]
address = "127.0.0.1:{self.store_port}"
form = "kv"
writes_per_s = 1200
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        )

    async def start(self) -> None:
        """Start the process with the `run` line of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["scheduler"]["run"].split()
        keep = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=keep
            | {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "DOGWOODLEVER_NODE_FILE": str(self.file),
            },
            stdout=self.log,
            stderr=self.log,
        )
        self.site.record.add("daemon.start", daemon=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.site.record.add("daemon.signal", daemon=self.name, signal=number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Site:
    """A small deployment: store, runners, daemons and clients."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case / "record.txt")
        self.record.add("case", trouble=self.trouble)
        self.store = Store()
        self.runners: dict[str, Runner] = {}
        self.daemons: dict[str, Daemon] = {}
        self._ports: dict[str, HttpServer] = {}
        self.jobs: dict[str, dict] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.version = 0
        self.routes: dict[str, dict] = {}
        self.advice: Advice | None = None
        # Sets the size of a machine before it starts, and the link of its port.
        self.size_daemon = lambda _daemon, _port: None
        self.plan_run = lambda _task, _number, _spec: (1.0, "done")
        self._clock = None
        self._ids = 0

    # Operator

    def configure(self, routes: dict[str, dict]) -> None:
        """Write a version of the configuration with these routes."""
        self.version += 7
        rows = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "service": SERVICE,
                "priority": 0,
                "max_attempts": 3,
                "stretch": 2.0,
                "slo_ms": 1000,
                **fields,
            }
            for name, fields in routes.items()
        ]
        document = {
            "version": self.version,
            "routes": rows,
            "services": [{"name": SERVICE, "enforces_capacity": True}],
            "limits": {},
        }
        self.routes = routes
        self.store.put("op/config", json.dumps(document).encode())
        self.record.add("configuration", version=self.version, routes=list(routes))

    # Deployment

    async def open(self, daemons: int, runners: int, cores: int = 16) -> None:
        """Start store, runners and daemons, and wait until requests are taken."""
        self._clock = asyncio.create_task(self._advance())
        if not self.version:
            self.configure({ROUTE: {}})
        for number in range(runners):
            await self.add_runner(f"i-{number:02}", cores)
        for number in range(daemons):
            name = f"front-{number}"
            port = self._ports[name] = await self.store.open_port(name)
            daemon = Daemon(self, number, port.port)
            if self.advice is not None:
                daemon.advice_port = await self.advice.open_port(name)
            self.size_daemon(daemon, port)
            daemon.write_settings()
            self.daemons[name] = daemon
            await daemon.start()
        await self.wait_ready()

    async def add_runner(self, name: str, cores: int = 16, labels=("a", "r1")) -> None:
        """Start a new runner."""
        self.runners[name] = Runner(self, name, cores, labels)
        await self.runners[name].start()
        self.record.add("runner.start", runner=name)

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until every daemon is ready and a leader answers for all."""
        until_s = now_s() + limit_s
        for daemon in self.daemons.values():
            while True:
                status, _ = await self.call(
                    "GET", "/-/readiness", host=daemon.host, port=daemon.ready
                )
                counted, _ = await self.call("GET", PREFIX, daemon=daemon.name)
                if status == 200 and counted == 200:
                    break
                if now_s() > until_s:
                    raise RuntimeError(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)

    def silence_watch(self, daemon: str, prefix: str) -> None:
        """Make the connection on which a daemon waits for changes silent for good."""
        self._ports[daemon].silenced.add(self.store.watchers[daemon, prefix])
        self.record.add("connection.silent", daemon=daemon, prefix=prefix)

    def leader(self) -> str:
        """Return the daemon that holds the leader's record, by its name there."""
        item = self.store.items.get("dogwoodlever/leader")
        if item is None:
            return ""
        found = [name for name in self.daemons if name.encode() in item.value]
        return found[0] if found else ""

    async def _advance(self) -> None:
        beat_s = now_s()
        while True:
            for runner in self.runners.values():
                runner.advance()
            self._form_gangs()
            self.store.expire()
            if now_s() - beat_s >= HEARTBEAT_MS / 1000:
                beat_s = now_s()
                for runner in self.runners.values():
                    runner.write_entry()
            await asyncio.sleep(CLOCK_STEP_S)

    def _form_gangs(self) -> None:
        waiting: dict[str, list[TaskRun]] = {}
        for runner in self.runners.values():
            if runner.life is None:
                continue
            for run in runner.life.runs.values():
                if run.gang and run.working_s == float("inf"):
                    waiting.setdefault(run.gang, []).append(run)
        for name, runs in waiting.items():
            if len(runs) == self.gang_size(name.partition("#")[0]):
                for run in runs:
                    run.working_s = now_s()

    def _members(self, run: TaskRun):
        for runner in self.runners.values():
            if runner.life is not None:
                for other in list(runner.life.runs.values()):
                    if other.gang == run.gang and other is not run:
                        yield runner, other

    def break_gang(self, run: TaskRun) -> None:
        """End the members of a gang that worked with a run that has ended."""
        if run.working_s == float("inf"):
            return
        for runner, other in self._members(run):
            runner.end_run(other, "broken")

    def finish_gang(self, run: TaskRun) -> None:
        """End the members of a gang as done together."""
        for runner, other in self._members(run):
            runner.end_run(other, "done")

    # Jobs

    def step_of(self, task: str) -> dict:
        """Return the step of a task as it was submitted."""
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job]["steps"][int(step)]

    def cpu_of(self, task: str) -> int:
        """Return what a task requests."""
        return self.step_of(task).get("cpu", 0)

    def room_of(self, task: str) -> int:
        """Return what a task takes of a runner's capacity."""
        return 0 if self.step_of(task).get("fills") else self.cpu_of(task)

    def needs_ticket(self, task: str) -> bool:
        """Return whether starts of a task need a ticket."""
        route = self.jobs[task.partition(".")[0]]["route"]
        return "advice" in self.routes.get(route, {})

    def gang_of(self, task: str) -> str:
        """Return the name of a task's gang; empty if it is in none."""
        return task.rpartition(".")[0] if self.step_of(task).get("gang") else ""

    def gang_size(self, gang: str) -> int:
        """Return the number of members of a gang."""
        return self.step_of(gang + ".0")["count"]

    def on_start(self, runner: Runner, run: TaskRun, document: dict) -> None:
        """Record a start."""
        self.starts.append((now_s(), run.task, run.run, runner.name))
        self.record.add(
            "run.start",
            runner=runner.name,
            task=run.task,
            run=run.run,
            fence=document["fencing_token"],
            **(
                {"last_checkpoint": document.get("last_checkpoint", "")}
                if run.saves
                else {}
            ),
        )

    def on_end(self, runner: Runner, run: TaskRun, how: str) -> None:
        """Record an end."""
        self.ends.append((now_s(), run.task, run.run, how, runner.name))

    def on_noted(self, runner: Runner, row: list) -> None:
        """Record that an end is taken note of."""
        self.record.add(
            "end.noted", runner=runner.name, task=row[1], run=row[2], how=row[3]
        )

    def new_id(self) -> str:
        """Return a new id of a job."""
        self._ids += 1
        return f"{os.getpid() & 0xFFFFFF:08x}{self._ids:08x}"

    async def call(
        self, method, path, body=b"", daemon="", host="", port=0, limit_s=3.0
    ):
        """Send one request on a connection of its own; status 0 is no answer."""
        if daemon:
            host, port = self.daemons[daemon].host, self.daemons[daemon].front
        try:
            return await asyncio.wait_for(
                self._exchange(method, path, body, host, port, limit_s), limit_s
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            return 0, {}

    async def _exchange(self, method, path, body, host, port, limit_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                f"Deadline-Ms: {int(limit_s * 1000)}\r\nConnection: close\r\n\r\n"
                .encode()
                + body
            )  # fmt: skip
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            content = await reader.read()
            if "chunked" in head.lower():
                content = _join_chunks(content)
            return status, json.loads(content) if content else {}
        finally:
            writer.close()

    async def submit(self, steps, daemon="", route=ROUTE, spec="work", attempts=5):
        """Hand a job in until it is accepted or refused; return its id and status."""
        job = self.new_id()
        self.jobs[job] = {"steps": steps, "accepted_s": None, "route": route}
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        daemon = daemon or next(iter(self.daemons))
        status = 0
        for _ in range(attempts):
            status, _ = await self.call("POST", f"/{route}/{job}", body, daemon)
            self.record.add("submit", job=job, daemon=daemon, status=status)
            if 200 <= status < 300:
                self.jobs[job]["accepted_s"] = now_s()
                break
            if status and status != 504:
                break
            await asyncio.sleep(0.2)
        return job, status

    async def state(self, job: str, daemon: str = "") -> str:
        """Ask for a job's state; return it, or the status where there is none."""
        daemon = daemon or next(iter(self.daemons))
        path = f"/{self.jobs[job]['route']}/{job}"
        status, document = await self.call("GET", path, daemon=daemon)
        found = document.get("state", "") if status == 200 else str(status)
        self.record.add("state", job=job, daemon=daemon, found=found)
        return found

    async def wait_state(self, job: str, states, limit_s: float, daemon="") -> str:
        """Ask for a job's state until it is one of `states` or the time is over."""
        until_s = now_s() + limit_s
        while True:
            found = await self.state(job, daemon)
            if found in states or now_s() >= until_s:
                return found
            await asyncio.sleep(0.4)

    async def close(self) -> None:
        """End every process that was started, and remove the folder."""
        for daemon in self.daemons.values():
            await daemon.end()
            daemon.log.close()
        if self._clock is not None:
            self._clock.cancel()
        for runner in self.runners.values():
            await runner.server.close()
        for port in self._ports.values():
            await port.close()
        if self.advice is not None:
            await self.advice.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def _join_chunks(content: bytes) -> bytes:
    joined = b""
    while content:
        size, _, content = content.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            break
        joined += content[:length]
        content = content[length + 2 :]
    return joined


def run_case(case: Path, play) -> int:
    """Play a case; return 1 if its rule was broken, 0 if it held, 2 if it failed.

    `play` is a coroutine function that takes the site and returns the breaches that
    it saw.
    """

    async def main() -> int:
        site = Site(case)
        try:
            breaches = await asyncio.wait_for(play(site), 100.0)
            for breach in breaches:
                site.record.add("breach", what=breach)
                print(f"broken: {breach}")
            site.record.add("verdict", broken=bool(breaches))
            return 1 if breaches else 0
        except Exception as error:  # noqa: BLE001
            site.record.add("not-run", why=repr(error))
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await site.close()

    return asyncio.run(main())
