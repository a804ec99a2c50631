"""Workers of an emulation: ``python -m emulator.workers LOG OPTIONS``."""

import json
import random
import time
import zlib
from dataclasses import dataclass, field

from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from dogwoodlever._http_client import HttpClient
from emulator.process import EventLog, Exchange, HttpPort, run_process
from standins.changing_queues import OTHER_SERVICE, SERVICE
from standins.faulty_proxy import LinkFault

BEAT_S = 1.5
STOP_MAX_S = 0.4
CHECKPOINT_MS = 2_000
ENDS_LISTED_MAX = 500
# Every second worker's clock is slow, by as much as the platform tolerates.
CLOCK_RATES = (1.0, 0.98)
CORES_MILLI = 32_000
# Fencing tokens of one term of a leader; earlier landings use the term's own.
TOKENS_PER_TERM_MAX = 1_000_000


@dataclass(slots=True, eq=False)
class EmulatedRun:
    """A run on a worker; `total_ms` is 0 for a task that lasts."""

    task: str
    number: int
    started_s: float
    cores_milli: int
    total_ms: int
    saved_ms: int
    outcome: str
    is_ending: bool = False
    end_call: object = None


@dataclass(slots=True, eq=False)
class EmulatedWorker:
    """One incarnation of a worker."""

    worker_id: str
    born: int
    started_s: float
    rate: float
    token: int = 0
    until_ms: int = 0
    is_up: bool = True
    runs: dict[str, dict[int, EmulatedRun]] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)
    last_number: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    polls: list = field(default_factory=list)
    used_milli: int = 0
    has_lapse_call: bool = False

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int((time.monotonic() - self.started_s) * 1000 * self.rate) + 1


