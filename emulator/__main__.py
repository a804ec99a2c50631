"""Emulator of a site at its size and load: ``python -m emulator``.

The daemons, the store, the workers and the callers run in processes of their own, on
the host's clock. `emulator.checker` reads all their logs after the run.
"""

import json
import math
import os
import random
import signal
import struct
import sys
import tempfile
from pathlib import Path

import cyclopts
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.task import LoopingCall, deferLater

from emulator.callers import WAITING_PER_S
from emulator.checker import check_logs
from emulator.configurations import ConfigurationChanges
from emulator.cpu_quota import CpuQuota, read_cpu_s
from emulator.faults import FAULT_INTERVAL_S, LINK_FAULTS, SiteFaults
from emulator.process import EventLog
from standins.daemon_process import ROOT, DaemonProcess
from standins.faulty_proxy import LinkFault

LOG_FOLDER = ROOT / "target" / "emulator"
START_TIMEOUT_S = 40.0
# A start takes 0.7 s of a core, so that the daemons take two cores to start.
START_INTERVAL_S = 0.35
SETTLE_TIMEOUT_S = 60.0
FINDINGS_SHOWN_MAX = 5
# Holds the module that shifts the time of day of a daemon.
CLOCK_FOLDER = Path(__file__).parent / "clock"
# A VM that replaces another one has this added to the last number of its address.
REPLACED_HOST_STEP = 100
# CPU shares of the VMs, in cores; one in seven is strong.
CORES = ((0.717, 3),) + ((0.297, 1),) * 6


class StandIn(ProcessProtocol):
    """A process of the emulator, which takes commands and sends reports."""

    def __init__(self, module: str, log: Path, options: dict, on_report=None) -> None:
        self.reports: dict[str, dict] = {}
        self.listening: Deferred = Deferred()
        self.name = log.stem
        self.has_ended = False
        self._on_report = on_report
        self._buffer = b""
        self._errors = open(log.with_suffix(".err"), "ab")  # noqa: SIM115
        arguments = [sys.executable, "-m", module, str(log), json.dumps(options)]
        reactor.spawnProcess(
            self, sys.executable, arguments, env=os.environ, path=str(ROOT)
        )

    def send(self, name: str, **arguments) -> None:
        """Call a method of the stand-in."""
        self.transport.write(json.dumps([name, arguments]).encode() + b"\n")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.transport.signalProcess(number)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Store the reports of the process."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            name, fields = json.loads(line)
            self.reports[name] = fields
            if name == "listening":
                self.listening.callback(fields)
            elif self._on_report is not None:
                self._on_report(name, fields)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep what the process writes to its standard error."""
        self._errors.write(data)
        self._errors.flush()

    def processEnded(self, _reason) -> None:  # noqa: N802
        """Note that the process has ended."""
        self.has_ended = True

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        return read_cpu_s(self.transport.pid)


class EmulatedDaemon(DaemonProcess):
    """A daemon of any checkout, with the settings of the emulated site."""

    def __init__(
        self,
        number,
        host,
        store_port,
        folder,
        checkout: Path,
        site_log: EventLog,
        hold_max_ms: int,
        vm_cpu_share: float,
    ) -> None:
        self._hold_max_ms = hold_max_ms
        self._vm_cpu_share = vm_cpu_share
        self._number = number
        self._site_log = site_log
        self._clock_file = folder / f"vm{number}.clock"
        self.shift_clock(0.0)
        data_centre = f"z{number % 3}"
        super().__init__(f"vm{number}", host, store_port, folder, checkout, data_centre)

    def shift_clock(self, shift_s: float) -> None:
        """Let its time of day differ by some seconds from the host's."""
        if not self._clock_file.exists():
            self._clock_file.write_bytes(bytes(8))
        with open(self._clock_file, "r+b") as file:
            file.write(struct.pack("<d", shift_s))

    def _environment(self) -> dict[str, str]:
        return super()._environment() | {
            "PYTHONPATH": str(CLOCK_FOLDER),
            "EMULATOR_CLOCK_FILE": str(self._clock_file),
        }

    def start(self) -> None:
        """Start the process unless it is running."""
        if not self.is_running:
            self._site_log.write("daemon-start", daemon=self._number)
        super().start()

    def _settings(self, store_port: int) -> str:
        cpu_share, cores = CORES[self._number % len(CORES)]
        if self._vm_cpu_share:
            cpu_share, cores = self._vm_cpu_share, math.ceil(self._vm_cpu_share)
        return f"""{super()._settings(store_port)}
[limits]
cpu_share = {cpu_share}
cores = {cores}
[bounds]
hold_max_ms = {self._hold_max_ms}
stop_timeout_ms = 400
gang_timeout_ms = 4000
cancel_ms = 4000
grace_s = 6
status_s = 120
harm_ms = 4500
"""


