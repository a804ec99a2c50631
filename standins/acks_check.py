"""Judges whether ends of runs are acknowledged and jobs are cancelled in time (Acks).

The ends come from the workers' record, the cancels from the callers', the disturbances
from who injects them; nothing is read from the daemons.

The rule is on the whole run: at most a fifth of the ends that workers list may stay
without an acknowledgement, and at most a tenth of the cancels of accepted jobs (fewer
than three of them in any case) without success or 410, for longer than `ACK_S` in one
stretch in which the store was stable and no link was disturbed. In a long run a
disturbance that delays all ends for a while is outweighed by later ones. So the same
shares also hold in each `WINDOW_S` of calm, by the time from which an end or a cancel
waited in calm; those that wait as a stretch begins belong to its first window. These
windows need `LATE_MIN` late ones, since a single one may be all that ended then.

What the rule leaves open is taken as strictly as its words allow:

- An end is listed from the moment at which the run ended, whether or not a daemon polls
  the worker, since a leader that does not poll it is the fault looked for.
- The store is stable `CONTACT_S` after its last disturbance; a link is undisturbed as
  soon as its disturbance is over.
- The link of a worker that is disturbed, and a worker that stands still, count for its
  own ends only. The link of a daemon counts for all.
- Processes of daemons that end or stand still do not interrupt a stretch of the rule;
  they do interrupt the stretches of the windows, until `CONTACT_S` after their return.
- An end counts while its worker runs and its lease holds: a later acknowledgement does
  not count by the rules, so that none can be asked for after a crash or a lapse. It is
  late if it has waited too long before.
- A cancel waits from its first sending, whatever the daemons that get it answer. It is
  not judged while its queue is in no version, or its caller is late.
- An end or a cancel that is neither late nor answered in calm is not judged.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto

# Longest wait in calm, and for how long the store has to be undisturbed before.
ACK_S = 4.0
CONTACT_S = 3.0
# The least share of late ends, and of late cancels, that is too many.
ENDS_LATE_SHARE = 1 / 5
CANCELS_LATE_SHARE = 1 / 10
# Fewer late cancels, or late ends in a window, are not too many.
LATE_MIN = 3
# Calm time in which the shares hold by themselves: room for several polls of a worker.
WINDOW_S = 10.0
# Late ones that a finding names.
NAMED_MAX = 3


class Scope(Enum):
    """What a disturbance concerns."""

    # Everything, until `CONTACT_S` after its end.
    STORE = auto()
    # Links of daemons: everything.
    LINK = auto()
    # Processes of daemons: the windows only, until `CONTACT_S` after its end.
    PROCESS = auto()
    # A worker or its link: its own ends.
    WORKER = auto()
    # A queue that is in no version: cancels of its jobs.
    QUEUE = auto()
    # A process of callers: all cancels.
    CALLERS = auto()


@dataclass(slots=True)
class Wait:
    """An end of a run, or a cancel, that waits for an answer.

    Attributes
    ----------
    label : str
        Its name in findings.
    pool : str
        Service of the worker; empty for a cancel.
    place : tuple of Scope and str
        The worker that lists it, or the queue of the job.
    ended_s : float
        When it was answered, or could no longer be; infinite while it waits.
    """

    label: str
    pool: str
    place: tuple[Scope, str]
    begun_s: float
    ended_s: float = math.inf
    is_answered: bool = False


@dataclass(slots=True, frozen=True)
class JudgedWait:
    """A wait that was judged.

    Attributes
    ----------
    calm_s : float
        Since when it waited in calm.
    waited_s : float
        Its longest time in one stretch of calm.
    """

    wait: Wait
    calm_s: float
    waited_s: float

    @property
    def is_late(self) -> bool:
        """Whether it waited too long."""
        return self.waited_s > ACK_S


@dataclass(slots=True, frozen=True)
class Kind:
    """Waits that are judged together.

    Attributes
    ----------
    late_share : float
        Share of late ones above which the rule is broken.
    late_min : int
        So many have to be late in the whole run.
    """

    name: str
    waits: list[Wait]
    late_share: float
    late_min: int


class AcksCheck:
    """Finds runs and stretches with too many late ends or cancels."""

    def __init__(self) -> None:
        self._ends: list[Wait] = []
        self._cancels: dict[str, Wait] = {}
        # By worker and incarnation: the ends that it lists, by their number.
        self._listed: dict[tuple[str, object], dict[int, Wait]] = defaultdict(dict)
        # When each disturbance began and ended.
        self._spans: dict[tuple[Scope, str], list[list[float]]] = defaultdict(list)
        self._open: dict[tuple[Scope, str, str], list[float]] = {}

    # Ends

    def list_end(
        self, worker: str, incarnation: object, number: int, at_s: float, pool: str = ""
    ) -> None:
        """Add an end that a worker of a pool lists from now on."""
        label = f"end {number} of {worker} ({incarnation})"
        wait = Wait(label, pool, (Scope.WORKER, worker), at_s)
        self._ends.append(wait)
        self._listed[worker, incarnation][number] = wait

    def acknowledge(
        self, worker: str, incarnation: object, number: int, at_s: float
    ) -> None:
        """Note that ends up to a number are acknowledged."""
        listed = self._listed[worker, incarnation]
        for known in [known for known in listed if known <= number]:
            wait = listed.pop(known)
            wait.ended_s, wait.is_answered = at_s, True

    def lose(self, worker: str, incarnation: object, at_s: float) -> None:
        """Note that a worker has crashed or left, or that its lease has lapsed."""
        for wait in self._listed.pop((worker, incarnation), {}).values():
            wait.ended_s = at_s

    # Cancels

    def send_cancel(self, job: str, queue: str, at_s: float) -> None:
        """Add the first cancel of an accepted job."""
        wait = Wait(f"cancel of {job}", "", (Scope.QUEUE, queue), at_s)
        self._cancels.setdefault(job, wait)

    def answer_cancel(self, job: str, at_s: float) -> None:
        """Note that the cancel of a job was answered with success or 410."""
        wait = self._cancels[job]
        wait.ended_s, wait.is_answered = at_s, True

    def give_up_cancel(self, job: str, at_s: float) -> None:
        """Note that the cancel of a job is not sent any more."""
        self._cancels[job].ended_s = at_s

    # Disturbances

    def begin_disturbance(
        self, scope: Scope, cause: str, at_s: float, name: str = ""
    ) -> None:
        """Note the begin of a disturbance of what has this name."""
        if (scope, name, cause) not in self._open:
            span = self._open[scope, name, cause] = [at_s, math.inf]
            self._spans[scope, name].append(span)

    def end_disturbance(
        self, scope: Scope, cause: str, at_s: float, name: str = ""
    ) -> None:
        """Note the end of a disturbance."""
        span = self._open.pop((scope, name, cause), None)
        if span is not None:
            span[1] = at_s

    def add_disturbance(
        self, scope: Scope, begun_s: float, ended_s: float, name: str = ""
    ) -> None:
        """Add a disturbance that is over."""
        self._spans[scope, name].append([begun_s, ended_s])

    # Findings

    def check(self, until_s: float) -> list[str]:
        """Return the findings of a run that lasted until a time."""
        findings = []
        for kind in (*self._pools(), self._cancel_kind()):
            judged = self._judge(kind.waits, until_s, _RULE_SCOPES)
            if _is_excess(judged, kind, kind.late_min):
                findings.append(_describe(judged, kind, "the run"))
            judged = self._judge(kind.waits, until_s, _WINDOW_SCOPES)
            judged.sort(key=lambda row: row.calm_s)
            for begun_s, ended_s in self._calm(_WINDOW_SCOPES):
                stretch = [row for row in judged if begun_s <= row.calm_s < ended_s]
                worst = _find_worst_window(stretch, kind)
                if worst:
                    where = f"{WINDOW_S:.0f} s of calm from {worst[0].calm_s:.3f}"
                    findings.append(_describe(worst, kind, where))
        return findings

    def summary(self, until_s: float) -> str:
        """Return the counts of a run that lasted until a time, by the rule's calm.

        Late ones are untroubled if nothing was disturbed from `CONTACT_S` before they
        began to wait until they were answered.
        """
        counts = []
        for name, waits in (("ends", self._ends), ("cancels", self._cancels.values())):
            judged = self._judge(waits, until_s, _RULE_SCOPES)
            late = [row.wait for row in judged if row.is_late]
            untroubled = sum(self._is_untroubled(wait, until_s) for wait in late)
            waited_s = sorted(row.waited_s for row in judged) or [0.0]
            p90_s = waited_s[math.ceil(0.9 * len(waited_s)) - 1]
            counts.append(
                f"{name}_judged={len(judged)} {name}_late={len(late)} "
                f"{name}_late_untroubled={untroubled} {name}_p90={p90_s:.3f} "
                f"{name}_latest={waited_s[-1]:.3f}"
            )
        return " ".join(counts)

    def _pools(self) -> Iterator[Kind]:
        """Return the ends by pool; if all break the rule, those of a pool do."""
        for pool in sorted({wait.pool for wait in self._ends}):
            waits = [wait for wait in self._ends if wait.pool == pool]
            yield Kind(f"ends of pool {pool}", waits, ENDS_LATE_SHARE, 1)

    def _cancel_kind(self) -> Kind:
        waits = list(self._cancels.values())
        return Kind("cancels", waits, CANCELS_LATE_SHARE, LATE_MIN)

    def _judge(
        self, waits: Iterable[Wait], until_s: float, scopes: dict[Scope, float]
    ) -> list[JudgedWait]:
        """Return the waits that were late, or answered in calm."""
        calm_by_place: dict[tuple[Scope, str], list[tuple[float, float]]] = {}
        judged = []
        for wait in waits:
            if wait.place not in calm_by_place:
                calm_by_place[wait.place] = self._calm(scopes, wait.place)
            ended_s = min(wait.ended_s, until_s)
            # Parts of the wait in calm, with the ends of the stretches.
            parts = [
                (max(begin_s, wait.begun_s), min(end_s, ended_s), end_s)
                for begin_s, end_s in calm_by_place[wait.place]
                if begin_s <= ended_s and end_s >= wait.begun_s
            ]
            late = next((part for part in parts if part[1] - part[0] > ACK_S), None)
            if late is not None:
                longest_s = max(end_s - begin_s for begin_s, end_s, _ in parts)
                judged.append(JudgedWait(wait, late[0], longest_s))
            elif wait.is_answered and parts and ended_s < parts[-1][2]:
                begin_s, end_s, _ = parts[-1]
                judged.append(JudgedWait(wait, begin_s, end_s - begin_s))
        return judged

    def _calm(
        self, scopes: dict[Scope, float], place: tuple[Scope, str] | None = None
    ) -> list[tuple[float, float]]:
        """Return the stretches in which these scopes and a place are undisturbed."""
        stretches, free_s = [], -math.inf
        for begun_s, ended_s in sorted(self._find_spans(scopes, place)):
            if begun_s > free_s:
                stretches.append((free_s, begun_s))
            free_s = max(free_s, ended_s)
        stretches.append((free_s, math.inf))
        return [row for row in stretches if row[0] < row[1]]

    def _find_spans(
        self, scopes: dict[Scope, float], place: tuple[Scope, str] | None
    ) -> Iterator[tuple[float, float]]:
        """Return the disturbances, with the time that each scope needs after one."""
        settle_by_scope_s = dict(scopes)
        if place is not None and place[0] is Scope.QUEUE:
            settle_by_scope_s[Scope.CALLERS] = 0.0
        for key, spans in self._spans.items():
            settle_s = settle_by_scope_s.get(key[0])
            if settle_s is None and key == place:
                settle_s = 0.0
            if settle_s is not None:
                for begun_s, ended_s in spans:
                    yield begun_s, ended_s + settle_s

    def _is_untroubled(self, wait: Wait, until_s: float) -> bool:
        begun_s, ended_s = wait.begun_s - CONTACT_S, min(wait.ended_s, until_s)
        spans = self._find_spans(_NO_SETTLING, wait.place)
        return not any(begin <= ended_s and end >= begun_s for begin, end in spans)


# By scope that interrupts a stretch: the time after a disturbance until the next one.
_RULE_SCOPES = {Scope.STORE: CONTACT_S, Scope.LINK: 0.0}
_WINDOW_SCOPES = _RULE_SCOPES | {Scope.PROCESS: CONTACT_S}
_NO_SETTLING = dict.fromkeys(_WINDOW_SCOPES, 0.0)


def _is_excess(rows: list[JudgedWait], kind: Kind, late_min: int) -> bool:
    late = sum(row.is_late for row in rows)
    return late >= late_min and late > kind.late_share * len(rows)


def _find_worst_window(rows: list[JudgedWait], kind: Kind) -> list[JudgedWait]:
    """Return the window with the most late ones of those with too many, or none.

    The rows are sorted by `calm_s`; each window begins with one of them.
    """
    worst: list[JudgedWait] = []
    worst_late, late, end = 0, 0, 0
    for first, row in enumerate(rows):
        while end < len(rows) and rows[end].calm_s <= row.calm_s + WINDOW_S:
            late += rows[end].is_late
            end += 1
        if late > max(worst_late, LATE_MIN - 1, kind.late_share * (end - first)):
            worst, worst_late = rows[first:end], late
        late -= row.is_late
    return worst


def _describe(rows: list[JudgedWait], kind: Kind, where: str) -> str:
    late = sorted((row for row in rows if row.is_late), key=lambda row: -row.waited_s)
    named = "; ".join(
        f"{row.wait.label} from {row.wait.begun_s:.3f} for {row.waited_s:.3f} s"
        for row in late[:NAMED_MAX]
    )
    return (
        f"ACKS: {where}: {len(late)} of {len(rows)} {kind.name} not answered after "
        f"{ACK_S:.0f} s of calm: {named}"
    )
