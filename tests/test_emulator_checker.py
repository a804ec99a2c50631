"""Tests of the checker of the emulator: which logs show a task that ran twice."""

import json
import tempfile
import unittest
from pathlib import Path

from emulator.checker import check_logs

TASK = "00000000000000aa.0.0.0"


def start(time_s, worker, run, born=1):
    """Return the row of a start."""
    fields = {"task": TASK, "run": run, "token": 5_000_001, "late": False}
    return [time_s, "start", {"worker": worker, "born": born, **fields}]


def end(time_s, worker, run, outcome="done", number=1):
    """Return the row of an end."""
    fields = {"task": TASK, "run": run, "outcome": outcome, "number": number}
    return [time_s, "end", {"worker": worker, "born": 1, **fields}]


def event(time_s, name, worker, **fields):
    """Return the row of an event of a worker's incarnation."""
    return [time_s, name, {"worker": worker, "born": 1, **fields}]


def submit(copies=(), count=1):
    """Return the row of the submission of the task's job."""
    fields = {"job": TASK[:16], "counts": [count], "copies": list(copies)}
    return [0.0, "submit", fields]


def cut(time_s, sent_s):
    """Return the row of a request that got no response."""
    return [time_s, "cut", {"daemon": 3, "path": "/price/", "sent_s": sent_s}]


def fault(time_s, name, **fields):
    """Return the row of a fault of the daemon to which the requests are sent."""
    return [time_s, "fault", {"fault": name, "daemons": [3], **fields}]


def over(begun_s, ended_s, name, **fields):
    """Return the rows of a fault that begins and ends."""
    return fault(begun_s, name, **fields), fault(ended_s, f"{name}-over", **fields)


def versions(*rows):
    """Return the rows of the store's writes: time, version and its queues."""
    return tuple(
        [time_s, "configuration", {"version": version, "queues": list(queues)}]
        for time_s, version, queues in rows
    )


def answer(time_s, queue, status):
    """Return the row of an answer to a request that was sent 0.01 s before."""
    fields = {"daemon": 3, "queue": queue, "status": status, "sent_s": time_s - 0.01}
    return [time_s, "answer", fields]


def no_response(time_s, queue):
    """Return the row of a request that got no response for 3 s."""
    fields = {"daemon": 3, "queue": queue, "status": 0, "sent_s": time_s - 3.0}
    return [time_s, "answer", fields]


def by_deadline(time_s, queue, status, deadline_ms):
    """Return the row of an answer to a request that named a deadline."""
    time_s, event, fields = answer(time_s, queue, status)
    return [time_s, event, fields | {"deadline_ms": deadline_ms}]


def limited(time_s, limit, size, status):
    """Return the row of an answer to a request whose size is near a limit."""
    fields = {"daemon": 3, "queue": "price", "status": status, "limit": limit}
    fields |= {"size": size, "sent_s": time_s - 0.01}
    return [time_s, "answer", fields]


def limits(time_s, version, **values):
    """Return the row of a version with limits."""
    fields = {"version": version, "queues": ["price"], "limits": values}
    return [time_s, "configuration", fields]


def moved(time_s, version, service, queues=("price", "extra.2")):
    """Return the row of a version that sends the queue `extra` to a service."""
    services = {"extra": service} if service != "desk" else {}
    fields = {"version": version, "queues": list(queues), "services": services}
    return [time_s, "configuration", fields]


def start_on(time_s, worker, late=False):
    """Return the row of a start of a task of the job that was submitted to `extra`."""
    fields = {"task": TASK, "run": 1, "token": 5_000_001, "late": late}
    return [time_s, "start", {"worker": worker, "born": 1, **fields}]


