"""Judges by which versions of the configuration daemons have answered (rule CONFIG).

The versions come from the store's own record of its writes, the answers from the
callers' record, the starts from the workers' record; nothing is read from the daemons.

A start on a worker shows a version at the leader that ordered it as much as an answer
does: after either, the same process must not answer by an older version.

A queue that is in every version that may be in force must also be served, whatever the
leader does (rule SERVED), and one that is in none of them must be refused. A daemon in
contact must not answer 503 for each such queue for long, as if it were outdated for
ever, nor refuse connections for long.

Of the fields of a version, what shows outside is judged: which queues there are and at
which host and prefix (here), their services (`emulator.service_check`), and
`max_body_bytes` and `max_header_bytes` (`standins.limits_check`). Not judged are
`timeout_ms`, `slo_ms`, `stretch`, `priority`, `max_attempts`, `kind` and `advice` of a
route, `enforces_capacity` and `standby` of a service, and the limits
`header_timeout_ms` and `idle_timeout_ms`; nor whether jobs of a dropped queue start.
"""

import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from standins.changing_queues import SERVICE
from standins.invalid_versions import INVALID_QUEUE
from standins.queue_places import queue_at

# A version must be in force this long after its write, at daemons that were in contact
# for the time below.
APPLY_S = 2.0
CONTACT_S = 3.0
# A daemon that has shown the effect of a version must not go back later than this.
ROLLBACK_SLACK_S = 0.25
# The factor by which that slack is larger while a daemon is slowed, and the
# disturbances that slow it.
SLOWED_FACTOR = 8
SLOWING_CAUSES = frozenset({"freeze", "frozen", "lag", "late"})
# A daemon in contact must not answer each question about queues that are in no version
# with 503, or refuse connections, for longer than this on end.
OUTDATED_MAX_S = 5.0
REFUSING_MAX_S = 3.0
# A version of unusual or invalid form is named in findings for this long.
FORM_NEAR_S = 5.0
# Statuses of a caller that got no response, and whose request was not sent.
NO_RESPONSE = 0
NOT_SENT = -1
# Without a response, a request that is cut so soon may have crossed the end of its
# connection, and a caller that is late itself may have missed the response.
CUT_SLACK_S = 0.2
CALLER_LATE_MAX_S = 0.1
# A caller that waits for less may get no answer, or 503.
DEADLINE_MIN_MS = 1_500
LISTED_STATUSES = (200, 404, 503, 504, NO_RESPONSE, NOT_SENT)


@dataclass(slots=True, frozen=True)
class WrittenVersion:
    """A version in the store's record."""

    version: int
    written_s: float
    queues: frozenset[str]
    # By name of a queue: its service, if it is not the usual one.
    services: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ShownStart:
    """A start on a worker, which the leader at a daemon ordered.

    Attributes
    ----------
    incarnation : int
        Start of the daemon's process, counted from 0.
    place : str
        Place to which the job was submitted.
    service : str
        Service of the worker.
    """

    daemon: str
    incarnation: int
    place: str
    service: str
    at_s: float


@dataclass(slots=True, frozen=True)
class QueueAnswer:
    """What a caller got for a count or a submission, an answer or none.

    Attributes
    ----------
    incarnation : int
        Start of the daemon's process, counted from 0.
    sent_s, answered_s : float
        When the request was sent, and its response complete or given up.
    status : int
        Status of the response; `NO_RESPONSE` or `NOT_SENT` without one.
    late_s : float
        For how long the caller was late itself meanwhile.
    is_submission : bool
        Whether a job was submitted, which needs the store; otherwise it is a count.
    deadline_ms : int
        Deadline that the request named, for which the caller waited; 0 without one.
    """

    daemon: str
    incarnation: int
    queue: str
    sent_s: float
    answered_s: float
    status: int
    late_s: float = 0.0
    is_submission: bool = False
    deadline_ms: int = 0

    @property
    def has_queue(self) -> bool:
        """Whether the daemon served the queue."""
        return self.status == 200

    @property
    def label(self) -> str:
        """The status as it is counted."""
        return str(self.status) if self.status in LISTED_STATUSES else "other"