class EmulatedSite:
    """The processes of an emulated site.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    options : dict
        Options of the command line.
    """

    def __init__(self, folder: Path, options: dict) -> None:
        self._folder = folder
        self._options = options
        self.log = EventLog(folder / "site.jsonl")
        self.version = 1
        # Version numbers increase in uneven steps.
        self._random = random.Random(f"versions/{options['seed']}")
        self.worker_count = options["workers"] + options["other_workers"]
        self.store: StandIn | None = None
        self.workers: list[StandIn] = []
        self.callers: list[StandIn] = []
        self.daemons: list[EmulatedDaemon] = []
        self._store_ports: list[int] = []
        # Whether the present daemon of a number is at its second address.
        self._replaced: dict[int, bool] = {}
        self.leader_member = ""
        self.leader_revision = 0
        self._configured: Deferred = Deferred()

    def _spawn(self, role: str, index: int, on_report=None, **options) -> StandIn:
        log = self._folder / f"{role}-{index}.jsonl"
        options["seed"] = self._options["seed"]
        return StandIn(f"emulator.{role}", log, options, on_report)

    @inlineCallbacks
    def start(self):
        """Start the store, the workers and the daemons."""
        options = self._options
        self.store = self._spawn(
            "store", 0, self._on_store_report, daemons=options["daemons"],
            reads_per_s=options["reads_per_s"], writes_per_s=options["writes_per_s"],
        )  # fmt: skip
        listening = yield self.store.listening
        count = options["worker_processes"]
        for number in range(count):
            process = self._spawn(
                "workers", number, beats=listening["beats"],
                numbers=list(range(number, self.worker_count, count)),
                first_other=options["workers"],
                lapse_s=[options[f"lapse_{end}_ms"] / 1000 for end in ("min", "max")],
                hold_max_ms=options["hold_max_ms"],
            )  # fmt: skip
            self.workers.append(process)
        for process in self.workers:
            yield process.listening
        if options["link_mbps"]:
            bytes_per_s = options["link_mbps"] * 1e6 / 8
            self.store.send("limit_links", bytes_per_s=bytes_per_s)
        self._store_ports = listening["ports"]
        for number in range(len(self._store_ports)):
            daemon = self._make_daemon(number, number + 2)
            self.daemons.append(daemon)
            daemon.start()
            yield deferLater(reactor, START_INTERVAL_S)

    def _make_daemon(self, number: int, host_number: int) -> EmulatedDaemon:
        # All daemons use the same metrics port, so each gets its own address.
        pid = os.getpid()
        host = f"127.{1 + pid % 200}.{pid // 200 % 250}.{host_number}"
        return EmulatedDaemon(
            number, host, self._store_ports[number], self._folder,
            self._options["checkout"], self.log, self._options["hold_max_ms"],
            self._options["vm_cpu_share"],
        )  # fmt: skip

    def replace_daemon(self, number: int) -> None:
        """Start a daemon at another address in place of one that is gone for good."""
        self._replaced[number] = not self._replaced.get(number, False)
        host_number = number + 2 + REPLACED_HOST_STEP * self._replaced[number]
        self.daemons[number].close()
        self.daemons[number] = self._make_daemon(number, host_number)
        self.daemons[number].start()
        for process in self.callers:
            process.send("move_daemon", number=number, url=self.daemons[number].url)

    def start_callers(self, duration_s: float) -> None:
        """Start to submit jobs."""
        count = self._options["caller_processes"]
        for number in range(count):
            process = self._spawn(
                "callers", number, number=number, duration_s=duration_s,
                load=self._options["load"] / count,
                long_share=self._options["long_share"],
                questions_per_s=self._options["questions_per_s"] / count,
                waiting_per_s=self._options["waiting_per_s"] / count,
                urls=[daemon.url for daemon in self.daemons],
            )  # fmt: skip
            self.callers.append(process)

    def _on_store_report(self, name: str, fields: dict) -> None:
        if name == "leader":
            self.leader_member = fields["member"]
            self.leader_revision = fields["revision"] if fields["member"] else 0
        elif name == "configured":
            configured, self._configured = self._configured, Deferred()
            configured.callback(None)
            for process in self.callers:
                process.send("know_queues", **fields)
        elif name == "invalid-configured":
            for process in self.callers:
                process.send("ask_all")

    def await_configured(self) -> Deferred:
        """Return a Deferred that fires once the next version has been written."""
        awaited: Deferred = Deferred()
        self._configured.addCallback(lambda _: awaited.callback(None))
        return awaited

    def configure(self, form: str = "", **content) -> None:
        """Write the next version; the callers learn of it from the store."""
        self._count_version()
        self.store.send("configure", version=self.version, form=form, **content)

    def write_invalid(self, form: str) -> None:
        """Write a version that must not be put into force."""
        self._count_version()
        self.store.send("write_invalid", version=self.version, form=form)

    def _count_version(self) -> None:
        self.version += self._random.randint(1, 7)

    def leader_number(self) -> int | None:
        """Return the number of the leader's daemon."""
        name = self.leader_member.partition("@")[0]
        return int(name[2:]) if name else None

    def send_workers(self, name: str, numbers: list[int], **arguments) -> None:
        """Call a method of the processes of some workers."""
        count = len(self.workers)
        for index, process in enumerate(self.workers):
            own = [number for number in numbers if number % count == index]
            if own:
                process.send(name, numbers=own, **arguments)

    def watch_processes(self) -> None:
        """Log and start again the daemons that have ended by themselves."""
        for daemon in self.daemons:
            if daemon.ended_by_itself():
                self.log.write("ended-by-itself", daemon=daemon.name)
                daemon.start()

    def stand_ins(self) -> list[StandIn]:
        """Return the processes of the emulator."""
        return [self.store, *self.workers, *self.callers]

    def usage(self) -> dict[str, float]:
        """Return the processor time of the stand-ins and of the daemons, in seconds."""
        used = {stand_in.name: stand_in.cpu_s() for stand_in in self.stand_ins()}
        running = [daemon for daemon in self.daemons if daemon.is_running]
        daemons = sorted((read_cpu_s(d.process.pid) for d in running), reverse=True)
        return used | {"daemons": sum(daemons), "busiest-daemon": daemons[0]}

    def close(self) -> None:
        """End all processes."""
        self.log.write("close")
        for daemon in self.daemons:
            daemon.close()
        for process in (self.store, *self.workers, *self.callers):
            if process is not None and process.transport.pid:
                process.signal(signal.SIGCONT)
                process.transport.closeStdin()
        self.log.flush()