# The two limits, and their change to lower ones.
LIMITS = (
    [0.0, "daemon-start", {"daemon": 3}],
    limits(1.0, 1, max_body_bytes=900, max_header_bytes=500),
    limits(10.0, 2, max_body_bytes=700, max_header_bytes=300),
)
# The queue `extra` is moved from one service to another, at which the second worker is.
MOVED = (
    [0.0, "daemon-start", {"daemon": 3}],
    [0.1, "leader", {"revision": 5, "member": "vm3@1"}],
    [0.2, "up", {"worker": "w001-1", "born": 1, "service": "desk"}],
    [0.2, "up", {"worker": "w002-1", "born": 1, "service": "floor"}],
    moved(1.0, 1, "desk"), moved(10.0, 2, "floor"),
    [9.0, "submit", {"job": TASK[:16], "kind": "extra.1", "counts": [1], "copies": []}],
)  # fmt: skip
# A queue is added to the configuration.
ADDED = (
    [0.0, "daemon-start", {"daemon": 3}], *versions((1.0, 1, ("price",))),
    *versions((10.0, 2, ("price", "extra"))),
)  # fmt: skip
# Three ends from 10.0 s to 10.2 s, which are not acknowledged.
LISTED = (
    event(1.0, "up", "w001-1", service="desk"),
    *(
        row for run in (1, 2, 3) for row in (
            start(9.89 + run / 10, "w001-1", run),
            end(9.9 + run / 10, "w001-1", run, "failed", run),
        )
    ),
    [15.0, "close", {}], event(90.0, "lapse", "w001-1"),
)  # fmt: skip
# Three cancels of accepted jobs, which are not answered.
CANCELLED = tuple(
    row for job in "abc" for row in (
        [9.0, "submit", {"job": job, "kind": "price", "counts": [1], "copies": []}],
        [10.0, "cancel", {"job": job}],
    )
) + ([15.0, "close", {}],)  # fmt: skip
LATE = answer(12.5, "extra", 404)
FAILED = [9.0, "state", {"job": TASK[:16], "state": "failed"}]
FIRST = start(1.0, "w001-1", 1)
# Two runs of one task that overlap for a second.
OVERLAP = (FIRST, start(2.0, "w002-1", 2), end(3.0, "w001-1", 1))
# A start after the end of a run that was done.
AGAIN = (FIRST, end(2.0, "w001-1", 1), start(3.0, "w002-1", 2))
ACKNOWLEDGED = event(4.0, "ack", "w001-1", number=1)


