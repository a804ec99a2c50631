"""Fake worker that runs tasks under a lease, at times that the caller passes."""

from dataclasses import dataclass

from dogwoodlever.platform_clients import (
    EndedAttempt,
    RunningAttempt,
    RunOrder,
    SyncRequest,
    WorkerReport,
)


@dataclass(slots=True)
class Run:
    """One attempt on the worker, kept as a record after its end.

    Attributes
    ----------
    initial_progress_s, progress_s : float
        Progress at its start and now, in seconds of work.
    end_lost : bool
        Whether the worker lost power before its end was acknowledged.
    """

    order: RunOrder
    progress_s: float
    initial_progress_s: float
    started_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""
    end_lost: bool = False


class WorkerMachine:
    """Cores, attempts and lease of a worker.

    Parameters
    ----------
    name : str
        Name of the worker.
    cores : float
        Capacity for batch tasks.
    speed : float, default=1.0
        Seconds of work done per second; above 1 to shorten demos.
    """

    def __init__(self, name: str, cores: float, speed: float = 1.0) -> None:
        self.name = name
        self.cores = cores
        self.speed = speed
        self.boots = 1
        self.off = False
        self.off_s = 0.0
        self.fails_all = False
        self.records: list[Run] = []
        self._runs: dict[tuple[str, int], Run] = {}
        self._ended: dict[tuple[str, int], EndedAttempt] = {}
        self._latest_request = (0, 0)
        self._now_s = 0.0
        self._lease_until_s = 0.0
        self._start_until_s = 0.0
        self._throttles: dict[str, float] = {}

    def power_off(self, now_s: float) -> None:
        """Power off; all attempts and unacknowledged ends are lost."""
        self.advance(now_s)
        for run in self._runs.values():
            run.ended_s, run.outcome = now_s, "powered off"
        for record in self.records:
            if (record.order.task_id, record.order.attempt) in self._ended:
                record.end_lost = True
        self._runs.clear()
        self._ended.clear()
        self.off = True
        self.off_s = now_s

    def power_on(self, now_s: float) -> None:
        """Boot with a new boot id and no state."""
        self.off = False
        self.boots += 1
        self._latest_request = (0, 0)
        self._now_s = now_s

    def used_cores(self) -> float:
        """Return the planned cores of the started attempts."""
        return sum(
            r.order.planned_cores
            for r in self._runs.values()
            if r.started_s is not None
        )

    def advance(self, now_s: float) -> None:
        """Advance attempts to `now_s`, and stop them when the lease expires."""
        if self.off:
            return
        end_s = min(now_s, max(self._now_s, self._lease_until_s))
        elapsed_s = max(0.0, end_s - self._now_s)
        for key, run in list(self._runs.items()):
            if run.started_s is None:
                continue
            throttle = self._throttles.get(run.order.task_class, 1.0)
            run.progress_s += elapsed_s * self.speed * throttle
            if run.progress_s >= run.order.run_s:
                self._end(key, "finished", end_s, run.order.run_s)
        if now_s >= self._lease_until_s:
            for key in list(self._runs):
                self._stop(key, True, min(end_s, now_s), "lease lapsed")
        self._now_s = now_s

    def _end(
        self, key, outcome: str, at_s: float, kept_s: float, reason: str = ""
    ) -> None:
        run = self._runs.pop(key)
        run.ended_s = at_s
        run.outcome = outcome
        ran_s = 0.0 if run.started_s is None else at_s - run.started_s
        self._ended[key] = EndedAttempt(
            *key, outcome, kept_s, ran_s, run.order.cores, reason
        )

    def _stop(self, key, checkpoint: bool, at_s: float, reason: str) -> None:
        run = self._runs[key]
        kept_s = run.progress_s if checkpoint else run.initial_progress_s
        self._end(key, "stopped", at_s, kept_s, reason)

    def sync(self, request: SyncRequest, now_s: float) -> WorkerReport:
        """Apply a sync request, unless it is stale, and return a report."""
        self.advance(now_s)
        request_number = (request.epoch, request.sequence)
        if request_number > self._latest_request:
            self._latest_request = request_number
            if request.boot_id == self.boot_id():
                self._apply(request, now_s)
        return self._report(now_s)

    def boot_id(self) -> str:
        """Return the id of the current boot."""
        return f"{self.name}-{self.boots}"

    def _apply(self, request: SyncRequest, now_s: float) -> None:
        self._lease_until_s = max(self._lease_until_s, request.lease_until_s)
        self._start_until_s = request.start_until_s
        self._throttles = request.throttles
        for attempt in request.forget:
            self._ended.pop((attempt.task_id, attempt.attempt), None)
        for order in request.stop:
            key = (order.task_id, order.attempt)
            if key in self._runs:
                self._stop(key, order.checkpoint, now_s, "told to stop")
            elif key not in self._ended:
                self._ended[key] = EndedAttempt(*key, "stopped", 0.0, 0.0, 0.0)
        for order in request.run:
            key = (order.task_id, order.attempt)
            if key not in self._runs and key not in self._ended:
                self._runs[key] = Run(order, order.checkpoint_s, order.checkpoint_s)
        self._start_waiting(now_s)

    def _start_waiting(self, now_s: float) -> None:
        if now_s >= min(self._start_until_s, self._lease_until_s):
            return
        for key, run in list(self._runs.items()):
            if run.started_s is not None:
                continue
            if self.used_cores() + run.order.planned_cores > self.cores + 1e-6:
                continue
            run.started_s = now_s
            self.records.append(run)
            if self.fails_all:
                self._end(
                    key, "failed", now_s, run.initial_progress_s, "worker fails all"
                )

    def _report(self, now_s: float) -> WorkerReport:
        running = tuple(
            RunningAttempt(
                *key,
                run.started_s is not None,
                run.progress_s,
                run.order.cores,
            )
            for key, run in self._runs.items()
        )
        return WorkerReport(
            self.name, self.boot_id(), now_s, running, tuple(self._ended.values())
        )
