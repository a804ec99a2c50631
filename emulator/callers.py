"""Callers' process of an emulation: ``python -m emulator.callers LOG OPTIONS``."""

import json
import random
import time

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater

from dogwoodlever._http_client import NOT_SENT_ERRORS, HttpClient
from emulator.process import EventLog, run_process
from standins.configuration_check import NO_RESPONSE, NOT_SENT
from standins.invalid_versions import INVALID_QUEUE
from standins.limits_check import DEFAULTS
from standins.queue_places import parse_place, queue_at

CALL_TIMEOUT_S = 3.0
ATTEMPTS = 5
READ_INTERVAL_S = (0.7, 2.5)
# Jobs a second; means of steps, tasks a step, milliseconds and thousandths of a core a
# task; shares of runs that fail, of steps with copies and of steps that save progress.
KINDS = {
    "price": (8.02, 1.6, 10, 540, 3_700, 0.02, 0.3, 0.0),
    "month": (5.46, 2.0, 20, 2_300, 3_500, 0.005, 0.0, 0.85),
    "watch": (0.286, 1.0, 14, 0, 6_400, 0.03, 0.0, 0.0),
}
# Milliseconds of the tasks of long jobs, which are a share of these kinds.
LONG_MS = 12_000
LONG_KINDS = ("price", "month")
# Jobs of the queues that are added and dropped, in the same form without a rate.
QUEUE_JOB = (0.0, 2.6, 4, 500, 1_500, 0.0, 0.0, 0.0)
# Shares of the jobs all of whose runs fail, until no attempt is left.
HOPELESS_SHARES = {"price": 0.0, "month": 0.01, "watch": 0.0}
QUEUE_HOPELESS_SHARE = 0.2
# Share of the questions about a queue that submit a job to it.
SUBMIT_SHARE = 0.02
# Share of the questions with a deadline, and that deadline.
DEADLINE_SHARE = 1 / 3
DEADLINE_MS = (1_000, 2_500)
# Names of the queues at which jobs can be cancelled in the end.
LASTING_QUEUES = ("extra", "many")
# A queue that no version has.
ABSENT_QUEUE = "never"
# Kinds of queues in the order in which they are asked for, each at all daemons in turn;
# those that were added or dropped last are asked for most.
ASKED_KINDS = (
    "added", "dropped", "absent", "added", "dropped", "current", "added", "dropped",
    "invalid", "usual", "limit", "usual",
)  # fmt: skip
# How far from a limit the size of a request is, for bodies and for headers, whose
# bytes may be counted with the first line and the ends of lines or without.
LIMIT_DISTANCES_BYTES = {"max_body_bytes": 1, "max_header_bytes": 512}
PADDING_LINE_BYTES = 1_000
# Share of these questions while no version has limits, as the default ones are large.
DEFAULT_LIMITS_SHARE = 0.1
CHANGED_QUEUES_MAX = 4
# After the write of an invalid version: time to the questions at all daemons, and from
# one daemon to the next.
ASK_ALL_AFTER_S = 0.5
ASK_ALL_INTERVAL_S = 0.01
STAY_S = (8.0, 40.0)
# Jobs a second that no worker can run for want of a label, which are cancelled after a
# while, so that there are always pending jobs.
WAITING_PER_S = 0.4
ABSENT_LABEL = "on-no-worker"
WAIT_S = (10.0, 20.0)
ENDED = ("completed", "failed", "cancelled")