class EmulatedCheckerTest(unittest.TestCase):
    def check(self, rows):
        with tempfile.TemporaryDirectory() as folder:
            # A row may be of another process than that of the workers.
            for process in ("workers-0", "store-0", "callers-0"):
                own = [row for row in rows if (*row, "workers-0")[3] == process]
                lines = "\n".join(json.dumps(row[:3]) for row in own)
                # The last line of a process that was ended may be incomplete.
                Path(folder, f"{process}.jsonl").write_text(lines + '\n[9.0, "sta')
            return check_logs(Path(folder)).findings

    def test_findings(self):
        cases = (
            ("one run after a failed one", 0, (
                FIRST, end(2.0, "w001-1", 1, "failed"), ACKNOWLEDGED,
                start(3.0, "w002-1", 2),
            )),
            ("two runs at one time", 1, (submit(), *OVERLAP)),
            ("the first run has no end", 1, (submit(), *OVERLAP[:2])),
            ("the worker of the first run has crashed", 0, (
                FIRST, event(1.5, "down", "w001-1"), start(2.0, "w002-1", 2),
            )),
            ("the same run at the next incarnation", 0, (
                FIRST, event(1.5, "down", "w001-1"), start(2.0, "w001-1", 1, born=2),
            )),
            ("two runs of a step with copies", 0, (submit(copies=[0]), *OVERLAP)),
            ("an end that is never acknowledged", 0, AGAIN),
            ("an end that is acknowledged later", 1, (*AGAIN, ACKNOWLEDGED)),
            ("an end that is acknowledged after a lapse", 0, (
                *AGAIN, event(3.5, "lapse", "w001-1"), ACKNOWLEDGED,
            )),
            ("a lapse before the end", 1, (
                *AGAIN, event(1.5, "lapse", "w001-1"), ACKNOWLEDGED,
            )),
            ("completed with all tasks done", 0, (
                submit(), *AGAIN[:2],
                [5.0, "state", {"job": TASK[:16], "state": "completed"}],
            )),
            ("completed without a task", 1, (
                submit(count=2), *AGAIN[:2],
                [5.0, "state", {"job": TASK[:16], "state": "completed"}],
            )),
            ("an added queue that is refused in time", 0, (
                *ADDED, answer(11.9, "extra", 404),
            )),
            ("an added queue that is refused too late", 1, (*ADDED, LATE)),
            ("too late, as open connections to the store fall silent", 1, (
                *ADDED, fault(9.9, "cut-store", how="open-silent"), LATE,
            )),
            ("too late, cut off from the store", 0, (
                *ADDED, fault(9.9, "cut-store", how="silent"), LATE,
            )),
            ("too late, while the store is slow", 0, (
                *ADDED, [9.9, "fault", {"fault": "store-slow"}], LATE,
            )),
            ("too late, after a start", 0, (
                *ADDED, [10.5, "daemon-start", {"daemon": 3}], LATE,
            )),
            ("back after a start", 0, (
                *ADDED, answer(10.5, "extra", 200), fault(10.6, "kill"),
                [11.0, "daemon-start", {"daemon": 3}], answer(11.5, "extra", 404),
            )),
            ("back without a start", 1, (
                *ADDED, answer(10.5, "extra", 200), answer(11.5, "extra", 404),
            )),
            ("failed with an attempt left", 1, (
                submit(), FIRST, end(2.0, "w001-1", 1, "failed"), ACKNOWLEDGED, FAILED,
            )),
            ("failed with no attempt left", 0, (
                submit(), *(
                    row for run in (1, 2, 3) for row in (
                        start(run, "w001-1", run),
                        end(run + 0.5, "w001-1", run, "failed", run),
                    )
                ), event(4.0, "ack", "w001-1", number=3), FAILED,
            )),
            ("a request cut by a stop", 1, (fault(1.0, "terminate"), cut(5.8, 5.5))),
            ("a request that crossed the end of its connection", 0, (
                fault(1.0, "terminate"), cut(5.8, 5.7),
            )),
            ("a request cut by a stop, as far as a late caller knows", 0, (
                fault(1.0, "terminate"), [5.75, "lag", {"late_s": 0.2}], cut(5.8, 5.5),
            )),
            ("a request cut without a stop", 0, (fault(1.0, "hup"), cut(5.8, 5.5))),
            ("a request cut long after a stop", 0, (
                fault(1.0, "terminate"), cut(8.0, 7.0),
            )),
            ("a request cut by a kill during a stop", 0, (
                fault(1.0, "terminate"), fault(5.0, "kill"), cut(5.8, 5.5),
            )),
        )  # fmt: skip
        self.check_table(cases)

    # Guards against an emulation that cannot show that a queue in force is not served.
    def test_findings_of_failures(self):
        served = "SERVED"
        cases = (
            ("503 in force", served, (*ADDED, answer(12.5, "extra", 503))),
            ("503 within 2 s", None, (*ADDED, answer(11.9, "extra", 503))),
            ("503 while it is cut off", None, (
                *ADDED, fault(9.9, "cut-store", how="silent"),
                answer(12.5, "extra", 503),
            )),
            ("503 while another is killed", served, (
                *ADDED, [11.0, "fault", {"fault": "kill", "daemons": [4]}],
                answer(12.5, "extra", 503),
            )),
            ("no response", served, (*ADDED, no_response(16.0, "extra"))),
            ("no response to a late caller", None, (
                *ADDED, no_response(16.0, "extra"), [16.05, "lag", {"late_s": 0.2}],
            )),
            ("503 for a queue of no version for over 5 s", served, (
                *ADDED, answer(12.5, "never", 503), answer(17.52, "never", 503),
            )),
            ("503 for a queue of no version for under 5 s", None, (
                *ADDED, answer(12.5, "never", 503), answer(17.48, "never", 503),
            )),
            ("connections refused for over 3 s", served, (
                *ADDED, answer(12.5, "price", -1), answer(15.52, "price", -1),
            )),
            ("connections refused for under 3 s", None, (
                *ADDED, answer(12.5, "price", -1), answer(15.48, "price", -1),
            )),
            ("connections refused until 6 s after a start", None, (
                *ADDED, [12.4, "daemon-start", {"daemon": 3}],
                *(answer(13.0 + n, "price", -1) for n in range(6)),
            )),
            ("503 by a deadline of 1.5 s", served, (
                *ADDED, by_deadline(12.5, "extra", 503, 1_500),
            )),
            ("503 by an earlier deadline", None, (
                *ADDED, by_deadline(12.5, "extra", 503, 1_499),
            )),
            ("404 by an earlier deadline", "CONFIG", (
                *ADDED, by_deadline(12.5, "extra", 404, 1_000),
            )),
            ("not sent", None, (*ADDED, answer(12.5, "extra", -1))),
        )  # fmt: skip
        self.check_rules(cases)

    # Guards against an invalid version in force that only a question while it stands
    # shows.
    def test_findings_while_an_invalid_version_stands(self):
        form = [10.0, "invalid-configuration", {"version": 9, "form": "name is empty"}]
        for name, rule, row in (
            ("its queue served", "CONFIG", answer(10.5, "invalid", 200)),
            ("its queue refused", None, answer(10.5, "invalid", 404)),
            ("a usual queue refused", "CONFIG", answer(10.5, "price", 404)),
            ("a usual queue served", None, answer(10.5, "price", 200)),
        ):
            self.check_rules([(name, rule, (*ADDED[:2], form, row))])

    # Guards against numbers of pending jobs that nobody reads: one that is always 0.
    def test_findings_of_pending_jobs(self):
        def accepted(*times_s, queue="price"):
            return [
                row
                for number, at_s in enumerate(times_s)
                for row in (
                    [at_s - 0.1, "submit", {
                        "job": f"{number:016x}", "kind": queue, "counts": [1],
                        "copies": [],
                    }],
                    [at_s, "submitted", {"job": f"{number:016x}", "status": 200}],
                )
            ]  # fmt: skip

        def counted(time_s, pending, queue="price"):
            row = answer(time_s, queue, 200)
            row[2]["pending"] = pending
            return row

        three = accepted(11.0, 11.2, 11.4)
        begun = {"run": 1, "token": 5_000_001, "late": False, "worker": "w001-1"}
        begun |= {"task": f"{0:016x}.0.0.0", "born": 1}
        moved_rows = accepted(11.0, queue="extra.2")
        for name, rule, rows in (
            ("under half", "MIXED", (*three, counted(17.0, 1))),
            ("over half", None, (*three, counted(17.0, 2))),
            ("half", None, (*accepted(11.0, 11.2), counted(17.0, 1))),
            ("none of one", "MIXED", (*accepted(11.0), counted(16.02, 0))),
            ("none of one within 5 s", None, (*accepted(11.0), counted(16.0, 0))),
            ("none of one at another place", "MIXED", (
                *moved_rows, counted(17.0, 0, "extra"),
            )),
            ("of another queue", None, (*three, counted(17.0, 0, "extra"))),
            ("not accepted", None, (
                three[0], [11.0, "submitted", {"job": f"{0:016x}", "status": 503}],
                counted(17.0, 0),
            )),
            ("begun", None, (
                *accepted(11.0), [16.9, "start", begun], counted(17.0, 0),
            )),
            ("begun afterwards", "MIXED", (
                *accepted(11.0), counted(17.0, 0), [17.1, "start", begun],
            )),
            ("cancelled", None, (
                *accepted(11.0), [16.9, "cancel", {"job": f"{0:016x}"}],
                counted(17.0, 0),
            )),
            ("cancelled afterwards", "MIXED", (
                *accepted(11.0), counted(17.0, 0),
                [17.1, "cancel", {"job": f"{0:016x}"}],
            )),
            ("ended", None, (
                *accepted(11.0),
                [16.9, "state", {"job": f"{0:016x}", "state": "cancelled"}],
                counted(17.0, 0),
            )),
            ("cut off", None, (
                *three, fault(13.9, "cut-store", how="silent"), counted(17.0, 0),
            )),
            ("another is cut off", "MIXED", (
                *three, [13.9, "fault", {"fault": "cut-store", "daemons": [4]}],
                counted(17.0, 0),
            )),
        ):  # fmt: skip
            self.check_rules([(name, rule, (*ADDED, *rows))])

    # Guards against limits of a version that are in force nowhere.
    def test_findings_of_limits(self):
        body, header, rule = "max_body_bytes", "max_header_bytes", "LIMITS"
        cases = (
            ("above, refused", None, limited(12.5, body, 701, 413)),
            ("above, served", rule, limited(12.5, body, 701, 200)),
            ("above, another status", rule, limited(12.5, body, 701, 400)),
            ("above the former one within 2 s", rule, limited(11.9, body, 901, 200)),
            ("between the two within 2 s", None, limited(11.9, body, 800, 200)),
            ("between the two after 2 s", rule, limited(12.1, body, 800, 200)),
            ("below, served", None, limited(12.5, body, 699, 200)),
            ("below, refused", rule, limited(12.5, body, 699, 413)),
            ("below, not served", rule, limited(12.5, body, 699, 503)),
            ("header above, refused", None, limited(12.5, header, 301, 431)),
            ("header above, served", rule, limited(12.5, header, 301, 200)),
            ("header above, refused as a body", rule, limited(12.5, header, 301, 413)),
            ("header below, refused", rule, limited(12.5, header, 299, 431)),
        )
        self.check_rules([(name, rule, (*LIMITS, row)) for name, rule, row in cases])
        cut = fault(9.9, "cut-store", how="silent")
        row = limited(12.5, body, 701, 200)
        self.check_rules([("cut off", None, (*LIMITS, cut, row))])
        no_limits = limits(10.0, 2)
        cases = (
            ("no limits", None, row),
            ("the default limit, refused", None, limited(12.5, body, 1_000_001, 413)),
            ("the default limit, served", rule, limited(12.5, body, 1_000_001, 200)),
            ("below the default limit", rule, limited(12.5, header, 16_383, 431)),
        )
        self.check_rules(
            [(name, rule, (*LIMITS[:2], no_limits, row)) for name, rule, row in cases]
        )

    # Guards against tasks that are started on a service that their queue has left.
    def test_findings_of_services(self):
        dropped = moved(10.5, 3, "floor", queues=("price",))
        cases = (
            ("former service within 2.25 s", None, (start_on(12.2, "w001-1"),)),
            ("former service after 2.25 s", "ROUTE", (start_on(12.3, "w001-1"),)),
            ("new service", None, (start_on(12.3, "w002-1"),)),
            ("new service at once", None, (start_on(10.1, "w002-1"),)),
            ("new service too soon", "ROUTE", (start_on(9.9, "w002-1"),)),
            ("a late order", None, (start_on(12.3, "w001-1", late=True),)),
            ("a worker that is late", None, (
                [12.0, "lag", {"late_s": 0.5}], start_on(12.3, "w001-1"),
            )),
            ("leader cut off", None, (
                fault(9.9, "cut-store", how="silent"), start_on(12.3, "w001-1"),
            )),
            ("queue dropped", None, (dropped, start_on(13.3, "w001-1"))),
        )  # fmt: skip
        self.check_rules([(name, rule, (*MOVED, *rows)) for name, rule, rows in cases])

    # Guards against a leader that starts runs by a version which it does not answer by.
    def test_findings_of_starts_that_show_a_version(self):
        leader = [0.1, "leader", {"revision": 5, "member": "vm3@1"}]
        submitted = {"job": TASK[:16], "kind": "extra", "counts": [1], "copies": []}
        shown = (*ADDED, leader, [10.05, "submit", submitted])
        begun = (*shown, start_on(10.2, "w001-1"))
        sent_soon, sent_late = answer(10.45, "extra", 404), answer(10.47, "extra", 404)
        left = (*MOVED[:4], moved(1.0, 1, "desk", ("price", "extra.2", "gone")))
        left += (moved(10.0, 2, "floor"),)
        left += ([9.0, "submit", submitted | {"kind": "extra.2"}],)
        cases = (
            ("404 within 0.25 s", None, (*begun, sent_soon)),
            ("404 after 0.25 s", "CONFIG", (*begun, sent_late)),
            ("404 after 0.25 s, cut off", "CONFIG", (
                *begun, fault(9.9, "cut-store", how="silent"), sent_late,
            )),
            ("404 within 2 s, frozen before", None, (
                *begun, fault(9.9, "freeze"), fault(10.1, "thaw"), sent_late,
            )),
            ("404 at another daemon", None, (
                *ADDED, [0.1, "leader", {"revision": 5, "member": "vm4@1"}],
                *begun[len(ADDED) + 1:], sent_late,
            )),
            ("a late order", None, (
                *shown, start_on(10.2, "w001-1", late=True), sent_late,
            )),
            ("a start of the process before", None, (
                *begun, [10.3, "daemon-start", {"daemon": 3}], sent_late,
            )),
            ("an order of the process before", None, (
                *shown, [10.1, "daemon-start", {"daemon": 3}],
                start_on(10.2, "w001-1"), sent_late,
            )),
            ("a job of a usual queue", None, (
                *shown[:-1], [10.05, "submit", submitted | {"kind": "price"}],
                start_on(10.2, "w001-1"), sent_late,
            )),
            ("a start on the former service", None, (
                *left, start_on(10.2, "w001-1"), answer(10.6, "gone", 200),
            )),
            ("a start on the service of a newer version", "CONFIG", (
                *left, start_on(10.2, "w002-1"), answer(10.6, "gone", 200),
            )),
        )  # fmt: skip
        self.check_rules(cases)

    # Guards against ends that stay unacknowledged in calm without a finding.
    def test_findings_of_ends(self):
        # Two findings: of the run and of a window.
        cases = (
            ("not acknowledged", 2, ()),
            ("acknowledged in time", 0, (event(13.9, "ack", "w001-1", number=3),)),
            ("one is late, too few for a window", 1, (
                event(13.9, "ack", "w001-1", number=2),
            )),
            ("the worker has crashed", 0, (event(13.9, "down", "w001-1"),)),
            ("the worker's lease has lapsed", 0, (event(13.9, "lapse", "w001-1"),)),
            ("a fault of queues only", 2, (fault(11.0, "hup"),)),
            *(
                (name, 0, over(9.0, 9.0, name)) for name in (
                    "store-slow", "store-lost", "store-deaf", "store-down",
                )
            ),
            ("store-slow, long before", 2, over(6.0, 7.9, "store-slow")),
            ("a link to the store", 0, over(9.0, 11.5, "cut-store", how="silent")),
            ("a link to the store, long before", 2, (
                over(9.0, 10.5, "cut-store", how="silent")
            )),
            ("open connections are silent", 0, (
                fault(12.0, "cut-store", how="open-silent"),
            )),
            ("open connections are silent, long before", 2, (
                fault(9.9, "cut-store", how="open-silent"),
            )),
            ("all open connections", 0, ([12.0, "silenced", {}],)),
            ("a daemon is killed", 1, (
                fault(9.0, "kill"), [11.0, "daemon-start", {"daemon": 3}],
            )),
            ("a daemon is frozen", 1, (fault(9.0, "freeze"), fault(11.0, "thaw"))),
            ("a daemon's clock", 1, over(9.0, 11.0, "clock-step")),
            ("the leader is removed", 1, ([11.0, "fault", {
                "fault": "remove-leader-record",
            }],)),
            ("the worker is cut off", 0, (
                over(9.0, 12.0, "cut-workers", how="silent", workers=[1])
            )),
            ("another worker is cut off", 2, (
                over(9.0, 12.0, "cut-workers", how="silent", workers=[2])
            )),
            ("late orders", 0, (
                over(9.0, 12.0, "disturb", how="late_share", workers=[1])
            )),
            ("late orders, two overlapping faults", 0, (
                *over(9.0, 10.0, "disturb", how="hang_share", workers=[1]),
                *over(9.0, 12.0, "disturb", how="late_share", workers=[1]),
            )),
            ("failing runs", 2, over(9.0, 12.0, "disturb", how="fails", workers=[1])),
            ("a leader is cut off from the worker", 0, (
                over(9.0, 12.0, "shun", revision=5, processes=[0])
            )),
            ("a leader is cut off from others", 2, (
                over(9.0, 12.0, "shun", revision=5, processes=[1])
            )),
            ("the worker stands still", 0, (
                fault(9.0, "pause-workers", processes=[0]),
                fault(12.0, "resume-workers", processes=[0]),
            )),
            ("the worker is late", 0, ([12.0, "lag", {"late_s": 0.2}],)),
            ("the worker is late by little", 2, ([12.0, "lag", {"late_s": 0.05}],)),
            ("the store is late", 0, ([9.0, "lag", {"late_s": 0.2}, "store-0"],)),
            ("a caller is late", 2, ([12.0, "lag", {"late_s": 0.2}, "callers-0"],)),
        )  # fmt: skip
        self.check_table(
            [(name, count, (*LISTED, *rows)) for name, count, rows in cases]
        )

    # Guards against cancels that stay unanswered in calm without a finding.
    def test_findings_of_cancels(self):
        cases = (
            ("not answered", 2, ()),
            ("one is answered", 0, ([13.0, "cancelled", {"job": "a"}],)),
            ("answered late", 2, ([14.5, "cancelled", {"job": "a"}],)),
            ("the queue is in no version", 0, versions((1.0, 1, ("extra",)))),
            ("the queue is dropped and added", 0, versions(
                (1.0, 1, ("price",)), (2.0, 2, ()), (9.5, 3, ("price",)),
            )),
            ("another queue is dropped", 2, versions(
                (1.0, 1, ("price", "extra")), (2.0, 2, ("price",)),
            )),
            ("a caller is late", 0, ([12.0, "lag", {"late_s": 0.2}, "callers-0"],)),
            ("a worker is late", 2, ([12.0, "lag", {"late_s": 0.2}],)),
        )  # fmt: skip
        rows = [(name, count, (*CANCELLED, *rows)) for name, count, rows in cases]
        self.check_table(rows)

    def check_rules(self, cases):
        """Check that rows break one rule, or none."""
        for name, rule, rows in cases:
            with self.subTest(name):
                rules = [finding.partition(":")[0] for finding in self.check(rows)]
                self.assertEqual(rules, [rule] if rule else [])

    def check_table(self, cases):
        for name, count, rows in cases:
            with self.subTest(name):
                self.assertEqual(len(self.check(rows)), count)


if __name__ == "__main__":
    unittest.main()