class ConfigurationCheck:
    """Finds answers that only an older version allows than the rule does.

    Attributes
    ----------
    judged : int
        Answers of daemons in contact.
    judged_by_status, recorded_by_status : Counter
        Judged and all answers by status.
    shown_starts : int
        Starts that showed a newer version than the first at the leader's daemon.
    lag_max_s : float
        Longest time from a version's write to a request that a daemon in contact
        answered by an older one.
    """

    def __init__(self) -> None:
        self._versions: list[WrittenVersion] = []
        self._answers: list[QueueAnswer] = []
        self._starts: list[ShownStart] = []
        self._forms: list[tuple[float, str]] = []
        self._invalid_s: list[float] = []
        # By daemon, or None for all: when each disturbance began and ended.
        self._disturbed: dict[str | None, list[list[float]]] = defaultdict(list)
        self._open: dict[tuple[str | None, str], list[float]] = {}
        # The spans of these in which daemons were slowed.
        self._slowed: dict[str | None, list[list[float]]] = defaultdict(list)
        # By daemon, or None for all: when each silence began.
        self._silent_s: dict[str | None, list[float]] = defaultdict(list)
        self.judged_by_status: Counter[str] = Counter()
        self.recorded_by_status: Counter[str] = Counter()
        self.lag_max_s = 0.0
        self.shown_starts = 0

    @property
    def judged(self) -> int:
        """Number of judged answers."""
        return self.judged_by_status.total()

    def summary(self) -> str:
        """Return judged and recorded answers by status, and the judged share."""
        recorded = self.recorded_by_status
        total = recorded.total() - recorded[str(NOT_SENT)]
        counts = ",".join(
            f"{label}:{self.judged_by_status[label]}/{recorded[label]}"
            for label in sorted(recorded)
        )
        share = self.judged / total if total else 0.0
        asked = self.count_asked_of_invalid()
        return (
            f"answers={counts} judged_share={share:.2f} "
            f"invalid_versions={len(asked)} "
            f"least_daemons_asked={min(asked, default=0)}"
        )

    def count_asked_of_invalid(self) -> list[int]:
        """Return by invalid version how many daemons answered while it stood.

        They answered a question for the queue of invalid versions, in contact or not.
        """
        return [
            len(
                {
                    answer.daemon
                    for answer in self._answers
                    if answer.queue == INVALID_QUEUE
                    and answer.status != NOT_SENT
                    and begun_s < answer.sent_s
                    and answer.answered_s < self._next_version_s(begun_s)
                }
            )
            for begun_s in self._invalid_s
        ]

    def _next_version_s(self, at_s: float) -> float:
        """Return when the next valid version was written."""
        index = bisect.bisect_right(self._versions, at_s, key=lambda v: v.written_s)
        following = self._versions[index : index + 1]
        return following[0].written_s if following else float("inf")

    def add_version(
        self,
        version: int,
        written_s: float,
        queues: Iterable[str],
        services: Mapping[str, str] | None = None,
    ) -> None:
        """Add a version that the store has acknowledged, in the order of writes."""
        self._versions.append(
            WrittenVersion(version, written_s, frozenset(queues), services or {})
        )

    def add_form(self, written_s: float, form: str) -> None:
        """Add the form of a version that is unusual or invalid, to name it."""
        self._forms.append((written_s, form))

    def add_invalid(self, written_s: float, form: str) -> None:
        """Add a version that must not be put into force."""
        self._invalid_s.append(written_s)
        self.add_form(written_s, f"invalid: {form}")

    def add_answer(self, answer: QueueAnswer) -> None:
        """Add an answer of a daemon."""
        self._answers.append(answer)

    def add_start(self, start: ShownStart) -> None:
        """Add a start that was ordered by the present process of a daemon."""
        self._starts.append(start)

    def begin_disturbance(self, cause: str, at_s: float, daemon: str | None = None):
        """Note that a daemon, or every one, is out of contact from now on."""
        if (daemon, cause) not in self._open:
            span = self._open[daemon, cause] = [at_s, float("inf")]
            self._disturbed[daemon].append(span)
            if cause in SLOWING_CAUSES:
                self._slowed[daemon].append(span)

    def end_disturbance(self, cause: str, at_s: float, daemon: str | None = None):
        """Note that a disturbance is over; contact is complete `CONTACT_S` later."""
        span = self._open.pop((daemon, cause), None)
        if span is not None:
            span[1] = at_s

    def add_silence(self, at_s: float, daemon: str | None = None) -> None:
        """Note that open connections to the store, not new ones, fall silent.

        One silence leaves a daemon in contact, since its next call works. A second one
        within `CONTACT_S` may hit that call too. The write of a submission may be the
        call that is lost.
        """
        former_s = max((*self._silent_s[daemon], *self._silent_s[None]), default=-1e9)
        self._silent_s[daemon].append(at_s)
        if at_s - former_s < CONTACT_S:
            self.begin_disturbance("silenced", at_s, daemon)
            self.end_disturbance("silenced", at_s, daemon)

    def check(self) -> list[str]:
        """Return the findings."""
        findings = []
        # By incarnation: when each version was first shown, and its index.
        shown: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        rows = [(answer.answered_s, answer) for answer in self._answers]
        rows.extend((start.at_s, start) for start in self._starts)
        for _, row in sorted(rows, key=lambda row: row[0]):
            if isinstance(row, QueueAnswer):
                findings.extend(self._check_answer(row, shown))
            else:
                self._show_start(row, shown[row.daemon, row.incarnation])
        findings.extend(self._check_outdated())
        findings.extend(self._check_refusing())
        return findings

    def _show_start(self, start: ShownStart, history: list[tuple[float, int]]) -> None:
        """Note the first version by which a start may have been ordered."""
        queue = queue_at(start.place)
        known = [v for v in self._versions if v.written_s <= start.at_s]
        first = next((i for i, v in enumerate(known) if start.place in v.queues), None)
        if first is None:
            return
        # The queue may have been sent to the worker's service later.
        for index in range(first, len(known)):
            if known[index].services.get(queue, SERVICE) == start.service:
                first = index
                break
        self.shown_starts += first > 0
        if not history or first > history[-1][1]:
            history.append((start.at_s, first))

    def _check_outdated(self) -> list[str]:
        """Find daemons that answer 503 for queues of no version for long."""
        spans = _Spans(self, OUTDATED_MAX_S)
        for answer in self._answers:
            in_force = self.find_in_force(answer.sent_s, answer.answered_s)
            is_absent = in_force and not any(
                answer.queue in version.queues for version in in_force
            )
            if is_absent and answer.status == 503:
                spans.extend(answer)
            elif answer.status == 404 or (is_absent and answer.status != NOT_SENT):
                spans.end(answer)
        what = "not in force, only 503 and no 404"
        return [self._describe_span(*span, what) for span in spans.find_long()]

    def _check_refusing(self) -> list[str]:
        """Find daemons whose connections are refused for long."""
        spans = _Spans(self, REFUSING_MAX_S)
        for answer in self._answers:
            if answer.status != NOT_SENT:
                spans.end(answer)
            elif answer.late_s <= CALLER_LATE_MAX_S:
                spans.extend(answer)
        return [
            self._describe_span(*span, "connections refused")
            for span in spans.find_long()
        ]

    def _describe_span(self, first: QueueAnswer, last: QueueAnswer, what: str) -> str:
        span_s = last.answered_s - first.sent_s
        return self._describe(first, f"{what} for {span_s:.3f} s", "SERVED")

    def _check_answer(self, answer: QueueAnswer, shown) -> list[str]:
        self.recorded_by_status[answer.label] += 1
        if answer.status not in (200, 404):
            return self._check_failure(answer)
        allowing = [
            index
            for index, version in enumerate(self._versions)
            if version.written_s <= answer.answered_s
            and (answer.queue in version.queues) == answer.has_queue
        ]
        if not allowing:
            return [self._describe(answer, "allowed by no version")]
        is_in_contact = self._has_contact(answer)
        if is_in_contact:
            self.judged_by_status[answer.label] += 1
        findings = []
        newest = allowing[-1]
        following = self._versions[newest + 1 : newest + 2]
        lag_s = answer.sent_s - following[0].written_s if following else 0.0
        if is_in_contact:
            self.lag_max_s = max(self.lag_max_s, lag_s)
            if lag_s > APPLY_S:
                what = (
                    f"allowed up to version {self._versions[newest].version} only, "
                    f"{lag_s:.3f} s after the write of {following[0].version}"
                )
                findings.append(self._describe(answer, what))
        history = shown[answer.daemon, answer.incarnation]
        findings.extend(self._check_regress(answer, allowing, history))
        least = next((i for i in allowing if not history or i >= history[-1][1]), None)
        if least is not None and (not history or least > history[-1][1]):
            history.append((answer.answered_s, least))
        return findings

    def _check_failure(self, answer: QueueAnswer) -> list[str]:
        """Return a finding for an answer that says neither yes nor no."""
        if not self.is_judged(answer):
            return []
        self.judged_by_status[answer.label] += 1
        in_force = self.find_in_force(answer.sent_s, answer.answered_s)
        having = sum(answer.queue in version.queues for version in in_force)
        took_s = answer.answered_s - answer.sent_s
        if in_force and having == len(in_force):
            what = f"in force, not served ({took_s:.3f} s)"
        elif in_force and not having and answer.status != 503:
            what = f"not in force, no 404 ({took_s:.3f} s)"
        else:
            return []
        return [self._describe(answer, what, "SERVED")]

    def is_judged(self, answer: QueueAnswer) -> bool:
        """Return whether a daemon has to serve a request, and the caller sees it."""
        if answer.status == NOT_SENT or not self._has_contact(answer):
            return False
        if answer.status == NO_RESPONSE:
            is_soon = answer.answered_s - answer.sent_s < CUT_SLACK_S
            if is_soon or answer.late_s > CALLER_LATE_MAX_S:
                return False
        is_served = answer.status in (200, 404)
        if 0 < answer.deadline_ms < DEADLINE_MIN_MS and not is_served:
            return False
        is_lost = answer.status != 200 and self._has_silence(answer)
        return not (answer.is_submission and is_lost)

    def find_in_force(self, sent_s: float, answered_s: float) -> list[WrittenVersion]:
        """Return the versions that may be in force during a call; none if unknown."""
        versions = self._versions
        last = bisect.bisect_right(versions, answered_s, key=lambda v: v.written_s)
        first = bisect.bisect_left(
            versions, sent_s - APPLY_S, key=lambda v: v.written_s
        )
        return versions[first - 1 : last] if first else []

    def _check_regress(self, answer, allowing, history) -> list[str]:
        """Return a finding if the daemon has shown a newer version before.

        The rule holds out of contact too.
        """
        factor = SLOWED_FACTOR if self._is_slowed(answer) else 1
        before_s = answer.sent_s - ROLLBACK_SLACK_S * factor
        known = bisect.bisect_left(history, before_s, key=lambda row: row[0])
        if not known or allowing[-1] >= history[known - 1][1]:
            return []
        shown_s, index = history[known - 1]
        what = (
            f"went back to version {self._versions[allowing[-1]].version}, "
            f"{answer.sent_s - shown_s:.3f} s after it showed "
            f"{self._versions[index].version}"
        )
        return [self._describe(answer, what)]

    def is_in_contact(self, daemon: str, begun_s: float, ended_s: float) -> bool:
        """Return whether a daemon was in contact from one time to another."""
        spans = (*self._disturbed[None], *self._disturbed[daemon])
        return not _overlaps(spans, begun_s - CONTACT_S, ended_s)

    def _is_slowed(self, answer: QueueAnswer) -> bool:
        """Return whether a daemon was slowed during a call or shortly before."""
        spans = (*self._slowed[None], *self._slowed[answer.daemon])
        return _overlaps(spans, answer.sent_s - CONTACT_S, answer.answered_s)

    def _has_contact(self, answer: QueueAnswer) -> bool:
        return self.is_in_contact(answer.daemon, answer.sent_s, answer.answered_s)

    def _has_silence(self, answer: QueueAnswer) -> bool:
        """Return whether a connection fell silent during a call or shortly before."""
        return any(
            answer.sent_s - CONTACT_S <= at_s <= answer.answered_s
            for at_s in (*self._silent_s[None], *self._silent_s[answer.daemon])
        )

    def _describe(self, answer: QueueAnswer, what: str, rule: str = "CONFIG") -> str:
        names = {200: "served", NO_RESPONSE: "no response", NOT_SENT: "not sent"}
        got = names.get(answer.status, str(answer.status))
        forms = ", ".join(
            form
            for written_s, form in self._forms
            if answer.answered_s - FORM_NEAR_S <= written_s <= answer.answered_s
        )
        return (
            f"{rule}: {answer.daemon} (start {answer.incarnation}) at "
            f"{answer.sent_s:.3f}: queue {answer.queue} {got}, {what}"
            f"{forms and f'; after {forms}'}"
        )