class EmulatedCallers:
    """Callers that submit jobs of three classes at random daemons."""

    def __init__(self, log: EventLog, report, options: dict) -> None:
        self._log = log
        self._report = report
        self._random = random.Random(f"callers/{options['seed']}/{options['number']}")
        self._load = options["load"]
        self._long_share = options["long_share"]
        self._urls = options["urls"]
        self._client = HttpClient(reactor, CALL_TIMEOUT_S, 2)
        self._until_s = time.monotonic() + options["duration_s"]
        self._factors = dict.fromkeys(KINDS, 1.0)
        self._gives_up_share = 0.0
        self._open: dict[str, str] = {}
        self._states: dict[str, str] = {}
        # Places of the queues of the newest version besides the usual ones, and those
        # that were added or dropped last.
        self._queues: list[str] = []
        self._added: list[str] = []
        # By queue: its last place. Jobs that were submitted elsewhere are read there.
        self._places: dict[str, str] = {}
        self._limits: dict[str, int] = {}
        self._dropped: list[str] = []
        self._asked = 0
        for kind in KINDS:
            self._submit_next(kind)
        self._waiting_per_s = options["waiting_per_s"]
        if self._waiting_per_s:
            self._submit_waiting()
        self._questions_per_s = options["questions_per_s"]
        if self._questions_per_s:
            self._ask_next()

    # Commands

    def know_queues(self, queues: list[str], limits: dict[str, int]) -> None:
        """Learn the places of the queues of the newest version, and its limits."""
        self._limits = limits
        self._places.update((queue_at(place), place) for place in queues)
        queues = [place for place in queues if place not in KINDS]
        added = [place for place in queues if place not in self._queues]
        dropped = [place for place in self._queues if place not in queues]
        self._added = _latest(self._added, added, dropped)
        self._dropped = _latest(self._dropped, dropped, added)
        self._queues = queues

    def move_daemon(self, number: int, url: str) -> None:
        """Call a daemon at another address from now on."""
        self._urls[number] = url

    def ask_all(self) -> None:
        """Ask all daemons for the queue of invalid versions and for a usual queue.

        An invalid version has just been written.
        """
        if time.monotonic() > self._until_s:
            return
        for daemon in range(len(self._urls)):
            after_s = ASK_ALL_AFTER_S + daemon * ASK_ALL_INTERVAL_S
            for place in (INVALID_QUEUE, "price"):
                reactor.callLater(after_s, self._ask, place, daemon)

    def burst(self, kind: str, factor: float) -> None:
        """Multiply the rate of a kind of job."""
        self._factors[kind] = factor

    def give_up(self, share: float) -> None:
        """Cancel a share of the new jobs soon after their submission."""
        self._gives_up_share = share

    def count(self) -> None:
        """Report the accepted jobs that have not ended, with their states."""
        jobs = {
            job: self._states.get(job, "unread")
            for job, kind in self._open.items()
            if kind != "watch"
        }
        self._report("open", jobs=jobs)

    def _ask_next(self) -> None:
        """Ask the next daemon about a queue, or submit a job to it there."""
        if time.monotonic() > self._until_s:
            return
        reactor.callLater(1 / self._questions_per_s, self._ask_next)
        turn, daemon = divmod(self._asked, len(self._urls))
        self._asked += 1
        kind = ASKED_KINDS[turn % len(ASKED_KINDS)]
        rng = self._random
        if kind == "limit" and (self._limits or rng.random() < DEFAULT_LIMITS_SHARE):
            self._test_limit(daemon)
            return
        places = {
            "added": self._added,
            "dropped": self._dropped,
            "current": self._queues,
            "absent": [ABSENT_QUEUE],
            "invalid": [INVALID_QUEUE],
        }.get(kind)
        place = rng.choice(places or list(KINDS))
        if place.startswith("extra") and rng.random() < SUBMIT_SHARE:
            self._run_job(place, daemon)
        else:
            self._ask(place, daemon)

    def _ask(self, place: str, daemon: int) -> None:
        """Ask a daemon for a count, some with a deadline until which to wait."""
        rng = self._random
        has_deadline = rng.random() < DEADLINE_SHARE
        deadline_ms = rng.randint(*DEADLINE_MS) if has_deadline else 0
        self._call(b"GET", place, daemon=daemon, deadline_ms=deadline_ms)

    def _test_limit(self, daemon: int) -> None:
        """Send a request whose size is just above or just below a limit."""
        rng = self._random
        limit = rng.choice(list(LIMIT_DISTANCES_BYTES))
        distance = rng.choice((-1, 1)) * LIMIT_DISTANCES_BYTES[limit]
        size = (self._limits or DEFAULTS)[limit] + distance
        if limit == "max_header_bytes":
            self._call(
                b"GET", "price", daemon=daemon, limit=limit, size=size,
                headers=_pad_headers(size),
            )  # fmt: skip
            return
        job = f"{rng.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 20}
        spec = json.dumps([{"cpu": 500, "ms": 20, "fail": 0.0}])
        body = json.dumps({"spec": spec, "steps": [step]}).encode().ljust(size)
        self._log.write("submit", job=job, kind="price", counts=[1], copies=[])
        self._call(b"POST", "price", job, body, daemon, limit=limit, size=size)

    def _submit_next(self, kind: str) -> None:
        if time.monotonic() > self._until_s:
            return
        self._run_job(kind)
        rate = KINDS[kind][0] * self._load * self._factors[kind]
        reactor.callLater(self._random.expovariate(rate), self._submit_next, kind)

    def _submit_waiting(self) -> None:
        """Submit a job that no worker can run, to a usual or another queue."""
        if time.monotonic() > self._until_s:
            return
        rng = self._random
        # The last version has the queues that came and went, but not those of a form.
        others = [place for place in self._queues if place.startswith(LASTING_QUEUES)]
        place = rng.choice(("price", rng.choice([*KINDS, *others])))
        self._run_job(place, label=ABSENT_LABEL)
        reactor.callLater(rng.expovariate(self._waiting_per_s), self._submit_waiting)

    def _draw_steps(self, kind: str) -> list[dict]:
        _, steps, count, run_ms, cores, _, copies, saves = KINDS.get(kind, QUEUE_JOB)
        rng = self._random
        drawn = []
        for number in range(int(steps) + (rng.random() < steps % 1)):
            step = {
                "count": max(1, round(count * rng.uniform(0.4, 1.6))),
                "cpu": round(cores * rng.uniform(0.6, 1.4)),
                "mem_mb": 6_400,
                "est_runtime_ms": int(run_ms * rng.uniform(0.6, 1.6)) or 500,
            }
            if not run_ms:
                step["persistent"] = True
            if number:
                step["after"] = [number - 1]
            if rng.random() < copies:
                step["speculative"] = True
            if rng.random() < saves:
                step["saves_progress"] = True
            if kind != "month" and rng.random() < 0.15:
                step["max_per_server"] = 2
            drawn.append(step)
        return drawn

    @inlineCallbacks
    def _run_job(self, kind: str, daemon: int | None = None, label: str = ""):
        job = f"{self._random.getrandbits(64):016x}"
        steps = self._draw_steps(kind)
        if label:
            steps = [step | {"required_label": label} for step in steps]
        run_ms = KINDS.get(kind, QUEUE_JOB)[3]
        if self._long_share and kind in LONG_KINDS:
            run_ms = LONG_MS if self._random.random() < self._long_share else run_ms
        hopeless_share = HOPELESS_SHARES.get(kind, QUEUE_HOPELESS_SHARE)
        is_hopeless = self._random.random() < hopeless_share
        fails = 1.0 if is_hopeless else KINDS.get(kind, QUEUE_JOB)[5]
        spec = json.dumps(
            [{"cpu": step["cpu"], "ms": run_ms, "fail": fails} for step in steps]
        )
        gives_up = self._random.random() < self._gives_up_share + 0.01
        self._log.write(
            "submit", job=job, kind=kind, counts=[step["count"] for step in steps],
            copies=[n for n, step in enumerate(steps) if step.get("speculative")],
        )  # fmt: skip
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        for _ in range(ATTEMPTS):
            status, _ = yield self._call(b"POST", kind, job, body, daemon)
            if status in (200, 404):
                break
            yield deferLater(reactor, self._random.uniform(0.1, 0.6))
        self._log.write("submitted", job=job, status=status)
        if status != 200:
            return
        self._open[job] = kind
        if label:
            yield deferLater(reactor, self._random.uniform(*WAIT_S))
            yield self._cancel(kind, job)
            return
        if kind == "watch" or gives_up:
            longest_s = (2.0,) if gives_up else STAY_S
            yield deferLater(reactor, self._random.uniform(0.1, longest_s[-1]))
            yield self._cancel(kind, job)
            return
        while self._open.get(job):
            yield deferLater(reactor, self._random.uniform(*READ_INTERVAL_S))
            yield self._read(kind, job)

    @inlineCallbacks
    def _cancel(self, kind: str, job: str):
        self._log.write("cancel", job=job)
        while True:
            status, _ = yield self._call(b"DELETE", self._place(kind), job)
            if status in (200, 410):
                break
            self._log.write("cancel-failed", job=job, status=status)
            yield deferLater(reactor, 0.3)
        self._log.write("cancelled", job=job, status=status)
        self._open.pop(job, None)

    @inlineCallbacks
    def _read(self, kind: str, job: str):
        status, content = yield self._call(b"GET", self._place(kind), job)
        if status != 200:
            self._states[job] = f"status {status}"
            return
        state = self._states[job] = json.loads(content)["state"]
        if state in ENDED:
            self._log.write("state", job=job, state=state)
            self._open.pop(job, None)

    def _place(self, kind: str) -> str:
        """Return the last place of the queue of a job."""
        return self._places.get(queue_at(kind), kind)

    @inlineCallbacks
    def _call(
        self,
        method: bytes,
        place: str,
        job: str = "",
        body: bytes = b"",
        daemon: int | None = None,
        limit: str = "",
        size: int = 0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        deadline_ms: int = 0,
    ):
        """Call a daemon, a random one by default; its size may be near a limit.

        The status is 0 without a response, -1 if the request was not sent.
        """
        if daemon is None:
            daemon = self._random.choice(range(len(self._urls)))
        host, path = parse_place(place)
        url = f"{self._urls[daemon]}{path}{job}"
        headers = ((b"host", host.encode()), *headers)
        if deadline_ms:
            headers = (*headers, (b"deadline-ms", b"%d" % deadline_ms))
        timeout_s = deadline_ms / 1000 or CALL_TIMEOUT_S
        sent_s = time.monotonic()
        try:
            response = yield self._client.fetch(method, url, body, timeout_s, headers)
        except NOT_SENT_ERRORS:
            response = NOT_SENT, b""
        except ConnectionLost:
            self._log.write("cut", daemon=daemon, path=path, sent_s=sent_s)
            response = NO_RESPONSE, b""
        except Exception:  # noqa: BLE001
            # Twisted's network errors share no base class other than Exception.
            response = NO_RESPONSE, b""
        # Submissions and counts; reads of a job go on after its queue was dropped.
        if method == b"POST" or (method == b"GET" and not job):
            self._log.write(
                "answer", daemon=daemon, queue=place, sent_s=sent_s, status=response[0],
                submits=method == b"POST", limit=limit, size=size,
                pending=_read_pending(*response), deadline_ms=deadline_ms,
            )  # fmt: skip
        return response


def _read_pending(status: int, content: bytes) -> int:
    """Return the number of pending jobs in an answer; -1 if it has none."""
    return json.loads(content).get("pending", -1) if status == 200 and content else -1


def _pad_headers(size: int) -> tuple[tuple[bytes, bytes], ...]:
    """Return headers that have about this size with the others of a count."""
    names = [b"x-padding-%d" % number for number in range(size // PADDING_LINE_BYTES)]
    # The first line, `Host` and the ends of lines take some 100 bytes.
    left = size - 100 - sum(len(name) + 4 for name in names)
    return tuple((name, b"x" * (left // len(names))) for name in names)


def _latest(known: list[str], new: list[str], gone: list[str]) -> list[str]:
    """Return the last few names, without those that are gone."""
    kept = [name for name in known if name not in new and name not in gone]
    return (kept + new)[-CHANGED_QUEUES_MAX:]


if __name__ == "__main__":
    run_process(EmulatedCallers)