class Emulation:
    """A soak of one seed."""

    def __init__(self, folder: Path, options: dict) -> None:
        self.site = EmulatedSite(folder, options)
        self._options = options
        self.faults = SiteFaults(
            self.site, options["seed"], options["faults"], options["same_id_share"],
            options["worker_cuts"], options["fault_interval_s"],
        )  # fmt: skip
        self.changes = ConfigurationChanges(
            self.site, options["seed"], options["version_interval_s"],
            options["changes"],
        )  # fmt: skip
        self.quota = CpuQuota(lambda: self.site.daemons, options["cpu_share"])
        self.usage: dict[str, float] = {}
        self.failures: list[str] = []

    @inlineCallbacks
    def run(self):
        """Run to the end."""
        duration_s = self._options["duration_s"]
        if self._options["cpu_share"]:
            self.quota.open()
        yield self.site.start()
        until_s = reactor.seconds() + START_TIMEOUT_S
        while not self.site.leader_member and reactor.seconds() < until_s:
            yield deferLater(reactor, 0.1)
        # Until all daemons have started and the leader has read the workers.
        yield deferLater(reactor, self._options["warm_up_s"])
        watching = LoopingCall(self.site.watch_processes)
        watching.start(0.2)
        self.site.start_callers(duration_s)
        self.site.log.write("begin", load=os.getloadavg()[0])
        before = self.site.usage()
        begun_s = reactor.seconds()
        changing = self.changes.run(duration_s)
        yield self.faults.run(duration_s)
        yield changing
        after = self.site.usage()
        spent_s = reactor.seconds() - begun_s
        self.usage = {
            name: (used - before.get(name, 0.0)) / spent_s
            for name, used in after.items()
        }
        self.site.log.write("faults-over", load=os.getloadavg()[0], usage=self.usage)
        yield self._await_settled()
        watching.stop()
        self.failures.extend(
            f"{stand_in.name} ended by itself: see its .err"
            for stand_in in self.site.stand_ins()
            if stand_in.has_ended
        )

    @inlineCallbacks
    def _await_settled(self):
        until_s = reactor.seconds() + SETTLE_TIMEOUT_S
        while reactor.seconds() < until_s:
            for process in self.site.callers:
                process.send("count")
            yield deferLater(reactor, 0.5)
            reported = [p.reports.get("open", {"jobs": "?"}) for p in self.site.callers]
            if not any(fields["jobs"] for fields in reported):
                return
        for process in self.site.callers:
            jobs = process.reports["open"]["jobs"]
            self.site.store.send("dump", jobs=list(jobs))
            self.failures.extend(f"OWED: {job} is {jobs[job]}" for job in jobs)


