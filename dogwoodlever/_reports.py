"""Reports for operators, built from the store and the peers."""

import msgspec
from twisted.internet.defer import inlineCallbacks

from dogwoodlever import _record_keys as keys
from dogwoodlever._burn import BurnRow, merge_burn_rows
from dogwoodlever._cell_assignment import cell_names
from dogwoodlever._cell_state import CellStateRecord, Task, decode_cell_state
from dogwoodlever._node import Node
from dogwoodlever._rendezvous import highest_ranked
from dogwoodlever._request_trace import RequestTrace

BURN_METHOD = "burn"
REQUEST_TRACE_METHOD = "request"
TRACE_COPIES_METHOD = "copies"
COPY_INTERVAL_S = 1.0


class JobSummary(msgspec.Struct):
    """A job and the number of its tasks by state."""

    job: str
    team: str
    cell: str
    states: dict[str, int]


class DaemonStatus(msgspec.Struct):
    """A daemon as seen by the daemon that reports."""

    member: str
    state: str
    data_centre: str
    operators: str
    configuration_current: bool


class Reports:
    """Reports for operators, and the RPCs between daemons that they need.

    Parameters
    ----------
    node : Node
        Node of the daemon that reports.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        node.rpc.register(BURN_METHOD, self._handle_burn)
        node.rpc.register(REQUEST_TRACE_METHOD, self._handle_request_trace)
        node.rpc.register(TRACE_COPIES_METHOD, self._store_trace_copies)
        node.call_every(COPY_INTERVAL_S, self._send_trace_copies)

    def _handle_burn(self, _body: bytes) -> bytes:
        site = self._node.configuration.active.site
        services = {} if site is None else site.services
        objectives = {name: service.objective for name, service in services.items()}
        rows = self._node.burn.rows(self._node.clock.seconds(), objectives)
        return msgspec.json.encode(rows)

    def _handle_request_trace(self, body: bytes) -> bytes | None:
        trace = self._node.traces.get(body.decode(errors="replace"))
        return None if trace is None else msgspec.json.encode(trace)

    def _send_trace_copies(self) -> None:
        """Send traces to one peer, so that they outlive this daemon."""
        others = self._node.membership.others()
        copies = self._node.traces.take_ended()
        peer = highest_ranked(self._node.member_id, others)
        if copies and peer is not None:
            self._node.rpc.call(peer, TRACE_COPIES_METHOD, msgspec.json.encode(copies))

    def _store_trace_copies(self, body: bytes) -> bytes:
        for trace in msgspec.json.decode(body, type=list[RequestTrace]):
            self._node.traces.add(trace)
        return b""

    def _peers(self) -> list[str]:
        return sorted(self._node.membership.others())

    @inlineCallbacks
    def burn(self):
        """Return a Deferred with the merged burn rows of all daemons that reply."""
        bodies = yield self._node.rpc.call_all(self._peers(), BURN_METHOD, b"")
        rows = []
        for body in bodies:
            rows.extend(msgspec.json.decode(body, type=list[BurnRow]))
        return merge_burn_rows(rows)

    @inlineCallbacks
    def request_trace(self, request_id: str):
        """Return a Deferred that fires with a request trace as JSON, or None."""
        bodies = yield self._node.rpc.call_all(
            self._peers(), REQUEST_TRACE_METHOD, request_id.encode()
        )
        return bodies[0] if bodies else None

    @inlineCallbacks
    def task_history(self, task_id: str):
        """Return a Deferred that fires with a task history as JSON, or None."""
        job_id = task_id.partition("/")[0]
        archived = yield self._node.follower.read(keys.archive_key(job_id))
        if archived is not None:
            tasks = msgspec.json.decode(archived.value, type=list[Task])
            return next(
                (_task_document(t) for t in tasks if t.task_id == task_id), None
            )
        cell_states = yield self._cell_states()
        for cell_state in cell_states.values():
            if task_id in cell_state.tasks:
                return _task_document(cell_state.tasks[task_id])
        return None

    @inlineCallbacks
    def _cell_states(self):
        """Return a Deferred that fires with the states of all cells."""
        site = self._node.configuration.active.site
        cell_states: dict[str, CellStateRecord] = {}
        for cell in cell_names(site) if site else ():
            entry = yield self._node.follower.read(keys.cell_state_key(cell))
            if entry is not None:
                cell_states[cell] = decode_cell_state(entry.value)
        return cell_states

    @inlineCallbacks
    def jobs(self):
        """Return a Deferred that fires with summaries of the unarchived jobs."""
        cell_states = yield self._cell_states()
        summaries = []
        for cell, cell_state in sorted(cell_states.items()):
            for job_id, job in sorted(cell_state.jobs.items()):
                states: dict[str, int] = {}
                for task in cell_state.job_tasks(job_id):
                    states[task.state] = states.get(task.state, 0) + 1
                summaries.append(JobSummary(job_id, job.team, cell, states))
        return summaries

    @inlineCallbacks
    def has_job(self, job_id: str, cell: str):
        """Return a Deferred that fires with whether a job exists or is archived."""
        archived = yield self._node.follower.read(keys.archive_key(job_id))
        if archived is not None:
            return True
        entry = yield self._node.follower.read(keys.cell_state_key(cell))
        return entry is not None and job_id in decode_cell_state(entry.value).jobs

    @inlineCallbacks
    def archived_job(self, job_id: str):
        """Return a Deferred that fires with an archived job's summary, or None."""
        entry = yield self._node.follower.read(keys.archive_key(job_id))
        if entry is None:
            return None
        states: dict[str, int] = {}
        for task in msgspec.json.decode(entry.value, type=list[Task]):
            states[task.state] = states.get(task.state, 0) + 1
        return JobSummary(job_id, "", "archive", states)

    def daemons(self) -> list[DaemonStatus]:
        """Return the daemons and whether each has the latest configuration."""
        node = self._node
        newest = node.follower.version(keys.CONFIGURATION)
        versions = dict(node.membership.configuration_versions)
        versions[node.member_id] = newest
        return [
            DaemonStatus(
                member,
                entry.state,
                entry.data_centre,
                f"{entry.host}:{entry.operators_port}",
                versions.get(member, 0) >= newest,
            )
            for member, entry in sorted(node.membership.record.members.items())
        ]


def _task_document(task: Task) -> bytes:
    document = {
        "task": task.task_id,
        "state": task.state,
        "attempt": task.attempt,
        "worker": task.worker,
        "checkpoint_s": task.checkpoint_s,
        "history": [
            {
                "at_s": entry.at_s,
                "event": entry.event,
                "attempt": entry.attempt,
                "worker": entry.worker,
                "reason": entry.reason,
            }
            for entry in task.history
        ],
    }
    return msgspec.json.encode(document)