def _overlaps(spans: Iterable[list[float]], begun_s: float, ended_s: float) -> bool:
    return any(begin_s <= ended_s and end_s >= begun_s for begin_s, end_s in spans)


class _Spans:
    """Spans of alike answers, one after the other, of daemons in contact.

    Answers are added in any order.
    """

    def __init__(self, check: ConfigurationCheck, longest_s: float) -> None:
        self._check = check
        self._longest_s = longest_s
        # By incarnation: the answers, and whether each extends a span.
        self._answers: dict[tuple, list[tuple[QueueAnswer, bool]]] = defaultdict(list)

    def extend(self, answer: QueueAnswer) -> None:
        """Add an answer that is part of a span."""
        self._answers[answer.daemon, answer.incarnation].append((answer, True))

    def end(self, answer: QueueAnswer) -> None:
        """Add an answer that ends a span."""
        self._answers[answer.daemon, answer.incarnation].append((answer, False))

    def find_long(self) -> list[tuple[QueueAnswer, QueueAnswer]]:
        """Return the first and the last answer of each span that is too long."""
        return [
            (span[0], span[-1])
            for rows in self._answers.values()
            for span in self._divide(sorted(rows, key=lambda row: row[0].sent_s))
            if span[-1].answered_s - span[0].sent_s > self._longest_s
        ]

    def _divide(self, rows) -> Iterable[list[QueueAnswer]]:
        span: list[QueueAnswer] = []
        for answer, is_part in rows:
            if span and not (is_part and self._has_contact(span[0], answer)):
                yield span
                span = []
            if is_part and (span or self._has_contact(answer, answer)):
                span.append(answer)
        if span:
            yield span

    def _has_contact(self, first: QueueAnswer, last: QueueAnswer) -> bool:
        return self._check.is_in_contact(first.daemon, first.sent_s, last.answered_s)
