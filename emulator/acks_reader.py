"""Reads from the logs of an emulation what `AcksCheck` judges."""

from collections import defaultdict
from collections.abc import Iterable

from standins.acks_check import AcksCheck, Scope
from standins.changing_queues import SERVICE
from standins.configuration_check import APPLY_S
from standins.faulty_proxy import LinkFault
from standins.queue_places import queue_at

# A stand-in that is late by less disturbs nothing.
LAG_MIN_S = 0.1
# Faults that disturb, and what ends them, by what their rows name.
STORE_FAULTS = {
    "store-down": "store-down-over",
    "store-slow": "store-slow-over",
    "store-lost": "store-lost-over",
    "store-deaf": "store-deaf-over",
}
LINK_FAULTS = {"cut-store": "cut-store-over"}
PROCESS_FAULTS = {"freeze": "thaw", "clock-step": "clock-step-over"}
WORKER_FAULTS = {"cut-workers": "cut-workers-over", "disturb": "disturb-over"}
WORKERS_PROCESS_FAULTS = {"pause-workers": "resume-workers", "shun": "shun-over"}
# A daemon's process from this fault on is followed by another one.
PROCESS_ENDS = ("kill", "terminate")
# Runs fail, but calls work.
HARMLESS_DISTURBANCE = "fails"


class AcksReader:
    """Passes rows of logs, in the order of their times, to a judge.

    Attributes
    ----------
    check : AcksCheck
        The judge.
    until_s : float
        When the daemons were ended after the run, or the time of the last row.
    """

    def __init__(self) -> None:
        self.check = AcksCheck()
        self.until_s = 0.0
        self._has_closed = False
        self._services: dict[str, str] = {}
        self._kinds: dict[str, str] = {}
        # Machines of each process of workers.
        self._machines: dict[str, set[str]] = defaultdict(set)
        # When each version was written, and the queues that it has.
        self._versions: list[tuple[float, set[str]]] = []

    def read(self, rows: Iterable[tuple[float, str, dict, str]]) -> None:
        """Read all rows."""
        for time_s, event, fields, process in rows:
            if not self._has_closed:
                self.until_s = time_s
            if event in ("up", "end", "ack", "lapse", "down"):
                self._read_worker(time_s, event, fields, process)
            elif event in ("submit", "cancel", "cancelled"):
                self._read_caller(time_s, event, fields)
            elif event == "configuration":
                queues = {queue_at(place) for place in fields["queues"]}
                self._versions.append((time_s, queues))
            elif event == "daemon-start":
                self._read_start(time_s, f"vm{fields['daemon']}")
            elif event == "fault":
                self._read_fault(time_s, fields)
            elif event == "silenced":
                self.check.add_disturbance(Scope.LINK, time_s, time_s)
            elif event == "lag" and fields["late_s"] > LAG_MIN_S:
                self._read_lag(time_s - fields["late_s"], time_s, process)
            elif event == "close":
                self._has_closed = True
        self._add_absent_queues()

    def _read_worker(
        self, time_s: float, event: str, fields: dict, process: str
    ) -> None:
        worker = fields["worker"]
        machine = worker.partition("-")[0]
        incarnation = f"{worker}/{fields['born']}"
        if event == "up":
            self._services[worker] = fields.get("service", SERVICE)
            self._machines[process].add(machine)
        elif event == "end":
            pool = self._services.get(worker, SERVICE)
            self.check.list_end(machine, incarnation, fields["number"], time_s, pool)
        elif event == "ack":
            self.check.acknowledge(machine, incarnation, fields["number"], time_s)
        else:
            self.check.lose(machine, incarnation, time_s)

    def _read_caller(self, time_s: float, event: str, fields: dict) -> None:
        job = fields["job"]
        if event == "submit":
            self._kinds[job] = queue_at(fields.get("kind", ""))
        elif event == "cancel":
            self.check.send_cancel(job, self._kinds[job], time_s)
        else:
            self.check.answer_cancel(job, time_s)

    def _read_start(self, time_s: float, daemon: str) -> None:
        for cause in PROCESS_ENDS:
            self.check.end_disturbance(Scope.PROCESS, cause, time_s, daemon)
        self.check.add_disturbance(Scope.PROCESS, time_s, time_s, daemon)

    def _read_lag(self, begun_s: float, time_s: float, process: str) -> None:
        role = process.partition("-")[0]
        if role == "store":
            self.check.add_disturbance(Scope.STORE, begun_s, time_s)
        elif role == "callers":
            self.check.add_disturbance(Scope.CALLERS, begun_s, time_s)
        for machine in self._machines[process]:
            self.check.add_disturbance(Scope.WORKER, begun_s, time_s, machine)

    # Faults

    def _read_fault(self, time_s: float, fields: dict) -> None:
        fault = fields["fault"]
        daemons = [f"vm{number}" for number in fields.get("daemons", ())]
        if fault in PROCESS_ENDS:
            for daemon in daemons:
                self.check.begin_disturbance(Scope.PROCESS, fault, time_s, daemon)
        elif fault == "remove-leader-record":
            self.check.add_disturbance(Scope.PROCESS, time_s, time_s)
        self._read_span(time_s, fields, Scope.STORE, STORE_FAULTS, [""])
        self._read_span(time_s, fields, Scope.LINK, LINK_FAULTS, daemons)
        self._read_span(time_s, fields, Scope.PROCESS, PROCESS_FAULTS, daemons)
        machines = self._find_machines(fields)
        if fields.get("how") != HARMLESS_DISTURBANCE:
            faults = WORKER_FAULTS | WORKERS_PROCESS_FAULTS
            self._read_span(time_s, fields, Scope.WORKER, faults, machines)

    def _find_machines(self, fields: dict) -> list[str]:
        """Return the machines of a fault, which names them or their processes."""
        if fields["fault"] in (*WORKER_FAULTS, *WORKER_FAULTS.values()):
            return [f"w{number:03d}" for number in fields["workers"]]
        return [
            machine
            for number in fields.get("processes", ())
            for machine in sorted(self._machines[f"workers-{number}"])
        ]

    def _read_span(
        self,
        time_s: float,
        fields: dict,
        scope: Scope,
        faults: dict[str, str],
        names: list[str],
    ) -> None:
        """Read the begin or the end of a fault of a scope.

        Connections that fall silent are disturbed once: later ones work.
        """
        for begin, end in faults.items():
            # Several disturbances, and leaders that are cut off, overlap.
            is_named = begin == "disturb"
            detail = fields.get("how" if is_named else "revision", "")
            cause = f"{begin} {detail}"
            for name in names:
                if fields["fault"] == end:
                    self.check.end_disturbance(scope, cause, time_s, name)
                elif fields["fault"] != begin:
                    continue
                elif fields.get("how") == LinkFault.OPEN_SILENT:
                    self.check.add_disturbance(scope, time_s, time_s, name)
                else:
                    self.check.begin_disturbance(scope, cause, time_s, name)

    def _add_absent_queues(self) -> None:
        """Add when queues of jobs are in no version, or are applied again."""
        for queue in sorted(set(self._kinds.values())):
            for index, (written_s, queues) in enumerate(self._versions):
                if queue not in queues:
                    following = self._versions[index + 1 : index + 2]
                    ended_s = following[0][0] if following else float("inf")
                    self.check.add_disturbance(
                        Scope.QUEUE, written_s, ended_s + APPLY_S, queue
                    )