class WorkerSlot:
    """A machine with an address, on which one incarnation after the other runs."""

    def __init__(self, process: "EmulatedWorkers", number: int) -> None:
        self._process = process
        self._random = random.Random(f"worker/{process.seed}/{number}")
        self._log = process.log
        self.number = number
        is_other = number >= process.first_other
        self.service = OTHER_SERVICE if is_other else SERVICE
        self.port = HttpPort(self._serve)
        self.worker: EmulatedWorker | None = None
        self._lives = 0
        self.is_cut = False
        self.is_draining = False
        # Shares of the calls that are left unanswered and carried out late, that are
        # never carried out, and whose connections are reset.
        self.late_share = 0.0
        self.hang_share = 0.0
        self.reset_share = 0.0
        self.fails = False

    def start(self, keeps_id: bool) -> None:
        """Start the next incarnation."""
        if self.worker is not None and self.worker.is_up:
            return
        if not keeps_id or self.worker is None:
            self._lives += 1
        born = int(time.time() * 1000)
        rate = CLOCK_RATES[self.number % 2]
        worker_id = f"w{self.number:03d}-{self._lives}"
        self.worker = EmulatedWorker(worker_id, born, time.monotonic(), rate)
        self.is_draining = False
        self._log.write(
            "up", worker=worker_id, born=born, kept=keeps_id, service=self.service
        )
        self.port.inject(self.port.fault)

    def stop(self, is_dark: bool = False) -> None:
        """End the process at once; connections are refused, or get no answer."""
        worker = self.worker
        if worker is None or not worker.is_up:
            return
        worker.is_up = False
        for runs in worker.runs.values():
            for run in runs.values():
                _cancel(run.end_call)
        self._log.write("down", worker=worker.worker_id, born=worker.born, dark=is_dark)
        if is_dark:
            self.port.darken()
        else:
            self.port.refuse()

    def entry(self) -> dict:
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port.port}",
            "zone": f"z{self.number % 3}",
            "state": "draining" if self.is_draining else "ready",
            "capacity": {"cpu": CORES_MILLI, "mem_mb": 125_000},
            "labels": ["a", f"r{self.number // 8}"],
            "born": self.worker.born,
        }

    # Calls

    def _serve(self, exchange: Exchange) -> None:
        token = exchange.body.get("fencing_token", 0)
        shunned = self._process.shunned
        fault = shunned.get(token) or shunned.get(token // TOKENS_PER_TERM_MAX)
        draw = self._random.random()
        if fault == LinkFault.SILENT:
            exchange.drop()
        elif fault == LinkFault.RESET or draw < self.reset_share:
            exchange.reset()
        elif draw < self.reset_share + self.hang_share:
            exchange.drop()
        elif draw < self.reset_share + self.hang_share + self.late_share:
            exchange.drop()
            late_s = self._random.uniform(2.0, 12.0)
            self._note_unanswered(exchange, late_s)
            reactor.callLater(late_s, self._carry_out, exchange, True)
        else:
            if fault == LinkFault.ANSWERS_LOST:
                exchange.drop()
                self._note_unanswered(exchange, 0.0)
            self._carry_out(exchange, False)

    def _note_unanswered(self, exchange: Exchange, late_s: float) -> None:
        body = exchange.body
        if "task" in body:
            self._log.write(
                "unanswered", slot=self.number, call=exchange.path[3:], late_s=late_s,
                task=body["task"], run=body["run"], token=body["fencing_token"],
            )  # fmt: skip

    def _carry_out(self, exchange: Exchange, is_late: bool) -> None:
        worker = self.worker
        if not worker.is_up:
            return
        if exchange.headers[b"target-instance"].decode() != worker.worker_id:
            exchange.respond(421)
            return
        token = exchange.body.get("fencing_token", 0)
        if token < worker.token:
            self._refuse(exchange, "fence")
            return
        if token > worker.token:
            worker.token = token
            self._log.write(
                "token", worker=worker.worker_id, born=worker.born, token=token
            )
        match exchange.path:
            case "/-/run-start":
                self._start_run(worker, exchange, is_late)
            case "/-/run-stop":
                self._stop_run(worker, exchange)
            case "/-/hold":
                self._hold(worker, exchange)
            case _:
                exchange.respond(200, {"clock_ms": worker.clock_ms()})

    def _refuse(self, exchange: Exchange, reason: str) -> None:
        if "task" in exchange.body:
            self._log.write(
                "refused", worker=self.worker.worker_id, task=exchange.body["task"],
                run=exchange.body["run"], call=exchange.path[3:], reason=reason,
            )  # fmt: skip
        document = {"clock_ms": self.worker.clock_ms(), "reason": reason}
        exchange.respond(409, document)

    def _start_run(self, worker: EmulatedWorker, exchange: Exchange, is_late) -> None:
        body = exchange.body
        task, number = body["task"], body["run"]
        if body["until_ms"] <= worker.clock_ms():
            self._refuse(exchange, "late")
            return
        self._renew(worker, body["until_ms"])
        if number in worker.runs.get(task, ()):
            exchange.respond(200, {"clock_ms": worker.clock_ms()})
            return
        step = json.loads(body["spec"])[int(task.split(".")[2])]
        if number <= worker.highest.get(task, 0):
            self._refuse(exchange, "old")
        elif worker.used_milli + step["cpu"] > CORES_MILLI:
            self._refuse(exchange, "room")
        else:
            self._begin(worker, body, step, is_late)
            exchange.respond(200, {"clock_ms": worker.clock_ms()})

    def _begin(self, worker: EmulatedWorker, body: dict, step: dict, is_late) -> None:
        task, number = body["task"], body["run"]
        draw = random.Random(zlib.crc32(f"{task}#{number}".encode()))
        total_ms = int(step["ms"] * draw.uniform(0.5, 1.5))
        saved_ms = int(body.get("last_checkpoint") or "0", 16)
        fails = self.fails or draw.random() < step["fail"]
        run = EmulatedRun(
            task, number, time.monotonic(), step["cpu"], total_ms, saved_ms,
            "failed" if fails else "done",
        )  # fmt: skip
        worker.runs.setdefault(task, {})[number] = run
        worker.highest[task] = number
        worker.used_milli += run.cores_milli
        if total_ms:
            left_s = max(1, total_ms - saved_ms) / 1000
            run.end_call = reactor.callLater(left_s, self._end, worker, run)
        elif fails:
            left_s = draw.uniform(0.1, 5.0)
            run.end_call = reactor.callLater(left_s, self._end, worker, run)
        self._log.write(
            "start", worker=worker.worker_id, born=worker.born, task=task, run=number,
            token=body["fencing_token"], late=is_late, clock_ms=worker.clock_ms(),
            until_ms=body["until_ms"], lease_ms=worker.until_ms,
        )  # fmt: skip

    def _end(self, worker: EmulatedWorker, run: EmulatedRun, outcome: str = "") -> None:
        if not worker.is_up or run.number not in worker.runs.get(run.task, ()):
            return
        _cancel(run.end_call)
        del worker.runs[run.task][run.number]
        worker.used_milli -= run.cores_milli
        worker.last_number += 1
        outcome = outcome or run.outcome
        row = [worker.last_number, run.task, run.number, outcome, self._saved(run)]
        worker.ends.append(row)
        self._log.write(
            "end", worker=worker.worker_id, born=worker.born, task=run.task,
            run=run.number, outcome=outcome, number=worker.last_number,
        )  # fmt: skip
        polls, worker.polls = worker.polls, []
        for exchange in polls:
            exchange.respond(200, self._listing(worker))

    @staticmethod
    def _saved(run: EmulatedRun) -> str:
        if not run.total_ms:
            return ""
        worked_ms = run.saved_ms + (time.monotonic() - run.started_s) * 1000
        saved_ms = int(worked_ms // CHECKPOINT_MS * CHECKPOINT_MS)
        return f"{max(saved_ms, run.saved_ms):08x}"

    def _stop_run(self, worker: EmulatedWorker, exchange: Exchange) -> None:
        task, number = exchange.body["task"], exchange.body["run"]
        worker.highest[task] = max(worker.highest.get(task, 0), number)
        run = worker.runs.get(task, {}).get(number)
        if run is not None and not run.is_ending:
            run.is_ending = True
            delay_s = self._random.uniform(0.0, STOP_MAX_S)
            reactor.callLater(delay_s, self._end, worker, run, "stopped")
        exchange.respond(200, {"clock_ms": worker.clock_ms()})

    def _hold(self, worker: EmulatedWorker, exchange: Exchange) -> None:
        body = exchange.body
        if "until_ms" in body:
            self._renew(worker, body["until_ms"])
        last_seen = body.get("last_seen", 0)
        if worker.ends and worker.ends[0][0] <= last_seen:
            worker.ends = [row for row in worker.ends if row[0] > last_seen]
            self._log.write(
                "ack", worker=worker.worker_id, born=worker.born, number=last_seen
            )
        if worker.ends or not body.get("wait_ms"):
            exchange.respond(200, self._listing(worker))
            return
        worker.polls.append(exchange)
        reactor.callLater(body["wait_ms"] / 1000, self._end_poll, worker, exchange)

    def _end_poll(self, worker: EmulatedWorker, exchange: Exchange) -> None:
        if worker.is_up and exchange in worker.polls:
            worker.polls.remove(exchange)
            exchange.respond(200, self._listing(worker))

    def _listing(self, worker: EmulatedWorker) -> dict:
        running = [
            [run.task, run.number, self._saved(run), self._percent(run), 0]
            for runs in worker.runs.values()
            for run in runs.values()
        ]
        return {
            "clock_ms": worker.clock_ms(),
            "born": worker.born,
            "running": running,
            "ended": worker.ends[:ENDS_LISTED_MAX],
        }

    @staticmethod
    def _percent(run: EmulatedRun) -> int:
        if not run.total_ms:
            return 100
        worked_ms = run.saved_ms + (time.monotonic() - run.started_s) * 1000
        return min(99, int(100 * worked_ms / run.total_ms))

    # Leases

    def _renew(self, worker: EmulatedWorker, until_ms: int) -> None:
        limit_ms = worker.clock_ms() + self._process.hold_max_ms
        worker.until_ms = max(worker.until_ms, min(until_ms, limit_ms))
        # A time that has passed grants nothing, so that no second lapse follows.
        if not worker.has_lapse_call and worker.until_ms > worker.clock_ms():
            worker.has_lapse_call = True
            self._check_lease(worker)

    def _check_lease(self, worker: EmulatedWorker) -> None:
        left_ms = worker.until_ms - worker.clock_ms()
        if left_ms >= 0:
            reactor.callLater(
                (left_ms + 1) / 1000 / worker.rate, self._check_lease, worker
            )
            return
        worker.has_lapse_call = False
        if not worker.is_up:
            return
        self._log.write(
            "lapse", worker=worker.worker_id, born=worker.born, late_ms=-left_ms
        )
        for runs in list(worker.runs.values()):
            for run in list(runs.values()):
                self._kill(worker, run)

    def _kill(self, worker: EmulatedWorker, run: EmulatedRun) -> None:
        lapse_s = self._process.lapse_s
        if not lapse_s[1]:
            self._end(worker, run, "lapsed")
        elif not run.is_ending:
            run.is_ending = True
            _cancel(run.end_call)
            delay_s = self._random.uniform(*lapse_s)
            reactor.callLater(delay_s, self._end, worker, run, "lapsed")


class EmulatedWorkers:
    """The workers of one process."""

    def __init__(self, log: EventLog, report, options: dict) -> None:
        self.log = log
        self.seed = options["seed"]
        self.lapse_s = options["lapse_s"]
        self.hold_max_ms = options["hold_max_ms"]
        # Workers from this number on are of the other service.
        self.first_other = options["first_other"]
        # Faults of the calls of leaders that are cut off, by fencing token.
        self.shunned: dict[int, str] = {}
        self._client = HttpClient(reactor, 1.0, 1)
        self._url = f"http://127.0.0.1:{options['beats']}/-/beat"
        self._slots = {
            number: WorkerSlot(self, number) for number in options["numbers"]
        }
        for slot in self._slots.values():
            slot.start(False)
        LoopingCall(self._beat).start(BEAT_S)
        report("listening")

    def _beat(self, slots=None) -> None:
        entries = {
            slot.worker.worker_id: slot.entry()
            for slot in slots or self._slots.values()
            if slot.worker.is_up and not slot.is_cut
        }
        self._send(entries)

    def _send(self, entries: dict) -> None:
        call = self._client.fetch(b"POST", self._url, json.dumps(entries).encode())
        call.addErrback(lambda failure: self.log.write("beat-failed", why=str(failure)))

    # Commands

    def start(
        self, numbers: list[int], keeps_id: bool, beats_at_once: bool = True
    ) -> None:
        """Start the next incarnations of workers; their entries tell, now or later."""
        for number in numbers:
            self._slots[number].start(keeps_id)
        if beats_at_once:
            self._beat([self._slots[number] for number in numbers])

    def stop(self, numbers: list[int], is_dark: bool = False) -> None:
        """End the processes of workers."""
        for number in numbers:
            self._slots[number].stop(is_dark)

    def drain(self, numbers: list[int]) -> None:
        """Announce that workers leave."""
        for number in numbers:
            self._slots[number].is_draining = True
        self._beat([self._slots[number] for number in numbers])

    def remove(self, numbers: list[int]) -> None:
        """End workers that have announced to leave, and remove their entries."""
        slots = [self._slots[number] for number in numbers]
        self._send({slot.worker.worker_id: None for slot in slots})
        for slot in slots:
            slot.stop()

    def cut(self, numbers: list[int], fault: str) -> None:
        """Cut workers off from everyone; `none` ends it."""
        for number in numbers:
            slot = self._slots[number]
            slot.is_cut = fault != LinkFault.NONE
            if slot.worker.is_up:
                slot.port.inject(LinkFault(fault))
            else:
                slot.port.fault = LinkFault(fault)

    def disturb(self, numbers: list[int], **shares) -> None:
        """Set attributes of workers' slots, such as `late_share`."""
        for number in numbers:
            for name, value in shares.items():
                setattr(self._slots[number], name, value)

    def shun(self, token: int, fault: str) -> None:
        """Cut a leader off from these workers; `none` ends it."""
        if fault == LinkFault.NONE:
            self.shunned.pop(token, None)
        else:
            self.shunned[token] = fault


def _cancel(call) -> None:
    if call is not None and call.active():
        call.cancel()


if __name__ == "__main__":
    run_process(EmulatedWorkers)