def main(
    seed: int = 1,
    duration_s: float = 45.0,
    daemons: int = 42,
    workers: int = 176,
    other_workers: int = 4,
    load: float = 1.0,
    long_share: float = 0.0,
    worker_processes: int = 4,
    caller_processes: int = 1,
    checkout: Path = ROOT,
    folder: Path | None = None,
    faults: tuple[str, ...] = (),
    changes: tuple[str, ...] = (),
    same_id_share: float = 0.5,
    worker_cuts: tuple[LinkFault, ...] = LINK_FAULTS,
    lapse_min_ms: int = 0,
    lapse_max_ms: int = 0,
    hold_max_ms: int = 6_000,
    warm_up_s: float = 4.0,
    version_interval_s: float = 1.5,
    questions_per_s: float = 100.0,
    waiting_per_s: float = WAITING_PER_S,
    link_mbps: float = 0.0,
    fault_interval_s: float = FAULT_INTERVAL_S,
    reads_per_s: float = 2_000.0,
    writes_per_s: float = 400.0,
    cpu_share: float = 0.0,
    vm_cpu_share: float = 0.0,
) -> int:
    """Run one soak; return the exit status.

    Parameters
    ----------
    seed : int
        Seed of the faults and the jobs.
    duration_s : float
        Time during which jobs are submitted and faults injected.
    daemons, workers : int
        Number of daemons and of workers.
    other_workers : int
        Number of workers of a second service, to which queues are moved.
    load : float
        Jobs a second, as a share of the full load.
    long_share : float
        Share of the short jobs whose tasks last 6 to 18 s instead.
    worker_processes, caller_processes : int
        Number of processes that serve the workers and that submit jobs.
    checkout : Path
        Checkout whose daemons run.
    folder : Path
        Folder for settings and logs; a new one under `LOG_FOLDER` by default.
    faults : tuple of str
        Faults to inject, all by default; ``-NAME`` leaves one out, ``none`` all.
    changes : tuple of str
        Kinds of changes of the configuration, all by default; ``-NAME`` leaves one out.
    same_id_share : float
        Share of the workers that return under their former id.
    worker_cuts : tuple of LinkFault
        Faults of the links of workers that are cut off and run on.
    lapse_min_ms, lapse_max_ms : int
        Least and longest time from the expiry of a lease to the end of a run.
    hold_max_ms : int
        Longest lease that a worker grants.
    warm_up_s : float
        Time from the first election to the first job.
    version_interval_s : float
        Mean time from one change of the configuration to the next; 0 for none.
    questions_per_s : float
        Counts of queues that callers ask for, at one daemon after the other.
    waiting_per_s : float
        Jobs a second that no worker can run; cancelled after a while.
    link_mbps : float
        Bandwidth of each daemon's link from the store; 0 for no limit.
    fault_interval_s : float
        Mean pause from one fault to the next; answers are judged 3 s after a fault.
    reads_per_s, writes_per_s : float
        Calls of all daemons that the store accepts per second; 0 for no limit.
    cpu_share : float
        Quota of each daemon, as a share of a core; 0 for none.
    vm_cpu_share : float
        CPU share of each VM that the daemons are told, in cores, so that each may lead
        as well as others; 0 for one strong VM in seven.
    """
    options = dict(locals())
    # Inherited by the daemons, which ignore it only once their interpreter has started.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    options["checkout"] = checkout.resolve()
    if folder is None:
        LOG_FOLDER.mkdir(parents=True, exist_ok=True)
        folder = Path(tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=LOG_FOLDER))
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    soak = Emulation(folder, options)
    running = soak.run()
    running.addErrback(lambda failure: soak.failures.append(str(failure)))
    running.addBoth(lambda _result: soak.site.close())
    running.addBoth(lambda _result: reactor.callLater(1.0, reactor.stop))
    reactor.run()
    signal.signal(signal.SIGCHLD, signal.SIG_DFL)
    result = check_logs(folder)
    failures = [*result.findings, *soak.failures]
    (folder / "findings.txt").write_text("\n".join(failures))
    for failure in failures[:FINDINGS_SHOWN_MAX]:
        print("fault: " + "\n".join(failure.split("\n")[:3]), file=sys.stderr)
    usage = " ".join(f"{name}={share:.2f}" for name, share in soak.usage.items())
    print(f"cores: {usage}")
    print(f"faults: {soak.faults.counts} quota_stops={soak.quota.stops}")
    print(f"seed={seed} broken={len(failures)} {result.summary} logs={folder}")
    return 1 if failures else 0


if __name__ == "__main__":
    cyclopts.run(main)
